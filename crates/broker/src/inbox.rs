//! What the turn loop has yet to see. Tasks on sockets put it in; the loop takes all of it once a turn.

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

/// So often a look at clients gives way to their tasks: a hundred and more run each time. One that sends without end must
/// not hold up all others.
const STEPS: usize = 16;

/// Something that happened since the last turn.
pub enum Input {
    /// A client asks, on its connection.
    Query(QueryId, ConnectionId, QueryRequest, Client),
    /// The client of a query has gone.
    ClientGone(QueryId),
    /// A connection to a data server has news.
    Connection(u64, ConnectionEvent),
    /// Discovery has news.
    Targets(Targets),
    /// The configuration is to be read again.
    Reload,
    /// The program is to end.
    Terminate,
    /// Something came for an optional part, which takes it itself when the turn begins.
    Extension,
    /// An operator calls; the answer is a status and a text.
    Operator(Call, Sender<(u16, String)>),
}

/// News of a connection to a data server.
pub enum ConnectionEvent {
    /// A frame has come.
    Frame(FromServer),
    /// A frame has begun and is not all there yet.
    PartialFrame,
    /// The moment has passed by which something that waited there was to be written.
    Expired,
    /// The connection has ended or never came up.
    Closed(io::Error),
    /// A frame came that cannot be read. The connection has ended: nothing tells where the next one begins.
    BadFrame(BadFrame),
}

/// Whether a client still waits for its query: for all that may begin an attempt in its name.
#[derive(Debug, Default)]
pub struct Presence {
    over: Cell<bool>,
    /// So often its task looked at its connection and found nothing further.
    looks: Cell<usize>,
    /// So many looks show all that the system holds.
    needed: usize,
    task: RefCell<Option<Waker>>,
}

impl Presence {
    /// Whether it waits, as far as is known.
    pub fn is_waiting(&self) -> bool {
        !self.over.get()
    }

    fn look_again(&self) {
        if let Some(task) = &*self.task.borrow() {
            task.wake_by_ref();
        }
    }
}

/// Has the tasks of clients read what the system holds by now, so that one that has gone is known to have gone.
pub async fn refresh_presence(clients: &[Rc<Presence>]) {
    let until: Vec<_> = clients.iter().map(|c| c.looks.get() + c.needed).collect();
    for _ in 0..STEPS {
        let ahead = |(c, until): &(&Rc<Presence>, &usize)| c.is_waiting() && c.looks.get() < **until;
        let ahead: Vec<_> = clients.iter().zip(&until).filter(ahead).collect();
        if ahead.is_empty() {
            return;
        }
        ahead.into_iter().for_each(|(client, _)| client.look_again());
        yield_now().await;
    }
}

/// The way to a client that waits.
pub struct Client {
    reply: Sender<Reply>,
    presence: Rc<Presence>,
}

impl Client {
    /// One that shows in so many looks, and where its reply comes.
    pub(crate) fn new(needed: usize) -> (Client, Receiver<Reply>) {
        let (reply, comes) = async_channel::bounded(1);
        (Client { reply, presence: Rc::new(Presence { needed, ..Presence::default() }) }, comes)
    }

    /// Gives it its one reply. One that has just gone needs none.
    pub fn answer(&self, reply: Reply) {
        let _ = self.reply.try_send(reply);
    }

    /// Whether it waits.
    pub fn presence(&self) -> &Rc<Presence> {
        &self.presence
    }
}

impl Drop for Client {
    /// Nothing is owed to it any more.
    fn drop(&mut self) {
        self.presence.over.set(true);
    }
}

/// The queue between the tasks and the turn loop. Its length is bounded by what feeds it: each client
/// connection has so many queries as its front lets it, and each data server connection answers what is out on it.
pub struct Inbox {
    queue: RefCell<Vec<Input>>,
    bell: (Sender<()>, Receiver<()>),
    next_query: Cell<QueryId>,
    /// Queries among what waits.
    asks: Cell<usize>,
    /// Ends of attempts among what waits.
    ends: Cell<usize>,
}

impl Default for Inbox {
    fn default() -> Self {
        let bell = async_channel::bounded(1);
        Inbox {
            queue: RefCell::default(),
            bell,
            next_query: Cell::new(1),
            asks: Cell::new(0),
            ends: Cell::new(0),
        }
    }
}

impl Inbox {
    /// Puts something in and wakes the loop.
    pub fn put(&self, input: Input) {
        if matches!(input, Input::Connection(_, ConnectionEvent::Frame(FromServer::Answer { .. }))) {
            self.ends.set(self.ends.get() + 1);
        }
        self.queue.borrow_mut().push(input);
        if self.bell.0.is_empty() {
            let _ = self.bell.0.try_send(());
        }
    }
    /// Hands in a query; its reply comes once, unless the ticket is dropped before. That its client has gone shows once its
    /// task has looked so often.
    pub fn submit(&self, connection: ConnectionId, ask: QueryRequest, looks: usize) -> Ticket<'_> {
        let id = self.next_query.get();
        self.next_query.set(id + 1);
        let (client, reply) = Client::new(looks);
        let presence = client.presence.clone();
        self.asks.set(self.asks.get() + 1);
        self.put(Input::Query(id, connection, ask, client));
        Ticket { inbox: self, id, reply, presence }
    }
    /// A number that grows with each query.
    pub fn next_query_id(&self) -> QueryId {
        self.next_query.get()
    }
    /// Takes all that is there.
    pub fn take(&self) -> Vec<Input> {
        let _ = self.bell.1.try_recv();
        self.asks.set(0);
        self.ends.set(0);
        std::mem::take(&mut *self.queue.borrow_mut())
    }
    /// Queries that wait to be taken.
    pub fn pending_queries(&self) -> usize {
        self.asks.get()
    }
    /// Ends of attempts that wait to be taken. What ends with its connection is not counted: nothing hangs on it but
    /// how soon a turn begins.
    pub fn pending_answers(&self) -> usize {
        self.ends.get()
    }
    /// Waits until something further is put in.
    pub async fn wait_for_more(&self) {
        let _ = self.bell.1.recv().await;
    }
    /// Waits until something is there.
    pub async fn wait(&self) {
        if self.queue.borrow().is_empty() {
            let _ = self.bell.1.recv().await;
        }
    }
}

/// A query in the hands of the loop. Dropped before its reply, it tells the loop that the client has gone.
pub struct Ticket<'a> {
    inbox: &'a Inbox,
    id: QueryId,
    reply: Receiver<Reply>,
    presence: Rc<Presence>,
}

impl Ticket<'_> {
    /// The reply.
    pub async fn reply(&self) -> Reply {
        self.reply.recv().await.unwrap_or(Reply::Failed)
    }

    /// Waits for something from the client. That there is nothing counts as a look.
    pub async fn receive<T>(&self, comes: impl Future<Output = T>) -> T {
        let mut comes = pin!(comes);
        poll_fn(|cx| {
            let polled = comes.as_mut().poll(cx);
            if polled.is_pending() {
                self.presence.looks.set(self.presence.looks.get() + 1);
                *self.presence.task.borrow_mut() = Some(cx.waker().clone());
            }
            polled
        })
        .await
    }
}

impl Drop for Ticket<'_> {
    fn drop(&mut self) {
        self.presence.over.set(true);
        self.presence.task.take();
        // The loop closes the channel with the reply: only a query that it still holds needs the word.
        if !self.reply.is_closed() {
            self.inbox.put(Input::ClientGone(self.id));
        }
    }
}

#[cfg(test)]
mod tests;
