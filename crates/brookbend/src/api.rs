//! The interface of the decision module: its settings, the events it receives and the actions it returns.
//!
//! It contains no decisions. Times are milliseconds of the caller's clock.

use serde::{Deserialize, Serialize};
use std::fmt;
use std::sync::Arc;

/// A point in time on the caller's clock, or a duration, in milliseconds.
pub type Millis = f64;

/// Name of a server. It is the same at every aggregator and survives restarts of the server's process.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct NodeId(pub Arc<str>);

/// Identifies a query or one of its parts, and is never reused. Queries are processed in the order of their
/// ids, so that a caller uses only one kind of id: numbers in order of arrival, or names.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum RequestId {
    /// A query, identified by a number.
    Query(u64),
    /// A part, identified by its query's number and its index in the query, from 0.
    Part(u64, u32),
    /// A query or a part, identified by a name.
    Named(Arc<str>),
}

impl RequestId {
    /// Returns the id with the given name.
    pub fn named(name: &str) -> Self {
        RequestId::Named(name.into())
    }
}

impl fmt::Display for RequestId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            RequestId::Query(query) => write!(f, "{query}"),
            RequestId::Part(query, part) => write!(f, "{query}.{part}"),
            RequestId::Named(name) => f.write_str(name),
        }
    }
}

/// Index of a class of query in [`Settings::classes`].
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct ClassIndex(pub usize);

/// Index of a tenant in [`Settings::tenants`]. Any value is accepted if the deployment has no tenants.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct TenantIndex(pub usize);

/// Effect of executing a part more than once.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub enum Semantics {
    /// Repeated execution is harmless.
    Safe,
    /// Servers drop repeated attempts within a window after the first one.
    Keyed {
        /// Length of the window in milliseconds, from the first attempt that may have run.
        window: Millis,
    },
    /// A repeated attempt takes effect again.
    Unsafe,
}

/// Settings of one class of query.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Class {
    /// Latency target in milliseconds: an answer within this time earns its full worth.
    pub aim: Millis,
    /// Time in milliseconds after which a client gives up, over all its tries.
    pub give_up: Millis,
    /// Worth of a complete answer within the aim.
    pub worth: f64,
    /// Share of the worth that an answer after the aim earns.
    pub late_worth: f64,
    /// Effect of executing a part more than once.
    pub semantics: Semantics,
    /// Share of the parts' weight that makes an answer complete.
    pub need: f64,
    /// Lowest share of the parts' weight for which an answer may be given.
    pub floor: f64,
    /// Factor of a partial answer's worth, which is this times the answer's share of the weight over the
    /// need.
    pub partial_earns: f64,
    /// Whether the client sends further parts, as a second step, after the first answer.
    pub second_step: bool,
}

/// Settings of one tenant.
#[derive(Clone, Debug)]
pub struct Tenant {
    /// Quota in queries per second over all aggregators.
    pub quota_per_s: f64,
}

/// How changes of the server list are delivered.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ListSource {
    /// Changes are pushed without a request.
    Pushed,
    /// Changes are delivered only after a request.
    OnRequest,
}

/// Budget for attempts beyond each part's first, in a sliding window.
#[derive(Clone, Copy, Debug)]
pub struct AttemptBudget {
    /// Number of attempts that are always allowed in a window.
    pub free_attempts: f64,
    /// Number of further attempts allowed for each query and part accepted in the window.
    pub per_request: f64,
    /// Length of the window in milliseconds.
    pub window: Millis,
}

/// Capacity of servers that have just started.
#[derive(Clone, Copy, Debug)]
pub struct ColdRule {
    /// Least share of its full capacity that a server has when it starts.
    pub initial_capacity: f64,
    /// Longest time in milliseconds from a server's start until it has its full capacity.
    pub warm_after: Millis,
    /// A server fails when it is sent more than this multiple of its current capacity for `overload_time`.
    pub overload_factor: f64,
    /// Time in milliseconds over which an overload makes a server fail.
    pub overload_time: Millis,
}

/// Settings of an aggregator.
#[derive(Clone, Debug)]
pub struct Settings {
    /// Classes of query, indexed by [`ClassIndex`].
    pub classes: Vec<Class>,
    /// Tenants, indexed by [`TenantIndex`]; may be empty.
    pub tenants: Vec<Tenant>,
    /// Number of aggregators, including this one.
    pub aggregators: usize,
    /// Zone of this aggregator, to compare with [`Member::zone`]; `None` if the deployment has no zones.
    pub zone: Option<usize>,
    /// Share of its worth that a query over its tenant's quota keeps.
    pub over_share_worth: f64,
    /// Whether a query's worth grows with its work.
    pub worth_by_work: bool,
    /// Whether clients mark their retries, see [`Query::is_retry`].
    pub clients_mark_retries: bool,
    /// Number of cells. Shard `s` is held by the servers of cells `(s + j) % cells` for each `j` below
    /// `reach`.
    pub cells: usize,
    /// Number of cells in a row that hold a shard; 1 where servers form sets.
    pub reach: usize,
    /// Number of shards.
    pub shards: usize,
    /// Maximum number of parts in one call.
    pub batch: usize,
    /// Work in milliseconds that a call costs its server in addition to that of its parts.
    pub call_work: Millis,
    /// Maximum number of attempts for one part.
    pub max_attempts: u32,
    /// Whether a part may have two attempts in flight at once.
    pub hedging: bool,
    /// Whether attempts may be cancelled.
    pub cancel: bool,
    /// Longest retry advice in milliseconds that clients heed; `None` if advice does not reach them.
    pub max_retry_after: Option<Millis>,
    /// Least time in milliseconds between two batches.
    pub tick: Millis,
    /// How changes of the server list are delivered.
    pub list: ListSource,
    /// Time in milliseconds after which an aggregator without a subscription is held to know a change of the
    /// list.
    pub list_deadline: Millis,
    /// Budget for attempts beyond the first; `None` if the deployment sets none.
    pub budget: Option<AttemptBudget>,
    /// Capacity of servers that have just started.
    pub cold: ColdRule,
}

