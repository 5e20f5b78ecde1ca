//! From a plan to the graph of its steps. The same plan, map and facts give the same graph, byte for byte.

use super::goals::*;
use super::graph::{Graph, Planned};
use super::order::{Stuck, order};
use super::place::{Cluster, place};
use super::room::{Short, link};
use super::shape::{Piece, Shape, bytes, shape};
use super::step::{Step, StepId};
use plover_model::time::{Micros, SECOND};
use plover_ranges::{Fleet, NodeName, NodeStatus, RangeMap};
use std::collections::{BTreeMap, BTreeSet};

/// Compiles a plan against a map. `earlier` is the map of the version that the plan names, where one is at hand: it is
/// only used to say what differs.
///
/// # Errors
/// All that was found wrong, each with its place, its rule and what would do.
pub fn compile(
    plan: &Plan,
    map: &RangeMap,
    fleet: &Fleet,
    earlier: Option<&RangeMap>,
) -> Result<Graph, Vec<Refusal>> {
    if plan.against.0 != map.version() {
        return Err(vec![other_version(plan, map, earlier)]);
    }
    let circle = circle_of_groups(plan);
    if let Some(refusal) = circle {
        return Err(vec![refusal]);
    }
    let mut refusals = Vec::new();
    for group in &plan.groups {
        if group.whole && group.then == Then::Round {
            let what = "a whole group leaves nothing out, so nothing goes round";
            refusals.push(Refusal::new(&group.span, "on-failure", what, "on-failure with pause or back"));
        }
    }
    let shape = match shape(plan, map, fleet) {
        Ok(shape) => shape,
        Err(found) => {
            refusals.extend(found);
            return Err(refusals);
        }
    };
    let clusters = match place(plan, map, fleet, &shape) {
        Ok(clusters) => clusters,
        Err(found) => {
            refusals.extend(found);
            return Err(refusals);
        }
    };
    let mut used: BTreeMap<NodeName, (u64, u64)> = BTreeMap::new();
    for piece in &shape.pieces {
        for node in &piece.holders {
            let used = used.entry(node.clone()).or_default();
            *used = (used.0.saturating_add(piece.bytes), used.1.saturating_add(piece.memory));
        }
    }
    let mut graph = Graph {
        name: plan.name.clone(),
        map: map.clone(),
        bounds: plan.bounds.clone(),
        groups: plan.groups.clone(),
        nodes: fleet.nodes.clone(),
        links: fleet.links.clone(),
        used,
        steps: Vec::new(),
    };
    steps(plan, &shape, &clusters, &mut graph);
    refusals.extend(unknown_ways(plan, &graph));
    if graph.steps.len() > MOST_STEPS {
        let what = format!("{} steps", graph.steps.len());
        refusals.push(Refusal::new(
            &plan.against.1,
            "steps",
            what,
            format!("{MOST_STEPS} at most: two plans"),
        ));
    }
    if !refusals.is_empty() {
        return Err(refusals);
    }
    waits(&mut graph);
    match order(&graph) {
        Ok(order) => renumber(&mut graph, &order),
        Err(stuck) => return Err(vec![no_order(plan, &graph, stuck)]),
    }
    let late = late(&graph);
    if late.is_empty() { Ok(graph) } else { Err(late) }
}

fn other_version(plan: &Plan, map: &RangeMap, earlier: Option<&RangeMap>) -> Refusal {
    let mut what =
        format!("the map is at version {}, the plan was written for {}", map.version().0, plan.against.0.0);
    if let Some(earlier) = earlier.filter(|m| m.version() == plan.against.0) {
        let then: BTreeSet<String> = earlier.ranges().map(held).collect();
        let now: BTreeSet<String> = map.ranges().map(held).collect();
        let gone = then.difference(&now).map(|h| format!("-{h}"));
        let all: Vec<String> = gone.chain(now.difference(&then).map(|h| format!("+{h}"))).collect();
        let more = all.len().saturating_sub(16);
        what = format!("{what}: {}", all[..all.len() - more].join("; "));
        if more > 0 {
            what = format!("{what}; and {more} more");
        }
    }
    Refusal::new(
        &plan.against.1,
        "version",
        what,
        format!("against {}, once what differs was looked at", map.version().0),
    )
}

