//! What the decisions cost for a part, in microseconds of this thread: queries come at an even pace, each of their parts is
//! answered within 5 to 15 ms, and there is a turn in each millisecond. The same parts a second at each width.
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

const PARTS_A_SECOND: usize = 60_000;
const WARM_UP: Micros = SECOND / 2;
const LENGTH: Micros = 2 * SECOND;
const REPLICAS: usize = 3;

fn settings(servers: usize) -> Settings {
    let settings: Value = serde_json::from_str(include_str!("../../model/tests/settings.json")).unwrap();
    let site = decode(&JsonObject::new("settings", settings.as_object().unwrap())).unwrap();
    let mut settings = Settings { cells: servers / REPLICAS, shards: servers / REPLICAS, ..site.settings };
    settings.classes.iter_mut().for_each(|class| (class.aim, class.give_up) = (75.0, 300.0));
    settings
}

/// Microseconds a part, and parts that were answered.
fn cost(servers: usize, parts: usize) -> (f64, usize) {
    let settings = settings(servers);
    let cells = settings.cells;
    let mut core = Core::new(settings, 1_000_000, 7);
    let server = |n: usize| ServerInfo {
        name: NodeId(format!("server-{n:05}").into()),
        cell: n % cells,
        state: NodeState::Serving,
        zone: None,
        started: None,
    };
    core.learn(ListScope::Whole, (0..servers).map(server).collect());
    let every = (parts as u64 * SECOND) / PARTS_A_SECOND as u64;
    let mut out: BTreeMap<Micros, Vec<(AttemptId, Micros)>> = BTreeMap::new();
    let (mut next, mut id, mut answered, mut chance) = (0, 0u64, 0, 1u64);
    let mut spent = Duration::ZERO;
    let mut random = move |n: u64| {
        chance = chance.wrapping_mul(6364136223846793005).wrapping_add(1442695040888963407);
        (chance >> 33) % n
    };
    let mut now = 0;
    while now < WARM_UP + LENGTH {
        let mut queries = Vec::new();
        while next <= now {
            id += 1;
            next += every;
            let first = random(cells as u64) as usize;
            let part =
                |i: usize| PartSpec { shard: (first + i) % cells, weight: 1.0 / parts as f64, hint: None };
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
        let ended = out.remove(&now).unwrap_or_default();
        let count = ended.len();
        let report = |(attempt, sent): (AttemptId, Micros)| Report {
            attempt,
            outcome: Outcome::Served,
            elapsed: now - sent,
            load: None,
            connected: None,
        };
        let reports = ended.into_iter().map(report).collect();
        let begin = Instant::now();
        let decided = [core.report(now, reports), core.pick(now, queries), core.tick(now)];
        if now >= WARM_UP {
            spent += begin.elapsed();
            answered += count;
        }
        for dispatch in decided.iter().flat_map(|d| &d.dispatches) {
            let at = now + (5 + random(11)) * MILLI;
            out.entry(at).or_default().push((dispatch.attempt, now));
        }
        now += MILLI;
    }
    (spent.as_secs_f64() * 1e6 / answered.max(1) as f64, answered)
}

fn main() {
    println!("servers  parts  us a part  against 50  parts answered");
    for servers in [1600, 7800] {
        let mut least = f64::NAN;
        for parts in [50, 200, 690] {
            let (us, answered) = cost(servers, parts);
            least = if parts == 50 { us } else { least };
            println!("{servers:7}  {parts:5}  {us:9.3}  {:10.2}  {answered:14}", us / least);
        }
    }
}
