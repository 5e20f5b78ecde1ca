//! Stand-in fleets of twelve kinds. Each is made from its kind, its size and a seed alone.

use plover_placement::{Asks, Relocation, Settings, Together, View};
use plover_ranges::{
    Epoch, Fleet, Key, KeyRange, Link, MapVersion, Node, NodeName, NodeStatus, RangeAssignment, RangeId,
    RangeLoad, RangeMap,
};
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;
use std::collections::BTreeSet;

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Kind {
    Uniform,
    Mixed,
    ZoneFull,
    RackLost,
    HotRange,
    Growth,
    Drain,
    NewThrice,
    SlowDisks,
    FarZone,
    MemoryShort,
    AllAtOnce,
}

pub const KINDS: [Kind; 12] = [
    Kind::Uniform,
    Kind::Mixed,
    Kind::ZoneFull,
    Kind::RackLost,
    Kind::HotRange,
    Kind::Growth,
    Kind::Drain,
    Kind::NewThrice,
    Kind::SlowDisks,
    Kind::FarZone,
    Kind::MemoryShort,
    Kind::AllAtOnce,
];

/// A fleet with its map and who asks.
#[derive(Clone, Debug)]
pub struct Yard {
    pub map: RangeMap,
    pub fleet: Fleet,
    pub asks: Asks,
    pub settings: Settings,
}

impl Yard {
    pub fn view<'a>(&'a self, moving: &'a [Relocation]) -> View<'a> {
        View { map: &self.map, fleet: &self.fleet, asks: &self.asks, moving }
    }
}

const ZONES: usize = 4;
const GB: f64 = 1e9;

pub fn name(node: usize) -> NodeName {
    NodeName(format!("n{node:04}").into())
}

fn node(zone: usize, size: f64) -> Node {
    Node {
        zone: format!("z{zone}"),
        kind: format!("size {size}"),
        status: NodeStatus::Warm,
        memory: (64.0 * GB * size) as u64,
        disk: (1000.0 * GB * size) as u64,
        read_rate: GB as u64,
        write_rate: (0.5 * GB) as u64,
        net_rate: (1.25 * GB) as u64,
        work_rate: (16e6 * size) as u64,
        age: 0,
    }
}

/// A factor with a long tail: most are below 1, the mean is about 1.
fn uneven(random: &mut Pcg64Mcg) -> f64 {
    let draw: f64 = random.random();
    (0.35 / (1.02 - draw).powf(0.7)).min(6.0)
}

/// The fleet of this kind with about so many nodes and ranges of three replicas each.
pub fn fleet(kind: Kind, nodes: usize, ranges: usize, seed: u64) -> Yard {
    let mut random = Pcg64Mcg::seed_from_u64(seed ^ (kind as u64) << 32);
    let has = |part: Kind| kind == part || (kind == Kind::AllAtOnce && part != Kind::Uniform);
    let mut fleet = Fleet::default();
    for i in 0..nodes {
        let size = if has(Kind::Mixed) { [0.5, 1.0, 2.0][i / ZONES % 3] } else { 1.0 };
        fleet.nodes.insert(name(i), node(i % ZONES, size));
    }
    for one in 0..ZONES {
        for other in one + 1..ZONES {
            let far = has(Kind::FarZone) && other == ZONES - 1;
            let (round_trip, rate) = if far { (40_000, 0.2 * GB) } else { (1_000, 5.0 * GB) };
            let scale = nodes as f64 / 50.0;
            let link = Link { round_trip, rate: (rate * scale) as u64 };
            fleet.links.insert((format!("z{one}"), format!("z{other}")), link);
        }
    }
    let mut asks = Asks::default();
    for zone in 0..ZONES {
        let share = if has(Kind::FarZone) && zone == ZONES - 1 { 0.04 } else { 0.32 };
        asks.zones.insert(format!("z{zone}"), if has(Kind::FarZone) { share } else { 0.25 });
    }
    let held = hold(&fleet, &has, kind, ranges, &mut random);
    loads(&mut fleet, &mut asks, &has, nodes, ranges, &mut random);
    stand(&mut fleet, &has, nodes);
    let map = RangeMap::new(MapVersion(7), RangeId(ranges as u64), held).expect("a whole map");
    let settings = Settings {
        zones: 2,
        at_once: (nodes / 8).max(2),
        moves: usize::MAX,
        gain: 0.0,
        ..Settings::default()
    };
    Yard { map, fleet, asks, settings }
}

