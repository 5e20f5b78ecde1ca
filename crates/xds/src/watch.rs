//! One kind of resources on one stream: what was asked for, what was sent, and what was said of it.

use crate::{Kind, LONGEST_NAME, MOST_NAMES, Resource, Variant, Version, View};
use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::sync::Arc;

/// Responses whose acknowledgement is awaited. An older one is forgotten: what it told counts as not acknowledged.
const MOST_OUT: usize = 16;
/// The name that means all.
const ALL: &str = "*";

/// A request about one kind.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Request {
    /// State of the world.
    Sotw {
        /// All names that are asked for.
        names: Vec<String>,
        /// The response that this answers; empty: none.
        nonce: String,
        /// Why that is refused.
        error: Option<String>,
    },
    /// Incremental.
    Delta {
        /// Further names.
        subscribe: Vec<String>,
        /// Names that are no longer asked for.
        unsubscribe: Vec<String>,
        /// What the proxy holds from an earlier stream.
        initial: Vec<(String, String)>,
        /// The response that this answers; empty: none.
        nonce: String,
        /// Why that is refused.
        error: Option<String>,
    },
}

/// A request that no proxy sends in good order: its stream is to end.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum Fault {
    /// More names than any proxy needs.
    #[error("asks for more than {MOST_NAMES} names of {}", .0.short())]
    TooManyNames(Kind),
    /// A name that is too long.
    #[error("a name of more than {LONGEST_NAME} bytes for {}", .0.short())]
    LongName(Kind),
    /// Requests of both variants on one stream.
    #[error("both variants of the protocol on one stream")]
    Variants,
}

/// A resource as it was sent.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Item {
    /// Its name.
    pub name: Arc<str>,
    /// Its version.
    pub version: Version,
    /// Its beat.
    pub beat: u64,
}

/// What a request said of earlier responses.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Heard {
    /// Nothing. A first request may name what the proxy holds already.
    Asked(Vec<Item>),
    /// It answers a response that is no longer known.
    Stale,
    /// This was accepted.
    Acked(Vec<Item>),
    /// This was refused.
    Refused {
        /// What was refused.
        items: Vec<Item>,
        /// The proxy's words.
        words: String,
    },
}

/// A response.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Answer {
    /// Of this kind.
    pub kind: Kind,
    /// Its number on the stream.
    pub nonce: u64,
    /// The state's version.
    pub version: Version,
    /// What is told.
    pub resources: Vec<Arc<Resource>>,
    /// What is gone: the incremental variant's alone.
    pub removed: Vec<Arc<str>>,
}

/// What the proxy holds of one name, as far as is known.
#[derive(Clone, Debug, Default)]
struct Held {
    /// The version that was sent last; `None`: it is to be sent whatever the version.
    sent: Option<(Version, u64)>,
    /// What was sent last, for as long as it must be told beyond its end.
    resource: Option<Arc<Resource>>,
    /// Some version was accepted, so that the proxy has the resource.
    acked: bool,
    /// The version that was sent last was refused.
    refused: bool,
    /// What the version accepted last points at.
    needs: Option<Arc<[Arc<str>]>>,
}

/// A response that was sent.
#[derive(Debug)]
struct Sent {
    nonce: u64,
    /// What was told, and what each of it points at.
    items: Vec<(Item, Arc<[Arc<str>]>)>,
    removed: Vec<Arc<str>>,
}

/// The state of one kind on one stream.
#[derive(Debug)]
pub(crate) struct Watch {
    kind: Kind,
    variant: Variant,
    wildcard: bool,
    /// It asked for all by naming nothing, as proxies did before there was a name for it.
    unnamed: bool,
    names: BTreeSet<Arc<str>>,
    held: BTreeMap<Arc<str>, Held>,
    /// Names that were asked for anew and are not there: the proxy is owed the word.
    absent: BTreeSet<Arc<str>>,
    /// An answer is owed even if it says nothing new.
    owed: bool,
    out: VecDeque<Sent>,
    /// Removals that the proxy refused with the rest of their response: they go along with the next one.
    unremoved: BTreeSet<Arc<str>>,
}

