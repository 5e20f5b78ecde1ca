//! What each connected proxy is to be told now, without I/O or clock.
//!
//! The [`Director`] brings together what the decision module holds of the servers, what proxies report of them, which
//! streams are open and what they acknowledged, and makes of that the resources for each stream. Whoever does the I/O
//! tells it what happened and calls [`Director::turn`] when [`Director::due`] says so, or soon after something happened:
//! several changes that come close together make one state.
//!
//! Nothing is told before the list of servers is known: an unknown state is not the state of no servers. A list that
//! names none, after one that named some, is taken for a fault of the list.

mod proxies;
mod reports;

pub use proxies::{Node, StreamId};
pub use reports::{ClusterLoad, EndpointLoad};

use plover_core::{Core, Seen};
use plover_model::server::{ListScope, NodeId, NodeState, ServerInfo};
use plover_model::time::{Micros, SECOND};
use plover_steering::assign::{Cell, Instance, cells, is_cold};
use plover_steering::leases::{Leases, Times};
use plover_steering::loans::{self, Answer, Loans, Word};
use plover_steering::quorum::{Place, Quorum};
use plover_steering::{View, cold, quorum};
use plover_xds::{Kind, Snapshot, View as Told};
use plover_xds_resources::{Builder, Frame};
use proxies::Proxies;
use reports::Reports;
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::sync::Arc;

/// Leases are prolonged so often within their time to live.
const BEATS: Micros = 3;
/// What one instance lends another is for so long, unless it is lent again.
const LOAN: Micros = 2 * SECOND;
/// The decisions' own clocks (ejections that end, servers that grow warm) are looked at so often.
const LOOK: Micros = SECOND / 4;

/// What a deployment says of itself.
#[derive(Clone, Debug)]
pub struct Figures {
    /// Of the resources.
    pub frame: Frame,
    /// The rule for cold servers.
    pub cold: cold::Rule,
    /// The rule for servers that proxies report as failing.
    pub quorum: quorum::Rule,
    /// Time limits of leases.
    pub times: Times,
    /// Which control instance this is.
    pub instance: Instance,
    /// Whether it may talk with the others.
    pub talks: bool,
}

/// What came of a turn.
#[derive(Clone, Debug, Default)]
pub struct Turn {
    /// What all proxies are told; `None`: nothing is known yet.
    pub shared: Option<Arc<Snapshot>>,
    /// What those are told beside who heed a time to live.
    pub kept: Arc<Snapshot>,
    /// What single streams, which do, are told in place of that.
    pub own: BTreeMap<StreamId, Arc<Snapshot>>,
    /// Whether any of it differs from the last turn's.
    pub changed: bool,
}

impl Turn {
    /// What one stream is told, which heeds a time to live or does not; `None`: nothing yet.
    pub fn view(&self, stream: StreamId, heeds: bool) -> Option<Told> {
        let own = if heeds { self.own.get(&stream).unwrap_or(&self.kept).clone() } else { Arc::default() };
        Some(Told { shared: self.shared.clone()?, own })
    }
}

/// See the module's page.
pub struct Director {
    core: Core,
    figures: Figures,
    builder: Builder,
    addresses: BTreeMap<NodeId, SocketAddr>,
    /// The same the other way. It is made with each list and not with each report, which are many more.
    names: BTreeMap<SocketAddr, NodeId>,
    /// A whole list was taken.
    whole: bool,
    /// It named servers.
    known: bool,
    quorum: Quorum,
    leases: Leases,
    loans: Loans,
    proxies: Proxies,
    reports: Reports,
    /// The cells as they were told last, with the number of each cell's last change.
    cells: Vec<Cell>,
    /// Cold servers, and the change of their cell with which they were last left out of it.
    cold: BTreeMap<NodeId, u64>,
    last: Turn,
    beat: u64,
    next_beat: Micros,
    /// The clusters of cells, with the time after which a proxy that is cut off forgets them.
    kept: Arc<Snapshot>,
    kept_beat: u64,
    next_kept: Micros,
    next_look: Micros,
    /// Before this, no lease is dealt out.
    quiet_until: Micros,
}

