//! Who may take how much of the broker's room, without I/O or clock.
//!
//! [`CapacityShares`] divides the room for queries and parts among connections: an HTTP/1.1 connection has one query in hand,
//! an HTTP/2 connection may have hundreds, and must not shut out the others. [`budget`] derives how much each front
//! may hold from the limits of the platform, so that all of them together stay within the memory given to clients.
//! [`descriptors`] says how many the process keeps for itself, [`capacity`] how the rest moves between clients and data servers,
//! [`OverheadEstimator`] what the broker itself needs for a part.

pub mod budget;
pub mod capacity;
pub mod descriptors;
mod overhead;
mod shares;

pub use overhead::{OverheadEstimator, Turn};
pub use shares::{CapacityShares, ConnectionId};
