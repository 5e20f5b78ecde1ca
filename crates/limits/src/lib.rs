//! Limits of the query rate and of the number of open queries, as set by sections of the operator's
//! file. The caller passes the current time.
//!
//! One [`QueryLimiter`] keeps all counts. Each admitted query holds a [`Permit`], which only
//! [`QueryLimiter::release`] takes back. Queries are counted by the name of the section, not by the limit, so
//! that the count stays correct if the limit is changed or removed from the file while queries are open.

mod bucket;

pub use bucket::TokenBucket;

use plover_model::query::{LimitScope, QueryLimits, Rate};
use plover_model::time::{Micros, SECOND};
use std::collections::BTreeMap;

/// Maximum number of token buckets that are kept. Full buckets carry no information and are removed first;
/// beyond that, further tenants share one bucket.
pub const MAX_BUCKETS: usize = 4096;
/// Minimum time between two searches for full buckets, so that an endless sequence of new tenants does not
/// cost a search of all buckets each.
const SWEEP_INTERVAL: Micros = SECOND / 10;
/// Retry advice for a query that exceeds a limit of open queries, where it is unknown when one of them
/// will end.
const OPEN_QUERIES_RETRY: Micros = SECOND / 2;

/// Counts one admitted query. It must be released when the query ends.
#[derive(Debug, Default, PartialEq, Eq)]
#[must_use = "it has to be released"]
pub struct Permit(Option<LimitScope>);

impl Permit {
    /// Returns the section that counts the query; `None` if no section limits its open queries.
    pub fn owner(&self) -> Option<&LimitScope> {
        self.0.as_ref()
    }
}

/// The reason why a query is not admitted.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct LimitExceeded {
    /// The section whose limit is exceeded.
    pub owner: LimitScope,
    /// The keyword of the limit in the operator's file.
    pub limit: &'static str,
    /// Time after which the client may retry.
    pub retry_after: Micros,
    /// Whether the tenant shares the exceeded rate with other tenants, because no more buckets are kept.
    pub shared: bool,
}

/// Admits queries within the limits that are set for them.
#[derive(Debug)]
pub struct QueryLimiter {
    /// Number of open queries by section.
    open_queries: BTreeMap<LimitScope, u32>,
    /// Rates by section and tenant.
    buckets: BTreeMap<(LimitScope, usize), (Rate, TokenBucket)>,
    /// The bucket that tenants of all sections share once [`MAX_BUCKETS`] are in use.
    overflow: Option<(Rate, TokenBucket)>,
    /// Earliest time of the next search for full buckets.
    next_sweep: Micros,
    /// Number of processes of this broker. Each process takes tokens for all of them.
    processes: u32,
    /// Time at which all buckets that are not known are assumed to have been empty, because a predecessor
    /// does not report its own.
    emptied_at: Option<Micros>,
    seed: u64,
    /// Number of rejected queries, which varies the retry advice.
    rejected: u64,
}

