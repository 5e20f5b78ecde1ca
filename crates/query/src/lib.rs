//! What HTTP means to the broker, whatever its version: which requests there are, how a query is read from one, and
//! how each end of a query is told (RFC 9110). How messages are framed on a connection is known elsewhere; every
//! front decodes with [`route`] and encodes what it gets.

mod answer;
mod ask;
mod terms;

pub use answer::{Response, date, final_answer, plain, refuse_connection};
pub use ask::decode;
pub use terms::{BINDS, Changing, Terms};

use http::{Method, Request};
use plover_model::query::Ask;
use plover_model::time::Micros;

/// Longest body of a request, in bytes.
pub const BODY_CAP: usize = 64 * 1024;
/// Longest head of a request, in bytes as HTTP/1.1 has it, or as RFC 9113 section 6.5.2 counts a header list.
pub const HEAD_CAP: usize = 16 * 1024;
/// Where a front asks whether the broker takes queries.
const READY_PATH: &str = "/-/ready";

/// What a request wants.
#[derive(Debug)]
pub enum Routed {
    /// A query, to be handed in.
    Query(Ask),
    /// It is answered already.
    Answered {
        /// The answer.
        response: Response,
        /// Whether its client is a usual one, which asks what can be used.
        usable: bool,
    },
}

/// Says what a whole request wants that came at this moment; `ready` is whether the broker takes queries.
pub fn route(request: &Request<Vec<u8>>, ready: bool, terms: &Changing, at: Micros) -> Routed {
    let answered = |response, usable| Routed::Answered { response, usable };
    if request.uri() == "*" {
        return answered(answer::options(), true);
    }
    if request.uri().path() == READY_PATH {
        return match *request.method() {
            Method::GET | Method::HEAD => answered(answer::ready(ready), true),
            ref other if ask::is_standard(other) => answered(answer::error(405, "GET, HEAD", ""), false),
            _ => answered(answer::error(501, "", ""), false),
        };
    }
    match terms.read(at, request) {
        Ok(ask) => Routed::Query(ask),
        Err(reply) => answered(final_answer(&reply), false),
    }
}
