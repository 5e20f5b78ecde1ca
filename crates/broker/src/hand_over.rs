//! The hand-over between processes that are one broker, as a part of its turns: what is said and believed is decided by
//! `plover_handover`, the sockets are those of [`crate::neighbours`].

use crate::extensions::{Action, Admission, Extension, TurnEvent, View};
use crate::neighbours::Sockets;
use plover_handover::wire::Message;
use plover_handover::{KeyedSend, Siblings, Update};
use plover_model::configuration::ConfigurationReport;
use plover_model::query::QueryRequest;
use plover_model::time::Micros;
use plover_runtime::clock::Clock;
use std::time::Duration;
use tracing::info;

/// How often a process that starts looks whether those before it have spoken.
const SETTLE_STEP: Duration = Duration::from_millis(1);

/// The other processes of this broker.
pub(crate) struct HandOver {
    sockets: Sockets,
    /// For the start alone, which waits.
    clock: Clock,
    /// As it was told last.
    copies: u32,
    /// What is known of the configurations that clients may apply, for processes that come.
    configurations: ConfigurationReport,
    /// Whether others may know of further configurations, as it was told last.
    unknown_configurations: bool,
    /// Whether an older process may be alive, as it was told last.
    older: bool,
}

impl HandOver {
    pub(crate) fn new(sockets: Sockets, clock: Clock) -> Self {
        let (configurations, unknown_configurations, older) = Default::default();
        HandOver { sockets, clock, copies: 1, configurations, unknown_configurations, older }
    }

    /// Hears out the processes that are there already, before this one says that it serves.
    fn settle(&mut self, actions: &mut Vec<Action>) {
        let mut news = Vec::new();
        // What they are owed is told as soon as they have greeted.
        loop {
            let now = self.clock.now();
            news.extend(self.sockets.turn(now));
            for id in self.sockets.owed() {
                for message in [self.configurations_message(), Message::StateSent] {
                    self.sockets.tell_one(now, id, &message);
                }
            }
            self.sockets.flush(now);
            if self.sockets.known.is_settled() {
                break;
            }
            std::thread::sleep(SETTLE_STEP);
        }
        self.take(news, actions);
    }

    /// Takes what other processes of this broker have said, and tells one that has just come all that is known.
    fn hear(&mut self, now: Micros, view: View<'_>, actions: &mut Vec<Action>) {
        let news = self.sockets.turn(now);
        let owed = self.sockets.owed();
        if !owed.is_empty() {
            let recall = Message::Snapshot(Box::new(view.core.snapshot(now, view.rev)));
            // What was noted before this is part of all that is known.
            let first = [self.configurations_message(), recall].into_iter();
            let words = first.chain(view.queries.all_updates(now)).chain([Message::StateSent]);
            for word in words {
                owed.iter().for_each(|id| self.sockets.tell_one(now, *id, &word));
            }
            self.sockets.flush(now);
        }
        self.take(news, actions);
    }

    fn configurations_message(&self) -> Message {
        Message::Configurations(Box::new(self.configurations.clone()))
    }

    fn take(&mut self, news: Vec<Update>, actions: &mut Vec<Action>) {
        for news in news {
            match news {
                Update::Snapshot(recall) => actions.push(Action::Restore(recall)),
                Update::Key(word) => actions.push(Action::ApplyUpdate(word)),
                Update::Configurations { link, older, report } => {
                    actions.push(Action::AdoptConfigurations { link, older, report });
                }
                Update::Joined(older) => info!(name: "hand_over_joined", older),
                Update::Gone => {}
            }
        }
        let unknown = self.sockets.known.has_unknown_configurations();
        if std::mem::replace(&mut self.unknown_configurations, unknown) != unknown {
            actions.push(Action::SetUnknownConfigurations(unknown));
        }
        let older = self.sockets.known.has_older();
        if std::mem::replace(&mut self.older, older) != older {
            actions.push(Action::SetOlderProcess(older));
        }
        let copies = self.sockets.known.process_count();
        if std::mem::replace(&mut self.copies, copies) != copies {
            actions.push(Action::SetProcessCount(copies));
        }
    }
}

impl Extension for HandOver {
    fn on_event(&mut self, now: Micros, what: TurnEvent<'_>, actions: &mut Vec<Action>) {
        match what {
            TurnEvent::Start => self.settle(actions),
            TurnEvent::TurnStart(view) => self.hear(now, view, actions),
            // Before its attempts go out: a part of a key that they do not know of by then does not.
            TurnEvent::Decided(words) => {
                words.iter().for_each(|word| self.sockets.tell(now, word));
                self.sockets.flush(now);
            }
            TurnEvent::Configurations { report, tell } => {
                self.configurations.clone_from(report);
                if tell && self.sockets.has_told() {
                    self.sockets.tell(now, &self.configurations_message());
                    self.sockets.flush(now);
                }
            }
            TurnEvent::Reconfigured { quarantine } => self.sockets.known.set_quarantine(quarantine),
            TurnEvent::WholeList
            | TurnEvent::InputTaken(_)
            | TurnEvent::QueryEnded { .. }
            | TurnEvent::StateReceived => {}
        }
    }

    fn due(&self, now: Micros, _view: View<'_>) -> Option<Micros> {
        self.sockets.due(now)
    }

    /// One of a keyed class waits where a process that has just come is about to say who it is.
    fn admit(&mut self, now: Micros, ask: &QueryRequest) -> Admission {
        let known = &self.sockets.known;
        let soon = ask.idempotency_key.is_some()
            && !known.is_settled()
            && known.keyed_send(now) != KeyedSend::Allowed;
        if soon { Admission::Deferred } else { Admission::Admitted }
    }

    fn wants_updates(&self) -> bool {
        self.sockets.has_told()
    }

    fn siblings(&self) -> Option<&Siblings> {
        Some(&self.sockets.known)
    }
}
