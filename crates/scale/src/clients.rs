//! Clients of one broker: queries at a rate whatever comes back, or one at a time, and how each ended.

use async_executor::LocalExecutor;
use async_io::Timer;
use futures_lite::FutureExt;
use hdrhistogram::Histogram;
use http::Response;
use plover_load::{Answer, Ask, Http1};
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;
use std::cell::RefCell;
use std::collections::BTreeMap;
use std::io;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};

/// The load.
#[derive(Clone, Debug)]
pub struct Load {
    /// Queries a second, with gaps that know nothing of each other; `None`: the next one when the last is answered.
    pub rate: Option<f64>,
    /// How long queries come.
    pub time: Duration,
    /// Most queries of it all; the load ends with the first of the two.
    pub most: usize,
    /// Most queries at once, each on a connection of its own. One that is due beyond that is counted as [`Ended::Unsent`].
    pub at_once: usize,
    /// The class.
    pub class: String,
    /// Shards of each query.
    pub shards: Vec<usize>,
    /// How long a client waits; half a second later it stops listening.
    pub patience: Duration,
    /// Seed of ids and gaps.
    pub seed: u64,
}

/// How a query ended, for whoever asked.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Ended {
    /// Served whole.
    Whole,
    /// Served in part.
    Part,
    /// Refused, with a time to come back or without.
    Refused,
    /// Another status.
    Failed,
    /// The connection ended.
    Reset,
    /// Nothing came in the client's time.
    Unanswered,
    /// It could not be sent: too many were out.
    Unsent,
}

/// What came of a load.
#[derive(Debug)]
pub struct Outcome {
    /// Time from when a query was due to its last byte, of those that were served, in microseconds.
    pub latency: Histogram<u64>,
    /// The same of those that were refused or failed: how late they were told.
    pub told: Histogram<u64>,
    /// Queries by their ends.
    pub ends: BTreeMap<Ended, u64>,
    /// Queries by status, 0: none came.
    pub statuses: BTreeMap<u16, u64>,
    /// Refusals that said when to come back.
    pub retry_after: u64,
    /// Bytes of answers.
    pub bytes: u64,
    /// Why the last query had no answer, where one had none.
    pub fault: Option<String>,
    /// How long it took.
    pub took: Duration,
}

impl Outcome {
    fn new() -> io::Result<Outcome> {
        let histogram = || Histogram::new_with_bounds(1, 60_000_000, 3).map_err(io::Error::other);
        Ok(Outcome {
            latency: histogram()?,
            told: histogram()?,
            ends: BTreeMap::new(),
            statuses: BTreeMap::new(),
            retry_after: 0,
            bytes: 0,
            fault: None,
            took: Duration::ZERO,
        })
    }

    /// Queries that ended like that.
    pub fn ended(&self, how: Ended) -> u64 {
        self.ends.get(&how).copied().unwrap_or(0)
    }

    /// Queries that were due.
    pub fn all(&self) -> u64 {
        self.ends.values().sum()
    }

    /// Queries that were served, whole or in part.
    pub fn served(&self) -> u64 {
        self.ended(Ended::Whole) + self.ended(Ended::Part)
    }

    fn note(&mut self, ended: Ended, response: Option<&Response<Vec<u8>>>, took: Duration) {
        *self.ends.entry(ended).or_default() += 1;
        *self.statuses.entry(response.map_or(0, |r| r.status().as_u16())).or_default() += 1;
        if let Some(response) = response {
            self.bytes += response.body().len() as u64;
        }
        let us = took.as_micros() as u64;
        match ended {
            Ended::Whole | Ended::Part => self.latency.saturating_record(us),
            Ended::Unsent => {}
            _ => self.told.saturating_record(us),
        }
    }
}

/// Runs a load to its end, on this thread.
pub fn run(to: SocketAddr, load: &Load) -> io::Result<Outcome> {
    let executor = Rc::new(LocalExecutor::new());
    async_io::block_on(executor.run(drive(to, load, executor.clone())))
}

async fn drive(to: SocketAddr, load: &Load, executor: Rc<LocalExecutor<'static>>) -> io::Result<Outcome> {
    let mut random = Pcg64Mcg::seed_from_u64(load.seed);
    let prefix: u32 = random.random();
    let outcome = Rc::new(RefCell::new(Outcome::new()?));
    let idle: Rc<RefCell<Vec<Http1>>> = Rc::default();
    let (done, finished) = async_channel::unbounded::<()>();
    let begun = Instant::now();
    let end = begun + load.time;
    let mut due = begun;
    let mut out = 0;
    for n in 0..load.most {
        match load.rate {
            Some(rate) => {
                due += Duration::from_secs_f64(-(1.0 - random.random::<f64>()).ln() / rate.max(1e-3));
                if due < end && due > Instant::now() {
                    Timer::at(due).await;
                }
            }
            None => {
                if out > 0 {
                    out -= usize::from(finished.recv().await.is_ok());
                }
                due = Instant::now();
            }
        }
        if due >= end {
            break;
        }
        while finished.try_recv().is_ok() {
            out -= 1;
        }
        if out >= load.at_once {
            outcome.borrow_mut().note(Ended::Unsent, None, Duration::ZERO);
            continue;
        }
        out += 1;
        let ask = Ask::new(format!("{prefix:08x}{n:08x}"), &load.class, &load.shards).patience(load.patience);
        let (idle, outcome, done) = (idle.clone(), outcome.clone(), done.clone());
        executor
            .spawn(async move {
                let (ended, response) = one(to, &ask, &idle).await;
                let mut outcome = outcome.borrow_mut();
                match &response {
                    Ok(response) => {
                        outcome.retry_after += u64::from(response.headers().contains_key("retry-after"));
                    }
                    Err(error) => outcome.fault = Some(format!("{ended:?}: {error}")),
                }
                outcome.note(ended, response.as_ref().ok(), due.elapsed());
                let _ = done.try_send(());
            })
            .detach();
    }
    // Each ends by itself, in its patience and half a second.
    while out > 0 && finished.recv().await.is_ok() {
        out -= 1;
    }
    let mut done = outcome.replace(Outcome::new()?);
    done.took = begun.elapsed();
    Ok(done)
}

async fn one(
    to: SocketAddr,
    ask: &Ask,
    idle: &RefCell<Vec<Http1>>,
) -> (Ended, io::Result<Response<Vec<u8>>>) {
    let exchange = async {
        let free = idle.borrow_mut().pop();
        let mut connection = match free {
            Some(connection) => connection,
            None => Http1::connect(to).await?,
        };
        let response = connection.send_or_reconnect(&ask.request()).await?;
        let closes = response.headers().get("connection").is_some_and(|v| v == "close");
        if !closes {
            idle.borrow_mut().push(connection);
        }
        io::Result::Ok(response)
    };
    let late = async {
        Timer::after(ask.patience + Duration::from_millis(500)).await;
        Err(io::ErrorKind::TimedOut.into())
    };
    match exchange.or(late).await {
        Ok(response) => {
            let ended = match Answer::of(&response) {
                Answer::Served(true, _) => Ended::Whole,
                Answer::Served(false, _) => Ended::Part,
                Answer::Refused(_) => Ended::Refused,
                Answer::Failed(_) | Answer::Reset(_) => Ended::Failed,
            };
            (ended, Ok(response))
        }
        Err(error) if error.kind() == io::ErrorKind::TimedOut => (Ended::Unanswered, Err(error)),
        Err(error) => (Ended::Reset, Err(error)),
    }
}
