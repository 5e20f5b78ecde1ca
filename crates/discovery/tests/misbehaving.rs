//! The watch on real sockets, against a discovery that misbehaves. No verdict hangs on times, only on what comes, in which
//! order and on which connection.

use async_executor::LocalExecutor;
use async_io::Timer;
use futures_lite::FutureExt;
use plover_discovery::{Discovery, Sink, Start, Times};
use plover_model::server::{TargetState, Targets};
use plover_standins::script::{Act, Script, chunked, sized};
use plover_watch::MOST_CONNECTIONS;
use serde_json::{Value, json};
use std::rc::Rc;
use std::time::{Duration, Instant};

/// Far beyond what a slow machine needs.
const BOUND: Duration = Duration::from_secs(30);

fn entry(uid: &str, state: &str) -> Value {
    json!({"uid": uid, "endpoint": "127.0.0.1:9", "az": "z", "pod_group": 0, "state": state, "boot_ms": 0})
}

fn list(rev: u64, all: bool, targets: &[Value]) -> String {
    json!({"rev": rev, "all": all, "targets": targets}).to_string()
}

/// The real figures, but for attempts and late answers: a machine that is slow is not to be taken for a silent discovery.
fn times() -> Times {
    Times { attempt: 2_000_000, prompt: 2_000_000, ..Times::default() }
}

fn known() -> Targets {
    serde_json::from_str(&list(7, true, &[entry("a", "active"), entry("b", "leaving")])).unwrap()
}

/// What the broker is told by this discovery, up to a list of this version; and how long that took.
fn told(script: &Script, until: u64, and_then: impl FnOnce(&mut Discovery)) -> (Vec<Targets>, Duration) {
    let executor = Rc::new(LocalExecutor::new());
    let (sender, heard) = async_channel::unbounded();
    let sink: Sink = Rc::new(move |targets| drop(sender.try_send(targets)));
    let start = Start {
        address: script.address,
        known: &known(),
        index: Some(7),
        seed: 5,
        times: times(),
        budget: None,
    };
    let begun = Instant::now();
    let mut discovery = Discovery::start(executor.clone(), sink, start);
    and_then(&mut discovery);
    let lists = async {
        let mut lists: Vec<Targets> = Vec::new();
        while lists.last().is_none_or(|l| l.rev != until) {
            lists.push(heard.recv().await.unwrap());
        }
        Some(lists)
    };
    let late = async {
        Timer::after(BOUND).await;
        None
    };
    let lists = async_io::block_on(executor.run(lists.or(late)));
    (lists.unwrap_or_else(|| panic!("no version {until}; calls: {:?}", script.calls())), begun.elapsed())
}

fn states(list: &Targets) -> Vec<(&str, TargetState)> {
    list.targets.iter().map(|t| (&*t.uid, t.state)).collect()
}

