//! What a plan says, as values.

use plover_model::time::{Micros, SECOND};
use plover_operator_file::Faults;
use plover_ranges::{Key, KeyRange, MapVersion, Node, NodeName, RangeId};
use serde::{Deserialize, Serialize};
use std::ops::Range;

/// Most goals of a plan.
pub const MOST_GOALS: usize = 4096;
/// Most groups of a plan.
pub const MOST_GROUPS: usize = 256;
/// Most steps of a plan.
pub const MOST_STEPS: usize = 1 << 14;
/// Most copies at once, whatever else a plan allows.
pub const MOST_COPIES: u32 = 64;
/// Microseconds in a day.
pub const DAY: Micros = 24 * 3600 * SECOND;

/// A plan as its file says it. It was not yet held against a map.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Plan {
    /// Its name.
    pub name: String,
    /// The version of the map that it was written for, and its place in the text.
    pub against: (MapVersion, Range<usize>),
    /// What holds at every moment.
    pub bounds: Bounds,
    /// Its groups; the first is for goals that stand before any `group` line.
    pub groups: Vec<Group>,
    /// Its goals, in the order of the file.
    pub goals: Vec<Goal>,
}

/// What holds at every moment while a plan runs.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Bounds {
    /// Least replicas that serve a range, from 1.
    pub least_in_service: u32,
    /// Most copies at once that a node gives or takes.
    pub copies_node: u32,
    /// Most copies at once between two zones.
    pub copies_link: u32,
    /// Most copies at once with an end in a zone.
    pub copies_zone: u32,
    /// Bytes a second of copies at one disk; `None`: what the disk does.
    pub disk_rate: Option<u64>,
    /// Bytes a second of copies between two zones; `None`: what the link does.
    pub link_rate: Option<u64>,
    /// Bytes of memory that stay free at a node that takes copies.
    pub free_memory: u64,
    /// Bytes of disk that stay free at a node that takes copies.
    pub free_disk: u64,
    /// No copy reads from a cold node.
    pub cold_from: bool,
    /// No copy writes to a cold node.
    pub cold_to: bool,
    /// Hours of the day in which it works, as time after midnight from and to; none: all.
    pub hours: Vec<(Micros, Micros)>,
    /// It pauses while the goodput, in thousandths, is under this.
    pub goodput: Option<u32>,
    /// It pauses while the 99th percentile of answer times is over this.
    pub p99: Option<Micros>,
}

impl Bounds {
    /// Bytes that a node may hold: on disk and in memory.
    pub fn room(&self, node: &Node) -> (u64, u64) {
        (node.disk.saturating_sub(self.free_disk), node.memory.saturating_sub(self.free_memory))
    }
}

impl Default for Bounds {
    fn default() -> Bounds {
        Bounds {
            least_in_service: 1,
            copies_node: 1,
            copies_link: MOST_COPIES,
            copies_zone: MOST_COPIES,
            disk_rate: None,
            link_rate: None,
            free_memory: 0,
            free_disk: 0,
            cold_from: true,
            cold_to: true,
            hours: Vec::new(),
            goodput: None,
            p99: None,
        }
    }
}

/// Goals that are ordered, and fail, together.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Group {
    /// Its name; the first group has none.
    pub name: String,
    /// It comes to its end wholly or not at all.
    pub whole: bool,
    /// The groups that end before it begins, by their place among the groups.
    pub after: Vec<u16>,
    /// Of what may start, the highest does first.
    pub priority: i32,
    /// It has ended so long after the plan began.
    pub deadline: Option<Micros>,
    /// A step that fails is tried again so often.
    pub tries: u32,
    /// Time between two tries.
    pub wait: Micros,
    /// What is done when all tries failed.
    pub then: Then,
    /// Where it stands in the text.
    #[serde(skip)]
    pub span: Range<usize>,
    /// Where its deadline stands.
    #[serde(skip)]
    pub deadline_span: Range<usize>,
    /// Where each of `after` stands.
    #[serde(skip)]
    pub after_spans: Vec<Range<usize>>,
}

/// What is done when a step failed as often as it may.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Then {
    /// The plan pauses until it is resumed; then the step has all its tries again.
    Pause,
    /// Another holder is copied from; where all were tried, the move is taken back and left out.
    Round,
    /// The group goes back to before it began, and is left out.
    Back,
}

/// One goal.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Goal {
    /// What shall be.
    pub what: What,
    /// Its group.
    pub group: u16,
    /// Its keyword in the text.
    pub span: Range<usize>,
    /// Its arguments in the text.
    pub words: Vec<Range<usize>>,
    /// The line, a blank between two words.
    pub said: String,
}

/// What is evened out.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Measure {
    /// Bytes on disk.
    Bytes,
    /// Queries a second.
    Rate,
    /// Work a second.
    Work,
}

/// How things shall be.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum What {
    /// A range is cut at these keys.
    Split(RangeId, Vec<Key>),
    /// A range is these pieces, which leave no gap and do not overlap.
    Pieces(RangeId, Vec<KeyRange>),
    /// No range has more bytes.
    SplitSize(u64),
    /// No range has more queries a second.
    SplitRate(u64),
    /// Two neighbours are one.
    Merge(RangeId, RangeId),
    /// Neighbours that have fewer bytes together are one.
    MergeUnder(u64),
    /// The second node holds a range instead of the first.
    Move(RangeId, NodeName, NodeName),
    /// A node holds nothing.
    EmptyNode(NodeName),
    /// No node of a zone holds anything.
    EmptyZone(String),
    /// A node holds its share of the bytes.
    BringIn(NodeName),
    /// So many replicas over at least so many zones, of one range or of all.
    Replicas(u32, u32, Option<RangeId>),
    /// No node holds both.
    Apart(RangeId, RangeId),
    /// The same nodes hold both.
    Together(RangeId, RangeId),
    /// No node of this kind holds a range, or any.
    KeepOff(String, Option<RangeId>),
    /// No node is further above the mean of a measure than so many per cent.
    EvenOut(Measure, u32),
}

/// Why a plan is refused: the place, the rule, and what would do.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Refusal {
    /// The word at fault, in bytes of the text.
    pub span: Range<usize>,
    /// The rule that it breaks.
    pub rule: &'static str,
    /// What is wrong.
    pub what: String,
    /// The figure, or the words, that would do.
    pub would_do: String,
}

impl Refusal {
    pub(crate) fn new(
        span: &Range<usize>,
        rule: &'static str,
        what: impl Into<String>,
        would_do: impl Into<String>,
    ) -> Refusal {
        Refusal { span: span.clone(), rule, what: what.into(), would_do: would_do.into() }
    }
}

/// The refusals as faults with line and column, in the order of the text. Of those of one word and one rule, the first
/// stands for all.
pub fn faults(name: &str, text: &str, refusals: Vec<Refusal>) -> Faults {
    let mut refusals = refusals;
    refusals.sort_by(|a, b| (a.span.start, a.rule, &a.what).cmp(&(b.span.start, b.rule, &b.what)));
    let mut kept: Vec<(Refusal, usize)> = Vec::new();
    for refusal in refusals {
        match kept.last_mut().filter(|(last, _)| (&last.span, last.rule) == (&refusal.span, refusal.rule)) {
            Some((_, more)) => *more += 1,
            None => kept.push((refusal, 0)),
        }
    }
    let what = |r: &Refusal, more| match more {
        0 => format!("{}: {}", r.rule, r.what),
        n => format!("{}: {} (and {n} more)", r.rule, r.what),
    };
    Faults::found(name, text, kept.into_iter().map(|(r, more)| (r.span.clone(), what(&r, more), r.would_do)))
}
