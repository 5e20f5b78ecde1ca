//! The number of visits that decisions make to queries, parts and entries of rows is proportional to what has
//! happened, not to what is open.

mod common;

use brookbend::Aggregator;
use brookbend::api::*;
use brookbend::view::OutcomeCounts;
use common::*;

/// An aggregator of wide queries over 400 cells of three servers each.
struct WideFleet {
    aggregator: Aggregator,
    now: Millis,
    group: u64,
}

/// Part and server of each attempt sent.
type Sent = Vec<(RequestId, NodeId)>;

fn sent(actions: &[Action]) -> Sent {
    let send = |a: &Action| match a {
        Action::Send { part, node, .. } => Some((part.clone(), node.clone())),
        _ => None,
    };
    actions.iter().filter_map(send).collect()
}

fn wide_fleet(class: Class, settings: Settings) -> WideFleet {
    let settings = Settings { classes: vec![class], cells: 400, reach: 1, shards: 400, ..settings };
    let mut aggregator = Aggregator::new(settings.clone(), 3);
    let name = |n: usize| node(&format!("n{n:05}"));
    let list = |n: usize| Member { node: name(n), ..member("", n % settings.cells) };
    let members = (0..settings.cells * 3).map(list).collect();
    aggregator.on_batch(0.0, vec![Event::List { kind: ListKind::Complete, members }]);
    WideFleet { aggregator, now: 0.0, group: 0 }
}

impl WideFleet {
    /// A turn `after` milliseconds after the last one.
    fn turn(&mut self, after: Millis, mut events: Vec<Event>) -> Vec<Action> {
        self.now += after;
        events.push(Event::Woken);
        self.aggregator.on_batch(self.now, events)
    }

    /// Sends a query with one part for each of the first shards.
    fn ask(&mut self, parts: usize) -> Sent {
        self.group += 1;
        let group = self.group;
        let (deadline, weight) = (self.now + 4000.0, 1.0 / parts as f64);
        let mut events = vec![Event::Query(Query {
            id: RequestId::Query(group),
            group,
            class: ClassIndex(0),
            tenant: TenantIndex(0),
            deadline,
            client_deadline: deadline,
            max_attempts: None,
            is_retry: false,
        })];
        let part = |shard: usize| Part {
            id: RequestId::Part(group, shard as u32),
            group,
            shard,
            weight,
            work_hint: None,
        };
        events.extend((0..parts).map(|shard| Event::Part(part(shard))));
        sent(&self.turn(1.0, events))
    }

    /// Number of visits that an action causes.
    fn visits_during(&mut self, action: impl FnOnce(&mut Self)) -> u64 {
        let before = self.aggregator.visits();
        action(self);
        self.aggregator.visits() - before
    }
}

fn end(part: &RequestId, attempt: u32, outcome: Outcome, elapsed: Millis) -> Event {
    Event::Ended { part: part.clone(), attempt, outcome, elapsed, load: None }
}

/// Checks that the number of visits is about proportional to the number of parts: twice the parts cause at
/// most 2.2 times the visits.
fn check_linear(action: impl Fn(usize) -> u64) {
    let visits = [100, 200, 400, 800].map(&action);
    for (n, pair) in visits.windows(2).enumerate() {
        assert!(pair[1] as f64 <= 2.2 * pair[0] as f64, "step {n} of {visits:?}");
    }
    assert!(visits[0] > 0);
}

/// Visits of a query whose answers arrive in one turn each.
fn visits_of_single_answers(class: Class, parts: usize) -> u64 {
    let mut fleet = wide_fleet(class, ring());
    fleet.visits_during(|fleet| {
        let sent = fleet.ask(parts);
        for (part, _) in sent {
            fleet.turn(0.05, vec![end(&part, 0, Outcome::Served, 5.0)]);
        }
    })
}

#[test]
fn answers_in_one_turn_each_cause_few_visits_each() {
    check_linear(|parts| visits_of_single_answers(class(), parts));
    let per_part = visits_of_single_answers(class(), 800) as f64 / 800.0;
    assert!(per_part < 12.0, "{per_part} visits per part");
}

/// A class that does not need all parts keeps some in reserve. They are not visited while no other part fails
/// or is late.
#[test]
fn parts_in_reserve_are_not_visited_until_another_fails_or_is_late() {
    let half_needed = Class { need: 0.5, floor: 0.5, ..class() };
    check_linear(|parts| visits_of_single_answers(half_needed.clone(), parts));
    let mut fleet = wide_fleet(half_needed, ring());
    assert_eq!(fleet.ask(400).len(), 200);
    let quiet = fleet.visits_during(|fleet| (0..20).for_each(|_| drop(fleet.turn(0.5, vec![]))));
    assert!(quiet <= 20, "{quiet} visits");
}

