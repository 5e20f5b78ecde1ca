//! A disk whose power fails at any write, and files that were cut: nothing acknowledged is lost, and nothing is taken for empty.

use plover_duties::Store;
use plover_duties::store::{Image, Records};
use plover_duties_store::RedbStore;
use redb::StorageBackend;
use std::io::Error;
use std::sync::{Arc, Mutex};

#[derive(Debug, Default)]
struct Platter {
    /// What outlives the power.
    safe: Vec<u8>,
    /// What the process sees.
    seen: Vec<u8>,
    /// Writes since the last sync: each may have reached the disk or not.
    loose: Vec<(usize, Vec<u8>)>,
    /// Writes and syncs until the power fails.
    left: usize,
}

#[derive(Clone, Debug, Default)]
struct Disk(Arc<Mutex<Platter>>);

impl Disk {
    fn new(content: Vec<u8>, left: usize) -> Self {
        Disk(Arc::new(Mutex::new(Platter { safe: content.clone(), seen: content, loose: Vec::new(), left })))
    }

    fn act<T>(&self, act: impl FnOnce(&mut Platter) -> T) -> Result<T, Error> {
        let mut platter = self.0.lock().expect("locks");
        match platter.left.checked_sub(1) {
            Some(left) => {
                platter.left = left;
                Ok(act(&mut platter))
            }
            None => Err(Error::other("no power")),
        }
    }

    /// What is there when the power is back; of the loose writes those whose bit of `luck` is set.
    fn after(&self, luck: u64) -> Vec<u8> {
        let platter = self.0.lock().expect("locks");
        let mut safe = platter.safe.clone();
        // The length may have reached the disk before what was written there.
        safe.resize(platter.seen.len().max(safe.len()), 0);
        for (n, (at, bytes)) in platter.loose.iter().enumerate() {
            if luck >> (n % 64) & 1 == 1 && at + bytes.len() <= safe.len() {
                safe[*at..at + bytes.len()].copy_from_slice(bytes);
            }
        }
        safe
    }
}

impl StorageBackend for Disk {
    fn len(&self) -> Result<u64, Error> {
        Ok(self.0.lock().expect("locks").seen.len() as u64)
    }
    fn read(&self, offset: u64, out: &mut [u8]) -> Result<(), Error> {
        let platter = self.0.lock().expect("locks");
        let from = platter.seen.get(offset as usize..offset as usize + out.len());
        out.copy_from_slice(from.ok_or_else(|| Error::other("beyond the end"))?);
        Ok(())
    }
    fn set_len(&self, len: u64) -> Result<(), Error> {
        self.act(|p| p.seen.resize(len as usize, 0))
    }
    fn sync_data(&self) -> Result<(), Error> {
        self.act(|p| {
            p.safe = p.seen.clone();
            p.loose.clear();
        })
    }
    fn write(&self, offset: u64, data: &[u8]) -> Result<(), Error> {
        self.act(|p| {
            p.seen[offset as usize..offset as usize + data.len()].copy_from_slice(data);
            p.loose.push((offset as usize, data.to_vec()));
        })
    }
}

fn open(disk: &Disk) -> Result<RedbStore, redb::DatabaseError> {
    redb::Builder::new().create_with_backend(disk.clone()).map(RedbStore::over)
}

fn records(n: u64) -> Records {
    match n % 5 {
        // An entry in the place of the last two, and a snapshot in the place of the log's beginning.
        3 => Records { entries: vec![(n - 2, vec![n as u8; 40])], ..Records::default() },
        4 => Records {
            snapshot: Some(vec![n as u8; 300]),
            first: Some(n - 3),
            entries: vec![(n, vec![n as u8; 40])],
            ..Records::default()
        },
        _ => Records {
            identity: (n == 0).then(|| vec![1, 2]),
            hard: Some(vec![n as u8; 3]),
            entries: vec![(n, vec![n as u8; 40])],
            ..Records::default()
        },
    }
}

/// What a store in memory holds after so many changes.
fn expected(changes: u64) -> Option<Image> {
    let mut memory = plover_duties::MemoryStore::default();
    (0..changes).for_each(|n| memory.save(&records(n)).expect("saves"));
    memory.load().expect("loads")
}

#[test]
fn nothing_acknowledged_is_lost_wherever_the_power_fails() {
    let whole = Disk::new(Vec::new(), usize::MAX);
    open(&whole).expect("opens");
    let made = whole.after(u64::MAX);
    let mut torn = 0;
    for left in 0.. {
        let disk = Disk::new(made.clone(), left);
        let mut acknowledged = 0;
        if let Ok(mut store) = open(&disk) {
            while acknowledged < 12 && store.save(&records(acknowledged)).is_ok() {
                acknowledged += 1;
            }
            std::mem::forget(store);
        }
        for luck in [0, u64::MAX, 0xAAAA_AAAA_AAAA_AAAA ^ left as u64] {
            let mut store =
                open(&Disk::new(disk.after(luck), usize::MAX)).expect("opens after the power is back");
            let image = store.load().expect("loads");
            // What was under way may be there as a whole, or not at all.
            let next = image == expected(acknowledged + 1);
            assert!(image == expected(acknowledged) || next, "{left} writes, luck {luck:x}: {image:?}");
            torn += u64::from(next && acknowledged < 12);
        }
        if acknowledged == 12 {
            println!("{left} places for the power to fail; {torn} times what was under way was there");
            break;
        }
    }
}

#[test]
fn a_cut_or_missing_file_is_no_empty_disk() {
    let directory = tempfile::tempdir().expect("a directory");
    let path = directory.path().join("keeper");
    assert!(RedbStore::open(&path).is_err(), "there is no file");
    let mut store = RedbStore::create(&path).expect("creates");
    assert_eq!(store.load().expect("loads"), None);
    (0..7).for_each(|n| store.save(&records(n)).expect("saves"));
    assert!(RedbStore::open(&path).is_err(), "another has it open");
    drop(store);
    assert!(RedbStore::create(&path).is_err(), "it would be made anew");
    let mut store = RedbStore::open(&path).expect("opens");
    assert_eq!(store.load().expect("loads"), expected(7));
    drop(store);
    let whole = std::fs::read(&path).expect("reads");
    for part in [0, 1, 100, 4096, whole.len() / 2, whole.len() - 1] {
        std::fs::write(&path, &whole[..part]).expect("writes");
        match RedbStore::open(&path).and_then(|mut s| s.load()) {
            Err(_) => {}
            Ok(image) => assert_eq!(image, expected(7), "cut to {part} of {}", whole.len()),
        }
    }
}
