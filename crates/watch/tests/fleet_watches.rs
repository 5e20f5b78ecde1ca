//! What 1,600 watches ask of one discovery, in simulated time: at rest, after changes, after an outage, when a zone's 84
//! brokers or all start at once, and after an hour in which a region could not reach it. Bounds come from the packages'
//! own figures; `cargo test -p plover-watch --test fleet_watches -- --nocapture` prints the table.

mod fleet;

use fleet::*;
use plover_model::time::{MILLI, Micros, SECOND};
use plover_watch::{MOST_CONNECTIONS, Times};

const WATCHES: usize = 1600;
const ZONE: usize = 84;
const ENTRIES: u64 = 7800;
/// Of an entry as the protocol shows it, and of an answer without any.
const ENTRY_BYTES: u64 = 120;
const EMPTY_BYTES: u64 = 120;

fn run() -> Run {
    Run { watches: WATCHES, entries: ENTRIES, kept: u64::MAX, until: 60 * SECOND, seed: 5, ..Run::default() }
}

struct Row {
    calls: usize,
    a_second: f64,
    peak_100ms: usize,
    peak_1s: usize,
    whole: usize,
    connects: usize,
    peak_connects: usize,
    bytes: u64,
}

/// What came from `from` to `to`.
fn row(name: &str, seen: &Seen, from: Micros, to: Micros) -> Row {
    let inside = |at: Micros| (from..to).contains(&at);
    let calls: Vec<Micros> = seen.calls.iter().map(|c| c.0).filter(|at| inside(*at)).collect();
    let connects: Vec<Micros> = seen.connects.iter().copied().filter(|at| inside(*at)).collect();
    let answers = seen.answers.iter().filter(|a| inside(a.0));
    let row = Row {
        calls: calls.len(),
        a_second: calls.len() as f64 * SECOND as f64 / (to - from) as f64,
        peak_100ms: peak(calls.iter().copied(), 100 * MILLI),
        peak_1s: peak(calls.iter().copied(), SECOND),
        whole: seen.calls.iter().filter(|c| inside(c.0) && c.1.index.is_none()).count(),
        connects: connects.len(),
        peak_connects: peak(connects, 100 * MILLI),
        bytes: answers.map(|a| EMPTY_BYTES + ENTRY_BYTES * a.1).sum(),
    };
    println!(
        "| {name} | {:.0} | {} | {:.0} | {} | {} | {} | {} | {} | {:.0} |",
        (to - from) as f64 / SECOND as f64,
        row.calls,
        row.a_second,
        row.peak_100ms,
        row.peak_1s,
        row.whole,
        row.connects,
        row.peak_connects,
        row.bytes as f64 / 1024.0
    );
    row
}

/// The longest from a version's being there to a watch's having it, and how many have it.
fn latest(seen: &Seen, rev: u64, from: Micros) -> (usize, Micros) {
    let had: Vec<Micros> = seen.had.iter().filter(|h| h.1 == rev).map(|h| h.2.saturating_sub(from)).collect();
    (had.len(), had.into_iter().max().unwrap_or(0))
}

/// So many calls in such a time, if each watch calls once a wait.
fn even(times: &Times, watches: usize, span: Micros) -> usize {
    (watches as u64 * span / times.wait) as usize
}

#[test]
fn at_rest_each_watch_calls_once_a_wait() {
    let times = Times::default();
    let seen = Fleet::play(run());
    let span = 10 * times.wait;
    let rest = row("at rest", &seen, 20 * SECOND, 20 * SECOND + span);
    let mean = even(&times, WATCHES, span);
    assert!((mean - mean / 100..=mean).contains(&rest.calls), "{} calls", rest.calls);
    assert!(rest.peak_1s <= 2 * even(&times, WATCHES, SECOND), "{} calls in a second", rest.peak_1s);
    assert!(rest.peak_100ms <= 2 * even(&times, WATCHES, 100 * MILLI), "{} in 100 ms", rest.peak_100ms);
    assert_eq!((rest.whole, rest.connects), (0, 0));
}

/// A discovery that is late with every answer, by up to what the protocol allows: each watch asks it no more often than one that is
/// silent, and holds few connections.
#[test]
fn a_slow_discovery_is_asked_by_each_watch_a_bounded_number_of_times() {
    for (late_ms, most_a_minute) in [(500, 25), (1000, 33), (1500, 41), (2000, 62)] {
        let (delay, from, to) = (late_ms * MILLI, 30 * SECOND, 90 * SECOND);
        let news = vec![News { at: 60 * SECOND, entries: 1 }];
        let seen = Fleet::play(Run { delay, news, until: to + 10 * SECOND, ..run() });
        let slow = row(&format!("{late_ms} ms late"), &seen, from, to);
        let (had, took) = latest(&seen, 1, 60 * SECOND);
        println!(
            "all have the news after {:.2} s, {} connections",
            took as f64 / SECOND as f64,
            seen.most_open
        );
        assert!(had == WATCHES && took <= Times::default().hears_within() + 2 * LAG, "{had}, {took}");
        assert!(slow.calls <= most_a_minute * WATCHES + 3 * WATCHES, "{} calls", slow.calls);
        assert!(seen.most_open <= MOST_CONNECTIONS, "{} connections", seen.most_open);
        assert_eq!(slow.whole, 0);
    }
}

