//! Divides descriptors between clients and data servers by demand, and decides what happens to a query for
//! which there are not enough connections.
//!
//! The descriptors that are left after the reserve are divided in the usual ratio (see
//! [`crate::descriptors`]) as long as that satisfies both sides. A side that needs more gets what the other
//! side does not need, down to a minimum share that each side always keeps. Current demand takes precedence
//! over recent demand, and both over idle descriptors.

use crate::descriptors::DescriptorShares;
use std::collections::VecDeque;

/// The minimum share of a side is its usual share divided by this number.
const MIN_SHARE_DIVISOR: u64 = 2;
/// A query's parts without a connection are left to the next turn, in which another server that holds their
/// shard may have a connection, only if they go to at most as many servers as the number of the pool's
/// connections divided by this number, or to one server.
const RETRY_DIVISOR: usize = 16;
/// Tolerance for the sum of the weights of a query's parts, which are rounded values.
const ROUNDING: f64 = 5e-5;

/// Demand of one side, in descriptors.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Demand {
    /// Current demand: with less, a client or a query would not be served.
    pub now: u64,
    /// Maximum of recent demand. A value below `now` counts as `now`.
    pub recent: u64,
}

/// The descriptors that clients and data servers share.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ConnectionCapacity {
    usual: DescriptorShares,
    min: DescriptorShares,
}

impl ConnectionCapacity {
    /// Creates a capacity with the division that applies unless demand requires another. `max_clients` is the
    /// number of client connections for which there is memory: the minimum share of clients is no higher.
    pub fn new(usual: DescriptorShares, max_clients: u64) -> Self {
        let min_share = |of: u64| (of / MIN_SHARE_DIVISOR).max(1).min(of);
        let clients = min_share(usual.clients).min(max_clients.max(1));
        ConnectionCapacity { usual, min: DescriptorShares { clients, pool: min_share(usual.pool) } }
    }

    /// Returns the number of descriptors of both sides together.
    pub fn total(&self) -> u64 {
        self.usual.clients + self.usual.pool
    }

    /// Returns the share that each side keeps whatever the demand of the other.
    pub fn min_shares(&self) -> DescriptorShares {
        self.min
    }

    /// Returns the maximum number of connections to data servers.
    pub fn max_pool(&self) -> u64 {
        self.total() - self.min.clients
    }

    /// Divides all descriptors by demand. The sum of both shares is [`ConnectionCapacity::total`].
    pub fn divide(&self, clients: Demand, pool: Demand) -> DescriptorShares {
        let total = self.total();
        // Lower and upper bound of the clients' share if both sides are to have what they need.
        let bounds = |clients: u64, pool: u64| {
            let (clients, pool) = (clients.max(self.min.clients), pool.max(self.min.pool));
            (clients, total.saturating_sub(pool))
        };
        let now = bounds(clients.now, pool.now);
        let recent = bounds(clients.recent.max(clients.now), pool.recent.max(pool.now));
        // If the demand of both sides cannot be met, a side that needs no more than its usual share gets what
        // it needs; if both need more, the usual division applies.
        let nearest = |to: u64, (low, high): (u64, u64)| to.clamp(low.min(high), low.max(high));
        let preferred = nearest(self.usual.clients, recent);
        let share = if now.0 <= now.1 { nearest(preferred, now) } else { nearest(self.usual.clients, now) };
        DescriptorShares { clients: share, pool: total - share }
    }

    /// Returns how many descriptors each side may have open for now. While one side still has more open than
    /// its target, the other side's cap is lower than its target, so that no descriptor is assigned twice.
    pub fn caps(&self, target: DescriptorShares, open: DescriptorShares) -> DescriptorShares {
        let total = self.total();
        DescriptorShares {
            clients: target.clients.min(total.saturating_sub(open.pool)),
            pool: target.pool.min(total.saturating_sub(open.clients)),
        }
    }
}

