//! How planning grows with the fleet: 10, 100 and 1,000 nodes, or as many as are named, with 20 ranges each. It prints times and
//! their ratios, no verdict.

use plover_placement::{Guard, propose};
use support::fleets::{Kind, fleet};

#[path = "../tests/placement/support/mod.rs"]
mod support;

/// Seconds of processor that this process has used, in hundredths; 0 where the system does not say.
fn processor() -> f64 {
    let stat = std::fs::read_to_string("/proc/self/stat").unwrap_or_default();
    let after_name = stat.rsplit(')').next().unwrap_or_default();
    let ticks = after_name.split_whitespace().skip(11).take(2).filter_map(|word| word.parse::<f64>().ok());
    ticks.sum::<f64>() / 100.0
}

fn main() {
    let named: Vec<usize> = std::env::args().skip(1).filter_map(|word| word.parse().ok()).collect();
    let sizes = if named.is_empty() { vec![10, 100, 1_000] } else { named };
    println!(
        "| fleet | nodes | ranges | seconds | processor seconds | times the one before | moves | before | after |"
    );
    println!("| --- | --- | --- | --- | --- | --- | --- | --- | --- |");
    for kind in [Kind::Mixed, Kind::Drain, Kind::AllAtOnce] {
        let mut last = None;
        for &nodes in &sizes {
            let yard = fleet(kind, nodes, nodes * 20, 1);
            let before = processor();
            let started = std::time::Instant::now();
            let plan = propose(&yard.view(&[]), &yard.settings, &Guard::default());
            let (took, used) = (started.elapsed().as_secs_f64(), processor() - before);
            let ratio = last.map_or("".to_owned(), |last: f64| format!("{:.1}", used / last));
            println!(
                "| {kind:?} | {nodes} | {} | {took:.2} | {used:.2} | {ratio} | {} | {:.3} | {:.3} |",
                nodes * 20,
                plan.steps.len(),
                plan.points_before,
                plan.points_after
            );
            last = Some(used.max(0.01));
        }
    }
}
