//! Plans for twelve kinds of fleets, against a bound, three plain placements, and the least bytes.
//!
//! `twelve [NODES RANGES [KIND]]`

use plover_placement::{Guard, Layout, Model, propose};
use support::baselines::{Baseline, terms};
use support::bound::{Goal, least};
use support::fleets::{KINDS, fleet};

#[path = "../tests/placement/support/mod.rs"]
mod support;

fn main() {
    let asked: Vec<usize> = std::env::args().skip(1).filter_map(|word| word.parse().ok()).collect();
    let (nodes, ranges) = (asked.first().copied().unwrap_or(50), asked.get(1).copied().unwrap_or(500));
    println!(
        "| fleet | before | bound | plan | over | moves | bytes | least | times | random | greedy | round robin |"
    );
    println!("| --- | --- | --- | --- | --- | --- | --- | --- | --- | --- | --- | --- |");
    let (mut overs, mut ratios) = (Vec::new(), Vec::new());
    for (at, kind) in KINDS.into_iter().enumerate() {
        if asked.get(2).is_some_and(|&only| only != at) {
            continue;
        }
        let yard = fleet(kind, nodes, ranges, 1);
        let started = std::time::Instant::now();
        let plan = propose(&yard.view(&[]), &yard.settings, &Guard::default());
        let took = started.elapsed();
        support::player::play(&yard, &[], &plan).expect("each step keeps room and zones");
        let model = Model::new(&yard.view(&[]), &yard.settings);
        let bound = least(&model, &Goal::Points);
        let over = plan.points_after / bound - 1.0;
        let bytes = least(&model, &Goal::Bytes(&plan.after));
        let ratio = plan.after.bytes / bytes.max(1e-9);
        let plain = |baseline| terms(&model, baseline, 1).standing(&yard.settings.weights);
        println!(
            "| {kind:?} | {:.3} | {bound:.3} | {:.3} | {:.1} % | {} | {:.1} % | {:.1} % | {ratio:.2} | {:.3} | {:.3} | {:.3} |",
            plan.points_before,
            plan.points_after,
            100.0 * over,
            plan.steps.len(),
            100.0 * plan.after.bytes,
            100.0 * bytes,
            plain(Baseline::Random),
            plain(Baseline::GreedyBySize),
            plain(Baseline::RoundRobinByWeight),
        );
        eprintln!("{kind:?}: {took:?} then {:?}", started.elapsed());
        eprintln!("  before {:?}\n  after  {:?}", Layout::standing(&model).terms(), plan.after);
        overs.push(over);
        ratios.push(ratio);
    }
    overs.sort_by(f64::total_cmp);
    ratios.sort_by(f64::total_cmp);
    let (mid, last) = (overs.len() / 2, overs.len() - 1);
    println!("over the bound: median {:.1} %, worst {:.1} %", 100.0 * overs[mid], 100.0 * overs[last]);
    println!("bytes by the least: median {:.2}, worst {:.2}", ratios[mid], ratios[last]);
}
