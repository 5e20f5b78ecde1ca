//! The platform's rules, held against what an operator sets. Each breach names the word at fault, the rule with its
//! source, and the figure that would hold.
//!
//! Rules are judged on what holds in the end (defaults, class and route together) for every class and every route that
//! its queries can take, and for figures that only together break one.

use plover_model::time::Micros;
use plover_routes::{Relation, RouteTable, SectionChain, Setting, SourceLocation, format_time, relation};
use std::fmt;

/// What the rules need to know of a class.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ClassSettings {
    /// Its name.
    pub name: String,
    /// Its clients give up after this time.
    pub give_up: Micros,
    /// Servers drop a repeated part within this time, and not beyond; `None`: its parts are safe to repeat.
    pub window: Option<Micros>,
}

/// What the rules need to know of the platform.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PlatformSettings {
    /// The classes.
    pub classes: Vec<ClassSettings>,
    /// Names of the tenants; none: any.
    pub tenants: Vec<String>,
    /// Most attempts at a part.
    pub max_attempts: u32,
    /// Turns are so far apart at the most: what is decided goes out so much later.
    pub tick: Micros,
    /// A connection must be up within this time: an attempt waits so long before its first byte.
    pub dial_timeout: Micros,
}

/// A rule.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Rule {
    /// A part gets so many attempts at the most.
    MaxAttempts,
    /// A part that may have run is not repeated beyond the time in which servers drop repeats.
    RepeatWindow,
    /// No time-out goes beyond the client's own.
    ClientTimeout,
    /// An attempt ends within its query.
    AttemptWithinQuery,
    /// A time-out leaves time for a turn.
    MinTimeOut,
    /// Names are those of the platform.
    KnownNames,
    /// A route can be reached.
    Reachable,
}

impl Rule {
    /// Where it comes from.
    pub fn source(self) -> &'static str {
        match self {
            Rule::MaxAttempts => "the platform's settings, Allowed.SendCap",
            Rule::RepeatWindow => {
                "the class's time for dropping repeats in the platform's settings, Services"
            }
            Rule::ClientTimeout => "the class's GiveUp in the platform's settings, Services",
            Rule::AttemptWithinQuery => "a query has one final answer in its time",
            Rule::MinTimeOut => "turns are a tick apart (the platform's settings, Tick)",
            Rule::KnownNames => "the platform's settings, Services and Projects",
            Rule::Reachable => "the first route of the file that matches is taken",
        }
    }
}

impl fmt::Display for Rule {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Rule::MaxAttempts => "most attempts at a part",
            Rule::RepeatWindow => "no repeat beyond the repeat limit",
            Rule::ClientTimeout => "no time-out beyond the client's",
            Rule::AttemptWithinQuery => "an attempt ends within its query",
            Rule::MinTimeOut => "a time-out leaves time for a turn",
            Rule::KnownNames => "names are the platform's",
            Rule::Reachable => "every route can be reached",
        })
    }
}

/// A rule that is broken.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Violation {
    /// The word at fault.
    pub at: SourceLocation,
    /// The rule.
    pub rule: Rule,
    /// What is wrong.
    pub problem: String,
    /// What would hold.
    pub remedy: String,
}

/// What is not wrong, but perhaps not meant.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Remark {
    /// The line it is about.
    pub line: usize,
    /// What it is.
    pub text: String,
}

struct Checking<'a> {
    table: &'a RouteTable,
    platform: &'a PlatformSettings,
    found: Vec<Violation>,
}

/// All breaches of a table, in the order of the file; none for a word and rule twice.
pub fn check(table: &RouteTable, platform: &PlatformSettings) -> Vec<Violation> {
    let mut checking = Checking { table, platform, found: Vec::new() };
    checking.names();
    checking.reach();
    for class in &platform.classes {
        checking.chain(class, table.chain(&class.name, None));
        for route in table.routes.iter().filter(|r| r.matcher.may_match_class(&class.name)) {
            checking.chain(class, table.chain(&class.name, Some(route)));
        }
    }
    let mut found = checking.found;
    found.sort_by_key(|b| (b.at.span.start, b.rule));
    found.dedup_by_key(|b| (b.at.span.start, b.rule));
    found
}

/// Routes of which an earlier one takes some queries.
pub fn remarks(table: &RouteTable) -> Vec<Remark> {
    let mut remarks = Vec::new();
    for (n, later) in table.routes.iter().enumerate() {
        for earlier in &table.routes[..n] {
            if relation(&earlier.matcher, &later.matcher) == Relation::Overlaps {
                let (a, b, line) = (&earlier.name, &later.name, earlier.at.line);
                let what = format!("queries that match route {b} and route {a} (line {line}) take route {a}");
                remarks.push(Remark { line: later.at.line, text: what });
            }
        }
    }
    remarks
}

