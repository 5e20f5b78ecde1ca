//! Upgrades and evacuations in a row, under load, with failing servers. Takes minutes, so it is run by hand:
//! `cargo test --release --test operation soak -- --ignored --nocapture`.

use crate::rig::{Shared, ask, call, figures, fleet};
use hdrhistogram::Histogram;
use plover_load::{Answer, Ask};
use plover_standins::books::Rules;
use plover_standins::{Fault, Program};
use std::collections::BTreeMap;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

const ROUNDS: usize = 20;

#[derive(Default)]
struct Ends {
    by_kind: BTreeMap<&'static str, u64>,
}

/// Every query has one end with its client; the processes' books, read before each ends, hold no more and no fewer; data servers see
/// no rule broken, and the door answers meanwhile.
#[test]
#[ignore = "takes minutes"]
fn soak() {
    let shared = Shared::new("soak");
    let fleet = fleet(Duration::from_millis(2));
    let mut program = shared.start(&fleet);
    let (stop, ends) = (Arc::new(AtomicBool::new(false)), Arc::new(Mutex::new(Ends::default())));
    let to = shared.address();
    let clients: Vec<_> = (0..6)
        .map(|c| {
            let (stop, ends) = (stop.clone(), ends.clone());
            std::thread::spawn(move || {
                for n in 0.. {
                    if stop.load(Ordering::Relaxed) {
                        return;
                    }
                    let id = format!("c{c}-{n}");
                    let query = match n % 3 {
                        0 => Ask::new(&id, "watchlist-save", &[0]).under(&format!("k{id}")),
                        1 => Ask::new(&id, "ranking", &[0, 1, 2]),
                        _ => Ask::new(&id, "lookup", &[3, 4]),
                    };
                    let kind = match ask(to, &query) {
                        Answer::Served(..) => "succeeded",
                        Answer::Refused(_) => "declined",
                        Answer::Failed(_) => "aborted",
                        Answer::Reset(_) => "lost",
                    };
                    *ends.lock().unwrap().by_kind.entry(kind).or_default() += 1;
                }
            })
        })
        .collect();
    let mut door = Histogram::<u64>::new(3).unwrap();
    let mut timed = |program: &Program, method: &str, path: &str| {
        let begun = Instant::now();
        let (status, _) = call(program, method, path);
        door.record(begun.elapsed().as_micros() as u64).unwrap();
        status
    };
    let mut books: BTreeMap<String, u64> = BTreeMap::new();
    let add = |books: &mut BTreeMap<String, u64>, program: &Program| {
        for (name, value) in figures(program) {
            for end in ["succeeded", "declined", "aborted"] {
                if name.ends_with(&format!(".{end}")) {
                    *books.entry(end.to_owned()).or_default() += value;
                }
            }
        }
    };
    let mut memory = Vec::new();
    for round in 0..ROUNDS {
        let sick = &fleet.servers()[round % 4];
        sick.set_fault(
            [Fault::Errors(2), Fault::Resets(5), Fault::Slow(Duration::from_millis(80)), Fault::Garbles(7)]
                [round % 4],
        );
        // Two hundred that hold the door without a whole call.
        let _holders: Vec<_> =
            (0..200).filter_map(|_| std::net::TcpStream::connect(program.ops.unwrap()).ok()).collect();
        assert_eq!(timed(&program, "PUT", "/api/evacuate"), 200);
        while timed(&program, "GET", "/api/ready") == 503
            && call(&program, "GET", "/api/ready").1 != "empty\n"
        {
            std::thread::sleep(Duration::from_millis(20));
        }
        assert_eq!(timed(&program, "PUT", "/api/rejoin"), 200);
        std::thread::sleep(Duration::from_millis(200));
        let new = shared.start(&fleet);
        assert_eq!(timed(&new, "GET", "/api/ready"), 200);
        program.signal("TERM").unwrap();
        // Its books are whole once nothing is outstanding; the door is open until it ends.
        std::thread::sleep(Duration::from_millis(450));
        while figures(&program)["outstanding"] > 0 {
            std::thread::sleep(Duration::from_millis(2));
        }
        add(&mut books, &program);
        assert!(program.exit().unwrap().success());
        program = new;
        sick.set_fault(Fault::None);
        memory.push(program.memory().unwrap() >> 10);
    }
    stop.store(true, Ordering::Relaxed);
    clients.into_iter().for_each(|c| c.join().unwrap());
    add(&mut books, &program);
    let ends = &ends.lock().unwrap().by_kind;
    eprintln!("clients {ends:?}\nbrokers {books:?}\nmemory KiB {memory:?}");
    eprintln!(
        "door, us: {} calls, p50 {}, p99 {}, max {}",
        door.len(),
        door.value_at_quantile(0.5),
        door.value_at_quantile(0.99),
        door.max()
    );
    assert_eq!(ends.get("lost"), None);
    let violations = fleet.books(|b| b.violations(Rules::default()));
    assert!(violations.is_empty(), "{violations:#?}");
    for (kind, n) in ends {
        assert_eq!(books.get(*kind), Some(n), "{kind}");
    }
}
