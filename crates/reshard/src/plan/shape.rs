//! What is cut and what is joined: from the goals to the pieces that are placed.
//!
//! How data lies within a range is not measured. It is taken to lie evenly over the keys; what a cut gave is measured
//! afterwards, and a plan that runs can be amended.

use super::goals::{Goal, Plan, Refusal, What};
use plover_ranges::{Fleet, Key, KeyRange, NodeName, RangeAssignment, RangeId, RangeMap};
use std::collections::{BTreeMap, BTreeSet};

/// A piece of the key space that is placed as one.
#[derive(Clone, Debug, PartialEq)]
pub struct Piece {
    /// Its keys.
    pub range: KeyRange,
    /// The range that it is a piece of, or is.
    pub origin: RangeId,
    /// Who holds it.
    pub holders: BTreeSet<NodeName>,
    /// Bytes on disk, of one replica.
    pub bytes: u64,
    /// Bytes of memory, of one replica.
    pub memory: u64,
    /// Queries a second over all replicas.
    pub rate: f64,
    /// Work a second over all replicas, in microseconds of a core of pace 1.
    pub work: f64,
    /// Bytes a second by which it grows, at least 0.
    pub growth: f64,
}

/// A cut: of the range that is there by then, at a key, for a goal.
#[derive(Clone, Debug, PartialEq)]
pub struct Cut {
    /// The range that is cut.
    pub range: KeyRange,
    /// Where.
    pub at: Key,
    /// The goal, by its place.
    pub goal: usize,
}

/// Pieces that become one: from the first to the last, for a goal.
#[derive(Clone, Debug, PartialEq)]
pub struct Join {
    /// The first piece.
    pub first: usize,
    /// The last piece.
    pub last: usize,
    /// The goal, by its place.
    pub goal: usize,
}

/// All pieces in the order of their keys, and the cuts and joins.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Shape {
    /// The pieces.
    pub pieces: Vec<Piece>,
    /// The cuts by the range that was, in the order in which they are made.
    pub cuts: BTreeMap<RangeId, Vec<Cut>>,
    /// What becomes one.
    pub joins: Vec<Join>,
}

/// Bytes as a person reads them.
pub fn bytes(n: u64) -> String {
    let units = [("TiB", 1u64 << 40), ("GiB", 1 << 30), ("MiB", 1 << 20), ("KiB", 1 << 10)];
    let unit = units.iter().find(|(_, u)| n >= *u);
    unit.map_or(format!("{n}B"), |(name, u)| {
        if n.is_multiple_of(*u) {
            format!("{}{name}", n / u)
        } else {
            format!("{:.2}{name}", n as f64 / *u as f64)
        }
    })
}

/// How far a key lies in a range, in parts of 2^32, taking its keys to lie evenly.
fn share(range: &KeyRange, at: &Key) -> u128 {
    let (skip, from, to) = span(range);
    let width = to - from;
    if width == 0 {
        return 1 << 31;
    }
    let at = u128::from(number(at.bytes(), skip)).clamp(from, to);
    ((at - from) << 32) / width
}

/// A key that lies `part` of `parts` of the way into a range, if there is room for one.
fn key_at(range: &KeyRange, part: u64, parts: u64) -> Option<Key> {
    let (skip, from, to) = span(range);
    let at = from + (to - from) * u128::from(part) / u128::from(parts);
    let mut bytes = range.start().bytes().get(..skip)?.to_vec();
    bytes.extend(u64::try_from(at).ok()?.to_be_bytes());
    while bytes.len() > skip && bytes.last() == Some(&0) {
        bytes.pop();
    }
    Key::new(bytes).filter(|key| range.split(key).is_some())
}

/// Length of what the ends of a range have in common, and both ends as numbers of the eight bytes after it.
fn span(range: &KeyRange) -> (usize, u128, u128) {
    let from = range.start().bytes();
    match range.end() {
        None => (0, u128::from(number(from, 0)), 1 << 64),
        Some(to) => {
            let skip = from.iter().zip(to.bytes()).take_while(|(a, b)| a == b).count();
            (skip, u128::from(number(from, skip)), u128::from(number(to.bytes(), skip)))
        }
    }
}

fn number(bytes: &[u8], skip: usize) -> u64 {
    (skip..skip + 8).fold(0, |n, at| n << 8 | u64::from(bytes.get(at).copied().unwrap_or(0)))
}

