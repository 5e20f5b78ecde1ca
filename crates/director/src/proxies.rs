//! The open streams, and what each of them may still believe.

use plover_model::time::{Micros, SECOND};
use plover_steering::Proxy;
use plover_steering::assign::Cold;
use plover_steering::leases::Leases;
use plover_xds::{Collection, Item, Version};
use plover_xds_resources::{cell_name, cold_name};
use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

/// Number of a stream, never used again.
pub type StreamId = u64;

/// A stream that has not asked for endpoints in this time sends nothing by what it is told.
const IDLE: Micros = 5 * SECOND;
/// Changes of a cell that are told apart by their version. What a stream acknowledges later than that counts as unheard,
/// until it acknowledges a newer one.
const REMEMBERED: usize = 64;

/// Who a stream's proxy is.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Node {
    /// Its name.
    pub id: Arc<str>,
    /// Whether it heeds a resource's time to live: else it would keep a lease for ever when it is cut off.
    pub heeds_time_to_live: bool,
}

struct Stream {
    /// Leases go by stream, not by name: two proxies of one name, or one that came back, do not share them.
    key: Proxy,
    node: Node,
    opened: Micros,
    sends: bool,
    /// The last change of each cell's endpoints that it acknowledged.
    heard: HeardOf,
    dealt: Vec<Cold>,
    beat: u64,
}

/// Changes of a cell's endpoints, by version, the newest last.
#[derive(Default)]
struct Changes {
    number: u64,
    versions: Vec<(Version, u64)>,
}

/// What a stream that has ended had acknowledged: the last change of each cell's endpoints.
type HeardOf = BTreeMap<usize, u64>;

/// Kinds of streams that have ended and are told apart. Beyond that, they count as one that heard the least of all.
const MOST_GONE: usize = 256;

/// All open streams, and what those that ended may still do.
#[derive(Default)]
pub(crate) struct Proxies {
    /// A proxy whose stream has ended acts on what it holds for so long, where it heeds a time to live; `None`: for ever.
    lingers: Option<Micros>,
    /// Until when proxies whose streams have ended may act on what they had heard.
    gone: BTreeMap<HeardOf, Micros>,
    streams: BTreeMap<StreamId, Stream>,
    by_key: BTreeMap<Proxy, StreamId>,
    changes: BTreeMap<usize, Changes>,
    cells: BTreeMap<String, usize>,
}

impl Proxies {
    pub(crate) fn new(lingers: Option<Micros>) -> Proxies {
        Proxies { lingers, ..Proxies::default() }
    }

    pub(crate) fn len(&self) -> usize {
        self.streams.len()
    }

    /// Proxies by name.
    pub(crate) fn nodes(&self) -> usize {
        self.streams.values().map(|s| &s.node.id).collect::<BTreeSet<_>>().len()
    }

    pub(crate) fn opened(&mut self, now: Micros, id: StreamId, node: Node) {
        let key: Proxy = format!("{}#{id}", node.id).into();
        self.by_key.insert(key.clone(), id);
        let (sends, heard, dealt) = (false, BTreeMap::new(), Vec::new());
        self.streams.insert(id, Stream { key, node, opened: now, sends, heard, dealt, beat: 0 });
    }

    pub(crate) fn sends(&mut self, id: StreamId) {
        if let Some(stream) = self.streams.get_mut(&id) {
            stream.sends = true;
        }
    }

    /// The key of its leases.
    pub(crate) fn ended(&mut self, now: Micros, id: StreamId) -> Option<Proxy> {
        let stream = self.streams.remove(&id)?;
        if let Some(lingers) = self.lingers.filter(|_| stream.sends && stream.node.heeds_time_to_live) {
            self.gone.retain(|_, until| now < *until);
            let until = now + lingers;
            if self.gone.len() >= MOST_GONE && !self.gone.contains_key(&stream.heard) {
                let latest = self.gone.values().copied().max().unwrap_or(until).max(until);
                self.gone = BTreeMap::from([(HeardOf::new(), latest)]);
            } else {
                self.gone.insert(stream.heard, until);
            }
        }
        self.by_key.remove(&stream.key);
        Some(stream.key)
    }

