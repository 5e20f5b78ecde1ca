//! Rates and what may be in hand, by the sections of the operator's file that set them, in injected time.
//!
//! One [`QueryLimiter`] owns all counts. A query that is let in holds a [`Permit`], and [`QueryLimiter::release`] is the one place where
//! that comes back: it counts by its section's name, not by the limit, so that a limit that was changed or taken out of the
//! file while its queries are in hand loses none and gets none too many.

mod bucket;

pub use bucket::TokenBucket;

use plover_model::query::{LimitScope, QueryLimits, Rate};
use plover_model::time::{Micros, SECOND};
use std::collections::BTreeMap;

/// Most buckets that are kept. A full one says nothing and is dropped first; beyond that, tenants share the last.
pub const MAX_BUCKETS: usize = 4096;
/// Full ones are looked for so often at the most: new names without end must not cost a look at all of them each.
const SWEEPS: Micros = SECOND / 10;
/// Where a limit in hand says nothing of when room comes back, a client is asked back after so long.
const IN_HAND_WAIT: Micros = SECOND / 2;

/// What a query that was let in holds. It has to be given back.
#[derive(Debug, Default, PartialEq, Eq)]
#[must_use = "it has to be given back"]
pub struct Permit(Option<LimitScope>);

impl Permit {
    /// The section that counts it, if one does.
    pub fn owner(&self) -> Option<&LimitScope> {
        self.0.as_ref()
    }
}

/// A query that is not let in.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct LimitExceeded {
    /// The section whose limit it would pass.
    pub owner: LimitScope,
    /// The limit's keyword.
    pub limit: &'static str,
    /// When to come back.
    pub retry_after: Micros,
    /// Whether it was its own rate, or one shared with other tenants, for want of room for more buckets.
    pub shared: bool,
}

/// All counts of rates and of queries in hand.
#[derive(Debug)]
pub struct QueryLimiter {
    in_hand: BTreeMap<LimitScope, u32>,
    buckets: BTreeMap<(LimitScope, usize), (Rate, TokenBucket)>,
    /// The bucket that all tenants share, of whatever section, who find no room for one of their own.
    others: Option<(Rate, TokenBucket)>,
    /// Before this, full buckets are not looked for again.
    next_sweep: Micros,
    /// Processes that are this broker together: each takes for all.
    processes: u32,
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

impl QueryLimiter {
    /// Nothing in hand; the seed spreads when clients are asked back.
    pub fn new(seed: u64) -> Self {
        QueryLimiter {
            in_hand: BTreeMap::new(),
            buckets: BTreeMap::new(),
            others: None,
            next_sweep: 0,
            processes: 1,
            seed,
            refused: 0,
        }
    }

    /// Lets a query of a tenant in, or says when it may come back. A query that its limit in hand turns away costs its
    /// tenant no token.
    pub fn admit(
        &mut self,
        now: Micros,
        limits: &QueryLimits,
        tenant: usize,
    ) -> Result<Permit, LimitExceeded> {
        self.admit_with_siblings(now, limits, tenant, |_| 0)
    }

    /// So many processes are this broker from now on: while there are several, a query costs a token for each, so that
    /// all together let no more in than one would.
    pub fn set_process_count(&mut self, processes: u32) {
        self.processes = processes.max(1);
    }

    /// The same, where other processes of this broker have so many queries in hand that count for a section.
    pub fn admit_with_siblings(
        &mut self,
        now: Micros,
        limits: &QueryLimits,
        tenant: usize,
        elsewhere: impl Fn(&LimitScope) -> u32,
    ) -> Result<Permit, LimitExceeded> {
        if let Some((owner, most)) = &limits.max_open
            && self.in_flight(owner).saturating_add(elsewhere(owner)) >= *most
        {
            return Err(self.refuse(owner, "most-in-hand", IN_HAND_WAIT, false));
        }
        if let Some((owner, rate)) = &limits.rate {
            // A bucket that never holds so many would let none in at all.
            let cost = self.processes.min(rate.burst);
            let bucket = self.bucket(now, owner, *rate, tenant);
            if !bucket.try_take(now, cost) {
                let wait = bucket.time_until(cost).unwrap_or(SECOND);
                let shared = !self.buckets.contains_key(&(owner.clone(), tenant));
                return Err(self.refuse(owner, "rate", wait, shared));
            }
        }
        let owner = limits.max_open.as_ref().map(|(owner, _)| owner.clone());
        if let Some(owner) = &owner {
            *self.in_hand.entry(owner.clone()).or_default() += 1;
        }
        Ok(Permit(owner))
    }

    /// Takes back what a query held.
    pub fn release(&mut self, permit: Permit) {
        let Some(owner) = permit.0 else { return };
        match self.in_hand.get_mut(&owner) {
            Some(n) if *n > 1 => *n -= 1,
            Some(_) => _ = self.in_hand.remove(&owner),
            None => debug_assert!(false, "{owner} gets back what it did not give"),
        }
    }

    /// Others begin at these tenants' indices: the tokens that the tenants before took are none of theirs.
    pub fn remove_tenants(&mut self, tenants: &[usize]) {
        self.buckets.retain(|(_, tenant), _| !tenants.contains(tenant));
    }

    /// Queries in hand that count for a section.
    pub fn in_flight(&self, owner: &LimitScope) -> u32 {
        self.in_hand.get(owner).copied().unwrap_or(0)
    }

    /// Buckets that are kept.
    pub fn bucket_count(&self) -> usize {
        self.buckets.len()
    }

    /// Those who are turned away together must not all come back together: up to half as long again.
    fn refuse(
        &mut self,
        owner: &LimitScope,
        limit: &'static str,
        wait: Micros,
        shared: bool,
    ) -> LimitExceeded {
        self.refused = self.refused.wrapping_add(1);
        let spread = mix(self.seed ^ self.refused) % (wait / 2 + 1);
        LimitExceeded { owner: owner.clone(), limit, retry_after: wait + spread, shared }
    }

    fn bucket(&mut self, now: Micros, owner: &LimitScope, rate: Rate, tenant: usize) -> &mut TokenBucket {
        let key = (owner.clone(), tenant);
        let made = || (rate, TokenBucket::new(now, rate.burst, rate.per_second));
        if !self.buckets.contains_key(&key) && self.buckets.len() >= MAX_BUCKETS && now >= self.next_sweep {
            self.next_sweep = now + SWEEPS;
            self.buckets.retain(|_, (_, bucket)| !bucket.is_full(now));
        }
        let (had, bucket) = if self.buckets.len() >= MAX_BUCKETS && !self.buckets.contains_key(&key) {
            self.others.get_or_insert_with(made)
        } else {
            self.buckets.entry(key).or_insert_with(made)
        };
        if *had != rate {
            bucket.reconfigure(now, rate.burst, rate.per_second);
            *had = rate;
        }
        bucket
    }
}

#[cfg(test)]
mod tests;
