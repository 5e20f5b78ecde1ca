//! HTTP/1.1 messages without sockets: bytes in, one typed message out. Clients and discovery both speak it.

use std::fmt::Write;

/// Longest head of a message.
pub const HEAD_CAP: usize = 16 * 1024;
/// Longest body.
pub const BODY_CAP: usize = 64 * 1024;
/// Longest body on the wire: chunks come with lines of their own. It bounds what each connection can hold.
const WIRE_CAP: usize = BODY_CAP + 32 * 1024;
const HEADERS: usize = 64;

/// A request, or an answer: then `method` holds nothing and `status` is set.
#[derive(Debug, Default, PartialEq)]
pub struct Message {
    /// The method of a request.
    pub method: String,
    /// The target of a request.
    pub target: String,
    /// The status of an answer.
    pub status: u16,
    /// Whether the connection may serve another message.
    pub keep_alive: bool,
    /// The body.
    pub body: Vec<u8>,
    headers: Vec<(String, String)>,
}

impl Message {
    /// The value of the header of this name, which is written in small letters.
    pub fn header(&self, name: &str) -> Option<&str> {
        self.headers.iter().find(|(n, _)| n == name).map(|(_, v)| v.as_str())
    }
    /// The target without its query.
    pub fn path(&self) -> &str {
        self.target.split('?').next().unwrap_or_default()
    }
}

/// A message that cannot be used, as the status that tells the peer; its framing is lost.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Bad {
    /// Status of the answer.
    pub status: u16,
    /// What is wrong.
    pub why: &'static str,
}

fn bad<T>(status: u16, why: &'static str) -> Result<T, Bad> {
    Err(Bad { status, why })
}

/// How far the decoding of a message has come.
#[derive(Debug, PartialEq)]
pub enum Decoded {
    /// It is not all there yet; true: its peer waits for a word before it sends the body.
    Partial(bool),
    /// The message and its length.
    Whole(Message, usize),
}

enum Framing {
    Length(usize),
    Chunked,
}

/// Decodes the request that `input` begins with.
pub fn request(input: &[u8]) -> Result<Decoded, Bad> {
    let mut headers = [httparse::EMPTY_HEADER; HEADERS];
    let mut head = httparse::Request::new(&mut headers);
    let length = match head.parse(input) {
        Ok(httparse::Status::Complete(length)) if length <= HEAD_CAP => length,
        Ok(httparse::Status::Partial) if input.len() <= HEAD_CAP => return Ok(Decoded::Partial(false)),
        Ok(_) | Err(httparse::Error::TooManyHeaders) => return bad(431, "the head is too long"),
        Err(_) => return bad(400, "the head is malformed"),
    };
    let mut message = Message {
        method: head.method.unwrap_or_default().to_owned(),
        target: head.path.unwrap_or_default().to_owned(),
        ..Default::default()
    };
    let framing = take_headers(&mut message, head.headers, head.version == Some(1))?;
    if framing.is_none() && matches!(message.method.as_str(), "POST" | "PUT" | "PATCH") {
        return bad(411, "the body has no length");
    }
    let expects = message.header("expect").is_some_and(|v| v.eq_ignore_ascii_case("100-continue"));
    finish(message, framing.unwrap_or(Framing::Length(0)), input, length, expects)
}

/// Decodes the answer that `input` begins with.
pub fn answer(input: &[u8]) -> Result<Decoded, Bad> {
    let mut headers = [httparse::EMPTY_HEADER; HEADERS];
    let mut head = httparse::Response::new(&mut headers);
    let length = match head.parse(input) {
        Ok(httparse::Status::Complete(length)) => length,
        Ok(httparse::Status::Partial) if input.len() <= HEAD_CAP => return Ok(Decoded::Partial(false)),
        _ => return bad(502, "the head is malformed or too long"),
    };
    let mut message = Message { status: head.code.unwrap_or_default(), ..Default::default() };
    match take_headers(&mut message, head.headers, head.version == Some(1))? {
        Some(framing) => finish(message, framing, input, length, false),
        None => bad(502, "the body has no length"),
    }
}

