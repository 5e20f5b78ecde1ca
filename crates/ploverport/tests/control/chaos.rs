//! Servers that drain, die and come back cold while streams break at random, under load.

use crate::rig::{BOUND, Rig, is_whole, rig, unix_ms, usual};
use plover_standins::Entry;
use plover_xds::{Kind, Variant};
use plover_xds_client::traffic::{Figures, Sent, Servers, send};
use plover_xds_client::{Proxy, State, Style};
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;
use std::sync::{Arc, Mutex};
use std::time::Duration;

/// The service's own defaults: two cores, 126 ms a request.
const FIGURES: Figures =
    Figures { capacity: 2.0, work: 0.126, from: 0.18, warm_after: Duration::from_secs(16) };
const SERVERS: u32 = 12;
/// A warm server does 16 requests a second.
const RATE: f64 = 150.0;
/// What the word may take on a slow machine beyond the rule's 250 ms: nothing here measures speed.
const SLACK: Duration = Duration::from_millis(1500);

struct One {
    proxy: Proxy,
    load: tokio::task::JoinHandle<()>,
}

async fn chaos(rig: &Rig, entries: &[Entry], proxies: usize, seed: u64) {
    let mut rng = Pcg64Mcg::seed_from_u64(seed);
    let servers = Servers::new(FIGURES);
    let sent = Arc::new(Mutex::new(Sent::default()));
    let variant = |n: usize| if n.is_multiple_of(2) { Variant::Delta } else { Variant::Sotw };
    let connect = async |n: usize, held: State| {
        let proxy = rig.connect(usual(&format!("p{n}"), variant(n), Style::Envoy), held).await;
        let rate = RATE / proxies as f64;
        let load = send(proxy.shared(), servers.clone(), rate, seed + n as u64, sent.clone());
        One { proxy, load: tokio::spawn(load) }
    };
    let mut all = Vec::new();
    for n in 0..proxies {
        let one = connect(n, State::default()).await;
        assert!(one.proxy.until(BOUND, is_whole).await);
        all.push(Some(one));
    }
    let mut now = entries.to_vec();
    let mut cold = 0;
    for step in 0..135 {
        tokio::time::sleep(Duration::from_millis(100)).await;
        // Streams break; what the proxy held stays, and it goes on sending by it until it is back.
        if rng.random_range(0..5) == 0 {
            let n = rng.random_range(0..proxies);
            let One { proxy, load } = all[n].take().unwrap();
            let held = proxy.disconnect();
            load.abort();
            all[n] = Some(connect(n, held).await);
        }
        match step % 15 {
            // One drains ...
            2 => {
                let n = rng.random_range(0..now.len());
                now[n] = Entry { state: "leaving", ..now[n] };
                servers.drain(now[n].address());
                rig.list.set(&[now[n]]);
            }
            // ... is gone ...
            6 => {
                let gone: Vec<Entry> = now.iter().filter(|e| e.state == "leaving").copied().collect();
                for entry in gone {
                    now[entry.number as usize] = Entry { state: "left", ..entry };
                    rig.list.set(&[now[entry.number as usize]]);
                }
            }
            // ... and comes back cold.
            12 => {
                let back: Vec<Entry> = now.iter().filter(|e| e.state == "left").copied().collect();
                for entry in back {
                    cold += 1;
                    now[entry.number as usize] = Entry { state: "active", boot_ms: unix_ms(), ..entry };
                    servers.start(entry.address());
                    rig.list.set(&[now[entry.number as usize]]);
                }
            }
            _ => {}
        }
        let empty = |s: &State| {
            s.pointed_at().iter().any(|c| s.endpoints(c).is_some_and(|all| !all.iter().any(|e| e.healthy)))
        };
        assert!(all.iter().flatten().all(|one| one.proxy.state(|s| !empty(s))), "an empty list");
    }
    let worst = servers.worst();
    assert!(worst.cold <= 2.5, "{worst:?}");
    assert!(worst.drain <= Duration::from_millis(250) + SLACK, "{worst:?}");
    assert!(cold > 0 && worst.to_cold > 0, "no cold server was sent anything: {worst:?}");
    let sent = *sent.lock().unwrap();
    assert!(sent.refused * 10 < sent.sent, "{sent:?}");
    println!("{proxies} proxies, seed {seed}: {worst:?} {sent:?}");
    // All end with the same, whatever they speak and went through.
    let shared = |s: &State| {
        let own = |name: &str| name.starts_with("cold-");
        let of = |kind| s.versions(kind).into_iter().filter(|(n, _)| !own(n)).collect::<Vec<_>>();
        [of(Kind::Cluster), of(Kind::Endpoints)]
    };
    let proxies: Vec<&Proxy> = all.iter().flatten().map(|one| &one.proxy).collect();
    let same = || proxies.iter().all(|p| p.state(shared) == proxies[0].state(shared));
    for _ in 0..300 {
        if same() {
            break;
        }
        tokio::time::sleep(Duration::from_millis(100)).await;
    }
    assert!(same(), "the variants differ");
    all.iter().flatten().for_each(|one| one.load.abort());
}

fn run(proxies: usize, seed: u64) {
    let entries: Vec<Entry> = (0..SERVERS).map(|n| Entry::active(n, n as usize % 2)).collect();
    let rig = rig(&entries);
    rig.run(chaos(&rig, &entries, proxies, seed));
}

#[test]
fn two_proxies_keep_the_rules_whatever_breaks() {
    run(2, 1);
}

#[test]
fn ten_proxies_keep_the_rules_whatever_breaks() {
    run(10, 2);
}
