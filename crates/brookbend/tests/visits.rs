//! How much the decisions look at, counted in queries, pieces and entries of rows: in proportion to what happened, whatever
//! is in hand.

mod common;

use brookbend::Aggregator;
use brookbend::api::*;
use brookbend::view::OutcomeCounts;
use common::*;

/// A fleet of three servers a cell, and what it is asked.
struct Wide {
    a: Aggregator,
    now: Millis,
    group: u64,
}

type Sent = Vec<(RequestId, NodeId)>;

fn sent(actions: &[Action]) -> Sent {
    let send = |a: &Action| match a {
        Action::Send { part, node, .. } => Some((part.clone(), node.clone())),
        _ => None,
    };
    actions.iter().filter_map(send).collect()
}

fn wide(class: Class, set: Settings) -> Wide {
    let set = Settings { classes: vec![class], cells: 400, reach: 1, shards: 400, ..set };
    let mut a = Aggregator::new(set.clone(), 3);
    let name = |n: usize| node(&format!("n{n:05}"));
    let list = |n: usize| Member { node: name(n), ..member("", n % set.cells) };
    let members = (0..set.cells * 3).map(list).collect();
    a.on_batch(0.0, vec![Event::List { kind: ListKind::Complete, members }]);
    Wide { a, now: 0.0, group: 0 }
}

impl Wide {
    /// A turn so many milliseconds later.
    fn turn(&mut self, after: Millis, mut events: Vec<Event>) -> Vec<Action> {
        self.now += after;
        events.push(Event::Woken);
        self.a.on_batch(self.now, events)
    }

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

    /// Looks that the rest of this takes.
    fn visits_during(&mut self, what: impl FnOnce(&mut Self)) -> u64 {
        let before = self.a.visits();
        what(self);
        self.a.visits() - before
    }
}

fn end(part: &RequestId, attempt: u32, outcome: Outcome, elapsed: Millis) -> Event {
    Event::Ended { part: part.clone(), attempt, outcome, elapsed, load: None }
}

/// One turn an answer: twice the parts, at most 2.2 times the looks.
fn grows_evenly(what: impl Fn(usize) -> u64) {
    let looks = [100, 200, 400, 800].map(&what);
    for (n, pair) in looks.windows(2).enumerate() {
        assert!(pair[1] as f64 <= 2.2 * pair[0] as f64, "step {n} of {looks:?}");
    }
    assert!(looks[0] > 0);
}

fn answered_one_by_one(class: Class, parts: usize) -> u64 {
    let mut w = wide(class, ring());
    w.visits_during(|w| {
        let sent = w.ask(parts);
        for (part, _) in sent {
            w.turn(0.05, vec![end(&part, 0, Outcome::Served, 5.0)]);
        }
    })
}

#[test]
fn answers_that_come_one_by_one_are_looked_at_once_each() {
    grows_evenly(|parts| answered_one_by_one(class(), parts));
    let per_part = answered_one_by_one(class(), 800) as f64 / 800.0;
    assert!(per_part < 12.0, "{per_part} looks a part");
}

/// A class that can do without some has these in reserve; while none is in trouble they are not looked at.
#[test]
fn a_reserve_is_not_looked_at_until_a_part_is_in_trouble() {
    let any = Class { need: 0.5, floor: 0.5, ..class() };
    grows_evenly(|parts| answered_one_by_one(any.clone(), parts));
    let mut w = wide(any, ring());
    assert_eq!(w.ask(400).len(), 200);
    let quiet = w.visits_during(|w| (0..20).for_each(|_| drop(w.turn(0.5, vec![]))));
    assert!(quiet <= 20, "{quiet} looks");
}

