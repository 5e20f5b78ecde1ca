//! Watches in simulated time: the real decisions without sockets, for stretches that nobody waits for.

use super::Spread;
use plover_model::time::{MILLI, Micros, SECOND};
use plover_watch::{Heard, Order, Times, Watch};
use std::time::Duration;

/// What an answer needs, there and back.
const ANSWERS_IN: Micros = MILLI;

/// What came of a cut.
#[derive(Clone, Debug)]
pub struct Cut {
    /// Attempts of all watches while discovery was silent.
    pub attempts: u64,
    /// Calls of all in the same time before it.
    pub calls_before: u64,
    /// From the end of the cut until each has its news.
    pub healed: Spread,
}

/// So many watches of a discovery that holds calls as it should, falls silent for so long with news at its end, and heals.
pub fn cut(watches: u32, seconds: u64, seed: u64) -> Cut {
    let (silent, heals) = (60 * SECOND, (60 + seconds) * SECOND);
    let (mut attempts, mut calls_before, mut times) = (0, 0, Vec::new());
    for number in 0..u64::from(watches) {
        let own = seed ^ number.wrapping_mul(0x9e37_79b9_7f4a_7c15);
        // Not all are in step.
        let mut now = own % (4 * SECOND);
        let mut watch = Watch::new(now, Times::default(), Some(1), own);
        loop {
            now = now.max(watch.due());
            let (id, call) = match watch.turn(now) {
                None | Some(Order::Overdue(_) | Order::Close(_)) => continue,
                Some(Order::Connect(id)) => match watch.connected(id, now) {
                    Some(call) => (id, call),
                    None => continue,
                },
                Some(Order::Call(id, call)) => (id, call),
            };
            if now >= silent && now < heals {
                attempts += 1;
            } else if now < silent && now + seconds * SECOND >= silent {
                calls_before += 1;
            }
            // A call that is out as it heals was made to a connection that is gone.
            if now >= heals {
                now += ANSWERS_IN;
                watch.answered(id, now, Heard { rev: 2, tells: true, closes: false });
                times.push(Duration::from_micros(now - heals));
                break;
            }
            let answered = now + call.wait.max(ANSWERS_IN);
            if answered < silent {
                now = answered;
                watch.answered(id, now, Heard { rev: 1, tells: false, closes: false });
            }
        }
    }
    Cut { attempts, calls_before, healed: Spread::of(times) }
}
