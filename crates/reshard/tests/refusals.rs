//! What is refused: the place in the file, the rule, and the figure that would do. And three plans that are accepted.

mod support;

use plover_ranges::*;
use plover_reshard::plan::*;
use support::*;

const HEAD: &str = "plan p\nagainst 12\n";

/// A plan's lines below its head, and its one refusal: line and column, the rule, and part of what would do.
type Row = (&'static str, &'static str, &'static str, &'static str);

#[rustfmt::skip]
const TABLE: &[Row] = &[
    // What cannot be read.
    ("empty-nod a", "3:1", "keyword", "perhaps empty-node"),
    ("empty-node", "3:1", "argument", "it takes a node"),
    ("empty-node a b", "3:14", "argument", "it takes a node"),
    ("empty-node a_b", "3:12", "argument", "1 to 64 letters, digits, dots or dashes"),
    ("copies-node 0", "3:13", "argument", "1 to 64"),
    ("copies-node 1\ncopies-node 2", "4:1", "twice", "once"),
    ("free-disk 10", "3:11", "argument", "a size with its unit (B, KiB, MiB, GiB, TiB)"),
    ("disk-rate 10MiB", "3:11", "argument", "as 50MiB/s"),
    ("hours 22:00-22:00", "3:7", "argument", "as 22:00-05:30"),
    ("goodput 1.2", "3:9", "argument", "0.001 to 0.999"),
    ("p99 250", "3:5", "argument", "(us, ms, s, min, h)"),
    ("cold no", "3:6", "argument", "one of neither, from, to, both"),
    ("split 3 m", "3:7", "argument", "as r17"),
    ("split r0 a\\x4", "3:10", "argument", "\\xNN"),
    ("pieces r0 g,a", "3:11", "argument", "a piece that begins before it ends"),
    ("group g\ngroup g", "4:7", "argument", "a name that no other group has"),
    ("group g\nafter h", "4:7", "group", "one of g"),
    ("group g\non-failure 3 1s back", "3:7", "on-failure", "the line whole"),
    ("group g\nwhole\non-failure 3 1s round", "3:7", "on-failure", "pause or back"),
    // What is not there.
    ("split r7 m", "3:7", "range", "as r2, r1, r0"),
    ("move r0 a x", "3:11", "node", "a node of the fleet"),
    ("empty-zone north", "3:12", "node", "one of east, west"),
    // Keys.
    ("split r0 g", "3:10", "cuts-nothing", "a key after  and before g"),
    ("split r1 z", "3:10", "cuts-nothing", "a key after g and before p"),
    ("pieces r1 g,k l,p", "3:15", "gap", "begins at k"),
    ("pieces r1 g,k j,p", "3:15", "overlap", "begins at k"),
    ("pieces r1 g,k k,m", "3:15", "gap", "ends at p"),
    ("pieces r1 g,k k,z", "3:15", "overlap", "ends at p"),
    ("split-size 1B", "3:12", "split", "split-size 655360B"),
    ("merge r0 r2", "3:10", "neighbours", "r0 r1"),
    // Goals against one another and against the rules.
    ("split r0 c\nmerge r0 r1", "4:7", "contradiction", "only one of the two"),
    ("split-size 12GiB\nmerge-under 15GiB", "4:13", "contradiction", "12GiB at most"),
    ("split-size 12GiB\nmerge r0 r1", "4:1", "contradiction", "split-size 20GiB"),
    ("move r0 a c\nempty-node c", "3:11", "contradiction", "only one of the two"),
    ("move r0 a d\nkeep-off spot", "3:11", "contradiction", "only one of the two"),
    ("bring-in d\nempty-zone west", "3:10", "contradiction", "only one of the two"),
    ("together r0 r1\napart r0 r1", "4:1", "contradiction", "only one of the two"),
    ("replicas 2 1\nreplicas 3 1", "4:1", "contradiction", "only one of the two"),
    ("move r0 c d", "3:9", "move", "one of a, b"),
    ("move r0 a b", "3:11", "move", "a node beside a, b"),
    ("replicas 2 3", "3:12", "zones", "2 at most"),
    ("replicas 5 1", "3:10", "replicas", "4 at most"),
    ("replicas 3 3", "3:12", "zones", "2 at most"),
    ("least-in-service 2\nreplicas 1 1", "4:10", "least-in-service", "2 at least"),
    ("least-in-service 3\nmove r0 a c", "4:1", "least-in-service", "replicas 3 1 r0"),
    ("keep-off big r0", "3:1", "replicas", "1 replicas, or another node"),
    ("even-out bytes 1", "3:16", "even-out", "34"),
    // Room.
    ("free-disk 95GiB\nempty-node a", "4:1", "room", "5GiB more of disk"),
    ("free-disk 95GiB\nmove r0 a d", "4:1", "room", "5GiB more of disk at d"),
    ("deadline 1min\nempty-node a", "3:10", "deadline", "deadline 5min"),
    // Order.
    ("group g\nafter h\ngroup h\nafter g", "4:7", "circle", "one of these orders less"),
    ("group g\nwhole\nbefore h\nsplit r0 c\ngroup h\nbefore g\nempty-node a", "5:8", "circle", "one of these orders less"),
];

