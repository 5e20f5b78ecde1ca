//! Cost of updates of a list of up to 7,800 servers in a broker, counted instead of timed: length of the text
//! in bytes, allocations from decoding to the decision module, and memory in use afterwards. The cost of a
//! list of twice the length is bounded, so that work that becomes quadratic is found. `cargo test -p
//! plover-core --test fleet_lists -- --nocapture` prints a table.

use allocation_counter::{AllocationInfo, measure};
use brookbend::api::Settings;
use brookbend::settings::{JsonObject, decode};
use plover_core::Core;
use plover_model::server::Targets;
use plover_model::time::{Micros, SECOND};
use plover_watch::Ledger;
use std::fmt::Write;

const SERVERS: usize = 7800;
/// Number of servers in a cell.
const SERVERS_PER_CELL: usize = 3;
/// Numbers of servers that change at once: one, some, more than a rack, a zone.
const CHANGED_SERVERS: [usize; 4] = [1, 10, 100, 410];
/// Maximum factor of the cost when the length of the list doubles: 2, with a margin for rounded capacities.
const MAX_DOUBLING_FACTOR: f64 = 2.25;

fn settings(servers: usize) -> Settings {
    let text: serde_json::Value =
        serde_json::from_str(include_str!("../../model/tests/settings.json")).unwrap();
    let site = decode(&JsonObject::new("settings", text.as_object().unwrap())).unwrap();
    let cells = servers / SERVERS_PER_CELL;
    Settings { cells, reach: 1, shards: cells, ..site.settings }
}

