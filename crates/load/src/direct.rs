//! A connection to a data server, as a broker has it.

use crate::ask::{Answer, Ask};
use async_io::Async;
use futures_lite::{AsyncReadExt, AsyncWriteExt};
use plover_frames::{FromServer, PartLine, call, decode};
use std::io;
use std::net::{SocketAddr, TcpStream};

/// A connection.
pub(crate) struct Direct {
    stream: Async<TcpStream>,
    input: Vec<u8>,
}

impl Direct {
    pub(crate) async fn connect(to: SocketAddr) -> io::Result<Self> {
        let stream = Async::<TcpStream>::connect(to).await?;
        stream.get_ref().set_nodelay(true)?;
        Ok(Direct { stream, input: Vec::new() })
    }

    /// Sends all parts in one call and waits for their answers.
    pub(crate) async fn ask(&mut self, ask: &Ask) -> io::Result<Answer> {
        let ids: Vec<String> = ask.shards.iter().map(|s| format!("{}.{s}", ask.id)).collect();
        let wait_ms = ask.patience.as_millis() as u64;
        let parts = ids.iter().zip(&ask.shards);
        let bytes = call(parts.map(|(id, shard)| PartLine {
            id,
            shard: *shard,
            wait_ms,
            key: None,
            text: &ask.text,
        }));
        self.stream.write_all(&bytes).await?;
        let (mut values, mut chunk) = (Vec::new(), [0; 4096]);
        while values.len() < ids.len() {
            match decode(&self.input).map_err(|bad| io::Error::other(bad.0))? {
                Some((FromServer::Answer { value, .. }, length)) => {
                    self.input.drain(..length);
                    values.push((values.len(), value));
                }
                Some((FromServer::Rejected(words), _)) => return Err(io::Error::other(words)),
                None => match self.stream.read(&mut chunk).await? {
                    0 => return Err(io::ErrorKind::UnexpectedEof.into()),
                    n => self.input.extend_from_slice(&chunk[..n]),
                },
            }
        }
        Ok(Answer::Served(true, values))
    }
}
