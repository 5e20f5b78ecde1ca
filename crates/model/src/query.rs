//! A query: what a client asks, its parts and attempts, and the one final answer.

use crate::time::Micros;
use serde::{Deserialize, Serialize};
use std::collections::BTreeSet;
use std::rc::Rc;
use std::sync::Arc;

/// What the end of an attempt proves.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum Proof {
    /// It never ran.
    NeverRan,
    /// It has run, and is over.
    Ran,
    /// It may have run, or may yet, until it stops being waited for.
    MayRun,
}

/// Number of a query, never used twice.
pub type QueryId = u64;

/// One attempt at a part of a query.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct AttemptId {
    /// The query.
    pub query: QueryId,
    /// The part's place among the query's parts.
    pub part: usize,
    /// Which attempt at the part, from 0.
    pub attempt: u32,
}

/// What the decisions need to know of a part.
#[derive(Clone, Debug, PartialEq)]
pub struct PartSpec {
    /// Its shard.
    pub shard: usize,
    /// Its share of the whole answer.
    pub weight: f64,
    /// A guess at the work in it.
    pub work_hint: Option<Micros>,
}

/// What a client asks.
#[derive(Clone, Debug, PartialEq)]
pub struct QueryRequest {
    /// The request's id, on the wire to data servers too.
    pub id: Rc<str>,
    /// Index of the class.
    pub class: usize,
    /// Index of the tenant.
    pub tenant: usize,
    /// How long the client will wait.
    pub client_timeout: Micros,
    /// Whether the client marked it as a repeat.
    pub is_retry: bool,
    /// The idempotency key, in a keyed class.
    pub idempotency_key: Option<Rc<str>>,
    /// The parts.
    pub parts: Vec<PartSpec>,
    /// What each part has to carry.
    pub predicate: Rc<str>,
    /// What the operator sets for it.
    pub limits: Arc<QueryLimits>,
}

/// The final answer to a client.
#[derive(Clone, Debug, PartialEq)]
pub enum Reply {
    /// Served.
    Answer {
        /// Whether it is whole.
        whole: bool,
        /// Shard and value of each part that is in.
        values: Vec<(usize, String)>,
    },
    /// Not served; trying again is harmless.
    Refused {
        /// When to come back.
        retry_after: Option<Micros>,
    },
    /// Not served, promising nothing.
    Failed,
    /// The request itself cannot be used.
    Bad {
        /// Status of the answer.
        status: u16,
        /// What is wrong.
        why: String,
    },
}

/// Names that requests use for what the settings number.
#[derive(Clone, Debug, Default)]
pub struct Names {
    /// The classes.
    pub classes: Vec<String>,
    /// The tenants.
    pub tenants: Vec<String>,
    /// The zones.
    pub zones: Vec<String>,
    /// Classes that no request may name any more: queries that began under them may be in hand still.
    pub removed_classes: BTreeSet<usize>,
    /// Tenants, likewise.
    pub removed_tenants: BTreeSet<usize>,
}

impl Names {
    /// The index of the class that has this name now.
    pub fn class(&self, name: &str) -> Option<usize> {
        find(&self.classes, &self.removed_classes, name.as_bytes())
    }

    /// The index of all requests' tenant, where the settings name none.
    pub fn implicit_tenant(&self) -> Option<usize> {
        if self.tenants.is_empty() { Some(0) } else { self.tenant(b"") }
    }

    /// The index of the tenant that has this name now.
    pub fn tenant(&self, name: &[u8]) -> Option<usize> {
        find(&self.tenants, &self.removed_tenants, name)
    }
}

fn find(names: &[String], left: &BTreeSet<usize>, name: &[u8]) -> Option<usize> {
    let mut all = names.iter().enumerate();
    all.find(|(i, n)| n.as_bytes() == name && !left.contains(i)).map(|(i, _)| i)
}

/// The section of the operator's file that a limit was set in: queries count together that have it from there.
pub type LimitScope = Arc<str>;

/// So many queries a second of each tenant, evenly, and so many at once after a silence.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Rate {
    /// Queries a second, 1 at least.
    pub per_second: u32,
    /// Queries at once, 1 at least.
    pub burst: u32,
}

/// What an operator sets for a query; `None`: as the platform has it. A query keeps those that it began with.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct QueryLimits {
    /// It is answered within this time.
    pub timeout: Option<Micros>,
    /// An attempt at a part is given up after this time.
    pub attempt_timeout: Option<Micros>,
    /// Most attempts at a part.
    pub max_attempts: Option<u32>,
    /// Most queries in hand, of all that share the limit.
    pub max_open: Option<(LimitScope, u32)>,
    /// Most queries a second, by tenant.
    pub rate: Option<(LimitScope, Rate)>,
}
