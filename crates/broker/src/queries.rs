//! The open queries: their clients and owners, the values received for them, and the attempts that may be
//! sent for them.

mod messages;
mod request_ids;

use crate::inbox::{Client, Presence};
use crate::upstream::{DispatchedAttempt, EndedAttempt};
use brookbend::api::{Semantics, Settings};
use messages::{id_kept, key_message, query_opened};
use plover_admission::{CapacityShares, ConnectionId};
use plover_core::{Dispatch, Query};
use plover_frames::PartId;
use plover_handover::wire::Message;
use plover_handover::{KeyedSend, Siblings};
use plover_limits::{Permit, QueryLimiter};
use plover_model::query::{AttemptId, LimitScope, Names, Proof, QueryId, QueryRequest, Rate, Reply};
use plover_model::server::Outcome;
use plover_model::time::{Micros, millis};
use plover_ops::{ClassCounter, Counters, Gauges, QueryResult};
use plover_repeats::{IdempotencyKey, KeyEvent, KeyRegister, Verdict};
use request_ids::RequestIds;
use std::collections::BTreeMap;
use std::rc::Rc;
use tracing::{Span, debug, debug_span, info, warn};

/// Maximum number of idempotency keys that are remembered. Each takes two to three hundred bytes.
const MAX_KEYS: usize = 8192;

/// An open query. Dropping it closes the channel to its client, so it is dropped when its one reply is sent.
struct PendingQuery {
    class_counter: ClassCounter,
    connection: ConnectionId,
    /// When its client's time is up.
    deadline: Micros,
    permit: Permit,
    request: QueryRequest,
    /// The idempotency key, and the time for which data servers drop repeats of its parts; `None` in a class
    /// whose keys are not registered.
    key: Option<(IdempotencyKey, Micros)>,
    client: Client,
    /// The value of each part; `None` until it is received.
    values: Vec<Option<String>>,
    /// Whether any part was prepared for sending. It may still have been withheld.
    any_sent: bool,
    /// Total weight of the parts that were omitted for lack of connections.
    omitted_weight: f64,
    span: Span,
}

impl PendingQuery {
    fn units(&self) -> usize {
        units(&self.request)
    }
}

/// Number of units that a query uses: the query itself and its parts.
fn units(request: &QueryRequest) -> usize {
    1 + request.parts.len()
}

/// For each class, the time for which data servers drop repeats of a part: 0 if a repeat takes effect again,
/// and `None` if repeats are harmless and no key is registered.
fn windows(settings: &Settings) -> Vec<Option<Micros>> {
    let window = |semantics| match semantics {
        Semantics::Keyed { window } => Some(millis(window)),
        Semantics::Unsafe => Some(0),
        Semantics::Safe => None,
    };
    settings.classes.iter().map(|c| window(c.semantics)).collect()
}

/// The longest time for which the data servers drop repeats in any class, and the longest time after that for
/// which clients may ask again; 0 where no class has one.
fn repeat_times(settings: &Settings) -> (Micros, Micros) {
    let max_window = windows(settings).into_iter().flatten().max();
    let max_wait = settings.classes.iter().map(|c| millis(c.give_up)).max();
    (max_window.unwrap_or(0), max_wait.unwrap_or(0))
}

/// Time after the end of a process with unknown state during which its clients may retry its keys here: the
/// longest time for which data servers drop repeats, plus the longest time for which clients ask again.
pub(crate) fn quarantine(settings: &Settings) -> Micros {
    let (max_window, max_wait) = repeat_times(settings);
    max_window + max_wait
}

/// How a query with this reply is counted; `None` for a bad request, which is not counted as a query.
fn end_of(reply: &Reply) -> Option<QueryResult> {
    match reply {
        Reply::Answer { .. } => Some(QueryResult::Succeeded),
        Reply::Refused { .. } => Some(QueryResult::Declined),
        Reply::Failed => Some(QueryResult::Aborted),
        Reply::Bad { .. } => None,
    }
}

/// The other processes of this broker; `None` if the handover is switched off.
#[derive(Clone, Copy)]
pub(crate) struct OtherProcesses<'a>(pub(crate) Option<&'a Siblings>);

impl OtherProcesses<'_> {
    /// Whether a part of a keyed class may be sent.
    pub(crate) fn keyed(self, now: Micros) -> KeyedSend {
        self.0.map_or(KeyedSend::Allowed, |siblings| siblings.keyed_send(now))
    }
}

