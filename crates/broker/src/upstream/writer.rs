//! The task of one connection: dials the server and writes what the turns leave in the queue.

use super::connection::Connection;
use super::sockets::Sockets;
use crate::inbox::{ConnectionEvent, Inbox, Input};
use async_io::Async;
use futures_lite::future::pending;
use plover_model::time::Micros;
use plover_runtime::clock::{Clock, duration, with_timeout};
use std::io::{self, Write};
use std::net::{SocketAddr, TcpStream};
use std::rc::Rc;
use std::time::Duration;

/// Dials the server, then writes the queued frames until a write fails. [`Sockets`] reads from the
/// connection.
pub(super) async fn run(
    id: u64,
    endpoint: SocketAddr,
    dial_timeout: Micros,
    connection: Rc<Connection>,
    sockets: Rc<Sockets>,
    inbox: Rc<Inbox>,
    clock: Clock,
) {
    let error = match with_timeout(Duration::from_micros(dial_timeout), Async::<TcpStream>::connect(endpoint))
        .await
    {
        Ok(stream) => {
            let stream = Rc::new(stream);
            connection.set_socket(stream.clone());
            connection.set_connected(clock.now());
            let registered = stream.get_ref().set_nodelay(true).and_then(|()| sockets.add(id, &connection));
            match registered {
                Ok(()) => write_loop(&stream, id, &connection, &sockets, &inbox, &clock).await,
                Err(error) => error,
            }
        }
        Err(error) => error,
    };
    sockets.end(id, &connection, ConnectionEvent::Closed(error));
}

/// Writes queued frames until a write fails.
async fn write_loop(
    stream: &Async<TcpStream>,
    id: u64,
    connection: &Connection,
    sockets: &Sockets,
    inbox: &Inbox,
    clock: &Clock,
) -> io::Error {
    loop {
        let next = connection.next_frame(clock).await;
        if connection.has_expired() {
            inbox.put(Input::Connection(id, ConnectionEvent::Expired));
        }
        let Some((frame, write_deadline)) = next else { continue };
        // What was received is read before anything is written, as in a turn's flush.
        sockets.read(id, connection);
        if connection.has_ended() {
            return pending().await;
        }
        if let Err(error) = write_before(stream, &frame, write_deadline, clock).await {
            return error;
        }
        connection.frame_written();
    }
}

/// Writes a frame. After the write deadline its last byte must not be written, and so nothing else on this
/// connection either.
pub(super) async fn write_before(
    stream: &Async<TcpStream>,
    mut frame: &[u8],
    write_deadline: Micros,
    clock: &Clock,
) -> io::Result<()> {
    while !frame.is_empty() {
        match stream.get_ref().write(frame) {
            Ok(0) => return Err(io::ErrorKind::WriteZero.into()),
            Ok(n) => frame = &frame[n..],
            Err(error) if error.kind() == io::ErrorKind::Interrupted => {}
            Err(error) if error.kind() == io::ErrorKind::WouldBlock => {
                let left = write_deadline.saturating_sub(clock.now());
                if write_deadline == Micros::MAX {
                    stream.writable().await?;
                } else {
                    with_timeout(duration(left), stream.writable()).await?;
                }
                if clock.now() >= write_deadline {
                    return Err(io::ErrorKind::TimedOut.into());
                }
            }
            Err(error) => return Err(error),
        }
    }
    Ok(())
}
