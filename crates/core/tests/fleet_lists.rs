//! What news of a list of up to 7,800 servers costs a broker, counted and not timed: bytes of text, allocations on the way
//! from the text to the decisions, and what is held of it. Twice the size costs at most so many times the count, so that a
//! part of the work that becomes quadratic shows. `cargo test -p plover-core --test fleet_lists -- --nocapture` prints the table.

use allocation_counter::{AllocationInfo, measure};
use brookbend::api::Settings;
use brookbend::settings::{JsonObject, decode};
use plover_core::Core;
use plover_model::server::Targets;
use plover_model::time::{Micros, SECOND};
use plover_watch::Ledger;
use std::fmt::Write;

const SERVERS: usize = 7800;
/// Servers of a cell.
const HOLDERS: usize = 3;
/// Of the servers, so many are changed at once: one, some, a rack and more, a zone.
const CHANGES: [usize; 4] = [1, 10, 100, 410];
/// A doubling may cost so many times as much: twice, and the roundings of what holds it.
const TWICE: f64 = 2.25;

fn settings(servers: usize) -> Settings {
    let text: serde_json::Value =
        serde_json::from_str(include_str!("../../model/tests/settings.json")).unwrap();
    let site = decode(&JsonObject::new("settings", text.as_object().unwrap())).unwrap();
    let cells = servers / HOLDERS;
    Settings { cells, reach: 1, shards: cells, ..site.settings }
}

/// Entries as discovery shows them; restarted ones have a start.
fn text(rev: u64, all: bool, servers: std::ops::Range<usize>, state: &str, boot_ms: u64) -> String {
    let mut text = format!("{{\"rev\":{rev},\"all\":{all},\"targets\":[");
    for n in servers {
        let (cell, zone) = (n / HOLDERS, n % 19);
        let (a, b, c) = (n / 62_500, n / 250 % 250, n % 250);
        write!(
            text,
            "{{\"uid\":\"ds-{n:05}\",\"endpoint\":\"10.{a}.{b}.{c}:8080\",\"az\":\"r{}-z{}\",\"model\":\"m1\",\"pod_group\":{cell},\"state\":\"{state}\",\"boot_ms\":{boot_ms}}},",
            zone % 7,
            zone / 7
        )
        .unwrap();
    }
    text.truncate(text.trim_end_matches(',').len());
    text + "]}"
}

/// What a broker holds of the list.
struct Broker {
    core: Core,
    ledger: Ledger,
    now: Micros,
}

impl Broker {
    fn new(servers: usize) -> Self {
        Broker { core: Core::new(settings(servers), 1000, 7), ledger: Ledger::default(), now: 0 }
    }

    /// Takes an answer of discovery's as the program does.
    fn hears(&mut self, text: &str) -> AllocationInfo {
        self.now += SECOND / 100;
        measure(|| {
            let mut targets: Targets = serde_json::from_str(text).unwrap();
            self.ledger.take(self.now, &mut targets);
            let servers = targets.servers(&[], |ms| ms);
            self.core.learn(targets.scope(), servers);
            drop(targets);
            self.core.tick(self.now);
        })
    }

    /// What is told to a process that takes over.
    fn recall_bytes(&self) -> usize {
        serde_json::to_vec(&self.core.snapshot(self.now, 1)).unwrap().len()
    }
}

#[test]
fn a_whole_list_costs_and_holds_in_proportion_to_its_servers() {
    let mut last: Option<(usize, [u64; 4])> = None;
    for servers in [SERVERS / 8, SERVERS / 4, SERVERS / 2, SERVERS] {
        let mut broker = Broker::new(servers);
        let list = text(1, true, 0..servers, "active", 0);
        let cost = broker.hears(&list);
        assert_eq!(broker.core.server_counts(broker.now).0, servers as u64);
        let held = cost.bytes_current as u64;
        let now = [list.len() as u64, cost.count_total, cost.bytes_total, held];
        println!(
            "| whole list of {servers} | {} | {} | {} | {held} ({} each) | {} |",
            now[0],
            now[1],
            now[2],
            held / servers as u64,
            broker.recall_bytes()
        );
        if let Some((of, before)) = last {
            for (what, (now, before)) in
                ["text", "allocations", "allocated", "held"].iter().zip(now.iter().zip(before))
            {
                let times = *now as f64 / before as f64;
                assert!(times <= TWICE, "{what} of {servers} is {times:.2} times that of {of}");
            }
        }
        last = Some((servers, now));
    }
}