/// All servers are behind: those that may be left out are, and what is sent is sent.
#[test]
fn parts_of_servers_that_are_all_behind_grow_evenly() {
    let partial = Class { floor: 0.6, ..class() };
    grows_evenly(|parts| {
        let mut w = wide(partial.clone(), Settings { hedging: false, ..ring() });
        let lost = |n: usize| OutcomeCounts {
            node: node(&format!("n{n:05}")),
            served: 0,
            errors: 0,
            lost: 8,
            elapsed: None,
        };
        w.a.report_outcomes(1.0, ClassIndex(0), &(0..1200).map(lost).collect::<Vec<_>>());
        w.visits_during(|w| {
            let sent = w.ask(parts).len();
            assert!(sent < parts * 7 / 10 && sent > parts / 2, "{sent} of {parts}");
            (0..50).for_each(|_| drop(w.turn(5.0, vec![])));
        })
    });
}

/// Every other first attempt fails, one turn after another, and further ones are short.
#[test]
fn retries_grow_evenly() {
    for outcome in [Outcome::Full, Outcome::Error, Outcome::ConnectionLost] {
        for share in [0.0, 0.2, 1.0] {
            grows_evenly(|parts| {
                let budget = AttemptBudget { free_attempts: 0.0, per_request: share, window: 1000.0 };
                let mut w = wide(class(), Settings { budget: Some(budget), max_attempts: 3, ..ring() });
                w.visits_during(|w| {
                    for (n, (part, _)) in w.ask(parts).into_iter().enumerate() {
                        let outcome = if n % 2 == 0 { Outcome::Served } else { outcome };
                        w.turn(0.05, vec![end(&part, 0, outcome, 2.0)]);
                    }
                })
            });
        }
    }
}

/// Parts that are late in one query, of which none may be tried again: not looked at in each turn.
#[test]
fn what_is_late_and_may_not_be_repeated_is_left_alone() {
    let unsafe_class = Class { semantics: Semantics::Unsafe, ..class() };
    let mut w = wide(unsafe_class, ring());
    assert_eq!(w.ask(400).len(), 400);
    w.turn(600.0, vec![]);
    let quiet = w.visits_during(|w| (0..20).for_each(|_| drop(w.turn(5.0, vec![]))));
    assert!(quiet <= 40, "{quiet} looks at parts that are late");
}

/// Further attempts are used up: one look tells that for all.
#[test]
fn late_parts_without_a_budget_are_not_gone_through() {
    let budget = AttemptBudget { free_attempts: 0.0, per_request: 0.0, window: 1000.0 };
    let mut w = wide(class(), Settings { budget: Some(budget), ..ring() });
    assert_eq!(w.ask(400).len(), 400);
    w.turn(600.0, vec![]);
    let quiet = w.visits_during(|w| (0..20).for_each(|_| drop(w.turn(5.0, vec![]))));
    assert!(quiet <= 80, "{quiet} looks at parts that are late");
}

/// Turns that bring nothing, with twenty wide queries in hand and not yet due.
#[test]
fn idle_turns_look_at_next_to_nothing() {
    let mut w = wide(class(), ring());
    let parts: usize = (0..20).map(|_| w.ask(400).len()).sum();
    assert_eq!(parts, 8000);
    let idle = w.visits_during(|w| (0..100).for_each(|_| drop(w.turn(0.1, vec![]))));
    assert!(idle <= 20, "{idle} looks in a hundred idle turns");
}

/// A change of the list costs the rows that it concerns, with queries in hand; a cell that goes, one look at all.
#[test]
fn a_change_of_the_list_costs_what_changed() {
    let mut w = wide(class(), ring());
    (0..10).for_each(|_| drop(w.ask(400)));
    let change = |n: usize, state| Member { node: node(&format!("n{n:05}")), state, ..member("", n % 400) };
    let list = |members| vec![Event::List { kind: ListKind::Changes, members }];
    let one = w.visits_during(|w| drop(w.turn(0.1, list(vec![change(7, NodeState::Draining)]))));
    assert!(one <= 10, "{one} looks for one server");
    let zone = (0..410).map(|n| change(n, NodeState::Draining)).collect();
    let zone = w.visits_during(|w| drop(w.turn(0.1, list(zone))));
    assert!(zone <= 410 * 4, "{zone} looks for 410 servers");
    let same = w.visits_during(|w| drop(w.turn(0.1, list(vec![change(7, NodeState::Draining)]))));
    assert!(same <= 2, "{same} looks for what was known");
}
