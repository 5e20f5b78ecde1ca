//! The request ids that are in use: data servers know the parts of a request by it.

use plover_model::time::Micros;
use std::collections::{BTreeMap, BTreeSet};
use std::rc::Rc;

/// The most ids that are kept of requests that have ended. Where there are more, those that would be released first go.
pub(super) const MAX_ENDED: usize = 4096;

/// The ids of open requests, and of those that have ended, may have run, and must not run again: their clients may have left
/// without the answer. Such an id stays in use until its client's time is up.
#[derive(Debug, Default)]
pub(super) struct RequestIds {
    open: BTreeSet<Rc<str>>,
    /// When the id of each ended request is released.
    ended: BTreeMap<Rc<str>, Micros>,
    /// The same, by time.
    releases: BTreeSet<(Micros, Rc<str>)>,
}

impl RequestIds {
    /// Whether a request with this id is open, or may still run.
    pub(super) fn contains(&self, id: &str) -> bool {
        self.open.contains(id) || self.ended.contains_key(id)
    }

    pub(super) fn open(&mut self, id: Rc<str>) {
        self.open.insert(id);
    }

    pub(super) fn close(&mut self, id: &str) {
        self.open.remove(id);
    }

    /// Keeps the id of a closed request until then. Returns an id that had to go for it.
    pub(super) fn keep_ended(&mut self, id: Rc<str>, until: Micros) -> Option<Rc<str>> {
        self.releases.insert((until, id.clone()));
        self.ended.insert(id, until);
        if self.ended.len() > MAX_ENDED { self.release_first() } else { None }
    }

    /// Releases an id whose time is up, if there is one.
    pub(super) fn release(&mut self, now: Micros) -> Option<Rc<str>> {
        let (until, _) = self.releases.first()?;
        if *until <= now { self.release_first() } else { None }
    }

    /// The ids of requests that have ended.
    pub(super) fn ended(&self) -> impl Iterator<Item = &Rc<str>> {
        self.ended.keys()
    }

    fn release_first(&mut self) -> Option<Rc<str>> {
        let (_, id) = self.releases.pop_first()?;
        self.ended.remove(&id);
        Some(id)
    }
}
