//! Every setting that a platform may give, left out, null, and zero: a broker either serves, or ends with an error that
//! names the key. Which of the two is written down here, for two sites that have little in common.

use brookbend::api::NodeState;
use http::Request;
use plover_config::{Config, check};
use plover_core::{Core, Decisions, Query, Report, Verdict};
use plover_model::server::{ListScope, NodeId, Outcome, ServerInfo};
use plover_model::time::{Micros, SECOND};
use plover_routes::Routes;
use serde_json::{Value, json};

const SITES: [(&str, &str); 2] = [
    ("keyed", include_str!("../../model/tests/sites/keyed.json")),
    ("repeatable", include_str!("../../model/tests/sites/repeatable.json")),
];

/// Without these there is no serving: no default could be meant. By the end of the path.
const NEEDED: &[&str] = &[
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
/// Nor without a name; the error names the list.
const NAMED: &[&str] = &["Projects/Name", "Services/Name"];
/// These cannot be zero.
const NOT_ZERO: &[&str] = &[
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

/// All keys, by their pointers, in order.
fn keys(value: &Value, at: &str, found: &mut Vec<String>) {
    let mut inner = |name: &str, value: &Value| {
        let path = format!("{at}/{name}");
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

/// The path without places in lists.
fn plain(path: &str) -> String {
    let words: Vec<&str> = path.split('/').filter(|w| !w.is_empty() && w.parse::<usize>().is_err()).collect();
    words.join("/")
}

fn parent<'a>(settings: &'a mut Value, path: &str) -> (&'a mut serde_json::Map<String, Value>, String) {
    let (parent, name) = path.rsplit_once('/').unwrap();
    (settings.pointer_mut(parent).unwrap().as_object_mut().unwrap(), name.to_owned())
}

fn configuration(settings: &Value) -> Value {
    json!({"name": "n", "listen": "127.0.0.1:1", "discovery": "127.0.0.1:2", "seed": "7", "settings": settings,
        "known": {"rev": 1, "all": true, "targets": []}})
}

/// A request for a class, as clients of the site send it: of several parts, with what the platform may add.
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

/// Runs a query to its end, with servers that answer or say nothing; `None`: it never ends.
fn run(core: &mut Core, now: &mut Micros, query: Query, answered: bool) -> Option<Verdict> {
    let (id, last) = (query.id, query.deadline);
    let mut decisions = core.pick(*now, vec![query]);
    loop {
        if let Some(end) = decisions.finals.iter().find(|f| f.query == id) {
            return Some(end.verdict);
        }
        let sent: Vec<_> = std::mem::take(&mut decisions.dispatches);
        if answered && !sent.is_empty() {
            *now += 20_000;
            let served = |d: plover_core::Dispatch| {
                let (attempt, outcome) = (d.attempt, Outcome::Served);
                Report { attempt, outcome, elapsed: 20_000, load: None, connected: None }
            };
            decisions = core.report(*now, sent.into_iter().map(served).collect());
            continue;
        }
        *now = core.due().max(*now + 5000);
        if *now > last {
            return None;
        }
        decisions = core.tick(*now);
    }
}

/// Asks each class, several times, with seconds between: what is counted by the second is divided by then. Last, nobody
/// answers, and each query ends all the same.
fn serve(config: Config, of: &str) {
    let mut core = Core::new(config.settings.clone(), config.max_open, config.seed).named(&config.names);
    let server = |n: usize| ServerInfo {
        name: NodeId(format!("s{n}").into()),
        cell: n % config.settings.cells,
        state: NodeState::Serving,
        zone: Some(n % 3),
        started: None,
    };
    core.learn(ListScope::Known, (0..8).map(server).collect());
    let (mut now, mut id) = (10_000, 0);
    for round in 0..5 {
        for class in &config.names.classes {
            id += 1;
            let request = request(id, class);
            let ask = plover_query::decode(&request, &config.names, &config.settings, &Routes::default());
            let ask = ask.unwrap_or_else(|reply| panic!("{of}: {class} is answered {reply:?}"));
            let query = Query {
                id,
                class: ask.class,
                tenant: ask.tenant,
                deadline: now + ask.patience,
                limits: ask.limits,
                is_retry: ask.again,
                parts: ask.parts,
            };
            let end = run(&mut core, &mut now, query, round < 4);
            let end = end.unwrap_or_else(|| panic!("{of}: {class} never ends"));
            assert!(round == 4 || matches!(end, Verdict::Answer { .. }), "{of}: {class} ends with {end:?}");
        }
        now += 1200 * 1000;
        let _: Decisions = core.tick(now);
    }
    assert_eq!(core.held(), 0, "{of}");
    assert!(now < 600 * SECOND);
}

fn holds(settings: &Value, of: &str, error: Option<&str>) {
    match (check(&configuration(settings), |_| None), error) {
        (Ok(config), None) => serve(config, of),
        (Ok(_), Some(name)) => panic!("{of}: no error names {name}"),
        (Err(error), Some(name)) if error.contains(name) => {}
        (Err(error), _) => panic!("{of}: {error}"),
    }
}

/// The last word of the path where this list has it.
fn named<'a>(path: &'a str, of: &[&str]) -> Option<&'a str> {
    of.contains(&path).then(|| path.rsplit('/').next().unwrap())
}

#[test]
fn a_setting_that_is_left_out_or_null_has_a_default_or_is_named() {
    for (site, text) in SITES {
        let settings: Value = serde_json::from_str(text).unwrap();
        holds(&settings, site, None);
        let mut paths = Vec::new();
        keys(&settings, "", &mut paths);
        assert!(paths.len() > 70, "{}", paths.len());
        for path in paths {
            let name = plain(&path);
            let keyed = path == "/Services/1/MemorySpan" && site == "keyed";
            let list = NAMED.contains(&name.as_str()).then(|| name.split('/').next().unwrap());
            let error = named(&name, NEEDED).or(list).or(keyed.then_some("MemorySpan"));
            let mut without = settings.clone();
            let (fields, key) = parent(&mut without, &path);
            fields.remove(&key).unwrap();
            holds(&without, &format!("{site} without {path}"), error);
            let mut null = settings.clone();
            let (fields, key) = parent(&mut null, &path);
            fields.insert(key, Value::Null);
            holds(&null, &format!("{site} with null at {path}"), error);
        }
    }
}

#[test]
fn a_setting_that_is_zero_is_served_by_or_named() {
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
            let name = plain(&path);
            let keyed = path == "/Services/1/MemorySpan" && site == "keyed";
            let error = named(&name, NOT_ZERO).or(keyed.then_some("MemorySpan"));
            let mut changed = settings.clone();
            *changed.pointer_mut(&path).unwrap() = zero;
            holds(&changed, &format!("{site} with zero at {path}"), error);
        }
        assert!(zeros > 40, "{zeros}");
    }
}

