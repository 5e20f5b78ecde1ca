//! What the guard lets pass and what it ends, by hand-written frames.

use plover_h2_guard::{Budget, Guard, Kind, PREFACE, Violation};
use proptest::prelude::*;

const BUDGET: Budget = Budget { burst: 10, per_second: 5, per_answer: 2, header_block: 100 };
const SECOND: u64 = 1_000_000;

fn frame(kind: u8, flags: u8, length: usize) -> Vec<u8> {
    let mut bytes = (length as u32).to_be_bytes()[1..].to_vec();
    bytes.extend([kind, flags, 0, 0, 0, 1]);
    bytes.resize(9 + length, 0);
    bytes
}

/// A guard that has seen the preface and SETTINGS, at time 0.
fn settled() -> Guard {
    let mut guard = Guard::new(0, BUDGET);
    guard.feed(0, &[&PREFACE[..], &frame(4, 0, 6)].concat()).unwrap();
    guard
}

fn feed_many(guard: &mut Guard, now: u64, frame: &[u8], times: usize) -> Result<usize, (usize, Violation)> {
    (0..times).try_fold(0, |n, _| guard.feed(now, frame).map(|()| n + 1).map_err(|v| (n, v)))
}

/// Each kind of frame that carries nothing is bounded; what SETTINGS cost at the start is one token.
#[test]
fn frames_that_carry_nothing_are_bounded() {
    for (bytes, kind) in [
        (frame(6, 0, 8), Kind::Ping),
        (frame(4, 0, 0), Kind::Settings),
        (frame(2, 0, 5), Kind::Priority),
        (frame(3, 0, 4), Kind::Reset),
        (frame(0, 0, 0), Kind::Data),
        (frame(8, 0, 4), Kind::WindowUpdate),
        (frame(77, 0, 3), Kind::Other),
    ] {
        let mut guard = settled();
        assert_eq!(feed_many(&mut guard, 0, &bytes, 1000), Err((9, Violation::Flood(kind))));
        let mut slow = settled();
        assert!(
            (1..1000).all(|s| feed_many(&mut slow, s * SECOND, &bytes, 5) == Ok(5)),
            "{kind} at a slow pace"
        );
    }
}

#[test]
fn acknowledgements_and_data_cost_nothing() {
    let mut guard = settled();
    for bytes in [frame(6, 1, 8), frame(4, 1, 0), frame(0, 0, 50), frame(0, 1, 0), frame(1, 5, 20)] {
        assert_eq!(feed_many(&mut guard, 0, &bytes, 1000), Ok(1000));
    }
}

/// Rapid reset: a request opened and given up at once. A client whose requests are answered may give up as many.
#[test]
fn resets_are_worth_what_is_answered() {
    let request_and_reset = [frame(1, 5, 20), frame(3, 0, 4)].concat();
    assert!(matches!(
        feed_many(&mut settled(), 0, &request_and_reset, 1000),
        Err((9, Violation::Flood(Kind::Reset)))
    ));
    let mut usual = settled();
    for _ in 0..1000 {
        usual.feed(0, &request_and_reset).unwrap();
        usual.answered(0);
    }
}

#[test]
fn a_header_block_without_end_is_ended() {
    let mut guard = settled();
    guard.feed(0, &frame(1, 1, 60)).unwrap();
    assert_eq!(guard.feed(0, &frame(9, 0, 60)), Err(Violation::HeaderBlock));
    let mut guard = settled();
    guard.feed(0, &frame(1, 1, 1)).unwrap();
    assert_eq!(
        feed_many(&mut guard, 0, &frame(9, 0, 0), 1000),
        Err((9, Violation::Flood(Kind::Continuation)))
    );
}

#[test]
fn another_protocol_is_told_from_noise() {
    for (bytes, violation) in [
        (&b"GET / HTTP/1.1\r\n"[..], Violation::Http1),
        (b"POST /lookup HTTP/1.1\r\n", Violation::Http1),
        (b"PRI * HTTP/1.1\r\n", Violation::Http1),
        (b"\x16\x03\x01\x02\x00", Violation::NotHttp2),
        (b"get / HTTP/1.1\r\n", Violation::NotHttp2),
        (b"PRI * HTTP/2.0\r\n\r\nXX", Violation::Http1),
    ] {
        assert_eq!(Guard::new(0, BUDGET).feed(0, bytes), Err(violation), "{bytes:?}");
    }
    let mut guard = Guard::new(0, BUDGET);
    assert_eq!(guard.feed(0, &[&PREFACE[..], &frame(6, 0, 8)].concat()), Err(Violation::NoSettings));
}

#[test]
fn what_stands_half_sent_is_known_since_when() {
    let mut guard = Guard::new(5, BUDGET);
    assert_eq!(guard.half_since(), Some(5));
    guard.feed(6, PREFACE).unwrap();
    assert_eq!(guard.half_since(), Some(5), "silence after the preface");
    guard.feed(7, &frame(4, 0, 0)).unwrap();
    assert_eq!(guard.half_since(), None);
    let headers = frame(1, 0, 20);
    guard.feed(8, &headers[..12]).unwrap();
    guard.feed(9, &headers[12..]).unwrap();
    assert_eq!(guard.half_since(), Some(8), "the block has no end yet");
    guard.feed(10, &frame(9, 4, 0)).unwrap();
    assert_eq!(guard.half_since(), None);
}

proptest! {
    /// However the bytes are cut, the guard sees the same frames; and no bytes make it panic.
    #[test]
    fn the_cuts_change_nothing(kinds in prop::collection::vec((0u8..12, any::<u8>(), 0usize..30), 0..40), cuts in prop::collection::vec(1usize..20, 1..6)) {
        let mut bytes = [&PREFACE[..], &frame(4, 0, 6)].concat();
        for (kind, flags, length) in kinds { bytes.extend(frame(kind, flags, length)); }
        let whole = Guard::new(0, BUDGET).feed(0, &bytes);
        let mut guard = Guard::new(0, BUDGET);
        let (mut rest, mut cuts) = (&bytes[..], cuts.iter().cycle());
        let mut cut = Ok(());
        while !rest.is_empty() && cut.is_ok() {
            let n = (*cuts.next().unwrap()).min(rest.len());
            cut = guard.feed(0, &rest[..n]);
            rest = &rest[n..];
        }
        prop_assert_eq!(whole, cut);
    }

    #[test]
    fn any_bytes_are_taken(bytes in prop::collection::vec(any::<u8>(), 0..200), preface in any::<bool>()) {
        let mut guard = Guard::new(0, BUDGET);
        if preface { guard.feed(0, PREFACE).unwrap(); }
        let _ = guard.feed(0, &bytes);
    }
}
