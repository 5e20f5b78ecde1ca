//! Data servers known to one broker: what it costs to know them, and a query of the same width among more of them.

use super::Sweep;
use super::bench::{self, Bench, Mix};
use crate::plan::Plan;
use crate::report::{Sample, Unit};
use std::io;
use std::time::{Duration, Instant};

/// The sweep.
pub const SWEEP: Sweep = Sweep {
    name: "servers",
    about: "Data servers known to one broker.",
    play,
    fitted: &["idle_cores", "idle_memory", "cpu_a_part", "memory"],
};

/// All of the fleet ahead.
pub const MOST: usize = 7_800;
const SIZES: &[usize] = &[200, 800, 2_400, 4_800, MOST];
const QUICK: &[usize] = &[16, 32, 48, 64];
/// Parts of each query, and cells: each query asks in all of them.
const PARTS: usize = 50;

fn play(plan: &Plan, out: &mut Vec<Sample>) -> io::Result<()> {
    let (sizes, parts) = (plan.sizes(SIZES, QUICK), plan.choose(PARTS, 8));
    let mut bench = Bench::start(plan, parts, sizes.iter().copied().max().unwrap_or(0))?;
    for size in sizes {
        bench.show(size)?;
        for broker in &plan.brokers {
            plan.progress(&format!("servers: {size}, {}", broker.label));
            let running = bench.broker(plan, broker, &bench::setting(parts))?;
            let mut sample = Sample::new(SWEEP.name, &broker.label, "servers", size as f64);
            // What a start costs is not idleness.
            std::thread::sleep(Duration::from_secs(1));
            let (before, begun) = (running.usage()?, Instant::now());
            std::thread::sleep(plan.point());
            let after = running.usage()?;
            let ran = after.ran_since(&before).as_secs_f64();
            sample.put("idle_cores", ran / begun.elapsed().as_secs_f64(), Unit::Cores);
            sample.put("idle_memory", after.resident as f64, Unit::Bytes);
            sample.put("idle_descriptors", after.descriptors as f64, Unit::Count);
            let mix = Mix { parts, rate: Some(10.0), time: plan.point(), ..Mix::default() };
            bench.measure(plan, &running, &mix, &mut sample)?;
            out.push(sample);
        }
    }
    Ok(())
}
