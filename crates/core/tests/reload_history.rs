//! Random sequences of new settings at any spacing, held against a plain model that forgets nothing: in the
//! time in which clients apply a configuration, and around it, no reading of a request is looser than that
//! configuration's.

use brookbend::api::{Semantics, Settings};
use brookbend::settings::{JsonObject, decode as decode_settings};
use http::Request;
use plover_core::Core;
use plover_model::query::Names;
use plover_model::time::{MILLI, Micros};
use plover_query::{RequestConfig, RequestConfigHistory, SETTINGS_EFFECTIVE_AFTER};
use proptest::prelude::*;
use std::cmp::Reverse;
use std::collections::BTreeMap;
use std::sync::Arc;

/// Time around a switch in which clients may apply either configuration.
const UNCERTAINTY: Micros = 300 * MILLI;
/// Time after its successor was announced in which a configuration may still be applied.
const LIFETIME: Micros = 2_000 * MILLI;
/// Number of previous configurations that the history keeps apart. While there are no more, and until those
/// of a time with more are out of use, it has to agree with the model exactly.
const KEPT_APART: usize = 16;
const CLASSES: [&str; 4] = ["lookup", "save", "ranking", "screen"];
const SEMANTICS: [Semantics; 4] = [
    Semantics::Safe,
    Semantics::Keyed { window: 5000.0 },
    Semantics::Keyed { window: 1000.0 },
    Semantics::Unsafe,
];

type Strictness = (u8, Reverse<u64>);

fn strictness(semantics: Semantics) -> Strictness {
    match semantics {
        Semantics::Safe => (0, Reverse(u64::MAX)),
        Semantics::Keyed { window } => (1, Reverse(window as u64)),
        Semantics::Unsafe => (2, Reverse(0)),
    }
}

/// The classes of one configuration and their semantics.
type Classes = BTreeMap<&'static str, Semantics>;

/// All configurations ever announced, with the times of their announcements.
struct Model(Vec<(Micros, Classes)>);

impl Model {
    /// The configurations that a client may apply to a request that is received now, with the distance from
    /// the time in which each is in force.
    fn in_use(&self, now: Micros) -> Vec<(Micros, &Classes)> {
        let announced = |n: usize| self.0.get(n).map(|(at, _)| *at);
        let periods = self.0.iter().enumerate().map(|(n, (at, classes))| {
            let from = if n == 0 { 0 } else { at + SETTINGS_EFFECTIVE_AFTER };
            let until = announced(n + 1).map_or(Micros::MAX, |next| next + SETTINGS_EFFECTIVE_AFTER);
            let early = (from + 1).saturating_sub(UNCERTAINTY).saturating_sub(now);
            let late = (now + 1).saturating_sub(until.saturating_add(UNCERTAINTY));
            (announced(n + 1), early.max(late), classes)
        });
        let used = periods.filter(|(next, ..)| next.is_none_or(|next| now < next + LIFETIME));
        used.map(|(_, distance, classes)| (distance, classes)).collect()
    }

    /// The strictness that a request is owed; `None` if no configuration in use can decode it.
    fn owed(&self, now: Micros, class: &str, has_key: bool) -> Option<Strictness> {
        let decodes = |semantics: &Semantics| has_key || !matches!(semantics, Semantics::Keyed { .. });
        let readings = self.in_use(now).into_iter().filter_map(|(distance, classes)| {
            Some((distance, Reverse(strictness(*classes.get(class).filter(|s| decodes(s))?))))
        });
        readings.min().map(|(_, Reverse(strictness))| strictness)
    }

    /// Whether some configuration ever gave the class this strictness.
    fn knew(&self, class: &str, found: Strictness) -> bool {
        self.0.iter().any(|(_, classes)| classes.get(class).is_some_and(|s| strictness(*s) == found))
    }
}

fn site() -> (Settings, Names) {
    let settings: serde_json::Value =
        serde_json::from_str(include_str!("../../model/tests/settings.json")).unwrap();
    let site = decode_settings(&JsonObject::new("settings", settings.as_object().unwrap())).unwrap();
    let names = Names { classes: site.class_names, tenants: site.tenant_names, ..Names::default() };
    (site.settings, names)
}

