//! The queries in hand: whose they are, what came for them, and what may go out in their name.

use crate::inbox::{Client, Presence};
use crate::upstream::{Ended, Send};
use brookbend::api::{Semantics, Settings};
use plover_admission::{Connection, Shares};
use plover_core::{Dispatch, Query};
use plover_frames::PartId;
use plover_handover::wire::{Whose, Word};
use plover_handover::{Keyed, Neighbours};
use plover_limits::{Gate, Permit};
use plover_model::query::{Ask, AttemptId, Names, Proof, QueryId, Reply};
use plover_model::server::Outcome;
use plover_model::time::{Micros, millis};
use plover_ops::{Books, Census, End, Row};
use plover_repeats::{Heard, Key, Repeats, Verdict};
use std::collections::{BTreeMap, BTreeSet};
use std::rc::Rc;
use tracing::{Span, debug, debug_span, info, warn};

/// Most idempotency keys that are remembered, with two to three hundred bytes each.
const KEYS: usize = 8192;

/// A query in hand. Dropping it drops the way to its client, so it is dropped with its one reply.
struct Pending {
    row: Row,
    connection: Connection,
    permit: Permit,
    ask: Ask,
    /// Its key, in a class that has them registered, and for how long its repeats are dropped.
    key: Option<(Key, Micros)>,
    client: Client,
    /// The value of each part that is in.
    values: Vec<Option<String>>,
    /// Whether anything was sent for it.
    begun: bool,
    /// The weight of the parts that were left out for want of connections.
    left_out: f64,
    span: Span,
}

impl Pending {
    fn units(&self) -> usize {
        units(&self.ask)
    }
}

/// The room that a query takes: itself and its parts.
fn units(ask: &Ask) -> usize {
    1 + ask.parts.len()
}

/// Of each class: for how long data servers drop repeats of a part; not at all where a repeat takes effect again. `None`:
/// repeats are harmless, and nothing is registered.
fn windows(settings: &Settings) -> Vec<Option<Micros>> {
    let window = |semantics| match semantics {
        Semantics::Keyed { window } => Some(millis(window)),
        Semantics::Unsafe => Some(0),
        Semantics::Safe => None,
    };
    settings.classes.iter().map(|c| window(c.semantics)).collect()
}

/// For how long repeats are dropped in the class that has them dropped for longest, if any has, and how long clients come
/// back after that.
fn repeat_times(settings: &Settings) -> (Micros, Micros) {
    let window = windows(settings).into_iter().flatten().max();
    let keep = settings.classes.iter().map(|c| millis(c.give_up)).max();
    (window.unwrap_or(0), keep.unwrap_or(0))
}

/// For so long after an unknown process has gone may its keys come back: while data servers drop repeats, and clients ask.
pub(crate) fn quarantine(settings: &Settings) -> Micros {
    let (window, keep) = repeat_times(settings);
    window + keep
}

/// What a reply is in the books; a request that cannot be used was never taken.
fn end_of(reply: &Reply) -> Option<End> {
    match reply {
        Reply::Answer { .. } => Some(End::Succeeded),
        Reply::Refused { .. } => Some(End::Declined),
        Reply::Failed => Some(End::Aborted),
        Reply::Bad { .. } => None,
    }
}

fn opened(ask: &Ask, permit: &Permit) -> Word {
    let owner = permit.owner().map(|owner| owner.as_ref().to_owned());
    Word::Opened { id: ask.id.as_ref().to_owned(), units: units(ask) as u32, owner }
}

fn whose(key: &Key, window: Option<Micros>) -> Whose {
    Whose { owner: key.owner.as_ref().to_owned(), window }
}

fn word(of: &Key, window: Option<Micros>, heard: Heard, origin: Micros) -> Word {
    let (key, whose) = (of.text.as_ref().to_owned(), whose(of, window));
    match heard {
        Heard::Opened { until } => Word::KeyOpened { key, until: origin + until, whose },
        Heard::Sent { shard, at, until } => {
            let (shard, at, until) = (shard as u32, origin + at, origin + until);
            Word::KeySent { key, shard, at, until, whose }
        }
        Heard::Ended { shard, at, proof } => {
            Word::KeyEnded { key, shard: shard as u32, at: origin + at, proof, whose }
        }
        Heard::Closed { answered } => Word::KeyClosed { key, at: origin, answered, whose },
    }
}

