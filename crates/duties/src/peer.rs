//! What keepers say to one another: the consensus library's messages in a form of our own.
//!
//! The library's own form is protobuf, whose reader may recurse without bound on hostile bytes; and the library panics on
//! messages that no sound peer sends. `PeerMessage::fits` keeps those from it.

use raft::eraftpb::{ConfState, Entry, EntryType, Message, MessageType, Snapshot};
use serde::{Deserialize, Serialize};

/// The longest entry, in bytes.
pub const ENTRY_MAX: usize = 4096;

/// An entry of the log.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct PeerEntry {
    /// 0 for a command; 1 and 2 change who the keepers are.
    pub kind: u8,
    /// The term it was written in.
    pub term: u64,
    /// Its place.
    pub index: u64,
    /// What it says, at most [`ENTRY_MAX`] bytes.
    pub data: Vec<u8>,
}

/// The register and the keepers at one place of the log.
#[derive(Clone, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct PeerSnapshot {
    /// The place of the last entry in it.
    pub index: u64,
    /// That entry's term.
    pub term: u64,
    /// Who votes.
    pub voters: Vec<u64>,
    /// Who learns.
    pub learners: Vec<u64>,
    /// Who voted before a change that is under way.
    pub outgoing: Vec<u64>,
    /// Who learns once that change is over.
    pub learners_next: Vec<u64>,
    /// That change ends by itself.
    pub auto_leave: bool,
    /// The register.
    pub data: Vec<u8>,
}

/// A message between keepers. The fields are those of the library.
#[derive(Clone, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[allow(missing_docs)]
pub struct PeerMessage {
    pub kind: u8,
    pub from: u64,
    pub to: u64,
    pub term: u64,
    pub log_term: u64,
    pub index: u64,
    pub entries: Vec<PeerEntry>,
    pub commit: u64,
    pub commit_term: u64,
    pub snapshot: Option<PeerSnapshot>,
    pub request_snapshot: u64,
    pub reject: bool,
    pub reject_hint: u64,
    pub context: Vec<u8>,
}

/// Those that keepers send; no other is taken.
const KINDS: [MessageType; 9] = [
    MessageType::MsgAppend,
    MessageType::MsgAppendResponse,
    MessageType::MsgRequestVote,
    MessageType::MsgRequestVoteResponse,
    MessageType::MsgSnapshot,
    MessageType::MsgHeartbeat,
    MessageType::MsgHeartbeatResponse,
    MessageType::MsgRequestPreVote,
    MessageType::MsgRequestPreVoteResponse,
];

const ENTRIES: [EntryType; 3] =
    [EntryType::EntryNormal, EntryType::EntryConfChange, EntryType::EntryConfChangeV2];

fn place<T: PartialEq>(all: &[T], one: T) -> Option<u8> {
    all.iter().position(|k| *k == one).and_then(|i| u8::try_from(i).ok())
}

impl PeerEntry {
    pub(crate) fn of(entry: &Entry) -> Self {
        PeerEntry {
            kind: place(&ENTRIES, entry.get_entry_type()).unwrap_or(0),
            term: entry.term,
            index: entry.index,
            data: entry.data.to_vec(),
        }
    }

    pub(crate) fn into_entry(self) -> Option<Entry> {
        let mut entry = Entry::default();
        entry.set_entry_type(*ENTRIES.get(usize::from(self.kind))?);
        (entry.term, entry.index) = (self.term, self.index);
        entry.data = self.data.into();
        Some(entry)
    }
}

impl PeerSnapshot {
    pub(crate) fn of(snapshot: &Snapshot) -> Self {
        let meta = snapshot.get_metadata();
        PeerSnapshot { index: meta.index, term: meta.term, data: snapshot.data.to_vec(), ..Self::default() }
            .with(meta.get_conf_state())
    }

    pub(crate) fn with(mut self, conf: &ConfState) -> Self {
        (self.voters, self.learners) = (conf.voters.clone(), conf.learners.clone());
        (self.outgoing, self.learners_next) = (conf.voters_outgoing.clone(), conf.learners_next.clone());
        self.auto_leave = conf.auto_leave;
        self
    }

