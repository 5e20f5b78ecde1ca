//! Time: whole microseconds since some origin that the holder of the clock chose.

/// A moment on the program's clock, or a span of it, in microseconds.
pub type Micros = u64;

/// Microseconds in a millisecond.
pub const MILLI: Micros = 1000;

/// Microseconds in a second.
pub const SECOND: Micros = 1_000_000;

/// A span given in milliseconds; what is below 0 counts as none.
pub fn millis(ms: f64) -> Micros {
    (ms.max(0.0) * MILLI as f64).round() as Micros
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn spans_round_to_whole_microseconds() {
        assert_eq!(millis(1.2345), 1235);
        assert_eq!(millis(-3.0), 0);
    }
}
