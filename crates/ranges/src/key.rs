//! Keys and half-open ranges of keys.

use serde::{Deserialize, Serialize};
use std::fmt;
use std::sync::Arc;

/// Maximum length of a key in bytes.
pub const MAX_KEY_LENGTH: usize = 256;

/// A key of at most [`MAX_KEY_LENGTH`] bytes. Keys are ordered bytewise, and the empty key is the smallest.
#[derive(Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(try_from = "Vec<u8>", into = "Vec<u8>")]
pub struct Key(Arc<[u8]>);

impl Key {
    /// Creates a key of these bytes. Returns `None` if there are too many.
    pub fn new(bytes: impl AsRef<[u8]>) -> Option<Key> {
        let bytes = bytes.as_ref();
        (bytes.len() <= MAX_KEY_LENGTH).then(|| Key(bytes.into()))
    }

    /// Returns the smallest key.
    pub fn smallest() -> Key {
        Key(Arc::from([]))
    }

    /// Returns the bytes of the key.
    pub fn bytes(&self) -> &[u8] {
        &self.0
    }
}

impl TryFrom<Vec<u8>> for Key {
    type Error = String;
    fn try_from(bytes: Vec<u8>) -> Result<Key, String> {
        Key::new(&bytes)
            .ok_or_else(|| format!("key of {} bytes is longer than {MAX_KEY_LENGTH}", bytes.len()))
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

/// A non-empty half-open range of keys.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(try_from = "(Key, Option<Key>)", into = "(Key, Option<Key>)")]
pub struct KeyRange {
    start: Key,
    end: Option<Key>,
}

impl KeyRange {
    /// Creates the range from `start` up to but excluding `end`, or up to the end of the key space if `end`
    /// is `None`. Returns `None` if the range would be empty.
    pub fn new(start: Key, end: Option<Key>) -> Option<KeyRange> {
        end.as_ref().is_none_or(|end| start < *end).then_some(KeyRange { start, end })
    }

    /// Returns the range of all keys.
    pub fn full() -> KeyRange {
        KeyRange { start: Key::smallest(), end: None }
    }

    /// Returns the first key of the range.
    pub fn start(&self) -> &Key {
        &self.start
    }

    /// Returns the first key after the range; `None` if the range extends to the end of the key space.
    pub fn end(&self) -> Option<&Key> {
        self.end.as_ref()
    }

    /// Returns whether the range contains this key.
    pub fn contains(&self, key: &Key) -> bool {
        self.start <= *key && self.end.as_ref().is_none_or(|end| key < end)
    }

    /// Returns whether the range contains all keys of the other.
    pub fn covers(&self, other: &KeyRange) -> bool {
        let ends_within = match (&self.end, &other.end) {
            (None, _) => true,
            (Some(_), None) => false,
            (Some(end), Some(other_end)) => other_end <= end,
        };
        self.start <= other.start && ends_within
    }

    /// Returns whether both ranges have keys in common.
    pub fn overlaps(&self, other: &KeyRange) -> bool {
        let ends_before = |end: &Option<Key>, start: &Key| end.as_ref().is_some_and(|end| end <= start);
        !ends_before(&self.end, &other.start) && !ends_before(&other.end, &self.start)
    }

    /// Splits the range in two at this key. Returns `None` if one of them would be empty or the key is
    /// outside.
    pub fn split(&self, at: &Key) -> Option<(KeyRange, KeyRange)> {
        let inside = self.contains(at) && *at > self.start;
        inside.then(|| {
            let low = KeyRange { start: self.start.clone(), end: Some(at.clone()) };
            (low, KeyRange { start: at.clone(), end: self.end.clone() })
        })
    }

    /// Merges the range with the one that follows it. Returns `None` if the other does not start where this
    /// one ends.
    pub fn merge(&self, next: &KeyRange) -> Option<KeyRange> {
        let adjacent = self.end.as_ref() == Some(&next.start);
        adjacent.then(|| KeyRange { start: self.start.clone(), end: next.end.clone() })
    }
}

impl TryFrom<(Key, Option<Key>)> for KeyRange {
    type Error = String;
    fn try_from((start, end): (Key, Option<Key>)) -> Result<KeyRange, String> {
        KeyRange::new(start, end).ok_or_else(|| "key range ends at or before its start".to_owned())
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
            Some(end) => write!(f, "[{}, {})", self.start, end),
            None => write!(f, "[{}, end)", self.start),
        }
    }
}
