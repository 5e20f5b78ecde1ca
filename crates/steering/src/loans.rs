//! What control instances that may talk lend each other of what a cold server may have out.
//!
//! Each instance owns its part (see [`crate::cold::part_of`]), which fits proxies that are spread evenly. Where one instance
//! has most of the proxies, the parts of the others lie idle. So an instance asks its peers for what it lacks, and is lent
//! what they do not need, for a while. The lender counts a loan as gone until the borrower and all of the borrower's
//! proxies can no longer act on it: the borrower counts from when it *asked*, the lender from when it *answered*, which is
//! later, and adds the longest echo of a lease. No clock is compared. A peer that is lost lends nothing and gets nothing
//! back early: limits become tighter, never looser.

use plover_model::server::NodeId;
use plover_model::time::Micros;
use std::collections::BTreeMap;

/// Number of a control instance, from 0.
pub type Number = u32;

/// What an instance says of itself, and asks for.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Word {
    /// Who asks.
    pub from: Number,
    /// Raised with every word, so that answers can be told apart.
    pub version: u64,
    /// Proxies that may send, on this instance.
    pub proxies: u32,
    /// What it would have beside its own part, in all, by server.
    pub wishes: Vec<(NodeId, u32)>,
}

/// The answer to a word.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Answer {
    /// Who answers.
    pub from: Number,
    /// The word's version.
    pub version: u64,
    /// What is lent, in all, by server.
    pub lends: Vec<(NodeId, u32)>,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct Loan {
    units: u32,
    until: Micros,
}

/// Time limits of loans.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Times {
    /// A borrower counts on a loan for so long after it asked for it.
    pub duration: Micros,
    /// So long after that its proxies may still act on it, see [`crate::leases::Times::longest_echo`].
    pub echo: Micros,
}

/// One instance's loans. Their number is bounded by cold servers times peers.
#[derive(Clone, Debug)]
pub struct Loans {
    me: Number,
    instances: u32,
    times: Times,
    version: u64,
    asked: BTreeMap<u64, Micros>,
    lent: BTreeMap<(NodeId, Number), Loan>,
    borrowed: BTreeMap<(NodeId, Number), Loan>,
    /// Proxies of each peer, and when it said so.
    proxies: BTreeMap<Number, (u32, Micros)>,
}

/// Words whose answers may still come.
const MOST_ASKED: usize = 64;

impl Loans {
    /// Nothing lent or borrowed yet. What this instance lent before it was started again is not known: until that has run
    /// out it must deal out nothing, see `Director`'s quiet time, which has to be as long as a loan and its echo.
    pub fn new(me: Number, instances: u32, times: Times) -> Self {
        let (asked, lent, borrowed, proxies) = Default::default();
        Loans { me, instances, times, version: 0, asked, lent, borrowed, proxies }
    }

    fn expire(&mut self, now: Micros) {
        self.lent.retain(|_, l| now < l.until);
        self.borrowed.retain(|_, l| now < l.until);
        let fresh = 2 * self.times.duration;
        self.proxies.retain(|_, (_, at)| now < at.saturating_add(fresh));
    }

    /// What this instance would deal out at a server if proxies alone decided: its share of the whole by its share of the
    /// proxies. A peer that is not heard counts with its part.
    fn due(&self, whole: u32, part: u32, proxies: u32) -> u32 {
        let heard: u32 = self.proxies.values().map(|(n, _)| *n).sum();
        let unheard = self.instances.saturating_sub(1 + self.proxies.len() as u32);
        let talking = whole.saturating_sub(part.saturating_mul(unheard));
        let all = proxies.saturating_add(heard);
        if all == 0 {
            part
        } else {
            (u64::from(talking) * u64::from(proxies)).div_ceil(u64::from(all)) as u32
        }
    }

