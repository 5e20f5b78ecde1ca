//! The turn loop: takes what the sockets brought, asks the decisions, and carries them out.
//!
//! Of what an operator may leave out it knows the seam alone, [`crate::extensions`].

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
use plover_handover::{Keyed, Neighbours};
use plover_model::query::{AttemptId, QueryId, QueryRequest, Reply};
use plover_model::server::{ListScope, Outcome, Targets};
use plover_model::time::{Micros, millis};
use plover_ops::{Call, Census, Ending};
use plover_pacing::Pacing;
use plover_query::SETTINGS_EFFECTIVE_AFTER;
use plover_runtime::busy::BusyTime;
use plover_runtime::clock::Clock;
use std::collections::BTreeMap;
use std::rc::Rc;
use tracing::{debug, info, warn};

/// One broker.
pub(crate) struct Broker {
    pub(crate) clock: Clock,
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
    /// How descriptors are divided.
    pub(crate) room: Room,
    /// The turn's dispatches: they go out together at its end.
    pub(crate) dispatches: BTreeMap<AttemptId, Dispatch>,
    pub(crate) ended: Vec<EndedAttempt>,
    /// Queries that an optional part makes wait for the next turn.
    pub(crate) deferred: Vec<Asked>,
    /// Refusals on arrival that the log has told of.
    pub(crate) refusals_logged: u64,
    /// How long this thread has been busy, and what that comes to for a part.
    pub(crate) busy: Rc<BusyTime>,
    pub(crate) accounted: Accounted,
    /// What the operator may leave out, so far as it is on.
    pub(crate) extensions: Extensions,
}

/// What the thread's time until a turn's end was spent on.
#[derive(Debug, Default)]
pub(crate) struct Accounted {
    own: OverheadEstimator,
    /// The thread's busy time, and connections dialled, by the end of the last turn.
    busy: Micros,
    dialled: u64,
}

/// A query as it comes out of the inbox.
type Asked = (QueryId, ConnectionId, QueryRequest, Client);

impl Broker {
    /// Begins with the list as it is remembered; what is on may have to be waited for.
    pub(crate) fn start(&mut self, scope: ListScope, known: &Targets) {
        self.apply_list(self.clock.now(), scope, known);
        let actions = self.extensions.notify(self.clock.now(), TurnEvent::Start);
        self.carry_wants(self.clock.now(), actions);
    }

    /// One turn after another, until the program is to end and has nothing left to do.
    pub(crate) async fn run(&mut self) {
        loop {
            let now = self.clock.now();
            let own = &self.accounted.own;
            self.core.set_overhead(own.per_part(), own.per_turn(), self.busy.total());
            let (sent, ended) = self.turn(now).await;
            self.account(sent, ended);
            let superseded = self.extensions.siblings().is_some_and(Neighbours::has_newer);
            if self.doors.turn(now, superseded, self.inbox.next_query_id()).await && self.queries.is_empty() {
                return;
            }
            let ended = (self.upstream.has_ended() || !self.ended.is_empty()).then_some(now);
            let deferred = (!self.deferred.is_empty()).then_some(now);
            let doors = self.doors.due(now + self.tick);
            let view = View { core: &self.core, queries: &self.queries, rev: self.server_list.rev };
            let parts = self.extensions.due(now, view);
            let room = self.room.due(now);
            let due = [
                Some(self.core.next_tick_at()),
                Some(self.upstream.due()),
                doors,
                ended,
                deferred,
                parts,
                room,
            ];
            let due = due.into_iter().flatten().min().unwrap_or(Micros::MAX);
            self.pause(now, due).await;
        }
    }

