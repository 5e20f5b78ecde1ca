//! Tests of the decisions, run on the module alone without the benchmark.

mod common;

use brookbend::Aggregator;
use brookbend::api::*;
use common::*;
use std::collections::BTreeSet;

fn refused(name: &str) -> Action {
    Action::Refuse { query: id(name), retry_after: Some(50.0) }
}

fn whole(name: &str) -> Action {
    Action::Answer { query: id(name), whole: true }
}

fn servers(actions: &[Action]) -> BTreeSet<String> {
    sends(actions).into_iter().map(|s| s.1).collect()
}

// ---- rows and calls

#[test]
fn on_a_ring_adjacent_shards_share_a_server() {
    let mut s = Harness::new(Settings { call_work: 10.0, ..ring() }, 1);
    let actions = s.ask("q", &[0, 1, 2, 3, 4, 5]);
    let sent = sends(&actions);
    assert_eq!(sent.len(), 6);
    for (part, node, _) in &sent {
        let shard: usize = part[2..].parse().unwrap();
        let cell: usize = node[1..2].parse().unwrap();
        assert!((cell + 6 - shard) % 6 < 3, "{part} went to {node}, which does not hold it");
    }
    assert!(servers(&actions).len() <= 3, "three adjacent rows send three parts a call");
}

#[test]
fn in_a_set_one_row_serves_all_parts_of_a_cell() {
    let mut s = Harness::new(Settings { call_work: 10.0, ..sets() }, 3);
    let sent = sends(&s.ask("q", &[0, 1, 2, 3, 4, 5]));
    for cell in ["c0", "c1"] {
        let nodes: BTreeSet<_> = sent.iter().filter(|t| t.1.starts_with(cell)).map(|t| &t.1).collect();
        assert_eq!(nodes.len(), 1, "one server of {cell}");
    }
}

/// The second part of a cell stays in its row in spite of the first part's work: the two share a call.
#[test]
fn heavy_parts_of_a_cell_share_a_call() {
    let mut s = Harness::new(Settings { call_work: 60.0, ..sets() }, 4);
    for k in 0..10 {
        let sent = sends(&s.ask(&format!("q{k}"), &[0, 2, 4]));
        let nodes: BTreeSet<_> = sent.iter().map(|t| &t.1).collect();
        assert_eq!((sent.len(), nodes.len()), (3, 1), "{sent:?}");
        s.step(100.0, sent.iter().map(|t| ended(&t.0, 0, Outcome::Served, 100.0)).collect());
    }
}

#[test]
fn rows_are_picked_at_random() {
    let mut s = Harness::new(sets(), 3);
    let mut seen = BTreeSet::new();
    for k in 0..30 {
        let name = format!("q{k}");
        let sent = sends(&s.ask(&name, &[0]));
        seen.insert(sent[0].1.clone());
        s.step(5.0, vec![ended(&sent[0].0, 0, Outcome::Served, 5.0)]);
    }
    assert_eq!(seen.len(), 3);
}

#[test]
fn uneven_and_empty_cells_are_served_by_the_remaining_servers() {
    let mut s = Harness::new(ring(), 1);
    let gone = |n: &str, c| Member { state: NodeState::Gone, ..member(n, c) };
    let members = vec![gone("c1n0", 1), gone("c2n0", 2), member("c0n1", 0)];
    s.step(5.0, vec![Event::List { kind: ListKind::Changes, members }]);
    let sent = sends(&s.ask("q", &[0, 1]));
    assert!(sent.iter().any(|t| t.0 == "q.0" && t.1.starts_with("c0")));
    assert!(sent.iter().any(|t| t.0 == "q.1" && t.1 == "c3n0"));
}

#[test]
fn width_narrows_with_full_answers_and_widens_without() {
    // The number of servers that a query of six adjacent shards uses shows its width: 6 servers for one row.
    let set = || Settings { max_attempts: 1, call_work: 10.0, ..ring() };
    let mut s = Harness::new(set(), 1);
    let before = sends(&s.ask("before", &[0, 1, 2, 3, 4, 5]));
    let wide = before.iter().map(|t| &t.1).collect::<BTreeSet<_>>().len();
    s.step(5.0, before.iter().map(|t| ended(&t.0, 0, Outcome::Served, 5.0)).collect());
    for k in 0..12 {
        let sent = sends(&s.ask(&format!("f{k}"), &[0]));
        s.step(500.0, vec![ended(&sent[0].0, 0, Outcome::Full, 5.0)]);
    }
    let mut t = Harness::new(set(), 1);
    for k in 0..12 {
        let sent = sends(&t.ask(&format!("f{k}"), &[0]));
        t.step(500.0, vec![ended(&sent[0].0, 0, Outcome::Served, 5.0)]);
    }
    s.step(2000.0, vec![]);
    let narrow = servers(&s.ask("after", &[0, 1, 2, 3, 4, 5])).len();
    let still = servers(&t.ask("after", &[0, 1, 2, 3, 4, 5])).len();
    assert!(narrow > wide, "narrow {narrow}, wide {wide}");
    assert!(still <= 3, "still wide: {still}");
}

// ---- choice of a server and health

#[test]
fn a_silent_server_is_avoided_before_any_time_out() {
    let mut s = Harness::new(ring(), 1);
    for k in 0..6 {
        let sent = sends(&s.ask(&format!("w{k}"), &[0]));
        s.step(40.0, vec![ended(&sent[0].0, 0, Outcome::Served, 40.0)]);
    }
    let silent = sends(&s.ask("stuck", &[0]))[0].1.clone();
    s.step(800.0, vec![]);
    for k in 0..10 {
        let sent = sends(&s.ask(&format!("n{k}"), &[0]));
        assert!(sent.iter().all(|t| t.1 != silent), "{silent} has been silent for long");
        s.step(40.0, sent.iter().map(|t| ended(&t.0, 0, Outcome::Served, 40.0)).collect());
    }
}

#[test]
fn a_server_with_quick_errors_is_ejected_and_tried_again_later() {
    let mut s = Harness::new(ring(), 1);
    let first = s.traffic(60, &["c1n0"], Outcome::Error)["c1n0"];
    assert!(first < 20, "{first} of 60 queries were sent to the failing server");
    for _ in 0..100 {
        s.step(100.0, vec![]);
    }
    let later = s.traffic(60, &[], Outcome::Served);
    assert!(later.get("c1n0").is_some_and(|n| *n > 3), "after its recovery it is used again: {later:?}");
}

#[test]
fn the_last_holder_is_used_whatever_its_health() {
    let mut set = ring();
    set.reach = 1;
    let mut s = Harness::new(set, 1);
    s.traffic(1, &["c0n0"], Outcome::Error); // three attempts: enough to be ejected
    assert_eq!(servers(&s.ask("q", &[0])), BTreeSet::from(["c0n0".to_string()]));
}