fn held(held: &plover_ranges::RangeAssignment) -> String {
    let nodes: Vec<&str> = held.replicas.iter().map(|n| &*n.0).collect();
    format!("{} {} at {}", held.id, held.range, nodes.join(","))
}

/// Groups that come after one another in a circle.
fn circle_of_groups(plan: &Plan) -> Option<Refusal> {
    let after = |g: usize| plan.groups[g].after.iter().map(|a| usize::from(*a)).collect::<Vec<_>>();
    let circle = circle(plan.groups.len(), after)?;
    Some(circle_refusal(plan, &circle))
}

/// A circle among so many, if there is one: each waits for the next, the last for the first.
fn circle(count: usize, waits_for: impl Fn(usize) -> Vec<usize>) -> Option<Vec<usize>> {
    // 0: not seen, 1: on the way, 2: free of circles.
    let mut seen = vec![0u8; count];
    for start in 0..count {
        let mut way: Vec<(usize, Vec<usize>)> = Vec::new();
        if seen[start] == 0 {
            seen[start] = 1;
            way.push((start, waits_for(start)));
        }
        while let Some((at, rest)) = way.last_mut() {
            match rest.pop() {
                Some(next) if seen[next] == 1 => {
                    let begin = way.iter().position(|(n, _)| *n == next)?;
                    return Some(way[begin..].iter().map(|(n, _)| *n).collect());
                }
                Some(next) if seen[next] == 0 => {
                    seen[next] = 1;
                    way.push((next, waits_for(next)));
                }
                Some(_) => {}
                None => {
                    seen[*at] = 2;
                    way.pop();
                }
            }
        }
    }
    None
}

fn circle_refusal(plan: &Plan, circle: &[usize]) -> Refusal {
    let name = |g: &usize| {
        if plan.groups[*g].name.is_empty() { "the first lines" } else { plan.groups[*g].name.as_str() }
    };
    let names: Vec<&str> = circle.iter().chain(circle.first()).map(name).collect();
    let spans = circle.iter().flat_map(|g| &plan.groups[*g].after_spans);
    let span = spans
        .min_by_key(|s| s.start)
        .or_else(|| circle.iter().map(|g| &plan.groups[*g].span).max_by_key(|s| s.start));
    let what = format!("an order with a circle: {}", names.join(" waits for "));
    Refusal::new(span.unwrap_or(&plan.against.1), "circle", what, "one of these orders less")
}

/// Makes the steps: cuts, then moves, then joins.
fn steps(plan: &Plan, shape: &Shape, clusters: &[Cluster], graph: &mut Graph) {
    let mut ready: Vec<Option<StepId>> = vec![None; shape.pieces.len()];
    let mut first = 0;
    while let Some(piece) = shape.pieces.get(first) {
        let count = shape.pieces[first..].iter().take_while(|p| p.origin == piece.origin).count();
        let mut before = None;
        for (n, cut) in shape.cuts.get(&piece.origin).into_iter().flatten().enumerate() {
            let step = Step::Split { range: cut.range.clone(), at: cut.at.clone() };
            let id = push(graph, step, plan.goals[cut.goal].group, None, before.into_iter().collect());
            before = Some(id);
            // The cut ends the piece before it; the last one the piece after it too.
            for done in [n, n + 1] {
                if done < count {
                    ready[first + done] = Some(id);
                }
            }
        }
        first += count.max(1);
    }
    let mut chains = 0;
    for cluster in clusters {
        let Some(group) = cluster.cause.and_then(|c| plan.goals.get(c)).map(|g| g.group) else { continue };
        for piece in &cluster.pieces {
            let last =
                moves(graph, &shape.pieces[*piece], &cluster.target, group, ready[*piece], &mut chains);
            ready[*piece] = last;
        }
    }
    for join in &shape.joins {
        let group = plan.goals[join.goal].group;
        let mut low = shape.pieces[join.first].range.clone();
        let mut before = ready[join.first];
        let rest = ready.iter().zip(&shape.pieces).take(join.last + 1).skip(join.first + 1);
        for (at_hand, piece) in rest {
            let high = piece.range.clone();
            let Some(whole) = low.merge(&high) else { break };
            let needs = before.into_iter().chain(*at_hand).collect();
            before = Some(push(graph, Step::Merge { low, high }, group, None, needs));
            low = whole;
        }
    }
}

