//! Three plain ways to place all ranges anew: what a plan must be better than.

use plover_placement::{Layout, Model, Terms};
use plover_ranges::NodeStatus;
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;

#[derive(Clone, Copy, Debug)]
pub enum Baseline {
    Random,
    GreedyBySize,
    RoundRobinByWeight,
}

/// The terms of the placement that a plain way gives.
pub fn terms(model: &Model, baseline: Baseline, seed: u64) -> Terms {
    let mut random = Pcg64Mcg::seed_from_u64(seed);
    let warm: Vec<usize> =
        (0..model.nodes.len()).filter(|&n| model.nodes[n].standing == NodeStatus::Warm).collect();
    let mut order: Vec<usize> = (0..model.ranges.len()).collect();
    if matches!(baseline, Baseline::GreedyBySize) {
        order.sort_by(|&a, &b| model.ranges[b].bytes.total_cmp(&model.ranges[a].bytes));
    }
    let mut disk = vec![0.0; model.nodes.len()];
    let mut count = vec![0.0; model.nodes.len()];
    let mut holders = vec![Vec::new(); model.ranges.len()];
    for range in order {
        let facts = &model.ranges[range];
        // What cannot be touched stays.
        let stuck =
            |&&node: &&usize| !matches!(model.nodes[node].standing, NodeStatus::Warm | NodeStatus::Leaving);
        let mut chosen: Vec<usize> = facts.holders.iter().filter(stuck).copied().collect();
        while chosen.len() < facts.holders.len() {
            let zones: Vec<usize> = chosen.iter().map(|&node| model.nodes[node].zone).collect();
            let room = |node: usize| {
                disk[node] + facts.load[2] <= model.nodes[node].room[2] * model.settings.disk_most
            };
            let free = |zoned: bool, roomy: bool| -> Vec<usize> {
                let fits = |&node: &usize| {
                    !chosen.contains(&node)
                        && (!zoned || !zones.contains(&model.nodes[node].zone))
                        && (!roomy || room(node))
                };
                warm.iter().copied().filter(fits).collect()
            };
            let sets = [free(true, true), free(false, true), free(false, false)];
            let Some(free) = sets.into_iter().find(|set| !set.is_empty()) else { break };
            let least =
                |key: &dyn Fn(usize) -> f64| free.iter().copied().min_by(|&a, &b| key(a).total_cmp(&key(b)));
            let pick = match baseline {
                Baseline::Random => Some(free[random.random_range(0..free.len())]),
                Baseline::GreedyBySize => least(&|node| disk[node] / model.nodes[node].room[2]),
                Baseline::RoundRobinByWeight => {
                    least(&|node| (count[node] + 1.0) / model.nodes[node].room[1])
                }
            };
            let Some(pick) = pick else { break };
            disk[pick] += facts.load[2];
            count[pick] += 1.0;
            chosen.push(pick);
        }
        holders[range] = chosen;
    }
    Layout::of(model, holders).terms()
}
