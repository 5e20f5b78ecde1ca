//! Whatever frames come, in whatever order and however cut: the program lives, other clients are served, and nothing of
//! it stays behind.

use crate::rig::{lookup, rig, whole};
use plover_load::raw::{BODY, Raw, frame, query, query_fields};
use proptest::prelude::*;
use proptest::test_runner::{Config, FileFailurePersistence, TestRunner};
use std::time::Duration;

/// What a thousand connections may leave behind in the allocator's hands.
const LEFT: u64 = 16 << 20;

fn frames() -> impl Strategy<Value = Vec<Vec<u8>>> {
    let stream = prop::sample::select(vec![0u32, 1, 3, 5, 7, 2, 0x7fff_ffff]);
    let any_frame = (0u8..12, any::<u8>(), stream.clone(), prop::collection::vec(any::<u8>(), 0..60))
        .prop_map(|(kind, flags, stream, rest)| frame(kind, flags, stream, &rest));
    let headers = (stream.clone(), prop::sample::select(vec![4u8, 5, 0, 1]), 0u32..1000)
        .prop_map(|(stream, flags, n)| frame(1, flags, stream, &query_fields(&format!("f{n}"), &[])));
    let data = (stream.clone(), prop::sample::select(vec![0u8, 1, 8]), 0..BODY.len())
        .prop_map(|(stream, flags, cut)| frame(0, flags, stream, &BODY[cut..]));
    let control = (prop::sample::select(vec![2u8, 3, 4, 6, 7, 8]), any::<bool>(), stream, any::<u64>())
        .prop_map(|(kind, ack, stream, n)| {
            let rest = n.to_be_bytes();
            let length = match kind {
                2 => 5,
                3 | 8 => 4,
                4 => 6,
                _ => 8,
            };
            frame(kind, u8::from(ack), stream, &rest[..length])
        });
    let whole = (0u32..50, 0u32..1000).prop_map(|(n, id)| query(1 + 2 * n, &format!("w{id}")));
    let one = prop_oneof![2 => any_frame, 3 => headers, 3 => data, 3 => control, 3 => whole];
    prop::collection::vec(one, 1..30)
}

#[test]
fn any_frames_leave_the_program_as_it_was() {
    let rig = rig(Duration::ZERO);
    let serves = |n: usize| {
        rig.run(async {
            let http2 = rig.connect().await;
            assert_eq!(http2.ask(&lookup(&format!("serves{n}"), &[n % 8])).await, whole(&[n % 8]));
        });
    };
    (0..50).for_each(serves);
    let before = rig.program.memory().unwrap();
    let found = FileFailurePersistence::Direct("tests/http2/any_frames.regressions");
    let config = Config { cases: 150, failure_persistence: Some(Box::new(found)), ..Config::default() };
    let n = std::cell::Cell::new(50);
    TestRunner::new(config)
        .run(&(frames(), 1usize..400), |(frames, cut)| {
            let mut raw = Raw::settled(rig.program.http2.unwrap());
            for piece in frames.concat().chunks(cut) {
                if !raw.try_send(piece) {
                    break;
                }
            }
            // What comes is read on half of them; the others are closed on what was said.
            if cut % 2 == 0 {
                raw.next(Duration::from_millis(20));
            }
            drop(raw);
            n.set(n.get() + 1);
            serves(n.get());
            Ok(())
        })
        .unwrap();
    let after = rig.program.memory().unwrap();
    assert!(after < before + LEFT, "{before} bytes before, {after} after");
}
