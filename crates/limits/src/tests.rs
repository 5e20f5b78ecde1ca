use super::*;
use proptest::prelude::*;

fn owner() -> LimitScope {
    "class lookup".into()
}

fn in_hand(most: u32) -> QueryLimits {
    QueryLimits { max_open: Some((owner(), most)), ..QueryLimits::default() }
}

fn rate(per_second: u32, burst: u32) -> QueryLimits {
    QueryLimits { rate: Some((owner(), Rate { per_second, burst })), ..QueryLimits::default() }
}

#[test]
fn what_is_in_hand_is_bounded_and_comes_back() {
    let mut gate = QueryLimiter::new(1);
    let mut held: Vec<Permit> = (0..2).map(|_| gate.admit(0, &in_hand(2), 0).unwrap()).collect();
    let refused = gate.admit(0, &in_hand(2), 0).unwrap_err();
    assert_eq!((refused.limit, &refused.owner), ("most-in-hand", &owner()));
    gate.release(held.pop().unwrap());
    held.push(gate.admit(0, &in_hand(2), 0).unwrap());
    // The limit sinks under what is out on it, is 0, and is taken out of the file: nothing is lost, and it holds.
    assert!(gate.admit(0, &in_hand(1), 0).is_err() && gate.admit(0, &in_hand(0), 0).is_err());
    let free = gate.admit(0, &QueryLimits::default(), 0).unwrap();
    gate.release(free);
    held.into_iter().for_each(|permit| gate.release(permit));
    assert_eq!(gate.in_flight(&owner()), 0);
    assert!(gate.admit(0, &in_hand(0), 0).is_err(), "a limit of none lets none in");
}

#[test]
fn a_tenant_has_its_burst_after_a_silence_and_its_rate_from_then_on() {
    let mut gate = QueryLimiter::new(1);
    let limits = rate(10, 3);
    let let_in = |gate: &mut QueryLimiter, now, tenant| {
        (0..9).filter(|_| gate.admit(now, &limits, tenant).is_ok()).count()
    };
    assert_eq!(let_in(&mut gate, 0, 0), 3);
    assert_eq!(let_in(&mut gate, 0, 1), 3, "another tenant has its own");
    assert_eq!(let_in(&mut gate, 100_000, 0), 1);
    assert_eq!(let_in(&mut gate, 50_000, 0), 0, "a clock that goes back brings none");
    assert_eq!(let_in(&mut gate, 3600 * SECOND, 0), 3, "no more than a burst after an hour");
}

#[test]
fn a_new_rate_holds_at_once_without_a_new_burst() {
    let mut gate = QueryLimiter::new(1);
    while gate.admit(0, &rate(1, 5), 0).is_ok() {}
    assert!(gate.admit(0, &rate(1000, 50), 0).is_err());
    assert!(gate.admit(1000, &rate(1000, 50), 0).is_ok() && gate.admit(1000, &rate(1000, 50), 0).is_err());
}

/// Whoever is turned away in the same moment is asked back at different ones, none before there is a token.
#[test]
fn those_turned_away_are_spread() {
    let mut gate = QueryLimiter::new(7);
    let limits = rate(1, 1);
    drop(gate.admit(0, &limits, 0).unwrap());
    let waits: std::collections::BTreeSet<Micros> =
        (0..50).map(|_| gate.admit(0, &limits, 0).unwrap_err().retry_after).collect();
    assert!(waits.len() > 40 && waits.iter().all(|w| (SECOND..=SECOND * 3 / 2).contains(w)), "{waits:?}");
}

/// A million names leave no more behind than the most, and each that has not asked before is let in at least with the
/// others' rate.
#[test]
fn a_million_tenants_leave_a_bounded_trace() {
    let mut gate = QueryLimiter::new(1);
    let limits = rate(1, 1);
    let mut let_in = 0;
    for tenant in 0..1_000_000 {
        let_in += usize::from(gate.admit(tenant as Micros * 100, &limits, tenant).is_ok());
        assert!(gate.bucket_count() <= MAX_BUCKETS);
    }
    // 100 seconds: buckets come free a second after they were used, or a little later.
    assert!(let_in >= 100 * MAX_BUCKETS * 3 / 4, "{let_in}");
}

