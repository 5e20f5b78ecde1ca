//! The graph of a plan's steps, with all that is needed to run them.

use super::goals::{Bounds, Group, MOST_STEPS};
use super::room::link;
use super::step::{Step, StepId};
use plover_ranges::{Link, Node, NodeName, RangeMap};
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

/// A step in its graph.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Planned {
    /// The step.
    pub step: Step,
    /// Its group.
    pub group: u16,
    /// The move that it belongs to: copy, catch up, switch, drop.
    pub chain: Option<u32>,
    /// Steps that ended before; all of them stand before it.
    pub needs: Vec<StepId>,
    /// Groups that ended before.
    pub awaits: Vec<u16>,
}

/// The steps of a plan in an order in which they fit one after another, with all that is needed to run them.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Graph {
    /// The plan's name.
    pub name: String,
    /// The map that it begins with.
    pub map: RangeMap,
    /// What holds at every moment.
    pub bounds: Bounds,
    /// Its groups.
    pub groups: Vec<Group>,
    /// What was known of the nodes.
    pub nodes: BTreeMap<NodeName, Node>,
    /// What was known of the links between zones.
    pub links: BTreeMap<(String, String), Link>,
    /// Bytes of disk and memory that each node holds at first.
    pub used: BTreeMap<NodeName, (u64, u64)>,
    /// The steps.
    pub steps: Vec<Planned>,
}

impl Graph {
    /// A node's zone.
    pub fn zone(&self, node: &NodeName) -> &str {
        self.nodes.get(node).map_or("", |n| n.zone.as_str())
    }

    /// Bytes a second that copies may take of a node, all together, with the name of what bounds them.
    pub fn node_rate(&self, node: &NodeName, write: bool) -> (u64, &'static str) {
        let Some(facts) = self.nodes.get(node) else { return (0, "unknown") };
        let disk = if write {
            (facts.write_rate, "its disk's writes")
        } else {
            (facts.read_rate, "its disk's reads")
        };
        let own = (facts.net_rate, "its connection");
        let bound = (self.bounds.disk_rate.unwrap_or(u64::MAX), "disk-rate");
        bound.min(own).min(disk)
    }

    /// Bytes a second that copies may take of a link.
    pub fn link_rate(&self, link: &(String, String)) -> u64 {
        let known = self.links.get(link).map_or(u64::MAX, |l| l.rate);
        known.min(self.bounds.link_rate.unwrap_or(u64::MAX))
    }

    /// The pace of a copy that has its share of both nodes and the link to itself, and what bounds it.
    pub fn pace(&self, from: &NodeName, to: &NodeName) -> (u64, String) {
        let each = u64::from(self.bounds.copies_node.max(1));
        let (read, write) = (self.node_rate(from, false), self.node_rate(to, true));
        let (one, other) = (self.zone(from), self.zone(to));
        let ends =
            [(read.0 / each, format!("{from}: {}", read.1)), (write.0 / each, format!("{to}: {}", write.1))];
        let across =
            (one != other).then(|| (self.link_rate(&link(one, other)), format!("link {one}-{other}")));
        ends.into_iter().chain(across).min().unwrap_or((0, String::new()))
    }

    /// The graph as bytes.
    pub fn bytes(&self) -> Vec<u8> {
        // Writing to memory fails for no value of these types.
        postcard::to_stdvec(self).unwrap_or_default()
    }

    /// Whether it is what [`compile`](super::compile::compile) could have made: every need stands before its step, every group is there.
    pub fn sound(&self) -> bool {
        let group = |g: &u16| usize::from(*g) < self.groups.len();
        let node = |n: &NodeName| self.nodes.contains_key(n);
        self.steps.len() <= MOST_STEPS
            && self.groups.iter().all(|g| g.after.iter().all(group))
            && self.steps.iter().enumerate().all(|(n, step)| {
                let nodes = match &step.step {
                    Step::Copy { from, to, .. } => node(from) && node(to),
                    _ => true,
                };
                nodes
                    && group(&step.group)
                    && step.awaits.iter().all(group)
                    && !step.awaits.contains(&step.group)
                    && step.needs.iter().all(|need| (need.0 as usize) < n)
            })
    }
}
