//! HTTP/1.1 connections: one task each reads a request, waits for its one final answer, and writes it.

use super::accept::Serve;
use super::seats::{JUST_COME, Rank, Seat, Seats};
use super::{Shared, Stage};
use async_io::{Async, Timer};
use futures_lite::future::yield_now;
use futures_lite::{AsyncWriteExt, FutureExt};
use http::{Method, Request, Version};
use plover_admission::ConnectionId;
use plover_http1::{Fault, Limits, Message, Reader, RequestDecoder, Step, encode_response};
use plover_model::query::Reply;
use plover_query::{MAX_BODY_LENGTH, MAX_HEAD_LENGTH, Response, Routed, connection_refusal, encode_reply};
use plover_runtime::clock::with_timeout;
use plover_runtime::net::{LINGER, read_some};
use std::io::{self, Write};
use std::net::{Shutdown, TcpStream};
use std::rc::Rc;
use std::time::Duration;

/// A request that has begun must be all there, and an answer taken, within this time: a client that trickles
/// would else hold its connection for ever.
const MESSAGE_TIME: Duration = Duration::from_secs(10);
/// A connection without a request, or one whose request does not go on, is closed after this time. Clients open
/// connections in order to speak, and those that keep them for good would fill all seats with silence.
const SILENCE: Duration = Duration::from_secs(2);
/// The same, once the broker has been emptied.
const SILENCE_EMPTY: Duration = Duration::from_millis(500);
/// How much is kept of what is sent ahead while an answer is awaited.
const AHEAD: usize = MAX_HEAD_LENGTH;
/// Requests that a client sent ahead are answered on its connection after the program's doors have closed, but no more
/// than this, so that one that never stops does not keep the program.
const LAST_ONES: usize = 16;
/// What a request may take.
const LIMITS: Limits = Limits { head: MAX_HEAD_LENGTH, body: MAX_BODY_LENGTH };

/// The front of HTTP/1.1.
pub struct Http1 {
    shared: Rc<Shared>,
    pub(super) seats: Rc<Seats>,
}

/// How an idle connection goes on.
enum Idle {
    /// A request has begun.
    Begun,
    /// It is to end. Its client may be sending in this moment: it is told, and read on for a while.
    Over,
    /// The same, and its seat is wanted at once.
    Room,
    /// Its client has gone.
    Gone,
}

/// How a connection has come to its end.
enum End {
    /// Its client has gone.
    Gone,
    /// All is said; it is read on for so long at the most.
    Over(Duration),
    /// Its seat is wanted at once: it is to end without.
    Wanted,
}

/// How the reading of a request ended.
enum Read {
    Whole(Box<Message<Request<Vec<u8>>>>),
    Bad(Fault),
}

impl Serve for Http1 {
    fn seats(&self) -> &Rc<Seats> {
        &self.seats
    }

    /// An error is the client's going away, which its ticket has told.
    async fn serve(self: Rc<Self>, stream: Async<TcpStream>, seat: Seat) {
        match self.connection(&stream, &seat).await {
            Ok(End::Over(time)) => seat.over(&stream, time).await,
            Ok(End::Wanted) => seat.part(&stream).await,
            Ok(End::Gone) | Err(_) => {}
        }
    }

    fn turn_away(&self, stream: &Async<TcpStream>) {
        let response = self.shared.dated(connection_refusal(&self.shared.terms.borrow()));
        let _ = stream.get_ref().set_nodelay(true);
        let _ = stream.get_ref().write(&encode_response(&response, LAST));
        let _ = stream.get_ref().shutdown(Shutdown::Write);
    }
}

/// The reader of an answer that ends its connection.
pub(super) const LAST: Reader = Reader { version: Version::HTTP_11, head_only: false, keep_alive: false };

impl Http1 {
    /// A front that holds so many connections at most.
    pub fn new(shared: Rc<Shared>, most: usize) -> Self {
        Http1 { shared, seats: Seats::new(most) }
    }

    /// Open connections.
    pub fn open(&self) -> usize {
        self.seats.open()
    }

    /// Closes the connections that are idle.
    pub(super) fn close_idle(&self) {
        self.seats.close_idle();
    }

    async fn connection(&self, stream: &Async<TcpStream>, seat: &Seat) -> io::Result<End> {
        stream.get_ref().set_nodelay(true)?;
        let mut input = Vec::new();
        let mut decoder = RequestDecoder::new(LIMITS);
        let mut served = false;
        let mut last_ones = LAST_ONES;
        let number = self.shared.next_connection();
        loop {
            if input.is_empty() {
                match self.first_bytes(stream, seat, &mut input, served).await? {
                    Idle::Begun => {}
                    Idle::Over => return Ok(End::Over(self.seats.idle_time())),
                    Idle::Room => return Ok(End::Wanted),
                    Idle::Gone => return Ok(End::Gone),
                }
            }
            let message = match self.request(stream, seat, &mut decoder, &mut input, served).await {
                Ok(Read::Whole(message)) => message,
                Ok(Read::Bad(fault)) => return self.reject(stream, fault.status(), fault.why()).await,
                Err(e) if e.kind() == io::ErrorKind::TimedOut => {
                    return self.reject(stream, 408, "the request did not come in time").await;
                }
                Err(e) if e.kind() == io::ErrorKind::ConnectionAborted => {
                    // It made room in the middle of its first request, of which the rest may be on its way.
                    self.turn_away(stream);
                    return Ok(End::Wanted);
                }
                Err(e) => return Err(e),
            };
            let (response, usable, cut) = self.answer(number, &message.value, stream, &mut input).await?;
            let stage = self.shared.stage();
            if stage > Stage::GracePeriod && input.is_empty() {
                // A request behind this one was sent before its client could know that the connection ends.
                let _ = read_some(stream, &mut input).or(async { Ok(0) }).await;
            }
            let stays = match stage {
                Stage::Serving | Stage::GracePeriod => true,
                Stage::Draining | Stage::CloseIdle => !input.is_empty(),
                Stage::Closing => !input.is_empty() && last_ones > 0,
            };
            last_ones -= usize::from(stage == Stage::Closing && stays);
            let reader = Reader {
                version: message.value.version(),
                head_only: message.value.method() == Method::HEAD,
                keep_alive: message.keep_alive && stays && !cut,
            };
            write(stream, &encode_response(&self.shared.dated(response), reader)).await?;
            if !reader.keep_alive {
                return Ok(End::Over(LINGER));
            }
            served |= usable;
            if input.is_empty() {
                // An idle connection holds no memory but its own.
                input = Vec::new();
            }
            // A client that sends without end must not keep the one thread from all others.
            yield_now().await;
        }
    }

