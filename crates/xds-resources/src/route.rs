//! Routes (`envoy/config/route/v3/route_components.proto`).

use crate::{CELL_HEADER, cell_name, cold_name, whole};
use envoy_types::pb::envoy::config::route::v3::header_matcher::HeaderMatchSpecifier;
use envoy_types::pb::envoy::config::route::v3::route::Action;
use envoy_types::pb::envoy::config::route::v3::route_action::ClusterSpecifier;
use envoy_types::pb::envoy::config::route::v3::route_match::PathSpecifier;
use envoy_types::pb::envoy::config::route::v3::weighted_cluster::ClusterWeight;
use envoy_types::pb::envoy::config::route::v3::{
    HeaderMatcher, Route, RouteAction, RouteConfiguration, RouteMatch, VirtualHost, WeightedCluster,
};
use envoy_types::pb::envoy::r#type::matcher::v3::{StringMatcher, string_matcher::MatchPattern};
use plover_steering::assign::{Cell, Cold, SHARES};
use std::collections::BTreeSet;

fn matching(cell: usize, alone: bool) -> RouteMatch {
    let exact = StringMatcher {
        match_pattern: Some(MatchPattern::Exact(cell.to_string())),
        ..StringMatcher::default()
    };
    let header = HeaderMatcher {
        name: CELL_HEADER.to_owned(),
        header_match_specifier: Some(HeaderMatchSpecifier::StringMatch(exact)),
        ..HeaderMatcher::default()
    };
    RouteMatch {
        path_specifier: Some(PathSpecifier::Prefix(if alone { String::new() } else { "/".to_owned() })),
        headers: if alone { Vec::new() } else { vec![header] },
        ..RouteMatch::default()
    }
}

fn weight(name: String, share: u32) -> ClusterWeight {
    ClusterWeight { name, weight: whole(share), ..ClusterWeight::default() }
}

fn action(cell: &Cell, cold: &[Cold]) -> ClusterSpecifier {
    let cold: Vec<&Cold> = cold.iter().filter(|c| c.cell == cell.cell).collect();
    if cold.is_empty() {
        return ClusterSpecifier::Cluster(cell_name(cell.cell));
    }
    let to_cold: u32 = cold.iter().map(|c| c.share).sum();
    let mut clusters = Vec::new();
    // A cell without a warm server has nothing else to send to: what the leases do not allow is turned away.
    if !cell.endpoints.is_empty() {
        clusters.push(weight(cell_name(cell.cell), SHARES.saturating_sub(to_cold).max(1)));
    }
    clusters.extend(cold.iter().map(|c| weight(cold_name(&c.name.0), c.share)));
    ClusterSpecifier::WeightedClusters(WeightedCluster { clusters, ..WeightedCluster::default() })
}

/// The route configuration, and the clusters that it points at.
pub(crate) fn of_cells(name: &str, cells: &[Cell], cold: &[Cold]) -> (RouteConfiguration, BTreeSet<String>) {
    let mut needs: BTreeSet<String> = cells.iter().map(|c| cell_name(c.cell)).collect();
    let known: Vec<&Cold> = cold.iter().filter(|c| cells.iter().any(|cell| cell.cell == c.cell)).collect();
    needs.extend(known.iter().map(|c| cold_name(&c.name.0)));
    let route = |cell: &Cell| Route {
        name: cell_name(cell.cell),
        r#match: Some(matching(cell.cell, cells.len() == 1)),
        action: Some(Action::Route(RouteAction {
            cluster_specifier: Some(action(cell, cold)),
            ..RouteAction::default()
        })),
        ..Route::default()
    };
    let host = VirtualHost {
        name: name.to_owned(),
        domains: vec!["*".to_owned()],
        routes: cells.iter().map(route).collect(),
        ..VirtualHost::default()
    };
    let configuration = RouteConfiguration {
        name: name.to_owned(),
        virtual_hosts: vec![host],
        ..RouteConfiguration::default()
    };
    (configuration, needs)
}