/// Each of these tells nothing and costs nothing: what discovery has to say comes over another connection, once.
#[test]
fn what_a_discovery_does_wrong_costs_no_news() {
    let news = list(8, true, &[entry("a", "leaving")]);
    let whole = sized(&news);
    let head = whole.len() - news.len();
    let endless_body =
        |length| Act::SayAndEnd(format!("HTTP/1.1 200 OK\r\n\r\n{}", &news[..length]).into_bytes());
    let status = |line: &str| format!("HTTP/1.1 {line}\r\nContent-Length: 0\r\n\r\n").into_bytes();
    let too_long = format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{news}", (4 << 20) + 1);
    let endless = format!("HTTP/1.1 200 OK\r\nX: {}", "x".repeat(20_000));
    let twice = [sized(&list(7, false, &[])), sized(&list(9, true, &[]))].concat();
    let wrong = [
        ("silent on a held call", Act::Silence, true),
        ("byte by byte, each soon", Act::Trickle(whole.clone(), Duration::from_millis(40)), true),
        ("dies before the head", Act::SayAndEnd(Vec::new()), true),
        ("dies between head and body", Act::SayAndEnd(whole[..head].to_vec()), true),
        ("dies in the body", Act::SayAndEnd(whole[..whole.len() - 2].to_vec()), true),
        ("stops in the body", Act::Say(whole[..whole.len() - 2].to_vec()), true),
        ("no length, and dies in the body", endless_body(news.len() - 1), true),
        ("no length, and stays", Act::Say(format!("HTTP/1.1 200 OK\r\n\r\n{news}").into_bytes()), true),
        ("a chunk is cut", Act::SayAndEnd(chunked(&news, 16)[..90].to_vec()), true),
        ("500", Act::Say(status("500 Internal Server Error")), true),
        ("503", Act::Say(status("503 Service Unavailable")), true),
        ("404", Act::Say(status("404 Not Found")), false),
        ("no HTTP", Act::Say(b"\x00\x01\x02 nonsense\r\n\r\n".to_vec()), true),
        ("no JSON", Act::Say(sized("{\"rev\":")), true),
        ("no list", Act::Say(sized("{\"rev\":8}")), true),
        ("no readable entry", Act::Say(sized(&list(8, true, &[json!({"uid": "a"})]))), true),
        ("a body beyond the bound", Act::Say(too_long.into_bytes()), true),
        ("a head beyond the bound", Act::Say(endless.into_bytes()), true),
        ("two answers to a call", Act::Say(twice), true),
    ];
    for (name, act, keeps_version) in wrong {
        let script = Script::start(vec![act], Some((8, vec![entry("a", "leaving")]))).unwrap();
        let (lists, took) = told(&script, 8, |_| ());
        let calls = script.calls();
        println!("{name}: {took:?}");
        assert_eq!(lists.len(), 1, "{name}: {lists:?}");
        assert_eq!(states(&lists[0]), [("a", TargetState::Leaving)], "{name}");
        assert!(calls[0].target.starts_with("/api/targets?index=7&wait="), "{name}: {calls:?}");
        assert_eq!(calls[1].connection, 2, "{name}: {calls:?}");
        assert_eq!(calls[1].target.contains("index=7"), keeps_version, "{name}: {calls:?}");
    }
}

/// Once it has begun an answer has its own time, however long the wait of its call.
#[test]
fn an_answer_that_trickles_is_not_waited_for_as_a_call_is() {
    let news = sized(&list(8, true, &[entry("a", "leaving")]));
    let pause = Duration::from_millis(3000 / news.len() as u64);
    let acts = vec![Act::Say(sized(&list(7, false, &[]))), Act::Trickle(news, pause)];
    let script = Script::start(acts, Some((8, vec![entry("a", "leaving")]))).unwrap();
    let (lists, _) = told(&script, 8, |_| ());
    let connections: Vec<usize> = script.calls().iter().take(3).map(|c| c.connection).collect();
    assert_eq!((lists.len(), connections), (1, vec![1, 1, 2]));
}

