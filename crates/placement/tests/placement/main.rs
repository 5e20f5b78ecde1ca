//! Plans against bounds, played move by move, and the rules by which the planner holds still.

mod props;
mod quality;
mod rules;
mod support;
