//! The facade of the decisions, in blocking style: hand in what a turn brought, carry out what comes back.
//!
//! It knows no protocol. Queries, parts and servers are numbers and names here, so any front can go through the
//! same decisions and rules. It alone sees the module's events and actions, and it alone counts what is open:
//! a query enters in [`Core::pick`] and leaves with its one [`Final`] or in [`Core::leave`].

mod places;

pub use places::{MOST_PLACES, Placed, TooMany};

use brookbend::Aggregator;
use brookbend::api::{Action, ClassIndex, Event, ListKind, Member, Part, RequestId, Settings, TenantIndex};
use brookbend::overhead::Overhead;
use brookbend::refusals::Refusals;
use brookbend::retry_advice::retry_after_when_full;
use brookbend::view::{OutcomeCounts, ServerView};
use places::Places;
use plover_model::query::{AttemptId, Names, PartSpec, QueryId, QueryLimits};
use plover_model::server::{ListScope, NodeId, Outcome, ServerInfo, View};
use plover_model::snapshot::Snapshot;
use plover_model::time::{MILLI, Micros, millis};
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

/// A query that wants answers from its shards.
#[derive(Clone, Debug)]
pub struct Query {
    /// Its number.
    pub id: QueryId,
    /// Index of its class.
    pub class: usize,
    /// Index of its tenant.
    pub tenant: usize,
    /// When its client gives up.
    pub deadline: Micros,
    /// What the operator sets for it.
    pub limits: Arc<QueryLimits>,
    /// Whether its client marked it as a repeat.
    pub is_retry: bool,
    /// Its parts.
    pub parts: Vec<PartSpec>,
}

/// How an attempt ended.
#[derive(Clone, Debug)]
pub struct Report {
    /// The attempt.
    pub attempt: AttemptId,
    /// How it ended.
    pub outcome: Outcome,
    /// Time since it was dispatched; of one that was served, since its connection was up, if that is later.
    pub elapsed: Micros,
    /// How much the server said it holds.
    pub load: Option<f64>,
    /// Of one that was answered: since when the connection is up that brought the answer, if that is known.
    pub connected: Option<Micros>,
}

/// An attempt to send.
#[derive(Clone, Debug, PartialEq)]
pub struct Dispatch {
    /// The attempt.
    pub attempt: AttemptId,
    /// Where to.
    pub server: NodeId,
    /// When to stop waiting for it.
    pub until: Micros,
}

/// How a query ends.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Verdict {
    /// Answer from the parts that are in.
    Answer {
        /// Whether the answer is whole.
        whole: bool,
    },
    /// Not served; trying again is harmless.
    Refuse {
        /// When to come back.
        retry_after: Option<Micros>,
    },
    /// Not served, promising nothing.
    Fail,
}

/// The one final answer of a query.
#[derive(Clone, Debug, PartialEq)]
pub struct Final {
    /// The query.
    pub query: QueryId,
    /// How it ends.
    pub verdict: Verdict,
}

/// What is to be done, in the order give up, finish, dispatch.
#[derive(Debug, Default, PartialEq)]
pub struct Decisions {
    /// Attempts to stop waiting for. Each still gets its report.
    pub give_up: Vec<AttemptId>,
    /// Final answers to give at once.
    pub finals: Vec<Final>,
    /// Attempts to send.
    pub dispatches: Vec<Dispatch>,
    /// Queries among the final answers that there was no room for.
    pub no_room: usize,
    /// Queries among the final answers that the decisions had left to run out of time.
    pub overdue: usize,
}

/// What others saw at a server over some time.
#[derive(Clone, Debug, PartialEq)]
pub struct Seen {
    /// The server.
    pub server: NodeId,
    /// Attempts that were served.
    pub served: u64,
    /// Attempts that failed with an answer.
    pub errors: u64,
    /// Attempts that ended without one.
    pub lost: u64,
    /// Mean time of those that were served; `None`: not told.
    pub elapsed: Option<Micros>,
}

struct Open {
    class: usize,
    tenant: usize,
    /// An attempt is given up after this time.
    attempt_time_out: Micros,
    /// Attempts dispatched so far, by part: the module numbers them by their order alone.
    attempts: Vec<u32>,
    deadline: Micros,
}

