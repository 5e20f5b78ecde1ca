//! How times spread.

use crate::report::{Sample, Unit};
use std::time::Duration;

/// Times, in order.
#[derive(Clone, Debug, Default)]
pub struct Spread(Vec<Duration>);

impl Spread {
    /// Of these.
    pub fn of(mut times: Vec<Duration>) -> Spread {
        times.sort_unstable();
        Spread(times)
    }

    /// All of them, in order.
    pub fn times(&self) -> &[Duration] {
        &self.0
    }

    /// How many there are.
    pub fn count(&self) -> usize {
        self.0.len()
    }

    /// The time that this share of them does not exceed; `None` without any.
    pub fn quantile(&self, share: f64) -> Option<Duration> {
        let last = self.0.len().checked_sub(1)?;
        let at = (share * self.0.len() as f64).ceil() as usize;
        self.0.get(at.saturating_sub(1).min(last)).copied()
    }

    /// Puts p50, p99 and the longest into a sample, in microseconds.
    pub fn put(&self, sample: &mut Sample, name: &str) {
        for (share, of) in [(0.5, "p50"), (0.99, "p99"), (1.0, "last")] {
            if let Some(time) = self.quantile(share) {
                sample.put(&format!("{name}_{of}"), time.as_micros() as f64, Unit::Micros);
            }
        }
    }
}
