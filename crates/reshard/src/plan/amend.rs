//! Another plan for one that runs.

use super::compile::compile;
use super::entry::{Entry, Refused};
use super::goals::{Plan, Refusal};
use super::progress::Progress;
use plover_model::time::Micros;
use plover_ranges::Fleet;
use thiserror::Error;

/// Why an amendment is refused.
#[derive(Clone, Debug, PartialEq, Error)]
pub enum AmendRefused {
    /// Its state does not allow one.
    #[error(transparent)]
    State(#[from] Refused),
    /// The plan cannot be kept from here on.
    #[error("{} refusals", .0.len())]
    Plan(Vec<Refusal>),
}

impl Progress {
    /// The entry by which a plan that runs is amended: what is done stays done, the rest is ordered anew from the map
    /// by now, which the new plan names. Refused while a move is under way.
    pub fn amendment(&self, plan: &Plan, fleet: &Fleet, at: Micros) -> Result<Entry, AmendRefused> {
        if let Some(step) = self.in_flight().next() {
            return Err(Refused::UnderWay(step).into());
        }
        let graph = compile(plan, &self.map, fleet, Some(&self.graph.map)).map_err(AmendRefused::Plan)?;
        Ok(Entry::Amended { at, graph: Box::new(graph) })
    }
}