fn checked(kind: Kind, names: &[String]) -> Result<(), Fault> {
    if names.len() > MOST_NAMES {
        return Err(Fault::TooManyNames(kind));
    }
    if names.iter().any(|n| n.len() > LONGEST_NAME) {
        return Err(Fault::LongName(kind));
    }
    Ok(())
}

impl Watch {
    /// With the first request of its kind.
    pub(crate) fn open(kind: Kind, request: Request) -> Result<Watch, Fault> {
        let variant = match request {
            Request::Sotw { .. } => Variant::Sotw,
            Request::Delta { .. } => Variant::Delta,
        };
        let mut watch = Watch {
            kind,
            variant,
            wildcard: false,
            unnamed: false,
            names: BTreeSet::new(),
            held: BTreeMap::new(),
            absent: BTreeSet::new(),
            owed: kind.is_whole(),
            out: VecDeque::new(),
            unremoved: BTreeSet::new(),
        };
        match request {
            Request::Sotw { names, .. } => {
                checked(kind, &names)?;
                watch.unnamed = kind.is_whole() && names.is_empty();
                watch.wildcard = watch.unnamed;
                watch.subscribe(names);
            }
            Request::Delta { subscribe, initial, .. } => {
                checked(kind, &subscribe)?;
                if initial.len() > MOST_NAMES {
                    return Err(Fault::TooManyNames(kind));
                }
                for (name, version) in initial {
                    if name.len() > LONGEST_NAME {
                        return Err(Fault::LongName(kind));
                    }
                    // A version of somebody else's is none of ours: the resource is sent again.
                    let sent = Some((Version::parse(&version).unwrap_or(Version(0)), 0));
                    watch.held.insert(name.into(), Held { sent, acked: true, ..Held::default() });
                }
                watch.wildcard = kind.is_whole() && subscribe.is_empty();
                // What it holds already need not be sent for being asked for.
                let names = subscribe.into_iter().filter(|n| !watch.take_all(n)).collect::<Vec<_>>();
                watch.absent = names
                    .iter()
                    .filter(|n| !watch.held.contains_key(n.as_str()))
                    .map(|n| n.as_str().into())
                    .collect();
                watch.names = names.into_iter().map(Into::into).collect();
                let (wildcard, names) = (watch.wildcard, &watch.names);
                watch.held.retain(|name, _| wildcard || names.contains(name));
            }
        }
        Ok(watch)
    }

    /// Whether this name means all; then it is taken as that.
    fn take_all(&mut self, name: &str) -> bool {
        let all = name == ALL;
        self.wildcard |= all;
        all
    }

    /// Takes all names that are asked for from now on.
    fn subscribe(&mut self, names: Vec<String>) {
        let mut wanted: BTreeSet<Arc<str>> = BTreeSet::new();
        for name in names {
            if !self.take_all(&name) {
                wanted.insert(name.into());
            }
        }
        if self.kind.is_whole() && wanted.iter().any(|n| !self.names.contains(n)) {
            // That one is not there shows in an answer that lacks it.
            self.owed = true;
        }
        self.names = wanted;
        let (wildcard, names) = (self.wildcard, &self.names);
        self.held.retain(|name, _| wildcard || names.contains(name));
    }

    /// A further request.
    pub(crate) fn request(&mut self, request: Request) -> Result<Heard, Fault> {
        match (request, self.variant) {
            (Request::Sotw { names, nonce, error }, Variant::Sotw) => {
                checked(self.kind, &names)?;
                let newest = self.out.back().map(|s| s.nonce.to_string());
                let heard = self.heard(&nonce, error);
                // An answer to an older response was sent before the newest was seen, and so were its names: the answer
                // to the newest brings those that hold.
                if nonce.is_empty() || newest.is_none_or(|n| n == nonce) {
                    // Without a name from the beginning, it is still all; after names, it is none.
                    self.unnamed &= names.is_empty();
                    self.wildcard = self.unnamed;
                    self.subscribe(names);
                }
                Ok(heard)
            }
            (Request::Delta { subscribe, unsubscribe, nonce, error, .. }, Variant::Delta) => {
                checked(self.kind, &subscribe)?;
                checked(self.kind, &unsubscribe)?;
                let heard = self.heard(&nonce, error);
                for name in unsubscribe {
                    self.unsubscribe(&name);
                }
                for name in subscribe {
                    if self.take_all(&name) {
                        self.owed = true;
                        continue;
                    }
                    // Asked for again, it is sent again: the proxy may have forgotten it.
                    match self.held.get_mut(name.as_str()) {
                        Some(held) => held.sent = None,
                        None => _ = self.absent.insert(name.as_str().into()),
                    }
                    self.names.insert(name.into());
                }
                if self.names.len() > MOST_NAMES {
                    return Err(Fault::TooManyNames(self.kind));
                }
                Ok(heard)
            }
            _ => Err(Fault::Variants),
        }
    }

