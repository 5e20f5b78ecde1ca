//! The rules, as a pure function from what was seen to what broke them.
//!
//! Each rule that has to do with time adds the slack of the rules and an allowance to it: the longest time that the
//! machine kept the rig waiting during the trial. What a fault of the script may have held up or hidden is not held
//! against a broker; where that is so is said at each rule.

mod answers;
mod cold;
mod index;
mod sends;

use crate::record::Record;
use index::Index;
use plover_model::time::{MILLI, Micros, SECOND};
use std::fmt::{self, Display, Formatter};

/// Figures of the rules.
#[derive(Clone, Debug)]
pub struct Rules {
    /// The classes, in the order of the settings.
    pub classes: Vec<Class>,
    /// Most attempts at a part.
    pub attempts: usize,
    /// Whether a part may have two attempts out.
    pub second_copies: bool,
    /// Every time limit is so much longer.
    pub slack: Micros,
    /// Nothing new goes to a data server for longer than this after its drain is told.
    pub drain_grace: Micros,
    /// What comes within this time after a broker was told to end is owed its answer before the kill.
    pub owed_after_told: Micros,
    /// Nothing new goes out for a client longer than this after it has gone.
    pub gone_grace: Micros,
    /// What a silent watch misses counts as told so long after the silence began.
    pub silence: Micros,
    /// And so long after the wait of its call, if that is later.
    pub after_wait: Micros,
    /// Of so many queries one may end with a new connection that is closed without an answer.
    pub dropped_one_in: usize,
    /// What a cold data server bears.
    pub cold: Cold,
}

/// A class.
#[derive(Clone, Copy, Debug)]
pub struct Class {
    /// In a keyed class: how long repeats are dropped after the first attempt that ran.
    pub window: Option<Micros>,
    /// The least share of its parts that an answer needs.
    pub floor: f64,
}

/// What a cold data server bears.
#[derive(Clone, Copy, Debug)]
pub struct Cold {
    /// Parts that a warm one does in a second.
    pub per_second: f64,
    /// The share of that with which it starts.
    pub from: f64,
    /// It is warm after this time; in between it grows evenly.
    pub warm_after: Micros,
    /// It falls at this multiple of what it can do.
    pub multiple: f64,
    /// Within this time.
    pub window: Micros,
}

impl Default for Rules {
    /// Those of the stand-ins' usual deployment.
    fn default() -> Self {
        let class = |window, floor| Class { window, floor };
        Rules {
            classes: vec![class(None, 1.0), class(Some(5 * SECOND), 1.0), class(None, 0.7)],
            attempts: 4,
            second_copies: false,
            slack: 50 * MILLI,
            drain_grace: 250 * MILLI,
            owed_after_told: 700 * MILLI,
            gone_grace: 100 * MILLI,
            silence: 6 * SECOND,
            after_wait: 2 * SECOND,
            dropped_one_in: 200,
            cold: Cold {
                per_second: 100.0,
                from: 0.18,
                warm_after: 16 * SECOND,
                multiple: 2.5,
                window: SECOND,
            },
        }
    }
}

/// A rule.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Rule {
    /// A query that a running broker has taken gets a final answer.
    Answered,
    /// It gets one.
    Once,
    /// It gets it before its client's time is up.
    InTime,
    /// A value is one that a data server gave for that query, and stands for a part of it.
    Made,
    /// An answer is marked whole only with all parts in.
    Whole,
    /// An answer has the least share of its class.
    Floor,
    /// A part gets so many attempts at most.
    Attempts,
    /// It has one attempt out at a time, where second copies are not allowed.
    OneOut,
    /// A keyed part is not sent again after its window, by whatever broker.
    Window,
    /// A data server that is told to drain gets nothing new.
    Drain,
    /// Nothing new goes out for a client that has gone.
    Gone,
    /// A cold data server is not pushed over by brokers that were told of its start.
    Cold,
    /// A broker ends only where it is killed or told to.
    Runs,
}

impl Rule {
    /// Whether a slow machine alone may seem to break it.
    pub fn is_timed(self) -> bool {
        // `Answered` too: clients leave, and processes are killed, by the clock.
        matches!(
            self,
            Rule::Answered
                | Rule::InTime
                | Rule::OneOut
                | Rule::Window
                | Rule::Drain
                | Rule::Gone
                | Rule::Cold
        )
    }
}

/// A rule was broken.
#[derive(Clone, Debug, PartialEq)]
pub struct Violation {
    /// Which.
    pub rule: Rule,
    /// When.
    pub at: Micros,
    /// By what was done for this query, where it was done for one.
    pub query: Option<String>,
    /// What was seen.
    pub words: String,
}

impl Display for Violation {
    fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
        write!(f, "{:?} at {} ms: {}", self.rule, self.at / MILLI, self.words)
    }
}

/// What a trial showed.
#[derive(Clone, Debug, PartialEq)]
pub enum Verdict {
    /// All rules were kept.
    Kept,
    /// These were not.
    Broken(Vec<Violation>),
    /// The machine kept the rig waiting for so long that it shows nothing of the rules on time, and the others were kept.
    Void(Micros),
}

/// All that broke the rules, in the order of time.
pub fn check(record: &Record, rules: &Rules) -> Vec<Violation> {
    let index = Index::new(record, rules);
    let mut found = answers::check(&index);
    found.extend(sends::check(&index));
    found.extend(cold::check(&index));
    found.extend(index.crashes());
    found.sort_by_key(|v| v.at);
    found
}

/// How many queries had to be answered, of how many that were asked: the others met a fault that excuses them.
pub fn judged(record: &Record, rules: &Rules) -> (usize, usize) {
    answers::judged(&Index::new(record, rules))
}

/// How many queries are judged that came soon after their broker had been told to end.
pub fn judged_after_told(record: &Record, rules: &Rules) -> usize {
    answers::judged_after_told(&Index::new(record, rules))
}

/// Judges a trial; where the machine kept the rig waiting for longer than the bound, by the rules alone that have nothing
/// to do with its speed.
pub fn judge(record: &Record, rules: &Rules, bound: Micros) -> Verdict {
    let stall = record.longest_stall();
    let mut found = check(record, rules);
    if stall > bound {
        found.retain(|v| !v.rule.is_timed());
    }
    match (found.is_empty(), stall > bound) {
        (false, _) => Verdict::Broken(found),
        (true, true) => Verdict::Void(stall),
        (true, false) => Verdict::Kept,
    }
}
