//! Hundreds of clients at once that never finish a request, beside the memory limit of the platform's configuration.

use crate::rig::{configuration, exe, fleet};
use plover_standins::Program;
use serde_json::json;
use std::io::Write;
use std::net::{SocketAddr, TcpStream};
use std::time::{Duration, Instant};

/// What clients' connections may take of the memory. The rest is the program's own, of which a debug build takes more than the one
/// that is deployed.
const CLIENTS_SHARE: (u64, u64) = (3, 5);
/// `limits.memory_mb` of each play.
const MEMORY_MB: [u64; 3] = [24, 48, 96];
const CLIENTS: usize = 300;
/// What a client cannot write in this time it keeps.
const WRITES: Duration = Duration::from_millis(20);
/// Looks on for so long.
const LOOK: Duration = Duration::from_millis(700);

/// A request's head but for its end.
fn head() -> Vec<u8> {
    b"POST /lookup HTTP/1.1\r\nHost: a\r\nX-Request-Id: r\r\nX-Class: lookup\r\nX-Deadline: 3000m\r\n"
        .to_vec()
}

fn followed_by(mut bytes: Vec<u8>, rest: &[u8]) -> Vec<u8> {
    bytes.extend(rest);
    bytes
}

/// What each client of a crowd sends over HTTP/1.1, and then stops.
fn unfinished() -> [(&'static str, Vec<u8>); 4] {
    let half_a_body = followed_by(head(), b"Content-Length: 60000\r\n\r\n");
    [
        ("half a body", followed_by(half_a_body, &[b' '; 59_000])),
        ("a long field", followed_by(head(), &followed_by(b"X: ".to_vec(), &[b'y'; 15_000]))),
        ("many short fields", followed_by(head(), &b"a:\r\n".repeat(3_700))),
        (
            "chunks of a byte",
            followed_by(
                head(),
                &followed_by(b"Transfer-Encoding: chunked\r\n\r\n".to_vec(), &b"1\r\n \r\n".repeat(30_000)),
            ),
        ),
    ]
}

fn crowd(to: SocketAddr, bytes: &[u8]) -> Vec<TcpStream> {
    let connect = |_| {
        let mut client = TcpStream::connect(to).ok()?;
        client.set_write_timeout(Some(WRITES)).ok()?;
        // One that is turned away need not be read.
        let _ = client.write_all(bytes);
        Some(client)
    };
    (0..CLIENTS).filter_map(connect).collect()
}

/// Guards against the operators' picture (a): a process passed its memory limit beside hundreds of clients that stopped in the
/// middle of a request.
#[test]
fn clients_that_never_finish_keep_within_the_memory_limit() {
    let fleet = fleet(Duration::ZERO);
    for memory_mb in MEMORY_MB {
        let mut configuration = configuration(&fleet);
        configuration["limits"] = json!({"sockets": 512, "memory_mb": memory_mb});
        let program = Program::serve(exe(), &configuration, "", None).unwrap();
        let own = program.memory().unwrap();
        let share = (memory_mb << 20) * CLIENTS_SHARE.0 / CLIENTS_SHARE.1;
        for (what, bytes) in unfinished() {
            let _clients = crowd(program.http1, &bytes);
            let begun = Instant::now();
            let mut most = 0;
            while begun.elapsed() < LOOK {
                most = most.max(program.memory().unwrap());
                std::thread::sleep(Duration::from_millis(10));
            }
            println!("{memory_mb} MB, {what}: {} KiB beyond {} KiB", (most - own) >> 10, own >> 10);
            assert!(most - own <= share, "{what}: {} bytes of {share}", most - own);
        }
    }
}
