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

    /// How long until there are so many tokens, if nobody takes any; `None`: the bucket never holds that many.
    pub fn wait(&self, tokens: u32) -> Option<Micros> {
        let cost = u64::from(tokens) * SECOND;
        let lacks = cost.saturating_sub(self.level);
        (cost <= self.most && (lacks == 0 || self.per_second > 0))
            .then(|| lacks.div_ceil(self.per_second.max(1)))
    }

    /// Takes other figures; what is in it stays, as far as it fits.
    pub fn retune(&mut self, now: Micros, most: u32, per_second: u32) {
        self.take(now, 0);
        (self.most, self.per_second) = (u64::from(most) * SECOND, u64::from(per_second));
        self.level = self.level.min(self.most);
    }

    /// Whether it would be full by now: then a new one would be the same.
    pub fn is_full(&self, now: Micros) -> bool {
        let refill = now.saturating_sub(self.at).saturating_mul(self.per_second);
        self.level.saturating_add(refill) >= self.most
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
        assert_eq!((bucket.wait(0), bucket.wait(2), bucket.wait(3)), (Some(0), Some(200_000), None));
    }
}
