//! A day of load in virtual time: several brokers that share nothing, and data servers that fail while a burst comes. It
//! prints what each class and each tenant gets of the worth that it asked for, so that one which starves is seen:
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
const LENGTH: Micros = 40 * SECOND;
/// The list tells this long after a server went or came.
const NOTICE: Micros = 1500 * MILLI;

/// What happens on a day.
#[derive(Clone, Copy)]
enum Event {
    /// It takes parts and answers none, or no longer.
    Hangs(usize, bool),
    /// Its process ends, and its connections with it.
    Dies(usize),
    /// It is back, cold.
    Starts(usize),
    /// What the list tells of it.
    Told(usize, NodeState),
    /// So many times the usual traffic.
    Traffic(f64),
}

/// One server hangs, another dies and is back cold, and last comes a burst.
fn failures(_: usize) -> Vec<(Micros, Event)> {
    vec![
        (8 * SECOND, Event::Hangs(0, true)),
        (15 * SECOND, Event::Hangs(0, false)),
        (18 * SECOND, Event::Dies(1)),
        (18 * SECOND + NOTICE, Event::Told(1, NodeState::Gone)),
        (25 * SECOND, Event::Starts(1)),
        (25 * SECOND + NOTICE, Event::Told(1, NodeState::Serving)),
        (30 * SECOND, Event::Traffic(2.0)),
        (35 * SECOND, Event::Traffic(1.0)),
    ]
}

/// A release: one server after another drains, ends, and is back cold, within half a minute.
fn release(servers: usize) -> Vec<(Micros, Event)> {
    let one = |n: usize| {
        let at = 3 * SECOND + n as Micros * 30 * SECOND / servers as Micros;
        let steps = [
            (0, Event::Told(n, NodeState::Draining)),
            (SECOND, Event::Dies(n)),
            (2 * SECOND, Event::Starts(n)),
            (2 * SECOND + NOTICE, Event::Told(n, NodeState::Serving)),
        ];
        steps.map(|(after, event)| (at / TICK * TICK + after, event))
    };
    (0..servers).flat_map(one).collect()
}

struct Chance(Pcg64Mcg);

impl Chance {
    fn random(&mut self) -> f64 {
        (self.0.next_u64() >> 11) as f64 / (1u64 << 53) as f64
    }
    fn within(&mut self, least: f64, most: f64) -> f64 {
        least + (most - least) * self.random()
    }
    /// An index, by these shares.
    fn pick(&mut self, shares: &[f64]) -> usize {
        let at = self.random() * shares.iter().sum::<f64>();
        let mut sum = 0.0;
        let reaches = |share: &f64| {
            sum += share;
            at < sum
        };
        shares.iter().position(reaches).unwrap_or(0)
    }
}

/// What is asked of a site. Its settings say the rest.
struct Load {
    site: &'static str,
    brokers: usize,
    /// Of each class: its share of the queries, the least and most parts, and the mean work of a part in milliseconds.
    classes: &'static [(f64, usize, usize, f64)],
    tenants: &'static [f64],
    hints: bool,
    /// Of what the servers can do.
    load: f64,
    /// The least that any class, and any tenant, has to get.
    floor: f64,
}

const KEYED: Load = Load {
    site: include_str!("../../model/tests/sites/keyed.json"),
    brokers: 3,
    classes: &[(0.56, 3, 5, 90.0), (0.22, 1, 2, 90.0), (0.22, 4, 4, 110.0)],
    tenants: &[0.6, 0.4],
    hints: false,
    load: 0.6,
    floor: 0.75,
};

const REPEATABLE: Load = Load {
    site: include_str!("../../model/tests/sites/repeatable.json"),
    brokers: 2,
    classes: &[(0.29, 7, 7, 150.0), (0.71, 3, 5, 120.0)],
    tenants: &[1.0],
    hints: true,
    load: 0.6,
    floor: 0.75,
};

/// Work in hand at a data server, for an attempt of a broker.
struct Job {
    broker: usize,
    attempt: AttemptId,
    left: f64,
}

struct Server {
    cell: usize,
    zone: usize,
    speed: f64,
    jobs: Vec<Job>,
    started: Option<Micros>,
    hangs: bool,
    up: bool,
}

const CORES: usize = 2;

