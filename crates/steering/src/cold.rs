//! How much a cold server may be sent.
//!
//! The rule is that work sent to it in any window stays under a multiple of what it can do at that moment. Weights
//! cannot promise that: a share of an unknown whole is unknown, and the whole changes with every proxy's traffic. A
//! limit on what is *out* can. What reaches the server within a window was either out at its beginning or came in the
//! place of something that ended within it; and what ends by being served is no more than the server can do. So with
//! at most `K` requests out at any moment, each of at most `w` work,
//!
//! ```text
//! sent in a window <= K * w + capacity * window
//! ```
//!
//! and `K * w <= (multiple - 1) * capacity * window` keeps the rule, whoever sends and however late they hear. A server
//! that turns requests away, or fails them at once, frees their places without work: it must not be full with `K` out
//! (its waiting room is larger), and one that fails is ejected, see [`crate::quorum`].

use plover_model::time::Micros;

/// Of what the rule allows, so much is used: requests differ in work.
const SAFE: f64 = 0.75;

/// The figures of the rule, and of the deployment.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Rule {
    /// A server starts with at least this share of its capacity.
    pub from: f64,
    /// It is warm after this time at the latest.
    pub warm_after: Micros,
    /// It falls over when sent more than this multiple of what it can do ...
    pub multiple: f64,
    /// ... over a window of this length.
    pub window: Micros,
    /// What a warm server can do, in microseconds of work a second: the cores of the smallest kind, a million each.
    pub capacity: f64,
    /// Work of a request with its call, in microseconds: the largest class's mean.
    pub work: f64,
}

impl Rule {
    /// The share of its capacity that a server has at least, so long after its start. It never shrinks with time, so
    /// that whoever acts on an old figure sends less.
    pub fn share(&self, age: Micros) -> f64 {
        let grown = age as f64 / (self.warm_after as f64).max(1.0);
        (self.from + (1.0 - self.from) * grown).clamp(0.0, 1.0)
    }

    /// Whether a server is warm for sure.
    pub fn is_warm(&self, age: Micros) -> bool {
        age >= self.warm_after
    }

    /// The most requests that may be out at a server of this age, from everybody together.
    pub fn most_out(&self, age: Micros) -> u32 {
        let work_a_window = self.capacity * self.share(age) * self.window as f64 / 1e6;
        (SAFE * (self.multiple - 1.0) * work_a_window / self.work.max(1.0)).clamp(0.0, 1e6) as u32
    }
}

/// This control instance's part of a whole number that all share without talking: the parts of all instances add up
/// to the whole, and which of them get the odd ones differs from server to server, so that none goes without always.
pub fn part_of(whole: u32, instance: u32, instances: u32, server: &str) -> u32 {
    let instances = instances.max(1);
    let mix = |h: u32, b: u8| (h ^ u32::from(b)).wrapping_mul(0x0100_0193);
    let turn = server.bytes().fold(0x811c_9dc5, mix) % instances;
    let place = (instance % instances + turn) % instances;
    whole / instances + u32::from(place < whole % instances)
}

#[cfg(test)]
pub(crate) mod tests {
    use super::*;
    use plover_model::time::SECOND;
    use proptest::prelude::*;

    /// The deployment's figures: two cores, parts of 90 ms and calls of 36 ms, and the rule's own.
    pub(crate) const RULE: Rule = Rule {
        from: 0.18,
        warm_after: 16 * SECOND,
        multiple: 2.5,
        window: SECOND,
        capacity: 2e6,
        work: 126_000.0,
    };

    #[test]
    fn a_cold_server_may_have_a_few_requests_out_and_more_as_it_warms() {
        let most = [0, 4, 8, 12, 16].map(|s| RULE.most_out(s * SECOND));
        assert_eq!(most, [3, 6, 10, 14, 17]);
        assert!(!RULE.is_warm(16 * SECOND - 1) && RULE.is_warm(16 * SECOND));
    }

    /// Clients that keep `most_out` requests out at every moment, the worst that anybody can do, against a server that
    /// does exactly what its present capacity allows, the most that it can: no window breaks the rule.
    #[test]
    fn the_greediest_clients_stay_within_the_rule_in_every_window() {
        const STEP: Micros = 1000;
        let mut sends: Vec<(Micros, f64)> = Vec::new();
        let (mut out, mut left, mut now): (u32, f64, Micros) = (0, 0.0, 0);
        while now < RULE.warm_after {
            while out < RULE.most_out(now) {
                sends.push((now, RULE.work));
                out += 1;
                left += RULE.work;
            }
            let before = (left / RULE.work).ceil() as u32;
            left = (left - RULE.capacity * RULE.share(now) * STEP as f64 / 1e6).max(0.0);
            out -= before - (left / RULE.work).ceil() as u32;
            now += STEP;
        }
        for (at, _) in &sends {
            let window = sends.iter().filter(|(t, _)| t >= at && *t < at + RULE.window);
            let sent: f64 = window.map(|(_, w)| w).sum();
            let most = RULE.multiple * RULE.capacity * RULE.share(*at) * RULE.window as f64 / 1e6;
            assert!(sent <= most, "{sent} of {most} from {at}");
        }
        assert!(sends.len() > 100);
    }

    proptest! {
        #[test]
        fn the_parts_of_all_instances_add_up(whole in 0u32..500, instances in 1u32..20, name in "[a-z0-9]{1,8}") {
            let parts: Vec<u32> = (0..instances).map(|i| part_of(whole, i, instances, &name)).collect();
            prop_assert_eq!(parts.iter().sum::<u32>(), whole);
            prop_assert!(parts.iter().max().unwrap() - parts.iter().min().unwrap() <= 1);
        }

        #[test]
        fn what_was_allowed_once_stays_allowed(a in 0u64..30 * SECOND, b in 0u64..30 * SECOND) {
            prop_assert!(RULE.most_out(a.min(b)) <= RULE.most_out(a.max(b)));
        }
    }
}
