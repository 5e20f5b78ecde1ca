//! Encoding of answers as HTTP responses.

use crate::RequestConfigHistory;
use http::header::{ALLOW, CONTENT_TYPE, HeaderValue, RETRY_AFTER};
use http::{HeaderMap, StatusCode};
use plover_model::query::Reply;
use plover_model::time::{Micros, millis};
use serde::Serialize;
use std::time::SystemTime;

/// Advised retry time for clients that got no connection slot. By then idle connections and incomplete
/// requests have timed out.
const NO_SLOT_RETRY_AFTER: Micros = 2_000_000;

/// An HTTP response with its complete body.
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

/// Returns the value of a `Date` header for this time (RFC 9110, section 5.6.7).
pub fn date_header(now: SystemTime) -> HeaderValue {
    HeaderValue::try_from(httpdate::fmt_http_date(now)).unwrap_or(HeaderValue::from_static(""))
}

fn response(status: u16, body: Vec<u8>) -> Response {
    let mut response = http::Response::new(body);
    *response.status_mut() = StatusCode::from_u16(status).unwrap_or(StatusCode::INTERNAL_SERVER_ERROR);
    response
}

/// Builds an error response. `allow` lists the allowed methods for the `Allow` header; if it is empty, the
/// header is left out.
pub(crate) fn error(status: u16, allow: &'static str, why: &str) -> Response {
    let body = if why.is_empty() { Vec::new() } else { format!("{why}\n").into_bytes() };
    let mut response = response(status, body);
    if !allow.is_empty() {
        response.headers_mut().insert(ALLOW, HeaderValue::from_static(allow));
    }
    response
}

/// Builds a plain-text response. `allow` lists the allowed methods for the `Allow` header; if it is empty,
/// the header is left out.
pub fn plain_text(status: u16, allow: &'static str, text: &str) -> Response {
    let mut response = error(status, allow, text.trim_end());
    response.headers_mut().insert(CONTENT_TYPE, HeaderValue::from_static("text/plain; charset=utf-8"));
    response
}

/// Builds the response to `OPTIONS *`, which asks about the server as a whole.
pub(crate) fn options() -> Response {
    error(204, "GET, HEAD, OPTIONS, POST", "")
}

pub(crate) fn ready(ready: bool) -> Response {
    response(if ready { 200 } else { 503 }, Vec::new())
}

fn insert_retry_after(headers: &mut HeaderMap, retry_after: Option<Micros>) {
    // RFC 9110 allows only whole seconds, but clients of this protocol also read fractions.
    let seconds = retry_after.map(|time| format!("{:.3}", time as f64 / 1e6));
    if let Some(value) = seconds.and_then(|s| HeaderValue::try_from(s).ok()) {
        headers.insert(RETRY_AFTER, value);
    }
}

/// Encodes the final answer of a query as a response.
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
            insert_retry_after(response.headers_mut(), *retry_after);
            response
        }
        Reply::Failed => error(502, "", "failed"),
        Reply::Bad { status, why } => error(*status, if *status == 405 { "POST" } else { "" }, why),
    }
}

/// Builds the response to a client whose connection is refused because all connection slots are in use.
pub fn connection_refusal(configs: &RequestConfigHistory) -> Response {
    let max_retry_after = configs.latest().settings.as_ref().and_then(|s| s.max_retry_after);
    let retry_after = max_retry_after.map(|max| millis(max).min(NO_SLOT_RETRY_AFTER));
    encode_reply(&Reply::Refused { retry_after })
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn refusals_have_a_retry_after_header() {
        let response = encode_reply(&Reply::Refused { retry_after: Some(1_250_400) });
        assert_eq!(
            (response.status().as_u16(), &response.headers()["retry-after"]),
            (503, &"1.250".parse().unwrap())
        );
    }

    #[test]
    fn method_errors_list_the_allowed_methods() {
        let response = encode_reply(&Reply::Bad { status: 405, why: "a query is a POST".into() });
        assert_eq!(response.headers()["allow"], "POST");
    }

    #[test]
    fn dates_have_the_format_of_http() {
        let at = SystemTime::UNIX_EPOCH + std::time::Duration::from_secs(784_111_777);
        assert_eq!(date_header(at), "Sun, 06 Nov 1994 08:49:37 GMT");
    }
}
