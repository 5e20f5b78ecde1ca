//! The watch against discoveries that do anything, in simulated time.

use plover_model::time::{MILLI, Micros, SECOND};
use plover_standins::timed::{Does, LAG, Play};
use plover_watch::*;
use proptest::prelude::*;

fn anything() -> impl Strategy<Value = Does> {
    let after = prop_oneof![Just(0), 0..50 * MILLI, 0..6 * SECOND];
    prop_oneof![
        4 => (after.clone(), any::<bool>(), any::<bool>())
            .prop_map(|(after, tells, closes)| Does::Answers { after, tells, closes }),
        1 => Just(Does::HoldsToTheEnd),
        1 => after.clone().prop_map(|after| Does::Trickles { after }),
        2 => after.prop_map(|after| Does::Breaks { after }),
        1 => prop_oneof![Just(400), Just(429), Just(500), Just(503)].prop_map(|status| Does::Errs { status }),
        1 => Just(Does::Garbles),
        3 => Just(Does::Nothing),
    ]
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(256))]

    /// Whatever discovery does: a call or an attempt goes out within the bound, never two within the gap, and once
    /// discovery is itself again its news is there within an attempt and a rest.
    #[test]
    fn there_is_always_a_call_out_or_soon_and_never_too_many(
        acts in prop::collection::vec(anything(), 1..60),
        seed: u64,
        revs in prop::collection::vec(0u64..3, 60),
    ) {
        let times = Times::default();
        let mut play = Play::new(times, Some(1), seed);
        let (mut n, mut last) = (0, None);
        play.run(200 * SECOND, |now, _, rev| {
            let Some(act) = acts.get(n) else {
                last.get_or_insert(now);
                return Does::Nothing;
            };
            *rev += revs[n];
            n += 1;
            *act
        });
        let mut orders: Vec<Micros> = play.connects.iter().copied().chain(play.calls.iter().map(|c| c.0)).collect();
        orders.push(play.now);
        orders.sort_unstable();
        for two in orders.windows(2) {
            prop_assert!(two[1] - two[0] <= times.stale + times.back_off.1.max(times.idle_gap), "{two:?}");
        }
        for two in play.calls.windows(2) {
            prop_assert!(two[1].0 - two[0].0 >= times.gap, "{two:?}");
        }
        for two in play.connects.windows(2) {
            prop_assert!(two[1] - two[0] >= times.gap, "{two:?}");
        }
        // Silent since the script ended; now it is back.
        let back = play.now;
        play.rev += 1;
        play.run(back + 20 * SECOND, |_, call, _| match call {
            Some(c) if c.index.is_none_or(|i| i < 1000) => Does::Answers { after: LAG, tells: true, closes: false },
            _ => Does::HoldsToTheEnd,
        });
        let had = play.heard.iter().find(|h| h.0 >= back).map(|h| h.0 - back);
        prop_assert!(had.is_some_and(|had| had <= times.outage_attempt + times.back_off.1 + LAG), "{had:?}");
    }
}

/// A discovery that is well but for one stretch of time, in which it does something else; a call that is out when that
/// begins is never answered, or ends with its connection. News comes with the end of the stretch.
fn stretch(does: Does, from: Micros, length: Micros) -> Play {
    let mut play = Play::new(Times::default(), Some(1), from ^ length);
    let until = from + length;
    play.run(until + 30 * SECOND, |now, call, rev| {
        *rev = if now >= until { 2 } else { 1 };
        let well = Does::Answers { after: LAG, tells: true, closes: false };
        let Some(call) = call else {
            // Attempts come up, but for those that meet a silent or a dead process.
            let meets = (from..until).contains(&now) && matches!(does, Does::Nothing | Does::Breaks { .. });
            return if meets { does } else { well };
        };
        if (from..until).contains(&now) {
            return does;
        }
        if call.index.is_none_or(|i| i < *rev) {
            return well;
        }
        if now < from && from <= now + call.wait {
            return match does {
                Does::Nothing => does,
                Does::Trickles { .. } => Does::Trickles { after: from - now },
                Does::Breaks { .. } | Does::Errs { .. } | Does::Garbles => Does::Breaks { after: from - now },
                Does::Answers { .. } => Does::Answers { after: from - now, tells: false, closes: false },
                Does::HoldsToTheEnd | Does::ComesUp { .. } | Does::Says { .. } => does,
            };
        }
        Does::Answers { after: call.wait + LAG, tells: false, closes: false }
    });
    play
}

