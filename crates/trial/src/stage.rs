//! A trial that its test drives: one broker with a relay before each data server, queries asked one by one, faults begun and
//! ended as events want it, and the record of all that.

use crate::clock::{Clock, Heart, Waits};
use crate::gather::{attempts, gather};
use crate::record::{Asked, Event, Life, Record, Seen};
use crate::relay::{Back, Relay};
use crate::script::{Fault, Link};
use plover_load::{Answer, Ask, Http1};
use plover_model::time::Micros;
use plover_standins::{Change, Deployment, Fleet, Plan, Program, View};
use serde_json::{Value, json};
use std::collections::BTreeMap;
use std::io;
use std::path::PathBuf;
use std::process::ExitStatus;
use std::sync::mpsc::{RecvTimeoutError, Sender, channel};
use std::sync::{Arc, Mutex, PoisonError};
use std::thread::JoinHandle;
use std::time::{Duration, Instant};
use tokio::runtime::Runtime;

/// A client looks for an answer so long beyond its time.
const LONGER: Duration = Duration::from_millis(1500);
/// How often what threads waited for a core is looked at.
const WAITS: Duration = Duration::from_millis(60);
/// All of it is about this broker.
const BROKER: usize = 0;

/// What a stage is set with.
pub struct Scene {
    /// The program's executable.
    pub exe: PathBuf,
    /// The data servers.
    pub plan: Plan,
    /// The figures of the deployment.
    pub deployment: Deployment,
    /// Text of the operator's file.
    pub operator: String,
    /// What is different in the broker's configuration.
    pub change: Box<dyn Fn(&mut Value)>,
}

/// One broker, its data servers behind relays, and its discovery. Dropped, all of it ends.
pub struct Stage {
    /// The broker's process.
    pub program: Program,
    /// The data servers. Those that join later have no relay.
    pub fleet: Fleet,
    configuration: Value,
    clock: Clock,
    view: View,
    discovery: Relay,
    relays: Vec<Relay>,
    /// Faults that last, by their data server: since when, and whether what was open is dead for good.
    faults: BTreeMap<usize, (Micros, bool)>,
    events: Arc<Mutex<Vec<Event>>>,
    heart: Option<Heart>,
    waits: Option<(Sender<()>, JoinHandle<Vec<Event>>)>,
    asked: usize,
    /// Lists with entries that had been told before the last change.
    told: usize,
    runtime: Runtime,
}

/// A query that is on its way.
pub struct Query {
    /// Its id.
    pub id: String,
    task: tokio::task::JoinHandle<Answer>,
}

impl Stage {
    /// Starts all of it; the broker listens.
    pub fn start(scene: &Scene) -> io::Result<Stage> {
        let runtime = tokio::runtime::Builder::new_multi_thread().worker_threads(2).enable_all().build()?;
        let fleet = Fleet::start(scene.plan)?;
        let (relays, discovery, view) = runtime.block_on(async {
            let mut relays = Vec::new();
            let mut endpoints = BTreeMap::new();
            for server in fleet.servers() {
                let relay = Relay::start(Some(server.address), Back::Frames).await?;
                endpoints.insert(server.name.clone(), relay.address);
                relays.push(relay);
            }
            let view = fleet.view(endpoints)?;
            let discovery = Relay::start(Some(view.address), Back::Noted).await?;
            io::Result::Ok((relays, discovery, view))
        })?;
        let known = view.tells(fleet.known());
        let mut configuration = scene.deployment.around(discovery.address, &known, "127.0.0.1:0");
        configuration["ops"] = json!("127.0.0.1:0");
        (scene.change)(&mut configuration);
        let program = Program::serve(&scene.exe, &configuration, &scene.operator, None)?;
        let clock = Clock::start();
        let pid = program.pid();
        let (stop, stopped) = channel();
        let look = move || {
            let (mut waits, mut events) = (Waits::default(), Vec::new());
            while stopped.recv_timeout(WAITS) == Err(RecvTimeoutError::Timeout) {
                events.extend(waits.look(clock.now(), &[pid]));
            }
            events
        };
        let waits = std::thread::Builder::new().name("waits".to_owned()).spawn(look)?;
        let started = Event { at: 0, seen: Seen::Broker { broker: BROKER, life: Life::Started } };
        Ok(Stage {
            program,
            fleet,
            configuration,
            clock,
            view,
            discovery,
            relays,
            faults: BTreeMap::new(),
            events: Arc::new(Mutex::new(vec![started])),
            heart: Some(Heart::start(clock)?),
            waits: Some((stop, waits)),
            asked: 0,
            told: 0,
            runtime,
        })
    }

