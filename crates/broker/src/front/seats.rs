//! Seats for client connections: how many there are, and who makes room when they run out.

use super::farewell::{Farewells, Place};
use async_channel::{Receiver, Sender};
use async_io::{Async, Timer};
use futures_lite::FutureExt;
use plover_admission::descriptors::FRONT_LINGERING;
use plover_runtime::net::linger_for;
use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::net::{Shutdown, TcpStream};
use std::rc::Rc;
use std::time::{Duration, Instant};
use tracing::warn;

/// A connection that has served a request may be idle for so long, and for as long as the second once more than
/// this share of the seats is taken: clients that ask once and keep their connection for good take descriptors
/// here, and at their own end from those who want to ask.
pub(super) const IDLE: Duration = Duration::from_secs(2);
pub(super) const IDLE_PRESSED: Duration = Duration::from_millis(250);
const PRESSED: (usize, usize) = (1, 4);
/// Longest wait for a connection to make room before another is asked to.
const ROOM_PAUSE: Duration = Duration::from_millis(5);
/// A connection that has asked nothing yet is not made to go before this time. A burst of silent ones is accepted faster
/// than anybody could say a word, and pushed out those who connected in the same moment; behind this wait the burst
/// stands in the system's queue instead.
const FIRST_WORDS: Duration = Duration::from_millis(25);
/// One that has connected so shortly before idle connections are closed is left to speak.
pub(super) const JUST_COME: Duration = Duration::from_millis(225);
/// Longest wait for room: then a new client is told that there is none, and can try another broker.
const ROOM_TIME: Duration = Duration::from_millis(250);

/// Which connections make room first.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) enum Rank {
    /// It is closed on this side, and read on only so that its client meets no reset.
    Over,
    /// Nothing that can be used has come.
    Fresh,
    /// It said all that a connection begins with, and has asked nothing yet.
    Greeted,
    /// Idle, and served before: its client is a usual one, which can open another.
    Served,
    /// In the middle of its first request: one who is just slow would fail, but half requests must not hold
    /// all seats.
    Beginning,
}

/// The seats of one front.
pub(super) struct Seats {
    most: Cell<usize>,
    open: Cell<usize>,
    next: Cell<u64>,
    /// Connections that may be closed for want of room, by rank and age there: the first one first.
    spare: RefCell<BTreeMap<(Rank, u64), Leaver>>,
    /// Those that had a seat until it was wanted.
    farewells: Rc<Farewells>,
    /// The one that has been accepted and waits for room.
    waiting: RefCell<Option<Async<TcpStream>>>,
    /// Rung when a connection ends.
    room: (Sender<()>, Receiver<()>),
}

/// One that may be closed, from that time on: dropping the sender closes it.
struct Leaver {
    _stay: Sender<()>,
    from: Instant,
}

/// Counts a connection for as long as it lives.
pub(super) struct Seat {
    seats: Rc<Seats>,
    since: Instant,
}

impl Drop for Seat {
    fn drop(&mut self) {
        self.seats.open.set(self.seats.open.get() - 1);
        let _ = self.seats.room.0.try_send(());
    }
}

impl Seat {
    /// Closes this side of a connection, and reads on for so long at the most: what its client sends in this moment, also one
    /// that asked for the end, would else reset the connection, and with it the last answer. Nothing of it is taken any more.
    pub(super) async fn over(self, stream: &Async<TcpStream>, time: Duration) {
        let spare = self.spare(Rank::Over);
        let end = async {
            let _ = linger_for(stream, time).await;
            false
        };
        let wanted = async {
            spare.closed().await;
            true
        };
        let wanted = end.or(wanted).await;
        drop(spare);
        if wanted {
            self.part(stream).await;
        }
    }

    /// Gives the seat to whoever wants it, and ends its connection in order without.
    pub(super) async fn part(self, stream: &Async<TcpStream>) {
        let seats = self.seats.clone();
        // Before another is let in: the client may see it so much sooner.
        let _ = stream.get_ref().shutdown(Shutdown::Write);
        drop(self);
        seats.farewell().part(stream).await;
    }

