//! The time that an aggregator itself needs for what it has in hand.

use crate::api::Ms;
use crate::choice::Aggregator;
use crate::state::Flight;

/// A query waits for so many turns of other work: for the one under way as it comes, and for one of those in which its
/// answers come.
const TURNS_WAITED: f64 = 2.0;

/// What an aggregator itself needs, as its caller measures it.
#[derive(Clone, Copy, Debug, Default)]
pub struct OwnTime {
    /// For a part: to send it, and to take its answer.
    pub part: Ms,
    /// From one batch to the next.
    pub turn: Ms,
    /// How long it has been busy since the start.
    pub busy: Ms,
}

impl Aggregator {
    /// Takes what this aggregator itself needs, as of late.
    pub fn set_own_time(&mut self, own: OwnTime) {
        let sound = |time: Ms| if time.is_finite() { time.max(0.0) } else { 0.0 };
        self.own = OwnTime { part: sound(own.part), turn: sound(own.turn), busy: sound(own.busy) };
    }

    /// The least time that the server of an attempt can have taken: while this aggregator was busy the answer may have waited, and
    /// for as long as that was forecast it counts as this aggregator's own time.
    pub(crate) fn least_time(&self, flight: &Flight, elapsed: Ms) -> Ms {
        let own = flight.expected - flight.forecast;
        (elapsed - (self.own.busy - flight.busy).min(own).max(0.0)).max(0.0)
    }

    /// The time that the server of an attempt took, as far as it is known: as was forecast, within what is possible.
    pub(crate) fn likely_time(&self, flight: &Flight, elapsed: Ms) -> Ms {
        flight.forecast.max(self.least_time(flight, elapsed)).min(elapsed)
    }

    /// The time that this aggregator itself needs for a query of so many parts, behind what this batch sends: whatever servers
    /// do, it takes one after another.
    pub(crate) fn own_time(&self, parts: usize) -> Ms {
        self.own.part * (self.fleet.called_in_batch.len() + parts) as f64 + self.own.turn * TURNS_WAITED
    }
}
