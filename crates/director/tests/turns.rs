//! What is told when, in injected time; and that no order of what proxies do breaks the rule for cold servers.

use envoy_types::pb::envoy::config::cluster::v3::Cluster;
use envoy_types::pb::envoy::config::core::v3::HealthStatus;
use envoy_types::pb::envoy::config::endpoint::v3::ClusterLoadAssignment;
use envoy_types::pb::google::protobuf::Any;
use plover_core::Core;
use plover_director::{ClusterLoad, Director, EndpointLoad, Figures, Node, StreamId};
use plover_model::server::{ListScope, NodeId, NodeState, ServerInfo};
use plover_model::time::{MILLI, Micros, SECOND};
use plover_standins::Deployment;
use plover_steering::assign::Instance;
use plover_steering::leases::Times;
use plover_steering::{cold, quorum};
use plover_xds::{Answer, Heard, Kind, Request, Resource, Stream, View};
use plover_xds_resources::Frame;
use proptest::prelude::*;
use prost::Message;
use std::collections::{BTreeMap, VecDeque};
use std::net::SocketAddr;

const TIMES: Times =
    Times { time_to_live: 2 * SECOND, longest_request: 4 * SECOND, longest_pause: 10 * SECOND };
const COLD: cold::Rule = cold::Rule {
    from: 0.18,
    warm_after: 16 * SECOND,
    multiple: 2.5,
    window: SECOND,
    capacity: 2e6,
    work: 126_000.0,
};

fn director() -> Director {
    let none = serde_json::json!({"rev": 0, "all": true, "targets": []});
    let nowhere = SocketAddr::from(([127, 0, 0, 1], 1));
    let configuration =
        Deployment { cells: 2, ..Deployment::default() }.around(nowhere, &none, "127.0.0.1:0");
    let config = plover_config::check(&configuration, |_| None).unwrap();
    let quorum = quorum::Rule {
        proxies: 2,
        share: 0.5,
        failures: 0.5,
        requests: 5,
        fresh: 10 * SECOND,
        first: 2 * SECOND,
        longest: 30 * SECOND,
        forgiven: 60 * SECOND,
        most_out: 0.5,
        cut_off: 0.8,
    };
    let frame = Frame {
        name: "ploverport".into(),
        zones: config.names.zones.clone(),
        dial: 250 * MILLI,
        time_to_live: TIMES.time_to_live,
    };
    let instance = Instance { number: 0, of: 1 };
    let figures = Figures { frame, cold: COLD, quorum, times: TIMES, instance };
    Director::new(Core::new(config.settings, 1, 1), figures)
}

fn address(n: usize) -> SocketAddr {
    SocketAddr::from(([10, 0, 0, n as u8], 9000))
}

fn server(n: usize, state: NodeState, started: Option<i64>) -> (ServerInfo, Option<SocketAddr>) {
    let name = NodeId(format!("s{n}").into());
    (ServerInfo { name, cell: n % 2, state, zone: Some(0), started }, Some(address(n)))
}

fn four() -> Vec<(ServerInfo, Option<SocketAddr>)> {
    (0..4).map(|n| server(n, NodeState::Serving, None)).collect()
}

fn node(id: &str) -> Node {
    Node { id: id.into(), heeds_time_to_live: true }
}

fn message<T: Message + Default>(resource: &Resource) -> T {
    T::decode(&Any::decode(&resource.any[..]).unwrap().value[..]).unwrap()
}

/// Health of a cell's endpoints, in the order of their names.
fn health(view: &View, cell: &str) -> Vec<HealthStatus> {
    let told: ClusterLoadAssignment = message(view.get(Kind::Endpoints, cell).unwrap());
    let all = told.endpoints.iter().flat_map(|l| &l.lb_endpoints);
    all.map(|e| HealthStatus::try_from(e.health_status).unwrap()).collect()
}

#[test]
fn nothing_is_told_before_the_list_is_known_and_an_empty_one_is_held_back() {
    let mut director = director();
    director.opened(0, 1, node("p"));
    assert!(director.turn(0).view(1).is_none());
    director.learn(1, ListScope::Changes, vec![server(0, NodeState::Serving, None)]);
    assert!(director.turn(1).view(1).is_none(), "changes of what is not known");
    assert!(director.learn(2, ListScope::Whole, four()));
    let view = director.turn(2).view(1).unwrap();
    assert_eq!(health(&view, "cell-0"), [HealthStatus::Healthy; 2]);
    assert!(!director.learn(3, ListScope::Whole, vec![]), "a list of none after one of four");
    assert!(!director.learn(3, ListScope::Whole, vec![server(0, NodeState::Gone, None)]));
    assert_eq!(health(&director.turn(3).view(1).unwrap(), "cell-0"), [HealthStatus::Healthy; 2]);
}

