use super::*;
use crate::front::{Fronts, Plan as FrontPlan, Shared as FrontShared};
use crate::inbox::{Client, ConnectionEvent};
use crate::queries::OtherProcesses;
use crate::rig;
use crate::upstream::{DispatchedAttempt, EndedAttempt};
use async_executor::LocalExecutor;
use async_io::Async;
use futures_lite::future::yield_now;
use futures_lite::{AsyncReadExt, AsyncWriteExt};
use plover_admission::descriptors::ProcessDescriptors;
use plover_core::{Completion, Report, Verdict};
use plover_frames::FromServer;
use plover_model::limits::PoolLimits;
use plover_model::query::{PartSpec, QueryRequest, Reply};
use plover_model::server::{ListScope, NodeState, Outcome, ServerInfo};
use plover_query::RequestConfig;
use plover_runtime::clock::{Clock, with_timeout};
use std::net::{TcpListener, TcpStream};
use std::rc::Rc;
use std::time::Duration;

/// A broker's middle round so many data servers, each of which holds one shard, without anything running on sockets.
struct Rig {
    room: Room,
    core: Core,
    queries: Queries,
    upstream: Upstream,
    now: Micros,
    _listener: TcpListener,
}

const SERVERS: usize = 40;

fn settings(floor: f64) -> Settings {
    let mut settings = rig::settings();
    (settings.cells, settings.shards, settings.batch) = (SERVERS, SERVERS, 4);
    settings.max_retry_after = Some(2000.0);
    settings.classes[0].floor = floor;
    settings.classes[0].partial_earns = 0.9;
    settings
}

fn names() -> Names {
    Names { classes: vec!["lookup".into()], tenants: vec!["acme".into()], ..Names::default() }
}

fn given(clients: u64, pool: u64) -> Given {
    let reserve = ProcessDescriptors::default().reserve();
    let limit = DescriptorLimit { max: reserve + clients + pool, reserve };
    Given { limit, usual: DescriptorShares { clients, pool }, http1_most: clients as usize, http2: 0 }
}

fn server(n: usize) -> NodeId {
    NodeId(format!("s{n:02}").into())
}

impl Rig {
    /// With a pool of so many connections.
    fn new(sockets: usize, floor: f64) -> Rig {
        let settings = settings(floor);
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let limits = PoolLimits {
            max_connections: sockets,
            max_parts_per_call: 4,
            max_parts_per_connection: 8,
            dial_timeout: SECOND / 4,
            idle_timeout: 60 * SECOND,
        };
        let mut upstream = Upstream::new(Rc::default(), Rc::default(), Clock::stopped(), limits).unwrap();
        let mut core = Core::new(settings.clone(), 1000, 7).with_names(&names());
        for n in 0..SERVERS {
            upstream.set_endpoint(0, server(n), Some(listener.local_addr().unwrap()));
        }
        let info = |n: usize| ServerInfo {
            name: server(n),
            cell: n,
            state: NodeState::Serving,
            zone: None,
            started_at: None,
        };
        core.update_servers(ListScope::Cached, (0..SERVERS).map(info).collect());
        Rig {
            room: Room::new(given(2 * sockets as u64, sockets as u64), &settings, &names(), 1000),
            core,
            queries: Queries::new(&settings, &names(), 1000, 7, 0),
            upstream,
            now: 0,
            _listener: listener,
        }
    }

    /// Takes up a query for these shards; what the decisions would send.
    fn ask(&mut self, id: QueryId, shards: std::ops::Range<usize>) -> BTreeMap<AttemptId, Dispatch> {
        let weight = 1.0 / shards.len() as f64;
        let ask = QueryRequest {
            id: format!("r{id}").into(),
            class: 0,
            tenant: 0,
            client_timeout: 4 * SECOND,
            is_retry: false,
            idempotency_key: None,
            parts: shards.map(|shard| PartSpec { shard, weight, work_hint: None }).collect(),
            predicate: "t".into(),
            limits: Default::default(),
        };
        let (client, _) = Client::new(1);
        let query = self.queries.admit(self.now, id, id, ask, client, OtherProcesses(None)).unwrap();
        let decisions = self.core.pick(self.now, vec![query]);
        decisions.dispatches.into_iter().map(|d| (d.attempt, d)).collect()
    }

