//! Configurations and limits that another process of the same broker reports.

use brookbend::api::{Semantics, Settings};
use brookbend::settings::{JsonObject, decode};
use plover_core::{Core, Query, Report};
use plover_model::configuration::{NamedClass, PreviousLimits};
use plover_model::query::{AttemptId, Names, PartSpec};
use plover_model::server::{ListScope, NodeId, NodeState, Outcome, ServerInfo};
use plover_model::time::{MILLI, Micros, SECOND};
use std::sync::Arc;

fn site() -> (Settings, Names) {
    let settings: serde_json::Value =
        serde_json::from_str(include_str!("../../model/tests/settings.json")).unwrap();
    let site = decode(&JsonObject::new("settings", settings.as_object().unwrap())).unwrap();
    let names = Names { classes: site.class_names, tenants: site.tenant_names, ..Names::default() };
    (site.settings, names)
}

fn core() -> Core {
    let (settings, names) = site();
    let mut core = Core::new(settings, 100, 7).with_names(&names);
    let server = |n: usize| ServerInfo {
        name: NodeId(format!("s{n}").into()),
        cell: 0,
        state: NodeState::Serving,
        zone: None,
        started_at: None,
    };
    core.update_servers(ListScope::Cached, (0..3).map(server).collect());
    core
}

/// Whether a part that a server turned away is sent again.
fn is_retried(core: &mut Core, now: Micros, id: u64) -> bool {
    let query = Query {
        id,
        class: 0,
        tenant: 0,
        deadline: now + SECOND,
        limits: Arc::default(),
        is_retry: false,
        parts: vec![PartSpec { shard: 0, weight: 1.0, work_hint: None }],
    };
    let attempt: AttemptId = core.pick(now, vec![query]).dispatches.remove(0).attempt;
    let report =
        Report { attempt, outcome: Outcome::Full, elapsed: 10 * MILLI, load: None, connected_at: None };
    let retried = !core.report(now + 10 * MILLI, vec![report]).dispatches.is_empty();
    core.client_gone(id);
    core.tick(now + 10 * MILLI);
    retried
}

/// A class that another process knows with other settings has a place of its own, by which requests are
/// decoded, and none in the settings in force.
#[test]
fn reported_classes_have_indices_beside_the_current_ones() {
    let (settings, names) = site();
    let mut core = core();
    let named = |name: &str, semantics: Semantics| {
        let class = settings.classes[0].clone();
        NamedClass { name: name.to_owned(), class: brookbend::api::Class { semantics, ..class } }
    };
    let reported = [
        named("lookup", Semantics::Unsafe),
        named("screen", Semantics::Safe),
        NamedClass { name: "lookup".into(), class: settings.classes[0].clone() },
    ];
    let tenants = [names.tenants[0].clone(), "elsewhere".to_owned()];
    let indexed = core.index_reported(0, &[], &reported, &tenants).unwrap();
    core.adopt_reported(&indexed);
    assert_eq!([indexed.names.class("lookup"), indexed.names.class("screen")], [Some(0), None]);
    assert_eq!(indexed.names.tenant(b"elsewhere"), None);
    let first = indexed.names_of(&reported[..1], &tenants[1..]);
    assert_eq!((first.class("lookup"), first.class("screen")), (Some(3), None));
    assert_eq!((first.tenant(b"elsewhere"), first.tenant(tenants[0].as_bytes())), (Some(1), None));
    assert_eq!(indexed.settings.classes[3].semantics, Semantics::Unsafe);
    let second = indexed.names_of(&reported[1..], &tenants);
    assert_eq!([second.class("lookup"), second.class("screen")], [Some(0), Some(4)]);
    // What is reported again has the same places.
    let again = core.index_reported(SECOND, &[], &reported, &tenants).unwrap();
    assert_eq!(
        (again.settings.classes.len(), again.names_of(&reported[..1], &[]).class("lookup")),
        (5, Some(3))
    );
    // A file that makes one of them current gives it a place like any other.
    let mut new = settings.clone();
    new.classes[0].semantics = Semantics::Unsafe;
    let indexed = core.index_settings(2 * SECOND, &new, &names).unwrap();
    let class = indexed.names.class("lookup").unwrap();
    assert_eq!(indexed.settings.classes[class].semantics, Semantics::Unsafe);
}

/// Guards against a successor that makes as many attempts as its own file allows, while clients go by an
/// earlier one.
#[test]
fn limits_of_another_process_hold_where_they_are_stricter() {
    let mut core = core();
    assert!(is_retried(&mut core, SECOND, 1));
    let limits = |until, max_attempts| PreviousLimits { until, max_attempts, max_client_timeout: SECOND };
    core.adopt_limits(SECOND, limits(3 * SECOND, 1));
    core.adopt_limits(SECOND, limits(2 * SECOND, 9));
    assert_eq!(
        (core.strictest_limits(2 * SECOND, 0).max_attempts, core.max_client_timeout(SECOND)),
        (1, SECOND)
    );
    assert!(!is_retried(&mut core, 3 * SECOND - MILLI, 2));
    assert!(is_retried(&mut core, 3 * SECOND, 3));
}

/// While it is unknown what another process lets clients go by, a part gets one attempt.
#[test]
fn unknown_limits_are_the_strictest() {
    let mut core = core();
    core.set_unknown_until(Micros::MAX);
    assert!(!is_retried(&mut core, SECOND, 1));
    core.set_unknown_until(2 * SECOND);
    assert!(!is_retried(&mut core, 2 * SECOND - MILLI, 2));
    assert!(is_retried(&mut core, 2 * SECOND, 3));
}
