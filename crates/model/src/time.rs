//! Time in whole microseconds, counted from an origin that the owner of the clock chooses.

/// A point in time on the program's clock, or a duration, in microseconds.
pub type Micros = u64;

/// Microseconds in a millisecond.
pub const MILLI: Micros = 1000;

/// Microseconds in a second.
pub const SECOND: Micros = 1_000_000;

/// Converts a duration in milliseconds to microseconds. A negative duration becomes 0.
pub fn millis(ms: f64) -> Micros {
    (ms.max(0.0) * MILLI as f64).round() as Micros
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn durations_round_to_whole_microseconds() {
        assert_eq!(millis(1.2345), 1235);
        assert_eq!(millis(-3.0), 0);
    }
}
