//! One entry of the list, and how it is read.

use thiserror::Error;

/// Whether a test fails each time.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Fails {
    /// Each time: one that passes is to be taken off the list.
    Always,
    /// Now and then: one pass says nothing.
    AtTimes,
}

/// One known failure.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Entry {
    /// The test's full name, as the test run prints it.
    pub test: String,
    /// The `cargo test` command that plays it, word by word.
    pub command: Vec<String>,
    /// The seed that it is played with; `none` where nothing is drawn.
    pub seed: String,
    /// What was seen.
    pub seen: String,
    /// Whether it fails each time.
    pub fails: Fails,
    /// The issue that it belongs to.
    pub issue: u64,
}

impl Entry {
    /// The name of the test's function, without its modules.
    pub fn function(&self) -> &str {
        self.test.rsplit("::").next().unwrap_or(&self.test)
    }
}

/// What is wrong with the list itself.
#[derive(Clone, Debug, Error, PartialEq, Eq)]
pub enum Fault {
    /// A line that is no key with a value.
    #[error("line {0} is no 'key: value'")]
    Line(usize),
    /// A key that no entry has, or has twice.
    #[error("line {line}: the key '{key}' is unknown, or stands twice in its entry")]
    Key {
        /// The line, from 1.
        line: usize,
        /// The key.
        key: String,
    },
    /// An entry lacks a key, or its value cannot be used.
    #[error("the entry that ends at line {line} has no '{key}' that can be used")]
    Value {
        /// The entry's last line, from 1.
        line: usize,
        /// The key.
        key: &'static str,
    },
    /// Two entries name the same test.
    #[error("{0} stands in the list twice")]
    Twice(String),
}

const KEYS: [&str; 6] = ["test", "command", "seed", "seen", "fails", "issue"];

/// Reads the list: entries of `key: value` lines, with empty lines between them; lines that begin with `#` are passed over.
pub fn parse(text: &str) -> Result<Vec<Entry>, Fault> {
    let mut entries: Vec<Entry> = Vec::new();
    let mut values: [Option<&str>; KEYS.len()] = Default::default();
    let mut last = 0;
    let lines = text.lines().map(str::trim).enumerate().map(|(n, line)| (n + 1, line));
    for (number, line) in lines.chain([(usize::MAX, "")]) {
        if line.starts_with('#') {
            continue;
        }
        if line.is_empty() {
            if values.iter().any(Option::is_some) {
                let entry = finish(std::mem::take(&mut values), last)?;
                if entries.iter().any(|other| other.test == entry.test) {
                    return Err(Fault::Twice(entry.test));
                }
                entries.push(entry);
            }
            continue;
        }
        let (key, value) = line.split_once(": ").ok_or(Fault::Line(number))?;
        let unknown = || Fault::Key { line: number, key: key.to_owned() };
        let place = KEYS.iter().position(|known| *known == key).ok_or_else(unknown)?;
        if values[place].replace(value.trim()).is_some() {
            return Err(unknown());
        }
        last = number;
    }
    Ok(entries)
}

fn finish(values: [Option<&str>; KEYS.len()], line: usize) -> Result<Entry, Fault> {
    let value = |place: usize| values[place].ok_or(Fault::Value { line, key: KEYS[place] });
    let unusable = |place: usize| Fault::Value { line, key: KEYS[place] };
    let test = value(0)?;
    let command: Vec<String> = value(1)?.split_whitespace().map(str::to_owned).collect();
    if !plays_alone(&command, test) {
        return Err(unusable(1));
    }
    let fails = match value(4)? {
        "always" => Fails::Always,
        "at times" => Fails::AtTimes,
        _ => return Err(unusable(4)),
    };
    Ok(Entry {
        test: test.to_owned(),
        command,
        seed: value(2)?.to_owned(),
        seen: value(3)?.to_owned(),
        fails,
        issue: value(5)?.parse().map_err(|_| unusable(5))?,
    })
}

/// Whether a command runs just this test, which the ordinary run passes over.
fn plays_alone(command: &[String], test: &str) -> bool {
    let has = |word: &str| command.iter().any(|given| given == word);
    command.starts_with(&["cargo".to_owned(), "test".to_owned()])
        && [test, "--", "--ignored", "--exact"].into_iter().all(has)
}
