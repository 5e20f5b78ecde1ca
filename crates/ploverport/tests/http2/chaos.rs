//! Three connections with a hundred streams each, seeded random resets, failing data servers, and a drain in the
//! middle: every query ends exactly once on both books.

use crate::rig::{Rig, rig_with};
use async_io::Timer;
use h2::Reason;
use plover_load::{Answer, Ask, Http2};
use plover_standins::{Deployment, Fault, Plan, value};
use rand::{Rng, RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;
use std::cell::RefCell;
use std::collections::BTreeMap;
use std::rc::Rc;
use std::time::Duration;

const CONNECTIONS: usize = 3;
const STREAMS: usize = 100;
const ROUNDS: usize = 4;

/// How queries ended for their clients, by id.
type Ends = Rc<RefCell<BTreeMap<String, Vec<&'static str>>>>;

fn ask(random: &mut Pcg64Mcg, id: String) -> Ask {
    let from = random.random_range(0..6);
    let shards: Vec<usize> = (from..from + random.random_range(1..=3)).map(|s| s % 8).collect();
    match random.random_range(0..4) {
        0 => {
            let key = format!("key-{id}");
            Ask::new(id, "watchlist-save", &shards).under(&key)
        }
        1 => Ask::new(id, "ranking", &shards),
        _ => Ask::new(id, "lookup", &shards),
    }
    .patience(Duration::from_millis(random.random_range(300..2500)))
}

/// One stream after another, some of which are given up after a random while.
async fn client(http2: Rc<Http2>, ends: Ends, name: String, seed: u64) {
    let mut random = Pcg64Mcg::seed_from_u64(seed);
    for round in 0..ROUNDS {
        let ask = ask(&mut random, format!("{name}r{round}"));
        let resets = random.random_range(0..4) == 0;
        let after = Duration::from_micros(random.next_u64() % 60_000);
        let id = ask.id.clone();
        let end = match http2.open(&ask.request()).await {
            Err(_) => "not opened",
            Ok(stream) if resets => {
                Timer::after(after).await;
                stream.reset();
                "reset"
            }
            Ok(stream) => match stream.response().await.map(|r| Answer::of(&r)) {
                Ok(Answer::Served(full, values)) => {
                    let right =
                        values.iter().all(|(s, v)| ask.shards.contains(s) && *v == value(*s, "c41e77d0"));
                    let all = ask.shards.iter().all(|s| values.iter().any(|(v, _)| v == s));
                    assert!(right && full == all, "{id}: an answer that is not honest: {values:?}");
                    "served"
                }
                Ok(Answer::Refused(_)) => "refused",
                Ok(Answer::Failed(502)) => "failed",
                Ok(other) => panic!("{id}: {other:?}"),
                // A stream that was given up may count for a moment longer there than here: harmless to repeat.
                Err(error) if error.reason() == Some(Reason::REFUSED_STREAM) => "refused",
                Err(error) => panic!("{id}: {error}"),
            },
        };
        ends.borrow_mut().entry(id).or_default().push(end);
    }
}

/// Faults by seed, and the drain of one server in the middle.
async fn trouble(rig: &Rig, seed: u64) {
    let mut random = Pcg64Mcg::seed_from_u64(seed);
    let faults = [
        Fault::Errors(3),
        Fault::Resets(5),
        Fault::Garbles(7),
        Fault::TurnsAway,
        Fault::Hang,
        Fault::Slow(Duration::from_millis(150)),
    ];
    for step in 0..8 {
        Timer::after(Duration::from_millis(60)).await;
        let one = random.random_range(1..rig.fleet.servers().len());
        match step {
            3 => rig.fleet.drain(0),
            4 => rig.fleet.kill(1),
            6 => rig.fleet.revive(1),
            _ if one != 1 => rig.fleet.servers()[one].set_fault(faults[random.random_range(0..faults.len())]),
            _ => {}
        }
    }
    rig.fleet.servers().iter().skip(2).for_each(|s| s.set_fault(Fault::None));
}

fn run(seed: u64) {
    let plan = Plan { servers: 6, work: Duration::from_millis(10), ..Plan::default() };
    let deployment = Deployment { max_open: 2000, ..Deployment::default() };
    let mut rig =
        rig_with(plan, deployment, "listen-http2 127.0.0.1:0\nhttp2-streams 100\nlog-level debug\n");
    let ends: Ends = Rc::default();
    rig.run(async {
        let mut clients = Vec::new();
        for c in 0..CONNECTIONS {
            let http2 = Rc::new(rig.connect().await);
            for s in 0..STREAMS {
                let name = format!("x{seed}c{c}s{s}");
                let seed = seed * 1_000_003 + (c * STREAMS + s) as u64;
                clients.push(rig.executor.spawn(client(http2.clone(), ends.clone(), name, seed)));
            }
        }
        trouble(&rig, seed).await;
        for client in clients {
            client.await;
        }
    });
    rig.program.signal("TERM").unwrap();
    assert!(rig.program.exit().unwrap().success());
    let ends = ends.take();
    assert_eq!(ends.len(), CONNECTIONS * STREAMS * ROUNDS);
    assert!(ends.values().all(|e| e.len() == 1), "a query ended twice for its client");
    let count = |what| ends.values().filter(|e| e[0] == what).count();
    let counts = ["served", "reset", "refused", "failed", "not opened"].map(|w| (w, count(w)));
    assert!(count("served") > ends.len() / 3, "{counts:?}");
    assert!(count("reset") > 100 && count("not opened") == 0, "{counts:?} {:?}", rig.program.seen());
    rig.check_books();
    // On the broker's books each query that it took ended once too: nothing was in hand when it left, and it left by
    // itself. Anything else would have kept it, or its log would tell.
    assert!(!rig.program.seen().iter().any(|l| l.contains("event=overdue")), "{:?}", rig.program.seen());
}

#[test]
fn every_query_ends_exactly_once() {
    for seed in [1, 2] {
        run(seed);
    }
}
