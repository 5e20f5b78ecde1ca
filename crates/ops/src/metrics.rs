//! Metrics of this process. All counters start at 0 with the process.
//!
//! A query is counted once when it is accepted and once when it ends. The module that closes queries updates
//! the counters, so that the accepted queries always equal the ended queries of all results plus the
//! outstanding ones. This module alone defines the names of the metrics, which the platform prescribes.

use std::collections::BTreeMap;
use std::fmt::Write;

/// How a query ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum QueryResult {
    /// The query was served.
    Succeeded,
    /// The query was refused; the client can retry it safely.
    Declined,
    /// The query failed, or its client disconnected before the reply.
    Aborted,
}

/// Index of a class in [`Counters`]. It stays valid when the class is removed from the settings, and is
/// reused when the class is added again.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct ClassCounter(usize);

#[derive(Clone, Debug, Default, PartialEq, Eq)]
struct ClassCounts {
    accepted: u64,
    succeeded: u64,
    declined: u64,
    aborted: u64,
}

/// Metrics that [`Counters`] does not count itself; the caller sets them.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Gauges {
    /// Number of attempts that were written completely to data servers.
    pub forwards: u64,
    /// Number of data servers in the list.
    pub discovered: u64,
    /// Number of listed data servers that are currently ejected.
    pub ejected: u64,
    /// Number of configuration files applied after SIGHUP.
    pub reloads_applied: u64,
    /// Number of configuration files rejected after SIGHUP.
    pub reloads_rejected: u64,
    /// Phase of the ramp-up after a restart, from 0; `None` if the ramp-up is not configured.
    pub recovery_phase: Option<u64>,
    /// Number of queries that were refused and number that were served in part because too few connections to
    /// data servers were available; `None` if there were none of either.
    pub connection_shortages: Option<(u64, u64)>,
}

/// Counters of accepted, ended and outstanding queries, for each class that the settings have named since the
/// start of the process. Classes are never removed, so the memory grows with the number of distinct class
/// names.
#[derive(Clone, Debug, Default)]
pub struct Counters {
    counts: Vec<ClassCounts>,
    by_name: BTreeMap<String, ClassCounter>,
    outstanding: u64,
}

impl Counters {
    /// Returns the index of a class; adds the class with counts of 0 if it is new.
    pub fn class_counter(&mut self, class: &str) -> ClassCounter {
        if let Some(index) = self.by_name.get(class) {
            return *index;
        }
        let index = ClassCounter(self.counts.len());
        self.counts.push(ClassCounts::default());
        self.by_name.insert(class.to_owned(), index);
        index
    }

    /// Counts a query of this class as accepted and outstanding.
    pub fn count_accepted(&mut self, index: ClassCounter) {
        self.counts[index.0].accepted += 1;
        self.outstanding += 1;
    }

    /// Counts an accepted query of this class as ended.
    pub fn count_ended(&mut self, index: ClassCounter, result: QueryResult) {
        let counts = &mut self.counts[index.0];
        match result {
            QueryResult::Succeeded => counts.succeeded += 1,
            QueryResult::Declined => counts.declined += 1,
            QueryResult::Aborted => counts.aborted += 1,
        }
        debug_assert!(self.outstanding > 0, "a query ended that was not accepted");
        self.outstanding = self.outstanding.saturating_sub(1);
    }

    /// Returns the number of queries that were accepted and have not ended.
    pub fn outstanding(&self) -> u64 {
        self.outstanding
    }

    /// Returns whether the accepted queries equal the ended plus the outstanding ones.
    pub fn is_consistent(&self) -> bool {
        let ended = |counts: &ClassCounts| counts.succeeded + counts.declined + counts.aborted;
        let (accepted, ended): (u64, u64) =
            (self.counts.iter().map(|counts| counts.accepted).sum(), self.counts.iter().map(ended).sum());
        accepted == ended + self.outstanding
    }

    /// Renders all metrics as lines of the form `name=value`.
    pub fn render(&self, gauges: &Gauges) -> String {
        let mut text = String::new();
        let mut line = |name: &str, value: u64| _ = writeln!(text, "{name}={value}");
        for (class, index) in &self.by_name {
            let class = escaped(class);
            let counts = &self.counts[index.0];
            line(&format!("results.{class}.succeeded"), counts.succeeded);
            line(&format!("results.{class}.declined"), counts.declined);
            line(&format!("results.{class}.aborted"), counts.aborted);
        }
        line("forwards", gauges.forwards);
        line("outstanding", self.outstanding);
        line("discovered", gauges.discovered);
        line("ejected", gauges.ejected);
        line("sighup_applied", gauges.reloads_applied);
        line("sighup_rejected", gauges.reloads_rejected);
        if let Some(phase) = gauges.recovery_phase {
            line("coming_back", phase);
        }
        if let Some((refused, in_part)) = gauges.connection_shortages {
            line("wide_refused", refused);
            line("wide_in_part", in_part);
        }
        text
    }
}

