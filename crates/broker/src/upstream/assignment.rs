//! Which connection a call goes by.

use super::connection::{Connection, QueuedPart, WriteItem, run};
use super::connection_table::{PooledConnection, Server};
use super::{HALTED, Upstream};
use plover_model::server::NodeId;
use plover_model::time::{MILLI, Micros};
use std::collections::VecDeque;
use std::rc::Rc;
use tracing::warn;

/// Most connections to a server, where descriptors allow: one spoilt answer ends all that is out beside it, so
/// that calls are spread while that costs little.
const PER_SERVER: usize = 4;
/// A connection that has not come up in this part of the dial time-out is late. Some come up a second later and some never,
/// while others to the same server take a millisecond: what waits for a late one goes by another.
pub(super) const LATE_DIAL: Micros = 8;
/// Most connections to a server that are on their way at once, for that.
const DIALS: usize = 3;

/// How a call goes out.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum ConnectionChoice {
    /// On a connection that is idle.
    Idle,
    /// On a new one.
    New,
    /// On one that has other calls out.
    Shared,
}

impl Upstream {
    /// How a call of so many parts to a server would go out now; `None`: it has no address.
    pub fn connection_choice(&self, now: Micros, name: &NodeId, parts: usize) -> Option<ConnectionChoice> {
        let server = self.servers.get(name).filter(|s| s.endpoint.get().is_some())?;
        let connections = server.connections.borrow();
        let takes = |c: &&PooledConnection| {
            let room = c.out.len() + parts.min(self.limits.max_parts_per_call)
                <= self.limits.max_parts_per_connection;
            let is_late = c.late && c.connection.is_dialling();
            room && !c.retiring && !is_late && !self.is_suspect(now, c)
        };
        let open = connections.iter().filter_map(|id| self.connections.get(id));
        Some(match open.filter(takes).map(|c| c.out.is_empty()).max() {
            Some(true) => ConnectionChoice::Idle,
            Some(false) => ConnectionChoice::Shared,
            None => ConnectionChoice::New,
        })
    }

    /// Whether that is out on that connection.
    #[cfg(test)]
    pub(crate) fn has_in_flight(&self, conn: u64, wire: &str) -> bool {
        self.connections.get(&conn).is_some_and(|c| c.answered(wire).is_some())
    }

    /// A connection with room for these parts, on which none of them is out yet: parts go by their ids there, and the answers
    /// to two attempts at one could not be told apart. Of the idle ones that which rested for longest, since a server
    /// may close one right after its answer, and a part that crosses the closing ends as a reset; else a new one,
    /// up to a few for each server; else the emptiest.
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
        let apart = |c: &PooledConnection| parts.iter().all(|part| c.attempt(&part.id).is_none());
        let room = |c: &PooledConnection| c.out.len() + parts.len() <= self.limits.max_parts_per_connection;
        let waits = |c: &PooledConnection| c.late && c.connection.is_dialling() && dialling < DIALS;
        let takes = |c: &PooledConnection| !c.retiring && !waits(c) && room(c) && apart(c);
        let roomy = open.filter(|(_, c)| takes(c) && !self.is_suspect(now, c));
        let best = roomy.min_by_key(|(_, c)| (c.out.len(), c.used));
        let most = (self.limits.max_connections / self.servers.len().max(1)).clamp(1, PER_SERVER);
        if let Some((id, conn)) = best
            && (conn.out.is_empty()
                || connections.len() >= most
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
        let (dial, sockets) = (self.limits.dial_timeout, self.sockets.clone());
        let task = run(id, endpoint, dial, connection.clone(), sockets, self.inbox.clone(), self.clock);
        let conn = PooledConnection {
            server: server.clone(),
            connection,
            _task: self.executor.spawn(task),
            out: Vec::new(),
            given_up: VecDeque::new(),
            begun: None,
            heard: now,
            used: now,
            dialled: now,
            awaited: true,
            late: false,
            retiring: false,
        };
        self.connections.add(id, conn);
        server.connections.borrow_mut().insert(id);
        Some(id)
    }

    /// Connections to a server that have not come up yet.
    fn dialling(&self, server: &Server) -> usize {
        let connections = server.connections.borrow();
        connections
            .iter()
            .filter(|id| self.connections.get(id).is_some_and(|c| c.connection.is_dialling()))
            .count()
    }

    /// Moves what waits for connections that are late to others of the same server. Nothing of it has been written.
    pub(super) fn pass_late(&mut self, now: Micros) {
        let Some(by) = now.checked_sub(self.limits.dial_timeout / LATE_DIAL) else { return };
        for id in self.connections.dialled(by) {
            let late = self.connections.change(id, |conn| {
                conn.awaited = false;
                conn.late = conn.connection.is_dialling();
                conn.late.then(|| (conn.server.clone(), conn.connection.withdraw_calls()))
            });
            let Some((server, calls)) = late.flatten() else { continue };
            for parts in calls {
                self.pass(now, id, &server, parts);
            }
        }
    }

    /// Moves one call from a connection, or leaves it there if there is no other.
    fn pass(&mut self, now: Micros, from: u64, server: &Rc<Server>, mut parts: Vec<QueuedPart>) {
        let most = self.dialling(server) >= DIALS;
        let to = if most { None } else { self.connection_for(now, server, &parts) }.unwrap_or(from);
        for part in &mut parts {
            let attempt = part.attempt;
            self.connections.change(from, |c| c.remove(attempt));
            self.connections.change(to, |c| c.out.push((part.id.clone(), attempt)));
            if let Some(flight) = self.in_flight.get_mut(&attempt) {
                flight.conn = to;
                part.wait_ms = (flight.deadline.saturating_sub(now) / MILLI).max(1);
            }
        }
        // Its task writes it, and looks at the clients before: they were looked at when the turn began that sent this.
        self.connections.change(to, |conn| {
            conn.used = now;
            conn.connection.put(WriteItem::Call(parts));
        });
    }

    /// Whether a connection has gone silent, or stopped within an answer, as far as that shows: nothing has come on it
    /// since what is out was sent, though the server answers on others.
    pub(super) fn is_suspect(&self, now: Micros, conn: &PooledConnection) -> bool {
        let halted = conn.begun.is_some_and(|at| now.saturating_sub(at) >= HALTED);
        let oldest = conn.out.iter().filter_map(|(_, a)| Some(self.in_flight.get(a)?.sent)).min();
        halted || oldest.is_some_and(|sent| conn.heard <= sent && conn.server.is_late(now, sent))
    }

    /// Makes room by closing the connection that has been idle for longest. False: there is none.
    pub fn evict_idle(&mut self) -> bool {
        let Some(id) = self.connections.longest_idle() else { return false };
        self.close(id);
        true
    }
}
