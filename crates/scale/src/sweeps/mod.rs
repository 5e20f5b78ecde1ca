//! The sweeps: each changes one dimension at a time and measures what that does.

pub mod bench;
pub mod brokers;
pub mod burst;
pub mod changes;
pub mod fan_out;
pub mod list;
pub mod mix;
pub mod rate;
pub mod regions;
pub mod restart;
pub mod servers;
pub mod settings;

use crate::plan::Plan;
use crate::report::Sample;
use std::io;

/// A sweep puts its points into the list as it goes: what it has measured stays when it fails later.
pub type Play = fn(&Plan, &mut Vec<Sample>) -> io::Result<()>;

/// A sweep.
#[derive(Clone, Copy, Debug)]
pub struct Sweep {
    /// Its name on the command line and in the samples.
    pub name: &'static str,
    /// What it changes and measures, in one line.
    pub about: &'static str,
    /// Plays it.
    pub play: Play,
    /// Figures that lines are fitted through.
    pub fitted: &'static [&'static str],
}

/// All of them, in the order in which a whole run plays them.
pub const ALL: &[Sweep] = &[
    fan_out::SWEEP,
    rate::SWEEP,
    burst::SWEEP,
    servers::SWEEP,
    mix::SWEEP,
    brokers::SWEEP,
    list::SWEEP,
    changes::SWEEP,
    restart::SWEEP,
    regions::SWEEP,
    settings::SWEEP,
];
