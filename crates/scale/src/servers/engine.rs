//! Many data servers on one thread, which waits for all their listeners and connections at once.

use super::task::{Account, Done, Fault, Task};
use super::times::{Times, cold_stretch};
use mio::net::{TcpListener, TcpStream};
use mio::{Events, Interest, Poll, Token};
use plover_frames::from_broker::{End, FromBroker, Part, answer, decode, probe_answer, rejected};
use plover_standins::value;
use rand::SeedableRng;
use rand_pcg::Pcg64Mcg;
use std::cmp::Reverse;
use std::collections::{BinaryHeap, HashMap, HashSet};
use std::hash::{BuildHasher, RandomState};
use std::io::{self, Read, Write};
use std::net::SocketAddr;
use std::time::{Duration, Instant};

/// The token that says that a task has come.
pub const WAKE: Token = Token(usize::MAX);
/// Tokens of connections begin here; those below are listeners by their places.
const CONNECTIONS: usize = 1 << 20;
/// Ids that are remembered, to tell first attempts from further ones.
const IDS: usize = 4_000_000;
/// An answer that goes out so many microseconds after it was due was late: the wait itself is to a millisecond.
const LATE_US: u64 = 2_000;
/// Bytes that wait for one connection; a broker that reads nothing is cut off beyond it.
const MOST_WAITING: usize = 4 << 20;

struct Server {
    number: u32,
    listener: Option<TcpListener>,
    address: SocketAddr,
    fault: Fault,
    /// When it started, if it is not warm yet.
    started_us: Option<u64>,
    held: usize,
    /// Answers, for faults that hit every so many'th.
    count: u32,
    parts: u64,
}

struct Connection {
    stream: TcpStream,
    server: usize,
    /// Which of those that had this place: what is due for an earlier one is not for this one.
    turn: u64,
    input: Vec<u8>,
    output: Vec<u8>,
    /// Ids of the parts that are out on it, by their hashes, and how many.
    out: HashMap<u64, u32>,
    /// It reads nothing until then.
    deaf_until: Option<u64>,
    queued: bool,
}

/// What is due.
enum Due {
    Part { place: usize, turn: u64, id: u64, part: Box<Part> },
    Listen { place: usize, turn: u64 },
}

/// The servers of a process.
pub struct Engine {
    poll: Poll,
    origin: Instant,
    servers: Vec<Server>,
    places: HashMap<u32, usize>,
    connections: Vec<Option<Connection>>,
    free: Vec<usize>,
    turns: u64,
    due: BinaryHeap<Reverse<(u64, u64, usize)>>,
    dues: Vec<Option<Due>>,
    free_dues: Vec<usize>,
    sequence: u64,
    flush: Vec<usize>,
    times: Times,
    reports: bool,
    warm_after_us: u64,
    random: Pcg64Mcg,
    account: Account,
    seen: HashSet<u64>,
    hasher: RandomState,
    chunk: Vec<u8>,
}

impl Engine {
    /// One without servers, which has to be woken under [`WAKE`] when a task has come.
    pub fn new(poll: Poll) -> Engine {
        Engine {
            poll,
            origin: Instant::now(),
            servers: Vec::new(),
            places: HashMap::new(),
            connections: Vec::new(),
            free: Vec::new(),
            turns: 0,
            due: BinaryHeap::new(),
            dues: Vec::new(),
            free_dues: Vec::new(),
            sequence: 0,
            flush: Vec::new(),
            times: Times::Fixed(0),
            reports: true,
            warm_after_us: 0,
            random: Pcg64Mcg::seed_from_u64(0),
            account: Account::default(),
            seen: HashSet::new(),
            hasher: RandomState::new(),
            chunk: vec![0; 64 * 1024],
        }
    }

    fn now_us(&self) -> u64 {
        self.origin.elapsed().as_micros() as u64
    }

