//! Hollow brokers: real brokers, many to a process, that no client comes to.
//!
//! Each is all of what the program is made of (`plover_broker::run::Hosted`): the watch of the list on a connection of its own,
//! the list in the decisions and the pools, the way back, the turns with their tick, its doors. What it lacks beside the program
//! are signals, a process of its own, and the reading of the configuration file: a process reads one for all its brokers, and
//! gives each its name and seed. So what a hollow broker costs beside a real one is what a process costs.

mod host;
mod process;
mod thread;

pub use process::Hollows;
pub use thread::HollowThread;

use serde::{Deserialize, Serialize};
use serde_json::Value;
use std::io;

/// Most brokers in one process: a listener and a watch each, and the system's usual limit of descriptors is 1,024.
pub const MOST_IN_PROCESS: u32 = 200;

/// What a process of hollow brokers is asked.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(tag = "do", rename_all = "snake_case")]
pub enum Task {
    /// To start brokers `first` to below `first + count`.
    Start {
        /// Number of the first: names and seeds follow from it.
        first: u32,
        /// How many.
        count: u32,
        /// The platform's configuration for all of them.
        configuration: Value,
        /// The operator's file for all of them.
        operator: String,
    },
}

/// What it answers.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Answer {
    /// Brokers that run in it.
    pub running: u32,
    /// Why the task could not be done whole, if so.
    pub failed: Option<String>,
}

/// The seed of a broker of that number, where all of them are told `first`.
pub fn seed(first: u64, number: u32) -> u64 {
    first ^ u64::from(number).wrapping_mul(0x9e37_79b9_7f4a_7c15)
}

/// Serves as a process of hollow brokers: reads its task as lines of JSON from standard input, answers each with one, and
/// ends with its input.
pub fn serve() -> io::Result<()> {
    // What all of them log would be one on another; what goes wrong is told.
    plover_telemetry::init(plover_telemetry::Format::Logfmt, tracing::Level::WARN);
    let (asks, asked) = async_channel::bounded(1);
    // The brokers have the process's first thread, as the program's one does; this one mostly sleeps.
    let lines = std::thread::Builder::new().name("tasks".to_owned()).spawn(move || {
        crate::process::answer_lines(|task: Task| {
            let (done, answer) = async_channel::bounded(1);
            asks.send_blocking((task, done)).map_err(io::Error::other)?;
            answer.recv_blocking().map_err(io::Error::other)
        })
    })?;
    host::run(&asked);
    lines.join().unwrap_or_else(|_| Err(io::Error::other("the reading of tasks panicked")))
}
