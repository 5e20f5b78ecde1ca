//! What one process of a broker knows of its siblings, and whether it may therefore send parts of keyed
//! classes.

use crate::wire::{FrameReader, Greeting, Message, ProtocolError, encode_greeting, encode_message};
use plover_model::snapshot::Snapshot;
use plover_model::time::{MILLI, Micros, SECOND};
use std::collections::{BTreeMap, VecDeque};

/// Number of a link (a connection to a sibling). Numbers are never reused.
pub type LinkId = u64;

/// Maximum number of links at a time. One is usual, two if a third process starts during a handover.
pub const MAX_LINKS: usize = 4;
/// Maximum number of bytes waiting to be written to a sibling: the longest message and the keys of all open
/// queries.
const MAX_UNSENT_BYTES: usize = 32 << 20;

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
    /// A message about an idempotency key, to be applied to the key register unchanged.
    Key(Message),
    /// The link has ended, and with it all queries that the sibling had open. Attempts under their keys may
    /// run until they time out.
    Gone,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
enum State {
    /// No greeting has arrived yet. Holds the time at which the link was opened.
    AwaitingGreeting(Micros),
    /// The sibling is sending the state that it had before. Holds the time at which its greeting arrived.
    Synchronizing(Micros),
    /// The sibling has sent all of its earlier state and reports each change.
    Joined,
    /// The sibling is alive, but it is not understood, is late, or could not be sent a message. What it sends
    /// to data servers is unknown.
    Unknown,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct Link {
    state: State,
    reader: FrameReader,
    /// Process id of the sibling, as the operating system reports it.
    pid: u32,
    /// Greeting of the sibling; `None` until it has arrived.
    peer: Option<Greeting>,
    /// Bytes that have not been written yet.
    unsent: VecDeque<u8>,
    /// Time of the last write, or at which the first of the unsent bytes was queued if that is later.
    unsent_since: Micros,
    /// Open queries of the sibling by request id: the units that each uses, and the section of the operator's
    /// file that counts it.
    open_queries: BTreeMap<String, (u32, Option<String>)>,
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
        let unsent = encode_greeting(&self.local).into();
        let link = Link {
            state: State::AwaitingGreeting(now),
            reader: FrameReader::default(),
            pid,
            peer: None,
            unsent,
            unsent_since: now,
            open_queries: BTreeMap::new(),
        };
        self.links.insert(id, link);
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
        let older = link.peer.as_ref().is_some_and(|p| is_older(p, &self.local));
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
                key_message => updates.push(Update::Key(key_message)),
            }
        }
        Ok(())
    }

    /// Queues a message to one sibling. Returns `false` if the message is too long or does not fit into the
    /// queue; from then on the state of this sibling counts as unknown. Returns `true` without queuing the
    /// message if the state was unknown before or the link has ended.
    pub fn send(&mut self, now: Micros, id: LinkId, message: &Message) -> bool {
        let Some(link) = self.links.get_mut(&id).filter(|l| l.state != State::Unknown) else { return true };
        match encode_message(message) {
            Some(frame) if link.unsent.len() + frame.len() <= MAX_UNSENT_BYTES => {
                if link.unsent.is_empty() {
                    link.unsent_since = now;
                }
                link.unsent.extend(frame);
                true
            }
            // The sibling does not learn what could not be queued.
            _ => {
                link.state = State::Unknown;
                false
            }
        }
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
        let newer = link.peer.as_ref().is_some_and(|p| !is_older(p, &self.local));
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
            State::Synchronizing(_) => l.peer.as_ref().is_some_and(|p| !is_older(p, &self.local)),
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
        let newer = |l: &Link| l.peer.as_ref().is_some_and(|p| !is_older(p, &self.local));
        self.links.values().any(|l| l.state == State::Joined && newer(l))
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

/// Returns whether `a` started before `b`. Of two that started at the same time, the lower process id is the
/// older.
fn is_older(a: &Greeting, b: &Greeting) -> bool {
    (a.started, a.pid) < (b.started, b.pid)
}

#[cfg(test)]
mod tests {
    use super::*;
    use crate::wire::KeyOwner;

    fn process(started: Micros) -> Siblings {
        let local = Greeting { name: "n0".into(), started, pid: started as u32 };
        Siblings::new(local, Timeouts::default())
    }

    /// Moves the unsent bytes of one process to the other, and returns the updates that they cause there.
    fn deliver(now: Micros, from: &mut Siblings, to: &mut Siblings) -> Vec<Update> {
        let bytes = from.unsent(1).to_vec();
        from.written(now, 1, bytes.len());
        let (updates, error) = to.received(now, 1, &bytes);
        assert_eq!(error, None);
        updates
    }

    fn joined() -> (Siblings, Siblings) {
        let (mut old, mut new) = (process(1), process(2));
        assert!(old.connected(10, 1, 2) && new.connected(10, 1, 2));
        assert!(deliver(10, &mut old, &mut new).is_empty() && deliver(10, &mut new, &mut old).is_empty());
        for process in [&mut old, &mut new] {
            assert_eq!(process.greeted_links(), [1]);
            process.send(10, 1, &Message::StateSent);
        }
        assert_eq!(deliver(10, &mut old, &mut new), [Update::Joined(true)]);
        assert_eq!(deliver(10, &mut new, &mut old), [Update::Joined(false)]);
        assert_eq!((old.keyed_send(10), new.keyed_send(10)), (KeyedSend::Allowed, KeyedSend::Allowed));
        (old, new)
    }

    #[test]
    fn a_query_open_in_one_process_counts_in_the_other() {
        let (mut old, mut new) = joined();
        old.send(11, 1, &Message::Opened { id: "q".into(), units: 4, owner: Some("defaults".into()) });
        assert_eq!(
            old.keyed_send(11),
            KeyedSend::Wait(Micros::MAX),
            "the new process has not received the message yet"
        );
        deliver(11, &mut old, &mut new);
        assert!(new.has_open_query("q") && !new.has_open_query("r"));
        assert_eq!(
            (
                new.open_units(),
                new.open_queries_of("defaults"),
                new.open_queries_of("x"),
                new.process_count()
            ),
            (4, 1, 0, 2)
        );
        old.send(12, 1, &Message::Closed { id: "q".into() });
        deliver(12, &mut old, &mut new);
        assert_eq!((new.has_open_query("q"), new.open_units()), (false, 0));
    }

    #[test]
    fn the_new_process_goes_on_after_the_old_one_ended() {
        let (_, mut new) = joined();
        assert_eq!(new.link_lost(20, 1, false), [Update::Gone]);
        assert_eq!((new.keyed_send(20), new.process_count()), (KeyedSend::Allowed, 1));
    }

    /// New settings with longer windows, or with clients that retry for longer, take effect while the process
    /// runs.
    #[test]
    fn the_quarantine_is_that_of_the_current_settings() {
        let mut siblings = process(1);
        siblings.connected(0, 1, 2);
        siblings.set_quarantine(90 * SECOND);
        siblings.link_lost(10, 1, false);
        assert_eq!(siblings.keyed_send(20 * SECOND), KeyedSend::Wait(10 + 90 * SECOND));
    }

    /// Both processes are alive and have lost their link: only one of them goes on.
    #[test]
    fn the_older_of_two_disconnected_processes_stops_sending() {
        let (mut old, mut new) = joined();
        old.link_lost(20, 1, true);
        new.link_lost(20, 1, true);
        assert_eq!(
            (old.keyed_send(20), new.keyed_send(20)),
            (KeyedSend::Wait(Micros::MAX), KeyedSend::Allowed)
        );
        assert_eq!((old.disconnected(), old.process_count()), ([2].as_slice(), 2));
        old.process_ended(30, 2);
        let until = 30 + Timeouts::default().quarantine;
        assert_eq!((old.keyed_send(31), old.keyed_send(until)), (KeyedSend::Wait(until), KeyedSend::Allowed));
    }

    /// After a greeting of another version, a greeting of another broker, noise or silence, it is unknown
    /// what the sibling sends while it is alive and which keys its clients retry here afterwards.
    #[test]
    fn a_sibling_that_is_not_understood_blocks_keyed_sends() {
        let with_sibling = |bytes: Option<&[u8]>| {
            let mut siblings = process(1);
            siblings.connected(0, 1, 2);
            if let Some(bytes) = bytes {
                assert!(siblings.received(1, 1, bytes).1.is_some());
            }
            siblings.tick(Timeouts::default().greeting);
            siblings
        };
        let mut other_version = encode_greeting(&Greeting { name: "n0".into(), started: 9, pid: 9 });
        other_version[9] = 7;
        let other_broker = encode_greeting(&Greeting { name: "n1".into(), started: 9, pid: 9 });
        for bytes in [None, Some(other_version.as_slice()), Some(&other_broker), Some(b"\0\0\0\x07garbage")] {
            let mut siblings = with_sibling(bytes);
            assert_eq!(
                (siblings.keyed_send(SECOND), siblings.is_settled()),
                (KeyedSend::Wait(Micros::MAX), true),
                "{bytes:?}"
            );
            siblings.link_lost(2 * SECOND, 1, false);
            let until = 2 * SECOND + Timeouts::default().quarantine;
            assert_eq!(
                (siblings.keyed_send(until - 1), siblings.keyed_send(until)),
                (KeyedSend::Wait(until), KeyedSend::Allowed)
            );
        }
    }

    #[test]
    fn the_link_to_a_sibling_that_reads_nothing_is_closed() {
        let (mut old, _) = joined();
        old.send(100, 1, &Message::Closed { id: "q".into() });
        let stall = Timeouts::default().stall;
        assert!(old.tick(99 + stall).is_empty());
        assert_eq!(old.tick(100 + stall), [1]);
        // The unsent bytes are limited: a message that does not fit is not queued.
        let (mut old, _) = joined();
        let long = Message::KeyOpened { key: "k".repeat(1 << 19), until: 0, key_owner: KeyOwner::default() };
        let rejected = (0..MAX_UNSENT_BYTES / (1 << 19) + 1).filter(|_| !old.send(100, 1, &long)).count();
        assert_eq!(rejected, 1, "only the first message that does not fit is reported");
        assert!(old.unsent(1).len() <= MAX_UNSENT_BYTES);
        assert_eq!(
            (old.keyed_send(100), old.links[&1].state.clone()),
            (KeyedSend::Wait(Micros::MAX), State::Unknown)
        );
    }

    /// A newer process that ends before it has joined has sent nothing.
    #[test]
    fn a_new_process_that_ends_before_joining_causes_no_quarantine() {
        let (mut old, mut new) = (process(1), process(2));
        assert!(old.connected(10, 1, 2) && new.connected(10, 1, 2));
        deliver(10, &mut new, &mut old);
        old.link_lost(20, 1, false);
        assert_eq!((old.keyed_send(20), old.process_count()), (KeyedSend::Allowed, 1));
        deliver(10, &mut old, &mut new);
        new.link_lost(20, 1, false);
        assert_eq!(
            new.keyed_send(20),
            KeyedSend::Wait(20 + Timeouts::default().quarantine),
            "it is unknown what the old process sent"
        );
    }

    #[test]
    fn connections_beyond_the_maximum_are_rejected() {
        let mut siblings = process(1);
        assert!((0..MAX_LINKS as u64).all(|id| siblings.connected(0, id, 2)));
        assert!(!siblings.connected(0, 99, 2));
    }
}
