//! Plain data types that the packages of the broker share. Nothing here does I/O, reads a clock or makes
//! decisions.
//!
//! [`time`] defines times in whole microseconds; [`query`] a client's request and its final answer;
//! [`server`] the list of data servers, as discovery sends it and as the decision module uses it; [`limits`]
//! the limits of connections to data servers; [`configuration`] the configurations that clients may apply.

pub use brookbend::snapshot;

/// The settings of classes, as the decision module defines them.
pub mod settings {
    pub use brookbend::api::{Class, Semantics};
}

pub mod configuration;
pub mod limits;
pub mod query;
pub mod server;
pub mod time;
