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
fn a_changed_class_gets_a_new_index_and_open_queries_keep_the_old_one() {
    let (old, names) = settings();
    let mut table = IndexTable::new(&old, &names);
    table.open_query(0, 0);
    let mut new = old.clone();
    new.classes[0].semantics = Semantics::Unsafe;
    let indexed = table.plan(0, &new, &names).unwrap();
    assert_eq!(indexed.settings.classes[0].semantics, Semantics::Safe);
    assert_eq!(indexed.names.class("lookup"), Some(3));
    assert_eq!(indexed.settings.classes[3].semantics, Semantics::Unsafe);
    assert_eq!(indexed.new_classes, [NewClass { class: ClassIndex(3), inherits_from: Some(ClassIndex(0)) }]);
    table.apply(&indexed);
    // The change is reverted long after: an open query still uses the first index, so it is not reused.
    let reverted = table.plan(10 * RETENTION, &old, &names).unwrap();
    assert_eq!(reverted.names.class("lookup"), Some(4));
    table.close_query(0, 0);
    assert_eq!(table.plan(10 * RETENTION, &old, &names).unwrap().names.class("lookup"), Some(0));
    assert_eq!(
        table.plan(RETENTION - 1, &old, &names).unwrap().names.class("lookup"),
        Some(4),
        "within the retention time"
    );
}

#[test]
fn classes_and_tenants_are_added_and_removed() {
    let (old, mut names) = settings();
    let table = IndexTable::new(&old, &names);
    let mut new = old.clone();
    new.classes.remove(1);
    names.classes = vec!["lookup".into(), "ranking".into()];
    names.tenants = vec!["other".into()];
    let indexed = table.plan(0, &new, &names).unwrap();
    assert_eq!(
        [indexed.names.class("lookup"), indexed.names.class("save"), indexed.names.class("ranking")],
        [Some(0), None, Some(2)]
    );
    assert_eq!((indexed.names.tenant(b"acme"), indexed.names.tenant(b"other")), (None, Some(1)));
    assert_eq!((indexed.settings.classes.len(), indexed.settings.tenants.len()), (3, 2));
}

#[test]
fn too_many_changes_are_an_error() {
    let (old, names) = settings();
    let mut table = IndexTable::new(&old, &names);
    let mut new = old.clone();
    let error = (0..).find_map(|n| {
        new.classes[0].aim = 1000.0 + f64::from(n);
        match table.plan(0, &new, &names) {
            Ok(indexed) => {
                table.apply(&indexed);
                None
            }
            Err(error) => Some((n, error)),
        }
    });
    assert_eq!(error, Some(((MAX_INDICES - old.classes.len()) as u32 as i32, TooManyIndices("classes"))));
}

/// Guards against turning settings down, and with them a stricter class, because a class has changed back and
/// forth too often for its old versions to be forgotten.
#[test]
fn a_class_that_changes_back_and_forth_never_runs_out_of_indices() {
    let (old, names) = settings();
    let mut new = old.clone();
    new.classes[0].semantics = Semantics::Unsafe;
    let mut table = IndexTable::new(&old, &names);
    for n in 0..4 * MAX_INDICES {
        let expected = if n % 2 == 0 { &new } else { &old };
        let indexed = table.plan(n as Micros, expected, &names).unwrap();
        let class = indexed.names.class("lookup").unwrap();
        assert_eq!(indexed.settings.classes[class], expected.classes[0]);
        assert_eq!(indexed.settings.classes[0], old.classes[0], "an index keeps its settings");
        table.apply(&indexed);
    }
    assert_eq!(table.classes.len(), MAX_INDICES);
}

proptest! {
    /// The settings of the class of an open query never change, whatever changes of the settings and queries
    /// come.
    #[test]
    fn settings_of_the_class_of_an_open_query_never_change(steps in prop::collection::vec((0u8..3, 0usize..3, 0u64..20), 1..80)) {
        let (mut settings, names) = settings();
        let mut table = IndexTable::new(&settings, &names);
        let mut indexed = table.plan(0, &settings, &names).unwrap();
        let mut open: Vec<(usize, Class)> = Vec::new();
        let mut now = 0;
        for (step, n, wait) in steps {
            now += wait * SECOND;
            match step {
                0 => {
                    settings.classes[n].aim += 1.0;
                    indexed = table.plan(now, &settings, &names).unwrap();
                    table.apply(&indexed);
                }
                1 => {
                    let class = indexed.names.class(&names.classes[n]).unwrap();
                    table.open_query(class, 0);
                    open.push((class, indexed.settings.classes[class].clone()));
                }
                _ if open.is_empty() => {}
                _ => table.close_query(open.swap_remove(n % open.len()).0, 0),
            }
            for (class, opened_with) in &open {
                prop_assert_eq!(&table.classes[*class].settings, opened_with);
            }
        }
    }
}
