//! Plans that run: whatever ends first and whatever fails, every bound holds, and a plan comes to its goals or stands
//! with a cause.

mod support;

use plover_ranges::*;
use plover_reshard::plan::*;
use proptest::prelude::*;
use std::collections::{BTreeMap, BTreeSet};
use support::*;

const NIGHT: u64 = 23 * 3600 * 1_000_000;

fn calm() -> Seen {
    Seen { time_of_day: NIGHT, goodput: Some(990), p99: Some(90_000), standing: BTreeMap::new() }
}

/// How a run ended, with its log.
struct Run {
    log: Vec<Entry>,
    stands: Stands,
    world: World,
    progress: Progress,
}

/// Plays a plan from a state on, with steps that end in any order and fail by chance.
fn play(
    mut progress: Progress,
    mut world: World,
    mut log: Vec<Entry>,
    seed: u64,
    ends_well: bool,
) -> Result<Run, String> {
    let mut chance = Chance(seed);
    let mut now = 1_000_000;
    let mut resumed = 0;
    let tell = |progress: &mut Progress,
                world: &mut World,
                log: &mut Vec<Entry>,
                entry: Entry|
     -> Result<(), String> {
        progress.apply(&entry).map_err(|refused| format!("{entry:?}: {refused}"))?;
        world.apply(&entry).map_err(|broken| format!("{entry:?}: {broken}"))?;
        log.push(entry);
        Ok(())
    };
    for _ in 0..4000 {
        now += 1_000_000;
        let mut seen = calm();
        let warm = chance.one_in(2) || ends_well;
        let cold: Vec<NodeName> = world
            .graph
            .nodes
            .iter()
            .filter(|(_, n)| n.status == NodeStatus::Cold)
            .map(|(n, _)| n.clone())
            .collect();
        if warm {
            seen.standing = cold.iter().map(|n| (n.clone(), NodeStatus::Warm)).collect();
        }
        let loud = !ends_well && chance.one_in(6);
        if loud {
            match chance.below(3) {
                0 => seen.time_of_day = 12 * 3600 * 1_000_000,
                1 => seen.goodput = Some(10),
                _ => seen.p99 = Some(10_000_000),
            }
        }
        let next = progress.next(now, &seen);
        if next != progress.next(now, &seen) {
            return Err("asking changed it".into());
        }
        let bounded = world.graph.bounds.p99.is_some();
        let forward = |s: &Start| matches!(s.way, Way::Forward(_));
        if loud
            && bounded
            && (next.start.iter().any(forward)
                || !world.running.keys().all(|id| next.still.contains(id) || !is_copy(&world, *id)))
        {
            return Err("it works where it must stand still".into());
        }
        for start in &next.start {
            if let (Way::Forward(Some((from, _))), false) = (&start.way, warm)
                && (cold.contains(from)
                    || matches!(&world.graph.steps[start.step.0 as usize].step, Step::Copy { to, .. } if cold.contains(to)))
            {
                return Err("a copy from or to a cold node".into());
            }
            tell(&mut progress, &mut world, &mut log, start.entry())?;
        }
        let running: Vec<StepId> = world.running.keys().chain(world.back.keys()).copied().collect();
        if running.is_empty() {
            match next.stands {
                Stands::Ended(_) | Stands::GivenUp(_) => {
                    return Ok(Run { log, stands: next.stands, world, progress });
                }
                Stands::Waits(until) => now = now.max(until),
                Stands::Paused(Pause::StepFailed(..)) if resumed < 4 => {
                    resumed += 1;
                    let entry = if chance.one_in(3) { Entry::Aborted } else { Entry::Resumed };
                    tell(&mut progress, &mut world, &mut log, entry)?;
                }
                Stands::Paused(Pause::Operator | Pause::Held) => {
                    tell(&mut progress, &mut world, &mut log, Entry::Resumed)?
                }
                Stands::Paused(_) if loud || !warm => {}
                Stands::Paused(_) => return Ok(Run { log, stands: next.stands, world, progress }),
                Stands::Works if next.start.is_empty() => return Err("it stands without a cause".into()),
                Stands::Works => {}
            }
            continue;
        }
        let step = running[chance.below(running.len() as u64) as usize];
        let entry = match (world.running.get(&step), world.back.get(&step)) {
            (Some((token, _)), _) if !ends_well && chance.one_in(7) => {
                let cause = [Cause::Source, Cause::Target, Cause::Late][chance.below(3) as usize];
                Entry::Failed { step, token: *token, at: now, cause }
            }
            (Some((token, _)), _) => Entry::Ended { step, token: *token },
            (None, Some(token)) if !ends_well && chance.one_in(9) => {
                Entry::Failed { step, token: *token, at: now, cause: Cause::Late }
            }
            (None, Some(token)) => Entry::Undone { step, token: *token },
            (None, None) => continue,
        };
        tell(&mut progress, &mut world, &mut log, entry)?;
        if !ends_well && chance.one_in(25) && resumed < 8 {
            resumed += 1;
            let entry = [Entry::Paused, Entry::Held, Entry::Aborted, Entry::Resumed]
                [chance.below(4) as usize]
                .clone();
            let aborted = log.contains(&Entry::Aborted);
            if !aborted || entry == Entry::Resumed {
                tell(&mut progress, &mut world, &mut log, entry)?;
            }
        }
    }
    Err("it does not come to an end".into())
}

