use super::*;
use proptest::prelude::*;

const SECOND: Micros = 1_000_000;
const WINDOW: Micros = 5 * SECOND;

fn register() -> Repeats {
    Repeats::new(WINDOW, WINDOW, 100)
}

fn key(n: usize) -> Rc<str> {
    format!("k{n}").into()
}

fn open(r: &mut Repeats, now: Micros, n: usize) -> Verdict {
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
    r.sent(0, "k1", 0, 2 * SECOND);
    r.close(SECOND, &key(1), false);
    assert_eq!(open(&mut r, SECOND, 1), Verdict::Busy(2 * SECOND));
    r.ended(SECOND, "k1", 0, Proof::MayRun);
    assert_eq!(open(&mut r, SECOND, 1), Verdict::Busy(2 * SECOND));
    assert_eq!(open(&mut r, 2 * SECOND, 1), Verdict::Serve);
    assert!(r.may_send(WINDOW - 1, "k1", 0) && !r.may_send(WINDOW, "k1", 0));
    assert!(r.may_send(WINDOW, "k1", 1), "a part that was never sent is no repeat");
}

#[test]
fn what_ran_or_never_ran_holds_up_no_repeat_within_the_window() {
    for proof in [Proof::Ran, Proof::NeverRan] {
        let mut r = register();
        open(&mut r, 0, 1);
        r.sent(0, "k1", 0, 2 * SECOND);
        r.ended(10, "k1", 0, proof);
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
        r.sent(0, "k1", 0, SECOND);
        r.ended(10, "k1", 0, proof);
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
        let open = |r: &mut Repeats, now| r.open(now, &key(1), [0].into_iter(), now + SECOND, 0);
        assert_eq!(open(&mut r, 0), Verdict::Serve);
        r.sent(0, "k1", 0, 5);
        r.ended(10, "k1", 0, proof);
        assert_eq!(r.may_send(10, "k1", 0), proof == Proof::NeverRan);
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
        r.sent(0, &key(n), 0, 5);
        r.ended(10, &key(n), 0, Proof::MayRun);
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
        r.allow_copies(allowed);
        open(&mut r, 0, 1);
        r.sent(0, "k1", 0, 2 * SECOND);
        assert_eq!(r.may_send(10, "k1", 0), allowed);
        if allowed {
            r.sent(10, "k1", 0, 3 * SECOND);
            r.ended(20, "k1", 0, Proof::Ran);
            r.close(20, &key(1), true);
            assert_eq!(open(&mut r, 30, 1), Verdict::Busy(3 * SECOND), "the copy may run still");
        }
    }
}

/// A full register must not let a repeat through by forgetting the key that it repeats.
#[test]
fn a_full_register_forgets_what_was_answered_and_else_puts_off() {
    let mut r = Repeats::new(WINDOW, WINDOW, 2);
    for n in 0..2 {
        open(&mut r, 0, n);
        r.sent(0, &key(n), 0, SECOND);
        r.ended(10, &key(n), 0, Proof::Ran);
        r.close(10, &key(n), n == 1);
    }
    assert_eq!(open(&mut r, 20, 2), Verdict::Serve);
    assert_eq!(open(&mut r, 20, 3), Verdict::Busy(SECOND.max(10) - SECOND + 10 + 2 * WINDOW));
    assert_eq!(open(&mut r, WINDOW, 0), Verdict::Over);
    assert_eq!((r.held(), open(&mut r, 20 + 2 * WINDOW, 3)), (2, Verdict::Serve));
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
        let mut r = Repeats::new(WINDOW, WINDOW, 3);
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
                    r.sent(now, &key(k), s, now + SECOND);
                },
                Move::End(k, s, proof) => if out[k][s] > 0 {
                    out[k][s] -= 1;
                    if proof != Proof::NeverRan { ran[k][s] += 1; }
                    if ran[k][s] == 0 { first[k][s] = None; }
                    r.ended(now, &key(k), s, proof);
                },
                Move::Close(k, answered) => if in_hand[k] {
                    in_hand[k] = false;
                    // A client that has its answer asks nothing more of that key.
                    r.close(now, &key(k), false);
                    let _ = answered;
                },
                Move::Wait(time) => now += time,
            }
            prop_assert!(r.held() <= 3);
        }
    }
}

/// What another process of the broker has in hand, or has sent, counts here as if it were our own.
#[test]
fn what_another_process_does_with_a_key_counts_here() {
    let mut r = register();
    r.hear(0, &key(1), Heard::Opened { until: 4 * SECOND });
    assert_eq!(open(&mut r, 10, 1), Verdict::Busy(4 * SECOND));
    r.hear(20, &key(1), Heard::Sent { shard: 0, at: 20, until: SECOND });
    r.hear(30, &key(1), Heard::Ended { shard: 0, at: 30, proof: Proof::Ran });
    r.hear(30, &key(1), Heard::Closed { answered: false });
    assert!(!r.may_send(20 + WINDOW, &key(1), 0) && r.may_send(19 + WINDOW, &key(1), 0));
    assert_eq!(open(&mut r, 20 + WINDOW, 1), Verdict::Over);
    // One that never ran leaves nothing behind.
    r.hear(40, &key(2), Heard::Sent { shard: 0, at: 40, until: SECOND });
    assert_eq!(open(&mut r, 41, 2), Verdict::Busy(SECOND));
    r.hear(50, &key(2), Heard::Ended { shard: 0, at: 50, proof: Proof::NeverRan });
    assert_eq!(open(&mut r, 51, 2), Verdict::Serve);
    // One whose process died in the middle is over with its time.
    r.hear(60, &key(3), Heard::Opened { until: SECOND });
    assert_eq!(
        (open(&mut r, SECOND - 1, 3), open(&mut r, SECOND, 3)),
        (Verdict::Busy(SECOND), Verdict::Serve)
    );
}

#[test]
fn what_another_process_tells_is_bounded_and_forgotten_in_time() {
    let mut r = Repeats::new(WINDOW, WINDOW, 10);
    (0..50).for_each(|n| r.hear(0, &key(n), Heard::Sent { shard: 0, at: 0, until: 0 }));
    assert_eq!(r.held(), 20);
    open(&mut r, 3 * WINDOW, 99);
    assert_eq!(r.held(), 1);
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
                old.ended(now, &key(n), 0, Proof::MayRun);
            }
            match what {
                0 => _ = open(&mut old, now, n),
                1 if old.may_send(now, &key(n), 0) && old.entries.get(&key(n)).is_some_and(|e| e.open.is_some()) => {
                    old.sent(now, &key(n), 0, now + SECOND);
                    last[n] = now;
                    out.push((n, now + SECOND));
                }
                2 if !out.is_empty() => {
                    let (n, _) = out.swap_remove(n % out.len());
                    old.ended(now, &key(n), 0, [Proof::Ran, Proof::MayRun, Proof::NeverRan][(wait as usize) % 3]);
                }
                _ => old.close(now, &key(n), wait == 1),
            }
            let mut new = register();
            old.tell(|key, heard| new.hear(now, key, heard));
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
