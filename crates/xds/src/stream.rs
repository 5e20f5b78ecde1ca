//! One stream: all kinds together, in the order that never points at what is not there.

use crate::watch::Watch;
use crate::{Answer, Fault, Heard, Kind, Request, Resource, Version, View};
use std::sync::Arc;

/// A proxy's stream.
///
/// Updates go out in the order clusters, endpoints, listeners, routes. A route that points at a cluster new to the proxy
/// waits until the proxy has accepted that cluster and its endpoints; a cluster that is gone is told on until the proxy
/// has accepted routes that do not point at it. Where a proxy asks for its clusters by name, it asks for those that its
/// routes name (a gRPC client does), so that there the routes must come first and wait for nothing.
#[derive(Debug, Default)]
pub struct Stream {
    watches: [Option<Watch>; 4],
    nonce: u64,
}

impl Stream {
    /// A stream that has asked for nothing.
    pub fn new() -> Self {
        Stream::default()
    }

    /// Takes a request of this kind.
    pub fn request(&mut self, kind: Kind, request: Request) -> Result<Heard, Fault> {
        match &mut self.watches[kind.place()] {
            Some(watch) => watch.request(request),
            none => {
                let watch = Watch::open(kind, request)?;
                let held = watch.items();
                *none = Some(watch);
                Ok(Heard::Asked(held))
            }
        }
    }

    fn watch(&self, kind: Kind) -> Option<&Watch> {
        self.watches[kind.place()].as_ref()
    }

    /// The next response that this view of things makes due; `None`: the proxy was sent all of it that may be sent now.
    pub fn answer(&mut self, view: &View) -> Option<Answer> {
        Kind::ALL.into_iter().find_map(|kind| self.answer_of(kind, view))
    }

    fn answer_of(&mut self, kind: Kind, view: &View) -> Option<Answer> {
        // Taken out for the call, so that the others can be looked at.
        let mut watch = self.watches[kind.place()].take()?;
        let routes = self.watch(Kind::Route);
        let needed = match kind {
            Kind::Cluster => routes.map(Watch::needed).unwrap_or_default(),
            _ => Default::default(),
        };
        let (clusters, endpoints) = (self.watch(Kind::Cluster), self.watch(Kind::Endpoints));
        let ready =
            |resource: &Resource| kind != Kind::Route || Self::may_point(resource, clusters, endpoints);
        let kept = |name: &str| match kind {
            Kind::Cluster => needed.contains(name),
            Kind::Endpoints => clusters.is_some_and(|c| c.holds(name)),
            _ => false,
        };
        let answer = watch.answer(self.nonce + 1, view, ready, kept);
        self.watches[kind.place()] = Some(watch);
        self.nonce += u64::from(answer.is_some());
        answer
    }

    /// Whether a route may go out: all that it points at is there.
    fn may_point(route: &Resource, clusters: Option<&Watch>, endpoints: Option<&Watch>) -> bool {
        let Some(clusters) = clusters.filter(|c| c.is_wildcard()) else { return true };
        let there = |name: &Arc<str>| clusters.has(name) && endpoints.is_none_or(|e| e.has(name));
        route.needs.iter().all(there)
    }

    /// All names of a kind that the proxy was told of, if it has answered all that it was sent of the kind.
    pub fn settled(&self, kind: Kind) -> Option<Vec<Arc<str>>> {
        self.watch(kind).filter(|w| w.is_settled()).map(|w| w.told().cloned().collect())
    }

    /// The version of all that this view holds of a kind, for a person's eyes.
    pub fn version(view: &View, kind: Kind) -> Version {
        Version::of_all(view.all(kind).map(|r| (r.name.clone(), r.version)))
    }
}
