//! Simulation of the decisions of one broker and its data servers, in simulated time.

mod burst;
mod simulation;
mod spell;
