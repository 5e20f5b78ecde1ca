//! Load by what a proxy was told, to servers that exist only here and keep books of what came.

use crate::state::{Endpoint, State};
use plover_xds::Kind;
use rand::{Rng, RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::{Duration, Instant};

/// Load is sent in steps so far apart.
const STEP: Duration = Duration::from_millis(2);

/// Figures of the servers.
#[derive(Clone, Copy, Debug)]
pub struct Figures {
    /// Work that a warm server does a second, in seconds.
    pub capacity: f64,
    /// Work of a request, in seconds.
    pub work: f64,
    /// Share of its capacity that a server starts with.
    pub from: f64,
    /// Time until it is warm.
    pub warm_after: Duration,
}

#[derive(Debug, Default)]
struct Server {
    started: Option<Instant>,
    drained: Option<Instant>,
    sends: Vec<Instant>,
    /// When it has done all that it was sent.
    free_at: Option<Instant>,
}

/// Emulated servers. Clones are the same.
#[derive(Clone)]
pub struct Servers {
    figures: Figures,
    all: Arc<Mutex<BTreeMap<SocketAddr, Server>>>,
}

/// What came to the servers of the worst kind.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Worst {
    /// The most work sent to a cold server in a second, over what it could do in it.
    pub cold: f64,
    /// The longest time after a drain at which something was still sent.
    pub drain: Duration,
    /// Requests that came to cold servers.
    pub to_cold: usize,
}

impl Servers {
    /// None yet; each is there once something is sent or said.
    pub fn new(figures: Figures) -> Servers {
        Servers { figures, all: Arc::default() }
    }

    fn with<T>(&self, address: SocketAddr, change: impl FnOnce(&mut Server) -> T) -> T {
        let mut all = self.all.lock().unwrap_or_else(PoisonError::into_inner);
        change(all.entry(address).or_default())
    }

    /// It drains from now on.
    pub fn drain(&self, address: SocketAddr) {
        self.with(address, |s| s.drained = Some(Instant::now()));
    }

    /// It starts now, cold.
    pub fn start(&self, address: SocketAddr) {
        let new = Server { started: Some(Instant::now()), ..Server::default() };
        self.with(address, |s| *s = new);
    }

    /// The share of its capacity that a server has so long after its start.
    fn share(&self, age: Duration) -> f64 {
        let f = &self.figures;
        (f.from + (1.0 - f.from) * age.as_secs_f64() / f.warm_after.as_secs_f64()).clamp(f.from, 1.0)
    }

    /// A request comes; when it is done: after what came before, as fast as the server can.
    fn send(&self, address: SocketAddr) -> Instant {
        let now = Instant::now();
        self.with(address, |s| {
            s.sends.push(now);
            let share = s.started.map_or(1.0, |at| self.share(now.saturating_duration_since(at)));
            let takes = Duration::from_secs_f64(self.figures.work / (self.figures.capacity * share));
            let end = s.free_at.map_or(now, |at| at.max(now)) + takes;
            s.free_at = Some(end);
            end
        })
    }

    /// Requests that came to a server.
    pub fn count(&self, address: SocketAddr) -> usize {
        self.with(address, |s| s.sends.len())
    }

    /// The worst that came.
    pub fn worst(&self) -> Worst {
        let second = Duration::from_secs(1);
        let all = self.all.lock().unwrap_or_else(PoisonError::into_inner);
        let mut worst = Worst::default();
        for s in all.values() {
            if let (Some(drained), Some(last)) = (s.drained, s.sends.last()) {
                worst.drain = worst.drain.max(last.saturating_duration_since(drained));
            }
            let Some(started) = s.started else { continue };
            for (n, at) in s.sends.iter().enumerate() {
                let age = at.saturating_duration_since(started);
                if age >= self.figures.warm_after {
                    break;
                }
                worst.to_cold += 1;
                let sent = s.sends[n..].iter().take_while(|t| **t < *at + second).count() as f64;
                let can = self.figures.capacity * self.share(age);
                worst.cold = worst.cold.max(sent * self.figures.work / can);
            }
        }
        worst
    }
}