fn push(graph: &mut Graph, step: Step, group: u16, chain: Option<u32>, needs: Vec<StepId>) -> StepId {
    let id = StepId(graph.steps.len() as u32);
    graph.steps.push(Planned { step, group, chain, needs, awaits: Vec::new() });
    id
}

/// The moves of one piece: what is added without a loss first, then each exchange, then what only goes. They follow
/// one another, so a range has one copy under way at most. Gives the step after which the piece is where it shall be.
fn moves(
    graph: &mut Graph,
    piece: &Piece,
    target: &BTreeSet<NodeName>,
    group: u16,
    mut ready: Option<StepId>,
    chains: &mut u32,
) -> Option<StepId> {
    let mut holders = piece.holders.clone();
    let mut gone: Vec<NodeName> = holders.difference(target).cloned().collect();
    let mut exchanges = Vec::new();
    let mut added: Vec<NodeName> = target.difference(&holders).cloned().collect();
    let zone = |graph: &Graph, n: &NodeName| graph.zone(n).to_owned();
    // Those of one zone are exchanged with one another, so that no zone is without in between.
    for same in [true, false] {
        added.retain(|to| {
            let at = gone.iter().position(|from| !same || zone(graph, from) == zone(graph, to));
            at.map(|at| exchanges.push((to.clone(), gone.remove(at)))).is_none()
        });
    }
    let all = added.into_iter().map(|to| (Some(to), None));
    let all = all.chain(exchanges.into_iter().map(|(to, from)| (Some(to), Some(from))));
    let range = &piece.range;
    for (add, remove) in all.chain(gone.into_iter().map(|from| (None, Some(from)))).collect::<Vec<_>>() {
        let chain = Some(*chains);
        *chains += 1;
        let mut before: Vec<StepId> = ready.into_iter().collect();
        if let Some(to) = &add {
            let from = source(graph, &holders, to);
            let (range, to) = (range.clone(), to.clone());
            let copy = Step::Copy {
                range: range.clone(),
                from,
                to: to.clone(),
                bytes: piece.bytes,
                memory: piece.memory,
            };
            let copy = push(graph, copy, group, chain, before);
            before = vec![push(graph, Step::CatchUp { range, to }, group, chain, vec![copy])];
        }
        holders.extend(add.clone());
        if let Some(node) = &remove {
            holders.remove(node);
        }
        let switch = Step::Switch { range: range.clone(), add, remove: remove.clone() };
        let switch = push(graph, switch, group, chain, before);
        ready = Some(switch);
        if let Some(node) = remove {
            let drop = Step::Drop { range: range.clone(), node, bytes: piece.bytes, memory: piece.memory };
            push(graph, drop, group, chain, vec![switch]);
        }
    }
    ready
}

/// The holder that a copy reads: a warm one, of the same zone if there is one.
fn source(graph: &Graph, holders: &BTreeSet<NodeName>, to: &NodeName) -> NodeName {
    let key = |n: &&NodeName| {
        let warm = graph.nodes.get(*n).is_some_and(|f| f.status == NodeStatus::Warm);
        (!warm, graph.zone(n) != graph.zone(to))
    };
    holders.iter().min_by_key(key).cloned().unwrap_or_else(|| to.clone())
}

/// Copies over links or at nodes of which no rate is known.
fn unknown_ways(plan: &Plan, graph: &Graph) -> Vec<Refusal> {
    let mut found = BTreeMap::new();
    for step in &graph.steps {
        let Step::Copy { from, to, .. } = &step.step else { continue };
        let (one, other) = (graph.zone(from), graph.zone(to));
        if one != other && graph.link_rate(&link(one, other)) == u64::MAX {
            found.insert(
                format!("no rate is known between {one} and {other}"),
                "link-rate, or a measured link",
            );
        } else if graph.pace(from, to).0 == 0 {
            found.insert(format!("no copy gets on: {}", graph.pace(from, to).1), "a rate over 0");
        }
    }
    found.into_iter().map(|(what, would_do)| Refusal::new(&plan.against.1, "facts", what, would_do)).collect()
}

