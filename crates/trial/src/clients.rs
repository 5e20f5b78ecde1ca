//! Clients under load: an open loop over all brokers, with kept connections and retries.

use crate::clock::Clock;
use crate::record::{Asked, Event, Seen};
use plover_load::{Answer, Ask, Http1, Idle};
use plover_model::time::{MILLI, Micros};
use rand::rngs::ChaCha8Rng;
use rand::{RngExt, SeedableRng};
use std::net::SocketAddr;
use std::sync::atomic::{AtomicU8, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;
use tokio::task::JoinSet;

/// Whom a front lets through to a broker.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Door {
    /// Nobody.
    Shut = 0,
    /// Clients that have a connection.
    Kept = 1,
    /// All.
    Open = 2,
}

/// One broker, as its clients have it.
pub(crate) struct Entrance {
    /// The relay before it.
    pub(crate) address: SocketAddr,
    door: AtomicU8,
    idle: Mutex<Vec<Kept>>,
}

/// A connection that nothing is asked on.
struct Kept {
    connection: Http1,
    opened: Micros,
    last: String,
}

/// Connections that clients keep to one broker, and queries that are out at once to all.
const KEPT: usize = 8;
const AT_ONCE: usize = 600;
/// A client looks for an answer so long beyond its time.
const LONGER: Duration = Duration::from_millis(1500);
/// With less left of its time a client does not ask again.
const WORTH: Micros = 300 * MILLI;

impl Entrance {
    pub(crate) fn new(address: SocketAddr) -> Self {
        Entrance { address, door: AtomicU8::new(0), idle: Mutex::default() }
    }

    pub(crate) fn set(&self, door: Door) {
        self.door.store(door as u8, Ordering::SeqCst);
    }

    fn idle<T>(&self, act: impl FnOnce(&mut Vec<Kept>) -> T) -> T {
        act(&mut self.idle.lock().unwrap_or_else(PoisonError::into_inner))
    }

    fn lets(&self, door: Door) -> bool {
        self.door.load(Ordering::SeqCst) >= door as u8
    }

    /// Whether a query can go there.
    fn is_open(&self) -> bool {
        self.lets(Door::Open) || self.lets(Door::Kept) && self.idle(|idle| !idle.is_empty())
    }
}

/// The clients of a trial.
pub(crate) struct Clients {
    pub(crate) clock: Clock,
    pub(crate) entrances: Vec<Entrance>,
    pub(crate) shards: usize,
    /// Parts of the widest queries.
    pub(crate) widest: usize,
    /// Queries a second, first tries alone.
    pub(crate) rate: f64,
    /// How long a client waits, at the least and at the most.
    pub(crate) patience: (Micros, Micros),
    pub(crate) seed: u64,
    pub(crate) events: Mutex<Vec<Event>>,
}

/// What a client wants, over all of its tries.
struct Want {
    name: String,
    class: usize,
    shards: Vec<usize>,
    until: Micros,
}

const CLASSES: [&str; 3] = ["lookup", "watchlist-save", "ranking"];
const KEYED: usize = 1;

impl Clients {
    fn saw(&self, seen: Seen) {
        let event = Event { at: self.clock.now(), seen };
        self.events.lock().unwrap_or_else(PoisonError::into_inner).push(event);
    }

    /// Asks for so long, and waits for what is out.
    pub(crate) async fn run(self: Arc<Self>, long: Micros) {
        let mut random = ChaCha8Rng::seed_from_u64(self.seed);
        let mut out = JoinSet::new();
        let mut due = 0.0;
        for n in 0u64.. {
            due += -(1.0 - random.random::<f64>()).ln() / self.rate * 1e6;
            if due as Micros >= long {
                break;
            }
            tokio::time::sleep_until(self.clock.moment(due as Micros).into()).await;
            while out.try_join_next().is_some() {}
            let want = self.want(n, &mut random);
            let (clients, seed) = (self.clone(), random.random());
            if out.len() < AT_ONCE {
                out.spawn(async move { clients.client(want, seed).await });
            }
        }
        while out.join_next().await.is_some() {}
    }

