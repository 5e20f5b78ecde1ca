//! What is done to whom, and when: a script of steps, with a text form of one step a line.
//!
//! ```text
//! 500ms b0>s1 stall forward 2000ms
//! 1000ms b2 kill
//! 2500ms b2 start keep
//! 3000ms discovery old 2000ms
//! ```
//!
//! `forward` is the way that a link's name has: from the client to the broker, from the broker to the data server.

use crate::spoilt::Spoilt;
use plover_model::time::{MILLI, Micros};
use std::fmt::{self, Display, Formatter};
use std::str::FromStr;

/// Who is at an end of a link.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Node {
    /// All clients.
    Clients,
    /// A broker, by its number.
    Broker(usize),
    /// A data server, by its number.
    Server(usize),
    /// What a broker is told the list by.
    Discovery,
}

/// Where connections go from one node to another.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Link {
    /// Who connects.
    pub from: Node,
    /// Who accepts.
    pub to: Node,
}

/// Which bytes of a link.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Way {
    /// Those that go as its name does.
    Forward,
    /// The answers.
    Back,
    /// All.
    Both,
}

/// What is wrong with a link. All but the last four end by themselves after their span.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Fault {
    /// Bytes are taken and lost. Connections that lost some are reset once it is over: a stream has no holes.
    Swallow(Way, Micros),
    /// Bytes are not taken: what holds them up is TCP's own window. They come through once it is over.
    Stall(Way, Micros),
    /// Bytes come through so much later (the first span), for the second span.
    Delay(Way, Micros, Micros),
    /// Open connections are silent both ways and new ones lead nowhere. All of them are reset once it is over.
    Cut(Micros),
    /// Open connections are reset, and so are new ones.
    Refuse(Micros),
    /// New connections do not come up. Once it is over they do as the system tries them again, up to a second later.
    Hold(Micros),
    /// The next answer of a data server is spoilt, and none after it.
    Spoil(Spoilt),
    /// Connections that are open now are silent both ways for ever; new ones work.
    HalfOpen,
    /// Connections that are open now are reset; new ones work.
    Reset,
    /// Whatever is wrong is over.
    Heal,
}

/// What a broker's state directory holds as it starts.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum State {
    /// What it left there.
    Keep,
    /// Nothing.
    Empty,
    /// What another broker has, which gets this one's.
    From(usize),
}

/// What is done to a broker's process.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Act {
    /// SIGKILL.
    Kill,
    /// SIGSTOP.
    Stop,
    /// SIGCONT.
    Continue,
    /// It is started, if it does not run.
    Start(State),
    /// SIGTERM, and a start once it has ended; SIGKILL where it does not end in time.
    Restart(State),
    /// SIGTERM once more, while it ends.
    Terminate,
    /// SIGHUP, with another configuration in place.
    Reload(Reload),
    /// So many clients connect and ask nothing.
    Crowd(usize),
}

/// A configuration that is there at a SIGHUP.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Reload {
    /// Other aims and descriptors, by turns.
    Other,
    /// One that cannot be read.
    Faulty,
}

/// What is done to a data server.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Trouble {
    /// Its process ends. The list knows nothing of it.
    Kill,
    /// It starts again, cold, and the list says so.
    Revive,
    /// The list says that it drains.
    Drain,
    /// It takes parts and answers none.
    Hang(Micros),
    /// It answers each part with an error.
    Errors(Micros),
    /// It turns each part away.
    Full(Micros),
}

/// What discovery does to all brokers.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Sight {
    /// It takes calls and answers none.
    Silent(Micros),
    /// It tells the list as it was at the beginning.
    Old(Micros),
}

/// One thing that is done.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum What {
    /// To a link.
    Link(Link, Fault),
    /// To a broker.
    Broker(usize, Act),
    /// To a data server.
    Server(usize, Trouble),
    /// To discovery.
    Discovery(Sight),
}

/// One thing, and when.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Step {
    /// From the beginning of the load on.
    pub at: Micros,
    /// What.
    pub what: What,
}

/// Steps in the order of their times.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Script {
    steps: Vec<Step>,
}

