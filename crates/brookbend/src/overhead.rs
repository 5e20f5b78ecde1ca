//! The time that an aggregator itself spends on its queries and parts.

use crate::api::Millis;
use crate::choice::Aggregator;
use crate::state::InFlight;

/// Number of turns with other work that a query waits for: the one running when it arrives, and one of those
/// in which its answers arrive.
const TURNS_WAITED: f64 = 2.0;

/// Time that an aggregator itself needs, as measured by its caller.
#[derive(Clone, Copy, Debug, Default)]
pub struct Overhead {
    /// Time in milliseconds to send a part and to handle its answer.
    pub per_part: Millis,
    /// Time in milliseconds from one batch to the next.
    pub per_turn: Millis,
    /// Total time in milliseconds that the aggregator has been busy since it started.
    pub busy: Millis,
}

impl Aggregator {
    /// Sets the recent overhead of this aggregator. Values that are not finite count as 0.
    pub fn set_overhead(&mut self, overhead: Overhead) {
        let valid = |time: Millis| if time.is_finite() { time.max(0.0) } else { 0.0 };
        self.overhead = Overhead {
            per_part: valid(overhead.per_part),
            per_turn: valid(overhead.per_turn),
            busy: valid(overhead.busy),
        };
    }

    /// Returns the least time that the server of an attempt can have taken. While this aggregator was busy,
    /// the answer may have waited; that counts as the aggregator's own time, up to the overhead forecast for
    /// the attempt.
    pub(crate) fn min_time(&self, flight: &InFlight, elapsed: Millis) -> Millis {
        let overhead = flight.expected - flight.forecast;
        (elapsed - (self.overhead.busy - flight.busy).min(overhead).max(0.0)).max(0.0)
    }

    /// Returns the likely time that the server of an attempt took: the forecast, within the possible range.
    pub(crate) fn likely_time(&self, flight: &InFlight, elapsed: Millis) -> Millis {
        flight.forecast.max(self.min_time(flight, elapsed)).min(elapsed)
    }

    /// Returns the time that this aggregator itself needs for a query of the given number of parts, after the
    /// sends of this batch: whatever the servers do, it handles the parts one after another.
    pub(crate) fn query_overhead(&self, parts: usize) -> Millis {
        self.overhead.per_part * (self.fleet.called_in_batch.len() + parts) as f64
            + self.overhead.per_turn * TURNS_WAITED
    }
}
