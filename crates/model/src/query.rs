//! Queries: the request of a client, its parts, the attempts at each part, and the final answer.

use crate::time::Micros;
use serde::{Deserialize, Serialize};
use std::collections::BTreeSet;
use std::rc::Rc;
use std::sync::Arc;

/// What the end of an attempt proves about its execution on the server.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum Proof {
    /// The attempt was never executed.
    NeverRan,
    /// The attempt was executed and has finished.
    Ran,
    /// The attempt may have been executed, or may still be until its deadline.
    MayRun,
}

/// Number of a query. A number is never reused.
pub type QueryId = u64;

/// One attempt at a part of a query.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct AttemptId {
    /// Number of the query that the part belongs to.
    pub query: QueryId,
    /// Index of the part among the parts of the query.
    pub part: usize,
    /// Number of the attempt at this part, starting at 0.
    pub attempt: u32,
}

/// The properties of a part that decisions are based on.
#[derive(Clone, Debug, PartialEq)]
pub struct PartSpec {
    /// Index of the shard that holds the data of the part.
    pub shard: usize,
    /// Share of the part in the complete answer, from 0 to 1.
    pub weight: f64,
    /// The client's estimate of the work in microseconds; `None` if it gave no estimate.
    pub work_hint: Option<Micros>,
}

/// A decoded request of a client for a query.
#[derive(Clone, Debug, PartialEq)]
pub struct QueryRequest {
    /// Id of the request, which is also sent to data servers.
    pub id: Rc<str>,
    /// Index of the class of the query.
    pub class: usize,
    /// Index of the tenant that the client belongs to.
    pub tenant: usize,
    /// Time in microseconds that the client waits for an answer.
    pub client_timeout: Micros,
    /// Whether the client marked the request as a retry of an earlier one.
    pub is_retry: bool,
    /// Idempotency key. `None` if the client sent none, or if the class is safe to repeat.
    pub idempotency_key: Option<Rc<str>>,
    /// Parts of the query, one for each requested range.
    pub parts: Vec<PartSpec>,
    /// Predicate of the query, which is sent with each part.
    pub predicate: Rc<str>,
    /// Limits that the operator configured for the query.
    pub limits: Arc<QueryLimits>,
}

/// The final answer of a query, as its client receives it.
#[derive(Clone, Debug, PartialEq)]
pub enum Reply {
    /// The query was served.
    Answer {
        /// Whether the answer is complete, as opposed to a partial one.
        whole: bool,
        /// Shard and value of each answered part.
        values: Vec<(usize, String)>,
    },
    /// The query was not served, and a retry is safe.
    Refused {
        /// Time in microseconds after which the client may retry; `None` if no time is advised.
        retry_after: Option<Micros>,
    },
    /// The query was not served, and parts of it may have been executed.
    Failed,
    /// The request itself is invalid.
    Bad {
        /// HTTP status code of the answer.
        status: u16,
        /// Description of the error, for the client.
        why: String,
    },
}

/// Names of classes, tenants and zones. The index of a name is its index in the settings.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Names {
    /// Name of each class, by index.
    pub classes: Vec<String>,
    /// Name of each tenant, by index.
    pub tenants: Vec<String>,
    /// Name of each zone, by index.
    pub zones: Vec<String>,
    /// Indices of removed classes. New requests cannot name them, but open queries may still belong to them.
    pub removed_classes: BTreeSet<usize>,
    /// Indices of removed tenants, which open queries may still belong to.
    pub removed_tenants: BTreeSet<usize>,
}

impl Names {
    /// Returns the index of the current class with this name.
    pub fn class(&self, name: &str) -> Option<usize> {
        find(&self.classes, &self.removed_classes, name.as_bytes())
    }

    /// Returns the indices of all current classes with this name. There are several only where the names of
    /// several configurations were merged.
    pub fn classes_named<'a>(&'a self, name: &'a str) -> impl Iterator<Item = usize> + 'a {
        all_named(&self.classes, &self.removed_classes, name.as_bytes())
    }

    /// Returns the index of the tenant that all requests belong to if the settings name no tenants.
    pub fn implicit_tenant(&self) -> Option<usize> {
        if self.tenants.is_empty() { Some(0) } else { self.tenant(b"") }
    }

    /// Returns the index of the current tenant with this name.
    pub fn tenant(&self, name: &[u8]) -> Option<usize> {
        find(&self.tenants, &self.removed_tenants, name)
    }
}

fn find(names: &[String], removed: &BTreeSet<usize>, name: &[u8]) -> Option<usize> {
    all_named(names, removed, name).next()
}

fn all_named<'a>(
    names: &'a [String],
    removed: &'a BTreeSet<usize>,
    name: &'a [u8],
) -> impl Iterator<Item = usize> + 'a {
    let named = names.iter().enumerate().filter(move |(_, n)| n.as_bytes() == name);
    named.map(|(i, _)| i).filter(move |i| !removed.contains(i))
}

/// Name of the section in the operator's file that sets a limit. All queries with a limit from the same
/// section share it.
pub type LimitScope = Arc<str>;

/// Rate limit of each tenant: a sustained rate, and the burst that is allowed after an idle time.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Rate {
    /// Sustained rate in queries per second, at least 1.
    pub per_second: u32,
    /// Maximum number of queries at once, at least 1.
    pub burst: u32,
}

/// Limits that the operator configured for a query. `None` leaves the setting of the platform in force. A
/// query keeps the limits that it started with.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct QueryLimits {
    /// Maximum time in microseconds until the query is answered.
    pub timeout: Option<Micros>,
    /// Time in microseconds after which an attempt at a part is cancelled.
    pub attempt_timeout: Option<Micros>,
    /// Maximum number of attempts at a part.
    pub max_attempts: Option<u32>,
    /// Maximum number of open queries among all that share the limit.
    pub max_open: Option<(LimitScope, u32)>,
    /// Maximum rate of queries, counted separately for each tenant.
    pub rate: Option<(LimitScope, Rate)>,
}
