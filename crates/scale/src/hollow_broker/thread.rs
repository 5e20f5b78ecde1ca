//! Hollow brokers on a thread of the process that asks: for tests, which have no program of the rig's at hand.

use super::{Answer, Task, host};
use async_channel::Sender;
use std::io;
use std::thread::JoinHandle;

/// A thread of hollow brokers. Dropped, they are gone, as those that are killed.
#[derive(Debug)]
pub struct HollowThread {
    asks: Sender<(Task, Sender<Answer>)>,
    thread: Option<JoinHandle<()>>,
}

impl HollowThread {
    /// Starts it without brokers.
    pub fn start() -> io::Result<HollowThread> {
        let (asks, asked) = async_channel::bounded(1);
        let thread =
            std::thread::Builder::new().name("hollow".to_owned()).spawn(move || host::run(&asked))?;
        Ok(HollowThread { asks, thread: Some(thread) })
    }

    /// Asks it something, and waits until that is done. The error says why it could not be.
    pub fn ask(&self, task: Task) -> io::Result<Answer> {
        let (done, answer) = async_channel::bounded(1);
        self.asks.send_blocking((task, done)).map_err(io::Error::other)?;
        let answer = answer.recv_blocking().map_err(io::Error::other)?;
        match answer.failed {
            Some(failed) => Err(io::Error::other(failed)),
            None => Ok(answer),
        }
    }
}

impl Drop for HollowThread {
    fn drop(&mut self) {
        self.asks.close();
        if let Some(thread) = self.thread.take() {
            let _ = thread.join();
        }
    }
}
