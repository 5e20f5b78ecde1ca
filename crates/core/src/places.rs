//! Places of classes and tenants: which index is whose when the settings change.
//!
//! A query holds the index of its class until it ends, and its rules are those of that place. So a place is never changed
//! while it is in use: a class that changes moves to another, and one that leaves keeps its own until it is long empty.
//! A tenant has one place for as long as it is named, and what one that leaves had holds for its queries.

use brookbend::NewClass;
use brookbend::api::{Class, ClassIndex, Settings, Tenant};
use plover_model::query::Names;
use plover_model::time::{Micros, SECOND, millis};
use std::collections::BTreeSet;
use std::fmt;

/// Most places of classes, and of tenants.
pub const MOST_PLACES: usize = 256;
/// A place that was left is used again after this time at the earliest: requests that were read under the old names
/// reach the queries a turn later, and are read by them for a while after a change.
const REST: Micros = 30 * SECOND;

/// Why settings cannot be taken.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct TooMany(&'static str);

impl fmt::Display for TooMany {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{} have changed too often: {MOST_PLACES} places are in use; try again in a minute", self.0)
    }
}

#[derive(Clone, Debug)]
struct Place<T> {
    name: String,
    /// What the settings say of it; of one that has left, what they said last.
    is: T,
    /// Queries in hand.
    open: usize,
    left: Option<Micros>,
}

impl<T> Place<T> {
    fn new(name: &str, is: T) -> Self {
        Place { name: name.to_owned(), is, open: 0, left: None }
    }

    /// Whether nothing of it is left: neither a query nor a request that was read under its name.
    fn is_rested(&self, now: Micros) -> bool {
        self.open == 0 && self.left.is_some_and(|at| now >= at + REST)
    }
}

/// All places.
#[derive(Clone, Debug, Default)]
pub(crate) struct Places {
    classes: Vec<Place<Class>>,
    tenants: Vec<Place<Tenant>>,
}

/// Settings and names with their indices as the places have them.
#[derive(Clone, Debug)]
pub struct Placed {
    /// What the decisions go by.
    pub settings: Settings,
    /// What requests may name.
    pub names: Names,
    /// Tenants that begin at an index which another may have had long before.
    pub tenants_begun: Vec<usize>,
    pub(crate) at: Micros,
    pub(crate) begun: Vec<NewClass>,
    places: Places,
}

/// Without tenants all queries are one's who has no name, and no share that could be passed.
const NOBODY: (&str, Tenant) = ("", Tenant { quota_per_s: 1e9 });

/// The tenants that the settings have.
fn tenants<'a>(settings: &'a Settings, names: &'a Names) -> impl Iterator<Item = (&'a str, Tenant)> {
    let nobody = names.tenants.is_empty().then_some(NOBODY);
    let share = |i: usize| settings.tenants.get(i).cloned().unwrap_or(NOBODY.1);
    names.tenants.iter().enumerate().map(move |(i, name)| (name.as_str(), share(i))).chain(nobody)
}

/// A place for one that has none: one that has rested, else a new one.
fn begin<T>(places: &mut Vec<Place<T>>, now: Micros, place: Place<T>) -> Option<usize> {
    match places.iter().position(|p| p.is_rested(now)) {
        Some(index) => {
            places[index] = place;
            Some(index)
        }
        None if places.len() < MOST_PLACES => {
            places.push(place);
            Some(places.len() - 1)
        }
        None => None,
    }
}

/// All but these have left.
fn leave<T>(places: &mut [Place<T>], now: Micros, live: &BTreeSet<usize>) {
    for (i, place) in places.iter_mut().enumerate() {
        if !live.contains(&i) {
            place.left.get_or_insert(now);
        }
    }
}

impl Places {
    /// At a start: each class and tenant has the place that the settings give it. Without names, they have none.
    pub(crate) fn new(settings: &Settings, names: &Names) -> Self {
        let name = |i: usize| names.classes.get(i).map_or("", String::as_str);
        let classes = settings.classes.iter().enumerate();
        Places {
            classes: classes.map(|(i, class)| Place::new(name(i), class.clone())).collect(),
            tenants: tenants(settings, names).map(|(name, tenant)| Place::new(name, tenant)).collect(),
        }
    }

