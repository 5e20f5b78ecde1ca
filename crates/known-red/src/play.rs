//! Playing one entry, and what its run says.

use crate::entry::{Entry, Fails};
use std::io::{self, Read};
use std::process::{Child, Command, Stdio};
use std::time::{Duration, Instant};

/// Far longer than any test of the list takes with its build.
const BOUND: Duration = Duration::from_secs(900);
/// Lines of a failed run that are shown at most.
const SHOWN: usize = 4;

/// How a command ended.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Ran {
    /// Whether it succeeded.
    pub success: bool,
    /// All that it printed.
    pub output: String,
}

/// What a run says of its entry.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Verdict {
    /// It fails as listed; the lines that say how.
    StillRed(Vec<String>),
    /// It passed, which an entry that fails at times may.
    PassedThisTime,
    /// It passed, and the entry says that it fails always.
    TakeItOff,
    /// Nothing was run, or it did not get as far as the test.
    NotPlayed(Vec<String>),
}

impl Verdict {
    /// Whether the list is true as far as this entry goes.
    pub fn is_as_listed(&self) -> bool {
        matches!(self, Verdict::StillRed(_) | Verdict::PassedThisTime)
    }
}

/// What a run of an entry's command says.
pub fn judge(entry: &Entry, ran: &Ran) -> Verdict {
    let outcome =
        |word: &str| ran.output.lines().any(|line| line == format!("test {} ... {word}", entry.test));
    let failed = outcome("FAILED");
    if ran.success && outcome("ok") {
        return match entry.fails {
            Fails::Always => Verdict::TakeItOff,
            Fails::AtTimes => Verdict::PassedThisTime,
        };
    }
    if !ran.success && failed {
        return Verdict::StillRed(panic_lines(&ran.output));
    }
    let all: Vec<&str> = ran.output.lines().filter(|line| !line.trim().is_empty()).collect();
    let last = all[all.len().saturating_sub(SHOWN)..].iter().map(|line| (*line).to_owned());
    Verdict::NotPlayed(last.collect())
}

/// The first panic's place and words.
fn panic_lines(output: &str) -> Vec<String> {
    let from = output.lines().skip_while(|line| !line.contains("panicked at"));
    let words = from.take_while(|line| !line.starts_with("note:")).filter(|line| !line.trim().is_empty());
    words.take(SHOWN).map(str::to_owned).collect()
}

/// Whether what `--list` printed names the entry's test.
pub fn names_a_test(entry: &Entry, listed: &Ran) -> bool {
    listed.success && listed.output.lines().any(|line| line == format!("{}: test", entry.test))
}

/// Runs a command to its end, or to the bound.
pub fn run(words: &[String]) -> io::Result<Ran> {
    let (program, arguments) = words.split_first().ok_or(io::ErrorKind::InvalidInput)?;
    let mut child = Command::new(program)
        .args(arguments)
        .stdin(Stdio::null())
        .stdout(Stdio::piped())
        .stderr(Stdio::piped())
        .spawn()?;
    let mut errors = child.stderr.take().ok_or(io::ErrorKind::BrokenPipe)?;
    let mut prints = child.stdout.take().ok_or(io::ErrorKind::BrokenPipe)?;
    let reader = std::thread::spawn(move || {
        let mut text = Vec::new();
        errors.read_to_end(&mut text).map(|_| text)
    });
    let printer = std::thread::spawn(move || {
        let mut text = Vec::new();
        prints.read_to_end(&mut text).map(|_| text)
    });
    let success = wait(&mut child)?;
    let mut output = String::new();
    for thread in [printer, reader] {
        let text = thread.join().map_err(|_| io::ErrorKind::Other)??;
        output.push_str(&String::from_utf8_lossy(&text));
        output.push('\n');
    }
    Ok(Ran { success, output })
}

fn wait(child: &mut Child) -> io::Result<bool> {
    let begun = Instant::now();
    loop {
        if let Some(status) = child.try_wait()? {
            return Ok(status.success());
        }
        if begun.elapsed() > BOUND {
            child.kill()?;
            child.wait()?;
            return Err(io::ErrorKind::TimedOut.into());
        }
        std::thread::sleep(Duration::from_millis(20));
    }
}
