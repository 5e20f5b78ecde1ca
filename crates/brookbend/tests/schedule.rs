//! A turn that looks at what is due decides as one that looks at everything: the same actions in the same order, from the
//! same draws, and the same knowledge of servers and classes.

#[path = "common/random_day.rs"]
mod random_day;

use brookbend::Aggregator;
use proptest::prelude::*;
use random_day::{Day, Plan, settings};

fn both(plan: Plan) -> Result<usize, String> {
    let mut due = Aggregator::new(settings(&plan), plan.seed);
    let mut all = Aggregator::new(settings(&plan), plan.seed);
    all.visit_all();
    Day::play(plan, &mut [&mut all, &mut due])
}

fn plans() -> impl Strategy<Value = Plan> {
    let shape = (any::<u64>(), 50..600usize, 1..24usize, 1..30usize, 1..6usize, 1..4usize);
    let flags = (0.02..1.5f64, 0.0..0.6f64, any::<[bool; 4]>());
    (shape, flags).prop_map(|((seed, steps, parts, servers, cells, reach), (queries, faults, flags))| Plan {
        seed,
        steps,
        parts: (1, parts),
        servers: servers + cells,
        cells,
        reach: reach.min(cells),
        queries,
        faults: faults * faults,
        hedging: flags[0],
        cancel: flags[1],
        budget: flags[2],
        named: flags[3],
    })
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 250, failure_persistence: None, ..ProptestConfig::default() })]

    #[test]
    fn what_is_due_decides_as_everything_does(plan in plans()) {
        prop_assert_eq!(both(plan).err(), None);
    }
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 100, failure_persistence: None, ..ProptestConfig::default() })]

    /// At any moment what is kept of the queries in hand is what counting anew gives.
    #[test]
    fn what_is_kept_is_what_counting_anew_gives(plan in plans()) {
        let mut due = Aggregator::new(settings(&plan), plan.seed);
        let mut day = Day::new(plan);
        for _ in 0..plan.steps {
            prop_assert_eq!(day.step(&mut [&mut due]), None);
            prop_assert_eq!(due.find_inconsistency(), None);
        }
    }
}

/// As wide as the size that is to be borne.
#[test]
fn wide_queries_are_decided_alike() {
    for seed in 0..12 {
        let plan = Plan {
            seed,
            steps: 120,
            parts: (600, 690),
            servers: 120,
            cells: 40,
            reach: 2,
            queries: 0.08,
            faults: [0.0, 0.02, 0.1, 0.4][seed as usize % 4],
            hedging: seed.is_multiple_of(2),
            cancel: seed % 3 != 1,
            budget: seed % 4 > 1,
            named: seed.is_multiple_of(5),
        };
        let actions = both(plan).unwrap();
        assert!(actions > 1000, "seed {seed}: {actions}");
    }
}
