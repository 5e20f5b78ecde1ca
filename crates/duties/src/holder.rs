//! One who wants a duty, or holds it.
//!
//! ```text
//!  Idle ── wanted, and rested ──► Asking ── granted ──► Holding ── leave, and somebody waits ──► Giving ── done ──► Idle
//!  Holding ── not renewed, refused, fenced, or nobody waits for `give_for` ──► Stopping ── heard, or lease over ──► Idle
//! ```
//!
//! | phase | orders | entry | exit | bound |
//! | --- | --- | --- | --- | --- |
//! | `Idle` | none | the start; the way out of any other | wanted, and `from` has come | none while unwanted; `rest` after a take |
//! | `Asking` | none | wanted | a grant whose lease still runs; no longer wanted | none: another may hold for long |
//! | `Holding` | yes | a grant | see above | `Lease::held` after the last ask that was answered, less `stop_for` |
//! | `Giving` | none | `leave`, and a renewal said that somebody waits | the register's answer | `give_for`, and the lease |
//! | `Stopping` | none | the lease is short, or lost, or nobody took it | the register's answer | the lease |
//!
//! From `Giving` nothing leads back to `Holding`: a copy of the word that gives the duty over may reach the register at any later time.

use crate::receiver::{Fence, Unfit};
use crate::register::{Command, Grant, OPEN_MAX, Outcome, PAYLOAD_MAX, Refusal, Work};
use crate::values::{AskId, DutyName, Lease, Process, Term, Token, WorkId};
use crate::wire::{Answer, Of, Said};
use plover_model::time::Micros;
use std::collections::{BTreeMap, VecDeque};

/// The asks whose moments are remembered; an answer to an older one is not believed.
pub const ASKS_MAX: usize = 8;

/// The spans of a holder, on its own clock.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct Times {
    /// Between two asks, and between two words that give over or release.
    pub ask_every: Micros,
    /// Between two renewals; a third of the lease or less.
    pub renew_every: Micros,
    /// Orders end so long before the holder's span does.
    pub stop_for: Micros,
    /// Giving over takes no longer.
    pub give_for: Micros,
    /// After the duty was taken, it is not asked for so long.
    pub rest: Micros,
}

impl Times {
    /// Spans that suit a lease; that in force is told with the grant.
    pub fn of(lease: Lease) -> Self {
        let l = lease.kept();
        Times { ask_every: l / 8, renew_every: l / 4, stop_for: l / 16, give_for: l / 2, rest: l * 2 }
    }
}

/// Where the holder is; its spans are in the module's table.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub enum Phase {
    /// Neither holds nor asks.
    Idle {
        /// It may ask from then on.
        from: Micros,
    },
    /// Asks.
    Asking,
    /// Holds.
    Holding {
        /// Under which token.
        token: Token,
        /// In which term it was granted.
        term: Term,
        /// For how long each renewal is.
        lease: Lease,
        /// The lease ends then.
        until: Micros,
        /// It is to be given over, or else released then.
        leave_by: Option<Micros>,
        /// Somebody waits for it.
        waits: bool,
    },
    /// Gives over.
    Giving {
        /// Under which token.
        token: Token,
        /// Until then.
        until: Micros,
    },
    /// Releases.
    Stopping {
        /// Under which token.
        token: Token,
        /// Until then.
        until: Micros,
        /// It may ask again from then on.
        rest: Micros,
    },
}

/// Why work cannot begin.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum NoWork {
    /// The duty is not held.
    #[error("the duty is not held")]
    NotHeld,
    /// Work of an earlier holder is to be finished or undone first.
    #[error("work of an earlier holder is open")]
    Inherited,
    /// [`OPEN_MAX`] are open, or the payload is above [`PAYLOAD_MAX`].
    #[error("too much open work, or too long a payload")]
    TooMuch,
    /// No such work is open.
    #[error("no such work is open")]
    NoSuchWork,
}