/// The other processes of this broker, if there may be any.
#[derive(Clone, Copy)]
pub(crate) struct Beside<'a>(pub(crate) Option<&'a Neighbours>);

impl Beside<'_> {
    /// Whether a part of a keyed class may be sent.
    pub(crate) fn keyed(self, now: Micros) -> Keyed {
        self.0.map_or(Keyed::May, |neighbours| neighbours.keyed(now))
    }
}

/// What is to be seen of a query in hand.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) struct Sight {
    /// Its class.
    pub(crate) class: usize,
    /// Whether anything was sent for it.
    pub(crate) begun: bool,
    /// The weight of what was left out for want of connections.
    pub(crate) left_out: f64,
}

/// Why a dispatch does not go out.
#[derive(Debug, PartialEq, Eq)]
pub(crate) enum Held {
    /// Its query has ended in the same turn.
    Over,
    /// The part may have run under this key, and its repeats are no longer dropped.
    Repeat,
}

/// The queries in hand.
pub(crate) struct Queries {
    pending: BTreeMap<QueryId, Pending>,
    /// The requests' ids: parts go by them on the wire.
    ids: BTreeSet<Rc<str>>,
    shares: Shares,
    repeats: Repeats,
    /// Of each class, by its index.
    windows: Vec<Option<Micros>>,
    gate: Gate,
    /// Attempts that are out under a key.
    keyed: BTreeMap<AttemptId, (Key, Micros, usize)>,
    max_retry_after: Option<Micros>,
    /// Those that have ended since the last time.
    over: Vec<QueryId>,
    /// What other processes of this broker are to hear; `None` where there are none.
    words: Option<Vec<Word>>,
    /// What the machine's clock says at zero of ours.
    origin: Micros,
    books: Books,
    /// Of each class, by its index.
    rows: Vec<Row>,
    /// Of classes and tenants, by their indices: a key is theirs by name, whatever index they have when it comes again.
    names: Names,
}

impl Queries {
    /// With room for so many queries and parts.
    pub(crate) fn new(settings: &Settings, names: &Names, room: usize, seed: u64, origin: Micros) -> Self {
        let mut books = Books::default();
        let rows = names.classes.iter().map(|name| books.row(name)).collect();
        let (window, keep) = repeat_times(settings);
        let mut repeats = Repeats::new(window, keep, KEYS);
        repeats.allow_copies(settings.hedging);
        Queries {
            pending: BTreeMap::new(),
            ids: BTreeSet::new(),
            shares: Shares::new(room),
            repeats,
            windows: windows(settings),
            gate: Gate::new(seed),
            keyed: BTreeMap::new(),
            max_retry_after: settings.max_retry_after.map(millis),
            over: Vec::new(),
            words: None,
            origin,
            books,
            rows,
            names: names.clone(),
        }
    }

    /// Begins to note what other processes of this broker are to hear, or stops.
    pub(crate) fn mirror(&mut self, on: bool) {
        self.words = on.then(|| self.words.take().unwrap_or_default());
    }

    /// What they are to hear since the last time.
    pub(crate) fn take_words(&mut self) -> Vec<Word> {
        self.words.as_mut().map(std::mem::take).unwrap_or_default()
    }

    /// All that a process that has just come has to hear.
    pub(crate) fn tell_all(&self) -> Vec<Word> {
        let mut words: Vec<Word> = self.pending.values().map(|p| opened(&p.ask, &p.permit)).collect();
        self.repeats.tell(|key, window, heard| words.push(word(key, window, heard, self.origin)));
        words
    }

