//! What one process of a broker knows of its siblings, and whether it may therefore send parts of keyed
//! classes.

mod link;

use crate::wire::{Greeting, Message, ProtocolError};
use link::{Link, State};
use plover_model::configuration::ConfigurationReport;
use plover_model::snapshot::Snapshot;
use plover_model::time::{MILLI, Micros, SECOND};
use std::collections::BTreeMap;

/// Number of a link (a connection to a sibling). Numbers are never reused.
pub type LinkId = u64;

/// Maximum number of links at a time. One is usual, two if a third process starts during a handover.
pub const MAX_LINKS: usize = 4;

/// Identity of this process, which it sends to each sibling as its greeting.
pub type LocalProcess = Greeting;

/// Time limits for what a sibling may leave open.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct Timeouts {
    /// Maximum time for a sibling's greeting to arrive, and then for the state that it had before to arrive.
    pub greeting: Micros,
    /// A link is closed if the sibling reads none of the unsent bytes for this time.
    pub stall: Micros,
    /// Time after the end of a sibling with unknown state during which its keys may be retried here: the
    /// window in which data servers drop repeats, and the longest time for which a client retries.
    pub quarantine: Micros,
}

impl Default for Timeouts {
    fn default() -> Self {
        Timeouts { greeting: 1500 * MILLI, stall: SECOND, quarantine: 10 * SECOND }
    }
}

/// Whether a part of a keyed class may be sent.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum KeyedSend {
    /// This process knows everything that its siblings have sent, and they know everything that it has sent.
    Allowed,
    /// Not before this time. [`Micros::MAX`] means that the time is not known yet.
    Wait(Micros),
}

/// A change that a sibling reported or that the state of its link implies.
#[derive(Clone, Debug, PartialEq)]
pub enum Update {
    /// The sibling has sent all of its earlier state. The value is `true` if it is older than this process.
    Joined(bool),
    /// State that the sibling has learned about servers and classes.
    Snapshot(Box<Snapshot>),
    /// The configurations that clients of the sibling may apply, in place of what it reported before.
    Configurations {
        /// Link of the sibling.
        link: LinkId,
        /// Whether the sibling is older than this process.
        older: bool,
        /// What it reported.
        report: Box<ConfigurationReport>,
    },
    /// A message about an idempotency key or the level of a token bucket, to be applied unchanged.
    Key(Message),
    /// The link has ended, and with it all queries that the sibling had open. Attempts under their keys may
    /// run until they time out.
    Gone,
}

/// All siblings of a process.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Siblings {
    local: LocalProcess,
    timeouts: Timeouts,
    links: BTreeMap<LinkId, Link>,
    /// Process ids of siblings that are alive but whose link has ended. Of two such processes the newer one
    /// goes on and the older one stops sending.
    disconnected: Vec<u32>,
    /// Time until which keys of siblings with unknown state may be retried here; [`Micros::MAX`] while a
    /// sibling is alive without a link and it is unknown what it sends.
    quarantine: Micros,
    /// Time at which the current turn began.
    last_turn_at: Micros,
    /// Whether the current turn began so long after the one before it that siblings may have closed their
    /// links.
    was_paused: bool,
}

impl Siblings {
    /// Creates the state of a process that has no siblings yet.
    pub fn new(local: LocalProcess, timeouts: Timeouts) -> Self {
        Siblings {
            local,
            timeouts,
            links: BTreeMap::new(),
            disconnected: Vec::new(),
            quarantine: 0,
            last_turn_at: 0,
            was_paused: false,
        }
    }

    /// Sets the time for which keys may be retried here after a sibling with unknown state has ended, when
    /// the settings change. Quarantines that have already begun are not changed.
    pub fn set_quarantine(&mut self, time: Micros) {
        self.timeouts.quarantine = time;
    }

    /// Marks the start of a turn. The caller calls this before it reads anything in the turn.
    pub fn begin_turn(&mut self, now: Micros) {
        self.was_paused =
            !self.links.is_empty() && now.saturating_sub(self.last_turn_at) >= self.timeouts.stall;
        self.last_turn_at = now;
    }

    /// Adds a new connection to the sibling with this process id. Returns `false` if there are too many
    /// links; the caller then closes the connection.
    pub fn connected(&mut self, now: Micros, id: LinkId, pid: u32) -> bool {
        if self.links.len() >= MAX_LINKS {
            return false;
        }
        self.links.insert(id, Link::new(now, pid, &self.local));
        true
    }

