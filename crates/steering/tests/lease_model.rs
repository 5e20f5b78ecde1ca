//! All orders of a small case: two proxies, one cold server, words that are late, proxies that are cut off and come back.
//! What the proxies together may have out never passes what the server may have out.

use plover_model::server::NodeId;
use plover_steering::Proxy;
use plover_steering::leases::{Leases, Times};
use stateright::{Checker, Model, Property};
use std::collections::VecDeque;

const TIMES: Times = Times { time_to_live: 1, longest_request: 1, longest_pause: 1 };
const PROXIES: usize = 2;
const MOST: u32 = 2;
const END: u64 = 6;

/// What a proxy was told and has not read: its limit at the server.
type Word = u32;

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct Side {
    connected: bool,
    /// On their way, or in its socket.
    words: VecDeque<Word>,
    /// When its stream ended with words unread: it reads them by the longest pause later or never.
    ended: Option<u64>,
    /// The limit that it acts on, and until when.
    limit: u32,
    until: u64,
    /// The most that may still be out from earlier limits, and until when that has run out.
    earlier: Vec<(u32, u64)>,
    /// Acknowledgements on their way back: of how many words.
    acks: u32,
    /// What was handed and is not acknowledged: 1 a lease, 2 its end.
    handed: u32,
    /// Whether it ever had all of it.
    had: bool,
}

impl Side {
    /// The most that it may have out at this moment.
    fn out(&self, now: u64) -> u32 {
        let acting = if now < self.until { self.limit } else { 0 };
        // One limit for all that is out: an earlier, larger one is not added to the present one.
        self.earlier
            .iter()
            .filter(|(_, until)| now < *until)
            .map(|(units, _)| *units)
            .max()
            .unwrap_or(0)
            .max(acting)
    }

    fn read(&mut self, now: u64) {
        let Some(word) = self.words.pop_front() else { return };
        if self.limit > 0 {
            let stops = now.min(self.until);
            self.earlier.push((self.limit, stops + TIMES.longest_request));
        }
        self.earlier.retain(|(_, until)| now < *until);
        // What matters alone is how much, and until when: states that differ in no more are one.
        self.earlier.sort_unstable();
        self.earlier.dedup();
        self.limit = word;
        self.had |= word == MOST;
        self.until = if word > 0 { now + TIMES.time_to_live } else { 0 };
    }
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct State {
    now: u64,
    leases: Leases,
    sides: Vec<Side>,
}

#[derive(Clone, Debug, PartialEq, Eq)]
enum Action {
    Tick,
    Grant(usize),
    Revoke(usize),
    Read(usize),
    Ack(usize),
    Cut(usize),
    Connect(usize),
}

struct Case {
    /// With a fault in the books, to show that the check sees it.
    forgets_unacknowledged: bool,
}

fn server() -> NodeId {
    NodeId("s".into())
}

fn proxy(n: usize) -> Proxy {
    ["a", "b"][n].into()
}

impl Model for Case {
    type State = State;
    type Action = Action;

    fn init_states(&self) -> Vec<State> {
        let side = Side {
            connected: true,
            words: VecDeque::new(),
            ended: None,
            limit: 0,
            until: 0,
            earlier: Vec::new(),
            acks: 0,
            handed: 0,
            had: false,
        };
        vec![State { now: 0, leases: Leases::new(TIMES), sides: vec![side; PROXIES] }]
    }

    fn actions(&self, state: &State, actions: &mut Vec<Action>) {
        if state.now < END {
            actions.push(Action::Tick);
        }
        for (n, side) in state.sides.iter().enumerate() {
            if side.connected && side.handed == 0 {
                actions.push(Action::Grant(n));
                if state.leases.held(&server(), &proxy(n)) > 0 {
                    actions.push(Action::Revoke(n));
                }
            }
            if !side.words.is_empty() && side.ended.is_none_or(|at| state.now <= at + TIMES.longest_pause) {
                actions.push(Action::Read(n));
            }
            if side.acks > 0 && side.connected {
                actions.push(Action::Ack(n));
            }
            actions.push(if side.connected { Action::Cut(n) } else { Action::Connect(n) });
        }
    }

    fn next_state(&self, before: &State, action: Action) -> Option<State> {
        let mut state = before.clone();
        let now = state.now;
        match action {
            Action::Tick => {
                state.now += 1;
                state.leases.expire(state.now);
                let now = state.now;
                for side in &mut state.sides {
                    if side.limit > 0 && side.until <= now {
                        side.earlier.push((side.limit, side.until + TIMES.longest_request));
                        (side.limit, side.until) = (0, 0);
                    }
                    side.earlier.retain(|(_, until)| now < *until);
                    if side.ended.is_some_and(|at| now > at + TIMES.longest_pause) {
                        side.words.clear();
                        side.ended = Some(0);
                    }
                }
            }
            Action::Grant(n) => {
                let units = state.leases.grant(now, &server(), &proxy(n), MOST, MOST);
                if units == 0 {
                    return None;
                }
                state.sides[n].words.push_back(units);
                state.sides[n].handed = 1;
                if self.forgets_unacknowledged {
                    state.leases.acknowledged(now, &proxy(n));
                }
            }
            Action::Revoke(n) => {
                state.sides[n].words.push_back(0);
                state.sides[n].handed = 2;
            }
            Action::Read(n) => {
                state.sides[n].read(now);
                if state.sides[n].connected {
                    state.sides[n].acks = 1;
                }
            }
            Action::Ack(n) => {
                let side = &mut state.sides[n];
                side.acks = 0;
                let was = std::mem::replace(&mut side.handed, 0);
                match was {
                    1 => state.leases.acknowledged(now, &proxy(n)),
                    2 => state.leases.released(now, &server(), &proxy(n)),
                    _ => {}
                }
            }
            Action::Cut(n) => {
                let side = &mut state.sides[n];
                side.connected = false;
                side.ended = Some(now);
                (side.acks, side.handed) = (0, 0);
                state.leases.stream_ended(now, &proxy(n));
            }
            // It begins a new stream; what lay in the old one is dropped with it.
            Action::Connect(n) => {
                let side = &mut state.sides[n];
                side.connected = true;
                side.ended = None;
                side.words.clear();
            }
        }
        Some(state)
    }

    fn properties(&self) -> Vec<Property<Self>> {
        vec![
            Property::always("no more is out than may be", |_, state: &State| {
                state.sides.iter().map(|s| s.out(state.now)).sum::<u32>() <= MOST
            }),
            Property::sometimes("all of it is used", |_, state: &State| {
                state.sides.iter().all(|s| s.out(state.now) == MOST / 2)
                    || state.sides[0].out(state.now) == MOST
            }),
            Property::sometimes("a lease moves to the other proxy", |_, state: &State| {
                state.sides[0].had && state.sides[1].limit == MOST
            }),
        ]
    }
}

#[test]
fn whatever_the_order_no_more_is_out_than_may_be() {
    let checker = Case { forgets_unacknowledged: false }.checker().threads(2).spawn_bfs().join();
    checker.assert_properties();
    eprintln!("{} states", checker.unique_state_count());
    assert!(checker.unique_state_count() > 10_000, "{} states", checker.unique_state_count());
}

/// The check sees the fault that it is there for: a time to live counted from when word was sent.
#[test]
fn a_time_to_live_counted_from_the_sending_is_found_out() {
    let checker = Case { forgets_unacknowledged: true }.checker().threads(2).spawn_bfs().join();
    assert!(checker.discovery("no more is out than may be").is_some());
}
