//! The clock of the process: microseconds on the monotonic clock, counted from a minute before the start of
//! the process, and timers.

use async_io::Timer;
use futures_lite::FutureExt;
use plover_model::time::{MILLI, Micros};
use std::io;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

/// Time in microseconds from the origin of the clock to the start of the process. Events of a predecessor
/// process in this time can be expressed on the clock.
const ORIGIN_LEAD: Micros = 60_000_000;

/// The clock of the process. All copies of a clock return the same time.
#[derive(Clone, Copy, Debug)]
pub struct Clock {
    origin: Instant,
    /// The origin in microseconds on the system's monotonic clock, which all processes of the machine share.
    machine_origin: Micros,
    /// Unix time at the origin, in milliseconds.
    unix_origin: i64,
}

impl Clock {
    /// Creates a clock for a process that starts now. Its origin is one minute ago, or later if the machine
    /// was booted less than a minute ago.
    pub fn start() -> Self {
        let unix = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
        let monotonic = rustix::time::clock_gettime(rustix::time::ClockId::Monotonic);
        let machine_now = monotonic.tv_sec as Micros * 1_000_000 + monotonic.tv_nsec as Micros / 1000;
        let lead = ORIGIN_LEAD.min(machine_now);
        let origin = Instant::now().checked_sub(duration(lead));
        let (origin, lead) = origin.map_or((Instant::now(), 0), |origin| (origin, lead));
        Clock {
            origin,
            machine_origin: machine_now - lead,
            unix_origin: unix.as_millis() as i64 - (lead / MILLI) as i64,
        }
    }
    /// Creates a clock that returns 0 for a day, for tests that pass the time explicitly.
    pub fn stopped() -> Self {
        let clock = Clock::start();
        Clock { origin: Instant::now() + Duration::from_secs(86_400), ..clock }
    }
    /// Returns the current time.
    pub fn now(&self) -> Micros {
        self.origin.elapsed().as_micros() as Micros
    }
    /// Converts a time of this clock to the machine's monotonic clock, which all its processes share.
    pub fn machine_time(&self, at: Micros) -> Micros {
        self.machine_origin.saturating_add(at)
    }
    /// Converts a time of the machine's monotonic clock to this clock; 0 if it is before the origin.
    pub fn local_time(&self, at: Micros) -> Micros {
        at.saturating_sub(self.machine_origin)
    }
    /// Converts a time of this clock to an [`Instant`], for timers.
    pub fn instant(&self, at: Micros) -> Instant {
        self.origin + Duration::from_micros(at)
    }
    /// Converts a Unix time in milliseconds to microseconds on this clock; negative if it is before the
    /// origin.
    pub fn at_unix_ms(&self, unix_ms: i64) -> i64 {
        unix_ms.saturating_sub(self.unix_origin).saturating_mul(MILLI as i64)
    }
}

/// Converts a time in microseconds to a [`Duration`].
pub fn duration(time: Micros) -> Duration {
    Duration::from_micros(time)
}

/// Runs `work` for at most `time`; returns an error of the kind `TimedOut` if it has not finished by then.
pub async fn with_timeout<T>(time: Duration, work: impl Future<Output = io::Result<T>>) -> io::Result<T> {
    let timeout = async {
        Timer::after(time).await;
        Err(io::ErrorKind::TimedOut.into())
    };
    work.or(timeout).await
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn unix_times_are_converted_relative_to_the_origin() {
        let clock = Clock { unix_origin: 1_000_000, ..Clock::start() };
        assert_eq!(clock.at_unix_ms(1_000_250), 250_000);
        assert_eq!(clock.at_unix_ms(999_000), -1_000_000);
        assert_eq!(clock.at_unix_ms(i64::MIN), i64::MIN);
    }
}