    fn saw(&self, seen: Seen) {
        note(&self.events, self.clock.now(), seen);
    }

    /// A client asks, on a connection of its own, in a class by its place in the settings. Each query has a text of its own,
    /// and so values.
    pub fn ask(&mut self, class: usize, shards: &[usize], patience: Duration) -> Query {
        self.asked += 1;
        let id = format!("w{}", self.asked);
        let name = self.configuration["settings"]["Services"][class]["Name"].as_str().unwrap_or_default();
        let mut ask = Ask::new(&id, name, shards).patience(patience).saying(&id);
        // Where a class needs none, it is passed over.
        ask.key = Some(format!("key-{id}"));
        let (events, clock, address) = (self.events.clone(), self.clock, self.program.http1);
        let task = self.runtime.spawn(async move {
            let id = ask.id.clone();
            let lost = |error: io::Error| Answer::Reset(error.to_string());
            let mut connection = match Http1::connect(address).await {
                Ok(connection) => connection,
                Err(error) => return lost(error),
            };
            let asked = Asked {
                query: id.clone(),
                broker: BROKER,
                class,
                shards: ask.shards.clone(),
                key: ask.key.clone(),
                text: ask.text.clone(),
                patience: patience.as_micros() as Micros,
                connected: clock.now(),
            };
            note(&events, clock.now(), Seen::Asked(asked));
            let request = ask.request();
            let sent = tokio::time::timeout(patience + LONGER, connection.send(&request)).await;
            let port = connection.port().unwrap_or(0);
            let (seen, answer) = match sent {
                Err(_) => (Seen::Silent { query: id }, Answer::Reset("silence".to_owned())),
                Ok(Err(error)) => (Seen::Lost { query: id, port, fresh: false }, lost(error)),
                Ok(Ok(response)) => {
                    let answer = Answer::of(&response);
                    let seen = match &answer {
                        Answer::Served(whole, values) => {
                            Seen::Answered { query: id, whole: *whole, values: values.clone() }
                        }
                        Answer::Refused(_) => Seen::Refused { query: id },
                        _ => Seen::Failed { query: id },
                    };
                    (seen, answer)
                }
            };
            note(&events, clock.now(), seen);
            answer
        });
        Query { id, task }
    }

    /// Waits for the end of a query; without an answer it is [`Answer::Reset`].
    pub fn answer(&self, query: Query) -> Answer {
        self.runtime.block_on(query.task).unwrap_or_else(|error| Answer::Reset(error.to_string()))
    }

    /// Whether a query has ended.
    pub fn has_ended(&self, query: &Query) -> bool {
        query.task.is_finished()
    }

    /// A query's client closes its connection; as this returns that has happened. True: no answer had come.
    pub fn leave(&self, query: Query) -> bool {
        query.task.abort();
        let ended = self.runtime.block_on(query.task).is_ok();
        if !ended {
            self.saw(Seen::Left { query: query.id });
        }
        !ended
    }

    /// Begins a fault on the links to these data servers; what would end by itself lasts until it is healed.
    pub fn fault(&mut self, servers: impl IntoIterator<Item = usize>, fault: Fault) {
        for n in servers {
            let now = self.clock.now();
            let Some(relay) = self.relays.get(n) else { continue };
            relay.apply(fault);
            match fault {
                // One message is spoilt; nothing is held up.
                Fault::Spoil(_) => {}
                Fault::Heal => {
                    if let Some((since, lasting)) = self.faults.remove(&n) {
                        self.faulty(n, since, now, lasting);
                    }
                }
                Fault::Reset => self.faulty(n, now, now, false),
                _ => {
                    let lasting = fault == Fault::HalfOpen;
                    let since = self.faults.get(&n).map_or(now, |(since, _)| *since);
                    self.faults.insert(n, (since, lasting));
                }
            }
        }
    }

