//! A fleet of aggregators and the servers of a few cells, in simulated time: one clock for all, servers that queue, news
//! of a start that comes to each aggregator at a moment of its own.
//!
//! A few cells stand for 7,800 servers, since what an aggregator may send to a cold server hangs on three things: on what
//! it sent that server, on the share of a warm one that its served work fills (a mean over all warm ones), and on how
//! often its parts want such a server (over all cells). The first is the same with a few cells. The other two are
//! means, and scatter more where there are fewer servers to take them over: the play is the harder one. What a few cells
//! do not show is a mean over servers that the aggregator never asks: [`Shape::unasked`] adds such. Servers of many cells that
//! are cold at once are further draws of the same: [`Play::cold_cells`].
//!
//! The names that the module's interface has for queries and parts are made in [`query_id`] and [`part_id`], and read in
//! [`parts_of`] and [`number_of`] alone.
#![allow(dead_code)]

use crate::common::{class, id, member, ring};
use brookbend::Aggregator;
use brookbend::api::*;
use rand_pcg::Pcg64Mcg;
use rand_pcg::rand_core::{RngCore, SeedableRng};
use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap, HashMap};

/// What queries and servers are like. Times in milliseconds.
#[derive(Clone, Debug)]
pub struct Shape {
    /// Work of a part, and of the call that carries it.
    pub part: Millis,
    pub call: Millis,
    pub batch: usize,
    /// Parts that a server works on at once.
    pub cores: usize,
    /// Servers of each cell.
    pub holders: Vec<usize>,
    /// Parts of a query; one for each cell first.
    pub parts: usize,
    pub aim: Millis,
    /// On the way to a server and back.
    pub way: Millis,
    /// Share of what all servers can do that is asked of them before the start.
    pub load: f64,
    /// Warm servers in the list that no query wants.
    pub unasked: usize,
}

/// When aggregators hear of the start.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Moment {
    /// All have run for a while, and hear of it at once.
    Heard,
    /// They hear of it over so many milliseconds, and send as before until then.
    Spread(Millis),
    /// All start with it.
    Fresh,
    /// They start over so many milliseconds after it.
    Restarted(Millis),
}

#[derive(Clone, Debug)]
pub struct Play {
    pub shape: Shape,
    pub rule: ColdRule,
    pub aggregators: usize,
    /// How many of them have queries; the others have none. 0: all.
    pub asking: usize,
    /// Shares of the traffic fall with the rank of an aggregator by this power.
    pub skew: f64,
    pub moment: Moment,
    /// From the start on the traffic is so many times what it was before.
    pub surge: f64,
    /// Whether the other servers of the cells with a cold one go in the same moment.
    pub alone: bool,
    /// In so many cells, from the first on, one server is replaced by a cold one at the start.
    pub cold_cells: usize,
    /// Least share of the parts' weight for an answer; 1: all are needed.
    pub floor: f64,
    /// So long before the start aggregators have run, where they have.
    pub run_in: Millis,
    /// So long after it the play ends.
    pub lasts: Millis,
    pub seed: u64,
}

/// What came to a cold server: when after its start, whether its sender had been told, and its work.
pub type Came = (Millis, bool, Millis);

/// How queries that came after the start ended.
#[derive(Clone, Copy, Debug, Default)]
pub struct Ends {
    pub asked: usize,
    pub in_time: usize,
    /// Of these, with a part left out.
    pub in_part: usize,
    pub late: usize,
    /// Refused as they came.
    pub on_arrival: usize,
    /// Unserved, with a part that went to no server.
    pub unsent: usize,
    /// Unserved, though all parts went out.
    pub unanswered: usize,
}

/// What a play showed.
#[derive(Debug)]
pub struct Day {
    /// Of each cold server, by time.
    pub came: Vec<Vec<Came>>,
    pub ends: Ends,
    /// By second after the start: asked, and served in time.
    pub by_second: BTreeMap<u64, (usize, usize)>,
}

struct Chance(Pcg64Mcg);

impl Chance {
    fn random(&mut self) -> f64 {
        (self.0.next_u64() >> 11) as f64 / (1u64 << 53) as f64
    }
    /// Until the next of events at this rate a millisecond.
    fn wait(&mut self, rate: f64) -> Millis {
        -(1.0 - self.random()).ln() / rate
    }
}

