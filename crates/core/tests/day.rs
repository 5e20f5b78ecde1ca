//! Simulation of a day of load in virtual time, with several independent brokers and with data servers that
//! fail during a burst. It prints the share of the requested worth that each class and each tenant earns, and
//! fails if one of them starves:
//!
//! ```text
//! cargo test -p plover-core --test day -- --nocapture
//! ```

use brookbend::api::{NodeState, Settings};
use plover_config::check;
use plover_core::{Core, Decisions, Query, Report, Verdict};
use plover_model::query::{AttemptId, PartSpec, QueryId};
use plover_model::server::{ListScope, NodeId, Outcome, ServerInfo};
use plover_model::time::{MILLI, Micros, SECOND};
use rand_pcg::Pcg64Mcg;
use rand_pcg::rand_core::{Rng, SeedableRng};
use serde_json::{Value, json};
use std::collections::{BTreeMap, VecDeque};
use std::sync::Arc;

const TICK: Micros = 5 * MILLI;
const DURATION: Micros = 40 * SECOND;
/// Delay after which the list shows that a server has started or ended.
const LIST_DELAY: Micros = 1500 * MILLI;

/// An event of the simulated day.
#[derive(Clone, Copy)]
enum Event {
    /// The server starts or stops hanging. A hanging server accepts parts and answers none.
    Hangs(usize, bool),
    /// The process of the server ends, and its connections are lost.
    Dies(usize),
    /// The server starts again and is cold.
    Starts(usize),
    /// The list shows the server in this state.
    Listed(usize, NodeState),
    /// The traffic changes to this multiple of the normal traffic.
    Traffic(f64),
}

/// Events of a day on which one server hangs, another one restarts cold, and a burst of traffic follows.
fn failures(_: usize) -> Vec<(Micros, Event)> {
    vec![
        (8 * SECOND, Event::Hangs(0, true)),
        (15 * SECOND, Event::Hangs(0, false)),
        (18 * SECOND, Event::Dies(1)),
        (18 * SECOND + LIST_DELAY, Event::Listed(1, NodeState::Gone)),
        (25 * SECOND, Event::Starts(1)),
        (25 * SECOND + LIST_DELAY, Event::Listed(1, NodeState::Serving)),
        (30 * SECOND, Event::Traffic(2.0)),
        (35 * SECOND, Event::Traffic(1.0)),
    ]
}

/// Events of a release: within half a minute, one server after another drains, ends, and starts again cold.
fn release(servers: usize) -> Vec<(Micros, Event)> {
    let one = |n: usize| {
        let at = 3 * SECOND + n as Micros * 30 * SECOND / servers as Micros;
        let steps = [
            (0, Event::Listed(n, NodeState::Draining)),
            (SECOND, Event::Dies(n)),
            (2 * SECOND, Event::Starts(n)),
            (2 * SECOND + LIST_DELAY, Event::Listed(n, NodeState::Serving)),
        ];
        steps.map(|(after, event)| (at / TICK * TICK + after, event))
    };
    (0..servers).flat_map(one).collect()
}

struct Random(Pcg64Mcg);

impl Random {
    /// Returns a number from 0 to 1.
    fn fraction(&mut self) -> f64 {
        (self.0.next_u64() >> 11) as f64 / (1u64 << 53) as f64
    }
    fn within(&mut self, min: f64, max: f64) -> f64 {
        min + (max - min) * self.fraction()
    }
    /// Draws an index with probabilities proportional to these shares.
    fn draw_index(&mut self, shares: &[f64]) -> usize {
        let drawn = self.fraction() * shares.iter().sum::<f64>();
        let mut sum = 0.0;
        let reaches = |share: &f64| {
            sum += share;
            drawn < sum
        };
        shares.iter().position(reaches).unwrap_or(0)
    }
}

