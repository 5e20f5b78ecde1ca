//! Queries a second of the widest kind, and what slow servers do to the tail.

use super::Sweep;
use super::bench::{self, Bench, Mix};
use super::fan_out::WIDEST;
use crate::plan::{Broker, Plan};
use crate::real_broker::Setting;
use crate::report::{Sample, Unit};
use crate::servers::Fault;
use std::io;

/// The sweep.
pub const SWEEP: Sweep = Sweep {
    name: "rate",
    about: "Queries a second of the widest kind, and what slow servers do to the tail.",
    play,
    fitted: &[],
};

const RATES: &[usize] = &[5, 10, 20, 30, 45, 65, 100, 175];
const QUICK: &[usize] = &[2, 4, 8, 16];
/// A rate is borne where this share of the queries is served.
const BORNE: f64 = 0.99;
/// Steps between the highest rate that was borne and the lowest that was not.
const STEPS: usize = 2;
/// One server in so many is slow, by so much.
const SLOW: (u32, u64) = (100, 200_000);

fn play(plan: &Plan, out: &mut Vec<Sample>) -> io::Result<()> {
    let parts = plan.parts.unwrap_or(plan.choose(WIDEST, 16));
    let mut bench = Bench::start(plan, parts, plan.choose(4, 2) * parts)?;
    for broker in &plan.brokers {
        let mut highest: Option<f64> = None;
        let mut lowest_not: Option<f64> = None;
        for rate in plan.sizes(RATES, QUICK) {
            let (sample, borne) = point(plan, &mut bench, broker, parts, rate as f64)?;
            out.push(sample);
            match (borne, lowest_not) {
                (true, None) => highest = Some(rate as f64),
                (false, None) => lowest_not = Some(rate as f64),
                _ => {}
            }
        }
        for _ in 0..plan.choose(STEPS, 0) {
            let (Some(low), Some(high)) = (highest, lowest_not) else { break };
            let between = ((low + high) / 2.0).round();
            let (sample, borne) = point(plan, &mut bench, broker, parts, between)?;
            out.push(sample);
            if borne {
                highest = Some(between);
            } else {
                lowest_not = Some(between);
            }
        }
        let mut sample = Sample::new(SWEEP.name, &broker.label, "parts of the highest rate", parts as f64);
        sample.put("highest_rate", highest.unwrap_or(0.0), Unit::PerSecond);
        sample.put("lowest_not_borne", lowest_not.unwrap_or(f64::NAN), Unit::PerSecond);
        out.push(sample);
    }
    tails(plan, &mut bench, parts, out)
}

/// One rate on a new broker, and whether it is borne.
fn point(
    plan: &Plan,
    bench: &mut Bench,
    broker: &Broker,
    parts: usize,
    rate: f64,
) -> io::Result<(Sample, bool)> {
    plan.progress(&format!("rate: {parts} parts, {}, {rate} a second", broker.label));
    let setting = Setting { aim: plan.aim, ..bench::setting(parts) };
    let running = bench.broker(plan, broker, &setting)?;
    let mix =
        Mix { parts, rate: Some(rate), warm_rate: rate.min(10.0), time: plan.point(), ..Mix::default() };
    let mut sample = Sample::new(SWEEP.name, &broker.label, "rate", rate);
    bench.measure(plan, &running, &mix, &mut sample)?;
    let share = sample.get("served").unwrap_or(0.0) / sample.get("queries").unwrap_or(f64::NAN);
    sample.put("served_share", share, Unit::Ratio);
    Ok((sample, share >= BORNE))
}

/// The aim that the tail is measured at, in milliseconds: what is late, and what may be sent again, goes by it.
const AIM: f64 = 75.0;

/// The tail at a low rate: all servers sound, one in so many slow, and the same where second copies are allowed.
fn tails(plan: &Plan, bench: &mut Bench, parts: usize, out: &mut Vec<Sample>) -> io::Result<()> {
    let servers = bench.servers.addresses().len() as u32;
    let slow = || (0..servers).filter(|n| n % SLOW.0 == SLOW.0 / 2);
    for broker in &plan.brokers {
        for (copies, is_slow) in [(false, false), (false, true), (true, false), (true, true)] {
            plan.progress(&format!("rate: tail, {}, copies {copies}, slow {is_slow}", broker.label));
            bench.servers.fault(slow(), if is_slow { Fault::Slow(SLOW.1) } else { Fault::None })?;
            let mut setting = bench::setting(parts);
            (setting.second_copies, setting.aim) = (copies, Some(AIM));
            let running = bench.broker(plan, broker, &setting)?;
            let mix = Mix { parts, rate: Some(10.0), time: plan.point(), ..Mix::default() };
            let slow_count = if is_slow { slow().count() } else { 0 };
            let mut sample = Sample::new(SWEEP.name, &broker.label, "slow servers", slow_count as f64)
                .with("second_copies", f64::from(u8::from(copies)));
            let measured = bench.measure(plan, &running, &mix, &mut sample);
            bench.servers.fault(slow(), Fault::None)?;
            measured?;
            let added = 100.0 * (sample.get("attempts_by_first").unwrap_or(f64::NAN) - 1.0);
            sample.put("added_load_percent", added, Unit::Ratio);
            out.push(sample);
        }
    }
    Ok(())
}
