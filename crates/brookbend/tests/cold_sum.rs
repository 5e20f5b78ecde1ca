//! What all aggregators of a fleet together send to one cold server, told or not, counted as the server counts it: past the
//! N requests of mean work that the settings allow in a window, no more than 2 sqrt(N) + 2 are left to chance.

mod common;

use brookbend::Aggregator;
use brookbend::api::*;
use common::*;
use rand_pcg::Pcg64Mcg;
use rand_pcg::rand_core::{RngCore, SeedableRng};
use std::collections::BTreeMap;

/// Parts a second over all aggregators: this share of what the cell's servers of one core each can do.
const LOAD: f64 = 0.75;

/// A deployment, as far as it matters here.
#[derive(Clone, Copy, Debug)]
struct Site {
    /// Work of a part, and of the call that carries it.
    part: Millis,
    call: Millis,
    batch: usize,
    /// Servers of a cell, the cold one included.
    replicas: usize,
    rule: ColdRule,
}

/// How the moment comes in which the server starts.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Moment {
    /// All aggregators have run for a while, and hear of it at once.
    Heard,
    /// They hear of it over so many milliseconds after the start, and send as before until then.
    Spread(Millis),
    /// All aggregators start with it.
    Fresh,
    /// They start over so many milliseconds after it.
    Restarted(Millis),
}

#[derive(Clone, Copy, Debug)]
struct Play {
    site: Site,
    aggregators: usize,
    /// Shares of the traffic fall with the rank of an aggregator by this power.
    skew: f64,
    moment: Moment,
    /// From the start on the traffic is so many times what it was before.
    surge: f64,
    /// Whether the warm servers of the cell go in the same moment.
    alone: bool,
    /// Share of attempts that are turned away, so that others follow.
    failing: f64,
    seed: u64,
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

/// An attempt that came to the cold server: when after its start, whether its sender had been told, and its work.
type Came = (Millis, bool, Millis);

impl Play {
    fn request(&self) -> Millis {
        self.site.part + self.site.call
    }

    fn capacity(&self, age: Millis) -> f64 {
        let rule = self.site.rule;
        rule.initial_capacity + (1.0 - rule.initial_capacity) * (age / rule.warm_after).clamp(0.0, 1.0)
    }

    /// What the cold server was sent.
    fn came(&self) -> Vec<Came> {
        let mut came: Vec<Came> = (0..self.aggregators).flat_map(|rank| self.of_one(rank)).collect();
        came.sort_by(|a, b| a.0.total_cmp(&b.0));
        came
    }

    fn of_one(&self, rank: usize) -> Vec<Came> {
        let (site, rule) = (self.site, self.site.rule);
        let set = Settings {
            aggregators: self.aggregators,
            cells: 1,
            reach: 1,
            shards: 4,
            batch: site.batch,
            call_work: site.call,
            cold: rule,
            hedging: false,
            ..ring()
        };
        let mut chance =
            Chance(Pcg64Mcg::seed_from_u64(self.seed ^ (977 * rank as u64 + self.aggregators as u64) << 8));
        let weight = |rank: usize| ((rank + 1) as f64).powf(-self.skew);
        let all: f64 = (0..self.aggregators).map(weight).sum();
        let rate = LOAD * site.replicas as f64 / self.request() * weight(rank) / all;
        let start = match self.moment {
            Moment::Heard | Moment::Spread(_) => 12_000.0,
            _ => 0.0,
        };
        let end = start + rule.warm_after;
        let late = match self.moment {
            Moment::Spread(over) | Moment::Restarted(over) => over * chance.random(),
            _ => 0.0,
        };
        let warm: Vec<String> = (1..site.replicas).map(|n| format!("b{n}")).collect();
        let restarted = Member { started: Some(start), ..member("c", 0) };
        let mut s = Harness::new(set.clone(), 0);
        s.a = Aggregator::new(set, self.seed ^ (31 + rank as u64));
        s.now = if start > 0.0 { 0.0 } else { late };
        let at_first: Vec<Member> = warm
            .iter()
            .map(|n| member(n, 0))
            .filter(|_| start > 0.0 || !self.alone)
            .chain([if start > 0.0 { member("c", 0) } else { restarted.clone() }])
            .collect();
        let mut told = start == 0.0;
        s.step(0.0, vec![Event::List { kind: ListKind::Complete, members: at_first }]);
        // Aggregators begin their seconds at moments of their own, but those that start together.
        if start > 0.0 {
            s.step(1000.0 * chance.random(), vec![]);
        }
        let mut out: Vec<(Millis, String, u32, bool)> = Vec::new();
        let mut tries: BTreeMap<String, u32> = BTreeMap::new();
        let mut came = Vec::new();
        let mut next = s.now + chance.wait(rate);
        let mut asked = 0;
        while s.now < end {
            let answer = out.iter().map(|o| o.0).fold(f64::INFINITY, f64::min);
            let list = if told { f64::INFINITY } else { start + late };
            // Parts that wait are sent between events: seen in time, or they would seem to go together.
            let at = next.min(answer).min(list).min(s.now + 10.0).max(s.now);
            let events = if at >= list {
                told = true;
                let gone = |n: &String| Member { state: NodeState::Gone, ..member(n, 0) };
                let gone = warm.iter().filter(|_| self.alone).map(gone);
                let members = gone.chain([restarted.clone()]).collect();
                vec![Event::List { kind: ListKind::Changes, members }]
            } else if at >= answer {
                let k = out.iter().position(|o| o.0 == answer).unwrap();
                let (_, part, attempt, fails) = out.remove(k);
                let (how, took) =
                    if fails { (Outcome::Full, 5.0) } else { (Outcome::Served, self.request() + 10.0) };
                vec![ended(&part, attempt, how, took)]
            } else if at < next {
                vec![]
            } else {
                asked += 1;
                next = at + chance.wait(if at > start { rate * self.surge } else { rate });
                s.query(&format!("q{rank}-{asked}"), 0, &[asked % 4], 4000.0)
            };
            let mut opened = BTreeMap::new();
            for (part, node, _) in sends(&s.step(at - s.now, events)) {
                let attempt = tries.entry(part.clone()).or_default();
                *attempt += 1;
                let attempt = *attempt - 1;
                let bundled: &mut usize = opened.entry(node.clone()).or_default();
                let call = if bundled.is_multiple_of(site.batch) { site.call } else { 0.0 };
                *bundled += 1;
                if node == "c" && at >= start && at < end {
                    came.push((at - start, told, site.part + call));
                }
                let fails = chance.random() < self.failing;
                let after = if fails { 5.0 } else { self.request() + 10.0 };
                // Servers answer no more than they can do.
                if at < start || fails || node != "c" || chance.random() < 1.0 / (LOAD * self.surge) {
                    out.push((at + after, part, attempt, fails));
                }
            }
        }
        came
    }

