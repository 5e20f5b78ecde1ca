//! Where the program is in its life.
//!
//! ```text
//!             evacuate                doors' time over
//!  Serving ─────────────► Closing ─────────────────────► Empty
//!     ▲                      │                             │
//!     └──────── rejoin ──────┴──────────── rejoin ─────────┘
//!
//!  any of them ── SIGTERM ──► Staying ── its time over ──► Leaving ── idle ones' time over ──► Parting ── doors' ──► Gone
//! ```
//!
//! `Staying` is for brokers whose clients may have nowhere else to go, as while another one restarts: fronts send nobody
//! new, but connections that are there stay open and are served, for as long as what comes on them can still be answered
//! before the platform ends the process ([`ShutdownTimes`]). Emptied before, or with a newer process beside, it is left out.
//!
//! In `Closing` and `Leaving` whatever still comes is served, on new connections too: fronts notice late. After that the
//! connections that are idle are closed; those with a request end with its answer. In `Parting` new ones are taken still: a
//! request that crosses the closing of an idle connection comes again on a new one.

use plover_model::time::Micros;

/// After the word to go, connections are taken and kept for this long as if nothing were: fronts ask every 100 ms, and
/// send new connections for up to 400 ms more.
pub const DRAIN_TIME: Micros = 600_000;

/// After the word to end, idle connections are kept for this long of that time.
pub const IDLE_TIME: Micros = 450_000;

/// After SIGTERM the platform leaves a process the longest deadline of its clients, or this where that is longer, and as
/// much again as the second.
const PATIENCE: (Micros, Micros) = (3_000_000, 700_000);
/// The last answer is out so long before the process may be ended.
const LAST: Micros = 250_000;
/// A request that comes as the doors close has so long for its answer: many times what one takes.
const LAST_REQUEST: Micros = 350_000;

/// How a process ends, in spans from SIGTERM on.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ShutdownTimes {
    /// Connections are kept for so long.
    pub grace_period: Micros,
    /// What has come is answered by then.
    pub answer_by: Micros,
    /// The platform may end the process from then on.
    pub kill_at: Micros,
}

impl ShutdownTimes {
    /// For clients that wait so long at the most.
    pub fn for_client_timeout(longest: Micros) -> ShutdownTimes {
        let killed = longest.min(PATIENCE.0) + PATIENCE.1;
        let answer = killed.saturating_sub(LAST);
        ShutdownTimes {
            grace_period: answer.saturating_sub(DRAIN_TIME + LAST_REQUEST),
            answer_by: answer,
            kill_at: killed,
        }
    }
}

/// What the fronts go by.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Stage {
    /// It serves, and connections stay open.
    Serving,
    /// It is no longer ready, but serves what still comes, and connections stay open.
    GracePeriod,
    /// It is no longer ready, but serves what still comes; each answer ends its connection.
    Draining,
    /// The same, and no connection is kept idle.
    CloseIdle,
    /// It takes no new connections, and closes each once it is idle.
    Closing,
}

/// Where the program is.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Life {
    /// It serves.
    Serving,
    /// It is being emptied, since then.
    Evacuating(Micros),
    /// It has been emptied: it waits for `rejoin`.
    Evacuated,
    /// It is to end; connections stay until then.
    GracePeriod(Micros),
    /// It is to end, since then.
    Draining(Micros),
    /// The same, and no idle connection is kept any more.
    ClosingIdle(Micros),
    /// It takes nothing new, and ends once all is answered.
    Closed,
}

/// What a transition asks of the fronts.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Effect {
    /// Go by this stage.
    Enter(Stage),
    /// Nothing: it is so already.
    None,
}

/// A call that cannot be heeded any more.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Refused;

impl Life {
    /// Whether it takes clients.
    pub fn is_ready(self) -> bool {
        self == Life::Serving
    }

    /// Whether it is to end.
    pub fn is_ending(self) -> bool {
        matches!(self, Life::GracePeriod(_) | Life::Draining(_) | Life::ClosingIdle(_) | Life::Closed)
    }

