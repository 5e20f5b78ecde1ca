//! Checks the operator's file against the rules of the platform. Each violation names the location in the
//! file, the rule with its source, and a value that would be allowed.
//!
//! Rules are checked on the values in effect (defaults, class and route together), for every class and every
//! route that queries of the class can match. Several values that break a rule only in combination are found
//! as well.

use plover_model::time::Micros;
use plover_routes::{Relation, RouteTable, SectionChain, Setting, SourceLocation, format_time, relation};
use std::fmt;

/// Settings of a class that the rules refer to.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ClassSettings {
    /// Name of the class, as the operator's file uses it.
    pub name: String,
    /// Time after which clients of the class give up.
    pub give_up: Micros,
    /// Time within which servers drop repeats of a part; `None` if parts are safe to repeat.
    pub window: Option<Micros>,
}

/// Settings of the platform that the rules refer to.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PlatformSettings {
    /// Settings of all classes.
    pub classes: Vec<ClassSettings>,
    /// Names of the tenants. If empty, any name is allowed.
    pub tenants: Vec<String>,
    /// Maximum number of attempts at a part.
    pub max_attempts: u32,
    /// Maximum time between two turns. Up to this time passes between a decision and its execution.
    pub tick: Micros,
    /// Maximum time to establish a connection. An attempt waits up to this time before its first byte is
    /// sent.
    pub dial_timeout: Micros,
}

/// A rule of the platform.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Rule {
    /// The number of attempts at a part is limited.
    MaxAttempts,
    /// A part that may have run is not repeated after the time within which servers drop repeats.
    RepeatWindow,
    /// A query's time-out is no longer than that of its client.
    ClientTimeout,
    /// An attempt's time-out is no longer than its query's.
    AttemptWithinQuery,
    /// A time-out leaves enough time for a turn.
    MinTimeOut,
    /// Names of classes and tenants exist on the platform.
    KnownNames,
    /// Every route can match some query.
    Reachable,
}

impl Rule {
    /// Returns the setting or the principle from which the rule follows.
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

/// A violation of a rule.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Violation {
    /// Location of the offending word.
    pub at: SourceLocation,
    /// The violated rule.
    pub rule: Rule,
    /// Description of what is wrong.
    pub problem: String,
    /// Description of what would be allowed.
    pub remedy: String,
}

/// A remark on something that is allowed but may be unintended.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Remark {
    /// Line in the file, counted from 1.
    pub line: usize,
    /// Description for the operator.
    pub text: String,
}

struct Checker<'a> {
    table: &'a RouteTable,
    platform: &'a PlatformSettings,
    violations: Vec<Violation>,
}

/// Returns all violations in a table, in the order of the file and at most one for each location and rule.
pub fn check(table: &RouteTable, platform: &PlatformSettings) -> Vec<Violation> {
    let mut checker = Checker { table, platform, violations: Vec::new() };
    checker.check_names();
    checker.check_reachability();
    for class in &platform.classes {
        checker.check_class(class, table.chain(&class.name, None));
        for route in table.routes.iter().filter(|r| r.matcher.may_match_class(&class.name)) {
            checker.check_class(class, table.chain(&class.name, Some(route)));
        }
    }
    let mut violations = checker.violations;
    violations.sort_by_key(|v| (v.at.span.start, v.rule));
    violations.dedup_by_key(|v| (v.at.span.start, v.rule));
    violations
}

/// Returns a remark for each pair of routes that some queries match both, so that the earlier route takes
/// them.
pub fn remarks(table: &RouteTable) -> Vec<Remark> {
    let mut remarks = Vec::new();
    for (n, later) in table.routes.iter().enumerate() {
        for earlier in &table.routes[..n] {
            if relation(&earlier.matcher, &later.matcher) == Relation::Overlaps {
                let (first, second, line) = (&earlier.name, &later.name, earlier.at.line);
                let text = format!(
                    "queries that match route {second} and route {first} (line {line}) take route {first}"
                );
                remarks.push(Remark { line: later.at.line, text });
            }
        }
    }
    remarks
}