    /// Waits, idle, for a request to begin.
    async fn first_bytes(
        &self,
        stream: &Async<TcpStream>,
        seat: &Seat,
        input: &mut Vec<u8>,
        served: bool,
    ) -> io::Result<Idle> {
        let spare = seat.spare(if served { Rank::Served } else { Rank::Fresh });
        let silent = Timer::after(match served {
            true => self.seats.idle_time(),
            // Nobody is sent here any more but by fronts that notice late: they speak at once.
            false => match self.shared.stage() {
                Stage::Serving | Stage::GracePeriod | Stage::Draining => SILENCE,
                Stage::CloseIdle => SILENCE_EMPTY,
                // The system had accepted it before the doors closed: its request is on its way.
                Stage::Closing => JUST_COME,
            },
        });
        let read = async {
            let idle = if read_some(stream, input).await? > 0 { Idle::Begun } else { Idle::Gone };
            Ok(idle)
        };
        let end = async {
            let room = async {
                spare.closed().await;
                self.shared.stage() < Stage::CloseIdle
            };
            let silent = async {
                silent.await;
                if served && self.shared.stage() == Stage::GracePeriod {
                    // Its client may have nowhere else to go, and nobody new wants its seat: it is closed with all others.
                    futures_lite::future::pending::<()>().await;
                }
                false
            };
            Ok(if room.or(silent).await { Idle::Room } else { Idle::Over })
        };
        // A request that came beside the closing is taken: reading goes first.
        read.or(end).await
    }

    /// Reads a request that has begun.
    async fn request(
        &self,
        stream: &Async<TcpStream>,
        seat: &Seat,
        decoder: &mut RequestDecoder,
        input: &mut Vec<u8>,
        served: bool,
    ) -> io::Result<Read> {
        let read = with_timeout(MESSAGE_TIME, read_request(stream, decoder, input));
        if served {
            return read.await;
        }
        let spare = seat.spare(Rank::Beginning);
        let evicted = async {
            spare.closed().await;
            Err(io::ErrorKind::ConnectionAborted.into())
        };
        read.or(evicted).await
    }

    /// The answer to a request, whether that could be used, and whether some of what came behind it is thrown away.
    async fn answer(
        &self,
        number: ConnectionId,
        request: &Request<Vec<u8>>,
        stream: &Async<TcpStream>,
        input: &mut Vec<u8>,
    ) -> io::Result<(Response, bool, bool)> {
        let ask = match self.shared.route(request) {
            Routed::Query(ask) => ask,
            Routed::Answered { response, usable } => return Ok((response, usable, false)),
        };
        let ticket = self.shared.inbox.submit(number, ask, 1);
        let reply = async { io::Result::Ok(ticket.reply().await) };
        let mut cut = false;
        let gone = async {
            let mut rest = Vec::new();
            loop {
                // Clients send one request at a time. What one sends ahead is kept so far; what comes behind that is thrown
                // away, since the word that it has gone may be behind all of it.
                let into = if input.len() < AHEAD { &mut *input } else { &mut rest };
                if ticket.receive(read_some(stream, into)).await? == 0 {
                    return Err(io::ErrorKind::UnexpectedEof.into());
                }
                cut |= !rest.is_empty();
                rest.clear();
                yield_now().await;
            }
        };
        let reply = reply.or(gone).await?;
        Ok((encode_reply(&reply), !matches!(reply, Reply::Bad { .. }), cut))
    }

    /// Answers a request whose framing is lost, and ends its connection.
    async fn reject(&self, stream: &Async<TcpStream>, status: u16, why: &str) -> io::Result<End> {
        let response = encode_reply(&Reply::Bad { status, why: why.to_owned() });
        write(stream, &encode_response(&self.shared.dated(response), LAST)).await?;
        Ok(End::Over(LINGER))
    }
}

async fn read_request(
    stream: &Async<TcpStream>,
    decoder: &mut RequestDecoder,
    input: &mut Vec<u8>,
) -> io::Result<Read> {
    let mut told = false;
    loop {
        match decoder.step(input) {
            Err(fault) => return Ok(Read::Bad(fault)),
            Ok(Step::Whole(message)) => return Ok(Read::Whole(Box::new(message))),
            Ok(Step::More(waits)) => {
                if waits && !told {
                    told = true;
                    write(stream, b"HTTP/1.1 100 Continue\r\n\r\n").await?;
                }
                if with_timeout(SILENCE, read_some(stream, input)).await? == 0 {
                    return Err(io::ErrorKind::UnexpectedEof.into());
                }
                yield_now().await;
            }
        }
    }
}

async fn write(mut stream: &Async<TcpStream>, bytes: &[u8]) -> io::Result<()> {
    with_timeout(MESSAGE_TIME, stream.write_all(bytes)).await
}
