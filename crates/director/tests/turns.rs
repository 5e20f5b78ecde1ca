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
use std::collections::VecDeque;
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

/// One that has run for long.
fn director() -> Director {
    director_at(0)
}

fn director_at(start: Micros) -> Director {
    instance_at(start, Instance { number: 0, of: 1 })
}

fn instance_at(start: Micros, instance: Instance) -> Director {
    made(start, instance, None)
}

fn made(start: Micros, instance: Instance, cut_off: Option<Micros>) -> Director {
    let none = serde_json::json!({"rev": 0, "all": true, "targets": []});
    let nowhere = SocketAddr::from(([127, 0, 0, 1], 1));
    let configuration =
        Deployment { cells: 2, ..Deployment::default() }.around(nowhere, &none, "127.0.0.1:0");
    let config = plover_config::check(&configuration, |_| None).unwrap();
    let quorum = quorum::Rule::USUAL;
    let frame = Frame {
        name: "ploverport".into(),
        zones: config.names.zones.clone(),
        dial: 250 * MILLI,
        time_to_live: TIMES.time_to_live,
        cut_off,
    };
    let figures = Figures { frame, cold: COLD, quorum, times: TIMES, instance, talks: instance.of > 1 };
    Director::new(start, Core::new(config.settings, 1, 1), figures)
}

fn address(n: usize) -> SocketAddr {
    SocketAddr::from(([10, 0, 0, n as u8], 9000))
}

fn server(n: usize, state: NodeState, started: Option<i64>) -> (ServerInfo, Option<SocketAddr>) {
    let name = NodeId(format!("s{n}").into());
    (ServerInfo { name, cell: n % 2, state, zone: Some(0), started_at: started }, Some(address(n)))
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
    assert!(director.turn(0).view(1, true).is_none());
    director.learn(1, ListScope::Changes, vec![server(0, NodeState::Serving, None)]);
    assert!(director.turn(1).view(1, true).is_none(), "changes of what is not known");
    assert!(director.learn(2, ListScope::Complete, four()));
    let view = director.turn(2).view(1, true).unwrap();
    assert_eq!(health(&view, "cell-0"), [HealthStatus::Healthy; 2]);
    assert!(!director.learn(3, ListScope::Complete, vec![]), "a list of none after one of four");
    assert!(!director.learn(3, ListScope::Complete, vec![server(0, NodeState::Gone, None)]));
    assert_eq!(health(&director.turn(3).view(1, true).unwrap(), "cell-0"), [HealthStatus::Healthy; 2]);
}

#[test]
fn a_drain_is_in_the_next_turn_and_what_did_not_change_is_the_very_same() {
    let mut director = director();
    director.learn(0, ListScope::Complete, four());
    let before = director.turn(0);
    assert!(before.changed && !director.turn(1).changed);
    director.learn(2, ListScope::Changes, vec![server(0, NodeState::Draining, None)]);
    let after = director.turn(2);
    assert!(after.changed);
    let view = after.view(1, true).unwrap();
    assert_eq!(health(&view, "cell-0"), [HealthStatus::Draining, HealthStatus::Healthy]);
    let of = |turn: &plover_director::Turn, name: &str| {
        turn.view(1, true).unwrap().get(Kind::Endpoints, name).unwrap().clone()
    };
    assert!(std::sync::Arc::ptr_eq(&of(&before, "cell-1"), &of(&after, "cell-1")), "it was encoded again");
    assert_eq!(director.encoded(), 4 + 2);
    director.learn(3, ListScope::Changes, vec![server(0, NodeState::Gone, None)]);
    assert_eq!(health(&director.turn(3).view(1, true).unwrap(), "cell-0"), [HealthStatus::Healthy]);
}

fn load(n: usize, served: u64, failed: u64) -> ClusterLoad {
    let endpoints = vec![EndpointLoad { address: address(n), served, failed }];
    let name = format!("cell-{}", n % 2);
    ClusterLoad { name, interval: SECOND, issued: served + failed, in_progress: 1, endpoints }
}

