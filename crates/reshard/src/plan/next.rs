//! What of a running plan may start now, and why nothing does.

use super::entry::*;
use super::goals::DAY;
use super::progress::Progress;
use super::room::{Asked, Short};
use super::step::{Back, Step, StepId, exact};
use plover_model::time::Micros;
use plover_ranges::{NodeName, NodeStatus};
use std::cmp::Reverse;
use std::collections::BTreeMap;
use thiserror::Error;

/// What is seen from outside.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Seen {
    /// Time after midnight, in the zone in which the plan's hours are meant.
    pub time_of_day: Micros,
    /// Queries answered well in time, in thousandths of all.
    pub goodput: Option<u32>,
    /// 99th percentile of answer times.
    pub p99: Option<Micros>,
    /// How nodes stand, where that differs from the graph.
    pub standing: BTreeMap<NodeName, NodeStatus>,
}

/// Why nothing begins, or not all that could.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum Pause {
    /// The operator paused it.
    #[error("paused by the operator")]
    Operator,
    /// The operator holds it, and what was under way has ended.
    #[error("held by the operator; nothing is under way")]
    Held,
    /// A step failed as often as it may.
    #[error("step {0:?} failed: {1:?}")]
    StepFailed(StepId, Option<Cause>),
    /// Outside of its hours; so long until the next begin.
    #[error("outside of its hours for {0} us")]
    Hours(Micros),
    /// Goodput, in thousandths, and the least.
    #[error("goodput {0}, at least {1} thousandths")]
    Goodput(u32, u32),
    /// The 99th percentile and the most.
    #[error("p99 {0} us, at most {1} us")]
    P99(Micros, Micros),
    /// A bound is on a figure that nobody tells.
    #[error("nobody tells {0}")]
    Unmeasured(&'static str),
    /// A group's deadline has passed; what of it was under way comes to its end.
    #[error("the deadline of group {0} has passed")]
    Deadline(u16),
    /// A cold node may not be copied from or to.
    #[error("{0} is cold")]
    Cold(NodeName),
    /// A node leaves or was not heard of.
    #[error("{0} is leaving or was not heard of")]
    Unheard(NodeName),
    /// A copy lacks room, since what would have made it was left out.
    #[error("step {0:?}: {1}")]
    NoRoom(StepId, Short),
    /// A step cannot begin: the map is not as the plan expects it, or too few replicas would serve.
    #[error("step {0:?}: {1}")]
    Unready(StepId, Refused),
}

/// How a plan stands.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Stands {
    /// Steps run or begin.
    Works,
    /// A step is tried again then.
    Waits(Micros),
    /// Nothing begins.
    Paused(Pause),
    /// All has ended; these steps were left out or taken back.
    Ended(Vec<StepId>),
    /// All has ended after it was given up; these steps were left out or taken back.
    GivenUp(Vec<StepId>),
}

/// What is to be done.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Way {
    /// The step; of a copy, the node that is read and bytes a second.
    Forward(Option<(NodeName, u64)>),
    /// The way back of the step.
    Back(Back),
}

/// A step that may start now.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Start {
    /// Which.
    pub step: StepId,
    /// Its token.
    pub token: Token,
    /// What is to be done.
    pub way: Way,
}

impl Start {
    /// The entry that goes to the log before it is carried out.
    pub fn entry(&self) -> Entry {
        let (step, token) = (self.step, self.token);
        match &self.way {
            Way::Forward(copy) => Entry::Begun { step, token, copy: copy.clone() },
            Way::Back(_) => Entry::BackBegun { step, token },
        }
    }
}

/// What may start, all of it together, in this order.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Next {
    /// What may start.
    pub start: Vec<Start>,
    /// Copies that run and transfer nothing for now.
    pub still: Vec<StepId>,
    /// How it stands.
    pub stands: Stands,
    /// Copies that wait though all before them ended, with the bound that they wait for.
    pub waits: Vec<(StepId, Short)>,
}

