//! All decisions of an aggregator, in the order of a batch: the server list, arrivals, rows, the choice of a
//! server, attempts, replies, admission, server health, cold servers and the width controller.
//! `api.rs` is the interface; `state.rs` and `fleet.rs` hold the records.

use crate::api::*;
use crate::demand::{Demand, mean_grants_within};
use crate::estimates::{self, WorkEstimate};
use crate::fleet::Fleet;
use crate::overhead::Overhead;
use crate::query_table::QueryTable;
use crate::refusals::Assessment;
use crate::state::{
    Attempt, ClassEstimates, InFlight, PartState, QueryState, Random, Server, Width, never_ran, remove_before,
};
use std::cell::Cell;
use std::collections::{BTreeMap, BTreeSet, VecDeque};

/// Target share of attempts that end as full or timed out, for the width controller.
const WIDTH_TARGET: f64 = 0.02;
/// Proportional and derivative gain of the width controller.
const WIDTH_GAINS: (f64, f64) = (1.0, 0.5);
/// Rows gained or lost a second per unit of relative error: a width change takes a few seconds to show.
const WIDTH_STEP: f64 = 0.25;
/// Limit of one second's relative error, so that a single bad second cannot undo the width.
const WIDTH_ERROR_CAP: f64 = 2.0;
/// Period of the width controller and of the other periodic updates.
const SECOND: Millis = 1000.0;

/// A row holder is clearly behind when its forecast exceeds the best other holder's by this share of the aim:
/// smaller gains do not justify leaving the row.
const BEHIND_AIM: f64 = 0.06;
/// Penalty on a holder in another zone, as a share of the aim: crossing zones costs money and time.
const CROSS_AIM: f64 = 0.05;
/// A server's forecast grows by its error share times this share of the aim: an error costs a new attempt.
const ERROR_AIM: f64 = 0.5;

/// Smoothing factor of a server's pace and error share: about the last five outcomes count.
pub(crate) const SMOOTHING: f64 = 0.2;
/// The same for an answer slower than OVERDUE_FACTOR times its forecast: a broker that uses a server only
/// every few seconds would otherwise keep sending to an overloaded one for a minute.
const SLOW_SMOOTHING: f64 = 0.3;
/// Share by which an unused pace returns to the fleet's each second, so that slow servers are tried again.
const FADE: f64 = 0.12;
/// Smoothing factor of a zone's share of silent outcomes: about the last ten count.
const ZONE_SMOOTHING: f64 = 0.1;
/// Initial pace: milliseconds until an answer per millisecond of own work sent.
const INITIAL_PACE: f64 = 0.8;
/// Limit on the pace from a time-out, as a multiple of the fleet's: a lost request says nothing about pace.
const MAX_TIMEOUT_PACE: f64 = 4.0;
/// Largest factor, either way, by which a hint changes the work of a part.
const MAX_HINT_FACTOR: f64 = 2.0;

/// A server is ejected above this error share, after at least this number of failures in a row.
const EJECT_SHARE: f64 = 0.45;
const EJECT_FAILURES: u32 = 2;
/// First and longest ejection, in multiples of the shortest aim: long enough to spare its queries.
const FIRST_EJECTION: f64 = 0.7;
const MAX_EJECTION: f64 = 4.0;
/// A lost connection says little if the server answered an attempt sent within this share of the aim before.
const ALIVE_AIM: f64 = 0.25;
/// First time that a server which rejected a part as full is skipped, as a share of the shortest aim.
const FULL_HOLD: f64 = 0.15;

/// An attempt is overdue past this multiple of its forecast and this share of the shortest aim (late: its
/// forecast and this share of its step's): earlier, hedging would double queued work and blame its server.
pub(crate) const OVERDUE_FACTOR: f64 = 3.0;
const OVERDUE_AIM: f64 = 0.25;
/// A hedge is sent once the attempt is late by this multiple of the hedge's forecast. It is late against the
/// lower of the two forecasts, so that the query does not wait for an attempt at a slow server.
const HEDGE_DELAY: f64 = 2.0;
/// Without hedging, an attempt is cancelled only if another one forecasts at most this share of the aim, or
/// more if it is lost: on a busy fleet the work that it leaves behind would feed the overload.
const CANCEL_AIM: f64 = 0.15;
/// And only past OVERDUE_FACTOR forecasts or this share of the aim: later, another would hardly be in time.
const CANCEL_LATE: f64 = 0.4;
/// Budget where the settings have none: free attempts, share of accepted requests, window in shortest aims.
const DEFAULT_FREE_ATTEMPTS: f64 = 6.0;
const DEFAULT_SHARE: f64 = 0.3;
const DEFAULT_WINDOW_AIMS: f64 = 1.5;

/// Lowest and highest share, by worth, of a query's time that its forecast may take on arrival.
const ADMIT: (f64, f64) = (0.5, 0.75);
/// Smoothing factor and limit (a share of the aim) of the lag of queries behind their forecast. The limit is
/// below the lowest ADMIT, so that an idle fleet admits queries whatever was learned.
const LAG_SMOOTHING: f64 = 0.1;
const LAG_AIM: f64 = 0.45;
/// Number of lost connections that make a query suspect: one may be chance.
const SUSPECT_LOSSES: usize = 2;
/// An optional part is omitted while all its holders forecast more than this share of the aim: otherwise the
/// largest queries keep filling the cells that lost servers, which others need.
const OMIT_AIM: f64 = 0.12;
/// And more than this multiple of the usual forecast; the second factor is for a server silent for an aim:
/// where each aggregator is one of many, such a server is filled unseen.
const OMIT_USUAL: (f64, f64) = (3.0, 1.0);
/// Time that an answer waits for omitted parts, as a share of the aim.
pub(crate) const OMIT_WAIT_SHARE: f64 = 0.5;
/// Largest share of the aim that is reserved for a second step: the first step has more parts.
const SECOND_STEP_AIM: f64 = 0.5;
/// Retry advice, as a share of the aim's remaining time: late enough for a queue to shrink, early enough for
/// the retry to be in time. A query past its aim, or suspect, gets the longest advice that clients heed.
pub(crate) const RETRY_SHARE: f64 = 0.3;
/// A query has its class's usual time-out within this ratio. One that has it adds a vote, another takes this
/// share of one (in a retry storm few are first tries); the usual time-out counts from this number of votes.
const TIMEOUT_RATIO: f64 = 0.99;
const TIMEOUT_DISSENT: f64 = 0.15;
const TIMEOUT_VOTES: f64 = 8.0;
/// Tolerance, in ticks, on the time at which a retry's first try seems to have come.
const RETRY_TICKS: f64 = 2.0;
/// Weight, for admission, of the slowest part's forecast against the parts' mean.
const SLOWEST: f64 = 0.5;
/// A tenant is over its share at this multiple of its even part of the quota: the streams are uneven.
const QUOTA_SLACK: f64 = 1.3;
/// A batch later than this share of the aim shows that this process itself was paused.
const PAUSE_AIM: f64 = 0.05;
/// Ticks kept free before a deadline, for the reply's way back and the batch in which it is noticed.
pub(crate) const REPLY_TICKS: f64 = 2.0;
/// A server that answers after a silence of this number of aims is taken for newly started.
const COLD_SILENCE: f64 = 2.5;
/// First and longest wait before the list is requested again, as shares of the list deadline.
const WATCH_WAIT: (f64, f64) = (0.03, 0.3);
/// Share of a cold server's limit that all may use together: traffic is bursty, and part of it unseen.
const COLD_SAFE: f64 = 0.75;
/// Random sends to a cold server scatter: this multiple of their square root is kept free below the limit.
const COLD_SCATTER: f64 = 2.0;
/// And demand may grow at once by this factor, as when the last warm server of a cell goes.
const COLD_SURGE: f64 = 2.0;
/// Tolerance on sums of weights, which are rounded in transit.
pub(crate) const TOLERANCE: f64 = 5e-5;
/// Ticks between two wake-ups while no query is open.
const IDLE_TICKS: f64 = 50.0;

