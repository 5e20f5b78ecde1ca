//! The planner through time: what it watches, what it remembers, and when it holds still.

use crate::layout::Layout;
use crate::memory::Memory;
use crate::model::Model;
use crate::proposal::{Proposal, Relocation};
use crate::search::{Guard, propose};
use crate::settings::{Refused, Rules, Settings};
use crate::view::View;
use crate::watch::Watch;
use plover_model::time::Micros;
use plover_ranges::{Fleet, MapVersion, NodeName, NodeStatus, RangeId, RangeMap};
use std::collections::BTreeMap;
use thiserror::Error;

/// One in so many ranges may have old figures; those stay where they are. With more of them the planner holds still.
const OLD_SHARE: usize = 10;

/// What nodes say of the map: the version that each goes by.
pub type Told = BTreeMap<NodeName, MapVersion>;

/// Why nothing is proposed.
#[derive(Clone, Debug, PartialEq, Error)]
pub enum Still {
    /// A node that counts as heard has only old figures.
    #[error("what is known of {0} is old")]
    OldNode(NodeName),
    /// Too many ranges have old figures, or none.
    #[error("{old} of {ranges} ranges have old figures or none")]
    OldLoads {
        /// Ranges with old figures or none.
        old: usize,
        /// All ranges.
        ranges: usize,
    },
    /// A node goes by another version of the map.
    #[error("{node} goes by version {told:?} of the map, not {ours:?}")]
    Disagree {
        /// The node.
        node: NodeName,
        /// What it goes by; `None`: it did not say.
        told: Option<MapVersion>,
        /// The version that would be planned on.
        ours: MapVersion,
    },
    /// As many moves as may be under way are.
    #[error("{0} moves are under way")]
    Busy(usize),
    /// No placement found is better by more than it costs.
    #[error("nothing better was found")]
    Nothing,
    /// The best plan gains less than is asked for.
    #[error("the best plan gains {gain:.4} points; {needs} are asked for")]
    Little {
        /// What it gains.
        gain: f64,
        /// What is asked for.
        needs: f64,
    },
    /// The best plan would not pay if what it moves were as light as it is at times.
    #[error(
        "with lighter ranges, as they are at times, the best plan gains {gain:.4} points; {needs} are asked for"
    )]
    Unsure {
        /// What it gains then.
        gain: f64,
        /// What is asked for.
        needs: f64,
    },
}

/// The planner.
#[derive(Clone, Debug)]
pub struct Planner {
    settings: Settings,
    rules: Rules,
    watch: Watch,
    memory: Memory,
}

impl Planner {
    /// A planner that has seen nothing yet.
    pub fn new(settings: Settings, rules: Rules) -> Result<Planner, Refused> {
        settings.check()?;
        rules.check()?;
        Ok(Planner { settings, rules, watch: Watch::default(), memory: Memory::default() })
    }

    /// Takes in what was measured.
    pub fn observe(&mut self, map: &RangeMap, fleet: &Fleet, now: Micros) {
        self.watch.take(map, fleet, now, self.rules.half);
        self.memory.forget(&self.rules, now);
    }

    /// A move of a plan begins; from now on it is remembered, however it ends.
    pub fn begun(&mut self, relocation: &Relocation, fleet: &Fleet, now: Micros) {
        let standing = fleet.nodes.get(&relocation.from).map(|node| node.status);
        self.memory.begun(relocation, standing == Some(NodeStatus::Leaving), now);
    }

    /// A range became others by a split or a merge.
    pub fn became(&mut self, old: &[RangeId], new: &[RangeId]) {
        self.memory.became(old, new);
    }

    /// What moved lately.
    pub fn memory(&self) -> &Memory {
        &self.memory
    }

