//! What the sweeps with a real broker share: servers, a list, a broker, a load, and the figures of one point.

use super::fan_out::per_part;
use crate::clients::{self, Ended, Load};
use crate::plan::{Broker, Plan};
use crate::real_broker::{RealBroker, Setting};
use crate::report::{Sample, Unit};
use crate::servers::times::Times;
use crate::servers::{Fleet, Shape};
use plover_standins::List;
use serde_json::Value;
use std::io;
use std::time::{Duration, Instant};

/// Processes that hollow data servers are spread over.
const PROCESSES: usize = 4;
/// How long their parts take.
pub const TIMES: Times = Times::Lognormal { median: 5_000, p99: 20_000 };
/// Descriptors of a broker that has as many as it can want.
pub const SOCKETS: usize = 12_000;
/// Over this share of their core the servers' processes bound the figures themselves.
const BUSY: f64 = 0.8;
/// A thread that waited for a processor for longer than this share of the time was bound by the machine.
const OWED: f64 = 0.05;

/// A broker's configuration, with room for everything.
pub fn setting(cells: usize) -> Setting {
    Setting { cells, sockets: SOCKETS, memory_mb: 1024, second_copies: false, aim: None }
}

/// Hollow data servers, and a discovery that tells them.
pub struct Bench {
    /// The servers.
    pub servers: Fleet,
    list: List,
    entries: Vec<Value>,
    cells: usize,
}

/// What one point is set to.
#[derive(Clone, Debug)]
pub struct Mix {
    /// Parts of each query: shards from 0.
    pub parts: usize,
    /// Queries a second; `None`: one at a time.
    pub rate: Option<f64>,
    /// How long it is measured.
    pub time: Duration,
    /// How long the same load runs before that.
    pub warm_up: Duration,
    /// Queries a second of that load, where there is a rate.
    pub warm_rate: f64,
    /// The class.
    pub class: &'static str,
    /// How long clients wait.
    pub patience: Duration,
}

impl Default for Mix {
    fn default() -> Self {
        Mix {
            parts: 1,
            rate: None,
            time: Duration::from_secs(4),
            warm_up: Duration::from_millis(1500),
            warm_rate: 10.0,
            class: "lookup",
            patience: Duration::from_secs(4),
        }
    }
}

impl Bench {
    /// Starts servers in so many cells, and a discovery that lists all of them.
    pub fn start(plan: &Plan, cells: usize, servers: usize) -> io::Result<Bench> {
        let warm_after = Duration::from_secs(10);
        let shape = Shape { servers, cells, processes: plan.choose(PROCESSES, 2), times: TIMES, warm_after };
        let servers = Fleet::start(plan, shape)?;
        let entries = servers.entries(shape.servers);
        let list = List::serving(entries.clone())?;
        Ok(Bench { servers, list, entries, cells })
    }

    /// The same with a list of the first so many of the servers alone.
    pub fn show(&mut self, count: usize) -> io::Result<()> {
        self.entries = self.servers.entries(count);
        self.list = List::serving(self.entries.clone())?;
        Ok(())
    }

    /// Starts a broker round them.
    pub fn broker(&self, plan: &Plan, broker: &Broker, setting: &Setting) -> io::Result<RealBroker> {
        RealBroker::start(plan, broker, setting, &self.list, &self.entries)
    }

