//! What HTTP means to the broker, whatever its version: which requests there are, how a query is read from one, and
//! how each end of a query is told (RFC 9110). How messages are framed on a connection is known elsewhere; every
//! front decodes with [`route`] and encodes what it gets.

mod decode;
mod request_config;
mod response;

pub use decode::decode;
pub use request_config::{RequestConfig, RequestConfigHistory, SETTINGS_EFFECTIVE_AFTER};
pub use response::{Response, connection_refusal, date_header, encode_reply, plain_text};

use http::{Method, Request};
use plover_model::query::QueryRequest;
use plover_model::time::Micros;

/// Longest body of a request, in bytes.
pub const MAX_BODY_LENGTH: usize = 64 * 1024;
/// Longest head of a request, in bytes as HTTP/1.1 has it, or as RFC 9113 section 6.5.2 counts a header list.
pub const MAX_HEAD_LENGTH: usize = 16 * 1024;
/// Where a front asks whether the broker takes queries.
const READY_PATH: &str = "/-/ready";

/// What a request wants.
#[derive(Debug)]
pub enum Routed {
    /// A query, to be handed in.
    Query(QueryRequest),
    /// It is answered already.
    Answered {
        /// The answer.
        response: Response,
        /// Whether its client is a usual one, which asks what can be used.
        usable: bool,
    },
}

/// Says what a whole request wants that came at this moment; `ready` is whether the broker takes queries.
pub fn route(request: &Request<Vec<u8>>, ready: bool, terms: &RequestConfigHistory, at: Micros) -> Routed {
    let answered = |response, usable| Routed::Answered { response, usable };
    if request.uri() == "*" {
        return answered(response::options(), true);
    }
    if request.uri().path() == READY_PATH {
        return match *request.method() {
            Method::GET | Method::HEAD => answered(response::ready(ready), true),
            ref other if decode::is_standard(other) => answered(response::error(405, "GET, HEAD", ""), false),
            _ => answered(response::error(501, "", ""), false),
        };
    }
    match terms.read(at, request) {
        Ok(ask) => Routed::Query(ask),
        Err(reply) => answered(encode_reply(&reply), false),
    }
}
