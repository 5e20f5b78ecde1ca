//! The clusters and endpoints that proxies are told of.
//!
//! A cell becomes a cluster: its servers hold the same shards, so any of them can answer, and no other can. A server's
//! row (its place among its cell's servers, by name) is told with its endpoint, so that a proxy that can choose by it
//! keeps a query's parts to one row; turns within the row and calls shared by parts are the broker's alone, and lost.
//! All proxies are told the same of warm servers. A cold one is no endpoint of its cell's cluster: it is a cluster of its
//! own, told to those proxies alone that hold a lease on it, with what they may have out as its limit.

use crate::cold::{Rule, part_of};
use crate::leases::{Leases, fair_units};
use crate::{Proxy, ServerStatus};
use plover_model::server::{NodeId, NodeState};
use plover_model::time::Micros;
use std::collections::BTreeMap;
use std::net::SocketAddr;

/// Weights of endpoints, so far apart that a pace that wavers changes none: each is about 1.4 times the one before.
const WEIGHTS: [u32; 7] = [16, 23, 32, 45, 64, 91, 128];
/// Place of the usual weight.
const USUAL: usize = 4;

/// Whether an endpoint is to be sent anything.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Health {
    /// It serves.
    Healthy,
    /// It finishes what it has.
    Draining,
    /// It is passed over for its failures.
    Unhealthy,
}

/// One server, as all proxies are told of it.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Endpoint {
    /// Its name.
    pub name: NodeId,
    /// Where it listens.
    pub address: SocketAddr,
    /// Index of its zone.
    pub zone: Option<usize>,
    /// Its place among its cell's servers.
    pub row: usize,
    /// Its health.
    pub health: Health,
    /// Its share of the cluster's traffic, against the other endpoints' weights.
    pub weight: u32,
}

/// The servers of one cell.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Cell {
    /// The cell.
    pub cell: usize,
    /// Its servers, by name; no cold ones.
    pub endpoints: Vec<Endpoint>,
}

/// A cold server, as the holder of a lease is told of it.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Cold {
    /// The server.
    pub name: NodeId,
    /// Its cell.
    pub cell: usize,
    /// Where it listens.
    pub address: SocketAddr,
    /// The most requests that this proxy may have out there.
    pub most_out: u32,
    /// Of [`SHARES`] requests to the cell, so many are to go there.
    pub share: u32,
}

/// Shares are counted of so many.
pub const SHARES: u32 = 10_000;
/// Of the requests that may be out at a cold server, so many are aimed at: what finds no place is turned away.
const AIM: f64 = 0.5;
/// Of a cold server's due, so much is sent by a proxy whose traffic is not known yet.
const UNKNOWN: f64 = 0.5;

/// What a proxy reported of its traffic to a cell.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Traffic {
    /// Requests a second.
    pub rate: f64,
    /// Requests out, on average.
    pub out: f64,
}

/// The share of a proxy's requests to a cell that goes to a cold server: its due beside the warm ones, as far as the
/// places that the proxy has there are enough for it. `due` is the server's part of the cell's capacity.
fn cold_share(due: f64, most_out: u32, traffic: Option<Traffic>) -> u32 {
    let share = match traffic {
        // At the same time each, a share of the requests is the same share of what is out; a cold server takes longer,
        // by the inverse of what it can do, which is what the due was made less for.
        Some(t) if t.out > 0.0 => due.min(AIM * f64::from(most_out) / t.out),
        _ => due * UNKNOWN,
    };
    (share.clamp(0.0, 0.5) * f64::from(SHARES)) as u32
}

/// Whether a server of this view is cold at this moment.
pub fn is_cold(view: &ServerStatus, now: Micros, rule: &Rule) -> bool {
    view.cold_since.is_some_and(|since| !rule.is_warm(now.saturating_sub(since)))
}

fn weight(pace: f64) -> u32 {
    let usable = if pace.is_finite() && pace > 0.0 { pace } else { 1.0 };
    let steps = (-2.0 * usable.log2()).round().clamp(-(USUAL as f64), (WEIGHTS.len() - 1 - USUAL) as f64);
    WEIGHTS[(USUAL as f64 + steps) as usize]
}

