//! Attempts whose answer was lost, at a server that sends nothing more, where only one attempt at a part may
//! be in flight.

mod common;

use brookbend::api::*;
use common::*;

/// Four cells of two servers. All of them answer so slowly that an attempt which is merely slow is not
/// cancelled: another would take too large a share of the aim.
fn slow_fleet() -> Harness {
    let settings = Settings { cells: 4, reach: 1, shards: 4, hedging: false, ..ring() };
    let mut harness = Harness::new(settings, 2);
    for k in 0..160 {
        let parts = sends(&harness.ask(&format!("before{k}"), &[k % 4]));
        harness.step(160.0, parts.iter().map(|p| ended(&p.0, 0, Outcome::Served, 160.0)).collect());
    }
    harness
}

/// Number of steps of 10 ms after which an attempt is cancelled; `None` if none is within `steps`.
fn steps_until_cancelled(harness: &mut Harness, steps: usize) -> Option<usize> {
    (0..steps).find(|_| harness.step(10.0, vec![]).iter().any(|a| matches!(a, Action::Cancel { .. })))
}

#[test]
fn the_last_part_of_a_query_is_cancelled_at_a_server_that_sends_nothing() {
    let mut harness = slow_fleet();
    let sent = sends(&harness.ask("q", &[0, 1, 2, 3]));
    assert_eq!(sent.len(), 4);
    let ends = sent[1..].iter().map(|p| ended(&p.0, 0, Outcome::Served, 160.0)).collect();
    harness.step(160.0, ends);
    let after =
        steps_until_cancelled(&mut harness, 70).expect("waiting would lose the three parts that are served");
    assert!(160 + 10 * after > 450, "not before another attempt would have taken half the time: {after}");
    let retry = sends(&harness.step(5.0, vec![ended(&sent[0].0, 0, Outcome::Cancelled, 420.0)]));
    assert_eq!(retry.len(), 1);
    assert_ne!(retry[0].1, sent[0].1);
}

#[test]
fn without_served_parts_or_at_a_slow_server_an_attempt_is_not_cancelled() {
    let mut harness = slow_fleet();
    let sent = sends(&harness.ask("q", &[0]));
    assert_eq!(
        (sent.len(), steps_until_cancelled(&mut harness, 70)),
        (1, None),
        "another attempt would be as slow, and no served part would be lost"
    );

    // A server that answers older attempts in the meantime is slow, and has not lost the answer.
    let mut harness = slow_fleet();
    let older: Vec<_> = (0..2).flat_map(|k| sends(&harness.ask(&format!("older{k}"), &[0]))).collect();
    let sent = sends(&harness.ask("q", &[0, 1, 2, 3]));
    assert!(older.iter().any(|o| o.1 == sent[0].1), "{older:?} {sent:?}");
    let ends = older.iter().chain(&sent[1..]).map(|p| ended(&p.0, 0, Outcome::Served, 160.0)).collect();
    harness.step(160.0, ends);
    assert_eq!(steps_until_cancelled(&mut harness, 70), None);
}

#[test]
fn an_attempt_is_not_cancelled_if_the_other_parts_took_long_too() {
    let mut harness = slow_fleet();
    let sent = sends(&harness.ask("q", &[0, 1, 2, 3]));
    harness.step(300.0, sent[1..].iter().map(|p| ended(&p.0, 0, Outcome::Served, 300.0)).collect());
    assert_eq!(
        steps_until_cancelled(&mut harness, 60),
        None,
        "in a burst, full servers send nothing for a long time"
    );
}
