//! What the system says of the process's descriptors.

use rustix::process::{Resource, getrlimit};

/// The most that it lets the process hold now, the soft limit; `None`: as many as it likes.
pub fn limit() -> Option<u64> {
    getrlimit(Resource::Nofile).current
}

/// How many are open; `None`: the system does not tell.
pub fn open_count() -> Option<u64> {
    let entries = std::fs::read_dir("/proc/self/fd").ok()?;
    // One of them is that of the reading.
    Some((entries.count() as u64).saturating_sub(1))
}
