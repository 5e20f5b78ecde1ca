use super::*;
use proptest::prelude::*;

fn greeting() -> Greeting {
    Greeting { name: "n3".into(), started: 7, pid: 9 }
}

fn key_owner() -> KeyOwner {
    KeyOwner { owner: "acme\0save".into(), window: Some(300) }
}

fn messages() -> Vec<Message> {
    vec![
        Message::StateSent,
        Message::KeySent { key: "k".into(), shard: 3, at: 5, until: u64::MAX, key_owner: key_owner() },
        Message::KeyEnded { key: "k".into(), shard: 3, at: 6, proof: Proof::MayRun, key_owner: key_owner() },
        Message::Opened { id: "9b1f".into(), units: 4, owner: Some("defaults".into()) },
        Message::Snapshot(Box::default()),
    ]
}

/// Frames are read correctly however their bytes are divided when they arrive.
#[test]
fn messages_are_read_from_chunks_of_any_size() {
    let bytes: Vec<u8> = encode_greeting(&greeting())
        .into_iter()
        .chain(messages().iter().flat_map(|message| encode_message(message).unwrap()))
        .collect();
    for step in [1, 2, 3, 7, bytes.len()] {
        let mut reader = FrameReader::default();
        let (mut received_greeting, mut received_messages) = (None, Vec::new());
        for chunk in bytes.chunks(step) {
            reader.feed(chunk);
            if received_greeting.is_none() {
                received_greeting = reader.read_greeting().unwrap();
            }
            while let Some(message) = received_greeting.as_ref().and_then(|_| reader.read_message().unwrap())
            {
                received_messages.push(message);
            }
        }
        assert_eq!(
            (received_greeting, received_messages),
            (Some(greeting()), messages()),
            "chunks of {step} bytes"
        );
    }
}

#[test]
fn a_connection_that_is_not_a_sibling_is_rejected_by_its_first_bytes() {
    let read = |bytes: &[u8]| {
        let mut reader = FrameReader::default();
        reader.feed(bytes);
        reader.read_greeting()
    };
    assert_eq!(read(b"GET / HTTP/1.1\r\n"), Err(ProtocolError::NotAGreeting));
    assert_eq!(read(&[0, 0]), Ok(None));
    let mut other_version = encode_greeting(&greeting());
    other_version[9] = 2;
    assert_eq!(read(&other_version), Err(ProtocolError::UnsupportedVersion(2)));
    assert_eq!(
        read(&[0xff, 0xff, 0xff, 0xff, b'P', b'L', b'V', b'H']),
        Err(ProtocolError::FrameTooLong(0xffff_ffff))
    );
}

proptest! {
    /// Arbitrary bytes give an error or an incomplete frame. They never cause a panic, and memory is not
    /// allocated for the length that they announce.
    #[test]
    fn arbitrary_bytes_never_panic(
        bytes in prop::collection::vec(any::<u8>(), 0..300), greeted in any::<bool>(),
    ) {
        let mut reader = FrameReader::default();
        if greeted {
            reader.feed(&encode_greeting(&greeting()));
            prop_assert_eq!(reader.read_greeting(), Ok(Some(greeting())));
        }
        reader.feed(&bytes);
        for _ in 0..bytes.len() {
            let more = if greeted {
                reader.read_message().map(|message| message.is_some())
            } else {
                reader.read_greeting().map(|greeting| greeting.is_some())
            };
            if more != Ok(true) { break; }
        }
    }
}

/// A snapshot of 7,800 servers fits into one message, even if all of them are cold and each was sent many
/// calls.
#[test]
fn a_snapshot_of_a_large_fleet_fits_into_one_message() {
    let server = |n: usize| plover_model::snapshot::ServerSnapshot {
        name: format!("s-{n:08x}"),
        last_response_age: Some(1.5),
        last_served_sent_age: Some(2.5),
        cold_sent: vec![(1.5, 2.5); 64],
        ..Default::default()
    };
    let servers = (0..7800).map(server).collect();
    let message = Message::Snapshot(Box::new(Snapshot { servers, ..Snapshot::default() }));
    let frame = encode_message(&message).expect("the message is not longer than a frame may be");
    let mut reader = FrameReader::default();
    reader.feed(&frame);
    assert_eq!(reader.read_message(), Ok(Some(message)));
}

