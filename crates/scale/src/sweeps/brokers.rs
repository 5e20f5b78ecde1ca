//! Brokers at rest, by how many there are: what the watches cost them and discovery.

use super::Sweep;
use crate::control::{Site, Watchers};
use crate::plan::Plan;
use crate::report::{Sample, Unit};
use std::io;
use std::time::Duration;

/// The sweep.
pub const SWEEP: Sweep = Sweep {
    name: "brokers",
    about: "Hollow brokers at rest, and one change told to all, by their number",
    play,
    fitted: &[
        "calls_all",
        "to_discovery_all",
        "from_discovery_all",
        "discovery_cores",
        "cores_all",
        "resident_all",
        "descriptors_all",
        "change_bytes_all",
        "change_discovery_us",
        "change_brokers_us",
        "change_last",
    ],
};

/// Servers in the list: 1,600 brokers with it fit this machine.
const SERVERS: u32 = 800;
/// Watches are at rest after their first calls with the long wait.
const SETTLES: Duration = Duration::from_millis(4500);
/// As long as two of those, with the little between them.
const RESTS: Duration = Duration::from_millis(8200);

fn play(plan: &Plan, out: &mut Vec<Sample>) -> io::Result<()> {
    for &count in plan.choose(&[3, 30, 100, 300, 800, 1600][..], &[2, 4, 8, 16][..]) {
        plan.progress(&format!("brokers: {count}"));
        out.push(point(plan, count)?);
    }
    Ok(())
}

/// So many at rest, and one entry that changes.
fn point(plan: &Plan, count: u32) -> io::Result<Sample> {
    let servers = plan.choose(SERVERS, 100);
    let site = Site::start(servers)?;
    let brokers = Watchers::Hollow(site.hollows(plan, 0..count, 100, false)?);
    brokers.settle(&site, plan.choose(SETTLES, Duration::from_secs(1)))?;
    let mut sample =
        Sample::new("brokers", "hollow", "brokers", f64::from(count)).with("servers", f64::from(servers));
    let rest = brokers.rest(&site, plan.choose(RESTS, Duration::from_secs(1)))?;
    rest.put(&mut sample, count);
    sample.put("resident_all", rest.end.resident as f64, Unit::Bytes);
    sample.put("cores_all", rest.brokers.as_secs_f64() / rest.took.as_secs_f64(), Unit::Cores);
    sample.put("descriptors_all", rest.end.descriptors as f64, Unit::Count);
    let told = brokers.tell(&site, 1, 1, false)?;
    told.spread.put(&mut sample, "change");
    sample.put("change_missed", f64::from(count) - told.spread.count() as f64, Unit::Count);
    sample.put("change_bytes_all", told.window.counts.bytes_out as f64, Unit::Bytes);
    sample.put("change_discovery_us", told.window.discovery.as_micros() as f64, Unit::Micros);
    sample.put("change_brokers_us", told.window.first_threads.as_micros() as f64, Unit::Micros);
    Ok(sample)
}
