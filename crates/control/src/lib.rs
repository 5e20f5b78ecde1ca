//! The control service on sockets: what proxies are told goes out over xDS v3, and their load reports come back.
//!
//! [`hub`] owns the [`plover_director::Director`] and is the only one to ask it; [`ads`] and [`lrs`] are the two gRPC
//! services, one task a stream; [`roster`] watches the list of servers. They tell the hub what happened through one
//! bounded queue, and the hub tells all streams what holds now through one place in which only the newest state lies.

mod ads;
mod body;
mod hub;
mod lrs;
mod peers;
mod roster;
mod service;

pub use hub::{Event, Hub};
pub use service::{Options, Service, Started, shortage};
