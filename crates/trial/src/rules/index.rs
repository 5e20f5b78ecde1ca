//! A record put in order for the rules: who was asked what, when brokers ran, when links were whole.

use super::{Rule, Rules, Violation};
use crate::record::{Asked, Attempt, Closer, Life, Record, Seen};
use crate::script::Link;
use plover_model::time::Micros;
use std::collections::BTreeMap;

pub(super) struct Index<'a> {
    pub(super) record: &'a Record,
    pub(super) rules: &'a Rules,
    /// What is added to each limit in time.
    pub(super) slack: Micros,
    pub(super) queries: BTreeMap<&'a str, Query<'a>>,
    /// In the order of time.
    pub(super) attempts: Vec<Sent<'a>>,
    lives: BTreeMap<usize, Vec<(Micros, Life)>>,
    faults: BTreeMap<Link, Vec<LinkFault>>,
    closed: BTreeMap<(usize, u16), Vec<(Micros, Closer)>>,
    /// Brokers whose descriptors clients that ask nothing have taken, and since when.
    crowded: BTreeMap<usize, Micros>,
}

pub(super) struct Query<'a> {
    pub(super) at: Micros,
    pub(super) asked: &'a Asked,
    pub(super) ends: Vec<(Micros, &'a Seen)>,
    pub(super) crossed: Vec<Micros>,
    /// Places among the attempts.
    pub(super) attempts: Vec<usize>,
}

#[derive(Clone, Copy)]
pub(super) struct Sent<'a> {
    pub(super) at: Micros,
    pub(super) attempt: &'a Attempt,
    /// By which broker, where the query is known.
    pub(super) broker: Option<usize>,
}

#[derive(Clone, Copy)]
struct LinkFault {
    from: Micros,
    until: Micros,
    lasting: bool,
}

impl<'a> Index<'a> {
    pub(super) fn new(record: &'a Record, rules: &'a Rules) -> Self {
        let mut index = Index {
            record,
            rules,
            slack: rules.slack + record.longest_stall(),
            queries: BTreeMap::new(),
            attempts: Vec::new(),
            lives: BTreeMap::new(),
            faults: BTreeMap::new(),
            closed: BTreeMap::new(),
            crowded: BTreeMap::new(),
        };
        for event in record.events() {
            if let Seen::Asked(asked) = &event.seen {
                let query = Query {
                    at: event.at,
                    asked,
                    ends: Vec::new(),
                    crossed: Vec::new(),
                    attempts: Vec::new(),
                };
                index.queries.insert(&asked.query, query);
            }
        }
        record.events().iter().for_each(|event| index.add(event.at, &event.seen));
        index
    }

    fn add(&mut self, at: Micros, seen: &'a Seen) {
        match seen {
            Seen::Answered { query, .. }
            | Seen::Refused { query }
            | Seen::Failed { query }
            | Seen::Lost { query, .. }
            | Seen::Silent { query }
            | Seen::Left { query }
            | Seen::Surplus { query } => {
                if let Some(query) = self.queries.get_mut(query.as_str()) {
                    query.ends.push((at, seen));
                }
            }
            Seen::Crossed { query } => {
                if let Some(query) = self.queries.get_mut(query.as_str()) {
                    query.crossed.push(at);
                }
            }
            Seen::Attempt(attempt) => {
                let query = self.queries.get_mut(attempt.query.as_str());
                let broker = query.map(|query| {
                    query.attempts.push(self.attempts.len());
                    query.asked.broker
                });
                self.attempts.push(Sent { at, attempt, broker });
            }
            Seen::Broker { broker, life } => self.lives.entry(*broker).or_default().push((at, *life)),
            Seen::Crowded { broker } => _ = self.crowded.insert(*broker, at),
            Seen::Faulty { link, until, lasting } => {
                let fault = LinkFault { from: at, until: *until, lasting: *lasting };
                self.faults.entry(*link).or_default().push(fault);
            }
            Seen::Closed { broker, port, by } => {
                self.closed.entry((*broker, *port)).or_default().push((at, *by));
            }
            _ => {}
        }
    }

    /// Whether a link was not whole at some time between these.
    pub(super) fn faulty(&self, link: Link, from: Micros, to: Micros) -> bool {
        self.faults.get(&link).is_some_and(|f| f.iter().any(|f| f.from <= to && f.until >= from))
    }

