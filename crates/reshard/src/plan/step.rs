//! The small steps that a plan is made of. They name ranges by their keys: names of new ranges are given in the order
//! in which the steps run, which differs from run to run.

use plover_ranges::{Key, KeyRange, NodeName, RangeAssignment, RangeMap};
use serde::{Deserialize, Serialize};
use std::fmt;
use thiserror::Error;

/// Place of a step in its graph.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct StepId(pub u32);

/// One step. Run again under its token, each leaves things as the first run did.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Step {
    /// A node gets a copy of a range, which does not serve yet. Before: it holds none, `from` serves the range.
    /// After: it holds one as of the moment that the copy began.
    Copy {
        /// The keys.
        range: KeyRange,
        /// A holder that is read; another will do.
        from: NodeName,
        /// The node that gets the copy.
        to: NodeName,
        /// What it takes there on disk, in bytes.
        bytes: u64,
        /// What it takes there in memory, in bytes.
        memory: u64,
    },
    /// The copy takes in the changes since, and follows from then on. After: it lags by less than a switch waits.
    CatchUp {
        /// The keys.
        range: KeyRange,
        /// The node with the copy.
        to: NodeName,
    },
    /// Writes are fenced, and the range's next epoch begins with these holders. Before: `add` has caught up and does
    /// not serve, `remove` serves. After: the map says so. The old copy follows until it is dropped.
    Switch {
        /// The keys.
        range: KeyRange,
        /// The node that serves from now on.
        add: Option<NodeName>,
        /// The node that serves no more.
        remove: Option<NodeName>,
    },
    /// A copy that does not serve is dropped. Before: the node serves no key of it. After: it holds none.
    Drop {
        /// The keys.
        range: KeyRange,
        /// The node.
        node: NodeName,
        /// What it took there on disk, in bytes.
        bytes: u64,
        /// What it took there in memory, in bytes.
        memory: u64,
    },
    /// A range becomes two with the same holders. Before: the map has the range. After: it has the two.
    Split {
        /// The keys.
        range: KeyRange,
        /// The first key of the second.
        at: Key,
    },
    /// Two neighbours with the same holders become one. Before: the map has both. After: it has the one.
    Merge {
        /// The lower.
        low: KeyRange,
        /// The one that follows it.
        high: KeyRange,
    },
}

/// How a step is taken back.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Back {
    /// Nothing was changed that stays.
    Nothing,
    /// By this step.
    By(Step),
    /// Only by a new copy: nothing that may have to go back is dropped before.
    Never,
}

/// What must hold before a step and does not.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum Unmet {
    /// The map has no range of just these keys.
    #[error("the map has no range {0}")]
    NoRange(KeyRange),
    /// A node serves a range and should not.
    #[error("{0} serves {1}")]
    Serves(NodeName, KeyRange),
    /// A node does not serve a range and should.
    #[error("{0} does not serve {1}")]
    ServesNot(NodeName, KeyRange),
    /// The map refuses the change.
    #[error(transparent)]
    Map(#[from] plover_ranges::MapError),
}

/// The range of just these keys.
pub fn exact<'m>(map: &'m RangeMap, range: &KeyRange) -> Result<&'m RangeAssignment, Unmet> {
    map.lookup(range.start()).filter(|h| h.range == *range).ok_or_else(|| Unmet::NoRange(range.clone()))
}

impl Step {
    /// Whether what must hold before it does, as far as a map tells.
    pub fn ready(&self, map: &RangeMap) -> Result<(), Unmet> {
        let serves = |node: &NodeName, range: &KeyRange| -> Result<bool, Unmet> {
            Ok(exact(map, range)?.replicas.contains(node))
        };
        match self {
            Step::Copy { range, to, .. } | Step::CatchUp { range, to } => {
                if serves(to, range)? {
                    Err(Unmet::Serves(to.clone(), range.clone()))
                } else {
                    Ok(())
                }
            }
            Step::Switch { range, add, remove } => {
                if let Some(node) = add
                    && serves(node, range)?
                {
                    return Err(Unmet::Serves(node.clone(), range.clone()));
                }
                match remove {
                    Some(node) if !serves(node, range)? => Err(Unmet::ServesNot(node.clone(), range.clone())),
                    _ => Ok(()),
                }
            }
            Step::Drop { range, node, .. } => {
                let still = map.overlapping(range).find(|h| h.replicas.contains(node));
                still.map_or(Ok(()), |h| Err(Unmet::Serves(node.clone(), h.range.clone())))
            }
            Step::Split { .. } | Step::Merge { .. } => self.applied(map).map(|_| ()),
        }
    }

    /// The map after it. A step that changes no map gives the same one.
    pub fn applied(&self, map: &RangeMap) -> Result<RangeMap, Unmet> {
        match self {
            Step::Copy { .. } | Step::CatchUp { .. } | Step::Drop { .. } => Ok(map.clone()),
            Step::Switch { range, add, remove } => {
                self.ready(map)?;
                let held = exact(map, range)?;
                let mut replicas = held.replicas.clone();
                replicas.extend(add.clone());
                if let Some(node) = remove {
                    replicas.remove(node);
                }
                Ok(map.with_replicas(held.id, replicas)?)
            }
            Step::Split { range, at } => Ok(map.with_split(exact(map, range)?.id, at)?),
            Step::Merge { low, high } => Ok(map.with_merge(exact(map, low)?.id, exact(map, high)?.id)?),
        }
    }

    /// How it is taken back.
    pub fn back(&self) -> Back {
        match self {
            Step::Copy { range, to, bytes, memory, .. } => Back::By(Step::Drop {
                range: range.clone(),
                node: to.clone(),
                bytes: *bytes,
                memory: *memory,
            }),
            Step::CatchUp { .. } => Back::Nothing,
            Step::Switch { range, add, remove } => {
                Back::By(Step::Switch { range: range.clone(), add: remove.clone(), remove: add.clone() })
            }
            Step::Drop { .. } => Back::Never,
            Step::Split { range, at } => match range.split(at) {
                Some((low, high)) => Back::By(Step::Merge { low, high }),
                None => Back::Nothing,
            },
            Step::Merge { low, high } => match low.merge(high) {
                Some(range) => Back::By(Step::Split { range, at: high.start().clone() }),
                None => Back::Nothing,
            },
        }
    }
}

impl fmt::Display for Step {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Step::Copy { range, from, to, .. } => write!(f, "copy {range} {from} -> {to}"),
            Step::CatchUp { range, to } => write!(f, "catch up {range} at {to}"),
            Step::Switch { range, add, remove } => {
                write!(f, "switch {range}")?;
                add.iter().try_for_each(|n| write!(f, " +{n}"))?;
                remove.iter().try_for_each(|n| write!(f, " -{n}"))
            }
            Step::Drop { range, node, .. } => write!(f, "drop {range} at {node}"),
            Step::Split { range, at } => write!(f, "split {range} at {at}"),
            Step::Merge { low, high } => write!(f, "merge {low} {high}"),
        }
    }
}
