//! Messages on their way in, as states.

use crate::body::{Body, Framing};
use crate::fault::Fault;
use crate::head;
use http::header::EXPECT;
use http::{Method, Request, Response, StatusCode, Version};

/// The most that a message may take, in bytes.
#[derive(Clone, Copy, Debug)]
pub struct Limits {
    /// Longest head, its start line included.
    pub head: usize,
    /// Longest body, without the lines of its chunks.
    pub body: usize,
}

/// A whole message.
#[derive(Debug)]
pub struct Message<T> {
    /// The request or response.
    pub value: T,
    /// Whether its connection may serve another.
    pub keep_alive: bool,
}

/// How far the decoding of a message has come.
#[derive(Debug)]
pub enum Step<T> {
    /// It is not all there yet. True: its peer waits for `100 Continue` before it sends the body.
    More(bool),
    /// It is whole; what follows it is still in the input.
    Whole(Message<T>),
}

#[derive(Debug)]
struct Begun<T> {
    value: T,
    keep_alive: bool,
    expects: bool,
    body: Body,
}

/// Decodes the requests of one connection, one after another.
#[derive(Debug)]
pub struct RequestDecoder {
    limits: Limits,
    /// The request whose head is in.
    begun: Option<Begun<Request<Vec<u8>>>>,
}

impl RequestDecoder {
    /// A decoder at the beginning of a connection.
    pub fn new(limits: Limits) -> Self {
        RequestDecoder { limits, begun: None }
    }

    /// Takes what it can use from `input`.
    pub fn step(&mut self, input: &mut Vec<u8>) -> Result<Step<Request<Vec<u8>>>, Fault> {
        if self.begun.is_none() {
            // Old clients end a body with a line's end that belongs to nothing (section 2.2).
            let blank = input.chunks_exact(2).take_while(|c| c == b"\r\n").count();
            input.drain(..2 * blank);
            match request_head(input, self.limits)? {
                Some((begun, length)) => {
                    self.begun = Some(begun);
                    input.drain(..length);
                }
                None => return Ok(Step::More(false)),
            }
        }
        step_body(&mut self.begun, input, |r| r.body_mut())
    }
}

/// Decodes the responses of one connection, one after another; each says where its body ends, unless it may end with it.
#[derive(Debug)]
pub struct ResponseDecoder {
    limits: Limits,
    begun: Option<Begun<Response<Vec<u8>>>>,
    /// Whether a body may end with its connection.
    to_end: bool,
}

impl ResponseDecoder {
    /// A decoder at the beginning of a connection.
    pub fn new(limits: Limits) -> Self {
        ResponseDecoder { limits, begun: None, to_end: false }
    }

    /// The same, and a response may also end with its connection (RFC 9112, section 6.3). Only for a body that tells by
    /// itself whether it was cut off.
    pub fn to_end(limits: Limits) -> Self {
        ResponseDecoder { to_end: true, ..ResponseDecoder::new(limits) }
    }

    /// The connection has ended in order, and not by a reset: the response that was whole with that, if one was.
    pub fn ended(&mut self) -> Option<Message<Response<Vec<u8>>>> {
        let begun = self.begun.take_if(|begun| begun.body.ends())?;
        let mut value = begun.value;
        *value.body_mut() = begun.body.data;
        Some(Message { value, keep_alive: false })
    }

    /// Takes what it can use from `input`. Interim responses (RFC 9110, section 15.2) are passed over.
    pub fn step(&mut self, input: &mut Vec<u8>) -> Result<Step<Response<Vec<u8>>>, Fault> {
        while self.begun.is_none() {
            let Some((begun, length)) = response_head(input, self.limits, self.to_end)? else {
                return Ok(Step::More(false));
            };
            input.drain(..length);
            if !begun.value.status().is_informational() {
                self.begun = Some(begun);
            }
        }
        step_body(&mut self.begun, input, |r| r.body_mut())
    }
}

fn step_body<T>(
    state: &mut Option<Begun<T>>,
    input: &mut Vec<u8>,
    body_of: impl Fn(&mut T) -> &mut Vec<u8>,
) -> Result<Step<T>, Fault> {
    let Some(begun) = state else { return Ok(Step::More(false)) };
    let waits = begun.expects && input.is_empty() && begun.body.data.is_empty();
    let (used, whole) = begun.body.take(input)?;
    input.drain(..used);
    match state.take_if(|_| whole) {
        Some(mut begun) => {
            *body_of(&mut begun.value) = begun.body.data;
            Ok(Step::Whole(Message { value: begun.value, keep_alive: begun.keep_alive }))
        }
        None => Ok(Step::More(waits)),
    }
}

