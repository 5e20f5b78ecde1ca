//! Data servers: one pool of connections for each, and the attempts that are out on them.
//!
//! The pool owns each attempt from its dispatch to its one [`Ended`], and each connection from its dialling to
//! the drop of its task, which closes the socket. Tasks on sockets tell the pool what happened through the
//! inbox; the pool acts on it in a turn.

mod line;

use crate::inbox::{Inbox, LineEvent};
use async_executor::{LocalExecutor, Task};
use line::{Item, Line, Outgoing};
use plover_frames::FromServer;
use plover_model::limits::PoolLimits;
use plover_model::query::AttemptId;
use plover_model::server::{NodeId, Outcome};
use plover_model::time::{MILLI, Micros};
use std::cell::Cell;
use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::net::SocketAddr;
use std::rc::Rc;
use tracing::warn;

/// Share of the servers' idle time after which a connection is retired: a part that crosses the server's
/// closing would end as a reset, which tells nobody whether it ran.
const IDLE_SHARE: (Micros, Micros) = (3, 4);
/// Most connections to a server, where descriptors allow: one spoilt answer ends all that is out beside it, so
/// that calls are spread while that costs little.
const PER_SERVER: usize = 4;
/// An attempt given up in so many dial time-outs without a word on its connection makes that suspect: a cut
/// link leaves connections open and silent, and TCP does not notice.
const SILENT_DIALS: Micros = 2;

/// An attempt to send, with all that goes into its frame.
#[derive(Clone, Debug)]
pub struct Send {
    /// The attempt.
    pub attempt: AttemptId,
    /// Where to.
    pub server: NodeId,
    /// When to stop waiting.
    pub until: Micros,
    /// The part's id on the wire.
    pub wire: String,
    /// Its shard.
    pub shard: usize,
    /// The idempotency key, in a keyed class.
    pub key: Option<Rc<str>>,
    /// The query's text.
    pub text: Rc<str>,
}

/// How an attempt ended.
#[derive(Clone, Debug, PartialEq)]
pub struct Ended {
    /// The attempt.
    pub attempt: AttemptId,
    /// How.
    pub outcome: Outcome,
    /// Time since its dispatch.
    pub elapsed: Micros,
    /// How much the server said it holds.
    pub load: Option<f64>,
    /// The value, if it was served.
    pub value: Option<String>,
}

#[derive(Default)]
struct Server {
    endpoint: Option<SocketAddr>,
    conns: BTreeSet<u64>,
}

struct Conn {
    server: NodeId,
    line: Rc<Line>,
    /// Runs the socket. Dropping it closes the socket.
    _task: Task<()>,
    /// What is out here, by its id on the wire.
    out: BTreeMap<String, AttemptId>,
    /// What was given up after it was written, the newest last: it may still be answered.
    given_up: VecDeque<String>,
    /// When a frame that is not all there last grew.
    begun: Option<Micros>,
    heard: Micros,
    used: Micros,
    /// It takes nothing new and closes once nothing is out on it.
    retiring: bool,
}

struct Flight {
    conn: u64,
    wire: String,
    sent: Micros,
    until: Micros,
}

/// The pools of all data servers.
pub struct Upstream {
    executor: Rc<LocalExecutor<'static>>,
    inbox: Rc<Inbox>,
    limits: PoolLimits,
    /// Descriptors, of which each process that is this broker takes its part.
    sockets: usize,
    servers: BTreeMap<NodeId, Server>,
    conns: BTreeMap<u64, Conn>,
    next_conn: u64,
    flights: BTreeMap<AttemptId, Flight>,
    deadlines: BTreeSet<(Micros, AttemptId)>,
    ended: Vec<Ended>,
    forwards: Rc<Cell<u64>>,
}

impl Upstream {
    /// Pools without servers.
    pub fn new(executor: Rc<LocalExecutor<'static>>, inbox: Rc<Inbox>, limits: PoolLimits) -> Self {
        Upstream {
            executor,
            inbox,
            sockets: limits.sockets,
            limits,
            servers: BTreeMap::new(),
            conns: BTreeMap::new(),
            next_conn: 0,
            flights: BTreeMap::new(),
            deadlines: BTreeSet::new(),
            ended: Vec::new(),
            forwards: Rc::default(),
        }
    }

