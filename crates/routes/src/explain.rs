//! Explains which line of the operator's file sets which value for a query.

use crate::{QueryAttributes, RouteTable, Setting};
use plover_model::query::{LimitScope, Rate};
use plover_model::time::{MILLI, Micros, SECOND};

/// A value in effect for a query.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct EffectiveValue {
    /// Keyword of the value in the file.
    pub keyword: &'static str,
    /// The value as it would be written in the file; `None` if the platform's settings apply.
    pub value: Option<String>,
    /// The section and the line that set it.
    pub source: Option<(LimitScope, usize)>,
}

/// Formats a time as it would be written in the file.
pub fn format_time(time: Micros) -> String {
    let units = [("s", SECOND), ("ms", MILLI)];
    let unit = units.iter().find(|(_, size)| time >= *size && time.is_multiple_of(*size));
    unit.map_or(format!("{time}us"), |(name, size)| format!("{}{name}", time / size))
}

fn format_rate(rate: Rate) -> String {
    format!("{}/s {}", rate.per_second, rate.burst)
}

impl RouteTable {
    /// Returns the name of a query's route, and all values in effect for the query with their sources.
    pub fn explain(&self, query: &QueryAttributes<'_>) -> (Option<&str>, Vec<EffectiveValue>) {
        let route = self.routes.iter().find(|r| r.matcher.matches(query));
        let chain = self.chain(query.class, route);
        fn effective<T: Clone>(
            keyword: &'static str,
            found: Option<(&Setting<T>, LimitScope)>,
            format: impl Fn(T) -> String,
        ) -> EffectiveValue {
            let value = found.as_ref().map(|(setting, _)| format(setting.value.clone()));
            EffectiveValue { keyword, value, source: found.map(|(setting, scope)| (scope, setting.at.line)) }
        }
        let values = vec![
            effective("time-out", chain.find(|o| &o.time_out), format_time),
            effective("attempt-time-out", chain.find(|o| &o.attempt_time_out), format_time),
            effective("attempts", chain.find(|o| &o.attempts), |n| n.to_string()),
            effective("most-in-hand", chain.find(|o| &o.max_open), |n| n.to_string()),
            effective("rate", chain.find(|o| &o.rate), format_rate),
        ];
        (route.map(|r| r.name.as_str()), values)
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use http::HeaderMap;

    #[test]
    fn every_value_names_the_line_that_sets_it() {
        let table = crate::tests::table();
        let query =
            QueryAttributes { path: "/lookup", class: "lookup", tenant: "t", headers: &HeaderMap::new() };
        let (route, values) = table.explain(&query);
        assert_eq!(route, Some("slow"));
        let found: Vec<_> = values
            .iter()
            .map(|v| {
                (v.keyword, v.value.as_deref(), v.source.as_ref().map(|(scope, line)| (&**scope, *line)))
            })
            .collect();
        let expected = [
            ("time-out", Some("3us"), Some(("route slow", 5))),
            ("attempt-time-out", None, None),
            ("attempts", Some("3"), Some(("class lookup", 3))),
            ("most-in-hand", Some("9"), Some(("defaults", 1))),
            ("rate", None, None),
        ];
        assert_eq!(found, expected);
        assert_eq!([1, 1500, 2_000_000, 0].map(format_time), ["1us", "1500us", "2s", "0us"]);
    }
}
