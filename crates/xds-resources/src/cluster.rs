//! Clusters (`envoy/config/cluster/v3/cluster.proto`).

use crate::{Frame, ROW_KEY, ads, this_server, whole};
use envoy_types::pb::envoy::config::cluster::v3::cluster::lb_subset_config::{
    LbSubsetFallbackPolicy, LbSubsetSelector,
};
use envoy_types::pb::envoy::config::cluster::v3::cluster::{
    ClusterDiscoveryType, DiscoveryType, EdsClusterConfig, LbPolicy, LbSubsetConfig,
};
use envoy_types::pb::envoy::config::cluster::v3::{CircuitBreakers, Cluster, circuit_breakers::Thresholds};
use envoy_types::pb::google::protobuf::Duration;
use plover_model::time::SECOND;

fn usual(name: &str, frame: &Frame) -> Cluster {
    Cluster {
        name: name.to_owned(),
        cluster_discovery_type: Some(ClusterDiscoveryType::Type(DiscoveryType::Eds as i32)),
        eds_cluster_config: Some(EdsClusterConfig { eds_config: Some(ads()), service_name: String::new() }),
        connect_timeout: Some(Duration {
            seconds: (frame.dial / SECOND) as i64,
            nanos: (frame.dial % SECOND * 1000) as i32,
        }),
        // The one policy that all proxies have had from the beginning; weights are heeded by it.
        lb_policy: LbPolicy::RoundRobin as i32,
        lrs_server: Some(this_server()),
        ..Cluster::default()
    }
}

/// A cell's cluster, whose endpoints can be chosen by their row.
pub(crate) fn of_cell(name: &str, frame: &Frame) -> Cluster {
    let selector = LbSubsetSelector { keys: vec![ROW_KEY.to_owned()], ..LbSubsetSelector::default() };
    Cluster {
        lb_subset_config: Some(LbSubsetConfig {
            // A row that has no healthy endpoint here: any other can answer.
            fallback_policy: LbSubsetFallbackPolicy::AnyEndpoint as i32,
            subset_selectors: vec![selector],
            ..LbSubsetConfig::default()
        }),
        ..usual(name, frame)
    }
}

/// A cold server's cluster: no more than so many requests out.
pub(crate) fn of_cold(name: &str, most_out: u32, frame: &Frame) -> Cluster {
    let thresholds = Thresholds {
        max_requests: whole(most_out),
        max_connections: whole(most_out),
        // What would wait is turned away: it would be sent as soon as a place is free, however late.
        max_pending_requests: whole(most_out),
        max_retries: whole(0),
        ..Thresholds::default()
    };
    Cluster {
        circuit_breakers: Some(CircuitBreakers {
            thresholds: vec![thresholds],
            ..CircuitBreakers::default()
        }),
        ..usual(name, frame)
    }
}
