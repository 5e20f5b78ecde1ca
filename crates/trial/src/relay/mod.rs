//! A relay: one link, through which all of its connections go, and where its faults are.
//!
//! The relay owns its link. Each connection has a task with one buffer for each way; what does not fit stays in the
//! kernel's, so that whoever sends feels TCP's own window.

mod answers;
mod held;

use crate::record::Closer;
use crate::script::{Fault, Way};
use crate::spoilt::{After, Spoilt};
use answers::Answers;
use held::Held;
use std::borrow::Cow;
use std::io;
use std::net::{Ipv4Addr, SocketAddr};
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::{Duration, Instant};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::tcp::{ReadHalf, WriteHalf};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;
use tokio::task::{JoinHandle, JoinSet};

/// Bytes under way in one direction of a connection.
const BUFFER: usize = 16 * 1024;
/// Connections at once; more are reset.
const CONNECTIONS: usize = 512;
/// Notes that are kept of each kind.
const KEPT: usize = 200_000;

/// How bytes pass.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
enum Passage {
    #[default]
    Through,
    Swallowed,
    Stalled,
    Delayed(Duration),
}

/// What holds for the connections of a link.
#[derive(Clone, Copy, Debug, Default)]
struct State {
    target: Option<SocketAddr>,
    forward: Passage,
    back: Passage,
    /// New connections lead nowhere.
    cut: bool,
    /// New connections are reset.
    refuses: bool,
    /// New connections do not come up.
    held: bool,
    /// Connections with lower numbers are silent.
    hushed_below: u64,
    /// Connections with lower numbers are reset.
    reset_below: u64,
}

/// A connection that has ended.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Closed {
    pub(crate) at: Instant,
    /// The port of the side that connected.
    pub(crate) port: u16,
    pub(crate) by: Closer,
}

/// Bytes that were handed to the side that connected.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Passed {
    pub(crate) at: Instant,
    /// The relay's port towards the side that accepted.
    pub(crate) port: u16,
    /// All so far, on that connection.
    pub(crate) total: u64,
}

/// What a relay has seen.
#[derive(Debug, Default)]
struct Notes {
    closed: Vec<Closed>,
    passed: Vec<Passed>,
    /// Ports of connections that only filled the queue.
    fillers: Vec<u16>,
}

struct Shared {
    state: watch::Sender<State>,
    /// Number of the next connection, from 1.
    next: AtomicU64,
    /// What is done with what passes back.
    back: Back,
    /// What becomes of the next answer.
    spoilt: Mutex<Option<Spoilt>>,
    notes: Mutex<Notes>,
}

/// What a relay does with the bytes that pass back.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Back {
    /// Nothing.
    Plain,
    /// It notes them.
    Noted,
    /// It knows them as a data server's frames, so that one can be spoilt.
    Frames,
}

/// A link's relay. Dropped, its connections end.
pub(crate) struct Relay {
    /// Where it listens.
    pub(crate) address: SocketAddr,
    shared: Arc<Shared>,
    listener: Arc<TcpListener>,
    /// What keeps new connections from coming up.
    held: Mutex<Option<Held>>,
    accepting: JoinHandle<()>,
}

impl Drop for Relay {
    fn drop(&mut self) {
        self.accepting.abort();
    }
}

