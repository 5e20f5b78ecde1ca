//! The brokers of one process, on one thread.

use super::{Answer, MOST_IN_PROCESS, Task};
use async_channel::{Receiver, Sender};
use async_executor::{LocalExecutor, Task as Running};
use plover_broker::operator::Operator;
use plover_broker::run::Hosted;
use serde_json::Value;
use std::rc::Rc;

/// Runs what it is asked to on this thread, until nobody can ask any more.
pub(super) fn run(asked: &Receiver<(Task, Sender<Answer>)>) {
    let mut host = Host::new();
    let executor = host.executor.clone();
    async_io::block_on(executor.run(async {
        while let Ok((task, done)) = asked.recv().await {
            // Whoever asked may be gone.
            let _ = done.try_send(host.heed(task));
        }
    }));
}

/// The brokers and their thread's executor.
struct Host {
    executor: Rc<LocalExecutor<'static>>,
    /// Dropped, a broker is gone without a word, as one that is killed.
    brokers: Vec<Running<()>>,
}

impl Host {
    fn new() -> Self {
        Host { executor: Rc::default(), brokers: Vec::new() }
    }

    fn heed(&mut self, task: Task) -> Answer {
        let failed = match task {
            Task::Start { first, count, configuration, operator } => {
                self.start(first, count, &configuration, &operator).err()
            }
        };
        Answer { running: self.brokers.len() as u32, failed }
    }

    fn start(&mut self, first: u32, count: u32, configuration: &Value, operator: &str) -> Result<(), String> {
        if self.brokers.len() + count as usize > MOST_IN_PROCESS as usize {
            return Err(format!("more than {MOST_IN_PROCESS} brokers in a process"));
        }
        // Read once for all; the environment of a hollow process names nothing.
        let config = plover_config::check(configuration, |_| None)?;
        let file = Operator::of_text("operator", operator)?;
        for number in first..first.saturating_add(count) {
            let mut config = config.clone();
            config.name = format!("b{number:05}");
            config.seed = super::seed(config.seed, number);
            let hosted = Hosted::begin(config, file.clone(), self.executor.clone())
                .map_err(|error| error.to_string())?;
            self.brokers.push(self.executor.spawn(hosted.turns()));
        }
        Ok(())
    }
}
