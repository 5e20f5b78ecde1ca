//! What comes between two lines: an answer, a surplus and a move, each while the watch stands still. The watch runs only
//! where a test lets it, so that the order is the test's.

use async_channel::Receiver;
use async_executor::LocalExecutor;
use async_io::Timer;
use futures_lite::FutureExt;
use plover_discovery::{Discovery, Sink, Start, Times};
use plover_model::server::{TargetState, Targets};
use plover_standins::script::sized;
use serde_json::{Value, json};
use std::io::{ErrorKind, Read, Write};
use std::net::{Ipv4Addr, SocketAddr, TcpListener, TcpStream};
use std::rc::Rc;
use std::time::Duration;

/// Far beyond what a slow machine needs.
const BOUND: Duration = Duration::from_secs(30);

/// No time of the watch passes here by itself, but for the pause between two calls: far longer than what is done in it.
fn times() -> Times {
    let long = 60_000_000;
    Times {
        first_wait: long,
        stale: 2 * long,
        attempt: long,
        outage_attempt: long,
        patient: long,
        prompt: long,
        gap: 4_000_000,
        ..Times::default()
    }
}

fn list(rev: u64, all: bool, entries: &[(&str, &str)]) -> String {
    let entry = |(uid, state): &(&str, &str)| -> Value {
        json!({"uid": uid, "endpoint": "127.0.0.1:9", "az": "z", "pod_group": 0, "state": state, "boot_ms": 0})
    };
    let targets: Vec<Value> = entries.iter().map(entry).collect();
    json!({"rev": rev, "all": all, "targets": targets}).to_string()
}

struct Broker {
    executor: Rc<LocalExecutor<'static>>,
    discovery: Discovery,
    heard: Receiver<Targets>,
}

impl Broker {
    fn start(at: SocketAddr) -> Self {
        let executor = Rc::new(LocalExecutor::new());
        let (sender, heard) = async_channel::unbounded();
        let sink: Sink = Rc::new(move |targets| drop(sender.try_send(targets)));
        let known = Targets { rev: 7, all: true, targets: Vec::new() };
        let start =
            Start { address: at, known: &known, index: Some(7), seed: 5, times: times(), budget: None };
        let discovery = Discovery::start(executor.clone(), sink, start);
        Broker { executor, discovery, heard }
    }

    /// Lets the watch run until this is there.
    fn until<T>(&self, what: impl Future<Output = T>) -> T {
        let late = async {
            Timer::after(BOUND).await;
            panic!("it never comes");
        };
        async_io::block_on(self.executor.run(what.or(late)))
    }

    /// Lets the watch run until a peer is done.
    fn while_peer<T: Send + 'static>(&self, does: impl FnOnce() -> T + Send + 'static) -> T {
        let (sender, done) = async_channel::bounded(1);
        std::thread::spawn(move || sender.try_send(does()));
        self.until(async { done.recv().await.unwrap() })
    }

    fn list(&self) -> Targets {
        self.until(async { self.heard.recv().await.unwrap() })
    }
}

fn listen() -> (TcpListener, SocketAddr) {
    let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).unwrap();
    let address = listener.local_addr().unwrap();
    (listener, address)
}

/// Takes the next call on a new connection.
fn call_on(listener: &TcpListener) -> (TcpStream, String) {
    let (mut stream, _) = listener.accept().unwrap();
    stream.set_nodelay(true).unwrap();
    stream.set_read_timeout(Some(BOUND)).unwrap();
    let call = call(&mut stream);
    (stream, call)
}

fn call(stream: &mut TcpStream) -> String {
    let mut input = Vec::new();
    while !input.ends_with(b"\r\n\r\n") {
        let mut byte = [0];
        assert_eq!(stream.read(&mut byte).unwrap(), 1, "closed instead of a call");
        input.push(byte[0]);
    }
    String::from_utf8(input).unwrap()
}

fn ended(mut stream: TcpStream) -> bool {
    match stream.read(&mut [0; 64]) {
        Ok(n) => n == 0,
        Err(error) => error.kind() == ErrorKind::ConnectionReset,
    }
}

/// Old and new discovery, the call of the old one out.
fn on_two() -> (Broker, TcpStream, TcpListener) {
    let (old, at) = listen();
    let (new, _) = listen();
    let broker = Broker::start(at);
    let (held, _) = broker.while_peer(move || call_on(&old));
    (broker, held, new)
}

fn move_to(broker: &mut Broker, new: &TcpListener) {
    broker.discovery.move_to(new.local_addr().unwrap(), times());
}

/// The new one's whole list, and the end of the old one's connection.
fn speaks(broker: &Broker, new: TcpListener, held: TcpStream, rev: u64) -> (String, bool, TcpStream) {
    broker.while_peer(move || {
        let ended = ended(held);
        let (mut stream, call) = call_on(&new);
        stream.write_all(&sized(&list(rev, true, &[("a", "active"), ("b", "active")]))).unwrap();
        (call, ended, stream)
    })
}