/// Makes the decisions of one aggregator.
pub struct Aggregator {
    pub(crate) settings: Settings,
    random: Random,
    pub(crate) now: Millis,
    pub(crate) actions: Vec<Action>,
    pub(crate) fleet: Fleet,
    pub(crate) queries: QueryTable,
    pub(crate) learned: Vec<ClassEstimates>,
    pub(crate) fleet_pace: f64,
    pub(crate) fleet_rescaled: f64,
    next_second: Millis,
    pub(crate) tenant_arrivals: Vec<VecDeque<Millis>>,
    watch_at: Option<Millis>,
    watch_wait: Millis,
    /// Time at which the next batch is due.
    wake_at: Millis,
    pub(crate) shortest_aim: Millis,
    /// Time that this aggregator itself needs; zero until its caller sets it.
    pub(crate) overhead: Overhead,
    /// Whether each turn visits everything, and the number of visits.
    pub(crate) visits_all: bool,
    pub(crate) visits: Cell<u64>,
}

impl Aggregator {
    /// Creates an aggregator that knows only its settings. The same seed and events give the same actions.
    pub fn new(settings: Settings, seed: u64) -> Self {
        let width = Width { rows: settings.reach.max(1) as f64, ..Default::default() };
        let work = WorkEstimate::new(settings.call_work);
        let served_rate = 1.0 / settings.aggregators.max(1) as f64;
        let first = ClassEstimates { width, work, second_step_time: work.unit(), ..Default::default() };
        Aggregator {
            random: Random::new(seed),
            now: 0.0,
            actions: Vec::new(),
            fleet: Fleet::default(),
            queries: QueryTable { demand: Demand::new(settings.cells), served_rate, ..QueryTable::default() },
            learned: vec![first; settings.classes.len()],
            fleet_pace: INITIAL_PACE,
            fleet_rescaled: INITIAL_PACE,
            next_second: f64::NEG_INFINITY,
            tenant_arrivals: vec![VecDeque::new(); settings.tenants.len()],
            watch_at: (settings.list == ListSource::OnRequest).then_some(f64::NEG_INFINITY),
            watch_wait: settings.list_deadline.min(settings.cold.warm_after) * WATCH_WAIT.0,
            wake_at: f64::INFINITY,
            shortest_aim: settings.shortest_aim(),
            overhead: Overhead::default(),
            visits_all: false,
            visits: Cell::new(0),
            settings,
        }
    }

    /// Applies all events of one moment and returns the actions. Sends come last, so that they share calls.
    pub fn on_batch(&mut self, now: Millis, events: Vec<Event>) -> Vec<Action> {
        self.now = now;
        self.queries.paused = now > self.wake_at + PAUSE_AIM * self.shortest_aim;
        self.fleet.begin_batch();
        for event in events {
            match event {
                Event::List { kind, members } => self.apply_list(kind, members),
                Event::Query(query) => self.add_query(query),
                Event::Part(part) => self.add_part(part),
                Event::Ended { part, attempt, outcome, elapsed, load } => {
                    self.ended(part, attempt, outcome, elapsed, load)
                }
                Event::Connected { part, attempt, since } => {
                    if let Some(flight) = self.queries.in_flight.get_mut(&(part, attempt)) {
                        flight.connected = Some(since);
                    }
                }
                Event::ClientGone(id) => {
                    if let Some(q) = self.queries.by_id.remove(&id) {
                        self.learned[q.class].client_timeout.note_unserved(q.first_asked_at);
                        self.close_query(&id, &q);
                    }
                }
                Event::Unreachable(part) => self.mark_unreachable(&part),
                Event::Woken => self.wake_at = f64::INFINITY,
            }
        }
        estimates::rescale(&mut self.learned, &mut self.fleet.servers);
        if self.watch_at.take_if(|at| now >= *at).is_some() {
            self.actions.push(Action::Watch);
        }
        self.each_second();
        for id in self.take_due_queries() {
            if let Some(mut query) = self.queries.by_id.remove(&id)
                && !self.run_query(&id, &mut query)
            {
                self.schedule_next_visit(&id, &mut query);
                self.queries.by_id.insert(id, query);
            }
        }
        self.set_wake();
        std::mem::take(&mut self.actions)
    }

    fn set_wake(&mut self) {
        if self.wake_at == f64::INFINITY {
            let ticks = if self.queries.by_id.is_empty() { IDLE_TICKS } else { 1.0 };
            let after = ticks * self.settings.tick.max(1.0);
            self.actions.push(Action::Wake { after });
            self.wake_at = self.now + after;
        }
    }

    fn apply_list(&mut self, kind: ListKind, members: Vec<Member>) {
        if kind == ListKind::Error {
            // A list service that fails is often overloaded: back off, with jitter.
            let wait = self.watch_wait * (0.5 + self.random.unit());
            self.watch_at = (self.settings.list == ListSource::OnRequest).then_some(self.now + wait);
            self.watch_wait = (self.watch_wait * 2.0).min(self.settings.list_deadline * WATCH_WAIT.1);
            return;
        }
        if kind != ListKind::Disk {
            self.watch_wait = self.settings.list_deadline.min(self.settings.cold.warm_after) * WATCH_WAIT.0;
        }
        let all =
            kind != ListKind::Changes || !self.fleet.rows_match(self.settings.cells, self.settings.reach);
        if kind != ListKind::Changes {
            self.fleet.servers.iter_mut().for_each(|s| s.state = NodeState::Gone);
        }
        let mut concerned = BTreeSet::new();
        for m in members {
            let server = self.fleet.find_or_insert(m.node.clone(), self.fleet_pace, self.fleet_rescaled);
            let was = self.fleet.serving_cell(server);
            self.apply_member(server, m);
            if !all {
                self.fleet.move_server(server, was, &mut concerned);
            }
        }
        self.rebuild_rows((!all).then_some(concerned));
    }

