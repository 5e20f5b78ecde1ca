//! HTTP/2 connections (RFC 9113) without TLS, by prior knowledge: one task each drives the connection and all of its
//! requests, so that they end with it. What they may cost in all is decided by `plover_admission` and
//! `plover_h2_guard`; framing, flow control and header compression are the `h2` library's.

mod io;
mod stream;
#[cfg(test)]
mod tests;

use super::accept::Serve;
use super::seats::{JUST_COME, Rank, Seat, Seats, Spare};
use super::{Shared, Stage};
use async_io::{Async, Timer};
use bytes::Bytes;
use futures_lite::{AsyncWriteExt, FutureExt};
use futures_util::stream::{FuturesUnordered, StreamExt};
use h2::server::{self, SendResponse};
use h2::{Reason, RecvStream};
use http::{Request, Version};
use io::{SharedWatch, Watch, Watched};
use plover_admission::ConnectionId;
use plover_admission::budget;
use plover_h2_guard::{Budget, Guard, PREFACE, Violation};
use plover_http1::{Reader, encode_response};
use plover_model::query::Reply;
use plover_model::time::{Micros, SECOND};
use plover_query::{MAX_BODY_LENGTH, encode_reply};
use plover_runtime::clock::{Clock, duration, with_timeout};
use plover_runtime::net::{LINGER, read_some};
use std::cell::Cell;
use std::future::{Future, poll_fn};
use std::net::TcpStream;
use std::pin::{Pin, pin};
use std::rc::Rc;
use std::task::{Context, Poll};
use std::time::Duration;
use stream::End;
use tracing::{debug, warn};

/// A connection that has asked nothing, and one whose frame or header block does not go on, ends after this time.
const SILENCE: Micros = 2 * SECOND;
/// One that was served and has no request may stay for so long: its client keeps it in order to ask again.
const IDLE: Micros = 60 * SECOND;
/// What is still to be written when a connection ends has this time.
const LAST_WORDS: Micros = SECOND / 2;
/// A connection that is to end, and whose requests are all answered, waits so long for its client to have seen that.
const FAREWELL: Micros = SECOND;
/// A client that was told to go has heard it after this time; streams that it opens before are served.
const HEARD: Micros = SECOND / 2;
/// Window of a stream: a body as long as any that is taken fits, so that it need not be given back in between, and
/// one that is longer shows.
const STREAM_WINDOW: u32 = MAX_BODY_LENGTH as u32 + 1024;
/// Most of an answer that waits in the library, beside what its own slice is.
const SEND_BUFFER: usize = 32 * 1024;
/// How long, and how many, streams that were reset are remembered for, so that what crosses the reset is no error.
const RESET_TIME: Duration = Duration::from_secs(1);

/// The front of HTTP/2.
pub struct Http2 {
    shared: Rc<Shared>,
    seats: Rc<Seats>,
    limits: Cell<budget::Http2Limits>,
    clock: Clock,
}

impl Serve for Http2 {
    fn seats(&self) -> &Rc<Seats> {
        &self.seats
    }

    async fn serve(self: Rc<Self>, stream: Async<TcpStream>, seat: Seat) {
        let connection = self.shared.next_connection();
        let _ = stream.get_ref().set_nodelay(true);
        let stream = Rc::new(stream);
        let ahead = match self.preface(&stream, &seat).await {
            Ok(ahead) => ahead,
            Err(violation) => {
                let Some(violation) = violation else { return seat.part(&stream).await };
                warn!(name: "http2_refused", connection, why = %violation);
                let _ = self.refuse(&stream, violation).await;
                return seat.over(&stream, LINGER).await;
            }
        };
        match self.connection(connection, stream.clone(), &seat, ahead).await {
            // A client that is still sending would see a reset in place of the last words.
            Parting::InOrder => seat.over(&stream, LINGER).await,
            Parting::AtOnce => seat.part(&stream).await,
        }
    }

    /// In HTTP/2 this could be said only after an exchange: the closing says it.
    fn turn_away(&self, _stream: &Async<TcpStream>) {}
}

