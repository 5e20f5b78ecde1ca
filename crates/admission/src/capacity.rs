//! ConnectionCapacity by need: how descriptors move between clients and data servers, and what becomes of a query that can't have its
//! connections.
//!
//! What is left beside the reserve is divided as [`crate::descriptors`] says for as long as that serves both sides. A side
//! that needs more gets it from what the other one doesn't need, down to a least share that is never taken. What is needed
//! now goes before what was needed recent, and both before what only rests.

use crate::descriptors::DescriptorShares;
use std::collections::VecDeque;

/// A side's least share, as a part of what the usual division gives it.
const LEAST: u64 = 2;
/// A few parts may find another holder in the next turn: so large a part of the pool's connections, and one at the least.
const FEW: usize = 16;
/// Sums of weights may fall this short: they are rounded on their way.
const ROUNDING: f64 = 5e-5;

/// What one side needs, in descriptors.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Demand {
    /// At this moment: without them somebody isn't served.
    pub now: u64,
    /// At the most of late; less than `now` counts as `now`.
    pub recent: u64,
}

/// What clients and data servers share.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ConnectionCapacity {
    usual: DescriptorShares,
    least: DescriptorShares,
}

impl ConnectionCapacity {
    /// With that division where nothing speaks against it. Clients could never use more than `clients_most`, since their
    /// connections take memory too.
    pub fn new(usual: DescriptorShares, clients_most: u64) -> Self {
        let least = |of: u64| (of / LEAST).max(1).min(of);
        let clients = least(usual.clients).min(clients_most.max(1));
        ConnectionCapacity { usual, least: DescriptorShares { clients, pool: least(usual.pool) } }
    }

    /// All that there is.
    pub fn total(&self) -> u64 {
        self.usual.clients + self.usual.pool
    }

    /// What each side has whatever the other needs.
    pub fn min_shares(&self) -> DescriptorShares {
        self.least
    }

    /// The most connections to data servers that there can ever be.
    pub fn max_pool(&self) -> u64 {
        self.total() - self.least.clients
    }

    /// Divides all that there is: both shares together are [`ConnectionCapacity::all`].
    pub fn divide(&self, clients: Demand, pool: Demand) -> DescriptorShares {
        let all = self.total();
        // What clients get at the least, and at the most, if both are to have what they need.
        let bounds = |clients: u64, pool: u64| {
            let (clients, pool) = (clients.max(self.least.clients), pool.max(self.least.pool));
            (clients, all.saturating_sub(pool))
        };
        let now = bounds(clients.now, pool.now);
        let recent = bounds(clients.recent.max(clients.now), pool.recent.max(pool.now));
        // Where both can't have it, who asks for no more than its usual share goes first, else that share is the rule.
        let nearest = |to: u64, (low, high): (u64, u64)| to.clamp(low.min(high), low.max(high));
        let wished = nearest(self.usual.clients, recent);
        let share = if now.0 <= now.1 { nearest(wished, now) } else { nearest(self.usual.clients, now) };
        DescriptorShares { clients: share, pool: all - share }
    }

    /// How far each side may go at once, where the other one still holds more than it is to have: a descriptor is never
    /// given twice.
    pub fn caps(&self, target: DescriptorShares, open: DescriptorShares) -> DescriptorShares {
        let all = self.total();
        DescriptorShares {
            clients: target.clients.min(all.saturating_sub(open.pool)),
            pool: target.pool.min(all.saturating_sub(open.clients)),
        }
    }
}

/// The highest figure of the last while.
#[derive(Clone, Debug)]
pub struct SlidingMaximum {
    /// For how long one counts, in the caller's unit of time.
    span: u64,
    /// Falling figures with the moments until which they count. Bounded by [`SlidingMaximum::MAX_ENTRIES`].
    kept: VecDeque<(u64, u64)>,
}

impl SlidingMaximum {
    /// Figures that are kept apart at the most; beyond that neighbours count as one.
    pub const MAX_ENTRIES: usize = 64;

    /// Over so long.
    pub fn new(span: u64) -> Self {
        SlidingMaximum { span, kept: VecDeque::new() }
    }

    /// Takes a figure, and says which was the highest.
    pub fn observe(&mut self, now: u64, figure: u64) -> u64 {
        let until = now.saturating_add(self.span);
        while self.kept.back().is_some_and(|(_, seen)| *seen <= figure) {
            self.kept.pop_back();
        }
        if self.kept.len() >= Self::MAX_ENTRIES {
            // The newest counts as high as the one before it, and as long as itself.
            if let Some(last) = self.kept.back_mut() {
                last.0 = until;
            }
        } else {
            self.kept.push_back((until, figure));
        }
        while self.kept.front().is_some_and(|(until, _)| *until <= now) {
            self.kept.pop_front();
        }
        self.kept.front().map_or(figure, |(_, seen)| *seen).max(figure)
    }

    /// When the highest ceases to count, if there is one.
    pub fn next_expiry(&self) -> Option<u64> {
        self.kept.front().map(|(until, _)| *until)
    }
}

/// The most data servers that a query's parts go to: one for each shard, and one for all shards of a cell. Queries and
/// parts in hand are bounded too, the query itself counting one.
pub fn max_fan_out(shards: usize, cells: usize, max_open: usize) -> u64 {
    shards.min(cells).min(max_open.saturating_sub(1)) as u64
}

/// So many connections of the widest plan are needed for that share of its parts.
pub fn connections_needed(widest: u64, share: f64) -> u64 {
    let part = (widest as f64 * share.clamp(0.0, 1.0) - ROUNDING).ceil();
    (part.max(0.0) as u64).min(widest)
}

/// What of a query goes out in a turn, and what doesn't for want of connections.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Shortage {
    /// The weight of its parts that aren't in, aren't out, and find no connection now.
    pub missing_weight: f64,
    /// Of those that were left out before.
    pub omitted_weight: f64,
    /// Data servers without a connection that it wants now.
    pub missing_servers: usize,
    /// All data servers that it wants now.
    pub servers: usize,
}

/// What becomes of it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ShortageAction {
    /// What finds a connection goes out; its answer can be whole without the rest, which may be asked for again.
    Send,
    /// What finds a connection goes out; the rest is asked for again in the next turn, or left out.
    Retry,
    /// What finds a connection goes out; the rest is left out for good.
    Omit,
    /// Nothing goes out: it can't be served.
    Refuse,
}

/// Decides for a query that lacks connections, whose answer is whole with `need` of its parts' weight and may be given from
/// `floor`. `pool`: connections that there may be now.
pub fn shortage_action(plan: &Shortage, pool: usize, need: f64, floor: f64) -> ShortageAction {
    let possible = 1.0 - plan.omitted_weight - plan.missing_weight + ROUNDING;
    let few = plan.missing_servers <= (pool / FEW).max(1) && plan.servers <= pool;
    if plan.missing_servers == 0 || possible >= need {
        ShortageAction::Send
    } else if few {
        ShortageAction::Retry
    } else if floor > 0.0 && possible >= floor.min(need) {
        ShortageAction::Omit
    } else {
        ShortageAction::Refuse
    }
}
