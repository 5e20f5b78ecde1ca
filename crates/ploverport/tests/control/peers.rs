//! Two instances side by side: what one does not need of a cold server, the other may deal out.

use crate::rig::{BOUND, is_whole, rig_with, start, unix_ms, usual};
use plover_standins::Entry;
use plover_xds::Variant;
use plover_xds_client::{State, Style};
use std::net::TcpListener;
use std::time::Duration;

/// With two cores and 126 ms a request a server may have 17 out when it is all but warm: half of that is 9 at the most.
const MORE_THAN_A_PART: u32 = 10;

fn free_port() -> u16 {
    TcpListener::bind("127.0.0.1:0").unwrap().local_addr().unwrap().port()
}

#[test]
fn instances_that_talk_lend_each_other_what_they_do_not_need() {
    let entries: Vec<Entry> = (0..4).map(|n| Entry::active(n, 0)).collect();
    let ports = [free_port(), free_port()];
    let operator = |me: usize| {
        let (own, other) = (ports[me], ports[1 - me]);
        format!(
            "control-listen 127.0.0.1:{own}\ncontrol-instances 2\ncontrol-instance {me}\ncontrol-peers 127.0.0.1:{other}\n"
        )
    };
    let rig = rig_with(&entries, &operator(0));
    let (mut other, _) = start(&rig.list, &operator(1));
    other.logged("event=control_ready").unwrap();
    rig.run(async {
        let mut proxies = Vec::new();
        for n in 0..3 {
            let proxy =
                rig.connect(usual(&format!("p{n}"), Variant::Delta, Style::Envoy), State::default()).await;
            assert!(proxy.until(BOUND, is_whole).await);
            proxies.push(proxy);
        }
        // The time in which both hold back after their start.
        tokio::time::sleep(Duration::from_millis(7500)).await;
        let cold = Entry { boot_ms: unix_ms() - 8000, ..entries[0] };
        rig.list.set(&[cold]);
        let cluster = format!("cold-{}", cold.name());
        let leased = || proxies.iter().filter_map(|p| p.state(|s| s.most_out(&cluster))).sum::<u32>();
        let mut most = 0;
        for _ in 0..150 {
            most = most.max(leased());
            if most >= MORE_THAN_A_PART {
                return;
            }
            tokio::time::sleep(Duration::from_millis(50)).await;
        }
        panic!("no more than {most} was leased, which its own part could have been");
    });
}
