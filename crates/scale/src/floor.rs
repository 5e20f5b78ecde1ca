//! The floor: a bare sender and reader of the same bytes over the same count of connections, on one thread.
//!
//! It decides nothing, keeps nothing and has no clients: each query is a frame to each connection and an answer from each.
//! What it costs is what the system asks for the bytes alone; a broker can come near to it and never below.

use hdrhistogram::Histogram;
use mio::net::TcpStream;
use mio::{Events, Interest, Poll, Token};
use plover_frames::{PartLine, call};
use plover_load::Ask;
use serde::{Deserialize, Serialize};
use std::io::{self, Read, Write};
use std::net::SocketAddr;
use std::time::{Duration, Instant};

/// No query takes longer.
const LONGEST: Duration = Duration::from_secs(10);

/// A task of the process that plays the floor.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Task {
    /// Connects to these servers, in place of those before; the answer has no queries.
    Connect(Vec<SocketAddr>),
    /// Plays queries: one part to each connection.
    Play {
        /// How long.
        millis: u64,
        /// Queries a second, evenly; `None`: the next when the last is answered.
        rate: Option<f64>,
    },
}

/// What came of it.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Done {
    /// Queries.
    pub queries: u64,
    /// Latency of half of them, in microseconds.
    pub p50_us: u64,
    /// Latency of 99 in 100.
    pub p99_us: u64,
    /// Writes.
    pub writes: u64,
    /// Reads that brought something.
    pub reads: u64,
    /// Times that it waited.
    pub waits: u64,
    /// Bytes that went.
    pub bytes_out: u64,
    /// Bytes that came.
    pub bytes_in: u64,
}

/// Connections, and one thread that writes and reads.
pub struct Floor {
    poll: Poll,
    streams: Vec<TcpStream>,
    /// Of each connection's present answer: how much is there, and the first bytes.
    heads: Vec<(usize, [u8; 4])>,
    chunk: Vec<u8>,
    number: u64,
    /// The text that parts carry.
    text: String,
}

/// Serves as the process that plays the floor.
pub fn serve() -> io::Result<()> {
    let mut floor = Floor::new()?;
    crate::process::answer_lines(|task| match task {
        Task::Connect(addresses) => floor.connect(&addresses).map(|()| Done::default()),
        Task::Play { millis, rate } => floor.play(Duration::from_millis(millis), rate),
    })
}

impl Floor {
    /// One without connections.
    pub fn new() -> io::Result<Floor> {
        Ok(Floor {
            poll: Poll::new()?,
            streams: Vec::new(),
            heads: Vec::new(),
            chunk: vec![0; 64 * 1024],
            number: 0,
            text: Ask::new("", "", &[]).text,
        })
    }

    /// Connects to these servers, in place of those before.
    pub fn connect(&mut self, addresses: &[SocketAddr]) -> io::Result<()> {
        self.poll = Poll::new()?;
        self.streams.clear();
        for (n, address) in addresses.iter().enumerate() {
            let stream = std::net::TcpStream::connect(address)?;
            stream.set_nodelay(true)?;
            stream.set_nonblocking(true)?;
            let mut stream = TcpStream::from_std(stream);
            self.poll.registry().register(&mut stream, Token(n), Interest::READABLE)?;
            self.streams.push(stream);
        }
        self.heads = vec![(0, [0; 4]); addresses.len()];
        Ok(())
    }

    /// Plays queries for so long.
    pub fn play(&mut self, time: Duration, rate: Option<f64>) -> io::Result<Done> {
        let mut latency: Histogram<u64> =
            Histogram::new_with_bounds(1, 60_000_000, 3).map_err(io::Error::other)?;
        let mut done = Done::default();
        let mut events = Events::with_capacity(4096);
        let (begun, mut due) = (Instant::now(), Instant::now());
        while begun.elapsed() < time {
            if let Some(rate) = rate {
                due += Duration::from_secs_f64(1.0 / rate);
                std::thread::sleep(due.saturating_duration_since(Instant::now()));
            }
            let from = Instant::now();
            self.query(&mut events, &mut done)?;
            latency.saturating_record(from.elapsed().as_micros() as u64);
            done.queries += 1;
        }
        (done.p50_us, done.p99_us) = (latency.value_at_quantile(0.5), latency.value_at_quantile(0.99));
        Ok(done)
    }

    fn query(&mut self, events: &mut Events, done: &mut Done) -> io::Result<()> {
        self.number += 1;
        for (shard, stream) in self.streams.iter_mut().enumerate() {
            let id = format!("{:016x}.{shard}", self.number);
            let bytes = call([PartLine { id: &id, shard, wait_ms: 4000, key: None, text: &self.text }]);
            // One short frame to an empty connection: the system takes it whole.
            if stream.write(&bytes)? < bytes.len() {
                return Err(io::Error::other("the system took part of a frame"));
            }
            done.writes += 1;
            done.bytes_out += bytes.len() as u64;
        }
        let (mut open, until) = (self.streams.len(), Instant::now() + LONGEST);
        while open > 0 {
            self.poll.poll(events, Some(until.saturating_duration_since(Instant::now())))?;
            done.waits += 1;
            if events.is_empty() && Instant::now() >= until {
                return Err(io::ErrorKind::TimedOut.into());
            }
            for event in events.iter() {
                let Token(n) = event.token();
                let got = match self.streams[n].read(&mut self.chunk) {
                    Ok(0) => return Err(io::ErrorKind::UnexpectedEof.into()),
                    Ok(got) => got,
                    Err(e) if e.kind() == io::ErrorKind::WouldBlock => continue,
                    Err(e) => return Err(e),
                };
                done.reads += 1;
                done.bytes_in += got as u64;
                let (have, head) = &mut self.heads[n];
                for (place, byte) in (*have..4).zip(&self.chunk[..got]) {
                    head[place] = *byte;
                }
                *have += got;
                if *have >= 4 && *have >= 4 + u32::from_be_bytes(*head) as usize {
                    *have = 0;
                    open -= 1;
                }
            }
        }
        Ok(())
    }
}