#[test]
fn wrong_hints_do_not_refuse_a_query() {
    let mut s = Harness::new(ring(), 1);
    let mut events = s.query("q", 0, &[0, 1], 4000.0);
    for e in &mut events {
        if let Event::Part(p) = e {
            p.work_hint = Some(50_000.0);
        }
    }
    let actions = s.step(5.0, events);
    assert_eq!(sends(&actions).len(), 2);
    assert!(finals(&actions).is_empty());
}

// ---- retries and hedges

#[test]
fn an_overdue_part_is_hedged_at_another_server() {
    let mut s = Harness::new(ring(), 1);
    let first = sends(&s.ask("q", &[0]));
    let mut copies = Vec::new();
    for _ in 0..60 {
        copies.extend(sends(&s.step(10.0, vec![])));
    }
    assert_eq!(copies.len(), 1);
    assert_ne!(copies[0].1, first[0].1);
}

/// One lost answer or one slow server must not cost the query: where only one attempt may be in flight, the
/// overdue one is cancelled first, and only its reported end allows another.
#[test]
fn without_hedging_an_overdue_part_is_cancelled_and_sent_elsewhere() {
    let mut s = Harness::new(Settings { hedging: false, ..ring() }, 1);
    let first = sends(&s.ask("q", &[0]));
    let cancel = Action::Cancel { part: id("q.0"), attempt: 0 };
    let late = (0..60).map(|_| s.step(10.0, vec![])).find(|actions| actions.contains(&cancel)).unwrap();
    assert!(sends(&late).is_empty());
    let again = sends(&s.step(5.0, vec![ended("q.0", 0, Outcome::Cancelled, 300.0)]));
    assert_eq!(again.len(), 1);
    assert_ne!(again[0].1, first[0].1);
    assert!((0..20).all(|_| sends(&s.step(10.0, vec![])).is_empty()));
}

/// On an idle fleet an answer that takes somewhat longer than forecast is on its way: cancelling wastes its
/// work.
#[test]
fn a_slow_attempt_is_not_cancelled() {
    let mut s = Harness::new(Settings { hedging: false, ..ring() }, 1);
    // Three holders, three parts each: the last waits behind two others, and then sees all holders idle.
    let parts: Vec<_> = (0..9).flat_map(|n| sends(&s.ask(&format!("t{n}"), &[0]))).collect();
    let ends = parts[..8].iter().map(|(part, _, _)| ended(part, 0, Outcome::Served, 100.0)).collect();
    let mut called_off = |batches: usize, events: Vec<Event>| {
        let first = s.step(50.0, events);
        let later = (0..batches).flat_map(|_| s.step(10.0, vec![]));
        first.into_iter().chain(later).any(|a| matches!(a, Action::Cancel { .. }))
    };
    assert!(!called_off(30, ends));
    assert!(called_off(30, vec![]));
}

/// Crossing zones has a cost: a row holder in another zone is left sooner. Rows are still drawn at random: a
/// holder that is not behind at all keeps its part.
#[test]
fn a_holder_in_the_own_zone_is_preferred_unless_it_is_behind() {
    let set = Settings { zone: Some(1), cells: 1, reach: 1, batch: 1, ..ring() };
    let mut s = Harness::new(set, 0);
    let zoned = |n: usize| Member { zone: Some(n), ..member(&format!("z{n}"), 0) };
    let members = (0..3).map(zoned).collect();
    s.step(5.0, vec![Event::List { kind: ListKind::Complete, members }]);
    let even = s.traffic(90, &[], Outcome::Served);
    assert!(even.values().all(|n| *n > 15), "{even:?}");
    // Slightly slower in the other zone, by less than what justifies leaving a row holder in the own zone.
    let mut seen = std::collections::BTreeMap::new();
    for n in 0..90 {
        for (part, node, _) in sends(&s.ask(&format!("u{n}"), &[0])) {
            let elapsed = if node == "z1" { 30.0 } else { 60.0 };
            *seen.entry(node).or_insert(0) += 1;
            s.step(elapsed, vec![ended(&part, 0, Outcome::Served, elapsed)]);
        }
    }
    assert!(seen["z1"] > 45, "{seen:?}");
}

#[test]
fn without_hedging_no_second_attempt_is_sent() {
    let mut s = Harness::new(Settings { hedging: false, cancel: false, ..ring() }, 1);
    s.ask("q", &[0]);
    for _ in 0..60 {
        assert!(sends(&s.step(10.0, vec![])).is_empty());
    }
}

#[test]
fn attempts_stop_at_the_cap_and_the_query_ends_at_once() {
    let mut s = Harness::new(ring(), 1);
    let mut open = sends(&s.ask("q", &[0]));
    let mut count = 0;
    let mut last = Vec::new();
    while let Some((part, _, _)) = open.pop() {
        last = s.step(10.0, vec![ended(&part, count, Outcome::Error, 10.0)]);
        open.extend(sends(&last));
        count += 1;
    }
    assert_eq!(count, 3);
    assert_eq!(finals(&last), vec![refused("q")]);
}

#[test]
fn rule_budget_is_kept_in_every_window() {
    let budget = AttemptBudget { free_attempts: 2.0, per_request: 0.1, window: 1000.0 };
    let mut s = Harness::new(Settings { budget: Some(budget), ..ring() }, 1);
    let (mut taken, mut extras): (Vec<Millis>, Vec<Millis>) = (Vec::new(), Vec::new());
    let mut tries = std::collections::BTreeMap::<String, u32>::new();
    for k in 0..400 {
        let actions = if k % 4 == 0 {
            taken.extend([s.now + 5.0; 2]);
            s.ask(&format!("q{k}"), &[k % 6])
        } else {
            let out = tries.clone().into_iter().map(|(part, n)| ended(&part, n - 1, Outcome::Error, 5.0));
            s.step(5.0, out.collect())
        };
        for (part, _, _) in sends(&actions) {
            let n = tries.entry(part).or_default();
            *n += 1;
            if *n == 1 {
                continue;
            }
            extras.push(s.now);
            let from = s.now - 1000.0;
            let room = 2.0 + 0.1 * taken.iter().filter(|t| **t > from).count() as f64;
            let used = extras.iter().filter(|t| **t >= from).count() as f64;
            assert!(used <= room, "{used} further attempts, room for {room}");
        }
    }
    assert!(extras.len() > 5, "the budget must be used");
}

// ---- rules 1, 2, 3, 5

