//! A discovery that answers each call, and late: by any delay that the protocol allows, constant or not, with connections that
//! die meanwhile. Guards against review case 7: every answer was given up shortly before it came.

use plover_model::time::{MILLI, Micros, SECOND};
use plover_standins::timed::{Does, LAG, Play};
use plover_watch::{ANSWER_DELAY, MOST_CONNECTIONS, Times};
use proptest::prelude::*;

/// A change counts as told so long after discovery had it and could be reached.
const TOLD: Micros = 6 * SECOND;
/// What a slow discovery may cost: each minute no more calls than an attempt and a rest after each other.
const MOST_CALLS_A_MINUTE: usize = 75;

/// The calls that a change costs beyond those in calm.
const MOST_CALLS_A_CHANGE: usize = 3;

/// A discovery with its changes by time; the first version is 1.
struct Slow<'a> {
    /// When each further version is there.
    changes: Vec<Micros>,
    /// By the time at which an answer is due: how much later its last byte comes.
    delay: &'a dyn Fn(Micros) -> Micros,
    /// Whether its first byte comes when it is due.
    head_at_once: bool,
    /// At these times all connections die without a word.
    losses: Vec<Micros>,
    /// Nothing is answered from the first to the second.
    outage: (Micros, Micros),
}

impl<'a> Slow<'a> {
    fn by(delay: &'a dyn Fn(Micros) -> Micros, changes: Vec<Micros>) -> Self {
        Slow { changes, delay, head_at_once: false, losses: Vec::new(), outage: (0, 0) }
    }

    fn rev_at(&self, at: Micros) -> u64 {
        1 + self.changes.iter().filter(|change| **change <= at).count() as u64
    }

    fn silent(&self, from: Micros, to: Micros) -> bool {
        let (begins, ends) = self.outage;
        from < ends && begins <= to
    }

    /// What becomes of a call at this time on a connection of that time.
    fn does(&self, now: Micros, connected: Micros, index: Option<u64>, wait: Micros) -> Does {
        let known = index.unwrap_or(0);
        let next = self.changes.iter().copied().find(|change| *change > now).unwrap_or(Micros::MAX);
        let due = if self.rev_at(now) > known { now } else { next.min(now + wait) };
        let late = (self.delay)(due) + LAG;
        let lost = self.losses.iter().any(|loss| (connected..due + late).contains(loss));
        if lost || self.silent(now, due + late) {
            return Does::Nothing;
        }
        let whole = due - now + late;
        let begins = if self.head_at_once { due - now } else { whole };
        let rev = self.rev_at(due);
        Does::Says { begins, takes: whole - begins, rev, tells: rev > known, closes: false }
    }

    /// Plays it to half a minute after the last change.
    fn play(&self, mut play: Play) -> Play {
        let mut connected = Vec::new();
        let last = self.changes.last().copied().unwrap_or(0).max(self.outage.1);
        let until = last.max(self.losses.iter().copied().max().unwrap_or(0)) + 30 * SECOND;
        play.run_on(until, |now, attempt, call, _| match call {
            None => {
                connected.push(now);
                let meets = self.silent(now, now);
                if meets { Does::Nothing } else { Does::ComesUp { after: 0 } }
            }
            Some(call) => self.does(now, connected[attempt], call.index, call.wait),
        });
        play
    }

    /// From when on a change can be had undisturbed: discovery answers, and no connection dies for as long as the bound says.
    fn undisturbed_from(&self, change: Micros) -> Micros {
        let bound = Times::default().hears_within() + 2 * LAG;
        let mut from = change;
        loop {
            let outage = self.silent(from, from + bound).then_some(self.outage.1);
            let loss =
                self.losses.iter().copied().filter(|loss| (from + 1..=from + bound).contains(loss)).max();
            match outage.max(loss) {
                Some(later) if later > from => from = later,
                _ => return from,
            }
        }
    }

    /// The longest from when a change can be had undisturbed until the watch has it.
    fn latest(&self, play: &Play) -> Micros {
        let had =
            |rev: u64| play.heard.iter().find(|heard| heard.1 >= rev).map_or(Micros::MAX, |heard| heard.0);
        let took = |(n, at): (usize, &Micros)| had(n as u64 + 2).saturating_sub(self.undisturbed_from(*at));
        self.changes.iter().enumerate().map(took).max().unwrap_or(0)
    }
}

