//! Looking for a better placement: a descent by moves and swaps, first down a smooth stand-in of the objective, then by the
//! objective itself.
//!
//! The objective looks at the fullest node alone, so that where ten are equally full no single move helps. The stand-in puts a
//! high power mean in the place of each maximum: every one of the ten then counts, and the higher the power the closer the two.

use crate::guide::{Guide, Lift};
use crate::layout::{Layout, MEASURES};
use crate::model::Model;
use crate::order;
use crate::proposal::Proposal;
use crate::settings::Settings;
use crate::view::View;
use plover_ranges::{NodeName, RangeId, Standing};
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;
use std::collections::{BTreeMap, BTreeSet};

/// What a plan must leave alone.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Guard {
    /// Ranges that only go off nodes that leave.
    pub rests: BTreeSet<RangeId>,
    /// Nodes that a range must not go to.
    pub barred: BTreeMap<RangeId, BTreeSet<NodeName>>,
    /// Replicas of a range that may move in one plan, those off nodes that leave not counted; without a line all may.
    pub most: BTreeMap<RangeId, usize>,
    /// Only ranges on nodes that leave, or in too few zones, are moved.
    pub urgent: bool,
}

/// The best plan found; without steps where none gains anything. It is the same for the same view and settings.
pub fn propose(view: &View<'_>, settings: &Settings, guard: &Guard) -> Proposal {
    let mut model = Model::new(view, settings);
    for facts in &mut model.ranges {
        facts.rests = guard.rests.contains(&facts.id);
        facts.most = guard.most.get(&facts.id).copied().unwrap_or(facts.most);
        if let Some(barred) = guard.barred.get(&facts.id) {
            facts.barred =
                (0..model.nodes.len()).filter(|&node| barred.contains(&model.nodes[node].name)).collect();
        }
    }
    let empty = |&node: &usize| !model.holding[node] && model.nodes[node].standing == Standing::Warm;
    let empties = (0..model.nodes.len()).filter(empty).count();
    let best = plan(&model, guard.urgent, false);
    if empties == 0 {
        return best;
    }
    // With the nodes that hold nothing as well. The plan without them stays in the race: a node more makes nothing worse.
    let with = plan(&model, guard.urgent, true);
    if with.points_after < best.points_after { with } else { best }
}

fn plan(model: &Model, urgent: bool, empty_too: bool) -> Proposal {
    let mut search = Search::new(model, urgent, empty_too);
    search.run();
    order::plan(model, search.layout)
}

/// Least change that counts, in points: below it is rounding.
const LEAST: f64 = 1e-9;
/// Passes over all nodes with one power at most.
const SWEEPS: usize = 12;
/// Powers of the stand-in in turn: two to each of these.
const STAGES: [u32; 4] = [3, 5, 6, 7];
/// Up to so many nodes, swaps are tried with each of them.
const ALL_NODES: usize = 64;

struct Search<'m> {
    layout: Layout<'m>,
    guide: Guide,
    /// Nodes that may get ranges, by zone, the emptiest first.
    rooms: Vec<BTreeSet<(u64, usize)>>,
    /// The same by name, to draw from.
    listed: Vec<Vec<usize>>,
    random: Pcg64Mcg,
    urgent: bool,
    /// Candidates that this stage may look at yet, and those of later stages.
    left: u64,
    kept_back: u64,
}