#[test]
fn rule_one_final_answer_before_the_clients_deadline() {
    let mut s = Harness::new(ring(), 1);
    let mut all = Vec::new();
    let events = s.query("q", 0, &[0, 1], 1500.0);
    all.extend(finals(&s.step(5.0, events)));
    let end = s.now + 1500.0;
    while s.now + 5.0 < end {
        all.extend(finals(&s.step(5.0, vec![])));
    }
    assert_eq!(all, vec![refused("q")]);
    let late = s.step(20.0, vec![ended("q.0", 0, Outcome::Served, 1500.0), Event::ClientGone(id("q"))]);
    assert!(finals(&late).is_empty() && sends(&late).is_empty());
}

#[test]
fn rule_unsafe_parts_are_not_repeated_once_they_may_have_run() {
    let class = Class { semantics: Semantics::Unsafe, ..class() };
    let mut s = Harness::new(Settings { classes: vec![class], ..ring() }, 1);
    s.ask("q", &[0]);
    let again = s.step(5.0, vec![ended("q.0", 0, Outcome::Full, 5.0)]);
    assert_eq!(sends(&again).len(), 1, "rejected as full: it never ran");
    let mut after = s.step(5.0, vec![ended("q.0", 1, Outcome::ConnectionLost, 5.0)]);
    for _ in 0..900 {
        after.extend(s.step(5.0, vec![]));
    }
    assert!(sends(&after).is_empty());
    assert_eq!(finals(&after), vec![Action::Fail { query: id("q") }], "a failure, not a refusal");
}

#[test]
fn rule_keyed_parts_are_repeated_only_inside_their_window() {
    let class = Class { semantics: Semantics::Keyed { window: 300.0 }, ..class() };
    for (wait, expected) in [(100.0, 1), (400.0, 0)] {
        let set = Settings { classes: vec![class.clone()], hedging: false, ..ring() };
        let mut s = Harness::new(set, 1);
        s.ask("q", &[0]);
        assert_eq!(sends(&s.step(wait, vec![ended("q.0", 0, Outcome::Error, wait)])).len(), expected);
    }
}

#[test]
fn rule_nothing_goes_to_a_draining_or_missing_server() {
    let mut s = Harness::new(ring(), 1);
    let members = vec![Member { state: NodeState::Draining, ..member("c0n0", 0) }];
    s.step(5.0, vec![Event::List { kind: ListKind::Changes, members }]);
    assert!(!s.traffic(40, &[], Outcome::Served).contains_key("c0n0"));
    let members = vec![member("c1n0", 1), member("c3n0", 3)];
    s.step(5.0, vec![Event::List { kind: ListKind::Complete, members }]);
    let seen = s.traffic(40, &[], Outcome::Served);
    assert!(seen.keys().all(|n| n == "c1n0" || n == "c3n0"), "{seen:?}");
}

#[test]
fn rule_a_cold_server_gets_its_allowance_and_no_more() {
    let mut s = Harness::new(ring(), 1);
    let started = Some(s.now);
    let members = vec![Member { started, ..member("c1n0", 1) }];
    s.step(5.0, vec![Event::List { kind: ListKind::Changes, members }]);
    // Least capacity of one core at the start, times the factor and the window, for one of two aggregators.
    let room = 0.2 * 2.0 * 2000.0 / 2.0;
    let mut work = 0.0;
    for k in 0..40 {
        let sent = sends(&s.ask(&format!("q{k}"), &[0, 1]));
        // A part is first assumed to cost twice the work of a call.
        work += sent.iter().filter(|t| t.1 == "c1n0").count() as f64 * 40.0;
        s.step(10.0, sent.iter().map(|t| ended(&t.0, 0, Outcome::Served, 40.0)).collect());
    }
    assert!(work > 0.0, "it gets some work");
    assert!(work <= room, "{work} of {room}");
}

#[test]
fn rule_answers_are_honest() {
    let class = Class { floor: 0.5, late_worth: 0.0, ..class() };
    let mut s = Harness::new(Settings { classes: vec![class], max_attempts: 1, ..ring() }, 1);
    s.ask("q", &[0, 1, 2, 3]);
    let one = s.step(10.0, vec![ended("q.0", 0, Outcome::Served, 10.0)]);
    assert!(finals(&one).is_empty());
    let twice = s.step(10.0, vec![ended("q.0", 0, Outcome::Served, 10.0)]);
    assert!(finals(&twice).is_empty(), "a part counts once");
    s.step(10.0, vec![ended("q.1", 0, Outcome::Served, 10.0)]);
    let mut last = Vec::new();
    for _ in 0..250 {
        last.extend(s.step(5.0, vec![]));
    }
    assert_eq!(finals(&last), vec![Action::Answer { query: id("q"), whole: false }]);
}

#[test]
fn any_k_sends_just_enough_parts_and_the_rest_when_one_fails() {
    let class = Class { need: 0.67, floor: 0.67, ..class() };
    let mut s = Harness::new(Settings { classes: vec![class], ..ring() }, 1);
    let sent = sends(&s.ask("q", &[0, 1, 2, 3, 4, 5]));
    assert_eq!(sent.len(), 5);
    let more = sends(&s.step(10.0, vec![ended(&sent[0].0, 0, Outcome::Error, 10.0)]));
    assert_eq!(more.len(), 2, "the part held back, and the failed one again");
    let events = sent[1..].iter().map(|t| ended(&t.0, 0, Outcome::Served, 20.0));
    let events: Vec<_> = events.chain([ended(&more[0].0, 0, Outcome::Served, 5.0)]).collect();
    let last = s.step(10.0, events);
    assert_eq!(finals(&last), vec![whole("q")]);
    assert!(last.iter().any(|a| matches!(a, Action::Cancel { .. })), "attempts in flight are cancelled");
}

#[test]
fn a_second_step_is_served_and_needs_all_its_parts() {
    let class = Class { second_step: true, ..class() };
    let mut s = Harness::new(Settings { classes: vec![class], ..ring() }, 1);
    s.ask("q", &[0]);
    assert_eq!(finals(&s.step(20.0, vec![ended("q.0", 0, Outcome::Served, 20.0)])), vec![whole("q")]);
    let part = |n: &str| Event::Part(Part { id: id(n), group: 1, shard: 0, weight: 0.5, work_hint: None });
    assert_eq!(sends(&s.step(5.0, vec![part("x"), part("y")])).len(), 2);
    assert!(finals(&s.step(20.0, vec![ended("x", 0, Outcome::Served, 20.0)])).is_empty());
    assert_eq!(finals(&s.step(5.0, vec![ended("y", 0, Outcome::Served, 25.0)])), vec![whole("q")]);
}

// ---- overload

#[test]
fn time_outs_make_admission_refuse_with_advice() {
    let class = Class { late_worth: 0.0, ..class() };
    let mut s = Harness::new(Settings { classes: vec![class], hedging: false, ..ring() }, 1);
    let mut turned_down = 0;
    for k in 0..200 {
        let name = format!("q{k}");
        let actions = s.ask(&name, &[0, 1, 2, 3, 4, 5]);
        if finals(&actions).contains(&refused(&name)) {
            turned_down += 1;
        }
        s.step(20.0, vec![]);
    }
    assert!(turned_down > 100, "no answer ever arrives, yet only {turned_down} were refused");
}

