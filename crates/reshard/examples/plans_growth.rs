//! How plans grow: one node is emptied whose ranges go to others. It prints JSON lines by moves: compiling, what may start, a
//! replay of the log, and the log's bytes. No verdict.

use plover_ranges::*;
use plover_reshard::plan::*;
use std::time::Instant;
use support::{GIB, node};

#[path = "../tests/support/mod.rs"]
mod support;

const NODES: usize = 40;

fn case(moves: usize) -> (RangeMap, Fleet) {
    let name = |n: usize| NodeName(format!("n{n:04}").into());
    let key = |n: usize| if n == 0 { Key::smallest() } else { Key::new(format!("k{n:06}")).expect("short") };
    let count = moves;
    let held = (0..count).map(|n| RangeAssignment {
        id: RangeId(n as u64),
        range: KeyRange::new(key(n), (n + 1 < count).then(|| key(n + 1))).expect("in order"),
        epoch: Epoch(1),
        replicas: [name(0), name(1 + n % (NODES - 1))].into(),
    });
    let map = RangeMap::new(MapVersion(12), RangeId(count as u64), held.collect()).expect("whole");
    let mut fleet = Fleet::default();
    for n in 0..NODES {
        fleet.nodes.insert(name(n), node(["x", "y", "z"][n % 3], "big", 4 * GIB * count as u64));
    }
    for n in 0..count {
        let load = RangeLoad {
            bytes: GIB,
            growth: 0.0,
            rate: 100.0,
            work: 500.0,
            hot_share: 0.5,
            cold_read: 4e3,
            age: 0,
        };
        fleet.loads.insert(RangeId(n as u64), load);
    }
    for (a, b) in [("x", "y"), ("x", "z"), ("y", "z")] {
        fleet.links.insert((a.into(), b.into()), Link { round_trip: 1000, rate: 120 << 20 });
    }
    (map, fleet)
}

fn main() {
    let sizes: Vec<usize> = std::env::args().skip(1).filter_map(|word| word.parse().ok()).collect();
    let sizes = if sizes.is_empty() { vec![64, 128, 256, 512, 1024] } else { sizes };
    for moves in sizes {
        let (map, fleet) = case(moves);
        let text = "plan p\nagainst 12\nfree-disk 0GiB\ncopies-node 2\ncopies-link 8\ncopies-zone 16\nempty-node n0000\n";
        let plan = match read(text) {
            Ok(plan) => plan,
            Err(refusals) => return println!("{}", faults("p", text, refusals)),
        };
        let begun = Instant::now();
        let graph = match compile(&plan, &map, &fleet, None) {
            Ok(graph) => graph,
            Err(refusals) => return println!("{}", faults("p", text, refusals)),
        };
        let compiled = begun.elapsed().as_secs_f64();
        let bytes = graph.bytes().len();
        let mut log = vec![Entry::Opened { at: 0, graph: Box::new(graph.clone()) }];
        let mut progress = Progress::open(&log[0]).expect("opens");
        let (mut asked, mut asks, mut rounds) = (0.0, 0u32, 0u32);
        let mut running: Vec<Entry> = Vec::new();
        // The first steps alone: what a question costs does not change on the way.
        while rounds < 24 {
            rounds += 1;
            let begun = Instant::now();
            let next = progress.next(u64::from(rounds), &Seen::default());
            asked += begun.elapsed().as_secs_f64();
            asks += 1;
            let mut entries: Vec<Entry> = next.start.iter().map(Start::entry).collect();
            if entries.is_empty() {
                entries = std::mem::take(&mut running);
            }
            for entry in entries {
                progress.apply(&entry).expect("fits");
                if let Entry::Begun { step, token, .. } = entry {
                    running.push(Entry::Ended { step, token });
                }
                log.push(entry);
            }
        }
        let begun = Instant::now();
        Progress::replay(&log).expect("replays");
        println!(
            "{{\"moves\": {moves}, \"steps\": {}, \"compile_ms\": {:.1}, \"graph_bytes\": {bytes}, \"next_ms\": {:.3}, \
             \"entries\": {}, \"replay_ms\": {:.1}}}",
            graph.steps.len(),
            compiled * 1e3,
            asked * 1e3 / f64::from(asks),
            log.len(),
            begun.elapsed().as_secs_f64() * 1e3,
        );
    }
}
