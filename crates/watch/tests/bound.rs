//! How late the broker may know what discovery knows: whatever happened before, and whatever becomes of the connections,
//! calls and answers that are on their way, from the moment at which discovery has news and answers new connections.

use plover_model::time::{MILLI, Micros, SECOND};
use plover_standins::timed::{Does, LAG, Play};
use plover_watch::{ANSWER_DELAY, Times};
use proptest::prelude::*;

/// A change counts as told so long after discovery had it and could be reached.
const TOLD: Micros = 6 * SECOND;
/// The news; all before has lower versions.
const NEWS: u64 = 1000;

/// Moments at which a bound is about to pass, and others.
fn moment() -> impl Strategy<Value = Micros> {
    let times = Times::default();
    let edges = [
        0,
        times.first_wait,
        times.first_wait + times.prompt,
        times.first_wait + times.late,
        times.attempt,
        times.patient,
        times.wait - times.gap,
        times.wait,
        times.wait + times.prompt,
        times.wait + times.late,
        times.stale,
        times.grace,
    ];
    prop_oneof![
        prop::sample::select(edges.to_vec()),
        prop::sample::select(edges.to_vec()).prop_map(|at| at.saturating_sub(1)),
        0..50 * MILLI,
        0..6 * SECOND,
    ]
}

fn act() -> impl Strategy<Value = Does> {
    prop_oneof![
        6 => (moment(), moment(), 1u64..NEWS, any::<bool>(), any::<bool>())
            .prop_map(|(begins, takes, rev, tells, closes)| Does::Says { begins, takes, rev, tells, closes }),
        // What keeps a watch calm: nothing new, in good time.
        4 => (0..2 * MILLI).prop_map(|begins| Does::Says { begins, takes: 0, rev: 0, tells: false, closes: false }),
        1 => moment().prop_map(|after| Does::ComesUp { after }),
        1 => moment().prop_map(|after| Does::Trickles { after }),
        1 => moment().prop_map(|after| Does::Breaks { after }),
        1 => prop_oneof![Just(404), Just(429), Just(503)].prop_map(|status| Does::Errs { status }),
        1 => Just(Does::Garbles),
        3 => Just(Does::Nothing),
    ]
}

/// From `back` on discovery has the news and answers new connections. Attempts and calls before that, and all that comes
/// on a connection that was begun before, go as `acts` say: an answer that was written before may come at any later time.
/// The number is how long after `back` the broker has the news.
fn plays(acts: &[Does], back: Micros, pace: Micros, seed: u64) -> Micros {
    let mut play = Play::new(Times::default(), Some(1), seed);
    play.pace = pace;
    let (mut n, mut begun, mut last) = (0, Vec::new(), 0);
    play.run_on(back + 30 * SECOND, |now, attempt, call, _| {
        if call.is_none() {
            begun.push(now);
        }
        if begun[attempt] >= back {
            return Does::Says { begins: LAG, takes: 0, rev: NEWS, tells: true, closes: false };
        }
        let act = acts[n % acts.len()];
        n += 1;
        match (act, call) {
            (Does::Says { begins, takes, rev: 0, .. }, Some(call)) if now < back => {
                let says =
                    Does::Says { begins: call.wait + begins, takes, rev: last, tells: false, closes: false };
                // Written when the wait was over: it had no news then.
                if now + call.wait < back { says } else { Does::Nothing }
            }
            (Does::Says { begins, tells, rev, takes, closes }, Some(call)) if now < back => {
                let rev = if tells { rev } else { last };
                // Nothing new is said when the wait is over, or it comes at once.
                let sound = rev != last || begins + takes < call.wait.saturating_sub(20 * MILLI);
                last = rev;
                let says = Does::Says { begins, takes, rev, tells, closes };
                if sound || now + call.wait < back { says } else { Does::Nothing }
            }
            // A call of after that on a connection of before: whoever answers it is not up to date, and so no answer.
            (Does::Says { begins, .. }, Some(_)) => Does::Trickles { after: begins },
            (Does::ComesUp { .. }, Some(_)) => Does::Nothing,
            (act, _) => act,
        }
    });
    play.heard.iter().find(|h| h.1 == NEWS).map_or(Micros::MAX, |h| h.0.saturating_sub(back))
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(1024))]

    /// Any schedule, any phase, any length of an outage.
    #[test]
    fn news_is_here_within_the_bound_from_when_discovery_has_it_and_can_be_reached(
        acts in prop::collection::vec(act(), 1..40),
        back in prop_oneof![0..10 * SECOND, 0..90 * SECOND],
        seed: u64,
    ) {
        let took = plays(&acts, back, 0, seed);
        prop_assert!(took <= Times::default().asks_within() + LAG, "after {took}");
    }

    /// The same where the operator's file sets a pace for the fleet, however slow: it holds for the first attempt.
    #[test]
    fn the_pace_of_a_fleet_does_not_put_off_what_counts_as_told(
        acts in prop::collection::vec(act(), 1..40),
        back in 20 * SECOND..90 * SECOND,
        pace in prop_oneof![1..SECOND, SECOND..20 * SECOND],
        seed: u64,
    ) {
        let took = plays(&acts, back, pace, seed);
        prop_assert!(took <= Times::default().asks_within() + LAG, "after {took}");
    }
}

