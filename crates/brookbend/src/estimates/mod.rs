//! What forecasts rest on: the unit of work of each class, the pace of each server, and what others have out there.
//!
//! A forecast is a pace times work, and only their product is ever seen. [`rescale`] keeps the two consistent while a unit of
//! work is still a guess. Nothing here chooses a server or refuses a query.

mod load;
mod pace;
mod work;

pub(crate) use load::OthersLoad;
pub(crate) use pace::Pace;
pub(crate) use work::WorkEstimate;

use crate::state::{ClassEstimates, Server};

/// The most worth for work that a query of any class has, by units of work as they are estimated now. `density` is that of the
/// query at hand. Classes whose unit is a guess look worth more than they will be: they count for their own queries alone.
///
/// What each class had at best is kept in units of work: the unit moves with load, and worth that was weighed by the unit of an
/// idle hour would make all queries of a busy one look poor.
pub(crate) fn best_density(
    learned: &mut [ClassEstimates],
    class: usize,
    density: f64,
    worth_by_work: bool,
) -> f64 {
    let unit = |of: &ClassEstimates| if worth_by_work { 1.0 } else { of.work.unit() };
    let own = &mut learned[class];
    own.best_worth = own.best_worth.max(density * unit(own));
    let known = learned.iter().enumerate().filter(|(of, l)| *of == class || l.work.is_known());
    known.map(|(_, l)| l.best_worth / unit(l)).fold(0.0, f64::max)
}

/// Carries changed guesses of units of work over to the paces that were measured against them.
///
/// Without this one time counts twice: hundreds of answers of one query step the unit up to the time that they took, while
/// each server's pace has been told that same time against the guess. Units that are known move without it.
pub(crate) fn rescale(learned: &mut [ClassEstimates], servers: &mut [Server]) {
    for (class, learned) in learned.iter_mut().enumerate() {
        let Some(change) = learned.work.take_change() else { continue };
        for server in servers.iter_mut() {
            server.pace.rescale(class, change.ratio);
            if change.settled {
                server.pace.settle(class);
            }
        }
    }
}

/// The median of these paces, as told and rescaled; `None`: there are none.
pub(crate) fn median_pace<'a>(paces: impl Iterator<Item = &'a Pace> + Clone) -> Option<(f64, f64)> {
    let middle = |of: fn(&Pace) -> f64| {
        let mut values: Vec<f64> = paces.clone().map(of).collect();
        let place = values.len() / 2;
        (!values.is_empty()).then(|| *values.select_nth_unstable_by(place, f64::total_cmp).1)
    };
    Some((middle(Pace::measured)?, middle(Pace::rescaled)?))
}

#[cfg(test)]
mod tests {
    use super::*;

    const CALL: f64 = 1.0;

    /// A class whose answers took so long, often enough to be known.
    fn known(time: f64) -> ClassEstimates {
        let mut learned = ClassEstimates { work: WorkEstimate::new(CALL), ..ClassEstimates::default() };
        takes(&mut learned, time);
        assert!(learned.work.is_known());
        learned
    }

    fn takes(learned: &mut ClassEstimates, time: f64) {
        (0..2000).for_each(|_| learned.work.observe(time));
        learned.work.take_change();
    }

    /// The density of a query that is worth 1 and has this many parts.
    fn density(learned: &[ClassEstimates], class: usize, parts: f64) -> f64 {
        1.0 / (parts * learned[class].work.unit())
    }

    #[test]
    fn a_query_is_as_good_as_the_best_of_its_class_however_slow_the_hour_is() {
        let mut learned = [known(10.0)];
        let idle = density(&learned, 0, 30.0);
        assert_eq!(best_density(&mut learned, 0, idle, false), idle);
        takes(&mut learned[0], 60.0);
        let busy = density(&learned, 0, 30.0);
        let best = best_density(&mut learned, 0, busy, false);
        assert!((busy / best - 1.0).abs() < 1e-9, "{busy} of {best}");
        // One of more parts is worth less for its work.
        let wider = density(&learned, 0, 60.0);
        let best = best_density(&mut learned, 0, wider, false);
        assert!((wider / best - 0.5).abs() < 1e-9, "{wider} of {best}");
    }

    #[test]
    fn a_class_whose_work_is_a_guess_makes_no_other_look_poor() {
        let mut learned =
            [known(60.0), ClassEstimates { work: WorkEstimate::new(CALL), ..ClassEstimates::default() }];
        let guess = density(&learned, 1, 1.0);
        assert_eq!(best_density(&mut learned, 1, guess, false), guess);
        let of_known = density(&learned, 0, 1.0);
        assert_eq!(best_density(&mut learned, 0, of_known, false), of_known);
        takes(&mut learned[1], 30.0);
        assert!(best_density(&mut learned, 0, of_known, false) > 1.5 * of_known);
    }

    #[test]
    fn where_worth_is_told_by_work_the_unit_is_in_it_already() {
        let mut learned = [known(10.0), known(60.0)];
        assert_eq!(best_density(&mut learned, 0, 2.0, true), 2.0);
        assert_eq!(best_density(&mut learned, 1, 1.0, true), 2.0);
    }
}