    fn unsubscribe(&mut self, name: &str) {
        if name == ALL {
            self.wildcard = false;
            let names = &self.names;
            self.held.retain(|name, _| names.contains(name));
            return;
        }
        let was = self.names.remove(name);
        self.absent.remove(name);
        if !self.wildcard {
            self.held.remove(name);
        } else if was {
            // The proxy has forgotten it, and is owed it (or word of its absence) as one of all.
            match self.held.get_mut(name) {
                Some(held) => held.sent = None,
                None => _ = self.absent.insert(name.into()),
            }
        }
    }

    /// Takes what is said of an earlier response.
    fn heard(&mut self, nonce: &str, error: Option<String>) -> Heard {
        if nonce.is_empty() {
            return Heard::Asked(Vec::new());
        }
        let place = nonce.parse::<u64>().ok().and_then(|n| self.out.iter().position(|s| s.nonce == n));
        let Some(place) = place else { return Heard::Stale };
        // Responses are answered in their order: what came before and was not answered will not be.
        let Some(Sent { items, removed, .. }) = self.out.drain(..=place).next_back() else {
            return Heard::Stale;
        };
        if error.is_some() {
            self.unremoved.extend(removed);
        }
        for (item, needs) in &items {
            let Some(held) = self.held.get_mut(&item.name) else { continue };
            let newest = held.sent == Some((item.version, item.beat));
            match error {
                Some(_) => held.refused |= newest,
                None => {
                    held.acked = true;
                    held.needs = Some(needs.clone());
                }
            }
        }
        let items = items.into_iter().map(|(item, _)| item).collect();
        match error {
            Some(words) => Heard::Refused { items, words },
            None => Heard::Acked(items),
        }
    }

    /// Whether it asks for this resource.
    fn wants(&self, resource: &Resource) -> bool {
        (self.wildcard && !resource.by_name_only) || self.names.contains(&resource.name)
    }

