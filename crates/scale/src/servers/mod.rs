//! Hollow data servers: the data servers' protocol with a distribution of times; many share a process.
//!
//! A process is one thread that waits on all its listeners and connections at once ([`engine`]), so that a part costs it a
//! read and a write. [`Fleet`] owns the processes, hands servers out to them so that all holders of a shard are in one, and
//! adds their accounts up.

pub mod engine;
mod fleet;
mod task;
pub mod times;

pub use fleet::{Fleet, Shape};
pub use task::{Account, Done, Fault, Task};

use engine::Engine;
use mio::{Poll, Waker};
use std::io::{self, BufRead, Write};
use std::sync::Arc;
use std::sync::mpsc::channel;

/// Serves as a process of hollow data servers: reads its tasks as lines of JSON from standard input, answers each with one,
/// and ends with its input.
pub fn serve() -> io::Result<()> {
    let poll = Poll::new()?;
    let waker = Arc::new(Waker::new(poll.registry(), engine::WAKE)?);
    let (sender, tasks) = channel();
    // Kept here until the end: a waker that is dropped takes what it has said with it.
    let bell = waker.clone();
    // It ends with the input, and with it the sender, which ends the engine.
    std::thread::spawn(move || {
        for line in io::stdin().lock().lines().map_while(Result::ok) {
            if sender.send(line).is_err() {
                break;
            }
            let _ = bell.wake();
        }
        drop(sender);
        let _ = bell.wake();
    });
    let mut engine = Engine::new(poll);
    let served = engine.run(|engine| {
        loop {
            match tasks.try_recv() {
                Ok(line) => {
                    let task = serde_json::from_str(&line).map_err(io::Error::other)?;
                    let done = engine.obey(task)?;
                    let mut text = serde_json::to_string(&done).map_err(io::Error::other)?;
                    text.push('\n');
                    let mut output = io::stdout().lock();
                    output.write_all(text.as_bytes())?;
                    output.flush()?;
                }
                Err(std::sync::mpsc::TryRecvError::Empty) => return Ok(true),
                Err(std::sync::mpsc::TryRecvError::Disconnected) => return Ok(false),
            }
        }
    });
    drop(waker);
    served
}
