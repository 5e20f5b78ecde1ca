//! Parts at which no attempt can be sent any more, since their caller has no connections for them: their query does without,
//! at once.

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

/// An answer that needs the part is refused in the next batch, and nothing is sent for it any more.
#[test]
fn a_query_that_needs_it_is_refused_at_once() {
    let mut s = Harness::new(ring(), 1);
    s.ask("q", &[0, 1, 2, 3]);
    let out = s.step(5.0, vec![unreachable("q.2"), not_sent("q.2")]);
    assert_eq!((finals(&out), sends(&out).len()), (vec![refused()], 0));
    assert!(finals(&s.step(5.0, vec![unreachable("q.2"), unreachable("q.3")])).is_empty(), "it is over");
}

/// One that may do without it is answered once the others are in, long before its aim is over; it is not tried again.
#[test]
fn a_query_that_can_do_without_is_answered_once_the_others_are_in() {
    let class = Class { floor: 0.5, late_worth: 0.0, ..class() };
    let mut s = Harness::new(Settings { classes: vec![class], ..ring() }, 1);
    s.ask("q", &[0, 1, 2, 3]);
    let out = s.step(5.0, vec![unreachable("q.2"), not_sent("q.2")]);
    assert!(finals(&out).is_empty() && sends(&out).is_empty());
    let out = s.step(20.0, vec![served("q.0"), served("q.1")]);
    assert!(finals(&out).is_empty() && sends(&out).is_empty(), "one may still come");
    let partial = Action::Answer { query: id("q"), whole: false };
    assert_eq!(finals(&s.step(5.0, vec![served("q.3")])), vec![partial]);
}

/// One that is whole without it is marked so.
#[test]
fn a_query_that_is_whole_without_it_is_answered_whole() {
    let class = Class { need: 0.7, floor: 0.7, ..class() };
    let mut s = Harness::new(Settings { classes: vec![class], ..ring() }, 1);
    let first = sends(&s.ask("q", &[0, 1, 2, 3]));
    assert_eq!(first.len(), 3, "one is kept in reserve");
    let without = first[0].0.clone();
    let out = s.step(5.0, vec![unreachable(&without), not_sent(&without)]);
    let spare = sends(&out);
    assert_eq!((finals(&out).len(), spare.len()), (0, 1), "the one in reserve takes its place");
    let rest: Vec<Event> = first[1..].iter().chain(&spare).map(|s| served(&s.0)).collect();
    assert_eq!(finals(&s.step(20.0, rest)), vec![Action::Answer { query: id("q"), whole: true }]);
}
