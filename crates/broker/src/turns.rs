//! The turn loop: takes what the sockets brought, asks the decisions, and carries them out.
//!
//! Of what an operator may leave out it knows the seam alone, [`crate::parts`].

use crate::doors::Doors;
use crate::inbox::{Client, Inbox, Input, look_at};
use crate::list::List;
use crate::parts::{Entry, Parts, Told, View, Want};
use crate::queries::{Beside, Held, Queries, quarantine};
use crate::reload::{Files, Fresh};
use crate::room::{Given, Room};
use crate::upstream::{Ended, Send, Upstream};
use async_io::Timer;
use brookbend::refusals::Refusals;
use futures_lite::FutureExt;
use futures_lite::future::yield_now;
use plover_admission::{Connection, OwnTime, Turn};
use plover_core::{Core, Decisions, Dispatch, Final, Query, Report, Verdict};
use plover_discovery::{Discovery, Times};
use plover_handover::{Keyed, Neighbours};
use plover_model::query::{Ask, AttemptId, QueryId, Reply};
use plover_model::server::{ListScope, Outcome, Targets};
use plover_model::time::{Micros, millis};
use plover_ops::{Call, Census, Ending};
use plover_pacing::Pacing;
use plover_query::BINDS;
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
    pub(crate) list: List,
    /// How descriptors are divided.
    pub(crate) room: Room,
    /// The turn's dispatches: they go out together at its end.
    pub(crate) dispatches: BTreeMap<AttemptId, Dispatch>,
    pub(crate) ended: Vec<Ended>,
    /// Queries that an optional part makes wait for the next turn.
    pub(crate) put_off: Vec<Asked>,
    /// Refusals on arrival that the log has told of.
    pub(crate) refusals_logged: u64,
    /// How long this thread has been busy, and what that comes to for a part.
    pub(crate) busy: Rc<BusyTime>,
    pub(crate) accounted: Accounted,
    /// What the operator may leave out, so far as it is on.
    pub(crate) parts: Parts,
}

/// What the thread's time until a turn's end was spent on.
#[derive(Debug, Default)]
pub(crate) struct Accounted {
    own: OwnTime,
    /// The thread's busy time, and connections dialled, by the end of the last turn.
    busy: Micros,
    dialled: u64,
}

/// A query as it comes out of the inbox.
type Asked = (QueryId, Connection, Ask, Client);

impl Broker {
    /// Begins with the list as it is remembered; what is on may have to be waited for.
    pub(crate) fn start(&mut self, scope: ListScope, known: &Targets) {
        self.learn(self.clock.now(), scope, known);
        let wants = self.parts.told(self.clock.now(), Told::Start);
        self.carry_wants(self.clock.now(), wants);
    }

    /// One turn after another, until the program is to end and has nothing left to do.
    pub(crate) async fn turns(&mut self) {
        loop {
            let now = self.clock.now();
            let own = &self.accounted.own;
            self.core.set_overhead(own.part(), own.turn(), self.busy.total());
            let (sent, ended) = self.turn(now).await;
            self.account(sent, ended);
            let superseded = self.parts.beside().is_some_and(Neighbours::has_newer);
            if self.doors.turn(now, superseded, self.inbox.asked()).await && self.queries.is_empty() {
                return;
            }
            let ended = (self.upstream.has_ended() || !self.ended.is_empty()).then_some(now);
            let put_off = (!self.put_off.is_empty()).then_some(now);
            let doors = self.doors.due(now + self.tick);
            let view = View { core: &self.core, queries: &self.queries, rev: self.list.rev };
            let parts = self.parts.due(now, view);
            let room = self.room.due(now);
            let due = [Some(self.core.due()), Some(self.upstream.due()), doors, ended, put_off, parts, room];
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
            let in_hand = self.queries.len() + self.inbox.asks();
            let awaited = self.upstream.out().saturating_sub(self.inbox.ends());
            let next = self.pacing.earliest(now, in_hand, awaited);
            if self.clock.now() >= next {
                break;
            }
            let time = async {
                Timer::at(self.clock.instant(next)).await;
            };
            if !self.pacing.heeds_news() {
                self.upstream.hold(true);
                time.await;
                return self.upstream.hold(false);
            }
            self.inbox.further().or(time).await;
        }
        // What else the sockets hold by now comes along.
        yield_now().await;
    }

