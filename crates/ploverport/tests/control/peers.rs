//! Two instances side by side: what one does not need of a cold server, the other may deal out.

use crate::rig::{BOUND, Rig, is_whole, rig_with, start, unix_ms, usual};
use plover_standins::Entry;
use plover_xds::Variant;
use plover_xds_client::{Proxy, State, Style};
use std::net::TcpListener;
use std::sync::atomic::{AtomicU32, Ordering};
use std::time::Duration;

/// Operator's lines of one of several instances that talk.
fn instance(me: usize, ports: &[u16]) -> String {
    let own = ports[me];
    let others = ports.iter().filter(|p| **p != own).map(|p| format!("127.0.0.1:{p}"));
    let (of, others) = (ports.len(), others.collect::<Vec<_>>().join(","));
    format!(
        "control-listen 127.0.0.1:{own}\ncontrol-instances {of}\ncontrol-instance {me}\ncontrol-peers {others}\n"
    )
}

async fn three_proxies(rig: &Rig) -> Vec<Proxy> {
    let mut proxies = Vec::new();
    for n in 0..3 {
        let proxy =
            rig.connect(usual(&format!("p{n}"), Variant::Delta, Style::Envoy), State::default()).await;
        assert!(proxy.until(BOUND, is_whole).await);
        proxies.push(proxy);
    }
    proxies
}

/// The most that proxies hold of a server together while it grows warm.
async fn most_leased(proxies: &[Proxy], server: &Entry, enough: u32) -> u32 {
    let cluster = format!("cold-{}", server.name());
    let (mut most, mut cold) = (0, false);
    // Its warming, and as long again for a slow machine.
    for _ in 0..320 {
        most = most.max(proxies.iter().filter_map(|p| p.state(|s| s.most_out(&cluster))).sum::<u32>());
        let in_cell = |s: &State| {
            s.endpoints("cell-0").unwrap_or_default().iter().any(|e| e.address == server.address())
        };
        let warm = proxies.iter().all(|p| p.state(in_cell));
        cold |= !warm;
        if most >= enough || (cold && warm) {
            break;
        }
        tokio::time::sleep(Duration::from_millis(50)).await;
    }
    most
}

/// With two cores and 126 ms a request a server may have 17 out when it is all but warm: half of that is 9 at the most.
const MORE_THAN_A_PART: u32 = 10;

/// A port that is free, from below those that the system itself gives out to other tests' sockets in the meantime.
fn free_port() -> u16 {
    const FIRST: u32 = 20_000;
    const OF_A_PROCESS: u32 = 100;
    const PROCESSES: u32 = 100;
    static TAKEN: AtomicU32 = AtomicU32::new(0);
    let first = FIRST + std::process::id() % PROCESSES * OF_A_PROCESS;
    loop {
        let port = first + TAKEN.fetch_add(1, Ordering::Relaxed) % OF_A_PROCESS;
        let port = u16::try_from(port).unwrap();
        if TcpListener::bind(("127.0.0.1", port)).is_ok() {
            return port;
        }
    }
}

#[test]
fn instances_that_talk_lend_each_other_what_they_do_not_need() {
    let entries: Vec<Entry> = (0..4).map(|n| Entry::active(n, 0)).collect();
    let ports = [free_port(), free_port()];
    let rig = rig_with(&entries, &instance(0, &ports));
    let (mut other, _) = start(&rig.list, &instance(1, &ports));
    other.logged("event=control_ready").unwrap();
    rig.run(async {
        let proxies = three_proxies(&rig).await;
        // The time in which both hold back after their start.
        tokio::time::sleep(Duration::from_millis(7500)).await;
        let cold = Entry { boot_ms: unix_ms() - 8000, ..entries[0] };
        rig.list.set(&[cold]);
        let most = most_leased(&proxies, &cold, MORE_THAN_A_PART).await;
        assert!(
            most >= MORE_THAN_A_PART,
            "no more than {most} was leased, which its own part could have been"
        );
    });
}

/// A third of 17 is 6 at the most: what one instance deals out by itself, and with one that lends it its part.
const A_THIRD: u32 = 6;

/// What a lost instance may have dealt out is nobody's: the others go on with their own parts and each other's.
#[test]
fn a_lost_instance_leaves_its_part_unused() {
    let entries: Vec<Entry> = (0..4).map(|n| Entry::active(n, 0)).collect();
    let ports = [free_port(), free_port(), free_port()];
    let mut rig = rig_with(&entries, &instance(0, &ports));
    let (mut second, _) = start(&rig.list, &instance(1, &ports));
    let (mut third, _) = start(&rig.list, &instance(2, &ports));
    for program in [&mut second, &mut third] {
        program.logged("event=control_ready").unwrap();
    }
    let proxies = rig.run(async {
        let proxies = three_proxies(&rig).await;
        tokio::time::sleep(Duration::from_millis(7500)).await;
        let cold = Entry { boot_ms: unix_ms() - 6000, ..entries[0] };
        rig.list.set(&[cold]);
        let most = most_leased(&proxies, &cold, 2 * A_THIRD + 1).await;
        assert!(most > 2 * A_THIRD, "{most}: not all lent their parts");
        proxies
    });
    // At the start, before all were up, they missed each other, too.
    rig.program.seen();
    third.signal("KILL").unwrap();
    rig.program.logged(&format!("event=control_peer peer=127.0.0.1:{}", ports[2])).unwrap();
    rig.run(async {
        // What it lent last has run out by the time that the next one asks for anything.
        tokio::time::sleep(Duration::from_secs(2)).await;
        let cold = Entry { boot_ms: unix_ms() - 2000, ..entries[1] };
        rig.list.set(&[cold]);
        let most = most_leased(&proxies, &cold, u32::MAX).await;
        assert!(most > A_THIRD && most <= 2 * A_THIRD, "{most}");
    });
}
