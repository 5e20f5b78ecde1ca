//! A fleet in memory: real keepers, holders and receivers, a network and clocks that a seed drives, and a checker.
#![allow(dead_code, missing_docs)]

use plover_duties::holder::{Phase, Times};
use plover_duties::keeper::{Applied, Founding, Keeper, Settings, Standing};
use plover_duties::register::{Change, Command, Outcome, Refusal};
use plover_duties::values::{BrokerName, Drift, DutyName, KeeperId, Lease, Process, Token, WorkId};
use plover_duties::wire::Said;
use plover_duties::{Fence, Holder, MemoryStore, Receiver, Word};
use plover_model::time::{MILLI, Micros, SECOND};
use std::collections::{BTreeMap, BTreeSet};
use std::hash::{Hash, Hasher};

pub const LEASE: Micros = 4 * SECOND;
pub const DRIFT: u32 = 1000;

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum At {
    Keeper(u64),
    Broker(usize),
    Receiver(usize),
}

/// What travels: a word's bytes; an order and its refusal stay typed, their form belongs to whom they are sent.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub enum Parcel {
    Word(Vec<u8>),
    Order(Fence),
    Unfit(plover_duties::receiver::Unfit),
}

/// How a parcel goes: when (from now), and as what; several are copies.
pub type Route = Vec<(Micros, Parcel)>;
type Meddle = Box<dyn FnMut(&Sent, &mut Route)>;

/// What is sent, before it goes.
pub struct Sent {
    /// Counted from the run's start.
    pub number: u64,
    pub from: At,
    pub to: At,
    pub now: Micros,
}

pub struct Rng(pub u64);

impl Rng {
    pub fn next(&mut self) -> u64 {
        self.0 = self.0.wrapping_add(0x9E37_79B9_7F4A_7C15);
        let z = (self.0 ^ (self.0 >> 30)).wrapping_mul(0xBF58_476D_1CE4_E5B9);
        let z = (z ^ (z >> 27)).wrapping_mul(0x94D0_49BB_1331_11EB);
        z ^ (z >> 31)
    }
    pub fn below(&mut self, n: u64) -> u64 {
        self.next() % n.max(1)
    }
    pub fn percent(&mut self, p: u64) -> bool {
        self.below(100) < p
    }
}

/// A clock with an origin of its own that runs off by at most the bound.
#[derive(Clone, Copy)]
struct Clock {
    origin: Micros,
    ppm: i64,
}

impl Clock {
    fn draw(rng: &mut Rng) -> Self {
        let ppm = rng.below(u64::from(DRIFT) * 2 + 1) as i64 - i64::from(DRIFT);
        Clock { origin: rng.below(1 << 40), ppm }
    }
    fn read(&self, now: Micros) -> Micros {
        self.origin + (now as i64 * (1_000_000 + self.ppm) / 1_000_000) as Micros
    }
}

struct Node {
    store: MemoryStore,
    keeper: Option<Keeper>,
    clock: Clock,
}

pub struct Broker {
    pub holder: Holder,
    pub up: bool,
    /// It does nothing until then, then hears all that came meanwhile.
    pub stalled: Micros,
    clock: Clock,
    target: u64,
    unheard: u32,
    order_at: Micros,
}

/// What no run may show; breaches are kept as text.
#[derive(Default)]
pub struct Checker {
    pub broken: Vec<String>,
    log: BTreeMap<u64, Applied>,
    led: BTreeMap<u64, u64>,
    last: Token,
    begun: BTreeSet<WorkId>,
    owner: BTreeMap<(usize, Token), Process>,
    accepted: BTreeMap<usize, Token>,
    /// Grants and takings over at receivers, in order: what a run shows.
    pub seen: Vec<(Token, Option<usize>)>,
    /// When each grant was first applied.
    pub grants: Vec<Micros>,
    pub now: Micros,
}

impl Checker {
    fn breach(&mut self, what: String) {
        if self.broken.len() < 8 {
            self.broken.push(what);
        }
    }

