//! The largest mix that the machine bears: more and more real brokers over all data servers, each with the widest queries.

use super::Sweep;
use super::bench::{self, Bench};
use super::fan_out::{WIDEST, per_part};
use super::servers::MOST;
use crate::clients::{self, Ended, Load, Outcome};
use crate::plan::{Broker, Plan};
use crate::process::Usage;
use crate::real_broker::RealBroker;
use crate::report::{Sample, Unit};
use std::io;
use std::time::{Duration, Instant};

/// The sweep.
pub const SWEEP: Sweep = Sweep {
    name: "mix",
    about: "The largest mix that the machine bears: real brokers over all data servers, with the widest queries.",
    play,
    fitted: &["cpu_a_part", "served"],
};

const BROKERS: &[usize] = &[1, 2, 4, 6];
const QUICK: &[usize] = &[1, 2];
/// Queries a second of each.
const RATE: f64 = 5.0;

fn play(plan: &Plan, out: &mut Vec<Sample>) -> io::Result<()> {
    let (cells, servers) = plan.choose((WIDEST, MOST), (16, 64));
    let mut bench = Bench::start(plan, cells, servers)?;
    for count in plan.sizes(BROKERS, QUICK) {
        for broker in &plan.brokers {
            plan.progress(&format!("mix: {count} brokers, {}", broker.label));
            out.push(point(plan, &mut bench, broker, cells, count)?);
        }
    }
    Ok(())
}

fn point(plan: &Plan, bench: &mut Bench, broker: &Broker, cells: usize, count: usize) -> io::Result<Sample> {
    // All are started here: the system counts the death of the thread that starts a process as its parent's.
    let setting = bench::setting(cells);
    let start = |_| bench.broker(plan, broker, &setting);
    let running: Vec<RealBroker> = (0..count).map(start).collect::<io::Result<_>>()?;
    let load = |time: Duration, seed: u64| {
        let rounds: Vec<io::Result<Outcome>> = std::thread::scope(|scope| {
            let clients = running.iter().enumerate().map(|(n, broker)| {
                let load = Load {
                    rate: Some(RATE),
                    time,
                    most: 1_000_000,
                    at_once: 100,
                    class: "lookup".to_owned(),
                    shards: (0..cells).collect(),
                    patience: Duration::from_secs(4),
                    seed: seed.wrapping_add(n as u64),
                };
                let to = broker.listen;
                scope.spawn(move || clients::run(to, &load))
            });
            let clients: Vec<_> = clients.collect();
            let broke = |_| Err(io::Error::other("a client broke"));
            clients.into_iter().map(|c| c.join().unwrap_or_else(broke)).collect()
        });
        rounds.into_iter().collect::<io::Result<Vec<Outcome>>>()
    };
    load(plan.choose(Duration::from_millis(1500), Duration::from_millis(300)), plan.seed)?;
    bench.servers.account(true)?;
    let usages = || running.iter().map(RealBroker::usage).collect::<io::Result<Vec<Usage>>>();
    let (before, servers_before, begun) = (usages()?, bench.servers.usage()?, Instant::now());
    let outcomes = load(plan.point(), plan.seed.wrapping_add(1000))?;
    let (after, took) = (usages()?, begun.elapsed().as_secs_f64());
    let servers_after = bench.servers.usage()?;
    let account = bench.servers.account(true)?;

    let servers = bench.servers.addresses().len() as f64;
    let mut sample = Sample::new(SWEEP.name, &broker.label, "brokers", count as f64)
        .with("servers", servers)
        .with("parts", cells as f64)
        .with("rate of each", RATE);
    let ran = before.iter().zip(&after).map(|(b, a)| a.ran_since(b)).sum::<Duration>();
    let sum = |of: &dyn Fn(&Outcome) -> u64| outcomes.iter().map(of).sum::<u64>() as f64;
    per_part(&mut sample, ran, sum(&|o| o.all()), account.parts as f64);
    sample.put("cores", ran.as_secs_f64() / took, Unit::Cores);
    sample.put("queries", sum(&|o| o.all()), Unit::Count);
    sample.put("served", sum(&|o| o.ended(Ended::Whole)), Unit::Count);
    sample.put("refused", sum(&|o| o.ended(Ended::Refused)), Unit::Count);
    let others = |o: &Outcome| o.all() - o.ended(Ended::Whole) - o.ended(Ended::Refused);
    sample.put("other_ends", sum(&others), Unit::Count);
    let mut latency = outcomes.first().map(|o| o.latency.clone());
    if let Some(all) = &mut latency {
        for outcome in &outcomes[1..] {
            all.add(&outcome.latency).map_err(|e| io::Error::other(format!("{e:?}")))?;
        }
        if !all.is_empty() {
            sample.put("p50", all.value_at_quantile(0.5) as f64, Unit::Micros);
            sample.put("p99", all.value_at_quantile(0.99) as f64, Unit::Micros);
        }
    }
    let most = |of: &dyn Fn(&Usage) -> u64| after.iter().map(of).max().unwrap_or(0) as f64;
    sample.put("most_descriptors", most(&|u| u.descriptors), Unit::Count);
    sample.put("most_memory", most(&|u| u.resident), Unit::Bytes);
    let owed = before.iter().zip(&after).map(|(b, a)| a.waited_ns - b.waited_ns).sum::<u64>();
    sample.put("owed", owed as f64 / 1e9 / took, Unit::Cores);
    let of_servers = servers_before.iter().zip(&servers_after).map(|(b, a)| a.ran_since(b));
    sample.put("servers_cores", of_servers.sum::<Duration>().as_secs_f64() / took, Unit::Cores);
    sample.put("servers_late_share", account.late as f64 / account.parts as f64, Unit::Ratio);
    sample.put("parts_a_second", account.parts as f64 / took, Unit::PerSecond);
    Ok(sample)
}