/// All servers have failed, so that none is expected to answer soon: the parts that may be omitted are
/// omitted, and the others are sent.
#[test]
fn visits_are_linear_in_the_parts_if_all_servers_have_failed() {
    let partial = Class { floor: 0.6, ..class() };
    check_linear(|parts| {
        let mut fleet = wide_fleet(partial.clone(), Settings { hedging: false, ..ring() });
        let lost = |n: usize| OutcomeCounts {
            node: node(&format!("n{n:05}")),
            served: 0,
            errors: 0,
            lost: 8,
            elapsed: None,
        };
        fleet.aggregator.report_outcomes(1.0, ClassIndex(0), &(0..1200).map(lost).collect::<Vec<_>>());
        fleet.visits_during(|fleet| {
            let sent = fleet.ask(parts).len();
            assert!(sent < parts * 7 / 10 && sent > parts / 2, "{sent} of {parts}");
            (0..50).for_each(|_| drop(fleet.turn(5.0, vec![])));
        })
    });
}

/// Every other first attempt fails, in a turn of its own, and further attempts are limited by a budget.
#[test]
fn visits_are_linear_in_the_parts_with_retries() {
    for outcome in [Outcome::Full, Outcome::Error, Outcome::ConnectionLost] {
        for share in [0.0, 0.2, 1.0] {
            check_linear(|parts| {
                let budget = AttemptBudget { free_attempts: 0.0, per_request: share, window: 1000.0 };
                let mut fleet =
                    wide_fleet(class(), Settings { budget: Some(budget), max_attempts: 3, ..ring() });
                fleet.visits_during(|fleet| {
                    for (n, (part, _)) in fleet.ask(parts).into_iter().enumerate() {
                        let outcome = if n % 2 == 0 { Outcome::Served } else { outcome };
                        fleet.turn(0.05, vec![end(&part, 0, outcome, 2.0)]);
                    }
                })
            });
        }
    }
}

/// Late parts that may not be repeated are not visited in every turn.
#[test]
fn late_parts_that_may_not_be_repeated_are_not_visited() {
    let unsafe_class = Class { semantics: Semantics::Unsafe, ..class() };
    let mut fleet = wide_fleet(unsafe_class, ring());
    assert_eq!(fleet.ask(400).len(), 400);
    fleet.turn(600.0, vec![]);
    let quiet = fleet.visits_during(|fleet| (0..20).for_each(|_| drop(fleet.turn(5.0, vec![]))));
    assert!(quiet <= 40, "{quiet} visits to late parts");
}

/// Once the budget of further attempts is used up, one visit in a turn finds that out for all late parts.
#[test]
fn late_parts_are_not_all_visited_without_a_budget() {
    let budget = AttemptBudget { free_attempts: 0.0, per_request: 0.0, window: 1000.0 };
    let mut fleet = wide_fleet(class(), Settings { budget: Some(budget), ..ring() });
    assert_eq!(fleet.ask(400).len(), 400);
    fleet.turn(600.0, vec![]);
    let quiet = fleet.visits_during(|fleet| (0..20).for_each(|_| drop(fleet.turn(5.0, vec![]))));
    assert!(quiet <= 80, "{quiet} visits to late parts");
}

/// Turns without events, with twenty wide queries open and not yet due.
#[test]
fn idle_turns_cause_hardly_any_visits() {
    let mut fleet = wide_fleet(class(), ring());
    let parts: usize = (0..20).map(|_| fleet.ask(400).len()).sum();
    assert_eq!(parts, 8000);
    let idle = fleet.visits_during(|fleet| (0..100).for_each(|_| drop(fleet.turn(0.1, vec![]))));
    assert!(idle <= 20, "{idle} visits in a hundred idle turns");
}

/// A change of the list causes visits to the rows that it concerns, even with open queries. Only a cell
/// without holders causes visits to all queries.
#[test]
fn a_change_of_the_list_causes_visits_to_what_changed() {
    let mut fleet = wide_fleet(class(), ring());
    (0..10).for_each(|_| drop(fleet.ask(400)));
    let change = |n: usize, state| Member { node: node(&format!("n{n:05}")), state, ..member("", n % 400) };
    let list = |members| vec![Event::List { kind: ListKind::Changes, members }];
    let one = fleet.visits_during(|fleet| drop(fleet.turn(0.1, list(vec![change(7, NodeState::Draining)]))));
    assert!(one <= 10, "{one} visits for one server");
    let zone = (0..410).map(|n| change(n, NodeState::Draining)).collect();
    let zone = fleet.visits_during(|fleet| drop(fleet.turn(0.1, list(zone))));
    assert!(zone <= 410 * 4, "{zone} visits for 410 servers");
    let same = fleet.visits_during(|fleet| drop(fleet.turn(0.1, list(vec![change(7, NodeState::Draining)]))));
    assert!(same <= 2, "{same} visits for an entry that did not change");
}