impl Script {
    /// A script of these steps, in whatever order they are given.
    pub fn new(mut steps: Vec<Step>) -> Self {
        steps.sort_by_key(|s| s.at);
        Script { steps }
    }

    /// The steps, in the order of their times.
    pub fn steps(&self) -> &[Step] {
        &self.steps
    }

    /// The same without one step.
    pub fn without(&self, place: usize) -> Script {
        let kept = self.steps.iter().enumerate().filter(|(n, _)| *n != place);
        Script { steps: kept.map(|(_, step)| *step).collect() }
    }
}

impl Link {
    /// From a broker's clients to it.
    pub fn clients(broker: usize) -> Link {
        Link { from: Node::Clients, to: Node::Broker(broker) }
    }

    /// From a broker to a data server.
    pub fn server(broker: usize, server: usize) -> Link {
        Link { from: Node::Broker(broker), to: Node::Server(server) }
    }

    /// From a broker to discovery.
    pub fn discovery(broker: usize) -> Link {
        Link { from: Node::Broker(broker), to: Node::Discovery }
    }

    /// From a broker to another.
    pub fn peer(from: usize, to: usize) -> Link {
        Link { from: Node::Broker(from), to: Node::Broker(to) }
    }

    /// Whether a trial can have such a link.
    fn is_sound(self) -> bool {
        match (self.from, self.to) {
            (Node::Clients, Node::Broker(_)) => true,
            (Node::Broker(from), Node::Broker(to)) => from != to,
            (Node::Broker(_), Node::Server(_) | Node::Discovery) => true,
            _ => false,
        }
    }
}

impl Fault {
    /// How long it lasts; `None`: it ends nothing by itself.
    pub fn span(self) -> Option<Micros> {
        match self {
            Fault::Swallow(_, span) | Fault::Stall(_, span) | Fault::Delay(_, _, span) => Some(span),
            Fault::Cut(span) | Fault::Refuse(span) | Fault::Hold(span) => Some(span),
            Fault::Spoil(_) | Fault::HalfOpen | Fault::Reset | Fault::Heal => None,
        }
    }
}

impl Way {
    /// Whether the bytes that go forward are meant.
    pub fn forward(self) -> bool {
        self != Way::Back
    }

    /// Whether the answers are meant.
    pub fn back(self) -> bool {
        self != Way::Forward
    }
}

/// A time in its text form.
struct Time(Micros);

impl Display for Time {
    fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
        if self.0.is_multiple_of(MILLI) {
            write!(f, "{}ms", self.0 / MILLI)
        } else {
            write!(f, "{}us", self.0)
        }
    }
}

impl Display for Node {
    fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
        match self {
            Node::Clients => write!(f, "clients"),
            Node::Broker(n) => write!(f, "b{n}"),
            Node::Server(n) => write!(f, "s{n}"),
            Node::Discovery => write!(f, "discovery"),
        }
    }
}

impl Display for Link {
    fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
        write!(f, "{}>{}", self.from, self.to)
    }
}

impl Display for Way {
    fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Way::Forward => "forward",
            Way::Back => "back",
            Way::Both => "both",
        })
    }
}

impl Display for Fault {
    fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
        match self {
            Fault::Swallow(way, span) => write!(f, "swallow {way} {}", Time(*span)),
            Fault::Stall(way, span) => write!(f, "stall {way} {}", Time(*span)),
            Fault::Delay(way, by, span) => write!(f, "delay {way} {} {}", Time(*by), Time(*span)),
            Fault::Cut(span) => write!(f, "cut {}", Time(*span)),
            Fault::Refuse(span) => write!(f, "refuse {}", Time(*span)),
            Fault::Hold(span) => write!(f, "hold {}", Time(*span)),
            Fault::Spoil(Spoilt::Late(by)) => write!(f, "spoil late {}", Time(*by)),
            Fault::Spoil(spoilt) => write!(f, "spoil {}", spoilt.name()),
            Fault::HalfOpen => write!(f, "half-open"),
            Fault::Reset => write!(f, "reset"),
            Fault::Heal => write!(f, "heal"),
        }
    }
}

