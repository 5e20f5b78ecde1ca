//! A discovery agent that is slow: each answer is written one second later than it is due. A data server begins to drain meanwhile.

#[path = "../common-2/stand.rs"]
mod stand;

use stand::*;
use std::sync::atomic::Ordering;
use std::thread;
use std::time::{Duration, Instant};

/// How much later each answer is written.
const SLOW_BY_MS: u64 = 1000;
/// The drain begins so long after the agent has become slow.
const DRAIN_AFTER: Duration = Duration::from_millis(4800);
/// A change counts as told at the latest so long after discovery had it and could be reached, ...
const TOLD: Duration = Duration::from_secs(6);
/// ... and then the grace of the settings holds, and 50 ms, as for every time limit.
const GRACE: Duration = Duration::from_millis(250 + 50);
/// So long after the change is looked on.
const LOOK: Duration = Duration::from_secs(14);

fn main() {
    let (folder, root) = folders();
    let record = Record::new(&folder);
    run(move || play(&root, &record));
}

fn play(root: &std::path::Path, record: &Record) -> i32 {
    let site = Site { second_copies: false, cells: 6, shards: 24, sockets: 512, memory_mb: 128 };
    let servers: Vec<DataServer> =
        (0..12).map(|n| DataServer::start(n, n % site.cells, ms(40), record)).collect();
    let discovery = Discovery::start(&servers, record);
    let mut broker = Broker::start(root, &site, &discovery, record);
    let to = broker.clients;
    let over = flag();
    let clients: Vec<_> = (0..4)
        .map(|c| {
            let over = over.clone();
            thread::spawn(move || {
                let mut served = 0u32;
                for n in 0.. {
                    if over.load(Ordering::Relaxed) {
                        break;
                    }
                    let id = format!("{:08x}{c:02x}{n:06x}", std::process::id());
                    let shards: Vec<usize> = (0..4).map(|i| (7 * n + 3 * c + i) % 24).collect();
                    let ended = call(to, &query("lookup", &id, &shards, ms(3000)), ms(4000));
                    served += u32::from(matches!(ended, Called::Answered(200, _)));
                    thread::sleep(ms(150));
                }
                served
            })
        })
        .collect();
    // The agent becomes slow as a call with the usual wait comes in.
    let calls = discovery.long_calls();
    let until = Instant::now() + ms(12_000);
    while discovery.long_calls() <= calls + 1 {
        if Instant::now() > until {
            cannot_run("the broker does not watch the list");
        }
        thread::sleep(ms(5));
    }
    if trouble() {
        discovery.slow_by.store(SLOW_BY_MS, Ordering::Relaxed);
        record.line("from now on the agent writes each answer a second later than it is due");
    }
    thread::sleep(DRAIN_AFTER);
    let drains = &servers[0];
    let rev = discovery.change(&drains.uid, drains.entry("leaving"));
    let changed = Instant::now();
    record.line(&format!("{} begins to drain: version {rev}", drains.uid));
    thread::sleep(LOOK);
    over.store(true, Ordering::Relaxed);
    let served: u32 = clients.into_iter().filter_map(|client| client.join().ok()).sum();
    if broker.has_ended() {
        record.result("the broker has ended by itself");
        return 1;
    }
    let arrivals = drains.arrivals.lock().unwrap();
    let before = arrivals.iter().filter(|a| a.at < changed).count();
    let after: Vec<Duration> = arrivals.iter().filter_map(|a| a.at.checked_duration_since(changed)).collect();
    let late = after.iter().filter(|passed| **passed > TOLD + GRACE).count();
    let last = after.iter().max().copied().unwrap_or_default();
    let written = discovery.written(rev).map(|at| at.saturating_duration_since(changed));
    record.result(&format!(
        "{served} queries served; {} got {before} parts before its drain and {} after it, the last {:.2} s after it; {late} of \
         them later than {:.2} s; an answer with the drain reached the broker after {}",
        drains.uid,
        after.len(),
        last.as_secs_f64(),
        (TOLD + GRACE).as_secs_f64(),
        written.map_or("never".to_owned(), |w| format!("{:.2} s", w.as_secs_f64()))
    ));
    if served == 0 || before == 0 {
        cannot_run("the data server got no part before its drain");
    }
    i32::from(late > 0)
}
