//! Connections to the data servers, pooled for each server, and the attempts in flight on them.
//!
//! The pool owns each attempt from its dispatch to its one [`EndedAttempt`], and each connection from its
//! dialling until its task and its socket are dropped. Events of the sockets arrive through the inbox, and
//! the pool handles them within a turn. `assignment` selects the connection for a call, `endings` ends
//! attempts and connections, `connection_table` indexes the connections by when they are due, `connection`,
//! `writer` and `sockets` read and write.

mod assignment;
mod connection;
mod connection_table;
mod endings;
mod sockets;
mod write_item;
mod writer;

use crate::inbox::{Inbox, Presence};
pub use assignment::ConnectionChoice;
use assignment::OVERDUE_DIAL_DIVISOR;
use async_executor::{LocalExecutor, Task};
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
use write_item::{QueuedPart, WriteItem};

/// Fraction of the servers' idle time-out after which an idle connection is closed. A part sent while the
/// server closes the connection would end with a reset, which does not tell whether the part ran.
const IDLE_SHARE: (Micros, Micros) = (3, 4);
/// Nothing further is sent on a connection whose incomplete frame has not grown for this time.
const STALLED_AFTER: Micros = 20 * MILLI;

/// An attempt to send, with everything that its frame needs.
#[derive(Clone, Debug)]
pub struct DispatchedAttempt {
    /// Identifies the attempt.
    pub attempt: AttemptId,
    /// The data server to send to.
    pub server: NodeId,
    /// Time at which the attempt times out.
    pub deadline: Micros,
    /// The frame's last byte is written before this time, or the part is not sent.
    pub write_deadline: Micros,
    /// The part's id on the wire, with its shard.
    pub part: PartId,
    /// The idempotency key; `None` outside a keyed class.
    pub key: Option<Rc<str>>,
    /// The query's text.
    pub text: Rc<str>,
    /// Tells whether the client still waits.
    pub client: Rc<Presence>,
}

/// How an attempt ended.
#[derive(Clone, Debug, PartialEq)]
pub struct EndedAttempt {
    /// Identifies the attempt.
    pub attempt: AttemptId,
    /// How the attempt ended.
    pub outcome: Outcome,
    /// Time since the dispatch. For a served attempt, time since its connection was established, if that was
    /// later.
    pub elapsed: Micros,
    /// Load that the server reported with its answer.
    pub load: Option<f64>,
    /// When the connection of a served attempt was established; `None` for other outcomes.
    pub connected_at: Option<Micros>,
    /// The answer's value, if the attempt was served.
    pub value: Option<String>,
}

/// An attempt that was dispatched and has not ended.
struct InFlight {
    connection: u64,
    sent: Micros,
    deadline: Micros,
}

/// The connection pools of all data servers.
pub struct Upstream {
    executor: Rc<LocalExecutor<'static>>,
    inbox: Rc<Inbox>,
    clock: Clock,
    limits: PoolLimits,
    servers: BTreeMap<NodeId, Rc<Server>>,
    connections: ConnectionTable,
    /// Id of the next connection; equals the number of connections dialled.
    next_connection: u64,
    in_flight: BTreeMap<AttemptId, InFlight>,
    /// The connection that each attempt of the open queries was assigned to. Attempts that were withdrawn
    /// before a byte of them was written are left out.
    assigned: BTreeMap<AttemptId, u64>,
    deadlines: BTreeSet<(Micros, AttemptId)>,
    ended: Vec<EndedAttempt>,
    sockets: Rc<Sockets>,
    /// Connections with staged frames, in the order in which they are to be written.
    staged: Vec<u64>,
    /// The task that reads from all sockets.
    _reader: Task<()>,
}

impl Upstream {
    /// Creates the pools, without servers. Fails if no descriptor is left for the event queue.
    pub fn new(
        executor: Rc<LocalExecutor<'static>>,
        inbox: Rc<Inbox>,
        clock: Clock,
        limits: PoolLimits,
    ) -> io::Result<Self> {
        let sockets = Sockets::new(inbox.clone())?;
        let reader = executor.spawn(sockets::read_loop(sockets.clone()));
        Ok(Upstream {
            executor,
            inbox,
            clock,
            limits,
            servers: BTreeMap::new(),
            connections: ConnectionTable::default(),
            next_connection: 0,
            in_flight: BTreeMap::new(),
            assigned: BTreeMap::new(),
            deadlines: BTreeSet::new(),
            ended: Vec::new(),
            sockets,
            staged: Vec::new(),
            _reader: reader,
        })
    }

