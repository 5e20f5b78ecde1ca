//! The interface between the event loop and the optional components that an operator may switch off.
//!
//! The loop names no extension. It notifies all extensions that are switched on of what happens in a turn
//! ([`TurnEvent`]), performs the actions that they request ([`Action`]), asks them whether queries are
//! admitted, and begins a turn when one of them is due. It also asks for the other processes of this broker
//! ([`Siblings`]), which one extension may return. An extension that is switched off is not in the list and
//! causes no memory allocation in a turn, as a test checks.
//!
//! An extension owns its state and its sockets, and sees the rest of the broker only through a [`View`].

use crate::queries::Queries;
use plover_core::Core;
use plover_handover::wire::Message;
use plover_handover::{LinkId, Siblings};
use plover_model::configuration::ConfigurationReport;
use plover_model::query::QueryRequest;
use plover_model::snapshot::Snapshot;
use plover_model::time::Micros;
use plover_ops::Gauges;

/// What an extension may see of the broker.
#[derive(Clone, Copy)]
pub(crate) struct View<'a> {
    pub(crate) core: &'a Core,
    pub(crate) queries: &'a Queries,
    /// The revision of the server list in force.
    pub(crate) rev: u64,
}

impl View<'_> {
    /// Whether the server list in force names any server.
    pub(crate) fn has_list(&self) -> bool {
        self.core.has_servers()
    }
}