    /// Other limits, for what is dialled and sent from now on; descriptors stay what they are.
    pub fn set_limits(&mut self, limits: PoolLimits) {
        self.limits = PoolLimits { sockets: self.limits.sockets, ..limits };
    }

    /// So many processes are this broker, and share its descriptors. What is open beyond that ends as it falls idle.
    pub fn set_copies(&mut self, copies: usize) {
        self.limits.sockets = (self.sockets / copies.max(1)).max(1);
    }

    /// Takes where a server is to be called; `None`: it wants nothing new, or is gone. What waits unsent for
    /// one that left or moved is taken back.
    pub fn learn(&mut self, now: Micros, name: NodeId, endpoint: Option<SocketAddr>) {
        let server = self.servers.entry(name.clone()).or_default();
        let moved = server.endpoint.is_some_and(|old| Some(old) != endpoint);
        server.endpoint = endpoint;
        if moved {
            for id in server.conns.clone() {
                self.retire(now, id);
            }
        }
        self.forget(&name);
    }

    /// Forgets a server that is not to be called and has no connections.
    fn forget(&mut self, name: &NodeId) {
        if self.servers.get(name).is_some_and(|s| s.endpoint.is_none() && s.conns.is_empty()) {
            self.servers.remove(name);
        }
    }

    /// The names of all servers that take something new.
    pub fn serving(&self) -> Vec<NodeId> {
        let serving = self.servers.iter().filter(|(_, s)| s.endpoint.is_some());
        serving.map(|(name, _)| name.clone()).collect()
    }

    /// Sends the attempts of one turn: those to one server share calls.
    pub fn dispatch(&mut self, now: Micros, sends: Vec<Send>) {
        let mut by_server: BTreeMap<NodeId, Vec<Send>> = BTreeMap::new();
        for send in sends {
            by_server.entry(send.server.clone()).or_default().push(send);
        }
        for (server, mut sends) in by_server {
            while !sends.is_empty() {
                let rest = sends.split_off(sends.len().min(self.limits.batch.max(1)));
                self.call(now, &server, std::mem::replace(&mut sends, rest));
            }
        }
    }

    fn call(&mut self, now: Micros, server: &NodeId, sends: Vec<Send>) {
        let Some(id) = self.conn_for(now, server, sends.len()) else {
            let never = |s: Send| Ended {
                attempt: s.attempt,
                outcome: Outcome::NoConnection,
                elapsed: 0,
                load: None,
                value: None,
            };
            return self.ended.extend(sends.into_iter().map(never));
        };
        let Some(conn) = self.conns.get_mut(&id) else { return };
        conn.used = now;
        let mut parts = Vec::with_capacity(sends.len());
        for s in sends {
            conn.out.insert(s.wire.clone(), s.attempt);
            self.deadlines.insert((s.until, s.attempt));
            let flight = Flight { conn: id, wire: s.wire.clone(), sent: now, until: s.until };
            self.flights.insert(s.attempt, flight);
            let wait_ms = (s.until.saturating_sub(now) / MILLI).max(1);
            parts.push(Outgoing { wire: s.wire, shard: s.shard, wait_ms, key: s.key, text: s.text });
        }
        conn.line.put(Item::Call(parts));
    }

    /// A connection with room for so many parts: of the idle ones that which rested for longest, since a server
    /// may close one right after its answer, and a part that crosses the closing ends as a reset; else a new one,
    /// up to a few for each server; else the emptiest.
    fn conn_for(&mut self, now: Micros, name: &NodeId, parts: usize) -> Option<u64> {
        let server = self.servers.get(name)?;
        let endpoint = server.endpoint?;
        let open = server.conns.iter().filter_map(|id| Some((*id, self.conns.get(id)?)));
        let roomy = open.filter(|(_, c)| !c.retiring && c.out.len() + parts <= self.limits.multiplex);
        let best = roomy.min_by_key(|(_, c)| (c.out.len(), c.used));
        let most = (self.limits.sockets / self.servers.len().max(1)).clamp(1, PER_SERVER);
        if let Some((id, conn)) = best
            && (conn.out.is_empty() || server.conns.len() >= most || self.conns.len() >= self.limits.sockets)
        {
            return Some(id);
        }
        if self.conns.len() >= self.limits.sockets && !self.evict() {
            warn!(name: "upstream_sockets_full", server = %name.0, open = self.conns.len());
            return None;
        }
        let id = self.next_conn;
        self.next_conn += 1;
        let line = Rc::new(Line::new(self.forwards.clone()));
        let task = line::run(id, endpoint, self.limits.dial_timeout, line.clone(), self.inbox.clone());
        let conn = Conn {
            server: name.clone(),
            line,
            _task: self.executor.spawn(task),
            out: BTreeMap::new(),
            given_up: VecDeque::new(),
            begun: None,
            heard: now,
            used: now,
            retiring: false,
        };
        self.conns.insert(id, conn);
        self.servers.get_mut(name)?.conns.insert(id);
        Some(id)
    }

