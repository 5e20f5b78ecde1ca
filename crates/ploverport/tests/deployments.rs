//! The whole program over loopback, with the settings of sites that have little in common.

use futures_lite::FutureExt;
use plover_load::{Answer, Ask, Http1};
use plover_standins::books::Rules;
use plover_standins::{Fault, Fleet, Plan, Program, value};
use serde_json::{Value, json};
use std::path::Path;
use std::process::{Command, Stdio};
use std::time::{Duration, Instant};

const BOUND: Duration = Duration::from_secs(60);
const KEYED: &str = include_str!("../../model/tests/sites/keyed.json");
const REPEATABLE: &str = include_str!("../../model/tests/sites/repeatable.json");
/// The text that parts carry.
const TEXT: &str = "c41e77d0";

fn exe() -> &'static Path {
    Path::new(env!("CARGO_BIN_EXE_ploverport"))
}

fn configuration(fleet: &Fleet, settings: &Value) -> Value {
    json!({"name": "n", "listen": "127.0.0.1:0", "discovery": fleet.discovery.to_string(),
        "seed": "8c1f30d27a5be964", "limits": {"sockets": 1024, "memory_mb": 192}, "known": fleet.known(),
        "settings": settings})
}

/// Two servers in each of four cells.
fn start(settings: &Value, reports: bool) -> (Fleet, Program) {
    let plan = Plan { servers: 8, cells: 4, work: Duration::from_millis(5), reports, ..Plan::default() };
    let fleet = Fleet::start(plan).unwrap();
    let program = Program::serve(exe(), &configuration(&fleet, settings), "", None).unwrap();
    (fleet, program)
}

/// Asks on a connection of its own, as a client of this tenant.
fn ask(program: &Program, ask: &Ask, tenant: Option<&str>) -> Answer {
    let mut request = ask.request();
    request.headers_mut().remove("x-tenant");
    if let Some(tenant) = tenant {
        request.headers_mut().insert("x-tenant", tenant.parse().unwrap());
    }
    let late = async {
        async_io::Timer::after(BOUND).await;
        panic!("no answer");
    };
    let answer = async {
        match Http1::connect(program.http1).await.unwrap().send(&request).await {
            Ok(response) => Answer::of(&response),
            Err(error) => Answer::Reset(error.to_string()),
        }
    };
    async_io::block_on(answer.or(late))
}

fn whole(shards: &[usize]) -> Answer {
    Answer::Served(true, shards.iter().map(|s| (*s, value(*s, TEXT))).collect())
}

fn without(settings: &Value, path: &str) -> Value {
    let (parent, key) = path.rsplit_once('/').unwrap();
    let mut settings = settings.clone();
    settings.pointer_mut(parent).unwrap().as_object_mut().unwrap().remove(key).unwrap();
    settings
}

#[test]
fn each_site_is_served_with_and_without_what_it_may_lack() {
    for (site, reports, classes, tenant) in [
        (KEYED, true, &["lookup", "save", "ranking"][..], Some("acme")),
        (REPEATABLE, false, &["search", "page"], None),
    ] {
        let settings: Value = serde_json::from_str(site).unwrap();
        let mut bare = settings.clone();
        for key in ["Projects", "Zones", "Locality", "Clients", "Report", "OverShareWorth"] {
            bare.as_object_mut().unwrap().remove(key);
        }
        for key in ["MaxOpen", "Multiplex", "DialTimeout", "Keepalive", "MaxRetryAfter"] {
            bare["Allowed"][key] = Value::Null;
        }
        for (n, settings) in
            [settings.clone(), bare, without(&settings, "/Allowed/MaxRetryAfter")].iter().enumerate()
        {
            let (fleet, program) = start(settings, reports);
            for (c, class) in classes.iter().enumerate() {
                let mut query = Ask::new(format!("q{n}{c}"), class, &[0, 1, 2, 5]);
                query.key = Some(format!("k{n}{c}"));
                assert_eq!(ask(&program, &query, tenant), whole(&[0, 1, 2, 5]), "{class} {n}");
            }
            let rules = Rules { copies: settings["Allowed"]["SecondCopies"] == true, ..Rules::default() };
            assert_eq!(fleet.books(|b| b.violations(rules)), [""; 0]);
        }
    }
}

#[test]
fn what_a_site_must_give_is_named_when_it_is_not_there() {
    let settings: Value = serde_json::from_str(REPEATABLE).unwrap();
    let fleet = Fleet::start(Plan::default()).unwrap();
    let file = std::env::temp_dir().join(format!("ploverport-deployments-{}.json", std::process::id()));
    for path in ["/Allowed/SendCap", "/FamilyInfo/Width", "/Rules/FallMultiple", "/Services/1/Aim", "/Tick"] {
        std::fs::write(&file, configuration(&fleet, &without(&settings, path)).to_string()).unwrap();
        let mut program = Command::new(exe());
        program.arg("serve").env("RELAY_CONFIG", &file).stdin(Stdio::null()).env_remove("RELAY_LISTEN");
        let output = program.env_remove("RELAY_DISCOVERY").output().unwrap();
        let said = String::from_utf8_lossy(&output.stderr).into_owned();
        let name = path.rsplit('/').next().unwrap();
        assert!(!output.status.success() && said.contains(name), "{path}: {said}");
    }
    std::fs::remove_file(file).unwrap();
}

/// Where second copies are allowed, a server that takes parts and says nothing costs a query neither its answer nor the
/// attempt that is out: both run, three attempts at the most.
#[test]
fn a_second_copy_saves_a_query_from_a_server_that_hangs() {
    let settings: Value = serde_json::from_str(REPEATABLE).unwrap();
    let (fleet, program) = start(&settings, false);
    for n in 0..10 {
        ask(&program, &Ask::new(format!("warm{n}"), "search", &[0, 1, 2, 3]), None);
    }
    fleet.servers()[0].set_fault(Fault::Hang);
    for n in 0..10 {
        let query = Ask::new(format!("q{n}"), "search", &[0, 1, 2, 3]).patience(Duration::from_millis(7500));
        assert_eq!(ask(&program, &query, None), whole(&[0, 1, 2, 3]), "{n}");
    }
    let allowed = Rules { copies: true, attempts: 3, ..Rules::default() };
    assert_eq!(fleet.books(|b| b.violations(allowed)), [""; 0]);
    // The first is given up as soon as its copy is answered.
    let none = Rules { slack: Duration::ZERO, ..Rules::default() };
    let copied = fleet.books(|b| b.violations(none));
    assert!(copied.iter().any(|v| v.contains("two attempts out")), "{copied:?}");
}

/// No constant stands between a patient client and an answer that comes late.
#[test]
fn an_answer_that_takes_six_seconds_comes_to_a_client_that_waits_longer() {
    let mut settings: Value = serde_json::from_str(REPEATABLE).unwrap();
    // A part of it would be answered with first, past the aim.
    settings["FamilyInfo"]["MinShare"] = json!([1.0, 1.0]);
    let (fleet, program) = start(&settings, false);
    fleet.servers().iter().for_each(|s| s.set_fault(Fault::Slow(Duration::from_secs(6))));
    let query = Ask::new("q", "search", &[0, 1, 2]).patience(Duration::from_millis(7500));
    let asked = Instant::now();
    assert_eq!(ask(&program, &query, None), whole(&[0, 1, 2]));
    assert!(asked.elapsed() >= Duration::from_secs(6));
}
