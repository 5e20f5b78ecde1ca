//! SIGTERM: GOAWAY twice, what was taken is answered, the process ends.

use crate::rig::{lookup, rig, whole};
use futures_util::future::join_all;
use plover_load::raw::{DATA, END_STREAM, GOAWAY, HEADERS, PING, RST_STREAM, Raw, frame, query, status};
use std::time::Duration;

const ACK: u8 = 1;
const HIGHEST: u32 = 0x7fff_ffff;

#[test]
fn a_client_is_told_to_go_and_what_was_taken_is_answered() {
    let mut rig = rig(Duration::from_millis(300));
    let mut raw = Raw::settled(rig.program.http2.unwrap());
    raw.send(&query(1, "a"));
    rig.run(rig.attempts(1));
    rig.program.signal("TERM").unwrap();
    let first = raw.expect(GOAWAY);
    assert_eq!((first.last(), first.code()), (HIGHEST, 0));
    let ping = raw.expect(PING);
    // What crosses the notice is served: it counts as taken.
    raw.send(&query(3, "b"));
    raw.send(&frame(PING, ACK, 0, &ping.rest));
    let mut answered = Vec::new();
    let mut last = None;
    while let Some(next) = raw.next(Duration::from_secs(30)) {
        match next.kind {
            HEADERS => assert_eq!(status(&next), 200),
            DATA if next.flags & END_STREAM != 0 => answered.push(next.stream),
            GOAWAY => last = Some(next.last()),
            _ => {}
        }
    }
    answered.sort_unstable();
    assert_eq!((answered, last), (vec![1, 3], Some(3)));
    assert!(rig.program.exit().unwrap().success());
    rig.check_books();
}

/// A client that never confirms the notice is refused what it opens later, and does not keep the process.
#[test]
fn later_streams_are_refused_and_the_process_ends_in_time() {
    let mut rig = rig(Duration::ZERO);
    let mut raw = Raw::settled(rig.program.http2.unwrap());
    raw.send(&query(1, "q1"));
    assert_eq!(status(&raw.expect(HEADERS)), 200);
    rig.program.signal("TERM").unwrap();
    // While the broker stays it serves them; once its doors are closed it refuses them.
    let mut stream = 1;
    let refused = loop {
        stream += 2;
        raw.send(&query(stream, &format!("q{stream}")));
        let end = loop {
            match raw.next(Duration::from_secs(30)) {
                Some(f) if f.stream == stream && matches!(f.kind, HEADERS | RST_STREAM) => break f,
                Some(_) => {}
                None => panic!("ended before stream {stream} was answered"),
            }
        };
        if end.kind == RST_STREAM {
            break end;
        }
        assert_eq!(status(&end), 200);
        std::thread::sleep(Duration::from_millis(20));
    };
    assert_eq!(refused.code(), 7, "REFUSED_STREAM");
    assert!(stream > 3, "none was served after the notice");
    raw.until_end(Duration::from_secs(20));
    assert!(rig.program.exit().unwrap().success());
    let last = format!("q{stream}.");
    rig.fleet.books(|b| assert!(b.attempts().iter().all(|a| !a.id.starts_with(&last))));
}

/// Idle clients, and ones that never said a word, do not keep the process either.
#[test]
fn idle_clients_do_not_keep_the_process() {
    let mut rig = rig(Duration::ZERO);
    let mut idle = Raw::settled(rig.program.http2.unwrap());
    let mut silent = Raw::connect(rig.program.http2.unwrap());
    let served = rig.run(async {
        let http2 = rig.connect().await;
        let asks: Vec<_> = (0..4).map(|n| lookup(&format!("q{n}"), &[n])).collect();
        let answers = join_all(asks.iter().map(|a| http2.ask(a))).await;
        assert_eq!(answers[3], whole(&[3]));
        http2
    });
    rig.program.signal("TERM").unwrap();
    idle.until_end(Duration::from_secs(20));
    silent.until_end(Duration::from_secs(20));
    assert!(rig.program.exit().unwrap().success());
    drop(served);
}

/// What a new connection is told of how many streams it may open.
fn most_streams(rig: &crate::rig::Rig) -> u32 {
    let settings = Raw::settled(rig.program.http2.unwrap()).expect(plover_load::raw::SETTINGS);
    // Each setting has two bytes of name and four of value; 3 is SETTINGS_MAX_CONCURRENT_STREAMS.
    let setting = settings.rest.chunks(6).find(|c| c[..2] == [0, 3]).unwrap();
    u32::from_be_bytes(setting[2..].try_into().unwrap())
}

/// SIGHUP reads the operator's file anew: whole or not at all, and what waits for a restart is told.
#[test]
fn the_operators_file_is_read_anew_whole_or_not_at_all() {
    let mut rig = rig(Duration::ZERO);
    assert_eq!(most_streams(&rig), 200);
    rig.program
        .replace_operator_file("listen-http2 127.0.0.1:0\nhttp2-streams 7\nlog-level debug\n")
        .unwrap();
    rig.program.signal("HUP").unwrap();
    rig.program.logged("event=operator_file changed=log-level,http2-streams").unwrap();
    assert_eq!(most_streams(&rig), 7);
    for (text, words) in [
        ("listen-http2 127.0.0.1:0\nhttp2-streams 9\nlog-levle info\n", "event=reload_failed"),
        (
            "listen-http2 127.0.0.1:0\nhttp2-streams 60000\nhttp2-connection-window 64MiB\n",
            "lower http2-streams",
        ),
        (
            "listen-http2 127.0.0.1:9\nhttp2-streams 7\nlog-level debug\n",
            "event=restart_needed changed=listen-http2",
        ),
    ] {
        // An event has one line a second.
        std::thread::sleep(Duration::from_millis(1100));
        rig.program.replace_operator_file(text).unwrap();
        rig.program.signal("HUP").unwrap();
        rig.program.logged(words).unwrap();
        assert_eq!(most_streams(&rig), 7, "{text}");
    }
}

/// Both files or none: a sound operator's file beside a broken configuration changes nothing either.
#[test]
fn a_broken_configuration_keeps_the_operators_file_out_too() {
    let mut rig = rig(Duration::ZERO);
    rig.program.replace_operator_file("listen-http2 127.0.0.1:0\nhttp2-streams 9\n").unwrap();
    rig.program.replace_configuration("{").unwrap();
    rig.program.signal("HUP").unwrap();
    rig.program.logged("event=reload_failed").unwrap();
    assert_eq!(most_streams(&rig), 200);
}
