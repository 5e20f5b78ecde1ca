//! Simulated broker whose thread takes time for its work, with its data servers and its load of queries.

use brookbend::api::{Class, ColdRule, ListSource, NodeState, Semantics, Settings};
use plover_admission::{OverheadEstimator, Turn};
use plover_core::{Core, Decisions, Query, Report, Verdict};
use plover_model::query::{AttemptId, PartSpec, QueryId};
use plover_model::server::{ListScope, NodeId, Outcome, ServerInfo};
use plover_model::time::{MILLI, Micros, SECOND};
use rand_pcg::Pcg64Mcg;
use rand_pcg::rand_core::{Rng, SeedableRng};
use std::collections::{BTreeMap, VecDeque};
use std::sync::Arc;

/// Time at which the simulation begins. Connections to all data servers are established by then.
const START: Micros = SECOND;
pub const TICK: Micros = 5 * MILLI;
/// Minimum time that a client waits, whatever the aim of its class.
pub const MIN_CLIENT_TIMEOUT: Micros = SECOND;
/// Time of the broker's thread to admit a query, beside its parts.
const QUERY_TIME: Micros = 30;
/// Time of the thread to decode a part.
const DECODE_TIME: Micros = 1;
/// Time of the thread to send a part.
pub const SEND_TIME: Micros = 12;
/// Time of the thread to process the answer to a part.
pub const ANSWER_TIME: Micros = 4;
/// Time of the thread for a turn, beside its queries and parts.
const TURN_TIME: Micros = 30;

/// Returns the time of the thread to admit or refuse a query with this number of parts.
pub fn admission_time(parts: usize) -> Micros {
    QUERY_TIME + parts as Micros * DECODE_TIME
}

/// Size of the fleet of data servers: the number of shards, and the number of servers that hold each shard.
#[derive(Clone, Copy, Debug)]
pub struct Fleet {
    pub shards: usize,
    pub holders: usize,
}

/// A stream of queries of one class with the same number of parts.
#[derive(Clone, Copy, Debug)]
pub struct Stream {
    pub class: usize,
    pub parts: usize,
    /// Mean number of queries per second.
    pub rate: f64,
}

/// The result of a finished query.
pub struct FinishedQuery {
    pub class: usize,
    pub parts: usize,
    pub arrived_at: Micros,
    /// Time at which the query was served; `None` if it was not served.
    pub served_at: Option<Micros>,
}

/// A query that is open or has not been admitted yet.
struct PendingQuery {
    class: usize,
    parts: usize,
    arrived_at: Micros,
}

/// An attempt in flight, with the outcome that it will have.
struct InFlight {
    sent_at: Micros,
    outcome: Outcome,
}

/// Function that returns the mean time that a server takes for a part, by the class of the query and the
/// number of the server. The shard of a server is its number modulo the number of shards.
pub type ServiceTime = Box<dyn Fn(usize, usize) -> Micros>;

/// A simulated broker with its servers and queries.
pub struct Simulation {
    pub core: Core,
    pub now: Micros,
    /// Current service times of the servers.
    pub service_time: ServiceTime,
    /// Class whose next attempt is never answered.
    pub hang_next: Option<usize>,
    pub finished: Vec<FinishedQuery>,
    fleet: Fleet,
    aims: Vec<Micros>,
    random: Pcg64Mcg,
    /// Separate generator of arrivals, for arrivals that do not depend on the course of the simulation.
    arrival_random: Option<Pcg64Mcg>,
    /// Total busy time of the broker's thread.
    busy: Micros,
    overhead: OverheadEstimator,
    /// Queries that are open or have not been admitted yet.
    pending: BTreeMap<QueryId, PendingQuery>,
    /// Queries that have not been admitted yet, by time of arrival.
    arrivals: VecDeque<(Micros, QueryId)>,
    next_query: QueryId,
    /// Attempts in flight, ordered by the time at which they end.
    in_flight: BTreeMap<(Micros, AttemptId), InFlight>,
    /// Time at which each attempt in flight ends.
    end_times: BTreeMap<AttemptId, Micros>,
}

/// Returns a random number greater than 0 and at most 1.
fn fraction(random: &mut Pcg64Mcg) -> f64 {
    ((random.next_u64() >> 11) + 1) as f64 / (1u64 << 53) as f64
}

fn client_timeout(aim: Micros) -> Micros {
    MIN_CLIENT_TIMEOUT.max(aim)
}

