//! Decodes requests to the admin listener.

use http::{Method, Request};

/// An operator's request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Call {
    /// `GET /api/ready`: whether this process is ready for clients.
    Ready,
    /// `GET /api/telemetry`: returns the metrics.
    Telemetry,
    /// `PUT /api/evacuate`: drain the client connections but keep the process running.
    Evacuate,
    /// `PUT /api/rejoin`: serve clients again after `evacuate`.
    Rejoin,
}

/// Why a request to the admin listener is rejected.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum BadCall {
    /// The path is unknown.
    Path,
    /// The path does not support the request's method; holds the supported methods for the header `Allow`.
    Method(&'static str),
    /// The request has a body, which no call takes.
    Body,
    /// The connection carried more bytes after the request; only one call is allowed per connection.
    TrailingData,
}

impl BadCall {
    /// Returns the HTTP status of the response (RFC 9110, section 15.5).
    pub fn status(self) -> u16 {
        match self {
            BadCall::Path => 404,
            BadCall::Method(_) => 405,
            BadCall::Body | BadCall::TrailingData => 400,
        }
    }

    /// Returns the value of the header `Allow` for an unsupported method, or an empty string for another
    /// error.
    pub fn allow(self) -> &'static str {
        if let BadCall::Method(allow) = self { allow } else { "" }
    }

    /// Returns the body of the response, which states the error.
    pub fn explanation(self) -> &'static str {
        match self {
            BadCall::Path => {
                "no such call: there are GET /api/ready, GET /api/telemetry, PUT /api/evacuate and PUT /api/rejoin"
            }
            BadCall::Method(_) => "this call has another method, see Allow",
            BadCall::Body => "a call has no body",
            BadCall::TrailingData => "one call to a connection",
        }
    }
}

/// Decodes a complete request; `trailing_bytes` is the number of bytes already received after it on its
/// connection.
pub fn decode(request: &Request<Vec<u8>>, trailing_bytes: usize) -> Result<Call, BadCall> {
    let (call, method, allow) = match request.uri().path() {
        "/api/ready" => (Call::Ready, Method::GET, "GET, HEAD"),
        "/api/telemetry" => (Call::Telemetry, Method::GET, "GET, HEAD"),
        "/api/evacuate" => (Call::Evacuate, Method::PUT, "PUT"),
        "/api/rejoin" => (Call::Rejoin, Method::PUT, "PUT"),
        _ => return Err(BadCall::Path),
    };
    let is_head_for_get = request.method() == Method::HEAD && method == Method::GET;
    if request.method() != method && !is_head_for_get {
        return Err(BadCall::Method(allow));
    }
    if !request.body().is_empty() {
        return Err(BadCall::Body);
    }
    if trailing_bytes > 0 {
        return Err(BadCall::TrailingData);
    }
    Ok(call)
}

#[cfg(test)]
mod tests {
    use super::*;

    fn request(method: &str, path: &str, body: &str) -> Request<Vec<u8>> {
        Request::builder().method(method).uri(path).body(body.as_bytes().to_vec()).unwrap()
    }

    #[test]
    fn decodes_calls_and_rejects_other_requests() {
        for (method, path, expected) in [
            ("GET", "/api/ready", Ok(Call::Ready)),
            ("HEAD", "/api/ready", Ok(Call::Ready)),
            ("GET", "/api/telemetry?all=1", Ok(Call::Telemetry)),
            ("PUT", "/api/evacuate", Ok(Call::Evacuate)),
            ("PUT", "/api/rejoin", Ok(Call::Rejoin)),
            ("GET", "/api/evacuate", Err(BadCall::Method("PUT"))),
            ("HEAD", "/api/rejoin", Err(BadCall::Method("PUT"))),
            ("POST", "/api/telemetry", Err(BadCall::Method("GET, HEAD"))),
            ("GET", "/api/ready/", Err(BadCall::Path)),
            ("GET", "/", Err(BadCall::Path)),
        ] {
            assert_eq!(decode(&request(method, path, ""), 0), expected, "{method} {path}");
        }
        assert_eq!(decode(&request("PUT", "/api/evacuate", "now"), 0), Err(BadCall::Body));
        assert_eq!(decode(&request("PUT", "/api/evacuate", ""), 3), Err(BadCall::TrailingData));
    }
}
