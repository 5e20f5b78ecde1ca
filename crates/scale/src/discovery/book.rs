//! What a discovery counts.

use std::collections::BTreeMap;
use std::ops::{Add, Sub};
use std::time::Instant;

/// Counts since the start.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Counts {
    /// Calls that came.
    pub calls: u64,
    /// Answers with the whole list.
    pub whole: u64,
    /// Answers with changed entries.
    pub changes: u64,
    /// Answers that told nothing new.
    pub empty: u64,
    /// Bytes of calls, heads included.
    pub bytes_in: u64,
    /// Bytes of answers, heads included.
    pub bytes_out: u64,
    /// Connections that were accepted.
    pub opened: u64,
    /// Those that have ended.
    pub closed: u64,
    /// Answers that were encoded; all others shared one of these.
    pub encoded: u64,
}

impl Add for Counts {
    type Output = Counts;
    fn add(self, other: Counts) -> Counts {
        Counts {
            calls: self.calls + other.calls,
            whole: self.whole + other.whole,
            changes: self.changes + other.changes,
            empty: self.empty + other.empty,
            bytes_in: self.bytes_in + other.bytes_in,
            bytes_out: self.bytes_out + other.bytes_out,
            opened: self.opened + other.opened,
            closed: self.closed + other.closed,
            encoded: self.encoded + other.encoded,
        }
    }
}

impl Sub for Counts {
    type Output = Counts;
    fn sub(self, before: Counts) -> Counts {
        Counts {
            calls: self.calls - before.calls,
            whole: self.whole - before.whole,
            changes: self.changes - before.changes,
            empty: self.empty - before.empty,
            bytes_in: self.bytes_in - before.bytes_in,
            bytes_out: self.bytes_out - before.bytes_out,
            opened: self.opened - before.opened,
            closed: self.closed - before.closed,
            encoded: self.encoded - before.encoded,
        }
    }
}

/// A watcher's call has shown that it has a version which it had not shown before on its connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Reached {
    /// Number of its connection, from 1.
    pub connection: u64,
    /// The version.
    pub rev: u64,
    /// When the call came.
    pub at: Instant,
}

/// A call and what it was told.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Told {
    /// Number of its connection, from 1.
    pub connection: u64,
    /// News since this version were asked for; `None`: the whole list.
    pub index: Option<u64>,
    /// How long it could be held, in milliseconds.
    pub wait_ms: u64,
    /// Bytes of the answer, head included.
    pub bytes: u64,
}

/// The first so many calls are kept by name; later ones are only counted.
const TOLD: usize = 10_000;
/// Most that is kept of [`Reached`] between two looks: later ones are not noted.
const KEPT: usize = 500_000;

/// All that is counted.
#[derive(Debug, Default)]
pub(super) struct Book {
    pub(super) counts: Counts,
    pub(super) reached: Vec<Reached>,
    pub(super) told: Vec<Told>,
    /// The version that each open connection's last call showed.
    has: BTreeMap<u64, u64>,
}

impl Book {
    /// How many open connections have shown a version as new as this.
    pub(super) fn having(&self, rev: u64) -> usize {
        self.has.values().filter(|has| **has >= rev).count()
    }

    pub(super) fn closed(&mut self, connection: u64) {
        self.counts.closed += 1;
        self.has.remove(&connection);
    }

    pub(super) fn told(&mut self, told: Told) {
        if self.told.len() < TOLD {
            self.told.push(told);
        }
    }

    pub(super) fn reached(&mut self, reached: Reached) {
        self.has.insert(reached.connection, reached.rev);
        if self.reached.len() < KEPT {
            self.reached.push(reached);
        }
    }
}
