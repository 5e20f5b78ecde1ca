//! How attempts and connections end.

use super::write_item::WriteItem;
use super::{EndedAttempt, InFlight, STALLED_AFTER, Upstream};
use crate::inbox::ConnectionEvent;
use plover_frames::FromServer;
use plover_model::query::{AttemptId, QueryId};
use plover_model::server::Outcome;
use plover_model::time::Micros;
use tracing::{debug, warn};

/// A connection is suspect if an attempt is abandoned on it after this number of dial time-outs and nothing
/// was received since the attempt was sent. A cut link leaves connections open and silent, and TCP does not
/// notice.
const SILENT_DIAL_TIMEOUTS: Micros = 2;

impl Upstream {
    /// Stops waiting for an attempt that was cancelled.
    pub fn cancel(&mut self, now: Micros, attempt: AttemptId) {
        self.abandon(now, attempt, Outcome::Cancelled);
    }

    /// Ends the unsent attempts of a query that has ended, and forgets which connections carried its parts. An
    /// attempt of which no byte was written is not sent, whether or not the settings let the decision module
    /// cancel attempts.
    pub fn withdraw_query(&mut self, now: Micros, query: QueryId) {
        let first = AttemptId { query, part: 0, attempt: 0 };
        let of_query = self.in_flight.range(first..).take_while(|(attempt, _)| attempt.query == query);
        let of_query: Vec<(AttemptId, u64)> = of_query.map(|(attempt, f)| (*attempt, f.connection)).collect();
        let next_query = AttemptId { query: query + 1, ..first };
        self.assigned.extract_if(first..next_query, |_, _| true).for_each(drop);
        for (attempt, connection) in of_query {
            if self.connections.get(&connection).is_some_and(|c| c.connection.withdraw(attempt)) {
                self.end_attempt(now, attempt, Outcome::NotSent, None, None);
            }
        }
    }

    /// Ends an attempt that was cancelled or timed out, and tells its server if a byte of it was written.
    pub(super) fn abandon(&mut self, now: Micros, attempt: AttemptId, outcome: Outcome) {
        let Some(flight) = self.in_flight.get(&attempt) else { return };
        let (id, sent) = (flight.connection, flight.sent);
        let unsent = self.connections.get(&id).is_some_and(|c| c.connection.withdraw(attempt));
        let (max_cancelled, dial_timeout) = (self.limits.max_parts_per_connection, self.limits.dial_timeout);
        let mut write_blocked = false;
        if unsent {
            self.assigned.remove(&attempt);
        } else {
            let staged = self.connections.change(id, |pooled| {
                let entry = pooled.in_flight.iter().find(|(_, other)| *other == attempt);
                let Some(part) = entry.map(|(part, _)| part.clone()) else { return false };
                pooled.cancelled.push_back(part.clone());
                // What may still be answered is kept, so it is the connection that has to go.
                pooled.retiring |= pooled.cancelled.len() >= max_cancelled;
                let overdue = pooled.server.is_overdue(now, sent);
                let cut = now - sent >= SILENT_DIAL_TIMEOUTS * dial_timeout;
                let stalled = pooled.partial_since.is_some_and(|at| now.saturating_sub(at) >= STALLED_AFTER);
                pooled.retiring |= (pooled.last_received <= sent && (overdue || cut)) || stalled;
                write_blocked = pooled.connection.is_write_blocked();
                // If the connection closes with this attempt, the close tells the server.
                let closes = pooled.retiring && pooled.in_flight.len() == 1;
                !closes && pooled.connection.stage(WriteItem::Cancel(part))
            });
            if staged == Some(true) {
                self.staged.push(id);
            }
        }
        // An attempt that was still queued here when its time ended never ran. It waited for a connection
        // that was not established.
        let outcome = if unsent && outcome == Outcome::TimedOut { Outcome::NoConnection } else { outcome };
        self.end_attempt(now, attempt, outcome, None, None);
        // Nothing can be written, not even the cancellation. Only closing the connection keeps a further
        // attempt at the part from running beside this one.
        if write_blocked {
            self.close_broken(now, id);
        }
    }

