//! The map of key ranges to nodes. Each change gives a new map with the next version, and the ranges that it touches
//! their next epoch: a part that was sent under an older one can be told so.

use crate::key::{Key, KeyRange};
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, BTreeSet};
use std::fmt;
use std::sync::Arc;
use thiserror::Error;

/// Most ranges in a map.
pub const MAX_RANGES: usize = 1 << 20;
/// Most replicas of a range.
pub const MAX_REPLICAS: usize = 64;

/// Name of a node; the same at every broker, kept over restarts.
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

/// Name of a range; never used twice. A split gives two new ones, a merge one.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct RangeId(pub u64);

/// Grows by one with each change of a range's holders or bounds. A new range begins one above those it was made of.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Epoch(pub u64);

/// Grows by one with each change of the map.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct MapVersion(pub u64);

impl fmt::Display for RangeId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "r{}", self.0)
    }
}

/// One range and who holds it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RangeAssignment {
    /// Its name.
    pub id: RangeId,
    /// Its keys.
    pub range: KeyRange,
    /// Its epoch.
    pub epoch: Epoch,
    /// Its holders: at least one, at most [`MAX_REPLICAS`].
    pub replicas: BTreeSet<NodeName>,
}

/// Why a map, or a change of one, is refused.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum MapError {
    /// No range of this name is there.
    #[error("{0} is not in the map")]
    UnknownRange(RangeId),
    /// The key cuts nothing off.
    #[error("{0} cuts nothing off {1}")]
    SplitOutside(Key, KeyRange),
    /// The second does not follow the first.
    #[error("{0} and {1} are no neighbours")]
    NotAdjacent(RangeId, RangeId),
    /// Ranges that are merged have different holders.
    #[error("{0} and {1} have different holders")]
    DifferentReplicas(RangeId, RangeId),
    /// No holder, or too many.
    #[error("{0} would have {1} replicas; 1 to {MAX_REPLICAS} are allowed")]
    ReplicaCount(RangeId, usize),
    /// Too many ranges.
    #[error("over {MAX_RANGES} ranges")]
    TooManyRanges,
    /// Keys that no range holds, or two do, before this one.
    #[error("a gap or an overlap before {0}")]
    GapOrOverlap(KeyRange),
    /// The last range does not reach to the end, or there is none.
    #[error("the end of the key space is not held")]
    EndNotCovered,
    /// Two ranges of one name, or a name that is yet to be given.
    #[error("{0} is named twice or is yet to be given")]
    InvalidId(RangeId),
}

/// The map: every key is held by exactly one range.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(try_from = "Parts", into = "Parts")]
pub struct RangeMap {
    version: MapVersion,
    /// The name that the next new range gets.
    next: RangeId,
    /// By their first key.
    ranges: BTreeMap<Key, RangeAssignment>,
}

/// What a map is written as.
type Parts = (MapVersion, RangeId, Vec<RangeAssignment>);

impl RangeMap {
    /// One range of all keys, held by these.
    pub fn single_range(replicas: BTreeSet<NodeName>) -> Result<RangeMap, MapError> {
        let held = RangeAssignment { id: RangeId(0), range: KeyRange::full(), epoch: Epoch(1), replicas };
        RangeMap::new(MapVersion(1), RangeId(1), vec![held])
    }

    /// The map of these ranges in the order of their keys; `next` is the name that the next new range gets.
    pub fn new(version: MapVersion, next: RangeId, held: Vec<RangeAssignment>) -> Result<RangeMap, MapError> {
        if held.len() > MAX_RANGES {
            return Err(MapError::TooManyRanges);
        }
        let mut names = BTreeSet::new();
        let mut ranges = BTreeMap::new();
        let mut expected = Some(Key::smallest());
        for held in held {
            if expected.as_ref() != Some(held.range.start()) {
                return Err(MapError::GapOrOverlap(held.range));
            }
            if held.id >= next || !names.insert(held.id) {
                return Err(MapError::InvalidId(held.id));
            }
            replicas_fit(&held)?;
            expected = held.range.end().cloned();
            ranges.insert(held.range.start().clone(), held);
        }
        if expected.is_some() {
            return Err(MapError::EndNotCovered);
        }
        Ok(RangeMap { version, next, ranges })
    }

