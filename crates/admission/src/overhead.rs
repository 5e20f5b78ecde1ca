//! What the broker's own thread needs: for a part, and for a turn. Learned from its turns.

use plover_model::time::Micros;
use std::time::Duration;

/// Share of what was learned of a part that one turn replaces.
const PART_NEWS: f64 = 0.05;
/// Share of what was learned of turns that one turn replaces.
const TURN_NEWS: f64 = 0.2;
/// Parts that the estimate begins with, at no cost: turns with few parts are mostly what turns cost by themselves.
const FREE: f64 = 32.0;

/// What one turn of the broker has done.
#[derive(Clone, Copy, Debug)]
pub struct Turn {
    /// For how long the thread was busy since the turn before, in microseconds.
    pub busy: Micros,
    /// Attempts that were sent.
    pub sent: usize,
    /// Attempts that ended.
    pub ended: usize,
    /// Whether connections were dialled, which takes longer than all else.
    pub dialled: bool,
}

/// The time that the broker's thread needs.
#[derive(Clone, Copy, Debug, Default)]
pub struct OverheadEstimator {
    /// Fading sums: parts by microseconds, and parts by parts.
    time: f64,
    square: f64,
    /// Smoothed time of a turn, in microseconds.
    turn: f64,
}

impl OverheadEstimator {
    /// Learns from a turn.
    pub fn observe(&mut self, turn: Turn) {
        let busy = turn.busy as f64;
        self.turn += TURN_NEWS * (busy - self.turn);
        // To be sent and to be answered are half of a part each.
        let parts = (turn.sent + turn.ended) as f64 / 2.0;
        if parts > 0.0 && !turn.dialled {
            self.time = (1.0 - PART_NEWS) * self.time + parts * busy;
            self.square = (1.0 - PART_NEWS) * self.square + parts * parts;
        }
    }

    /// What a part costs: its sending, the reading of its answer, and its share of what its query and turns cost. It is the
    /// slope of a line through the origin, in which turns with many parts count most. 0 as long as none was seen.
    pub fn per_part(&self) -> Duration {
        micros(self.time / (self.square + FREE * FREE))
    }

    /// How long the thread is busy from one turn to the next, as of late.
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
    fn a_part_costs_what_turns_with_many_take_for_each() {
        let mut own = OverheadEstimator::default();
        assert_eq!(own.per_part(), Duration::ZERO);
        own.observe(turn(500, 0, 0));
        assert_eq!(own.per_part(), Duration::ZERO, "a turn without parts tells nothing");
        own.observe(turn(4_000, 690, 0));
        own.observe(turn(4_000, 0, 690));
        assert!((11..=12).contains(&own.per_part().as_micros()), "{own:?}");
        own.observe(turn(200, 1, 1));
        own.observe(Turn { dialled: true, ..turn(80_000, 690, 0) });
        assert!((11..=12).contains(&own.per_part().as_micros()), "{own:?}");
    }

    #[test]
    fn turns_with_few_parts_make_none_look_dear() {
        let mut own = OverheadEstimator::default();
        (0..100).for_each(|_| own.observe(turn(4_000, 1, 1)));
        assert!(own.per_part().as_micros() < 100, "{own:?}");
    }

    #[test]
    fn a_dearer_hour_replaces_a_cheap_one() {
        let mut own = OverheadEstimator::default();
        (0..100).for_each(|_| own.observe(turn(1_000, 50, 50)));
        (0..100).for_each(|_| own.observe(turn(4_000, 50, 50)));
        assert!((70..=80).contains(&own.per_part().as_micros()), "{own:?}");
    }

    #[test]
    fn long_turns_are_forgotten_within_some() {
        let mut own = OverheadEstimator::default();
        (0..20).for_each(|_| own.observe(turn(40_000, 1_000, 1_000)));
        assert!(own.per_turn().as_millis() > 35, "{own:?}");
        (0..20).for_each(|_| own.observe(turn(100, 0, 0)));
        assert!(own.per_turn().as_millis() < 1, "{own:?}");
    }
}
