//! Data servers: one pool of connections for each, and the attempts that are out on them.
//!
//! The pool owns each attempt from its dispatch to its one [`EndedAttempt`], and each connection from its dialling to
//! the drop of its task and its socket. What its sockets brought comes through the inbox; the pool acts on it in a turn.
//! `placing` says which connection a call goes by, `endings` how attempts and connections end; `connections` holds the
//! connections by what is due, `line` and `sockets` read and write.

mod assignment;
mod connection;
mod connection_table;
mod endings;
mod sockets;

use crate::inbox::{Inbox, Presence};
pub use assignment::ConnectionChoice;
use assignment::LATE_DIAL;
use async_executor::{LocalExecutor, Task};
use connection::{QueuedPart, WriteItem};
use connection_table::{ConnectionTable, Server};
use plover_frames::PartId;
use plover_model::limits::PoolLimits;
use plover_model::query::AttemptId;
use plover_model::server::{NodeId, Outcome};
use plover_model::time::{MILLI, Micros};
use plover_runtime::clock::Clock;
use sockets::Sockets;
use std::collections::{BTreeMap, BTreeSet};
use std::io;
use std::net::SocketAddr;
use std::rc::Rc;

/// Share of the servers' idle time after which a connection is retired: a part that crosses the server's
/// closing would end as a reset, which tells nobody whether it ran.
const IDLE_SHARE: (Micros, Micros) = (3, 4);
/// A frame that has begun and does not go on for so long: nothing further is sent behind it.
const HALTED: Micros = 20 * MILLI;

/// An attempt to send, with all that goes into its frame.
#[derive(Clone, Debug)]
pub struct DispatchedAttempt {
    /// The attempt.
    pub attempt: AttemptId,
    /// Where to.
    pub server: NodeId,
    /// When to stop waiting.
    pub deadline: Micros,
    /// Its frame's last byte is written before this moment, or the part is not sent.
    pub write_deadline: Micros,
    /// The part's id on the wire, with its shard.
    pub part: PartId,
    /// The idempotency key, in a keyed class.
    pub key: Option<Rc<str>>,
    /// The query's text.
    pub text: Rc<str>,
    /// Whether its client waits.
    pub client: Rc<Presence>,
}

/// How an attempt ended.
#[derive(Clone, Debug, PartialEq)]
pub struct EndedAttempt {
    /// The attempt.
    pub attempt: AttemptId,
    /// How.
    pub outcome: Outcome,
    /// Time since its dispatch; of one that was served, since its connection was up, if that is later.
    pub elapsed: Micros,
    /// How much the server said it holds.
    pub load: Option<f64>,
    /// Of one that was served: since when the connection is up that brought the answer.
    pub connected_at: Option<Micros>,
    /// The value, if it was served.
    pub value: Option<String>,
}

struct InFlight {
    conn: u64,
    sent: Micros,
    deadline: Micros,
}

/// The pools of all data servers.
pub struct Upstream {
    executor: Rc<LocalExecutor<'static>>,
    inbox: Rc<Inbox>,
    clock: Clock,
    limits: PoolLimits,
    servers: BTreeMap<NodeId, Rc<Server>>,
    connections: ConnectionTable,
    next_connection: u64,
    in_flight: BTreeMap<AttemptId, InFlight>,
    deadlines: BTreeSet<(Micros, AttemptId)>,
    ended: Vec<EndedAttempt>,
    sockets: Rc<Sockets>,
    /// Connections that have something staged, in the order in which that is to be written.
    staged: Vec<u64>,
    /// Reads from all sockets.
    _reader: Task<()>,
}

impl Upstream {
    /// Pools without servers. The error is the system's: no descriptor is left for their event queue.
    pub fn new(
        executor: Rc<LocalExecutor<'static>>,
        inbox: Rc<Inbox>,
        clock: Clock,
        limits: PoolLimits,
    ) -> io::Result<Self> {
        let sockets = Sockets::new(inbox.clone())?;
        let reader = executor.spawn(sockets::watch(sockets.clone()));
        Ok(Upstream {
            executor,
            inbox,
            clock,
            limits,
            servers: BTreeMap::new(),
            connections: ConnectionTable::default(),
            next_connection: 0,
            in_flight: BTreeMap::new(),
            deadlines: BTreeSet::new(),
            ended: Vec::new(),
            sockets,
            staged: Vec::new(),
            _reader: reader,
        })
    }

