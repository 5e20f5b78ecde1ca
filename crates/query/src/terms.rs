//! The terms that requests are read by, and how they change while clients go on.
//!
//! Clients hear of other settings when the broker does, but change over a while later. For that time a request is read by
//! the terms before; near the moment of the change, when nobody can tell by which a request was made, by the stricter of
//! both; then by the new ones. What the first cannot use is read by the other: a class that has just joined, or one that is
//! still asked for as it was.

use crate::decode;
use brookbend::api::{Semantics, Settings};
use http::Request;
use plover_model::query::{Ask, Names, Reply};
use plover_model::time::{MILLI, Micros};
use plover_routes::Routes;
use std::sync::Arc;

/// New settings bind this long after the word, as the platform says.
pub const BINDS: Micros = 1_200 * MILLI;
/// About that moment a request may be of either terms: our word came later than the clients', and requests travel.
const UNSURE: Micros = 300 * MILLI;
/// After this nobody goes by the terms before.
const OVER: Micros = 2_000 * MILLI;

/// What a request is read by. Classes and tenants have the same index in all terms of one program.
#[derive(Clone, Debug, Default)]
pub struct Terms {
    /// What requests may name.
    pub names: Names,
    /// What holds for it; `None`: nothing can be asked yet.
    pub settings: Option<Settings>,
    /// What the operator sets.
    pub routes: Arc<Routes>,
}

impl Terms {
    fn read(&self, request: &Request<Vec<u8>>) -> Result<Ask, Reply> {
        match &self.settings {
            Some(settings) => decode(request, &self.names, settings, &self.routes),
            None => Err(Reply::Refused { retry_after: None }),
        }
    }

    /// How little of a query may be repeated, and how often its attempts.
    fn strictness(&self, ask: &Ask) -> (u8, std::cmp::Reverse<u64>) {
        let class = self.settings.as_ref().and_then(|s| s.classes.get(ask.class));
        match class.map(|c| c.semantics) {
            None | Some(Semantics::Safe) => (0, std::cmp::Reverse(u64::MAX)),
            Some(Semantics::Keyed { window }) => (1, std::cmp::Reverse(window.max(0.0) as u64)),
            Some(Semantics::Unsafe) => (2, std::cmp::Reverse(0)),
        }
    }
}

/// The terms now, and those before while they still count.
#[derive(Clone, Debug, Default)]
pub struct Changing {
    now: Terms,
    before: Option<(Micros, Terms)>,
}

impl Changing {
    /// With these terms from the start.
    pub fn new(terms: Terms) -> Self {
        Changing { now: terms, before: None }
    }

    /// Other terms, told at this moment.
    pub fn change(&mut self, at: Micros, terms: Terms) {
        let mut before = std::mem::replace(&mut self.now, terms);
        // What an operator sets holds at once.
        before.routes = self.now.routes.clone();
        self.before = Some((at, before));
    }

    /// The terms that were told last.
    pub fn latest(&self) -> &Terms {
        &self.now
    }

    /// Reads a request that came at this moment.
    pub fn read(&self, at: Micros, request: &Request<Vec<u8>>) -> Result<Ask, Reply> {
        let age = |told: Micros| at.saturating_sub(told);
        let Some((told, before)) = self.before.as_ref().filter(|(told, _)| age(*told) < OVER) else {
            return self.now.read(request);
        };
        let (old, new) = (before.read(request), self.now.read(request));
        let old_first = match (&old, &new) {
            (Err(_), _) => false,
            (_, Err(_)) => true,
            (Ok(a), Ok(b)) if age(*told).abs_diff(BINDS) < UNSURE => {
                before.strictness(a) >= self.now.strictness(b)
            }
            _ => age(*told) < BINDS,
        };
        if old_first { old } else { new }
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use brookbend::settings::{Message, decode as settings_of};

    fn terms() -> Terms {
        let settings: serde_json::Value =
            serde_json::from_str(include_str!("../../model/tests/settings.json")).unwrap();
        let site = settings_of(&Message::new("settings", settings.as_object().unwrap())).unwrap();
        let names = Names {
            classes: site.class_names,
            tenants: site.tenant_names,
            zones: site.zones,
            ..Names::default()
        };
        Terms { names, settings: Some(site.settings), routes: Arc::default() }
    }

    fn request(class: &str, key: bool) -> Request<Vec<u8>> {
        let body = br#"{"ranges":[{"range":0,"portion":1}],"predicate":"c41e77d0"}"#.to_vec();
        let mut request = Request::builder().method("POST").uri(format!("/{class}"));
        request = request.header("x-request-id", "q").header("x-tenant", "acme");
        if key {
            request = request.header("idempotency-key", "k");
        }
        request.body(body).unwrap()
    }

    /// A class with other effects, at a place of its own.
    fn changed(semantics: Semantics) -> Terms {
        let mut new = terms();
        let mut class = new.settings.as_ref().unwrap().classes[0].clone();
        class.semantics = semantics;
        new.settings.as_mut().unwrap().classes.push(class);
        new.names.classes.push("lookup".into());
        new.names.classes_left = [0].into();
        new
    }

    #[test]
    fn a_class_that_joins_is_known_at_once_and_one_that_leaves_for_a_while() {
        let mut changing = Changing::new(terms());
        let mut new = terms();
        new.names.classes[1] = "sell".into();
        changing.change(0, new);
        for at in [0, BINDS, OVER - 1] {
            assert_eq!(changing.read(at, &request("sell", true)).unwrap().class, 1, "{at}");
            assert_eq!(changing.read(at, &request("save", true)).unwrap().class, 1, "{at}");
        }
        assert!(changing.read(OVER, &request("save", true)).is_err());
        assert!(changing.read(OVER, &request("sell", true)).is_ok());
    }

    #[test]
    fn effects_change_when_clients_do_and_the_stricter_holds_about_that_moment() {
        let old = (0, BINDS - UNSURE);
        let new = (BINDS + UNSURE, OVER - 1);
        for (semantics, unsure) in [(Semantics::Unsafe, 3), (Semantics::Safe, 0)] {
            let mut changing = Changing::new(terms());
            changing.change(0, changed(semantics));
            let class = |at| changing.read(at, &request("lookup", true)).unwrap().class;
            assert_eq!([class(old.0), class(old.1), class(new.0), class(new.1)], [0, 0, 3, 3]);
            assert_eq!([class(BINDS - UNSURE + 1), class(BINDS + UNSURE - 1)], [unsure; 2], "{semantics:?}");
        }
    }

    #[test]
    fn a_request_without_the_key_that_its_class_has_just_come_to_need_is_of_the_terms_before() {
        let mut changing = Changing::new(terms());
        changing.change(0, changed(Semantics::Keyed { window: 5000.0 }));
        assert_eq!(changing.read(BINDS + UNSURE, &request("lookup", false)).unwrap().class, 0);
        assert_eq!(changing.read(BINDS + UNSURE, &request("lookup", true)).unwrap().class, 3);
        assert!(changing.read(OVER, &request("lookup", false)).is_err());
    }
}
