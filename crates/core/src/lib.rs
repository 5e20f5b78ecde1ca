//! Synchronous facade of the decision module `brookbend`: the caller passes in the events of a turn and
//! carries out the returned decisions.
//!
//! The facade is independent of protocols. It identifies queries, parts and servers by numbers and names, so
//! every protocol front end uses the same decisions and rules. Only this package uses the events and actions
//! of the decision module, and only this package counts open queries: a query is opened in [`Core::pick`] and
//! closed by its single [`Completion`] or by [`Core::client_gone`].

mod index_table;

pub use index_table::{IndexedSettings, MAX_INDICES, TooManyIndices};

use brookbend::Aggregator;
use brookbend::api::{Action, ClassIndex, Event, ListKind, Member, Part, RequestId, Settings, TenantIndex};
use brookbend::overhead::Overhead;
use brookbend::refusals::Refusals;
use brookbend::retry_advice::retry_after_when_full;
use brookbend::view::{OutcomeCounts, ServerView};
use index_table::IndexTable;
use plover_model::configuration::{NamedClass, PreviousLimits};
use plover_model::query::{AttemptId, Names, PartSpec, QueryId, QueryLimits};
use plover_model::server::{ListScope, NodeId, Outcome, ServerInfo, ServerStatus};
use plover_model::snapshot::Snapshot;
use plover_model::time::{MILLI, Micros, millis};
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

/// A new query.
#[derive(Clone, Debug)]
pub struct Query {
    /// Number of the query, which is never reused.
    pub id: QueryId,
    /// Index of the class of the query.
    pub class: usize,
    /// Index of the tenant of the query.
    pub tenant: usize,
    /// Time until which the client waits for an answer.
    pub deadline: Micros,
    /// Limits that the operator configured for the query.
    pub limits: Arc<QueryLimits>,
    /// Whether the client marked the query as a retry of an earlier one.
    pub is_retry: bool,
    /// Parts of the query, one for each shard that it reads.
    pub parts: Vec<PartSpec>,
}

/// The end of an attempt.
#[derive(Clone, Debug)]
pub struct Report {
    /// The attempt that ended.
    pub attempt: AttemptId,
    /// How the attempt ended.
    pub outcome: Outcome,
    /// Time in microseconds since the attempt was dispatched. For a served attempt it counts from the time at
    /// which the connection was established, if that is later.
    pub elapsed: Micros,
    /// Load that the server reported; `None` if it reported none.
    pub load: Option<f64>,
    /// Time at which the connection that delivered the answer was established. `None` if that is unknown or
    /// the attempt was not answered.
    pub connected_at: Option<Micros>,
}

/// An attempt to send.
#[derive(Clone, Debug, PartialEq)]
pub struct Dispatch {
    /// The attempt to send.
    pub attempt: AttemptId,
    /// Name of the server to send the attempt to.
    pub server: NodeId,
    /// Time until which to wait for the answer.
    pub deadline: Micros,
}

/// The final decision on a query.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Verdict {
    /// The query is answered from the parts that have been served.
    Answer {
        /// Whether the answer is complete, as opposed to a partial one.
        whole: bool,
    },
    /// The query is not served, and a retry is safe.
    Refuse {
        /// Time in microseconds after which the client may retry; `None` if no time is advised.
        retry_after: Option<Micros>,
    },
    /// The query is not served, and parts of it may have been executed.
    Fail,
}

/// The end of a query. Each query gets at most one.
#[derive(Clone, Debug, PartialEq)]
pub struct Completion {
    /// Number of the query that ends.
    pub query: QueryId,
    /// The decision on the query.
    pub verdict: Verdict,
}

/// Decisions for the caller to carry out, in the order cancel, complete, dispatch.
#[derive(Debug, Default, PartialEq)]
pub struct Decisions {
    /// Attempts to cancel. Each of them must still be reported when it has ended.
    pub cancel: Vec<AttemptId>,
    /// Queries to answer at once.
    pub completions: Vec<Completion>,
    /// Attempts to send.
    pub dispatches: Vec<Dispatch>,
    /// Number of `completions` that were refused because the maximum of open units was reached.
    pub refused_full: usize,
    /// Number of `completions` that the decision module left open until shortly before their deadline.
    pub overdue: usize,
}

