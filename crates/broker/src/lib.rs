//! The broker on sockets: clients in front, data servers behind. What to send where, when to try again, answer or
//! refuse is decided by `brookbend`, behind the facade `plover_core`.
//!
//! [`run`] starts one, whose turns `event_loop` runs. What an operator may leave out stands beside the turns, behind the seam
//! `extensions`. [`front`] serves the clients, [`upstream`] the connections to data servers. They, and the
//! watch of the list of these, tell the turns what happened through the [`inbox`].

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
pub mod upstream;
