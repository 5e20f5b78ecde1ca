//! `ploverport bench`: what both fronts cost, side by side in one run, against stand-ins on loopback.

mod floods;
mod memory;

use crate::cli::BenchArguments;
use hdrhistogram::Histogram;
use indicatif::{ProgressBar, ProgressStyle};
use plover_broker::operator::read_text;
use plover_load::{Load, Outcome, Target, open_loop};
use plover_standins::{Deployment, Fleet, Plan, Program};
use serde_json::{Value, json};
use std::io::{self, Write};
use std::net::SocketAddr;
use std::path::PathBuf;
use std::process::ExitCode;
use std::time::Duration;

/// The system counts processor time in hundredths of a second: less than this says little.
const LEAST_CPU: Duration = Duration::from_millis(200);

/// One measurement: what it is, and the figures.
struct Row {
    what: String,
    rate: f64,
    /// The broker's processor time for each query; `None`: too little to be told from the system's ticks.
    cpu_us: Option<f64>,
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
}

/// Which front, over how many connections.
#[derive(Clone, Copy)]
enum Front {
    /// None: straight to a data server.
    Direct,
    Http1(usize),
    Http2(usize),
}

impl Front {
    fn name(self) -> String {
        match self {
            Front::Direct => "no broker".to_owned(),
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

impl Measurement {
    fn name(&self) -> String {
        format!("{}, {} at once", self.front.name(), self.at_once)
    }
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
        for front in [Front::Direct, Front::Http1(1), Front::Http2(1)] {
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
    let exe = arguments.exe.clone().map_or_else(std::env::current_exe, Ok)?;
    let lines = arguments.lines.as_deref().map_or_else(|| Ok(String::new()), read_text);
    let lines = lines.map_err(io::Error::other)?;
    let build = Build { exe, http2: !arguments.http1_only, lines };
    let mut plan = plan();
    plan.retain(|m| build.http2 || !matches!(m.front, Front::Http2(_)));
    plan.retain(|m| build.http2 || matches!(m.turns, Turns::Ticks));
    plan.retain(|m| format!(" {} {}", m.name(), m.turns.name()).contains(&arguments.only));
    let asked = |(http2, queries): &(bool, usize)| {
        (build.http2 || !http2) && format!("{} {queries}", version(*http2)).contains(&arguments.only)
    };
    let sizes: Vec<_> = memory::SIZES.into_iter().filter(asked).collect();
    let floods = if build.http2 { &floods::KINDS[..] } else { &[] };
    let floods: Vec<_> = floods.iter().filter(|(what, _)| what.contains(&arguments.only)).collect();
    let steps = plan.len() + sizes.len() + floods.len();
    let bar = ProgressBar::new(steps as u64);
    let style =
        ProgressStyle::with_template("{pos}/{len} {wide_bar} {msg} {eta}").map_err(io::Error::other)?;
    bar.set_style(style);
    let mut rows = Vec::new();
    for measurement in &plan {
        bar.set_message(measurement.front.name());
        rows.push((measurement, measure(&build, measurement, seconds)?));
        bar.inc(1);
    }
    let mut held = Vec::new();
    for (http2, queries) in sizes {
        bar.set_message(format!("memory of {queries} requests"));
        held.push((http2, queries, memory::measure(&build, http2, queries)?));
        bar.inc(1);
    }
    let mut flooded = Vec::new();
    for &(what, kind) in floods {
        bar.set_message(format!("flood: {what}"));
        flooded.push(floods::measure(&build, what, kind, seconds)?);
        bar.inc(1);
    }
    bar.finish_and_clear();
    let text = if arguments.json {
        let load: Vec<Value> = rows.iter().map(|(m, row)| row.json(m)).collect();
        let memory: Vec<Value> = held.iter().map(memory_json).collect();
        let floods: Vec<Value> = flooded.iter().map(flood_json).collect();
        json!({"load": load, "memory": memory, "floods": floods}).to_string() + "\n"
    } else {
        table(&rows) + &memory_table(&held) + &flood_table(&flooded)
    };
    io::stdout().write_all(text.as_bytes())
}

/// A deployment with room for whatever is measured.
fn deployment() -> Deployment {
    Deployment { max_open: 20_000, memory_mb: 1024, ..Deployment::default() }
}

/// The build that is measured.
struct Build {
    exe: PathBuf,
    http2: bool,
    /// What stands below the rest of the operator's file.
    lines: String,
}

impl Build {
    /// A fleet, and a broker with the fronts that the build has.
    fn start(&self, plan: Plan, gather: bool) -> io::Result<(Fleet, Program)> {
        let fleet = Fleet::start(plan)?;
        let http2 = if self.http2 { "listen-http2 127.0.0.1:0\nhttp2-streams 400\n" } else { "" };
        let gather = if gather { "gather-time 5ms\n" } else { "" };
        let program =
            Program::start(&self.exe, deployment(), &fleet, &format!("{http2}{gather}{}", self.lines))?;
        Ok((fleet, program))
    }
}

fn http2(program: &Program) -> io::Result<SocketAddr> {
    program.http2.ok_or_else(|| io::Error::other("the broker does not listen for HTTP/2"))
}

/// A broker and a fleet of its own for each measurement, so that none inherits from another.
fn measure(build: &Build, m: &Measurement, seconds: Duration) -> io::Result<Row> {
    let plan = Plan { work: Duration::ZERO, ..Plan::default() };
    let (fleet, program) = build.start(plan, matches!(m.turns, Turns::Gather))?;
    let target = match m.front {
        Front::Direct => Target::Direct(fleet.servers()[0].address),
        Front::Http1(n) => Target::Http1(program.http1, n),
        Front::Http2(n) => Target::Http2(http2(&program)?, n),
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
        what: m.name(),
        rate: served as f64 / time.as_secs_f64(),
        cpu_us: (cpu >= LEAST_CPU).then(|| cpu.as_secs_f64() * 1e6 / asked),
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
        let cpu = row.cpu_us.map_or("-".to_owned(), |us| format!("{us:.1}"));
        let asked = m.rate.map_or("all".to_owned(), |r| format!("{r:.0}"));
        text += &format!(
            "{:<40} {:<7} {asked:>9} {:>9.0} {:>8.2} {:>8.2} {:>8.2} {cpu:>8} {:>11.2} {:>8}\n",
            row.what,
            m.turns.name(),
            row.rate,
            row.quantile(0.5),
            row.quantile(0.99),
            row.quantile(0.999),
            row.calls,
            row.unserved
        );
    }
    text + "Latency counts from when a query was due. CPU is the broker's, a query. Two parts a query; servers answer at once.\n"
}

/// Over HTTP/2 or not, queries at once, memory before and with them.
type Held = (bool, usize, (u64, u64));

fn version(http2: bool) -> &'static str {
    if http2 { "HTTP/2, 100 a connection" } else { "HTTP/1.1" }
}

fn each((_, queries, (before, with)): &Held) -> f64 {
    with.saturating_sub(*before) as f64 / *queries as f64 / 1024.0
}

fn memory_json(held: &Held) -> Value {
    let (http2, queries, (before, with)) = held;
    json!({"front": version(*http2), "queries": queries, "bytes_before": before, "bytes_with": with, "kib_each": each(held)})
}

fn memory_table(rows: &[Held]) -> String {
    let mut text = format!(
        "\n{:<26} {:>8} {:>11} {:>11} {:>9}\n",
        "front", "requests", "before MiB", "with MiB", "KiB each"
    );
    for held @ (http2, queries, (before, with)) in rows {
        let mib = |bytes: &u64| *bytes as f64 / f64::from(1 << 20);
        let (before, with) = (mib(before), mib(with));
        text += &format!(
            "{:<26} {queries:>8} {before:>11.1} {with:>11.1} {:>9.1}\n",
            version(*http2),
            each(held)
        );
    }
    text + "Resident memory of the broker with so many requests whose body is still to come.\n"
}

fn flood_json(row: &floods::Row) -> Value {
    let ms = |q| row.latency.value_at_quantile(q) as f64 / 1000.0;
    json!({"flood": row.what, "p50_ms": ms(0.5), "p99_ms": ms(0.99), "p999_ms": ms(0.999), "unserved": row.unserved,
        "ended": row.ended, "longest_s": row.longest.as_secs_f64()})
}

fn flood_table(rows: &[floods::Row]) -> String {
    let mut text = format!(
        "\n{:<14} {:>8} {:>8} {:>8} {:>9} {:>7} {:>10}\n",
        "flood", "p50 ms", "p99 ms", "p99.9", "unserved", "ended", "longest s"
    );
    for row in rows {
        let ms = |q| row.latency.value_at_quantile(q) as f64 / 1000.0;
        text += &format!(
            "{:<14} {:>8.2} {:>8.2} {:>8.2} {:>9} {:>7} {:>10.2}\n",
            row.what,
            ms(0.5),
            ms(0.99),
            ms(0.999),
            row.unserved,
            row.ended,
            row.longest.as_secs_f64()
        );
    }
    text + "Usual clients ask 500 queries a second over two connections; one attacker comes back as soon as it is ended.\n"
}
