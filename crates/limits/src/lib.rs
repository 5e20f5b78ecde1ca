//! Rates and what may be in hand, by the sections of the operator's file that set them, in injected time.
//!
//! One [`Gate`] owns all counts. A query that is let in holds a [`Permit`], and [`Gate::give_back`] is the one place where
//! that comes back: it counts by its section's name, not by the limit, so that a limit that was changed or taken out of the
//! file while its queries are in hand loses none and gets none too many.

mod bucket;

pub use bucket::Bucket;

use plover_model::query::{Owner, QueryLimits, Rate};
use plover_model::time::{Micros, SECOND};
use std::collections::BTreeMap;

/// Most buckets that are kept. A full one says nothing and is dropped first; beyond that, tenants share the last.
pub const MOST_BUCKETS: usize = 4096;
/// Full ones are looked for so often at the most: new names without end must not cost a look at all of them each.
const SWEEPS: Micros = SECOND / 10;
/// Where a limit in hand says nothing of when room comes back, a client is asked back after so long.
const IN_HAND_WAIT: Micros = SECOND / 2;

/// What a query that was let in holds. It has to be given back.
#[derive(Debug, Default, PartialEq, Eq)]
#[must_use = "it has to be given back"]
pub struct Permit(Option<Owner>);

impl Permit {
    /// The section that counts it, if one does.
    pub fn owner(&self) -> Option<&Owner> {
        self.0.as_ref()
    }
}

/// A query that is not let in.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Refused {
    /// The section whose limit it would pass.
    pub owner: Owner,
    /// The limit's keyword.
    pub limit: &'static str,
    /// When to come back.
    pub wait: Micros,
}

/// All counts of rates and of queries in hand.
#[derive(Debug)]
pub struct Gate {
    in_hand: BTreeMap<Owner, u32>,
    buckets: BTreeMap<(Owner, usize), (Rate, Bucket)>,
    /// The bucket that all tenants share, of whatever section, who find no room for one of their own.
    others: Option<(Rate, Bucket)>,
    /// Before this, full buckets are not looked for again.
    next_sweep: Micros,
    /// Processes that are this broker together: each takes for all.
    copies: u32,
    seed: u64,
    refused: u64,
}

