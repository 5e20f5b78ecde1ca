//! The queue of inputs for the event loop. The tasks of sockets add inputs, and the loop takes all of them
//! once a turn.

use async_channel::{Receiver, Sender};
use futures_lite::future::yield_now;
use plover_admission::ConnectionId;
use plover_frames::{BadFrame, FromServer};
use plover_model::query::{QueryId, QueryRequest, Reply};
use plover_model::server::Targets;
use plover_ops::Call;
use std::cell::{Cell, RefCell};
use std::future::poll_fn;
use std::io;
use std::pin::pin;
use std::rc::Rc;
use std::task::Waker;

/// Maximum number of times that [`refresh_presence`] yields to the tasks of clients. A hundred and more tasks
/// run each time. A client that sends without end must not block all others.
const MAX_YIELDS: usize = 16;

/// Something that happened since the last turn.
pub enum Input {
    /// A query of a client, with the number of the client's connection.
    Query(QueryId, ConnectionId, QueryRequest, Client),
    /// The client of a query has gone.
    ClientGone(QueryId),
    /// An event of a connection to a data server, with the connection's id.
    Connection(u64, ConnectionEvent),
    /// A server list or changes to it, from discovery.
    Targets(Targets),
    /// The configuration is to be read again.
    Reload,
    /// The process is to end.
    Terminate,
    /// An extension has received something, which it takes itself when the turn begins.
    Extension,
    /// A call of an operator. The answer is a status code and a text.
    Operator(Call, Sender<(u16, String)>),
}

/// An event of a connection to a data server.
pub enum ConnectionEvent {
    /// A frame was received.
    Frame(FromServer),
    /// A frame was received in part.
    PartialFrame,
    /// The write deadline of a queued part has passed.
    Expired,
    /// The connection has ended or could not be established.
    Closed(io::Error),
    /// A frame was received that cannot be decoded. The connection has ended, since the start of the next
    /// frame is unknown.
    BadFrame(BadFrame),
}

/// Tells whether a client still waits for its query, to everything that may send an attempt for it.
#[derive(Debug, Default)]
pub struct Presence {
    ended: Cell<bool>,
    /// Number of times that the client's task polled its connection and found nothing further.
    empty_polls: Cell<usize>,
    /// Number of empty polls after which everything that the system holds has been read.
    polls_needed: usize,
    task: RefCell<Option<Waker>>,
}

impl Presence {
    /// Whether the client waits, as far as is known.
    pub fn is_waiting(&self) -> bool {
        !self.ended.get()
    }

    fn wake_task(&self) {
        if let Some(task) = &*self.task.borrow() {
            task.wake_by_ref();
        }
    }
}

/// Lets the tasks of clients read what the system holds by now, so that clients that have gone are known to
/// have gone.
pub async fn refresh_presence(clients: &[Rc<Presence>]) {
    let targets: Vec<_> = clients.iter().map(|c| c.empty_polls.get() + c.polls_needed).collect();
    for _ in 0..MAX_YIELDS {
        let is_behind =
            |(c, target): &(&Rc<Presence>, &usize)| c.is_waiting() && c.empty_polls.get() < **target;
        let behind: Vec<_> = clients.iter().zip(&targets).filter(is_behind).collect();
        if behind.is_empty() {
            return;
        }
        behind.into_iter().for_each(|(client, _)| client.wake_task());
        yield_now().await;
    }
}

/// The channel to a client that waits for a reply.
pub struct Client {
    reply: Sender<Reply>,
    presence: Rc<Presence>,
}

impl Client {
    /// Creates the channel, with the receiver of its reply. `polls_needed` is the number of empty polls after
    /// which it is known whether the client has gone.
    pub(crate) fn new(polls_needed: usize) -> (Client, Receiver<Reply>) {
        let (reply, receiver) = async_channel::bounded(1);
        (Client { reply, presence: Rc::new(Presence { polls_needed, ..Presence::default() }) }, receiver)
    }

    /// Sends the one reply. It is dropped if the client has just gone.
    pub fn answer(&self, reply: Reply) {
        let _ = self.reply.try_send(reply);
    }

    /// Tells whether the client waits.
    pub fn presence(&self) -> &Rc<Presence> {
        &self.presence
    }
}

impl Drop for Client {
    /// Marks the client as no longer waiting.
    fn drop(&mut self) {
        self.presence.ended.set(true);
    }
}

