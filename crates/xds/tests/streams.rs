//! What the protocol says of single requests and responses, case by case.

use bytes::Bytes;
use plover_xds::{
    Answer, Fault, Heard, Kind, LONGEST_NAME, MOST_NAMES, Request, Resource, Snapshot, Stream, Variant,
    Version, View, wire,
};
use proptest::prelude::*;
use std::sync::Arc;

fn view(clusters: &[(&str, u64)]) -> View {
    let mut snapshot = Snapshot::default();
    for (name, version) in clusters {
        for kind in [Kind::Cluster, Kind::Endpoints] {
            snapshot.insert(kind, Arc::new(resource(name, *version)));
        }
    }
    View { shared: Arc::new(snapshot), own: Arc::default() }
}

fn resource(name: &str, version: u64) -> Resource {
    let any = wire::any("t", &version.to_le_bytes());
    let needs: Arc<[Arc<str>]> = Arc::new([]);
    Resource {
        name: name.into(),
        version: Version(version),
        beat: 0,
        any,
        ttl_ms: None,
        needs,
        by_name_only: false,
    }
}

fn sotw(names: &[&str], nonce: &str) -> Request {
    Request::Sotw {
        names: names.iter().map(|n| (*n).to_owned()).collect(),
        nonce: nonce.to_owned(),
        error: None,
    }
}

fn delta(subscribe: &[&str], unsubscribe: &[&str], initial: &[(&str, u64)], nonce: &str) -> Request {
    let text = |names: &[&str]| names.iter().map(|n| (*n).to_owned()).collect();
    let initial = initial.iter().map(|(n, v)| ((*n).to_owned(), Version(*v).to_string())).collect();
    Request::Delta {
        subscribe: text(subscribe),
        unsubscribe: text(unsubscribe),
        initial,
        nonce: nonce.to_owned(),
        error: None,
    }
}

fn told(answer: Option<Answer>) -> Option<(Vec<String>, Vec<String>)> {
    let text = |names: Vec<Arc<str>>| names.iter().map(|n| n.to_string()).collect();
    answer.map(|a| (a.resources.iter().map(|r| r.name.to_string()).collect(), text(a.removed)))
}

fn names(all: &[&str]) -> Vec<String> {
    all.iter().map(|n| (*n).to_owned()).collect()
}

#[test]
fn a_stream_that_asks_for_nothing_is_told_nothing() {
    assert_eq!(Stream::new().answer(&view(&[("a", 1)])), None);
}

#[test]
fn asked_for_without_names_it_is_all_and_is_answered_even_when_there_is_none() {
    for request in [sotw(&[], ""), sotw(&["*"], ""), delta(&[], &[], &[], ""), delta(&["*"], &[], &[], "")] {
        let mut stream = Stream::new();
        stream.request(Kind::Cluster, request.clone()).unwrap();
        assert_eq!(told(stream.answer(&view(&[("a", 1), ("b", 1)]))), Some((names(&["a", "b"]), vec![])));
        assert_eq!(stream.answer(&view(&[("a", 1), ("b", 1)])), None, "nothing new");
        let mut empty = Stream::new();
        empty.request(Kind::Cluster, request).unwrap();
        assert_eq!(told(empty.answer(&view(&[]))), Some((vec![], vec![])));
    }
    let mut endpoints = Stream::new();
    endpoints.request(Kind::Endpoints, sotw(&[], "")).unwrap();
    assert_eq!(endpoints.answer(&view(&[("a", 1)])), None, "endpoints are asked for by name");
}

