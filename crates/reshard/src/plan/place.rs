//! Who holds what at the end: from the goals to a set of nodes for each cluster of pieces.

use super::goals::{Goal, Plan, Refusal, What};
use super::shape::{Shape, bytes, named};
use plover_ranges::{Fleet, KeyRange, Node, NodeName, NodeStatus, RangeId, RangeMap};
use std::collections::{BTreeMap, BTreeSet};

/// Pieces that the same nodes hold.
#[derive(Clone, Debug, PartialEq)]
pub struct Cluster {
    /// Its pieces, in the order of their keys.
    pub pieces: Vec<usize>,
    /// The keys of the first of them: what it is called by.
    pub first: KeyRange,
    /// Its holders at the end.
    pub target: BTreeSet<NodeName>,
    /// The goal by which it moves, if it does.
    pub cause: Option<usize>,
    /// What it takes at each holder: bytes of disk and memory.
    pub takes: (u64, u64),
    /// Its share at each holder of queries and of work a second.
    pub asked: (f64, f64),
    /// Nodes that may not hold it, each with the goal that says so.
    pub(super) banned: BTreeMap<NodeName, usize>,
    /// Nodes that hold it whatever else is said.
    pub(super) pinned: BTreeMap<NodeName, usize>,
    /// Clusters of which it shares no node.
    pub(super) apart: Vec<(usize, usize)>,
    /// Least replicas and zones, and the goal that says so.
    pub(super) replicas: (usize, usize, Option<usize>),
}

pub(super) struct Placing<'p> {
    pub(super) plan: &'p Plan,
    pub(super) fleet: &'p Fleet,
    pub(super) clusters: Vec<Cluster>,
    /// Bytes of disk and memory that each node holds by now.
    used: BTreeMap<NodeName, (u64, u64)>,
    refusals: Vec<Refusal>,
}

/// The clusters of a shape, each with its holders at the end.
pub fn place(
    plan: &Plan,
    map: &RangeMap,
    fleet: &Fleet,
    shape: &Shape,
) -> Result<Vec<Cluster>, Vec<Refusal>> {
    let mut placing =
        Placing { plan, fleet, clusters: Vec::new(), used: BTreeMap::new(), refusals: Vec::new() };
    placing.known(map);
    if !placing.refusals.is_empty() {
        return Err(placing.refusals);
    }
    placing.clusters(shape);
    placing.rules(shape);
    if !placing.refusals.is_empty() {
        return Err(placing.refusals);
    }
    for cluster in &placing.clusters {
        for node in &cluster.target {
            let used = placing.used.entry(node.clone()).or_default();
            *used = (used.0.saturating_add(cluster.takes.0), used.1.saturating_add(cluster.takes.1));
        }
    }
    for at in 0..placing.clusters.len() {
        placing.forced(at);
    }
    for at in 0..placing.clusters.len() {
        if let Err(refusal) = placing.filled(at) {
            placing.refusals.push(refusal);
        }
    }
    if placing.refusals.is_empty() {
        for (n, goal) in plan.goals.iter().enumerate() {
            let done = match &goal.what {
                What::BringIn(node) => placing.bring_in(n, goal, node),
                What::EvenOut(measure, within) => placing.even_out(n, goal, *measure, *within),
                _ => Ok(()),
            };
            placing.refusals.extend(done.err());
        }
    }
    if placing.refusals.is_empty() {
        placing.at_the_end(shape);
    }
    if placing.refusals.is_empty() { Ok(placing.clusters) } else { Err(placing.refusals) }
}

