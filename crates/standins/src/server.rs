//! One data server: connections, the work in hand, and faults by switch.

use crate::books::{Attempt, Books, Ended};
use crate::value;
use async_channel::{Receiver, Sender};
use async_io::{Async, Timer};
use futures_lite::{AsyncReadExt, AsyncWriteExt, FutureExt};
use plover_frames::from_broker::{End, FromBroker, Part, answer, decode, probe_answer, rejected};
use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::io;
use std::net::{TcpListener, TcpStream};
use std::rc::Rc;
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

/// What is wrong with a data server.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Fault {
    /// Nothing.
    #[default]
    None,
    /// Each part takes so much longer.
    Slow(Duration),
    /// It takes parts and answers none.
    Hang,
    /// Every so many'th part ends in an error: 1 is all of them.
    Errors(u32),
    /// It turns every part away.
    TurnsAway,
    /// It resets the connection in place of every so many'th answer.
    Resets(u32),
    /// It sends noise in place of every so many'th answer.
    Garbles(u32),
    /// Nothing listens, and its connections are reset.
    Dead,
}

/// What a data server is told from outside, and shows.
#[derive(Debug, Default)]
pub(crate) struct Switch {
    pub(crate) fault: Fault,
    /// How long a part takes.
    pub(crate) work: Duration,
    /// It began at this moment and serves at a share of its speed that grows to the full one in this time.
    pub(crate) cold: Option<(Instant, Duration)>,
    /// When its drain was told.
    pub(crate) drained: Option<Instant>,
}

/// The share of its speed that a server begins with.
const COLD_FROM: f64 = 0.2;

impl Switch {
    /// How long a part takes now.
    fn takes(&self, now: Instant) -> Duration {
        let slow = if let Fault::Slow(more) = self.fault { more } else { Duration::ZERO };
        let share = self.cold.map_or(1.0, |(since, warm_after)| {
            let grown =
                now.saturating_duration_since(since).as_secs_f64() / warm_after.as_secs_f64().max(1e-3);
            COLD_FROM + (1.0 - COLD_FROM) * grown.min(1.0)
        });
        (self.work + slow).div_f64(share)
    }
}

/// One data server, on the fleet's thread.
pub(crate) struct Server {
    pub(crate) name: String,
    pub(crate) switch: Arc<Mutex<Switch>>,
    pub(crate) books: Arc<Mutex<Books>>,
    pub(crate) held: Cell<usize>,
    /// Whether its answers tell how much it holds.
    pub(crate) reports: bool,
    /// Parts that came, for faults that hit every so many'th.
    pub(crate) count: Cell<u32>,
    /// When each core is free; none: there are as many as are wanted.
    pub(crate) cores: RefCell<Vec<Instant>>,
    /// Closed, and replaced, when all connections are to end.
    pub(crate) alive: RefCell<(Sender<()>, Receiver<()>)>,
}

/// What is written to a broker.
enum Out {
    Bytes(Vec<u8>),
    Reset,
}

impl Server {
    fn fault(&self) -> Fault {
        self.switch.lock().map_or(Fault::None, |s| s.fault)
    }

    /// Serves a connection until either side ends it.
    pub(crate) async fn connection(self: Rc<Self>, stream: Async<TcpStream>) {
        let _ = stream.get_ref().set_nodelay(true);
        let alive = self.alive.borrow().1.clone();
        let out: RefCell<BTreeMap<String, usize>> = RefCell::default();
        let killed = async {
            let _: Result<(), _> = alive.recv().await;
            Err(io::ErrorKind::ConnectionReset.into())
        };
        let ended = self.serve(&stream, &out).or(killed).await;
        if ended.is_err_and(|e| e.kind() == io::ErrorKind::ConnectionReset) {
            reset(&stream);
        }
        for (_, place) in out.take() {
            self.given_up(place);
        }
    }

    /// When work that has come is done. What is given up keeps its turn.
    fn done(&self, now: Instant, takes: Duration) -> Instant {
        let mut cores = self.cores.borrow_mut();
        let Some(free) = cores.iter_mut().min() else { return now + takes };
        *free = now.max(*free) + takes;
        *free
    }

    fn given_up(&self, place: usize) {
        self.held.set(self.held.get().saturating_sub(1));
        self.book(|b| b.ended(place, Ended::GivenUp, Instant::now()));
    }

    fn book<T: Default>(&self, entry: impl FnOnce(&mut Books) -> T) -> T {
        self.books.lock().map_or_else(|_| T::default(), |mut books| entry(&mut books))
    }