impl Director {
    /// With no list and no proxy yet, at the program's start. No lease is dealt out before those of a program that may have
    /// run here before have run out.
    pub fn new(now: Micros, core: Core, figures: Figures) -> Self {
        Director {
            core,
            builder: Builder::new(figures.frame.clone()),
            addresses: BTreeMap::new(),
            names: BTreeMap::new(),
            whole: false,
            known: false,
            quorum: Quorum::new(figures.quorum),
            leases: Leases::new(figures.times),
            loans: Loans::new(
                figures.instance.number,
                figures.instance.of,
                loans::Times { duration: LOAN, echo: figures.times.longest_echo() },
            ),
            proxies: Proxies::new(
                figures
                    .frame
                    .cut_off
                    .map(|cut_off| figures.times.longest_pause + cut_off + figures.times.longest_request),
            ),
            reports: Reports::default(),
            cells: Vec::new(),
            cold: BTreeMap::new(),
            last: Turn::default(),
            beat: 0,
            next_beat: 0,
            kept: Arc::default(),
            kept_beat: 0,
            next_kept: if figures.frame.cut_off.is_some() { 0 } else { Micros::MAX },
            next_look: 0,
            quiet_until: now + figures.times.longest_echo() + if figures.talks { LOAN } else { 0 },
            figures,
        }
    }

    /// Takes news of the list of servers, with where each listens. False: it was not taken, since it names no server
    /// where there were some.
    pub fn learn(
        &mut self,
        now: Micros,
        scope: ListScope,
        servers: Vec<(ServerInfo, Option<SocketAddr>)>,
    ) -> bool {
        let whole = scope != ListScope::Changes;
        if whole && self.known && servers.iter().all(|(s, _)| s.state == NodeState::Gone) {
            return false;
        }
        if whole {
            self.addresses.clear();
        }
        for (server, address) in &servers {
            match address.filter(|_| server.state != NodeState::Gone) {
                Some(address) => _ = self.addresses.insert(server.name.clone(), address),
                None => _ = self.addresses.remove(&server.name),
            }
        }
        self.names = self.addresses.iter().map(|(n, a)| (*a, n.clone())).collect();
        self.whole |= whole;
        self.known |= self.whole && !self.addresses.is_empty();
        self.core.learn(scope, servers.into_iter().map(|(s, _)| s).collect());
        // The module takes the list with its next event: before that, its views are the old ones.
        let _ = self.core.tick(now);
        self.next_look = now;
        true
    }

    /// A stream was opened.
    pub fn opened(&mut self, now: Micros, stream: StreamId, node: Node) {
        self.proxies.opened(now, stream, node);
        self.next_beat = self.next_beat.min(now);
    }

    /// A stream has asked for a kind, and may have named what it holds of that. Once it asks for endpoints it counts as
    /// one that may send.
    pub fn asked(&mut self, stream: StreamId, kind: Kind, held: &[plover_xds::Item]) {
        if kind == Kind::Endpoints {
            self.proxies.sends(stream);
            self.proxies.acked_endpoints(stream, held);
        }
    }

    /// A stream acknowledged these resources of a kind; `settled`: all of the kind that it was told, if nothing of that
    /// is unanswered.
    pub fn acked(
        &mut self,
        now: Micros,
        stream: StreamId,
        kind: Kind,
        items: &[plover_xds::Item],
        settled: Option<&[Arc<str>]>,
    ) {
        match kind {
            Kind::Cluster => self.proxies.acked_clusters(now, stream, items, settled, &mut self.leases),
            Kind::Endpoints => self.proxies.acked_endpoints(stream, items),
            Kind::Listener | Kind::Route => {}
        }
    }

