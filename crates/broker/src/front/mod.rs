//! The fronts: clients' connections, in every version of HTTP that is spoken here.
//!
//! What a request means is known by `plover_query`; a front reads requests, hands what they ask to the [`Inbox`],
//! and writes the one final answer. All fronts share a [`Shared`].

mod accept;
mod door;
mod farewell;
mod http1;
mod http2;
mod seats;
#[cfg(test)]
mod tests;

pub use door::Door;
pub use http1::Http1;
pub use http2::Http2;

use crate::inbox::Inbox;
use async_channel::{Receiver, Sender};
use async_executor::{LocalExecutor, Task};
use async_io::{Async, Timer};
use futures_lite::future;
use http::header::{DATE, HeaderValue};
use plover_admission::{ConnectionId, budget};
use plover_model::time::Micros;
use plover_ops::Stage;
use plover_query::{RequestConfig, RequestConfigHistory, Response, Routed, date_header, route};
use plover_runtime::clock::Clock;
use plover_runtime::net;
use std::cell::{Cell, RefCell, RefMut};
use std::net::TcpListener;
use std::rc::Rc;
use std::time::{Duration, Instant, SystemTime};

/// What all fronts share.
pub struct Shared {
    inbox: Rc<Inbox>,
    clock: Clock,
    /// What requests are read by.
    terms: RefCell<RequestConfigHistory>,
    stage: Cell<Stage>,
    /// Closed, and replaced, when the stage changes.
    moved: RefCell<(Sender<()>, Receiver<()>)>,
    connections: Cell<ConnectionId>,
    /// The `Date` field of this second, and when that began.
    date: RefCell<(Instant, HeaderValue)>,
}

impl Shared {
    /// For a program that serves.
    pub fn new(inbox: Rc<Inbox>, clock: Clock, terms: RequestConfig) -> Rc<Self> {
        let terms = RefCell::new(RequestConfigHistory::new(terms));
        let date = RefCell::new((Instant::now(), date_header(SystemTime::now())));
        let (stage, connections) = (Cell::new(Stage::Serving), Cell::new(0));
        let moved = RefCell::new(async_channel::bounded(1));
        Rc::new(Shared { inbox, clock, terms, stage, moved, connections, date })
    }

    fn stage(&self) -> Stage {
        self.stage.get()
    }

    fn set_stage(&self, stage: Stage) {
        self.stage.set(stage);
        *self.moved.borrow_mut() = async_channel::bounded(1);
    }

    /// Waits until the stage is another.
    fn moved_on(&self) -> impl Future<Output = ()> + 'static {
        let moved = self.moved.borrow().1.clone();
        async move { _ = moved.recv().await }
    }

    /// A number for a connection, which it keeps.
    fn next_connection(&self) -> ConnectionId {
        self.connections.set(self.connections.get() + 1);
        self.connections.get()
    }

    fn route(&self, request: &http::Request<Vec<u8>>) -> Routed {
        route(request, self.stage() == Stage::Serving, &self.terms.borrow(), self.clock.now())
    }

    /// With the time at which the answer is made (RFC 9110, section 6.6.1).
    fn dated(&self, mut response: Response) -> Response {
        let mut current = self.date.borrow_mut();
        if current.0.elapsed() >= Duration::from_secs(1) {
            *current = (Instant::now(), date_header(SystemTime::now()));
        }
        response.headers_mut().insert(DATE, current.1.clone());
        response
    }
}

/// One front with its listener and what accepts on it; taken when that is to end, so that later connections are
/// refused.
struct Listening<S> {
    front: Rc<S>,
    accepting: Option<(Task<()>, Rc<Async<TcpListener>>)>,
}

impl<S: accept::Serve> Listening<S> {
    fn start(front: S, listener: Async<TcpListener>, executor: &Rc<LocalExecutor<'static>>) -> Self {
        let (front, listener) = (Rc::new(front), Rc::new(listener));
        let task = executor.spawn(accept::accept(front.clone(), listener.clone(), executor.clone()));
        Listening { front, accepting: Some((task, listener)) }
    }

    /// Takes what has come up or is about to, and lets nothing more begin: who has a connection by the listener's end, which
    /// would reset it, is served.
    async fn close(&mut self, executor: &LocalExecutor<'static>) {
        let Some((task, listener)) = self.accepting.take() else { return };
        task.cancel().await;
        accept::accept_waiting(&self.front, executor).await;
        net::refuse_new_connections(&listener);
        accept::accept_rest(&self.front, &listener, executor).await;
        Timer::after(net::HANDSHAKE_TIME).await;
        accept::accept_rest(&self.front, &listener, executor).await;
    }

    /// Accepts nothing further; what the system has accepted is left to whoever else holds the socket.
    async fn leave(&mut self, executor: &LocalExecutor<'static>) {
        if let Some((task, _)) = self.accepting.take() {
            task.cancel().await;
            accept::accept_waiting(&self.front, executor).await;
        }
    }
}

