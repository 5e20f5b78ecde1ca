//! From an HTTP request to what it asks.

use brookbend::api::{Semantics, Settings};
use http::{HeaderMap, Method, Request};
use plover_model::query::{Names, PartSpec, QueryRequest, Reply};
use plover_model::time::{MILLI, Micros, millis};
use plover_routes::{CompiledRoutes, QueryAttributes};
use serde::Deserialize;
use std::rc::Rc;

/// Longest request id or idempotency key: they travel in every frame.
const TOKEN_CAP: usize = 256;
/// Longest time that a client may ask for, and most work that it may guess at.
const LONGEST: Micros = 3_600_000_000;
/// Weights may miss their sum by so much, they are rounded on their way: up to a hundred of them together, and each beyond.
const ROUNDING: f64 = 0.01;
const ROUNDING_EACH: f64 = ROUNDING / 100.0;

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

fn bad<T>(status: u16, why: impl Into<String>) -> Result<T, Reply> {
    Err(Reply::Bad { status, why: why.into() })
}

/// Decodes a request for a class. The error is the answer that it is owed.
pub fn decode(
    request: &Request<Vec<u8>>,
    names: &Names,
    settings: &Settings,
    routes: &CompiledRoutes,
) -> Result<QueryRequest, Reply> {
    let m = request.headers();
    let first = request.uri().path().trim_start_matches('/').split('/').next().unwrap_or_default();
    let Some(class) = names.class(first) else {
        return bad(404, "the path names no class");
    };
    if request.method() != Method::POST {
        return bad(if is_standard(request.method()) { 405 } else { 501 }, "a query is a POST");
    }
    if m.get("x-class").is_some_and(|c| c.as_bytes() != names.classes[class].as_bytes()) {
        return bad(400, "X-Class is not the path's class");
    }
    let id = token(m, "x-request-id")?;
    let Some(id) = id else { return bad(400, "X-Request-Id is missing") };
    let tenant = match (names.implicit_tenant(), m.get("x-tenant")) {
        (Some(only), _) => only,
        (None, Some(name)) => match names.tenant(name.as_bytes()) {
            Some(tenant) => tenant,
            None => return bad(400, "X-Tenant names no tenant"),
        },
        (None, None) => return bad(400, "X-Tenant is missing"),
    };
    let keyed = !matches!(settings.classes[class].semantics, Semantics::Safe);
    let key = token(m, "idempotency-key")?.filter(|_| keyed);
    if key.is_none() && matches!(settings.classes[class].semantics, Semantics::Keyed { .. }) {
        return bad(400, "Idempotency-Key is missing");
    }
    let usual = millis(settings.classes[class].give_up);
    let patience = match m.get("x-deadline") {
        None => usual,
        Some(text) => match text.to_str().ok().and_then(deadline) {
            Some(patience) => patience.min(usual),
            None => return bad(400, "X-Deadline is not a number with the unit m or u"),
        },
    };
    let body: Body = match serde_json::from_slice(request.body()) {
        Ok(body) => body,
        Err(e) => return bad(400, format!("the body is malformed: {e}")),
    };
    let facts = QueryAttributes {
        path: request.uri().path(),
        class: &names.classes[class],
        tenant: names.tenants.get(tenant).map_or("", String::as_str),
        headers: m,
    };
    Ok(QueryRequest {
        limits: routes.limits_for(class, &facts).clone(),
        id,
        class,
        tenant,
        client_timeout: patience,
        is_retry: m.get("x-retry").is_some_and(|v| v == "1"),
        idempotency_key: key,
        parts: parts(body.ranges, settings.shards)?,
        predicate: body.predicate.into(),
    })
}

fn parts(ranges: Vec<RangeBody>, shards: usize) -> Result<Vec<PartSpec>, Reply> {
    if ranges.is_empty() {
        return bad(400, "ranges is empty");
    }
    let mut seen = vec![false; shards];
    let mut parts = Vec::with_capacity(ranges.len());
    for r in ranges {
        // A part's id is made of its shard: two of one shard could not be told apart.
        match seen.get_mut(r.range) {
            Some(seen) if !*seen => *seen = true,
            Some(_) => return bad(400, "a range is given twice"),
            None => return bad(400, "a range is out of bounds"),
        }
        if !(0.0..=1.0).contains(&r.portion) {
            return bad(400, "a portion is out of bounds");
        }
        if !r.price.is_none_or(|p| (0.0..=LONGEST as f64).contains(&p)) {
            return bad(400, "a price is out of bounds");
        }
        let hint = r.price.map(|p| p as Micros).filter(|p| *p > 0);
        parts.push(PartSpec { shard: r.range, weight: r.portion, work_hint: hint });
    }
    // What is whole, and what may be answered in part, is judged by these: a query that asks for more or less
    // than itself has no right answer.
    if (parts.iter().map(|p| p.weight).sum::<f64>() - 1.0).abs()
        > ROUNDING.max(parts.len() as f64 * ROUNDING_EACH)
    {
        return bad(400, "the portions do not add up to 1");
    }
    Ok(parts)
}

/// A header whose value goes into frames: there a space, a comma or a line's end would forge another field.
fn token(m: &HeaderMap, name: &str) -> Result<Option<Rc<str>>, Reply> {
    let mut values = m.get_all(name).iter();
    let Some(value) = values.next() else { return Ok(None) };
    // Two ids are none: whoever stands in front may have gone by the other one.
    let value = value.to_str().ok().filter(|_| values.next().is_none());
    let plain = |v: &&str| v.bytes().all(|b| b.is_ascii_graphic() && b != b',');
    match value.filter(plain).filter(|v| !v.is_empty() && v.len() <= TOKEN_CAP) {
        Some(value) => Ok(Some(value.into())),
        None => bad(400, format!("{name} is malformed")),
    }
}

/// Whether the method is one that RFC 9110 (section 9) or RFC 5789 defines; any other is not implemented.
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

fn deadline(text: &str) -> Option<Micros> {
    let (number, unit) = text.split_at_checked(text.len().checked_sub(1)?)?;
    let unit = match unit {
        "m" => MILLI as f64,
        "u" => 1.0,
        _ => return None,
    };
    // Digits alone: the language's own reading takes signs, exponents and words like "inf".
    if !number.bytes().all(|b| b.is_ascii_digit() || b == b'.') {
        return None;
    }
    let micros = number.parse::<f64>().ok()? * unit;
    (micros <= LONGEST as f64).then_some(micros as Micros)
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn deadlines_have_a_unit() {
        assert_eq!(deadline("480m"), Some(480_000));
        assert_eq!(deadline("1.5m"), Some(1500));
        assert_eq!(deadline("480u"), Some(480));
        assert_eq!(deadline("3600000m"), Some(LONGEST));
        for text in
            ["", "m", "480", "480s", "-1m", "+1m", "1e3m", "NaNm", "infm", "4\u{e9}", "9999999999999m"]
        {
            assert_eq!(deadline(text), None, "{text}");
        }
    }
}