    fn applied(&mut self, a: Applied) {
        if let Some(known) = self.log.get(&a.index) {
            if *known != a {
                self.breach(format!("entry {} differs: {known:?} / {a:?}", a.index));
            }
            return;
        }
        match (&a.command, &a.result) {
            (_, Ok(Change::Granted(g))) if g.token != self.last => {
                if g.token.0 != self.last.0 + 1 {
                    self.breach(format!("token {:?} after {:?}", g.token, self.last));
                }
                if !g.open.iter().map(|w| w.work).eq(self.begun.iter().copied()) {
                    self.breach(format!("{:?} inherits {:?}, open are {:?}", g.token, g.open, self.begun));
                }
                self.last = g.token;
                self.seen.push((g.token, None));
                self.grants.push(self.now);
            }
            (_, Ok(Change::Begun(work))) => {
                self.begun.insert(*work);
            }
            (_, Ok(Change::Ended(work))) => {
                self.begun.remove(work);
            }
            _ => {}
        }
        self.log.insert(a.index, a);
    }

    fn accepted(&mut self, receiver: usize, fence: &Fence) {
        let last = self.accepted.insert(receiver, fence.token).unwrap_or_default();
        if fence.token < last {
            self.breach(format!("receiver {receiver} took {:?} after {last:?}", fence.token));
        }
        if fence.token > last {
            self.seen.push((fence.token, Some(receiver)));
        }
        let owner = self.owner.entry((receiver, fence.token)).or_insert_with(|| fence.holder.clone()).clone();
        if owner != fence.holder {
            self.breach(format!(
                "receiver {receiver}: {:?} of {owner:?} and {:?}",
                fence.token, fence.holder
            ));
        }
    }
}

pub struct World {
    pub now: Micros,
    pub rng: Rng,
    pub checker: Checker,
    pub brokers: Vec<Broker>,
    /// Percent of parcels lost, copied, and held up for long.
    pub faults: (u64, u64, u64),
    /// Cut off from all others.
    pub cut: BTreeSet<At>,
    pub meddle: Option<Meddle>,
    /// Time without a holder since it was last set to 0.
    pub gap: Micros,
    pub step: Micros,
    /// The latest grant applied anywhere.
    pub granted: Token,
    /// A keeper that is to come in, and whom it replaces.
    pub joining: Option<(u64, u64)>,
    group: u64,
    nodes: BTreeMap<u64, Node>,
    receivers: Vec<(Receiver, Vec<u8>)>,
    net: BTreeMap<(Micros, u64), (At, At, Parcel)>,
    parcels: u64,
    links: BTreeMap<(At, At), u64>,
    placed: u64,
    starts: u64,
}

pub fn duty() -> DutyName {
    DutyName::reshard()
}

pub fn lease() -> Lease {
    Lease::new(LEASE, Drift::ppm(DRIFT))
}

impl World {
    pub fn new(seed: u64, keepers: u64, brokers: usize) -> Self {
        let ids: Vec<KeeperId> = (1..=keepers).map(KeeperId).collect();
        let founding = Founding {
            group: seed,
            keepers: ids.clone(),
            duties: vec![duty(), DutyName::publish()],
            lease: lease(),
            tokens_after: Token(0),
        };
        let mut rng = Rng(seed);
        let mut nodes = BTreeMap::new();
        for id in &ids {
            let mut store = MemoryStore::default();
            Keeper::found(&mut store, *id, &founding).expect("founds");
            nodes.insert(id.0, Node { store, keeper: None, clock: Clock::draw(&mut rng) });
        }
        let mut world = World {
            now: 0,
            rng,
            checker: Checker::default(),
            brokers: Vec::new(),
            faults: (0, 0, 0),
            cut: BTreeSet::new(),
            meddle: None,
            gap: 0,
            step: 20 * MILLI,
            granted: Token(0),
            joining: None,
            group: seed,
            nodes,
            receivers: vec![Default::default(); 2],
            net: BTreeMap::new(),
            parcels: 0,
            links: BTreeMap::new(),
            placed: 0,
            starts: 0,
        };
        ids.iter().for_each(|id| world.restart_keeper(id.0));
        for i in 0..brokers {
            let clock = Clock::draw(&mut world.rng);
            let holder = world.holder(i);
            let target = 1 + i as u64 % keepers;
            let (unheard, order_at) = (0, 0);
            world.brokers.push(Broker { holder, up: true, stalled: 0, clock, target, unheard, order_at });
        }
        world
    }

