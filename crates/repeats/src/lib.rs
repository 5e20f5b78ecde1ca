//! Idempotency keys whose parts were sent: whether a client's repeat may be served, until when, without a clock.
//!
//! Data servers drop a repeated part of a keyed class for a window after its first attempt, and only so long. Within
//! one query the decision module keeps that limit. It knows nothing of other queries: a client that goes away in the
//! middle and asks again with the same key brings a query that is new to it. This register stands between. While a
//! query of a key is in hand, or an attempt that was given up may still run, a repeat is put off; once the window of
//! a part that may have run is over, nothing sends that part again, and a repeat has failed.
//!
//! A key is its owner's: of a tenant, in a class. Data servers know its text alone, and drop by that, so that two owners
//! who chose one text get in each other's way. Neither is taken for the other's repeat; but a part of the one goes to no
//! shard where the other's may have run, or may yet, until data servers have forgotten that, since they would drop it, or
//! answer it with what the other wrote.
//!
//! Every part that was sent is told of ([`KeyRegister::attempt_sent`]) and so is its end ([`KeyRegister::attempt_ended`]), also after its
//! query has ended. The register holds a bounded number of keys; when it is full, keys that were answered go first,
//! and if there are none, a new key is put off rather than an old one forgotten.

use plover_model::query::Proof;
use plover_model::time::Micros;
use std::collections::{BTreeMap, BTreeSet};
use std::rc::Rc;

/// A key and whose it is.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct IdempotencyKey {
    /// As its client words it, and data servers hear it.
    pub text: Rc<str>,
    /// The tenant and the class, in whatever words; empty: not known, it may be anybody's.
    pub owner: Rc<str>,
}

impl IdempotencyKey {
    /// Whether two keys of one text may be one.
    fn may_be(&self, other: &IdempotencyKey) -> bool {
        self.owner == other.owner || self.owner.is_empty() || other.owner.is_empty()
    }
}

/// What becomes of a query that brings a key.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Verdict {
    /// It may be served.
    Serve,
    /// Another query of the key is in hand, or one of its attempts may still run: not before this moment.
    Busy(Micros),
    /// Another owner's key has the same text, and data servers may take a part for that one's: not before this moment.
    Taken(Micros),
    /// A part of it may have run, and its repeats are no longer dropped.
    Over,
}

/// What another process of this broker does with a key, in the order in which it does it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum KeyEvent {
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
    /// The shards of the query in hand here.
    shards: Vec<usize>,
    /// Whether the last query was answered: its client has no reason to ask again.
    answered: bool,
    parts: BTreeMap<usize, Part>,
    /// The shortest window that it was asked under, as far as that is known.
    window: Option<Micros>,
    /// Place in the order of forgetting.
    forget_at: Micros,
}

impl Entry {
    /// Until when data servers may take this part under another owner's key for one of this.
    fn holds(&self, shard: usize, usual: Micros) -> Option<Micros> {
        let open = self.open.filter(|_| self.shards.contains(&shard)).max(self.elsewhere);
        let window = self.window.unwrap_or(usual);
        let ran = self.parts.get(&shard).map(|p| p.first.unwrap_or(0).max(p.until) + window);
        open.max(ran)
    }

    /// It was asked under a window.
    fn narrow(&mut self, window: Option<Micros>) {
        self.window = self.window.into_iter().chain(window).min();
    }
}

/// The register.
#[derive(Clone, Debug)]
pub struct KeyRegister {
    window: Micros,
    keep: Micros,
    most: usize,
    /// Whether a part may have two attempts out at once.
    copies: bool,
    entries: BTreeMap<IdempotencyKey, Entry>,
    /// Entries that are not in hand, by when they may be forgotten.
    order: BTreeSet<(Micros, IdempotencyKey)>,
    /// Those of them that were answered.
    spare: BTreeSet<(Micros, IdempotencyKey)>,
}

impl KeyRegister {
    /// A register where repeats are dropped for `window` after the first attempt, clients come back for `keep` after
    /// that at the latest, and so many keys are held at the most. The window is for what only others have told of; each
    /// query brings that of its class. A part has one attempt out at a time.
    pub fn new(window: Micros, keep: Micros, most: usize) -> Self {
        let (entries, order, spare) = Default::default();
        KeyRegister { window, keep, most, copies: false, entries, order, spare }
    }

    /// Whether a part may have a second attempt out beside the first, from now on.
    pub fn allow_hedging(&mut self, allow: bool) {
        self.copies = allow;
    }