/// Two seconds are left for an answer that is as late as the protocol lets it be, and the rest for the turn and the sending.
#[test]
fn the_bound_leaves_two_seconds_of_six_for_the_answer() {
    let times = Times::default();
    assert!(times.asks_within() + ANSWER_DELAY + 200 * MILLI <= TOLD, "{}", times.asks_within());
    assert_eq!(times.hears_within(), times.asks_within() + ANSWER_DELAY);
    // It is a bound on what happens, and not far above that: a calm call, lost, whose answer trickles.
    let calm = Does::Says { begins: MILLI, takes: 0, rev: 0, tells: false, closes: false };
    let worst = (0..1000).map(|n| {
        let back = 12 * SECOND + n * 5 * MILLI;
        let mut play = Play::new(times, Some(1), n);
        let mut begun = Vec::new();
        play.run_on(back + 30 * SECOND, |now, attempt, call, _| {
            if call.is_none() {
                begun.push(now);
            }
            match call {
                _ if begun[attempt] >= back => {
                    Does::Says { begins: LAG, takes: 0, rev: NEWS, tells: true, closes: false }
                }
                Some(call) if now + call.wait < back => {
                    Does::Says { begins: call.wait + MILLI, takes: 0, rev: 1, tells: false, closes: false }
                }
                Some(call) => Does::Trickles { after: call.wait + times.late - 1 },
                None => calm,
            }
        });
        play.heard.iter().find(|h| h.1 == NEWS).unwrap().0 - back
    });
    let worst = worst.max().unwrap();
    println!("a calm call lost, its answer trickling: {:.2} s", worst as f64 / SECOND as f64);
    assert!((3500 * MILLI..=times.asks_within() + LAG).contains(&worst), "{worst}");
}

/// The call that was out when discovery got the news is answered at any moment, with anything that was so before; and
/// whatever is asked on its connection after that is lost at the worst of moments.
#[test]
fn an_answer_of_before_never_leaves_a_lost_connection_trusted_for_long() {
    let times = Times::default();
    let mut worst = 0;
    let says = |begins, takes, rev| Does::Says { begins, takes, rev, tells: rev > 1, closes: false };
    for (begins, takes) in
        (0..=4700).step_by(20).flat_map(|ms| [0, 1, 150, 399].map(|takes| (ms * MILLI, takes * MILLI)))
    {
        for rev in [1, 2] {
            let tells = rev > 1;
            for after in
                [None, Some(0), Some(times.first_wait + times.late - 1), Some(times.wait + times.late - 1)]
            {
                let mut play = Play::new(times, Some(1), begins ^ takes);
                let (mut begun, mut back) = (Vec::new(), None);
                play.run_on(60 * SECOND, |now, attempt, call, _| {
                    if call.is_none() {
                        begun.push(now);
                    }
                    match call {
                        _ if back.is_some_and(|back| begun[attempt] >= back) => says(LAG, 0, NEWS),
                        None => says(0, 0, 1),
                        Some(_) if back.is_some() => {
                            after.map_or(Does::Nothing, |after| Does::Trickles { after })
                        }
                        Some(call) if now < 10 * SECOND || call.wait < times.wait => {
                            says(call.wait + LAG, 0, 1)
                        }
                        Some(call) => {
                            // Nothing new may be said of a moment before the news, or as soon as the wait is over.
                            let honest = tells || begins + takes + times.gap < call.wait;
                            back = Some(if honest { now + 1 } else { now + call.wait + 1 });
                            if honest || begins >= call.wait {
                                says(begins, takes, rev)
                            } else {
                                Does::Nothing
                            }
                        }
                    }
                });
                let back = back.unwrap();
                let had = play.heard.iter().find(|h| h.1 == NEWS);
                let took = had.map_or(Micros::MAX, |h| h.0 - back);
                assert!(took <= times.asks_within() + LAG, "{begins} {takes} {tells} {after:?}: {took}");
                worst = worst.max(took);
            }
        }
    }
    println!("an answer of before, and then the connection is lost: {:.2} s", worst as f64 / SECOND as f64);
}

/// A discovery that needs two seconds for each answer: heard in the end, and from then on again and again.
#[test]
fn a_slow_discovery_stays_heard() {
    let mut play = Play::new(Times::default(), None, 3);
    play.run(120 * SECOND, |now, _, _| Does::Says {
        begins: 2 * SECOND,
        takes: 0,
        rev: now / SECOND,
        tells: true,
        closes: false,
    });
    let heard: Vec<Micros> = play.heard.iter().map(|h| h.0).collect();
    assert!(heard[0] < 20 * SECOND, "{heard:?}");
    let apart = heard.windows(2).map(|two| two[1] - two[0]).max().unwrap();
    assert!(apart <= 3 * SECOND, "{heard:?}");
    assert!(play.connects.len() <= 80, "{}", play.connects.len());
}

/// A list that needs two seconds from its first byte on is read, though only with patience.
#[test]
fn a_long_list_on_a_slow_link_is_read() {
    let mut play = Play::new(Times::default(), None, 3);
    play.run(60 * SECOND, |_, call, _| {
        let takes = if call.is_some_and(|c| c.index.is_some()) { 0 } else { 2 * SECOND };
        Does::Says { begins: LAG, takes, rev: 9, tells: takes > 0, closes: false }
    });
    assert!(play.heard.first().is_some_and(|h| h.0 < 20 * SECOND), "{:?}", play.heard);
}
