//! What an aggregator has in hand, and what is noted in it as parts come and attempts end. Nothing here decides anything.

use crate::api::*;
use crate::choice::Aggregator;
use crate::demand::Demand;
use crate::part_index::PartStatus;
use crate::refusals::Refusals;
use crate::schedule::Schedule;
use crate::state::{Flight, Held, Piece};
use std::collections::{BTreeMap, BTreeSet, VecDeque};

/// What an aggregator has in hand.
#[derive(Default)]
pub(crate) struct QueryTable {
    pub(crate) by_id: BTreeMap<RequestId, Held>,
    pub(crate) groups: BTreeMap<u64, RequestId>,
    /// Of each part: its query, and its place there.
    pub(crate) part_positions: BTreeMap<RequestId, (RequestId, usize)>,
    pub(crate) in_flight: BTreeMap<(RequestId, u32), Flight>,
    /// When queries and parts came, and when further attempts went.
    pub(crate) arrivals: VecDeque<Ms>,
    pub(crate) extra_attempts: VecDeque<Ms>,
    /// Queries that were refused on arrival.
    pub(crate) refusals: Refusals,
    /// Work served since the last second began; and, smoothed, by each warm server in a millisecond.
    pub(crate) served_work: Ms,
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
        let pieces = || self.by_id.values().flat_map(|q| &q.pieces);
        let tried = pieces().flat_map(|p| p.tries.iter().map(|t| t.server));
        let flying = self.in_flight.values().map(|f| f.server);
        tried.chain(pieces().filter_map(|p| p.row_holder)).chain(flying).collect()
    }
}

impl Aggregator {
    pub(crate) fn add_query(&mut self, q: Query) {
        if self.set.classes.is_empty() {
            return self.out.push(Action::Fail { query: q.id });
        }
        self.queries.arrivals.push_back(self.now);
        if let Some(times) = self.tenant_taken.get_mut(q.tenant.0) {
            times.push_back(self.now);
        }
        self.queries.groups.insert(q.group, q.id.clone());
        let class = q.class.0.min(self.set.classes.len().saturating_sub(1));
        let held = Held {
            asked: self.first_asked(class, &q),
            class,
            tenant: q.tenant.0,
            group: q.group,
            arrived: self.now,
            give_up_at: q.give_up_at,
            max_attempts: q.max_attempts.unwrap_or(u32::MAX).min(self.set.max_attempts),
            ..Default::default()
        };
        self.queries.schedule.mark_changed(&q.id);
        self.queries.by_id.insert(q.id, held);
    }

    pub(crate) fn add_part(&mut self, p: Part) {
        self.queries.arrivals.push_back(self.now);
        let Some(id) = self.queries.groups.get(&p.group) else { return };
        let Some(query) = self.queries.by_id.get_mut(id) else { return };
        self.queries.part_positions.insert(p.id.clone(), (id.clone(), query.pieces.len()));
        query.planned = false;
        query.pieces.push(Piece {
            id: p.id,
            shard: p.shard,
            weight: if p.weight.is_finite() { p.weight.max(0.0) } else { 0.0 },
            hint: p.work_hint.filter(|w| w.is_finite() && *w > 0.0),
            row_holder: None,
            tries: Vec::new(),
            served: false,
            reserve: false,
            left: false,
            unreachable: false,
            housed: !self.fleet.rows.holders(p.shard).is_empty(),
            status: PartStatus::Done,
        });
        query.index_part(&self.set, self.now, query.pieces.len() - 1);
        self.queries.schedule.mark_changed(id);
    }

    /// Notes that no attempt at a part can be sent any more.
    pub(crate) fn mark_unreachable(&mut self, part: &RequestId) {
        let Some((id, i)) = self.queries.part_positions.get(part) else { return };
        let (Some(q), i) = (self.queries.by_id.get_mut(id), *i) else { return };
        if i < q.pieces.len() {
            q.unindex_part(i);
            q.pieces[i].unreachable = true;
            q.index_part(&self.set, self.now, i);
            self.queries.schedule.mark_changed(id);
        }
    }

    /// Writes the end of an attempt into its piece.
    pub(crate) fn finish_attempt(&mut self, part: &RequestId, attempt: u32, outcome: Outcome) {
        let Some((id, i)) = self.queries.part_positions.get(part) else { return };
        let (Some(q), i) = (self.queries.by_id.get_mut(id), *i) else { return };
        if i >= q.pieces.len() || attempt as usize >= q.pieces[i].tries.len() {
            return;
        }
        q.unindex_part(i);
        let piece = &mut q.pieces[i];
        let t = &mut piece.tries[attempt as usize];
        let before = t.outcome.replace(outcome);
        t.took = self.now - t.sent;
        piece.served |= outcome == Outcome::Served;
        let server = t.server;
        q.index_part(&self.set, self.now, i);
        self.visits.set(self.visits.get() + 1);
        if before.is_some() {
            // Told twice: sums that only grow may have shrunk.
            q.rebuild_index(&self.set, self.now);
        }
        let schedule = &mut self.queries.schedule;
        let silent = usize::from(self.fleet.servers[server].went_silent);
        let is_lost = |outcome: Option<Outcome>| outcome == Some(Outcome::ConnectionLost);
        match (is_lost(before), is_lost(Some(outcome))) {
            (false, true) => {
                schedule.lost_by_server.entry(server).or_default().push(id.clone());
                (q.lost, q.broken) = (q.lost + 1, q.broken + silent);
            }
            (true, false) => {
                let of = schedule.lost_by_server.entry(server).or_default();
                of.iter().position(|other| other == id).map(|at| of.swap_remove(at));
                (q.lost, q.broken) = (q.lost - 1, q.broken - silent);
            }
            _ => {}
        }
        schedule.mark_changed(id);
    }

    /// Calls off what is out of the step at hand, where that may be.
    pub(crate) fn cancel_in_flight(&mut self, q: &Held) {
        if !self.set.cancel {
            return;
        }
        for p in &q.pieces[q.step_from..] {
            for (n, _) in p.tries.iter().enumerate().filter(|(_, t)| t.outcome.is_none()) {
                self.out.push(Action::Cancel { part: p.id.clone(), attempt: n as u32 });
            }
        }
    }

    /// Servers get new names all day: those that are gone must not be kept, nor looked through, for ever.
    pub(crate) fn evict_gone_servers(&mut self) {
        self.fleet.evict_gone(self.now - self.set.cold.warm_after, || self.queries.referenced_servers());
    }
}
