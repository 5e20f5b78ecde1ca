//! How a broker comes back, where most of its fleet may be coming back in the same moment.
//!
//! [`Coming`] is where one is on that way, with a bound in time for each phase. [`Budget`] paces all that it does to others
//! meanwhile, so that the sum over the fleet stays level. [`Ramp`] is the share of queries that it admits, which grows
//! with answers that came in time. [`Roster`] says which memory of servers may be believed.
//!
//! Nothing here reads a clock or does I/O: times are handed in, chance comes from a seed.

mod budget;
mod phase;
mod ramp;
mod roster;

pub use budget::{Budget, Kind, Rates, turn_of};
pub use phase::{Change, Coming, Phase, Times};
pub use ramp::Ramp;
pub use roster::{Entry, Roster, Source, State};
