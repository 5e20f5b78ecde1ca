//! The broker's event loop: takes what the sockets received, asks the decision module and carries out its
//! decisions.
//!
//! The loop reaches the optional components only through [`crate::extensions`].

use crate::doors::Doors;
use crate::extensions::{Action, Admission, Extensions, TurnEvent, View};
use crate::inbox::{Client, Inbox, Input, refresh_presence};
use crate::queries::{OtherProcesses, Queries, Withheld, quarantine};
use crate::reload::{Files, Fresh};
use crate::room::{Given, Room};
use crate::server_list::ServerList;
use crate::upstream::{DispatchedAttempt, EndedAttempt, Upstream};
use async_io::Timer;
use brookbend::refusals::Refusals;
use futures_lite::FutureExt;
use futures_lite::future::yield_now;
use plover_admission::{ConnectionId, OverheadEstimator, Turn};
use plover_core::{Completion, Core, Decisions, Dispatch, Query, Report, Verdict};
use plover_discovery::{Discovery, Times};
use plover_handover::{KeyedSend, Siblings};
use plover_model::query::{AttemptId, QueryId, QueryRequest, Reply};
use plover_model::server::{ListScope, Outcome, Targets};
use plover_model::time::{Micros, millis};
use plover_ops::{Call, Gauges, ShutdownTimes};
use plover_pacing::Pacing;
use plover_query::SETTINGS_EFFECTIVE_AFTER;
use plover_runtime::busy::BusyTime;
use plover_runtime::clock::Clock;
use std::collections::BTreeMap;
use std::rc::Rc;
use tracing::{debug, info, warn};

/// One broker with all its state.
pub(crate) struct Broker {
    pub(crate) clock: Clock,
    /// Least time between two turns that are begun because something is due.
    pub(crate) tick: Micros,
    pub(crate) pacing: Pacing,
    pub(crate) files: Files,
    pub(crate) core: Core,
    pub(crate) upstream: Upstream,
    pub(crate) discovery: Discovery,
    pub(crate) inbox: Rc<Inbox>,
    pub(crate) doors: Doors,
    pub(crate) queries: Queries,
    pub(crate) server_list: ServerList,
    /// Divides descriptors between clients and data servers.
    pub(crate) room: Room,
    /// The dispatches of the current turn, which are sent together at its end.
    pub(crate) dispatches: BTreeMap<AttemptId, Dispatch>,
    /// Attempts that were never sent and are reported in the next turn.
    pub(crate) ended: Vec<EndedAttempt>,
    /// Queries that an extension defers to the next turn.
    pub(crate) deferred: Vec<ArrivedQuery>,
    /// Number of refusals on arrival that were logged.
    pub(crate) refusals_logged: u64,
    /// How long this thread has been busy.
    pub(crate) busy: Rc<BusyTime>,
    pub(crate) overhead: OverheadAccounting,
    /// When new settings were last read on SIGHUP; `None` if they never were.
    pub(crate) reloaded_at: Option<Micros>,
    /// Whether another process of this broker may know of configurations that it does not report.
    pub(crate) has_unknown_configurations: bool,
    /// The optional components that are switched on.
    pub(crate) extensions: Extensions,
}

/// The broker's overhead for parts and turns, learned from the thread's busy time at the end of each turn.
#[derive(Debug, Default)]
pub(crate) struct OverheadAccounting {
    estimator: OverheadEstimator,
    /// The thread's busy time at the end of the last turn.
    last_busy: Micros,
    /// Number of connections dialled by the end of the last turn.
    last_dials: u64,
}

/// A query as it is taken from the inbox.
type ArrivedQuery = (QueryId, ConnectionId, QueryRequest, Client);

impl Broker {
    /// Applies the stored list of servers and starts the extensions, which may block for a bounded time.
    pub(crate) fn start(&mut self, scope: ListScope, known: &Targets) {
        self.apply_list(self.clock.now(), scope, known);
        self.publish_configurations(self.clock.now(), false);
        let actions = self.extensions.notify(self.clock.now(), TurnEvent::Start);
        self.perform(self.clock.now(), actions);
    }

