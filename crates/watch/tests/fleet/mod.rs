//! Many watches and one discovery in simulated time: the watch and the pace of coming back as the program puts them
//! together (`plover_discovery`), against a discovery that answers as the protocol says, or not at all for a while.

use plover_model::time::{MILLI, Micros, SECOND};
use plover_recovery::{Budget, Kind, Rates};
use plover_watch::{Call, ConnectionId, Fault, Heard, Order, Times, Watch};
use std::cmp::Reverse;
use std::collections::BinaryHeap;

/// What an answer needs.
pub const LAG: Micros = MILLI;

/// Discovery as some watches see it: not there for a while.
#[derive(Clone, Copy, Debug)]
pub struct Outage {
    pub from: Micros,
    pub to: Micros,
    /// It refuses connections and ends those that are; else it says nothing.
    pub refuses: bool,
    /// The watches below this number alone are cut off.
    pub below: usize,
}

/// A new version: so many entries have changed.
#[derive(Clone, Copy, Debug)]
pub struct News {
    pub at: Micros,
    pub entries: u64,
}

/// What a run is.
#[derive(Clone, Debug, Default)]
pub struct Run {
    pub watches: usize,
    pub entries: u64,
    pub outages: Vec<Outage>,
    /// By time.
    pub news: Vec<News>,
    /// Discovery tells changes since this many versions ago; since more, the whole list.
    pub kept: u64,
    /// Watches below this number begin at a moment, with nothing known, and with the fleet's pace of so many lists a second
    /// (0: unpaced, and with the version of that moment known). The others have watched since before 0.
    pub begin: Option<(usize, Micros, u32)>,
    /// Each answer comes so much later than it is due.
    pub delay: Micros,
    pub until: Micros,
    pub seed: u64,
}

/// What discovery saw and said.
#[derive(Debug, Default)]
pub struct Seen {
    /// When connections were tried.
    pub connects: Vec<Micros>,
    pub calls: Vec<(Micros, Call)>,
    /// When, entries, whether the whole list.
    pub answers: Vec<(Micros, u64, bool)>,
    /// By watch and version: when it had it. Versions count from 1.
    pub had: Vec<(usize, u64, Micros)>,
    /// The most connections that one watch held at a time.
    pub most_open: usize,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum What {
    Due,
    Up,
    Answer { rev: u64, entries: u64, whole: bool },
    Broken,
}

struct One {
    watch: Watch,
    budget: Option<Budget>,
    /// Zero of the budget's clock.
    start: Micros,
    open: Vec<ConnectionId>,
    rev: u64,
}

/// When, to which watch, on which connection, and what.
type Event = (Micros, usize, Option<ConnectionId>, What);

pub struct Fleet {
    run: Run,
    ones: Vec<One>,
    next: BinaryHeap<Reverse<Event>>,
    pub seen: Seen,
}

impl Fleet {
    pub fn play(run: Run) -> Seen {
        let mut fleet = Fleet { ones: Vec::new(), next: BinaryHeap::new(), seen: Seen::default(), run };
        let run = fleet.run.clone();
        for n in 0..run.watches {
            let seed = run.seed ^ (n as u64 + 1).wrapping_mul(0x9e37_79b9_7f4a_7c15);
            let (mut start, mut index, mut budget) = (seed % (4 * SECOND), Some(0), None);
            if let Some((_, at, lists)) = run.begin.filter(|b| n < b.0) {
                start = at;
                index = (lists == 0).then(|| fleet.rev_at(at));
                let rates = Rates { lists, connections: u32::MAX, probes: u32::MAX, states: u32::MAX };
                budget = (lists > 0).then(|| Budget::new(0, seed, run.watches, rates));
            }
            let watch = Watch::new(start, Times::default(), index, seed);
            fleet.next.push(Reverse((start, n, None, What::Due)));
            fleet.ones.push(One { watch, budget, start, open: Vec::new(), rev: index.unwrap_or(0) });
        }
        fleet.go();
        fleet.seen
    }

    fn rev_at(&self, at: Micros) -> u64 {
        self.run.news.iter().filter(|n| n.at <= at).count() as u64
    }

    /// The outage that hides discovery from a watch at some moment between these.
    fn hidden(&self, n: usize, from: Micros, to: Micros) -> Option<Outage> {
        self.run.outages.iter().copied().find(|o| n < o.below && o.from <= to && from < o.to)
    }

