//! How two routes stand to each other: the file's order decides between them, which nobody may have meant.

use crate::Matcher;
use crate::matching::begins;

/// What a later route is to an earlier one.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Relation {
    /// No query matches both.
    Disjoint,
    /// Some queries match both: the earlier one gets them.
    Overlaps,
    /// All that match the later one match the earlier one: it never gets any.
    Unreachable,
}

/// The class that all paths of a matcher name, if they name one: a path's first segment is its class.
pub(crate) fn class_of(m: &Matcher) -> Option<&str> {
    let by_path = || m.path.as_deref()?.trim_start_matches('/').split('/').next().filter(|s| !s.is_empty());
    m.class.as_deref().or_else(by_path)
}

/// How a later route stands to an earlier one.
pub fn relation(earlier: &Matcher, later: &Matcher) -> Relation {
    let differ = |a: Option<&str>, b: Option<&str>| matches!((a, b), (Some(a), Some(b)) if a != b);
    let paths = match (&earlier.path, &later.path) {
        (Some(a), Some(b)) => begins(a, b) || begins(b, a),
        _ => true,
    };
    if !paths
        || differ(class_of(earlier), class_of(later))
        || differ(earlier.tenant.as_deref(), later.tenant.as_deref())
    {
        return Relation::Disjoint;
    }
    // A field may be there twice: two values of it are no contradiction.
    let path = earlier.path.as_ref().is_none_or(|a| later.path.as_ref().is_some_and(|b| begins(b, a)));
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
        /// What is said of two routes holds for every query there can be of a small world.
        #[test]
        fn what_is_said_of_two_routes_holds_for_queries(earlier in matcher(), later in matcher()) {
            let said = relation(&earlier, &later);
            for path in ["/a", "/a/b", "/a/b/c", "/b", "/b/a", "/ab"] {
                let class = path.trim_start_matches('/').split('/').next().unwrap();
                for tenant in ["a", "b", "c"] {
                    for fields in [&[][..], &[("x", "a")], &[("x", "b")], &[("x", "a"), ("x", "b"), ("y", "a"), ("y", "b")]] {
                        let mut headers = HeaderMap::new();
                        fields.iter().for_each(|(n, v)| { headers.append(*n, v.parse().unwrap()); });
                        let facts = QueryAttributes { path, class, tenant, headers: &headers };
                        let (first, second) = (earlier.matches(&facts), later.matches(&facts));
                        prop_assert!(said != Relation::Disjoint || !(first && second), "{facts:?}");
                        prop_assert!(said != Relation::Unreachable || first || !second, "{facts:?}");
                    }
                }
            }
        }
    }
}
