//! A client of HTTP/2 that writes frames by hand, as no library would (RFC 9113, section 4.1).
//!
//! It is for rigs: what it waits for in vain ends them with a panic that says what came instead.

use std::io::{ErrorKind, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::{Duration, Instant};

/// What a client's connection begins with.
pub const PREFACE: &[u8] = b"PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n";
/// Kind of a frame.
pub const DATA: u8 = 0;
/// Kind of a frame.
pub const HEADERS: u8 = 1;
/// Kind of a frame.
pub const RST_STREAM: u8 = 3;
/// Kind of a frame.
pub const SETTINGS: u8 = 4;
/// Kind of a frame.
pub const PING: u8 = 6;
/// Kind of a frame.
pub const GOAWAY: u8 = 7;
/// Kind of a frame.
pub const WINDOW_UPDATE: u8 = 8;
/// Kind of a frame.
pub const CONTINUATION: u8 = 9;
/// Flag of DATA and HEADERS.
pub const END_STREAM: u8 = 1;
/// Flag of HEADERS and CONTINUATION.
pub const END_HEADERS: u8 = 4;

/// A frame that came.
#[derive(Clone, Debug, PartialEq)]
pub struct Frame {
    /// Its kind.
    pub kind: u8,
    /// Its flags.
    pub flags: u8,
    /// Its stream.
    pub stream: u32,
    /// What it carries.
    pub rest: Vec<u8>,
}

impl Frame {
    /// The error code of RST_STREAM or GOAWAY.
    pub fn code(&self) -> u32 {
        let at = if self.kind == GOAWAY { 4 } else { 0 };
        u32::from_be_bytes(self.rest[at..at + 4].try_into().unwrap())
    }
    /// The last stream that GOAWAY names.
    pub fn last(&self) -> u32 {
        u32::from_be_bytes(self.rest[..4].try_into().unwrap())
    }
}

/// A frame.
pub fn frame(kind: u8, flags: u8, stream: u32, rest: &[u8]) -> Vec<u8> {
    let mut bytes = (rest.len() as u32).to_be_bytes()[1..].to_vec();
    bytes.extend([kind, flags]);
    bytes.extend(stream.to_be_bytes());
    bytes.extend(rest);
    bytes
}

/// Fields as HPACK literals without indexing (RFC 7541, section 6.2.2), none longer than 126 bytes a word.
pub fn fields(pairs: &[(&str, &str)]) -> Vec<u8> {
    let mut block = Vec::new();
    for (name, value) in pairs {
        block.push(0);
        for word in [name, value] {
            assert!(word.len() < 127);
            block.push(word.len() as u8);
            block.extend(word.as_bytes());
        }
    }
    block
}

/// The usual fields of a query, with some replaced or left out (an empty value) and some added behind.
pub fn query_fields(id: &str, changes: &[(&str, &str)]) -> Vec<u8> {
    let usual = [
        (":method", "POST"),
        (":scheme", "http"),
        (":path", "/lookup"),
        (":authority", "broker.svc"),
        ("x-request-id", id),
        ("x-tenant", "public-site"),
    ];
    let changed = |name: &str| changes.iter().find(|(n, _)| *n == name).map(|(_, v)| *v);
    let mut pairs: Vec<(&str, &str)> = usual.iter().map(|(n, v)| (*n, changed(n).unwrap_or(v))).collect();
    pairs.retain(|(_, v)| !v.is_empty());
    pairs.extend(changes.iter().filter(|(n, v)| !v.is_empty() && !usual.iter().any(|(u, _)| u == n)));
    fields(&pairs)
}

/// The body of a query for shard 0.
pub const BODY: &[u8] = br#"{"ranges":[{"range":0,"portion":1}],"predicate":"c41e77d0"}"#;

/// A query on a stream, whole.
pub fn query(stream: u32, id: &str) -> Vec<u8> {
    [frame(HEADERS, END_HEADERS, stream, &query_fields(id, &[])), frame(DATA, END_STREAM, stream, BODY)]
        .concat()
}

/// A connection whose frames are written by hand.
pub struct Raw {
    stream: TcpStream,
    input: Vec<u8>,
}

impl Raw {
    /// Connects and says nothing.
    pub fn connect(to: SocketAddr) -> Raw {
        let stream = TcpStream::connect(to).unwrap();
        stream.set_nodelay(true).unwrap();
        stream.set_write_timeout(Some(Duration::from_secs(20))).unwrap();
        Raw { stream, input: Vec::new() }
    }

    /// With the preface and settings that keep the other side from indexing fields (SETTINGS_HEADER_TABLE_SIZE is 1).
    pub fn settled(to: SocketAddr) -> Raw {
        let mut raw = Raw::connect(to);
        raw.send(&[PREFACE, &frame(SETTINGS, 0, 0, &[0, 1, 0, 0, 0, 0])].concat());
        raw
    }

    /// Sends, whatever that takes.
    pub fn send(&mut self, bytes: &[u8]) {
        self.stream.write_all(bytes).unwrap();
    }

    /// Sends as long as the other side takes it; false once it does not.
    pub fn try_send(&mut self, bytes: &[u8]) -> bool {
        self.stream.write_all(bytes).is_ok()
    }

    /// The next frame, within the time; `None`: the connection has ended, or none came.
    pub fn next(&mut self, within: Duration) -> Option<Frame> {
        let until = Instant::now() + within;
        loop {
            if self.input.len() >= 9 {
                let length = u32::from_be_bytes([0, self.input[0], self.input[1], self.input[2]]) as usize;
                if self.input.len() >= 9 + length {
                    let bytes: Vec<u8> = self.input.drain(..9 + length).collect();
                    let stream = u32::from_be_bytes(bytes[5..9].try_into().unwrap());
                    return Some(Frame {
                        kind: bytes[3],
                        flags: bytes[4],
                        stream,
                        rest: bytes[9..].to_vec(),
                    });
                }
            }
            if !self.read(until) {
                return None;
            }
        }
    }

    fn read(&mut self, until: Instant) -> bool {
        let left = until.saturating_duration_since(Instant::now()).max(Duration::from_millis(1));
        self.stream.set_read_timeout(Some(left)).unwrap();
        let mut chunk = [0; 16384];
        match self.stream.read(&mut chunk) {
            Ok(0) => false,
            Ok(n) => {
                self.input.extend(&chunk[..n]);
                true
            }
            Err(e) if e.kind() == ErrorKind::Interrupted => true,
            Err(_) => false,
        }
    }

    /// Waits for a frame of this kind; others are passed over.
    pub fn expect(&mut self, kind: u8) -> Frame {
        let mut others: Vec<Frame> = Vec::new();
        loop {
            let next = self.next(Duration::from_secs(30));
            let frame = next.unwrap_or_else(|| panic!("no frame of kind {kind}, but {others:?}"));
            if frame.kind == kind {
                return frame;
            }
            others.push(frame);
        }
    }

    /// All frames until the connection ends, and how long that took. Panics if it does not end in time.
    pub fn until_end(&mut self, within: Duration) -> (Vec<Frame>, Duration) {
        let begun = Instant::now();
        let mut frames = Vec::new();
        while let Some(frame) = self.next(within.saturating_sub(begun.elapsed())) {
            frames.push(frame);
        }
        assert!(begun.elapsed() < within, "the connection stays open; it sent {frames:?}");
        (frames, begun.elapsed())
    }

    /// What is there beside frames, as text, until the end.
    pub fn text_until_end(&mut self) -> String {
        let until = Instant::now() + Duration::from_secs(30);
        while self.read(until) {}
        assert!(Instant::now() < until, "the connection stays open");
        String::from_utf8_lossy(&self.input).into_owned()
    }
}

/// The status of a response's HEADERS, where it stands in the static table (RFC 7541, appendix A) or as digits.
pub fn status(frame: &Frame) -> u16 {
    // A new size of the dynamic table may stand before (section 6.3).
    let updates = frame.rest.iter().take_while(|b| **b & 0xe0 == 0x20).count();
    let rest = &frame.rest[updates..];
    match rest[0] {
        0x88 => 200,
        0x89 => 204,
        0x8b => 304,
        0x8c => 400,
        0x8d => 404,
        0x8e => 500,
        // A literal with the name :status, its value plain or in the code of appendix B (digits have five or six bits).
        _ => {
            let length = usize::from(rest[1] & 0x7f);
            let bytes = &rest[2..2 + length];
            if rest[1] & 0x80 == 0 {
                return std::str::from_utf8(bytes).unwrap().parse().unwrap();
            }
            let bits: String = bytes.iter().map(|b| format!("{b:08b}")).collect();
            let codes = [
                "00000", "00001", "00010", "011001", "011010", "011011", "011100", "011101", "011110",
                "011111",
            ];
            let (mut at, mut digits) = (0, String::new());
            while digits.len() < 3 {
                let digit = codes.iter().position(|c| bits[at..].starts_with(c)).unwrap();
                digits += &digit.to_string();
                at += codes[digit].len();
            }
            digits.parse().unwrap()
        }
    }
}
