//! A broker that is offered more wide queries than its own thread can carry, in simulated time.

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

const AIM: Micros = 75 * MILLI;
const GIVE_UP: Micros = SECOND;
const TICK: Micros = 5 * MILLI;
/// Servers that hold each shard.
const HOLDERS: usize = 4;
/// Time of the broker's thread to take a query, for each of its parts to read it, to send it and to take its answer, and for
/// any turn.
const ASKING: Micros = 30;
const READING: Micros = 1;
const SENDING: Micros = 12;
const ANSWERING: Micros = 4;
const TURNING: Micros = 30;

/// Time of the thread to take a query of so many parts, and to refuse it if need be.
fn asking(parts: usize) -> Micros {
    ASKING + parts as Micros * READING
}

/// Queries a second that the thread can serve at the most, where so many come.
fn bearable(parts: usize, rate: f64) -> f64 {
    let second = SECOND as f64;
    let serving = (parts as Micros * (SENDING + ANSWERING)) as f64;
    rate.min((second - rate * asking(parts) as f64) / serving)
}

/// A day of one broker with idle servers that take so long for a part.
struct Day {
    core: Core,
    random: Pcg64Mcg,
    parts: usize,
    work: Micros,
    now: Micros,
    busy: Micros,
    own: OwnTime,
    /// When the queries came that are in hand or still to be taken.
    asked: BTreeMap<QueryId, Micros>,
    waiting: VecDeque<(Micros, QueryId)>,
    next_query: QueryId,
    /// Answers on their way: when they come, and when the attempt was sent.
    answers: BTreeMap<(Micros, AttemptId), Micros>,
    /// By query: when it came, and when it was served, if it was.
    ends: Vec<(Micros, Option<Micros>)>,
}

fn settings(shards: usize) -> Settings {
    let class = Class {
        aim: (AIM / MILLI) as f64,
        give_up: (GIVE_UP / MILLI) as f64,
        worth: 1.0,
        late_worth: 0.0,
        semantics: Semantics::Safe,
        need: 1.0,
        floor: 1.0,
        partial_earns: 0.0,
        second_step: false,
    };
    Settings {
        classes: vec![class],
        tenants: Vec::new(),
        aggregators: 1600,
        zone: None,
        over_share_worth: 1.0,
        worth_by_work: false,
        marks_again: false,
        cells: shards,
        reach: 1,
        shards,
        batch: 8,
        call_work: 1.0,
        max_attempts: 3,
        second_copies: false,
        cancel: true,
        max_retry_after: Some(50.0),
        tick: (TICK / MILLI) as f64,
        list: ListSource::Pushed,
        ask_within: 10_000.0,
        budget: None,
        cold: ColdRule { from: 0.2, warm_after: 10_000.0, fall_multiple: 2.0, fall_after: 2000.0 },
    }
}

impl Day {
    fn new(parts: usize, work: Micros) -> Day {
        let mut core = Core::new(settings(parts), 200_000, 7);
        let server = |n: usize| ServerInfo {
            name: NodeId(format!("s{n:05}").into()),
            cell: n % parts,
            state: NodeState::Serving,
            zone: None,
            started: None,
        };
        core.learn(ListScope::Known, (0..parts * HOLDERS).map(server).collect());
        Day {
            core,
            random: Pcg64Mcg::seed_from_u64(9),
            parts,
            work,
            now: SECOND,
            busy: 0,
            own: OwnTime::default(),
            asked: BTreeMap::new(),
            waiting: VecDeque::new(),
            next_query: 1,
            answers: BTreeMap::new(),
            ends: Vec::new(),
        }
    }

    /// From above 0 to 1.
    fn chance(&mut self) -> f64 {
        ((self.random.next_u64() >> 11) + 1) as f64 / (1u64 << 53) as f64
    }

