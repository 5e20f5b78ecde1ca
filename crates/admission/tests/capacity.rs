//! How descriptors move between clients and data servers, and what becomes of queries that lack connections.

use plover_admission::capacity::{
    ConnectionCapacity, Demand, Shortage, ShortageAction, SlidingMaximum, connections_needed, max_fan_out,
    shortage_action,
};
use plover_admission::descriptors::{DescriptorShares, ProcessDescriptors};
use proptest::prelude::*;

fn need(now: u64, recent: u64) -> Demand {
    Demand { now, recent }
}

fn room(limit: u64) -> ConnectionCapacity {
    ConnectionCapacity::new(ProcessDescriptors::default().divide(limit).unwrap(), u64::MAX)
}

/// 1,024 descriptors, 200 data servers, queries of up to 200 parts, however many of either side are in use: the division is
/// the one that there always was.
#[test]
fn todays_sizes_are_divided_as_they_were() {
    let usual = ProcessDescriptors::default().divide(1024).unwrap();
    for pool in 0..=usual.pool {
        for clients in [0, 1, 300, usual.clients] {
            assert_eq!(room(1024).divide(need(clients, clients), need(pool, pool)), usual);
        }
    }
}

/// The query of 400 parts that a third of 1,024 descriptors could not carry.
#[test]
fn a_wide_plan_gets_what_clients_do_not_need() {
    let room = room(1024);
    assert_eq!(room.divide(need(10, 10), need(400, 400)), DescriptorShares { clients: 590, pool: 400 });
    // Busy clients keep what they have, recent busy ones don't.
    assert_eq!(room.divide(need(650, 650), need(400, 400)), DescriptorShares { clients: 650, pool: 340 });
    assert_eq!(room.divide(need(10, 650), need(400, 400)), DescriptorShares { clients: 590, pool: 400 });
    // Clients keep their least share, whatever a plan wants.
    assert_eq!(room.divide(need(0, 0), need(5000, 5000)).clients, room.min_shares().clients);
    assert_eq!((room.min_shares().clients, room.max_pool()), (330, 660));
    // And the other way round.
    assert_eq!(room.divide(need(800, 800), need(20, 20)), DescriptorShares { clients: 800, pool: 190 });
    assert_eq!(room.divide(need(5000, 5000), need(0, 0)).pool, 165);
    // Both beyond: as usual.
    assert_eq!(room.divide(need(900, 900), need(900, 900)), DescriptorShares { clients: 660, pool: 330 });
}

/// Seats that the memory doesn't allow are no reason to keep descriptors from data servers.
#[test]
fn descriptors_that_clients_cannot_use_are_the_pools() {
    let usual = ProcessDescriptors::default().divide(12_000).unwrap();
    assert_eq!(ConnectionCapacity::new(usual, u64::MAX).max_pool(), 7978);
    assert_eq!(ConnectionCapacity::new(usual, 921).max_pool(), 11_046);
}

#[test]
fn the_widest_plan_is_what_the_settings_allow() {
    assert_eq!(
        [max_fan_out(690, 2800, 1000), max_fan_out(690, 1, 1000), max_fan_out(690, 700, 300)],
        [690, 1, 299]
    );
    assert_eq!(max_fan_out(8, 8, 0), 0);
    assert_eq!(
        [
            connections_needed(690, 1.0),
            connections_needed(690, 0.7),
            connections_needed(690, 0.0),
            connections_needed(10, 0.31)
        ],
        [690, 483, 0, 4]
    );
}

/// What a query's class asks for decides; a shortage of few is left to the next turn.
#[test]
fn a_query_that_lacks_connections_is_served_in_part_or_refused() {
    let plan = |servers: usize, lacking: usize, omitted_weight: f64| Shortage {
        missing_weight: lacking as f64 / 400.0,
        omitted_weight,
        missing_servers: lacking,
        servers,
    };
    // Wider than the pool: certain, however few are lacking.
    assert_eq!(shortage_action(&plan(400, 70, 0.0), 330, 1.0, 1.0), ShortageAction::Refuse);
    assert_eq!(shortage_action(&plan(331, 1, 0.0), 330, 1.0, 1.0), ShortageAction::Refuse);
    assert_eq!(shortage_action(&plan(400, 70, 0.0), 330, 1.0, 0.8), ShortageAction::Omit);
    assert_eq!(shortage_action(&plan(400, 81, 0.0), 330, 1.0, 0.8), ShortageAction::Refuse);
    assert_eq!(shortage_action(&plan(320, 70, 0.1), 330, 1.0, 0.8), ShortageAction::Refuse);
    // Whole without them.
    assert_eq!(shortage_action(&plan(400, 70, 0.0), 330, 0.8, 0.8), ShortageAction::Send);
    assert_eq!(shortage_action(&plan(400, 0, 0.0), 330, 1.0, 1.0), ShortageAction::Send);
    // The pool is full of others' just now: few may go by another holder, many may not.
    assert_eq!(shortage_action(&plan(2, 1, 0.0), 10, 1.0, 1.0), ShortageAction::Retry);
    assert_eq!(shortage_action(&plan(300, 20, 0.0), 330, 1.0, 1.0), ShortageAction::Retry);
    assert_eq!(shortage_action(&plan(300, 21, 0.0), 330, 1.0, 1.0), ShortageAction::Refuse);
    // An answer from nothing is none.
    assert_eq!(shortage_action(&plan(400, 400, 0.0), 0, 1.0, 0.0), ShortageAction::Refuse);
}

