//! What bounds the sockets.

use crate::time::Micros;

/// Limits for connections to data servers.
#[derive(Clone, Copy, Debug)]
pub struct PoolLimits {
    /// Most connections.
    pub max_connections: usize,
    /// Most parts in a call.
    pub max_parts_per_call: usize,
    /// Most parts on a connection.
    pub max_parts_per_connection: usize,
    /// A connection must be up within this time.
    pub dial_timeout: Micros,
    /// Servers close connections that are idle for this long.
    pub idle_timeout: Micros,
}
