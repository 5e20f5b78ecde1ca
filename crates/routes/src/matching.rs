//! Matches queries against the conditions of a route.

use http::{HeaderMap, HeaderName};

/// Attributes of a query to which the conditions of a route can refer.
#[derive(Clone, Copy, Debug)]
pub struct QueryAttributes<'a> {
    /// Path of the request target.
    pub path: &'a str,
    /// Name of the class.
    pub class: &'a str,
    /// Name of the tenant; empty if the request names none.
    pub tenant: &'a str,
    /// Header fields of the request.
    pub headers: &'a HeaderMap,
}

/// Conditions of a route, all of which must be met. Without conditions, every query matches.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Matcher {
    /// Leading segments of the path. Segments match as a whole: `/lookup` does not match `/lookups`.
    pub path: Option<String>,
    /// Name of the class.
    pub class: Option<String>,
    /// Name of the tenant.
    pub tenant: Option<String>,
    /// Header fields that must be present, and for each the value that one of its occurrences must have, if
    /// given. The names are parsed once with the file, not for each query.
    pub headers: Vec<(HeaderName, Option<String>)>,
}

/// Returns whether a path starts with these whole segments.
pub(crate) fn has_prefix(path: &str, prefix: &str) -> bool {
    let prefix = prefix.trim_end_matches('/');
    path.strip_prefix(prefix).is_some_and(|rest| rest.is_empty() || rest.starts_with('/'))
}

impl Matcher {
    /// Returns whether queries of this class can match.
    pub fn may_match_class(&self, class: &str) -> bool {
        crate::compare::class_of(self).is_none_or(|c| c == class)
    }

    /// Returns whether a query meets all conditions.
    pub fn matches(&self, query: &QueryAttributes<'_>) -> bool {
        let has_field = |(name, value): &(HeaderName, Option<String>)| {
            let mut values = query.headers.get_all(name).iter();
            values.any(|v| value.as_ref().is_none_or(|value| v.as_bytes() == value.as_bytes()))
        };
        self.path.as_ref().is_none_or(|prefix| has_prefix(query.path, prefix))
            && self.class.as_ref().is_none_or(|class| class == query.class)
            && self.tenant.as_ref().is_none_or(|tenant| tenant == query.tenant)
            && self.headers.iter().all(has_field)
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn all_conditions_must_be_met() {
        let mut headers = HeaderMap::new();
        headers.append("x-kind", "a".parse().unwrap());
        headers.append("x-kind", "b".parse().unwrap());
        let query = QueryAttributes { path: "/lookup/7", class: "lookup", tenant: "t", headers: &headers };
        let text = |t: &str| Some(t.to_owned());
        let field = |value: Option<&str>| Matcher {
            headers: vec![(HeaderName::from_static("x-kind"), value.map(str::to_owned))],
            ..Matcher::default()
        };
        let path = |path| Matcher { path: text(path), ..Matcher::default() };
        for matching in [
            Matcher::default(),
            path("/lookup"),
            path("/lookup/"),
            path("/"),
            path("/lookup/7"),
            field(None),
            field(Some("b")),
            Matcher { class: text("lookup"), tenant: text("t"), ..field(Some("a")) },
        ] {
            assert!(matching.matches(&query), "{matching:?}");
        }
        for other in [
            path("/look"),
            path("/lookup/7/8"),
            field(Some("c")),
            Matcher { class: text("ranking"), ..Matcher::default() },
            Matcher { class: text("lookup"), tenant: text("u"), ..field(Some("a")) },
            Matcher { headers: vec![(HeaderName::from_static("x-other"), None)], ..Matcher::default() },
        ] {
            assert!(!other.matches(&query), "{other:?}");
        }
    }
}
