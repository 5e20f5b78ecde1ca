//! A new process beside the old one: one broker for rules and limits, and no request lost at the door.

use crate::rig::{Shared, ask, call, configuration, exe, fleet, send, until};
use plover_load::{Answer, Ask};
use plover_standins::books::Rules;
use plover_standins::{Fault, Fleet, Program};
use std::io::{Read, Write};
use std::net::SocketAddr;
use std::os::unix::net::UnixListener;
use std::process::{Command, Stdio};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::time::Duration;

fn save(id: &str, key: &str) -> Ask {
    Ask::new(id, "watchlist-save", &[0]).under(key)
}

fn fault(fleet: &Fleet, fault: Fault) {
    fleet.servers().iter().for_each(|s| s.set_fault(fault));
}

/// Which process takes a connection is the system's choice: asks until one of these answers comes.
fn ask_until(
    to: SocketAddr,
    name: &str,
    query: impl Fn(String) -> Ask,
    is: impl Fn(&Answer) -> bool,
) -> Answer {
    let begun = std::time::Instant::now();
    for n in 0.. {
        let answer = ask(to, &query(format!("{name}{n}")));
        if is(&answer) {
            return answer;
        }
        assert!(begun.elapsed() < crate::rig::BOUND, "never; last {answer:?}");
        std::thread::sleep(Duration::from_millis(20));
    }
    unreachable!()
}

/// Starts the new one and has the old one leave, under clients that open a connection for each query: every one is
/// answered, and data servers see nothing that a rule forbids.
#[test]
fn no_request_ends_at_the_door() {
    let shared = Shared::new("door");
    let fleet = fleet(Duration::from_millis(5));
    let mut old = shared.start(&fleet);
    let (stop, bad, done) =
        (Arc::new(AtomicBool::new(false)), Arc::new(AtomicUsize::new(0)), Arc::new(AtomicUsize::new(0)));
    let to = shared.address();
    let clients: Vec<_> = (0..4)
        .map(|c| {
            let (stop, bad, done) = (stop.clone(), bad.clone(), done.clone());
            std::thread::spawn(move || {
                for n in 0.. {
                    if stop.load(Ordering::Relaxed) {
                        return;
                    }
                    let query = if n % 3 == 0 {
                        save(&format!("c{c}-{n}"), &format!("k{c}-{n}"))
                    } else {
                        Ask::new(format!("c{c}-{n}"), "lookup", &[0, 1])
                    };
                    match ask(to, &query) {
                        Answer::Served(true, _) => _ = done.fetch_add(1, Ordering::Relaxed),
                        answer => {
                            eprintln!("{}: {answer:?}", query.id);
                            bad.fetch_add(1, Ordering::Relaxed);
                        }
                    }
                }
            })
        })
        .collect();
    let served = |n: usize| {
        let from = done.load(Ordering::Relaxed);
        while done.load(Ordering::Relaxed) < from + n {
            assert!(bad.load(Ordering::Relaxed) == 0 || done.load(Ordering::Relaxed) > 0);
            std::thread::sleep(Duration::from_millis(1));
        }
    };
    served(20);
    for _ in 0..3 {
        let new = shared.start(&fleet);
        assert_eq!(call(&new, "GET", "/api/ready").0, 200);
        served(20);
        old.signal("TERM").unwrap();
        assert!(old.exit().unwrap().success());
        old = new;
        served(20);
    }
    stop.store(true, Ordering::Relaxed);
    clients.into_iter().for_each(|c| c.join().unwrap());
    assert_eq!(bad.load(Ordering::Relaxed), 0, "of {}", done.load(Ordering::Relaxed));
    let violations = fleet.books(|b| b.violations(Rules::default()));
    assert!(violations.is_empty(), "{violations:#?}");
}