    fn apply_member(&mut self, server: usize, m: Member) {
        let s = &mut self.fleet.servers[server];
        s.cell = m.cell;
        s.state = m.state;
        s.zone = m.zone;
        if let Some(start) = m.started
            && start + self.settings.cold.warm_after > self.now
            && s.cold_since.is_none_or(|c| c < start)
        {
            s.cold_since = Some(start);
            // Work sent before this notice counts as far as the new process may have received it.
            s.cold_sends.retain(|(t, _)| *t >= start);
        }
    }

    /// Returns when the client first asked. All its tries share one time limit, so that a marked retry has
    /// less time than is usual in its class and ends with that limit. To count it as new would, in a retry
    /// storm, fill the fleet with answers past their aim. Where clients do not mark retries, one is assumed
    /// only if the class shows a usual time-out and a query that began at that time went unserved: clients
    /// may shorten their time-outs all at once, and their first tries are no retries.
    pub(crate) fn first_asked(&mut self, class: usize, q: &Query) -> Millis {
        let left = q.client_deadline - self.now;
        let p = &mut self.learned[class].client_timeout;
        let same = (left - p.usual).abs() <= (1.0 - TIMEOUT_RATIO) * p.usual;
        p.votes = (p.votes + if same { 1.0 } else { -TIMEOUT_DISSENT }).min(TIMEOUT_VOTES * 2.0);
        if p.votes < 0.0 {
            (p.usual, p.votes) = (left, 1.0);
        }
        let shortened = left < p.usual * TIMEOUT_RATIO;
        let since = (q.client_deadline - self.settings.classes[class].give_up).min(self.now);
        let usual = shortened && !self.settings.clients_mark_retries && p.votes >= TIMEOUT_VOTES;
        if shortened && q.is_retry || usual && p.take_unserved(since, RETRY_TICKS * self.settings.tick) {
            since
        } else {
            self.now
        }
    }

    /// Advances a query. Returns true once its final answer is given.
    fn run_query(&mut self, id: &RequestId, q: &mut QueryState) -> bool {
        self.update_late_parts(q);
        if self.may_reply(q) && self.reply(id, q) {
            return true;
        }
        let plan = !q.planned && q.step_start < q.parts.len();
        if plan {
            q.planned = true;
            q.rebuild_index(&self.settings, self.now);
            if q.first_answer_whole.is_none() && !self.admit(id, q) {
                // Refusals bring no answers: unless it fades, the lag of one slow period would last for ever.
                self.learned[q.class].lag *= 1.0 - LAG_SMOOTHING / 2.0;
                q.forecast = 0.0;
                return self.end_unserved(id, q);
            }
            self.plan_rows(q);
            self.plan_reserve(q);
        }
        self.run_parts(q, plan);
        false
    }

    fn work(&self, q: &QueryState, i: usize) -> Millis {
        // Hints may be off by several times: they shift the measured work of a part, within bounds.
        let unit = self.learned[q.class].work.unit();
        q.parts[i].hint.map_or(unit, |hint| hint.clamp(unit / MAX_HINT_FACTOR, unit * MAX_HINT_FACTOR))
    }

    /// Assigns the parts to random complete rows by round robin. The rows are adjacent and are taken from the
    /// last to the first, and parts with the same holders advance together: on a ring, parts of adjacent
    /// shards then meet at one server, and in a set the parts of one cell do, and share a call.
    fn plan_rows(&mut self, q: &mut QueryState) {
        let rows = q.parts[q.step_start..].iter().map(|p| self.fleet.rows.holders(p.shard).len()).max();
        let rows = rows.unwrap_or(0).max(1);
        let wanted = self.learned[q.class].width.rows.clamp(1.0, rows as f64);
        let width = (wanted.floor() as usize + usize::from(self.random.unit() < wanted.fract())).min(rows);
        let first = self.random.below(rows);
        let offset = self.random.below(width);
        let mut positions: BTreeMap<usize, usize> = BTreeMap::new();
        for i in q.step_start..q.parts.len() {
            let first_cell = q.parts[i].shard % self.settings.cells.max(1);
            let next = positions.len();
            let position = *positions.entry(first_cell).or_insert(next);
            let row = (first + width - 1 - (offset + position) % width) % rows;
            let holders = self.fleet.rows.holders(q.parts[i].shard);
            q.parts[i].row_holder = (!holders.is_empty()).then(|| holders[row % holders.len()]);
        }
    }

    /// Holds back the parts that an any-k class can spare, those with the longest forecasts, until an attempt
    /// at another part is late or has failed.
    fn plan_reserve(&mut self, q: &mut QueryState) {
        let class = &self.settings.classes[q.class];
        let mut spare = if q.step_start == 0 { 1.0 - class.need } else { 0.0 };
        if spare <= TOLERANCE {
            return;
        }
        let mut order: Vec<(f64, usize)> = (0..q.parts.len())
            .map(|i| {
                let holder = q.parts[i].row_holder;
                (holder.map_or(f64::INFINITY, |s| self.forecast(s, q.class, self.work(q, i))), i)
            })
            .collect();
        order.sort_by(|a, b| b.0.total_cmp(&a.0));
        for (_, i) in order {
            if q.parts[i].weight <= spare + TOLERANCE {
                spare -= q.parts[i].weight;
                q.parts[i].in_reserve = true;
            }
        }
    }

    /// Time until an answer to additional work: all outstanding work at the server's pace, lateness of the
    /// oldest attempt sent after the newest answered one, errors and the wait if full.
    fn forecast(&self, server: usize, class: usize, work: Millis) -> Millis {
        self.forecast_at(self.fleet.servers[server].pace.measured(), server, class, work)
    }

    fn forecast_at(&self, pace: f64, server: usize, class: usize, work: Millis) -> Millis {
        let s = &self.fleet.servers[server];
        let oldest = s.in_flight.iter().find(|(sent, _)| *sent > s.last_served_sent);
        let late = oldest.map_or(0.0, |(sent, expected)| self.now - sent - expected).max(0.0);
        let wait = late + (s.full_until - self.now).max(0.0);
        // A server silent for an aim has its zone's silence, so that a cut is not met at each server anew.
        let unresponsive = s.zone.filter(|_| s.last_response_at < self.now - self.shortest_aim);
        let zone = unresponsive.and_then(|z| self.fleet.silence_by_zone.get(&z)).copied().unwrap_or(0.0);
        let own = s.by_class.get(&class).map_or(0.0, |c| c.errors);
        let errors = s.errors.max(zone).max(own) * ERROR_AIM * self.shortest_aim;
        pace * (self.others_work(s) + s.work_in_flight + work) + wait + errors
    }

    /// Work of the call that another part would open at this server; parts sent in one batch share calls.
    fn call_work(&self, server: usize) -> Millis {
        let opens = self.fleet.servers[server].batch_parts.is_multiple_of(self.settings.batch.max(1));
        if opens { self.settings.call_work } else { 0.0 }
    }