#[test]
fn what_changed_goes_out_and_what_is_gone_shows() {
    let (before, after) = (view(&[("a", 1), ("b", 1)]), view(&[("a", 2)]));
    let mut whole = Stream::new();
    whole.request(Kind::Cluster, sotw(&[], "")).unwrap();
    whole.answer(&before);
    assert_eq!(told(whole.answer(&after)), Some((names(&["a"]), vec![])));
    let mut incremental = Stream::new();
    incremental.request(Kind::Cluster, delta(&[], &[], &[], "")).unwrap();
    incremental.answer(&before);
    assert_eq!(told(incremental.answer(&after)), Some((names(&["a"]), names(&["b"]))));
    // Of endpoints, only what changed goes out in either.
    let mut endpoints = Stream::new();
    endpoints.request(Kind::Endpoints, sotw(&["a", "b"], "")).unwrap();
    endpoints.answer(&before);
    assert_eq!(told(endpoints.answer(&view(&[("a", 1), ("b", 2)]))), Some((names(&["b"]), vec![])));
}

/// A proxy that comes back is told what differs from what it holds: what is gone as well.
#[test]
fn what_a_proxy_holds_from_before_is_compared_and_corrected() {
    let mut stream = Stream::new();
    let held = [("a", 1), ("b", 1), ("gone", 1)];
    stream.request(Kind::Endpoints, delta(&["a", "b", "gone"], &[], &held, "")).unwrap();
    let now = view(&[("a", 1), ("b", 2)]);
    assert_eq!(told(stream.answer(&now)), Some((names(&["b"]), names(&["gone"]))));
    let mut whole = Stream::new();
    whole.request(Kind::Cluster, delta(&[], &[], &held, "")).unwrap();
    assert_eq!(told(whole.answer(&now)), Some((names(&["b"]), names(&["gone"]))));
    let mut foreign = Stream::new();
    let initial = vec![("a".to_owned(), "somebody else's".to_owned())];
    let (subscribe, unsubscribe, nonce, error) = (names(&["a"]), vec![], String::new(), None);
    foreign
        .request(Kind::Endpoints, Request::Delta { subscribe, unsubscribe, initial, nonce, error })
        .unwrap();
    assert_eq!(told(foreign.answer(&now)), Some((names(&["a"]), vec![])));
}

#[test]
fn subscriptions_change_on_an_open_stream() {
    let now = view(&[("a", 1), ("b", 1)]);
    let mut stream = Stream::new();
    stream.request(Kind::Endpoints, sotw(&["a"], "")).unwrap();
    let first = stream.answer(&now).unwrap();
    let nonce = first.nonce.to_string();
    assert!(matches!(stream.request(Kind::Endpoints, sotw(&["a", "b"], &nonce)).unwrap(), Heard::Acked(_)));
    assert_eq!(told(stream.answer(&now)), Some((names(&["b"]), vec![])));
    stream.request(Kind::Endpoints, sotw(&["b"], "2")).unwrap();
    stream.request(Kind::Endpoints, sotw(&["a", "b"], "")).unwrap();
    assert_eq!(told(stream.answer(&now)), Some((names(&["a"]), vec![])), "it had let go of it");

    let mut incremental = Stream::new();
    incremental.request(Kind::Endpoints, delta(&["a", "none"], &[], &[], "")).unwrap();
    assert_eq!(told(incremental.answer(&now)), Some((names(&["a"]), names(&["none"]))), "absence is told");
    incremental.request(Kind::Endpoints, delta(&["a"], &[], &[], "")).unwrap();
    assert_eq!(
        told(incremental.answer(&now)),
        Some((names(&["a"]), vec![])),
        "asked for again, it is sent again"
    );
    incremental.request(Kind::Endpoints, delta(&["b"], &["a"], &[], "")).unwrap();
    assert_eq!(told(incremental.answer(&view(&[("a", 9), ("b", 1)]))), Some((names(&["b"]), vec![])));
    // It is named no more, but is one of all.
    let mut all = Stream::new();
    all.request(Kind::Cluster, delta(&["*", "a"], &[], &[], "")).unwrap();
    all.answer(&now);
    all.request(Kind::Cluster, delta(&[], &["a"], &[], "")).unwrap();
    assert_eq!(told(all.answer(&now)), Some((names(&["a"]), vec![])));
    all.request(Kind::Cluster, delta(&[], &["*"], &[], "")).unwrap();
    assert_eq!(all.answer(&view(&[("a", 5)])), None);
}

