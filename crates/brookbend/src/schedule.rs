//! Selects what a turn visits: queries that changed or whose next possible action is due, and within a query
//! the parts that need a decision.
//!
//! This module decides nothing itself. It skips only what the decisions would leave alone, and keeps the
//! totals that they would otherwise recompute from all parts. A due time that is too early costs an extra
//! visit; one that is too late would change a decision.

use crate::api::*;
use crate::choice::{Aggregator, OMIT_WAIT_SHARE, REPLY_TICKS, TOLERANCE};
use crate::part_index::{OrderedTime, PartStatus, is_missing};
use crate::state::{Attempt, QueryState};
use std::cmp::Reverse;
use std::collections::{BTreeMap, BTreeSet};
use std::mem::{replace, take};

/// Tolerance for rounding errors in computed due times, in milliseconds: visits are made this much earlier.
const DUE_TIME_TOLERANCE: Millis = 0.01;

/// The open queries by the time at which they have to be visited next.
#[derive(Default)]
pub(crate) struct Schedule {
    by_due_time: BTreeSet<(OrderedTime, RequestId)>,
    /// Queries to visit in the next turn.
    changed: BTreeSet<RequestId>,
    /// By server: the queries with attempts that lost their connection to it, once for each such attempt.
    pub(crate) lost_by_server: BTreeMap<usize, Vec<RequestId>>,
    /// Whether the next turn rebuilds the index of every query and visits all of them.
    rebuild_all: bool,
}

impl Schedule {
    /// Marks a query to be visited in the next turn.
    pub(crate) fn mark_changed(&mut self, id: &RequestId) {
        self.changed.insert(id.clone());
    }

    /// Marks all queries to be re-indexed and visited in the next turn, after a change that concerns every
    /// one of them.
    pub(crate) fn mark_all_changed(&mut self) {
        self.rebuild_all = true;
    }

    /// Removes and returns the queries that are due, in the order of their ids.
    fn take_due(&mut self, now: Millis) -> BTreeSet<RequestId> {
        let mut due = take(&mut self.changed);
        while self.by_due_time.first().is_some_and(|(due_at, _)| due_at.0 <= now) {
            due.extend(self.by_due_time.pop_first().map(|(_, id)| id));
        }
        due
    }

    /// Sets the time by which a query has to be visited next; not after `now` means the next turn.
    fn set(&mut self, id: &RequestId, query: &mut QueryState, due_at: Millis, now: Millis) {
        let previous = replace(&mut query.due_at, due_at);
        if previous != due_at || due_at <= now {
            self.by_due_time.remove(&(OrderedTime(previous), id.clone()));
            if due_at > now {
                self.by_due_time.insert((OrderedTime(due_at), id.clone()));
            } else {
                self.changed.insert(id.clone());
            }
        }
    }

    /// Removes a query that has ended. If it is marked as changed, the next turn ignores the mark.
    pub(crate) fn remove(&mut self, id: &RequestId, query: &QueryState) {
        self.by_due_time.remove(&(OrderedTime(query.due_at), id.clone()));
        if query.lost_connections == 0 {
            return;
        }
        for attempt in query
            .parts
            .iter()
            .flat_map(|p| &p.attempts)
            .filter(|t| t.outcome == Some(Outcome::ConnectionLost))
        {
            if let Some(queries) = self.lost_by_server.get_mut(&attempt.server) {
                queries.retain(|other| other != id);
                if queries.is_empty() {
                    self.lost_by_server.remove(&attempt.server);
                }
            }
        }
    }
}

impl Aggregator {
    /// Makes every turn visit all queries and parts without the index and the running totals. Tests compare
    /// this plain evaluation of the decisions with the indexed one.
    #[doc(hidden)]
    pub fn visit_all(&mut self) {
        self.visits_all = true;
    }

    /// Number of visits so far to queries, parts and entries of rows: a measure of the work that turns cost.
    #[doc(hidden)]
    pub fn visits(&self) -> u64 {
        self.visits.get()
    }

    pub(crate) fn count_visits(&self, count: usize) {
        self.visits.set(self.visits.get() + count as u64);
    }

    /// Removes from the schedule and returns the queries that this turn visits.
    pub(crate) fn take_due_queries(&mut self) -> BTreeSet<RequestId> {
        let mut due = self.queries.schedule.take_due(self.now);
        if take(&mut self.queries.schedule.rebuild_all) || self.visits_all {
            for (id, query) in &mut self.queries.by_id {
                for part in &mut query.parts {
                    part.has_holders = !self.fleet.rows.holders(part.shard).is_empty();
                }
                query.rebuild_index(&self.settings, self.now);
                self.visits.set(self.visits.get() + query.parts.len() as u64);
                due.insert(id.clone());
            }
        }
        self.count_visits(due.len());
        due
    }

