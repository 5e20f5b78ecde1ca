//! Simulation of a fleet of aggregators and the servers of a few cells: one simulated clock for all, servers
//! with queues, and notifications of a server's start that reach each aggregator at a time of its own.
//!
//! A few cells represent 7,800 servers, since what an aggregator may send to a cold server depends on three
//! things: on what it has sent to that server, on the share of a warm server that its served work fills (a
//! mean over all warm ones), and on how often its parts need such a server (over all cells). The first does
//! not depend on the number of cells. The other two are means, and scatter more over fewer servers, so that
//! the simulation is the harder case. What a few cells do not show is a mean over servers that the aggregator
//! never sends to: [`Workload::unused_servers`] adds such servers. The servers of several cells that are cold
//! at once are further samples of the same: [`Simulation::cold_cells`].
//!
//! The ids of queries and parts are made in [`query_id`] and [`part_id`], and read in [`part_numbers`] and
//! [`query_number`] only.
#![allow(dead_code)]

use crate::common::{class, id, member, ring};
use brookbend::Aggregator;
use brookbend::api::*;
use rand_pcg::Pcg64Mcg;
use rand_pcg::rand_core::{RngCore, SeedableRng};
use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap, HashMap};

/// Queries and servers of a simulation. Times in milliseconds.
#[derive(Clone, Debug)]
pub struct Workload {
    /// Work of a part, and of the call that carries it.
    pub part_work: Millis,
    pub call_work: Millis,
    pub batch: usize,
    /// Number of parts that a server works on at once.
    pub cores: usize,
    /// Number of servers of each cell.
    pub holders: Vec<usize>,
    /// Number of parts of a query. The first ones are for one cell each.
    pub parts: usize,
    pub aim: Millis,
    /// Network time of an attempt, to the server and back together.
    pub network_time: Millis,
    /// Share of the capacity of all servers that is requested before the start.
    pub load: f64,
    /// Number of warm servers in the list that no query needs.
    pub unused_servers: usize,
}

/// When aggregators learn of the start of the cold servers.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Notification {
    /// All have run for a while, and are notified at the start.
    AtOnce,
    /// They are notified over this many milliseconds after the start, and send as before until then.
    Over(Millis),
    /// All start at the same time as the cold servers.
    StartTogether,
    /// They start over this many milliseconds after the cold servers.
    StartOver(Millis),
}

#[derive(Clone, Debug)]
pub struct Simulation {
    pub workload: Workload,
    pub rule: ColdRule,
    pub aggregators: usize,
    /// Number of aggregators that receive queries; 0 means all.
    pub active: usize,
    /// Shares of the traffic fall with the rank of an aggregator by this power.
    pub skew: f64,
    pub notification: Notification,
    /// Factor of the traffic from the start on.
    pub surge: f64,
    /// Whether the other servers of the cells with a cold one leave at the start.
    pub others_leave: bool,
    /// Number of cells, from the first on, in which one server is replaced by a cold one at the start.
    pub cold_cells: usize,
    /// Minimum share of the parts' weight for an answer; 1 means that all are needed.
    pub floor: f64,
    /// Time that aggregators which started earlier have run before the start.
    pub warm_up: Millis,
    /// Time from the start to the end of the simulation.
    pub duration: Millis,
    pub seed: u64,
}

/// An attempt that reached a cold server: when after its start, whether its sender had been notified, and its
/// work.
pub type Arrival = (Millis, bool, Millis);

/// Numbers of queries that arrived after the start, by how they ended.
#[derive(Clone, Copy, Debug, Default)]
pub struct QueryCounts {
    pub total: usize,
    pub in_time: usize,
    /// Those in time whose answer lacked a part.
    pub in_part: usize,
    pub late: usize,
    /// Refused on arrival.
    pub on_arrival: usize,
    /// Unserved, with a part that was sent to no server.
    pub unsent: usize,
    /// Unserved, although all parts were sent.
    pub unanswered: usize,
}

