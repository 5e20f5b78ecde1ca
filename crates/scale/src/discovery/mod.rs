//! A stand-in discovery for far more watchers than brokers on one machine have today.
//!
//! Each answer is encoded once and shared by all that are owed it, so that what is measured is the brokers' own cost, and what
//! discovery spends is that of sockets and bytes. It counts calls and bytes in both directions, and notes when each watcher's
//! next call shows that it has a version: that needs no word from the broker, and is seen alike of real and hollow ones.

mod book;
mod serve;

pub use book::{Counts, Reached, Told};

use async_channel::Sender;
use async_executor::LocalExecutor;
use async_io::Async;
use book::Book;
use plover_runtime::net;
use serde_json::{Value, json};
use serve::Site;
use std::io;
use std::net::{Ipv4Addr, SocketAddr};
use std::rc::Rc;
use std::sync::{Arc, Mutex, PoisonError};
use std::thread::JoinHandle;
use std::time::Instant;

/// What an entry of the list says.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum State {
    /// It serves.
    Active,
    /// It finishes what it has.
    Leaving,
    /// It is gone.
    Left,
}

/// A data server of the list: its name and address follow from its number.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Entry {
    /// Its number.
    pub number: u32,
    /// Its cell.
    pub cell: u32,
    /// Its zone, an index.
    pub zone: u32,
    /// What it does.
    pub state: State,
    /// When it started, in Unix milliseconds; 0: long ago.
    pub boot_ms: u64,
}

impl Entry {
    /// So many servers that serve and have for long, spread over cells and zones by turns.
    pub fn fleet(count: u32, cells: u32, zones: u32) -> Vec<Entry> {
        let entry = |number| Entry {
            number,
            cell: number % cells.max(1),
            zone: number % zones.max(1),
            state: State::Active,
            boot_ms: 0,
        };
        (0..count).map(entry).collect()
    }

    /// Its name. Those of the platform are as long.
    pub fn name(&self) -> String {
        format!("s-{:08x}", self.number.wrapping_mul(0x9e37_79b1))
    }

    /// The name of a zone.
    pub fn zone_name(zone: u32) -> String {
        format!("z{zone:02}")
    }

    /// As it stands in a list, with the fields and the order of the platform's.
    pub fn json(&self) -> String {
        let [_, a, b, c] = self.number.to_be_bytes();
        let state = match self.state {
            State::Active => "active",
            State::Leaving => "leaving",
            State::Left => "left",
        };
        format!(
            "{{\"uid\":\"{}\",\"endpoint\":\"10.{a}.{b}.{c}:8080\",\"az\":\"{}\",\"model\":\"m2\",\"pod_group\":{},\
             \"state\":\"{state}\",\"capacity_hint\":1.0,\"boot_ms\":{}}}",
            self.name(),
            Entry::zone_name(self.zone),
            self.cell,
            self.boot_ms,
        )
    }
}

/// A list as a broker's configuration has it in `known`.
pub fn known(rev: u64, entries: &[Entry]) -> Value {
    let parse = |e: &Entry| serde_json::from_str(&e.json()).unwrap_or(Value::Null);
    let targets: Vec<Value> = entries.iter().map(parse).collect();
    json!({"rev": rev, "all": true, "targets": targets})
}

/// What the thread is told.
enum Word {
    Publish(Vec<Entry>, bool, Sender<(u64, Instant)>),
    Silent(bool),
}

/// A discovery on a thread of its own. Dropped, it ends.
pub struct Discovery {
    /// Where it listens.
    pub address: SocketAddr,
    words: Sender<Word>,
    book: Arc<Mutex<Book>>,
    thread: Option<JoinHandle<()>>,
}

impl Discovery {
    /// Starts it with these entries, which are version [`Discovery::FIRST`].
    pub fn start(entries: &[Entry]) -> io::Result<Discovery> {
        let listener = net::listen((Ipv4Addr::LOCALHOST, 0).into(), false)?;
        let address = listener.get_ref().local_addr()?;
        let listener = listener.into_inner()?;
        let (words, heard) = async_channel::bounded(64);
        let book = Arc::new(Mutex::new(Book::default()));
        let (first, kept) = (entries.to_vec(), book.clone());
        let thread = std::thread::Builder::new().name("discovery".to_owned()).spawn(move || {
            let executor = Rc::new(LocalExecutor::new());
            let site = Rc::new(Site::new(Discovery::FIRST, &first, kept));
            let (serving, spawner) = (site.clone(), executor.clone());
            let _accepting = executor.spawn(async move {
                let Ok(listener) = Async::new(listener) else { return };
                while let Ok((stream, _)) = listener.accept().await {
                    spawner.spawn(serving.clone().connection(stream)).detach();
                }
            });
            async_io::block_on(executor.run(async {
                while let Ok(word) = heard.recv().await {
                    match word {
                        Word::Publish(entries, forget, done) => {
                            _ = done.try_send(site.publish(&entries, forget));
                        }
                        Word::Silent(silent) => site.set_silent(silent),
                    }
                }
            }));
        })?;
        Ok(Discovery { address, words, book, thread: Some(thread) })
    }

    /// The version of the list at the start.
    pub const FIRST: u64 = 1;

    /// Changes entries, all in one version: that, and when it was there for those who wait. With `forget` it knows no more
    /// what changed when, as after a loss of its own data: who has an older version is told the whole list.
    pub fn publish(&self, entries: &[Entry], forget: bool) -> io::Result<(u64, Instant)> {
        let (done, told) = async_channel::bounded(1);
        self.say(Word::Publish(entries.to_vec(), forget, done))?;
        told.recv_blocking().map_err(io::Error::other)
    }

    /// Whether it takes calls and answers none, as an agent does whose region is cut off.
    pub fn silence(&self, silent: bool) -> io::Result<()> {
        self.say(Word::Silent(silent))
    }

    /// What it has counted so far.
    pub fn counts(&self) -> Counts {
        self.book.lock().unwrap_or_else(PoisonError::into_inner).counts
    }

    /// The first ten thousand calls that were answered, in the order of their answers.
    pub fn told(&self) -> Vec<Told> {
        self.book.lock().unwrap_or_else(PoisonError::into_inner).told.clone()
    }

    /// How many watchers that are connected have shown that they have this version or a newer one.
    pub fn having(&self, rev: u64) -> usize {
        self.book.lock().unwrap_or_else(PoisonError::into_inner).having(rev)
    }

    /// Which watchers have shown since the last look that they have a version.
    pub fn take_reached(&self) -> Vec<Reached> {
        std::mem::take(&mut self.book.lock().unwrap_or_else(PoisonError::into_inner).reached)
    }

    fn say(&self, word: Word) -> io::Result<()> {
        self.words.send_blocking(word).map_err(io::Error::other)
    }
}

impl Drop for Discovery {
    fn drop(&mut self) {
        self.words.close();
        if let Some(thread) = self.thread.take() {
            let _ = thread.join();
        }
    }
}
