//! Work that other aggregators have outstanding at a server, estimated from the load reports in its answers.

use crate::api::Millis;
use crate::choice::{Aggregator, OVERDUE_FACTOR, SMOOTHING};
use crate::state::{InFlight, Server};

/// Rate at which reported work drains, as a share of the server's pace: new work of others replaces about
/// half of the work that is finished.
const DRAIN_RATE: f64 = 0.5;
/// Lower bound on the pace that reported work drains by, so that a server which looks very fast does not
/// drain at once.
const MIN_PACE: f64 = 0.2;

/// Estimated work of others at one server. Reports are late and may be wrong, so the estimate drains with
/// time.
#[derive(Clone, Copy, Debug)]
pub(crate) struct OthersLoad {
    work: Millis,
    since: Millis,
    /// Number of requests that the server held according to its latest report; NaN before the first one.
    reported_requests: f64,
}

impl OthersLoad {
    /// The estimate before any report: no work of others.
    pub(crate) fn unknown() -> Self {
        OthersLoad { work: 0.0, since: f64::NEG_INFINITY, reported_requests: f64::NAN }
    }

    /// Records the number of requests that a report says the server holds. Returns false if the report before
    /// said the same: servers put one report into many answers, and a repeated one is as old as the first, so
    /// that its work goes on draining.
    pub(crate) fn is_new(&mut self, reported_requests: f64) -> bool {
        std::mem::replace(&mut self.reported_requests, reported_requests) != reported_requests
    }

    /// Sets the work of others at the server as of `now`.
    pub(crate) fn set(&mut self, work: Millis, now: Millis) {
        (self.work, self.since) = (work, now);
    }

    /// The part of that work that is left, at a server of this pace.
    pub(crate) fn remaining(&self, now: Millis, pace: f64) -> Millis {
        let drained = DRAIN_RATE * (now - self.since) / pace.max(MIN_PACE);
        (self.work - drained).max(0.0)
    }
}

impl Aggregator {
    /// Derives the work of others at a server from the number of requests in a load report. The report is
    /// late and may be wrong: the derived work is limited to what takes a few aims, drains with time, and is
    /// no basis for any rule.
    pub(crate) fn record_reported_load(&mut self, attempt: &InFlight, load: Option<f64>) {
        let Some(reported_requests) = load else { return };
        let max_work = OVERDUE_FACTOR * self.shortest_aim / self.fleet_pace.max(SMOOTHING);
        let server = &mut self.fleet.servers[attempt.server];
        if server.others.is_new(reported_requests) {
            let others = (reported_requests - server.in_flight.len() as f64).max(0.0);
            server.others.set((others * self.learned[attempt.class].work.unit()).min(max_work), self.now);
        }
    }

    /// Remaining work of others at a server, according to its reports.
    pub(crate) fn others_work(&self, server: &Server) -> Millis {
        server.others.remaining(self.now, server.pace.measured())
    }
}