/// Results of a simulation.
#[derive(Debug)]
pub struct Results {
    /// By cold server, in the order of time.
    pub arrivals: Vec<Vec<Arrival>>,
    pub counts: QueryCounts,
    /// By second after the start: number of queries that arrived, and of those served in time.
    pub by_second: BTreeMap<u64, (usize, usize)>,
}

/// Seeded random numbers.
struct Random(Pcg64Mcg);

impl Random {
    /// Uniform from 0 to below 1.
    fn uniform(&mut self) -> f64 {
        (self.0.next_u64() >> 11) as f64 / (1u64 << 53) as f64
    }
    /// Random time in milliseconds until the next of events that occur at this rate per millisecond.
    fn wait(&mut self, rate: f64) -> Millis {
        -(1.0 - self.uniform()).ln() / rate
    }
}

// ---- ids of queries and parts

fn query_id(query: u64) -> RequestId {
    id(&query.to_string())
}

fn part_id(query: u64, part: usize) -> RequestId {
    id(&format!("{query}.{part}"))
}

/// The name that an id was made from, read from its debug format.
fn name_of(id: &RequestId) -> String {
    let shown = format!("{id:?}");
    shown.split('"').nth(1).unwrap_or_else(|| panic!("no name in {shown}")).to_owned()
}

fn query_number(query: &RequestId) -> u64 {
    name_of(query).parse().unwrap()
}

fn part_numbers(part: &RequestId) -> (u64, usize) {
    let name = name_of(part);
    let (query, part) = name.split_once('.').unwrap();
    (query.parse().unwrap(), part.parse().unwrap())
}

// ---- the simulation

/// A time of the simulation in nanoseconds, as an ordered type.
type Nanos = u64;

fn nanos(at: Millis) -> Nanos {
    (at * 1e6).ceil() as Nanos
}

#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum Step {
    /// An aggregator starts and gets its first list.
    Started,
    /// An aggregator is notified of the start of the cold servers.
    Notified,
    /// A query arrives.
    Query,
    Turn,
    Ended {
        query: u64,
        part: usize,
        attempt: u32,
        outcome: u8,
    },
}

/// The outcomes that occur here, by the number in [`Step::Ended`].
const OUTCOMES: [Outcome; 5] =
    [Outcome::Served, Outcome::Full, Outcome::TimedOut, Outcome::NoConnection, Outcome::ConnectionLost];

struct Server {
    /// When each of its cores becomes free.
    core_free_at: BinaryHeap<Reverse<Nanos>>,
    /// Its position among the cold servers; `None` if it is warm throughout.
    cold: Option<usize>,
    /// Whether it leaves at the start.
    leaves: bool,
}

struct Broker {
    aggregator: Aggregator,
    random: Random,
    /// Queries per millisecond before the start.
    rate: f64,
    notified: bool,
    inbox: Vec<Event>,
    last_turn: Millis,
    turn_at: Nanos,
    wake_at: Nanos,
    queries_received: u64,
    /// When each attempt in flight was sent, by query, part and number of the attempt.
    in_flight: HashMap<(u64, usize, u32), Millis>,
    queries: HashMap<u64, OpenQuery>,
}

struct OpenQuery {
    arrived: Millis,
    /// Number of attempts by part.
    attempts: Vec<u32>,
}

impl Simulation {
    /// Work of a request that carries one part.
    fn request_work(&self) -> Millis {
        self.workload.part_work + self.workload.call_work
    }

    /// Capacity of a server at this age, as a share of its capacity once it is warm.
    fn capacity(&self, age: Millis) -> f64 {
        self.rule.initial_capacity
            + (1.0 - self.rule.initial_capacity) * (age / self.rule.warm_after).clamp(0.0, 1.0)
    }

    /// When the cold servers start.
    fn start(&self) -> Millis {
        if matches!(self.notification, Notification::AtOnce | Notification::Over(_)) {
            self.warm_up
        } else {
            0.0
        }
    }

    /// Parts per second that one aggregator sends to one server, if all cells and all aggregators are alike.
    pub fn pair_rate(&self) -> f64 {
        let active = if self.active == 0 { self.aggregators } else { self.active };
        self.workload.load * self.workload.cores as f64 * 1000.0 / self.request_work() / active as f64
    }