/// Who wants or holds one duty.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Holder {
    duty: DutyName,
    process: Process,
    times: Times,
    phase: Phase,
    wanted: bool,
    /// When the next ask, renewal, or word that gives over or releases is due.
    next: Micros,
    last_ask: AskId,
    asks: VecDeque<(AskId, Micros)>,
    /// The highest token given up: it is never held again.
    floor: Token,
    open: BTreeMap<WorkId, Work>,
    last_work: WorkId,
    /// Entries of work that the register has not answered.
    unanswered: BTreeMap<Of, Command>,
}

impl Holder {
    /// One that does not want the duty yet.
    pub fn new(duty: DutyName, process: Process, times: Times) -> Self {
        Holder {
            duty,
            process,
            times,
            phase: Phase::Idle { from: 0 },
            wanted: false,
            next: 0,
            last_ask: AskId(0),
            asks: VecDeque::new(),
            floor: Token(0),
            open: BTreeMap::new(),
            last_work: WorkId(0),
            unanswered: BTreeMap::new(),
        }
    }

    /// Where it is.
    pub fn phase(&self) -> &Phase {
        &self.phase
    }

    /// Whose it is.
    pub fn process(&self) -> &Process {
        &self.process
    }

    /// From now on the duty is wanted.
    pub fn want(&mut self) {
        self.wanted = true;
    }

    /// The duty is no longer wanted: held, it is given over as soon as somebody waits for it, and released otherwise.
    pub fn leave(&mut self, now: Micros) {
        self.wanted = false;
        if let Phase::Holding { leave_by, .. } = &mut self.phase {
            leave_by.get_or_insert(now + self.times.give_for);
        }
        self.next = now;
    }

    /// What an order carries that goes out now; `None`: none may.
    pub fn order(&self, now: Micros) -> Option<Fence> {
        match self.phase {
            Phase::Holding { token, term, until, .. } if now + self.times.stop_for < until => {
                let (duty, holder) = (self.duty.clone(), self.process.clone());
                Some(Fence { duty, token, term, holder })
            }
            _ => None,
        }
    }

    /// What an order for a piece of work carries; `None` also where the register has not noted that the work began, or is
    /// told that it ended.
    pub fn order_for(&self, now: Micros, work: WorkId) -> Option<Fence> {
        let on_its_way = |of: &Of| matches!(of, Of::Begun(w, _) | Of::Ended(w, _) if *w == work);
        let noted = self.open.contains_key(&work) && !self.unanswered.keys().any(on_its_way);
        self.order(now).filter(|_| noted)
    }

    /// What is begun and not ended, the predecessors' work too.
    pub fn open(&self) -> impl Iterator<Item = &Work> {
        self.open.values()
    }

    /// Begins a piece of work; its orders wait until [`Holder::order_for`] gives a fence.
    ///
    /// # Errors
    /// Where the duty is not held, earlier holders' work is open, or a bound is reached.
    pub fn begin(&mut self, now: Micros, payload: Vec<u8>) -> Result<(WorkId, Command), NoWork> {
        let Fence { duty, token, .. } = self.order(now).ok_or(NoWork::NotHeld)?;
        if self.open.values().any(|w| w.token < token) {
            return Err(NoWork::Inherited);
        }
        if self.open.len() >= OPEN_MAX || payload.len() > PAYLOAD_MAX {
            return Err(NoWork::TooMuch);
        }
        let work = WorkId(self.last_work.0 + 1);
        self.last_work = work;
        self.open.insert(work, Work { work, token, payload: payload.clone() });
        let command = Command::Begun { duty, process: self.process.clone(), token, work, payload };
        self.unanswered.insert(Of::Begun(work, token), command.clone());
        Ok((work, command))
    }

    /// Ends a piece of work, one's own or an earlier holder's.
    ///
    /// # Errors
    /// Where the duty is not held, or no such work is open.
    pub fn end(&mut self, now: Micros, work: WorkId, outcome: Outcome) -> Result<Command, NoWork> {
        let Fence { duty, token, .. } = self.order(now).ok_or(NoWork::NotHeld)?;
        if !self.open.contains_key(&work) {
            return Err(NoWork::NoSuchWork);
        }
        let command = Command::Ended { duty, process: self.process.clone(), token, work, outcome };
        self.unanswered.insert(Of::Ended(work, token), command.clone());
        Ok(command)
    }