    fn go(&mut self) {
        while let Some(Reverse((now, n, on, what))) = self.next.pop() {
            if now > self.run.until {
                return;
            }
            match (what, on) {
                (What::Due, _) if now < self.ones[n].watch.due() => continue,
                (What::Due, _) => self.due(now, n),
                (_, Some(on)) if self.ones[n].watch.holds(on) => self.event(now, n, on, what),
                _ => continue,
            }
            let one = &mut self.ones[n];
            one.open.retain(|id| one.watch.holds(*id));
            self.seen.most_open = self.seen.most_open.max(one.open.len());
            self.next.push(Reverse((one.watch.due(), n, None, What::Due)));
        }
    }

    fn event(&mut self, now: Micros, n: usize, on: ConnectionId, what: What) {
        match what {
            What::Due => {}
            What::Up => {
                if let Some(call) = self.ones[n].watch.connected(on, now) {
                    self.call(now, n, on, call);
                }
            }
            What::Answer { rev, entries, whole } => {
                let one = &mut self.ones[n];
                let tells = whole || entries > 0;
                if one.watch.answered(on, now, Heard { rev, tells, closes: false }) {
                    for had in one.rev + 1..=rev {
                        self.seen.had.push((n, had, now));
                    }
                    one.rev = rev;
                }
                self.seen.answers.push((now, entries, whole));
            }
            What::Broken => {
                self.ones[n].watch.failed(on, now, Fault::Broken);
                self.refused(now, n);
            }
        }
    }

    fn refused(&mut self, now: Micros, n: usize) {
        let one = &mut self.ones[n];
        if let Some(budget) = &mut one.budget {
            budget.refused(now - one.start, Kind::List);
        }
    }

    fn due(&mut self, now: Micros, n: usize) {
        let one = &mut self.ones[n];
        if one.watch.attempt_due(now)
            && let Some(budget) = &mut one.budget
            && let Err(next) = budget.take(now - one.start, Kind::List)
            && one.watch.put_off(now, one.start + next)
        {
            return;
        }
        match one.watch.turn(now) {
            None => {}
            Some(Order::Close(_)) => {}
            Some(Order::Overdue(_)) => self.refused(now, n),
            Some(Order::Connect(on)) => {
                one.open.push(on);
                self.seen.connects.push(now);
                let what = match self.hidden(n, now, now + LAG) {
                    None => What::Up,
                    Some(outage) if outage.refuses => What::Broken,
                    Some(_) => return,
                };
                self.next.push(Reverse((now + LAG, n, Some(on), what)));
            }
            Some(Order::Call(on, call)) => self.call(now, n, on, call),
        }
    }

    fn call(&mut self, now: Micros, n: usize, on: ConnectionId, call: Call) {
        self.seen.calls.push((now, call));
        let (at, what) = match call.index {
            None => (now, What::Answer { rev: self.rev_at(now), entries: self.run.entries, whole: true }),
            Some(index) => {
                let until = now + call.wait;
                let news = self.run.news.iter().map(|n| n.at).find(|at| *at > now && *at <= until);
                let at = if self.rev_at(now) > index { now } else { news.unwrap_or(until) };
                let rev = self.rev_at(at);
                let whole = rev - index > self.run.kept;
                let changed: u64 =
                    self.run.news[index as usize..rev as usize].iter().map(|n| n.entries).sum();
                let entries = if whole { self.run.entries } else { changed.min(self.run.entries) };
                (at, What::Answer { rev, entries, whole })
            }
        };
        let (answered, on) = (at + self.run.delay + LAG, Some(on));
        match self.hidden(n, now, answered) {
            None => self.next.push(Reverse((answered, n, on, what))),
            Some(outage) if outage.refuses => {
                self.next.push(Reverse((outage.from.max(now + LAG), n, on, What::Broken)));
            }
            Some(_) => {}
        }
    }
}

/// The most of these that fall into any window of this length.
pub fn peak(times: impl IntoIterator<Item = Micros>, window: Micros) -> usize {
    let mut times: Vec<Micros> = times.into_iter().collect();
    times.sort_unstable();
    let mut from = 0;
    let mut most = 0;
    for (last, at) in times.iter().enumerate() {
        while times[from] + window <= *at {
            from += 1;
        }
        most = most.max(last + 1 - from);
    }
    most
}
