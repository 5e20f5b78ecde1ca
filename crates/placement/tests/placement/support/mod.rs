//! Stand-ins and checkers, used by the tests and the examples.
#![allow(dead_code, missing_docs)]

pub mod baselines;
pub mod bound;
pub mod fleets;
pub mod player;
