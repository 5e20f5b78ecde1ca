//! What one broker sees of discovery: the same list at other addresses, and what was written to it.

use serde_json::Value;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Instant;

/// What of the list is shown.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Sight {
    /// The list as it is.
    #[default]
    Present,
    /// Nothing: calls are taken and not answered.
    Silent,
    /// The whole list as it was when the fleet started, as of an agent that was set back.
    Old,
}

/// An answer that was written to a connection.
#[derive(Clone, Debug)]
pub struct Wrote {
    /// When it had been written.
    pub at: Instant,
    /// The other side's port.
    pub port: u16,
    /// Bytes written to the connection, up to the end of this answer.
    pub total: u64,
    /// Name, state and start in Unix milliseconds (0: long ago) of each entry.
    pub entries: Vec<(String, String, u64)>,
}

/// A call that came.
#[derive(Clone, Copy, Debug)]
pub struct Called {
    /// When.
    pub at: Instant,
    /// The other side's port.
    pub port: u16,
    /// How many milliseconds it may wait.
    pub wait_ms: u64,
}

/// One broker's discovery; it lasts as long as its fleet.
#[derive(Clone, Debug)]
pub struct View {
    /// Where it listens.
    pub address: SocketAddr,
    pub(crate) shown: Arc<Shown>,
}

/// What a view shows, and has.
#[derive(Debug, Default)]
pub(crate) struct Shown {
    /// Where the servers of these names are, as it tells it.
    pub(crate) endpoints: BTreeMap<String, SocketAddr>,
    state: Mutex<State>,
}

#[derive(Debug, Default)]
struct State {
    sight: Sight,
    wrote: Vec<Wrote>,
    called: Vec<Called>,
}

/// Answers, and calls, that a view keeps.
const KEPT: usize = 100_000;

impl View {
    /// The answers that were written, in their order.
    pub fn wrote(&self) -> Vec<Wrote> {
        self.shown.with(|s| s.wrote.clone())
    }

    /// The calls that came, in their order.
    pub fn called(&self) -> Vec<Called> {
        self.shown.with(|s| s.called.clone())
    }

    /// A list as this view tells it.
    pub fn tells(&self, list: &Value) -> Value {
        self.shown.tells(list.clone())
    }
}

impl Shown {
    pub(crate) fn new(endpoints: BTreeMap<String, SocketAddr>) -> Self {
        Shown { endpoints, ..Shown::default() }
    }

    fn with<T>(&self, act: impl FnOnce(&mut State) -> T) -> T {
        act(&mut self.state.lock().unwrap_or_else(PoisonError::into_inner))
    }

    pub(crate) fn sight(&self) -> Sight {
        self.with(|s| s.sight)
    }

    pub(crate) fn set_sight(&self, sight: Sight) {
        self.with(|s| s.sight = sight);
    }

    pub(crate) fn tells(&self, mut list: Value) -> Value {
        for target in list["targets"].as_array_mut().into_iter().flatten() {
            let endpoint = target["uid"].as_str().and_then(|uid| self.endpoints.get(uid));
            if let Some(endpoint) = endpoint {
                target["endpoint"] = Value::from(endpoint.to_string());
            }
        }
        list
    }

    pub(crate) fn called(&self, call: Called) {
        self.with(|s| {
            if s.called.len() < KEPT {
                s.called.push(call);
            }
        });
    }

    pub(crate) fn wrote(&self, port: u16, total: u64, list: &[u8]) {
        let at = Instant::now();
        let list: Value = serde_json::from_slice(list).unwrap_or_default();
        let entry = |t: &Value| {
            let word = |key: &str| t[key].as_str().unwrap_or_default().to_owned();
            (word("uid"), word("state"), t["boot_ms"].as_u64().unwrap_or(0))
        };
        let entries = list["targets"].as_array().into_iter().flatten().map(entry).collect();
        self.with(|s| {
            if s.wrote.len() < KEPT {
                s.wrote.push(Wrote { at, port, total, entries });
            }
        });
    }
}
