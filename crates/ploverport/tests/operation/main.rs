//! Day by day: the operators' door, emptying, other settings, and a new version beside the old one, on the real program
//! with stand-ins on loopback. Waits are for events, with bounds far beyond what a slow machine needs.

mod coming_back;
mod door;
mod drain;
mod restart;
mod rig;
mod settings;
mod soak;
mod successor;
mod upgrade;
mod watch;
