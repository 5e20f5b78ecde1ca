//! Plays a plan move by move and says where memory, disk, zones or holders would not keep.

use super::fleets::Yard;
use plover_placement::{Proposal, Relocation};
use plover_ranges::{NodeName, NodeStatus, RangeId};
use std::collections::{BTreeMap, BTreeSet};

/// Plays a plan with the most moves under way at once that it allows; the first fault found.
pub fn play(yard: &Yard, moving: &[Relocation], plan: &Proposal) -> Result<(), String> {
    let mut holders: BTreeMap<RangeId, BTreeSet<NodeName>> =
        yard.map.ranges().map(|held| (held.id, held.replicas.clone())).collect();
    // What lies on disks: a copy is there from the begin of its move, the old one up to its end.
    let mut on: BTreeMap<NodeName, BTreeSet<RangeId>> = BTreeMap::new();
    for (id, replicas) in &holders {
        for node in replicas {
            on.entry(node.clone()).or_default().insert(*id);
        }
    }
    for one in moving {
        on.entry(one.to.clone()).or_default().insert(one.range);
        let replicas = holders.get_mut(&one.range).ok_or("moving nothing")?;
        replicas.remove(&one.from);
        replicas.insert(one.to.clone());
    }
    let fullest = yard
        .fleet
        .nodes
        .iter()
        .filter(|(_, node)| node.status == NodeStatus::Warm)
        .map(|(name, node)| hot(yard, on.get(name)) / node.memory as f64);
    let memory_most = fullest.fold(yard.settings.memory_most, f64::max);
    let mut under_way: Vec<Relocation> = Vec::new();
    for (at, step) in plan.steps.iter().enumerate() {
        let one = &step.relocation;
        let fault = |what: &str| Err(format!("step {at}, {one:?}: {what}"));
        if step.waits {
            under_way.drain(..).for_each(|done| end(&mut on, &done));
        }
        if under_way.len() >= yard.settings.at_once {
            let done = under_way.remove(0);
            end(&mut on, &done);
        }
        let (Some(from), Some(to)) = (yard.fleet.nodes.get(&one.from), yard.fleet.nodes.get(&one.to)) else {
            return fault("a node that nothing is known of");
        };
        if to.status != NodeStatus::Warm || !matches!(from.status, NodeStatus::Warm | NodeStatus::Leaving) {
            return fault("through a node that does not serve");
        }
        if under_way.iter().chain(moving).any(|way| way.range == one.range) {
            return fault("two moves of one range at once");
        }
        let zones = |replicas: &BTreeSet<NodeName>| {
            let heard = |name: &&NodeName| yard.fleet.nodes[*name].status != NodeStatus::Unreachable;
            replicas
                .iter()
                .filter(heard)
                .map(|name| yard.fleet.nodes[name].zone.clone())
                .collect::<BTreeSet<_>>()
                .len()
        };
        let replicas = holders.get_mut(&one.range).ok_or("no such range")?;
        let before = zones(replicas);
        if !replicas.remove(&one.from) || !replicas.insert(one.to.clone()) {
            return fault("not a holder, or one already");
        }
        if zones(replicas) < before.min(yard.settings.zones).min(replicas.len()) {
            return fault("too few zones");
        }
        on.entry(one.to.clone()).or_default().insert(one.range);
        let disk: f64 = on[&one.to].iter().map(|id| grown(yard, *id)).sum();
        if disk > to.disk as f64 * yard.settings.disk_most * (1.0 + 1e-6) {
            return fault("no disk");
        }
        if hot(yard, on.get(&one.to)) > to.memory as f64 * memory_most * (1.0 + 1e-6) {
            return fault("no memory");
        }
        under_way.push(one.clone());
    }
    Ok(())
}

fn end(on: &mut BTreeMap<NodeName, BTreeSet<RangeId>>, done: &Relocation) {
    if let Some(on) = on.get_mut(&done.from) {
        on.remove(&done.range);
    }
}

fn grown(yard: &Yard, id: RangeId) -> f64 {
    let load = yard.fleet.loads[&id];
    load.bytes as f64 + load.growth.max(0.0) * yard.settings.ahead as f64 / 1e6
}

fn hot(yard: &Yard, on: Option<&BTreeSet<RangeId>>) -> f64 {
    let hot = |id: &RangeId| yard.fleet.loads.get(id).map_or(0.0, |load| load.bytes as f64 * load.hot_share);
    on.into_iter().flatten().map(hot).sum()
}
