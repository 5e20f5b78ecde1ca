//! The connections to all data servers, and what is due among them, by its time.
//!
//! A broker may hold ten thousand connections and take two hundred turns a second: a turn looks at those alone that are
//! due or were heard.

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

/// So many times what answers take of late make one that has not come late, and at the least so long: one connection of
/// a server may fall silent while the others go on, and what is sent on it is lost until that shows.
const LATE: Micros = 4;
const LATE_LEAST: Micros = 20 * MILLI;
/// Weight of one answer in how long answers take.
const NEWS: (Micros, Micros) = (1, 8);

/// A data server, as its connections know it.
pub(super) struct Server {
    pub(super) name: NodeId,
    pub(super) endpoint: Cell<Option<SocketAddr>>,
    pub(super) connections: RefCell<BTreeSet<u64>>,
    /// How long answers take of late; 0: none has come.
    pub(super) usual: Cell<Micros>,
    /// When the newest attempt was sent that was answered.
    pub(super) answered: Cell<Micros>,
}

impl Server {
    pub(super) fn new(name: NodeId) -> Self {
        let (endpoint, connections, usual, answered) = Default::default();
        Server { name, endpoint, connections, usual, answered }
    }

    /// An attempt that was sent then is answered.
    pub(super) fn hear(&self, sent: Micros, elapsed: Micros) {
        self.answered.set(self.answered.get().max(sent));
        let (of, all) = NEWS;
        let usual = self.usual.get();
        self.usual.set(if usual == 0 { elapsed } else { (usual * (all - of) + elapsed * of) / all });
    }

    /// Whether what was sent then should long be answered: later ones were.
    pub(super) fn is_late(&self, now: Micros, sent: Micros) -> bool {
        self.answered.get() > sent && now.saturating_sub(sent) >= (LATE * self.usual.get()).max(LATE_LEAST)
    }
}

/// A connection, from its dialling on.
pub(super) struct PooledConnection {
    pub(super) server: Rc<Server>,
    pub(super) connection: Rc<Connection>,
    /// Runs the socket. Dropping it closes the socket.
    pub(super) _task: Task<()>,
    /// What is out here, the oldest first: few, and looked for by their ids on the wire.
    pub(super) out: Vec<(PartId, AttemptId)>,
    /// What was given up after it was written, the newest last: it may still be answered.
    pub(super) given_up: VecDeque<PartId>,
    /// When a frame that is not all there last grew.
    pub(super) begun: Option<Micros>,
    pub(super) heard: Micros,
    pub(super) used: Micros,
    pub(super) dialled: Micros,
    /// Whether it is waited for, as far as was seen: it is neither up nor late.
    pub(super) awaited: bool,
    /// It was late, and what waited for it has gone by another where that could be.
    pub(super) late: bool,
    /// It takes nothing new and closes once nothing is out on it.
    pub(super) retiring: bool,
}

impl PooledConnection {
    /// The attempt at this part that is out here.
    pub(super) fn attempt(&self, part: &PartId) -> Option<AttemptId> {
        self.out.iter().find(|(id, _)| id == part).map(|(_, attempt)| *attempt)
    }

    /// The attempt that an answer of this id is for.
    pub(super) fn answered(&self, id: &str) -> Option<AttemptId> {
        self.out.iter().find(|(part, _)| part.is(id)).map(|(_, attempt)| *attempt)
    }

    /// An attempt is no longer out here.
    pub(super) fn remove(&mut self, attempt: AttemptId) {
        self.out.retain(|(_, other)| *other != attempt);
    }

    fn due(&self) -> Due {
        let idle = self.out.is_empty();
        Due {
            idle: idle.then_some(self.used),
            done: idle && self.retiring,
            begun: self.begun,
            dial: self.awaited.then_some(self.dialled),
        }
    }
}

/// Where a connection stands among those that are due.
#[derive(Clone, Copy, Default, PartialEq)]
struct Due {
    idle: Option<Micros>,
    done: bool,
    begun: Option<Micros>,
    dial: Option<Micros>,
}

