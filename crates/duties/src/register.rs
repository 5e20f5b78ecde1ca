//! The register of duties: what the keepers' log amounts to.
//!
//! Each keeper applies the same commands in the same order and comes to the same register; nothing here depends on a clock.
//! A lease's end is a command too: the leading keeper measures the span and proposes [`Command::Lapse`], which names the
//! renewal that it measured from and is refused where a later one came first.

use crate::values::{AskId, DutyName, KeeperId, Lease, Process, Term, Token, WorkId};
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

/// The most duties.
pub const DUTIES_MAX: usize = 16;
/// The most processes that wait for a duty; others are refused and ask again.
pub const WAITING_MAX: usize = 2;
/// A process that waits is forgotten after so many renewals of the holder's without a word of it.
pub const WAITING_RENEWALS: u64 = 6;
/// The most pieces of work of a duty that are begun and not ended.
pub const OPEN_MAX: usize = 32;
/// The longest payload of a piece of work, in bytes.
pub const PAYLOAD_MAX: usize = 512;
/// The most keepers that are on their way in.
pub const JOINING_MAX: usize = 2;

/// How a piece of work ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum Outcome {
    /// All that it meant to do is done.
    Finished,
    /// Nothing of it is left.
    Undone,
}

/// An entry of the log.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum Command {
    /// An operator names a duty.
    Name {
        /// Which.
        duty: DutyName,
    },
    /// A process wants a duty: granted if it is free, else the process waits.
    Ask {
        /// Which.
        duty: DutyName,
        /// Who.
        process: Process,
        /// Its ask.
        ask: AskId,
    },
    /// The holder goes on.
    Renew {
        /// Which.
        duty: DutyName,
        /// Who.
        process: Process,
        /// Its ask: the lease runs from before it.
        ask: AskId,
        /// Under which token.
        token: Token,
    },
    /// The holder has given its last order: one that waits is granted the duty in this very entry.
    GiveOver {
        /// Which.
        duty: DutyName,
        /// Who gives.
        process: Process,
        /// Under which token.
        token: Token,
        /// Who is to have it; `None`: the one that was heard last.
        to: Option<Process>,
    },
    /// The holder has given its last order, whoever comes next.
    Release {
        /// Which.
        duty: DutyName,
        /// Who.
        process: Process,
        /// Under which token.
        token: Token,
    },
    /// The holder is to go though it renews: from now on it cannot.
    Take {
        /// Which.
        duty: DutyName,
        /// The token of the holder that is meant.
        token: Token,
    },
    /// The lease is over on the leading keeper's clock.
    Lapse {
        /// Which.
        duty: DutyName,
        /// Of which grant.
        token: Token,
        /// Counted from which renewal; 0 is the grant.
        renewals: u64,
    },
    /// Work begins: durable before its first order goes out.
    Begun {
        /// Which.
        duty: DutyName,
        /// Who.
        process: Process,
        /// Under which token.
        token: Token,
        /// Its number, above all before.
        work: WorkId,
        /// What a successor needs to finish or undo it; at most [`PAYLOAD_MAX`] bytes.
        payload: Vec<u8>,
    },
    /// Work has ended.
    Ended {
        /// Which.
        duty: DutyName,
        /// Who.
        process: Process,
        /// Under which token; the work may have begun under an earlier one.
        token: Token,
        /// Which work.
        work: WorkId,
        /// How.
        outcome: Outcome,
    },
    /// A keeper with an empty disk comes in as a learner.
    Join {
        /// Its identity, above all ever used.
        keeper: KeeperId,
        /// The one whose disk was lost.
        replaces: Option<KeeperId>,
    },
}

