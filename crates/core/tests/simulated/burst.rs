//! A broker that is offered more wide queries than its own thread can carry.

use crate::day::{ANSWERING, Day, Fleet, SENDING, Stream, asking};
use plover_model::time::{MILLI, Micros, SECOND};

const AIM: Micros = 75 * MILLI;
/// Servers that hold each shard.
const HOLDERS: usize = 4;

/// Queries a second that the thread can serve at the most, where so many come.
fn bearable(parts: usize, rate: f64) -> f64 {
    let second = SECOND as f64;
    let serving = (parts as Micros * (SENDING + ANSWERING)) as f64;
    rate.min((second - rate * asking(parts) as f64) / serving)
}

/// A broker with idle servers that take so long for a part, and queries of so many parts.
struct Wide {
    day: Day,
    parts: usize,
}

impl Wide {
    fn new(parts: usize, work: Micros) -> Wide {
        Wide { day: Day::new(Fleet { shards: parts, holders: HOLDERS }, &[AIM], work), parts }
    }

    fn offer(&mut self, rate: f64, time: Micros) {
        self.day.offer(&[Stream { class: 0, parts: self.parts, rate }], time);
    }

    fn since(&self, from: Micros) -> (usize, usize) {
        self.day.since(from, 0, self.parts)
    }
}

/// Queries of 690 parts a second that are offered, up to three times what the thread can carry.
const RATES: [f64; 10] = [2.0, 10.0, 20.0, 40.0, 60.0, 80.0, 100.0, 130.0, 175.0, 250.0];
/// What is served of what could be, at the least.
const SHARE: f64 = 0.8;

/// Guards against a broker that serves the less the more it is offered.
#[test]
fn a_broker_that_is_offered_too_much_serves_as_much_as_it_can() {
    const SECONDS: u64 = 4;
    for (parts, work) in [(690, MILLI), (690, 5 * MILLI), (200, 5 * MILLI), (30, MILLI)] {
        for rate in RATES.map(|rate| rate * (690 / parts) as f64) {
            let mut day = Wide::new(parts, work);
            day.offer(rate.min(10.0), SECOND);
            let from = day.day.now;
            day.offer(rate, SECONDS * SECOND);
            let (came, in_time) = day.since(from);
            let offered = came as f64 / SECONDS as f64;
            let served = in_time as f64 / SECONDS as f64;
            let bearable = bearable(parts, offered);
            println!("{parts} parts, {offered} a second: {served} in time, {bearable:.0} bearable");
            assert!(served >= SHARE * bearable, "{parts} parts, {offered} a second: {served} of {bearable}");
        }
    }
}

/// Guards against a burst after which a broker refuses all, beside idle servers.
#[test]
fn within_a_second_of_a_burst_all_are_served_again() {
    for (parts, work) in [(690, MILLI), (690, 5 * MILLI), (200, 5 * MILLI), (30, MILLI)] {
        let mut day = Wide::new(parts, work);
        day.offer(175.0 * (690 / parts) as f64, 5 * SECOND);
        day.offer(10.0, SECOND);
        let from = day.day.now;
        day.offer(10.0, 5 * SECOND);
        let (came, in_time) = day.since(from);
        assert!(came > 30 && in_time == came, "{parts} parts: {in_time} of {came}");
    }
}

/// Guards against refusals that rest on what a spell has taught, of which no answer will tell otherwise.
#[test]
fn where_all_is_refused_and_nothing_is_out_one_is_let_in() {
    let mut day = Wide::new(200, 5 * MILLI);
    day.offer(10.0, SECOND);
    day.day.work = Box::new(|_, _| 65 * MILLI);
    day.offer(20.0, 2 * SECOND);
    day.day.work = Box::new(|_, _| 5 * MILLI);
    day.offer(10.0, SECOND);
    let from = day.day.now;
    day.offer(10.0, 4 * SECOND);
    let (came, in_time) = day.since(from);
    assert!(came > 30 && in_time == came, "{in_time} of {came}");
}
