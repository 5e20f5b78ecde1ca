//! Taking connections, for every front alike.

use super::seats::{Seat, Seats};
use async_executor::LocalExecutor;
use async_io::{Async, Timer};
use futures_lite::future::yield_now;
use plover_runtime::net::BACKLOG;
use rustix::io::Errno;
use std::fs::File;
use std::io::ErrorKind;
use std::net::{TcpListener, TcpStream};
use std::rc::Rc;
use std::time::{Duration, Instant};
use tracing::warn;

/// Wait after a failed accept, which is mostly for want of descriptors.
const ACCEPT_PAUSE: Duration = Duration::from_millis(20);

/// What is done with a connection.
pub(super) trait Serve: 'static {
    /// The front's seats.
    fn seats(&self) -> &Rc<Seats>;
    /// Serves a connection to its end.
    fn serve(self: Rc<Self>, stream: Async<TcpStream>, seat: Seat) -> impl Future<Output = ()>;
    /// Tells a client that there is no room for it. Nothing is waited for.
    fn turn_away(&self, stream: &Async<TcpStream>);
}

/// Accepts connections until dropped.
pub(super) async fn accept<S: Serve>(
    front: Rc<S>,
    listener: Rc<Async<TcpListener>>,
    executor: Rc<LocalExecutor<'static>>,
) {
    let mut kept = keep_one();
    loop {
        match listener.accept().await {
            Ok((stream, _)) => {
                // Here it is not lost where accepting ends meanwhile.
                front.seats().set_waiting(stream);
                let room = front.seats().make_room().await;
                match front.seats().take_waiting() {
                    Some(stream) if room => take(&front, stream, &executor),
                    Some(stream) => turn_away(&front, stream, &executor).await,
                    None => {}
                }
            }
            Err(error) => {
                let short = [Errno::MFILE, Errno::NFILE]
                    .map(|e| Some(e.raw_os_error()))
                    .contains(&error.raw_os_error());
                let evicted = short && front.seats().evict(Instant::now());
                warn!(name: "accept_failed", error = %error, evicted);
                if short && !evicted {
                    // Nobody makes room: the next one is told so, and does not wait for an answer that never comes.
                    drop(kept.take());
                    if let Ok((stream, _)) = listener.get_ref().accept()
                        && let Ok(stream) = Async::new(stream)
                    {
                        front.turn_away(&stream);
                    }
                }
                Timer::after(ACCEPT_PAUSE).await;
                kept = kept.or_else(keep_one);
            }
        }
        // A flood of connections must not keep the one thread from those that are open, nor those that made room for it their
        // descriptors.
        yield_now().await;
        front.seats().settled().await;
    }
}

/// A descriptor that is nobody's, for the day on which the system gives no other: the limits that the process goes by are
/// below the system's, but that may be lowered, or the machine run out, while it serves.
fn keep_one() -> Option<File> {
    File::open("/dev/null").ok()
}

/// Takes the one that waited for room as accepting ended, if any did.
pub(super) async fn accept_waiting<S: Serve>(front: &Rc<S>, executor: &LocalExecutor<'static>) {
    if let Some(stream) = front.seats().take_waiting() {
        take_or_turn_away(front, stream, executor).await;
    }
}

/// Takes the connections that the system has accepted: their requests count as taken. Those that find no seat are told
/// so, a few at a time: what they hold would else be what the queries in hand need. They are as many as the system queued;
/// who comes meanwhile is not waited for.
pub(super) async fn accept_rest<S: Serve>(
    front: &Rc<S>,
    listener: &Async<TcpListener>,
    executor: &LocalExecutor<'static>,
) {
    for _ in 0..=BACKLOG {
        match listener.get_ref().accept() {
            Ok((stream, _)) => {
                let Ok(stream) = Async::new(stream) else { return };
                take_or_turn_away(front, stream, executor).await;
            }
            // One that has gone while it waited ends nothing for those behind it.
            Err(e) if matches!(e.kind(), ErrorKind::ConnectionAborted | ErrorKind::Interrupted) => {}
            Err(_) => return,
        }
    }
}

async fn take_or_turn_away<S: Serve>(
    front: &Rc<S>,
    stream: Async<TcpStream>,
    executor: &LocalExecutor<'static>,
) {
    match front.seats().try_take() {
        Some(seat) => executor.spawn(front.clone().serve(stream, seat)).detach(),
        None => turn_away(front, stream, executor).await,
    }
}

/// Tells a client that there is no room for it, and reads on for a moment: its request is there, unread, and closed on at once
/// it would read a reset in place of this. It is counted meanwhile, so that the process does not end before that.
async fn turn_away<S: Serve>(front: &Rc<S>, stream: Async<TcpStream>, executor: &LocalExecutor<'static>) {
    front.turn_away(&stream);
    let place = front.seats().farewell();
    executor.spawn(async move { place.part(&stream).await }).detach();
    front.seats().settled().await;
}

fn take<S: Serve>(front: &Rc<S>, stream: Async<TcpStream>, executor: &LocalExecutor<'static>) {
    let seat = front.seats().take();
    executor.spawn(front.clone().serve(stream, seat)).detach();
}
