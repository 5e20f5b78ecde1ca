//! Random simulated days for the decision module: servers that slow down, fail, fall silent, drain and come
//! back cold; queries of all kinds of classes; lists, new settings, clients that disconnect, pauses. A day
//! depends on its plan alone, which includes the seed.
#![allow(dead_code)]

use brookbend::NewClass;
use brookbend::api::*;
use brookbend::view::OutcomeCounts;
use rand_pcg::Pcg64Mcg;
use rand_pcg::rand_core::{RngCore, SeedableRng};
use std::collections::BTreeMap;

/// A decision module under test, which receives the events of a day.
pub trait DecisionModule {
    fn on_batch(&mut self, now: Millis, events: Vec<Event>) -> Vec<Action>;
    fn reconfigure(&mut self, settings: Settings, new_classes: &[NewClass]);
    fn end_by(&mut self, at: Millis);
    fn report_outcomes(&mut self, now: Millis, class: ClassIndex, reports: &[OutcomeCounts]);
    /// Everything that can be observed of what it has learned, as text.
    fn state(&self, now: Millis) -> String;
}

impl DecisionModule for brookbend::Aggregator {
    fn on_batch(&mut self, now: Millis, events: Vec<Event>) -> Vec<Action> {
        self.on_batch(now, events)
    }
    fn reconfigure(&mut self, settings: Settings, new_classes: &[NewClass]) {
        self.reconfigure(settings, new_classes);
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

/// Parameters of a day.
#[derive(Clone, Copy, Debug)]
pub struct Plan {
    pub seed: u64,
    pub steps: usize,
    /// Minimum and maximum number of parts of a query.
    pub parts: (usize, usize),
    pub servers: usize,
    pub cells: usize,
    pub reach: usize,
    /// Mean number of queries that arrive in a step.
    pub queries: f64,
    /// Share of attempts at a healthy server that fail or are slow.
    pub faults: f64,
    pub hedging: bool,
    pub cancel: bool,
    pub budget: bool,
    /// Whether the ids of queries and parts are names instead of numbers.
    pub named: bool,
}

/// Seeded random numbers.
pub struct Random(Pcg64Mcg);

impl Random {
    pub fn new(seed: u64) -> Self {
        Random(Pcg64Mcg::seed_from_u64(seed))
    }
    /// Uniform from 0 to below 1.
    pub fn uniform(&mut self) -> f64 {
        (self.0.next_u64() >> 11) as f64 / (1u64 << 53) as f64
    }
    /// True with this probability.
    pub fn is(&mut self, share: f64) -> bool {
        self.uniform() < share
    }
    /// Uniform whole number below `n`; 0 if `n` is 0.
    pub fn below(&mut self, n: usize) -> usize {
        ((self.uniform() * n as f64) as usize).min(n.saturating_sub(1))
    }
    /// Uniform from `from` to below `to`.
    pub fn within(&mut self, from: f64, to: f64) -> f64 {
        from + (to - from) * self.uniform()
    }
}

/// How a simulated server treats attempts.
#[derive(Clone, Copy, PartialEq)]
enum Health {
    Healthy,
    Slow,
    Errors,
    Full,
    Silent,
    Dead,
}

struct Node {
    member: Member,
    health: Health,
}

/// An open query.
struct OpenQuery {
    id: RequestId,
    deadline: Millis,
    group: u64,
    parts: usize,
    two_step: bool,
}

/// A simulated day in progress.
pub struct Day {
    plan: Plan,
    random: Random,
    pub now: Millis,
    settings: Settings,
    nodes: Vec<Node>,
    open: Vec<OpenQuery>,
    /// Attempts in flight: when each ends, its part and number, its outcome, and when it was sent.
    in_flight: Vec<(Millis, RequestId, u32, Outcome, Millis)>,
    sent: BTreeMap<RequestId, u32>,
    wake_at: Millis,
    next: u64,
    events: Vec<Event>,
    /// Number of actions so far.
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

/// Classes that differ in semantics, need, floor, worth of late and partial answers, and number of steps.
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
        let mut random = Random::new(plan.seed);
        let node = |n: usize| Member {
            node: NodeId(format!("n{n:05}").into()),
            cell: n % plan.cells,
            state: NodeState::Serving,
            zone: Some(n % 3),
            started: None,
        };
        let nodes = (0..plan.servers).map(|n| Node { member: node(n), health: Health::Healthy }).collect();
        let kind = if random.is(0.8) { ListKind::Disk } else { ListKind::Changes };
        let mut day = Day {
            plan,
            random,
            now: 1000.0,
            settings: settings(&plan),
            nodes,
            open: Vec::new(),
            in_flight: Vec::new(),
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

    /// Id of a part; zero-padded names sort in the order of the queries' numbers.
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

    /// Adds the arrival of `count` parts of a query, numbered from `from`.
    fn add_parts(&mut self, group: u64, from: usize, count: usize) {
        let even = 1.0 / count as f64;
        let uneven = self.random.is(0.3);
        // Sometimes the weights add up exactly to a limit, except for rounding, which depends on the order of
        // addition.
        let exact = self.random.is(0.3);
        for i in from..from + count {
            let weight = match (uneven, exact) {
                (true, true) => 0.05 + 5e-5 * (self.random.below(3) as f64 - 1.0),
                (true, false) => even * self.random.within(0.2, 1.8),
                (false, true) => 0.1,
                (false, false) => even,
            };
            let shard = self.random.below(self.settings.shards.max(1));
            let hint = if self.random.is(0.3) { Some(self.random.within(0.1, 30.0)) } else { None };
            let id = self.part_id(group, i);
            self.events.push(Event::Part(Part { id, group, shard, weight, work_hint: hint }));
        }
    }

    /// Adds the arrival of a query of this class, or of a random class if `None`.
    pub fn query(&mut self, class: Option<usize>, parts: usize) {
        let class = class.unwrap_or_else(|| self.random.below(self.settings.classes.len()));
        self.next += 1;
        let (group, id) = (self.next, self.query_id(self.next));
        let give_up = self.settings.classes[class].give_up;
        let is_retry = self.random.is(0.1);
        let client_timeout = if is_retry { give_up * self.random.within(0.3, 0.9) } else { give_up };
        let deadline = self.now + if self.random.is(0.1) { client_timeout * 0.5 } else { client_timeout };
        let max_attempts = if self.random.is(0.1) { Some(self.random.below(4) as u32) } else { None };
        let tenant = TenantIndex(self.random.below(3));
        self.events.push(Event::Query(Query {
            id: id.clone(),
            group,
            class: ClassIndex(class),
            tenant,
            deadline,
            client_deadline: self.now + client_timeout,
            max_attempts,
            is_retry,
        }));
        let arrived = if self.random.is(0.03) { parts / 2 } else { parts };
        self.add_parts(group, 0, arrived);
        let two_step = self.settings.classes[class].second_step;
        self.open.push(OpenQuery { id, deadline, group, parts: arrived, two_step });
    }

    /// Gives a random server a random health.
    fn change_health(&mut self) {
        let n = self.random.below(self.nodes.len());
        let states = [
            Health::Healthy,
            Health::Healthy,
            Health::Slow,
            Health::Errors,
            Health::Full,
            Health::Silent,
            Health::Dead,
        ];
        self.nodes[n].health = states[self.random.below(states.len())];
    }

    /// Adds an update of the list of servers.
    fn update_list(&mut self) {
        let n = self.random.below(self.nodes.len());
        let kind = self.random.below(20);
        let (members, kind) = match kind {
            0 => (self.members(), ListKind::Complete),
            1 => (Vec::new(), ListKind::Error),
            2 => {
                // All servers of a cell leave, or return.
                let state = if self.random.is(0.4) { NodeState::Gone } else { NodeState::Serving };
                let cell = self.random.below(self.plan.cells);
                let in_cell = self.nodes.iter_mut().filter(|n| n.member.cell == cell);
                let changed = in_cell.map(|n| {
                    n.member.state = state;
                    n.member.clone()
                });
                (changed.collect(), ListKind::Changes)
            }
            3 => {
                let name = format!("x{:05}", self.random.below(40));
                let cell = self.random.below(self.plan.cells + 1);
                let started = Some(self.now);
                let (node, state) = (NodeId(name.as_str().into()), NodeState::Serving);
                let member = Member { node, cell, state, zone: None, started };
                self.nodes.push(Node { member: member.clone(), health: Health::Healthy });
                (vec![member], ListKind::Changes)
            }
            4 if self.nodes.len() > 2 => {
                let mut gone = self.nodes.remove(n).member;
                gone.state = NodeState::Gone;
                (vec![gone], ListKind::Changes)
            }
            _ => {
                let state = [NodeState::Serving, NodeState::Serving, NodeState::Draining, NodeState::Gone]
                    [self.random.below(4)];
                let started = if self.random.is(0.5) { Some(self.now - 20.0) } else { None };
                let node = &mut self.nodes[n];
                (node.member.state, node.member.started) = (state, started.or(node.member.started));
                (vec![node.member.clone(); 1 + self.random.below(2)], ListKind::Changes)
            }
        };
        self.events.push(Event::List { kind, members });
    }

    /// Gives all modules new settings.
    fn change_settings(&mut self, modules: &mut [&mut dyn DecisionModule]) {
        let mut new_classes = Vec::new();
        match self.random.below(7) {
            0 => self.settings.hedging ^= true,
            1 => self.settings.cancel ^= true,
            2 => self.settings.max_attempts = 1 + self.random.below(5) as u32,
            3 => self.settings.reach = 1 + self.random.below(self.plan.cells),
            4 => {
                let of = self.random.below(self.settings.classes.len());
                self.settings.classes[of].floor = self.settings.classes[of].need * self.random.uniform();
                self.settings.classes[of].aim = self.random.within(50.0, 150.0);
            }
            5 if self.settings.classes.len() < 12 => {
                let of = self.random.below(self.settings.classes.len());
                self.settings.classes.push(self.settings.classes[of].clone());
                let class = ClassIndex(self.settings.classes.len() - 1);
                new_classes.push(NewClass { class, inherits_from: Some(ClassIndex(of)) });
            }
            _ => {
                let window = self.random.within(50.0, 400.0);
                self.settings.budget =
                    Some(AttemptBudget { free_attempts: 3.0, per_request: self.random.uniform(), window });
            }
        }
        modules.iter_mut().for_each(|d| d.reconfigure(self.settings.clone(), &new_classes));
    }

    /// The outcome of an attempt at a server, and the time in milliseconds after which it ends.
    fn outcome(&mut self, node: &NodeId, timeout: Option<Millis>, give_up: Millis) -> (Outcome, Millis) {
        let normal = self.random.within(2.0, 15.0);
        let health = self.nodes.iter().find(|n| n.member.node == *node).map_or(Health::Dead, |n| n.health);
        let slow = normal + self.random.within(30.0, 300.0);
        let faulty = self.random.is(self.plan.faults);
        let (outcome, after) = match health {
            Health::Healthy if faulty => match self.random.below(7) {
                0 => (Outcome::Error, normal),
                1 => (Outcome::Full, 1.0),
                2 => (Outcome::ConnectionLost, normal),
                3 => (Outcome::NoConnection, 1.0),
                4 => (Outcome::NotSent, 0.0),
                5 => (Outcome::TimedOut, f64::INFINITY),
                _ => (Outcome::Served, slow),
            },
            Health::Healthy => (Outcome::Served, normal),
            Health::Slow => (Outcome::Served, slow),
            Health::Errors => (Outcome::Error, normal),
            Health::Full => (Outcome::Full, 1.0),
            Health::Silent => (Outcome::TimedOut, f64::INFINITY),
            Health::Dead if faulty => (Outcome::NoConnection, 1.0),
            Health::Dead => (Outcome::ConnectionLost, normal),
        };
        let timeout = timeout.unwrap_or(f64::INFINITY).min(give_up - self.now).max(0.0);
        if after > timeout { (Outcome::TimedOut, timeout) } else { (outcome, after) }
    }

    /// Carries out the actions of a batch.
    fn carry_out(&mut self, actions: &[Action]) {
        self.actions += actions.len();
        for action in actions {
            match action {
                Action::Send { part, node, timeout } => {
                    let (outcome, after) = self.outcome(node, *timeout, self.now + 400.0);
                    let attempt = self.sent.entry(part.clone()).or_default();
                    self.in_flight.push((self.now + after, part.clone(), *attempt, outcome, self.now));
                    *attempt += 1;
                }
                Action::Cancel { part, attempt } => {
                    let cancelled = self.in_flight.iter_mut().find(|o| o.1 == *part && o.2 == *attempt);
                    if let Some(o) = cancelled {
                        (o.0, o.3) = (self.now, Outcome::Cancelled);
                    }
                }
                Action::Answer { query, .. } => {
                    let Some(at) = self.open.iter().position(|o| o.id == *query) else { continue };
                    if self.open[at].two_step && self.random.is(0.9) {
                        let (group, from) = (self.open[at].group, self.open[at].parts);
                        self.open[at].two_step = false;
                        let n = 1 + self.random.below(6);
                        self.open[at].parts += n;
                        self.add_parts(group, from, n);
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

    /// Adds the events of attempts that have ended by now. A few are delayed, and a few are reported twice.
    fn report_ended(&mut self) {
        let now = self.now;
        let mut later = Vec::new();
        for (at, part, attempt, outcome, sent) in std::mem::take(&mut self.in_flight) {
            if at > now || self.random.is(0.05) {
                later.push((at, part, attempt, outcome, sent));
                continue;
            }
            let load = if self.random.is(0.3) { Some(self.random.within(0.0, 20.0).floor()) } else { None };
            if self.random.is(0.006) {
                self.events.push(Event::Unreachable(part.clone()));
            }
            let event = Event::Ended { part, attempt, outcome, elapsed: now - sent, load };
            if self.random.is(0.004) {
                self.events.push(event.clone());
            }
            self.events.push(event);
        }
        self.in_flight = later;
    }

    /// Runs one batch on all modules. Describes the actions if they differ between modules.
    pub fn batch(&mut self, modules: &mut [&mut dyn DecisionModule]) -> Option<String> {
        self.report_ended();
        if self.now >= self.wake_at {
            self.wake_at = f64::INFINITY;
            self.events.push(Event::Woken);
        }
        let events = std::mem::take(&mut self.events);
        let actions: Vec<Vec<Action>> =
            modules.iter_mut().map(|d| d.on_batch(self.now, events.clone())).collect();
        if actions.iter().any(|d| *d != actions[0]) {
            return Some(format!("at {}: {actions:#?}", self.now));
        }
        self.carry_out(&actions[0]);
        None
    }

    /// One step of the day: random events, then a batch. Describes the actions if they differ between
    /// modules.
    pub fn step(&mut self, modules: &mut [&mut dyn DecisionModule]) -> Option<String> {
        self.now += match self.random.below(40) {
            0 => self.random.within(50.0, 300.0),
            1..10 => 5.0,
            _ => self.random.within(0.0, 4.0),
        };
        let mut queries = self.plan.queries;
        while self.random.is(queries) {
            let (min, max) = self.plan.parts;
            let parts = min + self.random.below(max - min + 1);
            self.query(None, parts);
            queries -= 1.0;
        }
        if self.random.is(0.05) {
            self.change_health();
        }
        if self.random.is(0.05) {
            self.update_list();
        }
        if self.random.is(0.02) && !self.open.is_empty() {
            let gone = self.open.remove(self.random.below(self.open.len()));
            self.events.push(Event::ClientGone(gone.id));
        }
        if self.random.is(0.01) {
            self.change_settings(modules);
        }
        if self.random.is(0.003) {
            let at = self.now + self.random.within(0.0, 100.0);
            self.open.iter_mut().for_each(|o| o.deadline = o.deadline.min(at));
            modules.iter_mut().for_each(|d| d.end_by(at));
        }
        if self.random.is(0.01) {
            let node = self.nodes[self.random.below(self.nodes.len())].member.node.clone();
            let (served, errors, lost) = [(9, 0, 0), (0, 9, 0), (0, 0, 9), (3, 3, 3)][self.random.below(4)];
            let bulk = OutcomeCounts { node, served, errors, lost, elapsed: Some(8.0) };
            modules
                .iter_mut()
                .for_each(|d| d.report_outcomes(self.now, ClassIndex(0), std::slice::from_ref(&bulk)));
        }
        self.batch(modules)
    }

    /// Simulates a whole day. Returns the number of actions, or the first difference between the modules.
    pub fn run(plan: Plan, modules: &mut [&mut dyn DecisionModule]) -> Result<usize, String> {
        let mut day = Day::new(plan);
        for n in 0..plan.steps {
            if let Some(difference) = day.step(modules) {
                return Err(format!("step {n}, {difference}"));
            }
            if n % 50 == 49 || n + 1 == plan.steps {
                let states: Vec<String> = modules.iter().map(|d| d.state(day.now)).collect();
                if states.iter().any(|s| *s != states[0]) {
                    return Err(format!("step {n}: the learned state differs: {states:#?}"));
                }
            }
        }
        Ok(day.actions)
    }
}
