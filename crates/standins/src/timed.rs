//! A discovery in simulated time: a watch is played against whatever it is said to do.

use plover_model::time::{MILLI, Micros};
use plover_watch::{Call, ConnectionId, Fault, Heard, Order, Times, Watch};

/// What a discovery does with one attempt or call.
#[derive(Clone, Copy, Debug)]
pub enum Does {
    /// It takes it, and answers a call.
    Answers {
        /// So long after it.
        after: Micros,
        /// With entries, or with none.
        tells: bool,
        /// Whether the connection ends with that.
        closes: bool,
    },
    /// It takes an attempt after a while; of a call the same as an answer with nothing.
    ComesUp {
        /// So long after it began.
        after: Micros,
    },
    /// It answers a call with a version of its own choice, slowly.
    Says {
        /// The first byte comes so long after the call.
        begins: Micros,
        /// The last one so long after that.
        takes: Micros,
        /// The version.
        rev: u64,
        /// With entries, or with none.
        tells: bool,
        /// Whether the connection ends with that.
        closes: bool,
    },
    /// It has news and tells it when the call's wait is over.
    HoldsToTheEnd,
    /// Its answer begins, and never ends.
    Trickles {
        /// So long after the call.
        after: Micros,
    },
    /// It refuses the connection, or ends it.
    Breaks {
        /// So long after the attempt or the call.
        after: Micros,
    },
    /// It answers with a status that is no success.
    Errs {
        /// Which.
        status: u16,
    },
    /// It answers with what is no list.
    Garbles,
    /// It says nothing.
    Nothing,
}

/// What comes from discovery, in time.
#[derive(Clone, Copy, Debug)]
enum News {
    Up,
    Answer(Heard),
    Fault(Fault),
}

/// Something that is on its way on a connection.
#[derive(Clone, Copy, Debug)]
struct Coming {
    at: Micros,
    on: ConnectionId,
    news: News,
}

/// A watch and a discovery: every order it gave, and when.
pub struct Play {
    watch: Watch,
    /// The time that has been played to.
    pub now: Micros,
    /// The version that discovery has.
    pub rev: u64,
    coming: Vec<Coming>,
    open: Vec<ConnectionId>,
    /// The most connections that were open at one time.
    pub most_open: usize,
    /// When attempts began.
    pub connects: Vec<Micros>,
    /// The calls, and when they went out.
    pub calls: Vec<(Micros, Call)>,
    /// The versions that were told, and when.
    pub heard: Vec<(Micros, u64)>,
    /// The fleet's pace: there is room for an attempt at the multiples of this; 0: always.
    pub pace: Micros,
}

/// What an answer needs.
pub const LAG: Micros = MILLI;

impl Play {
    /// A watch that begins at 0, with news since a version.
    pub fn new(times: Times, index: Option<u64>, seed: u64) -> Self {
        Play::of(Watch::new(0, times, index, seed), index)
    }

    /// The same of a watch that takes the place of another one.
    pub fn moved(times: Times, seed: u64) -> Self {
        Play::of(Watch::moved(0, times, seed), None)
    }

    fn of(watch: Watch, index: Option<u64>) -> Self {
        Play {
            watch,
            now: 0,
            rev: index.unwrap_or(0),
            coming: Vec::new(),
            open: Vec::new(),
            most_open: 0,
            connects: Vec::new(),
            calls: Vec::new(),
            heard: Vec::new(),
            pace: 0,
        }
    }

    /// Runs until a moment. Panics if the watch is due and has nothing to do. `does` is asked at each attempt (`None`: whether it
    /// comes up) and at each call.
    pub fn run(&mut self, until: Micros, mut does: impl FnMut(Micros, Option<Call>, &mut u64) -> Does) {
        self.run_on(until, |now, _, call, rev| does(now, call, rev));
    }

