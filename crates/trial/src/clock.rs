//! The one clock of a trial, and how long the machine kept it waiting.

use crate::record::{Event, Seen};
use plover_model::time::{MILLI, Micros};
use std::sync::mpsc::{RecvTimeoutError, Sender, channel};
use std::thread::JoinHandle;
use std::time::{Duration, Instant};

/// Zero of a trial's times. What came before counts as zero.
#[derive(Clone, Copy, Debug)]
pub struct Clock(Instant);

impl Clock {
    /// A clock that begins now.
    pub fn start() -> Self {
        Clock(Instant::now())
    }

    /// Now.
    pub fn now(self) -> Micros {
        self.at(Instant::now())
    }

    /// A moment.
    pub fn at(self, moment: Instant) -> Micros {
        moment.saturating_duration_since(self.0).as_micros() as Micros
    }

    /// The moment that it is this time.
    pub fn moment(self, at: Micros) -> Instant {
        self.0 + Duration::from_micros(at)
    }
}

/// How often the heart beats.
const BEAT: Duration = Duration::from_millis(2);
/// Shorter stalls are not worth an event.
const WORTH: Micros = 5 * MILLI;

/// A thread that asks to be woken every few milliseconds and counts what it is late by. It runs at the same rank as the
/// brokers, on the same cores.
pub(crate) struct Heart {
    stop: Sender<()>,
    thread: JoinHandle<Vec<Event>>,
}

impl Heart {
    pub(crate) fn start(clock: Clock) -> std::io::Result<Self> {
        let (stop, stopped) = channel();
        let beat = move || {
            let mut events = Vec::new();
            let mut longest = WORTH;
            loop {
                let asked = Instant::now();
                if stopped.recv_timeout(BEAT) != Err(RecvTimeoutError::Timeout) {
                    return events;
                }
                let late = asked.elapsed().saturating_sub(BEAT).as_micros() as Micros;
                // Only what is longer than all before: a bound on what is kept, and all that the rules want.
                if late > longest {
                    longest = late;
                    events.push(Event { at: clock.now(), seen: Seen::Stalled(late) });
                }
            }
        };
        let thread = std::thread::Builder::new().name("heart".to_owned()).spawn(beat)?;
        Ok(Heart { stop, thread })
    }

    /// The stalls, each longer than those before.
    pub(crate) fn stop(self) -> Vec<Event> {
        drop(self.stop);
        self.thread.join().unwrap_or_default()
    }
}
