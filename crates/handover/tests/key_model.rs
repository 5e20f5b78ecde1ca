//! All orders of a small case: two processes, one key, words that are late, links that end, processes that die, clients that
//! come back. No part is run again once data servers no longer drop its repeat, whichever process it reaches.

use plover_handover::wire::{KeyOwner, Message};
use plover_handover::{KeyedSend, LocalProcess, Siblings, Timeouts, Update};
use stateright::{Checker, Model, Property};

/// For so long data servers drop a repeat; clients come back for so long; the rest is bounded by both.
const WINDOW: u64 = 1;
const KEEP: u64 = 2;
const END: u64 = 3;
/// What each process is asked under the key, at the most. With 2 it holds as well, over 3,831,118 states.
const ASKS: u8 = 1;
const TIMEOUTS: Timeouts = Timeouts { greeting: 1, stall: 1, quarantine: KEEP };

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct Side {
    alive: bool,
    known: Siblings,
    /// Bytes on their way to it, and whether the other end is closed.
    inbox: Vec<u8>,
    full: bool,
    closed: bool,
    linked: bool,
    /// When the key was first sent, as far as it knows.
    first: Option<u64>,
    owed: bool,
    /// Timeouts that a client asked here.
    asked: u8,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct State {
    now: u64,
    sides: Vec<Side>,
    /// When the part first ran, anywhere.
    ran: Option<u64>,
    late: bool,
}

#[derive(Clone, Debug, PartialEq, Eq)]
enum Action {
    Tick,
    /// One turn of a side; true: a client asks under the key in it.
    Turn(usize, bool),
    Kill(usize),
    /// What is on its way to a side fills its socket.
    Fill(usize),
    Burial(usize),
}

struct Case {
    /// With the guard taken out: a side sends whatever it knows of the other.
    heedless: bool,
}

impl Case {
    fn turn(&self, s: &mut State, n: usize, ask: bool) {
        let now = s.now;
        let other = 1 - n;
        let mut read = std::mem::take(&mut s.sides[n].inbox);
        let side = &mut s.sides[n];
        side.known.begin_turn(now);
        side.full = false;
        let mut news = Vec::new();
        if side.linked && !read.is_empty() {
            news = side.known.received(now, 1, &read).0;
        }
        read.clear();
        for word in news {
            if let Update::Key(Message::KeySent { at, .. }) = word {
                side.first = Some(side.first.map_or(at, |f| f.min(at)));
            }
        }
        if side.linked && side.closed {
            side.linked = false;
            let alive = s.sides[other].alive;
            s.sides[n].known.link_lost(now, 1, alive);
        }
        for id in s.sides[n].known.tick(now) {
            // Given up: the other sees the end.
            s.sides[n].linked = false;
            let alive = s.sides[other].alive;
            s.sides[other].closed = true;
            s.sides[n].known.link_lost(now, id, alive);
        }
        let side = &mut s.sides[n];
        if side.linked && side.owed && !side.known.greeted_links().is_empty() {
            side.owed = false;
            if let Some(at) = side.first {
                side.known.send(
                    now,
                    1,
                    &Message::KeySent {
                        key: "k".into(),
                        shard: 0,
                        at,
                        until: at,
                        key_owner: KeyOwner::default(),
                    },
                );
            }
            side.known.send(now, 1, &Message::StateSent);
        }
        let may = |side: &Side| self.heedless || side.known.keyed_send(now) == KeyedSend::Allowed;
        self.flush(s, n);
        let side = &mut s.sides[n];
        side.asked += u8::from(ask);
        if !ask || !may(side) || side.first.is_some_and(|first| now >= first + WINDOW) {
            return;
        }
        side.first.get_or_insert(now);
        if side.linked && !side.owed {
            side.known.send(
                now,
                1,
                &Message::KeySent {
                    key: "k".into(),
                    shard: 0,
                    at: now,
                    until: now,
                    key_owner: KeyOwner::default(),
                },
            );
        }
        self.flush(s, n);
        if may(&s.sides[n]) {
            s.late |= s.ran.is_some_and(|ran| now >= ran + WINDOW);
            s.ran.get_or_insert(now);
        }
    }

    fn flush(&self, s: &mut State, n: usize) {
        if !s.sides[n].linked || s.sides[n].closed || s.sides[1 - n].full {
            return;
        }
        let bytes = s.sides[n].known.unsent(1).to_vec();
        s.sides[n].known.written(s.now, 1, bytes.len());
        s.sides[1 - n].inbox.extend(bytes);
    }
}

impl Model for Case {
    type State = State;
    type Action = Action;

    fn init_states(&self) -> Vec<State> {
        let side = |started: u64| {
            let me = LocalProcess { name: "n".into(), started, pid: started as u32 };
            let mut known = Siblings::new(me, TIMEOUTS);
            known.connected(0, 1, 3 - started as u32);
            Side {
                alive: true,
                known,
                inbox: Vec::new(),
                full: false,
                closed: false,
                linked: true,
                first: None,
                owed: true,
                asked: 0,
            }
        };
        let fresh = State { now: 0, sides: vec![side(1), side(2)], ran: None, late: false };
        // The old one has sent before the new one came.
        let mut begun = fresh.clone();
        begun.sides[0].first = Some(0);
        begun.ran = Some(0);
        vec![fresh, begun]
    }

    fn actions(&self, s: &State, actions: &mut Vec<Action>) {
        if s.now < END {
            actions.push(Action::Tick);
        }
        // A client comes back for a while after it asked first.
        let asks = s.ran.is_none_or(|ran| s.now < ran + KEEP);
        for n in (0..2).filter(|n| s.sides[*n].alive) {
            actions.push(Action::Turn(n, false));
            if asks && s.sides[n].asked < ASKS {
                actions.push(Action::Turn(n, true));
            }
            actions.push(Action::Kill(n));
            if !s.sides[1 - n].alive && !s.sides[n].known.disconnected().is_empty() {
                actions.push(Action::Burial(n));
            }
        }
        actions.extend((0..2).filter(|n| !s.sides[*n].full).map(Action::Fill));
    }

    fn next_state(&self, last: &State, action: Action) -> Option<State> {
        let mut s = last.clone();
        match action {
            Action::Tick => s.now += 1,
            Action::Turn(n, ask) => self.turn(&mut s, n, ask),
            Action::Kill(n) => {
                s.sides[n].alive = false;
                // What it wrote is read all the same.
                s.sides[1 - n].closed = true;
            }
            Action::Fill(n) => s.sides[n].full = true,
            Action::Burial(n) => {
                let pid = s.sides[n].known.disconnected()[0];
                s.sides[n].known.process_ended(s.now, pid);
            }
        }
        (s != *last).then_some(s)
    }

    fn properties(&self) -> Vec<Property<Self>> {
        vec![
            Property::always("no part runs again past its window", |_, s: &State| !s.late),
            Property::sometimes("it runs at both", |_, s: &State| {
                s.sides.iter().all(|side| side.first.is_some()) && s.ran.is_some()
            }),
        ]
    }
}

#[test]
fn no_order_of_words_and_deaths_runs_a_part_past_its_window() {
    let checker = Case { heedless: false }.checker().threads(2).spawn_bfs().join();
    checker.assert_properties();
    eprintln!("{} states", checker.unique_state_count());
}

/// The check sees it where a side does not heed what it cannot know.
#[test]
fn without_the_guard_a_part_does() {
    let checker = Case { heedless: true }.checker().threads(2).spawn_bfs().join();
    assert!(checker.discovery("no part runs again past its window").is_some());
}