/// State of a server in the list.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum NodeState {
    /// The server accepts attempts.
    Serving,
    /// The server only finishes the attempts that it has.
    Draining,
    /// The server has been removed.
    Gone,
}

/// Entry of the server list.
#[derive(Clone, Debug)]
pub struct Member {
    /// Name of the server.
    pub node: NodeId,
    /// Index of the server's cell.
    pub cell: usize,
    /// Whether the server accepts attempts.
    pub state: NodeState,
    /// Index of the server's zone; `None` if the list names none.
    pub zone: Option<usize>,
    /// Time at which the server's process last started; `None` if that was long ago.
    pub started: Option<Millis>,
}

/// Contents of a list event.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ListKind {
    /// Only the entries that changed.
    Changes,
    /// The complete list.
    Complete,
    /// The complete list as last written to disk, possibly stale.
    Disk,
    /// No entries: a request for the list failed, or the subscription broke.
    Error,
}

/// A query that arrived. Its parts follow in the same batch.
#[derive(Clone, Debug)]
pub struct Query {
    /// Id of the query.
    pub id: RequestId,
    /// Number that the query's parts name in [`Part::group`].
    pub group: u64,
    /// Class of the query.
    pub class: ClassIndex,
    /// Tenant that the query is accounted to.
    pub tenant: TenantIndex,
    /// Time at which this try ends: its client gives up, or the site limits it to an earlier time.
    pub deadline: Millis,
    /// Time at which the client gives up this try.
    pub client_deadline: Millis,
    /// Maximum number of attempts for each part, if lower than [`Settings::max_attempts`].
    pub max_attempts: Option<u32>,
    /// Whether the client marked the query as a retry.
    pub is_retry: bool,
}

/// A part of a query.
#[derive(Clone, Debug)]
pub struct Part {
    /// Id of the part.
    pub id: RequestId,
    /// The query's [`Query::group`].
    pub group: u64,
    /// Index of the shard that the part reads.
    pub shard: usize,
    /// Weight of the part in the answer.
    pub weight: f64,
    /// Estimated work in milliseconds; `None` if the deployment gives no hints.
    pub work_hint: Option<Millis>,
}

/// How an attempt ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// The server answered.
    Served,
    /// The server returned an error. The attempt may have run.
    Error,
    /// The server rejected the attempt unread, as full. It never ran.
    Full,
    /// No answer came in time. The attempt may have run, or may still run.
    TimedOut,
    /// No connection could be opened. The attempt never ran.
    NoConnection,
    /// The connection broke. The attempt may have run.
    ConnectionLost,
    /// The aggregator cancelled the attempt. It may have run.
    Cancelled,
    /// The attempt was never sent.
    NotSent,
}

/// Input of an aggregator.
#[derive(Clone, Debug)]
pub enum Event {
    /// The server list was updated.
    List {
        /// Whether the entries are all, the changed ones or none.
        kind: ListKind,
        /// Entries of the list.
        members: Vec<Member>,
    },
    /// A query arrived.
    Query(Query),
    /// A part of a query arrived.
    Part(Part),
    /// An attempt ended.
    Ended {
        /// Part that the attempt belongs to.
        part: RequestId,
        /// Index of the attempt among the part's attempts, from 0.
        attempt: u32,
        /// How the attempt ended.
        outcome: Outcome,
        /// Time in milliseconds from the send to the end of the attempt.
        elapsed: Millis,
        /// Number of requests that the server reported as queued or running; `None` if its answer has no
        /// report. A hint that may be late or wrong.
        load: Option<f64>,
    },
    /// The next end of this attempt is an answer over a connection that has been up since the given time. A
    /// server that restarts loses its connections, so that one process has run there since then.
    Connected {
        /// Part that the attempt belongs to.
        part: RequestId,
        /// Index of the attempt among the part's attempts, from 0.
        attempt: u32,
        /// Time at which the connection came up.
        since: Millis,
    },
    /// The client of this query has left and expects no answer.
    ClientGone(RequestId),
    /// No further attempt for this part can be sent; its query must do without it.
    Unreachable(RequestId),
    /// The time requested by [`Action::Wake`] has passed.
    Woken,
}

/// Output of an aggregator. The caller carries the actions out in the order in which they are returned.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Send an attempt for a part. Attempts to one server in one batch share calls.
    Send {
        /// Part to send.
        part: RequestId,
        /// Server to send to.
        node: NodeId,
        /// Longest wait for the answer in milliseconds; `None` to wait until the query's deadline.
        timeout: Option<Millis>,
    },
    /// Stop waiting for an attempt.
    Cancel {
        /// Part that the attempt belongs to.
        part: RequestId,
        /// Index of the attempt among the part's attempts, from 0.
        attempt: u32,
    },
    /// Answer the query from the parts that were served.
    Answer {
        /// Query to answer.
        query: RequestId,
        /// Whether the answer is complete.
        whole: bool,
    },
    /// End the query unanswered and state that a retry is harmless.
    Refuse {
        /// Query to refuse.
        query: RequestId,
        /// Time in milliseconds after which the client should retry; `None` for no advice.
        retry_after: Option<Millis>,
    },
    /// End the query unanswered without a statement on retries.
    Fail {
        /// Query to fail.
        query: RequestId,
    },
    /// Subscribe to changes of the server list.
    Watch,
    /// Deliver [`Event::Woken`] after the given time.
    Wake {
        /// Time from now in milliseconds.
        after: Millis,
    },
}