/// The queue between the tasks and the event loop. Its length is bounded by its sources: the front limits the
/// number of queries on each client connection, and each connection to a data server answers only what is in
/// flight on it.
pub struct Inbox {
    queue: RefCell<Vec<Input>>,
    wakeup: (Sender<()>, Receiver<()>),
    next_query: Cell<QueryId>,
    /// Number of queries in the queue.
    pending_queries: Cell<usize>,
    /// Number of answers to attempts in the queue.
    pending_answers: Cell<usize>,
}

impl Default for Inbox {
    fn default() -> Self {
        let wakeup = async_channel::bounded(1);
        Inbox {
            queue: RefCell::default(),
            wakeup,
            next_query: Cell::new(1),
            pending_queries: Cell::new(0),
            pending_answers: Cell::new(0),
        }
    }
}

impl Inbox {
    /// Adds an input and wakes the loop.
    pub fn put(&self, input: Input) {
        if matches!(input, Input::Connection(_, ConnectionEvent::Frame(FromServer::Answer { .. }))) {
            self.pending_answers.set(self.pending_answers.get() + 1);
        }
        self.queue.borrow_mut().push(input);
        if self.wakeup.0.is_empty() {
            let _ = self.wakeup.0.try_send(());
        }
    }
    /// Submits a query. The ticket receives its one reply, unless it is dropped before. `polls_needed` is the
    /// number of empty polls after which it is known whether the client has gone.
    pub fn submit(&self, connection: ConnectionId, request: QueryRequest, polls_needed: usize) -> Ticket<'_> {
        let id = self.next_query.get();
        self.next_query.set(id + 1);
        let (client, reply) = Client::new(polls_needed);
        let presence = client.presence.clone();
        self.pending_queries.set(self.pending_queries.get() + 1);
        self.put(Input::Query(id, connection, request, client));
        Ticket { inbox: self, id, reply, presence }
    }
    /// The id of the next query, which grows with each query.
    pub fn next_query_id(&self) -> QueryId {
        self.next_query.get()
    }
    /// Removes and returns all inputs.
    pub fn take(&self) -> Vec<Input> {
        let _ = self.wakeup.1.try_recv();
        self.pending_queries.set(0);
        self.pending_answers.set(0);
        std::mem::take(&mut *self.queue.borrow_mut())
    }
    /// Number of queries that the loop has not taken yet.
    pub fn pending_queries(&self) -> usize {
        self.pending_queries.get()
    }
    /// Number of answers to attempts that the loop has not taken yet. Attempts that end with their connection
    /// are not counted: only the start of the next turn depends on the count.
    pub fn pending_answers(&self) -> usize {
        self.pending_answers.get()
    }
    /// Waits until another input is added.
    pub async fn wait_for_more(&self) {
        let _ = self.wakeup.1.recv().await;
    }
    /// Waits until the queue is not empty.
    pub async fn wait(&self) {
        if self.queue.borrow().is_empty() {
            let _ = self.wakeup.1.recv().await;
        }
    }
}

/// A query that was submitted to the loop. Dropping it before its reply tells the loop that the client has
/// gone.
pub struct Ticket<'a> {
    inbox: &'a Inbox,
    id: QueryId,
    reply: Receiver<Reply>,
    presence: Rc<Presence>,
}

impl Ticket<'_> {
    /// Waits for the reply.
    pub async fn reply(&self) -> Reply {
        self.reply.recv().await.unwrap_or(Reply::Failed)
    }

    /// Polls `future`, which reads from the client, until it is ready. Each poll that finds nothing counts as
    /// an empty poll.
    pub async fn receive<T>(&self, future: impl Future<Output = T>) -> T {
        let mut future = pin!(future);
        poll_fn(|cx| {
            let polled = future.as_mut().poll(cx);
            if polled.is_pending() {
                self.presence.empty_polls.set(self.presence.empty_polls.get() + 1);
                *self.presence.task.borrow_mut() = Some(cx.waker().clone());
            }
            polled
        })
        .await
    }
}

impl Drop for Ticket<'_> {
    fn drop(&mut self) {
        self.presence.ended.set(true);
        self.presence.task.take();
        // The loop closes the channel with the reply, so it needs to be told only of a query that is still
        // open.
        if !self.reply.is_closed() {
            self.inbox.put(Input::ClientGone(self.id));
        }
    }
}

#[cfg(test)]
mod tests;