/// No names after some were given: nothing, where it would have been all at the beginning.
#[test]
fn the_last_name_given_up_does_not_mean_all() {
    let now = view(&[("a", 1), ("b", 1)]);
    let mut stream = Stream::new();
    stream.request(Kind::Cluster, sotw(&["a"], "")).unwrap();
    assert_eq!(told(stream.answer(&now)), Some((names(&["a"]), vec![])));
    stream.request(Kind::Cluster, sotw(&[], "1")).unwrap();
    assert_eq!(stream.answer(&view(&[("a", 2), ("b", 2)])), None);
}

#[test]
fn an_answer_to_an_older_response_changes_no_subscription() {
    let mut stream = Stream::new();
    stream.request(Kind::Endpoints, sotw(&["a", "b"], "")).unwrap();
    stream.answer(&view(&[("a", 1), ("b", 1)]));
    stream.answer(&view(&[("a", 2), ("b", 1)]));
    assert!(matches!(stream.request(Kind::Endpoints, sotw(&["b"], "1")).unwrap(), Heard::Acked(_)));
    assert_eq!(told(stream.answer(&view(&[("a", 3), ("b", 1)]))), Some((names(&["a"]), vec![])));
    assert_eq!(stream.request(Kind::Endpoints, sotw(&["b"], "77")).unwrap(), Heard::Stale);
    assert_eq!(stream.request(Kind::Endpoints, sotw(&["b"], "x")).unwrap(), Heard::Stale);
}

#[test]
fn what_was_refused_is_not_sent_again_until_it_changes() {
    for (first, again) in
        [(sotw(&[], ""), sotw(&[], "1")), (delta(&[], &[], &[], ""), delta(&[], &[], &[], "1"))]
    {
        let mut stream = Stream::new();
        stream.request(Kind::Cluster, first).unwrap();
        stream.answer(&view(&[("a", 1)]));
        let refusal = match again {
            Request::Sotw { names, nonce, .. } => Request::Sotw { names, nonce, error: Some("no".into()) },
            Request::Delta { subscribe, unsubscribe, initial, nonce, .. } => {
                Request::Delta { subscribe, unsubscribe, initial, nonce, error: Some("no".into()) }
            }
        };
        let heard = stream.request(Kind::Cluster, refusal).unwrap();
        assert!(matches!(heard, Heard::Refused { ref words, .. } if words == "no"), "{heard:?}");
        assert_eq!(stream.answer(&view(&[("a", 1)])), None);
        let mut prolonged = Snapshot::default();
        prolonged.insert(Kind::Cluster, Arc::new(Resource { beat: 7, ..resource("a", 1) }));
        let prolonged = View { shared: Arc::new(prolonged), own: Arc::default() };
        assert_eq!(stream.answer(&prolonged), None, "nor for being due again");
        assert_eq!(told(stream.answer(&view(&[("a", 2)]))), Some((names(&["a"]), vec![])));
    }
}

#[test]
fn a_beat_has_the_same_content_sent_again() {
    let mut stream = Stream::new();
    stream.request(Kind::Cluster, delta(&[], &[], &[], "")).unwrap();
    stream.answer(&view(&[("a", 1), ("b", 1)]));
    let mut own = Snapshot::default();
    own.insert(Kind::Cluster, Arc::new(Resource { beat: 1, ttl_ms: Some(2000), ..resource("b", 1) }));
    let beaten = View { own: Arc::new(own), ..view(&[("a", 1), ("b", 1)]) };
    assert_eq!(told(stream.answer(&beaten)), Some((names(&["b"]), vec![])));
    assert_eq!(stream.answer(&beaten), None);
}

