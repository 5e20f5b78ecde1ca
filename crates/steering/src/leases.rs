//! Who may have requests out at a cold server.
//!
//! A lease lets one proxy have so many requests out at one server. It is handed to the proxy as a limit on that server's
//! cluster with a time to live, so that a proxy that is cut off stops by itself. Here a lease counts until its proxy can
//! no longer act on it. That is not when the time to live is over since it was handed out: the proxy counts that time
//! from when it *reads* the word, which may lie in its socket while it stands still. So a word that is not acknowledged
//! counts without end; acknowledged, it counts for the time to live from then (the proxy began to count before); and when
//! its stream has ended without an acknowledgement, for as long as a proxy may stand still, and the time to live. In each
//! case what it sent in the last moment has to run out too. What counts together never passes what the server may have
//! out, whatever the order of grants, of words that are late or lost, and of proxies that vanish: see
//! `tests/lease_model.rs`, which goes through all orders of a small case.

use crate::Proxy;
use crate::cold::Rule;
use plover_model::server::NodeId;
use plover_model::time::Micros;
use std::collections::BTreeMap;

/// Time limits of leases.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct Times {
    /// A proxy acts on a lease for so long after it read of it.
    pub time_to_live: Micros,
    /// The longest that a request is out at a server: what was sent in a lease's last moment ends by then.
    pub longest_request: Micros,
    /// The longest that a proxy stands still and then reads what was sent to it before.
    pub longest_pause: Micros,
}

/// Where a lease is in its life.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
enum Stage {
    /// Word of it is on its way, and not acknowledged.
    Handed,
    /// The proxy may act on it until this moment at the latest, if it hears no more.
    Held(Micros),
    /// It no longer acts on it; what it sent has run out by this moment.
    Ending(Micros),
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
struct Lease {
    units: u32,
    stage: Stage,
}

/// All leases that count, by server and proxy. Its size is bounded by what servers may have out.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Leases {
    times: Times,
    by_server: BTreeMap<NodeId, BTreeMap<Proxy, Lease>>,
}

impl Times {
    /// The longest that anybody acts on a word whose stream has ended, or whose sender has: the proxy stands still, reads it,
    /// acts on it, and its last request ends.
    pub fn longest_echo(&self) -> Micros {
        self.longest_pause + self.time_to_live + self.longest_request
    }
}

impl Leases {
    /// None yet.
    pub fn new(times: Times) -> Self {
        Leases { times, by_server: BTreeMap::new() }
    }

    /// Hands a proxy as many units at a server as are free, up to `wanted`, or prolongs the lease that it has; the number
    /// is what it may have out from now on, 0: nothing. Word of it has to go out, and [`Leases::acknowledged`] or
    /// [`Leases::stream_ended`] to follow. `most` is this instance's part of what the server may have out.
    pub fn grant(&mut self, now: Micros, server: &NodeId, proxy: &Proxy, wanted: u32, most: u32) -> u32 {
        self.expire(now);
        let Some(free) = most.checked_sub(self.counted(server)) else {
            // More is out than may be, since a part of it was lent and had to go back: what runs out is not prolonged.
            return 0;
        };
        let leases = self.by_server.entry(server.clone()).or_default();
        match leases.get_mut(proxy) {
            // One that ends is counted until it has.
            Some(Lease { stage: Stage::Ending(_), .. }) => 0,
            Some(lease) => {
                // A lease grows and never shrinks: a proxy that has not heard would keep to the larger one.
                lease.units += free.min(wanted.saturating_sub(lease.units));
                lease.stage = Stage::Handed;
                lease.units
            }
            None => {
                let units = free.min(wanted);
                if units > 0 {
                    leases.insert(proxy.clone(), Lease { units, stage: Stage::Handed });
                }
                units
            }
        }
    }

    fn change(&mut self, proxy: &Proxy, change: impl Fn(Stage) -> Stage) {
        for lease in self.by_server.values_mut().filter_map(|leases| leases.get_mut(proxy)) {
            lease.stage = change(lease.stage);
        }
    }

    /// The proxy acknowledged the last word of its leases.
    pub fn acknowledged(&mut self, now: Micros, proxy: &Proxy) {
        let until = now + self.times.time_to_live;
        self.change(proxy, |stage| if stage == Stage::Handed { Stage::Held(until) } else { stage });
    }

    /// The proxy's stream has ended. What was not acknowledged may still be read.
    pub fn stream_ended(&mut self, now: Micros, proxy: &Proxy) {
        let until = now + self.times.longest_pause + self.times.time_to_live;
        self.change(proxy, |stage| if stage == Stage::Handed { Stage::Held(until) } else { stage });
    }

    /// The proxy acknowledged a state in which it has no lease at this server.
    pub fn released(&mut self, now: Micros, server: &NodeId, proxy: &Proxy) {
        let end = now + self.times.longest_request;
        if let Some(lease) = self.by_server.get_mut(server).and_then(|leases| leases.get_mut(proxy))
            && !matches!(lease.stage, Stage::Ending(_))
        {
            lease.stage = Stage::Ending(end);
        }
    }

    /// The server is no longer cold, or gone: what is out there is no matter of leases any more.
    pub fn forget(&mut self, server: &NodeId) {
        self.by_server.remove(server);
    }

    /// What this proxy may have out at the server.
    pub fn held(&self, server: &NodeId, proxy: &Proxy) -> u32 {
        let lease = self.by_server.get(server).and_then(|leases| leases.get(proxy));
        lease.filter(|l| !matches!(l.stage, Stage::Ending(_))).map_or(0, |l| l.units)
    }