    /// Makes room by closing the connection that has been idle for longest.
    fn evict(&mut self) -> bool {
        let idle = self.conns.iter().filter(|(_, c)| c.out.is_empty());
        let Some(id) = idle.min_by_key(|(_, c)| c.used).map(|(id, _)| *id) else { return false };
        self.close(id);
        true
    }

    /// Stops waiting for an attempt that was called off.
    pub fn give_up(&mut self, now: Micros, attempt: AttemptId) {
        self.abandon(now, attempt, Outcome::Cancelled);
    }

    fn abandon(&mut self, now: Micros, attempt: AttemptId, outcome: Outcome) {
        let Some(flight) = self.flights.get(&attempt) else { return };
        let (id, sent, wire) = (flight.conn, flight.sent, flight.wire.clone());
        let unsent = self.conns.get(&id).is_some_and(|c| c.line.withdraw(&wire));
        if let Some(conn) = self.conns.get_mut(&id).filter(|_| !unsent) {
            if conn.given_up.len() >= self.limits.multiplex {
                conn.given_up.pop_front();
            }
            conn.given_up.push_back(wire.clone());
            conn.line.put(Item::GiveUp(wire));
            conn.retiring |= conn.heard <= sent && now - sent >= SILENT_DIALS * self.limits.dial_timeout;
            // Nothing gets through, the giving up neither: only the end of the connection keeps a further attempt
            // at the part from being a second one beside it.
            if conn.line.is_stuck() {
                self.end(now, attempt, outcome, None, None);
                return self.lose(now, id);
            }
        }
        // Still on this side when its time ended: never ran. The wait was for a connection that did not come up.
        let outcome = if unsent && outcome == Outcome::TimedOut { Outcome::NoConnection } else { outcome };
        self.end(now, attempt, outcome, None, None);
    }

    /// The one place where an attempt is given back.
    fn end(
        &mut self,
        now: Micros,
        attempt: AttemptId,
        outcome: Outcome,
        load: Option<f64>,
        value: Option<String>,
    ) {
        let Some(flight) = self.flights.remove(&attempt) else { return };
        self.deadlines.remove(&(flight.until, attempt));
        if let Some(conn) = self.conns.get_mut(&flight.conn) {
            conn.out.remove(&flight.wire);
            conn.used = now;
        }
        let elapsed = now.saturating_sub(flight.sent);
        self.ended.push(Ended { attempt, outcome, elapsed, load, value });
    }

    /// Takes news of a connection.
    pub fn hear(&mut self, now: Micros, id: u64, event: LineEvent) {
        let Some(conn) = self.conns.get_mut(&id) else { return };
        conn.heard = now;
        conn.begun = None;
        match event {
            LineEvent::Frame(FromServer::Answer { id: wire, outcome, held, value }) => {
                if let Some(&attempt) = conn.out.get(&wire) {
                    let value = (outcome == Outcome::Served).then_some(value);
                    return self.end(now, attempt, outcome, held, value);
                }
                // One that was given up may still be answered: that is no longer asked for. Any other answer is
                // one in the place of what was asked for, which will not come.
                match conn.given_up.iter().position(|w| *w == wire) {
                    Some(place) => drop(conn.given_up.remove(place)),
                    None => self.spoil(now, id, "its id is not out"),
                }
            }
            LineEvent::Begun if conn.out.is_empty() && conn.given_up.is_empty() => {
                self.spoil(now, id, "nothing is out");
            }
            LineEvent::Begun => conn.begun = Some(now),
            LineEvent::Frame(FromServer::Rejected(words)) => {
                warn!(name: "upstream_rejected", server = %conn.server.0, words);
            }
            LineEvent::Down(error) => {
                if !conn.out.is_empty() {
                    let out = conn.out.len();
                    warn!(name: "upstream_down", server = %conn.server.0, error = %error, out);
                }
                self.lose(now, id);
            }
            LineEvent::Bad(bad) => self.spoil(now, id, bad.0),
        }
    }

