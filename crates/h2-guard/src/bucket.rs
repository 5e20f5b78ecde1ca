//! A token bucket with injected time.

use plover_model::time::{Micros, SECOND};

/// Tokens that refill evenly up to a most.
#[derive(Clone, Copy, Debug)]
pub struct Bucket {
    most: u64,
    per_second: u64,
    /// In millionths of a token, so that no refill is lost to rounding.
    level: u64,
    at: Micros,
}

impl Bucket {
    /// A full bucket.
    pub fn new(now: Micros, most: u32, per_second: u32) -> Self {
        let most = u64::from(most) * SECOND;
        Bucket { most, per_second: u64::from(per_second), level: most, at: now }
    }

    /// Takes so many tokens. False: there are not so many, and none was taken.
    pub fn take(&mut self, now: Micros, tokens: u32) -> bool {
        // A clock that stands or goes back refills nothing.
        let refill = now.saturating_sub(self.at).saturating_mul(self.per_second);
        self.at = self.at.max(now);
        self.level = self.level.saturating_add(refill).min(self.most);
        let cost = u64::from(tokens) * SECOND;
        let there = self.level >= cost;
        if there {
            self.level -= cost;
        }
        there
    }

    /// Puts tokens in.
    pub fn put(&mut self, tokens: u32) {
        self.level = self.level.saturating_add(u64::from(tokens) * SECOND).min(self.most);
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn tokens_come_back_with_time_up_to_the_most() {
        let mut bucket = Bucket::new(0, 2, 10);
        assert!(bucket.take(0, 2) && !bucket.take(0, 1));
        assert!(!bucket.take(99_999, 1) && bucket.take(100_000, 1));
        bucket.put(9);
        assert!(bucket.take(100_000, 2) && !bucket.take(100_000, 1));
        assert!(!bucket.take(50_000, 1), "a clock that goes back refills nothing");
        assert!(bucket.take(u64::MAX, 2) && !bucket.take(u64::MAX, 1));
    }
}
