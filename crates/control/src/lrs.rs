//! The load reporting service (`envoy/service/load_stats/v3/lrs.proto`).

use crate::ads::gone;
use crate::hub::{Event, Hub};
use envoy_types::pb::envoy::config::core::v3::address::Address as AddressKind;
use envoy_types::pb::envoy::config::core::v3::socket_address::PortSpecifier;
use envoy_types::pb::envoy::config::endpoint::v3::{ClusterStats, UpstreamEndpointStats};
use envoy_types::pb::envoy::service::load_stats::v3::load_reporting_service_server::LoadReportingService;
use envoy_types::pb::envoy::service::load_stats::v3::{LoadStatsRequest, LoadStatsResponse};
use envoy_types::pb::google::protobuf::Duration;
use plover_director::{ClusterLoad, EndpointLoad};
use plover_model::time::{Micros, SECOND};
use plover_xds::Kind;
use std::net::SocketAddr;
use std::sync::Arc;
use tokio::sync::{mpsc, watch};
use tokio_stream::wrappers::ReceiverStream;
use tonic::{Request, Response, Status, Streaming};
use tracing::{debug, info};

/// Reports are asked for so often, and up to a quarter later: a thousand proxies that connect together must not report
/// together ever after.
const INTERVAL_MS: u64 = 2000;
/// What one report may hold of: more than a proxy's share of all that there can be.
const MOST_ENDPOINTS: usize = 20_000;

/// What a client says that reports all its clusters without their names (`envoy/service/load_stats/v3/lrs.proto`).
const KNOWS_ALL: &str = "envoy.lrs.supports_send_all_clusters";

/// The service.
pub(crate) struct Lrs {
    pub(crate) hub: Hub,
    pub(crate) leaving: watch::Receiver<bool>,
}

fn interval(node: &str) -> Duration {
    let mix = |hash: u64, byte: u8| (hash ^ u64::from(byte)).wrapping_mul(0x0100_0000_01b3);
    let spread = node.bytes().fold(0xcbf2_9ce4_8422_2325, mix) % (INTERVAL_MS / 4);
    let ms = INTERVAL_MS + spread;
    Duration { seconds: (ms / 1000) as i64, nanos: (ms % 1000 * 1_000_000) as i32 }
}

fn address(e: &UpstreamEndpointStats) -> Option<SocketAddr> {
    let AddressKind::SocketAddress(socket) = e.address.as_ref()?.address.as_ref()? else { return None };
    let PortSpecifier::PortValue(port) = socket.port_specifier.as_ref()? else { return None };
    Some(SocketAddr::new(socket.address.parse().ok()?, u16::try_from(*port).ok()?))
}

fn micros(d: &Duration) -> Micros {
    u64::try_from(d.seconds).unwrap_or(0).saturating_mul(SECOND) + u64::try_from(d.nanos).unwrap_or(0) / 1000
}

/// What a report says of a cluster.
fn load(stats: ClusterStats) -> ClusterLoad {
    let localities = &stats.upstream_locality_stats;
    let sum = |of: fn(&envoy_types::pb::envoy::config::endpoint::v3::UpstreamLocalityStats) -> u64| {
        localities.iter().fold(0u64, |sum, l| sum.saturating_add(of(l)))
    };
    let endpoint = |e: &UpstreamEndpointStats| {
        let (served, failed) = (e.total_successful_requests, e.total_error_requests);
        Some(EndpointLoad { address: address(e)?, served, failed })
    };
    let issued = sum(|l| l.total_issued_requests);
    let ended = sum(|l| l.total_successful_requests.saturating_add(l.total_error_requests));
    ClusterLoad {
        interval: stats.load_report_interval.as_ref().map_or(0, micros),
        // Older proxies do not say what they issued.
        issued: issued.max(ended),
        in_progress: sum(|l| l.total_requests_in_progress),
        endpoints: localities.iter().flat_map(|l| &l.upstream_endpoint_stats).filter_map(endpoint).collect(),
        name: stats.cluster_name,
    }
}

#[tonic::async_trait]
impl LoadReportingService for Lrs {
    type StreamLoadStatsStream = ReceiverStream<Result<LoadStatsResponse, Status>>;

    async fn stream_load_stats(
        &self,
        request: Request<Streaming<LoadStatsRequest>>,
    ) -> Result<Response<Self::StreamLoadStatsStream>, Status> {
        let from = request.remote_addr().map_or_else(String::new, |a| a.to_string());
        let (responses, stream) = mpsc::channel(1);
        let (hub, leaving) = (self.hub.clone(), self.leaving.clone());
        tokio::spawn(serve(hub, leaving, from, request.into_inner(), responses));
        Ok(Response::new(ReceiverStream::new(stream)))
    }
}

async fn serve(
    hub: Hub,
    mut leaving: watch::Receiver<bool>,
    from: String,
    mut requests: Streaming<LoadStatsRequest>,
    responses: mpsc::Sender<Result<LoadStatsResponse, Status>>,
) {
    let mut node: Option<Arc<str>> = None;
    loop {
        let request = tokio::select! {
            () = gone(&mut leaving) => {
                let _ = responses.send(Err(Status::unavailable("this control instance is going away"))).await;
                return;
            }
            request = requests.message() => request,
        };
        let request = match request {
            Ok(Some(request)) => request,
            Ok(None) => return,
            Err(error) => return debug!(name: "lrs_unread", from, error = %error.message()),
        };
        let first = node.is_none();
        let (id, features) = request.node.map(|n| (n.id, n.client_features)).unwrap_or_default();
        let id = Some(id).filter(|id| !id.is_empty());
        let name: Arc<str> = node.get_or_insert_with(|| id.unwrap_or_else(|| from.clone()).into()).clone();
        if first {
            info!(name: "lrs_opened", node = %name, from);
            // Clients that do not know "all" are told the names that there are now (lrs.proto, LoadStatsResponse).
            let knows_all = features.iter().any(|f| f == KNOWS_ALL);
            let clusters = hub.told().borrow().shared.as_ref().map_or_else(Vec::new, |shared| {
                shared.kind(Kind::Cluster).keys().map(|name| name.to_string()).collect()
            });
            let response = LoadStatsResponse {
                clusters: if knows_all { Vec::new() } else { clusters },
                send_all_clusters: true,
                load_reporting_interval: Some(interval(&name)),
                report_endpoint_granularity: true,
            };
            if responses.send(Ok(response)).await.is_err() {
                return;
            }
        }
        let loads: Vec<ClusterLoad> = request.cluster_stats.into_iter().map(load).collect();
        let endpoints: usize = loads.iter().map(|l| l.endpoints.len()).sum();
        if endpoints > MOST_ENDPOINTS || loads.len() > MOST_ENDPOINTS {
            let _ = responses.send(Err(Status::invalid_argument("a report of too many endpoints"))).await;
            return;
        }
        if !loads.is_empty() {
            hub.tell(Event::Report(name, loads)).await;
        }
    }
}
