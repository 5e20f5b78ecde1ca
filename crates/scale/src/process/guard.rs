//! The file that says what a run has started, so that the next one can end it.

use rustix::process::{Pid, PidfdFlags, Signal, pidfd_open, pidfd_send_signal};
use std::collections::BTreeMap;
use std::fs;
use std::io;
use std::path::{Path, PathBuf};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

/// Most processes of one run.
pub const MOST_PROCESSES: usize = 300;

/// The processes of one run, in memory and in a file. Clones are the same guard; the file goes with the last of them.
#[derive(Clone, Debug)]
pub struct Guard {
    inner: Arc<Inner>,
}

#[derive(Debug)]
struct Inner {
    file: PathBuf,
    started: Mutex<BTreeMap<u32, u64>>,
}

impl Guard {
    /// A guard whose file lies in this directory, which is made where there is none. What earlier runs left there and did
    /// not end, since they were killed, is ended first; runs that are still alive are left alone.
    pub fn new(directory: &Path) -> io::Result<Guard> {
        static NEXT: std::sync::atomic::AtomicU64 = std::sync::atomic::AtomicU64::new(0);
        fs::create_dir_all(directory)?;
        end_leftovers(directory)?;
        let me = std::process::id();
        let number = NEXT.fetch_add(1, std::sync::atomic::Ordering::Relaxed);
        let file = directory.join(format!("{me}-{}-{number}", start_time(me).unwrap_or(0)));
        let guard = Guard { inner: Arc::new(Inner { file, started: Mutex::default() }) };
        guard.inner.write(&guard.inner.started())?;
        Ok(guard)
    }

    /// The usual directory: one for all runs of this machine.
    pub fn directory() -> PathBuf {
        std::env::temp_dir().join("plover-scale")
    }

    /// Notes a process down that has just been started. Errors: it is gone, there are too many, or the file cannot be
    /// written.
    pub fn note(&self, id: u32) -> io::Result<()> {
        let time = start_time(id).ok_or_else(|| io::Error::other(format!("process {id} is gone")))?;
        let mut started = self.inner.started();
        if started.len() >= MOST_PROCESSES {
            return Err(io::Error::other(format!("more than {MOST_PROCESSES} processes")));
        }
        started.insert(id, time);
        self.inner.write(&started)
    }

    /// Takes out a process that has ended.
    pub fn forget(&self, id: u32) {
        let mut started = self.inner.started();
        if started.remove(&id).is_some() {
            // A line too many does no harm: its start time says that it is gone.
            let _ = self.inner.write(&started);
        }
    }

    /// How many run now.
    pub fn count(&self) -> usize {
        self.inner.started().len()
    }

    /// Their ids.
    pub fn ids(&self) -> Vec<u32> {
        self.inner.started().keys().copied().collect()
    }
}

impl Inner {
    fn started(&self) -> MutexGuard<'_, BTreeMap<u32, u64>> {
        self.started.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn write(&self, started: &BTreeMap<u32, u64>) -> io::Result<()> {
        let text: String = started.iter().map(|(id, time)| format!("{id} {time}\n")).collect();
        let new = self.file.with_extension("new");
        fs::write(&new, text)?;
        fs::rename(new, &self.file)
    }
}

impl Drop for Inner {
    fn drop(&mut self) {
        let _ = fs::remove_file(&self.file);
    }
}

/// When a process started, in clock ticks since the machine did; `None`: there is none. With its id, this is a process's
/// name for good.
pub fn start_time(id: u32) -> Option<u64> {
    let stat = fs::read_to_string(format!("/proc/{id}/stat")).ok()?;
    // After the name, which ends with the last parenthesis: state is the third field, starttime the 22nd (proc(5)).
    let mut fields = stat.rsplit(')').next()?.split_whitespace();
    let state = fields.next()?;
    if matches!(state, "Z" | "X") { None } else { fields.nth(18)?.parse().ok() }
}

/// Whether this very process still runs.
pub fn is_alive(id: u32, time: u64) -> bool {
    start_time(id) == Some(time)
}

fn end_leftovers(directory: &Path) -> io::Result<()> {
    for entry in fs::read_dir(directory)? {
        let path = entry?.path();
        let Some((id, time)) = rig_of(&path) else { continue };
        if is_alive(id, time) {
            continue;
        }
        for line in fs::read_to_string(&path).unwrap_or_default().lines() {
            let Some((id, time)) = line.split_once(' ') else { continue };
            if let (Ok(id), Ok(time)) = (id.parse(), time.parse()) {
                end(id, time);
            }
        }
        let _ = fs::remove_file(&path);
    }
    Ok(())
}

/// The rig that a file belongs to, by the file's name.
fn rig_of(path: &Path) -> Option<(u32, u64)> {
    let mut words = path.file_stem()?.to_str()?.split('-');
    Some((words.next()?.parse().ok()?, words.next()?.parse().ok()?))
}

/// Ends this very process, if it still runs.
fn end(id: u32, time: u64) {
    let Some(pid) = i32::try_from(id).ok().and_then(Pid::from_raw) else { return };
    // The descriptor names one process; only then is it asked whether that is the one.
    let Ok(descriptor) = pidfd_open(pid, PidfdFlags::empty()) else { return };
    if is_alive(id, time) {
        let _ = pidfd_send_signal(&descriptor, Signal::KILL);
    }
}
