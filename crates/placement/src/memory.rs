//! What moved, so that no range goes back and forth.

use crate::proposal::Relocation;
use crate::search::Guard;
use crate::settings::Rules;
use plover_model::time::Micros;
use plover_ranges::{NodeName, RangeId, RangeMap};
use std::collections::{BTreeMap, BTreeSet};

/// Moves off nodes that leave which are remembered of one range at most; older ones are forgotten first.
const MOST_LEFT: usize = 64;

/// A move that was begun.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Moved {
    /// When.
    pub at: Micros,
    /// The node that was left.
    pub from: NodeName,
    /// Whether that node was leaving.
    pub leaving: bool,
}

/// Moves of the last while, by range. It holds at most `most` of the rules for each range that was in a map lately, and 64
/// off nodes that left.
#[derive(Clone, Debug, Default)]
pub struct Memory {
    moved: BTreeMap<RangeId, Vec<Moved>>,
}

impl Memory {
    /// A move begins.
    pub fn begun(&mut self, relocation: &Relocation, leaving: bool, now: Micros) {
        let moved = self.moved.entry(relocation.range).or_default();
        moved.push(Moved { at: now, from: relocation.from.clone(), leaving });
        if moved.iter().filter(|moved| moved.leaving).count() > MOST_LEFT
            && let Some(oldest) = moved.iter().position(|moved| moved.leaving)
        {
            moved.remove(oldest);
        }
    }

    /// A range became others by a split or a merge: what is remembered of it is remembered of them. Without this a range that
    /// is split would be free to go back.
    pub fn became(&mut self, old: &[RangeId], new: &[RangeId]) {
        let mut moved: Vec<Moved> = old.iter().filter_map(|id| self.moved.remove(id)).flatten().collect();
        moved.sort_by(|a, b| a.at.cmp(&b.at).then(a.from.cmp(&b.from)));
        if !moved.is_empty() {
            self.moved.extend(new.iter().map(|&id| (id, moved.clone())));
        }
    }

    /// What is remembered of a range.
    pub fn of(&self, id: RangeId) -> &[Moved] {
        self.moved.get(&id).map_or(&[], Vec::as_slice)
    }

    /// Forgets what is older than the rules say.
    pub fn forget(&mut self, rules: &Rules, now: Micros) {
        for moved in self.moved.values_mut() {
            moved.retain(|moved| now.saturating_sub(moved.at) < rules.memory);
        }
        self.moved.retain(|_, moved| !moved.is_empty());
    }

    /// What a plan must leave alone for it.
    pub fn guard(&self, map: &RangeMap, rules: &Rules, now: Micros) -> Guard {
        let mut guard = Guard::default();
        for held in map.ranges() {
            let moved = self.of(held.id);
            let own = moved.iter().filter(|moved| !moved.leaving).count();
            let rests = moved.iter().any(|moved| now.saturating_sub(moved.at) < rules.rest);
            if rests {
                guard.rests.insert(held.id);
            }
            guard.most.insert(held.id, rules.most.saturating_sub(own));
            let left: BTreeSet<NodeName> = moved.iter().map(|moved| moved.from.clone()).collect();
            if !left.is_empty() {
                guard.barred.insert(held.id, left);
            }
        }
        guard
    }
}
