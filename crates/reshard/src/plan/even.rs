//! Evening out: what a node that is brought in takes, and what goes from the node with most.

use super::goals::{Goal, MOST_GOALS, Measure, Refusal, What};
use super::place::{Placing, takes};
use super::shape::bytes;
use plover_ranges::{Node, NodeName};
use std::collections::{BTreeMap, BTreeSet};

impl Placing<'_> {
    /// Whether a cluster may be at `to` instead of `from`.
    fn swaps(&self, at: usize, from: &NodeName, to: &NodeName) -> bool {
        let cluster = &self.clusters[at];
        let kept = cluster.target.contains(from) && !cluster.pinned.contains_key(from);
        let free = !cluster.target.contains(to)
            && !cluster.apart.iter().any(|(other, _)| self.clusters[*other].target.contains(to))
            && self.may(cluster).any(|(name, _)| name == to);
        let zone = |n: &NodeName| self.fleet.nodes.get(n).map(|n| n.zone.as_str());
        let spread =
            cluster.target.iter().filter(|n| *n != from).chain([to]).map(zone).collect::<BTreeSet<_>>();
        kept && free && spread.len() >= cluster.replicas.1.min(self.zones(at).len()) && self.fits(at, to)
    }

    fn measure(&self, at: usize, measure: Measure) -> f64 {
        let cluster = &self.clusters[at];
        match measure {
            Measure::Bytes => cluster.takes.0 as f64,
            Measure::Rate => cluster.asked.0,
            Measure::Work => cluster.asked.1,
        }
    }

    /// The measure at each node that takes copies or holds some and is not emptied.
    fn measured(&self, measure: Measure) -> BTreeMap<NodeName, f64> {
        let emptied = |name: &NodeName, node: &Node| {
            self.plan.goals.iter().any(|g| match &g.what {
                What::EmptyNode(other) => other == name,
                What::EmptyZone(zone) | What::KeepOff(zone, None) => *zone == node.zone || *zone == node.kind,
                _ => false,
            })
        };
        let nodes = self.fleet.nodes.iter().filter(|(name, node)| takes(node) && !emptied(name, node));
        let mut sums: BTreeMap<NodeName, f64> = nodes.map(|(name, _)| (name.clone(), 0.0)).collect();
        for at in 0..self.clusters.len() {
            for node in &self.clusters[at].target {
                if let Some(sum) = sums.get_mut(node) {
                    *sum += self.measure(at, measure);
                }
            }
        }
        sums
    }

    /// Moves what fits to a node until it has its share of the bytes.
    pub(super) fn bring_in(&mut self, n: usize, goal: &Goal, to: &NodeName) -> Result<(), Refusal> {
        if self.fleet.nodes.get(to).is_some_and(|node| !takes(node)) {
            let what = format!("{to} is leaving or was not heard of");
            return Err(Refusal::new(&goal.words[0], "bring-in", what, "a node that is warm or cold"));
        }
        for _ in 0..self.clusters.len() {
            let sums = self.measured(Measure::Bytes);
            let mean = sums.values().sum::<f64>() / sums.len().max(1) as f64;
            let own = sums.get(to).copied().unwrap_or(0.0);
            let above = |node: &NodeName| sums.get(node).is_some_and(|sum| *sum > mean);
            let mut best: Option<(u64, std::cmp::Reverse<usize>, NodeName)> = None;
            for at in 0..self.clusters.len() {
                let size = self.clusters[at].takes.0;
                if size == 0 || own + size as f64 > mean {
                    continue;
                }
                let from = self.clusters[at].target.iter().filter(|f| above(f) && self.swaps(at, f, to));
                let from = from.max_by_key(|f| (self.fullness(f), (*f).clone())).cloned();
                best = best.max(from.map(|f| (size, std::cmp::Reverse(at), f)));
            }
            let Some((_, at, from)) = best else { break };
            self.set(at.0, &from, false, Some(n));
            self.set(at.0, to, true, Some(n));
        }
        let sums = self.measured(Measure::Bytes);
        if sums.get(to).is_some_and(|sum| *sum > 0.0) {
            return Ok(());
        }
        let mean = sums.values().sum::<f64>() / sums.len().max(1) as f64;
        let what = format!("no range fits into the share of {to}, {}", bytes(mean as u64));
        Err(Refusal::new(&goal.words[0], "bring-in", what, format!("split-size {}B", (mean as u64).max(1))))
    }

    /// Moves ranges from the node with most to those with less, while that lowers the higher of the two.
    pub(super) fn even_out(
        &mut self,
        n: usize,
        goal: &Goal,
        measure: Measure,
        within: u32,
    ) -> Result<(), Refusal> {
        for _ in 0..MOST_GOALS {
            let sums = self.measured(measure);
            let mean = sums.values().sum::<f64>() / sums.len().max(1) as f64;
            let Some((most, sum)) = sums.iter().max_by(|a, b| a.1.total_cmp(b.1).then(b.0.cmp(a.0))) else {
                break;
            };
            if *sum <= mean * (1.0 + f64::from(within) / 100.0) {
                return Ok(());
            }
            let mut best: Option<(f64, usize, NodeName)> = None;
            for at in 0..self.clusters.len() {
                let size = self.measure(at, measure);
                for (to, other) in sums.iter().filter(|(to, _)| *to != most) {
                    let higher = (sum - size).max(other + size);
                    let better = higher < *sum && best.as_ref().is_none_or(|(least, ..)| higher < *least);
                    if size > 0.0 && better && self.swaps(at, most, to) {
                        best = Some((higher, at, to.clone()));
                    }
                }
            }
            let Some((_, at, to)) = best else {
                let above = ((sum / mean - 1.0) * 100.0).ceil();
                let what = format!("{most} stays {above}% above the mean: no move lowers it");
                return Err(Refusal::new(&goal.words[1], "even-out", what, format!("{above}")));
            };
            let most = most.clone();
            self.set(at, &most, false, Some(n));
            self.set(at, &to, true, Some(n));
        }
        Ok(())
    }
}
