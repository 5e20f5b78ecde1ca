//! What a stretch of time cost.

use super::{Site, Spread};
use crate::discovery::{Counts, Reached};
use crate::process::Usage;
use crate::report::{Sample, Unit};
use std::collections::BTreeSet;
use std::time::{Duration, Instant};
use std::{fs, io, thread};

/// How often something is looked at that is waited for.
const LOOK: Duration = Duration::from_millis(20);

/// What was used over a stretch of time.
#[derive(Clone, Copy, Debug)]
pub struct Window {
    /// How long it was.
    pub took: Duration,
    /// What discovery counted.
    pub counts: Counts,
    /// Processor time of discovery, which is all that this process does meanwhile.
    pub discovery: Duration,
    /// Processor time of the brokers, all threads, as the system's ticks have it.
    pub brokers: Duration,
    /// The same of their first threads alone, finer than the ticks.
    pub first_threads: Duration,
    /// The brokers' books at its end.
    pub end: Usage,
}

/// A stretch of time that has begun.
#[derive(Clone, Copy, Debug)]
pub struct Begun {
    at: Instant,
    counts: Counts,
    own: Duration,
    before: Usage,
}

impl Begun {
    /// It is over: what was used since it began.
    pub fn end(self, site: &Site, end: Usage) -> io::Result<Window> {
        Ok(Window {
            took: self.at.elapsed(),
            counts: site.discovery.counts() - self.counts,
            discovery: own_cpu()?.saturating_sub(self.own),
            brokers: end.cpu().saturating_sub(self.before.cpu()),
            first_threads: Duration::from_nanos(end.ran_ns.saturating_sub(self.before.ran_ns)),
            end,
        })
    }
}

impl Window {
    /// Begins one; `before` are the brokers' books by now.
    pub fn begin(site: &Site, before: Usage) -> io::Result<Begun> {
        Ok(Begun { at: Instant::now(), counts: site.discovery.counts(), own: own_cpu()?, before })
    }

    /// Does something, and measures until it is done; `usage` reads the brokers' books.
    pub fn of(
        site: &Site,
        usage: impl Fn() -> io::Result<Usage>,
        work: impl FnOnce() -> io::Result<()>,
    ) -> io::Result<Window> {
        let begun = Window::begin(site, usage()?)?;
        work()?;
        begun.end(site, usage()?)
    }

    /// Puts what each of so many brokers cost, and discovery for all, into a sample.
    pub fn put(&self, sample: &mut Sample, brokers: u32) {
        let (n, s) = (f64::from(brokers), self.took.as_secs_f64());
        let c = self.counts;
        for (name, count) in [("calls", c.calls), ("whole", c.whole), ("changes", c.changes)] {
            sample.put(&format!("{name}_all"), count as f64 / s, Unit::PerSecond);
        }
        sample.put("calls_each", c.calls as f64 / s / n, Unit::PerSecond);
        sample.put("to_discovery_all", c.bytes_in as f64 / s, Unit::BytesPerSecond);
        sample.put("from_discovery_all", c.bytes_out as f64 / s, Unit::BytesPerSecond);
        sample.put("bytes_each", (c.bytes_in + c.bytes_out) as f64 / s / n, Unit::BytesPerSecond);
        sample.put("discovery_cores", self.discovery.as_secs_f64() / s, Unit::Cores);
        sample.put("cores_each", self.brokers.as_secs_f64() / s / n, Unit::Cores);
        sample.put("first_thread_cores_each", self.first_threads.as_secs_f64() / s / n, Unit::Cores);
        self.put_held(sample, brokers);
    }

    /// Puts what each of so many brokers holds.
    pub fn put_held(&self, sample: &mut Sample, brokers: u32) {
        let n = f64::from(brokers);
        sample.put("resident_each", self.end.resident as f64 / n, Unit::Bytes);
        sample.put("descriptors_each", self.end.descriptors as f64 / n, Unit::Count);
    }
}

/// Processor time of this process so far, all threads, from the scheduler's books.
pub fn own_cpu() -> io::Result<Duration> {
    let mut nanos = 0;
    for thread in fs::read_dir("/proc/self/task")? {
        // A thread may end meanwhile.
        let text = fs::read_to_string(thread?.path().join("schedstat")).unwrap_or_default();
        nanos += text.split_whitespace().next().and_then(|w| w.parse::<u64>().ok()).unwrap_or(0);
    }
    Ok(Duration::from_nanos(nanos))
}

/// Waits until something holds, so long at most.
pub(super) fn until(within: Duration, what: &str, holds: impl Fn() -> bool) -> io::Result<()> {
    let end = Instant::now() + within;
    while !holds() {
        if Instant::now() >= end {
            return Err(io::Error::other(format!("{what}: not within {within:?}")));
        }
        thread::sleep(LOOK);
    }
    Ok(())
}

/// Times from a moment until each of so many watchers showed that it has a version; ends early when all that are connected
/// have. Those that did not in time are missing; one that connects anew meanwhile is there twice.
pub fn await_reached(site: &Site, rev: u64, since: Instant, count: u32, within: Duration) -> Spread {
    reached_after(site, rev, since, count, within, || ())
}

/// The same, with something to do at each look.
pub fn reached_after(
    site: &Site,
    rev: u64,
    since: Instant,
    count: u32,
    within: Duration,
    mut look: impl FnMut(),
) -> Spread {
    let (mut seen, mut times) = (BTreeSet::new(), Vec::new());
    let mut over = false;
    while !over {
        thread::sleep(LOOK);
        look();
        // Looked at first: whoever has it is among those that are taken next.
        over = site.discovery.having(rev) >= count as usize || since.elapsed() >= within;
        let has = |r: &Reached| r.rev >= rev && r.at >= since;
        for reached in site.discovery.take_reached().into_iter().filter(has) {
            if seen.insert(reached.connection) {
                times.push(reached.at - since);
            }
        }
    }
    Spread::of(times)
}

/// The most in any second.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Peak {
    /// Calls that came to discovery.
    pub calls: u64,
    /// Bytes that it told.
    pub bytes: u64,
}

/// The most of discovery in any second while something is done, which looks every [`LOOK`] or so.
pub fn peak_while(site: &Site, work: impl FnOnce(&mut dyn FnMut())) -> Peak {
    let mut looks: Vec<(Instant, Counts)> = vec![(Instant::now(), site.discovery.counts())];
    let (mut peak, mut first) = (Peak::default(), 0);
    let mut look = || {
        let (now, counts) = (Instant::now(), site.discovery.counts());
        while first + 1 < looks.len() && now - looks[first].0 > Duration::from_secs(1) {
            first += 1;
        }
        let since = counts - looks[first].1;
        peak = Peak { calls: since.calls.max(peak.calls), bytes: since.bytes_out.max(peak.bytes) };
        looks.push((now, counts));
    };
    work(&mut look);
    look();
    peak
}