// ---- names: the one place that knows how the module's interface names queries and parts

fn query_id(query: u64) -> RequestId {
    id(&query.to_string())
}

fn part_id(query: u64, part: usize) -> RequestId {
    id(&format!("{query}.{part}"))
}

/// The name that an id shows, whatever it is made of.
fn name_of(id: &RequestId) -> String {
    let shown = format!("{id:?}");
    shown.split('"').nth(1).unwrap_or_else(|| panic!("no name in {shown}")).to_owned()
}

fn number_of(query: &RequestId) -> u64 {
    name_of(query).parse().unwrap()
}

fn parts_of(part: &RequestId) -> (u64, usize) {
    let name = name_of(part);
    let (query, part) = name.split_once('.').unwrap();
    (query.parse().unwrap(), part.parse().unwrap())
}

// ---- the play

/// A moment of the play, in nanoseconds, so that it has an order.
type Nanos = u64;

fn nanos(at: Millis) -> Nanos {
    (at * 1e6).ceil() as Nanos
}

#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum Next {
    /// An aggregator's first list.
    Born,
    /// The news of the start.
    Told,
    Ask,
    Turn,
    Ended {
        query: u64,
        part: usize,
        attempt: u32,
        outcome: u8,
    },
}

/// The outcomes that occur here, by number.
const OUTCOMES: [Outcome; 5] =
    [Outcome::Served, Outcome::Full, Outcome::TimedOut, Outcome::NoConnection, Outcome::ConnectionLost];

struct Server {
    /// When each of its cores is free.
    free: BinaryHeap<Reverse<Nanos>>,
    /// Its place among the cold ones.
    cold: Option<usize>,
    /// Whether it goes at the start.
    goes: bool,
}

struct Broker {
    a: Aggregator,
    chance: Chance,
    rate: f64,
    told: bool,
    inbox: Vec<Event>,
    last_turn: Millis,
    turn_at: Nanos,
    wake_at: Nanos,
    asked: u64,
    /// Attempts that are out: when they were sent.
    out: HashMap<(u64, usize, u32), Millis>,
    queries: HashMap<u64, Asked>,
}

struct Asked {
    at: Millis,
    /// Attempts by part.
    tries: Vec<u32>,
}

impl Play {
    fn request(&self) -> Millis {
        self.shape.part + self.shape.call
    }

    /// What a server can do at this age, of what it can once warm.
    fn capacity(&self, age: Millis) -> f64 {
        self.rule.initial_capacity
            + (1.0 - self.rule.initial_capacity) * (age / self.rule.warm_after).clamp(0.0, 1.0)
    }

    /// When the cold servers start.
    fn start(&self) -> Millis {
        if matches!(self.moment, Moment::Heard | Moment::Spread(_)) { self.run_in } else { 0.0 }
    }

    /// Parts a second at one server of a usual cell, from one aggregator of many that are alike.
    pub fn pair_rate(&self) -> f64 {
        let asking = if self.asking == 0 { self.aggregators } else { self.asking };
        self.shape.load * self.shape.cores as f64 * 1000.0 / self.request() / asking as f64
    }

    fn settings(&self) -> Settings {
        let aim = self.shape.aim;
        let cells = self.shape.holders.len() + usize::from(self.shape.unasked > 0);
        Settings {
            aggregators: self.aggregators,
            classes: vec![Class { aim, give_up: 4.0 * aim, floor: self.floor, ..class() }],
            cells,
            reach: 1,
            shards: cells * self.shape.parts.div_ceil(self.shape.holders.len()),
            batch: self.shape.batch,
            call_work: self.shape.call,
            cold: self.rule,
            hedging: false,
            ..ring()
        }
    }

    pub fn run(&self) -> Day {
        Fleet::new(self).run()
    }

    /// The largest share of the bound that a window reached: N requests of mean work and 2 sqrt(N) + 2, where N is what the
    /// settings allow in a window by what the server can do when that begins. Of all that came, or of one and a half times
    /// what came from those that had been told, where that is less: no aggregator can heed what it was not told.
    pub fn worst(&self, came: &[Came]) -> f64 {
        let fall = self.rule.overload_time;
        let (mut from, mut worst) = (0, 0.0f64);
        let (mut all, mut told) = (0.0, 0.0);
        for (at, by_told, work) in came {
            all += work;
            told += if *by_told { *work } else { 0.0 };
            while came[from].0 <= at - fall {
                all -= came[from].2;
                told -= if came[from].1 { came[from].2 } else { 0.0 };
                from += 1;
            }
            let can = self.capacity(at - fall) * self.shape.cores as f64;
            let n = self.rule.overload_factor * can * fall / self.request();
            worst = worst.max(f64::min(all, 1.5 * told) / self.request() / (n + 2.0 * n.sqrt() + 2.0));
        }
        worst
    }