    /// What it is called, to an operator.
    pub fn name(self) -> &'static str {
        match self {
            Life::Serving => "serving",
            Life::Evacuating(_) => "closing",
            Life::Evacuated => "empty",
            Life::GracePeriod(_) | Life::Draining(_) | Life::ClosingIdle(_) | Life::Closed => "leaving",
        }
    }

    /// `evacuate`. A second one changes nothing, and does not begin the doors' time anew.
    pub fn evacuate(&mut self, now: Micros) -> Result<Effect, Refused> {
        match self {
            Life::Serving => {
                *self = Life::Evacuating(now);
                Ok(Effect::Enter(Stage::Draining))
            }
            Life::Evacuating(_) | Life::Evacuated => Ok(Effect::None),
            Life::GracePeriod(_) | Life::Draining(_) | Life::ClosingIdle(_) | Life::Closed => Err(Refused),
        }
    }

    /// `rejoin`, from wherever the emptying has come to.
    pub fn rejoin(&mut self) -> Result<Effect, Refused> {
        match self {
            Life::Serving => Ok(Effect::None),
            Life::Evacuating(_) | Life::Evacuated => {
                *self = Life::Serving;
                Ok(Effect::Enter(Stage::Serving))
            }
            Life::GracePeriod(_) | Life::Draining(_) | Life::ClosingIdle(_) | Life::Closed => Err(Refused),
        }
    }

    /// SIGTERM, with so long to stay. One that is empty, or being emptied, goes on with that.
    pub fn terminate(&mut self, now: Micros, stay: Micros) -> Effect {
        let before = *self;
        if before.is_ending() {
            return Effect::None;
        }
        match before {
            Life::Evacuated => {
                *self = Life::ClosingIdle(now);
                Effect::Enter(Stage::CloseIdle)
            }
            Life::Serving if stay > 0 => {
                *self = Life::GracePeriod(now + stay);
                Effect::Enter(Stage::GracePeriod)
            }
            _ => {
                *self = Life::Draining(now);
                Effect::Enter(Stage::Draining)
            }
        }
    }

    /// A newer process takes the clients: this one need not stay for them.
    pub fn superseded(&mut self, now: Micros) {
        if let Life::GracePeriod(until) = self {
            *until = now.min(*until);
        }
    }

    /// Moves on with time.
    pub fn tick(&mut self, now: Micros) -> Effect {
        if self.due().is_none_or(|due| now < due) {
            return Effect::None;
        }
        match self {
            Life::Evacuating(_) => {
                *self = Life::Evacuated;
                Effect::Enter(Stage::CloseIdle)
            }
            Life::GracePeriod(until) => {
                *self = Life::Draining(*until);
                match self.tick(now) {
                    Effect::None => Effect::Enter(Stage::Draining),
                    later => later,
                }
            }
            Life::Draining(since) if now < *since + DRAIN_TIME => {
                *self = Life::ClosingIdle(*since);
                Effect::Enter(Stage::CloseIdle)
            }
            _ => {
                *self = Life::Closed;
                Effect::Enter(Stage::Closing)
            }
        }
    }

    /// When [`Life::tick`] is due, if ever.
    pub fn due(self) -> Option<Micros> {
        match self {
            Life::GracePeriod(until) => Some(until),
            Life::Draining(since) => Some(since + IDLE_TIME),
            Life::Evacuating(since) | Life::ClosingIdle(since) => Some(since + DRAIN_TIME),
            Life::Serving | Life::Evacuated | Life::Closed => None,
        }
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use proptest::prelude::*;

    #[test]
    fn evacuate_twice_is_evacuate_once() {
        let mut life = Life::Serving;
        assert_eq!(life.evacuate(5), Ok(Effect::Enter(Stage::Draining)));
        assert_eq!(life.evacuate(400_000), Ok(Effect::None));
        assert_eq!(
            (life.tick(DRAIN_TIME + 4), life.tick(DRAIN_TIME + 5)),
            (Effect::None, Effect::Enter(Stage::CloseIdle))
        );
        assert_eq!((life.evacuate(DRAIN_TIME + 6), life), (Ok(Effect::None), Life::Evacuated));
        assert!(!life.is_ready() && !life.is_ending() && life.due().is_none());
    }

    #[test]
    fn rejoin_brings_it_back_from_the_middle_of_closing_and_from_empty() {
        for wait in [DRAIN_TIME / 2, DRAIN_TIME] {
            let mut life = Life::Serving;
            let _ = life.evacuate(0);
            life.tick(wait);
            assert_eq!(life.rejoin(), Ok(Effect::Enter(Stage::Serving)));
            assert!(life.is_ready());
            // The time of the first emptying must not run on into this.
            assert_eq!((life.tick(2 * DRAIN_TIME), life.rejoin()), (Effect::None, Ok(Effect::None)));
        }
    }

    #[test]
    fn nothing_brings_it_back_once_it_is_to_end() {
        let mut life = Life::Evacuated;
        assert_eq!(life.terminate(7, 0), Effect::Enter(Stage::CloseIdle));
        assert_eq!(
            (life.rejoin(), life.evacuate(8), life.terminate(9, 0)),
            (Err(Refused), Err(Refused), Effect::None)
        );
        assert_eq!(life.due(), Some(7 + DRAIN_TIME), "a second SIGTERM begins nothing anew");
        assert_eq!(life.tick(7 + DRAIN_TIME), Effect::Enter(Stage::Closing));
        assert_eq!((life, life.rejoin()), (Life::Closed, Err(Refused)));
    }

    /// A request that crosses the closing of an idle connection finds the doors open.
    #[test]
    fn idle_connections_go_before_the_doors_close() {
        let mut life = Life::Serving;
        life.terminate(0, 0);
        assert_eq!((life.due(), life.tick(IDLE_TIME - 1)), (Some(IDLE_TIME), Effect::None));
        assert_eq!((life.tick(IDLE_TIME), life.due()), (Effect::Enter(Stage::CloseIdle), Some(DRAIN_TIME)));
        assert!(life.is_ending() && life.terminate(IDLE_TIME, 0) == Effect::None);
        assert_eq!(life.tick(DRAIN_TIME), Effect::Enter(Stage::Closing));
    }

    /// What comes on a connection that stays has its time before the process is ended, however long clients wait.
    #[test]
    fn whoever_stays_can_still_be_answered() {
        for longest in [0, 100_000, 900_000, 1_500_000, 4_000_000, 7_500_000] {
            let ending = ShutdownTimes::for_client_timeout(longest);
            let killed = longest.min(3_000_000) + 700_000;
            assert!(ending.answer_by < killed, "{longest}");
            assert!(
                ending.grace_period == 0 || ending.grace_period + DRAIN_TIME < ending.answer_by,
                "{longest}"
            );
        }
        assert_eq!(
            ShutdownTimes::for_client_timeout(7_500_000),
            ShutdownTimes { grace_period: 2_500_000, answer_by: 3_450_000, kill_at: 3_700_000 }
        );
        let mut life = Life::Serving;
        assert_eq!(life.terminate(5, 100), Effect::Enter(Stage::GracePeriod));
        assert!(!life.is_ready() && life.is_ending() && life.due() == Some(105));
        assert_eq!((life.tick(104), life.tick(105)), (Effect::None, Effect::Enter(Stage::Draining)));
        assert_eq!(life.due(), Some(105 + IDLE_TIME));
    }

    #[test]
    fn nobody_stays_beside_a_newer_process_or_where_it_was_being_emptied() {
        let mut life = Life::Serving;
        life.terminate(0, 1000);
        life.superseded(400);
        assert_eq!((life.due(), life.tick(400)), (Some(400), Effect::Enter(Stage::Draining)));
        let mut emptied = Life::Serving;
        emptied.evacuate(0).unwrap();
        assert_eq!(emptied.terminate(5, 1000), Effect::Enter(Stage::Draining));
    }

    proptest! {
        /// Whatever comes in whatever order: it is ready in one state alone, an end is final, and the doors close in
        /// their time after the word that began it.
        #[test]
        fn every_order_of_calls(moves in prop::collection::vec((0u8..4, 0..DRAIN_TIME), 1..60)) {
            let (mut life, mut now, mut ended) = (Life::Serving, 0, false);
            for (what, wait) in moves {
                now += wait;
                let before = life;
                match what {
                    0 => _ = life.evacuate(now),
                    1 => _ = life.rejoin(),
                    2 => { life.terminate(now, wait); ended = true; }
                    _ => _ = life.tick(now),
                }
                prop_assert_eq!(life.is_ready(), life == Life::Serving);
                prop_assert_eq!(life.is_ending(), ended);
                if before == life {
                    prop_assert_eq!(before.due(), life.due());
                }
                if what == 3 {
                    prop_assert!(life.due().is_none_or(|due| due > now));
                }
            }
        }
    }
}
