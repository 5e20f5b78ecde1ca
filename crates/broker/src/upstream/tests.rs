mod counts;

use super::*;
use crate::inbox::{ConnectionEvent, Input};
use futures_lite::future::{block_on, yield_now};
use plover_frames::FromServer;
use std::net::TcpListener;

const SECOND: Micros = 1_000_000;

fn pool(limits: PoolLimits) -> (Upstream, TcpListener) {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let mut pool = Upstream::new(Rc::default(), Rc::default(), Clock::standing(), limits).unwrap();
    pool.set_endpoint(0, server(), Some(listener.local_addr().unwrap()));
    (pool, listener)
}

fn limits() -> PoolLimits {
    let (dial_timeout, keepalive) = (SECOND / 4, 15 * SECOND);
    PoolLimits {
        max_connections: 10,
        max_parts_per_call: 2,
        max_parts_per_connection: 4,
        dial_timeout,
        idle_timeout: keepalive,
    }
}

fn server() -> NodeId {
    NodeId("s0".into())
}

fn sends(query: u64, parts: usize) -> Vec<DispatchedAttempt> {
    let send = |part| DispatchedAttempt {
        attempt: AttemptId { query, part, attempt: 0 },
        server: server(),
        deadline: SECOND,
        write_deadline: Micros::MAX,
        part: PartId { request: format!("q{query}").into(), shard: part },
        key: None,
        text: "c41e77d0".into(),
        client: Rc::default(),
    };
    (0..parts).map(send).collect()
}

fn outcomes(pool: &mut Upstream, now: Micros) -> Vec<Outcome> {
    pool.take_ended(now).iter().map(|e| e.outcome).collect()
}

fn broken() -> ConnectionEvent {
    ConnectionEvent::Closed(std::io::ErrorKind::ConnectionReset.into())
}

fn answer(wire: &str) -> ConnectionEvent {
    let (id, outcome, held) = (wire.to_owned(), Outcome::Served, Some(1.0));
    ConnectionEvent::Frame(FromServer::Answer { id, outcome, held, value: "v".to_owned() })
}

#[test]
fn calls_are_spread_over_a_few_connections_and_an_idle_one_is_used_again() {
    let (mut pool, _listener) = pool(limits());
    pool.dispatch(0, sends(1, 3));
    assert_eq!(pool.open(), 2);
    pool.handle_event(10, 1, answer("q1.2"));
    pool.dispatch(20, sends(2, 1));
    assert_eq!((pool.open(), pool.connections[&1].out.len()), (2, 1));
    (3..20).for_each(|query| pool.dispatch(30, sends(query, 1)));
    assert_eq!(pool.connections.values().map(|c| c.out.len()).collect::<Vec<_>>(), [4; 5]);
}

/// What waited for its connection to come up tells only from then on how long its server takes.
#[test]
fn the_time_of_an_answer_begins_once_its_connection_is_up() {
    let (mut pool, _listener) = pool(limits());
    pool.dispatch(1_000, sends(1, 1));
    pool.connections[&0].connection.came_up(81_000);
    pool.handle_event(101_000, 0, answer("q1.0"));
    pool.dispatch(200_000, sends(2, 1));
    pool.handle_event(230_000, 0, answer("q2.0"));
    let ended = pool.take_ended(230_000);
    let elapsed: Vec<Micros> = ended.iter().map(|ended| ended.elapsed).collect();
    assert_eq!(elapsed, [20_000, 30_000]);
    assert!(ended.iter().all(|ended| ended.connected_at == Some(81_000)));
}

/// A server may close a connection right after its answer: the one that rested longest is the safest.
#[test]
fn of_idle_connections_the_one_that_rested_longest_is_used() {
    let (mut pool, _listener) = pool(limits());
    pool.dispatch(0, sends(1, 3));
    for (now, id, wire) in [(10, 1, "q1.2"), (20, 0, "q1.1"), (30, 0, "q1.0")] {
        pool.handle_event(now, id, answer(wire));
    }
    pool.dispatch(40, sends(2, 1));
    assert_eq!(pool.connections[&1].out.len(), 1);
}