    /// A frame came that answers nothing: nothing after it on this connection is worth waiting for, so it is
    /// closed at once. With nothing out this is surplus to a good answer, and no attempt fails. Else the oldest
    /// attempt counts as an error, which may have run; those beside it may have run too, but tell nothing of
    /// their server, which has failed but once, nor of their query, which does not bring down servers.
    fn spoil(&mut self, now: Micros, id: u64, error: &str) {
        let Some(conn) = self.conns.get(&id) else { return };
        warn!(name: "upstream_bad_frame", server = %conn.server.0, error, out = conn.out.len());
        let unwritten = conn.line.unwritten();
        let mut out: Vec<(String, AttemptId)> = conn.out.clone().into_iter().collect();
        out.sort_by_key(|(_, attempt)| (self.flights.get(attempt).map(|f| f.sent), *attempt));
        let mut blamed = false;
        for (wire, attempt) in out {
            let outcome = if unwritten.contains(&wire) {
                Outcome::NotSent
            } else if std::mem::replace(&mut blamed, true) {
                Outcome::Cancelled
            } else {
                Outcome::Error
            };
            self.end(now, attempt, outcome, None, None);
        }
        self.close(id);
    }

    /// Ends all that is out on a broken connection, and closes it. A frame that was not written to its last
    /// byte never ran; any other may have. What waited behind a connection that had come up tells nothing of
    /// whether the server can be reached.
    fn lose(&mut self, now: Micros, id: u64) {
        let Some(conn) = self.conns.get(&id) else { return };
        let (unwritten, was_up) = (conn.line.unwritten(), conn.line.was_up());
        for (wire, attempt) in conn.out.clone() {
            let outcome = match unwritten.contains(&wire) {
                true if was_up => Outcome::NotSent,
                true => Outcome::NoConnection,
                false => Outcome::ConnectionLost,
            };
            self.end(now, attempt, outcome, None, None);
        }
        self.close(id);
    }

    /// Lets a connection finish what is out on it, and takes back what it has not begun to write.
    fn retire(&mut self, now: Micros, id: u64) {
        let Some(conn) = self.conns.get_mut(&id) else { return };
        conn.retiring = true;
        for wire in conn.line.withdraw_all() {
            if let Some(&attempt) = self.conns.get(&id).and_then(|c| c.out.get(&wire)) {
                self.end(now, attempt, Outcome::NotSent, None, None);
            }
        }
    }

    /// The one place where a connection is given back.
    fn close(&mut self, id: u64) {
        let Some(conn) = self.conns.remove(&id) else { return };
        if let Some(server) = self.servers.get_mut(&conn.server) {
            server.conns.remove(&id);
        }
        self.forget(&conn.server);
    }

    /// Closes what is idle for too long, or retired and done with.
    pub fn sweep(&mut self, now: Micros) {
        let idle = self.limits.keepalive * IDLE_SHARE.0 / IDLE_SHARE.1;
        let done = |c: &Conn| c.out.is_empty() && (c.retiring || now.saturating_sub(c.used) >= idle);
        let done: Vec<u64> = self.conns.iter().filter(|(_, c)| done(c)).map(|(id, _)| *id).collect();
        done.into_iter().for_each(|id| self.close(id));
        let stall = self.limits.dial_timeout;
        let stalled = |c: &Conn| c.begun.is_some_and(|at| now.saturating_sub(at) >= stall);
        let stalled: Vec<u64> = self.conns.iter().filter(|(_, c)| stalled(c)).map(|(id, _)| *id).collect();
        stalled.into_iter().for_each(|id| self.spoil(now, id, "its end does not come"));
    }

