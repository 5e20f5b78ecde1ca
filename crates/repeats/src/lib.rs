//! Idempotency keys whose parts were sent: whether a client's repeat may be served, until when, without a clock.
//!
//! Data servers drop a repeated part of a keyed class for a window after its first attempt, and only so long. Within
//! one query the decision module keeps that limit. It knows nothing of other queries: a client that goes away in the
//! middle and asks again with the same key brings a query that is new to it. This register stands between. While a
//! query of a key is in hand, or an attempt that was given up may still run, a repeat is put off; once the window of
//! a part that may have run is over, nothing sends that part again, and a repeat has failed.
//!
//! Every part that was sent is told of ([`Repeats::sent`]) and so is its end ([`Repeats::ended`]), also after its
//! query has ended. The register holds a bounded number of keys; when it is full, keys that were answered go first,
//! and if there are none, a new key is put off rather than an old one forgotten.

use plover_model::query::Proof;
use plover_model::time::Micros;
use std::collections::{BTreeMap, BTreeSet};
use std::rc::Rc;

/// What becomes of a query that brings a key.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Verdict {
    /// It may be served.
    Serve,
    /// Another query of the key is in hand, or one of its attempts may still run: not before this moment.
    Busy(Micros),
    /// A part of it may have run, and its repeats are no longer dropped.
    Over,
}

/// What another process of this broker does with a key, in the order in which it does it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Heard {
    /// It has a query of it in hand, until then at the latest.
    Opened {
        /// When its client gives up.
        until: Micros,
    },
    /// It sends a part.
    Sent {
        /// The part's shard.
        shard: usize,
        /// When.
        at: Micros,
        /// Until when it is waited for.
        until: Micros,
    },
    /// That attempt has ended.
    Ended {
        /// The part's shard.
        shard: usize,
        /// When.
        at: Micros,
        /// What that proves.
        proof: Proof,
    },
    /// Its query has ended.
    Closed {
        /// Whether with an answer.
        answered: bool,
    },
}

/// What is known of one part under a key.
#[derive(Clone, Debug, Default)]
struct Part {
    /// When the first attempt that may have run was sent.
    first: Option<Micros>,
    /// Attempts that are out.
    out: u32,
    /// Attempts of another process of this broker that are out: they end there, or with their time.
    away: u32,
    /// Attempts that are over and may have run.
    ran: u32,
    /// Until when one that was given up may still be begun.
    until: Micros,
}

#[derive(Clone, Debug, Default)]
struct Entry {
    /// When the time of the query in hand is over, if one is in hand.
    open: Option<Micros>,
    /// The same for one that another process of this broker has in hand.
    elsewhere: Option<Micros>,
    /// Whether the last query was answered: its client has no reason to ask again.
    answered: bool,
    parts: BTreeMap<usize, Part>,
    /// Place in the order of forgetting.
    forget_at: Micros,
}

/// The register.
#[derive(Clone, Debug)]
pub struct Repeats {
    window: Micros,
    keep: Micros,
    most: usize,
    entries: BTreeMap<Rc<str>, Entry>,
    /// Entries that are not in hand, by when they may be forgotten.
    order: BTreeSet<(Micros, Rc<str>)>,
    /// Those of them that were answered.
    spare: BTreeSet<(Micros, Rc<str>)>,
}

impl Repeats {
    /// A register where repeats are dropped for `window` after the first attempt, clients come back for `keep` after
    /// that at the latest, and so many keys are held at the most.
    pub fn new(window: Micros, keep: Micros, most: usize) -> Self {
        let (entries, order, spare) = Default::default();
        Repeats { window, keep, most, entries, order, spare }
    }