/// Parts go by their ids: two attempts at one on one connection would have one answer.
#[test]
fn a_second_copy_at_the_same_server_goes_on_another_connection() {
    let (mut pool, _listener) = pool(PoolLimits { max_connections: 2, ..limits() });
    pool.dispatch(0, sends(1, 1));
    pool.dispatch(10, sends(2, 1));
    let copy =
        |s: DispatchedAttempt| DispatchedAttempt { attempt: AttemptId { attempt: 1, ..s.attempt }, ..s };
    pool.dispatch(20, sends(1, 1).into_iter().map(copy).collect());
    assert_eq!(pool.connections.values().map(|c| c.out.len()).collect::<Vec<_>>(), [1, 2]);
    pool.handle_event(30, 0, answer("q1.0"));
    pool.handle_event(40, 1, answer("q1.0"));
    assert_eq!(outcomes(&mut pool, 50), [Outcome::Served, Outcome::Served]);
    assert_eq!(pool.in_flight(), 1);
}

/// Runs the pool's tasks until all that was sent is written.
fn run_until_written(pool: &mut Upstream) {
    let executor = pool.executor.clone();
    while pool.connections.values().any(|c| !c.connection.unwritten().is_empty()) {
        async_io::block_on(executor.run(yield_now()));
    }
}

/// A part whose frame is longer than what the system holds for a peer that does not read.
fn endless(query: u64) -> Vec<DispatchedAttempt> {
    sends(query, 1)
        .into_iter()
        .map(|s| DispatchedAttempt { text: "x".repeat(64 << 20).into(), ..s })
        .collect()
}

/// The end of a connection that had come up is no news of whether its server can be reached.
#[test]
fn what_waits_behind_a_connection_that_was_up_is_not_sent() {
    let (mut pool, _listener) = pool(PoolLimits { max_connections: 1, ..limits() });
    pool.dispatch(0, sends(1, 1));
    run_until_written(&mut pool);
    pool.dispatch(10, endless(2));
    assert!(pool.connections[&0].connection.is_stuck(), "its end is not out");
    pool.dispatch(10, sends(3, 1));
    pool.handle_event(20, 0, broken());
    assert_eq!(outcomes(&mut pool, 30), [Outcome::ConnectionLost, Outcome::NotSent, Outcome::NotSent]);
}

/// Of what a turn writes at once the socket may take a part: the connection's task writes the rest, and what stood behind it.
#[test]
fn what_a_socket_does_not_take_at_once_goes_out_in_its_order() {
    let (mut pool, listener) = pool(PoolLimits { max_connections: 1, max_parts_per_call: 1, ..limits() });
    pool.dispatch(0, sends(1, 1));
    run_until_written(&mut pool);
    pool.dispatch(10, [endless(2), sends(3, 2)].concat());
    assert!(pool.connections[&0].connection.is_stuck());
    assert_eq!(pool.forwards(), 1);
    let (mut server, _) = listener.accept().unwrap();
    let reading = std::thread::spawn(move || {
        let (mut input, mut heard) = (Vec::new(), Vec::new());
        let mut chunk = vec![0; 1 << 20];
        while heard.len() < 4 {
            let n = std::io::Read::read(&mut server, &mut chunk).unwrap();
            input.extend_from_slice(&chunk[..n]);
            // Frames by hand: this one is longer than any that a server takes.
            while let Some((length, rest)) = input.split_first_chunk::<4>() {
                let length = u32::from_be_bytes(*length) as usize;
                if rest.len() < length {
                    break;
                }
                let line = rest[1..].split(|b| *b == b' ').next().unwrap();
                heard.push(String::from_utf8(line.to_vec()).unwrap());
                input.drain(..4 + length);
            }
        }
        heard
    });
    run_until_written(&mut pool);
    assert_eq!(reading.join().unwrap(), ["q1.0", "q2.0", "q3.0", "q3.1"]);
    assert_eq!(pool.forwards(), 4);
}