/// A number that looks like none before it (SplitMix64, Steele, Lea and Flood, OOPSLA 2014).
fn mix(n: u64) -> u64 {
    let z = n.wrapping_mul(0x9e37_79b9_7f4a_7c15);
    let z = (z ^ (z >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    let z = (z ^ (z >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    z ^ (z >> 31)
}

impl Gate {
    /// Nothing in hand; the seed spreads when clients are asked back.
    pub fn new(seed: u64) -> Self {
        Gate {
            in_hand: BTreeMap::new(),
            buckets: BTreeMap::new(),
            others: None,
            next_sweep: 0,
            copies: 1,
            seed,
            refused: 0,
        }
    }

    /// Lets a query of a tenant in, or says when it may come back. A query that its limit in hand turns away costs its
    /// tenant no token.
    pub fn take(&mut self, now: Micros, limits: &QueryLimits, tenant: usize) -> Result<Permit, Refused> {
        self.take_beside(now, limits, tenant, |_| 0)
    }

    /// So many processes are this broker from now on: while there are several, a query costs a token for each, so that
    /// all together let no more in than one would.
    pub fn set_copies(&mut self, copies: u32) {
        self.copies = copies.max(1);
    }

    /// The same, where other processes of this broker have so many queries in hand that count for a section.
    pub fn take_beside(
        &mut self,
        now: Micros,
        limits: &QueryLimits,
        tenant: usize,
        elsewhere: impl Fn(&Owner) -> u32,
    ) -> Result<Permit, Refused> {
        if let Some((owner, most)) = &limits.most_in_hand
            && self.in_hand(owner).saturating_add(elsewhere(owner)) >= *most
        {
            return Err(self.refuse(owner, "most-in-hand", IN_HAND_WAIT));
        }
        if let Some((owner, rate)) = &limits.rate {
            // A bucket that never holds so many would let none in at all.
            let cost = self.copies.min(rate.burst);
            let bucket = self.bucket(now, owner, *rate, tenant);
            if !bucket.take(now, cost) {
                let wait = bucket.wait(cost).unwrap_or(SECOND);
                return Err(self.refuse(owner, "rate", wait));
            }
        }
        let owner = limits.most_in_hand.as_ref().map(|(owner, _)| owner.clone());
        if let Some(owner) = &owner {
            *self.in_hand.entry(owner.clone()).or_default() += 1;
        }
        Ok(Permit(owner))
    }

    /// Takes back what a query held.
    pub fn give_back(&mut self, permit: Permit) {
        let Some(owner) = permit.0 else { return };
        match self.in_hand.get_mut(&owner) {
            Some(n) if *n > 1 => *n -= 1,
            Some(_) => _ = self.in_hand.remove(&owner),
            None => debug_assert!(false, "{owner} gets back what it did not give"),
        }
    }

    /// Queries in hand that count for a section.
    pub fn in_hand(&self, owner: &Owner) -> u32 {
        self.in_hand.get(owner).copied().unwrap_or(0)
    }

    /// Buckets that are kept.
    pub fn buckets(&self) -> usize {
        self.buckets.len()
    }

    /// Those who are turned away together must not all come back together: up to half as long again.
    fn refuse(&mut self, owner: &Owner, limit: &'static str, wait: Micros) -> Refused {
        self.refused = self.refused.wrapping_add(1);
        let spread = mix(self.seed ^ self.refused) % (wait / 2 + 1);
        Refused { owner: owner.clone(), limit, wait: wait + spread }
    }

    fn bucket(&mut self, now: Micros, owner: &Owner, rate: Rate, tenant: usize) -> &mut Bucket {
        let key = (owner.clone(), tenant);
        let made = || (rate, Bucket::new(now, rate.burst, rate.per_second));
        if !self.buckets.contains_key(&key) && self.buckets.len() >= MOST_BUCKETS && now >= self.next_sweep {
            self.next_sweep = now + SWEEPS;
            self.buckets.retain(|_, (_, bucket)| !bucket.is_full(now));
        }
        let (had, bucket) = if self.buckets.len() >= MOST_BUCKETS && !self.buckets.contains_key(&key) {
            self.others.get_or_insert_with(made)
        } else {
            self.buckets.entry(key).or_insert_with(made)
        };
        if *had != rate {
            bucket.retune(now, rate.burst, rate.per_second);
            *had = rate;
        }
        bucket
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use proptest::prelude::*;

    fn owner() -> Owner {
        "class lookup".into()
    }

    fn in_hand(most: u32) -> QueryLimits {
        QueryLimits { most_in_hand: Some((owner(), most)), ..QueryLimits::default() }
    }

    fn rate(per_second: u32, burst: u32) -> QueryLimits {
        QueryLimits { rate: Some((owner(), Rate { per_second, burst })), ..QueryLimits::default() }
    }

    #[test]
    fn what_is_in_hand_is_bounded_and_comes_back() {
        let mut gate = Gate::new(1);
        let mut held: Vec<Permit> = (0..2).map(|_| gate.take(0, &in_hand(2), 0).unwrap()).collect();
        let refused = gate.take(0, &in_hand(2), 0).unwrap_err();
        assert_eq!((refused.limit, &refused.owner), ("most-in-hand", &owner()));
        gate.give_back(held.pop().unwrap());
        held.push(gate.take(0, &in_hand(2), 0).unwrap());
        // The limit sinks under what is out on it, is 0, and is taken out of the file: nothing is lost, and it holds.
        assert!(gate.take(0, &in_hand(1), 0).is_err() && gate.take(0, &in_hand(0), 0).is_err());
        let free = gate.take(0, &QueryLimits::default(), 0).unwrap();
        gate.give_back(free);
        held.into_iter().for_each(|permit| gate.give_back(permit));
        assert_eq!(gate.in_hand(&owner()), 0);
        assert!(gate.take(0, &in_hand(0), 0).is_err(), "a limit of none lets none in");
    }

    #[test]
    fn a_tenant_has_its_burst_after_a_silence_and_its_rate_from_then_on() {
        let mut gate = Gate::new(1);
        let limits = rate(10, 3);
        let let_in =
            |gate: &mut Gate, now, tenant| (0..9).filter(|_| gate.take(now, &limits, tenant).is_ok()).count();
        assert_eq!(let_in(&mut gate, 0, 0), 3);
        assert_eq!(let_in(&mut gate, 0, 1), 3, "another tenant has its own");
        assert_eq!(let_in(&mut gate, 100_000, 0), 1);
        assert_eq!(let_in(&mut gate, 50_000, 0), 0, "a clock that goes back brings none");
        assert_eq!(let_in(&mut gate, 3600 * SECOND, 0), 3, "no more than a burst after an hour");
    }

    #[test]
    fn a_new_rate_holds_at_once_without_a_new_burst() {
        let mut gate = Gate::new(1);
        while gate.take(0, &rate(1, 5), 0).is_ok() {}
        assert!(gate.take(0, &rate(1000, 50), 0).is_err());
        assert!(gate.take(1000, &rate(1000, 50), 0).is_ok() && gate.take(1000, &rate(1000, 50), 0).is_err());
    }

    /// Whoever is turned away in the same moment is asked back at different ones, none before there is a token.
    #[test]
    fn those_turned_away_are_spread() {
        let mut gate = Gate::new(7);
        let limits = rate(1, 1);
        drop(gate.take(0, &limits, 0).unwrap());
        let waits: std::collections::BTreeSet<Micros> =
            (0..50).map(|_| gate.take(0, &limits, 0).unwrap_err().wait).collect();
        assert!(waits.len() > 40 && waits.iter().all(|w| (SECOND..=SECOND * 3 / 2).contains(w)), "{waits:?}");
    }

    /// A million names leave no more behind than the most, and each that has not asked before is let in at least with the
    /// others' rate.
    #[test]
    fn a_million_tenants_leave_a_bounded_trace() {
        let mut gate = Gate::new(1);
        let limits = rate(1, 1);
        let mut let_in = 0;
        for tenant in 0..1_000_000 {
            let_in += usize::from(gate.take(tenant as Micros * 100, &limits, tenant).is_ok());
            assert!(gate.buckets() <= MOST_BUCKETS);
        }
        // 100 seconds: buckets come free a second after they were used, or a little later.
        assert!(let_in >= 100 * MOST_BUCKETS * 3 / 4, "{let_in}");
    }

    proptest! {
        /// Whatever limits come and go, what a section has in hand is what was let in and not given back.
        #[test]
        fn every_permit_comes_back_once(steps in prop::collection::vec((0u8..3, 0u32..4, 0usize..3), 0..200)) {
            let mut gate = Gate::new(3);
            let owners: [Owner; 2] = ["a".into(), "b".into()];
            let mut held: Vec<(Option<usize>, Permit)> = Vec::new();
            for (kind, most, n) in steps {
                let limits = match n {
                    2 => QueryLimits::default(),
                    n => QueryLimits { most_in_hand: Some((owners[n].clone(), most)), ..QueryLimits::default() },
                };
                if kind > 0 {
                    let before = owners.get(n).map_or(0, |o| gate.in_hand(o));
                    let permit = gate.take(0, &limits, 0);
                    prop_assert_eq!(permit.is_ok(), n == 2 || before < most);
                    held.extend(permit.ok().map(|p| (Some(n).filter(|n| *n < 2), p)));
                } else if !held.is_empty() {
                    let place = most as usize % held.len();
                    gate.give_back(held.swap_remove(place).1);
                }
                for (n, owner) in owners.iter().enumerate() {
                    let count = held.iter().filter(|(o, _)| *o == Some(n)).count();
                    prop_assert_eq!(gate.in_hand(owner) as usize, count);
                }
            }
        }
    }

    /// Two processes that are one broker let in together no more than one would.
    #[test]
    fn processes_share_tokens_and_what_is_in_hand() {
        let limits = rate(1, 5);
        let let_in = |copies: u32| {
            let mut gate = Gate::new(1);
            gate.set_copies(copies);
            (0..9).filter(|_| gate.take(0, &limits, 0).is_ok()).count() as u32
        };
        assert_eq!(let_in(1), 5);
        assert!((2..5).all(|copies| copies * let_in(copies) <= 5));
        assert!(let_in(9) >= 1, "a burst of less than the processes lets one in all the same");
        let mut gate = Gate::new(1);
        assert!(gate.take_beside(0, &in_hand(2), 0, |_| 2).is_err());
        let permit = gate.take_beside(0, &in_hand(2), 0, |_| 1).unwrap();
        assert!(gate.take_beside(0, &in_hand(2), 0, |_| 1).is_err());
        gate.give_back(permit);
    }
}
