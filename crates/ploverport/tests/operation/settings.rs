//! Other settings at SIGHUP.

use crate::rig::{ask, configuration, figures, fleet, send, start, until};
use plover_load::{Answer, Ask};
use plover_standins::{Fault, Program};
use serde_json::{Value, json};
use std::time::Duration;

fn reload(program: &mut Program, text: &str, words: &str) -> String {
    // An event has one line a second.
    std::thread::sleep(Duration::from_millis(1100));
    program.replace_configuration(text).unwrap();
    program.signal("HUP").unwrap();
    program.logged(words).unwrap()
}

/// The settings with `watchlist-save` gone, `screen` there in its place, and `lookup` keyed.
fn other(fleet: &plover_standins::Fleet) -> Value {
    let mut other = configuration(fleet);
    let services = other["settings"]["Services"].as_array_mut().unwrap();
    services[1]["Name"] = json!("screen");
    services[1]["Semantics"] = json!("repeatable");
    services[0]["Semantics"] = json!("by_key");
    other["settings"]["Allowed"]["SendCap"] = json!(1);
    other
}

#[test]
fn classes_join_and_leave_and_queries_end_under_the_class_they_began_with() {
    let fleet = fleet(Duration::ZERO);
    let mut program = start(&fleet, "");
    let to = program.http1;
    fleet.servers().iter().for_each(|s| s.set_fault(Fault::Hang));
    let held =
        send(to, &Ask::new("held", "watchlist-save", &[0]).under("k1").patience(Duration::from_secs(4)));
    until(&program, "in hand", |f| f["outstanding"] == 1);
    fleet.servers().iter().for_each(|s| s.set_fault(Fault::None));
    let other = other(&fleet);
    let line = reload(&mut program, &other.to_string(), "event=reloaded");
    assert!(line.contains("classes=lookup,screen,ranking"), "{line}");
    // The new class is known at once; nobody need name it yet.
    assert!(matches!(ask(to, &Ask::new("s1", "screen", &[0])), Answer::Served(true, _)));
    // One of the class that has left, asked before clients change, is served still.
    assert!(matches!(ask(to, &Ask::new("w1", "watchlist-save", &[1]).under("k2")), Answer::Served(true, _)));
    // Later it is none.
    let mut n = 0;
    while ask(to, &Ask::new(format!("w2{n}"), "watchlist-save", &[1]).under("k3")) != Answer::Failed(404) {
        n += 1;
        std::thread::sleep(Duration::from_millis(20));
    }
    assert_eq!(ask(to, &Ask::new("l1", "lookup", &[0])), Answer::Failed(400), "it needs a key now");
    assert!(matches!(ask(to, &Ask::new("l2", "lookup", &[0]).under("k4")), Answer::Served(true, _)));
    // With one attempt a part, an error is the end of it.
    let sent = fleet.attempts().0;
    fleet.servers().iter().for_each(|s| s.set_fault(Fault::Errors(1)));
    assert!(!matches!(ask(to, &Ask::new("s2", "screen", &[0])), Answer::Served(..)));
    assert_eq!(fleet.attempts().0, sent + 1);
    let (head, _) = held.answer();
    assert!(head.starts_with("HTTP/1.1 200"), "the open query is tried again under its own class: {head}");
    let now = figures(&program);
    assert_eq!(now["results.watchlist-save.succeeded"], 2 + n, "counts of a class that has left stay");
    assert_eq!((now["sighup_applied"], now["outstanding"]), (1, 0));
}

/// Whatever is wrong with a file: nothing of it is taken, and it is counted.
#[test]
fn broken_files_change_nothing() {
    let fleet = fleet(Duration::ZERO);
    let mut program = start(&fleet, "");
    let whole = other(&fleet).to_string();
    let with = |pointer: &str, value: Value| {
        let mut broken = other(&fleet);
        *broken.pointer_mut(pointer).unwrap() = value;
        broken.to_string()
    };
    let without = |pointer: &str, key: &str| {
        let mut broken = other(&fleet);
        broken.pointer_mut(pointer).unwrap().as_object_mut().unwrap().remove(key);
        broken.to_string()
    };
    let broken = [
        (String::new(), "not JSON"),
        (whole[..whole.len() / 2].to_owned(), "not JSON"),
        (without("/settings", "Zones"), "/settings/Zones is missing"),
        (without("/settings/Allowed", "MaxOpen"), "/settings/Allowed/MaxOpen is missing"),
        (with("/settings/Services/0/GiveUp", json!(0)), "GiveUp"),
        (with("/settings/Allowed/SendCap", json!(0)), "SendCap"),
        (with("/settings/Services/2/Name", json!("screen")), "one twice"),
    ];
    let count = broken.len() as u64;
    for (text, words) in broken {
        let line = reload(&mut program, &text, "event=reload_failed");
        assert!(line.contains(words), "{line}");
    }
    let now = figures(&program);
    assert_eq!((now["sighup_applied"], now["sighup_rejected"]), (0, count));
    assert!(!now.contains_key("results.screen.succeeded"));
    assert!(
        matches!(ask(program.http1, &Ask::new("l", "lookup", &[0])), Answer::Served(true, _)),
        "no key needed"
    );
    assert_eq!(ask(program.http1, &Ask::new("s", "screen", &[0])), Answer::Failed(404));
}