/// A key in hand at the old process is in hand of the broker: whichever process its repeat reaches, it is put off, and so
/// it is when the old one is killed in the middle. Before the new one knew, it sent the part a second time.
#[test]
fn keys_are_known_by_both_and_outlive_the_old_one() {
    let shared = Shared::new("keys");
    let fleet = fleet(Duration::ZERO);
    let mut old = shared.start(&fleet);
    fault(&fleet, Fault::Hang);
    let _first = send(shared.address(), &save("a", "k1").patience(Duration::from_secs(4)));
    while fleet.attempts().0 < 1 {
        std::thread::sleep(Duration::from_millis(1));
    }
    // What was in hand before the new one came is told to it, and what comes while both are there.
    let mut new = shared.start(&fleet);
    assert!(new.seen().iter().any(|l| l.contains("event=hand_over_joined older=true")));
    old.logged("event=hand_over_joined older=false").unwrap();
    fault(&fleet, Fault::None);
    for n in 0..20 {
        let answer = ask(shared.address(), &save(&format!("b{n}"), "k1"));
        assert!(matches!(answer, Answer::Refused(_)), "{n}: {answer:?}");
    }
    old.signal("KILL").unwrap();
    new.logged("event=hand_over_ended").unwrap();
    let answer = ask(shared.address(), &save("c", "k1"));
    assert!(matches!(answer, Answer::Refused(_)), "its attempt may run still: {answer:?}");
    assert!(
        matches!(ask(shared.address(), &save("d", "k2")), Answer::Served(true, _)),
        "other keys are served"
    );
    assert!(
        matches!(ask(shared.address(), &Ask::new("a", "lookup", &[0])), Answer::Served(true, _)),
        "the id is free"
    );
}

/// What comes while both are there is known to the other before its part goes out.
#[test]
fn a_key_that_comes_to_either_is_in_hand_of_both() {
    let shared = Shared::new("either");
    let fleet = fleet(Duration::ZERO);
    let mut old = shared.start(&fleet);
    let _new = shared.start(&fleet);
    old.logged("event=hand_over_joined older=false").unwrap();
    fault(&fleet, Fault::Hang);
    let _first = send(shared.address(), &save("a", "k1").patience(Duration::from_secs(4)));
    while fleet.attempts().0 < 1 {
        std::thread::sleep(Duration::from_millis(1));
    }
    fault(&fleet, Fault::None);
    for n in 0..40 {
        let answer = ask(shared.address(), &save(&format!("b{n}"), "k1"));
        assert!(matches!(answer, Answer::Refused(_)), "{n}: {answer:?}");
    }
}

/// One that is to come back in step with its fleet begins at once where its old process serves: it was never away.
#[test]
fn a_new_one_beside_one_that_serves_is_not_coming_back() {
    let shared = Shared::new("not-back");
    let fleet = fleet(Duration::ZERO);
    let _old = shared.start(&fleet);
    fleet.silence_discovery(true);
    let new = shared.start_with(&fleet, "come-back-fleet 4\ncome-back-ask 10min\n");
    assert_eq!(call(&new, "GET", "/api/ready"), (200, "serving\n".into()));
}

/// An id in hand at one process is refused by the other.
#[test]
fn an_id_is_in_hand_once() {
    let shared = Shared::new("ids");
    let fleet = fleet(Duration::ZERO);
    let old = shared.start(&fleet);
    fault(&fleet, Fault::Hang);
    let _held = send(shared.address(), &Ask::new("same", "lookup", &[0]));
    until(&old, "in hand", |f| f["outstanding"] == 1);
    let mut new = shared.start(&fleet);
    assert!(new.seen().iter().any(|l| l.contains("event=hand_over_joined")));
    for _ in 0..20 {
        assert_eq!(ask(shared.address(), &Ask::new("same", "lookup", &[1])), Answer::Failed(400));
    }
}

