//! A request at the operators' door.

use http::{Method, Request};

/// What an operator asks for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Call {
    /// `GET /api/ready`: whether this process takes clients.
    Ready,
    /// `GET /api/telemetry`: the figures.
    Telemetry,
    /// `PUT /api/evacuate`: empty the broker.
    Evacuate,
    /// `PUT /api/rejoin`: back to work.
    Rejoin,
}

/// A request that is no call.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum BadCall {
    /// No call has this path.
    Path,
    /// The path's call has another method.
    Method(&'static str),
    /// A call says all in its path.
    Body,
    /// More came on the connection than one call.
    TrailingData,
}

impl BadCall {
    /// The status of its answer (RFC 9110, section 15.5).
    pub fn status(self) -> u16 {
        match self {
            BadCall::Path => 404,
            BadCall::Method(_) => 405,
            BadCall::Body | BadCall::TrailingData => 400,
        }
    }

    /// The methods that are allowed instead, for the field `Allow`; empty where that is not what is wrong.
    pub fn allow(self) -> &'static str {
        if let BadCall::Method(allow) = self { allow } else { "" }
    }

    /// What is wrong, and what to do about it.
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

/// Reads a whole request; `rest` is how much more has come on its connection already.
pub fn decode(request: &Request<Vec<u8>>, rest: usize) -> Result<Call, BadCall> {
    let (call, method, allow) = match request.uri().path() {
        "/api/ready" => (Call::Ready, Method::GET, "GET, HEAD"),
        "/api/telemetry" => (Call::Telemetry, Method::GET, "GET, HEAD"),
        "/api/evacuate" => (Call::Evacuate, Method::PUT, "PUT"),
        "/api/rejoin" => (Call::Rejoin, Method::PUT, "PUT"),
        _ => return Err(BadCall::Path),
    };
    let head = request.method() == Method::HEAD && method == Method::GET;
    if request.method() != method && !head {
        return Err(BadCall::Method(allow));
    }
    if !request.body().is_empty() {
        return Err(BadCall::Body);
    }
    if rest > 0 {
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
    fn only_calls_are_calls() {
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
