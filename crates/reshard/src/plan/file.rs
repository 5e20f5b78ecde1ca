//! A plan's file: lines of words, as in the operator's own file.

use super::goals::*;
use plover_model::time::{MILLI, Micros, SECOND};
use plover_operator_file::grammar::{Line, Word, lines};
use plover_operator_file::{LONGEST, nearest_of, values};
use plover_ranges::{Key, KeyRange, MapVersion, NodeName, RangeId};
use std::collections::BTreeMap;
use std::ops::Range;

/// A keyword: least and most arguments, what they are, and whether it may stand more than once in its place.
struct Keyword {
    name: &'static str,
    least: usize,
    most: usize,
    takes: &'static str,
    part: Part,
}

/// Where a keyword belongs.
#[derive(Clone, Copy, PartialEq, Eq)]
enum Part {
    /// Once in the file.
    Plan,
    /// Anywhere, as often as wanted.
    Many,
    /// Once in each group.
    Group,
}

const fn keyword(name: &'static str, least: usize, most: usize, takes: &'static str, part: Part) -> Keyword {
    Keyword { name, least, most, takes, part }
}

const KEYWORDS: &[Keyword] = &[
    keyword("plan", 1, 1, "a name", Part::Plan),
    keyword("against", 1, 1, "a version of the map", Part::Plan),
    keyword("least-in-service", 1, 1, "1 to 64", Part::Plan),
    keyword("copies-node", 1, 1, "1 to 64", Part::Plan),
    keyword("copies-link", 1, 1, "1 to 64", Part::Plan),
    keyword("copies-zone", 1, 1, "1 to 64", Part::Plan),
    keyword("disk-rate", 1, 1, "a rate, as 50MiB/s", Part::Plan),
    keyword("link-rate", 1, 1, "a rate, as 50MiB/s", Part::Plan),
    keyword("free-memory", 1, 1, "a size, as 8GiB", Part::Plan),
    keyword("free-disk", 1, 1, "a size, as 100GiB", Part::Plan),
    keyword("cold", 1, 1, "neither, from, to or both", Part::Plan),
    keyword("hours", 1, 1, "as 22:00-05:30", Part::Many),
    keyword("goodput", 1, 1, "a share, as 0.950", Part::Plan),
    keyword("p99", 1, 1, "a time, as 250ms", Part::Plan),
    keyword("group", 1, 1, "a name", Part::Many),
    keyword("whole", 0, 0, "nothing", Part::Group),
    keyword("after", 1, 1, "a group's name", Part::Many),
    keyword("before", 1, 1, "a group's name", Part::Many),
    keyword("priority", 1, 1, "0 to 1000", Part::Group),
    keyword("deadline", 1, 1, "a time, as 6h", Part::Group),
    keyword("on-failure", 3, 3, "as 3 10s pause", Part::Group),
    keyword("split", 2, 64, "a range and keys", Part::Many),
    keyword("pieces", 2, 65, "a range and pieces, as -,g g,m m,-", Part::Many),
    keyword("split-size", 1, 1, "a size, as 64GiB", Part::Plan),
    keyword("split-rate", 1, 1, "queries a second", Part::Plan),
    keyword("merge", 2, 2, "two ranges", Part::Many),
    keyword("merge-under", 1, 1, "a size, as 1GiB", Part::Plan),
    keyword("move", 3, 3, "a range, and the nodes from and to", Part::Many),
    keyword("empty-node", 1, 1, "a node", Part::Many),
    keyword("empty-zone", 1, 1, "a zone", Part::Many),
    keyword("bring-in", 1, 1, "a node", Part::Many),
    keyword("replicas", 2, 3, "replicas, zones, and a range or none", Part::Many),
    keyword("apart", 2, 2, "two ranges", Part::Many),
    keyword("together", 2, 2, "two ranges", Part::Many),
    keyword("keep-off", 1, 2, "a kind of node, and a range or none", Part::Many),
    keyword("even-out", 2, 2, "bytes, rate or work, and per cent, as bytes 10", Part::Plan),
];

