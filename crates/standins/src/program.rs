//! A broker as a process of its own, beside a fleet.

use crate::{Deployment, Fleet};
use serde_json::Value;
use std::collections::VecDeque;
use std::io::{self, BufRead, BufReader};
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, ExitStatus, Stdio};
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::mpsc::{Receiver, channel};
use std::time::{Duration, Instant};

/// Far beyond what a slow machine needs for whatever is waited for.
const BOUND: Duration = Duration::from_secs(30);

/// A running broker. Dropped, it is killed and its files are removed.
pub struct Program {
    child: Child,
    log: Receiver<String>,
    seen: VecDeque<String>,
    files: PathBuf,
    /// Where it listens for HTTP/1.1.
    pub http1: SocketAddr,
    /// Where it listens for HTTP/2, if it does.
    pub http2: Option<SocketAddr>,
}

impl Program {
    /// Starts a broker from its executable, with an operator's file of this text, and waits until it listens.
    pub fn start(exe: &Path, deployment: Deployment, fleet: &Fleet, operator: &str) -> io::Result<Program> {
        let configuration = deployment.configuration(fleet, "127.0.0.1:0");
        let mut program = Program::spawn(exe, &["serve"], &configuration, operator)?;
        program.http1 = program.address("event=started ")?;
        if operator.contains("listen-http2") {
            program.http2 = Some(program.address("event=started_http2 ")?);
        }
        Ok(program)
    }

    /// Starts a control service, likewise; where it listens is told.
    pub fn control(exe: &Path, configuration: &Value, operator: &str) -> io::Result<(Program, SocketAddr)> {
        let mut program = Program::spawn(exe, &["control"], configuration, operator)?;
        let listen = program.address("event=started_control ")?;
        Ok((program, listen))
    }

    fn spawn(exe: &Path, command: &[&str], configuration: &Value, operator: &str) -> io::Result<Program> {
        static NEXT: AtomicU64 = AtomicU64::new(0);
        let number = NEXT.fetch_add(1, Ordering::Relaxed);
        let files = std::env::temp_dir().join(format!("ploverport-{}-{number}", std::process::id()));
        std::fs::create_dir_all(&files)?;
        std::fs::write(files.join("config.json"), configuration.to_string())?;
        std::fs::write(files.join("ploverport.conf"), operator)?;
        let mut child = Command::new(exe)
            .args(command)
            .arg("--config")
            .arg(files.join("ploverport.conf"))
            .env("RELAY_CONFIG", files.join("config.json"))
            .env_remove("RELAY_LISTEN")
            .env_remove("RELAY_DISCOVERY")
            .stdout(Stdio::null())
            .stderr(Stdio::piped())
            .spawn()?;
        let (sender, log) = channel();
        if let Some(stderr) = child.stderr.take() {
            std::thread::spawn(move || {
                for line in BufReader::new(stderr).lines().map_while(Result::ok) {
                    if sender.send(line).is_err() {
                        return;
                    }
                }
            });
        }
        let nowhere = SocketAddr::from(([0, 0, 0, 0], 0));
        Ok(Program { child, log, seen: VecDeque::new(), files, http1: nowhere, http2: None })
    }

    fn address(&mut self, event: &str) -> io::Result<SocketAddr> {
        let line = self.logged(event)?;
        let word = line.split(' ').find_map(|w| w.strip_prefix("listen="));
        word.and_then(|w| w.parse().ok()).ok_or_else(|| io::Error::other(format!("no address in {line}")))
    }

    /// Waits for a line of the log that holds these words; those before it are kept for [`Program::seen`].
    pub fn logged(&mut self, words: &str) -> io::Result<String> {
        let until = Instant::now() + BOUND;
        loop {
            let left = until.saturating_duration_since(Instant::now());
            let Ok(line) = self.log.recv_timeout(left) else {
                return Err(io::Error::other(format!("no line with {words:?}; seen: {:?}", self.seen)));
            };
            self.seen.push_back(line.clone());
            if line.contains(words) {
                return Ok(line);
            }
        }
    }

    /// All lines of the log so far.
    pub fn seen(&mut self) -> &VecDeque<String> {
        self.seen.extend(self.log.try_iter());
        &self.seen
    }

    /// Sends a signal by its name.
    pub fn signal(&self, name: &str) -> io::Result<()> {
        let status =
            Command::new("sh").args(["-c", &format!("kill -s {name} {}", self.child.id())]).status()?;
        if status.success() { Ok(()) } else { Err(io::Error::other(format!("kill ended with {status}"))) }
    }

    /// Replaces the operator's file, as an editor does: the new one is moved over it.
    pub fn replace_operator_file(&self, text: &str) -> io::Result<()> {
        let new = self.files.join("new");
        std::fs::write(&new, text)?;
        std::fs::rename(new, self.files.join("ploverport.conf"))
    }

    /// Replaces the platform's configuration, likewise.
    pub fn replace_configuration(&self, text: &str) -> io::Result<()> {
        let new = self.files.join("new");
        std::fs::write(&new, text)?;
        std::fs::rename(new, self.files.join("config.json"))
    }

    /// Waits for its end.
    pub fn exit(&mut self) -> io::Result<ExitStatus> {
        let until = Instant::now() + BOUND;
        loop {
            if let Some(status) = self.child.try_wait()? {
                return Ok(status);
            }
            if Instant::now() >= until {
                return Err(io::Error::other("it runs on"));
            }
            std::thread::sleep(Duration::from_millis(5));
        }
    }

    /// Its processor time so far, from the system's own books, in clock ticks of a hundredth of a second.
    pub fn cpu(&self) -> io::Result<Duration> {
        let stat = std::fs::read_to_string(format!("/proc/{}/stat", self.child.id()))?;
        // After the name, which ends with the last parenthesis: state is the third field, utime and stime the 14th
        // and 15th (proc(5)).
        let fields: Vec<&str> = stat.rsplit(')').next().unwrap_or_default().split_whitespace().collect();
        let ticks = |n: usize| fields.get(n - 3).and_then(|f| f.parse::<u64>().ok()).unwrap_or(0);
        Ok(Duration::from_millis(10 * (ticks(14) + ticks(15))))
    }

    /// Its resident memory, in bytes.
    pub fn memory(&self) -> io::Result<u64> {
        let status = std::fs::read_to_string(format!("/proc/{}/status", self.child.id()))?;
        let kib = status
            .lines()
            .find_map(|l| l.strip_prefix("VmRSS:")?.trim().strip_suffix("kB")?.trim().parse().ok());
        Ok(1024 * kib.unwrap_or(0u64))
    }
}

impl Drop for Program {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
        let _ = std::fs::remove_dir_all(&self.files);
    }
}
