//! How the broker comes back, as a part of its turns: see `plover_recovery`, which decides it.

use crate::extensions::{Action, Admission, Extension, TurnEvent, View};
use plover_model::query::QueryRequest;
use plover_model::time::{MILLI, Micros};
use plover_operator_file::ComeBack;
use plover_ops::Gauges;
use plover_recovery::{Budget, Change, Coming, Phase, Rates, Times, turn_of};
use tracing::info;

/// The pace of calls for the list, from zero on; the other kinds are not paced yet.
pub(crate) fn budget(set: ComeBack, seed: u64) -> Budget {
    let unpaced = u32::MAX;
    let rates = Rates { lists: set.lists, connections: unpaced, probes: unpaced, states: unpaced };
    Budget::new(0, seed, set.fleet, rates)
}

/// Its way back. `None`: it is not on one, since it went on from a process of its own that served.
pub(crate) struct WayBack(Option<Coming>);

impl WayBack {
    /// One that begins now.
    pub(crate) fn begin(now: Micros, set: ComeBack, seed: u64) -> Self {
        let times = Times { ask_for: set.ask, spread: set.spread, part_for: set.part };
        WayBack(Some(Coming::new(now, times, turn_of(seed))))
    }
}

impl Extension for WayBack {
    fn on_event(&mut self, now: Micros, what: TurnEvent<'_>, actions: &mut Vec<Action>) {
        let Some(coming) = &mut self.0 else { return };
        match what {
            TurnEvent::WholeList => coming.list_came(),
            TurnEvent::QueryEnded { answered } => coming.ended(now, answered),
            TurnEvent::InputTaken(view) => {
                let remembered = view.has_list();
                while let Some(change) = coming.turn(now, remembered) {
                    log(&change, coming.phase());
                    actions.push(Action::RecheckReadiness);
                }
            }
            // It is not coming back, and begins with what that process knew.
            TurnEvent::StateReceived => {
                self.0 = None;
                actions.push(Action::RecheckReadiness);
            }
            TurnEvent::Start
            | TurnEvent::Configurations { .. }
            | TurnEvent::TurnStart(_)
            | TurnEvent::Decided(_)
            | TurnEvent::Reconfigured { .. } => {}
        }
    }

    fn due(&self, _now: Micros, view: View<'_>) -> Option<Micros> {
        self.0.as_ref().and_then(|coming| coming.due(view.has_list()))
    }

    fn admit(&mut self, _now: Micros, _ask: &QueryRequest) -> Admission {
        if self.0.as_mut().is_none_or(Coming::admits) { Admission::Admitted } else { Admission::Refused }
    }

    fn not_ready_reason(&self) -> Option<String> {
        let coming = self.0.as_ref().filter(|coming| !coming.is_open())?;
        Some(format!("coming back: {}", coming.phase().name()))
    }

    fn report_gauges(&self, census: &mut Gauges) {
        census.recovery_phase = self.0.as_ref().map(|coming| coming.phase().place());
    }
}

/// An event has one line a second, and phases may be shorter: each has an event of its own.
fn log(change: &Change, phase: &Phase) {
    let (from, took_ms) = (change.from, change.took / MILLI);
    match phase {
        Phase::Asking { .. } => info!(name: "coming_back_asking", from),
        Phase::Listed { remembered, .. } => info!(name: "coming_back_listed", from, took_ms, remembered),
        Phase::Part { .. } => info!(name: "coming_back_part", from, took_ms),
        Phase::Full => info!(name: "coming_back_full", from, took_ms),
        Phase::Nothing => {}
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use crate::queries::Queries;
    use crate::rig::settings;
    use allocation_counter::measure;
    use plover_core::Core;
    use plover_model::server::{ListScope, NodeId, NodeState, ServerInfo};

    const TIMES: Times = Times { ask_for: 10, spread: 0, part_for: 100 };

    fn told(way: &mut WayBack, now: Micros, what: TurnEvent<'_>) -> usize {
        let mut actions = Vec::new();
        way.on_event(now, what, &mut actions);
        assert!(actions.iter().all(|want| matches!(want, Action::RecheckReadiness)));
        actions.len()
    }

    #[test]
    fn the_way_back_opens_with_the_list_and_heeds_how_queries_end() {
        let (core, queries) =
            (Core::new(settings(), 10, 1), Queries::new(&settings(), &Default::default(), 10, 1, 0));
        let view = View { core: &core, queries: &queries, rev: 0 };
        let mut way = WayBack(Some(Coming::new(0, TIMES, 0.0)));
        assert_eq!((told(&mut way, 1, TurnEvent::InputTaken(view)), way.due(1, view)), (1, None));
        assert_eq!(way.not_ready_reason(), Some("coming back: asking".to_owned()));
        told(&mut way, 2, TurnEvent::WholeList);
        assert_eq!((told(&mut way, 2, TurnEvent::InputTaken(view)), way.not_ready_reason()), (2, None));
        assert_eq!(way.due(2, view), Some(102));
        // A query that ended badly begins the wait anew.
        told(&mut way, 50, TurnEvent::QueryEnded { answered: false });
        assert_eq!(way.due(50, view), Some(150));
    }

    /// Each turn asks whether there is a list: that may not be a look at all servers, in any phase.
    #[test]
    fn a_turn_of_one_that_comes_back_costs_nothing_for_each_server() {
        let server = |n: u32| ServerInfo {
            name: NodeId(format!("s{n}").into()),
            cell: 0,
            state: NodeState::Serving,
            zone: None,
            started_at: None,
        };
        let mut core = Core::new(settings(), 10, 1);
        let queries = Queries::new(&settings(), &Default::default(), 10, 1, 0);
        let mut way = WayBack(Some(Coming::new(0, TIMES, 0.0)));
        told(&mut way, 1, TurnEvent::InputTaken(View { core: &core, queries: &queries, rev: 0 }));
        assert_eq!(way.due(1, View { core: &core, queries: &queries, rev: 0 }), None);
        core.update_servers(ListScope::Complete, (0..1000).map(server).collect());
        core.tick(2);
        let view = View { core: &core, queries: &queries, rev: 0 };
        let asking = measure(|| assert_eq!(way.due(2, view), Some(11)));
        told(&mut way, 20, TurnEvent::InputTaken(view));
        told(&mut way, 200, TurnEvent::InputTaken(view));
        assert_eq!(way.0.as_ref().map(|coming| coming.phase().name()), Some("full"));
        let full = measure(|| {
            assert_eq!((told(&mut way, 300, TurnEvent::InputTaken(view)), way.due(300, view)), (0, None))
        });
        assert_eq!((asking.count_total, full.count_total), (0, 0));
    }

    #[test]
    fn one_that_goes_on_from_another_process_is_not_coming_back() {
        let (core, queries) =
            (Core::new(settings(), 10, 1), Queries::new(&settings(), &Default::default(), 10, 1, 0));
        let view = View { core: &core, queries: &queries, rev: 0 };
        let mut way = WayBack(Some(Coming::new(0, TIMES, 0.0)));
        assert_eq!(
            (told(&mut way, 1, TurnEvent::StateReceived), way.not_ready_reason(), way.due(1, view)),
            (1, None, None)
        );
        let mut census = Gauges::default();
        way.report_gauges(&mut census);
        assert_eq!(census.recovery_phase, None);
    }
}
