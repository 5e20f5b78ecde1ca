//! An HTTP/2 connection of a client, by prior knowledge: many requests at once.

use crate::ask::{Answer, Ask};
use async_executor::{LocalExecutor, Task};
use async_io::Async;
use bytes::Bytes;
use h2::client::{Builder, ResponseFuture, SendRequest};
use h2::{Reason, SendStream};
use http::{Request, Response};
use std::future::poll_fn;
use std::io;
use std::net::{SocketAddr, TcpStream};
use tokio_util::compat::FuturesAsyncReadCompatExt;

/// A connection; dropped, it ends.
pub struct Http2 {
    sender: SendRequest<Bytes>,
    _driver: Task<()>,
}

/// A request on its way.
pub struct Stream {
    response: ResponseFuture,
    body: SendStream<Bytes>,
}

impl Http2 {
    /// Connects, with windows of the usual size.
    pub async fn connect(to: SocketAddr, executor: &LocalExecutor<'static>) -> io::Result<Self> {
        Self::connect_with(to, executor, &Builder::new()).await
    }

    /// Connects with settings of its own.
    pub async fn connect_with(
        to: SocketAddr,
        executor: &LocalExecutor<'static>,
        builder: &Builder,
    ) -> io::Result<Self> {
        let stream = Async::<TcpStream>::connect(to).await?;
        stream.get_ref().set_nodelay(true)?;
        let (sender, connection) = builder.handshake(stream.compat()).await.map_err(io::Error::other)?;
        let driver = executor.spawn(async move { _ = connection.await });
        Ok(Http2 { sender, _driver: driver })
    }

    /// Opens a stream with a whole request, once the other side allows one more.
    pub async fn open(&self, request: &Request<Vec<u8>>) -> Result<Stream, h2::Error> {
        let mut sender = self.sender.clone().ready().await?;
        let (head, body) = request.clone().into_parts();
        let (response, mut stream) = sender.send_request(Request::from_parts(head, ()), body.is_empty())?;
        if !body.is_empty() {
            stream.send_data(Bytes::from(body), true)?;
        }
        Ok(Stream { response, body: stream })
    }

    /// Opens a stream with the head of a request; its body never comes.
    pub async fn open_half(&self, request: &Request<Vec<u8>>) -> Result<Stream, h2::Error> {
        let mut sender = self.sender.clone().ready().await?;
        let (head, _) = request.clone().into_parts();
        let (response, body) = sender.send_request(Request::from_parts(head, ()), false)?;
        Ok(Stream { response, body })
    }

    /// Sends a request and waits for its response.
    pub async fn send(&self, request: &Request<Vec<u8>>) -> Result<Response<Vec<u8>>, h2::Error> {
        self.open(request).await?.response().await
    }

    /// Asks, and says how that was answered.
    pub async fn ask(&self, ask: &Ask) -> Answer {
        match self.send(&ask.request()).await {
            Ok(response) => Answer::of(&response),
            Err(error) => Answer::Reset(error.to_string()),
        }
    }
}

impl Stream {
    /// Waits for the response.
    pub async fn response(self) -> Result<Response<Vec<u8>>, h2::Error> {
        let (head, mut body) = self.response.await?.into_parts();
        let mut bytes = Vec::new();
        while let Some(data) = body.data().await {
            let data = data?;
            bytes.extend_from_slice(&data);
            let _ = body.flow_control().release_capacity(data.len());
        }
        Ok(Response::from_parts(head, bytes))
    }

    /// Waits for the head of the response and leaves its body unread.
    pub async fn head(&mut self) -> Result<Response<h2::RecvStream>, h2::Error> {
        (&mut self.response).await
    }

    /// Gives the request up.
    pub fn reset(mut self) {
        self.body.send_reset(Reason::CANCEL);
    }

    /// Waits until the other side gives it up, and says why.
    pub async fn is_reset(&mut self) -> Result<Reason, h2::Error> {
        poll_fn(|cx| self.body.poll_reset(cx)).await
    }
}
