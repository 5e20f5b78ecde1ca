//! One connection to a data server: its write queue, the writes that a turn makes itself, and reading.

use super::sockets::{Counts, count};
use super::write_item::{QueuedPart, WriteItem};
use crate::inbox::{ConnectionEvent, Presence, refresh_presence};
use async_channel::{Receiver, Sender};
use async_io::Async;
use plover_frames as frame;
use plover_model::query::AttemptId;
use plover_model::time::Micros;
use plover_runtime::clock::Clock;
use std::cell::{Cell, RefCell};
use std::collections::{BTreeSet, VecDeque};
use std::io::{self, Read, Write};
use std::net::{Shutdown, TcpStream};
use std::rc::Rc;

/// The write queue of one connection, and its socket once it is established.
pub(super) struct Connection {
    /// Frames for the connection's task to write, in order.
    queue: RefCell<VecDeque<WriteItem>>,
    /// Frames that the turn writes itself before it ends.
    staged: RefCell<VecDeque<WriteItem>>,
    /// The attempts in the frame that is being written; empty for a cancellation. `None` if no frame is being
    /// written.
    writing: RefCell<Option<Vec<AttemptId>>>,
    /// The bytes of that frame which the socket did not accept from a turn, and the frame's write deadline.
    remainder: RefCell<Option<(Vec<u8>, Micros)>>,
    /// Attempts whose write deadline passed while they were queued here.
    expired: RefCell<BTreeSet<AttemptId>>,
    wakeup: (Sender<()>, Receiver<()>),
    socket: RefCell<Option<Rc<Async<TcpStream>>>>,
    /// When the connection was established; 0 before that.
    connected_at: Cell<Micros>,
    /// The received part of an incomplete frame.
    partial_frame: RefCell<Vec<u8>>,
    /// Whether the connection's task has asked for a frame, which it does once the connection is established.
    writer_started: Cell<bool>,
    ended: Cell<bool>,
    counts: Rc<Counts>,
}

impl Connection {
    pub(super) fn new(counts: Rc<Counts>) -> Self {
        let wakeup = async_channel::bounded(1);
        let (queue, staged, writing, remainder, expired) = Default::default();
        let (socket, connected_at, partial_frame, writer_started, ended) = Default::default();
        Connection {
            queue,
            staged,
            writing,
            remainder,
            expired,
            wakeup,
            socket,
            connected_at,
            partial_frame,
            writer_started,
            ended,
            counts,
        }
    }

    /// Queues a frame for the connection's task to write.
    pub(super) fn enqueue(&self, item: WriteItem) {
        self.queue.borrow_mut().push_back(item);
        self.wake_writer();
    }

    fn wake_writer(&self) {
        let _ = self.wakeup.0.try_send(());
    }

    /// Stages a frame for the turn itself to write, or queues it if another frame is to be written before it.
    /// Returns true if the caller has to call [`Connection::flush`].
    pub(super) fn stage(&self, item: WriteItem) -> bool {
        if !self.is_free() {
            self.enqueue(item);
            return false;
        }
        let mut staged = self.staged.borrow_mut();
        staged.push_back(item);
        staged.len() == 1
    }

    /// Whether the connection is established and no frame is queued or being written.
    fn is_free(&self) -> bool {
        let established = self.writer_started.get() && self.socket.borrow().is_some() && !self.ended.get();
        established && self.queue.borrow().is_empty() && !self.is_write_blocked()
    }

    /// Writes the staged frames in one write. What the socket does not accept is left to the connection's
    /// task. An error ends the connection; frames that were not written completely by then remain here.
    pub(super) fn flush(&self, clock: &Clock, out: &mut Vec<u8>) -> io::Result<()> {
        let socket = self.socket().filter(|_| self.is_free());
        let mut items = self.staged.borrow_mut();
        let Some(socket) = socket else {
            self.queue.borrow_mut().append(&mut items);
            self.wake_writer();
            return Ok(());
        };
        let now = clock.now();
        items.retain_mut(|item| match item {
            WriteItem::Call(parts) => {
                self.set_aside_expired(now, parts);
                !parts.is_empty()
            }
            WriteItem::Cancel(_) => true,
        });
        out.clear();
        items.iter().for_each(|item| item.encode(out));
        let mut sent = 0;
        let stopped = loop {
            if sent == out.len() {
                items.drain(..).for_each(|item| self.count_forwarded(item.parts().len()));
                return Ok(());
            }
            count(&self.counts.writes);
            match socket.get_ref().write(&out[sent..]) {
                Ok(0) => break io::ErrorKind::WriteZero.into(),
                Ok(n) => sent += n,
                Err(error) if error.kind() == io::ErrorKind::Interrupted => {}
                Err(error) => break error,
            }
        };
        self.keep_remainder(&mut items, sent);
        if stopped.kind() != io::ErrorKind::WouldBlock {
            return Err(stopped);
        }
        self.wake_writer();
        Ok(())
    }