impl Http2 {
    /// A front with these limits.
    pub fn new(shared: Rc<Shared>, limits: budget::Http2Limits, clock: Clock) -> Self {
        Http2 { shared, seats: Seats::new(limits.connections), limits: Cell::new(limits), clock }
    }

    /// Open connections.
    pub fn open(&self) -> usize {
        self.seats.open()
    }

    /// Takes other limits, for connections that come from now on; the number of these stays.
    pub fn set_limits(&self, limits: budget::Http2Limits) {
        self.limits.set(limits);
    }

    /// Reads what a connection begins with, up to the length of the preface. An error without a violation is a client
    /// that went away or said nothing.
    async fn preface(&self, stream: &Async<TcpStream>, seat: &Seat) -> Result<Vec<u8>, Option<Violation>> {
        let mut guard = Guard::new(0, Budget::new(1, 1));
        let mut ahead = Vec::new();
        let spare = seat.spare(Rank::Fresh);
        let read = async {
            while ahead.len() < PREFACE.len() {
                let seen = ahead.len();
                if read_some(stream, &mut ahead).await.map_err(|_| None)? == 0 {
                    return Err(None);
                }
                let end = ahead.len().min(PREFACE.len());
                guard.feed(0, &ahead[seen..end]).map_err(Some)?;
            }
            Ok(())
        };
        let late = async {
            spare.closed().or(async { _ = Timer::after(duration(SILENCE)).await }).await;
            Err(None)
        };
        read.or(late).await?;
        Ok(ahead)
    }

    /// Tells a client that speaks HTTP/1 what is spoken here.
    async fn refuse(&self, stream: &Async<TcpStream>, violation: Violation) -> std::io::Result<()> {
        if violation == Violation::Http1 {
            let why = "this port speaks HTTP/2 by prior knowledge (RFC 9113, section 3.3)".to_owned();
            let reply = self.shared.dated(encode_reply(&Reply::Bad { status: 400, why }));
            let reader = Reader { version: Version::HTTP_11, head_only: false, keep_alive: false };
            let bytes = encode_response(&reply, reader);
            with_timeout(duration(LAST_WORDS), (&*stream).write_all(&bytes)).await?;
        }
        Ok(())
    }

    async fn connection(
        &self,
        number: ConnectionId,
        stream: Rc<Async<TcpStream>>,
        seat: &Seat,
        ahead: Vec<u8>,
    ) -> Parting {
        let limits = self.limits.get();
        let budget = Budget::new(limits.streams, limits.header_list);
        let watch = Watch::new(Guard::new(self.clock.now(), budget));
        let io = Watched::new(stream, ahead, watch.clone(), self.clock);
        let streams = limits.streams as usize;
        let handshake = server::Builder::new()
            .initial_window_size(STREAM_WINDOW)
            .initial_connection_window_size(limits.connection_window)
            .max_concurrent_streams(limits.streams)
            .max_header_list_size(limits.header_list)
            .max_send_buffer_size(SEND_BUFFER)
            .max_concurrent_reset_streams(streams)
            .max_pending_accept_reset_streams(streams)
            .reset_stream_duration(RESET_TIME)
            .handshake::<_, Bytes>(io);
        let handshake = async { handshake.await.map_err(std::io::Error::other) };
        let Ok(h2) = with_timeout(duration(SILENCE), handshake).await else { return Parting::InOrder };
        let mut life = Life {
            front: self,
            seat,
            number,
            h2,
            streams: FuturesUnordered::new(),
            watch,
            timer: Timer::never(),
            idle_since: self.clock.now(),
            just_come_until: self.clock.now() + JUST_COME.as_micros() as Micros,
            asked: false,
            served: false,
            phase: Phase::Serving,
        };
        life.run().await
    }
}

/// How a connection and its seat part.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Parting {
    /// Its client may read what was said last.
    InOrder,
    /// Nothing more is said: another needs the seat, and its client has asked nothing.
    AtOnce,
}

/// Where a connection is in its life.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Phase {
    /// It takes requests.
    Serving,
    /// GOAWAY is out since then: what was taken is answered, and what still comes before the client has seen it.
    Leaving(Micros),
    /// All is said; it is dropped at this moment at the latest.
    Ending(Micros),
}

