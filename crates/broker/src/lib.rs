//! The broker's sockets and event loop, between clients and data servers. `brookbend`, behind the facade
//! `plover_core`, decides what to send where and when to retry, answer or refuse.
//!
//! [`run`] starts a broker, and `event_loop` runs its turns. Components that an operator may switch off are
//! called through the interface in `extensions`. [`front`] serves the clients, and [`upstream`] the
//! connections to data servers. Both, and the watch of the server list, pass what they received to the event
//! loop through the [`inbox`].

mod coming;
mod doors;
mod event_loop;
mod extensions;
pub mod front;
mod hand_over;
pub mod inbox;
mod neighbours;
pub mod operator;
mod queries;
mod reload;
#[cfg(test)]
mod rig;
mod room;
pub mod run;
mod server_list;
mod sibling_configurations;
pub mod upstream;