fn portion(total: u64, from: u128, to: u128) -> u64 {
    let up_to = |at: u128| (u128::from(total) * at) >> 32;
    (up_to(to) - up_to(from)) as u64
}

/// The pieces that a plan's goals make of a map.
pub fn shape(plan: &Plan, map: &RangeMap, fleet: &Fleet) -> Result<Shape, Vec<Refusal>> {
    let mut refusals = Vec::new();
    let mut cuts: BTreeMap<RangeId, BTreeMap<Key, usize>> = BTreeMap::new();
    for (n, goal) in plan.goals.iter().enumerate() {
        wanted_cuts(n, goal, map, &mut cuts, &mut refusals);
    }
    let mut shape = Shape::default();
    for held in map.ranges() {
        let Some(load) = fleet.loads.get(&held.id) else {
            let what = format!("nothing was measured of {}", held.id);
            refusals.push(Refusal::new(&plan.against.1, "facts", what, "its bytes, rate and work"));
            continue;
        };
        let bytes = load.bytes;
        let memory = (bytes as f64 * load.hot_share.clamp(0.0, 1.0)) as u64;
        let whole = Piece {
            range: held.range.clone(),
            origin: held.id,
            holders: held.replicas.clone(),
            bytes,
            memory,
            rate: load.rate.max(0.0),
            work: load.rate.max(0.0) * load.work.max(0.0),
            growth: load.growth.max(0.0),
        };
        let given = cuts.remove(&held.id).unwrap_or_default();
        let given = given.into_iter().collect();
        let mut parts = parts(&whole, given, &mut shape.cuts);
        for (n, goal) in plan.goals.iter().enumerate() {
            if let Err(refusal) = smaller(n, goal, held, &mut parts, &mut shape.cuts) {
                refusals.push(refusal);
            }
        }
        shape.pieces.extend(parts);
    }
    if refusals.is_empty() {
        joins(plan, map, &mut shape, &mut refusals);
    }
    if refusals.is_empty() { Ok(shape) } else { Err(refusals) }
}

/// A piece cut at these keys; the cuts are noted.
fn parts(piece: &Piece, at: Vec<(Key, usize)>, cuts: &mut BTreeMap<RangeId, Vec<Cut>>) -> Vec<Piece> {
    let (mut rest, mut from, mut parts) = (piece.range.clone(), 0, Vec::new());
    let part = |range: KeyRange, from: u128, to: u128| {
        let of = (to - from) as f64 / (1u64 << 32) as f64;
        Piece {
            range,
            bytes: portion(piece.bytes, from, to),
            memory: portion(piece.memory, from, to),
            rate: piece.rate * of,
            work: piece.work * of,
            growth: piece.growth * of,
            ..piece.clone()
        }
    };
    for (key, goal) in at {
        let Some((low, high)) = rest.split(&key) else { continue };
        let to = share(&piece.range, &key).max(from);
        parts.push(part(low, from, to));
        cuts.entry(piece.origin).or_default().push(Cut { range: rest, at: key, goal });
        (rest, from) = (high, to);
    }
    parts.push(part(rest, from, 1 << 32));
    parts
}

/// The range of this name, or the refusal that says which there are.
pub fn named<'m>(
    map: &'m RangeMap,
    goal: &Goal,
    word: usize,
    id: RangeId,
) -> Result<&'m RangeAssignment, Refusal> {
    map.by_id(id).map_err(|_| {
        let mut ids: Vec<RangeId> = map.ranges().map(|h| h.id).collect();
        ids.sort_by_key(|known| (known.0.abs_diff(id.0), known.0));
        let near: Vec<String> = ids.iter().take(4).map(|id| id.to_string()).collect();
        Refusal::new(
            &goal.words[word],
            "range",
            format!("the map has no {id}"),
            format!("as {}", near.join(", ")),
        )
    })
}

