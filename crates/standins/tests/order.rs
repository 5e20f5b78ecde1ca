//! What a stand-in is told to do has been done when the call returns.

use plover_standins::{Fleet, Plan};
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::Duration;

const ROUNDS: usize = 20;
/// How long an answer is waited for that must not come.
const WAIT: Duration = Duration::from_millis(50);

fn fleet() -> Fleet {
    Fleet::start(Plan::default()).unwrap()
}

/// Whether the whole list is told to one who asks for it now.
fn tells_the_list(discovery: SocketAddr) -> bool {
    let mut stream = TcpStream::connect(discovery).unwrap();
    stream.write_all(b"GET /api/targets HTTP/1.1\r\nHost: a\r\n\r\n").unwrap();
    stream.set_read_timeout(Some(WAIT)).unwrap();
    stream.read(&mut [0; 64]).is_ok()
}

/// Guards against a discovery that still tells the list after a test has silenced it.
#[test]
fn a_silenced_discovery_tells_nobody_the_list() {
    let told = (0..ROUNDS)
        .filter(|_| {
            let fleet = fleet();
            fleet.silence_discovery(true);
            tells_the_list(fleet.discovery)
        })
        .count();
    assert_eq!(told, 0, "of {ROUNDS}");
}

/// Guards against stand-ins that are told what to do and do it at some later time.
#[test]
fn a_killed_server_takes_no_connection() {
    let taken = (0..ROUNDS)
        .filter(|_| {
            let fleet = fleet();
            fleet.kill(0);
            TcpStream::connect(fleet.servers()[0].address).is_ok()
        })
        .count();
    assert_eq!(taken, 0, "of {ROUNDS}");
}
