use super::*;
use proptest::prelude::*;

const SECOND: Micros = 1_000_000;
const WINDOW: Micros = 5 * SECOND;

fn register() -> KeyRegister {
    KeyRegister::new(WINDOW, WINDOW, 100)
}

fn key(n: usize) -> IdempotencyKey {
    owned(n, "acme")
}

fn owned(n: usize, owner: &str) -> IdempotencyKey {
    IdempotencyKey { text: format!("k{n}").into(), owner: owner.into() }
}

fn open(register: &mut KeyRegister, now: Micros, n: usize) -> Verdict {
    register.open(now, &key(n), [0, 1].into_iter(), now + 4 * SECOND, WINDOW)
}

#[test]
fn a_key_with_an_open_query_is_busy() {
    let mut register = register();
    assert_eq!(open(&mut register, 0, 1), Verdict::Serve);
    assert_eq!(open(&mut register, SECOND, 1), Verdict::Busy(4 * SECOND));
    assert_eq!(open(&mut register, SECOND, 2), Verdict::Serve);
}

/// The client disconnected with an attempt in flight, which may run until it is no longer awaited.
#[test]
fn a_repeat_waits_while_the_first_attempt_may_run() {
    let mut register = register();
    open(&mut register, 0, 1);
    register.attempt_sent(0, &key(1), 0, 2 * SECOND);
    register.close(SECOND, &key(1), false);
    assert_eq!(open(&mut register, SECOND, 1), Verdict::Busy(2 * SECOND));
    register.attempt_ended(SECOND, &key(1), 0, Proof::MayRun);
    assert_eq!(open(&mut register, SECOND, 1), Verdict::Busy(2 * SECOND));
    assert_eq!(open(&mut register, 2 * SECOND, 1), Verdict::Serve);
    assert!(register.may_send(WINDOW - 1, &key(1), 0) && !register.may_send(WINDOW, &key(1), 0));
    assert!(register.may_send(WINDOW, &key(1), 1), "a part that was never sent is not a repeat");
}

#[test]
fn an_attempt_that_ran_or_never_ran_does_not_delay_a_repeat_within_the_window() {
    for proof in [Proof::Ran, Proof::NeverRan] {
        let mut register = register();
        open(&mut register, 0, 1);
        register.attempt_sent(0, &key(1), 0, 2 * SECOND);
        register.attempt_ended(10, &key(1), 0, proof);
        register.close(10, &key(1), false);
        assert_eq!(open(&mut register, 20, 1), Verdict::Serve);
    }
}

#[test]
fn after_the_window_only_a_part_that_never_ran_is_sent_again() {
    for (proof, verdict) in
        [(Proof::Ran, Verdict::Over), (Proof::MayRun, Verdict::Over), (Proof::NeverRan, Verdict::Serve)]
    {
        let mut register = register();
        open(&mut register, 0, 1);
        register.attempt_sent(0, &key(1), 0, SECOND);
        register.attempt_ended(10, &key(1), 0, proof);
        register.close(10, &key(1), false);
        assert_eq!(open(&mut register, WINDOW, 1), verdict);
    }
}

/// A class whose repeats are not dropped has a window of 0: a part that may have run is never sent again.
#[test]
fn without_a_window_only_a_part_that_never_ran_is_sent_again() {
    for (proof, verdict) in
        [(Proof::Ran, Verdict::Over), (Proof::MayRun, Verdict::Over), (Proof::NeverRan, Verdict::Serve)]
    {
        let mut register = register();
        let open =
            |register: &mut KeyRegister, now| register.open(now, &key(1), [0].into_iter(), now + SECOND, 0);
        assert_eq!(open(&mut register, 0), Verdict::Serve);
        register.attempt_sent(0, &key(1), 0, 5);
        register.attempt_ended(10, &key(1), 0, proof);
        assert_eq!(register.may_send(10, &key(1), 0), proof == Proof::NeverRan);
        register.close(10, &key(1), false);
        assert_eq!(open(&mut register, 20), verdict);
    }
}

/// A key has the window of its class, or the shorter of two windows if it was used with both.
#[test]
fn a_key_has_the_window_of_its_class() {
    let mut register = register();
    for (n, window) in [(1, SECOND), (2, 9 * SECOND)] {
        register.open(0, &key(n), [0].into_iter(), SECOND, window);
        register.attempt_sent(0, &key(n), 0, 5);
        register.attempt_ended(10, &key(n), 0, Proof::MayRun);
        assert!(register.may_send(window - 1, &key(n), 0) && !register.may_send(window, &key(n), 0));
        register.close(10, &key(n), false);
    }
    let retry = register.open(2 * SECOND, &key(1), [0].into_iter(), 3 * SECOND, 9 * SECOND);
    assert_eq!(retry, Verdict::Over, "the shorter window applies");
    let retry = register.open(8 * SECOND, &key(2), [0].into_iter(), 9 * SECOND, 9 * SECOND);
    assert_eq!(retry, Verdict::Serve);
}

