//! A register of idempotency keys whose parts were sent. It decides whether a client's retry may be served,
//! and until when a part may be sent again. The caller passes the current time.
//!
//! Data servers drop a repeated part of a keyed class only within a window after its first attempt. Within
//! one query the decision module observes this window, but it knows nothing of other queries: if a client
//! disconnects and retries with the same key, the retry is a new query to it. This register connects the two.
//! While a query with a key is open, or a cancelled attempt may still run, a retry is postponed. Once the
//! window of a part that may have run is over, that part is not sent again, and a retry fails.
//!
//! A key belongs to its owner, which is a tenant in a class. Data servers know only the text of a key and
//! drop repeats by it, so that owners with the same text interfere with each other. A query is never taken
//! for a retry of another owner's query. But a part of one owner is not sent to a shard where a part of the
//! other may have run, or may still run, until data servers have forgotten that part: they would drop the new
//! one, or answer it with what the other owner wrote.
//!
//! Every part that is sent is reported ([`KeyRegister::attempt_sent`]), and so is its end
//! ([`KeyRegister::attempt_ended`]), even after its query has ended. The register holds a limited number of
//! keys. When it is full, keys of answered queries are evicted first; if there are none, a new key is
//! postponed rather than an old one evicted.

use plover_model::query::Proof;
use plover_model::time::Micros;
use std::collections::{BTreeMap, BTreeSet};
use std::rc::Rc;

/// An idempotency key and its owner.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct IdempotencyKey {
    /// Text of the key as the client sent it and as it is sent to data servers.
    pub text: Rc<str>,
    /// Identifies the tenant and the class. An empty owner is unknown and may be any.
    pub owner: Rc<str>,
}

impl IdempotencyKey {
    /// Returns whether two keys with the same text may be the same key.
    fn may_equal(&self, other: &IdempotencyKey) -> bool {
        self.owner == other.owner || self.owner.is_empty() || other.owner.is_empty()
    }
}

/// Decision on a query with a key.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Verdict {
    /// The query may be served.
    Serve,
    /// Another query with the key is open, one of its attempts may still run, or the register is full: retry
    /// after this time.
    Busy(Micros),
    /// A key of another owner has the same text, and data servers may confuse their parts: retry after this
    /// time.
    Taken(Micros),
    /// A part of an earlier query may have run, and data servers no longer drop its repeats.
    Over,
}

/// What another process of this broker did with a key. Events of a key come in the order in which they
/// occurred.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum KeyEvent {
    /// A query with the key was opened.
    Opened {
        /// Deadline of the query's client.
        until: Micros,
    },
    /// A part was sent.
    Sent {
        /// Shard of the part.
        shard: usize,
        /// Time of sending.
        at: Micros,
        /// Time until which the answer is awaited.
        until: Micros,
    },
    /// An attempt ended.
    Ended {
        /// Shard of the part.
        shard: usize,
        /// Time of the end.
        at: Micros,
        /// What the end proves about whether the part ran.
        proof: Proof,
    },
    /// The query ended.
    Closed {
        /// Whether the client got an answer.
        answered: bool,
    },
}

/// State of one part under a key.
#[derive(Clone, Debug, Default)]
struct Part {
    /// Time at which the first attempt that may have run was sent.
    first_sent: Option<Micros>,
    /// Number of attempts in flight in this process.
    in_flight: u32,
    /// Number of attempts in flight in another process of this broker, whose ends that process reports. If it
    /// does not, they count as ended for [`KeyRegister::open`] once they are no longer awaited.
    sibling_in_flight: u32,
    /// Number of attempts that have ended and may have run.
    may_have_run: u32,
    /// Time until which an attempt may still start to run: a cancelled one until it would no longer have been
    /// awaited.
    may_start_until: Micros,
}

#[derive(Clone, Debug, Default)]
struct Entry {
    /// Deadline of the open query in this process; `None` if none is open.
    open_until: Option<Micros>,
    /// Deadline of the open query in another process of this broker; `None` if none is open.
    sibling_open_until: Option<Micros>,
    /// Shards of the open query in this process.
    shards: Vec<usize>,
    /// Whether the last query was answered, so that its client has no reason to retry.
    answered: bool,
    parts: BTreeMap<usize, Part>,
    /// Shortest window of the queries with this key, as far as known.
    window: Option<Micros>,
    /// Time at which the entry may be evicted; its position in [`KeyRegister::eviction_order`].
    evict_at: Micros,
}