/// A new one that dies before or after its yes, a third that starts, and two that are told to end: whoever is left serves
/// all classes, keyed ones too.
#[test]
fn processes_come_and_go() {
    let shared = Shared::new("third");
    let fleet = fleet(Duration::ZERO);
    let mut old = shared.start(&fleet);
    let new = shared.start(&fleet);
    old.logged("event=hand_over_joined").unwrap();
    drop(new); // killed
    old.logged("event=hand_over_ended alive=false").unwrap();
    assert!(matches!(ask(shared.address(), &save("a", "k1")), Answer::Served(true, _)));
    let (mut second, mut third) = (shared.start(&fleet), shared.start(&fleet));
    assert!(third.seen().iter().any(|l| l.contains("event=hand_over_joined")));
    let answer = ask_until(
        shared.address(),
        "b",
        |id| save(&id, &format!("key-{id}")),
        |a| matches!(a, Answer::Served(..)),
    );
    assert!(matches!(answer, Answer::Served(true, _)));
    for program in [&mut old, &mut second] {
        program.signal("TERM").unwrap();
    }
    assert!(old.exit().unwrap().success() && second.exit().unwrap().success());
    assert!(matches!(ask(shared.address(), &save("c", "k3")), Answer::Served(true, _)));
    let _ = &third;
}

/// Garbage, stale sockets, links and files in the directory, and none that can be written: it starts and serves.
#[test]
fn what_lies_in_the_directory_does_no_harm() {
    let shared = Shared::new("garbage");
    let at = |name: &str| shared.directory.join(name);
    std::fs::write(at("ploverport-1.sock"), b"garbage").unwrap();
    drop(UnixListener::bind(at("ploverport-2.sock")).unwrap());
    std::os::unix::fs::symlink("/nonexistent", at("ploverport-3.sock")).unwrap();
    std::fs::create_dir(at("ploverport-4.sock")).unwrap();
    let fleet = fleet(Duration::ZERO);
    let program = shared.start(&fleet);
    assert!(matches!(ask(shared.address(), &save("a", "k1")), Answer::Served(true, _)));
    assert!(!at("ploverport-2.sock").exists(), "a socket of nobody is cleared away");
    assert!(at("ploverport-1.sock").exists() && at("ploverport-4.sock").exists());
    drop(program);
    let gone = Shared::new("gone");
    std::fs::remove_dir_all(&gone.directory).unwrap();
    let _program = gone.start(&fleet);
    assert!(matches!(ask(gone.address(), &save("b", "k2")), Answer::Served(true, _)));
}

/// A neighbour of another version, and one that says nothing: nobody knows what they send. Keyed classes wait while they
/// live; the others are served.
#[test]
fn a_stranger_beside_us_holds_back_keyed_classes_alone() {
    for (name, greeting) in [("version", &b"\0\0\0\x06PLVH\0\x63"[..]), ("silent", &b""[..])] {
        let shared = Shared::new(name);
        let listener = UnixListener::bind(shared.directory.join("ploverport-1.sock")).unwrap();
        let stranger = std::thread::spawn(move || {
            let (mut stream, _) = listener.accept().unwrap();
            stream.write_all(greeting).unwrap();
            let mut all = Vec::new();
            let _ = stream.read_to_end(&mut all);
        });
        let fleet = fleet(Duration::ZERO);
        let program = shared.start(&fleet);
        assert!(
            matches!(ask(shared.address(), &Ask::new("a", "lookup", &[0])), Answer::Served(true, _)),
            "{name}"
        );
        assert!(matches!(ask(shared.address(), &save("b", "k1")), Answer::Refused(Some(_))), "{name}");
        assert_eq!(fleet.attempts().0, 1);
        drop(program);
        stranger.join().unwrap();
    }
}

/// A process that stands still takes nothing: the new one is ready in time all the same, and sends no keyed part.
#[test]
fn an_old_one_that_stands_still_does_not_hold_up_the_new_one() {
    let shared = Shared::new("stopped");
    let fleet = fleet(Duration::ZERO);
    let old = shared.start(&fleet);
    old.signal("STOP").unwrap();
    let new = shared.start(&fleet);
    assert_eq!(call(&new, "GET", "/api/ready").0, 200);
    // The one that stands still takes no connection from the queue: the new one takes them all.
    assert!(matches!(ask(shared.address(), &Ask::new("a", "lookup", &[0])), Answer::Served(true, _)));
    assert!(matches!(ask(shared.address(), &save("b", "k1")), Answer::Refused(Some(_))));
    old.signal("CONT").unwrap();
}

