//! A small bench-free stand for the module: settings, servers, and short names for events.
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

/// A ring of six cells, three in a row for a shard.
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

/// Two sets of three servers.
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

pub struct Harness {
    pub a: Aggregator,
    pub now: Millis,
    wake_at: Millis,
    group: u64,
}

impl Harness {
    /// An aggregator that has read a list with so many servers a cell: `c0n0`, `c0n1`, `c1n0` and so on.
    pub fn new(settings: Settings, per_cell: usize) -> Harness {
        let names = (0..settings.cells).flat_map(|c| (0..per_cell).map(move |n| (format!("c{c}n{n}"), c)));
        let members = names.map(|(name, cell)| member(&name, cell)).collect();
        let a = Aggregator::new(settings, 11);
        let mut stand = Harness { a, now: 0.0, wake_at: f64::INFINITY, group: 0 };
        stand.batch(0.0, vec![Event::List { kind: ListKind::Disk, members }]);
        stand
    }

    /// A batch with these events, `after` from the last, and one at each time in between that was asked for.
    pub fn step(&mut self, after: Millis, events: Vec<Event>) -> Vec<Action> {
        let end = self.now + after;
        let mut actions = Vec::new();
        while self.wake_at < end {
            actions.extend(self.batch(self.wake_at, vec![]));
        }
        actions.extend(self.batch(end, events));
        actions
    }

    /// One batch, as of an aggregator that stood still since the last.
    pub fn batch(&mut self, now: Millis, mut events: Vec<Event>) -> Vec<Action> {
        self.now = now;
        if now >= self.wake_at {
            self.wake_at = f64::INFINITY;
            events.push(Event::Woken);
        }
        let actions = self.a.on_batch(now, events);
        for a in &actions {
            if let Action::Wake { after } = a {
                self.wake_at = now + after;
            }
        }
        actions
    }

    /// Events of a query named `name` with a part `name.shard` for each shard, of even weight.
    pub fn query(&mut self, name: &str, class: usize, shards: &[usize], patience: Millis) -> Vec<Event> {
        self.group += 1;
        let deadline = self.now + 5.0 + patience;
        let (class, tenant) = (ClassIndex(class), TenantIndex(0));
        let (group, client_deadline, max_attempts) = (self.group, deadline, None);
        let q = Query {
            id: id(name),
            group,
            class,
            tenant,
            deadline,
            client_deadline,
            max_attempts,
            is_retry: false,
        };
        let mut events = vec![Event::Query(q)];
        let weight = 1.0 / shards.len() as f64;
        for &shard in shards {
            let id = id(&format!("{name}.{shard}"));
            events.push(Event::Part(Part { id, group: self.group, shard, weight, work_hint: None }));
        }
        events
    }

    /// Asks a query five milliseconds on.
    pub fn ask(&mut self, name: &str, shards: &[usize]) -> Vec<Action> {
        let events = self.query(name, 0, shards, 4000.0);
        self.step(5.0, events)
    }

    /// Asks so many one-part queries in a row and has every attempt served, but those at a server in `sick`
    /// end as told. Returns how many attempts went to each server.
    pub fn traffic(
        &mut self,
        n: usize,
        sick: &[&str],
        how: Outcome,
    ) -> std::collections::BTreeMap<String, usize> {
        let mut seen = std::collections::BTreeMap::new();
        for k in 0..n {
            let name = format!("t{}-{k}", self.group);
            let mut open = sends(&self.ask(&name, &[k % 3]));
            let mut attempt = 0;
            while let Some((part, node, _)) = open.pop() {
                *seen.entry(node.clone()).or_default() += 1;
                let outcome = if sick.contains(&node.as_str()) { how } else { Outcome::Served };
                open.extend(sends(&self.step(30.0, vec![ended(&part, attempt, outcome, 30.0)])));
                attempt += 1;
            }
        }
        seen
    }
}

pub fn ended(part: &str, attempt: u32, outcome: Outcome, elapsed: Millis) -> Event {
    Event::Ended { part: id(part), attempt, outcome, elapsed, load: None }
}

/// Part, server and time-out of each send.
pub fn sends(actions: &[Action]) -> Vec<(String, String, Option<Millis>)> {
    let pick = |a: &Action| match a {
        Action::Send { part, node, timeout: within } => Some((part.to_string(), node.0.to_string(), *within)),
        _ => None,
    };
    actions.iter().filter_map(pick).collect()
}

/// The final answers among the actions.
pub fn finals(actions: &[Action]) -> Vec<Action> {
    let is = |a: &&Action| matches!(a, Action::Answer { .. } | Action::Refuse { .. } | Action::Fail { .. });
    actions.iter().filter(is).cloned().collect()
}
