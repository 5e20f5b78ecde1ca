use super::*;
use proptest::prelude::*;

fn owner() -> LimitScope {
    "class lookup".into()
}

fn max_open(max: u32) -> QueryLimits {
    QueryLimits { max_open: Some((owner(), max)), ..QueryLimits::default() }
}

fn rate(per_second: u32, burst: u32) -> QueryLimits {
    QueryLimits { rate: Some((owner(), Rate { per_second, burst })), ..QueryLimits::default() }
}

#[test]
fn open_queries_are_limited_until_released() {
    let mut limiter = QueryLimiter::new(1);
    let mut permits: Vec<Permit> = (0..2).map(|_| limiter.admit(0, &max_open(2), 0).unwrap()).collect();
    let rejected = limiter.admit(0, &max_open(2), 0).unwrap_err();
    assert_eq!((rejected.limit, &rejected.owner), ("most-in-hand", &owner()));
    limiter.release(permits.pop().unwrap());
    permits.push(limiter.admit(0, &max_open(2), 0).unwrap());
    // The limit falls below the number of open queries, then to 0, and is then removed from the file: the
    // count stays correct.
    assert!(limiter.admit(0, &max_open(1), 0).is_err() && limiter.admit(0, &max_open(0), 0).is_err());
    let unlimited = limiter.admit(0, &QueryLimits::default(), 0).unwrap();
    limiter.release(unlimited);
    permits.into_iter().for_each(|permit| limiter.release(permit));
    assert_eq!(limiter.open_queries(&owner()), 0);
    assert!(limiter.admit(0, &max_open(0), 0).is_err(), "a limit of 0 admits no query");
}

#[test]
fn an_idle_tenant_may_use_its_burst_and_then_its_rate() {
    let mut limiter = QueryLimiter::new(1);
    let limits = rate(10, 3);
    let admitted = |limiter: &mut QueryLimiter, now, tenant| {
        (0..9).filter(|_| limiter.admit(now, &limits, tenant).is_ok()).count()
    };
    assert_eq!(admitted(&mut limiter, 0, 0), 3);
    assert_eq!(admitted(&mut limiter, 0, 1), 3, "another tenant has a bucket of its own");
    assert_eq!(admitted(&mut limiter, 100_000, 0), 1);
    assert_eq!(admitted(&mut limiter, 50_000, 0), 0, "a clock that goes back refills nothing");
    assert_eq!(admitted(&mut limiter, 3600 * SECOND, 0), 3, "no more than a burst after an hour");
}

#[test]
fn a_changed_rate_applies_at_once_without_a_new_burst() {
    let mut limiter = QueryLimiter::new(1);
    while limiter.admit(0, &rate(1, 5), 0).is_ok() {}
    assert!(limiter.admit(0, &rate(1000, 50), 0).is_err());
    assert!(
        limiter.admit(1000, &rate(1000, 50), 0).is_ok() && limiter.admit(1000, &rate(1000, 50), 0).is_err()
    );
}

/// Queries that are rejected at the same moment get different retry advice, none before there is a token.
#[test]
fn retry_advice_is_spread() {
    let mut limiter = QueryLimiter::new(7);
    let limits = rate(1, 1);
    drop(limiter.admit(0, &limits, 0).unwrap());
    let waits: std::collections::BTreeSet<Micros> =
        (0..50).map(|_| limiter.admit(0, &limits, 0).unwrap_err().retry_after).collect();
    assert!(waits.len() > 40 && waits.iter().all(|w| (SECOND..=SECOND * 3 / 2).contains(w)), "{waits:?}");
}

/// A million tenants leave no more than the maximum number of buckets, and new tenants are admitted at no
/// less than about the rate at which buckets become free.
#[test]
fn a_million_tenants_use_a_bounded_number_of_buckets() {
    let mut limiter = QueryLimiter::new(1);
    let limits = rate(1, 1);
    let mut admitted = 0;
    for tenant in 0..1_000_000 {
        admitted += usize::from(limiter.admit(tenant as Micros * 100, &limits, tenant).is_ok());
        assert!(limiter.bucket_count() <= MAX_BUCKETS);
    }
    // The test spans 100 seconds, and a bucket becomes free a second after it was used, or a little later.
    assert!(admitted >= 100 * MAX_BUCKETS * 3 / 4, "{admitted}");
}

/// A rejection reports whether the exceeded rate is the tenant's own or shared by several tenants.
#[test]
fn a_rejection_reports_whether_the_rate_is_shared() {
    let mut limiter = QueryLimiter::new(1);
    let limits = rate(1, 1);
    (0..MAX_BUCKETS).for_each(|tenant| drop(limiter.admit(0, &limits, tenant).unwrap()));
    assert!(!limiter.admit(0, &limits, 0).unwrap_err().shared);
    drop(limiter.admit(0, &limits, MAX_BUCKETS).unwrap());
    assert!(limiter.admit(0, &limits, MAX_BUCKETS + 1).unwrap_err().shared);
}

