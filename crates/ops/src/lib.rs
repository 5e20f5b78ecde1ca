//! What operators ask of a running broker, without I/O or clock.
//!
//! [`Call`] is a request at the operators' door as a typed value. [`Counters`] are the figures, kept by whoever ends a query.
//! [`Life`] is where the program is in its life, with every transition in one place: SIGTERM, `evacuate` and a hand-over to
//! another process all go through it.

mod call;
mod life;
mod metrics;

pub use call::{BadCall, Call, decode};
pub use life::{DRAIN_TIME, Effect, Life, Refused, ShutdownTimes, Stage};
pub use metrics::{ClassCounter, Counters, Gauges, QueryResult};
