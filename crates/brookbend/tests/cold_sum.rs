//! The work that all aggregators of a fleet together send to one cold server, whether they were notified of
//! its start or not, counted as the server counts it: beyond the N requests of mean work that the settings
//! allow in a window, chance may add at most 2 sqrt(N) + 2.

mod common;

use brookbend::Aggregator;
use brookbend::api::*;
use common::*;
use rand_pcg::Pcg64Mcg;
use rand_pcg::rand_core::{RngCore, SeedableRng};
use std::collections::BTreeMap;

/// Share of the capacity of the cell's servers, of one core each, that all aggregators together request.
const LOAD: f64 = 0.75;

/// The properties of a deployment that matter here. Times in milliseconds.
#[derive(Clone, Copy, Debug)]
struct Site {
    /// Work of a part, and of the call that carries it.
    part_work: Millis,
    call_work: Millis,
    batch: usize,
    /// Number of servers of a cell, including the cold one.
    replicas: usize,
    rule: ColdRule,
}

/// When aggregators learn of the start of the cold server.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Notification {
    /// All have run for a while, and are notified at the start.
    AtOnce,
    /// They are notified over this many milliseconds after the start, and send as before until then.
    Over(Millis),
    /// All start at the same time as the cold server.
    StartTogether,
    /// They start over this many milliseconds after the cold server.
    StartOver(Millis),
}

#[derive(Clone, Copy, Debug)]
struct Simulation {
    site: Site,
    aggregators: usize,
    /// Shares of the traffic fall with the rank of an aggregator by this power.
    skew: f64,
    notification: Notification,
    /// Factor of the traffic from the start on.
    surge: f64,
    /// Whether the warm servers of the cell leave at the start.
    others_leave: bool,
    /// Share of attempts that the server rejects as full, so that they are repeated.
    failing: f64,
    seed: u64,
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

/// An attempt that reached the cold server: when after its start, whether its sender had been notified, and
/// its work.
type Arrival = (Millis, bool, Millis);

impl Simulation {
    /// Work of a request that carries one part.
    fn request_work(&self) -> Millis {
        self.site.part_work + self.site.call_work
    }

    /// Capacity of the cold server at this age, as a share of its capacity once it is warm.
    fn capacity(&self, age: Millis) -> f64 {
        let rule = self.site.rule;
        rule.initial_capacity + (1.0 - rule.initial_capacity) * (age / rule.warm_after).clamp(0.0, 1.0)
    }

    /// The attempts that reached the cold server, in the order of time.
    fn arrivals(&self) -> Vec<Arrival> {
        let mut arrivals: Vec<Arrival> =
            (0..self.aggregators).flat_map(|rank| self.arrivals_from(rank)).collect();
        arrivals.sort_by(|a, b| a.0.total_cmp(&b.0));
        arrivals
    }