/// Why a command changed nothing.
#[derive(
    Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize, thiserror::Error,
)]
pub enum Refusal {
    /// This keeper does not lead, or has no majority behind it.
    #[error("this keeper does not lead")]
    NotLeading {
        /// Who does, as far as it knows; `None`: there may be no majority, nothing is granted.
        leader: Option<KeeperId>,
    },
    /// Too much is on its way through the log.
    #[error("the log's queue is full")]
    Busy,
    /// No such duty was named.
    #[error("there is no such duty")]
    NoSuchDuty,
    /// There are [`DUTIES_MAX`].
    #[error("there are too many duties")]
    TooMany,
    /// Another holds it; the asker waits if there is a place.
    #[error("another holds it under {token:?}")]
    Held {
        /// Under which token.
        token: Token,
    },
    /// The token is an earlier grant's, or its holder is gone.
    #[error("the token is over; the last is {last:?}")]
    OldToken {
        /// The last token granted.
        last: Token,
    },
    /// The token was never granted to this process.
    #[error("the token was not granted to this process")]
    NotGranted,
    /// The duty is being taken from the holder.
    #[error("the duty is being taken")]
    Taken,
    /// Nobody waits to whom it could be given.
    #[error("nobody waits for it")]
    NobodyWaits,
    /// The lease was renewed meanwhile.
    #[error("the lease was renewed meanwhile")]
    Renewed,
    /// Work of an earlier holder is open: it is finished or undone first.
    #[error("work of an earlier holder is open")]
    Inherited,
    /// [`OPEN_MAX`] pieces of work are open, or a payload is above [`PAYLOAD_MAX`].
    #[error("too much open work, or too long a payload")]
    TooMuch,
    /// The number of the work was used.
    #[error("the number of the work was used")]
    WorkUsed,
    /// No such work is open.
    #[error("no such work is open")]
    NoSuchWork,
    /// The keeper's identity was used before, or too many are on their way in.
    #[error("the keeper's identity was used, or too many join")]
    BadKeeper,
}

/// A piece of work that has begun.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Work {
    /// Its number.
    pub work: WorkId,
    /// Under which token it began.
    pub token: Token,
    /// What its holder wrote.
    pub payload: Vec<u8>,
}

/// What a new holder is told.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Grant {
    /// To whom.
    pub process: Process,
    /// For which ask: the lease runs from before it.
    pub ask: AskId,
    /// Under which token.
    pub token: Token,
    /// In which term it was written.
    pub term: Term,
    /// For how long: holder and keepers count the same lease.
    pub lease: Lease,
    /// What earlier holders began and did not end.
    pub open: Vec<Work>,
    /// The highest number of work used.
    pub last_work: WorkId,
}

/// What a command changed.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Change {
    /// A duty was named, or was known.
    Named,
    /// Granted.
    Granted(Grant),
    /// The lease runs from this ask on.
    Renewed {
        /// Which ask.
        ask: AskId,
        /// Somebody waits to whom the duty could be given over.
        waits: bool,
    },
    /// Nobody holds it.
    Freed,
    /// The holder cannot renew from now on.
    Taking,
    /// Noted as open.
    Begun(WorkId),
    /// Noted as ended.
    Ended(WorkId),
    /// May come in.
    Joining(KeeperId),
}

#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
struct Held {
    process: Process,
    ask: AskId,
    renewals: u64,
    taken: bool,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
struct Waiting {
    process: Process,
    ask: AskId,
    heard: u64,
}

#[derive(Clone, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
struct Duty {
    token: Token,
    term: Term,
    held: Option<Held>,
    /// Whoever was heard last is last.
    waiting: Vec<Waiting>,
    open: BTreeMap<WorkId, Work>,
    last_work: WorkId,
}

impl Duty {
    fn grant(&mut self, lease: Lease, term: Term, process: Process, ask: AskId) -> Change {
        self.token = Token(self.token.0.saturating_add(1));
        self.term = term;
        self.waiting.clear();
        self.held = Some(Held { process, ask, renewals: 0, taken: false });
        self.granted(lease)
    }

    /// The grant in force, as told to its holder; told again, it is the same but for the ask.
    fn granted(&self, lease: Lease) -> Change {
        match &self.held {
            Some(held) => Change::Granted(Grant {
                process: held.process.clone(),
                ask: held.ask,
                token: self.token,
                term: self.term,
                lease,
                open: self.open.values().cloned().collect(),
                last_work: self.last_work,
            }),
            None => Change::Freed,
        }
    }

