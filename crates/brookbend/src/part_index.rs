//! Where the parts of a held query stand, which of them a turn has to look at, and what they add up to.
//!
//! Nothing here decides anything: sums and sets are kept as parts change, in place of what would be gone through anew.

use crate::api::*;
use crate::choice::{Aggregator, TOLERANCE};
use crate::state::{PartState, QueryState};
use std::cmp::{Ordering, Reverse};
use std::collections::{BTreeSet, BinaryHeap};

/// Sums that are kept may be off by this share of all that was added: nearer to a limit they are added up anew.
const MAX_RELATIVE_ERROR: f64 = 1e-9;

/// A moment, in order.
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

/// Where a part stands.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(crate) enum PartStatus {
    /// Served, or of a step that is over, or never to be asked for.
    #[default]
    Done,
    /// To be asked for.
    Unsent,
    /// To be asked for once another is in trouble.
    Reserve,
    /// Its latest attempt has ended, and another may follow.
    Failed,
    /// Its latest attempt has ended, and no other may follow.
    Exhausted,
    /// Its latest attempt is out, and not yet for as long as expected.
    Waiting,
    /// It is out for longer than expected, and not yet late.
    BeyondExpected,
    /// It is late, and another may follow.
    Late,
    /// It is late, and no other may follow.
    LateExhausted,
}

/// The parts of a query by where they stand, as far as they are to be found.
#[derive(Default)]
pub(crate) struct PartIndex {
    pub(crate) unsent: BTreeSet<usize>,
    pub(crate) reserve: BTreeSet<usize>,
    pub(crate) failed: BTreeSet<usize>,
    exhausted: usize,
    /// When what is out will be for as long as expected: the part, and how many attempts it had. Some have ended since.
    pub(crate) waiting: BinaryHeap<Reverse<(OrderedTime, usize, usize)>>,
    /// By when it was sent.
    pub(crate) beyond_expected: BTreeSet<(OrderedTime, usize)>,
    pub(crate) late: BTreeSet<usize>,
    pub(crate) late_exhausted: BTreeSet<usize>,
    /// Attempts are not late before this time.
    pub(crate) late_floor: Millis,
}

impl PartIndex {
    fn insert(&mut self, i: usize, p: &PartState) {
        let last = p.attempts.last().map_or((0.0, 0.0), |t| (t.sent, t.expected));
        match p.status {
            PartStatus::Done => {}
            PartStatus::Unsent => drop(self.unsent.insert(i)),
            PartStatus::Reserve => drop(self.reserve.insert(i)),
            PartStatus::Failed => drop(self.failed.insert(i)),
            PartStatus::Exhausted => self.exhausted += 1,
            PartStatus::Waiting => {
                self.waiting.push(Reverse((OrderedTime(last.0 + last.1), i, p.attempts.len())))
            }
            PartStatus::BeyondExpected => drop(self.beyond_expected.insert((OrderedTime(last.0), i))),
            PartStatus::Late => drop(self.late.insert(i)),
            PartStatus::LateExhausted => drop(self.late_exhausted.insert(i)),
        }
    }

    fn remove(&mut self, i: usize, p: &PartState) {
        let sent = p.attempts.last().map_or(0.0, |t| t.sent);
        match p.status {
            PartStatus::Done | PartStatus::Waiting => {}
            PartStatus::Unsent => drop(self.unsent.remove(&i)),
            PartStatus::Reserve => drop(self.reserve.remove(&i)),
            PartStatus::Failed => drop(self.failed.remove(&i)),
            PartStatus::Exhausted => self.exhausted -= 1,
            PartStatus::BeyondExpected => drop(self.beyond_expected.remove(&(OrderedTime(sent), i))),
            PartStatus::Late => drop(self.late.remove(&i)),
            PartStatus::LateExhausted => drop(self.late_exhausted.remove(&i)),
        }
    }

    /// Whether a part was asked for, and its latest attempt has failed or is late.
    pub(crate) fn any_failed_or_late(&self) -> bool {
        self.exhausted > 0
            || !(self.failed.is_empty() && self.late.is_empty() && self.late_exhausted.is_empty())
    }
}

/// What the parts of a query add up to.
#[derive(Debug, Default)]
pub(crate) struct PartTotals {
    /// Of all: how many are served, and the longest attempt at one of them.
    pub(crate) served: usize,
    pub(crate) max_attempt_time: Millis,
    /// Of the step at hand: how many are served, and their weight.
    pub(crate) step_served: usize,
    pub(crate) served_weight: f64,
    /// The weight of those that may still come: with an attempt out, without any yet, with none but ended ones; and of each
    /// kind what is not left out, and what is.
    pending_weight: [[f64; 2]; 3],
    /// The weight of those that are left out or have had all their attempts.
    pub(crate) missing_weight: f64,
    /// The weight of all.
    total_weight: f64,
}