    /// The same; `does` is told how many attempts began before this one, or before that of the call's connection.
    pub fn run_on(
        &mut self,
        until: Micros,
        mut does: impl FnMut(Micros, usize, Option<Call>, &mut u64) -> Does,
    ) {
        loop {
            let next = self.coming.iter().map(|coming| coming.at).min();
            let at = next.unwrap_or(Micros::MAX).min(self.watch.due());
            if at > until {
                self.now = until;
                return;
            }
            self.now = self.now.max(at);
            if next.is_some_and(|next| next <= self.now) {
                self.take_next(&mut does);
            } else {
                self.turn(&mut does);
            }
            let watch = &self.watch;
            self.coming.retain(|coming| watch.holds(coming.on));
            let open = self.open.iter().filter(|id| watch.holds(**id)).count();
            self.most_open = self.most_open.max(open);
        }
    }

    /// What comes first, and of what comes at one time what was said first.
    fn take_next(&mut self, does: &mut impl FnMut(Micros, usize, Option<Call>, &mut u64) -> Does) {
        let first = (0..self.coming.len()).min_by_key(|n| self.coming[*n].at);
        let Some(Coming { on, news, .. }) = first.map(|n| self.coming.remove(n)) else { return };
        match news {
            News::Up => self.up(on, does),
            News::Answer(heard) => {
                if self.watch.answered(on, self.now, heard) {
                    self.heard.push((self.now, heard.rev));
                }
            }
            News::Fault(fault) => self.watch.failed(on, self.now, fault),
        }
    }

    fn turn(&mut self, does: &mut impl FnMut(Micros, usize, Option<Call>, &mut u64) -> Does) {
        if self.pace > 0 && self.watch.attempt_due(self.now) {
            let next = self.now.next_multiple_of(self.pace);
            if next > self.now && self.watch.put_off(self.now, next) {
                return;
            }
        }
        match self.watch.turn(self.now) {
            None => panic!("due and nothing to do: {:?}", self.watch.state()),
            Some(Order::Overdue(_) | Order::Close(_)) => {}
            Some(Order::Connect(on)) => {
                self.connects.push(self.now);
                self.open.push(on);
                match does(self.now, self.connects.len() - 1, None, &mut self.rev) {
                    Does::Nothing => {}
                    Does::Breaks { after } => self.say(on, after, News::Fault(Fault::Broken)),
                    Does::ComesUp { after } => self.say(on, after, News::Up),
                    _ => self.up(on, does),
                }
            }
            Some(Order::Call(on, call)) => self.call(on, call, does),
        }
    }

    fn up(&mut self, on: ConnectionId, does: &mut impl FnMut(Micros, usize, Option<Call>, &mut u64) -> Does) {
        if let Some(call) = self.watch.connected(on, self.now) {
            self.call(on, call, does);
        }
    }

    fn say(&mut self, on: ConnectionId, after: Micros, news: News) {
        self.coming.push(Coming { at: self.now + after, on, news });
    }

    fn call(
        &mut self,
        on: ConnectionId,
        call: Call,
        does: &mut impl FnMut(Micros, usize, Option<Call>, &mut u64) -> Does,
    ) {
        self.calls.push((self.now, call));
        let attempt = self.open.iter().position(|id| *id == on).unwrap_or(0);
        let done = does(self.now, attempt, Some(call), &mut self.rev);
        let rev = self.rev;
        let whole = |tells, closes| News::Answer(Heard { rev, tells, closes });
        match done {
            Does::Answers { after, tells, closes } => self.say(on, after, whole(tells, closes)),
            Does::HoldsToTheEnd => self.say(on, call.wait + LAG, whole(true, false)),
            Does::ComesUp { after } => self.say(on, after, whole(false, false)),
            Does::Says { begins, takes, rev, tells, closes } => {
                self.say(on, begins + takes, News::Answer(Heard { rev, tells, closes }));
            }
            Does::Breaks { after } => self.say(on, after, News::Fault(Fault::Broken)),
            Does::Errs { status } => self.say(on, LAG, News::Fault(Fault::Status(status))),
            Does::Garbles => self.say(on, LAG, News::Fault(Fault::Unreadable)),
            Does::Trickles { .. } | Does::Nothing => {}
        }
    }
}
