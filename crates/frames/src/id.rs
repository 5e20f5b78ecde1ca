//! A part's id on the wire.

use std::fmt;
use std::rc::Rc;

/// A part's id on the wire: its request's id, a dot, and its shard. The parts of a request share the text.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct PartId {
    /// The request's id.
    pub request: Rc<str>,
    /// The shard.
    pub shard: usize,
}

impl PartId {
    /// Whether it is written so.
    pub fn is(&self, text: &str) -> bool {
        let shard = text.strip_prefix(&*self.request).and_then(|rest| rest.strip_prefix('.'));
        let plain = |shard: &&str| shard.starts_with(|c: char| c.is_ascii_digit());
        let same = |shard: &str| shard.parse() == Ok(self.shard) && (shard == "0" || !shard.starts_with('0'));
        shard.filter(plain).is_some_and(same)
    }
}

impl fmt::Display for PartId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}.{}", self.request, self.shard)
    }
}
