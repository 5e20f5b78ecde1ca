//! A region that is cut off from discovery and heals: what its brokers try meanwhile, and until when all have the news.
//!
//! Time is compressed: the cut lasts seconds, and what an hour brings is told at its end in one answer. An hour's cut ends
//! no differently, since a watch that hears nothing comes to its longest rest within 12 s and stays there: the subject `simulated`
//! plays cuts of up to an hour with the watch's decisions in simulated time.

use super::Sweep;
use crate::control::{Site, Spread, Watchers, Window, peak_while, reached_after, simulated};
use crate::plan::Plan;
use crate::report::{Sample, Unit};
use std::io;
use std::thread::sleep;
use std::time::{Duration, Instant};

/// The sweep.
pub const SWEEP: Sweep = Sweep {
    name: "regions",
    about: "A region cut off and healed (time compressed): an hour's news at once, as changes and as whole lists",
    play,
    fitted: &[
        "cut_calls_all",
        "cut_attempts_sum",
        "healed_bytes_sum",
        "healed_bytes_each",
        "healed_cpu_each",
        "healed_last",
        "peak_bytes",
        "healed_discovery_us",
    ],
};

/// Brokers of a region: 1,600 over 7.
const REGION: u32 = 229;
/// What an hour of an ordinary day changes: 976 restarts and failures a day, each with a word as it goes and one as it comes.
const HOUR: u32 = 82;
const SERVERS: u32 = 2400;
const WITHIN: Duration = Duration::from_secs(60);
const SETTLES: Duration = Duration::from_millis(4500);
/// By then each watch knows that it is cut off.
const CUT: Duration = Duration::from_secs(5);
const CUT_MEASURED: Duration = Duration::from_secs(6);

fn play(plan: &Plan, out: &mut Vec<Sample>) -> io::Result<()> {
    for (subject, whole) in [("changes", false), ("whole", true)] {
        for &brokers in plan.choose(&[30, 100, REGION, 400][..], &[1, 2, 4, 8][..]) {
            plan.progress(&format!("regions: {brokers} brokers cut off, {subject}"));
            out.push(point(plan, subject, "brokers", brokers, HOUR, whole)?);
        }
    }
    for &news in plan.choose(&[10, HOUR, 410, 1200][..], &[1, 4, 16, 64][..]) {
        plan.progress(&format!("regions: {news} entries of news"));
        out.push(point(plan, "changes", "news", plan.choose(REGION, 2), news, false)?);
    }
    for &seconds in &[10, 60, 600, 3600] {
        out.push(simulated(plan.choose(1600, 8), seconds, plan.seed));
    }
    Ok(())
}

/// A cut of its whole length in simulated time, with the same decisions.
fn simulated(count: u32, seconds: u64, seed: u64) -> Sample {
    let cut = simulated::cut(count, seconds, seed);
    let (n, s) = (f64::from(count), seconds as f64);
    let mut sample = Sample::new("regions", "simulated", "cut_seconds", s).with("brokers", n);
    sample.put("cut_attempts_sum", cut.attempts as f64, Unit::Count);
    sample.put("cut_calls_each", cut.attempts as f64 / s / n, Unit::PerSecond);
    cut.healed.put(&mut sample, "healed");
    sample
}

fn point(
    plan: &Plan,
    subject: &str,
    dimension: &str,
    count: u32,
    news: u32,
    whole: bool,
) -> io::Result<Sample> {
    let site = Site::start(plan.choose(SERVERS, 200))?;
    let brokers = Watchers::Hollow(site.hollows(plan, 0..count, plan.choose(30, 4), false)?);
    brokers.settle(&site, plan.choose(SETTLES, Duration::from_secs(1)))?;
    let n = f64::from(count);
    let size = if dimension == "news" { f64::from(news) } else { n };
    let mut sample = Sample::new("regions", subject, dimension, size)
        .with("brokers", n)
        .with("news", f64::from(news))
        .with("servers", site.entries.len() as f64);
    site.discovery.silence(true)?;
    sleep(plan.choose(CUT, Duration::from_secs(1)));
    // The first ten attempts are the quickest: those are measured, and the rest of an hour is simulated.
    if dimension == "brokers" && !whole {
        let cut = brokers.rest(&site, plan.choose(CUT_MEASURED, Duration::from_secs(2)))?;
        let seconds = cut.took.as_secs_f64();
        sample.put("cut_calls_all", cut.counts.calls as f64 / seconds, Unit::PerSecond);
        sample.put("cut_calls_each", cut.counts.calls as f64 / seconds / n, Unit::PerSecond);
        sample.put("cut_connections_each", cut.counts.opened as f64 / seconds / n, Unit::PerSecond);
        sample.put("cut_cores_each", cut.first_threads.as_secs_f64() / seconds / n, Unit::Cores);
    }
    let (rev, _) = site.discovery.publish(&site.restarted(news, 1), whole)?;
    let _ = site.discovery.take_reached();
    let (mut peak, mut spread) = (Default::default(), Spread::default());
    let healed = Window::of(
        &site,
        || brokers.usage(),
        || {
            let at = Instant::now();
            site.discovery.silence(false)?;
            peak = peak_while(&site, |look| spread = reached_after(&site, rev, at, count, WITHIN, look));
            Ok(())
        },
    )?;
    spread.put(&mut sample, "healed");
    sample.put("healed_missed", (n - spread.count() as f64).max(0.0), Unit::Count);
    sample.put("healed_connections", healed.counts.opened as f64, Unit::Count);
    sample.put("healed_whole", healed.counts.whole as f64, Unit::Count);
    sample.put("healed_bytes_sum", healed.counts.bytes_out as f64, Unit::Bytes);
    sample.put("healed_bytes_each", healed.counts.bytes_out as f64 / n, Unit::Bytes);
    sample.put("healed_cpu_each", healed.first_threads.as_micros() as f64 / n, Unit::Micros);
    sample.put("healed_discovery_us", healed.discovery.as_micros() as f64, Unit::Micros);
    sample.put("peak_calls", peak.calls as f64, Unit::PerSecond);
    sample.put("peak_bytes", peak.bytes as f64, Unit::BytesPerSecond);
    Ok(sample)
}
