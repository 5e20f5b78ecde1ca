//! Words between brokers and keepers, and among keepers.
//!
//! A word is one byte of version, the `postcard` form, and a CRC-32 of both, at most [`WORD_MAX`] bytes. Links put their own length
//! before it. Whoever takes a word from a link checks that the link's peer is the broker or keeper that the word names.

use crate::peer::PeerMessage;
use crate::register::{Change, Command, Grant, Refusal};
use crate::values::{AskId, DutyName, Process, Token, WorkId};
use serde::{Deserialize, Serialize};

/// The version of the form.
pub const VERSION: u8 = 1;
/// The longest word, in bytes: snapshots and batches of entries stay below it.
pub const WORD_MAX: usize = 1 << 20;

/// Which command of a process an answer is to.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum Of {
    /// [`Command::Ask`].
    Ask(AskId),
    /// [`Command::Renew`].
    Renew(AskId, Token),
    /// [`Command::GiveOver`].
    GiveOver(Token),
    /// [`Command::Release`].
    Release(Token),
    /// [`Command::Begun`].
    Begun(WorkId, Token),
    /// [`Command::Ended`].
    Ended(WorkId, Token),
}

impl Of {
    /// What a broker's command is answered under, with its duty and sender; `None`: brokers do not send such.
    pub fn command(command: &Command) -> Option<(&DutyName, &Process, Of)> {
        Some(match command {
            Command::Ask { duty, process, ask } => (duty, process, Of::Ask(*ask)),
            Command::Renew { duty, process, ask, token } => (duty, process, Of::Renew(*ask, *token)),
            Command::GiveOver { duty, process, token, .. } => (duty, process, Of::GiveOver(*token)),
            Command::Release { duty, process, token } => (duty, process, Of::Release(*token)),
            Command::Begun { duty, process, token, work, .. } => (duty, process, Of::Begun(*work, *token)),
            Command::Ended { duty, process, token, work, .. } => (duty, process, Of::Ended(*work, *token)),
            Command::Name { .. } | Command::Take { .. } | Command::Lapse { .. } | Command::Join { .. } => {
                return None;
            }
        })
    }
}

/// What a process is told.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum Said {
    /// It holds the duty.
    Granted(Grant),
    /// It goes on holding.
    Renewed {
        /// Somebody waits to whom the duty could be given over.
        waits: bool,
    },
    /// Its command was noted.
    Done,
    /// Its command changed nothing.
    Refused(Refusal),
}

/// A keeper's word to a process.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Answer {
    /// To whom.
    pub to: Process,
    /// Of which duty.
    pub duty: DutyName,
    /// To which command.
    pub of: Of,
    /// What came of it.
    pub said: Said,
}

impl Answer {
    /// A command that did not reach the log.
    pub fn refused(command: &Command, refusal: Refusal) -> Option<Answer> {
        let (duty, to, of) = Of::command(command)?;
        Some(Answer { to: to.clone(), duty: duty.clone(), of, said: Said::Refused(refusal) })
    }

    /// All answers to a command that was applied: to its sender, and to whom a duty was given over.
    pub fn applied(command: &Command, result: &Result<Change, Refusal>) -> Vec<Answer> {
        let Some((duty, to, of)) = Of::command(command) else { return Vec::new() };
        let answer = |to: &Process, of, said| Answer { to: to.clone(), duty: duty.clone(), of, said };
        match result {
            Err(refusal) => vec![answer(to, of, Said::Refused(*refusal))],
            Ok(Change::Granted(grant)) => {
                let granted = answer(&grant.process, Of::Ask(grant.ask), Said::Granted(grant.clone()));
                match of {
                    Of::GiveOver(_) => vec![granted, answer(to, of, Said::Done)],
                    _ => vec![granted],
                }
            }
            Ok(Change::Renewed { waits, .. }) => vec![answer(to, of, Said::Renewed { waits: *waits })],
            Ok(_) => vec![answer(to, of, Said::Done)],
        }
    }
}

/// A word on a link.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum Word {
    /// A broker's to a keeper.
    Command(Command),
    /// A keeper's to a broker.
    Answer(Answer),
    /// A keeper's to a keeper: a message of the consensus library.
    Keepers {
        /// The group's number, drawn when it was founded: words of another group are refused.
        group: u64,
        /// What is said, from whom and to whom.
        message: PeerMessage,
    },
}

/// Why bytes are no word.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum BadWord {
    /// Too long.
    #[error("a word of {0} bytes; at most {WORD_MAX} are taken")]
    Long(usize),
    /// Of another version, or empty.
    #[error("a word of another version; {VERSION} is spoken")]
    Version,
    /// Cut, changed on its way, or with a value that is not allowed.
    #[error("a word that cannot be read")]
    Form,
}

impl Word {
    /// Its bytes.
    ///
    /// # Errors
    /// Where they would be above [`WORD_MAX`].
    pub fn encode(&self) -> Result<Vec<u8>, BadWord> {
        let mut bytes = postcard::to_extend(self, vec![VERSION]).map_err(|_| BadWord::Form)?;
        bytes.extend(crc32fast::hash(&bytes).to_le_bytes());
        if bytes.len() > WORD_MAX { Err(BadWord::Long(bytes.len())) } else { Ok(bytes) }
    }

    /// Reads bytes that came on a link.
    ///
    /// # Errors
    /// Where they are no word of this version.
    pub fn decode(bytes: &[u8]) -> Result<Self, BadWord> {
        if bytes.len() > WORD_MAX {
            return Err(BadWord::Long(bytes.len()));
        }
        if bytes.first() != Some(&VERSION) {
            return Err(BadWord::Version);
        }
        let (body, sum) = bytes.split_last_chunk::<4>().ok_or(BadWord::Form)?;
        if crc32fast::hash(body).to_le_bytes() != *sum {
            return Err(BadWord::Form);
        }
        match postcard::take_from_bytes(body.get(1..).unwrap_or_default()) {
            Ok((word, [])) => Ok(word),
            _ => Err(BadWord::Form),
        }
    }
}
