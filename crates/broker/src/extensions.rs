//! The seam between the turn loop and the extensions that an operator may leave out.
//!
//! The loop knows no such extension by name. It tells all that are on what happens in a turn ([`TurnEvent`]), carries out what they
//! want ([`Action`]), asks them what bears on it, and wakes when one is due. One that is off is not in the list: a turn
//! costs nothing for it, see the test.
//!
//! A extension owns its own state and sockets, and sees the rest of the broker in a [`View`] alone.

use crate::queries::Queries;
use plover_core::Core;
use plover_handover::Neighbours;
use plover_handover::wire::Word;
use plover_model::query::QueryRequest;
use plover_model::snapshot::Snapshot;
use plover_model::time::Micros;
use plover_ops::Census;

/// What a extension may see of the broker.
#[derive(Clone, Copy)]
pub(crate) struct View<'a> {
    pub(crate) core: &'a Core,
    pub(crate) queries: &'a Queries,
    /// The version of the list in force.
    pub(crate) rev: u64,
}

impl View<'_> {
    /// Whether the list in force names a server.
    pub(crate) fn has_list(&self) -> bool {
        self.core.has_servers()
    }
}

/// What a extension is told, in the order of a turn.
#[derive(Clone, Copy)]
pub(crate) enum TurnEvent<'a> {
    /// Before the first turn, once. A extension may hold up the start here, for a time that it bounds.
    Start,
    /// A turn begins; nothing that waits for it has been taken yet.
    TurnStart(View<'a>),
    /// Discovery has told a whole list.
    WholeList,
    /// All that waited has been taken, and nothing is decided yet.
    InputTaken(View<'a>),
    /// A query has ended: with an answer or not.
    QueryEnded {
        /// With an answer.
        answered: bool,
    },
    /// All is decided, and the turn's attempts go out next: what has been noted of its queries since the last time.
    Decided(&'a [Word]),
    /// What another process of this broker knew has been taken: that one serves.
    StateReceived,
    /// Other settings hold: keys of a process of which nothing is known may come back for so long after its end.
    Reconfigured {
        /// That time.
        quarantine: Micros,
    },
}

/// What a extension wants done, at once and in this order.
pub(crate) enum Action {
    /// Begin with what another process of this broker knew.
    Restore(Box<Snapshot>),
    /// Take what another process of this broker did with a key.
    ApplyUpdate(Word),
    /// So many processes are this broker.
    SetProcessCount(u32),
    /// What the extension shut is to be looked at again: it may be open.
    RecheckReadiness,
}

/// Whether a query that has come is let in.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Admission {
    /// It is.
    Admitted,
    /// It waits for the next turn.
    Deferred,
    /// It is refused: trying again is harmless.
    Refused,
}

/// A extension that may be off.
pub(crate) trait Extension {
    /// Takes what happened, and says what it wants done.
    fn on_event(&mut self, now: Micros, what: TurnEvent<'_>, actions: &mut Vec<Action>);

    /// When it wants a turn, if nothing happens before.
    fn due(&self, now: Micros, view: View<'_>) -> Option<Micros>;

    /// Whether a query is let in.
    fn admit(&mut self, _now: Micros, _ask: &QueryRequest) -> Admission {
        Admission::Admitted
    }

    /// Why the broker is not ready, if the extension keeps it from that.
    fn not_ready_reason(&self) -> Option<String> {
        None
    }

    /// Whether it wants to hear what is noted of queries, see [`TurnEvent::Decided`].
    fn wants_updates(&self) -> bool {
        false
    }

    /// Enters its own figures.
    fn report_gauges(&self, _census: &mut Census) {}

    /// Other processes that are this broker. One extension at most knows of any.
    fn siblings(&self) -> Option<&Neighbours> {
        None
    }
}

/// The extensions that are on, in the order in which they are told and asked.
#[derive(Default)]
pub(crate) struct Extensions(Vec<Box<dyn Extension>>);

impl Extensions {
    /// Puts a extension last.
    pub(crate) fn add(&mut self, extension: impl Extension + 'static) {
        self.0.push(Box::new(extension));
    }

    /// Tells all; what they want done is to be carried out before anything else is told.
    pub(crate) fn notify(&mut self, now: Micros, what: TurnEvent<'_>) -> Vec<Action> {
        // Holds no memory until somebody wants something.
        let mut actions = Vec::new();
        self.0.iter_mut().for_each(|extension| extension.on_event(now, what, &mut actions));
        actions
    }

    /// When the first of them wants a turn.
    pub(crate) fn due(&self, now: Micros, view: View<'_>) -> Option<Micros> {
        self.0.iter().filter_map(|extension| extension.due(now, view)).min()
    }

    /// Whether a query is let in: the first extension that does not let it in has the say, and those behind are not asked.
    pub(crate) fn admit(&mut self, now: Micros, ask: &QueryRequest) -> Admission {
        let entries = self.0.iter_mut().map(|extension| extension.admit(now, ask));
        entries.into_iter().find(|entry| *entry != Admission::Admitted).unwrap_or(Admission::Admitted)
    }

    /// Why the broker is not ready, where a extension keeps it from that.
    pub(crate) fn not_ready_reason(&self) -> Option<String> {
        self.0.iter().find_map(|extension| extension.not_ready_reason())
    }

    /// Whether any wants to hear what is noted of queries.
    pub(crate) fn wants_updates(&self) -> bool {
        self.0.iter().any(|extension| extension.wants_updates())
    }

    /// Enters the figures of all.
    pub(crate) fn report_gauges(&self, census: &mut Census) {
        self.0.iter().for_each(|extension| extension.report_gauges(census));
    }

    /// Other processes that are this broker.
    pub(crate) fn siblings(&self) -> Option<&Neighbours> {
        self.0.iter().find_map(|extension| extension.siblings())
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use crate::rig::settings;
    use allocation_counter::measure;
    use std::hint::black_box;
    use std::rc::Rc;

    fn ask() -> QueryRequest {
        QueryRequest {
            id: "a".into(),
            class: 0,
            tenant: 0,
            client_timeout: 1,
            parts: Vec::new(),
            idempotency_key: Some(Rc::from("k")),
            predicate: Rc::from("t"),
            limits: Default::default(),
            is_retry: false,
        }
    }

    /// All that a turn with one query says to extensions and asks of them.
    #[inline(never)]
    fn seam_of_a_turn(
        extensions: &mut Extensions,
        now: Micros,
        view: View<'_>,
        ask: &QueryRequest,
    ) -> Option<Micros> {
        let told = [
            TurnEvent::TurnStart(view),
            TurnEvent::WholeList,
            TurnEvent::InputTaken(view),
            TurnEvent::QueryEnded { answered: true },
            TurnEvent::Decided(&[]),
        ];
        for what in told {
            black_box((extensions.notify(now, what).len(), extensions.wants_updates()));
        }
        let mut census = Census::default();
        extensions.report_gauges(&mut census);
        black_box((
            extensions.admit(now, ask),
            extensions.not_ready_reason(),
            extensions.siblings().is_some(),
            census,
        ));
        extensions.due(now, view)
    }

    /// Refuses all, wants something at each turn's begin, and is due at once.
    struct Sentry;

    impl Extension for Sentry {
        fn on_event(&mut self, _now: Micros, what: TurnEvent<'_>, actions: &mut Vec<Action>) {
            if matches!(what, TurnEvent::TurnStart(_)) {
                actions.push(Action::RecheckReadiness);
            }
        }
        fn due(&self, now: Micros, _view: View<'_>) -> Option<Micros> {
            Some(now)
        }
        fn admit(&mut self, _now: Micros, _ask: &QueryRequest) -> Admission {
            Admission::Refused
        }
    }

    /// One that lets all in but says that it comes too late to matter.
    struct Porter;

    impl Extension for Porter {
        fn on_event(&mut self, _now: Micros, _what: TurnEvent<'_>, _wants: &mut Vec<Action>) {}
        fn due(&self, now: Micros, _view: View<'_>) -> Option<Micros> {
            Some(now + 1)
        }
        fn admit(&mut self, _now: Micros, _ask: &QueryRequest) -> Admission {
            Admission::Deferred
        }
    }

    #[test]
    fn a_part_that_is_off_costs_a_turn_nothing() {
        let core = Core::new(settings(), 10, 1);
        let queries = Queries::new(&settings(), &Default::default(), 10, 1, 0);
        let (view, ask) = (View { core: &core, queries: &queries, rev: 0 }, ask());
        let mut extensions = Extensions::default();
        let off = measure(|| assert_eq!(seam_of_a_turn(&mut extensions, 5, view, &ask), None));
        assert_eq!(off.count_total, 0);
        // The counter counts, and one that is on has its say.
        extensions.add(Sentry);
        let on = measure(|| assert_eq!(seam_of_a_turn(&mut extensions, 5, view, &ask), Some(5)));
        assert!(on.count_total > 0);
    }

    #[test]
    fn the_first_that_does_not_let_a_query_in_has_the_say_and_the_earliest_wakes() {
        let core = Core::new(settings(), 10, 1);
        let queries = Queries::new(&settings(), &Default::default(), 10, 1, 0);
        let (view, ask) = (View { core: &core, queries: &queries, rev: 0 }, ask());
        let mut extensions = Extensions::default();
        assert_eq!((extensions.admit(5, &ask), extensions.due(5, view)), (Admission::Admitted, None));
        extensions.add(Porter);
        assert_eq!((extensions.admit(5, &ask), extensions.due(5, view)), (Admission::Deferred, Some(6)));
        extensions.add(Sentry);
        assert_eq!((extensions.admit(5, &ask), extensions.due(5, view)), (Admission::Deferred, Some(5)));
        assert_eq!(extensions.notify(5, TurnEvent::TurnStart(view)).len(), 1);
    }
}
