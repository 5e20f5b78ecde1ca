//! Estimates the time that the broker's event loop itself spends per part and per turn.

use plover_model::time::Micros;
use std::time::Duration;

/// Weight of a new turn in the fading sums from which the time per part is estimated.
const PART_SMOOTHING: f64 = 0.05;
/// Weight of a new turn in the smoothed time per turn.
const TURN_SMOOTHING: f64 = 0.2;
/// Number of parts at no cost that the estimate starts with. The time of turns with few parts is mostly the
/// fixed cost of a turn.
const PRIOR_PARTS: f64 = 32.0;

/// Work that the broker did in one turn.
#[derive(Clone, Copy, Debug)]
pub struct Turn {
    /// Time in microseconds for which the thread was busy since the previous turn.
    pub busy: Micros,
    /// Number of attempts that were sent.
    pub sent: usize,
    /// Number of attempts that ended.
    pub ended: usize,
    /// Whether connections were dialled. Dialling takes longer than everything else, so that such a turn does
    /// not count for the time per part.
    pub dialled: bool,
}

/// Estimates the time that the broker's thread needs per part and per turn.
#[derive(Clone, Copy, Debug, Default)]
pub struct OverheadEstimator {
    /// Fading sum of parts times busy microseconds.
    time: f64,
    /// Fading sum of parts squared.
    square: f64,
    /// Smoothed time of a turn in microseconds.
    turn: f64,
}

impl OverheadEstimator {
    /// Updates the estimates with one turn.
    pub fn observe(&mut self, turn: Turn) {
        let busy = turn.busy as f64;
        self.turn += TURN_SMOOTHING * (busy - self.turn);
        // Sending a part and receiving its answer count as half a part each.
        let parts = (turn.sent + turn.ended) as f64 / 2.0;
        if parts > 0.0 && !turn.dialled {
            self.time = (1.0 - PART_SMOOTHING) * self.time + parts * busy;
            self.square = (1.0 - PART_SMOOTHING) * self.square + parts * parts;
        }
    }

    /// Returns the estimated time per part: sending it, reading its answer, and its share of the cost of its
    /// query and of the turns. This is the slope of a regression line through the origin, to which turns with
    /// many parts contribute most. It is zero until a turn with parts was observed.
    pub fn per_part(&self) -> Duration {
        micros(self.time / (self.square + PRIOR_PARTS * PRIOR_PARTS))
    }

    /// Returns the smoothed time for which the thread is busy per turn.
    pub fn per_turn(&self) -> Duration {
        micros(self.turn)
    }
}

fn micros(time: f64) -> Duration {
    Duration::from_secs_f64(time / 1e6)
}

#[cfg(test)]
mod tests {
    use super::*;

    fn turn(busy: Micros, sent: usize, ended: usize) -> Turn {
        Turn { busy, sent, ended, dialled: false }
    }

    #[test]
    fn the_time_per_part_comes_from_turns_with_many_parts() {
        let mut estimator = OverheadEstimator::default();
        assert_eq!(estimator.per_part(), Duration::ZERO);
        estimator.observe(turn(500, 0, 0));
        assert_eq!(estimator.per_part(), Duration::ZERO, "a turn without parts does not change the estimate");
        estimator.observe(turn(4_000, 690, 0));
        estimator.observe(turn(4_000, 0, 690));
        assert!((11..=12).contains(&estimator.per_part().as_micros()), "{estimator:?}");
        estimator.observe(turn(200, 1, 1));
        estimator.observe(Turn { dialled: true, ..turn(80_000, 690, 0) });
        assert!((11..=12).contains(&estimator.per_part().as_micros()), "{estimator:?}");
    }

    #[test]
    fn turns_with_few_parts_hardly_raise_the_time_per_part() {
        let mut estimator = OverheadEstimator::default();
        (0..100).for_each(|_| estimator.observe(turn(4_000, 1, 1)));
        assert!(estimator.per_part().as_micros() < 100, "{estimator:?}");
    }

    #[test]
    fn the_time_per_part_follows_a_rise_in_cost() {
        let mut estimator = OverheadEstimator::default();
        (0..100).for_each(|_| estimator.observe(turn(1_000, 50, 50)));
        (0..100).for_each(|_| estimator.observe(turn(4_000, 50, 50)));
        assert!((70..=80).contains(&estimator.per_part().as_micros()), "{estimator:?}");
    }

    #[test]
    fn the_time_per_turn_falls_within_a_few_short_turns() {
        let mut estimator = OverheadEstimator::default();
        (0..20).for_each(|_| estimator.observe(turn(40_000, 1_000, 1_000)));
        assert!(estimator.per_turn().as_millis() > 35, "{estimator:?}");
        (0..20).for_each(|_| estimator.observe(turn(100, 0, 0)));
        assert!(estimator.per_turn().as_millis() < 1, "{estimator:?}");
    }
}
