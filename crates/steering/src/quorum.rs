//! Taking a server out for what proxies report, and not too many of them.
//!
//! One proxy's view may be wrong: its own link is cut, its own clock stands still, or it lies. A server is taken out for
//! all only on evidence from several proxies, no fewer than a quorum of those that sent it anything of late. A zone whose
//! servers are all silent at once is cut off rather than dead: its servers are not taken out for being unheard. Never so
//! many are out that the rest would be overloaded, and one that goes out and comes back again and again stays out longer.

use crate::Proxy;
use plover_model::server::NodeId;
use plover_model::time::{Micros, SECOND};
use std::collections::BTreeMap;

/// Figures of the rule.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Rule {
    /// Fewest proxies whose reports speak against a server; fewer, if fewer sent it anything.
    pub proxies: usize,
    /// The share of those that sent it anything.
    pub share: f64,
    /// A report speaks against a server from this share of failures on ...
    pub failures: f64,
    /// ... among so many requests at the least.
    pub requests: u64,
    /// Reports older than this say nothing.
    pub fresh: Micros,
    /// The first time out, doubled with each further one, and the longest.
    pub first: Micros,
    /// The longest time out.
    pub longest: Micros,
    /// After so long without trouble a server counts as sound again.
    pub forgiven: Micros,
    /// Of the servers of a cell, at most this share may be out.
    pub most_out: f64,
    /// A zone in which this share of the servers is unheard is cut off.
    pub cut_off: f64,
}

impl Rule {
    /// What holds where nobody says otherwise: two proxies at the least, half of those that sent it anything, half of a cell.
    pub const USUAL: Rule = Rule {
        proxies: 2,
        share: 0.5,
        failures: 0.5,
        requests: 5,
        fresh: 10 * SECOND,
        first: 2 * SECOND,
        longest: 30 * SECOND,
        forgiven: 60 * SECOND,
        most_out: 0.5,
        cut_off: 0.8,
    };
}

/// What one proxy reported of one server over its last interval.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Report {
    /// Requests that ended well.
    pub served: u64,
    /// Requests that failed with an answer.
    pub errors: u64,
    /// Requests that ended without one.
    pub silent: u64,
}

impl Report {
    fn requests(&self) -> u64 {
        self.served + self.errors + self.silent
    }
    fn speaks_against(&self, rule: &Rule) -> bool {
        let bad = (self.errors + self.silent) as f64;
        self.requests() >= rule.requests && bad >= rule.failures * self.requests() as f64
    }
    fn is_unheard(&self) -> bool {
        self.served == 0 && self.errors == 0 && self.silent > 0
    }
}

/// Where a server stands, for the cap and for zones.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Place {
    /// The server.
    pub server: NodeId,
    /// Its cell.
    pub cell: usize,
    /// Its zone.
    pub zone: Option<usize>,
}

#[derive(Clone, Debug, Default)]
struct Record {
    reports: BTreeMap<Proxy, (Micros, Report)>,
    out_until: Option<Micros>,
    /// How long the last time out was, and when it ended.
    last: Option<(Micros, Micros)>,
}

/// What proxies reported of servers, and which servers are out for it. Its size is bounded by proxies times servers
/// that were reported of late.
#[derive(Clone, Debug)]
pub struct Quorum {
    rule: Rule,
    records: BTreeMap<NodeId, Record>,
}

impl Quorum {
    /// Nothing reported yet.
    pub fn new(rule: Rule) -> Self {
        Quorum { rule, records: BTreeMap::new() }
    }

    /// Takes a proxy's report of a server, in place of its last one.
    pub fn report(&mut self, now: Micros, proxy: &Proxy, server: &NodeId, report: Report) {
        if report.requests() > 0 {
            let record = self.records.entry(server.clone()).or_default();
            record.reports.insert(proxy.clone(), (now, report));
        }
    }

    /// The proxy has gone: what it said holds until it is old, and is forgotten with that.
    fn forget_old(&mut self, now: Micros) {
        let fresh = self.rule.fresh;
        let forgiven = self.rule.forgiven;
        for record in self.records.values_mut() {
            record.reports.retain(|_, (at, _)| now.saturating_sub(*at) < fresh);
            record.last = record.last.filter(|(_, ended)| now < ended.saturating_add(forgiven));
        }
        self.records.retain(|_, r| !r.reports.is_empty() || r.out_until.is_some() || r.last.is_some());
    }

