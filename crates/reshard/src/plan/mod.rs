//! Plans: [`mod@file`] reads one, [`mod@compile`] makes the graph of steps of it ([`shape`]: what is cut and joined,
//! [`place`]: who holds what, [`order`]: an order in which everything fits), [`show`] renders the graph, [`entry`] and
//! [`progress`] are the log and the state of a plan that runs, [`next`] says what may start,
//! [`amend`] takes another plan for the rest.

pub mod amend;
mod back;
pub mod compile;
pub mod entry;
mod even;
pub mod file;
pub mod goals;
pub mod graph;
pub mod next;
pub mod order;
pub mod place;
pub mod progress;
pub mod room;
pub mod shape;
pub mod show;
pub mod step;

pub use amend::AmendRefused;
pub use compile::compile;
pub use entry::{Cause, Entry, Refused, Said, StepState, Token};
pub use file::read;
pub use goals::{Bounds, Goal, Group, Plan, Refusal, Then, What, faults};
pub use graph::{Graph, Planned};
pub use next::{Next, Pause, Seen, Stands, Start, Way};
pub use progress::Progress;
pub use step::{Back, Step, StepId};
