//! When the next turn begins.
//!
//! Parts that go to one server in one turn share a call, and each call costs the server work of its own, so that a
//! busy broker does well to gather for a while before it decides. An idle one gains nothing by it: nobody else is
//! there to share with, and its one client waits. The rule here goes by how many queries are in hand: one alone is
//! served at once, and the wait grows with each further one up to the most. And it goes by whether anything is still
//! awaited from the data servers: once all that is out has been answered, what is in hand waits for nobody but the
//! next turn, so that begins (RFC 896 holds small segments back by the same reasoning: only while something sent
//! before is not acknowledged). While servers are slow, something is always out and the gathering is whole; while they
//! are fast, calls shared would save them work that nobody waits for.
//!
//! It does not go by the rate of arrivals: a client that asks one query after another raises that rate as soon as it
//! is served at once, and the wait that follows lowers it again, so that such a rule swings to and fro.

use plover_model::time::Micros;

/// So many queries in hand beside the first make the wait the longest.
const CROWD: u64 = 8;

/// How turns are spaced.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Pacing {
    /// So far apart whatever is in hand.
    Fixed(Micros),
    /// At once where one query is in hand or nothing is awaited, up to so far apart where many are.
    Gather(Micros),
}

impl Pacing {
    /// The least time between the beginnings of two turns, with so many queries in hand (those that wait to be taken
    /// up included).
    pub fn interval(self, in_hand: usize) -> Micros {
        match self {
            Pacing::Fixed(gap) => gap,
            Pacing::Gather(most) => {
                let others = (in_hand as u64).saturating_sub(1).min(CROWD);
                most * others / CROWD
            }
        }
    }

    /// Whether news may bring the next turn forward.
    pub fn is_adaptive(self) -> bool {
        matches!(self, Pacing::Gather(_))
    }

    /// When the next turn begins at the earliest, after one that began at `last`: with so many queries in hand, and so
    /// many attempts out whose end is not known yet.
    pub fn next_turn_at(self, last: Micros, in_hand: usize, awaited: usize) -> Micros {
        if self.is_adaptive() && awaited == 0 {
            return last;
        }
        last.saturating_add(self.interval(in_hand))
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use proptest::prelude::*;

    #[test]
    fn one_query_alone_is_served_at_once_and_a_crowd_gathers() {
        let gaps = [0, 1, 2, 5, 9, 10_000].map(|n| Pacing::Gather(4000).interval(n));
        assert_eq!(gaps, [0, 0, 500, 2000, 4000, 4000]);
        assert_eq!([0, 1, 100].map(|n| Pacing::Fixed(5000).interval(n)), [5000; 3]);
    }

    /// A client that asks one query after another never has more than one in hand, however fast it is served: with
    /// a rule by rate its second query would wait.
    #[test]
    fn a_client_that_asks_in_turn_is_never_made_to_wait() {
        let pacing = Pacing::Gather(5000);
        let (mut now, mut waited) = (0, 0);
        for _ in 0..1000 {
            let start = pacing.next_turn_at(now, 1, 1).max(now);
            waited += start - now;
            now = start + 50;
        }
        assert_eq!(waited, 0);
    }

    #[test]
    fn once_all_that_is_out_has_ended_nobody_waits() {
        assert_eq!([0, 1, 2].map(|n| Pacing::Gather(4000).next_turn_at(100, 9, n)), [100, 4100, 4100]);
        assert_eq!([0, 1].map(|n| Pacing::Fixed(5000).next_turn_at(100, 9, n)), [5100; 2]);
    }

    proptest! {
        #[test]
        fn the_wait_never_shrinks_with_more_in_hand_nor_passes_the_most(most in 0u64..50_000, a in 0usize..5000, b in 0usize..5000) {
            let pacing = Pacing::Gather(most);
            prop_assert!(pacing.interval(a.min(b)) <= pacing.interval(a.max(b)));
            prop_assert!(pacing.interval(a) <= most);
        }
    }
}