    /// The largest share of the bound that a window reached: of all that came, or of one and a half times what came from
    /// those that had been told, where that is less, since the rule is broken where they sent over two thirds. What the
    /// server can do counts as it is when the window begins.
    fn worst(&self, came: &[Came]) -> f64 {
        let fall = self.site.rule.overload_time;
        let mut from = 0;
        let mut worst: f64 = 0.0;
        let (mut all, mut told) = (0.0, 0.0);
        for (at, by_told, work) in came {
            all += work;
            told += if *by_told { *work } else { 0.0 };
            while came[from].0 <= at - fall {
                all -= came[from].2;
                told -= if came[from].1 { came[from].2 } else { 0.0 };
                from += 1;
            }
            let can = self.capacity(at - fall);
            let n = self.site.rule.overload_factor * can * fall / self.request();
            worst = worst.max(f64::min(all, 1.5 * told) / self.request() / (n + 2.0 * n.sqrt() + 2.0));
        }
        worst
    }

    /// Work sent in the first half of the cold time, in what the server can do then.
    fn filled(&self, came: &[Came]) -> f64 {
        let half = self.site.rule.warm_after / 2.0;
        let work: f64 = came.iter().filter(|c| c.0 < half).map(|c| c.2).sum();
        work / (half * (self.capacity(0.0) + self.capacity(half)) / 2.0)
    }
}

fn rule(from: f64, warm_after: Millis, overload_factor: f64, overload_time: Millis) -> ColdRule {
    ColdRule { initial_capacity: from, warm_after, overload_factor, overload_time }
}

/// A process that has just started knows no part's work; a call's tells little of it, where it is far less as where it is
/// far more.
#[test]
fn rule_aggregators_that_start_together_keep_to_what_a_cold_server_bears() {
    let r = rule(0.18, 16_000.0, 2.5, 1000.0);
    for (part, call) in [(60.0, 30.0), (40.0, 4.0), (6.0, 60.0)] {
        let site = Site { part, call, batch: 4, replicas: 3, rule: r };
        for (aggregators, skew) in [(10, 0.0), (10, 2.0), (30, 0.0), (30, 2.0)] {
            for (surge, alone, failing) in
                [(1.0, false, 0.0), (3.0, false, 0.0), (1.0, true, 0.0), (1.0, false, 0.2)]
            {
                let moment = Moment::Fresh;
                let play = Play { site, aggregators, skew, moment, surge, alone, failing, seed: 0 };
                let came = play.came();
                let (worst, filled) = (play.worst(&came), play.filled(&came));
                assert!(worst <= 1.0, "{play:?}: {worst:.2} of the bound, filled {filled:.2}");
            }
        }
    }
}

/// What it was sent by one that had not been told yet counts against that one's allowance once it is: else all send a whole
/// window's allowance on top of what they had sent, and those told first meet those told last.
#[test]
fn rule_news_that_comes_over_seconds_leaves_no_second_allowance() {
    for (part, call) in [(60.0, 30.0), (40.0, 4.0), (6.0, 60.0)] {
        let site = Site { part, call, batch: 4, replicas: 3, rule: rule(0.3, 16_000.0, 1.5, 4000.0) };
        for (aggregators, skew) in [(3, 0.0), (3, 2.0), (10, 0.0), (10, 2.0), (30, 0.0), (30, 2.0)] {
            for (surge, alone, failing) in
                [(1.0, false, 0.0), (3.0, false, 0.0), (1.0, true, 0.0), (1.0, false, 0.2)]
            {
                for moment in [Moment::Spread(3000.0), Moment::Heard, Moment::Restarted(3000.0)] {
                    let play = Play { site, aggregators, skew, moment, surge, alone, failing, seed: 0 };
                    let came = play.came();
                    let (worst, filled) = (play.worst(&came), play.filled(&came));
                    assert!(worst <= 1.0, "{play:?}: {worst:.2} of the bound, filled {filled:.2}");
                }
            }
        }
    }
}
