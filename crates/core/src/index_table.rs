//! Assignment of classes and tenants to indices when the settings change.
//!
//! A query keeps the index of its class until it ends, and the rules at that index apply to it. The entry of
//! a class therefore never changes while it is in use: a class whose settings change moves to another index,
//! and a removed class keeps its index until it has no open queries and was removed at least `RETENTION` ago.
//! If no index is left, a class that is changed back takes the index that it had with the same settings.
//! A tenant keeps its index as long as the settings name it, and its entry takes the new settings; a removed
//! tenant keeps its settings for its open queries.

use brookbend::NewClass;
use brookbend::api::{Class, ClassIndex, Settings, Tenant};
use plover_model::configuration::NamedClass;
use plover_model::query::Names;
use plover_model::time::{Micros, SECOND, millis};
use std::collections::BTreeSet;
use std::fmt;

/// Maximum number of indices of classes, and of tenants.
pub const MAX_INDICES: usize = 256;
/// Minimum time before the index of a removed class or tenant is reused. Requests are decoded with the
/// previous names for a while after a change, and they are admitted a turn after they are decoded.
const RETENTION: Micros = 30 * SECOND;

/// The error when new settings cannot be applied because all indices of classes, or of tenants, are in use.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct TooManyIndices(&'static str);

impl fmt::Display for TooManyIndices {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(
            f,
            "{} have changed too often: all {MAX_INDICES} indices are in use; try again in a minute",
            self.0
        )
    }
}

#[derive(Clone, Debug)]
struct Entry<T> {
    name: String,
    /// Settings of the class or tenant; for a removed one, its last settings.
    settings: T,
    /// Number of open queries.
    open_queries: usize,
    /// Time of the removal; `None` while the settings name the class or tenant.
    removed_at: Option<Micros>,
}

impl<T> Entry<T> {
    fn new(name: &str, settings: T) -> Self {
        Entry { name: name.to_owned(), settings, open_queries: 0, removed_at: None }
    }

    /// Returns whether the entry was removed and neither an open query nor a decoded request can still refer
    /// to it.
    fn is_unused(&self, now: Micros) -> bool {
        self.open_queries == 0 && self.removed_at.is_some_and(|at| now >= at + RETENTION)
    }
}

/// The entries of all classes and tenants, by index.
#[derive(Clone, Debug, Default)]
pub(crate) struct IndexTable {
    classes: Vec<Entry<Class>>,
    tenants: Vec<Entry<Tenant>>,
}

/// Settings and names in the order of the assigned indices.
#[derive(Clone, Debug)]
pub struct IndexedSettings {
    /// Settings for the decision module.
    pub settings: Settings,
    /// Names of all classes and tenants, and the indices of the removed ones, which new requests may not use.
    pub names: Names,
    /// Indices of new tenants. A removed tenant may have had such an index before.
    pub new_tenants: Vec<usize>,
    /// Time at which the indices were computed.
    pub(crate) indexed_at: Micros,
    pub(crate) new_classes: Vec<NewClass>,
    table: IndexTable,
}

impl IndexedSettings {
    /// Returns the names by which only these classes and tenants are current. They have to be in the table.
    pub fn names_of(&self, classes: &[NamedClass], tenants: &[String]) -> Names {
        let is_class = |e: &Entry<Class>| classes.iter().any(|c| c.name == e.name && c.class == e.settings);
        let is_tenant = |e: &Entry<Tenant>| tenants.contains(&e.name);
        Names {
            removed_classes: indices_without(&self.table.classes, is_class),
            removed_tenants: indices_without(&self.table.tenants, is_tenant),
            ..self.names.clone()
        }
    }
}

/// Returns the indices of all entries that are not as described.
fn indices_without<T>(entries: &[Entry<T>], is_described: impl Fn(&Entry<T>) -> bool) -> BTreeSet<usize> {
    (0..entries.len()).filter(|i| !is_described(&entries[*i])).collect()
}

/// The tenant of all queries if the settings name no tenants. It has no name, and a quota that is never
/// exceeded.
const IMPLICIT_TENANT: (&str, Tenant) = ("", Tenant { quota_per_s: 1e9 });

/// Returns the names and settings of the tenants, or the implicit tenant if the settings name none.
fn configured_tenants<'a>(
    settings: &'a Settings,
    names: &'a Names,
) -> impl Iterator<Item = (&'a str, Tenant)> {
    let implicit = names.tenants.is_empty().then_some(IMPLICIT_TENANT);
    let tenant = |i: usize| settings.tenants.get(i).cloned().unwrap_or(IMPLICIT_TENANT.1);
    names.tenants.iter().enumerate().map(move |(i, name)| (name.as_str(), tenant(i))).chain(implicit)
}

