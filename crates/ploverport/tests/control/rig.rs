//! A control service, its list, and proxies.

use plover_standins::{Deployment, Entry, List, Program};
use plover_xds::{Kind, Variant};
use plover_xds_client::{Options, Proxy, State, Style};
use serde_json::json;
use std::net::SocketAddr;
use std::path::Path;
use std::time::{Duration, SystemTime, UNIX_EPOCH};

/// Far beyond what a slow machine needs for whatever is waited for.
pub(crate) const BOUND: Duration = Duration::from_secs(30);

pub(crate) struct Rig {
    pub(crate) list: List,
    pub(crate) program: Program,
    pub(crate) listen: SocketAddr,
    runtime: tokio::runtime::Runtime,
}

pub(crate) fn rig(entries: &[Entry]) -> Rig {
    rig_with(entries, "")
}

pub(crate) fn rig_with(entries: &[Entry], operator: &str) -> Rig {
    let list = List::start(entries).unwrap();
    let (program, listen) = start(&list, operator);
    let runtime = tokio::runtime::Builder::new_multi_thread().worker_threads(2).enable_all().build().unwrap();
    Rig { list, program, listen, runtime }
}

/// A service that knows nothing of its list before discovery tells it.
pub(crate) fn start(list: &List, operator: &str) -> (Program, SocketAddr) {
    let none = json!({"rev": 0, "all": true, "targets": []});
    let configuration =
        Deployment { cells: 2, ..Deployment::default() }.around(list.address, &none, "127.0.0.1:0");
    // Proxies here do not stand still for long, so that a service that has just begun need not wait for those of before.
    let listen = if operator.contains("control-listen") { "" } else { "control-listen 127.0.0.1:0\n" };
    let operator =
        format!("{listen}log-level debug\ncontrol-longest-pause 1ms\ncontrol-time-to-live 1s\n{operator}");
    Program::control(Path::new(env!("CARGO_BIN_EXE_ploverport")), &configuration, &operator).unwrap()
}

impl Rig {
    pub(crate) fn run<T>(&self, work: impl Future<Output = T>) -> T {
        self.runtime.block_on(async { tokio::time::timeout(2 * BOUND, work).await.expect("it does not end") })
    }

    pub(crate) async fn connect(&self, options: Options, held: State) -> Proxy {
        Proxy::connect(self.listen, options, held).await.unwrap()
    }
}

pub(crate) fn usual(node: &str, variant: Variant, style: Style) -> Options {
    Options::new(node, variant, style)
}

pub(crate) fn unix_ms() -> u64 {
    SystemTime::now().duration_since(UNIX_EPOCH).unwrap().as_millis() as u64
}

/// Whether a proxy has all that it needs to send.
pub(crate) fn is_whole(state: &State) -> bool {
    let pointed = state.pointed_at();
    !pointed.is_empty() && pointed.iter().all(|c| state.endpoints(c).is_some())
}

/// Whether an endpoint is told as healthy, in any cluster.
pub(crate) fn is_healthy(state: &State, entry: &Entry) -> bool {
    let clusters: Vec<String> = state.kind(Kind::Endpoints).map(|(name, _)| name.clone()).collect();
    let mut endpoints = clusters.iter().flat_map(|c| state.endpoints(c).unwrap_or_default());
    endpoints.any(|e| e.address == entry.address() && e.healthy)
}