    /// Takes the attempts that have ended, those included whose time is over by now. A turn begins with this:
    /// the module ends a query at the moment at which its attempts time out, and would else call them off first,
    /// so that no time-out ever reached it and silent servers went unnoticed.
    pub fn take_ended(&mut self, now: Micros) -> Vec<Ended> {
        while let Some(&(_, attempt)) = self.deadlines.first().filter(|(until, _)| *until <= now) {
            self.abandon(now, attempt, Outcome::TimedOut);
        }
        std::mem::take(&mut self.ended)
    }

    /// Attempts that are out.
    pub fn out(&self) -> usize {
        self.flights.len()
    }

    /// Attempts written whole to data servers since the start.
    pub fn forwards(&self) -> u64 {
        self.forwards.get()
    }

    /// Whether some have ended that were not taken.
    pub fn has_ended(&self) -> bool {
        !self.ended.is_empty()
    }

    /// When the next attempt's time is over, or the next frame is late that has begun.
    pub fn due(&self) -> Micros {
        let deadline = self.deadlines.first().map_or(Micros::MAX, |(until, _)| *until);
        let stalls = self.conns.values().filter_map(|c| c.begun).map(|at| at + self.limits.dial_timeout);
        stalls.min().map_or(deadline, |stall| stall.min(deadline))
    }