fn outcomes_of_spoilt(event: ConnectionEvent, sent: usize) -> (Vec<Outcome>, usize) {
    let (mut pool, _listener) = pool(PoolLimits { max_parts_per_call: 4, ..limits() });
    pool.dispatch(0, sends(1, sent));
    block_on(pool.connections[&0].connection.next(&Clock::standing()));
    pool.connections[&0].connection.written();
    pool.handle_event(10, 0, event);
    (outcomes(&mut pool, 20), pool.open())
}

/// An answer for what is not out stands in the place of one that will not come: it must not be waited for.
/// It is one failure of the server, whatever else was out on the connection, and none of a query's own.
#[test]
fn a_spoilt_answer_fails_one_attempt_and_closes_its_connection() {
    for event in [answer("q7.0"), ConnectionEvent::BadFrame(plover_frames::BadFrame("noise"))] {
        let outcomes = outcomes_of_spoilt(event, 3);
        assert_eq!(outcomes, (vec![Outcome::Error, Outcome::Cancelled, Outcome::Cancelled], 0));
    }
}

/// A second copy or noise after a good answer fails nothing, but nobody can tell what else would come.
#[test]
fn surplus_after_a_good_answer_closes_the_connection_and_fails_nothing() {
    for surplus in [
        answer("q1.0"),
        ConnectionEvent::PartialFrame,
        ConnectionEvent::BadFrame(plover_frames::BadFrame("noise")),
    ] {
        let (mut pool, _listener) = pool(limits());
        pool.dispatch(0, sends(1, 1));
        pool.handle_event(10, 0, answer("q1.0"));
        pool.handle_event(10, 0, surplus);
        assert_eq!((outcomes(&mut pool, 20), pool.open()), (vec![Outcome::Served], 0));
    }
}

/// The answer to what was given up may cross the giving up: it spoils nothing, but counts only once.
#[test]
fn a_late_answer_to_what_was_given_up_is_passed_over() {
    let (mut pool, _listener) = pool(limits());
    pool.dispatch(0, sends(1, 2));
    block_on(pool.connections[&0].connection.next(&Clock::standing()));
    pool.connections[&0].connection.written();
    pool.cancel(10, AttemptId { query: 1, part: 0, attempt: 0 });
    pool.handle_event(20, 0, answer("q1.0"));
    assert_eq!((outcomes(&mut pool, 20), pool.open()), (vec![Outcome::Cancelled], 1));
    pool.handle_event(30, 0, answer("q1.0"));
    assert_eq!((outcomes(&mut pool, 30), pool.open()), (vec![Outcome::Error], 0));
}

/// A length that does not fit promises bytes that never come: the attempt must not wait for its whole time.
#[test]
fn a_frame_that_does_not_go_on_is_spoilt() {
    let (mut pool, _listener) = pool(limits());
    pool.dispatch(0, sends(1, 1));
    block_on(pool.connections[&0].connection.next(&Clock::standing()));
    pool.connections[&0].connection.written();
    pool.handle_event(10, 0, ConnectionEvent::PartialFrame);
    assert_eq!(pool.due(), 10 + limits().dial_timeout);
    pool.sweep(9 + limits().dial_timeout);
    assert_eq!(pool.open(), 1);
    pool.sweep(10 + limits().dial_timeout);
    assert_eq!((outcomes(&mut pool, SECOND / 2), pool.open()), (vec![Outcome::Error], 0));
}

