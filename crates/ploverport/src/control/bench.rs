//! `ploverport bench-control`: from a change of the list to the last proxy, over growing sizes.

use super::runtime;
use crate::cli::BenchControlArguments;
use hdrhistogram::Histogram;
use indicatif::{ProgressBar, ProgressStyle};
use plover_standins::{Deployment, Entry, List, Program};
use plover_xds::{Kind, Variant};
use plover_xds_client::{Options, Proxy, State, Style};
use serde_json::{Value, json};
use std::io::{self, Write};
use std::net::SocketAddr;
use std::process::ExitCode;
use std::time::{Duration, Instant};
use tonic::transport::{Channel, Endpoint};

/// All proxies must have heard by then.
const BOUND: Duration = Duration::from_secs(60);
/// Between two changes.
const PAUSE: Duration = Duration::from_millis(300);

struct Row {
    variant: Variant,
    proxies: usize,
    endpoints: u32,
    cells: usize,
    /// Microseconds from the change to each proxy's having it.
    heard: Histogram<u64>,
    /// From the start of all proxies together to the last one's having it all.
    first: Duration,
    bytes_first: u64,
    bytes_change: u64,
    cpu_ms_change: f64,
    kib_stream: f64,
}

/// Measures all sizes, and prints them.
pub(crate) fn run(arguments: &BenchControlArguments) -> ExitCode {
    match measure_all(arguments) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            let _ = writeln!(io::stderr(), "the benchmark could not be run: {error}");
            ExitCode::FAILURE
        }
    }
}

fn measure_all(arguments: &BenchControlArguments) -> io::Result<()> {
    let runtime = runtime()?;
    let mut sizes = Vec::new();
    for variant in [Variant::Delta, Variant::Sotw] {
        for proxies in &arguments.proxies {
            sizes.extend(arguments.endpoints.iter().map(|endpoints| (variant, *proxies, *endpoints)));
        }
    }
    let bar = ProgressBar::new(sizes.len() as u64);
    bar.set_style(
        ProgressStyle::with_template("{pos}/{len} {wide_bar} {msg} {eta}").map_err(io::Error::other)?,
    );
    let mut rows = Vec::new();
    for (variant, proxies, endpoints) in sizes {
        bar.set_message(format!("{proxies} proxies, {endpoints} endpoints"));
        rows.push(runtime.block_on(measure(variant, proxies, endpoints, arguments))?);
        bar.inc(1);
    }
    bar.finish_and_clear();
    runtime.shutdown_background();
    let text = if arguments.json {
        Value::from(rows.iter().map(Row::json).collect::<Vec<_>>()).to_string() + "\n"
    } else {
        table(&rows)
    };
    io::stdout().write_all(text.as_bytes())
}

fn bytes(proxies: &[Proxy]) -> u64 {
    let of = |state: &State| state.updates.iter().map(|u| u.length as u64).sum::<u64>();
    proxies.iter().map(|p| p.state(of)).sum()
}

async fn channel(to: SocketAddr) -> io::Result<Channel> {
    let endpoint = Endpoint::from_shared(format!("http://{to}")).map_err(io::Error::other)?;
    let endpoint = endpoint.initial_stream_window_size(Some(1 << 20)).tcp_nodelay(true);
    endpoint.connect().await.map_err(io::Error::other)
}

