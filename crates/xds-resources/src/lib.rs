//! What proxies are told, as resources of xDS v3 (`envoy/config/*/v3`), encoded.
//!
//! They are such as Envoy-style proxies and proxyless gRPC clients both take: clusters whose endpoints come over the
//! same stream, one route configuration, and a listener for clients that ask for it by name (gRPC's "API listener").
//! What only one of the two knows (subsets by row, circuit breakers on connections) the other passes over.

mod cluster;
mod endpoints;
mod listener;
mod route;

use envoy_types::pb::envoy::config::core::v3::{
    AggregatedConfigSource, ApiVersion, ConfigSource, SelfConfigSource, config_source::ConfigSourceSpecifier,
};
use envoy_types::pb::google::protobuf::UInt32Value;
use plover_model::time::{MILLI, Micros};
use plover_steering::assign::{Cell, Cold};
use plover_xds::{Kind, Resource, Snapshot, Version, wire};
use prost::Message;
use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;
use xxhash_rust::xxh3::xxh3_64;

/// Figures of the resources that no decision makes.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Frame {
    /// Name of the listener and of the route configuration.
    pub name: Arc<str>,
    /// Names of the zones, in the order of their indices.
    pub zones: Vec<String>,
    /// A connection to a server must be up within this time.
    pub dial: Micros,
    /// A proxy forgets a cold server after this time without word.
    pub time_to_live: Micros,
    /// It forgets all others too after this time without word; `None`: it keeps them.
    pub cut_off: Option<Micros>,
}

/// The header whose value names the cell, where there are several.
pub const CELL_HEADER: &str = "x-plover-cell";
/// The header by which a query's parts keep to one row.
pub const ROW_HEADER: &str = "x-plover-row";
/// The subset key of a row.
pub(crate) const ROW_KEY: &str = "row";

/// Marks the beats of clusters that are told to all.
const KEPT: u64 = 1 << 63;

/// Name of a cell's cluster.
pub fn cell_name(cell: usize) -> String {
    format!("cell-{cell}")
}

/// Name of a cold server's cluster.
pub fn cold_name(server: &str) -> String {
    format!("cold-{server}")
}

fn whole(value: u32) -> Option<UInt32Value> {
    Some(UInt32Value { value })
}

/// "Over this stream."
fn ads() -> ConfigSource {
    ConfigSource {
        resource_api_version: ApiVersion::V3 as i32,
        config_source_specifier: Some(ConfigSourceSpecifier::Ads(AggregatedConfigSource {})),
        ..ConfigSource::default()
    }
}

/// "From the server that said this."
fn this_server() -> ConfigSource {
    ConfigSource {
        resource_api_version: ApiVersion::V3 as i32,
        config_source_specifier: Some(ConfigSourceSpecifier::Self_(SelfConfigSource::default())),
        ..ConfigSource::default()
    }
}

fn resource(kind: Kind, name: &str, message: &impl Message) -> Resource {
    let any = wire::any(kind.type_url(), &message.encode_to_vec());
    Resource {
        name: name.into(),
        version: Version(xxh3_64(&any)),
        beat: 0,
        any,
        ttl_ms: None,
        needs: Arc::new([]),
        by_name_only: false,
    }
}

/// Makes resources, and keeps those whose content did not change.
#[derive(Debug)]
pub struct Builder {
    frame: Frame,
    cells: BTreeMap<usize, (Cell, Arc<Resource>, Arc<Resource>)>,
    shared: Arc<Snapshot>,
    /// Endpoints that were encoded since the start, for measurements.
    encoded: u64,
}

impl Builder {
    /// With nothing made yet.
    pub fn new(frame: Frame) -> Self {
        Builder { frame, cells: BTreeMap::new(), shared: Arc::default(), encoded: 0 }
    }

    /// Endpoints that were encoded since the start.
    pub fn encoded(&self) -> u64 {
        self.encoded
    }

