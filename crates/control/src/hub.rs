//! The one owner of what is decided.

use plover_director::{ClusterLoad, Director, Node, StreamId, Turn};
use plover_model::server::Targets;
use plover_model::time::{MILLI, Micros};
use plover_runtime::clock::Clock;
use plover_steering::loans::{Answer, Word};
use plover_xds::{Item, Kind};
use std::sync::Arc;
use tokio::sync::{mpsc, oneshot, watch};
use tracing::{debug, info, warn};

/// Events that wait for the hub. A stream that finds the queue full waits, and its proxy with it.
const QUEUE: usize = 4096;
/// Turns are so far apart at least: what changes meanwhile comes together. A drain must be told within 250 ms of its
/// being known; this, a turn's work and the way to the proxies have to fit in there.
const GATHER: Micros = 40 * MILLI;

/// What the hub is told.
#[derive(Debug)]
pub enum Event {
    /// A stream was opened.
    Opened(StreamId, Node),
    /// It asked for a kind, and may have named what it holds of it.
    Asked(StreamId, Kind, Vec<Item>),
    /// It acknowledged resources.
    Acked {
        /// The stream.
        stream: StreamId,
        /// Their kind.
        kind: Kind,
        /// The resources.
        items: Vec<Item>,
        /// All that it was told of the kind, if it has answered all of that.
        settled: Option<Vec<Arc<str>>>,
    },
    /// It has ended.
    Ended(StreamId),
    /// A proxy's load.
    Report(Arc<str>, Vec<ClusterLoad>),
    /// News of the list of servers.
    List(Targets),
    /// The next word to the other instances is wanted.
    Ask(oneshot::Sender<Word>),
    /// Another instance's word, and where the answer goes.
    PeerWord(Word, oneshot::Sender<Answer>),
    /// Another instance's answer.
    PeerAnswer(Answer),
}

/// Where to tell the hub, and to hear from it.
#[derive(Clone, Debug)]
pub struct Hub {
    events: mpsc::Sender<Event>,
    told: watch::Receiver<Arc<Turn>>,
}

impl Hub {
    /// Starts it with a director; its task ends with the last of those that tell it something.
    pub fn start(director: Director, clock: Clock, zones: Vec<String>) -> Hub {
        let (events, queue) = mpsc::channel(QUEUE);
        let (tell, told) = watch::channel(Arc::new(Turn::default()));
        tokio::spawn(run(director, clock, zones, queue, tell));
        Hub { events, told }
    }

    /// Tells it something, waiting until there is room.
    pub async fn tell(&self, event: Event) {
        // Without a hub the program is on its way out.
        let _ = self.events.send(event).await;
    }

    /// The same from a thread that may wait.
    pub fn tell_blocking(&self, event: Event) {
        let _ = self.events.blocking_send(event);
    }

    /// What holds now, and from now on.
    pub fn told(&self) -> watch::Receiver<Arc<Turn>> {
        self.told.clone()
    }
}

async fn run(
    mut director: Director,
    clock: Clock,
    zones: Vec<String>,
    mut queue: mpsc::Receiver<Event>,
    tell: watch::Sender<Arc<Turn>>,
) {
    let mut next: Option<Micros> = Some(clock.now());
    let mut last: Option<Micros> = None;
    let mut known = false;
    loop {
        let at = next.unwrap_or(Micros::MAX).min(director.due()).min(clock.now() + 60_000 * MILLI);
        let at = at.max(last.map_or(0, |last| last + GATHER));
        tokio::select! {
            biased;
            () = tokio::time::sleep_until(clock.instant(at).into()) => {
                let now = clock.now();
                (last, next) = (Some(now), None);
                let turn = director.turn(now);
                if !known && turn.shared.is_some() {
                    known = true;
                    info!(name: "control_ready", streams = director.streams());
                }
                if turn.changed {
                    let took = clock.now() - now;
                    debug!(name: "control_turn", streams = director.streams(), took_us = took, encoded = director.encoded());
                    tell.send_replace(Arc::new(turn));
                }
            }
            event = queue.recv() => {
                let Some(event) = event else { return };
                let now = clock.now();
                if take(&mut director, now, event, &zones, &clock) {
                    next = Some(next.unwrap_or(now));
                }
            }
        }
    }
}

/// Takes an event; true: a turn is due for it.
fn take(director: &mut Director, now: Micros, event: Event, zones: &[String], clock: &Clock) -> bool {
    match event {
        Event::Opened(stream, node) => director.opened(now, stream, node),
        Event::Asked(stream, kind, held) => director.asked(stream, kind, &held),
        Event::Acked { stream, kind, items, settled } => {
            director.acked(now, stream, kind, &items, settled.as_deref());
            // Nothing is to be told for it, but for leases that waited for this; the next beat sees to those.
            return false;
        }
        Event::Ended(stream) => {
            director.ended(now, stream);
            return false;
        }
        Event::Ask(reply) => {
            let _ = reply.send(director.word(now));
            return false;
        }
        Event::PeerWord(word, reply) => {
            let _ = reply.send(director.answer(now, &word));
            return false;
        }
        Event::PeerAnswer(answer) => {
            director.take(&answer);
            return false;
        }
        Event::Report(node, clusters) => {
            let unkept = director.unkept_reports();
            director.report(now, &node, &clusters);
            if director.unkept_reports() > unkept {
                warn!(name: "control_report_unkept", node = %node, so_far = director.unkept_reports());
            }
        }
        Event::List(targets) => {
            let servers = targets.servers(zones, |ms| clock.at_unix_ms(ms));
            let servers: Vec<_> =
                servers.into_iter().zip(targets.targets.iter().map(|t| t.endpoint)).collect();
            let named = servers.len();
            if director.learn(now, targets.scope(), servers) {
                debug!(name: "control_list", rev = targets.rev, whole = targets.all, named);
            } else {
                warn!(name: "control_list_held_back", rev = targets.rev, named);
            }
        }
    }
    true
}
