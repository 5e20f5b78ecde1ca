//! Index of an open query's parts by status, and running totals over them.
//!
//! A turn uses the index to visit only the parts that need a decision. This module decides nothing itself:
//! sets and sums are updated as parts change, so that no turn has to recompute them from all parts.

use crate::api::*;
use crate::choice::{Aggregator, TOLERANCE};
use crate::state::{PartState, QueryState};
use std::cmp::{Ordering, Reverse};
use std::collections::{BTreeSet, BinaryHeap};

/// Upper bound on the rounding error of a running sum, as a share of everything that was added to it.
/// Comparisons with a limit that is closer than this need an exact recomputation.
const MAX_RELATIVE_ERROR: f64 = 1e-9;

/// A time in milliseconds with a total order, for use as a key.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) struct OrderedTime(pub(crate) Millis);

impl Eq for OrderedTime {}

impl PartialOrd for OrderedTime {
    fn partial_cmp(&self, other: &Self) -> Option<Ordering> {
        Some(self.cmp(other))
    }
}

impl Ord for OrderedTime {
    fn cmp(&self, other: &Self) -> Ordering {
        self.0.total_cmp(&other.0)
    }
}

/// Status of a part, from the outcome and the age of its latest attempt.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(crate) enum PartStatus {
    /// Served, part of a finished step, or without any attempt allowed.
    #[default]
    Done,
    /// No attempt was sent yet.
    Unsent,
    /// No attempt was sent yet; one is sent only once another part fails or is late.
    Reserve,
    /// The latest attempt ended without an answer, and another attempt is allowed.
    Failed,
    /// The latest attempt ended without an answer, and no other attempt is allowed.
    Exhausted,
    /// The latest attempt is in flight and within its expected time.
    Waiting,
    /// The latest attempt is in flight beyond its expected time but not yet late.
    BeyondExpected,
    /// The latest attempt is late, and another attempt is allowed.
    Late,
    /// The latest attempt is late, and no other attempt is allowed.
    LateExhausted,
}

/// The positions of a query's parts by status. Parts that are done are not indexed; exhausted ones are only
/// counted.
#[derive(Default)]
pub(crate) struct PartIndex {
    pub(crate) unsent: BTreeSet<usize>,
    pub(crate) reserve: BTreeSet<usize>,
    pub(crate) failed: BTreeSet<usize>,
    exhausted: usize,
    /// Parts in flight, by the time at which they exceed their expected time: that time, the part's position
    /// and its number of attempts. Entries are not removed when an attempt ends; a stale one differs in
    /// status or number of attempts.
    pub(crate) waiting: BinaryHeap<Reverse<(OrderedTime, usize, usize)>>,
    /// Ordered by the time at which the latest attempt was sent.
    pub(crate) beyond_expected: BTreeSet<(OrderedTime, usize)>,
    pub(crate) late: BTreeSet<usize>,
    pub(crate) late_exhausted: BTreeSet<usize>,
    /// Minimum age of an attempt, in milliseconds, before it counts as late.
    pub(crate) late_floor: Millis,
}

impl PartIndex {
    fn insert(&mut self, position: usize, part: &PartState) {
        let last = part.attempts.last().map_or((0.0, 0.0), |t| (t.sent, t.expected));
        match part.status {
            PartStatus::Done => {}
            PartStatus::Unsent => drop(self.unsent.insert(position)),
            PartStatus::Reserve => drop(self.reserve.insert(position)),
            PartStatus::Failed => drop(self.failed.insert(position)),
            PartStatus::Exhausted => self.exhausted += 1,
            PartStatus::Waiting => {
                self.waiting.push(Reverse((OrderedTime(last.0 + last.1), position, part.attempts.len())))
            }
            PartStatus::BeyondExpected => drop(self.beyond_expected.insert((OrderedTime(last.0), position))),
            PartStatus::Late => drop(self.late.insert(position)),
            PartStatus::LateExhausted => drop(self.late_exhausted.insert(position)),
        }
    }

    fn remove(&mut self, position: usize, part: &PartState) {
        let sent = part.attempts.last().map_or(0.0, |t| t.sent);
        match part.status {
            PartStatus::Done | PartStatus::Waiting => {}
            PartStatus::Unsent => drop(self.unsent.remove(&position)),
            PartStatus::Reserve => drop(self.reserve.remove(&position)),
            PartStatus::Failed => drop(self.failed.remove(&position)),
            PartStatus::Exhausted => self.exhausted -= 1,
            PartStatus::BeyondExpected => drop(self.beyond_expected.remove(&(OrderedTime(sent), position))),
            PartStatus::Late => drop(self.late.remove(&position)),
            PartStatus::LateExhausted => drop(self.late_exhausted.remove(&position)),
        }
    }

    /// Whether the latest attempt of any part that was sent has failed or is late.
    pub(crate) fn any_failed_or_late(&self) -> bool {
        self.exhausted > 0
            || !(self.failed.is_empty() && self.late.is_empty() && self.late_exhausted.is_empty())
    }
}

/// Running totals over the parts of a query.
#[derive(Debug, Default)]
pub(crate) struct PartTotals {
    /// Number of served parts over all steps, and the longest time that an attempt at one of them took.
    pub(crate) served: usize,
    pub(crate) max_attempt_time: Millis,
    /// Number of served parts in the current step, and their weight.
    pub(crate) step_served: usize,
    pub(crate) served_weight: f64,
    /// Weight of the unserved parts of the current step that may still be served: with an attempt in flight,
    /// without any attempt yet, and with ended attempts only. For each of the three: the parts that are not
    /// omitted, and those that are.
    pending_weight: [[f64; 2]; 3],
    /// Weight of the parts that are omitted or have used all their attempts without being served.
    pub(crate) missing_weight: f64,
    /// Weight of all parts of the current step.
    total_weight: f64,
}