    /// Re-indexes the parts of a query whose status changes with time alone: those whose attempt has exceeded
    /// its expected time or has become late, and the late ones if the minimum age for being late has risen.
    pub(crate) fn update_late_parts(&self, query: &mut QueryState) {
        let late_floor = self.min_late_age(query);
        let floor_rose = late_floor > replace(&mut query.part_index.late_floor, late_floor);
        let mut outdated: Vec<usize> = Vec::new();
        if floor_rose {
            outdated.extend(query.part_index.late.iter().chain(&query.part_index.late_exhausted));
        }
        while let Some(Reverse((expected_at, position, attempts))) = query.part_index.waiting.peek().copied()
            && expected_at.0 - DUE_TIME_TOLERANCE <= self.now
        {
            query.part_index.waiting.pop();
            let part = &query.parts[position];
            if part.status == PartStatus::Waiting && part.attempts.len() == attempts {
                outdated.push(position);
            }
        }
        while let Some((sent, position)) = query.part_index.beyond_expected.first().copied()
            && self.now - sent.0 > late_floor
        {
            query.part_index.beyond_expected.remove(&(sent, position));
            outdated.push(position);
        }
        self.count_visits(outdated.len());
        for position in outdated {
            query.unindex_part(position);
            query.index_part(&self.settings, self.now, position);
        }
    }

    /// Sends the attempts that are due, after visiting all parts of the current step or only those that need
    /// a decision.
    pub(crate) fn run_parts(&mut self, query: &mut QueryState, all: bool) {
        let (mut from, mut blocked) = (query.step_start, false);
        loop {
            let position = if all || self.visits_all {
                from
            } else {
                query.next_part(&self.settings, from, blocked).unwrap_or(usize::MAX)
            };
            if position >= query.parts.len() {
                return;
            }
            self.count_visits(1);
            query.unindex_part(position);
            blocked |= !self.run_part(query, position);
            query.index_part(&self.settings, self.now, position);
            from = position + 1;
        }
    }

    /// Schedules the next visit to a query that this turn has visited.
    pub(crate) fn schedule_next_visit(&mut self, id: &RequestId, query: &mut QueryState) {
        let class = &self.settings.classes[query.class];
        let index = &query.part_index;
        let idle = index.unsent.is_empty() && index.failed.is_empty() && index.late.is_empty();
        let reserve_due =
            !index.reserve.is_empty() && (index.any_failed_or_late() || query.may_omit_parts(&self.settings));
        // The due times of a query with a second step to come depend on the learned duration of that step,
        // which may change at any time: such a query is visited in every turn.
        let second_step_ahead = class.second_step && query.first_answer_whole.is_none();
        let mut due_at = f64::NEG_INFINITY;
        // Attempts that this turn sent or cancelled, or a first answer, may make a reply due in the next
        // turn.
        if idle && !reserve_due && !second_step_ahead && query.planned && !self.reply_may_be_due(query) {
            let slack = REPLY_TICKS * self.settings.tick;
            // The times at which [`Aggregator::reply`] may decide otherwise. The time until which an answer
            // is useful is one of the first two.
            let reply_times = [
                query.deadline - slack,
                query.first_asked_at + class.aim - slack,
                query.first_asked_at + OMIT_WAIT_SHARE * class.aim,
            ];
            let reply_at = reply_times
                .into_iter()
                .filter(|at| at + DUE_TIME_TOLERANCE > self.now)
                .fold(f64::INFINITY, f64::min);
            let expected_at = index.waiting.peek().map_or(f64::INFINITY, |Reverse((at, ..))| at.0);
            let late_at =
                index.beyond_expected.first().map_or(f64::INFINITY, |(sent, _)| sent.0 + index.late_floor);
            due_at = reply_at.min(expected_at).min(late_at) - DUE_TIME_TOLERANCE;
        }
        self.queries.schedule.set(id, query, due_at, self.now);
    }

    /// Whether a reply may be due. The caller then evaluates all parts.
    pub(crate) fn may_reply(&self, query: &QueryState) -> bool {
        let may_reply = self.visits_all || !query.planned || self.reply_may_be_due(query);
        self.count_visits(if may_reply { query.parts.len() } else { 0 });
        may_reply
    }

