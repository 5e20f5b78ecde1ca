//! Changes the settings of a running aggregator. Its knowledge of servers and its open queries are kept.
//!
//! Nothing is decided here. Classes are identified by their index, so that the caller keeps the index of a
//! class while one of its queries is open, and gives a changed class a new index.

use crate::api::*;
use crate::choice::Aggregator;
use crate::state::ClassEstimates;

/// A class that starts to use an index, and the class whose estimates it inherits: its own version before the
/// change.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct NewClass {
    /// Index of the new class.
    pub class: ClassIndex,
    /// Class whose estimates are inherited; `None` to start without any.
    pub inherits_from: Option<ClassIndex>,
}

impl Aggregator {
    /// Applies new settings from the next batch on.
    pub fn reconfigure(&mut self, settings: Settings, new_classes: &[NewClass]) {
        let fresh = Aggregator::new(settings, 0);
        let first = fresh.learned.first().cloned().unwrap_or_default();
        self.learned.resize(fresh.learned.len(), first.clone());
        for b in new_classes {
            let of: ClassEstimates =
                b.inherits_from.and_then(|h| self.learned.get(h.0)).cloned().unwrap_or(first.clone());
            if let Some(learned) = self.learned.get_mut(b.class.0) {
                *learned = of;
            }
            for server in &mut self.fleet.servers {
                match b.inherits_from.and_then(|h| server.by_class.get(&h.0)).cloned() {
                    Some(met) => server.by_class.insert(b.class.0, met),
                    None => server.by_class.remove(&b.class.0),
                };
            }
        }
        self.tenant_arrivals.resize_with(fresh.settings.tenants.len(), Default::default);
        if self.queries.demand.cell_count() != fresh.settings.cells {
            self.queries.demand = fresh.queries.demand;
        }
        self.settings = fresh.settings;
        self.shortest_aim = fresh.shortest_aim;
        self.rebuild_rows(None);
        self.queries.schedule.mark_all_changed();
    }

    /// Clears the accounts of tenant indices that other tenants start to use, so that earlier queries do not
    /// count.
    pub fn reset_tenants(&mut self, tenants: &[usize]) {
        for tenant in tenants {
            self.tenant_arrivals.get_mut(*tenant).into_iter().for_each(|taken| taken.clear());
        }
    }
}

impl Aggregator {
    /// Limits the deadline of all open queries to the given time, whatever their clients would wait.
    pub fn cap_deadlines(&mut self, at: Millis) {
        self.queries.by_id.values_mut().for_each(|q| q.deadline = q.deadline.min(at));
        self.queries.schedule.mark_all_changed();
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use crate::settings::{JsonObject, decode};
    use crate::view::OutcomeCounts;

    fn settings() -> Settings {
        let settings: serde_json::Value =
            serde_json::from_str(include_str!("../../model/tests/settings.json")).unwrap();
        decode(&JsonObject::new("settings", settings.as_object().unwrap())).unwrap().settings
    }

    fn member(n: usize) -> Member {
        let node = NodeId(format!("s{n}").into());
        Member { node, cell: 0, state: NodeState::Serving, zone: None, started: (n == 2).then_some(900.0) }
    }

    /// Ejected and cold servers stay so. A changed class continues with its estimates, a new class starts
    /// without any.
    #[test]
    fn knowledge_of_servers_and_classes_is_kept() {
        let mut aggregator = Aggregator::new(settings(), 7);
        let members = (0..3).map(member).collect();
        aggregator.on_batch(1000.0, vec![Event::List { kind: ListKind::Complete, members }]);
        let errors = OutcomeCounts { node: member(1).node, served: 0, errors: 8, lost: 0, elapsed: None };
        aggregator.report_outcomes(1000.0, ClassIndex(0), &[errors]);
        aggregator.learned[0].lag = 17.0;
        let before = aggregator.views(1001.0);
        let mut other = settings();
        other.classes.extend([other.classes[0].clone(), other.classes[1].clone()]);
        other.tenants.push(Tenant { quota_per_s: 1.0 });
        let new_classes = |class, inherits_from| NewClass { class: ClassIndex(class), inherits_from };
        aggregator.reconfigure(other, &[new_classes(3, Some(ClassIndex(0))), new_classes(4, None)]);
        assert_eq!(aggregator.views(1001.0), before);
        assert!(before[1].ejected_until.is_some() && before[2].cold_since.is_some());
        assert_eq!([0, 3, 4].map(|c| aggregator.learned[c].lag), [17.0, 17.0, 0.0]);
        assert!(aggregator.fleet.servers.iter().any(|s| s.by_class.contains_key(&3)));
        assert!(aggregator.fleet.servers.iter().all(|s| !s.by_class.contains_key(&4)));
        assert_eq!((aggregator.learned.len(), aggregator.tenant_arrivals.len()), (5, 2));
    }
}