    /// Ends an attempt. Every attempt ends here.
    pub(super) fn end_attempt(
        &mut self,
        now: Micros,
        attempt: AttemptId,
        outcome: Outcome,
        load: Option<f64>,
        value: Option<String>,
    ) {
        let Some(flight) = self.in_flight.remove(&attempt) else { return };
        self.deadlines.remove(&(flight.deadline, attempt));
        self.connections.change(flight.connection, |pooled| {
            pooled.remove(attempt);
            pooled.last_used = now;
        });
        let (elapsed, connected_at) = match outcome {
            Outcome::Served => (self.service_time(now, &flight), self.connected_at(&flight)),
            _ => (now.saturating_sub(flight.sent), None),
        };
        self.ended.push(EndedAttempt { attempt, outcome, elapsed, load, connected_at, value });
    }

    /// Time for which the server of an attempt had it. The time until the connection was established is left
    /// out, as it says nothing about the speed of the server: the hundreds of connections of a first wide
    /// query are established one after another.
    fn service_time(&self, now: Micros, flight: &InFlight) -> Micros {
        now.saturating_sub(flight.sent.max(self.connected_at(flight).unwrap_or(0)))
    }

    /// When the connection of an attempt was established; `None` if it was not.
    fn connected_at(&self, flight: &InFlight) -> Option<Micros> {
        let connected_at = self.connections.get(&flight.connection)?.connection.connected_at();
        (connected_at > 0).then_some(connected_at)
    }

    /// Handles an event of a connection.
    pub fn handle_event(&mut self, now: Micros, id: u64, event: ConnectionEvent) {
        if let ConnectionEvent::Expired = event {
            return self.handle_expired(now, id);
        }
        let partial = matches!(event, ConnectionEvent::PartialFrame).then_some(now);
        let received = self.connections.change(id, |pooled| {
            pooled.last_received = now;
            let surplus = partial.is_some() && pooled.in_flight.is_empty() && pooled.cancelled.is_empty();
            pooled.partial_since = partial.filter(|_| !surplus);
            surplus
        });
        let Some(surplus) = received else { return };
        match event {
            ConnectionEvent::Frame(FromServer::Answer { id: part, outcome, held, value }) => {
                self.handle_answer(now, id, &part, outcome, held, value);
            }
            ConnectionEvent::PartialFrame if surplus => {
                self.close_corrupt(now, id, "frame received with no attempt in flight");
            }
            ConnectionEvent::PartialFrame | ConnectionEvent::Expired => {}
            ConnectionEvent::Frame(FromServer::Rejected(words)) => {
                if let Some(pooled) = self.connections.get(&id) {
                    warn!(name: "upstream_rejected", server = %pooled.server.name.0, words);
                }
            }
            ConnectionEvent::Closed(error) => {
                if let Some(pooled) = self.connections.get(&id).filter(|c| !c.in_flight.is_empty()) {
                    let out = pooled.in_flight.len();
                    warn!(name: "upstream_down", server = %pooled.server.name.0, error = %error, out);
                }
                self.close_broken(now, id);
            }
            ConnectionEvent::BadFrame(bad) => self.close_corrupt(now, id, bad.0),
        }
    }

    fn handle_answer(
        &mut self,
        now: Micros,
        id: u64,
        part: &str,
        outcome: Outcome,
        held: Option<f64>,
        value: String,
    ) {
        let Some(pooled) = self.connections.get(&id) else { return };
        if let Some(attempt) = pooled.attempt_answered_by(part) {
            if let Some(flight) = self.in_flight.get(&attempt) {
                pooled.server.record_answer(flight.sent, self.service_time(now, flight));
            }
            let value = (outcome == Outcome::Served).then_some(value);
            return self.end_attempt(now, attempt, outcome, held, value);
        }
        // A cancelled attempt may still be answered; that answer is ignored. Any other answer was sent in
        // place of one that is awaited, which will not come.
        match pooled.cancelled.iter().position(|cancelled| cancelled.is(part)) {
            Some(position) => {
                debug!(name: "upstream_late_answer", server = %pooled.server.name.0, part, outcome = ?outcome);
                _ = self.connections.change(id, |pooled| pooled.cancelled.remove(position));
            }
            None => self.close_corrupt(now, id, "answer to an attempt that is not in flight"),
        }
    }

