//! Watches what a client sends on an HTTP/2 connection, without I/O or clock.
//!
//! An HTTP/2 library keeps the protocol's own limits (streams, windows, header lists). It does not know what is worth
//! serving: frames that cost work and carry none (PING, SETTINGS, PRIORITY, empty DATA, tiny window updates, resets of
//! requests that were just opened, CONTINUATION without end) are legal in any number (RFC 9113, section 10.5). The
//! [`Guard`] sees each frame's head as the bytes pass, and charges such frames to a token bucket that refills with
//! time and with every request that was answered: a client that asks and listens never empties it.
//!
//! It also knows since when a frame or a header block stands half-sent, and whether what came was HTTP/2 at all.

mod frames;

pub use frames::{Kind, PREFACE};

use frames::{Frame, Scanner};
use plover_limits::TokenBucket;
use plover_model::time::Micros;
use std::fmt;

/// What a connection may spend on frames that carry nothing.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Budget {
    /// Tokens that a connection begins with, and can hold at the most.
    pub burst: u32,
    /// Tokens that come back a second.
    pub per_second: u32,
    /// Tokens that each answered request brings.
    pub per_answer: u32,
    /// Longest header block, in bytes of its frames.
    pub header_block: u32,
}

impl Budget {
    /// For connections with so many streams and so long a header list: a client may give up all its requests at once,
    /// twice, before it counts as a flood.
    pub fn new(streams: u32, header_list: u32) -> Self {
        Budget { burst: 2 * streams + 200, per_second: 100, per_answer: 4, header_block: 2 * header_list }
    }
}

/// Why a connection is to end.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Violation {
    /// It began with a request of HTTP/1.
    Http1,
    /// It began with something else than the preface (RFC 9113, section 3.4).
    NotHttp2,
    /// The first frame after the preface is not SETTINGS.
    NoSettings,
    /// More frames of this kind than its work is worth.
    Flood(Kind),
    /// A header block goes on without end.
    HeaderBlock,
}

impl fmt::Display for Violation {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Violation::Http1 => f.write_str("it speaks HTTP/1"),
            Violation::NotHttp2 => f.write_str("it does not begin with the preface"),
            Violation::NoSettings => f.write_str("its first frame is not SETTINGS"),
            Violation::Flood(kind) => write!(f, "a flood of {kind}"),
            Violation::HeaderBlock => f.write_str("a header block without end"),
        }
    }
}

impl std::error::Error for Violation {}

/// Watches one connection.
#[derive(Debug)]
pub struct Guard {
    budget: Budget,
    bucket: TokenBucket,
    scanner: Scanner,
    begun: Option<Micros>,
    settled: bool,
    header_block: u32,
}

impl Guard {
    /// A guard at the beginning of a connection.
    pub fn new(now: Micros, budget: Budget) -> Self {
        Guard {
            budget,
            bucket: TokenBucket::new(now, budget.burst, budget.per_second),
            scanner: Scanner::default(),
            begun: Some(now),
            settled: false,
            header_block: 0,
        }
    }

    /// Takes the bytes that came next.
    pub fn feed(&mut self, now: Micros, mut bytes: &[u8]) -> Result<(), Violation> {
        while !bytes.is_empty() {
            let (used, frame) = self.scanner.scan(bytes)?;
            bytes = &bytes[used..];
            if let Some(frame) = frame {
                self.frame(now, frame)?;
            }
        }
        let whole = self.scanner.is_between_frames() && self.header_block == 0 && self.settled;
        self.begun = if whole { None } else { Some(self.begun.unwrap_or(now)) };
        Ok(())
    }

    fn frame(&mut self, now: Micros, frame: Frame) -> Result<(), Violation> {
        if !std::mem::replace(&mut self.settled, true) && frame.kind != Kind::Settings {
            return Err(Violation::NoSettings);
        }
        let tokens = match frame.kind {
            Kind::Headers | Kind::Continuation => {
                self.header_block = self.header_block.saturating_add(frame.length);
                if self.header_block > self.budget.header_block {
                    return Err(Violation::HeaderBlock);
                }
                if frame.ends_headers() {
                    self.header_block = 0;
                }
                // One fragment of a block is its request; each further one is work that a longer frame would save.
                u32::from(frame.kind == Kind::Continuation)
            }
            Kind::Data => u32::from(frame.length == 0 && !frame.ends_stream()),
            // An acknowledgement answers what we sent ourselves.
            Kind::Settings | Kind::Ping => u32::from(!frame.is_ack()),
            Kind::WindowUpdate | Kind::Reset | Kind::Priority | Kind::GoAway | Kind::Other => 1,
        };
        if self.bucket.try_take(now, tokens) { Ok(()) } else { Err(Violation::Flood(frame.kind)) }
    }

    /// A request was answered with a body of so many bytes, which its reader owes some window updates for.
    pub fn answered(&mut self, body: usize) {
        let updates = u32::try_from(body / 1024).unwrap_or(u32::MAX);
        self.bucket.add(self.budget.per_answer.saturating_add(updates));
    }

    /// Since when the preface, a frame or a header block is half-sent.
    pub fn half_since(&self) -> Option<Micros> {
        self.begun
    }
}