#[test]
fn a_hedged_attempt_is_sent_only_if_hedging_is_allowed() {
    for allowed in [false, true] {
        let mut register = register();
        register.allow_hedging(allowed);
        open(&mut register, 0, 1);
        register.attempt_sent(0, &key(1), 0, 2 * SECOND);
        assert_eq!(register.may_send(10, &key(1), 0), allowed);
        if allowed {
            register.attempt_sent(10, &key(1), 0, 3 * SECOND);
            register.attempt_ended(20, &key(1), 0, Proof::Ran);
            register.close(20, &key(1), true);
            assert_eq!(
                open(&mut register, 30, 1),
                Verdict::Busy(3 * SECOND),
                "the hedged attempt may still run"
            );
        }
    }
}

/// A full register must not evict a key whose query may still be retried.
#[test]
fn a_full_register_evicts_answered_keys_and_otherwise_postpones_new_ones() {
    let mut register = KeyRegister::new(WINDOW, WINDOW, 2);
    for n in 0..2 {
        open(&mut register, 0, n);
        register.attempt_sent(0, &key(n), 0, SECOND);
        register.attempt_ended(10, &key(n), 0, Proof::Ran);
        register.close(10, &key(n), n == 1);
    }
    assert_eq!(open(&mut register, 20, 2), Verdict::Serve);
    assert_eq!(open(&mut register, 20, 3), Verdict::Busy(SECOND.max(10) - SECOND + 10 + 2 * WINDOW));
    assert_eq!(open(&mut register, WINDOW, 0), Verdict::Over);
    assert_eq!((register.key_count(), open(&mut register, 20 + 2 * WINDOW, 3)), (2, Verdict::Serve));
}

#[derive(Clone, Debug)]
enum Step {
    Open(usize),
    Send(usize, usize),
    End(usize, usize, Proof),
    Close(usize, bool),
    Wait(Micros),
}

fn steps() -> impl Strategy<Value = Vec<Step>> {
    let proof = prop::sample::select(vec![Proof::Ran, Proof::NeverRan, Proof::MayRun]);
    let one = prop_oneof![
        (0usize..4).prop_map(Step::Open),
        (0usize..4, 0usize..2).prop_map(|(n, shard)| Step::Send(n, shard)),
        (0usize..4, 0usize..2, proof).prop_map(|(n, shard, proof)| Step::End(n, shard, proof)),
        (0usize..4, any::<bool>()).prop_map(|(n, answered)| Step::Close(n, answered)),
        (0..3 * SECOND).prop_map(Step::Wait),
    ];
    prop::collection::vec(one, 0..200)
}

proptest! {
    /// For any sequence of retries and ends of attempts: no part has two attempts in flight, and none that
    /// may have run is sent once its window is over, for as long as clients may retry.
    #[test]
    fn no_part_is_in_flight_twice_or_sent_beyond_its_window(steps in steps()) {
        let mut register = KeyRegister::new(WINDOW, WINDOW, 3);
        let mut now = 0;
        let mut is_open = [false; 4];
        // By key and shard: attempts in flight, and when the first attempt that may have run was sent.
        let mut in_flight = [[0u32; 2]; 4];
        let mut first_sent = [[None::<Micros>; 2]; 4];
        let mut may_have_run = [[0u32; 2]; 4];
        for step in steps {
            match step {
                Step::Open(n) => if open(&mut register, now, n) == Verdict::Serve {
                    prop_assert!(!is_open[n] && in_flight[n] == [0, 0]);
                    is_open[n] = true;
                },
                Step::Send(n, shard) => if is_open[n] && register.may_send(now, &key(n), shard) {
                    prop_assert_eq!(in_flight[n][shard], 0);
                    if let Some(first) = first_sent[n][shard] {
                        prop_assert!(now < first + WINDOW || now >= first + 2 * WINDOW);
                    }
                    if may_have_run[n][shard] == 0 { first_sent[n][shard] = Some(now); }
                    in_flight[n][shard] += 1;
                    register.attempt_sent(now, &key(n), shard, now + SECOND);
                },
                Step::End(n, shard, proof) => if in_flight[n][shard] > 0 {
                    in_flight[n][shard] -= 1;
                    if proof != Proof::NeverRan { may_have_run[n][shard] += 1; }
                    if may_have_run[n][shard] == 0 { first_sent[n][shard] = None; }
                    register.attempt_ended(now, &key(n), shard, proof);
                },
                Step::Close(n, answered) => if is_open[n] {
                    is_open[n] = false;
                    // A client that got its answer does not use the key again.
                    register.close(now, &key(n), false);
                    let _ = answered;
                },
                Step::Wait(time) => now += time,
            }
            prop_assert!(register.key_count() <= 3);
        }
    }
}