/// The load of a site, beside its settings.
struct Load {
    site: &'static str,
    brokers: usize,
    /// For each class: its share of the queries, the minimum and maximum number of parts, and the mean work
    /// of a part in milliseconds.
    classes: &'static [(f64, usize, usize, f64)],
    /// Share of the queries of each tenant.
    tenants: &'static [f64],
    /// Whether queries have estimates of the work.
    work_hints: bool,
    /// Load as a share of the capacity of all servers.
    utilization: f64,
    /// Minimum share of its requested worth that each class and each tenant must earn.
    min_share: f64,
}

const KEYED: Load = Load {
    site: include_str!("../../model/tests/sites/keyed.json"),
    brokers: 3,
    classes: &[(0.56, 3, 5, 90.0), (0.22, 1, 2, 90.0), (0.22, 4, 4, 110.0)],
    tenants: &[0.6, 0.4],
    work_hints: false,
    utilization: 0.6,
    min_share: 0.75,
};

const REPEATABLE: Load = Load {
    site: include_str!("../../model/tests/sites/repeatable.json"),
    brokers: 2,
    classes: &[(0.29, 7, 7, 150.0), (0.71, 3, 5, 120.0)],
    tenants: &[1.0],
    work_hints: true,
    utilization: 0.6,
    min_share: 0.75,
};

/// An attempt that a data server is working on.
struct Job {
    broker: usize,
    attempt: AttemptId,
    /// Remaining work in milliseconds.
    remaining: f64,
}

struct Server {
    cell: usize,
    zone: usize,
    speed: f64,
    jobs: Vec<Job>,
    started: Option<Micros>,
    hangs: bool,
    running: bool,
}

const CORES: usize = 2;

impl Server {
    fn info(&self, n: usize, state: NodeState) -> ServerInfo {
        let (cell, zone, started) = (self.cell, Some(self.zone), self.started.map(|at| at as i64));
        ServerInfo { name: NodeId(format!("s{n:02}").into()), cell, state, zone, started_at: started }
    }

    /// Works for one tick and returns the finished jobs.
    fn work(&mut self, now: Micros, settings: &Settings) -> Vec<Job> {
        let cold = &settings.cold;
        let warmth = self.started.map_or(1.0, |at| (now - at) as f64 / 1000.0 / cold.warm_after).min(1.0);
        let work_done =
            self.speed * (cold.initial_capacity + (1.0 - cold.initial_capacity) * warmth) * TICK as f64
                / MILLI as f64;
        self.jobs.iter_mut().take(CORES).for_each(|j| j.remaining -= work_done);
        self.jobs.extract_if(.., |j| j.remaining <= 0.0).collect()
    }
}

struct OpenQuery {
    broker: usize,
    class: usize,
    tenant: usize,
    arrived_at: Micros,
    /// Weight, work, and whether it has been served, of each part.
    parts: Vec<(f64, f64, bool)>,
}

/// Earned and requested worth, by class or tenant.
type Account = BTreeMap<usize, (f64, f64)>;

struct Simulation {
    load: &'static Load,
    settings: Settings,
    cores: Vec<Core>,
    servers: Vec<Server>,
    open: BTreeMap<QueryId, OpenQuery>,
    /// Attempts in flight of each broker, with the time of dispatch, the deadline and the server.
    in_flight: BTreeMap<(usize, AttemptId), (Micros, Micros, usize)>,
    /// Reports that each broker gets in its next turn.
    reports: Vec<Vec<Report>>,
    by_class: Account,
    by_tenant: Account,
    /// For each class: numbers of queries that were complete in time, late, partial, refused, and failed.
    outcomes: BTreeMap<usize, [u32; 5]>,
    random: Random,
    next_id: QueryId,
    /// Future events with their times, in order of time.
    future_events: VecDeque<(Micros, Event)>,
    traffic: f64,
}