    /// A stream has ended.
    pub fn ended(&mut self, now: Micros, stream: StreamId) {
        if let Some(key) = self.proxies.ended(now, stream) {
            self.leases.stream_ended(now, &key);
        }
    }

    /// Takes a proxy's report of its load since its last one.
    pub fn report(&mut self, now: Micros, node: &str, clusters: &[ClusterLoad]) {
        self.reports.take(now, node, clusters, &self.names, &mut self.quorum);
    }

    /// Reports so far of proxies whose traffic found no room: their shares go by what is usual.
    pub fn unkept_reports(&self) -> u64 {
        self.reports.unkept()
    }

    /// What this proxy said last of its traffic in a cell, as rate a second and requests out, if that is kept and fresh.
    pub fn traffic_of(&self, now: Micros, node: &str, cell: usize) -> Option<(f64, f64)> {
        self.reports.traffic(now, node, cell).map(|t| (t.rate, t.out))
    }

    /// What each cold server may have out in all, and this instance's part of that; nothing as long as a program that may
    /// have run here before could have lent it to others.
    fn parts(&self, now: Micros) -> Vec<(NodeId, u32, u32)> {
        if now < self.quiet_until {
            return Vec::new();
        }
        let rule = &self.figures.cold;
        let cold = self.views(now).into_iter().filter(|v| self.cold.contains_key(&v.name));
        let part = |v: View| {
            let whole = rule.most_out(now.saturating_sub(v.cold_since.unwrap_or(now)));
            let part = self.figures.instance.part(&v.name, whole);
            (v.name, whole, part)
        };
        cold.map(part).collect()
    }

    /// The next word to the other instances.
    pub fn word(&mut self, now: Micros) -> Word {
        let (parts, proxies) = (self.parts(now), self.proxies.that_may_lease().len());
        self.loans.ask(now, proxies as u32, &parts)
    }

    /// Answers another instance's word.
    pub fn answer(&mut self, now: Micros, word: &Word) -> Answer {
        let (parts, proxies) = (self.parts(now), self.proxies.that_may_lease().len());
        let leases = &mut self.leases;
        leases.expire(now);
        self.loans.answer(now, word, proxies as u32, |server| {
            let (_, whole, part) = parts.iter().find(|(name, ..)| name == server)?;
            Some((*whole, *part, leases.counted(server)))
        })
    }

    /// Takes another instance's answer.
    pub fn take(&mut self, answer: &Answer) {
        self.loans.take(answer);
    }

    /// When the next turn is due if nothing happens before.
    pub fn due(&self) -> Micros {
        self.next_beat.min(self.next_look).min(self.next_kept)
    }

    /// Streams that are open.
    pub fn streams(&self) -> usize {
        self.proxies.len()
    }

    /// Units of leases that count at a server, for its page and for tests.
    pub fn leased(&self, server: &NodeId) -> u32 {
        self.leases.counted(server)
    }

    /// Endpoints that were encoded since the start.
    pub fn encoded(&self) -> u64 {
        self.builder.encoded()
    }

