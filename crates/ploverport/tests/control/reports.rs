//! Load reports (LRS): two proxies that find a server failing take it out for all; one does not.

use crate::rig::{BOUND, is_healthy, is_whole, rig, usual};
use envoy_types::pb::envoy::config::core::v3::address::Address as AddressKind;
use envoy_types::pb::envoy::config::core::v3::socket_address::PortSpecifier;
use envoy_types::pb::envoy::config::core::v3::{Address, Node, SocketAddress};
use envoy_types::pb::envoy::config::endpoint::v3::{
    ClusterStats, UpstreamEndpointStats, UpstreamLocalityStats,
};
use envoy_types::pb::envoy::service::load_stats::v3::load_reporting_service_client::LoadReportingServiceClient;
use envoy_types::pb::envoy::service::load_stats::v3::{LoadStatsRequest, LoadStatsResponse};
use envoy_types::pb::google::protobuf::Duration as Span;
use futures_util::StreamExt;
use plover_standins::Entry;
use plover_xds::Variant;
use plover_xds_client::{State, Style};
use std::net::SocketAddr;
use std::time::Duration;
use tokio::sync::mpsc;
use tonic::Streaming;

struct Reporter {
    requests: mpsc::Sender<LoadStatsRequest>,
    responses: Streaming<LoadStatsResponse>,
}

impl Reporter {
    async fn connect(to: SocketAddr, node: &str) -> Reporter {
        let channel =
            tonic::transport::Endpoint::from_shared(format!("http://{to}")).unwrap().connect().await.unwrap();
        let (requests, mut queue) = mpsc::channel::<LoadStatsRequest>(4);
        let node = Node { id: node.to_owned(), ..Node::default() };
        requests.send(LoadStatsRequest { node: Some(node), cluster_stats: Vec::new() }).await.unwrap();
        let stream = futures_util::stream::poll_fn(move |cx| queue.poll_recv(cx)).boxed();
        let responses = LoadReportingServiceClient::new(channel).stream_load_stats(stream).await.unwrap();
        Reporter { requests, responses: responses.into_inner() }
    }

    async fn report(&self, server: &Entry, served: u64, failed: u64) {
        let socket = SocketAddress {
            address: server.address().ip().to_string(),
            port_specifier: Some(PortSpecifier::PortValue(server.address().port().into())),
            ..SocketAddress::default()
        };
        let endpoint = UpstreamEndpointStats {
            address: Some(Address { address: Some(AddressKind::SocketAddress(socket)) }),
            total_successful_requests: served,
            total_error_requests: failed,
            ..UpstreamEndpointStats::default()
        };
        let locality = UpstreamLocalityStats {
            upstream_endpoint_stats: vec![endpoint],
            total_issued_requests: served + failed,
            ..UpstreamLocalityStats::default()
        };
        let stats = ClusterStats {
            cluster_name: format!("cell-{}", server.cell),
            upstream_locality_stats: vec![locality],
            load_report_interval: Some(Span { seconds: 2, nanos: 0 }),
            ..ClusterStats::default()
        };
        self.requests.send(LoadStatsRequest { node: None, cluster_stats: vec![stats] }).await.unwrap();
    }
}

#[test]
fn a_server_is_taken_out_by_two_proxies_reports_and_by_one_alone_is_not() {
    let entries: Vec<Entry> = (0..4).map(|n| Entry::active(n, 0)).collect();
    let rig = rig(&entries);
    rig.run(async {
        let mut proxies = Vec::new();
        let mut reporters = Vec::new();
        for name in ["p0", "p1", "p2"] {
            let proxy = rig.connect(usual(name, Variant::Delta, Style::Envoy), State::default()).await;
            assert!(proxy.until(BOUND, is_whole).await);
            proxies.push(proxy);
            let mut reporter = Reporter::connect(rig.listen, name).await;
            let told = reporter.responses.message().await.unwrap().unwrap();
            let interval = told.load_reporting_interval.unwrap();
            assert!(told.send_all_clusters && told.report_endpoint_granularity && interval.seconds == 2);
            reporters.push(reporter);
        }
        reporters[1].report(&entries[0], 90, 0).await;
        reporters[2].report(&entries[0], 90, 0).await;
        reporters[0].report(&entries[0], 1, 900).await;
        let out = |s: &State| !is_healthy(s, &entries[0]);
        assert!(!proxies[1].until(Duration::from_millis(700), out).await, "one proxy took it out for all");
        reporters[1].report(&entries[0], 1, 90).await;
        for proxy in &proxies {
            assert!(proxy.until(BOUND, out).await);
        }
        assert!(proxies[0].state(|s| entries[1..].iter().all(|e| is_healthy(s, e))));
        // It comes back by itself once its time is over.
        assert!(proxies[0].until(BOUND, |s| !out(s)).await);
    });
}