    /// Takes up a query of this key with these shards, whose client waits until `give_up_at`. Unless it may be
    /// served, nothing is kept of it.
    pub fn open(
        &mut self,
        now: Micros,
        key: &Rc<str>,
        shards: impl Iterator<Item = usize>,
        give_up_at: Micros,
    ) -> Verdict {
        self.sweep(now);
        if let Some(entry) = self.entries.get(key) {
            if let Some(until) = entry.open.or(entry.elsewhere.filter(|until| *until > now)) {
                return Verdict::Busy(until);
            }
            let mut busy = None;
            for part in shards.filter_map(|s| entry.parts.get(&s)) {
                if part.out > 0 || part.until > now {
                    busy = busy.max(Some(part.until));
                } else if part.first.is_some_and(|first| now >= first + self.window) {
                    return Verdict::Over;
                }
            }
            if let Some(until) = busy {
                return Verdict::Busy(until);
            }
        } else if self.entries.len() >= self.most {
            match self.spare.pop_first().or_else(|| self.order.first().cloned()) {
                Some((at, old)) if self.entries.get(&old).is_some_and(|e| e.answered) => {
                    self.forget(at, &old)
                }
                Some((at, _)) => return Verdict::Busy(at),
                None => return Verdict::Busy(give_up_at),
            }
        }
        let entry = self.entries.entry(key.clone()).or_default();
        self.order.remove(&(entry.forget_at, key.clone()));
        self.spare.remove(&(entry.forget_at, key.clone()));
        entry.open = Some(give_up_at);
        entry.answered = false;
        Verdict::Serve
    }

    /// Whether the part may be sent at this moment: not once the window of an attempt that may have run is over.
    pub fn may_send(&self, now: Micros, key: &str, shard: usize) -> bool {
        let part = self.entries.get(key).and_then(|e| e.parts.get(&shard));
        part.is_none_or(|p| p.out == 0 && p.first.is_none_or(|first| now < first + self.window))
    }

    /// An attempt at a part goes out, and is waited for until `until`.
    pub fn sent(&mut self, now: Micros, key: &str, shard: usize, until: Micros) {
        let Some(entry) = self.entries.get_mut(key) else { return };
        let part = entry.parts.entry(shard).or_default();
        part.first.get_or_insert(now);
        part.out += 1;
        part.until = part.until.max(until);
    }

    /// An attempt has ended.
    pub fn ended(&mut self, now: Micros, key: &str, shard: usize, proof: Proof) {
        let Some(entry) = self.entries.get_mut(key) else { return };
        let Some(part) = entry.parts.get_mut(&shard) else { return };
        part.out = part.out.saturating_sub(1);
        match proof {
            Proof::NeverRan if part.out == 0 && part.away == 0 && part.ran == 0 => {
                entry.parts.remove(&shard);
            }
            Proof::NeverRan => {}
            Proof::Ran => {
                part.ran += 1;
                part.until = now;
            }
            Proof::MayRun => part.ran += 1,
        }
    }

    /// The query of this key has ended; true: with an answer, which its client takes for an end.
    pub fn close(&mut self, now: Micros, key: &Rc<str>, answered: bool) {
        let Some(entry) = self.entries.get_mut(key) else { return };
        entry.open = None;
        entry.answered = answered;
        self.file(now, key);
    }

    /// Says by when an entry that is not in hand here may be forgotten, and forgets one that says nothing.
    fn file(&mut self, now: Micros, key: &Rc<str>) {
        let Some(entry) = self.entries.get_mut(key).filter(|e| e.open.is_none()) else { return };
        self.order.remove(&(entry.forget_at, key.clone()));
        self.spare.remove(&(entry.forget_at, key.clone()));
        if entry.parts.is_empty() && entry.elsewhere.is_none() {
            self.entries.remove(key);
            return;
        }
        let last = entry.parts.values().map(|p| p.first.unwrap_or(now).max(p.until)).max();
        let last = last.max(entry.elsewhere).unwrap_or(now);
        entry.forget_at = last + self.window + self.keep;
        self.order.insert((entry.forget_at, key.clone()));
        if entry.answered && entry.elsewhere.is_none() {
            self.spare.insert((entry.forget_at, key.clone()));
        }
    }

