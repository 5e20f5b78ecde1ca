//! Scripts of restarts drawn from a seed: one broker after another, signals in series, crowds, and other troubles beside them.

use crate::draw::{Shape, time, trouble};
use crate::script::{Act, Reload, Script, State, Step, What};
use plover_model::time::{MILLI, Micros};
use rand::rngs::ChaCha8Rng;
use rand::{RngExt, SeedableRng};

/// Between the restarts of two brokers.
const APART: (Micros, Micros) = (300 * MILLI, 900 * MILLI);
/// A broker that is killed starts again after this time.
const AWAY: Micros = 300 * MILLI;
/// Shares of the brokers that are killed without a word, that get signals in series before, and that get some as they end.
const KILLED: f64 = 0.1;
const SIGNALLED: f64 = 0.5;
const SIGNALLED_AT_END: f64 = 0.5;
/// Shares of the scripts in which most brokers are killed at once, and in which one has a crowd.
const MASS_KILLS: f64 = 0.2;
const CROWDS: f64 = 0.3;
/// How long a broker is held up at a time.
const HELD_UP: Micros = 150 * MILLI;
/// Clients of a crowd.
const CROWD: (usize, usize) = (150, 400);

impl Script {
    /// The script of restarts of a seed: the same on every machine.
    pub fn draw_restarts(seed: u64, shape: Shape) -> Script {
        let mut random = ChaCha8Rng::seed_from_u64(seed);
        let mut steps = Vec::new();
        let mut at = time(&mut random, 300 * MILLI, 800 * MILLI);
        for broker in 0..shape.brokers {
            restart(&mut random, at, broker, &mut steps);
            at += time(&mut random, APART.0, APART.1);
        }
        if random.random_bool(MASS_KILLS) {
            let at = time(&mut random, shape.long / 4, shape.long / 2);
            for broker in (0..shape.brokers).filter(|_| random.random_bool(0.7)) {
                kill(at, broker, &mut steps);
            }
        }
        if random.random_bool(CROWDS) {
            let clients = random.random_range(CROWD.0..CROWD.1);
            let at = time(&mut random, 100 * MILLI, shape.long / 4);
            let broker = random.random_range(0..shape.brokers);
            steps.push(Step { at, what: What::Broker(broker, Act::Crowd(clients)) });
        }
        for _ in 0..random.random_range(0..=shape.most) {
            trouble(&mut random, shape, &mut steps);
        }
        Script::new(steps)
    }
}

fn kill(at: Micros, broker: usize, steps: &mut Vec<Step>) {
    steps.push(Step { at, what: What::Broker(broker, Act::Kill) });
    steps.push(Step { at: at + AWAY, what: What::Broker(broker, Act::Start(State::Keep)) });
}

/// One broker's restart, and the signals before and in it.
fn restart(random: &mut ChaCha8Rng, at: Micros, broker: usize, steps: &mut Vec<Step>) {
    if random.random_bool(KILLED) {
        return kill(at, broker, steps);
    }
    if random.random_bool(SIGNALLED) {
        let before = time(random, 0, 250 * MILLI);
        reloads(random, at.saturating_sub(before), broker, steps);
    }
    let mut add = |at, act| steps.push(Step { at, what: What::Broker(broker, act) });
    add(at, Act::Restart(State::Keep));
    if random.random_bool(SIGNALLED_AT_END) {
        add(at + time(random, MILLI, 1000 * MILLI), Act::Terminate);
        let held = at + time(random, MILLI, 2000 * MILLI);
        add(held, Act::Stop);
        add(held + HELD_UP, Act::Continue);
        let again = at + time(random, MILLI, 500 * MILLI);
        reloads(random, again, broker, steps);
    }
}

/// Some SIGHUPs within milliseconds.
fn reloads(random: &mut ChaCha8Rng, from: Micros, broker: usize, steps: &mut Vec<Step>) {
    let mut at = from;
    for _ in 0..random.random_range(2..=4) {
        let reload = if random.random_bool(0.25) { Reload::Faulty } else { Reload::Other };
        steps.push(Step { at, what: What::Broker(broker, Act::Reload(reload)) });
        at += time(random, MILLI, 10 * MILLI);
    }
}
