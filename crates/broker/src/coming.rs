//! How the broker comes back: see `plover_recovery`, which decides it.

use crate::turns::Broker;
use plover_model::time::{MILLI, Micros};
use plover_operator_file::ComeBack;
use plover_ops::{Effect, Stage};
use plover_recovery::{Budget, Coming, Phase, Rates, Times, turn_of};
use tracing::info;

/// A way back that begins now.
pub(crate) fn begin(now: Micros, set: ComeBack, seed: u64) -> Coming {
    let times = Times { ask_for: set.ask, spread: set.spread, part_for: set.part };
    Coming::new(now, times, turn_of(seed))
}

/// The pace of calls for the list, from zero on; the other kinds are not paced yet.
pub(crate) fn budget(set: ComeBack, seed: u64) -> Budget {
    let unpaced = u32::MAX;
    let rates = Rates { lists: set.lists, connections: unpaced, probes: unpaced, states: unpaced };
    Budget::new(0, seed, set.fleet, rates)
}

impl Broker {
    /// Moves on where its time has come or something was heard, and opens the fronts with that.
    pub(crate) fn come_back(&mut self, now: Micros) {
        let remembered = self.core.census(now).0 > 0;
        while let Some(change) = self.coming.as_mut().and_then(|coming| coming.turn(now, remembered)) {
            let (from, took_ms) = (change.from, change.took / MILLI);
            // An event has one line a second, and phases may be shorter.
            match self.coming.as_ref().map(Coming::phase) {
                Some(Phase::Asking { .. }) => info!(name: "coming_back_asking", from),
                Some(Phase::Listed { remembered, .. }) => {
                    info!(name: "coming_back_listed", from, took_ms, remembered);
                }
                Some(Phase::Part { .. }) => info!(name: "coming_back_part", from, took_ms),
                Some(Phase::Full) => info!(name: "coming_back_full", from, took_ms),
                Some(Phase::Nothing) | None => {}
            }
            if self.life.is_ready() {
                self.go(Effect::Go(Stage::Serving));
            }
        }
    }
}
