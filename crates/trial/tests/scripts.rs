//! Scripts as text, drawn from a seed, and made shorter.

use plover_model::time::SECOND;
use plover_trial::script::{Act, What};
use plover_trial::{Script, Shape, Spoilt, shrink};
use proptest::prelude::*;

const SHAPE: Shape = Shape { brokers: 5, servers: 4, long: 4 * SECOND, most: 6 };

proptest! {
    #[test]
    fn what_is_drawn_is_read_back_and_the_same_each_time(seed: u64) {
        let script = Script::draw(seed, SHAPE);
        prop_assert_eq!(script.to_string().parse::<Script>().unwrap(), script.clone());
        prop_assert_eq!(&script, &Script::draw(seed, SHAPE));
        prop_assert!(script.steps().is_sorted_by_key(|s| s.at) && script.steps().iter().all(|s| s.at < SHAPE.long));
        // Whoever is killed or stopped comes back.
        for (n, step) in script.steps().iter().enumerate() {
            let later = |wanted: fn(Act) -> bool, broker| script.steps()[n..].iter()
                .any(|s| matches!(s.what, What::Broker(b, act) if b == broker && wanted(act)));
            match step.what {
                What::Broker(b, Act::Kill) => prop_assert!(later(|a| matches!(a, Act::Start(_)), b)),
                What::Broker(b, Act::Stop) => prop_assert!(later(|a| a == Act::Continue, b)),
                _ => {}
            }
        }
    }

    #[test]
    fn restarts_that_are_drawn_are_read_back_and_the_same_each_time(seed: u64) {
        let script = Script::draw_restarts(seed, SHAPE);
        prop_assert_eq!(script.to_string().parse::<Script>().unwrap(), script.clone());
        prop_assert_eq!(&script, &Script::draw_restarts(seed, SHAPE));
    }

    /// Whatever the line: a step or a clear word, never a panic.
    #[test]
    fn any_text_is_read_or_refused(text in "([0-9]{1,21}|b|s|>|ms|us| |clients|discovery|kill|stall|both|\n|#){0,24}") {
        if let Ok(script) = text.parse::<Script>() {
            prop_assert_eq!(script.to_string().parse::<Script>().unwrap(), script);
        }
    }
}

#[test]
fn a_line_that_is_no_step_is_named() {
    let good = "100ms b0>s1 delay both 1500us 2ms # slow\n\n5ms b1 start from b2\n";
    let script: Script = good.parse().unwrap();
    assert_eq!(script.to_string(), "5ms b1 start from b2\n100ms b0>s1 delay both 1500us 2ms\n");
    for spoilt in Spoilt::ALL.map(|s| s.name().to_owned()).into_iter().chain(["late 5ms".to_owned()]) {
        let step = format!("5ms b0>s1 spoil {spoilt}\n7ms b0>s1 hold 3ms\n");
        assert_eq!(step.parse::<Script>().unwrap().to_string(), step);
    }
    for bad in [
        "5s b0 kill",
        "5ms b0",
        "5ms x0 kill",
        "5ms s0 stop",
        "5ms s0>b0 reset",
        "5ms b0>b0 reset",
        "5ms b0>s0 stall 5ms",
        "5ms b0>s0 spoil late",
        "5ms b0>s0 spoil it",
        "5ms b0 start",
        "5ms b0 start from s0",
        "18446744073709551615ms b0 kill",
    ] {
        let fault = format!("{good}{bad}").parse::<Script>().unwrap_err();
        assert_eq!(fault.line, 4, "{bad}: {fault}");
    }
}

#[test]
fn shrinking_drops_what_is_not_needed_and_stops_in_time() {
    let text: String = (0..9).map(|n| format!("{n}ms b{n} kill\n")).collect();
    let script: Script = text.parse().unwrap();
    let has = |script: &Script, n: usize| script.steps().iter().any(|s| s.what == What::Broker(n, Act::Kill));
    let mut asked = 0;
    let short = shrink(&script, 100, |s| {
        asked += 1;
        has(s, 2) && has(s, 7)
    });
    assert_eq!(short.to_string(), "2ms b2 kill\n7ms b7 kill\n");
    assert!(asked < 100);
    let mut asked = 0;
    let tired = shrink(&script, 4, |_| {
        asked += 1;
        true
    });
    assert_eq!((asked, tired.steps().len()), (4, 5));
}
