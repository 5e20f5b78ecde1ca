//! The heads of frames (RFC 9113, section 4.1), as their bytes pass.

use crate::Violation;
use std::fmt;

/// What a client's connection begins with (RFC 9113, section 3.4).
pub const PREFACE: &[u8; 24] = b"PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n";
const HEAD: usize = 9;

/// Kind of a frame (RFC 9113, section 6).
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[allow(missing_docs)]
pub enum Kind {
    Data,
    Headers,
    Priority,
    Reset,
    Settings,
    Ping,
    GoAway,
    WindowUpdate,
    Continuation,
    /// A kind that is not known, to be ignored (section 5.5), or PUSH_PROMISE, which no client may send.
    Other,
}

impl fmt::Display for Kind {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Kind::Data => "empty DATA",
            Kind::Headers => "HEADERS",
            Kind::Priority => "PRIORITY",
            Kind::Reset => "RST_STREAM",
            Kind::Settings => "SETTINGS",
            Kind::Ping => "PING",
            Kind::GoAway => "GOAWAY",
            Kind::WindowUpdate => "WINDOW_UPDATE",
            Kind::Continuation => "CONTINUATION",
            Kind::Other => "unknown frames",
        })
    }
}

/// The head of a frame.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct Frame {
    pub(crate) kind: Kind,
    /// Length of the rest, in bytes.
    pub(crate) length: u32,
    flags: u8,
}

impl Frame {
    fn decode(head: &[u8; HEAD]) -> Self {
        let kind = match head[3] {
            0 => Kind::Data,
            1 => Kind::Headers,
            2 => Kind::Priority,
            3 => Kind::Reset,
            4 => Kind::Settings,
            6 => Kind::Ping,
            7 => Kind::GoAway,
            8 => Kind::WindowUpdate,
            9 => Kind::Continuation,
            _ => Kind::Other,
        };
        Frame { kind, length: u32::from_be_bytes([0, head[0], head[1], head[2]]), flags: head[4] }
    }

    pub(crate) fn ends_stream(&self) -> bool {
        self.flags & 0x1 != 0
    }

    pub(crate) fn ends_headers(&self) -> bool {
        self.flags & 0x4 != 0
    }

    pub(crate) fn is_ack(&self) -> bool {
        self.flags & 0x1 != 0
    }
}

/// Where in the stream of bytes a connection stands.
#[derive(Debug)]
pub(crate) enum Scanner {
    /// So many bytes of the preface have come.
    Preface(usize),
    /// So many bytes of a frame's head have come.
    Head([u8; HEAD], usize),
    /// So many bytes of a frame's rest are to come.
    Rest(u32),
}

impl Default for Scanner {
    fn default() -> Self {
        Scanner::Preface(0)
    }
}

impl Scanner {
    /// Passes over some bytes, one at least: how many, and the frame whose head ended there.
    pub(crate) fn scan(&mut self, bytes: &[u8]) -> Result<(usize, Option<Frame>), Violation> {
        match self {
            Scanner::Preface(seen) => {
                let n = bytes.len().min(PREFACE.len() - *seen);
                if bytes[..n] != PREFACE[*seen..*seen + n] {
                    return Err(Self::other_protocol(*seen, bytes));
                }
                *seen += n;
                if *seen == PREFACE.len() {
                    *self = Scanner::Head([0; HEAD], 0);
                }
                Ok((n, None))
            }
            Scanner::Head(head, seen) => {
                let n = bytes.len().min(HEAD - *seen);
                head[*seen..*seen + n].copy_from_slice(&bytes[..n]);
                *seen += n;
                if *seen < HEAD {
                    return Ok((n, None));
                }
                let frame = Frame::decode(head);
                *self =
                    if frame.length > 0 { Scanner::Rest(frame.length) } else { Scanner::Head([0; HEAD], 0) };
                Ok((n, Some(frame)))
            }
            Scanner::Rest(left) => {
                let n = bytes.len().min(*left as usize);
                *left -= n as u32;
                if *left == 0 {
                    *self = Scanner::Head([0; HEAD], 0);
                }
                Ok((n, None))
            }
        }
    }

    /// What came in place of the preface: a method in capitals and a blank are a request of HTTP/1.
    fn other_protocol(seen: usize, bytes: &[u8]) -> Violation {
        let begun = PREFACE[..seen].iter().chain(bytes.iter().take(64));
        let mut word = begun.take_while(|b| **b != b' ');
        let method = word.all(|b| b.is_ascii_uppercase() || *b == b'-' || *b == b'_');
        if method && (seen > 0 || bytes.first().is_some_and(u8::is_ascii_uppercase)) {
            Violation::Http1
        } else {
            Violation::NotHttp2
        }
    }

    pub(crate) fn is_between_frames(&self) -> bool {
        matches!(self, Scanner::Head(_, 0))
    }
}
