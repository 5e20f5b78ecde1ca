//! What the control sweeps share: a discovery with a list, hollow and real brokers that watch it, and what they cost over a
//! stretch of time.

mod real;
pub mod simulated;
mod spread;
mod watchers;
mod window;

pub use real::Real;
pub use spread::Spread;
pub use watchers::{Told, Watchers};
pub use window::{Begun, Peak, Window, await_reached, own_cpu, peak_while, reached_after};

use crate::discovery::{Discovery, Entry, known};
use crate::hollow_broker::{self, Hollows};
use crate::plan::Plan;
use serde_json::{Value, json};
use std::io;
use std::ops::Range;
use std::path::Path;
use std::time::Duration;

/// Zones of the fleet ahead.
pub const ZONES: u32 = 19;
/// Cells of the list: rows of a fleet of some size.
const CELLS: u32 = 12;
/// Descriptors and memory that each broker is told to have.
const SOCKETS: u64 = 1024;
const MEMORY_MB: u64 = 192;
/// What all brokers are told; each has its own by its number.
const SEED: u64 = 0x8c1f_30d2_7a5b_e964;

/// A list, and the discovery that has it.
pub struct Site {
    /// Where it is asked.
    pub discovery: Discovery,
    /// The list at the start.
    pub entries: Vec<Entry>,
}

impl Site {
    /// A discovery with a list of so many servers.
    pub fn start(servers: u32) -> io::Result<Site> {
        let entries = Entry::fleet(servers, CELLS, ZONES);
        Ok(Site { discovery: Discovery::start(&entries)?, entries })
    }

    /// What a broker of a fleet of so many is told: `known` is the list as of the start.
    pub fn configuration(&self, brokers: u32) -> Value {
        let class = |name: &str, semantics: &str| {
            json!({"Name": name, "Aim": 1500.0, "GiveUp": 4000.0, "Gain": 1.0, "LateWorth": 0.3,
                "Semantics": semantics, "MemorySpan": 5000.0})
        };
        let zones: Vec<String> = (0..ZONES).map(Entry::zone_name).collect();
        let settings = json!({
            "Allowed": {"Cancel": true, "DialTimeout": 250.0, "Keepalive": 15000.0, "MaxOpen": 10_000,
                "MaxRetryAfter": 2000.0, "Multiplex": 100, "Peers": false, "Probes": true, "RetryAfter": true,
                "SecondCopies": false, "SendCap": 4},
            "Clients": {"MarksRetry": true},
            "FamilyInfo": {"Batch": 4, "Call": 1.0, "ClassNeed": [1.0, 0.7], "FetchParts": [0, 0],
                "MinShare": [1.0, 0.5], "PartialEarns": [0.9, 0.9], "Positions": CELLS, "Shards": 690, "Width": 1},
            "MembershipMode": "pushed", "OverShareWorth": 0.1, "PeersTotal": brokers.max(1),
            "Projects": [{"Name": "public", "QuotaPerS": 100_000.0, "Share": 1.0}],
            "Rules": {"AskWithin": 10000.0, "Cold": 16000.0, "ColdFrom": 0.18, "Fall": 1000.0, "FallMultiple": 2.5},
            "Services": [class("lookup", "repeatable"), class("ranking", "repeatable")],
            "Tick": 5.0, "WorthBy": "request", "Zones": zones
        });
        json!({"name": "b", "listen": "127.0.0.1:0", "discovery": self.discovery.address.to_string(),
            "seed": format!("{SEED:016x}"), "limits": {"sockets": SOCKETS, "memory_mb": MEMORY_MB},
            "known": known(Discovery::FIRST, &self.entries), "settings": settings})
    }

    /// Starts hollow brokers of a fleet that has as many as the highest number; with a way back, where `paced`.
    pub fn hollows(
        &self,
        plan: &Plan,
        numbers: Range<u32>,
        in_process: u32,
        paced: bool,
    ) -> io::Result<Hollows> {
        let brokers = numbers.end;
        let operator = if paced { come_back(brokers) } else { String::new() };
        let configuration = self.configuration(brokers);
        Hollows::start(&plan.rig, &plan.guard, numbers, in_process, &configuration, &operator)
    }

    /// Starts so many real brokers of a fleet of as many.
    pub fn real(&self, plan: &Plan, count: u32, program: &Path) -> io::Result<Vec<Real>> {
        let configuration = self.configuration(count);
        (0..count).map(|n| Real::start(plan, program, &configuration, n, "")).collect()
    }

    /// Waits until so many watch: each has a connection, and had its first answer.
    pub fn await_watchers(&self, count: u32, within: Duration) -> io::Result<()> {
        window::until(within, "watchers", || {
            let c = self.discovery.counts();
            c.opened - c.closed >= u64::from(count) && c.whole + c.changes + c.empty >= u64::from(count)
        })
    }

    /// Copies of the first so many entries as they stand after a start of all of them.
    pub fn restarted(&self, count: u32, boot_ms: u64) -> Vec<Entry> {
        self.entries.iter().take(count as usize).map(|e| Entry { boot_ms, ..*e }).collect()
    }
}

/// What the broker of that number is told, where this is for all of a fleet: a name and a seed of its own, as hollow ones have.
pub fn numbered(configuration: &Value, number: u32) -> Value {
    let mut own = configuration.clone();
    own["name"] = format!("b{number:05}").into();
    own["seed"] = format!("{:016x}", hollow_broker::seed(SEED, number)).into();
    own
}

/// The operator's file of a broker that comes back in a fleet of so many: it asks for the whole list, at the fleet's pace.
pub fn come_back(brokers: u32) -> String {
    format!("come-back-fleet {}\ncome-back-ask 60s\n", brokers.clamp(2, 4096))
}
