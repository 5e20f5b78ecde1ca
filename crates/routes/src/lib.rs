//! Determines the limits for a query from the operator's file: those of its route, then of its class, then
//! the defaults.
//!
//! A [`RouteTable`] contains the sections of the file, each value with its location, so that errors and
//! explanations can name the line. [`RouteTable::compile`] turns it into the form that is used for each
//! query: the first matching route of the file, and one shared [`QueryLimits`] for each route and class.

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

/// Maximum number of routes in a file. All of them may have to be tried for each query.
pub const MAX_ROUTES: usize = 256;

/// Location in the operator's file.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct SourceLocation {
    /// Range of bytes.
    pub span: Range<usize>,
    /// Line, counted from 1.
    pub line: usize,
}

/// A value and the location where it is set.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Setting<T> {
    /// The value that is set.
    pub value: T,
    /// Location of the word that sets it.
    pub at: SourceLocation,
}

/// Values that one section sets; `None` for each that it does not set.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Overrides {
    /// `time-out`: time within which a query is answered.
    pub time_out: Option<Setting<Micros>>,
    /// `attempt-time-out`: time after which an attempt at a part is cancelled.
    pub attempt_time_out: Option<Setting<Micros>>,
    /// `attempts`: maximum number of attempts at a part.
    pub attempts: Option<Setting<u32>>,
    /// `most-in-hand`: maximum number of open queries to which the section applies.
    pub max_open: Option<Setting<u32>>,
    /// `rate`: maximum rate of queries for each tenant.
    pub rate: Option<Setting<Rate>>,
}

/// Section for a class.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ClassSection {
    /// Name of the class.
    pub name: String,
    /// Location of the name.
    pub at: SourceLocation,
    /// Values for queries of the class.
    pub overrides: Overrides,
}

/// Section for a route.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RouteSection {
    /// Name of the route.
    pub name: String,
    /// Location of the name.
    pub at: SourceLocation,
    /// Conditions on the queries of the route.
    pub matcher: Matcher,
    /// Values for queries of the route.
    pub overrides: Overrides,
}

/// All sections, in the order of the file.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct RouteTable {
    /// Values for all queries.
    pub defaults: Overrides,
    /// Sections for classes.
    pub classes: Vec<ClassSection>,
    /// Sections for routes.
    pub routes: Vec<RouteSection>,
}

/// The sections that apply to a query, in descending precedence.
#[derive(Clone, Copy, Debug)]
pub struct SectionChain<'a> {
    /// Section of the query's route, if a route matches.
    pub route: Option<&'a RouteSection>,
    /// Section of the query's class, if there is one.
    pub class: Option<&'a ClassSection>,
    /// Defaults for all queries.
    pub defaults: &'a Overrides,
}

impl<'a> SectionChain<'a> {
    /// Returns the value in effect and the section that sets it; `None` if no section does.
    pub fn find<T>(
        self,
        of: impl Fn(&'a Overrides) -> &'a Option<Setting<T>>,
    ) -> Option<(&'a Setting<T>, LimitScope)> {
        let route = self.route.and_then(|r| Some((of(&r.overrides).as_ref()?, format!("route {}", r.name))));
        let class =
            || self.class.and_then(|c| Some((of(&c.overrides).as_ref()?, format!("class {}", c.name))));
        let defaults = || Some((of(self.defaults).as_ref()?, "defaults".to_owned()));
        route.or_else(class).or_else(defaults).map(|(setting, scope)| (setting, scope.into()))
    }

    /// Returns all values in effect.
    pub fn limits(self) -> QueryLimits {
        QueryLimits {
            timeout: self.find(|o| &o.time_out).map(|(setting, _)| setting.value),
            attempt_timeout: self.find(|o| &o.attempt_time_out).map(|(setting, _)| setting.value),
            max_attempts: self.find(|o| &o.attempts).map(|(setting, _)| setting.value),
            max_open: self.find(|o| &o.max_open).map(|(setting, scope)| (scope, setting.value)),
            rate: self.find(|o| &o.rate).map(|(setting, scope)| (scope, setting.value)),
        }
    }
}

impl RouteTable {
    /// Returns the sections that apply to a class and a route.
    pub fn chain<'a>(&'a self, class: &str, route: Option<&'a RouteSection>) -> SectionChain<'a> {
        let class = self.classes.iter().find(|c| c.name == class);
        SectionChain { route, class, defaults: &self.defaults }
    }

