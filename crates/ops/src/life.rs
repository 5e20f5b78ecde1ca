//! Where the program is in its life.
//!
//! ```text
//!             evacuate                doors' time over
//!  Serving ─────────────► Closing ─────────────────────► Empty
//!     ▲                      │                             │
//!     └──────── rejoin ──────┴──────────── rejoin ─────────┘
//!
//!  any of them ── SIGTERM ──► Leaving ── idle ones' time over ──► Parting ── doors' time over ──► Gone
//! ```
//!
//! In `Closing` and `Leaving` whatever still comes is served, on new connections too: fronts notice late. After that the
//! connections that are idle are closed; those with a request end with its answer. In `Parting` new ones are taken still: a
//! request that crosses the closing of an idle connection comes again on a new one.

use plover_model::time::Micros;

/// After the word to go, connections are taken and kept for this long as if nothing were: fronts ask every 100 ms, and
/// send new connections for up to 400 ms more.
pub const DOORS: Micros = 600_000;

/// After the word to end, idle connections are kept for this long of that time.
pub const IDLE: Micros = 450_000;

/// What the fronts go by.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Stage {
    /// It serves, and connections stay open.
    Serving,
    /// It is no longer ready, but serves what still comes; each answer ends its connection.
    Leaving,
    /// The same, and no connection is kept idle.
    Empty,
    /// It takes no new connections, and closes each once it is idle.
    Closing,
}

/// Where the program is.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Life {
    /// It serves.
    Serving,
    /// It is being emptied, since then.
    Closing(Micros),
    /// It has been emptied: it waits for `rejoin`.
    Empty,
    /// It is to end, since then.
    Leaving(Micros),
    /// The same, and no idle connection is kept any more.
    Parting(Micros),
    /// It takes nothing new, and ends once all is answered.
    Gone,
}

/// What a transition asks of the fronts.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Effect {
    /// Go by this stage.
    Go(Stage),
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
        matches!(self, Life::Leaving(_) | Life::Parting(_) | Life::Gone)
    }

    /// What it is called, to an operator.
    pub fn name(self) -> &'static str {
        match self {
            Life::Serving => "serving",
            Life::Closing(_) => "closing",
            Life::Empty => "empty",
            Life::Leaving(_) | Life::Parting(_) | Life::Gone => "leaving",
        }
    }

    /// `evacuate`. A second one changes nothing, and does not begin the doors' time anew.
    pub fn evacuate(&mut self, now: Micros) -> Result<Effect, Refused> {
        match self {
            Life::Serving => {
                *self = Life::Closing(now);
                Ok(Effect::Go(Stage::Leaving))
            }
            Life::Closing(_) | Life::Empty => Ok(Effect::None),
            Life::Leaving(_) | Life::Parting(_) | Life::Gone => Err(Refused),
        }
    }

    /// `rejoin`, from wherever the emptying has come to.
    pub fn rejoin(&mut self) -> Result<Effect, Refused> {
        match self {
            Life::Serving => Ok(Effect::None),
            Life::Closing(_) | Life::Empty => {
                *self = Life::Serving;
                Ok(Effect::Go(Stage::Serving))
            }
            Life::Leaving(_) | Life::Parting(_) | Life::Gone => Err(Refused),
        }
    }

    /// SIGTERM. One that is empty goes on keeping no idle connection.
    pub fn terminate(&mut self, now: Micros) -> Effect {
        let before = *self;
        if before.is_ending() {
            return Effect::None;
        }
        match before {
            Life::Empty => {
                *self = Life::Parting(now);
                Effect::Go(Stage::Empty)
            }
            _ => {
                *self = Life::Leaving(now);
                Effect::Go(Stage::Leaving)
            }
        }
    }

    /// Moves on with time.
    pub fn tick(&mut self, now: Micros) -> Effect {
        if self.due().is_none_or(|due| now < due) {
            return Effect::None;
        }
        match self {
            Life::Closing(_) => {
                *self = Life::Empty;
                Effect::Go(Stage::Empty)
            }
            Life::Leaving(since) if now < *since + DOORS => {
                *self = Life::Parting(*since);
                Effect::Go(Stage::Empty)
            }
            _ => {
                *self = Life::Gone;
                Effect::Go(Stage::Closing)
            }
        }
    }

    /// When [`Life::tick`] is due, if ever.
    pub fn due(self) -> Option<Micros> {
        match self {
            Life::Leaving(since) => Some(since + IDLE),
            Life::Closing(since) | Life::Parting(since) => Some(since + DOORS),
            Life::Serving | Life::Empty | Life::Gone => None,
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
        assert_eq!(life.evacuate(5), Ok(Effect::Go(Stage::Leaving)));
        assert_eq!(life.evacuate(400_000), Ok(Effect::None));
        assert_eq!((life.tick(DOORS + 4), life.tick(DOORS + 5)), (Effect::None, Effect::Go(Stage::Empty)));
        assert_eq!((life.evacuate(DOORS + 6), life), (Ok(Effect::None), Life::Empty));
        assert!(!life.is_ready() && !life.is_ending() && life.due().is_none());
    }

    #[test]
    fn rejoin_brings_it_back_from_the_middle_of_closing_and_from_empty() {
        for wait in [DOORS / 2, DOORS] {
            let mut life = Life::Serving;
            let _ = life.evacuate(0);
            life.tick(wait);
            assert_eq!(life.rejoin(), Ok(Effect::Go(Stage::Serving)));
            assert!(life.is_ready());
            // The time of the first emptying must not run on into this.
            assert_eq!((life.tick(2 * DOORS), life.rejoin()), (Effect::None, Ok(Effect::None)));
        }
    }

    #[test]
    fn nothing_brings_it_back_once_it_is_to_end() {
        let mut life = Life::Empty;
        assert_eq!(life.terminate(7), Effect::Go(Stage::Empty));
        assert_eq!(
            (life.rejoin(), life.evacuate(8), life.terminate(9)),
            (Err(Refused), Err(Refused), Effect::None)
        );
        assert_eq!(life.due(), Some(7 + DOORS), "a second SIGTERM begins nothing anew");
        assert_eq!(life.tick(7 + DOORS), Effect::Go(Stage::Closing));
        assert_eq!((life, life.rejoin()), (Life::Gone, Err(Refused)));
    }

    /// A request that crosses the closing of an idle connection finds the doors open.
    #[test]
    fn idle_connections_go_before_the_doors_close() {
        let mut life = Life::Serving;
        life.terminate(0);
        assert_eq!((life.due(), life.tick(IDLE - 1)), (Some(IDLE), Effect::None));
        assert_eq!((life.tick(IDLE), life.due()), (Effect::Go(Stage::Empty), Some(DOORS)));
        assert!(life.is_ending() && life.terminate(IDLE) == Effect::None);
        assert_eq!(life.tick(DOORS), Effect::Go(Stage::Closing));
    }

    proptest! {
        /// Whatever comes in whatever order: it is ready in one state alone, an end is final, and the doors close in
        /// their time after the word that began it.
        #[test]
        fn every_order_of_calls(moves in prop::collection::vec((0u8..4, 0..DOORS), 1..60)) {
            let (mut life, mut now, mut ended) = (Life::Serving, 0, false);
            for (what, wait) in moves {
                now += wait;
                let before = life;
                match what {
                    0 => _ = life.evacuate(now),
                    1 => _ = life.rejoin(),
                    2 => { life.terminate(now); ended = true; }
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
