//! Measures the memory of the register by number of keys and of parts per key, all sent and answered. Each
//! size runs in a process of its own: `keys_growth KEYS PARTS`. It prints one line of JSON.

use plover_model::query::Proof;
use plover_model::time::SECOND;
use plover_repeats::{IdempotencyKey, KeyRegister, Verdict};
use std::time::Instant;

fn resident_bytes() -> u64 {
    let statm = std::fs::read_to_string("/proc/self/statm").unwrap_or_default();
    let pages: u64 = statm.split_whitespace().nth(1).and_then(|field| field.parse().ok()).unwrap_or(0);
    pages * 4096
}

fn main() {
    let sizes: Vec<usize> = std::env::args().skip(1).filter_map(|argument| argument.parse().ok()).collect();
    let [keys, parts] = sizes[..] else { return println!("keys_growth KEYS PARTS") };
    let mut register = KeyRegister::new(4 * SECOND, 4 * SECOND, 8192);
    let (bytes_before, started) = (resident_bytes(), Instant::now());
    for n in 0..keys {
        let key = IdempotencyKey { text: format!("{n:032x}").into(), owner: "acme\0save".into() };
        let now = n as u64;
        assert_eq!(register.open(now, &key, 0..parts, 60 * SECOND, 4 * SECOND), Verdict::Serve);
        for shard in 0..parts {
            register.attempt_sent(now, &key, shard, 60 * SECOND);
            register.attempt_ended(now, &key, shard, Proof::Ran);
        }
        register.close(now, &key, true);
    }
    println!(
        "{{\"keys\": {keys}, \"parts\": {parts}, \"bytes\": {}, \"us_a_part\": {:.3}}}",
        resident_bytes() - bytes_before,
        started.elapsed().as_secs_f64() * 1e6 / (keys * parts) as f64
    );
}
