//! Tests of parts that a query can do without while their servers are behind.

mod common;

use brookbend::api::*;
use common::*;

/// Four cells of one server each; class 0 needs all parts, class 1 may be answered from half of them. The
/// server of cell 0 has rejected the given number of parts in a row.
fn stand(rejected: u32) -> Harness {
    let partial = Class { floor: 0.5, ..class() };
    let set = Settings {
        cells: 4,
        reach: 1,
        shards: 8,
        max_attempts: 1,
        classes: vec![class(), partial],
        ..ring()
    };
    let mut s = Harness::new(set, 1);
    for k in 0..rejected {
        let sent = sends(&s.ask(&format!("full{k}"), &[0]));
        assert_eq!(sent.len(), 1);
        s.step(5.0, vec![ended(&sent[0].0, 0, Outcome::Full, 5.0)]);
        // Each ejection is longer: send the next query just after it.
        if k + 1 < rejected {
            s.step(190.0 * f64::from(1 << k), vec![]);
        }
    }
    s
}

fn ask_partial(s: &mut Harness, shards: &[usize]) -> Vec<String> {
    let events = s.query("q", 1, shards, 4000.0);
    sends(&s.step(5.0, events)).into_iter().map(|t| t.0).collect()
}

fn serve(s: &mut Harness, parts: &[String]) -> Vec<Action> {
    s.step(20.0, parts.iter().map(|p| ended(p, 0, Outcome::Served, 20.0)).collect())
}

#[test]
fn a_part_whose_server_is_full_is_omitted_and_the_rest_answers() {
    let mut s = stand(5);
    let sent = ask_partial(&mut s, &[0, 1, 2, 3]);
    assert_eq!(sent, ["q.1", "q.2", "q.3"]);
    let served = serve(&mut s, &sent);
    assert!(finals(&served).is_empty(), "the omitted part may still be served");
    let later = s.step(600.0, vec![]);
    assert!(sends(&later).is_empty());
    assert_eq!(finals(&later), [Action::Answer { query: id("q"), whole: false }]);
}

#[test]
fn an_omitted_part_is_sent_once_its_server_has_capacity() {
    let mut s = stand(1);
    let sent = ask_partial(&mut s, &[0, 1, 2, 3]);
    assert_eq!(sent, ["q.1", "q.2", "q.3"]);
    serve(&mut s, &sent);
    let later = s.step(300.0, vec![]);
    let late: Vec<_> = sends(&later).into_iter().map(|t| t.0).collect();
    assert_eq!(late, ["q.0"], "the server rejected a part some time ago and may have capacity again");
    let end = serve(&mut s, &late);
    assert_eq!(finals(&end), [Action::Answer { query: id("q"), whole: true }]);
}

#[test]
fn no_more_is_omitted_than_the_floor_allows() {
    let mut s = stand(2);
    // Shards 0 and 4 are held by the full server: two thirds of this query, of which half is needed.
    assert_eq!(ask_partial(&mut s, &[0, 1, 4]).len(), 2);
}

#[test]
fn parts_without_attempts_left_count_as_omitted() {
    let mut s = stand(5);
    let sent = ask_partial(&mut s, &[0, 1, 2, 3]);
    let failed = |p: &String| ended(p, 0, Outcome::Error, 20.0);
    let end = s.step(20.0, vec![failed(&sent[0]), failed(&sent[1])]);
    let more: Vec<_> = sends(&end).into_iter().map(|t| t.0).collect();
    assert_eq!(more, ["q.0"], "without it the floor cannot be reached");
}
