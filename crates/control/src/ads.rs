//! The aggregated discovery service (`envoy/service/discovery/v3/ads.proto`), in both variants.

use crate::body::{Out, Responses};
use crate::hub::{Event, Hub};
use crate::lrs::Lrs;
use crate::peers::{self, Exchange};
use envoy_types::pb::envoy::config::core::v3::Node as NodeMessage;
use envoy_types::pb::envoy::service::discovery::v3::{DeltaDiscoveryRequest, DiscoveryRequest};
use envoy_types::pb::envoy::service::load_stats::v3::load_reporting_service_server::LoadReportingServiceServer;
use futures_util::future::BoxFuture;
use plover_director::{Node, StreamId};
use plover_xds::{Heard, Kind, Request, Stream, Variant, View};
use std::convert::Infallible;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, AtomicUsize, Ordering};
use std::task::{Context, Poll};
use tokio::sync::{mpsc, watch};
use tonic::body::Body;
use tonic::codec::BufferSettings;
use tonic::codegen::{Body as HttpBody, StdError};
use tonic::metadata::GRPC_CONTENT_TYPE;
use tonic::server::Grpc;
use tonic::transport::server::TcpConnectInfo;
use tonic::{Status, Streaming};
use tonic_prost::{ProstCodec, ProstDecoder};
use tracing::{debug, info, warn};

const STATE_OF_THE_WORLD: &str =
    "/envoy.service.discovery.v3.AggregatedDiscoveryService/StreamAggregatedResources";
const INCREMENTAL: &str = "/envoy.service.discovery.v3.AggregatedDiscoveryService/DeltaAggregatedResources";
const REPORTS: &str = "/envoy.service.load_stats.v3.LoadReportingService/StreamLoadStats";
/// What a client says if it takes resources wrapped with a time to live in state-of-the-world responses.
const TAKES_WRAPPED: &str = "xds.config.resource-in-sotw";
/// gRPC's own clients take the wrapper, and pass the time to live over.
const PASSES_OVER: &str = "gRPC";

/// Longest request: all names that may be asked for, with their versions.
const LONGEST: usize = 4 << 20;

/// The service. Clones are one.
#[derive(Clone)]
pub(crate) struct Ads {
    pub(crate) hub: Hub,
    pub(crate) identifier: Arc<str>,
    pub(crate) leaving: watch::Receiver<bool>,
    pub(crate) next: Arc<AtomicU64>,
    pub(crate) open: Arc<AtomicUsize>,
    pub(crate) most: usize,
    /// The other service of the same port.
    pub(crate) lrs: LoadReportingServiceServer<Lrs>,
}

/// A request of either variant.
pub(crate) trait Asking: prost::Message + Default + Send + 'static {
    const VARIANT: Variant;
    fn node(&mut self) -> Option<NodeMessage>;
    fn type_url(&self) -> &str;
    fn request(self) -> Request;
}

impl Asking for DiscoveryRequest {
    const VARIANT: Variant = Variant::Sotw;
    fn node(&mut self) -> Option<NodeMessage> {
        self.node.take()
    }
    fn type_url(&self) -> &str {
        &self.type_url
    }
    fn request(self) -> Request {
        let error = self.error_detail.map(|e| e.message);
        Request::Sotw { names: self.resource_names, nonce: self.response_nonce, error }
    }
}

impl Asking for DeltaDiscoveryRequest {
    const VARIANT: Variant = Variant::Delta;
    fn node(&mut self) -> Option<NodeMessage> {
        self.node.take()
    }
    fn type_url(&self) -> &str {
        &self.type_url
    }
    fn request(self) -> Request {
        Request::Delta {
            subscribe: self.resource_names_subscribe,
            unsubscribe: self.resource_names_unsubscribe,
            initial: self.initial_resource_versions.into_iter().collect(),
            nonce: self.response_nonce,
            error: self.error_detail.map(|e| e.message),
        }
    }
}

