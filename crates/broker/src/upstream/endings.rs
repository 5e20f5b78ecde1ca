//! How attempts and connections end.

use super::connection::WriteItem;
use super::{EndedAttempt, HALTED, InFlight, Upstream};
use crate::inbox::ConnectionEvent;
use plover_frames::FromServer;
use plover_model::query::{AttemptId, QueryId};
use plover_model::server::Outcome;
use plover_model::time::Micros;
use tracing::warn;

/// An attempt given up in so many dial time-outs without a word on its connection makes that suspect: a cut
/// link leaves connections open and silent, and TCP does not notice.
const SILENT_DIALS: Micros = 2;

impl Upstream {
    /// Stops waiting for an attempt that was called off.
    pub fn cancel(&mut self, now: Micros, attempt: AttemptId) {
        self.abandon(now, attempt, Outcome::Cancelled);
    }

    /// A query has ended: what has not begun to be written for it is not sent, whether or not the decisions may call it off.
    pub fn withdraw_query(&mut self, now: Micros, query: QueryId) {
        let first = AttemptId { query, part: 0, attempt: 0 };
        let of_it = self.in_flight.range(first..).take_while(|(attempt, _)| attempt.query == query);
        let of_it: Vec<(AttemptId, u64)> = of_it.map(|(attempt, f)| (*attempt, f.conn)).collect();
        for (attempt, conn) in of_it {
            if self.connections.get(&conn).is_some_and(|c| c.connection.withdraw(attempt)) {
                self.end(now, attempt, Outcome::NotSent, None, None);
            }
        }
    }

    pub(super) fn abandon(&mut self, now: Micros, attempt: AttemptId, outcome: Outcome) {
        let Some(flight) = self.in_flight.get(&attempt) else { return };
        let (id, sent) = (flight.conn, flight.sent);
        let unsent = self.connections.get(&id).is_some_and(|c| c.connection.withdraw(attempt));
        let (most, dial) = (self.limits.max_parts_per_connection, self.limits.dial_timeout);
        let mut stuck = false;
        if !unsent {
            let staged = self.connections.change(id, |conn| {
                let out = conn.out.iter().find(|(_, other)| *other == attempt);
                let Some(part) = out.map(|(part, _)| part.clone()) else { return false };
                if conn.given_up.len() >= most {
                    conn.given_up.pop_front();
                }
                conn.given_up.push_back(part.clone());
                let late = conn.server.is_late(now, sent);
                let cut = now - sent >= SILENT_DIALS * dial;
                let halted = conn.begun.is_some_and(|at| now.saturating_sub(at) >= HALTED);
                conn.retiring |= (conn.heard <= sent && (late || cut)) || halted;
                stuck = conn.connection.is_stuck();
                // Where it closes with that, its closing says so.
                let closes = conn.retiring && conn.out.len() == 1;
                !closes && conn.connection.stage(WriteItem::Cancel(part))
            });
            if staged == Some(true) {
                self.staged.push(id);
            }
        }
        // Still on this side when its time ended: never ran. The wait was for a connection that did not come up.
        let outcome = if unsent && outcome == Outcome::TimedOut { Outcome::NoConnection } else { outcome };
        self.end(now, attempt, outcome, None, None);
        // Nothing gets through, the giving up neither: only the end of the connection keeps a further attempt
        // at the part from being a second one beside it.
        if stuck {
            self.lose(now, id);
        }
    }

    /// The one place where an attempt is given back.
    pub(super) fn end(
        &mut self,
        now: Micros,
        attempt: AttemptId,
        outcome: Outcome,
        load: Option<f64>,
        value: Option<String>,
    ) {
        let Some(flight) = self.in_flight.remove(&attempt) else { return };
        self.deadlines.remove(&(flight.deadline, attempt));
        self.connections.change(flight.conn, |conn| {
            conn.remove(attempt);
            conn.used = now;
        });
        let (elapsed, connected_at) = match outcome {
            Outcome::Served => (self.served_in(now, &flight), self.connected_at(&flight)),
            _ => (now.saturating_sub(flight.sent), None),
        };
        self.ended.push(EndedAttempt { attempt, outcome, elapsed, load, connected_at, value });
    }

    /// How long the server of an attempt had it. The time until its connection was up tells nothing of how fast its server
    /// works: hundreds of connections of a first wide query come up one after another.
    fn served_in(&self, now: Micros, flight: &InFlight) -> Micros {
        now.saturating_sub(flight.sent.max(self.connected_at(flight).unwrap_or(0)))
    }

    /// Since when the connection of an attempt is up.
    fn connected_at(&self, flight: &InFlight) -> Option<Micros> {
        let up_at = self.connections.get(&flight.conn)?.connection.up_at();
        (up_at > 0).then_some(up_at)
    }

