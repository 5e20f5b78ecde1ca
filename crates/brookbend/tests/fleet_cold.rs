//! The work that 1,600 aggregators together send to a server that has just started stays within
//! N + 2 sqrt(N) + 2 requests of mean work in any window, where the settings allow N. This holds for even and
//! skewed traffic, for aggregators that start together, and for notifications of the start that are up to
//! 12 s apart. Module `fleet` says why a few cells represent the fleet.

mod common;
mod fleet;

use brookbend::api::{ColdRule, Millis};
use fleet::*;
use std::sync::Mutex;
use std::sync::atomic::{AtomicUsize, Ordering};

const SECOND: Millis = 1000.0;

/// Parts of tens of milliseconds, one per query: an aggregator has a part for a given server every few
/// minutes.
fn heavy() -> Workload {
    Workload {
        part_work: 60.0,
        call_work: 30.0,
        batch: 4,
        cores: 1,
        holders: [2, 3].repeat(4),
        parts: 1,
        aim: 1000.0,
        network_time: 10.0,
        load: 0.5,
        unused_servers: 0,
    }
}

/// Wide queries with parts of a millisecond, two of each in the cell: 15.5 parts per second for each
/// aggregator and server. The allowance of one aggregator in a window is about six parts.
fn wide() -> Workload {
    Workload {
        part_work: 0.7,
        call_work: 0.3,
        batch: 8,
        cores: 32,
        holders: vec![3],
        parts: 2,
        aim: 75.0,
        network_time: 2.0,
        load: 0.775,
        unused_servers: 0,
    }
}

/// The same with a tenth of the traffic: the allowance of one aggregator in a window is less than one part.
fn thin() -> Workload {
    Workload { cores: 3, load: 0.827, holders: vec![3], ..wide() }
}

fn simulation(workload: Workload, notification: Notification, skew: f64) -> Simulation {
    let rule = ColdRule {
        initial_capacity: 0.18,
        warm_after: 16.0 * SECOND,
        overload_factor: 2.5,
        overload_time: SECOND,
    };
    Simulation {
        cold_cells: workload.holders.len(),
        workload,
        rule,
        aggregators: 1600,
        active: 0,
        skew,
        notification,
        surge: 1.0,
        others_leave: false,
        floor: 1.0,
        // It takes half a minute to learn that a server is rarely needed.
        warm_up: 40.0 * SECOND,
        duration: 16.0 * SECOND,
        seed: 0,
    }
}

const NOTIFICATIONS: [Notification; 4] = [
    Notification::AtOnce,
    Notification::Over(12.0 * SECOND),
    Notification::StartTogether,
    Notification::StartOver(12.0 * SECOND),
];

/// Runs a simulation and checks that no window passes the bound.
fn check_bound(name: &str, simulation: Simulation) {
    let results = simulation.run();
    let (worst, utilization) = simulation.cold(&results);
    let case = format!(
        "{name}, {:?}, skew {}, surge {}, others leave {}",
        simulation.notification, simulation.skew, simulation.surge, simulation.others_leave
    );
    println!("{case}: {worst:.2} of the bound, utilization {utilization:.2}");
    assert!(worst <= 1.0, "{case}: {worst:.2} of the bound, utilization {utilization:.2}");
}

#[test]
fn rule_1600_aggregators_of_even_traffic_keep_to_the_bound() {
    for notification in NOTIFICATIONS {
        check_bound("heavy", simulation(heavy(), notification, 0.0));
    }
}

#[test]
fn rule_1600_aggregators_of_skewed_traffic_keep_to_the_bound() {
    for notification in NOTIFICATIONS {
        check_bound("heavy", simulation(heavy(), notification, 1.0));
    }
}

#[test]
fn rule_1600_aggregators_keep_to_the_bound_where_traffic_triples() {
    for (notification, skew) in
        [(Notification::AtOnce, 0.0), (Notification::AtOnce, 1.0), (Notification::StartTogether, 0.0)]
    {
        check_bound(
            "heavy",
            Simulation { surge: 3.0, duration: 6.0 * SECOND, ..simulation(heavy(), notification, skew) },
        );
    }
}

#[test]
fn rule_1600_aggregators_keep_to_the_bound_where_the_last_warm_servers_go() {
    for (notification, skew) in
        [(Notification::AtOnce, 0.0), (Notification::AtOnce, 1.0), (Notification::Over(12.0 * SECOND), 0.0)]
    {
        let duration = if notification == Notification::AtOnce { 6.0 * SECOND } else { 14.0 * SECOND };
        check_bound(
            "heavy",
            Simulation { others_leave: true, duration, ..simulation(heavy(), notification, skew) },
        );
    }
}

#[test]
fn rule_1600_aggregators_with_a_part_or_two_a_second_for_each_server_keep_to_the_bound() {
    for (notification, skew) in [
        (Notification::AtOnce, 0.0),
        (Notification::StartTogether, 1.0),
        (Notification::Over(12.0 * SECOND), 1.0),
    ] {
        check_bound("thin", Simulation { warm_up: 4.0 * SECOND, ..simulation(thin(), notification, skew) });
    }
}