    fn fit(&mut self, dispatches: BTreeMap<AttemptId, Dispatch>) -> Fitted {
        self.room.fit(self.now, dispatches, &mut self.queries, &mut self.core, &self.upstream)
    }

    /// Carries out what goes.
    fn go(&mut self, fitted: &Fitted) {
        for of in &fitted.go {
            let sends: Vec<DispatchedAttempt> =
                of.iter().map(|d| self.queries.prepare(self.now, d.clone()).unwrap()).collect();
            self.upstream.dispatch(self.now, sends);
        }
        assert!(!self.upstream.has_ended(), "all that goes has its connection");
    }

    /// The servers answer these attempts; tells the core, with those that were not sent.
    fn end(&mut self, served: Vec<EndedAttempt>, never: Vec<AttemptId>) -> Vec<Completion> {
        self.now += 5000;
        let never = never.into_iter().map(|attempt| Report {
            attempt,
            outcome: Outcome::NotSent,
            elapsed: 0,
            load: None,
            connected_at: None,
        });
        let served = served.into_iter().map(|e| Report {
            attempt: e.attempt,
            outcome: e.outcome,
            elapsed: e.elapsed,
            load: None,
            connected_at: None,
        });
        let reports = never.chain(served).collect();
        self.core.report(self.now, reports).completions
    }

    /// All that is out is answered, on whatever connection it is.
    fn answer_all(&mut self) -> Vec<EndedAttempt> {
        let out = self.upstream.in_flight();
        for conn in 0..200 {
            for query in 1..6 {
                for shard in 0..SERVERS {
                    let id = format!("r{query}.{shard}");
                    if self.upstream.has_in_flight(conn, &id) {
                        let (outcome, value) = (Outcome::Served, "v".to_owned());
                        let answer = FromServer::Answer { id, outcome, held: None, value };
                        self.upstream.handle_event(self.now + 10, conn, ConnectionEvent::Frame(answer));
                    }
                }
            }
        }
        let ended = self.upstream.take_ended(self.now + 10);
        assert_eq!(ended.len(), out);
        ended
    }
}

fn sent(fitted: &Fitted) -> Vec<NodeId> {
    fitted.go.iter().flatten().map(|d| d.server.clone()).collect()
}

/// Wider than the pool: nothing goes out, the query is refused in the turn that it came in, and no server is blamed.
#[test]
fn a_query_that_can_never_have_its_connections_is_refused_in_its_turn() {
    let mut rig = Rig::new(10, 1.0);
    let wanted = rig.ask(1, 0..SERVERS);
    assert_eq!(wanted.len(), SERVERS);
    let fitted = rig.fit(wanted);
    assert_eq!((sent(&fitted).len(), fitted.never.len(), fitted.refused), (0, SERVERS, vec![1]));
    assert_eq!((rig.room.refused, rig.room.in_part, rig.upstream.open()), (1, 0, 0));
    rig.core.client_gone(1);
    rig.queries.finish(rig.now, 1, |_| Reply::Failed);
    assert_eq!(rig.end(vec![], fitted.never), []);
    assert_eq!(rig.core.server_counts(rig.now), (SERVERS as u64, 0));
    // The next one, which fits, is served from the same servers.
    let narrow = rig.ask(2, 0..10);
    let fitted = rig.fit(narrow);
    assert_eq!((sent(&fitted).len(), fitted.never.len()), (10, 0));
    rig.go(&fitted);
    let served = rig.answer_all();
    assert_eq!(rig.end(served, vec![]), [Completion { query: 2, verdict: Verdict::Answer { whole: true } }]);
}

/// As many parts as there are connections go out, and once these are in the answer goes, marked as what it is.
#[test]
fn a_query_whose_class_allows_it_is_served_in_part() {
    let mut rig = Rig::new(10, 0.25);
    let wanted = rig.ask(1, 0..SERVERS);
    let fitted = rig.fit(wanted);
    assert_eq!((sent(&fitted).len(), fitted.never.len(), fitted.refused.len()), (10, 30, 0));
    rig.go(&fitted);
    assert_eq!((rig.room.refused, rig.room.in_part, rig.upstream.open()), (0, 1, 10));
    assert_eq!(rig.end(vec![], fitted.never), []);
    let served = rig.answer_all();
    assert_eq!(rig.end(served, vec![]), [Completion { query: 1, verdict: Verdict::Answer { whole: false } }]);
    // One below its floor is refused like any other.
    let mut rig = Rig::new(9, 0.25);
    let wanted = rig.ask(1, 0..SERVERS);
    assert_eq!(rig.fit(wanted).refused, [1]);
}