/// Proxies are replaced under new names all the time: those that said nothing of late make room, and what finds none is counted.
#[test]
fn proxies_that_went_make_room_for_those_that_come() {
    let mut director = director();
    director.learn(0, ListScope::Complete, four());
    let report =
        |director: &mut Director, at, n: usize| director.report(at, &format!("p{n}"), &[load(0, 9, 0)]);
    (0..16_384).for_each(|n| report(&mut director, SECOND, n));
    assert_eq!(director.traffic_of(2 * SECOND, "p16383", 0), Some((9.0, 1.0)));
    report(&mut director, 2 * SECOND, 16_384);
    assert_eq!((director.traffic_of(2 * SECOND, "p16384", 0), director.unkept_reports()), (None, 1));
    report(&mut director, 40 * SECOND, 16_384);
    assert_eq!(director.traffic_of(40 * SECOND, "p16384", 0), Some((9.0, 1.0)));
    assert_eq!(director.unkept_reports(), 1);
}

/// One proxy's view takes nobody out; two proxies' do, and what they say later brings the server back.
#[test]
fn failures_that_several_proxies_report_take_a_server_out() {
    let mut director = director();
    director.learn(0, ListScope::Complete, four());
    (1..4).for_each(|id| director.opened(0, id, node(&format!("p{id}"))));
    director.report(SECOND, "p1", &[load(0, 1, 500)]);
    director.report(SECOND, "p2", &[load(0, 50, 0)]);
    director.report(SECOND, "p3", &[load(0, 50, 0)]);
    let told = |director: &mut Director, now| health(&director.turn(now).view(1, true).unwrap(), "cell-0");
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

    fn read_all(&mut self, director: &mut Director, now: Micros) {
        while !self.inbox.is_empty() {
            self.read(director, now);
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
    /// All that all have.
    AllRead,
    Break(usize),
    /// The program ends, and another begins that knows nothing.
    Restart,
    /// The cold server drains, or serves again: while it drains, nobody's lease is prolonged.
    Toggle,
}

fn step() -> impl Strategy<Value = Step> {
    prop_oneof![
        6 => (1u64..800).prop_map(|ms| Step::Wait(ms * MILLI)),
        8 => Just(Step::Turn),
        8 => Just(Step::AllRead),
        3 => (0usize..4).prop_map(Step::Read),
        3 => (0usize..4).prop_map(Step::ReadAll),
        1 => (0usize..4).prop_map(Step::Break),
        1 => Just(Step::Restart),
        1 => Just(Step::Toggle),
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
        director.learn(0, ListScope::Complete, servers.clone());
        let mut next_id = 0;
        let mut open = |director: &mut Director, now, before| {
            next_id += 1;
            Proxy::open(director, now, next_id, before)
        };
        let mut proxies: Vec<Proxy> = (0..4).map(|_| open(&mut director, 0, None)).collect();
        // The first program's own quiet time is over by then, so that it does deal leases.
        let started = 20 * SECOND;
        let mut now = started;
        servers[0] = server(0, NodeState::Serving, Some(started as i64));
        director.learn(now, ListScope::Complete, servers.clone());
        for step in &steps {
            match *step {
                Step::Wait(time) => now += time,
                Step::Turn => {
                    let turn = director.turn(now);
                    for proxy in &mut proxies {
                        if let Some(view) = turn.view(proxy.id, true) {
                            proxy.receive(now, &view);
                        }
                    }
                }
                Step::Read(n) => proxies[n].read(&mut director, now),
                Step::ReadAll(n) => proxies[n].read_all(&mut director, now),
                // What lies in its socket may still be read for as long as it may stand still; the model reads at once, at
                // the last moment that it has: now.
                Step::Break(n) => {
                    let broken = proxies.remove(n);
                    director.ended(now, broken.id);
                    proxies.insert(n, open(&mut director, now, Some(broken)));
                }
                Step::AllRead => proxies.iter_mut().for_each(|p| p.read_all(&mut director, now)),
                Step::Restart | Step::Toggle => {}
            }
            if matches!(step, Step::Restart) {
                director = director_at(now);
                director.learn(now, ListScope::Complete, servers.clone());
                let broken = std::mem::take(&mut proxies);
                proxies = broken.into_iter().map(|p| open(&mut director, now, Some(p))).collect();
            }
            if matches!(step, Step::Toggle) {
                let next = match servers[0].0.state {
                    NodeState::Serving => NodeState::Draining,
                    _ => NodeState::Serving,
                };
                servers[0] = server(0, next, Some(started as i64));
                director.learn(now, ListScope::Changes, vec![servers[0].clone()]);
            }
            let age = now - started;
            if COLD.is_warm(age) {
                break;
            }
            let out: u32 = proxies.iter_mut().map(|p| p.out(now)).sum();
            prop_assert!(out <= COLD.most_out(age), "{out} of {} after {age}", COLD.most_out(age));
        }
    }
}

/// The same in the usual order: leases do go out, so that the property above is not kept by giving none.
#[test]
fn proxies_that_do_as_they_should_get_all_that_a_cold_server_may_have_out() {
    let mut director = director();
    let mut servers = four();
    director.learn(0, ListScope::Complete, servers.clone());
    let mut proxies: Vec<Proxy> = (1..=3).map(|id| Proxy::open(&mut director, 0, id, None)).collect();
    let started = 20 * SECOND;
    servers[0] = server(0, NodeState::Serving, Some(started as i64));
    director.learn(started, ListScope::Complete, servers);
    let mut out = Vec::new();
    for tenth in 0..160 {
        let now = started + tenth * SECOND / 10;
        let turn = director.turn(now);
        for proxy in &mut proxies {
            proxy.receive(now, &turn.view(proxy.id, true).unwrap());
            while !proxy.inbox.is_empty() {
                proxy.read(&mut director, now);
            }
        }
        let sum: u32 = proxies.iter_mut().map(|p| p.out(now)).sum();
        assert!(sum <= COLD.most_out(now - started));
        out.push(sum);
    }
    assert!(out[20] >= COLD.most_out(0) && *out.last().unwrap() >= COLD.most_out(12 * SECOND), "{out:?}");
    assert_eq!(director.leased(&NodeId("s0".into())), *out.last().unwrap());
}

/// Two instances of which one has all the proxies: it borrows the other's part, and deals out all there is and no more.
#[test]
fn an_instance_borrows_what_the_other_does_not_need() {
    let mut both = [0, 1].map(|number| instance_at(0, Instance { number, of: 2 }));
    let mut servers = four();
    both.iter_mut().for_each(|d| _ = d.learn(0, ListScope::Complete, servers.clone()));
    let mut proxies: Vec<Proxy> = (1..=3).map(|id| Proxy::open(&mut both[0], 0, id, None)).collect();
    let started = 20 * SECOND;
    servers[0] = server(0, NodeState::Serving, Some(started as i64));
    both.iter_mut().for_each(|d| _ = d.learn(started, ListScope::Complete, servers.clone()));
    let mut out = Vec::new();
    for tenth in 0..120 {
        let now = started + tenth * SECOND / 10;
        let turns = both.each_mut().map(|d| d.turn(now));
        if tenth % 5 == 0 {
            for (from, to) in [(0, 1), (1, 0)] {
                let word = both[from].word(now);
                let answer = both[to].answer(now, &word);
                both[from].take(&answer);
            }
        }
        for proxy in &mut proxies {
            proxy.receive(now, &turns[0].view(proxy.id, true).unwrap());
            while !proxy.inbox.is_empty() {
                proxy.read(&mut both[0], now);
            }
        }
        let sum: u32 = proxies.iter_mut().map(|p| p.out(now)).sum();
        assert!(sum <= COLD.most_out(now - started));
        out.push(sum);
    }
    let (last, whole) = (*out.last().unwrap(), COLD.most_out(10 * SECOND));
    assert!(last >= whole, "{last} of {whole}: {out:?}");
}

/// Two proxies that have read all of what is told of four servers.
fn two_that_read_all(director: &mut Director) -> Vec<Proxy> {
    director.learn(0, ListScope::Complete, four());
    let mut proxies: Vec<Proxy> = (1..=2).map(|id| Proxy::open(director, 0, id, None)).collect();
    turn(director, &mut proxies, 0);
    proxies.iter_mut().for_each(|p| p.read_all(director, 0));
    proxies
}

/// A director with two proxies that have read all, and a server that has just come back cold.
fn with_a_cold_server() -> (Director, Vec<Proxy>, Micros) {
    let mut director = director();
    let mut servers = four();
    let mut proxies = two_that_read_all(&mut director);
    let now = 20 * SECOND;
    servers[0] = server(0, NodeState::Serving, Some(now as i64));
    director.learn(now, ListScope::Complete, servers);
    turn(&mut director, &mut proxies, now);
    (director, proxies, now)
}

fn turn(director: &mut Director, proxies: &mut [Proxy], now: Micros) {
    let turn = director.turn(now);
    for proxy in proxies {
        proxy.receive(now, &turn.view(proxy.id, true).unwrap());
    }
}

fn s0() -> NodeId {
    NodeId("s0".into())
}

#[test]
fn nothing_is_leased_while_a_stream_may_take_the_server_for_warm() {
    let (mut director, mut proxies, now) = with_a_cold_server();
    proxies[0].read_all(&mut director, now);
    turn(&mut director, &mut proxies, now + SECOND);
    assert_eq!(director.leased(&s0()), 0, "the other has not read that it is cold");
    proxies[1].read_all(&mut director, now + SECOND);
    turn(&mut director, &mut proxies, now + 2 * SECOND);
    assert!(director.leased(&s0()) > 0);
}

/// An acknowledgement is of the word that it names: a later one may still lie unread.
#[test]
fn an_older_acknowledgement_does_not_start_the_time_of_a_later_word() {
    let (mut director, mut proxies, mut now) = with_a_cold_server();
    proxies.iter_mut().for_each(|p| p.read_all(&mut director, now));
    for _ in 0..2 {
        now += SECOND;
        turn(&mut director, &mut proxies, now);
    }
    // Two words of the lease lie there; the first is read, and the server drains, so that no third comes.
    proxies[0].read(&mut director, now);
    director.learn(now, ListScope::Changes, vec![server(0, NodeState::Draining, Some(20 * SECOND as i64))]);
    let held = director.leased(&s0());
    director.turn(now + 9 * SECOND);
    assert!(held > 0 && director.leased(&s0()) == held, "{held}: the second word may be read at any time");
}

/// What a broken stream held comes back once nobody can act on it, and not before.
#[test]
fn a_broken_streams_leases_come_back_after_the_longest_echo() {
    let (mut director, mut proxies, mut now) = with_a_cold_server();
    proxies.iter_mut().for_each(|p| p.read_all(&mut director, now));
    now += SECOND;
    turn(&mut director, &mut proxies, now);
    let held = director.leased(&s0());
    proxies.iter().for_each(|p| director.ended(now, p.id));
    director.turn(now + TIMES.longest_echo() - 1);
    assert!(held > 0 && director.leased(&s0()) == held);
    director.turn(now + TIMES.longest_echo());
    assert_eq!(director.leased(&s0()), 0);
}

/// That it is no longer dealt is not that it was given up: the proxy was told of it and has not been told otherwise.
#[test]
fn a_lease_is_released_by_a_state_without_it_alone() {
    let (mut director, mut proxies, mut now) = with_a_cold_server();
    proxies.iter_mut().for_each(|p| p.read_all(&mut director, now));
    now += SECOND;
    turn(&mut director, &mut proxies, now);
    proxies.iter_mut().for_each(|p| p.read_all(&mut director, now));
    let held = director.leased(&s0());
    director.learn(now, ListScope::Changes, vec![server(0, NodeState::Draining, Some(20 * SECOND as i64))]);
    director.turn(now);
    let told =
        [std::sync::Arc::from("cell-0"), std::sync::Arc::from("cell-1"), std::sync::Arc::from(COLD_CLUSTER)];
    (1..=2).for_each(|id| director.acked(now, id, Kind::Cluster, &[], Some(&told)));
    // Its time to live and the last request: not the last request alone.
    director.turn(now + 5 * SECOND);
    assert!(held > 0 && director.leased(&s0()) == held);
    director.turn(now + 6 * SECOND);
    assert_eq!(director.leased(&s0()), 0);
}

const CUT_OFF: Micros = 6 * SECOND;

/// Where a proxy that is cut off is to stop, its clusters have a time to live, prolonged in time though nothing changes; one
/// that heeds none is told them without.
#[test]
fn what_a_cut_off_proxy_forgets_is_prolonged_in_time() {
    let mut director = made(0, Instance { number: 0, of: 1 }, Some(CUT_OFF));
    director.learn(0, ListScope::Complete, four());
    director.opened(0, 1, node("p"));
    let (mut now, mut prolonged, mut last) = (0, 0, None);
    while now < 10 * CUT_OFF {
        let turn = director.turn(now);
        let told = |heeds| turn.view(1, heeds).unwrap().get(Kind::Cluster, "cell-0").unwrap().clone();
        assert_eq!((told(true).ttl_ms, told(false).ttl_ms), (Some(CUT_OFF / MILLI), None));
        assert_eq!(told(true).version, told(false).version);
        if last.is_some_and(|(beat, _)| beat != told(true).beat) {
            assert!(turn.changed && now - prolonged <= CUT_OFF / 2, "{now}: too late");
            prolonged = now;
        }
        last = Some((told(true).beat, now));
        now = director.due().max(now + MILLI);
    }
    assert!(now - prolonged <= CUT_OFF / 2);
}

/// A proxy that lost its stream sends by what it last heard until it forgets that: until then nothing comes on top at a server
/// that restarted meanwhile. One that had heard of the restart is no hindrance.
#[test]
fn nothing_is_leased_while_a_proxy_without_stream_may_take_the_server_for_warm() {
    let mut director = made(0, Instance { number: 0, of: 1 }, Some(CUT_OFF));
    let mut servers = four();
    let mut proxies = two_that_read_all(&mut director);
    let now = 20 * SECOND;
    director.ended(now, proxies.remove(0).id);
    servers[0] = server(0, NodeState::Serving, Some(now as i64));
    director.learn(now, ListScope::Complete, servers);
    let until = now + TIMES.longest_pause + CUT_OFF + TIMES.longest_request;
    let mut at = now;
    while at < until + 3 * SECOND {
        turn(&mut director, &mut proxies, at);
        proxies[0].read_all(&mut director, at);
        assert!(
            at >= until || director.leased(&s0()) == 0,
            "{at}: leased beside one that may take it for warm"
        );
        at += SECOND / 2;
    }
    // It is warm by then in any case, or leased; a server that restarts now has been heard of by all that is left.
    let again = until + 3 * SECOND;
    let mut servers = four();
    servers[0] = server(0, NodeState::Serving, Some(again as i64));
    director.learn(again, ListScope::Complete, servers);
    for step in 0..6 {
        turn(&mut director, &mut proxies, again + step * SECOND);
        proxies[0].read_all(&mut director, again + step * SECOND);
    }
    assert!(director.leased(&s0()) > 0);
}