/// What a site may lack by its nature, all at once, and lists that are there and empty.
#[test]
fn a_site_that_has_none_of_it_is_served() {
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
        holds(&settings, site, None);
        settings["Projects"] = json!([]);
        settings["Zones"] = json!([]);
        holds(&settings, site, None);
        // A span without a ratio rations nothing; a ratio without its span is no rule that could be kept.
        settings["Rules"]["RatioSpan"] = json!(10_000);
        holds(&settings, site, None);
        assert!(check(&configuration(&settings), |_| None).unwrap().settings.budget.is_none());
        settings["Rules"]["RatioSpan"] = Value::Null;
        settings["Rules"]["ExtraRatio"] = json!(0.1);
        holds(&settings, site, Some("RatioSpan"));
    }
}

/// Clients that are told to come back after no time would all be back at once.
#[test]
fn advice_of_no_time_is_none() {
    for (most, advice) in
        [(json!(500.0), Some(500.0)), (json!(0), None), (json!(-1), None), (Value::Null, None)]
    {
        let mut settings: Value = serde_json::from_str(SITES[1].1).unwrap();
        settings["Allowed"]["MaxRetryAfter"] = most;
        let config = check(&configuration(&settings), |_| None).unwrap();
        assert_eq!(config.settings.max_retry_after, advice);
    }
}

/// What no figure can be, of a wrong kind, or against another.
#[test]
fn what_cannot_be_meant_is_named() {
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
        holds(&settings, path, Some(name));
    }
    // Nothing needed is whole with nothing in.
    let mut settings: Value = serde_json::from_str(SITES[0].1).unwrap();
    for key in ["ClassNeed", "MinShare"] {
        settings["FamilyInfo"][key] = json!([0, 0, 0]);
    }
    holds(&settings, "no need", Some("ClassNeed"));
    // Repeats of a class that has no key may be dropped by whom they like.
    let mut settings: Value = serde_json::from_str(SITES[0].1).unwrap();
    settings["Services"][0]["DedupScope"] = json!("cell");
    holds(&settings, "another class", None);
}
