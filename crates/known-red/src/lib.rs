//! The list of known failures as a check.
//!
//! A test that fails for a real fault which is not mended yet is ignored with the reason [`MARK`], so that the test run passes
//! over it, and has an entry in `KNOWN-RED.txt`. This package reads the list, holds it against the sources, and plays each
//! entry by its own command, so that a list that says anything else than what is so fails the run.

pub mod entry;
pub mod play;
pub mod sources;

pub use entry::{Entry, Fails, Fault, parse};
pub use play::{Ran, Verdict, judge, names_a_test};
pub use sources::ignored_as_known_red;

/// What the reason of an `ignore` attribute begins with where a test is passed over as known red.
pub const MARK: &str = "known red";

/// What is wrong between the list and the sources: an entry for each test that is ignored as known red, and no two.
pub fn unlisted(entries: &[Entry], ignored: &[String]) -> Vec<String> {
    let listed = |name: &&String| entries.iter().any(|entry| entry.function() == name.as_str());
    ignored.iter().filter(|name| !listed(name)).cloned().collect()
}
