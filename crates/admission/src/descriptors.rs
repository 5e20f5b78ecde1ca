//! Computes how many file descriptors the process reserves for itself, and divides the rest between clients
//! and data servers.
//!
//! Every descriptor that can be open at the same time is counted here, so that neither clients nor callers of
//! the admin interface can take one that the server list, a data server, the reading of a file or the
//! shutdown needs.

/// Standard input, output and error.
const STANDARD_STREAMS: u64 = 3;
/// The event queue with its waker and its timer, and the event queue of connections to data servers.
const EVENTS: u64 = 4;
/// Both ends of the pipe that reports signals.
const SIGNALS: u64 = 2;
/// The listeners of HTTP/1.1 and HTTP/2, and the platform's own, which stays open beside the process's copy.
const LISTENERS: u64 = 3;
/// The connections that the discovery watch holds at most, and one of the watch that it replaces.
const DISCOVERY: u64 = 5;
/// A file that is read at SIGHUP. Files are read one at a time.
const FILES: u64 = 1;
/// For each of the two fronts, one accepted connection that waits for a slot.
const WAITING: u64 = 2;
/// For each of the two fronts, one spare descriptor that accepts the next client when the system has no
/// other.
const SPARE: u64 = 2;
/// Per front, connections that were rejected for lack of a slot, or closed to free one, and are still read
/// from for a short time (lingering close).
pub const FRONT_LINGERING: usize = 7;
const LINGERING: u64 = 2 * FRONT_LINGERING as u64;
/// Maximum number of admin connections: more than a platform and a few people open at the same time.
pub const ADMIN_CONNECTIONS: usize = 16;
/// Admin connections in lingering close: one that was rejected, or closed to free a slot, and one that the
/// next one displaces.
pub const ADMIN_LINGERING: usize = 2;
/// The admin interface: its listener, one waiting connection, one spare descriptor, and its connections.
const ADMIN: u64 = 3 + (ADMIN_CONNECTIONS + ADMIN_LINGERING) as u64;
/// Maximum number of sibling processes of this broker.
const SIBLINGS: u64 = 4;
/// The handover: its listener, one connection that was just accepted and is rejected, and three for each
/// sibling: its connections and its process, including siblings that lost their connection to this process
/// and still run.
const HANDOVER: u64 = 2 + 3 * SIBLINGS;
/// Minimum number of descriptors for clients and data servers together.
const MIN_SHARED: u64 = 4;
/// Processes that share a limit together get at least one part in this number of what a single process would
/// have.
const MIN_SHARED_DIVISOR: u64 = 4;
/// Minimum limit to serve with, regardless of which interfaces are enabled.
const MIN_LIMIT: u64 = 64;

/// Descriptors that a process needs besides the connections of clients and data servers.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ProcessDescriptors {
    /// Whether the admin interface is enabled.
    pub admin: bool,
    /// Whether other processes of this broker may run on this machine.
    pub handover: bool,
    /// Number of descriptors that were inherited at the start and are not counted elsewhere in this module.
    pub foreign: u64,
}

impl ProcessDescriptors {
    /// Returns the reserve: the maximum number of open descriptors that are neither a client's slot nor a
    /// connection to a data server.
    pub fn reserve(&self) -> u64 {
        let always =
            STANDARD_STREAMS + EVENTS + SIGNALS + LISTENERS + DISCOVERY + FILES + WAITING + SPARE + LINGERING;
        let admin = if self.admin { ADMIN } else { 0 };
        let handover = if self.handover { HANDOVER } else { 0 };
        always + admin + handover + self.foreign
    }

    /// Returns the minimum limit to serve with.
    pub fn min_limit(&self) -> u64 {
        MIN_LIMIT.max(self.reserve() + MIN_SHARED)
    }

    /// Divides what a limit leaves after the reserve: two thirds for connections of clients, one third for
    /// connections to data servers. If the limit is too low, the error is the minimum limit.
    pub fn divide(&self, limit: u64) -> Result<DescriptorShares, u64> {
        if limit < self.min_limit() {
            return Err(self.min_limit());
        }
        let shared = limit - self.reserve();
        Ok(DescriptorShares { clients: shared * 2 / 3, pool: shared / 3 })
    }
}

/// The limit of open descriptors in force, and the part of it that each process reserves for itself.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct DescriptorLimit {
    /// Maximum number of open descriptors.
    pub max: u64,
    /// Number of descriptors that a process reserves.
    pub reserve: u64,
}

impl DescriptorLimit {
    /// Returns how many descriptors each of `processes` processes that share the limit may use, where a
    /// single process could use `all`. Each process has its own reserve. If the reserves leave less than a
    /// quarter of what a single process would have, that quarter is shared nevertheless.
    pub fn per_process(&self, all: usize, processes: usize) -> usize {
        let processes = processes.max(1) as u64;
        let alone = self.max.saturating_sub(self.reserve).max(1);
        let together = self.max.saturating_sub(processes * self.reserve).max(alone / MIN_SHARED_DIVISOR);
        ((all as u64 * together / alone / processes) as usize).max(1)
    }
}

/// Division of the descriptors that are left for connections.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct DescriptorShares {
    /// Descriptors for client connections on all fronts.
    pub clients: u64,
    /// Descriptors for connections to data servers.
    pub pool: u64,
}
