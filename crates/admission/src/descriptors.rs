//! How many descriptors the process keeps for itself, and what it leaves to clients and data servers.
//!
//! Every descriptor that can be open at a time has its line here, so that neither clients nor callers, whatever they do, take
//! one that the list, a data server, a reading of the files or the shutdown needs.

/// Standard input, output and error.
const STANDARD_STREAMS: u64 = 3;
/// The event queue: itself, its bell and its timer; and that of connections to data servers.
const EVENTS: u64 = 4;
/// Both ends of the pipe that tells of signals.
const SIGNALS: u64 = 2;
/// Those of HTTP/1.1 and HTTP/2, and the platform's own, which stays open beside our copy.
const LISTENERS: u64 = 3;
/// The watch's connection, and beside it that of the watch it replaces.
const DISCOVERY: u64 = 2;
/// A file that is read at SIGHUP: one after the other.
const FILES: u64 = 1;
/// On each of two fronts one that is accepted and waits for a seat.
const WAITING: u64 = 2;
/// One for each of them that is kept free: it takes the next client where the system gives no other.
const MAX_ENTRIES: u64 = 2;
/// On each of them, those that were told that there is no seat, or made room, and are read on for a moment.
pub const FRONT_LINGERING: usize = 7;
const PARTINGS: u64 = 2 * FRONT_LINGERING as u64;
/// Seats of operators' admin: more callers at once than a platform and a few people are.
pub const ADMIN_CONNECTIONS: usize = 16;
/// One that was turned away there, or made room, and one that is being pushed out by the next.
pub const ADMIN_LINGERING: usize = 2;
/// The same of the admin, and its listener.
const ADMIN: u64 = 3 + (ADMIN_CONNECTIONS + ADMIN_LINGERING) as u64;
/// The hand-over: its listener, one that is just accepted and turned down, and the neighbours' connections and processes, those
/// included that have lost us and live.
const NEIGHBOURS: u64 = 4;
const HANDOVER: u64 = 2 + 3 * NEIGHBOURS;
/// The min_limit for clients and data servers together.
const LEAST_SHARED: u64 = 4;
/// What processes that share a limit have of it at the min_limit, as a part of what one alone would have.
const LEAST_PART: u64 = 4;
/// The min_limit limit to serve with, whatever is left out.
const LEAST: u64 = 64;

/// What a process holds beside connections of clients and data servers.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ProcessDescriptors {
    /// Whether operators have a admin.
    pub admin: bool,
    /// Whether there may be another process of this broker.
    pub handover: bool,
    /// Descriptors that were handed in at the start and are none of those named here.
    pub foreign: u64,
}

impl ProcessDescriptors {
    /// The reserve: the most that is open of all that is not a seat and not a connection to a data server.
    pub fn reserve(&self) -> u64 {
        let always = STANDARD_STREAMS
            + EVENTS
            + SIGNALS
            + LISTENERS
            + DISCOVERY
            + FILES
            + WAITING
            + MAX_ENTRIES
            + PARTINGS;
        let admin = if self.admin { ADMIN } else { 0 };
        let handover = if self.handover { HANDOVER } else { 0 };
        always + admin + handover + self.foreign
    }

    /// The min_limit limit to serve with.
    pub fn min_limit(&self) -> u64 {
        LEAST.max(self.reserve() + LEAST_SHARED)
    }

    /// Divides what a limit leaves: two thirds for clients' connections, one for those to data servers. The error is the
    /// min_limit limit that would do.
    pub fn divide(&self, limit: u64) -> Result<DescriptorShares, u64> {
        if limit < self.min_limit() {
            return Err(self.min_limit());
        }
        let shared = limit - self.reserve();
        Ok(DescriptorShares { clients: shared * 2 / 3, pool: shared / 3 })
    }
}

/// The limit in force, and what the process keeps of it for itself.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct DescriptorLimit {
    /// The most that may be open.
    pub max: u64,
    /// The reserve.
    pub reserve: u64,
}

impl DescriptorLimit {
    /// What one of so many processes that share the limit may have of what would be `all` with one alone: each has a
    /// reserve of its own. Where the reserves leave next to nothing, a quarter of the rest is shared all the same.
    pub fn per_process(&self, all: usize, processes: usize) -> usize {
        let processes = processes.max(1) as u64;
        let alone = self.max.saturating_sub(self.reserve).max(1);
        let together = self.max.saturating_sub(processes * self.reserve).max(alone / LEAST_PART);
        ((all as u64 * together / alone / processes) as usize).max(1)
    }
}

/// What is left to connections.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct DescriptorShares {
    /// For clients, on all fronts.
    pub clients: u64,
    /// For data servers.
    pub pool: u64,
}