    /// Work sent by those that had been told in the first half of the play, in what the server can do then.
    pub fn filled(&self, came: &[Came]) -> f64 {
        let half = self.lasts / 2.0;
        let work: f64 = came.iter().filter(|c| c.0 < half && c.1).map(|c| c.2).sum();
        work / (half * self.shape.cores as f64 * (self.capacity(0.0) + self.capacity(half)) / 2.0)
    }

    /// The worst window over all cold servers, and how full they were, all together.
    pub fn cold(&self, day: &Day) -> (f64, f64) {
        let worst = day.came.iter().map(|came| self.worst(came)).fold(0.0, f64::max);
        let filled = day.came.iter().map(|came| self.filled(came)).sum::<f64>();
        (worst, filled / day.came.len().max(1) as f64)
    }
}

struct Fleet<'a> {
    play: &'a Play,
    servers: Vec<Server>,
    names: HashMap<NodeId, usize>,
    brokers: Vec<Broker>,
    next: BinaryHeap<Reverse<(Nanos, usize, Next)>>,
    start: Millis,
    end: Millis,
    day: Day,
}

impl<'a> Fleet<'a> {
    fn new(play: &'a Play) -> Self {
        let shape = &play.shape;
        let (start, end) = (play.start(), play.start() + play.lasts);
        let (mut servers, mut names) = (Vec::new(), HashMap::new());
        for (cell, holders) in shape.holders.iter().enumerate() {
            for n in 0..*holders {
                let cold = (n == 0 && cell < play.cold_cells).then_some(cell);
                let goes = n > 0 && cell < play.cold_cells && play.alone;
                let free = (0..shape.cores).map(|_| Reverse(0)).collect();
                names.insert(crate::common::node(&format!("c{cell}n{n}")), servers.len());
                servers.push(Server { free, cold, goes });
            }
        }
        let asking = if play.asking == 0 { play.aggregators } else { play.asking };
        let weight = |rank: usize| if rank < asking { ((rank + 1) as f64).powf(-play.skew) } else { 0.0 };
        let all: f64 = (0..play.aggregators).map(weight).sum();
        let parts_per_ms = shape.load * (servers.len() * shape.cores) as f64 / play.request();
        let mut next = BinaryHeap::new();
        let brokers = (0..play.aggregators).map(|rank| {
            let seed = play.seed ^ ((977 * rank as u64 + play.aggregators as u64) << 8);
            let mut chance = Chance(Pcg64Mcg::seed_from_u64(seed));
            let (born, hears) = match play.moment {
                // They begin their seconds at moments of their own, but those that start together.
                Moment::Heard => (1000.0 * chance.random(), start),
                Moment::Spread(over) => (1000.0 * chance.random(), start + over * chance.random()),
                Moment::Fresh => (0.0, f64::INFINITY),
                Moment::Restarted(over) => (over * chance.random(), f64::INFINITY),
            };
            next.push(Reverse((nanos(born), rank, Next::Born)));
            if hears < end {
                next.push(Reverse((nanos(hears), rank, Next::Told)));
            }
            Broker {
                a: Aggregator::new(play.settings(), play.seed ^ (31 + rank as u64)),
                chance,
                rate: parts_per_ms / shape.parts as f64 * weight(rank) / all,
                told: hears.is_infinite(),
                inbox: Vec::new(),
                last_turn: f64::NEG_INFINITY,
                turn_at: Nanos::MAX,
                wake_at: Nanos::MAX,
                asked: 0,
                out: HashMap::new(),
                queries: HashMap::new(),
            }
        });
        let brokers = brokers.collect();
        let came = vec![Vec::new(); play.cold_cells];
        let day = Day { came, ends: Ends::default(), by_second: BTreeMap::new() };
        Fleet { play, servers, names, brokers, next, start, end, day }
    }

