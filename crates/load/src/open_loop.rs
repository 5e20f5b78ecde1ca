//! Load at a rate, whatever comes back.

use crate::ask::{Answer, Ask};
use crate::direct::Direct;
use crate::http1::Http1;
use crate::http2::Http2;
use async_executor::LocalExecutor;
use async_io::Timer;
use hdrhistogram::Histogram;
use rand::{Rng, RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;
use std::cell::{Cell, RefCell};
use std::io;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};

/// Where the load goes.
#[derive(Clone, Copy, Debug)]
pub enum Target {
    /// Over so many HTTP/1.1 connections.
    Http1(SocketAddr, usize),
    /// Over so many HTTP/2 connections.
    Http2(SocketAddr, usize),
    /// Straight to a data server, with calls of its own protocol: what there is without a broker.
    Direct(SocketAddr),
}

/// The load.
#[derive(Clone, Debug)]
pub struct Load {
    /// Queries a second; `None`: as fast as so many at once are answered.
    pub rate: Option<f64>,
    /// Most queries at once. One that is due while so many are out waits, and is charged for it.
    pub at_once: usize,
    /// How long queries come.
    pub time: Duration,
    /// Time at the beginning that does not count.
    pub warm_up: Duration,
    /// Seed of the arrivals.
    pub seed: u64,
    /// The class, and the parts of a query.
    pub class: String,
    /// Shards of each query.
    pub shards: Vec<usize>,
}

/// What came of it.
#[derive(Debug)]
pub struct Outcome {
    /// Latency from when a query was due, in microseconds.
    pub latency: Histogram<u64>,
    /// Queries that were served, in the time that counts.
    pub served: u64,
    /// Queries that were not.
    pub unserved: u64,
    /// The time that counts.
    pub time: Duration,
}

enum Way {
    Http1(RefCell<Vec<Http1>>, SocketAddr),
    Http2(Vec<Http2>, Cell<usize>),
    Direct(RefCell<Option<Direct>>),
}

impl Way {
    async fn open(target: Target, executor: &LocalExecutor<'static>) -> io::Result<Way> {
        match target {
            Target::Http1(to, n) => {
                let mut connections = Vec::with_capacity(n);
                for _ in 0..n {
                    connections.push(Http1::connect(to).await?);
                }
                Ok(Way::Http1(RefCell::new(connections), to))
            }
            Target::Http2(to, n) => {
                let mut connections = Vec::with_capacity(n);
                for _ in 0..n {
                    connections.push(Http2::connect(to, executor).await?);
                }
                Ok(Way::Http2(connections, Cell::new(0)))
            }
            Target::Direct(to) => Ok(Way::Direct(RefCell::new(Some(Direct::connect(to).await?)))),
        }
    }

    async fn ask(&self, ask: &Ask) -> Answer {
        match self {
            Way::Http1(idle, to) => {
                let idle_one = idle.borrow_mut().pop();
                let connection = match idle_one {
                    Some(connection) => Ok(connection),
                    None => Http1::connect(*to).await,
                };
                let answer = async {
                    let mut connection = connection?;
                    let response = connection.send_or_reconnect(&ask.request()).await?;
                    io::Result::Ok((connection, response))
                };
                match answer.await {
                    Ok((connection, response)) => {
                        idle.borrow_mut().push(connection);
                        Answer::of(&response)
                    }
                    Err(error) => Answer::Reset(error.to_string()),
                }
            }
            Way::Http2(connections, next) => {
                next.set((next.get() + 1) % connections.len());
                connections[next.get()].ask(ask).await
            }
            Way::Direct(idle) => {
                let Some(mut direct) = idle.take() else { return Answer::Reset("one at a time".to_owned()) };
                let answer = direct.ask(ask).await;
                idle.replace(Some(direct));
                answer.unwrap_or_else(|e| Answer::Reset(e.to_string()))
            }
        }
    }
}

/// Runs a load to its end, on this thread.
pub fn open_loop(target: Target, load: &Load) -> io::Result<Outcome> {
    let executor = Rc::new(LocalExecutor::new());
    async_io::block_on(executor.run(run(target, load, executor.clone())))
}

async fn run(target: Target, load: &Load, executor: Rc<LocalExecutor<'static>>) -> io::Result<Outcome> {
    let way = Rc::new(Way::open(target, &executor).await?);
    let mut random = Pcg64Mcg::seed_from_u64(load.seed);
    let latency = Histogram::new_with_bounds(1, 60_000_000, 3).map_err(io::Error::other)?;
    let outcome =
        Rc::new(RefCell::new(Outcome { latency, served: 0, unserved: 0, time: load.time - load.warm_up }));
    let (permits, permit) = async_channel::bounded(load.at_once);
    for _ in 0..load.at_once {
        let _ = permits.try_send(());
    }
    let begun = Instant::now();
    let (counts, end) = (begun + load.warm_up, begun + load.time);
    let prefix: u32 = random.next_u32();
    let mut due = begun;
    for n in 0u64.. {
        match load.rate {
            // Exponential gaps: arrivals that know nothing of each other.
            Some(rate) => due += Duration::from_secs_f64(-(1.0 - random.random::<f64>()).ln() / rate),
            None => due = Instant::now(),
        }
        if due >= end {
            break;
        }
        if due > Instant::now() {
            Timer::at(due).await;
        }
        if permit.recv().await.is_err() {
            break;
        }
        if load.rate.is_none() {
            due = Instant::now();
        }
        let ask = Ask::new(format!("{prefix:08x}{n:08x}"), &load.class, &load.shards);
        let (way, outcome, permits, due) = (way.clone(), outcome.clone(), permits.clone(), due);
        executor
            .spawn(async move {
                let answer = way.ask(&ask).await;
                if due >= counts && Instant::now() <= end + Duration::from_secs(5) {
                    let mut outcome = outcome.borrow_mut();
                    if matches!(answer, Answer::Served(..)) {
                        outcome.served += 1;
                        outcome.latency.saturating_record(due.elapsed().as_micros() as u64);
                    } else {
                        outcome.unserved += 1;
                    }
                }
                let _ = permits.try_send(());
            })
            .detach();
    }
    for _ in 0..load.at_once {
        let late = async {
            Timer::after(Duration::from_secs(5)).await;
            Err(async_channel::RecvError)
        };
        if futures_lite::FutureExt::or(permit.recv(), late).await.is_err() {
            break;
        }
    }
    let done = outcome.replace(Outcome {
        latency: Histogram::new(3).map_err(io::Error::other)?,
        served: 0,
        unserved: 0,
        time: Duration::ZERO,
    });
    Ok(done)
}
