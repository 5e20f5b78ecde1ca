//! A keeper's log as the consensus library reads it: a copy in memory of what the disk holds.

use crate::peer::{PeerEntry, PeerSnapshot};
use crate::store::{Image, Records};
use raft::eraftpb::{ConfState, Entry, HardState, Snapshot};
use raft::{GetEntriesContext, RaftState, Storage, StorageError};
use serde::{Deserialize, Serialize};
use std::collections::VecDeque;

/// Who a keeper is.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct Identity {
    pub(crate) group: u64,
    pub(crate) id: u64,
}

/// A value for the disk. These types cannot fail to be written.
pub(crate) fn put<T: Serialize>(value: &T) -> Vec<u8> {
    postcard::to_allocvec(value).unwrap_or_default()
}

/// The whole of a value from the disk.
pub(crate) fn get<'a, T: Deserialize<'a>>(bytes: &'a [u8]) -> Option<T> {
    match postcard::take_from_bytes(bytes) {
        Ok((value, [])) => Some(value),
        _ => None,
    }
}

/// The log. Its length is bounded by the keeper, which compacts it.
#[derive(Debug, Default)]
pub(crate) struct Log {
    hard: HardState,
    conf: ConfState,
    snapshot: PeerSnapshot,
    entries: VecDeque<Entry>,
}

impl Log {
    /// What the disk holds; `None`: it is damaged.
    pub(crate) fn read(image: &Image) -> Option<(Identity, Log)> {
        let identity: Identity = get(&image.identity)?;
        let mut log = Log::default();
        if !image.hard.is_empty() {
            (log.hard.term, log.hard.vote, log.hard.commit) = get(&image.hard)?;
        }
        if !image.snapshot.is_empty() {
            log.snapshot = get(&image.snapshot)?;
            if !log.snapshot.fits() {
                return None;
            }
        }
        log.conf = log.snapshot.conf();
        for (index, bytes) in &image.entries {
            let entry: PeerEntry = get(bytes)?;
            if entry.index != *index || *index != log.last() + 1 {
                return None;
            }
            log.entries.push_back(entry.into_entry()?);
        }
        log.hard.commit = log.hard.commit.max(log.snapshot.index);
        (log.hard.commit <= log.last()).then_some((identity, log))
    }

    pub(crate) fn snapshot_index(&self) -> u64 {
        self.snapshot.index
    }

    pub(crate) fn register(&self) -> &[u8] {
        &self.snapshot.data
    }

    pub(crate) fn conf(&self) -> &ConfState {
        &self.conf
    }

    pub(crate) fn set_conf(&mut self, conf: ConfState) {
        self.conf = conf;
    }

    pub(crate) fn set_hard(&mut self, hard: HardState) {
        self.hard = hard;
    }

    pub(crate) fn len(&self) -> usize {
        self.entries.len()
    }

    fn last(&self) -> u64 {
        self.snapshot.index + self.entries.len() as u64
    }

    /// After the disk has them.
    pub(crate) fn append(&mut self, entries: &[Entry]) {
        let Some(first) = entries.first() else { return };
        let keep = first.index.saturating_sub(self.snapshot.index + 1);
        self.entries.truncate(usize::try_from(keep).unwrap_or(usize::MAX));
        self.entries.extend(entries.iter().cloned());
    }

    /// After the disk has a leader's snapshot.
    pub(crate) fn restore(&mut self, snapshot: &Snapshot) {
        self.entries.clear();
        self.snapshot = PeerSnapshot::of(snapshot);
        self.conf = self.snapshot.conf();
    }

    /// Puts the register at `index`, which is applied, in the place of all entries up to there; the records say the same to the
    /// disk, and go there before anything later does.
    pub(crate) fn compact(&mut self, index: u64, register: Vec<u8>) -> Option<Records> {
        let term = self.term(index).ok()?;
        let drop = usize::try_from(index.checked_sub(self.snapshot.index)?).ok()?;
        self.entries.drain(..drop.min(self.entries.len()));
        self.snapshot =
            PeerSnapshot { index, term, data: register, ..PeerSnapshot::default() }.with(&self.conf);
        Some(Records { snapshot: Some(put(&self.snapshot)), first: Some(index + 1), ..Records::default() })
    }
}

/// The records of a keeper that starts with an empty disk: `snapshot` is empty for one that is to learn all from the others.
pub(crate) fn founding(identity: Identity, snapshot: &PeerSnapshot) -> Records {
    let hard = (snapshot.term, 0u64, snapshot.index);
    Records {
        identity: Some(put(&identity)),
        hard: Some(put(&hard)),
        snapshot: (snapshot.index > 0).then(|| put(snapshot)),
        ..Records::default()
    }
}

/// The records of what the library wants durable.
pub(crate) fn records(ready: &raft::Ready) -> Records {
    let snapshot = ready.snapshot();
    let restored = !snapshot.is_empty();
    Records {
        identity: None,
        hard: ready.hs().map(|hard| put(&(hard.term, hard.vote, hard.commit))),
        snapshot: restored.then(|| put(&PeerSnapshot::of(snapshot))),
        first: None,
        clear: restored,
        entries: ready.entries().iter().map(|e| (e.index, put(&PeerEntry::of(e)))).collect(),
    }
}

impl Storage for Log {
    fn initial_state(&self) -> raft::Result<RaftState> {
        Ok(RaftState::new(self.hard.clone(), self.conf.clone()))
    }

    fn entries(
        &self,
        low: u64,
        high: u64,
        max_size: impl Into<Option<u64>>,
        _: GetEntriesContext,
    ) -> raft::Result<Vec<Entry>> {
        let from = low.checked_sub(self.snapshot.index + 1).ok_or(StorageError::Compacted)?;
        if high > self.last() + 1 {
            return Err(StorageError::Unavailable.into());
        }
        let count = high.saturating_sub(low);
        let some = self.entries.iter().skip(from as usize).take(count as usize);
        let mut entries: Vec<Entry> = some.cloned().collect();
        raft::util::limit_size(&mut entries, max_size.into());
        Ok(entries)
    }

    fn term(&self, index: u64) -> raft::Result<u64> {
        match index.checked_sub(self.snapshot.index) {
            None => Err(StorageError::Compacted.into()),
            Some(0) => Ok(self.snapshot.term),
            Some(n) => self
                .entries
                .get(usize::try_from(n - 1).unwrap_or(usize::MAX))
                .map(|e| e.term)
                .ok_or_else(|| StorageError::Unavailable.into()),
        }
    }

    fn first_index(&self) -> raft::Result<u64> {
        Ok(self.snapshot.index + 1)
    }

    fn last_index(&self) -> raft::Result<u64> {
        Ok(self.last())
    }

    fn snapshot(&self, request_index: u64, _: u64) -> raft::Result<Snapshot> {
        match self.snapshot.index >= request_index && self.snapshot.index > 0 {
            true => Ok(self.snapshot.to_snapshot()),
            false => Err(StorageError::SnapshotTemporarilyUnavailable.into()),
        }
    }
}
