//! Number and limit of the file descriptors of the process.

use rustix::process::{Resource, getrlimit};

/// Returns the soft limit of open file descriptors; `None` if there is no limit.
pub fn limit() -> Option<u64> {
    getrlimit(Resource::Nofile).current
}

/// Returns the number of open file descriptors; `None` if the system does not provide it.
pub fn open_count() -> Option<u64> {
    let entries = std::fs::read_dir("/proc/self/fd").ok()?;
    // One of the entries is the descriptor that reads the directory.
    Some((entries.count() as u64).saturating_sub(1))
}