/// Counts of attempts at a server over some time, as reported by other clients of the server.
#[derive(Clone, Debug, PartialEq)]
pub struct ServerStats {
    /// Name of the server.
    pub server: NodeId,
    /// Number of served attempts.
    pub served: u64,
    /// Number of attempts that were answered with an error.
    pub errors: u64,
    /// Number of attempts that ended without an answer.
    pub lost: u64,
    /// Mean time in microseconds of the served attempts; `None` if it was not reported.
    pub mean_elapsed: Option<Micros>,
}

/// An open query.
struct OpenQuery {
    class: usize,
    tenant: usize,
    /// Longest time in microseconds that an attempt may take; `Micros::MAX` if there is no limit.
    attempt_timeout: Micros,
    /// Number of attempts dispatched so far, by part. The decision module numbers attempts only by their
    /// order.
    attempts: Vec<u32>,
    deadline: Micros,
}

/// The decision module with its settings and open queries.
pub struct Core {
    aggregator: Aggregator,
    settings: Settings,
    /// Maximum number of units (queries and parts) that all processes of this broker may have open together.
    max_units: usize,
    /// Number of units that the other processes of this broker have open.
    sibling_units: usize,
    /// Number of processes of this broker.
    processes: usize,
    /// Number of units that this process has open.
    units_in_use: usize,
    open: BTreeMap<QueryId, OpenQuery>,
    /// The open queries, ordered by deadline.
    deadlines: BTreeSet<(Micros, QueryId)>,
    /// Events to pass to the decision module in the next call.
    staged: Vec<Event>,
    /// Time at which the decision module asked to be woken.
    wake_at: Option<Micros>,
    index_table: IndexTable,
    /// Time by which all queries must be finished because the process ends; `Micros::MAX` until that is set.
    finish_by: Micros,
    /// Limits of the previous settings. Until the new settings take effect, the stricter of both apply.
    previous_limits: Option<PreviousLimits>,
    /// Time until which it is unknown which settings clients apply. Parts then get a single attempt.
    unknown_until: Micros,
    /// Time from which this process has the free attempts of the attempt budget; until then they are those of
    /// an older process of this broker.
    free_attempts_from: Micros,
    /// Time at which the settings are computed again because a removed class may be unused by then.
    retention_check_at: Option<Micros>,
}

impl Core {
    /// Creates a core with at most `max_units` open queries and parts together.
    pub fn new(settings: Settings, max_units: usize, seed: u64) -> Self {
        Core {
            index_table: IndexTable::new(&settings, &Names::default()),
            finish_by: Micros::MAX,
            previous_limits: None,
            unknown_until: 0,
            free_attempts_from: 0,
            retention_check_at: None,
            aggregator: Aggregator::new(settings.clone(), seed),
            settings,
            max_units,
            sibling_units: 0,
            processes: 1,
            units_in_use: 0,
            open: BTreeMap::new(),
            deadlines: BTreeSet::new(),
            staged: Vec::new(),
            wake_at: Some(0),
        }
    }

    /// Sets the names of the classes and tenants, so that a later change of the settings can be matched by
    /// name.
    #[must_use]
    pub fn with_names(mut self, names: &Names) -> Self {
        self.index_table = IndexTable::new(&self.settings, names);
        self
    }

    /// Computes the indices of classes and tenants under new settings. This changes nothing; pass the result
    /// to [`Core::reconfigure`] to apply it.
    pub fn index_settings(
        &self,
        now: Micros,
        settings: &Settings,
        names: &Names,
    ) -> Result<IndexedSettings, TooManyIndices> {
        self.index_table.plan(now, settings, names)
    }

    /// Computes the indices of classes and tenants that another process of this broker reported. This changes
    /// nothing; pass the result to [`Core::adopt_reported`] to apply it.
    pub fn index_reported(
        &self,
        now: Micros,
        zones: &[String],
        classes: &[NamedClass],
        tenants: &[String],
    ) -> Result<IndexedSettings, TooManyIndices> {
        self.index_table.plan_reported(now, &self.settings, zones, classes, tenants)
    }

    /// Applies new settings, as indexed by [`Core::index_settings`], to queries that arrive from now on.
    /// Learned state of servers is kept. Until `effective_at` the limits of the previous settings also apply
    /// where they are stricter.
    pub fn reconfigure(&mut self, indexed: &IndexedSettings, max_units: usize, effective_at: Micros) {
        // A second change before the first has taken effect must not lift the limits that the first one still
        // keeps.
        let replaced = self.strictest_limits(indexed.indexed_at, effective_at);
        self.previous_limits = Some(replaced);
        self.max_units = max_units;
        self.apply_indexed(indexed);
    }