fn take_headers(
    message: &mut Message,
    headers: &[httparse::Header],
    keeps: bool,
) -> Result<Option<Framing>, Bad> {
    let mut framing = None;
    message.keep_alive = keeps;
    for h in headers {
        let name = h.name.to_ascii_lowercase();
        let Ok(value) = std::str::from_utf8(h.value) else { return bad(400, "a header is not UTF-8") };
        let value = value.trim();
        match name.as_str() {
            "content-length" => {
                let digits = !value.is_empty() && value.bytes().all(|b| b.is_ascii_digit());
                // Two lengths, or a length and chunks, are how requests are smuggled past a front.
                if !digits || framing.is_some() {
                    return bad(400, "the length is malformed or given twice");
                }
                framing = Some(Framing::Length(value.parse().unwrap_or(usize::MAX)));
            }
            "transfer-encoding" if framing.is_some() || !value.eq_ignore_ascii_case("chunked") => {
                return bad(400, "the transfer encoding is unknown or beside a length");
            }
            "transfer-encoding" => framing = Some(Framing::Chunked),
            "connection" => {
                for word in value.split(',').map(str::trim) {
                    if word.eq_ignore_ascii_case("close") {
                        message.keep_alive = false;
                    } else if word.eq_ignore_ascii_case("keep-alive") {
                        message.keep_alive = true;
                    }
                }
            }
            _ => {}
        }
        message.headers.push((name, value.to_owned()));
    }
    Ok(framing)
}

fn finish(
    mut message: Message,
    framing: Framing,
    input: &[u8],
    head: usize,
    expects: bool,
) -> Result<Decoded, Bad> {
    let rest = &input[head..];
    let body = match framing {
        Framing::Length(length) if length > BODY_CAP => return bad(413, "the body is too long"),
        Framing::Length(length) => rest.get(..length).map(|body| (body.to_vec(), length)),
        Framing::Chunked => chunks(rest)?,
    };
    Ok(match body {
        None => Decoded::Partial(expects && rest.is_empty()),
        Some((body, length)) => {
            message.body = body;
            Decoded::Whole(message, head + length)
        }
    })
}

/// The body that comes in chunks, and its length on the wire.
fn chunks(input: &[u8]) -> Result<Option<(Vec<u8>, usize)>, Bad> {
    let mut body = Vec::new();
    let mut at = 0;
    loop {
        let (line, size) = match httparse::parse_chunk_size(&input[at..]) {
            Ok(httparse::Status::Complete((line, size))) => (line, size),
            Ok(httparse::Status::Partial) if input.len() <= WIRE_CAP => return Ok(None),
            Ok(httparse::Status::Partial) => return bad(413, "the body is too long"),
            Err(_) => return bad(400, "a chunk is malformed"),
        };
        at += line;
        if size > (BODY_CAP - body.len()) as u64 || at > WIRE_CAP {
            return bad(413, "the body is too long");
        }
        if size == 0 {
            return trailer(input, at).map(|end| end.map(|end| (body, end)));
        }
        let end = at + size as usize;
        match input.get(end..end + 2) {
            Some(b"\r\n") => body.extend(&input[at..end]),
            Some(_) => return bad(400, "a chunk is malformed"),
            None => return Ok(None),
        }
        at = end + 2;
    }
}

/// Passes over the lines after the last chunk, up to the empty one.
fn trailer(input: &[u8], mut at: usize) -> Result<Option<usize>, Bad> {
    loop {
        match input[at..].windows(2).position(|w| w == b"\r\n") {
            Some(0) => return Ok(Some(at + 2)),
            Some(line) => at += line + 2,
            None if input.len() - at > HEAD_CAP => return bad(431, "the trailer is too long"),
            None => return Ok(None),
        }
    }
}

/// Encodes an answer to a client.
pub fn encode_answer(status: u16, headers: &[(&str, &str)], body: &[u8], keep_alive: bool) -> Vec<u8> {
    let mut out = format!("HTTP/1.1 {status} {}\r\n", reason(status));
    for (name, value) in headers {
        let _ = write!(out, "{name}: {value}\r\n");
    }
    let close = if keep_alive { "" } else { "Connection: close\r\n" };
    let _ = write!(out, "Content-Length: {}\r\n{close}\r\n", body.len());
    let mut out = out.into_bytes();
    out.extend(body);
    out
}

