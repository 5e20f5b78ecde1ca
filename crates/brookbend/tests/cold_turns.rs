//! What many aggregators together send to one cold server: near what it can do, and never past its limit, however many
//! they are, however unevenly the queries fall on them, and when far more come all at once.

mod common;

use brookbend::Aggregator;
use brookbend::api::*;
use common::*;
use rand_pcg::Pcg64Mcg;
use rand_pcg::rand_core::{RngCore, SeedableRng};
use std::collections::BTreeMap;

/// Parts a second over all aggregators: this share of what the cell's servers of one core each can do.
const LOAD: f64 = 0.75;
const RULE: ColdRule =
    ColdRule { initial_capacity: 0.18, warm_after: 16_000.0, overload_factor: 2.5, overload_time: 1000.0 };

/// A deployment, as far as it matters here.
#[derive(Clone, Copy, Debug)]
struct Site {
    /// Work of a part, and of the call that carries it.
    part: Millis,
    call: Millis,
    batch: usize,
    /// Servers of a cell, the cold one included.
    replicas: usize,
    copies: bool,
    rule: ColdRule,
}

const LIGHT: Site = Site { part: 60.0, call: 30.0, batch: 4, replicas: 3, copies: false, rule: RULE };
/// Parts and calls that are heavier, with fewer of them.
const SITES: [Site; 2] = [
    Site { part: 90.0, call: 36.0, batch: 4, replicas: 3, copies: false, rule: RULE },
    Site {
        part: 140.0,
        call: 59.0,
        batch: 8,
        replicas: 4,
        copies: true,
        rule: ColdRule {
            initial_capacity: 0.21,
            warm_after: 17_000.0,
            overload_factor: 3.0,
            overload_time: 1000.0,
        },
    },
];

impl Site {
    fn parts_per_s(&self) -> f64 {
        LOAD * self.replicas as f64 * 1000.0 / (self.part + self.call)
    }

    /// An answer of a warm server takes this long: it is lightly loaded.
    fn answer(&self) -> Millis {
        self.part + self.call + 10.0
    }