/// Sends the given number of single-part queries, answered at once, which establish the usual time-out.
fn establish_time_out(s: &mut Harness, n: usize, patience: Millis) {
    for k in 0..n {
        let events = s.query(&format!("u{k}-{patience}"), 0, &[0], patience);
        let sent = sends(&s.step(5.0, events));
        s.step(20.0, sent.iter().map(|t| ended(&t.0, 0, Outcome::Served, 20.0)).collect());
    }
}

/// Sends a query whose attempts all fail at once, and returns when it arrived.
fn unserved(s: &mut Harness, name: &str) -> Millis {
    let events = s.query(name, 0, &[0], 3500.0);
    let mut actions = s.step(5.0, events);
    let came = s.now;
    let mut attempt = 0;
    while let Some((part, ..)) = sends(&actions).pop() {
        actions = s.step(0.0, vec![ended(&part, attempt, Outcome::Error, 1.0)]);
        attempt += 1;
    }
    assert_eq!(finals(&actions), vec![refused(name)]);
    came
}

#[test]
fn a_retry_past_its_aim_is_recognized_by_its_shorter_time_out() {
    // The client's full time-out is 4000: with 2000 left of a usual 3500 it first asked 2000 ago.
    let class = Class { late_worth: 0.0, ..class() };
    let mut s = Harness::new(Settings { classes: vec![class], ..ring() }, 1);
    establish_time_out(&mut s, 20, 3500.0);
    let came = unserved(&mut s, "lost");
    s.step(came + 1995.0 - s.now, vec![]);
    let events = s.query("again", 0, &[0], 2000.0);
    assert_eq!(finals(&s.step(5.0, events)), vec![refused("again")]);
    let events = s.query("first", 0, &[0], 3500.0);
    assert_eq!(sends(&s.step(5.0, events)).len(), 1);
}

/// If no query went unserved at the time at which they would have begun, they are no retries: refused as
/// such, clients with short time-outs would never be served again.
#[test]
fn clients_that_shorten_their_time_out_are_not_taken_for_retries() {
    let class = Class { late_worth: 0.0, ..class() };
    let mut s = Harness::new(Settings { classes: vec![class], ..ring() }, 1);
    establish_time_out(&mut s, 20, 3500.0);
    let came = unserved(&mut s, "lost");
    s.step(came + 1900.0 - s.now, vec![]);
    let events = s.query("impatient", 0, &[0], 2000.0);
    assert_eq!(sends(&s.step(5.0, events)).len(), 1);
}

#[test]
fn one_client_with_a_long_time_out_does_not_make_all_others_retries() {
    let class = Class { late_worth: 0.0, ..class() };
    let mut s = Harness::new(Settings { classes: vec![class], ..ring() }, 1);
    establish_time_out(&mut s, 10, 2500.0);
    establish_time_out(&mut s, 1, 4000.0);
    let events = s.query("q", 0, &[0], 2500.0);
    assert_eq!(sends(&s.step(5.0, events)).len(), 1);
}

#[test]
fn estimates_from_a_slow_period_do_not_lock_out_an_idle_fleet() {
    // Queries end long after their forecast, at servers whose answers show the usual pace. A class of much
    // higher worth leaves this one the lowest share of its time.
    let poor = Class { late_worth: 0.0, ..class() };
    let rich = Class { worth: 50.0, ..poor.clone() };
    let mut s = Harness::new(Settings { classes: vec![poor, rich], max_attempts: 1, ..ring() }, 1);
    let events = s.query("rich", 1, &[0], 4000.0);
    let sent = sends(&s.step(5.0, events));
    s.step(20.0, vec![ended(&sent[0].0, 0, Outcome::Served, 20.0)]);
    let taken: Vec<bool> = (0..60)
        .map(|k| {
            let sent = sends(&s.ask(&format!("q{k}"), &[0]));
            s.step(900.0, sent.iter().map(|t| ended(&t.0, 0, Outcome::Served, 20.0)).collect());
            !sent.is_empty()
        })
        .collect();
    assert!(taken[40..].iter().any(|t| *t), "all are refused: {taken:?}");
}

/// Returns how many of ten one-part queries, 10 ms apart, the only holder gets after it was silent for the
/// given time. Its first answer then comes over a connection that has been up since `connected`, if that is
/// known.
fn sent_after_silence(silence: Millis, connected: Option<Millis>) -> usize {
    let mut set = ring();
    (set.cells, set.reach, set.max_attempts) = (1, 1, 1);
    let mut s = Harness::new(set, 1);
    establish_time_out(&mut s, 10, 4000.0);
    for k in 0..6 {
        s.ask(&format!("q{k}"), &[0]);
    }
    s.step(silence, (0..6).map(|k| ended(&format!("q{k}.0"), 0, Outcome::TimedOut, silence)).collect());
    let sent = sends(&s.ask("back", &[0]));
    let over = |part: &str| connected.map(|since| Event::Connected { part: id(part), attempt: 0, since });
    let answers =
        sent.iter().flat_map(|t| over(&t.0).into_iter().chain([ended(&t.0, 0, Outcome::Served, 20.0)]));
    s.step(20.0, answers.collect());
    (0..10)
        .map(|k| {
            let sent = sends(&s.ask(&format!("r{k}"), &[0, 0]));
            s.step(5.0, sent.iter().map(|t| ended(&t.0, 0, Outcome::Served, 5.0)).collect());
            sent.len()
        })
        .sum()
}

#[test]
fn long_silence_is_a_restart_and_a_short_one_is_not() {
    assert_eq!(sent_after_silence(1000.0, None), 20, "a pause does not make a server cold");
    let cold = sent_after_silence(3900.0, None);
    assert!(cold < 20, "after long silence it gets its cold allowance: {cold}");
}

/// Guards against slow servers being spared as if they had restarted, and against restarts going unnoticed.
#[test]
fn a_server_that_answers_over_a_connection_from_before_its_silence_did_not_restart() {
    assert_eq!(sent_after_silence(3900.0, Some(0.0)), 20, "the connection is older than its last answer");
    let cold = sent_after_silence(3900.0, Some(3900.0));
    assert!(cold < 20, "the connection came up in the silence: {cold}");
}

#[test]
fn a_single_lost_part_does_not_mark_its_server() {
    let mut set = ring();
    (set.cells, set.reach, set.hedging) = (1, 1, false);
    let mut s = Harness::new(set, 2);
    // Both servers leave one part unanswered and answer all others.
    let mut lost = BTreeSet::new();
    for k in 0..60 {
        let sent = sends(&s.ask(&format!("q{k}"), &[0]));
        assert_eq!(sent.len(), 1, "query {k} must not be refused");
        if !lost.insert(sent[0].1.clone()) {
            s.step(20.0, vec![ended(&sent[0].0, 0, Outcome::Served, 20.0)]);
        }
    }
}

