//! Assignment of calls to connections.

use super::connection::Connection;
use super::connection_table::{PooledConnection, Server};
use super::write_item::{QueuedPart, WriteItem};
use super::writer::run;
use super::{STALLED_AFTER, Upstream};
use plover_model::query::AttemptId;
use plover_model::server::NodeId;
use plover_model::time::{MILLI, Micros};
use std::collections::VecDeque;
use std::rc::Rc;
use tracing::warn;

/// Maximum number of connections to one server, if descriptors allow. A corrupt answer ends everything in
/// flight on its connection, so calls are spread as long as that costs little.
const MAX_PER_SERVER: usize = 4;
/// Dialling is overdue after the dial time-out divided by this number. Some connections are established a
/// second late and some never, while others to the same server take a millisecond. What is queued on an
/// overdue connection is moved to another one.
pub(super) const OVERDUE_DIAL_DIVISOR: Micros = 8;
/// Maximum number of connections to one server that are being dialled at once because earlier ones are
/// overdue.
const MAX_DIALS: usize = 3;

/// Kind of connection that a call is sent on.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum ConnectionChoice {
    /// An idle connection.
    Idle,
    /// A connection that is dialled for the call.
    New,
    /// A connection with other calls in flight.
    Shared,
}

impl Upstream {
    /// Returns the kind of connection on which a call of `parts` parts to a server can be sent now: an idle
    /// one if there is one, otherwise a shared one, otherwise a new one. Returns `None` if the server has no
    /// address. `connection_for` may dial a new connection although this returns
    /// [`ConnectionChoice::Shared`].
    pub fn connection_choice(&self, now: Micros, name: &NodeId, parts: usize) -> Option<ConnectionChoice> {
        let server = self.servers.get(name).filter(|s| s.endpoint.get().is_some())?;
        let connections = server.connections.borrow();
        let accepts = |c: &&PooledConnection| {
            let has_capacity = c.in_flight.len() + parts.min(self.limits.max_parts_per_call)
                <= self.limits.max_parts_per_connection;
            let is_overdue = c.dial_overdue && c.connection.is_dialling();
            has_capacity && !c.retiring && !is_overdue && !self.is_suspect(now, c)
        };
        let open = connections.iter().filter_map(|id| self.connections.get(id));
        Some(match open.filter(accepts).map(|c| c.in_flight.is_empty()).max() {
            Some(true) => ConnectionChoice::Idle,
            Some(false) => ConnectionChoice::Shared,
            None => ConnectionChoice::New,
        })
    }

    /// Whether the part with this wire id is in flight on that connection.
    #[cfg(test)]
    pub(crate) fn has_in_flight(&self, connection: u64, wire: &str) -> bool {
        self.connections.get(&connection).is_some_and(|c| c.attempt_answered_by(wire).is_some())
    }

    /// Returns a connection with capacity for these parts that has carried none of them before; `None` if the
    /// server has no address, or if all descriptors are in use and no idle connection can be closed. Answers
    /// are matched by part id, so the answers to two attempts at one part could not be told apart on the same
    /// connection, even if one of them has ended: its answer may come late, or twice.
    ///
    /// Prefers the connection that has been idle for longest, since a server may close a connection right
    /// after its answer, and a part sent while the server closes the connection ends with a reset. Then
    /// prefers a new connection, up to a few for each server, and then the one with the fewest attempts in
    /// flight.
    pub(super) fn connection_for(
        &mut self,
        now: Micros,
        server: &Rc<Server>,
        parts: &[QueuedPart],
    ) -> Option<u64> {
        let endpoint = server.endpoint.get()?;
        let dialling = self.dialling(server);
        let connections = server.connections.borrow();
        let open = connections.iter().filter_map(|id| Some((*id, self.connections.get(id)?)));
        let has_carried = |id: u64, c: &PooledConnection| {
            parts.iter().any(|part| c.may_answer(&part.id) || self.was_assigned(part.attempt, id))
        };
        let has_capacity =
            |c: &PooledConnection| c.in_flight.len() + parts.len() <= self.limits.max_parts_per_connection;
        let avoid =
            |c: &PooledConnection| c.dial_overdue && c.connection.is_dialling() && dialling < MAX_DIALS;
        let accepts = |c: &PooledConnection| !c.retiring && !avoid(c) && has_capacity(c);
        let candidates =
            open.filter(|(id, c)| accepts(c) && !has_carried(*id, c) && !self.is_suspect(now, c));
        let best = candidates.min_by_key(|(_, c)| (c.in_flight.len(), c.last_used));
        let max_connections =
            (self.limits.max_connections / self.servers.len().max(1)).clamp(1, MAX_PER_SERVER);
        if let Some((id, pooled)) = best
            && (pooled.in_flight.is_empty()
                || connections.len() >= max_connections
                || self.connections.len() >= self.limits.max_connections)
        {
            return Some(id);
        }
        drop(connections);
        if self.connections.len() >= self.limits.max_connections && !self.evict_idle() {
            warn!(name: "upstream_sockets_full", server = %server.name.0, open = self.connections.len());
            return None;
        }
        let id = self.next_connection;
        self.next_connection += 1;
        let connection = Rc::new(Connection::new(self.sockets.counts.clone()));
        let (dial_timeout, sockets) = (self.limits.dial_timeout, self.sockets.clone());
        let task =
            run(id, endpoint, dial_timeout, connection.clone(), sockets, self.inbox.clone(), self.clock);
        let pooled = PooledConnection {
            server: server.clone(),
            connection,
            _task: self.executor.spawn(task),
            in_flight: Vec::new(),
            cancelled: VecDeque::new(),
            partial_since: None,
            last_received: now,
            last_used: now,
            dialled_at: now,
            awaiting_dial: true,
            dial_overdue: false,
            retiring: false,
        };
        self.connections.add(id, pooled);
        server.connections.borrow_mut().insert(id);
        Some(id)
    }