/// The state of an open query by which a lack of connections is judged.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) struct QueryStatus {
    /// Index of the query's class.
    pub(crate) class: usize,
    /// Whether any part was prepared for sending. It may still have been withheld.
    pub(crate) any_sent: bool,
    /// Total weight of the parts that were omitted for lack of connections.
    pub(crate) omitted_weight: f64,
}

/// Why a dispatch is not sent.
#[derive(Debug, PartialEq, Eq)]
pub(crate) enum Withheld {
    /// The query has ended in the same turn, or it has no such part.
    QueryEnded,
    /// The key register does not allow the part to be sent, for example because the part may have run under
    /// this key and data servers no longer drop repeats of it: see [`KeyRegister::may_send`].
    Repeat,
}

/// All open queries.
pub(crate) struct Queries {
    pending: BTreeMap<QueryId, PendingQuery>,
    ids: RequestIds,
    shares: CapacityShares,
    key_register: KeyRegister,
    /// The window of each class, by class index: see [`windows`].
    windows: Vec<Option<Micros>>,
    limiter: QueryLimiter,
    /// Attempts in flight under a key, with the key, its window and the shard.
    keyed: BTreeMap<AttemptId, (IdempotencyKey, Micros, usize)>,
    max_retry_after: Option<Micros>,
    /// Queries that have ended since the last call of [`Queries::take_ended`].
    ended: Vec<QueryId>,
    /// Messages for other processes of this broker; `None` if no extension wants them.
    messages: Option<Vec<Message>>,
    /// The machine's clock at zero of the broker's clock.
    origin: Micros,
    counters: Counters,
    /// The counters of each class, by class index.
    class_counters: Vec<ClassCounter>,
    /// Names of classes and tenants by index. Keys are registered under names, since an index may change
    /// before the key is used again.
    names: Names,
}

impl Queries {
    /// Creates the table with a capacity of `capacity` units, that is queries and parts together. The seed
    /// varies the retry advice of the limits. `origin` is the machine's clock at zero of the broker's clock.
    pub(crate) fn new(
        settings: &Settings,
        names: &Names,
        capacity: usize,
        seed: u64,
        origin: Micros,
    ) -> Self {
        let mut counters = Counters::default();
        let class_counters = names.classes.iter().map(|name| counters.class_counter(name)).collect();
        let (max_window, max_wait) = repeat_times(settings);
        let mut key_register = KeyRegister::new(max_window, max_wait, MAX_KEYS);
        key_register.allow_hedging(settings.hedging);
        Queries {
            pending: BTreeMap::new(),
            ids: RequestIds::default(),
            shares: CapacityShares::new(capacity),
            key_register,
            windows: windows(settings),
            limiter: QueryLimiter::new(seed),
            keyed: BTreeMap::new(),
            max_retry_after: settings.max_retry_after.map(millis),
            ended: Vec::new(),
            messages: None,
            origin,
            counters,
            class_counters,
            names: names.clone(),
        }
    }

    /// Starts or stops recording messages for other processes of this broker.
    pub(crate) fn record_updates(&mut self, on: bool) {
        self.messages = on.then(|| self.messages.take().unwrap_or_default());
    }

    /// Removes and returns the messages recorded since the last call.
    pub(crate) fn take_updates(&mut self) -> Vec<Message> {
        self.messages.as_mut().map(std::mem::take).unwrap_or_default()
    }

    /// All messages that a process needs that has just joined.
    pub(crate) fn all_updates(&self, now: Micros) -> Vec<Message> {
        let mut messages: Vec<Message> =
            self.pending.values().map(|p| query_opened(&p.request, &p.permit)).collect();
        messages.extend(self.ids.ended().map(|id| id_kept(id)));
        self.key_register
            .replay(|key, window, event| messages.push(key_message(key, window, event, self.origin)));
        let tenant_name = |tenant: usize| self.names.tenants.get(tenant).cloned().unwrap_or_default();
        let tokens_left = |(section, tenant, rate, level): (&LimitScope, usize, Rate, u64)| {
            let (section, tenant) = (section.as_ref().to_owned(), tenant_name(tenant));
            let Rate { per_second, burst } = rate;
            Message::TokensLeft { section, tenant, per_second, burst, level }
        };
        messages.extend(self.limiter.levels(now).map(tokens_left));
        messages
    }

