use super::*;
use proptest::prelude::*;

fn greeting() -> Greeting {
    Greeting { name: "n3".into(), started: 7, pid: 9 }
}

fn key_owner() -> KeyOwner {
    KeyOwner { owner: "acme\0save".into(), window: Some(300) }
}

fn words() -> Vec<Message> {
    vec![
        Message::StateSent,
        Message::KeySent { key: "k".into(), shard: 3, at: 5, until: u64::MAX, key_owner: key_owner() },
        Message::KeyEnded { key: "k".into(), shard: 3, at: 6, proof: Proof::MayRun, key_owner: key_owner() },
        Message::Opened { id: "9b1f".into(), units: 4, owner: Some("defaults".into()) },
        Message::Snapshot(Box::default()),
    ]
}

/// In whatever pieces it comes, the same is read.
#[test]
fn words_come_in_pieces() {
    let bytes: Vec<u8> = encode_greeting(&greeting())
        .into_iter()
        .chain(words().iter().flat_map(|w| encode_message(w).unwrap()))
        .collect();
    for step in [1, 2, 3, 7, bytes.len()] {
        let mut reader = FrameReader::default();
        let (mut greeted, mut read) = (None, Vec::new());
        for piece in bytes.chunks(step) {
            reader.feed(piece);
            if greeted.is_none() {
                greeted = reader.read_greeting().unwrap();
            }
            while let Some(word) = greeted.as_ref().and_then(|_| reader.read_message().unwrap()) {
                read.push(word);
            }
        }
        assert_eq!((greeted, read), (Some(greeting()), words()), "pieces of {step}");
    }
}

#[test]
fn what_is_no_neighbour_is_told_from_its_first_bytes() {
    let read = |bytes: &[u8]| {
        let mut reader = FrameReader::default();
        reader.feed(bytes);
        reader.read_greeting()
    };
    assert_eq!(read(b"GET / HTTP/1.1\r\n"), Err(ProtocolError::NotAGreeting));
    assert_eq!(read(&[0, 0]), Ok(None));
    let mut other = encode_greeting(&greeting());
    other[9] = 2;
    assert_eq!(read(&other), Err(ProtocolError::UnsupportedVersion(2)));
    assert_eq!(
        read(&[0xff, 0xff, 0xff, 0xff, b'P', b'L', b'V', b'H']),
        Err(ProtocolError::FrameTooLong(0xffff_ffff))
    );
}

proptest! {
    /// Noise is an error or no whole frame, never a panic, and claims no memory by its length.
    #[test]
    fn any_bytes(bytes in prop::collection::vec(any::<u8>(), 0..300), greeted in any::<bool>()) {
        let mut reader = FrameReader::default();
        if greeted {
            reader.feed(&encode_greeting(&greeting()));
            prop_assert_eq!(reader.read_greeting(), Ok(Some(greeting())));
        }
        reader.feed(&bytes);
        for _ in 0..bytes.len() {
            let more = if greeted { reader.read_message().map(|w| w.is_some()) } else { reader.read_greeting().map(|g| g.is_some()) };
            if more != Ok(true) { break; }
        }
    }
}

/// What is known of a fleet of 7,800 servers fits into one word, also where all of them are cold and much was sent to each.
#[test]
fn what_is_known_of_a_great_fleet_fits_into_a_word() {
    let server = |n: usize| plover_model::snapshot::ServerSnapshot {
        name: format!("s-{n:08x}"),
        last_response_age: Some(1.5),
        last_served_sent_age: Some(2.5),
        cold_sent: vec![(1.5, 2.5); 64],
        ..Default::default()
    };
    let servers = (0..7800).map(server).collect();
    let word = Message::Snapshot(Box::new(Snapshot { servers, ..Snapshot::default() }));
    let frame = encode_message(&word).expect("it can be said");
    let mut reader = FrameReader::default();
    reader.feed(&frame);
    assert_eq!(reader.read_message(), Ok(Some(word)));
}

/// A process before this one does not tell whose a key is, and reads no further than it knows: each understands the other.
#[test]
fn words_without_and_with_the_owner_of_a_key_are_both_read() {
    #[derive(Debug, PartialEq, Serialize, Deserialize)]
    enum Before {
        Recall(Box<Snapshot>),
        Told,
        Opened { id: String, units: u32, owner: Option<String> },
        Closed { id: String },
        KeyOpened { key: String, until: Micros },
        KeySent { key: String, shard: u32, at: Micros, until: Micros },
    }
    let key = || "k".to_owned();
    let then = Before::KeySent { key: key(), shard: 3, at: 5, until: 300 };
    let now = |key_owner| Message::KeySent { key: key(), shard: 3, at: 5, until: 300, key_owner };
    let mut reader = FrameReader::default();
    reader.feed(&frame(&postcard::to_allocvec(&then).unwrap()));
    assert_eq!(reader.read_message(), Ok(Some(now(KeyOwner::default()))));
    let said = encode_message(&now(key_owner())).unwrap();
    assert_eq!(postcard::from_bytes::<Before>(&said[4..]), Ok(then));
    reader.feed(&said);
    assert_eq!(reader.read_message(), Ok(Some(now(key_owner()))));
}
