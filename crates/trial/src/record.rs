//! What happened in a trial, on one clock.

use crate::script::{Link, Step};
use plover_model::time::Micros;
use std::fmt::{self, Display, Formatter};

/// Something that happened.
#[derive(Clone, Debug, PartialEq)]
pub struct Event {
    /// When, from the beginning of the load on.
    pub at: Micros,
    /// What was seen.
    pub seen: Seen,
}

/// What was seen, by whoever saw it. Nothing here is a broker's word.
#[derive(Clone, Debug, PartialEq)]
pub enum Seen {
    /// A client sends a query.
    Asked(Asked),
    /// Its answer is whole at the client: served.
    Answered {
        /// The query's id.
        query: String,
        /// Whether it is marked whole.
        whole: bool,
        /// Shards and values.
        values: Vec<(usize, String)>,
    },
    /// Likewise: refused.
    Refused {
        /// The query's id.
        query: String,
    },
    /// Likewise: any other status.
    Failed {
        /// The query's id.
        query: String,
    },
    /// The connection ended without an answer.
    Lost {
        /// The query's id.
        query: String,
        /// The client's port on it; 0: it got none.
        port: u16,
        /// Whether the query was the first on it.
        fresh: bool,
    },
    /// The client has waited far beyond its time.
    Silent {
        /// The query's id.
        query: String,
    },
    /// Its client has gone, and wants no answer any more.
    Left {
        /// The query's id.
        query: String,
    },
    /// A kept connection ended as the query was on its way; it is sent once more on a new one.
    Crossed {
        /// The query's id.
        query: String,
    },
    /// More came on a connection than the answers to what was asked.
    Surplus {
        /// The last query on it.
        query: String,
    },
    /// A client's connection was closed, as the relay saw it.
    Closed {
        /// The broker.
        broker: usize,
        /// The client's port.
        port: u16,
        /// By whom.
        by: Closer,
    },
    /// An attempt's last byte came to a data server.
    Attempt(Attempt),
    /// The list of a broker's discovery came to it whole, with this entry.
    Told {
        /// The broker.
        broker: usize,
        /// The data server.
        server: usize,
        /// Whether it may get new parts.
        active: bool,
        /// When it last started, as the trial saw that; `None`: before.
        started: Option<Micros>,
    },
    /// A call for the list that waits was on a connection when that fell silent.
    Hushed {
        /// The broker.
        broker: usize,
        /// Until when the call may wait.
        wait_until: Micros,
    },
    /// An answer of discovery came to a broker whole, with or without entries.
    Heard {
        /// The broker.
        broker: usize,
    },
    /// Discovery's list says that a data server drains.
    Drained {
        /// The data server.
        server: usize,
    },
    /// A data server starts anew, cold.
    Revived {
        /// The data server.
        server: usize,
    },
    /// A broker's process.
    Broker {
        /// The broker.
        broker: usize,
        /// What became of it.
        life: Life,
    },
    /// Clients that ask nothing have connected, and stay to the end.
    Crowded {
        /// The broker.
        broker: usize,
    },
    /// A link is no longer whole, until then.
    Faulty {
        /// The link.
        link: Link,
        /// When it is whole again, for connections that begin then.
        until: Micros,
        /// Whether connections that are open as it begins never work again.
        lasting: bool,
    },
    /// A step of the script was played.
    Played(Step),
    /// The machine kept the rig waiting for so long beyond what it asked for.
    Stalled(Micros),
}

/// A query as its client sends it.
#[derive(Clone, Debug, PartialEq)]
pub struct Asked {
    /// Its id, new with each try.
    pub query: String,
    /// The broker.
    pub broker: usize,
    /// The class, by its place in the settings.
    pub class: usize,
    /// The shards.
    pub shards: Vec<usize>,
    /// The idempotency key.
    pub key: Option<String>,
    /// The text that its parts carry.
    pub text: String,
    /// How long the client waits.
    pub patience: Micros,
    /// When its connection was opened.
    pub connected: Micros,
}