#[test]
fn the_highest_of_late_is_forgotten_in_time() {
    let mut peak = SlidingMaximum::new(10);
    assert_eq!([peak.observe(0, 5), peak.observe(4, 3), peak.observe(9, 1)], [5, 5, 5]);
    assert_eq!(peak.next_expiry(), Some(10));
    assert_eq!(
        [peak.observe(10, 1), peak.observe(14, 0), peak.observe(19, 0), peak.observe(20, 0)],
        [3, 1, 1, 0]
    );
}

proptest! {
    /// Whatever is needed: all of the room and no more is given, each side keeps its least share, what both need at this
    /// moment is given where that is possible, and nobody's share falls as its own need grows.
    #[test]
    fn a_division_keeps_its_bounds(
        limit in 64u64..70_000, most in prop_oneof![1u64..2000, Just(u64::MAX)],
        c in (0u64..80_000, 0u64..80_000), p in (0u64..80_000, 0u64..80_000), more in 0u64..1000,
    ) {
        let usual = ProcessDescriptors::default().divide(limit).unwrap();
        let room = ConnectionCapacity::new(usual, most);
        let (clients, pool) = (need(c.0, c.1), need(p.0, p.1));
        let shares = room.divide(clients, pool);
        prop_assert_eq!(shares.clients + shares.pool, usual.clients + usual.pool);
        prop_assert!(shares.clients >= room.min_shares().clients && shares.pool >= room.min_shares().pool);
        prop_assert!(shares.pool <= room.max_pool());
        let (low, high) = (clients.now.max(room.min_shares().clients), pool.now.max(room.min_shares().pool));
        if low + high <= room.total() {
            prop_assert!(shares.clients >= low && shares.pool >= high, "{:?}", shares);
        }
        if c.0.max(c.1) <= usual.clients && p.0.max(p.1) <= usual.pool {
            prop_assert_eq!(shares, usual);
        }
        for grown in [need(c.0 + more, c.1), need(c.0, c.1 + more)] {
            prop_assert!(room.divide(grown, pool).clients >= shares.clients);
        }
        for grown in [need(p.0 + more, p.1), need(p.0, p.1 + more)] {
            prop_assert!(room.divide(clients, grown).pool >= shares.pool);
        }
    }

    /// While shares move, both sides together never hold more than there is, whatever comes and goes in between.
    #[test]
    fn no_descriptor_is_given_twice_while_shares_move(
        limit in 64u64..3000,
        steps in prop::collection::vec((0u64..4000, 0u64..4000, 0u64..4000, 0u64..4000, 0u64..4000, 0u64..4000), 1..40),
    ) {
        let room = room(limit);
        let mut open = DescriptorShares { clients: 0, pool: 0 };
        for (cn, pn, c_opened, p_opened, c_closed, p_closed) in steps {
            let caps = room.caps(room.divide(need(cn, cn), need(pn, pn)), open);
            // Each side opens up to its cap, without a look at the other; what it holds beyond that it may keep.
            open.clients = open.clients.max(caps.clients.min(open.clients + c_opened));
            open.pool = open.pool.max(caps.pool.min(open.pool + p_opened));
            prop_assert!(open.clients + open.pool <= room.total(), "{:?}", open);
            open.clients -= c_closed.min(open.clients);
            open.pool -= p_closed.min(open.pool);
        }
    }

    /// The highest figure of a while is what a look at all of them finds, or, where more are kept apart than there is
    /// room for, no lower.
    #[test]
    fn a_peak_is_the_highest_of_its_while(figures in prop::collection::vec((0u64..4, 0u64..50), 1..300)) {
        let mut peak = SlidingMaximum::new(30);
        let (mut now, mut seen) = (0, Vec::new());
        for (after, figure) in figures {
            now += after;
            seen.push((now, figure));
            let highest = seen.iter().filter(|(at, _)| at + 30 > now).map(|(_, f)| *f).max().unwrap();
            let told = peak.observe(now, figure);
            prop_assert!(told >= highest);
            prop_assert!(told == highest || seen.len() > SlidingMaximum::MAX_ENTRIES);
        }
    }
}