/// Queries and attempts of another process of this broker count like those of this process.
#[test]
fn events_of_another_process_count_like_own_ones() {
    let mut register = register();
    register.apply(0, &key(1), None, KeyEvent::Opened { until: 4 * SECOND });
    assert_eq!(open(&mut register, 10, 1), Verdict::Busy(4 * SECOND));
    register.apply(20, &key(1), None, KeyEvent::Sent { shard: 0, at: 20, until: SECOND });
    register.apply(30, &key(1), None, KeyEvent::Ended { shard: 0, at: 30, proof: Proof::Ran });
    register.apply(30, &key(1), None, KeyEvent::Closed { answered: false });
    assert!(!register.may_send(20 + WINDOW, &key(1), 0) && register.may_send(19 + WINDOW, &key(1), 0));
    assert_eq!(open(&mut register, 20 + WINDOW, 1), Verdict::Over);
    // An attempt that never ran leaves no entry.
    register.apply(40, &key(2), None, KeyEvent::Sent { shard: 0, at: 40, until: SECOND });
    assert_eq!(open(&mut register, 41, 2), Verdict::Busy(SECOND));
    register.apply(50, &key(2), None, KeyEvent::Ended { shard: 0, at: 50, proof: Proof::NeverRan });
    assert_eq!(open(&mut register, 51, 2), Verdict::Serve);
    // A query whose process died is over at its deadline.
    register.apply(60, &key(3), None, KeyEvent::Opened { until: SECOND });
    assert_eq!(
        (open(&mut register, SECOND - 1, 3), open(&mut register, SECOND, 3)),
        (Verdict::Busy(SECOND), Verdict::Serve)
    );
}

#[test]
fn keys_of_another_process_are_limited_and_expire() {
    let mut register = KeyRegister::new(WINDOW, WINDOW, 10);
    (0..50).for_each(|n| _ = register.apply(0, &key(n), None, KeyEvent::Sent { shard: 0, at: 0, until: 0 }));
    assert_eq!(register.key_count(), 20);
    open(&mut register, 3 * WINDOW, 99);
    assert_eq!(register.key_count(), 1);
}

/// `apply` reports that a key cannot be kept. Keys of answered queries are evicted before that.
#[test]
fn a_key_that_cannot_be_kept_is_reported() {
    let mut register = KeyRegister::new(WINDOW, WINDOW, 10);
    let sent = KeyEvent::Sent { shard: 0, at: 0, until: 0 };
    assert!((0..20).all(|n| register.apply(0, &key(n), None, sent)));
    assert!(!register.apply(0, &key(20), None, sent) && register.apply(0, &key(19), None, sent));
    assert!(register.apply(0, &key(3), None, KeyEvent::Closed { answered: true }));
    assert!(register.apply(0, &key(20), None, sent) && !register.apply(0, &key(21), None, sent));
    assert_eq!((register.key_count(), open(&mut register, 1, 3)), (20, Verdict::Busy(WINDOW + WINDOW)));
}

/// Guards against taking the end of an attempt that is reported after a replay for that of an earlier attempt
/// at the same part, which may have run.
#[test]
fn the_end_of_an_attempt_after_a_replay_is_not_that_of_an_earlier_one() {
    let mut old = register();
    open(&mut old, 0, 1);
    old.attempt_sent(0, &key(1), 0, SECOND);
    old.attempt_ended(SECOND, &key(1), 0, Proof::MayRun);
    old.attempt_sent(SECOND, &key(1), 0, 2 * SECOND);
    let mut new = register();
    old.replay(|key, window, event| _ = new.apply(SECOND, key, window, event));
    let (ended, closed) = (
        KeyEvent::Ended { shard: 0, at: 2 * SECOND, proof: Proof::NeverRan },
        KeyEvent::Closed { answered: false },
    );
    for event in [ended, closed] {
        assert!(new.apply(2 * SECOND, &key(1), Some(WINDOW), event));
    }
    assert_eq!(open(&mut new, WINDOW, 1), Verdict::Over, "the first attempt may have run");
}