    /// The attempts of one aggregator that reached the cold server.
    fn arrivals_from(&self, rank: usize) -> Vec<Arrival> {
        let (site, rule) = (self.site, self.site.rule);
        let settings = Settings {
            aggregators: self.aggregators,
            cells: 1,
            reach: 1,
            shards: 4,
            batch: site.batch,
            call_work: site.call_work,
            cold: rule,
            hedging: false,
            ..ring()
        };
        let mut random =
            Random(Pcg64Mcg::seed_from_u64(self.seed ^ (977 * rank as u64 + self.aggregators as u64) << 8));
        let weight = |rank: usize| ((rank + 1) as f64).powf(-self.skew);
        let total_weight: f64 = (0..self.aggregators).map(weight).sum();
        let rate = LOAD * site.replicas as f64 / self.request_work() * weight(rank) / total_weight;
        let start = match self.notification {
            Notification::AtOnce | Notification::Over(_) => 12_000.0,
            _ => 0.0,
        };
        let end = start + rule.warm_after;
        let delay = match self.notification {
            Notification::Over(time) | Notification::StartOver(time) => time * random.uniform(),
            _ => 0.0,
        };
        let warm: Vec<String> = (1..site.replicas).map(|n| format!("b{n}")).collect();
        let restarted = Member { started: Some(start), ..member("c", 0) };
        let mut harness = Harness::new(settings.clone(), 0);
        harness.aggregator = Aggregator::new(settings, self.seed ^ (31 + rank as u64));
        harness.now = if start > 0.0 { 0.0 } else { delay };
        let members: Vec<Member> = warm
            .iter()
            .map(|n| member(n, 0))
            .filter(|_| start > 0.0 || !self.others_leave)
            .chain([if start > 0.0 { member("c", 0) } else { restarted.clone() }])
            .collect();
        let mut notified = start == 0.0;
        harness.step(0.0, vec![Event::List { kind: ListKind::Complete, members }]);
        // Aggregators begin their one-second intervals at different times, unless they start together.
        if start > 0.0 {
            harness.step(1000.0 * random.uniform(), vec![]);
        }
        let mut in_flight: Vec<(Millis, String, u32, bool)> = Vec::new();
        let mut attempts: BTreeMap<String, u32> = BTreeMap::new();
        let mut arrivals = Vec::new();
        let mut next = harness.now + random.wait(rate);
        let mut queries = 0;
        while harness.now < end {
            let answer = in_flight.iter().map(|o| o.0).fold(f64::INFINITY, f64::min);
            let list = if notified { f64::INFINITY } else { start + delay };
            // Waiting parts are sent between events. With rare batches they would seem to be sent together.
            let at = next.min(answer).min(list).min(harness.now + 10.0).max(harness.now);
            let events = if at >= list {
                notified = true;
                let gone = |n: &String| Member { state: NodeState::Gone, ..member(n, 0) };
                let gone = warm.iter().filter(|_| self.others_leave).map(gone);
                let members = gone.chain([restarted.clone()]).collect();
                vec![Event::List { kind: ListKind::Changes, members }]
            } else if at >= answer {
                let k = in_flight.iter().position(|o| o.0 == answer).unwrap();
                let (_, part, attempt, fails) = in_flight.remove(k);
                let (outcome, elapsed) =
                    if fails { (Outcome::Full, 5.0) } else { (Outcome::Served, self.request_work() + 10.0) };
                vec![ended(&part, attempt, outcome, elapsed)]
            } else if at < next {
                vec![]
            } else {
                queries += 1;
                next = at + random.wait(if at > start { rate * self.surge } else { rate });
                harness.query(&format!("q{rank}-{queries}"), 0, &[queries % 4], 4000.0)
            };
            let mut sent_in_batch = BTreeMap::new();
            for (part, node, _) in sends(&harness.step(at - harness.now, events)) {
                let attempt = attempts.entry(part.clone()).or_default();
                *attempt += 1;
                let attempt = *attempt - 1;
                let bundled: &mut usize = sent_in_batch.entry(node.clone()).or_default();
                let call_work = if bundled.is_multiple_of(site.batch) { site.call_work } else { 0.0 };
                *bundled += 1;
                if node == "c" && at >= start && at < end {
                    arrivals.push((at - start, notified, site.part_work + call_work));
                }
                let fails = random.uniform() < self.failing;
                let after = if fails { 5.0 } else { self.request_work() + 10.0 };
                // A cold server answers only as many attempts as it has the capacity for.
                if at < start || fails || node != "c" || random.uniform() < 1.0 / (LOAD * self.surge) {
                    in_flight.push((at + after, part, attempt, fails));
                }
            }
        }
        arrivals
    }

    /// The largest share of the bound that any window reached: of all work that arrived, or of one and a half
    /// times what arrived from notified aggregators, whichever is less, since these break the rule if they
    /// sent more than two thirds of it. The server's capacity counts as it is at the beginning of the window.
    fn worst_window(&self, arrivals: &[Arrival]) -> f64 {
        let fall = self.site.rule.overload_time;
        let mut first = 0;
        let mut worst: f64 = 0.0;
        let (mut all, mut from_notified) = (0.0, 0.0);
        for (at, notified, work) in arrivals {
            all += work;
            from_notified += if *notified { *work } else { 0.0 };
            while arrivals[first].0 <= at - fall {
                all -= arrivals[first].2;
                from_notified -= if arrivals[first].1 { arrivals[first].2 } else { 0.0 };
                first += 1;
            }
            let capacity = self.capacity(at - fall);
            let n = self.site.rule.overload_factor * capacity * fall / self.request_work();
            worst = worst
                .max(f64::min(all, 1.5 * from_notified) / self.request_work() / (n + 2.0 * n.sqrt() + 2.0));
        }
        worst
    }

