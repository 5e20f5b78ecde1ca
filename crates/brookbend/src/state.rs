//! Plain records of what an aggregator knows, without a decision or a tuned value in them.

use crate::api::*;
use crate::estimates::{OthersLoad, Pace, WorkEstimate};
use crate::part_index::{PartIndex, PartStatus, PartTotals};
use crate::probe::Probes;
use rand_pcg::Pcg64Mcg;
use rand_pcg::rand_core::{RngCore, SeedableRng};
use std::collections::{BTreeMap, VecDeque};

pub(crate) struct Server {
    pub(crate) node: NodeId,
    pub(crate) cell: usize,
    pub(crate) state: NodeState,
    pub(crate) zone: Option<usize>,
    /// Work sent and not yet ended, and when each such attempt was sent and expected.
    pub(crate) work_in_flight: Millis,
    pub(crate) in_flight: Vec<(Millis, Millis)>,
    /// Time until an answer per own work outstanding.
    pub(crate) pace: Pace,
    pub(crate) last_response_at: Millis,
    pub(crate) last_served_sent: Millis,
    /// When its newest answer came.
    pub(crate) last_answer_at: Millis,
    /// Share of failures, and failures in a row.
    pub(crate) errors: f64,
    pub(crate) consecutive_failures: u32,
    /// Of each class: its own share of failures, and when its newest answered attempt was sent.
    pub(crate) by_class: BTreeMap<usize, ClassHealth>,
    pub(crate) ejected_until: Millis,
    /// Until when, since it turned a part away.
    pub(crate) full_until: Millis,
    pub(crate) ejection: Millis,
    pub(crate) is_silent: bool,
    pub(crate) cold_since: Option<Millis>,
    /// Work sent within the last window of the cold rule, by time: also before a start is told.
    pub(crate) cold_sends: VecDeque<(Millis, Millis)>,
    /// This second's draw for a turn at it while it is cold, and whether a part would take one.
    pub(crate) cold_draw: f64,
    pub(crate) wanted: bool,
    /// Parts sent in this batch: they share calls.
    pub(crate) batch_parts: usize,
    /// Their work.
    pub(crate) batch_work: Millis,
    /// Work of others, by its own reports.
    pub(crate) others: OthersLoad,
}

/// What one class has met at a server.
#[derive(Clone, Default)]
pub(crate) struct ClassHealth {
    pub(crate) errors: f64,
    pub(crate) last_served_sent: Millis,
}

pub(crate) struct Attempt {
    pub(crate) server: usize,
    pub(crate) sent: Millis,
    pub(crate) expected: Millis,
    pub(crate) outcome: Option<Outcome>,
    /// How long it took, once it has ended.
    pub(crate) took: Millis,
}

pub(crate) struct PartState {
    pub(crate) id: RequestId,
    pub(crate) shard: usize,
    pub(crate) weight: f64,
    pub(crate) hint: Option<Millis>,
    /// Row holder at the first attempt, or any other once that is void.
    pub(crate) row_holder: Option<usize>,
    pub(crate) attempts: Vec<Attempt>,
    pub(crate) served: bool,
    /// An any-k class can do without it for now.
    pub(crate) in_reserve: bool,
    /// The answer can do without it, and its holders are behind.
    pub(crate) omitted: bool,
    /// No attempt at it can be sent any more.
    pub(crate) unreachable: bool,
    /// Whether its shard has holders.
    pub(crate) has_holders: bool,
    /// Where it stood when it was last looked at.
    pub(crate) status: PartStatus,
}

impl PartState {
    /// Attempts made; as many as there could be where no other can be sent.
    pub(crate) fn attempts_used(&self) -> u32 {
        if self.unreachable { u32::MAX } else { self.attempts.len() as u32 }
    }
}

#[derive(Default)]
pub(crate) struct QueryState {
    pub(crate) class: usize,
    pub(crate) tenant: usize,
    pub(crate) group: u64,
    pub(crate) arrived: Millis,
    /// When the client first asked, as far as it shows: the aim counts from here.
    pub(crate) first_asked_at: Millis,
    pub(crate) deadline: Millis,
    pub(crate) max_attempts: u32,
    pub(crate) parts: Vec<PartState>,
    /// First part of the step that is running; its parts alone count.
    pub(crate) step_start: usize,
    pub(crate) planned: bool,
    pub(crate) first_answer_whole: Option<bool>,
    /// When the first answer of a class with a second step was given.
    pub(crate) first_answered_at: Millis,
    /// Time until the slowest part's answer, as forecast on arrival.
    pub(crate) forecast: Millis,
    /// What of it this aggregator itself needs for what it had in hand then.
    pub(crate) overhead: Millis,
    /// Attempts that lost their connection, and those of them whose server is silent since.
    pub(crate) lost_connections: usize,
    pub(crate) lost_to_silent: usize,
    pub(crate) part_index: PartIndex,
    pub(crate) totals: PartTotals,
    /// When it is to be looked at.
    pub(crate) due_at: Millis,
}

