//! A placement with its sums: what a move changes is told from the sums of two nodes and two zones alone.

use crate::model::Model;
use crate::proposal::Terms;
use plover_ranges::NodeStatus;

/// Measures of a node: memory, processor, disk, connection, reads.
pub const MEASURES: usize = 5;

/// What a move of a replica, or a swap of two, changes beside the shares of the two nodes.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Way {
    /// Bytes a second more out of the zone of the node that gives.
    pub out_from: f64,
    /// And out of the zone of the other.
    pub out_to: f64,
    /// Points more by terms that are plain sums: crossing, leaving, zones, cost.
    pub plain: f64,
}

/// All that it changes.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Effect {
    /// Shares of the node that gives, after.
    pub from: [f64; MEASURES],
    /// Shares of the node that gets, after.
    pub to: [f64; MEASURES],
    /// The rest.
    pub way: Way,
}

/// A placement on a model.
#[derive(Clone, Debug)]
pub struct Layout<'m> {
    /// The model.
    pub model: &'m Model,
    /// Nodes that hold each range, in no order.
    holders: Vec<Vec<usize>>,
    /// Ranges on each node, by rank: what memory holds last comes first.
    on: Vec<Vec<usize>>,
    /// What each node is asked for, by the first four measures.
    sums: Vec<[f64; 4]>,
    /// Bytes a second that each node reads.
    reads: Vec<f64>,
    /// Live holders by range and zone.
    in_zone: Vec<u32>,
    /// Bytes a second out of each zone.
    out: Vec<f64>,
    /// Memory and disk that copies take which are given up but still there.
    pub(crate) kept: Vec<[f64; 2]>,
}