impl Entry {
    /// Returns until when data servers may take a part of another owner's key for a part of this one; `None`
    /// if nothing of this key goes or went to the shard. A query that is open in another process counts for
    /// all shards, because its shards are not known here.
    fn interferes_until(&self, shard: usize, default_window: Micros) -> Option<Micros> {
        let open = self.open_until.filter(|_| self.shards.contains(&shard)).max(self.sibling_open_until);
        let window = self.window.unwrap_or(default_window);
        let ran = self.parts.get(&shard).map(|p| p.first_sent.unwrap_or(0).max(p.may_start_until) + window);
        open.max(ran)
    }

    /// Shortens the window to that of another query, if that is shorter.
    fn shorten_window(&mut self, window: Option<Micros>) {
        self.window = self.window.into_iter().chain(window).min();
    }
}

/// Register of idempotency keys.
#[derive(Clone, Debug)]
pub struct KeyRegister {
    /// Window for keys whose window is unknown: only other processes have reported events of them, and none
    /// with a window.
    default_window: Micros,
    /// Time after the end of the window for which clients may still retry.
    retention: Micros,
    max_keys: usize,
    /// Whether a part may have two attempts in flight at once.
    hedging: bool,
    entries: BTreeMap<IdempotencyKey, Entry>,
    /// Entries without an open query in this process, by the time at which they may be evicted.
    eviction_order: BTreeSet<(Micros, IdempotencyKey)>,
    /// The entries among them whose queries were answered. They are evicted early when the register is full.
    answered: BTreeSet<(Micros, IdempotencyKey)>,
}

impl KeyRegister {
    /// Creates a register for at most `max_keys` keys. Data servers drop repeats for `default_window` after
    /// the first attempt, and clients retry at most for `retention` after that. The default window is for
    /// keys of which only other processes have reported events, none of them with a window: each query of
    /// this process has the window of its class. A part has one attempt in flight at a time until
    /// [`KeyRegister::allow_hedging`] changes that.
    pub fn new(default_window: Micros, retention: Micros, max_keys: usize) -> Self {
        let (entries, eviction_order, answered) = Default::default();
        KeyRegister { default_window, retention, max_keys, hedging: false, entries, eviction_order, answered }
    }

    /// Sets whether a part may have a second attempt in flight beside the first.
    pub fn allow_hedging(&mut self, allow: bool) {
        self.hedging = allow;
    }

