//! Decoding of a query from an HTTP request.

use brookbend::api::{Semantics, Settings};
use http::{HeaderMap, Method, Request};
use plover_model::query::{Names, PartSpec, QueryRequest, Reply};
use plover_model::time::{MILLI, Micros, millis};
use plover_routes::{CompiledRoutes, QueryAttributes};
use serde::Deserialize;
use std::rc::Rc;

/// Maximum length in bytes of a request id or an idempotency key. Both are sent in every frame to data
/// servers.
const MAX_TOKEN_LENGTH: usize = 256;
/// Maximum deadline that a client may request, and maximum work that it may estimate for a part.
const MAX_DURATION: Micros = 3_600_000_000;
/// Maximum difference between the sum of all weights and 1, since clients send rounded weights. It holds for
/// up to 100 parts.
const WEIGHT_SUM_TOLERANCE: f64 = 0.01;
/// Maximum difference per part in queries of more than 100 parts.
const WEIGHT_TOLERANCE: f64 = WEIGHT_SUM_TOLERANCE / 100.0;

#[derive(Deserialize)]
struct Body {
    ranges: Vec<RangeBody>,
    predicate: String,
}

#[derive(Deserialize)]
struct RangeBody {
    range: usize,
    portion: f64,
    price: Option<f64>,
}

fn bad_request<T>(status: u16, why: impl Into<String>) -> Result<T, Reply> {
    Err(Reply::Bad { status, why: why.into() })
}

/// Returns the name of the class of a request, which is the first segment of its path.
pub(crate) fn class_name(request: &Request<Vec<u8>>) -> &str {
    request.uri().path().trim_start_matches('/').split('/').next().unwrap_or_default()
}

/// The answer to a request whose path names no class.
pub(crate) fn unknown_class() -> Reply {
    Reply::Bad { status: 404, why: "the path names no class".to_owned() }
}

/// Decodes a query from a request. The error is the answer to the client.
pub fn decode(
    request: &Request<Vec<u8>>,
    names: &Names,
    settings: &Settings,
    routes: &CompiledRoutes,
) -> Result<QueryRequest, Reply> {
    let class = names.class(class_name(request)).ok_or_else(unknown_class)?;
    decode_as(request, class, names, settings, routes)
}

/// Decodes a query of the class with this index from a request. The error is the answer to the client.
pub(crate) fn decode_as(
    request: &Request<Vec<u8>>,
    class: usize,
    names: &Names,
    settings: &Settings,
    routes: &CompiledRoutes,
) -> Result<QueryRequest, Reply> {
    let headers = request.headers();
    if request.method() != Method::POST {
        return bad_request(if is_standard(request.method()) { 405 } else { 501 }, "a query is a POST");
    }
    if headers.get("x-class").is_some_and(|c| c.as_bytes() != names.classes[class].as_bytes()) {
        return bad_request(400, "X-Class is not the path's class");
    }
    let id = token(headers, "x-request-id")?;
    let Some(id) = id else { return bad_request(400, "X-Request-Id is missing") };
    let tenant_name = headers.get("x-tenant");
    let named_tenant = tenant_name.and_then(|name| names.tenant(name.as_bytes()));
    let tenant = match (named_tenant.or_else(|| names.implicit_tenant()), tenant_name) {
        (Some(tenant), _) => tenant,
        (None, Some(_)) => return bad_request(400, "X-Tenant names no tenant"),
        (None, None) => return bad_request(400, "X-Tenant is missing"),
    };
    let keyed = !matches!(settings.classes[class].semantics, Semantics::Safe);
    let idempotency_key = token(headers, "idempotency-key")?.filter(|_| keyed);
    if idempotency_key.is_none() && matches!(settings.classes[class].semantics, Semantics::Keyed { .. }) {
        return bad_request(400, "Idempotency-Key is missing");
    }
    let max_timeout = millis(settings.classes[class].give_up);
    let client_timeout = match headers.get("x-deadline") {
        None => max_timeout,
        Some(text) => match text.to_str().ok().and_then(parse_deadline) {
            Some(timeout) => timeout.min(max_timeout),
            None => return bad_request(400, "X-Deadline is not a number with the unit m or u"),
        },
    };
    let body: Body = match serde_json::from_slice(request.body()) {
        Ok(body) => body,
        Err(e) => return bad_request(400, format!("the body is malformed: {e}")),
    };
    let attributes = QueryAttributes {
        path: request.uri().path(),
        class: &names.classes[class],
        tenant: names.tenants.get(tenant).map_or("", String::as_str),
        headers,
    };
    Ok(QueryRequest {
        limits: routes.limits_for(class, &attributes).clone(),
        id,
        class,
        tenant,
        client_timeout,
        is_retry: headers.get("x-retry").is_some_and(|v| v == "1"),
        idempotency_key,
        parts: decode_parts(body.ranges, settings.shards)?,
        predicate: body.predicate.into(),
    })
}