    /// Runs turns until the process is to end and no query is open.
    pub(crate) async fn run(&mut self) {
        loop {
            let now = self.clock.now();
            let estimator = &self.overhead.estimator;
            self.core.set_overhead(estimator.per_part(), estimator.per_turn(), self.busy.total());
            let (sent, ended) = self.turn(now).await;
            self.account(sent, ended);
            let superseded = self.extensions.siblings().is_some_and(Siblings::has_newer);
            if self.doors.turn(now, superseded, self.inbox.next_query_id()).await && self.queries.is_empty() {
                return;
            }
            let ended = (self.upstream.has_ended() || !self.ended.is_empty()).then_some(now);
            let deferred = (!self.deferred.is_empty()).then_some(now);
            let doors = self.doors.due(now + self.tick);
            let view = View { core: &self.core, queries: &self.queries, rev: self.server_list.rev };
            let extensions = self.extensions.due(now, view);
            let room = self.room.due(now);
            let due = [
                Some(self.core.next_tick_at()),
                Some(self.upstream.due()),
                doors,
                ended,
                deferred,
                extensions,
                room,
            ];
            let due = due.into_iter().flatten().min().unwrap_or(Micros::MAX);
            self.wait_for_next_turn(now, due).await;
        }
    }

    /// Waits for the next turn. The wait ends when something arrives in the inbox or at the time `due`, which
    /// is limited to at least one tick and at most 1000 s after `now`. After that, the pacing decides for how
    /// long further inputs are gathered. Reading from data servers is paused meanwhile unless the pacing is
    /// adaptive.
    async fn wait_for_next_turn(&self, now: Micros, due: Micros) {
        let due = due.clamp(now + self.tick, now + 1_000_000_000);
        let timer = async {
            Timer::at(self.clock.instant(due)).await;
        };
        self.inbox.wait().or(timer).await;
        loop {
            let open_queries = self.queries.len() + self.inbox.pending_queries();
            let awaited = self.upstream.in_flight().saturating_sub(self.inbox.pending_answers());
            let next = self.pacing.next_turn_at(now, open_queries, awaited);
            if self.clock.now() >= next {
                break;
            }
            let time = async {
                Timer::at(self.clock.instant(next)).await;
            };
            if !self.pacing.is_adaptive() {
                self.upstream.pause_reads(true);
                time.await;
                return self.upstream.pause_reads(false);
            }
            self.inbox.wait_for_more().or(time).await;
        }
        // Lets the other tasks read what the sockets hold by now, so that this turn includes it.
        yield_now().await;
    }

    /// Updates the estimate of the broker's overhead after a turn.
    fn account(&mut self, sent: usize, ended: usize) {
        let (total, dials) = (self.busy.total(), self.upstream.dial_count());
        let OverheadAccounting { estimator, last_busy, last_dials } = &mut self.overhead;
        let dialled = *last_dials != dials || self.upstream.is_dialling();
        estimator.observe(Turn { busy: total - *last_busy, sent, ended, dialled });
        (*last_busy, *last_dials) = (total, dials);
    }

    /// Runs one turn. Returns the number of attempts to be sent, including those that are withheld at the end
    /// of the turn, and the number of attempts that ended.
    async fn turn(&mut self, now: Micros) -> (usize, usize) {
        let view = View { core: &self.core, queries: &self.queries, rev: self.server_list.rev };
        let actions = self.extensions.notify(now, TurnEvent::TurnStart(view));
        self.perform(now, actions);
        let mut arrived = std::mem::take(&mut self.deferred);
        let mut calls = Vec::new();
        for input in self.inbox.take() {
            match input {
                Input::Query(id, connection, request, client) => {
                    arrived.push((id, connection, request, client))
                }
                Input::ClientGone(id) => {
                    arrived.retain(|(query, ..): &ArrivedQuery| *query != id);
                    self.core.client_gone(id);
                    self.queries.client_gone(now, id);
                }
                Input::Connection(id, event) => self.upstream.handle_event(now, id, event),
                Input::Targets(targets) => {
                    self.apply_list(now, targets.scope(), &targets);
                    if targets.all {
                        let actions = self.extensions.notify(now, TurnEvent::WholeList);
                        self.perform(now, actions);
                    }
                }
                Input::Reload => {
                    let taken = self.reload(now, true);
                    self.files.count(taken);
                }
                Input::Terminate => self.terminate(now),
                // The extension has handled it at the start of the turn.
                Input::Extension => {}
                Input::Operator(call, answer) => calls.push((call, answer)),
            }
        }
        let view = View { core: &self.core, queries: &self.queries, rev: self.server_list.rev };
        let actions = self.extensions.notify(now, TurnEvent::InputTaken(view));
        self.perform(now, actions);
        let reports = self.take_reports(now);
        let ended = reports.len();
        let decisions = self.core.report(now, reports);
        self.carry_out(now, decisions);
        let queries = self.admit(now, arrived);
        let decisions = self.core.pick(now, queries);
        self.carry_out(now, decisions);
        let decisions = self.core.tick(now);
        self.carry_out(now, decisions);
        self.end_abandoned_queries(now).await;
        let sent = self.dispatches.len();
        self.send_all(now);
        for query in self.queries.take_ended() {
            self.upstream.withdraw_query(now, query);
        }
        self.upstream.sweep(now);
        for (call, answer) in calls {
            // The caller may have gone.
            let _ = answer.try_send(self.operate(now, call));
        }
        (sent, ended)
    }

