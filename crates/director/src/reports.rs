//! What proxies report of their load.

use plover_core::ServerStats;
use plover_model::server::NodeId;
use plover_model::time::{Micros, SECOND};
use plover_steering::assign::Traffic;
use plover_steering::quorum::{Quorum, Report};
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::sync::Arc;

/// What a proxy said of its traffic holds for so long.
const FRESH: Micros = 30 * SECOND;
/// Most proxies whose traffic is kept. Those that have said nothing for [`FRESH`] make room.
const MOST_NODES: usize = 16_384;

/// A proxy's load on one endpoint since its last report.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct EndpointLoad {
    /// Where it listens.
    pub address: SocketAddr,
    /// Requests that ended well.
    pub served: u64,
    /// Requests that failed.
    pub failed: u64,
}

/// A proxy's load on a cluster since its last report.
#[derive(Clone, Debug, PartialEq)]
pub struct ClusterLoad {
    /// The cluster.
    pub name: String,
    /// The time that it tells of.
    pub interval: Micros,
    /// Requests that were sent.
    pub issued: u64,
    /// Requests that are out.
    pub in_progress: u64,
    /// Its endpoints.
    pub endpoints: Vec<EndpointLoad>,
}

#[derive(Default)]
pub(crate) struct Reports {
    /// What was reported since the last turn, of all proxies together.
    sums: BTreeMap<NodeId, (u64, u64)>,
    traffic: BTreeMap<Arc<str>, BTreeMap<usize, (Micros, Traffic)>>,
    /// Before this, room is not looked for again.
    next_sweep: Micros,
    /// Reports of proxies whose traffic found no room.
    unkept: u64,
}

impl Reports {
    pub(crate) fn take(
        &mut self,
        now: Micros,
        node: &str,
        clusters: &[ClusterLoad],
        names: &BTreeMap<SocketAddr, NodeId>,
        quorum: &mut Quorum,
    ) {
        let proxy: Arc<str> = node.into();
        let room = self.has_room(now, node);
        self.unkept += u64::from(!room);
        for cluster in clusters {
            let cell = cluster.name.strip_prefix("cell-").and_then(|n| n.parse::<usize>().ok());
            if let Some(cell) = cell.filter(|_| cluster.interval > 0 && room) {
                let rate = cluster.issued as f64 * SECOND as f64 / cluster.interval as f64;
                let traffic = Traffic { rate, out: cluster.in_progress as f64 };
                self.traffic.entry(proxy.clone()).or_default().insert(cell, (now, traffic));
            }
            for e in &cluster.endpoints {
                let Some(server) = names.get(&e.address) else { continue };
                let sum = self.sums.entry(server.clone()).or_default();
                *sum = (sum.0.saturating_add(e.served), sum.1.saturating_add(e.failed));
                // The protocol does not tell a failure with an answer from one without. Where nothing at all was served
                // the server may be out of reach, which is the milder word: in a zone that is cut off, it takes none out.
                let (errors, silent) = if e.served > 0 { (e.failed, 0) } else { (0, e.failed) };
                quorum.report(now, &proxy, server, Report { served: e.served, errors, silent });
            }
        }
    }

    /// Whether a proxy's traffic may be kept. Proxies come back under new names, so that those that went make room.
    fn has_room(&mut self, now: Micros, node: &str) -> bool {
        if self.traffic.contains_key(node) {
            return true;
        }
        if self.traffic.len() >= MOST_NODES && now >= self.next_sweep {
            self.next_sweep = now + SECOND;
            let fresh = |(at, _): &(Micros, Traffic)| now < at.saturating_add(FRESH);
            self.traffic.retain(|_, cells| cells.values().any(fresh));
        }
        self.traffic.len() < MOST_NODES
    }

    /// Reports so far of proxies whose traffic found no room.
    pub(crate) fn unkept(&self) -> u64 {
        self.unkept
    }

    /// What the decisions are to hear of it since the last turn. Failures count only where a quorum of proxies found them:
    /// one proxy's view takes no server out.
    pub(crate) fn drain(&mut self, failing: &BTreeSet<&NodeId>) -> Vec<ServerStats> {
        let sums = std::mem::take(&mut self.sums).into_iter();
        let seen = sums.map(|(server, (served, failed))| {
            let errors = if failing.contains(&server) { failed } else { 0 };
            ServerStats { server, served, errors, lost: 0, mean_elapsed: None }
        });
        seen.filter(|s| s.served + s.errors > 0).collect()
    }

    pub(crate) fn traffic(&self, now: Micros, node: &str, cell: usize) -> Option<Traffic> {
        let (at, traffic) = self.traffic.get(node)?.get(&cell)?;
        (now < at.saturating_add(FRESH)).then_some(*traffic)
    }
}
