//! The frames between brokers and data servers: a length of four bytes, a letter, the rest.

pub mod from_broker;
mod id;

pub use id::PartId;

use brookbend::api::Outcome;
use std::fmt::Display;
use std::io::Write;

/// Longest frame taken from a data server: a value as long as the longest body, and its line.
const LONGEST: usize = 66 * 1024;
/// Longest line of an answer: an id as long as the front lets through, and short words.
const LINE: usize = 1024;
/// Names of the load report's value that tells how much a server holds: the settings' and the protocol's.
const HELD: [&str; 2] = ["rif", "inflight"];

/// One part of a call, as it goes out.
#[derive(Clone, Debug, PartialEq)]
pub struct PartLine<'a, I = &'a str> {
    /// The part's id on the wire.
    pub id: I,
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
    /// The frame before could not be used; the connection ends.
    Rejected(String),
}

/// Why a frame cannot be used.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct BadFrame(pub &'static str);

/// Encodes one call.
pub fn call<'a, I: Display>(parts: impl IntoIterator<Item = PartLine<'a, I>>) -> Vec<u8> {
    let mut out = Vec::new();
    call_into(&mut out, parts);
    out
}

/// Appends one call to what is to be written.
pub fn call_into<'a, I: Display>(out: &mut Vec<u8>, parts: impl IntoIterator<Item = PartLine<'a, I>>) {
    frame_into(out, b'm', |out| {
        for p in parts {
            // Writing to memory does not fail.
            let _ = write!(out, "{} {} d={}", p.id, p.shard, p.wait_ms);
            if let Some(key) = p.key {
                let _ = write!(out, ",k={key}");
            }
            let _ = writeln!(out, " {}", p.text.len());
            out.extend_from_slice(p.text.as_bytes());
        }
    });
}

/// Encodes the giving up of a part.
pub fn give_up(id: &str) -> Vec<u8> {
    frame(b'n', id.as_bytes())
}

/// Appends the giving up of a part.
pub fn give_up_into(out: &mut Vec<u8>, id: impl Display) {
    // Writing to memory does not fail.
    frame_into(out, b'n', |out| _ = write!(out, "{id}"));
}

fn frame(letter: u8, rest: &[u8]) -> Vec<u8> {
    let mut out = Vec::with_capacity(rest.len() + 5);
    frame_into(&mut out, letter, |out| out.extend_from_slice(rest));
    out
}

fn frame_into(out: &mut Vec<u8>, letter: u8, rest: impl FnOnce(&mut Vec<u8>)) {
    let begin = out.len();
    out.extend_from_slice(&[0, 0, 0, 0, letter]);
    rest(out);
    let length = (out.len() - begin - 4) as u32;
    out[begin..begin + 4].copy_from_slice(&length.to_be_bytes());
}

/// Decodes the frame that `input` begins with; the number is its length. `None`: it is not all there yet. What
/// can be seen to be spoilt from its first bytes is not waited for: the rest may never come.
pub fn decode(input: &[u8]) -> Result<Option<(FromServer, usize)>, BadFrame> {
    let Some((length, after)) = input.split_first_chunk::<4>() else { return Ok(None) };
    let length = u32::from_be_bytes(*length) as usize;
    if length == 0 || length > LONGEST {
        return Err(BadFrame("its length is out of bounds"));
    }
    let Some((letter, rest)) = after.split_first() else { return Ok(None) };
    // No probes are sent, so that an answer to one is as unknown as any other letter.
    if !matches!(letter, b'q' | b'r') {
        return Err(BadFrame("its letter is unknown"));
    }
    let Some(rest) = rest.get(..length - 1) else {
        let endless = *letter == b'q' && rest.len() > LINE && !rest[..LINE].contains(&b'\n');
        return if endless { Err(BadFrame("its line has no end")) } else { Ok(None) };
    };
    let message = match letter {
        b'q' => answer(rest)?,
        _ => FromServer::Rejected(String::from_utf8_lossy(rest).into_owned()),
    };
    Ok(Some((message, 4 + length)))
}

