//! Queries of 690 parts over 1,200 servers, where either one server in a hundred or one attempt in a hundred
//! is slow by 200 ms: the number of further attempts, where they are allowed, and the time until the answer.
//! The clock is simulated. The figures are printed:
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
use random_day::Random;
use std::collections::{BTreeMap, BTreeSet};

const PARTS: usize = 690;
const CELLS: usize = 400;
const AIM: Millis = 75.0;

/// Whether one server in a hundred is slow, or one attempt in a hundred.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Slow {
    Servers,
    Attempts,
}
use Slow::{Attempts, Servers};

/// Results of a simulation.
#[derive(Default, Debug)]
struct Results {
    /// By answered query: time until its final answer, and the share of its parts that were served.
    answered: Vec<(Millis, f64)>,
    unserved: usize,
    /// When queries and parts arrived, and when attempts beyond a part's first were sent.
    arrivals: Vec<Millis>,
    extra_attempts: Vec<Millis>,
    /// Maximum number of attempts at one part in flight at the same time.
    max_concurrent: usize,
}

impl Results {
    /// Quantile of the times until the final answer.
    fn wait(&self, share: f64) -> Millis {
        let mut waits: Vec<Millis> = self.answered.iter().map(|a| a.0).collect();
        waits.sort_by(f64::total_cmp);
        waits.get((waits.len() as f64 * share) as usize).or(waits.last()).copied().unwrap_or(f64::NAN)
    }

    /// Number of further attempts per first attempt.
    fn extra_share(&self) -> f64 {
        self.extra_attempts.len() as f64 / (self.arrivals.len() - self.queries()) as f64
    }

    fn queries(&self) -> usize {
        self.answered.len() + self.unserved
    }

    /// Maximum number over all windows by which further attempts exceed the budget; 0 or less if they never
    /// do.
    fn max_excess(&self, rule: &AttemptBudget) -> f64 {
        let within = |times: &[Millis], at: Millis| {
            times.iter().filter(|t| **t > at - rule.window && **t <= at).count() as f64
        };
        let excess = |at: &Millis| {
            within(&self.extra_attempts, *at)
                - rule.free_attempts
                - rule.per_request * within(&self.arrivals, *at)
        };
        let times: BTreeSet<u64> = self.extra_attempts.iter().map(|at| at.to_bits()).collect();
        times.into_iter().map(|at| excess(&f64::from_bits(at))).fold(f64::NEG_INFINITY, f64::max)
    }
}

