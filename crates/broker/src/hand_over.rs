//! The hand-over between processes that are one broker, as a part of its turns: what is said and believed is decided by
//! `plover_handover`, the sockets are those of [`crate::neighbours`].

use crate::neighbours::Sockets;
use crate::parts::{Entry, Part, Told, View, Want};
use plover_handover::wire::Word;
use plover_handover::{Keyed, Neighbours, News};
use plover_model::query::Ask;
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
}

impl HandOver {
    pub(crate) fn new(sockets: Sockets, clock: Clock) -> Self {
        HandOver { sockets, clock, copies: 1 }
    }

    /// Hears out the processes that are there already, before this one says that it serves.
    fn settle(&mut self, wants: &mut Vec<Want>) {
        let mut news = Vec::new();
        // What they are owed is told as soon as they have greeted.
        loop {
            let now = self.clock.now();
            news.extend(self.sockets.turn(now));
            for id in self.sockets.owed() {
                self.sockets.known.tell(now, id, &Word::Told);
            }
            self.sockets.flush(now);
            if self.sockets.known.is_settled() {
                break;
            }
            std::thread::sleep(SETTLE_STEP);
        }
        self.take(news, wants);
    }

    /// Takes what other processes of this broker have said, and tells one that has just come all that is known.
    fn hear(&mut self, now: Micros, view: View<'_>, wants: &mut Vec<Want>) {
        let news = self.sockets.turn(now);
        let owed = self.sockets.owed();
        if !owed.is_empty() {
            let recall = Word::Recall(Box::new(view.core.snapshot(now, view.rev)));
            // What was noted before this is part of all that is known.
            let words = [recall].into_iter().chain(view.queries.tell_all()).chain([Word::Told]);
            for word in words {
                owed.iter().for_each(|id| self.sockets.tell_one(now, *id, &word));
            }
            self.sockets.flush(now);
        }
        self.take(news, wants);
    }

    fn take(&mut self, news: Vec<News>, wants: &mut Vec<Want>) {
        for news in news {
            match news {
                News::Recall(recall) => wants.push(Want::Remember(recall)),
                News::Key(word) => wants.push(Want::Hear(word)),
                News::Joined(older) => info!(name: "hand_over_joined", older),
                News::Gone => {}
            }
        }
        let copies = self.sockets.known.copies();
        if std::mem::replace(&mut self.copies, copies) != copies {
            wants.push(Want::Copies(copies));
        }
    }
}

impl Part for HandOver {
    fn told(&mut self, now: Micros, what: Told<'_>, wants: &mut Vec<Want>) {
        match what {
            Told::Start => self.settle(wants),
            Told::Begin(view) => self.hear(now, view, wants),
            // Before its attempts go out: a part of a key that they do not know of by then does not.
            Told::Decided(words) => {
                words.iter().for_each(|word| self.sockets.tell(now, word));
                self.sockets.flush(now);
            }
            Told::Retuned { quarantine } => self.sockets.known.set_quarantine(quarantine),
            Told::List | Told::Heard(_) | Told::Ended { .. } | Told::TakenOver => {}
        }
    }

    fn due(&self, now: Micros, _view: View<'_>) -> Option<Micros> {
        self.sockets.due(now)
    }

    /// One of a keyed class waits where a process that has just come is about to say who it is.
    fn entry(&mut self, now: Micros, ask: &Ask) -> Entry {
        let known = &self.sockets.known;
        let soon = ask.key.is_some() && !known.is_settled() && known.keyed(now) != Keyed::May;
        if soon { Entry::Later } else { Entry::In }
    }

    fn notes(&self) -> bool {
        self.sockets.has_told()
    }

    fn beside(&self) -> Option<&Neighbours> {
        Some(&self.sockets.known)
    }
}