/// The whole traffic of queries over 7,800 servers, for the few seconds that a test may take; in the second
/// case the whole traffic of a cell moves at once to the one server that has just started. Next to warm
/// servers the rule is hardly needed, since each aggregator sends to each server many times per second and
/// measures how slow it is.
#[test]
fn rule_1600_aggregators_with_fifteen_parts_a_second_for_each_server_keep_to_the_bound() {
    let short = |simulation| Simulation { warm_up: 3.0 * SECOND, duration: 3.0 * SECOND, ..simulation };
    check_bound("wide", short(simulation(wide(), Notification::AtOnce, 0.0)));
    check_bound(
        "wide",
        short(Simulation { others_leave: true, ..simulation(wide(), Notification::AtOnce, 0.0) }),
    );
}

/// The work of a call says nothing about that of a part, and all aggregators have just started.
#[test]
fn rule_1600_aggregators_that_know_no_work_yet_keep_to_the_bound() {
    let light = Workload { part_work: 40.0, call_work: 4.0, ..heavy() };
    for surge in [1.0, 3.0] {
        check_bound(
            "light",
            Simulation {
                surge,
                duration: 6.0 * SECOND,
                ..simulation(light.clone(), Notification::StartTogether, 0.0)
            },
        );
    }
}

/// Prints one row of a table over this number of seeds: the range of the worst window, of the utilization of
/// the cold servers, and of the share of queries served in time.
fn table(name: &str, simulation: &Simulation, seeds: u64) {
    let (next, samples) = (AtomicUsize::new(0), Mutex::new(Vec::new()));
    std::thread::scope(|scope| {
        for _ in 0..6 {
            scope.spawn(|| {
                loop {
                    let seed = next.fetch_add(1, Ordering::Relaxed) as u64;
                    if seed >= seeds {
                        return;
                    }
                    let simulation = Simulation { seed: seed * 7919, ..simulation.clone() };
                    let results = simulation.run();
                    samples.lock().unwrap().push((simulation.cold(&results), results.counts));
                }
            });
        }
    });
    let samples = samples.into_inner().unwrap();
    let range = |value: fn(&((f64, f64), QueryCounts)) -> f64| {
        let values: Vec<f64> = samples.iter().map(value).collect();
        (values.iter().copied().fold(f64::INFINITY, f64::min), values.iter().copied().fold(0.0, f64::max))
    };
    let (worst, utilization) = (range(|s| s.0.0), range(|s| s.0.1));
    let served = range(|s| s.1.in_time as f64 / s.1.total.max(1) as f64);
    println!(
        "| {name} | {:?} | {} | {} | {} | {:.3} | {seeds} x {} | {:.2} to {:.2} | {:.2} to {:.2} | {:.2} to {:.2} |",
        simulation.notification,
        simulation.skew,
        simulation.surge,
        simulation.others_leave,
        simulation.pair_rate(),
        simulation.cold_cells,
        worst.0,
        worst.1,
        utilization.0,
        utilization.1,
        served.0,
        served.1
    );
}

/// The tables of `docs/design/fleet.md`: many seeds, run on request.
#[test]
#[ignore]
fn table_heavy() {
    for notification in NOTIFICATIONS {
        for skew in [0.0, 1.0] {
            for (surge, others_leave) in [(1.0, false), (3.0, false), (1.0, true)] {
                let duration =
                    if notification == Notification::AtOnce || notification == Notification::StartTogether {
                        8.0
                    } else {
                        16.0
                    } * SECOND;
                let simulation =
                    Simulation { surge, others_leave, duration, ..simulation(heavy(), notification, skew) };
                table("heavy", &simulation, 5);
            }
        }
    }
}

#[test]
#[ignore]
fn table_thin() {
    for notification in NOTIFICATIONS {
        for skew in [0.0, 1.0] {
            for (surge, others_leave) in [(1.0, false), (3.0, false), (1.0, true)] {
                let simulation = Simulation {
                    surge,
                    others_leave,
                    warm_up: 12.0 * SECOND,
                    ..simulation(thin(), notification, skew)
                };
                table("thin", &simulation, 2);
            }
        }
    }
}

/// Aggregators that send to the servers of one region only, and know those of seven: 229 of 1,600 send all
/// attempts.
#[test]
#[ignore]
fn table_regional() {
    for unused_servers in [0, 18] {
        for notification in [Notification::AtOnce, Notification::Over(12.0 * SECOND)] {
            let workload = Workload { unused_servers, ..thin() };
            let simulation =
                Simulation { active: 229, warm_up: 12.0 * SECOND, ..simulation(workload, notification, 0.0) };
            table(&format!("regional, {unused_servers} unused servers"), &simulation, 3);
        }
    }
}

#[test]
#[ignore]
fn table_wide() {
    for notification in NOTIFICATIONS {
        for skew in [0.0, 0.5] {
            let simulation = Simulation { warm_up: 5.0 * SECOND, ..simulation(wide(), notification, skew) };
            table("wide", &simulation, 2);
        }
    }
}