/// Every dispatched attempt ends, also where no descriptor is left for it.
#[test]
fn with_no_descriptor_left_an_idle_connection_makes_room_or_the_attempt_ends() {
    let (mut pool, listener) = pool(PoolLimits { max_connections: 1, ..limits() });
    pool.dispatch(0, sends(1, 1));
    let other = NodeId("s1".into());
    pool.set_endpoint(0, other.clone(), Some(listener.local_addr().unwrap()));
    let to_other = |query| {
        sends(query, 1).into_iter().map(|s| DispatchedAttempt { server: other.clone(), ..s }).collect()
    };
    pool.dispatch(0, to_other(2));
    // The server is not to blame.
    assert_eq!(outcomes(&mut pool, 30), [Outcome::NotSent]);
    pool.handle_event(10, 0, answer("q1.0"));
    pool.dispatch(20, to_other(3));
    assert_eq!((outcomes(&mut pool, 30), pool.open()), (vec![Outcome::Served], 1));
}

/// A part that crosses the server's closing of an idle connection would end as a reset.
#[test]
fn idle_connections_are_closed_before_the_server_does() {
    let (mut pool, _listener) = pool(limits());
    pool.dispatch(0, sends(1, 1));
    write_out(&mut pool, 0);
    pool.handle_event(100, 0, answer("q1.0"));
    pool.sweep(11 * SECOND);
    assert_eq!(pool.open(), 1);
    pool.sweep(12 * SECOND);
    assert_eq!(pool.open(), 0);
}

/// Within the drain's grace nothing may go out, not even what waited for a connection when it began.
#[test]
fn what_waits_for_a_server_that_leaves_is_taken_back() {
    let (mut pool, _listener) = pool(limits());
    pool.dispatch(0, sends(1, 2));
    pool.set_endpoint(10, server(), None);
    assert_eq!(outcomes(&mut pool, 30), [Outcome::NotSent; 2]);
    pool.dispatch(20, sends(2, 1));
    assert_eq!(outcomes(&mut pool, 30), [Outcome::NoConnection]);
    pool.sweep(20);
    assert_eq!((pool.open(), pool.servers.len()), (0, 0));
}

/// What was not written to its last byte never ran; what was may have, or may yet.
#[test]
fn the_end_of_an_attempt_tells_whether_it_may_have_run() {
    let (mut pool, _listener) = pool(limits());
    pool.dispatch(0, sends(1, 1));
    assert_eq!(outcomes(&mut pool, SECOND), [Outcome::NoConnection]);
    pool.dispatch(0, sends(2, 2));
    let line = pool.connections[&0].connection.clone();
    block_on(line.next(&Clock::standing()));
    pool.handle_event(20, 0, broken());
    assert_eq!(outcomes(&mut pool, 30), [Outcome::NoConnection; 2]);
    pool.dispatch(30, sends(3, 1));
    let (executor, inbox) = (pool.executor.clone(), pool.inbox.clone());
    let line = pool.connections[&1].connection.clone();
    let written = async {
        while !line.unwritten().is_empty() {
            yield_now().await;
        }
    };
    async_io::block_on(executor.run(written));
    assert!(!inbox.take().iter().any(|i| matches!(i, Input::Connection(1, ConnectionEvent::Closed(_)))));
    pool.handle_event(40, 1, broken());
    assert_eq!(outcomes(&mut pool, 30), [Outcome::ConnectionLost]);
}

/// Over a cut link connections stay open and silent; one that has spoken is kept.
#[test]
fn a_connection_that_stays_silent_is_closed_with_the_attempt_that_waited_in_vain() {
    for spoke in [false, true] {
        let (mut pool, _listener) = pool(limits());
        pool.dispatch(0, sends(1, 2));
        block_on(pool.connections[&0].connection.next(&Clock::standing()));
        pool.connections[&0].connection.written();
        if spoke {
            pool.handle_event(100, 0, answer("q1.1"));
        }
        let outcomes = outcomes(&mut pool, SECOND);
        pool.sweep(SECOND);
        assert_eq!(outcomes.last(), Some(&Outcome::TimedOut));
        assert_eq!(pool.open(), usize::from(spoke));
    }
}

