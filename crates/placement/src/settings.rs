//! Weights of the objective, limits of a plan, and the rules by which the planner holds still.

use plover_model::time::{Micros, SECOND};
use thiserror::Error;

/// What a point of each term counts. All are 0 to 1,000; the units of the terms stand at [`crate::Terms`].
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Weights {
    /// Memory of the fullest node by hot bytes.
    pub memory: f64,
    /// Processor of the busiest node.
    pub processor: f64,
    /// Disk of the fullest node by bytes.
    pub disk: f64,
    /// The busiest connection, of a node or of a zone.
    pub link: f64,
    /// Reads of the busiest disk, for what has no room in memory.
    pub reads: f64,
    /// Answers that cross zones.
    pub cross: f64,
    /// Bytes that are still on nodes that leave.
    pub leaving: f64,
    /// Ranges in too few zones.
    pub spread: f64,
    /// Bytes moved.
    pub bytes: f64,
    /// Time that the moves take.
    pub time: f64,
    /// Reading of hot bytes from disk at the new holders.
    pub cold: f64,
    /// Time in which a range is being moved.
    pub risk: f64,
}

impl Default for Weights {
    fn default() -> Weights {
        Weights {
            memory: 1.0,
            processor: 1.0,
            disk: 0.5,
            link: 0.5,
            reads: 1.0,
            cross: 0.5,
            leaving: 10.0,
            spread: 10.0,
            bytes: 0.25,
            time: 0.25,
            cold: 0.25,
            risk: 0.25,
        }
    }
}

/// Limits of a plan.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Settings {
    /// The objective's weights.
    pub weights: Weights,
    /// Zones that a range's holders are in at least, as far as it has holders.
    pub zones: usize,
    /// Share of a disk that may be full, from 0 to 1.
    pub disk_most: f64,
    /// Share of a memory that hot bytes may take at a node that gets a range; where a node is fuller already, that node's.
    pub memory_most: f64,
    /// Growth is counted this far ahead.
    pub ahead: Micros,
    /// A plan must pay for itself within this.
    pub pays: Micros,
    /// Bytes a second of one move.
    pub pace: u64,
    /// Moves under way at once.
    pub at_once: usize,
    /// Moves in one plan at most.
    pub moves: usize,
    /// Points that a plan must gain, its cost taken off.
    pub gain: f64,
    /// Candidates that one search looks at for each node, 128 nodes at least; a close look counts eight.
    pub effort: u64,
    /// Each round trip of this adds one more time a crossing answer's bytes.
    pub distance: Micros,
    /// Chance is drawn from it.
    pub seed: u64,
}

impl Default for Settings {
    fn default() -> Settings {
        Settings {
            weights: Weights::default(),
            zones: 1,
            disk_most: 0.9,
            memory_most: 1.0,
            ahead: 24 * 3600 * SECOND,
            pays: 24 * 3600 * SECOND,
            pace: 50_000_000,
            at_once: 4,
            moves: 64,
            gain: 0.02,
            effort: 80_000,
            distance: 10_000,
            seed: 1,
        }
    }
}

/// When the planner holds still.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Rules {
    /// Time in which an older figure loses half its say, where news comes often.
    pub half: Micros,
    /// Measurements of a range that are needed before it is moved.
    pub samples: u32,
    /// A plan must still pay with the moved ranges this many standard deviations lighter.
    pub sure: f64,
    /// Figures older than this are not planned on.
    pub old: Micros,
    /// A range that moved stays at least this long.
    pub rest: Micros,
    /// Moves are remembered this long: no range goes back to a node that it left in it.
    pub memory: Micros,
    /// Moves of one range at most, in any span of `memory`; moves off a node that leaves are not bound.
    pub most: usize,
}

impl Default for Rules {
    fn default() -> Rules {
        Rules {
            half: 300 * SECOND,
            samples: 5,
            sure: 1.0,
            old: 60 * SECOND,
            rest: 3600 * SECOND,
            memory: 24 * 3600 * SECOND,
            most: 2,
        }
    }
}

/// A figure that is refused, with what it may be.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
#[error("{name}: takes {takes}")]
pub struct Refused {
    /// Which one.
    pub name: &'static str,
    /// What it takes.
    pub takes: &'static str,
}

impl Settings {
    /// Refuses what no plan can be made with.
    pub fn check(&self) -> Result<(), Refused> {
        let w = &self.weights;
        let all = [
            w.memory,
            w.processor,
            w.disk,
            w.link,
            w.reads,
            w.cross,
            w.leaving,
            w.spread,
            w.bytes,
            w.time,
            w.cold,
            w.risk,
        ];
        let rules = [
            (all.iter().all(|v| (0.0..=1000.0).contains(v)), "weights", "0 to 1000"),
            ((1..=plover_ranges::MAX_REPLICAS).contains(&self.zones), "zones", "1 to 64"),
            (self.disk_most > 0.0 && self.disk_most <= 1.0, "disk_most", "over 0, up to 1"),
            (self.memory_most > 0.0 && self.memory_most <= 10.0, "memory_most", "over 0, up to 10"),
            (self.pays >= SECOND, "pays", "1s and more"),
            (self.pace > 0, "pace", "1 and more bytes a second"),
            ((1..=4096).contains(&self.at_once), "at_once", "1 to 4096"),
            (self.moves > 0, "moves", "1 and more"),
            ((0.0..=1000.0).contains(&self.gain), "gain", "0 to 1000"),
            (self.distance > 0, "distance", "1us and more"),
        ];
        refused(&rules)
    }
}

impl Rules {
    /// Refuses what cannot bind moves.
    pub fn check(&self) -> Result<(), Refused> {
        let rules = [
            (self.half > 0, "half", "1us and more"),
            (self.samples >= 2, "samples", "2 and more"),
            ((0.0..=10.0).contains(&self.sure), "sure", "0 to 10"),
            (self.old > 0, "old", "1us and more"),
            (self.memory >= self.rest && self.memory > 0, "memory", "as long as rest, or longer"),
            (self.most > 0, "most", "1 and more"),
        ];
        refused(&rules)
    }
}

fn refused(rules: &[(bool, &'static str, &'static str)]) -> Result<(), Refused> {
    match rules.iter().find(|(fits, ..)| !fits) {
        Some(&(_, name, takes)) => Err(Refused { name, takes }),
        None => Ok(()),
    }
}
