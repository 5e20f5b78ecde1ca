//! What a proxy holds.

use envoy_types::pb::envoy::config::cluster::v3::Cluster;
use envoy_types::pb::envoy::config::core::v3::HealthStatus;
use envoy_types::pb::envoy::config::core::v3::address::Address as AddressKind;
use envoy_types::pb::envoy::config::core::v3::socket_address::PortSpecifier;
use envoy_types::pb::envoy::config::endpoint::v3::lb_endpoint::HostIdentifier;
use envoy_types::pb::envoy::config::endpoint::v3::{ClusterLoadAssignment, LbEndpoint};
use envoy_types::pb::envoy::config::listener::v3::Listener;
use envoy_types::pb::envoy::config::route::v3::RouteConfiguration;
use envoy_types::pb::envoy::config::route::v3::route::Action;
use envoy_types::pb::envoy::config::route::v3::route_action::ClusterSpecifier;
use envoy_types::pb::envoy::extensions::filters::network::http_connection_manager::v3::HttpConnectionManager;
use envoy_types::pb::envoy::extensions::filters::network::http_connection_manager::v3::http_connection_manager::RouteSpecifier;
use plover_xds::Kind;
use prost::Message;
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::time::Instant;

/// One resource.
#[derive(Clone, Debug, PartialEq)]
pub struct Held {
    /// Its version; in the state-of-the-world variant, its response's.
    pub version: String,
    /// The message, encoded.
    pub body: Vec<u8>,
    /// When it is to be forgotten.
    pub expires: Option<Instant>,
}

/// An update, as it came.
#[derive(Clone, Debug)]
pub struct Update {
    /// When it was applied.
    pub at: Instant,
    /// Its kind.
    pub kind: Kind,
    /// The resources that it told, by name.
    pub names: Vec<String>,
    /// Those that it took back.
    pub removed: Vec<String>,
    /// Its length on the wire.
    pub length: usize,
}

/// An endpoint, as it was told.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Endpoint {
    /// Where it listens.
    pub address: SocketAddr,
    /// Whether requests may go there.
    pub healthy: bool,
    /// Word for its health.
    pub health: &'static str,
    /// Its weight.
    pub weight: u32,
}

/// What a proxy holds, and how it came to.
#[derive(Clone, Debug, Default)]
pub struct State {
    /// The resources.
    pub held: BTreeMap<Kind, BTreeMap<String, Held>>,
    /// All updates, the newest last.
    pub updates: Vec<Update>,
    /// Responses that it refused.
    pub refused: usize,
}

fn endpoint(e: &LbEndpoint) -> Option<Endpoint> {
    let HostIdentifier::Endpoint(host) = e.host_identifier.as_ref()? else { return None };
    let AddressKind::SocketAddress(socket) = host.address.as_ref()?.address.as_ref()? else { return None };
    let PortSpecifier::PortValue(port) = socket.port_specifier.as_ref()? else { return None };
    let health = HealthStatus::try_from(e.health_status).unwrap_or(HealthStatus::Unknown);
    Some(Endpoint {
        address: SocketAddr::new(socket.address.parse().ok()?, u16::try_from(*port).ok()?),
        healthy: matches!(health, HealthStatus::Healthy | HealthStatus::Unknown),
        health: match health {
            HealthStatus::Healthy | HealthStatus::Unknown => "healthy",
            HealthStatus::Draining => "draining",
            _ => "unhealthy",
        },
        weight: e.load_balancing_weight.as_ref().map_or(1, |w| w.value),
    })
}

impl State {
    /// The resources of a kind.
    pub fn kind(&self, kind: Kind) -> impl Iterator<Item = (&String, &Held)> {
        self.held.get(&kind).into_iter().flatten()
    }

    fn read<T: Message + Default>(&self, kind: Kind, name: &str) -> Option<T> {
        T::decode(&self.held.get(&kind)?.get(name)?.body[..]).ok()
    }

    /// The endpoints of a cluster.
    pub fn endpoints(&self, cluster: &str) -> Option<Vec<Endpoint>> {
        let told: ClusterLoadAssignment = self.read(Kind::Endpoints, cluster)?;
        Some(told.endpoints.iter().flat_map(|l| &l.lb_endpoints).filter_map(endpoint).collect())
    }

    /// The most requests that may be out at a cluster; `None`: not told.
    pub fn most_out(&self, cluster: &str) -> Option<u32> {
        let told: Cluster = self.read(Kind::Cluster, cluster)?;
        let thresholds = told.circuit_breakers?.thresholds;
        thresholds.first()?.max_requests.as_ref().map(|m| m.value)
    }

    /// The clusters of each route, with their weights.
    pub fn routes(&self) -> Vec<(String, Vec<(String, u32)>)> {
        let names: Vec<String> = self.kind(Kind::Route).map(|(name, _)| name.clone()).collect();
        let mut routes = Vec::new();
        for name in names {
            let told: Option<RouteConfiguration> = self.read(Kind::Route, &name);
            for route in told.into_iter().flat_map(|r| r.virtual_hosts).flat_map(|h| h.routes) {
                let Some(Action::Route(action)) = route.action else { continue };
                let clusters = match action.cluster_specifier {
                    Some(ClusterSpecifier::Cluster(name)) => vec![(name, 1)],
                    Some(ClusterSpecifier::WeightedClusters(all)) => {
                        all.clusters.into_iter().map(|c| (c.name, c.weight.map_or(0, |w| w.value))).collect()
                    }
                    _ => continue,
                };
                routes.push((route.name, clusters));
            }
        }
        routes
    }

    /// All clusters that routes point at.
    pub fn pointed_at(&self) -> BTreeSet<String> {
        self.routes().into_iter().flat_map(|(_, clusters)| clusters).map(|(name, _)| name).collect()
    }

    /// The route configurations that listeners ask for.
    pub(crate) fn asked_routes(&self) -> BTreeSet<String> {
        let mut names = BTreeSet::new();
        for (name, _) in self.kind(Kind::Listener) {
            let told: Option<Listener> = self.read(Kind::Listener, name);
            let any = told.and_then(|l| l.api_listener).and_then(|a| a.api_listener);
            let manager = any.and_then(|a| HttpConnectionManager::decode(&a.value[..]).ok());
            if let Some(RouteSpecifier::Rds(rds)) = manager.and_then(|m| m.route_specifier) {
                names.insert(rds.route_config_name);
            }
        }
        names
    }

    /// Names and versions of a kind.
    pub fn versions(&self, kind: Kind) -> BTreeMap<String, Vec<u8>> {
        self.kind(kind).map(|(name, held)| (name.clone(), held.body.clone())).collect()
    }

    /// Forgets what nobody prolonged; true: something was.
    pub(crate) fn expire(&mut self, now: Instant) -> bool {
        let mut some = false;
        for held in self.held.values_mut() {
            let before = held.len();
            held.retain(|_, h| h.expires.is_none_or(|at| now < at));
            some |= held.len() < before;
        }
        some
    }
}