    /// Adds classes and tenants that another process of this broker reported, as indexed by
    /// [`Core::index_reported`]. Requests may be decoded with them; the settings in force do not change.
    pub fn adopt_reported(&mut self, indexed: &IndexedSettings) {
        self.apply_indexed(indexed);
    }

    /// Applies limits of settings that another process of this broker knows, in addition to those that hold
    /// here.
    pub fn adopt_limits(&mut self, now: Micros, limits: PreviousLimits) {
        let pending = self.previous_limits(now);
        self.previous_limits = Some(pending.map_or(limits, |pending| pending.stricter_of(limits)));
    }

    /// Returns the limits of the settings in force, or those of earlier ones where they are stricter and
    /// still hold. They are to hold until the given time, or for as long as the earlier ones.
    pub fn strictest_limits(&self, now: Micros, until: Micros) -> PreviousLimits {
        let current = PreviousLimits {
            until,
            max_attempts: self.settings.max_attempts,
            max_client_timeout: self.index_table.max_client_timeout(),
        };
        self.previous_limits(now).map_or(current, |previous| previous.stricter_of(current))
    }

    /// Returns the limits of earlier settings that still hold.
    fn previous_limits(&self, now: Micros) -> Option<PreviousLimits> {
        self.previous_limits.filter(|limits| now < limits.until)
    }

    /// Sets the time until which it is unknown which settings clients apply.
    pub fn set_unknown_until(&mut self, at: Micros) {
        self.unknown_until = at;
    }

    /// Returns the maximum number of attempts at a part that the settings in force do not say.
    fn previous_max_attempts(&self, now: Micros) -> Option<u32> {
        let unknown = (now < self.unknown_until).then_some(1);
        unknown.or_else(|| self.previous_limits(now).map(|limits| limits.max_attempts))
    }

    fn apply_indexed(&mut self, indexed: &IndexedSettings) {
        self.index_table.apply(indexed);
        self.retention_check_at = self.index_table.next_retention_check(indexed.indexed_at);
        self.settings = indexed.settings.clone();
        self.aggregator.reconfigure(self.shared_settings(), &indexed.new_classes);
        self.aggregator.reset_tenants(&indexed.new_tenants);
    }

    /// Sets the time by which all open and future queries must be finished, even if their clients would wait
    /// longer.
    pub fn finish_by(&mut self, at: Micros) {
        self.finish_by = at;
        self.aggregator.cap_deadlines(to_ms(at));
        for (previous, query) in self.deadlines.split_off(&(at, QueryId::MAX)) {
            if let Some(open) = self.open.get_mut(&query) {
                debug_assert_eq!(open.deadline, previous);
                open.deadline = at;
                self.deadlines.insert((at, query));
            }
        }
    }

    /// Returns the longest time that a client of any current class waits. Until new settings take effect, it
    /// is the shorter one of the previous and the new settings.
    pub fn max_client_timeout(&self, now: Micros) -> Micros {
        let previous = self.previous_limits(now).map(|limits| limits.max_client_timeout);
        previous.into_iter().chain([self.index_table.max_client_timeout()]).min().unwrap_or(0)
    }

    /// Sets the overhead of the broker's own thread: its recent time per part and per turn, and its total
    /// busy time since the start, in microseconds, at the beginning of this turn.
    pub fn set_overhead(&mut self, per_part: Duration, per_turn: Duration, busy: Micros) {
        let ms = |time: Duration| time.as_secs_f64() * 1e3;
        self.aggregator.set_overhead(Overhead {
            per_part: ms(per_part),
            per_turn: ms(per_turn),
            busy: to_ms(busy),
        });
    }

    /// Sets the number of units (queries and parts) that the other processes of this broker have open.
    pub fn set_sibling_units(&mut self, units: usize) {
        self.sibling_units = units;
    }

    /// Sets the number of processes of this broker. The load that all brokers together may put on a cold
    /// server is divided among all processes.
    pub fn set_process_count(&mut self, processes: u32) {
        let processes = processes.max(1) as usize;
        if std::mem::replace(&mut self.processes, processes) != processes {
            self.aggregator.reconfigure(self.shared_settings(), &[]);
        }
    }

