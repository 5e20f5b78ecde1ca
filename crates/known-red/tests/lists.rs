//! Lists that are faulty on purpose, and what is said of them.

use plover_known_red::{
    Entry, Fails, Fault, Ran, Verdict, ignored_as_known_red, judge, names_a_test, parse, unlisted,
};

const GOOD: &str = "\
# What is known.
test: clients::goes
command: cargo test --locked -p some --test races clients::goes -- --ignored --exact
seed: 5
seen: a reset
fails: always
issue: 34
";

fn entry(fails: Fails) -> Entry {
    Entry { fails, ..parse(GOOD).unwrap().remove(0) }
}

fn ran(success: bool, output: &str) -> Ran {
    Ran { success, output: output.to_owned() }
}

#[test]
fn an_entry_is_read_whole() {
    let entries = parse(GOOD).unwrap();
    assert_eq!((entries.len(), entries[0].function(), entries[0].issue), (1, "goes", 34));
    assert_eq!((entries[0].fails, entries[0].seed.as_str()), (Fails::Always, "5"));
    assert_eq!(parse(""), Ok(vec![]));
}

#[test]
fn what_an_entry_lacks_is_named() {
    for (line, key) in [
        ("issue: 34", "issue"),
        ("seed: 5", "seed"),
        ("seen: a reset", "seen"),
        ("fails: always", "fails"),
        ("test: clients::goes", "test"),
    ] {
        let fault = parse(&GOOD.replace(line, "# gone")).unwrap_err();
        assert!(matches!(fault, Fault::Value { key: named, .. } if named == key), "{key}: {fault}");
    }
}

#[test]
fn what_cannot_be_used_is_named() {
    let faulty = |from: &str, to: &str| parse(&GOOD.replace(from, to)).unwrap_err();
    for (from, to) in [("issue: 34", "issue: soon"), ("always", "sometimes")] {
        assert!(matches!(faulty(from, to), Fault::Value { .. }), "{to}");
    }
    for (from, to) in
        [("cargo test", "sh -c"), (" --exact", ""), (" --ignored", ""), ("races clients::goes", "races")]
    {
        assert!(matches!(faulty(from, to), Fault::Value { key: "command", .. }), "{from}");
    }
    assert_eq!(faulty("seen: ", "seen"), Fault::Line(5));
    assert!(matches!(faulty("seen:", "saw:"), Fault::Key { line: 5, .. }));
    assert!(matches!(faulty("seed: 5", "seed: 5\nseed: 6"), Fault::Key { line: 5, .. }));
    assert_eq!(parse(&format!("{GOOD}\n{GOOD}")), Err(Fault::Twice("clients::goes".to_owned())));
}

#[test]
fn an_ignored_test_without_an_entry_is_found() {
    let folder = tempfile::tempdir().unwrap();
    let deep = folder.path().join("some").join("tests");
    std::fs::create_dir_all(&deep).unwrap();
    let text = "#[test]\n#[ignore = \"known red: see the list\"]\n/// A fn of which\nfn goes() {}\n\
                #[ignore = \"takes minutes\"]\nfn long() {}\n\
                #[ignore = \"known red\"]\n#[should_panic]\npub(crate) fn stays() {}\nfn other() {}\n";
    std::fs::write(deep.join("races.rs"), text).unwrap();
    let ignored = ignored_as_known_red(folder.path()).unwrap();
    assert_eq!(ignored, ["goes", "stays"]);
    assert_eq!(unlisted(&parse(GOOD).unwrap(), &ignored), ["stays"]);
    assert_eq!(unlisted(&[], &ignored), ["goes", "stays"]);
}

#[test]
fn an_entry_that_names_no_test_is_told() {
    let entry = entry(Fails::Always);
    assert!(names_a_test(&entry, &ran(true, "clients::goes: test\n\n1 test, 0 benchmarks")));
    assert!(!names_a_test(&entry, &ran(true, "0 tests, 0 benchmarks")));
    assert!(!names_a_test(&entry, &ran(false, "error: no test target named `races`")));
}

#[test]
fn a_run_says_whether_it_is_as_listed() {
    let red = "test clients::goes ... FAILED\n\nthread 'x' panicked at a.rs:7:9:\nleft: 1\n\nright: 2\nnote: run with";
    let passed = ran(true, "test clients::goes ... ok\n");
    let verdict = judge(&entry(Fails::Always), &ran(false, red));
    assert_eq!(
        verdict,
        Verdict::StillRed(
            ["thread 'x' panicked at a.rs:7:9:", "left: 1", "right: 2"].map(str::to_owned).into()
        )
    );
    assert!(verdict.is_as_listed());
    let verdict = judge(&entry(Fails::Always), &passed);
    assert!(verdict == Verdict::TakeItOff && !verdict.is_as_listed());
    let verdict = judge(&entry(Fails::AtTimes), &passed);
    assert!(verdict == Verdict::PassedThisTime && verdict.is_as_listed());
    for nothing in [ran(true, "running 0 tests"), ran(false, "error: could not compile"), ran(false, "")] {
        let verdict = judge(&entry(Fails::AtTimes), &nothing);
        assert!(matches!(verdict, Verdict::NotPlayed(_)) && !verdict.is_as_listed(), "{nothing:?}");
    }
}
