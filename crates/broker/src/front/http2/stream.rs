//! One request: read, handed in, answered.

use crate::front::Shared;
use async_io::Timer;
use bytes::Bytes;
use futures_lite::FutureExt;
use h2::server::SendResponse;
use h2::{Reason, RecvStream, SendStream};
use http::header::{CONTENT_LENGTH, HOST, HeaderValue};
use http::{Method, Request, Response};
use plover_admission::ConnectionId;
use plover_model::query::Reply;
use plover_query::{MAX_BODY_LENGTH, Routed, encode_reply};
use plover_runtime::clock::{duration, with_timeout};
use std::future::poll_fn;
use std::io;
use std::rc::Rc;
use std::time::{Duration, Instant};
use tracing::warn;

/// A request that has begun must be all there, and an answer that is no query's be taken, within this time.
const MESSAGE_TIME: Duration = Duration::from_secs(10);
/// A request whose body does not go on for this long is answered with 408.
const SILENCE: Duration = Duration::from_secs(2);
/// An answer that comes at the last moment has so long to be taken all the same.
const LAST_MOMENT: Duration = Duration::from_millis(250);
/// Most that is handed to the library at once: what a slow reader leaves lies here, once, not there too.
const SLICE: usize = 16 * 1024;

/// How a request ended.
#[derive(Debug, PartialEq, Eq)]
pub(super) enum End {
    /// Answered, with so many bytes of body; true: its client is a usual one, which asks what can be used.
    Answered(usize, bool),
    /// Its client gave it up, or took too long; true: after it had asked what can be used.
    Reset(bool),
}

/// Serves one request to its end.
pub(super) async fn serve(
    shared: Rc<Shared>,
    connection: ConnectionId,
    request: Request<RecvStream>,
    mut respond: SendResponse<Bytes>,
) -> End {
    let begun = Instant::now();
    let (head, mut body) = request.into_parts();
    let head_only = head.method == Method::HEAD;
    let read = with_timeout(MESSAGE_TIME, read_body(&mut body, declared(&head.headers)));
    let (reply, usable, until) = match read.await {
        Ok(Body::Whole(bytes)) => {
            let request = Request::from_parts(head, bytes);
            if let Err(why) = check_authority(&request) {
                (bad(400, why), false, begun + MESSAGE_TIME)
            } else {
                match shared.route(&request) {
                    Routed::Answered { response, usable } => (response, usable, begun + MESSAGE_TIME),
                    Routed::Query(ask) => {
                        let until = begun + duration(ask.client_timeout);
                        // The connection reads when its streams have been looked at: a reset shows with the second look.
                        let ticket = shared.inbox.submit(connection, ask, 2);
                        // The client's reset drops the ticket, and so tells the turn loop in time for its next turn.
                        let reply = async { Some(ticket.reply().await) };
                        let gone = async {
                            let _ = ticket.receive(poll_fn(|cx| respond.poll_reset(cx))).await;
                            None
                        };
                        let Some(reply) = reply.or(gone).await else { return End::Reset(true) };
                        (encode_reply(&reply), !matches!(reply, Reply::Bad { .. }), until)
                    }
                }
            }
        }
        Ok(Body::TooLong) => (bad(413, "the body is too long"), false, begun + MESSAGE_TIME),
        Err(e) if e.kind() == io::ErrorKind::TimedOut => {
            (bad(408, "the request did not come in time"), false, begun + MESSAGE_TIME)
        }
        Err(_) => return End::Reset(false),
    };
    let (mut head, bytes) = shared.dated(reply).into_parts();
    head.headers.insert(CONTENT_LENGTH, HeaderValue::from(bytes.len()));
    let bytes = if head_only { Vec::new() } else { bytes };
    let length = bytes.len();
    let Ok(mut stream) = respond.send_response(Response::from_parts(head, ()), bytes.is_empty()) else {
        return End::Reset(usable);
    };
    // What the client has not sent yet is of no use to anybody (RFC 9113, section 8.1).
    drop(body);
    let until = until.max(Instant::now() + LAST_MOMENT);
    let sent = if bytes.is_empty() { Ok(()) } else { send(&mut stream, bytes, until).await };
    match sent {
        Ok(()) => End::Answered(length, usable),
        Err(Unsent::Late) => {
            warn!(name: "http2_slow_reader", connection, length);
            stream.send_reset(Reason::CANCEL);
            End::Reset(usable)
        }
        Err(Unsent::Gone) => End::Reset(usable),
    }
}

fn bad(status: u16, why: &str) -> plover_query::Response {
    encode_reply(&Reply::Bad { status, why: why.to_owned() })
}

/// The length that a request declares. Whether its DATA keeps to it is checked by the library.
fn declared(headers: &http::HeaderMap) -> Option<u64> {
    headers.get(CONTENT_LENGTH)?.to_str().ok()?.parse().ok()
}

enum Body {
    Whole(Vec<u8>),
    TooLong,
}

/// Reads the body. Its window is given back once it is whole, so that all bodies on their way together stay within
/// the connection's.
async fn read_body(body: &mut RecvStream, declared: Option<u64>) -> io::Result<Body> {
    if declared.is_some_and(|length| length > MAX_BODY_LENGTH as u64) {
        return Ok(Body::TooLong);
    }
    let mut bytes = Vec::new();
    while let Some(data) =
        with_timeout(SILENCE, async { body.data().await.transpose().map_err(io::Error::other) }).await?
    {
        if bytes.len() + data.len() > MAX_BODY_LENGTH {
            return Ok(Body::TooLong);
        }
        bytes.extend_from_slice(&data);
    }
    // Trailers are taken and thrown away, as over HTTP/1.1.
    with_timeout(SILENCE, async { body.trailers().await.map_err(io::Error::other) }).await?;
    let _ = body.flow_control().release_capacity(bytes.len());
    Ok(Body::Whole(bytes))
}

/// `Host` beside `:authority` must name the same (RFC 9113, section 8.3.1).
fn check_authority(request: &Request<Vec<u8>>) -> Result<(), &'static str> {
    let mut hosts = request.headers().get_all(HOST).iter();
    match (hosts.next(), hosts.next(), request.uri().authority()) {
        (_, Some(_), _) => Err("Host is given twice"),
        (Some(host), None, Some(authority))
            if !host.as_bytes().eq_ignore_ascii_case(authority.as_str().as_bytes()) =>
        {
            Err("Host is not the request's authority")
        }
        _ => Ok(()),
    }
}

enum Unsent {
    Late,
    Gone,
}

/// Sends a body as its reader's windows allow, until the time is over.
async fn send(stream: &mut SendStream<Bytes>, bytes: Vec<u8>, until: Instant) -> Result<(), Unsent> {
    let mut rest = Bytes::from(bytes);
    let all = async {
        while !rest.is_empty() {
            stream.reserve_capacity(rest.len().min(SLICE));
            let n = match poll_fn(|cx| stream.poll_capacity(cx)).await {
                Some(Ok(n)) => n.min(rest.len()),
                Some(Err(_)) | None => return Err(Unsent::Gone),
            };
            let slice = rest.split_to(n);
            stream.send_data(slice, rest.is_empty()).map_err(|_| Unsent::Gone)?;
        }
        Ok(())
    };
    let late = async {
        Timer::at(until).await;
        Err(Unsent::Late)
    };
    all.or(late).await
}