impl<'m> Search<'m> {
    fn new(model: &'m Model, urgent: bool, empty_too: bool) -> Search<'m> {
        let layout = Layout::standing(model);
        let guide = Guide::new(&layout, 3);
        let mut listed = vec![Vec::new(); model.zones.len()];
        for (node, facts) in model.nodes.iter().enumerate() {
            if facts.standing == Standing::Warm && (empty_too || model.holding[node]) {
                listed[facts.zone].push(node);
            }
        }
        listed.retain(|zone| !zone.is_empty());
        let random = Pcg64Mcg::seed_from_u64(model.settings.seed);
        Search {
            layout,
            guide,
            rooms: Vec::new(),
            listed,
            random,
            urgent,
            left: model.settings.effort,
            kept_back: 0,
        }
    }

    fn run(&mut self) {
        for (stage, doublings) in STAGES.into_iter().enumerate() {
            // Each stage may use up its part of what is left, so that the last one has its own.
            self.kept_back = self.left - self.left / (STAGES.len() - stage) as u64;
            self.left -= self.kept_back;
            self.guide = Guide::new(&self.layout, doublings);
            self.list_rooms();
            for _ in 0..SWEEPS {
                let mut gained = self.sweep();
                if doublings > 3 {
                    gained += self.swap_sweep();
                }
                if gained < 1e-4 || self.left == 0 {
                    break;
                }
                self.guide = Guide::new(&self.layout, doublings);
                self.list_rooms();
            }
            self.left += self.kept_back;
        }
    }

    fn room_of(&self, node: usize) -> u64 {
        let shares = self.layout.shares(node);
        let part = |m: usize| self.guide.weights[m] * (shares[m] / self.guide.scale[m]).powi(4);
        (0..MEASURES).map(part).sum::<f64>().to_bits()
    }

    fn list_rooms(&mut self) {
        self.rooms = self
            .listed
            .iter()
            .map(|zone| zone.iter().map(|&node| (self.room_of(node), node)).collect())
            .collect();
    }

    fn by_pressure(&self) -> Vec<usize> {
        let mut nodes: Vec<(f64, usize)> =
            (0..self.layout.model.nodes.len()).map(|node| (self.guide.pressure(node), node)).collect();
        nodes.sort_by(|a, b| b.0.total_cmp(&a.0).then(a.1.cmp(&b.1)));
        nodes.into_iter().map(|(_, node)| node).collect()
    }

    fn may_leave(&self, range: usize, from: usize) -> bool {
        let model = self.layout.model;
        let urgent = || {
            model.nodes[from].standing == Standing::Leaving
                || self.layout.zones_of(range) < model.zones_wanted(range)
        };
        model.lets_go(range, from) && (!self.urgent || urgent()) && !self.moved_enough(range, from)
    }

    /// Whether one more replica off a node that stays would be too many of this range in one plan.
    fn moved_enough(&self, range: usize, from: usize) -> bool {
        let (model, now) = (self.layout.model, self.layout.holders(range));
        let home = &model.ranges[range].holders;
        let stays = |&&node: &&usize| model.nodes[node].standing != Standing::Leaving;
        let gone = home.iter().filter(stays).filter(|node| !now.contains(node)).count();
        home.contains(&from) && stays(&&from) && gone >= model.ranges[range].most
    }

    fn may_come(&self, range: usize, from: usize, to: usize, without: Option<usize>) -> bool {
        from != to
            && self.layout.model.takes(range, to)
            && !self.layout.holders(range).contains(&to)
            && self.layout.has_room(to, range, without)
            && !self.layout.too_few_zones(range, from, to)
    }

    /// The emptiest nodes of each zone, and some others by chance.
    fn targets(&mut self, each: usize, chance: usize) -> Vec<usize> {
        let mut targets = Vec::new();
        for (zone, rooms) in self.rooms.iter().enumerate() {
            targets.extend(rooms.iter().take(each).map(|&(_, node)| node));
            for _ in 0..chance {
                let listed = &self.listed[zone];
                targets.push(listed[self.random.random_range(0..listed.len())]);
            }
        }
        targets
    }

    fn best_target(&mut self, range: usize, from: usize, targets: &[usize]) -> Option<(f64, usize)> {
        let model = self.layout.model;
        let home = &model.ranges[range].holders;
        let lift = self.guide.lift(from, &self.layout.gives(range, from));
        let mut best: Option<(f64, usize)> = None;
        for &to in targets.iter().chain(home) {
            if self.left == 0 || !self.may_come(range, from, to, None) {
                continue;
            }
            self.left -= 1;
            let way = self.layout.way(range, from, to);
            // What the old holder gains at most does not pay: the new one need not be looked at.
            let least = best.map_or(-LEAST, |(least, _)| least);
            if way.plain - lift.most - self.guide.link_lift(&self.layout, from, to) > least {
                continue;
            }
            let change = self.guide.shift(&self.layout, from, &lift, to, &self.layout.gets(range, to), &way);
            if change < least {
                best = Some((change, to));
            }
        }
        best
    }

    fn apply(&mut self, range: usize, from: usize, to: usize) {
        for node in [from, to] {
            self.unlist(node);
        }
        self.layout.shift(range, from, to);
        self.guide.follow(&self.layout, from, to);
        for node in [from, to] {
            self.enlist(node);
        }
    }

    fn zone_listed(&self, node: usize) -> Option<usize> {
        self.listed.iter().position(|zone| zone.binary_search(&node).is_ok())
    }

    fn unlist(&mut self, node: usize) {
        if let Some(zone) = self.zone_listed(node) {
            let room = self.room_of(node);
            self.rooms[zone].remove(&(room, node));
        }
    }

    fn enlist(&mut self, node: usize) {
        if let Some(zone) = self.zone_listed(node) {
            let room = self.room_of(node);
            self.rooms[zone].insert((room, node));
        }
    }

    /// Moves off each node what is better elsewhere, the fullest nodes first; points gained.
    fn sweep(&mut self) -> f64 {
        let each = (24 / self.listed.len().max(1)).clamp(2, 8);
        let mut gained = 0.0;
        for from in self.by_pressure() {
            let targets = self.targets(each, 1);
            let mut found = Vec::new();
            for range in self.layout.on(from).to_vec() {
                if self.may_leave(range, from)
                    && let Some((change, _)) = self.best_target(range, from, &targets)
                {
                    found.push((change, range));
                }
            }
            found.sort_by(|a, b| a.0.total_cmp(&b.0).then(a.1.cmp(&b.1)));
            for (_, range) in found {
                // What stood first in the list may be full by now.
                let targets = self.targets(each, 1);
                if let Some((change, to)) = self.best_target(range, from, &targets) {
                    self.apply(range, from, to);
                    gained -= change;
                }
            }
        }
        gained
    }

    /// Swaps replicas of the fullest nodes for others; points gained.
    fn swap_sweep(&mut self) -> f64 {
        if self.urgent {
            return 0.0;
        }
        let mut gained = 0.0;
        let count = self.layout.model.nodes.len();
        let fullest: Vec<usize> = self.by_pressure().into_iter().take((count / 3).clamp(12, 64)).collect();
        for from in fullest {
            let others = self.swap_targets();
            let ranges = self.layout.on(from).to_vec();
            for range in ranges {
                if let Some((change, to, back)) = self.best_swap(range, from, &others) {
                    self.apply(range, from, to);
                    self.apply(back, to, from);
                    gained -= change;
                }
            }
        }
        gained
    }

    fn swap_targets(&mut self) -> Vec<usize> {
        if self.listed.iter().map(Vec::len).sum::<usize>() <= ALL_NODES {
            return self.listed.concat();
        }
        self.targets((16 / self.listed.len().max(1)).clamp(1, 4), 2)
    }

    fn best_swap(&mut self, range: usize, from: usize, others: &[usize]) -> Option<(f64, usize, usize)> {
        let model = self.layout.model;
        if !self.may_leave(range, from) {
            return None;
        }
        let lift = self.guide.lift(from, &self.layout.gives(range, from));
        let mut best: Option<(f64, usize, usize)> = None;
        for &to in others {
            if to == from || self.layout.holders(range).contains(&to) || !model.takes(range, to) {
                continue;
            }
            let way = self.layout.way(range, from, to);
            let link = self.guide.link_lift(&self.layout, from, to);
            for &back in self.layout.on(to) {
                if self.left == 0 {
                    return best;
                }
                self.left -= 1;
                let back_way = self.layout.way(back, to, from);
                let plain = way.plain + back_way.plain;
                let least = best.map_or(-LEAST, |(least, ..)| least);
                // No more is gained than if both went nowhere.
                if plain - lift.most - link > least
                    && plain - lift.most - link - self.back_lift(back, to).most > least
                {
                    continue;
                }
                let paired =
                    model.ranges[range].pairs.iter().any(|pair| model.ranges[back].pairs.contains(pair));
                let may = !paired
                    && self.may_leave(back, to)
                    && self.may_come(range, from, to, Some(back))
                    && self.may_come(back, to, from, Some(range));
                if !may {
                    continue;
                }
                let effect = self.layout.effect(range, from, to, Some(back));
                let change = self.guide.change(&self.layout, from, to, &effect);
                if change < least {
                    best = Some((change, to, back));
                }
            }
        }
        best
    }

    fn back_lift(&self, back: usize, to: usize) -> Lift {
        self.guide.lift(to, &self.layout.gives(back, to))
    }
}