/// Returns a list as discovery sends it. `boot_ms` is the start of the servers, and 0 for servers that did
/// not restart.
fn list_json(rev: u64, all: bool, servers: std::ops::Range<usize>, state: &str, boot_ms: u64) -> String {
    let mut text = format!("{{\"rev\":{rev},\"all\":{all},\"targets\":[");
    for n in servers {
        let (cell, zone) = (n / SERVERS_PER_CELL, n % 19);
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

/// The components of a broker that keep the list.
struct Broker {
    core: Core,
    ledger: Ledger,
    now: Micros,
}

impl Broker {
    fn new(servers: usize) -> Self {
        Broker { core: Core::new(settings(servers), 1000, 7), ledger: Ledger::default(), now: 0 }
    }

    /// Applies a response of discovery in the same way as the broker does, and measures its allocations.
    fn apply(&mut self, text: &str) -> AllocationInfo {
        self.now += SECOND / 100;
        measure(|| {
            let mut targets: Targets = serde_json::from_str(text).unwrap();
            self.ledger.take(self.now, &mut targets);
            let servers = targets.servers(&[], |ms| ms);
            self.core.update_servers(targets.scope(), servers);
            drop(targets);
            self.core.tick(self.now);
        })
    }

    /// Returns the size in bytes of the learned state for a successor process.
    fn snapshot_bytes(&self) -> usize {
        serde_json::to_vec(&self.core.snapshot(self.now, 1)).unwrap().len()
    }
}

#[test]
fn cost_of_a_complete_list_is_linear_in_its_length() {
    let mut previous: Option<(usize, [u64; 4])> = None;
    for servers in [SERVERS / 8, SERVERS / 4, SERVERS / 2, SERVERS] {
        let mut broker = Broker::new(servers);
        let list = list_json(1, true, 0..servers, "active", 0);
        let cost = broker.apply(&list);
        assert_eq!(broker.core.server_counts(broker.now).0, servers as u64);
        let in_use = cost.bytes_current as u64;
        let counts = [list.len() as u64, cost.count_total, cost.bytes_total, in_use];
        println!(
            "| whole list of {servers} | {} | {} | {} | {in_use} ({} each) | {} |",
            counts[0],
            counts[1],
            counts[2],
            in_use / servers as u64,
            broker.snapshot_bytes()
        );
        if let Some((previous_servers, before)) = previous {
            for (what, (count, before)) in
                ["text", "allocations", "allocated", "in use"].iter().zip(counts.iter().zip(before))
            {
                let factor = *count as f64 / before as f64;
                assert!(
                    factor <= MAX_DOUBLING_FACTOR,
                    "{what} of {servers} is {factor:.2} times that of {previous_servers}"
                );
            }
        }
        previous = Some((servers, counts));
    }
}

/// Guards against memory in use that grows when the same list is sent again.
#[test]
fn a_repeated_list_uses_no_more_memory() {
    let mut broker = Broker::new(SERVERS);
    let first = broker.apply(&list_json(1, true, 0..SERVERS, "active", 0)).bytes_current;
    for rev in 2..6 {
        let growth = broker.apply(&list_json(rev, true, 0..SERVERS, "active", 0)).bytes_current;
        assert!(growth.abs() * 100 <= first, "{growth} bytes more at version {rev}, {first} at first");
    }
}

#[test]
fn cost_of_changes_is_linear_in_their_number() {
    for servers in [SERVERS / 2, SERVERS] {
        let mut broker = Broker::new(servers);
        broker.apply(&list_json(1, true, 0..servers, "active", 0));
        // Costs by number of changed servers. They show the fixed cost of an update and the cost of each
        // entry.
        let mut costs = Vec::new();
        for (n, changed) in CHANGED_SERVERS.into_iter().enumerate() {
            let update = list_json(2 + n as u64, false, 0..changed, "active", 1_796_125_500_000);
            let cost = broker.apply(&update);
            println!(
                "| {changed} restarted of {servers} | {} | {} | {} | {} | {} |",
                update.len(),
                cost.count_total,
                cost.bytes_total,
                cost.bytes_current,
                broker.snapshot_bytes()
            );
            assert!(update.len() <= 200 * changed + 100);
            costs.push((changed, cost));
        }
        let (one, zone) = (costs[0].1, costs[3].1);
        let each = (zone.count_total - one.count_total) as f64 / (CHANGED_SERVERS[3] - 1) as f64;
        assert!(each <= 8.0, "{each} allocations for each changed server");
        for (changed, cost) in &costs {
            let max = one.count_total as f64 + 8.0 * *changed as f64;
            assert!(
                cost.count_total as f64 <= max,
                "{changed} of {servers}: {} allocations",
                cost.count_total
            );
            assert!(
                cost.bytes_current.unsigned_abs() <= 4096 + 512 * *changed as u64,
                "{changed}: {}",
                cost.bytes_current
            );
        }
        // Each update rebuilds all rows.
        assert!(one.count_total <= 3 * servers as u64, "one of {servers}: {} allocations", one.count_total);
    }
}

/// Guards against memory that grows when servers are replaced under new names all day: servers that are gone
/// must be removed.
#[test]
fn memory_stays_constant_over_a_day_of_replacements() {
    let mut broker = Broker::new(SERVERS);
    let list = broker.apply(&list_json(1, true, 0..SERVERS, "active", 0)).bytes_current;
    let mut in_use = list;
    // 976 restarts and failures per day, each under a new name. A server has left the list when its successor
    // joins.
    for n in 0..976 {
        in_use +=
            broker.apply(&list_json(2 + 2 * n, false, n as usize..n as usize + 1, "left", 0)).bytes_current;
        let new = SERVERS + n as usize;
        in_use += broker.apply(&list_json(3 + 2 * n, false, new..new + 1, "active", 0)).bytes_current;
        broker.now += 88 * SECOND;
        in_use += measure(|| drop(broker.core.tick(broker.now))).bytes_current;
    }
    println!(
        "| 976 replaced of {SERVERS}, a day | | | | {in_use} in use, {list} before | {} |",
        broker.snapshot_bytes()
    );
    assert_eq!(broker.core.server_counts(broker.now).0, SERVERS as u64);
    // The watch keeps entries of gone servers for a while, and limits them separately.
    assert!(in_use <= list + list / 20, "{in_use} in use, {list} before");
}
