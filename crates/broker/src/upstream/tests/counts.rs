//! The cost of a turn in counts: connections visited, and system calls.

use super::*;
use std::io::{Read, Write};
use std::net::TcpStream;

/// A pool with the given number of established, idle connections, each to a server of its own, and the
/// servers' ends of them.
fn idle_connections(connections: usize) -> (Upstream, Vec<TcpStream>) {
    let (mut pool, listener) =
        pool(PoolLimits { max_connections: connections, dial_timeout: 30 * SECOND, ..limits() });
    let address = listener.local_addr().unwrap();
    (0..connections).for_each(|n| pool.set_endpoint(0, name(n), Some(address)));
    let mut servers = Vec::new();
    // The listener's queue holds 128.
    for chunk in (0..connections).collect::<Vec<_>>().chunks(64) {
        pool.dispatch(0, chunk.iter().map(|n| part(1, *n)).collect());
        run_until_written(&mut pool);
        servers.extend(chunk.iter().map(|_| listener.accept().unwrap().0));
    }
    for id in 0..connections as u64 {
        pool.handle_event(10, id, answer(&format!("q1.{id}")));
    }
    assert_eq!(
        (pool.take_ended(10).len(), pool.open(), pool.idle()),
        (connections, connections, connections)
    );
    servers.iter_mut().for_each(|server| assert!(receive(server) > 0));
    (pool, servers)
}

/// Waits until a server receives something and returns the number of bytes.
fn receive(server: &mut TcpStream) -> usize {
    server.read(&mut [0; 4096]).unwrap()
}

fn name(n: usize) -> NodeId {
    NodeId(format!("s{n:04}").into())
}

fn part(query: u64, n: usize) -> DispatchedAttempt {
    let attempt = AttemptId { query, part: n, attempt: 0 };
    let part = PartId { request: format!("q{query}").into(), shard: n };
    DispatchedAttempt { attempt, part, server: name(n), ..sends(query, 1).remove(0) }
}

fn calls(pool: &Upstream) -> [u64; 3] {
    let counts = &pool.sockets.counts;
    [counts.writes.get(), counts.reads.get(), counts.polls.get()]
}

/// System calls counted since `before`.
fn since(pool: &Upstream, before: [u64; 3]) -> [u64; 3] {
    let now = calls(pool);
    [0, 1, 2].map(|i| now[i] - before[i])
}

/// With ten thousand connections and two hundred turns a second, visiting each connection in each turn would
/// cost millions of visits a second.
#[test]
fn a_turn_visits_no_connection_that_is_not_due() {
    let visits = [20, 200].map(|connections| {
        let (mut pool, _servers) = idle_connections(connections);
        pool.limits.dial_timeout = SECOND / 4;
        pool.sweep(SECOND);
        let before = pool.connections.visits();
        for turn in 0..100 {
            pool.sweep(SECOND + turn);
            pool.due();
        }
        let nothing_due = pool.connections.visits() - before;
        // Connections that are due are visited: here three with a stalled frame.
        for id in 0..3 {
            pool.dispatch(SECOND, vec![part(2, id as usize)]);
            pool.handle_event(SECOND, id, ConnectionEvent::PartialFrame);
        }
        pool.sweep(SECOND + pool.limits.dial_timeout);
        assert_eq!(pool.open(), connections - 3);
        (nothing_due, pool.connections.visits() - before)
    });
    assert_eq!(visits, [(0, 3); 2]);
}

/// Parts of several queries to one server and the cancellation of an earlier part are written together.
#[test]
fn everything_for_one_connection_in_a_turn_is_written_at_once() {
    let (mut pool, mut servers) = idle_connections(1);
    pool.limits.max_parts_per_call = 1;
    pool.dispatch(20, vec![part(2, 0)]);
    assert_eq!(receive(&mut servers[0]), "....mq2.0 0 d=980 8\nc41e77d0".len());
    let before = calls(&pool);
    pool.cancel(30, AttemptId { query: 2, part: 0, attempt: 0 });
    pool.dispatch(30, vec![part(3, 0), part(4, 0), part(5, 0)]);
    assert_eq!(since(&pool, before), [1, 0, 1]);
    let mut input = [0; 4096];
    let n = servers[0].read(&mut input).unwrap();
    let text = String::from_utf8_lossy(&input[..n]).replace(|c: char| c.is_control(), " ");
    let order = ["nq2.0", "mq3.0", "mq4.0", "mq5.0"].map(|word| text.find(word).unwrap());
    assert!(order.is_sorted(), "{text}");
    assert_eq!(pool.forwards(), 1 + 1 + 3);
}

/// Each part costs a write and a read, and the turn a few polls for all parts together.
#[test]
fn a_query_of_hundreds_of_parts_takes_one_write_and_one_read_for_each() {
    let parts = 300;
    let (mut pool, mut servers) = idle_connections(parts);
    let before = calls(&pool);
    pool.dispatch(20, (0..parts).map(|n| part(2, n)).collect());
    assert_eq!(since(&pool, before), [parts as u64, 0, 1]);
    for (n, server) in servers.iter_mut().enumerate() {
        assert!(receive(server) > 0);
        server
            .write_all(&plover_frames::from_broker::answer(
                &format!("q2.{n}"),
                plover_frames::from_broker::End::Good,
                None,
                "v",
            ))
            .unwrap();
    }
    let before = calls(&pool);
    let (executor, inbox) = (pool.executor.clone(), pool.inbox.clone());
    let mut answers = 0;
    while answers < parts {
        async_io::block_on(executor.run(yield_now()));
        for input in inbox.take() {
            let Input::Connection(id, event) = input else { panic!("not an event of a connection") };
            pool.handle_event(30, id, event);
            answers += 1;
        }
    }
    let [writes, reads, polls] = since(&pool, before);
    assert_eq!((writes, reads), (0, parts as u64));
    // The answers may arrive in several batches. Each poll finds something, except the last of a batch.
    assert!(polls <= 2 * parts as u64);
    assert_eq!(pool.take_ended(30).len(), parts);
}