impl Relay {
    /// A relay to a target that may be known later.
    pub(crate) async fn start(target: Option<SocketAddr>, back: Back) -> io::Result<Relay> {
        let listener = Arc::new(TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).await?);
        let address = listener.local_addr()?;
        let (state, _) = watch::channel(State { target, ..State::default() });
        let (spoilt, notes) = Default::default();
        let shared = Arc::new(Shared { state, next: AtomicU64::new(1), back, spoilt, notes });
        let accepting = tokio::spawn(accept(listener.clone(), shared.clone()));
        Ok(Relay { address, shared, listener, held: Mutex::default(), accepting })
    }

    /// Where new connections go from now on.
    pub(crate) fn set_target(&self, target: Option<SocketAddr>) {
        self.shared.state.send_modify(|s| s.target = target);
    }

    /// Begins a fault; what one before has done to open connections stays done.
    pub(crate) fn apply(&self, fault: Fault) {
        let next = self.shared.next.load(Ordering::SeqCst);
        let set = |s: &mut State, way: Way, passage| {
            if way.forward() {
                s.forward = passage;
            }
            if way.back() {
                s.back = passage;
            }
        };
        if let Fault::Spoil(spoilt) = fault {
            *self.shared.spoilt.lock().unwrap_or_else(PoisonError::into_inner) = Some(spoilt);
        }
        if fault == Fault::Heal {
            // Before anybody accepts again: who filled the queue is known by then.
            self.hold(false);
        }
        self.shared.state.send_modify(|s| match fault {
            Fault::Swallow(way, _) => set(s, way, Passage::Swallowed),
            Fault::Stall(way, _) => set(s, way, Passage::Stalled),
            Fault::Delay(way, by, _) => set(s, way, Passage::Delayed(Duration::from_micros(by))),
            Fault::Cut(_) => (s.cut, s.hushed_below) = (true, next),
            Fault::Refuse(_) => (s.refuses, s.reset_below) = (true, next),
            Fault::Hold(_) => s.held = true,
            Fault::Spoil(_) => {}
            Fault::HalfOpen => s.hushed_below = next,
            Fault::Reset => s.reset_below = next,
            Fault::Heal => {
                if s.cut {
                    s.reset_below = next;
                }
                *s = State {
                    hushed_below: s.hushed_below,
                    reset_below: s.reset_below,
                    target: s.target,
                    ..State::default()
                };
            }
        });
        if let Fault::Hold(_) = fault {
            // After nobody accepts any more: what fills the queue stays there.
            self.hold(true);
        }
    }

    /// Keeps new connections from coming up, or no longer.
    fn hold(&self, holds: bool) {
        let mut held = self.held.lock().unwrap_or_else(PoisonError::into_inner);
        if !holds {
            if let Some(held) = held.take() {
                let ports = held.release(&self.listener);
                self.shared.note(|n| n.fillers.extend(ports));
            }
        } else if held.is_none() {
            *held = Held::fill(&self.listener).ok();
        }
    }

    /// The connections that have ended.
    pub(crate) fn closed(&self) -> Vec<Closed> {
        self.shared.note(|n| n.closed.clone())
    }

    /// What was handed to the side that connected.
    pub(crate) fn passed(&self) -> Vec<Passed> {
        self.shared.note(|n| n.passed.clone())
    }
}

impl Shared {
    fn note<T>(&self, act: impl FnOnce(&mut Notes) -> T) -> T {
        act(&mut self.notes.lock().unwrap_or_else(PoisonError::into_inner))
    }
}

async fn accept(listener: Arc<TcpListener>, shared: Arc<Shared>) {
    let mut connections = JoinSet::new();
    let mut state = shared.state.subscribe();
    loop {
        while connections.try_join_next().is_some() {}
        if state.borrow_and_update().held {
            if state.changed().await.is_err() {
                return;
            }
            continue;
        }
        let accepted = tokio::select! {
            biased;
            _ = state.changed() => continue,
            accepted = listener.accept() => accepted,
        };
        let Ok((near, peer)) = accepted else {
            tokio::time::sleep(Duration::from_millis(5)).await;
            continue;
        };
        if shared.note(|n| n.fillers.contains(&peer.port())) {
            continue;
        }
        let number = shared.next.fetch_add(1, Ordering::SeqCst);
        if connections.len() >= CONNECTIONS {
            reset(&near);
            continue;
        }
        let shared = shared.clone();
        connections.spawn(async move {
            let mut near = near;
            let by = connection(&mut near, number, &shared).await;
            let closed = Closed { at: Instant::now(), port: peer.port(), by };
            shared.note(|n| {
                if n.closed.len() < KEPT {
                    n.closed.push(closed);
                }
            });
        });
    }
}

/// Carries one connection to its end, and says by whom that came. What the two sides did not end between them is reset, so
/// that both see it.
async fn connection(near: &mut TcpStream, number: u64, shared: &Shared) -> Closer {
    let mut state = shared.state.subscribe();
    let target = loop {
        let s = *state.borrow_and_update();
        if s.refuses || s.reset_below > number {
            reset(near);
            return Closer::Fault;
        }
        if !s.cut && s.hushed_below <= number {
            break s.target;
        }
        if state.changed().await.is_err() {
            return Closer::Fault;
        }
    };
    let far = match target {
        Some(target) => TcpStream::connect(target).await.ok(),
        None => None,
    };
    let Some(mut far) = far else {
        reset(near);
        return Closer::Unreached;
    };
    let _ = (near.set_nodelay(true), far.set_nodelay(true));
    let (by, whole) = carry(near, &mut far, number, state, shared).await;
    if !whole {
        reset(near);
        reset(&far);
    }
    by
}

/// How one way of a connection ended.
#[derive(Clone, Copy, PartialEq, Eq)]
enum End {
    /// Its sender was done, and its reader was told so.
    Done,
    /// By its sender.
    Sender,
    /// By its reader.
    Reader,
    /// By a fault.
    Fault,
}

