//! Looking for a better placement: a descent by moves and swaps, first down a smooth stand-in of the objective, then by the
//! objective itself.
//!
//! The objective looks at the fullest node alone, so that where ten are equally full no single move helps. The stand-in puts a
//! high power mean in the place of each maximum: every one of the ten then counts, and the higher the power the closer the two.

use crate::guide::Guide;
use crate::layout::{Layout, MEASURES};
use crate::model::Model;
use crate::order;
use crate::proposal::Proposal;
use crate::settings::Settings;
use crate::view::View;
use plover_ranges::{NodeName, NodeStatus, RangeId};
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
    let empty = |&node: &usize| !model.holding[node] && model.nodes[node].standing == NodeStatus::Warm;
    let empties = (0..model.nodes.len()).filter(empty).count();
    if empties == 0 {
        return plan(&model, guard.urgent, false);
    }
    // With the nodes that hold nothing as well. The plan without them stays in the race: a node more makes nothing worse.
    let mut plans = on_all_cores(&[true, false], 2, |&empty_too| plan(&model, guard.urgent, empty_too));
    plans.sort_by(|a, b| a.points_after.total_cmp(&b.points_after));
    plans.swap_remove(0)
}

fn plan(model: &Model, urgent: bool, empty_too: bool) -> Proposal {
    let mut search = Search::new(model, urgent, empty_too);
    let most = search.left / 4 * 3;
    search.run(&STAGES, most);
    // What is taken back leaves room for better.
    order::prune(&mut search.layout, urgent);
    search.layout = Layout::of(model, search.layout.all_holders());
    search.run(&AGAIN, search.left);
    order::plan(model, search.layout, urgent)
}

/// Least change that counts, in points: below it is rounding.
const LEAST: f64 = 1e-9;
/// Passes over all nodes with one power at most.
const SWEEPS: usize = 8;
/// Powers of the stand-in in turn: two to each of these.
const STAGES: [u32; 4] = [2, 4, 6, 7];
/// And once moves were taken back.
const AGAIN: [u32; 2] = [6, 7];
/// Up to so many nodes, swaps are tried with each of them.
const ALL_NODES: usize = 64;
/// Smaller fleets are looked at as closely as if they had so many nodes.
const LEAST_NODES: usize = 128;
/// Fewer items than this are not worth threads.
const FEW: usize = 64;
/// What a close look at a candidate counts; one that is out at a glance counts 1.
const CLOSE: u64 = 8;

struct Search<'m> {
    layout: Layout<'m>,
    guide: Guide,
    /// Nodes that may get ranges, by zone, the emptiest first.
    rooms: Vec<BTreeSet<(u64, usize)>>,
    /// The same by name, to draw from.
    listed: Vec<Vec<usize>>,
    random: Pcg64Mcg,
    urgent: bool,
    /// What may be looked at yet.
    left: u64,
}

