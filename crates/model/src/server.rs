//! The list of data servers: as discovery sends it, and as the decisions see it.

use crate::time::Micros;
use serde::Deserialize;
use std::net::SocketAddr;

pub use brookbend::api::{NodeId, NodeState, Outcome};

/// A server as the list shows it.
#[derive(Clone, Debug)]
pub struct ServerInfo {
    /// Its name.
    pub name: NodeId,
    /// Its cell.
    pub cell: usize,
    /// Its state.
    pub state: NodeState,
    /// Index of its zone.
    pub zone: Option<usize>,
    /// When its process last started on the program's clock, perhaps before its origin; `None`: long ago.
    pub started_at: Option<i64>,
}

/// A server as the module sees it, and where it listens.
#[derive(Clone, Debug, PartialEq)]
pub struct ServerStatus {
    /// Its name.
    pub name: NodeId,
    /// Where it listens.
    pub endpoint: SocketAddr,
    /// Its cell: servers of one cell hold the same shards.
    pub cell: usize,
    /// Index of its zone.
    pub zone: Option<usize>,
    /// Its state in the list.
    pub state: NodeState,
    /// Until when it is passed over for its failures.
    pub ejected_until: Option<Micros>,
    /// When its process started, if it may still be cold.
    pub cold_since: Option<Micros>,
    /// Time until an answer per work out there, against the fleet's: 1 is usual, 2 half as fast.
    pub pace: f64,
}

/// What a list of servers is.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ListScope {
    /// The whole list as last known, perhaps old.
    Cached,
    /// The whole list.
    Complete,
    /// Changed entries.
    Changes,
}

/// A list, or changes of it, as discovery sends it.
#[derive(Clone, Debug, Deserialize)]
pub struct Targets {
    /// The list's version.
    pub rev: u64,
    /// Whether it is the whole list.
    pub all: bool,
    /// The entries.
    pub targets: Vec<Target>,
}

/// One data server.
#[derive(Clone, Debug, Deserialize)]
pub struct Target {
    /// Its name.
    pub uid: String,
    /// Where it listens, as this broker sees it. One that has left may have none.
    pub endpoint: Option<SocketAddr>,
    /// Its zone.
    #[serde(default)]
    pub az: String,
    /// Its cell.
    #[serde(default)]
    pub pod_group: usize,
    /// Its state.
    pub state: TargetState,
    /// When it last started, in Unix milliseconds; 0: long ago.
    #[serde(default)]
    pub boot_ms: f64,
}

/// State of a data server.
#[derive(Clone, Copy, Debug, Deserialize, PartialEq, Eq)]
#[serde(rename_all = "lowercase")]
pub enum TargetState {
    /// It serves.
    Active,
    /// It finishes what it has.
    Leaving,
    /// It has been removed.
    Left,
}

impl Targets {
    /// What the list is to the decisions.
    pub fn scope(&self) -> ListScope {
        if self.all { ListScope::Complete } else { ListScope::Changes }
    }

    /// The entries as the decisions see them; `of_unix_ms` puts a Unix time in milliseconds on the program's clock.
    pub fn servers(&self, zones: &[String], of_unix_ms: impl Fn(i64) -> i64) -> Vec<ServerInfo> {
        let server = |t: &Target| ServerInfo {
            name: NodeId(t.uid.as_str().into()),
            cell: t.pod_group,
            state: match t.state {
                TargetState::Active => NodeState::Serving,
                TargetState::Leaving => NodeState::Draining,
                TargetState::Left => NodeState::Gone,
            },
            zone: zones.iter().position(|z| *z == t.az),
            started_at: (t.boot_ms > 0.0).then(|| of_unix_ms(t.boot_ms as i64)),
        };
        self.targets.iter().map(server).collect()
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn a_list_is_read_with_what_it_leaves_out() {
        let text = r#"{"rev":43,"all":false,"targets":[
            {"uid":"a","endpoint":"127.0.0.1:80","az":"y","model":"m","pod_group":3,"state":"leaving","boot_ms":0},
            {"uid":"b","endpoint":"127.0.0.1:81","az":"?","pod_group":1,"state":"active","boot_ms":1796125500000},
            {"uid":"c","state":"left"}]}"#;
        let targets: Targets = serde_json::from_str(text).unwrap();
        let servers = targets.servers(&["x".to_owned(), "y".to_owned()], |unix_ms| unix_ms - 1);
        let seen: Vec<_> = servers.iter().map(|s| (s.cell, s.state, s.zone, s.started_at)).collect();
        let leaving = (3, NodeState::Draining, Some(1), None);
        let active = (1, NodeState::Serving, None, Some(1_796_125_499_999));
        assert_eq!(seen, [leaving, active, (0, NodeState::Gone, None, None)]);
        assert_eq!(targets.scope(), ListScope::Changes);
        let unknown = r#"{"rev":1,"all":true,"targets":[{"uid":"a","state":"new"}]}"#;
        assert!(serde_json::from_str::<Targets>(unknown).is_err());
    }
}
