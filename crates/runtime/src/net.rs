//! Reading from sockets, for clients, data servers and discovery alike.

use async_io::Async;
use futures_lite::AsyncRead;
use futures_lite::future::yield_now;
use std::future::poll_fn;
use std::io;
use std::net::{Shutdown, TcpStream};
use std::pin::Pin;
use std::task::ready;
use std::time::Duration;

use crate::clock::limited;

/// A connection that the broker ends is read on for this long, so that its last answer is not lost by a reset
/// (RFC 9112, section 9.6).
const LINGER: Duration = Duration::from_millis(500);
/// Steps in which a connection's buffer grows, and the most that one read takes.
const STEP: usize = 16 * 1024;

/// Appends what the socket has, waiting until there is something; 0: the peer has closed. Nothing is taken from
/// the socket unless this returns, so that it may be dropped while it waits.
///
/// The bytes come through the stack and not through the future, which lives as long as its connection: a
/// buffer in there would cost its memory for each idle one.
pub async fn read_some(mut stream: &Async<TcpStream>, input: &mut Vec<u8>) -> io::Result<usize> {
    poll_fn(|cx| {
        let mut chunk = [0; STEP];
        let n = ready!(Pin::new(&mut stream).poll_read(cx, &mut chunk))?;
        // By steps, not by doubling: as many connections as there may be must fit the memory, each with its most.
        if input.capacity() - input.len() < n {
            input.reserve_exact(n.max(STEP / 4));
        }
        input.extend(&chunk[..n]);
        Ok(n).into()
    })
    .await
}

/// Ends a connection whose client may still be sending: unread bytes would make the end a reset.
pub async fn linger(stream: &Async<TcpStream>) -> io::Result<()> {
    // The library of HTTP/2 has done so already where it came to an end of its own.
    let _ = stream.get_ref().shutdown(Shutdown::Write);
    let mut rest = Vec::new();
    let drain = async {
        while read_some(stream, &mut rest).await? > 0 {
            rest.clear();
            yield_now().await;
        }
        Ok(())
    };
    limited(LINGER, drain).await
}