/// Maximum of the values that were observed within a sliding window of time.
#[derive(Clone, Debug)]
pub struct SlidingMaximum {
    /// Length of the window, in the caller's unit of time.
    span: u64,
    /// Pairs of expiry time and value, by descending value. At most [`SlidingMaximum::MAX_ENTRIES`].
    entries: VecDeque<(u64, u64)>,
}

impl SlidingMaximum {
    /// Maximum number of values that are kept apart. Beyond that, a new value is merged with the one before
    /// it.
    pub const MAX_ENTRIES: usize = 64;

    /// Creates an empty window of this length.
    pub fn new(span: u64) -> Self {
        SlidingMaximum { span, entries: VecDeque::new() }
    }

    /// Adds a value and returns the maximum of the window.
    pub fn observe(&mut self, now: u64, value: u64) -> u64 {
        let until = now.saturating_add(self.span);
        while self.entries.back().is_some_and(|(_, seen)| *seen <= value) {
            self.entries.pop_back();
        }
        if self.entries.len() >= Self::MAX_ENTRIES {
            // The merged entry has the higher value of the two and the later expiry.
            if let Some(last) = self.entries.back_mut() {
                last.0 = until;
            }
        } else {
            self.entries.push_back((until, value));
        }
        while self.entries.front().is_some_and(|(until, _)| *until <= now) {
            self.entries.pop_front();
        }
        self.entries.front().map_or(value, |(_, seen)| *seen).max(value)
    }

    /// Returns the time at which the current maximum expires; `None` if the window is empty.
    pub fn next_expiry(&self) -> Option<u64> {
        self.entries.front().map(|(until, _)| *until)
    }
}

/// Returns the maximum number of data servers to which the parts of one query go: one for each shard, and no
/// more than there are cells. The number of open queries and parts is limited as well, and the query itself
/// counts as one.
pub fn max_fan_out(shards: usize, cells: usize, max_open: usize) -> u64 {
    shards.min(cells).min(max_open.saturating_sub(1)) as u64
}

/// Returns the number of connections that a query with the given fan-out needs for this share of its parts.
pub fn connections_needed(fan_out: u64, share: f64) -> u64 {
    let needed = (fan_out as f64 * share.clamp(0.0, 1.0) - ROUNDING).ceil();
    (needed.max(0.0) as u64).min(fan_out)
}

/// What a query lacks in a turn for want of connections.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Shortage {
    /// Weight of the parts that are neither answered nor in flight and for which there is no connection.
    pub missing_weight: f64,
    /// Weight of the parts that were omitted before.
    pub omitted_weight: f64,
    /// Number of data servers to which parts are to go in this turn and for which there is no connection.
    pub missing_servers: usize,
    /// Number of all data servers to which parts are to go in this turn.
    pub servers: usize,
}

/// What to do with a query that lacks connections.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ShortageAction {
    /// Send the parts that have a connection. The answer can be complete without the others, which may be
    /// tried again.
    Send,
    /// Send the parts that have a connection. The others are tried again in the next turn, or else omitted.
    Retry,
    /// Send the parts that have a connection and omit the others for good.
    Omit,
    /// Send nothing: the query cannot be served.
    Refuse,
}

/// Decides what to do with a query that lacks connections. Its answer is complete with a weight of `need` of
/// its parts and may be given from a weight of `floor`. `pool` is the number of connections to data servers
/// that may be open now.
pub fn shortage_action(shortage: &Shortage, pool: usize, need: f64, floor: f64) -> ShortageAction {
    let attainable = 1.0 - shortage.omitted_weight - shortage.missing_weight + ROUNDING;
    let few = shortage.missing_servers <= (pool / RETRY_DIVISOR).max(1) && shortage.servers <= pool;
    if shortage.missing_servers == 0 || attainable >= need {
        ShortageAction::Send
    } else if few {
        ShortageAction::Retry
    } else if floor > 0.0 && attainable >= floor.min(need) {
        ShortageAction::Omit
    } else {
        ShortageAction::Refuse
    }
}
