//! What a flood on one connection costs clients on others.

use super::{Build, http2};
use hdrhistogram::Histogram;
use plover_load::raw::{
    CONTINUATION, DATA, END_HEADERS, HEADERS, PING, PREFACE, RST_STREAM, Raw, SETTINGS, WINDOW_UPDATE,
    fields, frame, query, query_fields,
};
use plover_load::{Load, Target, open_loop};
use plover_standins::Plan;
use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::{Duration, Instant};

/// Usual clients ask so many queries a second.
const RATE: f64 = 500.0;

/// One kind of flood, and what came of it.
pub(super) struct Row {
    pub(super) what: &'static str,
    pub(super) latency: Histogram<u64>,
    pub(super) unserved: u64,
    /// Connections of the attacker that were ended, and the longest that one lived.
    pub(super) ended: u32,
    pub(super) longest: Duration,
}

/// Silent connections that the attacker holds at once.
const HELD: usize = 256;
/// No connection that does nothing lives this long.
const PATIENCE: Duration = Duration::from_secs(20);

/// How a connection attacks.
#[derive(Clone, Copy)]
pub(super) enum Attack {
    /// With frames, as many as the broker takes; told how many went before.
    Frames(fn(u32) -> Vec<u8>),
    /// With many connections that send this and then nothing.
    Silence(fn() -> Vec<u8>),
}

fn pings(_: u32) -> Vec<u8> {
    frame(PING, 0, 0, &[0; 8])
}

fn settings(_: u32) -> Vec<u8> {
    frame(SETTINGS, 0, 0, &[])
}

fn resets(n: u32) -> Vec<u8> {
    let stream = 1 + 2 * n;
    [query(stream, &format!("flood{n}")), frame(RST_STREAM, 0, stream, &8u32.to_be_bytes())].concat()
}

fn continuation(n: u32) -> Vec<u8> {
    match n {
        0 => frame(HEADERS, 0, 1, &query_fields("flood", &[])),
        n => frame(CONTINUATION, 0, 1, &fields(&[(&format!("a{n}"), "b")])),
    }
}

fn empty_data(n: u32) -> Vec<u8> {
    match n {
        0 => frame(HEADERS, END_HEADERS, 1, &query_fields("flood", &[])),
        _ => frame(DATA, 0, 1, &[]),
    }
}

fn tiny_windows(_: u32) -> Vec<u8> {
    frame(WINDOW_UPDATE, 0, 0, &1u32.to_be_bytes())
}

fn half_open() -> Vec<u8> {
    Vec::new()
}

fn half_sent() -> Vec<u8> {
    let head = frame(HEADERS, END_HEADERS, 1, &query_fields("half", &[]));
    [PREFACE, &frame(SETTINGS, 0, 0, &[]), &head[..head.len() / 2]].concat()
}

/// All kinds.
pub(super) const KINDS: [(&str, Option<Attack>); 9] = [
    ("none", None),
    ("PING", Some(Attack::Frames(pings))),
    ("SETTINGS", Some(Attack::Frames(settings))),
    ("rapid resets", Some(Attack::Frames(resets))),
    ("CONTINUATION", Some(Attack::Frames(continuation))),
    ("empty DATA", Some(Attack::Frames(empty_data))),
    ("tiny windows", Some(Attack::Frames(tiny_windows))),
    ("256 half-open", Some(Attack::Silence(half_open))),
    ("256 half-sent", Some(Attack::Silence(half_sent))),
];

/// Usual load beside an attacker that comes back as soon as it is ended.
pub(super) fn measure(
    build: &Build,
    what: &'static str,
    kind: Option<Attack>,
    seconds: Duration,
) -> io::Result<Row> {
    let (fleet, program) = build.start(Plan { work: Duration::from_millis(2), ..Plan::default() }, true)?;
    let to = http2(&program)?;
    let stop = Arc::new(AtomicBool::new(false));
    let seen = stop.clone();
    let attacker = std::thread::spawn(move || match kind {
        None => (0, Duration::ZERO),
        Some(Attack::Frames(burst)) => attack(to, burst, &seen),
        Some(Attack::Silence(words)) => silence(to, &words(), &seen),
    });
    let load = Load {
        rate: Some(RATE),
        at_once: 100,
        time: seconds,
        warm_up: seconds.mul_f64(0.2),
        seed: 9,
        class: "lookup".to_owned(),
        shards: vec![0, 1],
    };
    let outcome = open_loop(Target::Http2(to, 2), &load);
    stop.store(true, Ordering::Relaxed);
    let (ended, longest) = attacker.join().map_err(|_| io::Error::other("the attacker broke"))?;
    let outcome = outcome?;
    drop(fleet);
    Ok(Row { what, latency: outcome.latency, unserved: outcome.unserved, ended, longest })
}

/// Attacks until told to stop: how many of its connections were ended, and the longest that one lived.
fn attack(to: SocketAddr, burst: fn(u32) -> Vec<u8>, stop: &AtomicBool) -> (u32, Duration) {
    let (mut ended, mut longest) = (0, Duration::ZERO);
    while !stop.load(Ordering::Relaxed) {
        let mut raw = Raw::settled(to);
        let (begun, mut n) = (Instant::now(), 0);
        loop {
            let bytes: Vec<u8> = (n..n + 64).flat_map(burst).collect();
            n += 64;
            if !raw.try_send(&bytes) {
                break;
            }
            if stop.load(Ordering::Relaxed) {
                return (ended, longest);
            }
        }
        ended += 1;
        longest = longest.max(begun.elapsed());
    }
    (ended, longest)
}

/// Holds so many connections that say no more, and opens another for each that was ended.
fn silence(to: SocketAddr, words: &[u8], stop: &AtomicBool) -> (u32, Duration) {
    let (mut ended, mut longest) = (0, Duration::ZERO);
    while !stop.load(Ordering::Relaxed) {
        let open = || {
            let mut raw = Raw::connect(to);
            // One that was turned away at once is ended too.
            let _ = raw.try_send(words);
            (raw, Instant::now())
        };
        let held: Vec<(Raw, Instant)> = (0..HELD).map(|_| open()).collect();
        for (mut raw, begun) in held {
            raw.until_end(PATIENCE);
            ended += 1;
            longest = longest.max(begun.elapsed());
            if stop.load(Ordering::Relaxed) {
                return (ended, longest);
            }
        }
    }
    (ended, longest)
}
