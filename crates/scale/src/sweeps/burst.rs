//! What is served after a burst of the widest queries: a broker is offered far more than it can serve, and little then.

use super::Sweep;
use super::bench::{self, Bench};
use super::fan_out::WIDEST;
use crate::clients::{self, Ended, Load};
use crate::plan::{Broker, Plan};
use crate::real_broker::{RealBroker, Setting};
use crate::report::{Sample, Unit};
use std::io;
use std::time::Duration;

/// The sweep.
pub const SWEEP: Sweep = Sweep {
    name: "burst",
    about: "What is served in each second after a burst of the widest queries.",
    play,
    fitted: &[],
};

/// Queries a second of the burst.
const RATES: &[usize] = &[175];
const QUICK: &[usize] = &[40];
/// How long it takes.
const BURST: Duration = Duration::from_secs(5);
const QUICK_BURST: Duration = Duration::from_millis(500);
/// Queries a second after it, and seconds that are looked at.
const AFTER: f64 = 10.0;
const SECONDS: u64 = 8;
/// Aim of all classes, in milliseconds, where the run does not set one.
const AIM: f64 = 75.0;

fn play(plan: &Plan, out: &mut Vec<Sample>) -> io::Result<()> {
    let parts = plan.parts.unwrap_or(plan.choose(WIDEST, 16));
    let bench = Bench::start(plan, parts, plan.choose(4, 2) * parts)?;
    for broker in &plan.brokers {
        for rate in plan.sizes(RATES, QUICK) {
            plan.progress(&format!("burst: {parts} parts, {}, {rate} a second", broker.label));
            let setting = Setting { aim: Some(plan.aim.unwrap_or(AIM)), ..bench::setting(parts) };
            let running = bench.broker(plan, broker, &setting)?;
            let burst = plan.choose(BURST, QUICK_BURST);
            out.push(span(plan, broker, &running, parts, rate as f64, burst, 0)?);
            for second in 1..=plan.choose(SECONDS, 1) {
                out.push(span(plan, broker, &running, parts, AFTER, Duration::from_secs(1), second)?);
            }
        }
    }
    Ok(())
}

/// A load of so long; `second` after the burst, which is 0 itself.
fn span(
    plan: &Plan,
    broker: &Broker,
    running: &RealBroker,
    parts: usize,
    rate: f64,
    time: Duration,
    second: u64,
) -> io::Result<Sample> {
    let load = Load {
        rate: Some(rate),
        time,
        most: 1_000_000,
        at_once: 400,
        class: "lookup".to_owned(),
        shards: (0..parts).collect(),
        patience: Duration::from_secs(4),
        seed: plan.seed.wrapping_add(second),
    };
    let before = running.usage()?;
    let outcome = clients::run(running.listen, &load)?;
    let ran = running.usage()?.ran_since(&before);
    let mut sample = Sample::new(SWEEP.name, &broker.label, "second", second as f64)
        .with("rate", rate)
        .with("parts", parts as f64);
    sample.put("queries", outcome.all() as f64, Unit::Count);
    sample.put("served", outcome.ended(Ended::Whole) as f64, Unit::Count);
    for (name, ended) in [
        ("refused", Ended::Refused),
        ("failed", Ended::Failed),
        ("unanswered", Ended::Unanswered),
        ("unsent", Ended::Unsent),
    ] {
        sample.put(name, outcome.ended(ended) as f64, Unit::Count);
    }
    sample.put("cores", ran.as_secs_f64() / outcome.took.as_secs_f64(), Unit::Cores);
    if !outcome.latency.is_empty() {
        sample.put("p50", outcome.latency.value_at_quantile(0.5) as f64, Unit::Micros);
        sample.put("p99", outcome.latency.value_at_quantile(0.99) as f64, Unit::Micros);
    }
    Ok(sample)
}