    /// Performs the actions that extensions requested.
    pub(crate) fn perform(&mut self, now: Micros, actions: Vec<Action>) {
        self.queries.record_updates(self.extensions.wants_updates());
        for action in actions {
            match action {
                Action::Restore(snapshot) => {
                    let actions = self.extensions.notify(now, TurnEvent::StateReceived);
                    self.perform(now, actions);
                    // The list applied at the start takes effect with a tick, and the snapshot refers to its
                    // servers.
                    let decisions = self.core.tick(now);
                    self.carry_out(now, decisions);
                    self.core.restore(now, 0, &snapshot);
                    self.server_list.apply_drains(now, &snapshot, &mut self.core, &mut self.upstream);
                    if snapshot.rev >= self.server_list.rev {
                        let drained = snapshot.servers.iter().filter(|server| server.draining_or_gone);
                        self.discovery.hold(snapshot.rev, drained.map(|server| server.name.as_str()));
                    }
                }
                Action::ApplyUpdate(word) => self.queries.apply_update(now, word),
                Action::AdoptConfigurations { link, older, report } => {
                    self.adopt_configurations(now, link, older, &report);
                }
                Action::SetOlderProcess(alive) => self.core.set_older_process(now, alive),
                Action::SetUnknownConfigurations(unknown) => self.set_unknown_configurations(now, unknown),
                Action::SetProcessCount(processes) => {
                    if processes == 1 {
                        self.doors.fronts.terms().others_ended(now);
                    }
                    self.core.set_process_count(processes);
                    self.queries.set_process_count(processes);
                    self.room.set_copies(processes);
                    self.room.share_out(now, 0, &self.doors.fronts, &mut self.upstream);
                }
                Action::RecheckReadiness => self.doors.open(self.extensions.not_ready_reason().is_some()),
            }
        }
    }

    /// Starts the shutdown. Connected clients are served for as long as their requests can still be answered
    /// before the process is killed. There is no grace period if a newer process of this broker serves.
    fn terminate(&mut self, now: Micros) {
        let ending = ShutdownTimes::for_client_timeout(self.core.max_client_timeout(now));
        let superseded = self.extensions.siblings().is_some_and(Siblings::has_newer);
        let ending =
            ShutdownTimes { grace_period: if superseded { 0 } else { ending.grace_period }, ..ending };
        if self.doors.terminate(now, ending, self.queries.len()) {
            self.core.finish_by(now + ending.answer_by);
        }
    }

    /// Admits the queries that all extensions admit, and returns them for the decision module.
    fn admit(&mut self, now: Micros, arrived: Vec<ArrivedQuery>) -> Vec<Query> {
        self.core.set_sibling_units(self.extensions.siblings().map_or(0, Siblings::open_units));
        let mut queries = Vec::new();
        for (id, connection, request, client) in arrived {
            match self.extensions.admit(now, &request) {
                Admission::Refused => self.queries.refuse(&request, &client),
                Admission::Deferred => self.deferred.push((id, connection, request, client)),
                Admission::Admitted => {
                    let siblings = OtherProcesses(self.extensions.siblings());
                    queries.extend(self.queries.admit(now, id, connection, request, client, siblings));
                }
            }
        }
        queries
    }

