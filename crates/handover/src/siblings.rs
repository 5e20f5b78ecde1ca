//! What one process knows of its neighbours, and what it may do therefore.

use crate::wire::{FrameReader, Greeting, Message, ProtocolError, encode_greeting, encode_message};
use plover_model::snapshot::Snapshot;
use plover_model::time::{MILLI, Micros, SECOND};
use std::collections::{BTreeMap, VecDeque};

/// Number of a link, never used twice.
pub type LinkId = u64;

/// Siblings that are listened to at once: one is usual, two where a third process starts in the middle.
pub const MAX_LINKS: usize = 4;
/// Most that waits to be written to a neighbour: the longest word, and the keys in hand.
const MAX_UNSENT_BYTES: usize = 32 << 20;

/// This process.
pub type LocalProcess = Greeting;

/// Timeouts that bound what a neighbour may leave open.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct Timeouts {
    /// A greeting, and all that was known before, comes within this time.
    pub greeting: Micros,
    /// A neighbour that takes nothing for this long is given up.
    pub stall: Micros,
    /// For so long after an unknown neighbour has gone may its keys come back here: the window in which servers drop
    /// repeats, and the longest that a client goes on asking.
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
    /// All that neighbours have sent is known, and they know what was sent here.
    Allowed,
    /// Not before this moment; [`Micros::MAX`]: nobody can tell yet.
    Wait(Micros),
}

/// What a neighbour has told.
#[derive(Clone, Debug, PartialEq)]
pub enum Update {
    /// It is one broker with us from now on; true: it is the older one.
    Joined(bool),
    /// What it knows of servers and classes.
    Snapshot(Box<Snapshot>),
    /// Something about a key, to be put into the register as it stands.
    Key(Message),
    /// It has gone, and with it all that it had in hand: these keys' attempts may run on until their time is over.
    Gone,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
enum State {
    /// Its greeting is awaited, since then.
    Greeting(Micros),
    /// It tells what it knew before, since then.
    Telling(Micros),
    /// It is one broker with us.
    Joined,
    /// It lives, and is not understood, or has stopped taking what is said. Nothing is known of what it sends.
    Strange,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct Link {
    state: State,
    reader: FrameReader,
    /// Its process, as the system says.
    pid: u32,
    peer: Option<Greeting>,
    /// What is not written yet, and since when something has been waiting.
    waiting: VecDeque<u8>,
    waiting_since: Micros,
    /// Its queries in hand: the room, and the section that counts it.
    open: BTreeMap<String, (u32, Option<String>)>,
}

/// All neighbours of a process.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Siblings {
    me: LocalProcess,
    times: Timeouts,
    links: BTreeMap<LinkId, Link>,
    /// Siblings that live but have lost us, by their process: the newer goes on, the older holds back.
    estranged: Vec<u32>,
    /// Until when keys of unknown neighbours may come back.
    quarantine: Micros,
    /// When the last turn began, and whether this one came so late after it that neighbours may have given us up.
    turned: Micros,
    stood: bool,
}

impl Siblings {
    /// None yet.
    pub fn new(me: LocalProcess, times: Timeouts) -> Self {
        Siblings {
            me,
            times,
            links: BTreeMap::new(),
            estranged: Vec::new(),
            quarantine: 0,
            turned: 0,
            stood: false,
        }
    }

    /// Keys of an unknown neighbour that has gone may come back for so long from now on: other settings hold.
    pub fn set_quarantine(&mut self, time: Micros) {
        self.times.quarantine = time;
    }

    /// A turn begins: before anything is read.
    pub fn begin_turn(&mut self, now: Micros) {
        self.stood = !self.links.is_empty() && now.saturating_sub(self.turned) >= self.times.stall;
        self.turned = now;
    }

    /// A connection to a neighbour, the process of this number, is up. False: there are too many, and it is to be closed.
    pub fn connected(&mut self, now: Micros, id: LinkId, pid: u32) -> bool {
        if self.links.len() >= MAX_LINKS {
            return false;
        }
        let waiting = encode_greeting(&self.me).into();
        let link = Link {
            state: State::Greeting(now),
            reader: FrameReader::default(),
            pid,
            peer: None,
            waiting,
            waiting_since: now,
            open: BTreeMap::new(),
        };
        self.links.insert(id, link);
        true
    }

    /// Takes what has come on a link. After an error nothing more is read from it; it stays open, since its closing is how
    /// the neighbour's end is told from its silence.
    pub fn received(
        &mut self,
        now: Micros,
        id: LinkId,
        bytes: &[u8],
    ) -> (Vec<Update>, Option<ProtocolError>) {
        let mut news = Vec::new();
        let fault = self.read(now, id, bytes, &mut news).err();
        if fault.is_some()
            && let Some(link) = self.links.get_mut(&id)
        {
            link.state = State::Strange;
        }
        (news, fault)
    }

