//! From the end of a query to an HTTP response.

use crate::RequestConfigHistory;
use http::header::{ALLOW, CONTENT_TYPE, HeaderValue, RETRY_AFTER};
use http::{HeaderMap, StatusCode};
use plover_model::query::Reply;
use plover_model::time::{Micros, millis};
use serde::Serialize;
use std::time::SystemTime;

/// When a client that found no seat is asked back: by then idle connections and half requests have ended.
const RETURN: Micros = 2_000_000;

/// A response whose body is whole.
pub type Response = http::Response<Vec<u8>>;

#[derive(Serialize)]
struct AnswerBody<'a> {
    total: bool,
    answers: Vec<ValueBody<'a>>,
}

#[derive(Serialize)]
struct ValueBody<'a> {
    range: usize,
    blob: &'a str,
}

/// The value of a `Date` field for this time (RFC 9110, section 5.6.7).
pub fn date_header(now: SystemTime) -> HeaderValue {
    HeaderValue::try_from(httpdate::fmt_http_date(now)).unwrap_or(HeaderValue::from_static(""))
}

fn response(status: u16, body: Vec<u8>) -> Response {
    let mut response = http::Response::new(body);
    *response.status_mut() = StatusCode::from_u16(status).unwrap_or(StatusCode::INTERNAL_SERVER_ERROR);
    response
}

/// An error, with the methods that are allowed instead, if any.
pub(crate) fn error(status: u16, allow: &'static str, why: &str) -> Response {
    let body = if why.is_empty() { Vec::new() } else { format!("{why}\n").into_bytes() };
    let mut response = response(status, body);
    if !allow.is_empty() {
        response.headers_mut().insert(ALLOW, HeaderValue::from_static(allow));
    }
    response
}

/// A text for a person or a script, with the methods that are allowed instead, if any.
pub fn plain_text(status: u16, allow: &'static str, text: &str) -> Response {
    let mut response = error(status, allow, text.trim_end());
    response.headers_mut().insert(CONTENT_TYPE, HeaderValue::from_static("text/plain; charset=utf-8"));
    response
}

/// The answer to `OPTIONS *`, which asks about the server as a whole.
pub(crate) fn options() -> Response {
    error(204, "GET, HEAD, OPTIONS, POST", "")
}

pub(crate) fn ready(ready: bool) -> Response {
    response(if ready { 200 } else { 503 }, Vec::new())
}

fn advise(headers: &mut HeaderMap, retry_after: Option<Micros>) {
    // Seconds, whole or decimal: clients of this protocol read fractions.
    let seconds = retry_after.map(|at| format!("{:.3}", at as f64 / 1e6));
    if let Some(value) = seconds.and_then(|s| HeaderValue::try_from(s).ok()) {
        headers.insert(RETRY_AFTER, value);
    }
}

/// Encodes the final answer of a query.
pub fn encode_reply(reply: &Reply) -> Response {
    match reply {
        Reply::Answer { whole, values } => {
            let answers = values.iter().map(|(range, blob)| ValueBody { range: *range, blob }).collect();
            let body = serde_json::to_vec(&AnswerBody { total: *whole, answers }).unwrap_or_default();
            let mut response = response(200, body);
            response.headers_mut().insert(CONTENT_TYPE, HeaderValue::from_static("application/json"));
            response
        }
        Reply::Refused { retry_after } => {
            let mut response = error(503, "", "refused: trying again is harmless");
            advise(response.headers_mut(), *retry_after);
            response
        }
        Reply::Failed => error(502, "", "failed"),
        Reply::Bad { status, why } => error(*status, if *status == 405 { "POST" } else { "" }, why),
    }
}

/// What a client is told whose connection finds no seat.
pub fn connection_refusal(terms: &RequestConfigHistory) -> Response {
    let most = terms.latest().settings.as_ref().and_then(|s| s.max_retry_after);
    let retry_after = most.map(|most| millis(most).min(RETURN));
    encode_reply(&Reply::Refused { retry_after })
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn refusals_tell_when_to_come_back() {
        let response = encode_reply(&Reply::Refused { retry_after: Some(1_250_400) });
        assert_eq!(
            (response.status().as_u16(), &response.headers()["retry-after"]),
            (503, &"1.250".parse().unwrap())
        );
    }

    #[test]
    fn a_method_that_is_not_allowed_is_told_which_is() {
        let response = encode_reply(&Reply::Bad { status: 405, why: "a query is a POST".into() });
        assert_eq!(response.headers()["allow"], "POST");
    }

    #[test]
    fn dates_have_the_form_of_the_field() {
        let at = SystemTime::UNIX_EPOCH + std::time::Duration::from_secs(784_111_777);
        assert_eq!(date_header(at), "Sun, 06 Nov 1994 08:49:37 GMT");
    }
}
