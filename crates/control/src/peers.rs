//! Talk among control instances: each asks all others twice a second, over the port that proxies use.
//!
//! The messages are this project's own. What is lent and for how long is decided by `plover_steering::loans`.

use crate::hub::{Event, Hub};
use futures_util::future::BoxFuture;
use plover_model::server::NodeId;
use plover_steering::loans::{Answer, Word};
use std::net::SocketAddr;
use std::time::Duration;
use tokio::sync::oneshot;
use tonic::client::Grpc;
use tonic::server::UnaryService;
use tonic::transport::{Channel, Endpoint};
use tonic::{Request, Response, Status};
use tonic_prost::ProstCodec;
use tracing::{debug, warn};

/// Where words are taken.
pub(crate) const PATH: &str = "/ploverport.control.v1.Peers/Exchange";
/// Between two words.
const INTERVAL: Duration = Duration::from_millis(500);
/// An answer that takes longer is not waited for.
const PATIENCE: Duration = Duration::from_millis(400);
/// Servers that one word may name: those that are cold at one time, which may be a whole list.
const MOST_SERVERS: usize = 16_384;

/// Units at a server.
#[derive(Clone, PartialEq, prost::Message)]
pub(crate) struct Units {
    #[prost(string, tag = "1")]
    server: String,
    #[prost(uint32, tag = "2")]
    units: u32,
}

/// [`Word`].
#[derive(Clone, PartialEq, prost::Message)]
pub(crate) struct WordMessage {
    #[prost(uint32, tag = "1")]
    from: u32,
    #[prost(uint64, tag = "2")]
    version: u64,
    #[prost(uint32, tag = "3")]
    proxies: u32,
    #[prost(message, repeated, tag = "4")]
    wishes: Vec<Units>,
}

/// [`Answer`].
#[derive(Clone, PartialEq, prost::Message)]
pub(crate) struct AnswerMessage {
    #[prost(uint32, tag = "1")]
    from: u32,
    #[prost(uint64, tag = "2")]
    version: u64,
    #[prost(message, repeated, tag = "3")]
    lends: Vec<Units>,
}

fn told(units: Vec<(NodeId, u32)>) -> Vec<Units> {
    units.into_iter().map(|(server, units)| Units { server: server.0.to_string(), units }).collect()
}

fn heard(units: Vec<Units>) -> Result<Vec<(NodeId, u32)>, Status> {
    if units.len() > MOST_SERVERS {
        let many = units.len();
        return Err(Status::invalid_argument(format!("a word of {many} servers, {MOST_SERVERS} at most")));
    }
    Ok(units.into_iter().map(|u| (NodeId(u.server.as_str().into()), u.units)).collect())
}

/// Answers words.
pub(crate) struct Exchange(pub(crate) Hub);

impl UnaryService<WordMessage> for Exchange {
    type Response = AnswerMessage;
    type Future = BoxFuture<'static, Result<Response<AnswerMessage>, Status>>;

    fn call(&mut self, request: Request<WordMessage>) -> Self::Future {
        let hub = self.0.clone();
        Box::pin(async move {
            let WordMessage { from, version, proxies, wishes } = request.into_inner();
            let word = Word { from, version, proxies, wishes: heard(wishes)? };
            let (reply, answer) = oneshot::channel();
            hub.tell(Event::PeerWord(word, reply)).await;
            let answer: Answer = answer.await.map_err(|_| Status::unavailable("the service is ending"))?;
            let (from, version, lends) = (answer.from, answer.version, told(answer.lends));
            Ok(Response::new(AnswerMessage { from, version, lends }))
        })
    }
}

/// Asks all peers, for ever. Each has a connection that is made again when it breaks.
pub(crate) async fn ask(hub: Hub, peers: Vec<SocketAddr>) {
    let channel = |peer: &SocketAddr| {
        let endpoint = Endpoint::from_shared(format!("http://{peer}")).ok()?;
        Some((*peer, endpoint.connect_timeout(PATIENCE).connect_lazy()))
    };
    let channels: Vec<(SocketAddr, Channel)> = peers.iter().filter_map(channel).collect();
    let mut ticks = tokio::time::interval(INTERVAL);
    ticks.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
    loop {
        ticks.tick().await;
        let (reply, word) = oneshot::channel();
        hub.tell(Event::Ask(reply)).await;
        let Ok(word) = word.await else { return };
        let message = WordMessage {
            from: word.from,
            version: word.version,
            proxies: word.proxies,
            wishes: told(word.wishes),
        };
        let calls =
            channels.iter().map(|(peer, channel)| call(&hub, *peer, channel.clone(), message.clone()));
        futures_util::future::join_all(calls).await;
    }
}

async fn call(hub: &Hub, peer: SocketAddr, channel: Channel, message: WordMessage) {
    let exchange = async {
        let mut grpc = Grpc::new(channel);
        grpc.ready().await.map_err(|e| Status::unavailable(e.to_string()))?;
        let codec: ProstCodec<WordMessage, AnswerMessage> = ProstCodec::default();
        let answer =
            grpc.unary(Request::new(message), http::uri::PathAndQuery::from_static(PATH), codec).await?;
        let AnswerMessage { from, version, lends } = answer.into_inner();
        Ok::<_, Status>(Answer { from, version, lends: heard(lends)? })
    };
    match tokio::time::timeout(PATIENCE, exchange).await {
        Ok(Ok(answer)) => {
            if !answer.lends.is_empty() {
                debug!(name: "control_borrowed", peer = %peer, from = answer.from, servers = answer.lends.len());
            }
            hub.tell(Event::PeerAnswer(answer)).await;
        }
        Ok(Err(status)) => warn!(name: "control_peer", peer = %peer, error = %status.message()),
        Err(_) => warn!(name: "control_peer", peer = %peer, error = "no answer in time"),
    }
}