    /// Assumes that all rates of the operator's file are used up, because another process of this broker does
    /// not report what it let in.
    pub(crate) fn assume_rates_used(&mut self, now: Micros) {
        self.limiter.assume_empty(now);
    }

    /// Takes over the level of a token bucket of another process of this broker.
    fn restore_tokens(&mut self, now: Micros, section: &str, tenant: &str, rate: Rate, level: u64) {
        if let Some(tenant) = self.names.tenant(tenant.as_bytes()).or_else(|| self.names.implicit_tenant()) {
            self.limiter.restore_level(now, &section.into(), tenant, rate, level);
        }
    }

    /// Records what another process of this broker did with a key, or how many tokens it has left.
    pub(crate) fn apply_update(&mut self, now: Micros, word: Message) {
        let at = |shared: Micros| shared.saturating_sub(self.origin);
        let (key, key_owner, event) = match word {
            Message::KeyOpened { key, until, key_owner } => {
                (key, key_owner, KeyEvent::Opened { until: at(until) })
            }
            Message::KeySent { key, shard, at: sent, until, key_owner } => {
                (key, key_owner, KeyEvent::Sent { shard: shard as usize, at: at(sent), until: at(until) })
            }
            Message::KeyEnded { key, shard, at: ended, proof, key_owner } => {
                (key, key_owner, KeyEvent::Ended { shard: shard as usize, at: at(ended), proof })
            }
            Message::KeyClosed { key, answered, key_owner, .. } => {
                (key, key_owner, KeyEvent::Closed { answered })
            }
            Message::TokensLeft { section, tenant, per_second, burst, level } => {
                let rate = Rate { per_second, burst };
                return self.restore_tokens(now, &section, &tenant, rate, level);
            }
            Message::Snapshot(_)
            | Message::StateSent
            | Message::Opened { .. }
            | Message::Closed { .. }
            | Message::Configurations(_) => return,
        };
        let key = IdempotencyKey { text: key.into(), owner: key_owner.owner.into() };
        if !self.key_register.apply(now, &key, key_owner.window, event) {
            warn!(name: "key_unheard", held = self.key_register.key_count());
        }
    }

    /// Sets the number of processes of this broker, which share its limits.
    pub(crate) fn set_process_count(&mut self, processes: u32) {
        self.limiter.set_process_count(processes);
    }

    /// Applies new settings to queries that arrive from now on. Open queries keep the settings under which
    /// they were admitted.
    pub(crate) fn reconfigure(&mut self, settings: &Settings, names: &Names, capacity: usize) {
        self.reindex(settings, names);
        self.key_register.allow_hedging(settings.hedging);
        self.shares.set_capacity(capacity);
        self.max_retry_after = settings.max_retry_after.map(millis);
    }

    /// Takes the indices of classes and tenants from settings that may hold further ones.
    pub(crate) fn reindex(&mut self, settings: &Settings, names: &Names) {
        let (max_window, max_wait) = repeat_times(settings);
        self.key_register.reconfigure(max_window, max_wait);
        self.windows = windows(settings);
        self.class_counters = names.classes.iter().map(|name| self.counters.class_counter(name)).collect();
        self.names.clone_from(names);
    }

    /// Resets the limits of these tenant indices, which are now used by other tenants.
    pub(crate) fn reset_tenants(&mut self, tenants: &[usize]) {
        self.limiter.remove_tenants(tenants);
    }

    /// The key of a request and its window; `None` if the class's keys are not registered or the request has
    /// none.
    fn key_of(&self, request: &QueryRequest) -> Option<(IdempotencyKey, Micros)> {
        let window = self.windows.get(request.class).copied().flatten()?;
        let name = |names: &[String], i: usize| names.get(i).cloned().unwrap_or_default();
        let (tenant, class) =
            (name(&self.names.tenants, request.tenant), name(&self.names.classes, request.class));
        // A name that a header can carry contains no zero byte, so the pair is unambiguous.
        let owner = format!("{tenant}\0{class}").into();
        Some((IdempotencyKey { text: request.idempotency_key.clone()?, owner }, window))
    }

