//! Two processes that are one broker for a while: an old one that serves, and a new one that takes over.
//!
//! Rules and limits hold for both together, so each tells the other what it does before it does it: the keys whose parts
//! it sends, the queries it has in hand. [`wire`] is how that is said, [`Siblings`] what each side makes of it. Both are
//! without I/O or clock; times are those of the machine's monotonic clock, which all of its processes share.
//!
//! What is not known counts against us. A neighbour that speaks another version, does not answer, or stops reading may be
//! sending anything: until it is gone, and for as long after that as its clients may come back, no part of a keyed class is
//! sent. Where both live but have lost each other, the new one knows all that the old one did, and the old one holds back.

mod siblings;
pub mod wire;

pub use siblings::{KeyedSend, LinkId, LocalProcess, Siblings, Timeouts, Update};
