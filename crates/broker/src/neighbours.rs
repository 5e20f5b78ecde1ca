//! The sockets between two processes that are one broker: what they say and do is decided by `plover_handover`.
//!
//! Each process listens at a socket of its own in the directory that they share, and calls all others that it finds there
//! when it starts. Everything is read and written within a turn, before and after what the turn does: what a neighbour
//! wrote before it sent a part has been read here before a part is sent from here.

use crate::inbox::{Inbox, Input};
use async_channel::{Receiver, Sender};
use async_executor::{LocalExecutor, Task};
use async_io::Async;
use plover_handover::wire::Message;
use plover_handover::{LinkId, LocalProcess, Siblings, Timeouts, Update};
use plover_model::time::Micros;
use plover_runtime::clock::{Clock, with_timeout};
use rustix::event::{PollFd, PollFlags, Timespec, poll};
use rustix::net::sockopt::socket_peercred;
use rustix::process::{PidfdFlags, geteuid, pidfd_open};
use std::collections::BTreeMap;
use std::io::{self, ErrorKind, Read, Write};
use std::os::fd::OwnedFd;
use std::os::unix::fs::{FileTypeExt, MetadataExt};
use std::os::unix::net::{UnixListener, UnixStream};
use std::path::{Path, PathBuf};
use std::rc::Rc;
use std::time::Duration;
use tracing::{info, warn};

/// What the names of sockets begin and end with; the process's number stands between.
const NAME: (&str, &str) = ("ploverport-", ".sock");
/// A neighbour that does not take a connection in this time is not there.
const CONNECT: Duration = Duration::from_millis(100);
/// A process whose connections have ended is seen to have ended itself within this time, if it has.
const BURIAL: Timespec = Timespec { tv_sec: 0, tv_nsec: 20_000_000 };
/// Most files that are looked at in the directory.
const MOST_FILES: usize = 1024;
/// How much is read at once, and at the most in one turn from one neighbour.
const STEP: usize = 64 * 1024;
const MOST_READ: usize = 16 << 20;

/// A connection to a neighbour.
struct Wire {
    stream: Rc<Async<UnixStream>>,
    /// Its process, to be asked whether that has ended; `None`: it has, or cannot be asked.
    process: Option<OwnedFd>,
    watch: Watch,
}

/// Puts a word into the inbox whenever there is something to read, once until that has been done.
struct Watch {
    seen: Sender<()>,
    _task: Task<()>,
}

/// The sockets of this process, and what is known of its neighbours.
pub(crate) struct Sockets {
    executor: Rc<LocalExecutor<'static>>,
    inbox: Rc<Inbox>,
    own: PathBuf,
    listener: Option<(Rc<Async<UnixListener>>, Watch)>,
    wires: BTreeMap<LinkId, Wire>,
    /// Processes that have lost us and may run on.
    estranged: BTreeMap<u32, OwnedFd>,
    next: LinkId,
    pub(crate) known: Siblings,
    /// Links that were told all that was known.
    told: Vec<LinkId>,
}

impl Drop for Sockets {
    fn drop(&mut self) {
        let _ = std::fs::remove_file(&self.own);
    }
}

impl Sockets {
    /// Listens in this directory, and calls whoever is there. What fails is logged: a process that cannot be reached
    /// serves all the same.
    pub(crate) fn start(
        directory: &Path,
        name: &str,
        clock: Clock,
        quarantine: Micros,
        executor: Rc<LocalExecutor<'static>>,
        inbox: Rc<Inbox>,
    ) -> Self {
        let pid = std::process::id();
        let own = directory.join(format!("{}{pid}{}", NAME.0, NAME.1));
        // One that had our number before us.
        if is_ours(&own) {
            let _ = std::fs::remove_file(&own);
        }
        let me = LocalProcess { name: name.to_owned(), started: clock.machine_time(clock.now()), pid };
        let mut sockets = Sockets {
            executor,
            inbox,
            own: own.clone(),
            listener: None,
            wires: BTreeMap::new(),
            estranged: BTreeMap::new(),
            next: 0,
            known: Siblings::new(me, Timeouts { quarantine, ..Timeouts::default() }),
            told: Vec::new(),
        };
        match Async::<UnixListener>::bind(&own) {
            Ok(listener) => {
                let listener = Rc::new(listener);
                let watched = listener.clone();
                let watch = sockets.watch(async move || watched.readable().await);
                sockets.listener = Some((listener, watch));
            }
            Err(error) => {
                warn!(name: "hand_over_failed", error = %error, what = "nobody can call this process")
            }
        }
        for path in others(directory, &own) {
            sockets.call(clock.now(), &path);
        }
        sockets
    }

