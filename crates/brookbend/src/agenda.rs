//! Where the parts of a held query stand, which of them a turn has to look at, and what they add up to.
//!
//! Nothing here decides anything: sums and sets are kept as parts change, in place of what would be gone through anew.

use crate::api::*;
use crate::choice::{Aggregator, TOLERANCE};
use crate::state::{PartState, QueryState};
use std::cmp::{Ordering, Reverse};
use std::collections::{BTreeSet, BinaryHeap};

/// Sums that are kept may be off by this share of all that was added: nearer to a limit they are added up anew.
const DRIFT: f64 = 1e-9;

/// A moment, in order.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) struct At(pub(crate) Millis);

impl Eq for At {}

impl PartialOrd for At {
    fn partial_cmp(&self, other: &Self) -> Option<Ordering> {
        Some(self.cmp(other))
    }
}

impl Ord for At {
    fn cmp(&self, other: &Self) -> Ordering {
        self.0.total_cmp(&other.0)
    }
}

/// Where a part stands.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(crate) enum Stand {
    /// Served, or of a step that is over, or never to be asked for.
    #[default]
    Done,
    /// To be asked for.
    Fresh,
    /// To be asked for once another is in trouble.
    Reserve,
    /// Its latest attempt has ended, and another may follow.
    Failed,
    /// Its latest attempt has ended, and no other may follow.
    Spent,
    /// Its latest attempt is out, and not yet for as long as expected.
    Out,
    /// It is out for longer than expected, and not yet late.
    Past,
    /// It is late, and another may follow.
    Late,
    /// It is late, and no other may follow.
    LateSpent,
}

/// The parts of a query by where they stand, as far as they are to be found.
#[derive(Default)]
pub(crate) struct Agenda {
    pub(crate) fresh: BTreeSet<usize>,
    pub(crate) reserve: BTreeSet<usize>,
    pub(crate) failed: BTreeSet<usize>,
    spent: usize,
    /// When what is out will be for as long as expected: the part, and how many attempts it had. Some have ended since.
    pub(crate) out: BinaryHeap<Reverse<(At, usize, usize)>>,
    /// By when it was sent.
    pub(crate) past: BTreeSet<(At, usize)>,
    pub(crate) late: BTreeSet<usize>,
    pub(crate) late_spent: BTreeSet<usize>,
    /// Attempts are not late before this time.
    pub(crate) floor: Millis,
}

impl Agenda {
    fn enter(&mut self, i: usize, p: &PartState) {
        let last = p.attempts.last().map_or((0.0, 0.0), |t| (t.sent, t.expected));
        match p.stand {
            Stand::Done => {}
            Stand::Fresh => drop(self.fresh.insert(i)),
            Stand::Reserve => drop(self.reserve.insert(i)),
            Stand::Failed => drop(self.failed.insert(i)),
            Stand::Spent => self.spent += 1,
            Stand::Out => self.out.push(Reverse((At(last.0 + last.1), i, p.attempts.len()))),
            Stand::Past => drop(self.past.insert((At(last.0), i))),
            Stand::Late => drop(self.late.insert(i)),
            Stand::LateSpent => drop(self.late_spent.insert(i)),
        }
    }

    fn leave(&mut self, i: usize, p: &PartState) {
        let sent = p.attempts.last().map_or(0.0, |t| t.sent);
        match p.stand {
            Stand::Done | Stand::Out => {}
            Stand::Fresh => drop(self.fresh.remove(&i)),
            Stand::Reserve => drop(self.reserve.remove(&i)),
            Stand::Failed => drop(self.failed.remove(&i)),
            Stand::Spent => self.spent -= 1,
            Stand::Past => drop(self.past.remove(&(At(sent), i))),
            Stand::Late => drop(self.late.remove(&i)),
            Stand::LateSpent => drop(self.late_spent.remove(&i)),
        }
    }

    /// Whether a part was asked for, and its latest attempt has failed or is late.
    pub(crate) fn troubled(&self) -> bool {
        self.spent > 0 || !(self.failed.is_empty() && self.late.is_empty() && self.late_spent.is_empty())
    }
}

/// What the parts of a query add up to.
#[derive(Debug, Default)]
pub(crate) struct Tally {
    /// Of all: how many are served, and the longest attempt at one of them.
    pub(crate) served: usize,
    pub(crate) took: Millis,
    /// Of the step at hand: how many are served, and their weight.
    pub(crate) step_served: usize,
    pub(crate) have: f64,
    /// The weight of those that may still come: with an attempt out, without any yet, with none but ended ones; and of each
    /// kind what is not left out, and what is.
    coming: [[f64; 2]; 3],
    /// The weight of those that are left out or have had all their attempts.
    pub(crate) without: f64,
    /// The weight of all.
    all: f64,
}