    /// Sets whether an older process of this broker is alive. The free attempts of the attempt budget are its
    /// own then, and until its last ones are past the budget's window. What the budget allows for each query
    /// is this process's in any case.
    pub fn set_older_process(&mut self, now: Micros, alive: bool) {
        let window = self.settings.budget.map_or(0, |budget| millis(budget.window));
        self.free_attempts_from = if alive { Micros::MAX } else { now + window };
        self.aggregator.reconfigure(self.shared_settings(), &[]);
    }

    /// Returns the settings with each process counted as an aggregator, and without the free attempts that
    /// are another process's.
    fn shared_settings(&self) -> Settings {
        let aggregators = self.settings.aggregators.saturating_mul(self.processes);
        let mut budget = self.settings.budget;
        if self.free_attempts_from > 0 {
            budget.iter_mut().for_each(|budget| budget.free_attempts = 0.0);
        }
        Settings { aggregators, budget, ..self.settings.clone() }
    }

    /// Returns the learned state of servers and classes for a successor process. `rev` is the revision of the
    /// server list.
    pub fn snapshot(&self, now: Micros, rev: u64) -> Snapshot {
        let mut snapshot = self.aggregator.snapshot(to_ms(now));
        snapshot.rev = rev;
        for (class, name) in snapshot.classes.iter_mut().zip(self.index_table.current_class_names()) {
            class.name = name;
        }
        snapshot
    }

    /// Restores the learned state of a predecessor process, which was recorded `age` microseconds ago.
    pub fn restore(&mut self, now: Micros, age: Micros, snapshot: &Snapshot) {
        let known =
            |name: String| snapshot.classes.iter().find(|c| !name.is_empty() && c.name == name).cloned();
        let classes = self
            .index_table
            .current_class_names()
            .into_iter()
            .map(|name| known(name).unwrap_or_default())
            .collect();
        let snapshot = Snapshot { classes, ..snapshot.clone() };
        self.aggregator.restore(to_ms(now), to_ms(age), &snapshot);
    }

    /// Applies an update of the list of servers. It takes effect with the next call of [`Core::pick`],
    /// [`Core::report`] or [`Core::tick`].
    pub fn update_servers(&mut self, scope: ListScope, servers: Vec<ServerInfo>) {
        let kind = match scope {
            ListScope::Cached => ListKind::Disk,
            ListScope::Complete => ListKind::Complete,
            ListScope::Changes => ListKind::Changes,
        };
        let member = |s: ServerInfo| Member {
            node: s.name,
            cell: s.cell,
            state: s.state,
            zone: s.zone,
            started: s.started_at.map(|at| at as f64 / MILLI as f64),
        };
        self.staged.push(Event::List { kind, members: servers.into_iter().map(member).collect() });
    }

    /// Closes a query because its client has disconnected. It gets no completion.
    pub fn client_gone(&mut self, query: QueryId) {
        if self.close(query) {
            self.staged.push(Event::ClientGone(RequestId::Query(query)));
        }
    }

    /// Marks a part of a query as unreachable because no attempt at it can be sent any more. This takes
    /// effect with the next call of [`Core::pick`], [`Core::report`] or [`Core::tick`].
    pub fn omit_part(&mut self, query: QueryId, part: usize) {
        if self.open.contains_key(&query) {
            self.staged.push(Event::Unreachable(part_id(query, part)));
        }
    }

    /// Processes the attempts that ended.
    pub fn report(&mut self, now: Micros, reports: Vec<Report>) -> Decisions {
        if reports.is_empty() {
            return Decisions::default();
        }
        for report in reports {
            let part = part_id(report.attempt.query, report.attempt.part);
            let attempt = report.attempt.attempt;
            if let Some(since) = report.connected_at.map(to_ms) {
                self.staged.push(Event::Connected { part: part.clone(), attempt, since });
            }
            let (outcome, elapsed, load) = (report.outcome, to_ms(report.elapsed), report.load);
            self.staged.push(Event::Ended { part, attempt, outcome, elapsed, load });
        }
        self.run(now)
    }

