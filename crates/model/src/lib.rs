//! The plain values that all packages of the broker share. Nothing here does I/O, reads a clock or decides.
//!
//! [`time`] counts whole microseconds; [`query`] is what a client asks and how that ends; [`server`] is the list of
//! data servers as discovery sends it and as the decisions see it; [`limits`] bounds what the sockets hold.

pub use brookbend::snapshot;

pub mod limits;
pub mod query;
pub mod server;
pub mod time;