fn answer(rest: &[u8]) -> Result<FromServer, BadFrame> {
    let end = rest.iter().position(|b| *b == b'\n').ok_or(BadFrame("its line has no end"))?;
    let (line, value) = (&rest[..end], &rest[end + 1..]);
    let mut words = line.splitn(4, |b| *b == b' ');
    let (Some(id), Some(end), Some(score), Some(report)) =
        (words.next(), words.next(), words.next(), words.next())
    else {
        return Err(BadFrame("its line does not have four words"));
    };
    let outcome = match end {
        b"good" => Outcome::Served,
        b"bad" => Outcome::Error,
        b"later" => Outcome::Full,
        _ => return Err(BadFrame("its end is unknown")),
    };
    let text = |bytes| std::str::from_utf8(bytes).map_err(|_| BadFrame("it is not UTF-8"));
    if text(score)?.parse::<f64>().is_err() {
        return Err(BadFrame("its score is not a number"));
    }
    Ok(FromServer::Answer {
        id: text(id)?.to_owned(),
        outcome,
        held: held(report),
        value: text(value)?.to_owned(),
    })
}

/// How much the server holds. A report that cannot be read spoils nothing but itself: the load is unknown.
fn held(report: &[u8]) -> Option<f64> {
    let report = std::str::from_utf8(report).ok()?;
    let mut pairs = report.split(',').filter_map(|pair| pair.split_once('='));
    let (_, n) = pairs.find(|(name, _)| HELD.contains(name))?;
    n.parse().ok().filter(|n: &f64| n.is_finite() && *n >= 0.0)
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
        let bytes = frame(b'q', b"9b.3 good 1840277719 rif=7,rate=0.61\n5be2");
        for cut in 0..bytes.len() {
            assert_eq!(decode(&bytes[..cut]), Ok(None));
        }
        let id = "9b.3".to_owned();
        let value = "5be2".to_owned();
        let answer = FromServer::Answer { id, outcome: Outcome::Served, held: Some(7.0), value };
        assert_eq!(decode(&bytes), Ok(Some((answer, bytes.len()))));
    }

    /// What a spoilt frame promises may never come: as much as can be told from its beginning must be told then.
    #[test]
    fn a_spoilt_frame_is_seen_from_its_first_bytes() {
        let long = [&[0, 1, 0, 0, b'q'][..], &[b'x'; LINE + 1]].concat();
        for input in [&[179, 0, 0, 0][..], &[0, 0, 0, 72, 1], &[0, 0, 0, 5, b'o'], &long] {
            assert!(decode(input).is_err(), "{input:?}");
        }
    }

    #[test]
    fn odd_frames_are_errors_and_odd_reports_are_none() {
        let noise = frame(b'q', b"9b.3 good 1 \xff rif=3 \x01\n5be2");
        assert!(matches!(decode(&noise), Ok(Some((FromServer::Answer { held: None, .. }, _)))));
        let either = frame(b'q', b"9b.3 good 1 util=2,inflight=3.5\n5be2");
        assert!(matches!(decode(&either), Ok(Some((FromServer::Answer { held: Some(3.5), .. }, _)))));
        for rest in [
            &b"9b.3 good 1 -"[..],
            b"9b.3 good -\n",
            b"9b.3 fine 1 -\n",
            b"9b.3  1 -\n",
            b"9b.3 good x -\n",
            b"\xff good 1 -\n",
            b"9b.3 good 1 -\n\xff",
        ] {
            assert!(decode(&frame(b'q', rest)).is_err(), "{rest:?}");
        }
        assert!(decode(&frame(b'x', b"")).is_err());
        assert!(decode(&[0, 0, 0, 0]).is_err());
        assert!(decode(&[255, 0, 0, 0]).is_err());
        for report in ["-", "rif=NaN", "rif=-1", "rif", "rate=1", "util=0.61", "busy=0.61,lat_ms=7"] {
            let bytes = frame(b'q', format!("i later 0 {report}\n").as_bytes());
            let Ok(Some((FromServer::Answer { held, outcome, .. }, _))) = decode(&bytes) else { panic!() };
            assert_eq!((held, outcome), (None, Outcome::Full));
        }
    }
}
