//! Random days for the decisions: servers that slow down, fail, fall silent, drain and come back cold; queries of all kinds
//! of classes; lists, new settings, clients that leave, pauses. A day is a matter of its seed and its plan alone.
#![allow(dead_code)]

use brookbend::NewClass;
use brookbend::api::*;
use brookbend::view::OutcomeCounts;
use rand_pcg::Pcg64Mcg;
use rand_pcg::rand_core::{RngCore, SeedableRng};
use std::collections::BTreeMap;

/// What takes the events of a day.
pub trait Decides {
    fn on_batch(&mut self, now: Millis, events: Vec<Event>) -> Vec<Action>;
    fn reconfigure(&mut self, set: Settings, new_classes: &[NewClass]);
    fn end_by(&mut self, at: Millis);
    fn report_outcomes(&mut self, now: Millis, class: ClassIndex, reports: &[OutcomeCounts]);
    /// All that shows of what it knows.
    fn state(&self, now: Millis) -> String;
}

impl Decides for brookbend::Aggregator {
    fn on_batch(&mut self, now: Millis, events: Vec<Event>) -> Vec<Action> {
        self.on_batch(now, events)
    }
    fn reconfigure(&mut self, set: Settings, new_classes: &[NewClass]) {
        self.reconfigure(set, new_classes);
    }
    fn end_by(&mut self, at: Millis) {
        self.cap_deadlines(at);
    }
    fn report_outcomes(&mut self, now: Millis, class: ClassIndex, reports: &[OutcomeCounts]) {
        self.report_outcomes(now, class, reports);
    }
    fn state(&self, now: Millis) -> String {
        serde_json::to_string(&self.snapshot(now)).unwrap() + &format!("{:?}", self.views(now))
    }
}

/// What kind of day it is.
#[derive(Clone, Copy, Debug)]
pub struct Plan {
    pub seed: u64,
    pub steps: usize,
    /// Parts of a query, at least and at most.
    pub parts: (usize, usize),
    pub servers: usize,
    pub cells: usize,
    pub reach: usize,
    /// Queries a step.
    pub queries: f64,
    /// Share of attempts that end other than well.
    pub faults: f64,
    pub hedging: bool,
    pub cancel: bool,
    pub budget: bool,
    pub named: bool,
}

pub struct Chance(Pcg64Mcg);

impl Chance {
    pub fn new(seed: u64) -> Self {
        Chance(Pcg64Mcg::seed_from_u64(seed))
    }
    pub fn random(&mut self) -> f64 {
        (self.0.next_u64() >> 11) as f64 / (1u64 << 53) as f64
    }
    pub fn is(&mut self, share: f64) -> bool {
        self.random() < share
    }
    pub fn below(&mut self, n: usize) -> usize {
        ((self.random() * n as f64) as usize).min(n.saturating_sub(1))
    }
    pub fn within(&mut self, from: f64, to: f64) -> f64 {
        from + (to - from) * self.random()
    }
}

#[derive(Clone, Copy, PartialEq)]
enum Mood {
    Well,
    Slow,
    Errors,
    Full,
    Silent,
    Dead,
}

struct Node {
    member: Member,
    mood: Mood,
}

struct Open {
    id: RequestId,
    deadline: Millis,
    group: u64,
    parts: usize,
    two_step: bool,
}

/// A day that goes on.
pub struct Day {
    plan: Plan,
    chance: Chance,
    pub now: Millis,
    set: Settings,
    nodes: Vec<Node>,
    open: Vec<Open>,
    /// Attempts that are out, by when they end.
    out: Vec<(Millis, RequestId, u32, Outcome, Millis)>,
    sent: BTreeMap<RequestId, u32>,
    wake_at: Millis,
    next: u64,
    events: Vec<Event>,
    /// Actions so far.
    pub actions: usize,
}

fn class(semantics: Semantics, need: f64, floor: f64) -> Class {
    Class {
        aim: 100.0,
        give_up: 400.0,
        worth: 1.0,
        late_worth: 0.3,
        semantics,
        need,
        floor,
        partial_earns: 0.9,
        second_step: false,
    }
}