/// The cells as all proxies are told of them, at this moment; `out`: servers that a quorum of proxies took out, and until
/// when. A cell of which every server that serves is passed over is told as if none were: some of them may be up, and a
/// proxy that is told of no healthy endpoint at all sends nowhere.
pub fn cells(now: Micros, views: &[ServerStatus], out: &BTreeMap<NodeId, Micros>, rule: &Rule) -> Vec<Cell> {
    let mut by_cell: BTreeMap<usize, Vec<&ServerStatus>> = BTreeMap::new();
    for view in views.iter().filter(|v| v.state != NodeState::Gone) {
        by_cell.entry(view.cell).or_default().push(view);
    }
    let passed_over = |v: &ServerStatus| {
        v.ejected_until.is_some_and(|until| until > now) || out.get(&v.name).is_some_and(|until| *until > now)
    };
    let cell = |(cell, mut views): (usize, Vec<&ServerStatus>)| {
        views.sort_by(|a, b| a.name.cmp(&b.name));
        let warm = |v: &&ServerStatus| v.state == NodeState::Serving && !is_cold(v, now, rule);
        let spared = views.iter().filter(|v| warm(v)).all(|v| passed_over(v));
        let endpoint = |(row, v): (usize, &ServerStatus)| Endpoint {
            name: v.name.clone(),
            address: v.endpoint,
            zone: v.zone,
            row,
            health: match v.state {
                NodeState::Serving if !spared && passed_over(v) => Health::Unhealthy,
                NodeState::Serving => Health::Healthy,
                _ => Health::Draining,
            },
            weight: weight(v.pace),
        };
        let rows = views
            .into_iter()
            .enumerate()
            .filter(|(_, v)| v.state != NodeState::Serving || !is_cold(v, now, rule));
        Cell { cell, endpoints: rows.map(endpoint).collect() }
    };
    by_cell.into_iter().map(cell).collect()
}

impl Instance {
    /// This instance's part of what a server may have out in all.
    pub fn part(self, server: &NodeId, whole: u32) -> u32 {
        part_of(whole, self.number, self.of, &server.0)
    }
}

/// Which control instance this is, of how many that each hold their part of what a server may have out.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Instance {
    /// Its number, from 0.
    pub number: u32,
    /// How many there may be.
    pub of: u32,
}

/// Deals the cold servers out to the proxies of this instance, and prolongs the leases that they hold: to be done again
/// well within the leases' time to live. `most_of` says what of a server's whole may be dealt out here. Proxies that hold one keep it; the others come by turns that begin with another
/// proxy for each server.
pub fn deal(
    now: Micros,
    views: &[ServerStatus],
    proxies: &[Proxy],
    traffic: impl Fn(&Proxy, usize) -> Option<Traffic>,
    rule: &Rule,
    leases: &mut Leases,
    mut most_of: impl FnMut(&NodeId, u32) -> u32,
) -> BTreeMap<Proxy, Vec<Cold>> {
    let mut dealt: BTreeMap<Proxy, Vec<Cold>> = BTreeMap::new();
    for view in views.iter().filter(|v| v.state == NodeState::Serving && is_cold(v, now, rule)) {
        let age = now.saturating_sub(view.cold_since.unwrap_or(now));
        let most = most_of(&view.name, rule.most_out(age));
        let wanted = fair_units(rule, age, proxies.len());
        let turn = view.name.0.bytes().fold(0usize, |h, b| h.wrapping_mul(31).wrapping_add(b.into()));
        let turns = (0..proxies.len()).map(|n| &proxies[(n + turn % proxies.len().max(1)) % proxies.len()]);
        let (holders, others): (Vec<&Proxy>, Vec<&Proxy>) =
            turns.partition(|p| leases.held(&view.name, p) > 0);
        let mut granted = Vec::new();
        for proxy in holders.into_iter().chain(others) {
            let most_out = leases.grant(now, &view.name, proxy, wanted, most);
            if most_out > 0 {
                granted.push((proxy, most_out));
            }
        }
        let warm = views.iter().filter(|v| v.cell == view.cell && v.state == NodeState::Serving);
        let warm = warm.filter(|v| !is_cold(v, now, rule)).count() as f64;
        let own = rule.share(age);
        // What the others do not send there falls to those that may.
        let due = own / (warm + own) * proxies.len() as f64 / granted.len().max(1) as f64;
        for (proxy, most_out) in granted {
            let share = cold_share(due, most_out, traffic(proxy, view.cell));
            let (name, cell, address) = (view.name.clone(), view.cell, view.endpoint);
            dealt.entry(proxy.clone()).or_default().push(Cold { name, cell, address, most_out, share });
        }
    }
    dealt
}

#[cfg(test)]
mod tests {
    use super::*;
    use crate::cold::tests::RULE;
    use crate::leases::Times;
    use plover_model::time::SECOND;
    use proptest::prelude::*;

    const TIMES: Times =
        Times { time_to_live: 2 * SECOND, longest_request: 4 * SECOND, longest_pause: 10 * SECOND };

    fn view(n: usize) -> ServerStatus {
        ServerStatus {
            name: NodeId(format!("s{n:02}").into()),
            endpoint: SocketAddr::from(([127, 0, 0, 1], 9000 + n as u16)),
            cell: n % 2,
            zone: Some(n % 3),
            state: NodeState::Serving,
            ejected_until: None,
            cold_since: None,
            pace: 1.0,
        }
    }

