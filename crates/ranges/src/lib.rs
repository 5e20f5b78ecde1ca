//! Key ranges, the map that places them on nodes, and what is known of nodes and links. Plain values: nothing here does
//! I/O, reads a clock or decides what should move.
//!
//! [`key`] has keys and half-open ranges of them; [`map`] has the map, which by its type covers the whole key space
//! without gap or overlap; [`facts`] has what was measured of ranges, nodes and links.

pub mod facts;
pub mod key;
pub mod map;

pub use facts::{Fleet, Link, Node, RangeLoad, Standing};
pub use key::{Key, KeyRange, LONGEST_KEY};
pub use map::{Epoch, Fault, Held, MOST_RANGES, MOST_REPLICAS, MapVersion, NodeName, RangeId, RangeMap};
