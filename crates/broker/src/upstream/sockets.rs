//! The sockets of all connections that are up: one event queue for them, reading, and what a turn writes.
//!
//! A query of hundreds of parts goes to as many connections. A task woken, a queue armed again and a read that finds nothing
//! for each of them cost more than its bytes do, so that one task waits for all sockets together, and a turn writes
//! by itself to those that take it. A connection's own task dials, and writes what waited or what its socket does not take.

use super::connection::Connection;
use crate::inbox::{ConnectionEvent, Inbox, Input};
use async_io::{Async, Timer};
use futures_lite::future::yield_now;
use plover_runtime::clock::Clock;
use rustix::buffer::spare_capacity;
use rustix::event::Timespec;
use rustix::event::epoll::{self, CreateFlags, Event, EventData, EventFlags};
use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::future::poll_fn;
use std::io;
use std::os::fd::OwnedFd;
use std::rc::Rc;
use std::task::{Poll, Waker};
use std::time::Duration;

/// Sockets that are read before others have their turn.
const AT_ONCE: usize = 256;
/// The most that one read takes.
const CHUNK: usize = 16 * 1024;
/// A queue that the system does not let us wait for is tried again after this time.
const AGAIN: Duration = Duration::from_millis(20);

/// What was asked of the system for data servers, and what came of it, since the start.
#[derive(Debug, Default)]
pub(super) struct Counts {
    /// Attempts written whole.
    pub(super) forwards: Cell<u64>,
    /// Writes.
    pub(super) writes: Cell<u64>,
    /// Reads.
    pub(super) reads: Cell<u64>,
    /// Looks at the event queue.
    pub(super) looks: Cell<u64>,
}

/// One more.
pub(super) fn count(of: &Cell<u64>) {
    of.set(of.get() + 1);
}

/// The sockets that are up.
pub(super) struct Sockets {
    /// Level-triggered: what is not read shows again.
    queue: Async<OwnedFd>,
    lines: RefCell<BTreeMap<u64, Rc<Connection>>>,
    inbox: Rc<Inbox>,
    pub(super) counts: Rc<Counts>,
    /// For one read, one write and one look, of which none lasts.
    chunk: RefCell<Vec<u8>>,
    out: RefCell<Vec<u8>>,
    events: RefCell<Vec<Event>>,
    /// Whether what comes is left to the system for now, and who waits for the end of that.
    held: Cell<bool>,
    waits: RefCell<Option<Waker>>,
}

impl Sockets {
    /// None yet. The error is the system's: it has no descriptor left.
    pub(super) fn new(inbox: Rc<Inbox>) -> io::Result<Rc<Self>> {
        let queue = Async::new_nonblocking(epoll::create(CreateFlags::CLOEXEC)?)?;
        Ok(Rc::new(Sockets {
            queue,
            lines: RefCell::default(),
            inbox,
            counts: Rc::default(),
            chunk: RefCell::new(vec![0; CHUNK]),
            out: RefCell::default(),
            events: RefCell::new(Vec::with_capacity(AT_ONCE)),
            held: Cell::default(),
            waits: RefCell::default(),
        }))
    }

    /// Takes a connection that has come up.
    pub(super) fn add(&self, id: u64, line: &Rc<Connection>) -> io::Result<()> {
        let Some(socket) = line.socket() else { return Ok(()) };
        epoll::add(&self.queue, &*socket, EventData::new_u64(id), EventFlags::IN | EventFlags::RDHUP)?;
        self.lines.borrow_mut().insert(id, line.clone());
        Ok(())
    }

    /// Gives a connection up.
    pub(super) fn remove(&self, id: u64) {
        let Some(line) = self.lines.borrow_mut().remove(&id) else { return };
        if let Some(socket) = line.socket() {
            // It goes with its socket otherwise.
            let _ = epoll::delete(&self.queue, &*socket);
        }
    }

    /// A connection has ended: nothing more is read or written.
    pub(super) fn end(&self, id: u64, line: &Connection, how: ConnectionEvent) {
        if line.set_ended() {
            self.remove(id);
            self.inbox.put(Input::Connection(id, how));
        }
    }

    /// Reads what a connection has, once.
    pub(super) fn read(&self, id: u64, line: &Connection) {
        if line.has_ended() {
            return;
        }
        count(&self.counts.reads);
        let mut chunk = self.chunk.borrow_mut();
        if let Some(end) = line.read(&mut chunk, |event| self.inbox.put(Input::Connection(id, event))) {
            self.end(id, line, end);
        }
    }

    /// Reads from those that have something, up to [`AT_ONCE`]. False: those were all.
    pub(super) fn read_some(&self) -> bool {
        let mut events = self.events.borrow_mut();
        events.clear();
        count(&self.counts.looks);
        // An interrupted look is made again with the next.
        let _ = epoll::wait(&self.queue, spare_capacity(&mut events), Some(&Timespec::default()));
        for event in &*events {
            let id = event.data.u64();
            let line = self.lines.borrow().get(&id).cloned();
            if let Some(line) = line {
                self.read(id, &line);
            }
        }
        events.len() == events.capacity()
    }

    /// Reads from all that have something now.
    pub(super) fn read_all(&self) {
        // One that sends without end shows each time, behind all others.
        let most = self.lines.borrow().len() / AT_ONCE + 1;
        for _ in 0..most {
            if !self.read_some() {
                return;
            }
        }
    }

    /// Leaves what comes to the system for now, or reads it.
    pub(super) fn hold(&self, hold: bool) {
        self.held.set(hold);
        if !hold {
            self.read_all();
            if let Some(reader) = self.waits.take() {
                reader.wake();
            }
        }
    }

    /// Waits until something is there and is not left to the system.
    async fn readable(&self) -> io::Result<()> {
        poll_fn(|cx| {
            if self.held.get() {
                *self.waits.borrow_mut() = Some(cx.waker().clone());
                return Poll::Pending;
            }
            self.queue.poll_readable(cx)
        })
        .await
    }

    /// Writes what a turn has staged on these connections, in their order. What has come is read before anything is written:
    /// a frame on a connection that its server has just closed, or spoilt, may have run as far as anybody knows, and answers
    /// that are in would be lost with a failed write.
    pub(super) fn flush<'a>(
        &self,
        lines: impl IntoIterator<Item = (u64, &'a Rc<Connection>)>,
        clock: &Clock,
    ) {
        let mut lines = lines.into_iter().peekable();
        if lines.peek().is_none() {
            return;
        }
        self.read_all();
        let mut out = self.out.borrow_mut();
        for (id, line) in lines {
            let written = line.flush(clock, &mut out);
            if line.has_late() {
                self.inbox.put(Input::Connection(id, ConnectionEvent::Expired));
            }
            if let Err(error) = written {
                self.end(id, line, ConnectionEvent::Closed(error));
            }
        }
    }
}

/// Reads whatever comes, on all connections, until dropped.
pub(super) async fn watch(sockets: Rc<Sockets>) {
    loop {
        if sockets.readable().await.is_err() {
            Timer::after(AGAIN).await;
        }
        sockets.read_some();
        // A server that sends without end must not keep the one thread from all others.
        yield_now().await;
    }
}