    /// Serves until `woken`, which is called whenever a task may have come, says false.
    pub fn run(&mut self, mut woken: impl FnMut(&mut Engine) -> io::Result<bool>) -> io::Result<()> {
        let mut events = Events::with_capacity(4096);
        loop {
            let wait = self
                .due
                .peek()
                .map(|Reverse((at, ..))| Duration::from_micros(at.saturating_sub(self.now_us())));
            match self.poll.poll(&mut events, wait) {
                Err(e) if e.kind() != io::ErrorKind::Interrupted => return Err(e),
                _ => {}
            }
            for event in &events {
                match event.token() {
                    WAKE => {
                        if !woken(self)? {
                            return Ok(());
                        }
                    }
                    Token(n) if n < CONNECTIONS => self.accept(n),
                    Token(n) => {
                        let place = n - CONNECTIONS;
                        if event.is_writable() {
                            self.queue(place);
                        }
                        if event.is_readable() || event.is_error() {
                            self.read(place);
                        }
                    }
                }
            }
            self.serve_due();
            self.flush();
        }
    }

    /// Does a task.
    pub fn obey(&mut self, task: Task) -> io::Result<Done> {
        match task {
            Task::Start { numbers, times, reports, warm_after_us, seed } => {
                (self.times, self.reports, self.warm_after_us) = (times, reports, warm_after_us);
                self.random = Pcg64Mcg::seed_from_u64(seed);
                let mut at = Vec::with_capacity(numbers.len());
                for number in numbers {
                    at.push(self.start(number)?);
                }
                Ok(Done::Listening(at))
            }
            Task::Fault { numbers, fault } => {
                let places: Vec<usize> = numbers.iter().filter_map(|n| self.places.get(n)).copied().collect();
                for place in places {
                    self.set_fault(place, fault)?;
                }
                Ok(Done::Done)
            }
            Task::Account { empty } => {
                let open = self.connections.iter().flatten().count() as u64;
                let most_of_one = self.servers.iter().map(|s| s.parts).max().unwrap_or(0);
                let account = Account { open, most_of_one, ..self.account.clone() };
                if empty {
                    self.account = Account::default();
                    self.seen.clear();
                    self.servers.iter_mut().for_each(|s| s.parts = 0);
                }
                Ok(Done::Account(account))
            }
        }
    }

    /// Each server has an address of its own of the loopback network, so that its port costs no other any.
    fn start(&mut self, number: u32) -> io::Result<SocketAddr> {
        let [_, a, b, c] = number.to_be_bytes();
        let listener = std::net::TcpListener::bind(SocketAddr::from(([127, 64 + (a & 63), b, c], 0)))?;
        let address = listener.local_addr()?;
        let place = self.servers.len();
        self.servers.push(Server {
            number,
            listener: None,
            address,
            fault: Fault::None,
            started_us: None,
            held: 0,
            count: 0,
            parts: 0,
        });
        self.places.insert(number, place);
        self.listen(place, listener)?;
        Ok(address)
    }

    fn listen(&mut self, place: usize, listener: std::net::TcpListener) -> io::Result<()> {
        listener.set_nonblocking(true)?;
        let mut listener = TcpListener::from_std(listener);
        self.poll.registry().register(&mut listener, Token(place), Interest::READABLE)?;
        self.servers[place].listener = Some(listener);
        Ok(())
    }

    fn set_fault(&mut self, place: usize, fault: Fault) -> io::Result<()> {
        let was = std::mem::replace(&mut self.servers[place].fault, fault);
        if fault == Fault::Dead {
            self.servers[place].listener = None;
            let of: Vec<usize> = (0..self.connections.len())
                .filter(|c| self.connections[*c].as_ref().is_some_and(|c| c.server == place))
                .collect();
            of.into_iter().for_each(|c| self.close(c, true));
        } else if was == Fault::Dead {
            let address = self.servers[place].address;
            let listener = std::net::TcpListener::bind(address)?;
            self.listen(place, listener)?;
            self.servers[place].started_us = Some(self.now_us());
        }
        Ok(())
    }

