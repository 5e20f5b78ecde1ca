//! Which limits hold for a query, by what an operator wrote: defaults, then its class, then its route.
//!
//! A [`RouteTable`] is the file's sections as they stand, each value with its place, so that whoever finds fault with one or
//! explains it can name the line. [`RouteTable::compile`] makes of it what is asked for each query: the first route of the
//! file that matches, and one shared [`QueryLimits`] for each route and class.

mod compare;
mod explain;
mod matching;

pub use compare::{Relation, relation};
pub use explain::{EffectiveValue, format_time};
pub use matching::{Matcher, QueryAttributes};

use plover_model::query::{LimitScope, QueryLimits, Rate};
use plover_model::time::Micros;
use std::ops::Range;
use std::sync::Arc;

/// Most routes of a file: each is tried in turn for each query.
pub const MAX_ROUTES: usize = 256;

/// Where something stands in the operator's file.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct SourceLocation {
    /// In bytes.
    pub span: Range<usize>,
    /// The line, from 1.
    pub line: usize,
}

/// A value and where it was set.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Setting<T> {
    /// The value.
    pub value: T,
    /// Its word in the file.
    pub at: SourceLocation,
}

/// What one section overrides.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Overrides {
    /// `time-out`
    pub time_out: Option<Setting<Micros>>,
    /// `attempt-time-out`
    pub attempt_time_out: Option<Setting<Micros>>,
    /// `attempts`
    pub attempts: Option<Setting<u32>>,
    /// `most-in-hand`
    pub most_in_hand: Option<Setting<u32>>,
    /// `rate`
    pub rate: Option<Setting<Rate>>,
}

/// A class's section.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ClassSection {
    /// The class.
    pub name: String,
    /// Its name's place.
    pub at: SourceLocation,
    /// What it overrides.
    pub overrides: Overrides,
}

/// A route's section.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RouteSection {
    /// Its name.
    pub name: String,
    /// Its name's place.
    pub at: SourceLocation,
    /// Which queries it is for.
    pub matcher: Matcher,
    /// What it overrides.
    pub overrides: Overrides,
}

/// All sections, in the file's order.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct RouteTable {
    /// What holds for all queries.
    pub defaults: Overrides,
    /// By class.
    pub classes: Vec<ClassSection>,
    /// By route.
    pub routes: Vec<RouteSection>,
}

/// The sections that may set something for a query, the one that goes first first.
#[derive(Clone, Copy, Debug)]
pub struct SectionChain<'a> {
    /// The route.
    pub route: Option<&'a RouteSection>,
    /// The class.
    pub class: Option<&'a ClassSection>,
    /// The defaults.
    pub defaults: &'a Overrides,
}

impl<'a> SectionChain<'a> {
    /// The value that holds, and the section that set it.
    pub fn find<T>(
        self,
        of: impl Fn(&'a Overrides) -> &'a Option<Setting<T>>,
    ) -> Option<(&'a Setting<T>, LimitScope)> {
        let route = self.route.and_then(|r| Some((of(&r.overrides).as_ref()?, format!("route {}", r.name))));
        let class =
            || self.class.and_then(|c| Some((of(&c.overrides).as_ref()?, format!("class {}", c.name))));
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

impl RouteTable {
    /// The sections for a class, and a route.
    pub fn chain<'a>(&'a self, class: &str, route: Option<&'a RouteSection>) -> SectionChain<'a> {
        let class = self.classes.iter().find(|c| c.name == class);
        SectionChain { route, class, defaults: &self.defaults }
    }

    /// What is asked for each query, where the classes have these names, in the order of their indices.
    pub fn compile(&self, classes: &[String]) -> CompiledRoutes {
        let of = |route: Option<&RouteSection>| -> Vec<Arc<QueryLimits>> {
            classes.iter().map(|class| Arc::new(self.chain(class, route).limits())).collect()
        };
        let routes = self.routes.iter().map(|r| (r.matcher.clone(), of(Some(r)))).collect();
        CompiledRoutes { routes, classes: of(None), none: Arc::default() }
    }
}

/// A table, ready to be asked.
#[derive(Clone, Debug, Default)]
pub struct CompiledRoutes {
    routes: Vec<(Matcher, Vec<Arc<QueryLimits>>)>,
    classes: Vec<Arc<QueryLimits>>,
    none: Arc<QueryLimits>,
}

impl CompiledRoutes {
    /// What holds for a query of the class of this index.
    pub fn limits_for(&self, class: usize, facts: &QueryAttributes<'_>) -> &Arc<QueryLimits> {
        let route = self.routes.iter().find(|(matcher, _)| matcher.matches(facts));
        let by_class = route.map_or(&self.classes, |(_, by_class)| by_class);
        by_class.get(class).unwrap_or(&self.none)
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use http::HeaderMap;

    fn set<T>(value: T, line: usize) -> Option<Setting<T>> {
        Some(Setting { value, at: SourceLocation { span: 0..0, line } })
    }

    pub(crate) fn table() -> RouteTable {
        let class = ClassSection {
            name: "lookup".to_owned(),
            at: SourceLocation::default(),
            overrides: Overrides { time_out: set(2, 2), attempts: set(3, 3), ..Overrides::default() },
        };
        let route = RouteSection {
            name: "slow".to_owned(),
            at: SourceLocation::default(),
            matcher: Matcher { tenant: Some("t".to_owned()), ..Matcher::default() },
            overrides: Overrides { time_out: set(3, 5), ..Overrides::default() },
        };
        let defaults = Overrides { time_out: set(1, 1), most_in_hand: set(9, 1), ..Overrides::default() };
        RouteTable { defaults, classes: vec![class], routes: vec![route] }
    }

    #[test]
    fn a_route_goes_before_a_class_and_a_class_before_the_defaults() {
        let routes = table().compile(&["lookup".to_owned(), "ranking".to_owned()]);
        let headers = HeaderMap::new();
        let of = |class: usize, tenant: &str| {
            let facts = QueryAttributes {
                path: "/x",
                class: ["lookup", "ranking"][class],
                tenant,
                headers: &headers,
            };
            let limits = routes.limits_for(class, &facts);
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
        let routes = RouteTable::default().compile(&["lookup".to_owned()]);
        let facts =
            QueryAttributes { path: "/lookup", class: "lookup", tenant: "t", headers: &HeaderMap::new() };
        assert_eq!(**routes.limits_for(0, &facts), QueryLimits::default());
    }
}