    /// Takes news of a connection.
    pub fn handle_event(&mut self, now: Micros, id: u64, event: ConnectionEvent) {
        if let ConnectionEvent::Expired = event {
            return self.take_late(now, id);
        }
        let begun = matches!(event, ConnectionEvent::PartialFrame).then_some(now);
        let heard = self.connections.change(id, |conn| {
            conn.heard = now;
            let surplus = begun.is_some() && conn.out.is_empty() && conn.given_up.is_empty();
            conn.begun = begun.filter(|_| !surplus);
            surplus
        });
        let Some(surplus) = heard else { return };
        match event {
            ConnectionEvent::Frame(FromServer::Answer { id: part, outcome, held, value }) => {
                self.take_answer(now, id, &part, outcome, held, value);
            }
            ConnectionEvent::PartialFrame if surplus => self.spoil(now, id, "nothing is out"),
            ConnectionEvent::PartialFrame | ConnectionEvent::Expired => {}
            ConnectionEvent::Frame(FromServer::Rejected(words)) => {
                if let Some(conn) = self.connections.get(&id) {
                    warn!(name: "upstream_rejected", server = %conn.server.name.0, words);
                }
            }
            ConnectionEvent::Closed(error) => {
                if let Some(conn) = self.connections.get(&id).filter(|c| !c.out.is_empty()) {
                    let out = conn.out.len();
                    warn!(name: "upstream_down", server = %conn.server.name.0, error = %error, out);
                }
                self.lose(now, id);
            }
            ConnectionEvent::BadFrame(bad) => self.spoil(now, id, bad.0),
        }
    }

    fn take_answer(
        &mut self,
        now: Micros,
        id: u64,
        part: &str,
        outcome: Outcome,
        held: Option<f64>,
        value: String,
    ) {
        let Some(conn) = self.connections.get(&id) else { return };
        if let Some(attempt) = conn.answered(part) {
            if let Some(f) = self.in_flight.get(&attempt) {
                conn.server.hear(f.sent, self.served_in(now, f));
            }
            let value = (outcome == Outcome::Served).then_some(value);
            return self.end(now, attempt, outcome, held, value);
        }
        // One that was given up may still be answered: that is no longer asked for. Any other answer is
        // one in the place of what was asked for, which will not come.
        match conn.given_up.iter().position(|given_up| given_up.is(part)) {
            Some(place) => _ = self.connections.change(id, |conn| conn.given_up.remove(place)),
            None => self.spoil(now, id, "its id is not out"),
        }
    }

    /// What was to be written by a moment that has passed was not: it never ran. One whose own time is over ends with that.
    fn take_late(&mut self, now: Micros, id: u64) {
        let Some(conn) = self.connections.get(&id) else { return };
        for attempt in conn.connection.late() {
            if self.in_flight.get(&attempt).is_some_and(|f| f.deadline > now) {
                self.abandon(now, attempt, Outcome::NotSent);
            }
        }
    }

    /// A frame came that answers nothing: nothing after it on this connection is worth waiting for, so it is
    /// closed at once. With nothing out this is surplus to a good answer, and no attempt fails. Else the oldest
    /// attempt counts as an error, which may have run; those beside it may have run too, but tell nothing of
    /// their server, which has failed but once, nor of their query, which does not bring down servers.
    pub(super) fn spoil(&mut self, now: Micros, id: u64, error: &str) {
        let Some(conn) = self.connections.get(&id) else { return };
        warn!(name: "upstream_bad_frame", server = %conn.server.name.0, error, out = conn.out.len());
        let unwritten = conn.connection.unwritten();
        let mut out: Vec<AttemptId> = conn.out.iter().map(|(_, attempt)| *attempt).collect();
        out.sort_by_key(|attempt| (self.in_flight.get(attempt).map(|f| f.sent), *attempt));
        let mut blamed = false;
        for attempt in out {
            let outcome = if unwritten.contains(&attempt) {
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
        let Some(conn) = self.connections.get(&id) else { return };
        let (unwritten, was_up) = (conn.connection.unwritten(), conn.connection.was_up());
        let lives = conn.server.answered.get() > conn.dialled;
        for (_, attempt) in conn.out.clone() {
            let outcome = match unwritten.contains(&attempt) {
                true if was_up || lives => Outcome::NotSent,
                true => Outcome::NoConnection,
                false => Outcome::ConnectionLost,
            };
            self.end(now, attempt, outcome, None, None);
        }
        self.close(id);
    }

    /// Lets a connection finish what is out on it, and takes back what it has not begun to write.
    pub(super) fn retire(&mut self, now: Micros, id: u64) {
        let taken = self.connections.change(id, |conn| {
            conn.retiring = true;
            conn.connection.withdraw_all()
        });
        for attempt in taken.into_iter().flatten() {
            self.end(now, attempt, Outcome::NotSent, None, None);
        }
    }

    /// The one place where a connection is given back.
    pub(super) fn close(&mut self, id: u64) {
        let Some(conn) = self.connections.remove(id) else { return };
        self.sockets.remove(id);
        conn.connection.shut();
        conn.server.connections.borrow_mut().remove(&id);
        self.forget(&conn.server);
    }
}