    fn faulty(&self, n: usize, from: Micros, until: Micros, lasting: bool) {
        note(&self.events, from, Seen::Faulty { link: Link::server(BROKER, n), until, lasting });
    }

    /// Changes the list in one version; the numbers of the data servers that join are told.
    pub fn change_list(&mut self, change: Change) -> io::Result<Vec<usize>> {
        change.drain.iter().for_each(|server| self.saw(Seen::Drained { server: *server }));
        self.told = self.lists().count();
        self.fleet.change(change)
    }

    /// When lists with entries were written to the broker.
    fn lists(&self) -> impl Iterator<Item = Instant> {
        self.view.wrote().into_iter().filter(|wrote| !wrote.entries.is_empty()).map(|wrote| wrote.at)
    }

    /// Whether the last change of the list has come to the broker, which has asked for what comes after it.
    pub fn list_is_known(&self) -> bool {
        let told = self.lists().nth(self.told);
        told.is_some_and(|told| self.view.called().last().is_some_and(|called| called.at > told))
    }

    /// Writes another configuration, and has the broker read it.
    pub fn reconfigure(&mut self, change: impl FnOnce(&mut Value)) -> io::Result<()> {
        change(&mut self.configuration);
        self.program.replace_configuration(&self.configuration.to_string())?;
        self.program.signal("HUP")
    }

    /// Tells the broker to end.
    pub fn terminate(&mut self) -> io::Result<()> {
        self.saw(Seen::Broker { broker: BROKER, life: Life::Told });
        self.program.signal("TERM")
    }

    /// Waits for the broker's end.
    pub fn exit(&mut self) -> io::Result<ExitStatus> {
        let status = self.program.exit()?;
        self.saw(Seen::Broker {
            broker: BROKER,
            life: if status.success() { Life::Ended } else { Life::Crashed },
        });
        Ok(status)
    }

    /// Attempts that have come to data servers for a query, and how many of them have ended.
    pub fn attempts(&self, query: &str) -> (usize, usize) {
        self.fleet.books(|books| {
            let of = |id: &str| id.rsplit_once('.').is_some_and(|(of, _)| of == query);
            let attempts = books.attempts().iter().filter(|a| of(&a.id));
            attempts.fold((0, 0), |(came, ended), a| (came + 1, ended + usize::from(a.ended.is_some())))
        })
    }

    /// Puts together what all have seen. What is asked still has no end in it.
    pub fn finish(mut self) -> io::Result<Record> {
        for (n, (since, lasting)) in std::mem::take(&mut self.faults) {
            self.faulty(n, since, self.clock.now(), lasting);
        }
        let ended = |e: &Event| matches!(e.seen, Seen::Broker { life: Life::Ended | Life::Crashed, .. });
        let told = self.events.lock().unwrap_or_else(PoisonError::into_inner).iter().any(ended);
        if !told && self.program.ended()?.is_some() {
            self.saw(Seen::Broker { broker: BROKER, life: Life::Crashed });
        }
        let mut events = std::mem::take(&mut *self.events.lock().unwrap_or_else(PoisonError::into_inner));
        events.extend(self.heart.take().map(Heart::stop).unwrap_or_default());
        if let Some((stop, waits)) = self.waits.take() {
            drop(stop);
            events.extend(waits.join().unwrap_or_default());
        }
        gather(self.clock, BROKER, &self.view.wrote(), &self.discovery.passed(), &mut events);
        self.fleet.books(|books| attempts(self.clock, books.attempts(), &mut events));
        Ok(Record::new(events))
    }
}

fn note(events: &Mutex<Vec<Event>>, at: Micros, seen: Seen) {
    events.lock().unwrap_or_else(PoisonError::into_inner).push(Event { at, seen });
}