    fn read(
        &mut self,
        now: Micros,
        id: LinkId,
        bytes: &[u8],
        news: &mut Vec<Update>,
    ) -> Result<(), ProtocolError> {
        let Some(link) = self.links.get_mut(&id).filter(|l| l.state != State::Strange) else { return Ok(()) };
        link.reader.feed(bytes);
        if let State::Greeting(_) = link.state {
            let Some(greeting) = link.reader.read_greeting()? else { return Ok(()) };
            // A process of another broker in the same place is none of ours.
            if greeting.name != self.me.name {
                return Err(ProtocolError::InvalidMessage);
            }
            link.peer = Some(greeting);
            link.state = State::Telling(now);
        }
        let older = link.peer.as_ref().is_some_and(|p| is_older(p, &self.me));
        while let Some(word) = link.reader.read_message()? {
            match word {
                // One that has just come knows nothing that is not known here.
                Message::Snapshot(recall) if older => news.push(Update::Snapshot(recall)),
                Message::Snapshot(_) => {}
                Message::StateSent => {
                    link.state = State::Joined;
                    news.push(Update::Joined(older));
                }
                Message::Opened { id, units, owner } => _ = link.open.insert(id, (units, owner)),
                Message::Closed { id } => _ = link.open.remove(&id),
                key => news.push(Update::Key(key)),
            }
        }
        Ok(())
    }

    /// Tells one neighbour something. False: it cannot be said, being too long or too much with what waits; from now on the
    /// neighbour counts as one of which nothing is known.
    pub fn send(&mut self, now: Micros, id: LinkId, word: &Message) -> bool {
        let Some(link) = self.links.get_mut(&id).filter(|l| l.state != State::Strange) else { return true };
        match encode_message(word) {
            Some(frame) if link.waiting.len() + frame.len() <= MAX_UNSENT_BYTES => {
                if link.waiting.is_empty() {
                    link.waiting_since = now;
                }
                link.waiting.extend(frame);
                true
            }
            // What cannot be said is not known to it.
            _ => {
                link.state = State::Strange;
                false
            }
        }
    }

    /// The links whose neighbours have greeted: each is owed all that is known, once, and [`Message::StateSent`] after it.
    pub fn greeted_links(&self) -> Vec<LinkId> {
        self.links.iter().filter(|(_, l)| l.peer.is_some()).map(|(id, _)| *id).collect()
    }

    /// What is to be written to a link next.
    pub fn unsent(&mut self, id: LinkId) -> &[u8] {
        match self.links.get_mut(&id) {
            Some(link) => link.waiting.make_contiguous(),
            None => &[],
        }
    }

    /// So much of it is written.
    pub fn written(&mut self, now: Micros, id: LinkId, bytes: usize) {
        if let Some(link) = self.links.get_mut(&id) {
            link.waiting.drain(..bytes.min(link.waiting.len()));
            link.waiting_since = now;
        }
    }

    /// A link has ended; `alive`: its process runs on. All that came on it has been read before.
    pub fn link_lost(&mut self, now: Micros, id: LinkId, alive: bool) -> Vec<Update> {
        let Some(link) = self.links.remove(&id) else { return Vec::new() };
        let newer = link.peer.as_ref().is_some_and(|p| !is_older(p, &self.me));
        let unknown = match link.state {
            // One that gave us up, as we stood still, has sent what it could not tell.
            State::Joined => self.stood,
            // One that has come after us sends nothing before it has said so.
            State::Telling(_) => !newer,
            State::Greeting(_) | State::Strange => true,
        };
        if alive {
            self.estranged.push(link.pid);
            // The newer one knows all that the older one sent, since that holds back from now on. The older one cannot
            // know what the newer one goes on to send.
            if unknown || newer {
                self.quarantine = Micros::MAX;
            }
        } else if unknown {
            self.quarantine = self.quarantine.max(now.saturating_add(self.times.quarantine));
        }
        vec![Update::Gone]
    }

    /// Processes that have lost us and lived on: to be looked after, until [`Siblings::process_ended`] is told of each.
    pub fn disconnected(&self) -> &[u32] {
        &self.estranged
    }

    /// An estranged process has ended.
    pub fn process_ended(&mut self, now: Micros, pid: u32) {
        self.estranged.retain(|p| *p != pid);
        if self.estranged.is_empty() && self.quarantine == Micros::MAX {
            self.quarantine = now.saturating_add(self.times.quarantine);
        }
    }