/// A drain that the old discovery has written is told, though the watch moves before it is read; the new one's list comes
/// after it, and does not revive the server.
#[test]
fn what_was_written_before_a_move_is_taken_before_the_new_list() {
    let (mut broker, mut held, new) = on_two();
    held.write_all(&sized(&list(8, false, &[("a", "leaving")]))).unwrap();
    move_to(&mut broker, &new);
    let (call, ended, _stream) = speaks(&broker, new, held, 3);
    assert!(ended && call.starts_with("GET /api/targets HTTP"), "{call}");
    let (first, second) = (broker.list(), broker.list());
    assert_eq!((first.rev, first.targets[0].state), (8, TargetState::Leaving));
    let states: Vec<TargetState> = second.targets.iter().map(|t| t.state).collect();
    assert_eq!((second.rev, states), (3, vec![TargetState::Leaving, TargetState::Active]));
}

/// Of an answer that is cut by the move nothing is taken.
#[test]
fn half_an_answer_at_a_move_is_none() {
    let (mut broker, mut held, new) = on_two();
    let whole = sized(&list(8, true, &[("a", "leaving"), ("b", "leaving")]));
    held.write_all(&whole[..whole.len() - 40]).unwrap();
    move_to(&mut broker, &new);
    let (_, ended, _stream) = speaks(&broker, new, held, 3);
    assert!(ended);
    let first = broker.list();
    assert_eq!((first.rev, first.targets[0].state), (3, TargetState::Active));
}

/// A new configuration that says where the watch is already: the call that is out goes on, and nobody is asked for the whole list.
#[test]
fn a_move_to_where_the_watch_is_leaves_its_call_out() {
    let (old, at) = listen();
    let mut broker = Broker::start(at);
    let (mut held, _) = broker.while_peer(move || {
        let call = call_on(&old);
        old.set_nonblocking(true).unwrap();
        assert!(old.accept().is_err_and(|e| e.kind() == ErrorKind::WouldBlock));
        call
    });
    broker.discovery.move_to(at, times());
    held.write_all(&sized(&list(8, false, &[("a", "leaving")]))).unwrap();
    let told = broker.list();
    assert_eq!((told.rev, told.all, told.targets[0].state), (8, false, TargetState::Leaving));
}

/// Moved twice before anything could run: what was written before is still told, and nobody asks the one between.
#[test]
fn two_moves_at_once_ask_the_last_one_alone() {
    let (mut broker, mut held, new) = on_two();
    let (between, _) = listen();
    held.write_all(&sized(&list(8, false, &[("a", "leaving")]))).unwrap();
    move_to(&mut broker, &between);
    move_to(&mut broker, &new);
    let (_, ended, _stream) = speaks(&broker, new, held, 3);
    assert!(ended);
    assert_eq!((broker.list().rev, broker.list().rev), (8, 3));
    between.set_nonblocking(true).unwrap();
    assert!(between.accept().is_err_and(|e| e.kind() == ErrorKind::WouldBlock));
}

/// Moved in the middle of an attempt at one that never answers.
#[test]
fn a_move_in_the_middle_of_an_attempt_does_not_wait_for_it() {
    let (mut broker, held, new) = on_two();
    let (silent, _) = listen();
    move_to(&mut broker, &silent);
    let (attempt, _) = broker.while_peer(move || call_on(&silent));
    assert!(ended(held));
    move_to(&mut broker, &new);
    let (call, ended, _stream) = speaks(&broker, new, attempt, 3);
    assert!(ended && call.starts_with("GET /api/targets HTTP"), "{call}");
    assert_eq!(broker.list().rev, 3);
}

/// A second answer to one call, or the end, in the pause before the next call: that goes over another connection, and the
/// surplus is not taken for its answer.
#[test]
fn a_surplus_in_the_pause_is_no_answer_to_the_next_call() {
    let plays = |surplus: Vec<u8>| {
        let (listener, at) = listen();
        let broker = Broker::start(at);
        let again = listener.try_clone().unwrap();
        let (mut stream, _) = broker.while_peer(move || call_on(&again));
        stream.write_all(&sized(&list(8, false, &[("a", "leaving")]))).unwrap();
        assert_eq!(broker.list().rev, 8);
        // The watch stands still, in its pause.
        if surplus.is_empty() {
            stream.shutdown(std::net::Shutdown::Write).unwrap();
        } else {
            stream.write_all(&surplus).unwrap();
        }
        let (mut next, call) = broker.while_peer(move || call_on(&listener));
        assert!(call.contains("index=8&"), "{call}");
        assert!(ended(stream), "no call comes on the spoilt connection");
        next.write_all(&sized(&list(10, false, &[("b", "leaving")]))).unwrap();
        assert_eq!(broker.list().rev, 10);
    };
    std::thread::scope(|scope| {
        scope.spawn(|| plays(sized(&list(9, true, &[]))));
        scope.spawn(|| plays(Vec::new()));
    });
}
