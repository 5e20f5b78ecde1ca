//! Parts a query, on one real broker, beside a bare sender of the same bytes.

use super::Sweep;
use super::bench::{self, Bench, Mix};
use crate::floor;
use crate::plan::Plan;
use crate::process::LineProcess;
use crate::report::{Sample, Unit};
use std::io;
use std::time::Duration;

/// The sweep.
pub const SWEEP: Sweep = Sweep {
    name: "fan-out",
    about: "Parts a query, on one real broker, beside a bare sender of the same bytes.",
    play,
    fitted: &["cpu_a_query", "p50", "p99"],
};

/// Parts of the widest query.
pub const WIDEST: usize = 690;
const SIZES: &[usize] = &[1, 10, 50, 100, 200, 400, WIDEST];
const QUICK: &[usize] = &[1, 4, 8, 16];
/// Queries a second, beside one at a time.
const RATE: f64 = 10.0;

fn play(plan: &Plan, out: &mut Vec<Sample>) -> io::Result<()> {
    let sizes = &plan.sizes(SIZES, QUICK);
    let cells = sizes.iter().copied().max().unwrap_or(1);
    let mut bench = Bench::start(plan, cells, plan.choose(4, 2) * cells)?;
    floors(plan, &mut bench, sizes, out)?;
    for parts in sizes {
        for broker in &plan.brokers {
            // A new one for each size: what an earlier load left behind is not in the figures.
            let running = bench.broker(plan, broker, &bench::setting(cells))?;
            for rate in [None, Some(RATE)] {
                let mix = Mix { parts: *parts, rate, time: plan.point(), ..Mix::default() };
                plan.progress(&format!("fan-out: {parts} parts, {}, {rate:?} a second", broker.label));
                let mut sample = Sample::new(SWEEP.name, &broker.label, "parts", *parts as f64);
                if rate.is_some() {
                    sample.dimension = "parts at a rate".to_owned();
                }
                bench.measure(plan, &running, &mix, &mut sample)?;
                out.push(sample);
            }
        }
    }
    ratios(out);
    Ok(())
}

/// The bare sender at each size, likewise one at a time and at the rate.
fn floors(plan: &Plan, bench: &mut Bench, sizes: &[usize], out: &mut Vec<Sample>) -> io::Result<()> {
    let mut process = LineProcess::start(&plan.rig, "floor", &plan.guard)?;
    for parts in sizes {
        let addresses = bench.servers.addresses()[..*parts].to_vec();
        let _: floor::Done = process.ask(&floor::Task::Connect(addresses))?;
        for rate in [None, Some(RATE)] {
            plan.progress(&format!("fan-out: {parts} parts, floor, {rate:?} a second"));
            let _: floor::Done = process.ask(&floor::Task::Play { millis: 200, rate })?;
            let millis = plan.point().as_millis() as u64 / 2;
            let before = process.usage()?;
            let done: floor::Done = process.ask(&floor::Task::Play { millis, rate })?;
            let ran = process.usage()?.ran_since(&before);
            let mut sample = Sample::new(SWEEP.name, "floor", "parts", *parts as f64);
            if rate.is_some() {
                sample.dimension = "parts at a rate".to_owned();
            }
            sample = sample.with("rate", rate.unwrap_or(0.0));
            let queries = done.queries as f64;
            per_part(&mut sample, ran, queries, queries * *parts as f64);
            sample.put("queries", queries, Unit::Count);
            sample.put("served", queries, Unit::Count);
            sample.put("p50", done.p50_us as f64, Unit::Micros);
            sample.put("p99", done.p99_us as f64, Unit::Micros);
            sample.put("bytes_out_a_part", done.bytes_out as f64 / queries / *parts as f64, Unit::Bytes);
            sample.put("bytes_in_a_part", done.bytes_in as f64 / queries / *parts as f64, Unit::Bytes);
            sample.put("reads_a_part", done.reads as f64 / queries / *parts as f64, Unit::Ratio);
            sample.put("waits_a_query", done.waits as f64 / queries, Unit::Ratio);
            out.push(sample);
        }
    }
    Ok(())
}

/// Processor time by query and by part.
pub(super) fn per_part(sample: &mut Sample, ran: Duration, queries: f64, parts: f64) {
    let us = ran.as_secs_f64() * 1e6;
    sample.put("cpu_a_query", us / queries, Unit::Micros);
    sample.put("cpu_a_part", us / parts, Unit::Micros);
}

/// Each broker's cost a part against the floor's at the same size, in the same manner.
fn ratios(samples: &mut [Sample]) {
    let of = |s: &Sample| (s.dimension.clone(), s.size.to_bits());
    let floors: Vec<_> = samples
        .iter()
        .filter(|s| s.sweep == SWEEP.name && s.subject == "floor")
        .filter_map(|s| Some((of(s), s.get("cpu_a_part")?)))
        .collect();
    for sample in samples.iter_mut().filter(|s| s.sweep == SWEEP.name && s.subject != "floor") {
        let at = of(sample);
        let floor = floors.iter().find(|(f, _)| *f == at).map(|(_, cost)| *cost);
        if let (Some(floor), Some(cost)) = (floor, sample.get("cpu_a_part")) {
            sample.put("against_floor", cost / floor, Unit::Ratio);
        }
    }
}