/// Assigns an index to a new entry: one of an unused entry if there is any, else the next one. Returns `None`
/// if all indices are in use.
fn assign_index<T>(entries: &mut Vec<Entry<T>>, now: Micros, entry: Entry<T>) -> Option<usize> {
    match entries.iter().position(|e| e.is_unused(now)) {
        Some(index) => {
            entries[index] = entry;
            Some(index)
        }
        None if entries.len() < MAX_INDICES => {
            entries.push(entry);
            Some(entries.len() - 1)
        }
        None => None,
    }
}

/// Returns the index of a removed class of this name with the same settings, which holds for its open queries
/// and for new ones alike.
fn reinstate(classes: &mut [Entry<Class>], name: &str, class: &Class) -> Option<usize> {
    let is_same = |e: &Entry<Class>| e.removed_at.is_some() && e.name == name && e.settings == *class;
    let index = classes.iter().position(is_same)?;
    classes[index].removed_at = None;
    Some(index)
}

/// Marks all entries but the current ones as removed.
fn mark_removed<T>(entries: &mut [Entry<T>], now: Micros, current: &BTreeSet<usize>) {
    for (i, entry) in entries.iter_mut().enumerate() {
        if !current.contains(&i) {
            entry.removed_at.get_or_insert(now);
        }
    }
}

impl IndexTable {
    /// Creates the table at the start of a process, with the indices of the settings. Classes without a name
    /// get an empty one.
    pub(crate) fn new(settings: &Settings, names: &Names) -> Self {
        let name = |i: usize| names.classes.get(i).map_or("", String::as_str);
        let classes = settings.classes.iter().enumerate();
        IndexTable {
            classes: classes.map(|(i, class)| Entry::new(name(i), class.clone())).collect(),
            tenants: configured_tenants(settings, names)
                .map(|(name, tenant)| Entry::new(name, tenant))
                .collect(),
        }
    }

    /// Computes the indices under new settings, without changing this table.
    pub(crate) fn plan(
        &self,
        now: Micros,
        new: &Settings,
        names: &Names,
    ) -> Result<IndexedSettings, TooManyIndices> {
        let mut table = self.clone();
        let (mut new_classes, mut new_tenants) = (Vec::new(), Vec::new());
        let mut current = BTreeSet::new();
        for (class, name) in new.classes.iter().zip(&names.classes) {
            let previous = table.classes.iter().position(|e| e.removed_at.is_none() && e.name == *name);
            if let Some(unchanged) = previous.filter(|i| table.classes[*i].settings == *class) {
                current.insert(unchanged);
                continue;
            }
            let entry = Entry::new(name, class.clone());
            let index = assign_index(&mut table.classes, now, entry)
                .or_else(|| reinstate(&mut table.classes, name, class))
                .ok_or(TooManyIndices("classes"))?;
            current.insert(index);
            new_classes.push(NewClass { class: ClassIndex(index), inherits_from: previous.map(ClassIndex) });
        }
        mark_removed(&mut table.classes, now, &current);
        let mut current = BTreeSet::new();
        for (name, tenant) in configured_tenants(new, names) {
            let index = match table.tenants.iter().position(|e| e.name == name) {
                // A removed tenant that is named again gets its old index.
                Some(index) => {
                    (table.tenants[index].settings, table.tenants[index].removed_at) = (tenant, None);
                    index
                }
                None => {
                    let entry = Entry::new(name, tenant);
                    let index =
                        assign_index(&mut table.tenants, now, entry).ok_or(TooManyIndices("tenants"))?;
                    new_tenants.push(index);
                    index
                }
            };
            current.insert(index);
        }
        mark_removed(&mut table.tenants, now, &current);
        Ok(IndexedSettings {
            settings: table.settings(now, new),
            names: table.names(&names.zones),
            new_tenants,
            indexed_at: now,
            new_classes,
            table,
        })
    }

