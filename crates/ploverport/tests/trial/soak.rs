//! Restarts in turn under clients, with signals in series, crowds and other troubles beside them. One seed is one run. As many as
//! are asked for, each printed with what it judged:
//! `PLOVER_SEED=1 PLOVER_TRIALS=50 cargo test -p ploverport --release --test trial -- --ignored --nocapture drawn_restarts`

use crate::drawn::number;
use crate::fleet::{alone, setup};
use plover_model::time::{MILLI, SECOND};
use plover_trial::record::{Life, Seen};
use plover_trial::rules::{Verdict, judged, judged_after_told};
use plover_trial::script::{Act, What};
use plover_trial::{Report, Script, Setup, Shape, trial};

/// SIGKILL comes at the longest deadline, and the time in which requests still come after SIGTERM.
const LONGEST: u64 = 3 * SECOND;
const CAME_LATE: u64 = 700 * MILLI;
/// The most brokers of a run, and its load: queries a second for each, and how long.
const BROKERS: u64 = 8;
const RATE: f64 = 25.0;
const LONG: u64 = 9 * SECOND;
/// Descriptors of a broker: few, so that a crowd fills them.
const SOCKETS: usize = 256;
/// More plays of a run that fails, to make its script shorter.
const TRIES: u64 = 8;
/// A run that judged fewer than this share of its queries shows nothing.
const JUDGED: f64 = 0.3;

fn run(seed: u64) -> (Setup, Script) {
    let brokers = 1 + (seed % BROKERS) as usize;
    let rules = plover_trial::rules::Rules { owed_after_told: CAME_LATE, ..setup().rules };
    let setup = Setup {
        brokers,
        sockets: SOCKETS,
        patience: (400 * MILLI, LONGEST),
        kill_after: Some(LONGEST + CAME_LATE),
        rate: RATE * brokers as f64,
        long: LONG,
        seed,
        rules,
        ..setup()
    };
    let shape = Shape { brokers, servers: setup.servers, long: LONG, most: 3 };
    (setup, Script::draw_restarts(seed, shape))
}

/// Whether a run shows anything: enough of its queries are judged, and some that came after a signal, if there was one.
fn shows(report: &Report, setup: &Setup) -> bool {
    let (judged, all) = judged(&report.record, &setup.rules);
    let told = report.record.events().iter().any(|e| matches!(e.seen, Seen::Broker { life: Life::Told, .. }));
    let owed = judged_after_told(&report.record, &setup.rules);
    judged as f64 >= JUDGED * all as f64 && (owed > 0 || !told)
}

fn row(seed: u64, setup: &Setup, script: &Script, report: &Report) -> String {
    let count = |is: fn(&Seen) -> bool| report.record.events().iter().filter(|e| is(&e.seen)).count();
    let signals =
        script.steps().iter().filter(|s| matches!(s.what, What::Broker(_, Act::Reload(_) | Act::Terminate)));
    let crowd = script.steps().iter().any(|s| matches!(s.what, What::Broker(_, Act::Crowd(_))));
    let verdict = match &report.verdict {
        Verdict::Kept if shows(report, setup) => "kept".to_owned(),
        Verdict::Kept => "shows too little".to_owned(),
        Verdict::Void(_) => "void".to_owned(),
        Verdict::Broken(found) => format!("{:?}", found[0].rule),
    };
    let life = |wanted: Life| {
        let is = |s: &Seen| matches!(s, Seen::Broker { life, .. } if *life == wanted);
        report.record.events().iter().filter(|e| is(&e.seen)).count()
    };
    format!(
        "{seed:>5} {:>7} {:>6} {:>5} {:>5} {:>6} {:>7} {:>7} {:>7} {:>6} {:>7} {:>7} {:>6} {:>5} {:>8}  {verdict}",
        setup.brokers,
        script.steps().len(),
        life(Life::Told),
        life(Life::Killed) + life(Life::Expired),
        if crowd { "yes" } else { "no" },
        signals.count(),
        count(|s| matches!(s, Seen::Asked(_))),
        judged(&report.record, &setup.rules).0,
        judged_after_told(&report.record, &setup.rules),
        count(|s| matches!(s, Seen::Answered { .. })),
        count(|s| matches!(s, Seen::Refused { .. })),
        count(|s| matches!(s, Seen::Failed { .. })),
        count(|s| matches!(s, Seen::Lost { .. } | Seen::Silent { .. })),
        report.record.longest_stall() / MILLI,
    )
}

const HEAD: &str = " seed brokers  steps  told killed crowd signals queries  judged    owed  served refused failed  lost stall ms  verdict";

/// Plays these seeds; those that broke a rule, or judged too little to show anything.
fn played(seeds: impl Iterator<Item = u64>, tries: u64) -> Vec<u64> {
    println!("{HEAD}");
    let mut broken = Vec::new();
    for seed in seeds {
        let (setup, script) = run(seed);
        let report = trial(&setup, &script, tries as usize).unwrap();
        println!("{}", row(seed, &setup, &script, &report));
        let showed_nothing = matches!(report.verdict, Verdict::Kept) && !shows(&report, &setup);
        if !report.is_kept() || showed_nothing {
            println!("{report}");
            broken.push(seed);
        }
    }
    broken
}

/// Guards against requests that are lost in restarts: a few runs of fixed seeds.
#[test]
fn restarts_of_fixed_seeds_lose_nothing() {
    let _one = alone();
    let broken = played([1, 2, 3].into_iter(), 0);
    assert!(broken.is_empty(), "broken: {broken:?}");
}

#[test]
#[ignore = "plays for minutes"]
fn drawn_restarts() {
    let (first, many) = (number("PLOVER_SEED", 1), number("PLOVER_TRIALS", 50));
    let broken = played(first..first + many, number("PLOVER_TRIES", TRIES));
    assert!(broken.is_empty(), "broken: {broken:?}");
}
