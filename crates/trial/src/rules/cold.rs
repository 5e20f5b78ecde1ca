//! The load on data servers that have just started, summed over all brokers.

use super::index::{Index, Sent, violation};
use super::{Rule, Violation};
use crate::record::Seen;
use plover_model::time::{Micros, SECOND};

pub(super) fn check(index: &Index<'_>) -> Vec<Violation> {
    let revived = index.record.events().iter().filter_map(|event| match event.seen {
        Seen::Revived { server } => Some((event.at, server)),
        _ => None,
    });
    revived.filter_map(|(at, server)| first_fall(index, server, at)).collect()
}

/// What the server bears within the window that ends at this moment, with what is left to chance at the strictest.
fn bears(index: &Index<'_>, start: Micros, at: Micros) -> f64 {
    let cold = index.rules.cold;
    let grown = (at - start) as f64 / cold.warm_after as f64;
    let share = cold.from + (1.0 - cold.from) * grown.min(1.0);
    let n = cold.multiple * cold.per_second * share * cold.window as f64 / SECOND as f64;
    n + 2.0 * n.sqrt() + 2.0
}

/// The first moment at which it was sent too much; the rule is broken if over two thirds came from brokers that were told
/// of the start.
fn first_fall(index: &Index<'_>, server: usize, start: Micros) -> Option<Violation> {
    let cold = index.rules.cold;
    let end = start + cold.warm_after;
    let here = |s: &&Sent<'_>| s.attempt.server == server && s.at >= start && s.at <= end;
    let sends: Vec<&Sent<'_>> = index.attempts.iter().filter(here).collect();
    let mut first = 0;
    for (n, sent) in sends.iter().enumerate() {
        while sends[first].at + cold.window <= sent.at {
            first += 1;
        }
        let window = &sends[first..=n];
        let most = bears(index, start, sent.at);
        if window.len() as f64 > most {
            let told =
                window.iter().filter(|s| s.broker.is_some_and(|b| told(index, b, server, start, s.at)));
            let told = told.count();
            let words = format!("s{server} was sent {} parts where it bears {most:.1}", window.len());
            let broken = 3 * told > 2 * window.len();
            return broken.then(|| violation(Rule::Cold, sent.at, Some(&sent.attempt.query), words));
        }
    }
    None
}

/// Whether a broker's process had been told of a start by then.
fn told(index: &Index<'_>, broker: usize, server: usize, start: Micros, by: Micros) -> bool {
    let since = index.started(broker, by).unwrap_or(by).max(start);
    index.record.events().iter().any(|event| {
        let told = matches!(event.seen,
            Seen::Told { broker: b, server: s, started: Some(boot), .. }
                if b == broker && s == server && boot >= start);
        told && event.at >= since && event.at <= by
    })
}