fn wanted_cuts(
    n: usize,
    goal: &Goal,
    map: &RangeMap,
    cuts: &mut BTreeMap<RangeId, BTreeMap<Key, usize>>,
    refusals: &mut Vec<Refusal>,
) {
    let (id, keys) = match &goal.what {
        What::Split(id, keys) => (*id, keys.clone()),
        What::Pieces(id, pieces) => (*id, pieces.iter().skip(1).map(|p| p.start().clone()).collect()),
        _ => return,
    };
    let held = match named(map, goal, 0, id) {
        Ok(held) => held,
        Err(refusal) => return refusals.push(refusal),
    };
    if let What::Pieces(_, pieces) = &goal.what
        && let Err(refusal) = tiled(goal, held, pieces)
    {
        return refusals.push(refusal);
    }
    for (word, key) in keys.into_iter().enumerate() {
        if held.range.split(&key).is_none() {
            let (from, to) = (held.range.start(), held.range.end());
            let would_do = match to {
                Some(to) => format!("a key after {from} and before {to}"),
                None => format!("a key after {from}"),
            };
            let what = format!("{key} cuts nothing off {} {}", held.id, held.range);
            refusals.push(Refusal::new(&goal.words[word + 1], "cuts-nothing", what, would_do));
            continue;
        }
        cuts.entry(id).or_default().entry(key).or_insert(n);
    }
}

/// Whether these pieces are the range, without gap or overlap.
fn tiled(goal: &Goal, held: &RangeAssignment, pieces: &[KeyRange]) -> Result<(), Refusal> {
    let mut expected = Some(held.range.start().clone());
    let end = |key: &Option<Key>| key.as_ref().map_or("-".to_owned(), Key::to_string);
    for (n, piece) in pieces.iter().enumerate() {
        let word = &goal.words[n + 1];
        match &expected {
            Some(key) if key == piece.start() => {}
            Some(key) if key < piece.start() => {
                let what = format!("no piece holds the keys from {key} up to {}", piece.start());
                return Err(Refusal::new(word, "gap", what, format!("a piece that begins at {key}")));
            }
            _ => {
                let what = format!("two pieces hold {}", piece.start());
                return Err(Refusal::new(
                    word,
                    "overlap",
                    what,
                    format!("a piece that begins at {}", end(&expected)),
                ));
            }
        }
        expected = piece.end().cloned();
    }
    let to = held.range.end().cloned();
    if expected == to {
        return Ok(());
    }
    let word = goal.words.last().unwrap_or(&goal.span);
    let over = to.is_some() && (expected.is_none() || expected > to);
    let would_do = format!("a last piece that ends at {}", end(&to));
    if over {
        let what = format!("the last piece reaches beyond {} {}", held.id, held.range);
        return Err(Refusal::new(word, "overlap", what, would_do));
    }
    let what = format!("no piece holds the keys from {} on", end(&expected));
    Err(Refusal::new(word, "gap", what, would_do))
}

/// Cuts what passes a size or rate.
fn smaller(
    n: usize,
    goal: &Goal,
    held: &RangeAssignment,
    pieces: &mut Vec<Piece>,
    cuts: &mut BTreeMap<RangeId, Vec<Cut>>,
) -> Result<(), Refusal> {
    let count = |piece: &Piece| match goal.what {
        What::SplitSize(most) => piece.bytes.div_ceil(most),
        What::SplitRate(most) => (piece.rate / most as f64).ceil() as u64,
        _ => 1,
    };
    if pieces.iter().all(|p| count(p) <= 1) {
        return Ok(());
    }
    let most = super::goals::MOST_STEPS as u64;
    if let Some(piece) = pieces.iter().find(|p| count(p) > most) {
        let what = format!("{} would be {} pieces", held.id, count(piece));
        let would_do = match goal.what {
            What::SplitSize(_) => format!("split-size {}B", piece.bytes.div_ceil(most)),
            _ => format!("split-rate {:.0}", (piece.rate / most as f64).ceil()),
        };
        return Err(Refusal::new(&goal.words[0], "split", what, would_do));
    }
    let mut keys: BTreeMap<Key, usize> =
        cuts.remove(&held.id).unwrap_or_default().into_iter().map(|c| (c.at, c.goal)).collect();
    let mut cut = Vec::new();
    for piece in pieces.drain(..) {
        let parts = count(&piece).max(1);
        for part in 1..parts {
            let key = key_at(&piece.range, part, parts).filter(|key| !keys.contains_key(key));
            let Some(key) = key else {
                let what = format!("{} has too few keys for {parts} pieces", piece.range);
                let fits = match goal.what {
                    What::SplitSize(_) => bytes(piece.bytes),
                    _ => format!("{:.0}", piece.rate.ceil()),
                };
                return Err(Refusal::new(&goal.words[0], "split", what, format!("{fits}, or keys by split")));
            };
            keys.insert(key, n);
        }
        cut.push(piece);
    }
    // The shares of the first cuts stay; only what was too large is cut anew.
    let mut all = Vec::new();
    let mut unused = BTreeMap::new();
    for piece in &cut {
        let inside = keys.iter().filter(|(k, _)| piece.range.split(k).is_some());
        all.extend(parts(piece, inside.map(|(k, g)| (k.clone(), *g)).collect(), &mut unused));
    }
    let mut rest = held.range.clone();
    let noted = cuts.entry(held.id).or_default();
    for (at, goal) in keys {
        let Some((_, high)) = rest.split(&at) else { continue };
        noted.push(Cut { range: std::mem::replace(&mut rest, high), at, goal });
    }
    *pieces = all;
    Ok(())
}