/// What a connection wakes for.
enum Event {
    Request(Box<(Request<RecvStream>, SendResponse<Bytes>)>),
    Ended(End),
    Violation(Violation),
    /// The program's stage, or room, asks it to look again.
    Stage,
    Evicted,
    Time,
    Down(Option<h2::Error>),
}

type Served = Pin<Box<dyn Future<Output = End>>>;

/// One connection and its requests.
struct Life<'a> {
    front: &'a Http2,
    seat: &'a Seat,
    number: ConnectionId,
    h2: server::Connection<Watched, Bytes>,
    streams: FuturesUnordered<Served>,
    watch: SharedWatch,
    timer: Timer,
    idle_since: Micros,
    /// Before this moment its first request may be on its way, whatever the program's stage.
    just_come_until: Micros,
    asked: bool,
    served: bool,
    phase: Phase,
}

impl Life<'_> {
    async fn run(&mut self) -> Parting {
        loop {
            if self.is_to_leave() {
                self.leave();
            }
            let event = self.event().await;
            match event {
                Event::Request(mut request) if self.refuses() => request.1.send_reset(Reason::REFUSED_STREAM),
                Event::Request(request) => {
                    let (request, respond) = *request;
                    self.asked = true;
                    let serve = stream::serve(self.front.shared.clone(), self.number, request, respond);
                    self.streams.push(Box::pin(serve));
                }
                Event::Ended(end) => self.ended(end),
                Event::Violation(violation) => {
                    warn!(name: "http2_flood", connection = self.number, why = %violation);
                    self.h2.abrupt_shutdown(Reason::ENHANCE_YOUR_CALM);
                    self.streams.clear();
                    self.end();
                }
                Event::Stage => {}
                // A client that was served is told to go elsewhere, and goes within a round trip. One that was not may
                // be one of hundreds that take seats and say nothing: waiting for it would give it what it wants.
                Event::Evicted if !self.served => return Parting::AtOnce,
                Event::Evicted => self.leave(),
                Event::Time => {
                    if !self.time_is_up() {
                        return Parting::InOrder;
                    }
                }
                Event::Down(error) => {
                    let error = error.filter(|e| !e.is_io());
                    if let Some(error) =
                        error.as_ref().filter(|e| e.reason() == Some(Reason::ENHANCE_YOUR_CALM))
                    {
                        warn!(name: "http2_flood", connection = self.number, why = %error);
                    } else if let Some(error) = error {
                        debug!(name: "http2_down", connection = self.number, error = %error);
                    }
                    return Parting::InOrder;
                }
            }
        }
    }

    /// Whether the program's stage asks it to go. One that has not asked yet was opened in order to: told at once, its
    /// client would have connected for nothing.
    fn is_to_leave(&self) -> bool {
        match self.front.shared.stage() {
            Stage::Serving => false,
            // The notice ends nothing: a client that has nowhere else to go goes on here, and is served.
            Stage::GracePeriod | Stage::Draining | Stage::CloseIdle => self.asked,
            Stage::Closing => self.asked || self.front.clock.now() >= self.just_come_until,
        }
    }

    /// Whether requests that come now are turned down: the client was told to go, and has had time to hear it.
    fn refuses(&self) -> bool {
        let heard = match self.phase {
            Phase::Serving => false,
            Phase::Leaving(since) => self.front.clock.now() >= since + HEARD,
            Phase::Ending(_) => true,
        };
        heard && self.front.shared.stage() == Stage::Closing
    }

    fn ended(&mut self, end: End) {
        match end {
            End::Answered(length, usable) => {
                self.watch.borrow_mut().guard().answered(length);
                self.served |= usable;
            }
            End::Reset(usable) => self.served |= usable,
        }
        if self.streams.is_empty() {
            self.idle_since = self.front.clock.now();
        }
    }

    /// Sends the client away in order: GOAWAY with the highest id, and with the last one taken after a round trip.
    fn leave(&mut self) {
        if self.phase == Phase::Serving {
            self.h2.graceful_shutdown();
            self.idle_since = self.front.clock.now();
            self.phase = Phase::Leaving(self.idle_since);
        }
    }

    fn end(&mut self) {
        self.phase = Phase::Ending(self.front.clock.now() + LAST_WORDS);
    }

    /// When [`Life::time_is_up`] is due.
    fn due(&self) -> Micros {
        if let Phase::Ending(at) = self.phase {
            return at;
        }
        let half = self.watch.borrow_mut().guard().half_since().map(|at| at + SILENCE);
        let idle = self.streams.is_empty().then(|| {
            self.idle_since
                + match self.phase {
                    Phase::Serving if self.served => IDLE,
                    Phase::Serving => SILENCE,
                    _ => FAREWELL,
                }
        });
        let closing = self.phase == Phase::Serving && self.front.shared.stage() == Stage::Closing;
        let come = closing.then_some(self.just_come_until);
        half.into_iter().chain(idle).chain(come).min().unwrap_or(Micros::MAX)
    }

    /// Something that had its time is over. False: the connection is to be dropped.
    fn time_is_up(&mut self) -> bool {
        let now = self.front.clock.now();
        if now < self.due() {
            return true;
        }
        let half = self.watch.borrow_mut().guard().half_since().is_some_and(|at| now >= at + SILENCE);
        match self.phase {
            Phase::Ending(_) => return false,
            _ if half => {
                warn!(name: "http2_half_sent", connection = self.number);
                self.h2.abrupt_shutdown(Reason::PROTOCOL_ERROR);
                self.streams.clear();
                self.end();
            }
            Phase::Serving => self.leave(),
            Phase::Leaving(_) => {
                self.h2.abrupt_shutdown(Reason::NO_ERROR);
                self.end();
            }
        }
        true
    }

    /// Waits for what comes next, and drives the connection meanwhile.
    async fn event(&mut self) -> Event {
        let shared = self.front.shared.clone();
        let stage = shared.stage();
        let idle = self.streams.is_empty() && self.phase == Phase::Serving;
        let half = self.watch.borrow_mut().guard().half_since().is_some();
        let rank = match self.served {
            true => Rank::Served,
            false if half => Rank::Fresh,
            false => Rank::Greeted,
        };
        let seat = self.seat;
        let spare: Option<Spare<'_>> = idle.then(|| seat.spare(rank));
        let evicted = async {
            match &spare {
                Some(spare) => spare.closed().await,
                None => futures_lite::future::pending().await,
            }
        };
        let mut evicted = pin!(evicted);
        let mut moved = pin!(shared.moved_on());
        poll_fn(|cx| {
            if let Poll::Ready(event) = self.poll_wire(cx) {
                return Poll::Ready(event);
            }
            if shared.stage() != stage || moved.as_mut().poll(cx).is_ready() {
                return Poll::Ready(Event::Stage);
            }
            if evicted.as_mut().poll(cx).is_ready() {
                return Poll::Ready(Event::Evicted);
            }
            let due = self.due();
            if due < Micros::MAX {
                self.timer.set_at(self.front.clock.instant(due));
                if Pin::new(&mut self.timer).poll(cx).is_ready() {
                    return Poll::Ready(Event::Time);
                }
            }
            Poll::Pending
        })
        .await
    }

    fn poll_wire(&mut self, cx: &mut Context<'_>) -> Poll<Event> {
        if let Poll::Ready(Some(end)) = self.streams.poll_next_unpin(cx) {
            return Poll::Ready(Event::Ended(end));
        }
        let polled = self.h2.poll_accept(cx);
        // Reading may have found it: then whatever was decoded before is of no use any more.
        if let (Some(violation), false) =
            (self.watch.borrow().violation(), matches!(self.phase, Phase::Ending(_)))
        {
            return Poll::Ready(Event::Violation(violation));
        }
        match polled {
            Poll::Ready(Some(Ok(request))) => Poll::Ready(Event::Request(Box::new(request))),
            Poll::Ready(Some(Err(error))) => Poll::Ready(Event::Down(Some(error))),
            Poll::Ready(None) => Poll::Ready(Event::Down(None)),
            Poll::Pending => Poll::Pending,
        }
    }
}