    /// The moves that are worth making now, or why there are none. The loads of the view are put in the place of the smoothed
    /// ones only for ranges that were never observed, and these stay where they are.
    pub fn consider(&self, view: &View<'_>, told: &Told, now: Micros) -> Result<Proposal, Still> {
        self.agreed(view, told)?;
        if view.moving.len() >= self.settings.at_once {
            return Err(Still::Busy(view.moving.len()));
        }
        let mut fleet = view.fleet.clone();
        let guard = self.guard(view, &mut fleet, now)?;
        // Moves under way have their place among those that may be.
        let mut settings = self.settings;
        settings.at_once -= view.moving.len();
        let smoothed = View { fleet: &fleet, ..*view };
        match self.worth(&smoothed, &settings, &guard, now) {
            Ok(proposal) => Ok(proposal),
            // Nodes that leave and zones that are short do not wait for a gain.
            Err(still) => {
                let urgent = propose(&smoothed, &settings, &Guard { urgent: true, ..guard });
                if urgent.steps.is_empty() { Err(still) } else { Ok(urgent) }
            }
        }
    }

    fn agreed(&self, view: &View<'_>, told: &Told) -> Result<(), Still> {
        let ours = view.map.version();
        for (name, node) in view.fleet.nodes.iter().filter(|(_, node)| node.status != NodeStatus::Unreachable)
        {
            if node.age > self.rules.old {
                return Err(Still::OldNode(name.clone()));
            }
            let told = told.get(name).copied();
            if told != Some(ours) {
                return Err(Still::Disagree { node: name.clone(), told, ours });
            }
        }
        Ok(())
    }

    /// Puts smoothed loads into the fleet, and says what stays.
    fn guard(&self, view: &View<'_>, fleet: &mut Fleet, now: Micros) -> Result<Guard, Still> {
        let mut guard = self.memory.guard(view.map, &self.rules, now);
        let (mut old, ranges) = (0, view.map.range_count());
        for held in view.map.ranges() {
            match self.watch.load(held.id, now) {
                Some(load) => {
                    let too_old = load.age > self.rules.old;
                    old += usize::from(too_old);
                    if too_old || self.watch.samples(held.id) < self.rules.samples {
                        guard.rests.insert(held.id);
                    }
                    fleet.loads.insert(held.id, load);
                }
                None => {
                    old += 1;
                    guard.rests.insert(held.id);
                }
            }
        }
        if old * OLD_SHARE > ranges { Err(Still::OldLoads { old, ranges }) } else { Ok(guard) }
    }

    fn worth(
        &self,
        view: &View<'_>,
        settings: &Settings,
        guard: &Guard,
        now: Micros,
    ) -> Result<Proposal, Still> {
        let proposal = propose(view, settings, guard);
        let needs = settings.gain;
        if proposal.steps.is_empty() {
            return Err(Still::Nothing);
        }
        if proposal.gain() < needs {
            return Err(Still::Little { gain: proposal.gain(), needs });
        }
        // What moves may be lighter than its mean: does the plan gain as much then?
        let mut fleet = view.fleet.clone();
        for step in &proposal.steps {
            let id = step.relocation.range;
            if let Some(load) = self.watch.lighter(id, now, self.rules.sure) {
                fleet.loads.insert(id, load);
            }
        }
        let gain = gain_of(&View { fleet: &fleet, ..*view }, settings, &proposal);
        if gain < needs { Err(Still::Unsure { gain, needs }) } else { Ok(proposal) }
    }
}

/// Points that the moves of a plan gain on another view of the same map, their cost taken off.
fn gain_of(view: &View<'_>, settings: &Settings, proposal: &Proposal) -> f64 {
    let model = Model::new(view, settings);
    let mut holders: Vec<Vec<usize>> = model.ranges.iter().map(|range| range.holders.clone()).collect();
    let node = |name: &NodeName| model.nodes.binary_search_by(|node| node.name.cmp(name)).ok();
    for Relocation { range, from, to } in proposal.relocations() {
        if let (Ok(range), Some(from), Some(to)) =
            (model.ranges.binary_search_by_key(&range, |facts| facts.id), node(&from), node(&to))
        {
            holders[range].retain(|&node| node != from);
            holders[range].push(to);
        }
    }
    Layout::standing(&model).points() - Layout::of(&model, holders).points()
}
