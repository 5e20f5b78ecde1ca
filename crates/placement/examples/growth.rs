//! How planning grows with the fleet: 10, 100 and 1,000 nodes with 20 ranges each. It prints times and their ratios, no verdict.

use plover_placement::{Guard, propose};
use support::fleets::{Kind, fleet};

#[path = "../tests/placement/support/mod.rs"]
mod support;

fn main() {
    println!("| fleet | nodes | ranges | seconds | times the one before | moves | before | after |");
    println!("| --- | --- | --- | --- | --- | --- | --- | --- |");
    for kind in [Kind::Mixed, Kind::Drain, Kind::AllAtOnce] {
        let mut last = None;
        for nodes in [10, 100, 1_000] {
            let yard = fleet(kind, nodes, nodes * 20, 1);
            let started = std::time::Instant::now();
            let plan = propose(&yard.view(&[]), &yard.settings, &Guard::default());
            let took = started.elapsed().as_secs_f64();
            let ratio = last.map_or("".to_owned(), |last: f64| format!("{:.1}", took / last));
            println!(
                "| {kind:?} | {nodes} | {} | {took:.3} | {ratio} | {} | {:.3} | {:.3} |",
                nodes * 20,
                plan.steps.len(),
                plan.points_before,
                plan.points_after
            );
            last = Some(took);
        }
    }
}
