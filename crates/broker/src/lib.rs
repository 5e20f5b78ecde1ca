//! The broker on sockets: clients in front, data servers behind. What to send where, when to try again, answer or
//! refuse is decided by `brookbend`, behind the facade `plover_core`.
//!
//! [`turns`] runs the turns; [`front`] serves the clients, [`upstream`] the connections to data servers, and
//! [`discovery`] watches the list of these. They tell the turns what happened through the [`inbox`].

pub mod clock;
pub mod discovery;
pub mod front;
pub mod inbox;
pub mod net;
pub mod operator;
mod queries;
pub mod turns;
pub mod upstream;