    fn accept(&mut self, server: usize) {
        loop {
            let Some(listener) = self.servers.get(server).and_then(|s| s.listener.as_ref()) else { return };
            let mut stream = match listener.accept() {
                Ok((stream, _)) => stream,
                // The next event tells of the next connection; one that failed is the broker's to try again.
                Err(_) => return,
            };
            let _ = stream.set_nodelay(true);
            let place = self.free.pop().unwrap_or_else(|| {
                self.connections.push(None);
                self.connections.len() - 1
            });
            let both = Interest::READABLE | Interest::WRITABLE;
            if self.poll.registry().register(&mut stream, Token(CONNECTIONS + place), both).is_err() {
                self.free.push(place);
                continue;
            }
            self.turns += 1;
            let turn = self.turns;
            let deaf_until = match self.servers[server].fault {
                Fault::Late(us) => {
                    let at = self.now_us() + us;
                    self.schedule(at, Due::Listen { place, turn });
                    Some(at)
                }
                _ => None,
            };
            self.account.accepted += 1;
            self.connections[place] = Some(Connection {
                stream,
                server,
                turn,
                input: Vec::new(),
                output: Vec::new(),
                out: HashMap::new(),
                deaf_until,
                queued: false,
            });
        }
    }

    fn schedule(&mut self, at: u64, due: Due) {
        let slot = self.free_dues.pop().unwrap_or_else(|| {
            self.dues.push(None);
            self.dues.len() - 1
        });
        self.dues[slot] = Some(due);
        self.sequence += 1;
        self.due.push(Reverse((at, self.sequence, slot)));
    }

    fn close(&mut self, place: usize, reset: bool) {
        let Some(mut connection) = self.connections.get_mut(place).and_then(Option::take) else { return };
        self.free.push(place);
        let gone: u32 = connection.out.values().sum();
        self.account.given_up += u64::from(gone);
        let server = &mut self.servers[connection.server];
        server.held = server.held.saturating_sub(gone as usize);
        let _ = self.poll.registry().deregister(&mut connection.stream);
        if reset {
            let _ = rustix::net::sockopt::set_socket_linger(&connection.stream, Some(Duration::ZERO));
        }
    }

    fn read(&mut self, place: usize) {
        loop {
            let now = self.now_us();
            let Some(Some(connection)) = self.connections.get_mut(place) else { return };
            if connection.deaf_until.is_some_and(|until| until > now) {
                return;
            }
            let n = match connection.stream.read(&mut self.chunk) {
                Ok(0) => return self.close(place, false),
                Ok(n) => n,
                Err(e) if e.kind() == io::ErrorKind::WouldBlock => return,
                Err(e) if e.kind() == io::ErrorKind::Interrupted => continue,
                Err(_) => return self.close(place, false),
            };
            self.account.reads += 1;
            self.account.bytes_in += n as u64;
            // A read that did not fill the chunk has emptied the socket; what comes later is told anew (epoll(7)).
            let emptied = n < self.chunk.len();
            let input = if connection.input.is_empty() {
                &self.chunk[..n]
            } else {
                connection.input.extend_from_slice(&self.chunk[..n]);
                &connection.input[..]
            };
            let (mut used, mut messages, mut bad) = (0, Vec::new(), None);
            loop {
                match decode(&input[used..]) {
                    Ok(Some((message, length))) => {
                        used += length;
                        messages.push(message);
                    }
                    Ok(None) => break,
                    Err(words) => {
                        bad = Some(words.0);
                        break;
                    }
                }
            }
            let rest = input[used..].to_vec();
            connection.input = rest;
            for message in messages {
                self.hear(place, message, now);
            }
            if let Some(words) = bad {
                self.account.bad += 1;
                if let Some(Some(connection)) = self.connections.get_mut(place) {
                    let _ = connection.stream.write(&rejected(words));
                }
                return self.close(place, false);
            }
            if emptied {
                return;
            }
        }
    }

    fn hear(&mut self, place: usize, message: FromBroker, now: u64) {
        let Some(Some(connection)) = self.connections.get_mut(place) else { return };
        let (server, turn) = (connection.server, connection.turn);
        match message {
            FromBroker::Call(parts) => {
                self.account.calls += 1;
                for part in parts {
                    self.take(place, server, turn, part, now);
                }
            }
            FromBroker::GiveUp(id) => {
                let id = self.hasher.hash_one(&id);
                if let Some(count) = connection.out.remove(&id) {
                    self.account.given_up += u64::from(count);
                    let server = &mut self.servers[server];
                    server.held = server.held.saturating_sub(count as usize);
                }
            }
            FromBroker::Probe(load) => {
                self.account.probes += 1;
                connection.output.extend(probe_answer(load, self.servers[server].held));
                self.queue(place);
            }
        }
    }

