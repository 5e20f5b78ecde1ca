//! A proxy's side as a model: it applies what it is sent as the protocol has it. Whatever is asked, acknowledged late,
//! refused, or changed meanwhile, both variants end in the same state, and on the way no route points at what is not
//! there.

use bytes::Bytes;
use plover_xds::{Answer, Heard, Kind, Request, Resource, Snapshot, Stream, Variant, Version, View};
use proptest::prelude::*;
use std::collections::{BTreeMap, VecDeque};
use std::sync::Arc;

fn resource(name: &str, version: u64, needs: &[String]) -> Arc<Resource> {
    Arc::new(Resource {
        name: name.into(),
        version: Version(version),
        beat: 0,
        any: Bytes::copy_from_slice(&version.to_le_bytes()),
        ttl_ms: None,
        needs: needs.iter().map(|n| n.as_str().into()).collect(),
        by_name_only: false,
    })
}

/// A state: which clusters there are, each with a version of its own and of its endpoints; one route to all of them.
fn view(clusters: &BTreeMap<u8, (u64, u64)>) -> View {
    let mut snapshot = Snapshot::default();
    let names: Vec<String> = clusters.keys().map(|n| format!("c{n}")).collect();
    for (name, (cluster, endpoints)) in names.iter().zip(clusters.values()) {
        snapshot.insert(Kind::Cluster, resource(name, *cluster, &[]));
        snapshot.insert(Kind::Endpoints, resource(name, *endpoints, &[]));
    }
    // The listener changes with the last of the clusters.
    let listener = 1 + u64::from(clusters.contains_key(&9));
    snapshot.insert(Kind::Listener, resource("l", listener, &[]));
    let version = Version::of_all(names.iter().map(|n| (n.as_str().into(), Version(0))));
    snapshot.insert(Kind::Route, resource("r", version.0, &names));
    View { shared: Arc::new(snapshot), own: Arc::default() }
}

/// A proxy that asks for all clusters and listeners, and by name for what these point at.
struct Proxy {
    variant: Variant,
    stream: Stream,
    held: BTreeMap<Kind, BTreeMap<Arc<str>, Arc<Resource>>>,
    inbox: VecDeque<Answer>,
    asked: bool,
    /// A route was accepted on this stream.
    routed: bool,
}

impl Proxy {
    fn new(variant: Variant) -> Proxy {
        let mut proxy = Proxy {
            variant,
            stream: Stream::new(),
            held: Kind::ALL.into_iter().map(|k| (k, BTreeMap::new())).collect(),
            inbox: VecDeque::new(),
            asked: false,
            routed: false,
        };
        proxy.ask(Kind::Cluster, &[], "", None);
        proxy.ask(Kind::Listener, &[], "", None);
        proxy.ask(Kind::Route, &["r".into()], "", None);
        proxy
    }

    fn ask(&mut self, kind: Kind, names: &[Arc<str>], nonce: &str, error: Option<String>) -> Heard {
        let names: Vec<String> = names.iter().map(|n| n.to_string()).collect();
        let nonce = nonce.to_owned();
        let request = match self.variant {
            Variant::Sotw => Request::Sotw { names, nonce, error },
            Variant::Delta => {
                let initial = if nonce.is_empty() && kind != Kind::Endpoints {
                    self.held[&kind].iter().map(|(n, r)| (n.to_string(), r.version.to_string())).collect()
                } else {
                    Vec::new()
                };
                let subscribe = if nonce.is_empty() { names } else { Vec::new() };
                Request::Delta { subscribe, unsubscribe: Vec::new(), initial, nonce, error }
            }
        };
        self.stream.request(kind, request).unwrap()
    }

    fn names(&self, kind: Kind) -> Vec<Arc<str>> {
        match kind {
            Kind::Cluster | Kind::Listener => Vec::new(),
            Kind::Endpoints => self.held[&Kind::Cluster].keys().cloned().collect(),
            Kind::Route => vec!["r".into()],
        }
    }

    /// Takes all that is owed into its socket, without reading it.
    fn receive(&mut self, view: &View) {
        while let Some(answer) = self.stream.answer(view) {
            self.inbox.push_back(answer);
        }
    }

    /// Reads the next response, and accepts or refuses it.
    fn read(&mut self, accept: bool) {
        let Some(answer) = self.inbox.pop_front() else { return };
        let kind = answer.kind;
        if !accept {
            let heard = self.ask(kind, &self.names(kind), &answer.nonce.to_string(), Some("no".into()));
            assert!(matches!(heard, Heard::Refused { .. } | Heard::Stale));
            return;
        }
        let before = self.names(Kind::Endpoints);
        self.routed |= kind == Kind::Route;
        let held = self.held.get_mut(&kind).unwrap();
        if self.variant == Variant::Sotw && kind.is_whole() {
            held.clear();
        }
        held.extend(answer.resources.iter().map(|r| (r.name.clone(), r.clone())));
        answer.removed.iter().for_each(|name| drop(held.remove(name)));
        self.ask(kind, &self.names(kind), &answer.nonce.to_string(), None);
        let after = self.names(Kind::Endpoints);
        if kind == Kind::Cluster && (before != after || !self.asked) {
            self.ask_endpoints(&before, &after);
        }
        self.check();
    }

