//! The watch, as states.
//!
//! | state | entered | left | bound |
//! | --- | --- | --- | --- |
//! | resting | at the start; when a connection ended or its call is overdue | time; an overdue answer | `back_off.1`, or `paced`; after an answer `idle_gap` |
//! | asking | a rest is over: a connection is made and its first call goes out | a whole answer; failure | `attempt`; `outage_attempt` after ten failures |
//! | waiting | a further call goes out on a connection that has answered | a whole answer; failure | the call's wait, the last answer's lateness and `late`; no later than `stale` |
//! | pausing | an answer is whole and its connection goes on | time | `gap`, or `idle_gap` |
//!
//! The states are those of the newest connection. Where the bound of asking or waiting passes, its call is overdue: discovery may be
//! silent or only slow, and nothing tells which. So the next attempt goes over a new connection, and the overdue call is listened
//! to for as long as the protocol lets discovery be late. Whichever connection answers first takes the further calls; what the
//! others still say is taken where it is newer, and they are closed with it.
//!
//! An answer that tells nothing new when the wait is over, however late, shows that the list was current when the wait was over.
//! Any other one shows it for the moment of its call. `stale` counts from there.
//!
//! All watches of a fleet hear of a change, or of a discovery that is back, in one moment. So that they do not call in one
//! moment for ever after, the first long wait after a short one is drawn between the two.

use crate::connections::{ConnectionId, Connections, Outstanding};
use crate::times::Times;
use plover_model::time::Micros;

/// Answers in a row that cannot be read before the whole list is asked for: of changes that cannot be read, the whole list
/// may be one that can.
const UNREADABLE: u32 = 2;

/// Where a watch is.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum State {
    /// There is no connection.
    Resting {
        /// The next attempt begins then.
        until: Micros,
        /// Whether the last connection ended after a whole answer, as a server may end it.
        goes_on: bool,
    },
    /// A new connection, whose first answer has not begun.
    Asking {
        /// Its call is overdue then.
        until: Micros,
    },
    /// A call is out on a connection that has answered before.
    Waiting {
        /// It is overdue then.
        until: Micros,
    },
    /// Between two calls on one connection.
    Pausing {
        /// The next goes out then.
        until: Micros,
    },
}

/// What is to be asked.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Call {
    /// News since this version; `None`: the whole list.
    pub index: Option<u64>,
    /// How long discovery may wait for news.
    pub wait: Micros,
}

/// What is to be done. After each order and each event, a connection that the watch no longer holds ([`Watch::holds`]) is to be
/// closed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Order {
    /// Make a new connection, and say so with [`Watch::connected`].
    Connect(ConnectionId),
    /// Send this call on the connection.
    Call(ConnectionId, Call),
    /// Nothing: its call is overdue and goes on being listened to.
    Overdue(ConnectionId),
    /// Close it: its call was not answered in all the time that the protocol gives.
    Close(ConnectionId),
}

/// A whole answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Heard {
    /// The list's version.
    pub rev: u64,
    /// Whether it holds the whole list, or changes.
    pub tells: bool,
    /// Whether its connection ends with it.
    pub closes: bool,
}

/// How an attempt or a call failed, other than by silence.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Fault {
    /// The connection did not come up, or broke.
    Broken,
    /// A status that is no success.
    Status(u16),
    /// Something that is no list.
    Unreadable,
}

/// The one watch of the list.
#[derive(Clone, Debug)]
pub struct Watch {
    times: Times,
    state: State,
    connections: Connections,
    /// The connection of the state; `None`: it rests.
    newest: Option<ConnectionId>,
    /// The version of the list that was told last.
    index: Option<u64>,
    /// Whether the next call asks for the whole list.
    wants_whole: bool,
    /// The list is known to have been current until then.
    current_until: Micros,
    /// How much later than at the end of its wait the last answer came.
    lateness: Micros,
    /// When the last attempt began or the last call went out.
    last_step: Micros,
    /// The wait of the last call that was answered.
    wait: Micros,
    /// Since the last answer.
    failures: u32,
    /// Whether the last answer came over a connection that may take a call with the long wait.
    proven: bool,
    /// Whether the last connection has answered at all.
    answered: bool,
    /// Whether no attempt was made yet by the process.
    fresh: bool,
    /// Since when it rests.
    rested: Micros,
    unreadable: u32,
    dice: u64,
}

