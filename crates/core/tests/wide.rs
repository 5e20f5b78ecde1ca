//! Queries of more parts than a name of three digits can number.

use brookbend::api::NodeState;
use brookbend::settings::{JsonObject, decode};
use plover_core::{Core, Query, Report, Verdict};
use plover_model::query::PartSpec;
use plover_model::server::{ListScope, NodeId, Outcome, ServerInfo};
use serde_json::Value;
use std::sync::Arc;

const PARTS: usize = 1200;

fn core(servers: usize) -> Core {
    let settings: Value = serde_json::from_str(include_str!("../../model/tests/settings.json")).unwrap();
    let site = decode(&JsonObject::new("settings", settings.as_object().unwrap())).unwrap();
    let mut core = Core::new(site.settings, 20_000, 7);
    let server = |n: usize| ServerInfo {
        name: NodeId(format!("s{n}").into()),
        cell: 0,
        state: NodeState::Serving,
        zone: None,
        started: None,
    };
    core.learn(ListScope::Known, (0..servers).map(server).collect());
    core
}

/// Each part keeps its number from the attempt to the report, in order, and a query of another number keeps its own.
#[test]
fn parts_keep_their_numbers_beyond_a_thousand() {
    let mut core = core(4);
    let part = PartSpec { shard: 0, weight: 1.0 / PARTS as f64, hint: None };
    let query = |id| Query {
        id,
        class: 0,
        tenant: 0,
        deadline: 10_000_000,
        limits: Arc::default(),
        is_retry: false,
        parts: vec![part.clone(); PARTS],
    };
    let sent = core.pick(1000, vec![query(9), query(10)]).dispatches;
    let numbers: Vec<_> = sent.iter().map(|d| (d.attempt.query, d.attempt.part, d.attempt.attempt)).collect();
    let all: Vec<_> = [9, 10].into_iter().flat_map(|q| (0..PARTS).map(move |p| (q, p, 0))).collect();
    assert!(numbers == all, "{:?}", &numbers[..10]);
    let (last, rest) = sent.split_last().unwrap();
    let served =
        |a| Report { attempt: a, outcome: Outcome::Served, elapsed: 2000, load: None, connected: None };
    let first = core.report(4000, rest.iter().map(|d| served(d.attempt)).collect()).finals;
    assert_eq!(first.iter().map(|f| f.query).collect::<Vec<_>>(), [9], "the other one misses a part");
    let then = core.report(5000, vec![served(last.attempt)]).finals;
    assert_eq!((then[0].query, then[0].verdict), (10, Verdict::Answer { whole: true }));
    assert_eq!(core.held(), 0);
}