/// The plan that a file's text says.
///
/// # Errors
/// Everything in it that cannot be read, each with its place.
pub fn read(text: &str) -> Result<Plan, Vec<Refusal>> {
    if text.len() > LONGEST {
        let what = format!("the file has {} bytes", text.len());
        return Err(vec![Refusal::new(&(0..0), "too-long", what, format!("{LONGEST} bytes at most"))]);
    }
    let mut reader = Reader {
        plan: None,
        against: None,
        bounds: Bounds::default(),
        groups: vec![group(String::new(), 0..0)],
        goals: Vec::new(),
        taken: BTreeMap::new(),
        named: Vec::new(),
        refusals: Vec::new(),
    };
    for line in lines(text) {
        reader.line(&line);
    }
    reader.finish(text)
}

fn group(name: String, span: Range<usize>) -> Group {
    Group {
        name,
        whole: false,
        after: Vec::new(),
        priority: 0,
        deadline: None,
        tries: 3,
        wait: 10 * SECOND,
        then: Then::Pause,
        span,
        deadline_span: 0..0,
        after_spans: Vec::new(),
    }
}

struct Reader {
    plan: Option<String>,
    against: Option<(MapVersion, Range<usize>)>,
    bounds: Bounds,
    groups: Vec<Group>,
    goals: Vec<Goal>,
    /// Keywords that were taken: in which group (0 for those of the whole plan).
    taken: BTreeMap<(&'static str, usize), ()>,
    /// `after` and `before` lines: the group of the line, the other's name, its place, and whether it comes first.
    named: Vec<(usize, String, Range<usize>, bool)>,
    refusals: Vec<Refusal>,
}

impl Reader {
    fn refuse(&mut self, span: &Range<usize>, rule: &'static str, what: String, would_do: impl Into<String>) {
        self.refusals.push(Refusal::new(span, rule, what, would_do));
    }

    fn line(&mut self, line: &Line) {
        let word = &line.keyword;
        let Some(keyword) = KEYWORDS.iter().find(|k| k.name == word.text) else {
            let near = nearest_of(&word.text, KEYWORDS.iter().map(|k| k.name));
            let would_do = near.map_or(String::new(), |n| format!("perhaps {n}"));
            return self.refuse(&word.span, "keyword", format!("{} is unknown", shown(&word.text)), would_do);
        };
        let place = match keyword.part {
            Part::Plan => Some(0),
            Part::Group => Some(self.groups.len()),
            Part::Many => None,
        };
        if let Some(place) = place
            && self.taken.insert((keyword.name, place), ()).is_some()
        {
            return self.refuse(&word.span, "twice", format!("{} is given twice", keyword.name), "once");
        }
        let count = line.arguments.len();
        if count < keyword.least {
            let what = format!("{} lacks an argument", keyword.name);
            return self.refuse(&word.span, "argument", what, format!("it takes {}", keyword.takes));
        }
        if let Some(surplus) = line.arguments.get(keyword.most) {
            let what = format!("{} is one too many", shown(&surplus.text));
            return self.refuse(&surplus.span, "argument", what, format!("it takes {}", keyword.takes));
        }
        if let Err((n, would_do)) = self.take(keyword.name, line) {
            let word = line.arguments.get(n).unwrap_or(&line.keyword);
            let what = format!("{} is no argument for {}", shown(&word.text), keyword.name);
            self.refuse(&word.span.clone(), "argument", what, would_do);
        }
    }