    /// Open connections.
    pub fn open(&self) -> usize {
        self.conns.len()
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use crate::inbox::Input;
    use futures_lite::future::{block_on, yield_now};
    use std::net::TcpListener;

    const SECOND: Micros = 1_000_000;

    fn pool(limits: PoolLimits) -> (Upstream, TcpListener) {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let mut pool = Upstream::new(Rc::default(), Rc::default(), limits);
        pool.learn(0, server(), Some(listener.local_addr().unwrap()));
        (pool, listener)
    }

    fn limits() -> PoolLimits {
        let (dial_timeout, keepalive) = (SECOND / 4, 15 * SECOND);
        PoolLimits { sockets: 10, batch: 2, multiplex: 4, dial_timeout, keepalive }
    }

    fn server() -> NodeId {
        NodeId("s0".into())
    }

    fn sends(query: u64, parts: usize) -> Vec<Send> {
        let send = |part| Send {
            attempt: AttemptId { query, part, attempt: 0 },
            server: server(),
            until: SECOND,
            wire: format!("q{query}.{part}"),
            shard: part,
            key: None,
            text: "c41e77d0".into(),
        };
        (0..parts).map(send).collect()
    }

    fn outcomes(pool: &mut Upstream, now: Micros) -> Vec<Outcome> {
        pool.take_ended(now).iter().map(|e| e.outcome).collect()
    }

    fn broken() -> LineEvent {
        LineEvent::Down(std::io::ErrorKind::ConnectionReset.into())
    }

    fn answer(wire: &str) -> LineEvent {
        let (id, outcome, held) = (wire.to_owned(), Outcome::Served, Some(1.0));
        LineEvent::Frame(FromServer::Answer { id, outcome, held, value: "v".to_owned() })
    }

    #[test]
    fn calls_are_spread_over_a_few_connections_and_an_idle_one_is_used_again() {
        let (mut pool, _listener) = pool(limits());
        pool.dispatch(0, sends(1, 3));
        assert_eq!(pool.open(), 2);
        pool.hear(10, 1, answer("q1.2"));
        pool.dispatch(20, sends(2, 1));
        assert_eq!((pool.open(), pool.conns[&1].out.len()), (2, 1));
        (3..20).for_each(|query| pool.dispatch(30, sends(query, 1)));
        assert_eq!(pool.conns.values().map(|c| c.out.len()).collect::<Vec<_>>(), [4; 5]);
    }

    /// A server may close a connection right after its answer: the one that rested longest is the safest.
    #[test]
    fn of_idle_connections_the_one_that_rested_longest_is_used() {
        let (mut pool, _listener) = pool(limits());
        pool.dispatch(0, sends(1, 3));
        for (now, id, wire) in [(10, 1, "q1.2"), (20, 0, "q1.1"), (30, 0, "q1.0")] {
            pool.hear(now, id, answer(wire));
        }
        pool.dispatch(40, sends(2, 1));
        assert_eq!(pool.conns[&1].out.len(), 1);
    }

    /// The end of a connection that had come up is no news of whether its server can be reached.
    #[test]
    fn what_waits_behind_a_connection_that_was_up_is_not_sent() {
        let (mut pool, _listener) = pool(PoolLimits { sockets: 1, ..limits() });
        pool.dispatch(0, sends(1, 1));
        let (executor, line) = (pool.executor.clone(), pool.conns[&0].line.clone());
        let written = async {
            while !line.unwritten().is_empty() {
                yield_now().await;
            }
        };
        async_io::block_on(executor.run(written));
        pool.dispatch(10, sends(2, 1));
        pool.hear(20, 0, broken());
        assert_eq!(outcomes(&mut pool, 30), [Outcome::ConnectionLost, Outcome::NotSent]);
    }

    fn outcomes_of_spoilt(event: LineEvent, sent: usize) -> (Vec<Outcome>, usize) {
        let (mut pool, _listener) = pool(PoolLimits { batch: 4, ..limits() });
        pool.dispatch(0, sends(1, sent));
        block_on(pool.conns[&0].line.next());
        pool.conns[&0].line.written();
        pool.hear(10, 0, event);
        (outcomes(&mut pool, 20), pool.open())
    }

    /// An answer for what is not out stands in the place of one that will not come: it must not be waited for.
    /// It is one failure of the server, whatever else was out on the connection, and none of a query's own.
    #[test]
    fn a_spoilt_answer_fails_one_attempt_and_closes_its_connection() {
        for event in [answer("q7.0"), LineEvent::Bad(plover_frames::BadFrame("noise"))] {
            let outcomes = outcomes_of_spoilt(event, 3);
            assert_eq!(outcomes, (vec![Outcome::Error, Outcome::Cancelled, Outcome::Cancelled], 0));
        }
    }

    /// A second copy or noise after a good answer fails nothing, but nobody can tell what else would come.
    #[test]
    fn surplus_after_a_good_answer_closes_the_connection_and_fails_nothing() {
        for surplus in [answer("q1.0"), LineEvent::Begun, LineEvent::Bad(plover_frames::BadFrame("noise"))] {
            let (mut pool, _listener) = pool(limits());
            pool.dispatch(0, sends(1, 1));
            pool.hear(10, 0, answer("q1.0"));
            pool.hear(10, 0, surplus);
            assert_eq!((outcomes(&mut pool, 20), pool.open()), (vec![Outcome::Served], 0));
        }
    }

    /// The answer to what was given up may cross the giving up: it spoils nothing, but counts only once.
    #[test]
    fn a_late_answer_to_what_was_given_up_is_passed_over() {
        let (mut pool, _listener) = pool(limits());
        pool.dispatch(0, sends(1, 2));
        block_on(pool.conns[&0].line.next());
        pool.conns[&0].line.written();
        pool.give_up(10, AttemptId { query: 1, part: 0, attempt: 0 });
        pool.hear(20, 0, answer("q1.0"));
        assert_eq!((outcomes(&mut pool, 20), pool.open()), (vec![Outcome::Cancelled], 1));
        pool.hear(30, 0, answer("q1.0"));
        assert_eq!((outcomes(&mut pool, 30), pool.open()), (vec![Outcome::Error], 0));
    }

    /// A length that does not fit promises bytes that never come: the attempt must not wait for its whole time.
    #[test]
    fn a_frame_that_does_not_go_on_is_spoilt() {
        let (mut pool, _listener) = pool(limits());
        pool.dispatch(0, sends(1, 1));
        block_on(pool.conns[&0].line.next());
        pool.conns[&0].line.written();
        pool.hear(10, 0, LineEvent::Begun);
        assert_eq!(pool.due(), 10 + limits().dial_timeout);
        pool.sweep(9 + limits().dial_timeout);
        assert_eq!(pool.open(), 1);
        pool.sweep(10 + limits().dial_timeout);
        assert_eq!((outcomes(&mut pool, SECOND / 2), pool.open()), (vec![Outcome::Error], 0));
    }

    /// Every dispatched attempt ends, also where no descriptor is left for it.
    #[test]
    fn with_no_descriptor_left_an_idle_connection_makes_room_or_the_attempt_ends() {
        let (mut pool, listener) = pool(PoolLimits { sockets: 1, ..limits() });
        pool.dispatch(0, sends(1, 1));
        let other = NodeId("s1".into());
        pool.learn(0, other.clone(), Some(listener.local_addr().unwrap()));
        let to_other =
            |query| sends(query, 1).into_iter().map(|s| Send { server: other.clone(), ..s }).collect();
        pool.dispatch(0, to_other(2));
        assert_eq!(outcomes(&mut pool, 30), [Outcome::NoConnection]);
        pool.hear(10, 0, answer("q1.0"));
        pool.dispatch(20, to_other(3));
        assert_eq!((outcomes(&mut pool, 30), pool.open()), (vec![Outcome::Served], 1));
    }

    /// A part that crosses the server's closing of an idle connection would end as a reset.
    #[test]
    fn idle_connections_are_closed_before_the_server_does() {
        let (mut pool, _listener) = pool(limits());
        pool.dispatch(0, sends(1, 1));
        pool.hear(100, 0, answer("q1.0"));
        pool.sweep(11 * SECOND);
        assert_eq!(pool.open(), 1);
        pool.sweep(12 * SECOND);
        assert_eq!(pool.open(), 0);
    }

    /// Within the drain's grace nothing may go out, not even what waited for a connection when it began.
    #[test]
    fn what_waits_for_a_server_that_leaves_is_taken_back() {
        let (mut pool, _listener) = pool(limits());
        pool.dispatch(0, sends(1, 2));
        pool.learn(10, server(), None);
        assert_eq!(outcomes(&mut pool, 30), [Outcome::NotSent; 2]);
        pool.dispatch(20, sends(2, 1));
        assert_eq!(outcomes(&mut pool, 30), [Outcome::NoConnection]);
        pool.sweep(20);
        assert_eq!((pool.open(), pool.servers.len()), (0, 0));
    }

    /// What was not written to its last byte never ran; what was may have, or may yet.
    #[test]
    fn the_end_of_an_attempt_tells_whether_it_may_have_run() {
        let (mut pool, _listener) = pool(limits());
        pool.dispatch(0, sends(1, 1));
        assert_eq!(outcomes(&mut pool, SECOND), [Outcome::NoConnection]);
        pool.dispatch(0, sends(2, 2));
        let line = pool.conns[&0].line.clone();
        block_on(line.next());
        pool.hear(20, 0, broken());
        assert_eq!(outcomes(&mut pool, 30), [Outcome::NoConnection; 2]);
        pool.dispatch(30, sends(3, 1));
        let (executor, inbox) = (pool.executor.clone(), pool.inbox.clone());
        let line = pool.conns[&1].line.clone();
        let written = async {
            while !line.unwritten().is_empty() {
                yield_now().await;
            }
        };
        async_io::block_on(executor.run(written));
        assert!(!inbox.take().iter().any(|i| matches!(i, Input::Line(1, LineEvent::Down(_)))));
        pool.hear(40, 1, broken());
        assert_eq!(outcomes(&mut pool, 30), [Outcome::ConnectionLost]);
    }

    /// Over a cut link connections stay open and silent; one that has spoken is kept.
    #[test]
    fn a_connection_that_stays_silent_is_closed_with_the_attempt_that_waited_in_vain() {
        for spoke in [false, true] {
            let (mut pool, _listener) = pool(limits());
            pool.dispatch(0, sends(1, 2));
            block_on(pool.conns[&0].line.next());
            pool.conns[&0].line.written();
            if spoke {
                pool.hear(100, 0, answer("q1.1"));
            }
            let outcomes = outcomes(&mut pool, SECOND);
            pool.sweep(SECOND);
            assert_eq!(outcomes.last(), Some(&Outcome::TimedOut));
            assert_eq!(pool.open(), usize::from(spoke));
        }
    }

    /// A further attempt at a part must not go out while a stuck socket holds back the giving up of the first.
    #[test]
    fn a_connection_that_is_stuck_in_a_frame_ends_with_the_first_attempt_given_up() {
        let (mut pool, _listener) = pool(limits());
        pool.dispatch(0, sends(1, 2));
        block_on(pool.conns[&0].line.next());
        pool.give_up(SECOND / 2, AttemptId { query: 1, part: 0, attempt: 0 });
        assert_eq!(outcomes(&mut pool, SECOND / 2), [Outcome::Cancelled, Outcome::NoConnection]);
        assert_eq!(pool.open(), 0);
    }
}
