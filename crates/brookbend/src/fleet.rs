//! The servers that a list named, and each shard's holders among them. Nothing here decides anything.

use crate::api::*;
use crate::estimates::Pace;
use crate::state::Server;
use std::collections::{BTreeMap, BTreeSet};

/// Each shard's holders in row order: cells s + j by rank j, within a cell by name.
#[derive(Default)]
pub(crate) struct Rows {
    /// Of each cell: the servers that serve, by name.
    servers_by_cell: Vec<Vec<usize>>,
    /// Of each cell: the holders of the shards that begin there.
    holders_by_first_cell: Vec<Vec<usize>>,
    reach: usize,
}

impl Rows {
    /// From the servers that serve, by name, each with its cell.
    fn new(cells: usize, reach: usize, serving: impl Iterator<Item = (usize, usize)>) -> Self {
        let mut servers_by_cell = vec![Vec::new(); cells];
        for (cell, server) in serving {
            if let Some(of) = servers_by_cell.get_mut(cell) {
                of.push(server);
            }
        }
        let mut rows =
            Rows { servers_by_cell, holders_by_first_cell: vec![Vec::new(); cells], reach: reach.min(cells) };
        (0..cells).for_each(|home| rows.rebuild(home));
        rows
    }

    fn rebuild(&mut self, home: usize) {
        let (cells, servers_by_cell) = (self.servers_by_cell.len(), &self.servers_by_cell);
        let row = (0..self.reach).flat_map(|j| servers_by_cell[(home + j) % cells].iter().copied());
        self.holders_by_first_cell[home] = row.collect();
    }

    /// Whether they were made for so many cells.
    fn matches(&self, cells: usize, reach: usize) -> bool {
        self.servers_by_cell.len() == cells && self.reach == reach.min(cells)
    }

    pub(crate) fn holders(&self, shard: usize) -> &[usize] {
        if self.holders_by_first_cell.is_empty() {
            &[]
        } else {
            &self.holders_by_first_cell[shard % self.holders_by_first_cell.len()]
        }
    }

    /// The most holders that a shard has.
    pub(crate) fn max_holders(&self) -> usize {
        self.holders_by_first_cell.iter().map(Vec::len).max().unwrap_or(0)
    }
}

/// All servers that a list named, but those that are forgotten.
#[derive(Default)]
pub(crate) struct Fleet {
    pub(crate) servers: Vec<Server>,
    /// Places in `servers` whose server is forgotten: the next new one takes one.
    pub(crate) free_slots: Vec<usize>,
    pub(crate) by_name: BTreeMap<NodeId, usize>,
    pub(crate) rows: Rows,
    /// By zone: the share of attempts that met silence.
    pub(crate) silence_by_zone: BTreeMap<usize, f64>,
    /// Those that this batch has sent to.
    pub(crate) called_in_batch: Vec<usize>,
}

impl Fleet {
    /// The place of the server of this name, taken in with these paces if it is new.
    pub(crate) fn find_or_insert(&mut self, node: NodeId, pace: f64, rescaled: f64) -> usize {
        if let Some(i) = self.by_name.get(&node) {
            return *i;
        }
        let i = self.free_slots.pop().unwrap_or(self.servers.len());
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
        for i in std::mem::take(&mut self.called_in_batch) {
            (self.servers[i].batch_parts, self.servers[i].batch_work) = (0, 0.0);
        }
    }

    /// Forgets the servers that are gone, not heard since this time and without anything that refers to them.
    pub(crate) fn evict_gone(&mut self, unheard: Millis, in_use: impl FnOnce() -> BTreeSet<usize>) {
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
        self.free_slots.extend(forgotten);
    }

    /// The cell of a server, if it serves.
    pub(crate) fn serving_cell(&self, server: usize) -> Option<usize> {
        let s = &self.servers[server];
        (s.state == NodeState::Serving).then_some(s.cell)
    }

    /// The cells whose shards have no holder.
    fn has_no_holder(&self) -> Vec<bool> {
        self.rows.holders_by_first_cell.iter().map(Vec::is_empty).collect()
    }

    /// Makes all rows anew. True if a shard that had no holder has one now, or the other way round.
    pub(crate) fn rebuild_rows(&mut self, cells: usize, reach: usize) -> bool {
        let before = self.has_no_holder();
        let serving = self.by_name.values().filter_map(|i| Some((self.serving_cell(*i)?, *i)));
        self.rows = Rows::new(cells, reach, serving);
        before != self.has_no_holder()
    }

    /// Whether rows are there for so many cells.
    pub(crate) fn rows_match(&self, cells: usize, reach: usize) -> bool {
        self.rows.matches(cells, reach)
    }

    /// A server serves in another cell than it did, if any. Notes the cells that this concerns: their rows are made anew in
    /// [`Fleet::update_rows`].
    pub(crate) fn move_server(&mut self, server: usize, was: Option<usize>, concerned: &mut BTreeSet<usize>) {
        let is = self.serving_cell(server);
        if was == is {
            return;
        }
        if let Some((cell, of)) = was.and_then(|cell| Some((cell, self.rows.servers_by_cell.get_mut(cell)?)))
        {
            of.retain(|s| *s != server);
            concerned.insert(cell);
        }
        if let Some((cell, of)) = is.and_then(|cell| Some((cell, self.rows.servers_by_cell.get_mut(cell)?))) {
            let node = &self.servers[server].node;
            let at = of.partition_point(|s| self.servers[*s].node < *node);
            of.insert(at, server);
            concerned.insert(cell);
        }
    }

    /// Makes the rows of these cells anew. True if a shard that had no holder has one now, or the other way round. And how
    /// many entries were written.
    pub(crate) fn update_rows(&mut self, concerned: &BTreeSet<usize>) -> (bool, usize) {
        let cells = self.rows.servers_by_cell.len();
        let reach = self.rows.reach;
        let homes: BTreeSet<usize> =
            concerned.iter().flat_map(|cell| (0..reach).map(move |j| (cell + cells - j) % cells)).collect();
        let (mut turned, mut written) = (false, 0);
        for home in homes {
            let bare = self.rows.holders_by_first_cell[home].is_empty();
            self.rows.rebuild(home);
            written += self.rows.holders_by_first_cell[home].len();
            turned |= bare != self.rows.holders_by_first_cell[home].is_empty();
        }
        (turned, written)
    }
}