    /// Opens a query with this key and these shards, whose client waits until `deadline`, in a class whose
    /// repeats are dropped for `window`. If `window` is 0, repeats are not dropped, and a part that may have
    /// run is not sent again at all. Unless the verdict is [`Verdict::Serve`], the register does not change
    /// for this query.
    pub fn open(
        &mut self,
        now: Micros,
        key: &IdempotencyKey,
        shards: impl Iterator<Item = usize> + Clone,
        deadline: Micros,
        window: Micros,
    ) -> Verdict {
        self.evict_expired(now);
        let mut window = window;
        let (mut busy, mut taken) = (None, None);
        for (other, entry) in self.entries_with_text(key) {
            if !key.may_equal(other) {
                taken = taken
                    .max(shards.clone().filter_map(|s| entry.interferes_until(s, self.default_window)).max());
                continue;
            }
            window = entry.window.map_or(window, |w| w.min(window));
            if let Some(until) = entry.open_until.or(entry.sibling_open_until.filter(|until| *until > now)) {
                return Verdict::Busy(until);
            }
            for part in shards.clone().filter_map(|s| entry.parts.get(&s)) {
                if part.in_flight > 0 || part.may_start_until > now {
                    busy = busy.max(Some(part.may_start_until));
                } else if part.first_sent.is_some_and(|first| now >= first + window) {
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
        if !self.entries.contains_key(key) && self.entries.len() >= self.max_keys {
            match self.answered.pop_first().or_else(|| self.eviction_order.first().cloned()) {
                Some((at, old)) if self.entries.get(&old).is_some_and(|e| e.answered) => self.evict(at, &old),
                Some((at, _)) => return Verdict::Busy(at),
                None => return Verdict::Busy(deadline),
            }
        }
        let without_owner = IdempotencyKey { owner: "".into(), ..key.clone() };
        self.entries.get_mut(&without_owner).into_iter().for_each(|entry| entry.shorten_window(Some(window)));
        let entry = self.entries.entry(key.clone()).or_default();
        self.eviction_order.remove(&(entry.evict_at, key.clone()));
        self.answered.remove(&(entry.evict_at, key.clone()));
        entry.open_until = Some(deadline);
        entry.answered = false;
        entry.shorten_window(Some(window));
        entry.shards.extend(shards);
        Verdict::Serve
    }

    /// Returns the entries of all keys with the text of this one, of any owner.
    fn entries_with_text(&self, key: &IdempotencyKey) -> impl Iterator<Item = (&IdempotencyKey, &Entry)> {
        let (text, first) = (key.text.clone(), IdempotencyKey { owner: "".into(), ..key.clone() });
        self.entries.range(first..).take_while(move |(other, _)| other.text == text)
    }

    /// Returns whether a part may be sent now. It may not once the window of an attempt that may have run is
    /// over, nor while another attempt is in flight unless hedging is allowed, nor while data servers may
    /// take it for a part of another owner.
    pub fn may_send(&self, now: Micros, key: &IdempotencyKey, shard: usize) -> bool {
        self.entries_with_text(key).all(|(other, entry)| {
            if !key.may_equal(other) {
                return entry.interferes_until(shard, self.default_window).is_none_or(|until| until <= now);
            }
            let window = entry.window.unwrap_or(self.default_window);
            let allowed = |p: &Part| {
                (p.in_flight == 0 || self.hedging) && p.first_sent.is_none_or(|first| now < first + window)
            };
            entry.parts.get(&shard).is_none_or(allowed)
        })
    }

    /// Returns the time from which data servers no longer drop repeats of a part; `None` if no attempt at it
    /// may have run.
    pub fn window_end(&self, key: &IdempotencyKey, shard: usize) -> Option<Micros> {
        let same_key = self.entries_with_text(key).filter(|(other, _)| key.may_equal(other));
        let end_of = |entry: &Entry| {
            Some(entry.parts.get(&shard)?.first_sent? + entry.window.unwrap_or(self.default_window))
        };
        same_key.filter_map(|(_, entry)| end_of(entry)).min()
    }

    /// Records that an attempt at a part is sent, whose answer is awaited until `until`.
    pub fn attempt_sent(&mut self, now: Micros, key: &IdempotencyKey, shard: usize, until: Micros) {
        let Some(entry) = self.entries.get_mut(key) else { return };
        let part = entry.parts.entry(shard).or_default();
        part.first_sent.get_or_insert(now);
        part.in_flight += 1;
        part.may_start_until = part.may_start_until.max(until);
    }

    /// Records that an attempt has ended, and whether that proves that it ran.
    pub fn attempt_ended(&mut self, now: Micros, key: &IdempotencyKey, shard: usize, proof: Proof) {
        let Some(entry) = self.entries.get_mut(key) else { return };
        let Some(part) = entry.parts.get_mut(&shard) else { return };
        part.in_flight = part.in_flight.saturating_sub(1);
        match proof {
            Proof::NeverRan
                if part.in_flight == 0 && part.sibling_in_flight == 0 && part.may_have_run == 0 =>
            {
                entry.parts.remove(&shard);
            }
            Proof::NeverRan => {}
            Proof::Ran => {
                part.may_have_run += 1;
                // A hedged attempt may run for as long as it is awaited.
                if part.in_flight == 0 {
                    part.may_start_until = now;
                }
            }
            Proof::MayRun => part.may_have_run += 1,
        }
    }

    /// Records that the query with this key has ended. `answered` means that its client got an answer and
    /// will not retry.
    pub fn close(&mut self, now: Micros, key: &IdempotencyKey, answered: bool) {
        let Some(entry) = self.entries.get_mut(key) else { return };
        entry.open_until = None;
        entry.shards = Vec::new();
        entry.answered = answered;
        self.schedule_eviction(now, key);
    }

    /// Sets the time at which an entry without an open query in this process may be evicted, and removes an
    /// entry that contains no information.
    fn schedule_eviction(&mut self, now: Micros, key: &IdempotencyKey) {
        let Some(entry) = self.entries.get_mut(key).filter(|e| e.open_until.is_none()) else { return };
        self.eviction_order.remove(&(entry.evict_at, key.clone()));
        self.answered.remove(&(entry.evict_at, key.clone()));
        if entry.parts.is_empty() && entry.sibling_open_until.is_none() {
            self.entries.remove(key);
            return;
        }
        let last = entry.parts.values().map(|p| p.first_sent.unwrap_or(now).max(p.may_start_until)).max();
        let last = last.max(entry.sibling_open_until).unwrap_or(now);
        entry.evict_at = last + entry.window.unwrap_or(self.default_window) + self.retention;
        self.eviction_order.insert((entry.evict_at, key.clone()));
        if entry.answered && entry.sibling_open_until.is_none() {
            self.answered.insert((entry.evict_at, key.clone()));
        }
    }

    /// Applies an event of another process of this broker. Repeats of the key are dropped for `window` if the
    /// process reported one. Entries of other processes are kept beyond the maximum number of keys, up to
    /// twice that number, since the other process has no more of them itself. Beyond that, keys of answered
    /// queries are evicted. Returns `false`, and records nothing, if there are none to evict.
    pub fn apply(
        &mut self,
        now: Micros,
        key: &IdempotencyKey,
        window: Option<Micros>,
        event: KeyEvent,
    ) -> bool {
        if !self.entries.contains_key(key) && self.entries.len() >= 2 * self.max_keys {
            self.evict_expired(now);
            if self.entries.len() >= 2 * self.max_keys {
                let Some((at, old)) = self.answered.pop_first() else { return false };
                self.evict(at, &old);
            }
        }
        let entry = self.entries.entry(key.clone()).or_default();
        entry.shorten_window(window);
        match event {
            KeyEvent::Opened { until } => {
                entry.sibling_open_until = Some(until);
                entry.answered = false;
            }
            KeyEvent::Sent { shard, at, until } => {
                let part = entry.parts.entry(shard).or_default();
                part.first_sent = Some(part.first_sent.map_or(at, |first| first.min(at)));
                part.may_start_until = part.may_start_until.max(until);
                part.sibling_in_flight += 1;
            }
            KeyEvent::Ended { shard, at, proof } => {
                if let Some(part) = entry.parts.get_mut(&shard) {
                    part.sibling_in_flight = part.sibling_in_flight.saturating_sub(1);
                    match proof {
                        Proof::NeverRan
                            if part.in_flight + part.sibling_in_flight + part.may_have_run == 0 =>
                        {
                            _ = entry.parts.remove(&shard)
                        }
                        Proof::NeverRan => {}
                        Proof::Ran => {
                            part.may_have_run += 1;
                            if part.in_flight + part.sibling_in_flight == 0 {
                                part.may_start_until = at;
                            }
                        }
                        Proof::MayRun => part.may_have_run += 1,
                    }
                }
            }
            KeyEvent::Closed { answered } => {
                entry.sibling_open_until = None;
                entry.answered |= answered;
            }
        }
        self.schedule_eviction(now, key);
        true
    }

    /// Reports the contents of the register as events for another process of this broker.
    pub fn replay(&self, mut report: impl FnMut(&IdempotencyKey, Option<Micros>, KeyEvent)) {
        for (key, entry) in &self.entries {
            if let Some(until) = entry.open_until {
                report(key, entry.window, KeyEvent::Opened { until });
            }
            for (&shard, part) in &entry.parts {
                let Some(at) = part.first_sent else { continue };
                let until = part.may_start_until;
                let sent = KeyEvent::Sent { shard, at, until };
                // The attempts that have ended are reported as one. The end of each attempt in flight is
                // reported when it occurs, and says nothing about the ones before it.
                if part.in_flight == 0 || part.may_have_run > 0 || part.sibling_in_flight > 0 {
                    report(key, entry.window, sent);
                    report(key, entry.window, KeyEvent::Ended { shard, at: until, proof: Proof::MayRun });
                }
                (0..part.in_flight).for_each(|_| report(key, entry.window, sent));
            }
            if entry.open_until.is_none() {
                report(key, entry.window, KeyEvent::Closed { answered: entry.answered });
            }
        }
    }

    /// Changes the default window and the retention for later calls.
    pub fn reconfigure(&mut self, default_window: Micros, retention: Micros) {
        self.default_window = default_window;
        self.retention = retention;
    }

    /// Returns the number of keys in the register.
    pub fn key_count(&self) -> usize {
        self.entries.len()
    }

    fn evict_expired(&mut self, now: Micros) {
        while let Some((at, key)) = self.eviction_order.first().filter(|(at, _)| *at <= now).cloned() {
            self.evict_unless_in_flight(now, at, &key);
        }
    }

    /// Evicts an entry unless it has an attempt in flight. No attempt should be in flight for longer than it
    /// is awaited, but if one is, its key must be kept.
    fn evict_unless_in_flight(&mut self, now: Micros, at: Micros, key: &IdempotencyKey) {
        let Some(entry) = self.entries.get_mut(key).filter(|e| e.parts.values().any(|p| p.in_flight > 0))
        else {
            return self.evict(at, key);
        };
        entry.evict_at = now + self.default_window;
        self.eviction_order.remove(&(at, key.clone()));
        self.eviction_order.insert((entry.evict_at, key.clone()));
        if self.answered.remove(&(at, key.clone())) {
            self.answered.insert((entry.evict_at, key.clone()));
        }
    }

    fn evict(&mut self, at: Micros, key: &IdempotencyKey) {
        self.eviction_order.remove(&(at, key.clone()));
        self.answered.remove(&(at, key.clone()));
        self.entries.remove(key);
    }
}

#[cfg(test)]
mod tests;
