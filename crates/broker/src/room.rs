//! Room by need: moves descriptors between clients and data servers, and finds what becomes of queries that lack
//! connections. What is decided is decided in [`plover_admission::capacity`].

use crate::front::Fronts;
use crate::queries::Queries;
use crate::upstream::{ConnectionChoice, Upstream};
use brookbend::api::Settings;
use plover_admission::budget;
use plover_admission::capacity::{self, Demand, Shortage, ShortageAction, SlidingMaximum};
use plover_admission::descriptors::{DescriptorLimit, DescriptorShares};
use plover_core::{Core, Dispatch};
use plover_model::query::{AttemptId, Names, QueryId};
use plover_model::server::NodeId;
use plover_model::time::{MILLI, Micros, SECOND};
use std::collections::{BTreeMap, BTreeSet};
use tracing::{info, warn};

/// What was needed counts for so long.
const LATELY: Micros = 10 * SECOND;
/// While one side holds what the other needs, that is looked at so often.
const AGAIN: Micros = 100 * MILLI;

/// What is divided, as the limits in force have it for a process that is this broker alone.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Given {
    /// The limit, which all processes of this broker share.
    pub(crate) limit: DescriptorLimit,
    /// How it is usually divided.
    pub(crate) usual: DescriptorShares,
    /// The most that the memory allows of HTTP/1.1 connections, and the seats of HTTP/2.
    pub(crate) http1_most: usize,
    pub(crate) http2: usize,
}

impl Given {
    /// From what the platform gives to clients, and how the fronts divide that.
    pub(crate) fn new(
        limit: DescriptorLimit,
        clients: budget::ClientBudget,
        pool: usize,
        fronts: &budget::FrontLimits,
    ) -> Self {
        let usual = DescriptorShares { clients: clients.sockets, pool: pool as u64 };
        let http2 = fronts.http2.map_or(0, |h| h.connections);
        let http1_most =
            budget::max_http1_connections(clients, fronts).min(usual.clients + usual.pool) as usize;
        Given { limit, usual, http1_most, http2 }
    }
}

/// What becomes of a turn's dispatches.
#[derive(Debug, Default)]
pub(crate) struct Fitted {
    /// They go out in this order: first what takes no new connection, and last what could share one.
    pub(crate) go: Vec<Vec<Dispatch>>,
    /// They don't.
    pub(crate) never: Vec<AttemptId>,
    /// Queries that are refused.
    pub(crate) refused: Vec<QueryId>,
}

/// The owner of the division.
pub(crate) struct Room {
    given: Given,
    copies: usize,
    divided: capacity::ConnectionCapacity,
    clients: SlidingMaximum,
    pool: SlidingMaximum,
    /// Connections that the widest plan takes which the settings allow.
    widest: u64,
    /// One side holds what the other needs.
    moving: bool,
    /// Parts that found no connection in the last turn, and may be asked for again in this one.
    lacked: BTreeSet<(QueryId, usize)>,
    /// Queries that were refused, and served in part, for want of connections.
    pub(crate) refused: u64,
    pub(crate) in_part: u64,
}

impl Room {
    /// Divided as usual.
    pub(crate) fn new(given: Given, settings: &Settings, names: &Names, max_open: usize) -> Self {
        let mut room = Room {
            given,
            copies: 1,
            divided: capacity::ConnectionCapacity::new(given.usual, u64::MAX),
            clients: SlidingMaximum::new(LATELY),
            pool: SlidingMaximum::new(LATELY),
            widest: 0,
            moving: false,
            lacked: BTreeSet::new(),
            refused: 0,
            in_part: 0,
        };
        room.divide_anew();
        room.plan(settings, names, max_open);
        room
    }

    /// Goes by other limits and settings. HTTP/2 keeps its seats, so far as they fit.
    pub(crate) fn retune(&mut self, given: Given, settings: &Settings, names: &Names, max_open: usize) {
        let http2 = self.given.http2.min((given.usual.clients / 4).max(1) as usize);
        if given.limit != self.given.limit {
            let (most, reserve) = (given.limit.max, given.limit.reserve);
            let DescriptorShares { clients, pool } = given.usual;
            info!(name: "descriptors_changed", most, reserve, clients, servers = pool);
        }
        self.given = Given { http2, ..given };
        self.divide_anew();
        self.plan(settings, names, max_open);
    }

    /// So many processes are this broker.
    pub(crate) fn set_copies(&mut self, copies: u32) {
        self.copies = copies as usize;
        self.divide_anew();
    }

    fn part(&self, all: usize) -> usize {
        self.given.limit.per_process(all, self.copies)
    }