    fn run(mut self) -> Day {
        let end = nanos(self.end);
        while let Some(Reverse((at, b, next))) = self.next.pop() {
            if at >= end {
                break;
            }
            let now = at as f64 / 1e6;
            match next {
                Next::Born => {
                    let members = self.list(self.brokers[b].told);
                    self.hear(b, now, Event::List { kind: ListKind::Complete, members });
                    self.ask_next(b, now);
                }
                Next::Told => {
                    self.brokers[b].told = true;
                    let members = self.news();
                    self.hear(b, now, Event::List { kind: ListKind::Changes, members });
                }
                Next::Ask => {
                    self.ask(b, now);
                    self.ask_next(b, now);
                }
                Next::Turn => {
                    if self.brokers[b].turn_at == at {
                        self.turn(b, at);
                    }
                }
                Next::Ended { query, part, attempt, outcome } => {
                    if let Some(sent) = self.brokers[b].out.remove(&(query, part, attempt)) {
                        let outcome = OUTCOMES[outcome as usize];
                        let part = part_id(query, part);
                        self.hear(
                            b,
                            now,
                            Event::Ended { part, attempt, outcome, elapsed: now - sent, load: None },
                        );
                    }
                }
            }
        }
        self.day
    }

    fn list(&self, after: bool) -> Vec<Member> {
        let mut all: Vec<Member> = Vec::new();
        for (cell, holders) in self.play.shape.holders.iter().enumerate() {
            all.extend((0..*holders).map(|n| member(&format!("c{cell}n{n}"), cell)));
        }
        let unasked = self.play.shape.holders.len();
        all.extend((0..self.play.shape.unasked).map(|n| member(&format!("u{n}"), unasked)));
        if after {
            let news = self.news();
            all.retain(|m| news.iter().all(|n| n.node != m.node));
            all.extend(news.into_iter().filter(|n| n.state == NodeState::Serving));
        }
        all
    }

    /// What the list says once the servers have started.
    fn news(&self) -> Vec<Member> {
        let mut news = Vec::new();
        for (cell, holders) in self.play.shape.holders.iter().enumerate().take(self.play.cold_cells) {
            news.push(Member { started: Some(self.start), ..member(&format!("c{cell}n0"), cell) });
            if self.play.alone {
                let gone =
                    |n: usize| Member { state: NodeState::Gone, ..member(&format!("c{cell}n{n}"), cell) };
                news.extend((1..*holders).map(gone));
            }
        }
        news
    }

    fn ask_next(&mut self, b: usize, now: Millis) {
        let broker = &mut self.brokers[b];
        let rate = if now >= self.start { broker.rate * self.play.surge } else { broker.rate };
        if rate > 0.0 {
            let at = now + broker.chance.wait(rate);
            self.next.push(Reverse((nanos(at), b, Next::Ask)));
        }
    }

    fn ask(&mut self, b: usize, now: Millis) {
        let shape = &self.play.shape;
        let (cells, all) = (shape.holders.len(), shape.holders.len() + usize::from(shape.unasked > 0));
        let broker = &mut self.brokers[b];
        let number = broker.asked;
        broker.asked += 1;
        broker.queries.insert(number, Asked { at: now, tries: vec![0; shape.parts] });
        let deadline = now + 4.0 * shape.aim;
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
        let first = (broker.chance.random() * cells as f64) as usize;
        events.extend((0..shape.parts).map(|k| {
            let shard = (first + k) % cells + all * (k / cells);
            let (id, weight) = (part_id(number, k), 1.0 / shape.parts as f64);
            Event::Part(Part { id, group: number, shard, weight, work_hint: None })
        }));
        for event in events {
            self.hear(b, now, event);
        }
    }

    /// Something comes to an aggregator: its next turn is due.
    fn hear(&mut self, b: usize, now: Millis, event: Event) {
        let broker = &mut self.brokers[b];
        broker.inbox.push(event);
        let at = now.max(broker.last_turn + ring().tick);
        self.due(b, nanos(at));
    }

    fn due(&mut self, b: usize, at: Nanos) {
        let broker = &mut self.brokers[b];
        if at < broker.turn_at {
            broker.turn_at = at;
            self.next.push(Reverse((at, b, Next::Turn)));
        }
    }

