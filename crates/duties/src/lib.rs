//! Named duties, each held by one broker at most.
//!
//! [`Keeper`]s, three or five of the brokers, keep a log; what it amounts to is the [`Register`]. Each broker that wants a
//! duty has a [`Holder`], which counts its lease, and whoever takes orders a [`Receiver`], which refuses those of an earlier
//! grant. [`Word`]s go between them.
//!
//! Nothing here reads a clock or does I/O: times are handed in, chance comes from a seed, and a keeper's disk is a [`Store`].

mod disk;
pub mod holder;
pub mod keeper;
pub mod peer;
pub mod receiver;
pub mod register;
pub mod store;
pub mod values;
pub mod wire;

pub use holder::Holder;
pub use keeper::Keeper;
pub use receiver::{Fence, Receiver};
pub use register::{Command, Refusal, Register};
pub use store::{MemoryStore, Store};
pub use wire::Word;
