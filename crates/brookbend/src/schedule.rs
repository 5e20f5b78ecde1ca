//! What a turn has to look at: queries by change or by the next moment at which something of theirs may be done, and their
//! parts by where they stand.
//!
//! Nothing here decides anything. It leaves out only what the decisions would pass over, and keeps the sums that they
//! would else add up over all parts. A moment told too early costs a look; one told too late would change a decision.

use crate::api::*;
use crate::choice::{Aggregator, OMIT_WAIT_SHARE, REPLY_TICKS, TOLERANCE};
use crate::part_index::{OrderedTime, PartStatus, is_missing};
use crate::state::{Attempt, QueryState};
use std::cmp::Reverse;
use std::collections::{BTreeMap, BTreeSet};
use std::mem::{replace, take};

/// A moment as computed may be off by so much: it is looked at sooner.
const FUZZ: Millis = 0.01;

/// The queries by when they are to be looked at.
#[derive(Default)]
pub(crate) struct Schedule {
    by_due_time: BTreeSet<(OrderedTime, RequestId)>,
    /// Those that are looked at in the next turn.
    changed: BTreeSet<RequestId>,
    /// By server: the queries with a part whose connection it lost, one for each such attempt.
    pub(crate) lost_by_server: BTreeMap<usize, Vec<RequestId>>,
    /// All is counted anew in the next turn.
    rebuild_all: bool,
}

impl Schedule {
    /// Something of a query has changed.
    pub(crate) fn mark_changed(&mut self, id: &RequestId) {
        self.changed.insert(id.clone());
    }

    /// Something that all queries rest on has changed.
    pub(crate) fn mark_all_changed(&mut self) {
        self.rebuild_all = true;
    }

    /// Takes out those that are due, in their order.
    fn take_due(&mut self, now: Millis) -> BTreeSet<RequestId> {
        let mut due = take(&mut self.changed);
        while self.by_due_time.first().is_some_and(|(at, _)| at.0 <= now) {
            due.extend(self.by_due_time.pop_first().map(|(_, id)| id));
        }
        due
    }

    /// A query is to be looked at by then.
    fn set(&mut self, id: &RequestId, q: &mut QueryState, at: Millis, now: Millis) {
        let was = replace(&mut q.due_at, at);
        if was != at || at <= now {
            self.by_due_time.remove(&(OrderedTime(was), id.clone()));
            if at > now {
                self.by_due_time.insert((OrderedTime(at), id.clone()));
            } else {
                self.changed.insert(id.clone());
            }
        }
    }

    /// A query has ended.
    pub(crate) fn remove(&mut self, id: &RequestId, q: &QueryState) {
        self.by_due_time.remove(&(OrderedTime(q.due_at), id.clone()));
        if q.lost_connections == 0 {
            return;
        }
        for t in
            q.parts.iter().flat_map(|p| &p.attempts).filter(|t| t.outcome == Some(Outcome::ConnectionLost))
        {
            if let Some(of) = self.lost_by_server.get_mut(&t.server) {
                of.retain(|other| other != id);
                if of.is_empty() {
                    self.lost_by_server.remove(&t.server);
                }
            }
        }
    }
}

impl Aggregator {
    /// Looks at everything in each turn and keeps no sums, as the plain reading of the decisions has it: to compare with.
    #[doc(hidden)]
    pub fn visit_all(&mut self) {
        self.visits_all = true;
    }

    /// How much was looked at so far: queries, parts, entries of rows.
    #[doc(hidden)]
    pub fn visits(&self) -> u64 {
        self.visits.get()
    }

    pub(crate) fn count_visits(&self, n: usize) {
        self.visits.set(self.visits.get() + n as u64);
    }

    /// The queries that this turn looks at.
    pub(crate) fn take_due_queries(&mut self) -> BTreeSet<RequestId> {
        let mut due = self.queries.schedule.take_due(self.now);
        if take(&mut self.queries.schedule.rebuild_all) || self.visits_all {
            for (id, q) in &mut self.queries.by_id {
                for p in &mut q.parts {
                    p.has_holders = !self.fleet.rows.holders(p.shard).is_empty();
                }
                q.rebuild_index(&self.settings, self.now);
                self.visits.set(self.visits.get() + q.parts.len() as u64);
                due.insert(id.clone());
            }
        }
        self.count_visits(due.len());
        due
    }