    /// Ends the queries for which this turn is to send parts but whose clients have gone since the inbox was
    /// taken. The clients' tasks run on this thread too, and those that became ready with this turn may not
    /// have run yet.
    async fn end_abandoned_queries(&mut self, now: Micros) {
        let mut dispatched: Vec<QueryId> = self.dispatches.keys().map(|attempt| attempt.query).collect();
        dispatched.dedup();
        let clients: Vec<_> =
            dispatched.iter().filter_map(|id| self.queries.presence(*id)).cloned().collect();
        refresh_presence(&clients).await;
        for id in dispatched {
            if self.queries.presence(id).is_some_and(|client| !client.is_waiting()) {
                self.core.client_gone(id);
                self.queries.client_gone(now, id);
            }
        }
    }

    /// Sends the turn's dispatches for which there are connections. Refuses the queries that cannot be served
    /// without more connections and of which no part was prepared for sending in an earlier turn. A part
    /// under a key is not sent unless this process knows everything that the other processes of this broker
    /// have sent, and they know everything that it has sent.
    fn send_all(&mut self, now: Micros) {
        let dispatches = std::mem::take(&mut self.dispatches);
        self.room.share_out(now, dispatches.len(), &self.doors.fronts, &mut self.upstream);
        let fitted = self.room.fit(now, dispatches, &mut self.queries, &mut self.core, &self.upstream);
        self.ended.extend(fitted.never.into_iter().map(never_sent));
        for query in fitted.refused {
            let class = self.queries.status(query).map(|status| status.class);
            let retry_after = class.and_then(|class| self.core.retry_after_when_full(class));
            self.core.client_gone(query);
            self.finish(now, query, Verdict::Refuse { retry_after });
        }
        let groups = fitted.go.into_iter();
        let mut sends: Vec<Vec<DispatchedAttempt>> =
            groups.map(|group| group.into_iter().filter_map(|d| self.prepare(now, d)).collect()).collect();
        let messages = self.queries.take_updates();
        let actions = self.extensions.notify(now, TurnEvent::Decided(&messages));
        self.perform(now, actions);
        if self.extensions.siblings().is_some_and(|siblings| siblings.keyed_send(now) != KeyedSend::Allowed) {
            let withheld = sends.iter_mut().flat_map(|group| group.extract_if(.., |send| send.key.is_some()));
            self.ended.extend(withheld.map(|send| never_sent(send.attempt)));
        }
        sends.into_iter().for_each(|group| self.upstream.dispatch(now, group));
    }

    /// Answers a call of an operator with a status code and a text.
    fn operate(&mut self, now: Micros, call: Call) -> (u16, String) {
        let metrics = || {
            let (discovered, ejected) = self.core.server_counts(now);
            let mut census = Gauges {
                forwards: self.upstream.forwards(),
                discovered,
                ejected,
                reloads_applied: self.files.taken,
                reloads_rejected: self.files.turned_down,
                recovery_phase: None,
                connection_shortages: None,
            };
            let (refused, in_part) = (self.room.refused, self.room.in_part);
            census.connection_shortages = (refused + in_part > 0).then_some((refused, in_part));
            self.extensions.report_gauges(&mut census);
            self.queries.render_metrics(&census)
        };
        self.doors.operate(now, call, self.extensions.not_ready_reason(), self.queries.len(), metrics)
    }

    /// Applies a server list or changes to it.
    fn apply_list(&mut self, now: Micros, scope: ListScope, targets: &Targets) {
        self.server_list.apply(now, scope, targets, &mut self.core, &mut self.upstream);
    }

    /// Reads the configuration again and applies it to each component. `is_told` is whether this process was
    /// signalled to, and not another one. Returns whether the configuration was valid.
    pub(crate) fn reload(&mut self, now: Micros, is_told: bool) -> bool {
        let Some(Fresh { config, limits, placed }) = self.files.reread(now, &self.core) else { return false };
        self.doors.fronts.set_limits(limits);
        let given = Given::new(config.descriptors, config.clients, config.pool.max_connections, &limits);
        self.room.retune(given, &placed.settings, &placed.names, config.max_open);
        self.tick = millis(config.settings.tick);
        self.pacing = self.files.pacing(&config.settings);
        self.server_list.zones.clone_from(&placed.names.zones);
        self.queries.reconfigure(&placed.settings, &placed.names, config.max_open);
        self.queries.reset_tenants(&placed.new_tenants);
        let quarantine = quarantine(&placed.settings);
        let actions = self.extensions.notify(now, TurnEvent::Reconfigured { quarantine });
        self.perform(now, actions);
        self.core.reconfigure(&placed, config.max_open, now + SETTINGS_EFFECTIVE_AFTER);
        self.upstream.set_limits(config.pool);
        let terms = self.files.terms(&placed.settings, &placed.names);
        let previous = self.doors.fronts.change(now, terms, is_told);
        let classes = config.names.classes.join(",");
        info!(name: "reloaded", discovery = %config.discovery, classes, previous);
        self.discovery.move_to(config.discovery, Times::within(millis(config.settings.list_deadline)));
        self.assume_strictest_classes(now);
        self.reloaded_at = Some(now);
        self.publish_configurations(now, true);
        true
    }