/// Returns a class name for use in the name of a metric. Percent-encodes `=`, `%`, whitespace and control
/// characters, which could end the name or the line, or are invisible.
fn escaped(name: &str) -> String {
    let mut escaped = String::with_capacity(name.len());
    for c in name.chars() {
        if c.is_control() || c.is_whitespace() || matches!(c, '=' | '%') {
            let mut bytes = [0; 4];
            c.encode_utf8(&mut bytes).bytes().for_each(|b| _ = write!(escaped, "%{b:02X}"));
        } else {
            escaped.push(c);
        }
    }
    escaped
}

#[cfg(test)]
mod tests {
    use super::*;
    use proptest::prelude::*;

    #[test]
    fn renders_the_metric_names_of_the_platform() {
        let mut counters = Counters::default();
        let lookup = counters.class_counter("lookup");
        counters.class_counter("ranking");
        (0..4).for_each(|_| counters.count_accepted(lookup));
        [QueryResult::Succeeded, QueryResult::Declined, QueryResult::Aborted]
            .into_iter()
            .for_each(|result| counters.count_ended(lookup, result));
        let gauges = Gauges {
            forwards: 7,
            discovered: 14,
            ejected: 2,
            reloads_applied: 1,
            reloads_rejected: 3,
            recovery_phase: None,
            connection_shortages: None,
        };
        let expected = "results.lookup.succeeded=1\nresults.lookup.declined=1\nresults.lookup.aborted=1\n\
            results.ranking.succeeded=0\nresults.ranking.declined=0\nresults.ranking.aborted=0\n\
            forwards=7\noutstanding=1\ndiscovered=14\nejected=2\nsighup_applied=1\nsighup_rejected=3\n";
        assert_eq!(counters.render(&gauges), expected);
        let with_shortages = Gauges { connection_shortages: Some((4, 5)), ..gauges };
        assert_eq!(counters.render(&with_shortages), format!("{expected}wide_refused=4\nwide_in_part=5\n"));
    }

    /// Class names come from a file: a name with a line break must not produce the line of another metric.
    #[test]
    fn a_class_name_cannot_forge_a_metric_line() {
        let mut counters = Counters::default();
        counters.class_counter("a\noutstanding=9\r%0A b\u{2028}");
        let text = counters.render(&Gauges::default());
        assert_eq!(text.lines().filter(|l| l.starts_with("outstanding")).count(), 1);
        assert_eq!(text.lines().count(), 9);
        assert!(text.starts_with("results.a%0Aoutstanding%3D9%0D%250A%20b%E2%80%A8.succeeded=0\n"), "{text}");
    }

    proptest! {
        /// Accepts and ends queries of several classes in random order. The counters stay consistent after
        /// each step, and the rendered results equal the counts that the test keeps.
        #[test]
        fn counters_stay_consistent_in_any_order(steps in prop::collection::vec((0usize..4, 0usize..4), 0..300)) {
            let mut counters = Counters::default();
            let mut expected: BTreeMap<usize, [u64; 3]> = BTreeMap::new();
            let mut open_queries: Vec<(usize, ClassCounter)> = Vec::new();
            for (class, action) in steps {
                if action == 0 || open_queries.is_empty() {
                    let index = counters.class_counter(&format!("c{class}"));
                    counters.count_accepted(index);
                    open_queries.push((class, index));
                } else {
                    let (class, index) = open_queries.swap_remove(class % open_queries.len());
                    counters.count_ended(index, [QueryResult::Succeeded, QueryResult::Declined, QueryResult::Aborted][action - 1]);
                    expected.entry(class).or_default()[action - 1] += 1;
                }
                prop_assert!(counters.is_consistent());
                prop_assert_eq!(counters.outstanding(), open_queries.len() as u64);
            }
            let text = counters.render(&Gauges::default());
            for (class, [s, d, a]) in expected {
                let lines = format!("results.c{class}.succeeded={s}\nresults.c{class}.declined={d}\nresults.c{class}.aborted={a}\n");
                prop_assert!(text.contains(&lines), "{} not in {}", lines, text);
            }
        }
    }
}