impl Simulation {
    fn new(load: &'static Load, events: impl Fn(usize) -> Vec<(Micros, Event)>) -> Self {
        let mut settings: Value = serde_json::from_str(load.site).unwrap();
        settings["PeersTotal"] = json!(load.brokers);
        let config = json!({"name": "n", "listen": "127.0.0.1:1", "discovery": "127.0.0.1:2", "seed": "7",
            "settings": settings, "known": {"rev": 1, "all": true, "targets": []}});
        let config = check(&config, |_| None).unwrap();
        let settings = config.settings;
        let zones = config.names.zones.len().max(1);
        let server = |n: usize| Server {
            cell: n % settings.cells,
            zone: n / settings.cells % zones,
            speed: if n.is_multiple_of(3) { 0.75 } else { 1.0 },
            jobs: Vec::new(),
            started: None,
            hangs: false,
            running: true,
        };
        let servers: Vec<Server> = (0..3 * settings.cells).map(server).collect();
        let broker = |n: usize| {
            let settings = Settings { zone: Some(n % zones), ..settings.clone() };
            let mut core = Core::new(settings, config.max_open, 11 + n as u64).with_names(&config.names);
            let list = servers.iter().enumerate().map(|(n, s)| s.info(n, NodeState::Serving)).collect();
            core.update_servers(ListScope::Cached, list);
            core
        };
        let mut future_events = events(servers.len());
        future_events.sort_by_key(|(at, _)| *at);
        Simulation {
            future_events: future_events.into(),
            traffic: 1.0,
            cores: (0..load.brokers).map(broker).collect(),
            reports: vec![Vec::new(); load.brokers],
            load,
            settings,
            servers,
            open: BTreeMap::new(),
            in_flight: BTreeMap::new(),
            by_class: Account::new(),
            by_tenant: Account::new(),
            outcomes: BTreeMap::new(),
            random: Random(Pcg64Mcg::seed_from_u64(5)),
            next_id: 1,
        }
    }

    /// Returns the mean number of queries per tick that leads to the utilization.
    fn queries_per_tick(&self) -> f64 {
        let capacity: f64 = self.servers.iter().map(|s| s.speed * CORES as f64).sum();
        let cost = |(share, min_parts, max_parts, work): &(f64, usize, usize, f64)| {
            let parts = (min_parts + max_parts) as f64 / 2.0;
            share * parts * (work + self.settings.call_work / 2.0)
        };
        self.load.utilization * capacity * (TICK / MILLI) as f64
            / self.load.classes.iter().map(cost).sum::<f64>()
    }

    fn arrivals(&mut self, now: Micros) -> Vec<Query> {
        let mut queries = Vec::new();
        let draws = 8;
        for _ in 0..draws {
            if self.random.fraction() >= self.traffic * self.queries_per_tick() / f64::from(draws) {
                continue;
            }
            let class = self.random.draw_index(&self.load.classes.iter().map(|c| c.0).collect::<Vec<_>>());
            let (_, min_parts, max_parts, work) = self.load.classes[class];
            let parts = self.random.within(min_parts as f64, max_parts as f64 + 0.999) as usize;
            let first_shard = self.random.within(0.0, self.settings.shards as f64) as usize;
            let works: Vec<f64> = (0..parts).map(|_| work * self.random.within(0.5, 1.5)).collect();
            let weight = 1.0 / parts as f64;
            let work_hint = |w: &f64| (w * 1000.0 * 0.8) as Micros;
            let specs = works.iter().enumerate().map(|(i, w)| PartSpec {
                shard: (first_shard + i) % self.settings.shards,
                weight,
                work_hint: self.load.work_hints.then(|| work_hint(w)),
            });
            let (id, tenant) = (self.next_id, self.random.draw_index(self.load.tenants));
            self.next_id += 1;
            queries.push(Query {
                id,
                class,
                tenant,
                deadline: now + (self.settings.classes[class].give_up * 1000.0) as Micros,
                limits: Arc::default(),
                is_retry: false,
                parts: specs.collect(),
            });
            let broker = self.random.within(0.0, self.load.brokers as f64) as usize;
            let parts = works.into_iter().map(|work| (weight, work, false)).collect();
            self.open.insert(id, OpenQuery { broker, class, tenant, arrived_at: now, parts });
        }
        queries
    }

