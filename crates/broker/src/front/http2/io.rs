//! The socket of an HTTP/2 connection, as the library wants it, under the eyes of the guard.

use async_io::Async;
use futures_lite::{AsyncRead as _, AsyncWrite as _};
use plover_h2_guard::{Guard, Violation};
use plover_runtime::clock::Clock;
use std::cell::RefCell;
use std::io;
use std::net::TcpStream;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll};
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};

/// The guard of a connection, and what it found.
pub(super) struct Watch {
    guard: Guard,
    violation: Option<Violation>,
}

/// Shared by the socket, which feeds it, and the connection, which heeds it.
pub(super) type SharedWatch = Rc<RefCell<Watch>>;

impl Watch {
    pub(super) fn new(guard: Guard) -> SharedWatch {
        Rc::new(RefCell::new(Watch { guard, violation: None }))
    }

    pub(super) fn violation(&self) -> Option<Violation> {
        self.violation
    }

    pub(super) fn guard(&mut self) -> &mut Guard {
        &mut self.guard
    }
}

/// Bytes that one connection reads before all others have their turn. A client whose bytes are always there would else keep
/// the one thread: the library reads for as long as there is something.
pub(super) const READ_IN_A_TURN: usize = 8 * 1024;

/// A socket whose bytes pass the guard. From a violation on nothing more is read: the connection is to end.
pub(super) struct Watched {
    stream: Rc<Async<TcpStream>>,
    /// What was read before the library took over.
    ahead: Vec<u8>,
    watch: SharedWatch,
    clock: Clock,
    /// Bytes that may still be read in this turn.
    left: usize,
}

impl Watched {
    pub(super) fn new(
        stream: Rc<Async<TcpStream>>,
        ahead: Vec<u8>,
        watch: SharedWatch,
        clock: Clock,
    ) -> Self {
        Watched { stream, ahead, watch, clock, left: READ_IN_A_TURN }
    }

    /// Shows the guard what comes. False: it must go no further.
    fn passes(&self, bytes: &[u8]) -> bool {
        let mut watch = self.watch.borrow_mut();
        if let Err(violation) = watch.guard.feed(self.clock.now(), bytes) {
            watch.violation = Some(violation);
        }
        watch.violation.is_none()
    }
}

impl AsyncRead for Watched {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        if self.watch.borrow().violation.is_some() {
            return Poll::Pending;
        }
        if !self.ahead.is_empty() {
            let n = self.ahead.len().min(buf.remaining());
            let ahead: Vec<u8> = self.ahead.drain(..n).collect();
            if !self.passes(&ahead) {
                return Poll::Pending;
            }
            buf.put_slice(&ahead);
            return Poll::Ready(Ok(()));
        }
        if self.left == 0 {
            self.left = READ_IN_A_TURN;
            cx.waker().wake_by_ref();
            return Poll::Pending;
        }
        let most = self.left.min(buf.remaining());
        let into = buf.initialize_unfilled_to(most);
        let n = match Pin::new(&mut &*self.stream).poll_read(cx, into) {
            Poll::Ready(read) => read?,
            Poll::Pending => {
                self.left = READ_IN_A_TURN;
                return Poll::Pending;
            }
        };
        if !self.passes(&into[..n]) {
            return Poll::Pending;
        }
        self.left -= n;
        buf.advance(n);
        Poll::Ready(Ok(()))
    }
}

impl AsyncWrite for Watched {
    fn poll_write(self: Pin<&mut Self>, cx: &mut Context<'_>, bytes: &[u8]) -> Poll<io::Result<usize>> {
        Pin::new(&mut &*self.stream).poll_write(cx, bytes)
    }

    fn poll_flush(self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut &*self.stream).poll_flush(cx)
    }

    fn poll_shutdown(self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut &*self.stream).poll_close(cx)
    }
}