    /// Takes up a query of this key with these shards, whose client waits until `give_up_at`, in a class whose repeats are
    /// dropped for `window`; 0: never, so that what may have run is not sent again at all. Unless it may be served,
    /// nothing is kept of it.
    pub fn open(
        &mut self,
        now: Micros,
        key: &IdempotencyKey,
        shards: impl Iterator<Item = usize> + Clone,
        give_up_at: Micros,
        window: Micros,
    ) -> Verdict {
        self.sweep(now);
        let mut window = window;
        let (mut busy, mut taken) = (None, None);
        for (other, entry) in self.alike(key) {
            if !key.may_be(other) {
                taken = taken.max(shards.clone().filter_map(|s| entry.holds(s, self.window)).max());
                continue;
            }
            window = entry.window.map_or(window, |w| w.min(window));
            if let Some(until) = entry.open.or(entry.elsewhere.filter(|until| *until > now)) {
                return Verdict::Busy(until);
            }
            for part in shards.clone().filter_map(|s| entry.parts.get(&s)) {
                if part.out > 0 || part.until > now {
                    busy = busy.max(Some(part.until));
                } else if part.first.is_some_and(|first| now >= first + window) {
                    return Verdict::Over;
                }
            }
        }
        if let Some(until) = busy {
            return Verdict::Busy(until);
        }
        if let Some(until) = taken.filter(|until| *until > now) {
            return Verdict::Taken(until);
        }
        if !self.entries.contains_key(key) && self.entries.len() >= self.most {
            match self.spare.pop_first().or_else(|| self.order.first().cloned()) {
                Some((at, old)) if self.entries.get(&old).is_some_and(|e| e.answered) => {
                    self.forget(at, &old)
                }
                Some((at, _)) => return Verdict::Busy(at),
                None => return Verdict::Busy(give_up_at),
            }
        }
        let nobodys = IdempotencyKey { owner: "".into(), ..key.clone() };
        self.entries.get_mut(&nobodys).into_iter().for_each(|entry| entry.narrow(Some(window)));
        let entry = self.entries.entry(key.clone()).or_default();
        self.order.remove(&(entry.forget_at, key.clone()));
        self.spare.remove(&(entry.forget_at, key.clone()));
        entry.open = Some(give_up_at);
        entry.answered = false;
        entry.narrow(Some(window));
        entry.shards.extend(shards);
        Verdict::Serve
    }

    /// All that is known of keys of this text.
    fn alike(&self, key: &IdempotencyKey) -> impl Iterator<Item = (&IdempotencyKey, &Entry)> {
        let (text, from) = (key.text.clone(), IdempotencyKey { owner: "".into(), ..key.clone() });
        self.entries.range(from..).take_while(move |(other, _)| other.text == text)
    }

    /// Whether the part may be sent at this moment: not once the window of an attempt that may have run is over, beside one
    /// that is out only where second copies are allowed, and not where it may be taken for another owner's.
    pub fn may_send(&self, now: Micros, key: &IdempotencyKey, shard: usize) -> bool {
        self.alike(key).all(|(other, entry)| {
            if !key.may_be(other) {
                return entry.holds(shard, self.window).is_none_or(|until| until <= now);
            }
            let window = entry.window.unwrap_or(self.window);
            let may =
                |p: &Part| (p.out == 0 || self.copies) && p.first.is_none_or(|first| now < first + window);
            entry.parts.get(&shard).is_none_or(may)
        })
    }

    /// When repeats of a part are no longer dropped; `None`: nothing of it was sent that may have run.
    pub fn window_end(&self, key: &IdempotencyKey, shard: usize) -> Option<Micros> {
        let same = self.alike(key).filter(|(other, _)| key.may_be(other));
        let ends =
            |entry: &Entry| Some(entry.parts.get(&shard)?.first? + entry.window.unwrap_or(self.window));
        same.filter_map(|(_, entry)| ends(entry)).min()
    }

    /// An attempt at a part goes out, and is waited for until `until`.
    pub fn attempt_sent(&mut self, now: Micros, key: &IdempotencyKey, shard: usize, until: Micros) {
        let Some(entry) = self.entries.get_mut(key) else { return };
        let part = entry.parts.entry(shard).or_default();
        part.first.get_or_insert(now);
        part.out += 1;
        part.until = part.until.max(until);
    }