/// Classes of all kinds.
pub fn classes() -> Vec<Class> {
    let keyed = Semantics::Keyed { window: 60.0 };
    vec![
        class(Semantics::Safe, 1.0, 1.0),
        class(Semantics::Unsafe, 1.0, 1.0),
        class(keyed, 1.0, 0.7),
        Class { late_worth: 0.0, ..class(Semantics::Safe, 0.8, 0.8) },
        Class { partial_earns: 0.2, ..class(Semantics::Safe, 0.9, 0.5) },
        Class { late_worth: 0.95, aim: 60.0, ..class(Semantics::Safe, 1.0, 0.6) },
        Class { second_step: true, ..class(Semantics::Safe, 0.7, 0.4) },
        Class { second_step: true, floor: 1.0, late_worth: 0.0, ..class(keyed, 1.0, 1.0) },
        Class { give_up: 70.0, ..class(Semantics::Unsafe, 0.9, 0.6) },
    ]
}

pub fn settings(plan: &Plan) -> Settings {
    let budget = AttemptBudget { free_attempts: 5.0, per_request: 0.2, window: 150.0 };
    Settings {
        classes: classes(),
        tenants: vec![Tenant { quota_per_s: 50.0 }, Tenant { quota_per_s: 500.0 }],
        aggregators: 3,
        zone: Some(0),
        over_share_worth: 0.2,
        worth_by_work: plan.seed.is_multiple_of(2),
        clients_mark_retries: plan.seed.is_multiple_of(3),
        cells: plan.cells,
        reach: plan.reach,
        shards: plan.cells * 2,
        batch: 4,
        call_work: 2.0,
        max_attempts: 2 + (plan.seed % 4) as u32,
        hedging: plan.hedging,
        cancel: plan.cancel,
        max_retry_after: Some(50.0),
        tick: 5.0,
        list: if plan.seed.is_multiple_of(5) { ListSource::OnRequest } else { ListSource::Pushed },
        list_deadline: 1000.0,
        budget: plan.budget.then_some(budget),
        cold: ColdRule {
            initial_capacity: 0.2,
            warm_after: 1500.0,
            overload_factor: 2.0,
            overload_time: 300.0,
        },
    }
}

impl Day {
    pub fn new(plan: Plan) -> Self {
        let mut chance = Chance::new(plan.seed);
        let node = |n: usize| Member {
            node: NodeId(format!("n{n:05}").into()),
            cell: n % plan.cells,
            state: NodeState::Serving,
            zone: Some(n % 3),
            started: None,
        };
        let nodes = (0..plan.servers).map(|n| Node { member: node(n), mood: Mood::Well }).collect();
        let kind = if chance.is(0.8) { ListKind::Disk } else { ListKind::Changes };
        let mut day = Day {
            plan,
            chance,
            now: 1000.0,
            set: settings(&plan),
            nodes,
            open: Vec::new(),
            out: Vec::new(),
            sent: BTreeMap::new(),
            wake_at: f64::INFINITY,
            next: 0,
            events: Vec::new(),
            actions: 0,
        };
        let members = day.members();
        day.events.push(Event::List { kind, members });
        day
    }

    fn members(&self) -> Vec<Member> {
        self.nodes.iter().map(|n| n.member.clone()).collect()
    }

    fn part_id(&self, query: u64, part: usize) -> RequestId {
        match self.plan.named {
            true => RequestId::named(&format!("q{query:06}.{part}")),
            false => RequestId::Part(query, part as u32),
        }
    }

    fn query_id(&self, query: u64) -> RequestId {
        match self.plan.named {
            true => RequestId::named(&format!("q{query:06}")),
            false => RequestId::Query(query),
        }
    }