#[test]
fn a_drain_is_in_the_next_turn_and_what_did_not_change_is_the_very_same() {
    let mut director = director();
    director.learn(0, ListScope::Whole, four());
    let before = director.turn(0);
    assert!(before.changed && !director.turn(1).changed);
    director.learn(2, ListScope::Changes, vec![server(0, NodeState::Draining, None)]);
    let after = director.turn(2);
    assert!(after.changed);
    let view = after.view(1).unwrap();
    assert_eq!(health(&view, "cell-0"), [HealthStatus::Draining, HealthStatus::Healthy]);
    let of = |turn: &plover_director::Turn, name: &str| {
        turn.view(1).unwrap().get(Kind::Endpoints, name).unwrap().clone()
    };
    assert!(std::sync::Arc::ptr_eq(&of(&before, "cell-1"), &of(&after, "cell-1")), "it was encoded again");
    assert_eq!(director.encoded(), 4 + 2);
    director.learn(3, ListScope::Changes, vec![server(0, NodeState::Gone, None)]);
    assert_eq!(health(&director.turn(3).view(1).unwrap(), "cell-0"), [HealthStatus::Healthy]);
}

fn load(n: usize, served: u64, failed: u64) -> ClusterLoad {
    let endpoints = vec![EndpointLoad { address: address(n), served, failed }];
    let name = format!("cell-{}", n % 2);
    ClusterLoad { name, interval: SECOND, issued: served + failed, in_progress: 1, endpoints }
}

/// One proxy's view takes nobody out; two proxies' do, and what they say later brings the server back.
#[test]
fn failures_that_several_proxies_report_take_a_server_out() {
    let mut director = director();
    director.learn(0, ListScope::Whole, four());
    (1..4).for_each(|id| director.opened(0, id, node(&format!("p{id}"))));
    director.report(SECOND, "p1", &[load(0, 1, 500)]);
    director.report(SECOND, "p2", &[load(0, 50, 0)]);
    director.report(SECOND, "p3", &[load(0, 50, 0)]);
    let told = |director: &mut Director, now| health(&director.turn(now).view(1).unwrap(), "cell-0");
    assert_eq!(told(&mut director, SECOND), [HealthStatus::Healthy; 2]);
    director.report(2 * SECOND, "p2", &[load(0, 1, 50)]);
    assert_eq!(told(&mut director, 2 * SECOND), [HealthStatus::Unhealthy, HealthStatus::Healthy]);
    for second in 3..40 {
        (1..4).for_each(|p| director.report(second * SECOND, &format!("p{p}"), &[load(0, 50, 0)]));
        told(&mut director, second * SECOND);
    }
    assert_eq!(told(&mut director, 40 * SECOND), [HealthStatus::Healthy; 2]);
}

/// A proxy as a model: it reads what lies in its socket when it likes, and acts on a lease for its time to live from then.
struct Proxy {
    id: StreamId,
    stream: Stream,
    inbox: VecDeque<(Micros, Answer)>,
    /// What it may have out at the cold server, and until when it may begin requests there.
    holds: Option<(u32, Micros)>,
    /// Requests that it began end at the latest at this moment, so many at the most.
    tail: Option<(u32, Micros)>,
}

const COLD_CLUSTER: &str = "cold-s0";

fn most_out(resource: &Resource) -> u32 {
    let told: Cluster = message(resource);
    told.circuit_breakers.unwrap().thresholds[0].max_requests.as_ref().unwrap().value
}

fn ask(kind: Kind, nonce: &str) -> Request {
    let subscribe = match kind {
        Kind::Endpoints if nonce.is_empty() => vec!["cell-0".to_owned(), "cell-1".to_owned()],
        _ => Vec::new(),
    };
    let (unsubscribe, initial, error) = (Vec::new(), Vec::new(), None);
    Request::Delta { subscribe, unsubscribe, initial, nonce: nonce.to_owned(), error }
}

impl Proxy {
    fn open(director: &mut Director, now: Micros, id: StreamId, before: Option<Proxy>) -> Proxy {
        director.opened(now, id, node("p"));
        let mut stream = Stream::new();
        for kind in [Kind::Cluster, Kind::Endpoints] {
            stream.request(kind, ask(kind, "")).unwrap();
            director.asked(id, kind, &[]);
        }
        let (holds, tail) = before.map_or((None, None), |p| (p.holds, p.tail));
        Proxy { id, stream, inbox: VecDeque::new(), holds, tail }
    }

    fn receive(&mut self, now: Micros, view: &View) {
        while let Some(answer) = self.stream.answer(view) {
            self.inbox.push_back((now, answer));
        }
    }

    /// Reads one response and acknowledges it.
    fn read(&mut self, director: &mut Director, now: Micros) {
        self.forget(now);
        let Some((_, answer)) = self.inbox.pop_front() else { return };
        if answer.kind == Kind::Cluster {
            if let Some(cold) = answer.resources.iter().find(|r| &*r.name == COLD_CLUSTER) {
                self.holds = Some((most_out(cold), now + TIMES.time_to_live));
            }
            if answer.removed.iter().any(|name| &**name == COLD_CLUSTER) {
                self.let_go(now);
            }
        }
        let heard = self.stream.request(answer.kind, ask(answer.kind, &answer.nonce.to_string())).unwrap();
        if let Heard::Acked(items) = heard {
            let settled = self.stream.settled(answer.kind);
            director.acked(now, self.id, answer.kind, &items, settled.as_deref());
        }
    }

