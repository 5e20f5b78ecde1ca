//! What one process has learned of servers and classes, for a process that takes over. Times are ages and
//! remaining waits, so that they mean the same on another clock. Nothing is decided here.

use crate::api::*;
use crate::choice::Aggregator;
use crate::estimates::{Pace, WorkEstimate};
use crate::state::Server;
use serde::{Deserialize, Serialize};

/// Everything that a process has learned.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Snapshot {
    /// Revision of the server list that the snapshot is based on.
    pub rev: u64,
    /// Time until an answer per unit of work, over the fleet.
    pub fleet_pace: f64,
    /// Work served by each warm server per millisecond.
    pub served_rate: f64,
    /// Estimates of each server.
    pub servers: Vec<ServerSnapshot>,
    /// Estimates of each class.
    pub classes: Vec<ClassSnapshot>,
}

/// What is known of a server. Times are in milliseconds.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct ServerSnapshot {
    /// Name of the server.
    pub name: String,
    /// Whether the list says that the server drains or has been removed.
    #[serde(rename = "leaving")]
    pub draining_or_gone: bool,
    /// Time until an answer per unit of work at the server.
    pub pace: f64,
    /// Time since the newest answer or time-out; `None` if there was none.
    #[serde(rename = "heard_ago")]
    pub last_response_age: Option<f64>,
    /// Time since the send of the newest attempt that was served; `None` if there is none.
    #[serde(rename = "served_ago")]
    pub last_served_sent_age: Option<f64>,
    /// Smoothed share of failures, from 0 to 1.
    pub errors: f64,
    /// Number of failures in a row.
    #[serde(rename = "failures")]
    pub consecutive_failures: u32,
    /// Remaining time of the server's ejection; 0 if it is not ejected.
    #[serde(rename = "shun_for")]
    pub ejected_for: f64,
    /// Remaining time for which the server counts as full; 0 if it does not.
    pub full_for: f64,
    /// Length of the last ejection, or of the last time for which the server counted as full; 0 once the
    /// server has answered.
    pub ejection: f64,
    /// Whether the server timed out or became unreachable, and has not answered since.
    #[serde(rename = "silent")]
    pub is_silent: bool,
    /// Work sent to the server while it is cold, within the rule's window: the age and the work of each send.
    pub cold_sent: Vec<(f64, f64)>,
}

/// What is known of a class. Times are in milliseconds.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct ClassSnapshot {
    /// Name of the class.
    pub name: String,
    /// Number of rows that a query touches.
    pub rows: f64,
    /// Work of a part.
    #[serde(rename = "unit")]
    pub work_per_part: f64,
    /// Time that queries take beyond their forecast.
    pub lag: f64,
    /// Time that the second step takes.
    #[serde(rename = "second")]
    pub second_step_time: f64,
}

impl Aggregator {
    /// Returns everything learned until now. Classes are in the order of their indices, without their names.
    pub fn snapshot(&self, now: Millis) -> Snapshot {
        let ago = |at: Millis| (at > f64::NEG_INFINITY).then_some((now - at).max(0.0));
        let remaining = |until: Millis| (until - now).max(0.0);
        let from = now - self.settings.cold.overload_time;
        let server = |s: &Server| ServerSnapshot {
            name: s.node.0.as_ref().to_owned(),
            draining_or_gone: s.state != NodeState::Serving,
            pace: s.pace.rescaled(),
            last_response_age: ago(s.last_response_at),
            last_served_sent_age: ago(s.last_served_sent),
            errors: s.errors,
            consecutive_failures: s.consecutive_failures,
            ejected_for: remaining(s.ejected_until),
            full_for: remaining(s.full_until),
            ejection: s.ejection,
            is_silent: s.is_silent,
            cold_sent: s
                .cold_sends
                .iter()
                .filter(|(t, _)| s.cold_since.is_some() && *t >= from)
                .map(|(t, w)| ((now - t).max(0.0), *w))
                .collect(),
        };
        let class = |l: &crate::state::ClassEstimates| ClassSnapshot {
            name: String::new(),
            rows: l.width.rows,
            work_per_part: l.work.unit(),
            lag: l.lag,
            second_step_time: l.second_step_time,
        };
        Snapshot {
            rev: 0,
            fleet_pace: self.fleet_rescaled,
            served_rate: self.queries.served_rate,
            servers: self.fleet.by_name.values().map(|i| server(&self.fleet.servers[*i])).collect(),
            classes: self.learned.iter().map(class).collect(),
        }
    }