    fn capacity(&self, age: Millis) -> f64 {
        self.rule.initial_capacity
            + (1.0 - self.rule.initial_capacity) * (age / self.rule.warm_after).min(1.0)
    }
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

/// When, after its start, the cold one of a cell's servers was sent parts by so many aggregators. Shares of the traffic fall
/// with the rank of an aggregator by this power; from the start on it is so many times what it was before. If it
/// is `alone`, the others are gone by then. If queries may be answered `in_part`, each has a part of a second cell too,
/// which is enough for an answer.
fn sent_to_cold(
    site: Site,
    aggregators: usize,
    skew: f64,
    surge: f64,
    alone: bool,
    in_part: bool,
) -> Vec<Millis> {
    let rule = site.rule;
    let set = Settings {
        aggregators,
        classes: vec![Class { floor: if in_part { 0.5 } else { 1.0 }, ..class() }],
        cells: 1 + usize::from(in_part),
        reach: 1,
        shards: 4,
        batch: site.batch,
        call_work: site.call,
        cold: rule,
        hedging: site.copies,
        ..ring()
    };
    let warm: Vec<String> = (1..site.replicas).map(|n| format!("b{n}")).collect();
    let weight = |rank: usize| ((rank + 1) as f64).powf(-skew);
    let all: f64 = (0..aggregators).map(weight).sum();
    let mut times = Vec::new();
    for rank in 0..aggregators {
        let rate = site.parts_per_s() / 1000.0 * weight(rank) / all;
        let mut chance = Chance(Pcg64Mcg::seed_from_u64(977 * rank as u64 + aggregators as u64));
        let mut s = Harness::new(set.clone(), 0);
        s.a = Aggregator::new(set.clone(), 31 + rank as u64);
        let mut list: Vec<Member> = warm.iter().map(|n| member(n, 0)).chain([member("c", 0)]).collect();
        list.extend(["d", "e", "f"].into_iter().filter(|_| in_part).map(|n| member(n, 1)));
        s.step(5.0, vec![Event::List { kind: ListKind::Complete, members: list }]);
        // Aggregators began at moments of their own.
        s.step(1000.0 * chance.random(), vec![]);
        let start = 20_000.0;
        let mut out: Vec<(Millis, String, u32)> = Vec::new();
        let mut tries: BTreeMap<String, u32> = BTreeMap::new();
        let mut next = s.now + chance.wait(rate);
        let mut told = false;
        let mut asked = 0;
        while s.now < start + rule.warm_after {
            out.sort_by(|a, b| a.0.total_cmp(&b.0));
            let answer = out.first().map_or(f64::INFINITY, |o| o.0);
            let list = if told { f64::INFINITY } else { start };
            // Parts that wait are sent between events: seen in time, or they would seem to go together.
            let at = next.min(answer).min(list).min(s.now + 10.0).max(s.now);
            let events = if at >= list {
                told = true;
                let mut members = vec![Member { started: Some(start), ..member("c", 0) }];
                let gone = |n: &str| Member { state: NodeState::Gone, ..member(n, 0) };
                members.extend(warm.iter().filter(|_| alone).map(|n| gone(n)));
                vec![Event::List { kind: ListKind::Changes, members }]
            } else if at >= answer {
                let (_, part, attempt) = out.remove(0);
                vec![ended(&part, attempt, Outcome::Served, site.answer())]
            } else if at < next {
                vec![]
            } else {
                asked += 1;
                next = at + chance.wait(if at > start { rate * surge } else { rate });
                let name = format!("q{rank}-{asked}");
                if in_part {
                    s.query(&name, 0, &[asked % 2 * 2, asked % 2 * 2 + 1], 4000.0)
                } else {
                    s.query(&name, 0, &[asked % 4], 4000.0)
                }
            };
            let actions = s.step(at - s.now, events);
            for (part, node, _) in sends(&actions) {
                let attempt = tries.entry(part.clone()).or_default();
                *attempt += 1;
                let attempt = *attempt - 1;
                if node == "c" && at >= start && at < start + rule.warm_after {
                    times.push(at - start);
                }
                // Servers answer no more than they can do.
                if at < start || node.as_str() > "c" || chance.random() < 1.0 / (LOAD * surge) {
                    out.push((at + site.answer(), part, attempt));
                }
            }
        }
    }
    times.sort_by(f64::total_cmp);
    times
}

/// The largest share of the rule's limit that a window reached.
fn worst_window(site: Site, times: &[Millis]) -> f64 {
    let window = |(last, at): (usize, &Millis)| {
        let from = times.partition_point(|t| *t <= at - site.rule.overload_time);
        let work = (last + 1 - from) as f64 * site.part;
        let can = (site.capacity((at - site.rule.overload_time).max(0.0)) + site.capacity(*at)) / 2.0;
        work / (site.rule.overload_factor * can * site.rule.overload_time)
    };
    times.iter().enumerate().map(window).fold(0.0, f64::max)
}

/// The same against what is left to chance: where the settings allow N requests of mean work in a window, a cold server
/// falls at more than N + 3 sqrt(N) + 3. Counted from what it could do when the window began.
fn worst_count(site: Site, times: &[Millis]) -> f64 {
    let window = |(last, at): (usize, &Millis)| {
        let from = times.partition_point(|t| *t <= at - site.rule.overload_time);
        let can = site.capacity((at - site.rule.overload_time).max(0.0));
        let n = site.rule.overload_factor * can * site.rule.overload_time / (site.part + site.call);
        (last + 1 - from) as f64 / (n + 3.0 * n.sqrt() + 3.0)
    };
    times.iter().enumerate().map(window).fold(0.0, f64::max)
}

/// Work, calls included, sent in the first half of the cold time, in what the server can do then.
fn filled(site: Site, times: &[Millis]) -> f64 {
    let half = site.rule.warm_after / 2.0;
    let work = times.iter().filter(|t| **t < half).count() as f64 * (site.part + site.call);
    work / (half * (site.capacity(0.0) + site.capacity(half)) / 2.0)
}

#[test]
fn rule_all_together_fill_a_cold_server_and_never_pass_its_limit() {
    for aggregators in [3, 30, 300] {
        for skew in [0.0, 1.0] {
            let days = [(1.0, false), (3.0, false), (1.0, true)];
            for ((surge, alone), in_part) in days.into_iter().flat_map(|d| [(d, false), (d, true)]) {
                let times = sent_to_cold(LIGHT, aggregators, skew, surge, alone, in_part);
                let (worst, filled) = (worst_window(LIGHT, &times), filled(LIGHT, &times));
                let of = format!(
                    "{aggregators} aggregators, skew {skew}, surge {surge}, alone {alone}, in part {in_part}"
                );
                println!("{of}: {worst:.2} of the limit in the worst window, filled {filled:.2}");
                assert!(worst < 1.0, "{of}: {worst} of the limit");
                // What a surge leaves unanswered is refused on arrival, which is another matter.
                assert!(surge > 1.0 || in_part || filled > 0.4, "{of}: {filled} of what it can do");
            }
        }
    }
}

/// With heavier parts a window holds three or four requests: the rule then leaves as much to chance as it allows.
#[test]
fn rule_with_heavy_parts_a_cold_server_gets_no_more_than_chance_leaves_it() {
    for site in SITES {
        for aggregators in [3, 30, 300] {
            for skew in [0.0, 2.0] {
                for (surge, alone) in [(1.0, false), (3.0, false), (1.0, true)] {
                    let times = sent_to_cold(site, aggregators, skew, surge, alone, false);
                    let (worst, filled) = (worst_count(site, &times), filled(site, &times));
                    let of = format!(
                        "{} ms, {aggregators} aggregators, skew {skew}, surge {surge}, alone {alone}",
                        site.part
                    );
                    println!("{of}: {worst:.2} of the bound in the worst window, filled {filled:.2}");
                    assert!(worst <= 1.0, "{of}: {worst} of the bound");
                    assert!(surge > 1.0 || filled > 0.25, "{of}: {filled} of what it can do");
                }
            }
        }
    }
}

#[test]
fn what_a_cold_server_answers_tells_nothing_of_a_warm_one() {
    let set = Settings { aggregators: 1, cells: 2, reach: 1, shards: 2, cold: RULE, ..ring() };
    let mut s = Harness::new(set, 0);
    let list = vec![Member { started: Some(0.0), ..member("cold", 0) }, member("warm", 1)];
    s.step(5.0, vec![Event::List { kind: ListKind::Complete, members: list }]);
    let (mut answered, mut out) = (0, Vec::new());
    for k in 0..60 {
        out.extend(sends(&s.ask(&format!("q{k}"), &[0])));
        answered += out.len();
        let ends = out.drain(..).map(|t| ended(&t.0, 0, Outcome::Served, 100.0)).collect();
        // Parts that waited for room go out now, and are answered too.
        out = sends(&s.step(195.0, ends));
    }
    let rate = s.a.snapshot(s.now).served_rate;
    assert!(
        answered > 20 && rate < 0.1,
        "{answered} answers of the cold one count as {rate} cores of a warm one"
    );
}
