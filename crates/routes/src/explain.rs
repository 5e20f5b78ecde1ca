//! Which line decided which value.

use crate::{QueryAttributes, RouteTable, Setting};
use plover_model::query::{LimitScope, Rate};
use plover_model::time::{MILLI, Micros, SECOND};

/// One value that holds for a query.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct EffectiveValue {
    /// The keyword.
    pub keyword: &'static str,
    /// The value as it would be written; `None`: as the platform has it.
    pub value: Option<String>,
    /// The section and line that set it.
    pub source: Option<(LimitScope, usize)>,
}

/// A time as it would be written in the file.
pub fn format_time(time: Micros) -> String {
    let units = [("s", SECOND), ("ms", MILLI)];
    let unit = units.iter().find(|(_, u)| time >= *u && time.is_multiple_of(*u));
    unit.map_or(format!("{time}us"), |(name, u)| format!("{}{name}", time / u))
}

fn format_rate(rate: Rate) -> String {
    format!("{}/s {}", rate.per_second, rate.burst)
}

impl RouteTable {
    /// All that holds for a query, and why; and the name of its route.
    pub fn explain(&self, facts: &QueryAttributes<'_>) -> (Option<&str>, Vec<EffectiveValue>) {
        let route = self.routes.iter().find(|r| r.matcher.matches(facts));
        let chain = self.chain(facts.class, route);
        fn line<T: Clone>(
            keyword: &'static str,
            found: Option<(&Setting<T>, LimitScope)>,
            show: impl Fn(T) -> String,
        ) -> EffectiveValue {
            let value = found.as_ref().map(|(set, _)| show(set.value.clone()));
            EffectiveValue { keyword, value, source: found.map(|(set, owner)| (owner, set.at.line)) }
        }
        let lines = vec![
            line("time-out", chain.find(|o| &o.time_out), format_time),
            line("attempt-time-out", chain.find(|o| &o.attempt_time_out), format_time),
            line("attempts", chain.find(|o| &o.attempts), |n| n.to_string()),
            line("most-in-hand", chain.find(|o| &o.most_in_hand), |n| n.to_string()),
            line("rate", chain.find(|o| &o.rate), format_rate),
        ];
        (route.map(|r| r.name.as_str()), lines)
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use http::HeaderMap;

    #[test]
    fn every_value_names_the_line_that_set_it() {
        let table = crate::tests::table();
        let facts =
            QueryAttributes { path: "/lookup", class: "lookup", tenant: "t", headers: &HeaderMap::new() };
        let (route, lines) = table.explain(&facts);
        assert_eq!(route, Some("slow"));
        let seen: Vec<_> = lines
            .iter()
            .map(|l| (l.keyword, l.value.as_deref(), l.source.as_ref().map(|(s, n)| (&**s, *n))))
            .collect();
        let expected = [
            ("time-out", Some("3us"), Some(("route slow", 5))),
            ("attempt-time-out", None, None),
            ("attempts", Some("3"), Some(("class lookup", 3))),
            ("most-in-hand", Some("9"), Some(("defaults", 1))),
            ("rate", None, None),
        ];
        assert_eq!(seen, expected);
        assert_eq!([1, 1500, 2_000_000, 0].map(format_time), ["1us", "1500us", "2s", "0us"]);
    }
}
