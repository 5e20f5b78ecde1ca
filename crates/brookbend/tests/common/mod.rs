//! Test harness for the decision module that needs no bench: settings, lists of servers, and short
//! constructors of events.
#![allow(dead_code)]

use brookbend::Aggregator;
use brookbend::api::*;

pub fn class() -> Class {
    Class {
        aim: 1000.0,
        give_up: 4000.0,
        worth: 1.0,
        late_worth: 0.3,
        semantics: Semantics::Safe,
        need: 1.0,
        floor: 1.0,
        partial_earns: 0.9,
        second_step: false,
    }
}

/// Settings of a ring of six cells, where each shard is held in three consecutive ones.
pub fn ring() -> Settings {
    Settings {
        classes: vec![class()],
        tenants: vec![],
        aggregators: 2,
        zone: None,
        over_share_worth: 0.2,
        worth_by_work: false,
        clients_mark_retries: false,
        cells: 6,
        reach: 3,
        shards: 12,
        batch: 8,
        call_work: 20.0,
        max_attempts: 3,
        hedging: true,
        cancel: true,
        max_retry_after: Some(50.0),
        tick: 5.0,
        list: ListSource::Pushed,
        list_deadline: 10_000.0,
        budget: None,
        cold: ColdRule {
            initial_capacity: 0.2,
            warm_after: 10_000.0,
            overload_factor: 2.0,
            overload_time: 2000.0,
        },
    }
}

/// Settings of two cells that hold half of the shards each.
pub fn sets() -> Settings {
    Settings { cells: 2, reach: 1, shards: 6, ..ring() }
}

pub fn node(name: &str) -> NodeId {
    NodeId(name.into())
}

pub fn id(name: &str) -> RequestId {
    RequestId::named(name)
}

pub fn member(name: &str, cell: usize) -> Member {
    Member { node: node(name), cell, state: NodeState::Serving, zone: None, started: None }
}

/// An aggregator with its clock and the wake-up it has asked for.
pub struct Harness {
    pub aggregator: Aggregator,
    pub now: Millis,
    wake_at: Millis,
    group: u64,
}

impl Harness {
    /// An aggregator that has read a list with `per_cell` servers in each cell, named `c0n0`, `c0n1`, `c1n0`
    /// and so on.
    pub fn new(settings: Settings, per_cell: usize) -> Harness {
        let names =
            (0..settings.cells).flat_map(|cell| (0..per_cell).map(move |n| (format!("c{cell}n{n}"), cell)));
        let members = names.map(|(name, cell)| member(&name, cell)).collect();
        let aggregator = Aggregator::new(settings, 11);
        let mut harness = Harness { aggregator, now: 0.0, wake_at: f64::INFINITY, group: 0 };
        harness.batch(0.0, vec![Event::List { kind: ListKind::Disk, members }]);
        harness
    }

    /// Runs a batch with these events `after` milliseconds after the last one, and before it one batch at
    /// each wake-up that the aggregator has asked for.
    pub fn step(&mut self, after: Millis, events: Vec<Event>) -> Vec<Action> {
        let end = self.now + after;
        let mut actions = Vec::new();
        while self.wake_at < end {
            actions.extend(self.batch(self.wake_at, vec![]));
        }
        actions.extend(self.batch(end, events));
        actions
    }

    /// Runs a single batch, as if the aggregator had been paused since the last one.
    pub fn batch(&mut self, now: Millis, mut events: Vec<Event>) -> Vec<Action> {
        self.now = now;
        if now >= self.wake_at {
            self.wake_at = f64::INFINITY;
            events.push(Event::Woken);
        }
        let actions = self.aggregator.on_batch(now, events);
        for action in &actions {
            if let Action::Wake { after } = action {
                self.wake_at = now + after;
            }
        }
        actions
    }

    /// Events of the arrival of a query named `name`, with a part `name.shard` of equal weight for each
    /// shard. `client_timeout` counts from the next batch, five milliseconds on.
    pub fn query(
        &mut self,
        name: &str,
        class: usize,
        shards: &[usize],
        client_timeout: Millis,
    ) -> Vec<Event> {
        self.group += 1;
        let deadline = self.now + 5.0 + client_timeout;
        let (class, tenant) = (ClassIndex(class), TenantIndex(0));
        let (group, client_deadline, max_attempts) = (self.group, deadline, None);
        let query = Query {
            id: id(name),
            group,
            class,
            tenant,
            deadline,
            client_deadline,
            max_attempts,
            is_retry: false,
        };
        let mut events = vec![Event::Query(query)];
        let weight = 1.0 / shards.len() as f64;
        for &shard in shards {
            let id = id(&format!("{name}.{shard}"));
            events.push(Event::Part(Part { id, group: self.group, shard, weight, work_hint: None }));
        }
        events
    }

    /// Sends a query of class 0 five milliseconds on.
    pub fn ask(&mut self, name: &str, shards: &[usize]) -> Vec<Action> {
        let events = self.query(name, 0, shards, 4000.0);
        self.step(5.0, events)
    }

    /// Sends `count` queries of one part each, one after another. Every attempt is served, except that
    /// attempts at the servers in `failing` end with `failure`. Returns the number of attempts that each
    /// server got.
    pub fn traffic(
        &mut self,
        count: usize,
        failing: &[&str],
        failure: Outcome,
    ) -> std::collections::BTreeMap<String, usize> {
        let mut attempts_by_server = std::collections::BTreeMap::new();
        for k in 0..count {
            let name = format!("t{}-{k}", self.group);
            let mut open = sends(&self.ask(&name, &[k % 3]));
            let mut attempt = 0;
            while let Some((part, node, _)) = open.pop() {
                *attempts_by_server.entry(node.clone()).or_default() += 1;
                let outcome = if failing.contains(&node.as_str()) { failure } else { Outcome::Served };
                open.extend(sends(&self.step(30.0, vec![ended(&part, attempt, outcome, 30.0)])));
                attempt += 1;
            }
        }
        attempts_by_server
    }
}

pub fn ended(part: &str, attempt: u32, outcome: Outcome, elapsed: Millis) -> Event {
    Event::Ended { part: id(part), attempt, outcome, elapsed, load: None }
}

/// Part, server and timeout of each send among the actions.
pub fn sends(actions: &[Action]) -> Vec<(String, String, Option<Millis>)> {
    let send = |action: &Action| match action {
        Action::Send { part, node, timeout } => Some((part.to_string(), node.0.to_string(), *timeout)),
        _ => None,
    };
    actions.iter().filter_map(send).collect()
}

/// The actions that end a query, or answer its first step.
pub fn finals(actions: &[Action]) -> Vec<Action> {
    let is_final = |action: &&Action| {
        matches!(action, Action::Answer { .. } | Action::Refuse { .. } | Action::Fail { .. })
    };
    actions.iter().filter(is_final).cloned().collect()
}
