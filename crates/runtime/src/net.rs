//! Reading from sockets, for clients, data servers and discovery alike.

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

/// A connection that the broker ends is read on for this long, so that its last answer is not lost by a reset
/// (RFC 9112, section 9.6).
pub const LINGER: Duration = Duration::from_millis(500);
/// Steps in which a connection's buffer grows, and the most that one read takes.
const STEP: usize = 16 * 1024;

/// Connections that may wait to be accepted. A crowd connects faster than one thread accepts, and what finds no place in
/// the queue tries again only a second later.
pub const BACKLOG: i32 = 1024;

/// Listens at an address; `shared`: beside another process of this user that shares it too.
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

/// Takes over the listening socket that the platform holds for this address, as a descriptor of our own that no child
/// inherits. The error says what is wrong with what was handed in.
pub fn inherit(fd: i32, address: SocketAddr) -> io::Result<Async<TcpListener>> {
    let wrong = |what: String| io::Error::other(format!("RELAY_FD: descriptor {fd} {what}"));
    let me = pidfd_open(getpid(), PidfdFlags::empty())?;
    // The one way to a descriptor by its number that trusts nobody's word: a copy, checked by the system.
    let copy = pidfd_getfd(&me, fd, PidfdGetfdFlags::empty())
        .map_err(|e| wrong(format!("cannot be taken over: {}", io::Error::from(e))))?;
    let socket = Socket::from(copy);
    if !socket.is_listener().unwrap_or(false) {
        return Err(wrong("is no listening socket".to_owned()));
    }
    let own = socket.local_addr()?.as_socket();
    if own.is_none_or(|own| own != address && address.port() != 0) {
        return Err(wrong(format!("listens at {own:?}, not at {address}")));
    }
    Async::new(socket.into())
}

/// Lets no further connection begin, before a listener of ours alone is dropped: the system would reset those that come up
/// after the last one was accepted. Handshakes that have begun are completed, so that the listener is accepted from for
/// [`HANDSHAKE_TIME`] more.
///
/// Linux alone has this filter. Elsewhere, or where the system refuses it, connections go on coming up until the listener is
/// dropped, and those that were not accepted are reset then.
pub fn refuse_new_connections(listener: &Async<TcpListener>) {
    let _ = SockRef::from(listener.get_ref()).attach_filter(&NO_SYN);
}

/// A handshake that has begun is over, on a sound network, within this time. Who connects in it is refused only as its system
/// tries again, a second later, so that it is short.
pub const HANDSHAKE_TIME: Duration = Duration::from_millis(1);

/// A classic BPF program over a segment's TCP header that drops those which begin a connection. To drop others too would drop
/// the last segment of a handshake, and what its client has sent behind it: the client takes itself for connected.
const NO_SYN: [SockFilter; 4] = [
    // BPF_LD | BPF_B | BPF_ABS: the byte of the flags.
    SockFilter::new(0x30, 0, 0, 13),
    // BPF_JMP | BPF_JSET | BPF_K: with SYN among them go on, else skip one.
    SockFilter::new(0x45, 0, 1, 0x02),
    // BPF_RET | BPF_K: drop it.
    SockFilter::new(0x06, 0, 0, 0),
    // BPF_RET | BPF_K: pass all of it.
    SockFilter::new(0x06, 0, 0, u32::MAX),
];

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
    linger_for(stream, LINGER).await
}

/// The same for so long at the most.
pub async fn linger_for(stream: &Async<TcpStream>, time: Duration) -> io::Result<()> {
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
    with_timeout(time.min(LINGER), drain).await
}