    /// Removes and returns the queries that have ended since the last call.
    pub(crate) fn take_ended(&mut self) -> Vec<QueryId> {
        std::mem::take(&mut self.ended)
    }

    /// The flag that tells whether the client of a query still waits; `None` if the query has ended.
    pub(crate) fn presence(&self, query: QueryId) -> Option<&Rc<Presence>> {
        self.pending.get(&query).map(|pending| pending.client.presence())
    }

    /// The status by which a query that lacks connections is judged; `None` if it has ended.
    pub(crate) fn status(&self, query: QueryId) -> Option<QueryStatus> {
        let pending = self.pending.get(&query)?;
        let PendingQuery { any_sent, omitted_weight, .. } = *pending;
        Some(QueryStatus { class: pending.request.class, any_sent, omitted_weight })
    }

    /// The weight of a part in its query's answer; 0 if the query has ended.
    pub(crate) fn weight(&self, query: QueryId, part: usize) -> f64 {
        let part = self.pending.get(&query).and_then(|pending| pending.request.parts.get(part));
        part.map_or(0.0, |part| part.weight)
    }

    /// Records that a part is omitted from the answer.
    pub(crate) fn omit_part(&mut self, query: QueryId, part: usize) {
        let weight = self.weight(query, part);
        if let Some(pending) = self.pending.get_mut(&query) {
            pending.omitted_weight += weight;
        }
    }

    /// The name of a class; empty for an unknown index.
    pub(crate) fn class_name(&self, class: usize) -> &str {
        self.names.classes.get(class).map_or("", String::as_str)
    }

    /// Number of open queries.
    pub(crate) fn len(&self) -> usize {
        self.pending.len()
    }

    /// Renders all metrics as text.
    pub(crate) fn render_metrics(&self, census: &Gauges) -> String {
        self.counters.render(census)
    }

    /// Whether no query is open.
    pub(crate) fn is_empty(&self) -> bool {
        self.pending.is_empty()
    }

    /// Refuses a query at once, while the broker ramps up after a restart.
    pub(crate) fn refuse(&mut self, request: &QueryRequest, client: &Client) {
        let class_counter = self.class_counters[request.class];
        self.counters.count_accepted(class_counter);
        self.counters.count_ended(class_counter, QueryResult::Declined);
        client.answer(Reply::Refused { retry_after: self.max_retry_after });
    }

