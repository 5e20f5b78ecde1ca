//! One proxy: its stream, and what it makes of what comes.

use crate::state::{State, Update};
use crate::wire::{Ask, Connection, Told};
use envoy_types::pb::envoy::config::core::v3::Node;
use plover_xds::{Kind, Variant};
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::{Duration, Instant};
use tokio::sync::watch;
use tokio::task::JoinHandle;
use tonic::Status;
use tonic::transport::{Channel, Endpoint};

/// Resources whose time is over are looked for so often.
const LOOK: Duration = Duration::from_millis(20);

/// In whose manner it asks.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Style {
    /// All clusters, their endpoints, and routes by name.
    Envoy,
    /// A listener by name, and what that leads to.
    Grpc,
}

/// How it behaves.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Behaviour {
    /// As it should.
    Usual,
    /// It takes what comes, and says nothing of it.
    NeverAcknowledges,
    /// It refuses everything.
    RefusesAll,
}

/// What it is.
#[derive(Clone, Debug)]
pub struct Options {
    /// Its name.
    pub node: String,
    /// The variant that it speaks.
    pub variant: Variant,
    /// Its manner.
    pub style: Style,
    /// Its behaviour.
    pub behaviour: Behaviour,
    /// Name of the listener and routes that it asks for.
    pub name: String,
    /// Whether updates are kept.
    pub keeps_updates: bool,
}

impl Options {
    /// One of this name that behaves as it should.
    pub fn new(node: impl Into<String>, variant: Variant, style: Style) -> Options {
        Options {
            node: node.into(),
            variant,
            style,
            behaviour: Behaviour::Usual,
            name: "ploverport".to_owned(),
            keeps_updates: true,
        }
    }
}

/// A proxy with its stream. Dropped, the stream breaks.
pub struct Proxy {
    state: Arc<Mutex<State>>,
    changed: watch::Receiver<u64>,
    stalled: watch::Sender<bool>,
    task: JoinHandle<Status>,
}

impl Proxy {
    /// Connects, holding what it held before.
    pub async fn connect(to: SocketAddr, options: Options, held: State) -> Result<Proxy, Status> {
        let endpoint =
            Endpoint::from_shared(format!("http://{to}")).map_err(|e| Status::internal(e.to_string()))?;
        let endpoint = endpoint.initial_stream_window_size(Some(1 << 20)).tcp_nodelay(true);
        let channel = endpoint.connect().await.map_err(|e| Status::unavailable(e.to_string()))?;
        Proxy::over(channel, options, held).await
    }

    /// The same over a connection that there is already.
    pub async fn over(channel: Channel, options: Options, held: State) -> Result<Proxy, Status> {
        let (change, changed) = watch::channel(0);
        let (stalled, stalls) = watch::channel(false);
        let state = Arc::new(Mutex::new(held));
        let run = Run { options, state: state.clone(), change, stalls, asked: BTreeMap::new(), first: true };
        let task = tokio::spawn(async move { run.run(channel).await });
        Ok(Proxy { state, changed, stalled, task })
    }

    /// What it holds.
    pub fn state<T>(&self, read: impl FnOnce(&State) -> T) -> T {
        read(&self.state.lock().unwrap_or_else(PoisonError::into_inner))
    }

    /// Where that lies, for whoever sends by it.
    pub fn shared(&self) -> Arc<Mutex<State>> {
        self.state.clone()
    }

    /// Stops reading, or goes on.
    pub fn stall(&self, stalled: bool) {
        self.stalled.send_replace(stalled);
    }

    /// Waits until what it holds is as wanted; false: it is not in time.
    pub async fn until(&self, within: Duration, wanted: impl Fn(&State) -> bool) -> bool {
        let mut changed = self.changed.clone();
        let all = async {
            loop {
                changed.borrow_and_update();
                if self.state(&wanted) {
                    return;
                }
                if changed.changed().await.is_err() {
                    // Its stream has ended: nothing changes any more but by time.
                    tokio::time::sleep(LOOK).await;
                }
            }
        };
        tokio::time::timeout(within, all).await.is_ok()
    }

    /// Breaks the stream; what it held stays.
    pub fn disconnect(self) -> State {
        self.task.abort();
        let state = self.state.lock().unwrap_or_else(PoisonError::into_inner);
        State { updates: Vec::new(), ..state.clone() }
    }

    /// Waits for the stream's end, and says why it ended.
    pub async fn ended(&mut self) -> Option<Status> {
        (&mut self.task).await.ok()
    }
}

impl Drop for Proxy {
    fn drop(&mut self) {
        self.task.abort();
    }
}

struct Run {
    options: Options,
    state: Arc<Mutex<State>>,
    change: watch::Sender<u64>,
    stalls: watch::Receiver<bool>,
    /// The names that were asked for, and the last response's nonce and version.
    asked: BTreeMap<Kind, (BTreeSet<String>, String, String)>,
    first: bool,
}

impl Run {
    async fn run(mut self, channel: Channel) -> Status {
        match self.serve(channel).await {
            Ok(()) => Status::ok("the stream has ended"),
            Err(status) => status,
        }
    }

    async fn serve(&mut self, channel: Channel) -> Result<(), Status> {
        let mut connection = Connection::open(channel, self.options.variant).await?;
        // What it held before is asked for at once, all of it; the rest follows from what comes.
        for kind in Kind::ALL {
            self.subscribe(&connection, kind).await?;
        }
        let mut look = tokio::time::interval(LOOK);
        loop {
            let stalled = *self.stalls.borrow_and_update();
            tokio::select! {
                changed = self.stalls.changed() => if changed.is_err() { return Ok(()) },
                _ = look.tick() => if self.locked(|state| state.expire(Instant::now())) {
                    self.change.send_modify(|n| *n += 1);
                },
                told = connection.next(), if !stalled => {
                    let Some(told) = told? else { return Ok(()) };
                    self.take(&connection, told).await?;
                }
            }
        }
    }

