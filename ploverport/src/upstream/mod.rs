//! Data servers: one pool of connections for each, and the attempts that are out on them.
//!
//! The pool owns each attempt from its dispatch to its one [`Ended`], and each connection from its dialling to
//! the drop of its task, which closes the socket. Tasks on sockets tell the pool what happened through the
//! inbox; the pool acts on it in a turn.

pub mod frame;
mod line;

use crate::clock::Micros;
use crate::config::PoolLimits;
use crate::core::{AttemptId, NodeId, NodeState, Outcome};
use crate::inbox::Inbox;
use crate::log;
use async_executor::{LocalExecutor, Task};
use frame::FromServer;
use line::{Item, Line, Outgoing};
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::rc::Rc;

pub use line::LineEvent;

/// Share of the servers' idle time after which a connection is retired: a part that crosses the server's
/// closing would end as a reset, which tells nobody whether it ran.
const IDLE_SHARE: (Micros, Micros) = (3, 4);
/// An attempt given up in so many dial time-outs without a word on its connection makes that suspect: a cut
/// link leaves connections open and silent, and TCP does not notice.
const SILENT_DIALS: Micros = 2;

/// An attempt to send, with all that goes into its frame.
#[derive(Clone, Debug)]
pub struct Send {
    /// The attempt.
    pub attempt: AttemptId,
    /// Where to.
    pub server: NodeId,
    /// When to stop waiting.
    pub until: Micros,
    /// The part's id on the wire.
    pub wire: String,
    /// Its shard.
    pub shard: usize,
    /// The idempotency key, in a keyed class.
    pub key: Option<Rc<str>>,
    /// The query's text.
    pub text: Rc<str>,
}

/// How an attempt ended.
#[derive(Clone, Debug, PartialEq)]
pub struct Ended {
    /// The attempt.
    pub attempt: AttemptId,
    /// How.
    pub outcome: Outcome,
    /// Time since its dispatch.
    pub elapsed: Micros,
    /// How much the server said it holds.
    pub load: Option<f64>,
    /// The value, if it was served.
    pub value: Option<String>,
}

#[derive(Default)]
struct Server {
    endpoint: Option<SocketAddr>,
    conns: BTreeSet<u64>,
}

struct Conn {
    server: NodeId,
    line: Rc<Line>,
    /// Runs the socket. Dropping it closes the socket.
    _task: Task<()>,
    /// What is out here, by its id on the wire.
    out: BTreeMap<String, AttemptId>,
    heard: Micros,
    used: Micros,
    /// It takes nothing new and closes once nothing is out on it.
    retiring: bool,
}

struct Flight {
    conn: u64,
    wire: String,
    sent: Micros,
    until: Micros,
}

/// The pools of all data servers.
pub struct Upstream {
    executor: Rc<LocalExecutor<'static>>,
    inbox: Rc<Inbox>,
    limits: PoolLimits,
    servers: BTreeMap<NodeId, Server>,
    conns: BTreeMap<u64, Conn>,
    next_conn: u64,
    flights: BTreeMap<AttemptId, Flight>,
    deadlines: BTreeSet<(Micros, AttemptId)>,
    ended: Vec<Ended>,
}

impl Upstream {
    /// Pools without servers.
    pub fn new(executor: Rc<LocalExecutor<'static>>, inbox: Rc<Inbox>, limits: PoolLimits) -> Self {
        Upstream {
            executor,
            inbox,
            limits,
            servers: BTreeMap::new(),
            conns: BTreeMap::new(),
            next_conn: 0,
            flights: BTreeMap::new(),
            deadlines: BTreeSet::new(),
            ended: Vec::new(),
        }
    }

    /// Takes a server's state and address. What waits unsent for one that wants nothing new is taken back.
    pub fn learn(&mut self, now: Micros, name: NodeId, state: NodeState, endpoint: SocketAddr) {
        let server = self.servers.entry(name).or_default();
        let moved = server.endpoint.is_some_and(|old| old != endpoint);
        server.endpoint = (state == NodeState::Serving).then_some(endpoint);
        if moved || state != NodeState::Serving {
            for id in server.conns.clone() {
                self.retire(now, id);
            }
        }
    }

    /// The names of all servers that take something new.
    pub fn serving(&self) -> Vec<NodeId> {
        let serving = self.servers.iter().filter(|(_, s)| s.endpoint.is_some());
        serving.map(|(name, _)| name.clone()).collect()
    }

    /// Takes a server off the list.
    pub fn remove(&mut self, now: Micros, name: &NodeId) {
        let Some(server) = self.servers.get_mut(name) else { return };
        server.endpoint = None;
        for id in server.conns.clone() {
            self.retire(now, id);
        }
    }

