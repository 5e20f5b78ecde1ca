//! Measured properties of ranges, nodes and links. Each set of measurements has an age, without which none is
//! trusted.

use crate::map::{NodeName, RangeId};
use plover_model::time::Micros;
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

/// Status of a node.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum NodeStatus {
    /// Serves at its full pace.
    Warm,
    /// Started recently and has not warmed up yet.
    Cold,
    /// Finishes its work in progress and then leaves.
    Leaving,
    /// Has not reported for some time.
    #[serde(rename = "Unheard")]
    Unreachable,
}

/// Measured properties of a node.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Node {
    /// Name of the node's zone.
    pub zone: String,
    /// Kind of machine, as the operator names it.
    pub kind: String,
    /// Current status.
    #[serde(rename = "standing")]
    pub status: NodeStatus,
    /// Memory for data in bytes.
    pub memory: u64,
    /// Disk space for data in bytes.
    pub disk: u64,
    /// Read rate of the disk in bytes per second.
    pub read_rate: u64,
    /// Write rate of the disk in bytes per second.
    pub write_rate: u64,
    /// Rate of the node's network interface in bytes per second, to all other nodes together.
    pub net_rate: u64,
    /// Work per second, in microseconds of a core of pace 1: number of cores times pace times a million.
    pub work_rate: u64,
    /// Age of the newest of these measurements.
    pub age: Micros,
}

/// Load that a range puts on all of its replicas together.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct RangeLoad {
    /// Size of the range's data in bytes.
    pub bytes: u64,
    /// Growth of the data in bytes per second. A negative value means that it shrinks.
    pub growth: f64,
    /// Queries per second over all replicas.
    pub rate: f64,
    /// Work of one query in microseconds of a core of pace 1.
    pub work: f64,
    /// Share of the data, from 0 to 1, that queries access repeatedly and that should be kept in memory.
    pub hot_share: f64,
    /// Bytes that a query reads from disk if its data is not in memory.
    pub cold_read: f64,
    /// Age of the newest of these measurements.
    pub age: Micros,
}

/// Network link between two zones.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct Link {
    /// Round-trip time.
    pub round_trip: Micros,
    /// Rate in bytes per second, in both directions together.
    pub rate: u64,
}

/// Measured properties of a fleet.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Fleet {
    /// Nodes by name.
    pub nodes: BTreeMap<NodeName, Node>,
    /// Load of each range.
    pub loads: BTreeMap<RangeId, RangeLoad>,
    /// Links between zones, by both names in ascending order. Within a zone, only the nodes' own network
    /// rates apply.
    pub links: BTreeMap<(String, String), Link>,
}

impl Fleet {
    /// Returns the link between two zones; `None` if they are the same or the link was not measured.
    pub fn link(&self, one: &str, other: &str) -> Option<&Link> {
        let (low, high) = if one <= other { (one, other) } else { (other, one) };
        self.links.get(&(low.to_owned(), high.to_owned()))
    }
}