    /// The holder, if `process` is that under `token`.
    fn holder(&mut self, process: &Process, token: Token) -> Result<&mut Held, Refusal> {
        let last = self.token;
        match &mut self.held {
            _ if token > last => Err(Refusal::NotGranted),
            _ if token < last => Err(Refusal::OldToken { last }),
            None => Err(Refusal::OldToken { last }),
            Some(held) if held.process != *process => Err(Refusal::NotGranted),
            Some(held) => Ok(held),
        }
    }

    fn free(&mut self) -> Change {
        self.held = None;
        self.waiting.clear();
        Change::Freed
    }
}

/// All duties.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Register {
    duties: BTreeMap<DutyName, Duty>,
    /// Where the tokens of a duty named later begin.
    after: Token,
    lease: Lease,
    /// The highest identity of a keeper ever used.
    last_keeper: u64,
    joining: BTreeMap<KeeperId, Option<KeeperId>>,
}

impl Register {
    /// One with these duties (at most [`DUTIES_MAX`] are taken), kept by those keepers. All tokens are above `after`; all
    /// grants are for `lease`.
    pub fn new(duties: &[DutyName], keepers: &[KeeperId], after: Token, lease: Lease) -> Self {
        let duty = Duty { token: after, ..Duty::default() };
        Register {
            duties: duties.iter().map(|d| (d.clone(), duty.clone())).collect(),
            after,
            lease,
            last_keeper: keepers.iter().map(|k| k.0).max().unwrap_or(0),
            joining: BTreeMap::new(),
        }
    }

    /// Applies an entry written in `term`.
    ///
    /// # Errors
    /// Says why the register stays as it is, but for the place among those who wait that [`Refusal::Held`] may have given.
    pub fn apply(&mut self, term: Term, command: &Command) -> Result<Change, Refusal> {
        let lease = self.lease;
        match command {
            Command::Name { duty } => {
                if !self.duties.contains_key(duty) && self.duties.len() >= DUTIES_MAX {
                    return Err(Refusal::TooMany);
                }
                let new = Duty { token: self.after, ..Duty::default() };
                self.duties.entry(duty.clone()).or_insert(new);
                Ok(Change::Named)
            }
            Command::Ask { duty, process, ask } => ask_for(self.duty(duty)?, lease, term, process, *ask),
            Command::Renew { duty, process, ask, token } => {
                let duty = self.duty(duty)?;
                let held = duty.holder(process, *token)?;
                if held.taken {
                    return Err(Refusal::Taken);
                }
                held.renewals = held.renewals.saturating_add(1);
                held.ask = held.ask.max(*ask);
                let now = held.renewals;
                duty.waiting.retain(|w| w.heard + WAITING_RENEWALS >= now);
                Ok(Change::Renewed { ask: *ask, waits: !duty.waiting.is_empty() })
            }
            Command::GiveOver { duty, process, token, to } => {
                let duty = self.duty(duty)?;
                duty.holder(process, *token)?;
                let next = duty.waiting.iter().rfind(|w| to.as_ref().is_none_or(|to| w.process == *to));
                let Waiting { process, ask, .. } = next.cloned().ok_or(Refusal::NobodyWaits)?;
                Ok(duty.grant(lease, term, process, ask))
            }
            Command::Release { duty, process, token } => {
                let duty = self.duty(duty)?;
                duty.holder(process, *token)?;
                Ok(duty.free())
            }
            Command::Take { duty, token } => {
                let duty = self.duty(duty)?;
                let last = duty.token;
                match &mut duty.held {
                    Some(held) if *token == last => {
                        held.taken = true;
                        Ok(Change::Taking)
                    }
                    _ => Err(Refusal::OldToken { last }),
                }
            }
            Command::Lapse { duty, token, renewals } => {
                let duty = self.duty(duty)?;
                match &duty.held {
                    Some(held) if *token == duty.token && held.renewals == *renewals => Ok(duty.free()),
                    Some(_) if *token == duty.token => Err(Refusal::Renewed),
                    _ => Err(Refusal::OldToken { last: duty.token }),
                }
            }
            Command::Begun { duty, process, token, work, payload } => {
                let duty = self.duty(duty)?;
                duty.holder(process, *token)?;
                let new = Work { work: *work, token: *token, payload: payload.clone() };
                match duty.open.get(work) {
                    Some(known) if *known == new => return Ok(Change::Begun(*work)),
                    _ if *work <= duty.last_work => return Err(Refusal::WorkUsed),
                    _ => {}
                }
                if duty.open.values().any(|w| w.token < *token) {
                    return Err(Refusal::Inherited);
                }
                if duty.open.len() >= OPEN_MAX || payload.len() > PAYLOAD_MAX {
                    return Err(Refusal::TooMuch);
                }
                duty.last_work = *work;
                duty.open.insert(*work, new);
                Ok(Change::Begun(*work))
            }
            Command::Ended { duty, process, token, work, outcome: _ } => {
                let duty = self.duty(duty)?;
                duty.holder(process, *token)?;
                duty.open.remove(work).map(|w| Change::Ended(w.work)).ok_or(Refusal::NoSuchWork)
            }
            Command::Join { keeper, replaces } => {
                if keeper.0 <= self.last_keeper || self.joining.len() >= JOINING_MAX {
                    return Err(Refusal::BadKeeper);
                }
                self.last_keeper = keeper.0;
                self.joining.insert(*keeper, *replaces);
                Ok(Change::Joining(*keeper))
            }
        }
    }