    /// Sends the attempts of one turn: those to one server share calls.
    pub fn dispatch(&mut self, now: Micros, sends: Vec<Send>) {
        let mut by_server: BTreeMap<NodeId, Vec<Send>> = BTreeMap::new();
        for send in sends {
            by_server.entry(send.server.clone()).or_default().push(send);
        }
        for (server, mut sends) in by_server {
            while !sends.is_empty() {
                let rest = sends.split_off(sends.len().min(self.limits.batch.max(1)));
                self.call(now, &server, std::mem::replace(&mut sends, rest));
            }
        }
    }

    fn call(&mut self, now: Micros, server: &NodeId, sends: Vec<Send>) {
        let Some(id) = self.conn_for(now, server, sends.len()) else {
            let never = |s: Send| Ended {
                attempt: s.attempt,
                outcome: Outcome::NoConnection,
                elapsed: 0,
                load: None,
                value: None,
            };
            return self.ended.extend(sends.into_iter().map(never));
        };
        let Some(conn) = self.conns.get_mut(&id) else { return };
        conn.used = now;
        let mut parts = Vec::with_capacity(sends.len());
        for s in sends {
            conn.out.insert(s.wire.clone(), s.attempt);
            self.deadlines.insert((s.until, s.attempt));
            let flight = Flight { conn: id, wire: s.wire.clone(), sent: now, until: s.until };
            self.flights.insert(s.attempt, flight);
            let wait_ms = (s.until.saturating_sub(now) / crate::clock::MILLI).max(1);
            parts.push(Outgoing { wire: s.wire, shard: s.shard, wait_ms, key: s.key, text: s.text });
        }
        conn.line.put(Item::Call(parts));
    }

    /// A connection with room for so many parts: the fullest, so that others can fall idle; else a new one.
    fn conn_for(&mut self, now: Micros, name: &NodeId, parts: usize) -> Option<u64> {
        let server = self.servers.get(name)?;
        let endpoint = server.endpoint?;
        let open = server.conns.iter().filter_map(|id| Some((*id, self.conns.get(id)?)));
        let roomy = open.filter(|(_, c)| !c.retiring && c.out.len() + parts <= self.limits.multiplex);
        if let Some((id, _)) = roomy.max_by_key(|(_, c)| c.out.len()) {
            return Some(id);
        }
        if self.conns.len() >= self.limits.sockets && !self.evict() {
            log::warn("upstream_sockets_full", &[("server", &name.0), ("open", &self.conns.len())]);
            return None;
        }
        let id = self.next_conn;
        self.next_conn += 1;
        let line = Rc::new(Line::default());
        let task = line::run(id, endpoint, self.limits.dial_timeout, line.clone(), self.inbox.clone());
        let conn = Conn {
            server: name.clone(),
            line,
            _task: self.executor.spawn(task),
            out: BTreeMap::new(),
            heard: now,
            used: now,
            retiring: false,
        };
        self.conns.insert(id, conn);
        self.servers.get_mut(name)?.conns.insert(id);
        Some(id)
    }

    /// Makes room by closing the connection that has been idle for longest.
    fn evict(&mut self) -> bool {
        let idle = self.conns.iter().filter(|(_, c)| c.out.is_empty());
        let Some(id) = idle.min_by_key(|(_, c)| c.used).map(|(id, _)| *id) else { return false };
        self.close(id);
        true
    }

    /// Stops waiting for an attempt that was called off.
    pub fn give_up(&mut self, now: Micros, attempt: AttemptId) {
        self.abandon(now, attempt, Outcome::Cancelled);
    }

    /// Stops waiting for attempts whose time is over. They count as ended from the next turn on: by then the
    /// server has been told, so that no second attempt at a part overtakes the giving up of the first.
    pub fn expire(&mut self, now: Micros) {
        while let Some(&(_, attempt)) = self.deadlines.first().filter(|(until, _)| *until <= now) {
            self.abandon(now, attempt, Outcome::TimedOut);
        }
    }

    fn abandon(&mut self, now: Micros, attempt: AttemptId, outcome: Outcome) {
        let Some(flight) = self.flights.get(&attempt) else { return };
        let (id, sent, wire) = (flight.conn, flight.sent, flight.wire.clone());
        let unsent = self.conns.get(&id).is_some_and(|c| c.line.withdraw(&wire));
        if let Some(conn) = self.conns.get_mut(&id).filter(|_| !unsent) {
            conn.line.put(Item::GiveUp(wire));
            conn.retiring |= conn.heard <= sent && now - sent >= SILENT_DIALS * self.limits.dial_timeout;
        }
        // Still on this side when its time ended: never ran. The wait was for a connection that did not come up.
        let outcome = if unsent && outcome == Outcome::TimedOut { Outcome::NoConnection } else { outcome };
        self.end(now, attempt, outcome, None, None);
    }

