//! Sections: `defaults`, `class NAME` and `route NAME`, each until the next one or the file's end.

use crate::grammar::{Line, Word};
use crate::keywords::{self, SECTION_KEYWORDS};
use crate::settings::{Reading, shown};
use crate::values;
use http::HeaderName;
use plover_model::query::Rate;
use plover_model::time::{MILLI, SECOND};
use plover_routes::{
    ClassSection, MAX_ROUTES, Matcher, Overrides, RouteSection, RouteTable, Setting, SourceLocation,
};
use std::collections::BTreeMap;

/// Longest time that may be written.
const LONGEST: u64 = 3600 * SECOND;

/// Which section the lines belong to.
#[derive(Debug, Default, PartialEq, Eq)]
enum Open {
    /// None yet: lines set what holds for the program.
    #[default]
    None,
    Defaults,
    Class(ClassSection),
    Route(RouteSection),
    /// Its first line was at fault: the rest is read for faults of its own.
    Faulty,
}

/// The sections that were read, and the one that is open.
#[derive(Debug, Default)]
pub(crate) struct Sections {
    table: RouteTable,
    open: Open,
    /// The lines on which each section begins, and on which each keyword stands in the open one.
    begun: BTreeMap<String, usize>,
    taken: BTreeMap<&'static str, usize>,
    words: Vec<String>,
}

impl Sections {
    fn close(&mut self) {
        match std::mem::take(&mut self.open) {
            Open::Class(class) => self.table.classes.push(class),
            Open::Route(route) => self.table.routes.push(route),
            Open::None | Open::Defaults | Open::Faulty => {}
        }
        self.taken.clear();
    }

    /// All sections, and their words.
    pub(crate) fn end(mut self) -> (RouteTable, Vec<String>) {
        self.close();
        (self.table, self.words)
    }

    fn sets(&mut self) -> Option<&mut Overrides> {
        match &mut self.open {
            Open::Defaults => Some(&mut self.table.defaults),
            Open::Class(class) => Some(&mut class.overrides),
            Open::Route(route) => Some(&mut route.overrides),
            Open::None | Open::Faulty => None,
        }
    }
}

fn rate(per_second: &str, burst: &str) -> Result<Rate, String> {
    let expected = || "expected a rate and a burst, as 100/s 20, each from 1 to 1000000".to_owned();
    let number = |w: &str| values::whole(w, &(1..=1_000_000)).map(|n| n as u32);
    let per_second = per_second.strip_suffix("/s").ok_or_else(expected)?;
    match (number(per_second), number(burst)) {
        (Ok(per_second), Ok(burst)) => Ok(Rate { per_second, burst }),
        _ => Err(expected()),
    }
}

fn path(word: &str) -> Result<String, String> {
    let good = word.starts_with('/') && word.len() <= 1024 && word.bytes().all(|b| b.is_ascii_graphic());
    good.then(|| word.to_owned()).ok_or_else(|| "expected a path, as /lookup".to_owned())
}