    /// Whether what was reported speaks against a server, with a quorum; and whether only silence does.
    fn evidence(&self, record: &Record, connected: usize) -> Option<bool> {
        let against: Vec<&Report> =
            record.reports.values().map(|(_, r)| r).filter(|r| r.speaks_against(&self.rule)).collect();
        let needed = (self.rule.share * record.reports.len() as f64).ceil().max(1.0) as usize;
        // One proxy alone proves nothing where others exist, also if none of them sends there; where it is the only one,
        // its view is all that there is.
        let needed = needed.max(self.rule.proxies.min(connected));
        (against.len() >= needed && !against.is_empty()).then(|| against.iter().all(|r| r.is_unheard()))
    }

    /// Judges all servers of the list, with so many proxies connected to all control instances, and says until when each
    /// that is out stays out.
    pub fn judge(&mut self, now: Micros, places: &[Place], connected: usize) -> BTreeMap<NodeId, Micros> {
        self.forget_old(now);
        for record in self.records.values_mut() {
            if let Some(until) = record.out_until.filter(|until| *until <= now) {
                let length = record.last.map_or(self.rule.first, |(length, _)| length);
                record.last = Some((length, until));
                record.out_until = None;
                // What was said before it came back says nothing of it now.
                record.reports.clear();
            }
        }
        let cut_off = self.cut_off(places, connected);
        let mut cells: BTreeMap<usize, (usize, usize)> = BTreeMap::new();
        for place in places {
            let cell = cells.entry(place.cell).or_default();
            cell.0 += 1;
            cell.1 += usize::from(self.is_out(&place.server));
        }
        for place in places {
            if self.is_out(&place.server) {
                continue;
            }
            let Some(record) = self.records.get(&place.server) else { continue };
            let Some(silent) = self.evidence(record, connected) else { continue };
            if silent && place.zone.is_some_and(|z| cut_off.contains(&z)) {
                continue;
            }
            let Some((all, out)) = cells.get_mut(&place.cell) else { continue };
            if (*out + 1) as f64 > self.rule.most_out * *all as f64 {
                continue;
            }
            *out += 1;
            let (first, longest) = (self.rule.first, self.rule.longest);
            if let Some(record) = self.records.get_mut(&place.server) {
                let length = record.last.map_or(first, |(length, _)| (2 * length).min(longest));
                record.last = Some((length, now + length));
                record.out_until = Some(now + length);
            }
        }
        let out = |p: &Place| Some((p.server.clone(), self.records.get(&p.server)?.out_until?));
        places.iter().filter_map(out).collect()
    }

    fn is_out(&self, server: &NodeId) -> bool {
        self.records.get(server).is_some_and(|r| r.out_until.is_some())
    }