    /// The one place where an attempt is given back.
    fn end(
        &mut self,
        now: Micros,
        attempt: AttemptId,
        outcome: Outcome,
        load: Option<f64>,
        value: Option<String>,
    ) {
        let Some(flight) = self.flights.remove(&attempt) else { return };
        self.deadlines.remove(&(flight.until, attempt));
        if let Some(conn) = self.conns.get_mut(&flight.conn) {
            conn.out.remove(&flight.wire);
            conn.used = now;
        }
        let elapsed = now.saturating_sub(flight.sent);
        self.ended.push(Ended { attempt, outcome, elapsed, load, value });
    }

    /// Takes news of a connection.
    pub fn hear(&mut self, now: Micros, id: u64, event: LineEvent) {
        let Some(conn) = self.conns.get_mut(&id) else { return };
        conn.heard = now;
        match event {
            LineEvent::Frame(FromServer::Answer { id: wire, outcome, held, value }) => {
                // One that was given up may still be answered: that is no longer asked for.
                let Some(&attempt) = conn.out.get(&wire) else { return };
                let value = (outcome == Outcome::Served).then_some(value);
                self.end(now, attempt, outcome, held, value);
            }
            LineEvent::Frame(FromServer::Probe) => {}
            LineEvent::Frame(FromServer::Rejected(words)) => {
                log::warn("upstream_rejected", &[("server", &conn.server.0), ("words", &words)]);
            }
            LineEvent::Down(error) => {
                if !conn.out.is_empty() {
                    let out = conn.out.len();
                    log::warn(
                        "upstream_down",
                        &[("server", &conn.server.0), ("error", &error), ("out", &out)],
                    );
                }
                self.lose(now, id);
            }
        }
    }

    /// Ends all that is out on a broken connection, and closes it. A frame that was not written to its last
    /// byte never ran; any other may have.
    fn lose(&mut self, now: Micros, id: u64) {
        let Some(conn) = self.conns.get(&id) else { return };
        let unwritten = conn.line.unwritten();
        for (wire, attempt) in conn.out.clone() {
            let never = unwritten.contains(&wire);
            let outcome = if never { Outcome::NoConnection } else { Outcome::ConnectionLost };
            self.end(now, attempt, outcome, None, None);
        }
        self.close(id);
    }

    /// Lets a connection finish what is out on it, and takes back what it has not begun to write.
    fn retire(&mut self, now: Micros, id: u64) {
        let Some(conn) = self.conns.get_mut(&id) else { return };
        conn.retiring = true;
        for wire in conn.line.withdraw_all() {
            if let Some(&attempt) = self.conns.get(&id).and_then(|c| c.out.get(&wire)) {
                self.end(now, attempt, Outcome::NotSent, None, None);
            }
        }
    }

    /// The one place where a connection is given back.
    fn close(&mut self, id: u64) {
        let Some(conn) = self.conns.remove(&id) else { return };
        let Some(server) = self.servers.get_mut(&conn.server) else { return };
        server.conns.remove(&id);
        if server.conns.is_empty() && server.endpoint.is_none() {
            self.servers.remove(&conn.server);
        }
    }

    /// Closes what is idle for too long, or retired and done with.
    pub fn sweep(&mut self, now: Micros) {
        let idle = self.limits.keepalive * IDLE_SHARE.0 / IDLE_SHARE.1;
        let done = |c: &Conn| c.out.is_empty() && (c.retiring || now.saturating_sub(c.used) >= idle);
        let done: Vec<u64> = self.conns.iter().filter(|(_, c)| done(c)).map(|(id, _)| *id).collect();
        done.into_iter().for_each(|id| self.close(id));
    }

    /// Takes the attempts that have ended.
    pub fn take_ended(&mut self) -> Vec<Ended> {
        std::mem::take(&mut self.ended)
    }

    /// Whether some have ended that were not taken.
    pub fn has_ended(&self) -> bool {
        !self.ended.is_empty()
    }

    /// When [`Upstream::expire`] is due.
    pub fn due(&self) -> Micros {
        self.deadlines.first().map_or(Micros::MAX, |(until, _)| *until)
    }

    /// Open connections.
    pub fn open(&self) -> usize {
        self.conns.len()
    }
}