impl Watch {
    /// A watch that begins now, with news since this version; `None`: with the whole list.
    pub fn new(now: Micros, times: Times, index: Option<u64>, seed: u64) -> Self {
        Watch {
            times,
            state: State::Resting { until: now, goes_on: false },
            connections: Connections::default(),
            newest: None,
            index,
            wants_whole: index.is_none(),
            current_until: now,
            lateness: 0,
            last_step: now,
            wait: 0,
            failures: 0,
            proven: false,
            answered: false,
            fresh: true,
            rested: now,
            unreadable: 0,
            dice: seed,
        }
    }

    /// One that takes the place of another, and begins with the whole list.
    pub fn moved(now: Micros, times: Times, seed: u64) -> Self {
        Watch { fresh: false, ..Watch::new(now, times, None, seed) }
    }

    /// Where it is.
    pub fn state(&self) -> State {
        self.state
    }

    /// Whether this connection is to stay open.
    pub fn holds(&self, id: ConnectionId) -> bool {
        self.connections.holds(id)
    }

    /// When there is something to do if nothing comes before.
    pub fn due(&self) -> Micros {
        self.state_due().min(self.connections.next_expiry())
    }

    fn state_due(&self) -> Micros {
        match self.state {
            State::Resting { until, .. } | State::Asking { until } | State::Pausing { until } => until,
            State::Waiting { until } => until.min(self.current_until + self.times.stale),
        }
    }

    /// What is to be done now, if anything.
    pub fn turn(&mut self, now: Micros) -> Option<Order> {
        if now >= self.state_due() {
            return Some(self.state_turn(now));
        }
        self.connections.expire(now).map(Order::Close)
    }

    fn state_turn(&mut self, now: Micros) -> Order {
        match (self.state, self.newest) {
            (State::Pausing { .. }, Some(id)) => Order::Call(id, self.further_call(id, now)),
            (State::Asking { .. } | State::Waiting { .. }, Some(id)) => {
                self.fail(now);
                Order::Overdue(id)
            }
            _ => Order::Connect(self.connect(now)),
        }
    }

    fn connect(&mut self, now: Micros) -> ConnectionId {
        (self.proven, self.answered, self.fresh) = (false, false, false);
        self.last_step = now;
        let id = self.connections.open(now + self.times.taken_after(self.failures));
        self.newest = Some(id);
        self.state = State::Asking { until: now + self.times.attempt_after(self.failures) };
        id
    }

    fn further_call(&mut self, id: ConnectionId, now: Micros) -> Call {
        let long = self.times.wait_for(self.lateness);
        let wait = match (self.proven, self.wait <= self.times.first_wait) {
            (false, _) => self.times.first_wait,
            (true, false) => long,
            (true, true) => self.parted(long),
        };
        let call = self.call(id, now, wait);
        let answered_by = now + call.wait + self.lateness;
        self.state = State::Waiting { until: answered_by + self.times.late };
        if let Some(open) = self.connections.get_mut(id) {
            open.closes_at = now + call.wait + self.times.grace;
        }
        call
    }

    /// The connection is there: its first call. `None`: it came up too late, and is to be closed.
    pub fn connected(&mut self, id: ConnectionId, now: Micros) -> Option<Call> {
        if self.newest != Some(id) {
            self.connections.close(id);
            return None;
        }
        Some(self.call(id, now, self.times.first_wait))
    }

    /// Whether an attempt is due for which the fleet's pace has to have room.
    pub fn attempt_due(&self, now: Micros) -> bool {
        matches!(self.state, State::Resting { until, goes_on: false } if until <= now)
    }

    /// The fleet has no room for an attempt before `next`. True: there is to be none yet. Only the process's first one is put
    /// off for as long as that takes, and one that comes after an answer is not put off: what is missed meanwhile counts as
    /// told.
    pub fn put_off(&mut self, now: Micros, next: Micros) -> bool {
        let State::Resting { until, goes_on: false } = self.state else { return false };
        let most = match (self.fresh, self.answered) {
            (true, _) => Micros::MAX,
            (false, true) => self.rested,
            (false, false) => self.rested + self.times.paced,
        };
        let until = until.max(next.min(most));
        self.state = State::Resting { until, goes_on: false };
        now < until
    }

    /// An answer is whole. False: it is older than what has been told since its call, and is not to be taken.
    pub fn answered(&mut self, id: ConnectionId, now: Micros, heard: Heard) -> bool {
        let Some(open) = self.connections.close(id) else { return false };
        let Some(outstanding) = open.outstanding else { return false };
        let older = self.index.is_some_and(|index| heard.rev < index);
        if open.superseded && (older || self.index == Some(heard.rev) && heard.tells) {
            return false;
        }
        let changed = heard.tells && (self.wants_whole || self.index != Some(heard.rev));
        let news = changed && (self.wants_whole || !older);
        self.learn(now, heard, outstanding, changed);
        if older {
            // Versions began anew: what is still on its way may be of those before.
            self.connections.close_all();
        }
        if !open.superseded {
            self.go_on(id, now, heard, outstanding, news, changed);
        }
        true
    }

