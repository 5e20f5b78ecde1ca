//! Which moves of ranges between nodes are worth making.
//!
//! [`Weights`] states the one objective, in points: one point is one node wholly full by one measure. [`Model`] is a view of
//! the fleet as arrays, [`Layout`] a placement on it with its sums. [`propose`] looks for a better placement and gives the
//! moves to it in an order that keeps memory, disk and zones at every moment. [`Planner`] has the state through time: smoothed
//! loads, what moved before, and the rules by which it holds still.
//!
//! Nothing here reads a clock or does I/O: times are handed in, chance comes from a seed.

mod guide;
mod layout;
mod memory;
mod model;
mod order;
mod planner;
mod proposal;
mod search;
mod settings;
mod view;
mod watch;

pub use layout::{Layout, MEASURES};
pub use memory::{Memory, Moved};
pub use model::{Model, NodeFacts, PairFacts, RangeFacts};
pub use planner::{Planner, Still, Told};
pub use proposal::{Proposal, Reason, Relocation, Step, Terms};
pub use search::{Guard, propose};
pub use settings::{Refused, Rules, Settings, Weights};
pub use view::{Asks, Together, View};
pub use watch::{Smoothed, Watch};