    /// Computes the indices of classes and tenants that another process reported, without changing this
    /// table. Those that are not current count as removed now.
    pub(crate) fn plan_reported(
        &self,
        now: Micros,
        current: &Settings,
        zones: &[String],
        classes: &[NamedClass],
        tenants: &[String],
    ) -> Result<IndexedSettings, TooManyIndices> {
        let mut table = self.clone();
        let mut new_classes = Vec::new();
        for NamedClass { name, class } in classes {
            let same = table.classes.iter_mut().find(|e| e.name == *name && e.settings == *class);
            if let Some(entry) = same {
                entry.removed_at = entry.removed_at.map(|_| now);
                continue;
            }
            let by_name = table.classes.iter().position(|e| e.removed_at.is_none() && e.name == *name);
            let entry = Entry { removed_at: Some(now), ..Entry::new(name, class.clone()) };
            let index = assign_index(&mut table.classes, now, entry).ok_or(TooManyIndices("classes"))?;
            new_classes.push(NewClass { class: ClassIndex(index), inherits_from: by_name.map(ClassIndex) });
        }
        let mut new_tenants = Vec::new();
        for name in tenants {
            if let Some(entry) = table.tenants.iter_mut().find(|e| e.name == *name) {
                entry.removed_at = entry.removed_at.map(|_| now);
                continue;
            }
            let entry = Entry { removed_at: Some(now), ..Entry::new(name, IMPLICIT_TENANT.1) };
            new_tenants.push(assign_index(&mut table.tenants, now, entry).ok_or(TooManyIndices("tenants"))?);
        }
        Ok(IndexedSettings {
            settings: table.settings(now, current),
            names: table.names(zones),
            new_tenants,
            indexed_at: now,
            new_classes,
            table,
        })
    }

    /// Returns the settings with the classes and tenants of this table at time `now`.
    pub(crate) fn settings(&self, now: Micros, new: &Settings) -> Settings {
        // The decision module uses the shortest aim of all classes. The aim of a removed class must no longer
        // count once the class is unused.
        let current = self.classes.iter().filter(|e| e.removed_at.is_none());
        let shortest = current.map(|e| e.settings.aim).fold(f64::INFINITY, f64::min);
        let class = |e: &Entry<Class>| match e.is_unused(now) {
            true => Class { aim: e.settings.aim.max(shortest), ..e.settings.clone() },
            false => e.settings.clone(),
        };
        Settings {
            classes: self.classes.iter().map(class).collect(),
            tenants: self.tenants.iter().map(|e| e.settings.clone()).collect(),
            ..new.clone()
        }
    }

    fn names(&self, zones: &[String]) -> Names {
        fn removed<T>(entries: &[Entry<T>]) -> BTreeSet<usize> {
            (0..entries.len()).filter(|i| entries[*i].removed_at.is_some()).collect()
        }
        Names {
            classes: self.classes.iter().map(|e| e.name.clone()).collect(),
            tenants: self.tenants.iter().map(|e| e.name.clone()).collect(),
            zones: zones.to_vec(),
            removed_classes: removed(&self.classes),
            removed_tenants: removed(&self.tenants),
        }
    }

    /// Returns the time at which the next removed class may have become unused, at least a second after
    /// `now`; `None` if no removed class is in use.
    pub(crate) fn next_retention_check(&self, now: Micros) -> Option<Micros> {
        let in_use = self.classes.iter().filter(|e| !e.is_unused(now)).filter_map(|e| e.removed_at);
        in_use.min().map(|at| (at + RETENTION).max(now + RETENTION / 30))
    }

    /// Returns the longest time that a client of any current class waits.
    pub(crate) fn max_client_timeout(&self) -> Micros {
        let current = self.classes.iter().filter(|e| e.removed_at.is_none());
        current.map(|e| millis(e.settings.give_up)).max().unwrap_or(0)
    }

    /// Replaces the entries by those of `indexed`. The counts of open queries are kept, since queries may
    /// have been opened and closed after the indices were computed.
    pub(crate) fn apply(&mut self, indexed: &IndexedSettings) {
        let previous = std::mem::replace(self, indexed.table.clone());
        self.classes.iter_mut().zip(previous.classes).for_each(|(e, p)| e.open_queries = p.open_queries);
        self.tenants.iter_mut().zip(previous.tenants).for_each(|(e, p)| e.open_queries = p.open_queries);
    }

    /// Returns the names of the classes, by index. The name of a removed class is empty.
    pub(crate) fn current_class_names(&self) -> Vec<String> {
        self.classes
            .iter()
            .map(|e| if e.removed_at.is_none() { e.name.clone() } else { String::new() })
            .collect()
    }

    /// Counts a new open query of a class and a tenant.
    pub(crate) fn open_query(&mut self, class: usize, tenant: usize) {
        self.classes.get_mut(class).into_iter().for_each(|entry| entry.open_queries += 1);
        self.tenants.get_mut(tenant).into_iter().for_each(|entry| entry.open_queries += 1);
    }

    /// Counts the end of a query of a class and a tenant.
    pub(crate) fn close_query(&mut self, class: usize, tenant: usize) {
        self.classes.get_mut(class).into_iter().for_each(|entry| entry.open_queries -= 1);
        self.tenants.get_mut(tenant).into_iter().for_each(|entry| entry.open_queries -= 1);
    }
}

#[cfg(test)]
mod tests;
