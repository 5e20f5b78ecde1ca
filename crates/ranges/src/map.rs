//! The map of key ranges to nodes. Each change yields a new map with the next version, and gives the changed
//! ranges their next epoch, so that a part that was sent for an older epoch can be recognized.

use crate::key::{Key, KeyRange};
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, BTreeSet};
use std::fmt;
use std::sync::Arc;
use thiserror::Error;

/// Maximum number of ranges in a map.
pub const MAX_RANGES: usize = 1 << 20;
/// Maximum number of replicas of a range.
pub const MAX_REPLICAS: usize = 64;

/// Name of a node. It is the same at every broker and survives restarts.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct NodeName(pub Arc<str>);

impl From<&str> for NodeName {
    fn from(name: &str) -> NodeName {
        NodeName(name.into())
    }
}

impl fmt::Display for NodeName {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.fmt(f)
    }
}

/// Identifier of a range, which is never reused. A split issues two new identifiers, a merge one.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct RangeId(pub u64);

/// Epoch of a range. It increases by one with each change of the range's replicas. A range that results from
/// a split or a merge starts one above the highest epoch of the ranges it was made of.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Epoch(pub u64);

/// Version of a map. It increases by one with each change.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct MapVersion(pub u64);

impl fmt::Display for RangeId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "r{}", self.0)
    }
}

/// A range and the nodes that hold it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RangeAssignment {
    /// Identifier of the range.
    pub id: RangeId,
    /// Keys of the range.
    pub range: KeyRange,
    /// Epoch of the range.
    pub epoch: Epoch,
    /// Nodes that hold the range: at least one and at most [`MAX_REPLICAS`].
    pub replicas: BTreeSet<NodeName>,
}

/// Error of an invalid map or of an invalid change of a map.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum MapError {
    /// The map has no range with this identifier.
    #[error("{0} is not in the map")]
    UnknownRange(RangeId),
    /// The key is the first key of the range or outside of it.
    #[error("{0} does not split {1}")]
    SplitOutside(Key, KeyRange),
    /// The second range does not follow the first.
    #[error("{0} and {1} are not adjacent")]
    NotAdjacent(RangeId, RangeId),
    /// Ranges to be merged have different replicas.
    #[error("{0} and {1} have different replicas")]
    DifferentReplicas(RangeId, RangeId),
    /// The range has no replica, or too many.
    #[error("{0} would have {1} replicas; 1 to {MAX_REPLICAS} are allowed")]
    ReplicaCount(RangeId, usize),
    /// The map has too many ranges.
    #[error("more than {MAX_RANGES} ranges")]
    TooManyRanges,
    /// Keys before this range belong to no range, or to two.
    #[error("a gap or an overlap before {0}")]
    GapOrOverlap(KeyRange),
    /// There is no range, or the last range does not extend to the end of the key space.
    #[error("no range covers the end of the key space")]
    EndNotCovered,
    /// Two ranges have the same identifier, or the identifier has not been issued yet.
    #[error("{0} occurs twice or has not been issued yet")]
    InvalidId(RangeId),
}

/// A map in which every key belongs to exactly one range.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(try_from = "SerializedMap", into = "SerializedMap")]
pub struct RangeMap {
    version: MapVersion,
    /// Identifier of the next new range.
    next_id: RangeId,
    /// Ranges by their first key.
    ranges: BTreeMap<Key, RangeAssignment>,
}

/// Serialized form of a map: version, next identifier, and ranges by key.
type SerializedMap = (MapVersion, RangeId, Vec<RangeAssignment>);

impl RangeMap {
    /// Creates a map with a single range of all keys.
    pub fn single_range(replicas: BTreeSet<NodeName>) -> Result<RangeMap, MapError> {
        let assignment =
            RangeAssignment { id: RangeId(0), range: KeyRange::full(), epoch: Epoch(1), replicas };
        RangeMap::new(MapVersion(1), RangeId(1), vec![assignment])
    }

    /// Creates a map of these ranges, which must be sorted by key. `next_id` is the identifier of the next
    /// new range.
    pub fn new(
        version: MapVersion,
        next_id: RangeId,
        assignments: Vec<RangeAssignment>,
    ) -> Result<RangeMap, MapError> {
        if assignments.len() > MAX_RANGES {
            return Err(MapError::TooManyRanges);
        }
        let mut ids = BTreeSet::new();
        let mut ranges = BTreeMap::new();
        let mut expected = Some(Key::smallest());
        for assignment in assignments {
            if expected.as_ref() != Some(assignment.range.start()) {
                return Err(MapError::GapOrOverlap(assignment.range));
            }
            if assignment.id >= next_id || !ids.insert(assignment.id) {
                return Err(MapError::InvalidId(assignment.id));
            }
            check_replica_count(&assignment)?;
            expected = assignment.range.end().cloned();
            ranges.insert(assignment.range.start().clone(), assignment);
        }
        if expected.is_some() {
            return Err(MapError::EndNotCovered);
        }
        Ok(RangeMap { version, next_id, ranges })
    }

