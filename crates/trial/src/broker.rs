//! One broker's process through its lives.

use crate::script::State;
use plover_standins::Program;
use rustix::process::{Pid, Signal, kill_process};
use serde_json::{Value, json};
use std::io;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};

/// Where a broker's process is.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Phase {
    /// There is none.
    Down,
    /// It is being started; of what comes only this start is wanted.
    Starting,
    /// It runs.
    Up,
    /// It was told to end, and was looked at so often since; it is started again once it has.
    Ending(u32, State),
}

/// One broker. The player owns it: nobody else reaps its process, so that a signal never goes to a stranger.
pub(crate) struct Broker {
    pub(crate) phase: Phase,
    /// Counts starts: what belongs to an earlier one is passed over.
    pub(crate) start: u64,
    pub(crate) program: Option<Program>,
    pub(crate) configuration: Value,
    pub(crate) operator: String,
    pub(crate) state: PathBuf,
}

impl Broker {
    /// Sends a signal to its process, if there is one.
    pub(crate) fn signal(&self, signal: Signal) -> io::Result<()> {
        let pid = self.program.as_ref().and_then(|p| Pid::from_raw(p.pid() as i32));
        pid.map_or(Ok(()), |pid| Ok(kill_process(pid, signal)?))
    }

    /// A start's configuration: a new seed, all else as before.
    pub(crate) fn configured(&self, seed: u64) -> Value {
        let mut configuration = self.configuration.clone();
        configuration["seed"] = json!(format!("{seed:016x}"));
        configuration
    }
}

/// Gives a broker the state that it starts with.
pub(crate) fn prepare(state: State, own: &Path, of: impl Fn(usize) -> Option<PathBuf>) -> io::Result<()> {
    match state {
        State::Keep => Ok(()),
        State::Empty => {
            std::fs::remove_dir_all(own)?;
            std::fs::create_dir_all(own)
        }
        State::From(other) => {
            let Some(other) = of(other).filter(|other| other != own) else { return Ok(()) };
            let aside = own.with_extension("aside");
            std::fs::rename(own, &aside)?;
            std::fs::rename(&other, own)?;
            std::fs::rename(&aside, &other)
        }
    }
}

/// Starts a process and waits until it listens.
pub(crate) fn start(exe: &Path, configuration: &Value, operator: &str) -> io::Result<Program> {
    Program::serve(exe, configuration, operator, None)
}

/// Whether a broker takes queries, as a front asks.
pub(crate) async fn is_ready(address: SocketAddr) -> bool {
    let request = plover_load::get("/-/ready");
    let asked = async { plover_load::Http1::connect(address).await?.send(&request).await };
    asked.await.is_ok_and(|response| response.status() == 200)
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn a_state_is_kept_emptied_or_swapped() {
        let root = std::env::temp_dir().join(format!("plover-state-{}", std::process::id()));
        let dirs = [root.join("b0"), root.join("b1")];
        for (n, dir) in dirs.iter().enumerate() {
            std::fs::create_dir_all(dir).unwrap();
            std::fs::write(dir.join("of"), n.to_string()).unwrap();
        }
        let of = |n: usize| std::fs::read_to_string(dirs[n].join("of")).ok();
        let prepare = |state| prepare(state, &dirs[0], |other| dirs.get(other).cloned()).unwrap();
        prepare(State::Keep);
        prepare(State::From(0));
        prepare(State::From(2));
        assert_eq!((of(0).as_deref(), of(1).as_deref()), (Some("0"), Some("1")));
        prepare(State::From(1));
        assert_eq!((of(0).as_deref(), of(1).as_deref()), (Some("1"), Some("0")));
        prepare(State::Empty);
        assert_eq!((of(0), of(1).as_deref()), (None, Some("0")));
        assert!(dirs[0].is_dir());
        std::fs::remove_dir_all(root).unwrap();
    }
}
