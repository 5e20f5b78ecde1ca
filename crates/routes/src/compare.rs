//! Compares the matchers of two routes. If both match a query, the order of the file decides, which may be
//! unintended.

use crate::Matcher;
use crate::matching::has_prefix;

/// Relation of a later route to an earlier one.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Relation {
    /// No query matches both.
    Disjoint,
    /// Some queries match both, and take the earlier route.
    Overlaps,
    /// All queries that match the later route match the earlier one, so that the later one is never used.
    Unreachable,
}

/// Returns the class of all queries that can match, if there is only one. The first segment of a path names
/// the class.
pub(crate) fn class_of(matcher: &Matcher) -> Option<&str> {
    let by_path =
        || matcher.path.as_deref()?.trim_start_matches('/').split('/').next().filter(|s| !s.is_empty());
    matcher.class.as_deref().or_else(by_path)
}

/// Returns the relation of a later route to an earlier one.
pub fn relation(earlier: &Matcher, later: &Matcher) -> Relation {
    let differ = |a: Option<&str>, b: Option<&str>| matches!((a, b), (Some(a), Some(b)) if a != b);
    let paths_overlap = match (&earlier.path, &later.path) {
        (Some(a), Some(b)) => has_prefix(a, b) || has_prefix(b, a),
        _ => true,
    };
    if !paths_overlap
        || differ(class_of(earlier), class_of(later))
        || differ(earlier.tenant.as_deref(), later.tenant.as_deref())
    {
        return Relation::Disjoint;
    }
    // A header field may occur twice, so that conditions with two values of a field are no contradiction.
    let path = earlier.path.as_ref().is_none_or(|a| later.path.as_ref().is_some_and(|b| has_prefix(b, a)));
    let class = earlier.class.as_deref().is_none_or(|a| class_of(later) == Some(a));
    let tenant = earlier.tenant.as_ref().is_none_or(|a| later.tenant.as_ref() == Some(a));
    let fields = earlier
        .headers
        .iter()
        .all(|(name, value)| later.headers.iter().any(|(n, v)| n == name && (value.is_none() || value == v)));
    if path && class && tenant && fields { Relation::Unreachable } else { Relation::Overlaps }
}

#[cfg(test)]
mod tests {
    use super::*;
    use crate::QueryAttributes;
    use http::HeaderMap;
    use proptest::prelude::*;

    fn matcher() -> impl Strategy<Value = Matcher> {
        let path = prop::option::of(prop::sample::select(vec!["/", "/a", "/a/b", "/ab", "/b"]));
        let word = || prop::option::of(prop::sample::select(vec!["a", "b"]));
        let fields = prop::collection::vec((prop::sample::select(vec!["x", "y"]), word()), 0..3);
        (path, word(), word(), fields).prop_map(|(path, class, tenant, fields)| Matcher {
            path: path.map(str::to_owned),
            class: class.map(str::to_owned),
            tenant: tenant.map(str::to_owned),
            headers: fields
                .into_iter()
                .map(|(n, v)| (http::HeaderName::from_static(n), v.map(str::to_owned)))
                .collect(),
        })
    }

    proptest! {
        /// The relation of two routes agrees with how they match every query of a small set.
        #[test]
        fn the_relation_agrees_with_matching(earlier in matcher(), later in matcher()) {
            let relation = relation(&earlier, &later);
            for path in ["/a", "/a/b", "/a/b/c", "/b", "/b/a", "/ab"] {
                let class = path.trim_start_matches('/').split('/').next().unwrap();
                for tenant in ["a", "b", "c"] {
                    for fields in [
                        &[][..],
                        &[("x", "a")],
                        &[("x", "b")],
                        &[("x", "a"), ("x", "b"), ("y", "a"), ("y", "b")],
                    ] {
                        let mut headers = HeaderMap::new();
                        fields.iter().for_each(|(n, v)| { headers.append(*n, v.parse().unwrap()); });
                        let query = QueryAttributes { path, class, tenant, headers: &headers };
                        let (first, second) = (earlier.matches(&query), later.matches(&query));
                        prop_assert!(relation != Relation::Disjoint || !(first && second), "{query:?}");
                        prop_assert!(relation != Relation::Unreachable || first || !second, "{query:?}");
                    }
                }
            }
        }
    }
}