/// The longest from the end of a stretch, when the agent has the news, until the broker has it; and the most calls and
/// attempts in a second of it.
fn longest(does: Does, lengths: &[Micros]) -> (Micros, usize) {
    let (mut worst, mut most) = (0, 0);
    for &length in lengths {
        for phase in 0..220 {
            let from = 10 * SECOND + phase * 25 * MILLI + 1;
            let play = stretch(does, from, length);
            let until = from + length;
            let had = play.heard.iter().find(|h| h.1 >= 2).map_or(Micros::MAX, |h| h.0);
            worst = worst.max(had.saturating_sub(until));
            let orders: Vec<Micros> =
                play.connects.iter().copied().filter(|t| (from..until).contains(t)).collect();
            let within = |t: &Micros| orders.iter().filter(|o| (*t..*t + SECOND).contains(o)).count();
            most = most.max(orders.iter().map(within).max().unwrap_or(0));
        }
    }
    (worst, most)
}

/// The table of `docs/design/watch.md`: run with `--nocapture` it prints it.
#[test]
fn the_longest_times_are_those_of_the_table() {
    let short = [100 * MILLI, SECOND];
    let long = [6 * SECOND, 7 * SECOND, 8 * SECOND];
    let longer = [15 * SECOND, 40 * SECOND];
    let refuses = Does::Breaks { after: 0 };
    let trickles = Does::Trickles { after: LAG };
    let early = Does::Answers { after: LAG, tells: false, closes: false };
    let rows: [(&str, Does, &[Micros], Micros, usize); 10] = [
        ("a held call is lost, new ones are answered", Does::Nothing, &short, 4341, 1),
        ("silent or half-open for 6 to 8 s", Does::Nothing, &long, 1200, 2),
        ("silent or half-open for 15 or 40 s", Does::Nothing, &longer, 3600, 2),
        ("refuses, or closes at once, for 6 to 8 s", refuses, &long, 400, 8),
        ("one byte a second for 6 to 8 s", trickles, &long, 1200, 2),
        ("dies once, between head and body or elsewhere", refuses, &[1], 41, 1),
        ("5xx for 6 to 8 s", Does::Errs { status: 503 }, &long, 401, 8),
        ("what is no list for 6 to 8 s", Does::Garbles, &long, 401, 8),
        ("holds the news for the whole wait", Does::HoldsToTheEnd, &[4 * SECOND, 9 * SECOND], 4002, 0),
        ("answers at once, with nothing", early, &[4 * SECOND], 101, 0),
    ];
    for (name, does, lengths, bound_ms, rate) in rows {
        let (worst, most) = longest(does, lengths);
        println!("| {name} | {:.2} s | {most} |", worst as f64 / SECOND as f64);
        assert!(worst <= bound_ms * MILLI, "{name}: {worst}");
        assert!(most <= rate, "{name}: {most} attempts in a second");
    }
    let moved = |n: u64| {
        let back = n * 25 * MILLI;
        let mut play = Play::new(Times::default(), None, n);
        let well = Does::Answers { after: LAG, tells: true, closes: false };
        play.run(back + 10 * SECOND, |now, _, _| if now < back { Does::Nothing } else { well });
        play.heard[0].0 - back
    };
    let worst = (0..160).map(moved).max().unwrap();
    println!("| moved to one that is silent for up to 4 s | {:.2} s | |", worst as f64 / SECOND as f64);
    assert!(worst <= 1200 * MILLI, "{worst}");
}

/// Brokers that lose one discovery together do not come back together.
#[test]
fn rests_differ_from_seed_to_seed() {
    let connects = |seed| {
        let mut play = Play::new(Times::default(), Some(1), seed);
        play.run(5 * SECOND, |_, _, _| Does::Breaks { after: 0 });
        play.connects
    };
    assert_ne!(connects(1), connects(2));
}

/// What a lost watch missed counts as told 6 s after the silence began, or 2 s after the call's wait if that is later.
#[test]
fn a_watch_that_falls_silent_is_renewed_before_what_it_missed_counts_as_told() {
    for phase in 0..2200 {
        let from = 10 * SECOND + phase * 2500 + 1;
        // Room for one attempt that was made too early, a rest, and the next attempt: 1.2 s.
        for length in [100 * MILLI, SECOND, 3 * SECOND, 4800 * MILLI] {
            let play = stretch(Does::Nothing, from, length);
            let call = play.calls.iter().rev().find(|c| c.0 < from).unwrap();
            let told = (from + 6 * SECOND).max(call.0 + call.1.wait + 2 * SECOND);
            let had = play.heard.iter().find(|h| h.1 >= 2).map_or(Micros::MAX, |h| h.0);
            assert!(had <= told, "silent from {from} for {length}: had at {had}, told at {told}");
        }
    }
}

