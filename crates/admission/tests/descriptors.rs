//! What is left to connections, and the reserve, under any limit.

use plover_admission::descriptors::{DescriptorLimit, DescriptorShares, ProcessDescriptors};
use proptest::prelude::*;

/// The figures that the architecture's page and the operators' pages name.
#[test]
fn the_reserve_is_as_documented() {
    let reserve = |admin, handover| ProcessDescriptors { admin, handover, foreign: 0 }.reserve();
    assert_eq!([reserve(false, false), reserve(true, false), reserve(true, true)], [33, 54, 68]);
    assert_eq!(ProcessDescriptors::default().divide(1024), Ok(DescriptorShares { clients: 660, pool: 330 }));
    assert_eq!(ProcessDescriptors::default().divide(63), Err(64));
    assert_eq!(ProcessDescriptors { admin: true, ..ProcessDescriptors::default() }.divide(63), Err(64));
    assert_eq!(ProcessDescriptors { admin: true, handover: true, foreign: 2 }.divide(73), Err(74));
}

proptest! {
    /// Processes that are one broker stay within the limit together, each with a reserve of its own.
    #[test]
    fn processes_that_share_a_limit_stay_within_it(most in 300u64..70_000, copies in 1usize..4, admin: bool) {
        let own = ProcessDescriptors { admin, handover: true, foreign: 0 };
        let DescriptorShares { clients, pool } = own.divide(most).unwrap();
        let limit = DescriptorLimit { max: most, reserve: own.reserve() };
        let each = limit.per_process(clients as usize, copies) + limit.per_process(pool as usize, copies);
        prop_assert!((each as u64 + own.reserve()) * copies as u64 <= most);
        prop_assert!(copies > 1 || each as u64 == clients + pool);
    }

    /// All that may be open at a time is within the limit, and both kinds of connections have some.
    #[test]
    fn all_that_may_be_open_is_within_the_limit(
        limit in 0u64..70_000, admin: bool, handover: bool, foreign in 0u64..2000,
    ) {
        let own = ProcessDescriptors { admin, handover, foreign };
        match own.divide(limit) {
            Ok(DescriptorShares { clients, pool }) => {
                prop_assert!(own.reserve() + clients + pool <= limit);
                prop_assert!(clients >= 2 && pool >= 1);
            }
            Err(least) => prop_assert!(limit < least && own.divide(least).is_ok()),
        }
    }
}
