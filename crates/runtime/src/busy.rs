//! Measures the time that a thread spends on work, as opposed to waiting for I/O or timers.

use crate::clock::Clock;
use plover_model::time::Micros;
use std::cell::Cell;
use std::future::poll_fn;
use std::pin::pin;

/// Adds up the time in which a future, and all tasks that it runs, were polled.
#[derive(Debug)]
pub struct BusyTime {
    clock: Clock,
    /// Duration of all finished polls.
    finished: Cell<Micros>,
    /// Start of the current poll; `None` between two polls.
    poll_start: Cell<Option<Micros>>,
}

impl BusyTime {
    /// Creates a measurement with a total of 0.
    pub fn new(clock: Clock) -> Self {
        BusyTime { clock, finished: Cell::new(0), poll_start: Cell::new(None) }
    }

    /// Returns the busy time until now, including the current poll, in microseconds; 0 if nothing was
    /// measured yet.
    pub fn total(&self) -> Micros {
        let current = self.poll_start.get().map_or(0, |start| self.clock.now().saturating_sub(start));
        self.finished.get() + current
    }

    /// Runs a future and adds the time of its polls to the total.
    pub async fn measure<T>(&self, work: impl Future<Output = T>) -> T {
        let mut work = pin!(work);
        poll_fn(|cx| {
            self.poll_start.set(Some(self.clock.now()));
            let polled = work.as_mut().poll(cx);
            self.finished.set(self.total());
            self.poll_start.set(None);
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
            let start = Instant::now();
            while start.elapsed() < WAIT {}
            assert!(busy.total() >= waited + WAIT.as_micros() as Micros, "the current poll must count");
        }));
        assert!(waited < WAIT.as_micros() as Micros, "{waited}");
        assert!(busy.total() >= waited + WAIT.as_micros() as Micros, "{}", busy.total());
    }
}
