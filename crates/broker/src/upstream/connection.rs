//! One connection to a data server: what waits to be written, what a turn writes at once, and what is read.

use super::sockets::{Counts, Sockets, count};
use crate::inbox::{ConnectionEvent, Inbox, Input, Presence, refresh_presence};
use async_channel::{Receiver, Sender};
use async_io::Async;
use futures_lite::future::pending;
use plover_frames::{self as frame, PartId, PartLine};
use plover_model::query::AttemptId;
use plover_model::time::Micros;
use plover_runtime::clock::{Clock, limited, span};
use std::cell::{Cell, RefCell};
use std::collections::{BTreeSet, VecDeque};
use std::io::{self, Read, Write};
use std::net::{Shutdown, SocketAddr, TcpStream};
use std::rc::Rc;
use std::time::Duration;

/// One part, ready for its frame.
pub(super) struct QueuedPart {
    pub(super) attempt: AttemptId,
    pub(super) id: PartId,
    pub(super) wait_ms: u64,
    /// Its frame's last byte is written before this moment, or the part is not sent.
    pub(super) write_deadline: Micros,
    /// Its frame's first byte too is written before this one: nobody waits for the answer then.
    pub(super) deadline: Micros,
    pub(super) key: Option<Rc<str>>,
    pub(super) text: Rc<str>,
    pub(super) client: Rc<Presence>,
}

/// What a connection is to write.
pub(super) enum WriteItem {
    /// One call.
    Call(Vec<QueuedPart>),
    /// A part's giving up.
    Cancel(PartId),
}

impl WriteItem {
    /// Its parts; a giving up has none.
    fn parts(&self) -> &[QueuedPart] {
        match self {
            WriteItem::Call(parts) => parts,
            WriteItem::Cancel(_) => &[],
        }
    }

    fn attempts(&self) -> Vec<AttemptId> {
        self.parts().iter().map(|p| p.attempt).collect()
    }

    /// The moment by which its frame is to be out.
    fn write_deadline(&self) -> Micros {
        self.parts().iter().map(|p| p.write_deadline).min().unwrap_or(Micros::MAX)
    }

    /// Appends its frame.
    fn encode(&self, out: &mut Vec<u8>) {
        match self {
            WriteItem::Cancel(part) => frame::give_up_into(out, part),
            WriteItem::Call(parts) => {
                let lines = parts.iter().map(|p| PartLine {
                    id: &p.id,
                    shard: p.id.shard,
                    wait_ms: p.wait_ms,
                    key: p.key.as_deref(),
                    text: &p.text,
                });
                frame::call_into(out, lines);
            }
        }
    }
}

/// What waits to be written to one connection, and its socket once it is up.
pub(super) struct Connection {
    waiting: RefCell<VecDeque<WriteItem>>,
    /// What the turn writes by itself before it ends.
    staged: RefCell<VecDeque<WriteItem>>,
    /// The parts of the frame that is being written; a giving up has none.
    writing: RefCell<Option<Vec<AttemptId>>>,
    /// What the socket did not take of that from a turn.
    rest: RefCell<Option<(Vec<u8>, Micros)>>,
    /// Parts whose moment passed while they waited here.
    late: RefCell<BTreeSet<AttemptId>>,
    bell: (Sender<()>, Receiver<()>),
    socket: RefCell<Option<Rc<Async<TcpStream>>>>,
    /// When it came up; 0 until then.
    up_at: Cell<Micros>,
    /// A frame that has begun.
    input: RefCell<Vec<u8>>,
    /// Whether its task has asked for a frame, which it does once it is up.
    asked: Cell<bool>,
    ended: Cell<bool>,
    counts: Rc<Counts>,
}

impl Connection {
    pub(super) fn new(counts: Rc<Counts>) -> Self {
        let bell = async_channel::bounded(1);
        let (waiting, staged, writing, rest, late) = Default::default();
        let (socket, up_at, input, asked, ended) = Default::default();
        Connection { waiting, staged, writing, rest, late, bell, socket, up_at, input, asked, ended, counts }
    }

