//! What came to the data servers, and whether a broker may send that.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

/// How an attempt ended here.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Ended {
    /// It was answered, with or without a value, or turned away.
    Answered,
    /// It was given up by the broker, or its connection ended.
    GivenUp,
}

/// One attempt, as a data server saw it.
#[derive(Clone, Debug)]
pub struct Attempt {
    /// The server's name.
    pub server: String,
    /// The part's id.
    pub id: String,
    /// Its shard.
    pub shard: usize,
    /// Its idempotency key.
    pub key: Option<String>,
    /// When its frame's last byte had come.
    pub came: Instant,
    /// Whether the server was draining or gone by then, and since when that was told.
    pub drained: Option<Instant>,
    /// Whether it was begun: one that was turned away never ran.
    pub ran: bool,
    /// How and when it ended.
    pub ended: Option<(Ended, Instant)>,
}

/// Limits that attempts have to keep.
#[derive(Clone, Copy, Debug)]
pub struct Rules {
    /// Most attempts at a part.
    pub attempts: usize,
    /// Repeats of a keyed part are dropped for so long after its first attempt.
    pub window: Duration,
    /// Nothing new goes to a server for longer than this after its drain is told.
    pub drain_grace: Duration,
    /// Whether a part may have two attempts out at once.
    pub copies: bool,
    /// What the two clocks of an attempt, the broker's and the server's, may differ by.
    pub slack: Duration,
}

impl Default for Rules {
    fn default() -> Self {
        Rules {
            attempts: 4,
            window: Duration::from_secs(5),
            drain_grace: Duration::from_millis(250),
            copies: false,
            slack: Duration::from_millis(50),
        }
    }
}

/// Every attempt that came.
#[derive(Debug, Default)]
pub struct Books {
    attempts: Vec<Attempt>,
    /// Parts and calls that came, also beyond the most that is kept.
    parts: u64,
    calls: u64,
}

/// Most attempts that are kept: a rig that only measures sends millions.
const KEPT: usize = 200_000;

impl Books {
    /// A call has come.
    pub fn called(&mut self) {
        self.calls += 1;
    }

    /// An attempt has come; the number is its place. Those beyond the most that is kept are only counted.
    pub fn came(&mut self, attempt: Attempt) -> usize {
        self.parts += 1;
        if self.attempts.len() < KEPT {
            self.attempts.push(attempt);
        }
        self.parts as usize - 1
    }

    /// Parts and calls that came.
    pub fn counts(&self) -> (u64, u64) {
        (self.parts, self.calls)
    }

    /// An attempt has ended.
    pub fn ended(&mut self, place: usize, how: Ended, now: Instant) {
        if let Some(attempt) = self.attempts.get_mut(place) {
            attempt.ended.get_or_insert((how, now));
        }
    }

    /// All attempts, in the order in which they came.
    pub fn attempts(&self) -> &[Attempt] {
        &self.attempts
    }

    /// What breaks the rules, in words.
    pub fn violations(&self, rules: Rules) -> Vec<String> {
        let mut found = Vec::new();
        if self.parts as usize > self.attempts.len() {
            found.push(format!("only {KEPT} of {} attempts were kept to be checked", self.parts));
        }
        let mut by_part: BTreeMap<&str, Vec<&Attempt>> = BTreeMap::new();
        let mut by_key: BTreeMap<(&str, usize), Vec<&Attempt>> = BTreeMap::new();
        for a in &self.attempts {
            by_part.entry(&a.id).or_default().push(a);
            if let Some(key) = &a.key {
                by_key.entry((key, a.shard)).or_default().push(a);
            }
            if let Some(told) = a.drained
                && a.came > told + rules.drain_grace + rules.slack
            {
                let late = (a.came - told).as_millis();
                found.push(format!("{} came to {} {late} ms after its drain was told", a.id, a.server));
            }
        }
        for (id, attempts) in &by_part {
            if attempts.len() > rules.attempts {
                found.push(format!("{id} was attempted {} times", attempts.len()));
            }
            found.extend(overlaps(attempts, rules).map(|at| format!("{id} had two attempts out, on {at}")));
        }
        for ((key, shard), attempts) in &by_key {
            let what = format!("shard {shard} under key {key}");
            found.extend(overlaps(attempts, rules).map(|at| format!("{what} had two attempts out, on {at}")));
            if let Some(first) = attempts.iter().find(|a| a.ran) {
                let late = |a: &&&Attempt| a.came > first.came + rules.window + rules.slack;
                let late = attempts.iter().filter(late).map(|a| (a.came - first.came).as_millis());
                found.extend(late.map(|ms| format!("{what} was sent again after {ms} ms")));
            }
        }
        found
    }
}

/// The servers of attempts that came while the one before was out.
fn overlaps<'a>(attempts: &'a [&Attempt], rules: Rules) -> impl Iterator<Item = String> + 'a {
    attempts.windows(2).filter_map(move |pair| {
        let out = !rules.copies && pair[0].ended.is_none_or(|(_, at)| at > pair[1].came + rules.slack);
        // The giving up of the first and the call of the second travel on two connections.
        out.then(|| format!("{} and {}", pair[0].server, pair[1].server))
    })
}

#[cfg(test)]
mod tests {
    use super::*;

    fn at(ms: u64) -> Instant {
        static START: std::sync::OnceLock<Instant> = std::sync::OnceLock::new();
        *START.get_or_init(Instant::now) + Duration::from_millis(ms)
    }

    fn books(attempts: &[(&str, u64, Option<u64>, Option<u64>)]) -> Vec<String> {
        let mut books = Books::default();
        for (id, came, ended, drained) in attempts {
            let place = books.came(Attempt {
                server: "s0".into(),
                id: (*id).into(),
                shard: 0,
                key: Some("k".into()),
                came: at(*came),
                drained: drained.map(at),
                ran: true,
                ended: None,
            });
            if let Some(ended) = ended {
                books.ended(place, Ended::Answered, at(*ended));
            }
        }
        books.violations(Rules::default())
    }

    /// The checker has to see each fault by itself, or a broker's rig proves nothing.
    #[test]
    fn each_broken_rule_is_found() {
        assert_eq!(
            books(&[("a", 0, Some(10), None), ("a", 20, Some(30), None), ("b", 40, None, None)]),
            [""; 0]
        );
        assert!(
            books(&[("a", 0, Some(500), None), ("a", 20, None, None)])[0].contains("a had two attempts out")
        );
        assert!(
            books(&[("a", 0, Some(500), None), ("b", 20, None, None)])[0]
                .contains("key k had two attempts out")
        );
        let five: Vec<_> = (0..5).map(|n| ("a", 100 * n, Some(100 * n), None)).collect();
        assert!(books(&five)[0].contains("5 times"));
        assert!(
            books(&[("a", 0, Some(10), None), ("b", 5100, None, None)])[0]
                .contains("sent again after 5100 ms")
        );
        assert!(books(&[("a", 400, None, Some(0))])[0].contains("400 ms after its drain"));
    }
}
