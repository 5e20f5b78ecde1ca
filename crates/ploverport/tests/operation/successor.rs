//! What a new process beside an old one knows from its first request on: by which settings clients ask.

use crate::rig::{Shared, ask, call, configuration, fleet};
use plover_load::{Answer, Ask};
use plover_standins::{Fault, Fleet, Program};
use serde_json::{Value, json};
use std::io::{Read, Write};
use std::os::unix::net::UnixListener;
use std::time::{Duration, Instant};

/// From SIGHUP on, clients go by the earlier settings for 1.2 s; the broker may be told a little later.
const EARLIER_SETTINGS: Duration = Duration::from_millis(850);
/// By then all clients go by the new ones alone.
const ALL_CHANGED: Duration = Duration::from_millis(2100);
/// How often a round is played anew if the machine was too slow for it.
const ROUNDS: usize = 20;

/// The configuration with these semantics of the class `lookup`.
fn with_lookup(fleet: &Fleet, shared: &Shared, semantics: &str) -> Value {
    let mut configuration = configuration(fleet);
    configuration["listen"] = json!(shared.address().to_string());
    configuration["settings"]["Services"][0]["Semantics"] = json!(semantics);
    configuration
}

/// Replaces a process's file and sends SIGHUP. Returns when that was.
fn reload(program: &Program, configuration: &Value) -> Instant {
    program.replace_configuration(&configuration.to_string()).unwrap();
    program.signal("HUP").unwrap();
    Instant::now()
}

/// Asks a `lookup` of servers that answer every part with an error. Returns the number of attempts.
fn attempts_at_a_failing_part(fleet: &Fleet, shared: &Shared, id: &str) -> usize {
    fleet.servers().iter().for_each(|s| s.set_fault(Fault::Errors(1)));
    let patience = Duration::from_millis(300);
    let answer = ask(shared.address(), &Ask::new(id, "lookup", &[0]).under(id).patience(patience));
    assert!(!matches!(answer, Answer::Served(..)), "{answer:?}");
    fleet.servers().iter().for_each(|s| s.set_fault(Fault::None));
    let part = format!("{id}.0");
    fleet.books(|books| books.attempts().iter().filter(|attempt| attempt.id == part).count())
}

/// Guards against a successor that reads requests by a new file at once, since it began with that file, while
/// clients still go by the one before: a part of a class that runs at most once ran twice. The same after two
/// upgrades in a row.
#[test]
fn a_successor_reads_requests_by_the_settings_that_clients_still_go_by() {
    for upgrades in [1, 2] {
        let shared = Shared::new(&format!("earlier-settings-{upgrades}"));
        let fleet = fleet(Duration::ZERO);
        let (once, relaxed) =
            (with_lookup(&fleet, &shared, "once"), with_lookup(&fleet, &shared, "repeatable"));
        let mut program = shared.start_configured(&once);
        let mut was_in_time = false;
        for round in 0..ROUNDS {
            std::thread::sleep(ALL_CHANGED);
            let told = reload(&program, &relaxed);
            std::thread::sleep(Duration::from_millis(20));
            for _ in 0..upgrades {
                let new = shared.start_configured(&relaxed);
                assert_eq!(call(&new, "GET", "/api/ready").0, 200);
                program.signal("KILL").unwrap();
                program.exit().unwrap();
                program = new;
            }
            let attempts = attempts_at_a_failing_part(&fleet, &shared, &format!("early{round}"));
            if told.elapsed() < EARLIER_SETTINGS {
                assert_eq!(attempts, 1, "a part that may have run is sent again after {upgrades} upgrades");
                was_in_time = true;
                break;
            }
            reload(&program, &once);
        }
        assert!(was_in_time, "the machine is too slow for this test");
        std::thread::sleep(ALL_CHANGED);
        let attempts = attempts_at_a_failing_part(&fleet, &shared, "late");
        assert!(attempts > 1, "clients go by the new file by now: {:?}", program.seen());
        // A file after the upgrade is taken as usual.
        reload(&program, &once);
        std::thread::sleep(ALL_CHANGED);
        assert_eq!(attempts_at_a_failing_part(&fleet, &shared, "after"), 1);
    }
}