    /// Moves on those of a query's parts that this moment makes late.
    pub(crate) fn update_late_parts(&self, q: &mut QueryState) {
        let floor = self.min_late_age(q);
        let rose = floor > replace(&mut q.part_index.late_floor, floor);
        let mut moved: Vec<usize> = Vec::new();
        if rose {
            moved.extend(q.part_index.late.iter().chain(&q.part_index.late_exhausted));
        }
        while let Some(Reverse((at, i, attempts))) = q.part_index.waiting.peek().copied()
            && at.0 - FUZZ <= self.now
        {
            q.part_index.waiting.pop();
            let p = &q.parts[i];
            if p.status == PartStatus::Waiting && p.attempts.len() == attempts {
                moved.push(i);
            }
        }
        while let Some((sent, i)) = q.part_index.beyond_expected.first().copied()
            && self.now - sent.0 > floor
        {
            q.part_index.beyond_expected.remove(&(sent, i));
            moved.push(i);
        }
        self.count_visits(moved.len());
        for i in moved {
            q.unindex_part(i);
            q.index_part(&self.settings, self.now, i);
        }
    }

    /// Sends what the turn calls for: of all parts, or of those that are due.
    pub(crate) fn run_parts(&mut self, q: &mut QueryState, all: bool) {
        let (mut from, mut blocked) = (q.step_start, false);
        loop {
            let i = if all || self.visits_all {
                from
            } else {
                q.next_part(&self.settings, from, blocked).unwrap_or(usize::MAX)
            };
            if i >= q.parts.len() {
                return;
            }
            self.count_visits(1);
            q.unindex_part(i);
            blocked |= !self.run_part(q, i);
            q.index_part(&self.settings, self.now, i);
            from = i + 1;
        }
    }

    /// When a query that was looked at now is to be looked at again.
    pub(crate) fn schedule_next_visit(&mut self, id: &RequestId, q: &mut QueryState) {
        let class = &self.settings.classes[q.class];
        let a = &q.part_index;
        let idle = a.unsent.is_empty() && a.failed.is_empty() && a.late.is_empty();
        let reserve = !a.reserve.is_empty() && (a.any_failed_or_late() || q.may_omit_parts(&self.settings));
        // Where a second step is ahead, what was learned of such moves the moments.
        let ahead = class.second_step && q.first_answer_whole.is_none();
        let mut at = f64::NEG_INFINITY;
        // What this turn did to the parts, or a first answer, may call for a reply in the next.
        if idle && !reserve && !ahead && q.planned && !self.reply_may_be_due(q) {
            let slack = REPLY_TICKS * self.settings.tick;
            // The moments of [`Aggregator::reply`]: an answer's useful end is one of the first two.
            let ends = [
                q.deadline - slack,
                q.first_asked_at + class.aim - slack,
                q.first_asked_at + OMIT_WAIT_SHARE * class.aim,
            ];
            let end = ends.into_iter().filter(|at| at + FUZZ > self.now).fold(f64::INFINITY, f64::min);
            let out = a.waiting.peek().map_or(f64::INFINITY, |Reverse((at, ..))| at.0);
            let late = a.beyond_expected.first().map_or(f64::INFINITY, |(sent, _)| sent.0 + a.late_floor);
            at = end.min(out).min(late) - FUZZ;
        }
        self.queries.schedule.set(id, q, at, self.now);
    }

    /// Whether a reply may be due: then all parts are gone through.
    pub(crate) fn may_reply(&self, q: &QueryState) -> bool {
        let may = self.visits_all || !q.planned || self.reply_may_be_due(q);
        self.count_visits(if may { q.parts.len() } else { 0 });
        may
    }