/// Simulates this number of queries, one every 100 ms. `allowed`: whether hedged attempts and cancelling are
/// allowed.
fn simulate(
    what: Slow,
    class: Class,
    allowed: (bool, bool),
    budget: Option<AttemptBudget>,
    queries: u64,
) -> Results {
    let (hedging, cancel) = allowed;
    let settings = Settings {
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
    let mut aggregator = Aggregator::new(settings, 5);
    let list = |n: usize| member(&format!("n{n:05}"), n % CELLS);
    let members = (0..CELLS * 3).map(list).collect();
    let mut events = vec![Event::List { kind: ListKind::Complete, members }];
    // At most one server of each cell is slow.
    let slow: BTreeSet<NodeId> = (0..CELLS * 3).step_by(101).map(|n| node(&format!("n{n:05}"))).collect();
    let mut random = Random::new(9);
    let (mut results, mut now, mut arrived) = (Results::default(), 0.0, BTreeMap::new());
    let mut in_flight: BTreeMap<(RequestId, u32), (Millis, Millis, Outcome)> = BTreeMap::new();
    let mut sent: BTreeMap<RequestId, u32> = BTreeMap::new();
    let mut served: BTreeMap<u64, BTreeSet<u32>> = BTreeMap::new();
    while now < 100.0 * (queries + 4) as f64 {
        let group = (now / 100.0) as u64 + 1;
        if now % 100.0 == 0.0 && group <= queries {
            let deadline = now + 300.0;
            let (id, class, tenant) = (RequestId::Query(group), ClassIndex(0), TenantIndex(0));
            let max_attempts = None;
            let client_deadline = deadline;
            arrived.insert(group, now);
            let is_retry = false;
            events.push(Event::Query(Query {
                id,
                group,
                class,
                tenant,
                deadline,
                client_deadline,
                max_attempts,
                is_retry,
            }));
            let weight = 1.0 / PARTS as f64;
            for part in 0..PARTS as u32 {
                let (id, shard) = (RequestId::Part(group, part), part as usize + random.below(2));
                events.push(Event::Part(Part { id, group, shard, weight, work_hint: None }));
            }
            results.arrivals.extend(vec![now; PARTS + 1]);
        }
        events.push(Event::Woken);
        for action in aggregator.on_batch(now, std::mem::take(&mut events)) {
            match action {
                Action::Send { part, node, timeout } => {
                    let attempt = sent.entry(part.clone()).or_default();
                    if *attempt > 0 {
                        results.extra_attempts.push(now);
                    }
                    let slow_attempt = if what == Servers { slow.contains(&node) } else { random.is(0.01) };
                    let time = random.within(2.0, 6.0) + if slow_attempt { 200.0 } else { 0.0 };
                    let timeout = timeout.unwrap_or(300.0);
                    let outcome = if time > timeout { Outcome::TimedOut } else { Outcome::Served };
                    in_flight.insert((part.clone(), *attempt), (now, now + time.min(timeout), outcome));
                    *attempt += 1;
                    let concurrent = in_flight.keys().filter(|(p, _)| *p == part).count();
                    results.max_concurrent = results.max_concurrent.max(concurrent);
                }
                Action::Cancel { part, attempt } => {
                    if let Some((at, ..)) = in_flight.remove(&(part.clone(), attempt)) {
                        let (outcome, elapsed) = (Outcome::Cancelled, now - at);
                        events.push(Event::Ended { part, attempt, outcome, elapsed, load: None });
                    }
                }
                Action::Answer { query: RequestId::Query(query), .. } => {
                    let share = served.get(&query).map_or(0, BTreeSet::len) as f64 / PARTS as f64;
                    results.answered.push((now - arrived[&query], share));
                }
                Action::Refuse { .. } | Action::Fail { .. } => results.unserved += 1,
                _ => {}
            }
        }
        now += 1.0;
        in_flight.retain(|(part, attempt), (at, end, outcome)| {
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
    results
}

/// Prints the figures of a simulation.
fn print_figures(name: &str, results: &Results) {
    println!(
        "{name:34} answered {:3} of {:3}, wait p50 {:5.0} ms p99 {:5.0} ms, min share {:.3}, extra {:5.2} %",
        results.answered.len(),
        results.queries(),
        results.wait(0.5),
        results.wait(0.99),
        results.answered.iter().map(|a| a.1).fold(f64::INFINITY, f64::min),
        100.0 * results.extra_share(),
    );
}

/// Further attempts stay within any budget in each of its windows, and here far below the default budget of
/// the module.
#[test]
fn further_attempts_stay_within_the_budget() {
    let default_budget = AttemptBudget { free_attempts: 6.0, per_request: 0.3, window: 1.5 * AIM };
    let rules = [
        None,
        Some(AttemptBudget { free_attempts: 0.0, per_request: 0.02, window: 1000.0 }),
        Some(AttemptBudget { free_attempts: 3.0, per_request: 0.002, window: 250.0 }),
        Some(AttemptBudget { free_attempts: 0.0, per_request: 0.0, window: 1000.0 }),
    ];
    for (what, rule) in [Servers, Attempts].into_iter().flat_map(|what| rules.map(|rule| (what, rule))) {
        for allowed in [(true, true), (true, false), (false, true), (false, false)] {
            let results = simulate(what, class(), allowed, rule, 40);
            print_figures(
                &format!("{what:?} slow, share {:?}, {allowed:?}", rule.map(|r| r.per_request)),
                &results,
            );
            let rule = rule.unwrap_or(default_budget);
            assert!(results.max_excess(&rule) <= 0.0, "{} above {rule:?}", results.max_excess(&rule));
            assert!(results.extra_share() <= 0.03, "{} of the first attempts", results.extra_share());
        }
    }
}

/// Hedged attempts are sent only if the settings and the class allow them.
#[test]
fn hedged_attempts_are_sent_only_where_they_are_allowed() {
    for what in [Servers, Attempts] {
        let hedged = simulate(what, class(), (true, true), None, 20);
        assert!(hedged.max_concurrent == 2 && !hedged.extra_attempts.is_empty(), "{}", hedged.max_concurrent);
        assert_eq!(simulate(what, class(), (false, true), None, 20).max_concurrent, 1);
        assert_eq!(simulate(what, class(), (false, false), None, 20).extra_attempts.len(), 0);
        let unsafe_class = Class { semantics: Semantics::Unsafe, ..class() };
        assert_eq!(simulate(what, unsafe_class, (true, true), None, 20).extra_attempts.len(), 0);
        let expired = Class { semantics: Semantics::Keyed { window: 1.0 }, ..class() };
        assert_eq!(
            simulate(what, expired, (true, true), None, 20).extra_attempts.len(),
            0,
            "the window has ended"
        );
    }
}

/// Every answer has at least the share of parts that is the floor of its class.
#[test]
fn parts_are_omitted_down_to_the_floor() {
    for (what, floor) in [Servers, Attempts].into_iter().flat_map(|what| [(what, 0.999), (what, 0.98)]) {
        let partial = Class { floor, late_worth: 0.0, ..class() };
        let results = simulate(what, partial, (false, false), None, 40);
        print_figures(&format!("{what:?} slow, floor {floor}"), &results);
        assert!(results.answered.iter().all(|(_, share)| *share + 1e-4 >= floor), "{:?}", results.answered);
        let partial = results.answered.iter().filter(|(_, share)| *share < 1.0).count();
        let (few, all) = (results.unserved > 20, results.answered.len() > 35 && partial > 20);
        assert!(what == Servers || if floor > 0.99 { few } else { all }, "{partial} of {results:?}");
    }
}
