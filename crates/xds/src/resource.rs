//! What a proxy is to be told.

use crate::Kind;
use bytes::Bytes;
use std::collections::BTreeMap;
use std::fmt;
use std::sync::Arc;

/// A version: a hash of a resource's content, so that whoever sees the same state gives the same one.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Version(pub u64);

impl Version {
    /// The version that a proxy names. One that was not given here is the version of nothing.
    pub fn parse(text: &str) -> Option<Version> {
        if text.len() != 16 {
            return None;
        }
        u64::from_str_radix(text, 16).ok().map(Version)
    }

    /// The version of several, in their order.
    pub fn of_all(versions: impl Iterator<Item = (Arc<str>, Version)>) -> Version {
        // FNV-1a over what are hashes already.
        let mix = |hash: u64, byte: u8| (hash ^ u64::from(byte)).wrapping_mul(0x0100_0000_01b3);
        Version(versions.fold(0xcbf2_9ce4_8422_2325, |hash, (name, version)| {
            name.bytes().chain([0xff]).chain(version.0.to_le_bytes()).fold(hash, mix)
        }))
    }
}

impl fmt::Display for Version {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:016x}", self.0)
    }
}

/// One resource, encoded.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Resource {
    /// Its name, unique within its kind.
    pub name: Arc<str>,
    /// Its content's version.
    pub version: Version,
    /// Raised to have the same content sent again: a resource with a time to live has to be.
    pub beat: u64,
    /// Its `google.protobuf.Any`, encoded once for all streams.
    pub any: Bytes,
    /// The proxy forgets it after so many milliseconds without word; `None`: never.
    pub ttl_ms: Option<u64>,
    /// The clusters that it points at.
    pub needs: Arc<[Arc<str>]>,
    /// It is no part of what a subscription without names means.
    pub by_name_only: bool,
}

/// Resources of one kind, by name.
pub type Collection = BTreeMap<Arc<str>, Arc<Resource>>;

/// Resources of all kinds.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Snapshot {
    kinds: [Collection; 4],
}

impl Snapshot {
    /// The resources of this kind.
    pub fn kind(&self, kind: Kind) -> &Collection {
        &self.kinds[kind.place()]
    }

    /// Puts a resource in, in place of one of its name.
    pub fn insert(&mut self, kind: Kind, resource: Arc<Resource>) {
        self.kinds[kind.place()].insert(resource.name.clone(), resource);
    }
}

/// What one proxy is to be told: what all are, and what it alone is. Its own resource goes before a shared one.
#[derive(Clone, Debug, Default)]
pub struct View {
    /// What all are told.
    pub shared: Arc<Snapshot>,
    /// What this one is told.
    pub own: Arc<Snapshot>,
}

impl View {
    /// A resource.
    pub fn get(&self, kind: Kind, name: &str) -> Option<&Arc<Resource>> {
        self.own.kind(kind).get(name).or_else(|| self.shared.kind(kind).get(name))
    }

    /// All resources of a kind; their order is the same each time.
    pub fn all(&self, kind: Kind) -> impl Iterator<Item = &Arc<Resource>> {
        let own = self.own.kind(kind);
        let shared = self.shared.kind(kind).values().filter(|r| !own.contains_key(&r.name));
        own.values().chain(shared)
    }
}
