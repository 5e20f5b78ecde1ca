//! How long nobody holds a duty, in each of the three ways in which it is handed on, in virtual time.

mod world;

use plover_model::time::Micros;
use world::{LEASE, World};

#[derive(Clone, Copy, Debug)]
enum Way {
    GivenOver,
    Lapsed,
    TakenStalled,
    TakenByAnOperator,
}

/// The time without a holder, and that from the cause to the next holder.
fn gap(way: Way, seed: u64) -> (Micros, Micros) {
    let mut world = World::new(seed, 3 + seed % 2 * 2, 3);
    world.brokers.iter_mut().for_each(|b| b.holder.want());
    assert!(world.until(LEASE * 4, |w| !w.holding().is_empty()));
    let pause = LEASE + world.rng.below(LEASE);
    world.run(pause);
    let (holder, token) = (world.holding()[0], world.granted);
    world.gap = 0;
    let start = world.now;
    match way {
        Way::GivenOver => world.leave(holder),
        Way::Lapsed => world.crash_broker(holder),
        Way::TakenStalled => world.brokers[holder].stalled = world.now + LEASE * 3,
        Way::TakenByAnOperator => assert!(world.take()),
    }
    let other = move |w: &World| w.granted > token && w.holding().iter().any(|b| *b != holder);
    assert!(world.until(LEASE * 4, other), "{way:?}, seed {seed}");
    let passed = world.now - start;
    let gap = world.gap;
    world.run(LEASE * 3);
    assert!(world.checker.broken.is_empty(), "{way:?}, seed {seed}: {:?}", world.checker.broken);
    (gap, passed)
}

#[test]
fn each_way_of_handing_on_is_bounded() {
    println!("in leases: without a holder p50 / p99 / max; from the cause to the next holder, max");
    for (way, bound) in
        [(Way::GivenOver, 0.05), (Way::Lapsed, 1.4), (Way::TakenStalled, 1.4), (Way::TakenByAnOperator, 0.3)]
    {
        let mut gaps: Vec<(f64, f64)> = (0..100)
            .map(|seed| gap(way, seed))
            .map(|(gap, passed)| (gap as f64 / LEASE as f64, passed as f64 / LEASE as f64))
            .collect();
        gaps.sort_by(|a, b| a.0.total_cmp(&b.0));
        let max = gaps[99].0;
        let passed = gaps.iter().map(|(_, p)| *p).fold(0.0, f64::max);
        println!("{way:?}: {:.3} / {:.3} / {max:.3}; {passed:.3}", gaps[49].0, gaps[98].0);
        assert!(max < bound, "{way:?}: {max}");
    }
}