    /// A receiver refused an order of it: another grant was made, so this one is over.
    pub fn fenced(&mut self, now: Micros, unfit: Unfit) {
        match (&self.phase, unfit) {
            (Phase::Holding { token, until, .. }, Unfit::Old { seen } | Unfit::Twofold { seen })
                if seen >= *token =>
            {
                self.stop(now, *token, *until, now);
            }
            _ => {}
        }
    }

    /// Does what is due; at most `1 + 2 * OPEN_MAX` words to the leading keeper.
    pub fn turn(&mut self, now: Micros) -> Vec<Command> {
        match self.phase {
            Phase::Idle { from } if self.wanted && now >= from => {
                self.phase = Phase::Asking;
                self.next = now;
            }
            Phase::Asking if !self.wanted => self.idle(now),
            Phase::Holding { token, until, leave_by, waits, .. } => {
                if now + self.times.stop_for >= until || leave_by.is_some_and(|by| now >= by && !waits) {
                    self.stop(now, token, until, now);
                } else if leave_by.is_some() && waits {
                    self.phase = Phase::Giving { token, until: until.min(now + self.times.give_for) };
                    self.next = now;
                }
            }
            Phase::Giving { token, until } if now >= until => {
                // The lease may run on: the register is told that it is free, should it not have been given over.
                self.stop(now, token, now + self.times.ask_every, now);
            }
            Phase::Stopping { until, rest, .. } if now >= until => self.idle(rest),
            _ => {}
        }
        if now < self.next || matches!(self.phase, Phase::Idle { .. }) {
            return Vec::new();
        }
        self.say(now)
    }

    /// When [`Holder::turn`] is due next; `None`: time alone changes nothing.
    pub fn due(&self) -> Option<Micros> {
        match self.phase {
            Phase::Idle { from } => self.wanted.then_some(from),
            Phase::Asking => Some(self.next),
            Phase::Holding { until, .. } => Some(self.next.min(until.saturating_sub(self.times.stop_for))),
            Phase::Giving { until, .. } | Phase::Stopping { until, .. } => Some(self.next.min(until)),
        }
    }

    /// A keeper's answer; at most one word goes back at once.
    pub fn hear(&mut self, now: Micros, answer: &Answer) -> Option<Command> {
        if answer.to != self.process || answer.duty != self.duty {
            return None;
        }
        match (&answer.of, &answer.said) {
            (_, Said::Granted(grant)) => return self.granted(now, grant),
            (Of::Renew(ask, of), Said::Renewed { waits: some }) => {
                let sent = self.asked(*ask);
                if let (Phase::Holding { token, lease, until, waits, leave_by, .. }, Some(sent)) =
                    (&mut self.phase, sent)
                    && token == of
                {
                    *until = (*until).max(sent + lease.held());
                    *waits = *some;
                    if *some && leave_by.is_some() {
                        self.next = now;
                    }
                }
            }
            (Of::Renew(_, of), Said::Refused(refusal)) => match (&self.phase, refusal) {
                (Phase::Holding { token, until, .. }, Refusal::Taken) if token == of => {
                    self.stop(now, *token, *until, now + self.times.rest);
                }
                (Phase::Holding { token, .. }, Refusal::OldToken { .. } | Refusal::NotGranted)
                    if token == of =>
                {
                    self.idle(now);
                }
                _ => {}
            },
            (Of::GiveOver(of), said) => match (&self.phase, said) {
                (Phase::Giving { token, .. }, Said::Done) if token == of => self.idle(now),
                (Phase::Giving { token, until }, Said::Refused(Refusal::NobodyWaits)) if token == of => {
                    self.stop(now, *token, *until, now);
                }
                _ => {}
            },
            (Of::Release(of), Said::Done | Said::Refused(Refusal::OldToken { .. } | Refusal::NotGranted)) => {
                if let Phase::Stopping { token, rest, .. } = self.phase
                    && token == *of
                {
                    self.idle(rest);
                }
            }
            (Of::Begun(..), Said::Done) => {
                self.unanswered.remove(&answer.of);
            }
            (Of::Begun(work, _), Said::Refused(refusal))
                if is_final(*refusal) && self.unanswered.remove(&answer.of).is_some() =>
            {
                self.open.remove(work);
            }
            (Of::Ended(work, _), Said::Done | Said::Refused(Refusal::NoSuchWork))
                if self.unanswered.remove(&answer.of).is_some() =>
            {
                self.open.remove(work);
            }
            _ => {}
        }
        None
    }

