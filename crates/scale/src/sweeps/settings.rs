//! Settings that an operator changes: from the act to the last broker that goes by them.
//!
//! Today's only way is a file on each machine and SIGHUP to its program. No mechanism carries it, so this does both for one
//! real broker after another, as a script on each machine would.

use super::Sweep;
use crate::control::{Real, Site, Spread};
use crate::plan::{Broker, Plan};
use crate::process::Usage;
use crate::report::{Sample, Unit};
use std::io;
use std::thread::sleep;
use std::time::{Duration, Instant};

/// The sweep.
pub const SWEEP: Sweep = Sweep {
    name: "settings",
    about: "Settings changed on real brokers: from the operator's act to the last that goes by them",
    play,
    fitted: &["acts", "applied_p50", "applied_last", "from_discovery_sum", "whole_sum", "brokers_us"],
};

const SERVERS: u32 = 7800;
const WITHIN: Duration = Duration::from_secs(30);

fn play(plan: &Plan, out: &mut Vec<Sample>) -> io::Result<()> {
    for broker in &plan.brokers {
        for &count in plan.choose(&[4, 8, 16, 32][..], &[1, 2, 3, 4][..]) {
            plan.progress(&format!("settings: {count} of {}", broker.label));
            out.push(point(plan, broker, count)?);
        }
    }
    Ok(())
}

fn point(plan: &Plan, broker: &Broker, count: u32) -> io::Result<Sample> {
    let site = Site::start(plan.choose(SERVERS, 400))?;
    let mut brokers = site.real(plan, count, &broker.path)?;
    site.await_watchers(count, WITHIN)?;
    sleep(plan.choose(Duration::from_secs(5), Duration::from_secs(1)));
    let n = f64::from(count);
    let mut sample =
        Sample::new("settings", &broker.label, "brokers", n).with("servers", site.entries.len() as f64);
    let (counts, before) = (site.discovery.counts(), usage(&brokers)?);
    let at = Instant::now();
    for broker in &mut brokers {
        broker.change_settings(|settings| settings["FamilyInfo"]["Call"] = 1.5.into())?;
    }
    let acts = at.elapsed();
    let mut applied = Vec::new();
    for broker in &brokers {
        applied.push(broker.logged("event=reloaded", WITHIN)?.saturating_duration_since(at));
    }
    // A watch that has moved asks for the whole list at once, and takes it.
    sleep(Duration::from_millis(1500));
    let (after, told) = (usage(&brokers)?, site.discovery.counts() - counts);
    Spread::of(applied).put(&mut sample, "applied");
    sample.put("acts", acts.as_micros() as f64, Unit::Micros);
    sample.put("whole_sum", told.whole as f64, Unit::Count);
    sample.put("from_discovery_sum", told.bytes_out as f64, Unit::Bytes);
    sample.put("bytes_each", told.bytes_out as f64 / n, Unit::Bytes);
    let ran = Duration::from_nanos(after.ran_ns.saturating_sub(before.ran_ns));
    sample.put("brokers_us", ran.as_micros() as f64, Unit::Micros);
    sample.put("cpu_each", ran.as_micros() as f64 / n, Unit::Micros);
    sample.put("resident_each", after.resident as f64 / n, Unit::Bytes);
    sample.put("descriptors_each", after.descriptors as f64 / n, Unit::Count);
    Ok(sample)
}

fn usage(brokers: &[Real]) -> io::Result<Usage> {
    brokers.iter().try_fold(Usage::default(), |sum, broker| Ok(sum + broker.usage()?))
}