/// While no turn may begin, answers stay in the system's buffers. One poll and one read for each then
/// receives all of them.
#[test]
fn answers_that_arrive_while_reads_are_paused_are_read_together() {
    let (mut pool, mut servers) = idle_connections(20);
    pool.dispatch(20, (0..20).map(|n| part(2, n)).collect());
    let (executor, inbox) = (pool.executor.clone(), pool.inbox.clone());
    pool.pause_reads(true);
    let before = calls(&pool);
    for server in &mut servers {
        assert!(receive(server) > 0);
        server.write_all(b"\0\0\0\x05rbad!").unwrap();
    }
    // Long enough for a reader that ignored the pause to read; with the pause nothing is read, however long
    // that is.
    let while_paused = async_io::Timer::after(std::time::Duration::from_millis(50));
    async_io::block_on(executor.run(while_paused));
    assert_eq!((since(&pool, before), inbox.take().len()), ([0; 3], 0));
    pool.pause_reads(false);
    assert_eq!((since(&pool, before), inbox.take().len()), ([0, 20, 1], 20));
    // Whatever arrives later is read as it arrives.
    servers[7].write_all(b"\0\0\0\x05rbad!").unwrap();
    while inbox.take().is_empty() {
        async_io::block_on(executor.run(yield_now()));
    }
}

/// The text of a query of many parts is copied only into the write buffer.
#[test]
fn the_text_that_parts_share_is_not_copied_for_each_part() {
    let (parts, length) = (40, 16 * 1024);
    let (mut pool, _servers) = idle_connections(parts);
    let text: Rc<str> = "x".repeat(length).into();
    let sends: Vec<DispatchedAttempt> =
        (0..parts).map(|n| DispatchedAttempt { text: text.clone(), ..part(2, n) }).collect();
    let allocated = allocation_counter::measure(|| pool.dispatch(20, sends));
    assert_eq!(pool.forwards(), 2 * parts as u64);
    // The write buffer grows by doubling, once.
    assert!(allocated.bytes_total < 8 * length as u64, "{allocated:?}");
}

/// Writes made by a turn keep to the write deadline as those of a connection's task do.
#[test]
fn a_part_whose_write_deadline_has_passed_is_not_written_by_the_turn() {
    let (mut pool, _servers) = idle_connections(1);
    pool.limits.max_parts_per_call = 2;
    let expired = DispatchedAttempt { write_deadline: 0, ..part(2, 0) };
    let before = calls(&pool);
    pool.dispatch(20, vec![expired.clone()]);
    assert_eq!(since(&pool, before)[0], 0);
    pool.dispatch(
        20,
        vec![
            DispatchedAttempt { part: PartId { shard: 1, ..expired.part.clone() }, ..part(3, 0) },
            DispatchedAttempt { write_deadline: 0, ..part(4, 0) },
        ],
    );
    assert_eq!((since(&pool, before)[0], pool.forwards()), (1, 2));
    for input in pool.inbox.take() {
        let Input::Connection(0, event) = input else { panic!("not an event of a connection") };
        pool.handle_event(30, 0, event);
    }
    assert_eq!((outcomes(&mut pool, 30), pool.in_flight()), (vec![Outcome::NotSent; 2], 1));
}

/// A cancellation that closes its connection is not written: the close itself tells the server, and comes
/// before whatever the turn sends in place of the cancelled attempt.
#[test]
fn a_connection_that_closes_with_a_cancelled_attempt_closes_before_anything_is_written() {
    let (mut pool, mut servers) = idle_connections(2);
    pool.dispatch(20, vec![part(2, 0)]);
    assert!(receive(&mut servers[0]) > 0);
    let before = calls(&pool);
    let later = 20 + 2 * pool.limits.dial_timeout;
    pool.cancel(later, AttemptId { query: 2, part: 0, attempt: 0 });
    let retry = AttemptId { query: 2, part: 0, attempt: 1 };
    pool.dispatch(
        later,
        vec![DispatchedAttempt { attempt: retry, deadline: 2 * later, server: name(1), ..part(2, 0) }],
    );
    assert_eq!((since(&pool, before)[0], pool.open()), (1, 1));
    assert!(receive(&mut servers[1]) > 0);
    assert_eq!(receive(&mut servers[0]), 0, "the close, and nothing before it");
}

/// A connection's own task reads what was received before it writes, too.
#[test]
fn a_connection_s_task_writes_nothing_after_a_corrupt_frame_was_received() {
    let (mut pool, mut servers) = idle_connections(1);
    servers[0].write_all(b"\0\0\0\x02zz").unwrap();
    let mut byte = [0; 1];
    let socket = pool.connections[&0].connection.socket().unwrap();
    while socket.get_ref().peek(&mut byte).is_err() {
        std::thread::yield_now();
    }
    pool.connections[&0].connection.enqueue(WriteItem::Call(vec![queued_part(20, part(2, 0))]));
    let (executor, inbox) = (pool.executor.clone(), pool.inbox.clone());
    let event = loop {
        block_on(executor.run(yield_now()));
        if let Some(Input::Connection(0, event)) = inbox.take().pop() {
            break event;
        }
    };
    assert!(matches!(event, ConnectionEvent::BadFrame(_)));
    (0..10).for_each(|_| block_on(executor.run(yield_now())));
    assert_eq!(pool.forwards(), 1);
    pool.handle_event(30, 0, event);
    assert_eq!(pool.open(), 0);
}
