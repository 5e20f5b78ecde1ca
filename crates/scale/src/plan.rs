//! What a run is to do, and what each sweep is handed.

use crate::process::Guard;
use std::path::PathBuf;
use std::time::Duration;

/// A build of the real broker, by the name that it has in the tables.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Broker {
    /// Such as `before` and `after`.
    pub label: String,
    /// The program.
    pub path: PathBuf,
    /// Its arguments; mostly none.
    pub arguments: Vec<String>,
}

/// What a run is to do.
pub struct Plan {
    /// Builds of the broker; each sweep with real brokers plays them in turn, size by size, so that they are compared in
    /// one run. One at least.
    pub brokers: Vec<Broker>,
    /// The rig's own program, which stands in for hollow processes and starts guarded ones.
    pub rig: PathBuf,
    /// Seed of all that is random.
    pub seed: u64,
    /// Small sizes and short times, for a look and for tests.
    pub quick: bool,
    /// Sizes to play in place of a sweep's own; none: its own.
    pub sizes: Vec<usize>,
    /// Aim of all classes in milliseconds in the sweep of rates, where it is not the deployment's.
    pub aim: Option<f64>,
    /// Parts of a query in the sweep of rates, where it is not the widest kind.
    pub parts: Option<usize>,
    /// Owner of all processes.
    pub guard: Guard,
    /// The machine's processors.
    pub cores: usize,
}

impl Plan {
    /// One of two, by whether the run is quick.
    pub fn choose<T>(&self, whole: T, quick: T) -> T {
        if self.quick { quick } else { whole }
    }

    /// The sizes that a sweep plays: those that were asked for, or its own.
    pub fn sizes(&self, whole: &[usize], quick: &[usize]) -> Vec<usize> {
        if self.sizes.is_empty() { self.choose(whole, quick).to_vec() } else { self.sizes.clone() }
    }

    /// How long one point of a sweep is measured.
    pub fn point(&self) -> Duration {
        self.choose(Duration::from_secs(4), Duration::from_secs(1))
    }

    /// Tells how far the run is, on standard error.
    pub fn progress(&self, words: &str) {
        eprintln!("scale: {words}");
    }
}
