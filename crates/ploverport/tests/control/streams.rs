//! Single streams, and what each is owed.

use crate::rig::{BOUND, Rig, is_healthy, is_whole, rig, rig_with, start, unix_ms, usual};
use plover_standins::Entry;
use plover_xds::{Kind, Variant};
use plover_xds_client::{Behaviour, Options, State, Style};
use std::time::Duration;

fn four() -> Vec<Entry> {
    (0..4).map(|n| Entry::active(n, n as usize % 2)).collect()
}

const MANNERS: [(Variant, Style); 4] = [
    (Variant::Sotw, Style::Envoy),
    (Variant::Delta, Style::Envoy),
    (Variant::Sotw, Style::Grpc),
    (Variant::Delta, Style::Grpc),
];

#[test]
fn proxies_of_every_manner_are_told_the_same() {
    let rig = rig(&four());
    rig.run(async {
        let mut told = Vec::new();
        for (n, (variant, style)) in MANNERS.into_iter().enumerate() {
            let proxy = rig.connect(usual(&format!("p{n}"), variant, style), State::default()).await;
            assert!(proxy.until(BOUND, is_whole).await, "{variant:?} {style:?}");
            assert!(proxy.state(|s| four().iter().all(|e| is_healthy(s, e))));
            told.push(proxy.state(|s| [Kind::Cluster, Kind::Endpoints, Kind::Route].map(|k| s.versions(k))));
        }
        assert!(told.iter().all(|t| *t == told[0]));
    });
}

/// Two instances that see the same list say the same, so that a proxy that moves between them holds what it is owed.
#[test]
fn instances_and_restarts_say_the_same_of_the_same_state() {
    let rig = rig(&four());
    let (_other, listen) = start(&rig.list, "control-instances 2\ncontrol-instance 1\n");
    rig.run(async {
        let first = rig.connect(usual("p", Variant::Delta, Style::Envoy), State::default()).await;
        assert!(first.until(BOUND, is_whole).await);
        let held = first.disconnect();
        let second =
            plover_xds_client::Proxy::connect(listen, usual("p", Variant::Delta, Style::Envoy), held);
        let second = second.await.unwrap();
        assert!(second.until(BOUND, |s| !s.updates.is_empty()).await);
        tokio::time::sleep(Duration::from_millis(300)).await;
        let told: Vec<_> = second.state(|s| s.updates.iter().flat_map(|u| u.names.clone()).collect());
        assert_eq!(told, Vec::<String>::new(), "it held all of that");
    });
}

/// What changed while a proxy was away is in the first response of its kind: a drained server included.
#[test]
fn a_proxy_that_comes_back_is_corrected_at_once() {
    let rig = rig(&four());
    rig.run(async {
        for (variant, style) in MANNERS {
            let entry = four()[0];
            rig.list.set(&[entry]);
            let options = usual("p", variant, style);
            let proxy = rig.connect(options.clone(), State::default()).await;
            assert!(proxy.until(BOUND, |s| is_whole(s) && is_healthy(s, &entry)).await);
            let held = proxy.disconnect();
            rig.list.set(&[Entry { state: "leaving", ..entry }]);
            // Another proxy shows when the service knows.
            let other = rig.connect(usual("other", Variant::Delta, Style::Envoy), State::default()).await;
            assert!(other.until(BOUND, |s| is_whole(s) && !is_healthy(s, &entry)).await);
            let back = rig.connect(options, held).await;
            let corrected = |s: &State| s.updates.iter().any(|u| u.kind == Kind::Endpoints);
            assert!(back.until(BOUND, corrected).await);
            assert!(back.state(|s| !is_healthy(s, &entry)), "{variant:?} {style:?}");
        }
    });
}

/// Not knowing is not the same as none.
#[test]
fn nothing_is_told_before_the_list_is_known_and_no_empty_one_after() {
    let mut rig = rig(&[]);
    rig.run(async {
        let proxies = [Variant::Sotw, Variant::Delta].map(|v| usual("p", v, Style::Envoy));
        let mut open = Vec::new();
        for options in proxies {
            open.push(rig.connect(options, State::default()).await);
        }
        tokio::time::sleep(Duration::from_millis(300)).await;
        assert!(open.iter().all(|p| p.state(|s| s.updates.is_empty())));
        rig.list.set(&four());
        for proxy in &open {
            assert!(proxy.until(BOUND, is_whole).await);
        }
        // Discovery down: what was told stays, and new proxies are told it too.
        rig.list.silence(true);
        let late = rig.connect(usual("late", Variant::Delta, Style::Grpc), State::default()).await;
        assert!(late.until(BOUND, is_whole).await);
    });
    rig.program.logged("event=control_ready").unwrap();
}

