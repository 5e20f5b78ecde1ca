//! A query of 690 parts over 1,200 servers, of which one in a hundred is slow by 200 ms, or each is once in a hundred
//! attempts: how many further attempts that
//! takes, where they are allowed, and what the query waits for. Time is virtual; figures are printed:
//!
//! ```text
//! cargo test -p brookbend --test tail -- --nocapture
//! ```

mod common;

#[path = "common/random_day.rs"]
mod random_day;

use brookbend::Aggregator;
use brookbend::api::*;
use common::{class, member, node, ring};
use random_day::Chance;
use std::collections::{BTreeMap, BTreeSet};

const PARTS: usize = 690;
const CELLS: usize = 400;
const AIM: Millis = 75.0;

/// What is slow.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Slow {
    Servers,
    Attempts,
}
use Slow::{Attempts, Servers};

/// What came of a day.
#[derive(Default, Debug)]
struct Told {
    /// Of each query: how long until its final answer, and the share of its parts that it was given from.
    answered: Vec<(Millis, f64)>,
    unserved: usize,
    /// When queries and parts came, and when attempts beyond a part's first went.
    taken: Vec<Millis>,
    extras: Vec<Millis>,
    /// Most attempts at a part that were out at once.
    at_once: usize,
}

impl Told {
    fn wait(&self, share: f64) -> Millis {
        let mut waits: Vec<Millis> = self.answered.iter().map(|a| a.0).collect();
        waits.sort_by(f64::total_cmp);
        waits.get((waits.len() as f64 * share) as usize).or(waits.last()).copied().unwrap_or(f64::NAN)
    }

    /// Further attempts over first ones.
    fn added(&self) -> f64 {
        self.extras.len() as f64 / (self.taken.len() - self.queries()) as f64
    }

    fn queries(&self) -> usize {
        self.answered.len() + self.unserved
    }

    /// The most by which the further attempts of a window pass what the rule allows in it; none: 0 or less.
    fn over(&self, rule: &AttemptBudget) -> f64 {
        let within = |of: &[Millis], at: Millis| {
            of.iter().filter(|t| **t > at - rule.window && **t <= at).count() as f64
        };
        let over = |at: &Millis| {
            within(&self.extras, *at) - rule.free_attempts - rule.per_request * within(&self.taken, *at)
        };
        let moments: BTreeSet<u64> = self.extras.iter().map(|at| at.to_bits()).collect();
        moments.into_iter().map(|at| over(&f64::from_bits(at))).fold(f64::NEG_INFINITY, f64::max)
    }
}

/// So many such queries, one in each tenth of a second. `allowed`: second copies, and to call off.
fn day(what: Slow, class: Class, allowed: (bool, bool), budget: Option<AttemptBudget>, queries: u64) -> Told {
    let (hedging, cancel) = allowed;
    let set = Settings {
        classes: vec![Class { aim: AIM, give_up: 300.0, ..class }],
        aggregators: 1600,
        cells: CELLS,
        reach: 1,
        shards: CELLS,
        call_work: 1.0,
        tick: 1.0,
        hedging,
        cancel,
        budget,
        ..ring()
    };
    let mut a = Aggregator::new(set, 5);
    let list = |n: usize| member(&format!("n{n:05}"), n % CELLS);
    let members = (0..CELLS * 3).map(list).collect();
    let mut events = vec![Event::List { kind: ListKind::Complete, members }];
    // No two of a cell.
    let slow: BTreeSet<NodeId> = (0..CELLS * 3).step_by(101).map(|n| node(&format!("n{n:05}"))).collect();
    let mut chance = Chance::new(9);
    let (mut told, mut now, mut asked) = (Told::default(), 0.0, BTreeMap::new());
    let mut out: BTreeMap<(RequestId, u32), (Millis, Millis, Outcome)> = BTreeMap::new();
    let mut sent: BTreeMap<RequestId, u32> = BTreeMap::new();
    let mut served: BTreeMap<u64, BTreeSet<u32>> = BTreeMap::new();
    while now < 100.0 * (queries + 4) as f64 {
        let group = (now / 100.0) as u64 + 1;
        if now % 100.0 == 0.0 && group <= queries {
            let deadline = now + 300.0;
            let (id, class, tenant) = (RequestId::Query(group), ClassIndex(0), TenantIndex(0));
            let max_attempts = None;
            let client_deadline = deadline;
            asked.insert(group, now);
            let again = false;
            events.push(Event::Query(Query {
                id,
                group,
                class,
                tenant,
                deadline,
                client_deadline,
                max_attempts,
                is_retry: again,
            }));
            let weight = 1.0 / PARTS as f64;
            for part in 0..PARTS as u32 {
                let (id, shard) = (RequestId::Part(group, part), part as usize + chance.below(2));
                events.push(Event::Part(Part { id, group, shard, weight, work_hint: None }));
            }
            told.taken.extend(vec![now; PARTS + 1]);
        }
        events.push(Event::Woken);
        for action in a.on_batch(now, std::mem::take(&mut events)) {
            match action {
                Action::Send { part, node, timeout: within } => {
                    let attempt = sent.entry(part.clone()).or_default();
                    if *attempt > 0 {
                        told.extras.push(now);
                    }
                    let late = if what == Servers { slow.contains(&node) } else { chance.is(0.01) };
                    let usual = chance.within(2.0, 6.0) + if late { 200.0 } else { 0.0 };
                    let within = within.unwrap_or(300.0);
                    let outcome = if usual > within { Outcome::TimedOut } else { Outcome::Served };
                    out.insert((part.clone(), *attempt), (now, now + usual.min(within), outcome));
                    *attempt += 1;
                    let at_once = out.keys().filter(|(p, _)| *p == part).count();
                    told.at_once = told.at_once.max(at_once);
                }
                Action::Cancel { part, attempt } => {
                    if let Some((at, ..)) = out.remove(&(part.clone(), attempt)) {
                        let (outcome, elapsed) = (Outcome::Cancelled, now - at);
                        events.push(Event::Ended { part, attempt, outcome, elapsed, load: None });
                    }
                }
                Action::Answer { query: RequestId::Query(q), .. } => {
                    let share = served.get(&q).map_or(0, BTreeSet::len) as f64 / PARTS as f64;
                    told.answered.push((now - asked[&q], share));
                }
                Action::Refuse { .. } | Action::Fail { .. } => told.unserved += 1,
                _ => {}
            }
        }
        now += 1.0;
        out.retain(|(part, attempt), (at, end, outcome)| {
            if *end > now {
                return true;
            }
            if let RequestId::Part(q, p) = part
                && *outcome == Outcome::Served
            {
                served.entry(*q).or_default().insert(*p);
            }
            let (part, attempt, outcome, elapsed) = (part.clone(), *attempt, *outcome, now - *at);
            events.push(Event::Ended { part, attempt, outcome, elapsed, load: None });
            false
        });
    }
    told
}

