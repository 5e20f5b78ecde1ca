//! All orders of events, within bounds, of two holders, a register and a receiver: the real ones, over a log that is one atomic
//! step. Messages are lost, copied and overtaken; clocks run at either end of the bound; holders and keepers restart.

use plover_duties::holder::Times;
use plover_duties::receiver::{Fit, Unfit};
use plover_duties::register::Change;
use plover_duties::values::{BrokerName, Drift, DutyName, KeeperId, Lease, Process, Term, Token};
use plover_duties::wire::Answer;
use plover_duties::{Command, Fence, Holder, Receiver, Register};
use stateright::{Checker, Model, Property};
use std::collections::BTreeSet;
use std::hash::{Hash, Hasher};

/// What is not delivered within a tick is lost, but for a copy that is kept back: it may come at any later time.
/// A tick of true time is four units; clocks count three to five.
const SPAN: u64 = 20;
const NET: usize = 4;

#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
enum Msg {
    Command(Command),
    Answer(Answer),
    Order(Fence),
    Unfit(Process, Unfit),
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
enum Act {
    Tick,
    Deliver(Msg),
    KeepBack(Msg),
    DeliverKept(Msg),
    Crash(usize),
    Leave(usize),
    Take,
    KeeperRestarts,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct State {
    ticks: u64,
    rates: [u64; 3],
    register: Register,
    watch: Option<(Token, u64, u64)>,
    holders: [Holder; 2],
    disk: Vec<u8>,
    net: BTreeSet<Msg>,
    kept: BTreeSet<Msg>,
    faults: u8,
    starts: u64,
    taken: Option<(Token, Process)>,
    granted: Token,
    breach: Option<&'static str>,
}

struct Duties {
    ticks: u64,
    /// Copies kept back, crashes, leaves, takes and restarts of the keeper.
    faults: u8,
    /// Of the holders and the keeper.
    rates: Vec<[u64; 3]>,
    times: Times,
}

fn duty() -> DutyName {
    DutyName::reshard()
}

fn lease() -> Lease {
    Lease::new(SPAN, Drift::ppm(250_000))
}

fn holder(i: usize, start: u64, times: Times) -> Holder {
    let broker = BrokerName::new(["a", "b"][i]).expect("fits");
    let mut holder = Holder::new(duty(), Process { broker, start }, times);
    holder.want();
    holder
}

impl State {
    fn clock(&self, who: usize) -> u64 {
        self.ticks * self.rates[who]
    }

    fn apply(&mut self, command: &Command) {
        let result = self.register.apply(Term(1), command);
        if let Ok(Change::Granted(grant)) = &result
            && grant.token != self.granted
        {
            if grant.token.0 != self.granted.0 + 1 {
                self.breach = Some("a token does not follow the last");
            }
            self.granted = grant.token;
        }
        let now = self.clock(2);
        let lease = self.register.leases().next().map(|(_, token, renewals)| (token, renewals));
        if lease != self.watch.map(|(token, renewals, _)| (token, renewals)) {
            self.watch = lease.map(|(token, renewals)| (token, renewals, now));
        }
        self.net.extend(Answer::applied(command, &result).into_iter().map(Msg::Answer));
    }

    fn deliver(&mut self, msg: &Msg) {
        match msg {
            Msg::Command(command) => self.apply(command),
            Msg::Answer(answer) => {
                for i in 0..2 {
                    let now = self.clock(i);
                    let back = self.holders[i].hear(now, answer);
                    self.net.extend(back.map(Msg::Command));
                }
            }
            Msg::Order(fence) => {
                // It starts again before each order.
                let mut receiver = match self.disk.is_empty() {
                    true => Receiver::default(),
                    false => Receiver::decode(&self.disk).expect("reads"),
                };
                match receiver.judge(fence) {
                    Ok(fit) => {
                        if let Fit::New(raise) = fit {
                            self.disk = raise.record();
                            raise.durable();
                        }
                        match &self.taken {
                            Some((last, _)) if *last > fence.token => self.breach = Some("a lower token"),
                            Some((last, who)) if *last == fence.token && *who != fence.holder => {
                                self.breach = Some("two holders under a token");
                            }
                            _ => self.taken = Some((fence.token, fence.holder.clone())),
                        }
                    }
                    Err(unfit) => {
                        self.net.insert(Msg::Unfit(fence.holder.clone(), unfit));
                    }
                }
            }
            Msg::Unfit(to, unfit) => {
                for i in 0..2 {
                    let now = self.clock(i);
                    if self.holders[i].process() == to {
                        self.holders[i].fenced(now, *unfit);
                    }
                }
            }
        }
    }

    fn tick(&mut self) {
        self.ticks += 1;
        self.net.clear();
        for i in 0..2 {
            let now = self.clock(i);
            let commands = self.holders[i].turn(now);
            self.net.extend(commands.into_iter().map(Msg::Command));
            self.net.extend(self.holders[i].order(now).map(Msg::Order));
        }
        if let Some((token, renewals, since)) = self.watch
            && self.clock(2) >= since + SPAN
        {
            self.net.insert(Msg::Command(Command::Lapse { duty: duty(), token, renewals }));
        }
    }