/// A change is told to all in one moment. From then on they must not go on calling in one moment, once a wait.
#[test]
fn after_a_change_the_calls_part() {
    let (times, at) = (Times::default(), 20 * SECOND);
    for entries in [1, 410] {
        let seen = Fleet::play(Run { news: vec![News { at, entries }], ..run() });
        let change = row(&format!("{entries} entries change"), &seen, at, at + SECOND);
        let after = row("the 39 s after it", &seen, at + SECOND, 60 * SECOND);
        let (had, took) = latest(&seen, 1, at);
        assert!(had == WATCHES && took <= 2 * LAG, "{had} have it, the last after {took}");
        // The question whether anybody is there, the call with the drawn wait, and for some the one after that.
        assert!(change.calls <= 3 * WATCHES, "{} calls", change.calls);
        assert_eq!(
            change.bytes,
            (change.calls as u64) * EMPTY_BYTES + WATCHES as u64 * entries * ENTRY_BYTES
        );
        assert!(after.calls <= even(&times, WATCHES, 39 * SECOND) + WATCHES, "{} calls", after.calls);
        assert!(after.peak_1s <= 2 * even(&times, WATCHES, SECOND), "{} calls in a second", after.peak_1s);
        assert!(after.peak_100ms <= 2 * even(&times, WATCHES, 100 * MILLI), "{} in 100 ms", after.peak_100ms);
        assert_eq!((after.whole, after.connects), (0, 0));
    }
}

/// Twice the entries, twice the bytes; twice the watches, twice the calls.
#[test]
fn calls_and_bytes_grow_with_watches_and_entries_alone() {
    let of = |watches: usize, entries: u64| {
        let news = vec![News { at: 20 * SECOND, entries }];
        let seen = Fleet::play(Run { watches, news, ..run() });
        let bytes: u64 = seen.answers.iter().map(|a| ENTRY_BYTES * a.1).sum();
        (seen.calls.len(), bytes)
    };
    let (calls, bytes) = of(200, 10);
    for watches in [400, 800, 1600] {
        let more = of(watches, 10);
        let times = watches / 200;
        assert!(more.0 * 20 <= 21 * times * calls, "{watches}: {} calls, {calls} of 200", more.0);
        assert_eq!(more.1, times as u64 * bytes);
    }
    for entries in [1, 100, 410] {
        assert_eq!(of(200, entries).1, entries * bytes / 10);
    }
}

#[test]
fn after_an_outage_all_have_the_news_and_none_asks_for_the_whole_list() {
    let times = Times::default();
    for refuses in [false, true] {
        for lasts in [5, 40] {
            let (from, to) = (20 * SECOND, (20 + lasts) * SECOND);
            let outages = vec![Outage { from, to, refuses, below: WATCHES }];
            let news = vec![News { at: 21 * SECOND, entries: 20 }];
            let seen = Fleet::play(Run { outages, news, until: to + 40 * SECOND, ..run() });
            let name = format!("{lasts} s without discovery, {}", if refuses { "refused" } else { "silent" });
            let during = row(&name, &seen, from, to);
            let back = row("the 10 s after", &seen, to, to + 10 * SECOND);
            let after = row("the 30 s after that", &seen, to + 10 * SECOND, to + 40 * SECOND);
            let (had, took) = latest(&seen, 1, to);
            println!("all have the news after {:.2} s", took as f64 / SECOND as f64);
            assert!(had == WATCHES && took <= times.tries_within() + 2 * LAG, "{had}, the last after {took}");
            // The first rests are short, and then each attempt takes its time and at least half of the longest rest.
            let each = times.back_off.1 / 2 + if refuses { 0 } else { times.attempt };
            let attempts = (6 + lasts * SECOND / each) as usize * WATCHES;
            assert!(during.connects <= attempts, "{} attempts, {attempts} at most", during.connects);
            assert_eq!(back.connects, WATCHES, "one connection each");
            // Rests are drawn: those that lost it in one moment do not come back in one.
            assert!(back.peak_connects <= WATCHES / 2, "{} connections in 100 ms", back.peak_connects);
            assert!(back.calls <= even(&times, WATCHES, 10 * SECOND) + 4 * WATCHES, "{} calls", back.calls);
            assert_eq!(back.whole + after.whole, 0);
            assert!(
                after.peak_100ms <= 3 * even(&times, WATCHES, 100 * MILLI),
                "{} in 100 ms",
                after.peak_100ms
            );
        }
    }
}