proptest! {
    /// However limits change, the open queries of a section are those admitted and not released.
    #[test]
    fn every_permit_is_released_once(steps in prop::collection::vec((0u8..3, 0u32..4, 0usize..3), 0..200)) {
        let mut limiter = QueryLimiter::new(3);
        let owners: [LimitScope; 2] = ["a".into(), "b".into()];
        let mut permits: Vec<(Option<usize>, Permit)> = Vec::new();
        for (kind, max, n) in steps {
            let limits = match n {
                2 => QueryLimits::default(),
                n => QueryLimits { max_open: Some((owners[n].clone(), max)), ..QueryLimits::default() },
            };
            if kind > 0 {
                let before = owners.get(n).map_or(0, |o| limiter.open_queries(o));
                let permit = limiter.admit(0, &limits, 0);
                prop_assert_eq!(permit.is_ok(), n == 2 || before < max);
                permits.extend(permit.ok().map(|p| (Some(n).filter(|n| *n < 2), p)));
            } else if !permits.is_empty() {
                let index = max as usize % permits.len();
                limiter.release(permits.swap_remove(index).1);
            }
            for (n, owner) in owners.iter().enumerate() {
                let count = permits.iter().filter(|(o, _)| *o == Some(n)).count();
                prop_assert_eq!(limiter.open_queries(owner) as usize, count);
            }
        }
    }
}

/// Two processes that are one broker let in together no more than one would.
#[test]
fn processes_share_tokens_and_what_is_in_hand() {
    let limits = rate(1, 5);
    let admitted = |processes: u32| {
        let mut limiter = QueryLimiter::new(1);
        limiter.set_process_count(processes);
        (0..9).filter(|_| limiter.admit(0, &limits, 0).is_ok()).count() as u32
    };
    assert_eq!(admitted(1), 5);
    assert!((2..5).all(|processes| processes * admitted(processes) <= 5));
    assert!(admitted(9) >= 1, "a burst of less than the processes lets one in all the same");
    let mut limiter = QueryLimiter::new(1);
    assert!(limiter.admit_with_siblings(0, &max_open(2), 0, |_| 2).is_err());
    let permit = limiter.admit_with_siblings(0, &max_open(2), 0, |_| 1).unwrap();
    assert!(limiter.admit_with_siblings(0, &max_open(2), 0, |_| 1).is_err());
    limiter.release(permit);
}

/// An index at which another tenant begins brings it nothing of the one before, and takes nothing from the
/// others.
#[test]
fn a_new_tenant_at_a_reused_index_has_a_full_bucket() {
    let mut limiter = QueryLimiter::new(1);
    for tenant in [0, 1] {
        while limiter.admit(0, &rate(1, 5), tenant).is_ok() {}
    }
    limiter.remove_tenants(&[1]);
    let admitted = |limiter: &mut QueryLimiter, tenant| {
        (0..9).filter(|_| limiter.admit(0, &rate(1, 5), tenant).is_ok()).count()
    };
    assert_eq!([admitted(&mut limiter, 0), admitted(&mut limiter, 1)], [0, 5]);
}

/// A successor goes on from the tokens that its predecessor had left, and both together admit no more than one
/// process would.
#[test]
fn a_successor_begins_with_the_tokens_that_its_predecessor_had_left() {
    let limits = rate(10, 8);
    let admitted =
        |limiter: &mut QueryLimiter, now| (0..20).filter(|_| limiter.admit(now, &limits, 0).is_ok()).count();
    let mut old = QueryLimiter::new(1);
    assert_eq!((0..4).filter(|_| old.admit(0, &limits, 0).is_ok()).count(), 4);
    let mut new = QueryLimiter::new(2);
    for (owner, tenant, rate, level) in old.levels(SECOND / 10) {
        new.restore_level(SECOND / 10, owner, tenant, rate, level);
    }
    [&mut old, &mut new].into_iter().for_each(|limiter| limiter.set_process_count(2));
    assert_eq!(admitted(&mut old, SECOND / 10) + admitted(&mut new, SECOND / 10), 4, "five are left");
    assert!(QueryLimiter::new(3).levels(0).next().is_none());
}

/// What a predecessor does not report is taken for used up. The rate goes on from there.
#[test]
fn unknown_buckets_begin_empty() {
    let limits = rate(10, 3);
    let mut limiter = QueryLimiter::new(1);
    assert!(limiter.admit(0, &limits, 0).is_ok());
    limiter.assume_empty(SECOND);
    for tenant in [0, 1] {
        assert!(limiter.admit(SECOND, &limits, tenant).is_err());
        assert!(limiter.admit(SECOND + SECOND / 10, &limits, tenant).is_ok());
    }
    assert_eq!((0..9).filter(|_| limiter.admit(9 * SECOND, &limits, 2).is_ok()).count(), 3);
}