    fn locked<T>(&self, change: impl FnOnce(&mut State) -> T) -> T {
        change(&mut self.state.lock().unwrap_or_else(PoisonError::into_inner))
    }

    /// The names that it wants of a kind by what it holds; none for all.
    fn wanted(&self, kind: Kind) -> BTreeSet<String> {
        let own = BTreeSet::from([self.options.name.clone()]);
        self.locked(|state| match (kind, self.options.style) {
            (Kind::Cluster, Style::Envoy) => BTreeSet::new(),
            (Kind::Cluster, Style::Grpc) => state.pointed_at(),
            (Kind::Endpoints, _) => state.kind(Kind::Cluster).map(|(name, _)| name.clone()).collect(),
            (Kind::Listener, Style::Grpc) | (Kind::Route, Style::Envoy) => own,
            (Kind::Listener, Style::Envoy) => BTreeSet::new(),
            (Kind::Route, Style::Grpc) => state.asked_routes(),
        })
    }

    fn node(&mut self) -> Option<Node> {
        // Said once a stream is enough.
        std::mem::take(&mut self.first).then(|| Node {
            id: self.options.node.clone(),
            user_agent_name: match self.options.style {
                Style::Envoy => "envoy".to_owned(),
                Style::Grpc => "gRPC Go".to_owned(),
            },
            client_features: vec!["xds.config.resource-in-sotw".to_owned()],
            ..Node::default()
        })
    }

    /// Asks for a kind for the first time on this stream, or for other names than before.
    async fn subscribe(&mut self, connection: &Connection, kind: Kind) -> Result<(), Status> {
        let wanted = self.wanted(kind);
        let first = !self.asked.contains_key(&kind);
        let all = kind == Kind::Cluster && self.options.style == Style::Envoy;
        let (before, nonce, version) = self.asked.get(&kind).cloned().unwrap_or_default();
        if (first && wanted.is_empty() && !all) || (!first && wanted == before) {
            return Ok(());
        }
        let mut ask = Ask { type_url: kind.type_url().to_owned(), nonce, version, ..Ask::default() };
        match self.options.variant {
            Variant::Sotw => ask.names = wanted.iter().cloned().collect(),
            Variant::Delta => {
                ask.nonce = String::new();
                ask.subscribe = wanted.difference(&before).cloned().collect();
                ask.unsubscribe = before.difference(&wanted).cloned().collect();
                if first {
                    ask.initial = self.locked(|state| {
                        state.kind(kind).map(|(name, held)| (name.clone(), held.version.clone())).collect()
                    });
                }
            }
        }
        let (_, nonce, version) = self.asked.remove(&kind).unwrap_or_default();
        self.asked.insert(kind, (wanted, nonce, version));
        let node = self.node();
        connection.ask(node, ask).await
    }

    async fn take(&mut self, connection: &Connection, told: Told) -> Result<(), Status> {
        let (kind, nonce, version) = (told.kind, told.nonce.clone(), told.version.clone());
        let refuses = self.options.behaviour == Behaviour::RefusesAll;
        if refuses {
            self.locked(|state| state.refused += 1);
        } else {
            self.apply(told);
        }
        self.change.send_modify(|n| *n += 1);
        if self.options.behaviour != Behaviour::NeverAcknowledges {
            let names = self.asked.get(&kind).map(|(names, ..)| names.clone()).unwrap_or_default();
            let error = refuses.then(|| "refused by the script".to_owned());
            let mut ask =
                Ask { type_url: kind.type_url().to_owned(), nonce: nonce.clone(), error, ..Ask::default() };
            if self.options.variant == Variant::Sotw {
                ask.names = names.into_iter().collect();
                // What it holds, not what it refuses.
                ask.version = if refuses { String::new() } else { version.clone() };
            }
            if let Some(asked) = self.asked.get_mut(&kind) {
                (asked.1, asked.2) = (nonce, version);
            }
            connection.ask(None, ask).await?;
        }
        let next = match (kind, self.options.style) {
            (Kind::Cluster, _) => Some(Kind::Endpoints),
            (Kind::Listener, Style::Grpc) => Some(Kind::Route),
            (Kind::Route, Style::Grpc) => Some(Kind::Cluster),
            _ => None,
        };
        match next {
            Some(next) => self.subscribe(connection, next).await,
            None => Ok(()),
        }
    }

    fn apply(&self, told: Told) {
        let whole = self.options.variant == Variant::Sotw && told.kind.is_whole();
        let keeps = self.options.keeps_updates;
        self.locked(|state| {
            let held = state.held.entry(told.kind).or_default();
            if whole {
                held.clear();
            }
            let names = told.resources.iter().map(|(name, _)| name.clone()).collect();
            held.extend(told.resources);
            told.removed.iter().for_each(|name| drop(held.remove(name)));
            if told.kind == Kind::Cluster {
                let clusters: BTreeSet<String> = held.keys().cloned().collect();
                state.held.entry(Kind::Endpoints).or_default().retain(|name, _| clusters.contains(name));
            }
            let (at, length) = (Instant::now(), told.length);
            if !keeps {
                state.updates.clear();
            }
            state.updates.push(Update { at, kind: told.kind, names, removed: told.removed, length });
        });
    }
}