fn is_copy(world: &World, id: StepId) -> bool {
    matches!(world.graph.steps[id.0 as usize].step, Step::Copy { .. })
}

fn started(graph: &Graph) -> (Progress, World, Vec<Entry>) {
    let log = vec![Entry::Opened { at: 0, graph: Box::new(graph.clone()) }];
    (Progress::replay(&log).expect("sound"), World::new(graph), log)
}

/// Whether the goals of a plan hold in a map, as far as one sees them there.
fn reached(text: &str, first: &RangeMap, fleet: &Fleet, map: &RangeMap) -> Result<(), String> {
    let plan = read(text).expect("accepted");
    let of = |id: &RangeId| -> Vec<&RangeAssignment> {
        map.overlapping(&first.by_id(*id).expect("known").range).collect()
    };
    let all: Vec<&RangeAssignment> = map.ranges().collect();
    let zones = |h: &RangeAssignment| {
        h.replicas.iter().map(|n| fleet.nodes[n].zone.clone()).collect::<BTreeSet<_>>().len()
    };
    for goal in &plan.goals {
        let holds = match &goal.what {
            What::Split(_, keys) => keys.iter().all(|k| map.lookup(k).is_some_and(|h| h.range.start() == k)),
            What::Merge(low, high) => of(low) == of(high),
            What::Move(id, from, to) => {
                of(id).iter().all(|h| h.replicas.contains(to) && !h.replicas.contains(from))
            }
            What::EmptyNode(node) => all.iter().all(|h| !h.replicas.contains(node)),
            What::EmptyZone(zone) => {
                all.iter().all(|h| h.replicas.iter().all(|n| fleet.nodes[n].zone != *zone))
            }
            What::BringIn(node) => all.iter().any(|h| h.replicas.contains(node)),
            What::Replicas(count, spread, None) => {
                all.iter().all(|h| h.replicas.len() == *count as usize && zones(h) >= *spread as usize)
            }
            What::Apart(a, b) => {
                of(a).iter().all(|x| of(b).iter().all(|y| x.replicas.is_disjoint(&y.replicas)))
            }
            What::Together(a, b) => of(a).iter().all(|x| of(b).iter().all(|y| x.replicas == y.replicas)),
            What::KeepOff(kind, of_one) => {
                let ranges = of_one.as_ref().map_or(all.clone(), &of);
                ranges.iter().all(|h| h.replicas.iter().all(|n| fleet.nodes[n].kind != *kind))
            }
            _ => true,
        };
        if !holds {
            return Err(format!("{} does not hold:\n{text}{map:?}", goal.said));
        }
    }
    Ok(())
}