    /// Connections that were dialled since the start.
    pub fn dial_count(&self) -> u64 {
        self.next_connection
    }

    /// Whether some of them have not come up yet.
    pub fn is_dialling(&self) -> bool {
        self.connections.first_dialled().is_some()
    }

    /// Other limits, for what is dialled and sent from now on; descriptors stay what they are.
    pub fn set_limits(&mut self, limits: PoolLimits) {
        self.limits = PoolLimits { max_connections: self.limits.max_connections, ..limits };
    }

    /// So many descriptors at the most from now on. Beyond that idle connections end at once, and others as they fall idle.
    pub fn set_capacity(&mut self, sockets: usize) {
        self.limits.max_connections = sockets;
        while self.connections.len() > sockets && self.evict_idle() {}
    }

    /// Descriptors that connections may have in all, and those that no connection has.
    pub fn capacity(&self) -> (usize, usize) {
        (self.limits.max_connections, self.limits.max_connections.saturating_sub(self.connections.len()))
    }

    /// Data servers that are known here.
    pub fn server_count(&self) -> usize {
        self.servers.len()
    }

    /// Takes where a server is to be called; `None`: it wants nothing new, or is gone. What waits unsent for
    /// one that left or moved is taken back.
    pub fn set_endpoint(&mut self, now: Micros, name: NodeId, endpoint: Option<SocketAddr>) {
        let server = self.servers.entry(name).or_insert_with_key(|name| Rc::new(Server::new(name.clone())));
        let server = server.clone();
        let old = server.endpoint.replace(endpoint);
        if old.is_some_and(|old| Some(old) != endpoint) {
            let connections = server.connections.borrow().clone();
            connections.into_iter().for_each(|id| self.retire(now, id));
        }
        self.forget(&server);
    }

    /// Forgets a server that is not to be called and has no connections.
    fn forget(&mut self, server: &Server) {
        if server.endpoint.get().is_none() && server.connections.borrow().is_empty() {
            self.servers.remove(&server.name);
        }
    }

    /// The names of all servers that take something new.
    pub fn serving(&self) -> Vec<NodeId> {
        let serving = self.servers.iter().filter(|(_, s)| s.endpoint.get().is_some());
        serving.map(|(name, _)| name.clone()).collect()
    }

    /// Sends the attempts of one turn: those to one server share calls.
    pub fn dispatch(&mut self, now: Micros, mut sends: Vec<DispatchedAttempt>) {
        sends.sort_by(|a, b| a.server.cmp(&b.server));
        let batch = self.limits.max_parts_per_call.max(1);
        let mut sends = sends.into_iter().peekable();
        while let Some(first) = sends.next() {
            let server = first.server.clone();
            let mut parts = vec![outgoing(now, first)];
            while parts.len() < batch
                && let Some(next) = sends.next_if(|send| send.server == server)
            {
                parts.push(outgoing(now, next));
            }
            self.call(now, &server, parts);
        }
        self.flush();
    }

    /// Writes what the turn has staged. What was given up stands before what is sent anew: a further attempt at a part
    /// must not go out before the giving up of the first, or before the end of its connection where that is given up too.
    fn flush(&mut self) {
        for id in self.connections.done() {
            self.close(id);
        }
        let staged = std::mem::take(&mut self.staged);
        let lines = staged.iter().filter_map(|id| Some((*id, &self.connections.get(id)?.connection)));
        self.sockets.flush(lines, &self.clock);
    }