    /// The next word to all peers. `cold`: servers, with what each may have out in all and this instance's part of that.
    pub fn ask(&mut self, now: Micros, proxies: u32, cold: &[(NodeId, u32, u32)]) -> Word {
        self.expire(now);
        self.version += 1;
        self.asked.insert(self.version, now);
        while self.asked.len() > MOST_ASKED {
            self.asked.pop_first();
        }
        let wish = |(server, whole, part): &(NodeId, u32, u32)| {
            let lacks = self.due(*whole, *part, proxies).saturating_sub(*part);
            (lacks > 0).then(|| (server.clone(), lacks))
        };
        let wishes = cold.iter().filter_map(wish).collect();
        Word { from: self.me, version: self.version, proxies, wishes }
    }

    /// Answers a peer's word: lends of its own part what it does not need. `own` gives a server's whole, this instance's
    /// part, and what its own leases count there; `None`: the server is not cold here.
    pub fn answer(
        &mut self,
        now: Micros,
        word: &Word,
        proxies: u32,
        own: impl Fn(&NodeId) -> Option<(u32, u32, u32)>,
    ) -> Answer {
        self.expire(now);
        let mut lends = Vec::new();
        if word.from != self.me && word.from < self.instances {
            self.proxies.insert(word.from, (word.proxies, now));
            for (server, units) in &word.wishes {
                let Some((whole, part, counted)) = own(server) else { continue };
                let key = (server.clone(), word.from);
                let lent: u32 = self.lent_of(server);
                let needs = counted.max(self.due(whole, part, proxies));
                let free = part.saturating_sub(lent).saturating_sub(needs);
                let before = self.lent.get(&key).map_or(0, |l| l.units);
                // A loan grows and never shrinks: the borrower may not have heard. One that asks for less lets it end.
                if *units < before {
                    continue;
                }
                let units = before + free.min(units - before);
                if units > 0 {
                    let until = now + self.times.duration + self.times.echo;
                    self.lent.insert(key, Loan { units, until });
                    lends.push((server.clone(), units));
                }
            }
        }
        Answer { from: self.me, version: word.version, lends }
    }

    /// Takes a peer's answer.
    pub fn take(&mut self, answer: &Answer) {
        let Some(asked) = self.asked.get(&answer.version) else { return };
        if answer.from == self.me || answer.from >= self.instances {
            return;
        }
        let until = asked + self.times.duration;
        for (server, units) in &answer.lends {
            let loan = self.borrowed.entry((server.clone(), answer.from)).or_insert(Loan { units: 0, until });
            // An older answer that comes late says nothing new.
            if until >= loan.until {
                *loan = Loan { units: *units, until };
            }
        }
    }

    fn lent_of(&self, server: &NodeId) -> u32 {
        let of = self.lent.iter().filter(|((s, _), _)| s == server);
        of.map(|(_, l)| l.units).sum()
    }

