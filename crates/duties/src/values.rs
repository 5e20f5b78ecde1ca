//! Typed values of duties: names, numbers that only grow, and the arithmetic of leases.

use plover_model::time::Micros;
use serde::{Deserialize, Serialize};
use std::fmt;

/// The longest name of a duty, in bytes.
pub const DUTY_NAME_MAX: usize = 32;
/// The longest name of a broker, in bytes.
pub const BROKER_NAME_MAX: usize = 64;

/// A name that cannot be taken.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
#[error("`{name}` is no {of}: 1 to {max} of a-z, 0-9, `-`, `_` and `.` are wanted")]
pub struct BadName {
    /// What was given, cut to 80 characters.
    pub name: String,
    /// What it should have been.
    pub of: &'static str,
    /// The longest.
    pub max: usize,
}

fn checked(name: String, of: &'static str, max: usize) -> Result<String, BadName> {
    let fits = |b: u8| b.is_ascii_lowercase() || b.is_ascii_digit() || matches!(b, b'-' | b'_' | b'.');
    match (1..=max).contains(&name.len()) && name.bytes().all(fits) {
        true => Ok(name),
        false => Err(BadName { name: name.chars().take(80).collect(), of, max }),
    }
}

macro_rules! name {
    ($(#[$doc:meta])* $type:ident, $of:literal, $max:ident) => {
        $(#[$doc])*
        #[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
        #[serde(try_from = "String", into = "String")]
        pub struct $type(String);

        impl $type {
            /// Checks a name.
            ///
            /// # Errors
            /// Where it is empty, too long, or has other characters.
            pub fn new(name: impl Into<String>) -> Result<Self, BadName> {
                checked(name.into(), $of, $max).map($type)
            }

            /// As text.
            pub fn as_str(&self) -> &str {
                &self.0
            }
        }

        impl TryFrom<String> for $type {
            type Error = BadName;
            fn try_from(name: String) -> Result<Self, BadName> {
                $type::new(name)
            }
        }

        impl From<$type> for String {
            fn from(name: $type) -> String {
                name.0
            }
        }

        impl fmt::Display for $type {
            fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                f.write_str(&self.0)
            }
        }
    };
}

name!(
    /// The name of a duty.
    DutyName, "name of a duty", DUTY_NAME_MAX
);
name!(
    /// The name of a broker.
    BrokerName, "name of a broker", BROKER_NAME_MAX
);

impl DutyName {
    /// Moving shards.
    pub fn reshard() -> Self {
        DutyName("reshard".into())
    }

    /// Telling other proxies of decisions.
    pub fn publish() -> Self {
        DutyName("publish".into())
    }
}

/// The fencing token of a grant: 0 before the first, one more with each.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Token(pub u64);

/// The keepers' term in which a grant was written: it grows with each election among them.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Term(pub u64);

/// A keeper's identity, from 1. One that lost its disk comes back under a number never used before.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct KeeperId(pub u64);

/// One life of a broker: two processes of one name, as in an upgrade, are two.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Process {
    /// Whose.
    pub broker: BrokerName,
    /// Drawn at the start; no two lives of a broker share it.
    pub start: u64,
}

/// The number of a process's ask, growing within its life: the answer names it, so that the asker knows its moment.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct AskId(pub u64);

/// The number of a piece of work within a duty, growing over all its holders.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct WorkId(pub u64);

/// How far any clock may run from true time, in parts per million of the span measured; below one million.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Drift(u32);

const MILLION: u128 = 1_000_000;

impl Drift {
    /// A bound; what is a million or more counts as the largest there is.
    pub fn ppm(ppm: u32) -> Self {
        Drift(ppm.min(999_999))
    }
}

/// How long a grant holds: the keepers' span.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Lease {
    span: Micros,
    drift: Drift,
}

impl Lease {
    /// A lease of `span` on each keeper's clock, under a bound on drift.
    pub fn new(span: Micros, drift: Drift) -> Self {
        Lease { span, drift }
    }

    /// The keepers' span: from when each applied the grant, on its own clock.
    pub fn kept(&self) -> Micros {
        self.span
    }

    /// The holder's span: from before it asked, on its own clock.
    ///
    /// With the drift d, a keeper's span L ends no sooner than L/(1+d) of true time, and a holder's span H no later than
    /// H/(1-d). Holder first means H/(1-d) < L/(1+d), hence H < L(1-d)/(1+d); here it is rounded down and one less.
    pub fn held(&self) -> Micros {
        // One that came in a word is not bounded.
        let d = u128::from(self.drift.0).min(MILLION - 1);
        let held = u128::from(self.span) * (MILLION - d) / (MILLION + d);
        u64::try_from(held).unwrap_or(u64::MAX).saturating_sub(1)
    }
}
