//! Small fleets, maps and plans from a seed, and a world that carries steps out and checks every bound by itself.
#![allow(dead_code)]

use plover_ranges::*;
use plover_reshard::plan::*;
use std::collections::{BTreeMap, BTreeSet};

/// Numbers from a seed.
pub struct Chance(pub u64);

impl Chance {
    pub fn below(&mut self, n: u64) -> u64 {
        self.0 = self.0.wrapping_add(0x9e37_79b9_7f4a_7c15);
        let z = (self.0 ^ (self.0 >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
        let z = (z ^ (z >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
        (z ^ (z >> 31)) % n.max(1)
    }

    pub fn one_in(&mut self, n: u64) -> bool {
        self.below(n) == 0
    }
}

pub const GIB: u64 = 1 << 30;

pub fn key(text: &str) -> Key {
    Key::new(text).expect("short")
}

pub fn names(text: &str) -> BTreeSet<NodeName> {
    text.split(',').map(NodeName::from).collect()
}

pub fn node(zone: &str, kind: &str, disk: u64) -> Node {
    Node {
        zone: zone.into(),
        kind: kind.into(),
        status: NodeStatus::Warm,
        memory: disk,
        disk,
        read_rate: 100 << 20,
        write_rate: 80 << 20,
        net_rate: 200 << 20,
        work_rate: 8_000_000,
        age: 0,
    }
}

/// A map of ranges that begin at these keys, each held by these nodes.
pub fn map(version: u64, of: &[(&str, &str)]) -> RangeMap {
    let to = |n: usize| of.get(n + 1).map(|(from, _)| key(from));
    let held = of.iter().enumerate().map(|(n, (from, nodes))| RangeAssignment {
        id: RangeId(n as u64),
        range: KeyRange::new(key(from), to(n)).expect("in order"),
        epoch: Epoch(1),
        replicas: names(nodes),
    });
    RangeMap::new(MapVersion(version), RangeId(of.len() as u64), held.collect()).expect("whole")
}

pub fn fleet(nodes: &[(&str, &str, &str, u64)], sizes: &[u64]) -> Fleet {
    let mut fleet = Fleet::default();
    for (name, zone, kind, disk) in nodes {
        fleet.nodes.insert((*name).into(), node(zone, kind, *disk));
    }
    for (n, bytes) in sizes.iter().enumerate() {
        let load = RangeLoad {
            bytes: *bytes,
            growth: 0.0,
            rate: 100.0,
            work: 500.0,
            hot_share: 0.5,
            cold_read: 4e3,
            age: 0,
        };
        fleet.loads.insert(RangeId(n as u64), load);
    }
    let zones: BTreeSet<String> = fleet.nodes.values().map(|n| n.zone.clone()).collect();
    for (a, b) in zones.iter().flat_map(|a| zones.iter().map(move |b| (a, b))).filter(|(a, b)| a < b) {
        fleet.links.insert((a.clone(), b.clone()), Link { round_trip: 1000, rate: 120 << 20 });
    }
    fleet
}

/// The fleet of the worked plans: a, c east, b, d west; d is a spot machine.
pub fn four(disk: u64) -> Fleet {
    let nodes = [
        ("a", "east", "big", disk),
        ("b", "west", "big", disk),
        ("c", "east", "big", disk),
        ("d", "west", "spot", disk),
    ];
    fleet(&nodes, &[10 * GIB, 10 * GIB, 10 * GIB])
}

pub fn three_ranges() -> RangeMap {
    map(12, &[("", "a,b"), ("g", "a,c"), ("p", "b,c")])
}

pub fn compiled(text: &str, map: &RangeMap, fleet: &Fleet) -> Result<Graph, String> {
    let found = read(text).and_then(|plan| compile(&plan, map, fleet, None));
    found.map_err(|refusals| faults("p", text, refusals).to_string())
}

/// A small map, fleet and plan.
pub fn case(seed: u64) -> (String, RangeMap, Fleet) {
    let mut chance = Chance(seed);
    let count = 3 + chance.below(4) as usize;
    let all = ["a", "b", "c", "d", "e", "f"];
    let starts = ["", "c", "f", "k", "r"];
    let ranges = 2 + chance.below(4) as usize;
    let sizes: Vec<u64> = (0..ranges).map(|_| GIB * (1 + chance.below(8))).collect();
    let replicas = 1 + chance.below(3.min(count as u64 - 1)) as usize;
    let mut of = Vec::new();
    let mut used = BTreeMap::<&str, u64>::new();
    for (n, start) in starts.iter().take(ranges).enumerate() {
        let first = chance.below(count as u64) as usize;
        let holders: Vec<&str> = (0..replicas).map(|r| all[(first + r) % count]).collect();
        holders.iter().for_each(|h| *used.entry(h).or_default() += sizes[n]);
        of.push((*start, holders.join(",")));
    }
    let of: Vec<(&str, &str)> = of.iter().map(|(s, h)| (*s, h.as_str())).collect();
    let map = map(7, &of);
    let nodes: Vec<(&str, &str, &str, u64)> = (0..count)
        .map(|n| {
            let disk = used.get(all[n]).copied().unwrap_or(0) + GIB * chance.below(18);
            (all[n], ["x", "y", "z"][n % 3], if n % 4 == 3 { "spot" } else { "big" }, disk)
        })
        .collect();
    let mut fleet = fleet(&nodes, &sizes);
    for node in fleet.nodes.values_mut() {
        if chance.one_in(3) {
            node.memory = (node.disk / 2).saturating_sub(GIB * chance.below(3));
        }
        if chance.one_in(12) {
            node.status = NodeStatus::Cold;
        }
    }
    let mut text = format!("plan p\nagainst 7\nfree-disk {}GiB\n", chance.below(2));
    text += &format!(
        "copies-node {}\ncopies-link {}\ncopies-zone {}\n",
        1 + chance.below(2),
        1 + chance.below(3),
        1 + chance.below(3)
    );
    text += &format!("least-in-service {}\n", 1 + chance.below(replicas as u64));
    if chance.one_in(2) {
        text +=
            &format!("disk-rate {}MiB/s\nlink-rate {}MiB/s\n", 10 + chance.below(90), 10 + chance.below(90));
    }
    if chance.one_in(4) {
        text += "hours 22:00-05:00\ngoodput 0.900\np99 250ms\n";
    }
    for group in 0..1 + chance.below(3) {
        if group > 0 {
            text += &format!("group g{group}\n");
            if chance.one_in(3) {
                text += &format!("priority {}\n", chance.below(9));
            }
            if group > 1 && chance.one_in(2) {
                text += "after g1\n";
            }
        }
        let whole = chance.one_in(2);
        let then = if whole {
            ["pause", "back"][chance.below(2) as usize]
        } else {
            ["pause", "round"][chance.below(2) as usize]
        };
        text +=
            &format!("{}on-failure {} 10s {then}\n", if whole { "whole\n" } else { "" }, 1 + chance.below(3));
        for _ in 0..1 + chance.below(2) {
            let r = |chance: &mut Chance| format!("r{}", chance.below(ranges as u64));
            let n = |chance: &mut Chance| all[chance.below(count as u64) as usize];
            text += &match chance.below(13) {
                0 => format!("split {} {}\n", r(&mut chance), ["b", "e", "h", "t"][chance.below(4) as usize]),
                1 if group == 0 => format!("split-size {}GiB\n", 2 + chance.below(4)),
                2 => "merge r0 r1\n".to_owned(),
                3 => format!("move {} {} {}\n", r(&mut chance), n(&mut chance), n(&mut chance)),
                4 | 5 => format!("empty-node {}\n", n(&mut chance)),
                6 => format!("empty-zone {}\n", ["x", "y", "z"][chance.below(3) as usize]),
                7 => format!("bring-in {}\n", n(&mut chance)),
                8 => format!("replicas {} {}\n", 1 + chance.below(3), 1 + chance.below(2)),
                9 => format!("apart r0 {}\n", r(&mut chance)),
                10 => format!("together r0 {}\n", r(&mut chance)),
                11 => format!("keep-off spot {}\n", r(&mut chance)),
                _ if group == 0 => format!("even-out bytes {}\n", 20 + chance.below(60)),
                _ => format!("empty-node {}\n", n(&mut chance)),
            };
        }
    }
    (text, map, fleet)
}

/// Carries out what a log says and checks that every bound holds at every moment. It knows nodes, ranges and steps,
/// and shares no state with what it checks.
#[derive(Clone)]
pub struct World {
    pub graph: Graph,
    pub map: RangeMap,
    /// Copies at nodes, whether they serve or not.
    pub held: BTreeMap<NodeName, BTreeSet<KeyRange>>,
    pub used: BTreeMap<NodeName, (u64, u64)>,
    allowed: BTreeMap<NodeName, (u64, u64)>,
    pub running: BTreeMap<StepId, (Token, Option<(NodeName, u64)>)>,
    pub back: BTreeMap<StepId, Token>,
    told: BTreeSet<(StepId, Token)>,
    partial: BTreeSet<StepId>,
    caught_up: BTreeSet<(NodeName, KeyRange)>,
    last: Token,
    paused: bool,
    /// Steps that ended and were not taken back.
    pub ended: BTreeSet<StepId>,
}

fn ensure(holds: bool, what: impl FnOnce() -> String) -> Result<(), String> {
    if holds { Ok(()) } else { Err(what()) }
}

impl World {
    pub fn new(graph: &Graph) -> World {
        let mut held: BTreeMap<NodeName, BTreeSet<KeyRange>> = BTreeMap::new();
        for range in graph.map.ranges() {
            for node in &range.replicas {
                held.entry(node.clone()).or_default().insert(range.range.clone());
            }
        }
        let allowed = graph.nodes.iter().map(|(name, node)| {
            let used = graph.used.get(name).copied().unwrap_or_default();
            let (disk, memory) = (
                node.disk - graph.bounds.free_disk.min(node.disk),
                node.memory - graph.bounds.free_memory.min(node.memory),
            );
            (name.clone(), (disk.max(used.0), memory.max(used.1)))
        });
        World {
            allowed: allowed.collect(),
            map: graph.map.clone(),
            held,
            used: graph.used.clone(),
            running: BTreeMap::new(),
            back: BTreeMap::new(),
            told: BTreeSet::new(),
            partial: BTreeSet::new(),
            caught_up: BTreeSet::new(),
            last: Token(0),
            paused: false,
            ended: BTreeSet::new(),
            graph: graph.clone(),
        }
    }

    fn step(&self, id: StepId) -> Result<Step, String> {
        self.graph.steps.get(id.0 as usize).map(|s| s.step.clone()).ok_or_else(|| "no step".into())
    }

    fn fresh(&mut self, token: Token) -> Result<(), String> {
        ensure(token > self.last, || format!("an old token {token:?}"))?;
        self.last = token;
        Ok(())
    }

    pub fn apply(&mut self, entry: &Entry) -> Result<(), String> {
        match entry {
            Entry::Begun { step, token, copy } => {
                if self.running.get(step) == Some(&(*token, copy.clone())) {
                    return Ok(());
                }
                self.fresh(*token)?;
                ensure(!self.paused, || "it begins while it is paused".into())?;
                self.begin(*step, copy.as_ref())?;
                self.running.insert(*step, (*token, copy.clone()));
            }
            Entry::Ended { step, token } => {
                if self.told.contains(&(*step, *token)) {
                    return Ok(());
                }
                ensure(self.running.get(step).is_some_and(|r| r.0 == *token), || {
                    "ended without begin".into()
                })?;
                self.running.remove(step);
                self.told.insert((*step, *token));
                self.ended.insert(*step);
                self.end(*step)?;
            }
            Entry::Failed { step, token, .. } => {
                if self.told.contains(&(*step, *token)) {
                    return Ok(());
                }
                let ran = self.running.remove(step).is_some_and(|r| r.0 == *token);
                ensure(ran || self.back.remove(step) == Some(*token), || "failed without begin".into())?;
                self.told.insert((*step, *token));
            }
            Entry::BackBegun { step, token } => {
                if self.back.get(step) == Some(token) {
                    return Ok(());
                }
                self.fresh(*token)?;
                ensure(!self.running.contains_key(step), || "goes back while it runs".into())?;
                self.back.insert(*step, *token);
            }
            Entry::Undone { step, token } => {
                if self.told.contains(&(*step, *token)) {
                    return Ok(());
                }
                ensure(self.back.remove(step) == Some(*token), || "undone without begin".into())?;
                self.told.insert((*step, *token));
                self.ended.remove(step);
                self.undo(*step)?;
            }
            Entry::Paused => self.paused = true,
            Entry::Resumed | Entry::Held | Entry::Aborted => self.paused = false,
            Entry::Amended { graph, .. } => {
                self.paused = false;
                ensure(self.running.is_empty() && self.back.is_empty(), || "amended while steps run".into())?;
                self.graph = (**graph).clone();
                self.ended.clear();
                self.told.clear();
                self.partial.clear();
            }
            _ => {}
        }
        self.check()
    }

    fn begin(&mut self, id: StepId, copy: Option<&(NodeName, u64)>) -> Result<(), String> {
        let planned = self.graph.steps[id.0 as usize].clone();
        let before = planned.needs.iter().find(|need| !self.ended.contains(need));
        ensure(before.is_none(), || format!("{} before {before:?}", planned.step))?;
        let held = |range: &KeyRange| {
            self.map.lookup(range.start()).filter(|h| h.range == *range).ok_or("no such range")
        };
        for need in &planned.needs {
            let group = self.graph.steps[need.0 as usize].group;
            let whole = group != planned.group && self.graph.groups[usize::from(group)].whole;
            let open =
                |(n, s): (usize, &Planned)| s.group == group && !self.ended.contains(&StepId(n as u32));
            let half = whole && self.graph.steps.iter().enumerate().any(open);
            ensure(!half, || format!("{} rests on a group that may go back", planned.step))?;
        }
        match &planned.step {
            Step::Copy { range, to, bytes, memory, .. } => {
                let (from, _) = copy.ok_or("a copy without a source")?;
                ensure(held(range)?.replicas.contains(from), || format!("{from} does not serve {range}"))?;
                if self.partial.insert(id) {
                    let at = self.held.entry(to.clone()).or_default();
                    ensure(!at.iter().any(|r| r.overlaps(range)), || format!("{to} has keys of {range}"))?;
                    at.insert(range.clone());
                    let used = self.used.entry(to.clone()).or_default();
                    (used.0, used.1) = (used.0 + bytes, used.1 + memory);
                }
            }
            Step::CatchUp { range, to } => {
                ensure(self.held.get(to).is_some_and(|h| h.contains(range)), || {
                    "no copy to catch up".into()
                })?;
            }
            Step::Switch { range, add, remove } => {
                let held = held(range)?;
                if let Some(node) = add {
                    ensure(self.caught_up.contains(&(node.clone(), range.clone())), || {
                        "a switch to a copy that lags".into()
                    })?;
                    ensure(!held.replicas.contains(node), || "it serves already".into())?;
                }
                if let Some(node) = remove {
                    ensure(held.replicas.contains(node), || "it does not serve".into())?;
                }
            }
            Step::Drop { range, node, .. } => {
                ensure(!self.map.overlapping(range).any(|h| h.replicas.contains(node)), || {
                    format!("{node} serves {range}")
                })?;
                ensure(self.held.get(node).is_some_and(|h| h.contains(range)), || "nothing to drop".into())?;
            }
            Step::Split { .. } | Step::Merge { .. } => {}
        }
        Ok(())
    }

    fn end(&mut self, id: StepId) -> Result<(), String> {
        let step = self.step(id)?;
        match &step {
            Step::Copy { .. } => {}
            Step::CatchUp { range, to } => {
                self.caught_up.insert((to.clone(), range.clone()));
            }
            Step::Drop { range, node, bytes, memory } => self.dropped(range, node, (*bytes, *memory))?,
            step => self.changed(step)?,
        }
        Ok(())
    }

    fn undo(&mut self, id: StepId) -> Result<(), String> {
        match self.step(id)?.back() {
            Back::By(Step::Drop { range, node, bytes, memory }) => {
                self.partial.remove(&id);
                self.dropped(&range, &node, (bytes, memory))
            }
            Back::By(step) => self.changed(&step),
            _ => Ok(()),
        }
    }

    fn dropped(&mut self, range: &KeyRange, node: &NodeName, takes: (u64, u64)) -> Result<(), String> {
        ensure(!self.map.overlapping(range).any(|h| h.replicas.contains(node)), || {
            format!("{node} serves {range}")
        })?;
        let had = self.held.get_mut(node).is_some_and(|h| h.remove(range));
        ensure(had, || format!("{node} has no {range}"))?;
        self.caught_up.remove(&(node.clone(), range.clone()));
        let used = self.used.entry(node.clone()).or_default();
        *used = (used.0.saturating_sub(takes.0), used.1.saturating_sub(takes.1));
        Ok(())
    }

    fn changed(&mut self, step: &Step) -> Result<(), String> {
        self.map = step.applied(&self.map).map_err(|unmet| unmet.to_string())?;
        let (gone, come) = match step {
            Step::Split { range, at } => {
                let (low, high) = range.split(at).ok_or("cuts nothing")?;
                (vec![range.clone()], vec![low, high])
            }
            Step::Merge { low, high } => {
                (vec![low.clone(), high.clone()], vec![low.merge(high).ok_or("no neighbours")?])
            }
            _ => return Ok(()),
        };
        for (node, held) in &mut self.held {
            if gone.iter().all(|r| held.contains(r))
                && self.map.overlapping(&come[0]).any(|h| h.replicas.contains(node))
            {
                gone.iter().for_each(|r| assert!(held.remove(r)));
                held.extend(come.iter().cloned());
            }
        }
        Ok(())
    }

    /// Every bound, now.
    fn check(&self) -> Result<(), String> {
        let bounds = &self.graph.bounds;
        for (node, used) in &self.used {
            let most = self.allowed.get(node).copied().unwrap_or_default();
            ensure(used.0 <= most.0 && used.1 <= most.1, || {
                format!("room at {node}: {used:?} over {most:?}")
            })?;
        }
        let (mut nodes, mut links, mut zones) = (BTreeMap::new(), BTreeMap::new(), BTreeMap::new());
        for (id, (_, copy)) in &self.running {
            let (Step::Copy { to, .. }, Some((from, rate))) = (self.step(*id)?, copy) else { continue };
            for node in [from, &to] {
                let at: &mut (u32, u64) = nodes.entry(node.clone()).or_default();
                *at = (at.0 + 1, at.1 + rate);
            }
            let ends = BTreeSet::from([self.graph.zone(from).to_owned(), self.graph.zone(&to).to_owned()]);
            for zone in &ends {
                *zones.entry(zone.clone()).or_insert(0u32) += 1;
            }
            if ends.len() > 1 {
                let at: &mut (u32, u64) = links.entry(ends).or_default();
                *at = (at.0 + 1, at.1 + rate);
            }
        }
        for (node, (count, rate)) in nodes {
            ensure(count <= bounds.copies_node, || format!("{count} copies at {node}"))?;
            let facts = &self.graph.nodes[&node];
            let most = bounds
                .disk_rate
                .unwrap_or(u64::MAX)
                .min(facts.net_rate)
                .min(facts.read_rate.max(facts.write_rate));
            ensure(rate <= most, || format!("{rate} bytes a second at {node}"))?;
        }
        for (link, (count, rate)) in links {
            ensure(count <= bounds.copies_link, || format!("{count} copies at {link:?}"))?;
            let most = bounds.link_rate.unwrap_or(u64::MAX).min(120 << 20);
            ensure(rate <= most, || format!("{rate} bytes a second at {link:?}"))?;
        }
        for (zone, count) in zones {
            ensure(count <= bounds.copies_zone, || format!("{count} copies in {zone}"))?;
        }
        for range in self.map.ranges() {
            let before =
                self.graph.map.overlapping(&range.range).map(|h| h.replicas.len()).min().unwrap_or(0);
            let least = before.min(bounds.least_in_service as usize);
            ensure(range.replicas.len() >= least, || {
                format!("{} has {} replicas", range.range, range.replicas.len())
            })?;
            for node in &range.replicas {
                let there = self.held.get(node).is_some_and(|h| h.contains(&range.range));
                ensure(there, || format!("{node} serves {} and has no copy", range.range))?;
            }
        }
        Ok(())
    }

    /// Copies that no range of the map accounts for.
    pub fn garbage(&self) -> usize {
        let serves = |node: &NodeName, range: &KeyRange| {
            self.map.lookup(range.start()).is_some_and(|h| h.range == *range && h.replicas.contains(node))
        };
        self.held
            .iter()
            .flat_map(|(node, held)| held.iter().map(move |r| (node, r)))
            .filter(|(n, r)| !serves(n, r))
            .count()
    }
}