    fn let_go(&mut self, at: Micros) {
        if let Some((units, _)) = self.holds.take() {
            let before = self.tail.filter(|(_, end)| *end > at).map_or(0, |(units, _)| units);
            self.tail = Some((units.max(before), at + TIMES.longest_request));
        }
    }

    fn forget(&mut self, now: Micros) {
        if let Some((_, until)) = self.holds.filter(|(_, until)| *until <= now) {
            self.let_go(until);
        }
    }

    /// What it may have out there now.
    fn out(&mut self, now: Micros) -> u32 {
        self.forget(now);
        let tail = self.tail.filter(|(_, end)| *end > now).map_or(0, |(units, _)| units);
        self.holds.map_or(0, |(units, _)| units).max(tail)
    }
}

#[derive(Clone, Debug)]
enum Step {
    Wait(Micros),
    Turn,
    Read(usize),
    /// All that one proxy has, at once.
    ReadAll(usize),
    Break(usize),
}

fn step() -> impl Strategy<Value = Step> {
    prop_oneof![
        4 => (1u64..1500).prop_map(|ms| Step::Wait(ms * MILLI)),
        4 => Just(Step::Turn),
        4 => (0usize..4).prop_map(Step::Read),
        4 => (0usize..4).prop_map(Step::ReadAll),
        1 => (0usize..4).prop_map(Step::Break),
    ]
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(256))]
    /// Whatever the order of words, acknowledgements, pauses and breaks: all proxies together may never have more out at
    /// a cold server than it may have, counted as the proxies themselves count.
    #[test]
    fn proxies_together_keep_to_what_a_cold_server_may_have_out(steps in prop::collection::vec(step(), 0..150)) {
        let mut director = director();
        let mut servers = four();
        director.learn(0, ListScope::Whole, servers.clone());
        let mut next_id = 0;
        let mut open = |director: &mut Director, now, before| {
            next_id += 1;
            Proxy::open(director, now, next_id, before)
        };
        let mut proxies: Vec<Proxy> = (0..4).map(|_| open(&mut director, 0, None)).collect();
        let started = SECOND;
        let mut now = started;
        servers[0] = server(0, NodeState::Serving, Some(started as i64));
        director.learn(now, ListScope::Whole, servers);
        let mut granted = BTreeMap::<StreamId, u32>::new();
        for step in steps {
            match step {
                Step::Wait(time) => now += time,
                Step::Turn => {
                    let turn = director.turn(now);
                    for proxy in &mut proxies {
                        if let Some(view) = turn.view(proxy.id) {
                            proxy.receive(now, &view);
                        }
                    }
                }
                Step::Read(n) => proxies[n].read(&mut director, now),
                Step::ReadAll(n) => while !proxies[n].inbox.is_empty() { proxies[n].read(&mut director, now) },
                // What lies in its socket may still be read for as long as it may stand still; the model reads at once, at
                // the last moment that it has: now.
                Step::Break(n) => {
                    let broken = proxies.remove(n);
                    director.ended(now, broken.id);
                    proxies.insert(n, open(&mut director, now, Some(broken)));
                }
            }
            let age = now - started;
            if COLD.is_warm(age) {
                break;
            }
            let out: u32 = proxies.iter_mut().map(|p| p.out(now)).sum();
            prop_assert!(out <= COLD.most_out(age), "{out} of {} after {age}", COLD.most_out(age));
            proxies.iter().filter_map(|p| Some((p.id, p.holds?.0))).for_each(|(id, units)| { granted.insert(id, units); });
        }
    }
}

/// The same in the usual order: leases do go out, so that the property above is not kept by giving none.
#[test]
fn proxies_that_do_as_they_should_get_all_that_a_cold_server_may_have_out() {
    let mut director = director();
    let mut servers = four();
    director.learn(0, ListScope::Whole, servers.clone());
    let mut proxies: Vec<Proxy> = (1..=3).map(|id| Proxy::open(&mut director, 0, id, None)).collect();
    servers[0] = server(0, NodeState::Serving, Some(SECOND as i64));
    director.learn(SECOND, ListScope::Whole, servers);
    let mut out = Vec::new();
    for tenth in 10..170 {
        let now = tenth * SECOND / 10;
        let turn = director.turn(now);
        for proxy in &mut proxies {
            proxy.receive(now, &turn.view(proxy.id).unwrap());
            while !proxy.inbox.is_empty() {
                proxy.read(&mut director, now);
            }
        }
        let sum: u32 = proxies.iter_mut().map(|p| p.out(now)).sum();
        assert!(sum <= COLD.most_out(now - SECOND));
        out.push(sum);
    }
    assert!(out[20] >= COLD.most_out(0) && *out.last().unwrap() >= COLD.most_out(12 * SECOND), "{out:?}");
    assert_eq!(director.leased(&NodeId("s0".into())), *out.last().unwrap());
}
