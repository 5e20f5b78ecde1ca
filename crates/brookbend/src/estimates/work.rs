//! The work of a part of one class, from how long answers took.

use crate::api::Millis;

/// Quantile of answer times taken as the work of one part where there are no hints, and its step.
const QUANTILE: f64 = 0.2;
const STEP: f64 = 0.05;
/// Work of a part before any answer, in multiples of a call's fixed work.
const FIRST: f64 = 2.0;
/// So many first answers are not stepped by: the shortest of them is the work, as near its quantile as so few tell.
const FEW: u32 = 8;
/// Before any answer a cold server is taken to need this share of the aim for a part: a call may cost far less than the
/// part it carries, and where all aggregators start at once all would take the one for the other.
const UNKNOWN_AIM: f64 = 0.05;
/// So far off may what forecasts go by be, and still count at a cold server.
const FAR: f64 = 2.0;

/// The unit is known once so many answers were quicker than it, of which each slower one takes QUICKER_LOST back: an estimate
/// that is far too low meets hardly any, one at its quantile meets one in five.
const QUICKER: f64 = 8.0;
const QUICKER_LOST: f64 = 0.1;

/// What is known of it.
#[derive(Clone, Copy, Default)]
pub(crate) struct Work {
    /// What forecasts go by: it steps from what a call costs, and takes hundreds of answers to come to what a part does.
    unit: Millis,
    /// What a part took beside its call: the first answers tell it.
    alone: Millis,
    /// Work of a call.
    call: Millis,
    /// Answers, as far as they are few.
    answers: u32,
    /// Whether the unit has come near what answers take. Until then it is a guess on its way there.
    known: bool,
    /// How far it is known: from QUICKER on.
    quicker: f64,
    /// By how much the guess has moved since that was last taken note of, and in all.
    moved: f64,
    scale: f64,
}

/// A guess of a unit of work has moved.
pub(crate) struct Change {
    /// It is so many times what it was.
    pub(crate) ratio: f64,
    /// It is no guess any more.
    pub(crate) settled: bool,
}

impl Work {
    /// Before any answer.
    pub(crate) fn new(call: Millis) -> Self {
        Work { unit: call.max(1.0) * FIRST, call, moved: 1.0, scale: 1.0, ..Work::default() }
    }

    /// As another learned it, of whom nobody knows from how many answers: it counts as a guess.
    pub(crate) fn learned(unit: Millis, call: Millis) -> Self {
        Work { unit, ..Work::new(call) }
    }

    pub(crate) fn unit(&self) -> Millis {
        self.unit
    }

    /// Whether the unit has come near what answers take.
    pub(crate) fn known(&self) -> bool {
        self.known
    }

    /// What the unit has been multiplied by while it was a guess, as far as that was taken note of: work that was sent at
    /// another scale stands for as much more now as this has grown.
    pub(crate) fn scale(&self) -> f64 {
        self.scale
    }

    /// By how much a guess has moved since this was last asked, if it has.
    pub(crate) fn take_change(&mut self) -> Option<Change> {
        if self.moved == 1.0 {
            return None;
        }
        self.known = self.quicker >= QUICKER;
        let ratio = std::mem::replace(&mut self.moved, 1.0);
        self.scale *= ratio;
        Some(Change { ratio, settled: self.known })
    }

    /// An answer took so long.
    pub(crate) fn answered(&mut self, elapsed: Millis) {
        let step = toward(self.unit, elapsed);
        if !self.known {
            self.moved *= step;
            let quicker = if elapsed < self.unit { 1.0 } else { -QUICKER_LOST };
            self.quicker = (self.quicker + quicker).max(0.0);
        }
        self.unit *= step;
        // The call is half of it at the most: what is known of its work is a usual one's.
        let took = (elapsed - self.call.min(elapsed / 2.0)).max(1.0);
        match self.answers {
            FEW.. => self.alone *= toward(self.alone, took),
            0 => self.alone = took,
            _ => self.alone = self.alone.min(took),
        }
        self.answers = FEW.min(self.answers + 1);
    }

    /// Nothing is heard any more, as when all is refused after a bad spell: what was learned in that fades by this share,
    /// towards what is taken before any answer, or it would be believed for ever. What is less than that stays. What has
    /// faded is a guess again.
    pub(crate) fn fade(&mut self, share: f64) {
        let first = Work::new(self.call).unit;
        let faded = share * (self.unit - first).max(0.0);
        if faded > 0.0 {
            self.unit -= faded;
            (self.known, self.quicker) = (false, 0.0);
        }
    }

    /// What a part of this work counts for at a server that has just started. What forecasts go by is left where it is not
    /// off by more than FAR times: the allowance has room for that, and is used so.
    pub(crate) fn at_cold(&self, work: Millis, aim: Millis) -> Millis {
        let told = if self.answers == 0 { UNKNOWN_AIM * aim } else { self.alone };
        if told > FAR * work { told } else { work }
    }
}

/// One step of an estimate towards the quantile of what is seen.
fn toward(estimate: Millis, seen: Millis) -> f64 {
    1.0 + STEP * if seen > estimate { QUANTILE } else { QUANTILE - 1.0 }
}
