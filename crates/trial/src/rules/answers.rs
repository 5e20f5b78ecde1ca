//! Rules on answers: one, in time, and honest.

use super::index::{Index, Query, violation};
use super::{Rule, Violation};
use crate::record::{Closer, Seen};
use crate::script::Link;
use plover_model::time::Micros;

/// Shares may fall short by this.
const ROUNDING: f64 = 1e-4;

pub(super) fn check(index: &Index<'_>) -> Vec<Violation> {
    let mut found = Vec::new();
    let mut dropped = Vec::new();
    for (id, query) in &index.queries {
        found.extend(ended(index, id, query, &mut dropped));
        for (at, seen) in &query.ends {
            if let Seen::Answered { whole, values, .. } = seen {
                found.extend(honest(index, id, query, *at, *whole, values));
            }
        }
    }
    // New connections that are closed without an answer: a few are only priced.
    if dropped.len() > index.queries.len() / index.rules.dropped_one_in {
        let words = |id: &str| format!("{id} was sent on a new connection, which the broker closed");
        found.extend(dropped.iter().map(|(at, id)| violation(Rule::Answered, *at, Some(id), words(id))));
    }
    found
}

/// How many queries are judged by whether they were answered, of how many.
pub(super) fn judged(index: &Index<'_>) -> (usize, usize) {
    let judged = index.queries.values().filter(|query| time_up(index, query).is_some()).count();
    (judged, index.queries.len())
}

/// How many queries are judged that came soon after their broker had been told to end.
pub(super) fn judged_after_told(index: &Index<'_>) -> usize {
    let owed = |query: &&Query<'_>| index.is_owed_after_told(query.asked.broker, query.at);
    index.queries.values().filter(owed).filter(|query| time_up(index, query).is_some()).count()
}

/// When a client's time is up, as its broker can know it. `None`: it need not have been answered.
fn time_up(index: &Index<'_>, query: &Query<'_>) -> Option<Micros> {
    let broker = query.asked.broker;
    // What came as a broker stood still it cannot tell from what came as it awoke; and what came due meanwhile it answers
    // at once then.
    let awake = index.awake(broker, query.at + index.slack)?;
    let read = if awake > query.at + index.slack { awake } else { query.at };
    let up = index.awake(broker, read + query.asked.patience)?;
    let late = up + index.slack;
    let link = Link::clients(broker);
    let held_up = index.faulty(link, query.at, late) || index.severed(link, query.asked.connected, late);
    let ran = index.started(broker, query.at).is_some() && !index.cut_short(broker, query.at, late);
    (ran && !held_up).then_some(up)
}

fn ended<'a>(
    index: &Index<'a>,
    id: &'a str,
    query: &Query<'a>,
    dropped: &mut Vec<(Micros, &'a str)>,
) -> Vec<Violation> {
    let broker = query.asked.broker;
    let is_final = |seen: &Seen| !matches!(seen, Seen::Lost { .. } | Seen::Silent { .. } | Seen::Left { .. });
    let finals = query.ends.iter().filter(|(_, seen)| is_final(seen));
    let finals: Vec<Micros> = finals.map(|(at, _)| *at).collect();
    let mut found = Vec::new();
    if finals.len() > 1 {
        let words = format!("{id} got {} final answers", finals.len());
        found.push(violation(Rule::Once, finals[1], Some(id), words));
    }
    let Some(up) = time_up(index, query) else { return found };
    let late = up + index.slack;
    // Whoever goes is owed nothing.
    if let Some((left, Seen::Left { .. })) = query.ends.first()
        && *left <= late
    {
        return found;
    }
    // The broker must have read a query of which parts have gone out.
    let sent = |before: Micros| query.attempts.iter().any(|n| index.attempts[*n].at <= before);
    if let Some(at) = query.crossed.iter().find(|at| sent(**at)).or(query.crossed.get(1)) {
        found.push(violation(
            Rule::Answered,
            *at,
            Some(id),
            format!("{id} was taken, and its connection closed"),
        ));
    }
    match (finals.first(), query.ends.first()) {
        (Some(at), _) if *at > late => {
            let words = format!("{id} was answered {} ms after its time", (at - up) / 1000);
            found.push(violation(Rule::InTime, *at, Some(id), words));
        }
        (Some(_), _) => {}
        (None, Some((at, Seen::Lost { port, fresh, .. }))) => {
            match index.closer(broker, *port, query.at).unwrap_or(Closer::Broker) {
                Closer::Unreached | Closer::Fault => {}
                Closer::Broker if *fresh && !sent(*at) && index.is_crowded(broker, *at) => {}
                Closer::Broker if *fresh && !sent(*at) => dropped.push((*at, id)),
                Closer::Broker | Closer::Client => {
                    let words = format!("{id} lost its connection to b{broker} without an answer");
                    found.push(violation(Rule::Answered, *at, Some(id), words));
                }
            }
        }
        (None, Some((at, _))) => {
            let words = format!("{id} had no answer {} ms after its time", at.saturating_sub(up) / 1000);
            found.push(violation(Rule::InTime, *at, Some(id), words));
        }
        (None, None) => {
            found.push(violation(Rule::Answered, late, Some(id), format!("{id} has no end")));
        }
    }
    found
}

fn honest(
    index: &Index<'_>,
    id: &str,
    query: &Query<'_>,
    at: Micros,
    whole: bool,
    values: &[(usize, String)],
) -> Vec<Violation> {
    let mut found = Vec::new();
    let mut broken = |rule, words: String| found.push(violation(rule, at, Some(id), words));
    for (n, (shard, value)) in values.iter().enumerate() {
        let given = query.attempts.iter().any(|n| {
            let sent = &index.attempts[*n];
            let answered = sent.attempt.ended.is_some_and(|(ended, answered)| answered && ended <= at);
            sent.attempt.shard == *shard && answered
        });
        let right = *value == plover_standins::value(*shard, &query.asked.text);
        let again = values[..n].iter().any(|(other, _)| other == shard);
        if !given || !right || again || !query.asked.shards.contains(shard) {
            broken(Rule::Made, format!("{id} was answered with {value:?} for shard {shard}"));
        }
    }
    let (parts, wanted) = (values.len(), query.asked.shards.len());
    if whole && parts < wanted {
        broken(Rule::Whole, format!("{id} is marked whole with {parts} of {wanted} parts"));
    }
    let floor = index.rules.classes.get(query.asked.class).map_or(1.0, |class| class.floor);
    if (parts as f64) < (floor - ROUNDING) * wanted as f64 {
        broken(Rule::Floor, format!("{id} was answered with {parts} of {wanted} parts"));
    }
    found
}