fn class(aim: Micros) -> Class {
    Class {
        aim: (aim / MILLI) as f64,
        give_up: (client_timeout(aim) / MILLI) as f64,
        worth: 1.0,
        late_worth: 0.0,
        semantics: Semantics::Safe,
        need: 1.0,
        floor: 1.0,
        partial_earns: 0.0,
        second_step: false,
    }
}

fn settings(shards: usize, aims: &[Micros]) -> Settings {
    Settings {
        classes: aims.iter().copied().map(class).collect(),
        tenants: Vec::new(),
        aggregators: 1600,
        zone: None,
        over_share_worth: 1.0,
        worth_by_work: false,
        clients_mark_retries: false,
        cells: shards,
        reach: 1,
        shards,
        batch: 8,
        call_work: 1.0,
        max_attempts: 3,
        hedging: false,
        cancel: true,
        max_retry_after: Some(50.0),
        tick: (TICK / MILLI) as f64,
        list: ListSource::Pushed,
        list_deadline: 10_000.0,
        budget: None,
        cold: ColdRule {
            initial_capacity: 0.2,
            warm_after: 10_000.0,
            overload_factor: 2.0,
            overload_time: 2000.0,
        },
    }
}

impl Simulation {
    /// Creates a simulation with one class for each aim. All servers have the same mean service time.
    pub fn new(fleet: Fleet, aims: &[Micros], service_time: Micros) -> Simulation {
        let mut core = Core::new(settings(fleet.shards, aims), 200_000, 7);
        let server = |n: usize| ServerInfo {
            name: NodeId(format!("s{n:05}").into()),
            cell: n % fleet.shards,
            state: NodeState::Serving,
            zone: None,
            started_at: None,
        };
        core.update_servers(ListScope::Cached, (0..fleet.shards * fleet.holders).map(server).collect());
        Simulation {
            core,
            now: START,
            service_time: Box::new(move |_, _| service_time),
            hang_next: None,
            finished: Vec::new(),
            fleet,
            aims: aims.to_vec(),
            random: Pcg64Mcg::seed_from_u64(9),
            arrival_random: None,
            busy: 0,
            overhead: OverheadEstimator::default(),
            pending: BTreeMap::new(),
            arrivals: VecDeque::new(),
            next_query: 1,
            in_flight: BTreeMap::new(),
            end_times: BTreeMap::new(),
        }
    }

    /// Makes the times of arrivals independent of the course of the simulation.
    pub fn with_fixed_arrivals(mut self) -> Simulation {
        self.arrival_random = Some(Pcg64Mcg::seed_from_u64(11));
        self
    }

    fn random_fraction(&mut self) -> f64 {
        fraction(&mut self.random)
    }

    fn random_arrival_fraction(&mut self) -> f64 {
        fraction(self.arrival_random.as_mut().unwrap_or(&mut self.random))
    }

    /// Runs the simulation for `duration` with these streams of queries. Arrivals are independent of each
    /// other (a Poisson process).
    pub fn offer(&mut self, streams: &[Stream], duration: Micros) {
        let end = self.now + duration;
        let mut arrivals = Vec::new();
        for stream in streams.iter().filter(|stream| stream.rate > 0.0) {
            let mut at = self.now;
            loop {
                at += (-self.random_arrival_fraction().ln() / stream.rate * SECOND as f64) as Micros;
                if at >= end {
                    break;
                }
                arrivals.push((at, *stream));
            }
        }
        arrivals.sort_by_key(|(at, _)| *at);
        for (at, stream) in arrivals {
            self.pending.insert(
                self.next_query,
                PendingQuery { class: stream.class, parts: stream.parts, arrived_at: at },
            );
            self.arrivals.push_back((at, self.next_query));
            self.next_query += 1;
        }
        while self.now < end {
            self.turn();
        }
    }

