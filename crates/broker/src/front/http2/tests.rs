//! What one HTTP/2 connection may take of the one thread.

use super::io::{READ_IN_A_TURN, Watch, Watched};
use async_io::Async;
use plover_h2_guard::{Budget, Guard, PREFACE};
use plover_runtime::clock::Clock;
use std::io::Write;
use std::net::{Ipv4Addr, TcpListener, TcpStream};
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll, Waker};
use tokio::io::{AsyncRead, ReadBuf};

/// A settings frame without settings.
const SETTINGS: [u8; 9] = [0, 0, 0, 4, 0, 0, 0, 0, 0];
/// Length of each frame that is not for this front, and their number.
const UNKNOWN_FRAME: usize = 4096;
const UNKNOWN_FRAMES: usize = 16;

/// Guards against a client that sends at full speed on one connection while all others wait: whatever is there, a turn reads so
/// much of it at the most.
#[test]
fn a_turn_reads_a_bounded_part_of_what_is_there() {
    let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).unwrap();
    let mut client = TcpStream::connect(listener.local_addr().unwrap()).unwrap();
    let (server, _) = listener.accept().unwrap();
    client.write_all(PREFACE).unwrap();
    client.write_all(&SETTINGS).unwrap();
    let mut frame = vec![0, (UNKNOWN_FRAME >> 8) as u8, 0, 0xfa, 0, 0, 0, 0, 0];
    frame.resize(frame.len() + UNKNOWN_FRAME, 0);
    client.write_all(&frame.repeat(UNKNOWN_FRAMES)).unwrap();

    let clock = Clock::start();
    let watch = Watch::new(Guard::new(clock.now(), Budget::new(200, 8192)));
    let mut io = Watched::new(Rc::new(Async::new(server).unwrap()), Vec::new(), watch, clock);
    let mut context = Context::from_waker(Waker::noop());
    let mut buffer = vec![0; 4 * READ_IN_A_TURN];
    let mut read = 0;
    loop {
        let mut buf = ReadBuf::new(&mut buffer);
        match Pin::new(&mut io).poll_read(&mut context, &mut buf) {
            Poll::Ready(result) => result.unwrap(),
            Poll::Pending => break,
        }
        read += buf.filled().len();
        assert!(read <= READ_IN_A_TURN, "{read} bytes in one turn");
    }
    assert_eq!(read, READ_IN_A_TURN);
}
