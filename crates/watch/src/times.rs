//! The figures of a watch.

use plover_model::time::{MILLI, Micros, SECOND};

/// How much later than at the end of its wait the protocol lets a call be answered.
pub const ANSWER_DELAY: Micros = 2 * SECOND;

/// Attempts that fail in a row before they come less often.
pub(crate) const TRIES: u32 = 10;

/// The figures of a watch, in microseconds.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Times {
    /// How long discovery may hold a call on a connection that has just answered one with nothing new. Far shorter than the
    /// protocol allows: silence is noticed when it is over.
    pub wait: Micros,
    /// The same for any other call, which is there to find out whether anybody answers.
    pub first_wait: Micros,
    /// From the moment up to which the list is known to be current, until another connection is asked.
    pub stale: Micros,
    /// How much later than at the end of its wait, and than discovery was last, an answer may be whole before another
    /// connection is asked.
    pub late: Micros,
    /// How much later than at the end of its wait an answer may be whole without its discovery counting as slow.
    pub prompt: Micros,
    /// How much later than at the end of its wait an answer may be whole and still be taken.
    pub grace: Micros,
    /// From the first step towards a new connection without an answer to the rest before the next one.
    pub attempt: Micros,
    /// The same while nothing answers for long.
    pub outage_attempt: Micros,
    /// From the first step towards a new connection to the last byte of its first answer, while nothing answers for long.
    pub patient: Micros,
    /// The first and the longest rest after a failure; the half of it is always kept. The first is well under the 200 ms
    /// that a watch may pause, and its half no less than `gap`.
    pub back_off: (Micros, Micros),
    /// The longest that the fleet's pace may put an attempt off after one that failed.
    pub paced: Micros,
    /// Least time between two calls.
    pub gap: Micros,
    /// The same where the answer came before its time, or late on a new connection, and told nothing: such a discovery would cost
    /// the whole core. Well under the 200 ms that a watch may pause.
    pub idle_gap: Micros,
}

impl Default for Times {
    fn default() -> Self {
        Times {
            wait: 3500 * MILLI,
            first_wait: 100 * MILLI,
            stale: 3650 * MILLI,
            late: 300 * MILLI,
            prompt: 60 * MILLI,
            grace: ANSWER_DELAY + 200 * MILLI,
            attempt: 800 * MILLI,
            outage_attempt: 2 * SECOND,
            patient: 3200 * MILLI,
            back_off: (40 * MILLI, 400 * MILLI),
            paced: 1500 * MILLI,
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
        Times { outage_attempt: usual.outage_attempt.min(most).max(usual.attempt), ..usual }
    }

    /// How long an attempt after so many failed ones has before the next one is due.
    pub(crate) fn attempt_after(&self, failures: u32) -> Micros {
        if failures < TRIES { self.attempt } else { self.outage_attempt.max(self.attempt) }
    }

    /// How long the answer to such an attempt is taken.
    pub(crate) fn taken_after(&self, failures: u32) -> Micros {
        let usual = self.first_wait + self.grace;
        let taken = if failures < TRIES { usual } else { usual.max(self.patient) };
        taken.max(self.attempt_after(failures))
    }

    /// How long discovery may hold a call, where its last answer was late by this: the answer is to be here before the list is
    /// stale, whose age at the call is that same delay.
    pub(crate) fn wait_for(&self, lateness: Micros) -> Micros {
        if lateness <= self.prompt {
            return self.wait;
        }
        self.wait.saturating_sub(2 * lateness).max(self.first_wait)
    }

    /// The longest from the moment at which discovery has news and answers new connections, to the call over a new connection
    /// that brings them, whatever befalls the connections, calls and answers that were on their way at that moment.
    /// `docs/design/watch.md` derives it.
    pub fn asks_within(&self) -> Micros {
        let stale = self.idle_gap + self.stale + self.back_off.0;
        stale.max(self.tries_within())
    }

    /// The longest from that moment to the news being here: the call that brings them may be answered as late as the protocol
    /// has it.
    pub fn hears_within(&self) -> Micros {
        self.asks_within() + ANSWER_DELAY
    }

    /// The longest between the beginnings of two attempts while nothing answers.
    pub fn tries_within(&self) -> Micros {
        self.attempt.max(self.outage_attempt) + self.back_off.1.max(self.paced)
    }
}