impl Progress {
    /// What may start now. Nothing is begun by asking: each start's entry goes through the log first.
    pub fn next(&self, now: Micros, seen: &Seen) -> Next {
        let mut trial = self.clone();
        let mut next =
            Next { start: Vec::new(), still: Vec::new(), stands: Stands::Works, waits: Vec::new() };
        // The way back stands still for nothing: it makes room and lowers the load.
        for id in self.ids().rev() {
            let due = !matches!(self.slots[id.0 as usize].state, StepState::BackFailed(until) if until > now);
            if due && self.stopped != Some(id) && self.may_undo(id).is_ok() {
                begin(&mut trial, &mut next, id, Way::Back(self.step(id).back()));
            }
        }
        let quiet = self.quiet(seen);
        let failed = self.stopped.map(|step| Pause::StepFailed(step, self.slots[step.0 as usize].cause));
        let pause = failed.or_else(|| quiet.clone());
        let mut blocked = None;
        if pause.is_none() {
            let groups = &self.graph.groups;
            let key = |id: &StepId| {
                let group = self.graph.steps[id.0 as usize].group;
                (Reverse(groups[usize::from(group)].priority), group, *id)
            };
            let open = |id: &StepId| match self.slots[id.0 as usize].state {
                StepState::Waiting => true,
                StepState::Failed(until) => until <= now,
                _ => false,
            };
            let mut ids: Vec<StepId> = self.ids().filter(open).collect();
            ids.sort_by_key(key);
            for id in ids {
                if let Err(pause) = offer(&mut trial, &mut next, id, now, seen) {
                    blocked = blocked.or(pause);
                }
            }
        }
        let runs = |slot: &Slot| matches!(slot.state, StepState::Running | StepState::GoingBack);
        let stands_still = |id: &StepId| {
            let copy = matches!(self.step(*id), Step::Copy { .. })
                && self.slots[id.0 as usize].state == StepState::Running;
            copy && (quiet.is_some() || self.cold_end(*id, seen).is_some())
        };
        next.still = self.ids().filter(stands_still).collect();
        let until = self.slots.iter().filter_map(|slot| match slot.state {
            StepState::Failed(until) | StepState::BackFailed(until) => Some(until),
            _ => None,
        });
        let until = until.filter(|until| *until > now).min();
        next.stands = if self.slots.iter().all(Slot::settled) {
            let left = self.ids().filter(|id| self.slots[id.0 as usize].state == StepState::Left).collect();
            if self.said == Said::Abort { Stands::GivenUp(left) } else { Stands::Ended(left) }
        } else if let Some(pause) = pause {
            Stands::Paused(pause)
        } else if !next.start.is_empty() || self.slots.iter().any(runs) {
            Stands::Works
        } else if let Some(until) = until {
            Stands::Waits(until)
        } else if self.said == Said::Hold && self.in_flight().next().is_none() {
            Stands::Paused(Pause::Held)
        } else {
            let lacks =
                next.waits.iter().min_by_key(|(_, short)| short).map(|(id, s)| Pause::NoRoom(*id, s.clone()));
            blocked.or(lacks).map_or(Stands::Works, Stands::Paused)
        };
        next
    }

    /// Why nothing at all begins, and copies stand still.
    fn quiet(&self, seen: &Seen) -> Option<Pause> {
        if self.said == Said::Pause {
            return Some(Pause::Operator);
        }
        let bounds = &self.graph.bounds;
        let time = seen.time_of_day % DAY;
        let open = |(from, to): &(Micros, Micros)| {
            if from < to { (*from..*to).contains(&time) } else { time >= *from || time < *to }
        };
        if !bounds.hours.is_empty() && !bounds.hours.iter().any(open) {
            let until = bounds.hours.iter().map(|(from, _)| (from + DAY - time) % DAY).min().unwrap_or(0);
            return Some(Pause::Hours(until));
        }
        match (bounds.goodput, seen.goodput) {
            (Some(_), None) => return Some(Pause::Unmeasured("goodput")),
            (Some(least), Some(seen)) if seen < least => return Some(Pause::Goodput(seen, least)),
            _ => {}
        }
        match (bounds.p99, seen.p99) {
            (Some(_), None) => Some(Pause::Unmeasured("p99")),
            (Some(most), Some(seen)) if seen > most => Some(Pause::P99(seen, most)),
            _ => None,
        }
    }