    /// Takes something for its task to write.
    pub(super) fn put(&self, item: WriteItem) {
        self.waiting.borrow_mut().push_back(item);
        self.ring();
    }

    fn ring(&self) {
        let _ = self.bell.0.try_send(());
    }

    /// Takes something for the turn itself to write, where nothing stands before it. True: a [`Connection::flush`] is owed.
    pub(super) fn stage(&self, item: WriteItem) -> bool {
        if !self.is_free() {
            self.put(item);
            return false;
        }
        let mut staged = self.staged.borrow_mut();
        staged.push_back(item);
        staged.len() == 1
    }

    /// Whether it is up and nothing waits for its socket.
    fn is_free(&self) -> bool {
        let up = self.asked.get() && self.socket.borrow().is_some() && !self.ended.get();
        up && self.waiting.borrow().is_empty() && !self.is_stuck()
    }

    /// Writes what is staged, in one write. What the socket does not take is left to the task. An error ends the connection;
    /// what was not written whole by then is still here.
    pub(super) fn flush(&self, clock: &Clock, out: &mut Vec<u8>) -> io::Result<()> {
        let socket = self.socket().filter(|_| self.is_free());
        let mut items = self.staged.borrow_mut();
        let Some(socket) = socket else {
            self.waiting.borrow_mut().append(&mut items);
            self.ring();
            return Ok(());
        };
        let now = clock.now();
        items.retain_mut(|item| match item {
            WriteItem::Call(parts) => {
                self.put_off_late(now, parts);
                !parts.is_empty()
            }
            WriteItem::Cancel(_) => true,
        });
        out.clear();
        items.iter().for_each(|item| item.encode(out));
        let mut sent = 0;
        let stopped = loop {
            if sent == out.len() {
                items.drain(..).for_each(|item| self.forward(item.parts().len()));
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
        self.keep_rest(&mut items, sent);
        if stopped.kind() != io::ErrorKind::WouldBlock {
            return Err(stopped);
        }
        self.ring();
        Ok(())
    }

    /// Of these items the first so many bytes are written: the rest is left to the task.
    fn keep_rest(&self, items: &mut VecDeque<WriteItem>, mut sent: usize) {
        while let Some(item) = items.pop_front() {
            let mut frame = Vec::new();
            item.encode(&mut frame);
            if sent >= frame.len() {
                sent -= frame.len();
                self.forward(item.parts().len());
                continue;
            }
            if sent == 0 {
                items.push_front(item);
            } else {
                *self.writing.borrow_mut() = Some(item.attempts());
                *self.rest.borrow_mut() = Some((frame.split_off(sent), item.write_deadline()));
            }
            break;
        }
        self.waiting.borrow_mut().append(items);
    }

    /// Sets those parts aside whose moment has passed.
    fn put_off_late(&self, now: Micros, parts: &mut Vec<QueuedPart>) {
        let late = parts.extract_if(.., |p| now >= p.write_deadline.min(p.deadline)).map(|p| p.attempt);
        self.late.borrow_mut().extend(late);
    }

    fn forward(&self, parts: usize) {
        self.counts.forwards.set(self.counts.forwards.get() + parts as u64);
    }

    /// Reads what the socket has, once, and tells what that is. The connection's end, if it has come to that.
    pub(super) fn read(
        &self,
        chunk: &mut [u8],
        mut tell: impl FnMut(ConnectionEvent),
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
        let mut begun = self.input.borrow_mut();
        let whole = begun.is_empty();
        if !whole {
            begun.extend_from_slice(&chunk[..n]);
        }
        let input = if whole { &chunk[..n] } else { &begun[..] };
        let mut used = 0;
        loop {
            match frame::decode(&input[used..]) {
                Ok(None) => break,
                Ok(Some((message, length))) => {
                    used += length;
                    tell(ConnectionEvent::Frame(message));
                }
                Err(bad) => return Some(ConnectionEvent::BadFrame(bad)),
            }
        }
        if used < input.len() {
            tell(ConnectionEvent::PartialFrame);
        }
        if whole {
            begun.extend_from_slice(&chunk[used..n]);
        } else {
            begun.drain(..used);
        }
        // An idle connection keeps no buffer.
        if begun.is_empty() {
            *begun = Vec::new();
        }
        None
    }

    /// Takes back a part of which no byte is written. False if it is too late.
    pub(super) fn withdraw(&self, attempt: AttemptId) -> bool {
        let mut taken = self.late.borrow_mut().remove(&attempt);
        self.waiting.borrow_mut().retain_mut(|item| match item {
            WriteItem::Call(parts) => {
                let before = parts.len();
                parts.retain(|p| p.attempt != attempt);
                taken |= parts.len() < before;
                !parts.is_empty()
            }
            WriteItem::Cancel(_) => true,
        });
        taken
    }

    /// Takes back all parts of which no byte is written.
    pub(super) fn withdraw_all(&self) -> Vec<AttemptId> {
        let mut taken: Vec<AttemptId> = self.late.take().into_iter().collect();
        taken.extend(self.withdraw_calls().into_iter().flatten().map(|p| p.attempt));
        taken
    }

    /// Takes back all calls of which no byte is written.
    pub(super) fn withdraw_calls(&self) -> Vec<Vec<QueuedPart>> {
        let mut taken = Vec::new();
        self.waiting.borrow_mut().retain_mut(|item| match item {
            WriteItem::Call(parts) => {
                taken.push(std::mem::take(parts));
                false
            }
            WriteItem::Cancel(_) => true,
        });
        taken
    }

    /// The parts whose frame's last byte is not written.
    pub(super) fn unwritten(&self) -> BTreeSet<AttemptId> {
        let waiting = self.waiting.borrow();
        let staged = self.staged.borrow();
        let parts = waiting.iter().chain(&*staged).flat_map(WriteItem::parts).map(|p| &p.attempt);
        let (writing, late) = (self.writing.borrow(), self.late.borrow());
        parts.chain(writing.iter().flatten()).chain(&*late).copied().collect()
    }

    /// The parts whose moment passed while they waited here.
    pub(super) fn late(&self) -> Vec<AttemptId> {
        self.late.borrow().iter().copied().collect()
    }

    /// Whether some of these have not been told of.
    pub(super) fn has_late(&self) -> bool {
        !self.late.borrow().is_empty()
    }

    /// Its socket, once it is up.
    pub(super) fn socket(&self) -> Option<Rc<Async<TcpStream>>> {
        self.socket.borrow().clone()
    }

    /// Ends its connection at once: its task, which holds the socket too, is dropped only when the executor comes to it.
    pub(super) fn shut(&self) {
        if let Some(socket) = self.socket.take() {
            // A connection that its server has ended needs no end.
            let _ = socket.get_ref().shutdown(Shutdown::Both);
        }
    }

    /// Notes when the connection came up.
    pub(super) fn came_up(&self, now: Micros) {
        self.up_at.set(now);
    }

    /// When the connection came up; 0 if it has not.
    pub(super) fn up_at(&self) -> Micros {
        self.up_at.get()
    }

    /// Whether the connection had come up.
    pub(super) fn was_up(&self) -> bool {
        self.socket.borrow().is_some()
    }

    /// Whether it has ended, or is spoilt.
    pub(super) fn has_ended(&self) -> bool {
        self.ended.get()
    }

    /// It has ended. True: that was not known.
    pub(super) fn set_ended(&self) -> bool {
        !self.ended.replace(true)
    }

    /// Whether it has not come up yet.
    pub(super) fn is_dialling(&self) -> bool {
        !self.asked.get()
    }

    /// Whether a frame is being written that the socket does not take: between turns the task has had its time.
    pub(super) fn is_stuck(&self) -> bool {
        self.writing.borrow().is_some()
    }

    /// The frame that was being written is out.
    pub(super) fn written(&self) {
        let parts = self.writing.borrow_mut().take().map_or(0, |parts| parts.len());
        self.forward(parts);
    }

    /// The clients of the next call.
    fn clients(&self) -> Vec<Rc<Presence>> {
        let waiting = self.waiting.borrow();
        let clients = |item: &WriteItem| match item {
            WriteItem::Call(parts) => {
                let here = parts.iter().map(|p| &p.client).filter(|client| client.is_waiting());
                Some(here.cloned().collect::<Vec<_>>()).filter(|clients| !clients.is_empty())
            }
            WriteItem::Cancel(_) => Some(Vec::new()),
        };
        waiting.iter().find_map(clients).unwrap_or_default()
    }

    /// What is to be written next. Parts for which nobody waits any more stay, for the pool to take back.
    fn take(&self) -> Option<WriteItem> {
        let mut waiting = self.waiting.borrow_mut();
        let next = waiting.iter().position(|item| match item {
            WriteItem::Call(parts) => parts.iter().any(|p| p.client.is_waiting()),
            WriteItem::Cancel(_) => true,
        })?;
        let item = waiting.remove(next)?;
        let WriteItem::Call(parts) = item else { return Some(item) };
        let (here, gone): (Vec<_>, Vec<_>) = parts.into_iter().partition(|p| p.client.is_waiting());
        if !gone.is_empty() {
            waiting.insert(next, WriteItem::Call(gone));
        }
        Some(WriteItem::Call(here))
    }

    /// The next frame to write, and the moment by which it is to be out. Of what waits here nothing is written whose moment
    /// has passed: a connection may come up late, and a repeat that data servers no longer drop would take effect twice.
    /// `None`: that was all.
    pub(super) async fn next(&self, clock: &Clock) -> Option<(Vec<u8>, Micros)> {
        self.asked.set(true);
        // What is here by now waited for the connection, or for the frame before it: clients may have gone meanwhile, and
        // their tasks, which run on this thread too, may not have had their turn.
        let mut waited = true;
        let mut seen: Vec<Rc<Presence>> = Vec::new();
        loop {
            if let Some(rest) = self.rest.take() {
                return Some(rest);
            }
            let clients = self.clients();
            if waited && !clients.iter().all(|c| seen.iter().any(|s| Rc::ptr_eq(c, s))) {
                refresh_presence(&clients).await;
                seen = clients;
                continue;
            }
            let Some(mut item) = self.take() else {
                let _ = self.bell.1.recv().await;
                waited = false;
                continue;
            };
            if let WriteItem::Call(parts) = &mut item {
                self.put_off_late(clock.now(), parts);
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

/// Dials, then writes what its turns don't, until that fails. Reading is for [`Sockets`].
pub(super) async fn run(
    id: u64,
    endpoint: SocketAddr,
    dial: Micros,
    connection: Rc<Connection>,
    sockets: Rc<Sockets>,
    inbox: Rc<Inbox>,
    clock: Clock,
) {
    let error = match limited(Duration::from_micros(dial), Async::<TcpStream>::connect(endpoint)).await {
        Ok(stream) => {
            let stream = Rc::new(stream);
            *connection.socket.borrow_mut() = Some(stream.clone());
            connection.came_up(clock.now());
            let up = stream.get_ref().set_nodelay(true).and_then(|()| sockets.add(id, &connection));
            match up {
                Ok(()) => write(&stream, id, &connection, &sockets, &inbox, &clock).await,
                Err(error) => error,
            }
        }
        Err(error) => error,
    };
    sockets.end(id, &connection, ConnectionEvent::Closed(error));
}

/// Writes until that fails.
async fn write(
    stream: &Async<TcpStream>,
    id: u64,
    connection: &Connection,
    sockets: &Sockets,
    inbox: &Inbox,
    clock: &Clock,
) -> io::Error {
    loop {
        let next = connection.next(clock).await;
        if connection.has_late() {
            inbox.put(Input::Connection(id, ConnectionEvent::Expired));
        }
        let Some((frame, write_deadline)) = next else { continue };
        // What has come is read before anything is written, as in a turn's flush.
        sockets.read(id, connection);
        if connection.has_ended() {
            return pending().await;
        }
        if let Err(error) = write_before(stream, &frame, write_deadline, clock).await {
            return error;
        }
        connection.written();
    }
}

/// Writes a frame. Once its moment has passed its end must not go out, and so nothing else on this connection.
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
                    limited(span(left), stream.writable()).await?;
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
