//! A token bucket. The caller passes the current time.

use plover_model::time::{Micros, SECOND};

/// Tokens that refill at a constant rate up to a capacity.
#[derive(Clone, Copy, Debug)]
pub struct TokenBucket {
    /// Maximum level, in millionths of a token.
    capacity: u64,
    per_second: u64,
    /// Current level, in millionths of a token, so that no refill is lost to rounding.
    level: u64,
    /// Time of the last refill.
    updated_at: Micros,
}

impl TokenBucket {
    /// Creates a full bucket.
    pub fn new(now: Micros, capacity: u32, per_second: u32) -> Self {
        let capacity = u64::from(capacity) * SECOND;
        TokenBucket { capacity, per_second: u64::from(per_second), level: capacity, updated_at: now }
    }

    /// Returns the level at time `now`, in millionths of a token.
    pub fn level(&self, now: Micros) -> u64 {
        let refill = now.saturating_sub(self.updated_at).saturating_mul(self.per_second);
        self.level.saturating_add(refill).min(self.capacity)
    }

    /// Lowers the level to this one at time `now`, in millionths of a token, if it is higher.
    pub fn lower(&mut self, now: Micros, level: u64) {
        self.level = self.level(now).min(level);
        self.updated_at = self.updated_at.max(now);
    }

    /// Takes tokens from the bucket. Returns `false`, and takes none, if there are not enough.
    pub fn try_take(&mut self, now: Micros, tokens: u32) -> bool {
        // A clock that stands still or goes back refills nothing.
        self.level = self.level(now);
        self.updated_at = self.updated_at.max(now);
        let cost = u64::from(tokens) * SECOND;
        let sufficient = self.level >= cost;
        if sufficient {
            self.level -= cost;
        }
        sufficient
    }

    /// Returns the time until this number of tokens is available if none are taken meanwhile; `None` if the
    /// bucket never holds that many.
    pub fn time_until(&self, tokens: u32) -> Option<Micros> {
        let cost = u64::from(tokens) * SECOND;
        let missing = cost.saturating_sub(self.level);
        (cost <= self.capacity && (missing == 0 || self.per_second > 0))
            .then(|| missing.div_ceil(self.per_second.max(1)))
    }

    /// Changes capacity and rate. The tokens in the bucket stay, up to the new capacity.
    pub fn reconfigure(&mut self, now: Micros, capacity: u32, per_second: u32) {
        self.try_take(now, 0);
        (self.capacity, self.per_second) = (u64::from(capacity) * SECOND, u64::from(per_second));
        self.level = self.level.min(self.capacity);
    }

    /// Returns whether the bucket is full by now, so that a new bucket would behave the same.
    pub fn is_full(&self, now: Micros) -> bool {
        self.level(now) >= self.capacity
    }

    /// Adds tokens, up to the capacity.
    pub fn add(&mut self, tokens: u32) {
        self.level = self.level.saturating_add(u64::from(tokens) * SECOND).min(self.capacity);
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn tokens_refill_with_time_up_to_the_capacity() {
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