    fn holder(&mut self, broker: usize) -> Holder {
        self.starts += 1;
        let start = self.group.wrapping_mul(1000) + self.starts;
        let process = Process { broker: BrokerName::new(format!("b{broker}")).expect("fits"), start };
        Holder::new(duty(), process, Times::of(lease()))
    }

    pub fn restart_keeper(&mut self, id: u64) {
        let seed = self.rng.next();
        let node = self.nodes.get_mut(&id).expect("a keeper");
        node.store.broken = false;
        let settings = Settings { tick_every: LEASE / 20, keep: 40, seed };
        node.keeper = Some(Keeper::open(&mut node.store, settings).expect("opens"));
    }

    pub fn stop_keeper(&mut self, id: u64) {
        self.nodes.get_mut(&id).expect("a keeper").keeper = None;
    }

    /// Its next write fails.
    pub fn break_disk(&mut self, id: u64) {
        self.nodes.get_mut(&id).expect("a keeper").store.broken = true;
    }

    /// Its disk is gone: it comes in again under a new identity.
    pub fn lose_disk(&mut self, id: u64) {
        let node = self.nodes.remove(&id).expect("a keeper");
        let new = self.starts + 100;
        self.starts += 1;
        let mut store = MemoryStore::default();
        Keeper::join(&mut store, self.group, KeeperId(new)).expect("joins");
        self.nodes.insert(new, Node { store, keeper: None, clock: node.clock });
        self.restart_keeper(new);
        self.joining = Some((new, id));
    }

    pub fn crash_broker(&mut self, broker: usize) {
        self.brokers[broker].up = false;
    }

    pub fn start_broker(&mut self, broker: usize) {
        let holder = self.holder(broker);
        let b = &mut self.brokers[broker];
        (b.holder, b.up, b.stalled) = (holder, true, 0);
        b.holder.want();
    }

    pub fn restart_receiver(&mut self, receiver: usize) {
        let (memory, disk) = &mut self.receivers[receiver];
        *memory = if disk.is_empty() { Receiver::default() } else { Receiver::decode(disk).expect("reads") };
    }

    pub fn keepers(&self) -> Vec<u64> {
        self.nodes.keys().copied().collect()
    }

    pub fn leader(&self) -> Option<u64> {
        let leads = |n: &Node| n.keeper.as_ref().is_some_and(|k| k.standing() == Standing::Leading);
        self.nodes.iter().find(|(id, n)| leads(n) && !self.cut.contains(&At::Keeper(**id))).map(|(id, _)| *id)
    }

    pub fn keeper(&mut self, id: u64) -> &mut Keeper {
        self.nodes.get_mut(&id).and_then(|n| n.keeper.as_mut()).expect("runs")
    }

    pub fn holding(&self) -> Vec<usize> {
        let holds = |b: &Broker| b.up && b.holder.order(b.clock.read(self.now)).is_some();
        (0..self.brokers.len()).filter(|i| holds(&self.brokers[*i])).collect()
    }

    pub fn leave(&mut self, broker: usize) {
        let b = &mut self.brokers[broker];
        b.holder.leave(b.clock.read(self.now));
    }

    /// The one that holds begins a piece of work, or ends one that is open.
    pub fn work(&mut self, broker: usize) -> bool {
        let b = &mut self.brokers[broker];
        let now = b.clock.read(self.now);
        let open = b.holder.open().next().map(|w| w.work);
        let command = match open {
            Some(work) => b.holder.end(now, work, Outcome::Finished).ok(),
            None => b.holder.begin(now, b"move 7 from a to b".to_vec()).ok().map(|(_, c)| c),
        };
        let done = command.is_some();
        command.into_iter().for_each(|c| self.ask(broker, c));
        done
    }

    pub fn take(&mut self) -> bool {
        let Some(leader) = self.leader() else { return false };
        let token = self.granted;
        self.keeper(leader).propose(&Command::Take { duty: duty(), token }).is_ok()
    }

