//! An HTTP/1.1 connection of a client: one request at a time.

use async_io::Async;
use futures_lite::{AsyncReadExt, AsyncWriteExt};
use http::{Request, Response};
use plover_http1::{Limits, ResponseDecoder, Step};
use std::fmt::Write;
use std::io;
use std::net::{SocketAddr, TcpStream};

const LIMITS: Limits = Limits { head: 16 * 1024, body: 1 << 20 };

/// A connection.
pub struct Http1 {
    stream: Async<TcpStream>,
    decoder: ResponseDecoder,
    input: Vec<u8>,
    chunk: Vec<u8>,
}

impl Http1 {
    /// Connects.
    pub async fn connect(to: SocketAddr) -> io::Result<Self> {
        let stream = Async::<TcpStream>::connect(to).await?;
        stream.get_ref().set_nodelay(true)?;
        Ok(Http1 {
            stream,
            decoder: ResponseDecoder::new(LIMITS),
            input: Vec::new(),
            chunk: vec![0; 16 * 1024],
        })
    }

    /// Sends a request and waits for its response.
    pub async fn send(&mut self, request: &Request<Vec<u8>>) -> io::Result<Response<Vec<u8>>> {
        let target = request.uri().path_and_query().map_or("/", |p| p.as_str());
        let host = request.uri().authority().map_or("", |a| a.as_str());
        let mut head = format!("{} {target} HTTP/1.1\r\nHost: {host}\r\n", request.method());
        for (name, value) in request.headers() {
            let _ = write!(head, "{name}: {}\r\n", value.to_str().unwrap_or_default());
        }
        let bytes = [head.as_bytes(), b"\r\n", request.body()].concat();
        self.stream.write_all(&bytes).await?;
        loop {
            match self.decoder.step(&mut self.input).map_err(io::Error::other)? {
                Step::Whole(message) => return Ok(message.value),
                Step::More(_) => match self.stream.read(&mut self.chunk).await? {
                    0 => return Err(io::ErrorKind::UnexpectedEof.into()),
                    n => self.input.extend_from_slice(&self.chunk[..n]),
                },
            }
        }
    }
}
