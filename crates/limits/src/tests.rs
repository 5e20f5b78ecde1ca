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

/// Whoever goes by a bucket that others share is told apart: its rate is not its own.
#[test]
fn a_refusal_says_whether_the_rate_was_shared() {
    let mut gate = Gate::new(1);
    let limits = rate(1, 1);
    (0..MOST_BUCKETS).for_each(|tenant| drop(gate.take(0, &limits, tenant).unwrap()));
    assert!(!gate.take(0, &limits, 0).unwrap_err().shared);
    drop(gate.take(0, &limits, MOST_BUCKETS).unwrap());
    assert!(gate.take(0, &limits, MOST_BUCKETS + 1).unwrap_err().shared);
}

proptest! {
    /// Whatever limits come and go, what a section has in hand is what was let in and not given back.
    #[test]
    fn every_permit_comes_back_once(steps in prop::collection::vec((0u8..3, 0u32..4, 0usize..3), 0..200)) {
        let mut gate = Gate::new(3);
        let owners: [LimitScope; 2] = ["a".into(), "b".into()];
        let mut held: Vec<(Option<usize>, Permit)> = Vec::new();
        for (kind, most, n) in steps {
            let limits = match n {
                2 => QueryLimits::default(),
                n => QueryLimits { max_open: Some((owners[n].clone(), most)), ..QueryLimits::default() },
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

/// An index at which another tenant begins brings it nothing of the one before, and takes nothing from the others.
#[test]
fn a_tenant_that_begins_at_anothers_index_has_tokens_of_its_own() {
    let mut gate = Gate::new(1);
    for tenant in [0, 1] {
        while gate.take(0, &rate(1, 5), tenant).is_ok() {}
    }
    gate.forget_tenants(&[1]);
    let let_in =
        |gate: &mut Gate, tenant| (0..9).filter(|_| gate.take(0, &rate(1, 5), tenant).is_ok()).count();
    assert_eq!([let_in(&mut gate, 0), let_in(&mut gate, 1)], [0, 5]);
}
