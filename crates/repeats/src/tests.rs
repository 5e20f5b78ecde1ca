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

fn open(r: &mut KeyRegister, now: Micros, n: usize) -> Verdict {
    r.open(now, &key(n), [0, 1].into_iter(), now + 4 * SECOND, WINDOW)
}

#[test]
fn a_key_in_hand_is_not_taken_up_twice() {
    let mut r = register();
    assert_eq!(open(&mut r, 0, 1), Verdict::Serve);
    assert_eq!(open(&mut r, SECOND, 1), Verdict::Busy(4 * SECOND));
    assert_eq!(open(&mut r, SECOND, 2), Verdict::Serve);
}

/// The client went away with an attempt out: that may run until the broker had told it to.
#[test]
fn a_repeat_waits_while_the_first_attempt_may_run() {
    let mut r = register();
    open(&mut r, 0, 1);
    r.attempt_sent(0, &key(1), 0, 2 * SECOND);
    r.close(SECOND, &key(1), false);
    assert_eq!(open(&mut r, SECOND, 1), Verdict::Busy(2 * SECOND));
    r.attempt_ended(SECOND, &key(1), 0, Proof::MayRun);
    assert_eq!(open(&mut r, SECOND, 1), Verdict::Busy(2 * SECOND));
    assert_eq!(open(&mut r, 2 * SECOND, 1), Verdict::Serve);
    assert!(r.may_send(WINDOW - 1, &key(1), 0) && !r.may_send(WINDOW, &key(1), 0));
    assert!(r.may_send(WINDOW, &key(1), 1), "a part that was never sent is no repeat");
}

#[test]
fn what_ran_or_never_ran_holds_up_no_repeat_within_the_window() {
    for proof in [Proof::Ran, Proof::NeverRan] {
        let mut r = register();
        open(&mut r, 0, 1);
        r.attempt_sent(0, &key(1), 0, 2 * SECOND);
        r.attempt_ended(10, &key(1), 0, proof);
        r.close(10, &key(1), false);
        assert_eq!(open(&mut r, 20, 1), Verdict::Serve);
    }
}

#[test]
fn after_the_window_only_what_never_ran_is_sent_again() {
    for (proof, verdict) in
        [(Proof::Ran, Verdict::Over), (Proof::MayRun, Verdict::Over), (Proof::NeverRan, Verdict::Serve)]
    {
        let mut r = register();
        open(&mut r, 0, 1);
        r.attempt_sent(0, &key(1), 0, SECOND);
        r.attempt_ended(10, &key(1), 0, proof);
        r.close(10, &key(1), false);
        assert_eq!(open(&mut r, WINDOW, 1), verdict);
    }
}

/// A class whose repeats nobody drops has no window: what may have run is not sent again, within seconds neither.
#[test]
fn without_a_window_only_what_never_ran_is_sent_again() {
    for (proof, verdict) in
        [(Proof::Ran, Verdict::Over), (Proof::MayRun, Verdict::Over), (Proof::NeverRan, Verdict::Serve)]
    {
        let mut r = register();
        let open = |r: &mut KeyRegister, now| r.open(now, &key(1), [0].into_iter(), now + SECOND, 0);
        assert_eq!(open(&mut r, 0), Verdict::Serve);
        r.attempt_sent(0, &key(1), 0, 5);
        r.attempt_ended(10, &key(1), 0, proof);
        assert_eq!(r.may_send(10, &key(1), 0), proof == Proof::NeverRan);
        r.close(10, &key(1), false);
        assert_eq!(open(&mut r, 20), verdict);
    }
}

