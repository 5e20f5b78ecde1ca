//! The start of a broker: what it is made of, and which of its optional parts are on.

use crate::coming::{self, WayBack};
use crate::doors::Doors;
use crate::event_loop::{Broker, OverheadAccounting};
use crate::extensions::Extensions;
use crate::front::{Fronts, Plan, Shared};
use crate::hand_over::HandOver;
use crate::inbox::{Inbox, Input};
use crate::neighbours::Sockets;
use crate::operator::Operator;
use crate::queries::{Queries, quarantine};
use crate::reload::Files;
use crate::room::{Given, Room};
use crate::server_list::ServerList;
use crate::upstream::Upstream;
use async_executor::LocalExecutor;
use async_signal::{Signal, Signals};
use futures_lite::StreamExt;
use plover_config::Config;
use plover_core::Core;
use plover_discovery::{Discovery, Sink, Start, Times};
use plover_model::server::ListScope;
use plover_model::time::millis;
use plover_runtime::busy::BusyTime;
use plover_runtime::clock::Clock;
use plover_runtime::net;
use std::collections::BTreeMap;
use std::io;
use std::net::SocketAddr;
use std::rc::Rc;
use tracing::{info, warn};

/// Catches the signals that the program heeds, from now on.
pub fn signals() -> io::Result<Signals> {
    Signals::new([Signal::Term, Signal::Int, Signal::Hup])
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
    signals: Signals,
    started: impl FnOnce(Addresses),
) -> io::Result<()> {
    let executor = Rc::new(LocalExecutor::new());
    let name = config.name.clone();
    let mut hosted = Hosted::begin(config, operator, executor.clone())?;
    heed(signals, hosted.broker.inbox.clone(), &executor);
    started(hosted.at);
    let busy = hosted.broker.busy.clone();
    async_io::block_on(busy.measure(executor.run(hosted.broker.run())));
    info!(name: "stopped", name = %name);
    Ok(())
}

/// A broker on an executor that it may share with others of the same thread. It heeds no signals: its host tells it.
pub struct Hosted {
    /// Where it listens.
    pub at: Addresses,
    broker: Broker,
}

impl Hosted {
    /// Begins a broker: it listens, and watches the list once the executor runs. The error says what cannot be opened, or
    /// what of the operator's file does not fit.
    pub fn begin(
        config: Config,
        operator: Operator,
        executor: Rc<LocalExecutor<'static>>,
    ) -> io::Result<Self> {
        let (broker, at) = begin(config, operator, executor)?;
        Ok(Hosted { at, broker })
    }

    /// What tells it to end, as SIGTERM tells a broker that is a process of its own.
    pub fn terminate(&self) -> impl Fn() + 'static {
        let inbox = self.broker.inbox.clone();
        move || inbox.put(Input::Terminate)
    }

    /// Its turns, until it is told to end and has nothing left to do.
    pub async fn turns(mut self) {
        self.broker.run().await;
    }
}

/// All that a broker is made of.
fn begin(
    config: Config,
    operator: Operator,
    executor: Rc<LocalExecutor<'static>>,
) -> io::Result<(Broker, Addresses)> {
    let inbox = Rc::new(Inbox::default());
    let clock = Clock::start();
    let busy = Rc::new(BusyTime::new(clock));
    let foreign = config.foreign();
    let files = Files::new(operator, config.in_force, config.clients, foreign);
    let limits = files.limits().map_err(io::Error::other)?;
    let set = files.operator().settings();
    let (http2, come_back) = (set.http2, set.come_back);
    let listener = match config.inherited {
        Some(fd) => net::inherit(fd, config.listen)?,
        None => net::listen(config.listen, false)?,
    };
    let http2 = http2.map(|h| net::listen(h.listen, config.inherited.is_some())).transpose()?;
    let door = config.ops.map(|at| net::listen(at, false)).transpose()?;
    let at = Addresses {
        http1: listener.get_ref().local_addr()?,
        http2: http2.as_ref().map(|l| l.get_ref().local_addr()).transpose()?,
        ops: door.as_ref().map(|l| l.get_ref().local_addr()).transpose()?,
    };
    let on_list = inbox.clone();
    let list: Sink = Rc::new(move |targets| on_list.put(Input::Targets(targets)));
    let (given, most) = (config.sockets, config.descriptors.max);
    if most < given {
        warn!(name: "descriptors_short", given, most);
    }
    let shared = Shared::new(inbox.clone(), clock, files.terms(&config.settings, &config.names));
    let plan = Plan { http1: listener, inherited: config.inherited.is_some(), http2, door, limits };
    let hand_over = config.hand_over.as_ref().map(|directory| {
        let quarantine = quarantine(&config.settings);
        Sockets::start(directory, &config.name, clock, quarantine, executor.clone(), inbox.clone())
    });
    let fronts = Fronts::start(shared, plan, clock, executor.clone());
    let mut extensions = Extensions::default();
    if let Some(set) = come_back {
        extensions.add(WayBack::begin(clock.now(), set, config.seed));
    }
    if let Some(sockets) = hand_over {
        extensions.add(HandOver::new(sockets, clock));
    }
    let rev = config.known.rev;
    let watch = Start {
        address: config.discovery,
        known: &config.known,
        // What is remembered may be a day old: then the whole list is asked for.
        index: come_back.is_none().then_some(rev),
        seed: config.seed,
        times: Times::within(millis(config.settings.list_deadline)),
        budget: come_back.map(|c| coming::budget(c, config.seed)),
    };
    let given = Given::new(config.descriptors, config.clients, config.pool.max_connections, &limits);
    let room = Room::new(given, &config.settings, &config.names, config.max_open);
    let mut broker = Broker {
        clock,
        tick: millis(config.settings.tick),
        pacing: files.pacing(&config.settings),
        files,
        queries: Queries::new(
            &config.settings,
            &config.names,
            config.max_open,
            config.seed,
            clock.machine_time(0),
        ),
        core: Core::new(config.settings, config.max_open, config.seed).with_names(&config.names),
        upstream: Upstream::new(executor.clone(), inbox.clone(), clock, config.pool)?,
        discovery: Discovery::start(executor.clone(), list, watch),
        inbox,
        doors: Doors::new(fronts, extensions.not_ready_reason().is_some()),
        room,
        server_list: ServerList { clock, zones: config.names.zones, rev },
        dispatches: BTreeMap::new(),
        ended: Vec::new(),
        deferred: Vec::new(),
        refusals_logged: 0,
        busy,
        overhead: OverheadAccounting::default(),
        reloaded_at: None,
        has_unknown_configurations: false,
        extensions,
    };
    broker.start(ListScope::Cached, &config.known);
    config.notes.iter().for_each(|note| warn!(name: "settings_noted", note));
    info!(name: "started", name = %config.name, listen = %at.http1, rev);
    if let (Some(listen), Some(held)) = (at.http2, limits.http2) {
        let (connections, streams) = (held.connections, held.streams);
        info!(name: "started_http2", listen = %listen, connections, streams);
    }
    if let Some(listen) = at.ops {
        info!(name: "started_ops", listen = %listen);
    }
    Ok((broker, at))
}

/// Puts signals into the inbox.
fn heed(mut signals: Signals, inbox: Rc<Inbox>, executor: &LocalExecutor<'static>) {
    let told = async move {
        while let Some(signal) = signals.next().await {
            inbox.put(if matches!(signal, Ok(Signal::Hup)) { Input::Reload } else { Input::Terminate });
        }
    };
    executor.spawn(told).detach();
}
