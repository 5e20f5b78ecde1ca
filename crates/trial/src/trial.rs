//! A trial: played, judged, played again where it is void, and made short where it fails.

use crate::play::play;
use crate::record::Record;
use crate::rules::{Verdict, judge};
use crate::script::Script;
use crate::setup::Setup;
use crate::shrink::shrink;
use std::fmt::{self, Display, Formatter};
use std::io;

/// A void trial is played so often in all.
const PLAYS: usize = 3;
/// Events of a failing trial that are shown beside its query's.
const SHOWN: usize = 24;

/// What a trial came to.
#[derive(Clone, Debug)]
pub struct Report {
    /// The seed of its load and brokers.
    pub seed: u64,
    /// The script, made short where it fails.
    pub script: Script,
    /// The verdict of the last play.
    pub verdict: Verdict,
    /// What that play saw.
    pub record: Record,
    /// Plays that were void.
    pub void: usize,
}

/// Plays a script until it is not void, or often enough; a failing one is made shorter with at most `tries` more plays.
pub fn trial(setup: &Setup, script: &Script, tries: usize) -> io::Result<Report> {
    let mut report = once(setup, script)?;
    while let Verdict::Void(stall) = report.verdict {
        eprintln!("void, as the machine stood still for {} ms", stall / 1000);
        if report.void + 1 >= PLAYS {
            break;
        }
        let void = report.void + 1;
        report = Report { void, ..once(setup, script)? };
    }
    if !matches!(report.verdict, Verdict::Broken(_)) {
        return Ok(report);
    }
    let mut failing = report.clone();
    shrink(script, tries, |less| match once(setup, less) {
        Ok(report) if matches!(report.verdict, Verdict::Broken(_)) => {
            failing = report;
            true
        }
        _ => false,
    });
    Ok(Report { void: report.void, ..failing })
}

fn once(setup: &Setup, script: &Script) -> io::Result<Report> {
    let record = play(setup, script)?;
    let verdict = judge(&record, &setup.rules, setup.stall_bound);
    Ok(Report { seed: setup.seed, script: script.clone(), verdict, record, void: 0 })
}

impl Report {
    /// Whether no rule was seen broken. A void trial broke none of those that have nothing to do with the machine's speed.
    pub fn is_kept(&self) -> bool {
        !matches!(self.verdict, Verdict::Broken(_))
    }
}

impl Display for Report {
    fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
        let stall = self.record.longest_stall() / 1000;
        write!(f, "seed {}, longest stall {stall} ms, {} void\n{}", self.seed, self.void, self.script)?;
        let Verdict::Broken(violations) = &self.verdict else { return writeln!(f, "{:?}", self.verdict) };
        violations.iter().take(SHOWN).try_for_each(|violation| writeln!(f, "{violation}"))?;
        let Some(first) = violations.first() else { return Ok(()) };
        writeln!(f, "{} in all. Trace of the first:", violations.len())?;
        let query = first.query.as_deref().unwrap_or_default();
        self.record.trace(query, first.at, SHOWN).iter().try_for_each(|event| writeln!(f, "{event}"))
    }
}
