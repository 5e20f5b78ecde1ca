//! The data servers that the list has named, and the holders of each shard among them. Nothing here decides
//! anything.

use crate::api::*;
use crate::estimates::Pace;
use crate::state::Server;
use std::collections::{BTreeMap, BTreeSet};

/// Holders of each shard in row order: shard `s` is held in cell `s + j` for rank `j` below `reach`, modulo
/// the number of cells; within a cell the holders are ordered by name.
#[derive(Default)]
pub(crate) struct Rows {
    /// By cell: its serving servers, ordered by name.
    servers_by_cell: Vec<Vec<usize>>,
    /// By cell: the holders of the shards whose first holders are in that cell.
    holders_by_first_cell: Vec<Vec<usize>>,
    reach: usize,
}

impl Rows {
    /// Builds the rows from pairs of cell and serving server, ordered by the server's name.
    fn new(cells: usize, reach: usize, serving: impl Iterator<Item = (usize, usize)>) -> Self {
        let mut servers_by_cell = vec![Vec::new(); cells];
        for (cell, server) in serving {
            if let Some(servers) = servers_by_cell.get_mut(cell) {
                servers.push(server);
            }
        }
        let mut rows =
            Rows { servers_by_cell, holders_by_first_cell: vec![Vec::new(); cells], reach: reach.min(cells) };
        (0..cells).for_each(|first_cell| rows.rebuild(first_cell));
        rows
    }

    fn rebuild(&mut self, first_cell: usize) {
        let (cells, servers_by_cell) = (self.servers_by_cell.len(), &self.servers_by_cell);
        let holders = (0..self.reach).flat_map(|j| servers_by_cell[(first_cell + j) % cells].iter().copied());
        self.holders_by_first_cell[first_cell] = holders.collect();
    }

    /// Whether these rows were built for this number of cells and this reach.
    fn matches(&self, cells: usize, reach: usize) -> bool {
        self.servers_by_cell.len() == cells && self.reach == reach.min(cells)
    }

    /// Holders of a shard in row order; empty if it has none.
    pub(crate) fn holders(&self, shard: usize) -> &[usize] {
        if self.holders_by_first_cell.is_empty() {
            &[]
        } else {
            &self.holders_by_first_cell[shard % self.holders_by_first_cell.len()]
        }
    }

    /// Maximum number of holders of any shard.
    pub(crate) fn max_holders(&self) -> usize {
        self.holders_by_first_cell.iter().map(Vec::len).max().unwrap_or(0)
    }
}

/// The servers that any list has named and that were not evicted since.
#[derive(Default)]
pub(crate) struct Fleet {
    /// Records of servers. Other records refer to a server by its position here.
    pub(crate) servers: Vec<Server>,
    /// Positions in `servers` whose server was evicted. New servers reuse them.
    pub(crate) free_slots: Vec<usize>,
    pub(crate) by_name: BTreeMap<NodeId, usize>,
    pub(crate) rows: Rows,
    /// By zone: smoothed share of attempts that got no response.
    pub(crate) silence_by_zone: BTreeMap<usize, f64>,
    /// Servers that the current batch has sent attempts to, once for each attempt.
    pub(crate) called_in_batch: Vec<usize>,
}

impl Fleet {
    /// Position of the server with this name. A new server is added with the given measured and rescaled
    /// pace.
    pub(crate) fn find_or_insert(&mut self, node: NodeId, pace: f64, rescaled: f64) -> usize {
        if let Some(position) = self.by_name.get(&node) {
            return *position;
        }
        let position = self.free_slots.pop().unwrap_or(self.servers.len());
        self.by_name.insert(node.clone(), position);
        let server = Server::new(node, Pace::new(pace, rescaled));
        if position == self.servers.len() {
            self.servers.push(server)
        } else {
            self.servers[position] = server
        }
        position
    }