fn whole_run(seed: u64, ends_well: bool) -> Result<Option<Run>, String> {
    let (text, map, fleet) = case(seed);
    let Ok(graph) = compiled(&text, &map, &fleet) else { return Ok(None) };
    let (progress, world, log) = started(&graph);
    let run = play(progress, world, log, seed ^ 0x5eed, ends_well)
        .map_err(|e| format!("{e}\nseed {seed}\n{text}"))?;
    let left = match &run.stands {
        Stands::Ended(left) | Stands::GivenUp(left) => left.clone(),
        _ => return Ok(Some(run)),
    };
    if run.world.map != *run.progress.map() || run.world.used != run.progress.ledger().used {
        return Err(format!("two maps or ledgers: seed {seed}"));
    }
    let drops = left.iter().filter(|id| matches!(graph.steps[id.0 as usize].step, Step::Drop { .. })).count();
    let garbage = run.world.garbage();
    if garbage > drops || (left.is_empty() && garbage > 0) {
        return Err(format!("{garbage} copies are left: seed {seed}\n{text}"));
    }
    if left.is_empty() {
        reached(&text, &map, &fleet, run.progress.map()).map_err(|e| format!("{e}: seed {seed}"))?;
    }
    for (n, group) in graph.groups.iter().enumerate().filter(|(_, g)| g.whole) {
        let own = graph.steps.iter().enumerate().filter(|(_, s)| usize::from(s.group) == n);
        let gone = own.clone().filter(|(n, _)| left.contains(&StepId(*n as u32))).count();
        if gone != 0 && gone != own.count() {
            return Err(format!("half of the whole group {}: seed {seed}\n{text}", group.name));
        }
    }
    Ok(Some(run))
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 400, failure_persistence: None, ..ProptestConfig::default() })]

    #[test]
    fn every_bound_holds_whatever_ends_and_fails(seed in any::<u64>()) {
        whole_run(seed, false).map_err(TestCaseError::fail)?;
    }

    #[test]
    fn an_accepted_plan_reaches_its_goals_where_nothing_fails(seed in any::<u64>()) {
        if let Some(run) = whole_run(seed, true).map_err(TestCaseError::fail)? {
            prop_assert_eq!(run.stands, Stands::Ended(vec![]), "{}", case(seed).0);
        }
    }

    #[test]
    fn the_graph_is_the_same_whatever_the_order_of_nodes(seed in any::<u64>()) {
        let (text, map, fleet) = case(seed);
        let mut turned = Fleet::default();
        turned.nodes.extend(fleet.nodes.clone().into_iter().rev());
        turned.loads.extend(fleet.loads.clone().into_iter().rev());
        turned.links.extend(fleet.links.clone().into_iter().rev());
        let (one, other) = (compiled(&text, &map, &fleet), compiled(&text, &map, &turned));
        prop_assert_eq!(one.as_ref().map(Graph::bytes), other.as_ref().map(Graph::bytes));
    }

    #[test]
    fn every_prefix_of_a_log_gives_the_state_that_was(seed in any::<u64>()) {
        let Some(run) = whole_run(seed, false).map_err(TestCaseError::fail)? else { return Ok(()) };
        let mut known = Progress::open(&run.log[0]).expect("sound");
        for n in 1..run.log.len() {
            known.apply(&run.log[n]).expect("was applied");
            prop_assert!(Progress::replay(&run.log[..=n]).expect("was applied") == known);
        }
        prop_assert!(known == run.progress);
    }
}

/// A seed that stood without a cause once: held, while a whole group under way needed a split of another group.
#[test]
fn a_held_plan_begins_what_a_move_under_way_needs() {
    assert!(whole_run(304_590, false).unwrap().is_some());
}

#[test]
fn the_seeds_reach_all_that_is_claimed() {
    let mut seen = BTreeMap::<&str, usize>::new();
    for seed in 0..600 {
        let Some(run) = whole_run(seed, false).unwrap() else { continue };
        *seen.entry("accepted").or_default() += 1;
        let stands = match &run.stands {
            Stands::Ended(left) if left.is_empty() => "ended",
            Stands::Ended(_) => "left out",
            Stands::GivenUp(_) => "given up",
            _ => "paused",
        };
        *seen.entry(stands).or_default() += 1;
        let has = |f: fn(&Entry) -> bool| usize::from(run.log.iter().any(f));
        *seen.entry("failed").or_default() += has(|e| matches!(e, Entry::Failed { .. }));
        *seen.entry("undone").or_default() += has(|e| matches!(e, Entry::Undone { .. }));
        *seen.entry("steps").or_default() += run.progress.graph().steps.len();
    }
    println!("{seen:?}");
    for (what, least) in
        [("accepted", 100), ("ended", 40), ("left out", 10), ("given up", 10), ("failed", 50), ("undone", 15)]
    {
        assert!(seen.get(what).is_some_and(|n| *n >= least), "{what}: {seen:?}");
    }
}

