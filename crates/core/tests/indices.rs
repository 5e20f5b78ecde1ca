//! Indices of classes and tenants while the settings change: in another order, under other names, or without
//! some of them.

use brookbend::api::{Class, NodeState, Settings};
use brookbend::settings::{JsonObject, decode};
use plover_core::{Core, MAX_INDICES, Query};
use plover_model::query::{Names, PartSpec, QueryId};
use plover_model::server::{ListScope, NodeId, ServerInfo};
use plover_model::time::{Micros, SECOND, millis};
use proptest::prelude::*;
use std::sync::Arc;

fn settings() -> (Settings, Names) {
    let settings: serde_json::Value =
        serde_json::from_str(include_str!("../../model/tests/settings.json")).unwrap();
    let site = decode(&JsonObject::new("settings", settings.as_object().unwrap())).unwrap();
    let names = Names { classes: site.class_names, tenants: site.tenant_names, ..Names::default() };
    (site.settings, names)
}

fn core(settings: &Settings, names: &Names) -> Core {
    let mut core = Core::new(settings.clone(), 1000, 7).with_names(names);
    let server = |n: usize| ServerInfo {
        name: NodeId(format!("s{n}").into()),
        cell: 0,
        state: NodeState::Serving,
        zone: None,
        started_at: None,
    };
    core.update_servers(ListScope::Cached, (0..2).map(server).collect());
    core
}

fn query(id: QueryId, class: usize, tenant: usize, deadline: Micros) -> Query {
    let parts = vec![PartSpec { shard: 0, weight: 1.0, work_hint: None }];
    Query { id, class, tenant, deadline, limits: Arc::default(), is_retry: false, parts }
}

/// Applies new settings, which take effect after a second. Returns them with the assigned indices.
fn apply(core: &mut Core, now: Micros, new: &(Settings, Names)) -> (Settings, Names) {
    let indexed = core.index_settings(now, &new.0, &new.1).unwrap();
    core.reconfigure(&indexed, 1000, now + SECOND);
    (indexed.settings, indexed.names)
}

/// Returns settings with these classes, each with a name and a variant, and these tenants, each with a name
/// and a quota.
fn settings_with(classes: &[(usize, u32)], tenants: &[(usize, u32)]) -> (Settings, Names) {
    let (mut settings, mut names) = settings();
    let template = settings.classes[0].clone();
    let class = |(n, variant): &(usize, u32)| Class {
        aim: 1000.0 + 10.0 * *n as f64 + f64::from(*variant),
        give_up: 3_600_000.0,
        late_worth: 0.9,
        ..template.clone()
    };
    settings.classes = classes.iter().map(class).collect();
    names.classes = classes.iter().map(|(n, _)| format!("class{n}")).collect();
    settings.tenants.resize(tenants.len(), settings.tenants[0].clone());
    settings.tenants.iter_mut().zip(tenants).for_each(|(t, (_, quota))| t.quota_per_s = f64::from(*quota));
    names.tenants = tenants.iter().map(|(n, _)| format!("tenant{n}")).collect();
    (settings, names)
}

/// Generates one to five distinct names, each with a variant, in any order.
fn names_with_variants() -> impl Strategy<Value = Vec<(usize, u32)>> {
    let all: Vec<usize> = (0..5).collect();
    let names = prop::sample::subsequence(all, 1..=5).prop_shuffle();
    (names, prop::collection::vec(0u32..2, 5))
        .prop_map(|(names, variants)| names.into_iter().zip(variants).collect())
}

#[derive(Clone, Debug)]
enum Step {
    /// New settings with these classes and tenants.
    Settings(Vec<(usize, u32)>, Vec<(usize, u32)>),
    /// A request for a class and a tenant, decoded with the current names, or with the previous ones if true.
    Request(usize, usize, bool),
    /// Admits all decoded requests.
    Admit,
    /// The client of an open query disconnects.
    End(usize),
    /// This number of seconds passes.
    Wait(u64),
}

fn steps() -> impl Strategy<Value = Vec<Step>> {
    let one = prop_oneof![
        3 => (names_with_variants(), names_with_variants()).prop_map(|(c, t)| Step::Settings(c, t)),
        4 => (0usize..5, 0usize..5, any::<bool>()).prop_map(|(c, t, b)| Step::Request(c, t, b)),
        2 => Just(Step::Admit),
        2 => (0usize..50).prop_map(Step::End),
        3 => (0u64..40).prop_map(Step::Wait),
    ];
    prop::collection::vec(one, 1..100)
}

/// A decoded request, with the index, the name and the settings of its class, and the index and the name of
/// its tenant.
#[derive(Clone, Debug)]
struct DecodedRequest {
    id: QueryId,
    at: Micros,
    class: (usize, String, Class),
    tenant: (usize, String),
}