/// The decisions, and what they have in hand.
pub struct Core {
    aggregator: Aggregator,
    settings: Settings,
    max_open: usize,
    /// Queries and parts that other processes of this broker have in hand, and how many processes there are.
    elsewhere: usize,
    copies: usize,
    /// Queries and parts in hand.
    held: usize,
    open: BTreeMap<QueryId, Open>,
    /// The open queries by the time at which their clients give up.
    ends: BTreeSet<(Micros, QueryId)>,
    /// Events that go in with the next call.
    staged: Vec<Event>,
    wake_at: Option<Micros>,
    places: Places,
    /// What comes is over by then: the program is to end.
    answer_by: Micros,
    /// What holds beside the settings until these bind, where it is stricter.
    before: Option<Before>,
    /// When a class that has left ceases to count.
    rest_at: Option<Micros>,
}

/// What the settings before had.
#[derive(Clone, Copy)]
struct Before {
    until: Micros,
    /// So many attempts at a part at the most.
    attempts: u32,
    /// So long clients wait at the most.
    wait: Micros,
}

impl Core {
    /// A core that may hold so many queries and parts.
    pub fn new(settings: Settings, max_open: usize, seed: u64) -> Self {
        Core {
            places: Places::new(&settings, &Names::default()),
            answer_by: Micros::MAX,
            before: None,
            rest_at: None,
            aggregator: Aggregator::new(settings.clone(), seed),
            settings,
            max_open,
            elsewhere: 0,
            copies: 1,
            held: 0,
            open: BTreeMap::new(),
            ends: BTreeSet::new(),
            staged: Vec::new(),
            wake_at: Some(0),
        }
    }

    /// Names the classes and tenants that the settings number, so that other settings can be told from these.
    #[must_use]
    pub fn named(mut self, names: &Names) -> Self {
        self.places = Places::new(&self.settings, names);
        self
    }

    /// Where classes and tenants would be under other settings. Nothing is changed by this.
    pub fn plan(&self, now: Micros, settings: &Settings, names: &Names) -> Result<Placed, TooMany> {
        self.places.plan(now, settings, names)
    }

    /// Goes by other settings, as [`Core::plan`] placed them, for queries that come from now on. What is known of servers
    /// stays. Until `bind` the settings before hold as to attempts, where they allow fewer.
    pub fn reconfigure(&mut self, placed: &Placed, max_open: usize, bind: Micros) {
        // A second change within the time of the first must not end that.
        let before = self.before.filter(|before| placed.at < before.until);
        let (attempts, wait) = (self.settings.max_attempts, self.places.longest_wait());
        self.before = Some(Before {
            until: bind,
            attempts: before.map_or(attempts, |before| before.attempts.min(attempts)),
            wait: before.map_or(wait, |before| before.wait.min(wait)),
        });
        self.places.adopt(placed);
        self.rest_at = self.places.rest_at(placed.at);
        self.settings = placed.settings.clone();
        self.max_open = max_open;
        self.aggregator.reconfigure(self.shared_settings(), &placed.begun);
        self.aggregator.reset_tenants(&placed.tenants_begun);
    }

    /// All queries are over by then, whatever their clients would wait: those in hand, and those that come from now on.
    pub fn answer_by(&mut self, at: Micros) {
        self.answer_by = at;
        self.aggregator.cap_deadlines(to_ms(at));
        for (was, query) in self.ends.split_off(&(at, QueryId::MAX)) {
            if let Some(open) = self.open.get_mut(&query) {
                debug_assert_eq!(open.deadline, was);
                open.deadline = at;
                self.ends.insert((at, query));
            }
        }
    }

    /// The longest time that a client of any class in force waits; until other settings bind, by the shorter of both.
    pub fn longest_wait(&self, now: Micros) -> Micros {
        let before = self.before.filter(|before| now < before.until).map(|before| before.wait);
        before.into_iter().chain([self.places.longest_wait()]).min().unwrap_or(0)
    }

    /// What the broker's own thread needs for a part, and from one turn to the next, as of late; and how long it has been
    /// busy since the start, as the turn begins.
    pub fn set_overhead(&mut self, part: Duration, turn: Duration, busy: Micros) {
        let ms = |time: Duration| time.as_secs_f64() * 1e3;
        self.aggregator.set_overhead(Overhead { per_part: ms(part), per_turn: ms(turn), busy: to_ms(busy) });
    }

    /// The room that queries of other processes of this broker take.
    pub fn set_elsewhere(&mut self, units: usize) {
        self.elsewhere = units;
    }

    /// So many processes are this broker from now on: what all brokers may send to a cold server is divided among more.
    pub fn set_copies(&mut self, copies: u32) {
        let copies = copies.max(1) as usize;
        if std::mem::replace(&mut self.copies, copies) != copies {
            self.aggregator.reconfigure(self.shared_settings(), &[]);
        }
    }

