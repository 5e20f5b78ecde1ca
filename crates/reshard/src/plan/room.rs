//! What is in use at a moment, and whether one more copy keeps every bound.

use super::graph::Graph;
use plover_ranges::NodeName;
use std::collections::BTreeMap;
use thiserror::Error;

/// Why a copy cannot begin now.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Error)]
pub enum Short {
    /// As many copies as may be.
    #[error("{0} {1}")]
    Busy(&'static str, String),
    /// Bytes a second are given away.
    #[error("{0} {1}")]
    Rate(&'static str, String),
    /// Bytes of disk that a node lacks.
    #[error("disk of {0}: {1} bytes short")]
    Disk(NodeName, u64),
    /// Bytes of memory that a node lacks.
    #[error("memory of {0}: {1} bytes short")]
    Memory(NodeName, u64),
    /// What comes later in the order would not fit any more.
    #[error("room at {0} is kept for what comes earlier in the order")]
    Kept(NodeName),
}

/// What is in use.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Ledger {
    /// Bytes of disk and memory at each node, copies that do not serve included.
    pub used: BTreeMap<NodeName, (u64, u64)>,
    /// Copies that run at each node. Each takes its share of the node's bytes a second at most.
    pub nodes: BTreeMap<NodeName, u32>,
    /// Copies that run, and their bytes a second, between two zones, by their names in order.
    pub links: BTreeMap<(String, String), (u32, u64)>,
    /// Copies with an end in a zone.
    pub zones: BTreeMap<String, u32>,
    /// Copies that run.
    pub copies: u32,
}

/// A copy, as the ledger sees it.
#[derive(Clone, Copy, Debug)]
pub struct Asked<'a> {
    /// The node that is read.
    pub from: &'a NodeName,
    /// The node that is written.
    pub to: &'a NodeName,
    /// Bytes of disk and memory that it takes there; none where a try before holds them.
    pub takes: (u64, u64),
}

impl Ledger {
    /// Nothing runs; the nodes hold what they hold.
    pub fn new(graph: &Graph) -> Ledger {
        Ledger { used: graph.used.clone(), ..Ledger::default() }
    }

    /// Bytes of disk and memory that are left at a node beside what stays free; under 0 where there are fewer.
    pub fn left(&self, graph: &Graph, node: &NodeName) -> (i128, i128) {
        let used = self.used.get(node).copied().unwrap_or_default();
        let most = graph.nodes.get(node).map_or((0, 0), |facts| graph.bounds.room(facts));
        (i128::from(most.0) - i128::from(used.0), i128::from(most.1) - i128::from(used.1))
    }

    /// Whether a copy has room at the node that it goes to.
    pub fn has_room(&self, graph: &Graph, to: &NodeName, takes: (u64, u64)) -> Result<(), Short> {
        let left = self.left(graph, to);
        let lacks = |left: i128, takes: u64| u64::try_from(i128::from(takes) - left).unwrap_or(0);
        if takes.0 > 0 && lacks(left.0, takes.0) > 0 {
            return Err(Short::Disk(to.clone(), lacks(left.0, takes.0)));
        }
        if takes.1 > 0 && lacks(left.1, takes.1) > 0 {
            return Err(Short::Memory(to.clone(), lacks(left.1, takes.1)));
        }
        Ok(())
    }

    /// The bytes a second at which a copy may run beside those that do, or the bound that it would break.
    pub fn admits(&self, graph: &Graph, copy: Asked<'_>) -> Result<u64, Short> {
        let bounds = &graph.bounds;
        if self.copies >= super::goals::MOST_COPIES {
            return Err(Short::Busy("copies", self.copies.to_string()));
        }
        for node in [copy.from, copy.to] {
            if self.nodes.get(node).is_some_and(|n| *n >= bounds.copies_node) {
                return Err(Short::Busy("copies-node", node.to_string()));
            }
        }
        let (one, other) = (graph.zone(copy.from), graph.zone(copy.to));
        for zone in [one, other] {
            if self.zones.get(zone).is_some_and(|n| *n >= bounds.copies_zone) {
                return Err(Short::Busy("copies-zone", zone.to_owned()));
            }
        }
        let link = link(one, other);
        let on_link = self.links.get(&link).copied().unwrap_or_default();
        if one != other && on_link.0 >= bounds.copies_link {
            return Err(Short::Busy("copies-link", format!("{}-{}", link.0, link.1)));
        }
        self.has_room(graph, copy.to, copy.takes)?;
        // Its share of both nodes: so many copies as there may be at one never pass its rate together.
        let wanted = graph.pace(copy.from, copy.to);
        // A copy that would crawl waits: a quarter of its pace is the least that it starts with.
        let least = (wanted.0 / 4).max(1);
        let mut rate = wanted.0;
        if one != other {
            rate = rate.min(graph.link_rate(&link).saturating_sub(on_link.1));
            if rate < least {
                return Err(Short::Rate("link-rate", format!("{}-{}", link.0, link.1)));
            }
        }
        Ok(rate)
    }

    /// A copy begins.
    pub fn begin(&mut self, graph: &Graph, copy: Asked<'_>, rate: u64) {
        self.count(graph, copy, rate, true);
        let used = self.used.entry(copy.to.clone()).or_default();
        *used = (used.0.saturating_add(copy.takes.0), used.1.saturating_add(copy.takes.1));
    }

    /// A copy runs no more; what it took stays taken.
    pub fn end(&mut self, graph: &Graph, copy: Asked<'_>, rate: u64) {
        self.count(graph, copy, rate, false);
    }

    /// A node dropped so much.
    pub fn free(&mut self, node: &NodeName, takes: (u64, u64)) {
        let used = self.used.entry(node.clone()).or_default();
        *used = (used.0.saturating_sub(takes.0), used.1.saturating_sub(takes.1));
    }

    fn count(&mut self, graph: &Graph, copy: Asked<'_>, rate: u64, more: bool) {
        let step = |n: &mut u32| *n = if more { *n + 1 } else { n.saturating_sub(1) };
        let flow = |n: &mut u64| *n = if more { *n + rate } else { n.saturating_sub(rate) };
        step(&mut self.copies);
        for node in [copy.from, copy.to] {
            step(self.nodes.entry(node.clone()).or_default());
        }
        let (one, other) = (graph.zone(copy.from), graph.zone(copy.to));
        step(self.zones.entry(one.to_owned()).or_default());
        if one != other {
            step(self.zones.entry(other.to_owned()).or_default());
            let on = self.links.entry(link(one, other)).or_default();
            step(&mut on.0);
            flow(&mut on.1);
        }
        // What is at rest leaves no trace, so that equal states are equal values.
        self.nodes.retain(|_, n| *n != 0);
        self.links.retain(|_, n| *n != (0, 0));
        self.zones.retain(|_, n| *n != 0);
    }
}

/// Two zones' names in order.
pub fn link(one: &str, other: &str) -> (String, String) {
    let (low, high) = if one <= other { (one, other) } else { (other, one) };
    (low.to_owned(), high.to_owned())
}
