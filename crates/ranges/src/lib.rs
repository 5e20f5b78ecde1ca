//! Key ranges, the map that assigns them to nodes, and measurements of nodes and links. These are plain
//! values: nothing here does I/O, reads a clock or decides what to move.
//!
//! - [`key`] contains keys and half-open ranges of keys.
//! - [`map`] contains the map, whose type guarantees that it covers the key space without gaps or overlaps.
//! - [`fleet`] contains the measured properties of ranges, nodes and links.

pub mod fleet;
pub mod key;
pub mod map;

pub use fleet::{Fleet, Link, Node, NodeStatus, RangeLoad};
pub use key::{Key, KeyRange, MAX_KEY_LENGTH};
pub use map::{
    Epoch, MAX_RANGES, MAX_REPLICAS, MapError, MapVersion, NodeName, RangeAssignment, RangeId, RangeMap,
};