/// A log with one entry changed, and what was changed.
fn mutants(log: &[Entry]) -> Vec<(String, Vec<Entry>)> {
    let mut all = Vec::new();
    for n in 0..log.len() {
        let mut with = |what: &str, change: &dyn Fn(&mut Vec<Entry>)| {
            let mut log = log.to_vec();
            change(&mut log);
            all.push((format!("entry {n} {what}: {:?}", log.get(n)), log));
        };
        with("dropped", &|log| drop(log.remove(n)));
        with("doubled", &|log| log.insert(n, log[n].clone()));
        if n + 1 < log.len() {
            with("swapped", &|log| log.swap(n, n + 1));
        }
        for field in 0..4 {
            if wrong(&mut log[n].clone(), field) {
                with("wrong", &|log| {
                    wrong(&mut log[n], field);
                });
            }
        }
    }
    all
}

/// Another value that is legal in itself; whether there is such a field.
fn wrong(entry: &mut Entry, field: usize) -> bool {
    match (entry, field) {
        (
            Entry::Begun { step, .. }
            | Entry::Ended { step, .. }
            | Entry::Failed { step, .. }
            | Entry::BackBegun { step, .. }
            | Entry::Undone { step, .. },
            0,
        ) => step.0 ^= 1,
        (
            Entry::Begun { token, .. }
            | Entry::Ended { token, .. }
            | Entry::Failed { token, .. }
            | Entry::BackBegun { token, .. }
            | Entry::Undone { token, .. },
            1,
        ) => token.0 += 1,
        (Entry::Begun { copy: Some((_, rate)), .. }, 2) => *rate *= 4,
        (Entry::Begun { copy: Some((from, _)), .. }, 3) => {
            *from = if &*from.0 == "a" { "b".into() } else { "a".into() };
        }
        (Entry::Failed { cause, .. }, 2) => *cause = Cause::NoRoom,
        (Entry::Failed { at, .. }, 3) => *at += 7_000_000,
        (Entry::Opened { graph, .. }, 0) => graph.steps.iter_mut().for_each(|s| s.needs.push(StepId(9999))),
        (Entry::Opened { graph, .. }, 1) => graph.bounds.copies_node = 1,
        (Entry::Opened { graph, .. }, 2) => graph.bounds.least_in_service = 3,
        _ => return false,
    }
    true
}

#[test]
fn a_log_with_one_wrong_entry_is_refused_or_harmless() {
    let (mut refused, mut harmless) = (0, 0);
    for seed in 0..500 {
        let Some(run) = whole_run(seed, seed % 3 == 0).unwrap() else { continue };
        let well = !run.log.iter().any(|e| matches!(e, Entry::Failed { .. } | Entry::Aborted));
        for (what, log) in mutants(&run.log) {
            if well && what.contains("doubled") && !what.contains("Opened") {
                assert!(
                    Progress::replay(&log).as_ref() == Ok(&run.progress),
                    "seed {seed}, {what}: told twice"
                );
            }
            let Ok(progress) = Progress::replay(&log) else {
                refused += 1;
                continue;
            };
            harmless += 1;
            // What the log says is carried out: it breaks no bound, and from there the plan comes to an end.
            let Some(Entry::Opened { graph, .. }) = log.first() else {
                panic!("a log that begins with no plan")
            };
            let mut world = World::new(graph);
            for entry in &log {
                world.apply(entry).unwrap_or_else(|broken| panic!("seed {seed}, {what}: {broken}"));
            }
            assert_eq!(world.map, *progress.map(), "seed {seed}, {what}");
            if let Err(stuck) = play(progress, world, log, seed, true) {
                panic!("seed {seed}, {what}: {stuck}");
            }
        }
    }
    println!("{refused} refused, {harmless} harmless");
    assert!(refused > 1000 && harmless > 300, "{refused} refused, {harmless} harmless");
}

/// What a node with a step's token would see: a step begins twice under one token only if it is the same beginning.
#[test]
fn no_token_is_given_twice() {
    for seed in 0..300 {
        let Some(run) = whole_run(seed, false).unwrap() else { continue };
        let mut last = Token(0);
        for entry in &run.log {
            if let Entry::Begun { token, .. } | Entry::BackBegun { token, .. } = entry {
                assert!(*token > last, "seed {seed}");
                last = *token;
            }
        }
    }
}