    /// Takes what another process of this broker did with a key.
    pub(crate) fn hear(&mut self, now: Micros, word: Word) {
        let at = |shared: Micros| shared.saturating_sub(self.origin);
        let (key, whose, heard) = match word {
            Word::KeyOpened { key, until, whose } => (key, whose, Heard::Opened { until: at(until) }),
            Word::KeySent { key, shard, at: sent, until, whose } => {
                (key, whose, Heard::Sent { shard: shard as usize, at: at(sent), until: at(until) })
            }
            Word::KeyEnded { key, shard, at: ended, proof, whose } => {
                (key, whose, Heard::Ended { shard: shard as usize, at: at(ended), proof })
            }
            Word::KeyClosed { key, answered, whose, .. } => (key, whose, Heard::Closed { answered }),
            Word::Recall(_) | Word::Told | Word::Opened { .. } | Word::Closed { .. } => return,
        };
        let key = Key { text: key.into(), owner: whose.owner.into() };
        if !self.repeats.hear(now, &key, whose.window, heard) {
            warn!(name: "key_unheard", held = self.repeats.held());
        }
    }

    /// So many processes are this broker.
    pub(crate) fn set_copies(&mut self, copies: u32) {
        self.gate.set_copies(copies);
    }

    /// Goes by other settings for queries that come from now on; those in hand keep what they have.
    pub(crate) fn retune(&mut self, settings: &Settings, names: &Names, room: usize) {
        let (window, keep) = repeat_times(settings);
        self.repeats.retune(window, keep);
        self.repeats.allow_copies(settings.hedging);
        self.windows = windows(settings);
        self.shares.set_room(room);
        self.max_retry_after = settings.max_retry_after.map(millis);
        self.rows = names.classes.iter().map(|name| self.books.row(name)).collect();
        self.names.clone_from(names);
    }

    /// Others begin at these tenants' indices.
    pub(crate) fn forget_tenants(&mut self, tenants: &[usize]) {
        self.gate.forget_tenants(tenants);
    }

    /// The key of a query whose class has them registered, and for how long its repeats are dropped.
    fn key_of(&self, ask: &Ask) -> Option<(Key, Micros)> {
        let window = self.windows.get(ask.class).copied().flatten()?;
        let name = |names: &[String], i: usize| names.get(i).cloned().unwrap_or_default();
        let (tenant, class) = (name(&self.names.tenants, ask.tenant), name(&self.names.classes, ask.class));
        // No name that a header can carry holds the zero between them.
        let owner = format!("{tenant}\0{class}").into();
        Some((Key { text: ask.key.clone()?, owner }, window))
    }

    /// Those that have ended since the last time.
    pub(crate) fn take_over(&mut self) -> Vec<QueryId> {
        std::mem::take(&mut self.over)
    }

    /// Whether the client of a query waits; `None`: the query has ended.
    pub(crate) fn presence(&self, query: QueryId) -> Option<&Rc<Presence>> {
        self.pending.get(&query).map(|pending| pending.client.presence())
    }

    /// What a query that lacks connections is judged by; `None`: it has ended.
    pub(crate) fn sight(&self, query: QueryId) -> Option<Sight> {
        let pending = self.pending.get(&query)?;
        let Pending { begun, left_out, .. } = *pending;
        Some(Sight { class: pending.ask.class, begun, left_out })
    }

    /// A part's weight in its query's answer.
    pub(crate) fn weight(&self, query: QueryId, part: usize) -> f64 {
        let part = self.pending.get(&query).and_then(|pending| pending.ask.parts.get(part));
        part.map_or(0.0, |part| part.weight)
    }

    /// A part is left out for good.
    pub(crate) fn leave_out(&mut self, query: QueryId, part: usize) {
        let weight = self.weight(query, part);
        if let Some(pending) = self.pending.get_mut(&query) {
            pending.left_out += weight;
        }
    }

    /// A class's name.
    pub(crate) fn class_name(&self, class: usize) -> &str {
        self.names.classes.get(class).map_or("", String::as_str)
    }

    /// Queries in hand.
    pub(crate) fn len(&self) -> usize {
        self.pending.len()
    }

    /// All figures.
    pub(crate) fn figures(&self, census: &Census) -> String {
        self.books.render(census)
    }

    /// Whether there are none.
    pub(crate) fn is_empty(&self) -> bool {
        self.pending.is_empty()
    }

    /// Refuses a query at once, while this broker comes back.
    pub(crate) fn turn_away(&mut self, ask: &Ask, client: &Client) {
        let row = self.rows[ask.class];
        self.books.take(row);
        self.books.end(row, End::Declined);
        client.answer(Reply::Refused { retry_after: self.max_retry_after });
    }