    fn settings(&self) -> Settings {
        let aim = self.workload.aim;
        let cells = self.workload.holders.len() + usize::from(self.workload.unused_servers > 0);
        Settings {
            aggregators: self.aggregators,
            classes: vec![Class { aim, give_up: 4.0 * aim, floor: self.floor, ..class() }],
            cells,
            reach: 1,
            shards: cells * self.workload.parts.div_ceil(self.workload.holders.len()),
            batch: self.workload.batch,
            call_work: self.workload.call_work,
            cold: self.rule,
            hedging: false,
            ..ring()
        }
    }

    pub fn run(&self) -> Results {
        Fleet::new(self).run()
    }

    /// The largest share of the bound that any window reached. The bound is N + 2 sqrt(N) + 2 requests of
    /// mean work, where N is the number that the settings allow in a window by the server's capacity at its
    /// beginning. What counts is all work that arrived, or one and a half times what arrived from aggregators
    /// that had been notified, whichever is less: no aggregator can heed a start that it was not notified of.
    pub fn worst_window(&self, arrivals: &[Arrival]) -> f64 {
        let fall = self.rule.overload_time;
        let (mut first, mut worst) = (0, 0.0f64);
        let (mut all, mut from_notified) = (0.0, 0.0);
        for (at, notified, work) in arrivals {
            all += work;
            from_notified += if *notified { *work } else { 0.0 };
            while arrivals[first].0 <= at - fall {
                all -= arrivals[first].2;
                from_notified -= if arrivals[first].1 { arrivals[first].2 } else { 0.0 };
                first += 1;
            }
            let capacity = self.capacity(at - fall) * self.workload.cores as f64;
            let n = self.rule.overload_factor * capacity * fall / self.request_work();
            worst = worst
                .max(f64::min(all, 1.5 * from_notified) / self.request_work() / (n + 2.0 * n.sqrt() + 2.0));
        }
        worst
    }

    /// Work that arrived from notified aggregators in the first half of the simulation, as a share of the
    /// server's capacity.
    pub fn utilization(&self, arrivals: &[Arrival]) -> f64 {
        let half = self.duration / 2.0;
        let work: f64 = arrivals.iter().filter(|c| c.0 < half && c.1).map(|c| c.2).sum();
        work / (half * self.workload.cores as f64 * (self.capacity(0.0) + self.capacity(half)) / 2.0)
    }

    /// The worst window over all cold servers, and their mean utilization.
    pub fn cold(&self, results: &Results) -> (f64, f64) {
        let worst = results.arrivals.iter().map(|arrivals| self.worst_window(arrivals)).fold(0.0, f64::max);
        let utilization = results.arrivals.iter().map(|arrivals| self.utilization(arrivals)).sum::<f64>();
        (worst, utilization / results.arrivals.len().max(1) as f64)
    }
}

struct Fleet<'a> {
    simulation: &'a Simulation,
    servers: Vec<Server>,
    by_name: HashMap<NodeId, usize>,
    brokers: Vec<Broker>,
    /// Steps to come: when, at which aggregator, and what.
    steps: BinaryHeap<Reverse<(Nanos, usize, Step)>>,
    start: Millis,
    end: Millis,
    results: Results,
}

