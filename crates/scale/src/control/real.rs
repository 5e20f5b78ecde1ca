//! Real brokers: the program, as its users start it.

use super::numbered;
use crate::plan::Plan;
use crate::process::{Owned, Usage, guarded};
use serde_json::Value;
use std::fs;
use std::io::{self, BufRead, BufReader};
use std::path::Path;
use std::process::Stdio;
use std::sync::mpsc::{Receiver, channel};
use std::time::{Duration, Instant};
use tempfile::TempDir;

/// Far beyond what a slow machine needs to start a broker.
const BOUND: Duration = Duration::from_secs(60);

/// A real broker. Dropped, it is killed and its files are removed.
#[derive(Debug)]
pub struct Real {
    owned: Owned,
    files: TempDir,
    log: Receiver<(Instant, String)>,
    configuration: Value,
}

impl Real {
    /// Starts one with a number of its own, by which its name and seed go, and waits until it listens.
    pub fn start(
        plan: &Plan,
        program: &Path,
        configuration: &Value,
        number: u32,
        operator: &str,
    ) -> io::Result<Real> {
        let files = tempfile::tempdir()?;
        let configuration = numbered(configuration, number);
        fs::write(files.path().join("config.json"), configuration.to_string())?;
        fs::write(files.path().join("ploverport.conf"), operator)?;
        let mut command = guarded(&plan.rig, program);
        command
            .args(["serve", "--config"])
            .arg(files.path().join("ploverport.conf"))
            .env("RELAY_CONFIG", files.path().join("config.json"))
            .env_remove("RELAY_LISTEN")
            .env_remove("RELAY_DISCOVERY")
            .env_remove("RELAY_OPS")
            .stdin(Stdio::null())
            .stdout(Stdio::null())
            .stderr(Stdio::piped());
        let mut owned = Owned::start(&mut command, &plan.guard)?;
        let (sender, log) = channel();
        if let Some(stderr) = owned.child().stderr.take() {
            // Ends with the process: its output does then.
            std::thread::spawn(move || {
                for line in BufReader::new(stderr).lines().map_while(Result::ok) {
                    if sender.send((Instant::now(), line)).is_err() {
                        return;
                    }
                }
            });
        }
        let real = Real { owned, files, log, configuration };
        real.logged("event=started ", BOUND)?;
        Ok(real)
    }

    /// Waits for a line of the log that holds these words: when it was read here.
    pub fn logged(&self, words: &str, within: Duration) -> io::Result<Instant> {
        let until = Instant::now() + within;
        loop {
            let left = until.saturating_duration_since(Instant::now());
            let Ok((at, line)) = self.log.recv_timeout(left) else {
                return Err(io::Error::other(format!("a broker did not log {words:?} in time")));
            };
            if line.contains(words) {
                return Ok(at);
            }
        }
    }

    /// What an operator does on its machine to change a setting: the file is replaced, and the program told by SIGHUP.
    pub fn change_settings(&mut self, change: impl FnOnce(&mut Value)) -> io::Result<()> {
        change(&mut self.configuration["settings"]);
        let new = self.files.path().join("new");
        fs::write(&new, self.configuration.to_string())?;
        fs::rename(new, self.files.path().join("config.json"))?;
        let id = i32::try_from(self.owned.id()).ok().and_then(rustix::process::Pid::from_raw);
        let id = id.ok_or_else(|| io::Error::other("it has no id"))?;
        Ok(rustix::process::kill_process(id, rustix::process::Signal::HUP)?)
    }

    /// What it has used so far.
    pub fn usage(&self) -> io::Result<Usage> {
        self.owned.usage()
    }
}