    /// Queries come for so long, so many a second, with gaps that know nothing of each other.
    fn offer(&mut self, rate: f64, time: Micros) {
        let (mut at, end) = (self.now, self.now + time);
        loop {
            at += (-self.chance().ln() / rate * SECOND as f64) as Micros;
            if at >= end {
                break;
            }
            self.asked.insert(self.next_query, at);
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
        self.core.set_own_time(self.own.part(), self.own.turn(), busy);
        let mut reports = Vec::new();
        while let Some(entry) = self.answers.first_entry().filter(|entry| entry.key().0 <= now) {
            let ((_, attempt), sent) = entry.remove_entry();
            reports.push(Report {
                attempt,
                outcome: Outcome::Served,
                elapsed: now - sent,
                load: None,
                connected: None,
            });
        }
        let mut queries = Vec::new();
        while let Some((at, id)) = self.waiting.pop_front_if(|(at, _)| *at <= now) {
            queries.push(self.query(id, at));
        }
        let (ended, asked) = (reports.len(), queries.len());
        let mut all = vec![self.core.report(now, reports)];
        all.push(self.core.pick(now, queries));
        all.push(self.core.tick(now));
        let sent: usize = all.iter().map(|decisions| decisions.dispatches.len()).sum();
        let asking = asked as Micros * asking(self.parts);
        let work = asking + ended as Micros * ANSWERING + sent as Micros * SENDING + TURNING;
        self.busy += work;
        self.now += work;
        for decisions in all {
            self.carry_out(now, decisions);
        }
        let spent = self.busy - busy;
        self.own.observe(Turn { busy: spent, sent, ended, dialled: false });
        self.now = self.now.max(now + TICK);
    }

    fn query(&self, id: QueryId, at: Micros) -> Query {
        let part = |shard| PartSpec { shard, weight: 1.0 / self.parts as f64, hint: None };
        Query {
            id,
            class: 0,
            tenant: 0,
            give_up_at: at + GIVE_UP,
            limits: Arc::default(),
            again: false,
            parts: (0..self.parts).map(part).collect(),
        }
    }

    /// What was decided at this moment goes out now: answers of servers come after their work, half as long as usual at the
    /// least and up to half as long again.
    fn carry_out(&mut self, decided: Micros, decisions: Decisions) {
        for dispatch in decisions.dispatches {
            let takes = (self.work as f64 * (0.5 + self.chance())) as Micros;
            self.answers.insert((self.now + takes, dispatch.attempt), decided);
        }
        for attempt in decisions.give_up {
            let key = self.answers.keys().find(|(_, other)| *other == attempt).copied();
            if let Some(sent) = key.and_then(|key| self.answers.remove(&key)) {
                let elapsed = decided - sent;
                let report =
                    Report { attempt, outcome: Outcome::Cancelled, elapsed, load: None, connected: None };
                let further = self.core.report(decided, vec![report]);
                self.carry_out(decided, further);
            }
        }
        for end in decisions.finals {
            let Some(asked) = self.asked.remove(&end.query) else { continue };
            let served = matches!(end.verdict, Verdict::Answer { .. }).then_some(self.now);
            self.ends.push((asked, served));
        }
    }

    /// How many queries came from that moment on, and how many of these were served within their aim.
    fn since(&self, from: Micros) -> (usize, usize) {
        let of: Vec<_> = self.ends.iter().filter(|(asked, _)| *asked >= from).collect();
        let in_time = of.iter().filter(|(asked, served)| served.is_some_and(|at| at <= asked + AIM)).count();
        (of.len(), in_time)
    }
}

/// Queries of 690 parts a second that are offered, up to three times what the thread can carry.
const RATES: [f64; 10] = [2.0, 10.0, 20.0, 40.0, 60.0, 80.0, 100.0, 130.0, 175.0, 250.0];
/// What is served of what could be, at the least.
const SHARE: f64 = 0.8;

/// Guards against a broker that serves the less the more it is offered.
#[test]
fn a_broker_that_is_offered_too_much_serves_as_much_as_it_can() {
    const SECONDS: u64 = 4;
    for (parts, work) in [(690, MILLI), (690, 5 * MILLI), (200, 5 * MILLI), (30, MILLI)] {
        for rate in RATES.map(|rate| rate * (690 / parts) as f64) {
            let mut day = Day::new(parts, work);
            day.offer(rate.min(10.0), SECOND);
            let from = day.now;
            day.offer(rate, SECONDS * SECOND);
            let (came, in_time) = day.since(from);
            let offered = came as f64 / SECONDS as f64;
            let served = in_time as f64 / SECONDS as f64;
            let bearable = bearable(parts, offered);
            println!("{parts} parts, {offered} a second: {served} in time, {bearable:.0} bearable");
            assert!(served >= SHARE * bearable, "{parts} parts, {offered} a second: {served} of {bearable}");
        }
    }
}

/// Guards against a burst after which a broker refuses all, beside idle servers.
#[test]
fn within_a_second_of_a_burst_all_are_served_again() {
    for (parts, work) in [(690, MILLI), (690, 5 * MILLI), (200, 5 * MILLI), (30, MILLI)] {
        let mut day = Day::new(parts, work);
        day.offer(175.0 * (690 / parts) as f64, 5 * SECOND);
        day.offer(10.0, SECOND);
        let from = day.now;
        day.offer(10.0, 5 * SECOND);
        let (came, in_time) = day.since(from);
        assert!(came > 30 && in_time == came, "{parts} parts: {in_time} of {came}");
    }
}

/// Guards against refusals that rest on what a spell has taught, of which no answer will tell otherwise.
#[test]
fn where_all_is_refused_and_nothing_is_out_one_is_let_in() {
    let mut day = Day::new(200, 5 * MILLI);
    day.offer(10.0, SECOND);
    day.work = 65 * MILLI;
    day.offer(20.0, 2 * SECOND);
    day.work = 5 * MILLI;
    day.offer(10.0, SECOND);
    let from = day.now;
    day.offer(10.0, 4 * SECOND);
    let (came, in_time) = day.since(from);
    assert!(came > 30 && in_time == came, "{in_time} of {came}");
}
