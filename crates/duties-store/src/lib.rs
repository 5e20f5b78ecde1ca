//! The disk of a keeper of duties, over `redb`: one file, copy on write, checksums.
//!
//! Each [`Records`] is one transaction that is synced before `save` returns. A file that is there and cannot be read is an
//! error and never an empty disk: a keeper that takes part again under its old identity without what it had acknowledged could
//! vote twice in a term.

use plover_duties::store::{Image, Records, Store};
use redb::backends::FileBackend;
use redb::{Database, Durability, ReadableDatabase, ReadableTable, TableDefinition};
use std::fs::{File, OpenOptions};
use std::path::Path;

const LOG: TableDefinition<'_, u64, &[u8]> = TableDefinition::new("log");
const STATE: TableDefinition<'_, &str, &[u8]> = TableDefinition::new("state");
const IDENTITY: &str = "identity";
const HARD: &str = "hard";
const SNAPSHOT: &str = "snapshot";

/// Why the disk failed.
#[derive(Debug, thiserror::Error)]
pub enum StoreError {
    /// The file or its directory.
    #[error("{path}: {source}")]
    File {
        /// Which.
        path: String,
        /// Why.
        source: std::io::Error,
    },
    /// What is in the file.
    #[error("the keeper's file: {0}")]
    Inside(Box<redb::Error>),
}

impl<E: Into<redb::Error>> From<E> for StoreError {
    fn from(error: E) -> Self {
        StoreError::Inside(Box::new(error.into()))
    }
}

/// A keeper's file.
#[derive(Debug)]
pub struct RedbStore {
    database: Database,
}

impl RedbStore {
    /// Makes the file of a new keeper.
    ///
    /// # Errors
    /// Where there is one, or it cannot be made.
    pub fn create(path: &Path) -> Result<Self, StoreError> {
        let file = OpenOptions::new().read(true).write(true).create_new(true).open(path);
        let file = file.map_err(|source| at(path, source))?;
        let database = redb::Builder::new().create_with_backend(FileBackend::new(file)?)?;
        // The file's name is durable only with its directory.
        let directory = path.parent().filter(|p| !p.as_os_str().is_empty()).unwrap_or(Path::new("."));
        File::open(directory).and_then(|d| d.sync_all()).map_err(|source| at(directory, source))?;
        Ok(Self::over(database))
    }

    /// Opens the file of a keeper that was there before.
    ///
    /// # Errors
    /// Where there is none, it is empty or damaged, or another process has it.
    pub fn open(path: &Path) -> Result<Self, StoreError> {
        Ok(Self::over(Database::open(path)?))
    }

    /// Over a database that is open.
    pub fn over(database: Database) -> Self {
        RedbStore { database }
    }
}

fn at(path: &Path, source: std::io::Error) -> StoreError {
    StoreError::File { path: path.display().to_string(), source }
}

impl Store for RedbStore {
    type Error = StoreError;

    fn load(&mut self) -> Result<Option<Image>, StoreError> {
        let read = self.database.begin_read()?;
        let state = match read.open_table(STATE) {
            Ok(state) => state,
            Err(redb::TableError::TableDoesNotExist(_)) => return Ok(None),
            Err(error) => return Err(error.into()),
        };
        let get = |key| -> Result<Vec<u8>, StoreError> {
            Ok(state.get(key)?.map(|value| value.value().to_vec()).unwrap_or_default())
        };
        let (identity, hard, snapshot) = (get(IDENTITY)?, get(HARD)?, get(SNAPSHOT)?);
        let mut entries = Vec::new();
        for entry in read.open_table(LOG)?.iter()? {
            let (index, bytes) = entry?;
            entries.push((index.value(), bytes.value().to_vec()));
        }
        Ok(Some(Image { identity, hard, snapshot, entries }))
    }

    fn save(&mut self, records: &Records) -> Result<(), StoreError> {
        let mut write = self.database.begin_write()?;
        write.set_durability(Durability::Immediate)?;
        {
            let mut state = write.open_table(STATE)?;
            for (key, value) in
                [(IDENTITY, &records.identity), (HARD, &records.hard), (SNAPSHOT, &records.snapshot)]
            {
                if let Some(value) = value {
                    state.insert(key, value.as_slice())?;
                }
            }
            let mut log = write.open_table(LOG)?;
            let from = records.entries.first().map_or(u64::MAX, |(index, _)| *index);
            let first = records.first.unwrap_or(0);
            if records.clear {
                log.retain(|_, _| false)?;
            } else {
                log.retain_in(..first, |_, _| false)?;
                log.retain_in(from.., |_, _| false)?;
            }
            for (index, bytes) in &records.entries {
                log.insert(index, bytes.as_slice())?;
            }
        }
        write.commit()?;
        Ok(())
    }
}