    fn duty(&mut self, name: &DutyName) -> Result<&mut Duty, Refusal> {
        self.duties.get_mut(name).ok_or(Refusal::NoSuchDuty)
    }

    /// What an ask would be refused with, where writing it into the log would change nothing.
    pub fn refuses(&self, command: &Command) -> Option<Refusal> {
        let Command::Ask { duty, process, .. } = command else { return None };
        let Some(duty) = self.duties.get(duty) else { return Some(Refusal::NoSuchDuty) };
        let held = duty.held.as_ref()?;
        let known = held.process == *process || duty.waiting.iter().any(|w| w.process == *process);
        (!known && duty.waiting.len() >= WAITING_MAX).then_some(Refusal::Held { token: duty.token })
    }

    /// How long grants are for.
    pub fn lease(&self) -> Lease {
        self.lease
    }

    /// The leases in force: duty, token, renewals.
    pub fn leases(&self) -> impl Iterator<Item = (&DutyName, Token, u64)> {
        self.duties.iter().filter_map(|(n, d)| d.held.as_ref().map(|h| (n, d.token, h.renewals)))
    }

    /// A duty's last token and its holder; `None`: there is no such duty.
    pub fn holder_of(&self, duty: &DutyName) -> Option<(Token, Option<&Process>)> {
        self.duties.get(duty).map(|d| (d.token, d.held.as_ref().map(|h| &h.process)))
    }

    /// What is begun and not ended.
    pub fn open(&self, duty: &DutyName) -> impl Iterator<Item = &Work> {
        self.duties.get(duty).into_iter().flat_map(|d| d.open.values())
    }

    /// Keepers on their way in, and whom each replaces.
    pub fn joining(&self) -> impl Iterator<Item = (KeeperId, Option<KeeperId>)> {
        self.joining.iter().map(|(k, r)| (*k, *r))
    }

    /// A keeper has become a voter, or was given up.
    pub(crate) fn joined(&mut self, keeper: KeeperId) {
        self.joining.remove(&keeper);
    }
}

fn ask_for(
    duty: &mut Duty,
    lease: Lease,
    term: Term,
    process: &Process,
    ask: AskId,
) -> Result<Change, Refusal> {
    let Some(held) = &mut duty.held else { return Ok(duty.grant(lease, term, process.clone(), ask)) };
    if held.process == *process {
        if held.taken {
            return Err(Refusal::Taken);
        }
        // Its grant was not heard: told again, and counted from this ask, hence a renewal.
        held.renewals = held.renewals.saturating_add(1);
        held.ask = held.ask.max(ask);
        return Ok(duty.granted(lease));
    }
    let heard = held.renewals;
    let before = duty.waiting.iter().position(|w| w.process == *process).map(|i| duty.waiting.remove(i));
    let ask = before.map_or(ask, |w| w.ask.max(ask));
    if duty.waiting.len() < WAITING_MAX {
        duty.waiting.push(Waiting { process: process.clone(), ask, heard });
    }
    Err(Refusal::Held { token: duty.token })
}