    /// Whether a server may be chosen at all: not ejected, not full, and within its allowance if cold.
    fn eligible(&self, server: usize, work: Millis) -> bool {
        self.is_available(server) && self.cold_capacity_left(server, work)
    }

    fn is_available(&self, server: usize) -> bool {
        let s = &self.fleet.servers[server];
        (s.consecutive_failures < EJECT_FAILURES || s.in_flight.is_empty()) && self.now >= s.ejected_until
    }

    /// Whether a part sent to this server leaves this aggregator's zone.
    fn crosses_zone(&self, server: usize) -> bool {
        let zone = self.fleet.servers[server].zone;
        zone.is_some() && self.settings.zone.is_some() && zone != self.settings.zone
    }

    /// Of the holders (only untried ones if any), chooses the row holder unless unfit or clearly behind, else
    /// the fit one with the best forecast; one called in this batch needs no new call. With no fit one, the
    /// best other is used: the last is never ejected. `None` if all are gone, or cold at their limit.
    fn choose(&self, q: &QueryState, i: usize, fits: impl Fn(&Self, usize, Millis) -> bool) -> Option<usize> {
        let part = &q.parts[i];
        let work = self.work(q, i);
        let class = &self.settings.classes[q.class];
        let at_cold = self.learned[q.class].work.cold_work(work, class.aim);
        let fits = |s: &usize| fits(self, *s, at_cold);
        let fit = |s: &usize| self.is_available(*s) && fits(s);
        let used = |s: &usize| part.attempts.iter().any(|t| t.server == *s);
        let holders = self.fleet.rows.holders(part.shard);
        let fresh = holders.iter().any(|s| !used(s));
        let open = |s: &usize| !(fresh && used(s));
        let cross = CROSS_AIM * self.settings.classes[q.class].aim;
        let score = |s: usize| {
            let crossing = if self.crosses_zone(s) { cross } else { 0.0 };
            self.forecast(s, q.class, work + self.call_work(s)) + crossing
        };
        let best = |of: &mut dyn Iterator<Item = usize>| of.min_by(|a, b| score(*a).total_cmp(&score(*b)));
        let Some(best_fit) = best(&mut holders.iter().copied().filter(|s| open(s) && fit(s))) else {
            return best(&mut holders.iter().copied().filter(|s| open(s) && fits(s)));
        };
        let margin = BEHIND_AIM * self.settings.classes[q.class].aim;
        // Parts already in this batch share the call: a row holder is not behind because of them.
        let batched = |s: usize| self.fleet.servers[s].pace.measured() * self.fleet.servers[s].batch_work;
        let keeps = |s: &usize| open(s) && fit(s) && score(*s) - batched(*s) <= score(best_fit) + margin;
        part.row_holder.filter(|s| holders.contains(s) && keeps(s)).or(Some(best_fit))
    }

    /// Records the demand of a part, and the cold server, if any, that would be chosen for it.
    fn note_demand(&mut self, q: &QueryState, i: usize) {
        self.queries.demand.record_part(q.parts[i].shard);
        let cold = |s: &usize| self.fleet.servers[*s].cold_since.is_some();
        if self.fleet.rows.holders(q.parts[i].shard).iter().any(cold)
            && let Some(s) = self.choose(q, i, |_, _, _| true)
        {
            self.fleet.servers[s].wanted = true;
        }
    }

    /// Whether a part is omitted for now: the answer may do without it, and its holders are all behind. Parts
    /// omitted before count first, so that a query does not alternate.
    fn should_omit(&self, q: &QueryState, i: usize) -> bool {
        let class = &self.settings.classes[q.class];
        let spare = if q.step_start == 0 { class.need - class.floor } else { 0.0 };
        let most = spare + TOLERANCE;
        spare > TOLERANCE && self.is_behind(q, i) && self.missing_weight_if_omitted(q, i, most) <= most
    }

    /// Whether no holder of a part's shard is both eligible and forecast to answer soon.
    fn is_behind(&self, q: &QueryState, i: usize) -> bool {
        let (work, aim) = (self.work(q, i), self.settings.classes[q.class].aim);
        let usual = self.fleet_pace * (work + self.settings.call_work);
        let soon = |s: usize| {
            let responsive = self.fleet.servers[s].last_response_at > self.now - aim;
            let times = if responsive { OMIT_USUAL.0 } else { OMIT_USUAL.1 };
            self.eligible(s, work) && self.forecast(s, q.class, work) <= (OMIT_AIM * aim).max(times * usual)
        };
        !self.fleet.rows.holders(q.parts[i].shard).iter().copied().any(soon)
    }

    /// Sends a part's first attempt, a retry or a hedge. False if only first attempts may follow this turn.
    pub(crate) fn run_part(&mut self, q: &mut QueryState, i: usize) -> bool {
        let part = &q.parts[i];
        if part.served || part.attempts_used() >= q.max_attempts {
            return true;
        }
        let idle = part.attempts.last().is_none_or(|t| t.outcome.is_some());
        q.parts[i].omitted = idle && self.should_omit(q, i);
        let part = &q.parts[i];
        if part.omitted {
            return true;
        }
        if part.attempts.is_empty() {
            if part.in_reserve && !self.any_failed_or_late(q) {
                return true;
            }
            self.note_demand(q, i);
            if let Some(s) = self.choose(q, i, Self::cold_capacity_left) {
                self.send(q, i, s);
            }
            return true;
        }
        if !Self::may_repeat(&self.settings, self.now, q, part) {
            return true;
        }
        if self.is_suspect(q) {
            return false;
        }
        let open = part.attempts.iter().any(|t| t.outcome.is_none());
        let (age, expected) = part.attempts.last().map_or((0.0, 0.0), |t| (self.now - t.sent, t.expected));
        if open && !self.late(q, part) {
            return true;
        }
        if !self.budget_left() {
            return false;
        }
        self.note_demand(q, i);
        let Some(s) = self.choose(q, i, Self::cold_capacity_left) else { return true };
        let forecast = self.forecast(s, q.class, self.work(q, i) + self.call_work(s));
        // A hedge must be in time, and the attempt late by more than a hedge takes: rare on a busy fleet.
        let part = &q.parts[i];
        let newest = &part.attempts[part.attempts.len() - 1];
        let target = &self.fleet.servers[newest.server];
        let same = open && newest.server == s;
        // No response from there since, and the query's other parts took far less: lost, not slow.
        let lost = target.last_response_at < newest.sent && age > OVERDUE_FACTOR * self.max_served_time(q);
        let soon = age <= expected.min(forecast) + HEDGE_DELAY * forecast;
        if open && (same || soon || !self.eligible(s, 0.0) || self.now + forecast > self.useful_end(q)) {
            return true;
        }
        if open && !self.settings.hedging {
            // A merely slow attempt has most of its work done, which cancelling would waste. Waiting for a
            // lost one costs the parts already served: the more of them, the longer another attempt may take.
            let aim = self.settings.classes[q.class].aim;
            let served = self.lost_and_served_counts(q).1 as f64 / q.parts.len() as f64;
            let pays = if lost { served * (q.first_asked_at + aim - self.now) } else { 0.0 };
            let early = age <= (OVERDUE_FACTOR * expected).min(CANCEL_LATE * aim);
            if early || forecast > pays.max(CANCEL_AIM * aim) {
                return true;
            }
            // Only one attempt may be in flight: cancel this one, and send another once its end is reported.
            // To wait on would lose the query to one lost answer or one slow server.
            let attempt = part.attempts.len() as u32 - 1;
            self.actions.push(Action::Cancel { part: part.id.clone(), attempt });
            return true;
        }
        self.queries.extra_attempts.push_back(self.now);
        self.send(q, i, s);
        true
    }

