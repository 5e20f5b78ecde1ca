mod adopted;

use super::*;
use brookbend::api::Semantics;
use brookbend::settings::{JsonObject, decode as decode_settings};
use plover_model::query::Names;
use std::sync::Arc;

fn config() -> RequestConfig {
    let settings: serde_json::Value =
        serde_json::from_str(include_str!("../../../model/tests/settings.json")).unwrap();
    let site = decode_settings(&JsonObject::new("settings", settings.as_object().unwrap())).unwrap();
    let names = Names {
        classes: site.class_names,
        tenants: site.tenant_names,
        zones: site.zones,
        ..Names::default()
    };
    RequestConfig { names, settings: Some(site.settings), routes: Arc::default() }
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

/// Returns a configuration in which the first class has these semantics and therefore a new index, 3.
fn config_with_semantics(semantics: Semantics) -> RequestConfig {
    let mut new = config();
    let mut class = new.settings.as_ref().unwrap().classes[0].clone();
    class.semantics = semantics;
    new.settings.as_mut().unwrap().classes.push(class);
    new.names.classes.push("lookup".into());
    new.names.removed_classes = [0].into();
    new
}

/// Returns a configuration in which the first class has these semantics and has been changed `n` times
/// before, each time with a new index.
fn config_with_nth_version(n: usize, semantics: Semantics) -> RequestConfig {
    let mut new = config();
    let settings = new.settings.as_mut().unwrap();
    let mut class = settings.classes[0].clone();
    class.semantics = semantics;
    settings.classes.resize(settings.classes.len() + n + 1, class);
    let removed = (3..3 + n).chain([0]).collect();
    new.names.classes.resize(3 + n + 1, "lookup".into());
    new.names.removed_classes = removed;
    new
}

#[test]
fn added_classes_are_known_at_once_and_removed_ones_for_a_while() {
    let mut history = RequestConfigHistory::new(config());
    let mut new = config();
    new.names.classes[1] = "sell".into();
    history.update(0, new);
    for at in [0, SETTINGS_EFFECTIVE_AFTER, PREVIOUS_CONFIG_LIFETIME - 1] {
        assert_eq!(history.decode(at, &request("sell", true)).unwrap().class, 1, "{at}");
        assert_eq!(history.decode(at, &request("save", true)).unwrap().class, 1, "{at}");
    }
    assert!(history.decode(PREVIOUS_CONFIG_LIFETIME, &request("save", true)).is_err());
    assert!(history.decode(PREVIOUS_CONFIG_LIFETIME, &request("sell", true)).is_ok());
}

#[test]
fn semantics_change_with_the_clients_and_the_stricter_ones_apply_around_the_switch() {
    let old = (0, SETTINGS_EFFECTIVE_AFTER - SWITCH_UNCERTAINTY);
    let new = (SETTINGS_EFFECTIVE_AFTER + SWITCH_UNCERTAINTY, PREVIOUS_CONFIG_LIFETIME - 1);
    for (semantics, stricter) in [(Semantics::Unsafe, 3), (Semantics::Safe, 0)] {
        let mut history = RequestConfigHistory::new(config());
        history.update(0, config_with_semantics(semantics));
        let class = |at| history.decode(at, &request("lookup", true)).unwrap().class;
        assert_eq!([class(old.0), class(old.1), class(new.0), class(new.1)], [0, 0, 3, 3]);
        assert_eq!(
            [
                class(SETTINGS_EFFECTIVE_AFTER - SWITCH_UNCERTAINTY + 1),
                class(SETTINGS_EFFECTIVE_AFTER + SWITCH_UNCERTAINTY - 1)
            ],
            [stricter; 2],
            "{semantics:?}"
        );
    }
}

#[test]
fn requests_without_a_newly_required_key_use_the_previous_configuration() {
    let mut history = RequestConfigHistory::new(config());
    history.update(0, config_with_semantics(Semantics::Keyed { window: 5000.0 }));
    assert_eq!(
        history
            .decode(SETTINGS_EFFECTIVE_AFTER + SWITCH_UNCERTAINTY, &request("lookup", false))
            .unwrap()
            .class,
        0
    );
    assert_eq!(
        history
            .decode(SETTINGS_EFFECTIVE_AFTER + SWITCH_UNCERTAINTY, &request("lookup", true))
            .unwrap()
            .class,
        3
    );
    assert!(history.decode(PREVIOUS_CONFIG_LIFETIME, &request("lookup", false)).is_err());
}

/// Guards against a second announcement shortly after the first, of the same settings or of ones that revert
/// a change, that ends the lifetime of the oldest configuration early.
#[test]
fn a_second_change_does_not_shorten_the_lifetime_of_the_oldest_configuration() {
    let mut history = RequestConfigHistory::new(config());
    let mut new = config();
    new.names.classes[1] = "sell".into();
    history.update(0, new.clone());
    history.update(SETTINGS_EFFECTIVE_AFTER / 4, new.clone());
    assert_eq!(history.decode(SETTINGS_EFFECTIVE_AFTER / 2, &request("save", true)).unwrap().class, 1);
    assert_eq!(history.decode(PREVIOUS_CONFIG_LIFETIME - 1, &request("save", true)).unwrap().class, 1);
    assert!(history.decode(PREVIOUS_CONFIG_LIFETIME, &request("save", true)).is_err());
    // With more changes than are kept, the configuration that clients use is the last one to be dropped.
    let mut history = RequestConfigHistory::new(config());
    (0..20).for_each(|n| history.update(n, new.clone()));
    assert_eq!(history.decode(SETTINGS_EFFECTIVE_AFTER, &request("save", true)).unwrap().class, 1);
    assert!(history.previous.len() <= MAX_PREVIOUS);
}

/// With two changes of the semantics, each configuration applies from its own switch on, and the strictest
/// one around each switch.
#[test]
fn two_changes_have_separate_switches() {
    let mut history = RequestConfigHistory::new(config());
    history.update(0, config_with_semantics(Semantics::Unsafe));
    let mut third = config_with_semantics(Semantics::Unsafe);
    let mut class = third.settings.as_ref().unwrap().classes[0].clone();
    class.semantics = Semantics::Keyed { window: 5000.0 };
    third.settings.as_mut().unwrap().classes.push(class);
    third.names.classes.push("lookup".into());
    third.names.removed_classes = [0, 3].into();
    history.update(SETTINGS_EFFECTIVE_AFTER, third);
    let class = |at| history.decode(at, &request("lookup", true)).unwrap().class;
    assert_eq!(
        [
            class(0),
            class(SETTINGS_EFFECTIVE_AFTER - SWITCH_UNCERTAINTY),
            class(SETTINGS_EFFECTIVE_AFTER - SWITCH_UNCERTAINTY + 1)
        ],
        [0, 0, 3]
    );
    assert_eq!(
        [
            class(SETTINGS_EFFECTIVE_AFTER + SWITCH_UNCERTAINTY),
            class(2 * SETTINGS_EFFECTIVE_AFTER - SWITCH_UNCERTAINTY),
            class(2 * SETTINGS_EFFECTIVE_AFTER)
        ],
        [3, 3, 3]
    );
    assert_eq!(class(2 * SETTINGS_EFFECTIVE_AFTER + SWITCH_UNCERTAINTY), 4);
}

/// Guards against losing a configuration that was replaced soon after its announcement: clients apply it for
/// as long as it was the newest one, only later. Of five configurations 0.4 s apart only the fourth makes the
/// class unsafe.
#[test]
fn each_of_several_configurations_in_quick_succession_applies_in_its_time() {
    const APART: Micros = 400 * MILLI;
    let (keyed, safe) = (Semantics::Keyed { window: 5000.0 }, Semantics::Safe);
    let mut history = RequestConfigHistory::new(config());
    for (n, semantics) in [safe, keyed, safe, Semantics::Unsafe, keyed].into_iter().enumerate() {
        history.update(n as Micros * APART, config_with_nth_version(n, semantics));
    }
    // The fourth configuration has the index that follows those of the site's classes and of three versions.
    let fourth = config().names.classes.len() + 3;
    for at in [3 * APART, 4 * APART - 1].map(|announced_at| announced_at + SETTINGS_EFFECTIVE_AFTER) {
        assert_eq!(history.decode(at, &request("lookup", true)).unwrap().class, fourth, "{at}");
    }
}

/// With more configurations than are kept, all classes are still known, and the strictest version of a class
/// applies to requests that any of the merged ones may apply to.
#[test]
fn merged_configurations_know_all_classes_and_the_strictest_version_of_each_applies() {
    let mut history = RequestConfigHistory::new(config());
    let count = 3 * MAX_PREVIOUS;
    for n in 0..count {
        let semantics = if n == MAX_PREVIOUS { Semantics::Unsafe } else { Semantics::Safe };
        history.update(n as Micros, config_with_nth_version(n, semantics));
    }
    assert!(history.previous.len() <= MAX_PREVIOUS);
    for at in [count as Micros, SETTINGS_EFFECTIVE_AFTER, SETTINGS_EFFECTIVE_AFTER + SWITCH_UNCERTAINTY] {
        let class = history.decode(at, &request("lookup", false)).unwrap().class;
        assert_eq!(class, config().names.classes.len() + MAX_PREVIOUS, "{at}");
    }
    let last = config().names.classes.len() + count - 1;
    let all_over = PREVIOUS_CONFIG_LIFETIME + count as Micros;
    assert_eq!(history.decode(all_over, &request("lookup", false)).unwrap().class, last);
}

/// Clients send rounded portions, so the sum over a wide query may differ from 1 by more than that over a
/// narrow one.
#[test]
fn tolerance_of_the_portion_sum_grows_with_the_number_of_parts() {
    let mut wide = config();
    wide.settings.as_mut().unwrap().shards = 7800;
    let is_accepted = |count: usize, portion: &str| {
        let ranges: Vec<String> =
            (0..count).map(|n| format!("{{\"range\":{n},\"portion\":{portion}}}")).collect();
        let body = format!("{{\"ranges\":[{}],\"predicate\":\"c41e77d0\"}}", ranges.join(","));
        let request = request("lookup", false).map(|_| body.into_bytes());
        wide.decode(&request).map(|(query, _)| query.parts.len()).is_ok()
    };
    // 1/690 and 1/50 rounded to four decimal places, and portions that are further off than rounding
    // explains.
    assert!(is_accepted(690, "0.0014") && is_accepted(690, "0.0015"));
    assert!(is_accepted(50, "0.02") && is_accepted(50, "0.0201") && !is_accepted(50, "0.0203"));
    assert!(!is_accepted(690, "0.0013") && !is_accepted(690, "0.0016"));
}
