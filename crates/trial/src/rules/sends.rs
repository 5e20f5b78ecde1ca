//! Rules on attempts: how many, how long after the first, and to whom.

use super::index::{Index, Sent, violation};
use super::{Rule, Violation};
use crate::record::Seen;
use crate::script::Link;
use plover_model::time::Micros;
use std::collections::BTreeMap;

pub(super) fn check(index: &Index<'_>) -> Vec<Violation> {
    let mut by_part: BTreeMap<(&str, usize), Vec<Sent<'_>>> = BTreeMap::new();
    let mut by_key: BTreeMap<(&str, usize), Vec<Sent<'_>>> = BTreeMap::new();
    for sent in &index.attempts {
        let attempt = sent.attempt;
        by_part.entry((&attempt.query, attempt.shard)).or_default().push(*sent);
        if let Some(key) = &attempt.key {
            by_key.entry((key, attempt.shard)).or_default().push(*sent);
        }
    }
    let mut found = Vec::new();
    for ((id, shard), sends) in &by_part {
        if let Some(sent) = sends.get(index.rules.attempts) {
            let words = format!("{id}.{shard} was attempted {} times", sends.len());
            found.push(violation(Rule::Attempts, sent.at, Some(id), words));
        }
        if !index.rules.second_copies {
            found.extend(two_out(index, sends));
        }
    }
    for ((key, shard), sends) in &by_key {
        found.extend(after_window(index, key, *shard, sends));
    }
    found.extend(drains(index));
    found.extend(gone(index));
    found
}

/// Attempts for clients that have gone.
fn gone(index: &Index<'_>) -> Vec<Violation> {
    let mut found = Vec::new();
    for (id, query) in &index.queries {
        let left = query.ends.iter().find(|(_, seen)| matches!(seen, Seen::Left { .. }));
        // A broker that stood still hears of it as it awakes.
        let Some(left) = left.and_then(|(at, _)| index.awake(query.asked.broker, *at)) else { continue };
        let until = left + index.rules.gone_grace;
        let sends = query.attempts.iter().map(|n| &index.attempts[*n]);
        let mut late = sends.filter(|s| s.at > until + index.slack && !held_up(index, s, until));
        if let Some(sent) = late.next() {
            let words = format!(
                "{id}.{} was sent {} ms after its client had gone",
                sent.attempt.shard,
                (sent.at - left) / 1000
            );
            found.push(violation(Rule::Gone, sent.at, Some(id), words));
        }
    }
    found
}

/// Whether something on the way to its server may have held an attempt up since then.
fn held_up(index: &Index<'_>, sent: &Sent<'_>, since: Micros) -> bool {
    sent.broker.is_some_and(|b| index.faulty(Link::server(b, sent.attempt.server), since, sent.at))
}

/// An attempt that its server holds as the next one comes. Where the link to that server was not whole in between, it may
/// hold one that was given up.
fn two_out(index: &Index<'_>, sends: &[Sent<'_>]) -> Option<Violation> {
    for (n, sent) in sends.iter().enumerate() {
        for before in &sends[..n] {
            let out = before.attempt.ended.is_none_or(|(at, _)| at > sent.at + index.slack);
            let hidden = sent
                .broker
                .is_none_or(|b| index.faulty(Link::server(b, before.attempt.server), before.at, sent.at));
            if out && !hidden {
                let (a, b) = (before.attempt, sent.attempt);
                let words = format!("{}.{} was out at s{} and s{}", a.query, a.shard, a.server, b.server);
                return Some(violation(Rule::OneOut, sent.at, Some(&a.query), words));
            }
        }
    }
    None
}

/// Attempts of all brokers under one key.
fn after_window(index: &Index<'_>, key: &str, shard: usize, sends: &[Sent<'_>]) -> Option<Violation> {
    let first = sends.iter().find(|s| s.attempt.ran)?;
    let class = index.queries.get(first.attempt.query.as_str()).map(|q| q.asked.class)?;
    let until = first.at + index.rules.classes.get(class)?.window?;
    let late = sends.iter().find(|s| s.at > until + index.slack && !held_up(index, s, until))?;
    let after = (late.at - first.at) / 1000;
    let words = format!("shard {shard} under key {key} was sent again after {after} ms");
    Some(violation(Rule::Window, late.at, Some(&late.attempt.query), words))
}

/// Since when a pair of broker and server is told to drain.
#[derive(Default)]
struct Told {
    drains: BTreeMap<(usize, usize), Micros>,
    /// Drains by the list itself.
    listed: BTreeMap<usize, Micros>,
    /// Watches that are silent: since when, and until when their call may wait.
    hushed: BTreeMap<usize, (Micros, Micros)>,
}

impl Told {
    fn hear(&mut self, index: &Index<'_>, at: Micros, seen: &Seen) {
        match seen {
            Seen::Told { broker, server, active, .. } => {
                self.hushed.remove(broker);
                if *active {
                    self.drains.remove(&(*broker, *server));
                } else {
                    self.drains.entry((*broker, *server)).or_insert(at);
                }
            }
            Seen::Heard { broker } => _ = self.hushed.remove(broker),
            Seen::Hushed { broker, wait_until } => {
                self.hushed.entry(*broker).or_insert((at, *wait_until));
            }
            Seen::Drained { server } => _ = self.listed.entry(*server).or_insert(at),
            Seen::Revived { server } => _ = self.listed.remove(server),
            Seen::Broker { broker, .. } if index.started(*broker, at) == Some(at) => {
                // A new process knows nothing, and its watch is a new one.
                self.hushed.remove(broker);
                self.drains.retain(|(b, _), _| b != broker);
            }
            _ => {}
        }
    }

    /// When a broker counts as told that a server drains.
    fn since(&self, index: &Index<'_>, broker: usize, server: usize) -> Option<Micros> {
        let told = self.drains.get(&(broker, server)).copied();
        let missed = || {
            let listed = *self.listed.get(&server)?;
            let (began, wait_until) = *self.hushed.get(&broker)?;
            let by = (began + index.rules.silence).max(wait_until + index.rules.after_wait).max(listed);
            // It can ask anew only where new connections work.
            (!index.faulty(Link::discovery(broker), began + 1, by)).then_some(by)
        };
        told.or_else(missed)
    }
}

fn drains(index: &Index<'_>) -> Vec<Violation> {
    let (mut found, mut told) = (Vec::new(), Told::default());
    let mut sends = index.attempts.iter().peekable();
    let mut judge = |told: &Told, sent: &Sent<'_>| {
        let Some(broker) = sent.broker else { return };
        let server = sent.attempt.server;
        let since = told.since(index, broker, server).and_then(|since| index.awake(broker, since));
        let Some(since) = since else { return };
        let until = since + index.rules.drain_grace;
        if sent.at > until + index.slack && !held_up(index, sent, until) {
            let after = (sent.at - since) / 1000;
            let words = format!("b{broker} sent to s{server} {after} ms after its drain was told");
            found.push(violation(Rule::Drain, sent.at, Some(&sent.attempt.query), words));
        }
    };
    for event in index.record.events() {
        while let Some(sent) = sends.next_if(|sent| sent.at < event.at) {
            judge(&told, sent);
        }
        told.hear(index, event.at, &event.seen);
    }
    sends.for_each(|sent| judge(&told, sent));
    found
}