/// A further attempt at a part must not go out while a stuck socket holds back the giving up of the first.
#[test]
fn a_connection_that_is_stuck_in_a_frame_ends_with_the_first_attempt_given_up() {
    let (mut pool, _listener) = pool(limits());
    pool.dispatch(0, sends(1, 2));
    block_on(pool.connections[&0].connection.next(&Clock::standing()));
    pool.cancel(SECOND / 2, AttemptId { query: 1, part: 0, attempt: 0 });
    assert_eq!(outcomes(&mut pool, SECOND / 2), [Outcome::Cancelled, Outcome::NoConnection]);
    assert_eq!(pool.open(), 0);
}

/// Has the connection's task write what waits there.
fn write_out(pool: &mut Upstream, id: u64) {
    let line = pool.connections[&id].connection.clone();
    while !line.unwritten().is_empty() {
        block_on(line.next(&Clock::standing()));
        line.written();
    }
}

/// One connection of a server falls silent while the others go on: what is sent on it is lost until that shows, and its
/// emptiness made it the first choice for the next.
#[test]
fn a_silent_connection_beside_ones_that_answer_gets_nothing_new() {
    let (mut pool, _listener) = pool(PoolLimits { max_parts_per_call: 1, ..limits() });
    pool.dispatch(0, sends(1, 1));
    pool.dispatch(10, sends(2, 1));
    (0..2).for_each(|id| write_out(&mut pool, id));
    pool.handle_event(30_000, 1, answer("q2.0"));
    pool.dispatch(30_000, sends(3, 3));
    (1..4).for_each(|id| write_out(&mut pool, id));
    for (id, part) in [(1, 0), (2, 1), (3, 2)] {
        pool.handle_event(60_000, id, answer(&format!("q3.{part}")));
    }
    // Not late yet by four times what answers take.
    assert!(!pool.is_suspect(60_000, &pool.connections[&0]));
    let late = 4 * pool.servers[&server()].usual.get();
    assert!(pool.is_suspect(late, &pool.connections[&0]));
    pool.cancel(late, AttemptId { query: 1, part: 0, attempt: 0 });
    pool.sweep(late);
    assert_eq!(
        pool.connections.keys().copied().collect::<Vec<_>>(),
        [1, 2, 3],
        "it is closed once nothing is out on it"
    );
}

/// A server that is slow on all of its connections is no reason to dial anew.
#[test]
fn a_server_that_answers_nothing_keeps_its_connections() {
    let (mut pool, _listener) = pool(PoolLimits { max_parts_per_call: 1, ..limits() });
    pool.dispatch(0, sends(1, 2));
    (0..2).for_each(|id| write_out(&mut pool, id));
    pool.handle_event(30_000, 1, answer("q1.1"));
    pool.dispatch(40_000, sends(2, 1));
    write_out(&mut pool, 1);
    let later = 400_000;
    for (query, part) in [(1, 0), (2, 0)] {
        pool.cancel(later, AttemptId { query, part, attempt: 0 });
    }
    pool.sweep(later);
    assert_eq!(pool.open(), 2, "nothing later was answered");
}

/// Half an answer that does not go on: the next parts go elsewhere, long before it counts as spoilt.
#[test]
fn nothing_is_sent_behind_an_answer_that_has_stopped() {
    let (mut pool, _listener) = pool(PoolLimits { max_parts_per_call: 1, ..limits() });
    pool.dispatch(0, sends(1, 1));
    write_out(&mut pool, 0);
    pool.handle_event(10, 0, ConnectionEvent::PartialFrame);
    (2..8).for_each(|query| pool.dispatch(10 + HALTED, sends(query, 1)));
    assert_eq!(pool.connections[&0].out.len(), 1);
}

const LATE_AT: Micros = SECOND / 4 / LATE_DIAL;

