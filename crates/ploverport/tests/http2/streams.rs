//! Many streams on a connection: flow control, resets, fairness.

use crate::rig::{OPERATOR, lookup, rig, rig_with, whole};
use futures_util::future::join_all;
use h2::client::Builder;
use plover_load::Answer;
use plover_load::raw::{
    BODY, DATA, END_HEADERS, END_STREAM, HEADERS, RST_STREAM, Raw, SETTINGS, WINDOW_UPDATE, frame, query,
    query_fields, status,
};
use plover_standins::{Deployment, Fault, Plan};
use std::time::Duration;

#[test]
fn a_few_hundred_streams_share_a_connection() {
    let rig = rig(Duration::from_millis(20));
    rig.run(async {
        let http2 = rig.connect().await;
        let asks: Vec<_> = (0..300).map(|n| lookup(&format!("q{n}"), &[n % 8])).collect();
        let answers = join_all(asks.iter().map(|ask| http2.ask(ask))).await;
        for (n, answer) in answers.iter().enumerate() {
            assert_eq!(*answer, whole(&[n % 8]), "query {n}");
        }
    });
    rig.check_books();
}

/// A stream whose reader takes nothing waits for itself alone, and is given up at its deadline.
#[test]
fn a_slow_reader_stalls_no_other_stream_and_is_given_up() {
    let rig = rig(Duration::ZERO);
    let mut raw = Raw::connect(rig.program.http2.unwrap());
    // Windows of streams are 10 bytes: SETTINGS_INITIAL_WINDOW_SIZE is setting 4.
    raw.send(&[plover_load::raw::PREFACE, &frame(SETTINGS, 0, 0, &[0, 4, 0, 0, 0, 10])].concat());
    raw.send(&query(1, "slow"));
    let slow = raw.expect(HEADERS);
    assert_eq!((slow.stream, status(&slow)), (1, 200));
    assert_eq!(raw.expect(DATA).rest.len(), 10);
    raw.send(&query(3, "usual"));
    raw.send(&frame(WINDOW_UPDATE, 0, 3, &10_000u32.to_be_bytes()));
    let mut length = 0;
    loop {
        let next = raw.expect(DATA);
        assert_eq!(next.stream, 3, "the slow one was sent more than its window");
        length += next.rest.len();
        if next.flags & END_STREAM != 0 {
            break;
        }
    }
    assert!(length > 10);
    let reset = raw.expect(RST_STREAM);
    assert_eq!((reset.stream, reset.code()), (1, 8), "CANCEL at the deadline");
    raw.send(&query(5, "after"));
    assert_eq!(status(&raw.expect(HEADERS)), 200);
}

/// The client's reset ends the query: attempts out are given up, and the room comes back.
#[test]
fn a_reset_gives_up_what_is_out_and_gives_its_room_back() {
    let plan = Plan { servers: 2, ..Plan::default() };
    let deployment = Deployment { max_open: 20, ..Deployment::default() };
    let rig = rig_with(plan, deployment, OPERATOR);
    rig.fleet.servers().iter().for_each(|s| s.set_fault(Fault::Hang));
    rig.run(async {
        let http2 = rig.connect().await;
        for round in 0..20 {
            let before = rig.fleet.books(|b| b.attempts().len());
            let mut streams = Vec::new();
            for n in 0..4 {
                let ask = lookup(&format!("r{round}q{n}"), &[0, 1]);
                streams.push(http2.open(&ask.request()).await.unwrap());
            }
            // Were the room of earlier rounds not back, these would be refused and never come.
            rig.attempts(before + 8).await;
            streams.into_iter().for_each(plover_load::Stream::reset);
            while rig.fleet.books(|b| b.attempts().iter().any(|a| a.ended.is_none())) {
                async_io::Timer::after(Duration::from_millis(1)).await;
            }
        }
    });
    rig.check_books();
}

