//! The time that an aggregator itself needs for what it has in hand.

use crate::api::Millis;
use crate::choice::Aggregator;
use crate::state::InFlight;

/// A query waits for so many turns of other work: for the one under way as it comes, and for one of those in which its
/// answers come.
const TURNS_WAITED: f64 = 2.0;

/// What an aggregator itself needs, as its caller measures it.
#[derive(Clone, Copy, Debug, Default)]
pub struct Overhead {
    /// For a part: to send it, and to take its answer.
    pub per_part: Millis,
    /// From one batch to the next.
    pub per_turn: Millis,
    /// How long it has been busy since the start.
    pub busy: Millis,
}

impl Aggregator {
    /// Takes what this aggregator itself needs, as of late.
    pub fn set_overhead(&mut self, overhead: Overhead) {
        let sound = |time: Millis| if time.is_finite() { time.max(0.0) } else { 0.0 };
        self.overhead = Overhead {
            per_part: sound(overhead.per_part),
            per_turn: sound(overhead.per_turn),
            busy: sound(overhead.busy),
        };
    }

    /// The least time that the server of an attempt can have taken: while this aggregator was busy the answer may have waited, and
    /// for as long as that was forecast it counts as this aggregator's own time.
    pub(crate) fn least_time(&self, flight: &InFlight, elapsed: Millis) -> Millis {
        let overhead = flight.expected - flight.forecast;
        (elapsed - (self.overhead.busy - flight.busy).min(overhead).max(0.0)).max(0.0)
    }

    /// The time that the server of an attempt took, as far as it is known: as was forecast, within what is possible.
    pub(crate) fn likely_time(&self, flight: &InFlight, elapsed: Millis) -> Millis {
        flight.forecast.max(self.least_time(flight, elapsed)).min(elapsed)
    }

    /// The time that this aggregator itself needs for a query of so many parts, behind what this batch sends: whatever servers
    /// do, it takes one after another.
    pub(crate) fn query_overhead(&self, parts: usize) -> Millis {
        self.overhead.per_part * (self.fleet.called_in_batch.len() + parts) as f64
            + self.overhead.per_turn * TURNS_WAITED
    }
}