    /// Compiles the table for classes with these names, in the order of their indices.
    pub fn compile(&self, classes: &[String]) -> CompiledRoutes {
        let limits_by_class = |route: Option<&RouteSection>| -> Vec<Arc<QueryLimits>> {
            classes.iter().map(|class| Arc::new(self.chain(class, route).limits())).collect()
        };
        let routes = self.routes.iter().map(|r| (r.matcher.clone(), limits_by_class(Some(r)))).collect();
        CompiledRoutes { routes, classes: limits_by_class(None), unlimited: Arc::default() }
    }
}

/// A route table in the form that is used for each query.
#[derive(Clone, Debug, Default)]
pub struct CompiledRoutes {
    /// Matcher of each route and its limits by class, in the order of the file.
    routes: Vec<(Matcher, Vec<Arc<QueryLimits>>)>,
    /// Limits by class for queries without a route.
    classes: Vec<Arc<QueryLimits>>,
    /// Limits for queries of an unknown class.
    unlimited: Arc<QueryLimits>,
}

impl CompiledRoutes {
    /// Returns the limits for a query of the class with this index.
    pub fn limits_for(&self, class: usize, query: &QueryAttributes<'_>) -> &Arc<QueryLimits> {
        let route = self.routes.iter().find(|(matcher, _)| matcher.matches(query));
        let by_class = route.map_or(&self.classes, |(_, by_class)| by_class);
        by_class.get(class).unwrap_or(&self.unlimited)
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use http::HeaderMap;

    fn setting<T>(value: T, line: usize) -> Option<Setting<T>> {
        Some(Setting { value, at: SourceLocation { span: 0..0, line } })
    }

    pub(crate) fn table() -> RouteTable {
        let class = ClassSection {
            name: "lookup".to_owned(),
            at: SourceLocation::default(),
            overrides: Overrides { time_out: setting(2, 2), attempts: setting(3, 3), ..Overrides::default() },
        };
        let route = RouteSection {
            name: "slow".to_owned(),
            at: SourceLocation::default(),
            matcher: Matcher { tenant: Some("t".to_owned()), ..Matcher::default() },
            overrides: Overrides { time_out: setting(3, 5), ..Overrides::default() },
        };
        let defaults = Overrides { time_out: setting(1, 1), max_open: setting(9, 1), ..Overrides::default() };
        RouteTable { defaults, classes: vec![class], routes: vec![route] }
    }

    #[test]
    fn a_route_overrides_a_class_and_a_class_overrides_the_defaults() {
        let routes = table().compile(&["lookup".to_owned(), "ranking".to_owned()]);
        let headers = HeaderMap::new();
        let limits_of = |class: usize, tenant: &str| {
            let query = QueryAttributes {
                path: "/x",
                class: ["lookup", "ranking"][class],
                tenant,
                headers: &headers,
            };
            let limits = routes.limits_for(class, &query);
            let scope = limits.max_open.clone().unwrap().0;
            (limits.timeout, limits.max_attempts, scope.to_string())
        };
        let scope = "defaults".to_owned();
        assert_eq!(limits_of(0, "t"), (Some(3), Some(3), scope.clone()));
        assert_eq!(limits_of(0, "u"), (Some(2), Some(3), scope.clone()));
        assert_eq!(limits_of(1, "t"), (Some(3), None, scope.clone()));
        assert_eq!(limits_of(1, "u"), (Some(1), None, scope));
    }

    #[test]
    fn without_sections_no_limit_is_set() {
        let routes = RouteTable::default().compile(&["lookup".to_owned()]);
        let query =
            QueryAttributes { path: "/lookup", class: "lookup", tenant: "t", headers: &HeaderMap::new() };
        assert_eq!(**routes.limits_for(0, &query), QueryLimits::default());
    }
}