    /// What an answer shows of discovery and of the list.
    fn learn(&mut self, now: Micros, heard: Heard, outstanding: Outstanding, changed: bool) {
        let Outstanding { call, at } = outstanding;
        let wait_over = at + call.wait;
        let held = now + self.times.gap >= wait_over;
        let current_until = if changed || !held { at } else { wait_over };
        self.current_until = self.current_until.max(current_until);
        if now >= wait_over {
            self.lateness = (now - wait_over).min(self.times.grace);
        }
        if call.index.is_none() {
            self.wants_whole = false;
        }
        self.index = Some(heard.rev);
        (self.failures, self.unreadable) = (0, 0);
    }

    /// The connection that has answered takes the further calls, unless it ends.
    fn go_on(
        &mut self,
        id: ConnectionId,
        now: Micros,
        heard: Heard,
        outstanding: Outstanding,
        news: bool,
        changed: bool,
    ) {
        let Outstanding { call, at } = outstanding;
        let took = now - at;
        let in_time = took <= call.wait + self.times.prompt;
        // One that holds no call for long is not to be asked shortly for ever.
        let held = !self.proven || took + self.times.gap >= call.wait;
        let early = took < call.wait / 2;
        let idle = !news && (early || !in_time && !self.proven);
        let gap = if idle { self.times.idle_gap } else { self.times.gap };
        let until = now.max(at + gap).max(self.last_step + self.times.gap);
        self.connections.supersede_all();
        self.proven = held && !changed;
        (self.answered, self.wait) = (true, call.wait);
        if heard.closes {
            self.newest = None;
            self.rested = now;
            self.state = State::Resting { until, goes_on: true };
        } else {
            self.newest = Some(id);
            self.connections.keep(id);
            self.state = State::Pausing { until };
        }
    }

    /// The attempt or the call on this connection has failed, and the connection has ended.
    pub fn failed(&mut self, id: ConnectionId, now: Micros, fault: Fault) {
        let Some(open) = self.connections.close(id) else { return };
        if !open.superseded {
            self.note_fault(fault);
        }
        if self.newest == Some(id) {
            self.fail(now);
        }
    }

    fn note_fault(&mut self, fault: Fault) {
        match fault {
            // It may not know our version, as after a loss of its own data. That it has no time says nothing of the kind.
            Fault::Status(400..=428 | 430..=499) => self.wants_whole = true,
            Fault::Unreadable => {
                self.unreadable += 1;
                if self.unreadable >= UNREADABLE {
                    (self.wants_whole, self.unreadable) = (true, 0);
                }
            }
            Fault::Broken | Fault::Status(_) => {}
        }
    }

    /// The next call asks for the whole list.
    pub fn want_whole(&mut self) {
        self.wants_whole = true;
    }

    fn call(&mut self, id: ConnectionId, now: Micros, wait: Micros) -> Call {
        let index = if self.wants_whole { None } else { self.index };
        // Nobody waits for the whole list.
        let wait = if index.is_some() { wait } else { 0 };
        let call = Call { index, wait };
        self.last_step = now;
        if let Some(open) = self.connections.get_mut(id) {
            open.outstanding = Some(Outstanding { call, at: now });
        }
        call
    }

    fn fail(&mut self, now: Micros) {
        let (first, longest) = self.times.back_off;
        let step = first.saturating_mul(1 << self.failures.min(16)).min(longest);
        self.failures = self.failures.saturating_add(1);
        // Between half and the whole of it: brokers that lost one discovery together do not come back together.
        let rest = step - self.draw() % (step / 2 + 1);
        self.newest = None;
        self.rested = now;
        self.state = State::Resting { until: now + rest, goes_on: false };
    }

    /// The first long wait after a short one, anywhere between the two. A change is told to all watches of a fleet in one
    /// moment: with the same wait they would call in one moment from then on.
    fn parted(&mut self, long: Micros) -> Micros {
        let short = self.times.first_wait;
        long - self.draw() % (long.saturating_sub(short) + 1)
    }

    /// The next draw of the seed (SplitMix64).
    fn draw(&mut self) -> u64 {
        self.dice = self.dice.wrapping_add(0x9e37_79b9_7f4a_7c15);
        let z = (self.dice ^ (self.dice >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
        let z = (z ^ (z >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
        z ^ (z >> 31)
    }
}