    /// Admits a query and returns it for the decision module, or answers it at once and returns `None`.
    pub(crate) fn admit(
        &mut self,
        now: Micros,
        id: QueryId,
        connection: ConnectionId,
        request: QueryRequest,
        client: Client,
        siblings: OtherProcesses<'_>,
    ) -> Option<Query> {
        self.release_ids(now);
        let class_counter = self.class_counters[request.class];
        let keyed = self.key_of(&request);
        let counters = &mut self.counters;
        let mut answer_at_once = |reply| {
            if let Some(end) = end_of(&reply) {
                counters.count_accepted(class_counter);
                counters.count_ended(class_counter, end);
            }
            client.answer(reply);
            None
        };
        // Data servers know parts by the request's id: the parts of two requests with one id could not be
        // told apart.
        if self.ids.contains(&request.id) || siblings.0.is_some_and(|n| n.has_open_query(&request.id)) {
            let why = "X-Request-Id is that of a request in hand".to_owned();
            return answer_at_once(Reply::Bad { status: 400, why });
        }
        let units = units(&request);
        if !self.shares.try_acquire(connection, units) {
            info!(name: "share_full", connection, held = self.shares.in_use());
            return answer_at_once(Reply::Refused { retry_after: self.max_retry_after });
        }
        let mut permit =
            match self.limiter.admit_with_siblings(now, &request.limits, request.tenant, |owner| {
                siblings.0.map_or(0, |n| n.open_queries_of(owner))
            }) {
                Ok(permit) => permit,
                Err(refused) => {
                    self.shares.release(connection, units);
                    info!(
                        name: "limit_reached", limit = refused.limit, section = %refused.owner,
                        tenant = request.tenant, shared = refused.shared
                    );
                    let retry_after = self.max_retry_after.map(|max| max.min(refused.retry_after));
                    return answer_at_once(Reply::Refused { retry_after });
                }
            };
        let deadline = now + request.client_timeout;
        if let Some((key, window)) = &keyed {
            let shards = request.parts.iter().map(|p| p.shard);
            // A process of which nothing is known may be sending parts of this key.
            let verdict = match siblings.keyed(now) {
                KeyedSend::Wait(until) => Verdict::Busy(until.min(deadline)),
                KeyedSend::Allowed => self.key_register.open(now, key, shards, deadline, *window),
            };
            if verdict != Verdict::Serve {
                self.shares.release(connection, units);
                self.limiter.release(std::mem::take(&mut permit));
                info!(name: "key_repeated", connection, id = %request.id, verdict = ?verdict);
            }
            match verdict {
                Verdict::Serve => {}
                Verdict::Busy(until) | Verdict::Taken(until) => {
                    let wait = until.saturating_sub(now);
                    return answer_at_once(Reply::Refused {
                        retry_after: self.max_retry_after.map(|max| max.min(wait)),
                    });
                }
                Verdict::Over => return answer_at_once(Reply::Failed),
            }
        }
        let query = Query {
            id,
            class: request.class,
            tenant: request.tenant,
            deadline,
            limits: request.limits.clone(),
            is_retry: request.is_retry,
            parts: request.parts.clone(),
        };
        let span = debug_span!("query", query = id, connection, id = %request.id);
        span.in_scope(|| debug!(name: "query_taken", class = request.class, parts = request.parts.len()));
        if let Some(messages) = &mut self.messages {
            messages.push(query_opened(&request, &permit));
            let event = KeyEvent::Opened { until: deadline };
            messages.extend(
                keyed.iter().map(|(key, window)| key_message(key, Some(*window), event, self.origin)),
            );
        }
        self.ids.open(request.id.clone());
        let values = vec![None; request.parts.len()];
        self.counters.count_accepted(class_counter);
        let (any_sent, omitted_weight) = (false, 0.0);
        let pending = PendingQuery {
            class_counter,
            connection,
            deadline,
            permit,
            request,
            key: keyed,
            client,
            values,
            any_sent,
            omitted_weight,
            span,
        };
        self.pending.insert(id, pending);
        Some(query)
    }

    /// Ends a query whose client has gone. Does nothing if the query has already ended.
    pub(crate) fn client_gone(&mut self, now: Micros, query: QueryId) {
        let Some(pending) = self.close(now, query, QueryResult::Aborted) else { return };
        pending.span.in_scope(|| debug!(name: "query_gone", query));
    }

    /// Whether a part of this query may have run, and must not run again for another request with its id. Repeats of a request with a
    /// key are the key register's matter.
    fn must_not_run_again(&self, pending: &PendingQuery) -> bool {
        let repeats_take_effect = self.windows.get(pending.request.class).is_some_and(Option::is_some);
        pending.any_sent && pending.key.is_none() && repeats_take_effect
    }

    /// Keeps an id in use, here and at the other processes of this broker.
    fn keep_id(&mut self, id: Rc<str>, until: Micros) {
        if let Some(messages) = &mut self.messages {
            messages.push(id_kept(&id));
        }
        if let Some(released) = self.ids.keep_ended(id, until) {
            self.report_released(&released);
        }
    }

    /// Releases the ids of ended requests whose clients' time is up.
    fn release_ids(&mut self, now: Micros) {
        while let Some(released) = self.ids.release(now) {
            self.report_released(&released);
        }
    }

    fn report_released(&mut self, id: &str) {
        if let Some(messages) = &mut self.messages {
            messages.push(Message::Closed { id: id.to_owned() });
        }
    }

    /// Ends a query with its one reply.
    pub(crate) fn finish(&mut self, now: Micros, query: QueryId, reply: impl FnOnce(Values) -> Reply) {
        let Some(pending) = self.pending.get_mut(&query) else { return };
        let values = std::mem::take(&mut pending.values);
        let shards = pending.request.parts.iter().map(|p| p.shard);
        let reply = reply(shards.zip(values).filter_map(|(shard, v)| Some((shard, v?))).collect());
        let end = end_of(&reply).unwrap_or(QueryResult::Aborted);
        let Some(pending) = self.close(now, query, end) else { return };
        pending.span.in_scope(|| debug!(name: "query_ended", reply = ?std::mem::discriminant(&reply)));
        pending.client.answer(reply);
    }

