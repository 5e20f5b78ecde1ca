//! Processes that a run starts: owned, ended by id, found again after a kill, and read from the system's own books.
//!
//! Nothing that a run starts outlives it. Each process ends when its owner is dropped. When the rig is killed, the system
//! ends what the rig's thread had started (the parent's death signal, which the rig's own program asks for before it
//! becomes the program that was wanted), hollow processes also end with their standard input, and the next run ends by id
//! and start time whatever is still there by a file that the killed one left.

mod books;
mod guard;
mod line;

pub use books::{Usage, usage};
pub use guard::{Guard, is_alive, start_time};
pub use line::{LineProcess, answer_lines};

use std::io;
use std::path::Path;
use std::process::{Child, Command};

/// The sub-command of the rig's program that becomes another program, which dies with the rig.
pub const GUARDED: &str = "guarded";

/// A command for a program that dies with the thread that starts it; its arguments are added by the caller.
///
/// The system counts the death of the *thread* that started it: start it from one that lives as long as its owner.
pub fn guarded(rig: &Path, program: &Path) -> Command {
    let mut command = Command::new(rig);
    command.arg(GUARDED).arg(std::process::id().to_string()).arg(program);
    command
}

/// Becomes the program that is named, with the parent's death signal set; returns only when that fails. `arguments` are the
/// parent's id, the program and the program's arguments.
pub fn become_guarded(arguments: &[std::ffi::OsString]) -> io::Error {
    use std::os::unix::process::CommandExt;
    let [parent, program, rest @ ..] = arguments else {
        return io::Error::other("expected the parent's id and a program");
    };
    let signal = rustix::process::Signal::KILL;
    if let Err(error) = rustix::process::set_parent_process_death_signal(Some(signal)) {
        return error.into();
    }
    // Whoever started this may have died before the signal was asked for.
    let now = rustix::process::getppid().map(|pid| pid.as_raw_nonzero().to_string());
    if now.as_deref() != parent.to_str() {
        return io::Error::other("the parent is gone");
    }
    Command::new(program).args(rest).exec()
}

/// A process that is ended when its owner is dropped.
#[derive(Debug)]
pub struct Owned {
    child: Child,
    guard: Guard,
}

impl Owned {
    /// Starts it, and notes it down.
    pub fn start(command: &mut Command, guard: &Guard) -> io::Result<Owned> {
        let child = command.spawn()?;
        let owned = Owned { child, guard: guard.clone() };
        owned.guard.note(owned.id())?;
        Ok(owned)
    }

    /// Its id.
    pub fn id(&self) -> u32 {
        self.child.id()
    }

    /// What it has used so far.
    pub fn usage(&self) -> io::Result<Usage> {
        usage(self.id())
    }

    /// The process itself, for its pipes.
    pub fn child(&mut self) -> &mut Child {
        &mut self.child
    }

    /// Whether it runs.
    pub fn runs(&mut self) -> bool {
        matches!(self.child.try_wait(), Ok(None))
    }

    /// Ends it, and waits until it is gone.
    pub fn end(&mut self) {
        // Its id cannot be another's: it is given back only by the wait.
        let _ = self.child.kill();
        let _ = self.child.wait();
        self.guard.forget(self.child.id());
    }
}

impl Drop for Owned {
    fn drop(&mut self) {
        self.end();
    }
}
