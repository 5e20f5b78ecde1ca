//! Floods: each is bounded, ended within three seconds, logged, and costs other clients nothing but time.

use crate::rig::{Rig, lookup, rig, whole};
use plover_load::raw::{
    BODY, CONTINUATION, DATA, END_HEADERS, GOAWAY, HEADERS, PING, PREFACE, RST_STREAM, Raw, SETTINGS,
    WINDOW_UPDATE, fields, frame, query, query_fields,
};
use std::time::{Duration, Instant};

const ENHANCE_YOUR_CALM: u32 = 11;
const ENDED: Duration = Duration::from_secs(20);

/// Sends the same again and again until the connection ends. What is measured is the broker's time, so that the bound
/// on a slow machine is far beyond the three seconds that the page states; `ploverport bench` shows the figure.
fn flood(rig: &mut Rig, what: &str, bytes: impl Fn(u32) -> Vec<u8>) {
    let mut raw = Raw::settled(rig.program.http2.unwrap());
    let begun = Instant::now();
    let mut n = 0;
    while begun.elapsed() < ENDED {
        let mut burst = Vec::new();
        for _ in 0..64 {
            burst.extend(bytes(n));
            n += 1;
        }
        if !raw.try_send(&burst) {
            break;
        }
    }
    assert!(begun.elapsed() < ENDED, "{what}: it goes on for ever");
    let (frames, _) = raw.until_end(ENDED);
    if let Some(goaway) = frames.iter().rfind(|f| f.kind == GOAWAY) {
        assert_eq!(goaway.code(), ENHANCE_YOUR_CALM, "{what}");
    }
    let after = rig.run(async {
        rig.connect().await.ask(&lookup(&format!("after {what}").replace(' ', "-"), &[1])).await
    });
    assert_eq!(after, whole(&[1]), "{what}");
}

#[test]
fn floods_of_frames_that_carry_nothing_are_ended() {
    let mut rig = rig(Duration::ZERO);
    for (what, bytes) in [
        ("PING", frame(PING, 0, 0, &[0; 8])),
        ("SETTINGS", frame(SETTINGS, 0, 0, &[])),
        ("PRIORITY", frame(2, 0, 1, &[0, 0, 0, 3, 1])),
        ("WINDOW_UPDATE", frame(WINDOW_UPDATE, 0, 0, &1u32.to_be_bytes())),
        ("unknown frames", frame(77, 0, 0, b"x")),
    ] {
        // An event has one line a second.
        std::thread::sleep(Duration::from_millis(1100));
        flood(&mut rig, what, |_| bytes.clone());
        rig.program
            .logged(&format!("why=\"a flood of {what}\""))
            .or_else(|_| rig.program.logged("event=http2_flood"))
            .unwrap();
    }
}

#[test]
fn rapid_resets_are_ended() {
    let mut rig = rig(Duration::ZERO);
    flood(&mut rig, "resets", |n| {
        let stream = 1 + 2 * n;
        [query(stream, &format!("r{n}")), frame(RST_STREAM, 0, stream, &8u32.to_be_bytes())].concat()
    });
    rig.program.logged("event=http2_flood").unwrap();
    rig.check_books();
}

#[test]
fn empty_data_is_ended() {
    let mut rig = rig(Duration::ZERO);
    flood(&mut rig, "empty DATA", |n| {
        let open = if n == 0 { frame(HEADERS, END_HEADERS, 1, &query_fields("e", &[])) } else { Vec::new() };
        [open, frame(DATA, 0, 1, &[])].concat()
    });
}

#[test]
fn a_header_block_without_end_is_ended() {
    let mut rig = rig(Duration::ZERO);
    flood(&mut rig, "CONTINUATION", |n| match n {
        0 => frame(HEADERS, 0, 1, &query_fields("c", &[])),
        n => frame(CONTINUATION, 0, 1, &fields(&[(&format!("a{n}"), "b")])),
    });
    flood(&mut rig, "empty CONTINUATION", |n| match n {
        0 => frame(HEADERS, 0, 1, &query_fields("d", &[])),
        _ => frame(CONTINUATION, 0, 1, &[]),
    });
}

