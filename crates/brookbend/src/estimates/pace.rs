//! How fast one server answers: time until an answer per work outstanding there.

/// The smoothed pace of one server.
///
/// An answer tells its server's pace and its class's unit of work by one and the same time. While the unit is a guess, that
/// time moves both, and a forecast from the two would hold it twice. So the pace is kept in two ways: as it was told, and
/// rescaled, by what it would have been told had the unit been known from the first answer on. Once the unit is known the
/// two come together again, by as much with each answer.
#[derive(Clone, Debug)]
pub(crate) struct Pace {
    told: f64,
    rescaled: f64,
    /// Whether an answer was observed.
    heard: bool,
    /// By class: the part of `rescaled` that rests on answers measured against a guess of its unit of work.
    provisional: Vec<(usize, f64)>,
}

impl Pace {
    /// A pace that rests on no answer.
    pub(crate) fn new(told: f64, rescaled: f64) -> Self {
        Pace { told, rescaled, heard: false, provisional: Vec::new() }
    }

    /// As it was told: what servers are compared by.
    pub(crate) fn measured(&self) -> f64 {
        self.told
    }

    /// Without what a changed guess of the work explains: what the time of an answer is forecast by.
    pub(crate) fn rescaled(&self) -> f64 {
        self.rescaled
    }

    /// Moves by the share `weight` towards a pace that is told, and one that is rescaled.
    pub(crate) fn move_towards(&mut self, told: f64, rescaled: f64, weight: f64) {
        self.told += weight * (told - self.told);
        self.rescaled += weight * (rescaled - self.rescaled);
        self.provisional.iter_mut().for_each(|(_, part)| *part *= 1.0 - weight);
    }

    /// What is seen is a lower bound.
    pub(crate) fn observe_lower_bound(&mut self, seen: f64, weight: f64) {
        self.move_towards(seen.max(self.told), seen.max(self.rescaled), weight);
    }

    /// An answer of a class whose unit of work is known tells this; it counts for `weight`.
    pub(crate) fn observe(&mut self, told: f64, rescaled: f64, weight: f64) {
        self.heard = true;
        self.move_towards(told, rescaled, weight);
    }

    /// An answer tells this that was measured against a guess of its class's unit of work, which has grown by `ratio` since.
    /// The first one is all that is known of the time that the server takes: where it is slower than the guess it replaces the
    /// rescaled pace, of which the guess would else keep the most for many answers. One that is quicker may be chance.
    pub(crate) fn observe_provisional(&mut self, class: usize, seen: f64, ratio: f64, weight: f64) {
        let rescaled = seen / ratio;
        if !std::mem::replace(&mut self.heard, true) && rescaled > self.rescaled {
            self.told += weight * (seen - self.told);
            self.rescaled = rescaled;
            self.provisional = vec![(class, rescaled)];
            return;
        }
        self.move_towards(seen, rescaled, weight);
        match self.provisional.iter_mut().find(|(of, _)| *of == class) {
            Some((_, part)) => *part += weight * rescaled,
            None => self.provisional.push((class, weight * rescaled)),
        }
    }

    /// The unit of work of a class is taken to be `ratio` times what it was.
    pub(crate) fn rescale(&mut self, class: usize, ratio: f64) {
        if let Some((_, part)) = self.provisional.iter_mut().find(|(of, _)| *of == class) {
            let rescaled = *part / ratio;
            self.rescaled += rescaled - *part;
            *part = rescaled;
        }
    }

    /// The unit of work of a class is known from now on: what rests on it stays as it is.
    pub(crate) fn settle(&mut self, class: usize) {
        self.provisional.retain(|(of, _)| *of != class);
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    const GUESS: f64 = 2.0;
    const UNIT: f64 = 35.0;
    const FIRST: f64 = 0.8;

    /// The pace after these answer times, measured against this unit of work.
    fn learned(times: &[f64], unit: f64) -> Pace {
        let mut pace = Pace::new(FIRST, FIRST);
        times.iter().for_each(|time| pace.observe_provisional(0, time / unit, 1.0, 0.2));
        pace
    }

    #[test]
    fn a_rescaled_pace_is_what_the_known_unit_would_have_told() {
        let times = [35.0, 40.0, 10.0];
        let mut pace = learned(&times, GUESS);
        let told = pace.measured();
        pace.rescale(0, UNIT / GUESS);
        let known = learned(&times, UNIT);
        assert!((pace.rescaled() - known.rescaled()).abs() < 1e-9, "{pace:?}");
        assert_eq!(pace.measured(), told);
        // One that was under way when the guess moved.
        pace.observe_provisional(0, 35.0 / GUESS, UNIT / GUESS, 0.2);
        assert!(
            (pace.rescaled() - learned(&[35.0, 40.0, 10.0, 35.0], UNIT).rescaled()).abs() < 1e-9,
            "{pace:?}"
        );
    }

    #[test]
    fn other_classes_and_settled_ones_rescale_nothing() {
        let mut pace = learned(&[35.0], GUESS);
        let before = pace.rescaled();
        pace.rescale(1, 17.5);
        assert_eq!(pace.rescaled(), before);
        pace.settle(0);
        pace.rescale(0, 17.5);
        assert_eq!(pace.rescaled(), before);
    }

    #[test]
    fn both_come_together_once_the_unit_is_known() {
        let mut pace = learned(&[35.0; 3], GUESS);
        pace.rescale(0, UNIT / GUESS);
        pace.settle(0);
        (0..40).for_each(|_| pace.move_towards(1.0, 1.0, 0.2));
        assert!((pace.measured() - pace.rescaled()).abs() < 0.01, "{pace:?}");
    }

    #[test]
    fn a_first_answer_that_is_slower_replaces_the_guess_and_others_count_in_part() {
        let mut pace = learned(&[70.0], UNIT);
        assert_eq!(pace.rescaled(), 2.0);
        pace.observe_provisional(0, 1.0, 1.0, 0.2);
        assert!((pace.rescaled() - 1.8).abs() < 1e-9, "{pace:?}");
        let mut quick = Pace::new(FIRST, FIRST);
        quick.observe_provisional(0, 0.3, 1.0, 0.2);
        assert!((quick.rescaled() - 0.7).abs() < 1e-9, "{quick:?}");
        let mut known = Pace::new(FIRST, FIRST);
        known.observe(1.8, 1.8, 0.2);
        known.observe_provisional(0, 1.0, 1.0, 0.2);
        assert!((known.rescaled() - 1.0).abs() < 1e-9, "{known:?}");
    }

    #[test]
    fn a_lower_bound_lowers_nothing() {
        let mut pace = learned(&[35.0], GUESS);
        let before = (pace.measured(), pace.rescaled());
        pace.observe_lower_bound(0.1, 0.2);
        assert_eq!((pace.measured(), pace.rescaled()), before);
    }
}
