//! What a process has used, from the system's own books.

use serde::{Deserialize, Serialize};
use std::time::Duration;
use std::{fs, io};

/// What a process has used so far, and holds now.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Usage {
    /// Processor time in the program, in microseconds; the system counts in ticks of a hundredth of a second.
    pub user_us: u64,
    /// Processor time in the system on its behalf, likewise.
    pub system_us: u64,
    /// Resident memory, in bytes.
    pub resident: u64,
    /// Most resident memory so far, in bytes.
    pub most_resident: u64,
    /// Open descriptors.
    pub descriptors: u64,
    /// Times that it gave the processor up by itself.
    pub switches: u64,
    /// Times that the processor was taken from it.
    pub preempted: u64,
    /// Time that its present threads ran, in nanoseconds, finer than the ticks; 0 where the system does not tell.
    pub ran_ns: u64,
    /// Time that they were ready and waited for a processor, in nanoseconds: what the machine owed them.
    pub waited_ns: u64,
}

impl Usage {
    /// Processor time in all.
    pub fn cpu(&self) -> Duration {
        Duration::from_micros(self.user_us + self.system_us)
    }

    /// Processor time from an earlier reading to this one, by what its threads ran where the system tells that, else by ticks. A
    /// thread that ended meanwhile is left out of the former.
    pub fn ran_since(&self, before: &Usage) -> Duration {
        match self.ran_ns.checked_sub(before.ran_ns) {
            Some(ran) if self.ran_ns > 0 => Duration::from_nanos(ran),
            _ => self.cpu().saturating_sub(before.cpu()),
        }
    }
}

impl std::ops::Add for Usage {
    type Output = Usage;
    fn add(self, other: Usage) -> Usage {
        Usage {
            user_us: self.user_us + other.user_us,
            system_us: self.system_us + other.system_us,
            resident: self.resident + other.resident,
            most_resident: self.most_resident + other.most_resident,
            descriptors: self.descriptors + other.descriptors,
            switches: self.switches + other.switches,
            preempted: self.preempted + other.preempted,
            ran_ns: self.ran_ns + other.ran_ns,
            waited_ns: self.waited_ns + other.waited_ns,
        }
    }
}

/// Microseconds in a tick of the system's books: a hundredth of a second on every Linux that is in use (proc(5) leaves
/// it to `sysconf`, which gives 100).
const TICK_US: u64 = 10_000;

/// Reads a process's books.
pub fn usage(id: u32) -> io::Result<Usage> {
    let stat = fs::read_to_string(format!("/proc/{id}/stat"))?;
    // After the name, which ends with the last parenthesis: state is the third field, utime and stime the 14th and 15th.
    let fields: Vec<&str> = stat.rsplit(')').next().unwrap_or_default().split_whitespace().collect();
    let ticks = |n: usize| fields.get(n - 3).and_then(|f| f.parse::<u64>().ok()).unwrap_or(0);
    let status = fs::read_to_string(format!("/proc/{id}/status"))?;
    let number = |name: &str| {
        let line = status.lines().find_map(|l| l.strip_prefix(name)?.strip_prefix(':'));
        line.and_then(|l| l.split_whitespace().next()?.parse::<u64>().ok()).unwrap_or(0)
    };
    let (mut ran_ns, mut waited_ns) = (0, 0);
    for thread in fs::read_dir(format!("/proc/{id}/task"))?.flatten() {
        let schedule = fs::read_to_string(thread.path().join("schedstat")).unwrap_or_default();
        let mut schedule = schedule.split_whitespace().map(|w| w.parse().unwrap_or(0u64));
        ran_ns += schedule.next().unwrap_or(0);
        waited_ns += schedule.next().unwrap_or(0);
    }
    Ok(Usage {
        user_us: TICK_US * ticks(14),
        system_us: TICK_US * ticks(15),
        resident: 1024 * number("VmRSS"),
        most_resident: 1024 * number("VmHWM"),
        descriptors: fs::read_dir(format!("/proc/{id}/fd")).map_or(0, |d| d.count() as u64),
        switches: number("voluntary_ctxt_switches"),
        preempted: number("nonvoluntary_ctxt_switches"),
        ran_ns,
        waited_ns,
    })
}
