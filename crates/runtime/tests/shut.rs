//! Tests which connections a listener accepts between [`refuse_new_connections`] and its drop.

use plover_runtime::net::{listen, refuse_new_connections};
use socket2::{Domain, SockFilter, Socket, Type};
use std::io::{ErrorKind, Read, Write};
use std::net::TcpStream;
use std::time::{Duration, Instant};

/// States of a connection in `/proc/net/tcp`.
const SYN_SENT: &str = "02";
const SYN_RECEIVED: &str = "03";
/// Time limit of a handshake. The system repeats the second segment of a handshake after 1 s.
const HANDSHAKE_LIMIT: Duration = Duration::from_secs(20);

/// Connections established before the listener refuses new ones are accepted and usable. Later ones are not
/// established, so none is reset: they are refused once the listener is dropped.
#[test]
fn later_connections_are_refused_and_not_reset() {
    async_io::block_on(async {
        let listener = listen(([127, 0, 0, 1], 0).into(), false).unwrap();
        let at = listener.get_ref().local_addr().unwrap();
        let mut client = TcpStream::connect(at).unwrap();
        refuse_new_connections(&listener);
        let late = std::thread::spawn(move || TcpStream::connect(at));
        let (accepted, _) = listener.get_ref().accept().unwrap();
        accepted.set_nonblocking(false).unwrap();
        client.write_all(b"a").unwrap();
        (&accepted).read_exact(&mut [0]).unwrap();
        // The late connection stays in the state SYN_SENT while the listener exists.
        while !is_in_state(at, SYN_SENT) && !late.is_finished() {
            std::thread::yield_now();
        }
        let next_accept = listener.get_ref().accept().map(drop).map_err(|e| e.kind());
        drop(listener);
        assert_eq!(next_accept, Err(ErrorKind::WouldBlock));
        assert_eq!(late.join().unwrap().map(drop).map_err(|e| e.kind()), Err(ErrorKind::ConnectionRefused));
    });
}

/// Guards against the reset of a client whose handshake had begun when the listener stopped taking
/// connections: the handshake is still completed.
#[test]
fn a_handshake_that_has_begun_is_completed() {
    async_io::block_on(async {
        let listener = listen(([127, 0, 0, 1], 0).into(), false).unwrap();
        let at = listener.get_ref().local_addr().unwrap();
        // The filter drops all segments to the client until the listener refuses new connections.
        let client = Socket::new(Domain::IPV4, Type::STREAM, None).unwrap();
        client.attach_filter(&[SockFilter::new(0x06, 0, 0, 0)]).unwrap();
        client.set_nonblocking(true).unwrap();
        client.connect(&at.into()).unwrap_err();
        let begun = Instant::now();
        while !is_in_state(at, SYN_RECEIVED) {
            assert!(begun.elapsed() < HANDSHAKE_LIMIT, "no handshake has begun");
            std::thread::yield_now();
        }
        refuse_new_connections(&listener);
        client.detach_filter().unwrap();
        let mut accepted = loop {
            match listener.get_ref().accept() {
                Ok((stream, _)) => break stream,
                Err(e) => {
                    assert!(e.kind() == ErrorKind::WouldBlock && begun.elapsed() < HANDSHAKE_LIMIT, "{e}")
                }
            }
            std::thread::sleep(Duration::from_millis(5));
        };
        drop(listener);
        client.set_nonblocking(false).unwrap();
        let mut client = TcpStream::from(client);
        accepted.set_nonblocking(false).unwrap();
        client.write_all(b"q").unwrap();
        accepted.read_exact(&mut [0]).unwrap();
        accepted.write_all(b"a").unwrap();
        client.read_exact(&mut [0]).unwrap();
    });
}

/// Returns whether the system has a connection in this state with this local or remote address.
fn is_in_state(at: std::net::SocketAddr, state: &str) -> bool {
    let table = std::fs::read_to_string("/proc/net/tcp").unwrap();
    let address = format!("0100007F:{:04X}", at.port());
    table.lines().any(|line| {
        let fields: Vec<&str> = line.split_whitespace().collect();
        let ends = [fields.get(1), fields.get(2)];
        ends.contains(&Some(&address.as_str())) && fields.get(3) == Some(&state)
    })
}