/// Connections that rest make room; those that the query itself needs are kept for it.
#[test]
fn a_connection_that_is_needed_goes_before_one_that_rests() {
    let mut rig = Rig::new(10, 1.0);
    for (query, shards) in [(1, 10..15), (2, 15..20)] {
        let wanted = rig.ask(query, shards);
        let fitted = rig.fit(wanted);
        rig.go(&fitted);
        let served = rig.answer_all();
        assert_eq!(rig.end(served, vec![]).len(), 1);
    }
    assert_eq!((rig.upstream.open(), rig.upstream.idle()), (10, 10));
    // By name, the five that are new would come first, and push out the five that rested longest: its own.
    let wanted = rig.ask(3, 5..15);
    let fitted = rig.fit(wanted);
    assert_eq!(sent(&fitted)[..5], [10, 11, 12, 13, 14].map(server));
    rig.go(&fitted);
    let dialled =
        (0..200).filter(|conn| (5..15).any(|s| rig.upstream.has_in_flight(*conn, &format!("r3.{s}"))));
    assert_eq!(dialled.collect::<Vec<_>>(), [0, 1, 2, 3, 4, 10, 11, 12, 13, 14]);
    assert_eq!(rig.upstream.open(), 10);
}

/// The pool is full of others' parts just now: calls to the same servers share connections, and a part that finds none may be
/// asked for again in the next turn. Where the decisions don't ask, its query ends then and not with its time.
#[test]
fn a_part_that_finds_the_pool_full_has_one_more_turn() {
    let mut rig = Rig::new(10, 1.0);
    let wanted = rig.ask(1, 0..10);
    let fitted = rig.fit(wanted);
    rig.go(&fitted);
    // Shared with what is out there.
    let wanted = rig.ask(2, 0..5);
    let fitted = rig.fit(wanted);
    assert_eq!(sent(&fitted).len(), 5);
    rig.go(&fitted);
    assert_eq!(rig.upstream.open(), 10);
    let wanted = rig.ask(3, 8..11);
    let fitted = rig.fit(wanted);
    let lacked = AttemptId { query: 3, part: 2, attempt: 0 };
    assert_eq!((sent(&fitted).len(), &fitted.never[..], fitted.refused.len()), (2, &[lacked][..], 0));
    rig.go(&fitted);
    // Its server is its shard's only one: it would be asked again while attempts are left.
    rig.now += 5000;
    let report =
        Report { attempt: lacked, outcome: Outcome::NotSent, elapsed: 0, load: None, connected_at: None };
    let decisions = rig.core.report(rig.now, vec![report]);
    let again: Vec<AttemptId> = decisions.dispatches.iter().map(|d| d.attempt).collect();
    assert_eq!(again, [AttemptId { attempt: 1, ..lacked }]);
    // Asked for again: the query goes on.
    let dispatches = decisions.dispatches.into_iter().map(|d| (d.attempt, d)).collect();
    let fitted = rig.fit(dispatches);
    assert_eq!((fitted.never.len(), rig.core.tick(rig.now).completions), (1, vec![]));
    // Not asked for: it ends in the next turn, harmless to repeat.
    assert!(rig.fit(BTreeMap::new()).never.is_empty());
    rig.now += 5000;
    let finals = rig
        .core
        .report(
            rig.now,
            vec![Report {
                attempt: again[0],
                outcome: Outcome::NotSent,
                elapsed: 0,
                load: None,
                connected_at: None,
            }],
        )
        .completions;
    assert!(
        matches!(finals[..], [Completion { query: 3, verdict: Verdict::Refuse { retry_after: Some(_) } }]),
        "{finals:?}"
    );
}

/// More of one query's than few find the pool full of others' parts: it is refused at once, and nothing of it goes out.
#[test]
fn many_parts_that_find_the_pool_full_are_not_sent_one_by_one() {
    let mut rig = Rig::new(10, 1.0);
    let wanted = rig.ask(1, 0..8);
    let fitted = rig.fit(wanted);
    rig.go(&fitted);
    let wanted = rig.ask(2, 10..20);
    let fitted = rig.fit(wanted);
    assert_eq!((sent(&fitted).len(), fitted.never.len(), fitted.refused), (0, 10, vec![2]));
    // Another of the same turn takes what it leaves.
    let mut both = rig.ask(3, 20..30);
    both.append(&mut rig.ask(4, 30..32));
    let fitted = rig.fit(both);
    assert_eq!((fitted.refused.clone(), sent(&fitted)), (vec![3], vec![server(30), server(31)]));
}

