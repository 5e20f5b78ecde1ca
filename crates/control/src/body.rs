//! The body of a gRPC response whose messages are pieces that all streams share.
//!
//! The gRPC library would copy each message into a buffer of its stream, which keeps what it was last grown to; here a
//! message of hundreds of kilobytes goes to the socket from the one place where it lies. Form: "gRPC over HTTP2", each
//! message after a byte that says whether it is compressed and four of its length; the status comes in the trailers.

use bytes::{BufMut, Bytes, BytesMut};
use http::HeaderMap;
use http_body::{Body, Frame};
use plover_xds::{Answer, Variant, wire};
use std::collections::VecDeque;
use std::convert::Infallible;
use std::pin::Pin;
use std::sync::Arc;
use std::task::{Context, Poll, ready};
use tokio::sync::mpsc;
use tonic::Status;

/// A response, with what it takes to write it.
pub(crate) struct Out {
    pub(crate) answer: Answer,
    pub(crate) variant: Variant,
    pub(crate) identifier: Arc<str>,
}

/// All responses of a stream, as they come; then its status.
pub(crate) struct Responses {
    queue: mpsc::Receiver<Result<Out, Status>>,
    /// What is left of the message that is being sent.
    pieces: VecDeque<Bytes>,
    ended: bool,
}

impl Responses {
    pub(crate) fn new(queue: mpsc::Receiver<Result<Out, Status>>) -> Self {
        Responses { queue, pieces: VecDeque::new(), ended: false }
    }
}

/// Up to this length a message goes out in one piece: a copy costs less than a frame more. One frame of the usual size
/// (RFC 9113, section 4.2) holds it.
const SHORT: usize = 16 * 1024;

fn message(out: &Out) -> VecDeque<Bytes> {
    let mut pieces: VecDeque<Bytes> = wire::pieces(&out.answer, out.variant, &out.identifier).into();
    let length: usize = pieces.iter().map(Bytes::len).sum();
    // What is copied behind the prefix: all of a short message, the words before the first resource of a long one.
    let copied = if length < SHORT {
        pieces.len()
    } else {
        usize::from(pieces.front().is_some_and(|p| p.len() < SHORT))
    };
    let mut first = BytesMut::with_capacity(5 + pieces.iter().take(copied).map(Bytes::len).sum::<usize>());
    first.put_u8(0);
    // A list that is longer than four gigabytes does not fit any other bound.
    first.put_u32(u32::try_from(length).unwrap_or(u32::MAX));
    pieces.drain(..copied).for_each(|piece| first.put_slice(&piece));
    pieces.push_front(first.freeze());
    pieces
}

fn trailers(status: &Status) -> HeaderMap {
    let mut trailers = HeaderMap::new();
    // A status whose words fit no header still has its code.
    if status.add_header(&mut trailers).is_err() {
        let _ = Status::new(status.code(), "").add_header(&mut trailers);
    }
    trailers
}

impl Body for Responses {
    type Data = Bytes;
    type Error = Infallible;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, Infallible>>> {
        if self.ended {
            return Poll::Ready(None);
        }
        if self.pieces.is_empty() {
            match ready!(self.queue.poll_recv(cx)) {
                Some(Ok(out)) => self.pieces = message(&out),
                end => {
                    self.ended = true;
                    let status = end.and_then(Result::err).unwrap_or_else(|| Status::ok(""));
                    return Poll::Ready(Some(Ok(Frame::trailers(trailers(&status)))));
                }
            }
        }
        Poll::Ready(self.pieces.pop_front().map(|piece| Ok(Frame::data(piece))))
    }
}