    pub(crate) fn conf(&self) -> ConfState {
        let mut conf = ConfState::from((self.voters.clone(), self.learners.clone()));
        (conf.voters_outgoing, conf.learners_next) = (self.outgoing.clone(), self.learners_next.clone());
        conf.auto_leave = self.auto_leave;
        conf
    }

    pub(crate) fn to_snapshot(&self) -> Snapshot {
        let mut snapshot = Snapshot { data: self.data.clone().into(), ..Snapshot::default() };
        let meta = snapshot.mut_metadata();
        (meta.index, meta.term) = (self.index, self.term);
        meta.set_conf_state(self.conf());
        snapshot
    }

    /// Whether the keepers named in it make sense.
    pub(crate) fn fits(&self) -> bool {
        let lists = [&self.voters, &self.learners, &self.outgoing, &self.learners_next];
        let sound = |list: &&Vec<u64>| {
            list.len() <= 16
                && list.iter().enumerate().all(|(i, id)| *id != 0 && list.iter().skip(i + 1).all(|o| o != id))
        };
        let apart = |id: &u64| !self.voters.contains(id) && !self.outgoing.contains(id);
        self.index > 0
            && !self.voters.is_empty()
            && lists.iter().all(sound)
            && self.learners.iter().all(apart)
            && self.learners_next.iter().all(|id| self.outgoing.contains(id) && !self.voters.contains(id))
            && (!self.auto_leave || !self.outgoing.is_empty())
    }
}

impl PeerMessage {
    /// `None`: keepers send no such.
    pub(crate) fn of(message: &Message) -> Option<Self> {
        let snapshot = message.get_snapshot();
        Some(PeerMessage {
            kind: place(&KINDS, message.get_msg_type())?,
            from: message.from,
            to: message.to,
            term: message.term,
            log_term: message.log_term,
            index: message.index,
            entries: message.entries.iter().map(PeerEntry::of).collect(),
            commit: message.commit,
            commit_term: message.commit_term,
            snapshot: (!snapshot.is_empty()).then(|| PeerSnapshot::of(snapshot)),
            request_snapshot: message.request_snapshot,
            reject: message.reject,
            reject_hint: message.reject_hint,
            context: message.context.to_vec(),
        })
    }

    pub(crate) fn into_message(self) -> Option<Message> {
        let mut message = Message::default();
        message.set_msg_type(*KINDS.get(usize::from(self.kind))?);
        (message.from, message.to, message.term) = (self.from, self.to, self.term);
        (message.log_term, message.index) = (self.log_term, self.index);
        message.entries =
            self.entries.into_iter().map(PeerEntry::into_entry).collect::<Option<Vec<_>>>()?.into();
        (message.commit, message.commit_term) = (self.commit, self.commit_term);
        if let Some(snapshot) = &self.snapshot {
            message.set_snapshot(snapshot.to_snapshot());
        }
        (message.request_snapshot, message.reject, message.reject_hint) =
            (self.request_snapshot, self.reject, self.reject_hint);
        message.context = self.context.into();
        Some(message)
    }

    /// Whether a keeper `id` whose log ends at `last` may hand it to the library.
    pub(crate) fn fits(&self, id: u64, last: u64) -> bool {
        let Some(kind) = KINDS.get(usize::from(self.kind)) else { return false };
        // A term of 0 marks what the library says to itself; the largest would leave no room for another election.
        if self.to != id || self.from == id || self.from == 0 || self.term == 0 || self.term > u64::MAX / 2 {
            return false;
        }
        let sound = |(i, entry): (usize, &PeerEntry)| {
            Some(entry.index) == self.index.checked_add(i as u64 + 1)
                && (1..=self.term).contains(&entry.term)
                && entry.data.len() <= ENTRY_MAX
                && usize::from(entry.kind) < ENTRIES.len()
        };
        match kind {
            MessageType::MsgAppend => self.entries.iter().enumerate().all(sound),
            // A leader tells each keeper no more than that keeper has acknowledged.
            MessageType::MsgHeartbeat => self.commit <= last,
            MessageType::MsgAppendResponse => self.reject || self.index <= last,
            MessageType::MsgSnapshot => {
                self.snapshot.as_ref().is_some_and(|s| s.fits() && (1..=self.term).contains(&s.term))
            }
            _ => true,
        }
    }
}
