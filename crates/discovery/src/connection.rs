//! One connection to discovery, and what is under way on all of them.

use async_io::Async;
use futures_lite::AsyncWriteExt;
use futures_lite::future::poll_once;
use http::Response;
use plover_http1::{Limits, Message, ResponseDecoder, Step};
use plover_model::time::MILLI;
use plover_runtime::net::read_some;
use plover_watch::{Call, ConnectionId};
use std::future::poll_fn;
use std::io;
use std::net::{SocketAddr, TcpStream};
use std::pin::Pin;
use std::task::Poll;

/// The longest answer: a list of many thousand servers. It is a bound for memory, and no judgement on lists: one that is
/// turned down leaves drains unknown.
const LIMITS: Limits = Limits { head: 16 * 1024, body: 4 << 20 };

/// An answer of discovery.
pub(crate) type Answer = Message<Response<Vec<u8>>>;

/// A connection, between two answers.
pub(crate) struct Connection {
    stream: Async<TcpStream>,
    decoder: ResponseDecoder,
    input: Vec<u8>,
    discovery: SocketAddr,
}

impl Connection {
    async fn connect(discovery: SocketAddr) -> io::Result<Connection> {
        let stream = Async::<TcpStream>::connect(discovery).await?;
        stream.get_ref().set_nodelay(true)?;
        Ok(Connection { stream, decoder: ResponseDecoder::to_end(LIMITS), input: Vec::new(), discovery })
    }

    /// Sends a call and takes its answer. What has come before the call is no answer to it.
    async fn exchange(&mut self, call: Call) -> io::Result<Answer> {
        match poll_once(read_some(&self.stream, &mut self.input)).await {
            None => {}
            Some(Ok(0)) => return Err(io::ErrorKind::UnexpectedEof.into()),
            Some(Ok(_)) => return Err(io::Error::other("more came than was asked for")),
            Some(Err(error)) => return Err(error),
        }
        let query =
            call.index.map(|rev| format!("?index={rev}&wait={}", call.wait / MILLI)).unwrap_or_default();
        let host = self.discovery;
        let text = format!("GET /api/targets{query} HTTP/1.1\r\nHost: {host}\r\n\r\n");
        (&self.stream).write_all(text.as_bytes()).await?;
        loop {
            if let Step::Whole(message) = self.decoder.step(&mut self.input).map_err(io::Error::other)? {
                if !self.input.is_empty() {
                    // What nobody asked for would pass for the next answer.
                    return Err(io::Error::other("more than one answer to a call"));
                }
                return Ok(message);
            }
            if read_some(&self.stream, &mut self.input).await? == 0 {
                // A list that was cut off is none, and shows it: one without a length ends with its connection.
                return self.decoder.ended().ok_or(io::ErrorKind::UnexpectedEof.into());
            }
        }
    }
}

/// How a step on a connection ended.
pub(crate) enum Outcome {
    /// The connection is there.
    Connected(Connection),
    /// A call was answered.
    Answered(Connection, Answer),
    /// The connection did not come up, or broke.
    Broken(io::Error),
}

struct RunningStep {
    id: ConnectionId,
    work: Pin<Box<dyn Future<Output = Outcome>>>,
}

/// What is under way, one step a connection. How long a step may take is not decided here: it ends where it is dropped.
#[derive(Default)]
pub(crate) struct Steps {
    steps: Vec<RunningStep>,
}

impl Steps {
    pub(crate) fn connect(&mut self, id: ConnectionId, discovery: SocketAddr) {
        let work = async move {
            match Connection::connect(discovery).await {
                Ok(connection) => Outcome::Connected(connection),
                Err(error) => Outcome::Broken(error),
            }
        };
        self.steps.push(RunningStep { id, work: Box::pin(work) });
    }

    pub(crate) fn call(&mut self, id: ConnectionId, mut connection: Connection, call: Call) {
        let work = async move {
            match connection.exchange(call).await {
                Ok(answer) => Outcome::Answered(connection, answer),
                Err(error) => Outcome::Broken(error),
            }
        };
        self.steps.push(RunningStep { id, work: Box::pin(work) });
    }

    /// Drops what belongs to other connections, which closes them.
    pub(crate) fn retain(&mut self, held: impl Fn(ConnectionId) -> bool) {
        self.steps.retain(|step| held(step.id));
    }

    /// The next step that ends. Never, if none is under way.
    pub(crate) async fn next(&mut self) -> (ConnectionId, Outcome) {
        poll_fn(|context| {
            for at in 0..self.steps.len() {
                if let Poll::Ready(outcome) = self.steps[at].work.as_mut().poll(context) {
                    return Poll::Ready((self.steps.remove(at).id, outcome));
                }
            }
            Poll::Pending
        })
        .await
    }
}