    /// Waits for the next turn: for something to happen or the next moment that is due. What is due keeps a tick's
    /// distance; for what happened, the pacing says how long to gather.
    async fn pause(&self, now: Micros, due: Micros) {
        let due = due.clamp(now + self.tick, now + 1_000_000_000);
        let timer = async {
            Timer::at(self.clock.instant(due)).await;
        };
        self.inbox.wait().or(timer).await;
        loop {
            let in_hand = self.queries.len() + self.inbox.pending_queries();
            let awaited = self.upstream.in_flight().saturating_sub(self.inbox.pending_answers());
            let next = self.pacing.next_turn_at(now, in_hand, awaited);
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
        // What else the sockets hold by now comes along.
        yield_now().await;
    }

    /// Learns what this thread needs.
    fn account(&mut self, sent: usize, ended: usize) {
        let (total, dials) = (self.busy.total(), self.upstream.dial_count());
        let Accounted { own, busy, dialled } = &mut self.accounted;
        let dialled_now = *dialled != dials || self.upstream.is_dialling();
        own.observe(Turn { busy: total - *busy, sent, ended, dialled: dialled_now });
        (*busy, *dialled) = (total, dials);
    }

    /// One turn. So many attempts were sent, and so many have ended.
    async fn turn(&mut self, now: Micros) -> (usize, usize) {
        let view = View { core: &self.core, queries: &self.queries, rev: self.server_list.rev };
        let actions = self.extensions.notify(now, TurnEvent::TurnStart(view));
        self.carry_wants(now, actions);
        let mut asks = std::mem::take(&mut self.deferred);
        let mut calls = Vec::new();
        for input in self.inbox.take() {
            match input {
                Input::Query(id, connection, ask, client) => asks.push((id, connection, ask, client)),
                Input::ClientGone(id) => {
                    asks.retain(|(ask, ..): &Asked| *ask != id);
                    self.core.client_gone(id);
                    self.queries.client_gone(now, id);
                }
                Input::Connection(id, event) => self.upstream.handle_event(now, id, event),
                Input::Targets(targets) => {
                    self.apply_list(now, targets.scope(), &targets);
                    if targets.all {
                        let actions = self.extensions.notify(now, TurnEvent::WholeList);
                        self.carry_wants(now, actions);
                    }
                }
                Input::Reload => self.reload(now),
                Input::Terminate => self.terminate(now),
                // Its part has heard it above.
                Input::Extension => {}
                Input::Operator(call, answer) => calls.push((call, answer)),
            }
        }
        let view = View { core: &self.core, queries: &self.queries, rev: self.server_list.rev };
        let actions = self.extensions.notify(now, TurnEvent::InputTaken(view));
        self.carry_wants(now, actions);
        let reports = self.take_reports(now);
        let ended = reports.len();
        let decisions = self.core.report(now, reports);
        self.carry_out(now, decisions);
        let queries = self.admit(now, asks);
        let decisions = self.core.pick(now, queries);
        self.carry_out(now, decisions);
        let decisions = self.core.tick(now);
        self.carry_out(now, decisions);
        self.look_at_clients(now).await;
        let sent = self.dispatches.len();
        self.send_all(now);
        for query in self.queries.take_ended() {
            self.upstream.withdraw_query(now, query);
        }
        self.upstream.sweep(now);
        for (call, answer) in calls {
            // A caller that has gone needs none.
            let _ = answer.try_send(self.operate(now, call));
        }
        (sent, ended)
    }

    /// Does what optional parts want done.
    fn carry_wants(&mut self, now: Micros, actions: Vec<Action>) {
        self.queries.record_updates(self.extensions.wants_updates());
        for want in actions {
            match want {
                Action::Restore(recall) => {
                    let told = self.extensions.notify(now, TurnEvent::StateReceived);
                    self.carry_wants(now, told);
                    // The list that is known at the start waits for the first turn; this is about its servers.
                    let decisions = self.core.tick(now);
                    self.carry_out(now, decisions);
                    self.core.restore(now, 0, &recall);
                    self.server_list.apply_drains(now, &recall, &mut self.core, &mut self.upstream);
                }
                Action::ApplyUpdate(word) => self.queries.apply_update(now, word),
                Action::SetProcessCount(copies) => {
                    self.core.set_process_count(copies);
                    self.queries.set_process_count(copies);
                    self.room.set_copies(copies);
                    self.room.share_out(now, 0, &self.doors.fronts, &mut self.upstream);
                }
                Action::RecheckReadiness => self.doors.open(self.extensions.not_ready_reason().is_some()),
            }
        }
    }

    /// Clients that are connected are served for as long as that can be over before the process is ended.
    fn terminate(&mut self, now: Micros) {
        let ending = Ending::of(self.core.max_client_timeout(now));
        let superseded = self.extensions.siblings().is_some_and(Neighbours::has_newer);
        let ending = Ending { stay: if superseded { 0 } else { ending.stay }, ..ending };
        if self.doors.terminate(now, ending, self.queries.len()) {
            self.core.finish_by(now + ending.answer);
        }
    }

    /// Takes queries up, so far as all parts let them in.
    fn admit(&mut self, now: Micros, asks: Vec<Asked>) -> Vec<Query> {
        self.core.set_sibling_units(self.extensions.siblings().map_or(0, Neighbours::units));
        let mut queries = Vec::new();
        for (id, connection, ask, client) in asks {
            match self.extensions.admit(now, &ask) {
                Admission::Refused => self.queries.refuse(&ask, &client),
                Admission::Deferred => self.deferred.push((id, connection, ask, client)),
                Admission::Admitted => {
                    let beside = OtherProcesses(self.extensions.siblings());
                    queries.extend(self.queries.admit(now, id, connection, ask, client, beside));
                }
            }
        }
        queries
    }

    /// Ends the queries that the turn would send something for, and whose clients have gone since it began or were not yet
    /// read: their tasks run on this thread too, and those that the system woke with this turn may not have had theirs.
    async fn look_at_clients(&mut self, now: Micros) {
        let mut asked: Vec<QueryId> = self.dispatches.keys().map(|attempt| attempt.query).collect();
        asked.dedup();
        let clients: Vec<_> = asked.iter().filter_map(|id| self.queries.presence(*id)).cloned().collect();
        refresh_presence(&clients).await;
        for id in asked {
            if self.queries.presence(id).is_some_and(|client| !client.is_waiting()) {
                self.core.client_gone(id);
                self.queries.client_gone(now, id);
            }
        }
    }

    /// Sends what the turn has decided to. A part of a key of which other processes of this broker may not know is held.
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
        let go = fitted.go.into_iter();
        let mut sends: Vec<Vec<DispatchedAttempt>> =
            go.map(|of| of.into_iter().filter_map(|d| self.send(now, d)).collect()).collect();
        let words = self.queries.take_updates();
        let actions = self.extensions.notify(now, TurnEvent::Decided(&words));
        self.carry_wants(now, actions);
        if self.extensions.siblings().is_some_and(|beside| beside.keyed(now) != Keyed::May) {
            let held = sends.iter_mut().flat_map(|of| of.extract_if(.., |send| send.key.is_some()));
            self.ended.extend(held.map(|send| never_sent(send.attempt)));
        }
        sends.into_iter().for_each(|of| self.upstream.dispatch(now, of));
    }