    /// Lets the connection be closed for want of room.
    pub(super) fn spare(&self, rank: Rank) -> Spare<'_> {
        let seats = &self.seats;
        let key = (rank, seats.next.get());
        seats.next.set(key.1 + 1);
        let (stay, closed) = async_channel::bounded(1);
        let from = match rank {
            Rank::Fresh | Rank::Greeted => self.since + FIRST_WORDS,
            Rank::Over | Rank::Served | Rank::Beginning => self.since,
        };
        seats.spare.borrow_mut().insert(key, Leaver { _stay: stay, from });
        Spare { seats, key, closed }
    }
}

/// A place among the connections that may be closed, held until dropped.
pub(super) struct Spare<'a> {
    seats: &'a Seats,
    key: (Rank, u64),
    closed: Receiver<()>,
}

impl Spare<'_> {
    /// Waits until the connection is to make room.
    pub(super) async fn closed(&self) {
        let _: Result<(), _> = self.closed.recv().await;
    }

    /// Whether it is.
    #[cfg(test)]
    pub(super) fn is_closed(&self) -> bool {
        self.closed.is_closed()
    }
}

impl Drop for Spare<'_> {
    fn drop(&mut self) {
        self.seats.spare.borrow_mut().remove(&self.key);
    }
}

impl Seats {
    /// So many connections at most.
    pub(super) fn new(most: usize) -> Rc<Self> {
        Seats::with_parting(most, FRONT_LINGERING)
    }

    /// The same; so many descriptors are kept for those that have no seat any more.
    pub(super) fn with_parting(most: usize, parting: usize) -> Rc<Self> {
        Rc::new(Seats {
            most: Cell::new(most),
            open: Cell::new(0),
            next: Cell::new(0),
            spare: RefCell::default(),
            farewells: Farewells::new(most, parting),
            waiting: RefCell::default(),
            room: async_channel::bounded(1),
        })
    }

    /// So many seats from now on; who has one keeps it.
    pub(super) fn set_seats(&self, most: usize) {
        self.most.set(most);
    }

    /// Where more are taken than there are, connections that rest, or have asked nothing, make room: not more at once than
    /// the reserve has places for. The others keep theirs to their end.
    pub(super) fn shrink(&self, now: Instant) {
        let over = self.open.get().saturating_sub(self.most.get());
        for _ in 0..over.min(self.farewells.places()) {
            let first = self.spare.borrow().first_key_value().map(|(key, _)| key.0);
            if first.is_none_or(|rank| rank > Rank::Served) || !self.evict(now) {
                return;
            }
        }
    }

    /// Seats that are taken.
    pub(super) fn taken(&self) -> usize {
        self.open.get()
    }

    /// Those of them whose clients are owed something.
    pub(super) fn busy(&self) -> usize {
        self.open.get().saturating_sub(self.spare.borrow().len())
    }

    /// Connections that are open, with a seat or without.
    pub(super) fn open(&self) -> usize {
        self.open.get() + self.farewells.open()
    }

    /// A place for a connection that has no seat, until it has ended.
    pub(super) fn farewell(&self) -> Place {
        self.farewells.place()
    }

    /// Waits until no more such connections are open than there is a reserve for.
    pub(super) async fn settled(&self) {
        self.farewells.settled().await;
    }

    /// Keeps one that waits for room. There is one at most, since accepting goes on only with its end.
    pub(super) fn set_waiting(&self, stream: Async<TcpStream>) {
        *self.waiting.borrow_mut() = Some(stream);
    }

    #[cfg(test)]
    pub(super) fn has_waiting(&self) -> bool {
        self.waiting.borrow().is_some()
    }

    /// Gives it up.
    pub(super) fn take_waiting(&self) -> Option<Async<TcpStream>> {
        self.waiting.borrow_mut().take()
    }

    /// Takes a seat, whoever else is there.
    pub(super) fn take(self: &Rc<Self>) -> Seat {
        self.open.set(self.open.get() + 1);
        Seat { seats: self.clone(), since: Instant::now() }
    }

    /// Takes a seat if one is free.
    pub(super) fn try_take(self: &Rc<Self>) -> Option<Seat> {
        (self.open.get() < self.most.get()).then(|| self.take())
    }

