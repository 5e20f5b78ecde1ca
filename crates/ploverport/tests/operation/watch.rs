//! From the list's news to the last part that goes to a server, with a discovery that misbehaves.

use crate::rig::{BOUND, ask, configuration, exe, fleet};
use plover_load::Ask;
use plover_standins::script::{Act, Script, sized};
use plover_standins::{Fleet, Program};
use serde_json::{Value, json};
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::{Duration, Instant};

/// The fleet's list with its first server as said.
fn targets(fleet: &Fleet, state: &str) -> Vec<Value> {
    let mut targets = fleet.known()["targets"].as_array().unwrap().clone();
    targets.iter_mut().filter(|t| t["uid"] == "s0").for_each(|t| t["state"] = json!(state));
    targets
}

fn start(fleet: &Fleet, script: &Script) -> Program {
    let mut configuration = configuration(fleet);
    configuration["discovery"] = json!(script.address.to_string());
    Program::serve(exe(), &configuration, "", None).unwrap()
}

/// Waits for a call that names this version: what the version said was read before.
fn heard(script: &Script, rev: u64) {
    let begun = Instant::now();
    while !script.calls().iter().any(|c| c.target.contains(&format!("index={rev}&"))) {
        assert!(begun.elapsed() < BOUND, "{:?}", script.calls());
        std::thread::sleep(Duration::from_millis(1));
    }
}

/// Under queries all the while: what `drains` does, and how long after it the last part went to the first server. After
/// the broker has heard of it none does.
fn last_part_after(fleet: &Fleet, program: &Program, drains: impl FnOnce() -> Instant) -> Duration {
    let (over, to) = (AtomicBool::new(false), program.http1);
    let to_first = || fleet.books(|b| b.attempts().iter().filter(|a| a.server == "s0").map(|a| a.came).max());
    std::thread::scope(|scope| {
        scope.spawn(|| {
            for n in 0.. {
                if over.load(Ordering::Relaxed) {
                    return;
                }
                ask(to, &Ask::new(format!("q{n}"), "lookup", &[n % 8]));
            }
        });
        let begun = Instant::now();
        while to_first().is_none() {
            assert!(begun.elapsed() < BOUND, "the first server is never asked");
            std::thread::sleep(Duration::from_millis(1));
        }
        let told = drains();
        let last = to_first();
        for n in 0..40 {
            ask(to, &Ask::new(format!("after{n}"), "lookup", &[n % 8]));
        }
        let after = fleet
            .books(|b| b.attempts().iter().filter(|a| a.server == "s0" && a.id.starts_with("after")).count());
        over.store(true, Ordering::Relaxed);
        assert_eq!(after, 0, "nothing new goes to a server that drains");
        last.map_or(Duration::ZERO, |last| last.saturating_duration_since(told))
    })
}

fn told(name: &str, script: &Script, rev: u64, list: Vec<Value>) -> Instant {
    let now = Instant::now();
    script.serve_list(rev, list);
    heard(script, rev);
    println!("{name}: heard after {:?}", now.elapsed());
    now
}

#[test]
fn a_drain_is_heeded_once_it_is_heard_from_a_sound_a_silent_and_another_discovery() {
    let fleet = fleet(Duration::ZERO);
    let first = fleet.known()["rev"].as_u64().unwrap();
    // Sound; the first call on a connection is answered by the list that is known.
    let script = Script::start(vec![], Some((first, targets(&fleet, "active")))).unwrap();
    let program = start(&fleet, &script);
    let drain = || told("sound", &script, first + 1, targets(&fleet, "leaving"));
    println!("sound: last part after {:?}", last_part_after(&fleet, &program, drain));
    drop(program);

    // Half-open from the start; then it answers new calls alone.
    let silent = Script::start(vec![], None).unwrap();
    let program = start(&fleet, &silent);
    let drain = || told("half-open", &silent, first + 1, targets(&fleet, "leaving"));
    println!("half-open: last part after {:?}", last_part_after(&fleet, &program, drain));

    // Moved to one that is half-open too, and speaks later; its versions are others.
    let other = Script::start(vec![Act::Silence, Act::Silence, Act::Silence], None).unwrap();
    silent.serve_list(first + 2, targets(&fleet, "active"));
    heard(&silent, first + 2);
    let mut configuration = configuration(&fleet);
    configuration["discovery"] = json!(other.address.to_string());
    program.replace_configuration(&configuration.to_string()).unwrap();
    program.signal("HUP").unwrap();
    let begun = Instant::now();
    while other.calls().is_empty() {
        assert!(begun.elapsed() < BOUND);
        std::thread::sleep(Duration::from_millis(1));
    }
    let drain = || told("moved", &other, 1, targets(&fleet, "leaving"));
    println!("moved: last part after {:?}", last_part_after(&fleet, &program, drain));
    assert!(!other.calls()[0].target.contains('?'), "another discovery's changes say nothing");
    // A faulty list changes nothing of that.
    drop(program);
    let garbles = Script::start(vec![Act::Say(sized("{\"rev\":")); 3], None).unwrap();
    let program = start(&fleet, &garbles);
    let drain = || told("garbage", &garbles, first + 1, targets(&fleet, "left"));
    println!("garbage: last part after {:?}", last_part_after(&fleet, &program, drain));
}