    fn shared_settings(&self) -> Settings {
        let aggregators = self.settings.aggregators.saturating_mul(self.copies);
        Settings { aggregators, ..self.settings.clone() }
    }

    /// What is known of servers and classes, for a process that takes over.
    pub fn snapshot(&self, now: Micros, rev: u64) -> Snapshot {
        let mut snapshot = self.aggregator.snapshot(to_ms(now));
        snapshot.rev = rev;
        for (class, name) in snapshot.classes.iter_mut().zip(self.places.live()) {
            class.name = name;
        }
        snapshot
    }

    /// Takes what a process before this one knew, this long ago.
    pub fn restore(&mut self, now: Micros, age: Micros, snapshot: &Snapshot) {
        let known =
            |name: String| snapshot.classes.iter().find(|c| !name.is_empty() && c.name == name).cloned();
        let classes = self.places.live().into_iter().map(|name| known(name).unwrap_or_default()).collect();
        let snapshot = Snapshot { classes, ..snapshot.clone() };
        self.aggregator.restore(to_ms(now), to_ms(age), &snapshot);
    }

    /// Takes news of the list of servers. It counts from the next call on.
    pub fn learn(&mut self, scope: ListScope, servers: Vec<ServerInfo>) {
        let kind = match scope {
            ListScope::Known => ListKind::Disk,
            ListScope::Whole => ListKind::Complete,
            ListScope::Changes => ListKind::Changes,
        };
        let member = |s: ServerInfo| Member {
            node: s.name,
            cell: s.cell,
            state: s.state,
            zone: s.zone,
            started: s.started.map(|at| at as f64 / MILLI as f64),
        };
        self.staged.push(Event::List { kind, members: servers.into_iter().map(member).collect() });
    }

    /// The query's client has gone away: nothing more is owed.
    pub fn leave(&mut self, query: QueryId) {
        if self.close(query) {
            self.staged.push(Event::ClientGone(RequestId::Query(query)));
        }
    }

    /// No attempt at this part of a query can be sent any more: the query is to do without it. It counts from the next call
    /// on.
    pub fn leave_out(&mut self, query: QueryId, part: usize) {
        if self.open.contains_key(&query) {
            self.staged.push(Event::Unreachable(part_id(query, part)));
        }
    }

    /// Takes the attempts that ended.
    pub fn report(&mut self, now: Micros, reports: Vec<Report>) -> Decisions {
        if reports.is_empty() {
            return Decisions::default();
        }
        for report in reports {
            let part = part_id(report.attempt.query, report.attempt.part);
            let attempt = report.attempt.attempt;
            if let Some(since) = report.connected.map(to_ms) {
                self.staged.push(Event::Connected { part: part.clone(), attempt, since });
            }
            let (outcome, elapsed, load) = (report.outcome, to_ms(report.elapsed), report.load);
            self.staged.push(Event::Ended { part, attempt, outcome, elapsed, load });
        }
        self.run(now)
    }

    /// Takes the queries that came. One that there is no room for is refused before the decisions see it.
    pub fn pick(&mut self, now: Micros, queries: Vec<Query>) -> Decisions {
        if queries.is_empty() {
            return Decisions::default();
        }
        let mut refused = Vec::new();
        let before = self.before.filter(|before| now < before.until).map(|before| before.attempts);
        for q in queries {
            let needs = 1 + q.parts.len();
            if self.held + self.elsewhere + needs > self.max_open {
                let retry_after = self.advice(q.class);
                refused.push(Final { query: q.id, verdict: Verdict::Refuse { retry_after } });
                continue;
            }
            self.held += needs;
            let time_out = q.limits.time_out.map_or(Micros::MAX, |time_out| now.saturating_add(time_out));
            let deadline = q.deadline.min(time_out).min(self.answer_by);
            self.ends.insert((deadline, q.id));
            let attempt_time_out = q.limits.attempt_time_out.unwrap_or(Micros::MAX);
            let attempts = vec![0; q.parts.len()];
            self.places.open(q.class, q.tenant);
            let (class, tenant) = (q.class, q.tenant);
            self.open.insert(q.id, Open { class, tenant, attempt_time_out, attempts, deadline });
            self.staged.push(Event::Query(brookbend::api::Query {
                id: RequestId::Query(q.id),
                group: q.id,
                class: ClassIndex(q.class),
                tenant: TenantIndex(q.tenant),
                deadline: to_ms(deadline),
                client_deadline: to_ms(q.deadline),
                max_attempts: [q.limits.attempts, before].into_iter().flatten().min(),
                is_retry: q.is_retry,
            }));
            self.staged.extend(q.parts.iter().enumerate().map(|(i, p)| {
                Event::Part(Part {
                    id: part_id(q.id, i),
                    group: q.id,
                    shard: p.shard,
                    weight: p.weight,
                    work_hint: p.hint.map(to_ms),
                })
            }));
        }
        let mut decisions = self.run(now);
        decisions.no_room = refused.len();
        decisions.finals.extend(refused);
        decisions
    }

