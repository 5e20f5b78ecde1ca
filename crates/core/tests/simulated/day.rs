//! A broker whose thread takes time for what it does, its data servers, and the queries that are offered to it.

use brookbend::api::{Class, ColdRule, ListSource, NodeState, Semantics, Settings};
use plover_admission::{OwnTime, Turn};
use plover_core::{Core, Decisions, Query, Report, Verdict};
use plover_model::query::{AttemptId, PartSpec, QueryId};
use plover_model::server::{ListScope, NodeId, Outcome, ServerInfo};
use plover_model::time::{MILLI, Micros, SECOND};
use rand_pcg::Pcg64Mcg;
use rand_pcg::rand_core::{Rng, SeedableRng};
use std::collections::{BTreeMap, VecDeque};
use std::sync::Arc;

/// When the day begins, and connections to all data servers are up.
const START: Micros = SECOND;
pub const TICK: Micros = 5 * MILLI;
/// Longest wait of a client whose class has a short aim.
pub const GIVE_UP: Micros = SECOND;
/// Time of the broker's thread to take a query, for each of its parts to read it, to send it and to take its answer, and for
/// any turn.
const ASKING: Micros = 30;
const READING: Micros = 1;
pub const SENDING: Micros = 12;
pub const ANSWERING: Micros = 4;
const TURNING: Micros = 30;

/// Time of the thread to take a query of so many parts, and to refuse it if need be.
pub fn asking(parts: usize) -> Micros {
    ASKING + parts as Micros * READING
}

/// The data servers: so many shards, each with so many holders.
#[derive(Clone, Copy, Debug)]
pub struct Fleet {
    pub shards: usize,
    pub holders: usize,
}

/// Queries of one class that come together.
#[derive(Clone, Copy, Debug)]
pub struct Stream {
    pub class: usize,
    pub parts: usize,
    /// Queries a second.
    pub rate: f64,
}

/// How one query went.
pub struct End {
    pub class: usize,
    pub parts: usize,
    pub asked: Micros,
    /// When it was served, if it was.
    pub served: Option<Micros>,
}

struct Asked {
    class: usize,
    parts: usize,
    at: Micros,
}

struct Out {
    sent: Micros,
    outcome: Outcome,
}

/// Mean time that a server takes for a part: by class, and number of the server, whose shard is that modulo the shards.
pub type Work = Box<dyn Fn(usize, usize) -> Micros>;

/// One broker, and what it meets.
pub struct Day {
    pub core: Core,
    pub now: Micros,
    /// What servers take at the moment.
    pub work: Work,
    /// The next attempt of this class is never answered.
    pub hang_next: Option<usize>,
    pub ends: Vec<End>,
    fleet: Fleet,
    aims: Vec<Micros>,
    random: Pcg64Mcg,
    /// Draws arrivals, where these are to be the same whatever happens in the day.
    arrivals: Option<Pcg64Mcg>,
    busy: Micros,
    own: OwnTime,
    /// The queries that are in hand or still to be taken.
    asked: BTreeMap<QueryId, Asked>,
    waiting: VecDeque<(Micros, QueryId)>,
    next_query: QueryId,
    /// Attempts by when they end, and that moment by attempt.
    out: BTreeMap<(Micros, AttemptId), Out>,
    ending_at: BTreeMap<AttemptId, Micros>,
}

/// From above 0 to 1.
fn fraction(random: &mut Pcg64Mcg) -> f64 {
    ((random.next_u64() >> 11) + 1) as f64 / (1u64 << 53) as f64
}

fn give_up(aim: Micros) -> Micros {
    GIVE_UP.max(aim)
}