impl<'m> Layout<'m> {
    /// The placement as it stands.
    pub fn standing(model: &'m Model) -> Layout<'m> {
        Layout::of(model, model.ranges.iter().map(|range| range.holders.clone()).collect())
    }

    /// The placement with these holders of each range.
    pub fn of(model: &'m Model, holders: Vec<Vec<usize>>) -> Layout<'m> {
        let mut layout = Layout {
            model,
            holders,
            on: vec![Vec::new(); model.nodes.len()],
            sums: vec![[0.0; 4]; model.nodes.len()],
            reads: vec![0.0; model.nodes.len()],
            in_zone: vec![0; model.ranges.len() * model.zones.len()],
            out: vec![0.0; model.zones.len()],
            kept: model.kept.clone(),
        };
        let mut order: Vec<usize> = (0..model.ranges.len()).collect();
        order.sort_by_key(|&range| model.ranges[range].rank);
        for range in order {
            for holder in 0..layout.holders[range].len() {
                let node = layout.holders[range][holder];
                layout.on[node].push(range);
                layout.add(range, node, 1.0);
                if layout.counts(node) {
                    layout.in_zone[range * model.zones.len() + model.nodes[node].zone] += 1;
                }
            }
        }
        for node in 0..model.nodes.len() {
            layout.reads[node] = layout.reads_of(node, None, None);
        }
        for zone in 0..model.zones.len() {
            let single = (0..model.ranges.len())
                .map(|range| layout.leaves_zone(range, zone, layout.zone_count(range, zone)));
            let pairs = model.pairs.iter().map(|pair| {
                let (one, other) = (layout.share(pair.one, zone, 0), layout.share(pair.other, zone, 0));
                0.5 * pair.bytes * (one - other).abs()
            });
            layout.out[zone] = single.sum::<f64>() + pairs.sum::<f64>();
        }
        layout
    }

    /// Nodes that hold a range.
    pub fn holders(&self, range: usize) -> &[usize] {
        &self.holders[range]
    }

    /// Nodes that hold each range.
    pub(crate) fn all_holders(&self) -> Vec<Vec<usize>> {
        self.holders.clone()
    }

    /// Ranges on a node.
    pub fn on(&self, node: usize) -> &[usize] {
        &self.on[node]
    }

    /// What a node is asked for by memory, processor, disk and connection.
    pub fn asked(&self, node: usize) -> &[f64; 4] {
        &self.sums[node]
    }

    /// Whether what a node holds counts as served.
    fn counts(&self, node: usize) -> bool {
        self.model.nodes[node].standing != NodeStatus::Unreachable
    }

    fn add(&mut self, range: usize, node: usize, sign: f64) {
        for (sum, load) in self.sums[node].iter_mut().zip(self.model.ranges[range].load) {
            *sum += sign * load;
        }
    }

    /// Shares of a node by each measure; none of one that is not heard.
    pub fn shares(&self, node: usize) -> [f64; MEASURES] {
        self.shares_of(node, &self.sums[node], self.reads[node])
    }

    fn shares_of(&self, node: usize, sums: &[f64; 4], reads: f64) -> [f64; MEASURES] {
        if !self.counts(node) {
            return [0.0; MEASURES];
        }
        let facts = &self.model.nodes[node];
        let share = |measure: usize| (sums[measure] / facts.room[measure]).max(0.0);
        [share(0), share(1), share(2), share(3), reads / facts.read]
    }

    /// Bytes a second that a node reads, without one range and with another: what a cache saves that evicts first what saves
    /// least.
    fn reads_of(&self, node: usize, without: Option<usize>, with: Option<usize>) -> f64 {
        let ranges = &self.model.ranges;
        let hot = |range: Option<usize>| range.map_or(0.0, |range| ranges[range].load[0]);
        let mut over = self.sums[node][0] - hot(without) + hot(with) - self.model.nodes[node].room[0];
        if over <= 0.0 {
            return 0.0;
        }
        let mut reads = 0.0;
        let mut evict = |range: usize| {
            let facts = &ranges[range];
            let part = if facts.load[0] > over { over / facts.load[0] } else { 1.0 };
            reads += facts.cold * part;
            over -= facts.load[0];
            over > 0.0
        };
        let mut with = with;
        for &range in &self.on[node] {
            if Some(range) == without {
                continue;
            }
            if let Some(new) = with.filter(|&new| ranges[new].rank < ranges[range].rank) {
                with = None;
                if !evict(new) {
                    return reads;
                }
            }
            if !evict(range) {
                return reads;
            }
        }
        if let Some(new) = with {
            evict(new);
        }
        reads
    }

    /// Live holders of a range in a zone.
    pub fn zone_count(&self, range: usize, zone: usize) -> u32 {
        self.in_zone[range * self.model.zones.len() + zone]
    }

    /// Zones that a range is in.
    pub fn zones_of(&self, range: usize) -> usize {
        let zones = self.model.zones.len();
        self.in_zone[range * zones..(range + 1) * zones].iter().filter(|&&count| count > 0).count()
    }

    /// Share of a range's answers that a zone gives, with so many holders more.
    fn share(&self, range: usize, zone: usize, more: i32) -> f64 {
        let count = self.zone_count(range, zone) as i32 + more;
        f64::from(count) / self.model.ranges[range].live.max(1) as f64
    }

    /// Bytes a second of a range that leave a zone, with so many holders in it: what it gives beyond what it asks.
    fn leaves_zone(&self, range: usize, zone: usize, count: u32) -> f64 {
        let facts = &self.model.ranges[range];
        let asked: f64 = self.model.askers[zone];
        let given = f64::from(count) / facts.live.max(1) as f64;
        if self.model.askers.iter().all(|&share| share == 0.0) {
            0.0
        } else {
            facts.answers * (given - asked).max(0.0)
        }
    }

    /// Bytes a second more out of a zone if a range had so many holders more in it.
    fn out_more(&self, range: usize, zone: usize, more: i32) -> f64 {
        let count = self.zone_count(range, zone);
        let after = count.saturating_add_signed(more);
        let mut sum = self.leaves_zone(range, zone, after) - self.leaves_zone(range, zone, count);
        for &pair in &self.model.ranges[range].pairs {
            let pair = &self.model.pairs[pair];
            let other = self.share(if pair.one == range { pair.other } else { pair.one }, zone, 0);
            let (was, is) = (self.share(range, zone, 0), self.share(range, zone, more));
            sum += 0.5 * pair.bytes * ((is - other).abs() - (was - other).abs());
        }
        sum
    }

    /// Whether a range would be in too few zones if it went from one to the other: fewer than wanted and than now.
    pub(crate) fn too_few_zones(&self, range: usize, from: usize, to: usize) -> bool {
        let wanted = self.model.zones_wanted(range);
        if wanted <= 1 {
            return false;
        }
        let now = self.zones_of(range);
        now + self.zones_won(range, to) < wanted.min(now) + self.zones_lost(range, from, to)
    }

    fn zones_won(&self, range: usize, to: usize) -> usize {
        usize::from(self.zone_count(range, self.model.nodes[to].zone) == 0)
    }

    fn zones_lost(&self, range: usize, from: usize, to: usize) -> usize {
        let (from, to) = (self.model.nodes[from].zone, self.model.nodes[to].zone);
        usize::from(from != to && self.zone_count(range, from) == 1)
    }

    /// Whether a node has room for a range after giving up another.
    pub(crate) fn has_room(&self, node: usize, range: usize, without: Option<usize>) -> bool {
        let model = self.model;
        let gives = |measure: usize| without.map_or(0.0, |range| model.ranges[range].load[measure]);
        let after =
            |measure: usize| self.sums[node][measure] + model.ranges[range].load[measure] - gives(measure);
        let room = &model.nodes[node].room;
        let [memory, disk] = self.kept[node];
        // A sum that was a sum before may differ by rounding.
        let fits = |asked: f64, room: f64| asked <= room * (1.0 + 1e-9);
        fits(after(2) + disk, room[2] * model.settings.disk_most)
            && fits(after(0) + memory, room[0] * model.memory_most)
    }

    /// Whether one more replica off a node that stays would be too many of this range in one plan.
    pub(crate) fn moved_enough(&self, range: usize, from: usize) -> bool {
        let (model, now) = (self.model, &self.holders[range]);
        let home = &model.ranges[range].holders;
        let stays = |&&node: &&usize| model.nodes[node].standing != NodeStatus::Leaving;
        let gone = home.iter().filter(stays).filter(|node| !now.contains(node)).count();
        home.contains(&from) && stays(&&from) && gone >= model.ranges[range].most
    }

    /// Shares of a node that gives up a range.
    pub(crate) fn gives(&self, range: usize, from: usize) -> [f64; MEASURES] {
        self.traded(from, Some(range), None)
    }

    /// Shares of a node that gets a range.
    pub(crate) fn gets(&self, range: usize, to: usize) -> [f64; MEASURES] {
        self.traded(to, None, Some(range))
    }

    fn traded(&self, node: usize, without: Option<usize>, with: Option<usize>) -> [f64; MEASURES] {
        let ranges = &self.model.ranges;
        let mut sums = self.sums[node];
        for (measure, sum) in sums.iter_mut().enumerate() {
            *sum += with.map_or(0.0, |range| ranges[range].load[measure]);
            *sum -= without.map_or(0.0, |range| ranges[range].load[measure]);
        }
        self.shares_of(node, &sums, self.reads_of(node, without, with))
    }

    /// What changes if a range goes from one node to another, and another one comes back.
    pub(crate) fn effect(&self, range: usize, from: usize, to: usize, back: Option<usize>) -> Effect {
        let mut way = self.way(range, from, to);
        if let Some(back) = back {
            let other = self.way(back, to, from);
            way.plain += other.plain;
            way.out_from += other.out_to;
            way.out_to += other.out_from;
        }
        Effect { from: self.traded(from, Some(range), back), to: self.traded(to, back, Some(range)), way }
    }

    /// What changes beside the shares of the two nodes.
    pub(crate) fn way(&self, range: usize, from: usize, to: usize) -> Way {
        let (model, w) = (self.model, &self.model.settings.weights);
        let (one, other) = (&model.nodes[from], &model.nodes[to]);
        let mut way = Way::default();
        if one.zone != other.zone {
            way.out_from = self.out_more(range, one.zone, -1);
            way.out_to = self.out_more(range, other.zone, 1);
            let far = way.out_from * model.far[one.zone] + way.out_to * model.far[other.zone];
            way.plain += w.cross * far / model.all_answers;
            let wanted = model.zones_wanted(range);
            if wanted > 1 {
                let now = self.zones_of(range);
                let after = now + self.zones_won(range, to) - self.zones_lost(range, from, to);
                let short = f64::from(after < wanted) - f64::from(now < wanted);
                way.plain += w.spread * short / model.ranges.len() as f64;
            }
        }
        // A range without bytes leaves too: each counts a byte.
        let leaves = |leaving: bool| f64::from(leaving) * (model.ranges[range].bytes + 1.0) / model.all_bytes;
        let leaving =
            leaves(other.standing == NodeStatus::Leaving) - leaves(one.standing == NodeStatus::Leaving);
        way.plain += w.leaving * leaving;
        let had = &model.ranges[range].holders;
        if !had.contains(&to) {
            way.plain += model.points(range, to);
        }
        if !had.contains(&from) {
            way.plain -= model.points(range, from);
        }
        way
    }

    /// Moves a replica.
    pub fn shift(&mut self, range: usize, from: usize, to: usize) {
        let model = self.model;
        let (one, other) = (model.nodes[from].zone, model.nodes[to].zone);
        if one != other {
            self.out[one] += self.out_more(range, one, -1);
            self.out[other] += self.out_more(range, other, 1);
        }
        for holder in &mut self.holders[range] {
            if *holder == from {
                *holder = to;
            }
        }
        let zones = model.zones.len();
        self.in_zone[range * zones + one] -= u32::from(self.counts(from));
        self.in_zone[range * zones + other] += u32::from(self.counts(to));
        self.on[from].retain(|&held| held != range);
        let rank = model.ranges[range].rank;
        let at = self.on[to].partition_point(|&held| model.ranges[held].rank < rank);
        self.on[to].insert(at, range);
        self.add(range, from, -1.0);
        self.add(range, to, 1.0);
        self.reads[from] = self.reads_of(from, None, None);
        self.reads[to] = self.reads_of(to, None, None);
    }

    /// Share of all links of a zone that answers out of it take.
    pub fn zone_share(&self, zone: usize) -> f64 {
        (self.out[zone] / self.model.zone_rate[zone]).max(0.0)
    }

    /// Bytes a second out of a zone.
    pub(crate) fn zone_out(&self, zone: usize) -> f64 {
        self.out[zone]
    }

    /// The terms, from the sums. Sums drift with each move by rounding; [`Layout::of`] has them afresh.
    pub fn terms(&self) -> Terms {
        let model = self.model;
        let mut most = [0.0f64; MEASURES];
        for node in 0..model.nodes.len() {
            for (most, share) in most.iter_mut().zip(self.shares(node)) {
                *most = most.max(share);
            }
        }
        for zone in 0..model.zones.len() {
            most[3] = most[3].max(self.zone_share(zone));
        }
        let [memory, processor, disk, link, reads] = most;
        let far: f64 = self.out.iter().zip(&model.far).map(|(out, far)| out.max(0.0) * far).sum();
        let mut terms = Terms {
            memory,
            processor,
            disk,
            link,
            reads,
            cross: far / model.all_answers,
            ..Terms::default()
        };
        let leaves = (0..model.nodes.len()).filter(|&node| model.nodes[node].standing == NodeStatus::Leaving);
        let bytes: f64 =
            leaves.flat_map(|node| &self.on[node]).map(|&range| model.ranges[range].bytes + 1.0).sum();
        terms.leaving = bytes / model.all_bytes;
        let short =
            (0..model.ranges.len()).filter(|&range| self.zones_of(range) < model.zones_wanted(range)).count();
        terms.spread = short as f64 / model.ranges.len().max(1) as f64;
        for (range, facts) in model.ranges.iter().enumerate() {
            for &to in self.holders[range].iter().filter(|node| !facts.holders.contains(node)) {
                let price = model.price(range, to);
                terms.bytes += price[0];
                terms.time += price[1];
                terms.cold += price[2];
                terms.risk += price[3];
            }
        }
        terms
    }

    /// The objective.
    pub fn points(&self) -> f64 {
        self.terms().points(&self.model.settings.weights)
    }
}
