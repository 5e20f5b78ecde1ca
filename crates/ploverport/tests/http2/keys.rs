//! Idempotency keys of clients that give up and ask again.

use crate::rig::{rig, whole};
use plover_load::{Answer, Ask};
use plover_standins::Fault;
use std::time::Duration;

fn save(id: &str, key: &str) -> Ask {
    Ask::new(id, "watchlist-save", &[0]).under(key)
}

/// The part was sent when the client gave up. Its own repeat is put off while that attempt may run, and served after.
#[test]
fn a_repeat_waits_while_the_first_attempt_may_run() {
    let rig = rig(Duration::ZERO);
    rig.fleet.servers().iter().for_each(|s| s.set_fault(Fault::Hang));
    rig.run(async {
        let http2 = rig.connect().await;
        let first =
            http2.open(&save("a", "k1").patience(Duration::from_millis(1500)).request()).await.unwrap();
        rig.attempts(1).await;
        first.reset();
        let Answer::Refused(Some(after)) = http2.ask(&save("b", "k1")).await else {
            panic!("it was not put off")
        };
        assert!(after > 0.0 && after <= 1.5, "{after}");
        rig.fleet.servers().iter().for_each(|s| s.set_fault(Fault::None));
        // Another key is none of its business.
        assert_eq!(http2.ask(&save("c", "k2")).await, whole(&[0]));
        let mut n = 0;
        loop {
            n += 1;
            match http2.ask(&save(&format!("d{n}"), "k1")).await {
                Answer::Refused(Some(after)) => {
                    async_io::Timer::after(Duration::from_secs_f64(after)).await;
                }
                answer => break assert_eq!(answer, whole(&[0])),
            }
        }
    });
    rig.check_books();
}

/// Nothing sends the part again once data servers no longer drop its repeat.
#[test]
fn a_repeat_beyond_the_window_has_failed() {
    let rig = rig(Duration::ZERO);
    rig.fleet.servers().iter().for_each(|s| s.set_fault(Fault::Hang));
    rig.run(async {
        let http2 = rig.connect().await;
        let first =
            http2.open(&save("a", "k1").patience(Duration::from_millis(800)).request()).await.unwrap();
        rig.attempts(1).await;
        first.reset();
        let sent = rig.fleet.books(|b| b.attempts().len());
        rig.fleet.servers().iter().for_each(|s| s.set_fault(Fault::None));
        async_io::Timer::after(Duration::from_millis(5100)).await;
        assert_eq!(http2.ask(&save("b", "k1")).await, Answer::Failed(502));
        assert_eq!(rig.fleet.books(|b| b.attempts().len()), sent);
    });
    rig.check_books();
}
