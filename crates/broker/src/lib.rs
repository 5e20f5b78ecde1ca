//! The broker on sockets: clients in front, data servers behind. What to send where, when to try again, answer or
//! refuse is decided by `brookbend`, behind the facade `plover_core`.
//!
//! [`turns`] runs the turns; [`front`] serves the clients, [`upstream`] the connections to data servers. They, and the
//! watch of the list of these, tell the turns what happened through the [`inbox`].

mod coming;
pub mod front;
pub mod inbox;
mod neighbours;
pub mod operator;
mod queries;
pub mod turns;
pub mod upstream;