    pub(crate) fn node_of(&self, key: &Proxy) -> Option<&str> {
        let stream = self.streams.get(self.by_key.get(key)?)?;
        Some(&stream.node.id)
    }

    /// Streams that a lease may be given to.
    pub(crate) fn that_may_lease(&self) -> Vec<Proxy> {
        let may = self.streams.values().filter(|s| s.sends && s.node.heeds_time_to_live);
        may.map(|s| s.key.clone()).collect()
    }

    /// Takes note of the endpoints that are told from now on.
    pub(crate) fn told(&mut self, endpoints: &Collection) {
        let number = |name: &str| name.strip_prefix("cell-").and_then(|n| n.parse::<usize>().ok());
        for (name, resource) in endpoints {
            let Some(cell) = number(name) else { continue };
            self.cells.entry(cell_name(cell)).or_insert(cell);
            let changes = self.changes.entry(cell).or_default();
            if changes.versions.last().is_some_and(|(v, _)| *v == resource.version) {
                continue;
            }
            changes.number += 1;
            // A state that comes back is a new change: whoever acknowledged it the first time may have heard another
            // since.
            changes.versions.retain(|(v, _)| *v != resource.version);
            changes.versions.push((resource.version, changes.number));
            if changes.versions.len() > REMEMBERED {
                changes.versions.remove(0);
            }
        }
    }

    /// The number of a cell's last change.
    pub(crate) fn change_of(&self, cell: usize) -> u64 {
        self.changes.get(&cell).map_or(0, |c| c.number)
    }

    pub(crate) fn acked_endpoints(&mut self, id: StreamId, items: &[Item]) {
        let Some(stream) = self.streams.get_mut(&id) else { return };
        for item in items {
            let Some(cell) = self.cells.get(&*item.name) else { continue };
            let versions = self.changes.get(cell).map_or(&[][..], |c| &c.versions);
            if let Some((_, number)) = versions.iter().find(|(v, _)| *v == item.version) {
                let heard = stream.heard.entry(*cell).or_default();
                *heard = (*heard).max(*number);
            }
        }
    }

    /// Whether no stream, open or ended, may still act on a cell's endpoints of before this change.
    pub(crate) fn all_heard(&self, now: Micros, cell: usize, change: u64) -> bool {
        let heard = |heard: &HeardOf| heard.get(&cell).is_some_and(|heard| *heard >= change);
        self.gone.iter().all(|(gone, until)| now >= *until || heard(gone))
            && self.streams.values().all(|s| {
                let idle = !s.sends && now >= s.opened + IDLE;
                idle || heard(&s.heard)
            })
    }

    pub(crate) fn acked_clusters(
        &mut self,
        now: Micros,
        id: StreamId,
        items: &[Item],
        settled: Option<&[Arc<str>]>,
        leases: &mut Leases,
    ) {
        let Some(stream) = self.streams.get_mut(&id) else { return };
        // Only word of the last deal: what was dealt since then is not acknowledged by this.
        if stream.beat > 0 && items.iter().any(|i| i.beat == stream.beat) {
            leases.acknowledged(now, &stream.key);
        }
        // Nothing is on its way, and what it was told holds no such cluster: it has given the lease up.
        if let Some(settled) = settled {
            let told: BTreeSet<&str> = settled.iter().map(|n| &**n).collect();
            let dealt: BTreeSet<String> = stream.dealt.iter().map(|c| cold_name(&c.name.0)).collect();
            for server in leases.of(&stream.key) {
                let name = cold_name(&server.0);
                if !told.contains(name.as_str()) && !dealt.contains(&name) {
                    leases.released(now, &server, &stream.key);
                }
            }
        }
    }

    /// Takes what was dealt to each.
    pub(crate) fn deal(&mut self, mut dealt: BTreeMap<Proxy, Vec<Cold>>, beat: u64) {
        for stream in self.streams.values_mut() {
            stream.dealt = dealt.remove(&stream.key).unwrap_or_default();
            stream.beat = beat;
        }
    }

    /// The streams that hold leases.
    pub(crate) fn dealt(&self) -> impl Iterator<Item = (StreamId, &[Cold], u64)> {
        let holders = self.streams.iter().filter(|(_, s)| !s.dealt.is_empty());
        holders.map(|(id, s)| (*id, s.dealt.as_slice(), s.beat))
    }
}