/// A process of an earlier release does not send the owner of a key, and ignores bytes after the fields that
/// it knows. Processes of both releases understand each other.
#[test]
fn messages_with_and_without_a_key_owner_are_both_read() {
    #[derive(Debug, PartialEq, Serialize, Deserialize)]
    enum EarlierMessage {
        Recall(Box<Snapshot>),
        Told,
        Opened { id: String, units: u32, owner: Option<String> },
        Closed { id: String },
        KeyOpened { key: String, until: Micros },
        KeySent { key: String, shard: u32, at: Micros, until: Micros },
    }
    let key = || "k".to_owned();
    let earlier = EarlierMessage::KeySent { key: key(), shard: 3, at: 5, until: 300 };
    let current = |key_owner| Message::KeySent { key: key(), shard: 3, at: 5, until: 300, key_owner };
    let mut reader = FrameReader::default();
    reader.feed(&frame(&postcard::to_allocvec(&earlier).unwrap()));
    assert_eq!(reader.read_message(), Ok(Some(current(KeyOwner::default()))));
    let encoded = encode_message(&current(key_owner())).unwrap();
    assert_eq!(postcard::from_bytes::<EarlierMessage>(&encoded[4..]), Ok(earlier));
    reader.feed(&encoded);
    assert_eq!(reader.read_message(), Ok(Some(current(key_owner()))));
}

/// A process of an earlier release ends its greeting before the features and ignores those of others.
#[test]
fn greetings_with_and_without_features_are_both_read() {
    let mut reader = FrameReader::default();
    let encoded = encode_greeting(&greeting());
    reader.feed(&encoded);
    assert_eq!(reader.read_greeting(), Ok(Some(greeting())));
    assert!(reader.features().contains(Features::CONFIGURATIONS));
    let mut reader = FrameReader::default();
    reader.feed(&frame(&encoded[4..encoded.len() - 1]));
    assert_eq!(reader.read_greeting(), Ok(Some(greeting())));
    assert_eq!(reader.features(), Features::NONE);
    assert_eq!(
        postcard::from_bytes::<Greeting>(&encoded[10..]),
        Ok(greeting()),
        "as earlier releases read it"
    );
}

/// The longest report of configurations fits into one message.
#[test]
fn a_report_of_many_configurations_fits_into_one_message() {
    use plover_model::configuration::{ConfigurationPeriod, ConfigurationReport, NamedClass};
    use plover_model::settings::{Class, Semantics};
    let class = Class {
        aim: 1.0,
        give_up: 2.0,
        worth: 1.0,
        late_worth: 0.0,
        semantics: Semantics::Keyed { window: 5.0 },
        need: 1.0,
        floor: 1.0,
        partial_earns: 0.0,
        second_step: false,
    };
    let named = |n: usize| NamedClass { name: format!("class-{n:0240}"), class: class.clone() };
    let period = ConfigurationPeriod {
        from: 0,
        until: Micros::MAX,
        classes: (0..256).map(named).collect(),
        tenants: (0..256).map(|n| format!("tenant-{n:0240}")).collect(),
        shards: 8,
        is_merged: false,
    };
    let report = ConfigurationReport { periods: vec![period; 5 * 17], ..Default::default() };
    let message = Message::Configurations(Box::new(report));
    let mut reader = FrameReader::default();
    reader.feed(&encode_message(&message).expect("the message is not longer than a frame may be"));
    assert_eq!(reader.read_message(), Ok(Some(message)));
}
