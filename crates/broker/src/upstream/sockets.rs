//! The sockets of all established connections: their event queue, reading, and the writes that a turn makes
//! itself.
//!
//! A query of hundreds of parts is sent on as many connections. Waking a task, rearming an event queue and a
//! read that finds nothing, for each of them, would cost more than transferring the bytes. One task therefore
//! waits for all sockets together, and a turn writes itself to the sockets that accept it. A connection's own
//! task dials, and writes what was queued and what the socket did not accept.

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

/// Maximum number of sockets that are read before other tasks run.
const MAX_EVENTS: usize = 256;
/// Maximum number of bytes in one read.
const READ_SIZE: usize = 16 * 1024;
/// Delay before waiting for the event queue again after the system refused it.
const RETRY_DELAY: Duration = Duration::from_millis(20);

/// System calls made for data servers and their results, counted since the start.
#[derive(Debug, Default)]
pub(super) struct Counts {
    /// Attempts written completely.
    pub(super) forwards: Cell<u64>,
    /// Calls of `write`.
    pub(super) writes: Cell<u64>,
    /// Calls of `read`.
    pub(super) reads: Cell<u64>,
    /// Polls of the event queue.
    pub(super) polls: Cell<u64>,
}

/// Increments a counter.
pub(super) fn count(of: &Cell<u64>) {
    of.set(of.get() + 1);
}

/// The sockets of all established connections.
pub(super) struct Sockets {
    /// Level-triggered: a socket that was not read completely is reported again.
    queue: Async<OwnedFd>,
    connections: RefCell<BTreeMap<u64, Rc<Connection>>>,
    inbox: Rc<Inbox>,
    pub(super) counts: Rc<Counts>,
    /// Buffers for one read, one write and one poll; none is in use between calls.
    read_buffer: RefCell<Vec<u8>>,
    write_buffer: RefCell<Vec<u8>>,
    events: RefCell<Vec<Event>>,
    /// Whether received data is left in the system's buffers, and the reader that waits for the end of that.
    paused: Cell<bool>,
    paused_reader: RefCell<Option<Waker>>,
}

impl Sockets {
    /// Creates the event queue, without sockets. Fails if no descriptor is left for it.
    pub(super) fn new(inbox: Rc<Inbox>) -> io::Result<Rc<Self>> {
        let queue = Async::new_nonblocking(epoll::create(CreateFlags::CLOEXEC)?)?;
        Ok(Rc::new(Sockets {
            queue,
            connections: RefCell::default(),
            inbox,
            counts: Rc::default(),
            read_buffer: RefCell::new(vec![0; READ_SIZE]),
            write_buffer: RefCell::default(),
            events: RefCell::new(Vec::with_capacity(MAX_EVENTS)),
            paused: Cell::default(),
            paused_reader: RefCell::default(),
        }))
    }

    /// Registers an established connection for reading.
    pub(super) fn add(&self, id: u64, connection: &Rc<Connection>) -> io::Result<()> {
        let Some(socket) = connection.socket() else { return Ok(()) };
        epoll::add(&self.queue, &*socket, EventData::new_u64(id), EventFlags::IN | EventFlags::RDHUP)?;
        self.connections.borrow_mut().insert(id, connection.clone());
        Ok(())
    }

    /// Removes a connection.
    pub(super) fn remove(&self, id: u64) {
        let Some(connection) = self.connections.borrow_mut().remove(&id) else { return };
        if let Some(socket) = connection.socket() {
            // If this fails, closing the socket removes it from the queue.
            let _ = epoll::delete(&self.queue, &*socket);
        }
    }

    /// Ends a connection and reports the event: nothing more is read or written.
    pub(super) fn end(&self, id: u64, connection: &Connection, event: ConnectionEvent) {
        if connection.set_ended() {
            self.remove(id);
            self.inbox.put(Input::Connection(id, event));
        }
    }

    /// Reads once from a connection.
    pub(super) fn read(&self, id: u64, connection: &Connection) {
        if connection.has_ended() {
            return;
        }
        count(&self.counts.reads);
        let mut buffer = self.read_buffer.borrow_mut();
        if let Some(end) = connection.read(&mut buffer, |event| self.inbox.put(Input::Connection(id, event)))
        {
            self.end(id, connection, end);
        }
    }

    /// Reads once from the connections that have data, at most [`MAX_EVENTS`]. Returns false if those were
    /// all.
    pub(super) fn read_batch(&self) -> bool {
        let mut events = self.events.borrow_mut();
        events.clear();
        count(&self.counts.polls);
        // An interrupted poll is repeated by the next call.
        let _ = epoll::wait(&self.queue, spare_capacity(&mut events), Some(&Timespec::default()));
        for event in &*events {
            let id = event.data.u64();
            let connection = self.connections.borrow().get(&id).cloned();
            if let Some(connection) = connection {
                self.read(id, &connection);
            }
        }
        events.len() == events.capacity()
    }

    /// Reads from all connections that have data now.
    pub(super) fn read_all(&self) {
        // The number of batches is bounded: a connection on which data arrives without end is reported each
        // time, after all others.
        let max_batches = self.connections.borrow().len() / MAX_EVENTS + 1;
        for _ in 0..max_batches {
            if !self.read_batch() {
                return;
            }
        }
    }

    /// Pauses reading, or reads what was received meanwhile and resumes.
    pub(super) fn pause(&self, pause: bool) {
        self.paused.set(pause);
        if !pause {
            self.read_all();
            if let Some(reader) = self.paused_reader.take() {
                reader.wake();
            }
        }
    }

    /// Waits until a connection has data and reading is not paused.
    async fn readable(&self) -> io::Result<()> {
        poll_fn(|cx| {
            if self.paused.get() {
                *self.paused_reader.borrow_mut() = Some(cx.waker().clone());
                return Poll::Pending;
            }
            self.queue.poll_readable(cx)
        })
        .await
    }

    /// Writes what a turn has staged on these connections, in their order. What was received is read before
    /// anything is written: a frame written to a connection that its server has just closed or corrupted
    /// would have to count as possibly run, and answers that have arrived would be lost with a failed write.
    pub(super) fn flush<'a>(
        &self,
        connections: impl IntoIterator<Item = (u64, &'a Rc<Connection>)>,
        clock: &Clock,
    ) {
        let mut connections = connections.into_iter().peekable();
        if connections.peek().is_none() {
            return;
        }
        self.read_all();
        let mut buffer = self.write_buffer.borrow_mut();
        for (id, connection) in connections {
            let written = connection.flush(clock, &mut buffer);
            if connection.has_expired() {
                self.inbox.put(Input::Connection(id, ConnectionEvent::Expired));
            }
            if let Err(error) = written {
                self.end(id, connection, ConnectionEvent::Closed(error));
            }
        }
    }
}

/// Reads from all connections until dropped.
pub(super) async fn read_loop(sockets: Rc<Sockets>) {
    loop {
        if sockets.readable().await.is_err() {
            Timer::after(RETRY_DELAY).await;
        }
        sockets.read_batch();
        // A server that sends without end must not block the other tasks of this thread.
        yield_now().await;
    }
}
