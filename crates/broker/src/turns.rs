//! The turn loop: takes what the sockets brought, asks the decisions, and carries them out.

use crate::coming;
use crate::front::{Fronts, Plan, Shared};
use crate::inbox::{Inbox, Input};
use crate::neighbours::Sockets;
use crate::operator::{Operator, platform};
use crate::queries::{Beside, Held, Queries, quarantine};
use crate::upstream::{Ended, Send, Upstream};
use async_channel::Sender;
use async_executor::LocalExecutor;
use async_io::Timer;
use async_signal::{Signal, Signals};
use brookbend::api::Settings;
use futures_lite::future::yield_now;
use futures_lite::{FutureExt, StreamExt};
use plover_admission::Connection;
use plover_admission::budget::{self, Given, divide};
use plover_config::{self as config, Config, InForce};
use plover_core::{Core, Decisions, Dispatch, Final, Placed, Query, Report, Verdict};
use plover_discovery::{Discovery, Sink, Start, Times};
use plover_handover::wire::Word;
use plover_handover::{Keyed, Neighbours, News};
use plover_model::limits::PoolLimits;
use plover_model::query::{Ask, AttemptId, QueryId, Reply};
use plover_model::recall::Recall;
use plover_model::server::{ListScope, NodeId, NodeState, Outcome, ServerInfo, Targets};
use plover_model::time::{Micros, millis};
use plover_ops::{Call, Census, Effect, Life, Stage};
use plover_pacing::Pacing;
use plover_query::{BINDS, Terms};
use plover_recovery::Coming;
use plover_runtime::clock::Clock;
use plover_runtime::net;
use std::collections::{BTreeMap, BTreeSet};
use std::io;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tracing::{info, warn};

/// How often a process that starts looks whether those before it have spoken.
const SETTLE_STEP: Duration = Duration::from_millis(1);

/// One broker.
pub struct Broker {
    clock: Clock,
    zones: Vec<String>,
    /// What the platform said, and was taken last.
    in_force: InForce,
    tick: Micros,
    pacing: Pacing,
    operator: Operator,
    /// What the platform gives to client connections.
    clients: Given,
    pub(crate) core: Core,
    upstream: Upstream,
    discovery: Discovery,
    inbox: Rc<Inbox>,
    fronts: Fronts,
    queries: Queries,
    /// The turn's dispatches: they go out together at its end.
    dispatches: BTreeMap<AttemptId, Dispatch>,
    ended: Vec<Ended>,
    /// Other processes that are this broker, where there may be any.
    beside: Option<Sockets>,
    copies: u32,
    /// The list's version.
    rev: u64,
    /// Queries that wait until a process that has just come has said who it is.
    put_off: Vec<Asked>,
    pub(crate) life: Life,
    /// Its way back, where that is paced.
    pub(crate) coming: Option<Coming>,
    /// Files taken and turned down at SIGHUP.
    sighup: (u64, u64),
}

/// A query as it comes out of the inbox.
type Asked = (QueryId, Connection, Ask, Sender<Reply>);

/// Catches the signals that the program heeds, from now on.
pub fn signals() -> io::Result<Signals> {
    Signals::new([Signal::Term, Signal::Int, Signal::Hup])
}

/// What the fronts may hold; the error names what does not fit.
fn limits(clients: Given, operator: &Operator) -> io::Result<budget::Fronts> {
    divide(clients, operator.http2()).map_err(io::Error::other)
}

/// Where a broker listens.
#[derive(Clone, Copy, Debug)]
pub struct Addresses {
    /// For clients with HTTP/1.1.
    pub http1: SocketAddr,
    /// For those with HTTP/2.
    pub http2: Option<SocketAddr>,
    /// For operators.
    pub ops: Option<SocketAddr>,
}