/// Three holders of each range, drawn from three zones by the nodes' size.
fn hold(
    fleet: &Fleet,
    has: &dyn Fn(Kind) -> bool,
    kind: Kind,
    ranges: usize,
    random: &mut Pcg64Mcg,
) -> Vec<RangeAssignment> {
    let nodes: Vec<(&NodeName, &Node)> = fleet.nodes.iter().collect();
    let mut used = vec![0.0; nodes.len()];
    let mut held = Vec::new();
    for range in 0..ranges {
        let mut replicas: BTreeSet<NodeName> = BTreeSet::new();
        let mut zones = BTreeSet::new();
        while replicas.len() < 3 {
            // The emptier of two drawn: uneven, but not absurd.
            let draw = [0; 2].map(|_| random.random_range(0..nodes.len()));
            let fill = |&&i: &&usize| (used[i] / nodes[i].1.disk as f64 * 1e15) as u64;
            let Some(&pick) = draw.iter().min_by_key(fill) else { continue };
            let zone = &nodes[pick].1.zone;
            // A full zone: others hold only part of what they would.
            let shy = has(Kind::ZoneFull) && zone != "z0" && random.random::<f64>() < 0.35;
            if shy || (zones.len() < 3 && nodes.len() > 8 && !zones.insert(zone.clone())) {
                continue;
            }
            if replicas.insert(nodes[pick].0.clone()) {
                used[pick] += if kind == Kind::Uniform { 1.0 } else { random.random::<f64>() * 2.0 };
            }
        }
        let key = |i: usize| Key::new((i as u64).to_be_bytes()).expect("short");
        let from = if range == 0 { Key::smallest() } else { key(range) };
        let to = (range + 1 < ranges).then(|| key(range + 1));
        let range_of = KeyRange::new(from, to).expect("in order");
        held.push(RangeAssignment { id: RangeId(range as u64), range: range_of, epoch: Epoch(1), replicas });
    }
    held
}

/// Loads that fill disks to 0.5, memory to 0.6 and processors to 0.5 on average, before what the kind changes.
fn loads(
    fleet: &mut Fleet,
    asks: &mut Asks,
    has: &dyn Fn(Kind) -> bool,
    nodes: usize,
    ranges: usize,
    random: &mut Pcg64Mcg,
) {
    let all =
        |of: fn(&Node) -> u64| fleet.nodes.values().map(|node| of(node) as f64).sum::<f64>() / ranges as f64;
    let (disk, memory, work) = (all(|n| n.disk), all(|n| n.memory), all(|n| n.work_rate));
    let full = if has(Kind::SlowDisks) { 1.1 } else { 0.6 };
    let full = if has(Kind::MemoryShort) { 1.5 } else { full };
    for range in 0..ranges {
        let id = RangeId(range as u64);
        let bytes = disk * 0.5 / 3.0 * uneven(random);
        let hot = memory * full / 3.0 * uneven(random);
        let mut rate = work * 0.5 / 2_000.0 * uneven(random);
        if has(Kind::HotRange) && range == ranges / 2 {
            rate *= 8.0 * (ranges as f64 / 500.0).min(1.0);
        }
        let grows = has(Kind::Growth) && range % 7 == 0;
        let load = RangeLoad {
            bytes: bytes as u64,
            growth: if grows { bytes * 1.2 / (24.0 * 3600.0) } else { 0.0 },
            rate,
            work: 2_000.0,
            hot_share: (hot / bytes).min(1.0),
            cold_read: 200_000.0 * uneven(random),
            age: 0,
        };
        fleet.loads.insert(id, load);
        asks.answer.insert(id, 20_000.0 * uneven(random));
        if range > 0 && random.random::<f64>() < 0.2 {
            let bytes = rate * 2_000.0;
            asks.together.push(Together { one: RangeId(range as u64 - 1), other: id, bytes });
        }
    }
    if has(Kind::SlowDisks) {
        for (i, node) in fleet.nodes.values_mut().enumerate() {
            node.read_rate /= if (i / ZONES).is_multiple_of(4) { 5 } else { 1 };
        }
    }
    if has(Kind::NewThrice) {
        for i in nodes..nodes + nodes.div_ceil(6) {
            fleet.nodes.insert(name(i), node(i % ZONES, 3.0));
        }
    }
}

fn stand(fleet: &mut Fleet, has: &dyn Fn(Kind) -> bool, nodes: usize) {
    for (i, node) in fleet.nodes.values_mut().enumerate().take(nodes) {
        let lost = has(Kind::RackLost) && i % ZONES == 1 && (i / ZONES).is_multiple_of(3);
        if has(Kind::Drain) && i % 3 == 1 {
            node.status = NodeStatus::Leaving;
        }
        if lost {
            node.status = NodeStatus::Unreachable;
        }
    }
}
