//! The operators' interface to a running broker, without I/O or a clock.
//!
//! [`Call`] is a decoded request to the admin listener. [`Counters`] counts accepted and ended queries and
//! renders the metrics. [`Life`] is the state machine of the process: SIGTERM, `evacuate`, `rejoin` and a
//! handover to another process all change its state through the methods of [`Life`].

mod call;
mod life;
mod metrics;

pub use call::{BadCall, Call, decode};
pub use life::{DRAIN_TIME, Effect, Life, Refused, ShutdownTimes, Stage};
pub use metrics::{ClassCounter, Counters, Gauges, QueryResult};