    /// Opens the queries that arrived. A query that would exceed the maximum of open units is refused without
    /// asking the decision module.
    pub fn pick(&mut self, now: Micros, queries: Vec<Query>) -> Decisions {
        if queries.is_empty() {
            return Decisions::default();
        }
        let mut refused = Vec::new();
        let previous_max_attempts = self.previous_max_attempts(now);
        for query in queries {
            let units = 1 + query.parts.len();
            if self.units_in_use + self.sibling_units + units > self.max_units {
                let retry_after = self.retry_after_when_full(query.class);
                refused.push(Completion { query: query.id, verdict: Verdict::Refuse { retry_after } });
                continue;
            }
            self.units_in_use += units;
            let timeout_at = query.limits.timeout.map_or(Micros::MAX, |timeout| now.saturating_add(timeout));
            let deadline = query.deadline.min(timeout_at).min(self.finish_by);
            self.deadlines.insert((deadline, query.id));
            let attempt_timeout = query.limits.attempt_timeout.unwrap_or(Micros::MAX);
            let attempts = vec![0; query.parts.len()];
            self.index_table.open_query(query.class, query.tenant);
            let (class, tenant) = (query.class, query.tenant);
            self.open.insert(query.id, OpenQuery { class, tenant, attempt_timeout, attempts, deadline });
            self.staged.push(Event::Query(brookbend::api::Query {
                id: RequestId::Query(query.id),
                group: query.id,
                class: ClassIndex(query.class),
                tenant: TenantIndex(query.tenant),
                deadline: to_ms(deadline),
                client_deadline: to_ms(query.deadline),
                max_attempts: [query.limits.max_attempts, previous_max_attempts].into_iter().flatten().min(),
                is_retry: query.is_retry,
            }));
            self.staged.extend(query.parts.iter().enumerate().map(|(i, part)| {
                Event::Part(Part {
                    id: part_id(query.id, i),
                    group: query.id,
                    shard: part.shard,
                    weight: part.weight,
                    work_hint: part.work_hint.map(to_ms),
                })
            }));
        }
        let mut decisions = self.run(now);
        decisions.refused_full = refused.len();
        decisions.completions.extend(refused);
        decisions
    }

    /// Ends the turn: wakes the decision module if it asked for that, and fails queries that are about to
    /// reach their deadline.
    pub fn tick(&mut self, now: Micros) -> Decisions {
        let mut decisions = Decisions::default();
        if self.retention_check_at.take_if(|at| now >= *at).is_some() {
            self.settings = self.index_table.settings(now, &self.settings);
            self.aggregator.reconfigure(self.shared_settings(), &[]);
            self.retention_check_at = self.index_table.next_retention_check(now);
        }
        if self.free_attempts_from > 0 && now >= self.free_attempts_from {
            self.free_attempts_from = 0;
            self.aggregator.reconfigure(self.shared_settings(), &[]);
        }
        if self.wake_at.take_if(|at| now >= *at).is_some() {
            self.staged.push(Event::Woken);
        }
        if !self.staged.is_empty() {
            decisions = self.run(now);
        }
        // Guards against a decision module that never ends a query: every open query is answered before its
        // deadline.
        let latest = now + millis(self.settings.tick);
        while let Some(&(_, query)) = self.deadlines.first().filter(|(at, _)| *at <= latest) {
            self.client_gone(query);
            decisions.completions.push(Completion { query, verdict: Verdict::Fail });
            decisions.overdue += 1;
        }
        decisions
    }

    /// Returns the health of all servers that are not gone and whose address is known. `address` looks up the
    /// address of a server.
    pub fn server_statuses(
        &self,
        now: Micros,
        address: impl Fn(&NodeId) -> Option<SocketAddr>,
    ) -> Vec<ServerStatus> {
        let status = |v: ServerView| {
            Some(ServerStatus {
                endpoint: address(&v.node)?,
                name: v.node,
                cell: v.cell,
                zone: v.zone,
                state: v.state,
                ejected_until: v.ejected_until.map(millis),
                cold_since: v.cold_since.map(millis),
                pace: v.pace,
            })
        };
        self.aggregator.views(to_ms(now)).into_iter().filter_map(status).collect()
    }

    /// Returns the number of servers in the list, and how many of them are ejected now.
    pub fn server_counts(&self, now: Micros) -> (u64, u64) {
        let (servers, ejected) = self.aggregator.server_counts(to_ms(now));
        (servers as u64, ejected as u64)
    }

    /// Returns whether the list has any server, without visiting all of them.
    pub fn has_servers(&self) -> bool {
        self.aggregator.has_servers()
    }