/// Clients that rest make room for the widest plan, a few at a time; both sides together never hold more than there is.
#[test]
fn resting_clients_give_way_to_the_widest_plan() {
    const READY: &[u8] = b"GET /-/ready HTTP/1.1\r\nHost: a\r\n\r\n";
    let mut rig = Rig::new(10, 1.0);
    rig.room = Room::new(given(60, 30), &settings(1.0), &names(), 1000);
    rig.upstream.set_capacity(30);
    let executor = Rc::new(LocalExecutor::new());
    let clock = Clock::start();
    let shared = FrontShared::new(Rc::default(), clock, RequestConfig::default());
    let listener = || Async::<TcpListener>::bind(([127, 0, 0, 1], 0)).unwrap();
    let http1 = listener();
    let to = http1.get_ref().local_addr().unwrap();
    let limits = budget::FrontLimits { http1_connections: 60, http2: None };
    let plan = FrontPlan { http1, inherited: false, door: None, http2: None, limits };
    let fronts = Fronts::start(shared, plan, clock, executor.clone());
    let work = async {
        let mut clients = Vec::new();
        for _ in 0..58 {
            let mut client = Async::new(TcpStream::connect(to).unwrap()).unwrap();
            client.write_all(READY).await.unwrap();
            assert!(client.read(&mut [0; 1024]).await.unwrap() > 0);
            clients.push(client);
        }
        let mut turns = 0;
        while rig.upstream.capacity().0 < SERVERS {
            let before = fronts.taken().0;
            rig.room.share_out(rig.now, 0, &fronts, &mut rig.upstream);
            assert!(fronts.taken().0 + rig.upstream.capacity().0.max(rig.upstream.open()) <= 90);
            while fronts.taken().0 == before && rig.upstream.capacity().0 < SERVERS {
                yield_now().await;
            }
            assert!(before - fronts.taken().0 <= 7, "no more at once than have places");
            // They see the end and go.
            clients.retain(|client| client.get_ref().peek(&mut [0]).map_or(true, |n| n > 0));
            turns += 1;
            assert!(turns < 1000);
        }
        assert_eq!((fronts.taken().0, rig.room.moving), (50, false));
        // Who is owed something stays, whatever the plan wants.
        assert_eq!(clients.len(), 50);
        Ok(())
    };
    async_io::block_on(executor.run(with_timeout(Duration::from_secs(30), work))).unwrap();
}

/// What an answer can be whole without is not held against the query: nothing is left out, and nobody is told.
#[test]
fn a_query_that_is_whole_without_is_not_cut() {
    let mut settings = settings(0.2);
    settings.classes[0].need = 0.25;
    let mut rig = Rig::new(10, 0.2);
    rig.core = Core::new(settings, 1000, 7).with_names(&names());
    let info = |n: usize| ServerInfo {
        name: server(n),
        cell: n,
        state: NodeState::Serving,
        zone: None,
        started_at: None,
    };
    rig.core.update_servers(ListScope::Cached, (0..SERVERS).map(info).collect());
    // Its module keeps the rest in reserve; one more than there are connections for is asked for all the same.
    let mut wanted = rig.ask(1, 0..SERVERS);
    assert_eq!(wanted.len(), 10);
    let (attempt, until) = wanted.first_key_value().map(|(a, d)| (*a, d.deadline)).unwrap();
    let part = (0..SERVERS).find(|part| !wanted.keys().any(|a| a.part == *part)).unwrap();
    let attempt = AttemptId { part, ..attempt };
    wanted.insert(attempt, Dispatch { attempt, server: server(part), deadline: until });
    let fitted = rig.fit(wanted);
    assert_eq!((sent(&fitted).len(), fitted.never.len(), fitted.refused.len()), (10, 1, 0));
    rig.go(&fitted);
    assert!(rig.fit(BTreeMap::new()).never.is_empty());
    let omitted_weight = rig.queries.status(1).unwrap().omitted_weight;
    assert_eq!((omitted_weight, rig.room.in_part, rig.room.refused), (0.0, 0, 0));
}
