//! What a process learns of configurations from another process of the same broker.

use super::*;

const REPORTER: ReporterId = 1;

/// Returns the history of a process that started with this configuration and was told of further ones at
/// these times, on the clock of a successor.
fn predecessor(first: RequestConfig, later: &[(Micros, RequestConfig)]) -> RequestConfigHistory {
    let mut history = RequestConfigHistory::new(first);
    later.iter().for_each(|(at, config)| history.update(*at, config.clone()));
    history
}

/// Returns what a process reports, with the indices of a process that started `start` later on its clock.
fn reported(of: &RequestConfigHistory, at: Micros, start: Micros) -> Vec<Period> {
    let local = |time: Micros| if time == Micros::MAX { time } else { time.saturating_sub(start) };
    let periods = of.in_use(at).cloned();
    periods.map(|p| Period { from: local(p.from), until: local(p.until), ..p }).collect()
}

fn class(history: &RequestConfigHistory, at: Micros) -> usize {
    history.decode(at, &request("lookup", true)).unwrap().class
}

/// Guards against a successor that reads requests by a new file at once, since it began with that file: its
/// clients still go by the one that its predecessor was told to replace.
#[test]
fn a_successor_knows_the_configuration_that_clients_still_apply() {
    let relaxed = config_with_semantics(Semantics::Keyed { window: 5000.0 });
    let strict = config_with_semantics(Semantics::Unsafe);
    // Both have index 3, so that they are told apart by their semantics.
    let semantics = |history: &RequestConfigHistory, at| {
        let strictness = history.in_use(at).min_by_key(|p| p.distance(at)).unwrap();
        strictness.config.settings.as_ref().unwrap().classes[3].semantics
    };
    let old = predecessor(strict, &[(0, relaxed.clone())]);
    let start = SETTINGS_EFFECTIVE_AFTER / 12;
    let mut new = RequestConfigHistory::new(relaxed.clone());
    new.adopt(0, REPORTER, false, reported(&old, start, start));
    let switch = SETTINGS_EFFECTIVE_AFTER - start;
    assert_eq!(semantics(&new, switch - SWITCH_UNCERTAINTY - 1), Semantics::Unsafe);
    assert_eq!(new.decode(0, &request("lookup", false)).unwrap().class, 3, "no key is needed yet");
    assert_eq!(semantics(&new, switch + SWITCH_UNCERTAINTY), Semantics::Keyed { window: 5000.0 });
    assert!(new.decode(switch + PREVIOUS_CONFIG_LIFETIME, &request("lookup", false)).is_err());
    // A second successor knows as much from the first one alone.
    let mut next = RequestConfigHistory::new(relaxed);
    next.adopt(0, REPORTER, false, reported(&new, start, start));
    assert_eq!(semantics(&next, switch - start - SWITCH_UNCERTAINTY - 1), Semantics::Unsafe);
}

/// A file that the predecessor was not told of: its clients change over within the usual time of the start of
/// the successor at the latest, and until then the stricter one applies.
#[test]
fn a_file_that_only_the_successor_has_read_is_announced_by_its_start() {
    let (loose, strict) = (config(), config_with_semantics(Semantics::Unsafe));
    for (old, new, last) in [(&loose, &strict, 3), (&strict, &loose, 0)] {
        let mut history = RequestConfigHistory::new(new.clone());
        history.adopt(0, REPORTER, false, reported(&predecessor(old.clone(), &[]), 50, 50));
        for at in [0, SETTINGS_EFFECTIVE_AFTER, SETTINGS_EFFECTIVE_AFTER + SWITCH_UNCERTAINTY - 1] {
            assert_eq!(class(&history, at), 3, "{last} at {at}");
        }
        assert_eq!(class(&history, SETTINGS_EFFECTIVE_AFTER + SWITCH_UNCERTAINTY), last);
    }
}

