//! Consistency check of the incrementally updated index and totals against a full recomputation, for tests.

use crate::choice::Aggregator;
use crate::part_index::{PartStatus, PartTotals};
use std::mem::take;

impl Aggregator {
    /// Describes an entry of the index or the totals of an open query that differs from a full recomputation;
    /// `None` if all agree. Leaves every index recomputed.
    #[doc(hidden)]
    pub fn find_inconsistency(&mut self) -> Option<String> {
        let mut queries = take(&mut self.queries.by_id);
        let mut difference = None;
        for (id, query) in &mut queries {
            self.update_late_parts(query);
            let statuses: Vec<PartStatus> = query.parts.iter().map(|p| p.status).collect();
            let totals = take(&mut query.totals);
            let visits_all = std::mem::replace(&mut self.visits_all, true);
            let counts = self.lost_and_served_counts(query);
            self.visits_all = visits_all;
            query.rebuild_index(&self.settings, self.now);
            for (position, (indexed, part)) in statuses.iter().zip(&query.parts).enumerate() {
                // A part that may no longer be repeated because its window has ended is re-indexed only when
                // it is visited.
                let window_ended = matches!(
                    (indexed, part.status),
                    (PartStatus::Late, PartStatus::LateExhausted)
                        | (PartStatus::Failed, PartStatus::Exhausted)
                );
                if *indexed != part.status && !window_ended {
                    difference = Some(format!(
                        "{id}, part {position}: indexed as {indexed:?}, recomputed as {:?}",
                        part.status
                    ));
                }
            }
            if !same(&totals, &query.totals) || (query.lost_to_silent, query.totals.served) != counts {
                difference = Some(format!(
                    "{id}: running totals {totals:?}, recomputed {:?}, lost and served {counts:?}",
                    query.totals
                ));
            }
        }
        self.queries.by_id = queries;
        difference
    }
}

/// Whether running totals equal recomputed ones, within the rounding error that is allowed.
fn same(running: &PartTotals, recomputed: &PartTotals) -> bool {
    let sums = |t: &PartTotals| {
        [t.served_weight, t.missing_weight, t.possible_weight(false, true), t.possible_weight(true, false)]
    };
    let near = |(a, b): (f64, f64)| (a - b).abs() <= recomputed.max_rounding_error();
    (running.served, running.step_served, running.max_attempt_time)
        == (recomputed.served, recomputed.step_served, recomputed.max_attempt_time)
        && sums(running).into_iter().zip(sums(recomputed)).all(near)
}
