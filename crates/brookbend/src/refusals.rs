//! Why queries are refused on arrival: the terms of the decision, kept to explain it. Nothing is decided
//! here.

use crate::api::{ClassIndex, Millis};

/// Terms of the decision on one arriving query. Times are in milliseconds.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Assessment {
    /// Class of the query.
    pub class: ClassIndex,
    /// Mean forecast of the query's parts.
    pub mean: Millis,
    /// Forecast of the query's slowest part.
    pub slowest: Millis,
    /// Time that this aggregator itself needs for the parts that it has in flight and those of the query.
    pub overhead: Millis,
    /// Forecast of the query: between the mean and the slowest of its parts, plus the overhead.
    pub forecast: Millis,
    /// Time that queries of this class take beyond their forecast, as far as it counts here.
    pub lag: Millis,
    /// Limit on the sum of forecast and lag; 0 or less if the aim has passed.
    pub allowed: Millis,
}

impl Assessment {
    /// Whether the query can be served in time.
    pub fn admits(&self) -> bool {
        self.forecast + self.lag <= self.allowed
    }

    /// Returns the first term that alone exceeds the limit, the simplest first; `None` if the query is
    /// admitted.
    pub fn cause(&self) -> Option<Cause> {
        if self.admits() {
            None
        } else if self.allowed <= 0.0 {
            Some(Cause::PastAim)
        } else if self.mean > self.allowed {
            Some(Cause::Mean)
        } else if self.forecast - self.overhead > self.allowed {
            Some(Cause::Slowest)
        } else if self.forecast > self.allowed {
            Some(Cause::Overhead)
        } else {
            Some(Cause::Lag)
        }
    }
}

/// The term that caused a refusal on arrival.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Cause {
    /// The aim had passed: a retry that came too late.
    PastAim,
    /// Mean forecast of the query's parts.
    Mean,
    /// Forecast of the query's slowest part.
    Slowest,
    /// Time that this aggregator itself needs for its open work.
    Overhead,
    /// Time that queries take beyond their forecast.
    Lag,
}

/// Number of refusals on arrival since the start, by cause.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Refusals {
    /// See [`Cause::PastAim`].
    pub past_aim: u64,
    /// See [`Cause::Mean`].
    pub mean: u64,
    /// See [`Cause::Slowest`].
    pub slowest: u64,
    /// See [`Cause::Overhead`].
    pub overhead: u64,
    /// See [`Cause::Lag`].
    pub lag: u64,
    /// Terms of the newest refusal.
    pub newest: Option<Assessment>,
    /// Number of queries that were admitted as probes although they were forecast to be late.
    pub probes: u64,
}

impl Refusals {
    /// Counts a refusal.
    pub(crate) fn note(&mut self, assessment: Assessment) {
        let Some(cause) = assessment.cause() else { return };
        *match cause {
            Cause::PastAim => &mut self.past_aim,
            Cause::Mean => &mut self.mean,
            Cause::Slowest => &mut self.slowest,
            Cause::Overhead => &mut self.overhead,
            Cause::Lag => &mut self.lag,
        } += 1;
        self.newest = Some(assessment);
    }

    /// Returns the number of refusals over all causes.
    pub fn total(&self) -> u64 {
        self.past_aim + self.mean + self.slowest + self.overhead + self.lag
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn a_refusal_counts_under_the_first_term_over_the_limit() {
        let class = ClassIndex(0);
        let in_time = Assessment {
            class,
            mean: 10.0,
            slowest: 30.0,
            overhead: 0.0,
            forecast: 20.0,
            lag: 5.0,
            allowed: 40.0,
        };
        let refused = [
            Assessment { allowed: -1.0, ..in_time },
            Assessment { mean: 41.0, forecast: 41.0, ..in_time },
            Assessment { slowest: 80.0, forecast: 45.0, ..in_time },
            Assessment { overhead: 21.0, forecast: 41.0, ..in_time },
            Assessment { lag: 21.0, ..in_time },
        ];
        let causes = [Cause::PastAim, Cause::Mean, Cause::Slowest, Cause::Overhead, Cause::Lag];
        assert_eq!(refused.map(|of| of.cause()), causes.map(Some));
        assert_eq!(in_time.cause(), None);
        let mut refusals = Refusals::default();
        refused.into_iter().chain([in_time]).for_each(|of| refusals.note(of));
        assert_eq!((refusals.total(), refusals.newest), (5, Some(refused[4])));
    }
}
