//! xDS v3 without I/O or clock: what one stream of a proxy asked for, what it was sent, and what it is owed.
//!
//! A [`View`] is what a proxy is to be told at a moment: resources by kind and name, each encoded once and shared. A
//! [`Stream`] takes the proxy's requests, in either variant of the protocol, and says what goes out next. Nothing is
//! queued here: what is owed follows from the newest view each time, so that a proxy that reads slowly is sent the
//! newest state and none in between.
//!
//! Sources: the xDS protocol as the Envoy project publishes it ("xDS REST and gRPC protocol"), for the variants, for
//! versions and nonces, for subscriptions (wildcard ones included), for the order in which updates go out ("make before
//! break") and for resources with a time to live.

mod kind;
mod resource;
mod stream;
mod watch;
pub mod wire;

pub use kind::Kind;
pub use resource::{Collection, Resource, Snapshot, Version, View};
pub use stream::Stream;
pub use watch::{Answer, Fault, Heard, Item, Request};

/// The variant of the protocol that a stream speaks.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Variant {
    /// State of the world: a response holds all listeners or clusters that were asked for.
    Sotw,
    /// Incremental: a response holds what changed.
    Delta,
}

/// Most names that a stream may ask for by kind. A proxy needs one for each cluster.
pub const MOST_NAMES: usize = 16_384;
/// Longest name, in bytes.
pub const LONGEST_NAME: usize = 512;