    fn turn(&mut self, b: usize, at: Nanos) {
        let now = at as f64 / 1e6;
        let broker = &mut self.brokers[b];
        (broker.turn_at, broker.last_turn) = (Nanos::MAX, now);
        let mut events = std::mem::take(&mut broker.inbox);
        if at >= broker.wake_at {
            broker.wake_at = Nanos::MAX;
            events.push(Event::Woken);
        }
        let mut opened: HashMap<usize, usize> = HashMap::new();
        for action in broker.a.on_batch(now, events) {
            match action {
                Action::Send { part, node, timeout: within } => {
                    let server = self.names[&node];
                    let bundled = opened.entry(server).or_default();
                    let opens = bundled.is_multiple_of(self.play.shape.batch);
                    *bundled += 1;
                    self.send(b, now, parts_of(&part), server, within, opens);
                }
                Action::Cancel { part, attempt } => {
                    let (query, k) = parts_of(&part);
                    if let Some(sent) = self.brokers[b].out.remove(&(query, k, attempt)) {
                        let (elapsed, outcome) = (now - sent, Outcome::Cancelled);
                        self.hear(b, now, Event::Ended { part, attempt, outcome, elapsed, load: None });
                    }
                }
                Action::Answer { query, whole } => self.end(b, now, number_of(&query), Some(whole)),
                Action::Refuse { query, .. } | Action::Fail { query } => {
                    self.end(b, now, number_of(&query), None)
                }
                Action::Wake { after } => self.brokers[b].wake_at = nanos(now + after),
                Action::Watch => {}
            }
        }
        self.due(b, self.brokers[b].wake_at);
    }

    fn send(
        &mut self,
        b: usize,
        now: Millis,
        (query, part): (u64, usize),
        server: usize,
        within: Option<Millis>,
        opens: bool,
    ) {
        let (play, shape) = (self.play, &self.play.shape);
        let work = shape.part + if opens { shape.call } else { 0.0 };
        let broker = &mut self.brokers[b];
        let Some(asked) = broker.queries.get_mut(&query) else { return };
        let attempt = asked.tries[part];
        asked.tries[part] += 1;
        broker.out.insert((query, part, attempt), now);
        let s = &mut self.servers[server];
        let after = now >= self.start;
        if let Some(cold) = s.cold.filter(|_| after) {
            self.day.came[cold].push((now - self.start, broker.told, work));
        }
        let (at, outcome) = if s.goes && after {
            (now + 1.0, 3)
        } else {
            let free = s.free.peek().map_or(0, |f| f.0) as f64 / 1e6;
            // A new process has none of the queue of the one before.
            let begins = if s.cold.is_some() && after && free < self.start { now } else { free.max(now) };
            let age = if s.cold.is_some() && after { begins - self.start } else { f64::INFINITY };
            let done = begins + work / play.capacity(age);
            if begins - now > shape.aim {
                (now + shape.way, 1)
            } else {
                s.free.pop();
                s.free.push(Reverse(nanos(done)));
                (done + shape.way, 0)
            }
        };
        let restarts = |t: Millis| (s.cold.is_some() || s.goes) && !after && t > self.start;
        let late = within.map_or(f64::INFINITY, |within| now + within);
        let (at, outcome) = match (restarts(at), late < at) {
            (true, _) if self.start < late => (self.start + 1.0, 4),
            (_, true) => (late, 2),
            _ => (at, outcome),
        };
        self.next.push(Reverse((nanos(at), b, Next::Ended { query, part, attempt, outcome })));
    }

    fn end(&mut self, b: usize, now: Millis, query: u64, answered: Option<bool>) {
        let Some(asked) = self.brokers[b].queries.remove(&query) else { return };
        if asked.at < self.start {
            return;
        }
        let ends = &mut self.day.ends;
        ends.asked += 1;
        let second = self.day.by_second.entry(((asked.at - self.start) / 1000.0) as u64).or_default();
        second.0 += 1;
        let unsent = asked.tries.contains(&0);
        match answered {
            Some(whole) if now - asked.at <= self.play.shape.aim => {
                ends.in_time += 1;
                ends.in_part += usize::from(!whole);
                second.1 += 1;
            }
            Some(_) => ends.late += 1,
            None if now - asked.at <= 2.0 * ring().tick => ends.on_arrival += 1,
            None if unsent => ends.unsent += 1,
            None => ends.unanswered += 1,
        }
    }
}
