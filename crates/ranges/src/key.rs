//! Keys and half-open ranges of them.

use serde::{Deserialize, Serialize};
use std::fmt;
use std::sync::Arc;

/// Longest key, in bytes.
pub const LONGEST_KEY: usize = 256;

/// A key: at most [`LONGEST_KEY`] bytes, ordered bytewise. The empty key is the least.
#[derive(Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(try_from = "Vec<u8>", into = "Vec<u8>")]
pub struct Key(Arc<[u8]>);

impl Key {
    /// The key of these bytes; `None` where there are too many.
    pub fn new(bytes: impl AsRef<[u8]>) -> Option<Key> {
        let bytes = bytes.as_ref();
        (bytes.len() <= LONGEST_KEY).then(|| Key(bytes.into()))
    }

    /// The least key.
    pub fn least() -> Key {
        Key(Arc::from([]))
    }

    /// Its bytes.
    pub fn bytes(&self) -> &[u8] {
        &self.0
    }
}

impl TryFrom<Vec<u8>> for Key {
    type Error = String;
    fn try_from(bytes: Vec<u8>) -> Result<Key, String> {
        Key::new(&bytes).ok_or_else(|| format!("a key of {} bytes; {LONGEST_KEY} at most", bytes.len()))
    }
}

impl From<Key> for Vec<u8> {
    fn from(key: Key) -> Vec<u8> {
        key.0.to_vec()
    }
}

impl fmt::Display for Key {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}", self.0.escape_ascii())
    }
}

impl fmt::Debug for Key {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "Key({self})")
    }
}

/// Keys from one on, up to but without another; never empty.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(try_from = "(Key, Option<Key>)", into = "(Key, Option<Key>)")]
pub struct KeyRange {
    from: Key,
    to: Option<Key>,
}

impl KeyRange {
    /// The keys from `from` on, up to but without `to` (`None`: to the end of the key space). `None` where that is none.
    pub fn new(from: Key, to: Option<Key>) -> Option<KeyRange> {
        to.as_ref().is_none_or(|to| from < *to).then_some(KeyRange { from, to })
    }

    /// All keys.
    pub fn whole() -> KeyRange {
        KeyRange { from: Key::least(), to: None }
    }

    /// The first key in it.
    pub fn from(&self) -> &Key {
        &self.from
    }

    /// The first key after it; `None`: it reaches to the end of the key space.
    pub fn to(&self) -> Option<&Key> {
        self.to.as_ref()
    }

    /// Whether it holds this key.
    pub fn holds(&self, key: &Key) -> bool {
        self.from <= *key && self.to.as_ref().is_none_or(|to| key < to)
    }

    /// Whether it holds all of that range.
    pub fn covers(&self, other: &KeyRange) -> bool {
        let end = match (&self.to, &other.to) {
            (None, _) => true,
            (Some(_), None) => false,
            (Some(own), Some(other)) => other <= own,
        };
        self.from <= other.from && end
    }

    /// Whether both hold a key.
    pub fn overlaps(&self, other: &KeyRange) -> bool {
        let before = |to: &Option<Key>, from: &Key| to.as_ref().is_some_and(|to| to <= from);
        !before(&self.to, &other.from) && !before(&other.to, &self.from)
    }

    /// Its two parts at this key; `None` where the key cuts nothing off.
    pub fn split(&self, at: &Key) -> Option<(KeyRange, KeyRange)> {
        let inside = self.holds(at) && *at > self.from;
        inside.then(|| {
            let low = KeyRange { from: self.from.clone(), to: Some(at.clone()) };
            (low, KeyRange { from: at.clone(), to: self.to.clone() })
        })
    }

    /// The range of this one and the one that follows it; `None` where that does not begin where this ends.
    pub fn joined(&self, next: &KeyRange) -> Option<KeyRange> {
        let touch = self.to.as_ref() == Some(&next.from);
        touch.then(|| KeyRange { from: self.from.clone(), to: next.to.clone() })
    }
}

impl TryFrom<(Key, Option<Key>)> for KeyRange {
    type Error = String;
    fn try_from((from, to): (Key, Option<Key>)) -> Result<KeyRange, String> {
        KeyRange::new(from, to).ok_or_else(|| "a range that ends before it begins".to_owned())
    }
}

impl From<KeyRange> for (Key, Option<Key>) {
    fn from(range: KeyRange) -> (Key, Option<Key>) {
        (range.from, range.to)
    }
}

impl fmt::Display for KeyRange {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match &self.to {
            Some(to) => write!(f, "[{}, {})", self.from, to),
            None => write!(f, "[{}, end)", self.from),
        }
    }
}
