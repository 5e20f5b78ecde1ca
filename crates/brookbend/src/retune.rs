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
        self.set = fresh.set;
        self.fleet.make_rows(self.set.cells, self.set.reach);
    }
}
