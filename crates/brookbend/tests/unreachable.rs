//! Parts at which no further attempt can be sent, since their caller has no connections for them: the query
//! is completed without them, or refused, at once.

mod common;

use brookbend::api::*;
use common::*;

fn unreachable(part: &str) -> Event {
    Event::Unreachable(id(part))
}

fn not_sent(part: &str) -> Event {
    ended(part, 0, Outcome::NotSent, 0.0)
}

fn served(part: &str) -> Event {
    ended(part, 0, Outcome::Served, 20.0)
}

fn refused() -> Action {
    Action::Refuse { query: id("q"), retry_after: Some(50.0) }
}

/// A query that needs the part is refused in the next batch, and nothing more is sent for it.
#[test]
fn a_query_that_needs_an_unreachable_part_is_refused_at_once() {
    let mut harness = Harness::new(ring(), 1);
    harness.ask("q", &[0, 1, 2, 3]);
    let out = harness.step(5.0, vec![unreachable("q.2"), not_sent("q.2")]);
    assert_eq!((finals(&out), sends(&out).len()), (vec![refused()], 0));
    assert!(
        finals(&harness.step(5.0, vec![unreachable("q.2"), unreachable("q.3")])).is_empty(),
        "the query has ended"
    );
}

/// A query that allows a partial answer is answered once the other parts are served, long before its aim has
/// passed. The part is not sent again.
#[test]
fn a_query_that_allows_a_partial_answer_is_answered_once_the_other_parts_are_served() {
    let class = Class { floor: 0.5, late_worth: 0.0, ..class() };
    let mut harness = Harness::new(Settings { classes: vec![class], ..ring() }, 1);
    harness.ask("q", &[0, 1, 2, 3]);
    let out = harness.step(5.0, vec![unreachable("q.2"), not_sent("q.2")]);
    assert!(finals(&out).is_empty() && sends(&out).is_empty());
    let out = harness.step(20.0, vec![served("q.0"), served("q.1")]);
    assert!(finals(&out).is_empty() && sends(&out).is_empty(), "one part may still be served");
    let partial = Action::Answer { query: id("q"), whole: false };
    assert_eq!(finals(&harness.step(5.0, vec![served("q.3")])), vec![partial]);
}

/// An answer that has all the weight that its class needs is whole, although the part is missing.
#[test]
fn a_query_that_does_not_need_an_unreachable_part_is_answered_whole() {
    let class = Class { need: 0.7, floor: 0.7, ..class() };
    let mut harness = Harness::new(Settings { classes: vec![class], ..ring() }, 1);
    let first = sends(&harness.ask("q", &[0, 1, 2, 3]));
    assert_eq!(first.len(), 3, "one part is in reserve");
    let without = first[0].0.clone();
    let out = harness.step(5.0, vec![unreachable(&without), not_sent(&without)]);
    let spare = sends(&out);
    assert_eq!((finals(&out).len(), spare.len()), (0, 1), "the part in reserve replaces the unreachable one");
    let rest: Vec<Event> = first[1..].iter().chain(&spare).map(|s| served(&s.0)).collect();
    assert_eq!(finals(&harness.step(20.0, rest)), vec![Action::Answer { query: id("q"), whole: true }]);
}