fn busiest_minute(play: &Play) -> usize {
    let times: Vec<Micros> = play.calls.iter().map(|call| call.0).collect();
    let within = |from: &Micros| times.iter().filter(|at| (*from..*from + 60 * SECOND).contains(at)).count();
    times.iter().map(within).max().unwrap_or(0)
}

fn started(seed: u64) -> Play {
    Play::new(Times::default(), Some(1), seed)
}

/// Changes after a calm stretch, at moments that differ in where in a call they fall.
fn changes(phase: Micros) -> Vec<Micros> {
    (1..8).map(|n| n * 17 * SECOND + phase + n * 613 * MILLI).collect()
}

/// The review's case: from the start on, or from the middle of a call on, each answer is late.
#[test]
fn a_slow_discovery_is_heard_before_its_changes_count_as_told() {
    for late in (0..=2000).step_by(50).map(|ms| ms * MILLI) {
        for begins in [0, 12 * SECOND, 13 * SECOND + 300 * MILLI] {
            for head_at_once in [false, true] {
                let delay = |due: Micros| if due < begins { 0 } else { late };
                let slow = Slow { head_at_once, ..Slow::by(&delay, changes(late)) };
                let play = slow.play(started(late ^ begins));
                let took = slow.latest(&play);
                assert!(took <= TOLD, "{late} late from {begins} on: heard after {took}");
                let calls = busiest_minute(&play);
                assert!(calls <= MOST_CALLS_A_MINUTE, "{late} late: {calls} calls a minute");
                assert!(play.most_open <= MOST_CONNECTIONS, "{} open", play.most_open);
            }
        }
    }
}

/// Where another discovery is asked for its whole list (SIGHUP), it counts as told after 4 s.
#[test]
fn a_slow_discovery_that_the_watch_has_moved_to_is_heard_within_four_seconds() {
    for late in (0..=2000).step_by(50).map(|ms| ms * MILLI) {
        let delay = |_| late;
        let slow = Slow::by(&delay, changes(0));
        let play = slow.play(Play::moved(Times::default(), late));
        let first = play.heard.first().map_or(Micros::MAX, |heard| heard.0);
        assert!(first <= 4 * SECOND, "{late} late: heard after {first}");
        assert!(slow.latest(&play) <= TOLD);
    }
}

/// Prints what a constant delay costs: the table of `docs/design/watch.md`.
#[test]
fn a_constant_delay_costs_no_more_calls_than_the_table_says() {
    for (late, most) in [(0, 19), (100, 20), (500, 25), (1000, 33), (1500, 41), (2000, 62)] {
        let delay = |_| late * MILLI;
        let slow = Slow::by(&delay, vec![120 * SECOND]);
        let play = slow.play(started(late));
        let span = |at: &&Micros| (40 * SECOND..100 * SECOND).contains(*at);
        let calls = play.calls.iter().map(|call| &call.0).filter(span).count();
        let connects = play.connects.iter().filter(span).count();
        println!("| {late} ms | {calls} | {connects} | {} |", play.most_open);
        assert!(calls <= most, "{late} ms: {calls} calls a minute");
    }
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(1024))]

    /// Any delays, losses, outages and times of change: the derived bound holds.
    #[test]
    fn a_change_is_heard_within_the_derived_bound(
        delays in prop::collection::vec(prop_oneof![Just(0), Just(ANSWER_DELAY), 0..=ANSWER_DELAY], 1..12),
        each in prop_oneof![50 * MILLI..SECOND, SECOND..20 * SECOND],
        losses in prop::collection::vec(0..120 * SECOND, 0..10),
        outage in (10 * SECOND..60 * SECOND, prop_oneof![Just(0), 0..40 * SECOND]),
        mut changes in prop::collection::vec(8 * SECOND..120 * SECOND, 1..12),
        head_at_once: bool,
        seed: u64,
    ) {
        changes.sort_unstable();
        let delay = |due: Micros| delays[(due / each) as usize % delays.len()];
        let slow = Slow { changes, delay: &delay, head_at_once, losses, outage: (outage.0, outage.0 + outage.1) };
        let play = slow.play(started(seed));
        let took = slow.latest(&play);
        prop_assert!(took <= Times::default().hears_within() + 2 * LAG, "heard after {took}");
        prop_assert!(play.most_open <= MOST_CONNECTIONS, "{} open", play.most_open);
        let calls = busiest_minute(&play);
        prop_assert!(calls <= MOST_CALLS_A_MINUTE + MOST_CALLS_A_CHANGE * slow.changes.len(), "{calls} calls a minute");
    }
}