    /// Whether a part was sent and not served, and its latest attempt has failed or is late.
    pub(crate) fn failed_or_late(&self, q: &QueryState, p: &PartState) -> bool {
        !p.served && (self.late(q, p) || p.attempts.last().is_some_and(|t| t.outcome.is_some()))
    }

    fn late(&self, q: &QueryState, p: &PartState) -> bool {
        let floor = self.min_late_age(q);
        p.attempts.last().is_some_and(|t| self.now - t.sent > t.expected.max(floor))
    }

    pub(crate) fn min_late_age(&self, q: &QueryState) -> Millis {
        OVERDUE_AIM * self.step_aim(q)
    }

    /// Whether more parts lost their connection than were served: the query itself may crash each server that
    /// starts it. It is not retried, and ends if no part was served. The same holds when many servers die at
    /// once: clients retry such queries. Losses to servers that answered since do not count.
    pub(crate) fn is_suspect(&self, q: &QueryState) -> bool {
        let (broken, served) = self.lost_and_served_counts(q);
        broken >= SUSPECT_LOSSES && broken > served
    }

    /// Whether the class allows another attempt (rule 2). Attempts that never ran do not count.
    pub(crate) fn may_repeat(settings: &Settings, now: Millis, q: &QueryState, p: &PartState) -> bool {
        let mut live = p.attempts.iter().filter(|t| !t.outcome.is_some_and(never_ran)).peekable();
        let open = p.attempts.iter().filter(|t| t.outcome.is_none()).count();
        if open > usize::from(settings.hedging || settings.cancel) {
            return false;
        }
        match settings.classes[q.class].semantics {
            Semantics::Safe => true,
            Semantics::Unsafe => live.peek().is_none(),
            Semantics::Keyed { window } => live.peek().is_none_or(|t| now < t.sent + window),
        }
    }

    /// Whether the rule's exact sliding window, or the default budget, has room for an attempt beyond a
    /// first: retries and hedges must not feed an overload.
    fn budget_left(&mut self) -> bool {
        let window = DEFAULT_WINDOW_AIMS * self.shortest_aim;
        let own = AttemptBudget { free_attempts: DEFAULT_FREE_ATTEMPTS, per_request: DEFAULT_SHARE, window };
        let rule = self.settings.budget.unwrap_or(own);
        let from = self.now - rule.window;
        // The window's ends are chosen so that neither reading of the rule is exceeded.
        remove_before(&mut self.queries.arrivals, from + self.settings.tick);
        remove_before(&mut self.queries.extra_attempts, from - self.settings.tick);
        (self.queries.extra_attempts.len() + 1) as f64
            <= rule.free_attempts + rule.per_request * self.queries.arrivals.len() as f64
    }

    fn send(&mut self, q: &mut QueryState, i: usize, server: usize) {
        let work = self.work(q, i) + self.call_work(server);
        let overhead = if q.parts[i].attempts.is_empty() { q.overhead } else { self.query_overhead(1) };
        let forecast = self.forecast(server, q.class, work);
        let expected = forecast + overhead;
        let others = self.others_work(&self.fleet.servers[server]);
        let end = self.useful_end(q).min(q.deadline);
        let timeout = (end < q.deadline).then_some((end - self.now).max(self.settings.tick));
        let at_cold = self.learned[q.class].work.cold_work(work, self.settings.classes[q.class].aim);
        let s = &mut self.fleet.servers[server];
        s.work_in_flight += work;
        s.batch_parts += 1;
        self.fleet.called_in_batch.push(server);
        s.batch_work += work;
        s.in_flight.push((self.now, expected));
        s.note_sent(self.now, at_cold, self.settings.cold.overload_time);
        let (class, scale, queued) = (q.class, self.learned[q.class].work.scale(), others + s.work_in_flight);
        let (sent, busy) = (self.now, self.overhead.busy);
        let connected = None;
        let entry =
            InFlight { server, class, work, queued, scale, sent, busy, connected, forecast, expected };
        let part = &mut q.parts[i];
        self.queries.in_flight.insert((part.id.clone(), part.attempts.len() as u32), entry);
        part.attempts.push(Attempt { server, sent: self.now, expected, outcome: None, took: 0.0 });
        let node = self.fleet.servers[server].node.clone();
        self.actions.push(Action::Send { part: part.id.clone(), node, timeout });
    }

    /// Time until which an answer still earns something.
    pub(crate) fn useful_end(&self, q: &QueryState) -> Millis {
        let class = &self.settings.classes[q.class];
        let slack = REPLY_TICKS * self.settings.tick;
        let end = if class.late_worth > 0.0 { q.deadline } else { q.first_asked_at + class.aim };
        end.min(q.deadline) - slack
    }

    /// Recent time of the second step; zero for a class of one step, or once the second step runs.
    pub(crate) fn second_step_time(&self, q: &QueryState) -> Millis {
        let ahead = self.settings.classes[q.class].second_step && q.first_answer_whole.is_none();
        if ahead { self.learned[q.class].second_step_time } else { 0.0 }
    }

    /// Share of the aim, in milliseconds, that belongs to the running step.
    fn step_aim(&self, q: &QueryState) -> Millis {
        let start = if q.first_answer_whole.is_some() { q.first_answered_at - q.first_asked_at } else { 0.0 };
        (self.settings.classes[q.class].aim - start - self.second_step_time(q)).max(self.settings.tick)
    }

