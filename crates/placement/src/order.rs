//! From a placement to a plan: moves that gain nothing are taken back, the others put in an order that keeps room and zones
//! at every moment, and the plan ends where the objective is best.

use crate::guide::Guide;
use crate::layout::{Effect, Layout, MEASURES};
use crate::model::Model;
use crate::proposal::{Proposal, Reason, Relocation, Step};
use plover_ranges::NodeStatus;
use std::cmp::Reverse;
use std::collections::{BTreeSet, BinaryHeap, VecDeque};

/// The objective through a row of moves, without adding all up for each.
struct Exact {
    shares: Vec<[f64; MEASURES]>,
    plain: f64,
    points: f64,
}

impl Exact {
    fn new(layout: &Layout<'_>) -> Exact {
        let shares = (0..layout.model.nodes.len()).map(|node| layout.shares(node)).collect();
        let mut exact = Exact { shares, plain: 0.0, points: layout.points() };
        exact.plain = exact.points - exact.most(layout, None);
        exact
    }

    /// Points of the fullest by each measure, with what a change makes of two nodes.
    fn most(&self, layout: &Layout<'_>, change: Option<(usize, usize, &Effect)>) -> f64 {
        let model = layout.model;
        let w = &model.settings.weights;
        let mut most = [0.0f64; MEASURES];
        let mut take = |shares: &[f64; MEASURES]| {
            for (most, share) in most.iter_mut().zip(shares) {
                *most = most.max(*share);
            }
        };
        for (node, shares) in self.shares.iter().enumerate() {
            match change {
                Some((from, _, effect)) if node == from => take(&effect.from),
                Some((_, to, effect)) if node == to => take(&effect.to),
                _ => take(shares),
            }
        }
        for zone in 0..model.zones.len() {
            let more = change.map_or(0.0, |(from, to, effect)| {
                let at = |node: usize, out: f64| if model.nodes[node].zone == zone { out } else { 0.0 };
                at(from, effect.way.out_from) + at(to, effect.way.out_to)
            });
            most[3] = most[3].max((layout.zone_out(zone) + more) / model.zone_rate[zone]);
        }
        w.memory * most[0] + w.processor * most[1] + w.disk * most[2] + w.link * most[3] + w.reads * most[4]
    }

    fn after(&self, layout: &Layout<'_>, from: usize, to: usize, effect: &Effect) -> f64 {
        self.plain + effect.way.plain + self.most(layout, Some((from, to, effect)))
    }

    fn follow(&mut self, layout: &Layout<'_>, from: usize, to: usize, effect: &Effect, points: f64) {
        self.shares[from] = layout.shares(from);
        self.shares[to] = layout.shares(to);
        self.plain += effect.way.plain;
        self.points = points;
    }
}

/// One replica's move: range, from, to.
type Move = (usize, usize, usize);

/// What differs from how things stand: within a zone first, then in order of the nodes.
fn moves(model: &Model, layout: &Layout<'_>) -> Vec<Move> {
    let mut moves = Vec::new();
    for (range, facts) in model.ranges.iter().enumerate() {
        let now = layout.holders(range);
        let mut lost: Vec<usize> = facts.holders.iter().copied().filter(|node| !now.contains(node)).collect();
        let mut won: Vec<usize> = now.iter().copied().filter(|node| !facts.holders.contains(node)).collect();
        won.sort_unstable();
        for same_zone in [true, false] {
            won.retain(|&to| {
                let fits = |&from: &usize| !same_zone || model.nodes[from].zone == model.nodes[to].zone;
                let Some(at) = lost.iter().position(fits) else { return true };
                moves.push((range, lost.remove(at), to));
                false
            });
        }
    }
    moves
}