#[test]
fn what_a_proxy_refuses_is_logged_with_its_words_and_not_repeated() {
    let mut rig = rig(&four());
    rig.run(async {
        for variant in [Variant::Sotw, Variant::Delta] {
            let behaviour = Behaviour::RefusesAll;
            let options = Options { behaviour, ..usual("refuses", variant, Style::Envoy) };
            let proxy = rig.connect(options, State::default()).await;
            assert!(proxy.until(BOUND, |s| s.refused > 0).await);
            // Another is told of a change after that: whatever this one is owed went out before.
            let other = rig.connect(usual("other", variant, Style::Envoy), State::default()).await;
            assert!(other.until(BOUND, is_whole).await);
            tokio::time::sleep(Duration::from_millis(500)).await;
            let refused = proxy.state(|s| (s.refused, s.versions(Kind::Cluster).len()));
            assert_eq!(refused, (1, 0), "{variant:?}: it is told the same again and again, or applied it");
        }
    });
    let line = rig.program.logged("event=xds_refused").unwrap();
    assert!(line.contains("refused by the script") && line.contains("kind=cds"), "{line}");
}

/// One that reads nothing for a while, with changes meanwhile: it is sent what holds now, and costs no memory for each.
#[test]
fn a_proxy_that_does_not_read_is_told_the_newest_state_alone() {
    let many: Vec<Entry> = (0..2000).map(|n| Entry::active(n, 0)).collect();
    let rig = rig(&many);
    rig.run(async {
        let slow = rig.connect(usual("slow", Variant::Delta, Style::Envoy), State::default()).await;
        let quick = rig.connect(usual("quick", Variant::Delta, Style::Envoy), State::default()).await;
        assert!(slow.until(BOUND, is_whole).await && quick.until(BOUND, is_whole).await);
        slow.stall(true);
        let before = rig.program.memory().unwrap();
        const CHANGES: u32 = 40;
        for n in 0..CHANGES {
            let entry = Entry { state: "leaving", ..many[n as usize] };
            rig.list.set(&[entry]);
            assert!(quick.until(BOUND, |s| !is_healthy(s, &entry)).await, "{n}");
        }
        let grown = rig.program.memory().unwrap().saturating_sub(before);
        let seen = slow.state(|s| s.updates.len());
        slow.stall(false);
        let last = Entry { state: "leaving", ..many[CHANGES as usize - 1] };
        assert!(slow.until(BOUND, |s| !is_healthy(s, &last)).await);
        // What lay in sockets and windows comes first; each response is 180 KiB or so.
        let came = slow.state(|s| s.updates.len() - seen);
        assert!(came < CHANGES as usize, "it was told every state between: {came}");
        assert!(grown < 64 << 20, "{grown} bytes for a proxy that does not read");
    });
}

/// One that acknowledges nothing is told of drains all the same, and gets no lease that it would not give back.
#[test]
fn a_proxy_that_never_acknowledges_is_told_of_drains() {
    let rig = rig(&four());
    rig.run(async {
        let behaviour = Behaviour::NeverAcknowledges;
        let options = Options { behaviour, ..usual("silent", Variant::Delta, Style::Envoy) };
        let proxy = rig.connect(options, State::default()).await;
        let endpoints = |s: &State| four().iter().filter(|e| is_healthy(s, e)).count() == 4;
        assert!(proxy.until(BOUND, endpoints).await);
        for n in 0..30 {
            let state = if n % 2 == 0 { "leaving" } else { "active" };
            let entry = Entry { state, ..four()[0] };
            rig.list.set(&[entry]);
            assert!(proxy.until(BOUND, |s| is_healthy(s, &entry) == (state == "active")).await, "{n}");
        }
    });
}

/// While some proxy may still take a server for warm, nobody is given a lease on it; after that, its holder is.
#[test]
fn a_cold_server_is_leased_once_nobody_takes_it_for_warm() {
    let rig = rig(&four());
    rig.run(async {
        let behaviour = Behaviour::NeverAcknowledges;
        let deaf = Options { behaviour, ..usual("deaf", Variant::Delta, Style::Envoy) };
        let deaf = rig.connect(deaf, State::default()).await;
        let usual_one = rig.connect(usual("usual", Variant::Delta, Style::Envoy), State::default()).await;
        assert!(deaf.until(BOUND, |s| is_healthy(s, &four()[0])).await);
        assert!(usual_one.until(BOUND, is_whole).await);
        let cold = Entry { boot_ms: unix_ms(), ..four()[0] };
        rig.list.set(&[cold]);
        assert!(
            usual_one.until(BOUND, |s| !is_healthy(s, &cold)).await,
            "it is no endpoint of its cell any more"
        );
        let leased = |s: &State| s.most_out(&format!("cold-{}", cold.name())).is_some();
        // Beyond the time in which the service holds back after its start.
        assert!(!usual_one.until(Duration::from_millis(6500), leased).await, "the deaf one may send there");
        drop(deaf);
        assert!(usual_one.until(BOUND, leased).await);
        let routed = |s: &State| s.pointed_at().contains(&format!("cold-{}", cold.name()));
        assert!(usual_one.until(BOUND, routed).await);
        // Its time to live is prolonged, and it is forgotten once nobody does.
        tokio::time::sleep(Duration::from_millis(2500)).await;
        assert!(usual_one.state(leased));
        rig.program.signal("STOP").unwrap();
        let forgotten = usual_one.until(BOUND, |s| !leased(s)).await;
        rig.program.signal("CONT").unwrap();
        assert!(forgotten, "a proxy that is cut off goes on sending to it");
    });
}