async fn measure(
    variant: Variant,
    proxies: usize,
    endpoints: u32,
    arguments: &BenchControlArguments,
) -> io::Result<Row> {
    let (cells, changes) = (arguments.cells.max(1), arguments.changes);
    let entry = |n: u32| Entry::active(n, n as usize % cells);
    let entries: Vec<Entry> = (0..endpoints).map(entry).collect();
    let list = List::start(&entries)?;
    let none = json!({"rev": 0, "all": true, "targets": []});
    let configuration =
        Deployment { cells, ..Deployment::default() }.around(list.address, &none, "127.0.0.1:0");
    let exe = std::env::current_exe()?;
    let operator = "control-listen 127.0.0.1:0\nlog-level warn\n";
    // The one line that tells where it listens is none at this level.
    let operator = operator.replace("warn", "info");
    let (program, listen) = Program::control(&exe, &configuration, &operator)?;
    let warm = Proxy::over(channel(listen).await?, options("warm", variant), State::default()).await;
    let warm = warm.map_err(io::Error::other)?;
    if !warm.until(BOUND, |s| s.endpoints("cell-0").is_some()).await {
        return Err(io::Error::other("the service does not learn its list"));
    }
    drop(warm);
    let before = program.memory()?;
    let begun = Instant::now();
    let mut all = Vec::with_capacity(proxies);
    for n in 0..proxies {
        let proxy = Proxy::over(channel(listen).await?, options(&format!("p{n}"), variant), State::default());
        all.push(proxy.await.map_err(io::Error::other)?);
    }
    let told = cells.min(endpoints as usize);
    let whole = |s: &State| s.kind(Kind::Endpoints).count() >= told && s.kind(Kind::Route).next().is_some();
    for proxy in &all {
        if !proxy.until(BOUND, whole).await {
            return Err(io::Error::other("a proxy is not told all"));
        }
    }
    let first = begun.elapsed();
    let bytes_first = bytes(&all) / proxies as u64;
    tokio::time::sleep(PAUSE).await;
    let kib_stream = program.memory()?.saturating_sub(before) as f64 / 1024.0 / proxies as f64;
    let (cpu, sent) = (program.cpu()?, bytes(&all));
    let mut heard = Histogram::new(3).map_err(io::Error::other)?;
    for change in 0..changes {
        let number = change as u32 % endpoints;
        let seen: Vec<usize> = all.iter().map(|p| p.state(|s| s.updates.len())).collect();
        let at = Instant::now();
        list.set(&[Entry { state: "leaving", ..entry(number) }]);
        for (proxy, seen) in all.iter().zip(&seen) {
            let told = |s: &State| {
                s.updates[(*seen).min(s.updates.len())..].iter().any(|u| u.kind == Kind::Endpoints)
            };
            if !proxy.until(BOUND, told).await {
                return Err(io::Error::other("a proxy does not hear of a change"));
            }
            let came =
                proxy.state(|s| s.updates[*seen..].iter().find(|u| u.kind == Kind::Endpoints).map(|u| u.at));
            let took = came.map_or(BOUND, |came| came.saturating_duration_since(at));
            heard.record(took.as_micros() as u64).map_err(io::Error::other)?;
        }
        tokio::time::sleep(PAUSE).await;
    }
    let changes = changes.max(1) as f64;
    Ok(Row {
        variant,
        proxies,
        endpoints,
        cells,
        heard,
        first,
        bytes_first,
        bytes_change: ((bytes(&all) - sent) as f64 / proxies as f64 / changes) as u64,
        cpu_ms_change: (program.cpu()? - cpu).as_secs_f64() * 1000.0 / changes,
        kib_stream,
    })
}

fn options(node: &str, variant: Variant) -> Options {
    Options::new(node, variant, Style::Envoy)
}

impl Row {
    fn ms(&self, quantile: f64) -> f64 {
        self.heard.value_at_quantile(quantile) as f64 / 1000.0
    }

    fn json(&self) -> Value {
        json!({"variant": name(self.variant), "proxies": self.proxies, "endpoints": self.endpoints, "cells": self.cells,
            "p50_ms": self.ms(0.5), "p99_ms": self.ms(0.99), "max_ms": self.ms(1.0),
            "all_connected_ms": self.first.as_secs_f64() * 1000.0, "bytes_first": self.bytes_first,
            "bytes_change": self.bytes_change, "cpu_ms_change": self.cpu_ms_change, "kib_stream": self.kib_stream})
    }
}

fn name(variant: Variant) -> &'static str {
    match variant {
        Variant::Sotw => "sotw",
        Variant::Delta => "delta",
    }
}

fn table(rows: &[Row]) -> String {
    let mut text = format!(
        "{:<7} {:>7} {:>9} {:>8} {:>8} {:>8} {:>9} {:>11} {:>12} {:>10} {:>10}\n",
        "variant",
        "proxies",
        "endpoints",
        "p50 ms",
        "p99 ms",
        "max ms",
        "start ms",
        "first KiB",
        "change KiB",
        "CPU ms",
        "KiB each"
    );
    for row in rows {
        let kib = |bytes: u64| bytes as f64 / 1024.0;
        text += &format!(
            "{:<7} {:>7} {:>9} {:>8.1} {:>8.1} {:>8.1} {:>9.0} {:>11.1} {:>12.1} {:>10.1} {:>10.0}\n",
            name(row.variant),
            row.proxies,
            row.endpoints,
            row.ms(0.5),
            row.ms(0.99),
            row.ms(1.0),
            row.first.as_secs_f64() * 1000.0,
            kib(row.bytes_first),
            kib(row.bytes_change),
            row.cpu_ms_change,
            row.kib_stream
        );
    }
    text + "From a drain in the list to a proxy's having applied it, over all proxies and changes; start: all proxies one\n\
        after another, to the last one's having all of it; bytes a proxy; CPU of the service a change; memory of the service\n\
        a proxy, with its connection. Service, proxies and list share the machine.\n"
}