impl PartTotals {
    fn add(&mut self, p: &PartState, q: (bool, u32), sign: f64) {
        let (step, most) = q;
        if p.served {
            self.served = self.served.wrapping_add_signed(sign as isize);
        }
        if !step {
            return;
        }
        let weight = sign * p.weight;
        self.total_weight += weight;
        if is_missing(p, most) {
            self.missing_weight += weight;
        }
        let left = usize::from(p.omitted);
        if p.served {
            self.step_served = self.step_served.wrapping_add_signed(sign as isize);
            self.served_weight += weight;
        } else if p.attempts.iter().any(|t| t.outcome.is_none()) {
            self.pending_weight[0][left] += weight;
        } else if p.has_holders && p.attempts_used() < most {
            self.pending_weight[if p.attempts.is_empty() { 1 } else { 2 }][left] += weight;
        }
    }

    /// The weight of those that are in or may still come.
    pub(crate) fn possible_weight(&self, spoiled: bool, with_left: bool) -> f64 {
        let kinds = &self.pending_weight[..if spoiled { 2 } else { 3 }];
        let sum = |k: &[f64; 2]| k[0] + if with_left { k[1] } else { 0.0 };
        self.served_weight + kinds.iter().map(sum).sum::<f64>()
    }

    pub(crate) fn max_rounding_error(&self) -> f64 {
        MAX_RELATIVE_ERROR * (1.0 + self.total_weight)
    }
}

pub(crate) fn is_missing(p: &PartState, most: u32) -> bool {
    p.omitted || !p.served && p.attempts_used() >= most
}

impl QueryState {
    /// Takes a part out of what is kept, before it changes.
    pub(crate) fn unindex_part(&mut self, i: usize) {
        let p = &self.parts[i];
        self.part_index.remove(i, p);
        self.totals.add(p, (i >= self.step_start, self.max_attempts), -1.0);
    }

    /// Puts it back, where it stands now.
    pub(crate) fn index_part(&mut self, settings: &Settings, now: Millis, i: usize) {
        let stand = self.part_status(settings, now, i);
        let p = &mut self.parts[i];
        p.status = stand;
        self.totals.add(p, (i >= self.step_start, self.max_attempts), 1.0);
        if p.served {
            self.totals.max_attempt_time =
                p.attempts.iter().map(|t| t.took).fold(self.totals.max_attempt_time, f64::max);
        }
        self.part_index.insert(i, p);
    }

    /// All anew.
    pub(crate) fn rebuild_index(&mut self, settings: &Settings, now: Millis) {
        self.part_index = PartIndex { late_floor: self.part_index.late_floor, ..PartIndex::default() };
        self.totals = PartTotals::default();
        (0..self.parts.len()).for_each(|i| self.index_part(settings, now, i));
    }

    /// Whether the class lets a query do without some of its parts: then each that is idle is looked at in each turn.
    pub(crate) fn may_omit_parts(&self, settings: &Settings) -> bool {
        let class = &settings.classes[self.class];
        self.step_start == 0 && class.need - class.floor > TOLERANCE
    }

    fn part_status(&self, settings: &Settings, now: Millis, i: usize) -> PartStatus {
        let p = &self.parts[i];
        if p.served || i < self.step_start {
            return PartStatus::Done;
        }
        let over = p.attempts_used() >= self.max_attempts;
        let Some(last) = p.attempts.last() else {
            return match (over, p.in_reserve) {
                (true, _) => PartStatus::Done,
                (false, true) => PartStatus::Reserve,
                (false, false) => PartStatus::Unsent,
            };
        };
        let age = now - last.sent;
        let repeats = |idle: bool| {
            !over && (idle && self.may_omit_parts(settings) || Aggregator::may_repeat(settings, now, self, p))
        };
        match (last.outcome, age > last.expected, age > self.part_index.late_floor) {
            (Some(_), ..) if repeats(true) => PartStatus::Failed,
            (Some(_), ..) => PartStatus::Exhausted,
            (None, false, _) => PartStatus::Waiting,
            (None, true, false) => PartStatus::BeyondExpected,
            (None, true, true) if repeats(false) => PartStatus::Late,
            (None, true, true) => PartStatus::LateExhausted,
        }
    }

    /// The next part after this one that a turn has to look at; `blocked`: no attempt beyond a first may go in it.
    pub(crate) fn next_part(&self, settings: &Settings, from: usize, blocked: bool) -> Option<usize> {
        let a = &self.part_index;
        let next = |of: &BTreeSet<usize>, wanted: bool| {
            if wanted { of.range(from..).next().copied() } else { None }
        };
        let leaves = self.may_omit_parts(settings);
        let tried = !blocked || leaves;
        [
            next(&a.unsent, true),
            next(&a.reserve, leaves || a.any_failed_or_late()),
            next(&a.failed, tried),
            next(&a.late, tried),
        ]
        .into_iter()
        .flatten()
        .min()
    }
}
