//! What other proxies are told of the data servers, without I/O or clock.
//!
//! Whether a server is sound, ejected, draining or cold is decided by the module; this package turns those views into
//! something that many proxies can act on while each of them may be late, cut off, or carry most of the traffic:
//!
//! - [`cold`] says how many requests a cold server may have out from everybody together;
//! - [`leases`] deals those out to proxies, and counts each until its proxy can no longer act on it;
//! - [`loans`] moves parts of that between control instances that may talk;
//! - [`quorum`] lets the views of several proxies, and never of one, take a server out, and not too many of them;
//! - [`assign`] makes the clusters and endpoints that one proxy is told of.

pub mod assign;
pub mod cold;
pub mod leases;
pub mod loans;
pub mod quorum;

use std::sync::Arc;

/// Name of a proxy, the same over its streams.
pub type Proxy = Arc<str>;

pub use plover_model::server::ServerStatus;