/// One connection with hundreds of streams leaves room for the others, and is told when to come back.
#[test]
fn one_connection_does_not_take_all_the_room() {
    let deployment = Deployment { max_open: 90, ..Deployment::default() };
    let rig = rig_with(Plan::default(), deployment, OPERATOR);
    rig.fleet.servers().iter().for_each(|s| s.set_work(Duration::from_millis(700)));
    rig.run(async {
        let greedy = rig.connect().await;
        let mut others = Vec::new();
        for _ in 0..5 {
            others.push(rig.connect().await);
        }
        let mut old = rig.connect_http1().await;
        let asks: Vec<_> = (0..100).map(|n| lookup(&format!("g{n}"), &[n % 8])).collect();
        let taken = join_all(asks.iter().map(|ask| greedy.ask(ask)));
        let rest = async {
            rig.attempts(10).await;
            let asks: Vec<_> = (0..5).map(|n| lookup(&format!("o{n}"), &[n])).collect();
            let over_http2 = join_all(others.iter().zip(&asks).map(|(c, ask)| c.ask(ask))).await;
            let over_http1 = old.send(&lookup("old", &[6]).request()).await.unwrap();
            (over_http2, Answer::of(&over_http1))
        };
        let (taken, (over_http2, over_http1)) = futures_lite::future::zip(taken, rest).await;
        for (n, answer) in over_http2.iter().enumerate() {
            assert_eq!(*answer, whole(&[n]), "another connection was shut out");
        }
        assert_eq!(over_http1, whole(&[6]));
        let served = taken.iter().filter(|a| matches!(a, Answer::Served(true, _))).count();
        let told = taken.iter().filter(|a| matches!(a, Answer::Refused(Some(after)) if *after > 0.0)).count();
        assert_eq!((served, told), (30, 70), "two thirds of 90, two for each query");
    });
}

/// Streams beyond the limit are refused, which is harmless to repeat.
#[test]
fn streams_beyond_the_limit_are_refused() {
    let rig = rig_with(Plan::default(), Deployment::default(), "listen-http2 127.0.0.1:0\nhttp2-streams 2\n");
    rig.fleet.servers().iter().for_each(|s| s.set_work(Duration::from_millis(300)));
    let mut raw = Raw::settled(rig.program.http2.unwrap());
    for n in 0..3 {
        raw.send(&query(1 + 2 * n, &format!("q{n}")));
    }
    let reset = raw.expect(RST_STREAM);
    assert_eq!((reset.stream, reset.code()), (5, 7), "REFUSED_STREAM");
    assert_eq!(status(&raw.expect(HEADERS)), 200);
    // A client that keeps to the limit is never refused.
    rig.run(async {
        let http2 = rig.connect_with(&Builder::new()).await;
        // It knows the limit once it has heard anything: before, it may open as many streams as it likes.
        assert_eq!(http2.ask(&lookup("first", &[0])).await, whole(&[0]));
        let asks: Vec<_> = (0..6).map(|n| lookup(&format!("k{n}"), &[n])).collect();
        let answers = join_all(asks.iter().map(|ask| http2.ask(ask))).await;
        assert!(answers.iter().all(|a| matches!(a, Answer::Served(true, _))), "{answers:?}");
    });
}

/// The window of a body is given back once it was read, not when its query is answered: a connection whose window is
/// smaller than all the bodies of its open queries goes on. Without that, what comes after the window is used up breaks the
/// protocol, and is never asked for.
#[test]
fn the_window_of_what_was_read_is_given_back() {
    let operator = "listen-http2 127.0.0.1:0\nhttp2-connection-window 64KiB\n";
    let rig = rig_with(Plan::default(), Deployment::default(), operator);
    rig.fleet.servers().iter().for_each(|s| s.set_work(Duration::from_secs(60)));
    let mut raw = Raw::settled(rig.program.http2.unwrap());
    let padding = vec![b' '; 8 * 1024];
    for n in 0..12 {
        let stream = 1 + 2 * n;
        raw.send(&frame(HEADERS, END_HEADERS, stream, &query_fields(&format!("w{n}"), &[])));
        raw.send(&[frame(DATA, 0, stream, &padding), frame(DATA, END_STREAM, stream, BODY)].concat());
        rig.run(rig.attempts(n as usize + 1));
    }
}
