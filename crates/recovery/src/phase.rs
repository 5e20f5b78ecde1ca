//! Where a broker is on its way back.
//!
//! ```text
//!  Nothing ── a list is remembered, or not ──► Asking ── a list came, or `ask_for` is over and one is remembered ──► Listed
//!  Listed ── its turn within `spread` ──► Part ── the ramp is full, or `part_for` without an end that was bad ──► Full
//! ```
//!
//! | phase | entry | exit | bound |
//! | --- | --- | --- | --- |
//! | `Nothing` | the process starts | the first turn | one turn |
//! | `Asking` | the first turn | a list of discovery's; or a remembered one | `ask_for`; without any list none: nothing can be served |
//! | `Listed` | a list is in force | its turn comes | `spread` |
//! | `Part` | its turn came | the ramp is full | `part_for` after the last bad end |
//! | `Full` | | it does not leave it | |

use crate::ramp::Ramp;
use plover_model::time::Micros;

/// How long the phases may take.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Times {
    /// How long discovery is waited for while a list is remembered.
    pub ask_for: Micros,
    /// The time over which brokers begin to serve.
    pub spread: Micros,
    /// After so long without a bad end all queries are let in, however few have come.
    pub part_for: Micros,
}

/// A phase, and since when it has been.
#[derive(Clone, Debug, PartialEq)]
pub enum Phase {
    /// Nothing is known.
    Nothing,
    /// The list is asked for.
    Asking {
        /// Since then.
        since: Micros,
    },
    /// A list is in force.
    Listed {
        /// Queries are let in from then on.
        from: Micros,
        /// It is remembered, and discovery has told none yet.
        remembered: bool,
    },
    /// Some queries are let in.
    Part {
        /// Since then nothing has ended badly.
        since: Micros,
        /// Which.
        ramp: Ramp,
    },
    /// All are.
    Full,
}

impl Phase {
    /// Its place on the way, from 0 to 4.
    pub fn place(&self) -> u64 {
        match self {
            Phase::Nothing => 0,
            Phase::Asking { .. } => 1,
            Phase::Listed { .. } => 2,
            Phase::Part { .. } => 3,
            Phase::Full => 4,
        }
    }

    /// Its name in the log and in the door's figures.
    pub fn name(&self) -> &'static str {
        match self {
            Phase::Nothing => "nothing",
            Phase::Asking { .. } => "asking",
            Phase::Listed { .. } => "listed",
            Phase::Part { .. } => "part",
            Phase::Full => "full",
        }
    }
}

/// A phase was left for another: what the log tells.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Change {
    /// The one that was left.
    pub from: &'static str,
    /// The one that began.
    pub to: &'static str,
    /// How long the one that was left took.
    pub took: Micros,
}

/// A broker on its way back.
#[derive(Clone, Debug)]
pub struct Coming {
    times: Times,
    /// Where its own turn lies within the time over which brokers begin to serve, from 0 to 1.
    turn: f64,
    phase: Phase,
    entered: Micros,
    listed: bool,
}

impl Coming {
    /// A process that has just started. `turn`, from 0 to 1, is drawn from its seed.
    pub fn new(now: Micros, times: Times, turn: f64) -> Self {
        let turn = if turn.is_finite() { turn.clamp(0.0, 1.0) } else { 0.0 };
        Coming { times, turn, phase: Phase::Nothing, entered: now, listed: false }
    }

    /// Where it is.
    pub fn phase(&self) -> &Phase {
        &self.phase
    }

    /// Discovery has told a whole list.
    pub fn list_came(&mut self) {
        self.listed = true;
        if let Phase::Listed { remembered, .. } = &mut self.phase {
            *remembered = false;
        }
    }

    /// Moves on as far as the time goes; `remembered` says whether a list is remembered that may be believed.
    pub fn turn(&mut self, now: Micros, remembered: bool) -> Option<Change> {
        let next = match &self.phase {
            Phase::Nothing => Phase::Asking { since: now },
            Phase::Asking { since } if self.listed || (remembered && now >= since + self.times.ask_for) => {
                let from = now + (self.turn * self.times.spread as f64) as Micros;
                Phase::Listed { from, remembered: !self.listed }
            }
            Phase::Listed { from, .. } if now >= *from => Phase::Part { since: now, ramp: Ramp::default() },
            Phase::Part { since, ramp } if ramp.is_full() || now >= since + self.times.part_for => {
                Phase::Full
            }
            _ => return None,
        };
        let change =
            Change { from: self.phase.name(), to: next.name(), took: now.saturating_sub(self.entered) };
        (self.phase, self.entered) = (next, now);
        Some(change)
    }

    /// Whether some queries are let in: fronts may send them.
    pub fn is_open(&self) -> bool {
        matches!(self.phase, Phase::Part { .. } | Phase::Full)
    }

    /// Whether a query that has come is let in. Those that are not are refused at once: trying again is harmless.
    pub fn admits(&mut self) -> bool {
        match &mut self.phase {
            Phase::Nothing | Phase::Asking { .. } | Phase::Listed { .. } => false,
            Phase::Part { ramp, .. } => ramp.admits(),
            Phase::Full => true,
        }
    }

    /// A query that was let in has ended.
    pub fn ended(&mut self, now: Micros, in_time: bool) {
        if let Phase::Part { since, ramp } = &mut self.phase {
            ramp.ended(in_time);
            if !in_time {
                *since = now;
            }
        }
    }

    /// When the phase ends at the latest, if nothing comes before; `None`: time alone does not end it.
    pub fn due(&self, remembered: bool) -> Option<Micros> {
        match &self.phase {
            Phase::Nothing => Some(self.entered),
            Phase::Asking { since } => (self.listed || remembered).then(|| since + self.times.ask_for),
            Phase::Listed { from, .. } => Some(*from),
            Phase::Part { since, .. } => Some(since + self.times.part_for),
            Phase::Full => None,
        }
    }
}
