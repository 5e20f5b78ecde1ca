//! What 1,600 aggregators together send to a server that has just started: never past N + 2 sqrt(N) + 2 requests of mean
//! work in a window, where the settings allow N; with even and skewed traffic, all fresh at once, and news of the start up
//! to 12 s apart. `fleet` says why a few cells stand for the fleet.

mod common;
mod fleet;

use brookbend::api::{ColdRule, Millis};
use fleet::*;
use std::sync::Mutex;
use std::sync::atomic::{AtomicUsize, Ordering};

const SECOND: Millis = 1000.0;

/// Parts of tens of milliseconds, one a query: an aggregator has a part for a given server every few minutes.
fn heavy() -> Shape {
    Shape {
        part: 60.0,
        call: 30.0,
        batch: 4,
        cores: 1,
        holders: [2, 3].repeat(4),
        parts: 1,
        aim: 1000.0,
        way: 10.0,
        load: 0.5,
        unasked: 0,
    }
}

/// Wide queries with parts of a millisecond, two of each at the cell: 15.5 parts a second for each aggregator and server. A
/// window's allowance for one is some six parts.
fn wide() -> Shape {
    Shape {
        part: 0.7,
        call: 0.3,
        batch: 8,
        cores: 32,
        holders: vec![3],
        parts: 2,
        aim: 75.0,
        way: 2.0,
        load: 0.775,
        unasked: 0,
    }
}

/// The same with a tenth of the traffic: an allowance is less than one part.
fn thin() -> Shape {
    Shape { cores: 3, load: 0.827, holders: vec![3], ..wide() }
}

fn play(shape: Shape, moment: Moment, skew: f64) -> Play {
    let rule = ColdRule {
        initial_capacity: 0.18,
        warm_after: 16.0 * SECOND,
        overload_factor: 2.5,
        overload_time: SECOND,
    };
    Play {
        cold_cells: shape.holders.len(),
        shape,
        rule,
        aggregators: 1600,
        asking: 0,
        skew,
        moment,
        surge: 1.0,
        alone: false,
        floor: 1.0,
        // What is rarely wanted takes half a minute to be known as that.
        run_in: 40.0 * SECOND,
        lasts: 16.0 * SECOND,
        seed: 0,
    }
}

const MOMENTS: [Moment; 4] =
    [Moment::Heard, Moment::Spread(12.0 * SECOND), Moment::Fresh, Moment::Restarted(12.0 * SECOND)];

/// Plays it, and holds it to the bound.
fn keeps(name: &str, play: Play) {
    let day = play.run();
    let (worst, filled) = play.cold(&day);
    let of =
        format!("{name}, {:?}, skew {}, surge {}, alone {}", play.moment, play.skew, play.surge, play.alone);
    println!("{of}: {worst:.2} of the bound, filled {filled:.2}");
    assert!(worst <= 1.0, "{of}: {worst:.2} of the bound, filled {filled:.2}");
}

#[test]
fn rule_1600_aggregators_of_even_traffic_keep_to_the_bound() {
    for moment in MOMENTS {
        keeps("heavy", play(heavy(), moment, 0.0));
    }
}

#[test]
fn rule_1600_aggregators_of_skewed_traffic_keep_to_the_bound() {
    for moment in MOMENTS {
        keeps("heavy", play(heavy(), moment, 1.0));
    }
}

#[test]
fn rule_1600_aggregators_keep_to_the_bound_where_traffic_triples() {
    for (moment, skew) in [(Moment::Heard, 0.0), (Moment::Heard, 1.0), (Moment::Fresh, 0.0)] {
        keeps("heavy", Play { surge: 3.0, lasts: 6.0 * SECOND, ..play(heavy(), moment, skew) });
    }
}

#[test]
fn rule_1600_aggregators_keep_to_the_bound_where_the_last_warm_servers_go() {
    for (moment, skew) in [(Moment::Heard, 0.0), (Moment::Heard, 1.0), (Moment::Spread(12.0 * SECOND), 0.0)] {
        let lasts = if moment == Moment::Heard { 6.0 * SECOND } else { 14.0 * SECOND };
        keeps("heavy", Play { alone: true, lasts, ..play(heavy(), moment, skew) });
    }
}

#[test]
fn rule_1600_aggregators_with_a_part_or_two_a_second_for_each_server_keep_to_the_bound() {
    for (moment, skew) in [(Moment::Heard, 0.0), (Moment::Fresh, 1.0), (Moment::Spread(12.0 * SECOND), 1.0)] {
        keeps("thin", Play { run_in: 4.0 * SECOND, ..play(thin(), moment, skew) });
    }
}

