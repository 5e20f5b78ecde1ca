//! State shared by the processes of one broker during a handover: an old process that serves and a new one
//! that takes over.
//!
//! The rules and limits of the broker apply to its processes together, so each process tells the others what
//! it does before it does it: the keys whose parts it sends and the queries that it has open. [`wire`]
//! defines the messages; [`Siblings`] holds what one process knows of the others. Both work without I/O and
//! without a clock: times are read by the caller from the machine's monotonic clock, which all of its
//! processes share.
//!
//! Whatever is unknown is assumed to be unsafe. A sibling that speaks another protocol version, does not
//! answer or stops reading may be sending anything. Until it has ended, and after that for as long as its
//! clients may retry here, no part of a keyed class is sent. If both processes are alive but have lost their
//! connection, the new one knows everything that the old one sent and goes on, and the old one stops sending.

mod siblings;
pub mod wire;

pub use siblings::{KeyedSend, LinkId, LocalProcess, Siblings, Timeouts, Update};
