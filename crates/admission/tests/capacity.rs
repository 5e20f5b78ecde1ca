//! Division of descriptors between clients and data servers, and decisions on queries that lack connections.

use plover_admission::capacity::{
    ConnectionCapacity, Demand, Shortage, ShortageAction, SlidingMaximum, connections_needed, max_fan_out,
    shortage_action,
};
use plover_admission::descriptors::{DescriptorShares, ProcessDescriptors};
use proptest::prelude::*;

fn demand(now: u64, recent: u64) -> Demand {
    Demand { now, recent }
}

fn capacity(limit: u64) -> ConnectionCapacity {
    ConnectionCapacity::new(ProcessDescriptors::default().divide(limit).unwrap(), u64::MAX)
}

/// With 1,024 descriptors, neither side gets more than its usual share as long as both need no more than
/// that.
#[test]
fn demand_within_the_usual_shares_does_not_change_the_division() {
    let usual = ProcessDescriptors::default().divide(1024).unwrap();
    for pool in 0..=usual.pool {
        for clients in [0, 1, 300, usual.clients] {
            assert_eq!(capacity(1024).divide(demand(clients, clients), demand(pool, pool)), usual);
        }
    }
}

/// A query of 400 parts needs more connections than the usual third of 1,024 descriptors.
#[test]
fn a_wide_query_gets_descriptors_that_clients_do_not_need() {
    let capacity = capacity(1024);
    assert_eq!(
        capacity.divide(demand(10, 10), demand(400, 400)),
        DescriptorShares { clients: 587, pool: 400 }
    );
    // Clients keep what they need now, but not what they needed recently.
    assert_eq!(
        capacity.divide(demand(650, 650), demand(400, 400)),
        DescriptorShares { clients: 650, pool: 337 }
    );
    assert_eq!(
        capacity.divide(demand(10, 650), demand(400, 400)),
        DescriptorShares { clients: 587, pool: 400 }
    );
    // Clients keep their minimum share whatever the demand of the pool.
    assert_eq!(capacity.divide(demand(0, 0), demand(5000, 5000)).clients, capacity.min_shares().clients);
    assert_eq!((capacity.min_shares().clients, capacity.max_pool()), (329, 658));
    // The pool yields to clients in the same way.
    assert_eq!(
        capacity.divide(demand(800, 800), demand(20, 20)),
        DescriptorShares { clients: 800, pool: 187 }
    );
    assert_eq!(capacity.divide(demand(5000, 5000), demand(0, 0)).pool, 164);
    // If both sides need more than their usual shares, the usual division applies.
    assert_eq!(
        capacity.divide(demand(900, 900), demand(900, 900)),
        DescriptorShares { clients: 658, pool: 329 }
    );
}

/// The minimum share of clients contains no descriptors for connections for which there is no memory.
#[test]
fn descriptors_that_clients_cannot_use_go_to_the_pool() {
    let usual = ProcessDescriptors::default().divide(12_000).unwrap();
    assert_eq!(ConnectionCapacity::new(usual, u64::MAX).max_pool(), 7976);
    assert_eq!(ConnectionCapacity::new(usual, 921).max_pool(), 11_043);
}

