//! The interface of the decision module: what it is told at start, what it hears, what it asks for.
//!
//! Nothing here decides anything. Times are milliseconds of the caller's own clock.

use std::fmt;
use std::sync::Arc;

/// A moment on the caller's clock, or a span of it, in milliseconds.
pub type Millis = f64;

/// Name of a server; the same at every aggregator, and kept over restarts of its process.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct NodeId(pub Arc<str>);

/// A query or one of its parts. Never used twice. Queries are moved on in this order, so that a caller keeps to one
/// kind of id: to numbers in the order of arrival, or to names.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum RequestId {
    /// A query, by its number.
    Query(u64),
    /// A part of a query, by the query's number and its own place there, from 0.
    Part(u64, u32),
    /// Either, by a name.
    Named(Arc<str>),
}

impl RequestId {
    /// The id of this name.
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

/// Index of a tenant in [`Settings::tenants`]; any index where a deployment has none.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct TenantIndex(pub usize);

/// What repeating a part may do.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Semantics {
    /// Repeats are harmless.
    Safe,
    /// Repeats are dropped by the servers for so long after the first attempt.
    Keyed {
        /// Time, from the first attempt that may have run, in which repeats are dropped.
        window: Millis,
    },
    /// A repeat would take effect again.
    Unsafe,
}

/// One class of query.
#[derive(Clone, Debug, PartialEq)]
pub struct Class {
    /// An answer within this time earns full worth.
    pub aim: Millis,
    /// The client's whole patience, over all its attempts.
    pub give_up: Millis,
    /// Worth of a whole answer in time.
    pub worth: f64,
    /// Share of the worth that an answer after the aim still earns.
    pub late_worth: f64,
    /// What a repeat may do.
    pub semantics: Semantics,
    /// Share of the parts' weight that makes a whole answer.
    pub need: f64,
    /// Least share of the parts' weight that an answer may be given from.
    pub floor: f64,
    /// An answer that is not whole earns this times its share over the need.
    pub partial_earns: f64,
    /// Whether a first answer brings a second step with further parts.
    pub second_step: bool,
}

/// One tenant.
#[derive(Clone, Debug)]
pub struct Tenant {
    /// Queries a second, over all aggregators, that count as within its share.
    pub quota_per_s: f64,
}

/// How the list of servers comes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ListSource {
    /// Changes come unasked.
    Pushed,
    /// Changes come only once asked for.
    OnRequest,
}

/// The rule on attempts beyond each part's first.
#[derive(Clone, Copy, Debug)]
pub struct AttemptBudget {
    /// So many are free in any window.
    pub free_attempts: f64,
    /// And so many for each query and part taken in the window.
    pub per_request: f64,
    /// Length of the window.
    pub window: Millis,
}

/// The figures for servers that have just started.
#[derive(Clone, Copy, Debug)]
pub struct ColdRule {
    /// A server starts with at least this share of its capacity.
    pub initial_capacity: f64,
    /// It is warm after this time at the latest.
    pub warm_after: Millis,
    /// It falls over when sent more than this multiple of what it can do at the moment ...
    pub overload_factor: f64,
    /// ... for this long.
    pub overload_time: Millis,
}

/// All that an aggregator is told at its start.
#[derive(Clone, Debug)]
pub struct Settings {
    /// Classes of query.
    pub classes: Vec<Class>,
    /// Tenants; may be empty.
    pub tenants: Vec<Tenant>,
    /// How many aggregators serve beside and including this one.
    pub aggregators: usize,
    /// This one's zone, where the deployment has zones; servers name theirs in [`Member::zone`].
    pub zone: Option<usize>,
    /// Share of its worth that a query beyond its tenant's share keeps.
    pub over_share_worth: f64,
    /// Whether a query's worth grows with the work in it.
    pub worth_by_work: bool,
    /// Whether clients mark their repeats, see [`Query::again`].
    pub clients_mark_retries: bool,
    /// Number of cells. Shard `s` is held by the servers of cells `s + j` modulo this, `j` below `reach`.
    pub cells: usize,
    /// Cells in a row that hold a shard: 1 where servers form sets.
    pub reach: usize,
    /// Number of shards.
    pub shards: usize,
    /// Most parts in one call.
    pub batch: usize,
    /// Work that a call costs its server beside that of its parts.
    pub call_work: Millis,
    /// Most attempts for one part.
    pub max_attempts: u32,
    /// Whether a part may have two attempts out at once.
    pub hedging: bool,
    /// Whether attempts may be called off.
    pub cancel: bool,
    /// Longest retry advice that clients heed; `None` where advice does not reach them.
    pub max_retry_after: Option<Millis>,
    /// Time between two batches at the least.
    pub tick: Millis,
    /// How the list of servers comes.
    pub list: ListSource,
    /// Without a subscription, an aggregator counts as told after this time.
    pub list_deadline: Millis,
    /// The rule on further attempts, where there is one.
    pub budget: Option<AttemptBudget>,
    /// The rule on cold servers.
    pub cold: ColdRule,
}