/// In calm the watch costs what its wait says, and an answer that comes too soon again and again costs no more than ten
/// calls a second.
#[test]
fn calm_costs_seventeen_calls_a_minute() {
    let count = |does: fn(Call) -> Does| {
        let mut play = Play::new(Times::default(), Some(1), 7);
        play.run(60 * SECOND, |_, call, _| match call {
            Some(call) => does(call),
            None => Does::Answers { after: 0, tells: false, closes: false },
        });
        (play.calls.len(), play.connects.len())
    };
    // The first call, the one whose wait is drawn, and then one in 3.5 s, neither more nor less.
    for seed in 0..64 {
        let mut play = Play::new(Times::default(), Some(1), seed);
        play.run(60 * SECOND, |_, call, _| {
            let after = call.map_or(0, |call| call.wait + LAG);
            Does::Answers { after, tells: false, closes: false }
        });
        let apart: Vec<Micros> = play.calls.windows(2).map(|two| two[1].0 - two[0].0).collect();
        assert!((19..=20).contains(&play.calls.len()) && play.connects.len() == 1, "{}", play.calls.len());
        assert!(apart[1] <= Times::default().wait + LAG, "{apart:?}");
        assert!(apart[2..].iter().all(|apart| *apart == Times::default().wait + LAG), "{apart:?}");
    }
    let hasty = count(|_| Does::Answers { after: 0, tells: true, closes: false });
    assert!(hasty.0 <= 602 && hasty.1 == 1, "{hasty:?}");
    let closing = count(|_| Does::Answers { after: 0, tells: false, closes: true });
    assert!(closing.0 <= 602, "{closing:?}");
}

/// A discovery that is slow, and not silent, is heard in the end.
#[test]
fn a_discovery_that_needs_two_seconds_is_heard() {
    let mut play = Play::new(Times::default(), None, 3);
    play.run(60 * SECOND, |_, _, rev| {
        *rev = 9;
        Does::Answers { after: 2 * SECOND, tells: true, closes: false }
    });
    assert!(play.heard.first().is_some_and(|h| h.0 < 40 * SECOND), "{:?}", play.heard);
}

/// The whole list is asked for where changes cannot be had, and not where discovery only has no time.
#[test]
fn the_whole_list_is_asked_for_where_changes_cannot_be_had() {
    let next = |acts: &[Does]| {
        let mut n = 0;
        let mut play = Play::new(Times::default(), Some(1), 3);
        play.run(30 * SECOND, |_, call, _| {
            n += usize::from(call.is_some());
            let act = acts.get(n.saturating_sub(1)).copied().unwrap_or(Does::Nothing);
            if call.is_some() { act } else { Does::Answers { after: 0, tells: false, closes: false } }
        });
        play.calls[acts.len()].1.index
    };
    assert_eq!(next(&[Does::Errs { status: 404 }]), None);
    assert_eq!(next(&[Does::Errs { status: 503 }]), Some(1));
    assert_eq!(next(&[Does::Errs { status: 429 }]), Some(1));
    assert_eq!(next(&[Does::Garbles]), Some(1));
    assert_eq!(next(&[Does::Garbles, Does::Garbles]), None);
}

#[test]
fn where_one_without_a_watch_counts_as_told_attempts_come_within_half_of_that() {
    assert_eq!(Times::within(Micros::MAX), Times::default());
    assert_eq!(Times::within(10 * SECOND).outage_attempt, 2 * SECOND);
    let short = Times::within(4 * SECOND);
    assert_eq!(short.outage_attempt + short.back_off.1, 2 * SECOND);
    assert_eq!(Times::within(SECOND).outage_attempt, Times::default().attempt);
}

/// What changes within 200 ms of an answer counts as told, so that the next call is out by then: also after one that was late, over
/// another connection.
#[test]
fn the_next_call_follows_any_answer_within_the_time_that_a_watch_may_pause() {
    for (took, tells, closes, rev) in [1, 100, 260, 700]
        .into_iter()
        .flat_map(|took| [true, false].map(|tells| (took, tells)))
        .flat_map(|(took, tells)| [true, false].map(|closes| (took, tells, closes)))
        .flat_map(|(took, tells, closes)| [6, 7, 8].map(|rev| (took, tells, closes, rev)))
    {
        let mut watch = Watch::new(0, Times::default(), Some(7), 1);
        let Some(Order::Connect(on)) = watch.turn(0) else { panic!("no connection") };
        watch.connected(on, 0);
        let now = took * MILLI;
        assert!(watch.answered(on, now, Heard { rev, tells, closes }));
        assert!(watch.due() <= now + 150 * MILLI, "{took} ms, {tells}, {closes}, {rev}: {}", watch.due());
    }
}
