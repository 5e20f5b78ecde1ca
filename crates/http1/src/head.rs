//! Rules of a message's head: target, `Host`, framing, persistence (RFC 9112, sections 3, 5, 6 and 9).

use crate::body::Framing;
use crate::fault::Fault;
use http::header::{CONNECTION, CONTENT_LENGTH, HOST, HeaderMap, HeaderName, HeaderValue, TRANSFER_ENCODING};
use http::{Method, Uri, Version};

/// Most fields of a head.
pub(crate) const FIELDS: usize = 64;

/// The fields as typed values.
pub(crate) fn fields(parsed: &[httparse::Header]) -> Result<HeaderMap, Fault> {
    let mut map = HeaderMap::with_capacity(parsed.len());
    for h in parsed {
        let name = HeaderName::from_bytes(h.name.as_bytes()).map_err(|_| Fault::Head)?;
        let value = HeaderValue::from_bytes(h.value.trim_ascii()).map_err(|_| Fault::Head)?;
        map.append(name, value);
    }
    Ok(map)
}

/// The members of a field that is a list, over all its lines.
fn members<'a>(fields: &'a HeaderMap, name: &HeaderName) -> impl Iterator<Item = &'a [u8]> {
    let lines = fields.get_all(name).iter();
    lines.flat_map(|v| v.as_bytes().split(|b| *b == b',')).map(<[u8]>::trim_ascii).filter(|m| !m.is_empty())
}

/// How the body is delimited; `None`: nothing is said of one.
pub(crate) fn framing(fields: &HeaderMap, version: Version) -> Result<Option<Framing>, Fault> {
    let coded = fields.contains_key(TRANSFER_ENCODING);
    let mut lengths = fields.get_all(CONTENT_LENGTH).iter();
    let length = lengths.next();
    // Two lengths, or a length and chunks, are how requests are smuggled past a front.
    if lengths.next().is_some() || (coded && length.is_some()) {
        return Err(Fault::Length);
    }
    if coded {
        if version < Version::HTTP_11 {
            return Err(Fault::Coding);
        }
        let codings: Vec<&[u8]> = members(fields, &TRANSFER_ENCODING).collect();
        let chunked = |c: &&[u8]| c.eq_ignore_ascii_case(b"chunked");
        return match codings.split_last() {
            Some((last, [])) if chunked(last) => Ok(Some(Framing::Chunked)),
            Some((last, before)) if chunked(last) && !before.iter().any(chunked) => Err(Fault::CodingUnknown),
            _ => Err(Fault::Coding),
        };
    }
    let Some(length) = length else { return Ok(None) };
    let digits = length.as_bytes();
    if digits.is_empty() || !digits.iter().all(u8::is_ascii_digit) {
        return Err(Fault::Length);
    }
    // More digits than a number holds are a length all the same: one that is too long.
    let length = std::str::from_utf8(digits).ok().and_then(|d| d.parse().ok());
    Ok(Some(Framing::Length(length.unwrap_or(u64::MAX))))
}

/// Whether the connection may serve another message (section 9.3).
pub(crate) fn keeps_alive(fields: &HeaderMap, version: Version) -> bool {
    let says = |word: &[u8]| members(fields, &CONNECTION).any(|m| m.eq_ignore_ascii_case(word));
    !says(b"close") && (version >= Version::HTTP_11 || says(b"keep-alive"))
}

/// The target, in a form that the method allows (section 3.2).
pub(crate) fn target(method: &Method, text: &str) -> Result<Uri, Fault> {
    if *method == Method::CONNECT {
        return Err(Fault::Connect);
    }
    // What a URI cannot hold (RFC 3986, section 2); a fragment is none of a server's business.
    let odd = |b: u8| !b.is_ascii_graphic() || b"\"#<>\\^`{|}".contains(&b);
    if text.bytes().any(odd) {
        return Err(Fault::Target);
    }
    let uri: Uri = text.parse().map_err(|_| Fault::Target)?;
    match text {
        "*" if *method == Method::OPTIONS => Ok(uri),
        origin if origin.starts_with('/') => Ok(uri),
        _ => match (uri.scheme_str(), uri.authority()) {
            (Some("http" | "https"), Some(authority)) if is_host(authority.as_str(), false) => Ok(uri),
            _ => Err(Fault::Target),
        },
    }
}

/// Checks `Host`: exactly one, and one that a URI could hold (section 3.2; RFC 9110, section 7.2).
pub(crate) fn host(fields: &HeaderMap, version: Version) -> Result<(), Fault> {
    let mut hosts = fields.get_all(HOST).iter();
    match (hosts.next(), hosts.next()) {
        (None, _) if version < Version::HTTP_11 => Ok(()),
        (Some(one), None) if one.to_str().is_ok_and(|h| is_host(h, true)) => Ok(()),
        _ => Err(Fault::Host),
    }
}

/// `uri-host [ ":" port ]` (RFC 3986, section 3.2.2); a user before the host is refused (RFC 9110, section 4.2.4).
fn is_host(text: &str, may_be_empty: bool) -> bool {
    let (host, port) = match text.strip_prefix('[').and_then(|t| t.split_once(']')) {
        Some((v6, rest)) => {
            let Some(port) = rest.strip_prefix(':').or(rest.is_empty().then_some("")) else { return false };
            return v6.parse::<std::net::Ipv6Addr>().is_ok() && is_port(port);
        }
        None => text.split_once(':').unwrap_or((text, "")),
    };
    let named = host.bytes().all(|b| b.is_ascii_alphanumeric() || b"-._~%!$&'()*+,;=".contains(&b));
    named && is_port(port) && (may_be_empty || !host.is_empty())
}

fn is_port(text: &str) -> bool {
    text.is_empty() || (text.bytes().all(|b| b.is_ascii_digit()) && text.parse::<u16>().is_ok())
}