    /// Learns what this thread needs.
    fn account(&mut self, sent: usize, ended: usize) {
        let (total, dials) = (self.busy.total(), self.upstream.dialled());
        let Accounted { own, busy, dialled } = &mut self.accounted;
        let dialled_now = *dialled != dials || self.upstream.is_dialling();
        own.observe(Turn { busy: total - *busy, sent, ended, dialled: dialled_now });
        (*busy, *dialled) = (total, dials);
    }

    /// One turn. So many attempts were sent, and so many have ended.
    async fn turn(&mut self, now: Micros) -> (usize, usize) {
        let view = View { core: &self.core, queries: &self.queries, rev: self.list.rev };
        let wants = self.parts.told(now, Told::Begin(view));
        self.carry_wants(now, wants);
        let mut asks = std::mem::take(&mut self.put_off);
        let mut calls = Vec::new();
        for input in self.inbox.take() {
            match input {
                Input::Ask(id, connection, ask, client) => asks.push((id, connection, ask, client)),
                Input::Gone(id) => {
                    asks.retain(|(ask, ..): &Asked| *ask != id);
                    self.core.leave(id);
                    self.queries.gone(now, id);
                }
                Input::Line(id, event) => self.upstream.hear(now, id, event),
                Input::Targets(targets) => {
                    self.learn(now, targets.scope(), &targets);
                    if targets.all {
                        let wants = self.parts.told(now, Told::List);
                        self.carry_wants(now, wants);
                    }
                }
                Input::Reload => self.reload(now),
                Input::Terminate => self.terminate(now),
                // Its part has heard it above.
                Input::Part => {}
                Input::Operator(call, answer) => calls.push((call, answer)),
            }
        }
        let view = View { core: &self.core, queries: &self.queries, rev: self.list.rev };
        let wants = self.parts.told(now, Told::Heard(view));
        self.carry_wants(now, wants);
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
        for query in self.queries.take_over() {
            self.upstream.take_back(now, query);
        }
        self.upstream.sweep(now);
        for (call, answer) in calls {
            // A caller that has gone needs none.
            let _ = answer.try_send(self.operate(now, call));
        }
        (sent, ended)
    }

    /// Does what optional parts want done.
    fn carry_wants(&mut self, now: Micros, wants: Vec<Want>) {
        self.queries.mirror(self.parts.notes());
        for want in wants {
            match want {
                Want::Remember(recall) => {
                    let told = self.parts.told(now, Told::TakenOver);
                    self.carry_wants(now, told);
                    // The list that is known at the start waits for the first turn; this is about its servers.
                    let decisions = self.core.tick(now);
                    self.carry_out(now, decisions);
                    self.core.restore(now, 0, &recall);
                    self.list.drain(now, &recall, &mut self.core, &mut self.upstream);
                }
                Want::Hear(word) => self.queries.hear(now, word),
                Want::Copies(copies) => {
                    self.core.set_copies(copies);
                    self.queries.set_copies(copies);
                    self.room.set_copies(copies);
                    self.room.share_out(now, 0, &self.doors.fronts, &mut self.upstream);
                }
                Want::Open => self.doors.open(self.parts.shut().is_some()),
            }
        }
    }

    /// Clients that are connected are served for as long as that can be over before the process is ended.
    fn terminate(&mut self, now: Micros) {
        let ending = Ending::of(self.core.longest_wait(now));
        let superseded = self.parts.beside().is_some_and(Neighbours::has_newer);
        let ending = Ending { stay: if superseded { 0 } else { ending.stay }, ..ending };
        if self.doors.terminate(now, ending, self.queries.len()) {
            self.core.answer_by(now + ending.answer);
        }
    }