/// Two classes with windows of their own: each key has that of its class, and the shorter where it was asked in both.
#[test]
fn a_key_has_the_window_of_its_class() {
    let mut r = register();
    for (n, window) in [(1, SECOND), (2, 9 * SECOND)] {
        r.open(0, &key(n), [0].into_iter(), SECOND, window);
        r.attempt_sent(0, &key(n), 0, 5);
        r.attempt_ended(10, &key(n), 0, Proof::MayRun);
        assert!(r.may_send(window - 1, &key(n), 0) && !r.may_send(window, &key(n), 0));
        r.close(10, &key(n), false);
    }
    let again = r.open(2 * SECOND, &key(1), [0].into_iter(), 3 * SECOND, 9 * SECOND);
    assert_eq!(again, Verdict::Over, "the shorter one counts");
    let again = r.open(8 * SECOND, &key(2), [0].into_iter(), 9 * SECOND, 9 * SECOND);
    assert_eq!(again, Verdict::Serve);
}

#[test]
fn a_second_copy_goes_only_where_it_is_allowed() {
    for allowed in [false, true] {
        let mut r = register();
        r.allow_hedging(allowed);
        open(&mut r, 0, 1);
        r.attempt_sent(0, &key(1), 0, 2 * SECOND);
        assert_eq!(r.may_send(10, &key(1), 0), allowed);
        if allowed {
            r.attempt_sent(10, &key(1), 0, 3 * SECOND);
            r.attempt_ended(20, &key(1), 0, Proof::Ran);
            r.close(20, &key(1), true);
            assert_eq!(open(&mut r, 30, 1), Verdict::Busy(3 * SECOND), "the copy may run still");
        }
    }
}

/// A full register must not let a repeat through by forgetting the key that it repeats.
#[test]
fn a_full_register_forgets_what_was_answered_and_else_puts_off() {
    let mut r = KeyRegister::new(WINDOW, WINDOW, 2);
    for n in 0..2 {
        open(&mut r, 0, n);
        r.attempt_sent(0, &key(n), 0, SECOND);
        r.attempt_ended(10, &key(n), 0, Proof::Ran);
        r.close(10, &key(n), n == 1);
    }
    assert_eq!(open(&mut r, 20, 2), Verdict::Serve);
    assert_eq!(open(&mut r, 20, 3), Verdict::Busy(SECOND.max(10) - SECOND + 10 + 2 * WINDOW));
    assert_eq!(open(&mut r, WINDOW, 0), Verdict::Over);
    assert_eq!((r.key_count(), open(&mut r, 20 + 2 * WINDOW, 3)), (2, Verdict::Serve));
}

#[derive(Clone, Debug)]
enum Move {
    Open(usize),
    Send(usize, usize),
    End(usize, usize, Proof),
    Close(usize, bool),
    Wait(Micros),
}

fn moves() -> impl Strategy<Value = Vec<Move>> {
    let proof = prop::sample::select(vec![Proof::Ran, Proof::NeverRan, Proof::MayRun]);
    let one = prop_oneof![
        (0usize..4).prop_map(Move::Open),
        (0usize..4, 0usize..2).prop_map(|(k, s)| Move::Send(k, s)),
        (0usize..4, 0usize..2, proof).prop_map(|(k, s, p)| Move::End(k, s, p)),
        (0usize..4, any::<bool>()).prop_map(|(k, a)| Move::Close(k, a)),
        (0..3 * SECOND).prop_map(Move::Wait),
    ];
    prop::collection::vec(one, 0..200)
}

