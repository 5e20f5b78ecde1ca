//! Limits of connections to data servers.

use crate::time::Micros;

/// Limits of the pool of connections to data servers.
#[derive(Clone, Copy, Debug)]
pub struct PoolLimits {
    /// Maximum number of open connections.
    pub max_connections: usize,
    /// Maximum number of parts sent in one call.
    pub max_parts_per_call: usize,
    /// Maximum number of unanswered parts on one connection.
    pub max_parts_per_connection: usize,
    /// Maximum time in microseconds to establish a connection.
    pub dial_timeout: Micros,
    /// Time in microseconds after which servers close an idle connection.
    pub idle_timeout: Micros,
}