    /// Full: others make room for one that has come. False: none did.
    pub(super) async fn make_room(&self) -> bool {
        let start = Instant::now();
        while self.open.get() >= self.most.get() {
            let _ = self.room.1.try_recv(); // rung when there was room still
            let evicted = self.evict(Instant::now());
            warn!(name: "front_full", open = self.open.get(), evicted);
            if start.elapsed() >= ROOM_TIME {
                return false;
            }
            // Not for ever: what was to make room may have got a request in the same moment, and stay.
            let pause = async { _ = Timer::after(ROOM_PAUSE).await };
            async { _ = self.room.1.recv().await }.or(pause).await;
        }
        true
    }

    /// Closes one of those that go first. None of the others goes in place of one that has its time still: a burst
    /// of silent ones would push out those that were served.
    pub(super) fn evict(&self, now: Instant) -> bool {
        let mut spare = self.spare.borrow_mut();
        let Some(rank) = spare.first_key_value().map(|(key, _)| key.0) else { return false };
        let first = spare.iter().take_while(|(key, _)| key.0 == rank).find(|(_, leaver)| leaver.from <= now);
        let Some(key) = first.map(|(key, _)| *key) else { return false };
        spare.remove(&key).is_some()
    }

    /// Closes all that are idle; those in the middle of a request go on, and those that have just come.
    pub(super) fn close_idle(&self) {
        let now = Instant::now();
        self.spare.borrow_mut().retain(|(rank, _), leaver| match rank {
            Rank::Over | Rank::Beginning => true,
            // Its request is on its way: closed on, its client would have connected for nothing.
            Rank::Fresh | Rank::Greeted => now < leaver.from + JUST_COME,
            Rank::Served => false,
        });
    }

    /// How long a connection that has served may be idle.
    pub(super) fn idle_time(&self) -> Duration {
        let pressed = self.open.get() * PRESSED.1 > self.most.get() * PRESSED.0;
        if pressed { IDLE_PRESSED } else { IDLE }
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    /// Clients that ask once and stay hold their own descriptors too: those of all clients then run out long before
    /// ours, and new requests never leave them.
    #[test]
    fn idle_connections_end_sooner_where_many_are_open() {
        let seats = Seats::new(100);
        let times = [0, 25, 26, 100].map(|open| {
            seats.open.set(open);
            seats.idle_time()
        });
        assert_eq!(times, [IDLE, IDLE, IDLE_PRESSED, IDLE_PRESSED]);
    }

    /// A flood that says nothing must not push out usual clients, and half requests must not hold all seats.
    #[test]
    fn room_is_made_by_those_who_have_asked_least() {
        let seats = Seats::new(4);
        let held = [(); 4].map(|()| seats.take());
        let ranks = [Rank::Beginning, Rank::Served, Rank::Fresh, Rank::Served];
        let spares: Vec<Spare> = held.iter().zip(ranks).map(|(seat, rank)| seat.spare(rank)).collect();
        let mut order = Vec::new();
        while seats.evict(Instant::now() + FIRST_WORDS) {
            order.push(spares.iter().map(|s| s.closed.is_closed()).collect::<Vec<_>>());
        }
        let expected = [
            [false, false, true, false],
            [false, true, true, false],
            [false, true, true, true],
            [true, true, true, true],
        ];
        assert_eq!(order, expected);
        let again = held[0].spare(Rank::Served);
        drop(again);
        assert!(seats.spare.borrow().is_empty());
    }

    /// One that connects in a burst has its time to say something, and those that were served do not go in its place.
    #[test]
    fn nobody_goes_before_there_was_time_to_speak() {
        let seats = Seats::new(3);
        let held = [(); 3].map(|()| seats.take());
        let since = held[2].since;
        let served = held[0].spare(Rank::Served);
        let (first, greeted) = (held[1].spare(Rank::Fresh), held[2].spare(Rank::Greeted));
        assert!(!seats.evict(held[1].since + FIRST_WORDS - Duration::from_micros(1)));
        assert!(!first.closed.is_closed() && !served.closed.is_closed());
        assert!(seats.evict(since + FIRST_WORDS) && first.closed.is_closed());
        assert!(!seats.evict(since) && !served.closed.is_closed());
        assert!(seats.evict(since + FIRST_WORDS) && greeted.closed.is_closed());
        assert!(seats.evict(Instant::now()) && served.closed.is_closed());
    }
}