#[test]
fn each_refusal_names_the_place_the_rule_and_what_would_do() {
    let mut wrong = Vec::new();
    for (lines, place, rule, would_do) in TABLE {
        let text = format!("{HEAD}{lines}\n");
        let found = compiled(&text, &three_ranges(), &four(100 * GIB))
            .map(|g| g.steps.len())
            .map_err(|e| e.to_string());
        let begins = format!("p:{place}: {rule}: ");
        let right = found
            .as_ref()
            .err()
            .is_some_and(|e| e.lines().count() == 1 && e.starts_with(&begins) && e.contains(would_do));
        if !right {
            wrong.push(format!("{lines:?}\n  wanted {begins}...; ...{would_do}\n  found  {found:?}"));
        }
    }
    assert!(wrong.is_empty(), "{}", wrong.join("\n"));
}

#[test]
fn what_is_needed_and_what_was_not_measured() {
    let (map, fleet) = (three_ranges(), four(100 * GIB));
    let found = compiled("empty-node a\n", &map, &fleet).unwrap_err();
    assert!(
        found.contains("p:2:1: plan: the plan has no line plan") && found.contains("against VERSION"),
        "{found}"
    );
    let mut blind = fleet.clone();
    blind.links.clear();
    blind.loads.remove(&RangeId(2));
    let found = compiled(&format!("{HEAD}move r0 a d\n"), &map, &blind).unwrap_err();
    assert_eq!(found, "p:2:9: facts: nothing was measured of r2; its bytes, rate and work");
    blind.loads = fleet.loads.clone();
    let found = compiled(&format!("{HEAD}move r0 b c\n"), &map, &blind).map(|g| g.steps.len());
    assert_eq!(found, Ok(4), "within a zone no link is needed");
    let found = compiled(&format!("{HEAD}move r1 a d\nmove r1 c b\n"), &map, &blind).unwrap_err();
    assert!(found.contains("facts: no rate is known between east and west; link-rate"), "{found}");
    blind.nodes.remove(&NodeName::from("b"));
    let found = compiled(&format!("{HEAD}split r0 c\n"), &map, &blind).unwrap_err();
    assert!(found.starts_with("p:2:9: facts: the map has b"), "{found}");
}

#[test]
fn a_plan_for_another_version_is_refused_with_the_difference() {
    let then = three_ranges();
    let now = then.with_replicas(RangeId(1), names("c,d")).unwrap();
    let text = format!("{HEAD}empty-node a\n");
    let refusals = compile(&read(&text).unwrap(), &now, &four(100 * GIB), Some(&then)).unwrap_err();
    let found = faults("p", &text, refusals).to_string();
    let wanted = "p:2:9: version: the map is at version 13, the plan was written for 12: \
                  -r1 [g, p) at a,c; +r1 [g, p) at c,d; against 13, once what differs was looked at";
    assert_eq!(found, wanted);
}

/// Two nodes that are full change places only where one of them has room for a while.
#[test]
fn what_fits_at_the_end_and_not_on_the_way_is_refused_with_the_figure() {
    let map = map(12, &[("", "a"), ("m", "b")]);
    let text = |free: u64| format!("{HEAD}free-disk {free}GiB\nmove r0 a b\nmove r1 b a\n");
    let fleet = |disk: u64| fleet(&[("a", "x", "big", disk), ("b", "x", "big", disk)], &[10 * GIB, 10 * GIB]);
    let found = compiled(&text(5), &map, &fleet(18 * GIB)).unwrap_err();
    assert!(
        found.starts_with(
            "p:4:1: room: no order keeps free-disk on the way: copy [m, end) b -> a lacks 7GiB at a"
        ),
        "{found}"
    );
    assert!(found.ends_with("7GiB more of disk at a"), "{found}");
    let found = compiled(&text(5), &map, &fleet(24 * GIB)).unwrap_err();
    assert!(found.ends_with("; free-disk 4294967296B"), "{found}");
    assert_eq!(compiled(&text(4), &map, &fleet(24 * GIB)).unwrap().steps.len(), 8);
    // The same in memory, of which each range takes half its bytes.
    let mut small = fleet(100 * GIB);
    small.nodes.values_mut().for_each(|n| n.memory = 12 * GIB);
    let text = |free: u64| format!("{HEAD}free-memory {free}GiB\nmove r0 a b\nmove r1 b a\n");
    let found = compiled(&text(3), &map, &small).unwrap_err();
    assert!(found.contains("lacks 1GiB at a; free-memory 2147483648B"), "{found}");
    assert_eq!(compiled(&text(2), &map, &small).unwrap().steps.len(), 8);
}

