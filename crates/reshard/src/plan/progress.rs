//! The state of a plan that runs. It follows from its log alone: an entry is applied or refused with the cause, and any
//! prefix of a log gives one state. An entry that is told twice changes nothing.

use super::entry::*;
use super::goals::Then;
use super::graph::{Graph, Planned};
use super::room::{Asked, Ledger, Short};
use super::step::{Back, Step, StepId, exact};
use plover_model::time::Micros;
use plover_ranges::{NodeName, RangeMap};
use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

/// A plan that runs.
#[derive(Clone, Debug, PartialEq)]
pub struct Progress {
    pub(super) graph: Arc<Graph>,
    pub(super) map: Arc<RangeMap>,
    pub(super) slots: Vec<Slot>,
    pub(super) ledger: Ledger,
    pub(super) since: Micros,
    pub(super) said: Said,
    pub(super) last: Token,
    /// The step that failed for good under a group that pauses.
    pub(super) stopped: Option<StepId>,
    /// Groups that went back.
    pub(super) went_back: BTreeSet<u16>,
    /// Steps that need each step.
    pub(super) followers: Arc<Vec<Vec<StepId>>>,
    /// Copies to a node and drops at it, in order.
    pub(super) touching: Arc<BTreeMap<NodeName, Vec<StepId>>>,
}

impl Progress {
    /// The state that a log's first entry gives.
    pub fn open(entry: &Entry) -> Result<Progress, Refused> {
        let Entry::Opened { at, graph } = entry else { return Err(Refused::NotOpen) };
        Progress::with(graph, *at)
    }