/// Takes back moves, alone or with another range sent in their place, as long as the objective gets better: what was worth
/// moving early in a search may not be at its end, and a smaller range may do.
pub(crate) fn prune(layout: &mut Layout<'_>, urgent: bool) {
    let model = layout.model;
    let mut exact = Exact::new(layout);
    // A look goes through all nodes.
    let mut left = model.settings.effort.saturating_mul(LOOKS) / model.serving as u64;
    for _ in 0..4 {
        let mut list = moves(model, layout);
        list.sort_by(|a, b| model.points(b.0, b.2).total_cmp(&model.points(a.0, a.2)).then(a.cmp(b)));
        let mut changed = false;
        for &(range, from, to) in &list {
            let holders = layout.holders(range);
            if !holders.contains(&to) || holders.contains(&from) || layout.too_few_zones(range, to, from) {
                continue;
            }
            let mut best: Option<(f64, Option<usize>, Effect)> = None;
            let others =
                layout.on(from).iter().copied().filter(|&other| !urgent && may_go(layout, other, from, to));
            for other in [None].into_iter().chain(others.map(Some)) {
                let room = layout.has_room(from, range, other)
                    && other.is_none_or(|other| layout.has_room(to, other, Some(range)));
                if !room || left == 0 {
                    continue;
                }
                let effect = layout.effect(range, to, from, other);
                if effect.way.plain >= 0.0 {
                    continue;
                }
                left -= 1;
                let points = exact.after(layout, to, from, &effect);
                if points < best.as_ref().map_or(exact.points - 1e-12, |(points, ..)| *points) {
                    best = Some((points, other, effect));
                }
            }
            if let Some((points, other, effect)) = best {
                layout.shift(range, to, from);
                if let Some(other) = other {
                    layout.shift(other, from, to);
                }
                exact.follow(layout, to, from, &effect, points);
                changed = true;
            }
        }
        if !changed {
            break;
        }
    }
}

/// Looks of a whole pruning by nodes and effort.
const LOOKS: u64 = 512;

/// Whether a range may go from one node to another, room aside.
fn may_go(layout: &Layout<'_>, range: usize, from: usize, to: usize) -> bool {
    let model = layout.model;
    let home = &model.ranges[range].holders;
    model.lets_go(range, from)
        && (model.takes(range, to) || home.contains(&to))
        && !layout.holders(range).contains(&to)
        && !layout.moved_enough(range, from)
        && !layout.too_few_zones(range, from, to)
}

/// The plan that leads to this placement, or part of the way where room or gain ends earlier.
pub(crate) fn plan(model: &Model, mut target: Layout<'_>, urgent: bool) -> Proposal {
    prune(&mut target, urgent);
    let mut queue = Queue::new(model, moves(model, &target));
    let before = queue.layout.terms();
    let weights = &model.settings.weights;
    let points_before = before.points(weights);
    let mut best = (points_before, 0);
    let mut taken = Vec::new();
    let mut steps = Vec::new();
    while steps.len() < model.settings.moves
        && let Some(((range, from, to), waits, reason)) = queue.next()
    {
        let after = queue.exact.points;
        let node = |node: usize| model.nodes[node].name.clone();
        let relocation = Relocation { range: model.ranges[range].id, from: node(from), to: node(to) };
        steps.push(Step { relocation, waits, reason, bytes: model.ranges[range].bytes as u64, after });
        taken.push((range, from, to));
        if after < best.0 - 1e-12 {
            best = (after, steps.len());
        }
    }
    steps.truncate(best.1);
    let mut holders: Vec<Vec<usize>> = model.ranges.iter().map(|range| range.holders.clone()).collect();
    for &(range, from, to) in &taken[..best.1] {
        holders[range].retain(|&node| node != from);
        holders[range].push(to);
    }
    let after = Layout::of(model, holders).terms();
    let bytes = steps.iter().map(|step| step.bytes).sum();
    Proposal { steps, before, after, points_before, points_after: after.points(weights), bytes }
}

/// A number in the order of numbers.
#[derive(PartialEq)]
struct Change(f64);

impl Eq for Change {}

impl PartialOrd for Change {
    fn partial_cmp(&self, other: &Change) -> Option<std::cmp::Ordering> {
        Some(self.cmp(other))
    }
}

impl Ord for Change {
    fn cmp(&self, other: &Change) -> std::cmp::Ordering {
        self.0.total_cmp(&other.0)
    }
}

/// Moves that are yet to be put in order: what gains most goes first.
struct Queue<'m> {
    layout: Layout<'m>,
    guide: Guide,
    exact: Exact,
    ready: BinaryHeap<Reverse<(Change, Move)>>,
    /// Moves without room yet.
    parked: BTreeSet<Move>,
    /// Moves that may be under way when the next begins: their old copies are still there.
    under_way: VecDeque<Move>,
}