    /// Takes a line whose keyword and count of arguments are right; an error has the argument at fault.
    fn take(&mut self, name: &'static str, line: &Line) -> Result<(), (usize, String)> {
        let words = &line.arguments;
        let text = |n: usize| words.get(n).map_or("", |w: &Word| w.text.as_str());
        let at = |n: usize| move |would_do: String| (n, would_do);
        let whole = |n: usize, least: u64, most: u64| {
            values::whole(text(n), &(least..=most)).map(|v| v as u32).map_err(at(n))
        };
        let range = |n: usize| range(text(n)).map_err(at(n));
        let named = |n: usize| values::name(text(n)).map_err(at(n));
        let node = |n: usize| named(n).map(|name| NodeName::from(name.as_str()));
        let bounds = &mut self.bounds;
        let current = self.groups.len() - 1;
        let group = &mut self.groups[current];
        let what = match name {
            "plan" => return named(0).map(|name| self.plan = Some(name)),
            "against" => {
                let version = values::whole(text(0), &(1..=u64::MAX)).map_err(at(0))?;
                self.against = Some((MapVersion(version), words[0].span.clone()));
                return Ok(());
            }
            "least-in-service" => return whole(0, 1, 64).map(|n| bounds.least_in_service = n),
            "copies-node" => return whole(0, 1, 64).map(|n| bounds.copies_node = n),
            "copies-link" => return whole(0, 1, 64).map(|n| bounds.copies_link = n),
            "copies-zone" => return whole(0, 1, 64).map(|n| bounds.copies_zone = n),
            "disk-rate" => return rate(text(0)).map(|n| bounds.disk_rate = Some(n)).map_err(at(0)),
            "link-rate" => return rate(text(0)).map(|n| bounds.link_rate = Some(n)).map_err(at(0)),
            "free-memory" => return size(text(0), 0).map(|n| bounds.free_memory = n).map_err(at(0)),
            "free-disk" => return size(text(0), 0).map(|n| bounds.free_disk = n).map_err(at(0)),
            "cold" => {
                let choices = [
                    ("neither", (false, false)),
                    ("from", (true, false)),
                    ("to", (false, true)),
                    ("both", (true, true)),
                ];
                // The word says what is kept off.
                let (from, to) = values::choice(text(0), &choices).map_err(at(0))?;
                (bounds.cold_from, bounds.cold_to) = (from, to);
                return Ok(());
            }
            "hours" => return hours(text(0)).map(|h| bounds.hours.push(h)).map_err(at(0)),
            "goodput" => return share(text(0)).map(|s| bounds.goodput = Some(s)).map_err(at(0)),
            "p99" => return time(text(0)).map(|t| bounds.p99 = Some(t)).map_err(at(0)),
            "group" => {
                let name = named(0)?;
                if self.groups.iter().any(|g| g.name == name) {
                    return Err((0, "a name that no other group has".to_owned()));
                }
                if self.groups.len() >= MOST_GROUPS {
                    return Err((0, format!("{MOST_GROUPS} groups at most")));
                }
                self.groups.push(self::group(name, words[0].span.clone()));
                return Ok(());
            }
            "whole" => {
                group.whole = true;
                return Ok(());
            }
            "after" | "before" => {
                self.named.push((current, named(0)?, words[0].span.clone(), name == "after"));
                return Ok(());
            }
            "priority" => return whole(0, 0, 1000).map(|n| group.priority = n as i32),
            "deadline" => {
                group.deadline = Some(time(text(0)).map_err(at(0))?);
                group.deadline_span = words[0].span.clone();
                return Ok(());
            }
            "on-failure" => {
                group.tries = whole(0, 1, 100)?;
                group.wait = time(text(1)).map_err(at(1))?;
                let choices = [("pause", Then::Pause), ("round", Then::Round), ("back", Then::Back)];
                group.then = values::choice(text(2), &choices).map_err(at(2))?;
                return Ok(());
            }
            "split" => {
                let keys = (1..words.len()).map(|n| key(text(n)).map_err(at(n)));
                What::Split(range(0)?, keys.collect::<Result<_, _>>()?)
            }
            "pieces" => {
                let pieces = (1..words.len()).map(|n| piece(text(n)).map_err(at(n)));
                What::Pieces(range(0)?, pieces.collect::<Result<_, _>>()?)
            }
            "split-size" => What::SplitSize(size(text(0), 1).map_err(at(0))?),
            "split-rate" => What::SplitRate(u64::from(whole(0, 1, 1_000_000_000)?)),
            "merge" => What::Merge(range(0)?, range(1)?),
            "merge-under" => What::MergeUnder(size(text(0), 1).map_err(at(0))?),
            "move" => What::Move(range(0)?, node(1)?, node(2)?),
            "empty-node" => What::EmptyNode(node(0)?),
            "empty-zone" => What::EmptyZone(named(0)?),
            "bring-in" => What::BringIn(node(0)?),
            "replicas" => {
                let of = if words.len() > 2 { Some(range(2)?) } else { None };
                What::Replicas(whole(0, 1, 64)?, whole(1, 1, 64)?, of)
            }
            "apart" => What::Apart(range(0)?, range(1)?),
            "together" => What::Together(range(0)?, range(1)?),
            "keep-off" => What::KeepOff(named(0)?, if words.len() > 1 { Some(range(1)?) } else { None }),
            _ => {
                let choices = [("bytes", Measure::Bytes), ("rate", Measure::Rate), ("work", Measure::Work)];
                What::EvenOut(values::choice(text(0), &choices).map_err(at(0))?, whole(1, 1, 1000)?)
            }
        };
        if self.goals.len() >= MOST_GOALS {
            return Err((0, format!("{MOST_GOALS} goals at most")));
        }
        let said =
            std::iter::once(name).chain(words.iter().map(|w| w.text.as_str())).collect::<Vec<_>>().join(" ");
        let words = words.iter().map(|w| w.span.clone()).collect();
        self.goals.push(Goal { what, group: current as u16, span: line.keyword.span.clone(), words, said });
        Ok(())
    }

