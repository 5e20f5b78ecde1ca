//! What was measured of ranges, nodes and links. Units stand in the names; each figure has an age, and none is trusted
//! without it.

use crate::map::{NodeName, RangeId};
use plover_model::time::Micros;
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

/// How a node stands.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum NodeStatus {
    /// It serves at its full pace.
    Warm,
    /// It has started a short while ago.
    Cold,
    /// It finishes what it holds and leaves.
    Leaving,
    /// Nothing was heard of it for a while.
    #[serde(rename = "Unheard")]
    Unreachable,
}

/// One node.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Node {
    /// Its zone.
    pub zone: String,
    /// Its kind, as the operator names machines.
    pub kind: String,
    /// How it stands.
    #[serde(rename = "standing")]
    pub status: NodeStatus,
    /// Memory for data, in bytes.
    pub memory: u64,
    /// Disk for data, in bytes.
    pub disk: u64,
    /// Bytes a second that its disk reads.
    pub read_rate: u64,
    /// Bytes a second that its disk writes.
    pub write_rate: u64,
    /// Bytes a second of its own connection to all others.
    pub net_rate: u64,
    /// Work that it does in a second, in microseconds of a core of pace 1: cores times pace times a million.
    pub work_rate: u64,
    /// Age of the newest of these figures.
    pub age: Micros,
}

/// What a range asks of each of its holders together.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct RangeLoad {
    /// Its data, in bytes.
    pub bytes: u64,
    /// Bytes a second by which it grows; under 0 it shrinks.
    pub growth: f64,
    /// Queries a second over all replicas.
    pub rate: f64,
    /// Work of one query, in microseconds of a core of pace 1.
    pub work: f64,
    /// Share of its bytes that queries touch again and again, from 0 to 1: what memory is for.
    pub hot_share: f64,
    /// Bytes read from disk by a query that finds its data in no memory.
    pub cold_read: f64,
    /// Age of the newest of these figures.
    pub age: Micros,
}

/// The way between two zones.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct Link {
    /// Time there and back.
    pub round_trip: Micros,
    /// Bytes a second, both ways together.
    pub rate: u64,
}

/// All that is known of a fleet beside its map.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Fleet {
    /// Its nodes.
    pub nodes: BTreeMap<NodeName, Node>,
    /// What its ranges ask for.
    pub loads: BTreeMap<RangeId, RangeLoad>,
    /// Links between zones, by the two names in order. Within a zone only the nodes' own connections bind.
    pub links: BTreeMap<(String, String), Link>,
}

impl Fleet {
    /// The link between two zones; `None` within one, or where none was measured.
    pub fn link(&self, one: &str, other: &str) -> Option<&Link> {
        let (low, high) = if one <= other { (one, other) } else { (other, one) };
        self.links.get(&(low.to_owned(), high.to_owned()))
    }
}
