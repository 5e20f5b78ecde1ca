//! What is left out and what goes back: after failures, and when a plan is given up.

use super::entry::*;
use super::progress::Progress;
use super::step::{Back, Step, StepId, exact};
use plover_model::time::Micros;

impl Progress {
    /// Takes another holder to read, or leaves the move out.
    pub(super) fn round(&mut self, id: StepId, at: Micros) {
        if let (Step::Copy { range, .. }, Some((from, _))) =
            (self.step(id).clone(), self.slots[id.0 as usize].copy.clone())
        {
            let slot = &mut self.slots[id.0 as usize];
            slot.tried.insert(from);
            if exact(&self.map, &range).is_ok_and(|h| h.replicas.iter().any(|n| !slot.tried.contains(n))) {
                slot.tries = 0;
                slot.state = StepState::Failed(at);
                return;
            }
        }
        self.leave_out(id);
    }

    /// Takes back what its move did before the switch, and leaves out what needs it. A drop that fails is left alone.
    pub(super) fn leave_out(&mut self, id: StepId) {
        let chain = self.graph.steps[id.0 as usize].chain;
        let drop = matches!(self.step(id), Step::Drop { .. });
        let same = |other: &StepId| {
            *other == id || (!drop && chain.is_some() && self.graph.steps[other.0 as usize].chain == chain)
        };
        let steps: Vec<StepId> = self.ids().filter(same).collect();
        self.take_back(&steps);
    }

    /// Whether none of a group's drops has begun.
    pub(super) fn may_go_back(&self, group: u16) -> bool {
        let drop = |id: &StepId| matches!(self.step(*id), Step::Drop { .. });
        self.of_group(group).filter(drop).all(|id| self.slots[id.0 as usize].state == StepState::Waiting)
    }

    /// Marks steps to go back, or to be left out where they have not begun; and all that needs them. A group that is
    /// whole goes back wholly, and what comes after it is left out.
    pub(super) fn take_back(&mut self, steps: &[StepId]) {
        let mut steps = steps.to_vec();
        while let Some(id) = steps.pop() {
            let slot = &mut self.slots[id.0 as usize];
            match slot.state {
                StepState::Left => continue,
                StepState::Waiting => slot.state = StepState::Left,
                _ if slot.back => continue,
                _ => {
                    slot.back = true;
                    slot.tries = 0;
                }
            }
            steps.extend(self.followers[id.0 as usize].iter().copied());
            let group = self.group_of(id);
            if self.graph.groups[usize::from(group)].whole && self.went_back.insert(group) {
                steps.extend(self.of_group(group));
                steps.extend(self.ids().filter(|id| self.graph.steps[id.0 as usize].awaits.contains(&group)));
            }
        }
    }

    pub(super) fn aborted(&mut self) {
        if self.said == Said::Abort {
            return;
        }
        self.said = Said::Abort;
        self.stopped = None;
        for group in 0..self.graph.groups.len() as u16 {
            let steps: Vec<StepId> = self.of_group(group).collect();
            if self.graph.groups[usize::from(group)].whole {
                let open = steps.iter().any(|id| !self.slots[id.0 as usize].settled());
                if open && self.may_go_back(group) {
                    self.take_back(&steps);
                }
                continue;
            }
            for id in steps {
                let slot = &self.slots[id.0 as usize];
                let switch = matches!(self.step(id), Step::Switch { .. });
                // A move goes back as long as it has not switched; what waits for nothing under way is left out.
                match slot.state {
                    StepState::Waiting if !matches!(self.step(id), Step::Drop { .. }) => self.leave_out(id),
                    StepState::Failed(_) if !matches!(self.step(id), Step::Drop { .. }) => self.leave_out(id),
                    StepState::Running if switch => self.leave_out(id),
                    _ => {}
                }
            }
        }
    }

    /// Steps whose way back does nothing are taken back at once, those that need others first.
    pub(super) fn settle(&mut self) {
        for id in self.ids().rev() {
            let slot = &self.slots[id.0 as usize];
            if !slot.back {
                continue;
            }
            let nothing = match slot.state {
                StepState::Failed(_) => !matches!(self.step(id), Step::Copy { .. }),
                StepState::Ended => self.step(id).back() == Back::Nothing,
                _ => false,
            };
            let alone = self.followers[id.0 as usize]
                .iter()
                .all(|f| self.slots[f.0 as usize].state == StepState::Left);
            if nothing && alone {
                let slot = &mut self.slots[id.0 as usize];
                (slot.state, slot.back) = (StepState::Left, false);
            }
        }
    }
}
