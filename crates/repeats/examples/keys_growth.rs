//! What the register holds in memory by keys and parts of each, all sent and answered. Each size runs in a process of its own:
//! `keys_growth KEYS PARTS`. It prints a JSON line, no verdict.

use plover_model::query::Proof;
use plover_model::time::SECOND;
use plover_repeats::{IdempotencyKey, KeyRegister, Verdict};
use std::time::Instant;

fn resident() -> u64 {
    let statm = std::fs::read_to_string("/proc/self/statm").unwrap_or_default();
    let pages: u64 = statm.split_whitespace().nth(1).and_then(|word| word.parse().ok()).unwrap_or(0);
    pages * 4096
}

fn main() {
    let sizes: Vec<usize> = std::env::args().skip(1).filter_map(|word| word.parse().ok()).collect();
    let [keys, parts] = sizes[..] else { return println!("keys_growth KEYS PARTS") };
    let mut register = KeyRegister::new(4 * SECOND, 4 * SECOND, 8192);
    let (before, begun) = (resident(), Instant::now());
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
        resident() - before,
        begun.elapsed().as_secs_f64() * 1e6 / (keys * parts) as f64
    );
}