    /// Takes up a query, or answers it at once: `None`.
    pub(crate) fn admit(
        &mut self,
        now: Micros,
        id: QueryId,
        connection: Connection,
        ask: Ask,
        client: Client,
        beside: Beside<'_>,
    ) -> Option<Query> {
        let row = self.rows[ask.class];
        let keyed = self.key_of(&ask);
        let books = &mut self.books;
        let mut answered = |reply_with| {
            if let Some(end) = end_of(&reply_with) {
                books.take(row);
                books.end(row, end);
            }
            client.answer(reply_with);
            None
        };
        // Parts go by the request's id on the wire: those of two requests could not be told apart.
        if self.ids.contains(&ask.id) || beside.0.is_some_and(|n| n.has(&ask.id)) {
            let why = "X-Request-Id is that of a request in hand".to_owned();
            return answered(Reply::Bad { status: 400, why });
        }
        let units = units(&ask);
        if !self.shares.take(connection, units) {
            info!(name: "share_full", connection, held = self.shares.held());
            return answered(Reply::Refused { retry_after: self.max_retry_after });
        }
        let mut permit = match self
            .gate
            .take_beside(now, &ask.limits, ask.tenant, |owner| beside.0.map_or(0, |n| n.in_hand(owner)))
        {
            Ok(permit) => permit,
            Err(refused) => {
                self.shares.give_back(connection, units);
                info!(name: "limit_reached", limit = refused.limit, section = %refused.owner, tenant = ask.tenant, shared = refused.shared);
                let retry_after = self.max_retry_after.map(|most| most.min(refused.wait));
                return answered(Reply::Refused { retry_after });
            }
        };
        let give_up_at = now + ask.patience;
        if let Some((key, window)) = &keyed {
            let shards = ask.parts.iter().map(|p| p.shard);
            // What another process may be sending unknown to us counts as this key's.
            let verdict = match beside.keyed(now) {
                Keyed::Wait(until) => Verdict::Busy(until.min(give_up_at)),
                Keyed::May => self.repeats.open(now, key, shards, give_up_at, *window),
            };
            if verdict != Verdict::Serve {
                self.shares.give_back(connection, units);
                self.gate.give_back(std::mem::take(&mut permit));
                info!(name: "key_repeated", connection, id = %ask.id, verdict = ?verdict);
            }
            match verdict {
                Verdict::Serve => {}
                Verdict::Busy(until) | Verdict::Taken(until) => {
                    let wait = until.saturating_sub(now);
                    return answered(Reply::Refused {
                        retry_after: self.max_retry_after.map(|most| most.min(wait)),
                    });
                }
                Verdict::Over => return answered(Reply::Failed),
            }
        }
        let query = Query {
            id,
            class: ask.class,
            tenant: ask.tenant,
            deadline: give_up_at,
            limits: ask.limits.clone(),
            is_retry: ask.again,
            parts: ask.parts.clone(),
        };
        let span = debug_span!("query", query = id, connection, id = %ask.id);
        span.in_scope(|| debug!(name: "query_taken", class = ask.class, parts = ask.parts.len()));
        if let Some(words) = &mut self.words {
            words.push(opened(&ask, &permit));
            let heard = Heard::Opened { until: give_up_at };
            words.extend(keyed.iter().map(|(key, window)| word(key, Some(*window), heard, self.origin)));
        }
        self.ids.insert(ask.id.clone());
        let values = vec![None; ask.parts.len()];
        self.books.take(row);
        let (begun, left_out) = (false, 0.0);
        let pending =
            Pending { row, connection, permit, ask, key: keyed, client, values, begun, left_out, span };
        self.pending.insert(id, pending);
        Some(query)
    }

    /// The client has gone. Nothing may be left to free where the reply was on its way already.
    pub(crate) fn gone(&mut self, now: Micros, query: QueryId) {
        if let Some(pending) = self.close(now, query, End::Aborted) {
            pending.span.in_scope(|| debug!(name: "query_gone", query));
        }
    }