    /// Moves on with time. Links that are given up are to be closed.
    pub fn tick(&mut self, now: Micros) -> Vec<LinkId> {
        let mut closed = Vec::new();
        for (id, link) in &mut self.links {
            match link.state {
                State::Greeting(since) | State::Telling(since) if now >= since + self.times.greeting => {
                    link.state = State::Strange;
                }
                State::Joined if !link.waiting.is_empty() && now >= link.waiting_since + self.times.stall => {
                    closed.push(*id);
                }
                _ => {}
            }
        }
        closed
    }

    /// When [`Siblings::tick`] is due.
    pub fn due(&self) -> Option<Micros> {
        let due = |l: &Link| match l.state {
            State::Greeting(since) | State::Telling(since) => Some(since + self.times.greeting),
            State::Joined if !l.waiting.is_empty() => Some(l.waiting_since + self.times.stall),
            _ => None,
        };
        // A neighbour must not think that we stand still, only because there is nothing to do.
        let turn = (!self.links.is_empty()).then_some(self.turned + self.times.stall / 4);
        self.links.values().filter_map(due).chain(turn).min()
    }

    /// Whether a part of a keyed class may be sent now.
    pub fn keyed_send(&self, now: Micros) -> KeyedSend {
        // One that has come after us sends nothing before it has heard all that we know.
        let heard = |l: &Link| match l.state {
            State::Joined => true,
            State::Telling(_) => l.peer.as_ref().is_some_and(|p| !is_older(p, &self.me)),
            State::Greeting(_) | State::Strange => false,
        };
        let known = |l: &Link| heard(l) && l.waiting.is_empty();
        if !self.links.values().all(known) {
            return KeyedSend::Wait(Micros::MAX);
        }
        if now < self.quarantine { KeyedSend::Wait(self.quarantine) } else { KeyedSend::Allowed }
    }

    /// How many processes are this broker, as far as anybody knows.
    pub fn process_count(&self) -> u32 {
        1 + self.links.len() as u32 + self.estranged.len() as u32
    }

    /// Whether a process that came after us is one broker with us, and so serves.
    pub fn has_newer(&self) -> bool {
        let newer = |l: &Link| l.peer.as_ref().is_some_and(|p| !is_older(p, &self.me));
        self.links.values().any(|l| l.state == State::Joined && newer(l))
    }

    /// Whether a neighbour has a request of this id in hand.
    pub fn has_open_query(&self, request: &str) -> bool {
        self.links.values().any(|l| l.open.contains_key(request))
    }

    /// The room that neighbours' queries take.
    pub fn open_units(&self) -> usize {
        self.links.values().flat_map(|l| l.open.values()).map(|(units, _)| *units as usize).sum()
    }

    /// Siblings' queries that count for a section of the operator's file.
    pub fn open_queries_of(&self, owner: &str) -> u32 {
        let queries = self.links.values().flat_map(|l| l.open.values());
        queries.filter(|(_, o)| o.as_deref() == Some(owner)).count() as u32
    }

    /// Whether every neighbour has been heard out, or been given up: a process that starts waits for this.
    pub fn is_settled(&self) -> bool {
        self.links.values().all(|l| matches!(l.state, State::Joined | State::Strange))
    }
}

/// Who started first; of two in one moment, the one of the lower number.
fn is_older(a: &Greeting, b: &Greeting) -> bool {
    (a.started, a.pid) < (b.started, b.pid)
}

#[cfg(test)]
mod tests {
    use super::*;
    use crate::wire::KeyOwner;

    fn side(started: Micros) -> Siblings {
        let me = Greeting { name: "n0".into(), started, pid: started as u32 };
        Siblings::new(me, Timeouts::default())
    }

    /// Carries what waits on one side's link to the other; what came of it there.
    fn carry(now: Micros, from: &mut Siblings, to: &mut Siblings) -> Vec<Update> {
        let bytes = from.unsent(1).to_vec();
        from.written(now, 1, bytes.len());
        let (news, fault) = to.received(now, 1, &bytes);
        assert_eq!(fault, None);
        news
    }

    fn joined() -> (Siblings, Siblings) {
        let (mut old, mut new) = (side(1), side(2));
        assert!(old.connected(10, 1, 2) && new.connected(10, 1, 2));
        assert!(carry(10, &mut old, &mut new).is_empty() && carry(10, &mut new, &mut old).is_empty());
        for side in [&mut old, &mut new] {
            assert_eq!(side.greeted_links(), [1]);
            side.send(10, 1, &Message::StateSent);
        }
        assert_eq!(carry(10, &mut old, &mut new), [Update::Joined(true)]);
        assert_eq!(carry(10, &mut new, &mut old), [Update::Joined(false)]);
        assert_eq!((old.keyed_send(10), new.keyed_send(10)), (KeyedSend::Allowed, KeyedSend::Allowed));
        (old, new)
    }

