//! A configuration that requests are decoded with.

use crate::decode::{class_name, decode_as, unknown_class};
use brookbend::api::{Class, Semantics, Settings};
use http::Request;
use plover_model::configuration::NamedClass;
use plover_model::query::{Names, QueryRequest, Reply};
use plover_routes::CompiledRoutes;
use std::cmp::Reverse;
use std::collections::BTreeSet;
use std::sync::Arc;

/// Strictness of the semantics of a class: 0 for safe, 1 for keyed and 2 for unsafe classes, then the time in
/// milliseconds for which repeats are dropped. A shorter time is stricter.
pub(crate) type Strictness = (u8, Reverse<u64>);

/// The configuration that requests are decoded with. A class or tenant has the same index in all
/// configurations of a process.
#[derive(Clone, Debug, Default)]
pub struct RequestConfig {
    /// Names of classes and tenants that requests may use.
    pub names: Names,
    /// Settings of the platform; `None` until they are known. Until then all requests are refused.
    pub settings: Option<Settings>,
    /// Routes of the operator, which set limits for queries.
    pub routes: Arc<CompiledRoutes>,
}

impl RequestConfig {
    /// Decodes a request, and returns how strictly its class limits repeats. Of several current classes with
    /// the same name the strictest one that can decode the request applies.
    pub(crate) fn decode(&self, request: &Request<Vec<u8>>) -> Result<(QueryRequest, Strictness), Reply> {
        let Some(settings) = &self.settings else { return Err(Reply::Refused { retry_after: None }) };
        let mut result = Err(unknown_class());
        for class in self.names.classes_named(class_name(request)) {
            let strictness = strictness(settings.classes.get(class));
            if result.as_ref().is_ok_and(|(_, strictest)| *strictest >= strictness) {
                continue;
            }
            let decoded = decode_as(request, class, &self.names, settings, &self.routes);
            if decoded.is_ok() || result.is_err() {
                result = decoded.map(|query| (query, strictness));
            }
        }
        result
    }

    /// Whether this configuration and another one decode every request to the same query, with the same indices.
    pub(crate) fn decodes_like(&self, other: &RequestConfig) -> bool {
        self.has_shards_of(other)
            && self.indexed_classes().eq(other.indexed_classes())
            && self.indexed_tenants().eq(other.indexed_tenants())
    }

    /// Whether this configuration and another one have the same classes and tenants, by whatever indices.
    pub(crate) fn equals(&self, other: &RequestConfig) -> bool {
        let (classes, other_classes) = (self.classes(), other.classes());
        self.has_shards_of(other)
            && classes.iter().all(|class| other_classes.contains(class))
            && other_classes.iter().all(|class| classes.contains(class))
            && self.tenants().collect::<BTreeSet<_>>() == other.tenants().collect::<BTreeSet<_>>()
    }

    fn has_shards_of(&self, other: &RequestConfig) -> bool {
        let (Some(settings), Some(others)) = (&self.settings, &other.settings) else { return false };
        settings.shards == others.shards
    }

    /// The current classes with their indices, names and settings.
    fn indexed_classes(&self) -> impl Iterator<Item = (usize, &String, &Class)> {
        let classes = self.settings.iter().flat_map(|settings| &settings.classes);
        let named = self.names.classes.iter().zip(classes).enumerate();
        let all = named.map(|(i, (name, class))| (i, name, class));
        all.filter(|(i, ..)| !self.names.removed_classes.contains(i))
    }

    /// The current tenants with their indices.
    fn indexed_tenants(&self) -> impl Iterator<Item = (usize, &String)> {
        let current = |(i, _): &(usize, &String)| !self.names.removed_tenants.contains(i);
        self.names.tenants.iter().enumerate().filter(current)
    }

    /// Returns the current classes.
    pub(crate) fn classes(&self) -> Vec<NamedClass> {
        let named = |(_, name, class): (usize, &String, &Class)| NamedClass {
            name: name.clone(),
            class: class.clone(),
        };
        self.indexed_classes().map(named).collect()
    }

    /// Returns the names of the current tenants.
    pub(crate) fn tenants(&self) -> impl Iterator<Item = &String> {
        self.indexed_tenants().map(|(_, name)| name)
    }

    /// Merges two configurations of this process into one that knows the classes and tenants of both.
    pub(crate) fn union(older: RequestConfig, newer: RequestConfig) -> RequestConfig {
        let (Some(old), Some(new)) = (older.settings, newer.settings.clone()) else { return newer };
        let in_old = |i: usize| i < old.classes.len() && !older.names.removed_classes.contains(&i);
        let class = |(i, class): (usize, Class)| match in_old(i) && newer.names.removed_classes.contains(&i) {
            true => old.classes[i].clone(),
            false => class,
        };
        let settings = Settings {
            classes: new.classes.into_iter().enumerate().map(class).collect(),
            shards: old.shards.max(new.shards),
            ..new
        };
        let names = Names {
            removed_classes: removed_in_both(
                older.names.classes.len(),
                &older.names.removed_classes,
                &newer.names.removed_classes,
            ),
            removed_tenants: removed_in_both(
                older.names.tenants.len(),
                &older.names.removed_tenants,
                &newer.names.removed_tenants,
            ),
            ..newer.names
        };
        RequestConfig { names, settings: Some(settings), routes: newer.routes }
    }
}

/// The indices that are current in neither of two configurations, of which the older has `older_count`
/// indices.
fn removed_in_both(older_count: usize, older: &BTreeSet<usize>, newer: &BTreeSet<usize>) -> BTreeSet<usize> {
    newer.iter().copied().filter(|i| *i >= older_count || older.contains(i)).collect()
}

/// Returns how strictly a class limits repeats of its queries and of their attempts.
fn strictness(class: Option<&Class>) -> Strictness {
    match class.map(|c| c.semantics) {
        None | Some(Semantics::Safe) => (0, Reverse(u64::MAX)),
        Some(Semantics::Keyed { window }) => (1, Reverse(window.max(0.0) as u64)),
        Some(Semantics::Unsafe) => (2, Reverse(0)),
    }
}
