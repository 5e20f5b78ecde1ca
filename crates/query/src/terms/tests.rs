use super::*;
use brookbend::settings::{JsonObject, decode as settings_of};

fn terms() -> Terms {
    let settings: serde_json::Value =
        serde_json::from_str(include_str!("../../../model/tests/settings.json")).unwrap();
    let site = settings_of(&JsonObject::new("settings", settings.as_object().unwrap())).unwrap();
    let names = Names {
        classes: site.class_names,
        tenants: site.tenant_names,
        zones: site.zones,
        ..Names::default()
    };
    Terms { names, settings: Some(site.settings), routes: Arc::default() }
}

fn request(class: &str, key: bool) -> Request<Vec<u8>> {
    let body = br#"{"ranges":[{"range":0,"portion":1}],"predicate":"c41e77d0"}"#.to_vec();
    let mut request = Request::builder().method("POST").uri(format!("/{class}"));
    request = request.header("x-request-id", "q").header("x-tenant", "acme");
    if key {
        request = request.header("idempotency-key", "k");
    }
    request.body(body).unwrap()
}

/// A class with other effects, at a place of its own.
fn changed(semantics: Semantics) -> Terms {
    let mut new = terms();
    let mut class = new.settings.as_ref().unwrap().classes[0].clone();
    class.semantics = semantics;
    new.settings.as_mut().unwrap().classes.push(class);
    new.names.classes.push("lookup".into());
    new.names.classes_left = [0].into();
    new
}

#[test]
fn a_class_that_joins_is_known_at_once_and_one_that_leaves_for_a_while() {
    let mut changing = Changing::new(terms());
    let mut new = terms();
    new.names.classes[1] = "sell".into();
    changing.change(0, new);
    for at in [0, BINDS, OVER - 1] {
        assert_eq!(changing.read(at, &request("sell", true)).unwrap().class, 1, "{at}");
        assert_eq!(changing.read(at, &request("save", true)).unwrap().class, 1, "{at}");
    }
    assert!(changing.read(OVER, &request("save", true)).is_err());
    assert!(changing.read(OVER, &request("sell", true)).is_ok());
}

#[test]
fn effects_change_when_clients_do_and_the_stricter_holds_about_that_moment() {
    let old = (0, BINDS - UNSURE);
    let new = (BINDS + UNSURE, OVER - 1);
    for (semantics, unsure) in [(Semantics::Unsafe, 3), (Semantics::Safe, 0)] {
        let mut changing = Changing::new(terms());
        changing.change(0, changed(semantics));
        let class = |at| changing.read(at, &request("lookup", true)).unwrap().class;
        assert_eq!([class(old.0), class(old.1), class(new.0), class(new.1)], [0, 0, 3, 3]);
        assert_eq!([class(BINDS - UNSURE + 1), class(BINDS + UNSURE - 1)], [unsure; 2], "{semantics:?}");
    }
}

#[test]
fn a_request_without_the_key_that_its_class_has_just_come_to_need_is_of_the_terms_before() {
    let mut changing = Changing::new(terms());
    changing.change(0, changed(Semantics::Keyed { window: 5000.0 }));
    assert_eq!(changing.read(BINDS + UNSURE, &request("lookup", false)).unwrap().class, 0);
    assert_eq!(changing.read(BINDS + UNSURE, &request("lookup", true)).unwrap().class, 3);
    assert!(changing.read(OVER, &request("lookup", false)).is_err());
}

/// A second word within the time of the first, be it the same file once more, or one that takes a class back: whoever asks
/// by the terms before both is read by them, as long as the first word says.
#[test]
fn a_second_change_does_not_end_the_time_of_the_first() {
    let mut changing = Changing::new(terms());
    let mut new = terms();
    new.names.classes[1] = "sell".into();
    changing.change(0, new.clone());
    changing.change(BINDS / 4, new.clone());
    assert_eq!(changing.read(BINDS / 2, &request("save", true)).unwrap().class, 1);
    assert_eq!(changing.read(OVER - 1, &request("save", true)).unwrap().class, 1);
    assert!(changing.read(OVER, &request("save", true)).is_err());
    // More changes than are remembered: what clients go by is the last to be left out.
    let mut changing = Changing::new(terms());
    (0..20).for_each(|n| changing.change(n, new.clone()));
    assert_eq!(changing.read(BINDS, &request("save", true)).unwrap().class, 1);
    assert!(changing.before.len() <= MOST_BEFORE);
}

/// Effects that change twice: each terms hold from their own word on, and about each moment the strictest.
#[test]
fn each_of_two_changes_has_its_own_moment() {
    let mut changing = Changing::new(terms());
    changing.change(0, changed(Semantics::Unsafe));
    let mut third = changed(Semantics::Unsafe);
    let mut class = third.settings.as_ref().unwrap().classes[0].clone();
    class.semantics = Semantics::Keyed { window: 5000.0 };
    third.settings.as_mut().unwrap().classes.push(class);
    third.names.classes.push("lookup".into());
    third.names.classes_left = [0, 3].into();
    changing.change(BINDS, third);
    let class = |at| changing.read(at, &request("lookup", true)).unwrap().class;
    assert_eq!([class(0), class(BINDS - UNSURE), class(BINDS - UNSURE + 1)], [0, 0, 3]);
    assert_eq!([class(BINDS + UNSURE), class(2 * BINDS - UNSURE), class(2 * BINDS)], [3, 3, 3]);
    assert_eq!(class(2 * BINDS + UNSURE), 4);
}

/// Portions are rounded on their way. A wide query has many, so that their sum may miss by more than that of a few.
#[test]
fn portions_of_a_wide_query_may_miss_their_sum_by_what_each_was_rounded() {
    let mut wide = terms();
    wide.settings.as_mut().unwrap().shards = 7800;
    let ask = |count: usize, portion: &str| {
        let ranges: Vec<String> =
            (0..count).map(|n| format!("{{\"range\":{n},\"portion\":{portion}}}")).collect();
        let body = format!("{{\"ranges\":[{}],\"predicate\":\"c41e77d0\"}}", ranges.join(","));
        let request = request("lookup", false).map(|_| body.into_bytes());
        wide.read(&request).map(|ask| ask.parts.len()).is_ok()
    };
    // One in 690, to four digits behind the point; in 50, likewise; and what is no rounding.
    assert!(ask(690, "0.0014") && ask(690, "0.0015"));
    assert!(ask(50, "0.02") && ask(50, "0.0201") && !ask(50, "0.0203"));
    assert!(!ask(690, "0.0013") && !ask(690, "0.0016"));
}
