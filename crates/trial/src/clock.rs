//! The one clock of a trial, and how long the machine kept it waiting.

use crate::record::{Event, Seen};
use plover_model::time::{MILLI, Micros};
use std::collections::{BTreeMap, VecDeque};
use std::path::PathBuf;
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

/// What threads waited for a core is summed over this time: a query passes several of them, some more than once.
const WINDOW: Micros = 200 * MILLI;

/// How long threads that were ready to run waited for a core, by the system's own books (`schedstat`; where the system
/// keeps none, nothing is counted and the heart alone speaks).
#[derive(Default)]
pub(crate) struct Waits {
    threads: BTreeMap<PathBuf, Waited>,
    longest: Micros,
}

#[derive(Default)]
struct Waited {
    /// Nanoseconds so far.
    total: u64,
    /// Waits within the window, in nanoseconds, and when they were read.
    recent: VecDeque<(Micros, u64)>,
}

impl Waits {
    /// Looks at the brokers of these process numbers and at this process: the longest that one of the threads has waited
    /// within the window, if it is longer than all before.
    pub(crate) fn look(&mut self, now: Micros, brokers: &[u32]) -> Option<Event> {
        let own = std::fs::read_dir("/proc/self/task").into_iter().flatten().flatten();
        let mut paths: Vec<PathBuf> = own.map(|thread| thread.path()).collect();
        paths.extend(brokers.iter().map(|pid| PathBuf::from(format!("/proc/{pid}"))));
        self.threads.retain(|path, _| paths.contains(path));
        let waited = paths.into_iter().map(|path| self.waited(now, path)).max().unwrap_or(0) / 1000;
        if waited <= self.longest.max(WORTH) {
            return None;
        }
        self.longest = waited;
        Some(Event { at: now, seen: Seen::Stalled(waited) })
    }

    /// What one thread waited within the window, in nanoseconds.
    fn waited(&mut self, now: Micros, path: PathBuf) -> u64 {
        let text = std::fs::read_to_string(path.join("schedstat")).unwrap_or_default();
        // Time on a core, time ready without one, turns on one.
        let total: u64 = text.split(' ').nth(1).and_then(|w| w.parse().ok()).unwrap_or(0);
        let first = !self.threads.contains_key(&path);
        let thread = self.threads.entry(path).or_default();
        if !first {
            thread.recent.push_back((now, total.saturating_sub(thread.total)));
        }
        thread.total = total;
        while thread.recent.front().is_some_and(|(at, _)| at + WINDOW < now) {
            thread.recent.pop_front();
        }
        thread.recent.iter().map(|(_, waited)| waited).sum()
    }
}
