//! The pace of all that a broker does to others while it comes back.
//!
//! What counts is the sum over the fleet: a hundred brokers that each do one thing at their start do a hundred at once.
//! Each may do one thing of a kind in the time in which the fleet may do as many as it has brokers, and its first one
//! comes at a moment within that time that its seed draws. So the sum is level from the first moment, and no broker has to
//! hear from another for it.

use plover_model::time::{MILLI, Micros};

/// What is done to others.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Kind {
    /// A call to discovery for the list.
    List,
    /// A new connection to a data server.
    Connection,
    /// A probe of a data server.
    Probe,
    /// Asking another broker for what it knows.
    State,
}

/// How many kinds there are.
const KINDS: usize = 4;

/// What the whole fleet may do in a second, by kind; each at least 1.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Rates {
    /// Calls for the list.
    pub lists: u32,
    /// New connections, to all servers together.
    pub connections: u32,
    /// Probes, likewise.
    pub probes: u32,
    /// Askings for state.
    pub states: u32,
}

impl Rates {
    fn of(&self, kind: Kind) -> u64 {
        let rate = match kind {
            Kind::List => self.lists,
            Kind::Connection => self.connections,
            Kind::Probe => self.probes,
            Kind::State => self.states,
        };
        u64::from(rate.max(1))
    }
}

/// One broker's part of the fleet's pace.
#[derive(Clone, Debug)]
pub struct Budget {
    rates: Rates,
    fleet: u64,
    /// When the next one of each kind may be done.
    next: [Micros; KINDS],
}

impl Budget {
    /// For a broker that starts now in a fleet of so many, itself included. `seed` is its own.
    pub fn new(now: Micros, seed: u64, fleet: usize, rates: Rates) -> Self {
        let mut budget = Budget { rates, fleet: fleet.max(1) as u64, next: [now; KINDS] };
        let mut state = seed;
        for kind in [Kind::List, Kind::Connection, Kind::Probe, Kind::State] {
            let span = budget.span(kind);
            budget.next[kind as usize] = now + draw(&mut state) % span.max(1);
        }
        budget
    }

    /// Time between two things of a kind.
    fn span(&self, kind: Kind) -> Micros {
        1000 * MILLI * self.fleet / self.rates.of(kind)
    }

    /// The fleet has so many brokers, itself included: what it may do from its next time on follows.
    pub fn set_fleet(&mut self, fleet: usize) {
        self.fleet = fleet.max(1) as u64;
    }

    /// Takes the room to do one thing. The error is when there will be room.
    pub fn take(&mut self, now: Micros, kind: Kind) -> Result<(), Micros> {
        let next = self.next[kind as usize];
        if now < next {
            return Err(next);
        }
        // What was not used is not saved up: the fleet would spend it all at once.
        self.next[kind as usize] = now + self.span(kind);
        Ok(())
    }

    /// It was refused: the next one of the kind comes after twice the usual time.
    pub fn refused(&mut self, now: Micros, kind: Kind) {
        let later = now + 2 * self.span(kind);
        let next = &mut self.next[kind as usize];
        *next = later.max(*next);
    }
}

/// Where in a time over which brokers are spread the one with this seed has its turn, from 0 to below 1.
pub fn turn_of(seed: u64) -> f64 {
    let mut state = !seed;
    (draw(&mut state) >> 11) as f64 / (1u64 << 53) as f64
}

/// The next draw of a seed (SplitMix64, whose every state gives a different number).
fn draw(state: &mut u64) -> u64 {
    *state = state.wrapping_add(0x9e37_79b9_7f4a_7c15);
    let mut z = *state;
    z = (z ^ (z >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    z = (z ^ (z >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    z ^ (z >> 31)
}