    fn ask(&mut self, broker: usize, command: Command) {
        let b = &mut self.brokers[broker];
        b.unheard += 1;
        if b.unheard > 2 {
            let ids: Vec<u64> = self.nodes.keys().copied().collect();
            b.target = ids.iter().find(|id| **id > b.target).copied().unwrap_or(ids[0]);
            b.unheard = 0;
        }
        let to = At::Keeper(b.target);
        self.send(At::Broker(broker), to, Parcel::Word(Word::Command(command).encode().expect("fits")));
    }

    fn send(&mut self, from: At, to: At, parcel: Parcel) {
        let number = self.parcels;
        self.parcels += 1;
        let (lost, copied, held) = self.faults;
        // Chance by link and place on it: one parcel less somewhere shifts nothing elsewhere.
        let place = self.links.entry((from, to)).or_default();
        *place += 1;
        let mut hash = std::hash::DefaultHasher::new();
        (self.group, from, to, *place).hash(&mut hash);
        let mut rng = Rng(hash.finish());
        let delay = |rng: &mut Rng| match rng.percent(held) {
            true => rng.below(LEASE * 2),
            false => MILLI + rng.below(20 * MILLI),
        };
        let mut route: Route = vec![(delay(&mut rng), parcel.clone())];
        if rng.percent(copied) {
            route.push((delay(&mut rng), parcel.clone()));
        }
        if rng.percent(lost) {
            route.pop();
        }
        if let Some(meddle) = &mut self.meddle {
            meddle(&Sent { number, from, to, now: self.now }, &mut route);
        }
        for (delay, parcel) in route {
            self.placed += 1;
            let key = (self.now + delay, self.placed);
            self.net.insert(key, (from, to, parcel));
        }
    }

    fn deliver(&mut self, from: At, to: At, parcel: Parcel) {
        match (to, parcel) {
            (At::Keeper(id), Parcel::Word(bytes)) => {
                let Some(keeper) = self.nodes.get_mut(&id).and_then(|n| n.keeper.as_mut()) else { return };
                match Word::decode(&bytes) {
                    Ok(Word::Keepers { group, message }) => keeper.hear(message, group),
                    Ok(Word::Command(command)) => {
                        let answer = keeper.command(&command);
                        answer.into_iter().for_each(|a| self.answer(id, a));
                    }
                    _ => {}
                }
            }
            (At::Broker(i), Parcel::Word(bytes)) => {
                let Ok(Word::Answer(answer)) = Word::decode(&bytes) else { return };
                let b = &mut self.brokers[i];
                b.unheard = 0;
                if let (Said::Refused(Refusal::NotLeading { leader }), At::Keeper(id)) = (&answer.said, from)
                {
                    let next = self.nodes.keys().find(|k| **k > id).or(self.nodes.keys().next());
                    b.target = leader.map(|l| l.0).or(next.copied()).unwrap_or(1);
                }
                if let Some(command) = b.holder.hear(b.clock.read(self.now), &answer) {
                    self.ask(i, command);
                }
            }
            (At::Broker(i), Parcel::Unfit(unfit)) => {
                let b = &mut self.brokers[i];
                b.holder.fenced(b.clock.read(self.now), unfit);
            }
            (At::Receiver(i), Parcel::Order(fence)) => {
                let (receiver, disk) = &mut self.receivers[i];
                use plover_duties::receiver::Fit;
                match receiver.judge(&fence) {
                    Ok(Fit::Known) => self.checker.accepted(i, &fence),
                    Ok(Fit::New(raise)) => {
                        *disk = raise.record();
                        raise.durable();
                        self.checker.accepted(i, &fence);
                    }
                    Err(unfit) => self.send(to, from, Parcel::Unfit(unfit)),
                }
            }
            _ => {}
        }
    }

    fn answer(&mut self, from: u64, answer: plover_duties::wire::Answer) {
        let Some(to) = self.brokers.iter().position(|b| *b.holder.process() == answer.to) else { return };
        let word = Word::Answer(answer).encode().expect("fits");
        self.send(At::Keeper(from), At::Broker(to), Parcel::Word(word));
    }

