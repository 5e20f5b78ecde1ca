//! How long a hollow data server takes for a part.

use rand::RngExt;
use rand_pcg::Pcg64Mcg;
use serde::{Deserialize, Serialize};

/// The share of its speed that a server begins with, after a start.
const COLD_FROM: f64 = 0.2;
/// No part takes longer than this, in microseconds.
const LONGEST_US: f64 = 60e6;
/// Standard deviations from the median to the 99th of a hundred of a normal distribution.
const DEVIATIONS_TO_P99: f64 = 2.326_347_874;

/// A distribution of times, in microseconds.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Times {
    /// Always the same; 0: the answer comes with the next write.
    Fixed(u64),
    /// Lognormal, by its median and its 99th percentile, which is no smaller.
    Lognormal {
        /// The median.
        median: u64,
        /// The 99th percentile.
        p99: u64,
    },
}

impl Times {
    /// Draws one.
    pub fn draw(self, random: &mut Pcg64Mcg) -> u64 {
        match self {
            Times::Fixed(us) => us,
            Times::Lognormal { median, p99 } => {
                let (median, p99) = (median.max(1) as f64, p99.max(median).max(1) as f64);
                let sigma = (p99 / median).ln() / DEVIATIONS_TO_P99;
                (median * (sigma * normal(random)).exp()).min(LONGEST_US) as u64
            }
        }
    }
}

/// A draw from the normal distribution, by Box and Muller.
fn normal(random: &mut Pcg64Mcg) -> f64 {
    let (a, b): (f64, f64) = (random.random(), random.random());
    (-2.0 * (1.0 - a).ln()).sqrt() * (std::f64::consts::TAU * b).cos()
}

/// By how much longer a part takes on a server that started `since_us` ago and is warm after `warm_after_us`: its speed
/// grows evenly from a fifth to the whole.
pub fn cold_stretch(since_us: u64, warm_after_us: u64) -> f64 {
    let grown = (since_us as f64 / warm_after_us.max(1) as f64).min(1.0);
    1.0 / (COLD_FROM + (1.0 - COLD_FROM) * grown)
}