    /// Ends a query with its one reply.
    pub(crate) fn finish(&mut self, now: Micros, query: QueryId, reply: impl FnOnce(Values) -> Reply) {
        let Some(pending) = self.pending.get_mut(&query) else { return };
        let values = std::mem::take(&mut pending.values);
        let shards = pending.ask.parts.iter().map(|p| p.shard);
        let reply = reply(shards.zip(values).filter_map(|(shard, v)| Some((shard, v?))).collect());
        let end = end_of(&reply).unwrap_or(End::Aborted);
        let Some(pending) = self.close(now, query, end) else { return };
        pending.span.in_scope(|| debug!(name: "query_ended", reply = ?std::mem::discriminant(&reply)));
        pending.client.answer(reply);
    }

    /// The one place where a query is given back.
    fn close(&mut self, now: Micros, query: QueryId, end: End) -> Option<Pending> {
        let mut pending = self.pending.remove(&query)?;
        self.over.push(query);
        self.books.end(pending.row, end);
        self.gate.give_back(std::mem::take(&mut pending.permit));
        if let Some(words) = &mut self.words {
            words.push(Word::Closed { id: pending.ask.id.as_ref().to_owned() });
            let heard = Heard::Closed { answered: end == End::Succeeded };
            let closed = |(key, window): &(Key, Micros)| word(key, Some(*window), heard, self.origin);
            words.extend(pending.key.as_ref().map(closed));
        }
        self.ids.remove(&pending.ask.id);
        self.shares.give_back(pending.connection, pending.units());
        if let Some((key, _)) = &pending.key {
            self.repeats.close(now, key, end == End::Succeeded);
        }
        Some(pending)
    }

    /// A dispatch with all that its frame needs.
    pub(crate) fn outgoing(&mut self, now: Micros, d: Dispatch) -> Result<Send, Held> {
        let pending = self.pending.get_mut(&d.attempt.query).ok_or(Held::Over)?;
        pending.begun = true;
        let part = pending.ask.parts.get(d.attempt.part).ok_or(Held::Over)?;
        let mut by = Micros::MAX;
        if let Some((key, window)) = &pending.key {
            if !self.repeats.may_send(now, key, part.shard) {
                return Err(Held::Repeat);
            }
            by = self.repeats.until(key, part.shard).unwrap_or(by);
            if let Some(words) = &mut self.words {
                let heard = Heard::Sent { shard: part.shard, at: now, until: d.until };
                words.push(word(key, Some(*window), heard, self.origin));
            }
            self.repeats.sent(now, key, part.shard, d.until);
            self.keyed.insert(d.attempt, (key.clone(), *window, part.shard));
        }
        pending.span.in_scope(
            || debug!(name: "part_sent", shard = part.shard, attempt = d.attempt.attempt, server = %d.server.0),
        );
        Ok(Send {
            attempt: d.attempt,
            server: d.server,
            until: d.until,
            by,
            part: PartId { request: pending.ask.id.clone(), shard: part.shard },
            key: pending.ask.key.clone(),
            text: pending.ask.text.clone(),
            client: pending.client.presence().clone(),
        })
    }

    /// Takes the end of an attempt: its value stays here, with its query.
    pub(crate) fn ended(&mut self, now: Micros, ended: &mut Ended) {
        if let Some((key, window, shard)) = self.keyed.remove(&ended.attempt) {
            let proof = match ended.outcome {
                Outcome::Served | Outcome::Error => Proof::Ran,
                Outcome::Full | Outcome::NoConnection | Outcome::NotSent => Proof::NeverRan,
                Outcome::TimedOut | Outcome::ConnectionLost | Outcome::Cancelled => Proof::MayRun,
            };
            if let Some(words) = &mut self.words {
                words.push(word(&key, Some(window), Heard::Ended { shard, at: now, proof }, self.origin));
            }
            self.repeats.ended(now, &key, shard, proof);
        }
        let Some(pending) = self.pending.get_mut(&ended.attempt.query) else { return };
        pending
            .span
            .in_scope(|| debug!(name: "part_ended", part = ended.attempt.part, outcome = ?ended.outcome));
        if let Some(value) = pending.values.get_mut(ended.attempt.part)
            && ended.outcome == Outcome::Served
        {
            *value = ended.value.take();
        }
    }
}

/// Shard and value of each part that is in.
pub(crate) type Values = Vec<(usize, String)>;

#[cfg(test)]
mod tests;