    /// The zones in which so many servers are unheard that the zone itself must be.
    fn cut_off(&self, places: &[Place], connected: usize) -> Vec<usize> {
        let mut zones: BTreeMap<usize, (usize, usize)> = BTreeMap::new();
        for place in places {
            let Some(zone) = place.zone else { continue };
            let Some(record) = self.records.get(&place.server) else { continue };
            if record.reports.is_empty() {
                continue;
            }
            let seen = zones.entry(zone).or_default();
            seen.0 += 1;
            seen.1 += usize::from(self.evidence(record, connected) == Some(true));
        }
        let cut = |(_, (all, unheard)): &(&usize, &(usize, usize))| {
            *all > 1 && *unheard as f64 >= self.rule.cut_off * *all as f64
        };
        zones.iter().filter(cut).map(|(zone, _)| *zone).collect()
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use proptest::prelude::*;

    const RULE: Rule = Rule::USUAL;
    const ERRORS: Report = Report { served: 1, errors: 9, silent: 0 };
    const SILENT: Report = Report { served: 0, errors: 0, silent: 9 };
    const SOUND: Report = Report { served: 9, errors: 0, silent: 0 };

    fn server(n: usize) -> NodeId {
        NodeId(format!("s{n}").into())
    }

    fn proxy(n: usize) -> Proxy {
        format!("p{n}").into()
    }

    /// Four servers of one cell, two in each zone.
    fn places() -> Vec<Place> {
        (0..4).map(|n| Place { server: server(n), cell: 0, zone: Some(n / 2) }).collect()
    }

    fn out(quorum: &mut Quorum, now: Micros) -> Vec<NodeId> {
        quorum.judge(now, &places(), 4).into_keys().collect()
    }

    #[test]
    fn one_proxy_alone_takes_no_server_out() {
        let mut quorum = Quorum::new(RULE);
        quorum.report(0, &proxy(0), &server(0), ERRORS);
        (1..4).for_each(|p| quorum.report(0, &proxy(p), &server(0), SOUND));
        assert_eq!(out(&mut quorum, 1), []);
        quorum.report(2, &proxy(1), &server(0), ERRORS);
        assert_eq!(out(&mut quorum, 3), [server(0)]);
        let mut unseen = Quorum::new(RULE);
        unseen.report(0, &proxy(0), &server(0), ERRORS);
        assert_eq!(out(&mut unseen, 1), [], "others are connected, though they send nothing there");
        assert_eq!(unseen.judge(2, &places(), 1).len(), 1, "it is the only one");
    }

    #[test]
    fn never_so_many_are_out_that_the_rest_would_be_overloaded() {
        let mut quorum = Quorum::new(RULE);
        (0..4).for_each(|s| (0..3).for_each(|p| quorum.report(0, &proxy(p), &server(s), ERRORS)));
        assert_eq!(out(&mut quorum, 1).len(), 2);
    }

    #[test]
    fn a_zone_that_is_cut_off_is_not_taken_out_for_being_unheard() {
        let mut quorum = Quorum::new(RULE);
        (0..2).for_each(|s| (0..3).for_each(|p| quorum.report(0, &proxy(p), &server(s), SILENT)));
        (2..4).for_each(|s| (0..3).for_each(|p| quorum.report(0, &proxy(p), &server(s), SOUND)));
        assert_eq!(out(&mut quorum, 1), []);
        // One server that is silent beside a sound one is dead.
        (0..3).for_each(|p| quorum.report(2, &proxy(p), &server(1), SOUND));
        assert_eq!(out(&mut quorum, 3), [server(0)]);
    }

    #[test]
    fn flaps_are_damped_and_old_reports_say_nothing() {
        let mut quorum = Quorum::new(RULE);
        let mut lengths = Vec::new();
        let mut now = 0;
        for _ in 0..4 {
            (0..2).for_each(|p| quorum.report(now, &proxy(p), &server(0), ERRORS));
            let until = quorum.judge(now, &places(), 4)[&server(0)];
            lengths.push((until - now) / SECOND);
            now = until;
            assert_eq!(out(&mut quorum, now), [], "it comes back");
        }
        assert_eq!(lengths, [2, 4, 8, 16]);
        (0..2).for_each(|p| quorum.report(now, &proxy(p), &server(1), ERRORS));
        assert_eq!(out(&mut quorum, now + RULE.fresh), []);
    }

    proptest! {
        /// Whatever is reported: the cap holds in each cell, and one proxy that says anything at all of everything
        /// takes nothing out that others find sound.
        #[test]
        fn the_cap_holds_and_a_liar_alone_changes_nothing(
            reports in prop::collection::vec((0usize..5, 0usize..4, 0u64..20, 0u64..20, 0u64..20, 0u64..3 * SECOND), 0..80),
            lies in prop::collection::vec((0usize..4, 0u64..50, 0u64..50), 0..20),
        ) {
            let mut quorum = Quorum::new(RULE);
            let mut now = 0;
            for (p, s, served, errors, silent, wait) in reports {
                now += wait;
                quorum.report(now, &proxy(p), &server(s), Report { served, errors, silent });
                prop_assert!(out(&mut quorum, now).len() <= 2);
            }
            let mut sound = Quorum::new(RULE);
            for s in 0..4 { for p in 1..4 { sound.report(0, &proxy(p), &server(s), SOUND); } }
            for (s, errors, silent) in lies {
                sound.report(1, &proxy(0), &server(s), Report { served: 0, errors, silent });
                prop_assert_eq!(out(&mut sound, 2), []);
            }
        }
    }
}
