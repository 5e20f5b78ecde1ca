//! The keywords: what each takes, means, and when it takes effect.

/// When a line that changed in the file takes effect.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Effect {
    /// With the SIGHUP that reads it.
    AtOnce,
    /// With the SIGHUP that reads it, for connections that come later.
    NewConnections,
    /// When the program is started again.
    Restart,
}

/// A keyword.
#[derive(Clone, Copy, Debug)]
pub struct Keyword {
    /// Its name.
    pub name: &'static str,
    /// What it takes, as a person reads it.
    pub takes: &'static str,
    /// What it is for.
    pub about: &'static str,
    /// When a change takes effect.
    pub effect: Effect,
    /// The keyword without which it means nothing.
    pub needs: Option<&'static str>,
}

const fn keyword(
    name: &'static str,
    takes: &'static str,
    about: &'static str,
    effect: Effect,
    needs: Option<&'static str>,
) -> Keyword {
    Keyword { name, takes, about, effect, needs }
}

const HTTP2: Option<&str> = Some("listen-http2");
const COME_BACK: Option<&str> = Some("come-back-fleet");
const CONTROL: Option<&str> = Some("control-listen");

/// All keywords; each stands on one line of a file at most, with one argument.
pub const KEYWORDS: &[Keyword] = &[
    keyword("log-format", "logfmt or json", "form of the log's lines", Effect::AtOnce, None),
    keyword(
        "log-level",
        "error, warn, info, debug or trace",
        "least level that is logged",
        Effect::AtOnce,
        None,
    ),
    keyword(
        "gather-time",
        "a time, 0us to 50ms",
        "longest wait for parts that could share a call",
        Effect::AtOnce,
        None,
    ),
    keyword(
        "listen-http2",
        "an address with a port",
        "where clients with HTTP/2 connect",
        Effect::Restart,
        None,
    ),
    keyword("http2-connections", "1 to 65536", "most HTTP/2 connections", Effect::Restart, HTTP2),
    keyword(
        "http2-streams",
        "1 to 65536",
        "most requests at once on a connection",
        Effect::NewConnections,
        HTTP2,
    ),
    keyword(
        "http2-connection-window",
        "a size, 64KiB to 64MiB",
        "the same for all requests of a connection together",
        Effect::NewConnections,
        HTTP2,
    ),
    keyword(
        "http2-header-list",
        "a size, 1KiB to 64KiB",
        "longest header list of a request",
        Effect::NewConnections,
        HTTP2,
    ),
    keyword(
        "come-back-fleet",
        "2 to 4096",
        "brokers of the fleet, this one included: a start is paced so that all of them may start at once",
        Effect::Restart,
        None,
    ),
    keyword(
        "come-back-lists",
        "1 to 100000",
        "calls for the whole list that all of them together make in a second",
        Effect::Restart,
        COME_BACK,
    ),
    keyword(
        "come-back-ask",
        "a time, 100ms to 10min",
        "after it a list that is remembered serves, where discovery has told none",
        Effect::Restart,
        COME_BACK,
    ),
    keyword(
        "come-back-spread",
        "a time, 0us to 10min",
        "time over which they begin to serve once they have a list",
        Effect::Restart,
        COME_BACK,
    ),
    keyword(
        "come-back-part",
        "a time, 100ms to 10min",
        "after it, without a query that ended badly, all are let in",
        Effect::Restart,
        COME_BACK,
    ),
    keyword(
        "control-listen",
        "an address with a port",
        "where proxies connect to the control service",
        Effect::Restart,
        None,
    ),
    keyword(
        "control-name",
        "1 to 64 letters, digits, dots or dashes",
        "name of the listener and routes that proxies are told",
        Effect::Restart,
        CONTROL,
    ),
    keyword(
        "control-instances",
        "1 to 1024",
        "control instances that run side by side",
        Effect::Restart,
        CONTROL,
    ),
    keyword("control-instance", "0 to 1023", "which of them this is", Effect::Restart, CONTROL),
    keyword(
        "control-peers",
        "addresses with ports, commas between",
        "other control instances that this one may talk with",
        Effect::Restart,
        Some("control-instances"),
    ),
    keyword("control-streams", "1 to 65536", "most streams of proxies", Effect::Restart, CONTROL),
    keyword(
        "control-server-cores",
        "1 to 1024",
        "cores of the smallest data server",
        Effect::Restart,
        CONTROL,
    ),
    keyword(
        "control-request-work",
        "a time, 1ms to 10s",
        "work of a request of the largest class",
        Effect::Restart,
        CONTROL,
    ),
    keyword(
        "control-time-to-live",
        "a time, 1s to 60s",
        "a proxy without word forgets cold servers after it",
        Effect::Restart,
        CONTROL,
    ),
    keyword(
        "control-longest-pause",
        "a time, 0us to 60s",
        "longest that a proxy stands still and goes on",
        Effect::Restart,
        CONTROL,
    ),
    keyword(
        "control-cut-off",
        "never, or a time, 1s to 10min",
        "a proxy without word forgets warm servers too after it",
        Effect::Restart,
        CONTROL,
    ),
    keyword(
        "control-ping",
        "a time, 100ms to 10min",
        "time between the pings that find half-open connections",
        Effect::Restart,
        CONTROL,
    ),
];

/// What begins a section, with what follows it.
pub const SECTIONS: &[(&str, &str, &str)] = &[
    ("defaults", "nothing", "what holds for all queries"),
    ("class", "a class's name", "what holds for queries of this class, before the defaults"),
    (
        "route",
        "a name for it",
        "what holds for queries that match it, before their class; the first in the file that does",
    ),
];

const fn section(name: &'static str, takes: &'static str, about: &'static str) -> Keyword {
    keyword(name, takes, about, Effect::AtOnce, None)
}

/// What may stand in a section; a `match` line in a route's alone. A change holds for queries that come later.
pub const SECTION_KEYWORDS: &[Keyword] = &[
    section("match-path", "a path", "queries whose path begins with these segments"),
    section("match-class", "a class's name", "queries of this class"),
    section("match-tenant", "a tenant's name", "queries of this tenant"),
    section(
        "match-header",
        "a field's name, and a value or none",
        "queries with this field; may stand more than once",
    ),
    section("time-out", "a time, 1ms to 60min", "a query is answered within it"),
    section("attempt-time-out", "a time, 1ms to 60min", "an attempt at a part is given up after it"),
    section("attempts", "1 to 100", "most attempts at a part"),
    section("most-in-hand", "0 to 1000000", "most queries in hand of those that the line holds for"),
    section("rate", "as 100/s 20", "most queries a second of a tenant, and most at once after a silence"),
];

/// The keyword of this name.
pub(crate) fn find(name: &str) -> Option<&'static Keyword> {
    KEYWORDS.iter().find(|k| k.name == name)
}

/// The keyword that a wrong one was probably meant to be.
pub(crate) fn nearest(name: &str) -> Option<&'static str> {
    let names = KEYWORDS.iter().chain(SECTION_KEYWORDS).map(|k| k.name);
    nearest_of(name, names.chain(SECTIONS.iter().map(|s| s.0)))
}

/// The one of these names that a wrong one was probably meant to be.
pub fn nearest_of<'a>(name: &str, names: impl Iterator<Item = &'a str>) -> Option<&'a str> {
    // Longer words are nobody's slip of the pen, and comparing costs the product of the lengths.
    if name.len() > 64 {
        return None;
    }
    let distance = |k: &&str| strsim::damerau_levenshtein(k, name);
    let nearest = names.min_by_key(distance)?;
    (distance(&nearest) <= nearest.len() / 3).then_some(nearest)
}
