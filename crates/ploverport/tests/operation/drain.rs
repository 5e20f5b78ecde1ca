//! Emptying a broker, and bringing it back.

use crate::rig::{ask, call, exchange, fleet, send, start};
use plover_load::{Answer, Ask};
use plover_standins::Program;
use std::io::{ErrorKind, Read};
use std::net::TcpStream;
use std::time::Duration;

fn ready(program: &Program) -> bool {
    exchange(program.http1, b"GET /-/ready HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n")
        .starts_with("HTTP/1.1 200")
}

/// Waits until the broker has closed.
fn closed(mut stream: TcpStream) {
    stream.set_read_timeout(Some(crate::rig::BOUND)).unwrap();
    let mut chunk = [0; 64];
    match stream.read(&mut chunk) {
        Ok(0) => {}
        Err(e) if e.kind() == ErrorKind::ConnectionReset => {}
        other => panic!("it stays: {other:?}"),
    }
}

#[test]
fn evacuate_ends_what_is_idle_answers_what_is_in_hand_and_rejoin_brings_it_back() {
    let fleet = fleet(Duration::from_millis(1500));
    let program = start(&fleet, "");
    let idle = TcpStream::connect(program.http1).unwrap();
    let busy = send(program.http1, &Ask::new("busy", "lookup", &[0]));
    crate::rig::until(&program, "in hand", |f| f["outstanding"] == 1);
    assert_eq!(call(&program, "PUT", "/api/evacuate"), (200, "closing\n".into()));
    assert!(!ready(&program) && call(&program, "GET", "/api/ready").0 == 503);
    // One that comes in the time that fronts take to notice is served, and its connection ends with that.
    let late = send(program.http1, &Ask::new("late", "lookup", &[1]));
    assert_eq!(call(&program, "PUT", "/api/evacuate"), (200, "closing\n".into()), "twice is once");
    for sent in [busy, late] {
        let (head, closes) = sent.answer();
        assert!(head.starts_with("HTTP/1.1 200") && closes, "{head}");
    }
    closed(idle);
    while call(&program, "GET", "/api/ready").1 != "empty\n" {
        std::thread::sleep(Duration::from_millis(5));
    }
    // Emptied, it still serves whoever comes.
    fleet.servers().iter().for_each(|s| s.set_work(Duration::ZERO));
    let (head, closes) = send(program.http1, &Ask::new("empty", "lookup", &[0])).answer();
    assert!(head.starts_with("HTTP/1.1 200") && closes, "{head}");
    assert_eq!(call(&program, "PUT", "/api/rejoin"), (200, "serving\n".into()));
    assert!(ready(&program));
    let (head, closes) = send(program.http1, &Ask::new("back", "lookup", &[0])).answer();
    assert!(head.starts_with("HTTP/1.1 200") && !closes, "{head}");
}

/// SIGHUP changes nothing about it; SIGTERM ends it, and nothing brings it back from there.
#[test]
fn signals_while_it_is_emptied() {
    let fleet = fleet(Duration::from_millis(1500));
    let mut program = start(&fleet, "");
    assert_eq!(call(&program, "PUT", "/api/evacuate").0, 200);
    program.signal("HUP").unwrap();
    program.logged("event=reloaded").unwrap();
    assert!(!ready(&program));
    assert_eq!(call(&program, "PUT", "/api/rejoin").1, "serving\n", "in the middle of closing");
    assert!(ready(&program));
    assert_eq!(call(&program, "PUT", "/api/evacuate").0, 200);
    let busy = send(program.http1, &Ask::new("busy", "lookup", &[0]));
    crate::rig::until(&program, "in hand", |f| f["outstanding"] == 1);
    program.signal("TERM").unwrap();
    program.logged("event=leaving").unwrap();
    assert_eq!(call(&program, "PUT", "/api/rejoin").0, 409);
    assert_eq!(call(&program, "PUT", "/api/evacuate").0, 409);
    assert!(busy.answer().0.starts_with("HTTP/1.1 200"), "what was taken is answered");
    assert!(program.exit().unwrap().success());
}

/// HTTP/2 clients are told to go, with what they have answered; new connections after rejoin stay.
#[test]
fn http2_connections_are_sent_away() {
    use async_executor::LocalExecutor;
    use plover_load::Http2;
    use std::rc::Rc;
    let fleet = fleet(Duration::from_millis(500));
    let program = start(&fleet, "listen-http2 127.0.0.1:0\n");
    let executor = Rc::new(LocalExecutor::new());
    let to = program.http2.unwrap();
    crate::rig::run(executor.run(async {
        let client = Http2::connect(to, &executor).await.unwrap();
        let stream = client.open(&Ask::new("a", "lookup", &[0]).request()).await.unwrap();
        while fleet.attempts().0 == 0 {
            async_io::Timer::after(Duration::from_millis(1)).await;
        }
        assert_eq!(call(&program, "PUT", "/api/evacuate").0, 200);
        let answer = Answer::of(&stream.response().await.unwrap());
        assert!(matches!(answer, Answer::Served(true, _)), "{answer:?}");
        fleet.servers().iter().for_each(|s| s.set_work(Duration::ZERO));
        let mut n = 0;
        while matches!(client.ask(&Ask::new(format!("b{n}"), "lookup", &[0])).await, Answer::Served(..)) {
            n += 1;
            async_io::Timer::after(Duration::from_millis(5)).await;
        }
        assert_eq!(call(&program, "PUT", "/api/rejoin").0, 200);
        let again = Http2::connect(to, &executor).await.unwrap();
        assert!(matches!(again.ask(&Ask::new("c", "lookup", &[0])).await, Answer::Served(true, _)));
    }));
    assert!(matches!(ask(program.http1, &Ask::new("d", "lookup", &[0])), Answer::Served(true, _)));
}
