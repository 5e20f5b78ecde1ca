//! How long a thread has been busy with its own work, as against waiting for others.

use crate::clock::Clock;
use plover_model::time::Micros;
use std::cell::Cell;
use std::future::poll_fn;
use std::pin::pin;

/// Adds up the time in which a future, and all tasks that it runs, were polled.
#[derive(Debug)]
pub struct BusyTime {
    clock: Clock,
    /// Of the polls that are over.
    past: Cell<Micros>,
    /// When the poll began that goes on.
    since: Cell<Option<Micros>>,
}

impl BusyTime {
    /// None yet.
    pub fn new(clock: Clock) -> Self {
        BusyTime { clock, past: Cell::new(0), since: Cell::new(None) }
    }

    /// All of it until now, in whole microseconds; 0 for as long as nothing is measured.
    pub fn total(&self) -> Micros {
        let current = self.since.get().map_or(0, |since| self.clock.now().saturating_sub(since));
        self.past.get() + current
    }

    /// Runs a future and counts its time.
    pub async fn measure<T>(&self, work: impl Future<Output = T>) -> T {
        let mut work = pin!(work);
        poll_fn(|cx| {
            self.since.set(Some(self.clock.now()));
            let polled = work.as_mut().poll(cx);
            self.past.set(self.total());
            self.since.set(None);
            polled
        })
        .await
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use async_io::{Timer, block_on};
    use std::time::{Duration, Instant};

    const WAIT: Duration = Duration::from_millis(300);

    #[test]
    fn work_counts_and_waiting_does_not() {
        let busy = BusyTime::new(Clock::start());
        block_on(busy.measure(Timer::after(WAIT)));
        let waited = busy.total();
        block_on(busy.measure(async {
            let begun = Instant::now();
            while begun.elapsed() < WAIT {}
            assert!(busy.total() >= waited + WAIT.as_micros() as Micros, "what goes on counts");
        }));
        assert!(waited < WAIT.as_micros() as Micros, "{waited}");
        assert!(busy.total() >= waited + WAIT.as_micros() as Micros, "{}", busy.total());
    }
}