// ---- the list, malformed input, determinism

#[test]
fn a_failed_list_request_is_repeated_after_a_wait() {
    let mut a = Aggregator::new(Settings { list: ListSource::OnRequest, ..ring() }, 3);
    assert!(a.on_batch(0.0, vec![]).contains(&Action::Watch));
    assert!(!a.on_batch(5.0, vec![]).contains(&Action::Watch));
    let error = || vec![Event::List { kind: ListKind::Error, members: vec![] }];
    assert!(!a.on_batch(10.0, error()).contains(&Action::Watch), "not at once");
    let again: Vec<u32> = (1..2000)
        .filter(|k| a.on_batch(10.0 + f64::from(*k) * 5.0, vec![]).contains(&Action::Watch))
        .collect();
    assert_eq!(again.len(), 1);
}

#[test]
fn malformed_events_are_ignored_or_answered_by_the_rules() {
    let mut s = Harness::new(ring(), 1);
    let stray = vec![
        ended("nobody", 7, Outcome::Served, f64::NAN),
        Event::ClientGone(id("nobody")),
        Event::Woken,
        Event::Part(Part {
            id: id("p"),
            group: 99,
            shard: 5,
            weight: f64::NAN,
            work_hint: Some(f64::INFINITY),
        }),
    ];
    assert!(finals(&s.step(5.0, stray)).is_empty());
    let mut last = s.ask("empty", &[]);
    for _ in 0..900 {
        last.extend(s.step(5.0, vec![]));
    }
    assert_eq!(finals(&last).len(), 1, "a query without parts ends too");
}

#[test]
fn a_query_for_a_shard_without_holders_is_refused_at_once() {
    let mut a = Harness::new(ring(), 0);
    assert_eq!(finals(&a.ask("q", &[0])), vec![refused("q")]);
}

#[test]
fn the_same_events_give_the_same_actions() {
    let run = || {
        let mut s = Harness::new(ring(), 2);
        let mut all = Vec::new();
        for k in 0..50 {
            let actions = s.ask(&format!("q{k}"), &[k % 6, (k + 1) % 6, (k + 2) % 6]);
            let outcome = if k % 7 == 0 { Outcome::Error } else { Outcome::Served };
            let events = sends(&actions).iter().map(|t| ended(&t.0, 0, outcome, 40.0)).collect();
            all.extend(actions);
            all.extend(s.step(40.0, events));
        }
        all
    };
    assert_eq!(run(), run());
}

#[test]
fn the_decisions_stay_within_their_length_limit() {
    let text = include_str!("../src/choice.rs");
    let policy = [text, include_str!("../src/retry_advice.rs")];
    let lines = policy.iter().flat_map(|t| t.lines()).filter(|l| !l.trim().is_empty()).count();
    assert!(lines <= 1000, "{lines} lines that are not blank");
    for (n, line) in text.lines().enumerate() {
        assert!(line.chars().count() <= 110, "line {} is too wide", n + 1);
    }
}

// ---- many aggregators

/// Returns the work that the given number of aggregators send a cold server in one window of the rule, and
/// the limit of the rule. Each sends a query every `every` ms, and has done so for `before` ms before the
/// server starts.
fn cold_sum(aggregators: usize, every: Millis, before: Millis) -> (f64, f64) {
    let set = Settings { aggregators, cells: 1, reach: 1, ..ring() };
    let mut work = 0.0;
    for seed in 0..aggregators {
        let mut s = Harness::new(set.clone(), 0);
        s.aggregator = Aggregator::new(set.clone(), seed as u64 * 7919 + 1);
        s.step(5.0, vec![Event::List { kind: ListKind::Complete, members: vec![member("warm", 0)] }]);
        let mut ask_for = |s: &mut Harness, span: Millis| {
            let end = s.now + span;
            s.step(every * seed as f64 / aggregators as f64, vec![]);
            while s.now < end {
                let sent = sends(&s.ask(&format!("q{}", s.now), &[0]));
                // A part counts by its own work, first assumed to be twice a call's.
                work += sent.iter().filter(|t| t.1 == "cold").count() as f64 * 40.0;
                // The server answers no more than its capacity: nothing, where all send far more.
                let answers = if before > 0.0 { sent } else { vec![] };
                let answers = answers.iter().map(|t| ended(&t.0, 0, Outcome::Served, 40.0)).collect();
                s.step((every - 5.0).min(40.0), answers);
                s.step((every - 45.0).max(0.0), vec![]);
            }
        };
        ask_for(&mut s, before);
        let members = vec![Member { started: Some(s.now), ..member("cold", 0) }];
        s.step(5.0, vec![Event::List { kind: ListKind::Changes, members }]);
        ask_for(&mut s, 1900.0);
    }
    // The least capacity of one core at the end of the window.
    (work, 2.0 * (0.2 + 0.8 * 0.2) * 2000.0)
}

#[test]
fn rule_many_aggregators_together_keep_to_a_cold_servers_limit() {
    for aggregators in [1, 2, 10, 60, 120] {
        // All have just started and send far more than can be served, or have long sent what fills one core.
        for (every, before) in [(100.0, 0.0), (50.0 * aggregators as f64, 20_000.0)] {
            let (work, room) = cold_sum(aggregators, every, before);
            assert!(work <= room, "{aggregators} aggregators sent {work} of {room}");
            assert!(work > 0.0, "{aggregators} aggregators send it nothing at all");
        }
    }
}

#[test]
fn a_pause_of_the_aggregator_is_not_blamed_on_servers() {
    // The same outcomes, noticed in time or after this process was paused.
    let met = |pause: bool| {
        let mut s = Harness::new(ring(), 1);
        establish_time_out(&mut s, 10, 4000.0);
        let sent = sends(&s.ask("q", &[0, 6, 12, 18]));
        let events = sent.iter().map(|t| ended(&t.0, 0, Outcome::TimedOut, 900.0)).collect();
        let end = s.now + 900.0;
        if pause {
            s.batch(end, events)
        } else {
            s.step(900.0, events)
        };
        let sick = sent[0].1.clone();
        (0..12).filter(|k| servers(&s.ask(&format!("n{k}"), &[0])).contains(&sick)).count()
    };
    assert!(met(true) > 0, "the aggregator was paused, not the server");
    assert_eq!(met(false), 0);
}

