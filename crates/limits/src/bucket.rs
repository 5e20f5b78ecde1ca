//! A token bucket with injected time.

use plover_model::time::{Micros, SECOND};

/// Tokens that refill evenly up to a capacity.
#[derive(Clone, Copy, Debug)]
pub struct TokenBucket {
    capacity: u64,
    per_second: u64,
    /// In millionths of a token, so that no refill is lost to rounding.
    level: u64,
    at: Micros,
}

impl TokenBucket {
    /// A full bucket.
    pub fn new(now: Micros, capacity: u32, per_second: u32) -> Self {
        let capacity = u64::from(capacity) * SECOND;
        TokenBucket { capacity, per_second: u64::from(per_second), level: capacity, at: now }
    }

    /// Takes so many tokens. False: there are not so many, and none was taken.
    pub fn try_take(&mut self, now: Micros, tokens: u32) -> bool {
        // A clock that stands or goes back refills nothing.
        let refill = now.saturating_sub(self.at).saturating_mul(self.per_second);
        self.at = self.at.max(now);
        self.level = self.level.saturating_add(refill).min(self.capacity);
        let cost = u64::from(tokens) * SECOND;
        let there = self.level >= cost;
        if there {
            self.level -= cost;
        }
        there
    }

    /// How long until there are so many tokens, if nobody takes any; `None`: the bucket never holds that many.
    pub fn time_until(&self, tokens: u32) -> Option<Micros> {
        let cost = u64::from(tokens) * SECOND;
        let lacks = cost.saturating_sub(self.level);
        (cost <= self.capacity && (lacks == 0 || self.per_second > 0))
            .then(|| lacks.div_ceil(self.per_second.max(1)))
    }

    /// Takes other figures; what is in it stays, as far as it fits.
    pub fn reconfigure(&mut self, now: Micros, capacity: u32, per_second: u32) {
        self.try_take(now, 0);
        (self.capacity, self.per_second) = (u64::from(capacity) * SECOND, u64::from(per_second));
        self.level = self.level.min(self.capacity);
    }

    /// Whether it would be full by now: then a new one would be the same.
    pub fn is_full(&self, now: Micros) -> bool {
        let refill = now.saturating_sub(self.at).saturating_mul(self.per_second);
        self.level.saturating_add(refill) >= self.capacity
    }

    /// Puts tokens in.
    pub fn add(&mut self, tokens: u32) {
        self.level = self.level.saturating_add(u64::from(tokens) * SECOND).min(self.capacity);
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn tokens_come_back_with_time_up_to_the_most() {
        let mut bucket = TokenBucket::new(0, 2, 10);
        assert!(bucket.try_take(0, 2) && !bucket.try_take(0, 1));
        assert!(!bucket.try_take(99_999, 1) && bucket.try_take(100_000, 1));
        bucket.add(9);
        assert!(bucket.try_take(100_000, 2) && !bucket.try_take(100_000, 1));
        assert!(!bucket.try_take(50_000, 1), "a clock that goes back refills nothing");
        assert!(bucket.try_take(u64::MAX, 2) && !bucket.try_take(u64::MAX, 1));
        assert_eq!(
            (bucket.time_until(0), bucket.time_until(2), bucket.time_until(3)),
            (Some(0), Some(200_000), None)
        );
    }
}
