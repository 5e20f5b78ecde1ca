//! Which limits hold for a query, by what an operator wrote: defaults, then its class, then its route.
//!
//! A [`Table`] is the file's sections as they stand, each value with its place, so that whoever finds fault with one or
//! explains it can name the line. [`Table::compile`] makes of it what is asked for each query: the first route of the
//! file that matches, and one shared [`QueryLimits`] for each route and class.

mod compare;
mod explain;
mod matching;

pub use compare::{Relation, relation};
pub use explain::{Explained, show_time};
pub use matching::{Facts, Matcher};

use plover_model::query::{LimitScope, QueryLimits, Rate};
use plover_model::time::Micros;
use std::ops::Range;
use std::sync::Arc;

/// Most routes of a file: each is tried in turn for each query.
pub const MOST_ROUTES: usize = 256;

/// Where something stands in the operator's file.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Place {
    /// In bytes.
    pub span: Range<usize>,
    /// The line, from 1.
    pub line: usize,
}

/// A value and where it was set.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Set<T> {
    /// The value.
    pub value: T,
    /// Its word in the file.
    pub at: Place,
}

/// What one section sets.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Overrides {
    /// `time-out`
    pub time_out: Option<Set<Micros>>,
    /// `attempt-time-out`
    pub attempt_time_out: Option<Set<Micros>>,
    /// `attempts`
    pub attempts: Option<Set<u32>>,
    /// `most-in-hand`
    pub most_in_hand: Option<Set<u32>>,
    /// `rate`
    pub rate: Option<Set<Rate>>,
}

/// A class's section.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ClassSection {
    /// The class.
    pub name: String,
    /// Its name's place.
    pub at: Place,
    /// What it sets.
    pub sets: Overrides,
}

/// A route's section.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RouteSection {
    /// Its name.
    pub name: String,
    /// Its name's place.
    pub at: Place,
    /// Which queries it is for.
    pub matcher: Matcher,
    /// What it sets.
    pub sets: Overrides,
}

/// All sections, in the file's order.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Table {
    /// What holds for all queries.
    pub defaults: Overrides,
    /// By class.
    pub classes: Vec<ClassSection>,
    /// By route.
    pub routes: Vec<RouteSection>,
}

/// The sections that may set something for a query, the one that goes first first.
#[derive(Clone, Copy, Debug)]
pub struct Chain<'a> {
    /// The route.
    pub route: Option<&'a RouteSection>,
    /// The class.
    pub class: Option<&'a ClassSection>,
    /// The defaults.
    pub defaults: &'a Overrides,
}

impl<'a> Chain<'a> {
    /// The value that holds, and the section that set it.
    pub fn find<T>(
        self,
        of: impl Fn(&'a Overrides) -> &'a Option<Set<T>>,
    ) -> Option<(&'a Set<T>, LimitScope)> {
        let route = self.route.and_then(|r| Some((of(&r.sets).as_ref()?, format!("route {}", r.name))));
        let class = || self.class.and_then(|c| Some((of(&c.sets).as_ref()?, format!("class {}", c.name))));
        let defaults = || Some((of(self.defaults).as_ref()?, "defaults".to_owned()));
        route.or_else(class).or_else(defaults).map(|(set, owner)| (set, owner.into()))
    }

    /// All that holds.
    pub fn limits(self) -> QueryLimits {
        QueryLimits {
            timeout: self.find(|o| &o.time_out).map(|(set, _)| set.value),
            attempt_timeout: self.find(|o| &o.attempt_time_out).map(|(set, _)| set.value),
            max_attempts: self.find(|o| &o.attempts).map(|(set, _)| set.value),
            max_open: self.find(|o| &o.most_in_hand).map(|(set, owner)| (owner, set.value)),
            rate: self.find(|o| &o.rate).map(|(set, owner)| (owner, set.value)),
        }
    }
}

impl Table {
    /// The sections for a class, and a route.
    pub fn chain<'a>(&'a self, class: &str, route: Option<&'a RouteSection>) -> Chain<'a> {
        let class = self.classes.iter().find(|c| c.name == class);
        Chain { route, class, defaults: &self.defaults }
    }

    /// What is asked for each query, where the classes have these names, in the order of their indices.
    pub fn compile(&self, classes: &[String]) -> Routes {
        let of = |route: Option<&RouteSection>| -> Vec<Arc<QueryLimits>> {
            classes.iter().map(|class| Arc::new(self.chain(class, route).limits())).collect()
        };
        let routes = self.routes.iter().map(|r| (r.matcher.clone(), of(Some(r)))).collect();
        Routes { routes, classes: of(None), none: Arc::default() }
    }
}

/// A table, ready to be asked.
#[derive(Clone, Debug, Default)]
pub struct Routes {
    routes: Vec<(Matcher, Vec<Arc<QueryLimits>>)>,
    classes: Vec<Arc<QueryLimits>>,
    none: Arc<QueryLimits>,
}

impl Routes {
    /// What holds for a query of the class of this index.
    pub fn of(&self, class: usize, facts: &Facts<'_>) -> &Arc<QueryLimits> {
        let route = self.routes.iter().find(|(matcher, _)| matcher.matches(facts));
        let by_class = route.map_or(&self.classes, |(_, by_class)| by_class);
        by_class.get(class).unwrap_or(&self.none)
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use http::HeaderMap;

    fn set<T>(value: T, line: usize) -> Option<Set<T>> {
        Some(Set { value, at: Place { span: 0..0, line } })
    }

    pub(crate) fn table() -> Table {
        let class = ClassSection {
            name: "lookup".to_owned(),
            at: Place::default(),
            sets: Overrides { time_out: set(2, 2), attempts: set(3, 3), ..Overrides::default() },
        };
        let route = RouteSection {
            name: "slow".to_owned(),
            at: Place::default(),
            matcher: Matcher { tenant: Some("t".to_owned()), ..Matcher::default() },
            sets: Overrides { time_out: set(3, 5), ..Overrides::default() },
        };
        let defaults = Overrides { time_out: set(1, 1), most_in_hand: set(9, 1), ..Overrides::default() };
        Table { defaults, classes: vec![class], routes: vec![route] }
    }

    #[test]
    fn a_route_goes_before_a_class_and_a_class_before_the_defaults() {
        let routes = table().compile(&["lookup".to_owned(), "ranking".to_owned()]);
        let headers = HeaderMap::new();
        let of = |class: usize, tenant: &str| {
            let facts = Facts { path: "/x", class: ["lookup", "ranking"][class], tenant, headers: &headers };
            let limits = routes.of(class, &facts);
            let owner = limits.max_open.clone().unwrap().0;
            (limits.timeout, limits.max_attempts, owner.to_string())
        };
        let shared = "defaults".to_owned();
        assert_eq!(of(0, "t"), (Some(3), Some(3), shared.clone()));
        assert_eq!(of(0, "u"), (Some(2), Some(3), shared.clone()));
        assert_eq!(of(1, "t"), (Some(3), None, shared.clone()));
        assert_eq!(of(1, "u"), (Some(1), None, shared));
    }

    #[test]
    fn without_sections_nothing_is_set() {
        let routes = Table::default().compile(&["lookup".to_owned()]);
        let facts = Facts { path: "/lookup", class: "lookup", tenant: "t", headers: &HeaderMap::new() };
        assert_eq!(**routes.of(0, &facts), QueryLimits::default());
    }
}