#[test]
fn a_hedge_is_sent_sooner_where_it_is_fast() {
    // Two aggregators whose attempt has been in flight equally long; one of them has filled the other holder.
    let wait = |filled: bool| {
        let mut s = Harness::new(Settings { cells: 1, reach: 1, ..ring() }, 2);
        establish_time_out(&mut s, 20, 4000.0);
        let first = sends(&s.ask("q", &[0]))[0].clone();
        if filled {
            for k in 0..12 {
                s.ask(&format!("f{k}"), &[0]);
            }
        }
        for k in 0..300 {
            let actions = s.step(5.0, vec![]);
            if sends(&actions).iter().any(|t| t.0 == first.0) {
                return k;
            }
        }
        300
    };
    assert!(wait(false) < wait(true), "{} and {}", wait(false), wait(true));
}

#[test]
fn an_unreachable_server_is_ejected_at_once_and_longer_each_time() {
    let mut s = Harness::new(ring(), 1);
    establish_time_out(&mut s, 12, 4000.0);
    // Times until the server is used again after each refused connection, under constant traffic.
    let mut gaps = Vec::new();
    let mut last = None;
    for k in 0..1500 {
        let sent = sends(&s.ask(&format!("q{k}"), &[0]));
        let sick = sent[0].1 == "c1n0";
        if sick {
            gaps.extend(last.map(|t: Millis| s.now - t));
            last = Some(s.now);
        }
        let outcome = if sick { Outcome::NoConnection } else { Outcome::Served };
        let more = s.step(20.0, vec![ended(&sent[0].0, 0, outcome, 20.0)]);
        let events = sends(&more).iter().map(|t| ended(&t.0, 1, Outcome::Served, 20.0)).collect();
        s.step(0.0, events);
    }
    assert!(gaps.len() > 2 && gaps[0] > 300.0, "used again after {gaps:?}");
    assert!(gaps[1] > gaps[0], "{gaps:?}");
}

#[test]
fn a_silent_zone_is_detected_at_a_few_servers() {
    // Shard s is held by cell s alone, with two holders: one in the silent zone, one in the other.
    let silent_sends = |zones: bool| {
        let mut s = Harness::new(Settings { cells: 12, reach: 1, aggregators: 1, ..ring() }, 0);
        let zone = |z| zones.then_some(z);
        let members = (0..12).flat_map(|c| {
            let here = Member { zone: zone(0), ..member(&format!("here{c}"), c) };
            [here, Member { zone: zone(1), ..member(&format!("there{c}"), c) }]
        });
        s.step(5.0, vec![Event::List { kind: ListKind::Complete, members: members.collect() }]);
        let mut count = 0;
        for k in 0..12 {
            let sent = sends(&s.ask(&format!("q{k}"), &[k]));
            let there = sent[0].1.starts_with("there");
            count += usize::from(there);
            let outcome = if there { Outcome::NoConnection } else { Outcome::Served };
            let more = s.step(50.0, vec![ended(&sent[0].0, 0, outcome, 50.0)]);
            s.step(50.0, sends(&more).iter().map(|t| ended(&t.0, 1, Outcome::Served, 50.0)).collect());
        }
        count
    };
    assert!(silent_sends(true) < silent_sends(false), "{} {}", silent_sends(true), silent_sends(false));
}

// ---- refusals and retry advice

/// Returns the advice on a query of this class that no server can take, when part of its time has passed.
fn advice(class: Class, most: Millis) -> Option<Millis> {
    let mut s = Harness::new(Settings { classes: vec![class], max_retry_after: Some(most), ..ring() }, 0);
    match finals(&s.ask("q", &[0])).as_slice() {
        [Action::Refuse { retry_after, .. }] => *retry_after,
        other => panic!("{other:?}"),
    }
}

#[test]
fn retry_advice_leaves_time_for_the_retry() {
    // Clients heed up to twice the aim: a retry at that time would earn nothing.
    let back = advice(class(), 2000.0).unwrap();
    assert!(back > 0.0 && back < 500.0, "{back} of an aim of 1000");
    assert_eq!(advice(class(), 100.0), Some(100.0), "not longer than clients heed");
}

#[test]
fn keyed_queries_are_refused_with_advice_only_inside_their_window() {
    // All attempts may have run; the class's window is long, or over by the time a client would retry.
    let last = |window: Millis| {
        let class = Class { semantics: Semantics::Keyed { window }, ..class() };
        let mut s = Harness::new(Settings { classes: vec![class], max_attempts: 1, ..ring() }, 1);
        s.ask("q", &[0]);
        finals(&s.step(200.0, vec![ended("q.0", 0, Outcome::Error, 200.0)]))
    };
    assert_eq!(last(1000.0), vec![refused("q")]);
    assert_eq!(last(250.0), vec![Action::Fail { query: id("q") }], "a retry could take effect again");
}

// ---- second steps

/// A class with a second step that may be answered from half of its parts.
fn two_steps() -> Settings {
    let class = Class { second_step: true, floor: 0.5, ..class() };
    Settings { classes: vec![class], hedging: false, ..ring() }
}

fn second_part(name: &str, group: u64) -> Event {
    Event::Part(Part { id: id(name), group, shard: 0, weight: 1.0, work_hint: None })
}

#[test]
fn a_batch_between_the_first_answer_and_its_parts_ends_nothing() {
    let mut s = Harness::new(two_steps(), 1);
    s.ask("q", &[0]);
    assert_eq!(finals(&s.step(20.0, vec![ended("q.0", 0, Outcome::Served, 20.0)])), vec![whole("q")]);
    assert!(finals(&s.step(5.0, vec![])).is_empty(), "its parts have not arrived yet");
    assert_eq!(sends(&s.step(5.0, vec![second_part("x", 1)])).len(), 1);
}

#[test]
fn a_partial_first_answer_leaves_the_second_step_its_time() {
    let mut s = Harness::new(two_steps(), 1);
    // Second steps take 300 ms of an aim of 1000 ms here.
    for k in 1..30 {
        let name = format!("u{k}");
        s.ask(&name, &[0]);
        s.step(20.0, vec![ended(&format!("{name}.0"), 0, Outcome::Served, 20.0)]);
        s.step(5.0, vec![second_part(&format!("{name}x"), k)]);
        s.step(295.0, vec![ended(&format!("{name}x"), 0, Outcome::Served, 295.0)]);
    }
    s.ask("q", &[0, 1]);
    let asked = s.now;
    s.step(20.0, vec![ended("q.0", 0, Outcome::Served, 20.0)]);
    while finals(&s.step(5.0, vec![])).is_empty() {}
    let first = s.now - asked;
    assert!(first > 600.0 && first < 750.0, "answered in part after {first}");
}

