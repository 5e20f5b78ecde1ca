//! The open queries of an aggregator, and the records that it keeps as parts arrive and attempts end. Nothing
//! here decides anything.

use crate::api::*;
use crate::choice::Aggregator;
use crate::demand::Demand;
use crate::part_index::PartStatus;
use crate::refusals::Refusals;
use crate::schedule::Schedule;
use crate::state::{InFlight, PartState, QueryState};
use std::collections::{BTreeMap, BTreeSet, VecDeque};

/// Open queries, attempts in flight, and what is counted about them.
#[derive(Default)]
pub(crate) struct QueryTable {
    pub(crate) by_id: BTreeMap<RequestId, QueryState>,
    /// Query by the group number that its parts carry.
    pub(crate) groups: BTreeMap<u64, RequestId>,
    /// By part: its query, and its position there.
    pub(crate) part_positions: BTreeMap<RequestId, (RequestId, usize)>,
    /// Attempts that have not ended, by part and number of the attempt.
    pub(crate) in_flight: BTreeMap<(RequestId, u32), InFlight>,
    /// When queries and parts arrived, and when attempts beyond a part's first were sent, within the window
    /// of the attempt budget.
    pub(crate) arrivals: VecDeque<Millis>,
    pub(crate) extra_attempts: VecDeque<Millis>,
    /// Queries that were refused on arrival.
    pub(crate) refusals: Refusals,
    /// Work that warm servers have served since the current second began, in milliseconds.
    pub(crate) served_work: Millis,
    /// Smoothed work that each warm server serves in a millisecond.
    pub(crate) served_rate: f64,
    /// How often parts need a server.
    pub(crate) demand: Demand,
    pub(crate) schedule: Schedule,
    /// Whether this batch came late because this aggregator itself was paused.
    pub(crate) paused: bool,
}

impl QueryTable {
    /// The servers that an open query or an attempt in flight refers to.
    pub(crate) fn referenced_servers(&self) -> BTreeSet<usize> {
        let parts = || self.by_id.values().flat_map(|q| &q.parts);
        let attempted = parts().flat_map(|p| p.attempts.iter().map(|t| t.server));
        let in_flight = self.in_flight.values().map(|f| f.server);
        attempted.chain(parts().filter_map(|p| p.row_holder)).chain(in_flight).collect()
    }
}

impl Aggregator {
    /// Records a query that has arrived. Fails it at once if the settings have no classes.
    pub(crate) fn add_query(&mut self, query: Query) {
        if self.settings.classes.is_empty() {
            return self.actions.push(Action::Fail { query: query.id });
        }
        self.queries.arrivals.push_back(self.now);
        if let Some(times) = self.tenant_arrivals.get_mut(query.tenant.0) {
            times.push_back(self.now);
        }
        self.queries.groups.insert(query.group, query.id.clone());
        let class = query.class.0.min(self.settings.classes.len().saturating_sub(1));
        let state = QueryState {
            first_asked_at: self.first_asked(class, &query),
            class,
            tenant: query.tenant.0,
            group: query.group,
            arrived: self.now,
            deadline: query.deadline,
            max_attempts: query.max_attempts.unwrap_or(u32::MAX).min(self.settings.max_attempts),
            ..Default::default()
        };
        self.queries.schedule.mark_changed(&query.id);
        self.queries.by_id.insert(query.id, state);
    }

    /// Adds a part that has arrived to its query. Ignores it if the query is not open.
    pub(crate) fn add_part(&mut self, part: Part) {
        self.queries.arrivals.push_back(self.now);
        let Some(id) = self.queries.groups.get(&part.group) else { return };
        let Some(query) = self.queries.by_id.get_mut(id) else { return };
        self.queries.part_positions.insert(part.id.clone(), (id.clone(), query.parts.len()));
        query.planned = false;
        query.parts.push(PartState {
            id: part.id,
            shard: part.shard,
            weight: if part.weight.is_finite() { part.weight.max(0.0) } else { 0.0 },
            hint: part.work_hint.filter(|w| w.is_finite() && *w > 0.0),
            row_holder: None,
            attempts: Vec::new(),
            served: false,
            in_reserve: false,
            omitted: false,
            unreachable: false,
            has_holders: !self.fleet.rows.holders(part.shard).is_empty(),
            status: PartStatus::Done,
        });
        query.index_part(&self.settings, self.now, query.parts.len() - 1);
        self.queries.schedule.mark_changed(id);
    }

    /// Records that no further attempt at a part can be sent.
    pub(crate) fn mark_unreachable(&mut self, part: &RequestId) {
        let Some((id, position)) = self.queries.part_positions.get(part) else { return };
        let (Some(query), position) = (self.queries.by_id.get_mut(id), *position) else { return };
        if position < query.parts.len() {
            query.unindex_part(position);
            query.parts[position].unreachable = true;
            query.index_part(&self.settings, self.now, position);
            self.queries.schedule.mark_changed(id);
        }
    }

    /// Records the outcome of an attempt in its part.
    pub(crate) fn finish_attempt(&mut self, part: &RequestId, attempt: u32, outcome: Outcome) {
        let Some((id, position)) = self.queries.part_positions.get(part) else { return };
        let (Some(query), position) = (self.queries.by_id.get_mut(id), *position) else { return };
        if position >= query.parts.len() || attempt as usize >= query.parts[position].attempts.len() {
            return;
        }
        query.unindex_part(position);
        let part_state = &mut query.parts[position];
        let record = &mut part_state.attempts[attempt as usize];
        let previous = record.outcome.replace(outcome);
        record.took = self.now - record.sent;
        part_state.served |= outcome == Outcome::Served;
        let server = record.server;
        query.index_part(&self.settings, self.now, position);
        self.visits.set(self.visits.get() + 1);
        if previous.is_some() {
            // The end was reported twice: totals that index_part only increases may have to shrink.
            query.rebuild_index(&self.settings, self.now);
        }
        let schedule = &mut self.queries.schedule;
        let silent = usize::from(self.fleet.servers[server].is_silent);
        let is_lost = |outcome: Option<Outcome>| outcome == Some(Outcome::ConnectionLost);
        match (is_lost(previous), is_lost(Some(outcome))) {
            (false, true) => {
                schedule.lost_by_server.entry(server).or_default().push(id.clone());
                (query.lost_connections, query.lost_to_silent) =
                    (query.lost_connections + 1, query.lost_to_silent + silent);
            }
            (true, false) => {
                let queries = schedule.lost_by_server.entry(server).or_default();
                queries.iter().position(|other| other == id).map(|at| queries.swap_remove(at));
                (query.lost_connections, query.lost_to_silent) =
                    (query.lost_connections - 1, query.lost_to_silent - silent);
            }
            _ => {}
        }
        schedule.mark_changed(id);
    }

    /// Cancels all attempts of the current step that are in flight, if the settings allow it.
    pub(crate) fn cancel_in_flight(&mut self, query: &QueryState) {
        if !self.settings.cancel {
            return;
        }
        for part in &query.parts[query.step_start..] {
            for (attempt, _) in part.attempts.iter().enumerate().filter(|(_, t)| t.outcome.is_none()) {
                self.actions.push(Action::Cancel { part: part.id.clone(), attempt: attempt as u32 });
            }
        }
    }

    /// Removes the records of servers that are gone. Servers get new names all day, so that records which
    /// were kept for ever would grow without bound, and so would the time for going through them.
    pub(crate) fn evict_gone_servers(&mut self) {
        self.fleet.evict_gone(self.now - self.settings.cold.warm_after, || self.queries.referenced_servers());
    }
}
