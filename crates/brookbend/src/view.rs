//! The module's view of each server, for a caller that passes it on, and outcomes reported by other
//! processes.
//!
//! Reports update the same records as the module's own attempts; nothing is decided here.

use crate::api::*;
use crate::choice::Aggregator;
use crate::estimates;
use crate::refusals::Refusals;
use crate::state::{InFlight, Server};

/// Maximum number of attempts that one report counts for. Health depends on shares and on failures in a row:
/// further attempts would add no information, and would outweigh the reports of others.
const MAX_SAMPLES: u64 = 8;

/// State of one server as the module knows it.
#[derive(Clone, Debug, PartialEq)]
pub struct ServerView {
    /// Name of the server.
    pub node: NodeId,
    /// Index of the server's cell.
    pub cell: usize,
    /// Index of the server's zone; `None` if the list names none.
    pub zone: Option<usize>,
    /// State of the server in the list.
    pub state: NodeState,
    /// Time until which the server is not used because of failures or because it is full; `None` if it is
    /// used.
    pub ejected_until: Option<Millis>,
    /// Time at which the server started, if it may still be cold.
    pub cold_since: Option<Millis>,
    /// Time until an answer per unit of outstanding work, relative to the fleet: 1 is usual.
    pub pace: f64,
    /// Smoothed share of failures, from 0 to 1.
    pub errors: f64,
}

/// Outcomes that other processes saw at a server over some time, from a load report.
#[derive(Clone, Debug)]
pub struct OutcomeCounts {
    /// Name of the server.
    pub node: NodeId,
    /// Number of attempts that were served.
    pub served: u64,
    /// Number of attempts that ended in an error.
    pub errors: u64,
    /// Number of attempts that found no connection or lost it.
    pub lost: u64,
    /// Mean time of the served attempts in milliseconds; `None` if it was not reported.
    pub elapsed: Option<Millis>,
}

impl Aggregator {
    /// Returns all servers in the list, by name, except those that have been removed.
    pub fn views(&self, now: Millis) -> Vec<ServerView> {
        let fleet = &self.fleet;
        let view = |s: &Server| ServerView {
            node: s.node.clone(),
            cell: s.cell,
            zone: s.zone,
            state: s.state,
            ejected_until: (s.ejected_until > now).then_some(s.ejected_until),
            cold_since: s.cold_since.filter(|since| since + self.settings.cold.warm_after > now),
            pace: s.pace.rescaled() / self.fleet_rescaled.max(1e-9),
            errors: s.errors,
        };
        let servers = fleet.by_name.values().map(|i| &fleet.servers[*i]);
        servers.filter(|s| s.state != NodeState::Gone).map(view).collect()
    }

    /// Returns the number of servers in the list that have not been removed, and how many of these are
    /// ejected.
    pub fn server_counts(&self, now: Millis) -> (usize, usize) {
        let fleet = &self.fleet;
        let servers = fleet.by_name.values().map(|i| &fleet.servers[*i]);
        let named = servers.filter(|s| s.state != NodeState::Gone);
        named.fold((0, 0), |(all, ejected), s| (all + 1, ejected + usize::from(s.ejected_until > now)))
    }

    /// Whether the list names a server. Unlike [`Aggregator::views`] it stops at the first, so that its cost
    /// does not grow with the fleet.
    pub fn has_servers(&self) -> bool {
        self.fleet.by_name.values().any(|i| self.fleet.servers[*i].state != NodeState::Gone)
    }

    /// Returns the counts of queries refused on arrival, by cause.
    pub fn refusals(&self) -> Refusals {
        self.queries.refusals
    }

    /// Returns the number of servers of which records are kept.
    pub fn servers_known(&self) -> usize {
        self.fleet.servers.len()
    }

