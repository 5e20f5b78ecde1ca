//! The connections that a watch holds open, and what is out on each.

use crate::state::Call;
use plover_model::time::Micros;

/// The most connections that a watch holds open at one time.
pub const MOST_CONNECTIONS: usize = 4;

/// Names one connection of a watch. No two of them share a name.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct ConnectionId(u64);

/// A call that has not been answered yet.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Outstanding {
    pub(crate) call: Call,
    /// When it went out.
    pub(crate) at: Micros,
}

/// One open connection.
#[derive(Clone, Debug)]
pub(crate) struct Open {
    pub(crate) id: ConnectionId,
    pub(crate) outstanding: Option<Outstanding>,
    /// It is closed then if its call has not been answered.
    pub(crate) closes_at: Micros,
    /// Whether another connection has answered while this one's call was out. It takes no further call.
    pub(crate) superseded: bool,
}

/// All open connections, the oldest first.
#[derive(Clone, Debug, Default)]
pub(crate) struct Connections {
    open: Vec<Open>,
    opened: u64,
}

impl Connections {
    /// Opens one. Where there are too many, the oldest goes.
    pub(crate) fn open(&mut self, closes_at: Micros) -> ConnectionId {
        if self.open.len() >= MOST_CONNECTIONS {
            self.open.remove(0);
        }
        self.opened += 1;
        let id = ConnectionId(self.opened);
        self.open.push(Open { id, outstanding: None, closes_at, superseded: false });
        id
    }

    pub(crate) fn holds(&self, id: ConnectionId) -> bool {
        self.open.iter().any(|open| open.id == id)
    }

    pub(crate) fn get_mut(&mut self, id: ConnectionId) -> Option<&mut Open> {
        self.open.iter_mut().find(|open| open.id == id)
    }

    /// Closes one and returns what is known of it.
    pub(crate) fn close(&mut self, id: ConnectionId) -> Option<Open> {
        let at = self.open.iter().position(|open| open.id == id)?;
        Some(self.open.remove(at))
    }

    pub(crate) fn close_all(&mut self) {
        self.open.clear();
    }

    /// Puts back one that has answered and takes further calls.
    pub(crate) fn keep(&mut self, id: ConnectionId) {
        let kept = Open { id, outstanding: None, closes_at: Micros::MAX, superseded: false };
        let at = self.open.partition_point(|open| open.id < id);
        self.open.insert(at, kept);
    }

    /// One of them has answered: those whose call is out take no further call, and those that have none out are closed.
    pub(crate) fn supersede_all(&mut self) {
        self.open.retain(|open| open.outstanding.is_some());
        self.open.iter_mut().for_each(|open| open.superseded = true);
    }

    /// Closes one whose time is over.
    pub(crate) fn expire(&mut self, now: Micros) -> Option<ConnectionId> {
        let id = self.open.iter().find(|open| open.closes_at <= now)?.id;
        self.close(id);
        Some(id)
    }

    /// When the next one's time is over.
    pub(crate) fn next_expiry(&self) -> Micros {
        self.open.iter().map(|open| open.closes_at).min().unwrap_or(Micros::MAX)
    }
}