    /// Where everything would be under other settings. Nothing is changed by this.
    pub(crate) fn plan(&self, now: Micros, new: &Settings, names: &Names) -> Result<Placed, TooMany> {
        let mut places = self.clone();
        let (mut begun, mut tenants_begun) = (Vec::new(), Vec::new());
        let mut live = BTreeSet::new();
        for (class, name) in new.classes.iter().zip(&names.classes) {
            let current = places.classes.iter().position(|p| p.left.is_none() && p.name == *name);
            if let Some(same) = current.filter(|i| places.classes[*i].is == *class) {
                live.insert(same);
                continue;
            }
            let place = Place::new(name, class.clone());
            let index = begin(&mut places.classes, now, place).ok_or(TooMany("classes"))?;
            live.insert(index);
            begun.push(NewClass { class: ClassIndex(index), inherits_from: current.map(ClassIndex) });
        }
        leave(&mut places.classes, now, &live);
        let mut live = BTreeSet::new();
        for (name, tenant) in tenants(new, names) {
            let index = match places.tenants.iter().position(|p| p.name == name) {
                // One that comes back has what it had.
                Some(same) => {
                    (places.tenants[same].is, places.tenants[same].left) = (tenant, None);
                    same
                }
                None => {
                    let place = Place::new(name, tenant);
                    let index = begin(&mut places.tenants, now, place).ok_or(TooMany("tenants"))?;
                    tenants_begun.push(index);
                    index
                }
            };
            live.insert(index);
        }
        leave(&mut places.tenants, now, &live);
        Ok(Placed {
            settings: places.settings(now, new),
            names: places.names(names),
            tenants_begun,
            at: now,
            begun,
            places,
        })
    }

    /// The settings with their classes and tenants as the places have them at this moment.
    pub(crate) fn settings(&self, now: Micros, new: &Settings) -> Settings {
        // The aims of classes that have left count for nothing but their own queries; the decisions go by the shortest.
        let live = self.classes.iter().filter(|p| p.left.is_none());
        let shortest = live.map(|p| p.is.aim).fold(f64::INFINITY, f64::min);
        let class = |p: &Place<Class>| match p.is_rested(now) {
            true => Class { aim: p.is.aim.max(shortest), ..p.is.clone() },
            false => p.is.clone(),
        };
        Settings {
            classes: self.classes.iter().map(class).collect(),
            tenants: self.tenants.iter().map(|p| p.is.clone()).collect(),
            ..new.clone()
        }
    }

    fn names(&self, new: &Names) -> Names {
        fn left<T>(places: &[Place<T>]) -> BTreeSet<usize> {
            (0..places.len()).filter(|i| places[*i].left.is_some()).collect()
        }
        Names {
            classes: self.classes.iter().map(|p| p.name.clone()).collect(),
            tenants: self.tenants.iter().map(|p| p.name.clone()).collect(),
            zones: new.zones.clone(),
            classes_left: left(&self.classes),
            tenants_left: left(&self.tenants),
        }
    }

    /// When a class that has left counts for nothing any more, if one does still.
    pub(crate) fn rest_at(&self, now: Micros) -> Option<Micros> {
        let resting = self.classes.iter().filter(|p| !p.is_rested(now)).filter_map(|p| p.left);
        resting.min().map(|at| (at + REST).max(now + REST / 30))
    }

    /// The longest time that a client of a class in force waits.
    pub(crate) fn longest_wait(&self) -> Micros {
        let live = self.classes.iter().filter(|p| p.left.is_none());
        live.map(|p| millis(p.is.give_up)).max().unwrap_or(0)
    }

    /// Goes by what was planned; what is open since is counted still.
    pub(crate) fn adopt(&mut self, placed: &Placed) {
        let before = std::mem::replace(self, placed.places.clone());
        self.classes.iter_mut().zip(before.classes).for_each(|(p, before)| p.open = before.open);
        self.tenants.iter_mut().zip(before.tenants).for_each(|(p, before)| p.open = before.open);
    }

    /// The names of the classes in force, by index; empty where one has left.
    pub(crate) fn live(&self) -> Vec<String> {
        self.classes.iter().map(|p| if p.left.is_none() { p.name.clone() } else { String::new() }).collect()
    }

    /// A query of a class and a tenant is in hand.
    pub(crate) fn open(&mut self, class: usize, tenant: usize) {
        self.classes.get_mut(class).into_iter().for_each(|place| place.open += 1);
        self.tenants.get_mut(tenant).into_iter().for_each(|place| place.open += 1);
    }

    /// It has ended.
    pub(crate) fn close(&mut self, class: usize, tenant: usize) {
        self.classes.get_mut(class).into_iter().for_each(|place| place.open -= 1);
        self.tenants.get_mut(tenant).into_iter().for_each(|place| place.open -= 1);
    }
}

#[cfg(test)]
mod tests;
