//! The state machine of the process.
//!
//! ```text
//!             evacuate                   DRAIN_TIME over
//!  Serving ─────────────► Evacuating ─────────────────────► Evacuated
//!     ▲                       │                                 │
//!     └──────── rejoin ───────┴───────────── rejoin ────────────┘
//!
//!  SIGTERM ──► GracePeriod ── time over ──► Draining ── IDLE_TIME over ──► ClosingIdle ── DRAIN_TIME over ──► Closed
//! ```
//!
//! SIGTERM is possible in the first three states. From `Evacuating` it leads to `Draining`, and from
//! `Evacuated` to `ClosingIdle`.
//!
//! `GracePeriod` is for brokers whose clients may have no other broker, for example while another one
//! restarts. The process is no longer ready, so load balancers send no new clients, but existing connections
//! stay open and are served for as long as their requests can still be answered before the platform kills the
//! process ([`ShutdownTimes`]). The grace period is skipped if the process was evacuated before, or if a
//! newer process accepts at the same socket.
//!
//! In `Evacuating` and `Draining` all requests are still served, also on new connections, because load
//! balancers notice late that the process is not ready. After that, idle connections are closed, and a
//! connection with a request is closed after the answer. In `ClosingIdle` new connections are still accepted:
//! a client whose request crossed the closing of an idle connection sends it again on a new one.

use plover_model::time::Micros;

/// Time in microseconds for which new connections are still accepted after the drain has begun. Load
/// balancers check readiness every 100 ms, and send new connections for up to 400 ms more.
pub const DRAIN_TIME: Micros = 600_000;

/// Time in microseconds for which idle connections are kept open after a drain that ends the process has
/// begun; part of [`DRAIN_TIME`].
pub const IDLE_TIME: Micros = 450_000;

/// Time in microseconds from SIGTERM until the platform kills the process: the longest timeout of its
/// clients, limited to the first value, plus the second value.
const KILL_TIMEOUT: (Micros, Micros) = (3_000_000, 700_000);
/// Time in microseconds between the last answer and the moment at which the platform may kill the process.
const ANSWER_MARGIN: Micros = 250_000;
/// Time in microseconds for the answer to a request that arrives as the listeners close; many times the usual
/// time of an answer.
const LAST_REQUEST_TIME: Micros = 350_000;

/// Times of a shutdown, in microseconds from SIGTERM.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ShutdownTimes {
    /// Time for which existing connections are kept open before the drain begins.
    pub grace_period: Micros,
    /// Time by which all received requests are answered.
    pub answer_by: Micros,
    /// Time from which the platform may kill the process.
    pub kill_at: Micros,
}

impl ShutdownTimes {
    /// Returns the times for clients that wait for an answer for at most `max_client_timeout`.
    pub fn for_client_timeout(max_client_timeout: Micros) -> ShutdownTimes {
        let kill_at = max_client_timeout.min(KILL_TIMEOUT.0) + KILL_TIMEOUT.1;
        let answer_by = kill_at.saturating_sub(ANSWER_MARGIN);
        ShutdownTimes {
            grace_period: answer_by.saturating_sub(DRAIN_TIME + LAST_REQUEST_TIME),
            answer_by,
            kill_at,
        }
    }
}

/// How the fronts treat client connections. The order of the variants is that of a shutdown.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Stage {
    /// Requests are served, and connections stay open.
    Serving,
    /// The process is not ready, but requests are served and connections stay open.
    GracePeriod,
    /// The process is not ready. Requests are served, and each connection is closed after its answer.
    Draining,
    /// As [`Stage::Draining`], and idle connections are closed.
    CloseIdle,
    /// No new connections are accepted, and each connection is closed once it is idle.
    Closing,
}

/// State of the process.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Life {
    /// The process serves clients.
    Serving,
    /// `evacuate` was called at this time; the client connections are being drained.
    Evacuating(Micros),
    /// The connections were drained after `evacuate`; the process waits for `rejoin`.
    Evacuated,
    /// The process was terminated; connections stay open until this time.
    GracePeriod(Micros),
    /// The process was terminated, and the connections are being drained since this time.
    Draining(Micros),
    /// As [`Life::Draining`], begun at this time, and idle connections are closed.
    ClosingIdle(Micros),
    /// The process accepts no new connections, and exits once all requests are answered.
    Closed,
}

/// What the fronts have to do after a change of [`Life`].
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Effect {
    /// Enter this stage.
    Enter(Stage),
    /// Nothing, because the stage has not changed.
    None,
}

/// Error of a call that came after the process was terminated.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Refused;

impl Life {
    /// Returns whether the process is ready for clients.
    pub fn is_ready(self) -> bool {
        self == Life::Serving
    }

    /// Returns whether the process was terminated.
    pub fn is_ending(self) -> bool {
        matches!(self, Life::GracePeriod(_) | Life::Draining(_) | Life::ClosingIdle(_) | Life::Closed)
    }

