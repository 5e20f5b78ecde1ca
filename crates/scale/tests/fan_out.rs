//! A small sweep of fan-out with a real broker: what it counts is in proportion to the parts.

use plover_scale::clients::{self, Ended, Load};
use plover_scale::plan::{Broker, Plan};
use plover_scale::process::Guard;
use plover_scale::report::Sample;
use plover_scale::servers::{Account, Fault};
use plover_scale::sweeps::bench::{self, Bench};
use plover_scale::sweeps::fan_out;
use std::path::{Path, PathBuf};
use std::time::Duration;

/// Twice the parts may cost so many times the messages, bytes and connections: twice, and what a query has of its own.
const TWICE: f64 = 2.2;
const QUERIES: usize = 20;

fn plan(directory: &Path) -> Plan {
    let rig = PathBuf::from(env!("CARGO_BIN_EXE_scale"));
    let arguments = vec!["broker".to_owned()];
    Plan {
        brokers: vec![Broker { label: "broker".to_owned(), path: rig.clone(), arguments }],
        rig,
        seed: 5,
        quick: true,
        aim: None,
        parts: None,
        sizes: Vec::new(),
        guard: Guard::new(directory).unwrap(),
        cores: 1,
    }
}

fn load(parts: usize, queries: usize) -> Load {
    Load {
        rate: None,
        time: Duration::from_secs(120),
        most: queries,
        at_once: 1,
        class: "lookup".to_owned(),
        shards: (0..parts).collect(),
        patience: Duration::from_secs(30),
        seed: 8,
    }
}

/// Parts, calls, bytes both ways and connections of so many queries, one at a time.
fn counts(plan: &Plan, bench: &mut Bench, parts: usize) -> Account {
    let broker = bench.broker(plan, &plan.brokers[0], &bench::setting(64)).unwrap();
    bench.servers.account(true).unwrap();
    let outcome = clients::run(broker.listen, &load(parts, QUERIES)).unwrap();
    assert_eq!(outcome.ended(Ended::Whole), QUERIES as u64, "{outcome:?} {:?}", broker.log());
    bench.servers.account(false).unwrap()
}

#[test]
fn messages_bytes_and_connections_are_linear_in_the_parts() {
    let directory = tempfile::tempdir().unwrap();
    let plan = plan(directory.path());
    let mut bench = Bench::start(&plan, 64, 128).unwrap();
    let accounts = [8, 16, 32, 64].map(|parts| counts(&plan, &mut bench, parts));
    for (parts, account) in [8, 16, 32, 64].into_iter().zip(&accounts) {
        // No part goes twice to sound servers but as a retry of what a busy machine let time out.
        let least = (parts * QUERIES) as u64;
        assert_eq!(account.first, least, "{account:?}");
        assert!(account.parts <= least + least / 10, "{account:?}");
        // Two holders of each shard: at most one connection to each for one query at a time.
        assert!(account.accepted <= 2 * parts as u64, "{account:?}");
    }
    for pair in accounts.windows(2) {
        let counts = |a: &Account| [a.parts, a.calls, a.bytes_in, a.bytes_out, a.accepted].map(|n| n as f64);
        for (less, more) in counts(&pair[0]).into_iter().zip(counts(&pair[1])) {
            assert!(more <= TWICE * less, "{pair:?}");
        }
    }
}

/// What the sweep itself says of its counts is what the servers and the clients have counted.
#[test]
fn the_sweep_measures_each_size_beside_the_floor() {
    let directory = tempfile::tempdir().unwrap();
    let plan = Plan { sizes: vec![2, 4], ..plan(directory.path()) };
    let mut samples = Vec::new();
    (fan_out::SWEEP.play)(&plan, &mut samples).unwrap();
    let of = |subject: &str| samples.iter().filter(|s| s.subject == subject).collect::<Vec<&Sample>>();
    assert_eq!((of("floor").len(), of("broker").len()), (4, 4));
    for sample in samples.iter() {
        for figure in ["queries", "served", "cpu_a_part", "p50", "p99", "bytes_out_a_part"] {
            assert!(sample.get(figure).is_some(), "{figure}: {sample:?}");
        }
        assert!(sample.get("cpu_a_part").unwrap() > 0.0, "{sample:?}");
    }
    // The floor sends the same bytes: the same parts in frames of the same form.
    for (floor, broker) in of("floor").into_iter().zip(of("broker")) {
        let bytes = |s: &Sample| s.get("bytes_out_a_part").unwrap();
        assert!((bytes(floor) / bytes(broker) - 1.0).abs() < 0.05, "{floor:?} {broker:?}");
        assert!(broker.get("against_floor").is_some_and(|r| r > 0.0));
    }
    assert_eq!(plan.guard.count(), 0);
}

/// A share of slow servers is told apart in the account, and queries still end, each once.
#[test]
fn each_query_ends_once_whatever_the_servers_do() {
    let directory = tempfile::tempdir().unwrap();
    let plan = plan(directory.path());
    let mut bench = Bench::start(&plan, 8, 16).unwrap();
    bench.servers.fault(0..4, Fault::Hang).unwrap();
    bench.servers.fault(4..6, Fault::Resets(2)).unwrap();
    let broker = bench.broker(&plan, &plan.brokers[0], &bench::setting(8)).unwrap();
    let load = Load { patience: Duration::from_secs(4), ..load(8, 6) };
    let outcome = clients::run(broker.listen, &load).unwrap();
    assert_eq!(outcome.all(), 6, "{outcome:?}");
    assert_eq!(outcome.ended(Ended::Unanswered), 0, "{outcome:?}");
    assert_eq!(outcome.ended(Ended::Reset), 0, "{outcome:?}");
}

/// A spell in which all servers are slow ends, and then queries are served again: what was learned in the spell is not
/// believed for ever, though all are refused and nothing new is heard. How long that takes is not judged beyond a bound.
#[test]
fn a_slow_spell_of_all_servers_ends() {
    let directory = tempfile::tempdir().unwrap();
    let plan = plan(directory.path());
    let mut bench = Bench::start(&plan, 64, 256).unwrap();
    let broker = bench.broker(&plan, &plan.brokers[0], &bench::setting(64)).unwrap();
    let load =
        |most| Load { rate: Some(10.0), at_once: 100, patience: Duration::from_secs(4), ..load(64, most) };
    assert!(clients::run(broker.listen, &load(20)).unwrap().served() > 0);
    bench.servers.fault(0..256, Fault::Slow(3_000_000)).unwrap();
    let spell = clients::run(broker.listen, &load(30)).unwrap();
    assert!(spell.ended(Ended::Refused) > 0, "{spell:?}");
    bench.servers.fault(0..256, Fault::None).unwrap();
    // Two minutes at most.
    let served = (0..120).any(|_| clients::run(broker.listen, &load(10)).unwrap().served() > 0);
    assert!(served, "all are refused still: {:?}", broker.log());
}
