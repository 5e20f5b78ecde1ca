//! Pace of one server: expected time until an answer per unit of work outstanding there.

/// The smoothed pace of one server.
///
/// The time of an answer is a measurement of both the server's pace and the class's unit of work. While the
/// unit is provisional, that time changes both, and a forecast from the two would contain it twice. So the
/// pace is kept in two forms: as measured, and rescaled to what would have been measured had the unit been
/// known from the first answer on. Once the unit is known, the two forms converge again with every answer.
#[derive(Clone, Debug)]
pub(crate) struct Pace {
    measured: f64,
    rescaled: f64,
    /// Whether any answer was observed.
    has_answers: bool,
    /// By class: the share of `rescaled` that comes from answers measured with a provisional unit of work.
    provisional: Vec<(usize, f64)>,
}

impl Pace {
    /// An assumed pace, before any answer.
    pub(crate) fn new(measured: f64, rescaled: f64) -> Self {
        Pace { measured, rescaled, has_answers: false, provisional: Vec::new() }
    }

    /// The pace as measured, by which servers are compared.
    pub(crate) fn measured(&self) -> f64 {
        self.measured
    }

    /// The pace without the effect of changes of a provisional unit of work, by which the time of an answer
    /// is forecast.
    pub(crate) fn rescaled(&self) -> f64 {
        self.rescaled
    }

    /// Moves each form by the share `weight` of its distance to the given value.
    pub(crate) fn move_towards(&mut self, measured: f64, rescaled: f64, weight: f64) {
        self.measured += weight * (measured - self.measured);
        self.rescaled += weight * (rescaled - self.rescaled);
        self.provisional.iter_mut().for_each(|(_, share)| *share *= 1.0 - weight);
    }

    /// Takes in an observation that is only a lower bound, as of an attempt that timed out: it can raise the
    /// pace but not lower it.
    pub(crate) fn observe_lower_bound(&mut self, lower_bound: f64, weight: f64) {
        self.move_towards(lower_bound.max(self.measured), lower_bound.max(self.rescaled), weight);
    }

    /// Takes in an answer of a class whose unit of work is known.
    pub(crate) fn observe(&mut self, measured: f64, rescaled: f64, weight: f64) {
        self.has_answers = true;
        self.move_towards(measured, rescaled, weight);
    }

    /// Takes in an answer that was measured with a provisional unit of work, which has grown by the factor
    /// `ratio` since.
    ///
    /// The first answer is all that is known of the server. If it is slower than the assumed pace, it
    /// replaces the rescaled pace, which would otherwise keep most of the assumption for many answers. If it
    /// is faster, that may be chance, and it counts with `weight` only.
    pub(crate) fn observe_provisional(&mut self, class: usize, measured: f64, ratio: f64, weight: f64) {
        let rescaled = measured / ratio;
        if !std::mem::replace(&mut self.has_answers, true) && rescaled > self.rescaled {
            self.measured += weight * (measured - self.measured);
            self.rescaled = rescaled;
            self.provisional = vec![(class, rescaled)];
            return;
        }
        self.move_towards(measured, rescaled, weight);
        match self.provisional.iter_mut().find(|(of, _)| *of == class) {
            Some((_, share)) => *share += weight * rescaled,
            None => self.provisional.push((class, weight * rescaled)),
        }
    }

    /// Applies a change of a class's provisional unit of work by the factor `ratio`.
    pub(crate) fn rescale(&mut self, class: usize, ratio: f64) {
        if let Some((_, share)) = self.provisional.iter_mut().find(|(of, _)| *of == class) {
            let rescaled = *share / ratio;
            self.rescaled += rescaled - *share;
            *share = rescaled;
        }
    }

    /// Records that a class's unit of work is known from now on: the share of the pace that comes from it is
    /// not rescaled any more.
    pub(crate) fn settle(&mut self, class: usize) {
        self.provisional.retain(|(of, _)| *of != class);
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    /// A provisional unit of work, the unit that it grows to, and the pace that is assumed before any answer.
    const PROVISIONAL_UNIT: f64 = 2.0;
    const UNIT: f64 = 35.0;
    const ASSUMED_PACE: f64 = 0.8;

    /// The pace after answers in these times, each measured with this provisional unit of work.
    fn learned(times: &[f64], unit: f64) -> Pace {
        let mut pace = Pace::new(ASSUMED_PACE, ASSUMED_PACE);
        times.iter().for_each(|time| pace.observe_provisional(0, time / unit, 1.0, 0.2));
        pace
    }

    #[test]
    fn a_rescaled_pace_is_what_the_known_unit_would_have_measured() {
        let times = [35.0, 40.0, 10.0];
        let mut pace = learned(&times, PROVISIONAL_UNIT);
        let measured = pace.measured();
        pace.rescale(0, UNIT / PROVISIONAL_UNIT);
        let known = learned(&times, UNIT);
        assert!((pace.rescaled() - known.rescaled()).abs() < 1e-9, "{pace:?}");
        assert_eq!(pace.measured(), measured);
        // An attempt that was in flight when the unit changed.
        pace.observe_provisional(0, 35.0 / PROVISIONAL_UNIT, UNIT / PROVISIONAL_UNIT, 0.2);
        assert!(
            (pace.rescaled() - learned(&[35.0, 40.0, 10.0, 35.0], UNIT).rescaled()).abs() < 1e-9,
            "{pace:?}"
        );
    }

    #[test]
    fn other_classes_and_settled_classes_do_not_rescale_a_pace() {
        let mut pace = learned(&[35.0], PROVISIONAL_UNIT);
        let before = pace.rescaled();
        pace.rescale(1, 17.5);
        assert_eq!(pace.rescaled(), before);
        pace.settle(0);
        pace.rescale(0, 17.5);
        assert_eq!(pace.rescaled(), before);
    }

    #[test]
    fn measured_and_rescaled_pace_converge_once_the_unit_is_known() {
        let mut pace = learned(&[35.0; 3], PROVISIONAL_UNIT);
        pace.rescale(0, UNIT / PROVISIONAL_UNIT);
        pace.settle(0);
        (0..40).for_each(|_| pace.move_towards(1.0, 1.0, 0.2));
        assert!((pace.measured() - pace.rescaled()).abs() < 0.01, "{pace:?}");
    }

    #[test]
    fn only_a_first_answer_that_is_slower_replaces_the_assumed_pace() {
        let mut pace = learned(&[70.0], UNIT);
        assert_eq!(pace.rescaled(), 2.0);
        pace.observe_provisional(0, 1.0, 1.0, 0.2);
        assert!((pace.rescaled() - 1.8).abs() < 1e-9, "{pace:?}");
        let mut fast = Pace::new(ASSUMED_PACE, ASSUMED_PACE);
        fast.observe_provisional(0, 0.3, 1.0, 0.2);
        assert!((fast.rescaled() - 0.7).abs() < 1e-9, "{fast:?}");
        let mut known = Pace::new(ASSUMED_PACE, ASSUMED_PACE);
        known.observe(1.8, 1.8, 0.2);
        known.observe_provisional(0, 1.0, 1.0, 0.2);
        assert!((known.rescaled() - 1.0).abs() < 1e-9, "{known:?}");
    }

    #[test]
    fn a_lower_bound_below_the_pace_changes_nothing() {
        let mut pace = learned(&[35.0], PROVISIONAL_UNIT);
        let before = (pace.measured(), pace.rescaled());
        pace.observe_lower_bound(0.1, 0.2);
        assert_eq!((pace.measured(), pace.rescaled()), before);
    }
}
