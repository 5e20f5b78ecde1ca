//! Probes: queries that are let in although they are forecast to be late, so that forecasts can be proved wrong.
//!
//! Forecasts are lowered by answers alone. Where all queries of a class are refused none will come, and what the class has
//! learned of a slow spell would be believed long after it, whatever answers other classes get.

use crate::api::{Millis, RequestId};

/// So many queries of a class in a row are refused on arrival before one is let in as a probe.
const REFUSED_BEFORE_PROBE: u32 = 3;
/// Least time from one probe of a class to the next, where the first was not served in time.
const PROBE_INTERVAL: Millis = 500.0;

/// The probes of one class, of which one is under way at a time.
#[derive(Clone, Default)]
pub(crate) struct Probes {
    refused_in_a_row: u32,
    under_way: Option<RequestId>,
    /// No probe before this.
    next_at: Millis,
}

impl Probes {
    /// A query of the class was let in by its forecast.
    pub(crate) fn note_admitted(&mut self) {
        self.refused_in_a_row = 0;
    }

    /// A query of the class was refused by its forecast.
    pub(crate) fn note_refused(&mut self) {
        self.refused_in_a_row = self.refused_in_a_row.saturating_add(1);
    }

    /// Whether this query is let in as a probe.
    pub(crate) fn lets_in(&mut self, query: &RequestId, now: Millis) -> bool {
        if self.refused_in_a_row < REFUSED_BEFORE_PROBE || now < self.next_at {
            return false;
        }
        self.under_way = Some(query.clone());
        self.next_at = now + PROBE_INTERVAL;
        true
    }

    /// A query was served in time. If it was the probe, the next may follow at once.
    pub(crate) fn note_served(&mut self, query: &RequestId, now: Millis) {
        if self.under_way.take_if(|probe| probe == query).is_some() {
            self.next_at = now;
        }
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    /// Probes of a class that was refused often enough.
    fn refused() -> Probes {
        let mut probes = Probes::default();
        (0..REFUSED_BEFORE_PROBE).for_each(|_| probes.note_refused());
        probes
    }

    #[test]
    fn a_probe_waits_for_refusals_in_a_row() {
        let query = RequestId::Query(1);
        let mut probes = refused();
        probes.note_admitted();
        assert!(!probes.lets_in(&query, 1000.0));
        assert!(refused().lets_in(&query, 1000.0));
    }

    #[test]
    fn a_probe_that_is_not_served_holds_up_the_next_for_the_interval_alone() {
        let (first, second) = (RequestId::Query(1), RequestId::Query(2));
        let mut probes = refused();
        assert!(probes.lets_in(&first, 1000.0));
        assert!(!probes.lets_in(&second, 1000.0 + PROBE_INTERVAL - 1.0));
        assert!(probes.lets_in(&second, 1000.0 + PROBE_INTERVAL));
    }

    #[test]
    fn a_probe_that_is_served_makes_way_for_the_next() {
        let (first, second) = (RequestId::Query(1), RequestId::Query(2));
        let mut probes = refused();
        assert!(probes.lets_in(&first, 1000.0));
        probes.note_served(&second, 1010.0);
        assert!(!probes.lets_in(&second, 1020.0));
        probes.note_served(&first, 1030.0);
        assert!(probes.lets_in(&second, 1030.0));
    }
}
