//! What the operator's file sets by class and route, on the running program.

use crate::rig::{OPERATOR, Rig, lookup, rig_with, whole};
use plover_load::{Answer, Ask};
use plover_standins::{Deployment, Fault, Plan};
use std::time::{Duration, Instant};

fn with(work: Duration, sections: &str) -> Rig {
    let plan = Plan { work, ..Plan::default() };
    rig_with(plan, Deployment::default(), &format!("{OPERATOR}{sections}"))
}

impl Rig {
    /// Has the program read a file of these sections, and waits for the words that it says of that.
    fn reload(&mut self, sections: &str, words: &str) -> String {
        self.program.replace_operator_file(&format!("{OPERATOR}{sections}")).unwrap();
        self.program.signal("HUP").unwrap();
        self.program.logged(words).unwrap()
    }
}

/// Of two classes under one rate, the one that is routed elsewhere is not held back by it; who is turned away is told when to
/// come back, not all at the same time.
#[test]
fn a_rate_holds_for_those_that_it_is_set_for() {
    let mut rig = with(Duration::ZERO, "class lookup\nrate 1/s 2\nroute free\nmatch-class ranking\n");
    rig.run(async {
        let client = rig.connect().await;
        let mut waits = Vec::new();
        for n in 0..6 {
            match client.ask(&lookup(&format!("l{n}"), &[0])).await {
                Answer::Refused(after) => waits.push(after.unwrap()),
                answer => assert_eq!(answer, whole(&[0])),
            }
            assert_eq!(client.ask(&Ask::new(format!("r{n}"), "ranking", &[0])).await, whole(&[0]));
        }
        // On a machine so slow that a token came back meanwhile, one more is let in.
        assert!(waits.len() >= 2 && waits.iter().all(|w| (0.0..=1.5).contains(w)), "{waits:?}");
        assert!(waits.windows(2).any(|w| w[0] != w[1]), "{waits:?}");
    });
    let line = rig.program.logged("event=limit_reached").unwrap();
    assert!(line.contains("limit=rate") && line.contains("section=\"class lookup\""), "{line}");
    rig.check_books();
}

/// The final answer comes at the time-out, not when the client would give up; and a route's goes before its class's.
#[test]
fn a_time_out_ends_a_query_that_hangs() {
    let sections =
        "class lookup\ntime-out 300ms\nroute patient\nmatch-header x-deadline 3999m\ntime-out 4s\n";
    let rig = with(Duration::from_secs(60), sections);
    rig.run(async {
        let client = rig.connect().await;
        let begun = Instant::now();
        let (short, long) =
            (lookup("short", &[0]), lookup("long", &[0]).patience(Duration::from_millis(3999)));
        let long = client.open(&long.request()).await.unwrap();
        let answer = client.ask(&short).await;
        let took = begun.elapsed();
        assert!(!matches!(answer, Answer::Served(..) | Answer::Reset(_)), "{answer:?}");
        let answer = Answer::of(&long.response().await.unwrap());
        assert!(!matches!(answer, Answer::Served(..)), "{answer:?}");
        assert!(begun.elapsed() > 3 * took, "{took:?} and {:?}", begun.elapsed());
    });
}

/// With one attempt a part, an error is the end of it; the class beside it is tried again as ever.
#[test]
fn attempts_are_as_many_as_are_set() {
    let rig = with(Duration::ZERO, "class lookup\nattempts 1\n");
    rig.fleet.servers().iter().for_each(|s| s.set_fault(Fault::Errors(1)));
    rig.run(async {
        let client = rig.connect().await;
        for n in 0..5 {
            let answer = client.ask(&lookup(&format!("once{n}"), &[0])).await;
            assert!(!matches!(answer, Answer::Served(..)), "{answer:?}");
            client.ask(&Ask::new(format!("more{n}"), "ranking", &[0])).await;
        }
    });
    let tries =
        |id: String| rig.fleet.books(|b| b.attempts().iter().filter(|a| a.id.starts_with(&id)).count());
    let once: Vec<usize> = (0..5).map(|n| tries(format!("once{n}."))).collect();
    let more: Vec<usize> = (0..5).map(|n| tries(format!("more{n}."))).collect();
    assert!(once.iter().all(|n| *n <= 1) && once.contains(&1), "{once:?}");
    assert!(more.iter().any(|n| *n > 1), "{more:?}");
}

/// A limit that sinks under what is out, is taken out of the file and comes back while queries hold it: all that was held
/// comes back, and a query keeps what it began with.
#[test]
fn a_limit_that_changes_under_its_queries_loses_nothing() {
    let mut rig = with(Duration::from_secs(60), "class lookup\nmost-in-hand 2\n");
    let client = rig.run(rig.connect());
    let open = |rig: &Rig, id: &str| rig.run(client.open(&lookup(id, &[0]).request())).unwrap();
    let refused = |rig: &Rig, id: &str| matches!(rig.run(client.ask(&lookup(id, &[1]))), Answer::Refused(Some(after)) if after > 0.0);
    let mut held = vec![open(&rig, "a"), open(&rig, "b")];
    rig.run(rig.attempts(2));
    assert!(refused(&rig, "c"));
    let words = "event=operator_file changed=sections";
    rig.reload("class lookup\nmost-in-hand 1\n", words);
    assert!(refused(&rig, "d"));
    // The lines of an event are a second apart.
    std::thread::sleep(Duration::from_millis(1100));
    rig.reload("", words);
    held.push(open(&rig, "e"));
    rig.run(async {
        while !rig.fleet.books(|b| b.attempts().iter().any(|a| a.id.starts_with("e."))) {
            async_io::Timer::after(Duration::from_millis(1)).await;
        }
    });
    std::thread::sleep(Duration::from_millis(1100));
    rig.reload("class lookup\nmost-in-hand 1\n", words);
    assert!(refused(&rig, "f"), "those that were let in before count still");
    held.clear();
    rig.fleet.servers().iter().for_each(|s| s.set_work(Duration::ZERO));
    rig.run(async {
        // Their resets are heard in the next turn.
        let mut n = 0;
        while client.ask(&lookup(&format!("g{n}"), &[1])).await != whole(&[1]) {
            n += 1;
            async_io::Timer::after(Duration::from_millis(10)).await;
        }
    });
}

/// A file that breaks a rule is refused while the program runs, with the rule's name and the line, and what held before
/// holds on.
#[test]
fn a_faulty_file_leaves_the_running_settings_as_they_are() {
    let sections = "class lookup\nmost-in-hand 0\n";
    let mut rig = with(Duration::ZERO, sections);
    for (n, (faulty, words)) in [
        ("class lookup\nattempts 5\n", "rule: most attempts at a part"),
        ("class ranking\nattempt-time-out 5s\n", "rule: an attempt ends within its query"),
        ("class lookup\ntime-out 10s\n", "rule: no time-out beyond the client's"),
        ("class lookup\nmost-in-hand 1\nlog-level\n", "log-level stands in a section"),
    ]
    .into_iter()
    .enumerate()
    {
        std::thread::sleep(Duration::from_millis(1100));
        let line = rig.reload(faulty, "event=reload_failed");
        assert!(line.contains(words) && line.contains("ploverport.conf:"), "{line}");
        let answer = rig.run(async { rig.connect().await.ask(&lookup(&format!("q{n}"), &[0])).await });
        assert!(matches!(answer, Answer::Refused(_)), "{faulty}: {answer:?}");
    }
    rig.reload("", "event=reloaded");
    let after = rig.run(async { rig.connect().await.ask(&lookup("after", &[0])).await });
    assert_eq!(after, whole(&[0]));
}