    fn finish(mut self, text: &str) -> Result<Plan, Vec<Refusal>> {
        for (own, name, span, after) in std::mem::take(&mut self.named) {
            let Some(other) = self.groups.iter().position(|g| g.name == name) else {
                let known: Vec<&str> = self.groups.iter().skip(1).map(|g| g.name.as_str()).collect();
                let would_do = format!("one of {}", known.join(", "));
                self.refuse(&span, "group", format!("there is no group {name}"), would_do);
                continue;
            };
            let (first, second) = if after { (other, own) } else { (own, other) };
            self.groups[second].after.push(first as u16);
            self.groups[second].after_spans.push(span);
        }
        for n in 0..self.groups.len() {
            let group = &self.groups[n];
            if group.then == Then::Back && !group.whole {
                let span = group.span.clone();
                let what = "on-failure back needs a group that is whole".to_owned();
                self.refuse(&span, "on-failure", what, "the line whole in the group");
            }
        }
        let end = text.len()..text.len();
        for (missing, name, takes) in [
            (self.plan.is_none(), "plan", "the line plan NAME"),
            (
                self.against.is_none(),
                "against",
                "the line against VERSION, of the map that it was written for",
            ),
        ] {
            if missing && !self.refusals.iter().any(|r| r.what.ends_with(&format!("for {name}"))) {
                self.refuse(&end, name, format!("the plan has no line {name}"), takes);
            }
        }
        match (self.plan, self.against) {
            (Some(name), Some(against)) if self.refusals.is_empty() => {
                Ok(Plan { name, against, bounds: self.bounds, groups: self.groups, goals: self.goals })
            }
            _ => Err(self.refusals),
        }
    }
}

/// A word as it is shown: no control characters, and not without end.
fn shown(word: &str) -> String {
    let short: String = word.chars().take(40).collect();
    format!("{}{}", short.escape_debug(), if short.len() < word.len() { "..." } else { "" })
}

fn range(word: &str) -> Result<RangeId, String> {
    let number = word.strip_prefix('r').and_then(|n| values::whole(n, &(0..=u64::MAX)).ok());
    number.map(RangeId).ok_or_else(|| "a range's name, as r17".to_owned())
}

/// A key with `\xNN` for bytes that no word may have (and `\\`), as it is shown.
fn key(word: &str) -> Result<Key, String> {
    let fault = || "a key, with \\xNN for blanks, # and what is no ASCII".to_owned();
    let mut bytes = Vec::new();
    let mut rest = word.bytes();
    while let Some(byte) = rest.next() {
        bytes.push(match byte {
            b'\\' => match rest.next().ok_or_else(fault)? {
                b'x' => {
                    let digits = [rest.next().ok_or_else(fault)?, rest.next().ok_or_else(fault)?];
                    let digits =
                        digits.iter().all(u8::is_ascii_hexdigit).then_some(digits).ok_or_else(fault)?;
                    let text = String::from_utf8_lossy(&digits).into_owned();
                    u8::from_str_radix(&text, 16).map_err(|_| fault())?
                }
                b't' => b'\t',
                b'n' => b'\n',
                b'r' => b'\r',
                other @ (b'\\' | b'\'' | b'"') => other,
                _ => return Err(fault()),
            },
            0x21..=0x7e => byte,
            _ => return Err(fault()),
        });
    }
    Key::new(bytes).ok_or_else(|| format!("a key of {} bytes at most", plover_ranges::MAX_KEY_LENGTH))
}

fn piece(word: &str) -> Result<KeyRange, String> {
    let fault = || "a piece, as g,m; -,g from the least key on, m,- to the end".to_owned();
    let (from, to) = word.split_once(',').ok_or_else(fault)?;
    let from = if from == "-" { Key::smallest() } else { key(from)? };
    let to = if to == "-" { None } else { Some(key(to)?) };
    KeyRange::new(from, to).ok_or_else(|| "a piece that begins before it ends".to_owned())
}

const SIZES: [(&str, u64); 5] =
    [("B", 1), ("KiB", 1 << 10), ("MiB", 1 << 20), ("GiB", 1 << 30), ("TiB", 1 << 40)];

fn size(word: &str, least: u64) -> Result<u64, String> {
    values::with_unit(word, &SIZES, &(least..=1 << 60))
        .ok_or_else(|| "a size with its unit (B, KiB, MiB, GiB, TiB)".to_owned())
}

fn rate(word: &str) -> Result<u64, String> {
    let fault = || "a rate, as 50MiB/s".to_owned();
    size(word.strip_suffix("/s").ok_or_else(fault)?, 1).map_err(|_| fault())
}

fn time(word: &str) -> Result<Micros, String> {
    let units = [("us", 1), ("ms", MILLI), ("s", SECOND), ("min", 60 * SECOND), ("h", 3600 * SECOND)];
    values::with_unit(word, &units, &(1..=366 * DAY))
        .ok_or_else(|| "a time with its unit (us, ms, s, min, h)".to_owned())
}

fn share(word: &str) -> Result<u32, String> {
    let digits = word.strip_prefix("0.").filter(|d| (1..=3).contains(&d.len()));
    let thousandths = digits.and_then(|d| values::whole(&format!("{d:0<3}"), &(1..=999)).ok());
    thousandths.map(|n| n as u32).ok_or_else(|| "a share from 0.001 to 0.999".to_owned())
}

fn hours(word: &str) -> Result<(Micros, Micros), String> {
    let moment = |text: &str| {
        let (hour, minute) = text.split_once(':')?;
        let both = hour.len() == 2 && minute.len() == 2;
        let hour = values::whole(hour, &(0..=23)).ok().filter(|_| both)?;
        Some((hour * 60 + values::whole(minute, &(0..=59)).ok()?) * 60 * SECOND)
    };
    let found = word.split_once('-').and_then(|(from, to)| Some((moment(from)?, moment(to)?)));
    found.filter(|(from, to)| from != to).ok_or_else(|| "hours, as 22:00-05:30".to_owned())
}