    fn divide_anew(&mut self) {
        let DescriptorShares { clients, pool } = self.given.usual;
        let part = |all: u64| self.part(all as usize) as u64;
        let most = self.part(self.given.http1_most) + self.part(self.given.http2);
        self.divided = capacity::ConnectionCapacity::new(
            DescriptorShares { clients: part(clients), pool: part(pool) },
            most as u64,
        );
    }

    /// Looks at what the settings allow, and tells of classes whose widest queries can never have their connections.
    fn plan(&mut self, settings: &Settings, names: &Names, max_open: usize) {
        self.widest = capacity::max_fan_out(settings.shards, settings.cells, max_open);
        let have = self.divided.max_pool();
        for (class, name) in settings.classes.iter().zip(&names.classes) {
            let need = capacity::connections_needed(self.widest, class.need);
            if need > have {
                let floor = capacity::connections_needed(self.widest, class.floor);
                warn!(name: "plan_too_wide", class = %name, need, floor, have, widest = self.widest);
            }
        }
    }

    /// Divides by what is needed now, where so many parts are about to go out.
    pub(crate) fn share_out(&mut self, now: Micros, parts: usize, fronts: &Fronts, upstream: &mut Upstream) {
        let (http1, http2) = fronts.taken();
        let http2_seats = self.part(self.given.http2) * usize::from(self.given.http2 > 0);
        // What HTTP/2 may take is its own.
        let http2_held = http2.max(http2_seats);
        let (sockets, free) = upstream.capacity();
        let servers = upstream.server_count();
        let seen = |now_needed: usize, peak: &mut SlidingMaximum| {
            let lately = peak.observe(now, now_needed as u64);
            Demand { now: now_needed as u64, recent: lately }
        };
        let clients = seen(fronts.busy() + http2_held, &mut self.clients);
        let out = (upstream.in_flight() + parts).max(self.widest as usize).min(servers);
        let pool = seen(out, &mut self.pool);
        let target = self.divided.divide(clients, pool);
        let open = DescriptorShares { clients: (http1 + http2_held) as u64, pool: upstream.open() as u64 };
        let caps = self.divided.caps(target, open);
        self.moving = caps != target || open.clients > target.clients || open.pool > target.pool;
        if caps.pool as usize != sockets || free == 0 {
            upstream.set_capacity(caps.pool as usize);
        }
        let http1_most =
            self.part(self.given.http1_most).min((caps.clients as usize).saturating_sub(http2_held));
        fronts.set_seats(http1_most.max(1), http2_seats);
    }

    /// When that is to be looked at again without anything happening.
    pub(crate) fn due(&self, now: Micros) -> Option<Micros> {
        self.moving.then_some(now + AGAIN)
    }

    /// Finds which of a turn's dispatches can have their connections, and what becomes of queries whose parts can't.
    pub(crate) fn fit(
        &mut self,
        now: Micros,
        dispatches: BTreeMap<AttemptId, Dispatch>,
        queries: &mut Queries,
        core: &mut Core,
        upstream: &Upstream,
    ) -> Fitted {
        self.drop_lacked(&dispatches, queries, core);
        let (_, free) = upstream.capacity();
        if free >= dispatches.len() {
            return Fitted { go: vec![dispatches.into_values().collect()], ..Fitted::default() };
        }
        let mut ways: BTreeMap<NodeId, (usize, ConnectionChoice)> = BTreeMap::new();
        for d in dispatches.values() {
            // One that has no address is no matter of descriptors.
            ways.entry(d.server.clone()).or_insert((0, ConnectionChoice::Shared)).0 += 1;
        }
        for (server, (parts, way)) in &mut ways {
            *way = upstream.connection_choice(now, server, *parts).unwrap_or(ConnectionChoice::Shared);
        }
        let count = |of: ConnectionChoice| ways.values().filter(|(_, way)| *way == of).count();
        let mut may_open = free + upstream.idle().saturating_sub(count(ConnectionChoice::Idle));
        let mut fitted = Fitted::default();
        let mut lacking: BTreeSet<NodeId> = BTreeSet::new();
        let mut left = dispatches;
        if count(ConnectionChoice::New) > may_open {
            let mut granted: BTreeSet<NodeId> = BTreeSet::new();
            let asked: BTreeSet<QueryId> = left.keys().map(|attempt| attempt.query).collect();
            for query in asked {
                let new = |d: &&Dispatch| {
                    ways.get(&d.server).is_some_and(|(_, way)| *way == ConnectionChoice::New)
                        && !granted.contains(&d.server)
                };
                let mut wanted: BTreeMap<NodeId, f64> = BTreeMap::new();
                for d in of_query(&left, query).filter(new) {
                    *wanted.entry(d.server.clone()).or_default() += queries.weight(query, d.attempt.part);
                }
                let mut wanted: Vec<(NodeId, f64)> = wanted.into_iter().collect();
                wanted.sort_by(|a, b| b.1.total_cmp(&a.1));
                let more = wanted.split_off(wanted.len().min(may_open));
                lacking.clear();
                lacking.extend(more.into_iter().map(|(server, _)| server));
                let refused = !lacking.is_empty()
                    && !self.find_course(query, &mut left, &lacking, &mut fitted, queries, core, upstream);
                if !refused {
                    may_open -= wanted.len();
                    granted.extend(wanted.into_iter().map(|(server, _)| server));
                }
            }
        }
        let way = |d: &Dispatch| ways.get(&d.server).map_or(ConnectionChoice::Shared, |(_, way)| *way);
        fitted.go = [ConnectionChoice::Idle, ConnectionChoice::New, ConnectionChoice::Shared]
            .map(|of| left.extract_if(.., |_, d| way(d) == of).map(|(_, d)| d).collect())
            .into();
        fitted
    }

