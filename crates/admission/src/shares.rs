//! CapacityShares of capacity by connection.

use std::collections::BTreeMap;

/// Number of a client connection, never used twice.
pub type ConnectionId = u64;

/// A connection may hold up to so many times the capacity that is still free. This is the dynamic threshold by which
/// switches share a buffer among ports (Choudhury and Hahne, IEEE/ACM Transactions on Networking 6(2), 1998): one
/// greedy connection alone comes to hold two thirds, two of them two fifths each, and some capacity always stays free
/// for whoever holds nothing. It needs no count of who might still come.
const TIMES_FREE: usize = 2;

/// The capacity for queries and parts, and who holds it.
#[derive(Debug)]
pub struct CapacityShares {
    capacity: usize,
    in_use: usize,
    by_connection: BTreeMap<ConnectionId, usize>,
}

impl CapacityShares {
    /// So much capacity, in queries and parts together.
    pub fn new(capacity: usize) -> Self {
        CapacityShares { capacity, in_use: 0, by_connection: BTreeMap::new() }
    }

    /// Takes capacity for a query and its parts. False: the connection holds more than its share already. One that holds
    /// nothing is never turned away here, however full the capacity is; whether there is any left is not judged here.
    pub fn try_acquire(&mut self, connection: ConnectionId, units: usize) -> bool {
        let own = self.by_connection.get(&connection).copied().unwrap_or(0);
        let free = self.capacity.saturating_sub(self.in_use + units);
        if own > 0 && own + units > TIMES_FREE * free {
            return false;
        }
        self.in_use += units;
        *self.by_connection.entry(connection).or_insert(0) += units;
        true
    }

    /// Gives capacity back that [`CapacityShares::take`] took.
    pub fn release(&mut self, connection: ConnectionId, units: usize) {
        let Some(own) = self.by_connection.get_mut(&connection) else {
            debug_assert!(false, "connection {connection} gives back what it does not hold");
            return;
        };
        debug_assert!(units <= *own, "connection {connection} gives back {units} of {own}");
        let units = units.min(*own);
        *own -= units;
        self.in_use -= units;
        if *own == 0 {
            self.by_connection.remove(&connection);
        }
    }

    /// Other capacity, from now on; what is held stays.
    pub fn set_capacity(&mut self, capacity: usize) {
        self.capacity = capacity;
    }

    /// Queries and parts that are held.
    pub fn in_use(&self) -> usize {
        self.in_use
    }

    /// Connections that hold something.
    pub fn connection_count(&self) -> usize {
        self.by_connection.len()
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use proptest::prelude::*;

    /// Takes until turned away; how much that was.
    fn greedy(shares: &mut CapacityShares, connection: ConnectionId) -> usize {
        let before = shares.in_use();
        while shares.try_acquire(connection, 1) {}
        shares.in_use() - before
    }

    #[test]
    fn one_connection_leaves_room_for_others() {
        let mut shares = CapacityShares::new(300);
        assert_eq!(greedy(&mut shares, 1), 200);
        assert_eq!(greedy(&mut shares, 2), 66);
        assert!(shares.try_acquire(3, 4), "one that holds nothing found no capacity");
        let mut one_each = CapacityShares::new(300);
        assert!(
            (0..100).all(|c| one_each.try_acquire(c, 3)),
            "connections with one query each are no matter of shares"
        );
    }

    #[test]
    fn room_that_comes_back_is_there_for_whoever_asks() {
        let mut shares = CapacityShares::new(300);
        greedy(&mut shares, 1);
        greedy(&mut shares, 2);
        shares.release(1, 200);
        assert_eq!((shares.in_use(), shares.connection_count()), (66, 1));
        assert!(shares.try_acquire(2, 1));
    }

    proptest! {
        /// Whatever connections do: what is held is the sum of what each holds, one that holds nothing is always let
        /// in while less than all is taken, and a connection beyond its first query leaves a third of what is free.
        #[test]
        fn the_books_agree(moves in prop::collection::vec((0u64..6, 1usize..8, any::<bool>()), 0..400)) {
            let mut shares = CapacityShares::new(100);
            let mut books: BTreeMap<u64, Vec<usize>> = BTreeMap::new();
            for (c, units, give) in moves {
                let own = books.entry(c).or_default();
                if give {
                    if let Some(units) = own.pop() { shares.release(c, units); }
                } else if shares.try_acquire(c, units) {
                    own.push(units);
                    let sum: usize = own.iter().sum();
                    prop_assert!(own.len() == 1 || sum <= TIMES_FREE * 100usize.saturating_sub(shares.in_use()));
                } else {
                    prop_assert!(!own.is_empty());
                }
                prop_assert_eq!(shares.in_use(), books.values().flatten().sum::<usize>());
            }
        }
    }
}