/// The same list again leaves no more behind.
#[test]
fn a_list_that_is_told_again_is_not_held_twice() {
    let mut broker = Broker::new(SERVERS);
    let first = broker.hears(&text(1, true, 0..SERVERS, "active", 0)).bytes_current;
    for rev in 2..6 {
        let more = broker.hears(&text(rev, true, 0..SERVERS, "active", 0)).bytes_current;
        assert!(more.abs() * 100 <= first, "{more} bytes more at version {rev}, {first} at first");
    }
}

#[test]
fn changes_cost_what_the_list_does_and_each_change_a_little() {
    for servers in [SERVERS / 2, SERVERS] {
        let mut broker = Broker::new(servers);
        broker.hears(&text(1, true, 0..servers, "active", 0));
        // What a change costs whatever it tells, and what each entry adds.
        let mut costs = Vec::new();
        for (n, changed) in CHANGES.into_iter().enumerate() {
            let news = text(2 + n as u64, false, 0..changed, "active", 1_796_125_500_000);
            let cost = broker.hears(&news);
            println!(
                "| {changed} restarted of {servers} | {} | {} | {} | {} | {} |",
                news.len(),
                cost.count_total,
                cost.bytes_total,
                cost.bytes_current,
                broker.recall_bytes()
            );
            assert!(news.len() <= 200 * changed + 100);
            costs.push((changed, cost));
        }
        let (one, zone) = (costs[0].1, costs[3].1);
        let each = (zone.count_total - one.count_total) as f64 / (CHANGES[3] - 1) as f64;
        assert!(each <= 8.0, "{each} allocations for each changed server");
        for (changed, cost) in &costs {
            let most = one.count_total as f64 + 8.0 * *changed as f64;
            assert!(
                cost.count_total as f64 <= most,
                "{changed} of {servers}: {} allocations",
                cost.count_total
            );
            assert!(
                cost.bytes_current.unsigned_abs() <= 4096 + 512 * *changed as u64,
                "{changed}: {}",
                cost.bytes_current
            );
        }
        // All rows are made anew at each change.
        assert!(one.count_total <= 3 * servers as u64, "one of {servers}: {} allocations", one.count_total);
    }
}

/// Servers are replaced under new names all day: those that went are forgotten, so that what is held stays as it was.
#[test]
fn a_day_of_replacements_leaves_no_more_behind_than_servers_that_serve() {
    let mut broker = Broker::new(SERVERS);
    let list = broker.hears(&text(1, true, 0..SERVERS, "active", 0)).bytes_current;
    let mut held = list;
    // A day's 976 restarts and failures under new names; the first is gone when the next comes.
    for n in 0..976 {
        held += broker.hears(&text(2 + 2 * n, false, n as usize..n as usize + 1, "left", 0)).bytes_current;
        let new = SERVERS + n as usize;
        held += broker.hears(&text(3 + 2 * n, false, new..new + 1, "active", 0)).bytes_current;
        broker.now += 88 * SECOND;
        held += measure(|| drop(broker.core.tick(broker.now))).bytes_current;
    }
    println!(
        "| 976 replaced of {SERVERS}, a day | | | | {held} held, {list} before | {} |",
        broker.recall_bytes()
    );
    assert_eq!(broker.core.server_counts(broker.now).0, SERVERS as u64);
    // What the watch still knows of those that are gone is bounded on its own.
    assert!(held <= list + list / 20, "{held} held, {list} before");
}