    /// Its version.
    pub fn version(&self) -> MapVersion {
        self.version
    }

    /// The name that the next new range gets.
    pub fn next_id(&self) -> RangeId {
        self.next
    }

    /// All ranges, in the order of their keys.
    pub fn ranges(&self) -> impl DoubleEndedIterator<Item = &RangeAssignment> {
        self.ranges.values()
    }

    /// How many ranges there are; never 0.
    pub fn range_count(&self) -> usize {
        self.ranges.len()
    }

    /// The range that holds this key. There always is one; `None` cannot come of a map that was made here.
    pub fn lookup(&self, key: &Key) -> Option<&RangeAssignment> {
        self.ranges.range(..=key).next_back().map(|(_, held)| held)
    }

    /// The range of this name. It looks through all of them.
    pub fn by_id(&self, id: RangeId) -> Result<&RangeAssignment, MapError> {
        self.ranges.values().find(|held| held.id == id).ok_or(MapError::UnknownRange(id))
    }

    /// The ranges that hold a key of this one, in order.
    pub fn overlapping(&self, range: &KeyRange) -> impl Iterator<Item = &RangeAssignment> {
        let first = self.lookup(range.start()).map_or_else(Key::smallest, |held| held.range.start().clone());
        let range = range.clone();
        self.ranges.range(first..).map(|(_, held)| held).take_while(move |held| held.range.overlaps(&range))
    }

    /// The map in which a range is held by these instead.
    pub fn with_replicas(&self, id: RangeId, replicas: BTreeSet<NodeName>) -> Result<RangeMap, MapError> {
        let mut held = self.by_id(id)?.clone();
        held.replicas = replicas;
        held.epoch.0 += 1;
        replicas_fit(&held)?;
        let mut map = self.changed();
        map.ranges.insert(held.range.start().clone(), held);
        Ok(map)
    }

    /// The map in which a range is two, cut at this key, with the same holders.
    pub fn with_split(&self, id: RangeId, at: &Key) -> Result<RangeMap, MapError> {
        let held = self.by_id(id)?.clone();
        let Some((low, high)) = held.range.split(at) else {
            return Err(MapError::SplitOutside(at.clone(), held.range));
        };
        if self.range_count() >= MAX_RANGES {
            return Err(MapError::TooManyRanges);
        }
        let mut map = self.changed();
        for range in [low, high] {
            let half =
                RangeAssignment { id: map.next, range, epoch: Epoch(held.epoch.0 + 1), ..held.clone() };
            map.next.0 += 1;
            map.ranges.insert(half.range.start().clone(), half);
        }
        Ok(map)
    }

    /// The map in which a range and the one that follows it are one. They need the same holders.
    pub fn with_merge(&self, low: RangeId, high: RangeId) -> Result<RangeMap, MapError> {
        let (first, second) = (self.by_id(low)?, self.by_id(high)?);
        let range = first.range.merge(&second.range).ok_or(MapError::NotAdjacent(low, high))?;
        if first.replicas != second.replicas {
            return Err(MapError::DifferentReplicas(low, high));
        }
        let epoch = Epoch(first.epoch.max(second.epoch).0 + 1);
        let mut map = self.changed();
        let one = RangeAssignment { id: map.next, range, epoch, replicas: first.replicas.clone() };
        map.next.0 += 1;
        map.ranges.remove(second.range.start());
        map.ranges.insert(one.range.start().clone(), one);
        Ok(map)
    }

    fn changed(&self) -> RangeMap {
        RangeMap { version: MapVersion(self.version.0 + 1), ..self.clone() }
    }
}

fn replicas_fit(held: &RangeAssignment) -> Result<(), MapError> {
    let count = held.replicas.len();
    if (1..=MAX_REPLICAS).contains(&count) { Ok(()) } else { Err(MapError::ReplicaCount(held.id, count)) }
}

impl TryFrom<Parts> for RangeMap {
    type Error = MapError;
    fn try_from((version, next, held): Parts) -> Result<RangeMap, MapError> {
        RangeMap::new(version, next, held)
    }
}

impl From<RangeMap> for Parts {
    fn from(map: RangeMap) -> Parts {
        (map.version, map.next, map.ranges.into_values().collect())
    }
}