/// A connection may come up a second later while others take a millisecond: waited for, it took its part's time and
/// counted against its server.
#[test]
fn what_waits_for_a_late_connection_goes_by_another() {
    let (mut pool, _listener) = pool(limits());
    let places = |pool: &Upstream| pool.connections.values().map(|c| c.out.len()).collect::<Vec<_>>();
    pool.dispatch(0, sends(1, 2));
    assert_eq!(pool.due(), LATE_AT);
    pool.sweep(LATE_AT - 1);
    assert_eq!(places(&pool), [2]);
    pool.sweep(LATE_AT);
    assert_eq!(places(&pool), [0, 2]);
    // Its end is nobody's any more.
    pool.handle_event(LATE_AT, 0, broken());
    assert_eq!(outcomes(&mut pool, LATE_AT), []);
    pool.sweep(2 * LATE_AT);
    assert_eq!(places(&pool), [0, 2]);
    pool.sweep(3 * LATE_AT);
    assert_eq!(places(&pool), [0, 0, 2]);
    // As many as may be on their way at once: it waits for the last.
    pool.sweep(4 * LATE_AT);
    assert_eq!(places(&pool), [0, 0, 2]);
    pool.handle_event(5 * LATE_AT, 3, broken());
    assert_eq!(outcomes(&mut pool, 5 * LATE_AT), [Outcome::NoConnection; 2]);
}

/// One that is up and idle by then is better than a further one, and calls that come meanwhile don't wait for the late one.
#[test]
fn what_waits_for_a_late_connection_goes_by_one_that_is_up() {
    let (mut pool, _listener) = pool(limits());
    pool.dispatch(0, sends(1, 1));
    write_out(&mut pool, 0);
    pool.dispatch(10, sends(2, 1));
    pool.handle_event(20, 0, answer("q1.0"));
    pool.sweep(10 + LATE_AT);
    assert_eq!((pool.open(), pool.connections[&0].out.len(), pool.connections[&1].out.len()), (2, 1, 0));
    pool.dispatch(20 + LATE_AT, sends(3, 1));
    assert_eq!((pool.open(), pool.connections[&1].out.len()), (3, 0));
}

/// A connection that does not come up to a server that answers meanwhile tells nothing of that server.
#[test]
fn one_connection_that_does_not_come_up_is_no_news_of_a_server_that_answers() {
    let (mut pool, _listener) = pool(PoolLimits { max_connections: 2, ..limits() });
    pool.dispatch(0, sends(1, 1));
    write_out(&mut pool, 0);
    pool.dispatch(10, sends(2, 1));
    pool.dispatch(20, sends(3, 1));
    assert_eq!(pool.connections[&0].out.len(), 2);
    pool.handle_event(30, 0, answer("q3.0"));
    pool.handle_event(40, 1, broken());
    assert_eq!(outcomes(&mut pool, 50), [Outcome::Served, Outcome::NotSent]);
}

/// A frame that the server does not take in time must not go out to its end: a repeat would take effect again.
#[test]
fn a_frame_that_the_socket_does_not_take_by_its_moment_is_broken_off() {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let clock = Clock::start();
    async_io::block_on(async {
        let stream = async_io::Async::<std::net::TcpStream>::connect(listener.local_addr().unwrap());
        let stream = stream.await.unwrap();
        // More than the system holds for a peer that does not read.
        let frame = vec![0; 64 << 20];
        let written = connection::write_before(&stream, &frame, clock.now() + 50_000, &clock);
        let bound = async {
            async_io::Timer::after(std::time::Duration::from_secs(30)).await;
            panic!("it waits on");
        };
        let error = futures_lite::FutureExt::or(written, bound).await.unwrap_err();
        assert_eq!(error.kind(), std::io::ErrorKind::TimedOut);
    });
}

