//! Where a body ends (RFC 9112, sections 6 and 7).

use crate::fault::Fault;

/// Longest line that begins a chunk: its size and extensions, which nobody needs.
const CHUNK_LINE: usize = 256;
/// Longest trailer section.
const TRAILER: usize = 8 * 1024;
/// Most lines that carry no data, for a body of a byte a chunk to stay possible and no more.
const OVERHEAD: usize = 8;
/// Most fields in a trailer.
const FIELDS: usize = 32;
/// A body's memory grows by so much at the least, as it comes: a length alone claims none.
const STEP: usize = 4 * 1024;

/// How a message's body is delimited.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Framing {
    Length(u64),
    Chunked,
    /// It ends with its connection.
    ToEnd,
}

/// A body on its way in.
#[derive(Debug)]
pub(crate) struct Body {
    phase: Phase,
    cap: usize,
    /// Bytes of chunk lines, beside the data.
    overhead: usize,
    pub(crate) data: Vec<u8>,
}

#[derive(Debug)]
enum Phase {
    /// So many bytes are to come, and then it ends.
    Length(usize),
    ChunkLine,
    ChunkData(usize),
    /// The line's end after a chunk's data.
    ChunkEnd,
    Trailer,
    /// All that comes, up to the end of the connection.
    ToEnd,
    Done,
}

impl Body {
    pub(crate) fn new(framing: Framing, cap: usize) -> Result<Self, Fault> {
        let phase = match framing {
            Framing::Length(length) if length > cap as u64 => return Err(Fault::BodyTooLong),
            Framing::Length(length) => Phase::Length(length as usize),
            Framing::Chunked => Phase::ChunkLine,
            Framing::ToEnd => Phase::ToEnd,
        };
        Ok(Body { phase, cap, overhead: 0, data: Vec::new() })
    }

    /// Takes what it can use from the front of `input`; the number is how much that is, and whether it is whole.
    pub(crate) fn take(&mut self, input: &[u8]) -> Result<(usize, bool), Fault> {
        let mut at = 0;
        loop {
            let rest = &input[at..];
            let used = match &mut self.phase {
                Phase::Length(left) => {
                    let n = (*left).min(rest.len());
                    *left -= n;
                    if *left > 0 {
                        self.append(&rest[..n]);
                        return Ok((at + n, false));
                    }
                    self.phase = Phase::Done;
                    self.append(&rest[..n]);
                    n
                }
                Phase::ChunkLine => match self.chunk_line(rest)? {
                    Some(used) => used,
                    None => return Ok((at, false)),
                },
                Phase::ChunkData(left) => {
                    let n = (*left).min(rest.len());
                    *left -= n;
                    let whole = *left == 0;
                    self.append(&rest[..n]);
                    if !whole {
                        return Ok((at + n, false));
                    }
                    self.phase = Phase::ChunkEnd;
                    n
                }
                Phase::ChunkEnd => match rest {
                    [b'\r', b'\n', ..] => {
                        self.phase = Phase::ChunkLine;
                        2
                    }
                    [] | [b'\r'] => return Ok((at, false)),
                    _ => return Err(Fault::Chunk),
                },
                Phase::Trailer => match trailer(rest)? {
                    Some(used) => {
                        self.phase = Phase::Done;
                        used
                    }
                    None => return Ok((at, false)),
                },
                Phase::ToEnd => {
                    if rest.len() > self.cap - self.data.len() {
                        return Err(Fault::BodyTooLong);
                    }
                    self.append(rest);
                    return Ok((input.len(), false));
                }
                Phase::Done => return Ok((at, true)),
            };
            at += used;
        }
    }

    /// Whether it is whole if its connection has ended in order.
    pub(crate) fn ends(&self) -> bool {
        matches!(self.phase, Phase::ToEnd)
    }

    fn append(&mut self, bytes: &[u8]) {
        if self.data.capacity() - self.data.len() < bytes.len() {
            self.data.reserve_exact(bytes.len().max(STEP));
        }
        self.data.extend_from_slice(bytes);
    }

    /// The line that begins a chunk.
    fn chunk_line(&mut self, rest: &[u8]) -> Result<Option<usize>, Fault> {
        let Some(end) = rest.windows(2).position(|w| w == b"\r\n") else {
            return if rest.len() > CHUNK_LINE { Err(Fault::Chunk) } else { Ok(None) };
        };
        let line = &rest[..end];
        // A bare line end within an extension is where two readers of one stream begin to differ.
        if end > CHUNK_LINE || line.iter().any(|b| b.is_ascii_control() && *b != b'\t') {
            return Err(Fault::Chunk);
        }
        let digits = line.iter().take_while(|b| b.is_ascii_hexdigit()).count();
        let (size, extension) = line.split_at(digits);
        let blank = extension.iter().take_while(|b| matches!(b, b' ' | b'\t')).count();
        if !matches!(extension[blank..].first(), None | Some(b';')) || (blank > 0 && blank == extension.len())
        {
            return Err(Fault::Chunk);
        }
        let size = std::str::from_utf8(size).ok().and_then(|s| u64::from_str_radix(s, 16).ok());
        let Some(size) = size else { return Err(Fault::Chunk) };
        self.overhead += end + 4;
        let room = self.cap - self.data.len();
        if size > room as u64 || self.overhead > OVERHEAD * self.cap.max(CHUNK_LINE) {
            return Err(Fault::BodyTooLong);
        }
        self.phase = if size == 0 { Phase::Trailer } else { Phase::ChunkData(size as usize) };
        Ok(Some(end + 2))
    }
}

/// Passes over the trailer section; the number is its length.
fn trailer(rest: &[u8]) -> Result<Option<usize>, Fault> {
    let mut fields = [httparse::EMPTY_HEADER; FIELDS];
    match httparse::parse_headers(rest, &mut fields) {
        Ok(httparse::Status::Complete((used, _))) if used <= TRAILER => Ok(Some(used)),
        Ok(httparse::Status::Partial) if rest.len() <= TRAILER => Ok(None),
        _ => Err(Fault::Trailer),
    }
}