/// The whole traffic of 7,800 servers' queries, for as long as a test may take: all of a cell's, from one moment to the
/// next, at the one server that has just started. Beside warm servers they hardly need the rule, since each meets each
/// server many times a second and sees how slow it is.
#[test]
fn rule_1600_aggregators_with_fifteen_parts_a_second_for_each_server_keep_to_the_bound() {
    let short = |play| Play { run_in: 3.0 * SECOND, lasts: 3.0 * SECOND, ..play };
    keeps("wide", short(play(wide(), Moment::Heard, 0.0)));
    keeps("wide", short(Play { alone: true, ..play(wide(), Moment::Heard, 0.0) }));
}

/// Where a call's work tells nothing of a part's, and all have just started.
#[test]
fn rule_1600_aggregators_that_know_no_work_yet_keep_to_the_bound() {
    let light = Shape { part: 40.0, call: 4.0, ..heavy() };
    for surge in [1.0, 3.0] {
        keeps("light", Play { surge, lasts: 6.0 * SECOND, ..play(light.clone(), Moment::Fresh, 0.0) });
    }
}

/// Of so many plays one row: the worst window, and how full the servers were, least and most.
fn table(name: &str, play: &Play, seeds: u64) {
    let (next, seen) = (AtomicUsize::new(0), Mutex::new(Vec::new()));
    std::thread::scope(|scope| {
        for _ in 0..6 {
            scope.spawn(|| {
                loop {
                    let seed = next.fetch_add(1, Ordering::Relaxed) as u64;
                    if seed >= seeds {
                        return;
                    }
                    let play = Play { seed: seed * 7919, ..play.clone() };
                    let day = play.run();
                    seen.lock().unwrap().push((play.cold(&day), day.ends));
                }
            });
        }
    });
    let seen = seen.into_inner().unwrap();
    let of = |pick: fn(&((f64, f64), Ends)) -> f64| {
        let all: Vec<f64> = seen.iter().map(pick).collect();
        (all.iter().copied().fold(f64::INFINITY, f64::min), all.iter().copied().fold(0.0, f64::max))
    };
    let (worst, filled) = (of(|s| s.0.0), of(|s| s.0.1));
    let served = of(|s| s.1.in_time as f64 / s.1.asked.max(1) as f64);
    println!(
        "| {name} | {:?} | {} | {} | {} | {:.3} | {seeds} x {} | {:.2} to {:.2} | {:.2} to {:.2} | {:.2} to {:.2} |",
        play.moment,
        play.skew,
        play.surge,
        play.alone,
        play.pair_rate(),
        play.cold_cells,
        worst.0,
        worst.1,
        filled.0,
        filled.1,
        served.0,
        served.1
    );
}

/// The tables of `docs/design/fleet.md`: many seeds, played on request.
#[test]
#[ignore]
fn table_heavy() {
    for moment in MOMENTS {
        for skew in [0.0, 1.0] {
            for (surge, alone) in [(1.0, false), (3.0, false), (1.0, true)] {
                let lasts =
                    if moment == Moment::Heard || moment == Moment::Fresh { 8.0 } else { 16.0 } * SECOND;
                let play = Play { surge, alone, lasts, ..play(heavy(), moment, skew) };
                table("heavy", &play, 5);
            }
        }
    }
}

#[test]
#[ignore]
fn table_thin() {
    for moment in MOMENTS {
        for skew in [0.0, 1.0] {
            for (surge, alone) in [(1.0, false), (3.0, false), (1.0, true)] {
                let play = Play { surge, alone, run_in: 12.0 * SECOND, ..play(thin(), moment, skew) };
                table("thin", &play, 2);
            }
        }
    }
}

/// Aggregators that ask the servers of one region alone, and know those of seven: 229 of 1,600 send all.
#[test]
#[ignore]
fn table_regional() {
    for unasked in [0, 18] {
        for moment in [Moment::Heard, Moment::Spread(12.0 * SECOND)] {
            let shape = Shape { unasked, ..thin() };
            let play = Play { asking: 229, run_in: 12.0 * SECOND, ..play(shape, moment, 0.0) };
            table(&format!("regional, {unasked} unasked"), &play, 3);
        }
    }
}

#[test]
#[ignore]
fn table_wide() {
    for moment in MOMENTS {
        for skew in [0.0, 0.5] {
            let play = Play { run_in: 5.0 * SECOND, ..play(wide(), moment, skew) };
            table("wide", &play, 2);
        }
    }
}