    /// Applies a snapshot that another process took `age` ago. The estimates of the fleet and of the classes
    /// are replaced, and the higher served rate is kept. The estimates of a server apply only if it has had
    /// no answer, time-out or failure here; work sent to a cold server is added in any case. Numbers that are
    /// negative or not finite are ignored. Classes match by index; one without a name is skipped.
    pub fn restore(&mut self, now: Millis, age: Millis, r: &Snapshot) {
        let is_valid = |n: f64| n.is_finite() && n >= 0.0;
        let age = if is_valid(age) { age } else { 0.0 };
        if is_valid(r.fleet_pace) && r.fleet_pace > 0.0 {
            (self.fleet_pace, self.fleet_rescaled) = (r.fleet_pace, r.fleet_pace);
        }
        if is_valid(r.served_rate) {
            self.queries.served_rate = self.queries.served_rate.max(r.served_rate);
        }
        for (learned, known) in self.learned.iter_mut().zip(&r.classes).filter(|(_, k)| !k.name.is_empty()) {
            if [known.rows, known.work_per_part, known.lag, known.second_step_time].into_iter().all(is_valid)
                && known.work_per_part > 0.0
            {
                learned.width.rows = known.rows.max(1.0);
                learned.work = WorkEstimate::restored(known.work_per_part, self.settings.call_work);
                (learned.lag, learned.second_step_time) = (known.lag, known.second_step_time);
            }
        }
        let window = self.settings.cold.overload_time;
        for known in &r.servers {
            let Some(&i) = self.fleet.by_name.get(&NodeId(known.name.as_str().into())) else { continue };
            let s = &mut self.fleet.servers[i];
            for (ago, work) in known.cold_sent.iter().filter(|(ago, work)| is_valid(*ago) && is_valid(*work))
            {
                if ago + age < window && s.cold_since.is_some() {
                    s.cold_sends.push_back((now - ago - age, *work));
                }
            }
            let unknown = s.last_response_at == f64::NEG_INFINITY && s.consecutive_failures == 0;
            let values = [known.pace, known.errors, known.ejected_for, known.full_for, known.ejection];
            if !unknown || !values.into_iter().all(is_valid) || known.errors > 1.0 {
                continue;
            }
            let at =
                |ago: Option<f64>| ago.filter(|a| is_valid(*a)).map_or(f64::NEG_INFINITY, |a| now - a - age);
            s.pace = Pace::new(known.pace, known.pace);
            s.last_response_at = at(known.last_response_age);
            s.last_served_sent = at(known.last_served_sent_age);
            (s.errors, s.consecutive_failures, s.ejection) =
                (known.errors, known.consecutive_failures, known.ejection);
            s.ejected_until = now + (known.ejected_for - age);
            s.full_until = now + (known.full_for - age);
            s.is_silent = known.is_silent;
        }
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use crate::settings::{JsonObject, decode};

    fn aggregator() -> Aggregator {
        let settings: serde_json::Value =
            serde_json::from_str(include_str!("../../model/tests/settings.json")).unwrap();
        let site = decode(&JsonObject::new("settings", settings.as_object().unwrap())).unwrap();
        let mut aggregator = Aggregator::new(site.settings, 7);
        let member = |n: usize, state| Member {
            node: NodeId(format!("s{n}").into()),
            cell: 0,
            state,
            zone: None,
            started: (n == 2).then_some(900.0),
        };
        let members =
            vec![member(0, NodeState::Serving), member(1, NodeState::Serving), member(2, NodeState::Serving)];
        aggregator.on_batch(1000.0, vec![Event::List { kind: ListKind::Complete, members }]);
        aggregator
    }

    fn report_failures(aggregator: &mut Aggregator) {
        let bulk = |n: usize, served, errors| crate::view::OutcomeCounts {
            node: NodeId(format!("s{n}").into()),
            served,
            errors,
            lost: 0,
            elapsed: Some(10.0),
        };
        aggregator.report_outcomes(1000.0, ClassIndex(0), &[bulk(0, 8, 0), bulk(1, 0, 8)]);
    }

    /// The new process ejects the servers that the old one had ejected, until the same time, and knows which
    /// are healthy.
    #[test]
    fn a_restored_snapshot_keeps_ejections_and_health() {
        let mut old = aggregator();
        report_failures(&mut old);
        let mut snapshot = old.snapshot(1100.0);
        snapshot.classes.iter_mut().for_each(|c| c.name = "c".into());
        let mut new = aggregator();
        new.restore(5000.0, 50.0, &snapshot);
        let (was, is) = (old.views(1150.0), new.views(5000.0));
        let left = was[1].ejected_until.unwrap() - 1150.0;
        assert!((is[1].ejected_until.unwrap() - 5000.0 - left).abs() < 1e-6, "{was:?} {is:?}");
        assert!(is[0].ejected_until.is_none() && is[0].pace == was[0].pace && is[1].errors == was[1].errors);
    }

    /// Work sent to a cold server within the window counts for the process that takes over.
    #[test]
    fn the_allowance_of_a_cold_server_is_used_once() {
        let mut snapshot = aggregator().snapshot(1000.0);
        let cold = snapshot.servers.iter_mut().find(|s| s.name == "s2").unwrap();
        cold.cold_sent = vec![(100.0, 40.0), (950.0, 9.0), (f64::NAN, 1.0)];
        let mut new = aggregator();
        new.restore(1000.0, 100.0, &snapshot);
        let spent = &new.snapshot(1000.0).servers[2].cold_sent;
        assert_eq!(
            spent.as_slice(),
            [(200.0, 40.0)],
            "sends outside the window and invalid numbers are ignored"
        );
    }

    #[test]
    fn own_outcomes_precede_a_snapshot_and_invalid_numbers_are_ignored() {
        let mut old = aggregator();
        report_failures(&mut old);
        let mut snapshot = old.snapshot(1000.0);
        let mut new = aggregator();
        report_failures(&mut new);
        let before = new.snapshot(1200.0);
        new.restore(1200.0, 0.0, &Snapshot { fleet_pace: f64::NAN, served_rate: 0.0, ..snapshot.clone() });
        assert_eq!(new.snapshot(1200.0).servers, before.servers);
        snapshot.servers[1].pace = f64::INFINITY;
        snapshot.servers[0].name = "s9".into();
        let mut new = aggregator();
        let before = new.snapshot(1200.0).servers;
        new.restore(1200.0, 0.0, &snapshot);
        assert_eq!(new.snapshot(1200.0).servers, before);
    }
}
