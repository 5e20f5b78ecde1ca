//! Watches the list of data servers, from the version on that is known at the start.
//!
//! When to ask, and what to believe, is decided in `plover_watch`; here are the sockets and the bodies.

mod line;
mod list;

use async_channel::{Receiver, Sender};
use async_executor::{LocalExecutor, Task};
use async_io::Timer;
use futures_lite::FutureExt;
use line::Line;
use plover_model::server::Targets;
use plover_model::time::Micros;
use plover_recovery::{Budget, Kind};
use plover_runtime::clock::Clock;
use plover_watch::{Fault, Heard, Ledger, Order, State, Watch};
use std::cell::RefCell;
use std::io;
use std::net::SocketAddr;
use std::rc::Rc;
use tracing::{info, warn};

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

/// The one watch of the list, and so the owner of its connection.
pub struct Discovery {
    executor: Rc<LocalExecutor<'static>>,
    site: Rc<Site>,
    /// Where it watches, and by which figures.
    at: (SocketAddr, Times),
    seed: u64,
    /// Dropped when the watch moves: the old one then takes what has come, and ends.
    _stays: Sender<()>,
    /// Dropping it ends the watch and closes its connection.
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
    async fn run(&self, moves: &Receiver<()>, discovery: SocketAddr, mut watch: Watch) {
        let mut line: Option<Line> = None;
        while !moves.is_closed() {
            if matches!(watch.state(), State::Resting { .. }) {
                line = None;
            }
            Timer::at(self.clock.instant(watch.due())).await;
            let now = self.clock.now();
            if matches!(watch.state(), State::Resting { goes_on: false, .. })
                && self.room(now).is_err_and(|next| watch.put_off(now, next))
            {
                continue;
            }
            if self.ledger.borrow_mut().release(now) {
                watch.want_whole();
            }
            let ended = match watch.turn(now) {
                None => continue,
                Some(Order::GiveUp) => Err((None, io::ErrorKind::TimedOut.into())),
                Some(Order::Connect) => match Line::connect(discovery, self.clock, &watch).await {
                    Ok(new) => {
                        let call = watch.connected(self.clock.now());
                        self.ask(line.insert(new), call, &mut watch).await
                    }
                    Err(error) => Err((Some(Fault::Broken), error)),
                },
                Some(Order::Call(call)) => match &mut line {
                    Some(line) => self.ask(line, call, &mut watch).await,
                    None => Err((Some(Fault::Broken), io::ErrorKind::NotConnected.into())),
                },
            };
            let Err((fault, error)) = ended else { continue };
            let now = self.clock.now();
            match fault {
                // The watch sees by itself that its time is over.
                Some(Fault::Broken) if error.kind() == io::ErrorKind::TimedOut && now >= watch.due() => {
                    continue;
                }
                Some(fault) => watch.failed(now, fault),
                None => {}
            }
            if let Some(pace) = &self.pace {
                pace.budget.borrow_mut().refused(now - pace.start, Kind::List);
            }
            warn!(name: "discovery_failed", error = %error);
        }
    }

    /// One call and its answer.
    async fn ask(
        &self,
        line: &mut Line,
        call: plover_watch::Call,
        watch: &mut Watch,
    ) -> Result<(), (Option<Fault>, io::Error)> {
        let broken = |error| (Some(Fault::Broken), error);
        let message = line.exchange(call, self.clock, watch).await.map_err(broken)?;
        let status = message.value.status().as_u16();
        if status != 200 {
            return Err((Some(Fault::Status(status)), io::Error::other(format!("status {status}"))));
        }
        let read = list::read(message.value.body());
        let mut targets = read.map_err(|error| (Some(Fault::Unreadable), error))?;
        let tells = targets.all || !targets.targets.is_empty();
        let now = self.clock.now();
        watch.answered(now, Heard { rev: targets.rev, tells, closes: !message.keep_alive });
        if tells {
            let held = self.ledger.borrow_mut().take(now, &mut targets);
            if held > 0 {
                info!(name: "older_list", rev = targets.rev, held);
            }
            (self.sink)(targets);
        }
        Ok(())
    }

    /// Takes the fleet's room for another attempt. The error is when there will be some.
    fn room(&self, now: Micros) -> Result<(), Micros> {
        let Some(pace) = &self.pace else { return Ok(()) };
        let next = pace.budget.borrow_mut().take(now.saturating_sub(pace.start), Kind::List);
        next.map_err(|next| pace.start + next)
    }
}