/// Clients that would keep a lease for ever are given none.
#[test]
fn a_grpc_client_is_told_of_warm_servers_alone() {
    let rig = rig(&four());
    rig.run(async {
        let proxy = rig.connect(usual("grpc", Variant::Sotw, Style::Grpc), State::default()).await;
        assert!(proxy.until(BOUND, is_whole).await);
        let cold = Entry { boot_ms: unix_ms(), ..four()[0] };
        rig.list.set(&[cold]);
        assert!(proxy.until(BOUND, |s| !is_healthy(s, &cold)).await);
        let cluster = format!("cold-{}", cold.name());
        assert!(!proxy.until(Duration::from_millis(6500), |s| s.pointed_at().contains(&cluster)).await);
    });
}

#[test]
fn streams_end_in_order_and_beyond_the_most_none_is_taken() {
    let mut rig: Rig = rig_with(&four(), "control-streams 2\n");
    rig.run(async {
        let mut open = Vec::new();
        for n in 0..2 {
            let proxy =
                rig.connect(usual(&format!("p{n}"), Variant::Sotw, Style::Envoy), State::default()).await;
            assert!(proxy.until(BOUND, is_whole).await);
            open.push(proxy);
        }
        let mut third = rig.connect(usual("p3", Variant::Sotw, Style::Envoy), State::default()).await;
        let end = third.ended().await.unwrap();
        assert_eq!(end.code(), tonic::Code::ResourceExhausted, "{end:?}");
        rig.program.signal("TERM").unwrap();
        for proxy in &mut open {
            let end = proxy.ended().await.unwrap();
            assert_eq!(end.code(), tonic::Code::Unavailable, "{end:?}");
        }
    });
    assert!(rig.program.exit().unwrap().success());
}

/// A kind that is not told here, and a request that is none: the stream goes on, or ends with a word.
#[test]
fn unknown_types_are_passed_over_and_garbage_ends_its_stream_alone() {
    use std::io::Write;
    let mut rig = rig(&four());
    rig.run(async {
        let proxy = rig.connect(usual("p", Variant::Sotw, Style::Envoy), State::default()).await;
        assert!(proxy.until(BOUND, is_whole).await);
        let mut garbage = std::net::TcpStream::connect(rig.listen).unwrap();
        garbage.write_all(&[0xff; 4096]).unwrap();
        let mut half = std::net::TcpStream::connect(rig.listen).unwrap();
        half.write_all(b"PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n\0\0\0\x04\0\0\0\0\0\0\0").unwrap();
        unknown(rig.listen).await;
        let entry = Entry { state: "leaving", ..four()[0] };
        rig.list.set(&[entry]);
        assert!(proxy.until(BOUND, |s| !is_healthy(s, &entry)).await);
    });
    rig.program.logged("event=xds_unknown_type").unwrap();
}

/// Asks for a kind that no one has heard of, and then for clusters on the same stream.
async fn unknown(to: std::net::SocketAddr) {
    use envoy_types::pb::envoy::service::discovery::v3::DiscoveryRequest;
    use envoy_types::pb::envoy::service::discovery::v3::aggregated_discovery_service_client::AggregatedDiscoveryServiceClient;
    let channel =
        tonic::transport::Endpoint::from_shared(format!("http://{to}")).unwrap().connect().await.unwrap();
    let ask =
        |type_url: &str| DiscoveryRequest { type_url: type_url.to_owned(), ..DiscoveryRequest::default() };
    let requests = [ask("type.googleapis.com/nobody.knows.v3.This"), ask(Kind::Cluster.type_url())];
    let requests = futures_util::stream::iter(requests);
    let requests = futures_util::StreamExt::chain(requests, futures_util::stream::pending());
    let mut client = AggregatedDiscoveryServiceClient::new(channel);
    let mut responses = client.stream_aggregated_resources(requests).await.unwrap().into_inner();
    let first = responses.message().await.unwrap().unwrap();
    assert_eq!(first.type_url, Kind::Cluster.type_url());
}