pub(crate) struct InFlight {
    pub(crate) server: usize,
    pub(crate) class: usize,
    pub(crate) work: Millis,
    pub(crate) queued: Millis,
    /// The scale of its class's work as it was sent.
    pub(crate) scale: f64,
    pub(crate) sent: Millis,
    /// What this aggregator had been busy by then.
    pub(crate) busy: Millis,
    /// Since when the connection is up that brought its answer, if that is told.
    pub(crate) connected: Option<Millis>,
    /// Time until an answer, as forecast of its server alone, and with what this aggregator needs.
    pub(crate) forecast: Millis,
    pub(crate) expected: Millis,
}

impl Settings {
    pub(crate) fn shortest_aim(&self) -> Millis {
        self.classes.iter().map(|c| c.aim).fold(f64::INFINITY, f64::min).min(1e9)
    }

    /// How long a part may be held at the most.
    pub(crate) fn max_wait(&self) -> Millis {
        let wait = |c: &Class| if c.late_worth > 0.0 { c.give_up } else { c.aim };
        self.classes.iter().map(wait).fold(0.0, f64::max).min(1e9)
    }
}

/// The patience that the clients of one class show.
#[derive(Clone, Default)]
pub(crate) struct ClientTimeout {
    pub(crate) usual: Millis,
    pub(crate) votes: f64,
    /// When the clients first asked whose queries went unserved, and who have not come back yet.
    pub(crate) unserved: VecDeque<Millis>,
}

/// Most first attempts that went unserved that are remembered: of the newest.
const UNSERVED: usize = 1024;

impl ClientTimeout {
    /// Notes that a client who first asked then may come back.
    pub(crate) fn note_unserved(&mut self, asked: Millis) {
        if self.unserved.len() == UNSERVED {
            self.unserved.pop_front();
        }
        self.unserved.push_back(asked);
    }

    /// Takes out one that was noted for about this time. False: none was.
    pub(crate) fn take_unserved(&mut self, asked: Millis, within: Millis) -> bool {
        let found = self.unserved.iter().position(|noted| (noted - asked).abs() <= within);
        found.is_some_and(|at| self.unserved.remove(at).is_some())
    }
}

/// Of what is sent to a server that is not known to be cold, a window's sums.
const SLOTS: f64 = 64.0;

/// What is learned of one class.
#[derive(Clone, Default)]
pub(crate) struct ClassEstimates {
    pub(crate) width: Width,
    /// Work of a part.
    pub(crate) work: WorkEstimate,
    /// The most worth that a query had for its work, in units of work: of a query with one part, its whole worth.
    pub(crate) best_worth: f64,
    /// How long queries took, beyond their forecast.
    pub(crate) lag: Millis,
    /// How long the second step took.
    pub(crate) second_step: Millis,
    pub(crate) client_timeout: ClientTimeout,
    pub(crate) probes: Probes,
}

/// The width loop of one class.
#[derive(Clone, Default)]
pub(crate) struct Width {
    pub(crate) rows: f64,
    pub(crate) ended: u32,
    pub(crate) bad: u32,
    pub(crate) last_error: f64,
}

impl Server {
    /// An attempt there has ended.
    pub(crate) fn remove_in_flight(&mut self, flight: &InFlight) {
        self.work_in_flight = (self.work_in_flight - flight.work).max(0.0);
        let of_it =
            |(sent, expected): &(Millis, Millis)| *sent == flight.sent && *expected == flight.expected;
        if let Some(place) = self.in_flight.iter().position(of_it) {
            self.in_flight.remove(place);
        }
    }

    /// Whether it serves, and has for long enough.
    pub(crate) fn warm(&self) -> bool {
        self.state == NodeState::Serving && self.cold_since.is_none()
    }

    /// Notes work sent now. While it is not known to be cold, that of a SLOTS-th of the window is kept as one, as if sent at
    /// that part's end, so that a busy server takes no more room.
    pub(crate) fn note_sent(&mut self, now: Millis, work: Millis, window: Millis) {
        let slot = window.max(1.0) / SLOTS;
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

/// A seeded source of chance.
pub(crate) struct Random(Pcg64Mcg);

impl Random {
    pub(crate) fn new(seed: u64) -> Self {
        Random(Pcg64Mcg::seed_from_u64(seed))
    }
    /// From 0 to below 1.
    pub(crate) fn unit(&mut self) -> f64 {
        (self.0.next_u64() >> 11) as f64 / (1u64 << 53) as f64
    }
    /// A whole number below `n`; 0 if `n` is 0.
    pub(crate) fn below(&mut self, n: usize) -> usize {
        ((self.unit() * n as f64) as usize).min(n.saturating_sub(1))
    }
}

/// Whether an outcome proves that the attempt never ran.
pub(crate) fn never_ran(outcome: Outcome) -> bool {
    matches!(outcome, Outcome::Full | Outcome::NoConnection | Outcome::NotSent)
}

/// Forgets moments before `from`.
pub(crate) fn remove_before(times: &mut VecDeque<Millis>, from: Millis) {
    while times.front().is_some_and(|t| *t < from) {
        times.pop_front();
    }
}