impl<'a> Fleet<'a> {
    fn new(simulation: &'a Simulation) -> Self {
        let workload = &simulation.workload;
        let (start, end) = (simulation.start(), simulation.start() + simulation.duration);
        let (mut servers, mut by_name) = (Vec::new(), HashMap::new());
        for (cell, holders) in workload.holders.iter().enumerate() {
            for n in 0..*holders {
                let cold = (n == 0 && cell < simulation.cold_cells).then_some(cell);
                let leaves = n > 0 && cell < simulation.cold_cells && simulation.others_leave;
                let core_free_at = (0..workload.cores).map(|_| Reverse(0)).collect();
                by_name.insert(crate::common::node(&format!("c{cell}n{n}")), servers.len());
                servers.push(Server { core_free_at, cold, leaves });
            }
        }
        let active = if simulation.active == 0 { simulation.aggregators } else { simulation.active };
        let weight =
            |rank: usize| if rank < active { ((rank + 1) as f64).powf(-simulation.skew) } else { 0.0 };
        let total_weight: f64 = (0..simulation.aggregators).map(weight).sum();
        let parts_per_ms =
            workload.load * (servers.len() * workload.cores) as f64 / simulation.request_work();
        let mut steps = BinaryHeap::new();
        let brokers = (0..simulation.aggregators).map(|rank| {
            let seed = simulation.seed ^ ((977 * rank as u64 + simulation.aggregators as u64) << 8);
            let mut random = Random(Pcg64Mcg::seed_from_u64(seed));
            let (started, notified) = match simulation.notification {
                // Aggregators begin their one-second intervals at different times, unless they start
                // together.
                Notification::AtOnce => (1000.0 * random.uniform(), start),
                Notification::Over(time) => (1000.0 * random.uniform(), start + time * random.uniform()),
                Notification::StartTogether => (0.0, f64::INFINITY),
                Notification::StartOver(time) => (time * random.uniform(), f64::INFINITY),
            };
            steps.push(Reverse((nanos(started), rank, Step::Started)));
            if notified < end {
                steps.push(Reverse((nanos(notified), rank, Step::Notified)));
            }
            Broker {
                aggregator: Aggregator::new(simulation.settings(), simulation.seed ^ (31 + rank as u64)),
                random,
                rate: parts_per_ms / workload.parts as f64 * weight(rank) / total_weight,
                notified: notified.is_infinite(),
                inbox: Vec::new(),
                last_turn: f64::NEG_INFINITY,
                turn_at: Nanos::MAX,
                wake_at: Nanos::MAX,
                queries_received: 0,
                in_flight: HashMap::new(),
                queries: HashMap::new(),
            }
        });
        let brokers = brokers.collect();
        let arrivals = vec![Vec::new(); simulation.cold_cells];
        let results = Results { arrivals, counts: QueryCounts::default(), by_second: BTreeMap::new() };
        Fleet { simulation, servers, by_name, brokers, steps, start, end, results }
    }

    fn run(mut self) -> Results {
        let end = nanos(self.end);
        while let Some(Reverse((at, index, step))) = self.steps.pop() {
            if at >= end {
                break;
            }
            let now = at as f64 / 1e6;
            match step {
                Step::Started => {
                    let members = self.list(self.brokers[index].notified);
                    self.deliver(index, now, Event::List { kind: ListKind::Complete, members });
                    self.schedule_query(index, now);
                }
                Step::Notified => {
                    self.brokers[index].notified = true;
                    let members = self.changed_members();
                    self.deliver(index, now, Event::List { kind: ListKind::Changes, members });
                }
                Step::Query => {
                    self.add_query(index, now);
                    self.schedule_query(index, now);
                }
                Step::Turn => {
                    if self.brokers[index].turn_at == at {
                        self.turn(index, at);
                    }
                }
                Step::Ended { query, part, attempt, outcome } => {
                    if let Some(sent) = self.brokers[index].in_flight.remove(&(query, part, attempt)) {
                        let outcome = OUTCOMES[outcome as usize];
                        let part = part_id(query, part);
                        self.deliver(
                            index,
                            now,
                            Event::Ended { part, attempt, outcome, elapsed: now - sent, load: None },
                        );
                    }
                }
            }
        }
        self.results
    }

    /// The whole list of servers, before or after the start.
    fn list(&self, after_start: bool) -> Vec<Member> {
        let mut members: Vec<Member> = Vec::new();
        for (cell, holders) in self.simulation.workload.holders.iter().enumerate() {
            members.extend((0..*holders).map(|n| member(&format!("c{cell}n{n}"), cell)));
        }
        let unused_cell = self.simulation.workload.holders.len();
        members.extend(
            (0..self.simulation.workload.unused_servers).map(|n| member(&format!("u{n}"), unused_cell)),
        );
        if after_start {
            let changed = self.changed_members();
            members.retain(|m| changed.iter().all(|n| n.node != m.node));
            members.extend(changed.into_iter().filter(|n| n.state == NodeState::Serving));
        }
        members
    }

