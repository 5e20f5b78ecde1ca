//! Shared basis of all I/O: the clock of the process, timeouts, sockets, and figures on threads and file
//! descriptors.

pub mod busy;
pub mod clock;
pub mod descriptors;
pub mod net;
