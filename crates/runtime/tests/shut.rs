//! What a listener that is about to be dropped lets through.

use plover_runtime::net::{listen, refuse_new_connections};
use socket2::{Domain, SockFilter, Socket, Type};
use std::io::{ErrorKind, Read, Write};
use std::net::TcpStream;
use std::time::{Duration, Instant};

/// The states of a connection in the system's table.
const SYN_SENT: &str = "02";
const SYN_RECEIVED: &str = "03";
/// The system sends the second segment of a handshake again after 1 s.
const BOUND: Duration = Duration::from_secs(20);

/// Those that had come up are taken, and their connections are as good as any; of those that come later none comes up, so that
/// none is reset: they are refused once the listener is gone.
#[test]
fn none_comes_up_after_the_last_that_is_taken() {
    async_io::block_on(async {
        let listener = listen(([127, 0, 0, 1], 0).into(), false).unwrap();
        let at = listener.get_ref().local_addr().unwrap();
        let mut client = TcpStream::connect(at).unwrap();
        refuse_new_connections(&listener);
        let late = std::thread::spawn(move || TcpStream::connect(at));
        let (taken, _) = listener.get_ref().accept().unwrap();
        taken.set_nonblocking(false).unwrap();
        client.write_all(b"a").unwrap();
        (&taken).read_exact(&mut [0]).unwrap();
        // It is on its way for as long as the listener is there.
        while !is_in_state(at, SYN_SENT) && !late.is_finished() {
            std::thread::yield_now();
        }
        let further = listener.get_ref().accept().map(drop).map_err(|e| e.kind());
        drop(listener);
        assert_eq!(further, Err(ErrorKind::WouldBlock));
        assert_eq!(late.join().unwrap().map(drop).map_err(|e| e.kind()), Err(ErrorKind::ConnectionRefused));
    });
}

/// Guards against the reset of a client that was connecting as the listener ended: its handshake goes on to its end, whose
/// first segments have come before.
#[test]
fn a_handshake_that_has_begun_is_completed() {
    async_io::block_on(async {
        let listener = listen(([127, 0, 0, 1], 0).into(), false).unwrap();
        let at = listener.get_ref().local_addr().unwrap();
        // The client hears nothing until the listener is shut.
        let client = Socket::new(Domain::IPV4, Type::STREAM, None).unwrap();
        client.attach_filter(&[SockFilter::new(0x06, 0, 0, 0)]).unwrap();
        client.set_nonblocking(true).unwrap();
        client.connect(&at.into()).unwrap_err();
        let begun = Instant::now();
        while !is_in_state(at, SYN_RECEIVED) {
            assert!(begun.elapsed() < BOUND, "no handshake has begun");
            std::thread::yield_now();
        }
        refuse_new_connections(&listener);
        client.detach_filter().unwrap();
        let mut taken = loop {
            match listener.get_ref().accept() {
                Ok((stream, _)) => break stream,
                Err(e) => assert!(e.kind() == ErrorKind::WouldBlock && begun.elapsed() < BOUND, "{e}"),
            }
            std::thread::sleep(Duration::from_millis(5));
        };
        drop(listener);
        client.set_nonblocking(false).unwrap();
        let mut client = TcpStream::from(client);
        taken.set_nonblocking(false).unwrap();
        client.write_all(b"q").unwrap();
        taken.read_exact(&mut [0]).unwrap();
        taken.write_all(b"a").unwrap();
        client.read_exact(&mut [0]).unwrap();
    });
}

/// Whether the system has a connection in this state, at this address or on its way there.
fn is_in_state(at: std::net::SocketAddr, state: &str) -> bool {
    let table = std::fs::read_to_string("/proc/net/tcp").unwrap();
    let address = format!("0100007F:{:04X}", at.port());
    table.lines().any(|line| {
        let fields: Vec<&str> = line.split_whitespace().collect();
        let ends = [fields.get(1), fields.get(2)];
        ends.contains(&Some(&address.as_str())) && fields.get(3) == Some(&state)
    })
}
