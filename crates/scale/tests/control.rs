//! What control costs by size: counts of calls, answers, bytes and state where a size is doubled. None of them may grow
//! faster than the size; that is where a part of the work becomes quadratic.
//!
//! Nothing here goes by how fast the machine is. On one so slow that a watch takes an answer for lost, the watch makes a new
//! connection: such a play is void and played again.

use allocation_counter::measure;
use plover_core::Core;
use plover_discovery::Times;
use plover_model::server::{ListScope, Targets};
use plover_model::time::{Micros, SECOND};
use plover_recovery::{Budget, Kind, Rates};
use plover_scale::control::{Site, come_back, simulated};
use plover_scale::discovery::{Counts, Discovery, Entry, Told, known};
use plover_scale::hollow_broker::{HollowThread, Task};
use plover_watch::Ledger;
use std::thread::sleep;
use std::time::{Duration, Instant};

/// Far beyond what a slow machine needs for whatever is waited for.
const BOUND: Duration = Duration::from_secs(60);
/// Plays that may be void.
const PLAYS: usize = 8;
/// Waits are drawn by a broker's number, and numbers begin anew after so many: twice as many draw each wait twice, so that
/// they make twice the bytes and not one more or less.
const NUMBERS: u32 = 4;

/// Waits until something holds.
fn until(what: &str, holds: impl Fn() -> bool) {
    let end = Instant::now() + BOUND;
    while !holds() {
        assert!(Instant::now() < end, "{what}: not within {BOUND:?}");
        sleep(Duration::from_millis(5));
    }
}

/// What came of a play.
struct Played {
    /// From the moment at which all were at rest.
    counts: Counts,
    told: Vec<Told>,
}

/// So many hollow brokers with a list of so many servers, at rest; then so many of these change, told as changes or as a
/// whole list, and all are at rest again.
fn play(brokers: u32, servers: u32, changes: u32, whole: bool) -> Played {
    for _ in 0..PLAYS {
        let site = Site::start(servers).unwrap();
        let hollow = HollowThread::start().unwrap();
        let configuration = site.configuration(brokers);
        let operator = String::new();
        for begun in (0..brokers).step_by(NUMBERS as usize) {
            let (configuration, operator) = (configuration.clone(), operator.clone());
            let count = NUMBERS.min(brokers - begun);
            hollow.ask(Task::Start { first: 0, count, configuration, operator }).unwrap();
        }
        let n = u64::from(brokers);
        // The short call is answered, and the long one is out.
        until("rest", || site.discovery.counts().calls >= 2 * n);
        let rest = site.discovery.counts();
        let (rev, _) = site.discovery.publish(&site.restarted(changes, 1), whole).unwrap();
        until("news", || site.discovery.having(rev) == brokers as usize);
        until("rest after it", || site.discovery.counts().calls >= 4 * n);
        let counts = site.discovery.counts();
        if counts.opened == n && counts.closed == 0 && counts.calls == 4 * n {
            return Played { counts: counts - rest, told: site.discovery.told() };
        }
    }
    panic!("void in {PLAYS} plays: the machine is too slow, or watches make new connections");
}

/// Bytes of answers that told something.
fn news(told: &[Told], first_index: u64) -> Vec<u64> {
    told.iter().filter(|t| t.index == Some(first_index) && t.wait_ms > 100).map(|t| t.bytes).collect()
}

/// Whether a count that was `one` may be `two` where the size is twice as large; fixed parts are told apart by `fixed`.
fn doubles(one: u64, two: u64, fixed: u64) -> bool {
    two <= 2 * one + fixed
}

#[test]
fn twice_the_brokers_make_twice_the_calls_and_bytes_and_no_more_encodings() {
    let (one, two) = (play(4, 100, 1, false).counts, play(8, 100, 1, false).counts);
    // One answer with the change for each, one without news, and a call after both.
    assert_eq!((one.changes, one.empty, one.calls, one.whole), (4, 4, 8, 0));
    assert_eq!((two.changes, two.empty, two.calls, two.whole), (8, 8, 16, 0));
    assert_eq!((two.bytes_in, two.bytes_out), (2 * one.bytes_in, 2 * one.bytes_out));
    // Whatever the number: the change, and nothing since it.
    assert_eq!((one.encoded, two.encoded), (2, 2));
}

#[test]
fn twice_the_entries_make_a_whole_list_twice_as_long() {
    let (one, two) = (play(2, 400, 1, true), play(2, 800, 1, true));
    assert_eq!((one.counts.whole, two.counts.whole, two.counts.changes), (2, 2, 0));
    let (one, two) = (news(&one.told, Discovery::FIRST), news(&two.told, Discovery::FIRST));
    assert_eq!((one.len(), two.len()), (2, 2));
    // Numbers in an entry may have a digit more.
    assert!(doubles(one[0], two[0], 400 * 4), "{one:?} {two:?}");
    assert!(one[0] > 400 * 100, "a list of 400 is no list: {one:?}");
}

#[test]
fn twice_the_changes_make_one_answer_twice_as_long_and_no_further_call() {
    let (one, two) = (play(2, 400, 50, false), play(2, 400, 100, false));
    assert_eq!((one.counts.changes, one.counts.calls), (2, 4));
    assert_eq!((two.counts.changes, two.counts.calls), (2, 4));
    let (one, two) = (news(&one.told, Discovery::FIRST), news(&two.told, Discovery::FIRST));
    assert!(doubles(one[0], two[0], 100 * 4), "{one:?} {two:?}");
    assert!(one[0] > 50 * 100 && one[0] < 51 * 200, "changes alone are told: {one:?}");
}

