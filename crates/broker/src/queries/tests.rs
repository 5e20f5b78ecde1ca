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
    admit_as(queries, now, id, &format!("r{id}"), class, Some(key))
}

/// The same with a request id, and perhaps without a key.
fn admit_as(
    queries: &mut Queries,
    now: Micros,
    id: QueryId,
    request_id: &str,
    class: usize,
    key: Option<&str>,
) -> Result<QueryId, Reply> {
    let request = QueryRequest {
        id: request_id.into(),
        class,
        tenant: 0,
        client_timeout: SECOND,
        is_retry: false,
        idempotency_key: key.map(Into::into),
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

/// Guards against the operators' picture (c): an id that came again after its client had left ran a second time.
#[test]
fn an_id_whose_client_has_gone_does_not_run_again_where_repeats_take_effect() {
    let mut q = queries(&settings(|s| s.classes[0].semantics = Semantics::Unsafe));
    q.record_updates(true);
    let cases =
        [(0, true, false, false), (0, true, true, false), (0, false, false, true), (2, true, false, true)];
    for (number, (class, sent, answered, free)) in (0u64..).zip(cases) {
        let id: QueryId = 10 * number;
        let request = format!("again{id}");
        let first = admit_as(&mut q, 0, id, &request, class, None).unwrap();
        if sent {
            send(&mut q, 0, first, 0).unwrap();
        }
        q.take_updates();
        if answered {
            q.finish(10, first, |_| Reply::Failed);
        } else {
            q.client_gone(10, first);
        }
        let again = admit_as(&mut q, 20, id + 100, &request, class, None);
        assert_eq!(again.is_ok(), free, "case {number}: {again:?}");
        if free {
            continue;
        }
        let kept =
            |message: &Message| matches!(message, Message::Opened { id, units: 0, .. } if *id == request);
        assert!(q.take_updates().iter().any(kept), "the other processes are told");
        assert!(q.all_updates(30).iter().any(kept), "and one that joins later");
        // Its client's time is up.
        assert!(admit_as(&mut q, SECOND, id + 200, &request, class, None).is_ok());
        let released = |message: &Message| matches!(message, Message::Closed { id } if *id == request);
        assert!(q.take_updates().iter().any(released));
    }
}

/// However many clients leave, what is kept of them is bounded.
#[test]
fn the_ids_of_clients_that_have_gone_are_bounded() {
    let mut ids = RequestIds::default();
    let released = (0..2 * request_ids::MAX_ENDED)
        .filter(|n| ids.keep_ended(format!("id{n}").into(), *n as Micros).is_some())
        .count();
    assert_eq!(released, request_ids::MAX_ENDED);
    assert_eq!(ids.ended().count(), request_ids::MAX_ENDED);
    assert!(!ids.contains("id0") && ids.contains(&format!("id{}", 2 * request_ids::MAX_ENDED - 1)));
}