/// Runs a broker until it is told to end; `started` is told where it listens.
pub fn run(
    config: Config,
    operator: Operator,
    mut signals: Signals,
    started: impl FnOnce(Addresses),
) -> io::Result<()> {
    let executor = Rc::new(LocalExecutor::new());
    let inbox = Rc::new(Inbox::default());
    let clock = Clock::start();
    let limits = limits(config.clients, &operator)?;
    let listener = match config.inherited {
        Some(fd) => net::inherit(fd, config.listen)?,
        None => net::listen(config.listen, false)?,
    };
    let listen = listener.get_ref().local_addr()?;
    let http2 =
        operator.settings().http2.map(|h| net::listen(h.listen, config.inherited.is_some())).transpose()?;
    let door = config.ops.map(|at| net::listen(at, false)).transpose()?;
    let ops = door.as_ref().map(|l| l.get_ref().local_addr()).transpose()?;
    let listen_http2 = http2.as_ref().map(|l| l.get_ref().local_addr()).transpose()?;
    let (on_signal, on_list) = (inbox.clone(), inbox.clone());
    let list: Sink = Rc::new(move |targets| on_list.put(Input::Targets(targets)));
    executor
        .spawn(async move {
            while let Some(signal) = signals.next().await {
                on_signal.put(if matches!(signal, Ok(Signal::Hup)) {
                    Input::Reload
                } else {
                    Input::Terminate
                });
            }
        })
        .detach();
    let terms = Terms {
        names: config.names.clone(),
        settings: Some(config.settings.clone()),
        routes: operator.routes(&config.names.classes),
    };
    let shared = Shared::new(inbox.clone(), clock, terms);
    let plan = Plan { http1: listener, inherited: config.inherited.is_some(), http2, door, limits };
    let rev = config.known.rev;
    let tick = millis(config.settings.tick);
    let beside = config.hand_over.as_ref().map(|directory| {
        let quarantine = quarantine(&config.settings);
        Sockets::start(directory, &config.name, clock, quarantine, executor.clone(), inbox.clone())
    });
    let come_back = operator.settings().come_back;
    let watch = Start {
        address: config.discovery,
        known: &config.known,
        // What is remembered may be a day old: then the whole list is asked for.
        index: come_back.is_none().then_some(rev),
        seed: config.seed,
        times: Times::within(millis(config.settings.ask_within)),
        budget: come_back.map(|c| coming::budget(c, config.seed)),
    };
    let mut broker = Broker {
        clock,
        zones: config.names.zones.clone(),
        in_force: config.in_force,
        tick,
        pacing: operator.pacing(tick),
        operator,
        clients: config.clients,
        queries: Queries::new(
            &config.settings,
            &config.names.classes,
            config.max_open,
            config.seed,
            clock.shared(0),
        ),
        core: Core::new(config.settings, config.max_open, config.seed).named(&config.names),
        upstream: Upstream::new(executor.clone(), inbox.clone(), config.pool),
        discovery: Discovery::start(executor.clone(), list, watch),
        inbox,
        fronts: Fronts::start(shared, plan, clock, executor.clone()),
        dispatches: BTreeMap::new(),
        ended: Vec::new(),
        beside,
        copies: 1,
        rev,
        put_off: Vec::new(),
        life: Life::Serving,
        coming: come_back.map(|c| coming::begin(clock.now(), c, config.seed)),
        sighup: (0, 0),
    };
    broker.learn(clock.now(), ListScope::Known, &config.known);
    broker.go(Effect::Go(Stage::Serving));
    broker.settle();
    info!(name: "started", name = %config.name, listen = %listen, rev);
    if let (Some(listen), Some(held)) = (listen_http2, limits.http2) {
        let (connections, streams) = (held.connections, held.streams);
        info!(name: "started_http2", listen = %listen, connections, streams);
    }
    if let Some(listen) = ops {
        info!(name: "started_ops", listen = %listen);
    }
    started(Addresses { http1: listen, http2: listen_http2, ops });
    async_io::block_on(executor.run(async {
        broker.turns().await;
    }));
    info!(name: "stopped", name = %config.name);
    Ok(())
}

