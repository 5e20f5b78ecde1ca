use super::*;
use crate::wire::{KeyOwner, encode_greeting, encode_message};
use link::MAX_UNSENT_BYTES;
use plover_model::query::Proof;

fn process(started: Micros) -> Siblings {
    let local = Greeting { name: "n0".into(), started, pid: started as u32 };
    Siblings::new(local, Timeouts::default())
}

/// Moves the unsent bytes of one process to the other, and returns the updates that they cause there.
fn deliver(now: Micros, from: &mut Siblings, to: &mut Siblings) -> Vec<Update> {
    let bytes = from.unsent(1).to_vec();
    from.written(now, 1, bytes.len());
    let (updates, error) = to.received(now, 1, &bytes);
    assert_eq!(error, None);
    updates
}

fn joined() -> (Siblings, Siblings) {
    let (mut old, mut new) = (process(1), process(2));
    assert!(old.connected(10, 1, 2) && new.connected(10, 1, 2));
    assert!(deliver(10, &mut old, &mut new).is_empty() && deliver(10, &mut new, &mut old).is_empty());
    for process in [&mut old, &mut new] {
        assert_eq!(process.greeted_links(), [1]);
        process.send(10, 1, &Message::StateSent);
    }
    assert_eq!(deliver(10, &mut old, &mut new), [Update::Joined(true)]);
    assert_eq!(deliver(10, &mut new, &mut old), [Update::Joined(false)]);
    assert_eq!((old.keyed_send(10), new.keyed_send(10)), (KeyedSend::Allowed, KeyedSend::Allowed));
    (old, new)
}

#[test]
fn a_query_open_in_one_process_counts_in_the_other() {
    let (mut old, mut new) = joined();
    old.send(11, 1, &Message::Opened { id: "q".into(), units: 4, owner: Some("defaults".into()) });
    assert_eq!(
        old.keyed_send(11),
        KeyedSend::Wait(Micros::MAX),
        "the new process has not received the message yet"
    );
    deliver(11, &mut old, &mut new);
    assert!(new.has_open_query("q") && !new.has_open_query("r"));
    assert_eq!(
        (new.open_units(), new.open_queries_of("defaults"), new.open_queries_of("x"), new.process_count()),
        (4, 1, 0, 2)
    );
    old.send(12, 1, &Message::Closed { id: "q".into() });
    deliver(12, &mut old, &mut new);
    assert_eq!((new.has_open_query("q"), new.open_units()), (false, 0));
}

#[test]
fn the_new_process_goes_on_after_the_old_one_ended() {
    let (_, mut new) = joined();
    assert_eq!(new.link_lost(20, 1, false), [Update::Gone]);
    assert_eq!((new.keyed_send(20), new.process_count()), (KeyedSend::Allowed, 1));
}

/// New settings with longer windows, or with clients that retry for longer, take effect while the process
/// runs.
#[test]
fn the_quarantine_is_that_of_the_current_settings() {
    let mut siblings = process(1);
    siblings.connected(0, 1, 2);
    siblings.set_quarantine(90 * SECOND);
    siblings.link_lost(10, 1, false);
    assert_eq!(siblings.keyed_send(20 * SECOND), KeyedSend::Wait(10 + 90 * SECOND));
}

/// Both processes are alive and have lost their link: only one of them goes on.
#[test]
fn the_older_of_two_disconnected_processes_stops_sending() {
    let (mut old, mut new) = joined();
    old.link_lost(20, 1, true);
    new.link_lost(20, 1, true);
    assert_eq!((old.keyed_send(20), new.keyed_send(20)), (KeyedSend::Wait(Micros::MAX), KeyedSend::Allowed));
    assert_eq!((old.disconnected(), old.process_count()), ([2].as_slice(), 2));
    old.process_ended(30, 2);
    let until = 30 + Timeouts::default().quarantine;
    assert_eq!((old.keyed_send(31), old.keyed_send(until)), (KeyedSend::Wait(until), KeyedSend::Allowed));
}

/// After a greeting of another version, a greeting of another broker, noise or silence, it is unknown
/// what the sibling sends while it is alive and which keys its clients retry here afterwards.
#[test]
fn a_sibling_that_is_not_understood_blocks_keyed_sends() {
    let with_sibling = |bytes: Option<&[u8]>| {
        let mut siblings = process(1);
        siblings.connected(0, 1, 2);
        if let Some(bytes) = bytes {
            assert!(siblings.received(1, 1, bytes).1.is_some());
        }
        siblings.tick(Timeouts::default().greeting);
        siblings
    };
    let mut other_version = encode_greeting(&Greeting { name: "n0".into(), started: 9, pid: 9 });
    other_version[9] = 7;
    let other_broker = encode_greeting(&Greeting { name: "n1".into(), started: 9, pid: 9 });
    for bytes in [None, Some(other_version.as_slice()), Some(&other_broker), Some(b"\0\0\0\x07garbage")] {
        let mut siblings = with_sibling(bytes);
        assert_eq!(
            (siblings.keyed_send(SECOND), siblings.is_settled()),
            (KeyedSend::Wait(Micros::MAX), true),
            "{bytes:?}"
        );
        siblings.link_lost(2 * SECOND, 1, false);
        let until = 2 * SECOND + Timeouts::default().quarantine;
        assert_eq!(
            (siblings.keyed_send(until - 1), siblings.keyed_send(until)),
            (KeyedSend::Wait(until), KeyedSend::Allowed)
        );
    }
}