proptest! {
    /// Clients that repeat keys at will, attempts that end in any way and order: no part is out twice, and none
    /// that may have run is sent once its window is over, for as long as clients come back.
    #[test]
    fn no_part_is_sent_twice_at_once_or_beyond_its_window(moves in moves()) {
        let mut r = KeyRegister::new(WINDOW, WINDOW, 3);
        let mut now = 0;
        let mut in_hand = [false; 4];
        // Of each part: attempts out, and when the first that may have run was sent.
        let mut out = [[0u32; 2]; 4];
        let mut first = [[None::<Micros>; 2]; 4];
        let mut ran = [[0u32; 2]; 4];
        for m in moves {
            match m {
                Move::Open(k) => if open(&mut r, now, k) == Verdict::Serve {
                    prop_assert!(!in_hand[k] && out[k] == [0, 0]);
                    in_hand[k] = true;
                },
                Move::Send(k, s) => if in_hand[k] && r.may_send(now, &key(k), s) {
                    prop_assert_eq!(out[k][s], 0);
                    if let Some(first) = first[k][s] { prop_assert!(now < first + WINDOW || now >= first + 2 * WINDOW); }
                    if ran[k][s] == 0 { first[k][s] = Some(now); }
                    out[k][s] += 1;
                    r.attempt_sent(now, &key(k), s, now + SECOND);
                },
                Move::End(k, s, proof) => if out[k][s] > 0 {
                    out[k][s] -= 1;
                    if proof != Proof::NeverRan { ran[k][s] += 1; }
                    if ran[k][s] == 0 { first[k][s] = None; }
                    r.attempt_ended(now, &key(k), s, proof);
                },
                Move::Close(k, answered) => if in_hand[k] {
                    in_hand[k] = false;
                    // A client that has its answer asks nothing more of that key.
                    r.close(now, &key(k), false);
                    let _ = answered;
                },
                Move::Wait(time) => now += time,
            }
            prop_assert!(r.key_count() <= 3);
        }
    }
}

/// What another process of the broker has in hand, or has sent, counts here as if it were our own.
#[test]
fn what_another_process_does_with_a_key_counts_here() {
    let mut r = register();
    r.apply(0, &key(1), None, KeyEvent::Opened { until: 4 * SECOND });
    assert_eq!(open(&mut r, 10, 1), Verdict::Busy(4 * SECOND));
    r.apply(20, &key(1), None, KeyEvent::Sent { shard: 0, at: 20, until: SECOND });
    r.apply(30, &key(1), None, KeyEvent::Ended { shard: 0, at: 30, proof: Proof::Ran });
    r.apply(30, &key(1), None, KeyEvent::Closed { answered: false });
    assert!(!r.may_send(20 + WINDOW, &key(1), 0) && r.may_send(19 + WINDOW, &key(1), 0));
    assert_eq!(open(&mut r, 20 + WINDOW, 1), Verdict::Over);
    // One that never ran leaves nothing behind.
    r.apply(40, &key(2), None, KeyEvent::Sent { shard: 0, at: 40, until: SECOND });
    assert_eq!(open(&mut r, 41, 2), Verdict::Busy(SECOND));
    r.apply(50, &key(2), None, KeyEvent::Ended { shard: 0, at: 50, proof: Proof::NeverRan });
    assert_eq!(open(&mut r, 51, 2), Verdict::Serve);
    // One whose process died in the middle is over with its time.
    r.apply(60, &key(3), None, KeyEvent::Opened { until: SECOND });
    assert_eq!(
        (open(&mut r, SECOND - 1, 3), open(&mut r, SECOND, 3)),
        (Verdict::Busy(SECOND), Verdict::Serve)
    );
}

#[test]
fn what_another_process_tells_is_bounded_and_forgotten_in_time() {
    let mut r = KeyRegister::new(WINDOW, WINDOW, 10);
    (0..50).for_each(|n| _ = r.apply(0, &key(n), None, KeyEvent::Sent { shard: 0, at: 0, until: 0 }));
    assert_eq!(r.key_count(), 20);
    open(&mut r, 3 * WINDOW, 99);
    assert_eq!(r.key_count(), 1);
}

/// Whoever is told that a key cannot be kept can say so; keys that were answered make room before that.
#[test]
fn a_key_that_is_not_kept_is_told_of() {
    let mut r = KeyRegister::new(WINDOW, WINDOW, 10);
    let sent = KeyEvent::Sent { shard: 0, at: 0, until: 0 };
    assert!((0..20).all(|n| r.apply(0, &key(n), None, sent)));
    assert!(!r.apply(0, &key(20), None, sent) && r.apply(0, &key(19), None, sent));
    assert!(r.apply(0, &key(3), None, KeyEvent::Closed { answered: true }));
    assert!(r.apply(0, &key(20), None, sent) && !r.apply(0, &key(21), None, sent));
    assert_eq!((r.key_count(), open(&mut r, 1, 3)), (20, Verdict::Busy(WINDOW + WINDOW)));
}

