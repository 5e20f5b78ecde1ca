//! The connections to all data servers, indexed by the times at which they need attention.
//!
//! A broker may hold ten thousand connections and run two hundred turns a second. A turn therefore visits
//! only the connections that are due or on which something was received.

use super::connection::Connection;
use async_executor::Task;
use plover_frames::PartId;
use plover_model::query::AttemptId;
use plover_model::server::NodeId;
use plover_model::time::{MILLI, Micros};
use std::cell::{Cell, RefCell};
use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::net::SocketAddr;
use std::ops::Deref;
use std::rc::Rc;

/// An answer is overdue after this multiple of the server's recent answer time, and not before
/// [`MIN_OVERDUE`]. One connection of a server may fall silent while the others continue, and what is sent on
/// it is lost until that is detected.
const OVERDUE_FACTOR: Micros = 4;
const MIN_OVERDUE: Micros = 20 * MILLI;
/// Weight of one answer in the moving average of answer times, as a fraction.
const ANSWER_WEIGHT: (Micros, Micros) = (1, 8);

/// The state that all connections to one data server share.
pub(super) struct Server {
    pub(super) name: NodeId,
    /// `None` if the server is not to receive anything new.
    pub(super) endpoint: Cell<Option<SocketAddr>>,
    /// Ids of the open connections.
    pub(super) connections: RefCell<BTreeSet<u64>>,
    /// Moving average of answer times; 0 before the first answer.
    pub(super) recent_answer_time: Cell<Micros>,
    /// Time at which the most recently sent of the answered attempts was sent.
    pub(super) newest_answered: Cell<Micros>,
}

impl Server {
    pub(super) fn new(name: NodeId) -> Self {
        let (endpoint, connections, recent_answer_time, newest_answered) = Default::default();
        Server { name, endpoint, connections, recent_answer_time, newest_answered }
    }

    /// Records the answer to an attempt that was sent at `sent`.
    pub(super) fn record_answer(&self, sent: Micros, elapsed: Micros) {
        self.newest_answered.set(self.newest_answered.get().max(sent));
        let (of, all) = ANSWER_WEIGHT;
        let recent = self.recent_answer_time.get();
        self.recent_answer_time.set(if recent == 0 {
            elapsed
        } else {
            (recent * (all - of) + elapsed * of) / all
        });
    }

    /// Whether an attempt that was sent at `sent` should have been answered long ago, as later ones have
    /// been.
    pub(super) fn is_overdue(&self, now: Micros, sent: Micros) -> bool {
        self.newest_answered.get() > sent
            && now.saturating_sub(sent) >= (OVERDUE_FACTOR * self.recent_answer_time.get()).max(MIN_OVERDUE)
    }
}

/// A connection in the pool, from the start of its dialling to its close.
pub(super) struct PooledConnection {
    pub(super) server: Rc<Server>,
    pub(super) connection: Rc<Connection>,
    /// Runs the socket. Dropping the task closes the socket.
    pub(super) _task: Task<()>,
    /// Attempts in flight, the oldest first. They are few, and are looked up by their ids on the wire.
    pub(super) in_flight: Vec<(PartId, AttemptId)>,
    /// Parts that were cancelled after they had been written, the newest last. They may still be answered:
    /// none is forgotten before that, and the connection retires when there are many.
    pub(super) cancelled: VecDeque<PartId>,
    /// When an incomplete frame last grew; `None` if no frame is incomplete.
    pub(super) partial_since: Option<Micros>,
    /// When something was last received.
    pub(super) last_received: Micros,
    /// When an attempt was last sent or ended.
    pub(super) last_used: Micros,
    /// When dialling started.
    pub(super) dialled_at: Micros,
    /// Whether the connection was neither established nor overdue when it was last checked.
    pub(super) awaiting_dial: bool,
    /// Whether dialling took too long. The calls queued here were then moved to other connections where
    /// possible.
    pub(super) dial_overdue: bool,
    /// Whether the connection accepts no new calls and closes once nothing is in flight.
    pub(super) retiring: bool,
}

impl PooledConnection {
    /// Whether an answer with the id of this part may still arrive here, to an attempt that is in flight or
    /// was cancelled.
    pub(super) fn may_answer(&self, part: &PartId) -> bool {
        self.in_flight.iter().any(|(id, _)| id == part) || self.cancelled.contains(part)
    }

    /// The attempt in flight that an answer with this wire id belongs to.
    pub(super) fn attempt_answered_by(&self, id: &str) -> Option<AttemptId> {
        self.in_flight.iter().find(|(part, _)| part.is(id)).map(|(_, attempt)| *attempt)
    }

    /// Removes an attempt from those in flight.
    pub(super) fn remove(&mut self, attempt: AttemptId) {
        self.in_flight.retain(|(_, other)| *other != attempt);
    }

    fn index_keys(&self) -> IndexKeys {
        let idle = self.in_flight.is_empty();
        IndexKeys {
            idle: idle.then_some(self.last_used),
            done: idle && self.retiring,
            partial: self.partial_since,
            dial: self.awaiting_dial.then_some(self.dialled_at),
        }
    }
}