    /// The entries of the list that change at the start.
    fn changed_members(&self) -> Vec<Member> {
        let mut changed = Vec::new();
        for (cell, holders) in
            self.simulation.workload.holders.iter().enumerate().take(self.simulation.cold_cells)
        {
            changed.push(Member { started: Some(self.start), ..member(&format!("c{cell}n0"), cell) });
            if self.simulation.others_leave {
                let gone =
                    |n: usize| Member { state: NodeState::Gone, ..member(&format!("c{cell}n{n}"), cell) };
                changed.extend((1..*holders).map(gone));
            }
        }
        changed
    }

    /// Schedules the arrival of the next query at an aggregator.
    fn schedule_query(&mut self, index: usize, now: Millis) {
        let broker = &mut self.brokers[index];
        let rate = if now >= self.start { broker.rate * self.simulation.surge } else { broker.rate };
        if rate > 0.0 {
            let at = now + broker.random.wait(rate);
            self.steps.push(Reverse((nanos(at), index, Step::Query)));
        }
    }

    /// A query arrives at an aggregator.
    fn add_query(&mut self, index: usize, now: Millis) {
        let workload = &self.simulation.workload;
        let (cells, all_cells) =
            (workload.holders.len(), workload.holders.len() + usize::from(workload.unused_servers > 0));
        let broker = &mut self.brokers[index];
        let number = broker.queries_received;
        broker.queries_received += 1;
        broker.queries.insert(number, OpenQuery { arrived: now, attempts: vec![0; workload.parts] });
        let deadline = now + 4.0 * workload.aim;
        let mut events = vec![Event::Query(Query {
            id: query_id(number),
            group: number,
            class: ClassIndex(0),
            tenant: TenantIndex(0),
            deadline,
            client_deadline: deadline,
            max_attempts: None,
            is_retry: false,
        })];
        let first = (broker.random.uniform() * cells as f64) as usize;
        events.extend((0..workload.parts).map(|k| {
            let shard = (first + k) % cells + all_cells * (k / cells);
            let (id, weight) = (part_id(number, k), 1.0 / workload.parts as f64);
            Event::Part(Part { id, group: number, shard, weight, work_hint: None })
        }));
        for event in events {
            self.deliver(index, now, event);
        }
    }

    /// Delivers an event to an aggregator, whose next turn is then due as soon as a tick has passed since its
    /// last one.
    fn deliver(&mut self, index: usize, now: Millis, event: Event) {
        let broker = &mut self.brokers[index];
        broker.inbox.push(event);
        let at = now.max(broker.last_turn + ring().tick);
        self.set_turn(index, nanos(at));
    }

    /// Makes the next turn of an aggregator due at this time, unless it is due earlier.
    fn set_turn(&mut self, index: usize, at: Nanos) {
        let broker = &mut self.brokers[index];
        if at < broker.turn_at {
            broker.turn_at = at;
            self.steps.push(Reverse((at, index, Step::Turn)));
        }
    }

