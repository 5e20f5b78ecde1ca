//! Work of a part of one class, estimated from the times of answers.

use crate::api::Millis;

/// Quantile of answer times that is taken as the work of one part where there are no hints, and the relative
/// step by which the estimate approaches it.
const QUANTILE: f64 = 0.2;
const STEP: f64 = 0.05;
/// Work of a part before any answer, in multiples of a call's fixed work.
const INITIAL_CALL_MULTIPLE: f64 = 2.0;
/// Number of first answers of which the shortest is taken as the work of a part: with so few answers, it is
/// as close to the quantile as can be estimated.
const FIRST_ANSWERS: u32 = 8;
/// Share of the aim that a part is assumed to cost at a cold server before any answer. A call may cost far
/// less than the part it carries, and if all aggregators start at once, all of them would mistake the one for
/// the other.
const ASSUMED_COLD_AIM_SHARE: f64 = 0.05;
/// Factor by which the unit behind forecasts may be too low and still be used at a cold server.
const MAX_COLD_UNDERESTIMATE: f64 = 2.0;

/// The unit is known once this many answers were faster than it, where each slower answer reduces the count
/// by [`SLOWER_DISCOUNT`]. An estimate that is far too low has hardly any faster answers; one at its quantile
/// has one in five.
const FASTER_ANSWERS_TO_KNOW: f64 = 8.0;
const SLOWER_DISCOUNT: f64 = 0.1;

/// Estimate of the work of one class's parts, in milliseconds.
#[derive(Clone, Copy, Default)]
pub(crate) struct WorkEstimate {
    /// The unit of work that forecasts use. It starts from the work of a call and takes hundreds of answers
    /// to reach that of a part.
    unit: Millis,
    /// Work of a part without its call. The first few answers determine it.
    part_alone: Millis,
    /// Fixed work of a call.
    call: Millis,
    /// Number of answers, up to [`FIRST_ANSWERS`].
    answers: u32,
    /// Whether the unit has come close to the time of answers. Until then it is provisional.
    known: bool,
    /// Count of answers faster than the unit; the unit is known from [`FASTER_ANSWERS_TO_KNOW`] on.
    faster_answers: f64,
    /// Factor by which a provisional unit has changed since the last [`WorkEstimate::take_change`].
    pending_ratio: f64,
    /// Product of the factors that [`WorkEstimate::take_change`] has returned.
    scale: f64,
}

/// A change of a provisional unit of work.
pub(crate) struct UnitChange {
    /// Factor from the old unit to the new one.
    pub(crate) ratio: f64,
    /// Whether the unit is known from now on.
    pub(crate) settled: bool,
}

impl WorkEstimate {
    /// The estimate before any answer, from the fixed work of a call.
    pub(crate) fn new(call: Millis) -> Self {
        WorkEstimate {
            unit: call.max(1.0) * INITIAL_CALL_MULTIPLE,
            call,
            pending_ratio: 1.0,
            scale: 1.0,
            ..WorkEstimate::default()
        }
    }

    /// The estimate with a unit that another process learned. From how many answers is unknown, so that it is
    /// provisional.
    pub(crate) fn restored(unit: Millis, call: Millis) -> Self {
        WorkEstimate { unit, ..WorkEstimate::new(call) }
    }

    /// Work of one part as forecasts take it, in milliseconds.
    pub(crate) fn unit(&self) -> Millis {
        self.unit
    }

    /// Whether the unit has come close to the time of answers.
    pub(crate) fn is_known(&self) -> bool {
        self.known
    }

    /// Factor by which the unit has changed while it was provisional, up to the last
    /// [`WorkEstimate::take_change`]. Work that was sent at another scale has to be multiplied by the growth
    /// of the scale since then.
    pub(crate) fn scale(&self) -> f64 {
        self.scale
    }

    /// Returns the change of a provisional unit since the last call; `None` if there was none.
    pub(crate) fn take_change(&mut self) -> Option<UnitChange> {
        if self.pending_ratio == 1.0 {
            return None;
        }
        self.known = self.faster_answers >= FASTER_ANSWERS_TO_KNOW;
        let ratio = std::mem::replace(&mut self.pending_ratio, 1.0);
        self.scale *= ratio;
        Some(UnitChange { ratio, settled: self.known })
    }

    /// Takes in the time of an answer.
    pub(crate) fn observe(&mut self, elapsed: Millis) {
        let step = step_towards(self.unit, elapsed);
        if !self.known {
            self.pending_ratio *= step;
            let count = if elapsed < self.unit { 1.0 } else { -SLOWER_DISCOUNT };
            self.faster_answers = (self.faster_answers + count).max(0.0);
        }
        self.unit *= step;
        // At most half of the time is attributed to the call, whose configured work is only a typical value.
        let part_time = (elapsed - self.call.min(elapsed / 2.0)).max(1.0);
        match self.answers {
            FIRST_ANSWERS.. => self.part_alone *= step_towards(self.part_alone, part_time),
            0 => self.part_alone = part_time,
            _ => self.part_alone = self.part_alone.min(part_time),
        }
        self.answers = FIRST_ANSWERS.min(self.answers + 1);
    }

    /// Moves a unit above its initial value by the given share back towards it, while there are no answers,
    /// as when all queries are refused after a slow period. Otherwise what was learned in that period would
    /// be believed for ever. A unit that has decayed is provisional again; one below the initial value stays.
    pub(crate) fn decay(&mut self, share: f64) {
        let initial = WorkEstimate::new(self.call).unit;
        let decayed = share * (self.unit - initial).max(0.0);
        if decayed > 0.0 {
            self.unit -= decayed;
            (self.known, self.faster_answers) = (false, 0.0);
        }
    }

    /// Work that a part counts for at a server that has just started. The forecast's `work` is used unless it
    /// is too low by more than the factor [`MAX_COLD_UNDERESTIMATE`]: the allowance of a cold server has a
    /// margin for that.
    pub(crate) fn cold_work(&self, work: Millis, aim: Millis) -> Millis {
        let estimate = if self.answers == 0 { ASSUMED_COLD_AIM_SHARE * aim } else { self.part_alone };
        if estimate > MAX_COLD_UNDERESTIMATE * work { estimate } else { work }
    }
}

/// Factor of one step of an estimate towards the quantile of the observed values.
fn step_towards(estimate: Millis, observed: Millis) -> f64 {
    1.0 + STEP * if observed > estimate { QUANTILE } else { QUANTILE - 1.0 }
}