    /// Runs one turn. It lasts as long as its work takes, but at least until the next tick.
    fn turn(&mut self) {
        let (now, busy) = (self.now, self.busy);
        self.core.set_overhead(self.overhead.per_part(), self.overhead.per_turn(), busy);
        let mut reports = Vec::new();
        while let Some(entry) = self.in_flight.first_entry().filter(|entry| entry.key().0 <= now) {
            let ((_, attempt), in_flight) = entry.remove_entry();
            self.end_times.remove(&attempt);
            let (outcome, elapsed) = (in_flight.outcome, now - in_flight.sent_at);
            let connected_at = (outcome == Outcome::Served).then_some(START);
            reports.push(Report { attempt, outcome, elapsed, load: None, connected_at });
        }
        let mut queries = Vec::new();
        let mut total_admission_time = 0;
        while let Some((_, id)) = self.arrivals.pop_front_if(|(at, _)| *at <= now) {
            let query = self.query(id);
            total_admission_time += admission_time(query.parts.len());
            queries.push(query);
        }
        let ended = reports.len();
        let mut all = vec![self.core.report(now, reports)];
        all.push(self.core.pick(now, queries));
        all.push(self.core.tick(now));
        let sent: usize = all.iter().map(|decisions| decisions.dispatches.len()).sum();
        let work =
            total_admission_time + ended as Micros * ANSWER_TIME + sent as Micros * SEND_TIME + TURN_TIME;
        self.busy += work;
        self.now += work;
        for decisions in all {
            self.carry_out(now, decisions);
        }
        let spent = self.busy - busy;
        self.overhead.observe(Turn { busy: spent, sent, ended, dialled: false });
        self.now = self.now.max(now + TICK);
    }

    fn query(&mut self, id: QueryId) -> Query {
        let (class, parts, arrived_at) =
            (self.pending[&id].class, self.pending[&id].parts, self.pending[&id].arrived_at);
        let shards = self.fleet.shards;
        let first_shard = if parts < shards { (self.random_fraction() * shards as f64) as usize } else { 0 };
        let part =
            |n| PartSpec { shard: (first_shard + n) % shards, weight: 1.0 / parts as f64, work_hint: None };
        Query {
            id,
            class,
            tenant: 0,
            deadline: arrived_at + client_timeout(self.aims[class]),
            limits: Arc::default(),
            is_retry: false,
            parts: (0..parts).map(part).collect(),
        }
    }

    /// Sends attempts that were decided on at time `decided`. A server answers after 0.5 to 1.5 times its
    /// mean service time.
    fn carry_out(&mut self, decided: Micros, decisions: Decisions) {
        for dispatch in decisions.dispatches {
            let class = self.pending.get(&dispatch.attempt.query).map_or(0, |query| query.class);
            let server: usize = dispatch.server.0[1..].parse().unwrap();
            let service_time =
                ((self.service_time)(class, server) as f64 * (0.5 + self.random_fraction())) as Micros;
            let hangs = self.hang_next.take_if(|hanging_class| *hanging_class == class).is_some();
            let answer = if hangs { Micros::MAX } else { self.now + service_time };
            let deadline = dispatch.deadline.max(self.now);
            let outcome = if answer <= deadline { Outcome::Served } else { Outcome::TimedOut };
            let end = answer.min(deadline);
            self.in_flight.insert((end, dispatch.attempt), InFlight { sent_at: decided, outcome });
            self.end_times.insert(dispatch.attempt, end);
        }
        let cancelled: Vec<Report> =
            decisions.cancel.into_iter().filter_map(|attempt| self.cancel(attempt, decided)).collect();
        if !cancelled.is_empty() {
            let further = self.core.report(decided, cancelled);
            self.carry_out(decided, further);
        }
        for completion in decisions.completions {
            let Some(query) = self.pending.remove(&completion.query) else { continue };
            let served_at = matches!(completion.verdict, Verdict::Answer { .. }).then_some(self.now);
            self.finished.push(FinishedQuery {
                class: query.class,
                parts: query.parts,
                arrived_at: query.arrived_at,
                served_at,
            });
        }
    }

    /// Cancels an attempt if it is still in flight.
    fn cancel(&mut self, attempt: AttemptId, decided: Micros) -> Option<Report> {
        let end = self.end_times.remove(&attempt)?;
        let in_flight = self.in_flight.remove(&(end, attempt))?;
        Some(Report {
            attempt,
            outcome: Outcome::Cancelled,
            elapsed: decided - in_flight.sent_at,
            load: None,
            connected_at: None,
        })
    }

    /// Returns the number of queries of this class and this number of parts that arrived at or after `from`,
    /// and how many of them were served within their aim.
    pub fn counts_since(&self, from: Micros, class: usize, parts: usize) -> (usize, usize) {
        let finished = self.finished.iter().filter(|query| query.class == class && query.parts == parts);
        let arrived: Vec<_> = finished.filter(|query| query.arrived_at >= from).collect();
        let aim = self.aims[class];
        let in_time =
            |query: &&&FinishedQuery| query.served_at.is_some_and(|at| at <= query.arrived_at + aim);
        (arrived.len(), arrived.iter().filter(in_time).count())
    }
}