    /// Another process of this broker has done something with a key. Such entries are kept beyond the most, up to twice as
    /// many: the other holds no more of them itself.
    pub fn hear(&mut self, now: Micros, key: &Rc<str>, heard: Heard) {
        if !self.entries.contains_key(key) && self.entries.len() >= 2 * self.most {
            return;
        }
        let entry = self.entries.entry(key.clone()).or_default();
        match heard {
            Heard::Opened { until } => {
                entry.elsewhere = Some(until);
                entry.answered = false;
            }
            Heard::Sent { shard, at, until } => {
                let part = entry.parts.entry(shard).or_default();
                part.first = Some(part.first.map_or(at, |first| first.min(at)));
                part.until = part.until.max(until);
                part.away += 1;
            }
            Heard::Ended { shard, at, proof } => {
                if let Some(part) = entry.parts.get_mut(&shard) {
                    part.away = part.away.saturating_sub(1);
                    match proof {
                        Proof::NeverRan if part.out + part.away + part.ran == 0 => {
                            _ = entry.parts.remove(&shard)
                        }
                        Proof::NeverRan => {}
                        Proof::Ran => {
                            part.ran += 1;
                            if part.out + part.away == 0 {
                                part.until = at;
                            }
                        }
                        Proof::MayRun => part.ran += 1,
                    }
                }
            }
            Heard::Closed { answered } => {
                entry.elsewhere = None;
                entry.answered |= answered;
            }
        }
        self.file(now, key);
    }

    /// All that is known, as another process of this broker has to hear it.
    pub fn tell(&self, mut to: impl FnMut(&Rc<str>, Heard)) {
        for (key, entry) in &self.entries {
            if let Some(until) = entry.open {
                to(key, Heard::Opened { until });
            }
            for (&shard, part) in &entry.parts {
                let Some(at) = part.first else { continue };
                to(key, Heard::Sent { shard, at, until: part.until });
                // One that is out is told of when it ends; the others have.
                if part.out == 0 {
                    to(key, Heard::Ended { shard, at: part.until, proof: Proof::MayRun });
                }
            }
            if entry.open.is_none() {
                to(key, Heard::Closed { answered: entry.answered });
            }
        }
    }

    /// Other times, for what comes from now on.
    pub fn retune(&mut self, window: Micros, keep: Micros) {
        self.window = window;
        self.keep = keep;
    }

    /// Keys that are held.
    pub fn held(&self) -> usize {
        self.entries.len()
    }

    fn sweep(&mut self, now: Micros) {
        while let Some((at, key)) = self.order.first().filter(|(at, _)| *at <= now).cloned() {
            self.forget_unless_out(now, at, &key);
        }
    }

    /// An attempt that is out for longer than anybody waits should not be there; it must not be forgotten all the same.
    fn forget_unless_out(&mut self, now: Micros, at: Micros, key: &Rc<str>) {
        let Some(entry) = self.entries.get_mut(key).filter(|e| e.parts.values().any(|p| p.out > 0)) else {
            return self.forget(at, key);
        };
        entry.forget_at = now + self.window;
        self.order.remove(&(at, key.clone()));
        self.order.insert((entry.forget_at, key.clone()));
        if self.spare.remove(&(at, key.clone())) {
            self.spare.insert((entry.forget_at, key.clone()));
        }
    }

    fn forget(&mut self, at: Micros, key: &Rc<str>) {
        self.order.remove(&(at, key.clone()));
        self.spare.remove(&(at, key.clone()));
        self.entries.remove(key);
    }
}

#[cfg(test)]
mod tests {
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
        r.open(now, &key(n), [0, 1].into_iter(), now + 4 * SECOND)
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
                for n in 0..4 {
                    let (was, is) = (open(&mut old.clone(), now, n), open(&mut new, now, n));
                    // No query is in hand after its time.
                    let over = matches!(was, Verdict::Busy(until) if until <= now);
                    prop_assert!(is != Verdict::Serve || was == Verdict::Serve || over, "{was:?} {is:?}");
                }
            }
        }
    }
}
