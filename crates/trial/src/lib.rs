//! Trials: real brokers, with faults *between* them.
//!
//! [`trial()`] starts 1 to 60 processes of the program with stand-in data servers, a stand-in discovery and clients under
//! load, all on loopback. Each link runs through a relay of its own that can stall, swallow, delay, cut or reset it;
//! processes are killed, stopped and started again; discovery falls silent or tells an old list. What is done is a
//! [`Script`], written as text or drawn from a seed. What clients, data servers and relays see goes into a [`Record`] on
//! one clock, and [`rules::check`], a pure function, says what of it breaks the rules.

mod broker;
mod clients;
mod clock;
mod draw;
mod gather;
mod play;
pub mod record;
mod relay;
mod restarts;
pub mod rules;
pub mod script;
mod setup;
mod shrink;
mod spoilt;
mod stage;
mod trial;

pub use draw::Shape;
pub use play::play;
pub use record::Record;
pub use script::Script;
pub use setup::Setup;
pub use shrink::shrink;
pub use spoilt::Spoilt;
pub use stage::{Query, Scene, Stage};
pub use trial::{Report, trial};
