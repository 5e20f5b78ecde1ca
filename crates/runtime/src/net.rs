//! Listening sockets, and reading from and closing connections, for clients, data servers and discovery.

use async_io::Async;
use futures_lite::AsyncRead;
use futures_lite::future::yield_now;
use rustix::process::{PidfdFlags, PidfdGetfdFlags, getpid, pidfd_getfd, pidfd_open};
use socket2::{Domain, SockFilter, SockRef, Socket, Type};
use std::future::poll_fn;
use std::io;
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::pin::Pin;
use std::task::ready;
use std::time::Duration;

use crate::clock::with_timeout;

/// Maximum time for which a connection that the broker closes is still read, so that a reset does not discard
/// its last answer (RFC 9112, section 9.6).
pub const LINGER: Duration = Duration::from_millis(500);
/// Maximum number of bytes that one read returns; a quarter of it is the least by which a buffer grows.
const READ_SIZE: usize = 16 * 1024;

/// Maximum number of connections that wait to be accepted. Many clients at once connect faster than one
/// thread accepts, and a client that finds the queue full retries only after a second.
pub const BACKLOG: i32 = 1024;

/// Opens a listening socket at an address. With `shared`, other processes of the same user that also set it
/// can listen at the same address.
pub fn listen(address: SocketAddr, shared: bool) -> io::Result<Async<TcpListener>> {
    let socket = Socket::new(Domain::for_address(address), Type::STREAM, None)?;
    socket.set_reuse_address(true)?;
    if shared {
        socket.set_reuse_port(true)?;
    }
    socket.bind(&address.into())?;
    socket.listen(BACKLOG)?;
    Async::new(socket.into())
}

/// Duplicates the listening socket that the platform passed to the process for this address. Child processes
/// do not inherit the duplicate. The error states why the descriptor is unusable.
pub fn inherit(fd: i32, address: SocketAddr) -> io::Result<Async<TcpListener>> {
    let invalid = |problem: String| io::Error::other(format!("RELAY_FD: descriptor {fd} {problem}"));
    let process = pidfd_open(getpid(), PidfdFlags::empty())?;
    // Safe code can't take ownership of a descriptor by its number. The system checks the number and
    // duplicates it.
    let copy = pidfd_getfd(&process, fd, PidfdGetfdFlags::empty())
        .map_err(|e| invalid(format!("cannot be taken over: {}", io::Error::from(e))))?;
    let socket = Socket::from(copy);
    if !socket.is_listener().unwrap_or(false) {
        return Err(invalid("is no listening socket".to_owned()));
    }
    let local = socket.local_addr()?.as_socket();
    if local.is_none_or(|local| local != address && address.port() != 0) {
        return Err(invalid(format!("listens at {local:?}, not at {address}")));
    }
    Async::new(socket.into())
}

/// Drops all further connection requests to a listener. It is called before a listener that no other process
/// shares is dropped, because the system would reset the connections that were established after the last
/// accept. Handshakes that have begun are completed, so the caller has to accept connections for
/// [`HANDSHAKE_TIME`] more.
///
/// Only Linux has this filter. On other systems, or if the system refuses the filter, connections are still
/// established until the listener is dropped, and those that were not accepted are reset at that point.
pub fn refuse_new_connections(listener: &Async<TcpListener>) {
    let _ = SockRef::from(listener.get_ref()).attach_filter(&DROP_SYN);
}

/// Time within which a TCP handshake that has begun is completed on a healthy network. It is short because a
/// client that connects during this time is refused only when its system retries a second later.
pub const HANDSHAKE_TIME: Duration = Duration::from_millis(1);

/// A classic BPF program that drops the TCP segments which begin a connection (those with the flag SYN).
/// Dropping other segments too would lose the last segment of a handshake and the data that the client has
/// sent after it, although the client regards itself as connected.
const DROP_SYN: [SockFilter; 4] = [
    // BPF_LD | BPF_B | BPF_ABS: load the byte of the TCP flags.
    SockFilter::new(0x30, 0, 0, 13),
    // BPF_JMP | BPF_JSET | BPF_K: continue if SYN is set, otherwise skip one instruction.
    SockFilter::new(0x45, 0, 1, 0x02),
    // BPF_RET | BPF_K: drop the segment.
    SockFilter::new(0x06, 0, 0, 0),
    // BPF_RET | BPF_K: pass the whole segment.
    SockFilter::new(0x06, 0, 0, u32::MAX),
];

/// Waits until the socket has data and appends it to `input`. Returns the number of bytes read, or 0 if the
/// peer has closed the connection. The function reads from the socket only when it returns, so its future can
/// be dropped without loss.
///
/// The bytes are read into a buffer on the stack rather than in the future, which exists as long as its
/// connection: a buffer in the future would take its memory for each idle connection.
pub async fn read_some(mut stream: &Async<TcpStream>, input: &mut Vec<u8>) -> io::Result<usize> {
    poll_fn(|cx| {
        let mut chunk = [0; READ_SIZE];
        let n = ready!(Pin::new(&mut stream).poll_read(cx, &mut chunk))?;
        // The buffer grows by the size of the read instead of doubling, because the largest number of
        // connections, each with its largest input, must fit in memory.
        if input.capacity() - input.len() < n {
            input.reserve_exact(n.max(READ_SIZE / 4));
        }
        input.extend(&chunk[..n]);
        Ok(n).into()
    })
    .await
}

/// Closes the write side of a connection and discards input for at most [`LINGER`]: if unread bytes were
/// left, the system would reset the connection.
pub async fn linger(stream: &Async<TcpStream>) -> io::Result<()> {
    linger_for(stream, LINGER).await
}

/// As [`linger`], for at most `time`.
pub async fn linger_for(stream: &Async<TcpStream>, time: Duration) -> io::Result<()> {
    // The HTTP/2 library has already shut down the write side if it closed the connection itself.
    let _ = stream.get_ref().shutdown(Shutdown::Write);
    let mut discarded = Vec::new();
    let drain = async {
        while read_some(stream, &mut discarded).await? > 0 {
            discarded.clear();
            yield_now().await;
        }
        Ok(())
    };
    with_timeout(time.min(LINGER), drain).await
}