    /// The state that a log gives; an error has the place of the entry that is refused.
    pub fn replay<'e>(log: impl IntoIterator<Item = &'e Entry>) -> Result<Progress, (usize, Refused)> {
        let mut log = log.into_iter();
        let first = log.next().ok_or((0, Refused::NotOpen))?;
        let mut progress = Progress::open(first).map_err(|refused| (0, refused))?;
        for (n, entry) in log.enumerate() {
            progress.apply(entry).map_err(|refused| (n + 1, refused))?;
        }
        Ok(progress)
    }

    pub(super) fn with(graph: &Graph, since: Micros) -> Result<Progress, Refused> {
        if !graph.sound() {
            return Err(Refused::Unsound);
        }
        let mut followers = vec![Vec::new(); graph.steps.len()];
        let mut touching: BTreeMap<NodeName, Vec<StepId>> = BTreeMap::new();
        for (n, planned) in graph.steps.iter().enumerate() {
            let id = StepId(n as u32);
            for need in &planned.needs {
                followers[need.0 as usize].push(id);
            }
            if let Step::Copy { to: node, .. } | Step::Drop { node, .. } = &planned.step {
                touching.entry(node.clone()).or_default().push(id);
            }
        }
        Ok(Progress {
            map: Arc::new(graph.map.clone()),
            slots: vec![Slot::new(); graph.steps.len()],
            ledger: Ledger::new(graph),
            since,
            said: Said::Go,
            last: Token(0),
            stopped: None,
            went_back: BTreeSet::new(),
            followers: Arc::new(followers),
            touching: Arc::new(touching),
            graph: Arc::new(graph.clone()),
        })
    }

    /// Its graph.
    pub fn graph(&self) -> &Graph {
        &self.graph
    }

    /// The map by now.
    pub fn map(&self) -> &RangeMap {
        &self.map
    }

    /// What is in use.
    pub fn ledger(&self) -> &Ledger {
        &self.ledger
    }

    /// All steps, by their place in the graph.
    pub fn slots(&self) -> &[Slot] {
        &self.slots
    }

    /// The last token that was given.
    pub fn last(&self) -> Token {
        self.last
    }

    /// Applies the next entry of the log. One that is refused changes nothing.
    pub fn apply(&mut self, entry: &Entry) -> Result<(), Refused> {
        match entry {
            Entry::Opened { .. } => return Err(Refused::Open),
            Entry::Begun { step, token, copy } => self.begun(*step, *token, copy.as_ref())?,
            Entry::Ended { step, token } => self.ended(*step, *token)?,
            Entry::Failed { step, token, at, cause } => self.failed(*step, *token, *at, *cause)?,
            Entry::BackBegun { step, token } => self.back_begun(*step, *token)?,
            Entry::Undone { step, token } => self.undone(*step, *token)?,
            Entry::Paused | Entry::Held if self.said == Said::Abort => {
                return Err(Refused::Said(Said::Abort));
            }
            Entry::Paused => self.said = Said::Pause,
            Entry::Held => self.said = Said::Hold,
            Entry::Resumed => self.resumed(),
            Entry::Aborted => self.aborted(),
            Entry::Amended { at, graph } => self.amended(graph, *at)?,
        }
        self.settle();
        Ok(())
    }

    pub(super) fn slot(&self, step: StepId) -> Result<&Slot, Refused> {
        self.slots.get(step.0 as usize).ok_or(Refused::NoStep(step))
    }

    pub(super) fn step(&self, step: StepId) -> &Step {
        &self.graph.steps[step.0 as usize].step
    }

    pub(super) fn group_of(&self, step: StepId) -> u16 {
        self.graph.steps[step.0 as usize].group
    }

    pub(super) fn ids(&self) -> impl DoubleEndedIterator<Item = StepId> + use<> {
        (0..self.slots.len() as u32).map(StepId)
    }

    pub(super) fn of_group(&self, group: u16) -> impl Iterator<Item = StepId> + '_ {
        self.ids().filter(move |id| self.group_of(*id) == group)
    }

    /// Whether a step may begin now, rates and slots of copies aside.
    pub(super) fn may_begin(&self, id: StepId) -> Result<(), Refused> {
        let slot = self.slot(id)?;
        if slot.back || !matches!(slot.state, StepState::Waiting | StepState::Failed(_)) {
            return Err(Refused::State(id, slot.state));
        }
        if let Some(step) = self.stopped {
            return Err(Refused::Stopped(step));
        }
        let planned = &self.graph.steps[id.0 as usize];
        let group = &self.graph.groups[usize::from(planned.group)];
        let under_way = || slot.state != StepState::Waiting || self.under_way().contains(&id);
        match self.said {
            Said::Go => {}
            Said::Pause => return Err(Refused::Said(Said::Pause)),
            Said::Hold | Said::Abort if !under_way() => return Err(Refused::Said(self.said)),
            Said::Hold | Said::Abort => {}
        }
        if let Some(need) =
            planned.needs.iter().find(|need| self.slots[need.0 as usize].state != StepState::Ended)
        {
            return Err(Refused::Needs(*need));
        }
        if let Some(other) =
            planned.awaits.iter().find(|g| !self.of_group(**g).all(|id| self.slots[id.0 as usize].settled()))
        {
            return Err(Refused::Group(*other));
        }
        if group.whole && matches!(planned.step, Step::Drop { .. }) {
            let open = |id: &StepId| {
                !matches!(self.step(*id), Step::Drop { .. }) && !self.slots[id.0 as usize].settled()
            };
            if let Some(open) = self.of_group(planned.group).find(open) {
                return Err(Refused::Needs(open));
            }
        }
        planned.step.ready(&self.map)?;
        if let Step::Switch { range, add: None, remove: Some(_) } = &planned.step {
            let left = exact(&self.map, range)?.replicas.len() - 1;
            if left < self.graph.bounds.least_in_service as usize {
                return Err(Refused::Service(range.to_string(), left));
            }
        }
        Ok(())
    }

    /// Steps of moves and whole groups that have begun and not come to their end.
    pub fn in_flight(&self) -> impl Iterator<Item = StepId> + '_ {
        let begun = |slot: &Slot| !matches!(slot.state, StepState::Waiting | StepState::Left);
        let steps = || self.graph.steps.iter().zip(&self.slots);
        let whole = |planned: &Planned| self.graph.groups[usize::from(planned.group)].whole;
        let (mut chains, mut groups) = (BTreeSet::new(), BTreeSet::new());
        for (planned, _) in steps().filter(|(_, slot)| begun(slot)) {
            chains.extend(planned.chain);
            groups.extend(whole(planned).then_some(planned.group));
        }
        let moves = move |planned: &Planned| {
            groups.contains(&planned.group) || planned.chain.is_some_and(|chain| chains.contains(&chain))
        };
        let open = self.ids().zip(steps()).filter(|(_, (_, slot))| !slot.settled());
        open.filter(move |(_, (planned, slot))| begun(slot) || moves(planned)).map(|(id, _)| id)
    }

    /// Those, and all that they need to come to their end.
    fn under_way(&self) -> BTreeSet<StepId> {
        let mut all = BTreeSet::new();
        let mut rest: Vec<StepId> = self.in_flight().collect();
        while let Some(id) = rest.pop() {
            if !all.insert(id) {
                continue;
            }
            let planned = &self.graph.steps[id.0 as usize];
            rest.extend(planned.needs.iter().filter(|n| !self.slots[n.0 as usize].settled()));
            if self.slots[id.0 as usize].state == StepState::Waiting {
                let open = |id: &StepId| !all.contains(id) && !self.slots[id.0 as usize].settled();
                rest.extend(planned.awaits.iter().flat_map(|g| self.of_group(*g)).filter(open));
            }
        }
        all
    }

    /// What a copy takes that is not yet taken.
    pub(super) fn takes(&self, id: StepId) -> (u64, u64) {
        match self.step(id) {
            Step::Copy { bytes, memory, .. } if !self.slots[id.0 as usize].holds => (*bytes, *memory),
            _ => (0, 0),
        }
    }

    /// Whether what comes earlier in the order still has its room if this copy begins now. Where it had none before,
    /// it may not be worse.
    pub(super) fn keeps(&self, id: StepId) -> Result<(), Short> {
        let Step::Copy { to, .. } = self.step(id) else { return Ok(()) };
        let takes = self.takes(id);
        let least = |now: bool| {
            let left = self.ledger.left(&self.graph, to);
            let less = |left: (i128, i128), takes: (u64, u64)| {
                (left.0 - i128::from(takes.0), left.1 - i128::from(takes.1))
            };
            let mut left = if now { less(left, takes) } else { left };
            let mut least = (0, 0);
            for other in self.touching.get(to).into_iter().flatten() {
                let slot = &self.slots[other.0 as usize];
                match self.step(*other) {
                    Step::Copy { .. } if slot.state == StepState::Waiting && !(now && *other == id) => {
                        left = less(left, self.takes(*other));
                        least = (left.0.min(least.0), left.1.min(least.1));
                    }
                    Step::Drop { bytes, memory, .. } if !slot.settled() => {
                        left = (left.0 + i128::from(*bytes), left.1 + i128::from(*memory));
                    }
                    _ => {}
                }
            }
            least
        };
        let (with, without) = (least(true), least(false));
        if with.0 >= without.0 && with.1 >= without.1 { Ok(()) } else { Err(Short::Kept(to.clone())) }
    }

    fn fresh(&self, token: Token) -> Result<(), Refused> {
        if token > self.last { Ok(()) } else { Err(Refused::Token(token, self.last)) }
    }

    fn begun(&mut self, id: StepId, token: Token, copy: Option<&(NodeName, u64)>) -> Result<(), Refused> {
        let slot = self.slot(id)?;
        if slot.state == StepState::Running && slot.token == token && slot.copy.as_ref() == copy {
            return Ok(());
        }
        self.may_begin(id)?;
        self.fresh(token)?;
        let step = self.step(id).clone();
        match (&step, copy) {
            (Step::Copy { range, to, .. }, Some((from, rate))) => {
                let held = exact(&self.map, range)?;
                if !held.replicas.contains(from) || slot.tried.contains(from) {
                    return Err(Refused::Source(id));
                }
                let asked = Asked { from, to, takes: self.takes(id) };
                let most = self.ledger.admits(&self.graph, asked)?;
                if *rate == 0 || *rate > most {
                    return Err(Short::Rate("its rate", rate.to_string()).into());
                }
                self.keeps(id)?;
                let graph = self.graph.clone();
                self.ledger.begin(&graph, asked, *rate);
            }
            (Step::Copy { .. }, None) | (_, Some(_)) => return Err(Refused::Source(id)),
            _ => {}
        }
        self.last = token;
        let slot = &mut self.slots[id.0 as usize];
        slot.state = StepState::Running;
        slot.token = token;
        slot.holds |= matches!(step, Step::Copy { .. });
        slot.copy = copy.cloned();
        Ok(())
    }

    /// The step of this token that runs, or whether the entry was told before.
    fn running(
        &self,
        id: StepId,
        token: Token,
        runs: StepState,
        told: impl Fn(&Slot) -> bool,
    ) -> Result<bool, Refused> {
        let slot = self.slot(id)?;
        if slot.token != token {
            return Err(Refused::Token(token, slot.token));
        }
        if slot.state == runs {
            return Ok(true);
        }
        if told(slot) { Ok(false) } else { Err(Refused::State(id, slot.state)) }
    }

    /// A copy gives back its slots and bytes a second.
    fn rest(&mut self, id: StepId) {
        let step = self.step(id).clone();
        if let (Step::Copy { to, .. }, Some((from, rate))) = (&step, self.slots[id.0 as usize].copy.clone()) {
            let graph = self.graph.clone();
            self.ledger.end(&graph, Asked { from: &from, to, takes: (0, 0) }, rate);
        }
    }

    fn ended(&mut self, id: StepId, token: Token) -> Result<(), Refused> {
        if !self.running(id, token, StepState::Running, |slot| slot.state == StepState::Ended)? {
            return Ok(());
        }
        let step = self.step(id).clone();
        if matches!(step, Step::Switch { .. } | Step::Split { .. } | Step::Merge { .. }) {
            self.map = Arc::new(step.applied(&self.map)?);
        }
        self.rest(id);
        if let Step::Drop { node, bytes, memory, .. } = &step {
            self.ledger.free(node, (*bytes, *memory));
        }
        self.slots[id.0 as usize].state = StepState::Ended;
        Ok(())
    }

    fn failed(&mut self, id: StepId, token: Token, at: Micros, cause: Cause) -> Result<(), Refused> {
        let slot = self.slot(id)?;
        let back = matches!(slot.state, StepState::GoingBack | StepState::BackFailed(_));
        let told = |slot: &Slot| matches!(slot.state, StepState::Failed(_) | StepState::BackFailed(_));
        let runs = if back { StepState::GoingBack } else { StepState::Running };
        if !self.running(id, token, runs, told)? {
            return Ok(());
        }
        if !back {
            self.rest(id);
        }
        let group = self.graph.groups[usize::from(self.group_of(id))].clone();
        let slot = &mut self.slots[id.0 as usize];
        slot.tries += 1;
        slot.cause = Some(cause);
        let until = at.saturating_add(group.wait);
        slot.state = if back { StepState::BackFailed(until) } else { StepState::Failed(until) };
        if slot.tries < group.tries || (slot.back && !back) {
            return Ok(());
        }
        match group.then {
            _ if back => self.stopped = Some(id),
            Then::Pause => self.stopped = Some(id),
            Then::Round => self.round(id, at),
            Then::Back if self.may_go_back(self.group_of(id)) => self.take_back(&[id]),
            Then::Back => self.stopped = Some(id),
        }
        Ok(())
    }

    /// Whether the way back of a step may begin.
    pub(super) fn may_undo(&self, id: StepId) -> Result<(), Refused> {
        let slot = self.slot(id)?;
        let state = matches!(slot.state, StepState::Ended | StepState::Failed(_) | StepState::BackFailed(_));
        if !slot.back || !state {
            return Err(Refused::State(id, slot.state));
        }
        let open = |id: &&StepId| self.slots[id.0 as usize].state != StepState::Left;
        if let Some(open) = self.followers[id.0 as usize].iter().find(open) {
            return Err(Refused::Needs(*open));
        }
        match self.step(id).back() {
            Back::By(step) if !matches!(step, Step::Drop { .. }) => {
                Ok(step.applied(&self.map).map(|_| ())?)
            }
            Back::By(step) => Ok(step.ready(&self.map)?),
            Back::Nothing => Ok(()),
            Back::Never => Err(Refused::State(id, slot.state)),
        }
    }

    fn back_begun(&mut self, id: StepId, token: Token) -> Result<(), Refused> {
        let slot = self.slot(id)?;
        if slot.state == StepState::GoingBack && slot.token == token {
            return Ok(());
        }
        if self.stopped.is_some_and(|stopped| stopped == id) {
            return Err(Refused::Stopped(id));
        }
        self.may_undo(id)?;
        self.fresh(token)?;
        self.last = token;
        let slot = &mut self.slots[id.0 as usize];
        (slot.state, slot.token) = (StepState::GoingBack, token);
        Ok(())
    }

    fn undone(&mut self, id: StepId, token: Token) -> Result<(), Refused> {
        if !self.running(id, token, StepState::GoingBack, |slot| slot.state == StepState::Left)? {
            return Ok(());
        }
        match self.step(id).back() {
            Back::By(Step::Drop { node, bytes, memory, .. }) => self.ledger.free(&node, (bytes, memory)),
            Back::By(step) => self.map = Arc::new(step.applied(&self.map)?),
            Back::Nothing | Back::Never => {}
        }
        let slot = &mut self.slots[id.0 as usize];
        (slot.state, slot.back, slot.holds) = (StepState::Left, false, false);
        Ok(())
    }

    fn resumed(&mut self) {
        if self.said != Said::Abort {
            self.said = Said::Go;
        }
        if let Some(step) = self.stopped.take() {
            self.slots[step.0 as usize].tries = 0;
        }
    }

    fn amended(&mut self, graph: &Graph, at: Micros) -> Result<(), Refused> {
        if let Some(step) = self.in_flight().next() {
            return Err(Refused::UnderWay(step));
        }
        if graph.map != *self.map {
            return Err(Refused::OtherMap(graph.map.version().0, self.map.version().0));
        }
        let last = self.last;
        *self = Progress::with(graph, at)?;
        self.last = last;
        Ok(())
    }
}