    /// Ends an attempt, and reports it to its broker in the next turn.
    fn end_attempt(&mut self, now: Micros, broker: usize, attempt: AttemptId, outcome: Outcome) {
        let Some((sent, _, server)) = self.in_flight.remove(&(broker, attempt)) else { return };
        self.servers[server].jobs.retain(|j| (j.broker, j.attempt) != (broker, attempt));
        if let Some(open) = self.open.get_mut(&attempt.query).filter(|_| outcome == Outcome::Served) {
            open.parts[attempt.part].2 = true;
        }
        self.reports[broker].push(Report {
            attempt,
            outcome,
            elapsed: now - sent,
            load: None,
            connected_at: None,
        });
    }

    /// Ends a query and accounts for its worth.
    fn end_query(&mut self, now: Micros, query: QueryId, verdict: Verdict) {
        let Some(open) = self.open.remove(&query) else { return };
        let class = &self.settings.classes[open.class];
        let requested = if self.settings.worth_by_work { open.parts.iter().map(|p| p.1).sum() } else { 1.0 };
        let served_weight: f64 = open.parts.iter().filter(|p| p.2).map(|p| p.0).sum();
        let late = (now - open.arrived_at) as f64 / 1000.0 > class.aim;
        let outcome = match verdict {
            Verdict::Answer { .. } if late => 1,
            Verdict::Answer { whole } => {
                if whole {
                    0
                } else {
                    2
                }
            }
            Verdict::Refuse { .. } => 3,
            Verdict::Fail => 4,
        };
        self.outcomes.entry(open.class).or_default()[outcome] += 1;
        let earned = match verdict {
            Verdict::Answer { whole } => {
                assert!(
                    served_weight + 1e-4 >= if whole { class.need } else { class.floor },
                    "served weight {served_weight} is below the minimum"
                );
                let share = if whole { 1.0 } else { class.partial_earns * served_weight / class.need };
                share * if late { class.late_worth } else { 1.0 }
            }
            Verdict::Refuse { .. } | Verdict::Fail => 0.0,
        };
        for (account, index) in [(&mut self.by_class, open.class), (&mut self.by_tenant, open.tenant)] {
            let entry = account.entry(index).or_default();
            *entry = (entry.0 + earned * requested, entry.1 + requested);
        }
    }

    fn carry_out(&mut self, now: Micros, broker: usize, decisions: Decisions) {
        for attempt in decisions.cancel {
            self.end_attempt(now, broker, attempt, Outcome::Cancelled);
        }
        for completion in decisions.completions {
            self.end_query(now, completion.query, completion.verdict);
        }
        let mut calls: BTreeMap<usize, usize> = BTreeMap::new();
        for d in decisions.dispatches {
            let server: usize = d.server.0[1..].parse().unwrap();
            self.in_flight.insert((broker, d.attempt), (now, d.deadline, server));
            if !self.servers[server].running {
                self.end_attempt(now, broker, d.attempt, Outcome::NoConnection);
                continue;
            }
            // Attempts at one server in one turn share calls of up to `batch` parts.
            let parts = calls.entry(server).or_default();
            let starts_call = parts.is_multiple_of(self.settings.batch);
            *parts += 1;
            let work = self.open.get(&d.attempt.query).map_or(0.0, |o| o.parts[d.attempt.part].1);
            let remaining = work + if starts_call { self.settings.call_work } else { 0.0 };
            self.servers[server].jobs.push(Job { broker, attempt: d.attempt, remaining });
        }
    }

    fn list(&mut self, n: usize, state: NodeState) {
        let info = self.servers[n].info(n, state);
        self.cores.iter_mut().for_each(|core| core.update_servers(ListScope::Changes, vec![info.clone()]));
    }

