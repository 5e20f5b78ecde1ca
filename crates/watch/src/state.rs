//! The watch, as states.
//!
//! | state | entered | left | bound |
//! | --- | --- | --- | --- |
//! | resting | at the start; when a connection ended or was given up | time | `back_off.1`; `idle_gap` after an answer |
//! | asking | a rest is over: a connection is made and its first call goes out | first byte of the answer; failure | `attempt`, doubled every tenth failure, `patient` at most |
//! | waiting | a further call goes out on a connection that has answered | first byte of the answer; failure | `wait` and `late` |
//! | reading | an answer has begun | its last byte; failure | `rest` |
//! | pausing | an answer is whole and its connection goes on | time | `gap`, or `idle_gap` |
//!
//! Every bound that passes in asking, waiting or reading is silence: the connection is given up and the next attempt is
//! on a new one.

use crate::times::Times;
use plover_model::time::Micros;

/// Answers in a row that cannot be read before the whole list is asked for: of changes that cannot be read, the whole list
/// may be one that can.
const UNREADABLE: u32 = 2;

/// Where a watch is.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum State {
    /// There is no connection.
    Resting {
        /// The next attempt begins then.
        until: Micros,
        /// Whether the last connection ended after a whole answer, as a server may end it.
        goes_on: bool,
    },
    /// A new connection, whose first answer has not begun.
    Asking {
        /// Its silence is believed then.
        until: Micros,
    },
    /// A call is out on a connection that has answered before.
    Waiting {
        /// Its silence is believed then.
        until: Micros,
    },
    /// An answer has begun.
    Reading {
        /// It must be whole by then.
        until: Micros,
    },
    /// Between two calls on one connection.
    Pausing {
        /// The next goes out then.
        until: Micros,
    },
}

/// What is to be asked.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Call {
    /// News since this version; `None`: the whole list.
    pub index: Option<u64>,
    /// How long discovery may wait for news.
    pub wait: Micros,
}

/// What is to be done.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Order {
    /// Make a new connection, and say so with [`Watch::connected`].
    Connect,
    /// Send this call on the connection.
    Call(Call),
    /// It is silent: give the connection up.
    GiveUp,
}

/// A whole answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Heard {
    /// The list's version.
    pub rev: u64,
    /// Whether it holds the whole list, or changes.
    pub tells: bool,
    /// Whether its connection ends with it.
    pub closes: bool,
}

/// How an attempt or a call failed, other than by silence.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Fault {
    /// The connection did not come up, or broke.
    Broken,
    /// A status that is no success.
    Status(u16),
    /// Something that is no list.
    Unreadable,
}

/// The one watch of the list.
#[derive(Clone, Debug)]
pub struct Watch {
    times: Times,
    state: State,
    index: Option<u64>,
    /// When the last call went out.
    called: Micros,
    /// Its wait.
    wait: Micros,
    /// Since the last whole answer.
    failures: u32,
    unreadable: u32,
    dice: u64,
}

impl Watch {
    /// A watch that begins now, with news since this version; `None`: with the whole list.
    pub fn new(now: Micros, times: Times, index: Option<u64>, seed: u64) -> Self {
        Watch {
            times,
            state: State::Resting { until: now, goes_on: false },
            index,
            called: now,
            wait: 0,
            failures: 0,
            unreadable: 0,
            dice: seed,
        }
    }

    /// Where it is.
    pub fn state(&self) -> State {
        self.state
    }

    /// When there is something to do if nothing comes before.
    pub fn due(&self) -> Micros {
        match self.state {
            State::Resting { until, .. }
            | State::Asking { until }
            | State::Waiting { until }
            | State::Reading { until }
            | State::Pausing { until } => until,
        }
    }

    /// What is to be done now, if anything.
    pub fn turn(&mut self, now: Micros) -> Option<Order> {
        if now < self.due() {
            return None;
        }
        match self.state {
            State::Resting { .. } => {
                self.state = State::Asking { until: now + self.times.attempt_after(self.failures) };
                Some(Order::Connect)
            }
            State::Pausing { .. } => {
                let call = self.call(now, self.times.wait);
                self.state = State::Waiting { until: now + call.wait + self.times.late };
                Some(Order::Call(call))
            }
            State::Asking { .. } | State::Waiting { .. } | State::Reading { .. } => {
                self.fail(now);
                Some(Order::GiveUp)
            }
        }
    }

    /// The connection is there: its first call.
    pub fn connected(&mut self, now: Micros) -> Call {
        self.call(now, self.times.first_wait)
    }

    /// The first byte of an answer has come: what comes byte by byte is not waited for as a call is.
    pub fn begun(&mut self, now: Micros) {
        if matches!(self.state, State::Asking { .. } | State::Waiting { .. }) {
            self.state = State::Reading { until: now + self.times.rest };
        }
    }

    /// An answer is whole.
    pub fn answered(&mut self, now: Micros, heard: Heard) {
        let news = heard.tells && self.index.is_none_or(|index| heard.rev > index);
        let early = now < self.called + self.wait / 2;
        let gap = if news || !early { self.times.gap } else { self.times.idle_gap };
        let until = now.max(self.called + gap);
        (self.failures, self.unreadable) = (0, 0);
        self.index = Some(heard.rev);
        self.state =
            if heard.closes { State::Resting { until, goes_on: true } } else { State::Pausing { until } };
    }

    /// The attempt or the call has failed.
    pub fn failed(&mut self, now: Micros, fault: Fault) {
        match fault {
            // It may not know our version, as after a loss of its own data. That it has no time says nothing of the kind.
            Fault::Status(400..=428 | 430..=499) => self.index = None,
            Fault::Unreadable => {
                self.unreadable += 1;
                if self.unreadable >= UNREADABLE {
                    (self.index, self.unreadable) = (None, 0);
                }
            }
            Fault::Broken | Fault::Status(_) => {}
        }
        self.fail(now);
    }

    /// The next call asks for the whole list.
    pub fn want_whole(&mut self) {
        self.index = None;
    }

    fn call(&mut self, now: Micros, wait: Micros) -> Call {
        // Nobody waits for the whole list.
        let wait = if self.index.is_some() { wait } else { 0 };
        (self.called, self.wait) = (now, wait);
        Call { index: self.index, wait }
    }

    fn fail(&mut self, now: Micros) {
        let (first, longest) = self.times.back_off;
        let step = first.saturating_mul(1 << self.failures.min(16)).min(longest);
        self.failures = self.failures.saturating_add(1);
        // Between half and the whole of it: brokers that lost one discovery together do not come back together.
        let rest = step - self.draw() % (step / 2 + 1);
        self.state = State::Resting { until: now + rest, goes_on: false };
    }

    /// The next draw of the seed (SplitMix64).
    fn draw(&mut self) -> u64 {
        self.dice = self.dice.wrapping_add(0x9e37_79b9_7f4a_7c15);
        let z = (self.dice ^ (self.dice >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
        let z = (z ^ (z >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
        z ^ (z >> 31)
    }
}