impl Ads {
    /// Opens a stream; what it is told comes in the response's body.
    fn open<T: Asking, B>(&self, request: http::Request<B>) -> http::Response<Body>
    where
        B: HttpBody + Send + 'static,
        B::Error: Into<StdError> + Send + 'static,
    {
        let peer = request.extensions().get::<TcpConnectInfo>().and_then(TcpConnectInfo::remote_addr);
        let from = peer.map_or_else(String::new, |a| a.to_string());
        let Some(seat) = Seat::take(self) else {
            warn!(name: "xds_streams_full", from, most = self.most);
            return Status::resource_exhausted("too many streams; try another control instance").into_http();
        };
        let decoder = ProstDecoder::<T>::new(BufferSettings::default());
        let requests = Streaming::new_request(decoder, request.into_body(), None, Some(LONGEST));
        // One response lies here at the most: what comes next is made when it is taken.
        let (responses, queue) = mpsc::channel(1);
        tokio::spawn(serve(self.clone(), seat, from, requests, responses));
        let mut response = http::Response::new(Body::new(Responses::new(queue)));
        response.headers_mut().insert(http::header::CONTENT_TYPE, GRPC_CONTENT_TYPE);
        response
    }
}

impl<B> tonic::codegen::Service<http::Request<B>> for Ads
where
    B: HttpBody + Send + 'static,
    B::Error: Into<StdError> + Send + 'static,
{
    type Response = http::Response<Body>;
    type Error = Infallible;
    type Future = BoxFuture<'static, Result<Self::Response, Infallible>>;

    fn poll_ready(&mut self, _: &mut Context<'_>) -> Poll<Result<(), Infallible>> {
        Poll::Ready(Ok(()))
    }

    fn call(&mut self, request: http::Request<B>) -> Self::Future {
        match request.uri().path() {
            STATE_OF_THE_WORLD => {
                let response = self.open::<DiscoveryRequest, B>(request);
                Box::pin(async move { Ok(response) })
            }
            INCREMENTAL => {
                let response = self.open::<DeltaDiscoveryRequest, B>(request);
                Box::pin(async move { Ok(response) })
            }
            peers::PATH => {
                let exchange = Exchange(self.hub.clone());
                Box::pin(async move { Ok(Grpc::new(ProstCodec::default()).unary(exchange, request).await) })
            }
            REPORTS => {
                let mut lrs = self.lrs.clone();
                Box::pin(async move { lrs.call(request).await })
            }
            _ => {
                let told = "aggregated discovery and load reporting are served here, nothing else";
                Box::pin(async move { Ok(Status::unimplemented(told).into_http()) })
            }
        }
    }
}

/// A place among the open streams, given back when it is dropped.
struct Seat(Arc<AtomicUsize>);

impl Seat {
    fn take(ads: &Ads) -> Option<Seat> {
        let (open, most) = (ads.open.clone(), ads.most);
        let one_more = |n| (n < most).then_some(n + 1);
        open.fetch_update(Ordering::Relaxed, Ordering::Relaxed, one_more).ok()?;
        Some(Seat(open))
    }
}

impl Drop for Seat {
    fn drop(&mut self) {
        self.0.fetch_sub(1, Ordering::Relaxed);
    }
}

fn node(message: Option<NodeMessage>, variant: Variant, from: &str) -> Node {
    let message = message.unwrap_or_default();
    let id: Arc<str> = if message.id.is_empty() { from.into() } else { message.id.as_str().into() };
    let takes = variant == Variant::Delta || message.client_features.iter().any(|f| f == TAKES_WRAPPED);
    Node { id, heeds_time_to_live: takes && !message.user_agent_name.starts_with(PASSES_OVER) }
}

/// Waits until the service is to end.
pub(crate) async fn gone(leaving: &mut watch::Receiver<bool>) {
    // Without a sender the service has ended already.
    let _ = leaving.wait_for(|leaving| *leaving).await;
}

/// One stream of a proxy.
struct Open<T> {
    ads: Ads,
    id: StreamId,
    node: Node,
    stream: Stream,
    requests: Streaming<T>,
}