proptest! {
    /// A register that was told all that another knows is never looser than that.
    #[test]
    fn what_is_told_is_known(moves in prop::collection::vec((0usize..4, 0usize..4, 0u64..3), 1..60)) {
        let mut old = register();
        let mut now = 0;
        let mut out: Vec<(usize, Micros)> = Vec::new();
        // Keys are kept for the window and as long as clients come back, from the last sending on; some a little longer.
        let mut last = [0; 4];
        for (what, n, wait) in moves {
            now += wait * SECOND;
            // No attempt is waited for past its time.
            for (n, _) in out.extract_if(.., |(_, until)| *until <= now) {
                old.attempt_ended(now, &key(n), 0, Proof::MayRun);
            }
            match what {
                0 => _ = open(&mut old, now, n),
                1 if old.may_send(now, &key(n), 0) && old.entries.get(&key(n)).is_some_and(|e| e.open.is_some()) => {
                    old.attempt_sent(now, &key(n), 0, now + SECOND);
                    last[n] = now;
                    out.push((n, now + SECOND));
                }
                2 if !out.is_empty() => {
                    let (n, _) = out.swap_remove(n % out.len());
                    old.attempt_ended(now, &key(n), 0, [Proof::Ran, Proof::MayRun, Proof::NeverRan][(wait as usize) % 3]);
                }
                _ => old.close(now, &key(n), wait == 1),
            }
            let mut new = register();
            old.replay(|key, window, heard| _ = new.apply(now, key, window, heard));
            for (n, sent) in last.into_iter().enumerate() {
                let (was, is) = (open(&mut old.clone(), now, n), open(&mut new, now, n));
                // No query is in hand after its time.
                let over = matches!(was, Verdict::Busy(until) if until <= now);
                let over = over || now >= sent + 2 * WINDOW;
                prop_assert!(is != Verdict::Serve || was == Verdict::Serve || over, "{was:?} {is:?}");
            }
        }
    }
}

/// Two owners who chose one text. Neither is refused as the other's repeat once that is over, nor failed; but data servers
/// know the text alone, and nothing of the one goes to a shard where they may take it for the other's.
#[test]
fn one_text_of_two_owners_is_two_keys_at_shards_that_do_not_meet() {
    let (one, other) = (owned(1, "acme"), owned(1, "duff"));
    let ask = |r: &mut KeyRegister, now, key: &IdempotencyKey, shard: usize| {
        r.open(now, key, [shard].into_iter(), now + SECOND, SECOND)
    };
    let mut r = register();
    assert_eq!(ask(&mut r, 0, &one, 0), Verdict::Serve);
    assert_eq!(ask(&mut r, 0, &other, 0), Verdict::Taken(SECOND), "it may go out yet");
    assert_eq!(ask(&mut r, 0, &other, 1), Verdict::Serve, "elsewhere nobody can mix them up");
    r.close(10, &other, true);
    r.attempt_sent(10, &one, 0, 100);
    assert!(!r.may_send(20, &other, 0) && r.may_send(20, &other, 1));
    r.attempt_ended(50, &one, 0, Proof::MayRun);
    r.close(50, &one, false);
    let forgotten = 100 + SECOND;
    assert_eq!(ask(&mut r, 60, &other, 0), Verdict::Taken(forgotten));
    assert_eq!(ask(&mut r, forgotten - 1, &other, 0), Verdict::Taken(forgotten));
    assert_eq!(ask(&mut r, forgotten, &one, 0), Verdict::Over, "its own repeat comes too late");
    assert_eq!(ask(&mut r, forgotten, &other, 0), Verdict::Serve);
    r.attempt_sent(forgotten, &other, 0, forgotten + 5);
    assert_eq!(ask(&mut r, forgotten + 1, &one, 0), Verdict::Over);
    // Its window counts from its own first attempt.
    r.attempt_ended(forgotten + 5, &other, 0, Proof::MayRun);
    assert!(r.may_send(forgotten + SECOND - 1, &other, 0) && !r.may_send(forgotten + SECOND, &other, 0));
}