impl Checker<'_> {
    fn report(&mut self, at: &SourceLocation, rule: Rule, problem: String, remedy: String) {
        self.violations.push(Violation { at: at.clone(), rule, problem, remedy });
    }

    fn check_names(&mut self) {
        let names: Vec<&str> = self.platform.classes.iter().map(|c| c.name.as_str()).collect();
        let all = names.join(", ");
        let table = self.table;
        for class in table.classes.iter().filter(|c| !names.contains(&c.name.as_str())) {
            let problem = format!("there is no class {}", class.name);
            self.report(&class.at, Rule::KnownNames, problem, format!("the classes are {all}"));
        }
        for route in &table.routes {
            if let Some(class) = route.matcher.class.as_ref().filter(|c| !names.contains(&c.as_str())) {
                let problem = format!("route {} is for class {class}, which does not exist", route.name);
                self.report(&route.at, Rule::KnownNames, problem, format!("the classes are {all}"));
            }
            let tenants = &self.platform.tenants;
            if let Some(tenant) =
                route.matcher.tenant.as_ref().filter(|t| !tenants.is_empty() && !tenants.contains(t))
            {
                let problem = format!("route {} is for tenant {tenant}, which does not exist", route.name);
                let remedy = format!("the tenants are {}", tenants.join(", "));
                self.report(&route.at, Rule::KnownNames, problem, remedy);
            }
        }
    }

    fn check_reachability(&mut self) {
        let table = self.table;
        for (n, later) in table.routes.iter().enumerate() {
            let covers = |e: &&plover_routes::RouteSection| {
                relation(&e.matcher, &later.matcher) == Relation::Unreachable
            };
            if let Some(earlier) = table.routes[..n].iter().find(covers) {
                let problem = format!("route {} is never taken", later.name);
                let remedy = format!(
                    "put it before route {} on line {}, which matches all of its queries",
                    earlier.name, earlier.at.line
                );
                self.report(&later.at, Rule::Reachable, problem, remedy);
            }
        }
    }

    /// Checks the values in effect for one class, in one chain of sections.
    fn check_class(&mut self, class: &ClassSettings, chain: SectionChain<'_>) {
        let (name, tick, dial_timeout) = (&class.name, self.platform.tick, self.platform.dial_timeout);
        let time_out = chain.find(|o| &o.time_out).map(|(setting, _)| setting);
        let attempt = chain.find(|o| &o.attempt_time_out).map(|(setting, _)| setting);
        let attempts = chain.find(|o| &o.attempts).map(|(setting, _)| setting);
        if let Some(setting) = attempts {
            let max = self.platform.max_attempts;
            if setting.value > max || setting.value == 0 {
                let problem = format!("{} attempts at a part of {name}", setting.value);
                self.report(&setting.at, Rule::MaxAttempts, problem, format!("1 to {max} are allowed"));
            }
        }
        if let Some(setting) = time_out.filter(|setting| setting.value > class.give_up) {
            let problem =
                format!("{name} may take {}, but its clients give up earlier", format_time(setting.value));
            let remedy = format!("{} at most is allowed", format_time(class.give_up));
            self.report(&setting.at, Rule::ClientTimeout, problem, remedy);
        }
        for setting in [time_out, attempt].into_iter().flatten().filter(|setting| setting.value < 2 * tick) {
            let problem =
                format!("{} is too short for anything to be sent and answered", format_time(setting.value));
            self.report(
                &setting.at,
                Rule::MinTimeOut,
                problem,
                format!("{} at least is needed", format_time(2 * tick)),
            );
        }
        let query_end = time_out.map_or(class.give_up, |setting| setting.value.min(class.give_up));
        if let Some(setting) = attempt.filter(|setting| setting.value > query_end) {
            let problem = format!(
                "an attempt of {name} may take {}, but its query only {}",
                format_time(setting.value),
                format_time(query_end)
            );
            self.report(
                &setting.at,
                Rule::AttemptWithinQuery,
                problem,
                format!("{} at most is allowed", format_time(query_end)),
            );
        }
        let locations = [attempt.map(|s| &s.at), attempts.map(|s| &s.at), time_out.map(|s| &s.at)];
        if let (Some(window), Some(at)) =
            (class.window, locations.into_iter().flatten().max_by_key(|at| at.span.start))
        {
            self.check_repeats(class, window, at.clone(), [time_out, attempt], attempts, tick + dial_timeout);
        }
    }

    /// Checks when the last repeat of a part may start in the worst case: each attempt takes all of its time,
    /// each further one waits for a turn and a connection, and none is decided on after the end of the query.
    /// `send_delay` is the maximum time from a decision to the first byte of an attempt.
    fn check_repeats(
        &mut self,
        class: &ClassSettings,
        window: Micros,
        at: SourceLocation,
        [time_out, attempt]: [Option<&Setting<Micros>>; 2],
        attempts: Option<&Setting<u32>>,
        send_delay: Micros,
    ) {
        let max_attempts = attempts
            .map_or(self.platform.max_attempts, |setting| setting.value.min(self.platform.max_attempts));
        let query_end = time_out.map_or(class.give_up, |setting| setting.value.min(class.give_up));
        let per_attempt = attempt.map_or(query_end, |setting| setting.value.min(query_end));
        let repeats = u64::from(max_attempts.saturating_sub(1));
        if repeats == 0 {
            return;
        }
        // The first attempt may be sent without delay, all others with the maximum delay.
        let by_attempts = (per_attempt + send_delay).saturating_mul(repeats);
        let last = by_attempts.min(query_end + send_delay);
        if last <= window {
            return;
        }
        let max_time_out = window.saturating_sub(send_delay);
        let max_attempt_time_out = (window / repeats).saturating_sub(send_delay);
        let problem = format!(
            "the last of {max_attempts} attempts at a part of {} may start {} after the first, but servers \
             drop repeats for {} only",
            class.name,
            format_time(last),
            format_time(window)
        );
        let remedy = format!(
            "time-out {} at most is allowed, or attempt-time-out {} with {max_attempts} attempts, or \
             attempts 1",
            format_time(max_time_out),
            format_time(max_attempt_time_out)
        );
        self.report(&at, Rule::RepeatWindow, problem, remedy);
    }
}
