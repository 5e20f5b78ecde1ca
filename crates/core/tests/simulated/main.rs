//! One broker's decisions over data servers, in simulated time.

mod burst;
mod day;
mod spell;