    /// Removes a query and releases what it used. Every query ends here.
    fn close(&mut self, now: Micros, query: QueryId, end: QueryResult) -> Option<PendingQuery> {
        let mut pending = self.pending.remove(&query)?;
        self.ended.push(query);
        self.counters.count_ended(pending.class_counter, end);
        self.limiter.release(std::mem::take(&mut pending.permit));
        if let Some(messages) = &mut self.messages {
            messages.push(Message::Closed { id: pending.request.id.as_ref().to_owned() });
            let event = KeyEvent::Closed { answered: end == QueryResult::Succeeded };
            let closed = |(key, window): &(IdempotencyKey, Micros)| {
                key_message(key, Some(*window), event, self.origin)
            };
            messages.extend(pending.key.as_ref().map(closed));
        }
        self.ids.close(&pending.request.id);
        if end != QueryResult::Declined && self.must_not_run_again(&pending) {
            self.keep_id(pending.request.id.clone(), pending.deadline);
        }
        self.shares.release(pending.connection, pending.units());
        if let Some((key, _)) = &pending.key {
            self.key_register.close(now, key, end == QueryResult::Succeeded);
        }
        Some(pending)
    }

    /// Completes a dispatch with everything that its frame needs, and registers it if the query has a key.
    pub(crate) fn prepare(&mut self, now: Micros, dispatch: Dispatch) -> Result<DispatchedAttempt, Withheld> {
        let pending = self.pending.get_mut(&dispatch.attempt.query).ok_or(Withheld::QueryEnded)?;
        pending.any_sent = true;
        let part = pending.request.parts.get(dispatch.attempt.part).ok_or(Withheld::QueryEnded)?;
        let mut write_deadline = Micros::MAX;
        if let Some((key, window)) = &pending.key {
            if !self.key_register.may_send(now, key, part.shard) {
                return Err(Withheld::Repeat);
            }
            write_deadline = self.key_register.window_end(key, part.shard).unwrap_or(write_deadline);
            if let Some(messages) = &mut self.messages {
                let event = KeyEvent::Sent { shard: part.shard, at: now, until: dispatch.deadline };
                messages.push(key_message(key, Some(*window), event, self.origin));
            }
            self.key_register.attempt_sent(now, key, part.shard, dispatch.deadline);
            self.keyed.insert(dispatch.attempt, (key.clone(), *window, part.shard));
        }
        pending.span.in_scope(|| {
            debug!(
                name: "part_sent", shard = part.shard, attempt = dispatch.attempt.attempt,
                server = %dispatch.server.0
            )
        });
        Ok(DispatchedAttempt {
            attempt: dispatch.attempt,
            server: dispatch.server,
            deadline: dispatch.deadline,
            write_deadline,
            part: PartId { request: pending.request.id.clone(), shard: part.shard },
            key: pending.request.idempotency_key.clone(),
            text: pending.request.predicate.clone(),
            client: pending.client.presence().clone(),
        })
    }

    /// Records the end of an attempt, and keeps its value with its query.
    pub(crate) fn attempt_ended(&mut self, now: Micros, ended: &mut EndedAttempt) {
        if let Some((key, window, shard)) = self.keyed.remove(&ended.attempt) {
            let proof = match ended.outcome {
                Outcome::Served | Outcome::Error => Proof::Ran,
                Outcome::Full | Outcome::NoConnection | Outcome::NotSent => Proof::NeverRan,
                Outcome::TimedOut | Outcome::ConnectionLost | Outcome::Cancelled => Proof::MayRun,
            };
            if let Some(messages) = &mut self.messages {
                messages.push(key_message(
                    &key,
                    Some(window),
                    KeyEvent::Ended { shard, at: now, proof },
                    self.origin,
                ));
            }
            self.key_register.attempt_ended(now, &key, shard, proof);
        }
        let Some(pending) = self.pending.get_mut(&ended.attempt.query) else { return };
        pending.span.in_scope(|| {
            let AttemptId { part, attempt, .. } = ended.attempt;
            debug!(name: "part_ended", part, attempt, outcome = ?ended.outcome);
        });
        if let Some(value) = pending.values.get_mut(ended.attempt.part)
            && ended.outcome == Outcome::Served
        {
            *value = ended.value.take();
        }
    }
}

/// Shard and value of each part that was received.
pub(crate) type Values = Vec<(usize, String)>;

#[cfg(test)]
mod tests;