#[test]
fn the_fan_out_is_limited_by_shards_cells_and_open_parts() {
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

/// The class's need and floor decide; a shortage of few connections is left to the next turn.
#[test]
fn a_query_that_lacks_connections_is_sent_retried_shortened_or_refused() {
    let shortage = |servers: usize, missing_servers: usize, omitted_weight: f64| Shortage {
        missing_weight: missing_servers as f64 / 400.0,
        omitted_weight,
        missing_servers,
        servers,
    };
    // A query to more servers than the pool can hold cannot be sent later either, however few connections it
    // lacks.
    assert_eq!(shortage_action(&shortage(400, 70, 0.0), 330, 1.0, 1.0), ShortageAction::Refuse);
    assert_eq!(shortage_action(&shortage(331, 1, 0.0), 330, 1.0, 1.0), ShortageAction::Refuse);
    assert_eq!(shortage_action(&shortage(400, 70, 0.0), 330, 1.0, 0.8), ShortageAction::Omit);
    assert_eq!(shortage_action(&shortage(400, 81, 0.0), 330, 1.0, 0.8), ShortageAction::Refuse);
    assert_eq!(shortage_action(&shortage(320, 70, 0.1), 330, 1.0, 0.8), ShortageAction::Refuse);
    // The answer is complete without the missing parts.
    assert_eq!(shortage_action(&shortage(400, 70, 0.0), 330, 0.8, 0.8), ShortageAction::Send);
    assert_eq!(shortage_action(&shortage(400, 0, 0.0), 330, 1.0, 1.0), ShortageAction::Send);
    // The pool is full at the moment: a few parts may be sent to another holder in the next turn, many may
    // not.
    assert_eq!(shortage_action(&shortage(2, 1, 0.0), 10, 1.0, 1.0), ShortageAction::Retry);
    assert_eq!(shortage_action(&shortage(300, 20, 0.0), 330, 1.0, 1.0), ShortageAction::Retry);
    assert_eq!(shortage_action(&shortage(300, 21, 0.0), 330, 1.0, 1.0), ShortageAction::Refuse);
    // A query that can send nothing is refused even with a floor of 0.
    assert_eq!(shortage_action(&shortage(400, 400, 0.0), 0, 1.0, 0.0), ShortageAction::Refuse);
}

#[test]
fn the_maximum_falls_as_values_expire() {
    let mut maximum = SlidingMaximum::new(10);
    assert_eq!([maximum.observe(0, 5), maximum.observe(4, 3), maximum.observe(9, 1)], [5, 5, 5]);
    assert_eq!(maximum.next_expiry(), Some(10));
    assert_eq!(
        [maximum.observe(10, 1), maximum.observe(14, 0), maximum.observe(19, 0), maximum.observe(20, 0)],
        [3, 1, 1, 0]
    );
}

proptest! {
    /// For any demand: all descriptors are assigned, each side keeps its minimum share, the current demand of
    /// both sides is met if possible, and a side's share does not fall as its own demand grows.
    #[test]
    fn a_division_keeps_its_bounds(
        limit in 64u64..70_000, max_clients in prop_oneof![1u64..2000, Just(u64::MAX)],
        c in (0u64..80_000, 0u64..80_000), p in (0u64..80_000, 0u64..80_000), more in 0u64..1000,
    ) {
        let usual = ProcessDescriptors::default().divide(limit).unwrap();
        let capacity = ConnectionCapacity::new(usual, max_clients);
        let (clients, pool) = (demand(c.0, c.1), demand(p.0, p.1));
        let shares = capacity.divide(clients, pool);
        prop_assert_eq!(shares.clients + shares.pool, usual.clients + usual.pool);
        prop_assert!(
            shares.clients >= capacity.min_shares().clients && shares.pool >= capacity.min_shares().pool
        );
        prop_assert!(shares.pool <= capacity.max_pool());
        let (needed_clients, needed_pool) =
            (clients.now.max(capacity.min_shares().clients), pool.now.max(capacity.min_shares().pool));
        if needed_clients + needed_pool <= capacity.total() {
            prop_assert!(shares.clients >= needed_clients && shares.pool >= needed_pool, "{:?}", shares);
        }
        if c.0.max(c.1) <= usual.clients && p.0.max(p.1) <= usual.pool {
            prop_assert_eq!(shares, usual);
        }
        for grown in [demand(c.0 + more, c.1), demand(c.0, c.1 + more)] {
            prop_assert!(capacity.divide(grown, pool).clients >= shares.clients);
        }
        for grown in [demand(p.0 + more, p.1), demand(p.0, p.1 + more)] {
            prop_assert!(capacity.divide(clients, grown).pool >= shares.pool);
        }
    }

    /// While the division changes, both sides together never have more descriptors open than there are, in
    /// whatever order connections are opened and closed.
    #[test]
    fn no_descriptor_is_assigned_twice_while_shares_change(
        limit in 64u64..3000,
        steps in prop::collection::vec(
            (0u64..4000, 0u64..4000, 0u64..4000, 0u64..4000, 0u64..4000, 0u64..4000), 1..40
        ),
    ) {
        let capacity = capacity(limit);
        let mut open = DescriptorShares { clients: 0, pool: 0 };
        for (clients_needed, pool_needed, c_opened, p_opened, c_closed, p_closed) in steps {
            let caps = capacity.caps(
                capacity.divide(demand(clients_needed, clients_needed), demand(pool_needed, pool_needed)),
                open,
            );
            // Each side opens connections up to its cap regardless of the other, and may keep those beyond
            // its cap.
            open.clients = open.clients.max(caps.clients.min(open.clients + c_opened));
            open.pool = open.pool.max(caps.pool.min(open.pool + p_opened));
            prop_assert!(open.clients + open.pool <= capacity.total(), "{:?}", open);
            open.clients -= c_closed.min(open.clients);
            open.pool -= p_closed.min(open.pool);
        }
    }

    /// The maximum equals that of all values within the window, or is no lower if values were merged.
    #[test]
    fn a_sliding_maximum_is_that_of_its_window(values in prop::collection::vec((0u64..4, 0u64..50), 1..300)) {
        let mut maximum = SlidingMaximum::new(30);
        let (mut now, mut seen) = (0, Vec::new());
        for (after, value) in values {
            now += after;
            seen.push((now, value));
            let expected = seen.iter().filter(|(at, _)| at + 30 > now).map(|(_, v)| *v).max().unwrap();
            let observed = maximum.observe(now, value);
            prop_assert!(observed >= expected);
            prop_assert!(observed == expected || seen.len() > SlidingMaximum::MAX_ENTRIES);
        }
    }
}
