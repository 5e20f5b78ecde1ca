//! Probes: queries that are admitted although they are forecast to be late, so that forecasts can be
//! corrected.
//!
//! Only answers lower the forecasts. If all queries of a class are refused there are none, and what the class
//! learned in a slow period would last long after it, whatever answers other classes get.

use crate::api::{Millis, RequestId};

/// Number of queries of a class refused in a row before one is admitted as a probe.
const REFUSED_BEFORE_PROBE: u32 = 3;
/// Least time between two probes of a class if the first was not served in time.
const PROBE_INTERVAL: Millis = 500.0;

/// Probes of one class, of which at most one is in progress.
#[derive(Clone, Default)]
pub(crate) struct Probes {
    refused_in_a_row: u32,
    in_progress: Option<RequestId>,
    /// Time before which no probe is admitted.
    next_at: Millis,
}

impl Probes {
    /// Records that a query of the class was admitted by its forecast.
    pub(crate) fn note_admitted(&mut self) {
        self.refused_in_a_row = 0;
    }

    /// Records that a query of the class was refused by its forecast.
    pub(crate) fn note_refused(&mut self) {
        self.refused_in_a_row = self.refused_in_a_row.saturating_add(1);
    }

    /// Whether this query is admitted as a probe.
    pub(crate) fn admits(&mut self, query: &RequestId, now: Millis) -> bool {
        if self.refused_in_a_row < REFUSED_BEFORE_PROBE || now < self.next_at {
            return false;
        }
        self.in_progress = Some(query.clone());
        self.next_at = now + PROBE_INTERVAL;
        true
    }

    /// Records that a query was served in time. If it was the probe, the next may follow at once.
    pub(crate) fn note_served(&mut self, query: &RequestId, now: Millis) {
        if self.in_progress.take_if(|probe| probe == query).is_some() {
            self.next_at = now;
        }
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    /// Returns the probes of a class that has been refused often enough.
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
        assert!(!probes.admits(&query, 1000.0));
        assert!(refused().admits(&query, 1000.0));
    }

    #[test]
    fn an_unserved_probe_delays_the_next_by_the_interval() {
        let (first, second) = (RequestId::Query(1), RequestId::Query(2));
        let mut probes = refused();
        assert!(probes.admits(&first, 1000.0));
        assert!(!probes.admits(&second, 1000.0 + PROBE_INTERVAL - 1.0));
        assert!(probes.admits(&second, 1000.0 + PROBE_INTERVAL));
    }

    #[test]
    fn a_served_probe_allows_the_next_at_once() {
        let (first, second) = (RequestId::Query(1), RequestId::Query(2));
        let mut probes = refused();
        assert!(probes.admits(&first, 1000.0));
        probes.note_served(&second, 1010.0);
        assert!(!probes.admits(&second, 1020.0));
        probes.note_served(&first, 1030.0);
        assert!(probes.admits(&second, 1030.0));
    }
}