    fn apply(&mut self, now: Micros, event: Event) {
        match event {
            Event::Hangs(n, hangs) => self.servers[n].hangs = hangs,
            Event::Dies(n) => {
                self.servers[n].running = false;
                let lost: Vec<_> = self.servers[n].jobs.iter().map(|j| (j.broker, j.attempt)).collect();
                lost.into_iter().for_each(|(b, a)| self.end_attempt(now, b, a, Outcome::ConnectionLost));
            }
            Event::Starts(n) => {
                self.servers[n].running = true;
                self.servers[n].started = Some(now);
            }
            Event::Listed(n, state) => self.list(n, state),
            Event::Traffic(multiple) => self.traffic = multiple,
        }
    }

    fn tick(&mut self, now: Micros) {
        while let Some((_, event)) = self.future_events.pop_front_if(|(at, _)| *at <= now) {
            self.apply(now, event);
        }
        for n in 0..self.servers.len() {
            let finished =
                if self.servers[n].hangs { Vec::new() } else { self.servers[n].work(now, &self.settings) };
            finished.into_iter().for_each(|j| self.end_attempt(now, j.broker, j.attempt, Outcome::Served));
        }
        let expired =
            self.in_flight.iter().filter(|(_, (_, deadline, _))| *deadline <= now).map(|(key, _)| *key);
        for (broker, attempt) in expired.collect::<Vec<_>>() {
            self.end_attempt(now, broker, attempt, Outcome::TimedOut);
        }
        let arrivals = if now < DURATION { self.arrivals(now) } else { Vec::new() };
        for broker in 0..self.cores.len() {
            let reports = std::mem::take(&mut self.reports[broker]);
            let decisions = self.cores[broker].report(now, reports);
            self.carry_out(now, broker, decisions);
            let queries =
                arrivals.iter().filter(|q| self.open.get(&q.id).is_some_and(|o| o.broker == broker));
            let queries = queries.cloned().collect();
            let decisions = self.cores[broker].pick(now, queries);
            self.carry_out(now, broker, decisions);
            let decisions = self.cores[broker].tick(now);
            self.carry_out(now, broker, decisions);
        }
    }
}

fn simulate(name: &str, load: &'static Load, events: impl Fn(usize) -> Vec<(Micros, Event)>) {
    let mut simulation = Simulation::new(load, events);
    let mut now = TICK;
    while now < DURATION || !simulation.open.is_empty() {
        simulation.tick(now);
        now += TICK;
        assert!(now < DURATION + 10 * SECOND, "{} queries never end", simulation.open.len());
    }
    let share = |(earned, requested): (f64, f64)| earned / requested.max(1e-9);
    let mut table = format!("{name}: {} brokers, {} queries\n", load.brokers, simulation.next_id - 1);
    for (kind, accounts) in [("class", &simulation.by_class), ("tenant", &simulation.by_tenant)] {
        for (index, account) in accounts {
            table += &format!("  {kind} {index}: {:.3} of {:.0}\n", share(*account), account.1);
        }
    }
    for (class, [complete, late, partial, refused, failed]) in &simulation.outcomes {
        table += &format!(
            "  class {class}: {complete} complete, {late} late, {partial} partial, {refused} refused, {failed} failed\n"
        );
    }
    print!("{table}");
    assert_eq!(
        (simulation.by_class.len(), simulation.by_tenant.len()),
        (load.classes.len(), load.tenants.len())
    );
    for account in simulation.by_class.values().chain(simulation.by_tenant.values()) {
        assert!(share(*account) > load.min_share, "a class or tenant starves: {account:?}");
    }
}

#[test]
fn no_class_or_tenant_starves_with_a_keyed_class() {
    simulate("failures, keyed", &KEYED, failures);
}

#[test]
fn no_class_starves_with_safe_classes_and_hedging() {
    simulate("failures, repeatable", &REPEATABLE, failures);
}

#[test]
fn no_class_or_tenant_starves_during_a_release() {
    simulate("release, keyed", &KEYED, release);
    simulate("release, repeatable", &REPEATABLE, release);
}
