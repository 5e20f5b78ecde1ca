//! The figures: counts of this process, from 0 at its start.
//!
//! A query is taken once and ends once. Whoever closes queries keeps these counters, so that at every moment what was taken
//! is what has ended, by kind, and what is outstanding. The names that the platform gives to figures stand here alone.

use std::collections::BTreeMap;
use std::fmt::Write;

/// How a query ended, for the counters.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum QueryResult {
    /// Served.
    Succeeded,
    /// Refused: trying again is harmless.
    Declined,
    /// Failed; also one whose client left before it was answered.
    Aborted,
}

/// A class's place in the counters. It stays when the class leaves the settings, and is found again when it comes back.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct ClassCounter(usize);

#[derive(Clone, Debug, Default, PartialEq, Eq)]
struct ClassCounts {
    taken: u64,
    succeeded: u64,
    declined: u64,
    aborted: u64,
}

/// What only others can count.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Gauges {
    /// Attempts written whole to data servers.
    pub forwards: u64,
    /// Data servers in the list.
    pub discovered: u64,
    /// Those of them that are avoided now.
    pub ejected: u64,
    /// Files taken at SIGHUP.
    pub reloads_applied: u64,
    /// Files turned down at SIGHUP.
    pub reloads_rejected: u64,
    /// Where it is on its way back, from 0, where that is paced.
    pub recovery_phase: Option<u64>,
    /// Queries that were refused, and queries that were served in part, for want of connections; `None`: none was.
    pub connection_shortages: Option<(u64, u64)>,
}

/// The counts of all classes that the settings ever named: as many as settings may name in the life of a process.
#[derive(Clone, Debug, Default)]
pub struct Counters {
    rows: Vec<ClassCounts>,
    names: BTreeMap<String, ClassCounter>,
    outstanding: u64,
}

impl Counters {
    /// The row of a class, begun at 0 where it is new.
    pub fn class_counter(&mut self, class: &str) -> ClassCounter {
        if let Some(row) = self.names.get(class) {
            return *row;
        }
        let row = ClassCounter(self.rows.len());
        self.rows.push(ClassCounts::default());
        self.names.insert(class.to_owned(), row);
        row
    }

    /// A query of a class is taken.
    pub fn count_accepted(&mut self, row: ClassCounter) {
        self.rows[row.0].taken += 1;
        self.outstanding += 1;
    }

    /// A query that was taken has ended.
    pub fn count_ended(&mut self, row: ClassCounter, end: QueryResult) {
        let counts = &mut self.rows[row.0];
        match end {
            QueryResult::Succeeded => counts.succeeded += 1,
            QueryResult::Declined => counts.declined += 1,
            QueryResult::Aborted => counts.aborted += 1,
        }
        debug_assert!(self.outstanding > 0, "a query ended that was not taken");
        self.outstanding = self.outstanding.saturating_sub(1);
    }

    /// Queries taken and not yet ended.
    pub fn outstanding(&self) -> u64 {
        self.outstanding
    }

    /// Whether all that was taken has ended or is outstanding.
    pub fn is_consistent(&self) -> bool {
        let ended = |c: &ClassCounts| c.succeeded + c.declined + c.aborted;
        let (taken, ended): (u64, u64) =
            (self.rows.iter().map(|c| c.taken).sum(), self.rows.iter().map(ended).sum());
        taken == ended + self.outstanding
    }

    /// All figures, a line each.
    pub fn render(&self, gauges: &Gauges) -> String {
        let mut text = String::new();
        let mut line = |name: &str, value: u64| _ = writeln!(text, "{name}={value}");
        for (class, row) in &self.names {
            let class = escaped(class);
            let counts = &self.rows[row.0];
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

/// A class's name in a figure's: what could end the name or the line, or cannot be seen, is written as in a URI.
fn escaped(name: &str) -> String {
    let mut out = String::with_capacity(name.len());
    for c in name.chars() {
        if c.is_control() || c.is_whitespace() || matches!(c, '=' | '%') {
            let mut bytes = [0; 4];
            c.encode_utf8(&mut bytes).bytes().for_each(|b| _ = write!(out, "%{b:02X}"));
        } else {
            out.push(c);
        }
    }
    out
}

#[cfg(test)]
mod tests {
    use super::*;
    use proptest::prelude::*;

    #[test]
    fn figures_have_the_platforms_names() {
        let mut counters = Counters::default();
        let lookup = counters.class_counter("lookup");
        counters.class_counter("ranking");
        (0..4).for_each(|_| counters.count_accepted(lookup));
        [QueryResult::Succeeded, QueryResult::Declined, QueryResult::Aborted]
            .into_iter()
            .for_each(|end| counters.count_ended(lookup, end));
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
        let short = Gauges { connection_shortages: Some((4, 5)), ..gauges };
        assert_eq!(counters.render(&short), format!("{expected}wide_refused=4\nwide_in_part=5\n"));
    }

    /// A class comes from a file: its name must not pass for another figure.
    #[test]
    fn a_name_cannot_forge_a_line() {
        let mut counters = Counters::default();
        counters.class_counter("a\noutstanding=9\r%0A b\u{2028}");
        let text = counters.render(&Gauges::default());
        assert_eq!(text.lines().filter(|l| l.starts_with("outstanding")).count(), 1);
        assert_eq!(text.lines().count(), 9);
        assert!(text.starts_with("results.a%0Aoutstanding%3D9%0D%250A%20b%E2%80%A8.succeeded=0\n"), "{text}");
    }

    proptest! {
        /// Whatever is taken and ended in whatever order, with classes that leave and come back: each count is what
        /// the test's own counters say, and nothing is lost between them.
        #[test]
        fn the_books_balance(moves in prop::collection::vec((0usize..4, 0usize..4), 0..300)) {
            let mut counters = Counters::default();
            let mut own: BTreeMap<usize, [u64; 3]> = BTreeMap::new();
            let mut open: Vec<(usize, ClassCounter)> = Vec::new();
            for (class, what) in moves {
                if what == 0 || open.is_empty() {
                    let row = counters.class_counter(&format!("c{class}"));
                    counters.count_accepted(row);
                    open.push((class, row));
                } else {
                    let (class, row) = open.swap_remove(class % open.len());
                    counters.count_ended(row, [QueryResult::Succeeded, QueryResult::Declined, QueryResult::Aborted][what - 1]);
                    own.entry(class).or_default()[what - 1] += 1;
                }
                prop_assert!(counters.is_consistent());
                prop_assert_eq!(counters.outstanding(), open.len() as u64);
            }
            let text = counters.render(&Gauges::default());
            for (class, [s, d, a]) in own {
                let lines = format!("results.c{class}.succeeded={s}\nresults.c{class}.declined={d}\nresults.c{class}.aborted={a}\n");
                prop_assert!(text.contains(&lines), "{} not in {}", lines, text);
            }
        }
    }
}
