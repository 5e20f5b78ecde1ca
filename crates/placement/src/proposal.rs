//! What a plan says.

use crate::settings::Weights;
use plover_ranges::{NodeName, RangeId};

/// One move of a replica. The old copy stays until the new one stands.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Relocation {
    /// Which range.
    pub range: RangeId,
    /// The node that gives it up.
    pub from: NodeName,
    /// The node that gets it.
    pub to: NodeName,
}

/// What a move is mostly for.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Reason {
    /// Its old holder leaves.
    Leaving,
    /// The range is in too few zones.
    Spread,
    /// The old holder's memory.
    Memory,
    /// The old holder's processor.
    Processor,
    /// The old holder's disk.
    Disk,
    /// The old holder's connection, or its zone's.
    Link,
    /// Reads at the old holder of what has no room in its memory.
    Reads,
    /// Answers that cross zones.
    Cross,
    /// It makes room for other moves of the plan.
    Room,
}

/// The objective by its terms. The first eight say how good a placement is, the last four what it costs to get there.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Terms {
    /// Hot bytes by memory, at the fullest node.
    pub memory: f64,
    /// Work a second by what a node does in a second, at the busiest node.
    pub processor: f64,
    /// Bytes by disk, at the fullest node, with growth ahead.
    pub disk: f64,
    /// Answers' bytes a second by rate, at the busiest connection of a node or a zone.
    pub link: f64,
    /// Bytes a second read for what has no room in memory by the rate of the disk, at the busiest one.
    pub reads: f64,
    /// Share of the answers' bytes that cross zones, farther ones counted more.
    pub cross: f64,
    /// Share of all bytes that is on nodes that leave.
    pub leaving: f64,
    /// Share of the ranges that is in too few zones.
    pub spread: f64,
    /// Bytes moved, as a share of all bytes.
    pub bytes: f64,
    /// Time of the moves, as a share of the time in which the plan must pay.
    pub time: f64,
    /// Time in which new holders read hot bytes, as a share of that time of all disks.
    pub cold: f64,
    /// Time in which ranges are moved by their holders, as a share of that time of all ranges.
    pub risk: f64,
}

impl Terms {
    /// Points of the placement itself.
    pub fn standing(&self, w: &Weights) -> f64 {
        w.memory * self.memory
            + w.processor * self.processor
            + w.disk * self.disk
            + w.link * self.link
            + w.reads * self.reads
            + w.cross * self.cross
            + w.leaving * self.leaving
            + w.spread * self.spread
    }

    /// Points of getting there.
    pub fn cost(&self, w: &Weights) -> f64 {
        w.bytes * self.bytes + w.time * self.time + w.cold * self.cold + w.risk * self.risk
    }

    /// All points: the objective.
    pub fn points(&self, w: &Weights) -> f64 {
        self.standing(w) + self.cost(w)
    }
}

/// One move of a plan.
#[derive(Clone, Debug, PartialEq)]
pub struct Step {
    /// The move.
    pub relocation: Relocation,
    /// It must not start before all before it have ended: what it needs is theirs until then.
    pub waits: bool,
    /// What it is mostly for.
    pub reason: Reason,
    /// Bytes that it copies.
    pub bytes: u64,
    /// The objective once it and all before it are done.
    pub after: f64,
}

/// A plan: moves in order.
#[derive(Clone, Debug, PartialEq)]
pub struct Proposal {
    /// The moves, to be started in this order, at most `at_once` of the settings under way.
    pub steps: Vec<Step>,
    /// The terms as things stand.
    pub before: Terms,
    /// The terms once all is done, with what it costs.
    pub after: Terms,
    /// Points before.
    pub points_before: f64,
    /// Points after, the cost counted.
    pub points_after: f64,
    /// Bytes that are copied.
    pub bytes: u64,
}

impl Proposal {
    /// The moves alone, in order.
    pub fn relocations(&self) -> Vec<Relocation> {
        self.steps.iter().map(|step| step.relocation.clone()).collect()
    }

    /// Points gained, the cost taken off.
    pub fn gain(&self) -> f64 {
        self.points_before - self.points_after
    }
}
