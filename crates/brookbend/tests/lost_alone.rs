//! Attempts whose server says nothing more, where one attempt at a part may be out.

mod common;

use brookbend::api::*;
use common::*;

/// Four cells of two servers, all of which take more of the aim for an answer than what is merely slow is
/// called off for.
fn slow_fleet() -> Harness {
    let set = Settings { cells: 4, reach: 1, shards: 4, hedging: false, ..ring() };
    let mut s = Harness::new(set, 2);
    for k in 0..160 {
        let parts = sends(&s.ask(&format!("before{k}"), &[k % 4]));
        s.step(160.0, parts.iter().map(|p| ended(&p.0, 0, Outcome::Served, 160.0)).collect());
    }
    s
}

/// The time at which a part is called off, in steps of 10 ms up to so many.
fn called_off(s: &mut Harness, steps: usize) -> Option<usize> {
    (0..steps).find(|_| s.step(10.0, vec![]).iter().any(|a| matches!(a, Action::Cancel { .. })))
}

#[test]
fn the_last_part_of_a_query_is_not_waited_for_at_a_server_that_says_nothing() {
    let mut s = slow_fleet();
    let sent = sends(&s.ask("q", &[0, 1, 2, 3]));
    assert_eq!(sent.len(), 4);
    let ends = sent[1..].iter().map(|p| ended(&p.0, 0, Outcome::Served, 160.0)).collect();
    s.step(160.0, ends);
    let after = called_off(&mut s, 70).expect("it would cost the three that are in");
    assert!(160 + 10 * after > 450, "not before another would have been twice as quick: {after}");
    let again = sends(&s.step(5.0, vec![ended(&sent[0].0, 0, Outcome::Cancelled, 420.0)]));
    assert_eq!(again.len(), 1);
    assert_ne!(again[0].1, sent[0].1);
}

#[test]
fn with_nothing_in_or_at_a_slow_server_it_is_waited_for() {
    let mut s = slow_fleet();
    let sent = sends(&s.ask("q", &[0]));
    assert_eq!(
        (sent.len(), called_off(&mut s, 70)),
        (1, None),
        "another would be as slow, and nothing is lost with it"
    );

    // Servers that answer older attempts meanwhile are slow.
    let mut s = slow_fleet();
    let older: Vec<_> = (0..2).flat_map(|k| sends(&s.ask(&format!("older{k}"), &[0]))).collect();
    let sent = sends(&s.ask("q", &[0, 1, 2, 3]));
    assert!(older.iter().any(|o| o.1 == sent[0].1), "{older:?} {sent:?}");
    let ends = older.iter().chain(&sent[1..]).map(|p| ended(&p.0, 0, Outcome::Served, 160.0)).collect();
    s.step(160.0, ends);
    assert_eq!(called_off(&mut s, 70), None);
}

#[test]
fn where_the_other_parts_took_long_too_it_is_waited_for() {
    let mut s = slow_fleet();
    let sent = sends(&s.ask("q", &[0, 1, 2, 3]));
    s.step(300.0, sent[1..].iter().map(|p| ended(&p.0, 0, Outcome::Served, 300.0)).collect());
    assert_eq!(called_off(&mut s, 60), None, "in a burst servers say nothing for long since they are full");
}
