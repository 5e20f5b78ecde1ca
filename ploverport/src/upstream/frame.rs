//! The frames between brokers and data servers: a length of four bytes, a letter, the rest.

use brookbend::api::Outcome;
use std::fmt::Write;

/// Longest frame taken from a data server: a value as long as the longest body, and its line.
const LONGEST: usize = 66 * 1024;
/// Name of the load report's value that tells how much a server holds.
const HELD: &str = "inflight";

/// One part of a call, as it goes out.
#[derive(Clone, Debug, PartialEq)]
pub struct PartLine<'a> {
    /// The part's id on the wire.
    pub id: &'a str,
    /// Its shard.
    pub shard: usize,
    /// How long the broker will wait, in milliseconds.
    pub wait_ms: u64,
    /// The query's idempotency key, in a keyed class.
    pub key: Option<&'a str>,
    /// The query's text.
    pub text: &'a str,
}

/// What a data server says.
#[derive(Clone, Debug, PartialEq)]
pub enum FromServer {
    /// A part's answer.
    Answer {
        /// The part's id.
        id: String,
        /// How it ended.
        outcome: Outcome,
        /// How many requests the server holds, where it tells.
        held: Option<f64>,
        /// The value, as it came.
        value: String,
    },
    /// The answer to a probe.
    Probe,
    /// The frame before could not be used; the connection ends.
    Rejected(String),
}

/// Why a frame cannot be used.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct BadFrame(pub &'static str);

/// Encodes one call.
pub fn call<'a>(parts: impl IntoIterator<Item = PartLine<'a>>) -> Vec<u8> {
    let mut rest = String::new();
    for p in parts {
        let _ = write!(rest, "{} {} d={}", p.id, p.shard, p.wait_ms);
        if let Some(key) = p.key {
            let _ = write!(rest, ",k={key}");
        }
        let _ = writeln!(rest, " {}", p.text.len());
        rest.push_str(p.text);
    }
    frame(b'm', rest.as_bytes())
}

/// Encodes the giving up of a part.
pub fn give_up(id: &str) -> Vec<u8> {
    frame(b'n', id.as_bytes())
}

fn frame(letter: u8, rest: &[u8]) -> Vec<u8> {
    let mut out = Vec::with_capacity(rest.len() + 5);
    out.extend((rest.len() as u32 + 1).to_be_bytes());
    out.push(letter);
    out.extend(rest);
    out
}

/// Decodes the frame that `input` begins with; the number is its length. `None`: it is not all there yet.
pub fn decode(input: &[u8]) -> Result<Option<(FromServer, usize)>, BadFrame> {
    let Some((length, after)) = input.split_first_chunk::<4>() else { return Ok(None) };
    let length = u32::from_be_bytes(*length) as usize;
    if length == 0 || length > LONGEST {
        return Err(BadFrame("its length is out of bounds"));
    }
    let Some(body) = after.get(..length) else { return Ok(None) };
    let (letter, rest) = (body[0], &body[1..]);
    let message = match letter {
        b'q' => answer(rest)?,
        b'o' | b'p' => FromServer::Probe,
        b'r' => FromServer::Rejected(String::from_utf8_lossy(rest).into_owned()),
        _ => return Err(BadFrame("its letter is unknown")),
    };
    Ok(Some((message, 4 + length)))
}

fn answer(rest: &[u8]) -> Result<FromServer, BadFrame> {
    let text = std::str::from_utf8(rest).map_err(|_| BadFrame("it is not UTF-8"))?;
    let (line, value) = text.split_once('\n').ok_or(BadFrame("its line has no end"))?;
    let words: Vec<&str> = line.split(' ').collect();
    let &[id, end, _score, report] = words.as_slice() else {
        return Err(BadFrame("its line does not have four words"));
    };
    let outcome = match end {
        "good" => Outcome::Served,
        "bad" => Outcome::Error,
        "later" => Outcome::Full,
        _ => return Err(BadFrame("its end is unknown")),
    };
    let held = report.split(',').filter_map(|pair| pair.split_once('=')).find(|(name, _)| *name == HELD);
    let held = held.and_then(|(_, n)| n.parse().ok()).filter(|n: &f64| n.is_finite() && *n >= 0.0);
    Ok(FromServer::Answer { id: id.to_owned(), outcome, held, value: value.to_owned() })
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn a_call_carries_a_line_and_the_text_for_each_part() {
        let part = PartLine { id: "9b.3", shard: 3, wait_ms: 240, key: Some("5c0f"), text: "c41e77d0" };
        let next = PartLine { id: "9b.4", shard: 4, key: None, text: "é", ..part.clone() };
        let bytes = call([part, next]);
        assert_eq!(&bytes[..5], &[0, 0, 0, 48, b'm']);
        assert_eq!(&bytes[5..], "9b.3 3 d=240,k=5c0f 8\nc41e77d09b.4 4 d=240 2\né".as_bytes());
        assert_eq!(give_up("9b.3"), b"\0\0\0\x05n9b.3");
    }

    #[test]
    fn an_answer_is_decoded_once_it_is_all_there() {
        let bytes = frame(b'q', b"9b.3 good 1840277719 inflight=7,util=0.61\n5be2");
        for cut in 0..bytes.len() {
            assert_eq!(decode(&bytes[..cut]), Ok(None));
        }
        let id = "9b.3".to_owned();
        let value = "5be2".to_owned();
        let answer = FromServer::Answer { id, outcome: Outcome::Served, held: Some(7.0), value };
        assert_eq!(decode(&bytes), Ok(Some((answer, bytes.len()))));
    }

    #[test]
    fn odd_frames_are_errors_and_odd_reports_are_none() {
        for rest in [&b"9b.3 good 1 -"[..], b"9b.3 good -\n", b"9b.3 fine 1 -\n", b"\xff good 1 -\n"] {
            assert!(decode(&frame(b'q', rest)).is_err(), "{rest:?}");
        }
        assert!(decode(&frame(b'x', b"")).is_err());
        assert!(decode(&[0, 0, 0, 0]).is_err());
        assert!(decode(&[255, 0, 0, 0]).is_err());
        for report in ["-", "inflight=NaN", "inflight=-1", "inflight", "util=1"] {
            let bytes = frame(b'q', format!("i later 0 {report}\n").as_bytes());
            let Ok(Some((FromServer::Answer { held, outcome, .. }, _))) = decode(&bytes) else { panic!() };
            assert_eq!((held, outcome), (None, Outcome::Full));
        }
    }
}
