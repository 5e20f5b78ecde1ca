//! One line of an event in a second.

use std::collections::BTreeMap;
use std::sync::Mutex;
use std::time::{Duration, Instant};

/// One line of an event in this time; the start and the end of the program are logged whatever came before.
pub(crate) const EVERY: Duration = Duration::from_secs(1);

/// When each event last had a line, and how many were left out since. Its size is bounded by the number of events
/// in the program's text.
#[derive(Default)]
pub(crate) struct Limiter(Mutex<BTreeMap<&'static str, (Instant, u64)>>);

impl Limiter {
    /// Whether a line of this event may go out; if so, how many did not since the last.
    pub(crate) fn admit(&self, event: &'static str, now: Instant) -> Option<u64> {
        let mut seen = self.0.lock().ok()?;
        match seen.get_mut(event) {
            Some((last, left_out)) if now.saturating_duration_since(*last) < EVERY => {
                *left_out += 1;
                None
            }
            _ => Some(seen.insert(event, (now, 0)).map_or(0, |(_, left_out)| left_out)),
        }
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn repeats_within_a_second_are_counted_not_printed() {
        let limiter = Limiter::default();
        let start = Instant::now();
        assert_eq!(limiter.admit("limit", start), Some(0));
        assert_eq!(limiter.admit("limit", start + EVERY / 2), None);
        assert_eq!(limiter.admit("other", start + EVERY / 2), Some(0));
        assert_eq!(limiter.admit("limit", start + EVERY), Some(1));
    }
}
