//! Stand-ins on loopback for what surrounds a broker, written from the public description of its protocol.
//!
//! A [`Fleet`] is a discovery and some data servers on a thread of its own. Each data server can be made faulty while
//! it runs ([`Fault`]): slow, hanging, failing, resetting, garbling, dead, and back again cold. The [`books`] hold every
//! attempt that came and how it ended, and check them against the rules that a broker must keep.

pub mod books;
mod command;
mod deployment;
mod discovery;
mod fleet;
mod list;
mod program;
pub mod script;
mod server;
pub mod timed;
mod view;

pub use deployment::Deployment;
pub use fleet::{Change, Fleet, Plan, ServerHandle};
pub use list::{Entry, List};
pub use program::{Inherit, Program};
pub use server::Fault;
pub use view::{Called, Sight, View, Wrote};

/// The value that data servers give for a part: whoever holds the shard, the same.
pub fn value(shard: usize, text: &str) -> String {
    // FNV-1a over the shard and the text.
    let mut hash = 0xcbf2_9ce4_8422_2325_u64 ^ shard as u64;
    for b in text.bytes() {
        hash = (hash ^ u64::from(b)).wrapping_mul(0x0100_0000_01b3);
    }
    format!("{hash:016x}")
}