/// Whether a server may be sent anything.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum NodeState {
    /// It serves.
    Serving,
    /// It finishes what it has.
    Draining,
    /// It has been removed.
    Gone,
}

/// One server as the list shows it.
#[derive(Clone, Debug)]
pub struct Member {
    /// The server.
    pub node: NodeId,
    /// Its cell.
    pub cell: usize,
    /// Its state.
    pub state: NodeState,
    /// Index of its zone, where the list shows it.
    pub zone: Option<usize>,
    /// When its process last started; `None`: long ago.
    pub started: Option<Millis>,
}

/// What a list event brings.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ListKind {
    /// Changed entries only.
    Changes,
    /// The whole list.
    Complete,
    /// The whole list as last written to disk, perhaps old.
    Disk,
    /// A request for the list failed, or the subscription broke. No entries.
    Error,
}

/// A query as it arrives. Its parts follow in the same batch.
#[derive(Clone, Debug)]
pub struct Query {
    /// Its name.
    pub id: RequestId,
    /// Number that its parts share.
    pub group: u64,
    /// Its class.
    pub class: ClassIndex,
    /// Its tenant.
    pub tenant: TenantIndex,
    /// When this try is over: its client gives up, or the site wants it to end before.
    pub deadline: Millis,
    /// When the client gives up this try.
    pub client_deadline: Millis,
    /// Most attempts at a part, where that is less than the settings' figure.
    pub max_attempts: Option<u32>,
    /// Whether the client marks it as a repeat.
    pub is_retry: bool,
}

/// A part of a query.
#[derive(Clone, Debug)]
pub struct Part {
    /// Its name.
    pub id: RequestId,
    /// Number of its query.
    pub group: u64,
    /// Its shard.
    pub shard: usize,
    /// Its weight in the answer.
    pub weight: f64,
    /// Roughly the work in it, where the deployment gives hints.
    pub work_hint: Option<Millis>,
}

/// How an attempt ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// Answered.
    Served,
    /// The server returned an error; it may have run.
    Error,
    /// Turned away unseen: it never ran.
    Full,
    /// No answer in time; it may have run or still run.
    TimedOut,
    /// No connection: it never ran.
    NoConnection,
    /// The connection broke; it may have run.
    ConnectionLost,
    /// Called off by the aggregator; it may have run.
    Cancelled,
    /// Never sent.
    NotSent,
}

/// What an aggregator hears.
#[derive(Clone, Debug)]
pub enum Event {
    /// News of the list of servers.
    List {
        /// What the entries are.
        kind: ListKind,
        /// The entries.
        members: Vec<Member>,
    },
    /// A query has come.
    Query(Query),
    /// A part of a query has come.
    Part(Part),
    /// An attempt has ended.
    Ended {
        /// The part.
        part: RequestId,
        /// Which of the part's attempts, from 0.
        attempt: u32,
        /// How it ended.
        outcome: Outcome,
        /// Time since it was sent.
        elapsed: Millis,
        /// Requests that the server said it holds, waiting or in work, where its answers tell: a hint that may be
        /// late or untrue.
        load: Option<f64>,
    },
    /// The next end of this attempt is an answer over a connection that is up since then. A server that restarts loses its
    /// connections, so that one process has run there all the while.
    Connected {
        /// The part.
        part: RequestId,
        /// Which of the part's attempts, from 0.
        attempt: u32,
        /// Since when.
        since: Millis,
    },
    /// The client has left; nothing more is owed.
    ClientGone(RequestId),
    /// No attempt at this part can be sent any more: its query is to do without it.
    Unreachable(RequestId),
    /// The time asked for by [`Action::Wake`] has come.
    Woken,
}

/// What an aggregator asks its caller to do, in this order.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Send an attempt for a part. Those to one server in one batch share calls.
    Send {
        /// The part.
        part: RequestId,
        /// Where to.
        node: NodeId,
        /// Wait this long at the most; `None`: until the client gives up.
        timeout: Option<Millis>,
    },
    /// End the wait for an attempt.
    Cancel {
        /// The part.
        part: RequestId,
        /// Which of its attempts.
        attempt: u32,
    },
    /// Answer the query from the parts that are in.
    Answer {
        /// The query.
        query: RequestId,
        /// Whether the answer is whole.
        whole: bool,
    },
    /// End the query unanswered, telling that a repeat is harmless.
    Refuse {
        /// The query.
        query: RequestId,
        /// When the client should come back.
        retry_after: Option<Millis>,
    },
    /// End the query unanswered, promising nothing.
    Fail {
        /// The query.
        query: RequestId,
    },
    /// Ask for the changes of the list from now on.
    Watch,
    /// Send [`Event::Woken`] after this time.
    Wake {
        /// How long from now.
        after: Millis,
    },
}