    fn run_keepers(&mut self) {
        for id in self.keepers() {
            let now = self.now;
            let Some(node) = self.nodes.get_mut(&id) else { continue };
            let Some(keeper) = &mut node.keeper else { continue };
            let local = node.clock.read(now);
            keeper.tick(local);
            let mut outputs = Vec::new();
            while let Some(unsaved) = keeper.turn() {
                match unsaved.save(local, &mut node.store) {
                    Ok(output) => outputs.push(output),
                    Err(_) => break,
                }
            }
            if keeper.standing() == Standing::Failed {
                node.keeper = None;
                self.restart_keeper(id);
            }
            for output in outputs {
                for applied in output.applied {
                    if let Ok(Change::Granted(g)) = &applied.result {
                        self.granted = self.granted.max(g.token);
                    }
                    self.checker.applied(applied);
                }
                for (to, word) in output.words {
                    if let Word::Keepers { message, .. } = &word
                        && message.kind == 5
                        && *self.checker.led.entry(message.term).or_insert(id) != id
                    {
                        self.checker.breach(format!("two lead in term {}", message.term));
                    }
                    let bytes = word.encode().expect("fits");
                    self.send(At::Keeper(id), At::Keeper(to.0), Parcel::Word(bytes));
                }
                output.answers.into_iter().for_each(|a| self.answer(id, a));
            }
        }
        if let (Some((new, old)), Some(leader)) = (self.joining, self.leader()) {
            // Over once all have applied it: until then a second lost disk may be one too many.
            let done = |k: &Keeper| {
                k.voters().contains(&new) && !k.voters().contains(&old) && k.register().joining().count() == 0
            };
            if self.nodes.values().all(|n| n.keeper.as_ref().is_some_and(done)) {
                self.joining = None;
            }
            let keeper = self.keeper(leader);
            if !done(keeper) && keeper.register().joining().count() == 0 {
                let _ =
                    keeper.propose(&Command::Join { keeper: KeeperId(new), replaces: Some(KeeperId(old)) });
            }
        }
    }

    fn run_brokers(&mut self) {
        for i in 0..self.brokers.len() {
            let b = &mut self.brokers[i];
            if !b.up || b.stalled > self.now {
                continue;
            }
            let now = b.clock.read(self.now);
            let commands = b.holder.turn(now);
            let order = b.holder.order(now).filter(|_| self.now >= b.order_at);
            commands.into_iter().for_each(|c| self.ask(i, c));
            if let Some(fence) = order {
                self.brokers[i].order_at = self.now + LEASE / 8;
                for r in 0..self.receivers.len() {
                    self.send(At::Broker(i), At::Receiver(r), Parcel::Order(fence.clone()));
                }
            }
        }
    }

    pub fn step(&mut self) {
        self.now += self.step;
        self.checker.now = self.now;
        while let Some(entry) = self.net.first_entry() {
            if entry.key().0 > self.now {
                break;
            }
            let (from, to, parcel) = entry.remove();
            let deaf = match to {
                At::Broker(i) => !self.brokers[i].up,
                _ => false,
            };
            if let At::Broker(i) = to
                && self.brokers[i].stalled > self.now
            {
                self.placed += 1;
                self.net.insert((self.brokers[i].stalled, self.placed), (from, to, parcel));
                continue;
            }
            if !deaf && !self.cut.contains(&from) && !self.cut.contains(&to) {
                self.deliver(from, to, parcel);
            }
        }
        self.run_keepers();
        self.run_brokers();
        match self.holding()[..] {
            [] => self.gap += self.step,
            [_] => {}
            ref two => self.checker.breach(format!("{two:?} hold at {}", self.now)),
        }
    }

    pub fn run(&mut self, span: Micros) {
        let end = self.now + span;
        while self.now < end {
            self.step();
        }
    }

    /// Steps until it is so, `span` at most; says whether it became so.
    pub fn until(&mut self, span: Micros, so: impl Fn(&World) -> bool) -> bool {
        let end = self.now + span;
        while !so(self) && self.now < end {
            self.step();
        }
        so(self)
    }

    pub fn phase(&self, broker: usize) -> &Phase {
        self.brokers[broker].holder.phase()
    }
}
