use super::*;
use brookbend::settings::{JsonObject, decode};
use plover_model::query::PartSpec;
use plover_model::server::NodeId;

const SECOND: Micros = 1_000_000;

fn settings(change: impl FnOnce(&mut Settings)) -> Settings {
    let settings: serde_json::Value =
        serde_json::from_str(include_str!("../../../model/tests/settings.json")).unwrap();
    let mut site = decode(&JsonObject::new("settings", settings.as_object().unwrap())).unwrap();
    change(&mut site.settings);
    site.settings
}

fn names() -> Names {
    let classes = vec!["lookup".into(), "save".into(), "ranking".into()];
    Names { classes, tenants: vec!["acme".into(), "duff".into()], ..Names::default() }
}

fn queries(settings: &Settings) -> Queries {
    Queries::new(settings, &names(), 100, 7, 0)
}

/// Admits a query of one part with a key. Returns its id, or the reply that it was answered with at once.
fn admit(queries: &mut Queries, now: Micros, id: QueryId, class: usize, key: &str) -> Result<QueryId, Reply> {
    let request = QueryRequest {
        id: format!("r{id}").into(),
        class,
        tenant: 0,
        client_timeout: SECOND,
        is_retry: false,
        idempotency_key: Some(key.into()),
        parts: vec![PartSpec { shard: 0, weight: 1.0, work_hint: None }],
        predicate: "t".into(),
        limits: Default::default(),
    };
    let (client, reply) = Client::new(1);
    match queries.admit(now, id, 1, request, client, OtherProcesses(None)) {
        Some(_) => Ok(id),
        None => Err(reply.try_recv().unwrap()),
    }
}

fn send(queries: &mut Queries, now: Micros, query: QueryId, attempt: u32) -> Result<AttemptId, Withheld> {
    let attempt = AttemptId { query, part: 0, attempt };
    let dispatch = Dispatch { attempt, server: NodeId("s".into()), deadline: now + SECOND / 10 };
    queries.prepare(now, dispatch).map(|s| s.attempt)
}

fn end(queries: &mut Queries, now: Micros, attempt: AttemptId, outcome: Outcome) {
    queries.attempt_ended(
        now,
        &mut EndedAttempt { attempt, outcome, elapsed: 0, load: None, connected_at: None, value: None },
    );
}

/// Data servers drop no repeats in an unsafe class, whatever window another class has. A part that may have
/// run is not run again for a client that asks again with the same key.
#[test]
fn a_class_whose_repeats_take_effect_has_no_window() {
    let mut q = queries(&settings(|s| s.classes[0].semantics = Semantics::Unsafe));
    for (class, served) in [(0, false), (1, true)] {
        let key = format!("k{class}");
        let id = admit(&mut q, 0, 10 + class as u64, class, &key).unwrap();
        let attempt = send(&mut q, 0, id, 0).unwrap();
        end(&mut q, 10, attempt, Outcome::ConnectionLost);
        q.client_gone(20, id);
        let retry = admit(&mut q, SECOND, 20 + class as u64, class, &key);
        assert_eq!(retry.is_ok(), served, "class {class}: {retry:?}");
        assert!(served || retry == Err(Reply::Failed));
    }
}

/// A keyed part may be hedged if the settings allow hedging. Otherwise the hedged attempt is withheld even if
/// the decision module dispatches one.
#[test]
fn a_keyed_part_is_hedged_if_the_settings_allow_it() {
    for allowed in [false, true] {
        let mut q = queries(&settings(|s| s.hedging = allowed));
        let id = admit(&mut q, 0, 1, 1, "k").unwrap();
        send(&mut q, 0, id, 0).unwrap();
        assert_eq!(send(&mut q, 10, id, 1).is_ok(), allowed);
        q.reconfigure(&settings(|s| s.hedging = !allowed), &names(), 100);
        assert_eq!(send(&mut q, 20, id, 2).is_ok(), !allowed, "as the settings are now");
    }
}

/// If no class has a window, 0 is used, not a default.
#[test]
fn without_a_keyed_class_only_the_give_up_time_counts() {
    let none = settings(|s| s.classes.iter_mut().for_each(|c| c.semantics = Semantics::Safe));
    assert_eq!((repeat_times(&none), quarantine(&none)), ((0, 60 * SECOND), 60 * SECOND));
    assert_eq!(repeat_times(&settings(|_| ())), (5 * SECOND, 60 * SECOND));
    // A key used while its class has no window is not registered.
    let mut q = queries(&none);
    admit(&mut q, 0, 1, 1, "k").unwrap();
    assert!(admit(&mut q, 10, 2, 1, "k").is_ok());
    q.reconfigure(&settings(|_| ()), &names(), 100);
    admit(&mut q, 20, 3, 1, "k").unwrap();
    assert!(
        admit(&mut q, 30, 4, 1, "k").is_err(),
        "the class has a window again, and the query with this key is open"
    );
}
