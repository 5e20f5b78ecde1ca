//! What a group of three keepers costs by the number of duties held: words and bytes a second, durable writes, the log's size,
//! and the processor time of one renewal. Keepers are real and on real disks, time is injected. It prints JSON lines, no verdict.

use plover_duties::holder::{Phase, Times};
use plover_duties::keeper::{Founding, Keeper, Settings, Standing};
use plover_duties::values::{BrokerName, Drift, DutyName, KeeperId, Lease, Process, Token};
use plover_duties::{Command, Holder, Word};
use plover_duties_store::RedbStore;
use plover_model::time::{MILLI, Micros, SECOND};
use std::collections::VecDeque;
use std::time::Instant;

const LEASE: Micros = 4 * SECOND;
const SPAN: Micros = 30 * SECOND;
const STEP: Micros = 20 * MILLI;

#[derive(Default)]
struct Count {
    words: u64,
    bytes: u64,
    commands: u64,
    command_bytes: u64,
    saves: u64,
    save_us: f64,
    keeper_us: f64,
}

fn main() {
    for duties in [1, 2, 4, 8, 16] {
        println!("{}", run(duties, 0));
    }
    // Brokers that want a duty which another holds: they ask again and again.
    for asking in [10, 20, 40, 80, 160] {
        println!("{}", run(1, asking));
    }
}

fn run(duties: usize, asking: usize) -> String {
    let directory = tempfile::tempdir().expect("a directory");
    let lease = Lease::new(LEASE, Drift::ppm(1000));
    let names: Vec<DutyName> =
        (0..duties).map(|n| DutyName::new(format!("duty-{n}")).expect("fits")).collect();
    let founding = Founding {
        group: 7,
        keepers: (1..=3).map(KeeperId).collect(),
        duties: names.clone(),
        lease,
        tokens_after: Token(0),
    };
    let path = |id: u64| directory.path().join(format!("keeper-{id}"));
    let mut keepers: Vec<(Keeper, RedbStore)> = (1..=3u64)
        .map(|id| {
            let mut store = RedbStore::create(&path(id)).expect("a file");
            Keeper::found(&mut store, KeeperId(id), &founding).expect("founds");
            let settings = Settings { tick_every: LEASE / 20, keep: 1000, seed: id };
            let keeper = Keeper::open(&mut store, settings).expect("opens");
            (keeper, store)
        })
        .collect();
    let process = |n: usize| Process { broker: BrokerName::new(format!("b{n:04}")).expect("fits"), start: 1 };
    let held = names.iter().enumerate().map(|(n, d)| Holder::new(d.clone(), process(n), Times::of(lease)));
    let others = (0..asking).map(|n| Holder::new(names[0].clone(), process(100 + n), Times::of(lease)));
    let mut holders: Vec<Holder> = held.collect();
    let mut late: Vec<Holder> = others.collect();
    let mut count = Count::default();
    let mut now: Micros = 0;
    let mut measured: Option<Micros> = None;
    let mut grown = 0;
    while measured.is_none_or(|from| now < from + SPAN) {
        now += STEP;
        let mut wire: VecDeque<(usize, Word)> = VecDeque::new();
        let leader = keepers.iter().position(|(k, _)| k.standing() == Standing::Leading);
        let begun = Instant::now();
        keepers.iter_mut().for_each(|(k, _)| k.tick(now));
        count.keeper_us += begun.elapsed().as_secs_f64() * 1e6;
        if let Some(leader) = leader {
            let all: Vec<Command> = holders.iter_mut().flat_map(|h| h.turn(now)).collect();
            for command in all {
                wire.push_back((leader, Word::Command(command)));
            }
        }
        loop {
            while let Some((to, word)) = wire.pop_front() {
                let bytes = word.encode().expect("fits").len() as u64;
                let begun = Instant::now();
                let answer = match &word {
                    Word::Keepers { group, message } => {
                        (count.words, count.bytes) = (count.words + 1, count.bytes + bytes);
                        keepers[to].0.hear(message.clone(), *group);
                        None
                    }
                    Word::Command(command) => {
                        (count.commands, count.command_bytes) =
                            (count.commands + 1, count.command_bytes + bytes);
                        keepers[to].0.command(command)
                    }
                    Word::Answer(_) => None,
                };
                count.keeper_us += begun.elapsed().as_secs_f64() * 1e6;
                if let Some(answer) = answer {
                    answered(&mut holders, now, &answer, &mut count, to, &mut wire);
                }
            }
            for (at, (keeper, store)) in keepers.iter_mut().enumerate() {
                let begun = Instant::now();
                let Some(unsaved) = keeper.turn() else { continue };
                count.keeper_us += begun.elapsed().as_secs_f64() * 1e6;
                let begun = Instant::now();
                let output = unsaved.save(now, store).expect("saves");
                (count.saves, count.save_us) =
                    (count.saves + 1, count.save_us + begun.elapsed().as_secs_f64() * 1e6);
                for (to, word) in output.words {
                    wire.push_back((to.0 as usize - 1, word));
                }
                for answer in output.answers {
                    answered(&mut holders, now, &answer, &mut count, at, &mut wire);
                }
            }
            if wire.is_empty() {
                break;
            }
        }
        let holding = |h: &Holder| matches!(h.phase(), Phase::Holding { .. });
        if measured.is_none() {
            if leader.is_some() {
                holders.iter_mut().for_each(Holder::want);
            }
            if holders.iter().all(holding) {
                late.iter_mut().for_each(Holder::want);
                holders.append(&mut late);
                (measured, count) = (Some(now), Count::default());
                grown = size(&path(1));
            }
        }
        assert!(now < 120 * SECOND, "the duties are not granted");
    }
    let seconds = SPAN as f64 / SECOND as f64;
    let a_second = |n: u64| n as f64 / seconds;
    format!(
        "{{\"duties\": {duties}, \"asking\": {asking}, \"commands_s\": {:.2}, \"command_bytes_s\": {:.0}, \"words_s\": {:.2}, \
         \"word_bytes_s\": {:.0}, \"saves_s\": {:.2}, \"save_us\": {:.0}, \"keeper_us_s\": {:.0}, \"file_bytes\": {}, \
         \"file_grown\": {}}}",
        a_second(count.commands),
        a_second(count.command_bytes),
        a_second(count.words),
        a_second(count.bytes),
        a_second(count.saves),
        count.save_us / count.saves.max(1) as f64,
        count.keeper_us / seconds,
        size(&path(1)),
        size(&path(1)) as i64 - grown as i64,
    )
}

fn size(path: &std::path::Path) -> u64 {
    std::fs::metadata(path).map_or(0, |m| m.len())
}

fn answered(
    holders: &mut [Holder],
    now: Micros,
    answer: &plover_duties::wire::Answer,
    count: &mut Count,
    from: usize,
    wire: &mut VecDeque<(usize, Word)>,
) {
    let bytes = Word::Answer(answer.clone()).encode().expect("fits").len() as u64;
    (count.commands, count.command_bytes) = (count.commands + 1, count.command_bytes + bytes);
    for holder in holders {
        if let Some(command) = holder.hear(now, answer) {
            wire.push_back((from, Word::Command(command)));
        }
    }
}
