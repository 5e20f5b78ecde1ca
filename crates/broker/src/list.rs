//! The list of data servers: the decisions and the pools learn of it in the same turn.

use crate::upstream::Upstream;
use plover_core::Core;
use plover_model::server::{ListScope, NodeId, NodeState, ServerInfo, Targets};
use plover_model::snapshot::Snapshot;
use plover_model::time::Micros;
use plover_runtime::clock::Clock;
use std::collections::BTreeSet;
use std::net::SocketAddr;

/// What the list is read by.
pub(crate) struct List {
    pub(crate) clock: Clock,
    /// Names of zones, in the settings' order.
    pub(crate) zones: Vec<String>,
    /// The version in force.
    pub(crate) rev: u64,
}

impl List {
    /// Takes news of the list.
    pub(crate) fn learn(
        &mut self,
        now: Micros,
        scope: ListScope,
        targets: &Targets,
        core: &mut Core,
        upstream: &mut Upstream,
    ) {
        self.rev = targets.rev;
        let servers = targets.servers(&self.zones, |ms| self.clock.of_unix_ms(ms));
        if scope != ListScope::Changes {
            let named: BTreeSet<&NodeId> = servers.iter().map(|s| &s.name).collect();
            for name in upstream.serving().iter().filter(|name| !named.contains(name)) {
                upstream.learn(now, name.clone(), None);
            }
        }
        for (server, target) in servers.iter().zip(&targets.targets) {
            let endpoint = target.endpoint.filter(|_| server.state == NodeState::Serving);
            upstream.learn(now, server.name.clone(), endpoint);
        }
        core.learn(scope, servers);
    }

    /// Takes from what the process before this one knew which servers were leaving, where its list was no older.
    pub(crate) fn drain(&self, now: Micros, recall: &Snapshot, core: &mut Core, upstream: &mut Upstream) {
        if recall.rev < self.rev {
            return;
        }
        let leaves: BTreeSet<&str> =
            recall.servers.iter().filter(|s| s.draining_or_gone).map(|s| s.name.as_str()).collect();
        let nowhere = SocketAddr::from(([0, 0, 0, 0], 0));
        let views = core.views(now, |_| Some(nowhere)).into_iter();
        let drains = views.filter(|v| v.state == NodeState::Serving && leaves.contains(&*v.name.0));
        let drains: Vec<ServerInfo> = drains
            .map(|v| ServerInfo {
                name: v.name,
                cell: v.cell,
                state: NodeState::Draining,
                zone: v.zone,
                started: None,
            })
            .collect();
        drains.iter().for_each(|s| upstream.learn(now, s.name.clone(), None));
        core.learn(ListScope::Changes, drains);
    }
}
