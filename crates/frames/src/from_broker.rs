//! The other side: what brokers say, for whoever stands in for a data server.

use crate::{BadFrame, frame};
use std::fmt::Write;

/// Longest frame taken from a broker: a call of the most parts, each with the longest text.
const LONGEST: usize = 4 << 20;

/// One part of a call, as it comes in.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Part {
    /// The part's id.
    pub id: String,
    /// Its shard.
    pub shard: usize,
    /// How long the broker will wait, in milliseconds.
    pub wait_ms: u64,
    /// The query's idempotency key, in a keyed class.
    pub key: Option<String>,
    /// The query's text.
    pub text: String,
}

/// What a broker says.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum FromBroker {
    /// One call.
    Call(Vec<Part>),
    /// A part is given up.
    GiveUp(String),
    /// A probe; true: for load.
    Probe(bool),
}

/// How a part ends.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum End {
    /// Served.
    Good,
    /// An error; it has run.
    Bad,
    /// Turned away: it never ran.
    Later,
}

impl End {
    fn word(self) -> &'static str {
        match self {
            End::Good => "good",
            End::Bad => "bad",
            End::Later => "later",
        }
    }
}

/// Encodes a part's answer; `held` is how many requests the server holds, where its answers tell.
pub fn answer(id: &str, end: End, held: Option<usize>, value: &str) -> Vec<u8> {
    let mut rest = String::with_capacity(id.len() + value.len() + 32);
    let report = held.map_or("-".to_owned(), |held| format!("inflight={held}"));
    let _ = writeln!(rest, "{id} {} 1 {report}", end.word());
    rest.push_str(value);
    frame(b'q', rest.as_bytes())
}

/// Encodes the answer to a probe.
pub fn probe_answer(load: bool, held: usize) -> Vec<u8> {
    if load { frame(b'p', format!("inflight={held}").as_bytes()) } else { frame(b'o', b"good") }
}

/// Encodes the word that the frame before could not be used.
pub fn rejected(words: &str) -> Vec<u8> {
    frame(b'r', words.as_bytes())
}

/// Decodes the frame that `input` begins with; the number is its length. `None`: it is not all there yet.
pub fn decode(input: &[u8]) -> Result<Option<(FromBroker, usize)>, BadFrame> {
    let Some((length, after)) = input.split_first_chunk::<4>() else { return Ok(None) };
    let length = u32::from_be_bytes(*length) as usize;
    if length == 0 || length > LONGEST {
        return Err(BadFrame("its length is out of bounds"));
    }
    let Some(body) = after.get(..length) else { return Ok(None) };
    let (letter, rest) = (body[0], &body[1..]);
    let message = match letter {
        b'm' => FromBroker::Call(call(rest)?),
        b'n' => FromBroker::GiveUp(text(rest)?.to_owned()),
        b'o' | b'p' if rest.is_empty() => FromBroker::Probe(letter == b'p'),
        _ => return Err(BadFrame("its letter is unknown")),
    };
    Ok(Some((message, 4 + length)))
}

fn text(bytes: &[u8]) -> Result<&str, BadFrame> {
    std::str::from_utf8(bytes).map_err(|_| BadFrame("it is not UTF-8"))
}

fn call(mut rest: &[u8]) -> Result<Vec<Part>, BadFrame> {
    let mut parts = Vec::new();
    while !rest.is_empty() {
        let end = rest.iter().position(|b| *b == b'\n').ok_or(BadFrame("a line has no end"))?;
        let words: Vec<&str> = text(&rest[..end])?.split(' ').collect();
        let [id, shard, list, length] = words[..] else {
            return Err(BadFrame("a line does not have four words"));
        };
        let number = |word: &str| word.parse::<usize>().map_err(|_| BadFrame("a number is none"));
        let length = number(length)?;
        rest = &rest[end + 1..];
        let Some(bytes) = rest.get(..length) else { return Err(BadFrame("a text is not all there")) };
        rest = &rest[length..];
        let mut part = Part {
            id: id.to_owned(),
            shard: number(shard)?,
            wait_ms: 0,
            key: None,
            text: text(bytes)?.to_owned(),
        };
        for pair in list.split(',') {
            match pair.split_once('=') {
                Some(("d", ms)) => part.wait_ms = number(ms)? as u64,
                Some(("k", key)) => part.key = Some(key.to_owned()),
                _ => return Err(BadFrame("its list is malformed")),
            }
        }
        parts.push(part);
    }
    if parts.is_empty() { Err(BadFrame("a call has no parts")) } else { Ok(parts) }
}

#[cfg(test)]
mod tests {
    use super::*;
    use crate::{FromServer, PartLine};

    #[test]
    fn what_one_side_encodes_the_other_decodes() {
        let line = PartLine { id: "9b.3", shard: 3, wait_ms: 240, key: Some("5c0f"), text: "c41e\n77" };
        let bytes = crate::call([line.clone(), PartLine { key: None, ..line }]);
        let part = Part {
            id: "9b.3".into(),
            shard: 3,
            wait_ms: 240,
            key: Some("5c0f".into()),
            text: "c41e\n77".into(),
        };
        let call = FromBroker::Call(vec![part.clone(), Part { key: None, ..part }]);
        assert_eq!(decode(&bytes), Ok(Some((call, bytes.len()))));
        let given_up = crate::give_up("9b.3");
        assert_eq!(decode(&given_up), Ok(Some((FromBroker::GiveUp("9b.3".into()), given_up.len()))));
        for (told, heard) in [(Some(7), Some(7.0)), (None, None)] {
            let bytes = answer("9b.3", End::Later, told, "");
            let Ok(Some((FromServer::Answer { id, held, .. }, _))) = crate::decode(&bytes) else { panic!() };
            assert_eq!((id.as_str(), held), ("9b.3", heard));
        }
    }

    #[test]
    fn calls_that_do_not_add_up_are_refused() {
        for rest in [
            &b""[..],
            b"a 1 d=1 5\nabc",
            b"a 1 d=1\nabc",
            b"a x d=1 0\n",
            b"a 1 e=1 0\n",
            b"a 1 d=1 0",
            b"\xff 1 d=1 0\n",
        ] {
            assert!(decode(&frame(b'm', rest)).is_err(), "{rest:?}");
        }
        assert!(decode(&frame(b'o', b"x")).is_err() && decode(&[255, 0, 0, 0]).is_err());
        assert_eq!(decode(&[0, 0, 0, 9, b'm']), Ok(None));
    }
}
