//! A planned restart while clients go on sending on every connection that stays open: whatever they send is answered, and no
//! connection ends in a reset.

use crate::rig::{BOUND, call, fleet, run, start};
use async_executor::LocalExecutor;
use async_io::Timer;
use plover_load::raw::{GOAWAY, HEADERS, PING, Raw, SETTINGS, frame, query, status};
use plover_load::{Answer, Ask, Http1, Http2};
use plover_standins::Program;
use std::cell::RefCell;
use std::io::{ErrorKind, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::rc::Rc;
use std::time::{Duration, Instant};

/// A connection whose bytes are written by hand.
struct Conn {
    stream: TcpStream,
    input: Vec<u8>,
}

impl Conn {
    fn open(to: SocketAddr) -> Conn {
        let stream = TcpStream::connect(to).unwrap();
        stream.set_nodelay(true).unwrap();
        stream.set_read_timeout(Some(BOUND)).unwrap();
        Conn { stream, input: Vec::new() }
    }

    /// One that has been served once.
    fn kept(to: SocketAddr, id: &str) -> Conn {
        let mut conn = Conn::open(to);
        conn.write(&bytes(id));
        assert_eq!(conn.answer(), (200, false));
        conn
    }

    fn write(&mut self, bytes: &[u8]) {
        self.stream.write_all(bytes).unwrap();
    }

    /// The status of the next answer, and whether it ends the connection.
    fn answer(&mut self) -> (u16, bool) {
        loop {
            let text = String::from_utf8_lossy(&self.input).into_owned();
            if let Some((head, body)) = text.split_once("\r\n\r\n") {
                let length = head.lines().find_map(|l| l.strip_prefix("Content-Length: "));
                let length = length.map_or(0, |l| l.parse().unwrap());
                if body.len() >= length {
                    self.input.drain(..head.len() + 4 + length);
                    return (head[9..12].parse().unwrap(), head.contains("Connection: close"));
                }
            }
            assert!(self.read().unwrap() > 0, "closed after {text:?}");
        }
    }

    fn read(&mut self) -> std::io::Result<usize> {
        let mut chunk = [0; 4096];
        let n = self.stream.read(&mut chunk)?;
        self.input.extend(&chunk[..n]);
        Ok(n)
    }

    /// It ends in order: a reset would be an error.
    fn ends(mut self) {
        assert_eq!(self.read().unwrap(), 0, "{:?}", self.input);
    }
}

/// A whole request.
fn bytes(id: &str) -> Vec<u8> {
    let body = r#"{"ranges":[{"range":0,"portion":1}],"predicate":"c41e77d0"}"#;
    let head = format!("POST /lookup HTTP/1.1\r\nHost: a\r\nX-Request-Id: {id}\r\nX-Tenant: public-site\r\n");
    format!("{head}Content-Length: {}\r\n\r\n{body}", body.len()).into_bytes()
}

fn leave(program: &mut Program) {
    program.signal("TERM").unwrap();
    program.logged("event=leaving").unwrap();
}

/// Half requests of every kind, on connections new and old, whose rest comes after the signal.
#[test]
fn what_is_half_sent_at_the_signal_is_answered_and_its_connection_ends_in_order() {
    let fleet = fleet(Duration::ZERO);
    let mut program = start(&fleet, "");
    let whole = bytes("kept-head");
    let head_end = whole.windows(4).position(|w| w == b"\r\n\r\n").unwrap() + 4;
    let mut half = Vec::new();
    for (at, name) in
        [(1, "byte"), (20, "head"), (head_end - 2, "end"), (head_end, "body"), (head_end + 9, "part")]
    {
        for kept in [false, true] {
            let id = format!("{name}-{kept}");
            let mut conn = match kept {
                true => Conn::kept(program.http1, &format!("first-{id}")),
                false => Conn::open(program.http1),
            };
            let whole = bytes(&id);
            let at = at + whole.len() - bytes("kept-head").len();
            let (first, rest) = whole.split_at(at.max(1));
            conn.write(first);
            half.push((conn, rest.to_vec()));
        }
    }
    let kept = Conn::kept(program.http1, "idle");
    leave(&mut program);
    for (conn, rest) in &mut half {
        conn.write(rest);
    }
    for (mut conn, _) in half {
        assert_eq!(conn.answer(), (200, false));
        conn.ends();
    }
    kept.ends();
    assert!(program.exit().unwrap().success());
}

/// What came behind a request in hand, before its client could know that the connection ends, is answered on it.
#[test]
fn requests_behind_one_in_hand_at_the_signal_are_answered_too() {
    let fleet = fleet(Duration::from_millis(1500));
    let mut program = start(&fleet, "");
    let mut conn = Conn::open(program.http1);
    conn.write(&bytes("first"));
    while fleet.attempts().0 == 0 {
        std::thread::sleep(Duration::from_millis(1));
    }
    conn.write(&bytes("second"));
    leave(&mut program);
    conn.write(&bytes("third"));
    fleet.servers().iter().for_each(|s| s.set_work(Duration::ZERO));
    for _ in 0..3 {
        assert_eq!(conn.answer(), (200, false));
    }
    conn.ends();
    assert!(program.exit().unwrap().success());
}

/// Clients that are connected may have nowhere else to go while another broker restarts: they are served on, idle or not,
/// and what comes late is over before the platform ends the process, however long its client would wait.
#[test]
fn clients_that_are_connected_are_served_on_until_the_end_nears() {
    let fleet = fleet(Duration::ZERO);
    let mut program = start(&fleet, "");
    let (mut busy, mut idle) = (Conn::kept(program.http1, "a"), Conn::kept(program.http1, "b"));
    leave(&mut program);
    let told = Instant::now();
    let mut served = 0;
    while told.elapsed() < Duration::from_millis(1200) {
        busy.write(&bytes(&format!("busy-{served}")));
        assert_eq!(busy.answer(), (200, false), "{:?}", told.elapsed());
        served += 1;
        std::thread::sleep(Duration::from_millis(50));
    }
    assert!(served > 1);
    fleet.servers().iter().for_each(|s| s.set_work(Duration::from_secs(60)));
    idle.write(&bytes("late"));
    let (status, _) = idle.answer();
    assert_ne!(status, 200);
    // The client would have waited for 4 s more; the process may be ended 3.7 s after the signal.
    assert!(told.elapsed() < Duration::from_millis(5000), "{:?}", told.elapsed());
    idle.ends();
    assert!(program.exit().unwrap().success());
}

/// A client that never stops sending ahead does not keep the program: once the doors are closed, so many more are
/// answered on its connection.
#[test]
fn a_client_that_always_sends_ahead_is_answered_so_far_and_does_not_keep_the_program() {
    let fleet = fleet(Duration::ZERO);
    let mut program = start(&fleet, "");
    let mut conn = Conn::open(program.http1);
    // Its first request goes on, byte by byte, until the doors are closed.
    let q = String::from_utf8(bytes("q")).unwrap();
    let (first, rest) = q.split_once("\r\n").unwrap();
    conn.write(format!("{first}\r\nX-Pad: ").as_bytes());
    leave(&mut program);
    // One that is tried as the listener ends waits for the system to try again, and the request would not go on meanwhile.
    let refused = || {
        let tried = TcpStream::connect_timeout(&program.http1, Duration::from_millis(50));
        tried.is_err_and(|e| e.kind() == ErrorKind::ConnectionRefused)
    };
    while !refused() {
        conn.write(b"a");
        std::thread::sleep(Duration::from_millis(5));
    }
    let rest = format!("\r\n{rest}");
    let mut ahead = rest.into_bytes();
    (0..40).for_each(|n| ahead.extend(bytes(&format!("ahead-{n}"))));
    conn.write(&ahead);
    let mut answers = 0;
    while conn.answer() == (200, false) {
        answers += 1;
    }
    assert_eq!(answers, 16);
    conn.ends();
    assert!(program.exit().unwrap().success());
}

/// A new connection over HTTP/2 was opened to ask: it is told to go with its first request, not before.
#[test]
fn a_new_http2_connection_is_served_before_it_is_sent_away() {
    let fleet = fleet(Duration::ZERO);
    let program = start(&fleet, "listen-http2 127.0.0.1:0\n");
    assert_eq!(call(&program, "PUT", "/api/evacuate").0, 200);
    let mut raw = Raw::settled(program.http2.unwrap());
    raw.expect(SETTINGS);
    raw.send(&frame(PING, 0, 0, &[7; 8]));
    let mut before = Vec::new();
    while let Some(next) = raw.next(BOUND) {
        if next.kind == PING && next.rest == [7; 8] {
            break;
        }
        before.push(next.kind);
    }
    assert!(!before.contains(&GOAWAY), "{before:?}");
    raw.send(&query(1, "a"));
    assert_eq!(raw.expect(GOAWAY).last(), 0x7fff_ffff);
    assert_eq!(status(&raw.expect(HEADERS)), 200);
}

/// One that is told only as the doors close has had no time to hear it: what it sends then is served.
#[test]
fn a_stream_that_crosses_a_late_goaway_is_served() {
    let fleet = fleet(Duration::ZERO);
    let mut program = start(&fleet, "listen-http2 127.0.0.1:0\n");
    let mut raw = Raw::settled(program.http2.unwrap());
    raw.expect(SETTINGS);
    leave(&mut program);
    assert_eq!(raw.expect(GOAWAY).last(), 0x7fff_ffff);
    raw.send(&query(1, "a"));
    assert_eq!(status(&raw.expect(HEADERS)), 200);
    drop(raw);
    assert!(program.exit().unwrap().success());
}

/// What clients saw.
#[derive(Debug, Default)]
struct Seen {
    answered: usize,
    /// Answered after the signal.
    late: usize,
    /// Closed between requests, as the request was on its way.
    crossed: usize,
    wrong: Vec<String>,
}

struct Clients {
    seen: RefCell<Seen>,
    signalled: RefCell<Option<Instant>>,
}

impl Clients {
    fn answer(&self, id: &str, answer: &Answer) {
        let mut seen = self.seen.borrow_mut();
        match answer {
            Answer::Served(true, _) => {
                seen.answered += 1;
                seen.late += usize::from(self.signalled.borrow().is_some());
            }
            other => seen.wrong.push(format!("{id}: {other:?}")),
        }
    }

    /// Asks on one connection, and on a new one where it ends, until no more are taken.
    async fn http1(&self, to: SocketAddr, name: String) {
        let mut n = 0;
        while let Ok(mut conn) = Http1::connect(to).await {
            loop {
                n += 1;
                let id = format!("{name}-{n}");
                let request = Ask::new(&id, "lookup", &[n % 8]).request();
                let response = match conn.send(&request).await {
                    Ok(response) => response,
                    // It crossed the closing, and goes out once more on a new connection.
                    Err(e) if e.kind() == ErrorKind::UnexpectedEof || e.kind() == ErrorKind::BrokenPipe => {
                        self.seen.borrow_mut().crossed += 1;
                        break;
                    }
                    Err(e) => return self.seen.borrow_mut().wrong.push(format!("{id}: {e}")),
                };
                self.answer(&id, &Answer::of(&response));
                Timer::after(Duration::from_millis(n as u64 % 7)).await;
                if response.headers().get("connection").is_some_and(|v| v == "close") {
                    break;
                }
            }
        }
    }

    async fn http2(&self, to: SocketAddr, name: String, executor: &LocalExecutor<'static>) {
        let mut n = 0;
        while let Ok(conn) = Http2::connect(to, executor).await {
            loop {
                n += 1;
                let id = format!("{name}-{n}");
                // Once it was told to go, it sends nothing more.
                let Ok(stream) = conn.open(&Ask::new(&id, "lookup", &[n % 8]).request()).await else { break };
                match stream.response().await {
                    Ok(response) => self.answer(&id, &Answer::of(&response)),
                    // GOAWAY with a lower last stream (RFC 9113, section 6.8): it was not taken, and its client knows.
                    Err(e) if e.is_go_away() && e.reason().map(u32::from) == Some(0) => {
                        self.seen.borrow_mut().crossed += 1;
                        break;
                    }
                    Err(e) => self.seen.borrow_mut().wrong.push(format!("{id}: {e}")),
                }
                Timer::after(Duration::from_millis(n as u64 % 7)).await;
            }
        }
    }
}

/// Both versions of HTTP, on old connections and new ones, before, at and after the signal.
#[test]
fn every_request_through_a_restart_is_answered() {
    let fleet = fleet(Duration::from_millis(20));
    let mut program = start(&fleet, "listen-http2 127.0.0.1:0\n");
    let executor = Rc::new(LocalExecutor::new());
    let clients = Rc::new(Clients { seen: RefCell::default(), signalled: RefCell::default() });
    let (http1, http2) = (program.http1, program.http2.unwrap());
    run(executor.run(async {
        let mut tasks = Vec::new();
        for n in 0..12 {
            let (c, e) = (clients.clone(), executor.clone());
            tasks.push(executor.spawn(async move {
                match n % 3 {
                    0 => c.http2(http2, format!("b{n}"), &e).await,
                    _ => c.http1(http1, format!("a{n}")).await,
                }
            }));
        }
        while clients.seen.borrow().answered < 100 {
            Timer::after(Duration::from_millis(1)).await;
        }
        program.signal("TERM").unwrap();
        *clients.signalled.borrow_mut() = Some(Instant::now());
        for task in tasks {
            task.await;
        }
    }));
    let seen = clients.seen.borrow();
    assert!(seen.wrong.is_empty(), "{seen:?}");
    assert!(seen.late > 20, "{seen:?}");
    assert!(program.exit().unwrap().success());
}

/// Clients of one request for each connection.
const ON_NEW_CONNECTIONS: usize = 16;

impl Clients {
    /// Asks once on each of many connections, until no more are taken.
    async fn on_new_connections(&self, to: SocketAddr, name: String) {
        let mut n = 0;
        while let Ok(mut conn) = Http1::connect(to).await {
            n += 1;
            let id = format!("{name}-{n}");
            match conn.send(&Ask::new(&id, "lookup", &[n % 8]).request()).await {
                Ok(response) => self.answer(&id, &Answer::of(&response)),
                Err(e) => {
                    let after = self.signalled.borrow().map(|at| at.elapsed());
                    self.seen.borrow_mut().wrong.push(format!("{id}: {e}, {after:?} after the signal"));
                }
            }
        }
    }
}

/// Guards against resets of connections that come up as the listener ends: each that comes up is answered.
#[test]
fn every_new_connection_through_a_restart_is_answered() {
    let fleet = fleet(Duration::ZERO);
    let mut program = start(&fleet, "");
    let executor = LocalExecutor::new();
    let clients = Rc::new(Clients { seen: RefCell::default(), signalled: RefCell::default() });
    let to = program.http1;
    run(executor.run(async {
        let mut tasks = Vec::new();
        for n in 0..ON_NEW_CONNECTIONS {
            let clients = clients.clone();
            tasks.push(executor.spawn(async move { clients.on_new_connections(to, format!("c{n}")).await }));
        }
        while clients.seen.borrow().answered < 100 {
            Timer::after(Duration::from_millis(1)).await;
        }
        program.signal("TERM").unwrap();
        *clients.signalled.borrow_mut() = Some(Instant::now());
        for task in tasks {
            task.await;
        }
    }));
    let seen = clients.seen.borrow();
    assert!(seen.wrong.is_empty(), "{seen:?}");
    assert!(seen.late > ON_NEW_CONNECTIONS, "{seen:?}");
    assert!(program.exit().unwrap().success());
}
