//! The list of data servers, as discovery sends it and as the decision module uses it.

use crate::time::Micros;
use serde::Deserialize;
use std::net::SocketAddr;

pub use brookbend::api::{NodeId, NodeState, Outcome};

/// An entry of the list, as the decision module uses it.
#[derive(Clone, Debug)]
pub struct ServerInfo {
    /// Name of the server, unique in the list.
    pub name: NodeId,
    /// Index of the cell that the server belongs to.
    pub cell: usize,
    /// State of the server in the list.
    pub state: NodeState,
    /// Index of the zone of the server; `None` if the zone is unknown.
    pub zone: Option<usize>,
    /// Time at which the process of the server last started, on the program's clock in microseconds. It is
    /// negative if that was before the origin of the clock, and `None` if it was long ago.
    pub started_at: Option<i64>,
}

/// A data server with its address and with its health as the decision module estimates it.
#[derive(Clone, Debug, PartialEq)]
pub struct ServerStatus {
    /// Name of the server, unique in the list.
    pub name: NodeId,
    /// Address that the server listens on.
    pub endpoint: SocketAddr,
    /// Index of the cell that the server belongs to. Servers of one cell hold the same shards.
    pub cell: usize,
    /// Index of the zone of the server; `None` if the zone is unknown.
    pub zone: Option<usize>,
    /// State of the server in the list.
    pub state: NodeState,
    /// Time until which the server is ejected because of its failures; `None` if it isn't ejected.
    pub ejected_until: Option<Micros>,
    /// Time at which the process of the server started; `None` if the server is warm.
    pub cold_since: Option<Micros>,
    /// Answer time per unit of outstanding work relative to the whole fleet: 1 is average, 2 is half as fast.
    pub pace: f64,
}

/// The part of the list that an update contains.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ListScope {
    /// The complete list as it was last known, which may be outdated.
    Cached,
    /// The complete, current list.
    Complete,
    /// Only the entries that changed.
    Changes,
}

/// The complete list, or changes to it, as discovery sends it.
#[derive(Clone, Debug, Deserialize)]
pub struct Targets {
    /// Version of the list.
    pub rev: u64,
    /// Whether `targets` is the complete list, as opposed to changed entries.
    pub all: bool,
    /// Entries of the list.
    pub targets: Vec<Target>,
}

/// An entry of the list, as discovery sends it.
#[derive(Clone, Debug, Deserialize)]
pub struct Target {
    /// Name of the server, unique in the list.
    pub uid: String,
    /// Address that the server listens on, as seen from this broker. A server that has left may have none.
    pub endpoint: Option<SocketAddr>,
    /// Name of the zone of the server; empty if the entry has none.
    #[serde(default)]
    pub az: String,
    /// Index of the cell that the server belongs to.
    #[serde(default)]
    pub pod_group: usize,
    /// State of the server.
    pub state: TargetState,
    /// Time at which the server last started, in Unix milliseconds; 0 if that was long ago.
    #[serde(default)]
    pub boot_ms: f64,
}

/// State of a data server, as discovery sends it.
#[derive(Clone, Copy, Debug, Deserialize, PartialEq, Eq)]
#[serde(rename_all = "lowercase")]
pub enum TargetState {
    /// The server takes new parts.
    Active,
    /// The server finishes its open parts and takes no new ones.
    Leaving,
    /// The server has been removed.
    Left,
}

impl Targets {
    /// Returns the scope of this update for the decision module.
    pub fn scope(&self) -> ListScope {
        if self.all { ListScope::Complete } else { ListScope::Changes }
    }

    /// Converts the entries for the decision module. `clock_from_unix_ms` converts a Unix time in
    /// milliseconds to the program's clock in microseconds.
    pub fn servers(&self, zones: &[String], clock_from_unix_ms: impl Fn(i64) -> i64) -> Vec<ServerInfo> {
        let server = |t: &Target| ServerInfo {
            name: NodeId(t.uid.as_str().into()),
            cell: t.pod_group,
            state: match t.state {
                TargetState::Active => NodeState::Serving,
                TargetState::Leaving => NodeState::Draining,
                TargetState::Left => NodeState::Gone,
            },
            zone: zones.iter().position(|z| *z == t.az),
            started_at: (t.boot_ms > 0.0).then(|| clock_from_unix_ms(t.boot_ms as i64)),
        };
        self.targets.iter().map(server).collect()
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn missing_fields_of_entries_have_defaults() {
        let text = r#"{"rev":43,"all":false,"targets":[
            {"uid":"a","endpoint":"127.0.0.1:80","az":"y","model":"m","pod_group":3,"state":"leaving","boot_ms":0},
            {"uid":"b","endpoint":"127.0.0.1:81","az":"?","pod_group":1,"state":"active","boot_ms":1796125500000},
            {"uid":"c","state":"left"}]}"#;
        let targets: Targets = serde_json::from_str(text).unwrap();
        let servers = targets.servers(&["x".to_owned(), "y".to_owned()], |unix_ms| unix_ms - 1);
        let decoded: Vec<_> = servers.iter().map(|s| (s.cell, s.state, s.zone, s.started_at)).collect();
        let leaving = (3, NodeState::Draining, Some(1), None);
        let active = (1, NodeState::Serving, None, Some(1_796_125_499_999));
        assert_eq!(decoded, [leaving, active, (0, NodeState::Gone, None, None)]);
        assert_eq!(targets.scope(), ListScope::Changes);
        let unknown = r#"{"rev":1,"all":true,"targets":[{"uid":"a","state":"new"}]}"#;
        assert!(serde_json::from_str::<Targets>(unknown).is_err());
    }
}
