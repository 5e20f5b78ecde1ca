//! What others have out at one server, as its own reports show it.

use crate::api::Ms;

/// Reported work drains by this share of the server's pace: about half of what leaves is made up by new work.
const DRAIN: f64 = 0.5;
/// A server is taken for no faster than this where its report drains.
const LEAST_PACE: f64 = 0.2;

/// Work of others at a server. Reports are late and may be untrue: what they tell drains with time.
#[derive(Clone, Copy, Debug)]
pub(crate) struct OthersLoad {
    work: Ms,
    since: Ms,
    /// What the newest report said that the server holds.
    held: f64,
}

impl OthersLoad {
    /// Before any report.
    pub(crate) fn none() -> Self {
        OthersLoad { work: 0.0, since: f64::NEG_INFINITY, held: f64::NAN }
    }

    /// A report says that the server holds so many requests. Servers put one report into many answers: a repeat is as old as
    /// its first, and drains on. False: it is one.
    pub(crate) fn is_new(&mut self, held: f64) -> bool {
        std::mem::replace(&mut self.held, held) != held
    }

    /// So much work of others is there now.
    pub(crate) fn set(&mut self, work: Ms, now: Ms) {
        (self.work, self.since) = (work, now);
    }

    /// What is left of it, at a server of this pace.
    pub(crate) fn at(&self, now: Ms, pace: f64) -> Ms {
        let drained = DRAIN * (now - self.since) / pace.max(LEAST_PACE);
        (self.work - drained).max(0.0)
    }
}