    fn call(&mut self, now: Micros, path: &Path) {
        match async_io::block_on(with_timeout(CONNECT, Async::<UnixStream>::connect(path))) {
            Ok(stream) => self.add(now, stream),
            // Its process has gone without a word, and left this behind.
            Err(error) if error.kind() == ErrorKind::ConnectionRefused => _ = std::fs::remove_file(path),
            Err(error) => {
                warn!(name: "hand_over_failed", error = %error, what = "a neighbour cannot be called")
            }
        }
    }

    fn add(&mut self, now: Micros, stream: Async<UnixStream>) {
        let peer = socket_peercred(stream.get_ref());
        let Ok(peer) = peer.map_err(io::Error::from).and_then(|peer| {
            if peer.uid == geteuid() { Ok(peer) } else { Err(ErrorKind::PermissionDenied.into()) }
        }) else {
            return warn!(name: "hand_over_failed", what = "a neighbour of another user is not heard");
        };
        let id = self.next;
        self.next += 1;
        let pid = peer.pid.as_raw_nonzero().get() as u32;
        if !self.known.connected(now, id, pid) {
            return warn!(name: "hand_over_failed", what = "there are too many neighbours");
        }
        let stream = Rc::new(stream);
        let watched = stream.clone();
        let watch = self.watch(async move || watched.readable().await);
        let process = pidfd_open(peer.pid, PidfdFlags::empty()).ok();
        self.wires.insert(id, Wire { stream, process, watch });
    }

    fn watch(&self, mut readable: impl AsyncFnMut() -> io::Result<()> + 'static) -> Watch {
        let (seen, heard): (Sender<()>, Receiver<()>) = async_channel::bounded(1);
        let inbox = self.inbox.clone();
        let task = self.executor.spawn(async move {
            while readable().await.is_ok() {
                inbox.put(Input::Extension);
                if heard.recv().await.is_err() {
                    return;
                }
            }
        });
        Watch { seen, _task: task }
    }

    /// Takes all that neighbours have said by now.
    pub(crate) fn turn(&mut self, now: Micros) -> Vec<Update> {
        self.known.begin_turn(now);
        let mut news = Vec::new();
        let mut came = Vec::new();
        if let Some((listener, watch)) = &self.listener {
            while let Ok((stream, _)) = listener.get_ref().accept() {
                came.extend(Async::new(stream));
            }
            let _ = watch.seen.try_send(());
        }
        came.into_iter().for_each(|stream| self.add(now, stream));
        let ids: Vec<LinkId> = self.wires.keys().copied().collect();
        for id in ids {
            news.extend(self.read(now, id));
        }
        for id in self.known.tick(now) {
            warn!(name: "hand_over_failed", what = "a neighbour takes nothing", link = id);
            // What it has said by now is read; it lives, or nobody would have to be given up.
            news.extend(self.lose(now, id));
        }
        for pid in self.known.disconnected().to_vec() {
            let gone = self.estranged.get(&pid).is_none_or(|process| has_ended(process, &NO_WAIT));
            if gone {
                self.estranged.remove(&pid);
                self.known.process_ended(now, pid);
            }
        }
        news
    }

    fn read(&mut self, now: Micros, id: LinkId) -> Vec<Update> {
        let mut news = Vec::new();
        let Some(wire) = self.wires.get(&id) else { return news };
        let stream = wire.stream.clone();
        let mut buffer = vec![0; STEP];
        let mut read = 0;
        let ended = loop {
            match stream.get_ref().read(&mut buffer) {
                Ok(0) => break true,
                Ok(n) => {
                    let (told, fault) = self.known.received(now, id, &buffer[..n]);
                    if let Some(fault) = fault {
                        warn!(name: "hand_over_failed", error = %fault, what = "a neighbour is not understood");
                    }
                    news.extend(told);
                    read += n;
                    if read >= MOST_READ {
                        break false;
                    }
                }
                Err(e) if e.kind() == ErrorKind::WouldBlock => break false,
                Err(e) if e.kind() == ErrorKind::Interrupted => {}
                Err(_) => break true,
            }
        };
        let _ = wire.watch.seen.try_send(());
        if ended {
            news.extend(self.lose(now, id));
        }
        news
    }