impl Placing<'_> {
    fn refuse(
        &mut self,
        goal: &Goal,
        word: Option<usize>,
        rule: &'static str,
        what: String,
        would_do: String,
    ) {
        let span = word.and_then(|n| goal.words.get(n)).unwrap_or(&goal.span);
        self.refusals.push(Refusal::new(span, rule, what, would_do));
    }

    /// Whether all nodes, zones, kinds and ranges that are named are there.
    fn known(&mut self, map: &RangeMap) {
        let plan = self.plan;
        let zones: BTreeSet<&str> = self.fleet.nodes.values().map(|n| n.zone.as_str()).collect();
        let kinds: BTreeSet<&str> = self.fleet.nodes.values().map(|n| n.kind.as_str()).collect();
        let holders = map.ranges().flat_map(|h| &h.replicas).collect::<BTreeSet<_>>();
        for node in holders.into_iter().filter(|n| !self.fleet.nodes.contains_key(*n)) {
            let what = format!("the map has {node}, of which nothing was measured");
            self.refusals.push(Refusal::new(
                &plan.against.1,
                "facts",
                what,
                "its zone, kind, disk, memory and rates",
            ));
        }
        for goal in &plan.goals {
            let ranges: Vec<(usize, RangeId)> = match &goal.what {
                What::Move(id, ..) => vec![(0, *id)],
                What::Replicas(_, _, Some(id)) => vec![(2, *id)],
                What::KeepOff(_, Some(id)) => vec![(1, *id)],
                What::Apart(one, other) | What::Together(one, other) => vec![(0, *one), (1, *other)],
                _ => Vec::new(),
            };
            for (word, id) in ranges {
                self.refusals.extend(named(map, goal, word, id).err());
            }
            let nodes: Vec<(usize, &NodeName)> = match &goal.what {
                What::Move(_, from, to) => vec![(1, from), (2, to)],
                What::EmptyNode(node) | What::BringIn(node) => vec![(0, node)],
                _ => Vec::new(),
            };
            for (word, node) in nodes {
                if !self.fleet.nodes.contains_key(node) {
                    let near =
                        plover_operator_file::nearest_of(&node.0, self.fleet.nodes.keys().map(|n| &*n.0));
                    let would_do = near.map_or("a node of the fleet".to_owned(), str::to_owned);
                    self.refuse(goal, Some(word), "node", format!("the fleet has no node {node}"), would_do);
                }
            }
            let (known, name, of) = match &goal.what {
                What::EmptyZone(zone) => (zones.contains(zone.as_str()), zone, &zones),
                What::KeepOff(kind, _) => (kinds.contains(kind.as_str()), kind, &kinds),
                _ => continue,
            };
            if !known {
                let some: Vec<&str> = of.iter().take(8).copied().collect();
                self.refuse(
                    goal,
                    Some(0),
                    "node",
                    format!("no node is of {name}"),
                    format!("one of {}", some.join(", ")),
                );
            }
        }
    }

    fn clusters(&mut self, shape: &Shape) {
        let count = shape.pieces.len();
        let mut of: Vec<usize> = (0..count).collect();
        let mut one = |pieces: &[usize]| {
            let Some(least) = pieces.iter().map(|p| of[*p]).min() else { return };
            let joined: BTreeSet<usize> = pieces.iter().map(|p| of[*p]).collect();
            for own in &mut of {
                if joined.contains(own) {
                    *own = least;
                }
            }
        };
        for join in &shape.joins {
            one(&(join.first..=join.last).collect::<Vec<_>>());
        }
        for goal in &self.plan.goals {
            if let What::Together(a, b) = goal.what {
                let both = |p: &usize| [a, b].contains(&shape.pieces[*p].origin);
                one(&(0..count).filter(both).collect::<Vec<_>>());
            }
        }
        let mut pieces: BTreeMap<usize, Vec<usize>> = BTreeMap::new();
        for (piece, cluster) in of.into_iter().enumerate() {
            pieces.entry(cluster).or_default().push(piece);
        }
        for pieces in pieces.into_values() {
            let all = || pieces.iter().map(|p| &shape.pieces[*p]);
            // The holders of most of its bytes keep it.
            let largest = all().max_by_key(|p| (p.bytes, std::cmp::Reverse(p.range.clone())));
            let target = largest.map(|p| p.holders.clone()).unwrap_or_default();
            let replicas = target.len().max(1);
            self.clusters.push(Cluster {
                first: all().next().map_or_else(KeyRange::full, |p| p.range.clone()),
                cause: None,
                takes: (all().map(|p| p.bytes).sum(), all().map(|p| p.memory).sum()),
                asked: (
                    all().map(|p| p.rate).sum::<f64>() / replicas as f64,
                    all().map(|p| p.work).sum::<f64>() / replicas as f64,
                ),
                banned: BTreeMap::new(),
                pinned: BTreeMap::new(),
                apart: Vec::new(),
                replicas: (target.len(), 1, None),
                target,
                pieces,
            });
        }
        for cluster in &mut self.clusters {
            let holders = |p: &usize| &shape.pieces[*p].holders;
            if cluster.pieces.iter().any(|p| *holders(p) != cluster.target) {
                let joined = shape.joins.iter().find(|j| cluster.pieces.contains(&j.first)).map(|j| j.goal);
                let together = |g: &Goal| {
                    matches!(g.what, What::Together(a, b)
                    if cluster.pieces.iter().any(|p| [a, b].contains(&shape.pieces[*p].origin)))
                };
                cluster.cause = joined.or_else(|| self.plan.goals.iter().position(together));
            }
        }
    }

    fn of(&self, shape: &Shape, id: RangeId) -> Vec<usize> {
        let holds = |c: &Cluster| c.pieces.iter().any(|p| shape.pieces[*p].origin == id);
        (0..self.clusters.len()).filter(|n| holds(&self.clusters[*n])).collect()
    }

    /// What each goal forbids or demands of each cluster; goals that contradict one another.
    fn rules(&mut self, shape: &Shape) {
        let plan = self.plan;
        let fleet = self.fleet;
        let where_ = |fits: &dyn Fn(&NodeName, &Node) -> bool| -> Vec<NodeName> {
            fleet.nodes.iter().filter(|(n, node)| fits(n, node)).map(|(n, _)| n.clone()).collect()
        };
        for (n, goal) in plan.goals.iter().enumerate() {
            let (nodes, of) = match &goal.what {
                What::EmptyNode(node) => (where_(&|name, _| name == node), None),
                What::EmptyZone(zone) => (where_(&|_, node| node.zone == *zone), None),
                What::KeepOff(kind, of) => (where_(&|_, node| node.kind == *kind), *of),
                What::Move(id, from, _) => (vec![from.clone()], Some(*id)),
                _ => continue,
            };
            let of = of.map_or((0..self.clusters.len()).collect(), |id| self.of(shape, id));
            for at in of {
                for node in &nodes {
                    self.clusters[at].banned.entry(node.clone()).or_insert(n);
                }
            }
        }
        for (n, goal) in plan.goals.iter().enumerate() {
            match &goal.what {
                What::Move(id, from, to) => self.moved(n, goal, shape, *id, (from, to)),
                What::Apart(a, b) => {
                    let (first, second) = (self.of(shape, *a), self.of(shape, *b));
                    if first.iter().any(|c| second.contains(c)) {
                        let what = format!("{a} and {b} are one or together by another goal");
                        self.refuse(goal, None, "contradiction", what, "only one of the two".to_owned());
                        continue;
                    }
                    for (x, y) in first.iter().flat_map(|x| second.iter().map(move |y| (*x, *y))) {
                        self.clusters[x].apart.push((y, n));
                        self.clusters[y].apart.push((x, n));
                    }
                }
                What::Replicas(count, zones, of) => self.replicas(n, goal, shape, (*count, *zones, *of)),
                What::BringIn(node) => {
                    let by = self.clusters.iter().find_map(|c| c.banned.get(node));
                    if let Some(by) = by
                        .filter(|by| matches!(plan.goals[**by].what, What::EmptyNode(_) | What::EmptyZone(_)))
                    {
                        let what = format!("{node} is emptied by {}", plan.goals[*by].said);
                        self.refuse(goal, Some(0), "contradiction", what, "only one of the two".to_owned());
                    }
                }
                _ => {}
            }
        }
    }

    fn moved(
        &mut self,
        n: usize,
        goal: &Goal,
        shape: &Shape,
        id: RangeId,
        (from, to): (&NodeName, &NodeName),
    ) {
        let holders =
            shape.pieces.iter().find(|p| p.origin == id).map(|p| p.holders.clone()).unwrap_or_default();
        let all: Vec<String> = holders.iter().map(NodeName::to_string).collect();
        if !holders.contains(from) {
            let what = format!("{from} does not hold {id}");
            return self.refuse(goal, Some(1), "move", what, format!("one of {}", all.join(", ")));
        }
        if holders.contains(to) {
            let what = format!("{to} holds {id} already");
            return self.refuse(goal, Some(2), "move", what, format!("a node beside {}", all.join(", ")));
        }
        if self.fleet.nodes.get(to).is_some_and(|node| !takes(node)) {
            let what = format!("{to} is leaving or was not heard of");
            return self.refuse(goal, Some(2), "move", what, "a node that is warm or cold".to_owned());
        }
        for at in self.of(shape, id) {
            if let Some(by) = self.clusters[at].banned.get(to).copied() {
                let what = format!("{to} may not hold {id} by {}", self.plan.goals[by].said);
                return self.refuse(goal, Some(2), "contradiction", what, "only one of the two".to_owned());
            }
            self.clusters[at].pinned.entry(to.clone()).or_insert(n);
            // It keeps its count: the others that hold it go on doing so.
            self.clusters[at].target.extend(holders.iter().filter(|h| *h != from).cloned());
        }
    }

    fn replicas(
        &mut self,
        n: usize,
        goal: &Goal,
        shape: &Shape,
        (count, zones, of): (u32, u32, Option<RangeId>),
    ) {
        if zones > count {
            let what = format!("{count} replicas cannot be in {zones} zones");
            return self.refuse(goal, Some(1), "zones", what, format!("{count} at most"));
        }
        let least = self.plan.bounds.least_in_service;
        if count < least {
            let what = format!("least-in-service is {least}");
            return self.refuse(goal, Some(0), "least-in-service", what, format!("{least} at least"));
        }
        let clusters = of.map_or((0..self.clusters.len()).collect(), |id| self.of(shape, id));
        for at in clusters {
            let cluster = &self.clusters[at];
            let fit: Vec<&Node> = self.may(cluster).map(|(_, node)| node).collect();
            let fit_zones: BTreeSet<&str> = fit.iter().map(|node| node.zone.as_str()).collect();
            let (nodes, in_zones) = (fit.len(), fit_zones.len());
            let (by, same) = (cluster.replicas.2, (cluster.replicas.0, cluster.replicas.1));
            if nodes < count as usize {
                let what = format!("only {nodes} nodes may hold {}", shape.pieces[cluster.pieces[0]].range);
                return self.refuse(goal, Some(0), "replicas", what, format!("{nodes} at most"));
            }
            if in_zones < zones as usize {
                let what =
                    format!("only {in_zones} zones may hold {}", shape.pieces[cluster.pieces[0]].range);
                return self.refuse(goal, Some(1), "zones", what, format!("{in_zones} at most"));
            }
            if let Some(by) = by {
                let of_one = |n: usize| matches!(self.plan.goals[n].what, What::Replicas(_, _, Some(_)));
                if of_one(by) == of_one(n) && same != (count as usize, zones as usize) {
                    let what = format!("it is against {}", self.plan.goals[by].said);
                    return self.refuse(goal, None, "contradiction", what, "only one of the two".to_owned());
                }
                if of_one(by) && !of_one(n) {
                    continue;
                }
            }
            self.clusters[at].replicas = (count as usize, zones as usize, Some(n));
        }
    }

    /// Nodes that may hold a cluster, room aside.
    pub(super) fn may<'s>(&'s self, cluster: &'s Cluster) -> impl Iterator<Item = (&'s NodeName, &'s Node)> {
        let fits = |name: &NodeName, node: &Node| {
            !cluster.banned.contains_key(name) && (takes(node) || cluster.target.contains(name))
        };
        self.fleet.nodes.iter().filter(move |(name, node)| fits(name, node))
    }

    pub(super) fn set(&mut self, at: usize, node: &NodeName, holds: bool, by: Option<usize>) {
        let cluster = &mut self.clusters[at];
        let used = self.used.entry(node.clone()).or_default();
        let (disk, memory) = cluster.takes;
        if holds && cluster.target.insert(node.clone()) {
            *used = (used.0.saturating_add(disk), used.1.saturating_add(memory));
        } else if !holds && cluster.target.remove(node) {
            *used = (used.0.saturating_sub(disk), used.1.saturating_sub(memory));
        }
        cluster.cause = cluster.cause.or(by);
    }

    /// Takes the cluster off what is banned, and puts it where it is pinned.
    fn forced(&mut self, at: usize) {
        let cluster = self.clusters[at].clone();
        for node in &cluster.target {
            if let Some(by) = cluster.banned.get(node) {
                self.set(at, node, false, Some(*by));
            }
        }
        for (node, by) in &cluster.pinned {
            self.set(at, node, true, Some(*by));
        }
    }

    /// Gives the cluster as many holders, over as many zones, as it needs.
    fn filled(&mut self, at: usize) -> Result<(), Refusal> {
        let (count, zones, by) = self.clusters[at].replicas;
        for (other, by) in self.clusters[at].apart.clone() {
            // The first of two that are apart stays; the second makes way.
            if other < at {
                let shared: Vec<NodeName> =
                    self.clusters[at].target.intersection(&self.clusters[other].target).cloned().collect();
                for node in shared {
                    if self.clusters[at].pinned.contains_key(&node) {
                        let goal = &self.plan.goals[by];
                        let what = format!("both would be at {node}");
                        return Err(Refusal::new(&goal.span, "contradiction", what, "another node"));
                    }
                    self.set(at, &node, false, Some(by));
                }
            }
        }
        let cause = by.or(self.clusters[at].cause);
        while self.clusters[at].target.len() > count {
            let Some(node) = self.victim(at, zones) else { break };
            self.set(at, &node, false, cause);
        }
        while self.clusters[at].target.len() < count {
            let node = self.taker(at, false, cause)?;
            self.set(at, &node, true, cause);
        }
        while self.zones(at).len() < zones {
            let node = self.taker(at, true, cause)?;
            self.set(at, &node, true, cause);
            if self.clusters[at].target.len() > count {
                let Some(node) = self.victim(at, zones) else { break };
                self.set(at, &node, false, cause);
            }
        }
        Ok(())
    }

    pub(super) fn zones(&self, at: usize) -> BTreeMap<&str, usize> {
        let mut zones = BTreeMap::new();
        for node in self.clusters[at].target.iter().filter_map(|n| self.fleet.nodes.get(n)) {
            *zones.entry(node.zone.as_str()).or_default() += 1;
        }
        zones
    }

    /// The holder that goes: of the zone with most, then the fullest.
    fn victim(&self, at: usize, zones: usize) -> Option<NodeName> {
        let of = self.zones(at);
        let cluster = &self.clusters[at];
        let in_zone = |n: &NodeName| {
            self.fleet.nodes.get(n).and_then(|n| of.get(n.zone.as_str())).copied().unwrap_or(0)
        };
        let free = cluster.target.iter().filter(|n| !cluster.pinned.contains_key(*n));
        let free = free.filter(|n| of.len() > zones || in_zone(n) != 1);
        free.max_by_key(|n| (in_zone(n), self.fullness(n), (*n).clone())).cloned()
    }

    /// The node that takes a cluster: in a zone that has none of it, then the emptiest.
    fn taker(&self, at: usize, new_zone: bool, cause: Option<usize>) -> Result<NodeName, Refusal> {
        let cluster = &self.clusters[at];
        let of = self.zones(at);
        let apart: BTreeSet<&NodeName> =
            cluster.apart.iter().flat_map(|(other, _)| &self.clusters[*other].target).collect();
        let fit = self.may(cluster).filter(|(name, node)| {
            let taken = cluster.target.contains(*name) || apart.contains(*name);
            !taken && (!new_zone || !of.contains_key(node.zone.as_str()))
        });
        let fit: Vec<(&NodeName, &Node)> = fit.collect();
        let with_room = fit.iter().filter(|(name, _)| self.fits(at, name));
        let best = with_room.min_by_key(|(name, node)| {
            (of.contains_key(node.zone.as_str()), self.fullness(name), (*name).clone())
        });
        if let Some((name, _)) = best {
            return Ok((*name).clone());
        }
        let goal = cause.and_then(|n| self.plan.goals.get(n));
        let span = goal.map_or(&self.plan.against.1, |g| &g.span);
        if fit.is_empty() {
            let what = format!("no node is left for a replica of {}", self.name(at));
            let count = self.clusters[at].target.len();
            return Err(Refusal::new(span, "replicas", what, format!("{count} replicas, or another node")));
        }
        Err(self.no_room(at, span, &fit))
    }

    fn no_room(&self, at: usize, span: &std::ops::Range<usize>, fit: &[(&NodeName, &Node)]) -> Refusal {
        let (disk, memory) = self.clusters[at].takes;
        let short = |(name, node): &(&NodeName, &Node)| {
            let used = self.used.get(*name).copied().unwrap_or_default();
            let (room_disk, room_memory) = self.plan.bounds.room(node);
            let disk = used.0.saturating_add(disk).saturating_sub(room_disk);
            (disk, used.1.saturating_add(memory).saturating_sub(room_memory), (*name).clone())
        };
        let (disk, memory, name) = fit.iter().map(short).min().unwrap_or((0, 0, "".into()));
        let (lacks, what) = if disk > 0 { (disk, "disk") } else { (memory, "memory") };
        let text = format!("{} fits at no node; {name} lacks {} of {what}", self.name(at), bytes(lacks));
        Refusal::new(span, "room", text, format!("{} more of {what} at {name}", bytes(lacks)))
    }

    pub(super) fn fits(&self, at: usize, name: &NodeName) -> bool {
        let Some(node) = self.fleet.nodes.get(name) else { return false };
        let used = self.used.get(name).copied().unwrap_or_default();
        let (disk, memory) = self.clusters[at].takes;
        let room = self.plan.bounds.room(node);
        used.0.saturating_add(disk) <= room.0 && used.1.saturating_add(memory) <= room.1
    }

    /// How full a node's disk is, in millionths.
    pub(super) fn fullness(&self, name: &NodeName) -> u64 {
        let used = self.used.get(name).map_or(0, |u| u.0);
        let disk = self.fleet.nodes.get(name).map_or(1, |n| n.disk.max(1));
        (u128::from(used) * 1_000_000 / u128::from(disk)) as u64
    }

    fn name(&self, at: usize) -> String {
        let cluster = &self.clusters[at];
        match cluster.pieces.len() {
            1 => cluster.first.to_string(),
            n => format!("{} and {} with it", cluster.first, n - 1),
        }
    }

    /// Whether what moved keeps the rules and fits at the end.
    fn at_the_end(&mut self, shape: &Shape) {
        let least = self.plan.bounds.least_in_service as usize;
        let mut found = Vec::new();
        for at in 0..self.clusters.len() {
            let cluster = &self.clusters[at];
            let Some(goal) = cluster.cause.and_then(|n| self.plan.goals.get(n)) else { continue };
            if cluster.target.len() < least {
                let origin = shape.pieces[cluster.pieces[0]].origin;
                let what = format!("{origin} has {} replicas", cluster.target.len());
                let would_do =
                    format!("replicas {least} 1 {origin}, or least-in-service {}", cluster.target.len());
                found.push(Refusal::new(&goal.span, "least-in-service", what, would_do));
            }
            for node in &cluster.target {
                let fresh = cluster.pieces.iter().any(|p| !shape.pieces[*p].holders.contains(node));
                let (Some(facts), Some(used)) = (self.fleet.nodes.get(node), self.used.get(node)) else {
                    continue;
                };
                let room = self.plan.bounds.room(facts);
                for (used, room, what) in [(used.0, room.0, "disk"), (used.1, room.1, "memory")] {
                    if fresh && used > room {
                        let lacks = bytes(used - room);
                        let text = format!("{node} would lack {lacks} of {what} at the end");
                        found.push(Refusal::new(
                            &goal.span,
                            "room",
                            text,
                            format!("{lacks} more of {what} at {node}"),
                        ));
                    }
                }
            }
        }
        self.refusals.extend(found);
    }
}

/// Whether a node may be given copies, now or when it is warm.
pub(super) fn takes(node: &Node) -> bool {
    matches!(node.status, NodeStatus::Warm | NodeStatus::Cold)
}