/// Who closed a client's connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Closer {
    /// The client.
    Client,
    /// The broker, or its machine as the process ended.
    Broker,
    /// A fault of the script.
    Fault,
    /// Nobody: the broker's machine never accepted it.
    Unreached,
}

/// An attempt as a data server saw it.
#[derive(Clone, Debug, PartialEq)]
pub struct Attempt {
    /// The query's id.
    pub query: String,
    /// The shard.
    pub shard: usize,
    /// The data server.
    pub server: usize,
    /// The idempotency key.
    pub key: Option<String>,
    /// Whether it was begun.
    pub ran: bool,
    /// When it ended, and whether with an answer; `None`: it is out.
    pub ended: Option<(Micros, bool)>,
}

/// What became of a process.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Life {
    /// It listens.
    Started,
    /// It was killed.
    Killed,
    /// It was told to end.
    Told,
    /// It was killed, since the time that it had to end was over.
    Expired,
    /// It was stopped.
    Stopped,
    /// It was continued.
    Continued,
    /// It ended, as it was told to.
    Ended,
    /// It ended by itself, or otherwise than with success.
    Crashed,
}

/// All that happened, in the order of time.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Record {
    events: Vec<Event>,
}

impl Record {
    /// A record of these events, in whatever order they are given.
    pub fn new(mut events: Vec<Event>) -> Self {
        events.sort_by_key(|e| e.at);
        Record { events }
    }

    /// The events, in the order of time.
    pub fn events(&self) -> &[Event] {
        &self.events
    }

    /// The longest time that the machine kept the rig waiting.
    pub fn longest_stall(&self) -> Micros {
        let stalls = self.events.iter().filter_map(|e| match e.seen {
            Seen::Stalled(long) => Some(long),
            _ => None,
        });
        stalls.max().unwrap_or(0)
    }

    /// The events of a query, and what was done to brokers, servers and links up to its end: the shortest part of the
    /// record that tells its story. Of those that concern no query, at most `most`, the last ones.
    pub fn trace(&self, query: &str, until: Micros, most: usize) -> Vec<&Event> {
        let done = |e: &&Event| {
            let kinds = matches!(
                e.seen,
                Seen::Broker { .. } | Seen::Played(_) | Seen::Drained { .. } | Seen::Revived { .. }
            );
            kinds && e.at <= until
        };
        let done: Vec<&Event> = self.events.iter().filter(done).collect();
        let mut trace: Vec<&Event> = done[done.len().saturating_sub(most)..].to_vec();
        trace.extend(self.events.iter().filter(|e| e.seen.query() == Some(query)));
        trace.sort_by_key(|e| e.at);
        trace
    }
}

impl Seen {
    /// The query that it concerns.
    pub fn query(&self) -> Option<&str> {
        match self {
            Seen::Asked(asked) => Some(&asked.query),
            Seen::Attempt(attempt) => Some(&attempt.query),
            Seen::Answered { query, .. }
            | Seen::Refused { query }
            | Seen::Failed { query }
            | Seen::Lost { query, .. }
            | Seen::Silent { query }
            | Seen::Left { query }
            | Seen::Crossed { query }
            | Seen::Surplus { query } => Some(query),
            _ => None,
        }
    }
}

impl Display for Event {
    fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
        write!(f, "{:>10.3} ms  ", self.at as f64 / 1000.0)?;
        match &self.seen {
            Seen::Played(step) => write!(f, "step {}", step.what),
            Seen::Broker { broker, life } => write!(f, "b{broker} {life:?}"),
            Seen::Asked(a) => {
                write!(f, "{} asks b{} class {} shards {:?}", a.query, a.broker, a.class, a.shards)?;
                write!(f, " for {} ms", a.patience / 1000)
            }
            Seen::Attempt(a) => {
                write!(f, "{}.{} at s{}", a.query, a.shard, a.server)?;
                match a.ended {
                    Some((at, true)) => write!(f, ", answered at {} ms", at / 1000),
                    Some((at, false)) => write!(f, ", given up at {} ms", at / 1000),
                    None => write!(f, ", never ended"),
                }
            }
            other => write!(f, "{other:?}"),
        }
    }
}
