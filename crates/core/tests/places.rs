//! Classes and tenants by name, while files come that have them in another order, under other names, or not at all.

use brookbend::api::{Class, NodeState, Settings};
use brookbend::settings::{JsonObject, decode};
use plover_core::{Core, MOST_PLACES, Query};
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
    let mut core = Core::new(settings.clone(), 1000, 7).named(names);
    let server = |n: usize| ServerInfo {
        name: NodeId(format!("s{n}").into()),
        cell: 0,
        state: NodeState::Serving,
        zone: None,
        started: None,
    };
    core.learn(ListScope::Known, (0..2).map(server).collect());
    core
}

fn query(id: QueryId, class: usize, tenant: usize, deadline: Micros) -> Query {
    let parts = vec![PartSpec { shard: 0, weight: 1.0, hint: None }];
    Query { id, class, tenant, deadline, limits: Arc::default(), is_retry: false, parts }
}

fn take(core: &mut Core, now: Micros, file: &(Settings, Names)) -> (Settings, Names) {
    let placed = core.plan(now, &file.0, &file.1).unwrap();
    core.reconfigure(&placed, 1000, now + SECOND);
    (placed.settings, placed.names)
}

/// A file with these classes, each of a name and a variant, and these tenants, each of a name and a share.
fn file(classes: &[(usize, u32)], tenants: &[(usize, u32)]) -> (Settings, Names) {
    let (mut settings, mut names) = settings();
    let model = settings.classes[0].clone();
    let class = |(n, variant): &(usize, u32)| Class {
        aim: 1000.0 + 10.0 * *n as f64 + f64::from(*variant),
        give_up: 3_600_000.0,
        late_worth: 0.9,
        ..model.clone()
    };
    settings.classes = classes.iter().map(class).collect();
    names.classes = classes.iter().map(|(n, _)| format!("class{n}")).collect();
    settings.tenants.resize(tenants.len(), settings.tenants[0].clone());
    settings.tenants.iter_mut().zip(tenants).for_each(|(t, (_, share))| t.quota_per_s = f64::from(*share));
    names.tenants = tenants.iter().map(|(n, _)| format!("tenant{n}")).collect();
    (settings, names)
}

/// Some of five, each with a variant, in any order.
fn some() -> impl Strategy<Value = Vec<(usize, u32)>> {
    let all: Vec<usize> = (0..5).collect();
    let names = prop::sample::subsequence(all, 1..=5).prop_shuffle();
    (names, prop::collection::vec(0u32..2, 5))
        .prop_map(|(names, variants)| names.into_iter().zip(variants).collect())
}

#[derive(Clone, Debug)]
enum Move {
    File(Vec<(usize, u32)>, Vec<(usize, u32)>),
    /// A request for some class and tenant, by the names in force or by those before.
    Ask(usize, usize, bool),
    Admit,
    End(usize),
    Wait(u64),
}

fn moves() -> impl Strategy<Value = Vec<Move>> {
    let one = prop_oneof![
        3 => (some(), some()).prop_map(|(c, t)| Move::File(c, t)),
        4 => (0usize..5, 0usize..5, any::<bool>()).prop_map(|(c, t, b)| Move::Ask(c, t, b)),
        2 => Just(Move::Admit),
        2 => (0usize..50).prop_map(Move::End),
        3 => (0u64..40).prop_map(Move::Wait),
    ];
    prop::collection::vec(one, 1..100)
}

/// What a request was read as.
#[derive(Clone, Debug)]
struct Read {
    id: QueryId,
    at: Micros,
    class: (usize, String, Class),
    tenant: (usize, String),
}