#[test]
fn the_link_to_a_sibling_that_reads_nothing_is_closed() {
    let (mut old, _) = joined();
    old.send(100, 1, &Message::Closed { id: "q".into() });
    let stall = Timeouts::default().stall;
    assert!(old.tick(99 + stall).is_empty());
    assert_eq!(old.tick(100 + stall), [1]);
    // The unsent bytes are limited: a message that does not fit is not queued.
    let (mut old, _) = joined();
    let long = Message::KeyOpened { key: "k".repeat(1 << 19), until: 0, key_owner: KeyOwner::default() };
    let rejected = (0..MAX_UNSENT_BYTES / (1 << 19) + 1).filter(|_| !old.send(100, 1, &long)).count();
    assert_eq!(rejected, 1, "only the first message that does not fit is reported");
    assert!(old.unsent(1).len() <= MAX_UNSENT_BYTES);
    assert_eq!(
        (old.keyed_send(100), old.links[&1].state.clone()),
        (KeyedSend::Wait(Micros::MAX), State::Unknown)
    );
}

/// A newer process that ends before it has joined has sent nothing.
#[test]
fn a_new_process_that_ends_before_joining_causes_no_quarantine() {
    let (mut old, mut new) = (process(1), process(2));
    assert!(old.connected(10, 1, 2) && new.connected(10, 1, 2));
    deliver(10, &mut new, &mut old);
    old.link_lost(20, 1, false);
    assert_eq!((old.keyed_send(20), old.process_count()), (KeyedSend::Allowed, 1));
    deliver(10, &mut old, &mut new);
    new.link_lost(20, 1, false);
    assert_eq!(
        new.keyed_send(20),
        KeyedSend::Wait(20 + Timeouts::default().quarantine),
        "it is unknown what the old process sent"
    );
}

#[test]
fn connections_beyond_the_maximum_are_rejected() {
    let mut siblings = process(1);
    assert!((0..MAX_LINKS as u64).all(|id| siblings.connected(0, id, 2)));
    assert!(!siblings.connected(0, 99, 2));
}

/// The greeting of a process of an earlier release, which ends before the features.
fn greeting_without_features(greeting: &Greeting) -> Vec<u8> {
    let mut frame = encode_greeting(greeting);
    frame.pop();
    let length = frame.len() as u32 - 4;
    frame[..4].copy_from_slice(&length.to_be_bytes());
    frame
}

fn key_ended(proof: Proof) -> Message {
    Message::KeyEnded { key: "k".into(), shard: 3, at: 6, proof, key_owner: KeyOwner::default() }
}

/// A successor is told of the configurations that clients may apply before it has joined.
#[test]
fn configurations_are_reported_before_the_other_process_joins() {
    let (mut old, mut new) = (process(1), process(2));
    assert!(old.connected(10, 1, 2) && new.connected(10, 1, 2));
    deliver(10, &mut old, &mut new);
    deliver(10, &mut new, &mut old);
    let report = Box::new(ConfigurationReport { reloaded_at: Some(7), ..Default::default() });
    for message in [Message::Configurations(report.clone()), Message::StateSent] {
        assert!(old.send(10, 1, &message));
    }
    assert_eq!(
        deliver(10, &mut old, &mut new),
        [Update::Configurations { link: 1, older: true, report }, Update::Joined(true)]
    );
    assert!(!new.has_unknown_configurations());
}

/// A process of an earlier release understands everything that it is sent, and what it does not report counts
/// as unknown: its configurations, and whether an attempt of before the handover may have run.
#[test]
fn a_process_of_an_earlier_release_hands_over_and_its_configurations_are_unknown() {
    for started in [1, 9] {
        let mut siblings = process(5);
        siblings.connected(0, 1, 2);
        let _ = siblings.unsent(1).len();
        siblings.written(0, 1, usize::MAX);
        let earlier = Greeting { name: "n0".into(), started, pid: 9 };
        let (updates, error) = siblings.received(0, 1, &greeting_without_features(&earlier));
        assert_eq!((updates, error), (vec![], None));
        assert!(!siblings.has_unknown_configurations(), "it serves nothing before it has joined");
        assert!(siblings.send(0, 1, &Message::Configurations(Box::default())));
        assert!(siblings.unsent(1).is_empty(), "it would not understand the message");
        let frames = [Message::StateSent, key_ended(Proof::NeverRan), key_ended(Proof::Ran)];
        let frames: Vec<u8> = frames.iter().flat_map(|m| encode_message(m).unwrap()).collect();
        let (updates, error) = siblings.received(0, 1, &frames);
        assert_eq!(
            (updates, error),
            (
                vec![
                    Update::Joined(started == 1),
                    Update::Key(key_ended(Proof::MayRun)),
                    Update::Key(key_ended(Proof::Ran))
                ],
                None
            )
        );
        assert!(siblings.has_unknown_configurations());
        assert_eq!(siblings.keyed_send(0), KeyedSend::Allowed);
        siblings.link_lost(10, 1, true);
        assert!(siblings.has_unknown_configurations(), "it is alive");
        siblings.process_ended(20, 2);
        assert!(!siblings.has_unknown_configurations());
    }
}

/// What a process may serve that is not understood, or is late, is unknown while it is alive.
#[test]
fn configurations_of_a_sibling_that_is_not_understood_are_unknown() {
    let mut siblings = process(1);
    siblings.connected(0, 1, 2);
    assert!(!siblings.has_unknown_configurations());
    siblings.tick(Timeouts::default().greeting);
    assert!(siblings.has_unknown_configurations());
    siblings.link_lost(2 * SECOND, 1, false);
    assert!(!siblings.has_unknown_configurations());
}
