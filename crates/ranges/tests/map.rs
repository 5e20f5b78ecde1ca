//! After any sequence of changes, every key belongs to exactly one range, and the epochs of changed ranges
//! increase.

use plover_ranges::*;
use proptest::prelude::*;
use std::collections::BTreeSet;

fn key(n: u16) -> Key {
    Key::new(n.to_be_bytes()).expect("key is short enough")
}

fn nodes(names: &[&str]) -> BTreeSet<NodeName> {
    names.iter().map(|n| NodeName::from(*n)).collect()
}

fn rebuilt(map: &RangeMap) -> Result<RangeMap, MapError> {
    RangeMap::new(map.version(), map.next_id(), map.ranges().cloned().collect())
}

proptest! {
    #[test]
    fn every_key_belongs_to_one_range_after_any_changes(
        changes in prop::collection::vec((0u8..3, 0u16..64, 0u64..64, 0u64..64), 1..60),
        probes in prop::collection::vec(0u16..80, 8),
    ) {
        let mut map = RangeMap::single_range(nodes(&["a", "b"])).expect("valid map");
        for (kind, at, one, other) in changes {
            let changed = match kind {
                0 => map.with_split(RangeId(one), &key(at)),
                1 => map.with_merge(RangeId(one), RangeId(other)),
                _ => map
                    .with_replicas(RangeId(one), nodes(if other % 2 == 0 { &["a", "b"] } else { &["c"] })),
            };
            let Ok(new) = changed else { continue };
            prop_assert!(rebuilt(&new).is_ok());
            prop_assert_eq!(new.version().0, map.version().0 + 1);
            for probe in &probes {
                let (before, after) = (map.lookup(&key(*probe)), new.lookup(&key(*probe)));
                let (Some(before), Some(after)) = (before, after) else { panic!("key without a range") };
                prop_assert_eq!(new.ranges().filter(|r| r.range.contains(&key(*probe))).count(), 1);
                prop_assert!(before == after || before.epoch < after.epoch);
            }
            map = new;
        }
    }

    #[test]
    fn overlapping_returns_exactly_the_ranges_with_common_keys(
        cuts in prop::collection::btree_set(1u16..60, 0..12), from in 0u16..60, more in 1u16..30,
    ) {
        let mut map = RangeMap::single_range(nodes(&["a"])).expect("valid map");
        for cut in cuts {
            let id = map.lookup(&key(cut)).expect("key has a range").id;
            map = map.with_split(id, &key(cut)).expect("key is inside");
        }
        let queried = KeyRange::new(key(from), Some(key(from + more))).expect("range is not empty");
        let found: Vec<RangeId> = map.overlapping(&queried).map(|r| r.id).collect();
        let expected: Vec<RangeId> =
            map.ranges().filter(|r| r.range.overlaps(&queried)).map(|r| r.id).collect();
        prop_assert_eq!(found, expected);
    }
}

#[test]
fn invalid_maps_are_rejected() {
    let range = |from: u16, to: Option<u16>| {
        KeyRange::new(if from == 0 { Key::smallest() } else { key(from) }, to.map(key)).unwrap()
    };
    let assignment =
        |id, range| RangeAssignment { id: RangeId(id), range, epoch: Epoch(1), replicas: nodes(&["a"]) };
    let map_of = |assignments: Vec<RangeAssignment>| RangeMap::new(MapVersion(1), RangeId(9), assignments);
    assert!(map_of(vec![assignment(0, range(0, Some(5))), assignment(1, range(5, None))]).is_ok());
    assert_eq!(map_of(vec![]), Err(MapError::EndNotCovered));
    assert_eq!(map_of(vec![assignment(0, range(0, Some(5)))]), Err(MapError::EndNotCovered));
    assert_eq!(
        map_of(vec![assignment(0, range(0, Some(5))), assignment(1, range(6, None))]),
        Err(MapError::GapOrOverlap(range(6, None)))
    );
    assert_eq!(
        map_of(vec![assignment(0, range(0, Some(5))), assignment(1, range(4, None))]),
        Err(MapError::GapOrOverlap(range(4, None)))
    );
    assert_eq!(
        map_of(vec![assignment(0, range(0, None)), assignment(1, range(5, None))]),
        Err(MapError::GapOrOverlap(range(5, None)))
    );
    assert_eq!(
        map_of(vec![assignment(1, range(0, Some(5))), assignment(1, range(5, None))]),
        Err(MapError::InvalidId(RangeId(1)))
    );
    assert_eq!(map_of(vec![assignment(9, range(0, None))]), Err(MapError::InvalidId(RangeId(9))));
    let without_replicas = RangeAssignment { replicas: BTreeSet::new(), ..assignment(0, range(0, None)) };
    assert_eq!(map_of(vec![without_replicas]), Err(MapError::ReplicaCount(RangeId(0), 0)));
}

#[test]
fn invalid_changes_are_rejected() {
    let map = RangeMap::single_range(nodes(&["a", "b"])).unwrap().with_split(RangeId(0), &key(7)).unwrap();
    assert!(matches!(map.with_split(RangeId(2), &key(7)), Err(MapError::SplitOutside(..))));
    assert!(matches!(map.with_split(RangeId(1), &key(9)), Err(MapError::SplitOutside(..))));
    assert_eq!(map.with_split(RangeId(0), &key(3)), Err(MapError::UnknownRange(RangeId(0))));
    assert_eq!(map.with_merge(RangeId(2), RangeId(1)), Err(MapError::NotAdjacent(RangeId(2), RangeId(1))));
    let moved = map.with_replicas(RangeId(1), nodes(&["c"])).unwrap();
    assert_eq!(
        moved.with_merge(RangeId(1), RangeId(2)),
        Err(MapError::DifferentReplicas(RangeId(1), RangeId(2)))
    );
    assert!(Key::new([0; MAX_KEY_LENGTH + 1]).is_none());
}