    fn parts(&mut self, group: u64, from: usize, n: usize) {
        let even = 1.0 / n as f64;
        let uneven = self.chance.is(0.3);
        // Now and then the weights add up to a limit exactly, but for the order in which they are added.
        let exact = self.chance.is(0.3);
        for i in from..from + n {
            let weight = match (uneven, exact) {
                (true, true) => 0.05 + 5e-5 * (self.chance.below(3) as f64 - 1.0),
                (true, false) => even * self.chance.within(0.2, 1.8),
                (false, true) => 0.1,
                (false, false) => even,
            };
            let shard = self.chance.below(self.set.shards.max(1));
            let hint = if self.chance.is(0.3) { Some(self.chance.within(0.1, 30.0)) } else { None };
            let id = self.part_id(group, i);
            self.events.push(Event::Part(Part { id, group, shard, weight, work_hint: hint }));
        }
    }

    /// A query of a class comes, or of any.
    pub fn query(&mut self, class: Option<usize>, parts: usize) {
        let class = class.unwrap_or_else(|| self.chance.below(self.set.classes.len()));
        self.next += 1;
        let (group, id) = (self.next, self.query_id(self.next));
        let give_up = self.set.classes[class].give_up;
        let again = self.chance.is(0.1);
        let patience = if again { give_up * self.chance.within(0.3, 0.9) } else { give_up };
        let deadline = self.now + if self.chance.is(0.1) { patience * 0.5 } else { patience };
        let max_attempts = if self.chance.is(0.1) { Some(self.chance.below(4) as u32) } else { None };
        let tenant = TenantIndex(self.chance.below(3));
        self.events.push(Event::Query(Query {
            id: id.clone(),
            group,
            class: ClassIndex(class),
            tenant,
            deadline,
            client_deadline: self.now + patience,
            max_attempts,
            is_retry: again,
        }));
        let now = if self.chance.is(0.03) { parts / 2 } else { parts };
        self.parts(group, 0, now);
        let two_step = self.set.classes[class].second_step;
        self.open.push(Open { id, deadline, group, parts: now, two_step });
    }

    fn moods(&mut self) {
        let n = self.chance.below(self.nodes.len());
        let moods = [Mood::Well, Mood::Well, Mood::Slow, Mood::Errors, Mood::Full, Mood::Silent, Mood::Dead];
        self.nodes[n].mood = moods[self.chance.below(moods.len())];
    }

    fn lists(&mut self) {
        let n = self.chance.below(self.nodes.len());
        let kind = self.chance.below(20);
        let (members, kind) = match kind {
            0 => (self.members(), ListKind::Complete),
            1 => (Vec::new(), ListKind::Error),
            2 => {
                // A cell goes, or comes.
                let state = if self.chance.is(0.4) { NodeState::Gone } else { NodeState::Serving };
                let cell = self.chance.below(self.plan.cells);
                let of = self.nodes.iter_mut().filter(|n| n.member.cell == cell);
                let changed = of.map(|n| {
                    n.member.state = state;
                    n.member.clone()
                });
                (changed.collect(), ListKind::Changes)
            }
            3 => {
                let name = format!("x{:05}", self.chance.below(40));
                let cell = self.chance.below(self.plan.cells + 1);
                let started = Some(self.now);
                let (node, state) = (NodeId(name.as_str().into()), NodeState::Serving);
                let member = Member { node, cell, state, zone: None, started };
                self.nodes.push(Node { member: member.clone(), mood: Mood::Well });
                (vec![member], ListKind::Changes)
            }
            4 if self.nodes.len() > 2 => {
                let mut gone = self.nodes.remove(n).member;
                gone.state = NodeState::Gone;
                (vec![gone], ListKind::Changes)
            }
            _ => {
                let state = [NodeState::Serving, NodeState::Serving, NodeState::Draining, NodeState::Gone]
                    [self.chance.below(4)];
                let started = if self.chance.is(0.5) { Some(self.now - 20.0) } else { None };
                let node = &mut self.nodes[n];
                (node.member.state, node.member.started) = (state, started.or(node.member.started));
                (vec![node.member.clone(); 1 + self.chance.below(2)], ListKind::Changes)
            }
        };
        self.events.push(Event::List { kind, members });
    }