impl Display for State {
    fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
        match self {
            State::Keep => write!(f, "keep"),
            State::Empty => write!(f, "empty"),
            State::From(n) => write!(f, "from b{n}"),
        }
    }
}

impl Display for What {
    fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
        match self {
            What::Link(link, fault) => write!(f, "{link} {fault}"),
            What::Broker(n, Act::Kill) => write!(f, "b{n} kill"),
            What::Broker(n, Act::Stop) => write!(f, "b{n} stop"),
            What::Broker(n, Act::Continue) => write!(f, "b{n} continue"),
            What::Broker(n, Act::Start(state)) => write!(f, "b{n} start {state}"),
            What::Broker(n, Act::Restart(state)) => write!(f, "b{n} restart {state}"),
            What::Broker(n, Act::Terminate) => write!(f, "b{n} terminate"),
            What::Broker(n, Act::Reload(Reload::Other)) => write!(f, "b{n} reload other"),
            What::Broker(n, Act::Reload(Reload::Faulty)) => write!(f, "b{n} reload faulty"),
            What::Broker(n, Act::Crowd(clients)) => write!(f, "b{n} crowd {clients}"),
            What::Server(n, Trouble::Kill) => write!(f, "s{n} kill"),
            What::Server(n, Trouble::Revive) => write!(f, "s{n} revive"),
            What::Server(n, Trouble::Drain) => write!(f, "s{n} drain"),
            What::Server(n, Trouble::Hang(span)) => write!(f, "s{n} hang {}", Time(*span)),
            What::Server(n, Trouble::Errors(span)) => write!(f, "s{n} errors {}", Time(*span)),
            What::Server(n, Trouble::Full(span)) => write!(f, "s{n} full {}", Time(*span)),
            What::Discovery(Sight::Silent(span)) => write!(f, "discovery silent {}", Time(*span)),
            What::Discovery(Sight::Old(span)) => write!(f, "discovery old {}", Time(*span)),
        }
    }
}

impl Display for Step {
    fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
        write!(f, "{} {}", Time(self.at), self.what)
    }
}

impl Display for Script {
    fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
        self.steps.iter().try_for_each(|step| writeln!(f, "{step}"))
    }
}

/// A line that is no step, counted from 1, and why.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct BadLine {
    /// Which line.
    pub line: usize,
    /// What is wrong with it.
    pub why: String,
}

impl Display for BadLine {
    fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
        write!(f, "line {}: {}", self.line, self.why)
    }
}

impl std::error::Error for BadLine {}

impl FromStr for Script {
    type Err = BadLine;

    /// Empty lines, and what follows a `#`, are passed over.
    fn from_str(text: &str) -> Result<Self, BadLine> {
        let mut steps = Vec::new();
        for (n, line) in text.lines().enumerate() {
            let words: Vec<&str> = line.split('#').next().unwrap_or_default().split_whitespace().collect();
            if !words.is_empty() {
                steps.push(step(&words).map_err(|why| BadLine { line: n + 1, why })?);
            }
        }
        Ok(Script::new(steps))
    }
}