    /// What all proxies are told. The same as before, the very same, if the cells are.
    pub fn shared(&mut self, cells: &[Cell]) -> Arc<Snapshot> {
        let same = cells.len() == self.cells.len()
            && cells.iter().all(|c| self.cells.get(&c.cell).is_some_and(|(old, ..)| old == c));
        if same && !self.shared.kind(Kind::Listener).is_empty() {
            return self.shared.clone();
        }
        let named: BTreeSet<usize> = cells.iter().map(|c| c.cell).collect();
        self.cells.retain(|cell, _| named.contains(cell));
        let mut snapshot = Snapshot::default();
        for cell in cells {
            if self.cells.get(&cell.cell).is_none_or(|(old, ..)| old != cell) {
                let name = cell_name(cell.cell);
                let cluster = resource(Kind::Cluster, &name, &cluster::of_cell(&name, &self.frame));
                let endpoints =
                    resource(Kind::Endpoints, &name, &endpoints::of_cell(&name, cell, &self.frame));
                self.encoded += cell.endpoints.len() as u64;
                self.cells.insert(cell.cell, (cell.clone(), Arc::new(cluster), Arc::new(endpoints)));
            }
            if let Some((_, cluster, endpoints)) = self.cells.get(&cell.cell) {
                snapshot.insert(Kind::Cluster, cluster.clone());
                snapshot.insert(Kind::Endpoints, endpoints.clone());
            }
        }
        let name = self.frame.name.clone();
        let listener =
            Resource { by_name_only: true, ..resource(Kind::Listener, &name, &listener::api(&name)) };
        snapshot.insert(Kind::Listener, Arc::new(listener));
        snapshot.insert(Kind::Route, Arc::new(self.route(cells, &[])));
        self.shared = Arc::new(snapshot);
        self.shared.clone()
    }

    fn route(&self, cells: &[Cell], cold: &[Cold]) -> Resource {
        let (message, needs) = route::of_cells(&self.frame.name, cells, cold);
        let made = resource(Kind::Route, &self.frame.name, &message);
        Resource { needs: needs.into_iter().map(Into::into).collect(), ..made }
    }

    /// What all are told beside who heed a resource's time to live, where a proxy that is cut off is to stop: the cells'
    /// clusters with that time. They are short; the endpoints need not be sent again for it.
    pub fn kept(&self, beat: u64) -> Snapshot {
        let mut snapshot = Snapshot::default();
        if let Some(cut_off) = self.frame.cut_off {
            for (_, cluster, _) in self.cells.values() {
                // A number of its own kind: an acknowledgement of it is none of a lease.
                let beat = KEPT | beat;
                let kept = Resource { beat, ttl_ms: Some(cut_off / MILLI), ..(**cluster).clone() };
                snapshot.insert(Kind::Cluster, Arc::new(kept));
            }
        }
        snapshot
    }

    /// What the holder of leases is told beside that: a cluster for each of its cold servers, with a time to live, and a route
    /// that sends a little there. `beat` differs each time that the leases were prolonged.
    pub fn own(&self, kept: &Snapshot, cells: &[Cell], cold: &[Cold], beat: u64) -> Snapshot {
        let mut snapshot = kept.clone();
        if cold.is_empty() {
            return snapshot;
        }
        for c in cold {
            let name = cold_name(&c.name.0);
            let cluster = resource(Kind::Cluster, &name, &cluster::of_cold(&name, c.most_out, &self.frame));
            let ttl_ms = Some(self.frame.time_to_live / MILLI);
            snapshot.insert(Kind::Cluster, Arc::new(Resource { beat, ttl_ms, ..cluster }));
            let endpoints = endpoints::of_cold(&name, c);
            snapshot.insert(Kind::Endpoints, Arc::new(resource(Kind::Endpoints, &name, &endpoints)));
        }
        snapshot.insert(Kind::Route, Arc::new(self.route(cells, cold)));
        snapshot
    }
}
