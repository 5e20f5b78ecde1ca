//! What came of a run: samples with typed figures, as JSON and as a table.

use crate::fit::Fit;
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;
use std::fmt::Write;
use std::{fs, io};

/// What a figure counts.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Unit {
    /// Things.
    Count,
    /// Things a second.
    PerSecond,
    /// Bytes.
    Bytes,
    /// Bytes a second.
    BytesPerSecond,
    /// Microseconds, of processor or of passing time.
    Micros,
    /// Seconds.
    Seconds,
    /// Cores kept busy: processor time by passing time.
    Cores,
    /// One figure by another of its kind.
    Ratio,
}

impl Unit {
    /// How it is written in a table.
    pub fn sign(self) -> &'static str {
        match self {
            Unit::Count | Unit::Ratio => "",
            Unit::PerSecond => "/s",
            Unit::Bytes => "B",
            Unit::BytesPerSecond => "B/s",
            Unit::Micros => "us",
            Unit::Seconds => "s",
            Unit::Cores => "cores",
        }
    }
}

/// A number with its unit.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct Figure {
    /// The number.
    pub value: f64,
    /// What it counts.
    pub unit: Unit,
}

/// One point of a sweep: what was measured at one size of one dimension, all else as in the mix.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Sample {
    /// The sweep.
    pub sweep: String,
    /// What was measured: the label of a build of the broker, `floor`, `hollow` and the like.
    pub subject: String,
    /// What the sweep changes, such as `parts`.
    pub dimension: String,
    /// Its size here.
    pub size: f64,
    /// All else that the point was set to, such as `servers` and `rate`.
    pub mix: BTreeMap<String, f64>,
    /// What was measured.
    pub figures: BTreeMap<String, Figure>,
    /// What a reader has to know, such as that the machine was the bound. Mostly empty.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub notes: Vec<String>,
}

impl Sample {
    /// A point without figures yet.
    pub fn new(sweep: &str, subject: &str, dimension: &str, size: f64) -> Self {
        Sample {
            sweep: sweep.to_owned(),
            subject: subject.to_owned(),
            dimension: dimension.to_owned(),
            size,
            mix: BTreeMap::new(),
            figures: BTreeMap::new(),
            notes: Vec::new(),
        }
    }

    /// With another setting of the mix.
    pub fn with(mut self, name: &str, value: f64) -> Self {
        self.mix.insert(name.to_owned(), value);
        self
    }

    /// Puts a figure in. One that is not finite is left out: there was nothing to divide by.
    pub fn put(&mut self, name: &str, value: f64, unit: Unit) {
        if value.is_finite() {
            self.figures.insert(name.to_owned(), Figure { value, unit });
        }
    }

    /// A figure's number.
    pub fn get(&self, name: &str) -> Option<f64> {
        self.figures.get(name).map(|f| f.value)
    }
}

/// The machine that a run was played on.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Machine {
    /// Processors.
    pub cores: usize,
    /// Memory, in bytes.
    pub memory_bytes: u64,
    /// The kernel's release.
    pub kernel: String,
    /// Most descriptors of a process.
    pub descriptors: u64,
    /// Load averages over 1, 5 and 15 minutes as the run began: over none, something else ran beside it.
    pub load_before: [f64; 3],
    /// The same as it ended.
    pub load_after: [f64; 3],
}

impl Machine {
    /// This machine, now.
    pub fn here() -> Self {
        let read = |path: &str| fs::read_to_string(path).unwrap_or_default();
        let memory = read("/proc/meminfo");
        let kib = memory
            .lines()
            .find_map(|l| l.strip_prefix("MemTotal:")?.trim().strip_suffix(" kB")?.parse().ok());
        let limit = rustix::process::getrlimit(rustix::process::Resource::Nofile);
        Machine {
            cores: std::thread::available_parallelism().map_or(1, usize::from),
            memory_bytes: 1024 * kib.unwrap_or(0u64),
            kernel: read("/proc/sys/kernel/osrelease").trim().to_owned(),
            descriptors: limit.current.unwrap_or(u64::MAX),
            load_before: load_average(),
            load_after: [0.0; 3],
        }
    }
}

/// Load averages over 1, 5 and 15 minutes.
pub fn load_average() -> [f64; 3] {
    let text = fs::read_to_string("/proc/loadavg").unwrap_or_default();
    let mut words = text.split(' ').map(|w| w.parse().unwrap_or(0.0));
    std::array::from_fn(|_| words.next().unwrap_or(0.0))
}