/// All connections. Each is changed through [`ConnectionTable::change`], which keeps the indices.
#[derive(Default)]
pub(super) struct ConnectionTable {
    all: BTreeMap<u64, PooledConnection>,
    /// Those on which nothing is out, by when they were last used.
    idle: BTreeSet<(Micros, u64)>,
    /// Those of them that retire.
    done: BTreeSet<u64>,
    /// Those on which a frame has begun, by when it last grew.
    begun: BTreeSet<(Micros, u64)>,
    /// Those that are waited for, by when they were dialled.
    dials: BTreeSet<(Micros, u64)>,
    /// So many were looked at in search of what is due, since the start.
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
    fn index(&mut self, id: u64, old: Due, new: Due) {
        if old == new {
            return;
        }
        replace(&mut self.idle, id, old.idle, new.idle);
        replace(&mut self.begun, id, old.begun, new.begun);
        replace(&mut self.dials, id, old.dial, new.dial);
        if new.done {
            self.done.insert(id);
        } else {
            self.done.remove(&id);
        }
    }

    /// Takes a connection.
    pub(super) fn add(&mut self, id: u64, conn: PooledConnection) {
        let due = conn.due();
        self.all.insert(id, conn);
        self.index(id, Due::default(), due);
    }

    /// Gives one up.
    pub(super) fn remove(&mut self, id: u64) -> Option<PooledConnection> {
        let conn = self.all.remove(&id)?;
        self.index(id, conn.due(), Due::default());
        Some(conn)
    }

    /// Changes one. `None`: there is none.
    pub(super) fn change<T>(
        &mut self,
        id: u64,
        change: impl FnOnce(&mut PooledConnection) -> T,
    ) -> Option<T> {
        let conn = self.all.get_mut(&id)?;
        let old = conn.due();
        let result = change(conn);
        let new = conn.due();
        self.index(id, old, new);
        Some(result)
    }

    /// Connections on which nothing is out.
    pub(super) fn idle(&self) -> usize {
        self.idle.len()
    }

    /// That which has been idle for longest.
    pub(super) fn longest_idle(&self) -> Option<u64> {
        self.idle.first().map(|(_, id)| *id)
    }

    /// Those that are idle since that moment or longer.
    pub(super) fn idle_since(&self, since: Micros) -> BTreeSet<u64> {
        self.seen(self.idle.range(..=(since, u64::MAX)).map(|(_, id)| *id).collect())
    }

    /// Those that are retired and done with.
    pub(super) fn done(&self) -> BTreeSet<u64> {
        self.seen(self.done.clone())
    }

    /// Those whose frame has not grown since that moment.
    pub(super) fn stalled(&self, since: Micros) -> BTreeSet<u64> {
        self.seen(self.begun.range(..=(since, u64::MAX)).map(|(_, id)| *id).collect())
    }

    /// Those that were dialled at that moment or before and are not known to have come up.
    pub(super) fn dialled(&self, by: Micros) -> BTreeSet<u64> {
        self.seen(self.dials.range(..=(by, u64::MAX)).map(|(_, id)| *id).collect())
    }

    fn seen(&self, ids: BTreeSet<u64>) -> BTreeSet<u64> {
        self.visits.set(self.visits.get() + ids.len() as u64);
        ids
    }

    /// When the frame last grew that has not for longest.
    pub(super) fn first_begun(&self) -> Option<Micros> {
        self.begun.first().map(|(at, _)| *at)
    }

    /// When the first of those was dialled that are not up.
    pub(super) fn first_dialled(&self) -> Option<Micros> {
        let dialling = |id: &u64| {
            self.visits.set(self.visits.get() + 1);
            self.all.get(id).is_some_and(|c| c.connection.is_dialling())
        };
        self.dials.iter().find(|(_, id)| dialling(id)).map(|(at, _)| *at)
    }

    /// So many were looked at in search of what is due, since the start.
    #[cfg(test)]
    pub(super) fn visits(&self) -> u64 {
        self.visits.get()
    }
}