/// A few bytes that decode to a long list: a field in the dynamic table, and hundreds of references to it.
#[test]
fn a_header_bomb_is_refused() {
    let rig = rig(Duration::ZERO);
    let mut raw = Raw::settled(rig.program.http2.unwrap());
    let mut block = query_fields("bomb", &[]);
    // A literal with incremental indexing (RFC 7541, section 6.2.1): the entry that 0xbe then names.
    block.extend([0x40, 4]);
    block.extend(b"long");
    block.push(120);
    block.extend([b'x'; 120]);
    block.extend([0xbe; 2000]);
    raw.send(&frame(HEADERS, END_HEADERS, 1, &block));
    raw.send(&frame(DATA, 1, 1, BODY));
    raw.send(&query(3, "usual"));
    let mut seen = Vec::new();
    while let Some(next) = raw.next(Duration::from_secs(30)) {
        if next.kind == HEADERS || next.kind == RST_STREAM {
            seen.push(next.stream);
        }
        if next.kind == GOAWAY || seen.contains(&3) {
            break;
        }
    }
    assert!(rig.fleet.books(|b| !b.attempts().iter().any(|a| a.id.starts_with("bomb"))), "it was served");
    let after = rig.run(async { rig.connect().await.ask(&lookup("after", &[1])).await });
    assert_eq!(after, whole(&[1]));
}

/// Connections that say nothing, or stop in the middle of what all begin with or of a frame.
#[test]
fn silence_is_ended() {
    let mut rig = rig(Duration::ZERO);
    let to = rig.program.http2.unwrap();
    let half_frame = &frame(HEADERS, END_HEADERS, 1, &query_fields("a", &[]))[..20];
    let open_block = frame(HEADERS, 0, 1, &query_fields("b", &[]));
    let preface = plover_load::raw::PREFACE;
    let settled = [preface, &frame(SETTINGS, 0, 0, &[])].concat();
    let mut raws: Vec<Raw> = [
        Vec::new(),
        preface[..10].to_vec(),
        preface.to_vec(),
        settled.clone(),
        [&settled, half_frame].concat(),
        [settled, open_block].concat(),
    ]
    .iter()
    .map(|bytes| {
        let mut raw = Raw::connect(to);
        raw.send(bytes);
        raw
    })
    .collect();
    for raw in &mut raws {
        raw.until_end(ENDED);
    }
    rig.program.logged("event=http2_half_sent").unwrap();
}

/// More connections than there are seats: those that ask are served, those that say nothing make room.
#[test]
fn silent_connections_do_not_hold_the_seats() {
    let rig = crate::rig::rig_with(
        plover_standins::Plan { work: Duration::ZERO, ..Default::default() },
        plover_standins::Deployment::default(),
        "listen-http2 127.0.0.1:0\nhttp2-connections 4\n",
    );
    let to = rig.program.http2.unwrap();
    let half = [
        PREFACE,
        &frame(SETTINGS, 0, 0, &[]),
        &frame(HEADERS, END_HEADERS, 1, &query_fields("h", &[]))[..20],
    ];
    let half = half.concat();
    for words in [&[][..], &half] {
        let silent = (0..12).map(|_| {
            let mut raw = Raw::connect(to);
            raw.try_send(words);
            raw
        });
        let silent: Vec<Raw> = silent.collect();
        rig.run(async {
            // A client that is in the middle of its work is not the one to make room.
            let usual = rig.connect().await;
            for n in 0..8 {
                assert_eq!(usual.ask(&lookup(&format!("u{n}-{}", words.len()), &[n])).await, whole(&[n]));
                let new = rig.connect().await;
                assert_eq!(new.ask(&lookup(&format!("q{n}-{}", words.len()), &[n])).await, whole(&[n]));
            }
        });
        drop(silent);
    }
}

/// Connections that were served and wait for their client's next query make room for one that has come: their own time
/// would be over in a minute only.
#[test]
fn idle_connections_make_room() {
    let rig = crate::rig::rig_with(
        plover_standins::Plan { work: Duration::ZERO, ..Default::default() },
        plover_standins::Deployment::default(),
        "listen-http2 127.0.0.1:0\nhttp2-connections 2\n",
    );
    rig.run(async {
        let mut idle = Vec::new();
        for n in 0..5 {
            let client = rig.connect().await;
            assert_eq!(client.ask(&lookup(&format!("q{n}"), &[n])).await, whole(&[n]));
            idle.push(client);
        }
    });
}

/// A frame that does not go on ends its connection also while a request is in hand: the server hangs, so that the
/// request's own end is seconds away.
#[test]
fn half_a_frame_beside_an_open_request_is_ended() {
    let mut rig = rig(Duration::from_secs(60));
    let mut raw = Raw::settled(rig.program.http2.unwrap());
    raw.send(&query(1, "open"));
    rig.run(rig.attempts(1));
    raw.send(&frame(HEADERS, END_HEADERS, 3, &query_fields("half", &[]))[..20]);
    let (frames, _) = raw.until_end(ENDED);
    assert!(!frames.iter().any(|f| f.kind == HEADERS), "its request came to its own end before: {frames:?}");
    rig.program.logged("event=http2_half_sent").unwrap();
}