/// Notes which groups each step waits for: those that its group comes after, and whole ones whose steps it needs, since
/// they may go back until they end.
fn waits(graph: &mut Graph) {
    let of: Vec<u16> = graph.steps.iter().map(|s| s.group).collect();
    for n in 0..graph.steps.len() {
        let own = of[n];
        let mut awaits: BTreeSet<u16> = graph.groups[usize::from(own)].after.iter().copied().collect();
        for need in &graph.steps[n].needs {
            let other = of[need.0 as usize];
            if other != own && graph.groups[usize::from(other)].whole {
                awaits.insert(other);
            }
        }
        graph.steps[n].awaits = awaits.into_iter().collect();
    }
}

/// Names the steps by their place in this order.
fn renumber(graph: &mut Graph, order: &[StepId]) {
    let mut place = vec![StepId(0); order.len()];
    for (n, id) in order.iter().enumerate() {
        place[id.0 as usize] = StepId(n as u32);
    }
    let mut steps: Vec<(StepId, Planned)> =
        std::mem::take(&mut graph.steps).into_iter().enumerate().map(|(n, s)| (place[n], s)).collect();
    steps.sort_by_key(|(id, _)| *id);
    for (_, step) in &mut steps {
        for need in &mut step.needs {
            *need = place[need.0 as usize];
        }
        step.needs.sort();
        step.needs.dedup();
    }
    graph.steps = steps.into_iter().map(|(_, step)| step).collect();
}

fn no_order(plan: &Plan, graph: &Graph, stuck: Stuck) -> Refusal {
    match stuck {
        Stuck::Circle(steps) => {
            let waits_for = |g: usize| {
                let own =
                    steps.iter().map(|id| &graph.steps[id.0 as usize]).filter(|s| usize::from(s.group) == g);
                let needs = |s: &Planned| {
                    s.needs
                        .iter()
                        .filter(|n| steps.contains(n))
                        .map(|n| graph.steps[n.0 as usize].group)
                        .collect::<Vec<_>>()
                };
                let all: BTreeSet<usize> = own
                    .flat_map(|s| s.awaits.iter().copied().chain(needs(s)))
                    .map(usize::from)
                    .filter(|o| *o != g)
                    .collect();
                all.into_iter().collect()
            };
            circle_refusal(plan, &circle(plan.groups.len(), waits_for).unwrap_or_default())
        }
        Stuck::NoRoom(step, short, all) => {
            let planned = &graph.steps[step.0 as usize];
            let goal = plan.goals.iter().filter(|g| g.group == planned.group).min_by_key(|g| g.span.start);
            let span = goal.map_or(&plan.against.1, |g| &g.span);
            let (lacks, what, node) = match &short {
                Short::Disk(node, lacks) => (*lacks, "disk", node),
                Short::Memory(node, lacks) => (*lacks, "memory", node),
                _ => return Refusal::new(span, "room", short.to_string(), ""),
            };
            let tried = if all {
                "no order keeps".to_owned()
            } else {
                format!("none of {} orders keeps", super::order::MOST_TRIES)
            };
            let text =
                format!("{tried} free-{what} on the way: {} lacks {} at {node}", planned.step, bytes(lacks));
            let stays = if what == "disk" { graph.bounds.free_disk } else { graph.bounds.free_memory };
            let would_do = match stays.checked_sub(lacks) {
                Some(less) => format!("free-{what} {less}B"),
                None => format!("{} more of {what} at {node}", bytes(lacks)),
            };
            Refusal::new(span, "room", text, would_do)
        }
    }
}

/// Groups that would end after their deadline, by what is estimated.
fn late(graph: &Graph) -> Vec<Refusal> {
    if graph.groups.iter().all(|g| g.deadline.is_none()) {
        return Vec::new();
    }
    let times = super::show::estimate(graph);
    let end = |n: usize| {
        let own = graph.steps.iter().zip(&times).filter(|(s, _)| usize::from(s.group) == n);
        own.map(|(_, t)| t.end).max().unwrap_or(0)
    };
    let groups = graph.groups.iter().enumerate();
    let late = groups.filter_map(|(n, g)| g.deadline.filter(|d| end(n) > *d).map(|_| (g, end(n))));
    late.map(|(group, end)| {
        let minute: Micros = 60 * SECOND;
        let would_do = format!("deadline {}min", end.div_ceil(minute));
        let what = format!("it ends {} s after the plan began", end.div_ceil(SECOND));
        Refusal::new(&group.deadline_span, "deadline", what, would_do)
    })
    .collect()
}
