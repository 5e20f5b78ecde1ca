//! What others have out at one server, as its own reports show it.

use crate::api::Millis;
use crate::choice::{Aggregator, OVERDUE_FACTOR, SMOOTHING};
use crate::state::{InFlight, Server};

/// Reported work drains by this share of the server's pace: about half of what leaves is made up by new work.
const DRAIN: f64 = 0.5;
/// A server is taken for no faster than this where its report drains.
const LEAST_PACE: f64 = 0.2;

/// Work of others at a server. Reports are late and may be untrue: what they tell drains with time.
#[derive(Clone, Copy, Debug)]
pub(crate) struct OthersLoad {
    work: Millis,
    since: Millis,
    /// What the newest report said that the server holds.
    held: f64,
}

impl OthersLoad {
    /// Before any report.
    pub(crate) fn unknown() -> Self {
        OthersLoad { work: 0.0, since: f64::NEG_INFINITY, held: f64::NAN }
    }

    /// A report says that the server holds so many requests. Servers put one report into many answers: a repeat is as old as
    /// its first, and drains on. False: it is one.
    pub(crate) fn is_new(&mut self, held: f64) -> bool {
        std::mem::replace(&mut self.held, held) != held
    }

    /// So much work of others is there now.
    pub(crate) fn set(&mut self, work: Millis, now: Millis) {
        (self.work, self.since) = (work, now);
    }

    /// What is left of it, at a server of this pace.
    pub(crate) fn remaining(&self, now: Millis, pace: f64) -> Millis {
        let drained = DRAIN * (now - self.since) / pace.max(LEAST_PACE);
        (self.work - drained).max(0.0)
    }
}

impl Aggregator {
    /// A server's report of what it holds shows what others have out there. It is late and may be untrue: it
    /// fills a few aims at most, drains with time, and no rule rests on it.
    pub(crate) fn record_reported_load(&mut self, f: &InFlight, load: Option<f64>) {
        let Some(held) = load else { return };
        let most = OVERDUE_FACTOR * self.shortest_aim / self.fleet_pace.max(SMOOTHING);
        let s = &mut self.fleet.servers[f.server];
        if s.others.is_new(held) {
            let others = (held - s.in_flight.len() as f64).max(0.0);
            s.others.set((others * self.learned[f.class].work.unit()).min(most), self.now);
        }
    }

    /// Work of others at a server, as reported.
    pub(crate) fn others_work(&self, s: &Server) -> Millis {
        s.others.remaining(self.now, s.pace.measured())
    }
}