    async fn serve(
        &self,
        stream: &Async<TcpStream>,
        out: &RefCell<BTreeMap<String, usize>>,
    ) -> io::Result<()> {
        // The work of one connection, by when it is done: bounded by what brokers send on one.
        let work: RefCell<BTreeMap<(Instant, usize), Part>> = RefCell::default();
        let bell = async_channel::bounded::<()>(1);
        let read = async {
            let mut input = Vec::new();
            let mut chunk = vec![0; 16 * 1024];
            loop {
                let mut used = 0;
                loop {
                    match decode(&input[used..]) {
                        Ok(None) => break,
                        Ok(Some((message, length))) => {
                            used += length;
                            self.hear(message, out, &work, stream).await?;
                            let _ = bell.0.try_send(());
                        }
                        Err(bad) => {
                            (&*stream).write_all(&rejected(bad.0)).await?;
                            return Ok(());
                        }
                    }
                }
                input.drain(..used);
                match (&*stream).read(&mut chunk).await? {
                    0 => return Ok(()),
                    n => input.extend_from_slice(&chunk[..n]),
                }
            }
        };
        let write = async {
            loop {
                let next = work.borrow().first_key_value().map(|(at, _)| at.0);
                let rung = async { _ = bell.1.recv().await };
                let Some(at) = next else {
                    rung.await;
                    continue;
                };
                if at > Instant::now() {
                    rung.or(async { _ = Timer::at(at).await }).await;
                    continue;
                }
                let mut bytes = Vec::new();
                while let Some(((_, place), part)) = {
                    let mut work = work.borrow_mut();
                    let due = work.first_key_value().is_some_and(|((at, _), _)| *at <= Instant::now());
                    if due { work.pop_first() } else { None }
                } {
                    if out.borrow_mut().remove(&part.id).is_none() {
                        continue; // given up meanwhile
                    }
                    self.held.set(self.held.get().saturating_sub(1));
                    self.book(|b| b.ended(place, Ended::Answered, Instant::now()));
                    match self.finish(&part) {
                        Out::Bytes(more) => bytes.extend(more),
                        Out::Reset => return Err(io::ErrorKind::ConnectionReset.into()),
                    }
                }
                (&*stream).write_all(&bytes).await?;
            }
        };
        read.or(write).await
    }

    async fn hear(
        &self,
        message: FromBroker,
        out: &RefCell<BTreeMap<String, usize>>,
        work: &RefCell<BTreeMap<(Instant, usize), Part>>,
        mut stream: &Async<TcpStream>,
    ) -> io::Result<()> {
        match message {
            FromBroker::Call(parts) => {
                let now = Instant::now();
                self.book(Books::called);
                for part in parts {
                    let (fault, takes, drained) = {
                        let Ok(switch) = self.switch.lock() else { return Ok(()) };
                        (switch.fault, switch.takes(now), switch.drained)
                    };
                    let place = self.book(|b| {
                        b.came(Attempt {
                            server: self.name.clone(),
                            id: part.id.clone(),
                            shard: part.shard,
                            key: part.key.clone(),
                            came: now,
                            drained,
                            ran: fault != Fault::TurnsAway,
                            ended: None,
                        })
                    });
                    self.held.set(self.held.get() + 1);
                    out.borrow_mut().insert(part.id.clone(), place);
                    if fault != Fault::Hang {
                        work.borrow_mut().insert((self.done(now, takes), place), part);
                    }
                }
                Ok(())
            }
            FromBroker::GiveUp(id) => {
                if let Some(place) = out.borrow_mut().remove(&id) {
                    self.given_up(place);
                }
                Ok(())
            }
            FromBroker::Probe(load) => stream.write_all(&probe_answer(load, self.held.get())).await,
        }
    }

    /// What a part that is done is answered with.
    fn finish(&self, part: &Part) -> Out {
        let count = self.count.get().wrapping_add(1);
        self.count.set(count);
        let hits = |every: u32| every > 0 && count.is_multiple_of(every);
        let end = match self.fault() {
            Fault::Resets(every) if hits(every) => return Out::Reset,
            Fault::Garbles(every) if hits(every) => return Out::Bytes(b"\xff\xff\xff\xff noise".to_vec()),
            Fault::Errors(every) if hits(every) => End::Bad,
            Fault::TurnsAway => End::Later,
            _ => End::Good,
        };
        let value = if end == End::Good { value(part.shard, &part.text) } else { String::new() };
        Out::Bytes(answer(&part.id, end, self.reports.then(|| self.held.get()), &value))
    }
}

/// Ends a connection so that its peer sees a reset: what it sent is left unread.
fn reset(stream: &Async<TcpStream>) {
    // Without SO_LINGER, which the standard library does not offer, unread bytes are what makes an end a reset; a
    // plain end serves where none are there.
    let _ = stream.get_ref().shutdown(std::net::Shutdown::Both);
}

/// Accepts until dropped.
pub(crate) async fn accept(
    server: Rc<Server>,
    listener: TcpListener,
    executor: Rc<async_executor::LocalExecutor<'static>>,
) {
    let Ok(listener) = Async::new(listener) else { return };
    loop {
        match listener.accept().await {
            Ok((stream, _)) => executor.spawn(server.clone().connection(stream)).detach(),
            Err(_) => _ = Timer::after(Duration::from_millis(20)).await,
        }
    }
}
