//! Records of what an aggregator knows. They contain no decisions and no tuned values.

use crate::api::*;
use crate::estimates::{OthersLoad, Pace, WorkEstimate};
use crate::part_index::{PartIndex, PartStatus, PartTotals};
use crate::probe::Probes;
use rand_pcg::Pcg64Mcg;
use rand_pcg::rand_core::{RngCore, SeedableRng};
use std::collections::{BTreeMap, VecDeque};

/// What is known of one server.
pub(crate) struct Server {
    pub(crate) node: NodeId,
    pub(crate) cell: usize,
    pub(crate) state: NodeState,
    pub(crate) zone: Option<usize>,
    /// Outstanding work, and for each outstanding attempt the time of its send and its expected duration.
    pub(crate) work_in_flight: Millis,
    pub(crate) in_flight: Vec<(Millis, Millis)>,
    /// Time until an answer per unit of own outstanding work.
    pub(crate) pace: Pace,
    /// Time of the newest answer or time-out, and send time of the newest answered attempt.
    pub(crate) last_response_at: Millis,
    pub(crate) last_served_sent: Millis,
    /// Time at which the newest answer arrived.
    pub(crate) last_answer_at: Millis,
    /// Smoothed share of failures, and number of failures in a row.
    pub(crate) errors: f64,
    pub(crate) consecutive_failures: u32,
    /// By class: the class's own share of failures, and the send time of its newest answered attempt.
    pub(crate) by_class: BTreeMap<usize, ClassHealth>,
    /// Time until which the server is not used.
    pub(crate) ejected_until: Millis,
    /// Time until which the server counts as full after it rejected a part.
    pub(crate) full_until: Millis,
    /// Length of the last ejection, or of the last time for which the server counted as full; 0 once the
    /// server has answered.
    pub(crate) ejection: Millis,
    /// Whether the server timed out or became unreachable, and has not answered since.
    pub(crate) is_silent: bool,
    /// Start of the server's process, while it is cold.
    pub(crate) cold_since: Option<Millis>,
    /// Work sent within the cold rule's window, by time. It is recorded before a start is known, too.
    pub(crate) cold_sends: VecDeque<(Millis, Millis)>,
    /// Random draw of this second for a send while the server is cold, and whether a part would use it.
    pub(crate) cold_draw: f64,
    pub(crate) wanted: bool,
    /// Number of parts sent in this batch, which share calls.
    pub(crate) batch_parts: usize,
    /// Work of the parts sent in this batch.
    pub(crate) batch_work: Millis,
    /// Work of other aggregators, from the server's own reports.
    pub(crate) others: OthersLoad,
}

/// What one class has experienced at a server.
#[derive(Clone, Default)]
pub(crate) struct ClassHealth {
    pub(crate) errors: f64,
    pub(crate) last_served_sent: Millis,
}

/// An attempt as its part records it.
pub(crate) struct Attempt {
    pub(crate) server: usize,
    pub(crate) sent: Millis,
    /// Time until the answer, as expected at the send.
    pub(crate) expected: Millis,
    /// `None` while the attempt is in flight.
    pub(crate) outcome: Option<Outcome>,
    /// Time in milliseconds from the send to the end; 0 while the attempt is in flight.
    pub(crate) took: Millis,
}

/// State of a part of an open query.
pub(crate) struct PartState {
    pub(crate) id: RequestId,
    pub(crate) shard: usize,
    pub(crate) weight: f64,
    /// Estimated work in milliseconds, from the client.
    pub(crate) hint: Option<Millis>,
    /// Holder of the part in its query's row; `None` before rows are assigned, or if the shard has no holder.
    pub(crate) row_holder: Option<usize>,
    pub(crate) attempts: Vec<Attempt>,
    pub(crate) served: bool,
    /// Whether an any-k class can do without the part for now.
    pub(crate) in_reserve: bool,
    /// Whether the answer can do without the part while its holders are behind.
    pub(crate) omitted: bool,
    /// Whether no further attempt for the part can be sent.
    pub(crate) unreachable: bool,
    /// Whether the part's shard has holders.
    pub(crate) has_holders: bool,
    /// Status of the part when it was last visited.
    pub(crate) status: PartStatus,
}

