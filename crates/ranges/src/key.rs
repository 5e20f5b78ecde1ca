//! Keys and half-open ranges of them.

use serde::{Deserialize, Serialize};
use std::fmt;
use std::sync::Arc;

/// Longest key, in bytes.
pub const MAX_KEY_LENGTH: usize = 256;

/// A key: at most [`MAX_KEY_LENGTH`] bytes, ordered bytewise. The empty key is the least.
#[derive(Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(try_from = "Vec<u8>", into = "Vec<u8>")]
pub struct Key(Arc<[u8]>);

impl Key {
    /// The key of these bytes; `None` where there are too many.
    pub fn new(bytes: impl AsRef<[u8]>) -> Option<Key> {
        let bytes = bytes.as_ref();
        (bytes.len() <= MAX_KEY_LENGTH).then(|| Key(bytes.into()))
    }

    /// The least key.
    pub fn smallest() -> Key {
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
        Key::new(&bytes).ok_or_else(|| format!("a key of {} bytes; {MAX_KEY_LENGTH} at most", bytes.len()))
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
    start: Key,
    end: Option<Key>,
}

impl KeyRange {
    /// The keys from `from` on, up to but without `to` (`None`: to the end of the key space). `None` where that is none.
    pub fn new(from: Key, to: Option<Key>) -> Option<KeyRange> {
        to.as_ref().is_none_or(|to| from < *to).then_some(KeyRange { start: from, end: to })
    }

    /// All keys.
    pub fn full() -> KeyRange {
        KeyRange { start: Key::smallest(), end: None }
    }

    /// The first key in it.
    pub fn start(&self) -> &Key {
        &self.start
    }

    /// The first key after it; `None`: it reaches to the end of the key space.
    pub fn end(&self) -> Option<&Key> {
        self.end.as_ref()
    }

    /// Whether it holds this key.
    pub fn contains(&self, key: &Key) -> bool {
        self.start <= *key && self.end.as_ref().is_none_or(|to| key < to)
    }

    /// Whether it holds all of that range.
    pub fn covers(&self, other: &KeyRange) -> bool {
        let end = match (&self.end, &other.end) {
            (None, _) => true,
            (Some(_), None) => false,
            (Some(own), Some(other)) => other <= own,
        };
        self.start <= other.start && end
    }

    /// Whether both hold a key.
    pub fn overlaps(&self, other: &KeyRange) -> bool {
        let before = |to: &Option<Key>, from: &Key| to.as_ref().is_some_and(|to| to <= from);
        !before(&self.end, &other.start) && !before(&other.end, &self.start)
    }

    /// Its two parts at this key; `None` where the key cuts nothing off.
    pub fn split(&self, at: &Key) -> Option<(KeyRange, KeyRange)> {
        let inside = self.contains(at) && *at > self.start;
        inside.then(|| {
            let low = KeyRange { start: self.start.clone(), end: Some(at.clone()) };
            (low, KeyRange { start: at.clone(), end: self.end.clone() })
        })
    }

    /// The range of this one and the one that follows it; `None` where that does not begin where this ends.
    pub fn merge(&self, next: &KeyRange) -> Option<KeyRange> {
        let touch = self.end.as_ref() == Some(&next.start);
        touch.then(|| KeyRange { start: self.start.clone(), end: next.end.clone() })
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
        (range.start, range.end)
    }
}

impl fmt::Display for KeyRange {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match &self.end {
            Some(to) => write!(f, "[{}, {})", self.start, to),
            None => write!(f, "[{}, end)", self.start),
        }
    }
}
