//! What can be wrong with a message.

use std::fmt;

/// Why a message cannot be used. Where it ends is unknown from then on, so its connection has to end too.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Fault {
    /// The start line or a field line breaks the grammar (RFC 9112, sections 2.2, 3 and 5).
    Head,
    /// The version is none of HTTP/1 (section 2.3); also what the preface of HTTP/2 looks like here.
    Version,
    /// The request line is too long (section 3).
    TargetTooLong,
    /// The target has none of the four forms, or one that the method does not allow (section 3.2).
    Target,
    /// `Host` is missing, given twice or malformed (section 3.2).
    Host,
    /// A tunnel is asked for, which is not offered (RFC 9110, section 9.3.6).
    Connect,
    /// The head is too long, or has too many fields (section 5).
    HeadTooLong,
    /// `Content-Length` is malformed, given twice, or stands beside a transfer coding (sections 6.2 and 6.3).
    Length,
    /// The transfer codings do not end in one `chunked`, or the message is HTTP/1.0 (section 6.1).
    Coding,
    /// A transfer coding that is not implemented (section 6.1).
    CodingUnknown,
    /// A request with a body by its method says nothing of its length (section 6.3).
    LengthRequired,
    /// The body is too long.
    BodyTooLong,
    /// A chunk is malformed (section 7.1).
    Chunk,
    /// The trailer section is malformed (section 7.1.2).
    Trailer,
}

impl Fault {
    /// The status that tells a client.
    pub fn status(self) -> u16 {
        match self {
            Fault::LengthRequired => 411,
            Fault::BodyTooLong => 413,
            Fault::TargetTooLong => 414,
            Fault::HeadTooLong => 431,
            Fault::Connect | Fault::CodingUnknown => 501,
            Fault::Version => 505,
            _ => 400,
        }
    }

    /// What is wrong, in words for the client.
    pub fn why(self) -> &'static str {
        match self {
            Fault::Head => "the head is malformed",
            Fault::Version => "the version is not HTTP/1.1",
            Fault::TargetTooLong => "the request line is too long",
            Fault::Target => "the request target is malformed",
            Fault::Host => "Host is missing, given twice or malformed",
            Fault::Connect => "CONNECT is not offered",
            Fault::HeadTooLong => "the head is too long",
            Fault::Length => "the length is malformed, given twice or beside a transfer coding",
            Fault::Coding => "the transfer codings do not end in chunked",
            Fault::CodingUnknown => "the transfer coding is unknown",
            Fault::LengthRequired => "the body has no length",
            Fault::BodyTooLong => "the body is too long",
            Fault::Chunk => "a chunk is malformed",
            Fault::Trailer => "the trailer is malformed or too long",
        }
    }
}

impl fmt::Display for Fault {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(self.why())
    }
}

impl std::error::Error for Fault {}
