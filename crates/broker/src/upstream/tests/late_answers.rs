//! An answer belongs to one attempt. Answers carry the id of their part alone, so that no connection may carry
//! two attempts at one part.

use super::*;
use proptest::prelude::*;

fn attempt(query: u64, number: u32) -> AttemptId {
    AttemptId { query, part: 0, attempt: number }
}

/// A further attempt at the one part of a query.
fn further(query: u64, number: u32) -> DispatchedAttempt {
    DispatchedAttempt { attempt: attempt(query, number), ..sends(query, 1).remove(0) }
}

fn answer_with(part: &PartId, outcome: Outcome) -> ConnectionEvent {
    ConnectionEvent::Frame(FromServer::Answer {
        id: part.to_string(),
        outcome,
        held: Some(9.0),
        value: "late".to_owned(),
    })
}

/// Sends an attempt, writes its frame, and returns the number of its connection.
fn send_out(pool: &mut Upstream, now: Micros, dispatched: DispatchedAttempt) -> u64 {
    let attempt = dispatched.attempt;
    pool.dispatch(now, vec![dispatched]);
    let connection = pool.in_flight[&attempt].connection;
    write_out(pool, connection);
    connection
}

const LATE: [Outcome; 3] = [Outcome::Served, Outcome::Error, Outcome::Full];

/// Guards against taking the late answer to an attempt that was given up for the end of the next attempt at
/// that part, so that a third one goes out beside it.
#[test]
fn a_late_answer_to_a_cancelled_attempt_does_not_end_the_next_one() {
    for late in LATE {
        let (mut pool, _listener) = pool(limits());
        let first = send_out(&mut pool, 0, further(1, 0));
        pool.cancel(400_000, attempt(1, 0));
        assert_eq!(outcomes(&mut pool, 400_000), [Outcome::Cancelled]);
        let second = send_out(&mut pool, 410_000, further(1, 1));
        let learned = pool.servers[&server()].recent_answer_time.get();
        let part = further(1, 0).part;
        pool.handle_event(420_000, first, answer_with(&part, late));
        assert_eq!((outcomes(&mut pool, 420_000), pool.in_flight()), (vec![], 1), "{late:?}");
        assert_eq!(pool.servers[&server()].recent_answer_time.get(), learned, "nothing is learned from it");
        pool.handle_event(500_000, second, answer_with(&part, Outcome::Served));
        let ended = pool.take_ended(500_000);
        assert_eq!(
            ended.iter().map(|e| (e.attempt, e.outcome)).collect::<Vec<_>>(),
            [(attempt(1, 1), Outcome::Served)]
        );
    }
}

/// The same after the attempt timed out.
#[test]
fn a_late_answer_to_an_attempt_that_timed_out_does_not_end_the_next_one() {
    for late in LATE {
        let (mut pool, _listener) = pool(limits());
        let first = send_out(&mut pool, 0, further(1, 0));
        // Something is received, so that the connection is not taken for a silent one.
        pool.handle_event(SECOND - 10, first, ConnectionEvent::PartialFrame);
        assert_eq!(outcomes(&mut pool, SECOND), [Outcome::TimedOut]);
        let dispatched = DispatchedAttempt { deadline: 2 * SECOND, ..further(1, 1) };
        send_out(&mut pool, SECOND, dispatched);
        pool.handle_event(SECOND + 10, first, answer_with(&further(1, 0).part, late));
        assert_eq!((outcomes(&mut pool, SECOND + 10), pool.in_flight()), (vec![], 1), "{late:?}");
    }
}

/// A server that answers twice says nothing about the next attempt at that part.
#[test]
fn a_second_answer_to_an_attempt_does_not_end_the_next_one() {
    for twice in LATE {
        let (mut pool, _listener) = pool(limits());
        let first = send_out(&mut pool, 0, further(1, 0));
        let part = further(1, 0).part;
        pool.handle_event(10, first, answer_with(&part, Outcome::Error));
        let second = send_out(&mut pool, 20, further(1, 1));
        assert_ne!(first, second);
        pool.handle_event(30, first, answer_with(&part, twice));
        assert_eq!((outcomes(&mut pool, 30), pool.in_flight()), (vec![Outcome::Error], 1), "{twice:?}");
        assert!(!pool.connections.contains_key(&first), "no later frame on it can be trusted");
    }
}

/// What arrives on a connection that was closed, or spoils it, says nothing about an attempt that was sent
/// elsewhere.
#[test]
fn the_end_of_a_connection_does_not_end_the_next_attempt_at_a_part_that_it_carried() {
    for end in [
        broken(),
        ConnectionEvent::BadFrame(plover_frames::BadFrame("noise")),
        answer_with(&further(7, 0).part, Outcome::Served),
    ] {
        let (mut pool, _listener) = pool(limits());
        let first = send_out(&mut pool, 0, further(1, 0));
        pool.cancel(10, attempt(1, 0));
        send_out(&mut pool, 20, further(1, 1));
        pool.handle_event(30, first, end);
        pool.handle_event(40, first, answer_with(&further(1, 0).part, Outcome::Full));
        assert_eq!((outcomes(&mut pool, 40), pool.in_flight()), (vec![Outcome::Cancelled], 1));
    }
}

