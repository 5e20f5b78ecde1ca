//! `ploverport xds dump`: what a proxy would be told.

use super::runtime;
use crate::cli::{DumpArguments, Manner};
use plover_xds::{Kind, Variant};
use plover_xds_client::{Options, Proxy, State, Style};
use serde_json::{Value, json};
use std::io::{self, Write};
use std::process::ExitCode;
use std::time::Duration;

/// Once nothing came for so long, it is all there.
const QUIET: Duration = Duration::from_millis(400);
/// The longest that is waited for the first word.
const PATIENCE: Duration = Duration::from_secs(5);

/// Connects as a proxy, and prints what came.
pub(crate) fn run(arguments: &DumpArguments) -> ExitCode {
    let state = runtime().and_then(|runtime| {
        let state = runtime.block_on(gather(arguments));
        runtime.shutdown_background();
        state
    });
    let state = match state {
        Ok(state) => state,
        Err(error) => {
            let _ = writeln!(io::stderr(), "{}: {error}", arguments.address);
            return ExitCode::FAILURE;
        }
    };
    let text = if arguments.json { json(&state).to_string() + "\n" } else { table(&state) };
    let _ = io::stdout().write_all(text.as_bytes());
    ExitCode::SUCCESS
}

async fn gather(arguments: &DumpArguments) -> io::Result<State> {
    let variant = if arguments.sotw { Variant::Sotw } else { Variant::Delta };
    let style = match arguments.manner {
        Manner::Envoy => Style::Envoy,
        Manner::Grpc => Style::Grpc,
    };
    let options = Options { name: arguments.name.clone(), ..Options::new(&arguments.node, variant, style) };
    let proxy = Proxy::connect(arguments.address, options, State::default());
    let proxy = tokio::time::timeout(PATIENCE, proxy).await.map_err(|_| io::ErrorKind::TimedOut)?;
    let mut proxy = proxy.map_err(|status| io::Error::other(status.message().to_owned()))?;
    if !proxy.until(PATIENCE, |state| !state.updates.is_empty()).await {
        let ended = tokio::time::timeout(Duration::from_millis(1), proxy.ended()).await;
        let why = ended.ok().flatten().map_or_else(
            || "nothing came: the service does not know its list of servers yet".to_owned(),
            |status| status.message().to_owned(),
        );
        return Err(io::Error::other(why));
    }
    let mut seen = 0;
    loop {
        let now = proxy.state(|state| state.updates.len());
        if now == seen {
            return Ok(proxy.state(Clone::clone));
        }
        seen = now;
        tokio::time::sleep(QUIET).await;
    }
}

fn json(state: &State) -> Value {
    let endpoints = |cluster: &str| -> Vec<Value> {
        let all = state.endpoints(cluster).unwrap_or_default();
        let one = |e: &plover_xds_client::Endpoint| json!({"address": e.address.to_string(), "health": e.health, "weight": e.weight});
        all.iter().map(one).collect()
    };
    let clusters: Vec<Value> = state
        .kind(Kind::Cluster)
        .map(|(name, held)| {
            json!({"name": name, "version": held.version, "most_out": state.most_out(name),
                "expires": held.expires.is_some(), "endpoints": endpoints(name)})
        })
        .collect();
    let routes: Vec<Value> = state
        .routes()
        .into_iter()
        .map(|(name, clusters)| {
            let clusters: Vec<Value> = clusters
                .into_iter()
                .map(|(cluster, weight)| json!({"cluster": cluster, "weight": weight}))
                .collect();
            json!({"route": name, "clusters": clusters})
        })
        .collect();
    let listeners: Vec<&String> = state.kind(Kind::Listener).map(|(name, _)| name).collect();
    json!({"clusters": clusters, "routes": routes, "listeners": listeners})
}

fn table(state: &State) -> String {
    let mut text = String::new();
    for (name, held) in state.kind(Kind::Cluster) {
        let most = state.most_out(name).map_or(String::new(), |n| format!(", at most {n} out"));
        let ttl = if held.expires.is_some() { ", for a while" } else { "" };
        text += &format!("cluster {name}, version {}{most}{ttl}\n", held.version);
        text += &format!("  {:<24} {:<10} {:>6}\n", "endpoint", "health", "weight");
        for e in state.endpoints(name).unwrap_or_default() {
            text += &format!("  {:<24} {:<10} {:>6}\n", e.address.to_string(), e.health, e.weight);
        }
    }
    for (name, clusters) in state.routes() {
        let to: Vec<String> =
            clusters.iter().map(|(cluster, weight)| format!("{cluster} ({weight})")).collect();
        text += &format!("route {name} to {}\n", to.join(", "));
    }
    for (name, _) in state.kind(Kind::Listener) {
        text += &format!("listener {name}\n");
    }
    text
}
