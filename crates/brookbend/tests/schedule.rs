//! A turn that visits only what is due decides the same as one that visits everything: the same actions in
//! the same order, from the same random numbers, with the same learned state of servers and classes.

#[path = "common/random_day.rs"]
mod random_day;

use brookbend::Aggregator;
use proptest::prelude::*;
use random_day::{Day, Plan, settings};

/// Simulates a day with a module that visits everything and one that visits what is due. The error is their first
/// difference.
fn run_both(plan: Plan) -> Result<usize, String> {
    let mut indexed = Aggregator::new(settings(&plan), plan.seed);
    let mut unindexed = Aggregator::new(settings(&plan), plan.seed);
    unindexed.visit_all();
    Day::run(plan, &mut [&mut unindexed, &mut indexed])
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
    fn visiting_what_is_due_decides_as_visiting_everything(plan in plans()) {
        prop_assert_eq!(run_both(plan).err(), None);
    }
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 100, failure_persistence: None, ..ProptestConfig::default() })]

    /// After every batch the index and the running totals of the open queries equal a full recomputation.
    #[test]
    fn the_index_and_the_totals_equal_a_recomputation(plan in plans()) {
        let mut indexed = Aggregator::new(settings(&plan), plan.seed);
        let mut day = Day::new(plan);
        for _ in 0..plan.steps {
            prop_assert_eq!(day.step(&mut [&mut indexed]), None);
            prop_assert_eq!(indexed.find_inconsistency(), None);
        }
    }
}

/// Queries of the largest number of parts that has to be supported.
#[test]
fn wide_queries_are_decided_the_same() {
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
        let actions = run_both(plan).unwrap();
        assert!(actions > 1000, "seed {seed}: {actions}");
    }
}
