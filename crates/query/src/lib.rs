//! HTTP semantics of the broker, independent of the HTTP version (RFC 9110): the kinds of requests, the
//! decoding of a query from a request, and the encoding of its final answer as a response. The framing of
//! messages on a connection is implemented elsewhere. Every front decodes requests with [`route`] and encodes
//! the responses that it gets.

mod config_history;
mod decode;
mod request_config;
mod response;

pub use config_history::{Period, ReporterId, RequestConfigHistory, SETTINGS_EFFECTIVE_AFTER};
pub use decode::decode;
pub use request_config::RequestConfig;
pub use response::{Response, connection_refusal, date_header, encode_reply, plain_text};

use http::{Method, Request};
use plover_model::query::QueryRequest;
use plover_model::time::Micros;

/// Maximum length of the body of a request in bytes.
pub const MAX_BODY_LENGTH: usize = 64 * 1024;
/// Maximum length of the head of a request in bytes: as encoded in HTTP/1.1, or counted as a header list (RFC
/// 9113, section 6.5.2).
pub const MAX_HEAD_LENGTH: usize = 16 * 1024;
/// Path of the readiness check, which reports whether the broker accepts queries.
const READY_PATH: &str = "/-/ready";

/// The result of routing a request.
#[derive(Debug)]
pub enum Routed {
    /// A query to hand over to the event loop.
    Query(QueryRequest),
    /// A request that is answered without the event loop.
    Answered {
        /// Response to send.
        response: Response,
        /// Whether the request was a valid one, so that its connection counts as a useful one.
        usable: bool,
    },
}

/// Routes a complete request that was received at time `at`. `ready` is whether the broker accepts queries.
pub fn route(request: &Request<Vec<u8>>, ready: bool, configs: &RequestConfigHistory, at: Micros) -> Routed {
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
    match configs.decode(at, request) {
        Ok(query) => Routed::Query(query),
        Err(reply) => answered(encode_reply(&reply), false),
    }
}
