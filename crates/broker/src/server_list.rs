//! The list of data servers. Changes to it reach the decision module and the connection pools in the same
//! turn.

use crate::upstream::Upstream;
use plover_core::Core;
use plover_model::server::{ListScope, NodeId, NodeState, ServerInfo, Targets};
use plover_model::snapshot::Snapshot;
use plover_model::time::Micros;
use plover_runtime::clock::Clock;
use std::collections::BTreeSet;
use std::net::SocketAddr;

/// What is needed to interpret a server list.
pub(crate) struct ServerList {
    pub(crate) clock: Clock,
    /// Names of zones, in the settings' order.
    pub(crate) zones: Vec<String>,
    /// The revision of the list in force.
    pub(crate) rev: u64,
}

impl ServerList {
    /// Applies a list or changes to it.
    pub(crate) fn apply(
        &mut self,
        now: Micros,
        scope: ListScope,
        targets: &Targets,
        core: &mut Core,
        upstream: &mut Upstream,
    ) {
        self.rev = targets.rev;
        let servers = targets.servers(&self.zones, |ms| self.clock.at_unix_ms(ms));
        if scope != ListScope::Changes {
            let named: BTreeSet<&NodeId> = servers.iter().map(|s| &s.name).collect();
            for name in upstream.serving().iter().filter(|name| !named.contains(name)) {
                upstream.set_endpoint(now, name.clone(), None);
            }
        }
        for (server, target) in servers.iter().zip(&targets.targets) {
            let endpoint = target.endpoint.filter(|_| server.state == NodeState::Serving);
            upstream.set_endpoint(now, server.name.clone(), endpoint);
        }
        core.update_servers(scope, servers);
    }

    /// Marks the servers as draining that were leaving by the previous process's snapshot, unless its list
    /// was older.
    pub(crate) fn apply_drains(
        &self,
        now: Micros,
        snapshot: &Snapshot,
        core: &mut Core,
        upstream: &mut Upstream,
    ) {
        if snapshot.rev < self.rev {
            return;
        }
        let leaving: BTreeSet<&str> =
            snapshot.servers.iter().filter(|s| s.draining_or_gone).map(|s| s.name.as_str()).collect();
        let unused_address = SocketAddr::from(([0, 0, 0, 0], 0));
        let views = core.server_statuses(now, |_| Some(unused_address)).into_iter();
        let drained = views.filter(|v| v.state == NodeState::Serving && leaving.contains(&*v.name.0));
        let drained: Vec<ServerInfo> = drained
            .map(|v| ServerInfo {
                name: v.name,
                cell: v.cell,
                state: NodeState::Draining,
                zone: v.zone,
                started_at: None,
            })
            .collect();
        drained.iter().for_each(|s| upstream.set_endpoint(now, s.name.clone(), None));
        core.update_servers(ListScope::Changes, drained);
    }
}