/// Admits a decoded request. Queries that end at once are removed from `open`.
fn admit(core: &mut Core, now: Micros, request: DecodedRequest, open: &mut Vec<DecodedRequest>) {
    let decisions =
        core.pick(now, vec![query(request.id, request.class.0, request.tenant.0, now + 3600 * SECOND)]);
    open.push(request);
    open.retain(|r| decisions.completions.iter().all(|c| c.query != r.id));
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 64, ..ProptestConfig::default() })]
    /// Whatever changes of the settings come, the indices of the class and the tenant of a query and the
    /// settings of its class stay the same from the decoding of the request to the end of the query. The
    /// settings may change between decoding and admission.
    #[test]
    fn indices_are_stable_from_decoding_to_the_end(steps in steps()) {
        let mut now = 0;
        let mut core = core(&settings_with(&[(0, 0)], &[(0, 1)]).0, &settings_with(&[(0, 0)], &[(0, 1)]).1);
        let mut current = settings_with(&[(0, 0)], &[(0, 1)]);
        let mut previous = current.clone();
        let (mut decoded, mut open): (Vec<DecodedRequest>, Vec<DecodedRequest>) = Default::default();
        let mut next_id = 1;
        for step in steps {
            match step {
                Step::Settings(classes, tenants) => {
                    previous = std::mem::replace(&mut current, apply(&mut core, now, &settings_with(&classes, &tenants)));
                }
                Step::Request(class, tenant, use_previous) => {
                    let config = if use_previous { &previous } else { &current };
                    let (class, tenant) = (format!("class{class}"), format!("tenant{tenant}"));
                    let indices = config.1.class(&class).zip(config.1.tenant(tenant.as_bytes()));
                    if let Some((c, t)) = indices {
                        let class = (c, class, config.0.classes[c].clone());
                        decoded.push(DecodedRequest { id: next_id, at: now, class, tenant: (t, tenant) });
                        next_id += 1;
                    }
                }
                Step::Admit => decoded.drain(..).for_each(|r| admit(&mut core, now, r, &mut open)),
                Step::End(n) if !open.is_empty() => core.client_gone(open.swap_remove(n % open.len()).id),
                Step::End(_) => {}
                Step::Wait(seconds) => {
                    // A decoded request is admitted within seconds, and the previous names are used for
                    // seconds only.
                    for r in decoded.extract_if(.., |r| now + seconds * SECOND > r.at + 20 * SECOND) {
                        admit(&mut core, now, r, &mut open);
                    }
                    if seconds > 2 {
                        previous = current.clone();
                    }
                    now += seconds * SECOND;
                    let completions = core.tick(now).completions;
                    open.retain(|r| completions.iter().all(|c| c.query != r.id));
                }
            }
            for DecodedRequest { class: (c, name, settings), tenant: (t, tenant), .. } in decoded.iter().chain(&open) {
                prop_assert_eq!(&current.1.classes[*c], name);
                prop_assert_eq!(&current.0.classes[*c], settings);
                prop_assert_eq!(&current.1.tenants[*t], tenant);
            }
        }
    }
}

/// Guards against a table that fills up while tenants change over the life of a process. The indices of
/// removed tenants are reused, but never while a query of the tenant is open.
#[test]
fn indices_of_removed_tenants_are_reused() {
    let mut core = core(&settings_with(&[(0, 0)], &[(0, 1)]).0, &settings_with(&[(0, 0)], &[(0, 1)]).1);
    core.pick(0, vec![query(1, 0, 0, 100_000 * SECOND)]);
    for n in 1..3 * MAX_INDICES {
        let now = n as Micros * 40 * SECOND;
        let indexed = core
            .index_settings(
                now,
                &settings_with(&[(0, 0)], &[(n, 1)]).0,
                &settings_with(&[(0, 0)], &[(n, 1)]).1,
            )
            .unwrap();
        let index = indexed.names.tenant(format!("tenant{n}").as_bytes()).unwrap();
        assert_eq!((index > 0, indexed.new_tenants.as_slice()), (true, [index].as_slice()));
        core.reconfigure(&indexed, 1000, now);
    }
}

/// Guards against queries without a tenant that count as the first tenant when the settings start to name
/// tenants.
#[test]
fn the_implicit_tenant_has_its_own_index() {
    let none = settings_with(&[(0, 0)], &[]);
    let mut core = core(&none.0, &none.1);
    assert_eq!(none.1.implicit_tenant(), Some(0));
    let (same, names) = apply(&mut core, 0, &none);
    assert_eq!((names.implicit_tenant(), same.tenants.len()), (Some(0), 1));
    let (_, names) = apply(&mut core, 0, &settings_with(&[(0, 0)], &[(0, 1), (1, 1)]));
    assert_eq!((names.implicit_tenant(), names.tenant(b"tenant0"), names.tenant(b"")), (None, Some(1), None));
    let (_, names) = apply(&mut core, 0, &none);
    assert_eq!((names.implicit_tenant(), names.tenant(b"tenant0")), (Some(0), None));
}

