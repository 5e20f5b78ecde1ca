//! What a flood on one connection costs clients on others.

use super::{Build, http2};
use hdrhistogram::Histogram;
use plover_load::raw::{PING, RST_STREAM, Raw, SETTINGS, frame, query};
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

type Burst = fn(u32) -> Vec<u8>;

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

/// All kinds.
pub(super) const KINDS: [(&str, Option<Burst>); 4] =
    [("none", None), ("PING", Some(pings)), ("SETTINGS", Some(settings)), ("rapid resets", Some(resets))];

/// Usual load beside an attacker that comes back as soon as it is ended.
pub(super) fn measure(
    build: &Build,
    what: &'static str,
    burst: Option<Burst>,
    seconds: Duration,
) -> io::Result<Row> {
    let (fleet, program) = build.start(Plan { work: Duration::from_millis(2), ..Plan::default() }, true)?;
    let to = http2(&program)?;
    let stop = Arc::new(AtomicBool::new(false));
    let seen = stop.clone();
    let attacker =
        std::thread::spawn(move || burst.map_or((0, Duration::ZERO), |burst| attack(to, burst, &seen)));
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
fn attack(to: SocketAddr, burst: Burst, stop: &AtomicBool) -> (u32, Duration) {
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