    /// False only where no reply is due, however the sums were rounded.
    fn reply_may_be_due(&self, q: &QueryState) -> bool {
        let (class, t) = (&self.settings.classes[q.class], &q.totals);
        let (drift, parts) = (t.max_rounding_error(), q.parts.len() - q.step_start);
        let slack = REPLY_TICKS * self.settings.tick;
        let second_at = self.now + self.second_step_time(q) + slack;
        let second = q.first_answer_whole.is_some();
        // Whether a sum is surely under, or over, a limit; a sum that is no number is neither.
        let under = |sum: f64, limit: f64| sum + TOLERANCE + drift < limit;
        let over = |sum: f64, limit: f64| sum + TOLERANCE > limit + drift;
        let in_all = second && t.step_served == parts;
        if parts > 0 && (in_all || !second && !under(t.served_weight, class.need)) {
            return true;
        }
        let spoiled = self.is_suspect(q);
        let possible = t.possible_weight(spoiled, true);
        if t.step_served > 0 && !under(t.served_weight, class.floor) {
            let earns = if q.first_answer_whole == Some(false) { 1.0 } else { class.partial_earns };
            let share = earns / class.need.max(TOLERANCE);
            let aim_over = second_at >= q.first_asked_at + class.aim;
            let can_be_whole = over(possible, if second { 1.0 } else { class.need });
            let waits = self.now < q.first_asked_at + OMIT_WAIT_SHARE * class.aim;
            let more = t.possible_weight(spoiled, waits) > t.served_weight + TOLERANCE + drift;
            if second_at >= q.deadline
                || aim_over && !(can_be_whole && (t.served_weight + drift) * share + drift < class.late_worth)
                || !more
            {
                return true;
            }
        }
        let have = t.served_weight > drift;
        self.now >= q.deadline - slack
            || !(second && parts == 0 || over(possible, class.floor.min(class.need)))
            || spoiled && !have
            || self.now >= self.useful_end(q)
    }

    /// The weight of what a query would do without, were this part left out too; from its sums where these tell for sure
    /// that it is, or is not, within a limit. The part itself is lifted.
    pub(crate) fn missing_weight_if_omitted(&self, q: &QueryState, i: usize, limit: f64) -> f64 {
        let sum = q.totals.missing_weight + q.parts[i].weight;
        if !self.visits_all && (sum - limit).abs() > q.totals.max_rounding_error() {
            return sum;
        }
        self.count_visits(q.parts.len());
        let parts = q.parts.iter().enumerate().filter(|(j, p)| *j == i || is_missing(p, q.max_attempts));
        parts.map(|(_, p)| p.weight).sum()
    }

    /// Whether a part was asked for, and its latest attempt has failed or is late.
    pub(crate) fn any_failed_or_late(&self, q: &QueryState) -> bool {
        if !self.visits_all {
            return q.part_index.any_failed_or_late();
        }
        self.count_visits(q.parts.len());
        q.parts.iter().any(|p| self.failed_or_late(q, p))
    }

    /// The longest attempt at a part that is served.
    pub(crate) fn max_served_time(&self, q: &QueryState) -> Millis {
        if !self.visits_all {
            return q.totals.max_attempt_time;
        }
        self.count_visits(q.parts.len());
        let attempts = q.parts.iter().filter(|p| p.served).flat_map(|p| &p.attempts);
        attempts.map(|t| t.took).fold(0.0, f64::max)
    }

    /// How many attempts lost a connection to a server that is silent since, and how many parts are served.
    pub(crate) fn lost_and_served_counts(&self, q: &QueryState) -> (usize, usize) {
        if !self.visits_all {
            return (q.lost_to_silent, q.totals.served);
        }
        self.count_visits(q.parts.len());
        let lost = |t: &&Attempt| t.outcome == Some(Outcome::ConnectionLost);
        let attempts = q.parts.iter().flat_map(|p| &p.attempts).filter(lost);
        let broken = attempts.filter(|t| self.fleet.servers[t.server].is_silent).count();
        (broken, q.parts.iter().filter(|p| p.served).count())
    }

    /// Makes the rows anew: of these cells, or all.
    pub(crate) fn rebuild_rows(&mut self, concerned: Option<BTreeSet<usize>>) {
        let (cells, reach) = (self.settings.cells, self.settings.reach);
        let (turned, written) = match concerned {
            Some(concerned) => self.fleet.update_rows(&concerned),
            None => (self.fleet.rebuild_rows(cells, reach), self.fleet.by_name.len()),
        };
        self.count_visits(written);
        if turned {
            self.queries.schedule.mark_all_changed();
        }
    }

    /// A server has fallen silent, or was heard again: its lost connections tell otherwise of queries now.
    pub(crate) fn silence_changed(&mut self, server: usize) {
        let silent = self.fleet.servers[server].is_silent;
        for id in self.queries.schedule.lost_by_server.get(&server).into_iter().flatten() {
            if let Some(q) = self.queries.by_id.get_mut(id) {
                q.lost_to_silent = if silent { q.lost_to_silent + 1 } else { q.lost_to_silent - 1 };
                self.queries.schedule.changed.insert(id.clone());
                self.visits.set(self.visits.get() + 1);
            }
        }
    }
}
