//! Keeps connections to a listener from coming up: its queue is full, so that the system does not answer new ones, and tries
//! them again a second later.

use socket2::{Domain, SockRef, Socket, Type};
use std::io;
use tokio::net::TcpListener;

/// Connections that wait to be accepted, as many as the system takes.
const QUEUE: i32 = 1024;
/// With no room in the queue one connection is taken all the same, and one more stays on its way.
const FILLERS: usize = 2;

/// What fills a queue.
pub(super) struct Held(Vec<Socket>);

impl Held {
    /// Fills the queue; nobody may accept from it meanwhile.
    pub(super) fn fill(listener: &TcpListener) -> io::Result<Held> {
        let listener = SockRef::from(listener);
        listener.listen(0)?;
        let to = listener.local_addr()?;
        let filler = |_| {
            let socket = Socket::new(Domain::IPV4, Type::STREAM, None)?;
            socket.set_nonblocking(true)?;
            // It is on its way, or stays on it: both are meant.
            let _ = socket.connect(&to);
            Ok(socket)
        };
        Ok(Held((0..FILLERS).map(filler).collect::<io::Result<_>>()?))
    }

    /// Lets connections come up again; the ports of those that are to be passed over are told.
    pub(super) fn release(self, listener: &TcpListener) -> Vec<u16> {
        let port = |filler: &Socket| Some(filler.local_addr().ok()?.as_socket()?.port());
        let ports = self.0.iter().filter_map(port).collect();
        drop(self.0);
        // Where this fails connections come up one at a time.
        let _ = SockRef::from(listener).listen(QUEUE);
        ports
    }
}
