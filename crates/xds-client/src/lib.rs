//! A stand-in for proxies, written from the public specification of xDS: it asks, applies what comes, acknowledges,
//! refuses, stalls and comes back as told, and keeps every update with its time. [`traffic`] sends load by what it was
//! told to servers that exist only here.

mod proxy;
mod state;
pub mod traffic;
mod wire;

pub use proxy::{Behaviour, Options, Proxy, Style};
pub use state::{Endpoint, Held, State, Update};