fn decode_parts(ranges: Vec<RangeBody>, shards: usize) -> Result<Vec<PartSpec>, Reply> {
    if ranges.is_empty() {
        return bad_request(400, "ranges is empty");
    }
    let mut seen = vec![false; shards];
    let mut parts = Vec::with_capacity(ranges.len());
    for range in ranges {
        // The id of a part is derived from its shard, so two parts of one shard could not be distinguished.
        match seen.get_mut(range.range) {
            Some(seen) if !*seen => *seen = true,
            Some(_) => return bad_request(400, "a range is given twice"),
            None => return bad_request(400, "a range is out of bounds"),
        }
        if !(0.0..=1.0).contains(&range.portion) {
            return bad_request(400, "a portion is out of bounds");
        }
        if !range.price.is_none_or(|p| (0.0..=MAX_DURATION as f64).contains(&p)) {
            return bad_request(400, "a price is out of bounds");
        }
        let work_hint = range.price.map(|p| p as Micros).filter(|p| *p > 0);
        parts.push(PartSpec { shard: range.range, weight: range.portion, work_hint });
    }
    // The weights decide whether an answer is complete and whether a partial answer is allowed. If they do
    // not add up to 1, no answer would be correct.
    if (parts.iter().map(|p| p.weight).sum::<f64>() - 1.0).abs()
        > WEIGHT_SUM_TOLERANCE.max(parts.len() as f64 * WEIGHT_TOLERANCE)
    {
        return bad_request(400, "the portions do not add up to 1");
    }
    Ok(parts)
}

/// Reads a header whose value is copied into frames, where a space, a comma or a line break would start
/// another field. `None` if the header is missing.
fn token(headers: &HeaderMap, name: &str) -> Result<Option<Rc<str>>, Reply> {
    let mut values = headers.get_all(name).iter();
    let Some(value) = values.next() else { return Ok(None) };
    // A header that occurs twice is rejected: a proxy in front of the broker may have used the other value.
    let value = value.to_str().ok().filter(|_| values.next().is_none());
    let is_printable = |v: &&str| v.bytes().all(|b| b.is_ascii_graphic() && b != b',');
    match value.filter(is_printable).filter(|v| !v.is_empty() && v.len() <= MAX_TOKEN_LENGTH) {
        Some(value) => Ok(Some(value.into())),
        None => bad_request(400, format!("{name} is malformed")),
    }
}

/// Returns whether RFC 9110 (section 9) or RFC 5789 defines the method. Other methods are answered as not
/// implemented.
pub(crate) fn is_standard(method: &Method) -> bool {
    [
        Method::GET,
        Method::HEAD,
        Method::POST,
        Method::PUT,
        Method::DELETE,
        Method::CONNECT,
        Method::OPTIONS,
        Method::TRACE,
        Method::PATCH,
    ]
    .contains(method)
}

fn parse_deadline(text: &str) -> Option<Micros> {
    let (number, unit) = text.split_at_checked(text.len().checked_sub(1)?)?;
    let unit = match unit {
        "m" => MILLI as f64,
        "u" => 1.0,
        _ => return None,
    };
    // `f64::from_str` would also accept signs, exponents and words such as "inf".
    if !number.bytes().all(|b| b.is_ascii_digit() || b == b'.') {
        return None;
    }
    let micros = number.parse::<f64>().ok()? * unit;
    (micros <= MAX_DURATION as f64).then_some(micros as Micros)
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn deadlines_have_a_unit() {
        assert_eq!(parse_deadline("480m"), Some(480_000));
        assert_eq!(parse_deadline("1.5m"), Some(1500));
        assert_eq!(parse_deadline("480u"), Some(480));
        assert_eq!(parse_deadline("3600000m"), Some(MAX_DURATION));
        for text in
            ["", "m", "480", "480s", "-1m", "+1m", "1e3m", "NaNm", "infm", "4\u{e9}", "9999999999999m"]
        {
            assert_eq!(parse_deadline(text), None, "{text}");
        }
    }
}