    /// Applies the outcomes that other processes saw since the last report, as a few attempts in the same
    /// proportion. Failures come first, so that the answers show that the server is up.
    pub fn report_outcomes(&mut self, now: Millis, class: ClassIndex, reports: &[OutcomeCounts]) {
        let Some(learned) = self.learned.get(class.0) else { return };
        let (work, scale) = (learned.work.unit().max(1.0), learned.work.scale());
        self.now = now;
        for r in reports {
            let Some(&server) = self.fleet.by_name.get(&r.node) else { continue };
            let all = r.served + r.errors + r.lost;
            let scaled = |n: u64| if all <= MAX_SAMPLES { n } else { (n * MAX_SAMPLES).div_ceil(all) };
            let usual = work * self.fleet_pace;
            let ends =
                [(Outcome::ConnectionLost, r.lost), (Outcome::Error, r.errors), (Outcome::Served, r.served)];
            for (outcome, n) in ends {
                for _ in 0..scaled(n) {
                    let elapsed = r.elapsed.unwrap_or(usual);
                    let sent = now - elapsed.min(usual);
                    let flight = InFlight {
                        server,
                        class: class.0,
                        work: 0.0,
                        queued: work,
                        scale,
                        sent,
                        busy: self.overhead.busy,
                        connected: None,
                        forecast: usual,
                        expected: usual,
                    };
                    self.record_outcome(&flight, outcome, elapsed);
                }
            }
        }
        estimates::rescale(&mut self.learned, &mut self.fleet.servers);
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    fn aggregator() -> Aggregator {
        let class = Class {
            aim: 1000.0,
            give_up: 4000.0,
            worth: 1.0,
            late_worth: 0.0,
            semantics: Semantics::Safe,
            need: 1.0,
            floor: 1.0,
            partial_earns: 0.0,
            second_step: false,
        };
        let settings = Settings {
            classes: vec![class],
            tenants: vec![],
            aggregators: 1,
            zone: None,
            over_share_worth: 1.0,
            worth_by_work: false,
            clients_mark_retries: false,
            cells: 2,
            reach: 1,
            shards: 2,
            batch: 4,
            call_work: 1.0,
            max_attempts: 4,
            hedging: false,
            cancel: true,
            max_retry_after: None,
            tick: 5.0,
            list: ListSource::Pushed,
            list_deadline: 10_000.0,
            budget: None,
            cold: ColdRule {
                initial_capacity: 0.2,
                warm_after: 10_000.0,
                overload_factor: 2.5,
                overload_time: 1000.0,
            },
        };
        let mut aggregator = Aggregator::new(settings, 7);
        let member = |n: usize, state, started| Member {
            node: NodeId(format!("s{n}").into()),
            cell: n % 2,
            state,
            zone: Some(n),
            started,
        };
        let members = vec![
            member(0, NodeState::Serving, None),
            member(1, NodeState::Serving, Some(100.0)),
            member(2, NodeState::Draining, None),
            member(3, NodeState::Gone, None),
        ];
        aggregator.on_batch(200.0, vec![Event::List { kind: ListKind::Complete, members }]);
        aggregator
    }

    fn counts(n: usize, served: u64, errors: u64, lost: u64) -> OutcomeCounts {
        OutcomeCounts { node: NodeId(format!("s{n}").into()), served, errors, lost, elapsed: Some(10.0) }
    }

    #[test]
    fn views_follow_the_list_and_the_clock() {
        let aggregator = aggregator();
        let seen: Vec<_> =
            aggregator.views(200.0).into_iter().map(|v| (v.cell, v.state, v.cold_since)).collect();
        let expected = [
            (0, NodeState::Serving, None),
            (1, NodeState::Serving, Some(100.0)),
            (0, NodeState::Draining, None),
        ];
        assert_eq!(seen, expected);
        assert_eq!(aggregator.views(10_100.0)[1].cold_since, None, "it is warm by now");
        assert_eq!(aggregator.server_counts(200.0), (3, 0));
    }

    #[test]
    fn reported_outcomes_eject_a_server_and_show_its_recovery() {
        let mut aggregator = aggregator();
        let class = ClassIndex(0);
        aggregator.report_outcomes(
            1000.0,
            class,
            &[counts(0, 0, 500, 0), counts(1, 500, 1, 0), counts(9, 0, 5, 0)],
        );
        let views = aggregator.views(1001.0);
        assert!(views[0].ejected_until.is_some() && views[1].ejected_until.is_none(), "{views:?}");
        assert!(views[0].errors > 0.4 && views[1].errors < 0.2, "{views:?}");
        assert_eq!(aggregator.server_counts(1001.0), (3, 1));
        aggregator.report_outcomes(9000.0, class, &[counts(0, 500, 0, 0)]);
        assert!(aggregator.views(9001.0)[0].errors < 0.2);
        aggregator.report_outcomes(9002.0, ClassIndex(7), &[counts(0, 1, 1, 1)]);
    }
}
