//! The servers that a list named, and each shard's holders among them. Nothing here decides anything.

use crate::api::*;
use crate::estimates::Pace;
use crate::state::Server;
use std::collections::{BTreeMap, BTreeSet};

/// Each shard's holders in row order: cells s + j by rank j, within a cell by name.
#[derive(Default)]
pub(crate) struct Rows {
    /// Of each cell: the servers that serve, by name.
    of_cell: Vec<Vec<usize>>,
    /// Of each cell: the holders of the shards that begin there.
    of_home: Vec<Vec<usize>>,
    reach: usize,
}

impl Rows {
    /// From the servers that serve, by name, each with its cell.
    fn new(cells: usize, reach: usize, serving: impl Iterator<Item = (usize, usize)>) -> Self {
        let mut of_cell = vec![Vec::new(); cells];
        for (cell, server) in serving {
            if let Some(of) = of_cell.get_mut(cell) {
                of.push(server);
            }
        }
        let mut rows = Rows { of_cell, of_home: vec![Vec::new(); cells], reach: reach.min(cells) };
        (0..cells).for_each(|home| rows.fill(home));
        rows
    }

    fn fill(&mut self, home: usize) {
        let (cells, of_cell) = (self.of_cell.len(), &self.of_cell);
        let row = (0..self.reach).flat_map(|j| of_cell[(home + j) % cells].iter().copied());
        self.of_home[home] = row.collect();
    }

    /// Whether they were made for so many cells.
    fn suit(&self, cells: usize, reach: usize) -> bool {
        self.of_cell.len() == cells && self.reach == reach.min(cells)
    }

    pub(crate) fn of(&self, shard: usize) -> &[usize] {
        if self.of_home.is_empty() { &[] } else { &self.of_home[shard % self.of_home.len()] }
    }

    /// The most holders that a shard has.
    pub(crate) fn most(&self) -> usize {
        self.of_home.iter().map(Vec::len).max().unwrap_or(0)
    }
}

/// All servers that a list named, but those that are forgotten.
#[derive(Default)]
pub(crate) struct Fleet {
    pub(crate) servers: Vec<Server>,
    /// Places in `servers` whose server is forgotten: the next new one takes one.
    pub(crate) free: Vec<usize>,
    pub(crate) by_name: BTreeMap<NodeId, usize>,
    pub(crate) rows: Rows,
    /// By zone: the share of attempts that met silence.
    pub(crate) silence: BTreeMap<usize, f64>,
    /// Those that this batch has sent to.
    pub(crate) called: Vec<usize>,
}

impl Fleet {
    /// The place of the server of this name, taken in with these paces if it is new.
    pub(crate) fn member(&mut self, node: NodeId, pace: f64, rescaled: f64) -> usize {
        if let Some(i) = self.by_name.get(&node) {
            return *i;
        }
        let i = self.free.pop().unwrap_or(self.servers.len());
        self.by_name.insert(node.clone(), i);
        let server = Server::new(node, Pace::new(pace, rescaled));
        if i == self.servers.len() {
            self.servers.push(server)
        } else {
            self.servers[i] = server
        }
        i
    }

    /// A batch begins: nothing shares a call yet.
    pub(crate) fn begin_batch(&mut self) {
        for i in std::mem::take(&mut self.called) {
            (self.servers[i].batch_parts, self.servers[i].batch_work) = (0, 0.0);
        }
    }

    /// Forgets the servers that are gone, not heard since this time and without anything that refers to them.
    pub(crate) fn forget_gone(&mut self, unheard: Millis, in_use: impl FnOnce() -> BTreeSet<usize>) {
        let servers = &self.servers;
        let gone = |i: &usize| servers[*i].state == NodeState::Gone && servers[*i].last_response_at < unheard;
        let mut forgotten: Vec<usize> = self.by_name.values().copied().filter(gone).collect();
        if forgotten.is_empty() {
            return;
        }
        let in_use = in_use();
        forgotten.retain(|i| !in_use.contains(i));
        for i in &forgotten {
            self.by_name.remove(&servers[*i].node);
        }
        self.free.extend(forgotten);
    }

    /// The cell of a server, if it serves.
    pub(crate) fn cell(&self, server: usize) -> Option<usize> {
        let s = &self.servers[server];
        (s.state == NodeState::Serving).then_some(s.cell)
    }

    /// The cells whose shards have no holder.
    fn bare(&self) -> Vec<bool> {
        self.rows.of_home.iter().map(Vec::is_empty).collect()
    }

    /// Makes all rows anew. True if a shard that had no holder has one now, or the other way round.
    pub(crate) fn make_rows(&mut self, cells: usize, reach: usize) -> bool {
        let before = self.bare();
        let serving = self.by_name.values().filter_map(|i| Some((self.cell(*i)?, *i)));
        self.rows = Rows::new(cells, reach, serving);
        before != self.bare()
    }

    /// Whether rows are there for so many cells.
    pub(crate) fn has_rows(&self, cells: usize, reach: usize) -> bool {
        self.rows.suit(cells, reach)
    }

    /// A server serves in another cell than it did, if any. Notes the cells that this concerns: their rows are made anew in
    /// [`Fleet::mend_rows`].
    pub(crate) fn moved(&mut self, server: usize, was: Option<usize>, concerned: &mut BTreeSet<usize>) {
        let is = self.cell(server);
        if was == is {
            return;
        }
        if let Some((cell, of)) = was.and_then(|cell| Some((cell, self.rows.of_cell.get_mut(cell)?))) {
            of.retain(|s| *s != server);
            concerned.insert(cell);
        }
        if let Some((cell, of)) = is.and_then(|cell| Some((cell, self.rows.of_cell.get_mut(cell)?))) {
            let node = &self.servers[server].node;
            let at = of.partition_point(|s| self.servers[*s].node < *node);
            of.insert(at, server);
            concerned.insert(cell);
        }
    }

    /// Makes the rows of these cells anew. True if a shard that had no holder has one now, or the other way round. And how
    /// many entries were written.
    pub(crate) fn mend_rows(&mut self, concerned: &BTreeSet<usize>) -> (bool, usize) {
        let cells = self.rows.of_cell.len();
        let reach = self.rows.reach;
        let homes: BTreeSet<usize> =
            concerned.iter().flat_map(|cell| (0..reach).map(move |j| (cell + cells - j) % cells)).collect();
        let (mut turned, mut written) = (false, 0);
        for home in homes {
            let bare = self.rows.of_home[home].is_empty();
            self.rows.fill(home);
            written += self.rows.of_home[home].len();
            turned |= bare != self.rows.of_home[home].is_empty();
        }
        (turned, written)
    }
}