fn run_until(graph: &Graph, stop: impl Fn(&Progress, &World) -> bool) -> (Progress, World, Vec<Entry>) {
    let (mut progress, mut world, mut log) = started(graph);
    for now in 1.. {
        if stop(&progress, &world) || now > 200 {
            break;
        }
        let next = progress.next(now, &calm());
        let mut entries: Vec<Entry> = next.start.iter().map(Start::entry).collect();
        if entries.is_empty() {
            let Some((step, (token, _))) = world.running.iter().next() else { break };
            entries.push(Entry::Ended { step: *step, token: *token });
        }
        for entry in entries {
            progress.apply(&entry).unwrap();
            world.apply(&entry).unwrap();
            log.push(entry);
        }
    }
    (progress, world, log)
}

#[test]
fn an_amendment_keeps_what_is_done_and_orders_the_rest_anew() {
    let (map, fleet) = (three_ranges(), four(100 * GIB));
    let graph = compiled("plan p\nagainst 12\nempty-node a\n", &map, &fleet).unwrap();
    let dropped = |world: &World| {
        world.ended.iter().any(|id| matches!(world.graph.steps[id.0 as usize].step, Step::Drop { .. }))
    };
    let (mut progress, mut world, mut log) = run_until(&graph, |_, world| !world.running.is_empty());
    let mut tell = |progress: &mut Progress, world: &mut World, entry: Entry| {
        progress.apply(&entry).unwrap();
        world.apply(&entry).unwrap();
        log.push(entry);
    };
    let plan = |version: u64, goals: &str| read(&format!("plan q\nagainst {version}\n{goals}")).unwrap();
    let refused = progress.amendment(&plan(12, "empty-node b\n"), &fleet, 5).unwrap_err();
    assert!(matches!(refused, AmendRefused::State(Refused::UnderWay(_))), "{refused:?}");
    let open = Entry::Amended { at: 5, graph: Box::new(graph.clone()) };
    assert!(matches!(progress.clone().apply(&open), Err(Refused::UnderWay(_))));
    // Held, it brings to an end what has begun, and begins nothing else.
    tell(&mut progress, &mut world, Entry::Held);
    let begun = world.running.len();
    for _ in 0..40 {
        let next = progress.next(9, &calm());
        for start in next.start {
            assert!(!is_copy(&world, start.step), "a move begins while it is held");
            tell(&mut progress, &mut world, start.entry());
        }
        let Some((step, (token, _))) = world.running.iter().next() else { break };
        let entry = Entry::Ended { step: *step, token: *token };
        tell(&mut progress, &mut world, entry);
    }
    assert_eq!(progress.next(9, &calm()).stands, Stands::Paused(Pause::Held));
    assert!(
        dropped(&world) && begun < graph.steps.iter().filter(|s| matches!(s.step, Step::Copy { .. })).count()
    );
    let version = progress.map().version().0;
    assert_eq!(version, 12 + begun as u64);
    let other = progress.amendment(&plan(12, "empty-node a\n"), &fleet, 9).unwrap_err();
    assert!(
        matches!(&other, AmendRefused::Plan(r) if r[0].rule == "version" && r[0].what.contains("+r")),
        "{other:?}"
    );
    let entry = progress.amendment(&plan(version, "empty-node a\nmove r2 c d\n"), &fleet, 9).unwrap();
    let old = Entry::Amended { at: 9, graph: Box::new(graph.clone()) };
    assert!(matches!(progress.clone().apply(&old), Err(Refused::OtherMap(12, _))));
    tell(&mut progress, &mut world, entry);
    let run = play(progress, world, log, 3, true).unwrap();
    assert_eq!(run.stands, Stands::Ended(vec![]));
    assert!(run.progress.map().ranges().all(|h| !h.replicas.contains(&"a".into())));
    assert!(run.progress.map().by_id(RangeId(2)).unwrap().replicas.contains(&"d".into()));
    assert_eq!(Progress::replay(&run.log).unwrap(), run.progress);
}