    /// Takes queries up, so far as all parts let them in.
    fn admit(&mut self, now: Micros, asks: Vec<Asked>) -> Vec<Query> {
        self.core.set_elsewhere(self.parts.beside().map_or(0, Neighbours::units));
        let mut queries = Vec::new();
        for (id, connection, ask, client) in asks {
            match self.parts.entry(now, &ask) {
                Entry::Refused => self.queries.turn_away(&ask, &client),
                Entry::Later => self.put_off.push((id, connection, ask, client)),
                Entry::In => {
                    let beside = Beside(self.parts.beside());
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
        look_at(&clients).await;
        for id in asked {
            if self.queries.presence(id).is_some_and(|client| !client.waits()) {
                self.core.leave(id);
                self.queries.gone(now, id);
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
            let class = self.queries.sight(query).map(|sight| sight.class);
            let retry_after = class.and_then(|class| self.core.advice(class));
            self.core.leave(query);
            self.finish(now, query, Verdict::Refuse { retry_after });
        }
        let go = fitted.go.into_iter();
        let mut sends: Vec<Vec<Send>> =
            go.map(|of| of.into_iter().filter_map(|d| self.send(now, d)).collect()).collect();
        let words = self.queries.take_words();
        let wants = self.parts.told(now, Told::Decided(&words));
        self.carry_wants(now, wants);
        if self.parts.beside().is_some_and(|beside| beside.keyed(now) != Keyed::May) {
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
            self.parts.count(&mut census);
            self.queries.figures(&census)
        };
        self.doors.operate(now, call, self.parts.shut(), self.queries.len(), figures)
    }

    fn learn(&mut self, now: Micros, scope: ListScope, targets: &Targets) {
        self.list.learn(now, scope, targets, &mut self.core, &mut self.upstream);
    }

    /// Goes by other settings, each part of the program for itself.
    fn reload(&mut self, now: Micros) {
        let Some(Fresh { config, limits, placed }) = self.files.reread(now, &self.core) else { return };
        self.doors.fronts.set_limits(limits);
        let given = Given::new(config.descriptors, config.clients, config.pool.sockets, &limits);
        self.room.retune(given, &placed.settings, &placed.names, config.max_open);
        self.tick = millis(config.settings.tick);
        self.pacing = self.files.pacing(&config.settings);
        self.list.zones.clone_from(&placed.names.zones);
        self.queries.retune(&placed.settings, &placed.names, config.max_open);
        self.queries.forget_tenants(&placed.tenants_begun);
        let quarantine = quarantine(&placed.settings);
        let wants = self.parts.told(now, Told::Retuned { quarantine });
        self.carry_wants(now, wants);
        self.core.reconfigure(&placed, config.max_open, now + BINDS);
        self.upstream.set_limits(config.pool);
        self.doors.fronts.change(now, self.files.terms(&placed.settings, &placed.names));
        info!(name: "reloaded", discovery = %config.discovery, classes = config.names.classes.join(","));
        self.discovery.move_to(config.discovery, Times::within(millis(config.settings.list_deadline)));
    }

    /// What ended since the last turn, for the decisions; the values stay here, with their queries.
    fn take_reports(&mut self, now: Micros) -> Vec<Report> {
        let mut ended = std::mem::take(&mut self.ended);
        ended.extend(self.upstream.take_ended(now));
        let report = |mut e: Ended| {
            self.queries.ended(now, &mut e);
            Report {
                attempt: e.attempt,
                outcome: e.outcome,
                elapsed: e.elapsed,
                load: e.load,
                connected: e.connected,
            }
        };
        ended.into_iter().map(report).collect()
    }

    fn carry_out(&mut self, now: Micros, decisions: Decisions) {
        if decisions.no_room > 0 {
            warn!(name: "no_room", queries = decisions.no_room, held = self.core.held());
        }
        if decisions.overdue > 0 {
            warn!(name: "overdue", queries = decisions.overdue);
        }
        self.tell_refusals();
        for attempt in decisions.give_up {
            if self.dispatches.remove(&attempt).is_some() {
                // Called off in the turn that asked for it.
                self.ended.push(never_sent(attempt));
            } else {
                self.upstream.give_up(now, attempt);
            }
        }
        for Final { query, verdict } in decisions.finals {
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
        let wants = self.parts.told(now, Told::Ended { in_time: matches!(verdict, Verdict::Answer { .. }) });
        self.carry_wants(now, wants);
        self.queries.finish(now, query, |values| match verdict {
            Verdict::Refuse { retry_after } => Reply::Refused { retry_after },
            Verdict::Fail => Reply::Failed,
            Verdict::Answer { whole } => Reply::Answer { whole, values },
        });
    }

    /// A dispatch with all that its frame needs. `None`: it does not go out.
    fn send(&mut self, now: Micros, d: Dispatch) -> Option<Send> {
        let attempt = d.attempt;
        match self.queries.outgoing(now, d) {
            Ok(send) => return Some(send),
            Err(Held::Over) => {}
            Err(Held::Repeat) => {
                // An earlier query of its key may have run this part: this one can be neither served nor refused.
                self.core.leave(attempt.query);
                self.queries.finish(now, attempt.query, |_| Reply::Failed);
            }
        }
        self.ended.push(never_sent(attempt));
        None
    }
}

fn never_sent(attempt: AttemptId) -> Ended {
    Ended { attempt, outcome: Outcome::NotSent, elapsed: 0, load: None, connected: None, value: None }
}