    fn take(&mut self, place: usize, server: usize, turn: u64, part: Part, now: u64) {
        let id = self.hasher.hash_one(&part.id);
        self.account.parts += 1;
        if self.seen.len() < IDS && self.seen.insert(id) {
            self.account.first += 1;
        }
        let mut takes = self.times.draw(&mut self.random);
        let one = &mut self.servers[server];
        one.parts += 1;
        one.held += 1;
        if let Some(started) = one.started_us {
            let since = now.saturating_sub(started);
            if since < self.warm_after_us {
                self.account.cold += 1;
                takes = (takes as f64 * cold_stretch(since, self.warm_after_us)) as u64;
            } else {
                one.started_us = None;
            }
        }
        let fault = one.fault;
        if let Some(Some(connection)) = self.connections.get_mut(place) {
            *connection.out.entry(id).or_default() += 1;
        }
        match fault {
            Fault::Hang => return,
            Fault::Slow(more) => takes += more,
            _ => {}
        }
        self.schedule(now + takes, Due::Part { place, turn, id, part: Box::new(part) });
    }

    fn serve_due(&mut self) {
        while let Some(Reverse((at, _, slot))) = self.due.peek().copied() {
            let now = self.now_us();
            if at > now {
                return;
            }
            self.due.pop();
            self.free_dues.push(slot);
            match self.dues[slot].take() {
                Some(Due::Part { place, turn, id, part }) => {
                    self.account.late += u64::from(now > at + LATE_US);
                    self.answer(place, turn, id, &part);
                }
                Some(Due::Listen { place, turn }) => {
                    if let Some(Some(connection)) = self.connections.get_mut(place)
                        && connection.turn == turn
                    {
                        connection.deaf_until = None;
                        self.read(place);
                    }
                }
                None => {}
            }
        }
    }

    fn answer(&mut self, place: usize, turn: u64, id: u64, part: &Part) {
        let Some(Some(connection)) = self.connections.get_mut(place) else { return };
        if connection.turn != turn {
            return;
        }
        // Given up meanwhile: nothing is out under this id.
        let Some(count) = connection.out.get_mut(&id) else { return };
        *count -= 1;
        if *count == 0 {
            connection.out.remove(&id);
        }
        let server = &mut self.servers[connection.server];
        server.held = server.held.saturating_sub(1);
        server.count = server.count.wrapping_add(1);
        let hits = |every: u32| every > 0 && server.count.is_multiple_of(every);
        let end = match server.fault {
            Fault::Resets(every) if hits(every) => return self.close(place, true),
            Fault::Errors(every) if hits(every) => End::Bad,
            _ => End::Good,
        };
        let value = if end == End::Good { value(part.shard, &part.text) } else { String::new() };
        connection.output.extend(answer(&part.id, end, self.reports.then_some(server.held), &value));
        self.account.answered += 1;
        self.queue(place);
    }

    /// What waits on this connection is written at the end of the turn: all of it at once.
    fn queue(&mut self, place: usize) {
        if let Some(Some(connection)) = self.connections.get_mut(place)
            && !connection.queued
            && !connection.output.is_empty()
        {
            connection.queued = true;
            self.flush.push(place);
        }
    }

    fn flush(&mut self) {
        for place in std::mem::take(&mut self.flush) {
            let Some(Some(connection)) = self.connections.get_mut(place) else { continue };
            connection.queued = false;
            if connection.output.is_empty() {
                continue;
            }
            match connection.stream.write(&connection.output) {
                Ok(n) => {
                    self.account.writes += 1;
                    self.account.bytes_out += n as u64;
                    connection.output.drain(..n);
                    // The rest goes when the connection is told to be writable again.
                    if connection.output.len() > MOST_WAITING {
                        self.close(place, true);
                    }
                }
                Err(e) if e.kind() == io::ErrorKind::WouldBlock => {}
                Err(_) => self.close(place, false),
            }
        }
    }

    /// The numbers of the servers.
    pub fn numbers(&self) -> impl Iterator<Item = u32> {
        self.servers.iter().map(|s| s.number)
    }
}
