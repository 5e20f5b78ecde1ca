//! Whether what is kept of the queries in hand is what counting anew would give: for tests.

use crate::choice::Aggregator;
use crate::part_index::{PartStatus, PartTotals};
use std::mem::take;

impl Aggregator {
    /// What is kept otherwise than it should be, if anything is.
    #[doc(hidden)]
    pub fn find_inconsistency(&mut self) -> Option<String> {
        let mut queries = take(&mut self.queries.by_id);
        let mut wrong = None;
        for (id, q) in &mut queries {
            self.update_late_parts(q);
            let stands: Vec<PartStatus> = q.parts.iter().map(|p| p.status).collect();
            let kept = take(&mut q.totals);
            let broken = std::mem::replace(&mut self.visits_all, true);
            let scanned = self.lost_and_served_counts(q);
            self.visits_all = broken;
            q.rebuild_index(&self.settings, self.now);
            for (i, (kept, p)) in stands.iter().zip(&q.parts).enumerate() {
                // What may not be repeated since some moment is found out when it is looked at.
                let lapsed = matches!(
                    (kept, p.status),
                    (PartStatus::Late, PartStatus::LateExhausted)
                        | (PartStatus::Failed, PartStatus::Exhausted)
                );
                if *kept != p.status && !lapsed {
                    wrong = Some(format!("{id}, part {i}: kept {kept:?}, is {:?}", p.status));
                }
            }
            if !same(&kept, &q.totals) || (q.lost_to_silent, q.totals.served) != scanned {
                wrong = Some(format!("{id}: kept {kept:?}, is {:?}, {scanned:?}", q.totals));
            }
        }
        self.queries.by_id = queries;
        wrong
    }
}

fn same(kept: &PartTotals, is: &PartTotals) -> bool {
    let sums = |t: &PartTotals| {
        [t.served_weight, t.missing_weight, t.possible_weight(false, true), t.possible_weight(true, false)]
    };
    let near = |(a, b): (f64, f64)| (a - b).abs() <= is.max_rounding_error();
    (kept.served, kept.step_served, kept.max_attempt_time) == (is.served, is.step_served, is.max_attempt_time)
        && sums(kept).into_iter().zip(sums(is)).all(near)
}
