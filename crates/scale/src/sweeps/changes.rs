//! Changes of the list, by how many come at once and how many in a minute.

use super::Sweep;
use crate::control::{Site, Watchers, Window};
use crate::plan::Plan;
use crate::report::{Sample, Unit};
use std::io;
use std::thread::sleep;
use std::time::{Duration, Instant};

/// The sweep.
pub const SWEEP: Sweep = Sweep {
    name: "changes",
    about: "Changes of the list told to hollow brokers, at once and a minute",
    play,
    fitted: &[
        "change_bytes_each",
        "change_cpu_each",
        "change_discovery_us",
        "change_p50",
        "change_last",
        "calls_each",
        "bytes_each",
        "first_thread_cores_each",
        "discovery_cores",
    ],
};

/// Time until the watches wait long again.
const SETTLES: Duration = Duration::from_millis(4500);
/// The calls with the short wait after a change are over.
const PAUSE: Duration = Duration::from_millis(300);
/// How long changes come at a rate.
const SPAN: Duration = Duration::from_secs(8);

fn play(plan: &Plan, out: &mut Vec<Sample>) -> io::Result<()> {
    let (servers, count) = plan.choose((7800, 100), (400, 4));
    let site = Site::start(servers)?;
    let brokers = Watchers::Hollow(site.hollows(plan, 0..count, plan.choose(13, 2), false)?);
    let settles = plan.choose(SETTLES, Duration::from_secs(1));
    brokers.settle(&site, settles)?;
    let each = f64::from(count);
    let sample = |dimension: &str, size: u32| {
        let sample = Sample::new("changes", "hollow", dimension, f64::from(size));
        sample.with("servers", f64::from(servers)).with("brokers", each)
    };
    let mut boot_ms = 0;
    for &many in plan.choose(&[1, 18, 100, 410][..], &[1, 4, 16, 64][..]) {
        plan.progress(&format!("changes: {many} at once"));
        boot_ms += 1;
        let told = brokers.tell(&site, many, boot_ms, false)?;
        let mut sample = sample("changes_at_once", many);
        sample.put("change_bytes_each", told.window.counts.bytes_out as f64 / each, Unit::Bytes);
        sample.put("change_calls_each", told.window.counts.calls as f64 / each, Unit::Count);
        sample.put("change_cpu_each", told.window.first_threads.as_micros() as f64 / each, Unit::Micros);
        sample.put("change_discovery_us", told.window.discovery.as_micros() as f64, Unit::Micros);
        sample.put("change_missed", each - told.spread.count() as f64, Unit::Count);
        told.spread.put(&mut sample, "change");
        out.push(sample);
        sleep(settles);
    }
    for &rate in plan.choose(&[15, 60, 240, 600][..], &[60, 120, 240, 480][..]) {
        plan.progress(&format!("changes: {rate} a minute"));
        let gap = Duration::from_secs(60) / rate;
        let span = plan.choose(SPAN, Duration::from_secs(1));
        let steps = || {
            let begun = Instant::now();
            while begun.elapsed() < span {
                boot_ms += 1;
                site.discovery.publish(&site.restarted(1, boot_ms), false)?;
                sleep(gap.min(span.saturating_sub(begun.elapsed())));
            }
            Ok(())
        };
        let window = Window::of(&site, || brokers.usage(), steps)?;
        let mut sample = sample("changes_a_minute", rate);
        window.put(&mut sample, count);
        out.push(sample);
        sleep(PAUSE);
    }
    Ok(())
}
