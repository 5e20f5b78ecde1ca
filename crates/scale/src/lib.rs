//! The scale run: what a fleet far larger than one machine costs, measured piece by piece on one machine.
//!
//! [`real_broker`] is the program as its users start it, [`clients`] ask it, and [`floor`] sends the same bytes without it.
//! [`process`] starts brokers and hollow processes, reads what they use, and ends what it started, also after a kill;
//! [`servers`] are hollow data servers and [`hollow_broker`] hollow brokers, many to a process; [`discovery`] is one for
//! more watchers than there are, and [`control`] what sweeps of the control plane share; [`sweeps`] change one dimension at
//! a time; [`report`] holds what came of it, fits lines to it, and writes it as a table and as JSON.

pub mod clients;
pub mod control;
pub mod discovery;
pub mod fit;
pub mod floor;
pub mod hollow_broker;
pub mod plan;
pub mod process;
pub mod real_broker;
pub mod report;
pub mod servers;
pub mod sweeps;