    /// Asks for the endpoints of the clusters that it has, as each variant does.
    fn ask_endpoints(&mut self, before: &[Arc<str>], after: &[Arc<str>]) {
        self.asked = true;
        let text = |names: Vec<&Arc<str>>| names.into_iter().map(|n| n.to_string()).collect::<Vec<_>>();
        let request = match self.variant {
            Variant::Sotw => {
                Request::Sotw { names: text(after.iter().collect()), nonce: String::new(), error: None }
            }
            Variant::Delta => Request::Delta {
                subscribe: text(after.iter().filter(|n| !before.contains(n)).collect()),
                unsubscribe: text(before.iter().filter(|n| !after.contains(n)).collect()),
                initial: Vec::new(),
                nonce: String::new(),
                error: None,
            },
        };
        self.stream.request(Kind::Endpoints, request).unwrap();
        let clusters = self.held[&Kind::Cluster].clone();
        self.held.get_mut(&Kind::Endpoints).unwrap().retain(|name, _| clusters.contains_key(name));
    }

    /// No route points at a cluster that is not there. What it held before its stream broke is not known to the other
    /// side, so that this holds from the first route of a stream on.
    fn check(&self) {
        if !self.routed {
            return;
        }
        for route in self.held[&Kind::Route].values() {
            for name in route.needs.iter() {
                assert!(self.held[&Kind::Cluster].contains_key(name), "{name} is not there");
            }
        }
    }

    fn settle(&mut self, view: &View) {
        for _ in 0..1000 {
            self.receive(view);
            if self.inbox.is_empty() {
                return;
            }
            self.read(true);
        }
        panic!("it never ends");
    }

    /// The stream breaks: what was on its way is lost, what is held stays.
    fn reconnect(&mut self) {
        self.stream = Stream::new();
        self.inbox.clear();
        (self.asked, self.routed) = (false, false);
        self.ask(Kind::Cluster, &[], "", None);
        self.ask(Kind::Listener, &[], "", None);
        self.ask(Kind::Route, &["r".into()], "", None);
        let names = self.names(Kind::Endpoints);
        if !names.is_empty() {
            self.ask_endpoints(&[], &names);
        }
    }

    fn versions(&self) -> Vec<(Kind, Arc<str>, Version)> {
        let all =
            self.held.iter().flat_map(|(k, held)| held.values().map(|r| (*k, r.name.clone(), r.version)));
        all.collect()
    }
}

fn expected(view: &View) -> Vec<(Kind, Arc<str>, Version)> {
    Kind::ALL.into_iter().flat_map(|k| view.all(k).map(move |r| (k, r.name.clone(), r.version))).collect()
}

#[derive(Clone, Debug)]
enum Step {
    Put(u8, u64, u64),
    Remove(u8),
    Receive,
    Accept,
    Refuse,
    Reconnect,
}

fn step() -> impl Strategy<Value = Step> {
    prop_oneof![
        3 => (0u8..5, 1u64..4, 1u64..4).prop_map(|(n, c, e)| Step::Put(n, c, e)),
        2 => (0u8..5).prop_map(Step::Remove),
        4 => Just(Step::Receive),
        5 => Just(Step::Accept),
        1 => Just(Step::Refuse),
        1 => Just(Step::Reconnect),
    ]
}

proptest! {
    #[test]
    fn both_variants_end_in_the_same_state_and_never_point_at_nothing(steps in prop::collection::vec(step(), 0..60)) {
        let mut clusters = BTreeMap::from([(0, (1, 1))]);
        let mut proxies = [Proxy::new(Variant::Sotw), Proxy::new(Variant::Delta)];
        for step in steps {
            match step {
                Step::Put(n, c, e) => _ = clusters.insert(n, (c, e)),
                Step::Remove(n) => _ = clusters.remove(&n),
                Step::Receive => proxies.iter_mut().for_each(|p| p.receive(&view(&clusters))),
                Step::Accept => proxies.iter_mut().for_each(|p| p.read(true)),
                Step::Refuse => proxies.iter_mut().for_each(|p| p.read(false)),
                Step::Reconnect => proxies.iter_mut().for_each(Proxy::reconnect),
            }
        }
        // What was refused is not sent again as it was: all of it changes once more.
        clusters.values_mut().for_each(|(c, e)| { *c += 10; *e += 10; });
        clusters.insert(9, (1, 1));
        let last = view(&clusters);
        for proxy in &mut proxies {
            proxy.settle(&last);
            prop_assert_eq!(proxy.versions(), expected(&last));
        }
    }
}
