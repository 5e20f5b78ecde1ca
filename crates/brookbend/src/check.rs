//! Whether what is kept of the queries in hand is what counting anew would give: for tests.

use crate::agenda::{Stand, Tally};
use crate::choice::Aggregator;
use std::mem::take;

impl Aggregator {
    /// What is kept otherwise than it should be, if anything is.
    #[doc(hidden)]
    pub fn kept_wrongly(&mut self) -> Option<String> {
        let mut queries = take(&mut self.desk.queries);
        let mut wrong = None;
        for (id, q) in &mut queries {
            self.advance(q);
            let stands: Vec<Stand> = q.parts.iter().map(|p| p.stand).collect();
            let kept = take(&mut q.tally);
            let broken = std::mem::replace(&mut self.all, true);
            let scanned = self.broken_and_served(q);
            self.all = broken;
            q.recount(&self.settings, self.now);
            for (i, (kept, p)) in stands.iter().zip(&q.parts).enumerate() {
                // What may not be repeated since some moment is found out when it is looked at.
                let lapsed = matches!(
                    (kept, p.stand),
                    (Stand::Late, Stand::LateSpent) | (Stand::Failed, Stand::Spent)
                );
                if *kept != p.stand && !lapsed {
                    wrong = Some(format!("{id}, part {i}: kept {kept:?}, is {:?}", p.stand));
                }
            }
            if !same(&kept, &q.tally) || (q.lost_to_silent, q.tally.served) != scanned {
                wrong = Some(format!("{id}: kept {kept:?}, is {:?}, {scanned:?}", q.tally));
            }
        }
        self.desk.queries = queries;
        wrong
    }
}

fn same(kept: &Tally, is: &Tally) -> bool {
    let sums = |t: &Tally| [t.have, t.without, t.possible(false, true), t.possible(true, false)];
    let near = |(a, b): (f64, f64)| (a - b).abs() <= is.drift();
    (kept.served, kept.step_served, kept.took) == (is.served, is.step_served, is.took)
        && sums(kept).into_iter().zip(sums(is)).all(near)
}
