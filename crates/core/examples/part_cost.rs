//! Measures the cost of the decisions per part, in microseconds of this thread. Queries arrive at an even
//! rate, each part is answered within 5 to 15 ms, and there is one turn per millisecond. The number of parts
//! per second is the same for all numbers of parts per query.
//!
//! ```text
//! cargo run --release -p plover-core --example part_cost
//! ```

use brookbend::api::{NodeState, Settings};
use brookbend::settings::{JsonObject, decode};
use plover_core::{Core, Query, Report};
use plover_model::query::{AttemptId, PartSpec};
use plover_model::server::{ListScope, NodeId, Outcome, ServerInfo};
use plover_model::time::{MILLI, Micros, SECOND};
use serde_json::Value;
use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::{Duration, Instant};

const PARTS_PER_SECOND: usize = 60_000;
const WARM_UP: Micros = SECOND / 2;
const DURATION: Micros = 2 * SECOND;
const REPLICAS: usize = 3;

fn settings(servers: usize) -> Settings {
    let settings: Value = serde_json::from_str(include_str!("../../model/tests/settings.json")).unwrap();
    let site = decode(&JsonObject::new("settings", settings.as_object().unwrap())).unwrap();
    let mut settings = Settings { cells: servers / REPLICAS, shards: servers / REPLICAS, ..site.settings };
    settings.classes.iter_mut().for_each(|class| (class.aim, class.give_up) = (75.0, 300.0));
    settings
}

/// Returns the time per part in microseconds, and the number of answered parts.
fn cost(servers: usize, parts: usize) -> (f64, usize) {
    let settings = settings(servers);
    let cells = settings.cells;
    let mut core = Core::new(settings, 1_000_000, 7);
    let server = |n: usize| ServerInfo {
        name: NodeId(format!("server-{n:05}").into()),
        cell: n % cells,
        state: NodeState::Serving,
        zone: None,
        started_at: None,
    };
    core.update_servers(ListScope::Complete, (0..servers).map(server).collect());
    let query_interval = (parts as u64 * SECOND) / PARTS_PER_SECOND as u64;
    let mut in_flight: BTreeMap<Micros, Vec<(AttemptId, Micros)>> = BTreeMap::new();
    let (mut next_arrival, mut id, mut answered, mut random_state) = (0, 0u64, 0, 1u64);
    let mut spent = Duration::ZERO;
    let mut random = move |n: u64| {
        random_state = random_state.wrapping_mul(6364136223846793005).wrapping_add(1442695040888963407);
        (random_state >> 33) % n
    };
    let mut now = 0;
    while now < WARM_UP + DURATION {
        let mut queries = Vec::new();
        while next_arrival <= now {
            id += 1;
            next_arrival += query_interval;
            let first_shard = random(cells as u64) as usize;
            let part = |i: usize| PartSpec {
                shard: (first_shard + i) % cells,
                weight: 1.0 / parts as f64,
                work_hint: None,
            };
            queries.push(Query {
                id,
                class: 0,
                tenant: 0,
                deadline: now + 300 * MILLI,
                limits: Arc::default(),
                is_retry: false,
                parts: (0..parts).map(part).collect(),
            });
        }
        let ended = in_flight.remove(&now).unwrap_or_default();
        let count = ended.len();
        let report = |(attempt, sent): (AttemptId, Micros)| Report {
            attempt,
            outcome: Outcome::Served,
            elapsed: now - sent,
            load: None,
            connected_at: None,
        };
        let reports = ended.into_iter().map(report).collect();
        let started = Instant::now();
        let decisions = [core.report(now, reports), core.pick(now, queries), core.tick(now)];
        if now >= WARM_UP {
            spent += started.elapsed();
            answered += count;
        }
        for dispatch in decisions.iter().flat_map(|d| &d.dispatches) {
            let at = now + (5 + random(11)) * MILLI;
            in_flight.entry(at).or_default().push((dispatch.attempt, now));
        }
        now += MILLI;
    }
    (spent.as_secs_f64() * 1e6 / answered.max(1) as f64, answered)
}

fn main() {
    println!("servers  parts  us a part  against 50  parts answered");
    for servers in [1600, 7800] {
        let mut baseline = f64::NAN;
        for parts in [50, 200, 690] {
            let (us, answered) = cost(servers, parts);
            baseline = if parts == 50 { us } else { baseline };
            println!("{servers:7}  {parts:5}  {us:9.3}  {:10.2}  {answered:14}", us / baseline);
        }
    }
}