/// What extensions are notified of. The variants from `TurnStart` to `Decided` are in the order of a turn.
#[derive(Clone, Copy)]
pub(crate) enum TurnEvent<'a> {
    /// The broker starts; sent once before the first turn. An extension may block the start for a bounded
    /// time.
    Start,
    /// The configurations that clients may apply have changed, or are known for the first time.
    Configurations {
        /// What is known of them.
        report: &'a ConfigurationReport,
        /// Whether other processes of this broker are to be told at once, and not only those that come later.
        /// They know what they have reported themselves.
        tell: bool,
    },
    /// A turn begins; nothing has been taken from the inbox yet.
    TurnStart(View<'a>),
    /// Discovery has sent a complete server list.
    WholeList,
    /// Everything in the inbox has been taken, and no decision has been made yet.
    InputTaken(View<'a>),
    /// A query has ended.
    QueryEnded {
        /// Whether it ended with an answer.
        answered: bool,
    },
    /// All decisions are made, and the turn's attempts are sent next. Carries the messages about queries that
    /// were recorded since the last such event.
    Decided(&'a [Message]),
    /// The state of another process of this broker, which is serving, has been received.
    StateReceived,
    /// New settings are in effect.
    Reconfigured {
        /// Time after the end of a process with unknown state during which its clients may retry its keys
        /// here.
        quarantine: Micros,
    },
}

/// What an extension requests. Actions are performed at once, in the order of the requests.
pub(crate) enum Action {
    /// Start from the snapshot of another process of this broker.
    Restore(Box<Snapshot>),
    /// Decode requests also with the configurations that another process of this broker reported.
    AdoptConfigurations {
        /// Link to the process.
        link: LinkId,
        /// Whether the process is older than this one.
        older: bool,
        /// What it reported.
        report: Box<ConfigurationReport>,
    },
    /// Note whether another process of this broker may know of configurations that it does not report.
    SetUnknownConfigurations(bool),
    /// Record what another process of this broker did with a key.
    ApplyUpdate(Message),
    /// Set the number of processes of this broker.
    SetProcessCount(u32),
    /// Note whether a process of this broker that is older than this one may be alive.
    SetOlderProcess(bool),
    /// Check again whether the broker is ready: the extension may no longer prevent it.
    RecheckReadiness,
}

/// Whether a query that has arrived is admitted.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Admission {
    /// The query is admitted.
    Admitted,
    /// The query waits for the next turn.
    Deferred,
    /// The query is refused; a retry is harmless.
    Refused,
}

/// An optional component of the broker.
pub(crate) trait Extension {
    /// Handles an event and appends the actions that it requests.
    fn on_event(&mut self, now: Micros, event: TurnEvent<'_>, actions: &mut Vec<Action>);

    /// When the extension needs a turn, if nothing happens before; `None` if it needs none.
    fn due(&self, now: Micros, view: View<'_>) -> Option<Micros>;

    /// Whether a query is admitted.
    fn admit(&mut self, _now: Micros, _request: &QueryRequest) -> Admission {
        Admission::Admitted
    }

    /// Why the broker is not ready; `None` if the extension does not prevent it.
    fn not_ready_reason(&self) -> Option<String> {
        None
    }

    /// Whether messages about queries are to be recorded for [`TurnEvent::Decided`].
    fn wants_updates(&self) -> bool {
        false
    }

    /// Sets the extension's own gauges.
    fn report_gauges(&self, _census: &mut Gauges) {}

    /// The other processes of this broker. At most one extension returns them.
    fn siblings(&self) -> Option<&Siblings> {
        None
    }
}

/// The extensions that are switched on, in the order in which they are notified and asked.
#[derive(Default)]
pub(crate) struct Extensions(Vec<Box<dyn Extension>>);

impl Extensions {
    /// Appends an extension.
    pub(crate) fn add(&mut self, extension: impl Extension + 'static) {
        self.0.push(Box::new(extension));
    }

    /// Notifies all extensions and returns the actions that they request. The caller performs these before it
    /// sends any other event, except that [`Action::Restore`] itself sends [`TurnEvent::StateReceived`].
    pub(crate) fn notify(&mut self, now: Micros, event: TurnEvent<'_>) -> Vec<Action> {
        // Allocates nothing until an extension requests an action.
        let mut actions = Vec::new();
        self.0.iter_mut().for_each(|extension| extension.on_event(now, event, &mut actions));
        actions
    }

    /// The earliest time at which any extension needs a turn.
    pub(crate) fn due(&self, now: Micros, view: View<'_>) -> Option<Micros> {
        self.0.iter().filter_map(|extension| extension.due(now, view)).min()
    }

    /// Whether a query is admitted. The first extension that does not admit it decides, and the later ones
    /// are not asked.
    pub(crate) fn admit(&mut self, now: Micros, request: &QueryRequest) -> Admission {
        let admissions = self.0.iter_mut().map(|extension| extension.admit(now, request));
        admissions
            .into_iter()
            .find(|admission| *admission != Admission::Admitted)
            .unwrap_or(Admission::Admitted)
    }

    /// Why the broker is not ready, from the first extension that prevents it.
    pub(crate) fn not_ready_reason(&self) -> Option<String> {
        self.0.iter().find_map(|extension| extension.not_ready_reason())
    }

    /// Whether any extension needs messages about queries.
    pub(crate) fn wants_updates(&self) -> bool {
        self.0.iter().any(|extension| extension.wants_updates())
    }

    /// Sets the gauges of all extensions.
    pub(crate) fn report_gauges(&self, census: &mut Gauges) {
        self.0.iter().for_each(|extension| extension.report_gauges(census));
    }

    /// The other processes of this broker, if any extension knows them.
    pub(crate) fn siblings(&self) -> Option<&Siblings> {
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

    fn request() -> QueryRequest {
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

    /// Makes all calls to extensions that a turn with one query makes.
    #[inline(never)]
    fn calls_of_a_turn(
        extensions: &mut Extensions,
        now: Micros,
        view: View<'_>,
        request: &QueryRequest,
    ) -> Option<Micros> {
        let events = [
            TurnEvent::TurnStart(view),
            TurnEvent::WholeList,
            TurnEvent::InputTaken(view),
            TurnEvent::QueryEnded { answered: true },
            TurnEvent::Decided(&[]),
        ];
        for event in events {
            black_box((extensions.notify(now, event).len(), extensions.wants_updates()));
        }
        let mut census = Gauges::default();
        extensions.report_gauges(&mut census);
        black_box((
            extensions.admit(now, request),
            extensions.not_ready_reason(),
            extensions.siblings().is_some(),
            census,
        ));
        extensions.due(now, view)
    }

    /// Refuses all queries, requests an action at the start of each turn and is due at once.
    struct Refusing;

    impl Extension for Refusing {
        fn on_event(&mut self, _now: Micros, event: TurnEvent<'_>, actions: &mut Vec<Action>) {
            if matches!(event, TurnEvent::TurnStart(_)) {
                actions.push(Action::RecheckReadiness);
            }
        }
        fn due(&self, now: Micros, _view: View<'_>) -> Option<Micros> {
            Some(now)
        }
        fn admit(&mut self, _now: Micros, _request: &QueryRequest) -> Admission {
            Admission::Refused
        }
    }

    /// Defers all queries and is due a microsecond later.
    struct Deferring;

    impl Extension for Deferring {
        fn on_event(&mut self, _now: Micros, _event: TurnEvent<'_>, _actions: &mut Vec<Action>) {}
        fn due(&self, now: Micros, _view: View<'_>) -> Option<Micros> {
            Some(now + 1)
        }
        fn admit(&mut self, _now: Micros, _request: &QueryRequest) -> Admission {
            Admission::Deferred
        }
    }

    #[test]
    fn an_extension_that_is_switched_off_costs_a_turn_nothing() {
        let core = Core::new(settings(), 10, 1);
        let queries = Queries::new(&settings(), &Default::default(), 10, 1, 0);
        let (view, request) = (View { core: &core, queries: &queries, rev: 0 }, request());
        let mut extensions = Extensions::default();
        let off = measure(|| assert_eq!(calls_of_a_turn(&mut extensions, 5, view, &request), None));
        assert_eq!(off.count_total, 0);
        // The counter works, and an extension that is switched on is called.
        extensions.add(Refusing);
        let on = measure(|| assert_eq!(calls_of_a_turn(&mut extensions, 5, view, &request), Some(5)));
        assert!(on.count_total > 0);
    }

    #[test]
    fn the_first_extension_that_does_not_admit_a_query_decides_and_the_earliest_due_time_counts() {
        let core = Core::new(settings(), 10, 1);
        let queries = Queries::new(&settings(), &Default::default(), 10, 1, 0);
        let (view, request) = (View { core: &core, queries: &queries, rev: 0 }, request());
        let mut extensions = Extensions::default();
        assert_eq!((extensions.admit(5, &request), extensions.due(5, view)), (Admission::Admitted, None));
        extensions.add(Deferring);
        assert_eq!((extensions.admit(5, &request), extensions.due(5, view)), (Admission::Deferred, Some(6)));
        extensions.add(Refusing);
        assert_eq!((extensions.admit(5, &request), extensions.due(5, view)), (Admission::Deferred, Some(5)));
        assert_eq!(extensions.notify(5, TurnEvent::TurnStart(view)).len(), 1);
    }
}
