//! One good run, and then again for each of its messages with that one changed in one way: nothing may break.

mod world;

use plover_duties::register::Command;
use plover_duties::values::Token;
use plover_duties::wire::{Answer, Of, Said};
use plover_duties::{Refusal, Word};
use plover_model::time::{MILLI, Micros};
use std::collections::{BTreeMap, BTreeSet};
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use world::{At, LEASE, Parcel, Route, World};

type Log = Vec<(At, At, Micros, Parcel)>;

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Kind {
    Dropped,
    Doubled,
    Held,
    Swapped,
    Cut,
    Field,
    Earlier,
}

/// Grant, renewals, work, give over, lapse with work open, take.
fn play(world: &mut World) {
    world.step = 40 * MILLI;
    world.brokers[0].holder.want();
    world.until(LEASE * 2, |w| !w.holding().is_empty());
    world.brokers[1].holder.want();
    let some = |w: &World| w.holding().first().copied().unwrap_or(0);
    let at = some(world);
    world.work(at);
    world.run(LEASE / 4);
    world.work(at);
    world.run(LEASE / 8);
    world.leave(at);
    world.until(LEASE, |w| w.holding().iter().any(|b| *b != at));
    world.brokers[2].holder.want();
    let next = some(world);
    world.work(next);
    world.run(LEASE / 4);
    world.crash_broker(next);
    world.until(LEASE * 2, |w| !w.holding().is_empty());
    let last = some(world);
    world.work(last);
    world.run(LEASE / 4);
    world.start_broker(next);
    world.take();
    world.until(LEASE * 2, |w| w.holding().iter().any(|b| *b != last));
    world.run(LEASE / 4);
}

/// All that was sent, in order, with when it arrives.
fn record(seed: u64) -> (Log, World) {
    let log = Arc::new(Mutex::new(Log::new()));
    let mut world = World::new(seed, 3, 3);
    let to = log.clone();
    world.meddle = Some(Box::new(move |sent, route| {
        let (delay, parcel) = route[0].clone();
        to.lock().expect("locks").push((sent.from, sent.to, sent.now + delay, parcel));
    }));
    play(&mut world);
    world.meddle = None;
    let log = std::mem::take(&mut *log.lock().expect("locks"));
    (log, world)
}

fn bump(n: u64, up: bool) -> u64 {
    if up { n + 1 } else { n.saturating_sub(1) }
}

/// What kind of message it is, for the table.
fn what(parcel: &Parcel) -> &'static str {
    let Parcel::Word(bytes) = parcel else { return "order" };
    match Word::decode(bytes) {
        Ok(Word::Keepers { message, .. }) if matches!(message.kind, 5 | 6) => "keepers: heartbeat",
        Ok(Word::Keepers { message, .. }) if matches!(message.kind, 0 | 1) => "keepers: append",
        Ok(Word::Keepers { .. }) => "keepers: election",
        Ok(Word::Command(_)) => "command",
        _ => "answer",
    }
}

/// All parcels with one token or term one higher or lower.
fn fields(parcel: &Parcel) -> Vec<Parcel> {
    let mut all = Vec::new();
    for up in [true, false] {
        let token = |t: &mut Token| t.0 = bump(t.0, up);
        match parcel {
            Parcel::Order(fence) => {
                let (mut a, mut b) = (fence.clone(), fence.clone());
                token(&mut a.token);
                b.term.0 = bump(b.term.0, up);
                all.extend([Parcel::Order(a), Parcel::Order(b)]);
            }
            Parcel::Word(bytes) => {
                let mut words = Vec::new();
                match Word::decode(bytes).expect("reads") {
                    Word::Keepers { group, mut message } => {
                        message.term = bump(message.term, up);
                        words.push(Word::Keepers { group, message });
                    }
                    Word::Command(mut command) => {
                        if let Command::Renew { token: t, .. }
                        | Command::GiveOver { token: t, .. }
                        | Command::Release { token: t, .. }
                        | Command::Begun { token: t, .. }
                        | Command::Ended { token: t, .. } = &mut command
                        {
                            token(t);
                            words.push(Word::Command(command));
                        }
                    }
                    Word::Answer(answer) => {
                        let mut of = answer.clone();
                        if let Of::Renew(_, t)
                        | Of::GiveOver(t)
                        | Of::Release(t)
                        | Of::Begun(_, t)
                        | Of::Ended(_, t) = &mut of.of
                        {
                            token(t);
                            words.push(Word::Answer(of));
                        }
                        if let Said::Granted(grant) = &answer.said {
                            let (mut a, mut b) = (grant.clone(), grant.clone());
                            token(&mut a.token);
                            b.term.0 = bump(b.term.0, up);
                            words.extend(
                                [a, b].map(|g| {
                                    Word::Answer(Answer { said: Said::Granted(g), ..answer.clone() })
                                }),
                            );
                        }
                        if let Said::Refused(Refusal::Held { token: mut t }) = answer.said {
                            token(&mut t);
                            let said = Said::Refused(Refusal::Held { token: t });
                            words.push(Word::Answer(Answer { said, ..answer }));
                        }
                    }
                }
                all.extend(words.iter().map(|w| Parcel::Word(w.encode().expect("fits"))));
            }
            Parcel::Unfit(_) => {}
        }
    }
    all
}