/// Guards against open queries that exceed the quota of their tenant only because the tenant was removed.
#[test]
fn a_removed_tenant_keeps_its_quota() {
    let both = settings_with(&[(0, 0)], &[(0, 70), (1, 30)]);
    let mut core = core(&both.0, &both.1);
    let (settings, _) = apply(&mut core, 0, &settings_with(&[(0, 0)], &[(1, 40)]));
    let quotas: Vec<f64> = settings.tenants.iter().map(|t| t.quota_per_s).collect();
    assert_eq!(quotas, [70.0, 40.0]);
}

/// A removed class keeps its aim while clients that have not applied the change may still use the class.
/// After that, its aim no longer influences decisions.
#[test]
fn the_aim_of_a_removed_class_counts_while_clients_may_use_it() {
    let (old, new) = (settings_with(&[(0, 0)], &[(0, 1)]), settings_with(&[(1, 0)], &[(0, 1)]));
    let mut core = core(&old.0, &old.1);
    let (settings, _) = apply(&mut core, 0, &new);
    assert_eq!(settings.classes[0].aim, 1000.0);
    core.tick(100 * SECOND);
    let (settings, _) = apply(&mut core, 100 * SECOND, &new);
    assert_eq!(settings.classes[0].aim, 1010.0);
}

/// The platform lets a process run as long as clients of the current settings wait. For a while after a
/// change it is unknown which settings the platform uses, so the shorter time applies.
#[test]
fn max_client_timeout_is_the_shorter_one_until_a_change_takes_effect() {
    let (mut settings, names) = settings();
    settings.classes.iter_mut().for_each(|c| c.give_up = 4000.0);
    let mut core = core(&settings, &names);
    assert_eq!(core.max_client_timeout(0), millis(4000.0));
    let mut shorter = settings.clone();
    shorter.classes.iter_mut().for_each(|c| c.give_up = 300.0);
    apply(&mut core, 0, &(shorter, names.clone()));
    assert_eq!(core.max_client_timeout(10 * SECOND), millis(300.0));
    apply(&mut core, 10 * SECOND, &(settings, names));
    assert_eq!(core.max_client_timeout(11 * SECOND - 1), millis(300.0), "before the change takes effect");
    assert_eq!(core.max_client_timeout(11 * SECOND), millis(4000.0));
}

/// Guards against open queries that outlast the end of the process because their clients would wait longer.
#[test]
fn open_and_new_queries_end_before_the_process_does() {
    let (settings, names) = settings();
    let mut core = core(&settings, &names);
    core.pick(0, vec![query(1, 0, 0, 60 * SECOND), query(2, 0, 0, SECOND)]);
    core.finish_by(3 * SECOND);
    core.pick(10, vec![query(3, 0, 0, 60 * SECOND)]);
    let (mut ended, mut now) = (Vec::new(), 10);
    while ended.len() < 3 {
        now = core.next_tick_at().max(now + 1000);
        assert!(now <= 3 * SECOND, "{ended:?}");
        ended.extend(core.tick(now).completions.iter().map(|c| c.query));
    }
    ended.sort_unstable();
    assert_eq!(ended, [1, 2, 3]);
}

/// A query keeps the maximum of attempts that it was opened with. A query that arrives before a change takes
/// effect gets the smallest maximum of all settings that may apply, even if a second change follows at once.
#[test]
fn a_query_keeps_the_max_attempts_that_it_was_opened_with() {
    use plover_core::Report;
    use plover_model::server::Outcome;
    let (mut settings, names) = settings();
    settings.max_attempts = 2;
    let mut core = core(&settings, &names);
    // Fails each attempt until the query ends, and returns the number of its attempts.
    let attempts = |core: &mut Core, mut now: Micros, id: QueryId, mut out: Vec<plover_core::Dispatch>| {
        let mut made = 0;
        loop {
            made += out.len();
            let failed = |d: plover_core::Dispatch| Report {
                attempt: d.attempt,
                outcome: Outcome::Full,
                elapsed: 1000,
                load: None,
                connected_at: None,
            };
            now += 1000;
            let mut decisions = core.report(now, out.drain(..).map(failed).collect());
            let tick = core.tick(now);
            decisions.completions.extend(tick.completions);
            out = decisions.dispatches.into_iter().chain(tick.dispatches).collect();
            if decisions.completions.iter().any(|c| c.query == id) {
                return made;
            }
            assert!(now < 1000 * SECOND);
        }
    };
    let first = core.pick(0, vec![query(1, 0, 0, 900 * SECOND)]).dispatches;
    let mut more = settings.clone();
    more.max_attempts = 4;
    apply(&mut core, 1000, &(more.clone(), names.clone()));
    apply(&mut core, 2000, &(more, names));
    assert_eq!(attempts(&mut core, 2000, 1, first), 2, "opened before the change");
    let out = core.pick(900_000, vec![query(2, 0, 0, 900 * SECOND)]).dispatches;
    assert_eq!(attempts(&mut core, 900_000, 2, out), 2, "the first change has not taken effect yet");
    let out = core.pick(100 * SECOND, vec![query(3, 0, 0, 900 * SECOND)]).dispatches;
    assert_eq!(attempts(&mut core, 100 * SECOND, 3, out), 4);
}
