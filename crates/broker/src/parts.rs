//! The seam between the turn loop and the parts that an operator may leave out.
//!
//! The loop knows no such part by name. It tells all that are on what happens in a turn ([`Told`]), carries out what they
//! want ([`Want`]), asks them what bears on it, and wakes when one is due. One that is off is not in the list: a turn
//! costs nothing for it, see the test.
//!
//! A part owns its own state and sockets, and sees the rest of the broker in a [`View`] alone.

use crate::queries::Queries;
use plover_core::Core;
use plover_handover::Neighbours;
use plover_handover::wire::Word;
use plover_model::query::Ask;
use plover_model::snapshot::Snapshot;
use plover_model::time::Micros;
use plover_ops::Census;

/// What a part may see of the broker.
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

/// What a part is told, in the order of a turn.
#[derive(Clone, Copy)]
pub(crate) enum Told<'a> {
    /// Before the first turn, once. A part may hold up the start here, for a time that it bounds.
    Start,
    /// A turn begins; nothing that waits for it has been taken yet.
    Begin(View<'a>),
    /// Discovery has told a whole list.
    List,
    /// All that waited has been taken, and nothing is decided yet.
    Heard(View<'a>),
    /// A query has ended: with an answer or not.
    Ended {
        /// With an answer.
        in_time: bool,
    },
    /// All is decided, and the turn's attempts go out next: what has been noted of its queries since the last time.
    Decided(&'a [Word]),
    /// What another process of this broker knew has been taken: that one serves.
    TakenOver,
    /// Other settings hold: keys of a process of which nothing is known may come back for so long after its end.
    Retuned {
        /// That time.
        quarantine: Micros,
    },
}

/// What a part wants done, at once and in this order.
pub(crate) enum Want {
    /// Begin with what another process of this broker knew.
    Remember(Box<Snapshot>),
    /// Take what another process of this broker did with a key.
    Hear(Word),
    /// So many processes are this broker.
    Copies(u32),
    /// What the part shut is to be looked at again: it may be open.
    Open,
}

/// Whether a query that has come is let in.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Entry {
    /// It is.
    In,
    /// It waits for the next turn.
    Later,
    /// It is refused: trying again is harmless.
    Refused,
}

/// A part that may be off.
pub(crate) trait Part {
    /// Takes what happened, and says what it wants done.
    fn told(&mut self, now: Micros, what: Told<'_>, wants: &mut Vec<Want>);

    /// When it wants a turn, if nothing happens before.
    fn due(&self, now: Micros, view: View<'_>) -> Option<Micros>;

    /// Whether a query is let in.
    fn entry(&mut self, _now: Micros, _ask: &Ask) -> Entry {
        Entry::In
    }

    /// Why the broker is not ready, if the part keeps it from that.
    fn shut(&self) -> Option<String> {
        None
    }

    /// Whether it wants to hear what is noted of queries, see [`Told::Decided`].
    fn notes(&self) -> bool {
        false
    }

    /// Enters its own figures.
    fn count(&self, _census: &mut Census) {}

    /// Other processes that are this broker. One part at most knows of any.
    fn beside(&self) -> Option<&Neighbours> {
        None
    }
}

/// The parts that are on, in the order in which they are told and asked.
#[derive(Default)]
pub(crate) struct Parts(Vec<Box<dyn Part>>);

impl Parts {
    /// Puts a part last.
    pub(crate) fn add(&mut self, part: impl Part + 'static) {
        self.0.push(Box::new(part));
    }

    /// Tells all; what they want done is to be carried out before anything else is told.
    pub(crate) fn told(&mut self, now: Micros, what: Told<'_>) -> Vec<Want> {
        // Holds no memory until somebody wants something.
        let mut wants = Vec::new();
        self.0.iter_mut().for_each(|part| part.told(now, what, &mut wants));
        wants
    }

    /// When the first of them wants a turn.
    pub(crate) fn due(&self, now: Micros, view: View<'_>) -> Option<Micros> {
        self.0.iter().filter_map(|part| part.due(now, view)).min()
    }

    /// Whether a query is let in: the first part that does not let it in has the say, and those behind are not asked.
    pub(crate) fn entry(&mut self, now: Micros, ask: &Ask) -> Entry {
        let entries = self.0.iter_mut().map(|part| part.entry(now, ask));
        entries.into_iter().find(|entry| *entry != Entry::In).unwrap_or(Entry::In)
    }

    /// Why the broker is not ready, where a part keeps it from that.
    pub(crate) fn shut(&self) -> Option<String> {
        self.0.iter().find_map(|part| part.shut())
    }

    /// Whether any wants to hear what is noted of queries.
    pub(crate) fn notes(&self) -> bool {
        self.0.iter().any(|part| part.notes())
    }

    /// Enters the figures of all.
    pub(crate) fn count(&self, census: &mut Census) {
        self.0.iter().for_each(|part| part.count(census));
    }

    /// Other processes that are this broker.
    pub(crate) fn beside(&self) -> Option<&Neighbours> {
        self.0.iter().find_map(|part| part.beside())
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use crate::rig::settings;
    use allocation_counter::measure;
    use std::hint::black_box;
    use std::rc::Rc;

    fn ask() -> Ask {
        Ask {
            id: "a".into(),
            class: 0,
            tenant: 0,
            patience: 1,
            parts: Vec::new(),
            key: Some(Rc::from("k")),
            text: Rc::from("t"),
            limits: Default::default(),
            again: false,
        }
    }

    /// All that a turn with one query says to parts and asks of them.
    #[inline(never)]
    fn seam_of_a_turn(parts: &mut Parts, now: Micros, view: View<'_>, ask: &Ask) -> Option<Micros> {
        let told = [
            Told::Begin(view),
            Told::List,
            Told::Heard(view),
            Told::Ended { in_time: true },
            Told::Decided(&[]),
        ];
        for what in told {
            black_box((parts.told(now, what).len(), parts.notes()));
        }
        let mut census = Census::default();
        parts.count(&mut census);
        black_box((parts.entry(now, ask), parts.shut(), parts.beside().is_some(), census));
        parts.due(now, view)
    }

    /// Refuses all, wants something at each turn's begin, and is due at once.
    struct Sentry;

    impl Part for Sentry {
        fn told(&mut self, _now: Micros, what: Told<'_>, wants: &mut Vec<Want>) {
            if matches!(what, Told::Begin(_)) {
                wants.push(Want::Open);
            }
        }
        fn due(&self, now: Micros, _view: View<'_>) -> Option<Micros> {
            Some(now)
        }
        fn entry(&mut self, _now: Micros, _ask: &Ask) -> Entry {
            Entry::Refused
        }
    }

    /// One that lets all in but says that it comes too late to matter.
    struct Porter;

    impl Part for Porter {
        fn told(&mut self, _now: Micros, _what: Told<'_>, _wants: &mut Vec<Want>) {}
        fn due(&self, now: Micros, _view: View<'_>) -> Option<Micros> {
            Some(now + 1)
        }
        fn entry(&mut self, _now: Micros, _ask: &Ask) -> Entry {
            Entry::Later
        }
    }

    #[test]
    fn a_part_that_is_off_costs_a_turn_nothing() {
        let core = Core::new(settings(), 10, 1);
        let queries = Queries::new(&settings(), &Default::default(), 10, 1, 0);
        let (view, ask) = (View { core: &core, queries: &queries, rev: 0 }, ask());
        let mut parts = Parts::default();
        let off = measure(|| assert_eq!(seam_of_a_turn(&mut parts, 5, view, &ask), None));
        assert_eq!(off.count_total, 0);
        // The counter counts, and one that is on has its say.
        parts.add(Sentry);
        let on = measure(|| assert_eq!(seam_of_a_turn(&mut parts, 5, view, &ask), Some(5)));
        assert!(on.count_total > 0);
    }

    #[test]
    fn the_first_that_does_not_let_a_query_in_has_the_say_and_the_earliest_wakes() {
        let core = Core::new(settings(), 10, 1);
        let queries = Queries::new(&settings(), &Default::default(), 10, 1, 0);
        let (view, ask) = (View { core: &core, queries: &queries, rev: 0 }, ask());
        let mut parts = Parts::default();
        assert_eq!((parts.entry(5, &ask), parts.due(5, view)), (Entry::In, None));
        parts.add(Porter);
        assert_eq!((parts.entry(5, &ask), parts.due(5, view)), (Entry::Later, Some(6)));
        parts.add(Sentry);
        assert_eq!((parts.entry(5, &ask), parts.due(5, view)), (Entry::Later, Some(5)));
        assert_eq!(parts.told(5, Told::Begin(view)).len(), 1);
    }
}
