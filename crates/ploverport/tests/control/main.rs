//! The control service as a process of its own, with stand-in proxies that behave well or badly.

mod chaos;
mod crowd;
mod demo;
mod peers;
mod reports;
mod rig;
mod streams;
