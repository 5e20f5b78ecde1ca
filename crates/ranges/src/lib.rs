//! Key ranges, the map that places them on nodes, and what is known of nodes and links. Plain values: nothing here does
//! I/O, reads a clock or decides what should move.
//!
//! [`key`] has keys and half-open ranges of them; [`map`] has the map, which by its type covers the whole key space
//! without gap or overlap; [`fleet`] has what was measured of ranges, nodes and links.

pub mod fleet;
pub mod key;
pub mod map;

pub use fleet::{Fleet, Link, Node, NodeStatus, RangeLoad};
pub use key::{Key, KeyRange, MAX_KEY_LENGTH};
pub use map::{
    Epoch, MAX_RANGES, MAX_REPLICAS, MapError, MapVersion, NodeName, RangeAssignment, RangeId, RangeMap,
};
