//! A small deployment round a fleet: the configuration that its broker is started with.

use crate::Fleet;
use serde_json::{Value, json};
use std::net::SocketAddr;

/// Figures of a deployment that differ from rig to rig.
#[derive(Clone, Copy, Debug)]
pub struct Deployment {
    /// Cells of the fleet.
    pub cells: usize,
    /// Shards; each cell holds every so many'th.
    pub shards: usize,
    /// Most queries and parts in hand.
    pub max_open: usize,
    /// Most parts in a call.
    pub batch: usize,
    /// Time between turns, in milliseconds.
    pub tick_ms: f64,
    /// Descriptors.
    pub sockets: usize,
    /// Memory, in MB.
    pub memory_mb: usize,
}

impl Default for Deployment {
    fn default() -> Self {
        Deployment {
            cells: 1,
            shards: 8,
            max_open: 1000,
            batch: 4,
            tick_ms: 5.0,
            sockets: 1024,
            memory_mb: 192,
        }
    }
}

impl Deployment {
    /// What the decisions are told.
    pub fn settings(&self) -> Value {
        let class = |name: &str, gain: f64, semantics: &str| {
            json!({"Name": name, "Aim": 1500.0, "GiveUp": 4000.0, "Gain": gain, "LateWorth": 0.3,
                "Semantics": semantics, "MemorySpan": 5000.0})
        };
        json!({
            "Allowed": {"Cancel": true, "DialTimeout": 250.0, "Keepalive": 15000.0, "MaxOpen": self.max_open,
                "MaxRetryAfter": 2000.0, "Multiplex": 100, "Peers": false, "Probes": true, "RetryAfter": true,
                "SecondCopies": false, "SendCap": 4},
            "Clients": {"MarksRetry": true},
            "FamilyInfo": {"Batch": self.batch, "Call": 1.0, "ClassNeed": [1.0, 1.0, 1.0], "FetchParts": [0, 0, 0],
                "MinShare": [1.0, 1.0, 0.7], "PartialEarns": [0.9, 0.9, 0.9], "Positions": self.cells,
                "Shards": self.shards, "Width": 1},
            "MembershipMode": "pushed", "OverShareWorth": 0.1, "PeersTotal": 1,
            "Projects": [{"Name": "public-site", "QuotaPerS": 100_000.0, "Share": 1.0}],
            "Rules": {"AskWithin": 10000.0, "Cold": 16000.0, "ColdFrom": 0.18, "Fall": 1000.0, "FallMultiple": 2.5},
            "Services": [class("lookup", 1.0, "repeatable"), class("watchlist-save", 1.0, "by_key"),
                class("ranking", 2.0, "repeatable")],
            "Tick": self.tick_ms, "WorthBy": "request", "Zones": ["z"]
        })
    }

    /// The whole configuration of a broker that listens there.
    pub fn configuration(&self, fleet: &Fleet, listen: &str) -> Value {
        self.around(fleet.discovery, fleet.known(), listen)
    }

    /// The same round a discovery, with a list that is known at the start.
    pub fn around(&self, discovery: SocketAddr, known: &Value, listen: &str) -> Value {
        json!({"name": "stand-in", "listen": listen, "discovery": discovery.to_string(),
            "seed": "8c1f30d27a5be964", "limits": {"sockets": self.sockets, "memory_mb": self.memory_mb},
            "known": known, "settings": self.settings()})
    }
}
