//! Brokers that start beside others, with discovery and lists that are not as they should be.

use crate::rig::{ask, call, configuration, exchange, exe, figures, fleet, until};
use plover_load::{Answer, Ask};
use plover_recovery::{Budget, Kind, Rates};
use plover_standins::{Fleet, Program};
use serde_json::json;
use std::time::{Duration, Instant};

/// Discovery is waited for as long as it takes; all else comes soon.
const PATIENT: &str =
    "come-back-fleet 4\ncome-back-ask 10min\ncome-back-spread 100ms\ncome-back-part 500ms\n";
/// It is waited for shortly.
const HASTY: &str = "come-back-fleet 4\ncome-back-ask 300ms\ncome-back-spread 100ms\ncome-back-part 500ms\n";

fn seed(n: u64) -> u64 {
    0x9e37_79b9 * (n + 1)
}

/// So many brokers of one fleet.
fn brokers(fleet: &Fleet, many: u64, operator: &str) -> Vec<Program> {
    let broker = |n: u64| {
        let mut configuration = configuration(fleet);
        configuration["name"] = json!(format!("n{n}"));
        configuration["seed"] = json!(format!("{:016x}", seed(n)));
        Program::serve(exe(), &configuration, operator, None).unwrap()
    };
    (0..many).map(broker).collect()
}

fn ready(program: &Program) -> bool {
    exchange(program.http1, b"GET /-/ready HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n")
        .starts_with("HTTP/1.1 200")
}

fn served(answer: &Answer) -> bool {
    matches!(answer, Answer::Served(true, _))
}

#[test]
fn while_discovery_is_silent_all_refuse_at_once_and_come_back_with_it() {
    let fleet = fleet(Duration::ZERO);
    fleet.silence_discovery(true);
    let mut programs = brokers(&fleet, 4, PATIENT);
    for (n, program) in programs.iter().enumerate() {
        assert!(!ready(program));
        assert_eq!(call(program, "GET", "/api/ready"), (503, "coming back: asking\n".into()));
        let answer = ask(program.http1, &Ask::new(format!("early{n}"), "lookup", &[0]));
        assert!(matches!(answer, Answer::Refused(Some(_))), "{answer:?}");
        let figures = figures(program);
        assert_eq!(
            (figures["results.lookup.declined"], figures["outstanding"], figures["coming_back"]),
            (1, 0, 1)
        );
    }
    assert_eq!(fleet.attempts().0, 0, "nothing goes by a list that is only remembered");
    fleet.silence_discovery(false);
    for (n, program) in programs.iter_mut().enumerate() {
        program.logged("event=coming_back_listed from=asking").unwrap();
        program.logged("event=coming_back_full").unwrap();
        assert!(ready(program) && call(program, "GET", "/api/ready") == (200, "serving\n".into()));
        assert!(served(&ask(program.http1, &Ask::new(format!("late{n}"), "lookup", &[0]))));
    }
}

#[test]
fn a_list_that_is_a_day_old_revives_no_drained_server() {
    let fleet = fleet(Duration::ZERO);
    // What is known at the start has it active; discovery knows better, and is slow to say so.
    fleet.drain(0);
    fleet.silence_discovery(true);
    let mut programs = brokers(&fleet, 2, PATIENT);
    for (n, program) in programs.iter().enumerate() {
        ask(program.http1, &Ask::new(format!("early{n}"), "lookup", &[0]));
    }
    fleet.silence_discovery(false);
    for (n, program) in programs.iter_mut().enumerate() {
        program.logged("event=coming_back_full").unwrap();
        for k in 0..8 {
            assert!(served(&ask(program.http1, &Ask::new(format!("late{n}-{k}"), "lookup", &[k]))));
        }
    }
    let drained = fleet.servers()[0].name.clone();
    let sent = fleet.books(|books| books.attempts().iter().filter(|a| a.server == drained).count());
    assert_eq!((sent, fleet.attempts().0), (0, 16));
}

#[test]
fn where_discovery_stays_silent_the_remembered_list_serves_after_its_time() {
    let fleet = fleet(Duration::ZERO);
    fleet.silence_discovery(true);
    let mut programs = brokers(&fleet, 1, HASTY);
    let line = programs[0].logged("event=coming_back_listed").unwrap();
    assert!(line.contains("remembered=true"), "{line}");
    programs[0].logged("event=coming_back_full").unwrap();
    assert!(served(&ask(programs[0].http1, &Ask::new("a", "lookup", &[0]))));
}

#[test]
fn a_broker_that_was_killed_on_its_way_begins_anew_and_the_others_serve_on() {
    let fleet = fleet(Duration::ZERO);
    let mut others = brokers(&fleet, 2, PATIENT);
    others.iter_mut().for_each(|p| drop(p.logged("event=coming_back_full").unwrap()));
    fleet.silence_discovery(true);
    for _ in 0..2 {
        let killed = brokers(&fleet, 1, PATIENT);
        assert_eq!(call(&killed[0], "GET", "/api/ready").0, 503);
        drop(killed);
    }
    let mut last = brokers(&fleet, 1, PATIENT);
    for (n, program) in others.iter().enumerate() {
        assert!(served(&ask(program.http1, &Ask::new(format!("o{n}"), "lookup", &[0]))));
    }
    // Emptied and called back meanwhile, it is still not ready.
    assert_eq!(call(&last[0], "PUT", "/api/evacuate").0, 200);
    assert_eq!(call(&last[0], "PUT", "/api/rejoin").0, 200);
    assert!(!ready(&last[0]));
    fleet.silence_discovery(false);
    last[0].logged("event=coming_back_full").unwrap();
    until(&last[0], "full", |f| f["coming_back"] == 4);
    assert!(ready(&last[0]) && served(&ask(last[0].http1, &Ask::new("l", "lookup", &[0]))));
}

#[test]
fn without_the_line_a_broker_serves_at_once() {
    let fleet = fleet(Duration::ZERO);
    fleet.silence_discovery(true);
    let program = brokers(&fleet, 1, "").remove(0);
    assert!(ready(&program) && served(&ask(program.http1, &Ask::new("a", "lookup", &[0]))));
    assert!(!figures(&program).contains_key("coming_back"));
}

/// None asks before the moment that its seed draws, so that hundreds would not ask at once.
#[test]
fn each_asks_for_the_list_at_its_own_moment() {
    let fleet = fleet(Duration::ZERO);
    let begun = Instant::now();
    let operator = "come-back-fleet 40\ncome-back-lists 20\ncome-back-ask 10min\ncome-back-spread 0us\n";
    let mut programs = brokers(&fleet, 4, operator);
    let drawn = |n| {
        let rates = Rates { lists: 20, connections: 1, probes: 1, states: 1 };
        Duration::from_micros(Budget::new(0, seed(n), 40, rates).take(0, Kind::List).err().unwrap_or(0))
    };
    let mut moments: Vec<Duration> = (0..4).map(drawn).collect();
    moments.sort_unstable();
    assert!(moments[3] - moments[0] > Duration::from_millis(500), "{moments:?}");
    programs.iter_mut().for_each(|p| drop(p.logged("event=coming_back_part").unwrap()));
    let asked = fleet.lists_asked();
    assert_eq!(asked.len(), 4, "once each");
    assert!(asked.iter().zip(&moments).all(|(at, moment)| *at - begun >= *moment), "{asked:?} {moments:?}");
}
