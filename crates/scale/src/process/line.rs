//! A hollow process, which is asked in lines of JSON and answers in lines of JSON.

use super::{Guard, Owned, Usage, guarded};
use serde::Serialize;
use serde::de::DeserializeOwned;
use std::io::{self, BufRead, BufReader, Write};
use std::path::Path;
use std::process::{ChildStdin, ChildStdout, Stdio};
use std::sync::mpsc::{Receiver, RecvTimeoutError, channel};
use std::time::Duration;

/// Far beyond what a slow machine needs for whatever is asked.
const BOUND: Duration = Duration::from_secs(60);

/// A hollow process: a sub-command of the rig's own program. It ends with its standard input, so also when the rig dies.
#[derive(Debug)]
pub struct LineProcess {
    owned: Owned,
    input: ChildStdin,
    lines: Receiver<io::Result<String>>,
}

impl LineProcess {
    /// Starts a role of the rig's program, such as `hollow-servers`.
    pub fn start(rig: &Path, role: &str, guard: &Guard) -> io::Result<LineProcess> {
        let mut command = guarded(rig, rig);
        command.arg(role).stdin(Stdio::piped()).stdout(Stdio::piped());
        let mut owned = Owned::start(&mut command, guard)?;
        let pipes = (owned.child().stdin.take(), owned.child().stdout.take());
        let (Some(input), Some(output)) = pipes else { return Err(io::Error::other("it has no pipes")) };
        Ok(LineProcess { owned, input, lines: read_lines(output) })
    }

    /// Asks it something and waits for the answer.
    pub fn ask<T: DeserializeOwned>(&mut self, task: &impl Serialize) -> io::Result<T> {
        self.tell(task)?;
        self.answer(BOUND)
    }

    /// Asks without waiting: so that many processes work on their answers at once. Each task has one answer, in order.
    pub fn tell(&mut self, task: &impl Serialize) -> io::Result<()> {
        let mut line = serde_json::to_string(task).map_err(io::Error::other)?;
        line.push('\n');
        self.input.write_all(line.as_bytes())
    }

    /// Waits for the next answer, so long at most.
    pub fn answer<T: DeserializeOwned>(&mut self, within: Duration) -> io::Result<T> {
        let line = match self.lines.recv_timeout(within) {
            Ok(line) => line?,
            Err(RecvTimeoutError::Timeout) => return Err(io::ErrorKind::TimedOut.into()),
            Err(RecvTimeoutError::Disconnected) => return Err(io::ErrorKind::UnexpectedEof.into()),
        };
        serde_json::from_str(&line).map_err(|e| io::Error::other(format!("{e} in {line:?}")))
    }

    /// Its id.
    pub fn id(&self) -> u32 {
        self.owned.id()
    }

    /// What it has used so far.
    pub fn usage(&self) -> io::Result<Usage> {
        self.owned.usage()
    }
}

fn read_lines(output: ChildStdout) -> Receiver<io::Result<String>> {
    let (sender, lines) = channel();
    // Ends with the process: its output does then.
    std::thread::spawn(move || {
        for line in BufReader::new(output).lines() {
            if sender.send(line).is_err() {
                return;
            }
        }
    });
    lines
}

/// The other side: takes each line of standard input as a task and answers with a line, until the input ends.
pub fn answer_lines<T: DeserializeOwned, A: Serialize>(
    mut answer: impl FnMut(T) -> io::Result<A>,
) -> io::Result<()> {
    let mut output = io::stdout().lock();
    for line in io::stdin().lock().lines() {
        let task = serde_json::from_str(&line?).map_err(io::Error::other)?;
        let mut text = serde_json::to_string(&answer(task)?).map_err(io::Error::other)?;
        text.push('\n');
        output.write_all(text.as_bytes())?;
        output.flush()?;
    }
    Ok(())
}
