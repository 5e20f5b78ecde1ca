//! What a turn costs, in counts: connections looked at, and calls of the system.

use super::*;
use std::io::{Read, Write};
use std::net::TcpStream;

/// So many connections, each to a server of its own, up and idle; with what the servers hold of them.
fn idle_ones(connections: usize) -> (Upstream, Vec<TcpStream>) {
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
    servers.iter_mut().for_each(|server| assert!(heard(server) > 0));
    (pool, servers)
}

/// Bytes that a server has; it waits for some.
fn heard(server: &mut TcpStream) -> usize {
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
    [counts.writes.get(), counts.reads.get(), counts.looks.get()]
}

/// What was counted since.
fn since(pool: &Upstream, before: [u64; 3]) -> [u64; 3] {
    let now = calls(pool);
    [0, 1, 2].map(|i| now[i] - before[i])
}

/// With ten thousand connections and two hundred turns a second, a turn that looks at each costs millions of looks.
#[test]
fn a_turn_looks_at_no_connection_that_is_not_due() {
    let visits = [20, 200].map(|connections| {
        let (mut pool, _servers) = idle_ones(connections);
        pool.limits.dial_timeout = SECOND / 4;
        pool.sweep(SECOND);
        let before = pool.connections.visits();
        for turn in 0..100 {
            pool.sweep(SECOND + turn);
            pool.due();
        }
        let nothing_due = pool.connections.visits() - before;
        // What is due is looked at: of these, three frames that have stopped.
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

/// Parts of two queries to one server, and the giving up of one before, leave together.
#[test]
fn all_that_goes_on_one_connection_in_a_turn_leaves_in_one_write() {
    let (mut pool, mut servers) = idle_ones(1);
    pool.limits.max_parts_per_call = 1;
    pool.dispatch(20, vec![part(2, 0)]);
    assert_eq!(heard(&mut servers[0]), "....mq2.0 0 d=980 8\nc41e77d0".len());
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

/// A part costs a write and a read, and the turn a few looks for all of them.
#[test]
fn a_query_of_hundreds_of_parts_takes_one_write_and_one_read_for_each() {
    let parts = 300;
    let (mut pool, mut servers) = idle_ones(parts);
    let before = calls(&pool);
    pool.dispatch(20, (0..parts).map(|n| part(2, n)).collect());
    assert_eq!(since(&pool, before), [parts as u64, 0, 1]);
    for (n, server) in servers.iter_mut().enumerate() {
        assert!(heard(server) > 0);
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
            let Input::Connection(id, event) = input else { panic!("a line's news") };
            pool.handle_event(30, id, event);
            answers += 1;
        }
    }
    let [writes, reads, looks] = since(&pool, before);
    assert_eq!((writes, reads), (0, parts as u64));
    // They may come in more than one go; each look finds something, but for the last of a go.
    assert!(looks <= 2 * parts as u64);
    assert_eq!(pool.take_ended(30).len(), parts);
}

/// So long as no turn may begin, answers wait where they are; then one look and a read for each takes all of them.
#[test]
fn what_comes_while_no_turn_may_begin_is_read_at_once_before_it() {
    let (mut pool, mut servers) = idle_ones(20);
    pool.dispatch(20, (0..20).map(|n| part(2, n)).collect());
    let (executor, inbox) = (pool.executor.clone(), pool.inbox.clone());
    pool.pause_reads(true);
    let before = calls(&pool);
    for server in &mut servers {
        assert!(heard(server) > 0);
        server.write_all(b"\0\0\0\x05rbad!").unwrap();
    }
    // Time enough for a reader that does not heed this; one that does reads nothing however long that is.
    let while_held = async_io::Timer::after(std::time::Duration::from_millis(50));
    async_io::block_on(executor.run(while_held));
    assert_eq!((since(&pool, before), inbox.take().len()), ([0; 3], 0));
    pool.pause_reads(false);
    assert_eq!((since(&pool, before), inbox.take().len()), ([0, 20, 1], 20));
    // And whatever comes later is read as it comes.
    servers[7].write_all(b"\0\0\0\x05rbad!").unwrap();
    while inbox.take().is_empty() {
        async_io::block_on(executor.run(yield_now()));
    }
}

/// The text of a query of many parts is copied where it is written from, and nowhere else.
#[test]
fn the_text_that_parts_share_is_not_copied_for_each() {
    let (parts, length) = (40, 16 * 1024);
    let (mut pool, _servers) = idle_ones(parts);
    let text: Rc<str> = "x".repeat(length).into();
    let sends: Vec<DispatchedAttempt> =
        (0..parts).map(|n| DispatchedAttempt { text: text.clone(), ..part(2, n) }).collect();
    let taken = allocation_counter::measure(|| pool.dispatch(20, sends));
    assert_eq!(pool.forwards(), 2 * parts as u64);
    // The buffer grows by doubling, once.
    assert!(taken.bytes_total < 8 * length as u64, "{taken:?}");
}

/// What a turn writes by itself keeps to its moment as what a connection's task writes does.
#[test]
fn a_part_whose_moment_has_passed_is_not_written_by_the_turn() {
    let (mut pool, _servers) = idle_ones(1);
    pool.limits.max_parts_per_call = 2;
    let late = DispatchedAttempt { write_deadline: 0, ..part(2, 0) };
    let before = calls(&pool);
    pool.dispatch(20, vec![late.clone()]);
    assert_eq!(since(&pool, before)[0], 0);
    pool.dispatch(
        20,
        vec![
            DispatchedAttempt { part: PartId { shard: 1, ..late.part.clone() }, ..part(3, 0) },
            DispatchedAttempt { write_deadline: 0, ..part(4, 0) },
        ],
    );
    assert_eq!((since(&pool, before)[0], pool.forwards()), (1, 2));
    for input in pool.inbox.take() {
        let Input::Connection(0, event) = input else { panic!("a line's news") };
        pool.handle_event(30, 0, event);
    }
    assert_eq!((outcomes(&mut pool, 30), pool.in_flight()), (vec![Outcome::NotSent; 2], 1));
}

/// A giving up that would go out on a connection that ends with it is not written: its end says as much, and comes before
/// whatever the turn sends in its place.
#[test]
fn what_is_given_up_with_its_connection_ends_before_anything_is_written() {
    let (mut pool, mut servers) = idle_ones(2);
    pool.dispatch(20, vec![part(2, 0)]);
    assert!(heard(&mut servers[0]) > 0);
    let before = calls(&pool);
    let later = 20 + 2 * pool.limits.dial_timeout;
    pool.cancel(later, AttemptId { query: 2, part: 0, attempt: 0 });
    let again = AttemptId { query: 2, part: 0, attempt: 1 };
    pool.dispatch(
        later,
        vec![DispatchedAttempt { attempt: again, deadline: 2 * later, server: name(1), ..part(2, 0) }],
    );
    assert_eq!((since(&pool, before)[0], pool.open()), (1, 1));
    assert!(heard(&mut servers[1]) > 0);
    assert_eq!(heard(&mut servers[0]), 0, "its end, and nothing before it");
}

/// What a connection's own task writes goes out behind what has come, too.
#[test]
fn a_connection_s_task_writes_nothing_behind_an_end_that_has_come() {
    let (mut pool, mut servers) = idle_ones(1);
    servers[0].write_all(b"\0\0\0\x02zz").unwrap();
    let mut byte = [0; 1];
    let socket = pool.connections[&0].connection.socket().unwrap();
    while socket.get_ref().peek(&mut byte).is_err() {
        std::thread::yield_now();
    }
    pool.connections[&0].connection.put(WriteItem::Call(vec![outgoing(20, part(2, 0))]));
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
