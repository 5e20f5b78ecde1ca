//! What an aggregator has in hand, and what is noted in it as parts come and attempts end. Nothing here decides anything.

use crate::api::*;
use crate::choice::Aggregator;
use crate::demand::Demand;
use crate::part_index::PartStatus;
use crate::refusals::Refusals;
use crate::schedule::Schedule;
use crate::state::{InFlight, PartState, QueryState};
use std::collections::{BTreeMap, BTreeSet, VecDeque};

/// What an aggregator has in hand.
#[derive(Default)]
pub(crate) struct QueryTable {
    pub(crate) by_id: BTreeMap<RequestId, QueryState>,
    pub(crate) groups: BTreeMap<u64, RequestId>,
    /// Of each part: its query, and its place there.
    pub(crate) part_positions: BTreeMap<RequestId, (RequestId, usize)>,
    pub(crate) in_flight: BTreeMap<(RequestId, u32), InFlight>,
    /// When queries and parts came, and when further attempts went.
    pub(crate) arrivals: VecDeque<Millis>,
    pub(crate) extra_attempts: VecDeque<Millis>,
    /// Queries that were refused on arrival.
    pub(crate) refusals: Refusals,
    /// Work served since the last second began; and, smoothed, by each warm server in a millisecond.
    pub(crate) served_work: Millis,
    pub(crate) served_rate: f64,
    /// How often parts want a server.
    pub(crate) demand: Demand,
    pub(crate) schedule: Schedule,
    /// Whether this aggregator stood still before this batch.
    pub(crate) paused: bool,
}

impl QueryTable {
    /// The servers that something in hand refers to.
    pub(crate) fn referenced_servers(&self) -> BTreeSet<usize> {
        let parts = || self.by_id.values().flat_map(|q| &q.parts);
        let tried = parts().flat_map(|p| p.attempts.iter().map(|t| t.server));
        let in_flight = self.in_flight.values().map(|f| f.server);
        tried.chain(parts().filter_map(|p| p.row_holder)).chain(in_flight).collect()
    }
}

impl Aggregator {
    pub(crate) fn add_query(&mut self, q: Query) {
        if self.settings.classes.is_empty() {
            return self.actions.push(Action::Fail { query: q.id });
        }
        self.queries.arrivals.push_back(self.now);
        if let Some(times) = self.tenant_arrivals.get_mut(q.tenant.0) {
            times.push_back(self.now);
        }
        self.queries.groups.insert(q.group, q.id.clone());
        let class = q.class.0.min(self.settings.classes.len().saturating_sub(1));
        let held = QueryState {
            first_asked_at: self.first_asked(class, &q),
            class,
            tenant: q.tenant.0,
            group: q.group,
            arrived: self.now,
            deadline: q.deadline,
            max_attempts: q.max_attempts.unwrap_or(u32::MAX).min(self.settings.max_attempts),
            ..Default::default()
        };
        self.queries.schedule.mark_changed(&q.id);
        self.queries.by_id.insert(q.id, held);
    }

    pub(crate) fn add_part(&mut self, p: Part) {
        self.queries.arrivals.push_back(self.now);
        let Some(id) = self.queries.groups.get(&p.group) else { return };
        let Some(query) = self.queries.by_id.get_mut(id) else { return };
        self.queries.part_positions.insert(p.id.clone(), (id.clone(), query.parts.len()));
        query.planned = false;
        query.parts.push(PartState {
            id: p.id,
            shard: p.shard,
            weight: if p.weight.is_finite() { p.weight.max(0.0) } else { 0.0 },
            hint: p.work_hint.filter(|w| w.is_finite() && *w > 0.0),
            row_holder: None,
            attempts: Vec::new(),
            served: false,
            in_reserve: false,
            omitted: false,
            unreachable: false,
            has_holders: !self.fleet.rows.holders(p.shard).is_empty(),
            status: PartStatus::Done,
        });
        query.index_part(&self.settings, self.now, query.parts.len() - 1);
        self.queries.schedule.mark_changed(id);
    }

    /// Notes that no attempt at a part can be sent any more.
    pub(crate) fn mark_unreachable(&mut self, part: &RequestId) {
        let Some((id, i)) = self.queries.part_positions.get(part) else { return };
        let (Some(q), i) = (self.queries.by_id.get_mut(id), *i) else { return };
        if i < q.parts.len() {
            q.unindex_part(i);
            q.parts[i].unreachable = true;
            q.index_part(&self.settings, self.now, i);
            self.queries.schedule.mark_changed(id);
        }
    }

    /// Writes the end of an attempt into its part.
    pub(crate) fn finish_attempt(&mut self, part: &RequestId, attempt: u32, outcome: Outcome) {
        let Some((id, i)) = self.queries.part_positions.get(part) else { return };
        let (Some(q), i) = (self.queries.by_id.get_mut(id), *i) else { return };
        if i >= q.parts.len() || attempt as usize >= q.parts[i].attempts.len() {
            return;
        }
        q.unindex_part(i);
        let part = &mut q.parts[i];
        let t = &mut part.attempts[attempt as usize];
        let before = t.outcome.replace(outcome);
        t.took = self.now - t.sent;
        part.served |= outcome == Outcome::Served;
        let server = t.server;
        q.index_part(&self.settings, self.now, i);
        self.visits.set(self.visits.get() + 1);
        if before.is_some() {
            // Told twice: sums that only grow may have shrunk.
            q.rebuild_index(&self.settings, self.now);
        }
        let schedule = &mut self.queries.schedule;
        let silent = usize::from(self.fleet.servers[server].is_silent);
        let is_lost = |outcome: Option<Outcome>| outcome == Some(Outcome::ConnectionLost);
        match (is_lost(before), is_lost(Some(outcome))) {
            (false, true) => {
                schedule.lost_by_server.entry(server).or_default().push(id.clone());
                (q.lost_connections, q.lost_to_silent) = (q.lost_connections + 1, q.lost_to_silent + silent);
            }
            (true, false) => {
                let of = schedule.lost_by_server.entry(server).or_default();
                of.iter().position(|other| other == id).map(|at| of.swap_remove(at));
                (q.lost_connections, q.lost_to_silent) = (q.lost_connections - 1, q.lost_to_silent - silent);
            }
            _ => {}
        }
        schedule.mark_changed(id);
    }

    /// Calls off what is out of the step at hand, where that may be.
    pub(crate) fn cancel_in_flight(&mut self, q: &QueryState) {
        if !self.settings.cancel {
            return;
        }
        for p in &q.parts[q.step_start..] {
            for (n, _) in p.attempts.iter().enumerate().filter(|(_, t)| t.outcome.is_none()) {
                self.actions.push(Action::Cancel { part: p.id.clone(), attempt: n as u32 });
            }
        }
    }

    /// Servers get new names all day: those that are gone must not be kept, nor looked through, for ever.
    pub(crate) fn evict_gone_servers(&mut self) {
        self.fleet.evict_gone(self.now - self.settings.cold.warm_after, || self.queries.referenced_servers());
    }
}