impl Server {
    fn info(&self, n: usize, state: NodeState) -> ServerInfo {
        let (cell, zone, started) = (self.cell, Some(self.zone), self.started.map(|at| at as i64));
        ServerInfo { name: NodeId(format!("s{n:02}").into()), cell, state, zone, started }
    }

    /// Works for a tick; what is done by then.
    fn work(&mut self, now: Micros, set: &Settings) -> Vec<Job> {
        let cold = &set.cold;
        let age = self.started.map_or(1.0, |at| (now - at) as f64 / 1000.0 / cold.warm_after).min(1.0);
        let can = self.speed * (cold.initial_capacity + (1.0 - cold.initial_capacity) * age) * TICK as f64
            / MILLI as f64;
        self.jobs.iter_mut().take(CORES).for_each(|j| j.left -= can);
        self.jobs.extract_if(.., |j| j.left <= 0.0).collect()
    }
}

struct Open {
    broker: usize,
    class: usize,
    tenant: usize,
    asked: Micros,
    /// Weight, work, and whether it is in, of each part.
    parts: Vec<(f64, f64, bool)>,
}

/// Worth earned, and asked for.
type Account = BTreeMap<usize, (f64, f64)>;

struct Day {
    load: &'static Load,
    set: Settings,
    cores: Vec<Core>,
    servers: Vec<Server>,
    open: BTreeMap<QueryId, Open>,
    /// When attempts are no longer waited for, and where they are.
    out: BTreeMap<(usize, AttemptId), (Micros, Micros, usize)>,
    /// What each broker hears in its next turn.
    reports: Vec<Vec<Report>>,
    by_class: Account,
    by_tenant: Account,
    /// Of each class: queries that were whole in time, late, in part, refused, and failed.
    ends: BTreeMap<usize, [u32; 5]>,
    chance: Chance,
    next: QueryId,
    /// What is to come, by its time.
    ahead: VecDeque<(Micros, Event)>,
    traffic: f64,
}

impl Day {
    fn new(load: &'static Load, events: impl Fn(usize) -> Vec<(Micros, Event)>) -> Self {
        let mut settings: Value = serde_json::from_str(load.site).unwrap();
        settings["PeersTotal"] = json!(load.brokers);
        let config = json!({"name": "n", "listen": "127.0.0.1:1", "discovery": "127.0.0.1:2", "seed": "7",
            "settings": settings, "known": {"rev": 1, "all": true, "targets": []}});
        let config = check(&config, |_| None).unwrap();
        let set = config.settings;
        let zones = config.names.zones.len().max(1);
        let server = |n: usize| Server {
            cell: n % set.cells,
            zone: n / set.cells % zones,
            speed: if n.is_multiple_of(3) { 0.75 } else { 1.0 },
            jobs: Vec::new(),
            started: None,
            hangs: false,
            up: true,
        };
        let servers: Vec<Server> = (0..3 * set.cells).map(server).collect();
        let broker = |n: usize| {
            let set = Settings { zone: Some(n % zones), ..set.clone() };
            let mut core = Core::new(set, config.max_open, 11 + n as u64).named(&config.names);
            let list = servers.iter().enumerate().map(|(n, s)| s.info(n, NodeState::Serving)).collect();
            core.learn(ListScope::Known, list);
            core
        };
        let mut ahead = events(servers.len());
        ahead.sort_by_key(|(at, _)| *at);
        Day {
            ahead: ahead.into(),
            traffic: 1.0,
            cores: (0..load.brokers).map(broker).collect(),
            reports: vec![Vec::new(); load.brokers],
            load,
            set,
            servers,
            open: BTreeMap::new(),
            out: BTreeMap::new(),
            by_class: Account::new(),
            by_tenant: Account::new(),
            ends: BTreeMap::new(),
            chance: Chance(Pcg64Mcg::seed_from_u64(5)),
            next: 1,
        }
    }

    /// Queries in a tick, by what they cost.
    fn rate(&self) -> f64 {
        let can: f64 = self.servers.iter().map(|s| s.speed * CORES as f64).sum();
        let cost = |(share, least, most, work): &(f64, usize, usize, f64)| {
            let parts = (least + most) as f64 / 2.0;
            share * parts * (work + self.set.call_work / 2.0)
        };
        self.load.load * can * (TICK / MILLI) as f64 / self.load.classes.iter().map(cost).sum::<f64>()
    }