    fn health(cells: &[Cell], cell: usize) -> Vec<(usize, Health)> {
        cells[cell].endpoints.iter().map(|e| (e.row, e.health)).collect()
    }

    #[test]
    fn cells_become_clusters_and_rows_stay_where_they_are() {
        let mut views: Vec<ServerStatus> = (0..6).map(view).collect();
        views[2].state = NodeState::Draining;
        views[4].ejected_until = Some(10);
        let told = cells(5, &views, &BTreeMap::new(), &RULE);
        assert_eq!(health(&told, 0), [(0, Health::Healthy), (1, Health::Draining), (2, Health::Unhealthy)]);
        assert_eq!(health(&cells(10, &views, &BTreeMap::new(), &RULE), 0)[2].1, Health::Healthy);
        let out = BTreeMap::from([(views[1].name.clone(), 20)]);
        assert_eq!(health(&cells(10, &views, &out, &RULE), 1)[0].1, Health::Unhealthy);
    }

    #[test]
    fn a_cell_of_which_all_are_passed_over_is_told_as_if_none_were() {
        let mut views: Vec<ServerStatus> = (0..4).map(view).collect();
        (0..4).for_each(|n| views[n].ejected_until = Some(10));
        views[3].ejected_until = None;
        let told = cells(5, &views, &BTreeMap::new(), &RULE);
        assert_eq!(health(&told, 0), [(0, Health::Healthy), (1, Health::Healthy)]);
        assert_eq!(health(&told, 1), [(0, Health::Unhealthy), (1, Health::Healthy)]);
    }

    #[test]
    fn weights_follow_the_pace_in_steps() {
        assert_eq!(
            [0.1, 0.5, 1.0, 1.1, 2.0, 100.0, f64::NAN, -1.0].map(weight),
            [128, 128, 64, 64, 32, 16, 64, 64]
        );
    }

    #[test]
    fn a_cold_server_is_told_to_holders_of_a_lease_alone_until_it_is_warm() {
        let mut views: Vec<ServerStatus> = (0..4).map(view).collect();
        views[0].cold_since = Some(0);
        let proxies: Vec<Proxy> = (0..10).map(|n| format!("p{n}").into()).collect();
        let mut leases = Leases::new(TIMES);
        let one = Instance { number: 0, of: 1 };
        assert_eq!(health(&cells(0, &views, &BTreeMap::new(), &RULE), 0), [(1, Health::Healthy)]);
        let dealt = deal(0, &views, &proxies, |_, _| None, &RULE, &mut leases, |s, all| one.part(s, all));
        assert_eq!(dealt.values().flatten().map(|c| c.most_out).sum::<u32>(), RULE.most_out(0));
        let later =
            deal(SECOND, &views, &proxies, |_, _| None, &RULE, &mut leases, |s, all| one.part(s, all));
        assert!(dealt.keys().all(|p| later.contains_key(p)), "holders keep their leases");
        let warm = 16 * SECOND;
        assert!(
            deal(warm, &views, &proxies, |_, _| None, &RULE, &mut leases, |s, all| one.part(s, all))
                .is_empty()
        );
        assert_eq!(health(&cells(warm, &views, &BTreeMap::new(), &RULE), 0).len(), 2);
    }

    #[test]
    fn a_cold_servers_share_follows_its_due_and_the_places_there() {
        let of = |out| Some(Traffic { rate: 100.0, out });
        assert_eq!(cold_share(0.2, 4, of(1.0)), 2000, "its due");
        assert_eq!(cold_share(0.2, 4, of(100.0)), 200, "half of its places");
        assert_eq!(cold_share(0.2, 4, None), 1000);
        assert_eq!((cold_share(f64::NAN, 4, of(1.0)), cold_share(9.0, 9, of(1.0))), (5000, 5000));
    }

    proptest! {
        /// However many proxies and instances, together they never have more out than the server may have.
        #[test]
        fn all_instances_together_keep_to_what_a_server_may_have_out(
            proxies in 0usize..40, instances in 1u32..6, ages in prop::collection::vec(0u64..16 * SECOND, 1..20),
        ) {
            let mut cold = view(0);
            cold.cold_since = Some(0);
            let mut ages = ages;
            ages.sort_unstable();
            let mut all: Vec<Leases> = (0..instances).map(|_| Leases::new(TIMES)).collect();
            for now in ages {
                for (i, leases) in all.iter_mut().enumerate() {
                    let own: Vec<Proxy> = (0..proxies).map(|n| format!("i{i}p{n}").into()).collect();
                    let instance = Instance { number: i as u32, of: instances };
                    deal(now, std::slice::from_ref(&cold), &own, |_, _| None, &RULE, leases, |s, all| instance.part(s, all));
                }
                let out: u32 = all.iter().map(|l| l.counted(&cold.name)).sum();
                prop_assert!(out <= RULE.most_out(now));
            }
        }
    }
}