fn figures(name: &str, t: &Told) {
    println!(
        "{name:34} answered {:3} of {:3}, wait p50 {:5.0} ms p99 {:5.0} ms, least share {:.3}, added {:5.2} %",
        t.answered.len(),
        t.queries(),
        t.wait(0.5),
        t.wait(0.99),
        t.answered.iter().map(|a| a.1).fold(f64::INFINITY, f64::min),
        100.0 * t.added(),
    );
}

/// Whatever the budget, further attempts keep within it in each of its windows; and on such a day far below the module's own.
#[test]
fn further_attempts_stay_within_the_stated_share() {
    let own = AttemptBudget { free_attempts: 6.0, per_request: 0.3, window: 1.5 * AIM };
    let rules = [
        None,
        Some(AttemptBudget { free_attempts: 0.0, per_request: 0.02, window: 1000.0 }),
        Some(AttemptBudget { free_attempts: 3.0, per_request: 0.002, window: 250.0 }),
        Some(AttemptBudget { free_attempts: 0.0, per_request: 0.0, window: 1000.0 }),
    ];
    for (what, rule) in [Servers, Attempts].into_iter().flat_map(|what| rules.map(|rule| (what, rule))) {
        for allowed in [(true, true), (true, false), (false, true), (false, false)] {
            let told = day(what, class(), allowed, rule, 40);
            figures(&format!("{what:?} slow, share {:?}, {allowed:?}", rule.map(|r| r.per_request)), &told);
            let rule = rule.unwrap_or(own);
            assert!(told.over(&rule) <= 0.0, "{} over {rule:?}", told.over(&rule));
            assert!(told.added() <= 0.03, "{} of the first attempts", told.added());
        }
    }
}

/// Second copies go only where the settings and the class allow them.
#[test]
fn second_copies_go_only_where_they_are_allowed() {
    for what in [Servers, Attempts] {
        let with = day(what, class(), (true, true), None, 20);
        assert!(with.at_once == 2 && !with.extras.is_empty(), "{}", with.at_once);
        assert_eq!(day(what, class(), (false, true), None, 20).at_once, 1);
        assert_eq!(day(what, class(), (false, false), None, 20).extras.len(), 0);
        let unsafe_class = Class { semantics: Semantics::Unsafe, ..class() };
        assert_eq!(day(what, unsafe_class, (true, true), None, 20).extras.len(), 0);
        let lapsed = Class { semantics: Semantics::Keyed { window: 1.0 }, ..class() };
        assert_eq!(day(what, lapsed, (true, true), None, 20).extras.len(), 0, "its window has passed");
    }
}

/// An answer is given from the class's floor at the least.
#[test]
fn parts_are_left_out_down_to_the_floor() {
    for (what, floor) in [Servers, Attempts].into_iter().flat_map(|what| [(what, 0.999), (what, 0.98)]) {
        let partial = Class { floor, late_worth: 0.0, ..class() };
        let told = day(what, partial, (false, false), None, 40);
        figures(&format!("{what:?} slow, floor {floor}"), &told);
        assert!(told.answered.iter().all(|(_, share)| *share + 1e-4 >= floor), "{:?}", told.answered);
        let partial = told.answered.iter().filter(|(_, share)| *share < 1.0).count();
        let (few, all) = (told.unserved > 20, told.answered.len() > 35 && partial > 20);
        assert!(what == Servers || if floor > 0.99 { few } else { all }, "{partial} of {told:?}");
    }
}