    /// Whether an earlier attempt at the same part of the same query was assigned to this connection.
    fn was_assigned(&self, attempt: AttemptId, connection: u64) -> bool {
        let first = AttemptId { attempt: 0, ..attempt };
        self.assigned.range(first..attempt).any(|(_, id)| *id == connection)
    }

    /// Number of connections to a server that are still being dialled.
    fn dialling(&self, server: &Server) -> usize {
        let connections = server.connections.borrow();
        connections
            .iter()
            .filter(|id| self.connections.get(id).is_some_and(|c| c.connection.is_dialling()))
            .count()
    }

    /// Moves the calls queued on connections whose dialling is overdue to other connections of the same
    /// server. Nothing of these calls has been written.
    pub(super) fn reassign_overdue_dials(&mut self, now: Micros) {
        let Some(by) = now.checked_sub(self.limits.dial_timeout / OVERDUE_DIAL_DIVISOR) else { return };
        for id in self.connections.dialled(by) {
            let overdue = self.connections.change(id, |pooled| {
                pooled.awaiting_dial = false;
                pooled.dial_overdue = pooled.connection.is_dialling();
                pooled.dial_overdue.then(|| (pooled.server.clone(), pooled.connection.withdraw_calls()))
            });
            let Some((server, calls)) = overdue.flatten() else { continue };
            for parts in calls {
                self.reassign_call(now, id, &server, parts);
            }
        }
    }

    /// Moves one call to another connection. Leaves it on its connection if there is no other, or if
    /// [`MAX_DIALS`] connections to the server are being dialled.
    fn reassign_call(&mut self, now: Micros, from: u64, server: &Rc<Server>, mut parts: Vec<QueuedPart>) {
        let too_many_dials = self.dialling(server) >= MAX_DIALS;
        let to = if too_many_dials { None } else { self.connection_for(now, server, &parts) }.unwrap_or(from);
        for part in &mut parts {
            let attempt = part.attempt;
            self.connections.change(from, |c| c.remove(attempt));
            self.connections.change(to, |c| c.in_flight.push((part.id.clone(), attempt)));
            if let Some(flight) = self.in_flight.get_mut(&attempt) {
                flight.connection = to;
                self.assigned.entry(attempt).and_modify(|connection| *connection = to);
                part.wait_ms = (flight.deadline.saturating_sub(now) / MILLI).max(1);
            }
        }
        // The connection's task writes the call and checks first whether its clients still wait: they were
        // last checked in the turn that dispatched it.
        self.connections.change(to, |pooled| {
            pooled.last_used = now;
            pooled.connection.enqueue(WriteItem::Call(parts));
        });
    }

    /// Whether a connection appears to have gone silent or to have stopped within an answer: nothing was
    /// received on it since the oldest attempt in flight was sent, although the server answers on other
    /// connections.
    pub(super) fn is_suspect(&self, now: Micros, pooled: &PooledConnection) -> bool {
        let stalled = pooled.partial_since.is_some_and(|at| now.saturating_sub(at) >= STALLED_AFTER);
        let oldest = pooled.in_flight.iter().filter_map(|(_, a)| Some(self.in_flight.get(a)?.sent)).min();
        stalled
            || oldest.is_some_and(|sent| pooled.last_received <= sent && pooled.server.is_overdue(now, sent))
    }

    /// Closes the connection that has been idle for longest to free its descriptor. Returns false if no
    /// connection is idle.
    pub fn evict_idle(&mut self) -> bool {
        let Some(id) = self.connections.longest_idle() else { return false };
        self.close(id);
        true
    }
}
