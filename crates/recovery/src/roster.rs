//! Which memory of data servers may be believed.
//!
//! A list that discovery has told since the start goes before all memory. Until it has, what the configuration, a disk and
//! other brokers remember is put together entry by entry, and always to the side on which no rule is broken: a server that
//! drains or is gone in the newest memory is not revived by an older one, and a start that any memory knows of makes it
//! cold for as long as the settings say.

use std::collections::BTreeMap;

/// Where an entry comes from.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Source {
    /// The configuration's `known`.
    Configuration,
    /// The broker's own disk.
    Disk,
    /// Another broker.
    Member,
    /// Discovery, since the start.
    Discovery,
}

/// What a server does, the most restrictive last.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum State {
    /// It serves.
    Active,
    /// It finishes what it has.
    Leaving,
    /// It is gone.
    Left,
}

/// What is known of a server.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Entry {
    /// Who told it.
    pub source: Source,
    /// The version of the list in which it stood.
    pub rev: u64,
    /// What it does.
    pub state: State,
    /// When it last started: Unix time in milliseconds; 0: long ago.
    pub boot_ms: u64,
}

/// Most servers that are remembered: those beyond are passed over and counted.
pub const MOST: usize = 65_536;

/// What is known of all servers.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Roster {
    servers: BTreeMap<String, Entry>,
    /// The version of discovery's newest whole list; `None`: none was told since the start.
    told: Option<u64>,
    passed_over: u64,
}

impl Roster {
    /// Takes a whole list that discovery told. It replaces all, memory included: what it does not name is gone.
    pub fn told(&mut self, rev: u64, list: impl IntoIterator<Item = (String, State, u64)>) {
        let entry = |state, boot_ms| Entry { source: Source::Discovery, rev, state, boot_ms };
        let known = std::mem::take(&mut self.servers);
        for (name, state, boot_ms) in list {
            if self.servers.len() >= MOST && !self.servers.contains_key(&name) {
                self.passed_over += 1;
                continue;
            }
            // Lists come late: a start that is known already stays known.
            let boot_ms = known.get(&name).map_or(boot_ms, |k| k.boot_ms.max(boot_ms));
            self.servers.insert(name, entry(state, boot_ms));
        }
        self.told = Some(rev);
    }

    /// Takes what somebody remembers of a server. False: it is passed over, as discovery has told the list since.
    pub fn remember(&mut self, name: &str, new: Entry) -> bool {
        let full = self.servers.len() >= MOST && !self.servers.contains_key(name);
        if self.told.is_some() || new.source == Source::Discovery || full {
            self.passed_over += 1;
            return false;
        }
        let Some(known) = self.servers.get_mut(name) else {
            self.servers.insert(name.to_owned(), new);
            return true;
        };
        let boot_ms = known.boot_ms.max(new.boot_ms);
        if (new.rev, new.state) > (known.rev, known.state) {
            *known = new;
        }
        known.boot_ms = boot_ms;
        true
    }

    /// Whether there is a list to go by: one of discovery's, or a memory that names a server.
    pub fn is_known(&self) -> bool {
        self.told.is_some() || !self.servers.is_empty()
    }

    /// Whether something new may be sent to a server.
    pub fn takes(&self, name: &str) -> bool {
        self.servers.get(name).is_some_and(|s| s.state == State::Active)
    }

    /// What is known of a server.
    pub fn get(&self, name: &str) -> Option<&Entry> {
        self.servers.get(name)
    }

    /// Memories, and servers of a list beyond [`MOST`], that were passed over.
    pub fn passed_over(&self) -> u64 {
        self.passed_over
    }
}