impl PartTotals {
    /// Adds a part with `sign` 1, or subtracts it with -1. `scope` holds whether the part belongs to the
    /// current step and the maximum number of attempts.
    fn add(&mut self, part: &PartState, scope: (bool, u32), sign: f64) {
        let (in_step, max_attempts) = scope;
        if part.served {
            self.served = self.served.wrapping_add_signed(sign as isize);
        }
        if !in_step {
            return;
        }
        let weight = sign * part.weight;
        self.total_weight += weight;
        if is_missing(part, max_attempts) {
            self.missing_weight += weight;
        }
        let omitted = usize::from(part.omitted);
        if part.served {
            self.step_served = self.step_served.wrapping_add_signed(sign as isize);
            self.served_weight += weight;
        } else if part.attempts.iter().any(|t| t.outcome.is_none()) {
            self.pending_weight[0][omitted] += weight;
        } else if part.has_holders && part.attempts_used() < max_attempts {
            self.pending_weight[if part.attempts.is_empty() { 1 } else { 2 }][omitted] += weight;
        }
    }

    /// Weight of the parts that are served or may still be. `suspect`: the query gets no further attempts at
    /// parts that have had one. `with_omitted`: parts that are omitted for now count too.
    pub(crate) fn possible_weight(&self, suspect: bool, with_omitted: bool) -> f64 {
        let kinds = &self.pending_weight[..if suspect { 2 } else { 3 }];
        let sum = |kind: &[f64; 2]| kind[0] + if with_omitted { kind[1] } else { 0.0 };
        self.served_weight + kinds.iter().map(sum).sum::<f64>()
    }

    /// Upper bound on the rounding error of any of these weights.
    pub(crate) fn max_rounding_error(&self) -> f64 {
        MAX_RELATIVE_ERROR * (1.0 + self.total_weight)
    }
}

/// Whether a part is omitted, or unserved with all its attempts used.
pub(crate) fn is_missing(part: &PartState, max_attempts: u32) -> bool {
    part.omitted || !part.served && part.attempts_used() >= max_attempts
}

impl QueryState {
    /// Removes a part from the index and the totals. Call this before the part changes.
    pub(crate) fn unindex_part(&mut self, position: usize) {
        let part = &self.parts[position];
        self.part_index.remove(position, part);
        self.totals.add(part, (position >= self.step_start, self.max_attempts), -1.0);
    }

    /// Determines the status of a part and adds it to the index and the totals again.
    pub(crate) fn index_part(&mut self, settings: &Settings, now: Millis, position: usize) {
        let status = self.part_status(settings, now, position);
        let part = &mut self.parts[position];
        part.status = status;
        self.totals.add(part, (position >= self.step_start, self.max_attempts), 1.0);
        if part.served {
            self.totals.max_attempt_time =
                part.attempts.iter().map(|t| t.took).fold(self.totals.max_attempt_time, f64::max);
        }
        self.part_index.insert(position, part);
    }

    /// Recomputes the index and the totals from all parts.
    pub(crate) fn rebuild_index(&mut self, settings: &Settings, now: Millis) {
        self.part_index = PartIndex { late_floor: self.part_index.late_floor, ..PartIndex::default() };
        self.totals = PartTotals::default();
        (0..self.parts.len()).for_each(|position| self.index_part(settings, now, position));
    }

    /// Whether the class lets a query omit some of its parts. Each part without an attempt in flight is then
    /// visited in every turn.
    pub(crate) fn may_omit_parts(&self, settings: &Settings) -> bool {
        let class = &settings.classes[self.class];
        self.step_start == 0 && class.need - class.floor > TOLERANCE
    }

    fn part_status(&self, settings: &Settings, now: Millis, position: usize) -> PartStatus {
        let part = &self.parts[position];
        if part.served || position < self.step_start {
            return PartStatus::Done;
        }
        let exhausted = part.attempts_used() >= self.max_attempts;
        let Some(last) = part.attempts.last() else {
            return match (exhausted, part.in_reserve) {
                (true, _) => PartStatus::Done,
                (false, true) => PartStatus::Reserve,
                (false, false) => PartStatus::Unsent,
            };
        };
        let age = now - last.sent;
        let may_repeat = |idle: bool| {
            !exhausted
                && (idle && self.may_omit_parts(settings)
                    || Aggregator::may_repeat(settings, now, self, part))
        };
        match (last.outcome, age > last.expected, age > self.part_index.late_floor) {
            (Some(_), ..) if may_repeat(true) => PartStatus::Failed,
            (Some(_), ..) => PartStatus::Exhausted,
            (None, false, _) => PartStatus::Waiting,
            (None, true, false) => PartStatus::BeyondExpected,
            (None, true, true) if may_repeat(false) => PartStatus::Late,
            (None, true, true) => PartStatus::LateExhausted,
        }
    }

    /// Position of the next part, from `from` on, that a turn has to visit. `blocked`: the turn may not send
    /// any attempt beyond a part's first.
    pub(crate) fn next_part(&self, settings: &Settings, from: usize, blocked: bool) -> Option<usize> {
        let index = &self.part_index;
        let next = |set: &BTreeSet<usize>, wanted: bool| {
            if wanted { set.range(from..).next().copied() } else { None }
        };
        let may_omit = self.may_omit_parts(settings);
        let with_retries = !blocked || may_omit;
        [
            next(&index.unsent, true),
            next(&index.reserve, may_omit || index.any_failed_or_late()),
            next(&index.failed, with_retries),
            next(&index.late, with_retries),
        ]
        .into_iter()
        .flatten()
        .min()
    }
}
