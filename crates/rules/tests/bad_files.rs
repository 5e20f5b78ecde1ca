//! Files that each break one rule, as the operator would write them: the refusal names the rule, the line and a figure that
//! holds, and with that figure the file is taken.

use plover_model::time::{MILLI, SECOND};
use plover_operator_file::read;
use plover_routes::format_time;
use plover_rules::{ClassSettings, PlatformSettings, Rule, check, remarks};
use proptest::prelude::*;

/// Turns 5 ms apart, connections up in 250 ms, and three classes as deployments have them.
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

/// Rule, line, and what would hold, of all that is wrong.
fn found(text: &str) -> Vec<(Rule, usize, String)> {
    let settings = read("f", text).unwrap();
    check(&settings.table, &platform()).into_iter().map(|b| (b.rule, b.at.line, b.remedy)).collect()
}

#[test]
fn every_rule_is_found_broken_where_it_is() {
    for (text, rule, line, holds) in [
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
        // Alone, each of these holds; together, the last of two attempts begins 255 ms after the five seconds.
        ("class watchlist-save\nattempts 2\ntime-out 5s", Rule::RepeatWindow, 3, "time-out 4745ms at most"),
        ("class watchlist-save\nattempt-time-out 2s", Rule::RepeatWindow, 2, "attempts 1"),
        (
            "class watchlist-save\nattempts 3\nattempt-time-out 2300ms",
            Rule::RepeatWindow,
            3,
            "attempt-time-out 2245ms",
        ),
    ] {
        let all = found(text);
        let one = all.iter().find(|(r, l, _)| (*r, *l) == (rule, line));
        assert!(one.is_some_and(|(.., h)| h.contains(holds)), "{text:?}: {all:?}");
        assert!(!rule.source().is_empty());
    }
}

/// A route takes from its class and the defaults: what breaks a rule only together is found, at the line that comes last.
#[test]
fn figures_of_several_sections_are_judged_together() {
    let text = "defaults\nattempts 4\nclass watchlist-save\ntime-out 4s\nroute slow\nmatch-class watchlist-save\ntime-out 5s\n";
    assert_eq!(found(text).iter().map(|f| (f.0, f.1)).collect::<Vec<_>>(), [(Rule::RepeatWindow, 7)]);
    assert_eq!(found(&text.replace("time-out 5s", "time-out 4700ms")), []);
    // A route that no query of that class can take has nothing to do with it.
    assert_eq!(
        found(&text.replace("match-class watchlist-save", "match-path /lookup").replace("5s", "3s")),
        []
    );
}

#[test]
fn a_file_that_keeps_all_rules_has_no_breach_and_overlaps_are_told() {
    let text = "class lookup\ntime-out 1500ms\nattempt-time-out 400ms\nattempts 3\nrate 100/s 20\n\
        class watchlist-save\nattempts 1\nmost-in-hand 0\n\
        route a\nmatch-header x-kind slow\ntime-out 3s\nroute b\nmatch-class lookup\nmatch-tenant public-site\n";
    assert_eq!(found(text), []);
    let settings = read("f", text).unwrap();
    let told: Vec<usize> = remarks(&settings.table).iter().map(|r| r.line).collect();
    assert_eq!(told, [12]);
}

proptest! {
    /// Whatever is taken for a class whose repeats are dropped for five seconds only, no order of attempts that each take all
    /// of their time has one begin later; and of what is refused, the time-out that it names would be taken.
    #[test]
    fn no_repeat_begins_beyond_the_window(
        attempts in prop::option::of(1u64..=4), time_out in prop::option::of(10u64..=5000), each in prop::option::of(10u64..=5000),
        late in prop::collection::vec(0u64..=255, 4),
    ) {
        let line = |word: &str, value: Option<u64>, unit: &str| value.map_or(String::new(), |v| format!("{word} {v}{unit}\n"));
        let text = |time_out: Option<u64>| format!(
            "class watchlist-save\n{}{}{}",
            line("attempts", attempts, ""), line("time-out", time_out, "ms"), line("attempt-time-out", each, "ms"),
        );
        prop_assume!(attempts.is_some() || time_out.is_some() || each.is_some());
        let all = found(&text(time_out));
        let refused = all.iter().any(|(rule, ..)| *rule == Rule::RepeatWindow);
        let ends = time_out.unwrap_or(5000);
        let mut begins = 0;
        let mut last = 0;
        for (n, late) in late.into_iter().take(attempts.unwrap_or(4) as usize).enumerate() {
            // Decided within the query's time, on its way a little later.
            if begins >= ends {
                break;
            }
            last = if n == 0 { 0 } else { begins + late };
            begins = last + each.unwrap_or(ends).min(ends);
        }
        prop_assert!(refused || last <= 5000, "{last} ms: {}", text(time_out));
        if refused {
            let fits = format_time(4745 * MILLI);
            prop_assert!(all.iter().any(|(.., holds)| holds.contains(&fits)));
            let again = found(&text(Some(time_out.unwrap_or(5000).min(4745))));
            prop_assert!(again.iter().all(|(rule, ..)| *rule != Rule::RepeatWindow), "{again:?}");
        }
    }
}
