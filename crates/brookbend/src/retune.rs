//! Other settings for an aggregator that runs: what it knows of servers stays, and so do the queries it holds.
//!
//! Nothing here decides anything. Classes are known by their index, so that whoever changes the settings keeps the index of
//! a class for as long as a query of it is in hand, and gives a class that changes a new one.

use crate::api::*;
use crate::choice::Aggregator;
use crate::state::Learned;

/// A class that begins at an index, and the one whose experience it takes over: itself, before it changed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Begun {
    /// Its index.
    pub class: ClassIndex,
    /// Whose experience counts for it.
    pub heir_of: Option<ClassIndex>,
}

impl Aggregator {
    /// Goes by these settings from the next batch on.
    pub fn retune(&mut self, set: Settings, begun: &[Begun]) {
        let fresh = Aggregator::new(set, 0);
        let first = fresh.learned.first().cloned().unwrap_or_default();
        self.learned.resize(fresh.learned.len(), first.clone());
        for b in begun {
            let of: Learned = b.heir_of.and_then(|h| self.learned.get(h.0)).cloned().unwrap_or(first.clone());
            if let Some(learned) = self.learned.get_mut(b.class.0) {
                *learned = of;
            }
            for server in &mut self.fleet.servers {
                match b.heir_of.and_then(|h| server.of_class.get(&h.0)).cloned() {
                    Some(met) => server.of_class.insert(b.class.0, met),
                    None => server.of_class.remove(&b.class.0),
                };
            }
        }
        self.tenant_taken.resize_with(fresh.set.tenants.len(), Default::default);
        if self.queries.demand.cell_count() != fresh.set.cells {
            self.queries.demand = fresh.queries.demand;
        }
        self.set = fresh.set;
        self.shortest_aim = fresh.shortest_aim;
        self.rebuild_rows(None);
        self.queries.schedule.mark_all_changed();
    }

    /// Others begin at these tenants' indices: what the tenants before took of their shares is none of theirs.
    pub fn forget_tenants(&mut self, tenants: &[usize]) {
        for tenant in tenants {
            self.tenant_taken.get_mut(*tenant).into_iter().for_each(|taken| taken.clear());
        }
    }
}

impl Aggregator {
    /// The queries in hand are over by then, whatever their clients would wait.
    pub fn end_by(&mut self, at: Ms) {
        self.queries.by_id.values_mut().for_each(|q| q.give_up_at = q.give_up_at.min(at));
        self.queries.schedule.mark_all_changed();
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use crate::settings::{Message, decode};
    use crate::view::Bulk;

    fn settings() -> Settings {
        let settings: serde_json::Value =
            serde_json::from_str(include_str!("../../model/tests/settings.json")).unwrap();
        decode(&Message::new("settings", settings.as_object().unwrap())).unwrap().settings
    }

    fn member(n: usize) -> Member {
        let node = NodeId(format!("s{n}").into());
        Member { node, cell: 0, state: NodeState::Serving, zone: None, started: (n == 2).then_some(900.0) }
    }

    /// Who is passed over, and who is cold, stays so; a class that changed goes on from what it learned, a new one from
    /// nothing.
    #[test]
    fn what_is_known_of_servers_and_classes_stays() {
        let mut aggregator = Aggregator::new(settings(), 7);
        let members = (0..3).map(member).collect();
        aggregator.on_batch(1000.0, vec![Event::List { kind: ListKind::Complete, members }]);
        let errors = Bulk { node: member(1).node, served: 0, errors: 8, lost: 0, elapsed: None };
        aggregator.report_bulk(1000.0, ClassIndex(0), &[errors]);
        aggregator.learned[0].lag = 17.0;
        let before = aggregator.views(1001.0);
        let mut other = settings();
        other.classes.extend([other.classes[0].clone(), other.classes[1].clone()]);
        other.tenants.push(Tenant { quota_per_s: 1.0 });
        let begun = |class, heir_of| Begun { class: ClassIndex(class), heir_of };
        aggregator.retune(other, &[begun(3, Some(ClassIndex(0))), begun(4, None)]);
        assert_eq!(aggregator.views(1001.0), before);
        assert!(before[1].ejected_until.is_some() && before[2].cold_since.is_some());
        assert_eq!([0, 3, 4].map(|c| aggregator.learned[c].lag), [17.0, 17.0, 0.0]);
        assert!(aggregator.fleet.servers.iter().any(|s| s.of_class.contains_key(&3)));
        assert!(aggregator.fleet.servers.iter().all(|s| !s.of_class.contains_key(&4)));
        assert_eq!((aggregator.learned.len(), aggregator.tenant_taken.len()), (5, 2));
    }
}