/// The head that `input` begins with, and its length.
#[allow(clippy::type_complexity)]
fn request_head(input: &[u8], limits: Limits) -> Result<Option<(Begun<Request<Vec<u8>>>, usize)>, Fault> {
    let mut parsed = [httparse::EMPTY_HEADER; head::FIELDS];
    let mut head = httparse::Request::new(&mut parsed);
    let length = match head.parse(input) {
        Ok(httparse::Status::Complete(length)) if length <= limits.head => length,
        Ok(httparse::Status::Partial) if input.len() <= limits.head => return Ok(None),
        // A line as long as all that a head may hold: it is the target that is too long.
        Ok(_) if !input[..limits.head].contains(&b'\n') => return Err(Fault::TargetTooLong),
        Ok(_) | Err(httparse::Error::TooManyHeaders) => return Err(Fault::HeadTooLong),
        Err(httparse::Error::Version) => return later_minor(input, limits),
        Err(_) => return Err(Fault::Head),
    };
    let version = if head.version == Some(0) { Version::HTTP_10 } else { Version::HTTP_11 };
    let method = Method::from_bytes(head.method.unwrap_or_default().as_bytes()).map_err(|_| Fault::Head)?;
    let uri = head::target(&method, head.path.unwrap_or_default())?;
    let fields = head::fields(head.headers)?;
    head::host(&fields, version)?;
    let framing = match head::framing(&fields, version)? {
        // A PUT may say all in its target, and then has no body (section 6.3).
        None if [Method::POST, Method::PATCH].contains(&method) => {
            return Err(Fault::LengthRequired);
        }
        framing => framing.unwrap_or(Framing::Length(0)),
    };
    let expects = fields.get(EXPECT).is_some_and(|v| v.as_bytes().eq_ignore_ascii_case(b"100-continue"));
    let keep_alive = head::keeps_alive(&fields, version);
    let mut value = Request::new(Vec::new());
    *value.method_mut() = method;
    *value.uri_mut() = uri;
    *value.version_mut() = version;
    *value.headers_mut() = fields;
    let expects = expects && version == Version::HTTP_11 && framing != Framing::Length(0);
    let body = Body::new(framing, limits.body)?;
    Ok(Some((Begun { value, keep_alive, expects, body }, length)))
}

/// A later minor version is read as the latest one known (RFC 9110, section 2.5); another major one is not.
#[allow(clippy::type_complexity)]
fn later_minor(input: &[u8], limits: Limits) -> Result<Option<(Begun<Request<Vec<u8>>>, usize)>, Fault> {
    let line = input.iter().position(|b| *b == b'\n').unwrap_or(input.len());
    let Some(at) = input[..line].windows(7).position(|w| w == b"HTTP/1.") else { return Err(Fault::Version) };
    match &input[at + 7..] {
        [b'2'..=b'9'] => Ok(None),
        [b'2'..=b'9', b'\r' | b'\n', ..] => {
            let mut known = input.to_vec();
            known[at + 7] = b'1';
            request_head(&known, limits)
        }
        _ => Err(Fault::Version),
    }
}

#[allow(clippy::type_complexity)]
fn response_head(
    input: &[u8],
    limits: Limits,
    to_end: bool,
) -> Result<Option<(Begun<Response<Vec<u8>>>, usize)>, Fault> {
    let mut parsed = [httparse::EMPTY_HEADER; head::FIELDS];
    let mut head = httparse::Response::new(&mut parsed);
    let length = match head.parse(input) {
        Ok(httparse::Status::Complete(length)) if length <= limits.head => length,
        Ok(httparse::Status::Partial) if input.len() <= limits.head => return Ok(None),
        Ok(_) | Err(httparse::Error::TooManyHeaders) => return Err(Fault::HeadTooLong),
        Err(_) => return Err(Fault::Head),
    };
    let version = if head.version == Some(0) { Version::HTTP_10 } else { Version::HTTP_11 };
    let status = StatusCode::from_u16(head.code.unwrap_or_default()).map_err(|_| Fault::Head)?;
    let fields = head::fields(head.headers)?;
    let bodiless = status.is_informational() || [204, 304].contains(&status.as_u16());
    let framing = match head::framing(&fields, version)? {
        _ if bodiless => Framing::Length(0),
        None if to_end => Framing::ToEnd,
        // One that ends with its connection (section 6.3) can't be told from one that was cut off.
        None => return Err(Fault::LengthRequired),
        Some(framing) => framing,
    };
    let keep_alive = head::keeps_alive(&fields, version);
    let mut value = Response::new(Vec::new());
    *value.status_mut() = status;
    *value.version_mut() = version;
    *value.headers_mut() = fields;
    let body = Body::new(framing, limits.body)?;
    Ok(Some((Begun { value, keep_alive, expects: false, body }, length)))
}