#[test]
fn a_partial_answer_waits_for_parts_that_may_still_be_served() {
    // One part of four runs out of attempts early; the others are merely slow.
    let class = Class { floor: 0.5, late_worth: 0.0, ..class() };
    let mut s = Harness::new(Settings { classes: vec![class], max_attempts: 1, ..ring() }, 1);
    s.ask("q", &[0, 1, 2, 3]);
    let served = |n: &str| ended(n, 0, Outcome::Served, 20.0);
    let early = vec![ended("q.0", 0, Outcome::Error, 20.0), served("q.1"), served("q.2")];
    assert!(finals(&s.step(20.0, early)).is_empty(), "the last part would add a quarter");
    let partial = Action::Answer { query: id("q"), whole: false };
    assert_eq!(finals(&s.step(100.0, vec![served("q.3")])), vec![partial]);
}

// ---- aggregators that see little traffic

#[test]
fn a_server_that_rejects_everything_is_ejected_longer_each_time() {
    let mut s = Harness::new(ring(), 1);
    establish_time_out(&mut s, 12, 4000.0);
    let mut met = Vec::new();
    for k in 0..1500 {
        let sent = sends(&s.ask(&format!("q{k}"), &[0]));
        let sick = sent[0].1 == "c1n0";
        met.extend(sick.then_some(s.now));
        let outcome = if sick { Outcome::Full } else { Outcome::Served };
        let more = s.step(20.0, vec![ended(&sent[0].0, 0, outcome, 20.0)]);
        s.step(0.0, sends(&more).iter().map(|t| ended(&t.0, 1, Outcome::Served, 20.0)).collect());
    }
    let gaps: Vec<Millis> = met.windows(2).map(|w| w[1] - w[0]).collect();
    assert!(gaps.len() > 3 && gaps[gaps.len() - 1] > 2000.0, "{gaps:?}");
}

#[test]
fn one_very_slow_answer_is_enough_to_leave_a_row_holder() {
    let mut s = Harness::new(ring(), 1);
    let slow = sends(&s.ask("slow", &[0]))[0].clone();
    s.step(280.0, vec![ended(&slow.0, 0, Outcome::Served, 280.0)]);
    for k in 0..12 {
        let sent = sends(&s.ask(&format!("q{k}"), &[0]));
        assert_ne!(sent[0].1, slow.1);
        s.step(20.0, vec![ended(&sent[0].0, 0, Outcome::Served, 40.0)]);
    }
}

#[test]
fn a_load_report_moves_parts_to_an_idle_holder() {
    let met = |held: f64| {
        let mut s = Harness::new(Settings { cells: 1, reach: 1, ..ring() }, 2);
        establish_time_out(&mut s, 4, 4000.0);
        let (part, filled, _) = sends(&s.ask("q", &[0]))[0].clone();
        let served = Outcome::Served;
        let report =
            Event::Ended { part: id(&part), attempt: 0, outcome: served, elapsed: 20.0, load: Some(held) };
        s.step(20.0, vec![report]);
        let count = |s: &mut Harness, n: usize| {
            let met = (0..n).map(|k| {
                let sent = sends(&s.ask(&format!("n{k}-{}", s.now), &[0]));
                s.step(20.0, vec![ended(&sent[0].0, 0, Outcome::Served, 20.0)]);
                sent[0].1 == filled
            });
            met.filter(|m| *m).count()
        };
        let soon = count(&mut s, 3);
        s.step(20_000.0, vec![]);
        (soon, count(&mut s, 20))
    };
    assert_eq!(met(30.0).0, 0, "thirty parts are queued there");
    assert!(met(1e300).1 > 0, "the effect of an absurd report is limited in time");
    assert!(met(f64::NAN).1 > 0);
}

#[test]
fn rule_a_busy_aggregator_uses_a_cold_server_by_what_warm_ones_served() {
    // One of sixty aggregators carries nearly all: its even part would be one part in ten seconds.
    let set = Settings { aggregators: 60, cells: 1, reach: 1, ..ring() };
    let mut s = Harness::new(set, 0);
    let warm = |n: &str| member(n, 0);
    s.step(
        5.0,
        vec![Event::List { kind: ListKind::Complete, members: vec![warm("a"), warm("b"), warm("c")] }],
    );
    let count = |s: &mut Harness, seconds: usize, cold: &str| -> (usize, usize) {
        let mut met = (0, 0);
        for k in 0..seconds * 40 {
            let sent = sends(&s.ask(&format!("q{}-{k}", s.now), &[0]));
            met.0 += usize::from(sent.iter().any(|t| t.1 == cold));
            met.1 += sent.len();
            s.step(20.0, sent.iter().map(|t| ended(&t.0, 0, Outcome::Served, 20.0)).collect());
        }
        met
    };
    count(&mut s, 10, "cold");
    let started = Some(s.now);
    let list = vec![Member { started, ..member("cold", 0) }];
    s.step(5.0, vec![Event::List { kind: ListKind::Changes, members: list }]);
    let (cold, all) = count(&mut s, 2, "cold");
    assert!(cold >= 4, "{cold} of {all} parts were sent to the cold server");
    // The factor, 2, times the largest capacity by then, 0.36, times what one of three warm servers is sent.
    assert!((cold as f64) < 2.0 * 0.36 * all as f64 / 3.0, "{cold} of {all}");
}

// ---- queries that crash servers

#[test]
fn a_query_whose_attempts_break_connections_is_not_retried() {
    let mut s = Harness::new(ring(), 1);
    let sent = sends(&s.ask("bad", &[0, 1, 2, 3]));
    let broke = |n: usize| ended(&sent[n].0, 0, Outcome::ConnectionLost, 20.0);
    let first = s.step(20.0, vec![broke(0), broke(1)]);
    assert!(sends(&first).is_empty(), "each further attempt may crash another server");
    assert_eq!(finals(&first), vec![refused("bad")], "it ends at once");
    let cancelled = first.iter().filter(|a| matches!(a, Action::Cancel { .. })).count();
    assert_eq!(cancelled, 2, "attempts still in flight are cancelled");
}

#[test]
fn broken_connections_among_answers_are_retried() {
    let mut s = Harness::new(ring(), 1);
    let sent = sends(&s.ask("good", &[0, 1, 2, 3, 4, 5]));
    let outcome = |n: usize| if n < 2 { Outcome::ConnectionLost } else { Outcome::Served };
    let events = (0..6).map(|n| ended(&sent[n].0, 0, outcome(n), 20.0)).collect();
    assert_eq!(sends(&s.step(20.0, events)).len(), 2);
}