/// A file that only the predecessor was told of, while both were there: it is in force from its time on and
/// nobody tells the successor that it is not, until that is told of a file itself.
#[test]
fn a_file_that_only_the_predecessor_was_told_of_applies_until_the_next_one() {
    let told_at = 2 * SETTINGS_EFFECTIVE_AFTER;
    let old = predecessor(config(), &[(told_at, config_with_semantics(Semantics::Unsafe))]);
    let mut new = RequestConfigHistory::new(config());
    new.adopt(0, REPORTER, false, reported(&predecessor(config(), &[]), 0, 0));
    new.adopt(told_at, REPORTER, false, reported(&old, told_at, 0));
    let from = told_at + SETTINGS_EFFECTIVE_AFTER;
    assert_eq!(class(&new, from - SWITCH_UNCERTAINTY - 1), 0);
    for at in [from, from + SWITCH_UNCERTAINTY, 100 * from] {
        assert_eq!(class(&new, at), 3, "{at}");
    }
    new.reread(told_at, config());
    new.others_ended(from);
    assert_eq!(class(&new, 100 * from), 3, "its clients go by it after the end of the predecessor as well");
    let mut third = config_with_semantics(Semantics::Safe);
    third.names.removed_classes = [3].into();
    third.settings.as_mut().unwrap().classes[3].semantics = Semantics::Unsafe;
    new.update(200 * from, third);
    assert_eq!(class(&new, 200 * from + SETTINGS_EFFECTIVE_AFTER + SWITCH_UNCERTAINTY), 0);
}

/// Both processes are told of the same file, one after the other.
#[test]
fn a_file_that_both_were_told_of_is_one_configuration() {
    let relaxed = config_with_semantics(Semantics::Safe);
    let old = predecessor(config(), &[(100, relaxed.clone())]);
    let mut new = RequestConfigHistory::new(config());
    new.adopt(100, REPORTER, false, reported(&old, 100, 0));
    new.update(200, relaxed);
    let switch = 100 + SETTINGS_EFFECTIVE_AFTER;
    assert_eq!(class(&new, switch - SWITCH_UNCERTAINTY - 1), 0);
    assert_eq!(class(&new, switch + 100 + SWITCH_UNCERTAINTY), 3);
    assert_eq!(new.previous_count(switch + PREVIOUS_CONFIG_LIFETIME), 0);
}

/// A newer process that ends takes its file with it, unless this process was told of it too.
#[test]
fn a_file_that_only_a_newer_process_had_read_ends_with_it() {
    let newer = predecessor(config_with_semantics(Semantics::Unsafe), &[]);
    let mut old = RequestConfigHistory::new(config());
    old.adopt(1000, REPORTER, true, reported(&newer, 1000, 0));
    assert_eq!(class(&old, 50 * SETTINGS_EFFECTIVE_AFTER), 3);
    let ended_at = 60 * SETTINGS_EFFECTIVE_AFTER;
    old.others_ended(ended_at);
    assert_eq!(class(&old, ended_at + SETTINGS_EFFECTIVE_AFTER), 3);
    assert_eq!(class(&old, ended_at + SETTINGS_EFFECTIVE_AFTER + SWITCH_UNCERTAINTY), 0);
}

/// While another process knows configurations that it does not report, and for as long afterwards as their
/// clients may go by them, the strictest reading applies. It is reported without that end, as a further
/// process sees the other one itself.
#[test]
fn what_is_unknown_is_read_strictly_until_its_clients_have_changed() {
    let mut history = RequestConfigHistory::new(config());
    history.set_unknown(0, Some(config_with_semantics(Semantics::Unsafe)));
    assert_eq!(class(&history, 100 * SETTINGS_EFFECTIVE_AFTER), 3);
    let report = history.report(1000);
    assert_eq!(
        report.iter().map(|p| p.until).collect::<Vec<_>>(),
        [1000 + SETTINGS_EFFECTIVE_AFTER, Micros::MAX]
    );
    let ended_at = 200 * SETTINGS_EFFECTIVE_AFTER;
    history.set_unknown(ended_at, None);
    assert_eq!(class(&history, ended_at + SETTINGS_EFFECTIVE_AFTER), 3);
    assert_eq!(class(&history, ended_at + PREVIOUS_CONFIG_LIFETIME), 0);
}

/// However much other processes report, and however many come, what is held is limited.
#[test]
fn reports_are_limited() {
    let mut history = RequestConfigHistory::new(config());
    let periods = |count: usize| -> Vec<Period> {
        let period = |n| Period {
            from: n as Micros,
            until: n as Micros + 1,
            config: config_with_nth_version(0, Semantics::Unsafe),
            is_merged: false,
        };
        (0..count).map(period).collect()
    };
    for reporter in 0..100 {
        history.adopt(reporter, reporter, false, periods(100));
    }
    assert!(history.reported.values().all(|r| r.periods.len() <= MAX_PREVIOUS));
    history.adopt(PREVIOUS_CONFIG_LIFETIME, 200, false, periods(1));
    assert!(history.reported.len() <= 1, "what is out of use is forgotten");
}
