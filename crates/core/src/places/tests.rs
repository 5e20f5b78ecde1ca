use super::*;
use brookbend::api::Semantics;
use brookbend::settings::{JsonObject, decode};
use proptest::prelude::*;

fn settings() -> (Settings, Names) {
    let settings: serde_json::Value =
        serde_json::from_str(include_str!("../../../model/tests/settings.json")).unwrap();
    let site = decode(&JsonObject::new("settings", settings.as_object().unwrap())).unwrap();
    let names = Names { classes: site.class_names, tenants: site.tenant_names, ..Names::default() };
    (site.settings, names)
}

#[test]
fn a_class_that_changes_moves_and_its_queries_keep_their_own() {
    let (old, names) = settings();
    let mut places = Places::new(&old, &names);
    places.open(0, 0);
    let mut new = old.clone();
    new.classes[0].semantics = Semantics::Unsafe;
    let placed = places.plan(0, &new, &names).unwrap();
    assert_eq!(placed.settings.classes[0].semantics, Semantics::Safe);
    assert_eq!(placed.names.class("lookup"), Some(3));
    assert_eq!(placed.settings.classes[3].semantics, Semantics::Unsafe);
    assert_eq!(placed.begun, [NewClass { class: ClassIndex(3), inherits_from: Some(ClassIndex(0)) }]);
    places.adopt(&placed);
    // Back again, long after: its first place is still held by a query, and is not used again.
    let again = places.plan(10 * REST, &old, &names).unwrap();
    assert_eq!(again.names.class("lookup"), Some(4));
    places.close(0, 0);
    assert_eq!(places.plan(10 * REST, &old, &names).unwrap().names.class("lookup"), Some(0));
    assert_eq!(places.plan(REST - 1, &old, &names).unwrap().names.class("lookup"), Some(4), "too soon");
}

#[test]
fn classes_and_tenants_join_and_leave() {
    let (old, mut names) = settings();
    let places = Places::new(&old, &names);
    let mut new = old.clone();
    new.classes.remove(1);
    names.classes = vec!["lookup".into(), "ranking".into()];
    names.tenants = vec!["other".into()];
    let placed = places.plan(0, &new, &names).unwrap();
    assert_eq!(
        [placed.names.class("lookup"), placed.names.class("save"), placed.names.class("ranking")],
        [Some(0), None, Some(2)]
    );
    assert_eq!((placed.names.tenant(b"acme"), placed.names.tenant(b"other")), (None, Some(1)));
    assert_eq!((placed.settings.classes.len(), placed.settings.tenants.len()), (3, 2));
}

#[test]
fn too_many_changes_are_told() {
    let (old, names) = settings();
    let mut places = Places::new(&old, &names);
    let mut new = old.clone();
    let error = (0..).find_map(|n| {
        new.classes[0].aim = 1000.0 + f64::from(n);
        match places.plan(0, &new, &names) {
            Ok(placed) => {
                places.adopt(&placed);
                None
            }
            Err(error) => Some((n, error)),
        }
    });
    assert_eq!(error, Some(((MOST_PLACES - old.classes.len()) as u32 as i32, TooMany("classes"))));
}

proptest! {
    /// Whatever changes come, and whatever is open meanwhile: no query's class ever changes under it.
    #[test]
    fn no_class_changes_under_a_query(moves in prop::collection::vec((0u8..3, 0usize..3, 0u64..20), 1..80)) {
        let (mut set, names) = settings();
        let mut places = Places::new(&set, &names);
        let mut placed = places.plan(0, &set, &names).unwrap();
        let mut open: Vec<(usize, Class)> = Vec::new();
        let mut now = 0;
        for (what, n, wait) in moves {
            now += wait * SECOND;
            match what {
                0 => {
                    set.classes[n].aim += 1.0;
                    placed = places.plan(now, &set, &names).unwrap();
                    places.adopt(&placed);
                }
                1 => {
                    let class = placed.names.class(&names.classes[n]).unwrap();
                    places.open(class, 0);
                    open.push((class, placed.settings.classes[class].clone()));
                }
                _ if open.is_empty() => {}
                _ => places.close(open.swap_remove(n % open.len()).0, 0),
            }
            for (class, began) in &open {
                prop_assert_eq!(&places.classes[*class].is, began);
            }
        }
    }
}