/// What is handed in must be a listening socket of the address that is configured.
#[test]
fn a_descriptor_that_is_no_such_socket_is_told() {
    let fleet = fleet(Duration::ZERO);
    let directory = std::env::temp_dir().join(format!("ploverport-{}-fd", std::process::id()));
    std::fs::create_dir_all(&directory).unwrap();
    let file = directory.join("config.json");
    std::fs::write(&file, configuration(&fleet).to_string()).unwrap();
    for (fd, words) in [
        ("3", "RELAY_FD: descriptor 3"),
        ("0", "is no listening socket"),
        ("x", "is not the number of a descriptor"),
    ] {
        let output = Command::new(exe())
            .env("RELAY_CONFIG", &file)
            .env("RELAY_FD", fd)
            .env_remove("RELAY_LISTEN")
            .env_remove("RELAY_DISCOVERY")
            .stdin(Stdio::null())
            .output()
            .unwrap();
        let log = String::from_utf8_lossy(&output.stderr);
        assert!(!output.status.success() && log.contains(words), "{fd}: {log}");
    }
    std::fs::remove_dir_all(directory).unwrap();
}

/// An upgrade while the broker is emptied: the new process takes clients, the old one stays empty until it ends.
#[test]
fn an_upgrade_of_an_emptied_broker() {
    let shared = Shared::new("emptied");
    let fleet = fleet(Duration::ZERO);
    let mut old = shared.start(&fleet);
    assert_eq!(call(&old, "PUT", "/api/evacuate").0, 200);
    let new: Program = shared.start(&fleet);
    assert_eq!((call(&old, "GET", "/api/ready").0, call(&new, "GET", "/api/ready").0), (503, 200));
    old.signal("HUP").unwrap();
    old.logged("event=reloaded").unwrap();
    old.signal("TERM").unwrap();
    assert!(old.exit().unwrap().success());
    assert!(matches!(ask(shared.address(), &save("a", "k1")), Answer::Served(true, _)));
}

/// A request that is half written when its process is told to end is answered by it; SIGHUP to both meanwhile, and a
/// discovery that says nothing, change nothing about that, nor about what the new one serves.
#[test]
fn what_is_half_written_at_the_change_is_answered() {
    let shared = Shared::new("half");
    let fleet = fleet(Duration::ZERO);
    let mut old = shared.start(&fleet);
    let body = r#"{"ranges":[{"range":0,"portion":1}],"predicate":"c41e77d0"}"#;
    let mut half = std::net::TcpStream::connect(shared.address()).unwrap();
    let head = format!(
        "POST /lookup HTTP/1.1\r\nHost: a\r\nX-Request-Id: half\r\nX-Tenant: public-site\r\nContent-Length: {}\r\n\r\n",
        body.len()
    );
    half.write_all(head.as_bytes()).unwrap();
    // The old one has it in hand: it is the only one there, and answers who came later.
    assert!(matches!(ask(shared.address(), &Ask::new("a", "lookup", &[0])), Answer::Served(true, _)));
    fleet.silence_discovery(true);
    let mut new = shared.start(&fleet);
    for program in [&mut old, &mut new] {
        program.signal("HUP").unwrap();
        program.logged("event=reloaded").unwrap();
    }
    old.signal("TERM").unwrap();
    old.logged("event=leaving").unwrap();
    half.write_all(body.as_bytes()).unwrap();
    let (head, closes) = crate::rig::Sent(half).answer();
    assert!(head.starts_with("HTTP/1.1 200") && closes, "{head}");
    assert!(old.exit().unwrap().success());
    assert!(matches!(ask(shared.address(), &save("b", "k1")), Answer::Served(true, _)));
}