    /// What this instance may deal out at a server now, with this part of its own.
    pub fn most(&mut self, now: Micros, server: &NodeId, part: u32) -> u32 {
        self.expire(now);
        let borrowed = self.borrowed.iter().filter(|((s, _), _)| s == server);
        let borrowed: u32 = borrowed.map(|(_, l)| l.units).sum();
        part.saturating_sub(self.lent_of(server)).saturating_add(borrowed)
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use crate::cold::part_of;
    use plover_model::time::{MILLI, SECOND};
    use proptest::prelude::*;

    const TIMES: Times = Times { duration: 2 * SECOND, echo: 16 * SECOND };
    const WHOLE: u32 = 9;

    fn server() -> NodeId {
        NodeId("s".into())
    }

    fn part(n: Number) -> u32 {
        part_of(WHOLE, n, 3, "s")
    }

    fn cold(n: Number) -> Vec<(NodeId, u32, u32)> {
        vec![(server(), WHOLE, part(n))]
    }

    #[test]
    fn an_instance_with_all_proxies_is_lent_what_the_others_do_not_need() {
        let mut all: Vec<Loans> = (0..3).map(|n| Loans::new(n, 3, TIMES)).collect();
        let proxies = [30, 0, 0];
        for round in 0..4 {
            let now = round * SECOND;
            for from in 0..3usize {
                let word = all[from].ask(now, proxies[from], &cold(from as u32));
                for to in (0..3).filter(|to| *to != from) {
                    let own = |_: &NodeId| Some((WHOLE, part(to as u32), 0));
                    let answer = all[to].answer(now, &word, proxies[to], own);
                    all[from].take(&answer);
                }
            }
        }
        let most: Vec<u32> = (0..3).map(|n| all[n].most(3 * SECOND, &server(), part(n as u32))).collect();
        assert_eq!(most, [9, 0, 0]);
        // Nobody is heard any more: what was borrowed is over at once, what was lent comes back much later.
        assert_eq!(all[0].most(5 * SECOND, &server(), part(0)), part(0));
        assert_eq!(all[1].most(5 * SECOND, &server(), part(1)), 0);
        assert_eq!(all[1].most(22 * SECOND, &server(), part(1)), part(1));
    }

    #[test]
    fn words_of_nobody_get_nothing() {
        let mut loans = Loans::new(0, 3, TIMES);
        for from in [0, 3, 77] {
            let word = Word { from, version: 1, proxies: 5, wishes: vec![(server(), 9)] };
            assert_eq!(loans.answer(0, &word, 0, |_| Some((WHOLE, 3, 0))).lends, []);
        }
        loans.take(&Answer { from: 1, version: 77, lends: vec![(server(), 9)] });
        assert_eq!(loans.most(0, &server(), 3), 3, "an answer to what was never asked");
    }

    proptest! {
        /// Words and answers that are late, lost or doubled, proxies that come and go: what all instances may deal out,
        /// with the echo of what they could before, never passes the whole.
        #[test]
        fn all_together_never_have_more_than_there_is(
            steps in prop::collection::vec((0usize..3, 0usize..3, 0u32..40, 0u64..1500, 0u8..4), 0..120),
        ) {
            let mut all: Vec<Loans> = (0..3).map(|n| Loans::new(n, 3, TIMES)).collect();
            let mut words: Vec<Word> = Vec::new();
            let mut answers: Vec<(usize, Answer)> = Vec::new();
            // For each instance, what it could deal out at which times: its proxies may act on that for the echo.
            let mut could: Vec<Vec<(Micros, u32)>> = vec![Vec::new(); 3];
            let mut now = 0;
            for (a, b, proxies, wait, kind) in steps {
                now += wait * MILLI;
                match kind {
                    0 => words.push(all[a].ask(now, proxies, &cold(a as u32))),
                    1 => if let Some(word) = words.iter().nth_back(proxies as usize % 4).cloned() {
                        // What its own leases count: all that it could in the time of an echo, the worst there is.
                        let counted = could[a].iter().filter(|(at, _)| now < at + TIMES.echo).map(|(_, n)| *n).max();
                        let own = |_: &NodeId| Some((WHOLE, part(a as u32), counted.unwrap_or(0)));
                        let answer = all[a].answer(now, &word, proxies, own);
                        answers.push((word.from as usize, answer));
                    },
                    2 => if let Some((to, answer)) = answers.iter().nth_back(proxies as usize % 4).cloned() {
                        all[to].take(&answer);
                    },
                    // It deals out all that it may.
                    _ => {
                        let most = all[b].most(now, &server(), part(b as u32));
                        let counted = could[b].iter().filter(|(at, _)| now < at + TIMES.echo).map(|(_, n)| *n).max();
                        if counted.unwrap_or(0) <= most {
                            could[b].push((now, most));
                        }
                    }
                }
                let out = |c: &Vec<(Micros, u32)>| c.iter().filter(|(at, _)| now < at + TIMES.echo).map(|(_, n)| *n).max();
                let sum: u32 = could.iter().filter_map(out).sum();
                prop_assert!(sum <= WHOLE, "{sum} of {WHOLE}");
            }
        }
    }
}