    fn want(&self, n: u64, random: &mut ChaCha8Rng) -> Want {
        let class = random.random_range(0..CLASSES.len());
        let parts = [random.random_range(1..=3), 1, self.widest][class].min(self.shards);
        let first = random.random_range(0..self.shards);
        let shards = (0..parts).map(|p| (first + p) % self.shards).collect();
        let until =
            self.clock.now() + random.random_range(self.patience.0 / MILLI..self.patience.1 / MILLI) * MILLI;
        Want { name: format!("{:04x}{n:06x}", self.seed & 0xffff), class, shards, until }
    }

    /// One client: a try, and one more at another broker where the first was not served.
    async fn client(&self, want: Want, seed: u64) {
        let mut random = ChaCha8Rng::seed_from_u64(seed);
        for n in 0..2 {
            let left = want.until.saturating_sub(self.clock.now());
            let open: Vec<usize> =
                (0..self.entrances.len()).filter(|b| self.entrances[*b].is_open()).collect();
            if open.is_empty() || left < WORTH {
                return;
            }
            let broker = open[random.random_range(0..open.len())];
            if self.one_try(&want, n, broker, left / MILLI * MILLI).await {
                return;
            }
            tokio::time::sleep(Duration::from_millis(random.random_range(5..100))).await;
        }
    }

    /// One try: whether the client has no cause to come again.
    async fn one_try(&self, want: &Want, n: usize, broker: usize, patience: Micros) -> bool {
        let entrance = &self.entrances[broker];
        let Some((mut kept, mut fresh)) = self.connection(entrance).await else { return false };
        let query = format!("{}-{n}", want.name);
        let key = (want.class == KEYED).then(|| format!("key-{}", want.name));
        let wait = Duration::from_micros(patience);
        let mut ask =
            Ask::new(query.clone(), CLASSES[want.class], &want.shards).patience(wait).saying(&want.name);
        ask.key.clone_from(&key);
        self.saw(Seen::Asked(Asked {
            query: query.clone(),
            broker,
            class: want.class,
            shards: want.shards.clone(),
            key,
            text: want.name.clone(),
            patience,
            connected: kept.opened,
        }));
        let request = ask.request();
        let until = tokio::time::Instant::now() + wait + LONGER;
        loop {
            let answer = tokio::time::timeout_at(until, kept.connection.send(&request)).await;
            match answer {
                Err(_) => {
                    self.saw(Seen::Silent { query });
                    return true;
                }
                Ok(Ok(response)) => {
                    let closes = response.headers().get("connection").is_some_and(|v| v == "close");
                    let (seen, served) = match Answer::of(&response) {
                        Answer::Served(whole, values) => {
                            (Seen::Answered { query: query.clone(), whole, values }, true)
                        }
                        Answer::Refused(_) => (Seen::Refused { query: query.clone() }, false),
                        _ => (Seen::Failed { query: query.clone() }, false),
                    };
                    self.saw(seen);
                    kept.last = query;
                    if !closes && entrance.idle(|idle| idle.len()) < KEPT {
                        entrance.idle(|idle| idle.push(kept));
                    }
                    return served;
                }
                // A kept connection that ends before any of the answer: the close may have crossed the request.
                Ok(Err(_)) if !fresh && !kept.connection.has_begun() => {
                    self.saw(Seen::Crossed { query: query.clone() });
                    let Some(new) = self.open(entrance).await else {
                        self.saw(Seen::Lost { query, port: 0, fresh: true });
                        return false;
                    };
                    (kept, fresh) = (new, true);
                }
                Ok(Err(_)) => {
                    let port = kept.connection.port().unwrap_or(0);
                    self.saw(Seen::Lost { query, port, fresh });
                    return false;
                }
            }
        }
    }

    /// A connection that is idle, or a new one where the front lets that through; true: it is new.
    async fn connection(&self, entrance: &Entrance) -> Option<(Kept, bool)> {
        while let Some(mut kept) = entrance.idle(Vec::pop) {
            match kept.connection.idle() {
                Idle::Quiet => return Some((kept, false)),
                Idle::Ended => {}
                Idle::Surplus => self.saw(Seen::Surplus { query: kept.last }),
            }
        }
        if !entrance.lets(Door::Open) {
            return None;
        }
        Some((self.open(entrance).await?, true))
    }

    async fn open(&self, entrance: &Entrance) -> Option<Kept> {
        let connection = Http1::connect(entrance.address).await.ok()?;
        Some(Kept { connection, opened: self.clock.now(), last: String::new() })
    }
}