/// SIGHUP reaches the old process alone, while both are there: the new one goes by its file too.
#[test]
fn a_file_that_only_the_old_process_was_told_of_binds_its_successor() {
    let shared = Shared::new("told-to-the-old");
    let fleet = fleet(Duration::ZERO);
    let (once, relaxed) = (with_lookup(&fleet, &shared, "once"), with_lookup(&fleet, &shared, "repeatable"));
    let mut old = shared.start_configured(&relaxed);
    let mut new = shared.start_configured(&relaxed);
    assert!(new.seen().iter().any(|l| l.contains("event=configurations_adopted")));
    // An event has one line a second.
    std::thread::sleep(Duration::from_millis(1100));
    let told = reload(&old, &once);
    new.logged("event=configurations_adopted").unwrap();
    old.signal("KILL").unwrap();
    old.exit().unwrap();
    std::thread::sleep(ALL_CHANGED.saturating_sub(told.elapsed()));
    assert_eq!(attempts_at_a_failing_part(&fleet, &shared, "a"), 1);
}

/// SIGHUP to the old process after the new one has read the file: the new one reads it again, since nobody else
/// tells it of what changed.
#[test]
fn a_successor_reads_its_file_again_if_its_predecessor_was_told_to() {
    let shared = Shared::new("pending-reload");
    let fleet = fleet(Duration::ZERO);
    let (once, relaxed) = (with_lookup(&fleet, &shared, "once"), with_lookup(&fleet, &shared, "repeatable"));
    let old = shared.start_configured(&relaxed);
    let mut new = shared.start_configured(&relaxed);
    assert!(new.seen().iter().any(|l| l.contains("event=configurations_adopted")));
    new.replace_configuration(&once.to_string()).unwrap();
    reload(&old, &once);
    new.logged("event=reloaded").unwrap();
    let figures = crate::rig::figures(&new);
    assert_eq!(figures["sighup_applied"], 0, "it was not signalled to itself");
}

/// A process of an earlier release reports no configurations. While it is there, requests are read as strictly
/// as can be, and the hand-over works as before.
#[test]
fn beside_a_process_of_an_earlier_release_requests_are_read_strictly() {
    let shared = Shared::new("earlier-release");
    let fleet = fleet(Duration::ZERO);
    let configuration = with_lookup(&fleet, &shared, "repeatable");
    let name = configuration["name"].as_str().unwrap().as_bytes().to_vec();
    let listener = UnixListener::bind(shared.directory.join("ploverport-1.sock")).unwrap();
    let earlier = std::thread::spawn(move || {
        let (mut stream, _) = listener.accept().unwrap();
        // The greeting without features: name, start time and process id.
        let greeting = [b"PLVH\0\x01", &[name.len() as u8][..], &name, &[1, 1]].concat();
        let state_sent = [0, 0, 0, 1, 1];
        stream.write_all(&(greeting.len() as u32).to_be_bytes()).unwrap();
        stream.write_all(&[greeting, state_sent.to_vec()].concat()).unwrap();
        let mut received = Vec::new();
        let _ = stream.read_to_end(&mut received);
        received
    });
    let mut program = shared.start_configured(&configuration);
    assert!(program.seen().iter().any(|l| l.contains("event=hand_over_joined older=true")));
    assert!(program.seen().iter().any(|l| l.contains("event=configurations_unknown unknown=true")));
    assert_eq!(attempts_at_a_failing_part(&fleet, &shared, "a"), 1);
    let save = Ask::new("b", "watchlist-save", &[0]).under("k");
    assert!(matches!(ask(shared.address(), &save), Answer::Served(true, _)), "keyed classes are served");
    drop(program);
    let received = earlier.join().unwrap();
    let message_kinds = message_kinds(&received);
    assert!(message_kinds.iter().all(|kind| *kind < 8), "only messages that it knows: {message_kinds:?}");
}

/// The kinds of the messages in these frames, without the greeting.
fn message_kinds(mut frames: &[u8]) -> Vec<u8> {
    let mut kinds = Vec::new();
    while let Some((length, rest)) = frames.split_first_chunk::<4>() {
        let (body, rest) = rest.split_at(u32::from_be_bytes(*length) as usize);
        kinds.push(body[0]);
        frames = rest;
    }
    kinds.remove(0);
    kinds
}
