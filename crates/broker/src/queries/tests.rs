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

/// Takes up a query of one part under a key; its number, or what it was answered at once.
fn ask(queries: &mut Queries, now: Micros, id: QueryId, class: usize, key: &str) -> Result<QueryId, Reply> {
    let ask = Ask {
        id: format!("r{id}").into(),
        class,
        tenant: 0,
        patience: SECOND,
        again: false,
        key: Some(key.into()),
        parts: vec![PartSpec { shard: 0, weight: 1.0, hint: None }],
        text: "t".into(),
        limits: Default::default(),
    };
    let (client, reply) = Client::new(1);
    match queries.admit(now, id, 1, ask, client, Beside(None)) {
        Some(_) => Ok(id),
        None => Err(reply.try_recv().unwrap()),
    }
}

fn send(queries: &mut Queries, now: Micros, query: QueryId, attempt: u32) -> Result<AttemptId, Held> {
    let attempt = AttemptId { query, part: 0, attempt };
    let dispatch = Dispatch { attempt, server: NodeId("s".into()), until: now + SECOND / 10 };
    queries.outgoing(now, dispatch).map(|s| s.attempt)
}

fn end(queries: &mut Queries, now: Micros, attempt: AttemptId, outcome: Outcome) {
    queries.ended(now, &mut Ended { attempt, outcome, elapsed: 0, load: None, connected: None, value: None });
}

/// Data servers drop no repeats of such a class, whatever window another class has: what may have run is not run again
/// for a client that asks again under its key.
#[test]
fn a_class_whose_repeats_take_effect_has_no_window() {
    let mut q = queries(&settings(|s| s.classes[0].semantics = Semantics::Unsafe));
    for (class, served) in [(0, false), (1, true)] {
        let key = format!("k{class}");
        let id = ask(&mut q, 0, 10 + class as u64, class, &key).unwrap();
        let attempt = send(&mut q, 0, id, 0).unwrap();
        end(&mut q, 10, attempt, Outcome::ConnectionLost);
        q.gone(20, id);
        let again = ask(&mut q, SECOND, 20 + class as u64, class, &key);
        assert_eq!(again.is_ok(), served, "class {class}: {again:?}");
        assert!(served || again == Err(Reply::Failed));
    }
}

/// Where the settings allow second copies, a keyed part has them too; else the register holds even a module to it that
/// asks for one.
#[test]
fn a_keyed_part_has_a_second_copy_where_the_settings_allow_it() {
    for allowed in [false, true] {
        let mut q = queries(&settings(|s| s.hedging = allowed));
        let id = ask(&mut q, 0, 1, 1, "k").unwrap();
        send(&mut q, 0, id, 0).unwrap();
        assert_eq!(send(&mut q, 10, id, 1).is_ok(), allowed);
        q.retune(&settings(|s| s.hedging = !allowed), &names(), 100);
        assert_eq!(send(&mut q, 20, id, 2).is_ok(), !allowed, "as the settings are now");
    }
}

/// Nothing stands in for a window that no class has.
#[test]
fn without_a_keyed_class_only_the_patience_of_clients_counts() {
    let none = settings(|s| s.classes.iter_mut().for_each(|c| c.semantics = Semantics::Safe));
    assert_eq!((repeat_times(&none), quarantine(&none)), ((0, 60 * SECOND), 60 * SECOND));
    assert_eq!(repeat_times(&settings(|_| ())), (5 * SECOND, 60 * SECOND));
    // A key that came under terms before, in which the class had one, is no key now.
    let mut q = queries(&none);
    ask(&mut q, 0, 1, 1, "k").unwrap();
    assert!(ask(&mut q, 10, 2, 1, "k").is_ok());
    q.retune(&settings(|_| ()), &names(), 100);
    ask(&mut q, 20, 3, 1, "k").unwrap();
    assert!(ask(&mut q, 30, 4, 1, "k").is_err(), "it has one again, and is in hand");
}