impl<'m> Search<'m> {
    fn new(model: &'m Model, urgent: bool, empty_too: bool) -> Search<'m> {
        let layout = Layout::standing(model);
        let guide = Guide::new(&layout, 3);
        let mut listed = vec![Vec::new(); model.zones.len()];
        for (node, facts) in model.nodes.iter().enumerate() {
            if facts.standing == NodeStatus::Warm && (empty_too || model.holding[node]) {
                listed[facts.zone].push(node);
            }
        }
        listed.retain(|zone| !zone.is_empty());
        let left = model.settings.effort.saturating_mul(model.serving.max(LEAST_NODES) as u64);
        let random = Pcg64Mcg::seed_from_u64(model.settings.seed);
        Search { layout, guide, rooms: Vec::new(), listed, random, urgent, left }
    }

    /// Goes down the stand-in with these powers in turn, with this part of what is left to look at.
    fn run(&mut self, stages: &[u32], most: u64) {
        let kept = self.left - most;
        self.left = most;
        for (at, &doublings) in stages.iter().enumerate() {
            // A stage may use up half of what is left, so that the later ones have their own.
            let later = if at + 1 < stages.len() { self.left / 2 } else { 0 };
            self.left -= later;
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
            self.left += later;
        }
        self.left += kept;
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

    /// Nodes that leave, then the fullest.
    fn by_pressure(&self) -> Vec<usize> {
        let model = self.layout.model;
        let stays = |node: usize| model.nodes[node].standing != NodeStatus::Leaving;
        // Nothing is drawn for empty ones: the plan without them must not depend on how many there are.
        let holds = |node: &usize| !self.layout.on(*node).is_empty();
        let mut nodes: Vec<(bool, f64, usize)> = (0..model.nodes.len())
            .filter(holds)
            .map(|node| (stays(node), self.guide.pressure(node), node))
            .collect();
        nodes.sort_by(|a, b| a.0.cmp(&b.0).then(b.1.total_cmp(&a.1)).then(a.2.cmp(&b.2)));
        nodes.into_iter().map(|(.., node)| node).collect()
    }

    fn may_leave(&self, range: usize, from: usize) -> bool {
        let model = self.layout.model;
        let urgent = || {
            model.nodes[from].standing == NodeStatus::Leaving
                || self.layout.zones_of(range) < model.zones_wanted(range)
        };
        model.lets_go(range, from) && (!self.urgent || urgent()) && !self.layout.moved_enough(range, from)
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

    /// The best node for a replica to go to; it adds to `looked` how many it looked at.
    fn best_target(
        &self,
        range: usize,
        from: usize,
        targets: &[usize],
        looked: &mut u64,
    ) -> Option<(f64, usize)> {
        let model = self.layout.model;
        let home = &model.ranges[range].holders;
        let lift = self.guide.lift(from, &self.layout.gives(range, from));
        let calm = self.calm(range, from);
        let mut best: Option<(f64, usize)> = None;
        for &to in targets.iter().chain(home) {
            // What the old holder gains at most does not pay: the new one need not be looked at.
            *looked += 1;
            let least = best.map_or(-LEAST, |(least, _)| least);
            let hopeless = calm && self.least_plain(range, from, to) - lift.most > least;
            if hopeless || !self.may_come(range, from, to, None) {
                continue;
            }
            *looked += CLOSE;
            let way = self.layout.way(range, from, to);
            if way.plain - lift.most - self.link_most(from, to) > least {
                continue;
            }
            let change = self.guide.shift(&self.layout, from, &lift, to, &self.layout.gets(range, to), &way);
            if change < least {
                best = Some((change, to));
            }
        }
        best
    }

    /// Whether nothing but shares, crossing and cost is at stake in a move off this node.
    fn calm(&self, range: usize, from: usize) -> bool {
        let model = self.layout.model;
        model.nodes[from].standing == NodeStatus::Warm
            && self.layout.zones_of(range) >= model.zones_wanted(range)
    }

    /// Points that the links of zones gain at most by a move.
    fn link_most(&self, from: usize, to: usize) -> f64 {
        let nodes = &self.layout.model.nodes;
        if nodes[from].zone == nodes[to].zone { 0.0 } else { self.guide.link_most }
    }

    /// Points that crossing and cost bring at least by a move, links taken off: told without looking closer.
    fn least_plain(&self, range: usize, from: usize, to: usize) -> f64 {
        let model = self.layout.model;
        let facts = &model.ranges[range];
        let mut least = match (facts.holders.contains(&from), facts.holders.contains(&to)) {
            (true, true) => 0.0,
            (true, false) => facts.least_price,
            (false, true) => -model.points(range, from),
            (false, false) => model.points(range, to) - model.points(range, from),
        };
        if model.nodes[from].zone != model.nodes[to].zone {
            least -= facts.most_cross + self.guide.link_most;
        }
        least
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

    /// Moves off each node what is better elsewhere, the fullest nodes first; points gained. What may gain is looked for on all
    /// nodes at once, on as many threads as there are; what is found is looked at once more in turn, so that the outcome does
    /// not depend on them.
    fn sweep(&mut self) -> f64 {
        let each = (24 / self.listed.len().max(1)).clamp(2, 8);
        let nodes: Vec<(usize, Vec<usize>)> =
            self.by_pressure().into_iter().map(|from| (from, self.targets(each, 1))).collect();
        let found = on_all_cores(&nodes, FEW, |(from, targets)| {
            let mut looked = 0;
            let mut found = Vec::new();
            for &range in self.layout.on(*from) {
                if self.may_leave(range, *from)
                    && let Some((change, _)) = self.best_target(range, *from, targets, &mut looked)
                {
                    found.push((change, range));
                }
            }
            found.sort_by(|a, b| a.0.total_cmp(&b.0).then(a.1.cmp(&b.1)));
            (found, looked)
        });
        let mut gained = 0.0;
        for ((from, _), (found, looked)) in nodes.into_iter().zip(found) {
            self.left = self.left.saturating_sub(looked);
            for (_, range) in found {
                if self.left == 0 {
                    return gained;
                }
                // What stood first in the list may be full by now.
                let targets = self.targets(each, 1);
                let mut looked = 0;
                if self.may_leave(range, from)
                    && let Some((change, to)) = self.best_target(range, from, &targets, &mut looked)
                {
                    self.apply(range, from, to);
                    gained -= change;
                }
                self.left = self.left.saturating_sub(looked);
            }
        }
        gained
    }

    /// Swaps replicas of the fullest nodes for others, in the same two steps; points gained.
    fn swap_sweep(&mut self) -> f64 {
        if self.urgent {
            return 0.0;
        }
        let count = self.layout.model.serving;
        let fullest = self.by_pressure().into_iter().take((count / 3).clamp(12, 64));
        let mut pairs = Vec::new();
        let mut candidates = 0;
        for from in fullest.collect::<Vec<usize>>() {
            let others = self.swap_targets();
            candidates +=
                self.layout.on(from).len() * others.iter().map(|&to| self.layout.on(to).len()).sum::<usize>();
            // Half of what is left is kept for those that are found.
            if candidates as u64 > self.left / 2 {
                break;
            }
            pairs.extend(self.layout.on(from).iter().map(|&range| (range, from, others.clone())));
        }
        let found = on_all_cores(&pairs, FEW, |(range, from, others)| {
            let mut looked = 0;
            (self.best_swap(*range, *from, others, &mut looked).is_some(), looked)
        });
        let mut gained = 0.0;
        for ((range, from, others), (found, looked)) in pairs.into_iter().zip(found) {
            self.left = self.left.saturating_sub(looked);
            if self.left == 0 || !found || !self.layout.holders(range).contains(&from) {
                continue;
            }
            let mut looked = 0;
            if let Some((change, to, back)) = self.best_swap(range, from, &others, &mut looked) {
                self.apply(range, from, to);
                self.apply(back, to, from);
                gained -= change;
            }
            self.left = self.left.saturating_sub(looked);
        }
        gained
    }

    fn swap_targets(&mut self) -> Vec<usize> {
        if self.listed.iter().map(Vec::len).sum::<usize>() <= ALL_NODES {
            return self.listed.concat();
        }
        self.targets((16 / self.listed.len().max(1)).clamp(1, 4), 2)
    }

    fn best_swap(
        &self,
        range: usize,
        from: usize,
        others: &[usize],
        looked: &mut u64,
    ) -> Option<(f64, usize, usize)> {
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
            // No more is gained than if both went nowhere.
            let gain = lift.most + self.guide.whole_lift(to) + self.link_most(from, to);
            for &back in self.layout.on(to) {
                *looked += 1;
                let least = best.map_or(-LEAST, |(least, ..)| least);
                let hopeless =
                    self.calm(back, to) && way.plain + self.least_plain(back, to, from) - gain > least;
                if hopeless || way.plain + self.layout.way(back, to, from).plain - gain > least {
                    continue;
                }
                *looked += CLOSE;
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
}

/// What a function makes of each item, in order.
fn on_all_cores<I: Sync, T: Send>(items: &[I], few: usize, make: impl Fn(&I) -> T + Sync) -> Vec<T> {
    let threads = std::thread::available_parallelism().map_or(1, |count| count.get().min(16));
    let each = items.len().div_ceil(threads);
    if threads == 1 || items.len() < few {
        return items.iter().map(make).collect();
    }
    let make = &make;
    std::thread::scope(|scope| {
        let parts: Vec<_> = items
            .chunks(each)
            .map(|part| (part, scope.spawn(move || part.iter().map(make).collect::<Vec<T>>())))
            .collect();
        // A thread that ended badly is made up for by this one, which then ends the same way.
        parts
            .into_iter()
            .flat_map(|(part, thread)| thread.join().unwrap_or_else(|_| part.iter().map(make).collect()))
            .collect()
    })
}
