//! Divides the capacity for open queries and parts among client connections.

use std::collections::BTreeMap;

/// Number of a client connection. Numbers are not reused.
pub type ConnectionId = u64;

/// A connection may use up to this multiple of the capacity that is still free. This is the dynamic threshold
/// with which switches share a buffer among ports (Choudhury and Hahne, IEEE/ACM Transactions on Networking
/// 6(2), 1998): a single greedy connection gets two thirds of the capacity, two greedy connections two fifths
/// each, and some capacity always stays free for connections that use none. The number of connections that
/// may still come need not be known.
const FREE_MULTIPLE: usize = 2;

/// Capacity for open queries and parts, counted together as units, and its use by each connection.
#[derive(Debug)]
pub struct CapacityShares {
    capacity: usize,
    in_use: usize,
    by_connection: BTreeMap<ConnectionId, usize>,
}

impl CapacityShares {
    /// Creates an unused capacity of this number of units.
    pub fn new(capacity: usize) -> Self {
        CapacityShares { capacity, in_use: 0, by_connection: BTreeMap::new() }
    }

    /// Acquires units for a query and its parts. Returns `false` if the connection would exceed its share. A
    /// connection that uses no units is always admitted: whether any capacity is left is not checked here.
    pub fn try_acquire(&mut self, connection: ConnectionId, units: usize) -> bool {
        let in_use = self.by_connection.get(&connection).copied().unwrap_or(0);
        let free = self.capacity.saturating_sub(self.in_use + units);
        if in_use > 0 && in_use + units > FREE_MULTIPLE * free {
            return false;
        }
        self.in_use += units;
        *self.by_connection.entry(connection).or_insert(0) += units;
        true
    }

    /// Releases units that [`CapacityShares::try_acquire`] acquired.
    pub fn release(&mut self, connection: ConnectionId, units: usize) {
        let Some(in_use) = self.by_connection.get_mut(&connection) else {
            debug_assert!(false, "connection {connection} releases {units} units but has none in use");
            return;
        };
        debug_assert!(units <= *in_use, "connection {connection} releases {units} units of {in_use}");
        let units = units.min(*in_use);
        *in_use -= units;
        self.in_use -= units;
        if *in_use == 0 {
            self.by_connection.remove(&connection);
        }
    }

    /// Changes the capacity. Units in use stay in use.
    pub fn set_capacity(&mut self, capacity: usize) {
        self.capacity = capacity;
    }

    /// Returns the number of units in use.
    pub fn in_use(&self) -> usize {
        self.in_use
    }

    /// Returns the number of connections that use any units.
    pub fn connection_count(&self) -> usize {
        self.by_connection.len()
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use proptest::prelude::*;

    /// Acquires units one by one until rejected, and returns how many were acquired.
    fn acquire_all(shares: &mut CapacityShares, connection: ConnectionId) -> usize {
        let before = shares.in_use();
        while shares.try_acquire(connection, 1) {}
        shares.in_use() - before
    }

    #[test]
    fn one_connection_leaves_capacity_for_others() {
        let mut shares = CapacityShares::new(300);
        assert_eq!(acquire_all(&mut shares, 1), 200);
        assert_eq!(acquire_all(&mut shares, 2), 66);
        assert!(shares.try_acquire(3, 4), "a connection without units in use was rejected");
        let mut one_each = CapacityShares::new(300);
        assert!((0..100).all(|c| one_each.try_acquire(c, 3)), "a connection's first query was rejected");
    }

    #[test]
    fn released_capacity_is_available_to_any_connection() {
        let mut shares = CapacityShares::new(300);
        acquire_all(&mut shares, 1);
        acquire_all(&mut shares, 2);
        shares.release(1, 200);
        assert_eq!((shares.in_use(), shares.connection_count()), (66, 1));
        assert!(shares.try_acquire(2, 1));
    }

    proptest! {
        /// For any sequence of calls: the units in use are the sum over all connections, a connection without
        /// units in use is always admitted, and a connection with more than one query stays within its
        /// multiple of what is free.
        #[test]
        fn units_in_use_add_up_and_shares_are_kept(
            moves in prop::collection::vec((0u64..6, 1usize..8, any::<bool>()), 0..400),
        ) {
            let mut shares = CapacityShares::new(100);
            let mut expected: BTreeMap<u64, Vec<usize>> = BTreeMap::new();
            for (c, units, release) in moves {
                let queries = expected.entry(c).or_default();
                if release {
                    if let Some(units) = queries.pop() { shares.release(c, units); }
                } else if shares.try_acquire(c, units) {
                    queries.push(units);
                    let sum: usize = queries.iter().sum();
                    prop_assert!(
                        queries.len() == 1 || sum <= FREE_MULTIPLE * 100usize.saturating_sub(shares.in_use())
                    );
                } else {
                    prop_assert!(!queries.is_empty());
                }
                prop_assert_eq!(shares.in_use(), expected.values().flatten().sum::<usize>());
            }
        }
    }
}
