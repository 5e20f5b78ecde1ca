//! Checks every setting of a platform when it is missing, null or zero: a broker must either serve queries or
//! end with an error that names the key. The expected result of each setting is listed here, for two very
//! different sites.

use brookbend::api::NodeState;
use http::Request;
use plover_config::{Config, check};
use plover_core::{Core, Decisions, Query, Report, Verdict};
use plover_model::server::{ListScope, NodeId, Outcome, ServerInfo};
use plover_model::time::{Micros, SECOND};
use plover_routes::CompiledRoutes;
use serde_json::{Value, json};

const SITES: [(&str, &str); 2] = [
    ("keyed", include_str!("../../model/tests/sites/keyed.json")),
    ("repeatable", include_str!("../../model/tests/sites/repeatable.json")),
];

/// Settings that are required because they have no sensible default. The last segment of the path is the key
/// that the error names.
const REQUIRED: &[&str] = &[
    "Allowed",
    "Allowed/SendCap",
    "FamilyInfo",
    "FamilyInfo/Batch",
    "FamilyInfo/Call",
    "FamilyInfo/ClassNeed",
    "FamilyInfo/FetchParts",
    "FamilyInfo/MinShare",
    "FamilyInfo/PartialEarns",
    "FamilyInfo/Positions",
    "FamilyInfo/Shards",
    "FamilyInfo/Width",
    "MembershipMode",
    "PeersTotal",
    "Projects/QuotaPerS",
    "Rules",
    "Rules/Cold",
    "Rules/ColdFrom",
    "Rules/Fall",
    "Rules/FallMultiple",
    "Rules/RatioSpan",
    "Services",
    "Services/Aim",
    "Services/Gain",
    "Services/GiveUp",
    "Services/LateWorth",
    "Services/Semantics",
    "Tick",
];
/// Names that are required. The error names the list that they belong to.
const REQUIRED_NAMES: &[&str] = &["Projects/Name", "Services/Name"];
/// Settings that must not be zero.
const NONZERO: &[&str] = &[
    "Allowed/DialTimeout",
    "Allowed/Keepalive",
    "Allowed/MaxOpen",
    "Allowed/Multiplex",
    "Allowed/SendCap",
    "FamilyInfo/Batch",
    "FamilyInfo/ClassNeed",
    "FamilyInfo/Positions",
    "FamilyInfo/Shards",
    "FamilyInfo/Width",
    "PeersTotal",
    "Rules/Fall",
    "Rules/FallMultiple",
    "Rules/RatioSpan",
    "Services/Aim",
    "Services/GiveUp",
    "Tick",
];

/// Collects the JSON pointers of all keys, in order.
fn keys(value: &Value, prefix: &str, found: &mut Vec<String>) {
    let mut inner = |name: &str, value: &Value| {
        let path = format!("{prefix}/{name}");
        keys(value, &path, found);
        path
    };
    match value {
        Value::Object(fields) => {
            let paths: Vec<String> = fields.iter().map(|(name, value)| inner(name, value)).collect();
            found.extend(paths);
        }
        Value::Array(items) if items.iter().any(Value::is_object) => {
            items.iter().enumerate().for_each(|(i, value)| _ = inner(&i.to_string(), value));
        }
        _ => {}
    }
}

/// Returns the path without list indices.
fn without_indices(path: &str) -> String {
    let segments: Vec<&str> =
        path.split('/').filter(|s| !s.is_empty() && s.parse::<usize>().is_err()).collect();
    segments.join("/")
}

fn parent<'a>(settings: &'a mut Value, path: &str) -> (&'a mut serde_json::Map<String, Value>, String) {
    let (parent, name) = path.rsplit_once('/').unwrap();
    (settings.pointer_mut(parent).unwrap().as_object_mut().unwrap(), name.to_owned())
}

fn configuration(settings: &Value) -> Value {
    json!({"name": "n", "listen": "127.0.0.1:1", "discovery": "127.0.0.1:2", "seed": "7", "settings": settings,
        "known": {"rev": 1, "all": true, "targets": []}})
}

/// Returns a request for a class as clients of the site send it, with several parts and with headers that the
/// platform may add.
fn request(n: u64, class: &str) -> Request<Vec<u8>> {
    let ranges: Vec<Value> = [0, 1, 2, 5]
        .into_iter()
        .map(|range| json!({"range": range, "portion": 0.25, "price": 90_000, "hash": "c41e77d0c41e77d0"}))
        .collect();
    Request::post(format!("/{class}"))
        .header("x-request-id", format!("r{n}"))
        .header("x-class", class)
        .header("x-tenant", "acme")
        .header("x-key", "7f3a9c21e0b4d655")
        .header("x-deadline", "2000m")
        .header("idempotency-key", format!("k{n}"))
        .body(json!({"ranges": ranges, "predicate": "c41e77d0"}).to_string().into_bytes())
        .unwrap()
}

