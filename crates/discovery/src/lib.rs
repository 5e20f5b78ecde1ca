//! Watches the list of data servers, from the version on that is known at the start.
//!
//! When to ask, and what to believe, is decided in `plover_watch`; here are the sockets and the bodies.

mod connection;
mod list;

use async_channel::{Receiver, Sender};
use async_executor::{LocalExecutor, Task};
use async_io::Timer;
use connection::{Answer, Connection, Outcome, Steps};
use futures_lite::FutureExt;
use futures_lite::future::poll_once;
use plover_model::server::Targets;
use plover_model::time::Micros;
use plover_recovery::{Budget, Kind};
use plover_runtime::clock::Clock;
use plover_watch::{ConnectionId, Fault, Heard, Ledger, Order, Watch};
use std::cell::RefCell;
use std::io;
use std::net::SocketAddr;
use std::rc::Rc;
use tracing::{debug, info, warn};

pub use plover_watch::Times;

/// Where news of the list goes.
pub type Sink = Rc<dyn Fn(Targets)>;

/// With what a watch begins.
pub struct Start<'a> {
    /// Where discovery is.
    pub address: SocketAddr,
    /// The list that is remembered: no older one revives a server that drains or is gone in it.
    pub known: &'a Targets,
    /// News since this version is asked for; `None`: the whole list.
    pub index: Option<u64>,
    /// For the spread of attempts.
    pub seed: u64,
    /// The figures of the watch.
    pub times: Times,
    /// With a budget that begins now, connections are made at its pace.
    pub budget: Option<Budget>,
}

/// The one watch of the list, and so the owner of its connections.
pub struct Discovery {
    executor: Rc<LocalExecutor<'static>>,
    site: Rc<Site>,
    /// Where it watches, and by which figures.
    at: (SocketAddr, Times),
    seed: u64,
    /// Dropped when the watch moves: the old one then takes what has come, and ends.
    _stays: Sender<()>,
    /// Dropping it ends the watch and closes its connections.
    watch: Option<Task<()>>,
}

impl Discovery {
    /// Begins to watch; whatever comes goes to the sink.
    pub fn start(executor: Rc<LocalExecutor<'static>>, sink: Sink, start: Start<'_>) -> Self {
        let clock = Clock::start();
        let mut ledger = Ledger::default();
        ledger.take(clock.now(), &mut start.known.clone());
        let pace = start.budget.map(|budget| Pace { budget: RefCell::new(budget), start: clock.now() });
        let site = Rc::new(Site { clock, sink, ledger: RefCell::new(ledger), pace });
        let watch = Watch::new(clock.now(), start.times, start.index, start.seed);
        let (_stays, moves) = async_channel::bounded(1);
        let watch = Some(executor.spawn(site.clone().stay(moves, start.address, watch)));
        Discovery { executor, site, at: (start.address, start.times), seed: start.seed, _stays, watch }
    }

    /// Takes over from another process of the broker which servers drain or are gone by a list of this version:
    /// no older list revives them.
    pub fn hold<'a>(&self, rev: u64, drained: impl Iterator<Item = &'a str>) {
        self.site.ledger.borrow_mut().hold(rev, drained);
    }

    /// Watches at another address. Its versions need not be those of the last one, and what changed meanwhile
    /// is known to nobody: it is asked for the whole list first. What the last one has written by now was told, and is
    /// taken before; nothing that it writes later is.
    ///
    /// A watch that is there already, with these figures, goes on: most new configurations change something else, and the whole
    /// list of a great fleet takes minutes of what a broker may spend on control.
    pub fn move_to(&mut self, address: SocketAddr, times: Times) {
        if std::mem::replace(&mut self.at, (address, times)) == (address, times) {
            return;
        }
        self.seed = self.seed.rotate_left(1);
        let (stays, moves) = async_channel::bounded(1);
        self._stays = stays;
        let (site, seed, old) = (self.site.clone(), self.seed, self.watch.take());
        self.watch = Some(self.executor.spawn(async move {
            if let Some(old) = old {
                // It ends without waiting for anything.
                old.await;
            }
            let watch = Watch::moved(site.clock.now(), times, seed);
            site.stay(moves, address, watch).await;
        }));
    }
}

/// The pace at which watches begin.
struct Pace {
    budget: RefCell<Budget>,
    /// Zero of the budget's clock.
    start: Micros,
}

/// What all watches of a broker share, whatever they watch at.
struct Site {
    clock: Clock,
    sink: Sink,
    ledger: RefCell<Ledger>,
    pace: Option<Pace>,
}

impl Site {
    /// Watches until the watch moves.
    async fn stay(self: Rc<Self>, moves: Receiver<()>, discovery: SocketAddr, watch: Watch) {
        // The watch goes before: what its socket holds is taken before the move is heeded.
        let moved = async {
            let _ = moves.recv().await;
        };
        self.run(&moves, discovery, watch).or(moved).await;
    }