impl PartState {
    /// Number of attempts made; the maximum value if no other can be sent.
    pub(crate) fn attempts_used(&self) -> u32 {
        if self.unreachable { u32::MAX } else { self.attempts.len() as u32 }
    }
}

/// State of an open query.
#[derive(Default)]
pub(crate) struct QueryState {
    pub(crate) class: usize,
    pub(crate) tenant: usize,
    pub(crate) group: u64,
    pub(crate) arrived: Millis,
    /// Time at which the client first asked, as far as is known: the aim counts from here.
    pub(crate) first_asked_at: Millis,
    pub(crate) deadline: Millis,
    pub(crate) max_attempts: u32,
    pub(crate) parts: Vec<PartState>,
    /// Index of the first part of the running step. Earlier parts no longer count.
    pub(crate) step_start: usize,
    /// Whether the rows of the running step are assigned.
    pub(crate) planned: bool,
    /// Whether the first answer was complete; `None` until it is given.
    pub(crate) first_answer_whole: Option<bool>,
    /// Time at which the first answer of a class with a second step was given.
    pub(crate) first_answered_at: Millis,
    /// Time until the answer, as forecast on arrival from the mean and the slowest part; 0 if it was refused
    /// then.
    pub(crate) forecast: Millis,
    /// Part of the forecast, in milliseconds, that this aggregator itself needs for the work that it had at
    /// that time.
    pub(crate) overhead: Millis,
    /// Attempts that lost their connection, and those of them whose server has been silent since.
    pub(crate) lost_connections: usize,
    pub(crate) lost_to_silent: usize,
    pub(crate) part_index: PartIndex,
    pub(crate) totals: PartTotals,
    /// Time by which the query has to be visited next; not after the current time means the next turn.
    pub(crate) due_at: Millis,
}

/// An attempt in flight, as its server's estimates need it.
pub(crate) struct InFlight {
    pub(crate) server: usize,
    pub(crate) class: usize,
    pub(crate) work: Millis,
    /// Outstanding work at the server after the send, its own included.
    pub(crate) queued: Millis,
    /// Scale of the class's work estimate at the time of the send.
    pub(crate) scale: f64,
    pub(crate) sent: Millis,
    /// Total time that this aggregator had been busy at the time of the send.
    pub(crate) busy: Millis,
    /// Time at which the connection that brought the answer came up, if it is known.
    pub(crate) connected: Option<Millis>,
    /// Time until the answer: as forecast of the server alone, and including this aggregator's overhead.
    pub(crate) forecast: Millis,
    pub(crate) expected: Millis,
}

impl Settings {
    pub(crate) fn shortest_aim(&self) -> Millis {
        self.classes.iter().map(|c| c.aim).fold(f64::INFINITY, f64::min).min(1e9)
    }

    /// Longest time that a part may stay open.
    pub(crate) fn max_wait(&self) -> Millis {
        let wait = |c: &Class| if c.late_worth > 0.0 { c.give_up } else { c.aim };
        self.classes.iter().map(wait).fold(0.0, f64::max).min(1e9)
    }
}

/// Estimated time-out of the clients of one class.
#[derive(Clone, Default)]
pub(crate) struct ClientTimeout {
    /// Usual time-out in milliseconds, and the votes for it.
    pub(crate) usual: Millis,
    pub(crate) votes: f64,
    /// Times of the first try of clients whose queries went unserved and who have not retried yet.
    pub(crate) unserved: VecDeque<Millis>,
}

/// Maximum number of unserved first tries that are kept; the oldest are dropped.
const MAX_UNSERVED: usize = 1024;

impl ClientTimeout {
    /// Records that a client whose first try was at this time may retry.
    pub(crate) fn note_unserved(&mut self, asked: Millis) {
        if self.unserved.len() == MAX_UNSERVED {
            self.unserved.pop_front();
        }
        self.unserved.push_back(asked);
    }

    /// Removes one record of about this time. Returns false if there is none.
    pub(crate) fn take_unserved(&mut self, asked: Millis, within: Millis) -> bool {
        let found = self.unserved.iter().position(|noted| (noted - asked).abs() <= within);
        found.is_some_and(|at| self.unserved.remove(at).is_some())
    }
}

/// Number of slots into which the window's sends are summed while a server is not known to be cold.
const COLD_SLOTS: f64 = 64.0;