/// Takes up what was read, and leaves out what has ended at once.
fn admit(core: &mut Core, now: Micros, r: Read, open: &mut Vec<Read>) {
    let decisions = core.pick(now, vec![query(r.id, r.class.0, r.tenant.0, now + 3600 * SECOND)]);
    open.push(r);
    open.retain(|r| decisions.finals.iter().all(|f| f.query != r.id));
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 64, ..ProptestConfig::default() })]
    /// Whatever files come: from its reading, which a new file may follow before it is admitted, to its end a query's
    /// class and tenant have the index that it was read with, and the rules of its class are those that it was read by.
    #[test]
    fn indices_hold_from_reading_to_the_end(moves in moves()) {
        let mut now = 0;
        let mut core = core(&file(&[(0, 0)], &[(0, 1)]).0, &file(&[(0, 0)], &[(0, 1)]).1);
        let mut placed = file(&[(0, 0)], &[(0, 1)]);
        let mut before = placed.clone();
        let (mut read, mut open): (Vec<Read>, Vec<Read>) = Default::default();
        let mut next = 1;
        for m in moves {
            match m {
                Move::File(classes, tenants) => {
                    before = std::mem::replace(&mut placed, take(&mut core, now, &file(&classes, &tenants)));
                }
                Move::Ask(class, tenant, old) => {
                    let terms = if old { &before } else { &placed };
                    let (class, tenant) = (format!("class{class}"), format!("tenant{tenant}"));
                    let found = terms.1.class(&class).zip(terms.1.tenant(tenant.as_bytes()));
                    if let Some((c, t)) = found {
                        let class = (c, class, terms.0.classes[c].clone());
                        read.push(Read { id: next, at: now, class, tenant: (t, tenant) });
                        next += 1;
                    }
                }
                Move::Admit => read.drain(..).for_each(|r| admit(&mut core, now, r, &mut open)),
                Move::End(n) if !open.is_empty() => core.leave(open.swap_remove(n % open.len()).id),
                Move::End(_) => {}
                Move::Wait(seconds) => {
                    // Whoever was read is admitted within seconds, and read by the terms before for seconds alone.
                    for r in read.extract_if(.., |r| now + seconds * SECOND > r.at + 20 * SECOND) {
                        admit(&mut core, now, r, &mut open);
                    }
                    if seconds > 2 {
                        before = placed.clone();
                    }
                    now += seconds * SECOND;
                    let finals = core.tick(now).finals;
                    open.retain(|r| finals.iter().all(|f| f.query != r.id));
                }
            }
            for Read { class: (c, name, is), tenant: (t, tenant), .. } in read.iter().chain(&open) {
                prop_assert_eq!(&placed.1.classes[*c], name);
                prop_assert_eq!(&placed.0.classes[*c], is);
                prop_assert_eq!(&placed.1.tenants[*t], tenant);
            }
        }
    }
}

/// Customers come and go for the life of a process: their places are used again, and never while one is in hand.
#[test]
fn tenants_may_change_without_end() {
    let mut core = core(&file(&[(0, 0)], &[(0, 1)]).0, &file(&[(0, 0)], &[(0, 1)]).1);
    core.pick(0, vec![query(1, 0, 0, 100_000 * SECOND)]);
    for n in 1..3 * MOST_PLACES {
        let now = n as Micros * 40 * SECOND;
        let placed = core.plan(now, &file(&[(0, 0)], &[(n, 1)]).0, &file(&[(0, 0)], &[(n, 1)]).1).unwrap();
        let index = placed.names.tenant(format!("tenant{n}").as_bytes()).unwrap();
        assert_eq!((index > 0, placed.tenants_begun.as_slice()), (true, [index].as_slice()));
        core.reconfigure(&placed, 1000, now);
    }
}

/// Where there were no tenants, nobody's queries are not the first tenant's.
#[test]
fn tenants_come_where_there_were_none() {
    let none = file(&[(0, 0)], &[]);
    let mut core = core(&none.0, &none.1);
    assert_eq!(none.1.only_tenant(), Some(0));
    let (same, names) = take(&mut core, 0, &none);
    assert_eq!((names.only_tenant(), same.tenants.len()), (Some(0), 1));
    let (_, names) = take(&mut core, 0, &file(&[(0, 0)], &[(0, 1), (1, 1)]));
    assert_eq!((names.only_tenant(), names.tenant(b"tenant0"), names.tenant(b"")), (None, Some(1), None));
    let (_, names) = take(&mut core, 0, &none);
    assert_eq!((names.only_tenant(), names.tenant(b"tenant0")), (Some(0), None));
}

/// The share of a tenant that has left is that of its queries still: they are not beyond it all at once.
#[test]
fn a_tenant_that_leaves_keeps_its_share() {
    let both = file(&[(0, 0)], &[(0, 70), (1, 30)]);
    let mut core = core(&both.0, &both.1);
    let (settings, _) = take(&mut core, 0, &file(&[(0, 0)], &[(1, 40)]));
    let shares: Vec<f64> = settings.tenants.iter().map(|t| t.quota_per_s).collect();
    assert_eq!(shares, [70.0, 40.0]);
}