    fn operate(&mut self, now: Micros, call: Call) -> (u16, String) {
        let figures = || {
            let (discovered, ejected) = self.core.server_counts(now);
            let mut census = Census {
                forwards: self.upstream.forwards(),
                discovered,
                ejected,
                applied: self.files.taken,
                rejected: self.files.turned_down,
                phase: None,
                short_of_room: None,
            };
            let (refused, in_part) = (self.room.refused, self.room.in_part);
            census.short_of_room = (refused + in_part > 0).then_some((refused, in_part));
            self.extensions.report_gauges(&mut census);
            self.queries.render_metrics(&census)
        };
        self.doors.operate(now, call, self.extensions.not_ready_reason(), self.queries.len(), figures)
    }

    fn apply_list(&mut self, now: Micros, scope: ListScope, targets: &Targets) {
        self.server_list.apply(now, scope, targets, &mut self.core, &mut self.upstream);
    }

    /// Goes by other settings, each part of the program for itself.
    fn reload(&mut self, now: Micros) {
        let Some(Fresh { config, limits, placed }) = self.files.reread(now, &self.core) else { return };
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
        self.carry_wants(now, actions);
        self.core.reconfigure(&placed, config.max_open, now + SETTINGS_EFFECTIVE_AFTER);
        self.upstream.set_limits(config.pool);
        self.doors.fronts.change(now, self.files.terms(&placed.settings, &placed.names));
        info!(name: "reloaded", discovery = %config.discovery, classes = config.names.classes.join(","));
        self.discovery.move_to(config.discovery, Times::within(millis(config.settings.list_deadline)));
    }