/// A server may end a connection, or spoil it, in the moment in which a call is to go out there. What it said is read before
/// anything is written, so that the call is known never to have run.
#[test]
fn nothing_is_written_behind_an_end_that_has_come() {
    for last in [&b""[..], &[0, 0, 0, 2, b'z', b'z']] {
        // On a slow machine, too, it comes up in time.
        let (mut pool, listener) = pool(PoolLimits { dial_timeout: 30 * SECOND, ..limits() });
        let (executor, inbox) = (pool.executor.clone(), pool.inbox.clone());
        pool.dispatch(0, sends(1, 1));
        while pool.forwards() == 0 {
            block_on(executor.run(yield_now()));
        }
        let (mut server, _) = listener.accept().unwrap();
        pool.handle_event(10, 0, answer("q1.0"));
        assert_eq!(outcomes(&mut pool, 10), [Outcome::Served]);
        std::io::Write::write_all(&mut server, last).unwrap();
        // Dropped with the call unread it would be a reset.
        std::io::Read::read(&mut server, &mut [0; 4096]).unwrap();
        drop(server);
        while !has_ended(&listener) {
            std::thread::yield_now();
        }
        pool.dispatch(20, sends(2, 1));
        let event = loop {
            block_on(executor.run(yield_now()));
            if let Some(Input::Connection(0, event)) = inbox.take().pop() {
                break event;
            }
        };
        pool.handle_event(30, 0, event);
        assert_eq!((outcomes(&mut pool, 30), pool.forwards()), (vec![Outcome::NotSent], 1), "{last:?}");
    }
}

/// Whether the end of the one connection to this listener, which its server has closed, has come to the other side: the
/// system has its word for that (state 05, FIN_WAIT2).
fn has_ended(listener: &TcpListener) -> bool {
    let table = std::fs::read_to_string("/proc/net/tcp").unwrap();
    let own = format!("0100007F:{:04X}", listener.local_addr().unwrap().port());
    table.lines().any(|line| {
        let fields: Vec<&str> = line.split_whitespace().collect();
        fields.get(1) == Some(&own.as_str()) && fields.get(3) == Some(&"05")
    })
}

/// What the pool may hold falls: idle connections end at once, those with something out once they are idle.
#[test]
fn a_smaller_room_ends_what_is_idle_first() {
    let (mut pool, _listener) = pool(PoolLimits { max_parts_per_call: 1, ..limits() });
    pool.dispatch(0, sends(1, 3));
    pool.handle_event(10, 0, answer("q1.0"));
    assert_eq!((pool.open(), pool.capacity(), pool.idle()), (3, (10, 7), 1));
    pool.set_capacity(1);
    assert_eq!((pool.open(), pool.capacity(), pool.idle()), (2, (1, 0), 0));
    pool.handle_event(20, 1, answer("q1.1"));
    pool.set_capacity(1);
    assert_eq!((pool.open(), outcomes(&mut pool, 30)), (1, vec![Outcome::Served; 2]));
}

/// How a call would go out: on an idle connection, on one with room beside others, or on a new one.
#[test]
fn the_way_of_a_call_is_known_before_it_is_made() {
    let (mut pool, _listener) = pool(PoolLimits { max_connections: 1, ..limits() });
    let choice = |pool: &Upstream| pool.connection_choice(0, &server(), 1);
    assert_eq!(
        (choice(&pool), pool.connection_choice(0, &NodeId("s9".into()), 1)),
        (Some(ConnectionChoice::New), None)
    );
    pool.dispatch(0, sends(1, 1));
    assert_eq!(choice(&pool), Some(ConnectionChoice::Shared));
    (2..5).for_each(|query| pool.dispatch(0, sends(query, 1)));
    assert_eq!(choice(&pool), Some(ConnectionChoice::New), "it holds as many parts as a connection may");
    (1..5).for_each(|query| pool.handle_event(10, 0, answer(&format!("q{query}.0"))));
    assert_eq!(choice(&pool), Some(ConnectionChoice::Idle));
    pool.retire(20, 0);
    assert_eq!(choice(&pool), Some(ConnectionChoice::New));
}
