//! An order of the steps, one after another, in which everything fits. Copies take room, drops give it back, so which
//! copy goes first can decide whether the last one fits; a search that is bounded tries the others.

use super::graph::Graph;
use super::room::{Ledger, Short};
use super::step::{Step, StepId};
use std::cmp::Reverse;
use std::collections::BTreeSet;

/// Most orders that are tried.
pub const MOST_TRIES: usize = 512;
/// Most steps that are tried in all.
const MOST_WORK: usize = 1 << 21;

/// Why there is no order.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Stuck {
    /// These steps wait for one another.
    Circle(Vec<StepId>),
    /// This copy lacks room; whether all orders were tried.
    NoRoom(StepId, Short, bool),
}

/// An order of all steps that keeps the needs and the room of every node.
pub fn order(graph: &Graph) -> Result<Vec<StepId>, Stuck> {
    let (mut choices, mut first, mut work) = (Vec::new(), None, 0);
    for _ in 0..MOST_TRIES {
        let (at, stuck) = match run(graph, &mut choices) {
            Ok(order) => return Ok(order),
            Err(Failed { waiting: None, at, short }) => (at, short),
            Err(Failed { waiting: Some(steps), .. }) => return Err(Stuck::Circle(steps)),
        };
        if let Some((step, short)) = stuck {
            first.get_or_insert((step, short));
        }
        choices.truncate(at);
        // The last choice that has another is made otherwise; one that has none is found out by trying it.
        let Some(last) = choices.last_mut() else {
            return Err(no_room(first, true));
        };
        *last += 1;
        work += graph.steps.len();
        if work > MOST_WORK {
            break;
        }
    }
    Err(no_room(first, false))
}

fn no_room(first: Option<(StepId, Short)>, all: bool) -> Stuck {
    first.map_or(Stuck::Circle(Vec::new()), |(step, short)| Stuck::NoRoom(step, short, all))
}

struct Failed {
    /// Set where steps wait for one another and for no room.
    waiting: Option<Vec<StepId>>,
    /// Choices that were made.
    at: usize,
    short: Option<(StepId, Short)>,
}

/// Runs the steps one after another; of the copies that fit, the one that the choices say.
fn run(graph: &Graph, choices: &mut Vec<usize>) -> Result<Vec<StepId>, Failed> {
    let steps = &graph.steps;
    let mut unmet: Vec<usize> = steps.iter().map(|s| s.needs.len()).collect();
    let mut followers: Vec<Vec<usize>> = vec![Vec::new(); steps.len()];
    for (n, step) in steps.iter().enumerate() {
        for need in &step.needs {
            followers[need.0 as usize].push(n);
        }
    }
    // Steps of each group that are to come, drops apart.
    let mut open = vec![(0usize, 0usize); graph.groups.len()];
    for step in steps {
        let group = &mut open[usize::from(step.group)];
        if matches!(step.step, Step::Drop { .. }) { group.1 += 1 } else { group.0 += 1 }
    }
    let key = |n: usize| (Reverse(graph.groups[usize::from(steps[n].group)].priority), steps[n].group, n);
    let mut ready: BTreeSet<_> = (0..steps.len()).filter(|n| unmet[*n] == 0).map(key).collect();
    let (mut ledger, mut order, mut made) = (Ledger::new(graph), Vec::with_capacity(steps.len()), 0);
    while order.len() < steps.len() {
        let free = |n: usize, open: &[(usize, usize)]| {
            let step = &steps[n];
            let awaited = step.awaits.iter().all(|g| open[usize::from(*g)] == (0, 0));
            let last = graph.groups[usize::from(step.group)].whole && matches!(step.step, Step::Drop { .. });
            awaited && !(last && open[usize::from(step.group)].0 > 0)
        };
        let may = || ready.iter().map(|k| k.2).filter(|n| free(*n, &open));
        let mut chosen = may().find(|n| !matches!(steps[*n].step, Step::Copy { .. }));
        if chosen.is_none() {
            let (mut short, mut skip) = (None, choices.get(made).copied().unwrap_or(0));
            for n in may() {
                let Step::Copy { to, bytes, memory, .. } = &steps[n].step else { continue };
                match ledger.has_room(graph, to, (*bytes, *memory)) {
                    Ok(()) if skip == 0 => {
                        chosen = Some(n);
                        break;
                    }
                    Ok(()) => skip -= 1,
                    Err(lacks) => short = short.into_iter().chain([(lacks, n)]).min(),
                }
            }
            if chosen.is_none() && choices.get(made).is_none_or(|c| *c == 0) && short.is_none() {
                let done: BTreeSet<StepId> = order.iter().copied().collect();
                let waiting =
                    (0..steps.len()).map(|n| StepId(n as u32)).filter(|id| !done.contains(id)).collect();
                return Err(Failed { waiting: Some(waiting), at: made, short: None });
            }
            if chosen.is_none() {
                let short = short.map(|(lacks, n)| (StepId(n as u32), lacks));
                return Err(Failed { waiting: None, at: made, short });
            }
            if made == choices.len() {
                choices.push(0);
            }
            made += 1;
        }
        let Some(n) = chosen else { break };
        match &steps[n].step {
            Step::Copy { to, bytes, memory, .. } => {
                let used = ledger.used.entry(to.clone()).or_default();
                *used = (used.0.saturating_add(*bytes), used.1.saturating_add(*memory));
            }
            Step::Drop { node, bytes, memory, .. } => ledger.free(node, (*bytes, *memory)),
            _ => {}
        }
        ready.remove(&key(n));
        let group = &mut open[usize::from(steps[n].group)];
        if matches!(steps[n].step, Step::Drop { .. }) {
            group.1 -= 1
        } else {
            group.0 -= 1
        }
        for follower in &followers[n] {
            unmet[*follower] -= 1;
            if unmet[*follower] == 0 {
                ready.insert(key(*follower));
            }
        }
        order.push(StepId(n as u32));
    }
    Ok(order)
}
