//! Which queries a route is for.

use http::{HeaderMap, HeaderName};

/// What a route may look at.
#[derive(Clone, Copy, Debug)]
pub struct QueryAttributes<'a> {
    /// The target's path.
    pub path: &'a str,
    /// Name of the class.
    pub class: &'a str,
    /// Name of the tenant; empty: it named none.
    pub tenant: &'a str,
    /// The header fields.
    pub headers: &'a HeaderMap,
}

/// Conditions, all of which must hold; none: it matches every query.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Matcher {
    /// The path begins with these segments. Whole ones: `/lookup` is no beginning of `/lookups`.
    pub path: Option<String>,
    /// The class.
    pub class: Option<String>,
    /// The tenant.
    pub tenant: Option<String>,
    /// Fields that must be there, with a value of one of them where that matters. The names are read once, when the
    /// file is, not for each query.
    pub headers: Vec<(HeaderName, Option<String>)>,
}

/// Whether a path begins with these whole segments.
pub(crate) fn begins(path: &str, with: &str) -> bool {
    let with = with.trim_end_matches('/');
    path.strip_prefix(with).is_some_and(|rest| rest.is_empty() || rest.starts_with('/'))
}

impl Matcher {
    /// Whether queries of this class can match.
    pub fn may_match_class(&self, class: &str) -> bool {
        crate::compare::class_of(self).is_none_or(|c| c == class)
    }

    /// Whether a query is one of these.
    pub fn matches(&self, facts: &QueryAttributes<'_>) -> bool {
        let field = |(name, value): &(HeaderName, Option<String>)| {
            let mut values = facts.headers.get_all(name).iter();
            values.any(|v| value.as_ref().is_none_or(|value| v.as_bytes() == value.as_bytes()))
        };
        self.path.as_ref().is_none_or(|with| begins(facts.path, with))
            && self.class.as_ref().is_none_or(|class| class == facts.class)
            && self.tenant.as_ref().is_none_or(|tenant| tenant == facts.tenant)
            && self.headers.iter().all(field)
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn every_condition_must_hold() {
        let mut headers = HeaderMap::new();
        headers.append("x-kind", "a".parse().unwrap());
        headers.append("x-kind", "b".parse().unwrap());
        let facts = QueryAttributes { path: "/lookup/7", class: "lookup", tenant: "t", headers: &headers };
        let text = |t: &str| Some(t.to_owned());
        let field = |value: Option<&str>| Matcher {
            headers: vec![(HeaderName::from_static("x-kind"), value.map(str::to_owned))],
            ..Matcher::default()
        };
        let path = |path| Matcher { path: text(path), ..Matcher::default() };
        for good in [
            Matcher::default(),
            path("/lookup"),
            path("/lookup/"),
            path("/"),
            path("/lookup/7"),
            field(None),
            field(Some("b")),
            Matcher { class: text("lookup"), tenant: text("t"), ..field(Some("a")) },
        ] {
            assert!(good.matches(&facts), "{good:?}");
        }
        for bad in [
            path("/look"),
            path("/lookup/7/8"),
            field(Some("c")),
            Matcher { class: text("ranking"), ..Matcher::default() },
            Matcher { class: text("lookup"), tenant: text("u"), ..field(Some("a")) },
            Matcher { headers: vec![(HeaderName::from_static("x-other"), None)], ..Matcher::default() },
        ] {
            assert!(!bad.matches(&facts), "{bad:?}");
        }
    }
}