/// A whole run.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Run {
    /// The commit that the rig was built from, with `+` where the tree was changed.
    pub commit: String,
    /// Each build of the broker: its label and what it says its version is, or where it was built from.
    pub brokers: BTreeMap<String, String>,
    /// The command.
    pub command: Vec<String>,
    /// The machine.
    pub machine: Machine,
    /// The seed.
    pub seed: u64,
    /// When it began, in Unix seconds.
    pub started: u64,
    /// How long it took, in seconds.
    pub took: f64,
    /// Sizes of each sweep's dimension.
    pub sizes: BTreeMap<String, Vec<f64>>,
    /// The points.
    pub samples: Vec<Sample>,
    /// Lines through them.
    pub fits: Vec<Fit>,
    /// Sweeps that ended early, and why.
    pub failed: Vec<String>,
}

impl Run {
    /// Reads one.
    pub fn read(text: &str) -> io::Result<Run> {
        serde_json::from_str(text).map_err(io::Error::other)
    }

    /// As JSON, with line breaks.
    pub fn json(&self) -> String {
        // Maps with text keys and finite numbers: nothing in it can fail to be written.
        serde_json::to_string_pretty(self).unwrap_or_default()
    }

    /// As tables, one for each sweep and dimension: a row for each point.
    pub fn table(&self) -> String {
        let mut out = String::new();
        let mut groups: Vec<(&str, &str)> = Vec::new();
        for sample in &self.samples {
            let group = (sample.sweep.as_str(), sample.dimension.as_str());
            if !groups.contains(&group) {
                groups.push(group);
            }
        }
        for (sweep, dimension) in groups {
            let of: Vec<&Sample> =
                self.samples.iter().filter(|s| s.sweep == sweep && s.dimension == dimension).collect();
            let _ = writeln!(out, "\n{sweep} by {dimension}");
            write_group(&mut out, dimension, &of);
        }
        for fit in &self.fits {
            let _ = writeln!(out, "fit: {fit}");
        }
        for words in &self.failed {
            let _ = writeln!(out, "FAILED: {words}");
        }
        out
    }
}

fn write_group(out: &mut String, dimension: &str, samples: &[&Sample]) {
    let (mut mixes, mut names) = (Vec::new(), Vec::new());
    for sample in samples {
        for name in sample.mix.keys() {
            if !mixes.contains(name) {
                mixes.push(name.clone());
            }
        }
        for (name, figure) in &sample.figures {
            if !names.iter().any(|(n, _)| n == name) {
                names.push((name.clone(), figure.unit));
            }
        }
    }
    let mut rows = Vec::new();
    let mut head = vec![dimension.to_owned(), "subject".to_owned()];
    head.extend(mixes.iter().cloned());
    head.extend(names.iter().map(|(name, unit)| match unit.sign() {
        "" => name.clone(),
        sign => format!("{name} {sign}"),
    }));
    rows.push(head);
    for sample in samples {
        let mut row = vec![short(sample.size), sample.subject.clone()];
        row.extend(mixes.iter().map(|name| sample.mix.get(name).map_or("-".to_owned(), |v| short(*v))));
        row.extend(names.iter().map(|(name, _)| sample.get(name).map_or("-".to_owned(), short)));
        rows.push(row);
    }
    let columns = rows.first().map_or(0, Vec::len);
    let width = |c: usize| rows.iter().map(|r| r[c].len()).max().unwrap_or(0);
    let widths: Vec<usize> = (0..columns).map(width).collect();
    for row in &rows {
        for (cell, width) in row.iter().zip(&widths) {
            let _ = write!(out, "  {cell:>width$}");
        }
        out.push('\n');
    }
    for sample in samples {
        for note in &sample.notes {
            let _ = writeln!(out, "  note at {} ({}): {note}", short(sample.size), sample.subject);
        }
    }
}

/// A number in four figures or so.
fn short(value: f64) -> String {
    let size = value.abs();
    if value == value.trunc() && size < 1e9 {
        format!("{value}")
    } else if size >= 100.0 {
        format!("{value:.0}")
    } else if size >= 1.0 {
        format!("{value:.2}")
    } else {
        format!("{value:.4}")
    }
}