    /// Ends the attempts that were not written before their write deadline. They never ran. An attempt whose
    /// own deadline has passed as well ends by that deadline instead.
    fn handle_expired(&mut self, now: Micros, id: u64) {
        let Some(pooled) = self.connections.get(&id) else { return };
        for attempt in pooled.connection.expired() {
            if self.in_flight.get(&attempt).is_some_and(|f| f.deadline > now) {
                self.abandon(now, attempt, Outcome::NotSent);
            }
        }
    }

    /// Closes a connection on which a frame was received that answers nothing: no later frame on it can be
    /// trusted.
    ///
    /// With nothing in flight, the frame is surplus after a good answer and no attempt fails. Otherwise the
    /// oldest attempt counts as an error, which may have run. The other attempts may have run too, but count
    /// neither against their server, which has failed only once, nor against their query, which does not make
    /// servers fail.
    pub(super) fn close_corrupt(&mut self, now: Micros, id: u64, error: &str) {
        let Some(pooled) = self.connections.get(&id) else { return };
        warn!(
            name: "upstream_bad_frame", server = %pooled.server.name.0, error,
            out = pooled.in_flight.len()
        );
        let unwritten = pooled.connection.unwritten();
        let mut attempts: Vec<AttemptId> = pooled.in_flight.iter().map(|(_, attempt)| *attempt).collect();
        attempts.sort_by_key(|attempt| (self.in_flight.get(attempt).map(|f| f.sent), *attempt));
        let mut blamed = false;
        for attempt in attempts {
            let outcome = if unwritten.contains(&attempt) {
                Outcome::NotSent
            } else if std::mem::replace(&mut blamed, true) {
                Outcome::Cancelled
            } else {
                Outcome::Error
            };
            self.end_attempt(now, attempt, outcome, None, None);
        }
        self.close(id);
    }

    /// Ends all attempts in flight on a broken connection and closes it. An attempt whose frame was not
    /// written to its last byte never ran; any other may have run. What was queued behind a connection that
    /// had been established says nothing about whether the server can be reached.
    fn close_broken(&mut self, now: Micros, id: u64) {
        let Some(pooled) = self.connections.get(&id) else { return };
        let (unwritten, was_connected) = (pooled.connection.unwritten(), pooled.connection.was_connected());
        let server_alive = pooled.server.newest_answered.get() > pooled.dialled_at;
        for (_, attempt) in pooled.in_flight.clone() {
            let outcome = match unwritten.contains(&attempt) {
                true if was_connected || server_alive => Outcome::NotSent,
                true => Outcome::NoConnection,
                false => Outcome::ConnectionLost,
            };
            self.end_attempt(now, attempt, outcome, None, None);
        }
        self.close(id);
    }

    /// Stops using a connection for new calls, lets what was written on it finish and withdraws what is still
    /// queued.
    pub(super) fn retire(&mut self, now: Micros, id: u64) {
        let withdrawn = self.connections.change(id, |pooled| {
            pooled.retiring = true;
            pooled.connection.withdraw_all()
        });
        for attempt in withdrawn.into_iter().flatten() {
            self.assigned.remove(&attempt);
            self.end_attempt(now, attempt, Outcome::NotSent, None, None);
        }
    }

    /// Closes a connection. Every connection is closed here.
    pub(super) fn close(&mut self, id: u64) {
        let Some(pooled) = self.connections.remove(id) else { return };
        self.sockets.remove(id);
        pooled.connection.shutdown();
        pooled.server.connections.borrow_mut().remove(&id);
        self.remove_if_unused(&pooled.server);
    }
}