    /// Ends the turn: wakes the decisions where they asked for it, and fails what is about to run out of time.
    pub fn tick(&mut self, now: Micros) -> Decisions {
        let mut decisions = Decisions::default();
        if self.rest_at.take_if(|at| now >= *at).is_some() {
            self.settings = self.places.settings(now, &self.settings);
            self.aggregator.reconfigure(self.shared_settings(), &[]);
            self.rest_at = self.places.rest_at(now);
        }
        if self.wake_at.take_if(|at| now >= *at).is_some() {
            self.staged.push(Event::Woken);
        }
        if !self.staged.is_empty() {
            decisions = self.run(now);
        }
        // Guards against a module that says nothing: what a broker took gets its answer before its time is up.
        let last = now + millis(self.settings.tick);
        while let Some(&(_, query)) = self.ends.first().filter(|(at, _)| *at <= last) {
            self.leave(query);
            decisions.finals.push(Final { query, verdict: Verdict::Fail });
            decisions.overdue += 1;
        }
        decisions
    }

    /// The servers as the decisions see them, but for those that are gone, or of which nobody knows where they listen.
    pub fn views(&self, now: Micros, address: impl Fn(&NodeId) -> Option<SocketAddr>) -> Vec<View> {
        let view = |v: ServerView| {
            Some(View {
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
        self.aggregator.views(to_ms(now)).into_iter().filter_map(view).collect()
    }

    /// How many servers the list has, and how many of these the decisions avoid now.
    pub fn server_counts(&self, now: Micros) -> (u64, u64) {
        let (servers, ejected) = self.aggregator.server_counts(to_ms(now));
        (servers as u64, ejected as u64)
    }

    /// Whether the list names a server, without a look at all of them.
    pub fn has_servers(&self) -> bool {
        self.aggregator.has_servers()
    }

    /// Takes what others saw at the servers. It counts as attempts of the first class.
    pub fn report_outcomes(&mut self, now: Micros, reports: Vec<Seen>) {
        let bulk = |s: Seen| OutcomeCounts {
            node: s.server,
            served: s.served,
            errors: s.errors,
            lost: s.lost,
            elapsed: s.elapsed.map(to_ms),
        };
        let reports: Vec<OutcomeCounts> = reports.into_iter().map(bulk).collect();
        self.aggregator.report_outcomes(to_ms(now), ClassIndex(0), &reports);
    }

    /// When [`Core::tick`] is due.
    pub fn due(&self) -> Micros {
        let margin = millis(self.settings.tick);
        let end = self.ends.first().map(|(at, _)| at.saturating_sub(margin));
        let wake = if self.staged.is_empty() { self.wake_at } else { Some(0) };
        [end, wake].into_iter().flatten().min().unwrap_or(Micros::MAX)
    }

    /// Of a class in force: the share of its parts' weight that makes an answer whole, and the least that one may be given
    /// from. `None`: there is no such class.
    pub fn shares(&self, class: usize) -> Option<(f64, f64)> {
        self.settings.classes.get(class).map(|c| (c.need, c.floor))
    }

    /// When a client is to come back whose query is refused before anything was sent for it; `None`: it isn't told.
    pub fn advice(&self, class: usize) -> Option<Micros> {
        retry_after_when_full(&self.settings, class).map(millis)
    }

    /// Queries that were refused on arrival since the start, and why.
    pub fn refusals(&self) -> Refusals {
        self.aggregator.refusals()
    }

    /// Queries and parts in hand.
    pub fn held(&self) -> usize {
        self.held
    }

    /// The one place where a query is given back. True if it was open.
    fn close(&mut self, query: QueryId) -> bool {
        let Some(open) = self.open.remove(&query) else { return false };
        self.held -= 1 + open.attempts.len();
        self.places.close(open.class, open.tenant);
        self.ends.remove(&(open.deadline, query));
        true
    }

    fn run(&mut self, now: Micros) -> Decisions {
        let mut decisions = Decisions::default();
        let events = std::mem::take(&mut self.staged);
        for action in self.aggregator.on_batch(to_ms(now), events) {
            match action {
                Action::Send { part, node, timeout } => {
                    let Some(attempt) = self.next_attempt(&part) else { continue };
                    let ends = |open: &Open| open.deadline.min(now.saturating_add(open.attempt_time_out));
                    let ends = self.open.get(&attempt.query).map_or(now, ends);
                    let until = timeout.map_or(ends, |ms| ends.min(now + millis(ms)));
                    decisions.dispatches.push(Dispatch { attempt, server: node, until });
                }
                Action::Cancel { part, attempt } => {
                    if let Some((query, part)) = of_part(&part) {
                        decisions.give_up.push(AttemptId { query, part, attempt });
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
                // Brokers share only the network, and the list is always watched.
                Action::Watch => {}
            }
        }
        decisions
    }

    fn finish(&mut self, decisions: &mut Decisions, query: &RequestId, verdict: Verdict) {
        if let RequestId::Query(query) = *query
            && self.close(query)
        {
            decisions.finals.push(Final { query, verdict });
        }
    }

    /// The attempt that the module starts with a send for this part.
    fn next_attempt(&mut self, part: &RequestId) -> Option<AttemptId> {
        let (query, part) = of_part(part)?;
        let attempts = self.open.get_mut(&query)?.attempts.get_mut(part)?;
        *attempts += 1;
        Some(AttemptId { query, part, attempt: *attempts - 1 })
    }
}

/// The module's milliseconds: the one place where time leaves whole microseconds.
fn to_ms(time: Micros) -> f64 {
    time as f64 / MILLI as f64
}

fn part_id(query: QueryId, part: usize) -> RequestId {
    RequestId::Part(query, u32::try_from(part).unwrap_or(u32::MAX))
}

fn of_part(id: &RequestId) -> Option<(QueryId, usize)> {
    match id {
        RequestId::Part(query, part) => Some((*query, *part as usize)),
        RequestId::Query(_) | RequestId::Named(_) => None,
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use brookbend::api::NodeState;
    use brookbend::settings::{JsonObject, decode};
    use serde_json::Value;

    fn core(max_open: usize) -> Core {
        let settings: Value = serde_json::from_str(include_str!("../../model/tests/settings.json")).unwrap();
        let site = decode(&JsonObject::new("settings", settings.as_object().unwrap())).unwrap();
        let mut core = Core::new(site.settings, max_open, 7);
        let server = |n: usize| ServerInfo {
            name: NodeId(format!("s{n}").into()),
            cell: 0,
            state: NodeState::Serving,
            zone: None,
            started: None,
        };
        core.learn(ListScope::Known, (0..2).map(server).collect());
        core
    }

    fn query(id: QueryId, shards: &[usize]) -> Query {
        let weight = 1.0 / shards.len() as f64;
        let parts = shards.iter().map(|&shard| PartSpec { shard, weight, hint: None }).collect();
        let limits = Arc::default();
        Query { id, class: 0, tenant: 0, deadline: 1_000_000, limits, is_retry: false, parts }
    }

    fn ended(attempt: AttemptId, outcome: Outcome) -> Report {
        Report { attempt, outcome, elapsed: 20_000, load: None, connected: None }
    }

    #[test]
    fn a_query_goes_out_is_tried_again_and_ends_once() {
        let mut core = core(10);
        let first = core.pick(1000, vec![query(1, &[0, 1])]).dispatches;
        assert_eq!(first.iter().map(|d| d.attempt.part).collect::<Vec<_>>(), [0, 1]);
        assert!(first.iter().all(|d| d.attempt.attempt == 0 && d.until <= 1_000_000));
        let attempts = first.iter().map(|d| d.attempt);
        let outcomes = [Outcome::Served, Outcome::Full];
        let again = core.report(30_000, attempts.zip(outcomes).map(|(a, o)| ended(a, o)).collect());
        assert_eq!(again.finals, []);
        assert_eq!(again.dispatches[0].attempt, AttemptId { query: 1, part: 1, attempt: 1 });
        let last = core.report(60_000, vec![ended(again.dispatches[0].attempt, Outcome::Served)]);
        assert_eq!(last.finals, [Final { query: 1, verdict: Verdict::Answer { whole: true } }]);
        assert_eq!((core.held(), core.tick(2_000_000).finals), (0, vec![]));
    }

    /// Beyond MaxOpen the simulator never hands a query over, so that the module does not expect one.
    #[test]
    fn what_finds_no_room_is_refused_with_advice_and_room_comes_back() {
        let mut core = core(3);
        let both = core.pick(1000, vec![query(1, &[0, 1]), query(2, &[2])]);
        assert!(matches!(
            both.finals[..],
            [Final { query: 2, verdict: Verdict::Refuse { retry_after: Some(_) } }]
        ));
        assert_eq!((core.held(), both.dispatches.len(), both.no_room), (3, 2, 1));
        core.leave(1);
        core.leave(1);
        assert_eq!(core.held(), 0);
        let next = core.pick(6000, vec![query(3, &[2])]);
        assert_eq!((next.give_up.len(), next.dispatches.len(), core.held()), (2, 1, 2));
    }

    /// Whatever the module does, a query is not left to run out of time.
    #[test]
    fn a_query_that_the_module_forgets_is_failed_in_time() {
        let mut core = core(10);
        core.pick(1000, vec![query(1, &[0])]);
        core.aggregator = Aggregator::new(core.settings.clone(), 7);
        assert!(core.due() <= 1_000_000 - 5000);
        let late = core.tick(995_000);
        assert_eq!(late.finals, [Final { query: 1, verdict: Verdict::Fail }]);
        assert_eq!((late.overdue, core.held()), (1, 0));
    }

    #[test]
    fn a_drained_server_is_sent_nothing_from_the_same_turn_on() {
        let mut core = core(100);
        let name = core.pick(1000, vec![query(1, &[0])]).dispatches[0].server.clone();
        let state = NodeState::Draining;
        core.learn(
            ListScope::Changes,
            vec![ServerInfo { name: name.clone(), cell: 0, state, zone: None, started: None }],
        );
        for id in 2..20 {
            let sent = core.pick(6000, vec![query(id, &[0])]).dispatches;
            assert!(sent.iter().all(|d| d.server != name));
        }
    }

    /// What is set for a query by its operator: it ends in its own time, its attempts in theirs, and no part gets more of
    /// them; another query beside it keeps what the platform gives.
    #[test]
    fn a_query_keeps_to_the_limits_that_are_set_for_it() {
        let mut core = core(10);
        let limits = QueryLimits {
            time_out: Some(300_000),
            attempt_time_out: Some(50_000),
            attempts: Some(2),
            ..QueryLimits::default()
        };
        let limited = Query { limits: Arc::new(limits), ..query(1, &[0]) };
        let sent = core.pick(1000, vec![limited, query(2, &[1])]).dispatches;
        let until = |id: QueryId| sent.iter().find(|d| d.attempt.query == id).unwrap().until;
        assert!(until(1) == 51_000 && until(2) > 51_000, "{sent:?}");
        let mut attempts = 1;
        let mut now = 1000;
        let mut ended = false;
        while now < 302_000 && !ended {
            now += 50_000;
            let attempt = AttemptId { query: 1, part: 0, attempt: attempts - 1 };
            let timed_out =
                Report { attempt, outcome: Outcome::TimedOut, elapsed: 50_000, load: None, connected: None };
            let report = core.report(now, vec![timed_out]);
            let mut all = vec![report, core.tick(now)];
            now += 20_000;
            all.push(core.tick(now));
            attempts +=
                all.iter().flat_map(|d| &d.dispatches).filter(|d| d.attempt.query == 1).count() as u32;
            ended = all.iter().flat_map(|d| &d.finals).any(|f| f.query == 1);
        }
        assert!(ended && attempts <= 2 && now <= 301_000, "{attempts} attempts, {now}");
        assert!(core.due() > now, "the other one is in hand still");
    }

    /// A query that hears nothing ends at the time-out that is set for it, long before its client gives up.
    #[test]
    fn a_time_out_ends_a_query_before_its_client_does() {
        let mut core = core(10);
        let limits = QueryLimits { time_out: Some(300_000), ..QueryLimits::default() };
        core.pick(1000, vec![Query { limits: Arc::new(limits), ..query(1, &[0]) }]);
        let mut now = 1000;
        let mut ended = false;
        while !ended {
            now = core.due().max(now + 1000);
            assert!(now <= 301_000, "it is in hand still");
            ended = core.tick(now).finals.iter().any(|f| f.query == 1);
        }
    }
}