    fn wanted<'v>(&self, view: &'v View) -> Vec<&'v Arc<Resource>> {
        if self.wildcard {
            return view.all(self.kind).filter(|r| self.wants(r)).collect();
        }
        self.names.iter().filter_map(|name| view.get(self.kind, name)).collect()
    }

    /// Whether this version was sent, accepted or not.
    fn is_sent(&self, resource: &Resource) -> bool {
        let held = self.held.get(&resource.name);
        held.is_some_and(|h| {
            let (version, beat) = (resource.version, resource.beat);
            // One that was refused is not sent again for being due.
            h.sent == Some((version, beat)) || (h.refused && h.sent.is_some_and(|(v, _)| v == version))
        })
    }

    /// Whether the proxy asks for all of this kind.
    pub(crate) fn is_wildcard(&self) -> bool {
        self.wildcard
    }

    /// Whether the proxy has some version of it.
    pub(crate) fn has(&self, name: &str) -> bool {
        self.held.get(name).is_some_and(|h| h.acked)
    }

    /// What the proxy holds, as far as it was sent or said.
    pub(crate) fn items(&self) -> Vec<Item> {
        let item = |(name, held): (&Arc<str>, &Held)| {
            held.sent.map(|(version, beat)| Item { name: name.clone(), version, beat })
        };
        self.held.iter().filter_map(item).collect()
    }

    /// Whether it was sent.
    pub(crate) fn holds(&self, name: &str) -> bool {
        self.held.contains_key(name)
    }

    /// Whether all responses were answered.
    pub(crate) fn is_settled(&self) -> bool {
        self.out.is_empty()
    }

    /// All names that were sent, and not taken back.
    pub(crate) fn told(&self) -> impl Iterator<Item = &Arc<str>> {
        self.held.keys()
    }

    /// All that the proxy's resources of this kind may point at: those sent, whether or not it has said so, and those
    /// accepted last.
    pub(crate) fn needed(&self) -> BTreeSet<Arc<str>> {
        let mut needed = BTreeSet::new();
        for held in self.held.values() {
            let sent = held.resource.iter().flat_map(|r| r.needs.iter());
            let acked = held.needs.iter().flat_map(|n| n.iter());
            needed.extend(sent.chain(acked).cloned());
        }
        let out = self.out.iter().flat_map(|s| &s.items).flat_map(|(_, needs)| needs.iter());
        needed.extend(out.cloned());
        needed
    }

    /// The next response, if one is owed. `ready` says whether a resource may go out already, and `kept` whether one that
    /// is gone must be told all the same for now.
    pub(crate) fn answer(
        &mut self,
        nonce: u64,
        view: &View,
        ready: impl Fn(&Resource) -> bool,
        kept: impl Fn(&str) -> bool,
    ) -> Option<Answer> {
        let wanted = self.wanted(view);
        let there: BTreeSet<Arc<str>> = wanted.iter().map(|r| r.name.clone()).collect();
        let there = |name: &str| there.contains(name);
        let gone: Vec<Arc<str>> =
            self.held.keys().filter(|name| !there(name)).filter(|name| !kept(name)).cloned().collect();
        let due: Vec<&Arc<Resource>> =
            wanted.iter().filter(|r| !self.is_sent(r) && ready(r)).copied().collect();
        let whole = self.variant == Variant::Sotw && self.kind.is_whole();
        let absent: Vec<Arc<str>> = match self.variant {
            Variant::Delta => std::mem::take(&mut self.absent).into_iter().filter(|n| !there(n)).collect(),
            Variant::Sotw => Vec::new(),
        };
        // In state of the world, that endpoints or routes are gone follows from what pointed at them.
        let says = !due.is_empty()
            || !absent.is_empty()
            || (!gone.is_empty() && (whole || self.variant == Variant::Delta));
        if !says && !self.owed {
            gone.iter().for_each(|name| drop(self.held.remove(name)));
            return None;
        }
        self.owed = false;
        let unremoved = std::mem::take(&mut self.unremoved).into_iter().filter(|name| !there(name));
        let unremoved: Vec<Arc<str>> = unremoved.collect();
        let mut resources: Vec<Arc<Resource>> = if whole {
            let kept = self.held.iter().filter(|(name, _)| !there(name) && !gone.contains(name));
            let kept: Vec<_> = kept.filter_map(|(_, h)| h.resource.clone()).collect();
            wanted.iter().copied().cloned().chain(kept).collect()
        } else {
            due.into_iter().cloned().collect()
        };
        resources.sort_by(|a, b| a.name.cmp(&b.name));
        let version = Version::of_all(wanted.iter().map(|r| (r.name.clone(), r.version)));
        gone.iter().for_each(|name| drop(self.held.remove(name)));
        let mut items = Vec::with_capacity(resources.len());
        for r in &resources {
            let held = self.held.entry(r.name.clone()).or_default();
            held.refused &= held.sent.is_some_and(|(v, _)| v == r.version);
            held.sent = Some((r.version, r.beat));
            held.resource = Some(r.clone());
            let item = Item { name: r.name.clone(), version: r.version, beat: r.beat };
            items.push((item, r.needs.clone()));
        }
        let removed: BTreeSet<Arc<str>> = match self.variant {
            Variant::Delta => gone.into_iter().chain(absent).chain(unremoved).collect(),
            Variant::Sotw => BTreeSet::new(),
        };
        let removed: Vec<Arc<str>> = removed.into_iter().collect();
        if self.out.len() == MOST_OUT {
            self.out.pop_front();
        }
        self.out.push_back(Sent { nonce, items, removed: removed.clone() });
        Some(Answer { kind: self.kind, nonce, version, resources, removed })
    }
}
