//! Tests of a broker that is offered more wide queries than its own thread can process.

use crate::simulation::{ANSWER_TIME, Fleet, SEND_TIME, Simulation, Stream, admission_time};
use plover_model::time::{MILLI, Micros, SECOND};

const AIM: Micros = 75 * MILLI;
/// Number of servers that hold each shard.
const HOLDERS: usize = 4;

/// Returns the maximum number of queries per second that the thread can serve when `rate` queries arrive per
/// second.
fn max_served_rate(parts: usize, rate: f64) -> f64 {
    let second = SECOND as f64;
    let serving = (parts as Micros * (SEND_TIME + ANSWER_TIME)) as f64;
    rate.min((second - rate * admission_time(parts) as f64) / serving)
}

/// A simulated broker with idle servers and with queries that all have the same number of parts.
struct WideQueries {
    inner: Simulation,
    parts: usize,
}

impl WideQueries {
    fn new(parts: usize, service_time: Micros) -> WideQueries {
        WideQueries {
            inner: Simulation::new(Fleet { shards: parts, holders: HOLDERS }, &[AIM], service_time),
            parts,
        }
    }

    fn offer(&mut self, rate: f64, duration: Micros) {
        self.inner.offer(&[Stream { class: 0, parts: self.parts, rate }], duration);
    }

    fn counts_since(&self, from: Micros) -> (usize, usize) {
        self.inner.counts_since(from, 0, self.parts)
    }
}

/// Offered rates in queries of 690 parts per second, up to three times the rate that the thread can process.
const RATES: [f64; 10] = [2.0, 10.0, 20.0, 40.0, 60.0, 80.0, 100.0, 130.0, 175.0, 250.0];
/// Minimum ratio of the served rate to the maximum rate that the thread can serve.
const MIN_SERVED_SHARE: f64 = 0.8;

/// Guards against a broker that serves fewer queries the more it is offered.
#[test]
fn throughput_does_not_drop_under_overload() {
    const SECONDS: u64 = 4;
    for (parts, service_time) in [(690, MILLI), (690, 5 * MILLI), (200, 5 * MILLI), (30, MILLI)] {
        for rate in RATES.map(|rate| rate * (690 / parts) as f64) {
            let mut simulation = WideQueries::new(parts, service_time);
            simulation.offer(rate.min(10.0), SECOND);
            let from = simulation.inner.now;
            simulation.offer(rate, SECONDS * SECOND);
            let (arrived, in_time) = simulation.counts_since(from);
            let offered = arrived as f64 / SECONDS as f64;
            let served = in_time as f64 / SECONDS as f64;
            let max_served = max_served_rate(parts, offered);
            println!(
                "{parts} parts, {offered} per second: {served} in time, at most {max_served:.0} possible"
            );
            assert!(
                served >= MIN_SERVED_SHARE * max_served,
                "{parts} parts, {offered} per second: {served} of {max_served}"
            );
        }
    }
}

/// Guards against a broker that refuses all queries after a burst although its servers are idle.
#[test]
fn all_queries_are_served_again_a_second_after_a_burst() {
    for (parts, service_time) in [(690, MILLI), (690, 5 * MILLI), (200, 5 * MILLI), (30, MILLI)] {
        let mut simulation = WideQueries::new(parts, service_time);
        simulation.offer(175.0 * (690 / parts) as f64, 5 * SECOND);
        simulation.offer(10.0, SECOND);
        let from = simulation.inner.now;
        simulation.offer(10.0, 5 * SECOND);
        let (arrived, in_time) = simulation.counts_since(from);
        assert!(arrived > 30 && in_time == arrived, "{parts} parts: {in_time} of {arrived}");
    }
}

/// Guards against refusals that never end: they are based on estimates from a slow period, and no new answer
/// corrects the estimates because no query is admitted.
#[test]
fn a_query_is_admitted_when_all_are_refused_and_none_is_open() {
    let mut simulation = WideQueries::new(200, 5 * MILLI);
    simulation.offer(10.0, SECOND);
    simulation.inner.service_time = Box::new(|_, _| 65 * MILLI);
    simulation.offer(20.0, 2 * SECOND);
    simulation.inner.service_time = Box::new(|_, _| 5 * MILLI);
    simulation.offer(10.0, SECOND);
    let from = simulation.inner.now;
    simulation.offer(10.0, 4 * SECOND);
    let (arrived, in_time) = simulation.counts_since(from);
    assert!(arrived > 30 && in_time == arrived, "{in_time} of {arrived}");
}
