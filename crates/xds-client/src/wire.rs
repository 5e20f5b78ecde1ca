//! Both variants' messages as one.

use crate::state::Held;
use envoy_types::pb::envoy::config::core::v3::Node;
use envoy_types::pb::envoy::service::discovery::v3::aggregated_discovery_service_client::AggregatedDiscoveryServiceClient;
use envoy_types::pb::envoy::service::discovery::v3::{
    DeltaDiscoveryRequest, DeltaDiscoveryResponse, DiscoveryRequest, DiscoveryResponse, Resource,
};
use envoy_types::pb::google::protobuf::{Any, Duration as Span};
use envoy_types::pb::google::rpc::Status as Refusal;
use plover_xds::{Kind, Variant};
use prost::{Message, Name};
use std::collections::HashMap;
use std::time::{Duration, Instant};
use tokio::sync::mpsc;
use tokio_stream::wrappers::ReceiverStream;
use tonic::transport::Channel;
use tonic::{Status, Streaming};

/// The longest response that is taken.
const LONGEST: usize = 256 << 20;

/// What is asked, whatever the variant.
#[derive(Debug, Default)]
pub(crate) struct Ask {
    pub(crate) type_url: String,
    /// All names (state of the world).
    pub(crate) names: Vec<String>,
    pub(crate) subscribe: Vec<String>,
    pub(crate) unsubscribe: Vec<String>,
    pub(crate) initial: HashMap<String, String>,
    pub(crate) nonce: String,
    pub(crate) version: String,
    pub(crate) error: Option<String>,
}

/// What came, whatever the variant.
#[derive(Debug)]
pub(crate) struct Told {
    pub(crate) kind: Kind,
    pub(crate) version: String,
    pub(crate) nonce: String,
    pub(crate) resources: Vec<(String, Held)>,
    pub(crate) removed: Vec<String>,
    pub(crate) length: usize,
}

pub(crate) enum Connection {
    Sotw(mpsc::Sender<DiscoveryRequest>, Streaming<DiscoveryResponse>),
    Delta(mpsc::Sender<DeltaDiscoveryRequest>, Streaming<DeltaDiscoveryResponse>),
}

fn refusal(error: Option<String>) -> Option<Refusal> {
    // 3 is INVALID_ARGUMENT.
    error.map(|message| Refusal { code: 3, message, details: Vec::new() })
}

fn expires(ttl: Option<&Span>) -> Option<Instant> {
    let ttl = ttl?;
    Some(Instant::now() + Duration::new(u64::try_from(ttl.seconds).ok()?, u32::try_from(ttl.nanos).ok()?))
}

/// The name of an encoded resource: the first field of three of the kinds, and of the fourth as well.
fn name_of(kind: Kind, body: &[u8]) -> Result<String, Status> {
    /// The one field that is of interest.
    #[derive(Clone, PartialEq, prost::Message)]
    struct Named {
        #[prost(string, tag = "1")]
        name: String,
    }
    let named = Named::decode(body).map_err(|e| Status::internal(format!("{}: {e}", kind.short())))?;
    Ok(named.name)
}

fn unwrap(kind: Kind, any: Any, version: &str) -> Result<(String, Held), Status> {
    if any.type_url == Resource::type_url() {
        let wrapped = Resource::decode(&any.value[..]).map_err(|e| Status::internal(e.to_string()))?;
        let expires = expires(wrapped.ttl.as_ref());
        let body = wrapped.resource.map(|r| r.value).unwrap_or_default();
        return Ok((wrapped.name, Held { version: wrapped.version, body, expires }));
    }
    if any.type_url != kind.type_url() {
        return Err(Status::internal(format!("{} in a response of {}", any.type_url, kind.short())));
    }
    let name = name_of(kind, &any.value)?;
    Ok((name, Held { version: version.to_owned(), body: any.value, expires: None }))
}

fn kind(type_url: &str) -> Result<Kind, Status> {
    Kind::of(type_url).ok_or_else(|| Status::internal(format!("a response of {type_url}")))
}

impl Connection {
    pub(crate) async fn open(channel: Channel, variant: Variant) -> Result<Connection, Status> {
        let mut client = AggregatedDiscoveryServiceClient::new(channel).max_decoding_message_size(LONGEST);
        match variant {
            Variant::Sotw => {
                let (sender, requests) = mpsc::channel(16);
                let responses = client.stream_aggregated_resources(ReceiverStream::new(requests)).await?;
                Ok(Connection::Sotw(sender, responses.into_inner()))
            }
            Variant::Delta => {
                let (sender, requests) = mpsc::channel(16);
                let responses = client.delta_aggregated_resources(ReceiverStream::new(requests)).await?;
                Ok(Connection::Delta(sender, responses.into_inner()))
            }
        }
    }

    pub(crate) async fn ask(&self, node: Option<Node>, ask: Ask) -> Result<(), Status> {
        let gone = || Status::unavailable("the stream has ended");
        match self {
            Connection::Sotw(sender, _) => {
                let request = DiscoveryRequest {
                    version_info: ask.version,
                    node,
                    resource_names: ask.names,
                    type_url: ask.type_url,
                    response_nonce: ask.nonce,
                    error_detail: refusal(ask.error),
                    ..DiscoveryRequest::default()
                };
                sender.send(request).await.map_err(|_| gone())
            }
            Connection::Delta(sender, _) => {
                let request = DeltaDiscoveryRequest {
                    node,
                    type_url: ask.type_url,
                    resource_names_subscribe: ask.subscribe,
                    resource_names_unsubscribe: ask.unsubscribe,
                    initial_resource_versions: ask.initial,
                    response_nonce: ask.nonce,
                    error_detail: refusal(ask.error),
                    ..DeltaDiscoveryRequest::default()
                };
                sender.send(request).await.map_err(|_| gone())
            }
        }
    }

    /// The next response; `None`: the stream has ended.
    pub(crate) async fn next(&mut self) -> Result<Option<Told>, Status> {
        match self {
            Connection::Sotw(_, responses) => {
                let Some(response) = responses.message().await? else { return Ok(None) };
                let length = response.encoded_len();
                let kind = kind(&response.type_url)?;
                let version = response.version_info;
                let all = response.resources.into_iter().map(|any| unwrap(kind, any, &version));
                let resources = all.collect::<Result<_, _>>()?;
                let nonce = response.nonce;
                Ok(Some(Told { kind, version, nonce, resources, removed: Vec::new(), length }))
            }
            Connection::Delta(_, responses) => {
                let Some(response) = responses.message().await? else { return Ok(None) };
                let length = response.encoded_len();
                let kind = kind(&response.type_url)?;
                let held = |r: Resource| {
                    let expires = expires(r.ttl.as_ref());
                    let body = r.resource.map(|any| any.value).unwrap_or_default();
                    (r.name, Held { version: r.version, body, expires })
                };
                Ok(Some(Told {
                    kind,
                    version: response.system_version_info,
                    nonce: response.nonce,
                    resources: response.resources.into_iter().map(held).collect(),
                    removed: response.removed_resources,
                    length,
                }))
            }
        }
    }
}