impl Tally {
    fn count(&mut self, p: &PartState, q: (bool, u32), sign: f64) {
        let (step, most) = q;
        if p.served {
            self.served = self.served.wrapping_add_signed(sign as isize);
        }
        if !step {
            return;
        }
        let weight = sign * p.weight;
        self.all += weight;
        if is_without(p, most) {
            self.without += weight;
        }
        let left = usize::from(p.omitted);
        if p.served {
            self.step_served = self.step_served.wrapping_add_signed(sign as isize);
            self.have += weight;
        } else if p.attempts.iter().any(|t| t.outcome.is_none()) {
            self.coming[0][left] += weight;
        } else if p.has_holders && p.attempts_used() < most {
            self.coming[if p.attempts.is_empty() { 1 } else { 2 }][left] += weight;
        }
    }

    /// The weight of those that are in or may still come.
    pub(crate) fn possible(&self, spoiled: bool, with_left: bool) -> f64 {
        let kinds = &self.coming[..if spoiled { 2 } else { 3 }];
        let sum = |k: &[f64; 2]| k[0] + if with_left { k[1] } else { 0.0 };
        self.have + kinds.iter().map(sum).sum::<f64>()
    }

    pub(crate) fn drift(&self) -> f64 {
        DRIFT * (1.0 + self.all)
    }
}

pub(crate) fn is_without(p: &PartState, most: u32) -> bool {
    p.omitted || !p.served && p.attempts_used() >= most
}

impl QueryState {
    /// Takes a part out of what is kept, before it changes.
    pub(crate) fn lift(&mut self, i: usize) {
        let p = &self.parts[i];
        self.agenda.leave(i, p);
        self.tally.count(p, (i >= self.step_start, self.max_attempts), -1.0);
    }

    /// Puts it back, where it stands now.
    pub(crate) fn settle(&mut self, settings: &Settings, now: Millis, i: usize) {
        let stand = self.stand(settings, now, i);
        let p = &mut self.parts[i];
        p.stand = stand;
        self.tally.count(p, (i >= self.step_start, self.max_attempts), 1.0);
        if p.served {
            self.tally.took = p.attempts.iter().map(|t| t.took).fold(self.tally.took, f64::max);
        }
        self.agenda.enter(i, p);
    }

    /// All anew.
    pub(crate) fn recount(&mut self, settings: &Settings, now: Millis) {
        self.agenda = Agenda { floor: self.agenda.floor, ..Agenda::default() };
        self.tally = Tally::default();
        (0..self.parts.len()).for_each(|i| self.settle(settings, now, i));
    }

    /// Whether the class lets a query do without some of its parts: then each that is idle is looked at in each turn.
    pub(crate) fn may_leave(&self, settings: &Settings) -> bool {
        let class = &settings.classes[self.class];
        self.step_start == 0 && class.need - class.floor > TOLERANCE
    }

    fn stand(&self, settings: &Settings, now: Millis, i: usize) -> Stand {
        let p = &self.parts[i];
        if p.served || i < self.step_start {
            return Stand::Done;
        }
        let over = p.attempts_used() >= self.max_attempts;
        let Some(last) = p.attempts.last() else {
            return match (over, p.in_reserve) {
                (true, _) => Stand::Done,
                (false, true) => Stand::Reserve,
                (false, false) => Stand::Fresh,
            };
        };
        let age = now - last.sent;
        let repeats = |idle: bool| {
            !over && (idle && self.may_leave(settings) || Aggregator::may_repeat(settings, now, self, p))
        };
        match (last.outcome, age > last.expected, age > self.agenda.floor) {
            (Some(_), ..) if repeats(true) => Stand::Failed,
            (Some(_), ..) => Stand::Spent,
            (None, false, _) => Stand::Out,
            (None, true, false) => Stand::Past,
            (None, true, true) if repeats(false) => Stand::Late,
            (None, true, true) => Stand::LateSpent,
        }
    }

    /// The next part after this one that a turn has to look at; `blocked`: no attempt beyond a first may go in it.
    pub(crate) fn next_part(&self, settings: &Settings, from: usize, blocked: bool) -> Option<usize> {
        let a = &self.agenda;
        let next = |of: &BTreeSet<usize>, wanted: bool| {
            if wanted { of.range(from..).next().copied() } else { None }
        };
        let leaves = self.may_leave(settings);
        let tried = !blocked || leaves;
        [
            next(&a.fresh, true),
            next(&a.reserve, leaves || a.troubled()),
            next(&a.failed, tried),
            next(&a.late, tried),
        ]
        .into_iter()
        .flatten()
        .min()
    }
}