    /// Processes counts of attempts that other clients reported. They count as attempts of the first class.
    pub fn report_outcomes(&mut self, now: Micros, reports: Vec<ServerStats>) {
        let counts = |s: ServerStats| OutcomeCounts {
            node: s.server,
            served: s.served,
            errors: s.errors,
            lost: s.lost,
            elapsed: s.mean_elapsed.map(to_ms),
        };
        let reports: Vec<OutcomeCounts> = reports.into_iter().map(counts).collect();
        self.aggregator.report_outcomes(to_ms(now), ClassIndex(0), &reports);
    }

    /// Returns the time of the next necessary call of [`Core::tick`].
    pub fn next_tick_at(&self) -> Micros {
        let margin = millis(self.settings.tick);
        let end = self.deadlines.first().map(|(at, _)| at.saturating_sub(margin));
        let wake = if self.staged.is_empty() { self.wake_at } else { Some(0) };
        [end, wake].into_iter().flatten().min().unwrap_or(Micros::MAX)
    }

    /// Returns the share of the weight of its parts that makes an answer of this class complete (`need`), and
    /// the minimum share for a partial answer (`floor`). `None` if there is no such class.
    pub fn need_and_floor(&self, class: usize) -> Option<(f64, f64)> {
        self.settings.classes.get(class).map(|c| (c.need, c.floor))
    }

    /// Returns the advised retry time for a query of this class that is refused before any part was sent;
    /// `None` if no time is advised.
    pub fn retry_after_when_full(&self, class: usize) -> Option<Micros> {
        retry_after_when_full(&self.settings, class).map(millis)
    }

    /// Returns the numbers of queries that were refused on arrival since the start, by reason.
    pub fn refusals(&self) -> Refusals {
        self.aggregator.refusals()
    }

    /// Returns the number of units (queries and parts) that this process has open.
    pub fn units_in_use(&self) -> usize {
        self.units_in_use
    }

    /// Closes a query and releases its units. Returns whether it was open. All closed queries go through this
    /// function.
    fn close(&mut self, query: QueryId) -> bool {
        let Some(open) = self.open.remove(&query) else { return false };
        self.units_in_use -= 1 + open.attempts.len();
        self.index_table.close_query(open.class, open.tenant);
        self.deadlines.remove(&(open.deadline, query));
        true
    }

    fn run(&mut self, now: Micros) -> Decisions {
        let mut decisions = Decisions::default();
        let events = std::mem::take(&mut self.staged);
        for action in self.aggregator.on_batch(to_ms(now), events) {
            match action {
                Action::Send { part, node, timeout } => {
                    let Some(attempt) = self.next_attempt(&part) else { continue };
                    let limit =
                        |open: &OpenQuery| open.deadline.min(now.saturating_add(open.attempt_timeout));
                    let limit = self.open.get(&attempt.query).map_or(now, limit);
                    let deadline = timeout.map_or(limit, |ms| limit.min(now + millis(ms)));
                    decisions.dispatches.push(Dispatch { attempt, server: node, deadline });
                }
                Action::Cancel { part, attempt } => {
                    if let Some((query, part)) = query_and_part(&part) {
                        decisions.cancel.push(AttemptId { query, part, attempt });
                    }
                }
                Action::Answer { query, whole } => {
                    self.finish(&mut decisions, &query, Verdict::Answer { whole });
                }
                Action::Refuse { query, retry_after } => {
                    let retry_after = retry_after.map(millis);
                    self.finish(&mut decisions, &query, Verdict::Refuse { retry_after });
                }
                Action::Fail { query } => self.finish(&mut decisions, &query, Verdict::Fail),
                Action::Wake { after } => self.wake_at = Some(now + millis(after)),
                // Nothing to do: a broker always watches the list, and brokers share nothing but the network.
                Action::Watch => {}
            }
        }
        decisions
    }

    fn finish(&mut self, decisions: &mut Decisions, query: &RequestId, verdict: Verdict) {
        if let RequestId::Query(query) = *query
            && self.close(query)
        {
            decisions.completions.push(Completion { query, verdict });
        }
    }

    /// Returns the id of the attempt that the decision module starts when it sends this part.
    fn next_attempt(&mut self, part: &RequestId) -> Option<AttemptId> {
        let (query, part) = query_and_part(part)?;
        let attempts = self.open.get_mut(&query)?.attempts.get_mut(part)?;
        *attempts += 1;
        Some(AttemptId { query, part, attempt: *attempts - 1 })
    }
}

