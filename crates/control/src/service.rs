//! The whole service: sockets, hub and roster.

use crate::ads::Ads;
use crate::hub::{Event, Hub};
use crate::lrs::Lrs;
use crate::peers;
use crate::roster::Roster;
use envoy_types::pb::envoy::service::load_stats::v3::load_reporting_service_server::LoadReportingServiceServer;
use plover_config::Config;
use plover_core::Core;
use plover_director::{Director, Figures};
use plover_model::time::{SECOND, millis};
use plover_runtime::clock::Clock;
use plover_steering::assign::Instance;
use plover_steering::leases::Times;
use plover_steering::{cold, quorum};
use plover_xds_resources::Frame;
use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, AtomicUsize};
use std::time::Duration;
use tokio::net::TcpListener;
use tokio::sync::watch;
use tonic::transport::Server;
use tonic::transport::server::TcpIncoming;
use tracing::{info, warn};

/// Streams of one connection: a proxy needs two.
const STREAMS_A_CONNECTION: u32 = 16;
/// What is left when the program is to end has this time.
const FAREWELL: Duration = Duration::from_secs(2);

/// What the operator sets.
#[derive(Clone, Debug)]
pub struct Options {
    /// Where proxies connect.
    pub listen: SocketAddr,
    /// Name of the listener and routes that are told.
    pub name: String,
    /// Which control instance this is, from 0, of how many.
    pub instance: u32,
    /// How many there may be.
    pub instances: u32,
    /// Where the others listen that this one may talk with.
    pub peers: Vec<SocketAddr>,
    /// Most streams.
    pub streams: usize,
    /// Cores of the smallest server.
    pub cores: u32,
    /// Work of a request, in microseconds: the largest class's mean.
    pub request_work: u64,
    /// A proxy forgets a cold server after this time without word, in microseconds.
    pub time_to_live: u64,
    /// The longest that a proxy stands still and then reads what was sent to it before, in microseconds.
    pub longest_pause: u64,
    /// A proxy forgets warm servers too after this time without word, in microseconds; `None`: never.
    pub cut_off: Option<u64>,
    /// Time between two pings of a connection, in microseconds. One whose answer takes half of it is gone.
    pub ping: u64,
}

/// Descriptors that the service needs beside its proxies' connections: streams, listener, event queues, list, peers.
const OWN_DESCRIPTORS: u64 = 64;

/// Why the streams that the operator allows cannot all be held, if they cannot: each may come on a connection of its own, and
/// the system lets the process open so many descriptors (`None`: as many as it likes).
pub fn shortage(streams: usize, peers: usize, descriptors: Option<u64>) -> Option<String> {
    let needed = streams as u64 + peers as u64 + OWN_DESCRIPTORS;
    descriptors.filter(|given| *given < needed).map(|given| {
        format!(
            "control-streams {streams} needs up to {needed} descriptors, and the system gives {given} (RLIMIT_NOFILE, \
             ulimit -n): proxies beyond that find no connection"
        )
    })
}

/// What is told once the service listens.
pub type Started = Box<dyn FnOnce(SocketAddr) + Send>;

/// The service, ready to run.
pub struct Service {
    options: Options,
    config: Config,
}

impl Service {
    /// With a deployment's configuration, and what the operator sets.
    pub fn new(config: Config, options: Options) -> Self {
        Service { options, config }
    }

    fn figures(&self) -> Figures {
        let (settings, options) = (&self.config.settings, &self.options);
        let longest = settings.classes.iter().map(|c| millis(c.give_up)).max().unwrap_or(4 * SECOND);
        Figures {
            frame: Frame {
                name: options.name.as_str().into(),
                zones: self.config.names.zones.clone(),
                dial: self.config.pool.dial_timeout,
                time_to_live: options.time_to_live,
                cut_off: options.cut_off,
            },
            cold: cold::Rule {
                from: settings.cold.initial_capacity,
                warm_after: millis(settings.cold.warm_after),
                multiple: settings.cold.overload_factor,
                window: millis(settings.cold.overload_time),
                capacity: f64::from(options.cores) * SECOND as f64,
                work: options.request_work as f64,
            },
            quorum: quorum::Rule::USUAL,
            times: Times {
                time_to_live: options.time_to_live,
                longest_request: longest,
                longest_pause: options.longest_pause,
            },
            instance: Instance { number: options.instance, of: options.instances },
            talks: !options.peers.is_empty(),
        }
    }

    /// Serves until `stop` comes.
    pub async fn run(self, stop: impl Future<Output = ()> + Send, started: Started) -> io::Result<()> {
        let listener = TcpListener::bind(self.options.listen).await?;
        let listen = listener.local_addr()?;
        let clock = Clock::start();
        let core = Core::new(self.config.settings.clone(), 1, self.config.seed);
        let director = Director::new(clock.now(), core, self.figures());
        let hub = Hub::start(director, clock, self.config.names.zones.clone());
        let discovery = self.config.discovery;
        if !self.config.known.targets.is_empty() {
            hub.tell(Event::List(self.config.known.clone())).await;
        }
        let (watched, watching) = (hub.clone(), self.config.clone());
        let roster = tokio::task::spawn_blocking(move || Roster::start(watched, &watching));
        let roster = roster.await.map_err(io::Error::other)??;
        let asking = tokio::spawn(peers::ask(hub.clone(), self.options.peers.clone()));
        let (leave, leaving) = watch::channel(false);
        let identifier: Arc<str> = format!("{}-{}", self.config.name, self.options.instance).into();
        let ads = Ads {
            hub: hub.clone(),
            identifier,
            leaving: leaving.clone(),
            next: Arc::new(AtomicU64::new(1)),
            open: Arc::new(AtomicUsize::new(0)),
            most: self.options.streams,
            lrs: LoadReportingServiceServer::new(Lrs { hub, leaving }),
        };
        let (instance, instances) = (self.options.instance, self.options.instances);
        if let Some(shortage) =
            shortage(self.options.streams, self.options.peers.len(), plover_runtime::descriptors::limit())
        {
            warn!(name: "control_descriptors", shortage);
        }
        info!(name: "started_control", name = %self.config.name, listen = %listen, instance, instances, discovery = %discovery);
        started(listen);
        let stopped = async move {
            stop.await;
            info!(name: "leaving_control", instance);
            let _ = leave.send(true);
        };
        let ping = Duration::from_micros(self.options.ping);
        // Instances that were started together do not ping together.
        let spread = ping / 2 * (std::process::id() % 64) / 64;
        let (ended, has_ended) = tokio::sync::oneshot::channel::<()>();
        let shutdown = async move {
            stopped.await;
            let _ = ended.send(());
        };
        let serving = Server::builder()
            .tcp_nodelay(true)
            .max_concurrent_streams(Some(STREAMS_A_CONNECTION))
            .http2_keepalive_interval(Some(ping + spread))
            .http2_keepalive_timeout(Some(ping / 2))
            .serve_with_incoming_shutdown(
                ads,
                TcpIncoming::from(listener).with_nodelay(Some(true)),
                shutdown,
            );
        let late = async {
            let _ = has_ended.await;
            tokio::time::sleep(FAREWELL).await;
        };
        let result = tokio::select! {
            result = serving => result.map_err(io::Error::other),
            () = late => Ok(()),
        };
        asking.abort();
        let ended = tokio::task::spawn_blocking(move || drop(roster)).await;
        info!(name: "stopped_control", instance);
        result.and(ended.map_err(io::Error::other))
    }
}