    /// Returns the name of the state that operators see.
    pub fn name(self) -> &'static str {
        match self {
            Life::Serving => "serving",
            Life::Evacuating(_) => "closing",
            Life::Evacuated => "empty",
            Life::GracePeriod(_) | Life::Draining(_) | Life::ClosingIdle(_) | Life::Closed => "leaving",
        }
    }

    /// Handles `evacuate`. A second call changes nothing and does not restart the drain time.
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

    /// Handles `rejoin`, during and after an evacuation.
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

    /// Handles SIGTERM; `grace_period` is the time for which a serving process keeps its connections open. A
    /// process that is evacuating or evacuated skips the grace period.
    pub fn terminate(&mut self, now: Micros, grace_period: Micros) -> Effect {
        let before = *self;
        if before.is_ending() {
            return Effect::None;
        }
        match before {
            Life::Evacuated => {
                *self = Life::ClosingIdle(now);
                Effect::Enter(Stage::CloseIdle)
            }
            Life::Serving if grace_period > 0 => {
                *self = Life::GracePeriod(now + grace_period);
                Effect::Enter(Stage::GracePeriod)
            }
            _ => {
                *self = Life::Draining(now);
                Effect::Enter(Stage::Draining)
            }
        }
    }

    /// Ends the grace period, because a newer process now accepts the clients.
    pub fn superseded(&mut self, now: Micros) {
        if let Life::GracePeriod(until) = self {
            *until = now.min(*until);
        }
    }

    /// Makes the transitions that are due by now, if any, and returns the effect of the last one.
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

    /// Returns the time at which [`Life::tick`] makes the next transition; `None` if no transition depends on
    /// time.
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
    fn a_second_evacuate_does_not_restart_the_drain_time() {
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
    fn rejoin_serves_again_during_and_after_an_evacuation() {
        for wait in [DRAIN_TIME / 2, DRAIN_TIME] {
            let mut life = Life::Serving;
            let _ = life.evacuate(0);
            life.tick(wait);
            assert_eq!(life.rejoin(), Ok(Effect::Enter(Stage::Serving)));
            assert!(life.is_ready());
            // The drain time of the evacuation must not end the service after `rejoin`.
            assert_eq!((life.tick(2 * DRAIN_TIME), life.rejoin()), (Effect::None, Ok(Effect::None)));
        }
    }

    #[test]
    fn a_terminated_process_refuses_calls() {
        let mut life = Life::Evacuated;
        assert_eq!(life.terminate(7, 0), Effect::Enter(Stage::CloseIdle));
        assert_eq!(
            (life.rejoin(), life.evacuate(8), life.terminate(9, 0)),
            (Err(Refused), Err(Refused), Effect::None)
        );
        assert_eq!(life.due(), Some(7 + DRAIN_TIME), "a second SIGTERM must not restart the drain time");
        assert_eq!(life.tick(7 + DRAIN_TIME), Effect::Enter(Stage::Closing));
        assert_eq!((life, life.rejoin()), (Life::Closed, Err(Refused)));
    }

    /// Guards against a lost request: one that crosses the closing of an idle connection must still find a
    /// listener.
    #[test]
    fn idle_connections_close_before_the_listeners() {
        let mut life = Life::Serving;
        life.terminate(0, 0);
        assert_eq!((life.due(), life.tick(IDLE_TIME - 1)), (Some(IDLE_TIME), Effect::None));
        assert_eq!((life.tick(IDLE_TIME), life.due()), (Effect::Enter(Stage::CloseIdle), Some(DRAIN_TIME)));
        assert!(life.is_ending() && life.terminate(IDLE_TIME, 0) == Effect::None);
        assert_eq!(life.tick(DRAIN_TIME), Effect::Enter(Stage::Closing));
    }

    /// A request that arrives on a kept connection can be answered before the process is killed, for any
    /// client timeout.
    #[test]
    fn requests_of_the_grace_period_are_answered_before_the_kill() {
        for max_client_timeout in [0, 100_000, 900_000, 1_500_000, 4_000_000, 7_500_000] {
            let times = ShutdownTimes::for_client_timeout(max_client_timeout);
            let kill_at = max_client_timeout.min(3_000_000) + 700_000;
            assert!(times.answer_by < kill_at, "{max_client_timeout}");
            assert!(
                times.grace_period == 0 || times.grace_period + DRAIN_TIME < times.answer_by,
                "{max_client_timeout}"
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
    fn the_grace_period_ends_with_a_newer_process_and_is_skipped_after_evacuate() {
        let mut life = Life::Serving;
        life.terminate(0, 1000);
        life.superseded(400);
        assert_eq!((life.due(), life.tick(400)), (Some(400), Effect::Enter(Stage::Draining)));
        let mut evacuating = Life::Serving;
        evacuating.evacuate(0).unwrap();
        assert_eq!(evacuating.terminate(5, 1000), Effect::Enter(Stage::Draining));
    }

    proptest! {
        /// For calls in random order: the process is ready only in `Serving`, a termination is final, a call
        /// that does not change the state does not move the time of the next transition, and after a tick no
        /// transition is overdue.
        #[test]
        fn calls_in_any_order_keep_the_invariants(steps in prop::collection::vec((0u8..4, 0..DRAIN_TIME), 1..60)) {
            let (mut life, mut now, mut terminated) = (Life::Serving, 0, false);
            for (action, wait) in steps {
                now += wait;
                let before = life;
                match action {
                    0 => _ = life.evacuate(now),
                    1 => _ = life.rejoin(),
                    2 => { life.terminate(now, wait); terminated = true; }
                    _ => _ = life.tick(now),
                }
                prop_assert_eq!(life.is_ready(), life == Life::Serving);
                prop_assert_eq!(life.is_ending(), terminated);
                if before == life {
                    prop_assert_eq!(before.due(), life.due());
                }
                if action == 3 {
                    prop_assert!(life.due().is_none_or(|due| due > now));
                }
            }
        }
    }
}
