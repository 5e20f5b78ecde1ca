//! Responses on their way out.

use http::{Response, Version};
use std::io::Write;

/// What the client of a response needs to be told, or not.
#[derive(Clone, Copy, Debug)]
pub struct Reader {
    /// Its version: an old one is told where the connection stays open (RFC 9112, section 9.3).
    pub version: Version,
    /// Whether it asked for the head alone, with HEAD (RFC 9110, section 9.3.2).
    pub head_only: bool,
    /// Whether the connection may serve another request.
    pub keep_alive: bool,
}

/// Encodes a response whose body is whole. Framing fields are added here and must not be among its own.
pub fn encode_response(response: &Response<Vec<u8>>, reader: Reader) -> Vec<u8> {
    let status = response.status();
    let body = response.body();
    let mut out = Vec::with_capacity(256 + body.len());
    // Writing into memory does not fail.
    let _ =
        write!(out, "HTTP/1.1 {} {}\r\n", status.as_u16(), status.canonical_reason().unwrap_or("Unknown"));
    for (name, value) in response.headers() {
        title(name.as_str(), &mut out);
        out.extend_from_slice(b": ");
        out.extend_from_slice(value.as_bytes());
        out.extend_from_slice(b"\r\n");
    }
    let bodiless = status.is_informational() || status.as_u16() == 204;
    if !bodiless {
        let _ = write!(out, "Content-Length: {}\r\n", body.len());
    }
    if !reader.keep_alive {
        out.extend_from_slice(b"Connection: close\r\n");
    } else if reader.version < Version::HTTP_11 {
        out.extend_from_slice(b"Connection: keep-alive\r\n");
    }
    out.extend_from_slice(b"\r\n");
    if !bodiless && !reader.head_only {
        out.extend_from_slice(body);
    }
    out
}

/// Field names are written the way people know them; readers must not care (RFC 9110, section 5.1).
fn title(name: &str, out: &mut Vec<u8>) {
    let mut first = true;
    for b in name.bytes() {
        out.push(if first { b.to_ascii_uppercase() } else { b });
        first = b == b'-';
    }
}