/// The same with two attempts in flight at the replay, of which the first to end never ran.
#[test]
fn the_end_of_one_of_two_attempts_after_a_replay_is_not_that_of_both() {
    let mut old = register();
    old.allow_hedging(true);
    open(&mut old, 0, 1);
    (0..2).for_each(|_| old.attempt_sent(0, &key(1), 0, 2 * SECOND));
    let mut new = register();
    old.replay(|key, window, event| _ = new.apply(0, key, window, event));
    let ended = KeyEvent::Ended { shard: 0, at: 10, proof: Proof::NeverRan };
    for event in [ended, KeyEvent::Closed { answered: false }] {
        assert!(new.apply(10, &key(1), Some(WINDOW), event));
    }
    assert_eq!(open(&mut new, 20, 1), Verdict::Busy(2 * SECOND), "the other attempt is in flight");
}

proptest! {
    /// A register to which another one was replayed serves no query that the other one would not serve.
    #[test]
    fn a_replayed_register_is_no_less_strict(
        steps in prop::collection::vec((0usize..4, 0usize..4, 0u64..3), 1..60),
    ) {
        let mut old = register();
        let mut now = 0;
        let mut in_flight: Vec<(usize, Micros)> = Vec::new();
        // Keys are kept for the window and the retention after the last attempt was sent, some a little
        // longer.
        let mut last_sent = [0; 4];
        for (action, n, wait) in steps {
            now += wait * SECOND;
            // No attempt is awaited beyond its deadline.
            for (n, _) in in_flight.extract_if(.., |(_, until)| *until <= now) {
                old.attempt_ended(now, &key(n), 0, Proof::MayRun);
            }
            match action {
                0 => _ = open(&mut old, now, n),
                1 if old.may_send(now, &key(n), 0)
                    && old.entries.get(&key(n)).is_some_and(|e| e.open_until.is_some()) =>
                {
                    old.attempt_sent(now, &key(n), 0, now + SECOND);
                    last_sent[n] = now;
                    in_flight.push((n, now + SECOND));
                }
                2 if !in_flight.is_empty() => {
                    let (n, _) = in_flight.swap_remove(n % in_flight.len());
                    old.attempt_ended(
                        now,
                        &key(n),
                        0,
                        [Proof::Ran, Proof::MayRun, Proof::NeverRan][(wait as usize) % 3],
                    );
                }
                _ => old.close(now, &key(n), wait == 1),
            }
            let mut new = register();
            old.replay(|key, window, event| _ = new.apply(now, key, window, event));
            for (n, sent) in last_sent.into_iter().enumerate() {
                let (by_old, by_new) = (open(&mut old.clone(), now, n), open(&mut new, now, n));
                // No query is open after its deadline.
                let over = matches!(by_old, Verdict::Busy(until) if until <= now);
                let over = over || now >= sent + 2 * WINDOW;
                prop_assert!(
                    by_new != Verdict::Serve || by_old == Verdict::Serve || over,
                    "{by_old:?} {by_new:?}"
                );
            }
        }
    }
}

/// Two owners use the same text. A query of one is never taken for a repeat of the other's. But data servers
/// know only the text, and no part of one owner is sent to a shard that may take it for a part of the other.
#[test]
fn one_text_of_two_owners_is_two_keys_that_do_not_share_a_shard() {
    let (one, other) = (owned(1, "acme"), owned(1, "duff"));
    let open = |register: &mut KeyRegister, now, key: &IdempotencyKey, shard: usize| {
        register.open(now, key, [shard].into_iter(), now + SECOND, SECOND)
    };
    let mut register = register();
    assert_eq!(open(&mut register, 0, &one, 0), Verdict::Serve);
    assert_eq!(open(&mut register, 0, &other, 0), Verdict::Taken(SECOND), "its part may still be sent");
    assert_eq!(open(&mut register, 0, &other, 1), Verdict::Serve, "the other shard never got the text");
    register.close(10, &other, true);
    register.attempt_sent(10, &one, 0, 100);
    assert!(!register.may_send(20, &other, 0) && register.may_send(20, &other, 1));
    register.attempt_ended(50, &one, 0, Proof::MayRun);
    register.close(50, &one, false);
    let forgotten_at = 100 + SECOND;
    assert_eq!(open(&mut register, 60, &other, 0), Verdict::Taken(forgotten_at));
    assert_eq!(open(&mut register, forgotten_at - 1, &other, 0), Verdict::Taken(forgotten_at));
    assert_eq!(
        open(&mut register, forgotten_at, &one, 0),
        Verdict::Over,
        "the window for its own repeat is over"
    );
    assert_eq!(open(&mut register, forgotten_at, &other, 0), Verdict::Serve);
    register.attempt_sent(forgotten_at, &other, 0, forgotten_at + 5);
    assert_eq!(open(&mut register, forgotten_at + 1, &one, 0), Verdict::Over);
    // The window starts with the owner's own first attempt.
    register.attempt_ended(forgotten_at + 5, &other, 0, Proof::MayRun);
    assert!(
        register.may_send(forgotten_at + SECOND - 1, &other, 0)
            && !register.may_send(forgotten_at + SECOND, &other, 0)
    );
}

