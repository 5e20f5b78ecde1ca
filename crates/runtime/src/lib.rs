//! What all I/O shares: the program's clock and time limits, and reading from sockets.

pub mod busy;
pub mod clock;
pub mod descriptors;
pub mod net;