    /// An attempt has ended.
    pub fn attempt_ended(&mut self, now: Micros, key: &IdempotencyKey, shard: usize, proof: Proof) {
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
                // A copy beside it may run for as long as it is waited for.
                if part.out == 0 {
                    part.until = now;
                }
            }
            Proof::MayRun => part.ran += 1,
        }
    }

    /// The query of this key has ended; true: with an answer, which its client takes for an end.
    pub fn close(&mut self, now: Micros, key: &IdempotencyKey, answered: bool) {
        let Some(entry) = self.entries.get_mut(key) else { return };
        entry.open = None;
        entry.shards = Vec::new();
        entry.answered = answered;
        self.file(now, key);
    }

    /// Says by when an entry that is not in hand here may be forgotten, and forgets one that says nothing.
    fn file(&mut self, now: Micros, key: &IdempotencyKey) {
        let Some(entry) = self.entries.get_mut(key).filter(|e| e.open.is_none()) else { return };
        self.order.remove(&(entry.forget_at, key.clone()));
        self.spare.remove(&(entry.forget_at, key.clone()));
        if entry.parts.is_empty() && entry.elsewhere.is_none() {
            self.entries.remove(key);
            return;
        }
        let last = entry.parts.values().map(|p| p.first.unwrap_or(now).max(p.until)).max();
        let last = last.max(entry.elsewhere).unwrap_or(now);
        entry.forget_at = last + entry.window.unwrap_or(self.window) + self.keep;
        self.order.insert((entry.forget_at, key.clone()));
        if entry.answered && entry.elsewhere.is_none() {
            self.spare.insert((entry.forget_at, key.clone()));
        }
    }

    /// Another process of this broker has done something with a key, whose repeats are dropped for `window` if it tells. Such
    /// entries are kept beyond the most, up to twice as many: the other holds no more of them itself. Beyond that, keys that
    /// were answered make room. False: there was none, and nothing is known of this key.
    pub fn apply(
        &mut self,
        now: Micros,
        key: &IdempotencyKey,
        window: Option<Micros>,
        heard: KeyEvent,
    ) -> bool {
        if !self.entries.contains_key(key) && self.entries.len() >= 2 * self.most {
            self.sweep(now);
            if self.entries.len() >= 2 * self.most {
                let Some((at, old)) = self.spare.pop_first() else { return false };
                self.forget(at, &old);
            }
        }
        let entry = self.entries.entry(key.clone()).or_default();
        entry.narrow(window);
        match heard {
            KeyEvent::Opened { until } => {
                entry.elsewhere = Some(until);
                entry.answered = false;
            }
            KeyEvent::Sent { shard, at, until } => {
                let part = entry.parts.entry(shard).or_default();
                part.first = Some(part.first.map_or(at, |first| first.min(at)));
                part.until = part.until.max(until);
                part.away += 1;
            }
            KeyEvent::Ended { shard, at, proof } => {
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
            KeyEvent::Closed { answered } => {
                entry.elsewhere = None;
                entry.answered |= answered;
            }
        }
        self.file(now, key);
        true
    }

    /// All that is known, as another process of this broker has to hear it.
    pub fn replay(&self, mut to: impl FnMut(&IdempotencyKey, Option<Micros>, KeyEvent)) {
        for (key, entry) in &self.entries {
            if let Some(until) = entry.open {
                to(key, entry.window, KeyEvent::Opened { until });
            }
            for (&shard, part) in &entry.parts {
                let Some(at) = part.first else { continue };
                to(key, entry.window, KeyEvent::Sent { shard, at, until: part.until });
                // One that is out is told of when it ends; the others have.
                if part.out == 0 {
                    to(key, entry.window, KeyEvent::Ended { shard, at: part.until, proof: Proof::MayRun });
                }
            }
            if entry.open.is_none() {
                to(key, entry.window, KeyEvent::Closed { answered: entry.answered });
            }
        }
    }

    /// Other times, for what comes from now on.
    pub fn reconfigure(&mut self, window: Micros, keep: Micros) {
        self.window = window;
        self.keep = keep;
    }

    /// Keys that are held.
    pub fn key_count(&self) -> usize {
        self.entries.len()
    }

    fn sweep(&mut self, now: Micros) {
        while let Some((at, key)) = self.order.first().filter(|(at, _)| *at <= now).cloned() {
            self.forget_unless_out(now, at, &key);
        }
    }

    /// An attempt that is out for longer than anybody waits should not be there; it must not be forgotten all the same.
    fn forget_unless_out(&mut self, now: Micros, at: Micros, key: &IdempotencyKey) {
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

    fn forget(&mut self, at: Micros, key: &IdempotencyKey) {
        self.order.remove(&(at, key.clone()));
        self.spare.remove(&(at, key.clone()));
        self.entries.remove(key);
    }
}

#[cfg(test)]
mod tests;