/// Lists that are as they may be, though not as usual: all are taken from the first call on.
#[test]
fn what_is_unusual_is_taken() {
    let whole = [entry("a", "leaving"), entry("c", "active")];
    let pretty = serde_json::to_string_pretty(&json!({"rev": 8, "all": true, "targets": whole})).unwrap();
    let text = list(8, true, &whole);
    let padded = format!("{text}{}", " ".repeat(100_000));
    let (leaving, active) = (("a", TargetState::Leaving), ("c", TargetState::Active));
    let usual = vec![leaving, active];
    let faulty = list(8, true, &[entry("a", "leaving"), json!({"state": "active"}), json!({"uid": "c"})]);
    let of_another_fleet = list(8, true, &[entry("x", "active")]);
    let unusual = [
        ("indented", sized(&pretty), usual.clone()),
        ("in chunks", chunked(&pretty, 7), usual.clone()),
        ("longer than is usual", sized(&padded), usual),
        ("entries lack fields", sized(&faulty), vec![leaving, ("c", TargetState::Leaving)]),
        ("of another fleet", sized(&of_another_fleet), vec![("x", TargetState::Active)]),
        ("empty", sized(&list(8, true, &[])), vec![]),
    ];
    let no_length = format!("HTTP/1.1 200 OK\r\nContent-Type: application/json\r\n\r\n{pretty}").into_bytes();
    let unusual = unusual.map(|(name, bytes, expected)| (name, Act::Say(bytes), expected)).into_iter();
    let ends = ("of no length, up to the end", Act::SayAndEnd(no_length), vec![leaving, active]);
    for (name, act, expected) in unusual.chain([ends]) {
        let script = Script::start(vec![act], None).unwrap();
        let (lists, _) = told(&script, 8, |_| ());
        assert!(lists[0].all, "{name}");
        assert_eq!(states(&lists[0]), expected, "{name}");
    }
}

/// From an agent that lags: nobody is revived, neither of the list that was remembered nor of what was told since.
#[test]
fn an_older_list_revives_nobody() {
    let say = |rev, all, entries: &[Value]| Act::Say(sized(&list(rev, all, entries)));
    let all = [entry("a", "active"), entry("b", "active"), entry("n", "active")];
    let acts = vec![say(8, false, &[entry("a", "left")]), say(6, true, &all), say(9, false, &all)];
    let script = Script::start(acts, None).unwrap();
    let (lists, _) = told(&script, 9, |_| ());
    let (active, leaving) = (TargetState::Active, TargetState::Leaving);
    assert_eq!(states(&lists[1]), [("a", leaving), ("b", leaving), ("n", active)]);
    assert_eq!(states(&lists[2]), [("a", active), ("b", active), ("n", active)]);
    assert!(
        script.calls()[2].target.contains("index=6"),
        "what the lagging agent has is asked for from there"
    );
}

/// The one that it is moved to says nothing at first, and is heard when it does; the old one is not any more.
#[test]
fn moved_to_a_silent_discovery_it_hears_it_once_it_speaks() {
    let old = Script::start(vec![], Some((9, vec![entry("a", "active")]))).unwrap();
    let new =
        Script::start(vec![Act::Silence, Act::Silence], Some((3, vec![entry("a", "leaving")]))).unwrap();
    let (lists, took) = told(&old, 3, |discovery| discovery.move_to(new.address, times()));
    println!("moved to a silent one: {took:?}");
    assert_eq!(states(&lists[0]), [("a", TargetState::Leaving)]);
    let calls = new.calls();
    assert_eq!((lists.len(), calls.len() >= 3), (1, true), "{lists:?}, {calls:?}");
    assert!(calls[..3].iter().all(|c| c.target == "/api/targets"), "{calls:?}");
    assert_eq!([calls[0].connection, calls[1].connection, calls[2].connection], [1, 2, 3]);
}

/// A discovery that is late with every answer is heard by the answer to the first call, and goes on being asked on that connection.
/// Guards against review case 7: connections were given up shortly before their answers came.
#[test]
fn an_answer_that_is_late_is_taken_on_the_connection_of_its_call() {
    let late = Duration::from_millis(1500);
    let usual = |discovery: &mut Discovery, address| discovery.move_to(address, Times::default());
    let old = Script::start(vec![], None).unwrap();
    let new = Script::start(vec![], Some((8, vec![entry("a", "leaving")]))).unwrap();
    new.answer_late(late);
    let (lists, took) = told(&old, 8, |discovery| usual(discovery, new.address));
    println!("late by {late:?}: heard after {took:?}");
    assert_eq!(states(&lists[0]), [("a", TargetState::Leaving)]);
    let first_calls = new.calls().iter().filter(|call| call.target == "/api/targets").count();
    assert!(first_calls <= MOST_CONNECTIONS, "{:?}", new.calls());
}