fn reason(status: u16) -> &'static str {
    match status {
        200 => "OK",
        400 => "Bad Request",
        404 => "Not Found",
        405 => "Method Not Allowed",
        408 => "Request Timeout",
        411 => "Length Required",
        413 => "Content Too Large",
        431 => "Request Header Fields Too Large",
        502 => "Bad Gateway",
        503 => "Service Unavailable",
        _ => "Error",
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    fn status(input: &str) -> u16 {
        request(input.as_bytes()).expect_err("it was taken").status
    }

    #[test]
    fn a_request_is_whole_with_its_last_byte() {
        for text in [
            "POST /a?b HTTP/1.1\r\nX-Key: k\r\nContent-Length: 3\r\n\r\nabc",
            "POST /a?b HTTP/1.1\r\nX-Key: k\r\nTransfer-Encoding: chunked\r\n\r\n1\r\na\r\n2;x=y\r\nbc\r\n0\r\nT: 1\r\n\r\n",
        ] {
            for cut in 0..text.len() {
                let decoded = request(&text.as_bytes()[..cut]);
                assert!(matches!(decoded, Ok(Decoded::Partial(false))), "{cut}: {decoded:?}");
            }
            let Ok(Decoded::Whole(m, length)) = request(format!("{text}GET").as_bytes()) else { panic!() };
            assert_eq!((m.body.as_slice(), length), (&b"abc"[..], text.len()));
            assert_eq!((m.path(), m.header("x-key"), m.keep_alive), ("/a", Some("k"), true));
        }
    }

    #[test]
    fn bad_framing_has_its_status() {
        assert_eq!(status("nonsense\r\n\r\n"), 400);
        assert_eq!(status("POST / HTTP/1.1\r\n\r\n"), 411);
        assert_eq!(status("POST / HTTP/1.1\r\nContent-Length: 65537\r\n\r\n"), 413);
        assert_eq!(status("POST / HTTP/1.1\r\nContent-Length: 99999999999999999999999\r\n\r\n"), 413);
        assert_eq!(status("POST / HTTP/1.1\r\nContent-Length: -1\r\n\r\n"), 400);
        assert_eq!(status("POST / HTTP/1.1\r\nContent-Length: 1\r\nContent-Length: 2\r\n\r\n"), 400);
        assert_eq!(status("POST / HTTP/1.1\r\nContent-Length: 1\r\nTransfer-Encoding: chunked\r\n\r\n"), 400);
        assert_eq!(status("POST / HTTP/1.1\r\nTransfer-Encoding: gzip\r\n\r\n"), 400);
        assert_eq!(status("POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\nzz\r\n"), 400);
        assert_eq!(status("POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n1\r\nabc"), 400);
        assert_eq!(status("POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n10001\r\n"), 413);
        assert_eq!(status(&format!("GET / HTTP/1.1\r\nA: {}", "a".repeat(HEAD_CAP))), 431);
        assert_eq!(status(&format!("GET / HTTP/1.1\r\n{}\r\n", "A: 1\r\n".repeat(HEADERS + 1))), 431);
    }

    #[test]
    fn a_peer_that_waits_to_be_told_is_seen() {
        let text = b"POST / HTTP/1.1\r\nExpect: 100-continue\r\nContent-Length: 2\r\n\r\n";
        assert_eq!(request(text), Ok(Decoded::Partial(true)));
    }

    #[test]
    fn old_clients_close_unless_they_say_otherwise() {
        for (text, keeps) in [
            ("GET / HTTP/1.0\r\n\r\n", false),
            ("GET / HTTP/1.0\r\nConnection: Keep-Alive\r\n\r\n", true),
            ("GET / HTTP/1.1\r\nConnection: x, close\r\n\r\n", false),
        ] {
            let Ok(Decoded::Whole(m, _)) = request(text.as_bytes()) else { panic!() };
            assert_eq!(m.keep_alive, keeps);
        }
    }

    #[test]
    fn answers_are_decoded_too() {
        let bytes = encode_answer(200, &[("A", "b")], b"xy", false);
        let Ok(Decoded::Whole(m, length)) = answer(&bytes) else { panic!() };
        assert_eq!(
            (m.status, m.body.as_slice(), m.keep_alive, length),
            (200, &b"xy"[..], false, bytes.len())
        );
    }
}