/// Whoever goes by a bucket that others share is told apart: its rate is not its own.
#[test]
fn a_refusal_says_whether_the_rate_was_shared() {
    let mut gate = QueryLimiter::new(1);
    let limits = rate(1, 1);
    (0..MAX_BUCKETS).for_each(|tenant| drop(gate.admit(0, &limits, tenant).unwrap()));
    assert!(!gate.admit(0, &limits, 0).unwrap_err().shared);
    drop(gate.admit(0, &limits, MAX_BUCKETS).unwrap());
    assert!(gate.admit(0, &limits, MAX_BUCKETS + 1).unwrap_err().shared);
}

proptest! {
    /// Whatever limits come and go, what a section has in hand is what was let in and not given back.
    #[test]
    fn every_permit_comes_back_once(steps in prop::collection::vec((0u8..3, 0u32..4, 0usize..3), 0..200)) {
        let mut gate = QueryLimiter::new(3);
        let owners: [LimitScope; 2] = ["a".into(), "b".into()];
        let mut held: Vec<(Option<usize>, Permit)> = Vec::new();
        for (kind, most, n) in steps {
            let limits = match n {
                2 => QueryLimits::default(),
                n => QueryLimits { max_open: Some((owners[n].clone(), most)), ..QueryLimits::default() },
            };
            if kind > 0 {
                let before = owners.get(n).map_or(0, |o| gate.in_flight(o));
                let permit = gate.admit(0, &limits, 0);
                prop_assert_eq!(permit.is_ok(), n == 2 || before < most);
                held.extend(permit.ok().map(|p| (Some(n).filter(|n| *n < 2), p)));
            } else if !held.is_empty() {
                let place = most as usize % held.len();
                gate.release(held.swap_remove(place).1);
            }
            for (n, owner) in owners.iter().enumerate() {
                let count = held.iter().filter(|(o, _)| *o == Some(n)).count();
                prop_assert_eq!(gate.in_flight(owner) as usize, count);
            }
        }
    }
}

/// Two processes that are one broker let in together no more than one would.
#[test]
fn processes_share_tokens_and_what_is_in_hand() {
    let limits = rate(1, 5);
    let let_in = |processes: u32| {
        let mut gate = QueryLimiter::new(1);
        gate.set_process_count(processes);
        (0..9).filter(|_| gate.admit(0, &limits, 0).is_ok()).count() as u32
    };
    assert_eq!(let_in(1), 5);
    assert!((2..5).all(|processes| processes * let_in(processes) <= 5));
    assert!(let_in(9) >= 1, "a burst of less than the processes lets one in all the same");
    let mut gate = QueryLimiter::new(1);
    assert!(gate.admit_with_siblings(0, &in_hand(2), 0, |_| 2).is_err());
    let permit = gate.admit_with_siblings(0, &in_hand(2), 0, |_| 1).unwrap();
    assert!(gate.admit_with_siblings(0, &in_hand(2), 0, |_| 1).is_err());
    gate.release(permit);
}

/// An index at which another tenant begins brings it nothing of the one before, and takes nothing from the others.
#[test]
fn a_tenant_that_begins_at_anothers_index_has_tokens_of_its_own() {
    let mut gate = QueryLimiter::new(1);
    for tenant in [0, 1] {
        while gate.admit(0, &rate(1, 5), tenant).is_ok() {}
    }
    gate.remove_tenants(&[1]);
    let let_in = |gate: &mut QueryLimiter, tenant| {
        (0..9).filter(|_| gate.admit(0, &rate(1, 5), tenant).is_ok()).count()
    };
    assert_eq!([let_in(&mut gate, 0), let_in(&mut gate, 1)], [0, 5]);
}
