//! Loads through time: smoothed, with how far they swing.

use plover_model::time::Micros;
use plover_ranges::{Fleet, RangeId, RangeLoad, RangeMap};
use std::collections::{BTreeMap, BTreeSet};

/// A figure that is measured again and again.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Smoothed {
    /// Its mean, newer values counted more.
    pub mean: f64,
    /// Mean square of what values are off the mean, weighted alike.
    pub variance: f64,
    /// Values that were taken in.
    pub samples: u32,
    at: Micros,
}

impl Smoothed {
    /// A figure of which one value is known.
    pub fn first(value: f64, now: Micros) -> Smoothed {
        Smoothed { mean: value, variance: 0.0, samples: 1, at: now }
    }

    /// Takes in a value. After a silence of `half` the value and all before it count alike.
    pub fn take(&mut self, value: f64, now: Micros, half: Micros) {
        let since = now.saturating_sub(self.at) as f64;
        let weight = since / (since + half.max(1) as f64);
        let off = value - self.mean;
        self.mean += weight * off;
        self.variance = (1.0 - weight) * (self.variance + weight * off * off);
        self.samples = self.samples.saturating_add(1);
        self.at = now;
    }

    /// How far values are off the mean, in the figure's unit.
    pub fn deviation(&self) -> f64 {
        self.variance.max(0.0).sqrt()
    }

    /// The mean less so many deviations; not below 0.
    pub fn lighter(&self, deviations: f64) -> f64 {
        (self.mean - deviations * self.deviation()).max(0.0)
    }
}

#[derive(Clone, Debug)]
struct Watched {
    rate: Smoothed,
    work: Smoothed,
    newest: RangeLoad,
    /// When the newest figures were measured.
    measured: Micros,
}

/// The loads of all ranges of the map.
#[derive(Clone, Debug, Default)]
pub struct Watch {
    ranges: BTreeMap<RangeId, Watched>,
}

impl Watch {
    /// Takes in what was measured since the last time. Ranges that are no longer in the map are forgotten, so that it holds
    /// no more of them than the map.
    pub fn take(&mut self, map: &RangeMap, fleet: &Fleet, now: Micros, half: Micros) {
        let there: BTreeSet<RangeId> = map.ranges().map(|held| held.id).collect();
        self.ranges.retain(|id, _| there.contains(id));
        for (&id, load) in fleet.loads.iter().filter(|(id, _)| there.contains(id)) {
            if !load.rate.is_finite() || !load.work.is_finite() {
                continue;
            }
            let measured = now.saturating_sub(load.age);
            match self.ranges.get_mut(&id) {
                None => {
                    let first = |value: f64| Smoothed::first(value.max(0.0), measured);
                    let watched =
                        Watched { rate: first(load.rate), work: first(load.work), newest: *load, measured };
                    self.ranges.insert(id, watched);
                }
                // The same figures once more, or older ones, say nothing new.
                Some(watched) if measured <= watched.measured => {}
                Some(watched) => {
                    watched.rate.take(load.rate.max(0.0), measured, half);
                    watched.work.take(load.work.max(0.0), measured, half);
                    (watched.newest, watched.measured) = (*load, measured);
                }
            }
        }
    }

    /// The smoothed load of a range, its age as of now.
    pub fn load(&self, id: RangeId, now: Micros) -> Option<RangeLoad> {
        self.ranges.get(&id).map(|watched| RangeLoad {
            rate: watched.rate.mean,
            work: watched.work.mean,
            age: now.saturating_sub(watched.measured),
            ..watched.newest
        })
    }

    /// The same, with as many queries and as much work as it has at least, short of so many deviations.
    pub fn lighter(&self, id: RangeId, now: Micros, deviations: f64) -> Option<RangeLoad> {
        let watched = self.ranges.get(&id)?;
        let (rate, work) = (watched.rate.lighter(deviations), watched.work.lighter(deviations));
        self.load(id, now).map(|load| RangeLoad { rate, work, ..load })
    }

    /// Measurements of a range so far.
    pub fn samples(&self, id: RangeId) -> u32 {
        self.ranges.get(&id).map_or(0, |watched| watched.rate.samples)
    }
}