/// The keys of one connection in the indices of [`ConnectionTable`]; `None` if it is not in that index.
#[derive(Clone, Copy, Default, PartialEq)]
struct IndexKeys {
    idle: Option<Micros>,
    done: bool,
    partial: Option<Micros>,
    dial: Option<Micros>,
}

/// All connections by id. Changes go through [`ConnectionTable::change`], which keeps the indices up to date.
#[derive(Default)]
pub(super) struct ConnectionTable {
    all: BTreeMap<u64, PooledConnection>,
    /// Connections with nothing in flight, by the time of their last use.
    idle: BTreeSet<(Micros, u64)>,
    /// Idle connections that are retiring.
    done: BTreeSet<u64>,
    /// Connections with an incomplete frame, by the time at which it last grew.
    partial: BTreeSet<(Micros, u64)>,
    /// Connections that are awaited, by the time at which they were dialled.
    dials: BTreeSet<(Micros, u64)>,
    /// Number of connections visited since the start in search of those that are due.
    visits: Cell<u64>,
}

impl Deref for ConnectionTable {
    type Target = BTreeMap<u64, PooledConnection>;

    fn deref(&self) -> &Self::Target {
        &self.all
    }
}

fn replace(index: &mut BTreeSet<(Micros, u64)>, id: u64, old: Option<Micros>, new: Option<Micros>) {
    if old != new {
        old.map(|at| index.remove(&(at, id)));
        index.extend(new.map(|at| (at, id)));
    }
}

impl ConnectionTable {
    fn reindex(&mut self, id: u64, old: IndexKeys, new: IndexKeys) {
        if old == new {
            return;
        }
        replace(&mut self.idle, id, old.idle, new.idle);
        replace(&mut self.partial, id, old.partial, new.partial);
        replace(&mut self.dials, id, old.dial, new.dial);
        if new.done {
            self.done.insert(id);
        } else {
            self.done.remove(&id);
        }
    }

    /// Adds a connection.
    pub(super) fn add(&mut self, id: u64, pooled: PooledConnection) {
        let keys = pooled.index_keys();
        self.all.insert(id, pooled);
        self.reindex(id, IndexKeys::default(), keys);
    }

    /// Removes a connection and returns it.
    pub(super) fn remove(&mut self, id: u64) -> Option<PooledConnection> {
        let pooled = self.all.remove(&id)?;
        self.reindex(id, pooled.index_keys(), IndexKeys::default());
        Some(pooled)
    }

    /// Changes a connection and returns the result of `change`; `None` if there is no such connection.
    pub(super) fn change<T>(
        &mut self,
        id: u64,
        change: impl FnOnce(&mut PooledConnection) -> T,
    ) -> Option<T> {
        let pooled = self.all.get_mut(&id)?;
        let old = pooled.index_keys();
        let result = change(pooled);
        let new = pooled.index_keys();
        self.reindex(id, old, new);
        Some(result)
    }

    /// Number of connections with nothing in flight.
    pub(super) fn idle(&self) -> usize {
        self.idle.len()
    }

    /// The connection that has been idle for longest.
    pub(super) fn longest_idle(&self) -> Option<u64> {
        self.idle.first().map(|(_, id)| *id)
    }

    /// Connections that have been idle since `since` or longer.
    pub(super) fn idle_since(&self, since: Micros) -> BTreeSet<u64> {
        self.visited(self.idle.range(..=(since, u64::MAX)).map(|(_, id)| *id).collect())
    }

    /// Retiring connections with nothing in flight.
    pub(super) fn done(&self) -> BTreeSet<u64> {
        self.visited(self.done.clone())
    }

    /// Connections whose incomplete frame has not grown since `since`.
    pub(super) fn stalled(&self, since: Micros) -> BTreeSet<u64> {
        self.visited(self.partial.range(..=(since, u64::MAX)).map(|(_, id)| *id).collect())
    }

    /// Connections that were dialled at `by` or before and are not known to be established.
    pub(super) fn dialled(&self, by: Micros) -> BTreeSet<u64> {
        self.visited(self.dials.range(..=(by, u64::MAX)).map(|(_, id)| *id).collect())
    }

    fn visited(&self, ids: BTreeSet<u64>) -> BTreeSet<u64> {
        self.visits.set(self.visits.get() + ids.len() as u64);
        ids
    }

    /// When the incomplete frame that has not grown for longest last grew.
    pub(super) fn first_partial(&self) -> Option<Micros> {
        self.partial.first().map(|(at, _)| *at)
    }

    /// When the first of the connections that are not established was dialled.
    pub(super) fn first_dialling(&self) -> Option<Micros> {
        let dialling = |id: &u64| {
            self.visits.set(self.visits.get() + 1);
            self.all.get(id).is_some_and(|c| c.connection.is_dialling())
        };
        self.dials.iter().find(|(_, id)| dialling(id)).map(|(at, _)| *at)
    }

    /// Number of connections visited since the start in search of those that are due.
    #[cfg(test)]
    pub(super) fn visits(&self) -> u64 {
        self.visits.get()
    }
}
