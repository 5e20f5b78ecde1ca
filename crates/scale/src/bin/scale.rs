//! The scale run's program.

use clap::{Parser, Subcommand};
use plover_broker::operator::{Operator, platform};
use plover_runtime::descriptors;
use plover_scale::plan::{Broker, Plan};
use plover_scale::process::{Guard, become_guarded};
use plover_scale::report::{Machine, Run, load_average};
use plover_scale::{fit, floor, hollow_broker, servers, sweeps};
use std::ffi::OsString;
use std::path::{Path, PathBuf};
use std::process::ExitCode;
use std::time::{Instant, SystemTime, UNIX_EPOCH};
use std::{fs, io};

/// Plays the scale run on this machine: real and hollow brokers, hollow data servers, one dimension at a time.
#[derive(Debug, Parser)]
#[command(name = "scale", version, max_term_width = 100)]
struct Cli {
    #[command(subcommand)]
    command: Command,
}

#[derive(Debug, Subcommand)]
enum Command {
    /// Play sweeps, print a table, and write what was measured as JSON
    Run(Arguments),
    /// Name the sweeps
    List,
    /// A process of hollow data servers, asked over standard input
    #[command(hide = true)]
    HollowServers,
    /// The bare sender and reader, asked over standard input
    #[command(hide = true)]
    Floor,
    /// A process of hollow brokers, asked over standard input
    #[command(hide = true)]
    HollowBrokers,
    /// The broker's packages as its program puts them together, for tests of the run itself
    #[command(hide = true)]
    Broker,
    /// Become another program that dies with the run
    #[command(hide = true)]
    Guarded {
        #[arg(trailing_var_arg = true, allow_hyphen_values = true)]
        words: Vec<OsString>,
    },
}

#[derive(Debug, clap::Args)]
struct Arguments {
    /// Only this sweep; may be given more than once
    #[arg(long = "sweep", value_name = "NAME")]
    sweeps: Vec<String>,
    /// Seed of all that is random
    #[arg(long, value_name = "N", default_value_t = 1)]
    seed: u64,
    /// Where the JSON goes
    #[arg(long, value_name = "FILE")]
    out: Option<PathBuf>,
    /// A build of the broker, perhaps under a name of its own; more than one are compared in one run. Without it, the
    /// program beside this one
    #[arg(long = "broker", value_name = "[LABEL=]PATH")]
    brokers: Vec<String>,
    /// Only these sizes of each sweep's dimension, in place of its own
    #[arg(long = "sizes", value_name = "N,...", value_delimiter = ',')]
    sizes: Vec<usize>,
    /// Aim of all classes in the sweep of rates, in place of the deployment's
    #[arg(long, value_name = "MS")]
    aim: Option<f64>,
    /// Parts of a query in the sweep of rates, in place of the widest kind
    #[arg(long, value_name = "N")]
    parts: Option<usize>,
    /// Small sizes and short times
    #[arg(long)]
    quick: bool,
}

fn main() -> ExitCode {
    let done = match Cli::parse().command {
        Command::Run(arguments) => run(&arguments),
        Command::List => {
            for sweep in sweeps::ALL {
                println!("{:10} {}", sweep.name, sweep.about);
            }
            Ok(true)
        }
        Command::HollowServers => servers::serve().map(|()| true),
        Command::Floor => floor::serve().map(|()| true),
        Command::HollowBrokers => hollow_broker::serve().map(|()| true),
        Command::Broker => broker().map(|()| true),
        Command::Guarded { words } => Err(become_guarded(&words)),
    };
    match done {
        Ok(true) => ExitCode::SUCCESS,
        Ok(false) => ExitCode::FAILURE,
        Err(error) => {
            eprintln!("scale: {error}");
            ExitCode::FAILURE
        }
    }
}