/// Both ways until the end; whether both sides saw it as the other meant it.
async fn carry(
    near: &mut TcpStream,
    far: &mut TcpStream,
    number: u64,
    state: watch::Receiver<State>,
    shared: &Shared,
) -> (Closer, bool) {
    let port = far.local_addr().map_or(0, |a| a.port());
    let (near_reads, near_writes) = near.split();
    let (far_reads, far_writes) = far.split();
    let mut total = 0;
    let note = |n: usize| {
        total += n as u64;
        let passed = Passed { at: Instant::now(), port, total };
        shared.note(|n| {
            if shared.back == Back::Noted && n.passed.len() < KEPT {
                n.passed.push(passed);
            }
        });
    };
    let answers = (shared.back == Back::Frames).then(|| Answers::new(&shared.spoilt));
    let forward = pump(near_reads, far_writes, state.clone(), number, |s| s.forward, None, |_| ());
    let back = pump(far_reads, near_writes, state, number, |s| s.back, answers, note);
    tokio::pin!(forward, back);
    let (mut asked, mut answered, mut first) = (None, None, None);
    while asked.is_none() || answered.is_none() {
        let (end, sender, reader) = tokio::select! {
            end = &mut forward, if asked.is_none() => {
                asked = Some(end);
                (end, Closer::Client, Closer::Broker)
            }
            end = &mut back, if answered.is_none() => {
                answered = Some(end);
                (end, Closer::Broker, Closer::Client)
            }
        };
        let by = match end {
            End::Done | End::Sender => sender,
            End::Reader => reader,
            End::Fault => Closer::Fault,
        };
        let by = *first.get_or_insert(by);
        if end != End::Done {
            return (if end == End::Fault { Closer::Fault } else { by }, false);
        }
    }
    (first.unwrap_or(Closer::Client), true)
}

/// One way. A chunk that was read is written whatever fault begins meanwhile, but for a reset.
async fn pump(
    mut from: ReadHalf<'_>,
    mut to: WriteHalf<'_>,
    mut state: watch::Receiver<State>,
    number: u64,
    way: fn(&State) -> Passage,
    mut answers: Option<Answers<'_>>,
    mut passed: impl FnMut(usize),
) -> End {
    let mut buffer = vec![0; BUFFER];
    let mut watching = state.clone();
    let mut holed = false;
    loop {
        let s = *state.borrow_and_update();
        let passage = way(&s);
        if s.reset_below > number || (holed && passage != Passage::Swallowed) {
            return End::Fault;
        }
        if s.hushed_below > number || passage == Passage::Stalled {
            if state.changed().await.is_err() {
                return End::Fault;
            }
            continue;
        }
        let read = tokio::select! {
            biased;
            _ = state.changed() => continue,
            read = from.read(&mut buffer) => read,
        };
        let Ok(n) = read else { return End::Sender };
        if passage == Passage::Swallowed {
            holed = true;
            // Its end is lost like its bytes.
            if n == 0 && state.changed().await.is_err() {
                return End::Fault;
            }
            continue;
        }
        if n == 0 {
            let _ = to.shutdown().await;
            return End::Done;
        }
        let (bytes, after) = match &mut answers {
            Some(answers) => answers.pass(&buffer[..n]),
            None => (Cow::Borrowed(&buffer[..n]), After::Goes),
        };
        let write = async {
            if let Passage::Delayed(by) = passage {
                tokio::time::sleep(by).await;
            }
            if let After::Waits(by) = after {
                tokio::time::sleep(Duration::from_micros(by)).await;
            }
            to.write_all(&bytes).await?;
            if after != After::Endless {
                return io::Result::Ok(());
            }
            loop {
                to.write_all(&[b'a'; 1000]).await?;
                tokio::time::sleep(Duration::from_millis(1)).await;
            }
        };
        let written = tokio::select! {
            biased;
            _ = watching.wait_for(|s| s.reset_below > number) => return End::Fault,
            written = write => written,
        };
        if written.is_err() {
            return End::Reader;
        }
        passed(n);
        match after {
            After::Goes | After::Waits(_) | After::Endless => {}
            After::Resets => return End::Fault,
            After::Ends => {
                let _ = to.shutdown().await;
                return End::Done;
            }
            // Nothing more comes of it, whatever is read.
            After::Hushed => {
                let mut state = watching.clone();
                let _ = state.wait_for(|s| s.reset_below > number).await;
                return End::Fault;
            }
        }
    }
}

/// Ends a connection so that its peer sees a reset.
fn reset(stream: &TcpStream) {
    // Where this cannot be set the peer sees a plain end.
    let _ = stream.set_zero_linger();
}

#[cfg(test)]
mod tests;