#[test]
fn requests_that_no_proxy_sends_in_good_order_end_the_stream() {
    let many: Vec<String> = (0..=MOST_NAMES).map(|n| n.to_string()).collect();
    let request = Request::Sotw { names: many, nonce: String::new(), error: None };
    assert_eq!(Stream::new().request(Kind::Endpoints, request), Err(Fault::TooManyNames(Kind::Endpoints)));
    let long = "x".repeat(LONGEST_NAME + 1);
    assert_eq!(Stream::new().request(Kind::Route, sotw(&[&long], "")), Err(Fault::LongName(Kind::Route)));
    let mut stream = Stream::new();
    stream.request(Kind::Cluster, sotw(&[], "")).unwrap();
    assert_eq!(stream.request(Kind::Cluster, delta(&[], &[], &[], "")), Err(Fault::Variants));
    // Bit by bit no more than at once.
    let mut stream = Stream::new();
    let mut last = Ok(Heard::Asked(Vec::new()));
    for n in 0..=MOST_NAMES / 1000 + 1 {
        let subscribe = (0..1000).map(|m| format!("{n}-{m}")).collect();
        let (unsubscribe, initial, nonce, error) = (vec![], vec![], String::new(), None);
        last =
            stream.request(Kind::Endpoints, Request::Delta { subscribe, unsubscribe, initial, nonce, error });
        if last.is_err() {
            break;
        }
    }
    assert_eq!(last, Err(Fault::TooManyNames(Kind::Endpoints)));
}

mod bytes_on_the_wire {
    use super::*;
    use envoy_types::pb::envoy::service::discovery::v3::{
        DeltaDiscoveryResponse, DiscoveryResponse, Resource as Wrapped,
    };
    use prost::Message;

    proptest! {
        /// What a library that knows the messages reads is what was meant.
        #[test]
        fn responses_are_read_as_they_were_meant(
            resources in prop::collection::btree_map("[a-z]{1,9}", (any::<u64>(), prop::option::of(1u64..100_000), prop::collection::vec(any::<u8>(), 0..9000)), 0..6),
            removed in prop::collection::btree_set("[a-z]{1,9}", 0..4), nonce in any::<u64>(),
        ) {
            let of = |(name, (version, ttl_ms, body)): (&String, &(u64, Option<u64>, Vec<u8>))| {
                Arc::new(Resource { ttl_ms: *ttl_ms, any: wire::any("t", body), ..resource(name, *version) })
            };
            let answer = Answer {
                kind: Kind::Endpoints, nonce, version: Version(7), resources: resources.iter().map(of).collect(),
                removed: removed.iter().map(|n| n.as_str().into()).collect(),
            };
            let bytes: Bytes = wire::response(&answer, Variant::Delta, "me");
            let read = DeltaDiscoveryResponse::decode(bytes).unwrap();
            prop_assert_eq!((read.nonce, read.type_url.as_str()), (nonce.to_string(), Kind::Endpoints.type_url()));
            prop_assert_eq!(read.removed_resources, removed.into_iter().collect::<Vec<_>>());
            prop_assert_eq!(read.control_plane.unwrap().identifier, "me");
            let same = |read: &Wrapped, (name, (version, ttl, body)): (&String, &(u64, Option<u64>, Vec<u8>))| {
                let ms = read.ttl.as_ref().map(|t| t.seconds as u64 * 1000 + t.nanos as u64 / 1_000_000);
                &read.name == name && read.version == Version(*version).to_string() && ms == *ttl
                    && &read.resource.as_ref().unwrap().value == body
            };
            prop_assert!(read.resources.iter().zip(&resources).all(|(r, meant)| same(r, meant)));
            prop_assert_eq!(read.resources.len(), resources.len());

            let read = DiscoveryResponse::decode(wire::response(&answer, Variant::Sotw, "me")).unwrap();
            prop_assert_eq!((read.nonce, read.version_info), (nonce.to_string(), Version(7).to_string()));
            for (any, meant) in read.resources.iter().zip(&resources) {
                if meant.1.1.is_some() {
                    prop_assert_eq!(&any.type_url, "type.googleapis.com/envoy.service.discovery.v3.Resource");
                    prop_assert!(same(&Wrapped::decode(&any.value[..]).unwrap(), meant));
                } else {
                    prop_assert_eq!((any.type_url.as_str(), &any.value), ("t", &meant.1.2));
                }
            }
            prop_assert_eq!(read.resources.len(), resources.len());
        }
    }
}