#[test]
fn a_server_that_fails_one_class_is_avoided_by_that_class_alone() {
    let set = Settings { classes: vec![class(), class()], hedging: false, ..ring() };
    let mut s = Harness::new(set, 1);
    let sick = "c1n0";
    let mut met = [0, 0];
    for k in 0..200 {
        let events = s.query(&format!("q{k}"), k % 2, &[0], 4000.0);
        let sent = sends(&s.step(5.0, events));
        let here = sent[0].1 == sick;
        met[k % 2] += usize::from(here && k > 40);
        // Half of one class's parts fail there; all others are served, so that it never fails twice in a row.
        let outcome = if here && k % 4 == 0 { Outcome::Error } else { Outcome::Served };
        let more = s.step(20.0, vec![ended(&sent[0].0, 0, outcome, 20.0)]);
        s.step(20.0, sends(&more).iter().map(|t| ended(&t.0, 1, Outcome::Served, 20.0)).collect());
    }
    assert!(
        met[1] > 10 && met[0] * 2 < met[1],
        "the failing class met it {} times, the other {}",
        met[0],
        met[1]
    );
}

#[test]
fn a_query_is_refused_at_once_while_all_holders_of_a_shard_reject_parts() {
    let class = Class { late_worth: 0.0, ..class() };
    let mut s = Harness::new(Settings { classes: vec![class], cells: 1, reach: 1, ..ring() }, 2);
    establish_time_out(&mut s, 10, 4000.0);
    // Each time both holders reject a part they are ejected for longer.
    let mut last = vec![];
    for k in 0..12 {
        let mut open = sends(&s.ask(&format!("q{k}"), &[0]));
        last = open.clone();
        let mut attempt = 0;
        while let Some((part, _, _)) = open.pop() {
            open.extend(sends(&s.step(5.0, vec![ended(&part, attempt, Outcome::Full, 5.0)])));
            attempt += 1;
        }
    }
    assert!(last.is_empty(), "its other parts would be lost work");
    s.step(6000.0, vec![]);
    assert!(!sends(&s.ask("later", &[0])).is_empty(), "a holder is used once its ejection is over");
}

/// An ejected server gets no work, so that it looks idle: no query must be admitted because of that.
#[test]
fn a_query_is_refused_while_the_holders_that_it_would_use_are_full() {
    let mut s = Harness::new(Settings { cells: 1, reach: 1, hedging: false, ..ring() }, 3);
    let dead = "c0n0";
    for k in 0..12 {
        let sent = sends(&s.ask(&format!("w{k}"), &[0]));
        let how = if sent[0].1 == dead { Outcome::NoConnection } else { Outcome::Served };
        let more = s.step(20.0, vec![ended(&sent[0].0, 0, how, 20.0)]);
        s.step(5.0, sends(&more).iter().map(|t| ended(&t.0, 1, Outcome::Served, 20.0)).collect());
    }
    let dead = |s: &Harness| {
        s.aggregator.views(s.now).iter().any(|v| v.ejected_until.is_some_and(|until| until > s.now))
    };
    assert!(dead(&s), "one server is ejected");
    let all: Vec<Vec<Action>> = (0..60).map(|k| s.ask(&format!("q{k}"), &[0])).collect();
    assert!(dead(&s), "it is still ejected");
    let taken = all.iter().filter(|actions| !sends(actions).is_empty()).count();
    assert!((10..50).contains(&taken), "{taken} of 60 were admitted, though two servers answer none");
}

/// Over a long day each server is replaced many times under new names: no state may grow with them.
#[test]
fn removed_servers_are_dropped_once_nothing_refers_to_them() {
    let mut s = Harness::new(Settings { cells: 1, reach: 1, ..ring() }, 0);
    let list = |names: &[&str]| {
        let members = names.iter().map(|name| member(name, 0)).collect();
        vec![Event::List { kind: ListKind::Complete, members }]
    };
    s.step(5.0, list(&["stays", "busy"]));
    let out: Vec<_> = (0..8).flat_map(|n| sends(&s.ask(&format!("q{n}"), &[0]))).collect();
    for n in 0..100 {
        s.step(1500.0, list(&["stays", &format!("new{n}")]));
        s.traffic(1, &[], Outcome::Served);
    }
    assert!(s.aggregator.servers_known() < 15, "{}", s.aggregator.servers_known());
    // A late end still finds its server, and no other: the attempts are kept as they were.
    let ends = out.iter().map(|(part, _, _)| ended(part, 0, Outcome::TimedOut, 4000.0)).collect();
    s.step(1500.0, ends);
    assert_eq!(s.traffic(20, &[], Outcome::Served).values().sum::<usize>(), 20);
}

/// A server puts one report into many answers. A repeated report shows nothing new: its effect decays with
/// time.
#[test]
fn a_repeated_load_report_decays() {
    let sent_to_a = |repeated: bool| {
        let mut s = Harness::new(Settings { cells: 1, reach: 1, batch: 1, ..ring() }, 0);
        s.step(
            5.0,
            vec![Event::List { kind: ListKind::Complete, members: vec![member("a", 0), member("b", 0)] }],
        );
        let mut seen = 0;
        for n in 0..200 {
            for (part, node, _) in sends(&s.ask(&format!("q{n}"), &[0])) {
                seen += usize::from(node == "a" && n > 20);
                // Server `a` reported 9 once, or slightly more than 9 each time.
                let held = 9.0 + if repeated { 0.0 } else { n as f64 / 1000.0 };
                let load = Some(if node == "a" { held } else { 0.0 });
                let end = Event::Ended {
                    part: id(&part),
                    attempt: 0,
                    outcome: Outcome::Served,
                    elapsed: 30.0,
                    load,
                };
                s.step(30.0, vec![end]);
            }
        }
        seen
    };
    let (old, new) = (sent_to_a(true), sent_to_a(false));
    assert!(old > new + 10, "{old} with an old report, {new} with new ones");
}

/// Servers close single connections all day. One that continues to answer is not ejected for it, and a query
/// that met two of those is retried.
#[test]
fn a_connection_lost_beside_answers_marks_neither_server_nor_query() {
    let mut s = Harness::new(Settings { hedging: false, ..sets() }, 1);
    let mut attempts = std::collections::BTreeMap::new();
    for n in 0..40 {
        let beside = sends(&s.ask(&format!("b{n}"), &[0, 1, 2, 3]));
        let mut open = sends(&s.ask(&format!("q{n}"), &[0, 1]));
        let lost = open.iter().map(|(part, _, _)| ended(part, 0, Outcome::ConnectionLost, 5.0));
        let served = beside.iter().map(|(part, _, _)| ended(part, 0, Outcome::Served, 10.0));
        let events = served.chain(lost).collect();
        let actions = s.step(5.0, events);
        assert!(finals(&actions).iter().all(|a| *a == whole(&format!("b{n}"))), "{actions:?}");
        open = sends(&actions);
        open.extend(sends(&s.step(20.0, vec![])));
        for (part, node, _) in open {
            *attempts.entry(node).or_insert(0) += 1;
            s.step(5.0, vec![ended(&part, 1, Outcome::Served, 10.0)]);
        }
    }
    assert_eq!(attempts.values().sum::<i32>(), 80, "{attempts:?}");
}
