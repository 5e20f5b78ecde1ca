//! End of a process: the time by which queries are finished, and the longest time that may take.

use plover_config::{Config, check};
use plover_core::{Core, Query, Verdict};
use plover_model::query::PartSpec;
use plover_model::server::{ListScope, NodeId, ServerInfo};
use plover_model::time::{MILLI, Micros, SECOND};
use serde_json::{Value, json};
use std::sync::Arc;

const TICK: Micros = 5 * MILLI;

/// Returns a configuration with one class per timeout. The timeouts are the times that clients wait, in
/// milliseconds.
fn config(timeouts: &[f64]) -> Config {
    let mut settings: Value = serde_json::from_str(include_str!("../../model/tests/settings.json")).unwrap();
    let services = settings["Services"].as_array_mut().unwrap();
    services.truncate(timeouts.len());
    for (service, timeout) in services.iter_mut().zip(timeouts) {
        service["GiveUp"] = json!(timeout);
        service["Aim"] = json!(timeout);
    }
    for key in ["ClassNeed", "FetchParts", "MinShare", "PartialEarns"] {
        settings["FamilyInfo"][key].as_array_mut().unwrap().truncate(timeouts.len());
    }
    let value = json!({"name": "n", "listen": "127.0.0.1:1", "discovery": "127.0.0.1:2", "seed": "7",
        "settings": settings, "known": {"rev": 1, "all": true, "targets": []}});
    check(&value, |_| None).unwrap()
}

fn core(config: &Config) -> Core {
    let mut core = Core::new(config.settings.clone(), 10, 7).with_names(&config.names);
    let server = |n: usize| ServerInfo {
        name: NodeId(format!("s{n}").into()),
        cell: 0,
        state: brookbend::api::NodeState::Serving,
        zone: None,
        started_at: None,
    };
    core.update_servers(ListScope::Cached, (0..2).map(server).collect());
    core
}

/// Guards against open queries that outlast the time set by `finish_by`, after which the platform may end the
/// process.
#[test]
fn open_queries_are_finished_by_the_set_time() {
    let mut core = core(&config(&[60_000.0; 3]));
    let part = PartSpec { shard: 0, weight: 1.0, work_hint: None };
    let query = |id, deadline| {
        let parts = vec![part.clone()];
        Query { id, class: 0, tenant: 0, deadline, limits: Arc::default(), is_retry: false, parts }
    };
    // The second query ends before the set time because of its own deadline.
    assert_eq!(core.pick(MILLI, vec![query(1, 60 * SECOND), query(2, SECOND)]).dispatches.len(), 2);
    let end = 3 * SECOND;
    core.finish_by(end);
    let mut now = MILLI;
    let mut completions = Vec::new();
    while core.units_in_use() > 0 {
        now = core.next_tick_at().max(now + TICK);
        assert!(now <= end, "{completions:?}");
        let decisions = core.tick(now);
        completions.extend(decisions.completions.into_iter().map(|c| (c.query, now, c.verdict)));
        assert_eq!(decisions.overdue, 0, "the decision module ends the queries itself");
    }
    assert!(
        matches!(completions[..], [(2, _, _), (1, _, Verdict::Refuse { .. } | Verdict::Fail)]),
        "{completions:?}"
    );
    assert!(completions[0].1 <= SECOND && completions[1].1 > 2 * SECOND);
}

/// Guards against a maximum client timeout that still counts a removed class. The platform uses that of
/// current classes.
#[test]
fn max_client_timeout_ignores_removed_classes() {
    let mut core = core(&config(&[1000.0, 1500.0, 60_000.0]));
    assert_eq!(core.max_client_timeout(0), 60 * SECOND);
    let new = config(&[1000.0, 1500.0]);
    let indexed = core.index_settings(SECOND, &new.settings, &new.names).unwrap();
    core.reconfigure(&indexed, 10, SECOND);
    assert_eq!(core.max_client_timeout(2 * SECOND), 1500 * MILLI);
}
