//! What an older list may not undo.
//!
//! A list says what holds: servers that it names are taken as it names them, those that a whole list leaves out are gone.
//! One exception: where a newer version has said that a server drains or is gone, an older one does not revive it, as one
//! from an agent that lags would. A start since then does, and so does [`HOLD`]: versions may also have begun anew, and then
//! the whole list is asked for.

use plover_model::server::{TargetState, Targets};
use plover_model::time::{Micros, SECOND};
use std::collections::{BTreeMap, BTreeSet};

/// For so long is a server held back against what discovery says. Lists are late by seconds.
pub const HOLD: Micros = 30 * SECOND;
/// Servers that are gone and still known, where lists are short: at twice as many, those that went first are forgotten. Where
/// a whole list has named more, it is as many: all of that list may be gone at once, and each must stay so.
const LEAST_GONE: usize = 1024;

#[derive(Clone, Copy, Debug)]
struct Entry {
    state: TargetState,
    /// The version that said so.
    rev: u64,
    boot_ms: f64,
}

/// What was said last of each server.
#[derive(Clone, Debug, Default)]
pub struct Ledger {
    servers: BTreeMap<String, Entry>,
    /// Since when a server has been held back.
    held_since: Option<Micros>,
    /// Entries of the longest whole list.
    widest: usize,
}

impl Ledger {
    /// Takes a list, and changes what may not be taken from it. The number is how many servers are held back: they are
    /// `leaving` in it.
    pub fn take(&mut self, now: Micros, targets: &mut Targets) -> usize {
        let rev = targets.rev;
        let mut held = 0;
        for t in &mut targets.targets {
            if t.state == TargetState::Active
                && self.servers.get(&t.uid).is_some_and(|k| k.binds(rev, t.boot_ms))
            {
                t.state = TargetState::Leaving;
                held += 1;
            }
        }
        if targets.all {
            self.widest = self.widest.max(targets.targets.len());
            let named: BTreeSet<&str> = targets.targets.iter().map(|t| t.uid.as_str()).collect();
            for (uid, entry) in &mut self.servers {
                if !named.contains(uid.as_str()) && entry.state != TargetState::Left {
                    // One that drains by a newer word keeps that word's version.
                    let of_word = if entry.state == TargetState::Active { 0 } else { entry.rev };
                    (entry.state, entry.rev) = (TargetState::Left, rev.max(of_word));
                }
            }
        }
        for t in &targets.targets {
            let entry = Entry { state: t.state, rev, boot_ms: t.boot_ms };
            match self.servers.get_mut(&t.uid) {
                // The newer word on it stands, with its version.
                Some(known) if known.binds(rev, t.boot_ms) => {}
                Some(known) => *known = entry,
                None => _ = self.servers.insert(t.uid.clone(), entry),
            }
        }
        self.forget();
        if held > 0 {
            self.held_since.get_or_insert(now);
        } else if targets.all {
            self.held_since = None;
        }
        held
    }

    /// Takes over from another process of the broker that a list of this version or an earlier one said that
    /// these servers drain or are gone. A server that no list has named here is held back whenever it is said
    /// to have started.
    pub fn hold<'a>(&mut self, rev: u64, drained: impl Iterator<Item = &'a str>) {
        for uid in drained {
            let unknown = Entry { state: TargetState::Leaving, rev, boot_ms: f64::INFINITY };
            let entry = self.servers.entry(uid.to_owned()).or_insert(unknown);
            if entry.rev > rev {
                continue;
            }
            if entry.state == TargetState::Active {
                entry.state = TargetState::Leaving;
            }
            entry.rev = rev;
        }
        self.forget();
    }

    /// When servers have been held back for long enough, if any are.
    pub fn due(&self) -> Option<Micros> {
        self.held_since.map(|since| since + HOLD)
    }

    /// Holds nobody back any more, if it is time. True: the whole list is to be asked for.
    pub fn release(&mut self, now: Micros) -> bool {
        let over = self.due().is_some_and(|due| now >= due);
        if over {
            self.held_since = None;
            self.servers.values_mut().for_each(|s| s.rev = 0);
        }
        over
    }

    fn forget(&mut self) {
        let gone = self.servers.values().filter(|s| s.state == TargetState::Left).count();
        let most = LEAST_GONE.max(self.widest);
        // Not at each list: that would cost a look at all of them each time.
        if gone <= 2 * most {
            return;
        }
        let mut revs: Vec<u64> =
            self.servers.values().filter(|s| s.state == TargetState::Left).map(|s| s.rev).collect();
        revs.sort_unstable();
        let (last, mut left) = (revs[gone - most - 1], gone - most);
        self.servers.retain(|_, s| {
            let goes = left > 0 && s.state == TargetState::Left && s.rev <= last;
            left -= usize::from(goes);
            !goes
        });
    }
}

impl Entry {
    /// Whether it forbids what a list of this version says of the server, started then.
    fn binds(&self, rev: u64, boot_ms: f64) -> bool {
        self.state != TargetState::Active && self.rev > rev && boot_ms <= self.boot_ms
    }
}