    fn retuned(&mut self, who: &mut [&mut dyn Decides]) {
        let mut new_classes = Vec::new();
        match self.chance.below(7) {
            0 => self.set.hedging ^= true,
            1 => self.set.cancel ^= true,
            2 => self.set.max_attempts = 1 + self.chance.below(5) as u32,
            3 => self.set.reach = 1 + self.chance.below(self.plan.cells),
            4 => {
                let of = self.chance.below(self.set.classes.len());
                self.set.classes[of].floor = self.set.classes[of].need * self.chance.random();
                self.set.classes[of].aim = self.chance.within(50.0, 150.0);
            }
            5 if self.set.classes.len() < 12 => {
                let of = self.chance.below(self.set.classes.len());
                self.set.classes.push(self.set.classes[of].clone());
                let class = ClassIndex(self.set.classes.len() - 1);
                new_classes.push(NewClass { class, inherits_from: Some(ClassIndex(of)) });
            }
            _ => {
                let span = self.chance.within(50.0, 400.0);
                self.set.budget = Some(AttemptBudget {
                    free_attempts: 3.0,
                    per_request: self.chance.random(),
                    window: span,
                });
            }
        }
        who.iter_mut().for_each(|d| d.reconfigure(self.set.clone(), &new_classes));
    }

    /// How an attempt at a server will end, and after how long.
    fn fate(&mut self, node: &NodeId, within: Option<Millis>, give_up: Millis) -> (Outcome, Millis) {
        let usual = self.chance.within(2.0, 15.0);
        let mood = self.nodes.iter().find(|n| n.member.node == *node).map_or(Mood::Dead, |n| n.mood);
        let slow = usual + self.chance.within(30.0, 300.0);
        let odd = self.chance.is(self.plan.faults);
        let (outcome, after) = match mood {
            Mood::Well if odd => match self.chance.below(7) {
                0 => (Outcome::Error, usual),
                1 => (Outcome::Full, 1.0),
                2 => (Outcome::ConnectionLost, usual),
                3 => (Outcome::NoConnection, 1.0),
                4 => (Outcome::NotSent, 0.0),
                5 => (Outcome::TimedOut, f64::INFINITY),
                _ => (Outcome::Served, slow),
            },
            Mood::Well => (Outcome::Served, usual),
            Mood::Slow => (Outcome::Served, slow),
            Mood::Errors => (Outcome::Error, usual),
            Mood::Full => (Outcome::Full, 1.0),
            Mood::Silent => (Outcome::TimedOut, f64::INFINITY),
            Mood::Dead if odd => (Outcome::NoConnection, 1.0),
            Mood::Dead => (Outcome::ConnectionLost, usual),
        };
        let end = within.unwrap_or(f64::INFINITY).min(give_up - self.now).max(0.0);
        if after > end { (Outcome::TimedOut, end) } else { (outcome, after) }
    }

    fn carry_out(&mut self, actions: &[Action]) {
        self.actions += actions.len();
        for action in actions {
            match action {
                Action::Send { part, node, timeout: within } => {
                    let (outcome, after) = self.fate(node, *within, self.now + 400.0);
                    let attempt = self.sent.entry(part.clone()).or_default();
                    self.out.push((self.now + after, part.clone(), *attempt, outcome, self.now));
                    *attempt += 1;
                }
                Action::Cancel { part, attempt } => {
                    let called_off = self.out.iter_mut().find(|o| o.1 == *part && o.2 == *attempt);
                    if let Some(o) = called_off {
                        (o.0, o.3) = (self.now, Outcome::Cancelled);
                    }
                }
                Action::Answer { query, .. } => {
                    let Some(at) = self.open.iter().position(|o| o.id == *query) else { continue };
                    if self.open[at].two_step && self.chance.is(0.9) {
                        let (group, from) = (self.open[at].group, self.open[at].parts);
                        self.open[at].two_step = false;
                        let n = 1 + self.chance.below(6);
                        self.open[at].parts += n;
                        self.parts(group, from, n);
                    } else if !self.open[at].two_step {
                        self.open.remove(at);
                    }
                }
                Action::Refuse { query, .. } | Action::Fail { query } => {
                    self.open.retain(|o| o.id != *query);
                }
                Action::Wake { after } => self.wake_at = self.now + after,
                Action::Watch => {}
            }
        }
    }