fn step(words: &[&str]) -> Result<Step, String> {
    let [at, whom, rest @ ..] = words else { return Err("a step has a time, a target and words".into()) };
    let at = time(at)?;
    let what = if let Some((from, to)) = whom.split_once('>') {
        let link = Link { from: node(from)?, to: node(to)? };
        if !link.is_sound() {
            return Err(format!("nothing connects along {link}"));
        }
        What::Link(link, fault(rest)?)
    } else {
        match (node(whom)?, rest) {
            (Node::Broker(n), ["kill"]) => What::Broker(n, Act::Kill),
            (Node::Broker(n), ["stop"]) => What::Broker(n, Act::Stop),
            (Node::Broker(n), ["continue"]) => What::Broker(n, Act::Continue),
            (Node::Broker(n), ["terminate"]) => What::Broker(n, Act::Terminate),
            (Node::Broker(n), ["reload", "other"]) => What::Broker(n, Act::Reload(Reload::Other)),
            (Node::Broker(n), ["reload", "faulty"]) => What::Broker(n, Act::Reload(Reload::Faulty)),
            (Node::Broker(n), ["crowd", clients]) => {
                let clients = clients.parse().map_err(|_| format!("{clients:?} is no number of clients"))?;
                What::Broker(n, Act::Crowd(clients))
            }
            (Node::Broker(n), ["start", state @ ..]) => What::Broker(n, Act::Start(state_of(state)?)),
            (Node::Broker(n), ["restart", state @ ..]) => What::Broker(n, Act::Restart(state_of(state)?)),
            (Node::Server(n), ["kill"]) => What::Server(n, Trouble::Kill),
            (Node::Server(n), ["revive"]) => What::Server(n, Trouble::Revive),
            (Node::Server(n), ["drain"]) => What::Server(n, Trouble::Drain),
            (Node::Server(n), ["hang", span]) => What::Server(n, Trouble::Hang(time(span)?)),
            (Node::Server(n), ["errors", span]) => What::Server(n, Trouble::Errors(time(span)?)),
            (Node::Server(n), ["full", span]) => What::Server(n, Trouble::Full(time(span)?)),
            (Node::Discovery, ["silent", span]) => What::Discovery(Sight::Silent(time(span)?)),
            (Node::Discovery, ["old", span]) => What::Discovery(Sight::Old(time(span)?)),
            _ => return Err(format!("{whom} cannot be told {:?}", rest.join(" "))),
        }
    };
    Ok(Step { at, what })
}

fn time(word: &str) -> Result<Micros, String> {
    let bad = || format!("{word:?} is no time: a whole number and ms or us");
    let (digits, unit) = match (word.strip_suffix("ms"), word.strip_suffix("us")) {
        (Some(digits), _) => (digits, MILLI),
        (_, Some(digits)) => (digits, 1),
        _ => return Err(bad()),
    };
    digits.parse::<Micros>().ok().and_then(|n| n.checked_mul(unit)).ok_or_else(bad)
}

fn node(word: &str) -> Result<Node, String> {
    let number = |rest: &str| rest.parse().map_err(|_| format!("{word:?} is nobody"));
    match word {
        "clients" => Ok(Node::Clients),
        "discovery" => Ok(Node::Discovery),
        _ => match (word.strip_prefix('b'), word.strip_prefix('s')) {
            (Some(rest), _) => number(rest).map(Node::Broker),
            (_, Some(rest)) => number(rest).map(Node::Server),
            _ => Err(format!("{word:?} is nobody")),
        },
    }
}

fn way(word: &str) -> Result<Way, String> {
    match word {
        "forward" => Ok(Way::Forward),
        "back" => Ok(Way::Back),
        "both" => Ok(Way::Both),
        _ => Err(format!("{word:?} is neither forward, back nor both")),
    }
}

fn fault(words: &[&str]) -> Result<Fault, String> {
    Ok(match words {
        ["swallow", w, span] => Fault::Swallow(way(w)?, time(span)?),
        ["stall", w, span] => Fault::Stall(way(w)?, time(span)?),
        ["delay", w, by, span] => Fault::Delay(way(w)?, time(by)?, time(span)?),
        ["cut", span] => Fault::Cut(time(span)?),
        ["refuse", span] => Fault::Refuse(time(span)?),
        ["hold", span] => Fault::Hold(time(span)?),
        ["spoil", "late", by] => Fault::Spoil(Spoilt::Late(time(by)?)),
        ["spoil", name] => {
            Fault::Spoil(Spoilt::named(name).ok_or_else(|| format!("no answer is spoilt {name:?}"))?)
        }
        ["half-open"] => Fault::HalfOpen,
        ["reset"] => Fault::Reset,
        ["heal"] => Fault::Heal,
        _ => return Err(format!("{:?} is no fault", words.join(" "))),
    })
}

fn state_of(words: &[&str]) -> Result<State, String> {
    match words {
        ["keep"] => Ok(State::Keep),
        ["empty"] => Ok(State::Empty),
        ["from", other] => match node(other)? {
            Node::Broker(n) => Ok(State::From(n)),
            _ => Err(format!("{other} has no state")),
        },
        _ => Err(format!("{:?} is neither keep, empty nor from another", words.join(" "))),
    }
}
