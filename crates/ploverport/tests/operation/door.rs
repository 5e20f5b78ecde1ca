//! The door: what is no call, callers that hold it, and figures.

use crate::rig::{ask, call, exchange, figures, fleet, send, start, until};
use plover_load::{Answer, Ask};
use plover_standins::Fault;
use std::io::Write;
use std::net::TcpStream;
use std::time::Duration;

#[test]
fn what_is_no_call_gets_a_clear_answer() {
    let fleet = fleet(Duration::ZERO);
    let program = start(&fleet, "");
    let ops = program.ops.unwrap();
    for (bytes, status) in [
        ("GET /nothing HTTP/1.1\r\nHost: a\r\n\r\n", 404),
        ("POST /api/ready HTTP/1.1\r\nHost: a\r\nContent-Length: 0\r\n\r\n", 405),
        ("GET /api/evacuate HTTP/1.1\r\nHost: a\r\n\r\n", 405),
        ("PUT /api/evacuate HTTP/1.1\r\nHost: a\r\nContent-Length: 3\r\n\r\nnow", 400),
        ("PUT /api/evacuate HTTP/1.1\r\nHost: a\r\n\r\nPUT /api/evacuate HTTP/1.1\r\nHost: a\r\n\r\n", 400),
        ("PUT /api/evacuate HTTP/1.1\r\n\r\n", 400),
        ("\0\0\0\0\r\n\r\n", 400),
        ("GET /api/ready HTTP/1.1\r\nHost: a\r\nContent-Length: 99999\r\n\r\n", 413),
    ] {
        let answer = exchange(ops, bytes.as_bytes());
        assert!(answer.starts_with(&format!("HTTP/1.1 {status} ")), "{bytes:?}: {answer}");
    }
    assert_eq!(call(&program, "GET", "/api/ready"), (200, "serving\n".into()), "none of that emptied it");
    // As curl has it, a PUT without a body says nothing of its length.
    assert_eq!(call(&program, "PUT", "/api/rejoin").0, 200);
}

/// Hundreds that hold a connection without a whole call take all seats but the next caller's.
#[test]
fn callers_that_hold_the_door_do_not_shut_it() {
    let fleet = fleet(Duration::ZERO);
    let program = start(&fleet, "");
    let mut holders = Vec::new();
    for n in 0..200 {
        let mut holder = TcpStream::connect(program.ops.unwrap()).unwrap();
        let _ = holder.write_all(if n % 2 == 0 { b"" } else { b"GET /api/re" });
        holders.push(holder);
        if n % 20 == 19 {
            assert_eq!(call(&program, "GET", "/api/ready").0, 200, "after {n}");
        }
    }
    // And all at once: a seat that was taken back must be free at once, not once its holder goes.
    let burst: Vec<TcpStream> = (0..200).map(|_| TcpStream::connect(program.ops.unwrap()).unwrap()).collect();
    for n in 0..5 {
        assert_eq!(call(&program, "GET", "/api/ready").0, 200, "call {n} behind the burst");
    }
    assert_eq!((figures(&program)["outstanding"], burst.len()), (0, 200));
}

#[test]
fn figures_count_each_end_once() {
    let fleet = fleet(Duration::ZERO);
    let mut program = start(&fleet, "class ranking\nmost-in-hand 0\n");
    let to = program.http1;
    for n in 0..7 {
        assert!(matches!(ask(to, &Ask::new(format!("l{n}"), "lookup", &[0, 1])), Answer::Served(true, _)));
    }
    for n in 0..3 {
        assert!(matches!(ask(to, &Ask::new(format!("r{n}"), "ranking", &[0])), Answer::Refused(_)));
    }
    assert!(matches!(ask(to, &Ask::new("bad", "nobody", &[0])), Answer::Failed(404)));
    let now = figures(&program);
    let all =
        |class: &str| ["succeeded", "declined", "aborted"].map(|end| now[&format!("results.{class}.{end}")]);
    assert_eq!((all("lookup"), all("ranking"), all("watchlist-save")), ([7, 0, 0], [0, 3, 0], [0, 0, 0]));
    assert_eq!((now["outstanding"], now["discovered"], now["ejected"]), (0, 4, 0));
    let (written, _) = fleet.attempts();
    assert_eq!(now["forwards"], written);
    // One in hand, then one whose client leaves.
    fleet.servers().iter().for_each(|s| s.set_fault(Fault::Hang));
    let held = send(to, &Ask::new("held", "lookup", &[0]));
    until(&program, "in hand", |f| f["outstanding"] == 1);
    drop(held);
    until(&program, "left", |f| f["outstanding"] == 0 && f["results.lookup.aborted"] == 1);
    program.signal("HUP").unwrap();
    program.logged("event=reloaded").unwrap();
    program.replace_configuration("{").unwrap();
    program.signal("HUP").unwrap();
    program.logged("event=reload_failed").unwrap();
    let now = figures(&program);
    assert_eq!((now["sighup_applied"], now["sighup_rejected"]), (1, 1));
}
