//! Processes of hollow brokers, as a sweep holds them.

use super::{Answer, MOST_IN_PROCESS, Task};
use crate::process::{Guard, LineProcess, Usage};
use serde_json::Value;
use std::io;
use std::path::Path;
use std::time::Duration;

/// Far beyond what a slow machine needs to start a process's brokers.
const BOUND: Duration = Duration::from_secs(120);

/// Hollow brokers in as many processes as they need. Dropped, all are killed.
#[derive(Debug, Default)]
pub struct Hollows {
    processes: Vec<LineProcess>,
    count: u32,
}

impl Hollows {
    /// Starts `count` brokers with numbers from `first` on, at most `in_process` in each; all processes start theirs at once.
    pub fn start(
        rig: &Path,
        guard: &Guard,
        numbers: std::ops::Range<u32>,
        in_process: u32,
        configuration: &Value,
        operator: &str,
    ) -> io::Result<Hollows> {
        let in_process = in_process.clamp(1, MOST_IN_PROCESS);
        let mut hollows = Hollows { processes: Vec::new(), count: numbers.end - numbers.start };
        let mut first = numbers.start;
        while first < numbers.end {
            let count = in_process.min(numbers.end - first);
            hollows.processes.push(LineProcess::start(rig, "hollow-brokers", guard)?);
            let task = Task::Start {
                first,
                count,
                configuration: configuration.clone(),
                operator: operator.to_owned(),
            };
            if let Some(process) = hollows.processes.last_mut() {
                process.tell(&task)?;
            }
            first += count;
        }
        for process in &mut hollows.processes {
            let answer: Answer = process.answer(BOUND)?;
            if let Some(failed) = answer.failed {
                return Err(io::Error::other(failed));
            }
        }
        Ok(hollows)
    }

    /// How many brokers there are.
    pub fn count(&self) -> u32 {
        self.count
    }

    /// How many processes they share.
    pub fn processes(&self) -> usize {
        self.processes.len()
    }

    /// What all processes have used, together. Times of first threads alone are of the brokers' own: the other one of a
    /// process reads its tasks.
    pub fn usage(&self) -> io::Result<Usage> {
        self.processes.iter().try_fold(Usage::default(), |sum, process| Ok(sum + process.usage()?))
    }
}
