//! A broker as a process of its own, beside a fleet.

use crate::{Deployment, Fleet};
use serde_json::Value;
use std::collections::VecDeque;
use std::io::{self, BufRead, BufReader};
use std::net::{SocketAddr, TcpListener};
use std::os::fd::OwnedFd;
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
    /// Where operators call, if anywhere.
    pub ops: Option<SocketAddr>,
}

/// What a platform hands to the processes of one broker: the clients' listening socket, as descriptor 3, and a directory.
#[derive(Clone, Copy)]
pub struct Inherit<'a> {
    /// The socket.
    pub listener: &'a TcpListener,
    /// The directory.
    pub directory: &'a Path,
}

impl Program {
    /// Starts a broker from its executable, with an operator's file of this text, and waits until it listens.
    pub fn start(exe: &Path, deployment: Deployment, fleet: &Fleet, operator: &str) -> io::Result<Program> {
        Program::serve(exe, &deployment.configuration(fleet, "127.0.0.1:0"), operator, None)
    }

    /// The same with a whole configuration, and with what a platform hands in.
    pub fn serve(
        exe: &Path,
        configuration: &Value,
        operator: &str,
        inherit: Option<Inherit<'_>>,
    ) -> io::Result<Program> {
        let mut program = Program::spawn(exe, &["serve"], configuration, operator, inherit)?;
        program.http1 = program.address("event=started ")?;
        if operator.contains("listen-http2") {
            program.http2 = Some(program.address("event=started_http2 ")?);
        }
        if configuration.get("ops").is_some() {
            program.ops = Some(program.address("event=started_ops ")?);
        }
        Ok(program)
    }

    /// Starts a control service, likewise; where it listens is told.
    pub fn control(exe: &Path, configuration: &Value, operator: &str) -> io::Result<(Program, SocketAddr)> {
        let mut program = Program::spawn(exe, &["control"], configuration, operator, None)?;
        let listen = program.address("event=started_control ")?;
        Ok((program, listen))
    }

    fn spawn(
        exe: &Path,
        arguments: &[&str],
        configuration: &Value,
        operator: &str,
        inherit: Option<Inherit<'_>>,
    ) -> io::Result<Program> {
        static NEXT: AtomicU64 = AtomicU64::new(0);
        let number = NEXT.fetch_add(1, Ordering::Relaxed);
        let files = std::env::temp_dir().join(format!("ploverport-{}-{number}", std::process::id()));
        std::fs::create_dir_all(&files)?;
        std::fs::write(files.join("config.json"), configuration.to_string())?;
        std::fs::write(files.join("ploverport.conf"), operator)?;
        let mut command = match inherit {
            None => Command::new(exe),
            Some(Inherit { listener, directory }) => {
                // A child's descriptors beyond the first three are the shell's to give.
                let mut shell = Command::new("sh");
                shell.args(["-c", "exec \"$0\" \"$@\" 3<&0 </dev/null"]).arg(exe);
                shell.stdin(Stdio::from(OwnedFd::from(listener.try_clone()?)));
                shell.env("RELAY_FD", "3").env("TMPDIR", directory);
                shell
            }
        };
        let mut child = command
            .args(arguments)
            .arg("--config")
            .arg(files.join("ploverport.conf"))
            .env("RELAY_CONFIG", files.join("config.json"))
            .env_remove("RELAY_LISTEN")
            .env_remove("RELAY_DISCOVERY")
            .env_remove("RELAY_OPS")
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
        Ok(Program { child, log, seen: VecDeque::new(), files, http1: nowhere, http2: None, ops: None })
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

    /// How it ended, if it has.
    pub fn ended(&mut self) -> io::Result<Option<ExitStatus>> {
        self.child.try_wait()
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

    /// Its number.
    pub fn pid(&self) -> u32 {
        self.child.id()
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