/// Runs a query to its end, with servers that all answer or that never answer. Returns `None` if the query
/// never ends.
fn run(core: &mut Core, now: &mut Micros, query: Query, answered: bool) -> Option<Verdict> {
    let (id, deadline) = (query.id, query.deadline);
    let mut decisions = core.pick(*now, vec![query]);
    loop {
        if let Some(end) = decisions.completions.iter().find(|c| c.query == id) {
            return Some(end.verdict);
        }
        let sent: Vec<_> = std::mem::take(&mut decisions.dispatches);
        if answered && !sent.is_empty() {
            *now += 20_000;
            let served = |d: plover_core::Dispatch| {
                let (attempt, outcome) = (d.attempt, Outcome::Served);
                Report { attempt, outcome, elapsed: 20_000, load: None, connected_at: None }
            };
            decisions = core.report(*now, sent.into_iter().map(served).collect());
            continue;
        }
        *now = core.next_tick_at().max(*now + 5000);
        if *now > deadline {
            return None;
        }
        decisions = core.tick(*now);
    }
}

/// Sends queries of each class several times, with seconds between, so that rates per second are computed. In
/// the last round no server answers, and each query must still end.
fn serve(config: Config, case: &str) {
    let mut core = Core::new(config.settings.clone(), config.max_open, config.seed).with_names(&config.names);
    let server = |n: usize| ServerInfo {
        name: NodeId(format!("s{n}").into()),
        cell: n % config.settings.cells,
        state: NodeState::Serving,
        zone: Some(n % 3),
        started_at: None,
    };
    core.update_servers(ListScope::Cached, (0..8).map(server).collect());
    let (mut now, mut id) = (10_000, 0);
    for round in 0..5 {
        for class in &config.names.classes {
            id += 1;
            let request = request(id, class);
            let decoded =
                plover_query::decode(&request, &config.names, &config.settings, &CompiledRoutes::default());
            let decoded = decoded.unwrap_or_else(|reply| panic!("{case}: {class} is answered {reply:?}"));
            let query = Query {
                id,
                class: decoded.class,
                tenant: decoded.tenant,
                deadline: now + decoded.client_timeout,
                limits: decoded.limits,
                is_retry: decoded.is_retry,
                parts: decoded.parts,
            };
            let end = run(&mut core, &mut now, query, round < 4);
            let end = end.unwrap_or_else(|| panic!("{case}: {class} never ends"));
            assert!(round == 4 || matches!(end, Verdict::Answer { .. }), "{case}: {class} ends with {end:?}");
        }
        now += 1200 * 1000;
        let _: Decisions = core.tick(now);
    }
    assert_eq!(core.units_in_use(), 0, "{case}");
    assert!(now < 600 * SECOND);
}

/// Checks that the settings serve queries, or fail with an error that names this key.
fn assert_serves_or_fails(settings: &Value, case: &str, error: Option<&str>) {
    match (check(&configuration(settings), |_| None), error) {
        (Ok(config), None) => serve(config, case),
        (Ok(_), Some(name)) => panic!("{case}: no error names {name}"),
        (Err(error), Some(name)) if error.contains(name) => {}
        (Err(error), _) => panic!("{case}: {error}"),
    }
}

/// Returns the last segment of the path if the list contains the path.
fn listed_key<'a>(path: &'a str, list: &[&str]) -> Option<&'a str> {
    list.contains(&path).then(|| path.rsplit('/').next().unwrap())
}

#[test]
fn a_missing_or_null_setting_has_a_default_or_an_error() {
    for (site, text) in SITES {
        let settings: Value = serde_json::from_str(text).unwrap();
        assert_serves_or_fails(&settings, site, None);
        let mut paths = Vec::new();
        keys(&settings, "", &mut paths);
        assert!(paths.len() > 70, "{}", paths.len());
        for path in paths {
            let name = without_indices(&path);
            let keyed = path == "/Services/1/MemorySpan" && site == "keyed";
            let list = REQUIRED_NAMES.contains(&name.as_str()).then(|| name.split('/').next().unwrap());
            let error = listed_key(&name, REQUIRED).or(list).or(keyed.then_some("MemorySpan"));
            let mut without = settings.clone();
            let (fields, key) = parent(&mut without, &path);
            fields.remove(&key).unwrap();
            assert_serves_or_fails(&without, &format!("{site} without {path}"), error);
            let mut null = settings.clone();
            let (fields, key) = parent(&mut null, &path);
            fields.insert(key, Value::Null);
            assert_serves_or_fails(&null, &format!("{site} with null at {path}"), error);
        }
    }
}