impl Reading<'_> {
    /// Takes a line that begins a section or stands in one. Any other is given back.
    pub(crate) fn section_line(&mut self, line: Line) -> Option<Line> {
        let text = line.keyword.text.as_str();
        if keywords::SECTIONS.iter().any(|(name, ..)| *name == text) {
            self.begin(line);
            return None;
        }
        let known = SECTION_KEYWORDS.iter().find(|k| k.name == text);
        match known {
            None if self.sections.open == Open::None => Some(line),
            None if keywords::find(text).is_some() => {
                let what = format!("{text} stands in a section");
                self.fault(&line.keyword, what, "it goes before the first section: it holds for the program");
                None
            }
            // An unknown word: the general reading finds fault with it.
            None => Some(line),
            Some(_) if self.sections.open == Open::None => {
                let what = format!("{text} stands in no section");
                self.fault(&line.keyword, what, "it goes below defaults, class NAME or route NAME");
                None
            }
            Some(k) => {
                self.keep(&line);
                self.setting(k.name, line);
                None
            }
        }
    }

    fn keep(&mut self, line: &Line) {
        let words: Vec<&str> =
            [&line.keyword].into_iter().chain(&line.arguments).map(|w| w.text.as_str()).collect();
        self.sections.words.push(words.join(" "));
    }

    fn begin(&mut self, line: Line) {
        self.sections.close();
        self.keep(&line);
        let (kind, at) = (line.keyword.text.clone(), self.place(&line.keyword));
        self.sections.open = Open::Faulty;
        let name = match (kind.as_str(), &line.arguments[..]) {
            ("defaults", []) => None,
            ("class" | "route", [name]) => Some(name.clone()),
            ("defaults", [surplus, ..]) | (_, [_, surplus, ..]) => {
                let surplus = surplus.clone();
                let what = format!("{} is one too many for {kind}", shown(&surplus.text));
                return self.fault(&surplus, what, "");
            }
            _ => {
                return self.fault(
                    &line.keyword,
                    format!("{kind} lacks its name"),
                    format!("expected {kind} NAME"),
                );
            }
        };
        if let Some(word) = &name
            && let Err(expected) = values::name(&word.text)
        {
            return self.fault(word, format!("{} is no name", shown(&word.text)), expected);
        }
        let key = name.as_ref().map_or(kind.clone(), |n| format!("{kind} {}", n.text));
        if let Some(first) = self.sections.begun.get(&key) {
            let expected = format!("it begins on line {first}");
            return self.fault(&line.keyword, format!("{key} is given twice"), expected);
        }
        self.sections.begun.insert(key, at.line);
        if kind == "route" && self.sections.table.routes.len() >= MAX_ROUTES {
            return self.fault(
                &line.keyword,
                "one route too many".to_owned(),
                format!("expected {MAX_ROUTES} at most"),
            );
        }
        let name_at = name.as_ref().map_or(at, |n| self.place(n));
        let (name, sets) = (name.map(|n| n.text).unwrap_or_default(), Overrides::default());
        self.sections.open = match kind.as_str() {
            "class" => Open::Class(ClassSection { name, at: name_at, overrides: sets }),
            "route" => {
                Open::Route(RouteSection { name, at: name_at, matcher: Matcher::default(), overrides: sets })
            }
            _ => Open::Defaults,
        };
    }

    fn setting(&mut self, name: &'static str, line: Line) {
        let at = self.place(&line.keyword).line;
        let repeats = name == "match-header";
        if let Some(first) = self.sections.taken.get(name).filter(|_| !repeats) {
            let expected = format!("it stands on line {first}");
            return self.fault(&line.keyword, format!("{name} is given twice in its section"), expected);
        }
        self.sections.taken.insert(name, at);
        let (most, least) = match name {
            "rate" => (2, 2),
            "match-header" => (2, 1),
            _ => (1, 1),
        };
        let takes = SECTION_KEYWORDS.iter().find(|k| k.name == name).map_or("", |k| k.takes);
        if line.arguments.len() < least {
            return self.fault(
                &line.keyword,
                format!("{name} lacks an argument"),
                format!("expected {takes}"),
            );
        }
        if let Some(surplus) = line.arguments.get(most) {
            let what = format!("{} is one too many for {name}", shown(&surplus.text));
            return self.fault(surplus, what, format!("expected {takes} and no more"));
        }
        if name.starts_with("match-") {
            return self.condition(name, &line);
        }
        let word = line.arguments[0].clone();
        let place = self.place(&word);
        let second = line.arguments.get(1).map_or("", |w| w.text.as_str());
        if let Err(expected) = self.set(name, &word.text, second, place) {
            self.fault(&word, format!("{} is no argument for {name}", shown(&word.text)), expected);
        }
    }

    fn set(&mut self, name: &str, word: &str, second: &str, at: SourceLocation) -> Result<(), String> {
        let mut unused = Overrides::default();
        let sets = self.sections.sets().unwrap_or(&mut unused);
        let time = |word: &str| values::span(word, &(MILLI..=LONGEST));
        match name {
            "time-out" => sets.time_out = Some(Setting { value: time(word)?, at }),
            "attempt-time-out" => sets.attempt_time_out = Some(Setting { value: time(word)?, at }),
            // More than the platform's most is found with the rule that it breaks.
            "attempts" => {
                sets.attempts = Some(Setting { value: values::whole(word, &(1..=100))? as u32, at })
            }
            "most-in-hand" => {
                sets.max_open = Some(Setting { value: values::whole(word, &(0..=1_000_000))? as u32, at });
            }
            _ => sets.rate = Some(Setting { value: rate(word, second)?, at }),
        }
        Ok(())
    }

    fn condition(&mut self, name: &str, line: &Line) {
        let first = &line.arguments[0];
        let read = match name {
            "match-path" => path(&first.text),
            "match-header" => HeaderName::try_from(&first.text)
                .map(|name| name.as_str().to_owned())
                .map_err(|_| "expected a field's name (RFC 9110, section 5.1)".to_owned()),
            _ => values::name(&first.text),
        };
        let value = match read {
            Ok(value) => value,
            Err(expected) => {
                return self.fault(
                    first,
                    format!("{} is no argument for {name}", shown(&first.text)),
                    expected,
                );
            }
        };
        let route = match &mut self.sections.open {
            Open::Route(route) => route,
            Open::Faulty => return,
            _ => {
                return self.fault(
                    &line.keyword,
                    format!("{name} stands in no route"),
                    "it goes below route NAME",
                );
            }
        };
        match name {
            "match-path" => route.matcher.path = Some(value),
            "match-class" => route.matcher.class = Some(value),
            "match-tenant" => route.matcher.tenant = Some(value),
            _ => {
                let wanted = line.arguments.get(1).map(|w: &Word| w.text.clone());
                // It was read as a name above.
                route.matcher.headers.extend(HeaderName::try_from(value).ok().map(|name| (name, wanted)));
            }
        }
    }
}