    /// Returns the version of the map.
    pub fn version(&self) -> MapVersion {
        self.version
    }

    /// Returns the identifier of the next new range.
    pub fn next_id(&self) -> RangeId {
        self.next_id
    }

    /// Returns all ranges in the order of their keys.
    pub fn ranges(&self) -> impl DoubleEndedIterator<Item = &RangeAssignment> {
        self.ranges.values()
    }

    /// Returns the number of ranges, which is at least 1.
    pub fn range_count(&self) -> usize {
        self.ranges.len()
    }

    /// Returns the range that contains this key. There always is one, so that `None` does not occur.
    pub fn lookup(&self, key: &Key) -> Option<&RangeAssignment> {
        self.ranges.range(..=key).next_back().map(|(_, assignment)| assignment)
    }

    /// Returns the range with this identifier, by a search through all ranges.
    pub fn by_id(&self, id: RangeId) -> Result<&RangeAssignment, MapError> {
        self.ranges.values().find(|assignment| assignment.id == id).ok_or(MapError::UnknownRange(id))
    }

    /// Returns the ranges that have keys in common with this one, in the order of their keys.
    pub fn overlapping(&self, range: &KeyRange) -> impl Iterator<Item = &RangeAssignment> {
        let first = self
            .lookup(range.start())
            .map_or_else(Key::smallest, |assignment| assignment.range.start().clone());
        let range = range.clone();
        self.ranges
            .range(first..)
            .map(|(_, assignment)| assignment)
            .take_while(move |assignment| assignment.range.overlaps(&range))
    }

    /// Returns a map in which a range has other replicas.
    pub fn with_replicas(&self, id: RangeId, replicas: BTreeSet<NodeName>) -> Result<RangeMap, MapError> {
        let mut assignment = self.by_id(id)?.clone();
        assignment.replicas = replicas;
        assignment.epoch.0 += 1;
        check_replica_count(&assignment)?;
        let mut map = self.next_version();
        map.ranges.insert(assignment.range.start().clone(), assignment);
        Ok(map)
    }

    /// Returns a map in which a range is split at this key into two ranges with the same replicas.
    pub fn with_split(&self, id: RangeId, at: &Key) -> Result<RangeMap, MapError> {
        let assignment = self.by_id(id)?.clone();
        let Some((low, high)) = assignment.range.split(at) else {
            return Err(MapError::SplitOutside(at.clone(), assignment.range));
        };
        if self.range_count() >= MAX_RANGES {
            return Err(MapError::TooManyRanges);
        }
        let mut map = self.next_version();
        for range in [low, high] {
            let half = RangeAssignment {
                id: map.next_id,
                range,
                epoch: Epoch(assignment.epoch.0 + 1),
                ..assignment.clone()
            };
            map.next_id.0 += 1;
            map.ranges.insert(half.range.start().clone(), half);
        }
        Ok(map)
    }

    /// Returns a map in which a range and the one that follows it are merged. Both must have the same
    /// replicas.
    pub fn with_merge(&self, low: RangeId, high: RangeId) -> Result<RangeMap, MapError> {
        let (first, second) = (self.by_id(low)?, self.by_id(high)?);
        let range = first.range.merge(&second.range).ok_or(MapError::NotAdjacent(low, high))?;
        if first.replicas != second.replicas {
            return Err(MapError::DifferentReplicas(low, high));
        }
        let epoch = Epoch(first.epoch.max(second.epoch).0 + 1);
        let mut map = self.next_version();
        let merged = RangeAssignment { id: map.next_id, range, epoch, replicas: first.replicas.clone() };
        map.next_id.0 += 1;
        map.ranges.remove(second.range.start());
        map.ranges.insert(merged.range.start().clone(), merged);
        Ok(map)
    }

    /// Returns a copy of the map with the next version.
    fn next_version(&self) -> RangeMap {
        RangeMap { version: MapVersion(self.version.0 + 1), ..self.clone() }
    }
}

fn check_replica_count(assignment: &RangeAssignment) -> Result<(), MapError> {
    let count = assignment.replicas.len();
    if (1..=MAX_REPLICAS).contains(&count) {
        Ok(())
    } else {
        Err(MapError::ReplicaCount(assignment.id, count))
    }
}

impl TryFrom<SerializedMap> for RangeMap {
    type Error = MapError;
    fn try_from((version, next_id, assignments): SerializedMap) -> Result<RangeMap, MapError> {
        RangeMap::new(version, next_id, assignments)
    }
}

impl From<RangeMap> for SerializedMap {
    fn from(map: RangeMap) -> SerializedMap {
        (map.version, map.next_id, map.ranges.into_values().collect())
    }
}
