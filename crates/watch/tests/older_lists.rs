//! What an older list may not undo, and what it may.

use plover_model::server::{Target, TargetState, Targets};
use plover_watch::{HOLD, Ledger};
use proptest::prelude::*;

use TargetState::{Active, Leaving, Left};

fn list(rev: u64, all: bool, entries: &[(&str, TargetState, f64)]) -> Targets {
    let target = |(uid, state, boot_ms): &(&str, TargetState, f64)| Target {
        uid: (*uid).to_owned(),
        endpoint: None,
        az: String::new(),
        pod_group: 0,
        state: *state,
        boot_ms: *boot_ms,
    };
    Targets { rev, all, targets: entries.iter().map(target).collect() }
}

fn states(ledger: &mut Ledger, now: u64, mut targets: Targets) -> (usize, Vec<TargetState>) {
    let held = ledger.take(now, &mut targets);
    (held, targets.targets.iter().map(|t| t.state).collect())
}

#[test]
fn an_older_list_revives_nobody_until_a_start_a_newer_version_or_the_hold_is_over() {
    let mut ledger = Ledger::default();
    states(&mut ledger, 0, list(41, true, &[("a", Active, 0.0), ("b", Leaving, 0.0), ("c", Active, 0.0)]));
    // Changes: c is gone. A whole list that leaves b out.
    states(&mut ledger, 0, list(42, false, &[("c", Left, 0.0)]));
    let older =
        list(40, true, &[("a", Active, 0.0), ("b", Active, 0.0), ("c", Active, 0.0), ("d", Active, 0.0)]);
    assert_eq!(states(&mut ledger, 5, older.clone()), (2, vec![Active, Leaving, Leaving, Active]));
    // A newer start goes before, and so does a newer version.
    assert_eq!(states(&mut ledger, 6, list(40, false, &[("b", Active, 9.0)])), (0, vec![Active]));
    assert_eq!(states(&mut ledger, 6, list(42, false, &[("c", Active, 0.0)])), (0, vec![Active]));
    // One that an older list leaves out is gone by that list's version.
    assert_eq!(states(&mut ledger, 7, list(39, true, &[("a", Active, 0.0)])), (0, vec![Active]));
    assert_eq!(states(&mut ledger, 7, list(40, false, &[("d", Active, 0.0)])), (0, vec![Active]));
    // Held until the hold is over, and then the whole list counts as it stands.
    states(&mut ledger, 7, list(50, false, &[("a", Leaving, 0.0)]));
    assert_eq!(states(&mut ledger, 8, list(1, true, &[("a", Active, 0.0)])).0, 1);
    assert_eq!(ledger.due(), Some(8 + HOLD));
    assert!(!ledger.release(7 + HOLD) && ledger.release(8 + HOLD) && !ledger.release(9 + HOLD));
    assert_eq!(states(&mut ledger, 9 + HOLD, list(1, true, &[("a", Active, 0.0)])), (0, vec![Active]));
}

/// However many are gone at once, an older list revives none of them: a region that is cut off, or all of a list.
#[test]
fn all_of_a_long_list_may_be_gone_and_none_is_revived() {
    let names: Vec<String> = (0..7800).map(|n| format!("s{n}")).collect();
    let all: Vec<_> = names.iter().map(|n| (n.as_str(), Active, 0.0)).collect();
    let mut ledger = Ledger::default();
    states(&mut ledger, 0, list(41, true, &all));
    states(&mut ledger, 0, list(42, true, &[]));
    let (held, _) = states(&mut ledger, 5, list(41, true, &all));
    assert_eq!(held, 7800);
}

/// What is known of servers that are gone is bounded by what lists hold, however many come and go.
#[test]
fn those_that_went_first_are_forgotten() {
    let mut ledger = Ledger::default();
    for n in 0..6000u64 {
        states(&mut ledger, 0, list(2 * n + 1, false, &[(&format!("s{n}"), Active, 0.0)]));
        states(&mut ledger, 0, list(2 * n + 2, false, &[(&format!("s{n}"), Left, 0.0)]));
    }
    let names: Vec<String> = (0..6000).map(|n| format!("s{n}")).collect();
    let all: Vec<_> = names.iter().map(|n| (n.as_str(), Active, 0.0)).collect();
    let (held, states) = states(&mut ledger, 5, list(1, false, &all));
    assert!((1024..=2048).contains(&held), "{held}");
    assert!(
        states[..6000 - 2048].iter().all(|s| *s == Active)
            && states[6000 - 1024..].iter().all(|s| *s == Leaving)
    );
}

proptest! {
    /// Lists in the order of their versions are taken as they are, whatever they say.
    #[test]
    fn lists_in_order_are_taken_as_they_are(
        lists in prop::collection::vec((any::<bool>(), prop::collection::vec((0usize..6, 0usize..3, 0u8..3), 0..6)), 1..20),
    ) {
        let mut ledger = Ledger::default();
        for (n, (all, entries)) in lists.into_iter().enumerate() {
            let name = |n: usize| ["a", "b", "c", "d", "e", "f"][n];
            let entries: Vec<_> =
                entries.into_iter().map(|(u, s, b)| (name(u), [Active, Leaving, Left][s], f64::from(b))).collect();
            let expected: Vec<TargetState> = entries.iter().map(|e| e.1).collect();
            prop_assert_eq!(states(&mut ledger, 0, list(n as u64, all, &entries)), (0, expected));
        }
    }
}

#[test]
fn an_older_list_revives_nobody_that_a_newer_one_left_out() {
    let mut ledger = Ledger::default();
    let both = list(5, true, &[("a", Active, 0.0), ("b", Active, 0.0)]);
    states(&mut ledger, 0, both.clone());
    states(&mut ledger, 0, list(6, true, &[("b", Active, 0.0)]));
    assert_eq!(states(&mut ledger, 0, both), (1, vec![Leaving, Active]));
}

/// What is gone and still known is bounded, however long servers come and go: the oldest are forgotten.
#[test]
fn what_is_gone_is_forgotten_in_the_end() {
    let mut ledger = Ledger::default();
    for rev in 0..3000 {
        states(&mut ledger, 0, list(rev, false, &[(&format!("s{rev}"), Left, 0.0)]));
    }
    assert_eq!(states(&mut ledger, 0, list(0, false, &[("s1", Active, 0.0)])).0, 0);
    assert_eq!(states(&mut ledger, 0, list(0, false, &[("s2999", Active, 0.0)])).0, 1);
}

/// Guards against a successor that lets an older list revive a server of which its predecessor was told that it
/// drains or is gone.
#[test]
fn an_older_list_revives_nobody_that_another_process_was_told_to_drain() {
    let active = [("a", TargetState::Active, 5.0), ("b", TargetState::Active, 5.0)];
    let mut ledger = Ledger::default();
    states(&mut ledger, 0, list(41, true, &active[..1]));
    // One that is known here, and one that no list has named here yet.
    ledger.hold(50, ["a", "b"].into_iter());
    let (held, found) = states(&mut ledger, 10, list(45, true, &active));
    assert_eq!((held, found), (2, vec![TargetState::Leaving; 2]));
    let (held, found) = states(&mut ledger, 20, list(50, true, &active));
    assert_eq!((held, found), (0, vec![TargetState::Active; 2]), "a list that is not older is believed");
    ledger.hold(40, ["a"].into_iter());
    assert_eq!(states(&mut ledger, 30, list(45, true, &active)).0, 0, "what was told before is no news");
}
