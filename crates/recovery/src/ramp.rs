//! The share of queries that a broker admits while it comes back.

/// Share at first, and the least: one in sixteen.
const LEAST: f64 = 1.0 / 16.0;
/// So many ends are one look: fewer say little, more would make full service late on a thin broker.
const LOOK: u32 = 8;
/// So many of a look may be bad and the share still grows.
const BAD: u32 = 1;

/// A share that doubles with answers that came in time, and halves where too many did not.
#[derive(Clone, Debug, PartialEq)]
pub struct Ramp {
    share: f64,
    /// What is saved up of a query.
    credit: f64,
    ended: u32,
    bad: u32,
}

impl Default for Ramp {
    fn default() -> Self {
        // The very first query is let in: without one there is no evidence.
        Ramp { share: LEAST, credit: 1.0, ended: 0, bad: 0 }
    }
}

impl Ramp {
    /// Whether a query that has come is let in.
    pub fn admits(&mut self) -> bool {
        if self.is_full() {
            return true;
        }
        // At most one is saved up, so that a quiet time lets no burst in.
        let admitted = self.credit >= 1.0;
        self.credit = (self.credit - f64::from(u8::from(admitted)) + self.share).min(1.0);
        admitted
    }

    /// A query that was let in has ended, in time and served, or not.
    pub fn ended(&mut self, in_time: bool) {
        if self.is_full() {
            return;
        }
        self.ended += 1;
        self.bad += u32::from(!in_time);
        if self.bad > BAD {
            self.share = (self.share / 2.0).max(LEAST);
        } else if self.ended >= LOOK {
            self.share = (self.share * 2.0).min(1.0);
        } else {
            return;
        }
        (self.ended, self.bad) = (0, 0);
    }

    /// The share that is let in, from 1/16 to 1.
    pub fn share(&self) -> f64 {
        self.share
    }

    /// Whether all are let in. It stays so: what comes after is for the decisions.
    pub fn is_full(&self) -> bool {
        self.share >= 1.0
    }
}
