//! Clients of a broker over both versions of HTTP, and load in an open loop.
//!
//! [`Ask`] is a query as a client words it, [`Http1`] and [`Http2`] are connections that carry it, and [`open_loop`]
//! sends at a rate whatever comes back: latency is counted from when a query was due, so that a broker that stands
//! still is charged for every query that it held up (what is left out otherwise is known as coordinated omission).

mod ask;
mod direct;
mod http1;
mod http2;
mod open_loop;
pub mod raw;

pub use ask::{Answer, Ask, get};
pub use http1::{Http1, Idle};
pub use http2::{Http2, Stream};
pub use open_loop::{Load, Outcome, Target, open_loop};
