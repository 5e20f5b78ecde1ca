//! The operators' door: one call to a connection, answered by the turn loop.
//!
//! It has seats of its own, so that a full front of clients takes none of them. Where callers hold them without a whole
//! call, the oldest of these goes first.

use super::Shared;
use super::accept::Serve;
use super::http1::LAST;
use super::seats::{Rank, Seat, Seats};
use crate::inbox::Input;
use async_io::Async;
use futures_lite::{AsyncWriteExt, FutureExt};
use http::{Method, Request};
use plover_admission::descriptors::{ADMIN_CONNECTIONS, ADMIN_LINGERING};
use plover_http1::{Limits, Reader, RequestDecoder, Step, encode_response};
use plover_ops::{BadCall, Call, decode};
use plover_query::{Response, plain_text};
use plover_runtime::clock::with_timeout;
use plover_runtime::net::{LINGER, read_some};
use std::io::{self, Write};
use std::net::{Shutdown, TcpStream};
use std::rc::Rc;
use std::time::Duration;

/// A call must be all there within this time.
const CALL_TIME: Duration = Duration::from_secs(5);
/// Operators are owed an answer within a second: past this, they are told that turns stand still.
const TURN_TIME: Duration = Duration::from_millis(900);
/// An answer is taken within this time.
const WRITE_TIME: Duration = Duration::from_secs(2);
/// What a call may take: nothing of it is long.
const LIMITS: Limits = Limits { head: 4 * 1024, body: 4 * 1024 };

/// The front of operators.
pub struct Door {
    shared: Rc<Shared>,
    seats: Rc<Seats>,
}

impl Serve for Door {
    fn seats(&self) -> &Rc<Seats> {
        &self.seats
    }

    async fn serve(self: Rc<Self>, stream: Async<TcpStream>, seat: Seat) {
        match self.call(&stream, &seat).await {
            Ok(()) => seat.over(&stream, LINGER).await,
            Err(e) if e.kind() == io::ErrorKind::TimedOut => seat.part(&stream).await,
            // The caller has gone.
            Err(_) => {}
        }
    }

    fn turn_away(&self, stream: &Async<TcpStream>) {
        let bytes = encode_response(&self.shared.dated(plain_text(503, "", "too many callers")), LAST);
        let _ = stream.get_ref().set_nodelay(true);
        let _ = stream.get_ref().write(&bytes);
        let _ = stream.get_ref().shutdown(Shutdown::Write);
    }
}

impl Door {
    pub(super) fn new(shared: Rc<Shared>) -> Self {
        Door { shared, seats: Seats::with_parting(ADMIN_CONNECTIONS, ADMIN_LINGERING) }
    }

    async fn call(&self, stream: &Async<TcpStream>, seat: &Seat) -> io::Result<()> {
        stream.get_ref().set_nodelay(true)?;
        let mut input = Vec::new();
        let (request, response) = match self.request(stream, seat, &mut input).await? {
            Ok(request) => {
                let response = match decode(&request, input.len()) {
                    Ok(call) => self.answer(call).await,
                    Err(bad) => bad_call(bad),
                };
                (Some(request), response)
            }
            Err(response) => (None, response),
        };
        let head_only = request.is_some_and(|r| r.method() == Method::HEAD);
        let bytes = encode_response(&self.shared.dated(response), Reader { head_only, ..LAST });
        with_timeout(WRITE_TIME, (&*stream).write_all(&bytes)).await
    }

    /// Reads the call; the inner error is the answer to what is none.
    async fn request(
        &self,
        stream: &Async<TcpStream>,
        seat: &Seat,
        input: &mut Vec<u8>,
    ) -> io::Result<Result<Request<Vec<u8>>, Response>> {
        let spare = seat.spare(Rank::Fresh);
        let mut decoder = RequestDecoder::new(LIMITS);
        let read = async {
            loop {
                match decoder.step(input) {
                    Ok(Step::Whole(message)) => return Ok(Ok(message.value)),
                    Ok(Step::More(_)) => {}
                    Err(fault) => return Ok(Err(plain_text(fault.status(), "", fault.why()))),
                }
                if read_some(stream, input).await? == 0 {
                    return Err(io::ErrorKind::UnexpectedEof.into());
                }
            }
        };
        let evicted = async {
            spare.closed().await;
            Err(io::ErrorKind::TimedOut.into())
        };
        match with_timeout(CALL_TIME, read.or(evicted)).await {
            // Its seat is wanted, or its time is over: what the socket takes at once is all that it is told, since a seat
            // that waited for it to go would be held by it still.
            Err(e) if e.kind() == io::ErrorKind::TimedOut => {
                let late = plain_text(408, "", "the call did not come in time");
                let _ = stream.get_ref().write(&encode_response(&self.shared.dated(late), LAST));
                Err(e)
            }
            other => other,
        }
    }

    /// The turn loop's answer: its coming shows that turns go on.
    async fn answer(&self, call: Call) -> Response {
        let (sender, receiver) = async_channel::bounded(1);
        self.shared.inbox.put(Input::Operator(call, sender));
        let answer = async { receiver.recv().await.map_err(io::Error::other) };
        match with_timeout(TURN_TIME, answer).await {
            Ok((status, text)) => plain_text(status, "", &text),
            Err(_) => plain_text(503, "", "no turn in time"),
        }
    }
}

fn bad_call(bad: BadCall) -> Response {
    plain_text(bad.status(), bad.allow(), bad.explanation())
}