/// Half of it, with a sum that is right again.
fn halved(parcel: &Parcel) -> Option<Parcel> {
    let Parcel::Word(bytes) = parcel else { return None };
    let mut half = bytes[..bytes.len() / 2].to_vec();
    half.extend(crc32fast::hash(&half).to_le_bytes());
    Some(Parcel::Word(half))
}

fn mutants(log: &Log, grants: &[Micros], earlier: &Log) -> Vec<(usize, Kind, Route)> {
    let mut all = Vec::new();
    let mut olds: BTreeMap<(At, At), Vec<&Parcel>> = BTreeMap::new();
    earlier.iter().for_each(|(from, to, _, parcel)| olds.entry((*from, *to)).or_default().push(parcel));
    for (n, (from, to, at, parcel)) in log.iter().enumerate() {
        let mut add = |kind, route: Route| all.push((n, kind, route));
        add(Kind::Dropped, vec![]);
        add(Kind::Doubled, vec![(*at, parcel.clone()), (*at + 100 * MILLI, parcel.clone())]);
        let next = grants.iter().find(|g| **g > *at).copied().unwrap_or(*at + LEASE);
        add(Kind::Held, vec![(next + 100 * MILLI, parcel.clone())]);
        let follower = log[n + 1..].iter().find(|(f, t, ..)| (f, t) == (from, to));
        if let Some((.., after, _)) = follower {
            add(Kind::Swapped, vec![((*after).max(*at) + 40 * MILLI, parcel.clone())]);
        }
        halved(parcel).into_iter().for_each(|p| add(Kind::Cut, vec![(*at, p)]));
        fields(parcel).into_iter().for_each(|p| add(Kind::Field, vec![(*at, p)]));
        if let Some(old) = olds.get(&(*from, *to)).map(|olds| olds[n % olds.len()]) {
            add(Kind::Earlier, vec![(*at, old.clone())]);
        }
    }
    all
}

/// In what order tokens were granted and taken over by receivers, and when they were granted.
type Seen = (Vec<(Token, Option<usize>)>, Vec<Micros>);

/// What the run showed, where nothing broke.
fn replay(n: usize, route: &Route) -> Result<Seen, Vec<String>> {
    let mut world = World::new(3, 3, 3);
    let route = route.clone();
    world.meddle = Some(Box::new(move |sent, out| {
        if sent.number == n as u64 {
            *out = route.iter().map(|(at, p)| (at.saturating_sub(sent.now), p.clone())).collect();
        }
    }));
    play(&mut world);
    world.until(LEASE * 8, |w| !w.holding().is_empty());
    if world.holding().is_empty() {
        world.checker.broken.push("nobody holds in the end".into());
    }
    let checker = world.checker;
    if checker.broken.is_empty() { Ok((checker.seen, checker.grants)) } else { Err(checker.broken) }
}

#[test]
fn one_message_changed_breaks_nothing() {
    let (log, good) = record(3);
    let (earlier, _) = record(4);
    assert!(good.checker.broken.is_empty() && good.granted == Token(4), "{:?}", good.granted);
    let all = mutants(&log, &good.checker.grants, &earlier);
    let (next, results) = (AtomicUsize::new(0), Mutex::new(Vec::new()));
    std::thread::scope(|scope| {
        for _ in 0..8 {
            scope.spawn(|| {
                while let Some((n, kind, route)) = all.get(next.fetch_add(1, Ordering::Relaxed)) {
                    let same = |(seen, grants)| seen == good.checker.seen && grants == good.checker.grants;
                    let result = replay(*n, route).map(same);
                    results.lock().expect("locks").push((*n, *kind, result));
                }
            });
        }
    });
    let mut table: BTreeMap<(Kind, &str), (usize, usize)> = BTreeMap::new();
    let mut broken = Vec::new();
    for (n, kind, result) in results.into_inner().expect("locks") {
        let row = table.entry((kind, what(&log[n].3))).or_default();
        row.0 += 1;
        match result {
            Ok(same) => row.1 += usize::from(same),
            Err(what) => broken.push((n, kind, what)),
        }
    }
    println!("{} messages, {} mutants", log.len(), all.len());
    table
        .iter()
        .for_each(|(kind, (of, same))| println!("{kind:?}: {of}, of which {same} change nothing seen"));
    let kinds: BTreeSet<Kind> = table.keys().map(|(kind, _)| *kind).collect();
    assert_eq!(kinds.len(), 7);
    assert!(broken.is_empty(), "{} broken: {:?}", broken.len(), &broken[..broken.len().min(8)]);
}