/// Runs a plan to where it stands; these steps fail, with the node that a copy reads.
fn driven(
    graph: &Graph,
    fails: impl Fn(&Step, Option<&str>) -> bool,
) -> (Progress, World, Vec<Entry>, Stands) {
    let (mut progress, mut world, mut log) = started(graph);
    let mut now = 0;
    for _ in 0..500 {
        now += 1;
        let next = progress.next(now, &calm());
        let mut entries: Vec<Entry> = next.start.iter().map(Start::entry).collect();
        if let (true, Some((step, (token, copy)))) = (entries.is_empty(), world.running.iter().next()) {
            let from = copy.as_ref().map(|(from, _)| &*from.0);
            let (step, token) = (*step, *token);
            let failed = fails(&graph.steps[step.0 as usize].step, from);
            entries.push(if failed {
                Entry::Failed { step, token, at: now, cause: Cause::Source }
            } else {
                Entry::Ended { step, token }
            });
        } else if let (true, Some((step, token))) = (entries.is_empty(), world.back.iter().next()) {
            entries.push(Entry::Undone { step: *step, token: *token });
        }
        for entry in &entries {
            progress.apply(entry).unwrap();
            world.apply(entry).unwrap();
        }
        log.extend(entries.iter().cloned());
        match next.stands {
            Stands::Waits(until) => {
                assert!(progress.next(until - 1, &calm()).start.is_empty(), "it does not wait");
                now = until;
            }
            stands if entries.is_empty() => return (progress, world, log, stands),
            _ => {}
        }
    }
    panic!("it does not come to an end");
}

#[test]
fn a_whole_group_goes_back_to_before_it_began() {
    let (map, fleet) = (three_ranges(), four(100 * GIB));
    let text = "plan p\nagainst 12\ngroup cut\nwhole\non-failure 3 10s back\nsplit r1 k\nmove r1 a d\ngroup level\nafter cut\napart r0 r2\n";
    let graph = compiled(text, &map, &fleet).unwrap();
    let (_, world, log, stands) = driven(&graph, |step, _| step.to_string().starts_with("switch [k, p)"));
    let failures: Vec<u64> =
        log.iter().filter_map(|e| if let Entry::Failed { at, .. } = e { Some(*at) } else { None }).collect();
    assert!(failures.len() == 3 && failures.windows(2).all(|w| w[1] - w[0] >= 10_000_000), "{failures:?}");
    assert_eq!(stands, Stands::Ended((0..graph.steps.len() as u32).map(StepId).collect()));
    let lie =
        |map: &RangeMap| map.ranges().map(|h| (h.range.clone(), h.replicas.clone())).collect::<Vec<_>>();
    assert!(lie(&world.map) == lie(&map) && world.garbage() == 0 && world.map.version() > map.version());
    let level = |e: &Entry| matches!(e, Entry::Begun { step, .. } if graph.groups[usize::from(graph.steps[step.0 as usize].group)].name == "level");
    assert!(!log.iter().any(level), "what comes after it began");
}

#[test]
fn a_copy_goes_round_a_holder_that_fails_and_is_left_out_when_all_do() {
    let (map, fleet) = (three_ranges(), four(100 * GIB));
    let graph = compiled("plan p\nagainst 12\non-failure 2 10s round\nempty-node a\n", &map, &fleet).unwrap();
    let (_, world, _, stands) = driven(&graph, |_, from| from == Some("a"));
    assert!(stands == Stands::Ended(vec![]) && world.garbage() == 0, "{stands:?}");
    let (_, world, log, stands) =
        driven(&graph, |step, from| from.is_some() && step.to_string().contains("[, g)"));
    assert!(matches!(&stands, Stands::Ended(left) if left.len() == 4) && world.garbage() == 0, "{stands:?}");
    assert_eq!(log.iter().filter(|e| matches!(e, Entry::Failed { .. })).count(), 4);
}

#[test]
fn a_step_that_fails_for_good_pauses_the_plan_and_so_does_a_deadline() {
    let (map, fleet) = (three_ranges(), four(100 * GIB));
    let mut graph =
        compiled("plan p\nagainst 12\non-failure 2 10s pause\nempty-node a\n", &map, &fleet).unwrap();
    let (mut progress, _, log, stands) =
        driven(&graph, |step, _| step.to_string().starts_with("catch up [, g)"));
    let Stands::Paused(Pause::StepFailed(step, Some(Cause::Source))) = stands else { panic!("{stands:?}") };
    assert_eq!(log.iter().filter(|e| matches!(e, Entry::Failed { .. })).count(), 2);
    let again = Entry::Begun { step, token: Token(99), copy: None };
    assert_eq!(progress.clone().apply(&again), Err(Refused::Stopped(step)));
    progress.apply(&Entry::Resumed).unwrap();
    progress.apply(&again).unwrap();
    graph.groups[0].deadline = Some(5_000_000);
    let late = Progress::open(&Entry::Opened { at: 1, graph: Box::new(graph) }).unwrap();
    assert!(!late.next(5_000_001, &calm()).start.is_empty());
    assert_eq!(late.next(5_000_002, &calm()).stands, Stands::Paused(Pause::Deadline(0)));
}
