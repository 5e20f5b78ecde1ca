//! Files that each break one rule. The violation names the rule, the line and an allowed value, and with that
//! value the file is accepted.

use plover_model::time::{MILLI, SECOND};
use plover_operator_file::read;
use plover_routes::format_time;
use plover_rules::{ClassSettings, PlatformSettings, Rule, check, remarks};
use proptest::prelude::*;

/// A platform with turns 5 ms apart, a dial time-out of 250 ms, and three classes like those of real
/// deployments.
fn platform() -> PlatformSettings {
    let class = |name: &str, give_up, window| ClassSettings { name: name.to_owned(), give_up, window };
    PlatformSettings {
        classes: vec![
            class("lookup", 4 * SECOND, None),
            class("watchlist-save", 5 * SECOND, Some(5 * SECOND)),
            class("ranking", 4 * SECOND, None),
        ],
        tenants: vec!["public-site".to_owned()],
        max_attempts: 4,
        tick: 5 * MILLI,
        dial_timeout: 250 * MILLI,
    }
}

/// Returns rule, line and remedy of each violation in a file.
fn violations(text: &str) -> Vec<(Rule, usize, String)> {
    let settings = read("f", text).unwrap();
    check(&settings.table, &platform()).into_iter().map(|v| (v.rule, v.at.line, v.remedy)).collect()
}

#[test]
fn every_violation_is_found_at_its_line() {
    for (text, rule, line, remedy) in [
        ("defaults\nattempts 5\n", Rule::MaxAttempts, 2, "1 to 4"),
        ("class lookup\n\nattempts 100", Rule::MaxAttempts, 3, "1 to 4"),
        ("class lookup\ntime-out 4001ms", Rule::ClientTimeout, 2, "4s at most"),
        ("class lookup\ntime-out 2s\nattempt-time-out 3s", Rule::AttemptWithinQuery, 3, "2s at most"),
        ("class ranking\nattempt-time-out 5s", Rule::AttemptWithinQuery, 2, "4s at most"),
        ("class lookup\ntime-out 9ms", Rule::MinTimeOut, 2, "10ms at least"),
        ("class lookups\ntime-out 1s", Rule::KnownNames, 1, "lookup, watchlist-save, ranking"),
        ("route a\nmatch-class look\n", Rule::KnownNames, 1, "lookup, watchlist-save, ranking"),
        ("route a\nmatch-tenant nobody\n", Rule::KnownNames, 1, "public-site"),
        (
            "route a\nmatch-path /lookup\nroute b\nmatch-path /lookup/x\n",
            Rule::Reachable,
            3,
            "before route a on line 1",
        ),
        // Each line alone is allowed. Together, the last of two attempts may start 255 ms after the five
        // seconds.
        ("class watchlist-save\nattempts 2\ntime-out 5s", Rule::RepeatWindow, 3, "time-out 4745ms at most"),
        ("class watchlist-save\nattempt-time-out 2s", Rule::RepeatWindow, 2, "attempts 1"),
        (
            "class watchlist-save\nattempts 3\nattempt-time-out 2300ms",
            Rule::RepeatWindow,
            3,
            "attempt-time-out 2245ms",
        ),
    ] {
        let all = violations(text);
        let expected = all.iter().find(|(r, l, _)| (*r, *l) == (rule, line));
        assert!(expected.is_some_and(|(.., r)| r.contains(remedy)), "{text:?}: {all:?}");
        assert!(!rule.source().is_empty());
    }
}

/// A route inherits values from its class and the defaults. Values that break a rule only in combination are
/// found, at the last of their lines.
#[test]
fn values_of_several_sections_are_checked_together() {
    let text = "defaults\nattempts 4\nclass watchlist-save\ntime-out 4s\nroute slow\nmatch-class watchlist-save\ntime-out 5s\n";
    assert_eq!(violations(text).iter().map(|f| (f.0, f.1)).collect::<Vec<_>>(), [(Rule::RepeatWindow, 7)]);
    assert_eq!(violations(&text.replace("time-out 5s", "time-out 4700ms")), []);
    // A route that no query of the class can match does not affect the class.
    assert_eq!(
        violations(&text.replace("match-class watchlist-save", "match-path /lookup").replace("5s", "3s")),
        []
    );
}

#[test]
fn a_valid_file_has_no_violations_but_overlaps_are_remarked() {
    let text = "class lookup\ntime-out 1500ms\nattempt-time-out 400ms\nattempts 3\nrate 100/s 20\n\
        class watchlist-save\nattempts 1\nmost-in-hand 0\n\
        route a\nmatch-header x-kind slow\ntime-out 3s\nroute b\nmatch-class lookup\nmatch-tenant public-site\n";
    assert_eq!(violations(text), []);
    let settings = read("f", text).unwrap();
    let lines: Vec<usize> = remarks(&settings.table).iter().map(|r| r.line).collect();
    assert_eq!(lines, [12]);
}

proptest! {
    /// Servers drop repeats of the class for five seconds only. In an accepted file, no attempt starts later
    /// even if each takes all of its time; for a rejected file, the time-out that the remedy names is
    /// accepted.
    #[test]
    fn no_repeat_starts_beyond_the_window(
        attempts in prop::option::of(1u64..=4), time_out in prop::option::of(10u64..=5000),
        per_attempt in prop::option::of(10u64..=5000),
        delays in prop::collection::vec(0u64..=255, 4),
    ) {
        let line = |keyword: &str, value: Option<u64>, unit: &str| {
            value.map_or(String::new(), |v| format!("{keyword} {v}{unit}\n"))
        };
        let text = |time_out: Option<u64>| format!(
            "class watchlist-save\n{}{}{}",
            line("attempts", attempts, ""), line("time-out", time_out, "ms"),
            line("attempt-time-out", per_attempt, "ms"),
        );
        prop_assume!(attempts.is_some() || time_out.is_some() || per_attempt.is_some());
        let all = violations(&text(time_out));
        let rejected = all.iter().any(|(rule, ..)| *rule == Rule::RepeatWindow);
        let query_end = time_out.unwrap_or(5000);
        let mut next = 0;
        let mut last = 0;
        for (n, delay) in delays.into_iter().take(attempts.unwrap_or(4) as usize).enumerate() {
            // An attempt is decided on within the query's time and sent a little later.
            if next >= query_end {
                break;
            }
            last = if n == 0 { 0 } else { next + delay };
            next = last + per_attempt.unwrap_or(query_end).min(query_end);
        }
        prop_assert!(rejected || last <= 5000, "{last} ms: {}", text(time_out));
        if rejected {
            let max_time_out = format_time(4745 * MILLI);
            prop_assert!(all.iter().any(|(.., remedy)| remedy.contains(&max_time_out)));
            let corrected = violations(&text(Some(time_out.unwrap_or(5000).min(4745))));
            prop_assert!(corrected.iter().all(|(rule, ..)| *rule != Rule::RepeatWindow), "{corrected:?}");
        }
    }
}
