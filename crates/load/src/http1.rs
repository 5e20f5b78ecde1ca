//! An HTTP/1.1 connection of a client: one request at a time.

use async_io::Async;
use futures_lite::{AsyncReadExt, AsyncWriteExt};
use http::{Request, Response};
use plover_http1::{Limits, ResponseDecoder, Step};
use std::fmt::Write;
use std::io;
use std::net::{SocketAddr, TcpStream};

const LIMITS: Limits = Limits { head: 16 * 1024, body: 1 << 20 };

/// What has come on a connection while nothing was asked.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Idle {
    /// Nothing.
    Quiet,
    /// Its end.
    Ended,
    /// Bytes that answer nothing.
    Surplus,
}

/// A connection.
pub struct Http1 {
    /// Where it goes to: one that was reset no longer tells.
    to: SocketAddr,
    stream: Async<TcpStream>,
    decoder: ResponseDecoder,
    input: Vec<u8>,
    chunk: Vec<u8>,
    begun: bool,
}

impl Http1 {
    /// Connects.
    pub async fn connect(to: SocketAddr) -> io::Result<Self> {
        let stream = Async::<TcpStream>::connect(to).await?;
        stream.get_ref().set_nodelay(true)?;
        Ok(Http1 {
            to,
            stream,
            decoder: ResponseDecoder::new(LIMITS),
            input: Vec::new(),
            chunk: vec![0; 16 * 1024],
            begun: false,
        })
    }

    /// The port of this side.
    pub fn port(&self) -> io::Result<u16> {
        Ok(self.stream.get_ref().local_addr()?.port())
    }

    /// What has come while nothing is asked: nothing, the end, or bytes that answer nothing.
    pub fn idle(&mut self) -> Idle {
        if !self.input.is_empty() {
            return Idle::Surplus;
        }
        match io::Read::read(&mut self.stream.get_ref(), &mut self.chunk) {
            Ok(0) => Idle::Ended,
            Ok(_) => Idle::Surplus,
            Err(e) if e.kind() == io::ErrorKind::WouldBlock => Idle::Quiet,
            Err(_) => Idle::Ended,
        }
    }

    /// Whether some of the answer to what was sent last has come.
    pub fn has_begun(&self) -> bool {
        self.begun
    }

    /// The same; where the broker closed an idle connection as the request was on its way, it is sent once more on a
    /// new one (RFC 9112, section 9.3.1: nothing came back, and the broker had not read it).
    pub async fn send_or_reconnect(&mut self, request: &Request<Vec<u8>>) -> io::Result<Response<Vec<u8>>> {
        match self.send(request).await {
            Err(_) if self.input.is_empty() => {
                *self = Http1::connect(self.to).await?;
                self.send(request).await
            }
            answer => answer,
        }
    }

    /// Sends the head of a request; its body never comes.
    pub async fn send_half(&mut self, request: &Request<Vec<u8>>) -> io::Result<()> {
        self.stream.write_all(&head(request)).await
    }

    /// Sends a request and waits for its response.
    pub async fn send(&mut self, request: &Request<Vec<u8>>) -> io::Result<Response<Vec<u8>>> {
        let bytes = [&head(request)[..], request.body()].concat();
        self.begun = false;
        self.stream.write_all(&bytes).await?;
        loop {
            match self.decoder.step(&mut self.input).map_err(io::Error::other)? {
                Step::Whole(message) => return Ok(message.value),
                Step::More(_) => match self.stream.read(&mut self.chunk).await? {
                    0 => return Err(io::ErrorKind::UnexpectedEof.into()),
                    n => {
                        self.begun = true;
                        self.input.extend_from_slice(&self.chunk[..n]);
                    }
                },
            }
        }
    }
}

fn head(request: &Request<Vec<u8>>) -> Vec<u8> {
    let target = request.uri().path_and_query().map_or("/", |p| p.as_str());
    let host = request.uri().authority().map_or("", |a| a.as_str());
    let mut head = format!("{} {target} HTTP/1.1\r\nHost: {host}\r\n", request.method());
    for (name, value) in request.headers() {
        let _ = write!(head, "{name}: {}\r\n", value.to_str().unwrap_or_default());
    }
    head.push_str("\r\n");
    head.into_bytes()
}
