//! Whoever takes orders of a duty: it remembers the highest token, and refuses what is lower.

use crate::values::{DutyName, Process, Term, Token};
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

/// The most duties whose orders one receiver takes.
pub const RECEIVED_MAX: usize = 16;

/// What an order carries to show that its sender holds the duty.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Fence {
    /// Which duty.
    pub duty: DutyName,
    /// The grant's token.
    pub token: Token,
    /// The grant's term.
    pub term: Term,
    /// Who holds.
    pub holder: Process,
}

/// Why an order is not taken.
#[derive(
    Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize, thiserror::Error,
)]
pub enum Unfit {
    /// A later grant's order was seen.
    #[error("token {seen:?} was seen")]
    Old {
        /// The highest token seen.
        seen: Token,
    },
    /// Another holder or term came under the very token: one of both words is wrong.
    #[error("token {seen:?} came from another holder or term")]
    Twofold {
        /// The token.
        seen: Token,
    },
    /// Orders of [`RECEIVED_MAX`] other duties are taken already.
    #[error("orders of no more duties are taken")]
    TooMany,
}

/// What is to be made durable before the order is carried out.
#[must_use = "an order under a new token is carried out only after this is durable"]
#[derive(Debug)]
pub struct Raise<'a> {
    receiver: &'a mut Receiver,
    fence: Fence,
}

impl Raise<'_> {
    /// The whole memory as it must stand on the disk; [`Receiver::decode`] reads it after a restart.
    pub fn record(&self) -> Vec<u8> {
        let mut next = self.receiver.clone();
        next.highest.insert(self.fence.duty.clone(), self.fence.clone());
        postcard::to_allocvec(&next).unwrap_or_default()
    }

    /// It is durable, or the receiver has no disk: the order may be carried out, lower ones are refused from now on.
    pub fn durable(self) {
        self.receiver.highest.insert(self.fence.duty.clone(), self.fence);
    }
}

/// An order that is fit.
#[derive(Debug)]
pub enum Fit<'a> {
    /// Under the token that is known: carry it out.
    Known,
    /// Under a new token: carry it out after [`Raise::durable`].
    New(Raise<'a>),
}

/// The highest token of each duty.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Receiver {
    highest: BTreeMap<DutyName, Fence>,
}

impl Receiver {
    /// What was remembered, from a disk.
    ///
    /// # Errors
    /// Where the bytes are none of [`Raise::record`]'s. Such a receiver must not start empty by itself.
    pub fn decode(record: &[u8]) -> Result<Self, postcard::Error> {
        let read: Receiver = postcard::from_bytes(record)?;
        match read.highest.len() <= RECEIVED_MAX {
            true => Ok(read),
            false => Err(postcard::Error::DeserializeBadEncoding),
        }
    }

    /// The highest token seen of a duty.
    pub fn seen(&self, duty: &DutyName) -> Token {
        self.highest.get(duty).map_or(Token(0), |f| f.token)
    }

    /// Whether an order may be carried out.
    ///
    /// # Errors
    /// Where a higher token was seen, or the same from another holder.
    pub fn judge(&mut self, fence: &Fence) -> Result<Fit<'_>, Unfit> {
        match self.highest.get(&fence.duty) {
            Some(known) if fence.token < known.token => return Err(Unfit::Old { seen: known.token }),
            Some(known) if fence.token == known.token => {
                return if known == fence {
                    Ok(Fit::Known)
                } else {
                    Err(Unfit::Twofold { seen: known.token })
                };
            }
            None if self.highest.len() >= RECEIVED_MAX => return Err(Unfit::TooMany),
            _ => {}
        }
        Ok(Fit::New(Raise { receiver: self, fence: fence.clone() }))
    }
}
