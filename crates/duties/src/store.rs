//! What a keeper needs of its disk.

/// A change that is made durable as a whole or not at all.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Records {
    /// Who the keeper is, written once.
    pub identity: Option<Vec<u8>>,
    /// Its vote, its term and how far the log is agreed.
    pub hard: Option<Vec<u8>>,
    /// The register and the keepers at some point of the log.
    pub snapshot: Option<Vec<u8>>,
    /// Entries below this index go.
    pub first: Option<u64>,
    /// All entries that are there go, before those below are written.
    pub clear: bool,
    /// Entries by index, without a gap. Whatever stands at the first one's index or after it goes before.
    pub entries: Vec<(u64, Vec<u8>)>,
}

/// All that a disk holds.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Image {
    /// See [`Records::identity`].
    pub identity: Vec<u8>,
    /// See [`Records::hard`]; empty before the first.
    pub hard: Vec<u8>,
    /// See [`Records::snapshot`].
    pub snapshot: Vec<u8>,
    /// Entries by index, growing.
    pub entries: Vec<(u64, Vec<u8>)>,
}

/// A keeper's disk.
pub trait Store {
    /// Why it failed.
    type Error;

    /// All that it holds; `None`: it was never written.
    ///
    /// # Errors
    /// Where it cannot be read. It must not be taken for empty then.
    fn load(&mut self) -> Result<Option<Image>, Self::Error>;

    /// Makes a change durable: after `Ok` it outlives the process and the machine's power.
    ///
    /// # Errors
    /// Where that is not sure. The keeper stops for good: what the disk holds is known only after a restart.
    fn save(&mut self, records: &Records) -> Result<(), Self::Error>;
}

/// A disk in memory, for tests: it outlives the keeper, not the process.
#[derive(Clone, Debug, Default)]
pub struct MemoryStore {
    image: Option<Image>,
    /// The next changes fail, and are not made.
    pub broken: bool,
}

/// The disk in memory refused a change.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[error("the disk is broken")]
pub struct Broken;

impl Store for MemoryStore {
    type Error = Broken;

    fn load(&mut self) -> Result<Option<Image>, Broken> {
        Ok(self.image.clone())
    }

    fn save(&mut self, records: &Records) -> Result<(), Broken> {
        if self.broken {
            return Err(Broken);
        }
        let image = self.image.get_or_insert_default();
        for (to, from) in [
            (&mut image.identity, &records.identity),
            (&mut image.hard, &records.hard),
            (&mut image.snapshot, &records.snapshot),
        ] {
            if let Some(from) = from {
                to.clone_from(from);
            }
        }
        let from = records.entries.first().map_or(u64::MAX, |(index, _)| *index);
        let first = records.first.unwrap_or(0);
        image.entries.retain(|(index, _)| !records.clear && *index < from && *index >= first);
        image.entries.extend(records.entries.iter().cloned());
        Ok(())
    }
}