/// A class that has left, and is asked for by clients who have not heard: its aim is its own, in hand or not, until nobody
/// can ask for it; then the decisions no longer go by it.
#[test]
fn the_aim_of_a_class_that_leaves_counts_while_it_is_asked_for() {
    let (old, new) = (file(&[(0, 0)], &[(0, 1)]), file(&[(1, 0)], &[(0, 1)]));
    let mut core = core(&old.0, &old.1);
    let (settings, _) = take(&mut core, 0, &new);
    assert_eq!(settings.classes[0].aim, 1000.0);
    core.tick(100 * SECOND);
    let (settings, _) = take(&mut core, 100 * SECOND, &new);
    assert_eq!(settings.classes[0].aim, 1010.0);
}

/// The platform lets a process live for as long as clients of the settings in force wait; which are in force is in doubt for
/// a while after a change.
#[test]
fn the_longest_wait_is_that_of_the_classes_in_force() {
    let (mut settings, names) = settings();
    settings.classes.iter_mut().for_each(|c| c.give_up = 4000.0);
    let mut core = core(&settings, &names);
    assert_eq!(core.longest_wait(0), millis(4000.0));
    let mut shorter = settings.clone();
    shorter.classes.iter_mut().for_each(|c| c.give_up = 300.0);
    take(&mut core, 0, &(shorter, names.clone()));
    assert_eq!(core.longest_wait(10 * SECOND), millis(300.0));
    take(&mut core, 10 * SECOND, &(settings, names));
    assert_eq!(core.longest_wait(11 * SECOND - 1), millis(300.0), "not yet");
    assert_eq!(core.longest_wait(11 * SECOND), millis(4000.0));
}

/// The process is to end before a client's time is over: what is in hand is over by then too.
#[test]
fn what_is_in_hand_is_answered_before_the_end() {
    let (settings, names) = settings();
    let mut core = core(&settings, &names);
    core.pick(0, vec![query(1, 0, 0, 60 * SECOND), query(2, 0, 0, SECOND)]);
    core.answer_by(3 * SECOND);
    core.pick(10, vec![query(3, 0, 0, 60 * SECOND)]);
    let (mut ended, mut now) = (Vec::new(), 10);
    while ended.len() < 3 {
        now = core.due().max(now + 1000);
        assert!(now <= 3 * SECOND, "{ended:?}");
        ended.extend(core.tick(now).finals.iter().map(|f| f.query));
    }
    ended.sort_unstable();
    assert_eq!(ended, [1, 2, 3]);
}

/// A query keeps the most attempts that it was taken with; one that comes before a change binds has the fewest of all that
/// may hold, also where a second file follows at once.
#[test]
fn attempts_are_those_that_a_query_was_taken_with() {
    use plover_core::Report;
    use plover_model::server::Outcome;
    let (mut settings, names) = settings();
    settings.max_attempts = 2;
    let mut core = core(&settings, &names);
    // Fails each attempt until the query ends; the attempts that it had.
    let attempts = |core: &mut Core, mut now: Micros, id: QueryId, mut out: Vec<plover_core::Dispatch>| {
        let mut made = 0;
        loop {
            made += out.len();
            let failed = |d: plover_core::Dispatch| Report {
                attempt: d.attempt,
                outcome: Outcome::Full,
                elapsed: 1000,
                load: None,
                connected: None,
            };
            now += 1000;
            let mut decisions = core.report(now, out.drain(..).map(failed).collect());
            let tick = core.tick(now);
            decisions.finals.extend(tick.finals);
            out = decisions.dispatches.into_iter().chain(tick.dispatches).collect();
            if decisions.finals.iter().any(|f| f.query == id) {
                return made;
            }
            assert!(now < 1000 * SECOND);
        }
    };
    let first = core.pick(0, vec![query(1, 0, 0, 900 * SECOND)]).dispatches;
    let mut more = settings.clone();
    more.max_attempts = 4;
    take(&mut core, 1000, &(more.clone(), names.clone()));
    take(&mut core, 2000, &(more, names));
    assert_eq!(attempts(&mut core, 2000, 1, first), 2, "taken under the first file");
    let out = core.pick(900_000, vec![query(2, 0, 0, 900 * SECOND)]).dispatches;
    assert_eq!(attempts(&mut core, 900_000, 2, out), 2, "the first file binds still");
    let out = core.pick(100 * SECOND, vec![query(3, 0, 0, 900 * SECOND)]).dispatches;
    assert_eq!(attempts(&mut core, 100 * SECOND, 3, out), 4);
}
