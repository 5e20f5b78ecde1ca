//! Whatever comes, and however it is cut: no panic, bounded memory, and the same end.

use plover_http1::{Fault, Limits, RequestDecoder, ResponseDecoder, Step};
use proptest::prelude::*;

const LIMITS: Limits = Limits { head: 512, body: 128 };

/// What a stream decodes to when it comes in pieces of these lengths, and the most that was kept of it.
fn decode(bytes: &[u8], cuts: &[usize]) -> (Vec<String>, Option<Fault>) {
    let mut decoder = RequestDecoder::new(LIMITS);
    let (mut seen, mut input, mut rest) = (Vec::new(), Vec::new(), bytes);
    let mut cuts = cuts.iter().cycle();
    while !rest.is_empty() {
        let n = cuts.next().map_or(rest.len(), |n| (*n).clamp(1, rest.len()));
        input.extend_from_slice(&rest[..n]);
        rest = &rest[n..];
        loop {
            match decoder.step(&mut input) {
                Ok(Step::Whole(m)) => seen.push(format!("{:?} {}", m.value, m.keep_alive)),
                Ok(Step::More(_)) => break,
                Err(fault) => return (seen, Some(fault)),
            }
        }
        // What waits for more is never longer than a head, a chunk's line or a trailer, and the piece.
        assert!(input.len() <= 8 * 1024 + n, "{} bytes are kept", input.len());
    }
    (seen, None)
}

fn pieces() -> impl Strategy<Value = Vec<u8>> {
    let words = prop::sample::select(vec![
        "GET ",
        "POST ",
        "/",
        "/a?b",
        "*",
        " HTTP/1.1\r\n",
        " HTTP/1.0\r\n",
        "Host: a\r\n",
        "Content-Length: ",
        "Transfer-Encoding: chunked\r\n",
        "\r\n",
        "\r\n\r\n",
        "3\r\n",
        "0\r\n",
        "abc",
        ";x",
        "Connection: close\r\n",
        "Expect: 100-continue\r\n",
        "\n",
        "\r",
        " ",
        ":",
    ]);
    let word = prop_oneof![
        8 => words.prop_map(|w| w.as_bytes().to_vec()),
        1 => prop::collection::vec(any::<u8>(), 0..40),
    ];
    prop::collection::vec(word, 0..40).prop_map(|words| words.concat())
}

proptest! {
    /// A front and what stands before it must see the same requests, however the network cuts them.
    #[test]
    fn the_cuts_change_nothing(bytes in pieces(), cuts in prop::collection::vec(1usize..50, 1..8)) {
        let (whole, cut) = (decode(&bytes, &[bytes.len()]), decode(&bytes, &cuts));
        // A fault may show sooner in one than in the other only where the stream ends before it must.
        prop_assert_eq!(&whole.0, &cut.0);
        prop_assert_eq!(whole.1, cut.1);
    }

    #[test]
    fn any_response_is_decoded_or_refused(bytes in pieces()) {
        let mut input = [b"HTTP/1.1 200 OK\r\n".to_vec(), bytes].concat();
        let mut decoder = ResponseDecoder::new(LIMITS);
        while let Ok(Step::Whole(_)) = decoder.step(&mut input) {}
    }
}