    /// Gives the final answer if it is due. Returns true if the query has ended.
    fn reply(&mut self, id: &RequestId, q: &mut QueryState) -> bool {
        let class = &self.settings.classes[q.class];
        let slack = REPLY_TICKS * self.settings.tick;
        // A first answer that a second step follows is given early enough for that step to be in time.
        let second_at = self.now + self.second_step_time(q) + slack;
        let step = &q.parts[q.step_start..];
        let sum = |keep: &dyn Fn(&PartState) -> bool| -> f64 {
            step.iter().filter(|p| keep(p)).map(|p| p.weight).sum()
        };
        let have = sum(&|p| p.served);
        let suspect = self.is_suspect(q);
        let possible = sum(&|p| p.served || self.may_be_served(q, p, suspect));
        let second = q.first_answer_whole.is_some();
        let whole = if second { step.iter().all(|p| p.served) } else { have + TOLERANCE >= class.need };
        if !step.is_empty() && whole {
            return self.answer(id, q, q.first_answer_whole.unwrap_or(true));
        }
        let floor = have > 0.0 && have + TOLERANCE >= class.floor;
        let aim_over = second_at >= q.first_asked_at + class.aim;
        let over = self.now >= q.deadline - slack;
        // After a partial first answer both choices earn its share, so that only the rest counts.
        let earns = if q.first_answer_whole == Some(false) { 1.0 } else { class.partial_earns };
        let partial_worth = earns * have / class.need.max(TOLERANCE);
        let can_be_whole = possible + TOLERANCE >= if second { 1.0 } else { class.need };
        // After the aim, waiting is worth less where the rest cannot come or earns less by then; before it,
        // each part that may still come adds to the share.
        let enough = aim_over && (!can_be_whole || partial_worth >= class.late_worth);
        let waiting = self.now < q.first_asked_at + OMIT_WAIT_SHARE * class.aim;
        let coming = sum(&|p| p.served || ((waiting || !p.omitted) && self.may_be_served(q, p, suspect)));
        if floor && (second_at >= q.deadline || enough || coming <= have + TOLERANCE) {
            return self.answer(id, q, false);
        }
        // Between a first answer and the parts of the second step no part can be lost yet.
        let hopeless = !(second && step.is_empty()) && possible + TOLERANCE < class.floor.min(class.need);
        let crashing = suspect && have == 0.0;
        if over || hopeless || crashing || self.now >= self.useful_end(q) {
            return self.end_unserved(id, q);
        }
        false
    }

    /// Whether a part that is not served may still be.
    fn may_be_served(&self, q: &QueryState, p: &PartState, suspect: bool) -> bool {
        let left = p.attempts_used() < q.max_attempts && (p.attempts.is_empty() || !suspect);
        p.attempts.iter().any(|t| t.outcome.is_none())
            || (left && !self.fleet.rows.holders(p.shard).is_empty())
    }

    fn answer(&mut self, id: &RequestId, q: &mut QueryState, whole: bool) -> bool {
        self.actions.push(Action::Answer { query: id.clone(), whole });
        if whole && self.now <= q.first_asked_at + self.settings.classes[q.class].aim {
            self.learned[q.class].probes.note_served(id, self.now);
        }
        if self.settings.classes[q.class].second_step && q.first_answer_whole.is_none() {
            self.cancel_in_flight(q);
            q.first_answer_whole = Some(whole);
            q.first_answered_at = self.now;
            q.step_start = q.parts.len();
            q.rebuild_index(&self.settings, self.now);
            return false;
        }
        self.close_query(id, q);
        true
    }

    /// Ends a query unserved with retry advice: a refusal where a retry is harmless, else a failure. A keyed
    /// part that may have run is harmless until its window ends; clients tend to return late.
    fn end_unserved(&mut self, id: &RequestId, q: &mut QueryState) -> bool {
        self.learned[q.class].client_timeout.note_unserved(q.first_asked_at);
        let class = &self.settings.classes[q.class];
        let left = q.first_asked_at + class.aim - self.now;
        let useful = if left > 0.0 && !self.is_suspect(q) { RETRY_SHARE * left } else { f64::INFINITY };
        let retry_after = self.settings.max_retry_after.map(|most| most.min(useful));
        let back = self.now + 2.0 * retry_after.unwrap_or(f64::INFINITY);
        let ran = |t: &&Attempt| !t.outcome.is_some_and(never_ran);
        let harmless = |t: &Attempt| match class.semantics {
            Semantics::Safe => true,
            Semantics::Keyed { window } => back < t.sent + window,
            Semantics::Unsafe => false,
        };
        let query = id.clone();
        let all = q.parts.iter().flat_map(|p| &p.attempts).filter(ran).all(harmless);
        self.actions.push(if all { Action::Refuse { query, retry_after } } else { Action::Fail { query } });
        self.close_query(id, q);
        true
    }

    fn close_query(&mut self, id: &RequestId, q: &QueryState) {
        self.cancel_in_flight(q);
        self.queries.schedule.remove(id, q);
        let learned = &mut self.learned[q.class];
        let first_end = if q.first_answer_whole.is_some() { q.first_answered_at } else { self.now };
        if q.forecast > 0.0 && first_end > q.arrived {
            let lag = first_end - q.arrived - q.forecast;
            let most = LAG_AIM * self.settings.classes[q.class].aim;
            learned.lag += LAG_SMOOTHING * (lag.clamp(0.0, most) - learned.lag);
        }
        if q.first_answer_whole.is_some() {
            let most = self.settings.classes[q.class].aim * SECOND_STEP_AIM;
            learned.second_step_time +=
                SMOOTHING * ((self.now - q.first_answered_at).min(most) - learned.second_step_time);
        }
        self.queries.groups.remove(&q.group);
        q.parts.iter().for_each(|p| drop(self.queries.part_positions.remove(&p.id)));
    }

