//! How the work of `control`'s hub grows, without sockets: a turn after one drain, and a proxy's report, by proxies, endpoints
//! and cells. It prints JSON, no verdict.

use plover_core::Core;
use plover_director::{ClusterLoad, Director, EndpointLoad, Figures, Node};
use plover_model::server::{ListScope, NodeId, NodeState, ServerInfo};
use plover_model::time::{MILLI, Micros, SECOND};
use plover_standins::Deployment;
use plover_steering::assign::Instance;
use plover_steering::leases::Times;
use plover_steering::{cold, quorum};
use plover_xds::Kind;
use plover_xds_resources::Frame;
use std::net::SocketAddr;
use std::time::Instant;

const TIMES: Times =
    Times { time_to_live: 2 * SECOND, longest_request: 4 * SECOND, longest_pause: 10 * SECOND };

fn director(cells: usize) -> Director {
    let none = serde_json::json!({"rev": 0, "all": true, "targets": []});
    let nowhere = SocketAddr::from(([127, 0, 0, 1], 1));
    let configuration = Deployment { cells, ..Deployment::default() }.around(nowhere, &none, "127.0.0.1:0");
    let config = plover_config::check(&configuration, |_| None).expect("a sound configuration");
    let frame = Frame {
        name: "ploverport".into(),
        zones: config.names.zones.clone(),
        dial: 250 * MILLI,
        time_to_live: TIMES.time_to_live,
        cut_off: None,
    };
    let cold = cold::Rule {
        from: 0.18,
        warm_after: 16 * SECOND,
        multiple: 2.5,
        window: SECOND,
        capacity: 2e6,
        work: 126_000.0,
    };
    let instance = Instance { number: 0, of: 1 };
    let figures = Figures { frame, cold, quorum: quorum::Rule::USUAL, times: TIMES, instance, talks: false };
    Director::new(0, Core::new(config.settings, 1, 1), figures)
}

fn address(n: usize) -> SocketAddr {
    SocketAddr::from(([10, 0, (n / 250) as u8, (n % 250) as u8], 9000))
}

fn server(n: usize, cells: usize, state: NodeState) -> (ServerInfo, Option<SocketAddr>) {
    let name = NodeId(format!("s{n:05}").into());
    (ServerInfo { name, cell: n % cells, state, zone: Some(0), started_at: None }, Some(address(n)))
}

/// The least of some times, in microseconds: what others do on the machine only adds.
fn least(times: &[f64]) -> f64 {
    times.iter().copied().fold(f64::INFINITY, f64::min)
}

fn measure(proxies: usize, endpoints: usize, cells: usize) -> serde_json::Value {
    let mut director = director(cells);
    let all = (0..endpoints).map(|n| server(n, cells, NodeState::Serving)).collect();
    director.learn(0, ListScope::Complete, all);
    for id in 0..proxies as u64 {
        director.opened(0, id, Node { id: format!("p{id}").into(), heeds_time_to_live: true });
        director.asked(id, Kind::Endpoints, &[]);
    }
    let mut now: Micros = 60 * SECOND;
    let _ = director.turn(now);
    let (mut turns, mut reports) = (Vec::new(), Vec::new());
    for n in 0..12 {
        now += SECOND;
        let state = if n % 2 == 0 { NodeState::Draining } else { NodeState::Serving };
        director.learn(now, ListScope::Changes, vec![server(n / 2, cells, state)]);
        let begun = Instant::now();
        let turn = director.turn(now);
        turns.push(begun.elapsed().as_secs_f64() * 1e6);
        assert!(turn.changed, "a drain is told");
    }
    let widest = endpoints.min(690);
    let loads: Vec<ClusterLoad> = (0..cells.min(widest))
        .map(|cell| ClusterLoad {
            name: format!("cell-{cell}"),
            interval: 2 * SECOND,
            issued: 100,
            in_progress: 1,
            endpoints: (cell..widest)
                .step_by(cells)
                .map(|n| EndpointLoad { address: address(n), served: 31, failed: 0 })
                .collect(),
        })
        .collect();
    for n in 0..20 {
        now += MILLI;
        let begun = Instant::now();
        director.report(now, &format!("p{n}"), &loads);
        reports.push(begun.elapsed().as_secs_f64() * 1e6);
    }
    serde_json::json!({"proxies": proxies, "endpoints": endpoints, "cells": cells,
        "turn_us": least(&turns).round(), "report_us": least(&reports).round(), "report_endpoints": widest})
}

fn main() {
    let mut rows = Vec::new();
    for endpoints in [500, 1000, 2000, 4000, 7800] {
        rows.push(measure(100, endpoints, 1));
        rows.push(measure(100, endpoints, 690));
    }
    for proxies in [200, 400, 800, 1600] {
        rows.push(measure(proxies, 7800, 690));
    }
    println!("{}", serde_json::Value::from(rows));
}