    fn arrivals(&mut self, now: Micros) -> Vec<Query> {
        let mut queries = Vec::new();
        let each = 8;
        for _ in 0..each {
            if self.chance.random() >= self.traffic * self.rate() / f64::from(each) {
                continue;
            }
            let class = self.chance.pick(&self.load.classes.iter().map(|c| c.0).collect::<Vec<_>>());
            let (_, least, most, work) = self.load.classes[class];
            let parts = self.chance.within(least as f64, most as f64 + 0.999) as usize;
            let first = self.chance.within(0.0, self.set.shards as f64) as usize;
            let works: Vec<f64> = (0..parts).map(|_| work * self.chance.within(0.5, 1.5)).collect();
            let weight = 1.0 / parts as f64;
            let hint = |w: &f64| (w * 1000.0 * 0.8) as Micros;
            let specs = works.iter().enumerate().map(|(i, w)| PartSpec {
                shard: (first + i) % self.set.shards,
                weight,
                hint: self.load.hints.then(|| hint(w)),
            });
            let (id, tenant) = (self.next, self.chance.pick(self.load.tenants));
            self.next += 1;
            queries.push(Query {
                id,
                class,
                tenant,
                deadline: now + (self.set.classes[class].give_up * 1000.0) as Micros,
                limits: Arc::default(),
                is_retry: false,
                parts: specs.collect(),
            });
            let broker = self.chance.within(0.0, self.load.brokers as f64) as usize;
            let parts = works.into_iter().map(|work| (weight, work, false)).collect();
            self.open.insert(id, Open { broker, class, tenant, asked: now, parts });
        }
        queries
    }

    /// The end of an attempt, for its broker's next turn.
    fn ended(&mut self, now: Micros, broker: usize, attempt: AttemptId, outcome: Outcome) {
        let Some((sent, _, server)) = self.out.remove(&(broker, attempt)) else { return };
        self.servers[server].jobs.retain(|j| (j.broker, j.attempt) != (broker, attempt));
        if let Some(open) = self.open.get_mut(&attempt.query).filter(|_| outcome == Outcome::Served) {
            open.parts[attempt.part].2 = true;
        }
        self.reports[broker].push(Report {
            attempt,
            outcome,
            elapsed: now - sent,
            load: None,
            connected: None,
        });
    }