    fn standing(&self, node: &NodeName, seen: &Seen) -> NodeStatus {
        let known = self.graph.nodes.get(node).map_or(NodeStatus::Unreachable, |n| n.status);
        seen.standing.get(node).copied().unwrap_or(known)
    }

    /// Why a node may not be copied from, or to.
    fn kept_off(&self, node: &NodeName, to: bool, seen: &Seen) -> Option<Pause> {
        let bounds = &self.graph.bounds;
        let cold = if to { bounds.cold_to } else { bounds.cold_from };
        match self.standing(node, seen) {
            NodeStatus::Cold if cold => Some(Pause::Cold(node.clone())),
            NodeStatus::Unreachable => Some(Pause::Unheard(node.clone())),
            NodeStatus::Leaving if to => Some(Pause::Unheard(node.clone())),
            _ => None,
        }
    }

    /// Why a copy that runs may not go on for now.
    fn cold_end(&self, id: StepId, seen: &Seen) -> Option<Pause> {
        let Step::Copy { to, .. } = self.step(id) else { return None };
        let (from, _) = self.slots[id.0 as usize].copy.as_ref()?;
        self.kept_off(from, false, seen).or_else(|| self.kept_off(to, true, seen))
    }
}

fn begin(trial: &mut Progress, next: &mut Next, step: StepId, way: Way) {
    let start = Start { step, token: Token(trial.last.0 + 1), way };
    // What the log would refuse is not offered.
    if trial.apply(&start.entry()).is_ok() {
        next.start.push(start);
    }
}

/// Offers a step, if it may begin beside those that are offered. An error is what it waits for, if that is none of the
/// steps before it.
fn offer(
    trial: &mut Progress,
    next: &mut Next,
    id: StepId,
    now: Micros,
    seen: &Seen,
) -> Result<(), Option<Pause>> {
    match trial.may_begin(id) {
        Ok(()) => {}
        Err(refused @ (Refused::Unmet(_) | Refused::Service(..))) => {
            return Err(Some(Pause::Unready(id, refused)));
        }
        Err(_) => return Err(None),
    }
    let Step::Copy { range, from: planned, to, .. } = trial.step(id).clone() else {
        begin(trial, next, id, Way::Forward(None));
        return Ok(());
    };
    let group = trial.graph.steps[id.0 as usize].group;
    let deadline = trial.graph.groups[usize::from(group)].deadline;
    if deadline.is_some_and(|d| now > trial.since.saturating_add(d))
        && trial.slots[id.0 as usize].state == StepState::Waiting
    {
        return Err(Some(Pause::Deadline(group)));
    }
    if let Some(pause) = trial.kept_off(&to, true, seen) {
        return Err(Some(pause));
    }
    let Ok(held) = exact(&trial.map, &range) else { return Err(None) };
    let tried = &trial.slots[id.0 as usize].tried;
    let mut sources: Vec<NodeName> = held.replicas.iter().filter(|n| !tried.contains(*n)).cloned().collect();
    sources.sort_by_key(|n| (*n != planned, trial.graph.zone(n) != trial.graph.zone(&to), n.clone()));
    let (mut why, mut waits) = (None, None);
    for from in sources {
        if let Some(pause) = trial.kept_off(&from, false, seen) {
            why = why.or(Some(pause));
            continue;
        }
        let asked = Asked { from: &from, to: &to, takes: trial.takes(id) };
        match trial.ledger.admits(&trial.graph, asked).and_then(|rate| trial.keeps(id).map(|()| rate)) {
            Ok(rate) => {
                begin(trial, next, id, Way::Forward(Some((from, rate))));
                return Ok(());
            }
            Err(short) => waits = waits.or(Some(short)),
        }
    }
    match waits {
        Some(short) => {
            next.waits.push((id, short));
            Err(None)
        }
        None => Err(why),
    }
}