/// Returns a pseudo-random number (SplitMix64; Steele, Lea and Flood, OOPSLA 2014).
fn mix(n: u64) -> u64 {
    let z = n.wrapping_mul(0x9e37_79b9_7f4a_7c15);
    let z = (z ^ (z >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    let z = (z ^ (z >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    z ^ (z >> 31)
}

impl QueryLimiter {
    /// Creates a limiter without open queries. The seed determines how retry advice is spread over time.
    pub fn new(seed: u64) -> Self {
        QueryLimiter {
            open_queries: BTreeMap::new(),
            buckets: BTreeMap::new(),
            overflow: None,
            next_sweep: 0,
            processes: 1,
            emptied_at: None,
            seed,
            rejected: 0,
        }
    }

    /// Admits a query of a tenant, or returns when it may be retried. A query that is rejected by a limit of
    /// open queries costs its tenant no token.
    pub fn admit(
        &mut self,
        now: Micros,
        limits: &QueryLimits,
        tenant: usize,
    ) -> Result<Permit, LimitExceeded> {
        self.admit_with_siblings(now, limits, tenant, |_| 0)
    }

    /// Sets the number of processes of this broker. While there are several, a query costs a token for each
    /// of them, but no more than the burst, so that all of them together admit no more than a single process
    /// would as long as their number does not exceed the burst.
    pub fn set_process_count(&mut self, processes: u32) {
        self.processes = processes.max(1);
    }

    /// Like [`QueryLimiter::admit`], but also counts the queries that sibling processes have open:
    /// `siblings` returns their number for a section.
    pub fn admit_with_siblings(
        &mut self,
        now: Micros,
        limits: &QueryLimits,
        tenant: usize,
        siblings: impl Fn(&LimitScope) -> u32,
    ) -> Result<Permit, LimitExceeded> {
        if let Some((owner, max)) = &limits.max_open
            && self.open_queries(owner).saturating_add(siblings(owner)) >= *max
        {
            return Err(self.reject(owner, "most-in-hand", OPEN_QUERIES_RETRY, false));
        }
        if let Some((owner, rate)) = &limits.rate {
            // A cost beyond the burst would admit no query at all.
            let cost = self.processes.min(rate.burst);
            let bucket = self.bucket(now, owner, *rate, tenant);
            if !bucket.try_take(now, cost) {
                let wait = bucket.time_until(cost).unwrap_or(SECOND);
                let shared = !self.buckets.contains_key(&(owner.clone(), tenant));
                return Err(self.reject(owner, "rate", wait, shared));
            }
        }
        let owner = limits.max_open.as_ref().map(|(owner, _)| owner.clone());
        if let Some(owner) = &owner {
            *self.open_queries.entry(owner.clone()).or_default() += 1;
        }
        Ok(Permit(owner))
    }

    /// Takes back the permit of a query that has ended.
    pub fn release(&mut self, permit: Permit) {
        let Some(owner) = permit.0 else { return };
        match self.open_queries.get_mut(&owner) {
            Some(n) if *n > 1 => *n -= 1,
            Some(_) => _ = self.open_queries.remove(&owner),
            None => debug_assert!(false, "a permit of {owner} was released, but no query of it is open"),
        }
    }

    /// Removes the buckets of these tenants, whose indices are reassigned: tokens that the previous tenants
    /// took must not count for the new ones.
    pub fn remove_tenants(&mut self, tenants: &[usize]) {
        self.buckets.retain(|(_, tenant), _| !tenants.contains(tenant));
    }

    /// Returns the rates of single tenants whose buckets are not full, and the level of each bucket in
    /// millionths of a token, for a successor process.
    pub fn levels(&self, now: Micros) -> impl Iterator<Item = (&LimitScope, usize, Rate, u64)> {
        let used = self.buckets.iter().filter(move |(_, (_, bucket))| !bucket.is_full(now));
        used.map(move |((owner, tenant), (rate, bucket))| (owner, *tenant, *rate, bucket.level(now)))
    }

    /// Lowers a bucket to the level that a predecessor process reported.
    pub fn restore_level(&mut self, now: Micros, owner: &LimitScope, tenant: usize, rate: Rate, level: u64) {
        self.bucket(now, owner, rate, tenant).lower(now, level);
    }

    /// Assumes that all buckets are empty at time `now`, because a predecessor does not report its own.
    pub fn assume_empty(&mut self, now: Micros) {
        self.emptied_at = Some(now);
        let buckets = self.buckets.values_mut().chain(&mut self.overflow);
        buckets.for_each(|(_, bucket)| bucket.lower(now, 0));
    }

    /// Returns the number of open queries that count for a section.
    pub fn open_queries(&self, owner: &LimitScope) -> u32 {
        self.open_queries.get(owner).copied().unwrap_or(0)
    }

    /// Returns the number of buckets of single tenants.
    pub fn bucket_count(&self) -> usize {
        self.buckets.len()
    }

    /// Rejects a query. The retry advice is extended by a pseudo-random time of up to half its length, so
    /// that clients that are rejected together do not all retry together.
    fn reject(
        &mut self,
        owner: &LimitScope,
        limit: &'static str,
        wait: Micros,
        shared: bool,
    ) -> LimitExceeded {
        self.rejected = self.rejected.wrapping_add(1);
        let spread = mix(self.seed ^ self.rejected) % (wait / 2 + 1);
        LimitExceeded { owner: owner.clone(), limit, retry_after: wait + spread, shared }
    }

    fn bucket(&mut self, now: Micros, owner: &LimitScope, rate: Rate, tenant: usize) -> &mut TokenBucket {
        let key = (owner.clone(), tenant);
        let emptied_at = self.emptied_at;
        let new_bucket = || {
            let mut bucket = TokenBucket::new(emptied_at.unwrap_or(now), rate.burst, rate.per_second);
            emptied_at.into_iter().for_each(|at| bucket.lower(at, 0));
            (rate, bucket)
        };
        if !self.buckets.contains_key(&key) && self.buckets.len() >= MAX_BUCKETS && now >= self.next_sweep {
            self.next_sweep = now + SWEEP_INTERVAL;
            self.buckets.retain(|_, (_, bucket)| !bucket.is_full(now));
        }
        let (bucket_rate, bucket) = if self.buckets.len() >= MAX_BUCKETS && !self.buckets.contains_key(&key) {
            self.overflow.get_or_insert_with(new_bucket)
        } else {
            self.buckets.entry(key).or_insert_with(new_bucket)
        };
        if *bucket_rate != rate {
            bucket.reconfigure(now, rate.burst, rate.per_second);
            *bucket_rate = rate;
        }
        bucket
    }
}

#[cfg(test)]
mod tests;
