//! The time that an aggregator itself needs for what it has in hand, and how it comes to know better where forecasts are so
//! high that it refuses all.

use crate::api::Ms;
use crate::choice::Aggregator;
use crate::refusals::Assessment;
use crate::state::Flight;

/// A query waits for so many turns of other work: for the one under way as it comes, and for one of those in which its
/// answers come.
const TURNS_WAITED: f64 = 2.0;
/// With nothing out, so many queries in a row are refused on arrival before one is let in as a probe.
const REFUSED_BEFORE_PROBE: u32 = 3;

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
        self.own.part * (self.fleet.called.len() + parts) as f64 + self.own.turn * TURNS_WAITED
    }

    /// Whether a query that is forecast to be late is let in all the same. Forecasts are lowered by answers alone: where all is
    /// refused and nothing is out, none will come, and what was learned in a bad spell would be believed long after it.
    pub(crate) fn probes(&self, assessment: &Assessment) -> bool {
        let in_time_yet = assessment.allowed > 0.0;
        in_time_yet && self.desk.flights.is_empty() && self.desk.refusals.in_a_row >= REFUSED_BEFORE_PROBE
    }
}
