//! `ploverport bench`: what both fronts cost, side by side in one run, against stand-ins on loopback.

use crate::cli::BenchArguments;
use hdrhistogram::Histogram;
use indicatif::{ProgressBar, ProgressStyle};
use plover_load::{Load, Outcome, Target, open_loop};
use plover_standins::{Deployment, Fleet, Plan, Program};
use serde_json::{Value, json};
use std::io::{self, Write};
use std::process::ExitCode;
use std::time::Duration;

/// One measurement: what it is, and the figures.
struct Row {
    what: String,
    rate: f64,
    cpu_us: f64,
    latency: Histogram<u64>,
    unserved: u64,
    calls: f64,
}

/// How turns are spaced in a measurement.
#[derive(Clone, Copy)]
enum Turns {
    /// A tick apart, as without an operator's file.
    Ticks,
    /// With `gather-time`.
    Gather,
}

impl Turns {
    fn name(self) -> &'static str {
        match self {
            Turns::Ticks => "ticks",
            Turns::Gather => "gather",
        }
    }

    fn operator(self) -> &'static str {
        match self {
            Turns::Ticks => "listen-http2 127.0.0.1:0\n",
            Turns::Gather => "listen-http2 127.0.0.1:0\ngather-time 5ms\n",
        }
    }
}

/// Which front, over how many connections.
#[derive(Clone, Copy)]
enum Front {
    Http1(usize),
    Http2(usize),
}

impl Front {
    fn name(self) -> String {
        match self {
            Front::Http1(n) => format!("HTTP/1.1, {n} connections"),
            Front::Http2(n) => format!("HTTP/2, {n} connections"),
        }
    }
}

struct Measurement {
    front: Front,
    turns: Turns,
    /// Queries a second; `None`: as many as are answered.
    rate: Option<f64>,
    at_once: usize,
}

/// Runs all measurements and prints them.
pub(crate) fn run(arguments: &BenchArguments) -> ExitCode {
    match measure_all(arguments) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            let _ = writeln!(io::stderr(), "the benchmark could not be run: {error}");
            ExitCode::FAILURE
        }
    }
}

fn plan() -> Vec<Measurement> {
    let mut plan = Vec::new();
    for turns in [Turns::Ticks, Turns::Gather] {
        // One after another, far from any load: what the broker adds by itself.
        for front in [Front::Http1(1), Front::Http2(1)] {
            plan.push(Measurement { front, turns, rate: Some(50.0), at_once: 1 });
        }
        for front in [Front::Http1(256), Front::Http2(4)] {
            plan.push(Measurement { front, turns, rate: Some(4000.0), at_once: 256 });
        }
        for (front, at_once) in [
            (Front::Http1(16), 16),
            (Front::Http2(1), 16),
            (Front::Http1(100), 100),
            (Front::Http2(1), 100),
            (Front::Http1(400), 400),
            (Front::Http2(4), 400),
        ] {
            plan.push(Measurement { front, turns, rate: None, at_once });
        }
    }
    plan
}

fn measure_all(arguments: &BenchArguments) -> io::Result<()> {
    let seconds = Duration::from_secs_f64(arguments.seconds);
    let plan = plan();
    let bar = ProgressBar::new(plan.len() as u64);
    let style =
        ProgressStyle::with_template("{pos}/{len} {wide_bar} {msg} {eta}").map_err(io::Error::other)?;
    bar.set_style(style);
    let mut rows = Vec::new();
    for measurement in &plan {
        bar.set_message(measurement.front.name());
        rows.push((measurement, measure(measurement, seconds)?));
        bar.inc(1);
    }
    bar.finish_and_clear();
    let text = if arguments.json {
        Value::Array(rows.iter().map(|(m, row)| row.json(m)).collect()).to_string() + "\n"
    } else {
        table(&rows)
    };
    io::stdout().write_all(text.as_bytes())
}

/// A broker and a fleet of its own for each measurement, so that none inherits from another.
fn measure(m: &Measurement, seconds: Duration) -> io::Result<Row> {
    let fleet = Fleet::start(Plan { servers: 4, work: Duration::ZERO, ..Plan::default() })?;
    let deployment = Deployment { max_open: 20_000, memory_mb: 1024, ..Deployment::default() };
    let exe = std::env::current_exe()?;
    let program = Program::start(&exe, deployment, &fleet, m.turns.operator())?;
    let http2 = program.http2.ok_or_else(|| io::Error::other("the broker does not listen for HTTP/2"))?;
    let target = match m.front {
        Front::Http1(n) => Target::Http1(program.http1, n),
        Front::Http2(n) => Target::Http2(http2, n),
    };
    let warm_up = seconds.mul_f64(0.2);
    let mut load = Load {
        rate: m.rate,
        at_once: m.at_once,
        time: warm_up,
        warm_up: Duration::ZERO,
        seed: 7,
        class: "lookup".to_owned(),
        shards: vec![0, 1],
    };
    open_loop(target, &load)?;
    let (cpu, attempts) = (program.cpu()?, fleet.attempts());
    load.time = seconds;
    load.seed = 8;
    let Outcome { latency, served, unserved, time } = open_loop(target, &load)?;
    let cpu = program.cpu()? - cpu;
    let (parts, calls) = fleet.attempts();
    let calls = (parts - attempts.0) as f64 / (calls - attempts.1).max(1) as f64;
    let asked = (served + unserved).max(1) as f64;
    Ok(Row {
        what: format!("{}, {} at once", m.front.name(), m.at_once),
        rate: served as f64 / time.as_secs_f64(),
        cpu_us: cpu.as_secs_f64() * 1e6 / asked,
        latency,
        unserved,
        calls,
    })
}

impl Row {
    fn quantile(&self, q: f64) -> f64 {
        self.latency.value_at_quantile(q) as f64 / 1000.0
    }

    fn json(&self, m: &Measurement) -> Value {
        json!({"what": self.what, "turns": m.turns.name(), "asked_per_s": m.rate, "served_per_s": self.rate,
            "unserved": self.unserved, "cpu_us_per_query": self.cpu_us, "parts_per_call": self.calls,
            "p50_ms": self.quantile(0.5), "p99_ms": self.quantile(0.99), "p999_ms": self.quantile(0.999)})
    }
}

fn table(rows: &[(&Measurement, Row)]) -> String {
    let mut text = format!(
        "{:<40} {:<7} {:>9} {:>9} {:>8} {:>8} {:>8} {:>8} {:>11} {:>8}\n",
        "front",
        "turns",
        "asked/s",
        "served/s",
        "p50 ms",
        "p99 ms",
        "p99.9",
        "CPU us",
        "parts/call",
        "unserved"
    );
    for (m, row) in rows {
        let asked = m.rate.map_or("all".to_owned(), |r| format!("{r:.0}"));
        text += &format!(
            "{:<40} {:<7} {asked:>9} {:>9.0} {:>8.2} {:>8.2} {:>8.2} {:>8.1} {:>11.2} {:>8}\n",
            row.what,
            m.turns.name(),
            row.rate,
            row.quantile(0.5),
            row.quantile(0.99),
            row.quantile(0.999),
            row.cpu_us,
            row.calls,
            row.unserved
        );
    }
    text + "Latency counts from when a query was due. CPU is the broker's, a query. Two parts a query; servers answer at once.\n"
}
