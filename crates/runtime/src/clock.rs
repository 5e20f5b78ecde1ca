//! The program's clock: whole microseconds on the monotonic clock, counted from a while before the start of the program.

use async_io::Timer;
use futures_lite::FutureExt;
use plover_model::time::{MILLI, Micros};
use std::io;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

/// What a process before this one did has a moment on this clock, back to so long before the start.
const ORIGIN_LEAD: Micros = 60_000_000;

/// The program's clock. Copies tell the same time.
#[derive(Clone, Copy, Debug)]
pub struct Clock {
    origin: Instant,
    /// The origin on the monotonic clock that all processes of the machine share.
    shared_origin: Micros,
    /// Unix time at the origin, in milliseconds.
    unix_origin: i64,
}

impl Clock {
    /// A clock for a program that starts now; its zero is a minute ago.
    pub fn start() -> Self {
        let unix = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
        let shared = rustix::time::clock_gettime(rustix::time::ClockId::Monotonic);
        let shared_now = shared.tv_sec as Micros * 1_000_000 + shared.tv_nsec as Micros / 1000;
        let lead = ORIGIN_LEAD.min(shared_now);
        let origin = Instant::now().checked_sub(duration(lead));
        let (origin, lead) = origin.map_or((Instant::now(), 0), |origin| (origin, lead));
        Clock {
            origin,
            shared_origin: shared_now - lead,
            unix_origin: unix.as_millis() as i64 - (lead / MILLI) as i64,
        }
    }
    /// A clock that stands at zero for a day: tests tell the time themselves.
    pub fn stopped() -> Self {
        let clock = Clock::start();
        Clock { origin: Instant::now() + Duration::from_secs(86_400), ..clock }
    }
    /// The time now.
    pub fn now(&self) -> Micros {
        self.origin.elapsed().as_micros() as Micros
    }
    /// A moment as all processes of the machine count it.
    pub fn machine_time(&self, at: Micros) -> Micros {
        self.shared_origin.saturating_add(at)
    }
    /// A moment that another process of the machine named; 0 if it was before our origin.
    pub fn local_time(&self, at: Micros) -> Micros {
        at.saturating_sub(self.shared_origin)
    }
    /// The instant of a moment, for timers.
    pub fn instant(&self, at: Micros) -> Instant {
        self.origin + Duration::from_micros(at)
    }
    /// A Unix time in milliseconds on this clock: negative if before the start.
    pub fn at_unix_ms(&self, unix_ms: i64) -> i64 {
        unix_ms.saturating_sub(self.unix_origin).saturating_mul(MILLI as i64)
    }
}

/// A span as the system's timers count it.
pub fn duration(time: Micros) -> Duration {
    Duration::from_micros(time)
}

/// Ends a wait with an error once its time is over.
pub async fn with_timeout<T>(time: Duration, work: impl Future<Output = io::Result<T>>) -> io::Result<T> {
    let late = async {
        Timer::after(time).await;
        Err(io::ErrorKind::TimedOut.into())
    };
    work.or(late).await
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn unix_times_map_to_the_origin() {
        let clock = Clock { unix_origin: 1_000_000, ..Clock::start() };
        assert_eq!(clock.at_unix_ms(1_000_250), 250_000);
        assert_eq!(clock.at_unix_ms(999_000), -1_000_000);
        assert_eq!(clock.at_unix_ms(i64::MIN), i64::MIN);
    }
}
