//! Endpoints (`envoy/config/endpoint/v3/endpoint.proto`).

use crate::{Frame, ROW_KEY, whole};
use envoy_types::pb::envoy::config::core::v3::address::Address as AddressKind;
use envoy_types::pb::envoy::config::core::v3::socket_address::PortSpecifier;
use envoy_types::pb::envoy::config::core::v3::{Address, HealthStatus, Locality, Metadata, SocketAddress};
use envoy_types::pb::envoy::config::endpoint::v3::lb_endpoint::HostIdentifier;
use envoy_types::pb::envoy::config::endpoint::v3::{
    ClusterLoadAssignment, Endpoint as Named, LbEndpoint, LocalityLbEndpoints,
};
use envoy_types::pb::google::protobuf::{Struct, Value, value::Kind};
use plover_steering::assign::{Cell, Cold, Endpoint, Health};
use std::collections::{BTreeMap, HashMap};
use std::net::SocketAddr;

/// The metadata that subsets go by.
const SUBSETS: &str = "envoy.lb";

fn host(name: &str, at: SocketAddr) -> HostIdentifier {
    let address = SocketAddress {
        address: at.ip().to_string(),
        port_specifier: Some(PortSpecifier::PortValue(at.port().into())),
        ..SocketAddress::default()
    };
    HostIdentifier::Endpoint(Named {
        address: Some(Address { address: Some(AddressKind::SocketAddress(address)) }),
        hostname: name.to_owned(),
        ..Named::default()
    })
}

/// One key alone: a map of several has no order of its own, and versions are hashes of the bytes.
fn row(row: usize) -> Metadata {
    let value = Value { kind: Some(Kind::StringValue(row.to_string())) };
    let fields = Struct { fields: HashMap::from([(ROW_KEY.to_owned(), value)]) };
    Metadata { filter_metadata: HashMap::from([(SUBSETS.to_owned(), fields)]), ..Metadata::default() }
}

fn endpoint(e: &Endpoint) -> LbEndpoint {
    let health = match e.health {
        Health::Healthy => HealthStatus::Healthy,
        Health::Draining => HealthStatus::Draining,
        Health::Unhealthy => HealthStatus::Unhealthy,
    };
    LbEndpoint {
        health_status: health as i32,
        metadata: Some(row(e.row)),
        load_balancing_weight: whole(e.weight),
        host_identifier: Some(host(&e.name.0, e.address)),
    }
}

/// A locality must weigh something, or gRPC clients pass it over.
fn locality(zone: Option<&String>, lb_endpoints: Vec<LbEndpoint>) -> LocalityLbEndpoints {
    let weight: u32 =
        lb_endpoints.iter().filter_map(|e| e.load_balancing_weight.as_ref()).map(|w| w.value).sum();
    LocalityLbEndpoints {
        locality: Some(Locality {
            zone: zone.cloned().unwrap_or_else(|| "unknown".to_owned()),
            ..Locality::default()
        }),
        lb_endpoints,
        load_balancing_weight: whole(weight.max(1)),
        ..LocalityLbEndpoints::default()
    }
}

/// A cell's endpoints, a locality for each zone.
pub(crate) fn of_cell(name: &str, cell: &Cell, frame: &Frame) -> ClusterLoadAssignment {
    // By name: a locality that is there twice is refused by gRPC clients.
    let mut zones: BTreeMap<Option<&String>, Vec<LbEndpoint>> = BTreeMap::new();
    for e in &cell.endpoints {
        zones.entry(e.zone.and_then(|z| frame.zones.get(z))).or_default().push(endpoint(e));
    }
    let endpoints = zones.into_iter().map(|(zone, all)| locality(zone, all)).collect();
    ClusterLoadAssignment { cluster_name: name.to_owned(), endpoints, ..ClusterLoadAssignment::default() }
}

/// A cold server's one endpoint.
pub(crate) fn of_cold(name: &str, cold: &Cold) -> ClusterLoadAssignment {
    let one = LbEndpoint {
        health_status: HealthStatus::Healthy as i32,
        load_balancing_weight: whole(1),
        host_identifier: Some(host(&cold.name.0, cold.address)),
        ..LbEndpoint::default()
    };
    ClusterLoadAssignment {
        cluster_name: name.to_owned(),
        endpoints: vec![locality(None, vec![one])],
        ..ClusterLoadAssignment::default()
    }
}