    /// Leaves what follows the first `sent` bytes of these frames to the connection's task.
    fn keep_remainder(&self, items: &mut VecDeque<WriteItem>, mut sent: usize) {
        while let Some(item) = items.pop_front() {
            let mut frame = Vec::new();
            item.encode(&mut frame);
            if sent >= frame.len() {
                sent -= frame.len();
                self.count_forwarded(item.parts().len());
                continue;
            }
            if sent == 0 {
                items.push_front(item);
            } else {
                *self.writing.borrow_mut() = Some(item.attempts());
                *self.remainder.borrow_mut() = Some((frame.split_off(sent), item.write_deadline()));
            }
            break;
        }
        self.queue.borrow_mut().append(items);
    }

    /// Moves the parts whose write deadline or deadline has passed to the expired ones.
    fn set_aside_expired(&self, now: Micros, parts: &mut Vec<QueuedPart>) {
        let expired = parts.extract_if(.., |p| now >= p.write_deadline.min(p.deadline)).map(|p| p.attempt);
        self.expired.borrow_mut().extend(expired);
    }

    fn count_forwarded(&self, parts: usize) {
        self.counts.forwards.set(self.counts.forwards.get() + parts as u64);
    }

    /// Reads from the socket once and passes what was received to `notify`. Returns the event that ends the
    /// connection, if it has ended.
    pub(super) fn read(
        &self,
        chunk: &mut [u8],
        mut notify: impl FnMut(ConnectionEvent),
    ) -> Option<ConnectionEvent> {
        let socket = self.socket()?;
        let n = loop {
            match socket.get_ref().read(chunk) {
                Ok(0) => return Some(ConnectionEvent::Closed(io::ErrorKind::UnexpectedEof.into())),
                Ok(n) => break n,
                Err(error) if error.kind() == io::ErrorKind::Interrupted => {}
                Err(error) if error.kind() == io::ErrorKind::WouldBlock => return None,
                Err(error) => return Some(ConnectionEvent::Closed(error)),
            }
        };
        let mut partial = self.partial_frame.borrow_mut();
        let starts_frame = partial.is_empty();
        if !starts_frame {
            partial.extend_from_slice(&chunk[..n]);
        }
        let input = if starts_frame { &chunk[..n] } else { &partial[..] };
        let mut used = 0;
        loop {
            match frame::decode(&input[used..]) {
                Ok(None) => break,
                Ok(Some((message, length))) => {
                    used += length;
                    notify(ConnectionEvent::Frame(message));
                }
                Err(bad) => return Some(ConnectionEvent::BadFrame(bad)),
            }
        }
        if used < input.len() {
            notify(ConnectionEvent::PartialFrame);
        }
        if starts_frame {
            partial.extend_from_slice(&chunk[used..n]);
        } else {
            partial.drain(..used);
        }
        // An idle connection keeps no buffer.
        if partial.is_empty() {
            *partial = Vec::new();
        }
        None
    }

    /// Removes a part of which no byte was written. Returns false if it is too late.
    pub(super) fn withdraw(&self, attempt: AttemptId) -> bool {
        let mut withdrawn = self.expired.borrow_mut().remove(&attempt);
        self.queue.borrow_mut().retain_mut(|item| match item {
            WriteItem::Call(parts) => {
                let before = parts.len();
                parts.retain(|p| p.attempt != attempt);
                withdrawn |= parts.len() < before;
                !parts.is_empty()
            }
            WriteItem::Cancel(_) => true,
        });
        withdrawn
    }

    /// Removes and returns all parts of which no byte was written.
    pub(super) fn withdraw_all(&self) -> Vec<AttemptId> {
        let mut withdrawn: Vec<AttemptId> = self.expired.take().into_iter().collect();
        withdrawn.extend(self.withdraw_calls().into_iter().flatten().map(|p| p.attempt));
        withdrawn
    }

    /// Removes and returns all calls of which no byte was written.
    pub(super) fn withdraw_calls(&self) -> Vec<Vec<QueuedPart>> {
        let mut withdrawn = Vec::new();
        self.queue.borrow_mut().retain_mut(|item| match item {
            WriteItem::Call(parts) => {
                withdrawn.push(std::mem::take(parts));
                false
            }
            WriteItem::Cancel(_) => true,
        });
        withdrawn
    }

    /// The attempts whose frame was not written to its last byte.
    pub(super) fn unwritten(&self) -> BTreeSet<AttemptId> {
        let queue = self.queue.borrow();
        let staged = self.staged.borrow();
        let parts = queue.iter().chain(&*staged).flat_map(WriteItem::parts).map(|p| &p.attempt);
        let (writing, expired) = (self.writing.borrow(), self.expired.borrow());
        parts.chain(writing.iter().flatten()).chain(&*expired).copied().collect()
    }

    /// The attempts whose write deadline passed while they were queued here.
    pub(super) fn expired(&self) -> Vec<AttemptId> {
        self.expired.borrow().iter().copied().collect()
    }