/// A hundred changes a second come together: a proxy is told as often as the service gathers, and the last state counts.
#[test]
fn a_list_that_changes_without_end_is_told_in_steps() {
    let entries: Vec<Entry> = (0..100).map(|n| Entry::active(n, 0)).collect();
    let rig = rig(&entries);
    rig.run(async {
        let proxy = rig.connect(usual("p", Variant::Delta, Style::Envoy), State::default()).await;
        assert!(proxy.until(BOUND, is_whole).await);
        let (seen, begun) = (proxy.state(|s| s.updates.len()), std::time::Instant::now());
        for entry in &entries[..99] {
            rig.list.set(&[Entry { state: "leaving", ..*entry }]);
            tokio::time::sleep(Duration::from_millis(10)).await;
        }
        assert!(proxy.until(BOUND, |s| entries[..99].iter().all(|e| !is_healthy(s, e))).await);
        let steps = begun.elapsed().as_millis() as usize / 40 + 2;
        let told = proxy.state(|s| s.updates.len() - seen);
        assert!(told <= steps, "{told} updates in {steps} steps");
        assert!(proxy.state(|s| is_healthy(s, &entries[99])));
    });
}

/// Where that is asked for, a proxy that hears nothing forgets warm servers as well, and has them back when it hears again;
/// as long as it hears, it keeps them though nothing changes. One that heeds no time to live keeps them always.
#[test]
fn a_proxy_that_is_cut_off_forgets_all_where_it_is_told_to() {
    let rig = rig_with(&four(), "control-cut-off 1s\n");
    rig.run(async {
        let mut open = Vec::new();
        for variant in [Variant::Sotw, Variant::Delta] {
            let proxy = rig.connect(usual("p", variant, Style::Envoy), State::default()).await;
            assert!(proxy.until(BOUND, is_whole).await);
            open.push(proxy);
        }
        let grpc = rig.connect(usual("grpc", Variant::Sotw, Style::Grpc), State::default()).await;
        assert!(grpc.until(BOUND, is_whole).await);
        let clusters = |s: &State| s.kind(Kind::Cluster).count();
        for proxy in &open {
            let times = proxy.state(|s| s.updates.len());
            // Three times prolonged: more than a time to live has passed.
            assert!(proxy.until(BOUND, |s| s.updates.len() >= times + 3).await);
            assert_eq!(proxy.state(clusters), 2);
        }
        rig.program.signal("STOP").unwrap();
        let mut forgot = true;
        for proxy in &open {
            forgot &= proxy.until(BOUND, |s| clusters(s) == 0).await;
        }
        rig.program.signal("CONT").unwrap();
        assert!(forgot);
        for proxy in &open {
            assert!(proxy.until(BOUND, |s| clusters(s) == 2).await);
        }
        assert_eq!(grpc.state(clusters), 2);
    });
}

/// A connection whose other end is gone without a word, as when a machine loses its power, does not count for ever.
#[test]
fn a_half_open_stream_ends_by_its_pings() {
    use envoy_types::pb::envoy::config::core::v3::Node;
    use envoy_types::pb::envoy::service::discovery::v3::DiscoveryRequest;
    use plover_load::raw::{DATA, END_HEADERS, HEADERS, Raw, frame, query_fields};
    use prost::Message;
    let mut rig = rig_with(&four(), "control-ping 2s\n");
    let mut gone = Raw::settled(rig.listen);
    let path = "/envoy.service.discovery.v3.AggregatedDiscoveryService/StreamAggregatedResources";
    let head = query_fields("", &[(":path", path), ("content-type", "application/grpc"), ("te", "trailers")]);
    let node = Some(Node { id: "gone".to_owned(), ..Node::default() });
    let asked =
        DiscoveryRequest { node, type_url: Kind::Cluster.type_url().to_owned(), ..Default::default() };
    let asked = asked.encode_to_vec();
    let message = [&[0][..], &(asked.len() as u32).to_be_bytes(), &asked].concat();
    gone.send(&[frame(HEADERS, END_HEADERS, 1, &head), frame(DATA, 0, 1, &message)].concat());
    let line = rig.program.logged("event=xds_opened").unwrap();
    assert!(line.contains("node=gone"), "{line}");
    let usual_one = rig.run(async {
        let usual_one = rig.connect(usual("p", Variant::Delta, Style::Envoy), State::default()).await;
        assert!(usual_one.until(BOUND, is_whole).await);
        usual_one
    });
    let line = rig.program.logged("event=xds_closed").unwrap();
    assert!(line.contains("node=gone"), "{line}");
    let entry = Entry { state: "leaving", ..four()[0] };
    rig.list.set(&[entry]);
    let told = usual_one.until(BOUND, |s| !is_healthy(s, &entry));
    assert!(rig.run(told), "it answered its pings, and stays");
}