/// A part that never ran does not delay another owner with the same text.
#[test]
fn a_part_that_never_ran_does_not_delay_another_owner() {
    let mut register = register();
    open(&mut register, 0, 1);
    register.attempt_sent(0, &key(1), 0, SECOND);
    register.attempt_ended(10, &key(1), 0, Proof::NeverRan);
    register.close(10, &key(1), false);
    assert_eq!(register.open(10, &owned(1, "duff"), [0, 1].into_iter(), SECOND, WINDOW), Verdict::Serve);
}

/// A key has the window under which another process sent its part, even if this process has a longer one. A
/// key without an owner may belong to any.
#[test]
fn events_of_another_process_carry_owner_and_window() {
    let mut register = register();
    let sent = KeyEvent::Sent { shard: 0, at: 0, until: 5 };
    register.apply(0, &key(1), Some(SECOND), sent);
    register.apply(0, &owned(2, ""), None, sent);
    for n in [1, 2] {
        for event in
            [KeyEvent::Ended { shard: 0, at: 5, proof: Proof::MayRun }, KeyEvent::Closed { answered: false }]
        {
            let (key, window) = if n == 1 { (key(1), Some(SECOND)) } else { (owned(2, ""), None) };
            register.apply(5, &key, window, event);
        }
    }
    assert_eq!(open(&mut register, SECOND, 1), Verdict::Over, "data servers drop repeats for one second");
    assert_eq!(
        open(&mut register, SECOND, 2),
        Verdict::Serve,
        "data servers drop repeats for the default window"
    );
    assert!(register.may_send(WINDOW - 1, &key(2), 0) && !register.may_send(WINDOW, &key(2), 0));
    register.close(SECOND, &key(2), false);
    assert_eq!(open(&mut register, WINDOW, 2), Verdict::Over);
}

proptest! {
    /// Several owners use the same text. In the model, data servers remember a text at a shard for the window
    /// after its last attempt may have run. No part is sent that they would drop as a part of another owner.
    #[test]
    fn no_part_is_sent_that_data_servers_take_for_another_owners(
        steps in prop::collection::vec((0usize..4, 0usize..3, 0usize..2, 0u64..4), 1..120),
    ) {
        let owners = [owned(1, "acme"), owned(1, "duff"), owned(1, "umbra")];
        let mut register = register();
        let mut now = 0;
        let mut is_open = [false; 3];
        let mut in_flight: Vec<(usize, usize, Micros)> = Vec::new();
        // By shard and owner: until when data servers remember the text.
        let mut remembered = [[0; 3]; 2];
        for (action, n, shard, wait) in steps {
            now += wait * SECOND / 2;
            match action {
                0 if !is_open[n] => {
                    let verdict = register.open(now, &owners[n], [shard].into_iter(), now + SECOND, WINDOW);
                    is_open[n] = verdict == Verdict::Serve;
                    let others = (0..3).filter(|m| *m != n).any(|m| remembered[shard][m] > now);
                    prop_assert!(!others || verdict != Verdict::Serve);
                }
                1 if is_open[n] && register.may_send(now, &owners[n], shard) => {
                    let others: Vec<_> = (0..3).filter(|m| *m != n).map(|m| remembered[shard][m]).collect();
                    prop_assert!(others.iter().all(|until| *until <= now), "{:?} at {}", others, now);
                    register.attempt_sent(now, &owners[n], shard, now + SECOND);
                    in_flight.push((n, shard, now + SECOND));
                    remembered[shard][n] = now + SECOND + WINDOW;
                }
                2 if !in_flight.is_empty() => {
                    let (n, shard, _) = in_flight.swap_remove(n % in_flight.len());
                    register.attempt_ended(now, &owners[n], shard, Proof::MayRun);
                }
                3 if is_open[n] => {
                    is_open[n] = false;
                    register.close(now, &owners[n], false);
                }
                _ => {}
            }
        }
    }
}