    /// Processes bytes that were received on a link. After an error all further bytes of the link are
    /// ignored, but it stays open: only its closing distinguishes a sibling that has ended from one that is
    /// silent.
    pub fn received(
        &mut self,
        now: Micros,
        id: LinkId,
        bytes: &[u8],
    ) -> (Vec<Update>, Option<ProtocolError>) {
        let mut updates = Vec::new();
        let error = self.read(now, id, bytes, &mut updates).err();
        if error.is_some()
            && let Some(link) = self.links.get_mut(&id)
        {
            link.state = State::Unknown;
        }
        (updates, error)
    }

    fn read(
        &mut self,
        now: Micros,
        id: LinkId,
        bytes: &[u8],
        updates: &mut Vec<Update>,
    ) -> Result<(), ProtocolError> {
        let Some(link) = self.links.get_mut(&id).filter(|l| l.state != State::Unknown) else { return Ok(()) };
        link.reader.feed(bytes);
        if let State::AwaitingGreeting(_) = link.state {
            let Some(greeting) = link.reader.read_greeting()? else { return Ok(()) };
            // A process of another broker that uses the same directory is not a sibling.
            if greeting.name != self.local.name {
                return Err(ProtocolError::InvalidMessage);
            }
            link.peer = Some(greeting);
            link.state = State::Synchronizing(now);
        }
        let older = link.is_older_than(&self.local);
        while let Some(message) = link.reader.read_message()? {
            match message {
                // A newer sibling has learned nothing that is not known here.
                Message::Snapshot(snapshot) if older => updates.push(Update::Snapshot(snapshot)),
                Message::Snapshot(_) => {}
                Message::StateSent => {
                    link.state = State::Joined;
                    updates.push(Update::Joined(older));
                }
                Message::Opened { id, units, owner } => _ = link.open_queries.insert(id, (units, owner)),
                Message::Closed { id } => _ = link.open_queries.remove(&id),
                Message::Configurations(report) => {
                    updates.push(Update::Configurations { link: id, older, report });
                }
                key_message => updates.push(Update::Key(link.as_far_as_certain(key_message))),
            }
        }
        Ok(())
    }

    /// Queues a message to one sibling. Returns `false` if the message is too long or does not fit into the
    /// queue; from then on the state of this sibling counts as unknown. Returns `true` without queuing the
    /// message if the state was unknown before or the link has ended.
    pub fn send(&mut self, now: Micros, id: LinkId, message: &Message) -> bool {
        let Some(link) = self.links.get_mut(&id).filter(|l| l.state != State::Unknown) else { return true };
        let is_queued = link.queue(now, message);
        if !is_queued {
            // The sibling does not learn what could not be queued.
            link.state = State::Unknown;
        }
        is_queued
    }

    /// Returns the links whose greeting has arrived. Each of them is to be sent all known state once,
    /// followed by [`Message::StateSent`].
    pub fn greeted_links(&self) -> Vec<LinkId> {
        self.links.iter().filter(|(_, l)| l.peer.is_some()).map(|(id, _)| *id).collect()
    }

    /// Returns the bytes that are to be written to a link next.
    pub fn unsent(&mut self, id: LinkId) -> &[u8] {
        match self.links.get_mut(&id) {
            Some(link) => link.unsent.make_contiguous(),
            None => &[],
        }
    }

    /// Removes this number of bytes from the start of the unsent bytes of a link, after they have been
    /// written.
    pub fn written(&mut self, now: Micros, id: LinkId, bytes: usize) {
        if let Some(link) = self.links.get_mut(&id) {
            link.unsent.drain(..bytes.min(link.unsent.len()));
            link.unsent_since = now;
        }
    }

    /// Removes a link that has ended, after all that arrived on it has been read. `alive` says whether the
    /// process of the sibling is still running.
    pub fn link_lost(&mut self, now: Micros, id: LinkId, alive: bool) -> Vec<Update> {
        let Some(link) = self.links.remove(&id) else { return Vec::new() };
        let newer = link.is_newer_than(&self.local);
        let unknown = match link.state {
            // A sibling that closed the link while this process was paused has sent parts that it could not
            // report.
            State::Joined => self.was_paused,
            // A newer sibling sends no part before it has reported it.
            State::Synchronizing(_) => !newer,
            State::AwaitingGreeting(_) | State::Unknown => true,
        };
        if alive {
            self.disconnected.push(link.pid);
            // The newer process knows everything that the older one sent, because the older one stops sending
            // now. The older process cannot know what the newer one goes on to send.
            if unknown || newer {
                self.quarantine = Micros::MAX;
            }
        } else if unknown {
            self.quarantine = self.quarantine.max(now.saturating_add(self.timeouts.quarantine));
        }
        vec![Update::Gone]
    }

    /// Returns the process ids of siblings that are alive although their link has ended. The caller watches
    /// them and calls [`Siblings::process_ended`] for each.
    pub fn disconnected(&self) -> &[u32] {
        &self.disconnected
    }