/// Brokers that start with a way back ask for the whole list, once each.
#[test]
fn brokers_that_come_back_take_one_whole_list_each() {
    for _ in 0..PLAYS {
        let site = Site::start(100).unwrap();
        let hollow = HollowThread::start().unwrap();
        let configuration = site.configuration(4);
        hollow.ask(Task::Start { first: 0, count: 4, configuration, operator: come_back(4) }).unwrap();
        until("the list", || site.discovery.having(Discovery::FIRST) == 4);
        let counts = site.discovery.counts();
        if counts.opened == 4 && counts.closed == 0 {
            assert_eq!(counts.whole, 4);
            return;
        }
    }
    panic!("void in {PLAYS} plays");
}

/// Allocations, bytes of all of them, and the most held at once.
type Allocated = (u64, u64, u64);

/// What a broker allocates and holds for a list of so many, and for a change of one entry of it.
fn state(servers: u32) -> [Allocated; 3] {
    let entries = Entry::fleet(servers, 12, 19);
    let read = |entries: &[Entry]| serde_json::from_value::<Targets>(known(1, entries)).unwrap();
    let site = Site::start(1).unwrap();
    let config = plover_config::check(&site.configuration(3), |_| None).unwrap();
    let zones = config.names.zones.clone();
    let (whole, mut one) = (read(&entries), read(&entries[..1]));
    let mut core = Core::new(config.settings, 1000, 1);
    let learned = measure(|| {
        core.update_servers(ListScope::Complete, whole.servers(&zones, |ms| ms));
        core.tick(SECOND);
    });
    let mut ledger = Ledger::default();
    let mut told = whole.clone();
    let kept = measure(|| _ = ledger.take(SECOND, &mut told));
    (one.all, one.rev) = (false, 2);
    let changed = measure(|| {
        ledger.take(2 * SECOND, &mut one);
        core.update_servers(ListScope::Changes, one.servers(&zones, |ms| ms));
        core.tick(2 * SECOND);
    });
    [learned, kept, changed].map(|info| (info.count_total, info.bytes_total, info.bytes_max))
}

#[test]
fn twice_the_entries_take_twice_the_allocations_and_memory_of_a_broker() {
    let (one, two, four) = (state(1000), state(2000), state(4000));
    for (name, sizes) in ["list", "ledger", "change"].iter().zip((0..3).map(|i| [one[i], two[i], four[i]])) {
        for pair in sizes.windows(2) {
            let ((count, bytes, held), (counts, more, holds)) = (pair[0], pair[1]);
            // Tables grow by doubling: a fifth more, and a handful of allocations.
            assert!(10 * counts <= 22 * count + 1000, "{name}: {sizes:?}");
            assert!(10 * more <= 22 * bytes + 100_000, "{name}: {sizes:?}");
            assert!(10 * holds <= 22 * held + 100_000, "{name}: {sizes:?}");
        }
        assert!(sizes[0].0 > 0, "{name}: nothing was measured");
    }
}

/// A region that is cut off: attempts grow with its brokers and with time, and each has the news soon after.
#[test]
fn a_cut_costs_attempts_by_brokers_and_time_and_ends_within_the_bound() {
    let [few, many, long] = [(200, 600), (400, 600), (200, 1200)].map(|(n, s)| simulated::cut(n, s, 7));
    assert!(doubles(few.attempts, many.attempts, few.attempts / 20), "{} {}", few.attempts, many.attempts);
    assert!(doubles(few.attempts, long.attempts, few.attempts / 20), "{} {}", few.attempts, long.attempts);
    let times = Times::default();
    // After ten quick attempts they are quick and patient by turns, and each is followed by half of the longest rest at least.
    let pair = times.attempt + times.patient + times.back_off.1;
    assert!(few.attempts <= 200 * (10 + 2 * 600 * SECOND / pair + 2), "{}", few.attempts);
    let bound = Duration::from_micros(times.tries_within()) + Duration::from_millis(10);
    for cut in [few, many, long] {
        assert!(cut.healed.quantile(1.0).unwrap() <= bound, "{:?}", cut.healed.quantile(1.0));
    }
}

/// A zone of the fleet that starts at once asks for its lists at the fleet's pace, and no faster for being larger.
#[test]
fn brokers_that_start_at_once_ask_at_the_pace_of_the_fleet() {
    let rates = Rates { lists: 100, connections: 1, probes: 1, states: 1 };
    let peak = |fleet: usize, starts: u64| {
        let mut asks: Vec<Micros> = (0..starts)
            .map(|n| {
                let seed = n.wrapping_mul(0x9e37_79b9_7f4a_7c15);
                let mut budget = Budget::new(0, seed, fleet, rates);
                budget.take(0, Kind::List).err().unwrap_or(0)
            })
            .collect();
        asks.sort_unstable();
        let within = |from: &Micros| asks.iter().filter(|at| **at >= *from && **at < from + SECOND).count();
        asks.iter().map(within).max().unwrap_or(0)
    };
    // All of them: 100 a second, drawn; five deviations more at the most.
    assert!(peak(1600, 1600) <= 150 && peak(3200, 3200) <= 150);
    // A zone of 84, and twice as many: their share of that.
    assert!(peak(1600, 84) <= 20 && peak(1600, 168) <= 30);
}