impl<'m> Queue<'m> {
    fn new(model: &'m Model, moves: Vec<Move>) -> Queue<'m> {
        let layout = Layout::standing(model);
        let guide = Guide::new(&layout, 5);
        let exact = Exact::new(&layout);
        let mut queue = Queue {
            layout,
            guide,
            exact,
            ready: BinaryHeap::new(),
            parked: BTreeSet::new(),
            under_way: VecDeque::new(),
        };
        for one in moves {
            let change = queue.change(one);
            queue.ready.push(Reverse((Change(change), one)));
        }
        queue
    }

    fn change(&self, (range, from, to): Move) -> f64 {
        self.guide.change(&self.layout, from, to, &self.layout.effect(range, from, to, None))
    }

    fn may_start(&self, (range, from, to): Move) -> bool {
        self.layout.has_room(to, range, None)
            && !self.layout.too_few_zones(range, from, to)
            && !self.under_way.iter().any(|way| way.0 == range)
    }

    /// The next move, whether it waits for all before it, and what it is for.
    fn next(&mut self) -> Option<(Move, bool, Reason)> {
        let mut waits = false;
        loop {
            let Some(Reverse((Change(told), one))) = self.ready.pop() else {
                // What is parked may go once all before it is done.
                if self.under_way.is_empty() || self.parked.is_empty() {
                    return None;
                }
                waits = true;
                while !self.under_way.is_empty() {
                    self.release();
                }
                continue;
            };
            if !self.may_start(one) {
                self.parked.insert(one);
                continue;
            }
            // Others were moved since this was told: is it still the first?
            let change = self.change(one);
            if change > told + 1e-9 && self.ready.peek().is_some_and(|Reverse((next, _))| next.0 < change) {
                self.ready.push(Reverse((Change(change), one)));
                continue;
            }
            return Some((one, waits, self.take(one)));
        }
    }

    fn take(&mut self, one: Move) -> Reason {
        let (range, from, to) = one;
        let effect = self.layout.effect(range, from, to, None);
        let reason = self.reason(one, &effect);
        let points = self.exact.after(&self.layout, from, to, &effect);
        self.layout.shift(range, from, to);
        self.exact.follow(&self.layout, from, to, &effect, points);
        self.guide.follow(&self.layout, from, to);
        self.keep(one, 1.0);
        self.under_way.push_back(one);
        if self.under_way.len() >= self.layout.model.settings.at_once {
            self.release();
        }
        reason
    }

    /// Memory and disk of the old copy.
    fn keep(&mut self, (range, from, _): Move, sign: f64) {
        let load = self.layout.model.ranges[range].load;
        self.layout.kept[from][0] += sign * load[0];
        self.layout.kept[from][1] += sign * load[2];
    }

    /// The oldest move under way counts as done.
    fn release(&mut self) {
        let Some(done) = self.under_way.pop_front() else { return };
        self.keep(done, -1.0);
        let free: Vec<Move> =
            self.parked.iter().copied().filter(|one| one.2 == done.1 || one.0 == done.0).collect();
        for one in free {
            self.parked.remove(&one);
            let change = self.change(one);
            self.ready.push(Reverse((Change(change), one)));
        }
    }

    fn reason(&self, (range, from, to): Move, effect: &Effect) -> Reason {
        let model = self.layout.model;
        if model.nodes[from].standing == NodeStatus::Leaving {
            return Reason::Leaving;
        }
        if self.layout.zones_of(range) < model.zones_wanted(range) {
            return Reason::Spread;
        }
        let names = [
            Reason::Memory,
            Reason::Processor,
            Reason::Disk,
            Reason::Link,
            Reason::Reads,
            Reason::Cross,
            Reason::Room,
        ];
        let parts = self.guide.parts(&self.layout, from, to, effect);
        let most = parts.iter().enumerate().min_by(|a, b| a.1.total_cmp(b.1));
        most.filter(|(_, change)| **change < 0.0).map_or(Reason::Room, |(at, _)| names[at])
    }
}