    /// Looks at all of it, and says what is to be told.
    pub fn turn(&mut self, now: Micros) -> Turn {
        let _ = self.core.tick(now);
        self.next_look = now + LOOK;
        self.leases.expire(now);
        if !self.known {
            (self.next_beat, self.next_kept) = (Micros::MAX, self.next_look.max(self.next_kept));
            return Turn::default();
        }
        let mut views = self.views(now);
        let places: Vec<Place> =
            views.iter().map(|v| Place { server: v.name.clone(), cell: v.cell, zone: v.zone }).collect();
        let out = self.quorum.judge(now, &places, self.proxies.nodes());
        let failing: BTreeSet<&NodeId> = out.keys().collect();
        let seen: Vec<Seen> = self.reports.drain(&failing);
        if !seen.is_empty() {
            self.core.report_outcomes(now, seen);
            views = self.views(now);
        }
        let cells = cells(now, &views, &out, &self.figures.cold);
        let shared = self.builder.shared(&cells);
        let changed_cells = self.last.shared.as_ref().is_none_or(|last| !Arc::ptr_eq(last, &shared));
        if changed_cells {
            self.proxies.told(shared.kind(Kind::Endpoints));
        }
        let news = self.note_cold(now, &views);
        let deal = now >= self.next_beat || news;
        if deal {
            self.deal(now, &views);
        }
        let keep = self.keep(now, changed_cells);
        if !changed_cells && !deal && !keep {
            return Turn { changed: false, ..self.last.clone() };
        }
        self.cells = cells;
        let own = self.proxies.dealt().map(|(stream, dealt, beat)| {
            (stream, Arc::new(self.builder.own(&self.kept, &self.cells, dealt, beat)))
        });
        let own: BTreeMap<StreamId, Arc<Snapshot>> = own.collect();
        let changed = changed_cells || keep || own != self.last.own;
        self.last = Turn { shared: Some(shared), kept: self.kept.clone(), own, changed };
        self.last.clone()
    }

    /// Prolongs what a proxy that is cut off forgets. True: it is to be told again, or for the first time.
    fn keep(&mut self, now: Micros, changed: bool) -> bool {
        let Some(cut_off) = self.figures.frame.cut_off else { return false };
        if !changed && now < self.next_kept {
            return false;
        }
        if now >= self.next_kept {
            self.kept_beat += 1;
            // Not sooner than its third: each time all proxies are told, and say that they heard.
            self.next_kept = now + (cut_off / BEATS).max(1);
        }
        self.kept = Arc::new(self.builder.kept(self.kept_beat));
        true
    }

    fn views(&self, now: Micros) -> Vec<View> {
        self.core.views(now, |name| self.addresses.get(name).copied())
    }

    /// Notes which servers are cold, and with which change of its cell's endpoints each was left out. True: the set
    /// differs from before.
    fn note_cold(&mut self, now: Micros, views: &[View]) -> bool {
        let rule = &self.figures.cold;
        let cold = views.iter().filter(|v| v.state == NodeState::Serving && is_cold(v, now, rule));
        let mut noted = BTreeMap::new();
        for view in cold {
            let since = self.cold.get(&view.name).copied();
            noted.insert(view.name.clone(), since.unwrap_or_else(|| self.proxies.change_of(view.cell)));
        }
        let news = !noted.keys().eq(self.cold.keys());
        self.cold = noted;
        news
    }

    /// Deals the cold servers out. One that some proxy may still take for warm is dealt to nobody: what that proxy sends
    /// there has no limit, so that nothing may come on top of it.
    fn deal(&mut self, now: Micros, views: &[View]) {
        self.next_beat = now + (self.figures.times.time_to_live / BEATS).max(1);
        if self.cold.is_empty() {
            self.next_beat = Micros::MAX;
            return self.proxies.deal(BTreeMap::new(), self.beat);
        }
        if now < self.quiet_until {
            self.next_beat = self.next_beat.max(self.quiet_until);
            return self.proxies.deal(BTreeMap::new(), self.beat);
        }
        let heard = |v: &&View| match self.cold.get(&v.name) {
            Some(change) => self.proxies.all_heard(now, v.cell, *change),
            None => true,
        };
        let views: Vec<View> = views.iter().filter(heard).cloned().collect();
        let holders = self.proxies.that_may_lease();
        let dealt = plover_steering::assign::deal(
            now,
            &views,
            &holders,
            |proxy, cell| self.reports.traffic(now, self.proxies.node_of(proxy)?, cell),
            &self.figures.cold,
            &mut self.leases,
            |server, whole| self.loans.most(now, server, self.figures.instance.part(server, whole)),
        );
        self.beat += 1;
        self.proxies.deal(dealt, self.beat);
    }
}