/// What came of a proxy's load.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Sent {
    /// Requests that a server was sent.
    pub sent: u64,
    /// Requests that were turned away since a cluster had no place, or was not there.
    pub refused: u64,
}

struct Cluster {
    endpoints: Vec<Endpoint>,
    most_out: Option<u32>,
    out: Vec<Instant>,
}

/// What a proxy sends by, decoded once an update.
#[derive(Default)]
struct Table {
    routes: Vec<Vec<(String, u32)>>,
    clusters: BTreeMap<String, Cluster>,
}

impl Table {
    fn read(state: &State, before: &mut Table) -> Table {
        let routes = state.routes().into_iter().map(|(_, clusters)| clusters).collect();
        let mut cluster = |name: &String| {
            let endpoints = state.endpoints(name).unwrap_or_default();
            // What is out there stays out, whatever is told.
            let out = before.clusters.remove(name).map(|c| c.out).unwrap_or_default();
            (name.clone(), Cluster { endpoints, most_out: state.most_out(name), out })
        };
        let clusters = state.kind(Kind::Cluster).map(|(name, _)| cluster(name)).collect();
        Table { routes, clusters }
    }

    /// Sends one request; false: it was turned away.
    fn send(&mut self, rng: &mut impl Rng, servers: &Servers) -> bool {
        if self.routes.is_empty() {
            return false;
        }
        let route = &self.routes[rng.random_range(0..self.routes.len())];
        let total: u32 = route.iter().map(|(_, w)| *w).sum();
        let mut at = rng.random_range(0..total.max(1));
        let chosen = route.iter().find(|(_, weight)| {
            let here = at < *weight;
            at = at.saturating_sub(*weight);
            here
        });
        let Some(cluster) = chosen.and_then(|(name, _)| self.clusters.get_mut(name)) else { return false };
        let now = Instant::now();
        cluster.out.retain(|end| *end > now);
        if cluster.most_out.is_some_and(|most| cluster.out.len() >= most as usize) {
            return false;
        }
        let healthy = || cluster.endpoints.iter().filter(|e| e.healthy);
        let total: u32 = healthy().map(|e| e.weight).sum();
        if total == 0 {
            return false;
        }
        let mut at = rng.random_range(0..total);
        let chosen = healthy().find(|e| {
            let here = at < e.weight;
            at = at.saturating_sub(e.weight);
            here
        });
        let Some(address) = chosen.map(|e| e.address) else { return false };
        let end = servers.send(address);
        cluster.out.push(end);
        true
    }
}

/// Sends so many requests a second by what a proxy holds, until dropped.
pub async fn send(state: Arc<Mutex<State>>, servers: Servers, rate: f64, seed: u64, sent: Arc<Mutex<Sent>>) {
    let mut rng = Pcg64Mcg::seed_from_u64(seed);
    let mut table = Table::default();
    let mut seen: Option<Vec<(Kind, String, String)>> = None;
    let (begun, mut done) = (Instant::now(), 0u64);
    let mut steps = tokio::time::interval(STEP);
    loop {
        steps.tick().await;
        {
            let state = state.lock().unwrap_or_else(PoisonError::into_inner);
            let names = |k: Kind| state.kind(k).map(move |(n, h)| (k, n.clone(), h.version.clone()));
            let now: Vec<_> = Kind::ALL.into_iter().flat_map(names).collect();
            if seen.as_ref() != Some(&now) {
                table = Table::read(&state, &mut table);
                seen = Some(now);
            }
        }
        let due = (begun.elapsed().as_secs_f64() * rate) as u64;
        while done < due {
            done += 1;
            let went = table.send(&mut rng, &servers);
            let mut sent = sent.lock().unwrap_or_else(PoisonError::into_inner);
            sent.sent += u64::from(went);
            sent.refused += u64::from(!went);
        }
    }
}