    fn holding(&self) -> usize {
        (0..2).filter(|i| self.holders[*i].order(self.clock(*i)).is_some()).count()
    }

    /// Whether somebody holds soon, once nothing is lost any more.
    fn heals(&self) -> bool {
        let mut state = self.clone();
        state.net.clear();
        state.holders.iter_mut().for_each(Holder::want);
        for _ in 0..24 {
            state.tick();
            for _ in 0..32 {
                let Some(msg) = state.net.pop_first() else { break };
                state.deliver(&msg);
            }
            if state.holding() == 1 {
                return true;
            }
        }
        false
    }
}

impl Model for Duties {
    type State = State;
    type Action = Act;

    fn init_states(&self) -> Vec<State> {
        let start = |rates: &[u64; 3]| State {
            ticks: 0,
            rates: *rates,
            register: Register::new(&[duty()], &[KeeperId(1)], Token(0), lease()),
            watch: None,
            holders: [holder(0, 1, self.times), holder(1, 2, self.times)],
            disk: Vec::new(),
            net: BTreeSet::new(),
            kept: BTreeSet::new(),
            faults: 0,
            starts: 2,
            taken: None,
            granted: Token(0),
            breach: None,
        };
        self.rates.iter().map(start).collect()
    }

    fn actions(&self, state: &State, actions: &mut Vec<Act>) {
        actions.push(Act::Tick);
        actions.extend(state.net.iter().cloned().map(Act::Deliver));
        actions.extend(state.kept.iter().cloned().map(Act::DeliverKept));
        if state.faults < self.faults {
            actions.extend(state.net.iter().cloned().map(Act::KeepBack));
            actions.extend([Act::Crash(0), Act::Crash(1), Act::Leave(0), Act::Leave(1)]);
            actions.extend([Act::Take, Act::KeeperRestarts]);
        }
    }

    fn next_state(&self, last: &State, action: Act) -> Option<State> {
        let mut state = last.clone();
        match action {
            Act::Tick => state.tick(),
            Act::Deliver(msg) => {
                state.net.remove(&msg);
                state.deliver(&msg);
            }
            Act::KeepBack(msg) => {
                state.kept.insert(msg);
                state.faults += 1;
            }
            Act::DeliverKept(msg) => {
                state.kept.remove(&msg);
                state.deliver(&msg);
            }
            Act::Crash(i) => {
                state.starts += 1;
                state.holders[i] = holder(i, state.starts, self.times);
                state.faults += 1;
            }
            Act::Leave(i) => {
                let now = state.clock(i);
                state.holders[i].leave(now);
                state.faults += 1;
            }
            Act::Take => {
                state.apply(&Command::Take { duty: duty(), token: last.granted });
                state.faults += 1;
            }
            Act::KeeperRestarts => {
                let now = state.clock(2);
                state.watch.as_mut()?.2 = now;
                state.faults += 1;
            }
        }
        (state != *last).then_some(state)
    }

    fn within_boundary(&self, state: &State) -> bool {
        state.ticks <= self.ticks && state.net.len() <= NET
    }

    fn properties(&self) -> Vec<Property<Self>> {
        vec![
            Property::always("one holds at most", |_, s: &State| s.holding() <= 1),
            Property::always("tokens grow, and receivers see them grow", |_, s: &State| s.breach.is_none()),
            Property::always("it can be held again", |_, s: &State| {
                // A sample: each costs a run.
                let mut hash = std::hash::DefaultHasher::new();
                s.hash(&mut hash);
                !hash.finish().is_multiple_of(512) || s.heals()
            }),
            Property::sometimes("handed on twice", |_, s: &State| s.granted.0 >= 3 && s.holding() == 1),
            Property::sometimes("a receiver refuses", |_, s: &State| {
                s.net.iter().any(|m| matches!(m, Msg::Unfit(..)))
            }),
        ]
    }
}

#[test]
fn no_order_of_events_makes_two_hold() {
    let times = Times { ask_every: 8, renew_every: 8, stop_for: 0, give_for: 12, rest: 0 };
    // A slow holder beside a fast keeper is the worst pair.
    let run = |ticks, faults, rates| {
        let duties = Duties { ticks, faults, rates, times };
        let checker = duties.checker().threads(4).spawn_bfs().join();
        println!("{ticks} ticks, {faults} faults: {} unique states", checker.unique_state_count());
        checker.assert_no_discovery("one holds at most");
        checker.assert_no_discovery("tokens grow, and receivers see them grow");
        checker.assert_no_discovery("it can be held again");
        checker
    };
    run(9, 0, vec![[3, 5, 5], [5, 3, 5], [3, 3, 5], [5, 3, 3], [3, 5, 3], [5, 5, 3]]);
    run(8, 1, vec![[3, 5, 5]]).assert_properties();
}
