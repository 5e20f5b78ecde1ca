//! What bounds the sockets.

use crate::time::Micros;

/// Limits for connections to data servers.
#[derive(Clone, Copy, Debug)]
pub struct PoolLimits {
    /// Most connections.
    pub sockets: usize,
    /// Most parts in a call.
    pub batch: usize,
    /// Most parts on a connection.
    pub multiplex: usize,
    /// A connection must be up within this time.
    pub dial_timeout: Micros,
    /// Servers close connections that are idle for this long.
    pub keepalive: Micros,
}