    fn granted(&mut self, now: Micros, grant: &Grant) -> Option<Command> {
        if let Phase::Holding { token, until, .. } = self.phase
            && token == grant.token
        {
            let sent = self.asked(grant.ask).unwrap_or(0);
            let longer = until.max(sent + grant.lease.held());
            if let Phase::Holding { until, .. } = &mut self.phase {
                *until = longer;
            }
            return None;
        }
        let until = self.asked(grant.ask).map(|sent| sent + grant.lease.held());
        match (&self.phase, until) {
            (Phase::Asking, Some(until))
                if self.wanted && grant.token > self.floor && now + self.times.stop_for < until =>
            {
                let Grant { token, term, lease, .. } = *grant;
                self.phase = Phase::Holding { token, term, lease, until, leave_by: None, waits: false };
                self.open = grant.open.iter().map(|w| (w.work, w.clone())).collect();
                self.last_work = grant.last_work;
                self.next = now;
                None
            }
            (Phase::Asking, _) if self.wanted && grant.token > self.floor => None,
            // Asked for long ago, and not to be had any more: the register is told so. Since that word may arrive late, the
            // grant must not be taken up after it.
            (Phase::Idle { .. } | Phase::Asking, _) => {
                self.floor = self.floor.max(grant.token);
                Some(self.release(grant.token))
            }
            _ => None,
        }
    }

    fn asked(&self, ask: AskId) -> Option<Micros> {
        self.asks.iter().find(|(id, _)| *id == ask).map(|(_, sent)| *sent)
    }

    fn ask(&mut self, now: Micros) -> AskId {
        self.last_ask = AskId(self.last_ask.0 + 1);
        if self.asks.len() >= ASKS_MAX {
            self.asks.pop_front();
        }
        self.asks.push_back((self.last_ask, now));
        self.last_ask
    }

    fn say(&mut self, now: Micros) -> Vec<Command> {
        let (duty, process) = (self.duty.clone(), self.process.clone());
        match self.phase {
            Phase::Idle { .. } => Vec::new(),
            Phase::Asking => {
                self.next = now + self.times.ask_every;
                vec![Command::Ask { duty, process, ask: self.ask(now) }]
            }
            Phase::Holding { token, .. } => {
                self.next = now + self.times.renew_every;
                let renew = Command::Renew { duty, process, ask: self.ask(now), token };
                std::iter::once(renew).chain(self.unanswered.values().cloned()).collect()
            }
            Phase::Giving { token, .. } => {
                self.next = now + self.times.ask_every;
                vec![Command::GiveOver { duty, process, token, to: None }]
            }
            Phase::Stopping { token, .. } => {
                self.next = now + self.times.ask_every;
                vec![self.release(token)]
            }
        }
    }

    fn release(&self, token: Token) -> Command {
        Command::Release { duty: self.duty.clone(), process: self.process.clone(), token }
    }

    fn stop(&mut self, now: Micros, token: Token, until: Micros, rest: Micros) {
        self.over(token);
        self.phase = Phase::Stopping { token, until, rest };
        self.next = now;
    }

    fn idle(&mut self, from: Micros) {
        if let Phase::Holding { token, .. } | Phase::Giving { token, .. } = self.phase {
            self.over(token);
        }
        self.phase = Phase::Idle { from };
        self.asks.clear();
    }

    fn over(&mut self, token: Token) {
        self.floor = self.floor.max(token);
        self.open.clear();
        self.unanswered.clear();
    }
}

/// Whether asking the very same again could not help.
fn is_final(refusal: Refusal) -> bool {
    !matches!(refusal, Refusal::Busy | Refusal::NotLeading { .. })
}
