mod counts;
mod late_answers;

use super::*;
use crate::inbox::{ConnectionEvent, Input};
use futures_lite::future::{block_on, yield_now};
use plover_frames::FromServer;
use std::net::TcpListener;

const SECOND: Micros = 1_000_000;

fn pool(limits: PoolLimits) -> (Upstream, TcpListener) {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let mut pool = Upstream::new(Rc::default(), Rc::default(), Clock::stopped(), limits).unwrap();
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
fn calls_are_spread_over_a_few_connections_and_idle_ones_are_reused() {
    let (mut pool, _listener) = pool(limits());
    pool.dispatch(0, sends(1, 3));
    assert_eq!(pool.open(), 2);
    pool.handle_event(10, 1, answer("q1.2"));
    pool.dispatch(20, sends(2, 1));
    assert_eq!((pool.open(), pool.connections[&1].in_flight.len()), (2, 1));
    (3..20).for_each(|query| pool.dispatch(30, sends(query, 1)));
    assert_eq!(pool.connections.values().map(|c| c.in_flight.len()).collect::<Vec<_>>(), [4; 5]);
}

/// The time that a part waits for its connection to be established must not count as answer time of its
/// server.
#[test]
fn answer_time_starts_once_the_connection_is_established() {
    let (mut pool, _listener) = pool(limits());
    pool.dispatch(1_000, sends(1, 1));
    pool.connections[&0].connection.set_connected(81_000);
    pool.handle_event(101_000, 0, answer("q1.0"));
    pool.dispatch(200_000, sends(2, 1));
    pool.handle_event(230_000, 0, answer("q2.0"));
    let ended = pool.take_ended(230_000);
    let elapsed: Vec<Micros> = ended.iter().map(|ended| ended.elapsed).collect();
    assert_eq!(elapsed, [20_000, 30_000]);
    assert!(ended.iter().all(|ended| ended.connected_at == Some(81_000)));
}

/// A server may close a connection right after its answer, so the connection that has been idle longest is
/// the safest.
#[test]
fn the_connection_that_has_been_idle_longest_is_used() {
    let (mut pool, _listener) = pool(limits());
    pool.dispatch(0, sends(1, 3));
    for (now, id, wire) in [(10, 1, "q1.2"), (20, 0, "q1.1"), (30, 0, "q1.0")] {
        pool.handle_event(now, id, answer(wire));
    }
    pool.dispatch(40, sends(2, 1));
    assert_eq!(pool.connections[&1].in_flight.len(), 1);
}

/// Answers are matched by part id, so the answers to two attempts at one part on the same connection could
/// not be told apart.
#[test]
fn a_hedged_attempt_at_the_same_server_uses_another_connection() {
    let (mut pool, _listener) = pool(PoolLimits { max_connections: 2, ..limits() });
    pool.dispatch(0, sends(1, 1));
    pool.dispatch(10, sends(2, 1));
    let hedge =
        |s: DispatchedAttempt| DispatchedAttempt { attempt: AttemptId { attempt: 1, ..s.attempt }, ..s };
    pool.dispatch(20, sends(1, 1).into_iter().map(hedge).collect());
    assert_eq!(pool.connections.values().map(|c| c.in_flight.len()).collect::<Vec<_>>(), [1, 2]);
    pool.handle_event(30, 0, answer("q1.0"));
    pool.handle_event(40, 1, answer("q1.0"));
    assert_eq!(outcomes(&mut pool, 50), [Outcome::Served, Outcome::Served]);
    assert_eq!(pool.in_flight(), 1);
}

/// Runs the pool's tasks until all frames are written.
fn run_until_written(pool: &mut Upstream) {
    let executor = pool.executor.clone();
    while pool.connections.values().any(|c| !c.connection.unwritten().is_empty()) {
        async_io::block_on(executor.run(yield_now()));
    }
}

/// A part whose frame is longer than what the system buffers for a peer that does not read.
fn oversized(query: u64) -> Vec<DispatchedAttempt> {
    sends(query, 1)
        .into_iter()
        .map(|s| DispatchedAttempt { text: "x".repeat(64 << 20).into(), ..s })
        .collect()
}

/// The end of a connection that had been established says nothing about whether its server can be reached.
#[test]
fn parts_queued_on_a_connection_that_had_been_established_end_as_not_sent() {
    let (mut pool, _listener) = pool(PoolLimits { max_connections: 1, ..limits() });
    pool.dispatch(0, sends(1, 1));
    run_until_written(&mut pool);
    pool.dispatch(10, oversized(2));
    assert!(pool.connections[&0].connection.is_write_blocked(), "the frame is not written to its end");
    pool.dispatch(10, sends(3, 1));
    pool.handle_event(20, 0, broken());
    assert_eq!(outcomes(&mut pool, 30), [Outcome::ConnectionLost, Outcome::NotSent, Outcome::NotSent]);
}

/// The socket may accept only part of what a turn writes. The connection's task then writes the rest,
/// followed by the frames behind it.
#[test]
fn frames_that_a_socket_does_not_accept_at_once_are_written_in_order() {
    let (mut pool, listener) = pool(PoolLimits { max_connections: 1, max_parts_per_call: 1, ..limits() });
    pool.dispatch(0, sends(1, 1));
    run_until_written(&mut pool);
    pool.dispatch(10, [oversized(2), sends(3, 2)].concat());
    assert!(pool.connections[&0].connection.is_write_blocked());
    assert_eq!(pool.forwards(), 1);
    let (mut server, _) = listener.accept().unwrap();
    let reading = std::thread::spawn(move || {
        let (mut input, mut received) = (Vec::new(), Vec::new());
        let mut chunk = vec![0; 1 << 20];
        while received.len() < 4 {
            let n = std::io::Read::read(&mut server, &mut chunk).unwrap();
            input.extend_from_slice(&chunk[..n]);
            // Decoded by hand, since one frame is longer than any that a server accepts.
            while let Some((length, rest)) = input.split_first_chunk::<4>() {
                let length = u32::from_be_bytes(*length) as usize;
                if rest.len() < length {
                    break;
                }
                let line = rest[1..].split(|b| *b == b' ').next().unwrap();
                received.push(String::from_utf8(line.to_vec()).unwrap());
                input.drain(..4 + length);
            }
        }
        received
    });
    run_until_written(&mut pool);
    assert_eq!(reading.join().unwrap(), ["q1.0", "q2.0", "q3.0", "q3.1"]);
    assert_eq!(pool.forwards(), 4);
}

fn outcomes_after_corrupt(event: ConnectionEvent, sent: usize) -> (Vec<Outcome>, usize) {
    let (mut pool, _listener) = pool(PoolLimits { max_parts_per_call: 4, ..limits() });
    pool.dispatch(0, sends(1, sent));
    block_on(pool.connections[&0].connection.next_frame(&Clock::stopped()));
    pool.connections[&0].connection.frame_written();
    pool.handle_event(10, 0, event);
    (outcomes(&mut pool, 20), pool.open())
}

/// An answer to an attempt that is not in flight was sent in place of one that will not come, which must not
/// be awaited. It counts as one failure of the server, whatever else is in flight on the connection, and not
/// as a failure of a query.
#[test]
fn a_corrupt_answer_fails_one_attempt_and_closes_its_connection() {
    for event in [answer("q7.0"), ConnectionEvent::BadFrame(plover_frames::BadFrame("noise"))] {
        let outcomes = outcomes_after_corrupt(event, 3);
        assert_eq!(outcomes, (vec![Outcome::Error, Outcome::Cancelled, Outcome::Cancelled], 0));
    }
}

/// A duplicate or invalid bytes after a good answer make no attempt fail, but no later frame on the
/// connection can be trusted.
#[test]
fn surplus_after_a_good_answer_closes_the_connection_and_fails_no_attempt() {
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

/// The answer to a cancelled attempt may arrive after the cancellation. It is ignored, but only once.
#[test]
fn a_late_answer_to_a_cancelled_attempt_is_ignored() {
    let (mut pool, _listener) = pool(limits());
    pool.dispatch(0, sends(1, 2));
    block_on(pool.connections[&0].connection.next_frame(&Clock::stopped()));
    pool.connections[&0].connection.frame_written();
    pool.cancel(10, AttemptId { query: 1, part: 0, attempt: 0 });
    pool.handle_event(20, 0, answer("q1.0"));
    assert_eq!((outcomes(&mut pool, 20), pool.open()), (vec![Outcome::Cancelled], 1));
    pool.handle_event(30, 0, answer("q1.0"));
    assert_eq!((outcomes(&mut pool, 30), pool.open()), (vec![Outcome::Error], 0));
}

/// A frame with a wrong length announces bytes that never come. Its attempt must not wait until its deadline.
#[test]
fn a_stalled_frame_closes_its_connection() {
    let (mut pool, _listener) = pool(limits());
    pool.dispatch(0, sends(1, 1));
    block_on(pool.connections[&0].connection.next_frame(&Clock::stopped()));
    pool.connections[&0].connection.frame_written();
    pool.handle_event(10, 0, ConnectionEvent::PartialFrame);
    assert_eq!(pool.due(), 10 + limits().dial_timeout);
    pool.sweep(9 + limits().dial_timeout);
    assert_eq!(pool.open(), 1);
    pool.sweep(10 + limits().dial_timeout);
    assert_eq!((outcomes(&mut pool, SECOND / 2), pool.open()), (vec![Outcome::Error], 0));
}

/// Every dispatched attempt ends, even if no descriptor is free for it.
#[test]
fn without_a_free_descriptor_an_idle_connection_is_evicted_or_the_attempt_ends() {
    let (mut pool, listener) = pool(PoolLimits { max_connections: 1, ..limits() });
    pool.dispatch(0, sends(1, 1));
    let other = NodeId("s1".into());
    pool.set_endpoint(0, other.clone(), Some(listener.local_addr().unwrap()));
    let to_other = |query| {
        sends(query, 1).into_iter().map(|s| DispatchedAttempt { server: other.clone(), ..s }).collect()
    };
    pool.dispatch(0, to_other(2));
    // The outcome does not count against the server.
    assert_eq!(outcomes(&mut pool, 30), [Outcome::NotSent]);
    pool.handle_event(10, 0, answer("q1.0"));
    pool.dispatch(20, to_other(3));
    assert_eq!((outcomes(&mut pool, 30), pool.open()), (vec![Outcome::Served], 1));
}

/// A part sent while the server closes the idle connection would end with a reset.
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

/// Nothing may be sent to a server that drains, not even what was queued for a connection when the drain
/// began.
#[test]
fn parts_queued_for_a_server_that_leaves_are_withdrawn() {
    let (mut pool, _listener) = pool(limits());
    pool.dispatch(0, sends(1, 2));
    pool.set_endpoint(10, server(), None);
    assert_eq!(outcomes(&mut pool, 30), [Outcome::NotSent; 2]);
    pool.dispatch(20, sends(2, 1));
    assert_eq!(outcomes(&mut pool, 30), [Outcome::NoConnection]);
    pool.sweep(20);
    assert_eq!((pool.open(), pool.servers.len()), (0, 0));
}

/// A part that was not written to its last byte never ran. Any other may have run, or may run later.
#[test]
fn the_outcome_tells_whether_an_attempt_may_have_run() {
    let (mut pool, _listener) = pool(limits());
    pool.dispatch(0, sends(1, 1));
    assert_eq!(outcomes(&mut pool, SECOND), [Outcome::NoConnection]);
    pool.dispatch(0, sends(2, 2));
    let connection = pool.connections[&0].connection.clone();
    block_on(connection.next_frame(&Clock::stopped()));
    pool.handle_event(20, 0, broken());
    assert_eq!(outcomes(&mut pool, 30), [Outcome::NoConnection; 2]);
    pool.dispatch(30, sends(3, 1));
    let (executor, inbox) = (pool.executor.clone(), pool.inbox.clone());
    let connection = pool.connections[&1].connection.clone();
    let written = async {
        while !connection.unwritten().is_empty() {
            yield_now().await;
        }
    };
    async_io::block_on(executor.run(written));
    assert!(!inbox.take().iter().any(|i| matches!(i, Input::Connection(1, ConnectionEvent::Closed(_)))));
    pool.handle_event(40, 1, broken());
    assert_eq!(outcomes(&mut pool, 30), [Outcome::ConnectionLost]);
}

/// Connections over a cut link stay open and silent. A connection on which something was received is kept.
#[test]
fn a_silent_connection_is_closed_when_its_attempt_times_out() {
    for answered in [false, true] {
        let (mut pool, _listener) = pool(limits());
        pool.dispatch(0, sends(1, 2));
        block_on(pool.connections[&0].connection.next_frame(&Clock::stopped()));
        pool.connections[&0].connection.frame_written();
        if answered {
            pool.handle_event(100, 0, answer("q1.1"));
        }
        let outcomes = outcomes(&mut pool, SECOND);
        pool.sweep(SECOND);
        assert_eq!(outcomes.last(), Some(&Outcome::TimedOut));
        assert_eq!(pool.open(), usize::from(answered));
    }
}

/// A further attempt at a part must not be sent while a blocked socket holds back the cancellation of the
/// first.
#[test]
fn a_connection_blocked_within_a_frame_closes_with_the_first_cancelled_attempt() {
    let (mut pool, _listener) = pool(limits());
    pool.dispatch(0, sends(1, 2));
    block_on(pool.connections[&0].connection.next_frame(&Clock::stopped()));
    pool.cancel(SECOND / 2, AttemptId { query: 1, part: 0, attempt: 0 });
    assert_eq!(outcomes(&mut pool, SECOND / 2), [Outcome::Cancelled, Outcome::NoConnection]);
    assert_eq!(pool.open(), 0);
}

/// Marks everything queued on the connection as written.
fn write_out(pool: &mut Upstream, id: u64) {
    let connection = pool.connections[&id].connection.clone();
    while !connection.unwritten().is_empty() {
        block_on(connection.next_frame(&Clock::stopped()));
        connection.frame_written();
    }
}

/// One connection of a server falls silent while the others continue. What is sent on it is lost until the
/// silence is detected, and having the fewest attempts in flight would make it the first choice for the next
/// call.
#[test]
fn a_silent_connection_gets_no_new_calls_while_others_answer() {
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
    // Less than four times the recent answer time has passed.
    assert!(!pool.is_suspect(60_000, &pool.connections[&0]));
    let overdue_at = 4 * pool.servers[&server()].recent_answer_time.get();
    assert!(pool.is_suspect(overdue_at, &pool.connections[&0]));
    pool.cancel(overdue_at, AttemptId { query: 1, part: 0, attempt: 0 });
    pool.sweep(overdue_at);
    assert_eq!(
        pool.connections.keys().copied().collect::<Vec<_>>(),
        [1, 2, 3],
        "it is closed once nothing is in flight on it"
    );
}

/// A server that is slow on all of its connections must not cause new connections to be dialled.
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

/// If an answer stops half-way, the next parts use other connections, long before the connection is closed as
/// corrupt.
#[test]
fn nothing_is_sent_behind_a_stalled_answer() {
    let (mut pool, _listener) = pool(PoolLimits { max_parts_per_call: 1, ..limits() });
    pool.dispatch(0, sends(1, 1));
    write_out(&mut pool, 0);
    pool.handle_event(10, 0, ConnectionEvent::PartialFrame);
    (2..8).for_each(|query| pool.dispatch(10 + STALLED_AFTER, sends(query, 1)));
    assert_eq!(pool.connections[&0].in_flight.len(), 1);
}

const OVERDUE_AT: Micros = SECOND / 4 / OVERDUE_DIAL_DIVISOR;

/// A connection may be established a second late while others take a millisecond. Waiting for it would use up
/// the part's time and count against its server.
#[test]
fn a_call_queued_on_an_overdue_dial_moves_to_another_connection() {
    let (mut pool, _listener) = pool(limits());
    let in_flight_counts =
        |pool: &Upstream| pool.connections.values().map(|c| c.in_flight.len()).collect::<Vec<_>>();
    pool.dispatch(0, sends(1, 2));
    assert_eq!(pool.due(), OVERDUE_AT);
    pool.sweep(OVERDUE_AT - 1);
    assert_eq!(in_flight_counts(&pool), [2]);
    pool.sweep(OVERDUE_AT);
    assert_eq!(in_flight_counts(&pool), [0, 2]);
    // Its end affects no attempt any more.
    pool.handle_event(OVERDUE_AT, 0, broken());
    assert_eq!(outcomes(&mut pool, OVERDUE_AT), []);
    pool.sweep(2 * OVERDUE_AT);
    assert_eq!(in_flight_counts(&pool), [0, 2]);
    pool.sweep(3 * OVERDUE_AT);
    assert_eq!(in_flight_counts(&pool), [0, 0, 2]);
    // The maximum number of connections is being dialled, so the call stays on the last one.
    pool.sweep(4 * OVERDUE_AT);
    assert_eq!(in_flight_counts(&pool), [0, 0, 2]);
    pool.handle_event(5 * OVERDUE_AT, 3, broken());
    assert_eq!(outcomes(&mut pool, 5 * OVERDUE_AT), [Outcome::NoConnection; 2]);
}

/// An established connection that is idle by then is preferred to dialling another one, and later calls don't
/// wait for the overdue one.
#[test]
fn a_call_queued_on_an_overdue_dial_moves_to_an_established_connection() {
    let (mut pool, _listener) = pool(limits());
    pool.dispatch(0, sends(1, 1));
    write_out(&mut pool, 0);
    pool.dispatch(10, sends(2, 1));
    pool.handle_event(20, 0, answer("q1.0"));
    pool.sweep(10 + OVERDUE_AT);
    assert_eq!(
        (pool.open(), pool.connections[&0].in_flight.len(), pool.connections[&1].in_flight.len()),
        (2, 1, 0)
    );
    pool.dispatch(20 + OVERDUE_AT, sends(3, 1));
    assert_eq!((pool.open(), pool.connections[&1].in_flight.len()), (3, 0));
}

/// A failed dial says nothing about a server that answers on another connection meanwhile.
#[test]
fn a_failed_dial_does_not_count_against_a_server_that_answers() {
    let (mut pool, _listener) = pool(PoolLimits { max_connections: 2, ..limits() });
    pool.dispatch(0, sends(1, 1));
    write_out(&mut pool, 0);
    pool.dispatch(10, sends(2, 1));
    pool.dispatch(20, sends(3, 1));
    assert_eq!(pool.connections[&0].in_flight.len(), 2);
    pool.handle_event(30, 0, answer("q3.0"));
    pool.handle_event(40, 1, broken());
    assert_eq!(outcomes(&mut pool, 50), [Outcome::Served, Outcome::NotSent]);
}

/// A frame that the server does not accept in time must not be written to its end, since a repeat would take
/// effect again.
#[test]
fn a_frame_not_accepted_by_its_write_deadline_is_broken_off() {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let clock = Clock::start();
    async_io::block_on(async {
        let stream = async_io::Async::<std::net::TcpStream>::connect(listener.local_addr().unwrap());
        let stream = stream.await.unwrap();
        // More than the system buffers for a peer that does not read.
        let frame = vec![0; 64 << 20];
        let written = writer::write_before(&stream, &frame, clock.now() + 50_000, &clock);
        let bound = async {
            async_io::Timer::after(std::time::Duration::from_secs(30)).await;
            panic!("the write did not time out");
        };
        let error = futures_lite::FutureExt::or(written, bound).await.unwrap_err();
        assert_eq!(error.kind(), std::io::ErrorKind::TimedOut);
    });
}

/// A server may end a connection, or send an invalid frame, at the time at which a call is to be written
/// there. What was received is read before anything is written, so that the call is known never to have run.
#[test]
fn nothing_is_written_after_the_connection_s_end_was_received() {
    for last in [&b""[..], &[0, 0, 0, 2, b'z', b'z']] {
        // Long enough to be established on a slow machine.
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
        // Closing the socket with unread data would send a reset.
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

/// Whether the peer has received the end of the one connection to this listener, which the server side has
/// closed. The system reports that as state 05 (FIN_WAIT2).
fn has_ended(listener: &TcpListener) -> bool {
    let table = std::fs::read_to_string("/proc/net/tcp").unwrap();
    let local = format!("0100007F:{:04X}", listener.local_addr().unwrap().port());
    table.lines().any(|line| {
        let fields: Vec<&str> = line.split_whitespace().collect();
        fields.get(1) == Some(&local.as_str()) && fields.get(3) == Some(&"05")
    })
}

/// When the capacity of the pool is reduced, idle connections close at once, and others once they are idle.
#[test]
fn a_smaller_capacity_closes_idle_connections_first() {
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

/// A call would use an idle connection, a connection with capacity beside other calls, or a new one.
#[test]
fn the_connection_choice_is_known_before_the_call() {
    let (mut pool, _listener) = pool(PoolLimits { max_connections: 1, ..limits() });
    let choice = |pool: &Upstream| pool.connection_choice(0, &server(), 1);
    assert_eq!(
        (choice(&pool), pool.connection_choice(0, &NodeId("s9".into()), 1)),
        (Some(ConnectionChoice::New), None)
    );
    pool.dispatch(0, sends(1, 1));
    assert_eq!(choice(&pool), Some(ConnectionChoice::Shared));
    (2..5).for_each(|query| pool.dispatch(0, sends(query, 1)));
    assert_eq!(choice(&pool), Some(ConnectionChoice::New), "the connection has its maximum number of parts");
    (1..5).for_each(|query| pool.handle_event(10, 0, answer(&format!("q{query}.0"))));
    assert_eq!(choice(&pool), Some(ConnectionChoice::Idle));
    pool.retire(20, 0);
    assert_eq!(choice(&pool), Some(ConnectionChoice::New));
}
