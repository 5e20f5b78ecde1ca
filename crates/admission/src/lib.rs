//! Divides the broker's capacity among connections, fronts and processes. It does no I/O and reads no clock.
//!
//! - [`CapacityShares`] divides the capacity for open queries and parts among client connections. An HTTP/1.1
//!   connection has one open query, an HTTP/2 connection may have hundreds and must not starve the others.
//! - [`budget`] derives limits for each front from the limits of the platform, so that all of them together
//!   stay within the memory for clients.
//! - [`descriptors`] computes how many file descriptors the process reserves for itself.
//! - [`capacity`] divides the remaining descriptors between clients and data servers by demand.
//! - [`OverheadEstimator`] learns the time that the broker itself spends per part and per turn.

pub mod budget;
pub mod capacity;
pub mod descriptors;
mod overhead;
mod shares;

pub use overhead::{OverheadEstimator, Turn};
pub use shares::{CapacityShares, ConnectionId};