    /// The servers at which this proxy has a lease that it may act on.
    pub fn of(&self, proxy: &Proxy) -> Vec<NodeId> {
        let held = self.by_server.keys().filter(|server| self.held(server, proxy) > 0);
        held.cloned().collect()
    }

    /// Units that count at this server.
    pub fn counted(&self, server: &NodeId) -> u32 {
        self.by_server.get(server).map_or(0, |leases| leases.values().map(|l| l.units).sum())
    }

    /// Ends what has run out by now.
    pub fn expire(&mut self, now: Micros) {
        let longest = self.times.longest_request;
        for leases in self.by_server.values_mut() {
            for lease in leases.values_mut() {
                if let Stage::Held(until) = lease.stage
                    && until <= now
                {
                    lease.stage = Stage::Ending(until + longest);
                }
            }
            leases.retain(|_, l| !matches!(l.stage, Stage::Ending(at) if at <= now));
        }
        self.by_server.retain(|_, leases| !leases.is_empty());
    }
}

/// How many units each of so many proxies is to want: as few as give the server its due, at least one.
pub fn fair_units(rule: &Rule, age: Micros, proxies: usize) -> u32 {
    rule.most_out(age).div_ceil(proxies.max(1) as u32).max(1)
}

#[cfg(test)]
mod tests {
    use super::*;
    use plover_model::time::SECOND;

    const TIMES: Times =
        Times { time_to_live: 2 * SECOND, longest_request: 4 * SECOND, longest_pause: 10 * SECOND };

    fn server() -> NodeId {
        NodeId("s".into())
    }

    fn proxy(n: usize) -> Proxy {
        format!("p{n}").into()
    }

    #[test]
    fn no_more_is_handed_out_than_there_is() {
        let mut leases = Leases::new(TIMES);
        let granted: Vec<u32> = (0..5).map(|n| leases.grant(0, &server(), &proxy(n), 2, 5)).collect();
        assert_eq!((granted, leases.counted(&server())), (vec![2, 2, 1, 0, 0], 5));
        assert_eq!(leases.grant(0, &server(), &proxy(2), 2, 6), 2, "it grows with the server");
    }

    /// Part of it was borrowed, and had to go back: what is out runs out, and nobody's is prolonged meanwhile.
    #[test]
    fn what_is_over_the_most_is_not_prolonged() {
        let mut leases = Leases::new(TIMES);
        assert_eq!(leases.grant(0, &server(), &proxy(0), 3, 5), 3);
        assert_eq!(leases.grant(0, &server(), &proxy(1), 2, 5), 2);
        (0..2).for_each(|n| leases.acknowledged(0, &proxy(n)));
        assert_eq!(leases.grant(SECOND, &server(), &proxy(0), 3, 4), 0);
        assert_eq!(leases.counted(&server()), 5, "they may act on it still");
        assert_eq!(leases.grant(6 * SECOND, &server(), &proxy(1), 4, 4), 4);
    }

    /// A proxy that is cut off acts on its lease until the time to live is over, and its last request is out for longer.
    #[test]
    fn a_lease_counts_until_its_proxy_cannot_act_on_it() {
        let mut leases = Leases::new(TIMES);
        leases.grant(0, &server(), &proxy(0), 3, 3);
        leases.acknowledged(SECOND, &proxy(0));
        assert_eq!(
            leases.grant(3 * SECOND, &server(), &proxy(1), 3, 3),
            0,
            "the time to live has just run out"
        );
        assert_eq!(
            leases.grant(7 * SECOND - 1, &server(), &proxy(1), 3, 3),
            0,
            "its last request may be out"
        );
        assert_eq!(leases.grant(7 * SECOND, &server(), &proxy(1), 3, 3), 3);
        leases.released(8 * SECOND, &server(), &proxy(1));
        assert_eq!(leases.grant(12 * SECOND - 1, &server(), &proxy(0), 3, 3), 0);
        assert_eq!(leases.grant(12 * SECOND, &server(), &proxy(0), 3, 3), 3);
    }

    /// Word that was not acknowledged may be read late: it counts until its stream has ended for as long as a proxy may
    /// stand still.
    #[test]
    fn what_is_not_acknowledged_counts_without_end() {
        let mut leases = Leases::new(TIMES);
        leases.grant(0, &server(), &proxy(0), 3, 3);
        assert_eq!(leases.grant(1000 * SECOND, &server(), &proxy(1), 3, 3), 0);
        leases.stream_ended(1000 * SECOND, &proxy(0));
        assert_eq!(leases.grant(1016 * SECOND - 1, &server(), &proxy(1), 3, 3), 0);
        assert_eq!(leases.grant(1016 * SECOND, &server(), &proxy(1), 3, 3), 3);
    }

    #[test]
    fn a_lease_that_is_prolonged_goes_on_and_one_that_ends_is_not_begun_anew() {
        let mut leases = Leases::new(TIMES);
        for s in 0..10 {
            assert_eq!(leases.grant(s * SECOND, &server(), &proxy(0), 1, 1), 1);
            leases.acknowledged(s * SECOND, &proxy(0));
        }
        leases.released(10 * SECOND, &server(), &proxy(0));
        assert_eq!(leases.grant(11 * SECOND, &server(), &proxy(0), 1, 1), 0);
    }
}
