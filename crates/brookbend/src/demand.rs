//! Demand: the share of seconds in which this aggregator has at least one part for a server.
//!
//! A cold server whose allowance is too small for one part of each aggregator is granted to some of them at
//! random, anew every second. The rarer an aggregator's demand is, the more likely it has to be granted the
//! server, since a grant that meets no part is lost.

/// Weight of the prior estimate, in observed server-seconds.
const PRIOR_WEIGHT: f64 = 2.0;

/// Lower bound on the returned shares, since callers divide by them.
const MIN_SHARE: f64 = 0.02;

/// A smoothed share of seconds in which something occurred.
#[derive(Clone)]
struct DemandShare {
    /// Whether it has occurred in the current second.
    occurred: bool,
    seconds: u32,
    share: f64,
}

impl Default for DemandShare {
    /// Starts from demand in every second: an aggregator that has just started must not take a quiet moment
    /// for rare demand.
    fn default() -> Self {
        DemandShare { occurred: false, seconds: 1, share: 1.0 }
    }
}

impl DemandShare {
    /// Ends a second, which counts with `weight`. The first seconds count evenly, together with the initial
    /// value.
    fn end_second(&mut self, weight: f64) {
        self.seconds = self.seconds.saturating_add(1);
        let new = f64::from(u8::from(std::mem::take(&mut self.occurred)));
        self.share += weight.max(1.0 / f64::from(self.seconds)) * (new - self.share);
    }
}

/// Demand of the parts that this aggregator has received.
#[derive(Default)]
pub(crate) struct Demand {
    /// By cell: the share of seconds in which a part needed a server for a shard whose first holders are in
    /// this cell.
    cells: Vec<DemandShare>,
    /// Decaying sums over cold servers with a warm holder of the same shards: seconds in which a part would
    /// have been sent to the cold server had it been granted, and all seconds.
    wanted: f64,
    observed: f64,
    /// Mean share over all cells.
    mean: f64,
}

impl Demand {
    pub(crate) fn new(cells: usize) -> Self {
        Demand { cells: vec![DemandShare::default(); cells], wanted: 0.0, observed: 0.0, mean: 1.0 }
    }

    pub(crate) fn cell_count(&self) -> usize {
        self.cells.len()
    }

    /// Records that a part needs a server for this shard.
    pub(crate) fn record_part(&mut self, shard: usize) {
        let cells = self.cells.len().max(1);
        if let Some(cell) = self.cells.get_mut(shard % cells) {
            cell.occurred = true;
        }
    }

    /// Ends a second, which counts with `weight`. `wanted`: for each cold server with a warm holder of the
    /// same shards, whether a part would have been sent to it.
    pub(crate) fn end_second(&mut self, weight: f64, wanted: &[bool]) {
        self.cells.iter_mut().for_each(|cell| cell.end_second(weight));
        self.wanted = (1.0 - weight) * self.wanted + wanted.iter().filter(|w| **w).count() as f64;
        self.observed = (1.0 - weight) * self.observed + wanted.len() as f64;
        self.mean = self.cells.iter().map(|c| c.share).sum::<f64>() / self.cells.len() as f64;
    }

    /// Share of seconds in which a part needs any server of this cell, which holds the shards of the `reach`
    /// cells up to and including itself. The mean over all cells is used where it is greater, since one cell
    /// has few observations.
    fn cell_share(&self, cell: usize, reach: usize) -> f64 {
        let cells = self.cells.len();
        if cells == 0 {
            return 1.0;
        }
        let reach = reach.min(cells);
        let without_demand: f64 =
            (0..reach).map(|j| 1.0 - self.cells[(cell + cells - j) % cells].share).product();
        1.0 - without_demand.min((1.0 - self.mean).powi(reach as i32))
    }

    /// Share of seconds in which a part needs one particular cold server of this cell.
    ///
    /// With `waiting_time` `None` the server has warm holders of the same shards beside it. The share is then
    /// what was observed of all such servers, with a prior that every part of the cell needs it. Otherwise it
    /// has none: every part of the cell needs it, and waits for up to `waiting_time` seconds, so that it is
    /// still there in later seconds.
    pub(crate) fn server_share(&self, cell: usize, reach: usize, waiting_time: Option<f64>) -> f64 {
        let all = self.cell_share(cell, reach);
        let share = match waiting_time {
            None => ((self.wanted + PRIOR_WEIGHT * all) / (self.observed + PRIOR_WEIGHT)).min(all),
            Some(seconds) => 1.0 - (1.0 - all).powf(1.0 + seconds),
        };
        share.max(MIN_SHARE)
    }
}

/// Mean number of random grants for which `limit` is not exceeded: `deviations` times the square root of that
/// mean is kept free, since the sum of many small chances has the square root of its mean as standard
/// deviation.
pub(crate) fn mean_grants_within(limit: f64, deviations: f64) -> f64 {
    ((limit + deviations * deviations / 4.0).sqrt() - deviations / 2.0).powi(2)
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn a_cell_is_needed_as_often_as_observed_but_at_least_as_often_as_the_mean() {
        let mut demand = Demand::new(4);
        assert_eq!(demand.cell_share(1, 1), 1.0, "there are no observations yet");
        for k in 0..40 {
            demand.record_part(2);
            if k % 2 == 0 {
                demand.record_part(5);
            }
            demand.end_second(0.2, &[]);
        }
        let (mean, both) = (demand.cell_share(0, 1), demand.cell_share(2, 2));
        assert!((0.3..0.45).contains(&mean), "{mean}");
        assert!(demand.cell_share(2, 1) > 0.99 && both > 0.99);
        assert_eq!(Demand::new(0).cell_share(3, 1), 1.0, "no cells");
    }

    #[test]
    fn the_mean_number_of_grants_leaves_two_standard_deviations_below_the_limit() {
        for limit in [0.0, 1.0, 4.5, 12.0, 100.0] {
            let grants = mean_grants_within(limit, 2.0);
            assert!((grants + 2.0 * grants.sqrt() - limit).abs() < 1e-9, "{grants} of {limit}");
        }
    }

    #[test]
    fn one_cold_server_is_needed_as_often_as_observed_for_all_cold_servers() {
        let mut demand = Demand::new(1);
        for _ in 0..10 {
            demand.record_part(0);
            demand.end_second(0.2, &[]);
        }
        assert!(
            demand.server_share(0, 1, None) > 0.99,
            "no cold server was observed: every part may need it"
        );
        for _ in 0..20 {
            demand.record_part(0);
            demand.end_second(0.2, &[true, false, false, false, false, false, false, false, false, false]);
        }
        let observed = demand.server_share(0, 1, None);
        assert!((0.09..0.16).contains(&observed), "{observed}");
        assert!(demand.server_share(0, 1, Some(0.0)) > 0.99, "every part needs the only server of its cell");
    }

    #[test]
    fn parts_that_wait_need_a_server_in_later_seconds_too() {
        let mut demand = Demand::new(1);
        for k in 0..200 {
            if k % 4 == 0 {
                demand.record_part(0);
            }
            demand.end_second(0.01, &[]);
        }
        let [without_waiting, waiting] = [0.0, 3.0].map(|seconds| demand.server_share(0, 1, Some(seconds)));
        assert!(
            (0.2..0.35).contains(&without_waiting) && (0.6..0.8).contains(&waiting),
            "{without_waiting} {waiting}"
        );
    }
}