async fn serve<T: Asking>(
    ads: Ads,
    _seat: Seat,
    from: String,
    mut requests: Streaming<T>,
    responses: mpsc::Sender<Result<Out, Status>>,
) {
    let mut first = match requests.message().await {
        Ok(Some(first)) => first,
        Ok(None) => return,
        Err(error) => {
            debug!(name: "xds_unread", from, error = %error.message());
            let _ = responses.send(Err(error)).await;
            return;
        }
    };
    let node = node(first.node(), T::VARIANT, &from);
    let id = ads.next.fetch_add(1, Ordering::Relaxed);
    let variant = if T::VARIANT == Variant::Sotw { "sotw" } else { "delta" };
    let leases = node.heeds_time_to_live;
    info!(name: "xds_opened", stream = id, node = %node.id, from, variant, leases);
    let hub = ads.hub.clone();
    hub.tell(Event::Opened(id, node.clone())).await;
    let mut open = Open { ads, id, node, stream: Stream::new(), requests };
    let end = match open.take(first).await {
        Ok(()) => open.run(&responses).await,
        Err(status) => status,
    };
    hub.tell(Event::Ended(id)).await;
    info!(name: "xds_closed", stream = id, node = %open.node.id, why = %end.message());
    let _ = responses.send(Err(end)).await;
}

impl<T: Asking> Open<T> {
    /// Serves until the stream ends, and says why it does.
    async fn run(&mut self, responses: &mpsc::Sender<Result<Out, Status>>) -> Status {
        let mut told = self.ads.hub.told();
        let mut leaving = self.ads.leaving.clone();
        let mut view: Option<View> = told.borrow_and_update().view(self.id, self.node.heeds_time_to_live);
        let mut owes = true;
        loop {
            tokio::select! {
                biased;
                () = gone(&mut leaving) => {
                    return Status::unavailable("this control instance is going away");
                }
                changed = told.changed() => {
                    if changed.is_err() {
                        return Status::unavailable("the control service has ended");
                    }
                    view = told.borrow_and_update().view(self.id, self.node.heeds_time_to_live);
                    owes = true;
                }
                request = self.requests.message() => match request {
                    Ok(Some(request)) => {
                        if let Err(status) = self.take(request).await {
                            return status;
                        }
                        owes = true;
                    }
                    Ok(None) => return Status::ok("the proxy has ended it"),
                    Err(status) => return status,
                },
                // Only when there is room is it decided what goes out: a slow reader gets the newest state.
                permit = responses.reserve(), if owes && view.is_some() => {
                    let Ok(permit) = permit else { return Status::cancelled("the proxy has gone") };
                    let answer = view.as_ref().and_then(|view| self.stream.answer(view));
                    owes = answer.is_some();
                    if let Some(answer) = answer {
                        debug!(name: "xds_sent", stream = self.id, kind = answer.kind.short(), nonce = answer.nonce,
                            resources = answer.resources.len(), removed = answer.removed.len());
                        let identifier = self.ads.identifier.clone();
                        permit.send(Ok(Out { answer, variant: T::VARIANT, identifier }));
                    }
                }
            }
        }
    }

    /// Takes a request.
    async fn take(&mut self, request: T) -> Result<(), Status> {
        let Some(kind) = Kind::of(request.type_url()) else {
            // Nothing of the kind is told here, which is not the stream's fault: the other kinds go on.
            let type_url: String = request.type_url().chars().take(128).collect();
            info!(name: "xds_unknown_type", stream = self.id, node = %self.node.id, type_url);
            return Ok(());
        };
        let heard = self.stream.request(kind, request.request());
        let heard = heard.map_err(|fault| Status::invalid_argument(fault.to_string()))?;
        match heard {
            Heard::Asked(held) => self.ads.hub.tell(Event::Asked(self.id, kind, held)).await,
            Heard::Stale => {}
            Heard::Acked(items) => {
                let (stream, settled) = (self.id, self.stream.settled(kind));
                self.ads.hub.tell(Event::Acked { stream, kind, items, settled }).await;
            }
            Heard::Refused { items, words } => {
                let words: String = words.chars().take(512).collect();
                let names: Vec<&str> = items.iter().take(8).map(|i| &*i.name).collect();
                warn!(name: "xds_refused", stream = self.id, node = %self.node.id, kind = kind.short(),
                    resources = names.join(","), words);
            }
        }
        Ok(())
    }
}