    /// Work that arrived in the first half of the cold period, as a share of the server's capacity.
    fn utilization(&self, arrivals: &[Arrival]) -> f64 {
        let half = self.site.rule.warm_after / 2.0;
        let work: f64 = arrivals.iter().filter(|c| c.0 < half).map(|c| c.2).sum();
        work / (half * (self.capacity(0.0) + self.capacity(half)) / 2.0)
    }
}

fn rule(from: f64, warm_after: Millis, overload_factor: f64, overload_time: Millis) -> ColdRule {
    ColdRule { initial_capacity: from, warm_after, overload_factor, overload_time }
}

/// An aggregator that has just started does not know the work of a part. That of a call says little about it:
/// it may be far less or far more.
#[test]
fn rule_aggregators_that_start_together_stay_within_the_limit_of_a_cold_server() {
    let rule = rule(0.18, 16_000.0, 2.5, 1000.0);
    for (part_work, call_work) in [(60.0, 30.0), (40.0, 4.0), (6.0, 60.0)] {
        let site = Site { part_work, call_work, batch: 4, replicas: 3, rule };
        for (aggregators, skew) in [(10, 0.0), (10, 2.0), (30, 0.0), (30, 2.0)] {
            for (surge, others_leave, failing) in
                [(1.0, false, 0.0), (3.0, false, 0.0), (1.0, true, 0.0), (1.0, false, 0.2)]
            {
                let notification = Notification::StartTogether;
                let simulation = Simulation {
                    site,
                    aggregators,
                    skew,
                    notification,
                    surge,
                    others_leave,
                    failing,
                    seed: 0,
                };
                let arrivals = simulation.arrivals();
                let (worst, utilization) =
                    (simulation.worst_window(&arrivals), simulation.utilization(&arrivals));
                assert!(
                    worst <= 1.0,
                    "{simulation:?}: {worst:.2} of the bound, utilization {utilization:.2}"
                );
            }
        }
    }
}

/// The work that an aggregator sent before it was notified of the start counts against its allowance
/// afterwards. Otherwise every aggregator would send a whole window's allowance on top of it, and those
/// notified first would add to those notified last.
#[test]
fn rule_notifications_over_seconds_give_no_second_allowance() {
    for (part_work, call_work) in [(60.0, 30.0), (40.0, 4.0), (6.0, 60.0)] {
        let site =
            Site { part_work, call_work, batch: 4, replicas: 3, rule: rule(0.3, 16_000.0, 1.5, 4000.0) };
        for (aggregators, skew) in [(3, 0.0), (3, 2.0), (10, 0.0), (10, 2.0), (30, 0.0), (30, 2.0)] {
            for (surge, others_leave, failing) in
                [(1.0, false, 0.0), (3.0, false, 0.0), (1.0, true, 0.0), (1.0, false, 0.2)]
            {
                for notification in
                    [Notification::Over(3000.0), Notification::AtOnce, Notification::StartOver(3000.0)]
                {
                    let simulation = Simulation {
                        site,
                        aggregators,
                        skew,
                        notification,
                        surge,
                        others_leave,
                        failing,
                        seed: 0,
                    };
                    let arrivals = simulation.arrivals();
                    let (worst, utilization) =
                        (simulation.worst_window(&arrivals), simulation.utilization(&arrivals));
                    assert!(
                        worst <= 1.0,
                        "{simulation:?}: {worst:.2} of the bound, utilization {utilization:.2}"
                    );
                }
            }
        }
    }
}
