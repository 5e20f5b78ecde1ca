//! One link to a sibling: what has been received on it, and what is waiting to be written.

use crate::wire::{Features, FrameReader, Greeting, Message, encode_greeting, encode_message};
use plover_model::query::Proof;
use plover_model::time::Micros;
use std::collections::{BTreeMap, VecDeque};

/// Maximum number of bytes waiting to be written to a sibling: the longest message and the keys of all open
/// queries.
pub(super) const MAX_UNSENT_BYTES: usize = 32 << 20;

/// What is known of a sibling.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub(super) enum State {
    /// No greeting has arrived yet. Holds the time at which the link was opened.
    AwaitingGreeting(Micros),
    /// The sibling is sending the state that it had before. Holds the time at which its greeting arrived.
    Synchronizing(Micros),
    /// The sibling has sent all of its earlier state and reports each change.
    Joined,
    /// The sibling is alive, but it is not understood, is late, or could not be sent a message. What it sends
    /// to data servers is unknown.
    Unknown,
}

/// A link and what its sibling has sent on it.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub(super) struct Link {
    pub(super) state: State,
    pub(super) reader: FrameReader,
    /// Process id of the sibling, as the operating system reports it.
    pub(super) pid: u32,
    /// Greeting of the sibling; `None` until it has arrived.
    pub(super) peer: Option<Greeting>,
    /// Bytes that have not been written yet.
    pub(super) unsent: VecDeque<u8>,
    /// Time of the last write, or at which the first of the unsent bytes was queued if that is later.
    pub(super) unsent_since: Micros,
    /// Open queries of the sibling by request id: the units that each uses, and the section of the operator's
    /// file that counts it.
    pub(super) open_queries: BTreeMap<String, (u32, Option<String>)>,
}

impl Link {
    /// Creates the link to the sibling with this process id, with the greeting of this process to be written.
    pub(super) fn new(now: Micros, pid: u32, local: &Greeting) -> Self {
        Link {
            state: State::AwaitingGreeting(now),
            reader: FrameReader::default(),
            pid,
            peer: None,
            unsent: encode_greeting(local).into(),
            unsent_since: now,
            open_queries: BTreeMap::new(),
        }
    }

    /// Whether the sibling is known to have started before this process.
    pub(super) fn is_older_than(&self, local: &Greeting) -> bool {
        self.peer.as_ref().is_some_and(|peer| is_older(peer, local))
    }

    /// Whether the sibling is known to have started after this process.
    pub(super) fn is_newer_than(&self, local: &Greeting) -> bool {
        self.peer.as_ref().is_some_and(|peer| !is_older(peer, local))
    }

    /// Whether the sibling reports the configurations that its clients may apply.
    pub(super) fn reports_configurations(&self) -> bool {
        self.reader.features().contains(Features::CONFIGURATIONS)
    }

    /// Whether the sibling may serve requests and has not reported what its clients may apply.
    pub(super) fn has_unknown_configurations(&self) -> bool {
        match self.state {
            State::Joined => !self.reports_configurations(),
            State::Unknown => true,
            State::AwaitingGreeting(_) | State::Synchronizing(_) => false,
        }
    }

    /// Queues a message. Returns `false` if it is too long or does not fit.
    pub(super) fn queue(&mut self, now: Micros, message: &Message) -> bool {
        let needs_feature = matches!(message, Message::Configurations(_) | Message::TokensLeft { .. });
        if needs_feature && !self.reports_configurations() {
            // The sibling would not understand it.
            return true;
        }
        match encode_message(message) {
            Some(frame) if self.unsent.len() + frame.len() <= MAX_UNSENT_BYTES => {
                if self.unsent.is_empty() {
                    self.unsent_since = now;
                }
                self.unsent.extend(frame);
                true
            }
            _ => false,
        }
    }

    /// Returns a message about a key as far as it is certain. A sibling of an earlier release reports the
    /// attempts at a part of before the handover as one, so that the end of one of them proves nothing about
    /// the others.
    pub(super) fn as_far_as_certain(&self, message: Message) -> Message {
        match message {
            Message::KeyEnded { key, shard, at, proof: Proof::NeverRan, key_owner }
                if !self.reports_configurations() =>
            {
                Message::KeyEnded { key, shard, at, proof: Proof::MayRun, key_owner }
            }
            certain => certain,
        }
    }
}

/// Returns whether `a` started before `b`. Of two that started at the same time, the lower process id is the
/// older.
fn is_older(a: &Greeting, b: &Greeting) -> bool {
    (a.started, a.pid) < (b.started, b.pid)
}