    /// Begins a batch: attempts share calls only with others of the same batch.
    pub(crate) fn begin_batch(&mut self) {
        for server in std::mem::take(&mut self.called_in_batch) {
            (self.servers[server].batch_parts, self.servers[server].batch_work) = (0, 0.0);
        }
    }

    /// Evicts the servers that are gone, have not responded since `responded_before` and are not among those
    /// `in_use`.
    pub(crate) fn evict_gone(&mut self, responded_before: Millis, in_use: impl FnOnce() -> BTreeSet<usize>) {
        let servers = &self.servers;
        let is_gone = |position: &usize| {
            servers[*position].state == NodeState::Gone
                && servers[*position].last_response_at < responded_before
        };
        let mut evicted: Vec<usize> = self.by_name.values().copied().filter(is_gone).collect();
        if evicted.is_empty() {
            return;
        }
        let in_use = in_use();
        evicted.retain(|position| !in_use.contains(position));
        for position in &evicted {
            self.by_name.remove(&servers[*position].node);
        }
        self.free_slots.extend(evicted);
    }

    /// Cell of a server; `None` if it does not serve.
    pub(crate) fn serving_cell(&self, server: usize) -> Option<usize> {
        let server = &self.servers[server];
        (server.state == NodeState::Serving).then_some(server.cell)
    }

    /// By cell: whether the shards whose first holders would be in that cell have no holder at all.
    fn without_holder(&self) -> Vec<bool> {
        self.rows.holders_by_first_cell.iter().map(Vec::is_empty).collect()
    }

    /// Rebuilds all rows. Returns whether any shard has lost its last holder or got its first.
    pub(crate) fn rebuild_rows(&mut self, cells: usize, reach: usize) -> bool {
        let before = self.without_holder();
        let serving = self.by_name.values().filter_map(|i| Some((self.serving_cell(*i)?, *i)));
        self.rows = Rows::new(cells, reach, serving);
        before != self.without_holder()
    }

    /// Whether the rows were built for this number of cells and this reach.
    pub(crate) fn rows_match(&self, cells: usize, reach: usize) -> bool {
        self.rows.matches(cells, reach)
    }

    /// Moves a server from the cell in which it served before, if any, to its current one, if any. Adds both
    /// to `changed_cells`, for which the caller has to call [`Fleet::update_rows`].
    pub(crate) fn move_server(
        &mut self,
        server: usize,
        previous: Option<usize>,
        changed_cells: &mut BTreeSet<usize>,
    ) {
        let current = self.serving_cell(server);
        if previous == current {
            return;
        }
        if let Some((cell, servers)) =
            previous.and_then(|cell| Some((cell, self.rows.servers_by_cell.get_mut(cell)?)))
        {
            servers.retain(|s| *s != server);
            changed_cells.insert(cell);
        }
        if let Some((cell, servers)) =
            current.and_then(|cell| Some((cell, self.rows.servers_by_cell.get_mut(cell)?)))
        {
            let node = &self.servers[server].node;
            let at = servers.partition_point(|s| self.servers[*s].node < *node);
            servers.insert(at, server);
            changed_cells.insert(cell);
        }
    }

    /// Rebuilds the rows that contain one of these cells. Returns whether any shard has lost its last holder
    /// or got its first, and the number of entries written.
    pub(crate) fn update_rows(&mut self, changed_cells: &BTreeSet<usize>) -> (bool, usize) {
        let cells = self.rows.servers_by_cell.len();
        let reach = self.rows.reach;
        let first_cells: BTreeSet<usize> = changed_cells
            .iter()
            .flat_map(|cell| (0..reach).map(move |j| (cell + cells - j) % cells))
            .collect();
        let (mut availability_changed, mut entries) = (false, 0);
        for first_cell in first_cells {
            let was_empty = self.rows.holders_by_first_cell[first_cell].is_empty();
            self.rows.rebuild(first_cell);
            entries += self.rows.holders_by_first_cell[first_cell].len();
            availability_changed |= was_empty != self.rows.holders_by_first_cell[first_cell].is_empty();
        }
        (availability_changed, entries)
    }
}