impl Checking<'_> {
    fn breach(&mut self, at: &SourceLocation, rule: Rule, what: String, holds: String) {
        self.found.push(Violation { at: at.clone(), rule, problem: what, remedy: holds });
    }

    fn names(&mut self) {
        let names: Vec<&str> = self.platform.classes.iter().map(|c| c.name.as_str()).collect();
        let all = names.join(", ");
        let table = self.table;
        for class in table.classes.iter().filter(|c| !names.contains(&c.name.as_str())) {
            let what = format!("there is no class {}", class.name);
            self.breach(&class.at, Rule::KnownNames, what, format!("the classes are {all}"));
        }
        for route in &table.routes {
            if let Some(class) = route.matcher.class.as_ref().filter(|c| !names.contains(&c.as_str())) {
                let what = format!("route {} is for class {class}, which there is not", route.name);
                self.breach(&route.at, Rule::KnownNames, what, format!("the classes are {all}"));
            }
            let tenants = &self.platform.tenants;
            if let Some(tenant) =
                route.matcher.tenant.as_ref().filter(|t| !tenants.is_empty() && !tenants.contains(t))
            {
                let what = format!("route {} is for tenant {tenant}, which there is not", route.name);
                let holds = format!("the tenants are {}", tenants.join(", "));
                self.breach(&route.at, Rule::KnownNames, what, holds);
            }
        }
    }

    fn reach(&mut self) {
        let table = self.table;
        for (n, later) in table.routes.iter().enumerate() {
            let covers = |e: &&plover_routes::RouteSection| {
                relation(&e.matcher, &later.matcher) == Relation::Unreachable
            };
            if let Some(earlier) = table.routes[..n].iter().find(covers) {
                let what = format!("route {} is never taken", later.name);
                let holds = format!(
                    "put it before route {} on line {}, which matches all of its queries",
                    earlier.name, earlier.at.line
                );
                self.breach(&later.at, Rule::Reachable, what, holds);
            }
        }
    }

    /// Holds one class's figures, as they are in the end, against the rules.
    fn chain(&mut self, class: &ClassSettings, chain: SectionChain<'_>) {
        let (name, tick, dial) = (&class.name, self.platform.tick, self.platform.dial_timeout);
        let time_out = chain.find(|o| &o.time_out).map(|(set, _)| set);
        let attempt = chain.find(|o| &o.attempt_time_out).map(|(set, _)| set);
        let attempts = chain.find(|o| &o.attempts).map(|(set, _)| set);
        if let Some(set) = attempts {
            let most = self.platform.max_attempts;
            if set.value > most || set.value == 0 {
                let what = format!("{} attempts at a part of {name}", set.value);
                self.breach(&set.at, Rule::MaxAttempts, what, format!("1 to {most} hold"));
            }
        }
        if let Some(set) = time_out.filter(|set| set.value > class.give_up) {
            let what = format!("{name} may take {}, but its clients give up before", format_time(set.value));
            let holds = format!("{} at most holds", format_time(class.give_up));
            self.breach(&set.at, Rule::ClientTimeout, what, holds);
        }
        for set in [time_out, attempt].into_iter().flatten().filter(|set| set.value < 2 * tick) {
            let what = format!("{} is over before anything can be sent and answered", format_time(set.value));
            self.breach(&set.at, Rule::MinTimeOut, what, format!("{} at least holds", format_time(2 * tick)));
        }
        let ends = time_out.map_or(class.give_up, |set| set.value.min(class.give_up));
        if let Some(set) = attempt.filter(|set| set.value > ends) {
            let what = format!(
                "an attempt of {name} may take {}, its query {}",
                format_time(set.value),
                format_time(ends)
            );
            self.breach(
                &set.at,
                Rule::AttemptWithinQuery,
                what,
                format!("{} at most holds", format_time(ends)),
            );
        }
        let culprit = [attempt.map(|s| &s.at), attempts.map(|s| &s.at), time_out.map(|s| &s.at)];
        if let (Some(window), Some(at)) =
            (class.window, culprit.into_iter().flatten().max_by_key(|at| at.span.start))
        {
            self.repeats(class, window, at.clone(), [time_out, attempt], attempts, tick + dial);
        }
    }

    /// The last repeat of a part, at its worst: each attempt takes all of its time, each next one waits for a turn and a
    /// connection, and the query ends them all. `late` is what passes between a decision and its first byte.
    fn repeats(
        &mut self,
        class: &ClassSettings,
        window: Micros,
        at: SourceLocation,
        [time_out, attempt]: [Option<&Setting<Micros>>; 2],
        attempts: Option<&Setting<u32>>,
        late: Micros,
    ) {
        let most =
            attempts.map_or(self.platform.max_attempts, |set| set.value.min(self.platform.max_attempts));
        let ends = time_out.map_or(class.give_up, |set| set.value.min(class.give_up));
        let each = attempt.map_or(ends, |set| set.value.min(ends));
        let repeats = u64::from(most.saturating_sub(1));
        if repeats == 0 {
            return;
        }
        // The first byte of the first attempt may be out at once; the others each come late.
        let by_attempts = (each + late).saturating_mul(repeats);
        let last = by_attempts.min(ends + late);
        if last <= window {
            return;
        }
        let fits = window.saturating_sub(late);
        let short = (window / repeats).saturating_sub(late);
        let what = format!(
            "the last of {most} attempts at a part of {} may begin {} after the first, which servers drop for {} only",
            class.name,
            format_time(last),
            format_time(window)
        );
        let holds = format!(
            "time-out {} at most holds, or attempt-time-out {} with {most} attempts, or attempts 1",
            format_time(fits),
            format_time(short)
        );
        self.breach(&at, Rule::RepeatWindow, what, holds);
    }
}