/// What never ran is in nobody's way.
#[test]
fn a_part_that_never_ran_is_not_remembered_against_another_owner() {
    let mut r = register();
    open(&mut r, 0, 1);
    r.attempt_sent(0, &key(1), 0, SECOND);
    r.attempt_ended(10, &key(1), 0, Proof::NeverRan);
    r.close(10, &key(1), false);
    assert_eq!(r.open(10, &owned(1, "duff"), [0, 1].into_iter(), SECOND, WINDOW), Verdict::Serve);
}

/// A window that is longer here than where the part was sent does not hold for it; one of whom it is not told whose it is
/// may be anybody's.
#[test]
fn another_process_tells_whose_a_key_is_and_under_which_window() {
    let mut r = register();
    let sent = KeyEvent::Sent { shard: 0, at: 0, until: 5 };
    r.apply(0, &key(1), Some(SECOND), sent);
    r.apply(0, &owned(2, ""), None, sent);
    for n in [1, 2] {
        for heard in
            [KeyEvent::Ended { shard: 0, at: 5, proof: Proof::MayRun }, KeyEvent::Closed { answered: false }]
        {
            let (key, window) = if n == 1 { (key(1), Some(SECOND)) } else { (owned(2, ""), None) };
            r.apply(5, &key, window, heard);
        }
    }
    assert_eq!(open(&mut r, SECOND, 1), Verdict::Over, "data servers dropped it for a second");
    assert_eq!(open(&mut r, SECOND, 2), Verdict::Serve, "they drop it for as long as here");
    assert!(r.may_send(WINDOW - 1, &key(2), 0) && !r.may_send(WINDOW, &key(2), 0));
    r.close(SECOND, &key(2), false);
    assert_eq!(open(&mut r, WINDOW, 2), Verdict::Over);
}

proptest! {
    /// Owners with one text, against a model in which each key is its owner's own and data servers remember a text at a
    /// shard for the window after whatever they heard last of it: nothing is sent that they would drop as another's.
    #[test]
    fn nothing_is_sent_that_data_servers_take_for_anothers(
        moves in prop::collection::vec((0usize..4, 0usize..3, 0usize..2, 0u64..4), 1..120),
    ) {
        let owners = [owned(1, "acme"), owned(1, "duff"), owned(1, "umbra")];
        let mut r = register();
        let mut now = 0;
        let mut in_hand = [false; 3];
        let mut out: Vec<(usize, usize, Micros)> = Vec::new();
        // By shard and owner: until when its parts are remembered.
        let mut remembered = [[0; 3]; 2];
        for (what, n, shard, wait) in moves {
            now += wait * SECOND / 2;
            match what {
                0 if !in_hand[n] => {
                    let verdict = r.open(now, &owners[n], [shard].into_iter(), now + SECOND, WINDOW);
                    in_hand[n] = verdict == Verdict::Serve;
                    let others = (0..3).filter(|m| *m != n).any(|m| remembered[shard][m] > now);
                    prop_assert!(!others || verdict != Verdict::Serve);
                }
                1 if in_hand[n] && r.may_send(now, &owners[n], shard) => {
                    let others: Vec<_> = (0..3).filter(|m| *m != n).map(|m| remembered[shard][m]).collect();
                    prop_assert!(others.iter().all(|until| *until <= now), "{:?} at {}", others, now);
                    r.attempt_sent(now, &owners[n], shard, now + SECOND);
                    out.push((n, shard, now + SECOND));
                    remembered[shard][n] = now + SECOND + WINDOW;
                }
                2 if !out.is_empty() => {
                    let (n, shard, _) = out.swap_remove(n % out.len());
                    r.attempt_ended(now, &owners[n], shard, Proof::MayRun);
                }
                3 if in_hand[n] => {
                    in_hand[n] = false;
                    r.close(now, &owners[n], false);
                }
                _ => {}
            }
        }
    }
}