/// True: all sweeps were played to their ends.
fn run(arguments: &Arguments) -> io::Result<bool> {
    let rig = std::env::current_exe()?;
    let unknown = arguments.sweeps.iter().find(|name| sweeps::ALL.iter().all(|s| s.name != **name));
    if let Some(name) = unknown {
        return Err(io::Error::other(format!("no sweep is named {name}; `scale list` names them")));
    }
    let plan = Plan {
        brokers: brokers(arguments, &rig)?,
        rig,
        seed: arguments.seed,
        quick: arguments.quick,
        aim: arguments.aim,
        parts: arguments.parts,
        sizes: arguments.sizes.clone(),
        guard: Guard::new(&Guard::directory())?,
        cores: std::thread::available_parallelism().map_or(1, usize::from),
    };
    let begun = Instant::now();
    let mut run = Run {
        commit: commit(),
        brokers: plan.brokers.iter().map(|b| (b.label.clone(), version(&b.path))).collect(),
        command: std::env::args().skip(1).map(|word| in_short(&word)).collect(),
        machine: Machine::here(),
        seed: plan.seed,
        started: SystemTime::now().duration_since(UNIX_EPOCH).map_or(0, |d| d.as_secs()),
        ..Run::default()
    };
    for sweep in sweeps::ALL {
        if !arguments.sweeps.is_empty() && !arguments.sweeps.iter().any(|name| name == sweep.name) {
            continue;
        }
        plan.progress(&format!("{}: {}", sweep.name, sweep.about));
        let from = run.samples.len();
        if let Err(error) = (sweep.play)(&plan, &mut run.samples) {
            run.failed.push(format!("{}: {error}", sweep.name));
        }
        let sizes = run.sizes.entry(sweep.name.to_owned()).or_default();
        for sample in &run.samples[from..] {
            if !sizes.contains(&sample.size) {
                sizes.push(sample.size);
            }
        }
        for figure in sweep.fitted {
            run.fits.extend(fit::lines(&run.samples[from..], sweep.name, figure));
        }
    }
    run.took = begun.elapsed().as_secs_f64();
    run.machine.load_after = load_average();
    println!("{}", run.table());
    match &arguments.out {
        Some(path) => fs::write(path, run.json() + "\n")?,
        None => println!("{}", run.json()),
    }
    Ok(run.failed.is_empty())
}

/// Serves as `ploverport serve` does without an operator's file.
fn broker() -> io::Result<()> {
    plover_telemetry::init(plover_telemetry::Format::Logfmt, tracing::Level::INFO);
    let (limit, open) = (descriptors::limit(), descriptors::open_count());
    let signals = plover_broker::run::signals()?;
    let config = plover_config::read(plover_config::environment).map_err(io::Error::other)?;
    let operator = Operator::load(None, Some(platform(&config))).map_err(io::Error::other)?;
    let config = config.within(limit, open).map_err(io::Error::other)?;
    plover_broker::run::run(config, operator, signals, |_| ())
}

fn brokers(arguments: &Arguments, rig: &Path) -> io::Result<Vec<Broker>> {
    let mut brokers: Vec<Broker> = arguments
        .brokers
        .iter()
        .map(|words| {
            let (label, path) = words.split_once('=').unwrap_or(("broker", words));
            Broker { label: label.to_owned(), path: PathBuf::from(path), arguments: Vec::new() }
        })
        .collect();
    if brokers.is_empty() {
        brokers.push(Broker {
            label: "broker".to_owned(),
            path: rig.with_file_name("ploverport"),
            arguments: Vec::new(),
        });
    }
    match brokers.iter().find(|b| !b.path.is_file()) {
        Some(gone) => Err(io::Error::other(format!("{}: no such program", gone.path.display()))),
        None => Ok(brokers),
    }
}

/// What a program says of its version.
fn version(path: &Path) -> String {
    let output = std::process::Command::new(path).arg("--version").output();
    output.map_or_else(|e| e.to_string(), |o| String::from_utf8_lossy(&o.stdout).trim().to_owned())
}

/// The commit of the tree that this runs in, with `+` where the tree was changed.
fn commit() -> String {
    let git = |arguments: &[&str]| {
        let output = std::process::Command::new("git").args(arguments).output().ok()?;
        output.status.success().then(|| String::from_utf8_lossy(&output.stdout).trim().to_owned())
    };
    let Some(commit) = git(&["rev-parse", "--short=10", "HEAD"]) else { return "unknown".to_owned() };
    let changed = git(&["status", "--porcelain", "--untracked-files=no"]).is_some_and(|s| !s.is_empty());
    if changed { commit + "+" } else { commit }
}

/// A word of the command without the machine's paths.
fn in_short(word: &str) -> String {
    let (label, path) = word.split_once('=').map_or((None, word), |(l, p)| (Some(l), p));
    let name = Path::new(path).file_name().map_or(path, |n| n.to_str().unwrap_or(path));
    label.map_or_else(|| name.to_owned(), |label| format!("{label}={name}"))
}
