//! How good plans are.

use crate::support::baselines::{Baseline, terms};
use crate::support::bound::{Goal, every_placement, least};
use crate::support::fleets::{KINDS, Kind, fleet};
use crate::support::player::play;
use plover_placement::{Guard, Layout, Model, Terms, propose};

#[test]
fn plans_are_near_the_bound_and_before_the_plain_ways() {
    let mut overs = Vec::new();
    for kind in KINDS {
        let yard = fleet(kind, 16, 160, 3);
        let plan = propose(&yard.view(&[]), &yard.settings, &Guard::default());
        assert_eq!(play(&yard, &[], &plan), Ok(()), "{kind:?}");
        let model = Model::new(&yard.view(&[]), &yard.settings);
        let bound = least(&model, &Goal::Points);
        let over = plan.points_after / bound - 1.0;
        assert!(
            over > -1e-6,
            "{kind:?}: {} under the bound {bound}: one of the two is wrong",
            plan.points_after
        );
        for baseline in [Baseline::Random, Baseline::GreedyBySize, Baseline::RoundRobinByWeight] {
            let plain = terms(&model, baseline, 1).points(&yard.settings.weights);
            assert!(plan.points_after < plain, "{kind:?}: {} after, {baseline:?} {plain}", plan.points_after);
        }
        overs.push(over);
    }
    overs.sort_by(f64::total_cmp);
    assert!(overs[6] < 0.10 && overs[11] < 0.30, "over the bound: {overs:?}");
}

#[test]
fn tiny_fleets_come_near_their_optimum() {
    let (mut overs, mut times) = (Vec::new(), Vec::new());
    for (kind, seed) in KINDS.into_iter().filter(|&kind| kind != Kind::NewThrice).zip(1..) {
        let yard = fleet(kind, 5, 5, seed);
        let plan = propose(&yard.view(&[]), &yard.settings, &Guard::default());
        let model = Model::new(&yard.view(&[]), &yard.settings);
        assert_eq!(Layout::standing(&model).points(), plan.points_before);
        let all = every_placement(&model);
        let best = all.iter().map(|terms| terms.points(&yard.settings.weights)).fold(f64::INFINITY, f64::min);
        let fuller = |one: &Terms, other: &Terms| {
            let shares = |t: &Terms| [t.memory, t.processor, t.disk, t.link, t.reads, t.leaving];
            shares(one).iter().zip(shares(other)).any(|(one, other)| *one > other + 1e-9)
        };
        let none_fuller = all.iter().filter(|terms| !fuller(terms, &plan.after));
        let least = none_fuller.map(|terms| terms.bytes).fold(f64::INFINITY, f64::min);
        if plan.after.bytes > 0.0 {
            times.push(plan.after.bytes / least);
        }
        let over = plan.points_after / best - 1.0;
        assert!(over > -1e-9, "{kind:?}: better than the best");
        overs.push(over);
    }
    overs.sort_by(f64::total_cmp);
    times.sort_by(f64::total_cmp);
    assert!(times[times.len() / 2] <= 1.5 && times.len() > 4, "bytes by the least: {times:?}");
    assert!(overs[overs.len() / 2] < 0.01 && overs[overs.len() - 1] < 0.1, "over the optimum: {overs:?}");
}
