//! Many brokers that start at once: what they ask of discovery, and until when each has its list.

use super::Sweep;
use crate::control::{Site, Spread, own_cpu, peak_while, reached_after};
use crate::plan::Plan;
use crate::report::{Sample, Unit};
use std::io;
use std::time::{Duration, Instant};

/// The sweep.
pub const SWEEP: Sweep = Sweep {
    name: "restart",
    about: "Hollow brokers that start at once: with news since their list, or paced with the whole list",
    play,
    fitted: &[
        "from_discovery_sum",
        "calls_sum",
        "discovery_us",
        "brokers_us",
        "peak_calls",
        "peak_bytes",
        "listed_last",
    ],
};

/// Brokers of the fleet whose part starts: its pace goes by that.
const FLEET: u32 = 1600;
/// Servers in the list: 410 brokers with it fit this machine.
const SERVERS: u32 = 7800;
/// Entries that changed while they were away.
const MISSED: u32 = 18;
/// The fleet's pace lets the last of 1,600 ask after 16 s.
const WITHIN: Duration = Duration::from_secs(60);

fn play(plan: &Plan, out: &mut Vec<Sample>) -> io::Result<()> {
    for (subject, paced) in [("news", false), ("paced", true)] {
        for &count in plan.choose(&[10, 84, 200, 410][..], &[1, 2, 4, 8][..]) {
            plan.progress(&format!("restart: {count} brokers, {subject}"));
            out.push(point(plan, subject, count, paced)?);
        }
    }
    Ok(())
}

fn point(plan: &Plan, subject: &str, count: u32, paced: bool) -> io::Result<Sample> {
    let (servers, fleet) = plan.choose((SERVERS, FLEET), (400, 16));
    let site = Site::start(servers)?;
    // What they know is the version before.
    let (rev, _) = site.discovery.publish(&site.restarted(MISSED, 1), false)?;
    let mut sample = Sample::new("restart", subject, "brokers", f64::from(count))
        .with("servers", f64::from(servers))
        .with("missed", f64::from(MISSED))
        .with("fleet", f64::from(fleet));
    // Few in a process, so that starting takes all processors; the highest numbers, since the fleet is as large.
    let in_process = count.div_ceil(plan.choose(16, 2));
    let (own, at) = (own_cpu()?, Instant::now());
    let (mut started, mut spread) = (None, Spread::default());
    let peak = peak_while(&site, |look| {
        started = Some(site.hollows(plan, fleet - count..fleet, in_process, paced));
        spread = reached_after(&site, rev, at, count, WITHIN, look);
    });
    let hollows = started.unwrap_or_else(|| Err(io::Error::other("nothing was started")))?;
    let counts = site.discovery.counts();
    spread.put(&mut sample, "listed");
    // One that connects anew is counted twice.
    sample.put("listed_missed", (f64::from(count) - spread.count() as f64).max(0.0), Unit::Count);
    sample.put("connections_sum", counts.opened as f64, Unit::Count);
    sample.put("peak_calls", peak.calls as f64, Unit::PerSecond);
    sample.put("peak_bytes", peak.bytes as f64, Unit::BytesPerSecond);
    sample.put("calls_sum", counts.calls as f64, Unit::Count);
    sample.put("whole_sum", counts.whole as f64, Unit::Count);
    sample.put("from_discovery_sum", counts.bytes_out as f64, Unit::Bytes);
    sample.put("to_discovery_sum", counts.bytes_in as f64, Unit::Bytes);
    // With what this process spends to start them.
    sample.put("discovery_us", own_cpu()?.saturating_sub(own).as_micros() as f64, Unit::Micros);
    let used = hollows.usage()?;
    sample.put("brokers_us", used.cpu().as_micros() as f64, Unit::Micros);
    sample.put("resident_each", used.resident as f64 / f64::from(count), Unit::Bytes);
    sample.put("descriptors_each", used.descriptors as f64 / f64::from(count), Unit::Count);
    Ok(sample)
}