/// The first copy in the order of the keys would take the room that the second one needs to make room for the third.
fn corner(lines: &str, rest: &str) -> Result<Graph, String> {
    let map = map(12, &[("", "s"), ("g", "u"), ("p", "t")]);
    let nodes = [("s", "x", "big", 90 * GIB), ("t", "x", "big", 20 * GIB), ("u", "x", "big", 10 * GIB)];
    let fleet = fleet(&nodes, &[10 * GIB, 10 * GIB, 10 * GIB]);
    compiled(
        &format!("{HEAD}copies-node 3\n{lines}move r0 s t\n{rest}move r1 u t\nmove r2 t u\n"),
        &map,
        &fleet,
    )
}

#[test]
fn an_order_is_found_where_the_first_one_leads_into_a_corner() {
    let found = corner("group one\n", "group rest\nafter one\n").unwrap_err();
    let wanted = "p:8:1: room: no order keeps free-disk on the way: copy [g, p) u -> t lacks 10GiB at t; 10GiB more of disk at t";
    assert_eq!(found, wanted);
    let graph = corner("", "").unwrap();
    let copies = graph.steps.iter().filter_map(|s| match &s.step {
        Step::Copy { from, .. } => Some(from.to_string()),
        _ => None,
    });
    assert_eq!(copies.collect::<Vec<_>>(), ["u", "t", "s"]);
    // At run time r0 could begin: t has room for it now. It waits, since r1 and r2 could not follow.
    let mut progress = Progress::open(&Entry::Opened { at: 0, graph: Box::new(graph.clone()) }).unwrap();
    let next = progress.next(0, &Seen::default());
    let begins: Vec<String> =
        next.start.iter().map(|s| graph.steps[s.step.0 as usize].step.to_string()).collect();
    assert_eq!(begins, ["copy [g, p) u -> t"]);
    let early =
        graph.steps.iter().position(|s| matches!(&s.step, Step::Copy { from, .. } if *from == "s".into()));
    let early = StepId(early.unwrap() as u32);
    let copy = Some(("s".into(), 1));
    let refused = progress.apply(&Entry::Begun { step: early, token: Token(1), copy }).unwrap_err();
    assert_eq!(refused.to_string(), "a bound: room at t is kept for what comes earlier in the order");
}

#[test]
fn the_three_worked_plans() {
    let (map, fleet) = (three_ranges(), four(100 * GIB));
    let retire = "plan retire-a\nagainst 12\nleast-in-service 2\ncopies-node 1\ndisk-rate 50MiB/s\nfree-disk 20GiB\nempty-node a\n";
    let shown = show::show(&compiled(retire, &map, &fleet).unwrap());
    println!("{shown}");
    assert!(shown.starts_with("plan retire-a against 12: 8 steps, 20GiB copied, "), "{shown}");
    assert!(shown.contains("3m24s  copy [, g) a -> c  10GiB at 50MiB/s by a: disk-rate"), "{shown}");
    let cut = "plan cut-r1\nagainst 12\ngroup cut\nwhole\non-failure 3 10s back\nsplit r1 k\nmove r1 a d\ngroup level\nafter cut\napart r0 r2\ndeadline 2h\n";
    let graph = compiled(cut, &map, &fleet).unwrap();
    let shown = show::show(&graph);
    let at = |what: &str| shown.find(what).unwrap_or_else(|| panic!("{what} is not in {shown}"));
    assert!(
        at("split [g, p) at k") < at("copy [g, k) a -> d")
            && at("switch [k, p) +d -a") < at("drop [g, k) at a")
    );
    assert!(at("drop [k, p) at a") < at("copy [p, end) b -> d"), "{shown}");
    assert_eq!(corner("hours 22:00-05:00\np99 250ms\n", "").map(|g| g.steps.len()), Ok(12));
}

#[test]
fn no_text_makes_it_panic() {
    let mut chance = Chance(1);
    let words = [
        "plan",
        "against",
        "12",
        "split",
        "r0",
        "pieces",
        "-,g",
        "g,-",
        "\\x",
        "\\",
        "é",
        "split-size",
        "1B",
        "move",
        "a",
        "\n",
        "#",
        "group",
        "after",
        "deadline",
        "1h",
        "hours",
        "24:00-1:1",
        "18446744073709551616",
        "replicas",
        "64",
    ];
    for _ in 0..3000 {
        let text: Vec<&str> =
            (0..chance.below(30)).map(|_| words[chance.below(words.len() as u64) as usize]).collect();
        let _ = compiled(&text.join(" "), &three_ranges(), &four(100 * GIB));
        let _ = compiled(
            &format!("{HEAD}{}", text.join(" ").replace(" \n ", "\n")),
            &three_ranges(),
            &four(100 * GIB),
        );
    }
}