    /// Number of connections dialled since the start.
    pub fn dial_count(&self) -> u64 {
        self.next_connection
    }

    /// Whether any connection is not established yet.
    pub fn is_dialling(&self) -> bool {
        self.connections.first_dialling().is_some()
    }

    /// Sets the limits for everything that is dialled and sent from now on. The number of descriptors is
    /// unchanged.
    pub fn set_limits(&mut self, limits: PoolLimits) {
        self.limits = PoolLimits { max_connections: self.limits.max_connections, ..limits };
    }

    /// Sets the maximum number of descriptors. If more are in use, idle connections are closed at once, and
    /// the caller calls this again to close others once they are idle.
    pub fn set_capacity(&mut self, sockets: usize) {
        self.limits.max_connections = sockets;
        while self.connections.len() > sockets && self.evict_idle() {}
    }

    /// Maximum number of descriptors for connections, and the number of those that are free.
    pub fn capacity(&self) -> (usize, usize) {
        (self.limits.max_connections, self.limits.max_connections.saturating_sub(self.connections.len()))
    }

    /// Number of data servers known here.
    pub fn server_count(&self) -> usize {
        self.servers.len()
    }

    /// Sets the address of a server; `None` if it is not to receive anything new or has gone. Parts that are
    /// still queued for a server that left or moved are withdrawn.
    pub fn set_endpoint(&mut self, now: Micros, name: NodeId, endpoint: Option<SocketAddr>) {
        let server = self.servers.entry(name).or_insert_with_key(|name| Rc::new(Server::new(name.clone())));
        let server = server.clone();
        let old = server.endpoint.replace(endpoint);
        if old.is_some_and(|old| Some(old) != endpoint) {
            let connections = server.connections.borrow().clone();
            connections.into_iter().for_each(|id| self.retire(now, id));
        }
        self.remove_if_unused(&server);
    }

    /// Removes a server that has neither an address nor connections.
    fn remove_if_unused(&mut self, server: &Server) {
        if server.endpoint.get().is_none() && server.connections.borrow().is_empty() {
            self.servers.remove(&server.name);
        }
    }

    /// Names of all servers that may receive something new.
    pub fn serving(&self) -> Vec<NodeId> {
        let serving = self.servers.iter().filter(|(_, s)| s.endpoint.get().is_some());
        serving.map(|(name, _)| name.clone()).collect()
    }

    /// Sends the attempts of one turn. Attempts to the same server share calls.
    pub fn dispatch(&mut self, now: Micros, mut attempts: Vec<DispatchedAttempt>) {
        attempts.sort_by(|a, b| a.server.cmp(&b.server));
        let batch = self.limits.max_parts_per_call.max(1);
        let mut attempts = attempts.into_iter().peekable();
        while let Some(first) = attempts.next() {
            let server = first.server.clone();
            let mut parts = vec![queued_part(now, first)];
            while parts.len() < batch
                && let Some(next) = attempts.next_if(|attempt| attempt.server == server)
            {
                parts.push(queued_part(now, next));
            }
            self.send_call(now, &server, parts);
        }
        self.flush();
    }

    /// Writes what the turn has staged. Cancellations come before new calls: a further attempt at a part must
    /// not be written before the first attempt is cancelled, or before its connection is closed if that is
    /// abandoned as well.
    fn flush(&mut self) {
        for id in self.connections.done() {
            self.close(id);
        }
        let staged = std::mem::take(&mut self.staged);
        let connections = staged.iter().filter_map(|id| Some((*id, &self.connections.get(id)?.connection)));
        self.sockets.flush(connections, &self.clock);
    }

