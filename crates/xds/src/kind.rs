//! Kinds of resources.

/// A kind of resource, in the order in which updates of several kinds go out: what is pointed at comes first.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Kind {
    /// A cluster (CDS).
    Cluster,
    /// A cluster's endpoints (EDS).
    Endpoints,
    /// A listener (LDS).
    Listener,
    /// A route configuration (RDS).
    Route,
}

impl Kind {
    /// All kinds, in order.
    pub const ALL: [Kind; 4] = [Kind::Cluster, Kind::Endpoints, Kind::Listener, Kind::Route];

    /// The name by which the protocol knows it.
    pub fn type_url(self) -> &'static str {
        match self {
            Kind::Cluster => "type.googleapis.com/envoy.config.cluster.v3.Cluster",
            Kind::Endpoints => "type.googleapis.com/envoy.config.endpoint.v3.ClusterLoadAssignment",
            Kind::Listener => "type.googleapis.com/envoy.config.listener.v3.Listener",
            Kind::Route => "type.googleapis.com/envoy.config.route.v3.RouteConfiguration",
        }
    }

    /// The kind of this name; `None`: nothing that is told here.
    pub fn of(type_url: &str) -> Option<Kind> {
        Kind::ALL.into_iter().find(|k| k.type_url() == type_url)
    }

    /// The usual short name.
    pub fn short(self) -> &'static str {
        match self {
            Kind::Cluster => "cds",
            Kind::Endpoints => "eds",
            Kind::Listener => "lds",
            Kind::Route => "rds",
        }
    }

    /// Whether it may be asked for without names, and a state-of-the-world response holds all of it, so that what is
    /// left out is gone.
    pub fn is_whole(self) -> bool {
        matches!(self, Kind::Cluster | Kind::Listener)
    }

    pub(crate) fn place(self) -> usize {
        self as usize
    }
}