/// A query may have the request id of one that has ended, of which an attempt may still be answered.
#[test]
fn a_late_answer_after_the_end_of_its_query_does_not_end_an_attempt_of_another_one() {
    let (mut pool, _listener) = pool(limits());
    let first = send_out(&mut pool, 0, further(1, 0));
    pool.cancel(10, attempt(1, 0));
    pool.withdraw_query(10, 1);
    let same_id = DispatchedAttempt { part: further(1, 0).part, ..further(2, 0) };
    send_out(&mut pool, 20, same_id);
    pool.handle_event(30, first, answer_with(&further(1, 0).part, Outcome::Served));
    assert_eq!((outcomes(&mut pool, 30), pool.in_flight()), (vec![Outcome::Cancelled], 1));
}

/// What may still be answered is never forgotten. The memory for it is limited by the connection, which takes
/// no new calls once there is much of it.
#[test]
fn a_connection_with_many_unanswered_cancelled_attempts_retires() {
    let (mut pool, _listener) = pool(PoolLimits { max_connections: 1, ..limits() });
    let most = limits().max_parts_per_connection as u64;
    for query in 1..=most {
        assert_eq!(send_out(&mut pool, query, further(query, 0)), 0);
        pool.cancel(query, attempt(query, 0));
    }
    pool.sweep(most + 1);
    assert_eq!((pool.open(), outcomes(&mut pool, most + 1).len()), (0, most as usize));
}

/// An attempt of which nothing was written leaves its connection to the next one.
#[test]
fn a_withdrawn_attempt_does_not_keep_the_next_one_from_its_connection() {
    let (mut pool, _listener) = pool(limits());
    let first = send_out(&mut pool, 0, further(9, 0));
    pool.handle_event(5, first, answer("q9.0"));
    pool.dispatch(10, vec![further(1, 0)]);
    assert_eq!(pool.in_flight[&attempt(1, 0)].connection, first);
    pool.cancel(10, attempt(1, 0));
    assert_eq!(send_out(&mut pool, 20, further(1, 1)), first);
    pool.withdraw_query(30, 1);
    pool.withdraw_query(30, 9);
    assert!(pool.assigned.is_empty(), "nothing is kept of queries that have ended");
}

/// One attempt as a data server sees it.
struct Received {
    connection: u64,
    part: PartId,
    attempt: AttemptId,
    answered: bool,
}

proptest! {
    /// Whatever is sent, cancelled and answered in whatever order: an answer ends the attempt that the server
    /// answers if that is still in flight, and no other one.
    #[test]
    fn an_answer_ends_its_own_attempt_or_none(
        steps in prop::collection::vec((0u8..8, 0usize..16, 0usize..3), 1..120),
    ) {
        let (mut pool, _listener) = pool(PoolLimits { max_parts_per_connection: 8, ..limits() });
        let mut next_attempt = [0; 4];
        let mut received: Vec<Received> = Vec::new();
        let mut now = 0;
        for (step, n, kind) in steps {
            now += 1_000;
            let query = (n % 4) as u64 + 1;
            let number = &mut next_attempt[n % 4];
            match step {
                0..3 => {
                    let dispatched = DispatchedAttempt { deadline: now + 40_000, ..further(query, *number) };
                    let (part, attempt) = (dispatched.part.clone(), dispatched.attempt);
                    *number += 1;
                    pool.dispatch(now, vec![dispatched]);
                    if let Some(connection) = pool.in_flight.get(&attempt).map(|f| f.connection) {
                        write_out(&mut pool, connection);
                        received.push(Received { connection, part, attempt, answered: false });
                    }
                }
                3 => pool.cancel(now, attempt(query, number.saturating_sub(1))),
                4 => {
                    pool.withdraw_query(now, query);
                    *number = number.saturating_add(100);
                }
                _ => {
                    let open = |r: &&mut Received| !r.answered && pool.connections.contains_key(&r.connection);
                    let mut open: Vec<&mut Received> = received.iter_mut().filter(open).collect();
                    if open.is_empty() {
                        continue;
                    }
                    let of = n % open.len();
                    let answered = &mut open[of];
                    answered.answered = true;
                    let expected: Vec<AttemptId> =
                        pool.in_flight.contains_key(&answered.attempt).then_some(answered.attempt).into_iter().collect();
                    let _ = pool.take_ended(0);
                    pool.handle_event(now, answered.connection, answer_with(&answered.part, LATE[kind]));
                    let ended: Vec<AttemptId> = pool.take_ended(0).into_iter().map(|e| e.attempt).collect();
                    prop_assert_eq!(ended, expected);
                }
            }
            let _ = pool.take_ended(now);
            pool.sweep(now);
        }
    }
}