    /// Parts that found no connection in the last turn, and that the decisions didn't ask for again in this one, are left
    /// out: they wouldn't be sent before the client's time is over.
    fn drop_lacked(
        &mut self,
        dispatches: &BTreeMap<AttemptId, Dispatch>,
        queries: &mut Queries,
        core: &mut Core,
    ) {
        for (query, part) in std::mem::take(&mut self.lacked) {
            let of_part =
                AttemptId { query, part, attempt: 0 }..=AttemptId { query, part, attempt: u32::MAX };
            if dispatches.range(of_part).next().is_none() {
                queries.omit_part(query, part);
                core.omit_part(query, part);
            }
        }
    }

    /// Decides on a query that lacks connections to these servers, and takes what doesn't go out from the dispatches. False:
    /// nothing of it goes out.
    #[allow(clippy::too_many_arguments, reason = "what it needs of the turn, each owned elsewhere")]
    fn find_course(
        &mut self,
        query: QueryId,
        dispatches: &mut BTreeMap<AttemptId, Dispatch>,
        lacking: &BTreeSet<NodeId>,
        fitted: &mut Fitted,
        queries: &mut Queries,
        core: &mut Core,
        upstream: &Upstream,
    ) -> bool {
        let Some(status) = queries.status(query) else { return true };
        let (need, floor) = core.need_and_floor(status.class).unwrap_or((1.0, 1.0));
        let servers: BTreeSet<&NodeId> = of_query(dispatches, query).map(|d| &d.server).collect();
        let without: Vec<AttemptId> =
            of_query(dispatches, query).filter(|d| lacking.contains(&d.server)).map(|d| d.attempt).collect();
        let plan = Shortage {
            missing_weight: without.iter().map(|attempt| queries.weight(query, attempt.part)).sum(),
            omitted_weight: status.omitted_weight,
            missing_servers: lacking.len(),
            servers: servers.len(),
        };
        let (pool, _) = upstream.capacity();
        let course = capacity::shortage_action(&plan, pool, need, floor);
        match course {
            ShortageAction::Send => {}
            ShortageAction::Retry => self.lacked.extend(without.iter().map(|attempt| (query, attempt.part))),
            ShortageAction::Omit => {
                self.in_part += u64::from(status.omitted_weight == 0.0);
            }
            ShortageAction::Refuse => self.refused += 1,
        }
        if matches!(course, ShortageAction::Omit | ShortageAction::Refuse) {
            for attempt in &without {
                queries.omit_part(query, attempt.part);
                core.omit_part(query, attempt.part);
            }
            // The log takes one such line a second; the counts tell how many there were.
            let (class, refused, in_part) = (queries.class_name(status.class), self.refused, self.in_part);
            warn!(name: "query_too_wide", class, need = plan.servers, lacking = lacking.len(), room = pool, refused, in_part);
        }
        let goes = |attempt: &AttemptId| course != ShortageAction::Refuse && !without.contains(attempt);
        let of_it = AttemptId { query, part: 0, attempt: 0 }..=AttemptId {
            query,
            part: usize::MAX,
            attempt: u32::MAX,
        };
        let never = dispatches.extract_if(of_it, |attempt, _| !goes(attempt));
        fitted.never.extend(never.map(|(attempt, _)| attempt));
        if course == ShortageAction::Refuse && !status.any_sent {
            fitted.refused.push(query);
        }
        course != ShortageAction::Refuse
    }
}

fn of_query(dispatches: &BTreeMap<AttemptId, Dispatch>, query: QueryId) -> impl Iterator<Item = &Dispatch> {
    let first = AttemptId { query, part: 0, attempt: 0 };
    dispatches.range(first..).take_while(move |(attempt, _)| attempt.query == query).map(|(_, d)| d)
}

#[cfg(test)]
mod tests;