fn configure(site: &(Settings, Names), classes: &Classes) -> (Settings, Names) {
    let (mut settings, mut names) = site.clone();
    let prototype = settings.classes[0].clone();
    settings.classes.clear();
    names.classes.clear();
    for (name, semantics) in classes {
        settings.classes.push(brookbend::api::Class { semantics: *semantics, ..prototype.clone() });
        names.classes.push((*name).to_owned());
    }
    (settings, names)
}

fn request(class: &str, has_key: bool) -> Request<Vec<u8>> {
    let body = br#"{"ranges":[{"range":0,"portion":1}],"predicate":"c41e77d0"}"#.to_vec();
    let mut request =
        Request::post(format!("/{class}")).header("x-request-id", "q").header("x-tenant", "acme");
    if has_key {
        request = request.header("idempotency-key", "k");
    }
    request.body(body).unwrap()
}

/// One step: the class that changes, its new semantics (`None` removes it), the time until the announcement
/// in milliseconds, and the time after it at which requests are received.
type Step = (usize, Option<usize>, u64, u64);

fn steps() -> impl Strategy<Value = Vec<Step>> {
    let semantics = prop::option::weighted(0.85, 0..SEMANTICS.len());
    let quick = (0..CLASSES.len(), semantics.clone(), 0u64..5, 0u64..2000);
    let near = (0..CLASSES.len(), semantics.clone(), 0u64..500, 0u64..2000);
    let far = (0..CLASSES.len(), semantics, 0u64..4000, 0u64..2500);
    prop_oneof![
        prop::collection::vec(quick, 1..400),
        prop::collection::vec(near, 1..60),
        prop::collection::vec(far, 1..20),
    ]
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 60, ..ProptestConfig::default() })]

    /// Guards against losing a configuration, a class or an index while a client may still use it.
    #[test]
    fn no_request_is_read_more_loosely_than_by_the_configuration_of_its_client(steps in steps()) {
        let site = site();
        let mut classes: Classes = CLASSES[..3].iter().map(|name| (*name, SEMANTICS[1])).collect();
        let (settings, names) = configure(&site, &classes);
        let mut core = Core::new(settings.clone(), 100, 1).with_names(&names);
        let mut latest = (settings, names);
        let config = |(settings, names): &(Settings, Names)| RequestConfig {
            names: names.clone(),
            settings: Some(settings.clone()),
            routes: Arc::default(),
        };
        let mut history = RequestConfigHistory::new(config(&latest));
        let mut model = Model(vec![(0, classes.clone())]);
        let mut now = 10_000_000;
        let mut merged_until = 0;
        for (class, semantics, wait, after) in steps {
            now += wait * MILLI;
            match semantics {
                Some(n) => _ = classes.insert(CLASSES[class], SEMANTICS[n]),
                None if classes.len() > 1 => _ = classes.remove(CLASSES[class]),
                None => {}
            }
            let (settings, names) = configure(&site, &classes);
            let indexed = core.index_settings(now, &settings, &names);
            prop_assert!(indexed.is_ok(), "no index is left for new settings");
            let indexed = indexed.unwrap();
            core.reconfigure(&indexed, 100, now + SETTINGS_EFFECTIVE_AFTER);
            latest = (indexed.settings.clone(), indexed.names.clone());
            history.update(now, config(&latest));
            model.0.push((now, classes.clone()));
            if model.in_use(now).len() > KEPT_APART {
                merged_until = now + LIFETIME;
            }
            for (class, has_key) in CLASSES.iter().flat_map(|class| [(*class, true), (*class, false)]) {
                let at = now + after * MILLI;
                let found = history.decode(at, &request(class, has_key)).ok().map(|query| query.class);
                if let Some(index) = found {
                    prop_assert_eq!(&latest.1.classes[index], class, "the index belongs to another class");
                }
                let found = found.map(|index| strictness(latest.0.classes[index].semantics));
                let owed = model.owed(at, class, has_key);
                if at >= merged_until {
                    prop_assert_eq!(found, owed, "{} at {}", class, at);
                }
                prop_assert!(found >= owed, "{}: {:?} is looser than {:?}", class, found, owed);
                prop_assert!(found.is_none_or(|found| model.knew(class, found)));
            }
        }
    }
}
