//! Scripts drawn from a seed.

use crate::script::{Act, Fault, Link, Script, Sight, State, Step, Trouble, Way, What};
use plover_model::time::{MILLI, Micros};
use rand::rngs::ChaCha8Rng;
use rand::{RngExt, SeedableRng};

/// What a script is drawn for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Shape {
    /// Brokers, one at least.
    pub brokers: usize,
    /// Data servers, one at least.
    pub servers: usize,
    /// How long the load lasts. All faults begin in its first half, and all that end by themselves are over with it.
    pub long: Micros,
    /// Most troubles. Each is one step, or two that belong together, such as a kill and a start.
    pub most: usize,
}

impl Script {
    /// The script of a seed: the same on every machine.
    pub fn draw(seed: u64, shape: Shape) -> Script {
        let mut random = ChaCha8Rng::seed_from_u64(seed);
        let mut steps = Vec::new();
        for _ in 0..random.random_range(1..=shape.most.max(1)) {
            trouble(&mut random, shape, &mut steps);
        }
        Script::new(steps)
    }
}

/// A time of whole milliseconds.
pub(crate) fn time(random: &mut ChaCha8Rng, from: Micros, to: Micros) -> Micros {
    let (from, to) = (from / MILLI, (to / MILLI).max(from / MILLI + 1));
    random.random_range(from..to) * MILLI
}

pub(crate) fn trouble(random: &mut ChaCha8Rng, shape: Shape, steps: &mut Vec<Step>) {
    let half = shape.long / 2;
    let at = time(random, 100 * MILLI, half);
    let span = time(random, 100 * MILLI, half - half / 8);
    let broker = random.random_range(0..shape.brokers.max(1));
    let server = random.random_range(0..shape.servers.max(1));
    let mut add = |at, what| steps.push(Step { at, what });
    match random.random_range(0..10) {
        0..4 => {
            let link = match random.random_range(0..3) {
                0 => Link::clients(broker),
                1 => Link::server(broker, server),
                _ => Link::discovery(broker),
            };
            add(at, What::Link(link, fault(random, span)));
        }
        4 => {
            // Some of the brokers at once.
            for other in 0..shape.brokers {
                if other != broker && !random.random_bool(0.4) {
                    continue;
                }
                let state = state(random, shape.brokers, other);
                add(at, What::Broker(other, Act::Kill));
                add(at + span, What::Broker(other, Act::Start(state)));
            }
        }
        5 => {
            add(at, What::Broker(broker, Act::Stop));
            add(at + span.min(2000 * MILLI), What::Broker(broker, Act::Continue));
        }
        6 => add(at, What::Broker(broker, Act::Restart(state(random, shape.brokers, broker)))),
        7 => {
            add(at, What::Server(server, Trouble::Kill));
            add(at + span, What::Server(server, Trouble::Revive));
        }
        8 => {
            let trouble = match random.random_range(0..4) {
                0 => Trouble::Drain,
                1 => Trouble::Hang(span),
                2 => Trouble::Errors(span),
                _ => Trouble::Full(span),
            };
            add(at, What::Server(server, trouble));
        }
        _ => {
            let sight = if random.random() { Sight::Silent(span) } else { Sight::Old(span) };
            add(at, What::Discovery(sight));
        }
    }
}

fn fault(random: &mut ChaCha8Rng, span: Micros) -> Fault {
    let way = match random.random_range(0..3) {
        0 => Way::Forward,
        1 => Way::Back,
        _ => Way::Both,
    };
    match random.random_range(0..7) {
        0 => Fault::Swallow(way, span),
        1 => Fault::Stall(way, span),
        2 => Fault::Delay(way, time(random, MILLI, 200 * MILLI), span),
        3 => Fault::Cut(span),
        4 => Fault::Refuse(span),
        5 => Fault::HalfOpen,
        _ => Fault::Reset,
    }
}

fn state(random: &mut ChaCha8Rng, brokers: usize, broker: usize) -> State {
    match random.random_range(0..3) {
        0 => State::Empty,
        1 if brokers > 1 => State::From((broker + random.random_range(1..brokers)) % brokers),
        _ => State::Keep,
    }
}