    /// Watches until the watch moves, and is to be dropped then wherever it waits. A list that cannot be had or read leaves
    /// the last one in force.
    async fn run(&self, moves: &Receiver<()>, discovery: SocketAddr, watch: Watch) {
        let mut session = Session { site: self, discovery, watch, steps: Steps::default(), idle: None };
        while !moves.is_closed() {
            session.step().await;
        }
        session.take_what_has_come().await;
    }

    /// An attempt or a call came to nothing, or has not yet come to anything in the usual time.
    fn refused(&self, now: Micros) {
        if let Some(pace) = &self.pace {
            pace.budget.borrow_mut().refused(now.saturating_sub(pace.start), Kind::List);
        }
    }

    /// Takes the fleet's room for another attempt. The error is when there will be some.
    fn room(&self, now: Micros) -> Result<(), Micros> {
        let Some(pace) = &self.pace else { return Ok(()) };
        let next = pace.budget.borrow_mut().take(now.saturating_sub(pace.start), Kind::List);
        next.map_err(|next| pace.start + next)
    }
}

/// How an answer was of no use, and what its connection said.
type Failure = (Fault, io::Error);

/// The watch at one address.
struct Session<'a> {
    site: &'a Site,
    discovery: SocketAddr,
    watch: Watch,
    steps: Steps,
    /// The connection on which no call is out.
    idle: Option<(ConnectionId, Connection)>,
}

impl Session<'_> {
    /// The next event or order.
    async fn step(&mut self) {
        let due = self.site.clock.instant(self.watch.due());
        let timer = async {
            Timer::at(due).await;
            None
        };
        // Events go first: an answer that is there is not overdue.
        let event = async { Some(self.steps.next().await) };
        match event.or(timer).await {
            Some((id, outcome)) => self.event(id, outcome),
            None => self.turn(),
        }
        let watch = &self.watch;
        self.steps.retain(|id| watch.holds(id));
        self.idle.take_if(|(id, _)| !watch.holds(*id));
    }

    /// Takes the answers that have come, and waits for nothing.
    async fn take_what_has_come(&mut self) {
        while let Some((id, outcome)) = poll_once(self.steps.next()).await {
            self.event(id, outcome);
        }
    }

    fn turn(&mut self) {
        let now = self.site.clock.now();
        if now < self.watch.due() {
            return;
        }
        if self.watch.attempt_due(now) && self.site.room(now).is_err_and(|next| self.watch.put_off(now, next))
        {
            return;
        }
        if self.site.ledger.borrow_mut().release(now) {
            self.watch.want_whole();
        }
        match self.watch.turn(now) {
            None => {}
            Some(Order::Connect(id)) => self.steps.connect(id, self.discovery),
            Some(Order::Call(id, call)) => match self.idle.take() {
                Some((_, connection)) => self.steps.call(id, connection, call),
                None => self.failed(id, Fault::Broken, &io::ErrorKind::NotConnected.into()),
            },
            Some(Order::Overdue(_)) => {
                self.site.refused(now);
                info!(name: "discovery_overdue", discovery = %self.discovery);
            }
            Some(Order::Close(_)) => {
                let error = io::Error::from(io::ErrorKind::TimedOut);
                warn!(name: "discovery_failed", error = %error);
            }
        }
    }

    fn event(&mut self, id: ConnectionId, outcome: Outcome) {
        match outcome {
            Outcome::Connected(connection) => {
                if let Some(call) = self.watch.connected(id, self.site.clock.now()) {
                    self.steps.call(id, connection, call);
                }
            }
            Outcome::Answered(connection, answer) => match self.answered(id, answer) {
                Ok(()) if self.watch.holds(id) => self.idle = Some((id, connection)),
                Ok(()) => {}
                Err((fault, error)) => self.failed(id, fault, &error),
            },
            Outcome::Broken(error) => self.failed(id, Fault::Broken, &error),
        }
    }

    fn failed(&mut self, id: ConnectionId, fault: Fault, error: &io::Error) {
        let now = self.site.clock.now();
        self.watch.failed(id, now, fault);
        self.site.refused(now);
        warn!(name: "discovery_failed", error = %error);
    }

    fn answered(&mut self, id: ConnectionId, answer: Answer) -> Result<(), Failure> {
        let status = answer.value.status().as_u16();
        if status != 200 {
            return Err((Fault::Status(status), io::Error::other(format!("status {status}"))));
        }
        let read = list::read(answer.value.body());
        let mut targets = read.map_err(|error| (Fault::Unreadable, error))?;
        let tells = targets.all || !targets.targets.is_empty();
        let now = self.site.clock.now();
        let heard = Heard { rev: targets.rev, tells, closes: !answer.keep_alive };
        if !self.watch.answered(id, now, heard) {
            debug!(name: "discovery_answer_superseded", rev = targets.rev);
            return Ok(());
        }
        if tells {
            let held = self.site.ledger.borrow_mut().take(now, &mut targets);
            if held > 0 {
                info!(name: "older_list", rev = targets.rev, held);
            }
            (self.site.sink)(targets);
        }
        Ok(())
    }
}
