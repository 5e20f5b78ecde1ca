//! The estimates behind forecasts: the unit of work of each class, the pace of each server, and the work that
//! other aggregators have outstanding at it.
//!
//! A forecast is a pace times work, and only that product can be observed. [`rescale`] keeps the two factors
//! consistent while a unit of work is still provisional. Nothing here chooses a server or refuses a query.

mod load;
mod pace;
mod work;

pub(crate) use load::OthersLoad;
pub(crate) use pace::Pace;
pub(crate) use work::WorkEstimate;

use crate::state::{ClassEstimates, Server};

/// The highest worth per work that a query of any class has had, by the current estimates of the units of
/// work. `density` is that of the current query, of class `class`: its worth per millisecond of work, or its
/// worth alone if that grows with the work already (`worth_by_work`). Classes whose unit is provisional look
/// worth more than they will turn out to be, and count for their own queries only.
///
/// The best value of each class is kept per unit of work, not per millisecond: the unit grows with load, and
/// a density that was measured with the unit of an idle hour would make every query of a busy hour look poor.
pub(crate) fn best_density(
    learned: &mut [ClassEstimates],
    class: usize,
    density: f64,
    worth_by_work: bool,
) -> f64 {
    let unit = |class: &ClassEstimates| if worth_by_work { 1.0 } else { class.work.unit() };
    let current = &mut learned[class];
    current.best_worth = current.best_worth.max(density * unit(current));
    let known = learned.iter().enumerate().filter(|(other, l)| *other == class || l.work.is_known());
    known.map(|(_, l)| l.best_worth / unit(l)).fold(0.0, f64::max)
}

/// Applies changes of provisional units of work to the paces that were measured with them.
///
/// Without this the same time would count twice: the hundreds of answers to one query raise the unit step by
/// step to the time that they took, while each server's pace has already been raised by that same time
/// relative to the old unit. Units that are known change without it.
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

/// The medians of these paces, as measured and as rescaled; `None` if there are none.
pub(crate) fn median_pace<'a>(paces: impl Iterator<Item = &'a Pace> + Clone) -> Option<(f64, f64)> {
    let median_of = |value: fn(&Pace) -> f64| {
        let mut values: Vec<f64> = paces.clone().map(value).collect();
        let middle = values.len() / 2;
        (!values.is_empty()).then(|| *values.select_nth_unstable_by(middle, f64::total_cmp).1)
    };
    Some((median_of(Pace::measured)?, median_of(Pace::rescaled)?))
}

#[cfg(test)]
mod tests {
    use super::*;

    const CALL_WORK: f64 = 1.0;

    /// A class with enough answers, each after `time` milliseconds, for its unit of work to be known.
    fn known(time: f64) -> ClassEstimates {
        let mut learned = ClassEstimates { work: WorkEstimate::new(CALL_WORK), ..ClassEstimates::default() };
        observe_answers(&mut learned, time);
        assert!(learned.work.is_known());
        learned
    }

    fn observe_answers(learned: &mut ClassEstimates, time: f64) {
        (0..2000).for_each(|_| learned.work.observe(time));
        learned.work.take_change();
    }

    /// Worth per work of a query that is worth 1 and has this many parts.
    fn density(learned: &[ClassEstimates], class: usize, parts: f64) -> f64 {
        1.0 / (parts * learned[class].work.unit())
    }

    #[test]
    fn a_query_keeps_its_rank_in_its_class_when_answers_become_slower() {
        let mut learned = [known(10.0)];
        let idle = density(&learned, 0, 30.0);
        assert_eq!(best_density(&mut learned, 0, idle, false), idle);
        observe_answers(&mut learned[0], 60.0);
        let busy = density(&learned, 0, 30.0);
        let best = best_density(&mut learned, 0, busy, false);
        assert!((busy / best - 1.0).abs() < 1e-9, "{busy} of {best}");
        // A query with twice the parts has half the worth per work.
        let wider = density(&learned, 0, 60.0);
        let best = best_density(&mut learned, 0, wider, false);
        assert!((wider / best - 0.5).abs() < 1e-9, "{wider} of {best}");
    }

    #[test]
    fn a_class_with_a_provisional_unit_does_not_devalue_other_classes() {
        let mut learned =
            [known(60.0), ClassEstimates { work: WorkEstimate::new(CALL_WORK), ..ClassEstimates::default() }];
        let of_provisional = density(&learned, 1, 1.0);
        assert_eq!(best_density(&mut learned, 1, of_provisional, false), of_provisional);
        let of_known = density(&learned, 0, 1.0);
        assert_eq!(best_density(&mut learned, 0, of_known, false), of_known);
        observe_answers(&mut learned[1], 30.0);
        assert!(best_density(&mut learned, 0, of_known, false) > 1.5 * of_known);
    }

    #[test]
    fn worth_that_grows_with_work_is_not_divided_by_the_unit() {
        let mut learned = [known(10.0), known(60.0)];
        assert_eq!(best_density(&mut learned, 0, 2.0, true), 2.0);
        assert_eq!(best_density(&mut learned, 1, 1.0, true), 2.0);
    }
}