/// With the pace of coming back: whole lists no faster than the fleet may ask, whether a zone's brokers start or all.
#[test]
fn those_that_start_together_ask_for_the_whole_list_at_the_fleets_pace() {
    let at = 20 * SECOND;
    for many in [ZONE, WATCHES] {
        for lists in [100, 400] {
            let seen = Fleet::play(Run { begin: Some((many, at, lists)), ..run() });
            let start = row(&format!("{many} start, {lists} lists a second"), &seen, at, at + 20 * SECOND);
            let whole: Vec<Micros> = seen.calls.iter().filter(|c| c.1.index.is_none()).map(|c| c.0).collect();
            let (of_100ms, of_1s) =
                (peak(whole.iter().copied(), 100 * MILLI), peak(whole.iter().copied(), SECOND));
            let last = whole.iter().max().unwrap() - at;
            println!(
                "whole lists: {of_100ms} in 100 ms, {of_1s} in 1 s, the last after {:.2} s",
                last as f64 / SECOND as f64
            );
            assert_eq!((start.whole, start.connects), (many, many));
            // What the settings say, and four roots of it: moments that are drawn scatter.
            let scatter = |mean: f64| (mean + 4.0 * mean.sqrt() + 3.0) as usize;
            let share = f64::from(lists) * many as f64 / WATCHES as f64;
            assert!(of_1s <= scatter(share), "{of_1s} whole lists in a second, {share} meant");
            assert!(of_100ms <= scatter(share / 10.0), "{of_100ms} whole lists in 100 ms");
            assert!(last <= WATCHES as u64 * SECOND / u64::from(lists) + 2 * LAG, "the last after {last}");
        }
    }
}

/// Without it, as where the operator's file sets none: all at once, though only for changes.
#[test]
fn those_that_start_together_without_a_pace_ask_for_changes_alone() {
    let at = 20 * SECOND;
    for many in [ZONE, WATCHES] {
        let seen = Fleet::play(Run { begin: Some((many, at, 0)), until: 90 * SECOND, ..run() });
        let start = row(&format!("{many} start unpaced"), &seen, at, at + 20 * SECOND);
        let after = row("the 50 s after that", &seen, at + 20 * SECOND, at + 70 * SECOND);
        assert_eq!((start.whole, start.connects), (0, many));
        assert!(
            after.peak_100ms <= 2 * even(&Times::default(), WATCHES, 100 * MILLI),
            "{}",
            after.peak_100ms
        );
    }
}

/// A region that could not reach discovery for an hour: what changed meanwhile comes in one answer to each, at moments spread
/// over the time between two attempts; the whole list only where discovery no longer knows the changes.
#[test]
fn a_healed_region_asks_for_an_hours_changes_once() {
    let times = Times::default();
    let (from, to) = (20 * SECOND, 3620 * SECOND);
    // Of 26 failures and 950 restarts a day, those of an hour; and the servers of a region, all of them replaced.
    for (churn, changes, entries) in [("an hour's news", 41, 1), ("a region's servers", 1114, 1)] {
        for (watches, kept) in [(ZONE, u64::MAX), (229, u64::MAX), (229, 8)] {
            let apart = (to - from) / (changes + 1);
            let news: Vec<News> = (1..=changes).map(|n| News { at: from + n * apart, entries }).collect();
            let outages = vec![Outage { from, to, refuses: false, below: watches }];
            let seen = Fleet::play(Run { watches, outages, news, kept, until: to + 20 * SECOND, ..run() });
            let told: Vec<Micros> =
                seen.answers.iter().filter(|a| a.0 >= to && a.1 > 0).map(|a| a.0).collect();
            let known = if kept < changes { "eight versions" } else { "all versions" };
            let name = format!("{churn}, {watches} brokers, {known} kept");
            let back = row(&name, &seen, to, to + 10 * SECOND);
            let (had, took) = latest(&seen, changes, to);
            let most = (peak(told.iter().copied(), 100 * MILLI), peak(told.iter().copied(), SECOND));
            println!("told {most:?} in 100 ms and 1 s, the last after {:.2} s", took as f64 / SECOND as f64);
            assert!(had == watches && took <= times.tries_within() + 2 * LAG, "{had}, the last after {took}");
            assert_eq!(told.len(), watches, "each is told once");
            let each = if kept < changes { ENTRIES } else { changes * entries };
            let entries_told: u64 = seen.answers.iter().filter(|a| a.0 >= to).map(|a| a.1).sum();
            assert_eq!(entries_told, watches as u64 * each);
            assert_eq!((back.whole, back.connects), (0, watches), "nobody asks for the whole list");
            assert!(most.0 <= watches / 4, "{} were told in 100 ms", most.0);
        }
    }
}
