//! From what the relays and the stand-ins noted to events on the one clock.

use crate::clock::Clock;
use crate::record::{Attempt, Event, Seen};
use crate::relay::Passed;
use plover_model::time::Micros;
use plover_standins::Wrote;
use plover_standins::books::{self, Ended};

/// A start that the list tells in whole milliseconds may be rounded down by so much.
const ROUNDED: Micros = 1000;

/// What came to a broker of the answers that its discovery wrote: an answer is told once the relay has handed its last
/// byte over.
pub(crate) fn gather(
    clock: Clock,
    broker: usize,
    wrote: &[Wrote],
    passed: &[Passed],
    events: &mut Vec<Event>,
) {
    let starts: Vec<(Micros, usize)> = events
        .iter()
        .filter_map(|e| match e.seen {
            Seen::Revived { server } => Some((e.at, server)),
            _ => None,
        })
        .collect();
    for answer in wrote {
        let whole = passed.iter().find(|p| p.port == answer.port && p.total >= answer.total);
        let Some(whole) = whole else { continue };
        let at = clock.at(whole.at);
        events.push(Event { at, seen: Seen::Heard { broker } });
        for (name, state, boot_ms) in &answer.entries {
            let Some(server) = number(name) else { continue };
            let written = clock.at(answer.at);
            let starts = starts.iter().filter(|(at, s)| *s == server && *at <= written + ROUNDED);
            let started = starts.map(|(at, _)| *at).max().filter(|_| *boot_ms > 0);
            let active = state == "active";
            events.push(Event { at, seen: Seen::Told { broker, server, active, started } });
        }
    }
}

/// The number of a stand-in data server of this name.
fn number(name: &str) -> Option<usize> {
    name.strip_prefix('s')?.parse().ok()
}

/// The attempts, as the data servers have them.
pub(crate) fn attempts(clock: Clock, attempts: &[books::Attempt], events: &mut Vec<Event>) {
    for attempt in attempts {
        let Some((query, _)) = attempt.id.rsplit_once('.') else { continue };
        let Some(server) = number(&attempt.server) else { continue };
        let ended = attempt.ended.map(|(how, at)| (clock.at(at), how == Ended::Answered));
        let seen = Attempt {
            query: query.to_owned(),
            shard: attempt.shard,
            server,
            key: attempt.key.clone(),
            ran: attempt.ran,
            ended,
        };
        events.push(Event { at: clock.at(attempt.came), seen: Seen::Attempt(seen) });
    }
}
