//! Keepers, holders and receivers under loss, delay, copies, cuts, restarts and lost disks, by seed.

mod world;

use plover_duties::keeper::Standing;
use world::{At, LEASE, World};

fn trouble(world: &mut World) {
    let keepers = world.keepers();
    let keeper = keepers[world.rng.below(keepers.len() as u64) as usize];
    let broker = world.rng.below(world.brokers.len() as u64) as usize;
    match world.rng.below(12) {
        0 => world.restart_keeper(keeper),
        1 => world.break_disk(keeper),
        2 if world.joining.is_none() => world.lose_disk(keeper),
        3 | 4 => {
            world.cut.insert(At::Keeper(keeper));
        }
        5 => {
            world.cut.insert(At::Broker(broker));
        }
        6 => world.crash_broker(broker),
        7 => world.start_broker(broker),
        8 => world.brokers[broker].stalled = world.now + world.rng.below(LEASE * 2),
        9 => world.leave(broker),
        10 => {
            world.take();
        }
        _ => {
            let receiver = world.rng.below(2) as usize;
            world.restart_receiver(receiver);
        }
    }
}

fn play(seed: u64, keepers: u64) -> (u64, usize) {
    let mut world = World::new(seed, keepers, 3);
    world.brokers.iter_mut().for_each(|b| b.holder.want());
    world.faults = (4, 4, 2);
    for _ in 0..24 {
        let pause = world.rng.below(LEASE);
        world.run(pause);
        if world.rng.percent(50) {
            world.cut.clear();
        }
        trouble(&mut world);
        for broker in world.holding() {
            world.work(broker);
        }
        assert!(world.checker.broken.is_empty(), "seed {seed}: {:?}", world.checker.broken);
    }
    // All is well again: somebody holds, and the keepers agree.
    world.faults = (0, 0, 0);
    world.cut.clear();
    (0..3).for_each(|b| world.start_broker(b));
    let found = world.until(LEASE * 20, |w| w.joining.is_none() && !w.holding().is_empty());
    assert!(found, "seed {seed}, {keepers} keepers: nobody holds in the end");
    world.run(LEASE * 2);
    assert!(world.checker.broken.is_empty(), "seed {seed}: {:?}", world.checker.broken);
    let leader = world.leader().expect("leads");
    let register = world.keeper(leader).register().clone();
    for id in world.keepers() {
        assert_eq!(world.keeper(id).register().holder_of(&world::duty()), register.holder_of(&world::duty()));
        assert_eq!(world.keeper(id).voters().len() as u64, keepers, "seed {seed}");
    }
    (world.granted.0, world.checker.seen.len())
}

#[test]
fn never_two_hold_and_somebody_does_in_the_end() {
    for keepers in [3, 5] {
        let played: Vec<_> = (0..25).map(|seed| play(seed, keepers)).collect();
        let grants: u64 = played.iter().map(|(grants, _)| grants).sum();
        println!("{keepers} keepers: {} runs, {grants} grants", played.len());
        assert!(grants > 100, "the runs did too little: {grants}");
    }
}

#[test]
fn without_a_majority_nobody_is_granted_anything_and_it_is_said() {
    let mut world = World::new(7, 3, 2);
    world.run(LEASE * 2);
    let leader = world.leader().expect("leads");
    let others: Vec<u64> = world.keepers().into_iter().filter(|k| *k != leader).collect();
    others.iter().for_each(|k| world.stop_keeper(*k));
    world.brokers.iter_mut().for_each(|b| b.holder.want());
    world.run(LEASE * 4);
    assert_eq!((world.granted.0, world.holding().len()), (0, 0));
    assert_eq!(world.keeper(leader).standing(), Standing::Leaderless);
    world.restart_keeper(others[0]);
    assert!(world.until(LEASE * 4, |w| !w.holding().is_empty()));
}

#[test]
fn a_keeper_without_its_disk_does_not_vote_until_it_has_caught_up() {
    let mut world = World::new(11, 3, 1);
    world.brokers[0].holder.want();
    assert!(world.until(LEASE * 4, |w| !w.holding().is_empty()));
    let leader = world.leader().expect("leads");
    let lost = world.keepers().into_iter().find(|k| *k != leader).expect("another");
    world.lose_disk(lost);
    let (new, _) = world.joining.expect("joins");
    assert_eq!(world.keeper(new).standing(), Standing::Learning);
    // Cut off, it is let in as a learner and no further.
    world.cut.insert(At::Keeper(new));
    world.run(LEASE * 2);
    assert!(!world.keeper(leader).voters().contains(&new));
    world.cut.clear();
    assert!(world.until(LEASE * 4, |w| w.joining.is_none()));
    world.run(LEASE);
    let register = world.keeper(leader).register().clone();
    assert_eq!(*world.keeper(new).register(), register);
    assert_eq!(world.keeper(new).voters().len(), 3);
}

#[test]
fn a_lease_that_came_with_a_snapshot_lapses_too() {
    let mut world = World::new(13, 3, 1);
    world.brokers[0].holder.want();
    assert!(world.until(LEASE * 4, |w| !w.holding().is_empty()));
    world.crash_broker(0);
    let leader = world.leader().expect("leads");
    let lost = world.keepers().into_iter().find(|k| *k != leader).expect("another");
    world.lose_disk(lost);
    // The change of keepers is the log's last entry, and a snapshot holds all up to there.
    assert!(world.until(LEASE / 2, |w| w.joining.is_none()));
    world.run(LEASE / 8);
    world.keepers().into_iter().for_each(|k| world.restart_keeper(k));
    world.run(LEASE * 4);
    let leader = world.leader().expect("leads");
    assert_eq!(
        world.keeper(leader).register().holder_of(&world::duty()).map(|(_, h)| h.cloned()),
        Some(None)
    );
}