    /// One turn of an aggregator: a batch, and its actions.
    fn turn(&mut self, index: usize, at: Nanos) {
        let now = at as f64 / 1e6;
        let broker = &mut self.brokers[index];
        (broker.turn_at, broker.last_turn) = (Nanos::MAX, now);
        let mut events = std::mem::take(&mut broker.inbox);
        if at >= broker.wake_at {
            broker.wake_at = Nanos::MAX;
            events.push(Event::Woken);
        }
        let mut sent_in_batch: HashMap<usize, usize> = HashMap::new();
        for action in broker.aggregator.on_batch(now, events) {
            match action {
                Action::Send { part, node, timeout } => {
                    let server = self.by_name[&node];
                    let bundled = sent_in_batch.entry(server).or_default();
                    let opens_call = bundled.is_multiple_of(self.simulation.workload.batch);
                    *bundled += 1;
                    self.send(index, now, part_numbers(&part), server, timeout, opens_call);
                }
                Action::Cancel { part, attempt } => {
                    let (query, k) = part_numbers(&part);
                    if let Some(sent) = self.brokers[index].in_flight.remove(&(query, k, attempt)) {
                        let (elapsed, outcome) = (now - sent, Outcome::Cancelled);
                        self.deliver(
                            index,
                            now,
                            Event::Ended { part, attempt, outcome, elapsed, load: None },
                        );
                    }
                }
                Action::Answer { query, whole } => self.end(index, now, query_number(&query), Some(whole)),
                Action::Refuse { query, .. } | Action::Fail { query } => {
                    self.end(index, now, query_number(&query), None)
                }
                Action::Wake { after } => self.brokers[index].wake_at = nanos(now + after),
                Action::Watch => {}
            }
        }
        self.set_turn(index, self.brokers[index].wake_at);
    }

    /// An attempt reaches a server, which answers it once one of its cores has worked on it.
    fn send(
        &mut self,
        index: usize,
        now: Millis,
        (query, part): (u64, usize),
        server: usize,
        timeout: Option<Millis>,
        opens_call: bool,
    ) {
        let (simulation, workload) = (self.simulation, &self.simulation.workload);
        let work = workload.part_work + if opens_call { workload.call_work } else { 0.0 };
        let broker = &mut self.brokers[index];
        let Some(open) = broker.queries.get_mut(&query) else { return };
        let attempt = open.attempts[part];
        open.attempts[part] += 1;
        broker.in_flight.insert((query, part, attempt), now);
        let target = &mut self.servers[server];
        let started = now >= self.start;
        if let Some(cold) = target.cold.filter(|_| started) {
            self.results.arrivals[cold].push((now - self.start, broker.notified, work));
        }
        let (at, outcome) = if target.leaves && started {
            (now + 1.0, 3)
        } else {
            let free_at = target.core_free_at.peek().map_or(0, |f| f.0) as f64 / 1e6;
            // The new process does not inherit the queue of the one before it.
            let begins =
                if target.cold.is_some() && started && free_at < self.start { now } else { free_at.max(now) };
            let age = if target.cold.is_some() && started { begins - self.start } else { f64::INFINITY };
            let done = begins + work / simulation.capacity(age);
            if begins - now > workload.aim {
                (now + workload.network_time, 1)
            } else {
                target.core_free_at.pop();
                target.core_free_at.push(Reverse(nanos(done)));
                (done + workload.network_time, 0)
            }
        };
        let restarts = |t: Millis| (target.cold.is_some() || target.leaves) && !started && t > self.start;
        let time_out_at = timeout.map_or(f64::INFINITY, |timeout| now + timeout);
        let (at, outcome) = match (restarts(at), time_out_at < at) {
            (true, _) if self.start < time_out_at => (self.start + 1.0, 4),
            (_, true) => (time_out_at, 2),
            _ => (at, outcome),
        };
        self.steps.push(Reverse((nanos(at), index, Step::Ended { query, part, attempt, outcome })));
    }

    /// Counts a query that has ended; `answered` holds whether its answer was whole, `None` if it has none.
    fn end(&mut self, index: usize, now: Millis, query: u64, answered: Option<bool>) {
        let Some(open) = self.brokers[index].queries.remove(&query) else { return };
        if open.arrived < self.start {
            return;
        }
        let counts = &mut self.results.counts;
        counts.total += 1;
        let second = self.results.by_second.entry(((open.arrived - self.start) / 1000.0) as u64).or_default();
        second.0 += 1;
        let unsent = open.attempts.contains(&0);
        match answered {
            Some(whole) if now - open.arrived <= self.simulation.workload.aim => {
                counts.in_time += 1;
                counts.in_part += usize::from(!whole);
                second.1 += 1;
            }
            Some(_) => counts.late += 1,
            None if now - open.arrived <= 2.0 * ring().tick => counts.on_arrival += 1,
            None if unsent => counts.unsent += 1,
            None => counts.unanswered += 1,
        }
    }
}