    #[test]
    fn what_is_in_hand_is_in_hand_of_both() {
        let (mut old, mut new) = joined();
        old.send(11, 1, &Message::Opened { id: "q".into(), units: 4, owner: Some("defaults".into()) });
        assert_eq!(old.keyed_send(11), KeyedSend::Wait(Micros::MAX), "it does not know yet");
        carry(11, &mut old, &mut new);
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
        carry(12, &mut old, &mut new);
        assert_eq!((new.has_open_query("q"), new.open_units()), (false, 0));
    }

    #[test]
    fn the_new_one_goes_on_when_the_old_one_has_gone() {
        let (_, mut new) = joined();
        assert_eq!(new.link_lost(20, 1, false), [Update::Gone]);
        assert_eq!((new.keyed_send(20), new.process_count()), (KeyedSend::Allowed, 1));
    }

    /// Settings with longer windows, or more patient clients, come into force while it runs.
    #[test]
    fn the_time_of_doubt_is_that_of_the_settings_in_force() {
        let mut side = side(1);
        side.connected(0, 1, 2);
        side.set_quarantine(90 * SECOND);
        side.link_lost(10, 1, false);
        assert_eq!(side.keyed_send(20 * SECOND), KeyedSend::Wait(10 + 90 * SECOND));
    }

    /// Both live and have lost each other: one goes on.
    #[test]
    fn of_two_that_have_lost_each_other_the_older_holds_back() {
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

    /// A neighbour of another version, noise, or silence: nothing is known of what it sends while it lives, nor what its
    /// clients bring here afterwards.
    #[test]
    fn what_is_not_understood_counts_against_us() {
        let other = |bytes: Option<&[u8]>| {
            let mut side = side(1);
            side.connected(0, 1, 2);
            if let Some(bytes) = bytes {
                assert!(side.received(1, 1, bytes).1.is_some());
            }
            side.tick(Timeouts::default().greeting);
            side
        };
        let mut next = encode_greeting(&Greeting { name: "n0".into(), started: 9, pid: 9 });
        next[9] = 7;
        let foreign = encode_greeting(&Greeting { name: "n1".into(), started: 9, pid: 9 });
        for bytes in [None, Some(next.as_slice()), Some(&foreign), Some(b"\0\0\0\x07garbage")] {
            let mut side = other(bytes);
            assert_eq!(
                (side.keyed_send(SECOND), side.is_settled()),
                (KeyedSend::Wait(Micros::MAX), true),
                "{bytes:?}"
            );
            side.link_lost(2 * SECOND, 1, false);
            let until = 2 * SECOND + Timeouts::default().quarantine;
            assert_eq!(
                (side.keyed_send(until - 1), side.keyed_send(until)),
                (KeyedSend::Wait(until), KeyedSend::Allowed)
            );
        }
    }

    #[test]
    fn one_that_takes_nothing_is_given_up() {
        let (mut old, _) = joined();
        old.send(100, 1, &Message::Closed { id: "q".into() });
        let stall = Timeouts::default().stall;
        assert!(old.tick(99 + stall).is_empty());
        assert_eq!(old.tick(100 + stall), [1]);
        // And nothing is let pile up: what does not fit was not told.
        let (mut old, _) = joined();
        let long = Message::KeyOpened { key: "k".repeat(1 << 19), until: 0, key_owner: KeyOwner::default() };
        let unsaid = (0..MAX_UNSENT_BYTES / (1 << 19) + 1).filter(|_| !old.send(100, 1, &long)).count();
        assert_eq!(unsaid, 1, "the one that does not fit is told of, once");
        assert!(old.unsent(1).len() <= MAX_UNSENT_BYTES);
        assert_eq!(
            (old.keyed_send(100), old.links[&1].state.clone()),
            (KeyedSend::Wait(Micros::MAX), State::Strange)
        );
    }

    /// One that dies before it has joined has sent nothing, if it came after us.
    #[test]
    fn a_new_one_that_dies_at_once_leaves_nothing_behind() {
        let (mut old, mut new) = (side(1), side(2));
        assert!(old.connected(10, 1, 2) && new.connected(10, 1, 2));
        carry(10, &mut new, &mut old);
        old.link_lost(20, 1, false);
        assert_eq!((old.keyed_send(20), old.process_count()), (KeyedSend::Allowed, 1));
        carry(10, &mut old, &mut new);
        new.link_lost(20, 1, false);
        assert_eq!(
            new.keyed_send(20),
            KeyedSend::Wait(20 + Timeouts::default().quarantine),
            "what the old one sent is not known"
        );
    }

    #[test]
    fn a_third_process_is_heard_and_a_crowd_is_not() {
        let mut side = side(1);
        assert!((0..MAX_LINKS as u64).all(|id| side.connected(0, id, 2)));
        assert!(!side.connected(0, 99, 2));
    }
}