impl Broker {
    /// One turn after another, until the program is to end and has nothing left to do.
    async fn turns(&mut self) {
        loop {
            let now = self.clock.now();
            self.turn(now);
            if self.life.is_ending() && self.beside.as_ref().is_some_and(|s| s.known.has_newer()) {
                self.fronts.leave_to_next().await;
            }
            let effect = self.life.tick(now);
            self.go(effect);
            if self.life == Life::Gone {
                self.fronts.close().await;
                if self.fronts.open() == 0 && self.queries.is_empty() {
                    return;
                }
            }
            let closing = self.fronts.is_closing().then_some(now + self.tick);
            let ended = (self.upstream.has_ended() || !self.ended.is_empty()).then_some(now);
            let put_off = (!self.put_off.is_empty()).then_some(now);
            let beside = self.beside.as_ref().and_then(|s| s.due(now));
            let core = Some(self.core.due());
            let coming = self.coming.as_ref().and_then(|c| c.due(self.core.census(now).0 > 0));
            let due =
                [core, Some(self.upstream.due()), self.life.due(), closing, ended, put_off, beside, coming];
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
                return time.await;
            }
            self.inbox.further().or(time).await;
        }
        // What else the sockets hold by now comes along.
        yield_now().await;
    }

    fn turn(&mut self, now: Micros) {
        self.hear_neighbours(now);
        let mut asks = std::mem::take(&mut self.put_off);
        let mut calls = Vec::new();
        for input in self.inbox.take() {
            match input {
                Input::Ask(id, connection, ask, reply) => asks.push((id, connection, ask, reply)),
                Input::Gone(id) => {
                    asks.retain(|(ask, ..): &Asked| *ask != id);
                    self.core.leave(id);
                    self.queries.gone(now, id);
                }
                Input::Line(id, event) => self.upstream.hear(now, id, event),
                Input::Targets(targets) => {
                    self.learn(now, targets.scope(), &targets);
                    if let Some(coming) = self.coming.as_mut().filter(|_| targets.all) {
                        coming.list_came();
                    }
                }
                Input::Reload => self.reload(now),
                Input::Terminate => self.terminate(now),
                // Heard above, with all that others had to say.
                Input::Neighbour => {}
                Input::Operator(call, answer) => calls.push((call, answer)),
            }
        }
        self.come_back(now);
        let reports = self.take_reports(now);
        let decisions = self.core.report(now, reports);
        self.carry_out(now, decisions);
        let queries = self.admit(now, asks);
        let decisions = self.core.pick(now, queries);
        self.carry_out(now, decisions);
        let decisions = self.core.tick(now);
        self.carry_out(now, decisions);
        let sends = std::mem::take(&mut self.dispatches);
        let sends = sends.into_values().filter_map(|d| self.send(now, d)).collect();
        let sends = self.tell_neighbours(now, sends);
        self.upstream.dispatch(now, sends);
        self.upstream.sweep(now);
        for (call, answer) in calls {
            // A caller that has gone needs none.
            let _ = answer.try_send(self.operate(now, call));
        }
    }

    /// Takes queries up. One of a keyed class waits where a process that has just come is about to say who it is.
    fn admit(&mut self, now: Micros, asks: Vec<Asked>) -> Vec<Query> {
        let neighbours = self.beside.as_ref().map(|s| &s.known);
        let beside = Beside(neighbours);
        let soon = neighbours.is_some_and(|n| !n.is_settled()) && beside.keyed(now) != Keyed::May;
        self.core.set_elsewhere(neighbours.map_or(0, Neighbours::units));
        let mut queries = Vec::new();
        for (id, connection, ask, reply) in asks {
            if !self.coming.as_mut().is_none_or(Coming::admits) {
                self.queries.turn_away(&ask, &reply);
            } else if soon && ask.key.is_some() {
                self.put_off.push((id, connection, ask, reply));
            } else {
                queries.extend(self.queries.admit(now, id, connection, ask, reply, beside));
            }
        }
        queries
    }

    /// Hears out the processes that are there already, before this one says that it serves.
    fn settle(&mut self) {
        let Some(beside) = &mut self.beside else { return };
        let mut news = Vec::new();
        // What they are owed is told as soon as they have greeted.
        loop {
            let now = self.clock.now();
            news.extend(beside.turn(now));
            for id in beside.owed() {
                beside.known.tell(now, id, &Word::Told);
            }
            beside.flush(now);
            if beside.known.is_settled() {
                break;
            }
            std::thread::sleep(SETTLE_STEP);
        }
        let now = self.clock.now();
        self.take_news(now, news);
    }

    /// Takes what other processes of this broker have said, and tells one that has just come all that is known.
    fn hear_neighbours(&mut self, now: Micros) {
        let Some(beside) = &mut self.beside else { return };
        let news = beside.turn(now);
        let owed = beside.owed();
        self.queries.mirror(beside.has_told());
        if !owed.is_empty() {
            let recall = Word::Recall(Box::new(self.core.recall(now, self.rev)));
            // What was noted before this is part of all that is known.
            let words = [recall].into_iter().chain(self.queries.tell_all()).chain([Word::Told]);
            for word in words {
                owed.iter().for_each(|id| beside.known.tell(now, *id, &word));
            }
            beside.flush(now);
        }
        self.take_news(now, news);
    }

    fn take_news(&mut self, now: Micros, news: Vec<News>) {
        for news in news {
            match news {
                News::Recall(recall) => {
                    // One of its processes serves: it is not coming back, and begins with what that knew.
                    self.coming = None;
                    self.go(Effect::Go(Stage::Serving));
                    self.remember(now, &recall);
                }
                News::Key(word) => self.queries.hear(now, word),
                News::Joined(older) => info!(name: "hand_over_joined", older),
                News::Gone => {}
            }
        }
        let copies = self.beside.as_ref().map_or(1, |s| s.known.copies());
        if std::mem::replace(&mut self.copies, copies) != copies {
            self.core.set_copies(copies);
            self.queries.set_copies(copies);
            self.upstream.set_copies(copies as usize);
            self.fronts.set_copies(copies as usize);
        }
    }

    /// Begins with what the process before this one knew.
    fn remember(&mut self, now: Micros, recall: &Recall) {
        // The list that is known at the start waits for the first turn; this is about its servers.
        let decisions = self.core.tick(now);
        self.carry_out(now, decisions);
        self.core.remember(now, 0, recall);
        if recall.rev < self.rev {
            return;
        }
        let leaves: BTreeSet<&str> =
            recall.servers.iter().filter(|s| s.leaving).map(|s| s.name.as_str()).collect();
        let nowhere = SocketAddr::from(([0, 0, 0, 0], 0));
        let views = self.core.views(now, |_| Some(nowhere)).into_iter();
        let drains = views.filter(|v| v.state == NodeState::Serving && leaves.contains(&*v.name.0));
        let drains: Vec<ServerInfo> = drains
            .map(|v| ServerInfo {
                name: v.name,
                cell: v.cell,
                state: NodeState::Draining,
                zone: v.zone,
                started: None,
            })
            .collect();
        drains.iter().for_each(|s| self.upstream.learn(now, s.name.clone(), None));
        self.core.learn(ListScope::Changes, drains);
    }

    /// Tells other processes of this broker what this turn has done, before its parts go out: a part of a key that they
    /// do not know of by then does not.
    fn tell_neighbours(&mut self, now: Micros, sends: Vec<Send>) -> Vec<Send> {
        let Some(beside) = &mut self.beside else { return sends };
        for word in self.queries.take_words() {
            beside.tell(now, &word);
        }
        beside.flush(now);
        if beside.known.keyed(now) == Keyed::May {
            return sends;
        }
        let (held, sends): (Vec<Send>, Vec<Send>) = sends.into_iter().partition(|s| s.key.is_some());
        self.ended.extend(held.into_iter().map(|s| never_sent(s.attempt)));
        sends
    }

    /// Heeds an operator's call: a status, and a text.
    fn operate(&mut self, now: Micros, call: Call) -> (u16, String) {
        let changed = match call {
            Call::Ready => match &self.coming {
                Some(coming) if self.life.is_ready() && !coming.is_open() => {
                    return (503, format!("coming back: {}", coming.phase().name()));
                }
                _ => return (if self.life.is_ready() { 200 } else { 503 }, self.life.name().to_owned()),
            },
            Call::Telemetry => return (200, self.queries.figures(&self.census(now))),
            Call::Evacuate => self.life.evacuate(now),
            Call::Rejoin => self.life.rejoin(),
        };
        let Ok(effect) = changed else { return (409, "leaving: it is to end".to_owned()) };
        if effect != Effect::None {
            info!(name: "operated", call = ?call, life = self.life.name(), open_queries = self.queries.len());
        }
        self.go(effect);
        (200, self.life.name().to_owned())
    }

    /// What the books do not hold.
    fn census(&self, now: Micros) -> Census {
        let (discovered, ejected) = self.core.census(now);
        let (applied, rejected) = self.sighup;
        let phase = self.coming.as_ref().map(|coming| coming.phase().place());
        Census { forwards: self.upstream.forwards(), discovered, ejected, applied, rejected, phase }
    }

    /// What a change of life asks of the fronts. Those that close their doors wait for what the system has accepted,
    /// which the loop does between two turns.
    pub(crate) fn go(&mut self, effect: Effect) {
        // One that lets nothing in yet is not ready, but what comes all the same is answered.
        let shut = self.coming.as_ref().is_some_and(|coming| !coming.is_open());
        match effect {
            Effect::Go(Stage::Closing) | Effect::None => {}
            Effect::Go(Stage::Serving) if shut => self.fronts.go(Stage::Leaving),
            Effect::Go(stage) => self.fronts.go(stage),
        }
    }

    /// Takes news of the list: the decisions and the pools learn of it in the same turn.
    fn learn(&mut self, now: Micros, scope: ListScope, targets: &Targets) {
        self.rev = targets.rev;
        let servers = targets.servers(&self.zones, |ms| self.clock.of_unix_ms(ms));
        if scope != ListScope::Changes {
            let named: BTreeSet<&NodeId> = servers.iter().map(|s| &s.name).collect();
            for name in self.upstream.serving().iter().filter(|name| !named.contains(name)) {
                self.upstream.learn(now, name.clone(), None);
            }
        }
        for (server, target) in servers.iter().zip(&targets.targets) {
            let endpoint = target.endpoint.filter(|_| server.state == NodeState::Serving);
            self.upstream.learn(now, server.name.clone(), endpoint);
        }
        self.core.learn(scope, servers);
    }

    /// Takes the configuration and the operator's file as they are now: both or none. A file that is missing or
    /// faulty leaves all as it was: a slip of the pen must not end a broker that serves.
    fn reload(&mut self, now: Micros) {
        let read = || -> Result<_, String> {
            let config = config::reread(&self.in_force, config::environment)?;
            let platform = platform(&config);
            let settings = self.operator.reread(&platform)?;
            let mut operator = self.operator.clone();
            operator.adopt_quietly(&settings);
            let limits = divide(self.clients, operator.http2())?;
            let placed = self.core.plan(now, &config.settings, &config.names).map_err(|e| e.to_string())?;
            Ok((config, platform, settings, limits, placed))
        };
        match read() {
            Ok((config, platform, settings, limits, placed)) => {
                self.operator.adopt(&settings, platform);
                self.fronts.set_limits(limits);
                let waits = self.in_force.waits(&config.in_force);
                if !waits.is_empty() {
                    warn!(name: "restart_needed", changed = waits.join(","));
                }
                self.in_force = config.in_force;
                self.retune(now, &config.settings, config.max_open, config.pool, &placed);
                info!(name: "reloaded", discovery = %config.discovery, classes = config.names.classes.join(","));
                let times = Times::within(millis(config.settings.ask_within));
                self.discovery.move_to(config.discovery, times);
                self.sighup.0 += 1;
            }
            Err(error) => {
                self.sighup.1 += 1;
                warn!(name: "reload_failed", error = %error);
            }
        }
    }

    /// Goes by other settings, each part of the program for itself.
    fn retune(&mut self, now: Micros, settings: &Settings, room: usize, pool: PoolLimits, placed: &Placed) {
        self.tick = millis(settings.tick);
        self.pacing = self.operator.pacing(self.tick);
        self.zones.clone_from(&placed.names.zones);
        self.queries.retune(&placed.settings, &placed.names.classes, room);
        self.core.retune(placed, room, now + BINDS);
        self.upstream.set_limits(pool);
        let terms = Terms {
            names: placed.names.clone(),
            settings: Some(placed.settings.clone()),
            routes: self.operator.routes(&placed.names.classes),
        };
        self.fronts.change(now, terms);
    }

    fn terminate(&mut self, now: Micros) {
        let effect = self.life.terminate(now);
        if effect != Effect::None {
            info!(name: "leaving", open_queries = self.queries.len());
        }
        self.go(effect);
    }

    /// What ended since the last turn, for the decisions; the values stay here, with their queries.
    fn take_reports(&mut self, now: Micros) -> Vec<Report> {
        let mut ended = std::mem::take(&mut self.ended);
        ended.extend(self.upstream.take_ended(now));
        let report = |mut e: Ended| {
            self.queries.ended(now, &mut e);
            Report { attempt: e.attempt, outcome: e.outcome, elapsed: e.elapsed, load: e.load }
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

    fn finish(&mut self, now: Micros, query: QueryId, verdict: Verdict) {
        if let Some(coming) = &mut self.coming {
            coming.ended(now, matches!(verdict, Verdict::Answer { .. }));
        }
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
    Ended { attempt, outcome: Outcome::NotSent, elapsed: 0, load: None, value: None }
}