    /// Whether a query can be served in time. Under load, those that earn least for their work are refused
    /// first. The slowest part counts only in part: hedges may avoid a server with an overdue attempt.
    fn admit(&mut self, id: &RequestId, q: &mut QueryState) -> bool {
        let over_share = self.over_share(q.tenant);
        let class = &self.settings.classes[q.class];
        let (mut mean, mut slowest): (Millis, Millis) = (0.0, 0.0);
        let mut total = 0.0;
        let may_omit_parts = q.may_omit_parts(&self.settings);
        for i in 0..q.parts.len() {
            let work = self.work(q, i);
            total += work;
            let holders = self.fleet.rows.holders(q.parts[i].shard);
            let min_forecast = |of: &mut dyn Iterator<Item = usize>| {
                // Rescaled paces are used, since they count no time twice.
                let rescaled = |s: usize| self.fleet.servers[s].pace.rescaled();
                of.map(|s| self.forecast_at(rescaled(s), s, q.class, work)).reduce(f64::min)
            };
            // An ejected server will not be chosen, however idle its ejection makes it look.
            let available = min_forecast(&mut holders.iter().copied().filter(|s| self.is_available(*s)));
            let best =
                available.or_else(|| min_forecast(&mut holders.iter().copied())).unwrap_or(f64::INFINITY);
            if may_omit_parts {
                q.unindex_part(i);
                q.parts[i].omitted = self.should_omit(q, i);
                q.index_part(&self.settings, self.now, i);
            }
            if best.is_finite() && !q.parts[i].omitted {
                mean += best / q.parts.len() as f64;
                slowest = slowest.max(best);
            }
        }
        let mut density = class.worth / if self.settings.worth_by_work { 1.0 } else { total.max(1.0) };
        let best = estimates::best_density(&mut self.learned, q.class, density, self.settings.worth_by_work);
        if over_share {
            density *= self.settings.over_share_worth;
        }
        let limit = ADMIT.0 + (ADMIT.1 - ADMIT.0) * density / best.max(f64::MIN_POSITIVE);
        let overhead = self.query_overhead(q.parts.len());
        let forecast = mean + SLOWEST * (slowest - mean) + overhead;
        (q.forecast, q.overhead) = (forecast, overhead);
        // A possible partial answer justifies more risk, a late one only more lag; neither does where the
        // client leaves before the aim, since its retries would fill the fleet with lost work.
        let client_stays = f64::from(q.deadline > q.first_asked_at + class.aim);
        let partial_allowed = if class.floor < class.need { client_stays } else { 0.0 };
        let partial = partial_allowed * class.partial_earns * class.floor / class.need.max(TOLERANCE);
        let fallback = partial.max(client_stays * class.late_worth);
        let limit = limit + (1.0 - limit) * partial;
        let left = (q.first_asked_at + class.aim).min(q.deadline) - self.now - self.second_step_time(q);
        // Past its aim a query is refused, since it would earn the late worth at most.
        let (class, lag) = (ClassIndex(q.class), self.learned[q.class].lag * (1.0 - fallback));
        let assessment = Assessment { class, mean, slowest, overhead, forecast, lag, allowed: limit * left };
        let probes = &mut self.learned[q.class].probes;
        if assessment.admits() {
            probes.note_admitted();
            return true;
        }
        let in_time_yet = assessment.allowed > 0.0;
        if in_time_yet && probes.admits(id, self.now) {
            self.queries.refusals.probes += 1;
            return true;
        }
        probes.note_refused();
        self.queries.refusals.note(assessment);
        false
    }

    fn over_share(&mut self, tenant: usize) -> bool {
        let Some(times) = self.tenant_arrivals.get_mut(tenant) else { return false };
        let span = self.settings.cold.warm_after.max(self.settings.max_wait());
        remove_before(times, self.now - span);
        let even = self.settings.tenants[tenant].quota_per_s / self.settings.aggregators.max(1) as f64;
        times.len() as f64 > QUOTA_SLACK * even * span / SECOND
    }

    fn ended(&mut self, part: RequestId, attempt: u32, outcome: Outcome, elapsed: Millis, load: Option<f64>) {
        if let Some(flight) = self.queries.in_flight.remove(&(part.clone(), attempt)) {
            self.record_outcome(&flight, outcome, elapsed);
            self.record_reported_load(&flight, load);
        }
        self.finish_attempt(&part, attempt, outcome);
    }

    pub(crate) fn record_outcome(&mut self, f: &InFlight, outcome: Outcome, elapsed: Millis) {
        let silent = self.fleet.servers[f.server].is_silent;
        self.update_health(f, outcome, elapsed);
        if silent != self.fleet.servers[f.server].is_silent {
            self.silence_changed(f.server);
        }
    }

    fn update_health(&mut self, f: &InFlight, outcome: Outcome, elapsed: Millis) {
        let elapsed = if elapsed.is_finite() { elapsed.max(0.0) } else { self.now - f.sent };
        let aim = self.shortest_aim;
        let jitter = 0.75 + 0.5 * self.random.unit();
        let (min_time, likely) = (self.min_time(f, elapsed), self.likely_time(f, elapsed));
        let s = &mut self.fleet.servers[f.server];
        s.remove_in_flight(f);
        // Long overdue and nothing sent later was answered: a failure, even if a hedge was quicker and this
        // attempt was cancelled. The forecast grows with load, so that load alone does not count.
        let overdue = !self.queries.paused && elapsed > (OVERDUE_FACTOR * f.expected).max(OVERDUE_AIM * aim);
        let silent = overdue && f.sent > s.last_served_sent;
        let no_answer = outcome == Outcome::Cancelled && silent
            || matches!(outcome, Outcome::TimedOut | Outcome::NoConnection | Outcome::ConnectionLost);
        if let Some(zone) =
            s.zone.filter(|_| !self.queries.paused && (no_answer || outcome == Outcome::Served))
        {
            let share = self.fleet.silence_by_zone.entry(zone).or_default();
            *share += ZONE_SMOOTHING * (f64::from(u8::from(no_answer)) - *share);
        }
        // A server may fail one class and answer the others, which hides it: each class has its own record.
        let record = s.by_class.entry(f.class).or_default();
        let lost = overdue && f.sent > record.last_served_sent && outcome != Outcome::Served;
        if lost || outcome == Outcome::Error {
            record.errors += SLOW_SMOOTHING * (1.0 - record.errors);
        } else if outcome == Outcome::Served {
            record.errors *= 1.0 - SLOW_SMOOTHING;
            record.last_served_sent = record.last_served_sent.max(f.sent);
        }
        let width = &mut self.learned[f.class].width;
        match outcome {
            Outcome::NotSent => return,
            // Noticed late because this process was paused: says nothing about the server.
            Outcome::TimedOut if self.queries.paused => return,
            Outcome::Cancelled if !silent => return,
            Outcome::Served => {
                width.ended += 1;
                self.queries.served_work += if s.warm() { f.work } else { 0.0 };
                let likely = if self.queries.paused { likely.min(f.expected) } else { likely };
                let pace = likely / f.queued.max(1.0);
                let weight = if elapsed > OVERDUE_FACTOR * f.expected { SLOW_SMOOTHING } else { SMOOTHING };
                let work = &self.learned[f.class].work;
                match work.is_known() {
                    true => s.pace.observe(pace, pace * f.scale / work.scale(), weight),
                    false => s.pace.observe_provisional(f.class, pace, work.scale() / f.scale, weight),
                }
                s.last_response_at = self.now;
                let silence = f.sent - s.last_served_sent;
                s.last_served_sent = s.last_served_sent.max(f.sent);
                s.errors *= 1.0 - SMOOTHING;
                s.consecutive_failures = 0;
                s.ejection = 0.0;
                let started_by = f.connected.unwrap_or(self.now);
                let restarted = started_by > std::mem::replace(&mut s.last_answer_at, self.now);
                if s.is_silent && silence > COLD_SILENCE * aim && restarted {
                    // A long silence, then an answer: a restart that the list may not show yet. Work sent
                    // before may have reached the process that fell silent.
                    if s.cold_since.replace(started_by).is_none() {
                        s.cold_sends.clear();
                    }
                }
                s.is_silent = false;
                self.learned[f.class].work.observe(likely);
                return;
            }
            Outcome::Full => {
                width.ended += 1;
                width.bad += 1;
                // Doubles while nothing is answered: a server that hangs stays full.
                s.ejection = (s.ejection * 2.0).clamp(FULL_HOLD * aim, MAX_EJECTION * aim);
                s.full_until = self.now + s.ejection * jitter;
                s.ejected_until = s.full_until;
                return;
            }
            Outcome::TimedOut => {
                // The backlog of a stall times out late: older than the newest answer, it says nothing.
                width.ended += 1;
                width.bad += u32::from(f.sent > s.last_served_sent);
                if f.sent <= s.last_served_sent {
                    return;
                }
                // It would have taken longer still: else a server full of such work looks fast.
                let pace = (min_time / f.queued.max(1.0)).min(MAX_TIMEOUT_PACE * self.fleet_pace);
                s.pace.observe_lower_bound(pace, SMOOTHING);
                s.last_response_at = self.now;
            }
            // Quick errors are due to the server and not to load: the width controller ignores them.
            Outcome::Error | Outcome::Cancelled | Outcome::NoConnection | Outcome::ConnectionLost => {}
        }
        s.errors += SMOOTHING * (1.0 - s.errors);
        s.consecutive_failures += 1;
        // The server is down or unreachable, whatever the load: eject at once. One that has answered an
        // attempt sent later, or just before, has only lost a connection and is up.
        let alive = s.last_served_sent + ALIVE_AIM * aim > f.sent && outcome == Outcome::ConnectionLost;
        let gone = matches!(outcome, Outcome::NoConnection | Outcome::ConnectionLost if !alive);
        s.is_silent |= gone || outcome == Outcome::TimedOut;
        let failing = s.consecutive_failures >= EJECT_FAILURES && s.errors > EJECT_SHARE;
        if (gone || failing) && self.now >= s.ejected_until {
            s.ejection = (s.ejection * 2.0).clamp(FIRST_EJECTION * aim, MAX_EJECTION * aim);
            s.ejected_until = self.now + s.ejection * jitter;
        }
    }