    fn send_call(&mut self, now: Micros, name: &NodeId, parts: Vec<QueuedPart>) {
        let server = self.servers.get(name).cloned();
        let id = server.and_then(|server| self.connection_for(now, &server, &parts));
        let Some(id) = id else {
            // If the server is known, no descriptor was free, which says nothing about the server.
            let known = self.servers.get(name).is_some_and(|s| s.endpoint.get().is_some());
            let outcome = if known { Outcome::NotSent } else { Outcome::NoConnection };
            let unsent = |part: QueuedPart| EndedAttempt {
                attempt: part.attempt,
                outcome,
                elapsed: 0,
                load: None,
                connected_at: None,
                value: None,
            };
            return self.ended.extend(parts.into_iter().map(unsent));
        };
        for part in &parts {
            self.deadlines.insert((part.deadline, part.attempt));
            self.assigned.insert(part.attempt, id);
            self.in_flight
                .insert(part.attempt, InFlight { connection: id, sent: now, deadline: part.deadline });
        }
        let staged = self.connections.change(id, |pooled| {
            pooled.last_used = now;
            pooled.in_flight.extend(parts.iter().map(|part| (part.id.clone(), part.attempt)));
            pooled.connection.stage(WriteItem::Call(parts))
        });
        if staged == Some(true) {
            self.staged.push(id);
        }
    }

    /// Moves calls away from connections whose dialling is overdue, and closes connections that have been
    /// idle for too long, are retiring with nothing in flight, or have stopped within a frame.
    pub fn sweep(&mut self, now: Micros) {
        self.reassign_overdue_dials(now);
        let max_idle = self.limits.idle_timeout * IDLE_SHARE.0 / IDLE_SHARE.1;
        let idle = now.checked_sub(max_idle).map(|since| self.connections.idle_since(since));
        for id in idle.into_iter().flatten().chain(self.connections.done()) {
            self.close(id);
        }
        let stalled = now.checked_sub(self.limits.dial_timeout).map(|since| self.connections.stalled(since));
        for id in stalled.into_iter().flatten() {
            self.close_corrupt(now, id, "frame incomplete for the dial time-out");
        }
    }

    /// Removes and returns the attempts that have ended, including those that time out now. A turn calls this
    /// before it makes decisions: the decision module ends a query at the time at which its attempts time
    /// out, and would otherwise cancel them first, so that no time-out would ever be reported and silent
    /// servers would go unnoticed.
    pub fn take_ended(&mut self, now: Micros) -> Vec<EndedAttempt> {
        while let Some(&(_, attempt)) = self.deadlines.first().filter(|(deadline, _)| *deadline <= now) {
            self.abandon(now, attempt, Outcome::TimedOut);
        }
        std::mem::take(&mut self.ended)
    }

    /// Number of attempts in flight.
    pub fn in_flight(&self) -> usize {
        self.in_flight.len()
    }

    /// Number of attempts written completely to data servers since the start.
    pub fn forwards(&self) -> u64 {
        self.sockets.counts.forwards.get()
    }

    /// Whether attempts have ended that [`Upstream::take_ended`] has not returned yet.
    pub fn has_ended(&self) -> bool {
        !self.ended.is_empty()
    }

    /// When the next attempt times out, the next incomplete frame has stalled or the next dialling is
    /// overdue.
    pub fn due(&self) -> Micros {
        let deadline = self.deadlines.first().map(|(deadline, _)| *deadline);
        let stalled = self.connections.first_partial().map(|at| at + self.limits.dial_timeout);
        let overdue_dial =
            self.connections.first_dialling().map(|at| at + self.limits.dial_timeout / OVERDUE_DIAL_DIVISOR);
        [deadline, stalled, overdue_dial].into_iter().flatten().min().unwrap_or(Micros::MAX)
    }

    /// Number of connections, including those being dialled.
    pub fn open(&self) -> usize {
        self.connections.len()
    }

    /// Number of connections with nothing in flight.
    pub fn idle(&self) -> usize {
        self.connections.idle()
    }

    /// Pauses or resumes reading. While no turn may begin, reading each answer as it arrives costs more
    /// system calls than reading all of them once before the turn.
    pub fn pause_reads(&self, pause: bool) {
        self.sockets.pause(pause);
    }
}

/// Converts an attempt to a part for the write queue of its connection.
fn queued_part(now: Micros, dispatched: DispatchedAttempt) -> QueuedPart {
    let wait_ms = (dispatched.deadline.saturating_sub(now) / MILLI).max(1);
    let DispatchedAttempt { attempt, deadline, write_deadline, part, key, text, client, .. } = dispatched;
    QueuedPart { attempt, id: part, wait_ms, write_deadline, deadline, key, text, client }
}

#[cfg(test)]
mod tests;
