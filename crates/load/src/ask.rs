//! A query as a client words it.

use http::{Request, Response};
use serde_json::{Value, json};
use std::time::Duration;

/// A query.
#[derive(Clone, Debug)]
pub struct Ask {
    /// The request's id, new with each.
    pub id: String,
    /// The class.
    pub class: String,
    /// The shards; each has an even portion.
    pub shards: Vec<usize>,
    /// How long its client waits.
    pub patience: Duration,
    /// The idempotency key, where the class needs one.
    pub key: Option<String>,
    /// The text that its parts carry.
    pub text: String,
}

/// The text that parts carry.
pub const TEXT: &str = "c41e77d0";

impl Ask {
    /// A query of this id for these shards.
    pub fn new(id: impl Into<String>, class: &str, shards: &[usize]) -> Self {
        let patience = Duration::from_secs(4);
        Ask {
            id: id.into(),
            class: class.to_owned(),
            shards: shards.to_vec(),
            patience,
            key: None,
            text: TEXT.to_owned(),
        }
    }

    /// With another text.
    pub fn saying(mut self, text: &str) -> Self {
        text.clone_into(&mut self.text);
        self
    }

    /// Under an idempotency key.
    pub fn under(mut self, key: &str) -> Self {
        self.key = Some(key.to_owned());
        self
    }

    /// With a client that waits so long.
    pub fn patience(mut self, patience: Duration) -> Self {
        self.patience = patience;
        self
    }

    /// Its request, whose target is a whole URI.
    pub fn request(&self) -> Request<Vec<u8>> {
        let portion = 1.0 / self.shards.len() as f64;
        let ranges: Vec<Value> =
            self.shards.iter().map(|s| json!({"range": s, "portion": portion})).collect();
        let body = json!({"ranges": ranges, "predicate": self.text}).to_string().into_bytes();
        let mut builder = Request::post(format!("http://broker.svc/{}", self.class))
            .header("x-request-id", &self.id)
            .header("x-class", &self.class)
            .header("x-tenant", "public-site")
            .header("x-deadline", format!("{}m", self.patience.as_millis()))
            .header("content-length", body.len());
        if let Some(key) = &self.key {
            builder = builder.header("idempotency-key", key);
        }
        builder.body(body).unwrap_or_default()
    }
}

/// How a query was answered.
#[derive(Clone, Debug, PartialEq)]
pub enum Answer {
    /// Served: whether it is marked whole, and the shards and values that are in.
    Served(bool, Vec<(usize, String)>),
    /// Refused, with the seconds after which to come back.
    Refused(Option<f64>),
    /// Any other status.
    Failed(u16),
    /// No answer: the stream was reset or the connection ended, for this reason.
    Reset(String),
}

impl Answer {
    /// Reads a response.
    pub fn of(response: &Response<Vec<u8>>) -> Self {
        match response.status().as_u16() {
            200 => {
                let body: Value = serde_json::from_slice(response.body()).unwrap_or(Value::Null);
                let values = body["answers"].as_array().map(|answers| {
                    let value = |a: &Value| {
                        (
                            a["range"].as_u64().unwrap_or(0) as usize,
                            a["blob"].as_str().unwrap_or_default().to_owned(),
                        )
                    };
                    answers.iter().map(value).collect()
                });
                Answer::Served(body["total"] == true, values.unwrap_or_default())
            }
            429 | 503 => {
                let after = response.headers().get("retry-after").and_then(|v| v.to_str().ok()?.parse().ok());
                Answer::Refused(after)
            }
            status => Answer::Failed(status),
        }
    }
}

/// A call without a body.
pub fn get(path: &str) -> Request<Vec<u8>> {
    Request::get(format!("http://broker.svc{path}")).body(Vec::new()).unwrap_or_default()
}