    fn call(&mut self, now: Micros, name: &NodeId, parts: Vec<QueuedPart>) {
        let server = self.servers.get(name).cloned();
        let id = server.and_then(|server| self.connection_for(now, &server, &parts));
        let Some(id) = id else {
            // For want of a descriptor: that says nothing of the server.
            let known = self.servers.get(name).is_some_and(|s| s.endpoint.get().is_some());
            let outcome = if known { Outcome::NotSent } else { Outcome::NoConnection };
            let never = |part: QueuedPart| EndedAttempt {
                attempt: part.attempt,
                outcome,
                elapsed: 0,
                load: None,
                connected_at: None,
                value: None,
            };
            return self.ended.extend(parts.into_iter().map(never));
        };
        for part in &parts {
            self.deadlines.insert((part.deadline, part.attempt));
            self.in_flight.insert(part.attempt, InFlight { conn: id, sent: now, deadline: part.deadline });
        }
        let staged = self.connections.change(id, |conn| {
            conn.used = now;
            conn.out.extend(parts.iter().map(|part| (part.id.clone(), part.attempt)));
            conn.connection.stage(WriteItem::Call(parts))
        });
        if staged == Some(true) {
            self.staged.push(id);
        }
    }

    /// Closes what is idle for too long, or retired and done with.
    pub fn sweep(&mut self, now: Micros) {
        self.pass_late(now);
        let idle = self.limits.idle_timeout * IDLE_SHARE.0 / IDLE_SHARE.1;
        let idle = now.checked_sub(idle).map(|since| self.connections.idle_since(since));
        for id in idle.into_iter().flatten().chain(self.connections.done()) {
            self.close(id);
        }
        let stalled = now.checked_sub(self.limits.dial_timeout).map(|since| self.connections.stalled(since));
        for id in stalled.into_iter().flatten() {
            self.spoil(now, id, "its end does not come");
        }
    }

    /// Takes the attempts that have ended, those included whose time is over by now. A turn begins with this:
    /// the module ends a query at the moment at which its attempts time out, and would else call them off first,
    /// so that no time-out ever reached it and silent servers went unnoticed.
    pub fn take_ended(&mut self, now: Micros) -> Vec<EndedAttempt> {
        while let Some(&(_, attempt)) = self.deadlines.first().filter(|(deadline, _)| *deadline <= now) {
            self.abandon(now, attempt, Outcome::TimedOut);
        }
        std::mem::take(&mut self.ended)
    }

    /// Attempts that are out.
    pub fn in_flight(&self) -> usize {
        self.in_flight.len()
    }

    /// Attempts written whole to data servers since the start.
    pub fn forwards(&self) -> u64 {
        self.sockets.counts.forwards.get()
    }

    /// Whether some have ended that were not taken.
    pub fn has_ended(&self) -> bool {
        !self.ended.is_empty()
    }

    /// When the next attempt's time is over, or the next frame is late that has begun.
    pub fn due(&self) -> Micros {
        let deadline = self.deadlines.first().map(|(deadline, _)| *deadline);
        let stall = self.connections.first_begun().map(|at| at + self.limits.dial_timeout);
        let late = self.connections.first_dialled().map(|at| at + self.limits.dial_timeout / LATE_DIAL);
        [deadline, stall, late].into_iter().flatten().min().unwrap_or(Micros::MAX)
    }

    /// Open connections.
    pub fn open(&self) -> usize {
        self.connections.len()
    }

    /// Those of them on which nothing is out.
    pub fn idle(&self) -> usize {
        self.connections.idle()
    }

    /// Leaves what comes in the system's hands, or takes it from there again: so long as no turn may begin, reading at each
    /// answer costs more looks than reading once before the turn.
    pub fn pause_reads(&self, hold: bool) {
        self.sockets.hold(hold);
    }
}

/// A part as its connection takes it.
fn outgoing(now: Micros, send: DispatchedAttempt) -> QueuedPart {
    let wait_ms = (send.deadline.saturating_sub(now) / MILLI).max(1);
    let DispatchedAttempt { attempt, deadline, write_deadline, part, key, text, client, .. } = send;
    QueuedPart { attempt, id: part, wait_ms, write_deadline, deadline, key, text, client }
}

#[cfg(test)]
mod tests;