    fn account(&mut self, now: Micros, query: QueryId, verdict: Verdict) {
        let Some(open) = self.open.remove(&query) else { return };
        let class = &self.set.classes[open.class];
        let asked = if self.set.worth_by_work { open.parts.iter().map(|p| p.1).sum() } else { 1.0 };
        let have: f64 = open.parts.iter().filter(|p| p.2).map(|p| p.0).sum();
        let late = (now - open.asked) as f64 / 1000.0 > class.aim;
        let end = match verdict {
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
        self.ends.entry(open.class).or_default()[end] += 1;
        let earned = match verdict {
            Verdict::Answer { whole } => {
                assert!(have + 1e-4 >= if whole { class.need } else { class.floor }, "{have} is too little");
                let share = if whole { 1.0 } else { class.partial_earns * have / class.need };
                share * if late { class.late_worth } else { 1.0 }
            }
            Verdict::Refuse { .. } | Verdict::Fail => 0.0,
        };
        for (account, of) in [(&mut self.by_class, open.class), (&mut self.by_tenant, open.tenant)] {
            let entry = account.entry(of).or_default();
            *entry = (entry.0 + earned * asked, entry.1 + asked);
        }
    }

    fn carry_out(&mut self, now: Micros, broker: usize, decisions: Decisions) {
        for attempt in decisions.give_up {
            self.ended(now, broker, attempt, Outcome::Cancelled);
        }
        for end in decisions.finals {
            self.account(now, end.query, end.verdict);
        }
        let mut calls: BTreeMap<usize, usize> = BTreeMap::new();
        for d in decisions.dispatches {
            let server: usize = d.server.0[1..].parse().unwrap();
            self.out.insert((broker, d.attempt), (now, d.until, server));
            if !self.servers[server].up {
                self.ended(now, broker, d.attempt, Outcome::NoConnection);
                continue;
            }
            // Those to one server in one turn share calls.
            let call = calls.entry(server).or_default();
            let opens = call.is_multiple_of(self.set.batch);
            *call += 1;
            let work = self.open.get(&d.attempt.query).map_or(0.0, |o| o.parts[d.attempt.part].1);
            let left = work + if opens { self.set.call_work } else { 0.0 };
            self.servers[server].jobs.push(Job { broker, attempt: d.attempt, left });
        }
    }

    fn tell(&mut self, n: usize, state: NodeState) {
        let info = self.servers[n].info(n, state);
        self.cores.iter_mut().for_each(|core| core.learn(ListScope::Changes, vec![info.clone()]));
    }

    fn happens(&mut self, now: Micros, event: Event) {
        match event {
            Event::Hangs(n, hangs) => self.servers[n].hangs = hangs,
            Event::Dies(n) => {
                self.servers[n].up = false;
                let lost: Vec<_> = self.servers[n].jobs.iter().map(|j| (j.broker, j.attempt)).collect();
                lost.into_iter().for_each(|(b, a)| self.ended(now, b, a, Outcome::ConnectionLost));
            }
            Event::Starts(n) => {
                self.servers[n].up = true;
                self.servers[n].started = Some(now);
            }
            Event::Told(n, state) => self.tell(n, state),
            Event::Traffic(times) => self.traffic = times,
        }
    }

    fn tick(&mut self, now: Micros) {
        while let Some((_, event)) = self.ahead.pop_front_if(|(at, _)| *at <= now) {
            self.happens(now, event);
        }
        for n in 0..self.servers.len() {
            let done = if self.servers[n].hangs { Vec::new() } else { self.servers[n].work(now, &self.set) };
            done.into_iter().for_each(|j| self.ended(now, j.broker, j.attempt, Outcome::Served));
        }
        let late = self.out.iter().filter(|(_, (_, until, _))| *until <= now).map(|(key, _)| *key);
        for (broker, attempt) in late.collect::<Vec<_>>() {
            self.ended(now, broker, attempt, Outcome::TimedOut);
        }
        let arrivals = if now < LENGTH { self.arrivals(now) } else { Vec::new() };
        for broker in 0..self.cores.len() {
            let reports = std::mem::take(&mut self.reports[broker]);
            let decisions = self.cores[broker].report(now, reports);
            self.carry_out(now, broker, decisions);
            let own = arrivals.iter().filter(|q| self.open.get(&q.id).is_some_and(|o| o.broker == broker));
            let own = own.cloned().collect();
            let decisions = self.cores[broker].pick(now, own);
            self.carry_out(now, broker, decisions);
            let decisions = self.cores[broker].tick(now);
            self.carry_out(now, broker, decisions);
        }
    }
}

fn play(what: &str, load: &'static Load, events: impl Fn(usize) -> Vec<(Micros, Event)>) {
    let mut day = Day::new(load, events);
    let mut now = TICK;
    while now < LENGTH || !day.open.is_empty() {
        day.tick(now);
        now += TICK;
        assert!(now < LENGTH + 10 * SECOND, "{} queries never end", day.open.len());
    }
    let share = |(earned, asked): (f64, f64)| earned / asked.max(1e-9);
    let mut table = format!("{what}: {} brokers, {} queries\n", load.brokers, day.next - 1);
    for (what, accounts) in [("class", &day.by_class), ("tenant", &day.by_tenant)] {
        for (of, account) in accounts {
            table += &format!("  {what} {of}: {:.3} of {:.0}\n", share(*account), account.1);
        }
    }
    for (class, [whole, late, part, refused, failed]) in &day.ends {
        table += &format!(
            "  class {class}: {whole} whole, {late} late, {part} in part, {refused} refused, {failed} failed\n"
        );
    }
    print!("{table}");
    assert_eq!((day.by_class.len(), day.by_tenant.len()), (load.classes.len(), load.tenants.len()));
    for account in day.by_class.values().chain(day.by_tenant.values()) {
        assert!(share(*account) > load.floor, "one starves: {account:?}");
    }
}

#[test]
fn no_class_and_no_tenant_starves_where_a_class_is_keyed() {
    play("failures, keyed", &KEYED, failures);
}

#[test]
fn no_class_starves_where_all_may_be_repeated_and_copied() {
    play("failures, repeatable", &REPEATABLE, failures);
}

#[test]
fn no_class_and_no_tenant_starves_in_a_release() {
    play("release, keyed", &KEYED, release);
    play("release, repeatable", &REPEATABLE, release);
}