/// The fronts, with their listeners.
pub struct Fronts {
    shared: Rc<Shared>,
    executor: Rc<LocalExecutor<'static>>,
    http1: Listening<Http1>,
    http2: Option<Listening<Http2>>,
    /// Where operators call; open to the end.
    _door: Option<Listening<Door>>,
    /// Whether the socket of HTTP/1.1 clients is the platform's, and stays when this process has gone.
    inherited: bool,
    closed: bool,
}

/// Where a front listens, and what it may hold.
pub struct Plan {
    /// Where clients with HTTP/1.1 connect.
    pub http1: Async<TcpListener>,
    /// Whether that is a socket that the platform holds.
    pub inherited: bool,
    /// Where operators call.
    pub door: Option<Async<TcpListener>>,
    /// Where those with HTTP/2 do.
    pub http2: Option<Async<TcpListener>>,
    /// What both may hold.
    pub limits: budget::FrontLimits,
}

impl Fronts {
    /// Accepts from now on.
    pub fn start(shared: Rc<Shared>, plan: Plan, clock: Clock, executor: Rc<LocalExecutor<'static>>) -> Self {
        let http1 = Http1::new(shared.clone(), plan.limits.http1_connections);
        let http1 = Listening::start(http1, plan.http1, &executor);
        let http2 = plan.http2.zip(plan.limits.http2).map(|(listener, limits)| {
            Listening::start(Http2::new(shared.clone(), limits, clock), listener, &executor)
        });
        let door = |listener| Listening::start(Door::new(shared.clone()), listener, &executor);
        let _door = plan.door.map(door);
        Fronts { shared, executor, http1, http2, _door, inherited: plan.inherited, closed: false }
    }

    /// Takes other limits, where that is possible while the program runs.
    pub fn set_limits(&self, limits: budget::FrontLimits) {
        if let (Some(http2), Some(limits)) = (&self.http2, limits.http2) {
            http2.front.set_limits(limits);
        }
    }

    /// So many seats for HTTP/1.1 and for HTTP/2 from now on. Where more are taken than that, idle HTTP/1.1 connections make
    /// room; those of HTTP/2 go in their own time.
    pub fn set_seats(&self, http1: usize, http2: usize) {
        let seats = accept::Serve::seats(&*self.http1.front);
        seats.set_seats(http1);
        seats.shrink(Instant::now());
        if let Some(front) = &self.http2 {
            accept::Serve::seats(&*front.front).set_seats(http2);
        }
    }

    /// Seats that are taken: of HTTP/1.1, and of HTTP/2.
    pub fn taken(&self) -> (usize, usize) {
        let http2 = self.http2.as_ref().map_or(0, |h| accept::Serve::seats(&*h.front).taken());
        (accept::Serve::seats(&*self.http1.front).taken(), http2)
    }

    /// HTTP/1.1 connections whose clients are owed something.
    pub fn busy(&self) -> usize {
        accept::Serve::seats(&*self.http1.front).busy()
    }

    /// Takes other terms, of which this process was told at this moment, or of which another one was. Returns how many
    /// others clients may still go by.
    pub fn change(&self, at: Micros, terms: RequestConfig, is_told: bool) -> usize {
        let mut history = self.shared.terms.borrow_mut();
        if is_told {
            history.update(at, terms);
        } else {
            history.reread(at, terms);
        }
        history.previous_count(at)
    }

    /// What requests are read by, and what may be learned of it from other processes of this broker.
    pub(crate) fn terms(&self) -> RefMut<'_, RequestConfigHistory> {
        self.shared.terms.borrow_mut()
    }

    /// Goes by another stage; with [`Stage::CloseIdle`] idle connections are closed. For [`Stage::Closing`] there is
    /// [`Fronts::close`].
    pub fn go(&self, stage: Stage) {
        self.shared.set_stage(stage);
        if stage == Stage::CloseIdle {
            self.http1.front.close_idle();
        }
    }

    /// Takes what the system has accepted, but no new connections from now on.
    pub async fn close(&mut self) {
        if std::mem::replace(&mut self.closed, true) {
            return;
        }
        let http1 = async {
            match self.inherited {
                // Whoever comes after us finds there what we do not take.
                true => self.http1.leave(&self.executor).await,
                false => self.http1.close(&self.executor).await,
            }
        };
        let http2 = async {
            if let Some(http2) = &mut self.http2 {
                http2.close(&self.executor).await;
            }
        };
        future::zip(http1, http2).await;
        self.shared.set_stage(Stage::Closing);
        self.http1.front.close_idle();
    }

    /// Another process accepts at the same socket: new connections are its own from now on.
    pub async fn leave_to_next(&mut self) {
        if self.inherited {
            self.http1.leave(&self.executor).await;
        }
    }

    /// Whether all that is to come has come.
    pub fn is_closing(&self) -> bool {
        self.closed
    }

    /// Open connections.
    pub fn open(&self) -> usize {
        self.http1.front.open() + self.http2.as_ref().map_or(0, |h| h.front.open())
    }
}