    /// Removes a disconnected sibling whose process has ended.
    pub fn process_ended(&mut self, now: Micros, pid: u32) {
        self.disconnected.retain(|p| *p != pid);
        if self.disconnected.is_empty() && self.quarantine == Micros::MAX {
            self.quarantine = now.saturating_add(self.timeouts.quarantine);
        }
    }

    /// Applies the time limits. Returns the links that the caller is to close.
    pub fn tick(&mut self, now: Micros) -> Vec<LinkId> {
        let mut closed = Vec::new();
        for (id, link) in &mut self.links {
            match link.state {
                State::AwaitingGreeting(since) | State::Synchronizing(since)
                    if now >= since + self.timeouts.greeting =>
                {
                    link.state = State::Unknown;
                }
                State::Joined
                    if !link.unsent.is_empty() && now >= link.unsent_since + self.timeouts.stall =>
                {
                    closed.push(*id);
                }
                _ => {}
            }
        }
        closed
    }

    /// Returns the time at which the next turn with [`Siblings::tick`] is due, or `None` if there are no
    /// links.
    pub fn due(&self) -> Option<Micros> {
        let due = |l: &Link| match l.state {
            State::AwaitingGreeting(since) | State::Synchronizing(since) => {
                Some(since + self.timeouts.greeting)
            }
            State::Joined if !l.unsent.is_empty() => Some(l.unsent_since + self.timeouts.stall),
            _ => None,
        };
        // An idle process still runs a turn within the stall time, so that its next turn does not count as
        // late.
        let turn = (!self.links.is_empty()).then_some(self.last_turn_at + self.timeouts.stall / 4);
        self.links.values().filter_map(due).chain(turn).min()
    }

    /// Returns whether a part of a keyed class may be sent now.
    pub fn keyed_send(&self, now: Micros) -> KeyedSend {
        // A newer sibling sends nothing before it has received all that is known here.
        let reported = |l: &Link| match l.state {
            State::Joined => true,
            State::Synchronizing(_) => l.is_newer_than(&self.local),
            State::AwaitingGreeting(_) | State::Unknown => false,
        };
        let synchronized = |l: &Link| reported(l) && l.unsent.is_empty();
        if !self.links.values().all(synchronized) {
            return KeyedSend::Wait(Micros::MAX);
        }
        if now < self.quarantine { KeyedSend::Wait(self.quarantine) } else { KeyedSend::Allowed }
    }

    /// Returns the number of processes of this broker that are known to be alive, including this one.
    pub fn process_count(&self) -> u32 {
        1 + self.links.len() as u32 + self.disconnected.len() as u32
    }

    /// Returns whether a newer sibling has joined and therefore serves.
    pub fn has_newer(&self) -> bool {
        self.links.values().any(|l| l.state == State::Joined && l.is_newer_than(&self.local))
    }

    /// Returns whether a sibling is alive that is older than this process, or may be.
    pub fn has_older(&self) -> bool {
        let may_be_older = |l: &Link| match l.state {
            // It does not serve yet, or this process does not.
            State::AwaitingGreeting(_) => false,
            State::Synchronizing(_) | State::Joined | State::Unknown => !l.is_newer_than(&self.local),
        };
        !self.disconnected.is_empty() || self.links.values().any(may_be_older)
    }

    /// Returns whether a sibling may serve requests of clients that apply configurations which it has not
    /// reported.
    pub fn has_unknown_configurations(&self) -> bool {
        !self.disconnected.is_empty() || self.links.values().any(Link::has_unknown_configurations)
    }

    /// Returns whether a sibling has an open query with this request id.
    pub fn has_open_query(&self, request: &str) -> bool {
        self.links.values().any(|l| l.open_queries.contains_key(request))
    }

    /// Returns the number of units (queries and parts counted together) that open queries of siblings use.
    pub fn open_units(&self) -> usize {
        self.links.values().flat_map(|l| l.open_queries.values()).map(|(units, _)| *units as usize).sum()
    }

    /// Returns the number of open queries of siblings that count for this section of the operator's file.
    pub fn open_queries_of(&self, owner: &str) -> u32 {
        let queries = self.links.values().flat_map(|l| l.open_queries.values());
        queries.filter(|(_, o)| o.as_deref() == Some(owner)).count() as u32
    }

    /// Returns whether every sibling has either sent all of its earlier state or missed its time limit. A
    /// process that starts waits for this.
    pub fn is_settled(&self) -> bool {
        self.links.values().all(|l| matches!(l.state, State::Joined | State::Unknown))
    }
}

#[cfg(test)]
mod tests;
