//! A discovery by itself: a list of servers that are not there, of any length.

use crate::command::{CommandSender, commands};
use crate::discovery::Discovery;
use async_executor::LocalExecutor;
use async_io::Async;
use serde_json::{Value, json};
use std::io;
use std::net::{Ipv4Addr, SocketAddr, TcpListener};
use std::rc::Rc;
use std::sync::Arc;
use std::thread::JoinHandle;

enum Command {
    Set(Vec<Value>),
    Silent(bool),
}

/// A discovery on a thread of its own. Dropped, it ends.
pub struct List {
    /// Where it listens.
    pub address: SocketAddr,
    commands: CommandSender<Command>,
    thread: Option<JoinHandle<()>>,
}

/// A server of the list.
#[derive(Clone, Copy, Debug)]
pub struct Entry {
    /// Its number: its name and address follow from it.
    pub number: u32,
    /// Its cell.
    pub cell: usize,
    /// `active`, `leaving` or `left`.
    pub state: &'static str,
    /// When it started, in Unix milliseconds; 0: long ago.
    pub boot_ms: u64,
}

impl Entry {
    /// A server that serves, and has for long.
    pub fn active(number: u32, cell: usize) -> Entry {
        Entry { number, cell, state: "active", boot_ms: 0 }
    }

    /// Its name.
    pub fn name(&self) -> String {
        format!("s{:05}", self.number)
    }

    /// Where it would listen.
    pub fn address(&self) -> SocketAddr {
        let [_, a, b, c] = self.number.to_be_bytes();
        SocketAddr::from(([10, a, b, c], 9000))
    }

    fn json(&self) -> Value {
        json!({"uid": self.name(), "endpoint": self.address().to_string(), "az": "z", "model": "m",
            "pod_group": self.cell, "state": self.state, "capacity_hint": 1.0, "boot_ms": self.boot_ms})
    }
}

impl List {
    /// Starts it with these entries.
    pub fn start(entries: &[Entry]) -> io::Result<List> {
        List::serving(entries.iter().map(Entry::json).collect())
    }

    /// Starts it with entries in discovery's form, of servers that are there.
    pub fn serving(first: Vec<Value>) -> io::Result<List> {
        let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0))?;
        let address = listener.local_addr()?;
        let (sender, receiver) = commands();
        let thread = std::thread::Builder::new().name("list".to_owned()).spawn(move || {
            let executor = Rc::new(LocalExecutor::new());
            let list = Discovery::new();
            list.set_all(first);
            let (serving, spawner) = (list.clone(), executor.clone());
            let _accepting = executor.spawn(async move {
                let Ok(listener) = Async::new(listener) else { return };
                while let Ok((stream, _)) = listener.accept().await {
                    spawner.spawn(serving.clone().connection(stream, Arc::default())).detach();
                }
            });
            async_io::block_on(executor.run(async {
                while let Some((command, acknowledgement)) = receiver.next().await {
                    match command {
                        Command::Set(entries) => list.set_all(entries),
                        Command::Silent(silent) => list.set_silent(silent),
                    }
                    acknowledgement.send();
                }
            }));
        })?;
        Ok(List { address, commands: sender, thread: Some(thread) })
    }

    /// Changes entries, all in one version.
    pub fn set(&self, entries: &[Entry]) {
        self.change(entries.iter().map(Entry::json).collect());
    }

    /// The same with entries in discovery's form.
    pub fn change(&self, entries: Vec<Value>) {
        self.commands.execute(Command::Set(entries));
    }

    /// Whether it takes calls and answers none.
    pub fn silence(&self, silent: bool) {
        self.commands.execute(Command::Silent(silent));
    }
}

impl Drop for List {
    fn drop(&mut self) {
        self.commands.close();
        if let Some(thread) = self.thread.take() {
            let _ = thread.join();
        }
    }
}