    /// Runs the mix, warms up with it first, and puts what it measures into the sample.
    pub fn measure(
        &mut self,
        plan: &Plan,
        broker: &RealBroker,
        mix: &Mix,
        sample: &mut Sample,
    ) -> io::Result<()> {
        let load = Load {
            rate: mix.rate.map(|_| mix.warm_rate),
            time: plan.choose(mix.warm_up, mix.warm_up / 4),
            most: 1_000_000,
            at_once: 400,
            class: mix.class.to_owned(),
            shards: (0..mix.parts).collect(),
            patience: mix.patience,
            seed: plan.seed,
        };
        clients::run(broker.listen, &load)?;
        self.servers.account(true)?;
        let (servers_before, before, begun) = (self.servers.usage()?, broker.usage()?, Instant::now());
        let load = Load { rate: mix.rate, time: mix.time, seed: plan.seed.wrapping_add(1), ..load };
        let outcome = clients::run(broker.listen, &load)?;
        let (after, took) = (broker.usage()?, begun.elapsed().as_secs_f64());
        let servers_after = self.servers.usage()?;
        let account = self.servers.account(true)?;

        sample.mix.extend([
            ("servers".to_owned(), self.entries.len() as f64),
            ("cells".to_owned(), self.cells as f64),
            ("rate".to_owned(), mix.rate.unwrap_or(0.0)),
            ("parts".to_owned(), mix.parts as f64),
        ]);
        let (queries, parts) = (outcome.all() as f64, account.parts as f64);
        let ran = after.ran_since(&before);
        per_part(sample, ran, queries, parts);
        sample.put("cores", ran.as_secs_f64() / took, Unit::Cores);
        sample.put("queries", queries, Unit::Count);
        for (name, ended) in [
            ("served", Ended::Whole),
            ("served_part", Ended::Part),
            ("refused", Ended::Refused),
            ("failed", Ended::Failed),
            ("reset", Ended::Reset),
            ("unanswered", Ended::Unanswered),
            ("unsent", Ended::Unsent),
        ] {
            let count = outcome.ended(ended);
            if count > 0 || ended == Ended::Whole {
                sample.put(name, count as f64, Unit::Count);
            }
        }
        for (status, count) in outcome.statuses.iter().filter(|(status, _)| **status != 200) {
            sample.put(&format!("status_{status}"), *count as f64, Unit::Count);
        }
        if !outcome.latency.is_empty() {
            sample.put("p50", outcome.latency.value_at_quantile(0.5) as f64, Unit::Micros);
            sample.put("p99", outcome.latency.value_at_quantile(0.99) as f64, Unit::Micros);
        }
        if !outcome.told.is_empty() {
            sample.put("told_p50", outcome.told.value_at_quantile(0.5) as f64, Unit::Micros);
            sample.put("retry_after", outcome.retry_after as f64, Unit::Count);
        }
        sample.put("descriptors", after.descriptors as f64, Unit::Count);
        sample.put("memory", after.resident as f64, Unit::Bytes);
        sample.put("switches_a_query", (after.switches - before.switches) as f64 / queries, Unit::Ratio);
        sample.put("system_share", share(&before, &after), Unit::Ratio);
        sample.put("parts_a_second", parts / took, Unit::PerSecond);
        sample.put("attempts_by_first", parts / account.first as f64, Unit::Ratio);
        sample.put("calls_by_part", account.calls as f64 / parts, Unit::Ratio);
        sample.put("dials_by_part", account.accepted as f64 / parts, Unit::Ratio);
        sample.put("given_up_by_part", account.given_up as f64 / parts, Unit::Ratio);
        sample.put("bytes_out_a_part", account.bytes_in as f64 / parts, Unit::Bytes);
        sample.put("bytes_in_a_part", account.bytes_out as f64 / parts, Unit::Bytes);
        let busiest =
            servers_before.iter().zip(&servers_after).map(|(b, a)| a.ran_since(b).as_secs_f64() / took);
        let busiest = busiest.fold(0.0, f64::max);
        sample.put("servers_busiest", busiest, Unit::Cores);
        sample.put("servers_late_share", account.late as f64 / parts, Unit::Ratio);
        let owed = (after.waited_ns - before.waited_ns) as f64 / 1e9 / took;
        sample.put("owed", owed, Unit::Cores);
        if owed > OWED {
            sample.notes.push(format!(
                "the broker waited {owed:.2} of the time for a processor: the machine was the bound"
            ));
        }
        if busiest > BUSY {
            sample.notes.push(format!(
                "a process of hollow servers used {busiest:.2} of a core: it may be the bound"
            ));
        }
        sample.notes.extend(broker.warnings());
        sample.notes.extend(outcome.fault);
        Ok(())
    }
}

fn share(before: &crate::process::Usage, after: &crate::process::Usage) -> f64 {
    let system = (after.system_us - before.system_us) as f64;
    system / (system + (after.user_us - before.user_us) as f64)
}