    /// What has ended by now is told, mostly at once.
    fn ends(&mut self) {
        let now = self.now;
        let mut later = Vec::new();
        for (at, part, attempt, outcome, sent) in std::mem::take(&mut self.out) {
            if at > now || self.chance.is(0.05) {
                later.push((at, part, attempt, outcome, sent));
                continue;
            }
            let load = if self.chance.is(0.3) { Some(self.chance.within(0.0, 20.0).floor()) } else { None };
            if self.chance.is(0.006) {
                self.events.push(Event::Unreachable(part.clone()));
            }
            let event = Event::Ended { part, attempt, outcome, elapsed: now - sent, load };
            if self.chance.is(0.004) {
                self.events.push(event.clone());
            }
            self.events.push(event);
        }
        self.out = later;
    }

    /// One batch for all; what each did must be the same. None: it was.
    pub fn batch(&mut self, who: &mut [&mut dyn Decides]) -> Option<String> {
        self.ends();
        if self.now >= self.wake_at {
            self.wake_at = f64::INFINITY;
            self.events.push(Event::Woken);
        }
        let events = std::mem::take(&mut self.events);
        let did: Vec<Vec<Action>> = who.iter_mut().map(|d| d.on_batch(self.now, events.clone())).collect();
        if did.iter().any(|d| *d != did[0]) {
            return Some(format!("at {}: {did:#?}", self.now));
        }
        self.carry_out(&did[0]);
        None
    }

    /// One step of the day: something happens, and a batch.
    pub fn step(&mut self, who: &mut [&mut dyn Decides]) -> Option<String> {
        self.now += match self.chance.below(40) {
            0 => self.chance.within(50.0, 300.0),
            1..10 => 5.0,
            _ => self.chance.within(0.0, 4.0),
        };
        let mut queries = self.plan.queries;
        while self.chance.is(queries) {
            let (least, most) = self.plan.parts;
            let parts = least + self.chance.below(most - least + 1);
            self.query(None, parts);
            queries -= 1.0;
        }
        if self.chance.is(0.05) {
            self.moods();
        }
        if self.chance.is(0.05) {
            self.lists();
        }
        if self.chance.is(0.02) && !self.open.is_empty() {
            let gone = self.open.remove(self.chance.below(self.open.len()));
            self.events.push(Event::ClientGone(gone.id));
        }
        if self.chance.is(0.01) {
            self.retuned(who);
        }
        if self.chance.is(0.003) {
            let at = self.now + self.chance.within(0.0, 100.0);
            self.open.iter_mut().for_each(|o| o.deadline = o.deadline.min(at));
            who.iter_mut().for_each(|d| d.end_by(at));
        }
        if self.chance.is(0.01) {
            let node = self.nodes[self.chance.below(self.nodes.len())].member.node.clone();
            let (served, errors, lost) = [(9, 0, 0), (0, 9, 0), (0, 0, 9), (3, 3, 3)][self.chance.below(4)];
            let bulk = OutcomeCounts { node, served, errors, lost, elapsed: Some(8.0) };
            who.iter_mut()
                .for_each(|d| d.report_outcomes(self.now, ClassIndex(0), std::slice::from_ref(&bulk)));
        }
        self.batch(who)
    }

    /// A whole day; what went otherwise, if anything did.
    pub fn play(plan: Plan, who: &mut [&mut dyn Decides]) -> Result<usize, String> {
        let mut day = Day::new(plan);
        for n in 0..plan.steps {
            if let Some(other) = day.step(who) {
                return Err(format!("step {n}, {other}"));
            }
            if n % 50 == 49 || n + 1 == plan.steps {
                let states: Vec<String> = who.iter().map(|d| d.state(day.now)).collect();
                if states.iter().any(|s| *s != states[0]) {
                    return Err(format!("step {n}: they know other things: {states:#?}"));
                }
            }
        }
        Ok(day.actions)
    }
}
