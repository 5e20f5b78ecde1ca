//! How often this aggregator has a part for a server, in seconds that had any: what a turn at a cold server goes by.

/// Server-seconds that the prior stands for, before wishes are seen.
const PRIOR: f64 = 2.0;

/// Least share told, to divide by.
const LEAST: f64 = 0.02;

/// A smoothed share of seconds.
#[derive(Clone)]
struct Share {
    now: bool,
    seconds: u32,
    share: f64,
}

impl Default for Share {
    /// Every second, until others are seen: one that has just started must not take a quiet moment for rare demand.
    fn default() -> Self {
        Share { now: false, seconds: 1, share: 1.0 }
    }
}

impl Share {
    /// Closes a second. A new one counts for `news`, but the first ones evenly, beside the prior.
    fn second(&mut self, news: f64) {
        self.seconds = self.seconds.saturating_add(1);
        let new = f64::from(u8::from(std::mem::take(&mut self.now)));
        self.share += news.max(1.0 / f64::from(self.seconds)) * (new - self.share);
    }
}

/// What parts asked for.
#[derive(Default)]
pub(crate) struct Demand {
    /// By cell: whether a part wanted any server for a shard that begins there.
    cells: Vec<Share>,
    /// Fading sums over cold servers that stood beside warm ones: seconds in which a part would have gone there, had there
    /// been a turn, and all.
    wished: f64,
    seen: f64,
    /// The cells' mean share.
    mean: f64,
}

impl Demand {
    pub(crate) fn new(cells: usize) -> Self {
        Demand { cells: vec![Share::default(); cells], wished: 0.0, seen: 0.0, mean: 1.0 }
    }

    /// How many cells there are.
    pub(crate) fn cell_count(&self) -> usize {
        self.cells.len()
    }

    /// A part wants a server for this shard.
    pub(crate) fn record_part(&mut self, shard: usize) {
        let cells = self.cells.len().max(1);
        if let Some(cell) = self.cells.get_mut(shard % cells) {
            cell.now = true;
        }
    }

    /// Closes a second, and says of each cold server that stood beside warm ones whether a part wished for it.
    pub(crate) fn end_second(&mut self, news: f64, wished: &[bool]) {
        self.cells.iter_mut().for_each(|cell| cell.second(news));
        self.wished = (1.0 - news) * self.wished + wished.iter().filter(|w| **w).count() as f64;
        self.seen = (1.0 - news) * self.seen + wished.len() as f64;
        self.mean = self.cells.iter().map(|c| c.share).sum::<f64>() / self.cells.len() as f64;
    }

    /// The share of seconds in which a part wants any server of this cell, which holds the shards of `reach` cells up to
    /// its own: as was seen, or as is usual over all cells where that is more, since one cell tells little.
    fn cell_share(&self, cell: usize, reach: usize) -> f64 {
        let cells = self.cells.len();
        if cells == 0 {
            return 1.0;
        }
        let reach = reach.min(cells);
        let own: f64 = (0..reach).map(|j| 1.0 - self.cells[(cell + cells - j) % cells].share).product();
        1.0 - own.min((1.0 - self.mean).powi(reach as i32))
    }

    /// The share of seconds in which a part wants just one cold server of this cell. With warm ones beside it: by what was
    /// seen of all such, and at first as if every part of the cell did. Without: all parts of the cell do, and are `held`
    /// for so many seconds, so that they are there in later ones too.
    pub(crate) fn server_share(&self, cell: usize, reach: usize, held: Option<f64>) -> f64 {
        let all = self.cell_share(cell, reach);
        let share = match held {
            None => ((self.wished + PRIOR * all) / (self.seen + PRIOR)).min(all),
            Some(seconds) => 1.0 - (1.0 - all).powf(1.0 + seconds),
        };
        share.max(LEAST)
    }
}

/// How many turns by chance are meant where so many may be taken: so many times its root is kept free, since a sum of
/// many small chances scatters by its root.
pub(crate) fn mean_grants_within(limit: f64, scatter: f64) -> f64 {
    ((limit + scatter * scatter / 4.0).sqrt() - scatter / 2.0).powi(2)
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn a_cell_is_wanted_as_often_as_seen_and_as_usual_at_the_least() {
        let mut demand = Demand::new(4);
        assert_eq!(demand.cell_share(1, 1), 1.0, "nothing is known yet");
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
    fn turns_leave_room_for_chance() {
        for limit in [0.0, 1.0, 4.5, 12.0, 100.0] {
            let turns = mean_grants_within(limit, 2.0);
            assert!((turns + 2.0 * turns.sqrt() - limit).abs() < 1e-9, "{turns} of {limit}");
        }
    }

    #[test]
    fn one_server_is_wanted_as_often_as_its_like() {
        let mut demand = Demand::new(1);
        for _ in 0..10 {
            demand.record_part(0);
            demand.end_second(0.2, &[]);
        }
        assert!(demand.server_share(0, 1, None) > 0.99, "none was seen: all parts may want it");
        for _ in 0..20 {
            demand.record_part(0);
            demand.end_second(0.2, &[true, false, false, false, false, false, false, false, false, false]);
        }
        let seen = demand.server_share(0, 1, None);
        assert!((0.09..0.16).contains(&seen), "{seen}");
        assert!(demand.server_share(0, 1, Some(0.0)) > 0.99, "the last of its cell is wanted by all");
    }

    #[test]
    fn parts_that_are_held_are_there_in_later_seconds() {
        let mut demand = Demand::new(1);
        for k in 0..200 {
            if k % 4 == 0 {
                demand.record_part(0);
            }
            demand.end_second(0.01, &[]);
        }
        let [at_once, held] = [0.0, 3.0].map(|seconds| demand.server_share(0, 1, Some(seconds)));
        assert!((0.2..0.35).contains(&at_once) && (0.6..0.8).contains(&held), "{at_once} {held}");
    }
}