/// Converts microseconds to the milliseconds of the decision module.
fn to_ms(time: Micros) -> f64 {
    time as f64 / MILLI as f64
}

fn part_id(query: QueryId, part: usize) -> RequestId {
    RequestId::Part(query, u32::try_from(part).unwrap_or(u32::MAX))
}

fn query_and_part(id: &RequestId) -> Option<(QueryId, usize)> {
    match id {
        RequestId::Part(query, part) => Some((*query, *part as usize)),
        RequestId::Query(_) | RequestId::Named(_) => None,
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use brookbend::api::{AttemptBudget, NodeState};
    use brookbend::settings::{JsonObject, decode};
    use serde_json::Value;

    fn core(max_units: usize) -> Core {
        let settings: Value = serde_json::from_str(include_str!("../../model/tests/settings.json")).unwrap();
        let site = decode(&JsonObject::new("settings", settings.as_object().unwrap())).unwrap();
        let mut core = Core::new(site.settings, max_units, 7);
        let server = |n: usize| ServerInfo {
            name: NodeId(format!("s{n}").into()),
            cell: 0,
            state: NodeState::Serving,
            zone: None,
            started_at: None,
        };
        core.update_servers(ListScope::Cached, (0..2).map(server).collect());
        core
    }

    fn query(id: QueryId, shards: &[usize]) -> Query {
        let weight = 1.0 / shards.len() as f64;
        let parts = shards.iter().map(|&shard| PartSpec { shard, weight, work_hint: None }).collect();
        let limits = Arc::default();
        Query { id, class: 0, tenant: 0, deadline: 1_000_000, limits, is_retry: false, parts }
    }

    fn ended(attempt: AttemptId, outcome: Outcome) -> Report {
        Report { attempt, outcome, elapsed: 20_000, load: None, connected_at: None }
    }

    /// The free attempts of a budget are those of the older process while both serve, and for a window longer.
    #[test]
    fn a_successor_has_no_free_attempts_until_those_of_its_predecessor_are_past() {
        const WINDOW_MS: f64 = 2000.0;
        let is_retried = |older_ended_at: Option<Micros>, now: Micros| {
            let mut core = core(100);
            let budget = AttemptBudget { free_attempts: 9.0, per_request: 0.0, window: WINDOW_MS };
            core.settings.budget = Some(budget);
            core.set_older_process(0, true);
            older_ended_at.into_iter().for_each(|at| core.set_older_process(at, false));
            core.tick(now);
            let query = Query { deadline: now + 1_000_000, ..query(1, &[0]) };
            let first = core.pick(now, vec![query]).dispatches.remove(0).attempt;
            !core.report(now + 10_000, vec![ended(first, Outcome::Full)]).dispatches.is_empty()
        };
        let window = millis(WINDOW_MS);
        assert!(!is_retried(None, 1000 + window));
        assert!(!is_retried(Some(1000), window));
        assert!(is_retried(Some(1000), 1000 + window));
    }

    #[test]
    fn a_full_server_is_retried_and_the_query_ends_once() {
        let mut core = core(10);
        let first = core.pick(1000, vec![query(1, &[0, 1])]).dispatches;
        assert_eq!(first.iter().map(|d| d.attempt.part).collect::<Vec<_>>(), [0, 1]);
        assert!(first.iter().all(|d| d.attempt.attempt == 0 && d.deadline <= 1_000_000));
        let attempts = first.iter().map(|d| d.attempt);
        let outcomes = [Outcome::Served, Outcome::Full];
        let retried = core.report(30_000, attempts.zip(outcomes).map(|(a, o)| ended(a, o)).collect());
        assert_eq!(retried.completions, []);
        assert_eq!(retried.dispatches[0].attempt, AttemptId { query: 1, part: 1, attempt: 1 });
        let last = core.report(60_000, vec![ended(retried.dispatches[0].attempt, Outcome::Served)]);
        assert_eq!(last.completions, [Completion { query: 1, verdict: Verdict::Answer { whole: true } }]);
        assert_eq!((core.units_in_use(), core.tick(2_000_000).completions), (0, vec![]));
    }

    /// Guards against queries beyond MaxOpen that reach the decision module: the simulator never passes any
    /// on, so the module does not expect them.
    #[test]
    fn queries_beyond_max_open_are_refused_and_closed_queries_release_units() {
        let mut core = core(3);
        let both = core.pick(1000, vec![query(1, &[0, 1]), query(2, &[2])]);
        assert!(matches!(
            both.completions[..],
            [Completion { query: 2, verdict: Verdict::Refuse { retry_after: Some(_) } }]
        ));
        assert_eq!((core.units_in_use(), both.dispatches.len(), both.refused_full), (3, 2, 1));
        core.client_gone(1);
        core.client_gone(1);
        assert_eq!(core.units_in_use(), 0);
        let next = core.pick(6000, vec![query(3, &[2])]);
        assert_eq!((next.cancel.len(), next.dispatches.len(), core.units_in_use()), (2, 1, 2));
    }

    /// Guards against a query that is never answered when the decision module has lost it.
    #[test]
    fn a_query_that_the_module_has_lost_fails_before_its_deadline() {
        let mut core = core(10);
        core.pick(1000, vec![query(1, &[0])]);
        core.aggregator = Aggregator::new(core.settings.clone(), 7);
        assert!(core.next_tick_at() <= 1_000_000 - 5000);
        let late = core.tick(995_000);
        assert_eq!(late.completions, [Completion { query: 1, verdict: Verdict::Fail }]);
        assert_eq!((late.overdue, core.units_in_use()), (1, 0));
    }

    #[test]
    fn a_drained_server_gets_no_attempts_from_the_same_turn_on() {
        let mut core = core(100);
        let name = core.pick(1000, vec![query(1, &[0])]).dispatches[0].server.clone();
        let state = NodeState::Draining;
        core.update_servers(
            ListScope::Changes,
            vec![ServerInfo { name: name.clone(), cell: 0, state, zone: None, started_at: None }],
        );
        for id in 2..20 {
            let sent = core.pick(6000, vec![query(id, &[0])]).dispatches;
            assert!(sent.iter().all(|d| d.server != name));
        }
    }

    /// The timeouts and the maximum of attempts that an operator sets apply to the query, and not to another
    /// query beside it.
    #[test]
    fn limits_of_a_query_apply_to_that_query_alone() {
        let mut core = core(10);
        let limits = QueryLimits {
            timeout: Some(300_000),
            attempt_timeout: Some(50_000),
            max_attempts: Some(2),
            ..QueryLimits::default()
        };
        let limited = Query { limits: Arc::new(limits), ..query(1, &[0]) };
        let sent = core.pick(1000, vec![limited, query(2, &[1])]).dispatches;
        let deadline = |id: QueryId| sent.iter().find(|d| d.attempt.query == id).unwrap().deadline;
        assert!(deadline(1) == 51_000 && deadline(2) > 51_000, "{sent:?}");
        let mut attempts = 1;
        let mut now = 1000;
        let mut ended = false;
        while now < 302_000 && !ended {
            now += 50_000;
            let attempt = AttemptId { query: 1, part: 0, attempt: attempts - 1 };
            let timed_out = Report {
                attempt,
                outcome: Outcome::TimedOut,
                elapsed: 50_000,
                load: None,
                connected_at: None,
            };
            let report = core.report(now, vec![timed_out]);
            let mut all = vec![report, core.tick(now)];
            now += 20_000;
            all.push(core.tick(now));
            attempts +=
                all.iter().flat_map(|d| &d.dispatches).filter(|d| d.attempt.query == 1).count() as u32;
            ended = all.iter().flat_map(|d| &d.completions).any(|f| f.query == 1);
        }
        assert!(ended && attempts <= 2 && now <= 301_000, "{attempts} attempts, {now}");
        assert!(core.next_tick_at() > now, "the other query is still open");
    }

    /// A query without any answer ends at the configured timeout, long before its client stops waiting.
    #[test]
    fn a_timeout_ends_a_query_before_its_client_stops_waiting() {
        let mut core = core(10);
        let limits = QueryLimits { timeout: Some(300_000), ..QueryLimits::default() };
        core.pick(1000, vec![Query { limits: Arc::new(limits), ..query(1, &[0]) }]);
        let mut now = 1000;
        let mut ended = false;
        while !ended {
            now = core.next_tick_at().max(now + 1000);
            assert!(now <= 301_000, "the query is still open");
            ended = core.tick(now).completions.iter().any(|f| f.query == 1);
        }
    }
}
