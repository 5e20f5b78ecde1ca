//! The reserve of descriptors and the shares that are left for connections, under any limit.

use plover_admission::descriptors::{DescriptorLimit, DescriptorShares, ProcessDescriptors};
use proptest::prelude::*;

/// The documentation names these numbers.
#[test]
fn the_reserve_is_as_documented() {
    let reserve = |admin, handover| ProcessDescriptors { admin, handover, foreign: 0 }.reserve();
    assert_eq!([reserve(false, false), reserve(true, false), reserve(true, true)], [36, 57, 71]);
    assert_eq!(ProcessDescriptors::default().divide(1024), Ok(DescriptorShares { clients: 658, pool: 329 }));
    assert_eq!(ProcessDescriptors::default().divide(63), Err(64));
    assert_eq!(ProcessDescriptors { admin: true, ..ProcessDescriptors::default() }.divide(63), Err(64));
    assert_eq!(ProcessDescriptors { admin: true, handover: true, foreign: 2 }.divide(76), Err(77));
}

proptest! {
    /// Processes of one broker together stay within the limit, although each has its own reserve.
    #[test]
    fn processes_that_share_a_limit_stay_within_it(
        max in 300u64..70_000, processes in 1usize..4, admin: bool,
    ) {
        let needs = ProcessDescriptors { admin, handover: true, foreign: 0 };
        let DescriptorShares { clients, pool } = needs.divide(max).unwrap();
        let limit = DescriptorLimit { max, reserve: needs.reserve() };
        let each =
            limit.per_process(clients as usize, processes) + limit.per_process(pool as usize, processes);
        prop_assert!((each as u64 + needs.reserve()) * processes as u64 <= max);
        prop_assert!(processes > 1 || each as u64 == clients + pool);
    }

    /// The reserve and both shares together stay within the limit, and neither share is empty.
    #[test]
    fn the_reserve_and_both_shares_stay_within_the_limit(
        limit in 0u64..70_000, admin: bool, handover: bool, foreign in 0u64..2000,
    ) {
        let needs = ProcessDescriptors { admin, handover, foreign };
        match needs.divide(limit) {
            Ok(DescriptorShares { clients, pool }) => {
                prop_assert!(needs.reserve() + clients + pool <= limit);
                prop_assert!(clients >= 2 && pool >= 1);
            }
            Err(min_limit) => prop_assert!(limit < min_limit && needs.divide(min_limit).is_ok()),
        }
    }
}