    /// The one place where a link is given back.
    fn lose(&mut self, now: Micros, id: LinkId) -> Vec<Update> {
        let Some(wire) = self.wires.remove(&id) else { return Vec::new() };
        self.told.retain(|told| *told != id);
        let alive = wire.process.as_ref().is_some_and(|process| !has_ended(process, &BURIAL));
        let before = self.known.disconnected().len();
        let news = self.known.link_lost(now, id, alive);
        if let (Some(pid), Some(process)) = (self.known.disconnected().get(before), wire.process) {
            self.estranged.insert(*pid, process);
        }
        info!(name: "hand_over_ended", alive, copies = self.known.process_count());
        news
    }

    /// The links that are owed all that is known, once.
    pub(crate) fn owed(&mut self) -> Vec<LinkId> {
        let mut owed = self.known.greeted_links();
        owed.retain(|id| !self.told.contains(id));
        self.told.extend(&owed);
        owed
    }

    /// Whether anybody listens.
    pub(crate) fn has_told(&self) -> bool {
        !self.told.is_empty()
    }

    /// Says something to all neighbours that were told what was known before.
    pub(crate) fn tell(&mut self, now: Micros, word: &Message) {
        for id in self.told.clone() {
            self.tell_one(now, id, word);
        }
    }

    /// Says something to one of them.
    pub(crate) fn tell_one(&mut self, now: Micros, id: LinkId, word: &Message) {
        if !self.known.send(now, id, word) {
            warn!(name: "hand_over_failed", what = "a neighbour cannot be told all that is known", link = id);
        }
    }

    /// Writes what waits, as far as neighbours take it now.
    pub(crate) fn flush(&mut self, now: Micros) {
        for (id, wire) in &self.wires {
            loop {
                let waiting = self.known.unsent(*id);
                if waiting.is_empty() {
                    break;
                }
                match wire.stream.get_ref().write(waiting) {
                    Ok(n) if n > 0 => self.known.written(now, *id, n),
                    // Its end is read in the next turn; until then nothing is known to be known there.
                    _ => break,
                }
            }
        }
    }

    /// When something is due, where nobody speaks.
    pub(crate) fn due(&self, now: Micros) -> Option<Micros> {
        let estranged = (!self.estranged.is_empty()).then_some(now + 100_000);
        [self.known.due(), estranged].into_iter().flatten().min()
    }
}

const NO_WAIT: Timespec = Timespec { tv_sec: 0, tv_nsec: 0 };

/// Whether a process has ended, or does so within this time.
fn has_ended(process: &OwnedFd, within: &Timespec) -> bool {
    let mut fds = [PollFd::new(process, PollFlags::IN)];
    matches!(poll(&mut fds, Some(within)), Ok(n) if n > 0)
}

/// The sockets of other processes of this user. What is no socket, is a link, or is another's is not touched.
fn others(directory: &Path, own: &Path) -> Vec<PathBuf> {
    let Ok(entries) = std::fs::read_dir(directory) else { return Vec::new() };
    let mut entries = entries.filter_map(|entry| Some(entry.ok()?.path()));
    let paths: Vec<PathBuf> = entries.by_ref().take(MOST_FILES).collect();
    if entries.next().is_some() {
        let what = "the directory holds too many files: neighbours may be missed";
        warn!(name: "hand_over_failed", what, directory = %directory.display(), most = MOST_FILES);
    }
    let named = |path: &PathBuf| {
        let name = path.file_name().and_then(|n| n.to_str()).unwrap_or_default();
        name.starts_with(NAME.0) && name.ends_with(NAME.1)
    };
    paths.into_iter().filter(|path| path != own && named(path) && is_ours(path)).collect()
}

fn is_ours(path: &Path) -> bool {
    let metadata = std::fs::symlink_metadata(path);
    metadata.is_ok_and(|m| m.file_type().is_socket() && m.uid() == geteuid().as_raw())
}