    /// Reports for the attempts that ended since the last turn. Their values stay with their queries and are
    /// not reported.
    fn take_reports(&mut self, now: Micros) -> Vec<Report> {
        let mut ended = std::mem::take(&mut self.ended);
        ended.extend(self.upstream.take_ended(now));
        let report = |mut attempt: EndedAttempt| {
            self.queries.attempt_ended(now, &mut attempt);
            Report {
                attempt: attempt.attempt,
                outcome: attempt.outcome,
                elapsed: attempt.elapsed,
                load: attempt.load,
                connected_at: attempt.connected_at,
            }
        };
        ended.into_iter().map(report).collect()
    }

    /// Carries out decisions: cancels attempts, ends queries and collects dispatches for the end of the turn.
    fn carry_out(&mut self, now: Micros, decisions: Decisions) {
        if decisions.refused_full > 0 {
            warn!(name: "no_room", queries = decisions.refused_full, held = self.core.units_in_use());
        }
        if decisions.overdue > 0 {
            warn!(name: "overdue", queries = decisions.overdue);
        }
        self.log_refusals();
        for attempt in decisions.cancel {
            if self.dispatches.remove(&attempt).is_some() {
                // Cancelled in the turn that dispatched it.
                self.ended.push(never_sent(attempt));
            } else {
                self.upstream.cancel(now, attempt);
            }
        }
        for Completion { query, verdict } in decisions.completions {
            self.finish(now, query, verdict);
        }
        self.dispatches.extend(decisions.dispatches.into_iter().map(|d| (d.attempt, d)));
    }

    /// Logs the counts of refusals on arrival if they have grown, with the terms of the newest refusal.
    fn log_refusals(&mut self) {
        let refusals = self.core.refusals();
        let logged = std::mem::replace(&mut self.refusals_logged, refusals.total());
        let Refusals { past_aim, mean, slowest, overhead, lag, newest, probes } = refusals;
        if let Some(newest) = newest.filter(|_| logged < refusals.total()) {
            debug!(
                name: "refused_on_arrival", past_aim, mean, slowest, own = overhead, lag, probes,
                class = newest.class.0, mean_ms = newest.mean, slowest_ms = newest.slowest,
                own_ms = newest.overhead, lag_ms = newest.lag, allowed_ms = newest.allowed
            );
        }
    }

    /// Answers a query as the decision module decided.
    fn finish(&mut self, now: Micros, query: QueryId, verdict: Verdict) {
        let actions = self
            .extensions
            .notify(now, TurnEvent::QueryEnded { answered: matches!(verdict, Verdict::Answer { .. }) });
        self.perform(now, actions);
        self.queries.finish(now, query, |values| match verdict {
            Verdict::Refuse { retry_after } => Reply::Refused { retry_after },
            Verdict::Fail => Reply::Failed,
            Verdict::Answer { whole } => Reply::Answer { whole, values },
        });
    }

    /// Completes a dispatch with everything that its frame needs; `None` if it is not sent.
    fn prepare(&mut self, now: Micros, dispatch: Dispatch) -> Option<DispatchedAttempt> {
        let attempt = dispatch.attempt;
        match self.queries.prepare(now, dispatch) {
            Ok(dispatched) => return Some(dispatched),
            Err(Withheld::QueryEnded) => {}
            Err(Withheld::Repeat) => {
                // An earlier query with the same key may have run this part, so this query can be neither
                // served nor refused.
                self.core.client_gone(attempt.query);
                self.queries.finish(now, attempt.query, |_| Reply::Failed);
            }
        }
        self.ended.push(never_sent(attempt));
        None
    }
}

/// The end of an attempt that was dispatched by the decision module but never sent.
fn never_sent(attempt: AttemptId) -> EndedAttempt {
    EndedAttempt {
        attempt,
        outcome: Outcome::NotSent,
        elapsed: 0,
        load: None,
        connected_at: None,
        value: None,
    }
}