    /// Whether a connection that was open between these lost its way for ever.
    pub(super) fn severed(&self, link: Link, from: Micros, to: Micros) -> bool {
        self.faults.get(&link).is_some_and(|f| f.iter().any(|f| f.lasting && f.from <= to && f.until >= from))
    }

    /// Whether a broker's process has a crowd at that moment: it may shut new connections unread. A crowd goes with its process.
    pub(super) fn is_crowded(&self, broker: usize, at: Micros) -> bool {
        let started = self.started(broker, at);
        let since = self.crowded.get(&broker).filter(|since| **since <= at);
        started.zip(since).is_some_and(|(started, since)| started <= *since)
    }

    /// Who closed a client's connection that was in use at that moment.
    pub(super) fn closer(&self, broker: usize, port: u16, at: Micros) -> Option<Closer> {
        if port == 0 {
            return Some(Closer::Unreached);
        }
        let closed = self.closed.get(&(broker, port))?;
        closed.iter().find(|(closed, _)| *closed >= at).map(|(_, by)| *by)
    }

    /// When a broker's process that ran at a moment had started; `None`: none ran.
    pub(super) fn started(&self, broker: usize, at: Micros) -> Option<Micros> {
        let mut started = None;
        for (when, life) in self.lives(broker).take_while(|(when, _)| *when <= at) {
            match life {
                Life::Started => started = Some(when),
                Life::Killed | Life::Expired | Life::Ended | Life::Crashed => started = None,
                Life::Told | Life::Stopped | Life::Continued => {}
            }
        }
        started
    }

    /// Whether a broker was killed, or crashed, between these. The kill at the end of the time that it had to end counts only
    /// for what came too late to be owed an answer before it.
    pub(super) fn cut_short(&self, broker: usize, from: Micros, to: Micros) -> bool {
        let ends = |at, life| match life {
            Life::Killed | Life::Crashed => true,
            Life::Expired => {
                self.told(broker, at).is_none_or(|told| from > told + self.rules.owed_after_told)
            }
            _ => false,
        };
        self.lives(broker).any(|(at, life)| from <= at && at <= to && ends(at, life))
    }

    /// Whether a broker had been told to end at that moment, and so lately that what comes is owed its answer.
    pub(super) fn is_owed_after_told(&self, broker: usize, at: Micros) -> bool {
        self.told(broker, at).is_some_and(|told| at <= told + self.rules.owed_after_told)
    }

    /// When a broker was last told to end by that moment.
    fn told(&self, broker: usize, by: Micros) -> Option<Micros> {
        let told = self.lives(broker).take_while(|(at, _)| *at <= by).filter(|(_, life)| *life == Life::Told);
        told.last().map(|(at, _)| at)
    }

    /// A moment, or when the broker was continued if it was stopped then; `None`: it never was.
    pub(super) fn awake(&self, broker: usize, at: Micros) -> Option<Micros> {
        let mut stopped = false;
        for (when, life) in self.lives(broker) {
            if when > at && !stopped {
                break;
            }
            match life {
                Life::Stopped => stopped = true,
                Life::Continued if when > at => return Some(when),
                Life::Continued | Life::Started => stopped = false,
                _ => {}
            }
        }
        (!stopped).then_some(at)
    }

    fn lives(&self, broker: usize) -> impl Iterator<Item = (Micros, Life)> + '_ {
        self.lives.get(&broker).into_iter().flatten().copied()
    }

    pub(super) fn crashes(&self) -> Vec<Violation> {
        let crash = |(broker, lives): (&usize, &Vec<(Micros, Life)>)| {
            let crashes: Vec<Violation> = lives
                .iter()
                .filter(|(_, life)| *life == Life::Crashed)
                .map(|(at, _)| violation(Rule::Runs, *at, None, format!("b{broker} ended by itself")))
                .collect();
            crashes
        };
        self.lives.iter().flat_map(crash).collect()
    }
}

pub(super) fn violation(rule: Rule, at: Micros, query: Option<&str>, words: String) -> Violation {
    Violation { rule, at, query: query.map(str::to_owned), words }
}
