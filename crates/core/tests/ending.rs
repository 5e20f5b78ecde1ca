//! A program that is to end: by when queries are over, and how long that may take.

use plover_config::{Config, check};
use plover_core::{Core, Query, Verdict};
use plover_model::query::PartSpec;
use plover_model::server::{ListScope, NodeId, ServerInfo};
use plover_model::time::{MILLI, Micros, SECOND};
use serde_json::{Value, json};
use std::sync::Arc;

const TICK: Micros = 5 * MILLI;

/// With these times for which the clients of its classes wait, in milliseconds.
fn config(waits: &[f64]) -> Config {
    let mut settings: Value = serde_json::from_str(include_str!("../../model/tests/settings.json")).unwrap();
    let services = settings["Services"].as_array_mut().unwrap();
    services.truncate(waits.len());
    for (service, wait) in services.iter_mut().zip(waits) {
        service["GiveUp"] = json!(wait);
        service["Aim"] = json!(wait);
    }
    for of_classes in ["ClassNeed", "FetchParts", "MinShare", "PartialEarns"] {
        settings["FamilyInfo"][of_classes].as_array_mut().unwrap().truncate(waits.len());
    }
    let value = json!({"name": "n", "listen": "127.0.0.1:1", "discovery": "127.0.0.1:2", "seed": "7",
        "settings": settings, "known": {"rev": 1, "all": true, "targets": []}});
    check(&value, |_| None).unwrap()
}

fn core(config: &Config) -> Core {
    let mut core = Core::new(config.settings.clone(), 10, 7).named(&config.names);
    let server = |n: usize| ServerInfo {
        name: NodeId(format!("s{n}").into()),
        cell: 0,
        state: brookbend::api::NodeState::Serving,
        zone: None,
        started: None,
    };
    core.learn(ListScope::Known, (0..2).map(server).collect());
    core
}

/// Queries in hand are over by the time that the program names, as those that come later are: the platform may end it then.
#[test]
fn queries_in_hand_are_over_by_the_end_too() {
    let mut core = core(&config(&[60_000.0; 3]));
    let part = PartSpec { shard: 0, weight: 1.0, hint: None };
    let query = |id, deadline| {
        let parts = vec![part.clone()];
        Query { id, class: 0, tenant: 0, deadline, limits: Arc::default(), is_retry: false, parts }
    };
    // The second is over before.
    assert_eq!(core.pick(MILLI, vec![query(1, 60 * SECOND), query(2, SECOND)]).dispatches.len(), 2);
    let end = 3 * SECOND;
    core.answer_by(end);
    let mut now = MILLI;
    let mut finals = Vec::new();
    while core.held() > 0 {
        now = core.due().max(now + TICK);
        assert!(now <= end, "{finals:?}");
        let decisions = core.tick(now);
        finals.extend(decisions.finals.into_iter().map(|f| (f.query, now, f.verdict)));
        assert_eq!(decisions.overdue, 0, "the decisions know of it");
    }
    assert!(matches!(finals[..], [(2, _, _), (1, _, Verdict::Refuse { .. } | Verdict::Fail)]), "{finals:?}");
    assert!(finals[0].1 <= SECOND && finals[1].1 > 2 * SECOND);
}

/// What a class that has left would wait for counts no more: the platform goes by those in force.
#[test]
fn the_longest_wait_is_that_of_a_class_in_force() {
    let mut core = core(&config(&[1000.0, 1500.0, 60_000.0]));
    assert_eq!(core.longest_wait(0), 60 * SECOND);
    let other = config(&[1000.0, 1500.0]);
    let placed = core.plan(SECOND, &other.settings, &other.names).unwrap();
    core.reconfigure(&placed, 10, SECOND);
    assert_eq!(core.longest_wait(2 * SECOND), 1500 * MILLI);
}
