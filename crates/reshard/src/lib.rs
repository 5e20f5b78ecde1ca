//! Moving key ranges between nodes without downtime. Nothing here does I/O or reads a clock.
//!
//! [`plan`] has the plan language: the operator says how things shall be, the program finds the steps and their order,
//! refuses what cannot be kept at every moment on the way, and says at each moment what may start.

pub mod plan;