    /// What ended since the last turn, for the decisions; the values stay here, with their queries.
    fn take_reports(&mut self, now: Micros) -> Vec<Report> {
        let mut ended = std::mem::take(&mut self.ended);
        ended.extend(self.upstream.take_ended(now));
        let report = |mut e: EndedAttempt| {
            self.queries.attempt_ended(now, &mut e);
            Report {
                attempt: e.attempt,
                outcome: e.outcome,
                elapsed: e.elapsed,
                load: e.load,
                connected_at: e.connected_at,
            }
        };
        ended.into_iter().map(report).collect()
    }

    fn carry_out(&mut self, now: Micros, decisions: Decisions) {
        if decisions.refused_full > 0 {
            warn!(name: "no_room", queries = decisions.refused_full, held = self.core.units_in_use());
        }
        if decisions.overdue > 0 {
            warn!(name: "overdue", queries = decisions.overdue);
        }
        self.tell_refusals();
        for attempt in decisions.cancel {
            if self.dispatches.remove(&attempt).is_some() {
                // Called off in the turn that asked for it.
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

    /// Logs the counts of refusals on arrival where they have grown, with the terms of the newest.
    fn tell_refusals(&mut self) {
        let refusals = self.core.refusals();
        let logged = std::mem::replace(&mut self.refusals_logged, refusals.total());
        let Refusals { past_aim, mean, slowest, overhead: own, lag, newest, probes } = refusals;
        if let Some(newest) = newest.filter(|_| logged < refusals.total()) {
            debug!(
                name: "refused_on_arrival", past_aim, mean, slowest, own, lag, probes, class = newest.class.0,
                mean_ms = newest.mean, slowest_ms = newest.slowest, own_ms = newest.overhead, lag_ms = newest.lag, allowed_ms = newest.allowed
            );
        }
    }

    fn finish(&mut self, now: Micros, query: QueryId, verdict: Verdict) {
        let actions = self
            .extensions
            .notify(now, TurnEvent::QueryEnded { answered: matches!(verdict, Verdict::Answer { .. }) });
        self.carry_wants(now, actions);
        self.queries.finish(now, query, |values| match verdict {
            Verdict::Refuse { retry_after } => Reply::Refused { retry_after },
            Verdict::Fail => Reply::Failed,
            Verdict::Answer { whole } => Reply::Answer { whole, values },
        });
    }

    /// A dispatch with all that its frame needs. `None`: it does not go out.
    fn send(&mut self, now: Micros, d: Dispatch) -> Option<DispatchedAttempt> {
        let attempt = d.attempt;
        match self.queries.prepare(now, d) {
            Ok(send) => return Some(send),
            Err(Withheld::QueryEnded) => {}
            Err(Withheld::Repeat) => {
                // An earlier query of its key may have run this part: this one can be neither served nor refused.
                self.core.client_gone(attempt.query);
                self.queries.finish(now, attempt.query, |_| Reply::Failed);
            }
        }
        self.ended.push(never_sent(attempt));
        None
    }
}

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