#[test]
fn a_zero_setting_is_valid_or_an_error() {
    for (site, text) in SITES {
        let settings: Value = serde_json::from_str(text).unwrap();
        let mut paths = Vec::new();
        keys(&settings, "", &mut paths);
        let mut zeros = 0;
        for path in paths {
            let zero = match settings.pointer(&path).unwrap() {
                Value::Number(_) => json!(0),
                Value::Array(items) if items.iter().all(Value::is_number) => json!(vec![0; items.len()]),
                _ => continue,
            };
            zeros += 1;
            let name = without_indices(&path);
            let keyed = path == "/Services/1/MemorySpan" && site == "keyed";
            let error = listed_key(&name, NONZERO).or(keyed.then_some("MemorySpan"));
            let mut changed = settings.clone();
            *changed.pointer_mut(&path).unwrap() = zero;
            assert_serves_or_fails(&changed, &format!("{site} with zero at {path}"), error);
        }
        assert!(zeros > 40, "{zeros}");
    }
}

/// Checks a site without all optional settings at once, and with empty lists.
#[test]
fn optional_settings_may_all_be_missing() {
    for (site, text) in SITES {
        let mut settings: Value = serde_json::from_str(text).unwrap();
        for key in ["Projects", "Zones", "Locality", "OverShareWorth", "Clients", "Report", "Tariffs", "Goal"]
        {
            settings.as_object_mut().unwrap().remove(key);
        }
        for key in ["RatioSpan", "ExtraRatio", "SpareAttempts", "AskWithin"] {
            settings["Rules"].as_object_mut().unwrap().remove(key);
        }
        settings["Allowed"]["MaxRetryAfter"] = Value::Null;
        for service in settings["Services"].as_array_mut().unwrap() {
            service["Semantics"] = json!("repeatable");
            service.as_object_mut().unwrap().remove("MemorySpan");
        }
        assert_serves_or_fails(&settings, site, None);
        settings["Projects"] = json!([]);
        settings["Zones"] = json!([]);
        assert_serves_or_fails(&settings, site, None);
        // A span without a ratio limits nothing. A ratio without its span is an error, since it has no
        // defined meaning.
        settings["Rules"]["RatioSpan"] = json!(10_000);
        assert_serves_or_fails(&settings, site, None);
        assert!(check(&configuration(&settings), |_| None).unwrap().settings.budget.is_none());
        settings["Rules"]["RatioSpan"] = Value::Null;
        settings["Rules"]["ExtraRatio"] = json!(0.1);
        assert_serves_or_fails(&settings, site, Some("RatioSpan"));
    }
}

/// Guards against clients that all retry at once because the advised time is zero.
#[test]
fn a_retry_time_of_zero_is_not_advised() {
    for (max_retry_after, expected) in
        [(json!(500.0), Some(500.0)), (json!(0), None), (json!(-1), None), (Value::Null, None)]
    {
        let mut settings: Value = serde_json::from_str(SITES[1].1).unwrap();
        settings["Allowed"]["MaxRetryAfter"] = max_retry_after;
        let config = check(&configuration(&settings), |_| None).unwrap();
        assert_eq!(config.settings.max_retry_after, expected);
    }
}

/// Checks values that are out of range, of a wrong type, or in contradiction to another setting.
#[test]
fn invalid_values_are_errors() {
    for (path, value, name) in [
        ("/WorthBy", json!("weight"), "WorthBy"),
        ("/MembershipMode", json!("carrier"), "MembershipMode"),
        ("/OverShareWorth", json!(-1), "OverShareWorth"),
        ("/PeersTotal", json!(1.5), "PeersTotal"),
        ("/FamilyInfo/Call", json!(-1), "Call"),
        ("/FamilyInfo/ClassNeed", json!([0.4, 0.4, 0.4]), "MinShare"),
        ("/FamilyInfo/Width", json!("1"), "Width"),
        ("/Projects/0/QuotaPerS", json!(-1), "QuotaPerS"),
        ("/Rules/ExtraRatio", json!(-0.1), "ExtraRatio"),
        ("/Rules/RatioSpan", json!(-1), "RatioSpan"),
        ("/Services/1/DedupScope", json!("cell"), "DedupScope"),
        ("/Allowed/SecondCopies", json!(1), "SecondCopies"),
        ("/Zones", json!("x"), "Zones"),
    ] {
        let mut settings: Value = serde_json::from_str(SITES[0].1).unwrap();
        *settings.pointer_mut(path).unwrap() = value;
        assert_serves_or_fails(&settings, path, Some(name));
    }
    // If no share of the parts is needed, an answer without any part would count as complete.
    let mut settings: Value = serde_json::from_str(SITES[0].1).unwrap();
    for key in ["ClassNeed", "MinShare"] {
        settings["FamilyInfo"][key] = json!([0, 0, 0]);
    }
    assert_serves_or_fails(&settings, "no need", Some("ClassNeed"));
    // The scope of deduplication has no effect for a class without idempotency keys.
    let mut settings: Value = serde_json::from_str(SITES[0].1).unwrap();
    settings["Services"][0]["DedupScope"] = json!("cell");
    assert_serves_or_fails(&settings, "another class", None);
}
