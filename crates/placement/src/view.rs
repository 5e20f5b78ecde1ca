//! What a plan is made on.

use crate::proposal::Relocation;
use plover_ranges::{Fleet, RangeId, RangeMap};
use std::collections::BTreeMap;

/// Two ranges that are asked by the same queries.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Together {
    /// One of them.
    pub one: RangeId,
    /// The other.
    pub other: RangeId,
    /// Bytes a second that go between holders of the two where these share no zone.
    pub bytes: f64,
}

/// Who asks, and what answers weigh.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Asks {
    /// Share of the queries that come from each zone; taken in proportion. Empty: all answers count as local.
    pub zones: BTreeMap<String, f64>,
    /// Bytes of an answer, by range.
    pub answer: BTreeMap<RangeId, f64>,
    /// Ranges that are asked together.
    pub together: Vec<Together>,
}

/// All that a plan is made on.
#[derive(Clone, Copy, Debug)]
pub struct View<'a> {
    /// Who holds what.
    pub map: &'a RangeMap,
    /// What is known of nodes, loads and links.
    pub fleet: &'a Fleet,
    /// Who asks.
    pub asks: &'a Asks,
    /// Moves that are under way: not yet in the map. Their ranges stay out of the plan, and both copies take room.
    pub moving: &'a [Relocation],
}
