//! The figures of a watch.

use plover_model::time::{MILLI, Micros, SECOND};

/// Attempts that fail in a row before the next ones are given twice as long: a discovery that is slow, and not silent,
/// would else never be heard.
pub(crate) const TRIES: u32 = 10;

/// The figures of a watch, in microseconds.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Times {
    /// How long discovery may hold a call on a connection that has answered before. Far shorter than the protocol allows:
    /// silence is noticed when it is over.
    pub wait: Micros,
    /// The same for the first call on a connection, which is there to find out whether anybody answers.
    pub first_wait: Micros,
    /// How much later than at the end of its wait an answer may begin.
    pub late: Micros,
    /// From an answer's first byte to its last.
    pub rest: Micros,
    /// From the first step towards a new connection to the first byte of its first answer.
    pub attempt: Micros,
    /// The most that `attempt` grows to while nothing answers.
    pub patient: Micros,
    /// The first and the longest rest after a failure; the half of it is always kept. The first is well under the 200 ms
    /// that a watch may pause, and its half no less than `gap`.
    pub back_off: (Micros, Micros),
    /// Least time between two calls.
    pub gap: Micros,
    /// The same where the answer came before its time and told nothing: such a discovery would cost the whole core.
    pub idle_gap: Micros,
}

impl Default for Times {
    fn default() -> Self {
        Times {
            wait: 5 * SECOND,
            first_wait: 100 * MILLI,
            late: 500 * MILLI,
            rest: SECOND,
            attempt: 800 * MILLI,
            patient: 3200 * MILLI,
            back_off: (40 * MILLI, 400 * MILLI),
            gap: 20 * MILLI,
            idle_gap: 100 * MILLI,
        }
    }
}

impl Times {
    /// The figures where one who is without a watch for `ask_within` counts as told: attempts begin closer together then,
    /// though never closer than the usual ones.
    pub fn within(ask_within: Micros) -> Times {
        let usual = Times::default();
        let most = (ask_within / 2).saturating_sub(usual.back_off.1);
        Times { patient: usual.patient.min(most).max(usual.attempt), ..usual }
    }

    /// How long an attempt after so many failed ones is given.
    pub(crate) fn attempt_after(&self, failures: u32) -> Micros {
        let doubled = self.attempt.saturating_mul(1 << (failures / TRIES).min(16));
        doubled.min(self.patient.max(self.attempt))
    }

    /// The longest from the beginning of silence to the next attempt, wherever the silence begins.
    pub fn notices_within(&self) -> Micros {
        (self.wait + self.late).max(self.patient.max(self.attempt)) + self.rest + self.back_off.1
    }

    /// The longest between the beginnings of two attempts while nothing answers, after so many failed ones.
    pub fn tries_within(&self, failures: u32) -> Micros {
        self.attempt_after(failures) + self.rest + self.back_off.1
    }
}