/// What is joined: neighbours that are named, and those under a size.
fn joins(plan: &Plan, map: &RangeMap, shape: &mut Shape, refusals: &mut Vec<Refusal>) {
    let size = plan.goals.iter().find_map(|g| if let What::SplitSize(n) = g.what { Some(n) } else { None });
    // The goal by which each piece is joined with the next.
    let mut with_next: Vec<Option<usize>> = vec![None; shape.pieces.len()];
    for (n, goal) in plan.goals.iter().enumerate() {
        match goal.what {
            What::Merge(low, high) => match join(plan, goal, map, shape, low, high) {
                Ok(at) => with_next[at] = Some(n),
                Err(refusal) => refusals.push(refusal),
            },
            What::MergeUnder(under) => {
                if let Some(size) = size.filter(|size| under > *size) {
                    let what = format!("merge-under {} is over split-size {}", bytes(under), bytes(size));
                    let refusal = Refusal::new(
                        &goal.words[0],
                        "contradiction",
                        what,
                        format!("{} at most", bytes(size)),
                    );
                    refusals.push(refusal);
                    continue;
                }
                let mut sum = shape.pieces.first().map_or(0, |p| p.bytes);
                for at in 1..shape.pieces.len() {
                    let piece = &shape.pieces[at];
                    let cut = |p: &Piece| shape.cuts.contains_key(&p.origin);
                    let free = !cut(piece) && !cut(&shape.pieces[at - 1]);
                    if free && sum.saturating_add(piece.bytes) < under && with_next[at - 1].is_none() {
                        with_next[at - 1] = Some(n);
                    }
                    sum = if with_next[at - 1].is_some() { sum + piece.bytes } else { piece.bytes };
                }
            }
            _ => {}
        }
    }
    let mut at = 0;
    while at < with_next.len() {
        let first = at;
        while with_next[at].is_some() {
            at += 1;
        }
        if let Some(goal) = with_next[first] {
            shape.joins.push(Join { first, last: at, goal });
        }
        at += 1;
    }
}

fn join(
    plan: &Plan,
    goal: &Goal,
    map: &RangeMap,
    shape: &Shape,
    low: RangeId,
    high: RangeId,
) -> Result<usize, Refusal> {
    let (first, second) = (named(map, goal, 0, low)?, named(map, goal, 1, high)?);
    for (word, id) in [low, high].into_iter().enumerate() {
        if let Some(cut) = shape.cuts.get(&id).and_then(|c| c.first()) {
            let what = format!("{id} is cut by {}", plan.goals[cut.goal].said);
            return Err(Refusal::new(&goal.words[word], "contradiction", what, "only one of the two"));
        }
    }
    if first.range.merge(&second.range).is_none() {
        let next = first.range.end().and_then(|key| map.lookup(key));
        let would_do = next.map_or("two neighbours".to_owned(), |h| format!("{low} {}", h.id));
        let what = format!("{low} and {high} are no neighbours in this order");
        return Err(Refusal::new(&goal.words[1], "neighbours", what, would_do));
    }
    let place = |id| shape.pieces.iter().position(|p| p.origin == id);
    let at = place(low).unwrap_or(0);
    let both = shape.pieces[at].bytes.saturating_add(place(high).map_or(0, |n| shape.pieces[n].bytes));
    let size =
        plan.goals.iter().find_map(|g| if let What::SplitSize(n) = g.what { Some((n, g)) } else { None });
    if let Some((size, by)) = size.filter(|(size, _)| both > *size) {
        let what = format!("{low} and {high} have {} together, against {}", bytes(both), by.said);
        return Err(Refusal::new(
            &goal.span,
            "contradiction",
            what,
            format!("split-size {}", bytes(size.max(both))),
        ));
    }
    Ok(at)
}