/// Estimates learned for one class.
#[derive(Clone, Default)]
pub(crate) struct ClassEstimates {
    pub(crate) width: Width,
    /// Estimated work of a part.
    pub(crate) work: WorkEstimate,
    /// Highest worth per unit of work of a query. For a query with one part that is its whole worth.
    pub(crate) best_worth: f64,
    /// Smoothed time that queries took beyond their forecast.
    pub(crate) lag: Millis,
    /// Smoothed time that the second step took.
    pub(crate) second_step_time: Millis,
    pub(crate) client_timeout: ClientTimeout,
    pub(crate) probes: Probes,
}

/// State of the width controller of one class.
#[derive(Clone, Default)]
pub(crate) struct Width {
    /// Number of rows that a query uses; the fraction is the probability of one more.
    pub(crate) rows: f64,
    /// Number of attempts in this second that were served, rejected as full or timed out; and of those that
    /// were rejected, or timed out without an answer to an attempt sent at the same time or later.
    pub(crate) ended: u32,
    pub(crate) bad: u32,
    /// Relative error of the last second with such attempts.
    pub(crate) last_error: f64,
}

impl Server {
    /// Removes an attempt that has ended from the outstanding work.
    pub(crate) fn remove_in_flight(&mut self, flight: &InFlight) {
        self.work_in_flight = (self.work_in_flight - flight.work).max(0.0);
        let is_same =
            |(sent, expected): &(Millis, Millis)| *sent == flight.sent && *expected == flight.expected;
        if let Some(place) = self.in_flight.iter().position(is_same) {
            self.in_flight.remove(place);
        }
    }

    /// Whether the server serves and is not cold.
    pub(crate) fn warm(&self) -> bool {
        self.state == NodeState::Serving && self.cold_since.is_none()
    }

    /// Records work sent now. While the server is not known to be cold, the sends of one slot of the window
    /// are summed and dated to the slot's end, so that a busy server needs no more memory.
    pub(crate) fn note_sent(&mut self, now: Millis, work: Millis, window: Millis) {
        let slot = window.max(1.0) / COLD_SLOTS;
        let at = if self.cold_since.is_some() { now } else { (now / slot).ceil() * slot };
        match self.cold_sends.back_mut() {
            Some((last, sum)) if *last == at => *sum += work,
            _ => self.cold_sends.push_back((at, work)),
        }
    }

    pub(crate) fn new(node: NodeId, pace: Pace) -> Self {
        Server {
            node,
            cell: 0,
            state: NodeState::Gone,
            zone: None,
            work_in_flight: 0.0,
            in_flight: Vec::new(),
            pace,
            last_response_at: f64::NEG_INFINITY,
            last_served_sent: f64::NEG_INFINITY,
            last_answer_at: f64::NEG_INFINITY,
            errors: 0.0,
            consecutive_failures: 0,
            by_class: BTreeMap::new(),
            ejected_until: f64::NEG_INFINITY,
            full_until: f64::NEG_INFINITY,
            ejection: 0.0,
            is_silent: false,
            cold_since: None,
            cold_sends: VecDeque::new(),
            cold_draw: 1.0,
            wanted: false,
            batch_parts: 0,
            batch_work: 0.0,
            others: OthersLoad::unknown(),
        }
    }
}

/// Seeded random number generator.
pub(crate) struct Random(Pcg64Mcg);

impl Random {
    pub(crate) fn new(seed: u64) -> Self {
        Random(Pcg64Mcg::seed_from_u64(seed))
    }
    /// Returns a number from 0 to below 1.
    pub(crate) fn unit(&mut self) -> f64 {
        (self.0.next_u64() >> 11) as f64 / (1u64 << 53) as f64
    }
    /// Returns an integer below `n`; 0 if `n` is 0.
    pub(crate) fn below(&mut self, n: usize) -> usize {
        ((self.unit() * n as f64) as usize).min(n.saturating_sub(1))
    }
}

/// Whether an outcome proves that the attempt never ran.
pub(crate) fn never_ran(outcome: Outcome) -> bool {
    matches!(outcome, Outcome::Full | Outcome::NoConnection | Outcome::NotSent)
}

/// Removes the times before `from`.
pub(crate) fn remove_before(times: &mut VecDeque<Millis>, from: Millis) {
    while times.front().is_some_and(|t| *t < from) {
        times.pop_front();
    }
}