fn class(aim: Micros) -> Class {
    Class {
        aim: (aim / MILLI) as f64,
        give_up: (give_up(aim) / MILLI) as f64,
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

impl Day {
    /// One class for each aim; all servers take so long.
    pub fn new(fleet: Fleet, aims: &[Micros], work: Micros) -> Day {
        let mut core = Core::new(settings(fleet.shards, aims), 200_000, 7);
        let server = |n: usize| ServerInfo {
            name: NodeId(format!("s{n:05}").into()),
            cell: n % fleet.shards,
            state: NodeState::Serving,
            zone: None,
            started: None,
        };
        core.learn(ListScope::Known, (0..fleet.shards * fleet.holders).map(server).collect());
        Day {
            core,
            now: START,
            work: Box::new(move |_, _| work),
            hang_next: None,
            ends: Vec::new(),
            fleet,
            aims: aims.to_vec(),
            random: Pcg64Mcg::seed_from_u64(9),
            arrivals: None,
            busy: 0,
            own: OwnTime::default(),
            asked: BTreeMap::new(),
            waiting: VecDeque::new(),
            next_query: 1,
            out: BTreeMap::new(),
            ending_at: BTreeMap::new(),
        }
    }

    /// Queries come at the same moments whatever happens in the day.
    pub fn with_fixed_arrivals(mut self) -> Day {
        self.arrivals = Some(Pcg64Mcg::seed_from_u64(11));
        self
    }

    fn chance(&mut self) -> f64 {
        fraction(&mut self.random)
    }

    fn arrival_chance(&mut self) -> f64 {
        fraction(self.arrivals.as_mut().unwrap_or(&mut self.random))
    }

    /// Queries come for so long, with gaps that know nothing of each other.
    pub fn offer(&mut self, streams: &[Stream], time: Micros) {
        let end = self.now + time;
        let mut coming = Vec::new();
        for stream in streams.iter().filter(|stream| stream.rate > 0.0) {
            let mut at = self.now;
            loop {
                at += (-self.arrival_chance().ln() / stream.rate * SECOND as f64) as Micros;
                if at >= end {
                    break;
                }
                coming.push((at, *stream));
            }
        }
        coming.sort_by_key(|(at, _)| *at);
        for (at, stream) in coming {
            self.asked.insert(self.next_query, Asked { class: stream.class, parts: stream.parts, at });
            self.waiting.push_back((at, self.next_query));
            self.next_query += 1;
        }
        while self.now < end {
            self.turn();
        }
    }

    /// One turn, which takes what its work takes, and the wait for the next.
    fn turn(&mut self) {
        let (now, busy) = (self.now, self.busy);
        self.core.set_overhead(self.own.part(), self.own.turn(), busy);
        let mut reports = Vec::new();
        while let Some(entry) = self.out.first_entry().filter(|entry| entry.key().0 <= now) {
            let ((_, attempt), out) = entry.remove_entry();
            self.ending_at.remove(&attempt);
            let (outcome, elapsed) = (out.outcome, now - out.sent);
            let connected = (outcome == Outcome::Served).then_some(START);
            reports.push(Report { attempt, outcome, elapsed, load: None, connected });
        }
        let mut queries = Vec::new();
        let mut asking_time = 0;
        while let Some((_, id)) = self.waiting.pop_front_if(|(at, _)| *at <= now) {
            let query = self.query(id);
            asking_time += asking(query.parts.len());
            queries.push(query);
        }
        let ended = reports.len();
        let mut all = vec![self.core.report(now, reports)];
        all.push(self.core.pick(now, queries));
        all.push(self.core.tick(now));
        let sent: usize = all.iter().map(|decisions| decisions.dispatches.len()).sum();
        let work = asking_time + ended as Micros * ANSWERING + sent as Micros * SENDING + TURNING;
        self.busy += work;
        self.now += work;
        for decisions in all {
            self.carry_out(now, decisions);
        }
        let spent = self.busy - busy;
        self.own.observe(Turn { busy: spent, sent, ended, dialled: false });
        self.now = self.now.max(now + TICK);
    }

    fn query(&mut self, id: QueryId) -> Query {
        let (class, parts, at) = (self.asked[&id].class, self.asked[&id].parts, self.asked[&id].at);
        let shards = self.fleet.shards;
        let first = if parts < shards { (self.chance() * shards as f64) as usize } else { 0 };
        let part = |n| PartSpec { shard: (first + n) % shards, weight: 1.0 / parts as f64, hint: None };
        Query {
            id,
            class,
            tenant: 0,
            deadline: at + give_up(self.aims[class]),
            limits: Arc::default(),
            is_retry: false,
            parts: (0..parts).map(part).collect(),
        }
    }

    /// What was decided at this moment goes out now: answers of servers come after their work, half as long as usual at the
    /// least and up to half as long again.
    fn carry_out(&mut self, decided: Micros, decisions: Decisions) {
        for dispatch in decisions.dispatches {
            let class = self.asked.get(&dispatch.attempt.query).map_or(0, |asked| asked.class);
            let server: usize = dispatch.server.0[1..].parse().unwrap();
            let takes = ((self.work)(class, server) as f64 * (0.5 + self.chance())) as Micros;
            let hangs = self.hang_next.take_if(|of| *of == class).is_some();
            let answer = if hangs { Micros::MAX } else { self.now + takes };
            let until = dispatch.until.max(self.now);
            let outcome = if answer <= until { Outcome::Served } else { Outcome::TimedOut };
            let end = answer.min(until);
            self.out.insert((end, dispatch.attempt), Out { sent: decided, outcome });
            self.ending_at.insert(dispatch.attempt, end);
        }
        let cancelled: Vec<Report> =
            decisions.give_up.into_iter().filter_map(|attempt| self.cancel(attempt, decided)).collect();
        if !cancelled.is_empty() {
            let further = self.core.report(decided, cancelled);
            self.carry_out(decided, further);
        }
        for end in decisions.finals {
            let Some(asked) = self.asked.remove(&end.query) else { continue };
            let served = matches!(end.verdict, Verdict::Answer { .. }).then_some(self.now);
            self.ends.push(End { class: asked.class, parts: asked.parts, asked: asked.at, served });
        }
    }

    /// Takes back an attempt, if it is still out.
    fn cancel(&mut self, attempt: AttemptId, decided: Micros) -> Option<Report> {
        let end = self.ending_at.remove(&attempt)?;
        let out = self.out.remove(&(end, attempt))?;
        Some(Report {
            attempt,
            outcome: Outcome::Cancelled,
            elapsed: decided - out.sent,
            load: None,
            connected: None,
        })
    }

    /// How many queries of a stream's kind came from that moment on, and how many of these were served within their aim.
    pub fn since(&self, from: Micros, class: usize, parts: usize) -> (usize, usize) {
        let ends = self.ends.iter().filter(|end| end.class == class && end.parts == parts);
        let of: Vec<_> = ends.filter(|end| end.asked >= from).collect();
        let aim = self.aims[class];
        let in_time = |end: &&&End| end.served.is_some_and(|at| at <= end.asked + aim);
        (of.len(), of.iter().filter(in_time).count())
    }
}
