//! Computes when the next turn of the event loop begins.
//!
//! Parts for one server that are sent in the same turn share a call, and each call costs the server extra
//! work. A busy broker therefore waits for a while before it decides, so that more parts share a call. An
//! idle broker gains nothing by waiting: there is no other query to share a call with, and its only client
//! would wait. The interval between turns therefore depends on the number of open queries: with one query the
//! next turn begins at once, and the interval grows with each further query up to a maximum.
//!
//! It also depends on whether attempts are still in flight to data servers. Once all of them have ended, the
//! open queries wait only for the next turn, so that turn begins at once. Nagle's algorithm (RFC 896) works
//! the same way: it holds small segments back only while earlier data is unacknowledged. While servers are
//! slow, attempts are always in flight and the full interval applies. While servers are fast, sharing calls
//! would only save them work that delays nobody.
//!
//! The interval does not depend on the rate of arrivals. A client that sends one query after another raises
//! that rate as soon as its queries are served at once; the wait that follows would lower the rate again, so
//! the interval would oscillate.

use plover_model::time::Micros;

/// Number of open queries beside the first at which the interval reaches its maximum.
const QUERIES_AT_MAX_INTERVAL: u64 = 8;

/// Rule for the interval between two turns.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Pacing {
    /// A fixed interval in microseconds, whatever the load.
    Fixed(Micros),
    /// An interval that depends on the load, with its maximum in microseconds. It is 0 with at most one open
    /// query or with no attempt in flight.
    Gather(Micros),
}

impl Pacing {
    /// Returns the minimum time in microseconds between the beginnings of two turns. `open_queries` includes
    /// the queries that wait to be admitted.
    pub fn interval(self, open_queries: usize) -> Micros {
        match self {
            Pacing::Fixed(interval) => interval,
            Pacing::Gather(max_interval) => {
                let others = (open_queries as u64).saturating_sub(1).min(QUERIES_AT_MAX_INTERVAL);
                max_interval * others / QUERIES_AT_MAX_INTERVAL
            }
        }
    }

    /// Whether new queries or ended attempts can make the next turn begin earlier.
    pub fn is_adaptive(self) -> bool {
        matches!(self, Pacing::Gather(_))
    }

    /// Returns the earliest time at which the next turn may begin after a turn that began at `last`.
    /// `attempts_in_flight` is the number of attempts whose end is not known yet.
    pub fn next_turn_at(self, last: Micros, open_queries: usize, attempts_in_flight: usize) -> Micros {
        if self.is_adaptive() && attempts_in_flight == 0 {
            return last;
        }
        last.saturating_add(self.interval(open_queries))
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use proptest::prelude::*;

    #[test]
    fn interval_grows_with_the_number_of_open_queries() {
        let intervals = [0, 1, 2, 5, 9, 10_000].map(|n| Pacing::Gather(4000).interval(n));
        assert_eq!(intervals, [0, 0, 500, 2000, 4000, 4000]);
        assert_eq!([0, 1, 100].map(|n| Pacing::Fixed(5000).interval(n)), [5000; 3]);
    }

    /// Guards against an interval that depends on the rate of arrivals: a client that sends one query after
    /// another has only one open at a time, but with such a rule its second query would wait.
    #[test]
    fn sequential_queries_of_one_client_never_wait() {
        let pacing = Pacing::Gather(5000);
        let (mut now, mut waited) = (0, 0);
        for _ in 0..1000 {
            let start = pacing.next_turn_at(now, 1, 1).max(now);
            waited += start - now;
            now = start + 50;
        }
        assert_eq!(waited, 0);
    }

    #[test]
    fn next_turn_begins_at_once_when_no_attempt_is_in_flight() {
        assert_eq!([0, 1, 2].map(|n| Pacing::Gather(4000).next_turn_at(100, 9, n)), [100, 4100, 4100]);
        assert_eq!([0, 1].map(|n| Pacing::Fixed(5000).next_turn_at(100, 9, n)), [5100; 2]);
    }

    proptest! {
        #[test]
        fn interval_is_monotonic_and_bounded(max_interval in 0u64..50_000, a in 0usize..5000, b in 0usize..5000) {
            let pacing = Pacing::Gather(max_interval);
            prop_assert!(pacing.interval(a.min(b)) <= pacing.interval(a.max(b)));
            prop_assert!(pacing.interval(a) <= max_interval);
        }
    }
}