    /// Whether a server that may be cold can take more work within its window (rule 4): all aggregators
    /// together stay under a multiple of its capacity. What all have served by a warm server is at most its
    /// capacity, so each keeps to that multiple of the cold share of its own part of it, which needs no
    /// knowledge of cores or other traffic. Until that is known, an even part of one core counts.
    fn cold_capacity_left(&self, server: usize, work: Millis) -> bool {
        let s = &self.fleet.servers[server];
        let Some(since) = s.cold_since else { return true };
        let rule = &self.settings.cold;
        let age = (self.now - since).max(0.0) / rule.warm_after.max(1.0);
        if age >= 1.0 {
            return true;
        }
        let capacity = rule.initial_capacity + (1.0 - rule.initial_capacity) * age;
        let limit = COLD_SAFE * rule.overload_factor * capacity * rule.overload_time;
        let (even_share, served) = (1.0 / self.settings.aggregators.max(1) as f64, self.queries.served_rate);
        let share = served.max((even_share + served) / 2.0);
        let even = limit * share;
        let from = self.now - rule.overload_time;
        let sent: Millis = s.cold_sends.iter().filter(|(t, _)| *t >= from).map(|(_, w)| w).sum();
        // An even part below one part's work is a chance to send, drawn anew each second. It is lost where no
        // part uses it, so it grows as parts get rare: over all aggregators, demand times chance adds up to
        // the intended sends.
        let max_wait = (!self.warm_beside(s)).then(|| self.settings.max_wait() / SECOND);
        let demand = self.queries.demand.server_share(s.cell, self.settings.reach, max_wait);
        let sends = mean_grants_within(limit / (COLD_SAFE * work.max(1.0)), COLD_SCATTER) / COLD_SURGE;
        let chance = sends * share * SECOND / (rule.overload_time * demand);
        sent + work <= even || (sent == 0.0 && s.cold_draw < chance)
    }

    /// Whether a warm, available server holds the same shards as this one.
    fn warm_beside(&self, s: &Server) -> bool {
        let warm = |i: &usize| self.fleet.servers[*i].warm() && self.is_available(*i);
        self.fleet.rows.holders(s.cell).iter().any(warm)
    }

    fn each_second(&mut self) {
        if self.now < self.next_second {
            return;
        }
        self.next_second = self.now + SECOND;
        for i in 0..self.learned.len() {
            self.adjust_width(i);
        }
        let responsive = self.fleet.servers.iter().filter(|s| s.last_response_at > self.now - 4.0 * SECOND);
        let median = estimates::median_pace(responsive.map(|s| &s.pace));
        // Without responses, as when all is refused after a slow period, estimates must fade.
        let fade = if median.is_none() { FADE } else { 0.0 };
        self.learned.iter_mut().for_each(|l| l.work.decay(fade));
        let faded = |pace: f64| pace + FADE * (INITIAL_PACE - pace);
        let faded = (faded(self.fleet_pace), faded(self.fleet_rescaled));
        (self.fleet_pace, self.fleet_rescaled) = median.unwrap_or(faded);
        let cold = |s: &&Server| s.cold_since.is_some() && self.warm_beside(s);
        let wanted: Vec<bool> = self.fleet.servers.iter().filter(cold).map(|s| s.wanted).collect();
        self.queries.demand.end_second(SMOOTHING, &wanted);
        for s in &mut self.fleet.servers {
            if s.last_response_at < self.now - SECOND {
                s.pace.move_towards(self.fleet_pace, self.fleet_rescaled, FADE);
            }
            s.by_class.values_mut().for_each(|c| c.errors *= 1.0 - FADE);
            if s.in_flight.is_empty() {
                s.errors *= 1.0 - FADE;
            }
            (s.cold_draw, s.wanted) = (self.random.unit(), false);
            let window = self.now - self.settings.cold.overload_time;
            s.cold_sends.retain(|(t, _)| *t >= window);
            s.cold_since = s.cold_since.filter(|c| c + self.settings.cold.warm_after > self.now);
        }
        let warm = self.fleet.servers.iter().filter(|s| s.warm()).count();
        let served = std::mem::take(&mut self.queries.served_work) / SECOND / warm.max(1) as f64;
        if warm > 0 {
            self.queries.served_rate += SMOOTHING * (served - self.queries.served_rate);
        }
        self.evict_gone_servers();
        self.budget_left(); // also drops entries past the window
    }

    /// One PD step on the share of calls that ended full or timed out; none after an idle second.
    fn adjust_width(&mut self, class: usize) {
        let w = &mut self.learned[class].width;
        if w.ended == 0 {
            return;
        }
        let rows = self.fleet.rows.max_holders().max(1);
        let share = f64::from(w.bad) / f64::from(w.ended);
        let error = ((WIDTH_TARGET - share) / WIDTH_TARGET).max(-WIDTH_ERROR_CAP);
        let change = WIDTH_GAINS.0 * error + WIDTH_GAINS.1 * (error - w.last_error);
        w.rows = (w.rows + WIDTH_STEP * change).clamp(1.0, rows as f64);
        (w.last_error, w.ended, w.bad) = (error, 0, 0);
    }
}
