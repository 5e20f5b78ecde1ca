//! Configurations that clients may apply, as the processes of one broker report them to each other.
//!
//! Reported times are on the machine's monotonic clock, which all its processes share. `Micros::MAX` is a
//! time that is not known yet.

use crate::time::Micros;
use brookbend::api::Class;
use serde::{Deserialize, Serialize};

/// A class with its name.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct NamedClass {
    /// Name of the class.
    pub name: String,
    /// Settings of the class.
    pub class: Class,
}

/// A configuration, and the time in which clients apply it.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ConfigurationPeriod {
    /// Time from which clients apply it; 0 if that was before anything that is known.
    pub from: Micros,
    /// Time from which clients apply its successor; `Micros::MAX` if there is none.
    pub until: Micros,
    /// The classes. Where configurations were merged, a name may occur several times.
    pub classes: Vec<NamedClass>,
    /// Names of the tenants.
    pub tenants: Vec<String>,
    /// Number of shards.
    pub shards: usize,
    /// Whether several configurations were merged.
    pub is_merged: bool,
}

/// Limits of the settings that were in force before a change. Until the new settings take effect, the
/// stricter of both apply.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct PreviousLimits {
    /// Time at which the new settings take effect.
    pub until: Micros,
    /// Maximum number of attempts at a part.
    pub max_attempts: u32,
    /// Longest time that a client waits.
    pub max_client_timeout: Micros,
}

impl PreviousLimits {
    /// The stricter one of two limits each, for as long as either holds.
    #[must_use]
    pub fn stricter_of(self, other: PreviousLimits) -> PreviousLimits {
        PreviousLimits {
            until: self.until.max(other.until),
            max_attempts: self.max_attempts.min(other.max_attempts),
            max_client_timeout: self.max_client_timeout.min(other.max_client_timeout),
        }
    }
}

/// What a process knows of the configurations that clients may apply.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct ConfigurationReport {
    /// The configurations in use, the current one of the process last.
    pub periods: Vec<ConfigurationPeriod>,
    /// Limits of the settings in force and of earlier ones that still hold, the stricter of both.
    pub limits: Option<PreviousLimits>,
    /// Time at which the process last read new settings, on its operator's signal; `None` if it never did.
    pub reloaded_at: Option<Micros>,
}
