//! Exhaustive model check of a small case: two processes and one idempotency key, with delayed messages,
//! links that end, processes that die and clients that retry. No part may run again once data servers no
//! longer drop its repeat, whichever process sends it.

use plover_handover::wire::{KeyOwner, Message};
use plover_handover::{KeyedSend, LocalProcess, Siblings, Timeouts, Update};
use stateright::{Checker, Model, Property};

/// Time for which data servers drop a repeat.
const WINDOW: u64 = 1;
/// Time for which clients retry after the part first ran.
const RETRY_TIME: u64 = 2;
/// Time at which the model stops. The window and the retry time bound what can happen until then.
const END: u64 = 3;
/// Maximum number of requests under the key that each process receives. The properties also hold with 2, over
/// 3,831,118 states.
const MAX_REQUESTS: u8 = 1;
const TIMEOUTS: Timeouts = Timeouts { greeting: 1, stall: 1, quarantine: RETRY_TIME };

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct Process {
    alive: bool,
    siblings: Siblings,
    /// Bytes in transit to this process.
    received: Vec<u8>,
    /// Whether the socket buffer to this process is full, so that the other one cannot write.
    buffer_full: bool,
    /// Whether the other process has closed the link.
    peer_closed: bool,
    /// Whether this process has the link open.
    linked: bool,
    /// Time at which the key was first sent, as far as this process knows; `None` if it knows of no send.
    first_sent: Option<u64>,
    /// Whether this process has not yet sent the state that it had before the greeting.
    state_unsent: bool,
    /// Number of client requests under the key that this process received.
    requests: u8,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct State {
    now: u64,
    processes: Vec<Process>,
    /// Time at which the part first ran on a data server; `None` if it has not run.
    first_run: Option<u64>,
    /// Whether the part ran again after its window.
    ran_late: bool,
}

#[derive(Clone, Debug, PartialEq, Eq)]
enum Action {
    Tick,
    /// One turn of a process; `true` if a client sends a request under the key in it.
    Turn(usize, bool),
    Kill(usize),
    /// The socket buffer to a process becomes full.
    Fill(usize),
    /// A process notices that its disconnected sibling has ended.
    ObserveEnd(usize),
}

struct HandoverModel {
    /// Whether a process sends without asking whether keyed sends are allowed.
    unguarded: bool,
}

impl HandoverModel {
    fn turn(&self, state: &mut State, n: usize, request: bool) {
        let now = state.now;
        let other = 1 - n;
        let mut bytes = std::mem::take(&mut state.processes[n].received);
        let process = &mut state.processes[n];
        process.siblings.begin_turn(now);
        process.buffer_full = false;
        let mut updates = Vec::new();
        if process.linked && !bytes.is_empty() {
            updates = process.siblings.received(now, 1, &bytes).0;
        }
        bytes.clear();
        for update in updates {
            if let Update::Key(Message::KeySent { at, .. }) = update {
                process.first_sent = Some(process.first_sent.map_or(at, |first_sent| first_sent.min(at)));
            }
        }
        if process.linked && process.peer_closed {
            process.linked = false;
            let alive = state.processes[other].alive;
            state.processes[n].siblings.link_lost(now, 1, alive);
        }
        for id in state.processes[n].siblings.tick(now) {
            // The link is closed after the stall time, and the other process reads its end.
            state.processes[n].linked = false;
            let alive = state.processes[other].alive;
            state.processes[other].peer_closed = true;
            state.processes[n].siblings.link_lost(now, id, alive);
        }
        let process = &mut state.processes[n];
        if process.linked && process.state_unsent && !process.siblings.greeted_links().is_empty() {
            process.state_unsent = false;
            if let Some(at) = process.first_sent {
                process.siblings.send(
                    now,
                    1,
                    &Message::KeySent {
                        key: "k".into(),
                        shard: 0,
                        at,
                        until: at,
                        key_owner: KeyOwner::default(),
                    },
                );
            }
            process.siblings.send(now, 1, &Message::StateSent);
        }
        let may_send =
            |process: &Process| self.unguarded || process.siblings.keyed_send(now) == KeyedSend::Allowed;
        self.flush(state, n);
        let process = &mut state.processes[n];
        process.requests += u8::from(request);
        if !request
            || !may_send(process)
            || process.first_sent.is_some_and(|first_sent| now >= first_sent + WINDOW)
        {
            return;
        }
        process.first_sent.get_or_insert(now);
        if process.linked && !process.state_unsent {
            process.siblings.send(
                now,
                1,
                &Message::KeySent {
                    key: "k".into(),
                    shard: 0,
                    at: now,
                    until: now,
                    key_owner: KeyOwner::default(),
                },
            );
        }
        self.flush(state, n);
        if may_send(&state.processes[n]) {
            state.ran_late |= state.first_run.is_some_and(|first_run| now >= first_run + WINDOW);
            state.first_run.get_or_insert(now);
        }
    }

    fn flush(&self, state: &mut State, n: usize) {
        if !state.processes[n].linked || state.processes[n].peer_closed || state.processes[1 - n].buffer_full
        {
            return;
        }
        let bytes = state.processes[n].siblings.unsent(1).to_vec();
        state.processes[n].siblings.written(state.now, 1, bytes.len());
        state.processes[1 - n].received.extend(bytes);
    }
}

impl Model for HandoverModel {
    type State = State;
    type Action = Action;

    fn init_states(&self) -> Vec<State> {
        let process = |started: u64| {
            let local = LocalProcess { name: "n".into(), started, pid: started as u32 };
            let mut siblings = Siblings::new(local, TIMEOUTS);
            siblings.connected(0, 1, 3 - started as u32);
            Process {
                alive: true,
                siblings,
                received: Vec::new(),
                buffer_full: false,
                peer_closed: false,
                linked: true,
                first_sent: None,
                state_unsent: true,
                requests: 0,
            }
        };
        let nothing_sent =
            State { now: 0, processes: vec![process(1), process(2)], first_run: None, ran_late: false };
        // The old process sent the key before the new one started.
        let mut already_sent = nothing_sent.clone();
        already_sent.processes[0].first_sent = Some(0);
        already_sent.first_run = Some(0);
        vec![nothing_sent, already_sent]
    }

    fn actions(&self, state: &State, actions: &mut Vec<Action>) {
        if state.now < END {
            actions.push(Action::Tick);
        }
        // A client retries for a limited time after its first request.
        let clients_retry = state.first_run.is_none_or(|first_run| state.now < first_run + RETRY_TIME);
        for n in (0..2).filter(|n| state.processes[*n].alive) {
            actions.push(Action::Turn(n, false));
            if clients_retry && state.processes[n].requests < MAX_REQUESTS {
                actions.push(Action::Turn(n, true));
            }
            actions.push(Action::Kill(n));
            if !state.processes[1 - n].alive && !state.processes[n].siblings.disconnected().is_empty() {
                actions.push(Action::ObserveEnd(n));
            }
        }
        actions.extend((0..2).filter(|n| !state.processes[*n].buffer_full).map(Action::Fill));
    }

    fn next_state(&self, last: &State, action: Action) -> Option<State> {
        let mut state = last.clone();
        match action {
            Action::Tick => state.now += 1,
            Action::Turn(n, request) => self.turn(&mut state, n, request),
            Action::Kill(n) => {
                state.processes[n].alive = false;
                // Bytes that it wrote before are still read.
                state.processes[1 - n].peer_closed = true;
            }
            Action::Fill(n) => state.processes[n].buffer_full = true,
            Action::ObserveEnd(n) => {
                let pid = state.processes[n].siblings.disconnected()[0];
                state.processes[n].siblings.process_ended(state.now, pid);
            }
        }
        (state != *last).then_some(state)
    }

    fn properties(&self) -> Vec<Property<Self>> {
        vec![
            Property::always("no part runs again after its window", |_, state: &State| !state.ran_late),
            Property::sometimes("the part has run and both processes know of its key", |_, state: &State| {
                state.processes.iter().all(|process| process.first_sent.is_some())
                    && state.first_run.is_some()
            }),
        ]
    }
}

#[test]
fn no_order_of_messages_and_deaths_runs_a_part_after_its_window() {
    let checker = HandoverModel { unguarded: false }.checker().threads(2).spawn_bfs().join();
    checker.assert_properties();
    eprintln!("{} states", checker.unique_state_count());
}

/// The model detects the fault: without the check of keyed sends, a part runs again after its window.
#[test]
fn without_the_guard_a_part_runs_after_its_window() {
    let checker = HandoverModel { unguarded: true }.checker().threads(2).spawn_bfs().join();
    assert!(checker.discovery("no part runs again after its window").is_some());
}