    /// Evaluates the conditions of [`Aggregator::reply`] from the running totals. False only if no reply is
    /// due, whatever the rounding errors of the totals are.
    fn reply_may_be_due(&self, query: &QueryState) -> bool {
        let (class, totals) = (&self.settings.classes[query.class], &query.totals);
        let (error, parts) = (totals.max_rounding_error(), query.parts.len() - query.step_start);
        let slack = REPLY_TICKS * self.settings.tick;
        let second_at = self.now + self.second_step_time(query) + slack;
        let second = query.first_answer_whole.is_some();
        // Whether a sum is certainly below, or above, a limit. Both are false for a sum that is not a number.
        let below = |sum: f64, limit: f64| sum + TOLERANCE + error < limit;
        let above = |sum: f64, limit: f64| sum + TOLERANCE > limit + error;
        let all_served = second && totals.step_served == parts;
        if parts > 0 && (all_served || !second && !below(totals.served_weight, class.need)) {
            return true;
        }
        let suspect = self.is_suspect(query);
        let possible = totals.possible_weight(suspect, true);
        if totals.step_served > 0 && !below(totals.served_weight, class.floor) {
            let earns = if query.first_answer_whole == Some(false) { 1.0 } else { class.partial_earns };
            let share = earns / class.need.max(TOLERANCE);
            let aim_over = second_at >= query.first_asked_at + class.aim;
            let can_be_whole = above(possible, if second { 1.0 } else { class.need });
            let waits = self.now < query.first_asked_at + OMIT_WAIT_SHARE * class.aim;
            let more_may_come =
                totals.possible_weight(suspect, waits) > totals.served_weight + TOLERANCE + error;
            if second_at >= query.deadline
                || aim_over
                    && !(can_be_whole && (totals.served_weight + error) * share + error < class.late_worth)
                || !more_may_come
            {
                return true;
            }
        }
        let any_served = totals.served_weight > error;
        self.now >= query.deadline - slack
            || !(second && parts == 0 || above(possible, class.floor.min(class.need)))
            || suspect && !any_served
            || self.now >= self.useful_end(query)
    }

    /// Weight that a query's answer would lack if this part were omitted too. The part is not in the index at
    /// that time. The running total is returned only if it is certainly within `limit` or above it; otherwise
    /// the exact sum.
    pub(crate) fn missing_weight_if_omitted(&self, query: &QueryState, position: usize, limit: f64) -> f64 {
        let sum = query.totals.missing_weight + query.parts[position].weight;
        if !self.visits_all && (sum - limit).abs() > query.totals.max_rounding_error() {
            return sum;
        }
        self.count_visits(query.parts.len());
        let parts = query
            .parts
            .iter()
            .enumerate()
            .filter(|(other, p)| *other == position || is_missing(p, query.max_attempts));
        parts.map(|(_, p)| p.weight).sum()
    }

    /// Whether the latest attempt of any part that was sent has failed or is late.
    pub(crate) fn any_failed_or_late(&self, query: &QueryState) -> bool {
        if !self.visits_all {
            return query.part_index.any_failed_or_late();
        }
        self.count_visits(query.parts.len());
        query.parts.iter().any(|p| self.failed_or_late(query, p))
    }

    /// The longest time that an attempt at a served part took.
    pub(crate) fn max_served_time(&self, query: &QueryState) -> Millis {
        if !self.visits_all {
            return query.totals.max_attempt_time;
        }
        self.count_visits(query.parts.len());
        let attempts = query.parts.iter().filter(|p| p.served).flat_map(|p| &p.attempts);
        attempts.map(|t| t.took).fold(0.0, f64::max)
    }

    /// Number of attempts that lost the connection to a server that has been silent since, and number of
    /// served parts.
    pub(crate) fn lost_and_served_counts(&self, query: &QueryState) -> (usize, usize) {
        if !self.visits_all {
            return (query.lost_to_silent, query.totals.served);
        }
        self.count_visits(query.parts.len());
        let connection_lost = |t: &&Attempt| t.outcome == Some(Outcome::ConnectionLost);
        let attempts = query.parts.iter().flat_map(|p| &p.attempts).filter(connection_lost);
        let lost = attempts.filter(|t| self.fleet.servers[t.server].is_silent).count();
        (lost, query.parts.iter().filter(|p| p.served).count())
    }

    /// Rebuilds the rows that contain one of these cells, or all rows. Every query is re-indexed if a shard
    /// has lost its last holder or got its first.
    pub(crate) fn rebuild_rows(&mut self, changed_cells: Option<BTreeSet<usize>>) {
        let (cells, reach) = (self.settings.cells, self.settings.reach);
        let (availability_changed, entries) = match changed_cells {
            Some(changed_cells) => self.fleet.update_rows(&changed_cells),
            None => (self.fleet.rebuild_rows(cells, reach), self.fleet.by_name.len()),
        };
        self.count_visits(entries);
        if availability_changed {
            self.queries.schedule.mark_all_changed();
        }
    }

    /// Updates the queries with connections lost to a server that has just fallen silent or has answered
    /// again: such losses count against a query only while the server is silent.
    pub(crate) fn silence_changed(&mut self, server: usize) {
        let silent = self.fleet.servers[server].is_silent;
        for id in self.queries.schedule.lost_by_server.get(&server).into_iter().flatten() {
            if let Some(query) = self.queries.by_id.get_mut(id) {
                query.lost_to_silent =
                    if silent { query.lost_to_silent + 1 } else { query.lost_to_silent - 1 };
                self.queries.schedule.changed.insert(id.clone());
                self.visits.set(self.visits.get() + 1);
            }
        }
    }
}