    /// Whether there are expired attempts that the pool has not removed yet.
    pub(super) fn has_expired(&self) -> bool {
        !self.expired.borrow().is_empty()
    }

    /// The socket; `None` until the connection is established.
    pub(super) fn socket(&self) -> Option<Rc<Async<TcpStream>>> {
        self.socket.borrow().clone()
    }

    /// Shuts the socket down at once. The connection's task holds the socket too and is dropped only when the
    /// executor next runs it.
    pub(super) fn shutdown(&self) {
        if let Some(socket) = self.socket.take() {
            // The server may have closed the connection already.
            let _ = socket.get_ref().shutdown(Shutdown::Both);
        }
    }

    /// Sets the socket of the established connection.
    pub(super) fn set_socket(&self, socket: Rc<Async<TcpStream>>) {
        *self.socket.borrow_mut() = Some(socket);
    }

    /// Records when the connection was established.
    pub(super) fn set_connected(&self, now: Micros) {
        self.connected_at.set(now);
    }

    /// When the connection was established; 0 if it was not.
    pub(super) fn connected_at(&self) -> Micros {
        self.connected_at.get()
    }

    /// Whether the connection had been established.
    pub(super) fn was_connected(&self) -> bool {
        self.socket.borrow().is_some()
    }

    /// Whether the connection has ended or received a frame that cannot be decoded.
    pub(super) fn has_ended(&self) -> bool {
        self.ended.get()
    }

    /// Marks the connection as ended. Returns true if it was not marked before.
    pub(super) fn set_ended(&self) -> bool {
        !self.ended.replace(true)
    }

    /// Whether the connection is not established yet.
    pub(super) fn is_dialling(&self) -> bool {
        !self.writer_started.get()
    }

    /// Whether the socket does not accept the frame that is being written. The task runs between turns, so a
    /// frame that is still being written during a turn is blocked.
    pub(super) fn is_write_blocked(&self) -> bool {
        self.writing.borrow().is_some()
    }

    /// Records that the frame was written completely.
    pub(super) fn frame_written(&self) {
        let parts = self.writing.borrow_mut().take().map_or(0, |parts| parts.len());
        self.count_forwarded(parts);
    }

    /// The waiting clients of the next frame that has any; empty if a cancellation comes first.
    fn next_clients(&self) -> Vec<Rc<Presence>> {
        let queue = self.queue.borrow();
        let clients = |item: &WriteItem| match item {
            WriteItem::Call(parts) => {
                let waiting = parts.iter().map(|p| &p.client).filter(|client| client.is_waiting());
                Some(waiting.cloned().collect::<Vec<_>>()).filter(|clients| !clients.is_empty())
            }
            WriteItem::Cancel(_) => Some(Vec::new()),
        };
        queue.iter().find_map(clients).unwrap_or_default()
    }

    /// Removes and returns the next frame to write. Parts whose clients no longer wait stay queued until the
    /// pool withdraws them.
    fn take_next(&self) -> Option<WriteItem> {
        let mut queue = self.queue.borrow_mut();
        let next = queue.iter().position(|item| match item {
            WriteItem::Call(parts) => parts.iter().any(|p| p.client.is_waiting()),
            WriteItem::Cancel(_) => true,
        })?;
        let item = queue.remove(next)?;
        let WriteItem::Call(parts) = item else { return Some(item) };
        let (waiting, gone): (Vec<_>, Vec<_>) = parts.into_iter().partition(|p| p.client.is_waiting());
        if !gone.is_empty() {
            queue.insert(next, WriteItem::Call(gone));
        }
        Some(WriteItem::Call(waiting))
    }

    /// Waits for the next frame to write and returns it with its write deadline; `None` if all parts of the
    /// next call have expired. Parts whose write deadline has passed are not written: a connection may be
    /// established late, and a repeat that data servers no longer drop would take effect twice.
    pub(super) async fn next_frame(&self, clock: &Clock) -> Option<(Vec<u8>, Micros)> {
        self.writer_started.set(true);
        // Frames queued by now waited for the connection or for the previous frame. Their clients may have
        // gone meanwhile, and the clients' tasks, which run on this thread too, may not have run since.
        let mut waited = true;
        let mut checked: Vec<Rc<Presence>> = Vec::new();
        loop {
            if let Some(remainder) = self.remainder.take() {
                return Some(remainder);
            }
            let clients = self.next_clients();
            if waited && !clients.iter().all(|c| checked.iter().any(|s| Rc::ptr_eq(c, s))) {
                refresh_presence(&clients).await;
                checked = clients;
                continue;
            }
            let Some(mut item) = self.take_next() else {
                let _ = self.wakeup.1.recv().await;
                waited = false;
                continue;
            };
            if let WriteItem::Call(parts) = &mut item {
                self.set_aside_expired(clock.now(), parts);
                if parts.is_empty() {
                    return None;
                }
            }
            *self.writing.borrow_mut() = Some(item.attempts());
            let mut frame = Vec::new();
            item.encode(&mut frame);
            return Some((frame, item.write_deadline()));
        }
    }
}
